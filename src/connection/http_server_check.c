/*
 * Requests that the server itself rejects. This happens before a request is passed on, so a
 * rejected one has certainly not run, but for that of a client that left. The connection is closed
 * after each, since the start of the next request can't be determined reliably.
 */
#include "connection/http_error.h"
#include "connection/http_framing.h"
#include "connection/http_server_internal.h"
#include "request/policy/retries/verdict.h"

#include <event2/http_struct.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define RETRY_AFTER_S "1" /* of rejections for a lack of room */
#define STATUS_NO_ROOM 503
#define STATUS_MAY_HAVE_RUN 502

typedef struct
{
  int status;
  http_server_refusal_t refused;
  const char *type;
  const char *code;
  const char *message;
} rejection_t;

static const rejection_t over_limit = { STATUS_NO_ROOM, HTTP_SERVER_REFUSED_CONNECTIONS,
                                        "overloaded", "too_many_connections",
                                        "too many connections are open; try again later" };
static const rejection_t too_many_incomplete = {
  STATUS_NO_ROOM, HTTP_SERVER_REFUSED_BODY, "overloaded", "too_many_bytes",
  "too many long requests come at once; try again later"
};
static const rejection_t stopping = { STATUS_NO_ROOM, HTTP_SERVER_REFUSED_STOPPING, "overloaded",
                                      "stopping", "this server stops" };
/* To a client that can still receive: one that only ended its own side can't be told from one that
 * has gone. */
static const rejection_t left_unread = { STATUS_NO_ROOM, HTTP_SERVER_REFUSED_LEFT, "overloaded",
                                         "closed_by_client",
                                         "the connection was closed before the request was read" };
static const rejection_t left_pending = { STATUS_MAY_HAVE_RUN, HTTP_SERVER_REFUSED_LEFT, "upstream",
                                          "closed_by_client",
                                          "the connection was closed before the answer" };
static const rejection_t too_slow = { 408, HTTP_SERVER_REFUSED_SLOW, "invalid_request",
                                      "request_timeout", "the request took too long to arrive" };
static const rejection_t bad_framing = { 400, HTTP_SERVER_REFUSED_MALFORMED, "invalid_request",
                                         "bad_framing",
                                         "the length of the body is not declared soundly" };
static const rejection_t bad_target = { 400, HTTP_SERVER_REFUSED_MALFORMED, "invalid_request",
                                        "bad_target", "the request target is malformed" };
static const rejection_t bad_request = { 400, HTTP_SERVER_REFUSED_MALFORMED, "invalid_request",
                                         "bad_request", "the request is malformed" };
static const rejection_t bad_method = { 501, HTTP_SERVER_REFUSED_MALFORMED, "invalid_request",
                                        "bad_method", "the method is not supported" };
static const rejection_t bad_expectation = { 417, HTTP_SERVER_REFUSED_MALFORMED, "invalid_request",
                                             "bad_expectation",
                                             "the expectation is not supported" };
static const rejection_t large_headers = { 431, HTTP_SERVER_REFUSED_HEADERS, "invalid_request",
                                           "headers_too_large",
                                           "the headers are too many or too large" };
static const rejection_t large_body = { 413, HTTP_SERVER_REFUSED_BODY, "invalid_request",
                                        "body_too_large", "the body is too large" };
static const rejection_t bad_chunks = { 400, HTTP_SERVER_REFUSED_MALFORMED, "invalid_request",
                                        "bad_chunks",
                                        "the chunks of the body are too many, or too long outside "
                                        "of their data" };
static const rejection_t internal = { 500, HTTP_SERVER_REFUSED_MALFORMED, "internal", "internal",
                                      "the request could not be read" };

static const char *
verdict_name (const rejection_t *rejection)
{
  return verdict_to_string (rejection->status == STATUS_MAY_HAVE_RUN ? VERDICT_MAY_HAVE_RUN
                                                                     : VERDICT_NOT_RUN);
}

static char *
rejection_body (http_server_t *http_server, const rejection_t *rejection)
{
  counter_add (http_server->refused[rejection->refused], 1);
  return http_error_body (rejection->message, rejection->type, rejection->code,
                          verdict_name (rejection));
}

static void
reject (http_server_call_t *call, const rejection_t *rejection)
{
  char *body = rejection_body (call->conn->http_server, rejection);

  call->conn->drain_input = true;
  http_server_conn_dup_fd (call->conn);
  http_server_add_header (call, "Connection", "close");
  http_server_add_header (call, VERDICT_HEADER, verdict_name (rejection));
  if (rejection->status == STATUS_NO_ROOM)
    http_server_add_header (call, "Retry-After", RETRY_AFTER_S);
  http_server_reply_text (call, rejection->status, "application/json", body);
  g_free (body);
}

static uint32_t
header_count (const struct evkeyvalq *headers)
{
  const struct evkeyval *header;
  uint32_t count = 0;

  for (header = headers->tqh_first; header; header = header->next.tqe_next)
    count++;
  return count;
}

static bool
is_valid_target (const http_server_call_t *call)
{
  const char *target = http_server_target (call);

  if (strcmp (target, "*") == 0)
    return evhttp_request_get_command (call->request) == EVHTTP_REQ_OPTIONS;
  return http_framing_is_valid_target (target);
}

/*
 * libevent may consider a request complete at the end of its headers although a body is declared,
 * and would then parse that body as the next request. This would allow request smuggling: bytes of
 * one client account's body would be executed as a request of their own.
 */
