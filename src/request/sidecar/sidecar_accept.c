#include "request/sidecar/sidecar_private.h"

#include "request/policy/digests/digest.h"
#include "request/header_filter.h"

#include <string.h>

#define DEFAULT_ACCOUNT_WEIGHT 1000

/* fill_request() - fills in the input of admission
 *
 * An account or class that is missing from the version in force here was added or removed by
 * another version, which the router has. Default values apply until both have the same version. */
static void
fill_request (sidecar_call_t *call)
{
  const hop_t *hop = &call->hop;
  const manifest_account_t *account = manifest_find_account (call->manifest, hop->account);
  const manifest_class_t *request_class = manifest_find_class (call->manifest, hop->class_name);
  admission_request_t *request = &call->request;

  request->item =
      (fair_queue_item_t){ .account_hash = rendezvous_hash_name (hop->account),
                           .weight = account != NULL ? account->weight : DEFAULT_ACCOUNT_WEIGHT,
                           .priority = request_class != NULL ? request_class->priority : 0,
                           .cost = hop->prompt_tokens + hop->output_tokens,
                           .queue_limit =
                               account != NULL ? account->queue_limit : LIMIT_QUEUED_PER_ACCOUNT,
                           .deadline_us = call->deadline_us };
  request->chat_hash = hop->chat_hash;
  request->fingerprint = hop->fingerprint;
  request->home_hash = hop->home_hash;
  request->former_home_hash = hop->former_home_hash;
  request->prompt_tokens = hop->prompt_tokens;
  request->output_tokens = hop->output_tokens;
  request->may_wait = hop->may_wait;
  request->referred = hop->referred;
  request->has_chat = hop->has_chat;
}

static void
merge_samples (sidecar_t *sidecar, const hop_t *hop)
{
  uint64_t now_us = data_task_now_us (sidecar->data_task);

  for (uint32_t i = 0; i < hop->sample_count; i++)
    {
      const hop_sample_t *sample = &hop->samples[i];
      uint64_t age_us = (uint64_t)sample->age_ms * CLOCK_US_PER_MS;

      if (sample->engine_hash == sidecar->own_hash || age_us >= now_us)
        continue;
      load_samples_add (admission_mean (sidecar->admission),
                        &(load_sample_t){ .engine_hash = sample->engine_hash,
                                          .service_hash = sidecar->service->hash,
                                          .load = sample->load,
                                          .waiting = sample->waiting,
                                          .cost = sample->cost,
                                          .taken_us = now_us - age_us });
    }
}

static void
copy_request (sidecar_call_t *call)
{
  uint32_t limit = call->sidecar->daemon->settings.header_limit_count;

  /* A non-idempotent request continues after its router disconnects, so everything is copied. */
  call->body = http_server_take_body (call->inbound, &call->body_bytes);
  call->method = g_strdup (http_server_method (call->inbound));
  call->target = g_strdup (http_server_target (call->inbound));
  call->headers = g_new0 (http_client_header_t, limit);
  call->header_count =
      header_collect_forwarded (http_server_request_headers (call->inbound), call->headers, limit);
  for (uint32_t i = 0; i < call->header_count; i++)
    {
      call->headers[i].name = g_strdup (call->headers[i].name);
      call->headers[i].value = g_strdup (call->headers[i].value);
    }
}

static sidecar_call_t *
call_new (sidecar_t *sidecar, http_server_call_t *inbound, const hop_t *hop)
{
  sidecar_call_t *call = g_new0 (sidecar_call_t, 1);

  call->sidecar = sidecar;
  call->inbound = inbound;
  call->hop = *hop;
  call->manifest = manifest_ref (data_task_manifest (sidecar->data_task));
  call->arrived_us = data_task_now_us (sidecar->data_task);
  call->deadline_us = call->arrived_us + (uint64_t)hop->deadline_ms * CLOCK_US_PER_MS;
  call->timer = evtimer_new (sidecar->base, sidecar_engine_on_timer, call);
  hop_format_attempt (hop->attempt, call->attempt_text);
  relay_init (&call->relay, inbound);
  event_splitter_init_unnumbered (&call->splitter, chat_events_check, &call->events);
  fill_request (call);
  copy_request (call);
  g_hash_table_insert (sidecar->calls, call->hop.attempt, call);
  return call;
}

