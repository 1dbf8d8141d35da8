#include "request/relay.h"

#include "request/headers.h"

#include <event2/http.h>
#include <glib.h>
#include <string.h>
#include <sys/queue.h>

#define EVENT_STREAM "text/event-stream"

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
         g_ascii_string_to_unsigned (length, 10, 0, RLY_HELD_LIMIT_BYTES, &value, NULL);
}

/* The response to HEAD has no body, so its Content-Length is copied; for all others the listener
 * writes its own. */
static void
copy_head_length (rly_t *rly, struct evkeyvalq *headers)
{
  const char *length = evhttp_find_header (headers, "Content-Length");

  if (length != NULL && rly->to != NULL && strcmp (hsv_method (rly->to), "HEAD") == 0)
    evhttp_add_header (&rly->headers, "Content-Length", length);
}

static void
on_room (void *context)
{
  rly_t *rly = context;

  rly->full = false;
  if (rly->from != NULL)
    hcl_pause (rly->from, false);
}

static void
send_headers (rly_t *rly)
{
  const struct evkeyval *header;

  for (header = rly->headers.tqh_first; header != NULL; header = header->next.tqe_next)
    hsv_add_header (rly->to, header->key, header->value);
}

static void
begin_streaming (rly_t *rly)
{
  rly->begun = true;
  send_headers (rly);
  hsv_on_room (rly->to, on_room, rly);
  hsv_begin (rly->to, rly->status);
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
stream_part (rly_t *rly, struct evbuffer *data)
{
  rly->at_event_end = rly->events && ends_event (data);
  if (!rly->begun)
    begin_streaming (rly);
  rly->full = !hsv_part (rly->to, data);
  rly->was_blocked |= rly->full;
  if (rly->full && rly->from != NULL)
    hcl_pause (rly->from, true);
}

void
rly_init (rly_t *rly, hsv_call_t *to)
{
  memset (rly, 0, sizeof *rly);
  rly->to = to;
  rly->passes_back = hdr_passes_back;
  rly->held = evbuffer_new ();
  TAILQ_INIT (&rly->headers);
}

void
rly_clear (rly_t *rly)
{
  evbuffer_free (rly->held);
  evhttp_clear_headers (&rly->headers);
}

void
rly_head (rly_t *rly, hcl_call_t *from, int status, struct evkeyvalq *headers)
{
  const struct evkeyval *header;
  const char *type = evhttp_find_header (headers, "Content-Type");

  g_assert (!rly->begun);
  evbuffer_drain (rly->held, evbuffer_get_length (rly->held));
  evhttp_clear_headers (&rly->headers);
  rly->from = from;
  rly->status = status;
  rly->holding = is_buffered (status, headers);
  rly->events =
      type != NULL && g_ascii_strncasecmp (type, EVENT_STREAM, strlen (EVENT_STREAM)) == 0;
  for (header = headers->tqh_first; header != NULL; header = header->next.tqe_next)
    if (rly->passes_back (header->key))
      evhttp_add_header (&rly->headers, header->key, header->value);
  copy_head_length (rly, headers);
}

void
rly_add_header (rly_t *rly, const char *name, const char *value)
{
  evhttp_add_header (&rly->headers, name, value);
}

void
rly_data (rly_t *rly, struct evbuffer *data)
{
  if (rly->to == NULL)
    evbuffer_drain (data, evbuffer_get_length (data));
  else if (rly->holding)
    evbuffer_add_buffer (rly->held, data);
  else
    stream_part (rly, data);
}

void
rly_whole (rly_t *rly)
{
  hsv_call_t *to = rly->to;
  size_t held_bytes = evbuffer_get_length (rly->held);

  rly->from = NULL;
  if (to == NULL)
    return;
  if (!rly->begun && !rly->holding)
    begin_streaming (rly);
  if (!rly->begun)
    send_headers (rly);
  rly->to = NULL;
  if (rly->begun)
    hsv_end (to);
  else
    hsv_reply (to, rly->status, evbuffer_pullup (rly->held, -1), held_bytes);
}

void
rly_cut (rly_t *rly, const flt_t *fault)
{
  hsv_call_t *to = rly->to;

  g_assert (rly->begun);
  rly->from = NULL;
  rly->to = NULL;
  if (to == NULL)
    return;
  if (rly->events && rly->at_event_end)
    {
      struct evbuffer *part = evbuffer_new ();
      char *body = flt_body (fault);

      evbuffer_add_printf (part, "event: error\ndata: %s\n\n", body);
      hsv_part (to, part);
      g_free (body);
      evbuffer_free (part);
    }
  hsv_abort (to);
}

bool
rly_held_up (rly_t *rly)
{
  bool held_up = rly->full || rly->was_blocked;

  rly->was_blocked = rly->full;
  return held_up;
}

void
rly_gone (rly_t *rly)
{
  rly->to = NULL;
  rly->full = false;
  if (rly->from != NULL)
    hcl_pause (rly->from, false);
}
