#include "request/policy/store/store_outage.h"

#include <stdbool.h>

#define US_PER_MS 1000
#define MISSED_RENEWALS 2 /* in the shortest outage that makes entries lapse */

uint64_t
store_outage_min_us (uint32_t renewal_ms)
{
  uint64_t span_us = (uint64_t)renewal_ms * US_PER_MS * MISSED_RENEWALS;

  return span_us - span_us / STORE_OUTAGE_TOLERANCE_DIVISOR;
}

/* The store answered at @at_us after all: the later part of the span remains if it is long enough,
 * else the earlier one if that is, else none. */
static void
shorten (store_outage_t *store_outage, uint64_t at_us, uint64_t min_us)
{
  if (store_outage->end_us - at_us >= min_us)
    store_outage->begin_us = at_us;
  else if (at_us - store_outage->begin_us >= min_us)
    store_outage->end_us = at_us;
  else
    store_outage->begin_us = store_outage->end_us = 0;
}

void
store_outage_record_contact (store_outage_t *store_outage, uint64_t at_us, uint64_t min_us)
{
  if (at_us <= store_outage->last_contact_us)
    {
      if (at_us > store_outage->begin_us && at_us < store_outage->end_us)
        shorten (store_outage, at_us, min_us);
      return;
    }
  if (store_outage->last_contact_us != 0 && at_us - store_outage->last_contact_us >= min_us)
    {
      store_outage->begin_us = store_outage->last_contact_us;
      store_outage->end_us = at_us;
    }
  store_outage->last_contact_us = at_us;
}

uint64_t
store_outage_end_us (const store_outage_t *store_outage, uint64_t now_us, uint64_t min_us)
{
  bool is_out =
      store_outage->last_contact_us != 0 && now_us >= store_outage->last_contact_us + min_us;

  return is_out ? now_us : store_outage->end_us;
}
