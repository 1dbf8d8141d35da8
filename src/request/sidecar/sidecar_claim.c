#include "request/sidecar/sidecar_private.h"

#include "request/messages.h"

#include <inttypes.h>
#include <stdio.h>

static clm_key_t
key_of (const hop_t *hop)
{
  return (clm_key_t){ .key_hash = { hop->key_hash[0], hop->key_hash[1] },
                      .body_hash = hop->body_hash };
}

/* stream_of() - must come out alike at every sidecar of the service: two streams of one key would
 * grant it twice */
static void
stream_of (const sdc_call_t *call, char *out, size_t out_bytes)
{
  const man_service_t *service = man_service_named (call->man, call->hop.service);
  uint32_t shards = service != NULL ? MAX (service->claim_shards, 1) : 1;

  snprintf (out, out_bytes, "claims/%s/%" PRIu64, call->hop.service,
            call->hop.key_hash[0] % shards);
}

void
sdc_claim_start (sdc_call_t *call)
{
  msg_claim_t *message = msg_new (MSG_CLAIM);

  stream_of (call, message->stream, sizeof message->stream);
  message->claim_id[0] = call->hop.attempt[0];
  message->claim_id[1] = call->hop.attempt[1];
  message->key = key_of (&call->hop);
  message->expiry_us = call->deadline_us;
  call->state = SDC_CLAIMING;
  call->claimed = true;
  sdc_call_note (call, "claim", VRD_NOT_RUN, VRD_REASON_NONE);
  mbx_send (call->sdc->dmn->to_control, &message->head);
}

void
sdc_claim_end (sdc_call_t *call, bool ran, uint32_t status)
{
  msg_claim_end_t *message;

  if (!call->claimed)
    return;
  call->claimed = false;
  message = msg_new (MSG_CLAIM_END);
  stream_of (call, message->stream, sizeof message->stream);
  message->claim_id[0] = call->hop.attempt[0];
  message->claim_id[1] = call->hop.attempt[1];
  message->key = key_of (&call->hop);
  message->ran = ran;
  message->status = status;
  mbx_send (call->sdc->dmn->to_control, &message->head);
}

/* may_start() - VRD_REASON_NONE, or why not
 *
 * Checked once more at the last moment: the result may have lain in the mailbox while this process
 * was paused, and while a slow log judged the claim the host may have begun to leave. A host that
 * left just now starts it all the same. Given back, its claim would be released by a record that
 * the next sidecar's claim can overtake: in a planned stop the caller would hear "may have run" of
 * a booking that did not run. */
static vrd_reason_t
may_start (const sdc_call_t *call)
{
  vrd_reason_t reason = sdc_closed (call);

  if (reason == VRD_REASON_LEAVING && sdc_left_lately (call->sdc))
    reason = VRD_REASON_NONE;
  if (reason == VRD_REASON_NONE && ops_now_us (call->sdc->ops) >= call->deadline_us)
    reason = VRD_REASON_DEADLINE;
  return reason;
}

static void
granted (sdc_call_t *call)
{
  vrd_reason_t reason = may_start (call);

  if (reason == VRD_REASON_NONE)
    {
      sdc_engine_start (call);
      return;
    }
  sdc_claim_end (call, false, 0);
  sdc_call_give_back (call, reason, VRD_NOT_RUN);
}

void
sdc_claim_result (sdc_t *sdc, const clm_result_t *result)
{
  sdc_call_t *call = g_hash_table_lookup (sdc->calls, result->claim_id);

  if (call == NULL || call->state != SDC_CLAIMING)
    return;
  switch (result->verdict)
    {
    case CLM_GRANTED:
      granted (call);
      break;
    case CLM_DONE:
      sdc_call_give_back (call, VRD_REASON_CLAIMED, VRD_RAN);
      break;
    case CLM_KEY_REUSED:
      sdc_call_give_back (call, VRD_REASON_KEY_REUSED, VRD_NOT_RUN);
      break;
    case CLM_TOO_LATE:
      sdc_call_give_back (call, VRD_REASON_DEADLINE, VRD_NOT_RUN);
      break;
    case CLM_LOG_DOWN:
      sdc_call_give_back (call, VRD_REASON_LOG_DOWN, VRD_NOT_RUN);
      break;
    case CLM_HELD:
    case CLM_PENDING:
      sdc_call_give_back (call, VRD_REASON_CLAIMED, VRD_MAY_HAVE_RUN);
      break;
    }
  sdc_pump (sdc);
}
