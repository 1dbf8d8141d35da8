#include "connection/http_server_internal.h"
#include "connection/socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>

static const char *const rejected_metric_names[HSV_REFUSED_COUNT] = {
  [HSV_REFUSED_BODY] = "medlarplank_http_refused_total{reason=\"body\"}",
  [HSV_REFUSED_HEADERS] = "medlarplank_http_refused_total{reason=\"headers\"}",
  [HSV_REFUSED_CONNECTIONS] = "medlarplank_http_refused_total{reason=\"connections\"}",
  [HSV_REFUSED_BAD] = "medlarplank_http_refused_total{reason=\"bad_request\"}",
  [HSV_REFUSED_SLOW] = "medlarplank_http_refused_total{reason=\"slow\"}",
};

static void
get_counters (hsv_t *hsv)
{
  cnt_set_t *set = hsv->options.counters;

  hsv->connections = cnt_get (set, "medlarplank_http_connections", "Open connections of callers");
  hsv->requests = cnt_get (set, "medlarplank_http_requests_total", "Whole requests of callers");
  hsv->gone = cnt_get (set, "medlarplank_http_gone_total",
                       "Requests whose caller closed before the answer");
  hsv->bad_headers = cnt_get (set, "medlarplank_http_bad_headers_total",
                              "Headers of answers left out for a control character");
  for (int i = 0; i < HSV_REFUSED_COUNT; i++)
    hsv->refused[i] =
        cnt_get (set, rejected_metric_names[i], "Requests refused by the listener before they ran");
}

static bool
make_sockaddr (const set_address_t *address, struct sockaddr_storage *storage, int *bytes)
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
bind_listener (hsv_t *hsv, GError **error)
{
  unsigned flags = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE;
  const set_address_t *address = &hsv->options.listen;
  struct evconnlistener *listener = NULL;
  struct sockaddr_storage storage;
  int bytes;

  errno = EINVAL;
  if (make_sockaddr (address, &storage, &bytes))
    listener = evconnlistener_new_bind (hsv->options.base, NULL, NULL, flags, LIM_LISTEN_BACKLOG,
                                        (struct sockaddr *)&storage, bytes);
  if (!listener)
    {
      int error_number = errno;
      char *text = set_address_text (address);

      g_set_error (error, G_FILE_ERROR, g_file_error_from_errno (error_number),
                   "cannot listen on %s: %s", text, g_strerror (error_number));
      g_free (text);
      return false;
    }
  sck_tune (evconnlistener_get_fd (listener)); /* inherited by the connections */
  hsv->bound = evhttp_bind_listener (hsv->http, listener);
  return true;
}

static struct timeval
timeval_from_ms (uint32_t ms)
{
  return (struct timeval){ ms / 1000, ms % 1000 * 1000 };
}

static void
apply_limits (hsv_t *hsv)
{
  uint16_t methods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
                     EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH;

  hsv->idle_timeout = timeval_from_ms (hsv->options.idle_timeout_ms);
  if (hsv->options.request_timeout_ms == 0)
    hsv->options.request_timeout_ms = LIM_HTTP_REQUEST_MS;
  if (hsv->options.incomplete_limit_bytes == 0)
    hsv->options.incomplete_limit_bytes = LIM_HTTP_COMING_BYTES;
  hsv->request_timeout = timeval_from_ms (hsv->options.request_timeout_ms);
  evhttp_set_allowed_methods (hsv->http, methods);
  evhttp_set_max_headers_size (hsv->http, hsv->options.header_limit_bytes);
  evhttp_set_max_body_size (hsv->http, hsv->options.body_limit_bytes);
  evhttp_set_timeout_tv (hsv->http, &hsv->idle_timeout);
  evhttp_set_default_content_type (hsv->http, NULL);
  evhttp_set_bevcb (hsv->http, hsv_conn_make, hsv);
  evhttp_set_gencb (hsv->http, hsv_conn_take, hsv);
}

static void
unlisten (hsv_t *hsv)
{
  if (hsv->bound)
    evhttp_del_accept_socket (hsv->http, hsv->bound);
  hsv->bound = NULL;
}

static void
on_unlisten (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  unlisten (context);
}

