#include "server_fixture.h"
#include "suite.h"

#include <event2/keyvalq_struct.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>

#define FLOOD_BYTES (64 * 1024 * 1024) /* far more than the kernel buffers for two sockets */

static const char *
rejection_reason (int status)
{
  return status == 413 ? "body" : status == 431 ? "headers" : "bad_request";
}

static void
test_request (void)
{
  g_autoptr (server_fixture_t) fixture = server_fixture_new ();
  size_t body_bytes;

  raw_peer_t *raw = server_fixture_connect_waiting (
      fixture, "POST /a/b?x=1&y=two%20words HTTP/1.1\r\nHost: h\r\nX-One: 1\r\n"
               "Content-Length: 4\r\n\r\nbody");
  http_server_call_t *call = server_fixture_call_at (fixture, 0);
  CU_ASSERT_STRING_EQUAL (http_server_method (call), "POST");
  CU_ASSERT_STRING_EQUAL (http_server_path (call), "/a/b");
  CU_ASSERT_STRING_EQUAL (http_server_target (call), "/a/b?x=1&y=two%20words");
  CU_ASSERT_STRING_EQUAL (http_server_query_value (call, "y"), "two words");
  CU_ASSERT_PTR_NULL (http_server_query_value (call, "z"));
  CU_ASSERT_STRING_EQUAL (http_server_request_header (call, "x-one"), "1");
  CU_ASSERT_PTR_NULL (http_server_request_header (call, "X-Two"));
  CU_ASSERT_NSTRING_EQUAL (http_server_body (call, &body_bytes), "body", 4);
  CU_ASSERT_EQUAL (body_bytes, 4);
  CU_ASSERT_EQUAL (http_server_busy_count (fixture->http_server), 1);
  http_server_add_header (call, "X-Good", "yes");
  http_server_add_header (call, "X-Bad", "a\r\nX-Evil: 1");
  http_server_add_header (call, "Transfer-Encoding", "chunked");
  http_server_add_header (call, "Content-Length", "99");
  http_server_reply_text (call, 201, "text/plain", "done");
  server_fixture_run_until_received (fixture, raw, "done");
  CU_ASSERT_PTR_NOT_NULL (strstr (raw->received->str, "HTTP/1.1 201 "));
  CU_ASSERT_PTR_NOT_NULL (strstr (raw->received->str, "X-Good: yes\r\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (raw->received->str, "Content-Length: 4\r\n"));
  server_fixture_check_absent (raw, "X-Evil");
  server_fixture_check_absent (raw, "chunked");
  server_fixture_check_absent (raw, "99");
  CU_ASSERT_EQUAL (server_fixture_counter_value (fixture, "medlarplank_http_bad_headers_total"), 1);
  CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, server_fixture_is_idle, fixture));
  CU_ASSERT_EQUAL (fixture->disconnects, 0);
}

/*
 * A client sends a request that is over a limit, or that two parsers may interpret differently. It
 * must receive a complete JSON error, although the server closes the connection while the client
 * may still be sending, and no part of the request may be passed on.
 */
