#include "base/log.h"

#include "base/digits.h"
#include "base/limits.h"

#include <errno.h>
#include <glib.h>
#include <limits.h>
#include <poll.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define FACILITY_DAEMON 3           /* of syslog */
#define TRUNCATED_FIELD " cut=true" /* ends a line that lacks some of its fields */
#define TRUNCATED_VALUE "..."       /* ends a value that was shortened */
#define EVENT_BYTES 129             /* longest event name, with the final NUL */

G_STATIC_ASSERT (LIMIT_LOG_LINE_BYTES <= PIPE_BUF);

/**
 * struct log_state - the log of the process
 * @lock: held while a line is formatted and written
 * @level: less severe lines are not logged
 * @second: wall-clock second that @date was formatted for
 * @date: cached text of @second, as most lines share their second with the line before
 * @head: host, program and process id of a line's head
 * @dropped_lines: lines dropped since the last one that was written
 * @fd: file descriptor that lines are written to
 * @buffer: LOG_BUFFER_BYTES, or NULL while each line is written by itself
 * @start: offset of the first unwritten byte in @buffer
 * @end: offset after the last unwritten byte in @buffer
 * @buffered_since_us: monotonic time at which the empty buffer received a line, 0 while it is empty
 * @buffering_callback: called after a line was added to an empty buffer, or NULL
 * @buffering_context: argument of @buffering_callback
 * @starts_buffering: the line being logged was added to an empty buffer and not flushed
 */
typedef struct
{
  GMutex lock;
  log_level_t level;
  time_t second;
  char date[32];
  char head[LIMIT_NAME_BYTES * 2 + 32];
  uint64_t dropped_lines;
  int fd;
  char *buffer;
  size_t start;
  size_t end;
  int64_t buffered_since_us;
  void (*buffering_callback) (void *context);
  void *buffering_context;
  bool starts_buffering;
} log_state_t;

static log_state_t state = {
  .head = "Z - medlarplank[0]: ", .level = LOG_LEVEL_INFO, .fd = STDERR_FILENO
};

/**
 * struct line - a line that is being formatted
 * @text: the text so far; a field is appended before its length is known and removed again if the
 *   line becomes too long, so there is space for one value more than a line may have
 * @bytes: length of @text
 * @truncated: a field did not fit and was left out
 */
typedef struct
{
  char text[LIMIT_LOG_LINE_BYTES + LIMIT_LOG_VALUE_BYTES];
  size_t bytes;
  bool truncated;
} line_t;

/* Longest line before its end, which needs space for TRUNCATED_FIELD and the newline. */
#define LINE_LIMIT_BYTES (LIMIT_LOG_LINE_BYTES - sizeof (TRUNCATED_FIELD))

static bool
is_plain (unsigned char c)
{
  return c > ' ' && c < 0x7f && c != '"' && c != '=' && c != '\\';
}

static bool
needs_quotes (const char *value)
{
  if (*value == '\0')
    return true;
  for (; *value != '\0'; value++)
    if (!is_plain ((unsigned char)*value))
      return true;
  return false;
}

/* Writes one byte of a quoted value. Return: the number of bytes in @out, without a final NUL */
static size_t
escape_byte (unsigned char c, char out[4])
{
  static const char digits[] = "0123456789abcdef";

  if (c >= ' ' && c < 0x7f && c != '"' && c != '\\')
    {
      out[0] = (char)c;
      return 1;
    }
  out[0] = '\\';
  out[1] = c == '\n' ? 'n' : (char)c;
  if (c == '"' || c == '\\' || c == '\n')
    return 2;
  out[1] = 'x';
  out[2] = digits[c >> 4];
  out[3] = digits[c & 0xf];
  return 4;
}

/* Writes @value, quoted if necessary, in less than LIMIT_LOG_VALUE_BYTES. Return: its end */
static char *
format_value (const char *value, char *out)
{
  const size_t limit_bytes = LIMIT_LOG_VALUE_BYTES - sizeof (TRUNCATED_VALUE "\"");
  const size_t value_bytes = strlen (value);
  const char *start = out;

  if (value_bytes <= limit_bytes && !needs_quotes (value))
    {
      memcpy (out, value, value_bytes); /* NOLINT: no final NUL, as more text follows in the line */
      return out + value_bytes;
    }
  *out++ = '"';
  for (; *value != '\0'; value++)
    {
      char piece[4];
      size_t piece_bytes = escape_byte ((unsigned char)*value, piece);
      if ((size_t)(out - start) + piece_bytes > limit_bytes)
        break;
      memcpy (out, piece, piece_bytes);
      out += piece_bytes;
    }
  if (*value != '\0')
    out = g_stpcpy (out, TRUNCATED_VALUE);
  *out++ = '"';
  return out;
}

