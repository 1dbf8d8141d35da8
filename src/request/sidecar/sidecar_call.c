#include "request/sidecar/sidecar_private.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

void
sdc_call_note (const sdc_call_t *call, const char *action, vrd_t verdict, vrd_reason_t reason)
{
  const sdc_t *sdc = call->sdc;
  dcn_t decision = { .request = { call->hop.attempt[0], call->hop.attempt[1] },
                     .wall_ms = clk_wall_ms (&sdc->dmn->clk),
                     .chat_hash = call->hop.chat_hash,
                     .action = action,
                     .verdict = verdict,
                     .reason = reason,
                     .hop = (uint32_t)(call->hop.attempt[1] & 0xff),
                     .wait_us = ops_now_us (sdc->ops) - call->arrived_us,
                     .at_engine = true,
                     .load = adm_load (sdc->adm),
                     .waiting = adm_waiting (sdc->adm),
                     .bound_milli = adm_bound_milli (sdc->adm, ops_now_us (sdc->ops)) };

  g_strlcpy (decision.account, call->hop.account, sizeof decision.account);
  g_strlcpy (decision.service, call->hop.service, sizeof decision.service);
  g_strlcpy (decision.class_name, call->hop.class_name, sizeof decision.class_name);
  g_strlcpy (decision.chosen, sdc->dmn->set.name, sizeof decision.chosen);
  dcn_note (ops_decisions (sdc->ops), "place", &decision);
}

bool
sdc_load_text (const sdc_t *sdc, char out[48])
{
  mean_sample_t own = adm_sample (sdc->adm, ops_now_us (sdc->ops));

  /* The load of an engine that takes no work is no part of the mean: counted as idle, it would
   * lower the bound of those that have to carry its share. */
  if (!sdc_takes_work (sdc))
    return false;
  hop_load_write (&(hop_sample_t){ .load = own.load, .waiting = own.waiting, .cost = own.cost },
                  out);
  return true;
}

void
sdc_identify (const sdc_t *sdc, hsv_call_t *in, const char *attempt_text)
{
  char load[48];

  if (sdc_load_text (sdc, load))
    hsv_add_header (in, HOP_LOAD_HEADER, load);
  hsv_add_header (in, HOP_ATTEMPT_HEADER, attempt_text);
  hsv_add_header (in, HOP_ENGINE_HEADER, sdc->dmn->set.name);
  hsv_add_header (in, HOP_INCARNATION_HEADER, sdc->incarnation_text);
}

void
sdc_call_free (sdc_call_t *call)
{
  if (call->out != NULL)
    hcl_cancel (call->out);
  if (call->suspect)
    call->sdc->suspects--;
  event_free (call->timer);
  for (uint32_t i = 0; i < call->header_count; i++)
    {
      g_free ((char *)call->headers[i].name);
      g_free ((char *)call->headers[i].value);
    }
  g_free (call->headers);
  rly_clear (&call->rly);
  g_hash_table_remove (call->sdc->calls, call->hop.attempt);
  man_unref (call->man);
  g_free (call->method);
  g_free (call->target);
  g_free (call->body);
  g_free (call);
}

/* end() - what became of the attempt, for a router that asks later */
static void
end (sdc_call_t *call, vrd_t verdict)
{
  hst_ended (call->sdc->hst, ops_now_us (call->sdc->ops), call->hop.attempt, verdict);
}

static void
add_referrals (sdc_call_t *call, const adm_decision_t *decision)
{
  const mem_snapshot_t *members = ops_members (call->sdc->ops);
  GString *names = g_string_new (NULL);

  for (uint32_t i = 0; members != NULL && i < decision->referral_count; i++)
    {
      const mem_host_t *host = mem_find_hash (members, decision->referrals[i]);

      if (host != NULL)
        g_string_append_printf (names, "%s%s", names->len > 0 ? "," : "", host->name);
    }
  if (names->len > 0)
    hsv_add_header (call->in, HOP_TRY_HEADER, names->str);
  g_string_free (names, TRUE);
}

static void
reply_refusal (sdc_call_t *call, const adm_decision_t *decision, vrd_t verdict)
{
  char retry[16];

  sdc_identify (call->sdc, call->in, call->attempt_text);
  hsv_add_header (call->in, HOP_REASON_HEADER, vrd_reason_name (decision->reason));
  add_referrals (call, decision);
  if (decision->retry_after_ms != 0)
    {
      snprintf (retry, sizeof retry, "%" PRIu32, decision->retry_after_ms);
      hsv_add_header (call->in, HOP_RETRY_AFTER_HEADER, retry);
    }
  flt_reply (call->in, &(flt_t){ .verdict = verdict,
                                 .reason = decision->reason,
                                 .retry_after_ms = decision->retry_after_ms });
  call->in = NULL;
  rly_gone (&call->rly);
}

