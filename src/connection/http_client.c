#include "connection/http_client_internal.h"
#include "base/log.h"
#include "connection/http_framing.h"

#include <event2/http_struct.h>
#include <string.h>
#include <sys/ioctl.h>

#define STATUS_CONTINUE 100
#define STATUS_FINAL_MIN 200 /* of a response that is not interim */
#define STATUS_MAX 599
#define COPIED_PART_BYTES 4096 /* smaller parts are copied when they are kept */

/* Return: 0 for an unsupported method */
static enum evhttp_cmd_type
method_from_name (const char *name)
{
  static const struct
  {
    const char *name;
    enum evhttp_cmd_type method;
  } methods[] = {
    { "GET", EVHTTP_REQ_GET },       { "POST", EVHTTP_REQ_POST },
    { "HEAD", EVHTTP_REQ_HEAD },     { "PUT", EVHTTP_REQ_PUT },
    { "DELETE", EVHTTP_REQ_DELETE }, { "OPTIONS", EVHTTP_REQ_OPTIONS },
    { "PATCH", EVHTTP_REQ_PATCH },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (methods); i++)
    if (strcmp (methods[i].name, name) == 0)
      return methods[i].method;
  return 0;
}

static bool
are_valid_options (const http_client_options_t *options)
{
  if (!method_from_name (options->method) || !http_framing_is_valid_target (options->target))
    return false;
  for (uint32_t i = 0; i < options->header_count; i++)
    if (!http_framing_is_valid_name (options->headers[i].name) ||
        !http_framing_is_valid_value (options->headers[i].value))
      return false;
  return true;
}

static void
call_free (http_client_call_t *call)
{
  g_hash_table_remove (call->http_client->calls, call);
  event_free (call->event);
  g_free (call->check_name);
  g_free (call->check_value);
  g_free (call);
}

static const char *
end_cause (const http_client_call_t *call, verdict_reason_t reason)
{
  static const char *const errors[] = { [HTTP_CLIENT_ERROR_CLOSED] = "closed",
                                        [HTTP_CLIENT_ERROR_RESET] = "reset",
                                        [HTTP_CLIENT_ERROR_ANSWER] = "bad_answer" };

  if (call->given_up)
    return "given_up";
  if (reason == VERDICT_REASON_CUT && call->conn->error != HTTP_CLIENT_ERROR_NONE)
    return errors[call->conn->error];
  return reason == VERDICT_REASON_CUT ? "bad_answer" : verdict_reason_to_string (reason);
}

/* One line for each call without a whole response: who ended it, and on what connection. Whether
 * a kept connection was closed by its peer just before tells a lost send from a lost run. */
static void
log_end (const http_client_call_t *call, verdict_reason_t reason)
{
  const http_client_conn_t *conn = call->conn;
  bool by_peer =
      conn && !call->given_up &&
      (conn->error == HTTP_CLIENT_ERROR_CLOSED || conn->error == HTTP_CLIENT_ERROR_RESET);

  if (!conn || call->id[0] == '\0')
    return;
  log_event (LOG_LEVEL_INFO, "upstream_ended", "id", call->id, "address", conn->key, "by",
             by_peer ? "peer" : "us", "reason", end_cause (call, reason), "kept",
             conn->was_kept ? "yes" : "no", "idle_ms",
             conn->was_kept ? LOG_U64 ((uint64_t)conn->idle_us / CLOCK_US_PER_MS) : NULL, "sent",
             call->sent ? "yes" : "no", "head", call->head_received ? "yes" : "no", "bytes",
             LOG_U64 (call->received_bytes), "ms",
             LOG_U64 ((uint64_t)(g_get_monotonic_time () - call->started_us) / CLOCK_US_PER_MS),
             NULL);
}

