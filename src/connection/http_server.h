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

/* priorities of the event base: the last one is for new connections, the middle one for all else */
#define HTTP_SERVER_PRIORITIES 3

typedef struct http_server http_server_t; /* a server: one listening socket and its connections */
typedef struct http_server_call http_server_call_t; /* a request that has not been answered */

/** http_server_on_hand_t - what a connection had on hand when it ended */
typedef enum
{
  HTTP_SERVER_HAND_NONE,
  HTTP_SERVER_HAND_PART_OF_REQUEST,
  HTTP_SERVER_HAND_REQUEST, /* whole, and no byte of its response queued */
  HTTP_SERVER_HAND_ANSWER   /* a response that is not sent to its last byte */
} http_server_on_hand_t;

/** http_server_end_reason_t - why a connection ended */
typedef enum
{
  HTTP_SERVER_END_CLOSED, /* closed or reset by the client */
  HTTP_SERVER_END_IDLE_TIMEOUT,
  HTTP_SERVER_END_REQUEST_TIMEOUT, /* a request took too long to arrive */
  HTTP_SERVER_END_ANSWER_UNREAD,   /* the client accepted no byte for the idle timeout */
  HTTP_SERVER_END_ANSWER_CUT,      /* http_server_abort() */
  HTTP_SERVER_END_STOPPING,
  HTTP_SERVER_END_ROOM,    /* it was idle, and others needed its place */
  HTTP_SERVER_END_EVICTED, /* an incomplete request was rejected to bound their sum */
  HTTP_SERVER_END_REFUSED, /* after the response that rejected its request */
  HTTP_SERVER_END_ERROR,
  HTTP_SERVER_END_COUNT
} http_server_end_reason_t;

/**
 * struct http_server_ended - the end of a connection
 * @by_us: the server closed it, otherwise the client
 * @idle_ms: time since the last byte from or to the client
 * @idle_limit_ms: idle timeout of the connection
 * @part_bytes: received bytes of an incomplete request
 * @unread_bytes: bytes left in the socket, which the client takes for sent
 */
typedef struct
{
  bool by_us;
  http_server_end_reason_t reason;
  http_server_on_hand_t on_hand;
  uint64_t idle_ms;
  uint32_t idle_limit_ms;
  uint64_t part_bytes;
  uint64_t unread_bytes;
} http_server_ended_t;

/**
 * struct http_server_options - options of http_server_new()
 * @body_limit_bytes: a request with a longer body is rejected by 413
 * @header_limit_bytes: limit on request line and headers; a request over it is rejected by 431
 * @header_limit_count: a request with more headers is rejected by 431
 * @connection_limit: as it nears, responses bear "Connection: close", and connections that have
 *   been idle for long are closed, see connection_room. Those over it are closed after a response
 *   503. With %LIMIT_HTTP_EXCESS_CONNECTIONS more connections, no further ones are accepted
 * @file_limit: likewise, open files of the process; 0 for no limit
 * @idle_timeout_ms: a connection is closed after this time without a request, or, while a
 *   response is sent, without a byte written for that time, but %LIMIT_HTTP_ANSWER_UNREAD_MS at
 *   least. The time between request and response is not
 *   limited. Bytes that have come in time are read first
 * @request_timeout_ms: a request whose head takes longer from its first byte to its last is
 * rejected by 408; 0 for %LIMIT_HTTP_REQUEST_MS, which is also the least time that a body may take
 * @held_limit_bytes: limit on the sum of all requests that have been received in part, and of the
 *   bodies of those that are not answered. As it nears, bodies that began last are not read on; one
 *   that waits for %LIMIT_HTTP_BODY_WAIT_MS, and, over the limit, the largest, is rejected by 503;
 *   0 for %LIMIT_HTTP_HELD_BYTES
 * @answer_limit_bytes: limit on the bytes that all clients together have not read, see answer_room;
 *   0 for one for each client only
 * @takes_few: new connections are taken a few at a time, when @base has nothing else to do, and
 *   none over the limit, see http_server_shed(); @base needs %HTTP_SERVER_PRIORITIES
 * @on_call: receives each complete request within the limits; it must be answered exactly once,
 *   at once or later
 * @on_ended: told of each connection that ends otherwise than by its client while it is idle,
 *   after a last response, or idle, for others; may be NULL
 */
