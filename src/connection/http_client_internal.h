/**
 * DOC: http_client_internal
 *
 * What the files of the HTTP client share: the pool, its connections and the calls on them.
 *
 * Ownership: the callbacks of the library get the connection (hcl_conn), never the call. A call is
 * unlinked from its connection when it ends, so whatever the library still tells is ignored. A
 * connection is freed only by its own event, outside the library's callbacks.
 */
#ifndef CONNECTION_HTTP_CLIENT_INTERNAL_H
#define CONNECTION_HTTP_CLIENT_INTERNAL_H

#include "connection/http_client.h"

#include <event2/bufferevent.h>
#include <event2/http.h>
#include <glib.h>

typedef struct hcl_conn hcl_conn_t;

/**
 * struct hcl - connections of one task
 * @idle: queues of idle connections by address; the one used last is at the head
 * @conns: all connections
 * @calls: all calls
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
 * @event: the connect timeout, then the idle timeout; frees the connection when it is closed
 * @call: the one call on it
 * @idle_since_us: when it was given back, on the monotonic clock
 * @fresh: not connected yet
 * @closed: not to be used again
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
  bool fresh;
  bool closed;
};

/**
 * struct hcl_call - one request in flight
 * @conn: NULL when the call has ended
 * @event: the timeout; delivers @end when the call has ended
 * @sent: a byte may have left for the peer
 * @headed: the head of the answer has been passed on
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
  bool headed;
  bool paused;
  bool until_close;
};

/** hcl_conn_take() - a connection idle for at most @idle_limit_us that the peer has not closed, or
 * a new one */
hcl_conn_t *hcl_conn_take (hcl_t *hcl, const set_address_t *address, uint64_t idle_limit_us);
/** hcl_conn_give() - back to the pool, or closed when it is not fit for another request */
void hcl_conn_give (hcl_conn_t *conn);
/** hcl_conn_close() - never used again; freed outside the library's callbacks */
void hcl_conn_close (hcl_conn_t *conn);
void hcl_conn_free (hcl_conn_t *conn);

/** hcl_call_unconnected() - end a call whose connection did not come about in time */
void hcl_call_unconnected (hcl_call_t *call);

#endif
