/**
 * DOC: http_server_internal
 *
 * Declarations shared by the files of the HTTP server: the server, its connections and their calls.
 *
 * Ownership: evhttp owns its connection and reports its end by the close callback, which also frees
 * the hsv_conn. A call belongs to its connection. It is freed when it is answered or when the
 * connection ends, whichever happens first.
 */
#ifndef CONNECTION_HTTP_SERVER_INTERNAL_H
#define CONNECTION_HTTP_SERVER_INTERNAL_H

#include "connection/http_server.h"

#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>

typedef struct hsv_conn hsv_conn_t;
typedef struct hsv_drain hsv_drain_t;

/** hsv_refused_t - why the server rejected a request; label of a metric */
typedef enum
{
  HSV_REFUSED_BODY,        /* the body, or the sum of incomplete requests, is over its limit */
  HSV_REFUSED_HEADERS,     /* headers over their limit in bytes or number */
  HSV_REFUSED_CONNECTIONS, /* connection over the limit */
  HSV_REFUSED_BAD,         /* malformed or unsupported */
  HSV_REFUSED_SLOW,        /* not received within the time limit */
  HSV_REFUSED_COUNT
} hsv_refused_t;

/**
 * struct hsv - a server
 * @new_conns: connections by bufferevent, before evhttp has attached an evhttp connection to it
 * @conns: connections by evhttp connection
 * @drains: sockets of rejected clients whose remaining input is read and discarded
 * @unlisten: closes the listening socket one iteration of the event loop after hsv_stop()
 * @close_idle: closes the idle connections %LIM_HTTP_STOP_LINGER_MS after hsv_stop()
 * @incomplete_bytes: received bytes of all requests that are not complete
 * @open_count: all connections
 * @busy_count: connections with a request whose response has not been sent completely
 * @closing: responses have "Connection: close"
 * @paused: the listener accepts no connections
 */
struct hsv
{
  hsv_options_t options;
  struct timeval idle_timeout;
  struct timeval request_timeout;
  struct evhttp *http;
  struct evhttp_bound_socket *bound;
  GHashTable *new_conns;
  GHashTable *conns;
  GHashTable *drains;
  struct event *unlisten;
  struct event *close_idle;
  uint64_t incomplete_bytes;
  uint32_t open_count;
  uint32_t busy_count;
  bool stopping;
  bool closing;
  bool paused;
  cnt_t *connections;
  cnt_t *requests;
  cnt_t *gone;
  cnt_t *bad_headers;
  cnt_t *refused[HSV_REFUSED_COUNT];
};

/**
 * struct hsv_conn - a connection of a client
 * @evcon: NULL until hsv_conn_adopt()
 * @deferred: runs work that must not run inside a callback of libevent
 * @request_timer: closes the connection when receiving a request takes too long
 * @disconnect_watch: detects that the client closes while a call is pending, on @dup_fd
 * @dup_fd: duplicate of the socket, -1 if there is none
 * @request: the request in progress, as long as libevent may leave it to us to free
 * @read_bytes: bytes consumed from the input since the last response
 * @incomplete_bytes: received bytes of a request that is not complete
 * @busy: from a complete request to the last byte of its response
 * @over_limit: opened over the connection limit; its request is rejected
 * @closing: to be closed by @deferred
 * @close_by_reset: to be closed by a reset, since an end of file would look like a complete
 *   response
 * @check_error_page: libevent may have queued an error page of its own
 * @notify_writable: the queue has shrunk; the call's callback is to be run
 * @drain_input: read and discard what the client still sends before the socket is closed
 * @evicted: its incomplete request is rejected by 503, to get below the limit on their sum
 */
struct hsv_conn
{
  hsv_t *hsv;
  struct bufferevent *bev;
  struct evhttp_connection *evcon;
  struct evbuffer_cb_entry *input_cb;
  struct evbuffer_cb_entry *output_cb;
  struct event *deferred;
  struct event *request_timer;
  struct event *disconnect_watch;
  evutil_socket_t dup_fd;
  struct evhttp_request *request;
  hsv_call_t *call;
  uint64_t read_bytes;
  uint64_t incomplete_bytes;
  bool busy;
  bool over_limit;
  bool closing;
  bool close_by_reset;
  bool check_error_page;
  bool notify_writable;
  bool drain_input;
  bool evicted;
};

/**
 * struct hsv_call - a request that has not been answered
 * @path: copied by the first hsv_path()
 * @query: parsed by the first hsv_query()
 * @begun: the head of a streamed response has been queued
 * @full: hsv_part() has returned false, and the callback of hsv_on_room() has not run since
 */
struct hsv_call
{
  hsv_conn_t *conn;
  struct evhttp_request *request;
  char *path;
  struct evkeyvalq query;
  bool query_parsed;
  bool begun;
  bool full;
  void (*gone) (void *context);
  void *gone_context;
  void (*room) (void *context);
  void *room_context;
};

/** hsv_linger() - close the idle connections after %LIM_HTTP_STOP_LINGER_MS */
void hsv_linger (hsv_t *hsv);

/** hsv_conn_make() - callback of evhttp that creates the bufferevent of an accepted connection */
struct bufferevent *hsv_conn_make (struct event_base *base, void *context);
/** hsv_conn_take() - callback of evhttp for a complete request */
void hsv_conn_take (struct evhttp_request *request, void *context);
/** hsv_conn_soon() - run the connection's pending work outside of libevent's callbacks */
void hsv_conn_soon (hsv_conn_t *conn);
/** hsv_conn_idle() - whether no byte of a request or response is in a buffer or in the socket */
bool hsv_conn_idle (hsv_conn_t *conn);
/** hsv_conn_adopt() - find the evhttp connection of a new connection. Return: false when evhttp has
 * dropped it; it is freed then */
bool hsv_conn_adopt (hsv_conn_t *conn);
/** hsv_conn_dup() - duplicate the socket, once. Return: the duplicate, -1 when that failed */
evutil_socket_t hsv_conn_dup (hsv_conn_t *conn);

hsv_call_t *hsv_call_new (hsv_conn_t *conn, struct evhttp_request *request);
void hsv_call_free (hsv_call_t *call);

/** hsv_check() - reject a request that is malformed or over a limit. Return: true when it was
 * rejected and @call has ended */
bool hsv_check (hsv_call_t *call);
/** hsv_restyle() - replace an error page that libevent has queued by a JSON error body */
void hsv_restyle (hsv_conn_t *conn);

/** hsv_turn_away() - reject an incomplete request by 503; the caller then closes the connection */
void hsv_turn_away (hsv_conn_t *conn);

/** hsv_drain_start() - take over @fd: discard its input, within limits, and close it */
void hsv_drain_start (hsv_t *hsv, evutil_socket_t fd);
void hsv_drain_free (hsv_drain_t *drain);

#endif
