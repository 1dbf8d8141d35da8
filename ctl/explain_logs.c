#include "explain_logs.h"

#include <errno.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* "<PRI>TIMESTAMP HOST PROGRAM[PID]: EVENT FIELDS" */
#define LOG_LINE_PATTERN                                                                           \
  "<\\d+>(\\d{4}-\\d\\d-\\d\\dT\\d\\d:\\d\\d:\\d\\d\\.\\d{3}Z) (\\S+) \\S+\\[(\\d+)\\]: "          \
  "(\\S+)(.*)$"

/* Events that change a daemon's view of the fleet and so can explain the outcome of a request. */
static const char *const state_events[] = {
  "version",
  "engine",
  "dependency_lost",
  "dependency_regained",
  "started",
  "stop_signal",
  "ready",
  "not_ready",
  "stalled",
  "view_from_peer",
  "version_unreadable",
  "engine_up",
  "engine_down",
  "engine_crashed",
};

/** struct log_line - one parsed log line; @of_request: it carries the id of the request */
typedef struct
{
  int64_t time_ms;
  char *host;
  char *process;
  char *event;
  char *fields;
  bool of_request;
} log_line_t;

/**
 * struct log_search - search for one request
 * @lines: the request's lines and all state events, log_line_t
 * @match_count: number of lines that carry the request's id
 * @unparsed_count: number of lines that are not in the daemons' log format
 */
typedef struct
{
  const char *request;
  GRegex *line_pattern;
  GPtrArray *lines;
  uint64_t match_count;
  uint64_t unparsed_count;
} log_search_t;

static void
log_line_free (gpointer data)
{
  log_line_t *line = data;

  g_free (line->host);
  g_free (line->process);
  g_free (line->event);
  g_free (line->fields);
  g_free (line);
}

/* The whole value must match, since the ids of a request's attempts begin with the request's id. */
static bool
has_request_id (const char *fields, const char *request)
{
  static const char *const names[] = { " id=", " request=" };

  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      const char *at = strstr (fields, names[i]);
      size_t bytes = strlen (request);

      if (!at || strncmp (at + strlen (names[i]), request, bytes) != 0)
        continue;
      at += strlen (names[i]) + bytes;
      if (*at == '\0' || *at == ' ')
        return true;
    }
  return false;
}

static bool
is_state_event (const char *event)
{
  for (size_t i = 0; i < G_N_ELEMENTS (state_events); i++)
    if (strcmp (state_events[i], event) == 0)
      return true;
  return false;
}

static int64_t
parse_time_ms (const char *text)
{
  g_autoptr (GDateTime) time = g_date_time_new_from_iso8601 (text, NULL);

  if (!time)
    return -1;
  return g_date_time_to_unix (time) * 1000 + g_date_time_get_microsecond (time) / 1000;
}

static void
parse_line (log_search_t *search, const char *text)
{
  g_autoptr (GMatchInfo) match = NULL;
  g_autofree char *time = NULL;
  g_autofree char *event = NULL;
  g_autofree char *fields = NULL;
  bool of_request;
  log_line_t *line;

  /* Log collectors may prepend text to the line, so the pattern is not anchored at its start. */
  if (!g_regex_match (search->line_pattern, text, 0, &match))
    {
      search->unparsed_count++;
      return;
    }
  event = g_match_info_fetch (match, 4);
  fields = g_match_info_fetch (match, 5);
  of_request = has_request_id (fields, search->request);
  if (!of_request && !is_state_event (event))
    return;
  time = g_match_info_fetch (match, 1);
  line = g_new0 (log_line_t, 1);
  line->time_ms = parse_time_ms (time);
  line->host = g_match_info_fetch (match, 2);
  line->process = g_match_info_fetch (match, 3);
  line->event = g_steal_pointer (&event);
  line->fields = g_steal_pointer (&fields);
  line->of_request = of_request;
  search->match_count += of_request ? 1 : 0;
  g_ptr_array_add (search->lines, line);
}

