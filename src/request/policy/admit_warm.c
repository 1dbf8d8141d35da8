#include "request/policy/admit_private.h"

/* The lifetime is an expectation: some prefixes are kept for longer, and to ask for one in vain
 * costs only a hop. */
static uint64_t
warm_us (const adm_t *adm)
{
  return ADM_WARM_LIFETIMES * adm->options.cache_lifetime_us;
}

static bool
is_new (const adm_t *adm, uint64_t now_us)
{
  return adm->joined_us != 0 && now_us < adm->joined_us + warm_us (adm);
}

/* Whether a warm engine is worth a hop: not when it is gone, nor when its queue would take longer
 * than the cold start here. */
static bool
is_worth (const adm_t *adm,
          uint64_t now_us,
          const adm_request_t *request,
          uint64_t engine_hash,
          uint64_t bound_milli)
{
  if (adm->options.is_live != NULL && !adm->options.is_live (engine_hash, adm->options.context))
    return false;
  const mean_sample_t *there = ref_find (&adm->mean, now_us, engine_hash);
  const uint64_t limit = adm_limit_milli (adm, now_us, &request->item, bound_milli);
  return there == NULL || adm_wait_there_us (adm, there, limit) <= adm_cold_start_us (adm, request);
}

static bool
is_at_home (const adm_t *adm, const adm_request_t *request)
{
  return request->home_hash == adm->options.engine_hash && !request->referred;
}

/* A new home took the chat to be warm here, as it was home here before. */
static bool
is_from_new_home (const adm_t *adm, const adm_request_t *request)
{
  return request->referred && request->home_hash != adm->options.engine_hash &&
         request->former_hash == adm->options.engine_hash;
}

static adm_decision_t
refer_to (const adm_t *adm, uint64_t engine_hash, uint64_t bound_milli)
{
  adm_decision_t decision = adm_decide (adm, ADM_REFUSE, VRD_REASON_ELSEWHERE, bound_milli);
  decision.referrals[0] = engine_hash;
  decision.referral_count = 1;
  return decision;
}

/* Where the context of a returning chat is warm, when that is not here; else 0. */
static uint64_t
warm_elsewhere (const adm_t *adm, uint64_t now_us, const adm_request_t *request)
{
  const uint64_t own = adm->options.engine_hash;
  dir_entry_t entry;
  if (dir_get (adm->directory, now_us, warm_us (adm), request->chat_hash, &entry))
    return entry.engine_hash != own ? entry.engine_hash : 0;
  if (is_at_home (adm, request) && is_new (adm, now_us) && request->former_hash != own)
    return request->former_hash;
  return 0;
}

/* A former home that knows nothing of the chat sends it back: its context went with the engine that
 * was replaced. Kept here it would fill this cache, and the one of the new engine stay empty. */
static bool
is_cold_here (const adm_t *adm, uint64_t now_us, const adm_request_t *request)
{
  dir_entry_t entry;
  return is_from_new_home (adm, request) &&
         !dir_get (adm->directory, now_us, warm_us (adm), request->chat_hash, &entry);
}

bool
adm_refer_to_warm (adm_t *adm,
                   uint64_t now_us,
                   const adm_request_t *request,
                   uint64_t bound_milli,
                   adm_decision_t *decision)
{
  if (adm->options.policy != ADM_POLICY_FULL || !request->has_chat)
    return false;
  if (!is_at_home (adm, request) && !is_from_new_home (adm, request))
    return false;
  const uint64_t engine_hash = warm_elsewhere (adm, now_us, request);
  const bool elsewhere =
      engine_hash != 0 && is_worth (adm, now_us, request, engine_hash, bound_milli);
  if (!elsewhere && !is_cold_here (adm, now_us, request))
    return false;
  *decision = elsewhere ? refer_to (adm, engine_hash, bound_milli)
                        : adm_decide (adm, ADM_REFUSE, VRD_REASON_COLD, bound_milli);
  return true;
}

/* The chat is warm here from now on, whatever was noted of it before. */
void
adm_note_warm (adm_t *adm, uint64_t now_us, const adm_request_t *request)
{
  if (request->has_chat && adm->options.policy == ADM_POLICY_FULL)
    dir_put (adm->directory, now_us, request->chat_hash, adm->options.engine_hash);
}