/* The call's event runs on_end later, since that callback may call any function of the client */
static void
end_call (http_client_call_t *call, bool whole, verdict_reason_t reason)
{
  http_client_conn_t *conn = call->conn;

  if (!whole)
    log_end (call, reason);
  call->result.complete = whole;
  call->result.verdict = whole ? VERDICT_RAN : call->sent ? VERDICT_MAY_HAVE_RUN : VERDICT_NOT_RUN;
  call->result.reason =
      reason == VERDICT_REASON_CUT && !call->sent ? VERDICT_REASON_CONNECT : reason;
  call->conn = NULL;
  event_del (call->event);
  event_active (call->event, EV_TIMEOUT, 0);
  if (!conn)
    return;
  conn->call = NULL;
  conn->abandoned = !whole;
  if (whole)
    http_client_conn_release (conn);
  else
    http_client_conn_close (conn);
}

void
http_client_call_connect_failed (http_client_call_t *call)
{
  end_call (call, false, VERDICT_REASON_CONNECT);
}

void
http_client_call_bad_answer (http_client_call_t *call)
{
  call->sent = true;
  call->conn->error = HTTP_CLIENT_ERROR_ANSWER;
  end_call (call, false, VERDICT_REASON_CUT);
}

void
http_client_cut_call (http_client_call_t *call)
{
  call->sent = true;
  call->given_up = true;
  end_call (call, false, VERDICT_REASON_CUT);
}

static bool
has_unread_bytes (const http_client_conn_t *conn)
{
  int unread = 0;

  return ioctl (bufferevent_getfd (conn->bev), FIONREAD, &unread) == 0 && unread > 0;
}

/* A process that did not run for a while finds the timeout due and a response that had come in
 * time. That is read first, in a time of its own; one without end in that alone. */
static bool
extend_late_timeout (http_client_call_t *call)
{
  static const struct timeval extension = { 0, LIMIT_HTTP_UNREAD_MS * 1000 };
  int64_t late_us = g_get_monotonic_time () - call->due_us;

  if (call->due_us == 0 || late_us < LIMIT_HTTP_LATE_TIMER_MS * 1000 || call->paused ||
      !has_unread_bytes (call->conn))
    return false;
  call->due_us = 0;
  event_add (call->event, &extension);
  return true;
}

static void
on_call_event (evutil_socket_t fd, short what, void *context)
{
  http_client_call_t *call = context;
  void (*on_end) (const http_client_result_t *end, void *) = call->on_end;
  void *on_end_context = call->context;
  http_client_result_t end;

  (void)fd;
  (void)what;
  if (call->conn)
    {
      if (!extend_late_timeout (call))
        end_call (call, false, VERDICT_REASON_TIMEOUT);
      return;
    }
  end = call->result;
  call_free (call);
  on_end (&end, on_end_context);
}

static bool
must_declare_length (const http_client_call_t *call, int status)
{
  return call->method != EVHTTP_REQ_HEAD && status != 204 && status != 304;
}

/* Return: VERDICT_REASON_NONE when the response may be passed on */
static verdict_reason_t
check_head (const http_client_call_t *call, int status, const struct evkeyvalq *headers)
{
  http_framing_t framing = http_framing_detect (headers);
  const char *value;

  if (status < STATUS_FINAL_MIN || status > STATUS_MAX || framing == HTTP_FRAMING_INVALID)
    return VERDICT_REASON_CUT;
  /* libevent treats the end of the connection as the end of such a response, so a truncated one
   * would look complete */
  if (framing == HTTP_FRAMING_NONE && must_declare_length (call, status) && !call->until_close)
    return VERDICT_REASON_CUT;
  if (!call->check_name)
    return VERDICT_REASON_NONE;
  value = evhttp_find_header (headers, call->check_name);
  return value && strcmp (value, call->check_value) == 0 ? VERDICT_REASON_NONE
                                                         : VERDICT_REASON_CROSSED;
}

/* A response that can't have a body ends with its head, and leaves its connection to the next
 * request unless its Connection header says otherwise. */
