#include "request/policy/admit_private.h"

/* Context of may_serve(), computed once for all waiting requests. */
typedef struct
{
  adm_t *adm;
  uint64_t now_us;
  uint64_t bound_milli;
} serve_check_t;

static adm_request_t *
request_of (fq_item_t *item)
{
  return item != NULL ? item->owner : NULL;
}

static void
note_account_change (adm_t *adm, uint64_t now_us, uint64_t account_hash)
{
  if (account_hash != adm->last_account)
    adm->account_changed_us = now_us;
  adm->last_account = account_hash;
}

static bool
may_serve (const fq_item_t *item, void *context)
{
  const serve_check_t *check = context;
  if (item->deadline_us != 0 && item->deadline_us <= check->now_us)
    return false;
  return adm_fits (check->adm, check->now_us, item, check->bound_milli);
}

static bool
can_start_now (adm_t *adm, uint64_t now_us, const fq_item_t *item, uint64_t bound_milli)
{
  if (!adm_fits (adm, now_us, item, bound_milli))
    return false;
  if (fq_count (adm->queue) == 0)
    return true;
  serve_check_t check = { .adm = adm, .now_us = now_us, .bound_milli = bound_milli };
  const fq_item_t *first = fq_peek_allowed (adm->queue, may_serve, &check);
  return first == NULL || fq_goes_before (adm->queue, item, first);
}

