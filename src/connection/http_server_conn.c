#define _GNU_SOURCE /* POLLRDHUP */
#include "connection/http_server_internal.h"
#include "connection/socket.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

evutil_socket_t
http_server_conn_dup_fd (http_server_conn_t *conn)
{
  if (conn->dup_fd >= 0)
    return conn->dup_fd;
  conn->dup_fd = fcntl (bufferevent_getfd (conn->bev), F_DUPFD_CLOEXEC, 0);
  conn->http_server->duplicate_count += conn->dup_fd >= 0;
  return conn->dup_fd;
}

void
http_server_set_accepting (http_server_t *http_server, bool accepting)
{
  struct evconnlistener *listener;

  if (!http_server->bound || http_server->paused == !accepting ||
      (accepting && !http_server_may_accept (http_server)))
    return;
  http_server->paused = !accepting;
  listener = evhttp_bound_socket_get_listener (http_server->bound);
  if (accepting)
    evconnlistener_enable (listener);
  else
    evconnlistener_disable (listener);
}

bool
http_server_may_accept (const http_server_t *http_server)
{
  uint64_t excess = http_server->idle ? 0 : LIMIT_HTTP_EXCESS_CONNECTIONS;
  uint64_t limit = http_server->options.connection_limit + excess;

  return !http_server->held && http_server->open_count < limit &&
         (!http_server->idle || http_server_has_room (http_server)) &&
         (!http_server->idle || http_server->stopping || accept_gate_is_open (&http_server->gate));
}

bool
http_server_has_waiting (const http_server_t *http_server)
{
  struct pollfd poll_fd = { .events = POLLIN };

  if (!http_server->bound)
    return false;
  poll_fd.fd = evhttp_bound_socket_get_fd (http_server->bound);
  return poll (&poll_fd, 1, 0) > 0;
}

void
http_server_pause_accepting (http_server_t *http_server)
{
  http_server->held = true;
  http_server_set_accepting (http_server, false);
}

void
http_server_resume_accepting (http_server_t *http_server)
{
  http_server->held = false;
  http_server_set_accepting (http_server, true);
}

/* libevent may keep the bufferevent, so all callbacks with a pointer to @conn are removed from it
 */
static void
conn_free (http_server_conn_t *conn)
{
  http_server_t *http_server = conn->http_server;

  if (conn->busy)
    http_server->busy_count--;
  http_server_set_whole (conn, 0);
  http_server_body_ends (conn);
  http_server_note_in_use (conn);
  http_server->open_count--;
  http_server->duplicate_count -= conn->dup_fd >= 0;
  counter_add (http_server->connections, UINT64_MAX);
  evbuffer_remove_cb_entry (bufferevent_get_input (conn->bev), conn->input_cb);
  evbuffer_remove_cb_entry (bufferevent_get_output (conn->bev), conn->output_cb);
  event_free (conn->deferred);
  event_free (conn->read_timer);
  if (conn->disconnect_watch)
    event_free (conn->disconnect_watch);
  /* libevent closes the socket before it unregisters it, and while the duplicate is open the kernel
   * would go on reporting it as readable, under a number that another socket may have by then */
  bufferevent_disable (conn->bev, EV_READ | EV_WRITE);
  if (conn->dup_fd >= 0 && conn->drain_input)
    http_server_drain_start (http_server, conn->dup_fd);
  else if (conn->dup_fd >= 0)
    evutil_closesocket (conn->dup_fd);
  g_free (conn);
  http_server_set_accepting (http_server, true);
}

/*
 * The only place where a connection ends, whether it is closed by libevent (after an error, a
 * timeout or the last response) or by the server. A request that libevent has unlinked from its
 * connection is left to us to free.
 */
static void
on_close (struct evhttp_connection *evcon, void *context)
{
  http_server_conn_t *conn = context;
  struct evhttp_request *request = conn->request;
  http_server_call_t *call = conn->call;
  http_server_t *http_server = conn->http_server;

  g_hash_table_remove (http_server->conns, evcon);
  http_server_note_end (conn);
  conn->call = NULL;
  if (request && evhttp_request_get_connection (request))
    request = NULL;
  if (call)
    {
      counter_add (http_server->gone, 1);
      if (call->on_disconnect)
        call->on_disconnect (call->gone_context);
      http_server_call_free (call);
    }
  if (request)
    evhttp_request_free (request);
  conn_free (conn);
}

