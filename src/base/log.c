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

#define FACILITY_DAEMON 3
#define CUT_FIELD " cut=true"
#define CUT_VALUE "..."
#define EVENT_BYTES 129

G_STATIC_ASSERT (LIM_LOG_LINE_BYTES <= PIPE_BUF);

/**
 * struct log_state - the one log of the process; standard error is one too
 * @lock: held while a line is made and written
 * @date: of @second; most lines are written in the second of the one before
 * @dropped: lines lost since the last one that was written
 * @buffer: NULL when each line is written by itself
 * @held_us: when the oldest line in the buffer came, 0 when it is empty
 * @held: told when a first line is held, or NULL
 * @begins_hold: the line in the making is such a one
 */
typedef struct
{
  GMutex lock;
  log_level_t level;
  time_t second;
  char date[32];
  char tail[LIM_NAME_BYTES * 2 + 32]; /* host, program and process of a line's head */
  uint64_t dropped;
  int fd;
  char *buffer;
  size_t start;
  size_t end;
  int64_t held_us;
  void (*held) (void *context);
  void *held_context;
  bool begins_hold;
} log_state_t;

static log_state_t state = {
  .tail = "Z - medlarplank[0]: ", .level = LOG_LEVEL_INFO, .fd = STDERR_FILENO
};

/** struct line - a line in the making; room for CUT_FIELD and the newline is kept back. A field is
 * written first and taken back when it does not fit, hence the room for one more */
typedef struct
{
  char text[LIM_LOG_LINE_BYTES + LIM_LOG_VALUE_BYTES];
  size_t bytes;
  bool cut;
} line_t;

#define LINE_ROOM (LIM_LOG_LINE_BYTES - sizeof (CUT_FIELD))

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

/* Return: bytes written to @out, without a final NUL. */
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

/* Writes the value as it stands in a line, less than LIM_LOG_VALUE_BYTES. Return: its end. */
static char *
format_value (const char *value, char *out)
{
  const size_t room = LIM_LOG_VALUE_BYTES - sizeof (CUT_VALUE "\"");
  const size_t value_bytes = strlen (value);
  const char *start = out;

  if (value_bytes <= room && !needs_quotes (value))
    {
      memcpy (out, value, value_bytes); /* NOLINT: the line goes on, it ends in no NUL */
      return out + value_bytes;
    }
  *out++ = '"';
  for (; *value != '\0'; value++)
    {
      char piece[4];
      size_t piece_bytes = escape_byte ((unsigned char)*value, piece);
      if ((size_t)(out - start) + piece_bytes > room)
        break;
      memcpy (out, piece, piece_bytes);
      out += piece_bytes;
    }
  if (*value != '\0')
    out = g_stpcpy (out, CUT_VALUE);
  *out++ = '"';
  return out;
}

static void
line_append (line_t *line, const char *text)
{
  size_t bytes = strlen (text);

  g_assert (line->bytes + bytes <= LINE_ROOM);
  memcpy (line->text + line->bytes, text, bytes);
  line->bytes += bytes;
}

/* A field that does not fit whole is left out, with all after it, and the line says so. */
static void
line_add_field (line_t *line, const char *field, const char *value)
{
  const size_t start = line->bytes;

  line->cut = line->cut || start + strlen (field) + 2 > LINE_ROOM;
  if (line->cut)
    return;
  line_append (line, " ");
  line_append (line, field);
  line_append (line, "=");
  line->bytes = (size_t)(format_value (value, line->text + line->bytes) - line->text);
  if (line->bytes <= LINE_ROOM)
    return;
  line->cut = true;
  line->bytes = start;
}

static void
note_second (time_t second)
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

  line->cut = false;
  out = line->text;
  clock_gettime (CLOCK_REALTIME, &now);
  note_second (now.tv_sec);
  *out++ = '<';
  out = dgt_u64 (out, FACILITY_DAEMON * 8 + (uint64_t)level);
  *out++ = '>';
  out = g_stpcpy (out, state.date);
  /* Three digits with leading zeros, behind a one that the full stop then overwrites. */
  dgt_u64 (out, 1000 + (uint64_t)now.tv_nsec / (1000 * 1000));
  *out = '.';
  out += strlen (".000");
  out = g_stpcpy (out, state.tail);
  g_strlcpy (out, event, EVENT_BYTES);
  out += strlen (out);
  line->bytes = (size_t)(out - line->text);
}

