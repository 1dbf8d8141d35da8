#include "request/policy/load/completion_rate.h"

#include <glib.h>

#define SMOOTHING_REQUESTS 16 /* requests that the mean duration is taken over, about */

/* With random completions, fewer than one gap in twenty is longer than three mean intervals. After
 * a longer gap the engine is assumed to have stalled, and the estimate grows with the gap.
 * Otherwise requests would stay queued on the completion rate from before the stall. */
#define STALL_INTERVALS 3

void
completion_rate_note_start (completion_rate_t *completion_rate,
                            uint64_t now_us,
                            uint32_t load_before,
                            uint64_t guess_us)
{
  if (load_before == 0)
    completion_rate->last_us = now_us;
  if (completion_rate->length_us == 0)
    completion_rate->length_us = guess_us;
}

void
completion_rate_note_end (completion_rate_t *completion_rate, uint64_t now_us, uint64_t length_us)
{
  completion_rate->last_us = now_us;
  if (length_us > completion_rate->length_us)
    completion_rate->length_us += (length_us - completion_rate->length_us) / SMOOTHING_REQUESTS;
  else
    completion_rate->length_us -= (completion_rate->length_us - length_us) / SMOOTHING_REQUESTS;
}

uint64_t
completion_rate_interval_us (const completion_rate_t *completion_rate,
                             uint64_t now_us,
                             uint32_t load)
{
  if (load == 0)
    return 0;
  const uint64_t gap_us = now_us > completion_rate->last_us ? now_us - completion_rate->last_us : 0;
  return MAX (completion_rate->length_us / load, gap_us / STALL_INTERVALS);
}
