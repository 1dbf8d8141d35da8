#include "request/policy/outage.h"

#include <stdbool.h>

#define US_PER_MS 1000
#define RENEWALS 2 /* within the shortest outage that lets an entry lapse */

uint64_t
otg_least_us (uint32_t renewal_ms)
{
  uint64_t span_us = (uint64_t)renewal_ms * US_PER_MS * RENEWALS;

  return span_us - span_us / OTG_LEAST_PART;
}

/* It was heard at @at_us after all: one part of the span is left, the later one rather, or none. */
static void
split (otg_t *otg, uint64_t at_us, uint64_t least_us)
{
  if (otg->until_us - at_us >= least_us)
    otg->from_us = at_us;
  else if (at_us - otg->from_us >= least_us)
    otg->until_us = at_us;
  else
    otg->from_us = otg->until_us = 0;
}

void
otg_heard (otg_t *otg, uint64_t at_us, uint64_t least_us)
{
  if (at_us <= otg->heard_us)
    {
      if (at_us > otg->from_us && at_us < otg->until_us)
        split (otg, at_us, least_us);
      return;
    }
  if (otg->heard_us != 0 && at_us - otg->heard_us >= least_us)
    {
      otg->from_us = otg->heard_us;
      otg->until_us = at_us;
    }
  otg->heard_us = at_us;
}

uint64_t
otg_until_us (const otg_t *otg, uint64_t now_us, uint64_t least_us)
{
  bool lasts = otg->heard_us != 0 && now_us >= otg->heard_us + least_us;

  return lasts ? now_us : otg->until_us;
}
