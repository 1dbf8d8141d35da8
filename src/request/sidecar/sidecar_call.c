#include "request/sidecar/sidecar_private.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

void
sidecar_call_log_decision (const sidecar_call_t *call,
                           const char *action,
                           verdict_t verdict,
                           verdict_reason_t reason)
{
  const sidecar_t *sidecar = call->sidecar;
  decision_t decision = { .request = { call->hop.attempt[0], call->hop.attempt[1] },
                          .wall_ms = clock_wall_ms (&sidecar->daemon->clock),
                          .chat_hash = call->hop.chat_hash,
                          .action = action,
                          .verdict = verdict,
                          .reason = reason,
                          .hop = (uint32_t)(call->hop.attempt[1] & 0xff),
                          .wait_us = data_task_now_us (sidecar->data_task) - call->arrived_us,
                          .has_engine_load = true,
                          .load = admission_load (sidecar->admission),
                          .waiting = admission_waiting (sidecar->admission),
                          .bound_milli = admission_bound_milli (
                              sidecar->admission, data_task_now_us (sidecar->data_task)) };

  g_strlcpy (decision.account, call->hop.account, sizeof decision.account);
  g_strlcpy (decision.service, call->hop.service, sizeof decision.service);
  g_strlcpy (decision.class_name, call->hop.class_name, sizeof decision.class_name);
  g_strlcpy (decision.chosen, sidecar->daemon->settings.name, sizeof decision.chosen);
  decision_ring_record (data_task_decisions (sidecar->data_task), "place", &decision);
}

bool
sidecar_format_load (const sidecar_t *sidecar, char out[48])
{
  load_sample_t own = admission_sample (sidecar->admission, data_task_now_us (sidecar->data_task));

  /* An engine that accepts no requests is left out of the mean load. Counted as idle, it would
   * lower the load bound of the engines that have to take over its share. */
  if (!sidecar_accepts_requests (sidecar))
    return false;
  hop_format_load (&(hop_sample_t){ .load = own.load, .waiting = own.waiting, .cost = own.cost },
                   out);
  return true;
}

void
sidecar_add_headers (const sidecar_t *sidecar,
                     http_server_call_t *inbound,
                     const char *attempt_text)
{
  char load[48];

  if (sidecar_format_load (sidecar, load))
    http_server_add_header (inbound, HOP_LOAD_HEADER, load);
  http_server_add_header (inbound, HOP_ATTEMPT_HEADER, attempt_text);
  http_server_add_header (inbound, HOP_ENGINE_HEADER, sidecar->daemon->settings.name);
  http_server_add_header (inbound, HOP_INCARNATION_HEADER, sidecar->incarnation_text);
}

void
sidecar_call_free (sidecar_call_t *call)
{
  if (call->outbound != NULL)
    http_client_cancel_call (call->outbound);
  if (call->suspect)
    call->sidecar->suspect_calls--;
  event_free (call->timer);
  for (uint32_t i = 0; i < call->header_count; i++)
    {
      g_free ((char *)call->headers[i].name);
      g_free ((char *)call->headers[i].value);
    }
  g_free (call->headers);
  relay_clear (&call->relay);
  event_splitter_clear (&call->splitter);
  chat_events_clear (&call->events);
  g_hash_table_remove (call->sidecar->calls, call->hop.attempt);
  manifest_unref (call->manifest);
  g_free (call->method);
  g_free (call->target);
  g_free (call->body);
  g_free (call);
}

/* record_outcome() - remembers the verdict for a router that asks for it later */
static void
record_outcome (sidecar_call_t *call, verdict_t verdict)
{
  history_record (call->sidecar->history, data_task_now_us (call->sidecar->data_task),
                  call->hop.attempt, verdict);
}

static void
add_referrals (sidecar_call_t *call, const admission_decision_t *decision)
{
  const membership_snapshot_t *members = data_task_members (call->sidecar->data_task);
  GString *names = g_string_new (NULL);

  for (uint32_t i = 0; members != NULL && i < decision->referral_count; i++)
    {
      const membership_host_t *host = membership_find_by_hash (members, decision->referrals[i]);

      if (host != NULL)
        g_string_append_printf (names, "%s%s", names->len > 0 ? "," : "", host->name);
    }
  if (names->len > 0)
    http_server_add_header (call->inbound, HOP_ALTERNATIVES_HEADER, names->str);
  g_string_free (names, TRUE);
}

static void
reply_refusal (sidecar_call_t *call, const admission_decision_t *decision, verdict_t verdict)
{
  char retry[16];

  sidecar_add_headers (call->sidecar, call->inbound, call->attempt_text);
  http_server_add_header (call->inbound, HOP_REASON_HEADER,
                          verdict_reason_to_string (decision->reason));
  add_referrals (call, decision);
  if (decision->retry_after_ms != 0)
    {
      snprintf (retry, sizeof retry, "%" PRIu32, decision->retry_after_ms);
      http_server_add_header (call->inbound, HOP_RETRY_AFTER_HEADER, retry);
    }
  error_reply_send (call->inbound, &(error_reply_t){ .verdict = verdict,
                                                     .reason = decision->reason,
                                                     .retry_after_ms = decision->retry_after_ms });
  call->inbound = NULL;
  relay_client_gone (&call->relay);
}

