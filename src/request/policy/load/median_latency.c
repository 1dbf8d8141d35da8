#include "request/policy/load/median_latency.h"

#include <glib.h>

#define MILLI 1000
#define RATIO_MAX_MILLI (10 * MILLI)

uint32_t
median_latency_add (median_latency_t *median_latency, uint64_t sample_us)
{
  uint64_t usual_us = MAX (median_latency->median_us, 1);
  uint64_t step_us = usual_us / MEDIAN_LATENCY_STEP_DIVISOR + 1;

  if (median_latency->median_us == 0)
    median_latency->median_us = sample_us;
  else if (sample_us > usual_us)
    median_latency->median_us += step_us;
  else if (sample_us < usual_us)
    median_latency->median_us -= MIN (step_us, usual_us - 1);
  else
    return MILLI;
  if (usual_us == 1)
    return MILLI;
  return (uint32_t)MIN (sample_us * MILLI / usual_us, RATIO_MAX_MILLI);
}
