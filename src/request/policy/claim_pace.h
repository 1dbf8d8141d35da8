/**
 * DOC: claim_pace
 *
 * When one claims stream may be appended to next. The log takes some hundred appends a second for
 * the whole fleet and refuses the rest; nobody knows how many append. Each stream of each daemon
 * keeps a shortest interval between its appends, which doubles with each refusal and falls slowly
 * while appends are taken (additive increase of the rate, multiplicative decrease): all that append
 * come to like rates, and under load the batches grow instead of the appends.
 *
 * After failures in a row it backs off beyond that interval, up to %LIM_CLAIM_BACKOFF_US.
 */
#ifndef REQUEST_POLICY_CLAIM_PACE_H
#define REQUEST_POLICY_CLAIM_PACE_H

#include <stdint.h>

/**
 * struct cpc - @interval_us: between the starts of two appends
 * @due_us: the next append may start
 * @failures: in a row
 * @refusals: in a row, without one that was lost
 * @trip_us: from an append's start to its answer, smoothed
 */
typedef struct
{
  uint64_t interval_us;
  uint64_t started_us;
  uint64_t due_us;
  uint64_t trip_us;
  uint64_t seed;
  uint32_t failures;
  uint32_t refusals;
} cpc_t;

void cpc_init (cpc_t *pace);
/** cpc_stir() - something that differs between daemons, for the jitter */
void cpc_stir (cpc_t *pace, uint64_t value);
void cpc_started (cpc_t *pace, uint64_t now_us);
void cpc_taken (cpc_t *pace, uint64_t now_us);
/** cpc_refused() - the log is asked too often */
void cpc_refused (cpc_t *pace, uint64_t now_us);
/** cpc_lost() - the log is down or slow: this tells nothing of the rate */
void cpc_lost (cpc_t *pace, uint64_t now_us);
/** cpc_expected_us() - when an append that has @batches before it can be expected to be answered */
uint64_t cpc_expected_us (const cpc_t *pace, uint64_t now_us, uint32_t batches);

#endif
