#include "request/admit.h"

#include "request/drain.h"
#include "request/drift.h"
#include "request/refer.h"

#define MILLI 1000

struct adm
{
  adm_options_t options;
  fq_t *queue;
  dir_t *directory;
  sus_t *suspects;
  mean_table_t mean;
  drn_t drain;
  dft_t drift;
  uint64_t joined_us;
  uint64_t last_account;
  uint64_t mixed_us; /* when a request last came of another account than the one before */
  uint64_t rng;
  uint32_t load;
  uint64_t cost;
  bool leaving;
  bool stale;
  bool engine_down;
};

/* What a check of the waiting requests needs, taken once for all of them. */
typedef struct
{
  adm_t *adm;
  uint64_t now_us;
  uint64_t bound_milli;
} adm_check_t;

static adm_request_t *
request_of (fq_item_t *item)
{
  return item != NULL ? item->owner : NULL;
}

static mean_estimate_t
estimate_mean (const adm_t *adm, uint64_t now_us)
{
  const mean_sample_t own = adm_sample (adm, now_us);
  return mean_estimate (&adm->mean, now_us, &own, adm->options.engine_count);
}

static uint64_t
bound_of (const adm_t *adm, uint64_t now_us, const mean_estimate_t *estimate)
{
  const uint64_t open_milli = (uint64_t)adm->options.slots * MILLI;
  if (adm->options.policy == ADM_POLICY_OPEN || adm->options.engine_count <= 1)
    return open_milli;
  if (estimate->count <= 1)
    {
      /* Nobody was heard. Just after the start that is no news, so one request at a time; later the
       * exchange is out, and the slots alone bound, as refusing everywhere would be an outage. */
      const bool young = adm->joined_us != 0 && now_us < adm->joined_us + LIM_SAMPLE_AGE_US;
      return young ? MILLI : open_milli;
    }
  const uint64_t margin = estimate->margin_milli + dft_margin_milli (&adm->drift);
  const uint64_t low = estimate->mean_milli > margin ? estimate->mean_milli - margin : 0;
  /* No margin on the mean plus one: with all engines at one load none could admit, the load would
   * fall, and the service would be stuck there, refusing. */
  return MAX (low * adm->options.bound_percent / 100, estimate->mean_milli + MILLI);
}

/* The bound for a decision; the estimate is noted for the drift. */
static uint64_t
bound_now (adm_t *adm, uint64_t now_us)
{
  const mean_estimate_t estimate = estimate_mean (adm, now_us);
  if (estimate.count > 1)
    dft_note (&adm->drift, now_us, estimate.mean_milli);
  return bound_of (adm, now_us, &estimate);
}

static uint32_t
reserve_of (const adm_t *adm)
{
  const uint32_t reserve = adm->options.slots / ADM_RESERVE_DIVISOR;
  return reserve == 0 && adm->options.slots >= 4 ? 1 : reserve;
}

static void
note_account (adm_t *adm, uint64_t now_us, uint64_t account_hash)
{
  if (account_hash != adm->last_account)
    adm->mixed_us = now_us;
  adm->last_account = account_hash;
}

static bool
is_alone (const adm_t *adm, uint64_t now_us)
{
  return now_us >= adm->mixed_us + ADM_ALONE_US;
}

/* Some slots are kept for accounts that had no more than the others. Without them a surging account
 * holds every slot, and each request of the others waits for one of its long ones to end. */
static uint32_t
slots_for (const adm_t *adm, uint64_t now_us, const fq_item_t *item)
{
  const uint32_t slots = adm->options.slots;
  if (adm->options.policy == ADM_POLICY_OPEN || is_alone (adm, now_us))
    return slots;
  return fq_is_behind (adm->queue, item) ? slots : slots - reserve_of (adm);
}

static uint64_t
limit_milli (const adm_t *adm, uint64_t now_us, const fq_item_t *item, uint64_t bound_milli)
{
  return MIN ((uint64_t)slots_for (adm, now_us, item) * MILLI, bound_milli);
}

