#include "request/policy/load_news.h"

#include <stdlib.h>

#define MILLI 1000

static bool
is_fresh (const lnw_item_t *item, uint64_t now_us)
{
  return item->told_us != 0 && now_us < item->told_us + LNW_AGE_US;
}

bool
lnw_is_news (uint32_t load, uint64_t mean_milli, uint32_t factor, uint64_t more_milli)
{
  uint64_t limit_milli = mean_milli * factor + more_milli;

  return (uint64_t)load * MILLI >= limit_milli * LNW_NEAR_MILLI / MILLI;
}

/* Return: the slot of the engine, or the slot with the oldest report when it has none */
static lnw_item_t *
find_slot (lnw_t *reports, uint64_t engine_hash)
{
  lnw_item_t *oldest = &reports->items[0];

  for (uint32_t i = 0; i < LNW_MOST; i++)
    {
      lnw_item_t *slot = &reports->items[i];

      if (slot->engine_hash == engine_hash)
        return slot;
      if (slot->told_us < oldest->told_us)
        oldest = slot;
    }
  return oldest;
}

bool
lnw_add (lnw_t *reports, uint64_t now_us, const lnw_item_t *item)
{
  lnw_item_t *slot = find_slot (reports, item->engine_hash);

  if (!is_fresh (item, now_us) || slot->told_us >= item->told_us)
    return false;
  *slot = *item;
  return true;
}

static int
compare_latest_first (const void *a, const void *b)
{
  const lnw_item_t *left = a;
  const lnw_item_t *right = b;

  return left->told_us > right->told_us ? -1 : left->told_us < right->told_us;
}

uint32_t
lnw_take (const lnw_t *reports, uint64_t now_us, lnw_item_t *out, uint32_t want)
{
  lnw_t sorted = *reports;
  uint32_t count = 0;

  qsort (sorted.items, LNW_MOST, sizeof *sorted.items, compare_latest_first);
  while (count < want && count < LNW_MOST && is_fresh (&sorted.items[count], now_us))
    {
      out[count] = sorted.items[count];
      count++;
    }
  return count;
}
