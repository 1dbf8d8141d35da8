#include "process/log.h"

#include "process/limits.h"

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

G_STATIC_ASSERT (LIM_LOG_LINE_BYTES <= PIPE_BUF);

/**
 * struct log_state - the one log of the process; standard error is one too
 * @lock: held while a line is written
 * @dropped: lines lost since the last one that was written
 */
typedef struct
{
  GMutex lock;
  char program[LIM_NAME_BYTES];
  char host[LIM_NAME_BYTES];
  log_level_t level;
  uint64_t dropped;
} log_state_t;

static log_state_t state = { .program = "medlarplank", .host = "-", .level = LOG_LEVEL_INFO };

/** struct line - a line in the making; room for CUT_FIELD and the newline is kept back */
typedef struct
{
  char text[LIM_LOG_LINE_BYTES];
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

/* Writes the value as it stands in a line, at most LIM_LOG_VALUE_BYTES with the final NUL. */
static void
format_value (const char *value, char out[LIM_LOG_VALUE_BYTES])
{
  const size_t room = LIM_LOG_VALUE_BYTES - sizeof (CUT_VALUE "\"");
  bool quoted = needs_quotes (value) || strlen (value) > room;
  size_t bytes = 0;

  if (quoted)
    out[bytes++] = '"';
  for (; *value != '\0'; value++)
    {
      char piece[4];
      size_t piece_bytes = escape_byte ((unsigned char)*value, piece);
      if (bytes + piece_bytes > room)
        break;
      memcpy (out + bytes, piece, piece_bytes);
      bytes += piece_bytes;
    }
  out[bytes] = '\0';
  if (*value != '\0')
    g_strlcat (out, CUT_VALUE, LIM_LOG_VALUE_BYTES);
  if (quoted)
    g_strlcat (out, "\"", LIM_LOG_VALUE_BYTES);
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
  char text[LIM_LOG_VALUE_BYTES];

  format_value (value, text);
  line->cut = line->cut || line->bytes + strlen (field) + strlen (text) + 2 > LINE_ROOM;
  if (line->cut)
    return;
  line_append (line, " ");
  line_append (line, field);
  line_append (line, "=");
  line_append (line, text);
}

static void
line_begin (line_t *line, log_level_t level, const char *event)
{
  char head[512];
  char date[32];
  struct timespec now;
  struct tm utc;

  clock_gettime (CLOCK_REALTIME, &now);
  gmtime_r (&now.tv_sec, &utc);
  strftime (date, sizeof date, "%Y-%m-%dT%H:%M:%S", &utc);
  g_snprintf (head, sizeof head, "<%d>%s.%03dZ %s %s[%d]: %.128s", FACILITY_DAEMON * 8 + (int)level,
              date, (int)(now.tv_nsec / (1000 * 1000)), state.host, state.program, (int)getpid (),
              event);
  line->bytes = 0;
  line->cut = false;
  line_append (line, head);
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
stderr_has_room (void)
{
  struct pollfd poll_fd = { .fd = STDERR_FILENO, .events = POLLOUT };

  return poll (&poll_fd, 1, 0) == 1 && (poll_fd.revents & POLLOUT) != 0;
}

static bool
line_write (const line_t *line)
{
  ssize_t written;

  if (!stderr_has_room ())
    return false;
  do
    written = write (STDERR_FILENO, line->text, line->bytes);
  while (written < 0 && errno == EINTR);
  return written == (ssize_t)line->bytes;
}

static void
report_dropped (void)
{
  line_t line;

  if (state.dropped == 0)
    return;
  line_begin (&line, LOG_LEVEL_WARNING, "log_lines_dropped");
  line_add_field (&line, "count", LOG_U64 (state.dropped));
  line_end (&line);
  if (line_write (&line))
    state.dropped = 0;
}

void
log_init (const char *program, const char *host, log_level_t level)
{
  g_strlcpy (state.program, program, sizeof state.program);
  g_strlcpy (state.host, host, sizeof state.host);
  state.level = level;
}

void
log_event (log_level_t level, const char *event, ...)
{
  line_t line;
  const char *field;
  va_list pairs;

  if (level > state.level)
    return;
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

  g_mutex_lock (&state.lock);
  report_dropped ();
  if (state.dropped != 0 || !line_write (&line))
    state.dropped++;
  g_mutex_unlock (&state.lock);
}

const char *
log_u64 (log_num_t *num, uint64_t value)
{
  g_snprintf (num->text, sizeof num->text, "%" G_GUINT64_FORMAT, value);
  return num->text;
}

const char *
log_hex (log_num_t *num, uint64_t value)
{
  g_snprintf (num->text, sizeof num->text, "%016" G_GINT64_MODIFIER "x", value);
  return num->text;
}
