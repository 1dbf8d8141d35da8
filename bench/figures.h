/**
 * DOC: figures
 *
 * What one run of the benchmark measures.
 */
#ifndef BENCH_FIGURES_H
#define BENCH_FIGURES_H

#include "request/policy/verdict.h"

#include <stdint.h>

/** struct fig_list - values of which quantiles are taken */
typedef struct
{
  float *values;
  uint32_t count;
  uint32_t room;
} fig_list_t;

/**
 * struct fig - figures of one run, after its warm-up
 * @prefix_tokens, @cached_tokens: of returning chats
 * @gone_tokens, @moved_tokens, @evicted_tokens: not found, as the engine that had served the chat
 *   was gone or replaced; as another one served it now; as it had no room to keep it
 * @skew: max / mean load at each dispatch
 * @over_bound: dispatches after which the engine had more than max(c x mean, mean + 1), by the true
 *   mean
 * @over_slack: more than one request beyond that
 * @excess: for @over_bound, load beyond the bound, in requests
 * @short_wait, @quiet_wait: from arrival to dispatch, in milliseconds; priority 0, and accounts
 *   that do not surge
 * @short_first, @quiet_first: from arrival to the first token
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
  uint64_t refusals[VRD_REASON_COUNT]; /* by sidecars, also those that another engine made good */
  double load_sum;
  fig_list_t skew;
  fig_list_t excess;
  fig_list_t short_wait;
  fig_list_t quiet_wait;
  fig_list_t short_first;
  fig_list_t quiet_first;
} fig_t;

void fig_add (fig_list_t *list, double value);
/** fig_quantile() - sorts the list; 0 when it is empty */
double fig_quantile (fig_list_t *list, double share);
void fig_clear (fig_t *figures);

#endif
