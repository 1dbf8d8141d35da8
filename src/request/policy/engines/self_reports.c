#include "request/policy/engines/self_reports.h"

#include <glib.h>

/** struct self_reports - @by_engine: hash of an engine's id and start time -> self_report_t */
struct self_reports
{
  GHashTable *by_engine;
};

self_reports_t *
self_reports_new (void)
{
  self_reports_t *reports = g_new0 (self_reports_t, 1);

  reports->by_engine = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  return reports;
}

void
self_reports_free (self_reports_t *reports)
{
  g_hash_table_destroy (reports->by_engine);
  g_free (reports);
}

static gboolean
is_expired (gpointer key, gpointer value, gpointer context)
{
  const self_report_t *report = value;
  const uint64_t *now_us = context;

  (void)key;
  return *now_us >= MAX (report->stated_us + SELF_REPORTS_KEPT_US, report->backoff_until_us);
}

static void
drop_oldest (self_reports_t *reports)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  gpointer oldest = NULL;
  uint64_t oldest_us = UINT64_MAX;

  g_hash_table_iter_init (&iter, reports->by_engine);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (((self_report_t *)value)->stated_us < oldest_us)
      {
        oldest = key;
        oldest_us = ((self_report_t *)value)->stated_us;
      }
  g_hash_table_remove (reports->by_engine, oldest);
}

static self_report_t *
get_or_add (self_reports_t *reports, uint64_t now_us, uint64_t engine_hash)
{
  self_report_t *report = g_hash_table_lookup (reports->by_engine, &engine_hash);

  if (report)
    return report;
  g_hash_table_foreach_remove (reports->by_engine, is_expired, &now_us);
  if (g_hash_table_size (reports->by_engine) >= SELF_REPORTS_MAX)
    drop_oldest (reports);
  report = g_new0 (self_report_t, 1);
  g_hash_table_insert (reports->by_engine, g_memdup2 (&engine_hash, sizeof engine_hash), report);
  return report;
}

bool
self_reports_set_leaving (self_reports_t *reports, uint64_t now_us, uint64_t engine_hash)
{
  self_report_t *report = get_or_add (reports, now_us, engine_hash);
  bool is_first = !report->leaving;

  report->stated_us = now_us;
  report->leaving = true;
  return is_first;
}

uint64_t
self_reports_set_backoff (self_reports_t *reports,
                          uint64_t now_us,
                          uint64_t engine_hash,
                          uint64_t backoff_us)
{
  self_report_t *report = get_or_add (reports, now_us, engine_hash);

  report->stated_us = now_us;
  report->backoff_until_us = MAX (report->backoff_until_us, now_us + backoff_us);
  return report->backoff_until_us;
}

self_report_t
self_reports_get (const self_reports_t *reports, uint64_t engine_hash)
{
  const self_report_t *report = g_hash_table_lookup (reports->by_engine, &engine_hash);

  return report ? *report : (self_report_t){ 0 };
}
