/**
 * DOC: http_client
 *
 * HTTP requests of a task over evhttp, with connections kept for reuse, one request at a time on
 * each. Tells how far a failed request got, and never takes a cut answer for a whole one. The
 * process must ignore SIGPIPE.
 */
#ifndef CONNECTION_HTTP_CLIENT_H
#define CONNECTION_HTTP_CLIENT_H

#include "base/clock.h"
#include "base/settings.h"
#include "request/policy/verdict.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/keyvalq_struct.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct hcl hcl_t;           /* connections of one task */
typedef struct hcl_call hcl_call_t; /* one request in flight */

typedef struct
{
  const char *name;
  const char *value;
} hcl_header_t;

/**
 * struct hcl_end - how a call ended
 * @whole: the answer came whole, with its length declared, and @check_name had @check_value
 * @status: 0 when no status came
 * @verdict: when not whole: VRD_NOT_RUN only if nothing left for the peer, else VRD_MAY_HAVE_RUN
 * @reason: VRD_REASON_CONNECT when nothing left, else _CUT, _CROSSED or _TIMEOUT; a timeout is
 *   _TIMEOUT in any case
 */
typedef struct
{
  bool whole;
  int status;
  vrd_t verdict;
  vrd_reason_t reason;
} hcl_end_t;

/**
 * struct hcl_options - one request
 * @method: GET, POST, HEAD, PUT, DELETE, OPTIONS or PATCH; another fails the call as not run
 * @target: starts with a slash; one with a character that is not visible ASCII fails the call as
 *   not run
 * @header_count: of @headers; one with a control character fails the call as not run.
 *   Content-Length, Transfer-Encoding, Connection and Expect are the client's own and left out. A
 *   Host is added when there is none
 * @body: borrowed until @on_end is called or hcl_cancel() returns
 * @timeout_us: for the whole call; 0 is none. Connecting has a limit besides, %LIM_HTTP_CONNECT_MS
 * @answer_limit_bytes: a longer body counts as cut; 0 is none
 * @until_close: an answer without a declared length is whole when the peer closes the connection in
 *   order, and cut when it resets it
 * @idle_limit_us: take no kept connection that has been idle for longer; 0 is no limit
 * @check_name: response header that must be there with @check_value, else VRD_REASON_CROSSED and
 *   nothing of the answer is passed on; NULL for none
 * @on_head: status and headers of an answer that declares its length; false ends the call as cut
 * @on_data: a part of the body; what is not drained is dropped
 * @on_end: last, exactly once, never from within another function or callback of the client; the
 *   call no longer exists then. All callbacks but this one may be NULL.
 */
typedef struct
{
  const set_address_t *address;
  const char *method;
  const char *target;
  const hcl_header_t *headers;
  uint32_t header_count;
  const void *body;
  size_t body_bytes;
  uint64_t timeout_us;
  uint32_t answer_limit_bytes;
  bool until_close;
  uint64_t idle_limit_us;
  const char *check_name;
  const char *check_value;
  bool (*on_head) (int status, struct evkeyvalq *headers, void *context);
  void (*on_data) (struct evbuffer *data, void *context);
  void (*on_end) (const hcl_end_t *end, void *context);
  void *context;
} hcl_options_t;

/** hcl_new() - at most @idle_limit idle connections are kept for each address */
hcl_t *hcl_new (struct event_base *base, uint32_t idle_limit, uint32_t idle_timeout_ms);
/** hcl_set_connect_limit() - of connections made from now on, in place of %LIM_HTTP_CONNECT_MS */
void hcl_set_connect_limit (hcl_t *hcl, uint32_t limit_ms);
/** hcl_free() - cancels all calls. Not from within @on_head or @on_data */
void hcl_free (hcl_t *hcl);
hcl_call_t *hcl_start (hcl_t *hcl, const hcl_options_t *options);
/** hcl_cancel() - closes the connection; @on_end is not called. The call no longer exists then */
void hcl_cancel (hcl_call_t *call);
/** hcl_pause() - stop or go on reading the answer while the reader of what it is passed on to is
 * slow. What has been read already still comes, at most a chunk or a read of the socket */
void hcl_pause (hcl_call_t *call, bool paused);
/** hcl_forget() - close the idle connections to @address: whoever has them there has gone */
void hcl_forget (hcl_t *hcl, const set_address_t *address);
/** hcl_sent() - whether any byte may have left for the peer */
bool hcl_sent (const hcl_call_t *call);

#endif