static void
line_end (line_t *line)
{
  if (line->cut)
    {
      memcpy (line->text + line->bytes, CUT_FIELD, strlen (CUT_FIELD));
      line->bytes += strlen (CUT_FIELD);
    }
  line->text[line->bytes++] = '\n';
}

/*
 * A full pipe would block the task that logs, and with it all its callers, for as long as the
 * reader of the log stalls. A pipe that polls writable takes PIPE_BUF bytes, and a line is shorter.
 */
static bool
has_room (void)
{
  struct pollfd poll_fd = { .fd = state.fd, .events = POLLOUT };

  return poll (&poll_fd, 1, 0) == 1 && (poll_fd.revents & POLLOUT) != 0;
}

/* Return: bytes written, 0 when none are taken now */
static size_t
write_some (const char *bytes, size_t count)
{
  ssize_t written;

  if (!has_room ())
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
         (written = write_some (state.buffer + state.start, state.end - state.start)) > 0)
    state.start += written;
  if (state.start < state.end)
    return;
  state.start = 0;
  state.end = 0;
  state.held_us = 0;
}

/* Return: whether there is room for @bytes in the first @limit of the buffer */
static bool
make_room (size_t bytes, size_t limit)
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
line_hold (const line_t *line, log_level_t level)
{
  bool urgent = level <= LOG_LEVEL_WARNING;
  bool was_empty = state.end == state.start;
  size_t limit = urgent ? LOG_BUFFER_BYTES : LOG_BUFFER_BYTES / 4 * 3;
  int64_t now_us = g_get_monotonic_time ();

  if (!make_room (line->bytes, limit))
    return false;
  memcpy (state.buffer + state.end, line->text, line->bytes);
  state.end += line->bytes;
  if (state.held_us == 0)
    state.held_us = now_us;
  if (urgent || state.end - state.start >= LOG_WRITE_BYTES ||
      now_us - state.held_us >= LOG_HOLD_MS * 1000)
    flush ();
  state.begins_hold = state.begins_hold || (was_empty && state.end > state.start);
  return true;
}

static bool
line_write (const line_t *line, log_level_t level)
{
  if (state.buffer)
    return line_hold (line, level);
  return write_some (line->text, line->bytes) == line->bytes;
}

/* Held to the limit of the line that it goes before: else it would fill what is kept for failures.
 */
static void
report_dropped (log_level_t level)
{
  line_t line;

  if (state.dropped == 0)
    return;
  line_begin (&line, LOG_LEVEL_WARNING, "log_lines_dropped");
  line_add_field (&line, "count", LOG_U64 (state.dropped));
  line_end (&line);
  if (line_write (&line, level))
    state.dropped = 0;
}

void
log_init (const char *program, const char *host, log_level_t level)
{
  g_snprintf (state.tail, sizeof state.tail, "Z %.*s %.*s[%d]: ", LIM_NAME_BYTES - 1, host,
              LIM_NAME_BYTES - 1, program, (int)getpid ());
  state.level = level;
}

void
log_open (int fd)
{
  g_mutex_lock (&state.lock);
  state.fd = fd;
  if (!state.buffer)
    state.buffer = g_malloc (LOG_BUFFER_BYTES);
  g_mutex_unlock (&state.lock);
}

void
log_on_held (void (*held) (void *context), void *context)
{
  g_mutex_lock (&state.lock);
  state.held = held;
  state.held_context = context;
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
  void (*held) (void *context);
  void *held_context;
  line_t line;
  const char *field;
  va_list pairs;

  if (level > state.level)
    return;
  g_mutex_lock (&state.lock);
  state.begins_hold = false;
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
  if (state.dropped != 0 || !line_write (&line, level))
    state.dropped++;
  held = state.begins_hold ? state.held : NULL;
  held_context = state.held_context;
  g_mutex_unlock (&state.lock);
  /* Without the lock: the callback takes others, of libraries that log under them. */
  if (held)
    held (held_context);
}

const char *
log_u64 (log_num_t *num, uint64_t value)
{
  *dgt_u64 (num->text, value) = '\0';
  return num->text;
}

const char *
log_hex (log_num_t *num, uint64_t value)
{
  *dgt_hex (num->text, value) = '\0';
  return num->text;
}
