#include "http_bench.h"
#include "suite.h"

#include <event2/keyvalq_struct.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>

#define FLOOD_BYTES (64 * 1024 * 1024) /* far more than the kernel keeps for two sockets */

static const char *
counter_of (int status)
{
  return status == 413 ? "body" : status == 431 ? "headers" : "bad_request";
}

static void
test_request (void)
{
  g_autoptr (hbn_t) bench = hbn_new ();
  size_t body_bytes;

  raw_t *raw =
      hbn_ask_waiting (bench, "POST /a/b?x=1&y=two%20words HTTP/1.1\r\nHost: h\r\nX-One: 1\r\n"
                              "Content-Length: 4\r\n\r\nbody");
  hsv_call_t *call = hbn_call_at (bench, 0);
  CU_ASSERT_STRING_EQUAL (hsv_method (call), "POST");
  CU_ASSERT_STRING_EQUAL (hsv_path (call), "/a/b");
  CU_ASSERT_STRING_EQUAL (hsv_target (call), "/a/b?x=1&y=two%20words");
  CU_ASSERT_STRING_EQUAL (hsv_query (call, "y"), "two words");
  CU_ASSERT_PTR_NULL (hsv_query (call, "z"));
  CU_ASSERT_STRING_EQUAL (hsv_header (call, "x-one"), "1");
  CU_ASSERT_PTR_NULL (hsv_header (call, "X-Two"));
  CU_ASSERT_NSTRING_EQUAL (hsv_body (call, &body_bytes), "body", 4);
  CU_ASSERT_EQUAL (body_bytes, 4);
  CU_ASSERT_EQUAL (hsv_busy (bench->hsv), 1);
  hsv_add_header (call, "X-Good", "yes");
  hsv_add_header (call, "X-Bad", "a\r\nX-Evil: 1");
  hsv_add_header (call, "Transfer-Encoding", "chunked");
  hsv_add_header (call, "Content-Length", "99");
  hsv_reply_text (call, 201, "text/plain", "done");
  hbn_run_until_sees (bench, raw, "done");
  CU_ASSERT_PTR_NOT_NULL (strstr (raw->got->str, "HTTP/1.1 201 "));
  CU_ASSERT_PTR_NOT_NULL (strstr (raw->got->str, "X-Good: yes\r\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (raw->got->str, "Content-Length: 4\r\n"));
  hbn_check_absent (raw, "X-Evil");
  hbn_check_absent (raw, "chunked");
  hbn_check_absent (raw, "99");
  CU_ASSERT_EQUAL (hbn_counted (bench, "medlarplank_http_bad_headers_total"), 1);
  CU_ASSERT_TRUE (raw_run_until (bench->base, hbn_not_busy, bench));
  CU_ASSERT_EQUAL (bench->gone, 0);
}

/*
 * A caller sends what goes over a limit, or what two readers may read differently. It must read a
 * JSON error whole, though the listener closes while bytes of the request are still on their way,
 * and nothing of the request may be passed on.
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

      g_autoptr (hbn_t) bench = hbn_new ();
      raw_t *raw = hbn_ask (bench, cases[i].request);
      CU_ASSERT_TRUE (raw_run_until (bench->base, hbn_ended, raw));
      CU_ASSERT_FALSE (raw->reset);
      CU_ASSERT_TRUE (g_str_has_prefix (raw->got->str, status));
      CU_ASSERT_PTR_NOT_NULL (strstr (raw->got->str, "\r\n\r\n{\"error\":{\"message\":"));
      CU_ASSERT_PTR_NOT_NULL (strstr (raw->got->str, cases[i].code));
      CU_ASSERT_PTR_NOT_NULL (strstr (raw->got->str, "X-Medlarplank-Verdict: not_run\r\n"));
      CU_ASSERT_EQUAL (hbn_refused (bench, counter_of (cases[i].status)), 1);
      CU_ASSERT_EQUAL (bench->calls, 0);
      g_free (status);
      g_free (cases[i].request);
    }
}

/*
 * A caller is still sending when it is refused. Were the socket closed at once, its bytes would
 * meet a reset: its sending fails, and many a caller then never reads the answer.
 */
static void
test_refused_while_sending (void)
{
  g_autoptr (hbn_t) bench = hbn_new ();
  raw_t *raw = hbn_ask (bench, "POST / HTTP/1.1\r\nContent-Length: 300000\r\n\r\nfirst");

  CU_ASSERT_TRUE (raw_run_until (bench->base, hbn_ended, raw));
  CU_ASSERT_PTR_NOT_NULL (strstr (raw->got->str, "body_too_large"));
  for (int i = 0; i < 5; i++)
    {
      CU_ASSERT_EQUAL (send (raw->fd, "more", 4, MSG_NOSIGNAL), 4);
      raw_run_ms (bench->base, 5);
    }
}

/*
 * A caller sends without end while its answer is streamed. The library reads on and looks at none
 * of it; what it piles up must stay bounded, so the caller's sending must stall.
 */
static void
test_flood_while_streaming (void)
{
  g_autofree char *block = g_strnfill (64 * 1024, 'x');
  size_t sent_bytes = 0;
  int stalls = 0;
  g_autoptr (hbn_t) bench = hbn_new ();
  raw_t *raw = hbn_ask_waiting (bench, "GET /1 HTTP/1.1\r\n\r\n");

  hsv_begin (hbn_call_at (bench, 0), 200);
  while (stalls < 3 && sent_bytes < FLOOD_BYTES)
    {
      ssize_t count = send (raw->fd, block, 64 * 1024, MSG_DONTWAIT | MSG_NOSIGNAL);

      stalls = count < 0 ? stalls + 1 : 0;
      sent_bytes += count < 0 ? 0 : (size_t)count;
      raw_run_ms (bench->base, count < 0 ? 20 : 0);
    }
  CU_ASSERT_TRUE (sent_bytes < FLOOD_BYTES);
}

/*
 * A caller declares a body where few do. Whatever the library makes of it, the body must never be
 * read as a request of its own: it is passed on as a body, or the request is refused.
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

      g_autoptr (hbn_t) bench = hbn_new ();
      raw = hbn_ask_waiting (bench, request);
      CU_ASSERT_NSTRING_EQUAL (hsv_body (hbn_call_at (bench, 0), &body_bytes), inner, 23);
      CU_ASSERT_EQUAL (body_bytes, 23);
      hsv_reply_text (hbn_call_at (bench, 0), 200, "text/plain", "seen");
      hbn_run_until_sees (bench, raw, "seen");
      raw_run_ms (bench->base, 5);
      CU_ASSERT_EQUAL (bench->calls, 1);
    }
  g_autoptr (hbn_t) bench = hbn_new ();
  raw = hbn_ask (bench, "HEAD / HTTP/1.1\r\nContent-Length: 23\r\n\r\nGET /inner HTTP/1.1\r\n\r\n");
  CU_ASSERT_TRUE (raw_run_until (bench->base, hbn_ended, raw));
  CU_ASSERT_PTR_NOT_NULL (strstr (raw->got->str, "HTTP/1.1 400 "));
  CU_ASSERT_EQUAL (bench->calls, 0);
}

/* the limits themselves are allowed */
static void
test_at_the_limit (void)
{
  g_autoptr (hbn_t) bench = hbn_new ();
  g_autofree char *body = g_strnfill (HBN_BODY_LIMIT_BYTES, 'x');
  g_autofree char *request = g_strdup_printf ("POST /full HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s",
                                              HBN_BODY_LIMIT_BYTES, body);

  bench->now = true;
  raw_t *raw = hbn_ask (bench, request);
  hbn_run_until_sees (bench, raw, "\r\n\r\n/full");
}

/* over the connection limit a caller hears why; when others have closed it is served again */
static void
test_connection_limit (void)
{
  g_autoptr (hbn_t) bench = hbn_new ();
  raw_t *raws[HBN_CONNECTION_LIMIT + 1];

  bench->now = true;
  for (int i = 0; i < HBN_CONNECTION_LIMIT; i++)
    {
      raws[i] = hbn_ask (bench, "GET /in HTTP/1.1\r\n\r\n");
      hbn_run_until_sees (bench, raws[i], "/in");
    }
  raw_t *raw = hbn_ask (bench, "GET /out HTTP/1.1\r\n\r\n");
  CU_ASSERT_TRUE (raw_run_until (bench->base, hbn_ended, raw));
  CU_ASSERT_PTR_NOT_NULL (strstr (raw->got->str, "HTTP/1.1 503 "));
  CU_ASSERT_PTR_NOT_NULL (strstr (raw->got->str, "too_many_connections"));
  CU_ASSERT_EQUAL (hbn_refused (bench, "connections"), 1);
  raw_close (raws[0], false);
  raw_close (raws[1], false);
  CU_ASSERT_TRUE (raw_run_until (bench->base, hbn_one_connected, bench));
  raws[0] = hbn_ask (bench, "GET /again HTTP/1.1\r\n\r\n");
  hbn_run_until_sees (bench, raws[0], "\r\n\r\n/again");
}

static bool
flood_taken (void *context)
{
  return hbn_counted (context, "medlarplank_http_connections") ==
         HBN_CONNECTION_LIMIT + LIM_HTTP_OVER_LIMIT;
}

static bool
flood_left (void *context)
{
  return hbn_counted (context, "medlarplank_http_connections") == 0;
}

#define MOST_BYTES 900 /* of a body of HBN_BODY_LIMIT_BYTES */

/* a long request but for its last bytes, with @fill more in its head */
static char *
most_of_a_request (int fill)
{
  g_autofree char *filling = g_strnfill ((gsize)fill, 'f');
  g_autofree char *body = g_strnfill (MOST_BYTES, 'b');

  return g_strdup_printf ("POST /long HTTP/1.1\r\nX-Fill: %s\r\nContent-Length: %d\r\n\r\n%s",
                          filling, HBN_BODY_LIMIT_BYTES, body);
}

/*
 * Callers send the greater part of long requests and then wait, on many connections. Together they
 * would use up the memory: the one that holds most is answered by 503, as not run, and the others
 * go on; what they sent no longer counts once they are whole.
 */
static void
test_bytes_to_come (void)
{
  static const int FILLS[] = { 1700, 1850, 1800 };
  g_autofree char *rest = g_strnfill (HBN_BODY_LIMIT_BYTES - MOST_BYTES, 'b');
  g_autoptr (hbn_t) bench = hbn_new ();
  raw_t *raws[G_N_ELEMENTS (FILLS)];

  bench->now = true;
  for (guint i = 0; i < G_N_ELEMENTS (FILLS); i++)
    {
      g_autofree char *most = most_of_a_request (FILLS[i]);

      raws[i] = hbn_ask (bench, most);
    }
  CU_ASSERT_TRUE (raw_run_until (bench->base, hbn_ended, raws[1]));
  CU_ASSERT_PTR_NOT_NULL (strstr (raws[1]->got->str, "HTTP/1.1 503 "));
  CU_ASSERT_PTR_NOT_NULL (strstr (raws[1]->got->str, "too_many_bytes"));
  CU_ASSERT_PTR_NOT_NULL (strstr (raws[1]->got->str, "not_run"));
  CU_ASSERT_FALSE (raws[1]->reset);
  for (guint i = 0; i < G_N_ELEMENTS (FILLS); i += 2)
    {
      raw_send (raws[i], rest);
      hbn_run_until_sees (bench, raws[i], "\r\n\r\n/long");
    }
  for (int i = 0; i < 9; i++)
    {
      raw_send (raws[0], "GET /short HTTP/1.1\r\n\r\n");
      g_string_truncate (raws[0]->got, 0);
      hbn_run_until_sees (bench, raws[0], "\r\n\r\n/short");
    }
  CU_ASSERT_EQUAL (hbn_refused (bench, "body"), 1);
}

/*
 * A caller opens connections far over the limit and says nothing. The listener takes no more than
 * it must, leaving the rest to the kernel, and goes on once the flood ends.
 */
static void
test_connection_flood (void)
{
  enum
  {
    FLOOD = HBN_CONNECTION_LIMIT + LIM_HTTP_OVER_LIMIT + 10
  };
  g_autoptr (hbn_t) bench = hbn_new ();
  raw_t *raws[FLOOD];

  bench->now = true;
  for (int i = 0; i < FLOOD; i++)
    raws[i] = hbn_ask (bench, "");
  CU_ASSERT_TRUE (raw_run_until (bench->base, flood_taken, bench));
  raw_run_ms (bench->base, 20);
  CU_ASSERT_TRUE (flood_taken (bench));
  for (int i = 0; i < FLOOD; i++)
    raw_close (raws[i], false);
  CU_ASSERT_TRUE (raw_run_until (bench->base, flood_left, bench));
  raws[0] = hbn_ask (bench, "GET /after HTTP/1.1\r\n\r\n");
  hbn_run_until_sees (bench, raws[0], "\r\n\r\n/after");
}

/*
 * A caller sends three requests without waiting. While the first waits for its answer, bytes of
 * the next are there to read; the library would exit if it read them then. The answers must come
 * in the order of the requests.
 */
static void
test_pipelined (void)
{
  g_autoptr (hbn_t) bench = hbn_new ();
  const char *first;
  const char *second;
  const char *third;

  raw_t *raw = hbn_ask_waiting (bench, "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
  raw_send (raw, "POST /3 HTTP/1.1\r\nContent-Length: 4\r\n\r\nbo");
  raw_run_ms (bench->base, 20);
  CU_ASSERT_EQUAL (bench->calls, 1);
  bench->now = true;
  hsv_reply_text (hbn_call_at (bench, 0), 200, "text/plain", "/one");
  raw_send (raw, "dy");
  hbn_run_until_sees (bench, raw, "\r\n\r\n/3");
  first = strstr (raw->got->str, "\r\n\r\n/one");
  second = strstr (raw->got->str, "\r\n\r\n/2");
  third = strstr (raw->got->str, "\r\n\r\n/3");
  CU_ASSERT_TRUE (first && second && first < second && second < third);
  CU_ASSERT_EQUAL (bench->gone, 0);
}

static void
test_stream (void)
{
  g_autoptr (hbn_t) bench = hbn_new ();
  raw_t *raw = hbn_ask_waiting (bench, "GET /1 HTTP/1.1\r\n\r\n");

  hsv_add_header (hbn_call_at (bench, 0), "Content-Length", "3");
  hsv_begin (hbn_call_at (bench, 0), 200);
  CU_ASSERT_TRUE (hbn_part (hbn_call_at (bench, 0), "first"));
  hbn_run_until_sees (bench, raw, "Transfer-Encoding: chunked\r\n");
  hbn_run_until_sees (bench, raw, "5\r\nfirst\r\n");
  hbn_check_absent (raw, "Content-Length");
  hbn_part (hbn_call_at (bench, 0), "second");
  hsv_end (hbn_call_at (bench, 0));
  CU_ASSERT_EQUAL (hsv_busy (bench->hsv), 1);
  hbn_run_until_sees (bench, raw, "6\r\nsecond\r\n0\r\n\r\n");
  CU_ASSERT_EQUAL (hsv_busy (bench->hsv), 0);
  bench->now = true;
  raw_send (raw, "GET /next HTTP/1.1\r\n\r\n");
  hbn_run_until_sees (bench, raw, "\r\n\r\n/next");
}

static void
test_http_1_0 (void)
{
  g_autoptr (hbn_t) bench = hbn_new ();
  raw_t *raw = hbn_ask_waiting (bench, "GET /1 HTTP/1.0\r\nConnection: keep-alive\r\n\r\n");

  hsv_begin (hbn_call_at (bench, 0), 200);
  hbn_part (hbn_call_at (bench, 0), "whole");
  hsv_end (hbn_call_at (bench, 0));
  CU_ASSERT_TRUE (raw_run_until (bench->base, hbn_ended, raw));
  CU_ASSERT_FALSE (raw->reset);
  CU_ASSERT_PTR_NOT_NULL (strstr (raw->got->str, "\r\n\r\nwhole"));
  hbn_check_absent (raw, "chunked");
}

/* HEAD tells a length and brings no body, or the next answer would be read from the middle */
static void
test_no_body (void)
{
  g_autoptr (hbn_t) bench = hbn_new ();
  raw_t *raw = hbn_ask_waiting (bench, "HEAD /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");

  hsv_reply_text (hbn_call_at (bench, 0), 200, "text/plain", "unseen");
  hbn_run_until_sees (bench, raw, "Content-Length: 6\r\n");
  CU_ASSERT_TRUE (raw_run_until (bench->base, hbn_two_wait, bench));
  hsv_begin (hbn_call_at (bench, 1), 204);
  hbn_part (hbn_call_at (bench, 1), "unseen");
  hsv_end (hbn_call_at (bench, 1));
  hbn_run_until_sees (bench, raw, "HTTP/1.1 204 ");
  raw_run_ms (bench->base, 5);
  hbn_check_absent (raw, "unseen");
  hbn_check_absent (raw, "chunked");
  CU_ASSERT_EQUAL (hsv_busy (bench->hsv), 0);
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
    { "bytes to come", test_bytes_to_come },
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
