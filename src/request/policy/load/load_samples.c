#include "request/policy/load/load_samples.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define MILLI 1000

static uint64_t
next_random (load_samples_t *table)
{
  /* xorshift64*, seeded so that tests are reproducible */
  table->rng ^= table->rng >> 12;
  table->rng ^= table->rng << 25;
  table->rng ^= table->rng >> 27;
  return table->rng * UINT64_C (2685821657736338717);
}

static bool
is_fresh (const load_sample_t *sample, uint64_t now_us)
{
  return sample->taken_us + LIMIT_LOAD_SAMPLE_AGE_US >= now_us;
}

static uint32_t
find_index (const load_samples_t *table, uint64_t engine_hash)
{
  uint32_t i = 0;
  while (i < table->count && table->samples[i].engine_hash != engine_hash)
    i++;
  return i;
}

/* Moves the samples of engines that routers can reach to the front of @items. All samples count if
 * these are fewer than half or not busy, as engines of a service with little traffic are idle for
 * lack of requests. Return: how many samples count, from the front */
static uint32_t
partition_reached (const load_samples_t *table,
                   const load_sample_t **items,
                   uint32_t count,
                   uint64_t now_us)
{
  uint32_t reached = 0;
  uint64_t sum = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      const load_sample_t *item = items[i];
      if (load_samples_is_unreached (table, item, now_us))
        continue;
      sum += item->load;
      items[i] = items[reached];
      items[reached++] = item;
    }
  const bool busy = sum >= (uint64_t)LOAD_SAMPLES_BUSY_MEAN * reached && reached >= count - reached;
  return busy && reached > 0 ? reached : count;
}

static uint32_t
find_oldest (const load_samples_t *table)
{
  uint32_t oldest = 0;
  for (uint32_t i = 1; i < table->count; i++)
    {
      if (table->samples[i].taken_us < table->samples[oldest].taken_us)
        oldest = i;
    }
  return oldest;
}

/* Moves @want randomly chosen elements of @items to its front. */
static void
shuffle_front (load_samples_t *table, const load_sample_t **items, uint32_t count, uint32_t want)
{
  for (uint32_t i = 0; i < want; i++)
    {
      uint32_t j = i + (uint32_t)(next_random (table) % (count - i));
      const load_sample_t *swap = items[i];
      items[i] = items[j];
      items[j] = swap;
    }
}

static int
compare_newest_first (const void *a, const void *b)
{
  const load_sample_t *x = *(const load_sample_t *const *)a;
  const load_sample_t *y = *(const load_sample_t *const *)b;
  return (x->taken_us < y->taken_us) - (x->taken_us > y->taken_us);
}

static uint32_t
collect_fresh (const load_samples_t *table,
               uint64_t now_us,
               uint64_t except_hash,
               const load_sample_t **out)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < table->count; i++)
    {
      const load_sample_t *sample = &table->samples[i];
      if (is_fresh (sample, now_us) && sample->engine_hash != except_hash)
        out[count++] = sample;
    }
  return count;
}

/*
 * Standard error of the mean of @count out of @population values, sampled without replacement. A
 * single value has no variance, so the error is then assumed to be as large as the value.
 */
static double
standard_error (double sum, double squares, uint32_t count, uint32_t population)
{
  if (count == 0 || count >= population)
    return 0;
  double mean = sum / count;
  if (count == 1)
    return mean;
  double variance = MAX (0, (squares - sum * mean) / (count - 1));
  double correction = (double)(population - count) / (population - 1);
  return sqrt (variance / count * correction);
}

static void
set_sample (load_samples_t *table, uint32_t i, const load_sample_t *sample, bool is_new)
{
  const bool idle = sample->load == 0 && sample->waiting == 0;
  const bool was_idle = !is_new && table->idle_since_us[i] != 0;
  table->samples[i] = *sample;
  if (!idle || !was_idle)
    table->idle_since_us[i] = idle ? sample->taken_us : 0;
}

bool
load_samples_is_unreached (const load_samples_t *table,
                           const load_sample_t *sample,
                           uint64_t now_us)
{
  const uint64_t since_us = table->idle_since_us[sample - table->samples];
  return since_us != 0 && since_us + LIMIT_LOAD_SAMPLE_AGE_US < now_us;
}