void
http_server_conn_end (http_server_conn_t *conn, http_server_end_reason_t reason)
{
  conn->ended_by_us = true;
  conn->end_reason = reason;
  evhttp_connection_free (conn->evcon);
}

static void
on_deferred (evutil_socket_t fd, short what, void *context)
{
  http_server_conn_t *conn = context;

  (void)fd;
  (void)what;
  if (!conn->evcon && !http_server_conn_attach (conn))
    return;
  if (conn->caller_left)
    {
      http_server_reject_left (conn, true);
      evhttp_connection_free (conn->evcon);
      return;
    }
  if (conn->evicted && !conn->busy)
    {
      http_server_reject_incomplete (conn, HTTP_SERVER_END_EVICTED);
      http_server_conn_end (conn, HTTP_SERVER_END_EVICTED);
      return;
    }
  if (conn->closing && !conn->close_by_reset &&
      evbuffer_get_length (bufferevent_get_output (conn->bev)) > 0)
    return; /* send the queued response first; on_output() calls again when it has been sent */
  if (conn->closing)
    {
      /* An HTTP/1.0 response ends where the connection does, so an end of file would make a
       * truncated one look complete. */
      if (conn->close_by_reset)
        socket_reset (bufferevent_getfd (conn->bev));
      http_server_conn_end (conn, HTTP_SERVER_END_ANSWER_CUT);
      return;
    }
  if (conn->check_error_page)
    {
      conn->check_error_page = false;
      http_server_replace_error_page (conn);
    }
  if (conn->notify_writable)
    {
      conn->notify_writable = false;
      if (conn->call && conn->call->on_writable)
        conn->call->on_writable (conn->call->room_context); /* may free conn */
    }
}

void
http_server_conn_defer (http_server_conn_t *conn)
{
  event_active (conn->deferred, EV_TIMEOUT, 0);
}

static void
set_idle_limit (http_server_conn_t *conn, uint32_t idle_limit_ms)
{
  uint64_t passed_ms = (uint64_t)(g_get_monotonic_time () - conn->idle_since_us) / CLOCK_US_PER_MS;
  uint64_t left_ms = idle_limit_ms - MIN (passed_ms, idle_limit_ms);
  struct timeval left = { (time_t)(left_ms / 1000), (suseconds_t)(left_ms % 1000 * 1000) };

  conn->idle_limit_ms = idle_limit_ms;
  event_add (conn->read_timer, &left);
}

static void
start_idle_timer (http_server_conn_t *conn)
{
  conn->in_request = false;
  conn->extensions = 0;
  conn->idle_since_us = g_get_monotonic_time ();
  http_server_note_idle (conn);
  set_idle_limit (conn, http_server_idle_limit_ms (conn->http_server));
}

/* Limits the time of the head: a client that sends a byte now and then is never idle and would keep
 * the connection forever */
static void
start_request_timer (http_server_conn_t *conn)
{
  if (conn->busy || conn->in_request)
    return;
  conn->in_request = true;
  conn->in_body = false;
  http_server_note_in_use (conn);
  event_add (conn->read_timer, &conn->http_server->request_timeout);
}

/* The timeout of a configuration is on the head. A long body may take longer on a slow link */
static void
start_body_timer (http_server_conn_t *conn)
{
  uint32_t body_ms = MAX (LIMIT_HTTP_REQUEST_MS, conn->http_server->options.request_timeout_ms);
  struct timeval limit = { body_ms / 1000, body_ms % 1000 * 1000 };

  if (!conn->in_request || conn->in_body || conn->input.head_started)
    return;
  conn->in_body = true;
  conn->body_due_us = g_get_monotonic_time () + (int64_t)body_ms * CLOCK_US_PER_MS;
  http_server_body_begins (conn);
  event_add (conn->read_timer, &limit);
}

