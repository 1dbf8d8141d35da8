#include "request/policy/load/load_drift.h"

#include <glib.h>

#define SMOOTHING_STEPS 16
#define MARGIN_FACTOR 1 /* multiple of the average change */

void
load_drift_add (load_drift_t *drift, uint64_t now_us, uint64_t mean_milli)
{
  if (drift->noted_us != 0 && now_us < drift->noted_us + LOAD_DRIFT_STEP_US)
    return;
  const bool is_first = drift->noted_us == 0;
  const uint64_t change_milli = mean_milli > drift->mean_milli ? mean_milli - drift->mean_milli
                                                               : drift->mean_milli - mean_milli;
  drift->noted_us = now_us;
  drift->mean_milli = mean_milli;
  if (is_first)
    return;
  if (change_milli > drift->drift_milli)
    drift->drift_milli += (change_milli - drift->drift_milli) / SMOOTHING_STEPS;
  else
    drift->drift_milli -= (drift->drift_milli - change_milli) / SMOOTHING_STEPS;
}

uint64_t
load_drift_margin_milli (const load_drift_t *drift)
{
  return MARGIN_FACTOR * drift->drift_milli;
}