static void
line_append (line_t *line, const char *text)
{
  size_t bytes = strlen (text);

  g_assert (line->bytes + bytes <= LINE_LIMIT_BYTES);
  memcpy (line->text + line->bytes, text, bytes);
  line->bytes += bytes;
}

/* Appends a field. One that does not fit is left out with all after it, and the line ends in
 * TRUNCATED_FIELD. */
static void
line_add_field (line_t *line, const char *field, const char *value)
{
  const size_t start = line->bytes;

  line->truncated = line->truncated || start + strlen (field) + 2 > LINE_LIMIT_BYTES;
  if (line->truncated)
    return;
  line_append (line, " ");
  line_append (line, field);
  line_append (line, "=");
  line->bytes = (size_t)(format_value (value, line->text + line->bytes) - line->text);
  if (line->bytes <= LINE_LIMIT_BYTES)
    return;
  line->truncated = true;
  line->bytes = start;
}

static void
update_date (time_t second)
{
  struct tm utc;

  if (second == state.second)
    return;
  gmtime_r (&second, &utc);
  strftime (state.date, sizeof state.date, "%Y-%m-%dT%H:%M:%S", &utc);
  state.second = second;
}

static void
line_begin (line_t *line, log_level_t level, const char *event)
{
  struct timespec now;
  char *out;

  line->truncated = false;
  out = line->text;
  clock_gettime (CLOCK_REALTIME, &now);
  update_date (now.tv_sec);
  *out++ = '<';
  out = digits_write_u64 (out, FACILITY_DAEMON * 8 + (uint64_t)level);
  *out++ = '>';
  out = g_stpcpy (out, state.date);
  /* Adding 1000 keeps the leading zeros of the milliseconds; the point overwrites the digit 1. */
  digits_write_u64 (out, 1000 + (uint64_t)now.tv_nsec / (1000 * 1000));
  *out = '.';
  out += strlen (".000");
  out = g_stpcpy (out, state.head);
  g_strlcpy (out, event, EVENT_BYTES);
  out += strlen (out);
  line->bytes = (size_t)(out - line->text);
}

static void
line_end (line_t *line)
{
  if (line->truncated)
    {
      memcpy (line->text + line->bytes, TRUNCATED_FIELD, strlen (TRUNCATED_FIELD));
      line->bytes += strlen (TRUNCATED_FIELD);
    }
  line->text[line->bytes++] = '\n';
}

/*
 * A write to a full pipe would block the thread that logs, and all requests that it serves, for as
 * long as the reader of the log stalls. A pipe that polls as writable accepts PIPE_BUF bytes
 * without blocking, and no write is longer than that.
 */
static bool
is_writable (void)
{
  struct pollfd poll_fd = { .fd = state.fd, .events = POLLOUT };

  return poll (&poll_fd, 1, 0) == 1 && (poll_fd.revents & POLLOUT) != 0;
}

/* Return: the number of bytes written, 0 if the file descriptor accepts none now */
static size_t
write_available (const char *bytes, size_t count)
{
  ssize_t written;

  if (!is_writable ())
    return 0;
  do
    written = write (state.fd, bytes, MIN (count, LOG_WRITE_BYTES));
  while (written < 0 && errno == EINTR);
  return written > 0 ? (size_t)written : 0;
}

static void
flush (void)
{
  size_t written;

  while (state.start < state.end &&
         (written = write_available (state.buffer + state.start, state.end - state.start)) > 0)
    state.start += written;
  if (state.start < state.end)
    return;
  state.start = 0;
  state.end = 0;
  state.buffered_since_us = 0;
}

