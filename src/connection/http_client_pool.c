#include "connection/http_client_internal.h"
#include "connection/socket.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>

/* Disables libevent's own timeouts, which would cut slow responses; those of the call and the pool
 * apply instead */
static const struct timeval never_timeout = { 365 * 24 * 3600, 0 };

static char *
address_key (const address_t *address)
{
  return g_strdup_printf ("%s %u", address->ip, address->port);
}

static void
remove_from_pool (http_client_conn_t *conn)
{
  GQueue *queue = g_hash_table_lookup (conn->http_client->idle, conn->key);

  if (!queue)
    return;
  g_queue_remove (queue, conn);
  if (g_queue_is_empty (queue))
    g_hash_table_remove (conn->http_client->idle, conn->key);
}

/* After a plain close the kernel goes on sending the rest of a request that nobody waits for, and a
 * peer that was cut off or silent would run it seconds later. */
static void
discard_unsent (http_client_conn_t *conn)
{
  evutil_socket_t fd = bufferevent_getfd (conn->bev);

  if (conn->abandoned && fd >= 0 && socket_has_unacknowledged (fd))
    socket_reset (fd);
}

void
http_client_conn_free (http_client_conn_t *conn)
{
  remove_from_pool (conn);
  discard_unsent (conn);
  read_pace_leave (&conn->pace, &conn->http_client->read_share);
  conn->closed = true;
  g_hash_table_remove (conn->http_client->conns, conn);
  evhttp_connection_set_closecb (conn->evcon, NULL, NULL);
  evbuffer_remove_cb_entry (bufferevent_get_input (conn->bev), conn->input_cb);
  evhttp_connection_free (conn->evcon);
  event_free (conn->event);
  event_free (conn->resume);
  event_free (conn->hold);
  g_free (conn->key);
  g_free (conn);
}

/* Runs after the timeout for connecting, for a response head or for idle connections, or when the
 * connection was closed */
static void
on_event (evutil_socket_t fd, short what, void *context)
{
  http_client_conn_t *conn = context;

  (void)fd;
  (void)what;
  if (conn->call && conn->connecting)
    http_client_call_connect_failed (conn->call);
  else if (conn->call)
    http_client_cut_call (conn->call);
  http_client_conn_free (conn);
}

/* A bufferevent freezes its output buffer against changes from outside, hence the unfreeze */
static void
discard_output (http_client_conn_t *conn)
{
  struct evbuffer *output = bufferevent_get_output (conn->bev);

  evbuffer_unfreeze (output, 1);
  evbuffer_drain (output, evbuffer_get_length (output));
  evbuffer_freeze (output, 1);
}

void
http_client_conn_close (http_client_conn_t *conn)
{
  remove_from_pool (conn);
  conn->closed = true;
  read_pace_leave (&conn->pace, &conn->http_client->read_share);
  /* From here on the caller may free the request body, so nothing more of it may be sent;
   * on_output() covers the case that libevent enables the bufferevent again */
  bufferevent_disable (conn->bev, EV_READ | EV_WRITE);
  event_active (conn->event, EV_TIMEOUT, 0);
}

/* libevent has closed the socket: after an error, because the peer asked for it, or while idle */
static void
on_close (struct evhttp_connection *evcon, void *context)
{
  http_client_conn_t *conn = context;

  (void)evcon;
  conn->closed = true;
  if (!conn->call)
    http_client_conn_close (conn);
}

/*
 * Bytes added to the output mean that the connection is established. Bytes removed from it have
 * been sent, unless libevent empties the buffer after it has closed the socket.
 */
static void
on_output (struct evbuffer *buffer, const struct evbuffer_cb_info *info, void *context)
{
  http_client_conn_t *conn = context;
  evutil_socket_t fd = bufferevent_getfd (conn->bev);

  (void)buffer;
  /* If a connection is established in the same iteration of the event loop in which it was closed
   * here, libevent still enables it and writes the request, whose body may have been freed. */
  if (conn->closed && info->n_added > 0)
    discard_output (conn);
  if (conn->closed)
    return;
  if (info->n_added > 0 && conn->connecting)
    {
      conn->connecting = false;
      socket_set_client_options (fd);
      event_del (conn->event);
    }
  if (info->n_deleted > 0 && conn->call && fd >= 0)
    conn->call->sent = true;
}

static uint64_t
monotonic_us (void)
{
  return (uint64_t)g_get_monotonic_time ();
}

void
http_client_conn_update_reading (http_client_conn_t *conn)
{
  bool is_paused = conn->call && conn->call->paused;

  if (conn->closed)
    return;
  if (is_paused)
    read_pace_leave (&conn->pace, &conn->http_client->read_share);
  if (is_paused || conn->pace.tokens_bytes < 0)
    bufferevent_disable (conn->bev, EV_READ);
  else
    bufferevent_enable (conn->bev, EV_READ);
}