static void
refuse_call (sidecar_call_t *call, const admission_decision_t *decision, verdict_t verdict)
{
  sidecar_call_log_decision (call, "refuse", verdict, decision->reason);
  counter_add (call->sidecar->refusals[decision->reason], 1);
  /* @verdict is about the idempotency key, which another attempt may have claimed; this attempt
   * itself did not run. */
  record_outcome (call, VERDICT_NOT_RUN);
  if (call->inbound != NULL)
    reply_refusal (call, decision, verdict);
  sidecar_call_free (call);
}

void
sidecar_call_refuse (sidecar_call_t *call, const admission_decision_t *decision)
{
  refuse_call (call, decision, VERDICT_NOT_RUN);
}

void
sidecar_call_refuse_admitted (sidecar_call_t *call, verdict_reason_t reason, verdict_t verdict)
{
  sidecar_t *sidecar = call->sidecar;

  admission_finish (sidecar->admission, data_task_now_us (sidecar->data_task), &call->request,
                    false);
  refuse_call (call, &(admission_decision_t){ .reason = reason }, verdict);
}

void
sidecar_call_fail (sidecar_call_t *call, verdict_reason_t reason)
{
  admission_decision_t decision = { .reason = reason };

  sidecar_call_log_decision (call, "fail", VERDICT_MAY_HAVE_RUN, reason);
  counter_add (call->sidecar->refusals[reason], 1);
  record_outcome (call, VERDICT_MAY_HAVE_RUN);
  if (call->relay.has_started)
    relay_abort (&call->relay,
                 &(error_reply_t){ .verdict = VERDICT_MAY_HAVE_RUN, .reason = reason });
  else if (call->inbound != NULL)
    reply_refusal (call, &decision, VERDICT_MAY_HAVE_RUN);
  call->inbound = NULL;
  sidecar_call_free (call);
}

void
sidecar_call_answer_and_continue (sidecar_call_t *call, verdict_reason_t reason)
{
  if (call->inbound != NULL)
    reply_refusal (call, &(admission_decision_t){ .reason = reason }, VERDICT_MAY_HAVE_RUN);
}

void
sidecar_call_complete (sidecar_call_t *call)
{
  sidecar_call_log_decision (call, "answer", VERDICT_RAN, VERDICT_REASON_NONE);
  record_outcome (call, VERDICT_RAN);
  relay_finish (&call->relay);
  call->inbound = NULL;
  sidecar_call_free (call);
}

verdict_t
sidecar_call_cancel (sidecar_call_t *call)
{
  sidecar_t *sidecar = call->sidecar;
  uint64_t now_us = data_task_now_us (sidecar->data_task);
  verdict_t verdict = VERDICT_NOT_RUN;

  switch (call->state)
    {
    case SIDECAR_CALL_ARRIVED:
      break;
    case SIDECAR_CALL_QUEUED:
      admission_cancel (sidecar->admission, &call->request);
      break;
    case SIDECAR_CALL_CLAIMING:
      admission_finish (sidecar->admission, now_us, &call->request, false);
      sidecar_claim_end (call, false, 0);
      break;
    case SIDECAR_CALL_RUNNING:
      if (!call->hop.idempotent)
        return VERDICT_MAY_HAVE_RUN; /* must not be interrupted half way, so it runs to its end */
      admission_finish (sidecar->admission, now_us, &call->request, false);
      verdict = VERDICT_MAY_HAVE_RUN;
      break;
    case SIDECAR_CALL_INTERRUPTED:
      return VERDICT_MAY_HAVE_RUN; /* the result of the health check ends it */
    }
  sidecar_call_log_decision (call, "drop", verdict, VERDICT_REASON_REVOKED);
  record_outcome (call, verdict);
  if (call->inbound != NULL && !call->relay.has_started)
    reply_refusal (call, &(admission_decision_t){ .reason = VERDICT_REASON_REVOKED }, verdict);
  else if (call->inbound != NULL)
    relay_abort (&call->relay,
                 &(error_reply_t){ .verdict = verdict, .reason = VERDICT_REASON_REVOKED });
  sidecar_call_free (call);
  return verdict;
}

static void
on_router_disconnect (void *context)
{
  sidecar_call_t *call = context;
  sidecar_t *sidecar = call->sidecar;

  call->inbound = NULL;
  relay_client_gone (&call->relay);
  sidecar_call_cancel (call);
  sidecar_process_queue (sidecar);
}

/* must_quarantine() - whether a request that is marked for a crash must not run beside another one
 *
 * All requests that an engine ran when it crashed are marked, whichever caused the crash. If two of
 * them shared the next engine, a second crash would have both refused permanently, also the one
 * that did not cause it. */
