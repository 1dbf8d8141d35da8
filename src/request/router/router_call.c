#include "request/router/router_private.h"

#include <string.h>

static void
append_host_name (char *out, const router_t *router, uint64_t engine_hash)
{
  const membership_host_t *host =
      membership_find_by_hash (data_task_members (router->data_task), engine_hash);

  if (host == NULL)
    return;
  if (out[0] != '\0')
    g_strlcat (out, ",", DECISION_CANDIDATES_BYTES);
  g_strlcat (out, host->name, DECISION_CANDIDATES_BYTES);
}

void
router_call_log_decision (router_call_t *call,
                          const char *action,
                          uint64_t engine_hash,
                          verdict_t verdict,
                          verdict_reason_t reason)
{
  const router_t *router = call->router;
  const membership_host_t *host =
      membership_find_by_hash (data_task_members (router->data_task), engine_hash);
  decision_t decision = { .request = { call->request_id[0],
                                       call->request_id[1] | call->attempts.hops },
                          .wall_ms = clock_wall_ms (&router->daemon->clock),
                          .chat_hash = call->hop.chat_hash,
                          .action = action,
                          .verdict = verdict,
                          .reason = reason,
                          .hop = call->attempts.hops,
                          .wait_us = data_task_now_us (router->data_task) - call->arrived_us };

  g_strlcpy (decision.account, call->hop.account, sizeof decision.account);
  g_strlcpy (decision.service, call->hop.service, sizeof decision.service);
  g_strlcpy (decision.class_name, call->hop.class_name, sizeof decision.class_name);
  g_strlcpy (decision.chosen, host != NULL ? host->name : "", sizeof decision.chosen);
  for (uint32_t i = 0; i < call->placement.candidate_count; i++)
    append_host_name (decision.candidates, router, call->placement.candidates[i]);
  decision_ring_record (data_task_decisions (router->data_task), "route", &decision);
}

error_reply_t
router_call_fault (const router_call_t *call, verdict_t verdict, verdict_reason_t reason)
{
  return (error_reply_t){ .verdict = verdict, .reason = reason, .request = call->request_text };
}

void
router_call_free (router_call_t *call)
{
  router_hop_cancel (call);
  if (call->revoke_request != NULL)
    http_client_cancel_call (call->revoke_request);
  if (call->timer != NULL)
    event_free (call->timer);
  for (uint32_t i = 0; i < call->header_count; i++)
    {
      g_free ((char *)call->headers[i].name);
      g_free ((char *)call->headers[i].value);
    }
  g_free (call->headers);
  relay_clear (&call->relay);
  g_queue_unlink (&call->router->calls, &call->link);
  manifest_unref (call->manifest);
  g_free (call->method);
  g_free (call->target);
  g_free (call->body);
  g_free (call);
}

static void
give_up (router_call_t *call, const forwarding_step_t *step)
{
  error_reply_t fault = router_call_fault (call, step->verdict, step->reason);

  fault.retry_after_ms = step->retry_after_ms;
  router_call_log_decision (call, "give_up", call->attempts.last_engine, step->verdict,
                            step->reason);
  counter_add (call->router->ended[step->verdict], 1);
  if (call->relay.has_started)
    relay_abort (&call->relay, &fault);
  else if (call->inbound != NULL)
    error_reply_send (call->inbound, &fault);
  router_call_free (call);
}

static void
finish (router_call_t *call)
{
  router_call_log_decision (call, "answer", call->attempts.last_engine, VERDICT_RAN,
                            VERDICT_REASON_NONE);
  counter_add (call->router->ended[VERDICT_RAN], 1);
  recent_answers_add (call->router->answered_requests, data_task_now_us (call->router->data_task),
                      call->hop.fingerprint);
  router_send_served_hint (call, call->attempts.last_engine);
  relay_finish (&call->relay);
  router_call_free (call);
}

/* send_hop() - Return: false when the host is no longer a live member */
static bool
send_hop (router_call_t *call, const forwarding_step_t *step)
{
  const membership_host_t *host = router_find_host (call->router, step->engine_hash);

  if (host == NULL ||
      (call->avoids_silent_hosts && router_host_probe_is_silent (call->router, step->engine_hash)))
    return false;
  call->avoids_silent_hosts = false;
  call->hop.may_wait = step->may_wait;
  call->hop.referred = step->referred;
  router_call_log_decision (call, "send", step->engine_hash, VERDICT_NOT_RUN,
                            call->attempts.hops > 1 ? call->attempts.last_reason
                                                    : VERDICT_REASON_NONE);
  router_hop_send (call, host);
  return true;
}

