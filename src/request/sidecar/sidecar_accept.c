#include "request/sidecar/sidecar_private.h"

#include "request/policy/digest.h"
#include "request/headers.h"

#include <string.h>

#define DEFAULT_WEIGHT 1000

/* fill_request() - an account or class that the version in force here does not hold came into force
 * at the router first, or went: the ordinary values do until the versions meet */
static void
fill_request (sdc_call_t *call)
{
  const hop_t *hop = &call->hop;
  const man_account_t *account = man_account_named (call->man, hop->account);
  const man_class_t *klass = man_class_named (call->man, hop->class_name);
  adm_request_t *request = &call->request;

  request->item =
      (fq_item_t){ .account_hash = plc_hash_name (hop->account),
                   .weight = account != NULL ? account->weight : DEFAULT_WEIGHT,
                   .priority = klass != NULL ? klass->priority : 0,
                   .cost = hop->prompt_tokens + hop->output_tokens,
                   .queue_limit = account != NULL ? account->queue_limit : LIM_QUEUE_PER_ACCOUNT,
                   .deadline_us = call->deadline_us };
  request->chat_hash = hop->chat_hash;
  request->fingerprint = hop->fingerprint;
  request->home_hash = hop->home_hash;
  request->former_hash = hop->former_hash;
  request->prompt_tokens = hop->prompt_tokens;
  request->output_tokens = hop->output_tokens;
  request->may_wait = hop->may_wait;
  request->referred = hop->referred;
  request->has_chat = hop->has_chat;
}

static void
take_samples (sdc_t *sdc, const hop_t *hop)
{
  uint64_t now_us = ops_now_us (sdc->ops);

  for (uint32_t i = 0; i < hop->sample_count; i++)
    {
      const hop_sample_t *sample = &hop->samples[i];
      uint64_t age_us = (uint64_t)sample->age_ms * CLK_US_PER_MS;

      if (sample->engine_hash == sdc->own_hash || age_us >= now_us)
        continue;
      mean_add (adm_mean (sdc->adm), &(mean_sample_t){ .engine_hash = sample->engine_hash,
                                                       .service_hash = sdc->service->hash,
                                                       .load = sample->load,
                                                       .waiting = sample->waiting,
                                                       .cost = sample->cost,
                                                       .taken_us = now_us - age_us });
    }
}

static void
copy_request (sdc_call_t *call)
{
  uint32_t limit = call->sdc->dmn->set.header_limit_count;

  /* A non-idempotent request goes on when its router has gone, so all of it is kept. */
  call->body = hsv_take_body (call->in, &call->body_bytes);
  call->method = g_strdup (hsv_method (call->in));
  call->target = g_strdup (hsv_target (call->in));
  call->headers = g_new0 (hcl_header_t, limit);
  call->header_count = hdr_collect (hsv_headers (call->in), call->headers, limit);
  for (uint32_t i = 0; i < call->header_count; i++)
    {
      call->headers[i].name = g_strdup (call->headers[i].name);
      call->headers[i].value = g_strdup (call->headers[i].value);
    }
}

static sdc_call_t *
call_new (sdc_t *sdc, hsv_call_t *in, const hop_t *hop)
{
  sdc_call_t *call = g_new0 (sdc_call_t, 1);

  call->sdc = sdc;
  call->in = in;
  call->hop = *hop;
  call->man = man_ref (ops_man (sdc->ops));
  call->arrived_us = ops_now_us (sdc->ops);
  call->deadline_us = call->arrived_us + (uint64_t)hop->deadline_ms * CLK_US_PER_MS;
  call->timer = evtimer_new (sdc->base, sdc_engine_timer, call);
  hop_attempt_text (hop->attempt, call->attempt_text);
  rly_init (&call->rly, in);
  fill_request (call);
  copy_request (call);
  g_hash_table_insert (sdc->calls, call->hop.attempt, call);
  return call;
}

/* answer_early() - a refusal of a request that gets no call of its own */
static void
answer_early (sdc_t *sdc, hsv_call_t *in, const char *attempt, const flt_t *fault)
{
  sdc_identify (sdc, in, attempt);
  if (fault->reason != VRD_REASON_NONE)
    hsv_add_header (in, HOP_REASON_HEADER, vrd_reason_name (fault->reason));
  flt_reply (in, fault);
}

static bool
read_hop (sdc_t *sdc, hsv_call_t *in, hop_t *hop)
{
  hop_outcome_t outcome = hop_read (hop, sdc->dmn->set.fleet_key, hsv_headers (in));
  size_t body_bytes;
  const char *body = hsv_body (in, &body_bytes);

  if (outcome == HOP_OK &&
      hop->body_hash != dgs_body (hsv_method (in), hsv_target (in), body, body_bytes))
    outcome = HOP_BAD_SEAL; /* a seal that was made for another request */
  if (outcome == HOP_OK)
    return true;
  if (outcome == HOP_BAD_SEAL)
    flt_bad_request (in, 403, "forbidden", "a sidecar takes requests from routers only");
  else
    flt_bad_request (in, 400, "bad_hop", "the router's headers cannot be read");
  return false;
}

/* is_spent() - an attempt id is good for one request. Return: whether it was refused */
static bool
is_spent (sdc_t *sdc, hsv_call_t *in, const hop_t *hop, const char *attempt)
{
  flt_t fault = { .verdict = VRD_NOT_RUN, .reason = VRD_REASON_REVOKED };
  vrd_t ended;
  hst_state_t state = hst_find (sdc->hst, ops_now_us (sdc->ops), hop->attempt, &ended);

  if (state == HST_UNKNOWN && !g_hash_table_contains (sdc->calls, hop->attempt))
    return false;
  if (state != HST_BARRED)
    {
      fault.verdict = VRD_MAY_HAVE_RUN;
      fault.status = 409;
    }
  answer_early (sdc, in, attempt, &fault);
  return true;
}

static vrd_reason_t
objection (sdc_t *sdc, const hop_t *hop)
{
  if (ops_stale (sdc->ops) || ops_man (sdc->ops) == NULL)
    return VRD_REASON_STALE;
  if (sdc->service == NULL || strcmp (sdc->service->name, hop->service) != 0)
    return VRD_REASON_WRONG_SERVICE;
  return VRD_REASON_NONE;
}

void
sdc_accept (hsv_call_t *in, void *context)
{
  sdc_t *sdc = context;
  char attempt[33];
  vrd_reason_t reason;
  hop_t hop;

  if (!read_hop (sdc, in, &hop))
    return;
  hop_attempt_text (hop.attempt, attempt);
  if (is_spent (sdc, in, &hop, attempt))
    return;
  reason = objection (sdc, &hop);
  if (reason != VRD_REASON_NONE)
    {
      hst_ended (sdc->hst, ops_now_us (sdc->ops), hop.attempt, VRD_NOT_RUN);
      cnt_add (sdc->refusals[reason], 1);
      answer_early (sdc, in, attempt, &(flt_t){ .verdict = VRD_NOT_RUN, .reason = reason });
      return;
    }
  take_samples (sdc, &hop);
  if (hop.sample_count > 0)
    sdc_pump (sdc); /* the bound may have risen for those that wait already */
  sdc_call_offer (call_new (sdc, in, &hop));
}
