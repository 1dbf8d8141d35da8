#include "driver.h"

#include <CUnit/CUnit.h>
#include <glib/gstdio.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

static drv_line_t *
add_line (drv_t *drv, char *text)
{
  drv_line_t *line = g_new0 (drv_line_t, 1);
  line->text = text;
  g_ptr_array_add (drv->transcript, line);
  return line;
}

void
drv_say (drv_t *drv, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  add_line (drv, g_strdup_vprintf (format, args));
  va_end (args);
}

void
drv_tell (drv_call_t *call)
{
  drv_line_t *line = add_line (call->drv, g_strdup (call->name));
  line->call = call;
}

static const char *
outcome_name (const drv_call_t *call)
{
  switch (call->outcome)
    {
    case DRV_WAITING:
      return "waits";
    case DRV_WHOLE:
      return call->status != 200 ? "error" : drv_own_answer (call) ? "own answer" : "WRONG ANSWER";
    case DRV_CUT:
      return "cut answer";
    case DRV_NO_ANSWER:
      return "no answer";
    case DRV_HUNG_UP:
      return "hung up";
    }
  return "";
}

static char *
format_outcome (const drv_call_t *call)
{
  g_autofree char *reason = drv_reason (call);
  GString *text = g_string_new (NULL);
  g_string_append_printf (text, "%d %s", call->status, outcome_name (call));
  if (*drv_verdict (call) != '\0')
    g_string_append_printf (text, ", %s", drv_verdict (call));
  if (*reason != '\0')
    g_string_append_printf (text, ", %s", reason);
  if (drv_header (call, "retry-after") != NULL)
    g_string_append (text, ", retry later");
  return g_string_free (text, FALSE);
}

static void
append_line (GString *out, const drv_line_t *line)
{
  if (line->call == NULL)
    {
      g_string_append_printf (out, "%s\n", line->text);
      return;
    }
  g_autofree char *result = format_outcome (line->call);
  g_string_append_printf (out, "%s: %s; ran %" PRIu32 "\n", line->text, result,
                          drv_runs (line->call));
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
drv_compare (drv_t *drv)
{
  const char *source = g_getenv ("MEDLARPLANK_SOURCE");
  g_autofree char *file = g_strconcat (drv->name, ".txt", NULL);
  g_autofree char *path =
      g_build_filename (source != NULL ? source : ".", "tests", "golden", file, NULL);
  g_autofree char *golden = NULL;
  GString *text = g_string_new (NULL);
  for (guint i = 0; i < drv->transcript->len; i++)
    append_line (text, drv->transcript->pdata[i]);
  g_autofree char *folder = g_path_get_dirname (path);
  g_mkdir_with_parents (folder, 0755);
  if (g_strcmp0 (g_getenv ("MEDLARPLANK_GOLDEN"), "write") == 0)
    g_file_set_contents (path, text->str, -1, NULL);
  if (!g_file_get_contents (path, &golden, NULL, NULL))
    drv_fail (drv, "no golden file %s; the transcript is:\n%s", path, text->str);
  else if (strcmp (golden, text->str) != 0)
    {
      print_difference (path, text->str);
      drv_fail (drv, "the transcript differs from %s", path);
    }
  g_string_free (text, TRUE);
}
