#include "driver.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* An HTTP client that shares no code with the library under test, so that a fault of the library's
 * parser cannot hide itself. */

static void
close_connection (driver_call_t *call)
{
  bufferevent_free (call->bev);
  call->bev = NULL;
}

static bool
may_be_reused (const driver_call_t *call)
{
  const char *connection = driver_call_header (call, "connection");
  return call->is_kept && call->outcome == DRIVER_OUTCOME_COMPLETE &&
         (connection == NULL || g_ascii_strcasecmp (connection, "close") != 0);
}

static void
end_call (driver_call_t *call, driver_outcome_t end)
{
  call->outcome = end;
  call->ended_us = (uint64_t)g_get_monotonic_time ();
  if (!may_be_reused (call))
    close_connection (call);
}

static void
parse_header_line (driver_call_t *call, const char *line)
{
  const char *colon = strchr (line, ':');
  if (colon == NULL)
    return;
  g_autofree char *name = g_strndup (line, (gsize)(colon - line));
  g_hash_table_replace (call->headers, g_ascii_strdown (name, -1),
                        g_strstrip (g_strdup (colon + 1)));
}

/* Return: Whether the response header is complete. */
static bool
parse_header (driver_call_t *call, struct evbuffer *in)
{
  struct evbuffer_ptr end = evbuffer_search (in, "\r\n\r\n", 4, NULL);
  char *line;
  if (end.pos < 0)
    return false;
  while ((line = evbuffer_readln (in, NULL, EVBUFFER_EOL_CRLF_STRICT)) != NULL && *line != '\0')
    {
      if (call->status == 0)
        call->status = atoi (line + strlen ("HTTP/1.1 "));
      else
        parse_header_line (call, line);
      free (line);
    }
  free (line);
  const char *length = driver_call_header (call, "content-length");
  call->chunked = g_strcmp0 (driver_call_header (call, "transfer-encoding"), "chunked") == 0;
  call->remaining_bytes = length != NULL ? (int64_t)g_ascii_strtoll (length, NULL, 10) : -1;
  if (call->chunked)
    call->remaining_bytes = 0;
  call->has_head = true;
  call->head_us = (uint64_t)g_get_monotonic_time ();
  return true;
}

static void
read_body (driver_call_t *call, struct evbuffer *in, size_t limit)
{
  size_t bytes = MIN (limit, evbuffer_get_length (in));
  g_string_append_len (call->body, (const char *)evbuffer_pullup (in, (ev_ssize_t)bytes),
                       (gssize)bytes);
  evbuffer_drain (in, bytes);
  if (call->remaining_bytes > 0)
    call->remaining_bytes -= (int64_t)bytes;
}

/* Return: Whether the last chunk has arrived, with the line break that ends the body. */
static bool
read_chunks (driver_call_t *call, struct evbuffer *in)
{
  while (evbuffer_get_length (in) > 0)
    {
      if (call->in_chunk && call->remaining_bytes > 0)
        {
          read_body (call, in, (size_t)call->remaining_bytes);
          continue;
        }
      char *line = evbuffer_readln (in, NULL, EVBUFFER_EOL_CRLF_STRICT);
      if (line == NULL)
        return false;
      if (call->has_last_chunk)
        {
          free (line);
          return true;
        }
      if (call->in_chunk)
        call->in_chunk = false; /* the line break that closes a chunk */
      else
        {
          call->remaining_bytes = (int64_t)g_ascii_strtoull (line, NULL, 16);
          call->in_chunk = true;
        }
      free (line);
      call->has_last_chunk = call->in_chunk && call->remaining_bytes == 0;
    }
  return false;
}

