#include "request/policy/queueing/admission_private.h"

/* Context of may_serve(), computed once for all waiting requests. */
typedef struct
{
  admission_t *admission;
  uint64_t now_us;
  uint64_t bound_milli;
} serve_check_t;

static admission_request_t *
request_of (fair_queue_item_t *item)
{
  return item != NULL ? item->owner : NULL;
}

static void
note_account_change (admission_t *admission, uint64_t now_us, uint64_t account_hash)
{
  if (account_hash != admission->last_account)
    admission->account_changed_us = now_us;
  admission->last_account = account_hash;
}

static bool
may_serve (const fair_queue_item_t *item, void *context)
{
  const serve_check_t *check = context;
  if (item->deadline_us != 0 && item->deadline_us <= check->now_us)
    return false;
  return admission_fits (check->admission, check->now_us, item, check->bound_milli);
}

static bool
can_start_now (admission_t *admission,
               uint64_t now_us,
               const fair_queue_item_t *item,
               uint64_t bound_milli)
{
  if (!admission_fits (admission, now_us, item, bound_milli))
    return false;
  if (fair_queue_count (admission->queue) == 0)
    return true;
  serve_check_t check = { .admission = admission, .now_us = now_us, .bound_milli = bound_milli };
  const fair_queue_item_t *first = fair_queue_peek_allowed (admission->queue, may_serve, &check);
  return first == NULL || fair_queue_goes_before (admission->queue, item, first);
}

static void
start_request (admission_t *admission, uint64_t now_us, admission_request_t *request)
{
  completion_rate_note_start (&admission->completions, now_us, admission->load,
                              admission_duration_us (admission, request));
  admission->load++;
  admission->cost += request->item.cost;
  request->running = true;
  request->dispatched_us = now_us;
}

static verdict_reason_t
closed_reason (const admission_t *admission)
{
  if (admission->leaving)
    return VERDICT_REASON_LEAVING;
  if (admission->stale)
    return VERDICT_REASON_STALE;
  return admission->engine_down ? VERDICT_REASON_NO_ENGINE : VERDICT_REASON_NONE;
}

/* Return: whether another engine is better than waiting here for @wait_us */
static bool
is_better_elsewhere (const admission_t *admission,
                     const admission_request_t *request,
                     const admission_decision_t *with_referrals,
                     uint64_t wait_us)
{
  if (request->may_wait || admission->options.policy == ADMISSION_POLICY_SLOTS_ONLY)
    return false;
  if (admission->options.policy == ADMISSION_POLICY_NO_REFERRAL)
    return true;
  return with_referrals->referral_count > 0 &&
         wait_us > admission_cold_start_us (admission, request);
}

/* Above the bound: queues the request, or rejects it with referrals or a retry time. */
static admission_decision_t
queue_or_reject (admission_t *admission,
                 uint64_t now_us,
                 admission_request_t *request,
                 uint64_t bound_milli)
{
  fair_queue_item_t *item = &request->item;
  const uint64_t wait_us = admission_wait_us (admission, now_us, item, bound_milli);
  admission_decision_t with_referrals =
      admission_make_decision (admission, ADMISSION_REJECT, VERDICT_REASON_OVER_BOUND, bound_milli);
  if (!request->may_wait && admission->options.policy == ADMISSION_POLICY_FULL)
    admission_add_referrals (admission, now_us,
                             admission_limit_milli (admission, now_us, item, bound_milli),
                             &with_referrals);
  const bool in_time = item->deadline_us == 0 || now_us + wait_us < item->deadline_us;
  if (is_better_elsewhere (admission, request, &with_referrals, in_time ? wait_us : UINT64_MAX))
    return admission_reject_over_bound (admission, wait_us, &with_referrals);
  if (!in_time)
    return admission_reject_until (admission, VERDICT_REASON_DEADLINE,
                                   now_us + wait_us - item->deadline_us, bound_milli);
  const fair_queue_outcome_t outcome = fair_queue_push (admission->queue, item);
  if (outcome != FAIR_QUEUE_QUEUED && with_referrals.referral_count > 0)
    return admission_reject_over_bound (admission, wait_us, &with_referrals);
  switch (outcome)
    {
    case FAIR_QUEUE_QUEUED:
      return admission_make_decision (admission, ADMISSION_WAIT, VERDICT_REASON_NONE, bound_milli);
    case FAIR_QUEUE_ACCOUNT_FULL:
      return admission_reject_until (admission, VERDICT_REASON_ACCOUNT_SHARE, wait_us, bound_milli);
    default:
      return admission_reject_until (admission, VERDICT_REASON_QUEUE_FULL, wait_us, bound_milli);
    }
}

