#include "connection/http_client_internal.h"
#include "connection/http_framing.h"

#include <string.h>

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
are_valid_options (const hcl_options_t *options)
{
  if (!method_from_name (options->method) || !frm_target_ok (options->target))
    return false;
  for (uint32_t i = 0; i < options->header_count; i++)
    if (!frm_name_ok (options->headers[i].name) || !frm_value_ok (options->headers[i].value))
      return false;
  return true;
}

static void
call_free (hcl_call_t *call)
{
  g_hash_table_remove (call->hcl->calls, call);
  event_free (call->event);
  g_free (call->check_name);
  g_free (call->check_value);
  g_free (call);
}

/* The call's event runs on_end later, since that callback may call any function of the client */
static void
end_call (hcl_call_t *call, bool whole, verdict_reason_t reason)
{
  hcl_conn_t *conn = call->conn;

  call->end.whole = whole;
  call->end.verdict = whole ? VERDICT_RAN : call->sent ? VERDICT_MAY_HAVE_RUN : VERDICT_NOT_RUN;
  call->end.reason = reason == VERDICT_REASON_CUT && !call->sent ? VERDICT_REASON_CONNECT : reason;
  call->conn = NULL;
  event_del (call->event);
  event_active (call->event, EV_TIMEOUT, 0);
  if (!conn)
    return;
  conn->call = NULL;
  if (whole)
    hcl_conn_give (conn);
  else
    hcl_conn_close (conn);
}

void
hcl_call_unconnected (hcl_call_t *call)
{
  end_call (call, false, VERDICT_REASON_CONNECT);
}

static void
on_call_event (evutil_socket_t fd, short what, void *context)
{
  hcl_call_t *call = context;
  void (*on_end) (const hcl_end_t *end, void *) = call->on_end;
  void *on_end_context = call->context;
  hcl_end_t end;

  (void)fd;
  (void)what;
  if (call->conn)
    {
      end_call (call, false, VERDICT_REASON_TIMEOUT);
      return;
    }
  end = call->end;
  call_free (call);
  on_end (&end, on_end_context);
}

static bool
must_declare_length (const hcl_call_t *call, int status)
{
  return call->method != EVHTTP_REQ_HEAD && status != 204 && status != 304;
}

/* Return: VERDICT_REASON_NONE when the response may be passed on */
static verdict_reason_t
check_head (const hcl_call_t *call, int status, const struct evkeyvalq *headers)
{
  frm_t framing = frm_of (headers);
  const char *value;

  if (status < 200 || framing == FRM_BROKEN)
    return VERDICT_REASON_CUT;
  /* libevent treats the end of the connection as the end of such a response, so a truncated one
   * would look complete */
  if (framing == FRM_NONE && must_declare_length (call, status) && !call->until_close)
    return VERDICT_REASON_CUT;
  if (!call->check_name)
    return VERDICT_REASON_NONE;
  value = evhttp_find_header (headers, call->check_name);
  return value && strcmp (value, call->check_value) == 0 ? VERDICT_REASON_NONE
                                                         : VERDICT_REASON_CROSSED;
}

/* A negative return value makes libevent fail the request, which has no call any more by then */
static int
on_head (struct evhttp_request *request, void *context)
{
  hcl_conn_t *conn = context;
  hcl_call_t *call = conn->call;
  struct evkeyvalq *headers = evhttp_request_get_input_headers (request);
  int status = evhttp_request_get_response_code (request);
  verdict_reason_t reason;

  if (!call)
    return -1;
  if (status == 100)
    {
      /* or libevent would add them to those of the final response */
      evhttp_clear_headers (headers);
      return 0;
    }
  call->end.status = status;
  reason = check_head (call, status, headers);
  if (reason != VERDICT_REASON_NONE)
    {
      end_call (call, false, reason);
      return -1;
    }
  call->head_received = true;
  if (call->on_head && !call->on_head (status, headers, call->context) && conn->call)
    end_call (call, false, VERDICT_REASON_CUT);
  if (!conn->call)
    return -1;
  if (call->paused)
    bufferevent_disable (conn->bev, EV_READ);
  return 0;
}

static void
on_chunk (struct evhttp_request *request, void *context)
{
  hcl_conn_t *conn = context;
  hcl_call_t *call = conn->call;

  if (call && call->on_data)
    call->on_data (evhttp_request_get_input_buffer (request), call->context);
}

/* libevent reports a failure by a NULL request or by one without a status */
static void
on_done (struct evhttp_request *request, void *context)
{
  hcl_conn_t *conn = context;
  hcl_call_t *call = conn->call;

  if (!call)
    return;
  if (request && call->head_received)
    end_call (call, true, VERDICT_REASON_NONE);
  else
    end_call (call, false, VERDICT_REASON_CUT);
}

static bool
is_set_by_client (const char *name)
{
  return g_ascii_strcasecmp (name, "Content-Length") == 0 ||
         g_ascii_strcasecmp (name, "Transfer-Encoding") == 0 ||
         g_ascii_strcasecmp (name, "Connection") == 0 || g_ascii_strcasecmp (name, "Expect") == 0;
}