static bool
may_have_body (const struct evhttp_request *request)
{
  return request->type != EVHTTP_REQ_HEAD && request->response_code != HTTP_NOCONTENT &&
         request->response_code != HTTP_NOTMODIFIED;
}

/* libevent takes a response without a length for empty where a Connection header is other than
 * "close"; it ends with its connection nevertheless */
static void
read_until_close (const struct evhttp_request *request, struct evkeyvalq *headers)
{
  if (!may_have_body (request) || http_framing_detect (headers) != HTTP_FRAMING_NONE)
    return;
  while (evhttp_remove_header (headers, "Connection") == 0)
    continue;
}

/* A negative return value makes libevent fail the request, which has no call any more by then */
static int
on_head (struct evhttp_request *request, void *context)
{
  http_client_conn_t *conn = context;
  http_client_call_t *call = conn->call;
  struct evkeyvalq *headers = evhttp_request_get_input_headers (request);
  int status = evhttp_request_get_response_code (request);
  verdict_reason_t reason;

  if (!call)
    return -1;
  if (http_framing_is_interim (status))
    {
      /* or libevent would add them to those of the final response */
      evhttp_clear_headers (headers);
      request->response_code = STATUS_CONTINUE; /* the only one after which it reads another head */
      http_client_conn_hold (conn);
      return 0;
    }
  call->result.status = status;
  reason = check_head (call, status, headers);
  if (reason != VERDICT_REASON_NONE)
    {
      end_call (call, false, reason);
      return -1;
    }
  read_until_close (request, headers);
  call->head_received = true;
  if (call->on_head && !call->on_head (status, headers, call->context) && conn->call)
    end_call (call, false, VERDICT_REASON_CUT);
  if (!conn->call)
    return -1;
  http_client_conn_update_reading (conn);
  return 0;
}

static void
on_chunk (struct evhttp_request *request, void *context)
{
  http_client_conn_t *conn = context;
  http_client_call_t *call = conn->call;

  if (call && call->on_data)
    call->on_data (evhttp_request_get_input_buffer (request), call->context);
}

/* libevent reports a failure by a NULL request or by one without a status */
static void
on_done (struct evhttp_request *request, void *context)
{
  http_client_conn_t *conn = context;
  http_client_call_t *call = conn->call;

  if (!call)
    return;
  if (request && call->head_received)
    end_call (call, true, VERDICT_REASON_NONE);
  else
    end_call (call, false, VERDICT_REASON_CUT);
}

/* Runs before on_done() for the same failure */
static void
on_error (enum evhttp_request_error error, void *context)
{
  http_client_conn_t *conn = context;

  if (error == EVREQ_HTTP_EOF)
    conn->error = HTTP_CLIENT_ERROR_CLOSED;
  else if (error == EVREQ_HTTP_BUFFER_ERROR || error == EVREQ_HTTP_TIMEOUT)
    conn->error = HTTP_CLIENT_ERROR_RESET;
  else
    conn->error = HTTP_CLIENT_ERROR_ANSWER;
}

static bool
is_set_by_client (const char *name)
{
  return g_ascii_strcasecmp (name, "Content-Length") == 0 ||
         g_ascii_strcasecmp (name, "Transfer-Encoding") == 0 ||
         g_ascii_strcasecmp (name, "Connection") == 0 || g_ascii_strcasecmp (name, "Expect") == 0;
}

static void
add_host (struct evkeyvalq *headers, const address_t *address)
{
  bool is_v6 = strchr (address->ip, ':') != NULL;
  char host[sizeof address->ip + 16];

  if (evhttp_find_header (headers, "Host"))
    return;
  g_snprintf (host, sizeof host, is_v6 ? "[%s]:%u" : "%s:%u", address->ip, address->port);
  evhttp_add_header (headers, "Host", host);
}

