#include "request/error_reply.h"

#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#define TYPE_INVALID_REQUEST "invalid_request_error"
#define TYPE_OVERLOADED "overloaded_error"
#define TYPE_UPSTREAM "upstream_error"

static const char *
message_of (verdict_reason_t reason)
{
  switch (reason)
    {
    case VERDICT_REASON_OVER_BOUND:
      return "all engines asked carry their share of the load";
    case VERDICT_REASON_LEAVING:
      return "the hosts asked are leaving";
    case VERDICT_REASON_STALE:
      return "the daemon has just woken from a pause and takes no new work yet";
    case VERDICT_REASON_NO_ENGINE:
      return "no engine of the service answers";
    case VERDICT_REASON_QUEUE_FULL:
      return "too many requests of this client account wait already";
    case VERDICT_REASON_DEADLINE:
      return "the request could not start before its deadline";
    case VERDICT_REASON_ACCOUNT_SHARE:
      return "the client account is over its share";
    case VERDICT_REASON_SUSPECT:
    case VERDICT_REASON_SUSPECT_HERE:
      return "engines crashed while they ran this request";
    case VERDICT_REASON_CLAIMED:
      return "another request with this idempotency key was first";
    case VERDICT_REASON_KEY_REUSED:
      return "this idempotency key came with another request before";
    case VERDICT_REASON_KEY_TOO_OLD:
      return "this idempotency key is older than keys are remembered";
    case VERDICT_REASON_LOG_DOWN:
      return "the idempotency key cannot be claimed at present";
    case VERDICT_REASON_CUT:
      return "the answer was cut off";
    case VERDICT_REASON_BAD_EVENT:
      return "the answer was not a sound stream of events";
    case VERDICT_REASON_FAILED:
      return "the engine failed the request, which may have run";
    case VERDICT_REASON_CROSSED:
      return "the answer did not belong to this request";
    case VERDICT_REASON_TIMEOUT:
      return "no answer came in time";
    case VERDICT_REASON_CONNECT:
      return "the hosts asked cannot be reached";
    case VERDICT_REASON_ENGINE_CRASHED:
      return "the engine crashed while it ran this request";
    case VERDICT_REASON_VERSION_UNKNOWN:
      return "it is not known at which software version the stream began";
    case VERDICT_REASON_VERSION_GONE:
      return "no engine of the software version that began the stream is left";
    default:
      return "the request could not be served";
    }
}

static const char *
type_of (int status)
{
  if (status == 429 || status == 503)
    return TYPE_OVERLOADED;
  return status < 500 ? TYPE_INVALID_REQUEST : TYPE_UPSTREAM;
}

int
error_reply_status (verdict_reason_t reason, verdict_t verdict)
{
  switch (reason)
    {
    case VERDICT_REASON_QUEUE_FULL:
    case VERDICT_REASON_ACCOUNT_SHARE:
      return 429;
    case VERDICT_REASON_CLAIMED:
      return 409;
    case VERDICT_REASON_SUSPECT:
    case VERDICT_REASON_KEY_REUSED:
    case VERDICT_REASON_KEY_TOO_OLD:
      return 422;
    case VERDICT_REASON_TIMEOUT:
      return 504;
    default:
      return verdict == VERDICT_NOT_RUN ? 503 : 502;
    }
}

char *
error_reply_body (const error_reply_t *fault)
{
  int status =
      fault->status != 0 ? fault->status : error_reply_status (fault->reason, fault->verdict);
  const char *code = fault->code != NULL ? fault->code : verdict_reason_to_string (fault->reason);
  const char *message = fault->message != NULL ? fault->message : message_of (fault->reason);
  json_t *json = json_pack ("{s:{s:s,s:s,s:s,s:s,s:s*}}", "error", "message", message, "type",
                            type_of (status), "code", code, "verdict",
                            verdict_to_string (fault->verdict), "request", fault->request);
  char *text = json_dumps (json, JSON_COMPACT);
  char *body = g_strdup (text);

  free (text);
  json_decref (json);
  return body;
}

void
error_reply_send (http_server_call_t *call, const error_reply_t *fault)
{
  int status =
      fault->status != 0 ? fault->status : error_reply_status (fault->reason, fault->verdict);
  char *body = error_reply_body (fault);
  char seconds[16];

  http_server_add_header (call, VERDICT_HEADER, verdict_to_string (fault->verdict));
  if (fault->request != NULL)
    http_server_add_header (call, ERROR_REPLY_REQUEST_HEADER, fault->request);
  if (fault->retry_after_ms != 0)
    {
      if (fault->exact_retry)
        snprintf (seconds, sizeof seconds, "%" PRIu32 ".%03" PRIu32, fault->retry_after_ms / 1000,
                  fault->retry_after_ms % 1000);
      else
        snprintf (seconds, sizeof seconds, "%" PRIu32, (fault->retry_after_ms - 1) / 1000 + 1);
      http_server_add_header (call, "Retry-After", seconds);
    }
  http_server_reply_text (call, status, "application/json", body);
  g_free (body);
}

void
error_reply_reject (http_server_call_t *call, int status, const char *code, const char *message)
{
  error_reply_send (
      call, &(error_reply_t){
                .status = status, .code = code, .message = message, .verdict = VERDICT_NOT_RUN });
}
