/**
 * DOC: http_server_internal
 *
 * Declarations shared by the files of the HTTP server: the server, its connections and their calls.
 *
 * Ownership: evhttp owns its connection and reports its end by the close callback, which also frees
 * the http_server_conn. A call belongs to its connection. It is freed when it is answered or when
 * the connection ends, whichever happens first.
 */
#ifndef CONNECTION_HTTP_SERVER_INTERNAL_H
#define CONNECTION_HTTP_SERVER_INTERNAL_H

#include "base/clock.h"
#include "connection/http_input.h"
#include "connection/http_server.h"
#include "connection/read_pace.h"
#include "request/policy/queueing/accept_gate.h"
#include "request/policy/queueing/answer_room.h"
#include "request/policy/queueing/body_room.h"
#include "request/policy/queueing/connection_room.h"

#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>

typedef struct http_server_conn http_server_conn_t;
typedef struct http_server_drain http_server_drain_t;

/** http_server_refusal_t - why the server rejected a request; label of a metric */
typedef enum
{
  HTTP_SERVER_REFUSED_BODY,    /* the body, or the sum of incomplete requests, is over its limit */
  HTTP_SERVER_REFUSED_HEADERS, /* headers over their limit in bytes or number */
  HTTP_SERVER_REFUSED_CONNECTIONS, /* connection over the limit */
  HTTP_SERVER_REFUSED_MALFORMED,   /* malformed or unsupported */
  HTTP_SERVER_REFUSED_SLOW,        /* not received within the time limit */
  HTTP_SERVER_REFUSED_LEFT,        /* the client closed before its answer began */
  HTTP_SERVER_REFUSED_STOPPING,    /* not received completely at the end of a stop */
  HTTP_SERVER_REFUSED_COUNT
} http_server_refusal_t;

/**
 * struct http_server - a server
 * @options: those in force, with the limits of the last configuration
 * @own_options: those that it was made with
 * @unread_timeout: a connection whose client accepts no byte of its response is closed then
 * @longer_idle_ms: idle timeout before it was lowered, which holds until @longer_idle_until_us
 * @new_conns: connections by bufferevent, before evhttp has attached an evhttp connection to it
 * @conns: connections by evhttp connection
 * @drains: sockets of rejected clients whose remaining input is read and discarded
 * @drain_share: how much all of @drains read
 * @unlisten: closes the listening socket one iteration of the event loop after http_server_stop()
 * @close_idle: closes the idle connections %LIMIT_HTTP_STOP_LINGER_MS after http_server_stop()
 * @make_room: closes connections that have been idle for longest
 * @accept_again: enables the listener some time after a connection could not be taken
 * @idle_conns: idle connections, the one that has been idle for longest first
 * @bodies: connections that receive the body of a request, in the order in which these began
 * @review_bodies: finds out which of them are read on
 * @held_bytes: of all requests that are not complete, and of the bodies of those not answered
 * @whole_bytes: those of the latter alone
 * @waiting_bodies: those in @bodies that are not read on for now
 * @open_count: all connections
 * @duplicate_count: descriptors that http_server_conn_dup_fd() has made
 * @taken: connections so far
 * @busy_count: connections with a request whose response has not been sent completely
 * @closing: responses have "Connection: close"
 * @freeing: in http_server_free()
 * @paused: the listener accepts no connections
 * @held: its owner has paused it
 * @gate: used if the options say so
 * @idle: runs when no other event is due; used with @gate
 * @room: whether the server is full
 */
struct http_server
{
  http_server_options_t options;
  http_server_options_t own_options;
  struct timeval unread_timeout;
  uint32_t longer_idle_ms;
  int64_t longer_idle_until_us;
  struct timeval request_timeout;
  struct evhttp *http;
  struct evhttp_bound_socket *bound;
  GHashTable *new_conns;
  GHashTable *conns;
  GHashTable *drains;
  read_share_t drain_share;
  struct event *unlisten;
  struct event *close_idle;
  struct event *make_room;
  struct event *accept_again;
  GQueue idle_conns;
  GQueue bodies;
  struct event *review_bodies;
  uint64_t held_bytes;
  uint64_t whole_bytes;
  uint32_t waiting_bodies;
  uint32_t open_count;
  uint32_t duplicate_count;
  uint64_t taken;
  uint32_t busy_count;
  bool stopping;
  bool closing;
  bool freeing;
  bool paused;
  bool held;
  accept_gate_t gate;
  struct event *idle;
  connection_room_t room;
  counter_t *connections;
  counter_t *requests;
  counter_t *gone;
  counter_t *bad_headers;
  counter_t *refused[HTTP_SERVER_REFUSED_COUNT];
  counter_t *ended[HTTP_SERVER_END_COUNT];
};

