#include "request/policy/patience.h"

#include <glib.h>

static uint64_t
elapsed_since (uint64_t at_us, uint64_t now_us)
{
  return now_us > at_us ? now_us - at_us : 0;
}

bool
ptc_is_lost (const ptc_t *ptc, uint64_t now_us)
{
  uint64_t quiet_us = elapsed_since (MAX (ptc->sent_us, ptc->heard_us), now_us);
  uint64_t engine_quiet_us = elapsed_since (MAX (ptc->sent_us, ptc->engine_heard_us), now_us);
  uint64_t reading_us = ptc->prompt_tokens * PTC_TOKEN_US;
  uint64_t late_min_us = MIN (PTC_LATE_US, ptc->time_us / PTC_LATE_PART);
  uint64_t late_us = MAX (ptc->usual_us * PTC_LATE_FACTOR, late_min_us) + reading_us;
  uint64_t silent_us = MAX (ptc->usual_us * 2, PTC_SILENT_US) + reading_us;

  if (ptc->heard_us != 0 && ptc->gap_us == 0)
    return false;
  if (ptc->heard_us != 0)
    late_us = MAX (ptc->gap_us * PTC_GAP_FACTOR, PTC_LATE_US);
  if (ptc->full)
    {
      late_us *= PTC_FULL_FACTOR;
      silent_us *= PTC_FULL_FACTOR;
    }
  return quiet_us >= late_us || (quiet_us >= silent_us && engine_quiet_us >= silent_us);
}