/* Return: whether @bytes fit into the first @limit bytes of the buffer, after a flush if need be */
static bool
reserve_space (size_t bytes, size_t limit)
{
  if (state.end + bytes <= limit)
    return true;
  flush ();
  memmove (state.buffer, state.buffer + state.start, state.end - state.start);
  state.end -= state.start;
  state.start = 0;
  return state.end + bytes <= limit;
}

static bool
line_buffer (const line_t *line, log_level_t level)
{
  bool urgent = level <= LOG_LEVEL_WARNING;
  bool was_empty = state.end == state.start;
  size_t limit = urgent ? LOG_BUFFER_BYTES : LOG_BUFFER_BYTES / 4 * 3;
  int64_t now_us = g_get_monotonic_time ();

  if (!reserve_space (line->bytes, limit))
    return false;
  memcpy (state.buffer + state.end, line->text, line->bytes);
  state.end += line->bytes;
  if (state.buffered_since_us == 0)
    state.buffered_since_us = now_us;
  if (urgent || state.end - state.start >= LOG_WRITE_BYTES ||
      now_us - state.buffered_since_us >= LOG_FLUSH_DELAY_MS * 1000)
    flush ();
  state.starts_buffering = state.starts_buffering || (was_empty && state.end > state.start);
  return true;
}

static bool
line_write (const line_t *line, log_level_t level)
{
  if (state.buffer)
    return line_buffer (line, level);
  return write_available (line->text, line->bytes) == line->bytes;
}

/* Logs how many lines were dropped, before the next line is logged. It counts as one of that line's
 * @level, although it is a warning: otherwise, while the reader stalls, such reports would fill the
 * space that is reserved for warnings and errors. */
static void
report_dropped (log_level_t level)
{
  line_t line;

  if (state.dropped_lines == 0)
    return;
  line_begin (&line, LOG_LEVEL_WARNING, "log_lines_dropped");
  line_add_field (&line, "count", LOG_U64 (state.dropped_lines));
  line_end (&line);
  if (line_write (&line, level))
    state.dropped_lines = 0;
}

void
log_init (const char *program, const char *host, log_level_t level)
{
  g_snprintf (state.head, sizeof state.head, "Z %.*s %.*s[%d]: ", LIMIT_NAME_BYTES - 1, host,
              LIMIT_NAME_BYTES - 1, program, (int)getpid ());
  state.level = level;
}

void
log_open_buffered (int fd)
{
  g_mutex_lock (&state.lock);
  state.fd = fd;
  if (!state.buffer)
    state.buffer = g_malloc (LOG_BUFFER_BYTES);
  g_mutex_unlock (&state.lock);
}

void
log_set_buffering_callback (void (*callback) (void *context), void *context)
{
  g_mutex_lock (&state.lock);
  state.buffering_callback = callback;
  state.buffering_context = context;
  g_mutex_unlock (&state.lock);
}

void
log_flush (void)
{
  g_mutex_lock (&state.lock);
  if (state.buffer)
    flush ();
  g_mutex_unlock (&state.lock);
}

void
log_event (log_level_t level, const char *event, ...)
{
  void (*buffering_callback) (void *context);
  void *buffering_context;
  line_t line;
  const char *field;
  va_list pairs;

  if (level > state.level)
    return;
  g_mutex_lock (&state.lock);
  state.starts_buffering = false;
  line_begin (&line, level, event);
  va_start (pairs, event);
  while ((field = va_arg (pairs, const char *)) != NULL)
    {
      const char *value = va_arg (pairs, const char *);
      if (value != NULL)
        line_add_field (&line, field, value);
    }
  va_end (pairs);
  line_end (&line);
  report_dropped (level);
  if (state.dropped_lines != 0 || !line_write (&line, level))
    state.dropped_lines++;
  buffering_callback = state.starts_buffering ? state.buffering_callback : NULL;
  buffering_context = state.buffering_context;
  g_mutex_unlock (&state.lock);
  /* The callback runs without the lock. It takes locks of libevent, which may log while it holds
   * them: taking these locks in both orders could deadlock. */
  if (buffering_callback)
    buffering_callback (buffering_context);
}

const char *
log_u64 (log_number_t *num, uint64_t value)
{
  *digits_write_u64 (num->text, value) = '\0';
  return num->text;
}

const char *
log_hex (log_number_t *num, uint64_t value)
{
  *digits_write_hex (num->text, value) = '\0';
  return num->text;
}
