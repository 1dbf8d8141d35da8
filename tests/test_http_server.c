#include "http_bench.h"
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
  g_autoptr (hbn_t) fixture = hbn_new ();
  size_t body_bytes;

  raw_t *raw =
      hbn_ask_waiting (fixture, "POST /a/b?x=1&y=two%20words HTTP/1.1\r\nHost: h\r\nX-One: 1\r\n"
                                "Content-Length: 4\r\n\r\nbody");
  hsv_call_t *call = hbn_call_at (fixture, 0);
  CU_ASSERT_STRING_EQUAL (hsv_method (call), "POST");
  CU_ASSERT_STRING_EQUAL (hsv_path (call), "/a/b");
  CU_ASSERT_STRING_EQUAL (hsv_target (call), "/a/b?x=1&y=two%20words");
  CU_ASSERT_STRING_EQUAL (hsv_query (call, "y"), "two words");
  CU_ASSERT_PTR_NULL (hsv_query (call, "z"));
  CU_ASSERT_STRING_EQUAL (hsv_header (call, "x-one"), "1");
  CU_ASSERT_PTR_NULL (hsv_header (call, "X-Two"));
  CU_ASSERT_NSTRING_EQUAL (hsv_body (call, &body_bytes), "body", 4);
  CU_ASSERT_EQUAL (body_bytes, 4);
  CU_ASSERT_EQUAL (hsv_busy (fixture->hsv), 1);
  hsv_add_header (call, "X-Good", "yes");
  hsv_add_header (call, "X-Bad", "a\r\nX-Evil: 1");
  hsv_add_header (call, "Transfer-Encoding", "chunked");
  hsv_add_header (call, "Content-Length", "99");
  hsv_reply_text (call, 201, "text/plain", "done");
  hbn_run_until_sees (fixture, raw, "done");
  CU_ASSERT_PTR_NOT_NULL (strstr (raw->got->str, "HTTP/1.1 201 "));
  CU_ASSERT_PTR_NOT_NULL (strstr (raw->got->str, "X-Good: yes\r\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (raw->got->str, "Content-Length: 4\r\n"));
  hbn_check_absent (raw, "X-Evil");
  hbn_check_absent (raw, "chunked");
  hbn_check_absent (raw, "99");
  CU_ASSERT_EQUAL (hbn_counted (fixture, "medlarplank_http_bad_headers_total"), 1);
  CU_ASSERT_TRUE (raw_run_until (fixture->base, hbn_not_busy, fixture));
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
  g_autofree char *big = g_strnfill (HBN_HEADER_LIMIT_BYTES + 10, 'x');
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

      g_autoptr (hbn_t) fixture = hbn_new ();
      raw_t *raw = hbn_ask (fixture, cases[i].request);
      CU_ASSERT_TRUE (raw_run_until (fixture->base, hbn_ended, raw));
      CU_ASSERT_FALSE (raw->reset);
      CU_ASSERT_TRUE (g_str_has_prefix (raw->got->str, status));
      CU_ASSERT_PTR_NOT_NULL (strstr (raw->got->str, "\r\n\r\n{\"error\":{\"message\":"));
      CU_ASSERT_PTR_NOT_NULL (strstr (raw->got->str, cases[i].code));
      CU_ASSERT_PTR_NOT_NULL (strstr (raw->got->str, "X-Medlarplank-Verdict: not_run\r\n"));
      CU_ASSERT_EQUAL (hbn_refused (fixture, rejection_reason (cases[i].status)), 1);
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
  g_autoptr (hbn_t) fixture = hbn_new ();
  raw_t *raw = hbn_ask (fixture, "POST / HTTP/1.1\r\nContent-Length: 300000\r\n\r\nfirst");

  CU_ASSERT_TRUE (raw_run_until (fixture->base, hbn_ended, raw));
  CU_ASSERT_PTR_NOT_NULL (strstr (raw->got->str, "body_too_large"));
  for (int i = 0; i < 5; i++)
    {
      CU_ASSERT_EQUAL (send (raw->fd, "more", 4, MSG_NOSIGNAL), 4);
      raw_run_ms (fixture->base, 5);
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
  g_autoptr (hbn_t) fixture = hbn_new ();
  raw_t *raw = hbn_ask_waiting (fixture, "GET /1 HTTP/1.1\r\n\r\n");

  hsv_begin (hbn_call_at (fixture, 0), 200);
  while (stalls < 3 && sent_bytes < FLOOD_BYTES)
    {
      ssize_t count = send (raw->fd, block, 64 * 1024, MSG_DONTWAIT | MSG_NOSIGNAL);

      stalls = count < 0 ? stalls + 1 : 0;
      sent_bytes += count < 0 ? 0 : (size_t)count;
      raw_run_ms (fixture->base, count < 0 ? 20 : 0);
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
  raw_t *raw;
  size_t body_bytes;

  for (size_t i = 0; i < G_N_ELEMENTS (heads); i++)
    {
      g_autofree char *request =
          g_strconcat (heads[i], inner, i == 3 ? "\r\n0\r\n\r\n" : NULL, NULL);

      g_autoptr (hbn_t) fixture = hbn_new ();
      raw = hbn_ask_waiting (fixture, request);
      CU_ASSERT_NSTRING_EQUAL (hsv_body (hbn_call_at (fixture, 0), &body_bytes), inner, 23);
      CU_ASSERT_EQUAL (body_bytes, 23);
      hsv_reply_text (hbn_call_at (fixture, 0), 200, "text/plain", "seen");
      hbn_run_until_sees (fixture, raw, "seen");
      raw_run_ms (fixture->base, 5);
      CU_ASSERT_EQUAL (fixture->calls, 1);
    }
  g_autoptr (hbn_t) fixture = hbn_new ();
  raw =
      hbn_ask (fixture, "HEAD / HTTP/1.1\r\nContent-Length: 23\r\n\r\nGET /inner HTTP/1.1\r\n\r\n");
  CU_ASSERT_TRUE (raw_run_until (fixture->base, hbn_ended, raw));
  CU_ASSERT_PTR_NOT_NULL (strstr (raw->got->str, "HTTP/1.1 400 "));
  CU_ASSERT_EQUAL (fixture->calls, 0);
}

/* Requests exactly at the limits are accepted */
static void
test_at_the_limit (void)
{
  g_autoptr (hbn_t) fixture = hbn_new ();
  g_autofree char *body = g_strnfill (HBN_BODY_LIMIT_BYTES, 'x');
  g_autofree char *request = g_strdup_printf ("POST /full HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s",
                                              HBN_BODY_LIMIT_BYTES, body);

  fixture->reply_at_once = true;
  raw_t *raw = hbn_ask (fixture, request);
  hbn_run_until_sees (fixture, raw, "\r\n\r\n/full");
}

/* A client over the connection limit gets an error that says so; once others have closed their
 * connections, it is served again */
static void
test_connection_limit (void)
{
  g_autoptr (hbn_t) fixture = hbn_new ();
  raw_t *clients[HBN_CONNECTION_LIMIT + 1];

  fixture->reply_at_once = true;
  for (int i = 0; i < HBN_CONNECTION_LIMIT; i++)
    {
      clients[i] = hbn_ask (fixture, "GET /in HTTP/1.1\r\n\r\n");
      hbn_run_until_sees (fixture, clients[i], "/in");
    }
  raw_t *raw = hbn_ask (fixture, "GET /out HTTP/1.1\r\n\r\n");
  CU_ASSERT_TRUE (raw_run_until (fixture->base, hbn_ended, raw));
  CU_ASSERT_PTR_NOT_NULL (strstr (raw->got->str, "HTTP/1.1 503 "));
  CU_ASSERT_PTR_NOT_NULL (strstr (raw->got->str, "too_many_connections"));
  CU_ASSERT_EQUAL (hbn_refused (fixture, "connections"), 1);
  raw_close (clients[0], false);
  raw_close (clients[1], false);
  CU_ASSERT_TRUE (raw_run_until (fixture->base, hbn_one_connected, fixture));
  clients[0] = hbn_ask (fixture, "GET /again HTTP/1.1\r\n\r\n");
  hbn_run_until_sees (fixture, clients[0], "\r\n\r\n/again");
}

static bool
is_flood_accepted (void *context)
{
  return hbn_counted (context, "medlarplank_http_connections") ==
         HBN_CONNECTION_LIMIT + LIM_HTTP_OVER_LIMIT;
}

static bool
is_flood_closed (void *context)
{
  return hbn_counted (context, "medlarplank_http_connections") == 0;
}

#define SENT_BODY_BYTES 900 /* of a body with HBN_BODY_LIMIT_BYTES */

/* Returns a request without the end of its body, with @padding_bytes in a header */
static char *
make_incomplete_request (int padding_bytes)
{
  g_autofree char *padding = g_strnfill ((gsize)padding_bytes, 'f');
  g_autofree char *body = g_strnfill (SENT_BODY_BYTES, 'b');

  return g_strdup_printf ("POST /long HTTP/1.1\r\nX-Fill: %s\r\nContent-Length: %d\r\n\r\n%s",
                          padding, HBN_BODY_LIMIT_BYTES, body);
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
  g_autofree char *rest = g_strnfill (HBN_BODY_LIMIT_BYTES - SENT_BODY_BYTES, 'b');
  g_autoptr (hbn_t) fixture = hbn_new ();
  raw_t *clients[G_N_ELEMENTS (PADDINGS)];

  fixture->reply_at_once = true;
  for (guint i = 0; i < G_N_ELEMENTS (PADDINGS); i++)
    {
      g_autofree char *request = make_incomplete_request (PADDINGS[i]);

      clients[i] = hbn_ask (fixture, request);
    }
  CU_ASSERT_TRUE (raw_run_until (fixture->base, hbn_ended, clients[1]));
  CU_ASSERT_PTR_NOT_NULL (strstr (clients[1]->got->str, "HTTP/1.1 503 "));
  CU_ASSERT_PTR_NOT_NULL (strstr (clients[1]->got->str, "too_many_bytes"));
  CU_ASSERT_PTR_NOT_NULL (strstr (clients[1]->got->str, "not_run"));
  CU_ASSERT_FALSE (clients[1]->reset);
  for (guint i = 0; i < G_N_ELEMENTS (PADDINGS); i += 2)
    {
      raw_send (clients[i], rest);
      hbn_run_until_sees (fixture, clients[i], "\r\n\r\n/long");
    }
  for (int i = 0; i < 9; i++)
    {
      raw_send (clients[0], "GET /short HTTP/1.1\r\n\r\n");
      g_string_truncate (clients[0]->got, 0);
      hbn_run_until_sees (fixture, clients[0], "\r\n\r\n/short");
    }
  CU_ASSERT_EQUAL (hbn_refused (fixture, "body"), 1);
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
    FLOOD = HBN_CONNECTION_LIMIT + LIM_HTTP_OVER_LIMIT + 10
  };
  g_autoptr (hbn_t) fixture = hbn_new ();
  raw_t *clients[FLOOD];

  fixture->reply_at_once = true;
  for (int i = 0; i < FLOOD; i++)
    clients[i] = hbn_ask (fixture, "");
  CU_ASSERT_TRUE (raw_run_until (fixture->base, is_flood_accepted, fixture));
  raw_run_ms (fixture->base, 20);
  CU_ASSERT_TRUE (is_flood_accepted (fixture));
  for (int i = 0; i < FLOOD; i++)
    raw_close (clients[i], false);
  CU_ASSERT_TRUE (raw_run_until (fixture->base, is_flood_closed, fixture));
  clients[0] = hbn_ask (fixture, "GET /after HTTP/1.1\r\n\r\n");
  hbn_run_until_sees (fixture, clients[0], "\r\n\r\n/after");
}

/*
 * A client pipelines three requests. While the first is pending, bytes of the next can be read;
 * libevent would exit the process if it read them in this state. The responses must have the order
 * of the requests.
 */
static void
test_pipelined (void)
{
  g_autoptr (hbn_t) fixture = hbn_new ();
  const char *first;
  const char *second;
  const char *third;

  raw_t *raw = hbn_ask_waiting (fixture, "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
  raw_send (raw, "POST /3 HTTP/1.1\r\nContent-Length: 4\r\n\r\nbo");
  raw_run_ms (fixture->base, 20);
  CU_ASSERT_EQUAL (fixture->calls, 1);
  fixture->reply_at_once = true;
  hsv_reply_text (hbn_call_at (fixture, 0), 200, "text/plain", "/one");
  raw_send (raw, "dy");
  hbn_run_until_sees (fixture, raw, "\r\n\r\n/3");
  first = strstr (raw->got->str, "\r\n\r\n/one");
  second = strstr (raw->got->str, "\r\n\r\n/2");
  third = strstr (raw->got->str, "\r\n\r\n/3");
  CU_ASSERT_TRUE (first && second && first < second && second < third);
  CU_ASSERT_EQUAL (fixture->disconnects, 0);
}

static void
test_stream (void)
{
  g_autoptr (hbn_t) fixture = hbn_new ();
  raw_t *raw = hbn_ask_waiting (fixture, "GET /1 HTTP/1.1\r\n\r\n");

  hsv_add_header (hbn_call_at (fixture, 0), "Content-Length", "3");
  hsv_begin (hbn_call_at (fixture, 0), 200);
  CU_ASSERT_TRUE (hbn_part (hbn_call_at (fixture, 0), "first"));
  hbn_run_until_sees (fixture, raw, "Transfer-Encoding: chunked\r\n");
  hbn_run_until_sees (fixture, raw, "5\r\nfirst\r\n");
  hbn_check_absent (raw, "Content-Length");
  hbn_part (hbn_call_at (fixture, 0), "second");
  hsv_end (hbn_call_at (fixture, 0));
  CU_ASSERT_EQUAL (hsv_busy (fixture->hsv), 1);
  hbn_run_until_sees (fixture, raw, "6\r\nsecond\r\n0\r\n\r\n");
  CU_ASSERT_EQUAL (hsv_busy (fixture->hsv), 0);
  fixture->reply_at_once = true;
  raw_send (raw, "GET /next HTTP/1.1\r\n\r\n");
  hbn_run_until_sees (fixture, raw, "\r\n\r\n/next");
}

static void
test_http_1_0 (void)
{
  g_autoptr (hbn_t) fixture = hbn_new ();
  raw_t *raw = hbn_ask_waiting (fixture, "GET /1 HTTP/1.0\r\nConnection: keep-alive\r\n\r\n");

  hsv_begin (hbn_call_at (fixture, 0), 200);
  hbn_part (hbn_call_at (fixture, 0), "whole");
  hsv_end (hbn_call_at (fixture, 0));
  CU_ASSERT_TRUE (raw_run_until (fixture->base, hbn_ended, raw));
  CU_ASSERT_FALSE (raw->reset);
  CU_ASSERT_PTR_NOT_NULL (strstr (raw->got->str, "\r\n\r\nwhole"));
  hbn_check_absent (raw, "chunked");
}

/* Responses to HEAD have a Content-Length but no body, since the client would take body bytes for
 * the start of the next response */
static void
test_no_body (void)
{
  g_autoptr (hbn_t) fixture = hbn_new ();
  raw_t *raw = hbn_ask_waiting (fixture, "HEAD /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");

  hsv_reply_text (hbn_call_at (fixture, 0), 200, "text/plain", "unseen");
  hbn_run_until_sees (fixture, raw, "Content-Length: 6\r\n");
  CU_ASSERT_TRUE (raw_run_until (fixture->base, hbn_two_wait, fixture));
  hsv_begin (hbn_call_at (fixture, 1), 204);
  hbn_part (hbn_call_at (fixture, 1), "unseen");
  hsv_end (hbn_call_at (fixture, 1));
  hbn_run_until_sees (fixture, raw, "HTTP/1.1 204 ");
  raw_run_ms (fixture->base, 5);
  hbn_check_absent (raw, "unseen");
  hbn_check_absent (raw, "chunked");
  CU_ASSERT_EQUAL (hsv_busy (fixture->hsv), 0);
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