typedef struct
{
  struct event_base *base;
  counter_registry_t *counters;
  address_t listen;
  uint32_t body_limit_bytes;
  uint32_t header_limit_bytes;
  uint32_t header_limit_count;
  uint32_t connection_limit;
  uint32_t file_limit;
  uint32_t idle_timeout_ms;
  uint32_t request_timeout_ms;
  uint64_t held_limit_bytes;
  uint64_t answer_limit_bytes;
  bool takes_few;
  void (*on_call) (http_server_call_t *call, void *context);
  void (*on_ended) (const http_server_ended_t *ended, void *context);
  void *context;
} http_server_options_t;

/** http_server_new() - start to listen. Return: NULL with @error set when the address can't be
 * bound */
http_server_t *http_server_new (const http_server_options_t *options, GError **error);
/** http_server_end_reason_to_string() - name of a reason, for logs */
const char *http_server_end_reason_to_string (http_server_end_reason_t reason);
/** http_server_on_hand_to_string() - name of what was on hand, for logs */
const char *http_server_on_hand_to_string (http_server_on_hand_t on_hand);
/** http_server_free() - close all connections; pending calls end as if their client had
 * disconnected. Must not be called from within a callback of the server */
void http_server_free (http_server_t *http_server);
/** http_server_port() - the bound port, which the kernel chooses when @listen has port 0 */
uint16_t http_server_port (const http_server_t *http_server);
/** http_server_configure() - change the limits; 0 for that of the options. Raised limits hold at
 * once, also on open connections; lowered ones from a connection's next request on, that of the
 * idle timeout %LIMIT_HTTP_LOWERED_IDLE_MS later */
void http_server_configure (http_server_t *http_server,
                            uint32_t body_limit_bytes,
                            uint32_t header_limit_bytes,
                            uint32_t request_timeout_ms,
                            uint32_t idle_timeout_ms);
/** http_server_announce_close() - send "Connection: close" in all responses from now on, but keep
 * listening: a load balancer opens connections until it has noticed that the daemon is not ready */
void http_server_announce_close (http_server_t *http_server);
/** http_server_pause_accepting() - accept no connection until http_server_resume_accepting();
 * clients wait in the kernel's queue */
void http_server_pause_accepting (http_server_t *http_server);
/** http_server_resume_accepting() - accept connections again after http_server_pause_accepting() */
void http_server_resume_accepting (http_server_t *http_server);
/** http_server_review_room() - find out whether the server is full; to be called several times
 * within %CONNECTION_ROOM_FULL_US. Return: whether that has changed */
bool http_server_review_room (http_server_t *http_server, uint64_t now_us);
/** http_server_is_full() - whether all connections within the limits are in use, and none could be
 * taken for %CONNECTION_ROOM_FULL_US */
bool http_server_is_full (const http_server_t *http_server);
/** http_server_shed() - refuses the connections that wait, unread, if they have waited for too
 * long; to be called several times in %ACCEPT_GATE_WAIT_US by the owner of a server that
 * @takes_few. Return: whether it did */
bool http_server_shed (http_server_t *http_server, uint64_t now_us);
/** http_server_note_held_up() - the event loop was held up by other work than requests, so that
 * connections had to wait for it */
void http_server_note_held_up (http_server_t *http_server);
/** http_server_stop() - stop listening and send "Connection: close" in all responses from now on.
 * Connections in the kernel's queue are still accepted. Idle ones are closed after
 * %LIMIT_HTTP_STOP_LINGER_MS, since a request may be on its way */
void http_server_stop (http_server_t *http_server);
/** http_server_refuse_incomplete() - refuse by 503 all requests of which only a part has arrived,
 * at the end of a stop; connections with bytes that are not read yet are left to a later call */
