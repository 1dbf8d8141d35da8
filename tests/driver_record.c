#include "driver.h"

#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

static char *
body_print (const char *body)
{
  return g_strdup_printf ("%016" PRIx64, (uint64_t)XXH64 (body, strlen (body), 0));
}

json_t *
drv_begun_on (const drv_process_t *engine)
{
  json_t *begun = json_array ();
  g_autofree char *text = NULL;
  if (!g_file_get_contents (engine->record_path, &text, NULL, NULL))
    return begun;
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
  for (char **line = lines; *line != NULL; line++)
    {
      json_t *entry = json_loads (*line, 0, NULL);
      const char *state = json_string_value (json_object_get (entry, "state"));
      if (g_strcmp0 (state, "begun") == 0)
        json_array_append (begun, entry);
      json_decref (entry);
    }
  return begun;
}

uint32_t
drv_runs_on (const drv_process_t *engine)
{
  json_t *begun = drv_begun_on (engine);
  uint32_t count = (uint32_t)json_array_size (begun);
  json_decref (begun);
  return count;
}

static uint32_t
count_runs (const drv_t *drv, const char *print)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < drv->host_count; i++)
    {
      size_t index;
      json_t *entry;
      json_t *begun = drv_begun_on (drv->hosts[i].engine);
      json_array_foreach (begun, index, entry)
        {
          const char *hash = json_string_value (json_object_get (entry, "body_hash"));
          if (g_strcmp0 (hash, print) == 0)
            count++;
        }
      json_decref (begun);
    }
  return count;
}

uint32_t
drv_runs (const drv_call_t *call)
{
  g_autofree char *print = body_print (call->sent_body);
  return count_runs (call->drv, print);
}

void
drv_left (drv_host_t *host)
{
  host->engine->leaving_runs = drv_runs_on (host->engine);
}
