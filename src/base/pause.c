#include "base/pause.h"

#include "base/clock.h"

#include <glib.h>

void
pse_init (pse_t *pse, uint64_t now_us, uint32_t exchange_interval_ms)
{
  uint64_t gap_us = (uint64_t)exchange_interval_ms * CLK_US_PER_MS * PSE_INTERVALS;
  pse->last_us = now_us;
  pse->gap_us = MAX (gap_us, PSE_GAP_MIN_US);
  /* No message was sent before the start, so the first MESSAGE_FRESHNESS counts whenever it was
   * checked. */
  pse->woke_us = 0;
  pse->settled_us = 0;
  pse->stale = true;
}

bool
pse_check (pse_t *pse, uint64_t now_us)
{
  uint64_t idle_us = now_us - pse->last_us;
  pse->last_us = now_us;
  if (idle_us <= pse->gap_us)
    return false;
  pse->woke_us = now_us;
  pse->settled_us = now_us + PSE_SETTLE_US;
  pse->stale = true;
  return true;
}

bool
pse_wake (pse_t *pse, uint64_t woke_us)
{
  if (woke_us <= pse->woke_us)
    return false;
  pse->woke_us = woke_us;
  pse->stale = true;
  return true;
}

bool
pse_fresh (pse_t *pse, uint64_t checked_us)
{
  if (checked_us >= pse->woke_us)
    pse->stale = false;
  return !pse->stale;
}

bool
pse_stale (const pse_t *pse)
{
  return pse->stale;
}

bool
pse_settling (const pse_t *pse, uint64_t now_us)
{
  return now_us < pse->settled_us;
}
