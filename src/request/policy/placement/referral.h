/**
 * DOC: referral
 *
 * Selects the engines with free capacity that a sidecar names when it rejects a request. They are
 * chosen from the load samples that other sidecars sent.
 */
#ifndef REQUEST_POLICY_PLACEMENT_REFERRAL_H
#define REQUEST_POLICY_PLACEMENT_REFERRAL_H

#include "request/policy/load/load_samples.h"

#include <stdbool.h>
#include <stdint.h>

/**
 * struct referral_query - which engines may be named
 * @now_us: the current time, to ignore old samples
 * @except_hash: the engine that rejects the request
 * @limit_milli: load limit including the additional request, in thousandths of a request
 * @is_live: Return: whether an engine is in use; NULL if all are
 * @context: argument of @is_live
 */
typedef struct
{
  uint64_t now_us;
  uint64_t except_hash;
  uint64_t limit_milli;
  bool (*is_live) (uint64_t engine_hash, void *context);
  void *context;
} referral_query_t;

/**
 * referral_find_engines() - selects up to %LIMIT_REFERRALS engines with free capacity
 *
 * @rng: state of referral_random()
 * @out: their hashes, best first
 *
 * Return: the number of engines
 */
uint32_t referral_find_engines (const load_samples_t *table,
                                const referral_query_t *query,
                                uint64_t *rng,
                                uint64_t *out);
/** referral_find_sample() - Return: the sample of an engine, or NULL if there is none or it is too
 * old */
const load_sample_t *
referral_find_sample (const load_samples_t *table, uint64_t now_us, uint64_t engine_hash);
/** referral_random() - xorshift64*; seeded through @rng so that simulations are repeatable */
uint64_t referral_random (uint64_t *rng);

#endif
