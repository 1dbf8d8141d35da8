#include "request/policy/load_gauge.h"

#define MILLI 1000

void
gau_told (gau_t *gau, uint64_t now_us, uint32_t requests, uint32_t slots)
{
  uint64_t sample_milli;

  if (slots == 0)
    return;
  sample_milli = (uint64_t)requests * MILLI / slots;
  if (now_us >= gau->told_us + GAU_FORGET_US)
    gau->told_milli = sample_milli;
  else
    gau->told_milli = (gau->told_milli * (GAU_GAIN - 1) + sample_milli) / GAU_GAIN;
  gau->told_us = now_us;
}

uint32_t
gau_now_milli (const gau_t *gau, uint64_t now_us)
{
  return now_us < gau->told_us + GAU_FORGET_US ? (uint32_t)gau->told_milli : 0;
}