admission_t *
admission_new (const admission_options_t *options)
{
  admission_t *admission = g_new0 (admission_t, 1);
  admission->options = *options;
  admission->queue = fair_queue_new (LIMIT_QUEUED);
  fair_queue_set_credit (admission->queue, (uint64_t)options->slots * ADMISSION_CREDIT_MS);
  admission->directory = chat_directory_new (LIMIT_DIRECTORY_ENTRIES);
  admission->suspects = suspect_new (LIMIT_SUSPECTS, ADMISSION_SUSPECT_LIFETIME_US);
  admission->rng = options->seed | 1;
  load_samples_init (&admission->mean, options->seed);
  return admission;
}

void
admission_free (admission_t *admission)
{
  if (admission == NULL)
    return;
  fair_queue_free (admission->queue);
  chat_directory_free (admission->directory);
  suspect_free (admission->suspects);
  g_free (admission);
}

void
admission_configure (admission_t *admission, const admission_options_t *options)
{
  admission->options = *options;
  fair_queue_set_credit (admission->queue, (uint64_t)options->slots * ADMISSION_CREDIT_MS);
}

void
admission_set_leaving (admission_t *admission, bool leaving)
{
  admission->leaving = leaving;
}

void
admission_set_stale (admission_t *admission, bool stale)
{
  admission->stale = stale;
}

void
admission_set_engine_up (admission_t *admission, bool up)
{
  admission->engine_down = !up;
}

void
admission_set_joined (admission_t *admission, uint64_t joined_us)
{
  admission->joined_us = joined_us;
}

admission_decision_t
admission_offer (admission_t *admission, uint64_t now_us, admission_request_t *request)
{
  const uint64_t bound_milli = admission_update_bound (admission, now_us);
  const verdict_reason_t closed = closed_reason (admission);
  admission_decision_t decision;
  request->running = false;
  request->item.owner = request;
  request->item.queued_us = now_us;
  request->item.cost = (uint32_t)(admission_duration_us (admission, request) / CLOCK_US_PER_MS);
  /* Checked first, also while the engine admits nothing: routers count these rejections and end a
   * request that has crashed the maximum of engines. */
  if (admission_reject_suspect (admission, now_us, request, bound_milli, &decision))
    return decision;
  if (closed != VERDICT_REASON_NONE)
    return admission_reject_closed (admission, now_us, closed, bound_milli);
  if (admission_refer_to_cached (admission, now_us, request, bound_milli, &decision))
    return decision;
  note_account_change (admission, now_us, request->item.account_hash);
  if (!can_start_now (admission, now_us, &request->item, bound_milli))
    return queue_or_reject (admission, now_us, request, bound_milli);
  fair_queue_charge (admission->queue, &request->item);
  start_request (admission, now_us, request);
  return admission_make_decision (admission, ADMISSION_DISPATCH, VERDICT_REASON_NONE, bound_milli);
}

admission_request_t *
admission_next (admission_t *admission, uint64_t now_us)
{
  if (fair_queue_count (admission->queue) == 0 || closed_reason (admission) != VERDICT_REASON_NONE)
    return NULL;
  serve_check_t check = { .admission = admission,
                          .now_us = now_us,
                          .bound_milli = admission_update_bound (admission, now_us) };
  admission_request_t *request =
      request_of (fair_queue_pop_allowed (admission->queue, may_serve, &check));
  if (request == NULL)
    return NULL;
  start_request (admission, now_us, request);
  return request;
}