static bool
fits (const adm_t *adm, uint64_t now_us, const fq_item_t *item, uint64_t bound_milli)
{
  return ((uint64_t)adm->load + 1) * MILLI <= limit_milli (adm, now_us, item, bound_milli);
}

static bool
may_serve (const fq_item_t *item, void *context)
{
  const adm_check_t *check = context;
  if (item->deadline_us != 0 && item->deadline_us <= check->now_us)
    return false;
  return fits (check->adm, check->now_us, item, check->bound_milli);
}

static bool
starts_now (adm_t *adm, uint64_t now_us, const fq_item_t *item, uint64_t bound_milli)
{
  if (!fits (adm, now_us, item, bound_milli))
    return false;
  if (fq_count (adm->queue) == 0)
    return true;
  adm_check_t check = { .adm = adm, .now_us = now_us, .bound_milli = bound_milli };
  const fq_item_t *first = fq_peek_allowed (adm->queue, may_serve, &check);
  return first == NULL || fq_goes_before (adm->queue, item, first);
}

static uint64_t
prefill_us (const adm_t *adm, uint32_t tokens)
{
  if (adm->options.prefill_tokens_s == 0)
    return 0;
  return (uint64_t)tokens * CLK_US_PER_S / adm->options.prefill_tokens_s;
}

/* What going elsewhere costs: the prefix is read again, which takes the caller's time and as much
 * of an engine's. A request without a chat has none. */
static uint64_t
cold_start_us (const adm_t *adm, const adm_request_t *request)
{
  return request->has_chat ? ADM_COLD_WEIGHT * prefill_us (adm, request->prompt_tokens) : 0;
}

static uint64_t
ends_needed (uint32_t load, uint64_t limit)
{
  const uint64_t after = ((uint64_t)load + 1) * MILLI;
  return after > limit ? (after - limit + MILLI - 1) / MILLI : 0;
}

static uint64_t
wait_us (const adm_t *adm, uint64_t now_us, const fq_item_t *item, uint64_t bound_milli)
{
  const uint64_t ends = ends_needed (adm->load, limit_milli (adm, now_us, item, bound_milli));
  const uint64_t ahead = fq_ahead (adm->queue, item).count;
  return (ends + ahead) * drn_interval_us (&adm->drain, now_us, adm->load);
}

/* Of another engine, from its sample, taking its requests to be as long as those here. */
static uint64_t
wait_there_us (const adm_t *adm, const mean_sample_t *there, uint64_t limit)
{
  if (there->load == 0 || there->waiting + ends_needed (there->load, limit) == 0)
    return 0;
  return (there->waiting + ends_needed (there->load, limit)) * adm->drain.length_us / there->load;
}

static uint64_t
length_us (const adm_t *adm, const adm_request_t *request)
{
  return prefill_us (adm, request->prompt_tokens) + (uint64_t)request->output_tokens * ADM_TOKEN_US;
}

static void
start (adm_t *adm, uint64_t now_us, adm_request_t *request)
{
  const uint64_t guess_us =
      prefill_us (adm, request->prompt_tokens) + (uint64_t)request->output_tokens * ADM_TOKEN_US;
  drn_started (&adm->drain, now_us, adm->load, guess_us);
  adm->load++;
  adm->cost += request->item.cost;
  request->running = true;
  request->dispatched_us = now_us;
}

static vrd_reason_t
closed_reason (const adm_t *adm)
{
  if (adm->leaving)
    return VRD_REASON_LEAVING;
  if (adm->stale)
    return VRD_REASON_STALE;
  return adm->engine_down ? VRD_REASON_NO_ENGINE : VRD_REASON_NONE;
}

