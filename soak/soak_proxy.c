/* A TCP proxy on loopback that can delay, reset, half-block or block its connections, and change
 * what it forwards. */
#include "soak.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <string.h>
#include <sys/socket.h>

#define DELAY_MS 150
#define FLOOD_BYTES (64 * 1024) /* queued at a time */

struct soak_proxy
{
  struct event_base *base;
  address_t target;
  struct evconnlistener *listener;
  soak_proxy_mode_t mode;
  const char *flood_begin;
  const char *flood_unit;
  void (*garble) (struct evbuffer *data, struct evbuffer *out, void *context);
  void *garble_context;
  GHashTable *conns; /* set of proxied_conn_t */
};

/** struct proxied_conn - a connection through the proxy */
typedef struct
{
  soak_proxy_t *proxy;
  struct bufferevent *ends[2]; /* towards the client, towards the target */
  struct event *delay_timer;
} proxied_conn_t;

static void
conn_free (gpointer data)
{
  proxied_conn_t *conn = data;

  bufferevent_free (conn->ends[0]);
  bufferevent_free (conn->ends[1]);
  event_free (conn->delay_timer);
  g_free (conn);
}

static void
set_reset_on_close (struct bufferevent *end)
{
  struct linger linger = { 1, 0 };

  setsockopt (bufferevent_getfd (end), SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
}

static void
close_conn (proxied_conn_t *conn, bool reset)
{
  if (reset)
    {
      set_reset_on_close (conn->ends[0]);
      set_reset_on_close (conn->ends[1]);
    }
  g_hash_table_remove (conn->proxy->conns, conn);
}

static void
forward (proxied_conn_t *conn, int from)
{
  evbuffer_add_buffer (bufferevent_get_output (conn->ends[1 - from]),
                       bufferevent_get_input (conn->ends[from]));
}

static void
on_delay_over (evutil_socket_t fd, short what, void *context)
{
  proxied_conn_t *conn = context;

  (void)fd;
  (void)what;
  forward (conn, 0);
  forward (conn, 1);
}

static void
on_flood_sent (struct bufferevent *end, void *context)
{
  const proxied_conn_t *conn = context;
  struct evbuffer *output = bufferevent_get_output (end);

  while (conn->proxy->mode == SOAK_PROXY_FLOOD && evbuffer_get_length (output) < FLOOD_BYTES)
    evbuffer_add (output, conn->proxy->flood_unit, strlen (conn->proxy->flood_unit));
}

static void on_event (struct bufferevent *end, short what, void *context);
static void on_read (struct bufferevent *end, void *context);

/* What the target sends is dropped, and the client gets bytes without end. */
static void
flood (proxied_conn_t *conn, int from)
{
  struct evbuffer *input = bufferevent_get_input (conn->ends[1]);

  if (from == 1)
    {
      evbuffer_drain (input, evbuffer_get_length (input));
      return;
    }
  forward (conn, 0);
  bufferevent_setcb (conn->ends[0], on_read, on_flood_sent, on_event, conn);
  bufferevent_write (conn->ends[0], conn->proxy->flood_begin, strlen (conn->proxy->flood_begin));
  on_flood_sent (conn->ends[0], conn);
}

static void
on_read (struct bufferevent *end, void *context)
{
  proxied_conn_t *conn = context;
  int from = end == conn->ends[1];
  struct timeval delay = { 0, DELAY_MS * 1000 };

  switch (conn->proxy->mode)
    {
    case SOAK_PROXY_DELAY:
      if (!evtimer_pending (conn->delay_timer, NULL))
        event_add (conn->delay_timer, &delay);
      return;
    case SOAK_PROXY_BLOCK:
      return;
    case SOAK_PROXY_FLOOD:
      flood (conn, from);
      return;
    case SOAK_PROXY_ONE_WAY:
      if (from == 1)
        return;
      break;
    case SOAK_PROXY_GARBLE:
      if (from == 1)
        conn->proxy->garble (bufferevent_get_input (end), bufferevent_get_output (conn->ends[0]),
                             conn->proxy->garble_context);
      break;
    default:
      break;
    }
  forward (conn, from);
}

static void
on_event (struct bufferevent *end, short what, void *context)
{
  proxied_conn_t *conn = context;

  (void)end;
  if ((what & BEV_EVENT_CONNECTED) != 0 || conn->proxy->mode == SOAK_PROXY_BLOCK)
    return;
  if ((what & BEV_EVENT_ERROR) != 0)
    close_conn (conn, true);
  else
    {
      /* At end of file, the other side is closed after the data received so far was written. */
      forward (conn, end == conn->ends[1]);
      bufferevent_flush (conn->ends[end != conn->ends[1]], EV_WRITE, BEV_FINISHED);
      close_conn (conn, false);
    }
}

static struct sockaddr_in
sockaddr_of (const address_t *address)
{
  struct sockaddr_in sockaddr = { .sin_family = AF_INET, .sin_port = htons (address->port) };

  inet_pton (AF_INET, address->ip, &sockaddr.sin_addr);
  return sockaddr;
}

static void
on_accept (struct evconnlistener *listener,
           evutil_socket_t fd,
           struct sockaddr *from,
           int bytes,
           void *context)
{
  soak_proxy_t *proxy = context;
  struct sockaddr_in target = sockaddr_of (&proxy->target);
  proxied_conn_t *conn = g_new0 (proxied_conn_t, 1);

  (void)listener;
  (void)from;
  (void)bytes;
  conn->proxy = proxy;
  conn->ends[0] = bufferevent_socket_new (proxy->base, fd, BEV_OPT_CLOSE_ON_FREE);
  conn->ends[1] = bufferevent_socket_new (proxy->base, -1, BEV_OPT_CLOSE_ON_FREE);
  conn->delay_timer = evtimer_new (proxy->base, on_delay_over, conn);
  g_hash_table_add (proxy->conns, conn);
  if (proxy->mode == SOAK_PROXY_RESET)
    {
      close_conn (conn, true);
      return;
    }
  for (int i = 0; i < 2; i++)
    {
      bufferevent_setcb (conn->ends[i], on_read, NULL, on_event, conn);
      bufferevent_enable (conn->ends[i], EV_READ | EV_WRITE);
    }
  if (bufferevent_socket_connect (conn->ends[1], (struct sockaddr *)&target, sizeof target) != 0)
    close_conn (conn, true);
}

soak_proxy_t *
soak_proxy_new (struct event_base *base, const address_t *listen, const address_t *target)
{
  soak_proxy_t *proxy = g_new0 (soak_proxy_t, 1);
  struct sockaddr_in listen_sockaddr = sockaddr_of (listen);
  unsigned flags = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE;

  proxy->base = base;
  proxy->target = *target;
  proxy->conns = g_hash_table_new_full (NULL, NULL, conn_free, NULL);
  proxy->listener =
      evconnlistener_new_bind (base, on_accept, proxy, flags, 128,
                               (struct sockaddr *)&listen_sockaddr, sizeof listen_sockaddr);
  g_assert (proxy->listener);
  return proxy;
}

void
soak_proxy_free (soak_proxy_t *proxy)
{
  evconnlistener_free (proxy->listener);
  g_hash_table_destroy (proxy->conns);
  g_free (proxy);
}

void
soak_proxy_set_flood (soak_proxy_t *proxy, const char *begin, const char *unit)
{
  proxy->flood_begin = begin;
  proxy->flood_unit = unit;
}

void
soak_proxy_set_garble (soak_proxy_t *proxy,
                       void (*garble) (struct evbuffer *data, struct evbuffer *out, void *context),
                       void *context)
{
  proxy->garble = garble;
  proxy->garble_context = context;
}

/* Connections that were blocked stay blocked when the fault ends, as on the users' platform;
 * connections made after it work. */
void
soak_proxy_set_mode (soak_proxy_t *proxy, soak_proxy_mode_t mode)
{
  GList *conns = g_hash_table_get_keys (proxy->conns);
  bool was_silent = proxy->mode == SOAK_PROXY_BLOCK || proxy->mode == SOAK_PROXY_ONE_WAY;
  bool was_flooded = proxy->mode == SOAK_PROXY_FLOOD;

  proxy->mode = mode;
  for (GList *link = conns; link; link = link->next)
    {
      proxied_conn_t *conn = link->data;

      if (mode == SOAK_PROXY_RESET || was_flooded)
        close_conn (conn, true);
      else if (was_silent)
        {
          bufferevent_disable (conn->ends[0], EV_READ);
          bufferevent_disable (conn->ends[1], EV_READ);
        }
    }
  g_list_free (conns);
}