static void
on_read (struct bufferevent *bev, void *context)
{
  driver_call_t *call = context;
  struct evbuffer *in = bufferevent_get_input (bev);
  if (call->outcome != DRIVER_OUTCOME_PENDING)
    return;
  if (!call->has_head && !parse_header (call, in))
    return;
  bool whole = false;
  if (call->chunked)
    whole = read_chunks (call, in);
  else
    {
      read_body (call, in, call->remaining_bytes >= 0 ? (size_t)call->remaining_bytes : SIZE_MAX);
      whole = call->remaining_bytes == 0;
    }
  if (whole)
    end_call (call, DRIVER_OUTCOME_COMPLETE);
}

static void
on_event (struct bufferevent *bev, short what, void *context)
{
  driver_call_t *call = context;
  (void)bev;
  call->is_connected |= (what & BEV_EVENT_CONNECTED) != 0;
  if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
    return;
  call->is_reset = (what & BEV_EVENT_ERROR) != 0 && call->is_connected;
  if (call->outcome != DRIVER_OUTCOME_PENDING)
    close_connection (call);
  else
    end_call (call, call->has_head ? DRIVER_OUTCOME_TRUNCATED : DRIVER_OUTCOME_NO_RESPONSE);
}

static driver_call_t *
call_new (driver_t *driver, const char *body, size_t body_bytes)
{
  driver_call_t *call = g_new0 (driver_call_t, 1);
  call->driver = driver;
  call->headers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  call->body = g_string_new (NULL);
  call->sent_body = g_strndup (body != NULL ? body : "", body_bytes);
  call->sent_us = (uint64_t)g_get_monotonic_time ();
  g_ptr_array_add (driver->calls, call);
  return call;
}

static void
write_request (driver_call_t *call,
               const char *method,
               const char *target,
               const char *headers,
               const char *body,
               size_t body_bytes)
{
  struct evbuffer *output = bufferevent_get_output (call->bev);
  bufferevent_setcb (call->bev, on_read, NULL, on_event, call);
  evbuffer_add_printf (output, "%s %s HTTP/1.1\r\nHost: fleet\r\nContent-Length: %zu\r\n%s\r\n",
                       method, target, body_bytes, headers != NULL ? headers : "");
  evbuffer_add (output, body, body_bytes);
  bufferevent_enable (call->bev, EV_READ | EV_WRITE);
}

driver_call_t *
driver_send_http_bytes (driver_t *driver,
                        const char *ip,
                        const char *method,
                        const char *target,
                        const char *headers,
                        const char *body,
                        size_t body_bytes)
{
  driver_call_t *call = call_new (driver, body, body_bytes);
  g_auto (GStrv) address = g_strsplit (ip, ":", 2);
  guint64 port = address[1] != NULL ? g_ascii_strtoull (address[1], NULL, 10) : DRIVER_PORT;
  struct sockaddr_in to = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  inet_pton (AF_INET, address[0], &to.sin_addr);
  call->bev = bufferevent_socket_new (driver->base, -1, BEV_OPT_CLOSE_ON_FREE);
  write_request (call, method, target, headers, body, body_bytes);
  if (bufferevent_socket_connect (call->bev, (struct sockaddr *)&to, sizeof to) != 0)
    end_call (call, DRIVER_OUTCOME_NO_RESPONSE);
  return call;
}

driver_call_t *
driver_send_next (driver_call_t *before,
                  const char *method,
                  const char *target,
                  const char *headers)
{
  driver_call_t *call = call_new (before->driver, NULL, 0);
  g_assert (driver_call_is_connected (before));
  call->is_kept = true;
  call->is_connected = true;
  call->bev = before->bev;
  before->bev = NULL;
  write_request (call, method, target, headers, NULL, 0);
  return call;
}

bool
driver_call_is_connected (const driver_call_t *call)
{
  return call->outcome == DRIVER_OUTCOME_COMPLETE && call->bev != NULL;
}

driver_call_t *
driver_send_http (driver_t *driver,
                  const char *ip,
                  const char *method,
                  const char *target,
                  const char *headers,
                  const char *body)
{
  return driver_send_http_bytes (driver, ip, method, target, headers, body,
                                 body != NULL ? strlen (body) : 0);
}