static adm_decision_t
decide (const adm_t *adm, adm_action_t action, vrd_reason_t reason, uint64_t bound_milli)
{
  return (adm_decision_t){
    .action = action, .reason = reason, .load = adm->load, .bound_milli = bound_milli
  };
}

static void
point_to_room (adm_t *adm, uint64_t now_us, uint64_t limit, adm_decision_t *decision)
{
  const ref_query_t query = { .now_us = now_us,
                              .except_hash = adm->options.engine_hash,
                              .limit_milli = limit,
                              .is_live = adm->options.is_live,
                              .context = adm->options.context };
  decision->referral_count = ref_room (&adm->mean, &query, &adm->rng, decision->referrals);
}

/* Up to half as much again at random: else all that were refused come back together. */
static uint32_t
retry_after_ms (adm_t *adm, uint64_t after_us)
{
  uint64_t after_ms = after_us / CLK_US_PER_MS;
  after_ms = CLAMP (after_ms, ADM_RETRY_MIN_MS, ADM_RETRY_MAX_MS);
  return (uint32_t)(after_ms + ref_random (&adm->rng) % (after_ms / 2));
}

static adm_decision_t
refuse_closed (adm_t *adm, uint64_t now_us, vrd_reason_t reason, uint64_t bound_milli)
{
  adm_decision_t decision = decide (adm, ADM_REFUSE, reason, bound_milli);
  point_to_room (adm, now_us, (uint64_t)adm->options.slots * MILLI, &decision);
  decision.retry_after_ms = retry_after_ms (adm, CLK_US_PER_S);
  return decision;
}

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
  const uint64_t limit = limit_milli (adm, now_us, &request->item, bound_milli);
  return there == NULL || wait_there_us (adm, there, limit) <= cold_start_us (adm, request);
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
  adm_decision_t decision = decide (adm, ADM_REFUSE, VRD_REASON_ELSEWHERE, bound_milli);
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

static bool
refer_to_warm (adm_t *adm,
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
                        : decide (adm, ADM_REFUSE, VRD_REASON_COLD, bound_milli);
  return true;
}

static bool
refuse_suspect (adm_t *adm,
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
      decide (adm, ADM_REFUSE, verdict == SUS_FINAL ? VRD_REASON_SUSPECT : VRD_REASON_SUSPECT_HERE,
              bound_milli);
  return true;
}

static adm_decision_t
refuse_over_bound (adm_t *adm, uint64_t wait, const adm_decision_t *room)
{
  adm_decision_t decision = *room;
  decision.retry_after_ms = retry_after_ms (adm, wait);
  return decision;
}

static adm_decision_t
refuse_to_wait (adm_t *adm, vrd_reason_t reason, uint64_t after_us, uint64_t bound_milli)
{
  adm_decision_t decision = decide (adm, ADM_REFUSE, reason, bound_milli);
  decision.retry_after_ms = retry_after_ms (adm, after_us);
  return decision;
}

/* Whether going elsewhere is better than waiting @wait here. */
static bool
better_elsewhere (const adm_t *adm,
                  const adm_request_t *request,
                  const adm_decision_t *room,
                  uint64_t wait)
{
  if (request->may_wait || adm->options.policy == ADM_POLICY_OPEN)
    return false;
  if (adm->options.policy == ADM_POLICY_NO_REFERRAL)
    return true;
  return room->referral_count > 0 && wait > cold_start_us (adm, request);
}

