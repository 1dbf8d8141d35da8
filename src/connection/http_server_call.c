#include "connection/http_framing.h"
#include "connection/http_server_internal.h"

#include <event2/http_struct.h>
#include <string.h>

/* A body is copied in parts, each of which is freed before the next one takes memory */
#define TAKEN_PART_BYTES (64 * 1024)

http_server_call_t *
http_server_call_new (http_server_conn_t *conn, struct evhttp_request *request)
{
  http_server_call_t *call = g_new0 (http_server_call_t, 1);

  call->conn = conn;
  call->request = request;
  return call;
}

void
http_server_call_free (http_server_call_t *call)
{
  if (call->query_parsed)
    evhttp_clear_headers (&call->query);
  g_free (call->path);
  g_free (call);
}

/* A disconnect of the client is no longer reported from here on. The connection still counts as
 * busy until the response has been sent */
static void
end_call (http_server_call_t *call)
{
  call->conn->call = NULL;
  http_server_set_whole (call->conn, 0);
  http_server_call_free (call);
}

static struct evkeyvalq *
output_headers (const http_server_call_t *call)
{
  return evhttp_request_get_output_headers (call->request);
}

static bool
has_body (const http_server_call_t *call, int status)
{
  if (evhttp_request_get_command (call->request) == EVHTTP_REQ_HEAD)
    return false;
  return status >= 200 && status != 204 && status != 304;
}

static bool
is_http_1_0 (const http_server_call_t *call)
{
  return call->request->major < 1 || (call->request->major == 1 && call->request->minor < 1);
}

static void
add_connection_close (const http_server_call_t *call)
{
  evhttp_remove_header (output_headers (call), "Connection");
  evhttp_add_header (output_headers (call), "Connection", "close");
}

static bool
ends_connection (const http_server_call_t *call)
{
  const http_server_t *http_server = call->conn->http_server;

  return http_server->closing || http_server_is_short (http_server);
}

const char *
http_server_method (const http_server_call_t *call)
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
    case EVHTTP_REQ_OPTIONS:
      return "OPTIONS";
    case EVHTTP_REQ_PATCH:
      return "PATCH";
    default:
      g_assert_not_reached (); /* not among the allowed methods */
    }
}

const char *
http_server_target (const http_server_call_t *call)
{
  return evhttp_request_get_uri (call->request);
}

const char *
http_server_path (const http_server_call_t *call)
{
  http_server_call_t *mutable_call = (http_server_call_t *)call;
  const char *target = http_server_target (call);

  if (!mutable_call->path)
    mutable_call->path = g_strndup (target, strcspn (target, "?#"));
  return mutable_call->path;
}

const char *
http_server_query_value (http_server_call_t *call, const char *name)
{
  const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri (call->request);
  const char *text = evhttp_uri_get_query (uri);

  if (!text)
    return NULL;
  if (!call->query_parsed)
    {
      call->query_parsed = true;
      evhttp_parse_query_str (text, &call->query);
    }
  return evhttp_find_header (&call->query, name);
}

const char *
http_server_request_header (const http_server_call_t *call, const char *name)
{
  return evhttp_find_header (http_server_request_headers (call), name);
}

struct evkeyvalq *
http_server_request_headers (const http_server_call_t *call)
{
  return evhttp_request_get_input_headers (call->request);
}

const char *
http_server_body (http_server_call_t *call, size_t *body_bytes)
{
  struct evbuffer *body = evhttp_request_get_input_buffer (call->request);

  *body_bytes = evbuffer_get_length (body);
  if (*body_bytes == 0)
    return "";
  return (const char *)evbuffer_pullup (body, -1);
}

char *
http_server_take_body (http_server_call_t *call, size_t *body_bytes)
{
  struct evbuffer *body = evhttp_request_get_input_buffer (call->request);
  char *taken;
  size_t at = 0;

  *body_bytes = evbuffer_get_length (body);
  if (*body_bytes == 0)
    return NULL;
  taken = g_malloc (*body_bytes);
  while (evbuffer_get_length (body) > 0)
    at += (size_t)evbuffer_remove (body, taken + at, MIN (*body_bytes - at, TAKEN_PART_BYTES));
  return taken;
}

