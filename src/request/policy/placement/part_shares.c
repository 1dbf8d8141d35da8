#include "request/policy/placement/part_shares.h"

#include <glib.h>
#include <math.h>

#define MILLI 1000
#define SETS 128
#define WAYS 4 /* parts in a set */

/**
 * struct entry - the count of a part
 * @count_milli: requests, in thousandths, as of @as_of_us; 0 for an empty entry
 * @recent_milli: likewise, which fade sooner
 */
typedef struct
{
  uint64_t part;
  uint64_t as_of_us;
  uint64_t count_milli;
  uint64_t recent_milli;
} entry_t;

/**
 * struct part_shares - see part_shares.h
 * @all: the count of all parts together
 * @first_us: when the first request was counted; 0 before it
 */
struct part_shares
{
  entry_t entries[SETS][WAYS];
  entry_t all;
  uint64_t first_us;
};

part_shares_t *
part_shares_new (void)
{
  return g_new0 (part_shares_t, 1);
}

void
part_shares_free (part_shares_t *shares)
{
  g_free (shares);
}

static uint64_t
fade (uint64_t milli, uint64_t as_of_us, uint64_t now_us, uint64_t half_life_us)
{
  double age_us = now_us > as_of_us ? (double)(now_us - as_of_us) : 0;

  return (uint64_t)((double)milli * exp2 (-age_us / (double)half_life_us));
}

static uint64_t
faded_count_milli (const entry_t *entry, uint64_t now_us)
{
  return fade (entry->count_milli, entry->as_of_us, now_us, PART_SHARES_HALF_LIFE_US);
}

static uint64_t
faded_recent_milli (const entry_t *entry, uint64_t now_us)
{
  return fade (entry->recent_milli, entry->as_of_us, now_us, PART_SHARES_RECENT_HALF_LIFE_US);
}

static const entry_t *
find_entry (const part_shares_t *shares, uint64_t part)
{
  const entry_t *set = shares->entries[part % SETS];

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

static void
count_one (entry_t *entry, uint64_t now_us)
{
  entry->count_milli = faded_count_milli (entry, now_us) + MILLI;
  entry->recent_milli = faded_recent_milli (entry, now_us) + MILLI;
  entry->as_of_us = now_us;
}

void
part_shares_add (part_shares_t *shares, uint64_t now_us, uint64_t part)
{
  entry_t *entry = (entry_t *)find_entry (shares, part);

  if (shares->first_us == 0)
    shares->first_us = now_us;
  if (!entry)
    {
      entry = find_lowest (shares->entries[part % SETS], now_us);
      *entry = (entry_t){ .part = part };
    }
  count_one (entry, now_us);
  count_one (&shares->all, now_us);
}

/* A part of which there was one request lately may be any part. */
static uint64_t
recent_share_milli (const part_shares_t *shares, const entry_t *entry, uint64_t now_us)
{
  uint64_t recent_milli = faded_recent_milli (entry, now_us);
  uint64_t all_milli =
      faded_recent_milli (&shares->all, now_us) + PART_SHARES_RECENT_ASSUMED_REQUESTS * MILLI;

  return recent_milli > MILLI ? (recent_milli - MILLI) * MILLI / all_milli : 0;
}

uint32_t
part_shares_get_milli (const part_shares_t *shares, uint64_t now_us, uint64_t part)
{
  const entry_t *entry = find_entry (shares, part);
  uint64_t all_milli =
      faded_count_milli (&shares->all, now_us) + PART_SHARES_ASSUMED_REQUESTS * MILLI;
  uint64_t share_milli = entry ? faded_count_milli (entry, now_us) * MILLI / all_milli : 0;

  return (uint32_t)(entry ? MAX (share_milli, recent_share_milli (shares, entry, now_us)) : 0);
}

uint64_t
part_shares_age_us (const part_shares_t *shares, uint64_t now_us)
{
  return shares->first_us != 0 && now_us > shares->first_us ? now_us - shares->first_us : 0;
}
