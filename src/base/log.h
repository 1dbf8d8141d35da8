/**
 * DOC: log
 *
 * Structured log lines: "<PRI>TIMESTAMP HOST PROGRAM[PID]: EVENT key=value ...". A value with a
 * blank, quote, backslash, '=' or a character outside of printable ASCII is quoted and escaped, so
 * that text from a request can't forge a field or a line. The length of a line is bounded.
 *
 * Logging is safe from any thread and never blocks: while the reader of the log stalls, lines are
 * dropped and counted, and the first line written afterwards reports their number.
 *
 * By default each line is written to standard error by itself. A daemon calls log_open_buffered()
 * to buffer its lines, so that a busy daemon writes many lines with one system call.
 */
#ifndef BASE_LOG_H
#define BASE_LOG_H

#include <stdint.h>

/** enum log_level - severity with the numbers of syslog, of which lower is more severe */
typedef enum
{
  LOG_LEVEL_ERROR = 3,
  LOG_LEVEL_WARNING = 4,
  LOG_LEVEL_NOTICE = 5,
  LOG_LEVEL_INFO = 6,
  LOG_LEVEL_DEBUG = 7
} log_level_t;

/** log_init() - set the program and host name of each line; lines less severe than @level are not
 * logged */
void log_init (const char *program, const char *host, log_level_t level);

/**
 * log_open_buffered() - write lines to @fd through a buffer from now on
 *
 * A warning or error flushes the buffer at once. Other lines are flushed when %LOG_WRITE_BYTES are
 * buffered, by the first line logged %LOG_FLUSH_DELAY_MS or more after the oldest buffered one, or
 * by log_flush(). While @fd accepts no data, the last quarter of the buffer is reserved for
 * warnings and errors.
 */
void log_open_buffered (int fd);
/** log_set_buffering_callback() - set a callback for when the buffer becomes non-empty; log_flush()
 * should then be called %LOG_FLUSH_DELAY_MS later. @callback runs in the thread that logs and must
 * not log itself; NULL removes it */
void log_set_buffering_callback (void (*callback) (void *context), void *context);
/** log_flush() - write the buffered lines, as far as the file descriptor accepts them */
void log_flush (void);

#define LOG_BUFFER_BYTES (64 * 1024)
/* PIPE_BUF on Linux: a writable pipe accepts this much without blocking */
#define LOG_WRITE_BYTES 4096
#define LOG_FLUSH_DELAY_MS 10 /* longest time that a line stays in the buffer */

/**
 * log_event() - log one line
 * @level: severity
 * @event: event name, in lower case with underscores
 * @...: pairs of field name and value, both const char *, ended by a NULL name; a field whose value
 *   is NULL is left out
 *
 * LOG_U64() and LOG_HEX() format a number as a value.
 */
void log_event (log_level_t level, const char *event, ...) __attribute__ ((sentinel));

/** struct log_number - buffer for a formatted number */
typedef struct
{
  char text[24];
} log_number_t;

/** log_u64() - format @value in decimal. Return: the text in @num */
const char *log_u64 (log_number_t *num, uint64_t value);
/** log_hex() - format @value as sixteen hexadecimal digits. Return: the text in @num */
const char *log_hex (log_number_t *num, uint64_t value);

/** LOG_U64() - @value in decimal; the text is valid until the end of the enclosing block */
#define LOG_U64(value) log_u64 (&(log_number_t){ { 0 } }, (value))
/** LOG_HEX() - @value as sixteen hexadecimal digits, valid for as long */
#define LOG_HEX(value) log_hex (&(log_number_t){ { 0 } }, (value))

#endif
