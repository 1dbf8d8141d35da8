#include "request/policy/admit_private.h"

/* Longer than the lifetime, which is an expected value: some contexts are cached for longer, and a
 * referral in vain costs only one more hop. */
static uint64_t
referral_lifetime_us (const adm_t *adm)
{
  return ADM_WARM_LIFETIMES * adm->options.cache_lifetime_us;
}

static bool
is_new (const adm_t *adm, uint64_t now_us)
{
  return adm->joined_us != 0 && now_us < adm->joined_us + referral_lifetime_us (adm);
}

/* Return: whether a referral to the engine saves time; not if it has left, or if the wait in its
 * queue is longer than a cold start here */
static bool
is_worth_referral (const adm_t *adm,
                   uint64_t now_us,
                   const adm_request_t *request,
                   uint64_t engine_hash,
                   uint64_t bound_milli)
{
  if (adm->options.is_live != NULL && !adm->options.is_live (engine_hash, adm->options.context))
    return false;
  const load_sample_t *remote = ref_find (&adm->mean, now_us, engine_hash);
  const uint64_t limit = adm_limit_milli (adm, now_us, &request->item, bound_milli);
  return remote == NULL ||
         adm_wait_there_us (adm, remote, limit) <= adm_cold_start_us (adm, request);
}

static bool
is_at_home (const adm_t *adm, const adm_request_t *request)
{
  return request->home_hash == adm->options.engine_hash && !request->referred;
}

/* Return: whether the new home engine of the chat referred the request here, as this engine was the
 * home before and may have the context in its cache */
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

/* Return: the other engine that has the chat's context in its cache, 0 if none is known */
static uint64_t
find_cached_elsewhere (const adm_t *adm, uint64_t now_us, const adm_request_t *request)
{
  const uint64_t own = adm->options.engine_hash;
  dir_entry_t entry;
  if (dir_get (adm->directory, now_us, referral_lifetime_us (adm), request->chat_hash, &entry))
    return entry.engine_hash != own ? entry.engine_hash : 0;
  if (is_at_home (adm, request) && is_new (adm, now_us) && request->former_hash != own)
    return request->former_hash;
  return 0;
}

/* Return: whether this former home engine should send the chat back, as it hasn't served it: the
 * context was lost with the engine that was replaced. Served here, such chats would fill this cache
 * while the one of the new home stays empty. */
static bool
should_send_back (const adm_t *adm, uint64_t now_us, const adm_request_t *request)
{
  dir_entry_t entry;
  return is_from_new_home (adm, request) &&
         !dir_get (adm->directory, now_us, referral_lifetime_us (adm), request->chat_hash, &entry);
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
  const uint64_t engine_hash = find_cached_elsewhere (adm, now_us, request);
  const bool elsewhere =
      engine_hash != 0 && is_worth_referral (adm, now_us, request, engine_hash, bound_milli);
  if (!elsewhere && !should_send_back (adm, now_us, request))
    return false;
  *decision = elsewhere ? refer_to (adm, engine_hash, bound_milli)
                        : adm_decide (adm, ADM_REFUSE, VRD_REASON_COLD, bound_milli);
  return true;
}

void
adm_note_warm (adm_t *adm, uint64_t now_us, const adm_request_t *request)
{
  if (request->has_chat && adm->options.policy == ADM_POLICY_FULL)
    dir_put (adm->directory, now_us, request->chat_hash, adm->options.engine_hash);
}
