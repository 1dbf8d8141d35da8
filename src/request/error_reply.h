/**
 * DOC: error_reply
 *
 * Error responses to clients. All have the same JSON body; the verdict (whether the request may
 * have run) is in the body and in a header, and Retry-After is set where a retry makes sense.
 */
#ifndef REQUEST_ERROR_REPLY_H
#define REQUEST_ERROR_REPLY_H

#include "connection/http_server.h"
#include "request/policy/retries/verdict.h"

#define ERROR_REPLY_REQUEST_HEADER "X-Medlarplank-Request" /* the attempt id */

/**
 * struct error_reply - one error response
 * @status: HTTP status; 0 takes that of @reason
 * @code: identifier for programs; NULL takes the name of @reason
 * @message: one sentence for people; NULL takes that of @reason
 * @verdict: whether the request may have run
 * @reason: why the request failed or was refused
 * @retry_after_ms: value of Retry-After; 0 leaves the header out
 * @exact_retry: write Retry-After in seconds with three decimals; without it, as HTTP has it, in
 *   whole seconds, rounded up
 * @request: the attempt id as text, or NULL
 */
typedef struct
{
  int status;
  const char *code;
  const char *message;
  verdict_t verdict;
  verdict_reason_t reason;
  uint32_t retry_after_ms;
  bool exact_retry;
  const char *request;
} error_reply_t;

/** error_reply_send() - sends the error response, which ends the call */
void error_reply_send (http_server_call_t *call, const error_reply_t *fault);
/** error_reply_reject() - rejects a request that is itself wrong, before anything was forwarded;
 * ends the call */
void
error_reply_reject (http_server_call_t *call, int status, const char *code, const char *message);
/** error_reply_body() - the JSON body of the error; the caller frees it with g_free() */
char *error_reply_body (const error_reply_t *fault);
/** error_reply_status() - the HTTP status for a reason and a verdict */
int error_reply_status (verdict_reason_t reason, verdict_t verdict);

#endif
