/**
 * DOC: http_client_internal
 *
 * Declarations shared by the files of the HTTP client: the pool, its connections and their calls.
 *
 * Ownership: the context of libevent's callbacks is the connection (hcl_conn), never the call. A
 * call is unlinked from its connection when it ends, so later callbacks of libevent for it are
 * ignored. A connection is freed only by its own event, outside of libevent's callbacks.
 */
#ifndef CONNECTION_HTTP_CLIENT_INTERNAL_H
#define CONNECTION_HTTP_CLIENT_INTERNAL_H

#include "connection/http_client.h"

#include <event2/bufferevent.h>
#include <event2/http.h>
#include <glib.h>

typedef struct hcl_conn hcl_conn_t;

/**
 * struct hcl - client of one task
 * @idle_limit: maximum number of idle connections per address
 * @idle_timeout: after which an idle connection is closed
 * @connect_limit: time limit for connecting
 * @idle: queue of idle connections for each address (key of hcl_conn), most recently used first
 * @conns: set of all connections
 * @calls: set of all calls
 */
struct hcl
{
  struct event_base *base;
  uint32_t idle_limit;
  struct timeval idle_timeout;
  struct timeval connect_limit;
  GHashTable *idle;
  GHashTable *conns;
  GHashTable *calls;
};

/**
 * struct hcl_conn - a connection to a peer
 * @key: "IP PORT" of the peer
 * @event: the connect timeout, later the idle timeout; also frees a closed connection
 * @call: the current call; NULL when idle
 * @idle_since_us: time at which it was returned to the pool, on the monotonic clock
 * @connecting: not connected yet
 * @closed: must not be used again; @event is about to free it
 */
struct hcl_conn
{
  hcl_t *hcl;
  char *key;
  struct evhttp_connection *evcon;
  struct bufferevent *bev;
  struct event *event;
  hcl_call_t *call;
  int64_t idle_since_us;
  bool connecting;
  bool closed;
};

/**
 * struct hcl_call - one request in flight
 * @conn: NULL after the call has ended
 * @event: the timeout; after the call has ended, delivers @end
 * @sent: a byte of the request may have been sent
 * @head_received: the head of the response was accepted and passed on
 * @paused: reading the response is stopped
 */
struct hcl_call
{
  hcl_t *hcl;
  hcl_conn_t *conn;
  struct event *event;
  char *check_name;
  char *check_value;
  bool (*on_head) (int status, struct evkeyvalq *headers, void *context);
  void (*on_data) (struct evbuffer *data, void *context);
  void (*on_end) (const hcl_end_t *end, void *context);
  void *context;
  enum evhttp_cmd_type method;
  hcl_end_t end;
  bool sent;
  bool head_received;
  bool paused;
  bool until_close;
};

/** hcl_conn_take() - get an idle connection that the peer has not closed and that has been idle for
 * at most @idle_limit_us, or else a new one */
hcl_conn_t *hcl_conn_take (hcl_t *hcl, const set_address_t *address, uint64_t idle_limit_us);
/** hcl_conn_give() - return a connection to the pool, or close it if it can't be used again */
void hcl_conn_give (hcl_conn_t *conn);
/** hcl_conn_close() - stop using a connection; its event frees it, outside of libevent's callbacks
 */
void hcl_conn_close (hcl_conn_t *conn);
/** hcl_conn_free() - free a connection at once; only outside of libevent's callbacks */
void hcl_conn_free (hcl_conn_t *conn);

/** hcl_call_unconnected() - end a call whose connection was not established in time */
void hcl_call_unconnected (hcl_call_t *call);

#endif
