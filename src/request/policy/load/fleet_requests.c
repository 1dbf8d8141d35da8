#include "request/policy/load/fleet_requests.h"

#include <glib.h>
#include <stdlib.h>

#define MILLI 1000

static bool
is_fresh (const fleet_request_count_t *item, uint64_t now_us)
{
  return item->told_us != 0 && now_us < item->told_us + FLEET_REQUESTS_AGE_MAX_US;
}

/* Return: the entry of the gateway, or the oldest when it has none */
static fleet_request_count_t *
find_entry (fleet_requests_t *table, uint64_t gateway_hash)
{
  fleet_request_count_t *oldest = &table->items[0];

  for (uint32_t i = 0; i < FLEET_REQUESTS_MAX; i++)
    {
      fleet_request_count_t *entry = &table->items[i];

      if (entry->told_us != 0 && entry->gateway_hash == gateway_hash)
        return entry;
      if (entry->told_us < oldest->told_us)
        oldest = entry;
    }
  return oldest;
}

bool
fleet_requests_note (fleet_requests_t *table, uint64_t now_us, const fleet_request_count_t *item)
{
  fleet_request_count_t *entry = find_entry (table, item->gateway_hash);

  if (!is_fresh (item, now_us) || entry->told_us >= item->told_us)
    return false;
  *entry = *item;
  return true;
}

static int
compare_latest_first (const void *a, const void *b)
{
  const fleet_request_count_t *left = a;
  const fleet_request_count_t *right = b;

  return left->told_us > right->told_us ? -1 : left->told_us < right->told_us;
}

uint32_t
fleet_requests_latest (const fleet_requests_t *table,
                       uint64_t now_us,
                       fleet_request_count_t *out,
                       uint32_t want)
{
  fleet_requests_t sorted = *table;
  uint32_t count = 0;

  qsort (sorted.items, FLEET_REQUESTS_MAX, sizeof *sorted.items, compare_latest_first);
  while (count < want && count < FLEET_REQUESTS_MAX && is_fresh (&sorted.items[count], now_us))
    {
      out[count] = sorted.items[count];
      count++;
    }
  return count;
}

fleet_requests_sum_t
fleet_requests_sum (const fleet_requests_t *table, uint64_t now_us, uint32_t own, uint32_t gateways)
{
  uint64_t others = MAX (gateways, 1U) - 1;
  uint64_t requests = 0;
  uint64_t ages_us = 0;
  uint64_t heard = 0;

  for (uint32_t i = 0; i < FLEET_REQUESTS_MAX; i++)
    {
      const fleet_request_count_t *item = &table->items[i];

      if (!is_fresh (item, now_us))
        continue;
      requests += item->requests;
      ages_us += now_us - MIN (item->told_us, now_us);
      heard++;
    }
  if (heard == 0)
    return (fleet_requests_sum_t){ .milli = (uint64_t)own * MILLI };
  return (fleet_requests_sum_t){ .is_known = true,
                                 .is_certain = heard * FLEET_REQUESTS_CERTAIN_DIVISOR >= others,
                                 .milli = (uint64_t)own * MILLI +
                                          requests * MILLI * MAX (others, heard) / heard,
                                 .age_us = ages_us / heard };
}