static void
stop_read_timer (http_server_conn_t *conn)
{
  conn->in_request = false;
  conn->extensions = 0;
  event_del (conn->read_timer);
}

static bool
has_unread_bytes (const http_server_conn_t *conn)
{
  int unread = 0;

  return ioctl (bufferevent_getfd (conn->bev), FIONREAD, &unread) == 0 && unread > 0;
}

/*
 * A process that did not run for a while finds timers that are due and requests that had come in
 * time. Those are read first. libevent's own read timeout must not be used for this reason: where a
 * socket is readable and its timeout is due in the same iteration, it reports the timeout alone.
 */
static void
on_read_timeout (evutil_socket_t fd, short what, void *context)
{
  static const struct timeval extension = { 0, LIMIT_HTTP_UNREAD_MS * 1000 };
  http_server_conn_t *conn = context;

  (void)fd;
  (void)what;
  if (!conn->evcon && !http_server_conn_attach (conn))
    return;
  if (conn->body_waits)
    {
      http_server_reject_incomplete (conn, HTTP_SERVER_END_EVICTED);
      http_server_conn_end (conn, HTTP_SERVER_END_EVICTED);
      return;
    }
  if (has_unread_bytes (conn) && conn->extensions < LIMIT_HTTP_UNREAD_EXTENSIONS)
    {
      conn->extensions++;
      event_add (conn->read_timer, &extension);
      return;
    }
  if (!conn->in_request)
    {
      http_server_conn_end (conn, HTTP_SERVER_END_IDLE_TIMEOUT);
      return;
    }
  http_server_reject_incomplete (conn, HTTP_SERVER_END_REQUEST_TIMEOUT);
  http_server_conn_end (conn, HTTP_SERVER_END_REQUEST_TIMEOUT);
}

/* The head is limited by evhttp, and the body by its limit */
static void
expect_request (http_server_conn_t *conn)
{
  http_input_init (&conn->input,
                   &(http_input_limits_t){ .free_chunks = LIMIT_HTTP_REQUEST_CHUNKS });
}

static void
on_input (struct evbuffer *buffer, const struct evbuffer_cb_info *info, void *context)
{
  http_server_conn_t *conn = context;

  conn->read_bytes += info->n_deleted;
  if (info->n_added == 0)
    return;
  conn->active_us = g_get_monotonic_time ();
  start_request_timer (conn);
  if (conn->busy || conn->evicted)
    return;
  if (!http_input_read_last (&conn->input, buffer, info->n_added))
    {
      http_server_evict (conn);
      return;
    }
  start_body_timer (conn);
  http_server_set_incomplete (conn, conn->incomplete_bytes + info->n_added);
  http_server_evict_incomplete (conn->http_server);
}

/* Runs while libevent writes, so it only sets flags; on_deferred() does the work */
static void
on_output (struct evbuffer *buffer, const struct evbuffer_cb_info *info, void *context)
{
  http_server_conn_t *conn = context;

  if (info->n_deleted > 0)
    {
      conn->active_us = g_get_monotonic_time ();
      conn->response_sent |= conn->call && conn->call->begun;
    }
  if (conn->closing && info->n_deleted > 0 && evbuffer_get_length (buffer) == 0)
    http_server_conn_defer (conn);

  if (info->n_added > 0 && !conn->busy && !conn->check_error_page)
    {
      conn->check_error_page = true;
      http_server_conn_defer (conn);
    }
  if (info->n_deleted > 0 && conn->call && conn->call->full &&
      evbuffer_get_length (buffer) < http_server_queue_limit (conn->call) / 2)
    {
      conn->call->full = false;
      conn->notify_writable = true;
      http_server_conn_defer (conn);
    }
}

/* Also limits what libevent buffers: while a response is sent, it keeps reading without parsing */
void
http_server_conn_set_limits (http_server_conn_t *conn, uint64_t body_bytes, uint64_t header_bytes)
{
  conn->body_limit_bytes = body_bytes;
  conn->header_limit_bytes = header_bytes;
  bufferevent_setwatermark (conn->bev, EV_READ, 0, body_bytes + header_bytes + 1024);
  if (!conn->evcon)
    return;
  evhttp_connection_set_max_body_size (conn->evcon, (ev_ssize_t)body_bytes);
  evhttp_connection_set_max_headers_size (conn->evcon, (ev_ssize_t)header_bytes);
}

