#include "request/policy/admit_private.h"

/* Adds up to half of the time at random, so that clients that were rejected together don't retry
 * together. */
static uint32_t
retry_after_ms (adm_t *adm, uint64_t after_us)
{
  uint64_t after_ms = after_us / CLK_US_PER_MS;
  after_ms = CLAMP (after_ms, ADM_RETRY_MIN_MS, ADM_RETRY_MAX_MS);
  return (uint32_t)(after_ms + ref_random (&adm->rng) % (after_ms / 2));
}

adm_decision_t
adm_decide (const adm_t *adm, adm_action_t action, vrd_reason_t reason, uint64_t bound_milli)
{
  return (adm_decision_t){
    .action = action, .reason = reason, .load = adm->load, .bound_milli = bound_milli
  };
}

void
adm_point_to_room (adm_t *adm, uint64_t now_us, uint64_t limit, adm_decision_t *decision)
{
  const ref_query_t query = { .now_us = now_us,
                              .except_hash = adm->options.engine_hash,
                              .limit_milli = limit,
                              .is_live = adm->options.is_live,
                              .context = adm->options.context };
  decision->referral_count = ref_room (&adm->mean, &query, &adm->rng, decision->referrals);
}

adm_decision_t
adm_refuse_closed (adm_t *adm, uint64_t now_us, vrd_reason_t reason, uint64_t bound_milli)
{
  adm_decision_t decision = adm_decide (adm, ADM_REFUSE, reason, bound_milli);
  adm_point_to_room (adm, now_us, (uint64_t)adm->options.slots * MILLI, &decision);
  decision.retry_after_ms = retry_after_ms (adm, CLK_US_PER_S);
  return decision;
}

bool
adm_refuse_suspect (adm_t *adm,
                    uint64_t now_us,
                    const adm_request_t *request,
                    uint64_t bound_milli,
                    adm_decision_t *decision)
{
  const sus_verdict_t verdict =
      sus_check (adm->suspects, now_us, request->fingerprint, adm->options.engine_hash);
  if (verdict == SUS_CLEAR)
    return false;
  *decision =
      adm_decide (adm, ADM_REFUSE,
                  verdict == SUS_FINAL ? VRD_REASON_SUSPECT : VRD_REASON_SUSPECT_HERE, bound_milli);
  return true;
}

adm_decision_t
adm_refuse_over_bound (adm_t *adm, uint64_t wait_us, const adm_decision_t *with_referrals)
{
  adm_decision_t decision = *with_referrals;
  decision.retry_after_ms = retry_after_ms (adm, wait_us);
  return decision;
}

adm_decision_t
adm_refuse_to_wait (adm_t *adm, vrd_reason_t reason, uint64_t after_us, uint64_t bound_milli)
{
  adm_decision_t decision = adm_decide (adm, ADM_REFUSE, reason, bound_milli);
  decision.retry_after_ms = retry_after_ms (adm, after_us);
  return decision;
}
