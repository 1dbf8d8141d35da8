/*
 * Room for new connections. Clients keep connections open for later requests; without this a server
 * at its limit takes no new one until they close some.
 */
#include "base/log.h"
#include "connection/http_server_internal.h"

#include <errno.h>

connection_counts_t
http_server_counts (const http_server_t *http_server)
{
  return (connection_counts_t){ .connections = http_server->open_count,
                                .duplicates = http_server->duplicate_count,
                                .busy = http_server->busy_count };
}

static connection_limits_t
limits_of (const http_server_t *http_server)
{
  return (connection_limits_t){ .connections = http_server->options.connection_limit,
                                .files = http_server->options.file_limit };
}

bool
http_server_has_room (const http_server_t *http_server)
{
  connection_counts_t counts = http_server_counts (http_server);
  connection_limits_t limits = limits_of (http_server);

  return connection_room_left (&limits, &counts) > 0;
}

bool
http_server_is_short (const http_server_t *http_server)
{
  connection_counts_t counts = http_server_counts (http_server);
  connection_limits_t limits = limits_of (http_server);

  return connection_room_is_short (&limits, &counts);
}

static uint32_t
count_to_close (const http_server_t *http_server)
{
  connection_counts_t counts = http_server_counts (http_server);
  connection_limits_t limits = limits_of (http_server);

  return connection_room_to_close (&limits, &counts);
}

void
http_server_note_idle (http_server_conn_t *conn)
{
  http_server_note_in_use (conn);
  conn->idle_link.data = conn;
  g_queue_push_tail_link (&conn->http_server->idle_conns, &conn->idle_link);
  http_server_want_room (conn->http_server);
}

void
http_server_note_in_use (http_server_conn_t *conn)
{
  if (!conn->idle_link.data)
    return;
  g_queue_unlink (&conn->http_server->idle_conns, &conn->idle_link);
  conn->idle_link.data = NULL;
}

/* Return: time until the connection may be closed for others */
static uint64_t
wait_us (const http_server_conn_t *conn)
{
  uint64_t idle_us = (uint64_t)(g_get_monotonic_time () - conn->idle_since_us);

  return CONNECTION_ROOM_IDLE_US - MIN (idle_us, CONNECTION_ROOM_IDLE_US);
}

void
http_server_want_room (http_server_t *http_server)
{
  const http_server_conn_t *first = g_queue_peek_head (&http_server->idle_conns);
  struct timeval wait = { 0, 0 };

  if (!first || http_server->stopping || http_server->freeing ||
      evtimer_pending (http_server->make_room, NULL) || count_to_close (http_server) == 0)
    return;
  wait.tv_usec = (suseconds_t)wait_us (first);
  event_add (http_server->make_room, &wait);
}

/* One with bytes in its socket stays: they are about to be read. */
static void
close_longest_idle (http_server_t *http_server)
{
  GList *link = http_server->idle_conns.head;

  while (link && count_to_close (http_server) > 0)
    {
      http_server_conn_t *conn = link->data;

      if (wait_us (conn) > 0)
        return;
      link = link->next;
      if (conn->evcon && http_server_conn_is_idle (conn))
        http_server_conn_end (conn, HTTP_SERVER_END_ROOM);
    }
}

void
http_server_on_make_room (evutil_socket_t fd, short what, void *context)
{
  http_server_t *http_server = context;

  (void)fd;
  (void)what;
  if (http_server->stopping)
    return;
  close_longest_idle (http_server);
  http_server_set_accepting (http_server, true);
  http_server_want_room (http_server);
}

/* While no file is free the listener would call again at once. evhttp sets its context, so this
 * can't tell the server, which enables the listener again. */
void
http_server_on_accept_error (struct evconnlistener *listener, void *context)
{
  int error_number = errno;

  (void)context;
  evconnlistener_disable (listener);
  log_event (LOG_LEVEL_WARNING, "accept_failed", "error", g_strerror (error_number), NULL);
}

void
http_server_on_accept_again (evutil_socket_t fd, short what, void *context)
{
  http_server_t *http_server = context;

  (void)fd;
  (void)what;
  if (http_server->bound && !http_server->paused)
    evconnlistener_enable (evhttp_bound_socket_get_listener (http_server->bound));
}

bool
http_server_review_room (http_server_t *http_server, uint64_t now_us)
{
  connection_counts_t counts = http_server_counts (http_server);
  connection_limits_t limits = limits_of (http_server);

  return connection_room_review (&http_server->room, now_us, &limits, &counts, http_server->taken);
}

bool
http_server_is_full (const http_server_t *http_server)
{
  return http_server->room.is_full;
}