void
driver_call_free (driver_call_t *call)
{
  if (call->bev != NULL)
    bufferevent_free (call->bev);
  g_hash_table_destroy (call->headers);
  g_string_free (call->body, TRUE);
  g_free (call->sent_body);
  g_free (call->name);
  g_free (call->key);
  g_free (call->account);
  g_free (call);
}

static char *
build_body (const driver_request_t *request)
{
  const char *name = request->same_body_as != NULL ? request->same_body_as : request->name;
  if (request->kind == DRIVER_LOOKUP || request->kind == DRIVER_BOOKING)
    return g_strdup_printf ("{\"order\":\"%s\",\"text\":\"%s\"}", name,
                            request->text != NULL ? request->text : "");
  json_t *json =
      json_pack ("{s:s, s:[{s:s, s:s}, {s:s, s:s}], s:i, s:b}", "model",
                 request->kind == DRIVER_TAG ? "claims-tags" : "claims", "messages", "role", "user",
                 "content", request->text != NULL ? request->text : "hello", "role", "user",
                 "content", name, "max_tokens", (int)(request->tokens != 0 ? request->tokens : 4),
                 "stream", (int)request->stream);
  char *text = json_dumps (json, JSON_COMPACT);
  char *body = g_strdup (text);
  free (text);
  json_decref (json);
  return body;
}

driver_call_t *
driver_send_request (driver_t *driver, const driver_request_t *request)
{
  static const char *const targets[] = { "/v1/chat/completions", "/v1/chat/completions",
                                         "/portal/lookup", "/portal/bookings" };
  const char *account = request->account != NULL ? request->account : "alpha";
  g_autofree char *body = build_body (request);
  GString *headers = g_string_new ("Content-Type: application/json\r\n");
  if (request->authorization != NULL)
    g_string_append_printf (headers, "Authorization: %s\r\n", request->authorization);
  else
    g_string_append_printf (headers, "Authorization: Bearer key-%s\r\n", account);
  if (request->chat != NULL)
    g_string_append_printf (headers, "X-Chat-Id: %s\r\n", request->chat);
  if (request->deadline_ms != 0)
    g_string_append_printf (headers, "X-Deadline-Ms: %u\r\n", request->deadline_ms);
  if (request->key != NULL)
    g_string_append_printf (headers, "Idempotency-Key: %s\r\n", request->key);
  driver_call_t *call = driver_send_http (driver, driver->routers[request->router]->ip, "POST",
                                          targets[request->kind], headers->str, body);
  call->name = g_strdup (request->name);
  call->key = g_strdup (request->key);
  call->account = g_strdup (account);
  call->router = request->router;
  call->kind = request->kind;
  call->is_streamed = request->stream;
  call->tokens = request->tokens != 0 ? request->tokens : 4;
  g_string_free (headers, TRUE);
  return call;
}

static bool
call_ended (void *context)
{
  return ((driver_call_t *)context)->outcome != DRIVER_OUTCOME_PENDING;
}

void
driver_call_wait (driver_call_t *call)
{
  g_autofree char *what =
      g_strdup_printf ("the response to %s", call->name != NULL ? call->name : "a call");
  driver_wait_until (call->driver, DRIVER_WAIT_LIMIT_MS, what, call_ended, call);
}

static bool
all_ended (void *context)
{
  driver_t *driver = context;
  for (guint i = 0; i < driver->calls->len; i++)
    if (!call_ended (driver->calls->pdata[i]))
      return false;
  return true;
}

void
driver_wait_all_calls (driver_t *driver)
{
  driver_wait_until (driver, 2 * DRIVER_WAIT_LIMIT_MS, "all responses", all_ended, driver);
}

static bool
has_body_or_ended (void *context)
{
  driver_call_t *call = context;
  return call->body->len > 0 || call->outcome != DRIVER_OUTCOME_PENDING;
}

void
driver_call_wait_body (driver_call_t *call)
{
  g_autofree char *what = g_strdup_printf ("the first bytes of the response to %s", call->name);
  driver_wait_until (call->driver, DRIVER_WAIT_LIMIT_MS, what, has_body_or_ended, call);
}