static void
resume_after (http_client_conn_t *conn, uint64_t wait_us)
{
  struct timeval wait = { (time_t)(wait_us / CLOCK_US_PER_S),
                          (suseconds_t)(wait_us % CLOCK_US_PER_S) };

  event_add (conn->resume, &wait);
}

static void
on_resume (evutil_socket_t fd, short what, void *context)
{
  http_client_conn_t *conn = context;
  uint64_t wait_us =
      read_pace_wait_us (&conn->pace, &conn->http_client->read_share, monotonic_us ());

  (void)fd;
  (void)what;
  if (wait_us > 0)
    resume_after (conn, wait_us);
  else
    http_client_conn_update_reading (conn);
}

static void
on_hold (evutil_socket_t fd, short what, void *context)
{
  http_client_conn_t *conn = context;

  (void)fd;
  (void)what;
  bufferevent_disable (conn->bev, EV_READ);
}

/* After status 100 evhttp acts as if it wrote the request once more, and fails the call when it
 * reads the end of the connection meanwhile, though the whole response came before it. It enables
 * reading itself, now and when it is ready; this runs in between, before the socket is polled. */
void
http_client_conn_hold (http_client_conn_t *conn)
{
  event_active (conn->hold, EV_TIMEOUT, 0);
}

void
http_client_conn_spend (http_client_conn_t *conn, uint64_t cost_bytes)
{
  uint64_t wait_us =
      read_pace_spend (&conn->pace, &conn->http_client->read_share, monotonic_us (), cost_bytes);

  if (wait_us == 0)
    return;
  resume_after (conn, wait_us);
  http_client_conn_update_reading (conn);
}

/* The head of a response has a time limit from its first byte: one sent a byte at a time would
 * keep the call until its deadline, too late to ask another upstream */
static void
watch_head (http_client_conn_t *conn, bool was_started)
{
  struct timeval limit = { LIMIT_HTTP_HEAD_MS / 1000, LIMIT_HTTP_HEAD_MS % 1000 * 1000 };

  if (conn->input.head_started && !was_started)
    event_add (conn->event, &limit);
  else if (!conn->input.head_started && was_started)
    event_del (conn->event);
}

/* Runs before evhttp sees the bytes */
static void
on_input (struct evbuffer *buffer, const struct evbuffer_cb_info *info, void *context)
{
  http_client_conn_t *conn = context;
  bool was_started = conn->input.head_started;
  uint64_t lines_before = conn->input.lines;

  if (info->n_added == 0 || conn->closed || !conn->call)
    return;
  conn->call->received_bytes += info->n_added;
  conn->call->heard_turn = ++conn->http_client->turns;
  if (!http_input_read_last (&conn->input, buffer, info->n_added))
    {
      if (conn->input.state == HTTP_INPUT_INVALID)
        http_client_call_bad_answer (conn->call);
      else
        http_client_cut_call (conn->call);
      return;
    }
  watch_head (conn, was_started);
  http_client_conn_spend (conn, info->n_added + (conn->input.lines - lines_before) *
                                                    LIMIT_HTTP_LINE_COST_BYTES);
}

/* A response that comes before its request is sent stays unread by evhttp, so the buffer is
 * limited; it holds any chunk within its limit, as evhttp passes on whole ones. */
void
http_client_conn_expect (http_client_conn_t *conn, uint32_t answer_limit_bytes)
{
  uint64_t chunk_bytes = MAX (answer_limit_bytes, LIMIT_HTTP_CHUNK_BYTES);

  http_input_init (&conn->input,
                   &(http_input_limits_t){ .is_response = true,
                                           .head_bytes = LIMIT_HTTP_RESPONSE_HEADER_BYTES,
                                           .head_lines = LIMIT_HTTP_RESPONSE_LINES,
                                           .chunk_bytes = chunk_bytes });
  bufferevent_setwatermark (conn->bev, EV_READ, 0, chunk_bytes + LIMIT_HTTP_RESPONSE_HEADER_BYTES);
}

