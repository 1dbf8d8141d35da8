#include "request/policy/admit_private.h"

static load_samples_estimate_t
estimate_mean (const adm_t *adm, uint64_t now_us)
{
  const load_sample_t own = adm_sample (adm, now_us);
  return load_samples_estimate_mean (&adm->mean, now_us, &own, adm->options.engine_count);
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
compute_bound_milli (const adm_t *adm, uint64_t now_us, const load_samples_estimate_t *estimate)
{
  const uint64_t slots_milli = (uint64_t)adm->options.slots * MILLI;
  if (adm->options.policy == ADM_POLICY_OPEN || adm->options.engine_count <= 1)
    return slots_milli;
  if (estimate->count <= 1)
    {
      /* No sample of another engine. Just after the start this is normal, so the engine admits one
       * request at a time. Later it means that the exchange of samples is down; then only the slots
       * limit the load, since rejecting requests on all engines would be an outage. */
      const bool just_joined = adm->joined_us != 0 && now_us < adm->joined_us + LIM_SAMPLE_AGE_US;
      return just_joined ? MILLI : slots_milli;
    }
  const uint64_t margin = estimate->margin_milli + load_drift_margin_milli (&adm->drift);
  const uint64_t low = estimate->mean_milli > margin ? estimate->mean_milli - margin : 0;
  return MAX (low * adm->options.bound_percent / 100, one_more_milli (estimate->mean_milli));
}

static uint32_t
reserved_slots (const adm_t *adm)
{
  const uint32_t reserve = adm->options.slots / ADM_RESERVE_DIVISOR;
  return reserve == 0 && adm->options.slots >= 4 ? 1 : reserve;
}

static bool
is_single_account (const adm_t *adm, uint64_t now_us)
{
  return now_us >= adm->account_changed_us + ADM_ALONE_US;
}

/* Some slots are reserved for accounts that were served no more than the others. Without them a
 * surging account uses all slots, and each request of the others waits until one of its long
 * requests completes. */
static uint32_t
slots_for_account (const adm_t *adm, uint64_t now_us, const fq_item_t *item)
{
  const uint32_t slots = adm->options.slots;
  if (adm->options.policy == ADM_POLICY_OPEN || is_single_account (adm, now_us))
    return slots;
  return fq_is_behind (adm->queue, item) ? slots : slots - reserved_slots (adm);
}

static uint64_t
prefill_us (const adm_t *adm, uint32_t tokens)
{
  if (adm->options.prefill_tokens_s == 0)
    return 0;
  return (uint64_t)tokens * CLK_US_PER_S / adm->options.prefill_tokens_s;
}

uint64_t
adm_ends_needed (uint32_t load, uint64_t limit)
{
  const uint64_t after = ((uint64_t)load + 1) * MILLI;
  return after > limit ? (after - limit + MILLI - 1) / MILLI : 0;
}

uint64_t
adm_bound_now (adm_t *adm, uint64_t now_us)
{
  const load_samples_estimate_t estimate = estimate_mean (adm, now_us);
  if (estimate.count > 1)
    load_drift_add (&adm->drift, now_us, estimate.mean_milli);
  return compute_bound_milli (adm, now_us, &estimate);
}

uint64_t
adm_limit_milli (const adm_t *adm, uint64_t now_us, const fq_item_t *item, uint64_t bound_milli)
{
  return MIN ((uint64_t)slots_for_account (adm, now_us, item) * MILLI, bound_milli);
}

bool
adm_fits (const adm_t *adm, uint64_t now_us, const fq_item_t *item, uint64_t bound_milli)
{
  return ((uint64_t)adm->load + 1) * MILLI <= adm_limit_milli (adm, now_us, item, bound_milli);
}

/* On another engine the prompt prefix has to be read again, which takes time of the client and as
 * much of an engine. A request without a chat has no cached prefix. */
uint64_t
adm_cold_start_us (const adm_t *adm, const adm_request_t *request)
{
  return request->has_chat ? ADM_COLD_WEIGHT * prefill_us (adm, request->prompt_tokens) : 0;
}

uint64_t
adm_length_us (const adm_t *adm, const adm_request_t *request)
{
  return prefill_us (adm, request->prompt_tokens) + (uint64_t)request->output_tokens * ADM_TOKEN_US;
}

uint64_t
adm_wait_us (const adm_t *adm, uint64_t now_us, const fq_item_t *item, uint64_t bound_milli)
{
  const uint64_t ends =
      adm_ends_needed (adm->load, adm_limit_milli (adm, now_us, item, bound_milli));
  const uint64_t ahead = fq_ahead (adm->queue, item).count;
  return (ends + ahead) * drn_interval_us (&adm->completions, now_us, adm->load);
}

/* Requests at the other engine are assumed to take as long as those here. */
uint64_t
adm_wait_there_us (const adm_t *adm, const load_sample_t *remote, uint64_t limit)
{
  if (remote->load == 0 || remote->waiting + adm_ends_needed (remote->load, limit) == 0)
    return 0;
  return (remote->waiting + adm_ends_needed (remote->load, limit)) * adm->completions.length_us /
         remote->load;
}

uint64_t
adm_bound_milli (const adm_t *adm, uint64_t now_us)
{
  const load_samples_estimate_t estimate = estimate_mean (adm, now_us);
  return compute_bound_milli (adm, now_us, &estimate);
}
