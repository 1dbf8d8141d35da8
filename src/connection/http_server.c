#include "connection/http_server_internal.h"
#include "connection/socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>

static const char *const rejected_metric_names[HTTP_SERVER_REFUSED_COUNT] = {
  [HTTP_SERVER_REFUSED_BODY] = "medlarplank_http_refused_total{reason=\"body\"}",
  [HTTP_SERVER_REFUSED_HEADERS] = "medlarplank_http_refused_total{reason=\"headers\"}",
  [HTTP_SERVER_REFUSED_CONNECTIONS] = "medlarplank_http_refused_total{reason=\"connections\"}",
  [HTTP_SERVER_REFUSED_MALFORMED] = "medlarplank_http_refused_total{reason=\"bad_request\"}",
  [HTTP_SERVER_REFUSED_SLOW] = "medlarplank_http_refused_total{reason=\"slow\"}",
  [HTTP_SERVER_REFUSED_LEFT] = "medlarplank_http_refused_total{reason=\"left\"}",
  [HTTP_SERVER_REFUSED_STOPPING] = "medlarplank_http_refused_total{reason=\"stopping\"}",
};

static void
get_counters (http_server_t *http_server)
{
  counter_registry_t *registry = http_server->options.counters;

  http_server->connections =
      counter_get (registry, "medlarplank_http_connections", "Open connections of callers");
  http_server->requests =
      counter_get (registry, "medlarplank_http_requests_total", "Whole requests of callers");
  http_server->gone = counter_get (registry, "medlarplank_http_gone_total",
                                   "Requests whose caller closed before the answer");
  http_server->bad_headers = counter_get (registry, "medlarplank_http_bad_headers_total",
                                          "Headers of answers left out for a control character");
  for (int i = 0; i < HTTP_SERVER_REFUSED_COUNT; i++)
    http_server->refused[i] = counter_get (registry, rejected_metric_names[i],
                                           "Requests refused by the listener before they ran");
  for (int i = 0; i < HTTP_SERVER_END_COUNT; i++)
    {
      g_autofree char *name =
          g_strdup_printf ("medlarplank_http_ended_total{reason=\"%s\"}",
                           http_server_end_reason_to_string ((http_server_end_reason_t)i));

      http_server->ended[i] = counter_get (registry, name, "Connections of callers that ended");
    }
}

static bool
make_sockaddr (const address_t *address, struct sockaddr_storage *storage, int *bytes)
{
  struct sockaddr_in *v4 = (struct sockaddr_in *)storage;
  struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)storage;

  memset (storage, 0, sizeof *storage);
  if (inet_pton (AF_INET, address->ip, &v4->sin_addr) == 1)
    {
      v4->sin_family = AF_INET;
      v4->sin_port = htons (address->port);
      *bytes = sizeof *v4;
      return true;
    }
  if (inet_pton (AF_INET6, address->ip, &v6->sin6_addr) == 1)
    {
      v6->sin6_family = AF_INET6;
      v6->sin6_port = htons (address->port);
      *bytes = sizeof *v6;
      return true;
    }
  return false;
}

static bool
bind_listener (http_server_t *http_server, GError **error)
{
  unsigned flags = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE;
  const address_t *address = &http_server->options.listen;
  struct evconnlistener *listener = NULL;
  struct sockaddr_storage storage;
  int bytes;

  errno = EINVAL;
  if (make_sockaddr (address, &storage, &bytes))
    listener = evconnlistener_new_bind (http_server->options.base, NULL, NULL, flags,
                                        LIMIT_LISTEN_BACKLOG, (struct sockaddr *)&storage, bytes);
  if (!listener)
    {
      int error_number = errno;
      char *text = address_to_text (address);

      g_set_error (error, G_FILE_ERROR, g_file_error_from_errno (error_number),
                   "cannot listen on %s: %s", text, g_strerror (error_number));
      g_free (text);
      return false;
    }
  socket_set_options (evconnlistener_get_fd (listener)); /* inherited by the connections */
  evconnlistener_set_error_cb (listener, http_server_on_accept_error);
  http_server->bound = evhttp_bind_listener (http_server->http, listener);
  return true;
}

static struct timeval
timeval_from_ms (uint32_t ms)
{
  return (struct timeval){ ms / 1000, ms % 1000 * 1000 };
}