static void
test_refusals (void)
{
  g_autofree char *big = g_strnfill (SERVER_FIXTURE_HEADER_LIMIT_BYTES + 10, 'x');
  g_autofree char *big_body = g_strnfill (300 * 1000, 'x');
  g_autoptr (GString) many = g_string_new ("GET / HTTP/1.1\r\n");

  for (int i = 0; i < 21; i++)
    g_string_append_printf (many, "X-%d: 1\r\n", i);
  g_string_append (many, "\r\n");

  const struct
  {
    char *request;
    int status;
    const char *code;
  } cases[] = {
    { g_strconcat ("POST / HTTP/1.1\r\nContent-Length: 300000\r\n\r\n", big_body, NULL), 413,
      "body_too_large" },
    { g_strconcat ("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n493e0\r\n", big_body,
                   NULL),
      413, "body_too_large" },
    { g_strconcat ("GET / HTTP/1.1\r\nX-Big: ", big, "\r\n\r\n", NULL), 431, "headers_too_large" },
    { g_strconcat ("GET /", big, NULL), 431, "headers_too_large" },
    { g_strdup (many->str), 431, "headers_too_large" },
    { g_strdup ("GET nowhere HTTP/1.1\r\n\r\n"), 400, "bad_target" },
    { g_strdup ("GET http://other/ HTTP/1.1\r\n\r\n"), 400, "bad_target" },
    { g_strdup ("GET /a\x01 HTTP/1.1\r\n\r\n"), 400, "bad_target" },
    { g_strdup ("no sense\r\n\r\n"), 400, "bad_request" },
    { g_strdup ("POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: "
                "chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"),
      400, "bad_" },
    { g_strdup ("POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"), 400,
      "bad_framing" },
    { g_strdup ("POST / HTTP/1.1\r\nContent-Length : 23\r\n\r\nGET /inner HTTP/1.1\r\n\r\n"), 400,
      "bad_framing" },
    { g_strdup ("TRACE / HTTP/1.1\r\n\r\n"), 501, "bad_method" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *status = g_strdup_printf ("HTTP/1.1 %d ", cases[i].status);

      g_autoptr (server_fixture_t) fixture = server_fixture_new ();
      raw_peer_t *raw = server_fixture_connect (fixture, cases[i].request);
      CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, server_fixture_connection_closed, raw));
      CU_ASSERT_FALSE (raw->reset);
      CU_ASSERT_TRUE (g_str_has_prefix (raw->received->str, status));
      CU_ASSERT_PTR_NOT_NULL (strstr (raw->received->str, "\r\n\r\n{\"error\":{\"message\":"));
      CU_ASSERT_PTR_NOT_NULL (strstr (raw->received->str, cases[i].code));
      CU_ASSERT_PTR_NOT_NULL (strstr (raw->received->str, "X-Medlarplank-Verdict: not_run\r\n"));
      CU_ASSERT_EQUAL (server_fixture_refused_count (fixture, rejection_reason (cases[i].status)),
                       1);
      CU_ASSERT_EQUAL (fixture->calls, 0);
      g_free (status);
      g_free (cases[i].request);
    }
}

/*
 * A client is still sending when its request is rejected. If the socket were closed at once, the
 * client would get a reset; its send would fail, and many clients then don't read the response.
 */
static void
test_refused_while_sending (void)
{
  g_autoptr (server_fixture_t) fixture = server_fixture_new ();
  raw_peer_t *raw =
      server_fixture_connect (fixture, "POST / HTTP/1.1\r\nContent-Length: 300000\r\n\r\nfirst");

  CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, server_fixture_connection_closed, raw));
  CU_ASSERT_PTR_NOT_NULL (strstr (raw->received->str, "body_too_large"));
  for (int i = 0; i < 5; i++)
    {
      CU_ASSERT_EQUAL (send (raw->fd, "more", 4, MSG_NOSIGNAL), 4);
      raw_peer_run_ms (fixture->base, 5);
    }
}

/*
 * A client sends endlessly while its response is streamed. libevent reads and buffers this without
 * parsing it. The buffer must stay bounded, so the client's sending must stall.
 */
static void
test_flood_while_streaming (void)
{
  g_autofree char *block = g_strnfill (64 * 1024, 'x');
  size_t sent_bytes = 0;
  int stalls = 0;
  g_autoptr (server_fixture_t) fixture = server_fixture_new ();
  raw_peer_t *raw = server_fixture_connect_waiting (fixture, "GET /1 HTTP/1.1\r\n\r\n");

  http_server_begin_reply (server_fixture_call_at (fixture, 0), 200);
  while (stalls < 3 && sent_bytes < FLOOD_BYTES)
    {
      ssize_t count = send (raw->fd, block, 64 * 1024, MSG_DONTWAIT | MSG_NOSIGNAL);

      stalls = count < 0 ? stalls + 1 : 0;
      sent_bytes += count < 0 ? 0 : (size_t)count;
      raw_peer_run_ms (fixture->base, count < 0 ? 20 : 0);
    }
  CU_ASSERT_TRUE (sent_bytes < FLOOD_BYTES);
}

/*
 * A client declares a body with a method that rarely has one. However libevent treats it, the body
 * must never be parsed as a request: either it is passed on as a body or the request is rejected.
 */
