/**
 * DOC: figures
 *
 * Results of one simulation run: counters, and samples of which quantiles are taken.
 */
#ifndef BENCH_FIGURES_H
#define BENCH_FIGURES_H

#include "request/policy/retries/verdict.h"

#include <stdint.h>

/** struct figures_samples - a growing array of samples */
typedef struct
{
  float *values;
  uint32_t count;
  uint32_t capacity;
} figures_samples_t;

/**
 * struct figures - results of one run, counted after the warm-up
 * @prefix_tokens: context tokens of returning chats, which an earlier turn may have left in a cache
 * @cached_tokens: those of @prefix_tokens that the serving engine had in its cache
 * @gone_tokens: cache misses because the engine of the last turn is gone or was restarted
 * @moved_tokens: cache misses because another engine serves the chat now
 * @evicted_tokens: cache misses because the engine had evicted the chat
 * @over_bound: dispatches after which the engine's load was over the load bound, max(c * mean,
 *   mean + 1), where mean is the true mean load of the engines
 * @over_slack: those of @over_bound whose load was more than one request over the bound
 * @quiet_requests, @quiet_refused: of the accounts that never surge
 * @may_have_run: requests that ended without an answer and of which it is unknown whether they ran
 * @refusals: refusals by sidecars by reason, also of requests that another engine then served
 * @load_sum: sum of the true mean load over @dispatches
 * @skew: maximum / mean load of the engines, at each dispatch
 * @excess: load over the bound in requests, for each of @over_bound
 * @short_wait, @short_first: milliseconds from arrival to dispatch, and to the first token, of the
 *   requests of priority 0 from accounts that never surge
 * @quiet_wait, @quiet_first: the same for all requests of the accounts that never surge
 */
typedef struct
{
  uint64_t requests;
  uint64_t dispatches;
  uint64_t hops;
  uint64_t prefix_tokens;
  uint64_t cached_tokens;
  uint64_t gone_tokens;
  uint64_t moved_tokens;
  uint64_t evicted_tokens;
  uint64_t over_bound;
  uint64_t over_slack;
  uint64_t refused;
  uint64_t quiet_requests;
  uint64_t quiet_refused;
  uint64_t may_have_run;
  uint64_t refusals[VERDICT_REASON_COUNT];
  double load_sum;
  figures_samples_t skew;
  figures_samples_t excess;
  figures_samples_t short_wait;
  figures_samples_t quiet_wait;
  figures_samples_t short_first;
  figures_samples_t quiet_first;
} figures_t;

void figures_add_sample (figures_samples_t *list, double value);
/** figures_quantile() - the quantile @share (0..1) of the samples, 0 when there are none; sorts
 * them */
double figures_quantile (figures_samples_t *list, double share);
/** figures_clear() - frees the samples and sets all counters to 0 */
void figures_clear (figures_t *figures);

#endif