static void
refuse (sdc_call_t *call, const adm_decision_t *decision, vrd_t verdict)
{
  sdc_call_note (call, "refuse", verdict, decision->reason);
  cnt_add (call->sdc->refusals[decision->reason], 1);
  /* Of the attempt itself: a key that another attempt holds keeps this one from running. */
  end (call, VRD_NOT_RUN);
  if (call->in != NULL)
    reply_refusal (call, decision, verdict);
  sdc_call_free (call);
}

void
sdc_call_refuse (sdc_call_t *call, const adm_decision_t *decision)
{
  refuse (call, decision, VRD_NOT_RUN);
}

void
sdc_call_give_back (sdc_call_t *call, vrd_reason_t reason, vrd_t verdict)
{
  sdc_t *sdc = call->sdc;

  adm_finish (sdc->adm, ops_now_us (sdc->ops), &call->request, false);
  refuse (call, &(adm_decision_t){ .reason = reason }, verdict);
}

void
sdc_call_fail (sdc_call_t *call, vrd_reason_t reason)
{
  adm_decision_t decision = { .reason = reason };

  sdc_call_note (call, "fail", VRD_MAY_HAVE_RUN, reason);
  cnt_add (call->sdc->refusals[reason], 1);
  end (call, VRD_MAY_HAVE_RUN);
  if (call->rly.begun)
    rly_cut (&call->rly, &(flt_t){ .verdict = VRD_MAY_HAVE_RUN, .reason = reason });
  else if (call->in != NULL)
    reply_refusal (call, &decision, VRD_MAY_HAVE_RUN);
  call->in = NULL;
  sdc_call_free (call);
}

void
sdc_call_unheard (sdc_call_t *call, vrd_reason_t reason)
{
  if (call->in != NULL)
    reply_refusal (call, &(adm_decision_t){ .reason = reason }, VRD_MAY_HAVE_RUN);
}

void
sdc_call_answered (sdc_call_t *call)
{
  sdc_call_note (call, "answer", VRD_RAN, VRD_REASON_NONE);
  end (call, VRD_RAN);
  rly_whole (&call->rly);
  call->in = NULL;
  sdc_call_free (call);
}

vrd_t
sdc_call_drop (sdc_call_t *call)
{
  sdc_t *sdc = call->sdc;
  uint64_t now_us = ops_now_us (sdc->ops);
  vrd_t verdict = VRD_NOT_RUN;

  switch (call->state)
    {
    case SDC_ARRIVED:
      break;
    case SDC_WAITING:
      adm_cancel (sdc->adm, &call->request);
      break;
    case SDC_CLAIMING:
      adm_finish (sdc->adm, now_us, &call->request, false);
      sdc_claim_end (call, false, 0);
      break;
    case SDC_RUNNING:
      if (!call->hop.idempotent)
        return VRD_MAY_HAVE_RUN; /* it must not be cut off half way: let it run to its end */
      adm_finish (sdc->adm, now_us, &call->request, false);
      verdict = VRD_MAY_HAVE_RUN;
      break;
    case SDC_CUT:
      return VRD_MAY_HAVE_RUN; /* the probe ends it */
    }
  sdc_call_note (call, "drop", verdict, VRD_REASON_REVOKED);
  end (call, verdict);
  if (call->in != NULL && !call->rly.begun)
    reply_refusal (call, &(adm_decision_t){ .reason = VRD_REASON_REVOKED }, verdict);
  else if (call->in != NULL)
    rly_cut (&call->rly, &(flt_t){ .verdict = verdict, .reason = VRD_REASON_REVOKED });
  sdc_call_free (call);
  return verdict;
}

static void
on_gone (void *context)
{
  sdc_call_t *call = context;
  sdc_t *sdc = call->sdc;

  call->in = NULL;
  rly_gone (&call->rly);
  sdc_call_drop (call);
  sdc_pump (sdc);
}

/* quarantined() - A request that crashed another engine may be the innocent neighbour of the one
 * that did. Two of them never share an engine: a second crash there would refuse both for good. */