static void
test_body_is_no_request (void)
{
  static const char inner[] = "GET /inner HTTP/1.1\r\n\r\n";
  static const char *const heads[] = {
    "GET / HTTP/1.1\r\nContent-Length: 23\r\n\r\n",
    "DELETE / HTTP/1.1\r\nContent-Length: 23\r\n\r\n",
    "OPTIONS / HTTP/1.1\r\nContent-Length: 23\r\n\r\n",
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n17\r\n"
  };
  raw_peer_t *raw;
  size_t body_bytes;

  for (size_t i = 0; i < G_N_ELEMENTS (heads); i++)
    {
      g_autofree char *request =
          g_strconcat (heads[i], inner, i == 3 ? "\r\n0\r\n\r\n" : NULL, NULL);

      g_autoptr (server_fixture_t) fixture = server_fixture_new ();
      raw = server_fixture_connect_waiting (fixture, request);
      CU_ASSERT_NSTRING_EQUAL (http_server_body (server_fixture_call_at (fixture, 0), &body_bytes),
                               inner, 23);
      CU_ASSERT_EQUAL (body_bytes, 23);
      http_server_reply_text (server_fixture_call_at (fixture, 0), 200, "text/plain", "seen");
      server_fixture_run_until_received (fixture, raw, "seen");
      raw_peer_run_ms (fixture->base, 5);
      CU_ASSERT_EQUAL (fixture->calls, 1);
    }
  g_autoptr (server_fixture_t) fixture = server_fixture_new ();
  raw = server_fixture_connect (
      fixture, "HEAD / HTTP/1.1\r\nContent-Length: 23\r\n\r\nGET /inner HTTP/1.1\r\n\r\n");
  CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, server_fixture_connection_closed, raw));
  CU_ASSERT_PTR_NOT_NULL (strstr (raw->received->str, "HTTP/1.1 400 "));
  CU_ASSERT_EQUAL (fixture->calls, 0);
}

/* Requests exactly at the limits are accepted */
static void
test_at_the_limit (void)
{
  g_autoptr (server_fixture_t) fixture = server_fixture_new ();
  g_autofree char *body = g_strnfill (SERVER_FIXTURE_BODY_LIMIT_BYTES, 'x');
  g_autofree char *request = g_strdup_printf ("POST /full HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s",
                                              SERVER_FIXTURE_BODY_LIMIT_BYTES, body);

  fixture->reply_at_once = true;
  raw_peer_t *raw = server_fixture_connect (fixture, request);
  server_fixture_run_until_received (fixture, raw, "\r\n\r\n/full");
}

/* A client over the connection limit gets an error that says so; once others have closed their
 * connections, it is served again */
static void
test_connection_limit (void)
{
  g_autoptr (server_fixture_t) fixture = server_fixture_new ();
  raw_peer_t *clients[SERVER_FIXTURE_CONNECTION_LIMIT + 1];

  fixture->reply_at_once = true;
  for (int i = 0; i < SERVER_FIXTURE_CONNECTION_LIMIT; i++)
    {
      clients[i] = server_fixture_connect (fixture, "GET /in HTTP/1.1\r\n\r\n");
      server_fixture_run_until_received (fixture, clients[i], "/in");
    }
  raw_peer_t *raw = server_fixture_connect (fixture, "GET /out HTTP/1.1\r\n\r\n");
  CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, server_fixture_connection_closed, raw));
  CU_ASSERT_PTR_NOT_NULL (strstr (raw->received->str, "HTTP/1.1 503 "));
  CU_ASSERT_PTR_NOT_NULL (strstr (raw->received->str, "too_many_connections"));
  CU_ASSERT_PTR_NOT_NULL (strstr (raw->received->str, "\r\nRetry-After: 1\r\n"));
  CU_ASSERT_EQUAL (server_fixture_refused_count (fixture, "connections"), 1);
  raw_peer_close (clients[0], false);
  raw_peer_close (clients[1], false);
  CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, server_fixture_one_connected, fixture));
  clients[0] = server_fixture_connect (fixture, "GET /again HTTP/1.1\r\n\r\n");
  server_fixture_run_until_received (fixture, clients[0], "\r\n\r\n/again");
}

static bool
is_flood_accepted (void *context)
{
  return server_fixture_counter_value (context, "medlarplank_http_connections") ==
         SERVER_FIXTURE_CONNECTION_LIMIT + LIMIT_HTTP_EXCESS_CONNECTIONS;
}

static bool
is_flood_closed (void *context)
{
  return server_fixture_counter_value (context, "medlarplank_http_connections") == 0;
}

#define SENT_BODY_BYTES 900 /* of a body with SERVER_FIXTURE_BODY_LIMIT_BYTES */

/* Returns a request without the end of its body, with @padding_bytes in a header */
static char *
make_incomplete_request (int padding_bytes)
{
  g_autofree char *padding = g_strnfill ((gsize)padding_bytes, 'f');
  g_autofree char *body = g_strnfill (SENT_BODY_BYTES, 'b');

  return g_strdup_printf ("POST /long HTTP/1.1\r\nX-Fill: %s\r\nContent-Length: %d\r\n\r\n%s",
                          padding, SERVER_FIXTURE_BODY_LIMIT_BYTES, body);
}

