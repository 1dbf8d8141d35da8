#include "crash_rig.h"

#include <string.h>

#define RECORD_FIELDS 7

#define ROUTE(name, kind, service, more)                                                           \
  "{\"name\":\"" name "\",\"host\":\"fleet\",\"path_prefix\":\"/" name "/\",\"kind\":\"" kind      \
  "\",\"timeout_ms\":5000,\"attempts\":2,\"service\":\"" service "\"" more "}"

#define ROUTES                                                                                     \
  ROUTE ("look", "idempotent", "ledger", "")                                                       \
  "," ROUTE ("book", "non_idempotent", "ledger", "") "," ROUTE ("talk", "stream", "pool",          \
                                                                ",\"resumable\":true")
#define TENANTS "{\"name\":\"alpha\",\"api_keys\":[\"key-1\"]}"

static const char config[] = "{\"version\":1,\"routes\":[" ROUTES "],\"tenants\":[" TENANTS "]}";

static void
start_upstream (crash_rig_t *rig, uint32_t index)
{
  g_autofree char *name = g_strdup_printf ("upstream%u", index);
  bool streams = index < CRASH_RIG_STREAM_UPSTREAMS;

  rig->upstreams[index] =
      driver_start_upstream (rig->driver, &(driver_upstream_t){
                                              .name = name,
                                              .streams = streams,
                                              .work_ms = streams ? 20 : 40,
                                              .events = rig->options.stream_events,
                                              .crash_on = rig->options.crash_on,
                                              .crash_parts = rig->options.crash_parts,
                                          });
}

static void
start_gateway (crash_rig_t *rig, uint32_t index)
{
  g_autofree char *name = g_strdup_printf ("gateway%u", index);

  rig->gateways[index] = driver_start_gateway (rig->driver, name, 500, 4000);
}

static bool
all_registered (void *context)
{
  const crash_rig_t *rig = context;

  for (uint32_t i = 0; i < CRASH_RIG_GATEWAYS; i++)
    if (driver_process_count_log_lines (rig->gateways[i], ": engine ", "state=ready") <
            CRASH_RIG_UPSTREAMS ||
        driver_process_count_log_lines (rig->gateways[i], ": ready ", NULL) == 0)
      return false;
  return true;
}

void
crash_rig_start (crash_rig_t *rig, driver_t *driver, const crash_rig_options_t *options)
{
  rig->driver = driver;
  rig->options = *options;
  driver_start_platform (driver);
  driver_write_record (driver, "config", config);
  for (uint32_t i = 0; i < CRASH_RIG_UPSTREAMS; i++)
    start_upstream (rig, i);
  for (uint32_t i = 0; i < CRASH_RIG_GATEWAYS; i++)
    start_gateway (rig, i);
  driver_wait_until (driver, DRIVER_WAIT_LIMIT_MS, "all upstreams at all gateways", all_registered,
                     rig);
}

void
crash_rig_restart_upstreams (crash_rig_t *rig)
{
  gint64 now_us = g_get_monotonic_time ();

  for (uint32_t i = 0; i < CRASH_RIG_UPSTREAMS; i++)
    {
      driver_process_t *upstream = rig->upstreams[i];

      if (!driver_process_reap (upstream))
        continue;
      if (rig->restart_at_us[i] == 0)
        rig->restart_at_us[i] = now_us + (gint64)rig->options.restart_ms * 1000;
      if (now_us < rig->restart_at_us[i])
        continue;
      rig->restart_at_us[i] = 0;
      driver_process_start (upstream);
    }
}

bool
crash_rig_all_run (crash_rig_t *rig)
{
  crash_rig_restart_upstreams (rig);
  for (uint32_t i = 0; i < CRASH_RIG_UPSTREAMS; i++)
    if (rig->upstreams[i]->pid <= 0)
      return false;
  return true;
}

static gint
compare_records (gconstpointer a, gconstpointer b)
{
  gint64 left = ((const crash_rig_record_t *)a)->time_ms;
  gint64 right = ((const crash_rig_record_t *)b)->time_ms;

  return left < right ? -1 : left > right;
}

static void
collect_from (GArray *records,
              const driver_process_t *upstream,
              const char *what,
              const char *prefix,
              const char *outcome)
{
  g_autofree char *text = NULL;

  if (!g_file_get_contents (upstream->record_path, &text, NULL, NULL))
    return;
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
  for (char **line = lines; *line; line++)
    {
      g_auto (GStrv) fields = g_strsplit (*line, " ", RECORD_FIELDS);
      crash_rig_record_t record;

      if (g_strv_length (fields) != RECORD_FIELDS || strcmp (fields[0], what) != 0 ||
          !g_str_has_prefix (fields[2], prefix) ||
          (outcome && strcmp (fields[RECORD_FIELDS - 1], outcome) != 0))
        continue;
      record.time_ms = g_ascii_strtoll (fields[1], NULL, 10);
      g_strlcpy (record.id, fields[2], sizeof record.id);
      g_array_append_val (records, record);
    }
}

GArray *
crash_rig_collect (const crash_rig_t *rig,
                   const char *what,
                   const char *prefix,
                   const char *outcome)
{
  GArray *records = g_array_new (FALSE, FALSE, sizeof (crash_rig_record_t));

  for (uint32_t i = 0; i < CRASH_RIG_UPSTREAMS; i++)
    collect_from (records, rig->upstreams[i], what, prefix, outcome);
  g_array_sort (records, compare_records);
  return records;
}
