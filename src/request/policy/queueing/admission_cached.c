#include "request/policy/queueing/admission_private.h"

/* Longer than the lifetime, which is an expected value: some contexts are cached for longer, and a
 * referral in vain costs only one more hop. */
static uint64_t
referral_lifetime_us (const admission_t *admission)
{
  return ADMISSION_REFERRAL_LIFETIMES * admission->options.cache_lifetime_us;
}

static bool
is_new (const admission_t *admission, uint64_t now_us)
{
  return admission->joined_us != 0 &&
         now_us < admission->joined_us + referral_lifetime_us (admission);
}

/* Return: whether a referral to the engine saves time; not if it has left, or if the wait in its
 * queue is longer than a cold start here */
static bool
is_worth_referral (const admission_t *admission,
                   uint64_t now_us,
                   const admission_request_t *request,
                   uint64_t engine_hash,
                   uint64_t bound_milli)
{
  if (admission->options.is_live != NULL &&
      !admission->options.is_live (engine_hash, admission->options.context))
    return false;
  const load_sample_t *remote = referral_find_sample (&admission->mean, now_us, engine_hash);
  const uint64_t limit = admission_limit_milli (admission, now_us, &request->item, bound_milli);
  return remote == NULL || admission_remote_wait_us (admission, remote, limit) <=
                               admission_cold_start_us (admission, request);
}

static bool
is_at_home (const admission_t *admission, const admission_request_t *request)
{
  return request->home_hash == admission->options.engine_hash && !request->referred;
}

/* Return: whether the new home engine of the chat referred the request here, as this engine was the
 * home before and may have the context in its cache */
static bool
is_from_new_home (const admission_t *admission, const admission_request_t *request)
{
  return request->referred && request->home_hash != admission->options.engine_hash &&
         request->former_home_hash == admission->options.engine_hash;
}

static admission_decision_t
refer_to (const admission_t *admission, uint64_t engine_hash, uint64_t bound_milli)
{
  admission_decision_t decision =
      admission_make_decision (admission, ADMISSION_REJECT, VERDICT_REASON_ELSEWHERE, bound_milli);
  decision.referrals[0] = engine_hash;
  decision.referral_count = 1;
  return decision;
}

/* Return: the other engine that has the chat's context in its cache, 0 if none is known */
static uint64_t
find_cached_elsewhere (const admission_t *admission,
                       uint64_t now_us,
                       const admission_request_t *request)
{
  const uint64_t own = admission->options.engine_hash;
  chat_directory_entry_t entry;
  if (chat_directory_get (admission->directory, now_us, referral_lifetime_us (admission),
                          request->chat_hash, &entry))
    return entry.engine_hash != own ? entry.engine_hash : 0;
  if (is_at_home (admission, request) && is_new (admission, now_us) &&
      request->former_home_hash != own)
    return request->former_home_hash;
  return 0;
}

/* Return: whether this former home engine should send the chat back, as it hasn't served it: the
 * context was lost with the engine that was replaced. Served here, such chats would fill this cache
 * while the one of the new home stays empty. */
static bool
should_send_back (const admission_t *admission, uint64_t now_us, const admission_request_t *request)
{
  chat_directory_entry_t entry;
  return is_from_new_home (admission, request) &&
         !chat_directory_get (admission->directory, now_us, referral_lifetime_us (admission),
                              request->chat_hash, &entry);
}

bool
admission_refer_to_cached (admission_t *admission,
                           uint64_t now_us,
                           const admission_request_t *request,
                           uint64_t bound_milli,
                           admission_decision_t *decision)
{
  if (admission->options.policy != ADMISSION_POLICY_FULL || !request->has_chat)
    return false;
  if (!is_at_home (admission, request) && !is_from_new_home (admission, request))
    return false;
  const uint64_t engine_hash = find_cached_elsewhere (admission, now_us, request);
  const bool elsewhere =
      engine_hash != 0 && is_worth_referral (admission, now_us, request, engine_hash, bound_milli);
  if (!elsewhere && !should_send_back (admission, now_us, request))
    return false;
  *decision = elsewhere ? refer_to (admission, engine_hash, bound_milli)
                        : admission_make_decision (admission, ADMISSION_REJECT, VERDICT_REASON_COLD,
                                                   bound_milli);
  return true;
}

void
admission_note_cached (admission_t *admission, uint64_t now_us, const admission_request_t *request)
{
  if (request->has_chat && admission->options.policy == ADMISSION_POLICY_FULL)
    chat_directory_put (admission->directory, now_us, request->chat_hash,
                        admission->options.engine_hash);
}
