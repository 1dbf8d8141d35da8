/* A TCP proxy on loopback whose connections can be delayed, reset, cut one way or silenced. */
#include "soak.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <string.h>
#include <sys/socket.h>

#define DELAY_MS 150

struct sok_proxy
{
  struct event_base *base;
  set_address_t to;
  struct evconnlistener *listener;
  sok_mode_t mode;
  GHashTable *pairs; /* pair_t */
};

/** struct pair - a connection through the proxy */
typedef struct
{
  sok_proxy_t *proxy;
  struct bufferevent *ends[2]; /* towards the caller, towards the other side */
  struct event *later;
} pair_t;

static void
pair_free (gpointer data)
{
  pair_t *pair = data;

  bufferevent_free (pair->ends[0]);
  bufferevent_free (pair->ends[1]);
  event_free (pair->later);
  g_free (pair);
}

static void
reset_end (struct bufferevent *end)
{
  struct linger linger = { 1, 0 };

  setsockopt (bufferevent_getfd (end), SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
}

static void
drop (pair_t *pair, bool reset)
{
  if (reset)
    {
      reset_end (pair->ends[0]);
      reset_end (pair->ends[1]);
    }
  g_hash_table_remove (pair->proxy->pairs, pair);
}

static void
move (pair_t *pair, int from)
{
  evbuffer_add_buffer (bufferevent_get_output (pair->ends[1 - from]),
                       bufferevent_get_input (pair->ends[from]));
}

static void
on_later (evutil_socket_t fd, short what, void *context)
{
  pair_t *pair = context;

  (void)fd;
  (void)what;
  move (pair, 0);
  move (pair, 1);
}

static void
on_read (struct bufferevent *end, void *context)
{
  pair_t *pair = context;
  int from = end == pair->ends[1];
  struct timeval delay = { 0, DELAY_MS * 1000 };

  switch (pair->proxy->mode)
    {
    case SOK_DELAY:
      if (!evtimer_pending (pair->later, NULL))
        event_add (pair->later, &delay);
      return;
    case SOK_SILENT:
      return;
    case SOK_ONE_WAY:
      if (from == 1)
        return;
      break;
    default:
      break;
    }
  move (pair, from);
}

static void
on_event (struct bufferevent *end, short what, void *context)
{
  pair_t *pair = context;

  (void)end;
  if ((what & BEV_EVENT_CONNECTED) != 0 || pair->proxy->mode == SOK_SILENT)
    return;
  if ((what & BEV_EVENT_ERROR) != 0)
    drop (pair, true);
  else
    {
      /* an end of file ends the other side once what came before has left */
      move (pair, end == pair->ends[1]);
      bufferevent_flush (pair->ends[end != pair->ends[1]], EV_WRITE, BEV_FINISHED);
      drop (pair, false);
    }
}

static struct sockaddr_in
sockaddr_of (const set_address_t *address)
{
  struct sockaddr_in name = { .sin_family = AF_INET, .sin_port = htons (address->port) };

  inet_pton (AF_INET, address->ip, &name.sin_addr);
  return name;
}

static void
on_accept (struct evconnlistener *listener,
           evutil_socket_t fd,
           struct sockaddr *from,
           int bytes,
           void *context)
{
  sok_proxy_t *proxy = context;
  struct sockaddr_in to = sockaddr_of (&proxy->to);
  pair_t *pair = g_new0 (pair_t, 1);

  (void)listener;
  (void)from;
  (void)bytes;
  pair->proxy = proxy;
  pair->ends[0] = bufferevent_socket_new (proxy->base, fd, BEV_OPT_CLOSE_ON_FREE);
  pair->ends[1] = bufferevent_socket_new (proxy->base, -1, BEV_OPT_CLOSE_ON_FREE);
  pair->later = evtimer_new (proxy->base, on_later, pair);
  g_hash_table_add (proxy->pairs, pair);
  if (proxy->mode == SOK_RESET)
    {
      drop (pair, true);
      return;
    }
  for (int i = 0; i < 2; i++)
    {
      bufferevent_setcb (pair->ends[i], on_read, NULL, on_event, pair);
      bufferevent_enable (pair->ends[i], EV_READ | EV_WRITE);
    }
  if (bufferevent_socket_connect (pair->ends[1], (struct sockaddr *)&to, sizeof to) != 0)
    drop (pair, true);
}

sok_proxy_t *
sok_proxy_new (struct event_base *base, const set_address_t *listen, const set_address_t *to)
{
  sok_proxy_t *proxy = g_new0 (sok_proxy_t, 1);
  struct sockaddr_in name = sockaddr_of (listen);
  unsigned flags = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE;

  proxy->base = base;
  proxy->to = *to;
  proxy->pairs = g_hash_table_new_full (NULL, NULL, pair_free, NULL);
  proxy->listener = evconnlistener_new_bind (base, on_accept, proxy, flags, 128,
                                             (struct sockaddr *)&name, sizeof name);
  g_assert (proxy->listener);
  return proxy;
}

void
sok_proxy_free (sok_proxy_t *proxy)
{
  evconnlistener_free (proxy->listener);
  g_hash_table_destroy (proxy->pairs);
  g_free (proxy);
}

/* Connections that were silenced stay so, as they do on the users' platform; the others go on. */
void
sok_proxy_set (sok_proxy_t *proxy, sok_mode_t mode)
{
  GList *pairs = g_hash_table_get_keys (proxy->pairs);
  bool was_silent = proxy->mode == SOK_SILENT || proxy->mode == SOK_ONE_WAY;

  proxy->mode = mode;
  for (GList *link = pairs; link; link = link->next)
    {
      pair_t *pair = link->data;

      if (mode == SOK_RESET)
        drop (pair, true);
      else if (was_silent)
        {
          bufferevent_disable (pair->ends[0], EV_READ);
          bufferevent_disable (pair->ends[1], EV_READ);
        }
    }
  g_list_free (pairs);
}
