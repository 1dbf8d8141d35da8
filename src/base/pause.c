#include "base/pause.h"

#include "base/clock.h"

#include <glib.h>

void
pause_init (pause_detector_t *pause, uint64_t now_us, uint32_t exchange_interval_ms)
{
  uint64_t gap_us = (uint64_t)exchange_interval_ms * CLOCK_US_PER_MS * PAUSE_GAP_INTERVALS;
  pause->last_us = now_us;
  pause->gap_us = MAX (gap_us, PAUSE_GAP_MIN_US);
  /* No message was sent before the start, so the first MESSAGE_FRESHNESS counts whenever it was
   * checked. */
  pause->woke_us = 0;
  pause->settled_us = 0;
  pause->stale = true;
}

bool
pause_check (pause_detector_t *pause, uint64_t now_us)
{
  uint64_t idle_us = now_us - pause->last_us;
  pause->last_us = now_us;
  if (idle_us <= pause->gap_us)
    return false;
  pause->woke_us = now_us;
  pause->settled_us = now_us + PAUSE_SETTLE_US;
  pause->stale = true;
  return true;
}

bool
pause_mark_woken (pause_detector_t *pause, uint64_t woke_us)
{
  if (woke_us <= pause->woke_us)
    return false;
  pause->woke_us = woke_us;
  pause->stale = true;
  return true;
}

bool
pause_mark_fresh (pause_detector_t *pause, uint64_t checked_us)
{
  if (checked_us >= pause->woke_us)
    pause->stale = false;
  return !pause->stale;
}

bool
pause_is_stale (const pause_detector_t *pause)
{
  return pause->stale;
}

bool
pause_is_settling (const pause_detector_t *pause, uint64_t now_us)
{
  return now_us < pause->settled_us;
}
