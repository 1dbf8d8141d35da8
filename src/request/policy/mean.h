/**
 * DOC: mean
 *
 * Mean load of a service, estimated from samples that came with the exchange. The newest sample of
 * each engine counts, for %LIM_SAMPLE_AGE_US; at most %LIM_SAMPLES_KEPT are kept, so neither
 * memory nor messages grow with the fleet.
 */
#ifndef REQUEST_POLICY_MEAN_H
#define REQUEST_POLICY_MEAN_H

#include "base/limits.h"

#include <stdbool.h>
#include <stdint.h>

#define MEAN_BUSY 4 /* requests */

/**
 * struct mean_sample - the load of one engine at one time
 * @load: requests dispatched to it
 * @cost: milliseconds of a slot that its requests are expected to take
 * @taken_us: on the clock of the daemon that keeps it
 */
typedef struct
{
  uint64_t engine_hash;
  uint64_t service_hash;
  uint32_t load;
  uint32_t waiting;
  uint32_t cost;
  uint64_t taken_us;
} mean_sample_t;

/**
 * struct mean_table - samples of one service
 * @idle_since_us: from when on all samples of an engine said no load, else 0
 */
typedef struct
{
  mean_sample_t samples[LIM_SAMPLES_KEPT];
  uint64_t idle_since_us[LIM_SAMPLES_KEPT];
  uint32_t count;
  uint64_t rng;
} mean_table_t;

/**
 * struct mean_estimate - in thousandths of a request
 * @margin_milli: standard error of the mean, with the finite population corrected for
 */
typedef struct
{
  uint64_t mean_milli;
  uint64_t margin_milli;
  uint32_t count;
} mean_estimate_t;

void mean_init (mean_table_t *table, uint64_t seed);
/** mean_add() - keep a sample; an older one of the same engine goes, a full table drops its oldest
 */
void mean_add (mean_table_t *table, const mean_sample_t *sample);
/** mean_is_unreached() - whether an engine whose sample stands in @table has had no load for
 * %LIM_SAMPLE_AGE_US: among busy engines, routers do not reach it */
bool mean_is_unreached (const mean_table_t *table, const mean_sample_t *sample, uint64_t now_us);
void mean_forget (mean_table_t *table, uint64_t engine_hash);
/**
 * mean_estimate() - over the samples not too old, with the daemon's @own load when it is an
 * engine's
 *
 * Engines that have had no load for %LIM_SAMPLE_AGE_US while the others, not fewer, have
 * %MEAN_BUSY or more on average are not part of the mean: they have room, are named by every
 * refusal, and yet get nothing, so routers do not reach them. Counted, they would hold the bound of
 * all others below what they carry.
 */
mean_estimate_t mean_estimate (const mean_table_t *table,
                               uint64_t now_us,
                               const mean_sample_t *own,
                               uint32_t engine_count);
/** mean_pick() - up to @want recent samples to pass on, at random; newest first chosen */
uint32_t mean_pick (mean_table_t *table, uint64_t now_us, mean_sample_t *out, uint32_t want);
/**
 * mean_room() - up to @want engines that lately had the most room, not counting @except_hash
 *
 * Chosen at random among those at or below the mean, so that refusals of many sidecars do not
 * all point to one engine.
 */
uint32_t mean_room (
    mean_table_t *table, uint64_t now_us, uint64_t except_hash, uint64_t *out, uint32_t want);

#endif
