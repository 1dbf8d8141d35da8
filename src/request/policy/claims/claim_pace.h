/**
 * DOC: claim_pace
 *
 * Rate control of the appends to one claims stream. The log takes a few hundred appends a second
 * from the whole fleet and refuses the rest, and no daemon knows how many others append. Each
 * stream of each daemon keeps a minimum interval between its appends. It doubles with each refusal
 * and falls slowly while appends succeed (additive increase of the rate, multiplicative decrease).
 * So the rates of all daemons converge, and under load the batches grow instead of the number of
 * appends.
 *
 * After failures in a row the stream backs off for longer, up to %LIMIT_CLAIM_BACKOFF_US.
 */
#ifndef REQUEST_POLICY_CLAIMS_CLAIM_PACE_H
#define REQUEST_POLICY_CLAIMS_CLAIM_PACE_H

#include <stdint.h>

/**
 * struct claim_pace - state of one stream
 * @interval_us: minimum time between the starts of two appends
 * @started_us: when the last append started
 * @due_us: when the next append may start
 * @round_trip_us: time from an append's start to its answer, moving average; 0 for not known
 * @jitter_seed: state of the random numbers for the jitter
 * @failures: appends in a row that were refused or lost
 * @refusals: appends in a row that were refused; a lost one ends the row
 */
typedef struct
{
  uint64_t interval_us;
  uint64_t started_us;
  uint64_t due_us;
  uint64_t round_trip_us;
  uint64_t jitter_seed;
  uint32_t failures;
  uint32_t refusals;
} claim_pace_t;

/** claim_pace_init() - begins with the shortest interval */
void claim_pace_init (claim_pace_t *pace);
/** claim_pace_add_entropy() - adds a value that differs between daemons, for the jitter */
void claim_pace_add_entropy (claim_pace_t *pace, uint64_t entropy);
/** claim_pace_append_started() - an append starts */
void claim_pace_append_started (claim_pace_t *pace, uint64_t now_us);
/** claim_pace_append_succeeded() - the append succeeded */
void claim_pace_append_succeeded (claim_pace_t *pace, uint64_t now_us);
/** claim_pace_append_refused() - the log refused the append because it gets too many */
void claim_pace_append_refused (claim_pace_t *pace, uint64_t now_us);
/** claim_pace_append_lost() - the append got no answer: the log is down or slow, which says nothing
 * about the rate */
void claim_pace_append_lost (claim_pace_t *pace, uint64_t now_us);
/** claim_pace_expected_answer_us() - Return: expected time of the answer to an append that @batches
 * others precede */
uint64_t
claim_pace_expected_answer_us (const claim_pace_t *pace, uint64_t now_us, uint32_t batches);

#endif
