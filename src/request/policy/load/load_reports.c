#include "request/policy/load/load_reports.h"

#include <stdlib.h>

#define MILLI 1000

static bool
is_fresh (const load_report_t *item, uint64_t now_us)
{
  return item->reported_us != 0 && now_us < item->reported_us + LOAD_REPORTS_AGE_MAX_US;
}

bool
load_reports_is_high (uint32_t load, uint64_t mean_milli, uint32_t factor, uint64_t more_milli)
{
  uint64_t limit_milli = mean_milli * factor + more_milli;

  return (uint64_t)load * MILLI >= limit_milli;
}

/* Return: the slot of the engine, or the slot with the oldest report when it has none */
static load_report_t *
find_slot (load_reports_t *reports, uint64_t engine_hash)
{
  load_report_t *oldest = &reports->items[0];

  for (uint32_t i = 0; i < LOAD_REPORTS_MAX; i++)
    {
      load_report_t *slot = &reports->items[i];

      if (slot->engine_hash == engine_hash)
        return slot;
      if (slot->reported_us < oldest->reported_us)
        oldest = slot;
    }
  return oldest;
}

bool
load_reports_add (load_reports_t *reports, uint64_t now_us, const load_report_t *item)
{
  load_report_t *slot = find_slot (reports, item->engine_hash);

  if (!is_fresh (item, now_us) || slot->reported_us >= item->reported_us)
    return false;
  *slot = *item;
  return true;
}

static int
compare_latest_first (const void *a, const void *b)
{
  const load_report_t *left = a;
  const load_report_t *right = b;

  return left->reported_us > right->reported_us ? -1 : left->reported_us < right->reported_us;
}

uint32_t
load_reports_latest (const load_reports_t *reports,
                     uint64_t now_us,
                     load_report_t *out,
                     uint32_t want)
{
  load_reports_t sorted = *reports;
  uint32_t count = 0;

  qsort (sorted.items, LOAD_REPORTS_MAX, sizeof *sorted.items, compare_latest_first);
  while (count < want && count < LOAD_REPORTS_MAX && is_fresh (&sorted.items[count], now_us))
    {
      out[count] = sorted.items[count];
      count++;
    }
  return count;
}
