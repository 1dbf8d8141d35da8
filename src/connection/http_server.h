/**
 * DOC: http_server
 *
 * HTTP server of a task, on top of libevent's evhttp. Limits the resources that a client can use,
 * sends complete or streamed responses, and reports when a client disconnects. libevent writes to
 * sockets that the peer has reset, so the process must ignore SIGPIPE.
 */
#ifndef CONNECTION_HTTP_SERVER_H
#define CONNECTION_HTTP_SERVER_H

#include "base/counters.h"
#include "base/settings.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct hsv hsv_t;           /* a server: one listening socket and its connections */
typedef struct hsv_call hsv_call_t; /* a request that has not been answered */

/**
 * struct hsv_options - options of hsv_new()
 * @body_limit_bytes: a request with a longer body is rejected by 413
 * @header_limit_bytes: limit on request line and headers; a request over it is rejected by 431
 * @header_limit_count: a request with more headers is rejected by 431
 * @connection_limit: connections over it are closed after a response 503. With
 *   %LIM_HTTP_OVER_LIMIT more connections, no further ones are accepted
 * @idle_timeout_ms: a connection is closed after this time without a byte read, or, while a
 *   response is sent, without a byte written. The time between request and response is not
 *   limited
 * @request_timeout_ms: a connection is closed when receiving a request takes longer; 0 for
 *   %LIM_HTTP_REQUEST_MS
 * @incomplete_limit_bytes: limit on the sum of all requests that have been received in part;
 *   when it is exceeded, the largest of them is rejected by 503; 0 for %LIM_HTTP_COMING_BYTES
 * @on_call: receives each complete request within the limits; it must be answered exactly once,
 *   at once or later
 */
typedef struct
{
  struct event_base *base;
  cnt_set_t *counters;
  set_address_t listen;
  uint32_t body_limit_bytes;
  uint32_t header_limit_bytes;
  uint32_t header_limit_count;
  uint32_t connection_limit;
  uint32_t idle_timeout_ms;
  uint32_t request_timeout_ms;
  uint32_t incomplete_limit_bytes;
  void (*on_call) (hsv_call_t *call, void *context);
  void *context;
} hsv_options_t;

/** hsv_new() - start to listen. Return: NULL with @error set when the address can't be bound */
hsv_t *hsv_new (const hsv_options_t *options, GError **error);
/** hsv_free() - close all connections; pending calls end as if their client had disconnected. Must
 * not be called from within a callback of the server */
void hsv_free (hsv_t *hsv);
/** hsv_port() - the bound port, which the kernel chooses when @listen has port 0 */
uint16_t hsv_port (const hsv_t *hsv);
/** hsv_configure() - change the limits for new connections; 0 leaves a limit as it is */
void hsv_configure (hsv_t *hsv,
                    uint32_t body_limit_bytes,
                    uint32_t header_limit_bytes,
                    uint32_t request_timeout_ms,
                    uint32_t idle_timeout_ms);
/** hsv_say_close() - send "Connection: close" in all responses from now on, but keep listening: a
 * load balancer opens connections until it has noticed that the daemon is not ready */
void hsv_say_close (hsv_t *hsv);
/** hsv_hold() - accept no connection until hsv_release(); clients wait in the kernel's queue */
void hsv_hold (hsv_t *hsv);
/** hsv_release() - accept connections again after hsv_hold() */
void hsv_release (hsv_t *hsv);
/** hsv_stop() - stop listening and send "Connection: close" in all responses from now on.
 * Connections in the kernel's queue are still accepted. Idle ones are closed after
 * %LIM_HTTP_STOP_LINGER_MS, since a request may be on its way */
void hsv_stop (hsv_t *hsv);
/** hsv_busy() - number of calls that have not been answered or whose response has not been sent
 * completely. After hsv_stop(), the number of connections on which a request may still arrive is
 * included, and 0 is final */
uint32_t hsv_busy (const hsv_t *hsv);

/** hsv_method() - the request method in upper case */
const char *hsv_method (const hsv_call_t *call);
/** hsv_path() - the path without the query */
const char *hsv_path (const hsv_call_t *call);
/** hsv_target() - the request target as received: path and query */
const char *hsv_target (const hsv_call_t *call);
/** hsv_query() - the value of a query parameter, or NULL; valid until the call ends */
const char *hsv_query (hsv_call_t *call, const char *name);
/** hsv_header() - the value of a request header, or NULL */
const char *hsv_header (const hsv_call_t *call, const char *name);
/** hsv_headers() - all request headers */
struct evkeyvalq *hsv_headers (const hsv_call_t *call);
/** hsv_body() - the request body; not NUL-terminated; valid until the call is answered */
const char *hsv_body (hsv_call_t *call, size_t *body_bytes);
/** hsv_take_body() - remove the request body from the call. Return: the body, to be freed by
 * g_free(); NULL when it is empty */
char *hsv_take_body (hsv_call_t *call, size_t *body_bytes);

/** hsv_on_gone() - set a callback for the case that, before hsv_reply() or hsv_end(), the client
 * closes its connection or its half of it, or accepts no bytes for the idle timeout. The call is
 * freed after @gone returns and must not be answered. Not called after hsv_abort() */
void hsv_on_gone (hsv_call_t *call, void (*gone) (void *context), void *context);
/** hsv_on_room() - set a callback for streamed responses, called after hsv_part() has returned
 * false once the queue has shrunk to less than half of %HSV_QUEUED_LIMIT_BYTES */
void hsv_on_room (hsv_call_t *call, void (*room) (void *context), void *context);

/** hsv_add_header() - add a response header. One with a control character is dropped and counted.
 * Transfer-Encoding and Connection are set by the server and ignored here, except
 * "Connection: close" */
void hsv_add_header (hsv_call_t *call, const char *name, const char *value);
/** hsv_reply() - send a complete response and end the call. The response to HEAD has no body, but
 * the length of @body as Content-Length, unless one was added */
void hsv_reply (hsv_call_t *call, int status, const void *body, size_t body_bytes);
/** hsv_reply_text() - like hsv_reply(), for a NUL-terminated body with a content type */
void hsv_reply_text (hsv_call_t *call, int status, const char *content_type, const char *text);
/** hsv_begin() - start a response of unknown length: chunked, or for an HTTP/1.0 client ended by
 * closing the connection */
void hsv_begin (hsv_call_t *call, int status);
/** hsv_part() - send a part of a streamed response; empties @data. Return: false when more than
 * %HSV_QUEUED_LIMIT_BYTES are queued: wait for the callback of hsv_on_room() */
bool hsv_part (hsv_call_t *call, struct evbuffer *data);
/** hsv_end() - complete a streamed response and end the call */
void hsv_end (hsv_call_t *call);
/** hsv_abort() - end the call and close the connection in such a way that the client can't take the
 * part of the response that it has for the complete one */
void hsv_abort (hsv_call_t *call);

#define HSV_QUEUED_LIMIT_BYTES                                                                     \
  (256 * 1024) /* bytes queued for a client before hsv_part() says stop */

#endif