admission_request_t *
admission_next_rejected (admission_t *admission, uint64_t now_us, admission_decision_t *decision)
{
  if (fair_queue_count (admission->queue) == 0)
    return NULL;
  const uint64_t bound_milli = admission_update_bound (admission, now_us);
  const verdict_reason_t closed = closed_reason (admission);
  if (closed != VERDICT_REASON_NONE)
    {
      *decision = admission_reject_closed (admission, now_us, closed, bound_milli);
      return request_of (fair_queue_pop_any (admission->queue));
    }
  /* No queued request can start before the next completions. One whose deadline is earlier is
   * rejected now, while its client has time to retry. The expected time grows while the engine is
   * stalled, so that no request is kept until its deadline. */
  const uint64_t limit = MIN ((uint64_t)admission->options.slots * MILLI, bound_milli);
  const uint64_t soonest_us =
      admission_completions_needed (admission->load, limit) *
      completion_rate_interval_us (&admission->completions, now_us, admission->load);
  admission_request_t *request =
      request_of (fair_queue_pop_expired (admission->queue, now_us + soonest_us));
  if (request != NULL)
    *decision =
        admission_reject_until (admission, VERDICT_REASON_DEADLINE, soonest_us, bound_milli);
  return request;
}

void
admission_finish (admission_t *admission,
                  uint64_t now_us,
                  admission_request_t *request,
                  bool is_cached)
{
  g_assert (request->running && admission->load > 0);
  request->running = false;
  admission->load--;
  admission->cost -= request->item.cost;
  completion_rate_note_end (&admission->completions, now_us, now_us - request->dispatched_us);
  /* The estimate depends on the class that the client declares, so what a request took beyond it is
   * charged to the account. */
  fair_queue_charge_excess (admission->queue, &request->item,
                            (now_us - request->dispatched_us) / CLOCK_US_PER_MS);
  if (is_cached)
    admission_note_cached (admission, now_us, request);
}

void
admission_cancel (admission_t *admission, admission_request_t *request)
{
  g_assert (!request->running);
  fair_queue_remove (admission->queue, &request->item);
}

void
admission_note_crash (admission_t *admission, uint64_t now_us, const admission_request_t *request)
{
  suspect_add_crash (admission->suspects, now_us, request->fingerprint,
                     admission->options.engine_hash);
}

/*
 * The last sample of a crashed engine has no load, or will not be updated. Counted as idle, it
 * would lower the mean and so the bound of the other engines while they take over its requests, and
 * these would be rejected though slots are free.
 */
void
admission_forget_engine (admission_t *admission, uint64_t engine_hash)
{
  if (engine_hash != admission->options.engine_hash)
    load_samples_forget (&admission->mean, engine_hash);
}

void
admission_note_served_elsewhere (admission_t *admission,
                                 uint64_t now_us,
                                 uint64_t chat_hash,
                                 uint64_t engine_hash)
{
  chat_directory_put (admission->directory, now_us, chat_hash, engine_hash);
}

load_sample_t
admission_sample (const admission_t *admission, uint64_t now_us)
{
  return (load_sample_t){ .engine_hash = admission->options.engine_hash,
                          .service_hash = admission->options.service_hash,
                          .load = admission->load,
                          .waiting = fair_queue_count (admission->queue),
                          .cost = (uint32_t)MIN (admission->cost, UINT32_MAX),
                          .taken_us = now_us };
}

load_samples_t *
admission_mean (admission_t *admission)
{
  return &admission->mean;
}

suspects_t *
admission_suspects (admission_t *admission)
{
  return admission->suspects;
}

chat_directory_t *
admission_directory (admission_t *admission)
{
  return admission->directory;
}

uint32_t
admission_load (const admission_t *admission)
{
  return admission->load;
}

uint32_t
admission_waiting (const admission_t *admission)
{
  return fair_queue_count (admission->queue);
}
