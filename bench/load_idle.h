/**
 * DOC: load_idle
 *
 * Opens connections and keeps them idle for a time, so that the memory that they take in the server
 * can be measured.
 */
#ifndef BENCH_LOAD_IDLE_H
#define BENCH_LOAD_IDLE_H

#include "load_options.h"

#include <event2/event.h>

/**
 * load_idle_run() - keeps @options->idle connections open for @options->time_s seconds
 *
 * Prints how many were opened and how many of them the server closed.
 */
void load_idle_run (const load_options_t *options, struct event_base *base);

#endif