void
load_samples_init (load_samples_t *table, uint64_t seed)
{
  memset (table, 0, sizeof *table);
  table->rng = seed | 1;
}

void
load_samples_add (load_samples_t *table, const load_sample_t *sample)
{
  uint32_t i = find_index (table, sample->engine_hash);
  if (i < table->count)
    {
      if (sample->taken_us > table->samples[i].taken_us)
        set_sample (table, i, sample, false);
      return;
    }
  if (table->count < LIMIT_LOAD_SAMPLES)
    {
      set_sample (table, table->count++, sample, true);
      return;
    }
  i = find_oldest (table);
  if (table->samples[i].taken_us < sample->taken_us)
    set_sample (table, i, sample, true);
}

void
load_samples_forget (load_samples_t *table, uint64_t engine_hash)
{
  uint32_t i = find_index (table, engine_hash);
  if (i == table->count)
    return;
  table->samples[i] = table->samples[--table->count];
  table->idle_since_us[i] = table->idle_since_us[table->count];
}

load_samples_estimate_t
load_samples_estimate_mean (const load_samples_t *table,
                            uint64_t now_us,
                            const load_sample_t *own,
                            uint32_t engine_count)
{
  const load_sample_t *fresh[LIMIT_LOAD_SAMPLES];
  uint64_t own_hash = own != NULL ? own->engine_hash : 0;
  uint32_t own_count = own != NULL ? 1 : 0;
  uint32_t sampled = collect_fresh (table, now_us, own_hash, fresh);
  uint32_t count = partition_reached (table, fresh, sampled, now_us);
  double sum = 0;
  double squares = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      sum += fresh[i]->load;
      squares += (double)fresh[i]->load * fresh[i]->load;
    }
  uint32_t total = MAX (engine_count, sampled + own_count) - (sampled - count);
  uint32_t others = total - own_count;
  double others_mean = count > 0 ? sum / count : (own != NULL ? own->load : 0);
  double error = standard_error (sum, squares, count, others);
  /* Without any sample the others are assumed to have this engine's load, with an error as large.
   */
  if (count == 0 && others > 0)
    error = others_mean;
  /* This engine's load is known and not sampled, so it has the weight of one engine. With more, a
   * high load would raise the bound of the engine that has it. */
  double weight = total > 0 ? (double)others / total : 0;
  double mean = others_mean * weight + (own != NULL ? (double)own->load / total : 0);
  load_samples_estimate_t estimate = {
    .mean_milli = (uint64_t)llround (mean * MILLI),
    .margin_milli = (uint64_t)llround (error * weight * MILLI),
    .count = count + own_count,
  };
  return estimate;
}

uint32_t
load_samples_pick (load_samples_t *table, uint64_t now_us, load_sample_t *out, uint32_t want)
{
  const load_sample_t *fresh[LIMIT_LOAD_SAMPLES];
  uint32_t count = collect_fresh (table, now_us, 0, fresh);
  qsort (fresh, count, sizeof (load_sample_t *), compare_newest_first);
  /* Peers with the same samples should not all pass on the same ones. */
  count = MIN (count, 2 * want);
  want = MIN (want, count);
  shuffle_front (table, fresh, count, want);
  for (uint32_t i = 0; i < want; i++)
    out[i] = *fresh[i];
  return want;
}

uint32_t
load_samples_below_mean (
    load_samples_t *table, uint64_t now_us, uint64_t except_hash, uint64_t *out, uint32_t want)
{
  const load_sample_t *fresh[LIMIT_LOAD_SAMPLES];
  uint32_t count = collect_fresh (table, now_us, except_hash, fresh);
  uint64_t mean_milli = load_samples_estimate_mean (table, now_us, NULL, 0).mean_milli;
  uint32_t room_count = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      if ((uint64_t)fresh[i]->load * MILLI <= mean_milli)
        fresh[room_count++] = fresh[i];
    }
  want = MIN (want, room_count);
  shuffle_front (table, fresh, room_count, want);
  for (uint32_t i = 0; i < want; i++)
    out[i] = fresh[i]->engine_hash;
  return want;
}
