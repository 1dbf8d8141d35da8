#include "driver.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>

/* Bytes of a request, or of a response, that are passed on before its connection is closed. */
#define CUT_REQUEST_BYTES 40
#define CUT_RESPONSE_BYTES 700

struct drv_forward
{
  drv_t *drv;
  char *ip;
  char *target_ip;
  struct evconnlistener *listener;
  GPtrArray *connections; /* connection_t */
  drv_mode_t mode;
  char *match;
  uint32_t count;
  uint32_t hits;
};

/* A client connection and the server connection that it is forwarded to; @mode is the mode of the
 * current request. */
typedef struct
{
  drv_forward_t *forward;
  struct bufferevent *client;
  struct bufferevent *server;
  drv_mode_t mode;
  bool server_closed;  /* the server closed its connection while the response was held */
  bool response_begun; /* response bytes have arrived since the last request; the next bytes of the
                     client begin a request */
  size_t response_bytes;
} connection_t;

static void
connection_free (connection_t *connection)
{
  g_ptr_array_remove_fast (connection->forward->connections, connection);
  bufferevent_free (connection->client);
  bufferevent_free (connection->server);
  g_free (connection);
}

static void on_connection_event (struct bufferevent *bev, short what, void *context);

static void
on_flushed (struct bufferevent *bev, void *context)
{
  (void)bev;
  connection_free (context);
}

/* Stops reading from both sides and frees the connection once @last has written its output. */
static void
close_after_flush (connection_t *connection, struct bufferevent *last)
{
  struct bufferevent *idle_side =
      last == connection->client ? connection->server : connection->client;
  bufferevent_disable (connection->client, EV_READ);
  bufferevent_disable (connection->server, EV_READ);
  bufferevent_setcb (idle_side, NULL, NULL, NULL, NULL);
  if (evbuffer_get_length (bufferevent_get_output (last)) == 0)
    connection_free (connection);
  else
    bufferevent_setcb (last, NULL, on_flushed, on_connection_event, connection);
}

static bool
is_matching (const drv_forward_t *forward, struct evbuffer *in)
{
  return forward->match == NULL ||
         evbuffer_search (in, forward->match, strlen (forward->match), NULL).pos >= 0;
}

static void
begin_request (connection_t *connection, struct evbuffer *in)
{
  drv_forward_t *forward = connection->forward;
  connection->mode = DRV_PASS;
  connection->response_begun = false;
  connection->response_bytes = 0;
  if (forward->mode == DRV_PASS || !is_matching (forward, in))
    return;
  connection->mode = forward->mode;
  forward->hits++;
  if (forward->count > 0 && --forward->count == 0)
    forward->mode = DRV_PASS;
}

static void
on_client_read (struct bufferevent *bev, void *context)
{
  connection_t *connection = context;
  struct evbuffer *in = bufferevent_get_input (bev);
  if (connection->response_begun)
    begin_request (connection, in);
  if (connection->mode != DRV_CUT_DURING)
    {
      evbuffer_add_buffer (bufferevent_get_output (connection->server), in);
      return;
    }
  evbuffer_remove_buffer (in, bufferevent_get_output (connection->server), CUT_REQUEST_BYTES);
  close_after_flush (connection, connection->server);
}

static void
on_server_read (struct bufferevent *bev, void *context)
{
  connection_t *connection = context;
  struct evbuffer *in = bufferevent_get_input (bev);
  connection->response_begun = true;
  connection->response_bytes += evbuffer_get_length (in);
  if (connection->mode == DRV_HOLD)
    return;
  if (connection->mode == DRV_CUT_AFTER)
    {
      connection_free (connection);
      return;
    }
  evbuffer_add_buffer (bufferevent_get_output (connection->client), in);
  if (connection->mode == DRV_CUT_ANSWER && connection->response_bytes >= CUT_RESPONSE_BYTES)
    close_after_flush (connection, connection->client);
}

static void
on_connection_event (struct bufferevent *bev, short what, void *context)
{
  connection_t *connection = context;
  if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
    return;
  if (bev == connection->server && connection->mode == DRV_HOLD)
    connection->server_closed = true;
  else if (bev == connection->server)
    close_after_flush (connection, connection->client);
  else
    connection_free (connection);
}