static bool
quarantined (sdc_call_t *call)
{
  sdc_t *sdc = call->sdc;
  sus_t *suspects = adm_suspects (sdc->adm);
  uint64_t now_us = ops_now_us (sdc->ops);
  sus_mark_t mark = { .fingerprint = call->hop.fingerprint };

  if (call->hop.crashed[0] != 0)
    {
      memcpy (mark.engines, call->hop.crashed, sizeof mark.engines);
      sus_merge (suspects, now_us, &mark);
      for (uint32_t i = 0; i < G_N_ELEMENTS (mark.engines); i++)
        if (mark.engines[i] != 0)
          adm_lost (sdc->adm, mark.engines[i]);
    }
  if (!call->suspect && sus_get (suspects, now_us, call->hop.fingerprint, &mark))
    {
      call->suspect = true;
      sdc->suspects++;
    }
  return call->suspect && sdc->suspects > 1 &&
         sus_check (suspects, now_us, call->hop.fingerprint, sdc->own_hash) == SUS_CLEAR;
}

static vrd_reason_t
suspect_reason (const sdc_call_t *call)
{
  const sdc_t *sdc = call->sdc;

  switch (sus_check (adm_suspects (sdc->adm), ops_now_us (sdc->ops), call->hop.fingerprint,
                     sdc->own_hash))
    {
    case SUS_FINAL:
      return VRD_REASON_SUSPECT;
    case SUS_NOT_HERE:
      return VRD_REASON_SUSPECT_HERE;
    case SUS_CLEAR:
      break;
    }
  return VRD_REASON_NONE;
}

/* objection() - to what was admitted. If it has waited, the engine may serve another service by
 * now, or a copy of the request that ran meanwhile, here or elsewhere, may have crashed its engine.
 */
static vrd_reason_t
objection (sdc_call_t *call)
{
  vrd_reason_t reason = sdc_closed (call);

  if (reason == VRD_REASON_NONE)
    reason = suspect_reason (call);
  if (reason == VRD_REASON_NONE && quarantined (call))
    reason = VRD_REASON_QUARANTINE;
  return reason;
}

/* run() - it was admitted */
static void
run (sdc_call_t *call)
{
  vrd_reason_t reason = objection (call);

  if (reason != VRD_REASON_NONE)
    {
      sdc_call_give_back (call, reason, VRD_NOT_RUN);
      return;
    }
  call->state = SDC_RUNNING;
  if (call->hop.key_hash[1] != 0)
    sdc_claim_start (call);
  else
    sdc_engine_start (call);
}

/* reject() - A copy of the request may have crashed the engine that it waited for: its router
 * counts the crashes by the reason, which must not be hidden behind that of the refusal. */
static void
reject (sdc_call_t *call, adm_decision_t *decision)
{
  vrd_reason_t reason = suspect_reason (call);

  if (reason != VRD_REASON_NONE)
    *decision = (adm_decision_t){ .reason = reason };
  sdc_call_refuse (call, decision);
}

void
sdc_call_offer (sdc_call_t *call)
{
  sdc_t *sdc = call->sdc;
  adm_decision_t decision = { .action = ADM_REFUSE, .reason = VRD_REASON_QUARANTINE };

  hsv_on_gone (call->in, on_gone, call);
  adm_set_stale (sdc->adm, ops_stale (sdc->ops));
  if (!quarantined (call))
    decision = adm_offer (sdc->adm, ops_now_us (sdc->ops), &call->request);
  switch (decision.action)
    {
    case ADM_DISPATCH:
      run (call);
      break;
    case ADM_WAIT:
      call->state = SDC_WAITING;
      cnt_add (sdc->waited, 1);
      sdc_call_note (call, "wait", VRD_NOT_RUN, decision.reason);
      break;
    case ADM_REFUSE:
      sdc_call_refuse (call, &decision);
      break;
    }
}

void
sdc_pump (sdc_t *sdc)
{
  adm_decision_t decision;
  adm_request_t *request;

  adm_set_stale (sdc->adm, ops_stale (sdc->ops));
  while ((request = adm_reject (sdc->adm, ops_now_us (sdc->ops), &decision)) != NULL)
    reject ((sdc_call_t *)request, &decision);
  while ((request = adm_next (sdc->adm, ops_now_us (sdc->ops))) != NULL)
    run ((sdc_call_t *)request);
  cnt_set_value (sdc->load, adm_load (sdc->adm));
  cnt_set_value (sdc->waiting, adm_waiting (sdc->adm));
}