static bool
must_quarantine (sidecar_call_t *call)
{
  sidecar_t *sidecar = call->sidecar;
  suspects_t *suspects = admission_suspects (sidecar->admission);
  uint64_t now_us = data_task_now_us (sidecar->data_task);
  suspect_mark_t mark = { .fingerprint = call->hop.fingerprint };

  if (call->hop.crashed[0] != 0)
    {
      memcpy (mark.engines, call->hop.crashed, sizeof mark.engines);
      suspect_merge_mark (suspects, now_us, &mark);
      for (uint32_t i = 0; i < G_N_ELEMENTS (mark.engines); i++)
        if (mark.engines[i] != 0)
          admission_forget_engine (sidecar->admission, mark.engines[i]);
    }
  if (!call->suspect && suspect_get_mark (suspects, now_us, call->hop.fingerprint, &mark))
    {
      call->suspect = true;
      sidecar->suspect_calls++;
    }
  return call->suspect && sidecar->suspect_calls > 1 &&
         suspect_check (suspects, now_us, call->hop.fingerprint, sidecar->own_hash) ==
             SUSPECT_ALLOWED;
}

/* suspect_reason() - why this engine must not run a request that crashed engines, or
 * VERDICT_REASON_NONE */
static verdict_reason_t
suspect_reason (const sidecar_call_t *call)
{
  const sidecar_t *sidecar = call->sidecar;

  switch (suspect_check (admission_suspects (sidecar->admission),
                         data_task_now_us (sidecar->data_task), call->hop.fingerprint,
                         sidecar->own_hash))
    {
    case SUSPECT_REFUSED:
      return VERDICT_REASON_SUSPECT;
    case SUSPECT_OTHER_ENGINE:
      return VERDICT_REASON_SUSPECT_HERE;
    case SUSPECT_ALLOWED:
      break;
    }
  return VERDICT_REASON_NONE;
}

/* dispatch_refusal_reason() - why an admitted request must not be dispatched, or
 * VERDICT_REASON_NONE
 *
 * While the request was queued, its engine may have been moved to another service, or a copy of the
 * request may have crashed an engine. */
static verdict_reason_t
dispatch_refusal_reason (sidecar_call_t *call)
{
  verdict_reason_t reason = sidecar_unavailable_reason (call);

  if (reason == VERDICT_REASON_NONE)
    reason = suspect_reason (call);
  if (reason == VERDICT_REASON_NONE && must_quarantine (call))
    reason = VERDICT_REASON_QUARANTINE;
  return reason;
}

/* dispatch() - claims the idempotency key of an admitted request, or sends it to the engine */
static void
dispatch (sidecar_call_t *call)
{
  verdict_reason_t reason = dispatch_refusal_reason (call);

  if (reason != VERDICT_REASON_NONE)
    {
      sidecar_call_refuse_admitted (call, reason, VERDICT_NOT_RUN);
      return;
    }
  call->state = SIDECAR_CALL_RUNNING;
  if (call->hop.key_hash[1] != 0)
    sidecar_claim_start (call);
  else
    sidecar_engine_send (call);
}

/* reject_queued() - refuses a queued request
 *
 * If a copy of the request crashed the engine meanwhile, that reason replaces admission's own: the
 * router counts an engine crash only when the reason of the refusal names it. */
static void
reject_queued (sidecar_call_t *call, admission_decision_t *decision)
{
  verdict_reason_t reason = suspect_reason (call);

  if (reason != VERDICT_REASON_NONE)
    *decision = (admission_decision_t){ .reason = reason };
  sidecar_call_refuse (call, decision);
}

void
sidecar_call_admit (sidecar_call_t *call)
{
  sidecar_t *sidecar = call->sidecar;
  admission_decision_t decision = { .action = ADMISSION_REJECT,
                                    .reason = VERDICT_REASON_QUARANTINE };

  http_server_on_disconnect (call->inbound, on_router_disconnect, call);
  admission_set_stale (sidecar->admission, data_task_is_stale (sidecar->data_task));
  if (!must_quarantine (call))
    decision =
        admission_offer (sidecar->admission, data_task_now_us (sidecar->data_task), &call->request);
  switch (decision.action)
    {
    case ADMISSION_DISPATCH:
      dispatch (call);
      break;
    case ADMISSION_WAIT:
      call->state = SIDECAR_CALL_QUEUED;
      counter_add (sidecar->waited, 1);
      sidecar_call_log_decision (call, "wait", VERDICT_NOT_RUN, decision.reason);
      break;
    case ADMISSION_REJECT:
      sidecar_call_refuse (call, &decision);
      break;
    }
}

void
sidecar_process_queue (sidecar_t *sidecar)
{
  admission_decision_t decision;
  admission_request_t *request;

  admission_set_stale (sidecar->admission, data_task_is_stale (sidecar->data_task));
  while ((request = admission_next_rejected (
              sidecar->admission, data_task_now_us (sidecar->data_task), &decision)) != NULL)
    reject_queued ((sidecar_call_t *)request, &decision);
  while ((request = admission_next (sidecar->admission, data_task_now_us (sidecar->data_task))) !=
         NULL)
    dispatch ((sidecar_call_t *)request);
  counter_set (sidecar->load, admission_load (sidecar->admission));
  counter_set (sidecar->waiting, admission_waiting (sidecar->admission));
}
