#include "load_idle.h"

#include <event2/bufferevent.h>
#include <arpa/inet.h>
#include <glib.h>

/** struct idle_counts - connections that were opened, and that the server closed */
typedef struct
{
  uint32_t opened;
  uint32_t closed;
} idle_counts_t;

static void
stop_loop (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  event_base_loopbreak (arg);
}

static void
on_connection_event (struct bufferevent *bev, short what, void *arg)
{
  idle_counts_t *counts = arg;
  (void)bev;
  counts->opened += (what & BEV_EVENT_CONNECTED) != 0 ? 1 : 0;
  counts->closed += (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0 ? 1 : 0;
}

void
load_idle_run (const load_options_t *options, struct event_base *base)
{
  idle_counts_t counts = { 0, 0 };
  load_side_t side =
      options->target_count[LOAD_SIDE_ROUTERS] > 0 ? LOAD_SIDE_ROUTERS : LOAD_SIDE_ENGINES;
  struct timeval time = { (time_t)options->time_s, 0 };
  struct event *timer = evtimer_new (base, stop_loop, base);
  for (uint32_t i = 0; i < options->idle; i++)
    {
      const address_t *address = &options->targets[side][i % options->target_count[side]];
      struct sockaddr_in sin = { .sin_family = AF_INET, .sin_port = htons (address->port) };
      inet_pton (AF_INET, address->ip, &sin.sin_addr);
      struct bufferevent *bev = bufferevent_socket_new (base, -1, BEV_OPT_CLOSE_ON_FREE);
      bufferevent_setcb (bev, NULL, NULL, on_connection_event, &counts);
      bufferevent_enable (bev, EV_READ);
      bufferevent_socket_connect (bev, (struct sockaddr *)&sin, sizeof sin);
    }
  event_add (timer, &time);
  event_base_dispatch (base);
  event_free (timer);
  g_print ("idle connections: %u opened, %u closed by the other side\n", counts.opened,
           counts.closed);
}
