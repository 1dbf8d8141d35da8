/*
 * Refusals by the listener itself. All are answered before a request is passed on, so they are
 * certain to have run nothing; and all close the connection, since where the next request would
 * begin is not to be trusted.
 */
#include "connection/http_error.h"
#include "connection/http_framing.h"
#include "connection/http_server_internal.h"
#include "request/policy/verdict.h"

#include <event2/http_struct.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

typedef struct
{
  int status;
  hsv_refused_t refused;
  const char *type;
  const char *code;
  const char *message;
} refusal_t;

static const refusal_t over_limit = { 503, HSV_REFUSED_CONNECTIONS, "overloaded",
                                      "too_many_connections",
                                      "too many connections are open; try again later" };
static const refusal_t crowded = { 503, HSV_REFUSED_BODY, "overloaded", "too_many_bytes",
                                   "too many long requests come at once; try again later" };
static const refusal_t bad_framing = { 400, HSV_REFUSED_BAD, "invalid_request", "bad_framing",
                                       "the length of the body is not declared soundly" };
static const refusal_t bad_target = { 400, HSV_REFUSED_BAD, "invalid_request", "bad_target",
                                      "the request target is malformed" };
static const refusal_t bad_request = { 400, HSV_REFUSED_BAD, "invalid_request", "bad_request",
                                       "the request is malformed" };
static const refusal_t bad_method = { 501, HSV_REFUSED_BAD, "invalid_request", "bad_method",
                                      "the method is not supported" };
static const refusal_t bad_expectation = { 417, HSV_REFUSED_BAD, "invalid_request",
                                           "bad_expectation", "the expectation is not supported" };
static const refusal_t large_headers = { 431, HSV_REFUSED_HEADERS, "invalid_request",
                                         "headers_too_large",
                                         "the headers are too many or too large" };
static const refusal_t large_body = { 413, HSV_REFUSED_BODY, "invalid_request", "body_too_large",
                                      "the body is too large" };
static const refusal_t internal = { 500, HSV_REFUSED_BAD, "internal", "internal",
                                    "the request could not be read" };

static char *
refusal_body (hsv_t *hsv, const refusal_t *refusal)
{
  cnt_add (hsv->refused[refusal->refused], 1);
  return err_body (refusal->message, refusal->type, refusal->code, vrd_name (VRD_NOT_RUN));
}

static void
refuse (hsv_call_t *call, const refusal_t *refusal)
{
  char *body = refusal_body (call->conn->hsv, refusal);

  call->conn->linger = true;
  hsv_conn_dup (call->conn);
  hsv_add_header (call, "Connection", "close");
  hsv_add_header (call, VRD_HEADER, vrd_name (VRD_NOT_RUN));
  hsv_reply_text (call, refusal->status, "application/json", body);
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
target_ok (const hsv_call_t *call)
{
  const char *target = hsv_target (call);

  if (strcmp (target, "*") == 0)
    return evhttp_request_get_command (call->request) == EVHTTP_REQ_OPTIONS;
  return frm_target_ok (target);
}

/*
 * The library may take a request as whole at the end of its headers though a body is declared, and
 * would read that body as the next request: bytes of one client account would become a request of
 * their own.
 */
static bool
framing_ok (const hsv_call_t *call)
{
  const struct evkeyvalq *headers = hsv_headers (call);
  struct evbuffer *body = evhttp_request_get_input_buffer (call->request);

  switch (frm_of (headers))
    {
    case FRM_NONE:
      return evbuffer_get_length (body) == 0;
    case FRM_LENGTH:
      return evbuffer_get_length (body) == frm_length (headers);
    case FRM_CHUNKED:
      return call->request->chunked;
    default:
      return false;
    }
}

/* The HTTP client does not send such a value. A daemon that passes the request on would take that
 * for hosts that can't be reached, and one caller could make it distrust them all. */
static bool
values_ok (const hsv_call_t *call)
{
  const struct evkeyval *header;

  for (header = hsv_headers (call)->tqh_first; header; header = header->next.tqe_next)
    if (!frm_value_ok (header->value))
      return false;
  return true;
}

bool
hsv_check (hsv_call_t *call)
{
  const refusal_t *refusal = NULL;

  if (call->conn->over)
    refusal = &over_limit;
  else if (!framing_ok (call))
    refusal = &bad_framing;
  else if (header_count (hsv_headers (call)) > call->conn->hsv->options.header_limit_count)
    refusal = &large_headers;
  else if (!target_ok (call))
    refusal = &bad_target;
  else if (!values_ok (call))
    refusal = &bad_request;
  if (refusal)
    refuse (call, refusal);
  return refusal != NULL;
}

/* the library calls headers over the limit a bad request: count what it read, or could not */
static bool
headers_over_limit (hsv_conn_t *conn)
{
  struct evbuffer *input = bufferevent_get_input (conn->bev);
  uint64_t bytes = conn->read_bytes;

  if (evbuffer_search_eol (input, NULL, NULL, EVBUFFER_EOL_LF).pos < 0)
    bytes += evbuffer_get_length (input);
  return bytes > conn->hsv->options.header_limit_bytes;
}

static const refusal_t *
refusal_of_page (hsv_conn_t *conn, int status)
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
page_of (const refusal_t *refusal, const char *body)
{
  return g_strdup_printf ("HTTP/1.1 %d Refused\r\n"
                          "Content-Type: application/json\r\n"
                          "Content-Length: %zu\r\n"
                          "Connection: close\r\n"
                          "%s: %s\r\n\r\n%s",
                          refusal->status, strlen (body), VRD_HEADER, vrd_name (VRD_NOT_RUN), body);
}

/* The library is in the middle of reading and would not send; a page is small enough for a socket
 * whose output is empty. */
void
hsv_turn_away (hsv_conn_t *conn)
{
  g_autofree char *body = refusal_body (conn->hsv, &crowded);
  g_autofree char *page = page_of (&crowded, body);

  conn->linger = true;
  if (hsv_conn_dup (conn) >= 0)
    send (conn->watch_fd, page, strlen (page), MSG_DONTWAIT | MSG_NOSIGNAL);
}

void
hsv_restyle (hsv_conn_t *conn)
{
  struct evbuffer *output = bufferevent_get_output (conn->bev);
  char head[sizeof "HTTP/1.1 400"] = "";
  const refusal_t *refusal;
  char *body;
  char *page;
  int status;

  evbuffer_copyout (output, head, sizeof head - 1);
  status = atoi (head + strlen ("HTTP/1.1 "));
  if (status < 400)
    return;
  refusal = refusal_of_page (conn, status);
  body = refusal_body (conn->hsv, refusal);
  conn->linger = true;
  hsv_conn_dup (conn);
  /* a bufferevent keeps others from its output; nothing of the page has left yet */
  evbuffer_unfreeze (output, 1);
  evbuffer_drain (output, evbuffer_get_length (output));
  page = page_of (refusal, body);
  evbuffer_add (output, page, strlen (page));
  evbuffer_freeze (output, 1);
  g_free (page);
  g_free (body);
}
