#include "request/policy/queueing/admission_private.h"

static load_samples_estimate_t
estimate_mean (const admission_t *admission, uint64_t now_us)
{
  const load_sample_t own = admission_sample (admission, now_us);
  return load_samples_estimate_mean (&admission->mean, now_us, &own,
                                     admission->options.engine_count);
}

/*
 * The mean plus one request, without a margin: otherwise, with all engines at the same load, none
 * could admit a request, the load would fall and with it the bound, and the service would go on
 * rejecting most requests. The mean is rounded to the nearest integer if that is more: when all
 * engines run seven requests, some have just completed one, so the mean is slightly below seven,
 * and without rounding no engine could admit an eighth and the load of the service could not rise.
 */
static uint64_t
one_more_milli (uint64_t mean_milli)
{
  const uint64_t nearest = (mean_milli + MILLI / 2) / MILLI * MILLI;
  return MAX (mean_milli, nearest) + MILLI;
}

static uint64_t
compute_bound_milli (const admission_t *admission,
                     uint64_t now_us,
                     const load_samples_estimate_t *estimate)
{
  const uint64_t slots_milli = (uint64_t)admission->options.slots * MILLI;
  if (admission->options.policy == ADMISSION_POLICY_SLOTS_ONLY ||
      admission->options.engine_count <= 1)
    return slots_milli;
  if (estimate->count <= 1)
    {
      /* No sample of another engine. Just after the start this is normal, so the engine admits one
       * request at a time. Later it means that the exchange of samples is down; then only the slots
       * limit the load, since rejecting requests on all engines would be an outage. */
      const bool just_joined =
          admission->joined_us != 0 && now_us < admission->joined_us + LIMIT_LOAD_SAMPLE_AGE_US;
      return just_joined ? MILLI : slots_milli;
    }
  const uint64_t margin = estimate->margin_milli + load_drift_margin_milli (&admission->drift);
  const uint64_t low = estimate->mean_milli > margin ? estimate->mean_milli - margin : 0;
  return MAX (low * admission->options.bound_percent / 100, one_more_milli (estimate->mean_milli));
}

static uint32_t
reserved_slots (const admission_t *admission)
{
  const uint32_t reserve = admission->options.slots / ADMISSION_RESERVE_DIVISOR;
  return reserve == 0 && admission->options.slots >= 4 ? 1 : reserve;
}

static bool
is_single_account (const admission_t *admission, uint64_t now_us)
{
  return now_us >= admission->account_changed_us + ADMISSION_SINGLE_ACCOUNT_US;
}

/* Some slots are reserved for accounts that were served no more than the others. Without them a
 * surging account uses all slots, and each request of the others waits until one of its long
 * requests completes. */
static uint32_t
slots_for_account (const admission_t *admission, uint64_t now_us, const fair_queue_item_t *item)
{
  const uint32_t slots = admission->options.slots;
  if (admission->options.policy == ADMISSION_POLICY_SLOTS_ONLY ||
      is_single_account (admission, now_us))
    return slots;
  return fair_queue_is_behind (admission->queue, item) ? slots : slots - reserved_slots (admission);
}

static uint64_t
prefill_us (const admission_t *admission, uint32_t tokens)
{
  if (admission->options.prefill_tokens_s == 0)
    return 0;
  return (uint64_t)tokens * CLOCK_US_PER_S / admission->options.prefill_tokens_s;
}

uint64_t
admission_completions_needed (uint32_t load, uint64_t limit)
{
  const uint64_t after = ((uint64_t)load + 1) * MILLI;
  return after > limit ? (after - limit + MILLI - 1) / MILLI : 0;
}

uint64_t
admission_update_bound (admission_t *admission, uint64_t now_us)
{
  const load_samples_estimate_t estimate = estimate_mean (admission, now_us);
  if (estimate.count > 1)
    load_drift_add (&admission->drift, now_us, estimate.mean_milli);
  return compute_bound_milli (admission, now_us, &estimate);
}

uint64_t
admission_limit_milli (const admission_t *admission,
                       uint64_t now_us,
                       const fair_queue_item_t *item,
                       uint64_t bound_milli)
{
  return MIN ((uint64_t)slots_for_account (admission, now_us, item) * MILLI, bound_milli);
}

bool
admission_fits (const admission_t *admission,
                uint64_t now_us,
                const fair_queue_item_t *item,
                uint64_t bound_milli)
{
  return ((uint64_t)admission->load + 1) * MILLI <=
         admission_limit_milli (admission, now_us, item, bound_milli);
}

/* On another engine the prompt prefix has to be read again, which takes time of the client and as
 * much of an engine. A request without a chat has no cached prefix. */
uint64_t
admission_cold_start_us (const admission_t *admission, const admission_request_t *request)
{
  return request->has_chat
             ? ADMISSION_COLD_START_WEIGHT * prefill_us (admission, request->prompt_tokens)
             : 0;
}

uint64_t
admission_duration_us (const admission_t *admission, const admission_request_t *request)
{
  return prefill_us (admission, request->prompt_tokens) +
         (uint64_t)request->output_tokens * ADMISSION_TOKEN_US;
}

uint64_t
admission_wait_us (const admission_t *admission,
                   uint64_t now_us,
                   const fair_queue_item_t *item,
                   uint64_t bound_milli)
{
  const uint64_t ends = admission_completions_needed (
      admission->load, admission_limit_milli (admission, now_us, item, bound_milli));
  const uint64_t ahead = fair_queue_ahead (admission->queue, item).count;
  return (ends + ahead) *
         completion_rate_interval_us (&admission->completions, now_us, admission->load);
}

/* Requests at the other engine are assumed to take as long as those here. */
uint64_t
admission_remote_wait_us (const admission_t *admission, const load_sample_t *remote, uint64_t limit)
{
  if (remote->load == 0 ||
      remote->waiting + admission_completions_needed (remote->load, limit) == 0)
    return 0;
  return (remote->waiting + admission_completions_needed (remote->load, limit)) *
         admission->completions.length_us / remote->load;
}

uint64_t
admission_bound_milli (const admission_t *admission, uint64_t now_us)
{
  const load_samples_estimate_t estimate = estimate_mean (admission, now_us);
  return compute_bound_milli (admission, now_us, &estimate);
}