/* Over the bound: hold it here, point to room, or say when to come back. */
static adm_decision_t
wait_or_refuse (adm_t *adm, uint64_t now_us, adm_request_t *request, uint64_t bound_milli)
{
  fq_item_t *item = &request->item;
  const uint64_t wait = wait_us (adm, now_us, item, bound_milli);
  adm_decision_t room = decide (adm, ADM_REFUSE, VRD_REASON_OVER_BOUND, bound_milli);
  if (!request->may_wait && adm->options.policy == ADM_POLICY_FULL)
    point_to_room (adm, now_us, limit_milli (adm, now_us, item, bound_milli), &room);
  const bool in_time = item->deadline_us == 0 || now_us + wait < item->deadline_us;
  if (better_elsewhere (adm, request, &room, in_time ? wait : UINT64_MAX))
    return refuse_over_bound (adm, wait, &room);
  if (!in_time)
    return refuse_to_wait (adm, VRD_REASON_DEADLINE, now_us + wait - item->deadline_us,
                           bound_milli);
  const fq_outcome_t outcome = fq_push (adm->queue, item);
  if (outcome != FQ_QUEUED && room.referral_count > 0)
    return refuse_over_bound (adm, wait, &room);
  switch (outcome)
    {
    case FQ_QUEUED:
      return decide (adm, ADM_WAIT, VRD_REASON_NONE, bound_milli);
    case FQ_ACCOUNT_FULL:
      return refuse_to_wait (adm, VRD_REASON_ACCOUNT_SHARE, wait, bound_milli);
    default:
      return refuse_to_wait (adm, VRD_REASON_QUEUE_FULL, wait, bound_milli);
    }
}

/* The chat is warm here from now on, whatever was noted of it before. */
static void
note_warm (adm_t *adm, uint64_t now_us, const adm_request_t *request)
{
  if (request->has_chat && adm->options.policy == ADM_POLICY_FULL)
    dir_put (adm->directory, now_us, request->chat_hash, adm->options.engine_hash);
}

adm_t *
adm_new (const adm_options_t *options)
{
  adm_t *adm = g_new0 (adm_t, 1);
  adm->options = *options;
  adm->queue = fq_new (LIM_QUEUE_TOTAL);
  fq_set_credit (adm->queue, (uint64_t)options->slots * ADM_CREDIT_MS);
  adm->directory = dir_new (LIM_DIRECTORY_ENTRIES);
  adm->suspects = sus_new (LIM_SUSPECTS, ADM_SUSPECT_LIFETIME_US);
  adm->rng = options->seed | 1;
  mean_init (&adm->mean, options->seed);
  return adm;
}

void
adm_free (adm_t *adm)
{
  if (adm == NULL)
    return;
  fq_free (adm->queue);
  dir_free (adm->directory);
  sus_free (adm->suspects);
  g_free (adm);
}

void
adm_configure (adm_t *adm, const adm_options_t *options)
{
  adm->options = *options;
  fq_set_credit (adm->queue, (uint64_t)options->slots * ADM_CREDIT_MS);
}

void
adm_set_leaving (adm_t *adm, bool leaving)
{
  adm->leaving = leaving;
}

void
adm_set_stale (adm_t *adm, bool stale)
{
  adm->stale = stale;
}

void
adm_set_engine_up (adm_t *adm, bool up)
{
  adm->engine_down = !up;
}

void
adm_set_joined (adm_t *adm, uint64_t joined_us)
{
  adm->joined_us = joined_us;
}

adm_decision_t
adm_offer (adm_t *adm, uint64_t now_us, adm_request_t *request)
{
  const uint64_t bound_milli = bound_now (adm, now_us);
  const vrd_reason_t closed = closed_reason (adm);
  adm_decision_t decision;
  request->running = false;
  request->item.owner = request;
  request->item.queued_us = now_us;
  request->item.cost = (uint32_t)(length_us (adm, request) / CLK_US_PER_MS);
  /* Before all else: a router counts these, to end a request that has crashed two engines. */
  if (refuse_suspect (adm, now_us, request, bound_milli, &decision))
    return decision;
  if (closed != VRD_REASON_NONE)
    return refuse_closed (adm, now_us, closed, bound_milli);
  if (refer_to_warm (adm, now_us, request, bound_milli, &decision))
    return decision;
  note_account (adm, now_us, request->item.account_hash);
  if (!starts_now (adm, now_us, &request->item, bound_milli))
    return wait_or_refuse (adm, now_us, request, bound_milli);
  fq_served (adm->queue, &request->item);
  start (adm, now_us, request);
  return decide (adm, ADM_DISPATCH, VRD_REASON_NONE, bound_milli);
}

