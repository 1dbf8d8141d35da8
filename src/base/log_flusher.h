/**
 * DOC: log_flusher
 *
 * Writes held log lines in time. A line that nothing follows would else wait for the next one: the
 * last lines before a process is killed, which say what it did, would be lost with it.
 */
#ifndef BASE_LOG_FLUSHER_H
#define BASE_LOG_FLUSHER_H

#include <event2/event.h>

typedef struct lfl lfl_t;

/** lfl_new() - from now on a line of any thread is held for %LOG_HOLD_MS at most while @base runs;
 * one of a process */
lfl_t *lfl_new (struct event_base *base);
void lfl_free (lfl_t *lfl);

#endif
