/**
 * DOC: fault
 *
 * The errors that callers see: one JSON body, with the verdict in it and in a header, and
 * Retry-After where coming back makes sense.
 */
#ifndef REQUEST_FAULT_H
#define REQUEST_FAULT_H

#include "connection/http_server.h"
#include "request/policy/verdict.h"

#define FLT_REQUEST_HEADER "X-Medlarplank-Request"

/**
 * struct flt - an error
 * @status: HTTP status; 0 is that of @reason
 * @code: a word for programs; NULL is that of @reason
 * @message: one sentence for people; NULL is that of @reason
 * @retry_after_ms: 0 is do not come back
 * @exact_retry: @retry_after_ms is told in thousandths; else in whole seconds, rounded up
 * @request: the attempt id as text, or NULL
 */
typedef struct
{
  int status;
  const char *code;
  const char *message;
  vrd_t verdict;
  vrd_reason_t reason;
  uint32_t retry_after_ms;
  bool exact_retry;
  const char *request;
} flt_t;

/** flt_reply() - answers and ends the call */
void flt_reply (hsv_call_t *call, const flt_t *fault);
/** flt_bad_request() - the caller's own fault, found before anything was sent on */
void flt_bad_request (hsv_call_t *call, int status, const char *code, const char *message);
/** flt_body() - the JSON body, to be freed by g_free() */
char *flt_body (const flt_t *fault);
/** flt_status() - the HTTP status of a reason */
int flt_status (vrd_reason_t reason, vrd_t verdict);

#endif
