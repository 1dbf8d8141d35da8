#include "explain_logs.h"

#include <errno.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* "<PRI>TIMESTAMP HOST PROGRAM[PID]: EVENT FIELDS" */
#define FORM                                                                                       \
  "<\\d+>(\\d{4}-\\d\\d-\\d\\dT\\d\\d:\\d\\d:\\d\\d\\.\\d{3}Z) (\\S+) \\S+\\[(\\d+)\\]: "          \
  "(\\S+)(.*)$"

/* What changes a daemon's belief and can be the cause of what became of a request. */
static const char *const belief_events[] = {
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

/** struct entry - one line of a log */
typedef struct
{
  int64_t time_ms;
  char *host;
  char *process;
  char *event;
  char *fields;
  bool own;
} entry_t;

/** struct story - lines read so far; those of other events are kept only when they tell a belief */
typedef struct
{
  const char *request;
  GRegex *form;
  GPtrArray *entries;
  uint64_t own_count;
  uint64_t strange; /* lines that are none of a daemon's */
} story_t;

static void
entry_free (gpointer data)
{
  entry_t *entry = data;

  g_free (entry->host);
  g_free (entry->process);
  g_free (entry->event);
  g_free (entry->fields);
  g_free (entry);
}

/* A whole value of a field "id" or "request"; attempt ids of a request begin with its own. */
static bool
bears_id (const char *fields, const char *request)
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
tells_belief (const char *event)
{
  for (size_t i = 0; i < G_N_ELEMENTS (belief_events); i++)
    if (strcmp (belief_events[i], event) == 0)
      return true;
  return false;
}

static int64_t
time_of (const char *text)
{
  g_autoptr (GDateTime) time = g_date_time_new_from_iso8601 (text, NULL);

  if (!time)
    return -1;
  return g_date_time_to_unix (time) * 1000 + g_date_time_get_microsecond (time) / 1000;
}

static void
take_line (story_t *story, const char *line)
{
  g_autoptr (GMatchInfo) match = NULL;
  g_autofree char *time = NULL;
  g_autofree char *event = NULL;
  g_autofree char *fields = NULL;
  bool own;
  entry_t *entry;

  /* Collectors may put a prefix of their own before the line. */
  if (!g_regex_match (story->form, line, 0, &match))
    {
      story->strange++;
      return;
    }
  event = g_match_info_fetch (match, 4);
  fields = g_match_info_fetch (match, 5);
  own = bears_id (fields, story->request);
  if (!own && !tells_belief (event))
    return;
  time = g_match_info_fetch (match, 1);
  entry = g_new0 (entry_t, 1);
  entry->time_ms = time_of (time);
  entry->host = g_match_info_fetch (match, 2);
  entry->process = g_match_info_fetch (match, 3);
  entry->event = g_steal_pointer (&event);
  entry->fields = g_steal_pointer (&fields);
  entry->own = own;
  story->own_count += own ? 1 : 0;
  g_ptr_array_add (story->entries, entry);
}

/* Return: false when the file can't be read */
static bool
read_file (story_t *story, const char *path)
{
  FILE *file = fopen (path, "re");
  g_autofree char *line = g_malloc (XPL_LINE_BYTES);
  bool sound;

  if (!file)
    return false;
  while (fgets (line, XPL_LINE_BYTES, file))
    {
      g_strchomp (line);
      if (line[0] != '\0')
        take_line (story, line);
    }
  sound = ferror (file) == 0;
  fclose (file);
  return sound;
}

static bool
read_folder (story_t *story, const char *path)
{
  g_autoptr (GDir) folder = g_dir_open (path, 0, NULL);
  const char *name;

  if (!folder)
    return false;
  while ((name = g_dir_read_name (folder)))
    {
      g_autofree char *file = g_build_filename (path, name, NULL);

      if (g_file_test (file, G_FILE_TEST_IS_REGULAR) && !read_file (story, file))
        return false;
    }
  return true;
}

static int
by_time (gconstpointer a, gconstpointer b)
{
  const entry_t *left = *(const entry_t *const *)a;
  const entry_t *right = *(const entry_t *const *)b;

  return left->time_ms < right->time_ms ? -1 : left->time_ms > right->time_ms;
}

/* Clocks of hosts differ, so a belief counts only for requests of its own process. */
static bool
is_context (const story_t *story, const entry_t *belief)
{
  for (guint i = 0; i < story->entries->len; i++)
    {
      const entry_t *own = g_ptr_array_index (story->entries, i);

      if (own->own && strcmp (own->host, belief->host) == 0 &&
          strcmp (own->process, belief->process) == 0 && belief->time_ms <= own->time_ms &&
          own->time_ms - belief->time_ms <= XPL_BEFORE_MS)
        return true;
    }
  return false;
}

static void
print_entry (const ctl_t *ctl, const entry_t *entry)
{
  g_autoptr (GDateTime) at = g_date_time_new_from_unix_utc (entry->time_ms / 1000);
  g_autofree char *time = g_date_time_format (at, "%H:%M:%S");

  if ((ctl->opt.given & OPT_JSON) == 0)
    {
      printf ("%s.%03d %s %s %s%s\n", time, (int)(entry->time_ms % 1000), entry->own ? "*" : " ",
              entry->host, entry->event, entry->fields);
      return;
    }
  json_t *json = json_pack ("{s:I,s:s,s:s,s:s,s:b}", "time_ms", (json_int_t)entry->time_ms, "host",
                            entry->host, "event", entry->event, "fields", entry->fields + 1,
                            "of_request", entry->own);
  char *text = json_dumps (json, JSON_COMPACT);

  puts (text);
  free (text);
  json_decref (json);
}

ctl_exit_t
xpl_explain (ctl_t *ctl, const char *request, const char *path)
{
  bool folder = g_file_test (path, G_FILE_TEST_IS_DIR);
  story_t story = { .request = request,
                    .form = g_regex_new (FORM, G_REGEX_OPTIMIZE | G_REGEX_RAW, 0, NULL),
                    .entries = g_ptr_array_new_with_free_func (entry_free) };
  ctl_exit_t code = CTL_OK;

  if (!(folder ? read_folder (&story, path) : read_file (&story, path)))
    code = ctl_complain (CTL_USAGE, "--logs: \"%s\" can't be read: %s", path, g_strerror (errno));
  else if (story.own_count == 0)
    code = ctl_complain (CTL_FAILED,
                         "no line of the logs bears the request id \"%s\" (%" PRIu64
                         " lines are none of a daemon's)",
                         request, story.strange);
  g_ptr_array_sort (story.entries, by_time);
  for (guint i = 0; code == CTL_OK && i < story.entries->len; i++)
    {
      const entry_t *entry = g_ptr_array_index (story.entries, i);

      if (entry->own || is_context (&story, entry))
        print_entry (ctl, entry);
    }
  g_ptr_array_free (story.entries, TRUE);
  g_regex_unref (story.form);
  return code;
}