/* send_revoke() - Return: false when the host is no longer a member */
static bool
send_revoke (router_call_t *call, const forwarding_step_t *step)
{
  const membership_host_t *host =
      membership_find_by_hash (data_task_members (call->router->data_task), step->engine_hash);

  if (host == NULL)
    return false;
  router_call_log_decision (call, "revoke", step->engine_hash, VERDICT_MAY_HAVE_RUN,
                            call->attempts.last_reason);
  router_revoke (call, host);
  return true;
}

void
router_call_take_step (router_call_t *call, forwarding_step_t step)
{
  forwarding_budget_t *budget = &call->router->retry_budget;

  for (;;)
    {
      uint64_t now_us = data_task_now_us (call->router->data_task);

      switch (step.action)
        {
        case FORWARDING_SEND:
          if (call->caller_gone)
            {
              router_call_free (call);
              return;
            }
          if (send_hop (call, &step))
            return;
          step = forwarding_attempt_ended (&call->attempts, now_us, budget, &ROUTER_UNKNOWN_HOST);
          break;
        case FORWARDING_REVOKE:
          if (send_revoke (call, &step))
            return;
          step = forwarding_revoked (&call->attempts, now_us, budget, VERDICT_MAY_HAVE_RUN);
          break;
        case FORWARDING_GIVE_UP:
          give_up (call, &step);
          return;
        case FORWARDING_DONE:
          finish (call);
          return;
        }
    }
}

/* record_crash() - remembers that the request's engine crashed
 *
 * The caller may send the request again at once, and it may be placed on another engine whose
 * sidecar has not heard of the crash yet. The router passes on what it has recorded here. */
static void
record_crash (router_call_t *call)
{
  router_t *router = call->router;

  recent_answers_remove (router->answered_requests, call->hop.fingerprint);
  suspect_add_crash (router->suspects, data_task_now_us (router->data_task), call->hop.fingerprint,
                     call->attempts.last_engine);
}

void
router_call_handle_outcome (router_call_t *call, const forwarding_outcome_t *outcome)
{
  router_t *router = call->router;
  uint32_t retries = call->attempts.retries;
  forwarding_step_t step;

  if (!outcome->answered)
    counter_add (router->hop_failures[outcome->reason], 1);
  if (outcome->reason == VERDICT_REASON_ENGINE_CRASHED ||
      outcome->reason == VERDICT_REASON_SUSPECT_HERE)
    record_crash (call);
  step = forwarding_attempt_ended (&call->attempts, data_task_now_us (router->data_task),
                                   &router->retry_budget, outcome);
  counter_add (router->retries, call->attempts.retries - retries);
  router_call_take_step (call, step);
}

void
router_call_on_disconnect (void *context)
{
  router_call_t *call = context;

  call->inbound = NULL;
  call->caller_gone = true;
  relay_client_gone (&call->relay);
  router_call_log_decision (call, "caller_gone", call->attempts.last_engine, VERDICT_MAY_HAVE_RUN,
                            VERDICT_REASON_CUT);
  /* A non-idempotent request that may have started is left running. If it were interrupted half
   * way, the caller could not know its outcome, nor send it again. */
  if (call->hop.idempotent || call->outbound == NULL)
    router_call_free (call);
}

void
router_call_start (router_call_t *call)
{
  suspect_mark_t mark;
  bool suspect =
      suspect_get_mark (call->router->suspects, call->arrived_us, call->hop.fingerprint, &mark);
  forwarding_options_t options = { .idempotent = call->hop.idempotent,
                                   .account_hash = rendezvous_hash_name (call->hop.account),
                                   .deadline_us = call->deadline_us,
                                   .candidates = call->placement.candidates,
                                   .candidate_count = call->placement.candidate_count,
                                   .crashed = suspect ? mark.engines : NULL };

  http_server_on_disconnect (call->inbound, router_call_on_disconnect, call);
  router_call_take_step (call, forwarding_begin (&call->attempts, call->arrived_us, &options));
}
