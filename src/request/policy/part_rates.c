#include "request/policy/part_rates.h"

#include <glib.h>
#include <math.h>

#define MILLI 1000
#define US_PER_S (UINT64_C (1000) * 1000)
#define SETS 128
#define WAYS 4 /* parts in a set */

/**
 * struct entry - the count of a part
 * @count_milli: requests, in thousandths, as of @as_of_us; 0 for an empty entry
 */
typedef struct
{
  uint64_t part;
  uint64_t as_of_us;
  uint64_t count_milli;
} entry_t;

/**
 * struct part_rates - see part_rates.h
 * @first_us: when the first request was counted; 0 before it
 */
struct part_rates
{
  entry_t entries[SETS][WAYS];
  uint64_t first_us;
};

part_rates_t *
part_rates_new (void)
{
  return g_new0 (part_rates_t, 1);
}

void
part_rates_free (part_rates_t *rates)
{
  g_free (rates);
}

static uint64_t
faded_count_milli (const entry_t *entry, uint64_t now_us)
{
  double age_us = now_us > entry->as_of_us ? (double)(now_us - entry->as_of_us) : 0;

  return (uint64_t)((double)entry->count_milli * exp2 (-age_us / (double)PART_RATES_HALF_LIFE_US));
}

static const entry_t *
find_entry (const part_rates_t *rates, uint64_t part)
{
  const entry_t *set = rates->entries[part % SETS];

  for (uint32_t i = 0; i < WAYS; i++)
    if (set[i].count_milli != 0 && set[i].part == part)
      return &set[i];
  return NULL;
}

static entry_t *
find_lowest (entry_t *set, uint64_t now_us)
{
  entry_t *lowest = &set[0];

  for (uint32_t i = 1; i < WAYS; i++)
    if (faded_count_milli (&set[i], now_us) < faded_count_milli (lowest, now_us))
      lowest = &set[i];
  return lowest;
}

void
part_rates_add (part_rates_t *rates, uint64_t now_us, uint64_t part)
{
  entry_t *entry = (entry_t *)find_entry (rates, part);

  if (rates->first_us == 0)
    rates->first_us = now_us;
  if (!entry)
    {
      entry = find_lowest (rates->entries[part % SETS], now_us);
      *entry = (entry_t){ .part = part };
    }
  entry->count_milli = faded_count_milli (entry, now_us) + MILLI;
  entry->as_of_us = now_us;
}

/* A constant rate keeps a count at the requests of this time. */
static uint64_t
counted_time_us (const part_rates_t *rates, uint64_t now_us)
{
  uint64_t full_us = (uint64_t)((double)PART_RATES_HALF_LIFE_US / G_LN2);

  return MIN (full_us, part_rates_age_us (rates, now_us) + PART_RATES_START_US);
}

uint64_t
part_rates_per_s_milli (const part_rates_t *rates, uint64_t now_us, uint64_t part)
{
  const entry_t *entry = find_entry (rates, part);

  return entry ? faded_count_milli (entry, now_us) * US_PER_S / counted_time_us (rates, now_us) : 0;
}

uint64_t
part_rates_age_us (const part_rates_t *rates, uint64_t now_us)
{
  return rates->first_us != 0 && now_us > rates->first_us ? now_us - rates->first_us : 0;
}
