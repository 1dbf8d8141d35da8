#include "http_call.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <event2/util.h>
#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <unistd.h>

struct http_call
{
  struct evhttp_request *request;
  struct evkeyvalq query;
  struct event
      *close_event; /* evhttp does not read during an answer: EV_CLOSED reports the disconnect */
  void (*on_disconnect) (void *context);
  void *disconnect_context;
  struct event *abort_timer; /* set once the call was aborted */
};

typedef struct
{
  struct event_base *base;
  void (*on_call) (http_call_t *call, void *context);
  void *context;
} listener_t;

static void
call_free (http_call_t *call)
{
  struct evhttp_connection *connection = evhttp_request_get_connection (call->request);
  if (connection != NULL)
    evhttp_connection_set_closecb (connection, NULL, NULL);
  event_free (call->close_event);
  if (call->abort_timer != NULL)
    event_free (call->abort_timer);
  evhttp_clear_headers (&call->query);
  g_free (call);
}

static void
notify_disconnect (http_call_t *call)
{
  if (call->on_disconnect != NULL)
    call->on_disconnect (call->disconnect_context);
}

static void
close_connection (http_call_t *call)
{
  struct evhttp_connection *connection = evhttp_request_get_connection (call->request);
  call_free (call);
  evhttp_connection_free (connection);
}

static void
on_abort_timer (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  close_connection (arg);
}

static void
on_peer_closed (evutil_socket_t fd, short what, void *arg)
{
  http_call_t *call = arg;
  (void)fd;
  (void)what;
  notify_disconnect (call);
  close_connection (call);
}

/* evhttp calls this on a write error. It has detached the request from the connection, so the
 * request must be freed here. */
static void
on_connection_closed (struct evhttp_connection *connection, void *arg)
{
  http_call_t *call = arg;
  struct evhttp_request *request = call->request;
  (void)connection;
  notify_disconnect (call);
  call_free (call);
  if (evhttp_request_get_connection (request) == NULL)
    evhttp_request_free (request);
}

/* With Nagle's algorithm the last part of a stream waits for the delayed acknowledgement of the
 * part before it, which adds 40 ms to the latency of the engine. */
static void
disable_nagle (struct bufferevent *bev)
{
  int on = 1;
  setsockopt (bufferevent_getfd (bev), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

static void
on_request (struct evhttp_request *request, void *arg)
{
  listener_t *listener = arg;
  http_call_t *call = g_new0 (http_call_t, 1);
  struct evhttp_connection *connection = evhttp_request_get_connection (request);
  struct bufferevent *bev = evhttp_connection_get_bufferevent (connection);
  const char *query = evhttp_uri_get_query (evhttp_request_get_evhttp_uri (request));
  disable_nagle (bev);
  call->request = request;
  TAILQ_INIT (&call->query);
  if (query != NULL)
    evhttp_parse_query_str (query, &call->query);
  call->close_event = event_new (listener->base, bufferevent_getfd (bev), EV_CLOSED | EV_PERSIST,
                                 on_peer_closed, call);
  event_add (call->close_event, NULL);
  evhttp_connection_set_closecb (connection, on_connection_closed, call);
  listener->on_call (call, listener->context);
}

/* libevent uses the kernel's coarse clock by default. At 250 ticks per second it is up to 4 ms off,
 * so an engine that generates a token every 2 ms would need 4 ms. */
struct event_base *
http_call_base_new (void)
{
  struct event_config *config = event_config_new ();
  event_config_set_flag (config, EVENT_BASE_FLAG_PRECISE_TIMER);
  struct event_base *base = event_base_new_with_config (config);
  event_config_free (config);
  return base;
}

struct evhttp *
http_call_listen (struct event_base *base,
                  const char *address,
                  void (*on_call) (http_call_t *call, void *context),
                  void *context)
{
  struct sockaddr_in sin;
  int sin_bytes = sizeof sin;
  char ip[INET_ADDRSTRLEN];
  if (evutil_parse_sockaddr_port (address, (struct sockaddr *)&sin, &sin_bytes) != 0 ||
      sin.sin_family != AF_INET)
    {
      g_printerr ("listen address %s is not IP:PORT\n", address);
      return NULL;
    }
  inet_ntop (AF_INET, &sin.sin_addr, ip, sizeof ip);
  listener_t *listener = g_new0 (listener_t, 1); /* never freed */
  listener->base = base;
  listener->on_call = on_call;
  listener->context = context;
  struct evhttp *http = evhttp_new (base);
  evhttp_set_max_body_size (http, HTTP_CALL_MAX_BODY_BYTES);
  evhttp_set_max_headers_size (http, HTTP_CALL_MAX_HEADER_BYTES);
  evhttp_set_allowed_methods (http, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD |
                                        EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH);
  evhttp_set_gencb (http, on_request, listener);
  if (evhttp_bind_socket (http, ip, ntohs (sin.sin_port)) != 0)
    {
      g_printerr ("cannot listen on %s: %s\n", address, g_strerror (errno));
      evhttp_free (http);
      g_free (listener);
      return NULL;
    }
  return http;
}

const char *
http_call_method (const http_call_t *call)
{
  switch (evhttp_request_get_command (call->request))
    {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_HEAD:
      return "HEAD";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    case EVHTTP_REQ_PATCH:
      return "PATCH";
    default:
      return "OTHER";
    }
}

const char *
http_call_path (const http_call_t *call)
{
  const char *path = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (call->request));
  return path == NULL ? "" : path;
}

const char *
http_call_query (const http_call_t *call, const char *name)
{
  return evhttp_find_header (&call->query, name);
}

uint64_t
http_call_query_u64 (const http_call_t *call, const char *name, uint64_t default_value)
{
  const char *text = http_call_query (call, name);
  uint64_t value;
  if (text == NULL || !g_ascii_string_to_unsigned (text, 10, 0, G_MAXINT64, &value, NULL))
    return default_value;
  return value;
}

const char *
http_call_header (const http_call_t *call, const char *name)
{
  return evhttp_find_header (evhttp_request_get_input_headers (call->request), name);
}

const char *
http_call_body (http_call_t *call, size_t *body_bytes)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (call->request);
  *body_bytes = evbuffer_get_length (input);
  return *body_bytes == 0 ? "" : (const char *)evbuffer_pullup (input, -1);
}