static void
apply_limits (http_server_t *http_server)
{
  uint16_t methods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
                     EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH;

  http_server->unread_timeout =
      timeval_from_ms (MAX (http_server->options.idle_timeout_ms, LIMIT_HTTP_ANSWER_UNREAD_MS));
  if (http_server->options.request_timeout_ms == 0)
    http_server->options.request_timeout_ms = LIMIT_HTTP_REQUEST_MS;
  if (http_server->options.held_limit_bytes == 0)
    http_server->options.held_limit_bytes = LIMIT_HTTP_HELD_BYTES;
  http_server->request_timeout = timeval_from_ms (http_server->options.request_timeout_ms);
  evhttp_set_allowed_methods (http_server->http, methods);
  evhttp_set_max_headers_size (http_server->http, http_server->options.header_limit_bytes);
  evhttp_set_max_body_size (http_server->http, http_server->options.body_limit_bytes);
  evhttp_set_default_content_type (http_server->http, NULL);
  evhttp_set_bevcb (http_server->http, http_server_conn_new, http_server);
  evhttp_set_gencb (http_server->http, http_server_handle_request, http_server);
}

static void
unlisten (http_server_t *http_server)
{
  if (http_server->bound)
    evhttp_del_accept_socket (http_server->http, http_server->bound);
  http_server->bound = NULL;
}

static void
on_unlisten (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  unlisten (context);
}

/* Has the lowest priority, so it runs when all other events have been handled. */
static void
on_idle (evutil_socket_t fd, short what, void *context)
{
  http_server_t *http_server = context;

  (void)fd;
  (void)what;
  accept_gate_note_idle (&http_server->gate, http_server_has_waiting (http_server));
  http_server_set_accepting (http_server, true);
}

/* If it fails, the next http_server_shed() tries again. */
static void
listen_again (http_server_t *http_server)
{
  http_server->paused = false;
  if (bind_listener (http_server, NULL) && !http_server_may_accept (http_server))
    http_server_set_accepting (http_server, false);
}

void
http_server_note_held_up (http_server_t *http_server)
{
  accept_gate_note_held_up (&http_server->gate);
}

bool
http_server_shed (http_server_t *http_server, uint64_t now_us)
{
  bool sheds;

  if (http_server->stopping || http_server->held)
    return false;
  sheds = accept_gate_sheds (&http_server->gate, now_us, http_server_has_waiting (http_server));
  if (sheds)
    {
      http_server->options.listen.port = http_server_port (http_server);
      unlisten (http_server);
    }
  if (!http_server->bound)
    listen_again (http_server);
  return sheds;
}

static void
on_close_idle (evutil_socket_t fd, short what, void *context)
{
  http_server_t *http_server = context;
  GList *conns = g_hash_table_get_values (http_server->conns);

  (void)fd;
  (void)what;
  for (GList *link = conns; link; link = link->next)
    {
      http_server_conn_t *conn = link->data;

      if (http_server_conn_is_idle (conn))
        http_server_conn_end (conn, HTTP_SERVER_END_STOPPING);
    }
  g_list_free (conns);
}

http_server_t *
http_server_new (const http_server_options_t *options, GError **error)
{
  struct timeval accept_again = timeval_from_ms (LIMIT_HTTP_ACCEPT_AGAIN_MS);
  http_server_t *http_server = g_new0 (http_server_t, 1);

  http_server->options = *options;
  http_server->own_options = *options;
  http_server->http = evhttp_new (options->base);
  http_server->new_conns = g_hash_table_new (NULL, NULL);
  http_server->conns = g_hash_table_new (NULL, NULL);
  http_server->drains = g_hash_table_new (NULL, NULL);
  http_server->unlisten = evtimer_new (options->base, on_unlisten, http_server);
  http_server->close_idle = evtimer_new (options->base, on_close_idle, http_server);
  http_server->make_room = evtimer_new (options->base, http_server_on_make_room, http_server);
  http_server->review_bodies =
      event_new (options->base, -1, 0, http_server_on_review_bodies, http_server);
  http_server->accept_again =
      event_new (options->base, -1, EV_PERSIST, http_server_on_accept_again, http_server);
  event_add (http_server->accept_again, &accept_again);
  if (options->takes_few)
    {
      http_server->idle = event_new (options->base, -1, 0, on_idle, http_server);
      event_priority_set (http_server->idle, HTTP_SERVER_PRIORITIES - 1);
    }
  get_counters (http_server);
  apply_limits (http_server);
  if (!bind_listener (http_server, error))
    {
      http_server_free (http_server);
      return NULL;
    }
  return http_server;
}

void
http_server_free (http_server_t *http_server)
{
  GList *new_conns = g_hash_table_get_values (http_server->new_conns);
  GList *drains;

  for (GList *link = new_conns; link; link = link->next)
    http_server_conn_attach (link->data);
  g_list_free (new_conns);
  http_server->freeing = true;
  unlisten (http_server);
  evhttp_free (http_server->http);
  drains = g_hash_table_get_keys (http_server->drains);
  for (GList *link = drains; link; link = link->next)
    http_server_drain_free (link->data);
  g_list_free (drains);
  event_free (http_server->unlisten);
  event_free (http_server->close_idle);
  event_free (http_server->make_room);
  event_free (http_server->review_bodies);
  event_free (http_server->accept_again);
  if (http_server->idle)
    event_free (http_server->idle);
  g_hash_table_destroy (http_server->new_conns);
  g_hash_table_destroy (http_server->conns);
  g_hash_table_destroy (http_server->drains);
  g_free (http_server);
}