void
http_server_conn_raise_limits (http_server_conn_t *conn)
{
  const http_server_options_t *options = &conn->http_server->options;

  http_server_conn_set_limits (conn, MAX (conn->body_limit_bytes, options->body_limit_bytes),
                               MAX (conn->header_limit_bytes, options->header_limit_bytes));
  if (!conn->busy && !conn->in_request && conn->idle_limit_ms < options->idle_timeout_ms)
    set_idle_limit (conn, options->idle_timeout_ms);
}

/*
 * evhttp does not report a connection before its first request. But as soon as it uses a
 * bufferevent, the evhttp connection is the context of the bufferevent's callbacks. on_deferred()
 * calls this in the same iteration of the event loop, before any event of the socket.
 */
bool
http_server_conn_attach (http_server_conn_t *conn)
{
  struct bufferevent *bev = conn->bev;
  void *evcon = NULL;

  bufferevent_getcb (bev, NULL, NULL, NULL, &evcon);
  g_hash_table_remove (conn->http_server->new_conns, bev);
  if (!evcon)
    {
      conn_free (conn);
      bufferevent_decref (bev);
      return false;
    }
  conn->evcon = evcon;
  g_hash_table_insert (conn->http_server->conns, evcon, conn);
  evhttp_connection_set_closecb (evcon, on_close, conn);
  bufferevent_set_timeouts (bev, NULL, &conn->http_server->unread_timeout);
  bufferevent_decref (bev);
  return true;
}

struct bufferevent *
http_server_conn_new (struct event_base *base, void *context)
{
  http_server_t *http_server = context;
  struct bufferevent *bev = bufferevent_socket_new (base, -1, 0);
  http_server_conn_t *conn;

  if (!bev)
    return NULL;
  conn = g_new0 (http_server_conn_t, 1);
  conn->http_server = http_server;
  conn->bev = bev;
  conn->dup_fd = -1;
  conn->active_us = g_get_monotonic_time ();
  expect_request (conn);
  conn->deferred = event_new (base, -1, 0, on_deferred, conn);
  conn->read_timer = evtimer_new (base, on_read_timeout, conn);
  conn->input_cb = evbuffer_add_cb (bufferevent_get_input (bev), on_input, conn);
  conn->output_cb = evbuffer_add_cb (bufferevent_get_output (bev), on_output, conn);
  start_idle_timer (conn);
  conn->over_limit = !http_server_has_room (http_server);
  http_server->open_count++;
  http_server->taken++;
  counter_add (http_server->connections, 1);
  http_server_conn_set_limits (conn, http_server->options.body_limit_bytes,
                               http_server->options.header_limit_bytes);
  bufferevent_incref (bev);
  g_hash_table_insert (http_server->new_conns, bev, conn);
  http_server_conn_defer (conn);
  if (http_server->idle)
    {
      accept_gate_note_taken (&http_server->gate);
      event_active (http_server->idle, EV_TIMEOUT, 0);
    }
  if (!http_server_may_accept (http_server))
    http_server_set_accepting (http_server, false);
  http_server_want_room (http_server);
  return bev;
}

/* The event alone does not tell a disconnect from bytes of the next request, and reading would not
 * detect a reset behind such bytes */
static bool
caller_closed (evutil_socket_t fd)
{
  struct pollfd poll_fd = { .fd = fd, .events = POLLRDHUP };

  return poll (&poll_fd, 1, 0) > 0;
}

static void
on_socket_event (evutil_socket_t fd, short what, void *context)
{
  http_server_conn_t *conn = context;

  (void)what;
  /* without a call, the whole response is queued: it may still be received */
  if (!conn->busy || !conn->call || !caller_closed (fd))
    return;
  conn->caller_left = true;
  http_server_reject_left (conn, false);
  evhttp_connection_free (conn->evcon);
}

