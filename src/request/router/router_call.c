#include "request/router/router_private.h"

#include <string.h>

static void
append_name (char *out, const rtr_t *rtr, uint64_t engine_hash)
{
  const mem_host_t *host = mem_find_hash (ops_members (rtr->ops), engine_hash);

  if (host == NULL)
    return;
  if (out[0] != '\0')
    g_strlcat (out, ",", DCN_CANDIDATES_BYTES);
  g_strlcat (out, host->name, DCN_CANDIDATES_BYTES);
}

void
rtr_call_note (
    rtr_call_t *call, const char *action, uint64_t engine_hash, vrd_t verdict, vrd_reason_t reason)
{
  const rtr_t *rtr = call->rtr;
  const mem_host_t *host = mem_find_hash (ops_members (rtr->ops), engine_hash);
  dcn_t decision = { .request = { call->request_id[0], call->request_id[1] | call->att.hops },
                     .wall_ms = clk_wall_ms (&rtr->dmn->clk),
                     .chat_hash = call->hop.chat_hash,
                     .action = action,
                     .verdict = verdict,
                     .reason = reason,
                     .hop = call->att.hops,
                     .wait_us = ops_now_us (rtr->ops) - call->arrived_us };

  g_strlcpy (decision.account, call->hop.account, sizeof decision.account);
  g_strlcpy (decision.service, call->hop.service, sizeof decision.service);
  g_strlcpy (decision.class_name, call->hop.class_name, sizeof decision.class_name);
  g_strlcpy (decision.chosen, host != NULL ? host->name : "", sizeof decision.chosen);
  for (uint32_t i = 0; i < call->place.candidate_count; i++)
    append_name (decision.candidates, rtr, call->place.candidates[i]);
  dcn_note (ops_decisions (rtr->ops), "route", &decision);
}

flt_t
rtr_call_fault (const rtr_call_t *call, vrd_t verdict, vrd_reason_t reason)
{
  return (flt_t){ .verdict = verdict, .reason = reason, .request = call->request_text };
}

void
rtr_call_free (rtr_call_t *call)
{
  rtr_hop_drop (call);
  if (call->aside != NULL)
    hcl_cancel (call->aside);
  if (call->timer != NULL)
    event_free (call->timer);
  for (uint32_t i = 0; i < call->header_count; i++)
    {
      g_free ((char *)call->headers[i].name);
      g_free ((char *)call->headers[i].value);
    }
  g_free (call->headers);
  rly_clear (&call->rly);
  g_queue_unlink (&call->rtr->calls, &call->link);
  man_unref (call->man);
  g_free (call->method);
  g_free (call->target);
  g_free (call->body);
  g_free (call);
}

static void
give_up (rtr_call_t *call, const att_step_t *step)
{
  flt_t fault = rtr_call_fault (call, step->verdict, step->reason);

  fault.retry_after_ms = step->retry_after_ms;
  rtr_call_note (call, "give_up", call->att.last_engine, step->verdict, step->reason);
  cnt_add (call->rtr->ends[step->verdict], 1);
  if (call->rly.begun)
    rly_cut (&call->rly, &fault);
  else if (call->in != NULL)
    flt_reply (call->in, &fault);
  rtr_call_free (call);
}

static void
finish (rtr_call_t *call)
{
  rtr_call_note (call, "answer", call->att.last_engine, VRD_RAN, VRD_REASON_NONE);
  cnt_add (call->rtr->ends[VRD_RAN], 1);
  prv_answered (call->rtr->prv, ops_now_us (call->rtr->ops), call->hop.fingerprint);
  rtr_tell_served (call, call->att.last_engine);
  rly_whole (&call->rly);
  rtr_call_free (call);
}

/* send_hop() - Return: whether the step was taken; else the host is no longer there */
static bool
send_hop (rtr_call_t *call, const att_step_t *step)
{
  const mem_host_t *host = rtr_host (call->rtr, step->engine_hash);

  if (host == NULL)
    return false;
  call->hop.may_wait = step->may_wait;
  call->hop.referred = step->referred;
  rtr_call_note (call, "send", step->engine_hash, VRD_NOT_RUN,
                 call->att.hops > 1 ? call->att.last_reason : VRD_REASON_NONE);
  rtr_hop_send (call, host);
  return true;
}

