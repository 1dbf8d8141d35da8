#include "request/policy/retries/hop_timeout.h"

#include <glib.h>

static uint64_t
elapsed_since (uint64_t at_us, uint64_t now_us)
{
  return now_us > at_us ? now_us - at_us : 0;
}

bool
hop_timeout_has_expired (const hop_timeout_t *hop_timeout, uint64_t now_us)
{
  uint64_t quiet_us = elapsed_since (MAX (hop_timeout->sent_us, hop_timeout->last_byte_us), now_us);
  uint64_t engine_quiet_us =
      elapsed_since (MAX (hop_timeout->sent_us, hop_timeout->engine_last_byte_us), now_us);
  uint64_t reading_us = hop_timeout->prompt_tokens * HOP_TIMEOUT_TOKEN_US;
  uint64_t late_min_us =
      MIN (HOP_TIMEOUT_LATE_US, hop_timeout->time_limit_us / HOP_TIMEOUT_LATE_DIVISOR);
  uint64_t late_us =
      MAX (hop_timeout->usual_us * HOP_TIMEOUT_LATE_FACTOR, late_min_us) + reading_us;
  uint64_t silent_us = MAX (hop_timeout->usual_us * 2, HOP_TIMEOUT_SILENT_US) + reading_us;

  if (hop_timeout->last_byte_us != 0 && hop_timeout->gap_us == 0)
    return false;
  if (hop_timeout->last_byte_us != 0)
    late_us = MAX (hop_timeout->gap_us * HOP_TIMEOUT_GAP_FACTOR, HOP_TIMEOUT_LATE_US);
  if (hop_timeout->engines_full)
    {
      late_us *= HOP_TIMEOUT_FULL_FACTOR;
      silent_us *= HOP_TIMEOUT_FULL_FACTOR;
    }
  return quiet_us >= late_us || (quiet_us >= silent_us && engine_quiet_us >= silent_us);
}