void
http_server_move_body (http_server_call_t *call, struct evbuffer *to)
{
  evbuffer_add_buffer (to, evhttp_request_get_input_buffer (call->request));
}

void
http_server_on_disconnect (http_server_call_t *call, void (*gone) (void *context), void *context)
{
  call->on_disconnect = gone;
  call->gone_context = context;
}

void
http_server_on_writable (http_server_call_t *call, void (*room) (void *context), void *context)
{
  call->on_writable = room;
  call->room_context = context;
}

void
http_server_add_header (http_server_call_t *call, const char *name, const char *value)
{
  if (!http_framing_is_valid_name (name) || !http_framing_is_valid_value (value))
    {
      counter_add (call->conn->http_server->bad_headers, 1);
      return;
    }
  if (g_ascii_strcasecmp (name, "Transfer-Encoding") == 0)
    return;
  if (g_ascii_strcasecmp (name, "Connection") != 0)
    evhttp_add_header (output_headers (call), name, value);
  else if (g_ascii_strcasecmp (value, "close") == 0)
    add_connection_close (call);
}

/* Without a length on HTTP/1.0, or with a body where none is allowed, the client could not tell
 * where the next response starts */
static void
declare_length (http_server_call_t *call, int status, size_t body_bytes)
{
  bool is_head = evhttp_request_get_command (call->request) == EVHTTP_REQ_HEAD;
  bool is_declared = evhttp_find_header (output_headers (call), "Content-Length") != NULL;
  char digits[32];

  if (is_head && is_declared)
    return;
  while (evhttp_remove_header (output_headers (call), "Content-Length") == 0)
    ;
  if (!has_body (call, status) && !is_head)
    return;
  g_snprintf (digits, sizeof digits, "%zu", body_bytes);
  evhttp_add_header (output_headers (call), "Content-Length", digits);
}

void
http_server_reply (http_server_call_t *call, int status, const void *body, size_t body_bytes)
{
  struct evhttp_request *request = call->request;
  struct evbuffer *buffer = evbuffer_new ();

  g_assert (!call->begun);
  declare_length (call, status, body_bytes);
  if (has_body (call, status))
    evbuffer_add (buffer, body, body_bytes);
  if (ends_connection (call))
    add_connection_close (call);
  end_call (call);
  evhttp_send_reply (request, status, NULL, buffer);
  evbuffer_free (buffer);
}

void
http_server_reply_text (http_server_call_t *call,
                        int status,
                        const char *content_type,
                        const char *text)
{
  http_server_add_header (call, "Content-Type", content_type);
  http_server_reply (call, status, text, strlen (text));
}

void
http_server_begin_reply (http_server_call_t *call, int status)
{
  g_assert (!call->begun);
  call->begun = true;
  if (has_body (call, status))
    while (evhttp_remove_header (output_headers (call), "Content-Length") == 0)
      ;
  if (ends_connection (call) || is_http_1_0 (call))
    add_connection_close (call);
  evhttp_send_reply_start (call->request, status, NULL);
}

uint64_t
http_server_queue_limit (const http_server_call_t *call)
{
  const http_server_t *http_server = call->conn->http_server;

  return answer_room_bytes (http_server->options.answer_limit_bytes, http_server->busy_count);
}

bool
http_server_send_part (http_server_call_t *call, struct evbuffer *data)
{
  struct evbuffer *output = bufferevent_get_output (call->conn->bev);

  g_assert (call->begun);
  evhttp_send_reply_chunk (call->request, data);
  evbuffer_drain (data, evbuffer_get_length (data)); /* not sent when no body is allowed */
  call->full |= evbuffer_get_length (output) > http_server_queue_limit (call);
  return !call->full;
}

void
http_server_end_reply (http_server_call_t *call)
{
  struct evhttp_request *request = call->request;

  g_assert (call->begun);
  end_call (call);
  evhttp_send_reply_end (request);
}

void
http_server_abort (http_server_call_t *call)
{
  http_server_conn_t *conn = call->conn;

  conn->closing = true;
  conn->close_by_reset = is_http_1_0 (call);
  end_call (call);
  http_server_conn_defer (conn);
}
