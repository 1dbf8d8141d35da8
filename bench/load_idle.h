/**
 * DOC: load_idle
 *
 * Connections without requests: opened and held for a time, so that the memory that they take on
 * the other side can be read meanwhile.
 */
#ifndef BENCH_LOAD_IDLE_H
#define BENCH_LOAD_IDLE_H

#include "load_options.h"

#include <event2/event.h>

/** lid_hold() - returns when the time is up, after a line with how many were opened and closed */
void lid_hold (const lop_t *options, struct event_base *base);

#endif
