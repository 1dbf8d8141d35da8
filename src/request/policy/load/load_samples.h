/**
 * DOC: load_samples
 *
 * Load samples of the engines of a service, received in exchange messages, and the mean load
 * estimated from them. The newest sample of each engine counts, for %LIMIT_LOAD_SAMPLE_AGE_US. At
 * most %LIMIT_LOAD_SAMPLES are kept, so neither memory nor messages grow with the fleet.
 */
#ifndef REQUEST_POLICY_LOAD_LOAD_SAMPLES_H
#define REQUEST_POLICY_LOAD_LOAD_SAMPLES_H

#include "base/limits.h"

#include <stdbool.h>
#include <stdint.h>

/* Mean load, in requests, from which on a service has enough requests for every engine: one without
 * any is then unreached and not merely idle. */
#define LOAD_SAMPLES_BUSY_MEAN 4

/**
 * struct load_sample - the load of one engine at one time
 * @engine_hash: of the engine's name
 * @service_hash: of the service's name
 * @load: requests dispatched to it
 * @waiting: requests that wait for it
 * @cost: expected time that its requests occupy a slot, in milliseconds
 * @taken_us: when it was taken, on the clock of the process that keeps the sample
 */
typedef struct
{
  uint64_t engine_hash;
  uint64_t service_hash;
  uint32_t load;
  uint32_t waiting;
  uint32_t cost;
  uint64_t taken_us;
} load_sample_t;

/**
 * struct load_samples - the samples of one service
 * @samples: in no order, at most one of each engine
 * @idle_since_us: at the index of each sample, since when all samples of its engine have shown no
 *   load; 0 when it has load
 * @count: of @samples
 * @rng: state of the random number generator
 */
typedef struct
{
  load_sample_t samples[LIMIT_LOAD_SAMPLES];
  uint64_t idle_since_us[LIMIT_LOAD_SAMPLES];
  uint32_t count;
  uint64_t rng;
} load_samples_t;

/**
 * struct load_samples_estimate - estimated mean load of a service
 * @mean_milli: in thousandths of a request
 * @margin_milli: standard error of the mean with the finite population correction, in thousandths
 *   of a request
 * @count: number of loads that it is based on
 */
typedef struct
{
  uint64_t mean_milli;
  uint64_t margin_milli;
  uint32_t count;
} load_samples_estimate_t;

/** load_samples_init() - empties the table and seeds its random numbers */
void load_samples_init (load_samples_t *table, uint64_t seed);
/** load_samples_add() - keeps a sample in place of an older one of the same engine, or of the
 * oldest one when the table is full */
void load_samples_add (load_samples_t *table, const load_sample_t *sample);
/** load_samples_is_unreached() - whether the engine of @sample, which must be in @table, has had no
 * load for %LIMIT_LOAD_SAMPLE_AGE_US; while the others are busy, this means that routers can't
 * reach it */
bool load_samples_is_unreached (const load_samples_t *table,
                                const load_sample_t *sample,
                                uint64_t now_us);
/** load_samples_forget() - removes the sample of an engine */
void load_samples_forget (load_samples_t *table, uint64_t engine_hash);
/**
 * load_samples_estimate_mean() - estimates the mean load from the samples that are recent enough
 * @own: the load of this process's engine, or NULL when it has none
 * @engine_count: engines of the service, of which some may have no sample
 *
 * Engines without load for %LIMIT_LOAD_SAMPLE_AGE_US are left out if they are at most half of the
 * sampled engines and the others have a mean of %LOAD_SAMPLES_BUSY_MEAN or more. Refusals name such
 * engines as having room, and still they get no requests, so routers can't reach them. Counting
 * them would keep the load bound of the others below the load that they have to carry.
 */
load_samples_estimate_t load_samples_estimate_mean (const load_samples_t *table,
                                                    uint64_t now_us,
                                                    const load_sample_t *own,
                                                    uint32_t engine_count);
/** load_samples_pick() - copies up to @want samples to pass on to @out, chosen at random among the
 * 2 x
 * @want newest. Return: their number */
uint32_t
load_samples_pick (load_samples_t *table, uint64_t now_us, load_sample_t *out, uint32_t want);
/**
 * load_samples_below_mean() - chooses up to @want engines other than @except_hash with a load at or
 * below the mean
 * @out: receives their hashes
 *
 * The choice is random, so that the refusals of many sidecars do not all name the same engine.
 *
 * Return: the number of engines in @out
 */
uint32_t load_samples_below_mean (
    load_samples_t *table, uint64_t now_us, uint64_t except_hash, uint64_t *out, uint32_t want);

#endif