/*
 * Clients send most of a long request and then wait, on many connections, which together would
 * exhaust the memory. The largest incomplete request must be rejected by 503 as not run, and the
 * others must still be served. Their bytes no longer count once the requests are complete.
 */
static void
test_incomplete_requests_limit (void)
{
  static const int PADDINGS[] = { 1700, 1850, 1800 };
  g_autofree char *rest = g_strnfill (SERVER_FIXTURE_BODY_LIMIT_BYTES - SENT_BODY_BYTES, 'b');
  g_autoptr (server_fixture_t) fixture = server_fixture_new ();
  raw_peer_t *clients[G_N_ELEMENTS (PADDINGS)];

  fixture->reply_at_once = true;
  for (guint i = 0; i < G_N_ELEMENTS (PADDINGS); i++)
    {
      g_autofree char *request = make_incomplete_request (PADDINGS[i]);

      clients[i] = server_fixture_connect (fixture, request);
    }
  CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, server_fixture_connection_closed, clients[1]));
  CU_ASSERT_PTR_NOT_NULL (strstr (clients[1]->received->str, "HTTP/1.1 503 "));
  CU_ASSERT_PTR_NOT_NULL (strstr (clients[1]->received->str, "too_many_bytes"));
  CU_ASSERT_PTR_NOT_NULL (strstr (clients[1]->received->str, "\r\nRetry-After: 1\r\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (clients[1]->received->str, "not_run"));
  CU_ASSERT_FALSE (clients[1]->reset);
  for (guint i = 0; i < G_N_ELEMENTS (PADDINGS); i += 2)
    {
      raw_peer_send (clients[i], rest);
      server_fixture_run_until_received (fixture, clients[i], "\r\n\r\n/long");
    }
  for (int i = 0; i < 9; i++)
    {
      raw_peer_send (clients[0], "GET /short HTTP/1.1\r\n\r\n");
      g_string_truncate (clients[0]->received, 0);
      server_fixture_run_until_received (fixture, clients[0], "\r\n\r\n/short");
    }
  CU_ASSERT_EQUAL (server_fixture_refused_count (fixture, "body"), 1);
}

/*
 * A client opens far more connections than the limit and sends nothing. The server must stop
 * accepting at a bound, leave the others in the kernel's queue, and serve clients again after the
 * flood.
 */
static void
test_connection_flood (void)
{
  enum
  {
    FLOOD = SERVER_FIXTURE_CONNECTION_LIMIT + LIMIT_HTTP_EXCESS_CONNECTIONS + 10
  };
  g_autoptr (server_fixture_t) fixture = server_fixture_new ();
  raw_peer_t *clients[FLOOD];

  fixture->reply_at_once = true;
  for (int i = 0; i < FLOOD; i++)
    clients[i] = server_fixture_connect (fixture, "");
  CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, is_flood_accepted, fixture));
  raw_peer_run_ms (fixture->base, 20);
  CU_ASSERT_TRUE (is_flood_accepted (fixture));
  for (int i = 0; i < FLOOD; i++)
    raw_peer_close (clients[i], false);
  CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, is_flood_closed, fixture));
  clients[0] = server_fixture_connect (fixture, "GET /after HTTP/1.1\r\n\r\n");
  server_fixture_run_until_received (fixture, clients[0], "\r\n\r\n/after");
}

/*
 * A client pipelines three requests. While the first is pending, bytes of the next can be read;
 * libevent would exit the process if it read them in this state. The responses must have the order
 * of the requests.
 */
