#include "request/policy/engines/cold_start_limit.h"

#include <glib.h>
#include <xxhash.h>

#define US_PER_S (UINT64_C (1000) * 1000)

uint64_t
cold_start_limit_interval_us (uint32_t per_s, uint32_t gateways)
{
  return per_s > 0 ? US_PER_S * gateways * 100 / ((uint64_t)per_s * COLD_START_LIMIT_PERCENT) : 0;
}

bool
cold_start_limit_allows (const cold_start_limit_t *share, uint64_t now_us)
{
  uint64_t interval_us;
  uint64_t offset_us;

  if (share->per_s == 0)
    return true;
  if (share->gateways == 0)
    return false;
  interval_us = cold_start_limit_interval_us (share->per_s, share->gateways);
  g_assert (interval_us > 0);
  offset_us =
      XXH64 (&share->engine_hash, sizeof share->engine_hash, share->gateway_hash) % interval_us;
  if (now_us < share->since_us + offset_us)
    return false;
  return share->sent_us == 0 || now_us >= share->sent_us + interval_us;
}