static struct sockaddr_in
address_of (const char *ip)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (DRV_PORT) };
  inet_pton (AF_INET, ip, &address.sin_addr);
  return address;
}

static void
on_accept (struct evconnlistener *listener,
           evutil_socket_t fd,
           struct sockaddr *from,
           int from_bytes,
           void *context)
{
  drv_forward_t *forward = context;
  struct sockaddr_in target = address_of (forward->target_ip);
  connection_t *connection = g_new0 (connection_t, 1);
  (void)listener;
  (void)from;
  (void)from_bytes;
  connection->forward = forward;
  connection->response_begun = true;
  connection->client = bufferevent_socket_new (forward->drv->base, fd, BEV_OPT_CLOSE_ON_FREE);
  connection->server = bufferevent_socket_new (forward->drv->base, -1, BEV_OPT_CLOSE_ON_FREE);
  g_ptr_array_add (forward->connections, connection);
  bufferevent_setcb (connection->client, on_client_read, NULL, on_connection_event, connection);
  bufferevent_setcb (connection->server, on_server_read, NULL, on_connection_event, connection);
  bufferevent_enable (connection->client, EV_READ | EV_WRITE);
  bufferevent_enable (connection->server, EV_READ | EV_WRITE);
  if (bufferevent_socket_connect (connection->server, (struct sockaddr *)&target, sizeof target) !=
      0)
    connection_free (connection);
}

static void
listen_on (drv_forward_t *forward)
{
  struct sockaddr_in address = address_of (forward->ip);
  forward->listener = evconnlistener_new_bind (forward->drv->base, on_accept, forward,
                                               LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                               (struct sockaddr *)&address, sizeof address);
  if (forward->listener == NULL)
    drv_fail (forward->drv, "cannot listen on %s: %s", forward->ip, g_strerror (errno));
}

drv_forward_t *
drv_forward_new (drv_t *drv, const char *target_ip)
{
  drv_forward_t *forward = g_new0 (drv_forward_t, 1);
  forward->drv = drv;
  forward->ip = drv_next_ip (drv);
  forward->target_ip = g_strdup (target_ip);
  forward->connections = g_ptr_array_new ();
  g_ptr_array_add (drv->proxies, forward);
  listen_on (forward);
  return forward;
}

void
drv_forward_cut (drv_forward_t *forward)
{
  while (forward->connections->len > 0)
    connection_free (forward->connections->pdata[0]);
}

void
drv_forward_free (drv_forward_t *forward)
{
  drv_forward_cut (forward);
  g_ptr_array_free (forward->connections, TRUE);
  g_clear_pointer (&forward->listener, evconnlistener_free);
  g_free (forward->ip);
  g_free (forward->target_ip);
  g_free (forward->match);
  g_free (forward);
}

const char *
drv_forward_ip (const drv_forward_t *forward)
{
  return forward->ip;
}

/* Passes held responses on to their clients. */
static void
release_held_responses (drv_forward_t *forward)
{
  for (guint i = forward->connections->len; i-- > 0;)
    {
      connection_t *connection = forward->connections->pdata[i];
      if (connection->mode != DRV_HOLD)
        continue;
      connection->mode = DRV_PASS;
      evbuffer_add_buffer (bufferevent_get_output (connection->client),
                           bufferevent_get_input (connection->server));
      if (connection->server_closed)
        close_after_flush (connection, connection->client);
    }
}

void
drv_forward_set (drv_forward_t *forward, drv_mode_t mode, const char *match, uint32_t count)
{
  g_free (forward->match);
  forward->match = g_strdup (match);
  forward->mode = mode;
  forward->count = count;
  release_held_responses (forward);
  if (mode == DRV_CLOSED)
    {
      drv_forward_cut (forward);
      g_clear_pointer (&forward->listener, evconnlistener_free);
    }
  else if (forward->listener == NULL)
    listen_on (forward);
}

uint32_t
drv_forward_hits (const drv_forward_t *forward)
{
  return forward->hits;
}
