#include "request/policy/outage.h"

#include <stdbool.h>

#define US_PER_MS 1000
#define MISSED_RENEWALS 2 /* in the shortest outage that makes entries lapse */

uint64_t
otg_least_us (uint32_t renewal_ms)
{
  uint64_t span_us = (uint64_t)renewal_ms * US_PER_MS * MISSED_RENEWALS;

  return span_us - span_us / OTG_LEAST_PART;
}

/* The store answered at @at_us after all: the later part of the span remains if it is long enough,
 * else the earlier one if that is, else none. */
static void
shorten (otg_t *otg, uint64_t at_us, uint64_t min_us)
{
  if (otg->end_us - at_us >= min_us)
    otg->begin_us = at_us;
  else if (at_us - otg->begin_us >= min_us)
    otg->end_us = at_us;
  else
    otg->begin_us = otg->end_us = 0;
}

void
otg_heard (otg_t *otg, uint64_t at_us, uint64_t min_us)
{
  if (at_us <= otg->last_contact_us)
    {
      if (at_us > otg->begin_us && at_us < otg->end_us)
        shorten (otg, at_us, min_us);
      return;
    }
  if (otg->last_contact_us != 0 && at_us - otg->last_contact_us >= min_us)
    {
      otg->begin_us = otg->last_contact_us;
      otg->end_us = at_us;
    }
  otg->last_contact_us = at_us;
}

uint64_t
otg_until_us (const otg_t *otg, uint64_t now_us, uint64_t min_us)
{
  bool is_out = otg->last_contact_us != 0 && now_us >= otg->last_contact_us + min_us;

  return is_out ? now_us : otg->end_us;
}
