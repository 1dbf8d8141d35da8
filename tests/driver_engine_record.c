#include "driver.h"

#include <glib/gstdio.h>
#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

/* Leading hexadecimal digits of an attempt's id that all attempts of a request share; the last byte
 * counts the hops. */
#define REQUEST_ID_DIGITS 30

static char *
hash_body (const char *body)
{
  return g_strdup_printf ("%016" PRIx64, (uint64_t)XXH64 (body, strlen (body), 0));
}

json_t *
driver_engine_begun_records (const driver_process_t *engine)
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
driver_engine_run_count (const driver_process_t *engine)
{
  json_t *begun = driver_engine_begun_records (engine);
  uint32_t count = (uint32_t)json_array_size (begun);
  json_decref (begun);
  return count;
}

static uint64_t
record_bytes (const driver_t *driver)
{
  uint64_t bytes = 0;
  GStatBuf file;
  for (uint32_t i = 0; i < driver->host_count; i++)
    if (g_stat (driver->hosts[i].engine->record_path, &file) == 0)
      bytes += (uint64_t)file.st_size;
  return bytes;
}

static void
increment_count (driver_t *driver, char *text)
{
  uint32_t before = GPOINTER_TO_UINT (g_hash_table_lookup (driver->run_counts, text));
  g_hash_table_replace (driver->run_counts, text, GUINT_TO_POINTER (before + 1));
}

/* Reads the records again only if they have grown: most queries come after the last run has begun.
 */
static void
update_run_counts (driver_t *driver)
{
  uint64_t bytes = record_bytes (driver);
  if (bytes == driver->counted_record_bytes)
    return;
  g_hash_table_remove_all (driver->run_counts);
  driver->counted_record_bytes = bytes;
  for (uint32_t i = 0; i < driver->host_count; i++)
    {
      size_t index;
      json_t *entry;
      json_t *begun = driver_engine_begun_records (driver->hosts[i].engine);
      json_array_foreach (begun, index, entry)
        {
          const char *id = json_string_value (json_object_get (entry, "id"));
          increment_count (driver,
                           g_strdup (json_string_value (json_object_get (entry, "body_hash"))));
          if (id != NULL)
            increment_count (driver, g_strndup (id, REQUEST_ID_DIGITS));
        }
      json_decref (begun);
    }
}

uint32_t
driver_call_run_count (const driver_call_t *call)
{
  g_autofree char *hash = hash_body (call->sent_body);
  update_run_counts (call->driver);
  return GPOINTER_TO_UINT (g_hash_table_lookup (call->driver->run_counts, hash));
}

bool
driver_request_has_run (driver_t *driver, const char *request)
{
  g_autofree char *id = g_strndup (request, REQUEST_ID_DIGITS);
  update_run_counts (driver);
  return g_hash_table_contains (driver->run_counts, id);
}

void
driver_host_forbid_new_runs (driver_host_t *host)
{
  host->engine->max_runs = driver_engine_run_count (host->engine);
}