static void
test_pipelined (void)
{
  g_autoptr (server_fixture_t) fixture = server_fixture_new ();
  const char *first;
  const char *second;
  const char *third;

  raw_peer_t *raw =
      server_fixture_connect_waiting (fixture, "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
  raw_peer_send (raw, "POST /3 HTTP/1.1\r\nContent-Length: 4\r\n\r\nbo");
  raw_peer_run_ms (fixture->base, 20);
  CU_ASSERT_EQUAL (fixture->calls, 1);
  fixture->reply_at_once = true;
  http_server_reply_text (server_fixture_call_at (fixture, 0), 200, "text/plain", "/one");
  raw_peer_send (raw, "dy");
  server_fixture_run_until_received (fixture, raw, "\r\n\r\n/3");
  first = strstr (raw->received->str, "\r\n\r\n/one");
  second = strstr (raw->received->str, "\r\n\r\n/2");
  third = strstr (raw->received->str, "\r\n\r\n/3");
  CU_ASSERT_TRUE (first && second && first < second && second < third);
  CU_ASSERT_EQUAL (fixture->disconnects, 0);
}

static void
test_stream (void)
{
  g_autoptr (server_fixture_t) fixture = server_fixture_new ();
  raw_peer_t *raw = server_fixture_connect_waiting (fixture, "GET /1 HTTP/1.1\r\n\r\n");

  http_server_add_header (server_fixture_call_at (fixture, 0), "Content-Length", "3");
  http_server_begin_reply (server_fixture_call_at (fixture, 0), 200);
  CU_ASSERT_TRUE (server_fixture_send_part (server_fixture_call_at (fixture, 0), "first"));
  server_fixture_run_until_received (fixture, raw, "Transfer-Encoding: chunked\r\n");
  server_fixture_run_until_received (fixture, raw, "5\r\nfirst\r\n");
  server_fixture_check_absent (raw, "Content-Length");
  server_fixture_send_part (server_fixture_call_at (fixture, 0), "second");
  http_server_end_reply (server_fixture_call_at (fixture, 0));
  CU_ASSERT_EQUAL (http_server_busy_count (fixture->http_server), 1);
  server_fixture_run_until_received (fixture, raw, "6\r\nsecond\r\n0\r\n\r\n");
  CU_ASSERT_EQUAL (http_server_busy_count (fixture->http_server), 0);
  fixture->reply_at_once = true;
  raw_peer_send (raw, "GET /next HTTP/1.1\r\n\r\n");
  server_fixture_run_until_received (fixture, raw, "\r\n\r\n/next");
}

static void
test_http_1_0 (void)
{
  g_autoptr (server_fixture_t) fixture = server_fixture_new ();
  raw_peer_t *raw =
      server_fixture_connect_waiting (fixture, "GET /1 HTTP/1.0\r\nConnection: keep-alive\r\n\r\n");

  http_server_begin_reply (server_fixture_call_at (fixture, 0), 200);
  server_fixture_send_part (server_fixture_call_at (fixture, 0), "whole");
  http_server_end_reply (server_fixture_call_at (fixture, 0));
  CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, server_fixture_connection_closed, raw));
  CU_ASSERT_FALSE (raw->reset);
  CU_ASSERT_PTR_NOT_NULL (strstr (raw->received->str, "\r\n\r\nwhole"));
  server_fixture_check_absent (raw, "chunked");
}

/* Responses to HEAD have a Content-Length but no body, since the client would take body bytes for
 * the start of the next response */
static void
test_no_body (void)
{
  g_autoptr (server_fixture_t) fixture = server_fixture_new ();
  raw_peer_t *raw =
      server_fixture_connect_waiting (fixture, "HEAD /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");

  http_server_reply_text (server_fixture_call_at (fixture, 0), 200, "text/plain", "unseen");
  server_fixture_run_until_received (fixture, raw, "Content-Length: 6\r\n");
  CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, server_fixture_two_waiting, fixture));
  http_server_begin_reply (server_fixture_call_at (fixture, 1), 204);
  server_fixture_send_part (server_fixture_call_at (fixture, 1), "unseen");
  http_server_end_reply (server_fixture_call_at (fixture, 1));
  server_fixture_run_until_received (fixture, raw, "HTTP/1.1 204 ");
  raw_peer_run_ms (fixture->base, 5);
  server_fixture_check_absent (raw, "unseen");
  server_fixture_check_absent (raw, "chunked");
  CU_ASSERT_EQUAL (http_server_busy_count (fixture->http_server), 0);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "request", test_request },
    { "refusals", test_refusals },
    { "refused while sending", test_refused_while_sending },
    { "flood while streaming", test_flood_while_streaming },
    { "body is no request", test_body_is_no_request },
    { "at the limit", test_at_the_limit },
    { "connection limit", test_connection_limit },
    { "incomplete requests limit", test_incomplete_requests_limit },
    { "connection flood", test_connection_flood },
    { "pipelined", test_pipelined },
    { "stream", test_stream },
    { "http 1 0", test_http_1_0 },
    { "no body", test_no_body },
    CU_TEST_INFO_NULL,
  };

  signal (SIGPIPE, SIG_IGN);
  return suite_run ("http_server", tests);
}