uint16_t
http_server_port (const http_server_t *http_server)
{
  union
  {
    struct sockaddr any;
    struct sockaddr_in v4;
    struct sockaddr_in6 v6;
  } address;
  socklen_t bytes = sizeof address;

  memset (&address, 0, sizeof address);
  if (!http_server->bound)
    return 0;
  if (getsockname (evhttp_bound_socket_get_fd (http_server->bound), &address.any, &bytes) < 0)
    return 0;
  return ntohs (address.any.sa_family == AF_INET6 ? address.v6.sin6_port : address.v4.sin_port);
}

void
http_server_close_idle_later (http_server_t *http_server)
{
  struct timeval close_idle = timeval_from_ms (LIMIT_HTTP_STOP_LINGER_MS);

  if (!evtimer_pending (http_server->close_idle, NULL))
    event_add (http_server->close_idle, &close_idle);
}

uint32_t
http_server_idle_limit_ms (const http_server_t *http_server)
{
  uint32_t limit_ms = http_server->options.idle_timeout_ms;

  if (g_get_monotonic_time () >= http_server->longer_idle_until_us)
    return limit_ms;
  return MAX (limit_ms, http_server->longer_idle_ms);
}

/* Clients hear of a shorter timeout later than the server, and use a connection for as long as the
 * one that they know allows. If the shorter one held at once, requests would meet the close. */
static void
set_idle_timeout (http_server_t *http_server, uint32_t idle_timeout_ms)
{
  uint32_t before_ms = http_server_idle_limit_ms (http_server);

  if (idle_timeout_ms < http_server->options.idle_timeout_ms)
    {
      http_server->longer_idle_ms = before_ms;
      http_server->longer_idle_until_us =
          g_get_monotonic_time () + LIMIT_HTTP_LOWERED_IDLE_MS * CLOCK_US_PER_MS;
    }
  http_server->options.idle_timeout_ms = idle_timeout_ms;
}

void
http_server_configure (http_server_t *http_server,
                       uint32_t body_limit_bytes,
                       uint32_t header_limit_bytes,
                       uint32_t request_timeout_ms,
                       uint32_t idle_timeout_ms)
{
  http_server_options_t *options = &http_server->options;
  const http_server_options_t *own = &http_server->own_options;
  GHashTableIter iter;
  gpointer conn;

  options->body_limit_bytes = body_limit_bytes ? body_limit_bytes : own->body_limit_bytes;
  options->header_limit_bytes = header_limit_bytes ? header_limit_bytes : own->header_limit_bytes;
  options->request_timeout_ms = request_timeout_ms ? request_timeout_ms : own->request_timeout_ms;
  set_idle_timeout (http_server, idle_timeout_ms ? idle_timeout_ms : own->idle_timeout_ms);
  apply_limits (http_server);
  g_hash_table_iter_init (&iter, http_server->conns);
  while (g_hash_table_iter_next (&iter, NULL, &conn))
    http_server_conn_raise_limits (conn);
}

void
http_server_announce_close (http_server_t *http_server)
{
  http_server->closing = true;
}

void
http_server_stop (http_server_t *http_server)
{
  struct timeval at_once = { 0, 0 };

  if (http_server->stopping)
    return;
  http_server->stopping = true;
  http_server->closing = true;
  http_server_set_accepting (http_server, true);
  event_add (http_server->unlisten, &at_once);
  http_server_close_idle_later (http_server);
}

void
http_server_refuse_incomplete (http_server_t *http_server)
{
  g_autoptr (GList) conns = g_hash_table_get_values (http_server->conns);

  for (GList *link = conns; link; link = link->next)
    {
      http_server_conn_t *conn = link->data;

      if (!http_server_conn_has_part (conn))
        continue;
      http_server_reject_incomplete (conn, HTTP_SERVER_END_STOPPING);
      http_server_conn_end (conn, HTTP_SERVER_END_STOPPING);
    }
}

uint32_t
http_server_busy_count (const http_server_t *http_server)
{
  if (!http_server->stopping)
    return http_server->busy_count;
  return http_server->open_count + (http_server->bound ? 1 : 0);
}

uint32_t
http_server_lingering_count (const http_server_t *http_server)
{
  return g_hash_table_size (http_server->drains);
}