/* Return: false when the file can't be read */
static bool
read_file (log_search_t *search, const char *path)
{
  FILE *file = fopen (path, "re");
  g_autofree char *text = g_malloc (EXPLAIN_LOGS_LINE_BYTES);
  bool ok;

  if (!file)
    return false;
  while (fgets (text, EXPLAIN_LOGS_LINE_BYTES, file))
    {
      g_strchomp (text);
      if (text[0] != '\0')
        parse_line (search, text);
    }
  ok = ferror (file) == 0;
  fclose (file);
  return ok;
}

static bool
read_directory (log_search_t *search, const char *path)
{
  g_autoptr (GDir) directory = g_dir_open (path, 0, NULL);
  const char *name;

  if (!directory)
    return false;
  while ((name = g_dir_read_name (directory)))
    {
      g_autofree char *file = g_build_filename (path, name, NULL);

      if (g_file_test (file, G_FILE_TEST_IS_REGULAR) && !read_file (search, file))
        return false;
    }
  return true;
}

static int
compare_times (gconstpointer a, gconstpointer b)
{
  const log_line_t *left = *(const log_line_t *const *)a;
  const log_line_t *right = *(const log_line_t *const *)b;

  return left->time_ms < right->time_ms ? -1 : left->time_ms > right->time_ms;
}

/* Clocks of hosts differ, so times are compared only between lines of one process. */
static bool
is_related_state (const log_search_t *search, const log_line_t *state)
{
  for (guint i = 0; i < search->lines->len; i++)
    {
      const log_line_t *own_line = g_ptr_array_index (search->lines, i);

      if (own_line->of_request && strcmp (own_line->host, state->host) == 0 &&
          strcmp (own_line->process, state->process) == 0 && state->time_ms <= own_line->time_ms &&
          own_line->time_ms - state->time_ms <= EXPLAIN_LOGS_CONTEXT_MS)
        return true;
    }
  return false;
}

static void
print_line (const ctl_t *ctl, const log_line_t *line)
{
  g_autoptr (GDateTime) at = g_date_time_new_from_unix_utc (line->time_ms / 1000);
  g_autofree char *time = g_date_time_format (at, "%H:%M:%S");

  if ((ctl->options.given & CTL_OPTION_JSON) == 0)
    {
      printf ("%s.%03d %s %s %s%s\n", time, (int)(line->time_ms % 1000),
              line->of_request ? "*" : " ", line->host, line->event, line->fields);
      return;
    }
  json_t *json =
      json_pack ("{s:I,s:s,s:s,s:s,s:b}", "time_ms", (json_int_t)line->time_ms, "host", line->host,
                 "event", line->event, "fields", line->fields + 1, "of_request", line->of_request);
  char *text = json_dumps (json, JSON_COMPACT);

  puts (text);
  free (text);
  json_decref (json);
}

ctl_exit_t
explain_logs_print (ctl_t *ctl, const char *request, const char *path)
{
  bool directory = g_file_test (path, G_FILE_TEST_IS_DIR);
  log_search_t search = { .request = request,
                          .line_pattern = g_regex_new (LOG_LINE_PATTERN,
                                                       G_REGEX_OPTIMIZE | G_REGEX_RAW, 0, NULL),
                          .lines = g_ptr_array_new_with_free_func (log_line_free) };
  ctl_exit_t code = CTL_OK;

  if (!(directory ? read_directory (&search, path) : read_file (&search, path)))
    code = ctl_report (CTL_USAGE, "--logs: \"%s\" can't be read: %s", path, g_strerror (errno));
  else if (search.match_count == 0)
    code = ctl_report (CTL_FAILED,
                       "no line of the logs bears the request id \"%s\" (%" PRIu64
                       " lines are not daemon log lines)",
                       request, search.unparsed_count);
  g_ptr_array_sort (search.lines, compare_times);
  for (guint i = 0; code == CTL_OK && i < search.lines->len; i++)
    {
      const log_line_t *line = g_ptr_array_index (search.lines, i);

      if (line->of_request || is_related_state (&search, line))
        print_line (ctl, line);
    }
  g_ptr_array_free (search.lines, TRUE);
  g_regex_unref (search.line_pattern);
  return code;
}
