#include "request/relay.h"

#include "request/header_filter.h"

#include <event2/http.h>
#include <glib.h>
#include <string.h>
#include <sys/queue.h>

#define EVENT_STREAM "text/event-stream"
#define RELAY_HELD_QUEUES 2 /* as much as so many queues of a client */

/* These responses have no body, whatever their headers say. */
static bool
has_no_body (int status)
{
  return status == 204 || status == 304;
}

static bool
is_buffered (int status, struct evkeyvalq *headers)
{
  const char *length = evhttp_find_header (headers, "Content-Length");
  guint64 value;

  if (has_no_body (status))
    return true;
  return length != NULL &&
         g_ascii_string_to_unsigned (length, 10, 0, RELAY_BUFFER_LIMIT_BYTES, &value, NULL);
}

/* The response to HEAD has no body, so its Content-Length is copied; for all others the listener
 * writes its own. */
static void
copy_head_length (relay_t *relay, struct evkeyvalq *headers)
{
  const char *length = evhttp_find_header (headers, "Content-Length");

  if (length != NULL && relay->to != NULL && strcmp (http_server_method (relay->to), "HEAD") == 0)
    evhttp_add_header (&relay->headers, "Content-Length", length);
}

static void
on_room (void *context)
{
  relay_t *relay = context;

  relay->client_blocked = false;
  if (relay->from != NULL)
    http_client_set_paused (relay->from, false);
}

static void
send_headers (relay_t *relay)
{
  const struct evkeyval *header;

  for (header = relay->headers.tqh_first; header != NULL; header = header->next.tqe_next)
    http_server_add_header (relay->to, header->key, header->value);
}

static void
begin_streaming (relay_t *relay)
{
  relay->has_started = true;
  send_headers (relay);
  http_server_on_writable (relay->to, on_room, relay);
  http_server_begin_reply (relay->to, relay->status);
}

/* Whether the data ends with the empty line that ends an event. An error event may be added only
 * there: after a partial event its text would complete that event, and the client would take it for
 * a whole one. */
static bool
ends_event (struct evbuffer *data)
{
  static const char LF_END[] = "\n\n";
  static const char CRLF_END[] = "\r\n\r\n";
  size_t bytes = MIN (evbuffer_get_length (data), strlen (CRLF_END));
  size_t skipped = evbuffer_get_length (data) - bytes;
  char last[sizeof CRLF_END] = "";
  struct evbuffer_ptr from;

  evbuffer_ptr_set (data, &from, skipped, EVBUFFER_PTR_SET);
  evbuffer_copyout_from (data, &from, last, bytes);
  return g_str_has_suffix (last, LF_END) || strcmp (last, CRLF_END) == 0;
}

static void
stream_part (relay_t *relay, struct evbuffer *data)
{
  relay->at_event_end = relay->is_event_stream && ends_event (data);
  if (!relay->has_started)
    begin_streaming (relay);
  relay->client_blocked = !http_server_send_part (relay->to, data);
  relay->was_blocked |= relay->client_blocked;
  if (relay->client_blocked && relay->from != NULL)
    http_client_set_paused (relay->from, true);
}

void
relay_init (relay_t *relay, http_server_call_t *to)
{
  memset (relay, 0, sizeof *relay);
  relay->to = to;
  relay->is_returned = header_is_returned;
  relay->held_data = evbuffer_new ();
  TAILQ_INIT (&relay->headers);
}

void
relay_clear (relay_t *relay)
{
  evbuffer_free (relay->held_data);
  evhttp_clear_headers (&relay->headers);
}

uint64_t
relay_held_limit (const relay_t *relay)
{
  if (relay->to == NULL)
    return RELAY_HELD_LIMIT_BYTES;
  return MIN (RELAY_HELD_LIMIT_BYTES, RELAY_HELD_QUEUES * http_server_queue_limit (relay->to));
}

void
relay_start (relay_t *relay, http_client_call_t *from, int status, struct evkeyvalq *headers)
{
  const struct evkeyval *header;
  const char *type = evhttp_find_header (headers, "Content-Type");

  g_assert (!relay->has_started);
  evbuffer_drain (relay->held_data, evbuffer_get_length (relay->held_data));
  evhttp_clear_headers (&relay->headers);
  relay->from = from;
  relay->status = status;
  relay->is_buffering = is_buffered (status, headers);
  relay->is_event_stream =
      type != NULL && g_ascii_strncasecmp (type, EVENT_STREAM, strlen (EVENT_STREAM)) == 0;
  for (header = headers->tqh_first; header != NULL; header = header->next.tqe_next)
    if (relay->is_returned (header->key))
      evhttp_add_header (&relay->headers, header->key, header->value);
  copy_head_length (relay, headers);
}

void
relay_add_header (relay_t *relay, const char *name, const char *value)
{
  evhttp_add_header (&relay->headers, name, value);
}

void
relay_forward (relay_t *relay, struct evbuffer *data)
{
  if (relay->to == NULL)
    {
      evbuffer_drain (data, evbuffer_get_length (data));
      return;
    }
  if (!relay->is_buffering)
    {
      stream_part (relay, data);
      return;
    }
  http_client_keep_data (relay->held_data, data);
  if (evbuffer_get_length (relay->held_data) <= relay_held_limit (relay))
    return;
  relay->is_buffering = false;
  stream_part (relay, relay->held_data);
}

void
relay_finish (relay_t *relay)
{
  http_server_call_t *to = relay->to;
  size_t held_bytes = evbuffer_get_length (relay->held_data);

  relay->from = NULL;
  if (to == NULL)
    return;
  if (!relay->has_started && !relay->is_buffering)
    begin_streaming (relay);
  if (!relay->has_started)
    send_headers (relay);
  relay->to = NULL;
  if (relay->has_started)
    http_server_end_reply (to);
  else
    http_server_reply (to, relay->status, evbuffer_pullup (relay->held_data, -1), held_bytes);
}

void
relay_abort (relay_t *relay, const error_reply_t *fault)
{
  http_server_call_t *to = relay->to;

  g_assert (relay->has_started);
  relay->from = NULL;
  relay->to = NULL;
  if (to == NULL)
    return;
  if (relay->is_event_stream && relay->at_event_end)
    {
      struct evbuffer *part = evbuffer_new ();
      char *body = error_reply_body (fault);

      evbuffer_add_printf (part, "event: error\ndata: %s\n\n", body);
      http_server_send_part (to, part);
      g_free (body);
      evbuffer_free (part);
    }
  http_server_abort (to);
}

bool
relay_was_blocked (relay_t *relay)
{
  bool held_up = relay->client_blocked || relay->was_blocked;

  relay->was_blocked = relay->client_blocked;
  return held_up;
}

void
relay_client_gone (relay_t *relay)
{
  relay->to = NULL;
  relay->client_blocked = false;
  if (relay->from != NULL)
    http_client_set_paused (relay->from, false);
}