static void
start_request (adm_t *adm, uint64_t now_us, adm_request_t *request)
{
  drn_started (&adm->completions, now_us, adm->load, adm_length_us (adm, request));
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

/* Return: whether another engine is better than waiting here for @wait_us */
static bool
is_better_elsewhere (const adm_t *adm,
                     const adm_request_t *request,
                     const adm_decision_t *with_referrals,
                     uint64_t wait_us)
{
  if (request->may_wait || adm->options.policy == ADM_POLICY_OPEN)
    return false;
  if (adm->options.policy == ADM_POLICY_NO_REFERRAL)
    return true;
  return with_referrals->referral_count > 0 && wait_us > adm_cold_start_us (adm, request);
}

/* Above the bound: queues the request, or rejects it with referrals or a retry time. */
static adm_decision_t
queue_or_reject (adm_t *adm, uint64_t now_us, adm_request_t *request, uint64_t bound_milli)
{
  fq_item_t *item = &request->item;
  const uint64_t wait_us = adm_wait_us (adm, now_us, item, bound_milli);
  adm_decision_t with_referrals = adm_decide (adm, ADM_REFUSE, VRD_REASON_OVER_BOUND, bound_milli);
  if (!request->may_wait && adm->options.policy == ADM_POLICY_FULL)
    adm_point_to_room (adm, now_us, adm_limit_milli (adm, now_us, item, bound_milli),
                       &with_referrals);
  const bool in_time = item->deadline_us == 0 || now_us + wait_us < item->deadline_us;
  if (is_better_elsewhere (adm, request, &with_referrals, in_time ? wait_us : UINT64_MAX))
    return adm_refuse_over_bound (adm, wait_us, &with_referrals);
  if (!in_time)
    return adm_refuse_to_wait (adm, VRD_REASON_DEADLINE, now_us + wait_us - item->deadline_us,
                               bound_milli);
  const fq_outcome_t outcome = fq_push (adm->queue, item);
  if (outcome != FQ_QUEUED && with_referrals.referral_count > 0)
    return adm_refuse_over_bound (adm, wait_us, &with_referrals);
  switch (outcome)
    {
    case FQ_QUEUED:
      return adm_decide (adm, ADM_WAIT, VRD_REASON_NONE, bound_milli);
    case FQ_ACCOUNT_FULL:
      return adm_refuse_to_wait (adm, VRD_REASON_ACCOUNT_SHARE, wait_us, bound_milli);
    default:
      return adm_refuse_to_wait (adm, VRD_REASON_QUEUE_FULL, wait_us, bound_milli);
    }
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
  load_samples_init (&adm->mean, options->seed);
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
  const uint64_t bound_milli = adm_bound_now (adm, now_us);
  const vrd_reason_t closed = closed_reason (adm);
  adm_decision_t decision;
  request->running = false;
  request->item.owner = request;
  request->item.queued_us = now_us;
  request->item.cost = (uint32_t)(adm_length_us (adm, request) / CLK_US_PER_MS);
  /* Checked first, also while the engine admits nothing: routers count these rejections and end a
   * request that has crashed the maximum of engines. */
  if (adm_refuse_suspect (adm, now_us, request, bound_milli, &decision))
    return decision;
  if (closed != VRD_REASON_NONE)
    return adm_refuse_closed (adm, now_us, closed, bound_milli);
  if (adm_refer_to_warm (adm, now_us, request, bound_milli, &decision))
    return decision;
  note_account_change (adm, now_us, request->item.account_hash);
  if (!can_start_now (adm, now_us, &request->item, bound_milli))
    return queue_or_reject (adm, now_us, request, bound_milli);
  fq_served (adm->queue, &request->item);
  start_request (adm, now_us, request);
  return adm_decide (adm, ADM_DISPATCH, VRD_REASON_NONE, bound_milli);
}

adm_request_t *
adm_next (adm_t *adm, uint64_t now_us)
{
  if (fq_count (adm->queue) == 0 || closed_reason (adm) != VRD_REASON_NONE)
    return NULL;
  serve_check_t check = { .adm = adm,
                          .now_us = now_us,
                          .bound_milli = adm_bound_now (adm, now_us) };
  adm_request_t *request = request_of (fq_pop_allowed (adm->queue, may_serve, &check));
  if (request == NULL)
    return NULL;
  start_request (adm, now_us, request);
  return request;
}

adm_request_t *
adm_reject (adm_t *adm, uint64_t now_us, adm_decision_t *decision)
{
  if (fq_count (adm->queue) == 0)
    return NULL;
  const uint64_t bound_milli = adm_bound_now (adm, now_us);
  const vrd_reason_t closed = closed_reason (adm);
  if (closed != VRD_REASON_NONE)
    {
      *decision = adm_refuse_closed (adm, now_us, closed, bound_milli);
      return request_of (fq_any (adm->queue));
    }
  /* No queued request can start before the next completions. One whose deadline is earlier is
   * rejected now, while its client has time to retry. The expected time grows while the engine is
   * stalled, so that no request is kept until its deadline. */
  const uint64_t limit = MIN ((uint64_t)adm->options.slots * MILLI, bound_milli);
  const uint64_t soonest_us =
      adm_ends_needed (adm->load, limit) * drn_interval_us (&adm->completions, now_us, adm->load);
  adm_request_t *request = request_of (fq_expired (adm->queue, now_us + soonest_us));
  if (request != NULL)
    *decision = adm_refuse_to_wait (adm, VRD_REASON_DEADLINE, soonest_us, bound_milli);
  return request;
}

void
adm_finish (adm_t *adm, uint64_t now_us, adm_request_t *request, bool is_cached)
{
  g_assert (request->running && adm->load > 0);
  request->running = false;
  adm->load--;
  adm->cost -= request->item.cost;
  drn_finished (&adm->completions, now_us, now_us - request->dispatched_us);
  /* The estimate depends on the class that the client declares, so what a request took beyond it is
   * charged to the account. */
  fq_took (adm->queue, &request->item, (now_us - request->dispatched_us) / CLK_US_PER_MS);
  if (is_cached)
    adm_note_warm (adm, now_us, request);
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

/*
 * The last sample of a crashed engine has no load, or will not be updated. Counted as idle, it
 * would lower the mean and so the bound of the other engines while they take over its requests, and
 * these would be rejected though slots are free.
 */
void
adm_lost (adm_t *adm, uint64_t engine_hash)
{
  if (engine_hash != adm->options.engine_hash)
    load_samples_forget (&adm->mean, engine_hash);
}

void
adm_served_elsewhere (adm_t *adm, uint64_t now_us, uint64_t chat_hash, uint64_t engine_hash)
{
  dir_put (adm->directory, now_us, chat_hash, engine_hash);
}

load_sample_t
adm_sample (const adm_t *adm, uint64_t now_us)
{
  return (load_sample_t){ .engine_hash = adm->options.engine_hash,
                          .service_hash = adm->options.service_hash,
                          .load = adm->load,
                          .waiting = fq_count (adm->queue),
                          .cost = (uint32_t)MIN (adm->cost, UINT32_MAX),
                          .taken_us = now_us };
}

load_samples_t *
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
