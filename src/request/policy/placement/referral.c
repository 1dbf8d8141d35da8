#include "request/policy/placement/referral.h"

#include <stddef.h>

#define MILLI 1000

static bool
is_fresh (const load_sample_t *sample, uint64_t now_us)
{
  return sample->taken_us + LIMIT_LOAD_SAMPLE_AGE_US >= now_us;
}

static bool
has_capacity (const load_sample_t *sample, const referral_query_t *query)
{
  if (sample->engine_hash == query->except_hash || !is_fresh (sample, query->now_us))
    return false;
  if (sample->waiting > 0 || ((uint64_t)sample->load + 1) * MILLI > query->limit_milli)
    return false;
  return query->is_live == NULL || query->is_live (sample->engine_hash, query->context);
}

/* Engines that routers apparently can't reach are named only if there are no others. */
static uint32_t
drop_unreachable (const load_samples_t *table,
                  const load_sample_t **found,
                  uint32_t count,
                  uint64_t now_us)
{
  uint32_t kept = 0;
  for (uint32_t i = 0; i < count; i++)
    if (!load_samples_is_unreached (table, found[i], now_us))
      found[kept++] = found[i];
  return kept > 0 ? kept : count;
}

static uint32_t
pick_less_loaded (const load_sample_t *const *found, uint32_t count, uint64_t *rng)
{
  const uint32_t first = (uint32_t)(referral_random (rng) % count);
  const uint32_t second = (uint32_t)(referral_random (rng) % count);
  return found[second]->load < found[first]->load ? second : first;
}

uint64_t
referral_random (uint64_t *rng)
{
  *rng ^= *rng >> 12;
  *rng ^= *rng << 25;
  *rng ^= *rng >> 27;
  return *rng * UINT64_C (2685821657736338717);
}

/* Picks the less loaded of two random engines rather than the least loaded of all: samples are
 * delayed, and many sidecars would refer all their requests to the same engine. */
uint32_t
referral_find_engines (const load_samples_t *table,
                       const referral_query_t *query,
                       uint64_t *rng,
                       uint64_t *out)
{
  const load_sample_t *found[LIMIT_LOAD_SAMPLES];
  uint32_t count = 0;
  for (uint32_t i = 0; i < table->count; i++)
    if (has_capacity (&table->samples[i], query))
      found[count++] = &table->samples[i];
  count = drop_unreachable (table, found, count, query->now_us);
  uint32_t chosen = 0;
  while (chosen < LIMIT_REFERRALS && count > 0)
    {
      const uint32_t at = pick_less_loaded (found, count, rng);
      out[chosen++] = found[at]->engine_hash;
      found[at] = found[--count];
    }
  return chosen;
}

const load_sample_t *
referral_find_sample (const load_samples_t *table, uint64_t now_us, uint64_t engine_hash)
{
  for (uint32_t i = 0; i < table->count; i++)
    if (table->samples[i].engine_hash == engine_hash)
      return is_fresh (&table->samples[i], now_us) ? &table->samples[i] : NULL;
  return NULL;
}
