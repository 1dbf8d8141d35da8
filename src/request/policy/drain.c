#include "request/policy/drain.h"

#include <glib.h>

#define DRN_SMOOTHING 16 /* requests over which the mean length is taken */

/* With ends at random, a gap of three mean intervals is rarer than one in twenty. A longer one says
 * that the engine has stalled: waits must then grow with the gap, or callers would be held on a
 * promise that the past made. */
#define DRN_GAP 3

void
drn_started (drn_t *drn, uint64_t now_us, uint32_t load_before, uint64_t guess_us)
{
  if (load_before == 0)
    drn->last_us = now_us;
  if (drn->length_us == 0)
    drn->length_us = guess_us;
}

void
drn_finished (drn_t *drn, uint64_t now_us, uint64_t length_us)
{
  drn->last_us = now_us;
  if (length_us > drn->length_us)
    drn->length_us += (length_us - drn->length_us) / DRN_SMOOTHING;
  else
    drn->length_us -= (drn->length_us - length_us) / DRN_SMOOTHING;
}

uint64_t
drn_interval_us (const drn_t *drn, uint64_t now_us, uint32_t load)
{
  if (load == 0)
    return 0;
  const uint64_t gap_us = now_us > drn->last_us ? now_us - drn->last_us : 0;
  return MAX (drn->length_us / load, gap_us / DRN_GAP);
}
