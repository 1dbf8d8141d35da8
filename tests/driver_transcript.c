#include "driver.h"

#include <CUnit/CUnit.h>
#include <glib/gstdio.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

static driver_transcript_line_t *
add_line (driver_t *driver, char *text)
{
  driver_transcript_line_t *line = g_new0 (driver_transcript_line_t, 1);
  line->text = text;
  g_ptr_array_add (driver->transcript, line);
  return line;
}

void
driver_transcript_add (driver_t *driver, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  add_line (driver, g_strdup_vprintf (format, args));
  va_end (args);
}

void
driver_transcript_add_call (driver_call_t *call)
{
  driver_transcript_line_t *line = add_line (call->driver, g_strdup (call->name));
  line->call = call;
}

static const char *
outcome_name (const driver_call_t *call)
{
  switch (call->outcome)
    {
    case DRIVER_OUTCOME_PENDING:
      return "waits";
    case DRIVER_OUTCOME_COMPLETE:
      return call->status != 200             ? "error"
             : driver_call_is_correct (call) ? "own answer"
                                             : "WRONG ANSWER";
    case DRIVER_OUTCOME_TRUNCATED:
      return "cut answer";
    case DRIVER_OUTCOME_NO_RESPONSE:
      return "no answer";
    case DRIVER_OUTCOME_CANCELLED:
      return "hung up";
    }
  return "";
}

static char *
format_outcome (const driver_call_t *call)
{
  g_autofree char *reason = driver_call_error_code (call);
  GString *text = g_string_new (NULL);
  g_string_append_printf (text, "%d %s", call->status, outcome_name (call));
  if (*driver_call_verdict (call) != '\0')
    g_string_append_printf (text, ", %s", driver_call_verdict (call));
  if (*reason != '\0')
    g_string_append_printf (text, ", %s", reason);
  if (driver_call_header (call, "retry-after") != NULL)
    g_string_append (text, ", retry later");
  return g_string_free (text, FALSE);
}

static void
append_line (GString *out, const driver_transcript_line_t *line)
{
  if (line->call == NULL)
    {
      g_string_append_printf (out, "%s\n", line->text);
      return;
    }
  g_autofree char *result = format_outcome (line->call);
  g_string_append_printf (out, "%s: %s; ran %" PRIu32 "\n", line->text, result,
                          driver_call_run_count (line->call));
}

static void
print_difference (const char *golden, const char *text)
{
  g_autofree char *path = NULL;
  g_autofree char *out = NULL;
  int fd = g_file_open_tmp ("transcript-XXXXXX", &path, NULL);
  g_assert (fd >= 0);
  close (fd);
  g_file_set_contents (path, text, -1, NULL);
  char *argv[] = { (char *)"diff", (char *)"-u", (char *)golden, path, NULL };
  g_spawn_sync (NULL, argv, NULL, G_SPAWN_SEARCH_PATH, NULL, NULL, &out, NULL, NULL, NULL);
  printf ("\n%s\n", out != NULL ? out : text);
  remove (path);
}

void
driver_transcript_compare (driver_t *driver)
{
  const char *source = g_getenv ("MEDLARPLANK_SOURCE");
  g_autofree char *file = g_strconcat (driver->name, ".txt", NULL);
  g_autofree char *path =
      g_build_filename (source != NULL ? source : ".", "tests", "golden", file, NULL);
  g_autofree char *golden = NULL;
  GString *text = g_string_new (NULL);
  for (guint i = 0; i < driver->transcript->len; i++)
    append_line (text, driver->transcript->pdata[i]);
  g_autofree char *folder = g_path_get_dirname (path);
  g_mkdir_with_parents (folder, 0755);
  if (g_strcmp0 (g_getenv ("MEDLARPLANK_GOLDEN"), "write") == 0)
    g_file_set_contents (path, text->str, -1, NULL);
  if (!g_file_get_contents (path, &golden, NULL, NULL))
    driver_fail (driver, "no golden file %s; the transcript is:\n%s", path, text->str);
  else if (strcmp (golden, text->str) != 0)
    {
      print_difference (path, text->str);
      driver_fail (driver, "the transcript differs from %s", path);
    }
  g_string_free (text, TRUE);
}