static void
add_headers (struct evkeyvalq *headers, const http_client_options_t *options)
{
  char digits[32];

  for (uint32_t i = 0; i < options->header_count; i++)
    if (!is_set_by_client (options->headers[i].name))
      evhttp_add_header (headers, options->headers[i].name, options->headers[i].value);
  add_host (headers, options->address);
  g_snprintf (digits, sizeof digits, "%zu", options->body_bytes);
  if (options->body_bytes > 0 || options->method[0] == 'P')
    evhttp_add_header (headers, "Content-Length", digits);
}

static struct evhttp_request *
make_request (http_client_conn_t *conn, const http_client_options_t *options)
{
  struct evhttp_request *request = evhttp_request_new (on_done, conn);

  evhttp_request_set_header_cb (request, on_head);
  evhttp_request_set_error_cb (request, on_error);
  evhttp_request_set_chunked_cb (request, on_chunk);
  add_headers (evhttp_request_get_output_headers (request), options);
  if (options->body_bytes > 0 && options->body_parts)
    evbuffer_add_buffer_reference (evhttp_request_get_output_buffer (request), options->body_parts);
  else if (options->body_bytes > 0)
    evbuffer_add_reference (evhttp_request_get_output_buffer (request), options->body,
                            options->body_bytes, NULL, NULL);
  return request;
}

static http_client_call_t *
call_new (http_client_t *http_client, const http_client_options_t *options)
{
  http_client_call_t *call = g_new0 (http_client_call_t, 1);

  call->http_client = http_client;
  call->event = evtimer_new (http_client->base, on_call_event, call);
  call->check_name = g_strdup (options->check_name);
  call->check_value = g_strdup (options->check_value);
  call->on_head = options->on_head;
  call->on_data = options->on_data;
  call->on_end = options->on_end;
  call->context = options->context;
  call->method = method_from_name (options->method);
  call->until_close = options->until_close;
  call->started_us = g_get_monotonic_time ();
  call->heard_turn = ++http_client->turns;
  for (uint32_t i = 0; i < options->header_count; i++)
    if (g_ascii_strcasecmp (options->headers[i].name, "X-Request-Id") == 0)
      g_strlcpy (call->id, options->headers[i].value, sizeof call->id);
  g_hash_table_add (http_client->calls, call);
  return call;
}

static void
send_call (http_client_call_t *call, const http_client_options_t *options)
{
  uint64_t idle_limit_us = options->idle_limit_us ? options->idle_limit_us : UINT64_MAX;
  http_client_conn_t *conn =
      options->new_connection
          ? http_client_conn_open (call->http_client, options->address)
          : http_client_conn_acquire (call->http_client, options->address, idle_limit_us,
                                      options->sent_before ? call->id : "");
  struct evhttp_request *request = make_request (conn, options);
  ev_ssize_t limit = options->answer_limit_bytes ? (ev_ssize_t)options->answer_limit_bytes : -1;

  call->conn = conn;
  conn->call = call;
  g_strlcpy (conn->last_id, call->id, sizeof conn->last_id);
  conn->error = HTTP_CLIENT_ERROR_NONE;
  evhttp_connection_set_max_body_size (conn->evcon, limit);
  http_client_conn_expect (conn, options->answer_limit_bytes);
  evhttp_make_request (conn->evcon, request, call->method, options->target);
}

http_client_call_t *
http_client_start_call (http_client_t *http_client, const http_client_options_t *options)
{
  struct timeval timeout = { (time_t)(options->timeout_us / CLOCK_US_PER_S),
                             (suseconds_t)(options->timeout_us % CLOCK_US_PER_S) };
  http_client_call_t *call = call_new (http_client, options);

  if (!are_valid_options (options))
    {
      end_call (call, false, VERDICT_REASON_CONNECT);
      return call;
    }
  if (options->timeout_us > 0)
    {
      call->due_us = call->started_us + (int64_t)options->timeout_us;
      event_add (call->event, &timeout);
    }
  send_call (call, options);
  return call;
}

void
http_client_cancel_call (http_client_call_t *call)
{
  http_client_conn_t *conn = call->conn;

  if (conn)
    {
      call->given_up = true;
      log_end (call, VERDICT_REASON_NONE);
      conn->call = NULL;
      conn->abandoned = true;
      http_client_conn_close (conn);
    }
  call_free (call);
}

