#include "request/policy/drift.h"

#include <glib.h>

#define DFT_SMOOTHING 16 /* steps over which the drift is taken */
#define DFT_MARGIN 1     /* times the mean size */

void
dft_note (dft_t *drift, uint64_t now_us, uint64_t mean_milli)
{
  if (drift->noted_us != 0 && now_us < drift->noted_us + DFT_STEP_US)
    return;
  const bool first = drift->noted_us == 0;
  const uint64_t change_milli = mean_milli > drift->mean_milli ? mean_milli - drift->mean_milli
                                                               : drift->mean_milli - mean_milli;
  drift->noted_us = now_us;
  drift->mean_milli = mean_milli;
  if (first)
    return;
  if (change_milli > drift->drift_milli)
    drift->drift_milli += (change_milli - drift->drift_milli) / DFT_SMOOTHING;
  else
    drift->drift_milli -= (drift->drift_milli - change_milli) / DFT_SMOOTHING;
}

uint64_t
dft_margin_milli (const dft_t *drift)
{
  return DFT_MARGIN * drift->drift_milli;
}
