/**
 * DOC: log
 *
 * Structured lines: "<PRI>TIMESTAMP HOST medlarplankd[PID]: EVENT key=value ...". A value with a
 * blank, quote, '=' or control character is quoted and escaped, so that no caller can forge a field
 * or a line. A line is bounded. Safe from any thread, and never waits: lines are dropped and
 * counted while the reader stalls.
 *
 * Programs log to standard error, a line a write. A daemon calls log_open(): its lines go to
 * standard output through a buffer, so that a busy one makes one write for many lines.
 */
#ifndef BASE_LOG_H
#define BASE_LOG_H

#include <stdint.h>

typedef enum
{
  LOG_LEVEL_ERROR = 3,
  LOG_LEVEL_WARNING = 4,
  LOG_LEVEL_NOTICE = 5,
  LOG_LEVEL_INFO = 6,
  LOG_LEVEL_DEBUG = 7
} log_level_t;

/** log_init() - name the program and host that stand in each line; lines above @level are dropped
 */
void log_init (const char *program, const char *host, log_level_t level);

/**
 * log_open() - from now on lines go to @fd through a buffer
 *
 * Lines of warnings and errors leave at once; others when %LOG_WRITE_BYTES have come together, or
 * with the first line or log_flush() after %LOG_HOLD_MS. While @fd takes nothing, the last quarter
 * of the buffer is kept for warnings and errors.
 */
void log_open (int fd);
/** log_on_held() - @held is called, in whatever thread logs, when a first line is held: log_flush()
 * is due %LOG_HOLD_MS later. It may not log. NULL for none */
void log_on_held (void (*held) (void *context), void *context);
/** log_flush() - write what is buffered, as far as @fd takes it */
void log_flush (void);

#define LOG_BUFFER_BYTES (64 * 1024)
#define LOG_WRITE_BYTES 4096 /* what a pipe takes in one piece */
#define LOG_HOLD_MS 10

/**
 * log_event() - write one line
 * @level: severity, the syslog number
 * @event: what happened, one word with underscores
 * @...: pairs of field name and value, both const char *, ended by NULL; a NULL value is left out
 *
 * Numbers are formatted by LOG_U64 into a buffer of the calling statement.
 */
void log_event (log_level_t level, const char *event, ...) __attribute__ ((sentinel));

/** struct log_num - room for a formatted number */
typedef struct
{
  char text[24];
} log_num_t;

const char *log_u64 (log_num_t *num, uint64_t value);
const char *log_hex (log_num_t *num, uint64_t value);

/** LOG_U64() - @value as text that lives until the end of the enclosing block */
#define LOG_U64(value) log_u64 (&(log_num_t){ { 0 } }, (value))
#define LOG_HEX(value) log_hex (&(log_num_t){ { 0 } }, (value))

#endif
