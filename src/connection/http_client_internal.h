/**
 * DOC: http_client_internal
 *
 * Declarations shared by the files of the HTTP client: the pool, its connections and their calls.
 *
 * Ownership: the context of libevent's callbacks is the connection (http_client_conn), never the
 * call. A call is unlinked from its connection when it ends, so later callbacks of libevent for it
 * are ignored. A connection is freed only by its own event, outside of libevent's callbacks.
 */
#ifndef CONNECTION_HTTP_CLIENT_INTERNAL_H
#define CONNECTION_HTTP_CLIENT_INTERNAL_H

#include "connection/http_client.h"
#include "connection/http_input.h"
#include "connection/read_pace.h"

#include <event2/bufferevent.h>
#include <event2/http.h>
#include <glib.h>

#define HTTP_CLIENT_LOGGED_ID_BYTES 64

typedef struct http_client_conn http_client_conn_t;

/** http_client_error_t - what libevent reports when a connection fails under a call */
typedef enum
{
  HTTP_CLIENT_ERROR_NONE,
  HTTP_CLIENT_ERROR_CLOSED, /* by the peer */
  HTTP_CLIENT_ERROR_RESET,  /* by the peer, or by the kernel after a time without it */
  HTTP_CLIENT_ERROR_ANSWER  /* bytes that are no response, or one over a limit */
} http_client_error_t;

/**
 * struct http_client - client of one task
 * @idle_limit: maximum number of idle connections per address
 * @idle_timeout: after which an idle connection is closed
 * @connect_limit: time limit for connecting
 * @idle: queue of idle connections for each address (key of http_client_conn), most recently used
 *   first
 * @conns: set of all connections
 * @calls: set of all calls
 * @turns: counts the begins and ends of calls, and what they read, to compare their order
 * @read_share: how much all connections read
 */
struct http_client
{
  struct event_base *base;
  uint32_t idle_limit;
  struct timeval idle_timeout;
  struct timeval connect_limit;
  GHashTable *idle;
  GHashTable *conns;
  GHashTable *calls;
  uint64_t turns;
  read_share_t read_share;
};

/**
 * struct http_client_conn - a connection to a peer
 * @key: "IP PORT" of the peer
 * @event: the connect timeout, later that of a response head or the idle timeout; also frees a
 *   closed connection
 * @resume: resumes reading after a pause to limit the rate
 * @hold: stops reading after a head of status 1xx
 * @input_cb: observes what is read
 * @input: what the current response has brought
 * @pace: limits what is read, on the monotonic clock
 * @call: the current call; NULL when idle
 * @idle_since_us: time at which it was returned to the pool, on the monotonic clock
 * @idle_since_turn: likewise, in turns of the client
 * @connecting: not connected yet
 * @closed: must not be used again; @event is about to free it
 * @abandoned: its call was given up
 * @was_kept: the current call did not open it
 * @last_id: request id of the latest call, "" for none
 * @idle_us: how long it had been idle before the current call
 * @error: what libevent reported last for the current call
 */
struct http_client_conn
{
  http_client_t *http_client;
  char *key;
  struct evhttp_connection *evcon;
  struct bufferevent *bev;
  struct event *event;
  struct event *resume;
  struct event *hold;
  struct evbuffer_cb_entry *input_cb;
  http_client_call_t *call;
  http_input_t input;
  read_pace_t pace;
  int64_t idle_since_us;
  uint64_t idle_since_turn;
  bool connecting;
  bool closed;
  bool abandoned;
  bool was_kept;
  char last_id[HTTP_CLIENT_LOGGED_ID_BYTES];
  int64_t idle_us;
  http_client_error_t error;
};

/**
 * struct http_client_call - one request in flight
 * @conn: NULL after the call has ended
 * @event: the timeout; after the call has ended, delivers @result
 * @sent: a byte of the request may have been sent
 * @head_received: the head of the response was accepted and passed on
 * @paused: reading the response is stopped
 * @id: value of X-Request-Id, "" for none; the end of a call without one is not logged
 * @started_us: on the monotonic clock
 * @due_us: likewise, of the timeout; 0 for none
 * @heard_turn: turn of the client in which bytes of the response came last, or the call began
 * @received_bytes: of the response, with its head
 * @given_up: http_client_cut_call() ended it
 */
struct http_client_call
{
  http_client_t *http_client;
  http_client_conn_t *conn;
  struct event *event;
  char *check_name;
  char *check_value;
  bool (*on_head) (int status, struct evkeyvalq *headers, void *context);
  void (*on_data) (struct evbuffer *data, void *context);
  void (*on_end) (const http_client_result_t *end, void *context);
  void *context;
  enum evhttp_cmd_type method;
  http_client_result_t result;
  bool sent;
  bool head_received;
  bool paused;
  bool until_close;
  char id[HTTP_CLIENT_LOGGED_ID_BYTES];
  int64_t started_us;
  int64_t due_us;
  uint64_t heard_turn;
  uint64_t received_bytes;
  bool given_up;
};

/** http_client_conn_open() - open a connection */
http_client_conn_t *http_client_conn_open (http_client_t *http_client, const address_t *address);
/** http_client_conn_acquire() - get an idle connection that the peer has not closed and that has
 * been idle for at most @idle_limit_us, or else a new one. The latest call on it had another
 * request id than @id, unless that is "" */
http_client_conn_t *http_client_conn_acquire (http_client_t *http_client,
                                              const address_t *address,
                                              uint64_t idle_limit_us,
                                              const char *id);
/** http_client_conn_release() - return a connection to the pool, or close it if it can't be used
 * again */
void http_client_conn_release (http_client_conn_t *conn);
/** http_client_conn_close() - stop using a connection; its event frees it, outside of libevent's
 * callbacks
 */
void http_client_conn_close (http_client_conn_t *conn);
/** http_client_conn_free() - free a connection at once; only outside of libevent's callbacks */
void http_client_conn_free (http_client_conn_t *conn);

/** http_client_conn_expect() - prepare for the response to a new call */
void http_client_conn_expect (http_client_conn_t *conn, uint32_t answer_limit_bytes);
/** http_client_conn_update_reading() - read, or don't while the call or the rate limit pauses it */
void http_client_conn_update_reading (http_client_conn_t *conn);

/** http_client_conn_spend() - count the cost of what was read, and pause reading beyond the pace */
void http_client_conn_spend (http_client_conn_t *conn, uint64_t cost_bytes);

/** http_client_conn_hold() - read no more until evhttp is ready for the next head */
void http_client_conn_hold (http_client_conn_t *conn);

/** http_client_call_connect_failed() - end a call whose connection was not established in time */
void http_client_call_connect_failed (http_client_call_t *call);
/** http_client_call_bad_answer() - end a call that got bytes that are no response; it may have run
 */
void http_client_call_bad_answer (http_client_call_t *call);

#endif
