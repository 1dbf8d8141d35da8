/**
 * DOC: log_flusher
 *
 * Flushes buffered log lines by a timer. Without it, a line would stay in the buffer until another
 * one is logged, and the last lines before a process is killed, which tell what it did, would be
 * lost.
 */
#ifndef BASE_LOG_FLUSHER_H
#define BASE_LOG_FLUSHER_H

#include <event2/event.h>

typedef struct log_flusher log_flusher_t;

/** log_flusher_new() - flush lines of any thread at most %LOG_FLUSH_DELAY_MS after they are logged,
 * while @base runs; at most one flusher exists in a process */
log_flusher_t *log_flusher_new (struct event_base *base);
/** log_flusher_free() - stop flushing; lines that are still buffered stay there */
void log_flusher_free (log_flusher_t *log_flusher);

#endif
