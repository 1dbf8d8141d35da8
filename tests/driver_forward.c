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
  drv_forward_t *proxy;
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
  g_ptr_array_remove_fast (connection->proxy->connections, connection);
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
is_matching (const drv_forward_t *proxy, struct evbuffer *in)
{
  return proxy->match == NULL ||
         evbuffer_search (in, proxy->match, strlen (proxy->match), NULL).pos >= 0;
}

static void
begin_request (connection_t *connection, struct evbuffer *in)
{
  drv_forward_t *proxy = connection->proxy;
  connection->mode = DRV_PASS;
  connection->response_begun = false;
  connection->response_bytes = 0;
  if (proxy->mode == DRV_PASS || !is_matching (proxy, in))
    return;
  connection->mode = proxy->mode;
  proxy->hits++;
  if (proxy->count > 0 && --proxy->count == 0)
    proxy->mode = DRV_PASS;
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
  drv_forward_t *proxy = context;
  struct sockaddr_in target = address_of (proxy->target_ip);
  connection_t *connection = g_new0 (connection_t, 1);
  (void)listener;
  (void)from;
  (void)from_bytes;
  connection->proxy = proxy;
  connection->response_begun = true;
  connection->client = bufferevent_socket_new (proxy->drv->base, fd, BEV_OPT_CLOSE_ON_FREE);
  connection->server = bufferevent_socket_new (proxy->drv->base, -1, BEV_OPT_CLOSE_ON_FREE);
  g_ptr_array_add (proxy->connections, connection);
  bufferevent_setcb (connection->client, on_client_read, NULL, on_connection_event, connection);
  bufferevent_setcb (connection->server, on_server_read, NULL, on_connection_event, connection);
  bufferevent_enable (connection->client, EV_READ | EV_WRITE);
  bufferevent_enable (connection->server, EV_READ | EV_WRITE);
  if (bufferevent_socket_connect (connection->server, (struct sockaddr *)&target, sizeof target) !=
      0)
    connection_free (connection);
}

static void
listen_on (drv_forward_t *proxy)
{
  struct sockaddr_in address = address_of (proxy->ip);
  proxy->listener = evconnlistener_new_bind (proxy->drv->base, on_accept, proxy,
                                             LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                             (struct sockaddr *)&address, sizeof address);
  if (proxy->listener == NULL)
    drv_fail (proxy->drv, "cannot listen on %s: %s", proxy->ip, g_strerror (errno));
}

drv_forward_t *
drv_forward_new (drv_t *drv, const char *target_ip)
{
  drv_forward_t *proxy = g_new0 (drv_forward_t, 1);
  proxy->drv = drv;
  proxy->ip = drv_next_ip (drv);
  proxy->target_ip = g_strdup (target_ip);
  proxy->connections = g_ptr_array_new ();
  g_ptr_array_add (drv->proxies, proxy);
  listen_on (proxy);
  return proxy;
}

void
drv_forward_cut (drv_forward_t *proxy)
{
  while (proxy->connections->len > 0)
    connection_free (proxy->connections->pdata[0]);
}

void
drv_forward_free (drv_forward_t *proxy)
{
  drv_forward_cut (proxy);
  g_ptr_array_free (proxy->connections, TRUE);
  g_clear_pointer (&proxy->listener, evconnlistener_free);
  g_free (proxy->ip);
  g_free (proxy->target_ip);
  g_free (proxy->match);
  g_free (proxy);
}

const char *
drv_forward_ip (const drv_forward_t *proxy)
{
  return proxy->ip;
}

/* Passes held responses on to their clients. */
static void
release_held_responses (drv_forward_t *proxy)
{
  for (guint i = proxy->connections->len; i-- > 0;)
    {
      connection_t *connection = proxy->connections->pdata[i];
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
drv_forward_set (drv_forward_t *proxy, drv_mode_t mode, const char *match, uint32_t count)
{
  g_free (proxy->match);
  proxy->match = g_strdup (match);
  proxy->mode = mode;
  proxy->count = count;
  release_held_responses (proxy);
  if (mode == DRV_CLOSED)
    {
      drv_forward_cut (proxy);
      g_clear_pointer (&proxy->listener, evconnlistener_free);
    }
  else if (proxy->listener == NULL)
    listen_on (proxy);
}

uint32_t
drv_forward_hits (const drv_forward_t *proxy)
{
  return proxy->hits;
}