/*
 * libevent does not read while a call is pending, so it would not notice that the client
 * disconnects. Reading can't be enabled: bytes of the next request would reach libevent in a state
 * in which it exits the process. The socket itself is watched instead. The event is edge-triggered,
 * so that such bytes wake us only once, and uses a duplicate of the descriptor. A level-triggered
 * event for the close alone would fire endlessly after a reset.
 */
static void
watch_disconnect (http_server_conn_t *conn)
{
  short events = EV_READ | EV_CLOSED | EV_ET | EV_PERSIST;

  if (!conn->disconnect_watch && http_server_conn_dup_fd (conn) >= 0)
    conn->disconnect_watch =
        event_new (conn->http_server->options.base, conn->dup_fd, events, on_socket_event, conn);
  if (conn->disconnect_watch)
    event_add (conn->disconnect_watch, NULL);
}

static void
on_response_sent (struct evhttp_request *request, void *context)
{
  http_server_conn_t *conn = context;
  struct evbuffer *input = bufferevent_get_input (conn->bev);

  (void)request;
  conn->request = NULL;
  conn->busy = false;
  conn->http_server->busy_count--;
  conn->read_bytes = 0;
  http_server_set_incomplete (conn, evbuffer_get_length (input));
  http_server_conn_set_limits (conn, conn->http_server->options.body_limit_bytes,
                               conn->http_server->options.header_limit_bytes);
  expect_request (conn);
  if (!http_input_read_last (&conn->input, input, evbuffer_get_length (input)))
    http_server_evict (conn);
  if (conn->disconnect_watch)
    event_del (conn->disconnect_watch);
  start_idle_timer (conn);
  if (evbuffer_get_length (bufferevent_get_input (conn->bev)) > 0)
    {
      start_request_timer (conn);
      start_body_timer (conn);
    }
  if (conn->http_server->stopping)
    http_server_close_idle_later (
        conn->http_server); /* the response may have been sent without "Connection: close" */
}

void
http_server_handle_request (struct evhttp_request *request, void *context)
{
  http_server_t *http_server = context;
  struct evhttp_connection *evcon = evhttp_request_get_connection (request);
  http_server_conn_t *conn = g_hash_table_lookup (http_server->conns, evcon);
  http_server_call_t *call;

  if (!conn)
    {
      evhttp_send_error (request, 503, NULL);
      return;
    }
  stop_read_timer (conn);
  http_server_body_ends (conn);
  http_server_set_whole (conn, evbuffer_get_length (evhttp_request_get_input_buffer (request)));
  conn->evicted = false; /* its rest arrived before it was rejected */
  conn->busy = true;
  conn->response_sent = false;
  http_server->busy_count++;
  http_server_note_in_use (conn);
  http_server_want_room (http_server);
  counter_add (http_server->requests, 1);
  conn->request = request;
  evhttp_request_set_on_complete_cb (request, on_response_sent, conn);
  bufferevent_set_timeouts (conn->bev, NULL, &http_server->unread_timeout);
  call = http_server_call_new (conn, request);
  conn->call = call;
  if (http_server_check_request (call))
    return;
  /* A server that was behind finds requests that nobody waits for any more. */
  conn->caller_left = caller_closed (bufferevent_getfd (conn->bev));
  if (conn->caller_left)
    {
      http_server_conn_defer (conn);
      return;
    }
  http_server->options.on_call (call, http_server->options.context);
  conn = g_hash_table_lookup (http_server->conns, evcon);
  if (conn && conn->call)
    watch_disconnect (conn);
}

bool
http_server_conn_is_idle (http_server_conn_t *conn)
{
  if (conn->busy || conn->read_bytes > 0)
    return false;
  if (evbuffer_get_length (bufferevent_get_input (conn->bev)) > 0)
    return false;
  if (evbuffer_get_length (bufferevent_get_output (conn->bev)) > 0)
    return false;
  return !has_unread_bytes (conn);
}

bool
http_server_conn_has_part (const http_server_conn_t *conn)
{
  bool has_input =
      conn->read_bytes > 0 || evbuffer_get_length (bufferevent_get_input (conn->bev)) > 0;

  return has_input && !conn->busy && !has_unread_bytes (conn) &&
         evbuffer_get_length (bufferevent_get_output (conn->bev)) == 0;
}