static bool
is_valid_framing (const http_server_call_t *call)
{
  const struct evkeyvalq *headers = http_server_request_headers (call);
  struct evbuffer *body = evhttp_request_get_input_buffer (call->request);

  switch (http_framing_detect (headers))
    {
    case HTTP_FRAMING_NONE:
      return evbuffer_get_length (body) == 0;
    case HTTP_FRAMING_LENGTH:
      return evbuffer_get_length (body) == http_framing_content_length (headers);
    case HTTP_FRAMING_CHUNKED:
      return call->request->chunked;
    default:
      return false;
    }
}

/* The HTTP client refuses to send a value with control characters. A daemon that passed the request
 * on would take this for an unreachable host, so one client could make it suspect all hosts. */
static bool
are_valid_values (const http_server_call_t *call)
{
  const struct evkeyval *header;

  for (header = http_server_request_headers (call)->tqh_first; header;
       header = header->next.tqe_next)
    if (!http_framing_is_valid_value (header->value))
      return false;
  return true;
}

bool
http_server_check_request (http_server_call_t *call)
{
  const rejection_t *rejection = NULL;

  if (call->conn->over_limit)
    rejection = &over_limit;
  else if (call->conn->input.state == HTTP_INPUT_OVER)
    rejection = &bad_chunks;
  else if (!is_valid_framing (call))
    rejection = &bad_framing;
  else if (call->conn->input.state == HTTP_INPUT_INVALID)
    rejection = &bad_request;
  else if (header_count (http_server_request_headers (call)) >
           call->conn->http_server->options.header_limit_count)
    rejection = &large_headers;
  else if (!is_valid_target (call))
    rejection = &bad_target;
  else if (!are_valid_values (call))
    rejection = &bad_request;
  if (rejection)
    reject (call, rejection);
  return rejection != NULL;
}

/* libevent reports headers over the limit as a bad request. Detects them by the number of bytes
 * that it has consumed, plus those of a line without an end that it could not consume */
static bool
headers_over_limit (http_server_conn_t *conn)
{
  struct evbuffer *input = bufferevent_get_input (conn->bev);
  uint64_t bytes = conn->read_bytes;

  if (evbuffer_search_eol (input, NULL, NULL, EVBUFFER_EOL_LF).pos < 0)
    bytes += evbuffer_get_length (input);
  return bytes > conn->header_limit_bytes;
}

static const rejection_t *
rejection_for_status (http_server_conn_t *conn, int status)
{
  switch (status)
    {
    case 400:
      return headers_over_limit (conn) ? &large_headers : &bad_request;
    case 413:
      return &large_body;
    case 417:
      return &bad_expectation;
    case 405:
    case 501:
      return &bad_method;
    default:
      return &internal;
    }
}

static char *
format_response (const rejection_t *rejection, const char *body)
{
  return g_strdup_printf ("HTTP/1.1 %d Refused\r\n"
                          "Content-Type: application/json\r\n"
                          "Content-Length: %zu\r\n"
                          "Connection: close\r\n"
                          "%s%s: %s\r\n\r\n%s",
                          rejection->status, strlen (body),
                          rejection->status == STATUS_NO_ROOM ? "Retry-After: " RETRY_AFTER_S "\r\n"
                                                              : "",
                          VERDICT_HEADER, verdict_name (rejection), body);
}

/* Writes to the socket directly, since libevent is in the middle of reading and would not send. The
 * response is small enough for the empty send buffer of the socket. */
static void
send_rejection (http_server_conn_t *conn, const rejection_t *rejection)
{
  g_autofree char *body = rejection_body (conn->http_server, rejection);
  g_autofree char *page = format_response (rejection, body);

  conn->drain_input = true;
  if (http_server_conn_dup_fd (conn) >= 0)
    send (conn->dup_fd, page, strlen (page), MSG_DONTWAIT | MSG_NOSIGNAL);
}

void
http_server_reject_incomplete (http_server_conn_t *conn, http_server_end_reason_t reason)
{
  const rejection_t *rejection = &too_many_incomplete;

  if (reason == HTTP_SERVER_END_REQUEST_TIMEOUT)
    rejection = &too_slow;
  else if (reason == HTTP_SERVER_END_STOPPING)
    rejection = &stopping;
  else if (conn->input.state == HTTP_INPUT_OVER)
    rejection = &bad_chunks;
  else if (conn->input.state == HTTP_INPUT_INVALID)
    rejection = &bad_request;
  send_rejection (conn, rejection);
}

void
http_server_reject_left (http_server_conn_t *conn, bool is_unread)
{
  if (conn->call && !conn->response_sent)
    send_rejection (conn, is_unread ? &left_unread : &left_pending);
}

void
http_server_replace_error_page (http_server_conn_t *conn)
{
  struct evbuffer *output = bufferevent_get_output (conn->bev);
  char head[sizeof "HTTP/1.1 400"] = "";
  const rejection_t *rejection;
  char *body;
  char *page;
  int status;

  evbuffer_copyout (output, head, sizeof head - 1);
  status = atoi (head + strlen ("HTTP/1.1 "));
  if (status < 400)
    return;
  rejection = rejection_for_status (conn, status);
  body = rejection_body (conn->http_server, rejection);
  conn->drain_input = true;
  http_server_conn_dup_fd (conn);
  /* a bufferevent freezes its output buffer, of which nothing has been sent yet */
  evbuffer_unfreeze (output, 1);
  evbuffer_drain (output, evbuffer_get_length (output));
  page = format_response (rejection, body);
  evbuffer_add (output, page, strlen (page));
  evbuffer_freeze (output, 1);
  g_free (page);
  g_free (body);
}