void
driver_call_cancel (driver_call_t *call)
{
  if (call->outcome == DRIVER_OUTCOME_PENDING)
    end_call (call, DRIVER_OUTCOME_CANCELLED);
}

const char *
driver_call_header (const driver_call_t *call, const char *name)
{
  return g_hash_table_lookup (call->headers, name);
}

const char *
driver_call_verdict (const driver_call_t *call)
{
  const char *verdict = driver_call_header (call, "x-medlarplank-verdict");
  return verdict != NULL ? verdict : "";
}

char *
driver_call_error_code (const driver_call_t *call)
{
  json_t *json = json_loadb (call->body->str, call->body->len, 0, NULL);
  char *code =
      g_strdup (json_string_value (json_object_get (json_object_get (json, "error"), "code")));
  json_decref (json);
  return code != NULL ? code : g_strdup ("");
}

/* What the stand-in engine says of this request: its hash, then one word for each token. */
static bool
is_expected_text (const driver_call_t *call, const char *text)
{
  char start[64];
  g_snprintf (start, sizeof start, "answer to %016" PRIx64 " by ",
              (uint64_t)XXH64 (call->sent_body, strlen (call->sent_body), 0));
  if (text == NULL || !g_str_has_prefix (text, start))
    return false;
  GString *end = g_string_new (NULL);
  for (uint32_t i = 1; i < call->tokens; i++)
    g_string_append_printf (end, " w%" PRIu32, i);
  const char *after_name = strchr (text + strlen (start), ' ');
  bool is_correct = g_strcmp0 (after_name != NULL ? after_name : "", end->str) == 0;
  g_string_free (end, TRUE);
  return is_correct;
}

static const char *
choice_content (const json_t *json, const char *part)
{
  const json_t *choice = json_array_get (json_object_get (json, "choices"), 0);
  return json_string_value (json_object_get (json_object_get (choice, part), "content"));
}

static bool
is_expected_stream (const driver_call_t *call)
{
  GString *text = g_string_new (NULL);
  bool done = false;
  g_auto (GStrv) lines = g_strsplit (call->body->str, "\n", -1);
  for (char **line = lines; *line != NULL; line++)
    {
      if (!g_str_has_prefix (*line, "data: "))
        continue;
      done = strcmp (*line, "data: [DONE]") == 0;
      json_t *json = json_loads (*line + strlen ("data: "), 0, NULL);
      const char *part = choice_content (json, "delta");
      g_string_append (text, part != NULL ? part : "");
      json_decref (json);
    }
  bool is_correct = done && is_expected_text (call, text->str);
  g_string_free (text, TRUE);
  return is_correct;
}

void
driver_call_print (const driver_call_t *call, const char *id)
{
  uint64_t took_ms = (call->ended_us - call->sent_us) / 1000;

  printf ("%s: status=%d end=%d took_ms=%" PRIu64 " body=%s\n", id, call->status,
          (int)call->outcome, took_ms, call->body->str);
}

bool
driver_call_is_correct (const driver_call_t *call)
{
  if (call->outcome != DRIVER_OUTCOME_COMPLETE || call->status != 200)
    return false;
  if (call->is_streamed)
    return is_expected_stream (call);
  json_t *json = json_loadb (call->body->str, call->body->len, 0, NULL);
  bool is_correct;
  if (call->kind == DRIVER_CHAT || call->kind == DRIVER_TAG)
    is_correct = is_expected_text (call, choice_content (json, "message"));
  else
    {
      char hash[17];
      g_snprintf (hash, sizeof hash, "%016" PRIx64,
                  (uint64_t)XXH64 (call->sent_body, strlen (call->sent_body), 0));
      is_correct = g_strcmp0 (json_string_value (json_object_get (json, "body_hash")), hash) == 0;
    }
  json_decref (json);
  return is_correct;
}
