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

struct driver_proxy
{
  driver_t *driver;
  char *ip;
  char *target_ip;
  struct evconnlistener *listener;
  GPtrArray *connections; /* connection_t */
  driver_proxy_mode_t mode;
  char *match;
  uint32_t count;
  uint32_t hits;
};

/* A client connection and the server connection that it is forwarded to; @mode is the mode of the
 * current request. */
typedef struct
{
  driver_proxy_t *proxy;
  struct bufferevent *client;
  struct bufferevent *server;
  driver_proxy_mode_t mode;
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
is_matching (const driver_proxy_t *proxy, struct evbuffer *in)
{
  return proxy->match == NULL ||
         evbuffer_search (in, proxy->match, strlen (proxy->match), NULL).pos >= 0;
}

static void
begin_request (connection_t *connection, struct evbuffer *in)
{
  driver_proxy_t *proxy = connection->proxy;
  connection->mode = DRIVER_PROXY_PASS;
  connection->response_begun = false;
  connection->response_bytes = 0;
  if (proxy->mode == DRIVER_PROXY_PASS || !is_matching (proxy, in))
    return;
  connection->mode = proxy->mode;
  proxy->hits++;
  if (proxy->count > 0 && --proxy->count == 0)
    proxy->mode = DRIVER_PROXY_PASS;
}

static void
on_client_read (struct bufferevent *bev, void *context)
{
  connection_t *connection = context;
  struct evbuffer *in = bufferevent_get_input (bev);
  if (connection->response_begun)
    begin_request (connection, in);
  if (connection->mode != DRIVER_PROXY_CUT_REQUEST)
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
  if (connection->mode == DRIVER_PROXY_HOLD_RESPONSE)
    return;
  if (connection->mode == DRIVER_PROXY_DROP_RESPONSE)
    {
      connection_free (connection);
      return;
    }
  evbuffer_add_buffer (bufferevent_get_output (connection->client), in);
  if (connection->mode == DRIVER_PROXY_CUT_RESPONSE &&
      connection->response_bytes >= CUT_RESPONSE_BYTES)
    close_after_flush (connection, connection->client);
}

static void
on_connection_event (struct bufferevent *bev, short what, void *context)
{
  connection_t *connection = context;
  if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
    return;
  if (bev == connection->server && connection->mode == DRIVER_PROXY_HOLD_RESPONSE)
    connection->server_closed = true;
  else if (bev == connection->server)
    close_after_flush (connection, connection->client);
  else
    connection_free (connection);
}

static struct sockaddr_in
address_of (const char *ip)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (DRIVER_PORT) };
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
  driver_proxy_t *proxy = context;
  struct sockaddr_in target = address_of (proxy->target_ip);
  connection_t *connection = g_new0 (connection_t, 1);
  (void)listener;
  (void)from;
  (void)from_bytes;
  connection->proxy = proxy;
  connection->response_begun = true;
  connection->client = bufferevent_socket_new (proxy->driver->base, fd, BEV_OPT_CLOSE_ON_FREE);
  connection->server = bufferevent_socket_new (proxy->driver->base, -1, BEV_OPT_CLOSE_ON_FREE);
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
listen_on (driver_proxy_t *proxy)
{
  struct sockaddr_in address = address_of (proxy->ip);
  proxy->listener = evconnlistener_new_bind (proxy->driver->base, on_accept, proxy,
                                             LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                             (struct sockaddr *)&address, sizeof address);
  if (proxy->listener == NULL)
    driver_fail (proxy->driver, "cannot listen on %s: %s", proxy->ip, g_strerror (errno));
}

driver_proxy_t *
driver_proxy_new (driver_t *driver, const char *target_ip)
{
  driver_proxy_t *proxy = g_new0 (driver_proxy_t, 1);
  proxy->driver = driver;
  proxy->ip = driver_next_ip (driver);
  proxy->target_ip = g_strdup (target_ip);
  proxy->connections = g_ptr_array_new ();
  g_ptr_array_add (driver->proxies, proxy);
  listen_on (proxy);
  return proxy;
}

void
driver_proxy_close_connections (driver_proxy_t *proxy)
{
  while (proxy->connections->len > 0)
    connection_free (proxy->connections->pdata[0]);
}

void
driver_proxy_free (driver_proxy_t *proxy)
{
  driver_proxy_close_connections (proxy);
  g_ptr_array_free (proxy->connections, TRUE);
  g_clear_pointer (&proxy->listener, evconnlistener_free);
  g_free (proxy->ip);
  g_free (proxy->target_ip);
  g_free (proxy->match);
  g_free (proxy);
}

const char *
driver_proxy_ip (const driver_proxy_t *proxy)
{
  return proxy->ip;
}

/* Passes held responses on to their clients. */
static void
release_held_responses (driver_proxy_t *proxy)
{
  for (guint i = proxy->connections->len; i-- > 0;)
    {
      connection_t *connection = proxy->connections->pdata[i];
      if (connection->mode != DRIVER_PROXY_HOLD_RESPONSE)
        continue;
      connection->mode = DRIVER_PROXY_PASS;
      evbuffer_add_buffer (bufferevent_get_output (connection->client),
                           bufferevent_get_input (connection->server));
      if (connection->server_closed)
        close_after_flush (connection, connection->client);
    }
}

void
driver_proxy_set_mode (driver_proxy_t *proxy,
                       driver_proxy_mode_t mode,
                       const char *match,
                       uint32_t count)
{
  g_free (proxy->match);
  proxy->match = g_strdup (match);
  proxy->mode = mode;
  proxy->count = count;
  release_held_responses (proxy);
  if (mode == DRIVER_PROXY_CLOSED)
    {
      driver_proxy_close_connections (proxy);
      g_clear_pointer (&proxy->listener, evconnlistener_free);
    }
  else if (proxy->listener == NULL)
    listen_on (proxy);
}

uint32_t
driver_proxy_hits (const driver_proxy_t *proxy)
{
  return proxy->hits;
}