static void
add_host (struct evkeyvalq *headers, const set_address_t *address)
{
  bool is_v6 = strchr (address->ip, ':') != NULL;
  char host[sizeof address->ip + 16];

  if (evhttp_find_header (headers, "Host"))
    return;
  g_snprintf (host, sizeof host, is_v6 ? "[%s]:%u" : "%s:%u", address->ip, address->port);
  evhttp_add_header (headers, "Host", host);
}

static void
add_headers (struct evkeyvalq *headers, const hcl_options_t *options)
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
make_request (hcl_conn_t *conn, const hcl_options_t *options)
{
  struct evhttp_request *request = evhttp_request_new (on_done, conn);

  evhttp_request_set_header_cb (request, on_head);
  evhttp_request_set_chunked_cb (request, on_chunk);
  add_headers (evhttp_request_get_output_headers (request), options);
  if (options->body_bytes > 0)
    evbuffer_add_reference (evhttp_request_get_output_buffer (request), options->body,
                            options->body_bytes, NULL, NULL);
  return request;
}

static hcl_call_t *
call_new (hcl_t *hcl, const hcl_options_t *options)
{
  hcl_call_t *call = g_new0 (hcl_call_t, 1);

  call->hcl = hcl;
  call->event = evtimer_new (hcl->base, on_call_event, call);
  call->check_name = g_strdup (options->check_name);
  call->check_value = g_strdup (options->check_value);
  call->on_head = options->on_head;
  call->on_data = options->on_data;
  call->on_end = options->on_end;
  call->context = options->context;
  call->method = method_from_name (options->method);
  call->until_close = options->until_close;
  g_hash_table_add (hcl->calls, call);
  return call;
}

static void
send_call (hcl_call_t *call, const hcl_options_t *options)
{
  uint64_t idle_limit_us = options->idle_limit_us ? options->idle_limit_us : UINT64_MAX;
  hcl_conn_t *conn = hcl_conn_take (call->hcl, options->address, idle_limit_us);
  struct evhttp_request *request = make_request (conn, options);
  ev_ssize_t limit = options->answer_limit_bytes ? (ev_ssize_t)options->answer_limit_bytes : -1;

  call->conn = conn;
  conn->call = call;
  evhttp_connection_set_max_body_size (conn->evcon, limit);
  evhttp_make_request (conn->evcon, request, call->method, options->target);
}

hcl_call_t *
hcl_start (hcl_t *hcl, const hcl_options_t *options)
{
  struct timeval timeout = { (time_t)(options->timeout_us / CLK_US_PER_S),
                             (suseconds_t)(options->timeout_us % CLK_US_PER_S) };
  hcl_call_t *call = call_new (hcl, options);

  if (!are_valid_options (options))
    {
      end_call (call, false, VERDICT_REASON_CONNECT);
      return call;
    }
  if (options->timeout_us > 0)
    event_add (call->event, &timeout);
  send_call (call, options);
  return call;
}

void
hcl_cancel (hcl_call_t *call)
{
  hcl_conn_t *conn = call->conn;

  if (conn)
    {
      conn->call = NULL;
      hcl_conn_close (conn);
    }
  call_free (call);
}

void
hcl_pause (hcl_call_t *call, bool paused)
{
  call->paused = paused;
  if (!call->conn || !call->head_received)
    return;
  if (paused)
    bufferevent_disable (call->conn->bev, EV_READ);
  else
    bufferevent_enable (call->conn->bev, EV_READ);
}

bool
hcl_sent (const hcl_call_t *call)
{
  return call->sent;
}

hcl_t *
hcl_new (struct event_base *base, uint32_t idle_limit, uint32_t idle_timeout_ms)
{
  hcl_t *hcl = g_new0 (hcl_t, 1);

  hcl->base = base;
  hcl->idle_limit = idle_limit;
  hcl->idle_timeout.tv_sec = idle_timeout_ms / 1000;
  hcl->idle_timeout.tv_usec = idle_timeout_ms % 1000 * 1000;
  hcl_set_connect_limit (hcl, LIM_HTTP_CONNECT_MS);
  hcl->idle = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_queue_free);
  hcl->conns = g_hash_table_new (NULL, NULL);
  hcl->calls = g_hash_table_new (NULL, NULL);
  return hcl;
}

void
hcl_set_connect_limit (hcl_t *hcl, uint32_t limit_ms)
{
  hcl->connect_limit.tv_sec = limit_ms / 1000;
  hcl->connect_limit.tv_usec = limit_ms % 1000 * 1000;
}

void
hcl_free (hcl_t *hcl)
{
  GList *calls = g_hash_table_get_keys (hcl->calls);
  GList *conns;

  for (GList *link = calls; link; link = link->next)
    hcl_cancel (link->data);
  g_list_free (calls);
  conns = g_hash_table_get_keys (hcl->conns);
  for (GList *link = conns; link; link = link->next)
    hcl_conn_free (link->data);
  g_list_free (conns);
  g_hash_table_destroy (hcl->idle);
  g_hash_table_destroy (hcl->conns);
  g_hash_table_destroy (hcl->calls);
  g_free (hcl);
}