json_t *
http_call_parse_json (http_call_t *call)
{
  size_t body_bytes;
  const char *body = http_call_body (call, &body_bytes);
  return json_loadb (body, body_bytes, JSON_REJECT_DUPLICATES, NULL);
}

bool
http_call_matches (const http_call_t *call, const char *method, const char *path)
{
  return strcmp (http_call_method (call), method) == 0 && strcmp (http_call_path (call), path) == 0;
}

void
http_call_on_disconnect (http_call_t *call, void (*on_disconnect) (void *context), void *context)
{
  call->on_disconnect = on_disconnect;
  call->disconnect_context = context;
}

void
http_call_add_header (http_call_t *call, const char *name, const char *value)
{
  evhttp_add_header (evhttp_request_get_output_headers (call->request), name, value);
}

void
http_call_reply_json (http_call_t *call, int status, json_t *json)
{
  struct evhttp_request *request = call->request;
  struct evbuffer *body = evbuffer_new ();
  char *text = json == NULL ? NULL : json_dumps (json, JSON_COMPACT);
  if (text != NULL)
    {
      evbuffer_add (body, text, strlen (text));
      http_call_add_header (call, "Content-Type", "application/json");
    }
  call_free (call);
  evhttp_send_reply (request, status, NULL, body);
  evbuffer_free (body);
  free (text);
  json_decref (json);
}

void
http_call_reply_bytes (http_call_t *call, int status, const void *bytes, size_t count)
{
  struct evhttp_request *request = call->request;
  struct evbuffer *body = evbuffer_new ();
  evbuffer_add (body, bytes, count);
  call_free (call);
  evhttp_send_reply (request, status, NULL, body);
  evbuffer_free (body);
}

void
http_call_begin_stream (http_call_t *call)
{
  http_call_add_header (call, "Content-Type", "text/event-stream");
  evhttp_send_reply_start (call->request, 200, NULL);
}

void
http_call_send_part (http_call_t *call, const char *text)
{
  struct evbuffer *part = evbuffer_new ();
  evbuffer_add (part, text, strlen (text));
  evhttp_send_reply_chunk (call->request, part);
  evbuffer_free (part);
}

void
http_call_end_stream (http_call_t *call)
{
  struct evhttp_request *request = call->request;
  call_free (call);
  evhttp_send_reply_end (request);
}

/* Deferred, because evhttp still uses the connection after on_call returns. */
void
http_call_abort (http_call_t *call)
{
  static const struct timeval soon = { 0, 0 };
  g_assert (call->abort_timer == NULL);
  call->on_disconnect = NULL;
  call->abort_timer = evtimer_new (event_get_base (call->close_event), on_abort_timer, call);
  event_add (call->abort_timer, &soon);
}

void
http_call_reply_broken (http_call_t *call, const char *id, const char *text, bool with_length)
{
  struct evhttp_connection *connection = evhttp_request_get_connection (call->request);
  int fd = bufferevent_getfd (evhttp_connection_get_bufferevent (connection));
  size_t text_bytes = strlen (text);
  GString *answer = g_string_new ("HTTP/1.1 200 OK\r\n");
  g_string_append_printf (answer, "X-Request-Id: %s\r\n", id);
  if (with_length)
    g_string_append_printf (answer, "Content-Length: %zu\r\n\r\n", text_bytes);
  else
    g_string_append (answer, "Connection: close\r\n\r\n");
  g_string_append_len (answer, text, (gssize)(with_length ? text_bytes / 2 : text_bytes));
  if (send (fd, answer->str, answer->len, MSG_NOSIGNAL) < 0)
    g_printerr ("cannot send the incomplete answer: %s\n", g_strerror (errno));
  g_string_free (answer, TRUE);
  http_call_abort (call);
}