/* refuse_without_call() - refuses a request before an sidecar_call_t is created for it */
static void
refuse_without_call (sidecar_t *sidecar,
                     http_server_call_t *inbound,
                     const char *attempt,
                     const error_reply_t *fault)
{
  sidecar_add_headers (sidecar, inbound, attempt);
  if (fault->reason != VERDICT_REASON_NONE)
    http_server_add_header (inbound, HOP_REASON_HEADER, verdict_reason_to_string (fault->reason));
  error_reply_send (inbound, fault);
}

static bool
read_hop_headers (sidecar_t *sidecar, http_server_call_t *inbound, hop_t *hop)
{
  hop_read_result_t outcome =
      hop_read (hop, sidecar->daemon->settings.fleet_key, http_server_request_headers (inbound));
  size_t body_bytes;
  const char *body = http_server_body (inbound, &body_bytes);

  if (outcome == HOP_OK &&
      hop->body_hash != digest_request (http_server_method (inbound), http_server_target (inbound),
                                        body, body_bytes))
    outcome = HOP_BAD_SEAL; /* the seal belongs to another request */
  if (outcome == HOP_OK)
    return true;
  if (outcome == HOP_BAD_SEAL)
    error_reply_reject (inbound, 403, "forbidden", "a sidecar takes requests from routers only");
  else
    error_reply_reject (inbound, 400, "bad_hop", "the router's headers cannot be read");
  return false;
}

/* refuse_used_attempt() - an attempt id is valid for one request only. Return: whether the request
 * was refused */
static bool
refuse_used_attempt (sidecar_t *sidecar,
                     http_server_call_t *inbound,
                     const hop_t *hop,
                     const char *attempt)
{
  error_reply_t fault = { .verdict = VERDICT_NOT_RUN, .reason = VERDICT_REASON_REVOKED };
  verdict_t ended;
  history_state_t state =
      history_find (sidecar->history, data_task_now_us (sidecar->data_task), hop->attempt, &ended);

  if (state == HISTORY_UNKNOWN && !g_hash_table_contains (sidecar->calls, hop->attempt))
    return false;
  if (state != HISTORY_REVOKED)
    {
      fault.verdict = VERDICT_MAY_HAVE_RUN;
      fault.status = 409;
    }
  refuse_without_call (sidecar, inbound, attempt, &fault);
  return true;
}

/* refusal_reason() - why a request is refused before admission, or VERDICT_REASON_NONE */
static verdict_reason_t
refusal_reason (sidecar_t *sidecar, const hop_t *hop)
{
  if (data_task_is_stale (sidecar->data_task) || data_task_manifest (sidecar->data_task) == NULL)
    return VERDICT_REASON_STALE;
  if (sidecar->service == NULL || strcmp (sidecar->service->name, hop->service) != 0)
    return VERDICT_REASON_WRONG_SERVICE;
  return VERDICT_REASON_NONE;
}

void
sidecar_accept (http_server_call_t *inbound, void *context)
{
  sidecar_t *sidecar = context;
  char attempt[33];
  verdict_reason_t reason;
  hop_t hop;

  if (!read_hop_headers (sidecar, inbound, &hop))
    return;
  hop_format_attempt (hop.attempt, attempt);
  if (refuse_used_attempt (sidecar, inbound, &hop, attempt))
    return;
  reason = refusal_reason (sidecar, &hop);
  if (reason != VERDICT_REASON_NONE)
    {
      history_record (sidecar->history, data_task_now_us (sidecar->data_task), hop.attempt,
                      VERDICT_NOT_RUN);
      counter_add (sidecar->refusals[reason], 1);
      refuse_without_call (sidecar, inbound, attempt,
                           &(error_reply_t){ .verdict = VERDICT_NOT_RUN, .reason = reason });
      return;
    }
  merge_samples (sidecar, &hop);
  if (hop.sample_count > 0)
    sidecar_process_queue (
        sidecar); /* the load bound may have risen for requests that are queued already */
  sidecar_call_admit (call_new (sidecar, inbound, &hop));
}