/* send_revoke() - as send_hop() */
static bool
send_revoke (rtr_call_t *call, const att_step_t *step)
{
  const mem_host_t *host = mem_find_hash (ops_members (call->rtr->ops), step->engine_hash);

  if (host == NULL)
    return false;
  rtr_call_note (call, "revoke", step->engine_hash, VRD_MAY_HAVE_RUN, call->att.last_reason);
  rtr_revoke (call, host);
  return true;
}

void
rtr_call_step (rtr_call_t *call, att_step_t step)
{
  static const att_outcome_t NO_HOST = { .verdict = VRD_NOT_RUN, .reason = VRD_REASON_CONNECT };
  att_budget_t *budget = &call->rtr->budget;

  for (;;)
    {
      uint64_t now_us = ops_now_us (call->rtr->ops);

      switch (step.action)
        {
        case ATT_SEND:
          if (call->gone)
            {
              rtr_call_free (call);
              return;
            }
          if (send_hop (call, &step))
            return;
          step = att_ended (&call->att, now_us, budget, &NO_HOST);
          break;
        case ATT_REVOKE:
          if (send_revoke (call, &step))
            return;
          step = att_revoked (&call->att, now_us, budget, VRD_MAY_HAVE_RUN);
          break;
        case ATT_GIVE_UP:
          give_up (call, &step);
          return;
        case ATT_DONE:
          finish (call);
          return;
        }
    }
}

/* note_crash() - A resend comes at once, and may be placed elsewhere by then: it takes along what
 * is known here, as the sidecar that it meets may not have heard of the crash yet. */
static void
note_crash (rtr_call_t *call)
{
  rtr_t *rtr = call->rtr;

  prv_forget (rtr->prv, call->hop.fingerprint);
  sus_add (rtr->suspects, ops_now_us (rtr->ops), call->hop.fingerprint, call->att.last_engine);
}

void
rtr_call_ended (rtr_call_t *call, const att_outcome_t *outcome)
{
  rtr_t *rtr = call->rtr;
  uint32_t retries = call->att.retries;
  att_step_t step;

  if (!outcome->answered)
    cnt_add (rtr->reasons[outcome->reason], 1);
  if (outcome->reason == VRD_REASON_ENGINE_CRASHED || outcome->reason == VRD_REASON_SUSPECT_HERE)
    note_crash (call);
  step = att_ended (&call->att, ops_now_us (rtr->ops), &rtr->budget, outcome);
  cnt_add (rtr->retries, call->att.retries - retries);
  rtr_call_step (call, step);
}

void
rtr_call_gone (void *context)
{
  rtr_call_t *call = context;

  call->in = NULL;
  call->gone = true;
  rly_gone (&call->rly);
  rtr_call_note (call, "caller_gone", call->att.last_engine, VRD_MAY_HAVE_RUN, VRD_REASON_CUT);
  /* A non-idempotent request that may have started is let run: cut off half way, its caller could
   * neither know what it did nor send it again. */
  if (call->hop.idempotent || call->out == NULL)
    rtr_call_free (call);
}

void
rtr_call_start (rtr_call_t *call)
{
  sus_mark_t mark;
  bool suspect = sus_get (call->rtr->suspects, call->arrived_us, call->hop.fingerprint, &mark);
  att_options_t options = { .idempotent = call->hop.idempotent,
                            .account_hash = plc_hash_name (call->hop.account),
                            .deadline_us = call->deadline_us,
                            .candidates = call->place.candidates,
                            .candidate_count = call->place.candidate_count,
                            .crashed = suspect ? mark.engines : NULL };

  hsv_on_gone (call->in, rtr_call_gone, call);
  rtr_call_step (call, att_begin (&call->att, call->arrived_us, &options));
}