/**
 * struct http_server_conn - a connection of a client
 * @evcon: NULL until http_server_conn_attach()
 * @deferred: runs work that must not run inside a callback of libevent
 * @read_timer: closes the connection when it is idle, or receiving a request takes too long
 * @disconnect_watch: detects that the client closes while a call is pending, on @dup_fd
 * @dup_fd: duplicate of the socket, -1 if there is none
 * @request: the request in progress, as long as libevent may leave it to us to free
 * @read_bytes: bytes consumed from the input since the last response
 * @incomplete_bytes: received bytes of a request that is not complete
 * @whole_bytes: of the body of a request that is not answered
 * @body_link: in the server's @bodies while a body comes; its data is NULL otherwise
 * @body_waits: the body is not read on for now, since @waits_since_us
 * @wait_left_us: how long it may wait until it is refused
 * @body_due_us: when the time limit on the body ends; @body_left_us of it while it waits
 * @busy: from a complete request to the last byte of its response
 * @over_limit: opened over the connection limit; its request is rejected
 * @closing: to be closed by @deferred
 * @close_by_reset: to be closed by a reset, since an end of file would look like a complete
 *   response
 * @check_error_page: libevent may have queued an error page of its own
 * @notify_writable: the queue has shrunk; the call's callback is to be run
 * @caller_left: the client closed before its request was read, and @deferred closes it too, or
 *   while its request was pending
 * @response_sent: bytes of the response to the pending request have been sent
 * @drain_input: read and discard what the client still sends before the socket is closed
 * @evicted: its incomplete request is rejected by 503, to get below the limit on memory, or by
 *   400 where @input is over a limit
 * @input: what the current request has brought
 * @in_request: a byte of a request has been read, and not the last one
 * @in_body: its head has been read whole
 * @extensions: how often @read_timer was extended since bytes were unread
 * @ended_by_us: the server is closing it, for @end_reason
 * @active_us: time of the last byte from or to the client, on the monotonic clock
 * @body_limit_bytes, @header_limit_bytes: limits of its current request
 * @idle_since_us: opened or answered then, on the monotonic clock
 * @idle_limit_ms: idle timeout that is set on it
 * @idle_link: in the server's @idle_conns while it is idle; its data is NULL otherwise
 */
struct http_server_conn
{
  http_server_t *http_server;
  struct bufferevent *bev;
  struct evhttp_connection *evcon;
  struct evbuffer_cb_entry *input_cb;
  struct evbuffer_cb_entry *output_cb;
  struct event *deferred;
  struct event *read_timer;
  struct event *disconnect_watch;
  evutil_socket_t dup_fd;
  struct evhttp_request *request;
  http_server_call_t *call;
  uint64_t read_bytes;
  uint64_t incomplete_bytes;
  uint64_t whole_bytes;
  GList body_link;
  bool body_waits;
  int64_t waits_since_us;
  int64_t wait_left_us;
  int64_t body_due_us;
  int64_t body_left_us;
  bool busy;
  bool over_limit;
  bool closing;
  bool close_by_reset;
  bool check_error_page;
  bool notify_writable;
  bool caller_left;
  bool response_sent;
  bool drain_input;
  bool evicted;
  http_input_t input;
  bool in_request;
  bool in_body;
  uint32_t extensions;
  bool ended_by_us;
  http_server_end_reason_t end_reason;
  int64_t active_us;
  uint64_t body_limit_bytes;
  uint64_t header_limit_bytes;
  int64_t idle_since_us;
  uint32_t idle_limit_ms;
  GList idle_link;
};

/**
 * struct http_server_call - a request that has not been answered
 * @path: copied by the first http_server_path()
 * @query: parsed by the first http_server_query_value()
 * @begun: the head of a streamed response has been queued
 * @full: http_server_send_part() has returned false, and the callback of http_server_on_writable()
 *   has not run since
 */
struct http_server_call
{
  http_server_conn_t *conn;
  struct evhttp_request *request;
  char *path;
  struct evkeyvalq query;
  bool query_parsed;
  bool begun;
  bool full;
  void (*on_disconnect) (void *context);
  void *gone_context;
  void (*on_writable) (void *context);
  void *room_context;
};

/** http_server_may_accept() - whether a connection may be taken now */
bool http_server_may_accept (const http_server_t *http_server);
/** http_server_set_accepting() - has the listener accept connections, if http_server_may_accept(),
 * or none */
void http_server_set_accepting (http_server_t *http_server, bool accepting);
/** http_server_idle_limit_ms() - the idle timeout for a connection that is opened or answered now
 */
uint32_t http_server_idle_limit_ms (const http_server_t *http_server);
/** http_server_has_waiting() - whether connections wait in the kernel's queue */
bool http_server_has_waiting (const http_server_t *http_server);
/** http_server_close_idle_later() - close the idle connections after %LIMIT_HTTP_STOP_LINGER_MS */
void http_server_close_idle_later (http_server_t *http_server);

