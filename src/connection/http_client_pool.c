#include "connection/http_client_internal.h"
#include "connection/socket.h"

#include <errno.h>
#include <sys/socket.h>

/* the library's own timeouts would cut a slow answer; those of the call and the pool decide */
static const struct timeval never = { 365 * 24 * 3600, 0 };

static char *
key_of (const set_address_t *address)
{
  return g_strdup_printf ("%s %u", address->ip, address->port);
}

static void
leave_pool (hcl_conn_t *conn)
{
  GQueue *queue = g_hash_table_lookup (conn->hcl->idle, conn->key);

  if (!queue)
    return;
  g_queue_remove (queue, conn);
  if (g_queue_is_empty (queue))
    g_hash_table_remove (conn->hcl->idle, conn->key);
}

void
hcl_conn_free (hcl_conn_t *conn)
{
  leave_pool (conn);
  conn->closed = true;
  g_hash_table_remove (conn->hcl->conns, conn);
  evhttp_connection_set_closecb (conn->evcon, NULL, NULL);
  evhttp_connection_free (conn->evcon);
  event_free (conn->event);
  g_free (conn->key);
  g_free (conn);
}

/* not connected in time, idle for too long, or closed */
static void
on_event (evutil_socket_t fd, short what, void *context)
{
  hcl_conn_t *conn = context;

  (void)fd;
  (void)what;
  if (conn->call)
    hcl_call_unconnected (conn->call);
  hcl_conn_free (conn);
}

/* a bufferevent keeps others from its output */
static void
empty_output (hcl_conn_t *conn)
{
  struct evbuffer *output = bufferevent_get_output (conn->bev);

  evbuffer_unfreeze (output, 1);
  evbuffer_drain (output, evbuffer_get_length (output));
  evbuffer_freeze (output, 1);
}

void
hcl_conn_close (hcl_conn_t *conn)
{
  leave_pool (conn);
  conn->closed = true;
  /* no byte of a body that the caller may free may leave from here on; see on_output() too */
  bufferevent_disable (conn->bev, EV_READ | EV_WRITE);
  event_active (conn->event, EV_TIMEOUT, 0);
}

/* the library has closed the socket: on an error, at the peer's wish, or idle */
static void
on_close (struct evhttp_connection *evcon, void *context)
{
  hcl_conn_t *conn = context;

  (void)evcon;
  conn->closed = true;
  if (!conn->call)
    hcl_conn_close (conn);
}

/*
 * Bytes put into the output mean that the connection stands. Bytes taken from it have left, unless
 * the library empties it after it has given the socket up.
 */
static void
on_output (struct evbuffer *buffer, const struct evbuffer_cb_info *info, void *context)
{
  hcl_conn_t *conn = context;
  evutil_socket_t fd = bufferevent_getfd (conn->bev);

  (void)buffer;
  /* A connection that comes about in the turn of the loop in which it is closed is written to all
   * the same: the library enables it again and puts the request into it, whose body may be gone. */
  if (conn->closed && info->n_added > 0)
    empty_output (conn);
  if (conn->closed)
    return;
  if (info->n_added > 0 && conn->fresh)
    {
      conn->fresh = false;
      sck_tune_client (fd);
      event_del (conn->event);
    }
  if (info->n_deleted > 0 && conn->call && fd >= 0)
    conn->call->sent = true;
}

static hcl_conn_t *
conn_new (hcl_t *hcl, const set_address_t *address)
{
  hcl_conn_t *conn = g_new0 (hcl_conn_t, 1);

  conn->hcl = hcl;
  conn->key = key_of (address);
  conn->fresh = true;
  conn->evcon = evhttp_connection_base_new (hcl->base, NULL, address->ip, address->port);
  g_assert (conn->evcon);
  conn->bev = evhttp_connection_get_bufferevent (conn->evcon);
  conn->event = evtimer_new (hcl->base, on_event, conn);
  event_add (conn->event, &hcl->connect_limit);
  evhttp_connection_set_retries (conn->evcon, 0);
  evhttp_connection_set_timeout_tv (conn->evcon, &never);
  evhttp_connection_set_max_headers_size (conn->evcon, LIM_HTTP_ANSWER_HEADER_BYTES);
  evhttp_connection_set_closecb (conn->evcon, on_close, conn);
  evbuffer_add_cb (bufferevent_get_output (conn->bev), on_output, conn);
  g_hash_table_add (hcl->conns, conn);
  return conn;
}

/*
 * Whether nothing has come on an idle connection: neither its close, nor bytes that the next answer
 * would begin with. The loop may not have seen them yet, so the socket itself is asked.
 */
static bool
is_silent (const hcl_conn_t *conn)
{
  evutil_socket_t fd = bufferevent_getfd (conn->bev);
  char byte;

  if (conn->closed || fd < 0)
    return false;
  if (evbuffer_get_length (bufferevent_get_input (conn->bev)) > 0)
    return false;
  return recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN;
}

hcl_conn_t *
hcl_conn_take (hcl_t *hcl, const set_address_t *address, uint64_t idle_limit_us)
{
  int64_t now_us = g_get_monotonic_time ();
  char *key = key_of (address);
  GQueue *queue;
  hcl_conn_t *taken = NULL;

  while (!taken && (queue = g_hash_table_lookup (hcl->idle, key)))
    {
      hcl_conn_t *conn = g_queue_peek_head (queue);

      /* the one used last is at the head: the others have been idle for longer */
      if ((uint64_t)(now_us - conn->idle_since_us) > idle_limit_us)
        break;
      leave_pool (conn);
      event_del (conn->event);
      if (is_silent (conn))
        taken = conn;
      else
        hcl_conn_close (conn);
    }
  g_free (key);
  return taken ? taken : conn_new (hcl, address);
}

void
hcl_conn_give (hcl_conn_t *conn)
{
  hcl_t *hcl = conn->hcl;
  GQueue *queue;

  if (conn->closed)
    {
      hcl_conn_close (conn);
      return;
    }
  queue = g_hash_table_lookup (hcl->idle, conn->key);
  if (!queue)
    {
      queue = g_queue_new ();
      g_hash_table_insert (hcl->idle, g_strdup (conn->key), queue);
    }
  conn->idle_since_us = g_get_monotonic_time ();
  g_queue_push_head (queue, conn);
  event_add (conn->event, &hcl->idle_timeout);
  if (g_queue_get_length (queue) > hcl->idle_limit)
    hcl_conn_close (g_queue_peek_tail (queue));
}

void
hcl_forget (hcl_t *hcl, const set_address_t *address)
{
  g_autofree char *key = key_of (address);
  GQueue *queue;

  /* closing the last one takes the queue away */
  while ((queue = g_hash_table_lookup (hcl->idle, key)))
    hcl_conn_close (g_queue_peek_head (queue));
}