http_client_conn_t *
http_client_conn_open (http_client_t *http_client, const address_t *address)
{
  http_client_conn_t *conn = g_new0 (http_client_conn_t, 1);

  conn->http_client = http_client;
  conn->key = address_key (address);
  conn->connecting = true;
  conn->evcon = evhttp_connection_base_new (http_client->base, NULL, address->ip, address->port);
  g_assert (conn->evcon);
  conn->bev = evhttp_connection_get_bufferevent (conn->evcon);
  conn->event = evtimer_new (http_client->base, on_event, conn);
  conn->resume = evtimer_new (http_client->base, on_resume, conn);
  conn->hold = evtimer_new (http_client->base, on_hold, conn);
  conn->input_cb = evbuffer_add_cb (bufferevent_get_input (conn->bev), on_input, conn);
  read_pace_init (&conn->pace, monotonic_us ());
  event_add (conn->event, &http_client->connect_limit);
  evhttp_connection_set_retries (conn->evcon, 0);
  evhttp_connection_set_timeout_tv (conn->evcon, &never_timeout);
  evhttp_connection_set_max_headers_size (conn->evcon, LIMIT_HTTP_RESPONSE_HEADER_BYTES);
  evhttp_connection_set_closecb (conn->evcon, on_close, conn);
  evbuffer_add_cb (bufferevent_get_output (conn->bev), on_output, conn);
  g_hash_table_add (http_client->conns, conn);
  return conn;
}

/*
 * Whether an idle connection can be reused: the peer has neither closed it nor sent bytes, which
 * would be taken for the start of the next response. Checks the socket too, since the event loop
 * may not have noticed either of them yet.
 */
static bool
has_nothing_to_read (const http_client_conn_t *conn)
{
  evutil_socket_t fd = bufferevent_getfd (conn->bev);
  char byte;

  if (conn->closed || fd < 0)
    return false;
  if (evbuffer_get_length (bufferevent_get_input (conn->bev)) > 0)
    return false;
  return recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN;
}

/* A late copy of the response to a request can't be told from the response to the same request when
 * that is sent again. Return: NULL if there is none */
static http_client_conn_t *
find_idle (GQueue *queue, int64_t since_us, const char *id)
{
  for (GList *link = queue ? queue->head : NULL; link; link = link->next)
    {
      http_client_conn_t *conn = link->data;

      /* the queue is ordered by last use, so all others have been idle for longer */
      if (conn->idle_since_us < since_us)
        return NULL;
      if (*id == '\0' || strcmp (conn->last_id, id) != 0)
        return conn;
    }
  return NULL;
}

http_client_conn_t *
http_client_conn_acquire (http_client_t *http_client,
                          const address_t *address,
                          uint64_t idle_limit_us,
                          const char *id)
{
  int64_t now_us = g_get_monotonic_time ();
  int64_t since_us = now_us - (int64_t)MIN (idle_limit_us, (uint64_t)now_us);
  char *key = address_key (address);
  http_client_conn_t *conn;
  http_client_conn_t *found = NULL;

  while (!found && (conn = find_idle (g_hash_table_lookup (http_client->idle, key), since_us, id)))
    {
      remove_from_pool (conn);
      event_del (conn->event);
      conn->idle_us = now_us - conn->idle_since_us;
      conn->was_kept = true;
      if (has_nothing_to_read (conn))
        found = conn;
      else
        http_client_conn_close (conn);
    }
  g_free (key);
  return found ? found : http_client_conn_open (http_client, address);
}

void
http_client_conn_release (http_client_conn_t *conn)
{
  http_client_t *http_client = conn->http_client;
  GQueue *queue;

  if (conn->closed)
    {
      http_client_conn_close (conn);
      return;
    }
  queue = g_hash_table_lookup (http_client->idle, conn->key);
  if (!queue)
    {
      queue = g_queue_new ();
      g_hash_table_insert (http_client->idle, g_strdup (conn->key), queue);
    }
  conn->idle_since_us = g_get_monotonic_time ();
  conn->idle_since_turn = ++http_client->turns;
  read_pace_leave (&conn->pace, &conn->http_client->read_share);
  http_client_conn_update_reading (conn);
  g_queue_push_head (queue, conn);
  event_add (conn->event, &http_client->idle_timeout);
  if (g_queue_get_length (queue) > http_client->idle_limit)
    http_client_conn_close (g_queue_peek_tail (queue));
}

void
http_client_close_idle (http_client_t *http_client, const address_t *address)
{
  g_autofree char *key = address_key (address);
  GQueue *queue;

  /* closing the last connection removes the queue from the table */
  while ((queue = g_hash_table_lookup (http_client->idle, key)))
    http_client_conn_close (g_queue_peek_head (queue));
}

/* The queue is ordered by last use. Closing the last connection removes it from the table. */
void
http_client_close_older_idle (http_client_call_t *call)
{
  GQueue *queue;

  while (call->conn && (queue = g_hash_table_lookup (call->http_client->idle, call->conn->key)))
    {
      http_client_conn_t *oldest = g_queue_peek_tail (queue);

      if (oldest->idle_since_turn > call->heard_turn)
        return;
      http_client_conn_close (oldest);
    }
}