/** http_server_set_incomplete() - so many bytes of a request have come */
void http_server_set_incomplete (http_server_conn_t *conn, uint64_t bytes);
/** http_server_set_whole() - the request is complete, with a body of so many bytes, or answered */
void http_server_set_whole (http_server_conn_t *conn, uint64_t bytes);
/** http_server_evict() - refuse the request that is being received */
void http_server_evict (http_server_conn_t *conn);
/** http_server_evict_incomplete() - likewise, the longest ones, to get within the limit on memory
 */
void http_server_evict_incomplete (http_server_t *http_server);
/** http_server_body_begins() - the head of a request has been read */
void http_server_body_begins (http_server_conn_t *conn);
/** http_server_body_ends() - the request is complete, or its connection ends */
void http_server_body_ends (http_server_conn_t *conn);
/** http_server_on_review_bodies() - callback of @review_bodies */
void http_server_on_review_bodies (evutil_socket_t fd, short what, void *context);

/** http_server_counts() - what is open */
connection_counts_t http_server_counts (const http_server_t *http_server);
/** http_server_has_room() - whether a connection more is within the limits */
bool http_server_has_room (const http_server_t *http_server);
/** http_server_is_short() - whether answers are to bear "Connection: close" */
bool http_server_is_short (const http_server_t *http_server);
/** http_server_want_room() - make room for new connections, if it lacks */
void http_server_want_room (http_server_t *http_server);
/** http_server_on_make_room() - callback of @make_room */
void http_server_on_make_room (evutil_socket_t fd, short what, void *context);
/** http_server_on_accept_again() - callback of @accept_again */
void http_server_on_accept_again (evutil_socket_t fd, short what, void *context);
/** http_server_on_accept_error() - callback of the listener; a connection could not be taken */
void http_server_on_accept_error (struct evconnlistener *listener, void *context);
/** http_server_note_idle() - the connection has become idle */
void http_server_note_idle (http_server_conn_t *conn);
/** http_server_note_in_use() - the connection is not idle any more */
void http_server_note_in_use (http_server_conn_t *conn);

/** http_server_conn_new() - callback of evhttp that creates the bufferevent of an accepted
 * connection */
struct bufferevent *http_server_conn_new (struct event_base *base, void *context);
/** http_server_handle_request() - callback of evhttp for a complete request */
void http_server_handle_request (struct evhttp_request *request, void *context);
/** http_server_conn_defer() - run the connection's pending work outside of libevent's callbacks */
void http_server_conn_defer (http_server_conn_t *conn);
/** http_server_conn_end() - close and free the connection; only outside of libevent's callbacks */
void http_server_conn_end (http_server_conn_t *conn, http_server_end_reason_t reason);
/** http_server_conn_set_limits() - set the limits of the next request */
void
http_server_conn_set_limits (http_server_conn_t *conn, uint64_t body_bytes, uint64_t header_bytes);
/** http_server_conn_raise_limits() - apply limits that were raised, also to a request that is being
 * read and to the time that the connection has been idle; lowered ones apply from the next request
 * on */
void http_server_conn_raise_limits (http_server_conn_t *conn);
/** http_server_conn_is_idle() - whether no byte of a request or response is in a buffer or in the
 * socket */
bool http_server_conn_is_idle (http_server_conn_t *conn);
/** http_server_conn_has_part() - whether all that has arrived is read and is a part of a request */
bool http_server_conn_has_part (const http_server_conn_t *conn);
/** http_server_conn_attach() - find the evhttp connection of a new connection. Return: false when
 * evhttp has dropped it; it is freed then */
bool http_server_conn_attach (http_server_conn_t *conn);
/** http_server_conn_dup_fd() - duplicate the socket, once. Return: the duplicate, -1 when that
 * failed */
evutil_socket_t http_server_conn_dup_fd (http_server_conn_t *conn);

http_server_call_t *http_server_call_new (http_server_conn_t *conn, struct evhttp_request *request);
void http_server_call_free (http_server_call_t *call);

/** http_server_check_request() - reject a request that is malformed or over a limit. Return: true
 * when it was rejected and @call has ended */
bool http_server_check_request (http_server_call_t *call);
/** http_server_replace_error_page() - replace an error page that libevent has queued by a JSON
 * error body */
void http_server_replace_error_page (http_server_conn_t *conn);

/** http_server_reject_incomplete() - reject an incomplete request by the response for @reason; the
 * caller then closes the connection */
void http_server_reject_incomplete (http_server_conn_t *conn, http_server_end_reason_t reason);
/** http_server_reject_left() - tell a client that closed, perhaps its own side only, that it gets
 * no other answer to its request, if no byte of one was sent; the caller then closes the
 * connection.
 * @is_unread: the request was not passed on */
void http_server_reject_left (http_server_conn_t *conn, bool is_unread);

/** http_server_note_end() - count and report the end of a connection whose socket is still open */
void http_server_note_end (http_server_conn_t *conn);

/** http_server_drain_start() - take over @fd: discard its input, within limits, and close it */
void http_server_drain_start (http_server_t *http_server, evutil_socket_t fd);
void http_server_drain_free (http_server_drain_t *drain);

#endif
