/*
 * Memory of requests: those that come, and those that wait for their answer. Reading of bodies
 * stops while there is no room for them, and is refused where that takes too long.
 */
#include "connection/http_server_internal.h"

static void
schedule_review (http_server_t *http_server)
{
  event_active (http_server->review_bodies, EV_TIMEOUT, 0);
}

/* Updates the server's sum too */
static void
set_bytes (http_server_conn_t *conn, uint64_t incomplete_bytes, uint64_t whole_bytes)
{
  http_server_t *http_server = conn->http_server;
  uint64_t limit_bytes = http_server->options.held_limit_bytes;
  uint64_t before_bytes = http_server->held_bytes;

  http_server->held_bytes += incomplete_bytes - conn->incomplete_bytes;
  http_server->held_bytes += whole_bytes - conn->whole_bytes;
  http_server->whole_bytes += whole_bytes - conn->whole_bytes;
  conn->incomplete_bytes = incomplete_bytes;
  conn->whole_bytes = whole_bytes;
  if (http_server->freeing)
    return;
  if (body_room_is_short (limit_bytes, http_server->held_bytes) ||
      (http_server->waiting_bodies > 0 && http_server->held_bytes < before_bytes))
    schedule_review (http_server);
}

void
http_server_set_incomplete (http_server_conn_t *conn, uint64_t bytes)
{
  set_bytes (conn, bytes, conn->whole_bytes);
}

void
http_server_set_whole (http_server_conn_t *conn, uint64_t bytes)
{
  set_bytes (conn, 0, bytes);
}

static http_server_conn_t *
find_largest_incomplete (http_server_t *http_server)
{
  uint64_t most_bytes = body_room_small_bytes (http_server->options.held_limit_bytes);
  http_server_conn_t *largest = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, http_server->conns);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      http_server_conn_t *conn = value;

      if (conn->evicted || conn->incomplete_bytes <= most_bytes)
        continue;
      largest = conn;
      most_bytes = conn->incomplete_bytes;
    }
  return largest;
}

void
http_server_evict (http_server_conn_t *conn)
{
  conn->evicted = true;
  http_server_set_incomplete (conn, 0);
  bufferevent_disable (conn->bev, EV_READ);
  http_server_conn_defer (conn);
}

/* While some wait, the first ones are read on beyond the limit, see body_room. */
static uint64_t
eviction_bytes (const http_server_t *http_server)
{
  const http_server_options_t *options = &http_server->options;

  return options->held_limit_bytes +
         (http_server->waiting_bodies > 0 ? 2 * (uint64_t)options->body_limit_bytes : 0);
}

/*
 * Guards against clients that send most of a long body on each of many connections, before their
 * API key is checked, to exhaust the host's memory. The largest incomplete requests are evicted
 * first, so that short requests of others are not affected.
 */
void
http_server_evict_incomplete (http_server_t *http_server)
{
  http_server_conn_t *largest;

  while (http_server->held_bytes > eviction_bytes (http_server) &&
         (largest = find_largest_incomplete (http_server)))
    http_server_evict (largest);
}

void
http_server_body_begins (http_server_conn_t *conn)
{
  if (conn->body_link.data)
    return;
  conn->body_link.data = conn;
  conn->wait_left_us = (int64_t)LIMIT_HTTP_BODY_WAIT_MS * CLOCK_US_PER_MS;
  g_queue_push_tail_link (&conn->http_server->bodies, &conn->body_link);
}

void
http_server_body_ends (http_server_conn_t *conn)
{
  if (!conn->body_link.data)
    return;
  g_queue_unlink (&conn->http_server->bodies, &conn->body_link);
  conn->body_link.data = NULL;
  conn->http_server->waiting_bodies -= conn->body_waits;
  conn->body_waits = false;
}

static void
set_timer (http_server_conn_t *conn, int64_t left_us)
{
  int64_t wait_us = MAX (left_us, 0);
  struct timeval wait = { (time_t)(wait_us / G_USEC_PER_SEC),
                          (suseconds_t)(wait_us % G_USEC_PER_SEC) };

  event_add (conn->read_timer, &wait);
}

/* The time limit on a body is on its client's part of the time. */
static void
set_waiting (http_server_conn_t *conn, bool waits)
{
  int64_t now_us = g_get_monotonic_time ();

  if (conn->body_waits == waits)
    return;
  conn->body_waits = waits;
  if (waits)
    {
      conn->http_server->waiting_bodies++;
      bufferevent_disable (conn->bev, EV_READ);
      conn->body_left_us = conn->body_due_us - now_us;
      conn->waits_since_us = now_us;
      set_timer (conn, conn->wait_left_us);
      return;
    }
  conn->http_server->waiting_bodies--;
  conn->wait_left_us -= now_us - conn->waits_since_us;
  conn->body_due_us = now_us + conn->body_left_us;
  set_timer (conn, conn->body_left_us);
  bufferevent_enable (conn->bev, EV_READ);
}

static uint64_t
length_of (const http_server_conn_t *conn)
{
  uint64_t declared_bytes = conn->input.declared_bytes;

  if (conn->input.chunked)
    return conn->body_limit_bytes;
  return MIN (declared_bytes, conn->body_limit_bytes);
}

void
http_server_on_review_bodies (evutil_socket_t fd, short what, void *context)
{
  http_server_t *http_server = context;
  body_room_t room;

  (void)fd;
  (void)what;
  body_room_init (&room, http_server->options.held_limit_bytes, http_server->held_bytes,
                  http_server->whole_bytes);
  for (GList *link = http_server->bodies.head; link; link = link->next)
    {
      http_server_conn_t *conn = link->data;

      if (conn->evcon && !conn->evicted)
        set_waiting (conn, !body_room_may_read (&room, length_of (conn), conn->incomplete_bytes));
    }
}