static void
on_close_idle (evutil_socket_t fd, short what, void *context)
{
  hsv_t *hsv = context;
  GList *conns = g_hash_table_get_values (hsv->conns);

  (void)fd;
  (void)what;
  for (GList *link = conns; link; link = link->next)
    {
      hsv_conn_t *conn = link->data;

      if (hsv_conn_idle (conn))
        evhttp_connection_free (conn->evcon);
    }
  g_list_free (conns);
}

hsv_t *
hsv_new (const hsv_options_t *options, GError **error)
{
  hsv_t *hsv = g_new0 (hsv_t, 1);

  hsv->options = *options;
  hsv->http = evhttp_new (options->base);
  hsv->new_conns = g_hash_table_new (NULL, NULL);
  hsv->conns = g_hash_table_new (NULL, NULL);
  hsv->drains = g_hash_table_new (NULL, NULL);
  hsv->unlisten = evtimer_new (options->base, on_unlisten, hsv);
  hsv->close_idle = evtimer_new (options->base, on_close_idle, hsv);
  get_counters (hsv);
  apply_limits (hsv);
  if (!bind_listener (hsv, error))
    {
      hsv_free (hsv);
      return NULL;
    }
  return hsv;
}

void
hsv_free (hsv_t *hsv)
{
  GList *new_conns = g_hash_table_get_values (hsv->new_conns);
  GList *drains;

  for (GList *link = new_conns; link; link = link->next)
    hsv_conn_adopt (link->data);
  g_list_free (new_conns);
  unlisten (hsv);
  evhttp_free (hsv->http);
  drains = g_hash_table_get_keys (hsv->drains);
  for (GList *link = drains; link; link = link->next)
    hsv_drain_free (link->data);
  g_list_free (drains);
  event_free (hsv->unlisten);
  event_free (hsv->close_idle);
  g_hash_table_destroy (hsv->new_conns);
  g_hash_table_destroy (hsv->conns);
  g_hash_table_destroy (hsv->drains);
  g_free (hsv);
}

uint16_t
hsv_port (const hsv_t *hsv)
{
  struct sockaddr_storage storage;
  socklen_t bytes = sizeof storage;
  struct sockaddr *address = (struct sockaddr *)&storage;

  if (!hsv->bound)
    return 0;
  if (getsockname (evhttp_bound_socket_get_fd (hsv->bound), address, &bytes) < 0)
    return 0;
  if (address->sa_family == AF_INET6)
    return ntohs (((struct sockaddr_in6 *)address)->sin6_port);
  return ntohs (((struct sockaddr_in *)address)->sin_port);
}

void
hsv_linger (hsv_t *hsv)
{
  struct timeval close_idle = timeval_from_ms (LIM_HTTP_STOP_LINGER_MS);

  if (!evtimer_pending (hsv->close_idle, NULL))
    event_add (hsv->close_idle, &close_idle);
}

void
hsv_configure (hsv_t *hsv,
               uint32_t body_limit_bytes,
               uint32_t header_limit_bytes,
               uint32_t request_timeout_ms,
               uint32_t idle_timeout_ms)
{
  hsv_options_t *options = &hsv->options;

  options->body_limit_bytes = body_limit_bytes ? body_limit_bytes : options->body_limit_bytes;
  options->header_limit_bytes =
      header_limit_bytes ? header_limit_bytes : options->header_limit_bytes;
  options->request_timeout_ms =
      request_timeout_ms ? request_timeout_ms : options->request_timeout_ms;
  options->idle_timeout_ms = idle_timeout_ms ? idle_timeout_ms : options->idle_timeout_ms;
  apply_limits (hsv);
}

void
hsv_say_close (hsv_t *hsv)
{
  hsv->closing = true;
}

void
hsv_stop (hsv_t *hsv)
{
  struct timeval at_once = { 0, 0 };

  if (hsv->stopping)
    return;
  hsv->stopping = true;
  hsv->closing = true;
  event_add (hsv->unlisten, &at_once);
  hsv_linger (hsv);
}

uint32_t
hsv_busy (const hsv_t *hsv)
{
  if (!hsv->stopping)
    return hsv->busy_count;
  return hsv->open_count + (hsv->bound ? 1 : 0);
}