void http_server_refuse_incomplete (http_server_t *http_server);
/** http_server_busy_count() - number of calls that have not been answered or whose response has not
 * been sent completely. After http_server_stop(), the number of connections on which a request may
 * still arrive is included, and 0 is final */
uint32_t http_server_busy_count (const http_server_t *http_server);
/** http_server_lingering_count() - number of refused connections whose client may still be sending;
 * it would lose the refusal if the process ended now */
uint32_t http_server_lingering_count (const http_server_t *http_server);

/** http_server_method() - the request method in upper case */
const char *http_server_method (const http_server_call_t *call);
/** http_server_path() - the path without the query */
const char *http_server_path (const http_server_call_t *call);
/** http_server_target() - the request target as received: path and query */
const char *http_server_target (const http_server_call_t *call);
/** http_server_query_value() - the value of a query parameter, or NULL; valid until the call ends
 */
const char *http_server_query_value (http_server_call_t *call, const char *name);
/** http_server_request_header() - the value of a request header, or NULL */
const char *http_server_request_header (const http_server_call_t *call, const char *name);
/** http_server_request_headers() - all request headers */
struct evkeyvalq *http_server_request_headers (const http_server_call_t *call);
/** http_server_body() - the request body; not NUL-terminated; valid until the call is answered */
const char *http_server_body (http_server_call_t *call, size_t *body_bytes);
/** http_server_take_body() - remove the request body from the call. Return: the body, to be freed
 * by g_free(); NULL when it is empty */
char *http_server_take_body (http_server_call_t *call, size_t *body_bytes);

/** http_server_move_body() - likewise, without a copy of it, to the end of @to */
void http_server_move_body (http_server_call_t *call, struct evbuffer *to);

/** http_server_on_disconnect() - set a callback for the case that, before http_server_reply() or
 * http_server_end_reply(), the client closes its connection or its half of it, or accepts no bytes
 * for the idle timeout. The call is freed after @gone returns and must not be answered. Not called
 * after http_server_abort() */
void
http_server_on_disconnect (http_server_call_t *call, void (*gone) (void *context), void *context);
/** http_server_on_writable() - set a callback for streamed responses, called after
 * http_server_send_part() has returned false once the queue has shrunk to less than half of
 * http_server_queue_limit() */
void
http_server_on_writable (http_server_call_t *call, void (*room) (void *context), void *context);

/** http_server_add_header() - add a response header. One with a control character is dropped and
 * counted. Transfer-Encoding and Connection are set by the server and ignored here, except
 * "Connection: close" */
void http_server_add_header (http_server_call_t *call, const char *name, const char *value);
/** http_server_reply() - send a complete response and end the call. The response to HEAD has no
 * body, but the length of @body as Content-Length, unless one was added */
void http_server_reply (http_server_call_t *call, int status, const void *body, size_t body_bytes);
/** http_server_reply_text() - like http_server_reply(), for a NUL-terminated body with a content
 * type */
void http_server_reply_text (http_server_call_t *call,
                             int status,
                             const char *content_type,
                             const char *text);
/** http_server_begin_reply() - start a response of unknown length: chunked, or for an HTTP/1.0
 * client ended by closing the connection */
void http_server_begin_reply (http_server_call_t *call, int status);
/** http_server_send_part() - send a part of a streamed response; empties @data. Return: false when
 * more than http_server_queue_limit() are queued: wait for the callback of
 * http_server_on_writable() */
bool http_server_send_part (http_server_call_t *call, struct evbuffer *data);
/** http_server_end_reply() - complete a streamed response and end the call */
void http_server_end_reply (http_server_call_t *call);
/** http_server_abort() - end the call and close the connection in such a way that the client can't
 * take the part of the response that it has for the complete one */
void http_server_abort (http_server_call_t *call);

/** http_server_queue_limit() - bytes queued for a client before http_server_send_part() says stop
 */
uint64_t http_server_queue_limit (const http_server_call_t *call);

#endif
