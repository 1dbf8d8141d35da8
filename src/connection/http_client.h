/**
 * DOC: http_client
 *
 * HTTP client of a task, on top of libevent's evhttp. Keeps connections for reuse and sends one
 * request at a time on each. Reports whether a failed request may have been executed, and never
 * accepts a truncated response as complete. The process must ignore SIGPIPE.
 */
#ifndef CONNECTION_HTTP_CLIENT_H
#define CONNECTION_HTTP_CLIENT_H

#include "base/clock.h"
#include "base/settings.h"
#include "request/policy/retries/verdict.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/keyvalq_struct.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct http_client http_client_t; /* client of one task, with its connection pool */
typedef struct http_client_call http_client_call_t; /* one request in flight */

/** http_client_header_t - a request header */
typedef struct
{
  const char *name;
  const char *value;
} http_client_header_t;

/**
 * struct http_client_result - result of a call
 * @complete: the response is complete, its length was declared, and header @check_name of the
 *   options, if set, had the value @check_value
 * @status: HTTP status; 0 when none was received
 * @verdict: when not @complete: VERDICT_NOT_RUN if no byte was sent, otherwise VERDICT_MAY_HAVE_RUN
 * @reason: when not @complete: VERDICT_REASON_TIMEOUT after a timeout, VERDICT_REASON_CONNECT if no
 *   byte was sent, VERDICT_REASON_CROSSED if the response belongs to another request, otherwise
 *   VERDICT_REASON_CUT
 */
typedef struct
{
  bool complete;
  int status;
  verdict_t verdict;
  verdict_reason_t reason;
} http_client_result_t;

/**
 * struct http_client_options - parameters of a request
 * @method: GET, POST, HEAD, PUT, DELETE, OPTIONS or PATCH; the call fails as not run with
 *   another
 * @target: path and query, starting with a slash; the call fails as not run if a character is
 *   not visible ASCII
 * @header_count: number of @headers; the call fails as not run if one has a control character.
 *   Content-Length, Transfer-Encoding, Connection and Expect are set by the client and ignored
 *   here. Host is added if missing
 * @body: must stay valid until @on_end is called or http_client_cancel_call() returns
 * @body_parts: likewise, in place of @body, of @body_bytes; is not copied
 * @timeout_us: limit on the duration of the call, 0 for none. Connecting also has its own
 *   limit, %LIMIT_HTTP_CONNECT_MS or that of http_client_set_connect_timeout()
 * @answer_limit_bytes: a response with a longer body counts as truncated; 0 for no limit
 * @until_close: accept a response without a declared length: it is complete when the peer
 *   closes the connection normally, and truncated when the peer resets it
 * @idle_limit_us: don't reuse a connection that has been idle for longer; 0 for no limit
 * @new_connection: don't reuse a connection
 * @sent_before: don't reuse a connection whose latest request had the same X-Request-Id
 * @check_name: response header that must have the value @check_value; otherwise the call ends
 *   with VERDICT_REASON_CROSSED and no part of the response is passed on. NULL for no check
 * @on_head: receives status and headers of a response with valid framing that has passed the
 *   check of @check_name; returns false to end the call as truncated
 * @on_data: receives a part of the body; bytes that it leaves in the buffer are discarded
 * @on_end: receives the result, exactly once and last, never from within another function or
 *   callback of the client; the call has been freed by then. Must not be NULL; the other
 *   callbacks may be
 */
typedef struct
{
  const address_t *address;
  const char *method;
  const char *target;
  const http_client_header_t *headers;
  uint32_t header_count;
  const void *body;
  struct evbuffer *body_parts;
  size_t body_bytes;
  uint64_t timeout_us;
  uint32_t answer_limit_bytes;
  bool until_close;
  uint64_t idle_limit_us;
  bool new_connection;
  bool sent_before;
  const char *check_name;
  const char *check_value;
  bool (*on_head) (int status, struct evkeyvalq *headers, void *context);
  void (*on_data) (struct evbuffer *data, void *context);
  void (*on_end) (const http_client_result_t *end, void *context);
  void *context;
} http_client_options_t;

/** http_client_new() - create a client that keeps at most @idle_limit idle connections per address,
 * each for at most @idle_timeout_ms */
http_client_t *
http_client_new (struct event_base *base, uint32_t idle_limit, uint32_t idle_timeout_ms);
/** http_client_set_connect_timeout() - set the time limit for connecting of new connections,
 * instead of %LIMIT_HTTP_CONNECT_MS */
void http_client_set_connect_timeout (http_client_t *http_client, uint32_t limit_ms);
/** http_client_free() - cancel all calls and free. Must not be called from within @on_head or
 * @on_data */
void http_client_free (http_client_t *http_client);
/** http_client_start_call() - send a request. Return: the call, valid until @on_end is called or it
 * is cancelled; a request that can't be sent also ends by @on_end */
http_client_call_t *http_client_start_call (http_client_t *http_client,
                                            const http_client_options_t *options);
/** http_client_cancel_call() - close the call's connection and free the call; @on_end is not called
 */
void http_client_cancel_call (http_client_call_t *call);
/** http_client_set_paused() - stop or resume reading the response, for backpressure from a slow
 * reader. Data that has already been read is still passed on: at most one chunk or one read of the
 * socket */
void http_client_set_paused (http_client_call_t *call, bool paused);
/** http_client_cut_call() - end a call whose response is over a limit, and close its connection. It
 * ends by @on_end with VERDICT_MAY_HAVE_RUN, whatever was sent, and VERDICT_REASON_CUT */
void http_client_cut_call (http_client_call_t *call);
/** http_client_spend_lines() - count the lines of @data towards what the call's connection may
 * read, for a reader that takes time for each */
void http_client_spend_lines (http_client_call_t *call, struct evbuffer *data);
/** http_client_keep_data() - move the @data of on_data to the end of @kept */
void http_client_keep_data (struct evbuffer *kept, struct evbuffer *data);
/** http_client_close_idle() - close the idle connections to @address, after the process there has
 * ended */
void http_client_close_idle (http_client_t *http_client, const address_t *address);
/** http_client_close_older_idle() - close the idle connections to the peer of a silent call that
 * were last used before the peer was heard last in the call, or before the call began: what
 * silenced the call may have cut them off too */
void http_client_close_older_idle (http_client_call_t *call);
/** http_client_has_ended() - whether the call has ended, so that @on_end is called in a moment */
bool http_client_has_ended (const http_client_call_t *call);
/** http_client_has_unread() - whether the call has ended, or bytes of its response wait to be read
 */
bool http_client_has_unread (const http_client_call_t *call);
/** http_client_is_first_on_connection() - whether the connection of a call that has not ended
 * carried no call before */
bool http_client_is_first_on_connection (const http_client_call_t *call);
/** http_client_may_have_sent() - whether any byte of the request may have been sent */
bool http_client_may_have_sent (const http_client_call_t *call);

#endif
