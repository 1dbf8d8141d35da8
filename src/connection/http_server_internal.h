/**
 * DOC: http_server_internal
 *
 * What the files of the HTTP listener share: the listener, its connections and the calls on them.
 *
 * Ownership: evhttp owns its connection and tells of its end by the close callback, where the
 * hsv_conn ends too. A call belongs to its connection and ends when it is answered or, before
 * that, with the connection; so it is freed once, whichever comes first.
 */
#ifndef CONNECTION_HTTP_SERVER_INTERNAL_H
#define CONNECTION_HTTP_SERVER_INTERNAL_H

#include "connection/http_server.h"

#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>

typedef struct hsv_conn hsv_conn_t;
typedef struct hsv_drain hsv_drain_t;

typedef enum
{
  HSV_REFUSED_BODY,
  HSV_REFUSED_HEADERS,
  HSV_REFUSED_CONNECTIONS,
  HSV_REFUSED_BAD,
  HSV_REFUSED_SLOW,
  HSV_REFUSED_COUNT
} hsv_refused_t;

/**
 * struct hsv - a listener
 * @fresh: connections by bufferevent that evhttp has not yet been seen to take
 * @conns: connections by evhttp connection
 * @drains: sockets of refused callers that are read out
 * @unlisten: closes the listening socket one turn of the loop after hsv_stop()
 * @linger: closes the idle connections some time after hsv_stop()
 * @closing: answers say that the connection closes
 * @coming_bytes: of requests that are not whole yet
 * @busy_count: connections with a request whose answer has not left whole
 */
struct hsv
{
  hsv_options_t options;
  struct timeval idle_timeout;
  struct timeval request_timeout;
  struct evhttp *http;
  struct evhttp_bound_socket *bound;
  GHashTable *fresh;
  GHashTable *conns;
  GHashTable *drains;
  struct event *unlisten;
  struct event *linger;
  uint64_t coming_bytes;
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
 * struct hsv_conn - a connection of a caller
 * @evcon: NULL until the connection is adopted
 * @soon: runs what must not run inside a callback of the library
 * @late: closes the connection when a request takes too long to come
 * @watch: sees the caller close while a call waits, on @watch_fd, a duplicate of the socket
 * @request: the request in progress, while the library may leave it to us to free
 * @busy: from a whole request to the last byte of its answer
 * @over: opened over the limit; to be refused
 * @doomed: to be closed by @soon
 * @reset: to be closed by a reset, since an end of file would look like a whole answer
 * @page: the library may have queued an error page of its own
 * @room_due: the queue has drained; the call is to be told
 * @linger: read out what the caller still sends before the socket is closed
 * @read_bytes: read from the input since the last answer
 * @coming_bytes: that came of a request which is not whole yet
 * @crowded: to be answered by 503, so that others have room
 */
struct hsv_conn
{
  hsv_t *hsv;
  struct bufferevent *bev;
  struct evhttp_connection *evcon;
  struct evbuffer_cb_entry *input_cb;
  struct evbuffer_cb_entry *output_cb;
  struct event *soon;
  struct event *late;
  struct event *watch;
  evutil_socket_t watch_fd;
  struct evhttp_request *request;
  hsv_call_t *call;
  uint64_t read_bytes;
  uint64_t coming_bytes;
  bool busy;
  bool over;
  bool doomed;
  bool reset;
  bool page;
  bool room_due;
  bool linger;
  bool crowded;
};

/**
 * struct hsv_call - a request that is not answered yet
 * @query: parsed by the first hsv_query()
 * @begun: the head of a streamed answer has been queued
 * @full: hsv_part() has returned false and room has not been told since
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

/** hsv_linger() - close the idle connections after a while */
void hsv_linger (hsv_t *hsv);

/** hsv_conn_make() - evhttp asks for the bufferevent of a connection that it accepted */
struct bufferevent *hsv_conn_make (struct event_base *base, void *context);
/** hsv_conn_take() - evhttp passes on a whole request */
void hsv_conn_take (struct evhttp_request *request, void *context);
/** hsv_conn_soon() - run the connection's pending work outside the library's callbacks */
void hsv_conn_soon (hsv_conn_t *conn);
/** hsv_conn_idle() - whether no byte of a request or an answer is under way */
bool hsv_conn_idle (hsv_conn_t *conn);
/** hsv_conn_adopt() - Return: false when evhttp did not take the connection; it is freed then */
bool hsv_conn_adopt (hsv_conn_t *conn);
/** hsv_conn_dup() - the duplicate of the socket; -1 when there is none to be had */
evutil_socket_t hsv_conn_dup (hsv_conn_t *conn);

hsv_call_t *hsv_call_new (hsv_conn_t *conn, struct evhttp_request *request);
void hsv_call_free (hsv_call_t *call);

/** hsv_check() - refuse a request that goes over a limit or is malformed. Return: true when it is
 * refused and @call has ended */
bool hsv_check (hsv_call_t *call);
/** hsv_restyle() - replace an error page that the library queued by ours */
void hsv_restyle (hsv_conn_t *conn);

/** hsv_turn_away() - answer by 503 in the middle of a request; the connection is to be closed
 * after that */
void hsv_turn_away (hsv_conn_t *conn);

/** hsv_drain_start() - takes @fd over: reads it out, within limits, and closes it */
void hsv_drain_start (hsv_t *hsv, evutil_socket_t fd);
void hsv_drain_free (hsv_drain_t *drain);

#endif
