#include "request/policy/queueing/admission_private.h"

/* Adds up to half of the time at random, so that clients that were rejected together don't retry
 * together. */
static uint32_t
retry_after_ms (admission_t *admission, uint64_t after_us)
{
  uint64_t after_ms = after_us / CLOCK_US_PER_MS;
  after_ms = CLAMP (after_ms, ADMISSION_RETRY_MIN_MS, ADMISSION_RETRY_MAX_MS);
  return (uint32_t)(after_ms + referral_random (&admission->rng) % (after_ms / 2));
}

admission_decision_t
admission_make_decision (const admission_t *admission,
                         admission_action_t action,
                         verdict_reason_t reason,
                         uint64_t bound_milli)
{
  return (admission_decision_t){
    .action = action, .reason = reason, .load = admission->load, .bound_milli = bound_milli
  };
}

void
admission_add_referrals (admission_t *admission,
                         uint64_t now_us,
                         uint64_t limit,
                         admission_decision_t *decision)
{
  const referral_query_t query = { .now_us = now_us,
                                   .except_hash = admission->options.engine_hash,
                                   .limit_milli = limit,
                                   .is_live = admission->options.is_live,
                                   .context = admission->options.context };
  decision->referral_count =
      referral_find_engines (&admission->mean, &query, &admission->rng, decision->referrals);
}

admission_decision_t
admission_reject_closed (admission_t *admission,
                         uint64_t now_us,
                         verdict_reason_t reason,
                         uint64_t bound_milli)
{
  admission_decision_t decision =
      admission_make_decision (admission, ADMISSION_REJECT, reason, bound_milli);
  admission_add_referrals (admission, now_us, (uint64_t)admission->options.slots * MILLI,
                           &decision);
  decision.retry_after_ms = retry_after_ms (admission, CLOCK_US_PER_S);
  return decision;
}

bool
admission_reject_suspect (admission_t *admission,
                          uint64_t now_us,
                          const admission_request_t *request,
                          uint64_t bound_milli,
                          admission_decision_t *decision)
{
  const suspect_verdict_t verdict = suspect_check (
      admission->suspects, now_us, request->fingerprint, admission->options.engine_hash);
  if (verdict == SUSPECT_ALLOWED)
    return false;
  *decision = admission_make_decision (admission, ADMISSION_REJECT,
                                       verdict == SUSPECT_REFUSED ? VERDICT_REASON_SUSPECT
                                                                  : VERDICT_REASON_SUSPECT_HERE,
                                       bound_milli);
  return true;
}

admission_decision_t
admission_reject_over_bound (admission_t *admission,
                             uint64_t wait_us,
                             const admission_decision_t *with_referrals)
{
  admission_decision_t decision = *with_referrals;
  decision.retry_after_ms = retry_after_ms (admission, wait_us);
  return decision;
}

admission_decision_t
admission_reject_until (admission_t *admission,
                        verdict_reason_t reason,
                        uint64_t after_us,
                        uint64_t bound_milli)
{
  admission_decision_t decision =
      admission_make_decision (admission, ADMISSION_REJECT, reason, bound_milli);
  decision.retry_after_ms = retry_after_ms (admission, after_us);
  return decision;
}