adm_request_t *
adm_next (adm_t *adm, uint64_t now_us)
{
  if (fq_count (adm->queue) == 0 || closed_reason (adm) != VRD_REASON_NONE)
    return NULL;
  adm_check_t check = { .adm = adm, .now_us = now_us, .bound_milli = bound_now (adm, now_us) };
  adm_request_t *request = request_of (fq_pop_allowed (adm->queue, may_serve, &check));
  if (request == NULL)
    return NULL;
  start (adm, now_us, request);
  return request;
}

adm_request_t *
adm_reject (adm_t *adm, uint64_t now_us, adm_decision_t *decision)
{
  if (fq_count (adm->queue) == 0)
    return NULL;
  const uint64_t bound_milli = bound_now (adm, now_us);
  const vrd_reason_t closed = closed_reason (adm);
  if (closed != VRD_REASON_NONE)
    {
      *decision = refuse_closed (adm, now_us, closed, bound_milli);
      return request_of (fq_any (adm->queue));
    }
  /* The next end is the soonest that anything can start: whoever cannot wait so long is told now.
   * On a stalled engine this grows, and nobody is held until the deadline. */
  const uint64_t limit = MIN ((uint64_t)adm->options.slots * MILLI, bound_milli);
  const uint64_t soonest_us =
      ends_needed (adm->load, limit) * drn_interval_us (&adm->drain, now_us, adm->load);
  adm_request_t *request = request_of (fq_expired (adm->queue, now_us + soonest_us));
  if (request != NULL)
    *decision = refuse_to_wait (adm, VRD_REASON_DEADLINE, soonest_us, bound_milli);
  return request;
}

void
adm_finish (adm_t *adm, uint64_t now_us, adm_request_t *request, bool warm)
{
  g_assert (request->running && adm->load > 0);
  request->running = false;
  adm->load--;
  adm->cost -= request->item.cost;
  drn_finished (&adm->drain, now_us, now_us - request->dispatched_us);
  if (warm)
    note_warm (adm, now_us, request);
}

void
adm_cancel (adm_t *adm, adm_request_t *request)
{
  g_assert (!request->running);
  fq_remove (adm->queue, &request->item);
}

void
adm_crashed (adm_t *adm, uint64_t now_us, const adm_request_t *request)
{
  sus_add (adm->suspects, now_us, request->fingerprint, adm->options.engine_hash);
}

void
adm_served_elsewhere (adm_t *adm, uint64_t now_us, uint64_t chat_hash, uint64_t engine_hash)
{
  dir_put (adm->directory, now_us, chat_hash, engine_hash);
}

mean_sample_t
adm_sample (const adm_t *adm, uint64_t now_us)
{
  return (mean_sample_t){ .engine_hash = adm->options.engine_hash,
                          .service_hash = adm->options.service_hash,
                          .load = adm->load,
                          .waiting = fq_count (adm->queue),
                          .cost = (uint32_t)MIN (adm->cost, UINT32_MAX),
                          .taken_us = now_us };
}

mean_table_t *
adm_mean (adm_t *adm)
{
  return &adm->mean;
}

sus_t *
adm_suspects (adm_t *adm)
{
  return adm->suspects;
}

dir_t *
adm_directory (adm_t *adm)
{
  return adm->directory;
}

uint32_t
adm_load (const adm_t *adm)
{
  return adm->load;
}

uint32_t
adm_waiting (const adm_t *adm)
{
  return fq_count (adm->queue);
}

uint64_t
adm_bound_milli (const adm_t *adm, uint64_t now_us)
{
  const mean_estimate_t estimate = estimate_mean (adm, now_us);
  return bound_of (adm, now_us, &estimate);
}
