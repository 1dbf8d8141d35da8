#include "request/sidecar/sidecar_private.h"

#include "request/messages.h"

#include <inttypes.h>
#include <stdio.h>

static claim_key_t
claim_key (const hop_t *hop)
{
  return (claim_key_t){ .key_hash = { hop->key_hash[0], hop->key_hash[1] },
                        .body_hash = hop->body_hash };
}

/* format_claim_stream() - names the log stream that holds the claims of a key
 *
 * Every sidecar of the service must compute the same stream: claims of one key in two streams would
 * both be granted. */
static void
format_claim_stream (const sidecar_call_t *call, char *out, size_t out_bytes)
{
  const manifest_service_t *service = manifest_find_service (call->manifest, call->hop.service);
  uint32_t shards = service != NULL ? MAX (service->claim_shards, 1) : 1;

  snprintf (out, out_bytes, "claims/%s/%" PRIu64, call->hop.service,
            call->hop.key_hash[0] % shards);
}

void
sidecar_claim_start (sidecar_call_t *call)
{
  message_claim_t *message = message_new (MESSAGE_CLAIM);

  format_claim_stream (call, message->stream, sizeof message->stream);
  message->claim_id[0] = call->hop.attempt[0];
  message->claim_id[1] = call->hop.attempt[1];
  message->key = claim_key (&call->hop);
  message->expiry_us = call->deadline_us;
  call->state = SIDECAR_CALL_CLAIMING;
  call->claim_open = true;
  sidecar_call_log_decision (call, "claim", VERDICT_NOT_RUN, VERDICT_REASON_NONE);
  mailbox_send (call->sidecar->daemon->to_control, &message->head);
}

void
sidecar_claim_end (sidecar_call_t *call, bool ran, uint32_t status)
{
  message_claim_end_t *message;

  if (!call->claim_open)
    return;
  call->claim_open = false;
  message = message_new (MESSAGE_CLAIM_END);
  format_claim_stream (call, message->stream, sizeof message->stream);
  message->claim_id[0] = call->hop.attempt[0];
  message->claim_id[1] = call->hop.attempt[1];
  message->key = claim_key (&call->hop);
  message->ran = ran;
  message->status = status;
  mailbox_send (call->sidecar->daemon->to_control, &message->head);
}

/* start_refusal_reason() - why a request with a granted claim must not start, or
 * VERDICT_REASON_NONE
 *
 * Checked immediately before the request starts, because the process may have been paused with the
 * result in its mailbox, and the host may have begun to leave while a slow log decided the claim. A
 * host that began to leave less than LIMIT_LEAVING_GRACE_US ago still starts the request. Otherwise
 * the claim would be released by a log record that can arrive after the claim of the next sidecar,
 * and in a planned stop the caller of a request that did not run would be told "may have run". */
static verdict_reason_t
start_refusal_reason (const sidecar_call_t *call)
{
  verdict_reason_t reason = sidecar_unavailable_reason (call);

  if (reason == VERDICT_REASON_LEAVING && sidecar_in_leaving_grace (call->sidecar))
    reason = VERDICT_REASON_NONE;
  if (reason == VERDICT_REASON_NONE &&
      data_task_now_us (call->sidecar->data_task) >= call->deadline_us)
    reason = VERDICT_REASON_DEADLINE;
  return reason;
}

static void
on_claim_granted (sidecar_call_t *call)
{
  verdict_reason_t reason = start_refusal_reason (call);

  if (reason == VERDICT_REASON_NONE)
    {
      sidecar_engine_send (call);
      return;
    }
  sidecar_claim_end (call, false, 0);
  sidecar_call_refuse_admitted (call, reason, VERDICT_NOT_RUN);
}

void
sidecar_claim_handle_result (sidecar_t *sidecar, const claim_result_t *result)
{
  sidecar_call_t *call = g_hash_table_lookup (sidecar->calls, result->claim_id);

  if (call == NULL || call->state != SIDECAR_CALL_CLAIMING)
    return;
  switch (result->verdict)
    {
    case CLAIM_GRANTED:
      on_claim_granted (call);
      break;
    case CLAIM_DONE:
      sidecar_call_refuse_admitted (call, VERDICT_REASON_CLAIMED, VERDICT_RAN);
      break;
    case CLAIM_KEY_REUSED:
      sidecar_call_refuse_admitted (call, VERDICT_REASON_KEY_REUSED, VERDICT_NOT_RUN);
      break;
    case CLAIM_EXPIRED:
      sidecar_call_refuse_admitted (call, VERDICT_REASON_DEADLINE, VERDICT_NOT_RUN);
      break;
    case CLAIM_LOG_DOWN:
      sidecar_call_refuse_admitted (call, VERDICT_REASON_LOG_DOWN, VERDICT_NOT_RUN);
      break;
    case CLAIM_HELD:
    case CLAIM_PENDING:
      sidecar_call_refuse_admitted (call, VERDICT_REASON_CLAIMED, VERDICT_MAY_HAVE_RUN);
      break;
    }
  sidecar_process_queue (sidecar);
}