void
http_client_set_paused (http_client_call_t *call, bool paused)
{
  call->paused = paused;
  if (call->conn)
    http_client_conn_update_reading (call->conn);
}

static uint64_t
count_lines (const char *bytes, size_t count)
{
  const char *end = bytes + count;
  uint64_t lines = 0;

  while (bytes < end && (bytes = memchr (bytes, '\n', (size_t)(end - bytes))))
    {
      lines++;
      bytes++;
    }
  return lines;
}

void
http_client_spend_lines (http_client_call_t *call, struct evbuffer *data)
{
  struct evbuffer_ptr at;
  struct evbuffer_iovec part;
  uint64_t lines = 0;

  if (!call->conn || evbuffer_ptr_set (data, &at, 0, EVBUFFER_PTR_SET) < 0)
    return;
  while (evbuffer_peek (data, -1, &at, &part, 1) > 0)
    {
      lines += count_lines (part.iov_base, part.iov_len);
      if (evbuffer_ptr_set (data, &at, part.iov_len, EVBUFFER_PTR_ADD) < 0)
        break;
    }
  http_client_conn_spend (call->conn, lines * LIMIT_HTTP_EVENT_LINE_COST_BYTES);
}

/* Moved parts keep their own blocks of memory: 64 KB in chunks of a byte took 18 MB */
void
http_client_keep_data (struct evbuffer *kept, struct evbuffer *data)
{
  size_t bytes = evbuffer_get_length (data);

  if (bytes >= COPIED_PART_BYTES)
    {
      evbuffer_add_buffer (kept, data);
      return;
    }
  if (bytes > 0)
    evbuffer_add (kept, evbuffer_pullup (data, -1), bytes);
  evbuffer_drain (data, bytes);
}

bool
http_client_has_ended (const http_client_call_t *call)
{
  return !call->conn;
}

bool
http_client_has_unread (const http_client_call_t *call)
{
  return !call->conn || has_unread_bytes (call->conn);
}

bool
http_client_is_first_on_connection (const http_client_call_t *call)
{
  return !call->conn->was_kept;
}

bool
http_client_may_have_sent (const http_client_call_t *call)
{
  return call->sent;
}

http_client_t *
http_client_new (struct event_base *base, uint32_t idle_limit, uint32_t idle_timeout_ms)
{
  http_client_t *http_client = g_new0 (http_client_t, 1);

  http_client->base = base;
  http_client->idle_limit = idle_limit;
  http_client->idle_timeout.tv_sec = idle_timeout_ms / 1000;
  http_client->idle_timeout.tv_usec = idle_timeout_ms % 1000 * 1000;
  http_client_set_connect_timeout (http_client, LIMIT_HTTP_CONNECT_MS);
  http_client->idle =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_queue_free);
  http_client->conns = g_hash_table_new (NULL, NULL);
  http_client->calls = g_hash_table_new (NULL, NULL);
  return http_client;
}

void
http_client_set_connect_timeout (http_client_t *http_client, uint32_t limit_ms)
{
  http_client->connect_limit.tv_sec = limit_ms / 1000;
  http_client->connect_limit.tv_usec = limit_ms % 1000 * 1000;
}

void
http_client_free (http_client_t *http_client)
{
  GList *calls = g_hash_table_get_keys (http_client->calls);
  GList *conns;

  for (GList *link = calls; link; link = link->next)
    http_client_cancel_call (link->data);
  g_list_free (calls);
  conns = g_hash_table_get_keys (http_client->conns);
  for (GList *link = conns; link; link = link->next)
    http_client_conn_free (link->data);
  g_list_free (conns);
  g_hash_table_destroy (http_client->idle);
  g_hash_table_destroy (http_client->conns);
  g_hash_table_destroy (http_client->calls);
  g_free (http_client);
}
