#include "request/policy/suspects/loss_bursts.h"

#include <glib.h>

/* Return: the burst of the service, or the one that began first */
static loss_burst_t *
find_or_replace (loss_bursts_t *bursts, uint64_t service_hash)
{
  loss_burst_t *oldest = &bursts->bursts[0];

  for (uint32_t i = 0; i < LOSS_BURSTS_SERVICES; i++)
    {
      loss_burst_t *burst = &bursts->bursts[i];

      if (burst->count > 0 && burst->service_hash == service_hash)
        return burst;
      if (burst->began_us < oldest->began_us)
        oldest = burst;
    }
  oldest->count = 0;
  return oldest;
}

static bool
is_within (const loss_burst_t *burst, uint64_t at_us)
{
  return burst->count > 0 && at_us >= burst->began_us &&
         at_us < burst->began_us + LOSS_BURSTS_SPAN_US;
}

static bool
has_engine (const loss_burst_t *burst, uint64_t engine_hash)
{
  for (uint32_t i = 0; i < burst->count; i++)
    if (burst->engines[i] == engine_hash)
      return true;
  return false;
}

void
loss_bursts_add (loss_bursts_t *bursts,
                 uint64_t now_us,
                 uint64_t service_hash,
                 uint64_t engine_hash,
                 uint32_t in_use)
{
  loss_burst_t *burst = find_or_replace (bursts, service_hash);

  if (!is_within (burst, now_us))
    {
      burst->service_hash = service_hash;
      burst->began_us = now_us;
      burst->in_use = in_use;
      burst->count = 0;
    }
  if (burst->count < LOSS_BURSTS_ENGINES && !has_engine (burst, engine_hash))
    burst->engines[burst->count++] = engine_hash;
}

bool
loss_bursts_excuse (const loss_bursts_t *bursts,
                    uint64_t lost_us,
                    uint64_t service_hash,
                    uint32_t blamed)
{
  for (uint32_t i = 0; i < LOSS_BURSTS_SERVICES; i++)
    {
      const loss_burst_t *burst = &bursts->bursts[i];
      uint32_t others = burst->count - MIN (blamed, burst->count);
      uint32_t in_use = MIN (burst->in_use, LOSS_BURSTS_ENGINES);

      if (burst->service_hash == service_hash && is_within (burst, lost_us))
        return others >= LOSS_BURSTS_ENGINES_MIN && others * 2 >= in_use;
    }
  return false;
}
