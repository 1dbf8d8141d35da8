#include "connection/http_server.h"
#include "raw_peer.h"

#include <CUnit/Basic.h>
#include <event2/keyvalq_struct.h>
#include <string.h>
#include <sys/socket.h>

#define BODY_LIMIT_BYTES 1000
#define HEADER_LIMIT_BYTES 2000
#define CONNECTION_LIMIT 3
#define REQUEST_TIMEOUT_MS 500
#define FLOOD_BYTES (64 * 1024 * 1024) /* far more than the kernel keeps for two sockets */

/**
 * struct bench - a listener whose calls wait in @waiting until a test answers them
 * @now: answer within on_call, by the target
 */
typedef struct
{
  struct event_base *base;
  cnt_set_t *counters;
  hsv_t *hsv;
  set_address_t address;
  GPtrArray *waiting;
  uint32_t calls;
  uint32_t gone;
  uint32_t rooms;
  bool now;
} bench_t;

static void
on_gone (void *context)
{
  ((bench_t *)context)->gone++;
}

static void
on_room (void *context)
{
  ((bench_t *)context)->rooms++;
}

static void
on_call (hsv_call_t *call, void *context)
{
  bench_t *bench = context;

  bench->calls++;
  if (bench->now)
    {
      hsv_reply_text (call, 200, "text/plain", hsv_target (call));
      return;
    }
  hsv_on_gone (call, on_gone, bench);
  hsv_on_room (call, on_room, bench);
  g_ptr_array_add (bench->waiting, call);
}

static void
bench_start_idle (bench_t *bench, uint32_t idle_timeout_ms)
{
  hsv_options_t options = { .body_limit_bytes = BODY_LIMIT_BYTES,
                            .header_limit_bytes = HEADER_LIMIT_BYTES,
                            .header_limit_count = 20,
                            .connection_limit = CONNECTION_LIMIT,
                            .idle_timeout_ms = idle_timeout_ms,
                            .request_timeout_ms = REQUEST_TIMEOUT_MS,
                            .on_call = on_call };
  GError *error = NULL;

  memset (bench, 0, sizeof *bench);
  bench->base = event_base_new ();
  bench->counters = cnt_set_new ();
  bench->waiting = g_ptr_array_new ();
  bench->address = raw_address ();
  options.base = bench->base;
  options.counters = bench->counters;
  options.listen = bench->address;
  options.context = bench;
  bench->hsv = hsv_new (&options, &error);
  g_assert_no_error (error);
  bench->address.port = hsv_port (bench->hsv);
}

static void
bench_start (bench_t *bench)
{
  bench_start_idle (bench, 3000);
}

static void
bench_stop (bench_t *bench)
{
  if (bench->hsv)
    hsv_free (bench->hsv);
  g_ptr_array_free (bench->waiting, TRUE);
  cnt_set_free (bench->counters);
  event_base_free (bench->base);
}

static uint64_t
counted (bench_t *bench, const char *name)
{
  return cnt_value (cnt_get (bench->counters, name, ""));
}

static hsv_call_t *
call_at (bench_t *bench, guint index)
{
  return bench->waiting->pdata[index];
}

/* conditions of raw_run_until() */

typedef struct
{
  raw_t *raw;
  const char *text;
} sees_t;

static bool
sees (void *context)
{
  sees_t *expected = context;

  return strstr (expected->raw->got->str, expected->text);
}

static bool
ended (void *context)
{
  return ((raw_t *)context)->eof;
}

static bool
one_waits (void *context)
{
  return ((bench_t *)context)->waiting->len == 1;
}

static bool
one_gone (void *context)
{
  return ((bench_t *)context)->gone == 1;
}

static bool
not_busy (void *context)
{
  return hsv_busy (((bench_t *)context)->hsv) == 0;
}

static void
run_until_sees (bench_t *bench, raw_t *raw, const char *text)
{
  sees_t expected = { raw, text };

  CU_ASSERT_TRUE (raw_run_until (bench->base, sees, &expected));
}

static raw_t *
ask (bench_t *bench, const char *request)
{
  raw_t *raw = raw_connect (bench->base, &bench->address);

  raw_send (raw, request);
  return raw;
}

/* a request that waits unanswered */
static raw_t *
ask_waiting (bench_t *bench, const char *request)
{
  raw_t *raw = ask (bench, request);

  CU_ASSERT_TRUE (raw_run_until (bench->base, one_waits, bench));
  return raw;
}

static void
check_absent (const raw_t *raw, const char *text)
{
  CU_ASSERT_PTR_NULL (strstr (raw->got->str, text));
}

static void
test_request (void)
{
  bench_t bench;
  raw_t *raw;
  hsv_call_t *call;
  size_t body_bytes;

  bench_start (&bench);
  raw = ask_waiting (&bench, "POST /a/b?x=1&y=two%20words HTTP/1.1\r\nHost: h\r\nX-One: 1\r\n"
                             "Content-Length: 4\r\n\r\nbody");
  call = call_at (&bench, 0);
  CU_ASSERT_STRING_EQUAL (hsv_method (call), "POST");
  CU_ASSERT_STRING_EQUAL (hsv_path (call), "/a/b");
  CU_ASSERT_STRING_EQUAL (hsv_target (call), "/a/b?x=1&y=two%20words");
  CU_ASSERT_STRING_EQUAL (hsv_query (call, "y"), "two words");
  CU_ASSERT_PTR_NULL (hsv_query (call, "z"));
  CU_ASSERT_STRING_EQUAL (hsv_header (call, "x-one"), "1");
  CU_ASSERT_PTR_NULL (hsv_header (call, "X-Two"));
  CU_ASSERT_NSTRING_EQUAL (hsv_body (call, &body_bytes), "body", 4);
  CU_ASSERT_EQUAL (body_bytes, 4);
  CU_ASSERT_EQUAL (hsv_busy (bench.hsv), 1);
  hsv_add_header (call, "X-Good", "yes");
  hsv_add_header (call, "X-Bad", "a\r\nX-Evil: 1");
  hsv_add_header (call, "Transfer-Encoding", "chunked");
  hsv_add_header (call, "Content-Length", "99");
  hsv_reply_text (call, 201, "text/plain", "done");
  run_until_sees (&bench, raw, "done");
  CU_ASSERT_PTR_NOT_NULL (strstr (raw->got->str, "HTTP/1.1 201 "));
  CU_ASSERT_PTR_NOT_NULL (strstr (raw->got->str, "X-Good: yes\r\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (raw->got->str, "Content-Length: 4\r\n"));
  check_absent (raw, "X-Evil");
  check_absent (raw, "chunked");
  check_absent (raw, "99");
  CU_ASSERT_EQUAL (counted (&bench, "medlarplank_http_bad_headers_total"), 1);
  CU_ASSERT_TRUE (raw_run_until (bench.base, not_busy, &bench));
  CU_ASSERT_EQUAL (bench.gone, 0);
  raw_free (raw);
  bench_stop (&bench);
}

/*
 * A caller sends what goes over a limit, or what two readers may read differently. It must read a
 * JSON error whole, though the listener closes while bytes of the request are still on their way,
 * and nothing of the request may be passed on.
 */
static void
test_refusals (void)
{
  char *big = g_strnfill (HEADER_LIMIT_BYTES + 10, 'x');
  char *big_body = g_strnfill (300 * 1000, 'x');
  GString *many = g_string_new ("GET / HTTP/1.1\r\n");
  bench_t bench;

  for (int i = 0; i < 21; i++)
    g_string_append_printf (many, "X-%d: 1\r\n", i);
  g_string_append (many, "\r\n");

  const struct
  {
    char *request;
    const char *status;
    const char *code;
    const char *reason;
  } cases[] = {
    { g_strdup_printf ("POST / HTTP/1.1\r\nContent-Length: 300000\r\n\r\n%s", big_body),
      "HTTP/1.1 413 ", "body_too_large", "body" },
    { g_strdup_printf ("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n493e0\r\n%s",
                       big_body),
      "HTTP/1.1 413 ", "body_too_large", "body" },
    { g_strdup_printf ("GET / HTTP/1.1\r\nX-Big: %s\r\n\r\n", big), "HTTP/1.1 431 ",
      "headers_too_large", "headers" },
    { g_strdup_printf ("GET /%s", big), "HTTP/1.1 431 ", "headers_too_large", "headers" },
    { g_strdup (many->str), "HTTP/1.1 431 ", "headers_too_large", "headers" },
    { g_strdup ("GET nowhere HTTP/1.1\r\n\r\n"), "HTTP/1.1 400 ", "bad_target", "bad_request" },
    { g_strdup ("GET http://other/ HTTP/1.1\r\n\r\n"), "HTTP/1.1 400 ", "bad_target",
      "bad_request" },
    { g_strdup ("GET /a\x01 HTTP/1.1\r\n\r\n"), "HTTP/1.1 400 ", "bad_target", "bad_request" },
    { g_strdup ("no sense\r\n\r\n"), "HTTP/1.1 400 ", "bad_request", "bad_request" },
    { g_strdup ("POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
                "3\r\nabc\r\n0\r\n\r\nGET /inner HTTP/1.1\r\n\r\n"),
      "HTTP/1.1 400 ", "bad_", "bad_request" },
    { g_strdup ("POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"),
      "HTTP/1.1 400 ", "bad_framing", "bad_request" },
    { g_strdup ("TRACE / HTTP/1.1\r\n\r\n"), "HTTP/1.1 501 ", "bad_method", "bad_request" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *name =
          g_strdup_printf ("medlarplank_http_refused_total{reason=\"%s\"}", cases[i].reason);
      raw_t *raw;

      bench_start (&bench);
      raw = ask (&bench, cases[i].request);
      CU_ASSERT_TRUE (raw_run_until (bench.base, ended, raw));
      CU_ASSERT_FALSE (raw->reset);
      CU_ASSERT_NSTRING_EQUAL (raw->got->str, cases[i].status, strlen (cases[i].status));
      CU_ASSERT_PTR_NOT_NULL (strstr (raw->got->str, "\r\n\r\n{\"error\":{\"message\":"));
      CU_ASSERT_PTR_NOT_NULL (strstr (raw->got->str, cases[i].code));
      CU_ASSERT_PTR_NOT_NULL (strstr (raw->got->str, "X-Medlarplank-Verdict: not_run\r\n"));
      CU_ASSERT_EQUAL (counted (&bench, name), 1);
      CU_ASSERT_EQUAL (bench.calls, 0);
      raw_free (raw);
      bench_stop (&bench);
      g_free (name);
      g_free (cases[i].request);
    }
  g_free (big);
  g_free (big_body);
  g_string_free (many, TRUE);
}

/*
 * A caller is still sending when it is refused. Were the socket closed at once, its bytes would
 * meet a reset: its sending fails, and many a caller then never reads the answer.
 */
static void
test_refused_while_sending (void)
{
  bench_t bench;
  raw_t *raw;

  bench_start (&bench);
  raw = ask (&bench, "POST / HTTP/1.1\r\nContent-Length: 300000\r\n\r\nfirst");
  CU_ASSERT_TRUE (raw_run_until (bench.base, ended, raw));
  CU_ASSERT_PTR_NOT_NULL (strstr (raw->got->str, "body_too_large"));
  for (int i = 0; i < 5; i++)
    {
      CU_ASSERT_EQUAL (send (raw->fd, "more", 4, MSG_NOSIGNAL), 4);
      raw_run_ms (bench.base, 5);
    }
  raw_free (raw);
  bench_stop (&bench);
}

/*
 * A caller sends without end while its answer is streamed. The library reads on and looks at none
 * of it; what it piles up must stay bounded, so the caller's sending must stall.
 */
static void
test_flood_while_streaming (void)
{
  char *block = g_strnfill (64 * 1024, 'x');
  size_t sent_bytes = 0;
  int stalls = 0;
  bench_t bench;
  raw_t *raw;

  bench_start (&bench);
  raw = ask_waiting (&bench, "GET /1 HTTP/1.1\r\n\r\n");
  hsv_begin (call_at (&bench, 0), 200);
  while (stalls < 3 && sent_bytes < FLOOD_BYTES)
    {
      ssize_t count = send (raw->fd, block, 64 * 1024, MSG_DONTWAIT | MSG_NOSIGNAL);

      stalls = count < 0 ? stalls + 1 : 0;
      sent_bytes += count < 0 ? 0 : (size_t)count;
      raw_run_ms (bench.base, count < 0 ? 20 : 0);
    }
  CU_ASSERT_TRUE (sent_bytes < FLOOD_BYTES);
  raw_free (raw);
  bench_stop (&bench);
  g_free (block);
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
  bench_t bench;
  raw_t *raw;
  size_t body_bytes;

  for (size_t i = 0; i < G_N_ELEMENTS (heads); i++)
    {
      char *request = g_strconcat (heads[i], inner, i == 3 ? "\r\n0\r\n\r\n" : NULL, NULL);

      bench_start (&bench);
      raw = ask_waiting (&bench, request);
      CU_ASSERT_NSTRING_EQUAL (hsv_body (call_at (&bench, 0), &body_bytes), inner, 23);
      CU_ASSERT_EQUAL (body_bytes, 23);
      hsv_reply_text (call_at (&bench, 0), 200, "text/plain", "seen");
      run_until_sees (&bench, raw, "seen");
      raw_run_ms (bench.base, 5);
      CU_ASSERT_EQUAL (bench.calls, 1);
      raw_free (raw);
      bench_stop (&bench);
      g_free (request);
    }
  bench_start (&bench);
  raw = ask (&bench, "HEAD / HTTP/1.1\r\nContent-Length: 23\r\n\r\nGET /inner HTTP/1.1\r\n\r\n");
  CU_ASSERT_TRUE (raw_run_until (bench.base, ended, raw));
  CU_ASSERT_PTR_NOT_NULL (strstr (raw->got->str, "HTTP/1.1 400 "));
  CU_ASSERT_EQUAL (bench.calls, 0);
  raw_free (raw);
  bench_stop (&bench);
}

/* the limits themselves are allowed */
static void
test_at_the_limit (void)
{
  bench_t bench;
  char *body = g_strnfill (BODY_LIMIT_BYTES, 'x');
  char *request = g_strdup_printf ("POST /full HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s",
                                   BODY_LIMIT_BYTES, body);
  raw_t *raw;

  bench_start (&bench);
  bench.now = true;
  raw = ask (&bench, request);
  run_until_sees (&bench, raw, "\r\n\r\n/full");
  raw_free (raw);
  bench_stop (&bench);
  g_free (request);
  g_free (body);
}

/* over the connection limit a caller hears why; when others have closed it is served again */
static void
test_connection_limit (void)
{
  bench_t bench;
  raw_t *raws[CONNECTION_LIMIT + 1];
  raw_t *raw;

  bench_start (&bench);
  bench.now = true;
  for (int i = 0; i < CONNECTION_LIMIT; i++)
    {
      raws[i] = ask (&bench, "GET /in HTTP/1.1\r\n\r\n");
      run_until_sees (&bench, raws[i], "/in");
    }
  raw = ask (&bench, "GET /out HTTP/1.1\r\n\r\n");
  CU_ASSERT_TRUE (raw_run_until (bench.base, ended, raw));
  CU_ASSERT_PTR_NOT_NULL (strstr (raw->got->str, "HTTP/1.1 503 "));
  CU_ASSERT_PTR_NOT_NULL (strstr (raw->got->str, "too_many_connections"));
  CU_ASSERT_EQUAL (counted (&bench, "medlarplank_http_refused_total{reason=\"connections\"}"), 1);
  raw_free (raw);
  raw_free (raws[0]);
  raw_run_ms (bench.base, 20);
  CU_ASSERT_EQUAL (counted (&bench, "medlarplank_http_connections"), CONNECTION_LIMIT - 1);
  raws[0] = ask (&bench, "GET /again HTTP/1.1\r\n\r\n");
  run_until_sees (&bench, raws[0], "\r\n\r\n/again");
  for (int i = 0; i < CONNECTION_LIMIT; i++)
    raw_free (raws[i]);
  bench_stop (&bench);
}

static bool
flood_taken (void *context)
{
  return counted (context, "medlarplank_http_connections") ==
         CONNECTION_LIMIT + LIM_HTTP_OVER_LIMIT;
}

static bool
flood_left (void *context)
{
  return counted (context, "medlarplank_http_connections") == 0;
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
    FLOOD = CONNECTION_LIMIT + LIM_HTTP_OVER_LIMIT + 10
  };
  bench_t bench;
  raw_t *raws[FLOOD];

  bench_start (&bench);
  bench.now = true;
  for (int i = 0; i < FLOOD; i++)
    raws[i] = raw_connect (bench.base, &bench.address);
  CU_ASSERT_TRUE (raw_run_until (bench.base, flood_taken, &bench));
  raw_run_ms (bench.base, 20);
  CU_ASSERT_TRUE (flood_taken (&bench));
  for (int i = 0; i < FLOOD; i++)
    raw_free (raws[i]);
  CU_ASSERT_TRUE (raw_run_until (bench.base, flood_left, &bench));
  raws[0] = ask (&bench, "GET /after HTTP/1.1\r\n\r\n");
  run_until_sees (&bench, raws[0], "\r\n\r\n/after");
  raw_free (raws[0]);
  bench_stop (&bench);
}

/*
 * A caller sends three requests without waiting. While the first waits for its answer, bytes of
 * the next are there to read; the library would exit if it read them then. The answers must come
 * in the order of the requests.
 */
static void
test_pipelined (void)
{
  bench_t bench;
  raw_t *raw;
  const char *first;
  const char *second;
  const char *third;

  bench_start (&bench);
  raw = ask_waiting (&bench, "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
  raw_send (raw, "POST /3 HTTP/1.1\r\nContent-Length: 4\r\n\r\nbo");
  raw_run_ms (bench.base, 20);
  CU_ASSERT_EQUAL (bench.calls, 1);
  bench.now = true;
  hsv_reply_text (call_at (&bench, 0), 200, "text/plain", "/one");
  raw_send (raw, "dy");
  run_until_sees (&bench, raw, "\r\n\r\n/3");
  first = strstr (raw->got->str, "\r\n\r\n/one");
  second = strstr (raw->got->str, "\r\n\r\n/2");
  third = strstr (raw->got->str, "\r\n\r\n/3");
  CU_ASSERT_TRUE (first && second && first < second && second < third);
  CU_ASSERT_EQUAL (bench.gone, 0);
  raw_free (raw);
  bench_stop (&bench);
}

/*
 * The caller closes, resets or half-closes its connection while its request waits, be it with a
 * pipelined one behind it. The engine's work is then for nobody: the call must hear of it, once.
 */
static void
test_gone_while_waiting (void)
{
  for (int kind = 0; kind < 6; kind++)
    {
      bench_t bench;
      raw_t *raw;

      bench_start (&bench);
      raw = ask_waiting (&bench, "GET /1 HTTP/1.1\r\n\r\n");
      if (kind >= 3)
        {
          raw_send (raw, "GET /2 HTTP/1.1\r\n\r\n");
          raw_run_ms (bench.base, 5);
        }
      if (kind % 3 == 2)
        shutdown (raw->fd, SHUT_WR);
      else
        raw_close (raw, kind % 3 == 1);
      CU_ASSERT_TRUE (raw_run_until (bench.base, one_gone, &bench));
      CU_ASSERT_EQUAL (hsv_busy (bench.hsv), 0);
      raw_run_ms (bench.base, 5);
      CU_ASSERT_EQUAL (bench.gone, 1);
      CU_ASSERT_EQUAL (bench.calls, 1);
      CU_ASSERT_EQUAL (counted (&bench, "medlarplank_http_connections"), 0);
      raw_free (raw);
      bench_stop (&bench);
    }
}

static struct evbuffer *
bytes_of (const char *text)
{
  struct evbuffer *buffer = evbuffer_new ();

  evbuffer_add (buffer, text, strlen (text));
  return buffer;
}

static bool
part (hsv_call_t *call, const char *text)
{
  struct evbuffer *buffer = bytes_of (text);
  bool room = hsv_part (call, buffer);

  CU_ASSERT_EQUAL (evbuffer_get_length (buffer), 0);
  evbuffer_free (buffer);
  return room;
}

static void
test_stream (void)
{
  bench_t bench;
  raw_t *raw;

  bench_start (&bench);
  raw = ask_waiting (&bench, "GET /1 HTTP/1.1\r\n\r\n");
  hsv_add_header (call_at (&bench, 0), "Content-Length", "3");
  hsv_begin (call_at (&bench, 0), 200);
  CU_ASSERT_TRUE (part (call_at (&bench, 0), "first"));
  run_until_sees (&bench, raw, "Transfer-Encoding: chunked\r\n");
  run_until_sees (&bench, raw, "5\r\nfirst\r\n");
  check_absent (raw, "Content-Length");
  part (call_at (&bench, 0), "second");
  hsv_end (call_at (&bench, 0));
  CU_ASSERT_EQUAL (hsv_busy (bench.hsv), 1);
  run_until_sees (&bench, raw, "6\r\nsecond\r\n0\r\n\r\n");
  CU_ASSERT_EQUAL (hsv_busy (bench.hsv), 0);
  bench.now = true;
  raw_send (raw, "GET /next HTTP/1.1\r\n\r\n");
  run_until_sees (&bench, raw, "\r\n\r\n/next");
  raw_free (raw);
  bench_stop (&bench);
}

/*
 * An engine fails in the middle of a streamed answer. The caller must see that it is cut: by a
 * chunked body without its end, or, with HTTP/1.0, by a reset, since an end of file would be a
 * whole answer.
 */
static void
test_abort (void)
{
  for (int minor = 0; minor < 2; minor++)
    {
      bench_t bench;
      raw_t *raw;
      char *request = g_strdup_printf ("GET /1 HTTP/1.%d\r\n\r\n", minor);

      bench_start (&bench);
      raw = ask_waiting (&bench, request);
      hsv_begin (call_at (&bench, 0), 200);
      part (call_at (&bench, 0), "part");
      run_until_sees (&bench, raw, "part");
      hsv_abort (call_at (&bench, 0));
      CU_ASSERT_TRUE (raw_run_until (bench.base, ended, raw));
      check_absent (raw, "0\r\n\r\n");
      if (minor == 0)
        CU_ASSERT_TRUE (raw->reset);
      CU_ASSERT_EQUAL (bench.gone, 0);
      CU_ASSERT_EQUAL (hsv_busy (bench.hsv), 0);
      raw_free (raw);
      bench_stop (&bench);
      g_free (request);
    }
}

static void
test_http_1_0 (void)
{
  bench_t bench;
  raw_t *raw;

  bench_start_idle (&bench, 60 * 1000);
  raw = ask_waiting (&bench, "GET /1 HTTP/1.0\r\nConnection: keep-alive\r\n\r\n");
  hsv_begin (call_at (&bench, 0), 200);
  part (call_at (&bench, 0), "whole");
  hsv_end (call_at (&bench, 0));
  CU_ASSERT_TRUE (raw_run_until (bench.base, ended, raw));
  CU_ASSERT_FALSE (raw->reset);
  CU_ASSERT_PTR_NOT_NULL (strstr (raw->got->str, "\r\n\r\nwhole"));
  check_absent (raw, "chunked");
  raw_free (raw);
  bench_stop (&bench);
}

/* HEAD tells a length and brings no body, or the next answer would be read from the middle */
static void
test_no_body (void)
{
  bench_t bench;
  raw_t *raw;

  bench_start (&bench);
  raw = ask_waiting (&bench, "HEAD /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
  hsv_reply_text (call_at (&bench, 0), 200, "text/plain", "unseen");
  run_until_sees (&bench, raw, "Content-Length: 6\r\n");
  raw_run_ms (bench.base, 5);
  hsv_begin (call_at (&bench, 1), 204);
  part (call_at (&bench, 1), "unseen");
  hsv_end (call_at (&bench, 1));
  run_until_sees (&bench, raw, "HTTP/1.1 204 ");
  raw_run_ms (bench.base, 5);
  check_absent (raw, "unseen");
  check_absent (raw, "chunked");
  CU_ASSERT_EQUAL (hsv_busy (bench.hsv), 0);
  raw_free (raw);
  bench_stop (&bench);
}

static bool
has_room (void *context)
{
  return ((bench_t *)context)->rooms > 0;
}

/*
 * The caller of a stream stops reading. What is queued for it must stay bounded, and the stream go
 * on when it reads again.
 */
static void
test_back_pressure (void)
{
  char *block = g_strnfill (64 * 1024, 'x');
  bench_t bench;
  raw_t *raw;

  bench_start (&bench);
  raw = ask_waiting (&bench, "GET /1 HTTP/1.1\r\n\r\n");
  event_del (raw->readable);
  hsv_begin (call_at (&bench, 0), 200);
  do
    {
      while (part (call_at (&bench, 0), block))
        ;
      bench.rooms = 0;
      raw_run_ms (bench.base, 20);
    }
  while (bench.rooms > 0);
  CU_ASSERT_EQUAL (bench.rooms, 0);
  CU_ASSERT_FALSE (part (call_at (&bench, 0), block));
  event_add (raw->readable, NULL);
  CU_ASSERT_TRUE (raw_run_until (bench.base, has_room, &bench));
  CU_ASSERT_TRUE (part (call_at (&bench, 0), "last"));
  hsv_end (call_at (&bench, 0));
  run_until_sees (&bench, raw, "4\r\nlast\r\n0\r\n\r\n");
  raw_free (raw);
  bench_stop (&bench);
  g_free (block);
}

/*
 * A long stream: the caller rightly sends nothing for longer than the idle timeout. The library
 * reads while it writes and would take the silence for an idle connection.
 */
static void
test_idle_timeout (void)
{
  bench_t bench;
  raw_t *idle;
  raw_t *raw;

  bench_start_idle (&bench, 40);
  idle = raw_connect (bench.base, &bench.address);
  raw = ask_waiting (&bench, "GET /1 HTTP/1.1\r\n\r\n");
  hsv_begin (call_at (&bench, 0), 200);
  part (call_at (&bench, 0), "one");
  raw_run_ms (bench.base, 120);
  CU_ASSERT_TRUE (idle->eof);
  CU_ASSERT_FALSE (raw->eof);
  CU_ASSERT_EQUAL (bench.gone, 0);
  part (call_at (&bench, 0), "two");
  hsv_end (call_at (&bench, 0));
  run_until_sees (&bench, raw, "0\r\n\r\n");
  CU_ASSERT_TRUE (raw_run_until (bench.base, ended, raw));
  raw_free (idle);
  raw_free (raw);
  bench_stop (&bench);
}

/* gone in the middle of a stream, seen by the library itself while it writes */
static void
test_gone_in_stream (void)
{
  for (int reset = 0; reset < 2; reset++)
    {
      bench_t bench;
      raw_t *raw;

      bench_start (&bench);
      raw = ask_waiting (&bench, "GET /1 HTTP/1.1\r\n\r\n");
      hsv_begin (call_at (&bench, 0), 200);
      part (call_at (&bench, 0), "part");
      run_until_sees (&bench, raw, "part");
      raw_close (raw, reset);
      CU_ASSERT_TRUE (raw_run_until (bench.base, one_gone, &bench));
      CU_ASSERT_EQUAL (hsv_busy (bench.hsv), 0);
      raw_free (raw);
      bench_stop (&bench);
    }
}

/* answered, or aborted, and closed by the caller in the same turn of the loop */
static void
test_gone_after_answer (void)
{
  for (int kind = 0; kind < 4; kind++)
    {
      bench_t bench;
      raw_t *raw;
      hsv_call_t *call;

      bench_start (&bench);
      raw = ask_waiting (&bench, "GET /1 HTTP/1.1\r\n\r\n");
      call = call_at (&bench, 0);
      raw_close (raw, kind == 3);
      if (kind == 0)
        hsv_abort (call);
      else if (kind == 1)
        hsv_reply_text (call, 200, "text/plain", "late");
      else
        {
          hsv_begin (call, 200);
          hsv_end (call);
        }
      CU_ASSERT_TRUE (raw_run_until (bench.base, not_busy, &bench));
      raw_run_ms (bench.base, 5);
      CU_ASSERT_EQUAL (bench.gone, 0);
      raw_free (raw);
      bench_stop (&bench);
    }
}

/*
 * A planned stop, with a request that waits, one half sent, one on its way on a kept-alive
 * connection, one in the kernel's queue, and an idle connection. All requests get their answers,
 * which say that the connection closes; nobody waits for the idle one.
 */
static void
test_stop (void)
{
  bench_t bench;
  raw_t *waits;
  raw_t *half;
  raw_t *kept;
  raw_t *queued;

  bench_start (&bench);
  bench.now = true;
  kept = ask (&bench, "GET /kept HTTP/1.1\r\n\r\n");
  run_until_sees (&bench, kept, "\r\n\r\n/kept");
  bench.now = false;
  half = ask (&bench, "GET /half HT");
  waits = ask_waiting (&bench, "GET /waits HTTP/1.1\r\n\r\n");
  bench.now = true;
  queued = ask (&bench, "GET /queued HTTP/1.1\r\n\r\n");
  raw_send (kept, "GET /more HTTP/1.1\r\n\r\n");
  hsv_stop (bench.hsv);
  run_until_sees (&bench, kept, "\r\n\r\n/more");
  run_until_sees (&bench, queued, "503"); /* the fourth connection */
  raw_run_ms (bench.base, LIM_HTTP_STOP_LINGER_MS + 50);
  raw_send (half, "TP/1.1\r\n\r\n");
  run_until_sees (&bench, half, "\r\n\r\n/half");
  CU_ASSERT_PTR_NOT_NULL (strstr (half->got->str, "Connection: close\r\n"));
  CU_ASSERT_EQUAL (hsv_busy (bench.hsv), 1);
  hsv_reply_text (call_at (&bench, 0), 200, "text/plain", "/waits");
  run_until_sees (&bench, waits, "\r\n\r\n/waits");
  CU_ASSERT_TRUE (raw_run_until (bench.base, not_busy, &bench));
  CU_ASSERT_EQUAL (hsv_port (bench.hsv), 0);
  raw_free (waits);
  raw_free (half);
  raw_free (kept);
  raw_free (queued);
  bench_stop (&bench);
}

/*
 * A stream whose head left before the stop, so that it could not say that the connection closes,
 * ends long after. Its connection must not hold up the stop for the idle timeout.
 */
static void
test_stop_stream (void)
{
  bench_t bench;
  raw_t *raw;

  bench_start_idle (&bench, 60 * 1000);
  raw = ask_waiting (&bench, "GET /1 HTTP/1.1\r\n\r\n");
  hsv_begin (call_at (&bench, 0), 200);
  hsv_stop (bench.hsv);
  raw_run_ms (bench.base, LIM_HTTP_STOP_LINGER_MS + 50);
  CU_ASSERT_EQUAL (hsv_busy (bench.hsv), 1);
  part (call_at (&bench, 0), "whole");
  hsv_end (call_at (&bench, 0));
  CU_ASSERT_TRUE (raw_run_until (bench.base, not_busy, &bench));
  CU_ASSERT_PTR_NOT_NULL (strstr (raw->got->str, "0\r\n\r\n"));
  raw_free (raw);
  bench_stop (&bench);
}

static bool
one_slow (void *context)
{
  return counted (context, "medlarplank_http_refused_total{reason=\"slow\"}") == 1;
}

static void
drip (evutil_socket_t fd, short what, void *context)
{
  raw_t *raw = context;

  (void)fd;
  (void)what;
  if (!raw->eof)
    (void)!send (raw->fd, "x", 1, MSG_NOSIGNAL);
}

/* a byte now and then keeps a connection from being idle, but a request must come within a time */
static void
test_slow_request (void)
{
  struct timeval pause = { 0, 10 * 1000 };
  bench_t bench;
  raw_t *raw;
  struct event *dripping;

  bench_start (&bench);
  raw = ask (&bench, "GET /");
  dripping = event_new (bench.base, -1, EV_PERSIST, drip, raw);
  event_add (dripping, &pause);
  CU_ASSERT_TRUE (raw_run_until (bench.base, one_slow, &bench));
  CU_ASSERT_TRUE (raw_run_until (bench.base, ended, raw));
  event_free (dripping);
  raw_free (raw);
  bench_stop (&bench);
}

/* idle connections do not hold up a stop */
static void
test_stop_idle (void)
{
  bench_t bench;
  raw_t *idle;
  raw_t *used;

  bench_start (&bench);
  bench.now = true;
  idle = raw_connect (bench.base, &bench.address);
  used = ask (&bench, "GET /used HTTP/1.1\r\n\r\n");
  run_until_sees (&bench, used, "\r\n\r\n/used");
  hsv_stop (bench.hsv);
  CU_ASSERT_TRUE (raw_run_until (bench.base, ended, idle));
  CU_ASSERT_TRUE (raw_run_until (bench.base, ended, used));
  CU_ASSERT_EQUAL (hsv_busy (bench.hsv), 0);
  raw_free (idle);
  raw_free (used);
  bench_stop (&bench);
}

/* freed with connections in every state, even one that evhttp has just taken */
static void
test_free_at_work (void)
{
  bench_t bench;
  raw_t *idle;
  raw_t *waits;
  raw_t *fresh;

  bench_start (&bench);
  idle = raw_connect (bench.base, &bench.address);
  waits = ask_waiting (&bench, "GET /1 HTTP/1.1\r\n\r\n");
  fresh = raw_connect (bench.base, &bench.address);
  event_base_loop (bench.base, EVLOOP_ONCE);
  hsv_free (bench.hsv);
  bench.hsv = NULL;
  CU_ASSERT_EQUAL (bench.gone, 1);
  raw_free (idle);
  raw_free (waits);
  raw_free (fresh);
  bench_stop (&bench);
}

static void
test_address_taken (void)
{
  bench_t bench;
  hsv_options_t options = { 0 };
  GError *error = NULL;

  bench_start (&bench);
  options.base = bench.base;
  options.counters = bench.counters;
  options.listen = bench.address;
  CU_ASSERT_PTR_NULL (hsv_new (&options, &error));
  CU_ASSERT_PTR_NOT_NULL (strstr (error->message, "Address already in use"));
  g_clear_error (&error);
  g_strlcpy (options.listen.ip, "localhost", sizeof options.listen.ip);
  CU_ASSERT_PTR_NULL (hsv_new (&options, &error));
  CU_ASSERT_PTR_NOT_NULL (error);
  g_clear_error (&error);
  bench_stop (&bench);
}

int
main (void)
{
  CU_pSuite suite;

  CU_initialize_registry ();
  suite = CU_add_suite ("http_server", NULL, NULL);
  CU_add_test (suite, "request", test_request);
  CU_add_test (suite, "refusals", test_refusals);
  CU_add_test (suite, "refused while sending", test_refused_while_sending);
  CU_add_test (suite, "flood while streaming", test_flood_while_streaming);
  CU_add_test (suite, "body is no request", test_body_is_no_request);
  CU_add_test (suite, "at the limit", test_at_the_limit);
  CU_add_test (suite, "connection limit", test_connection_limit);
  CU_add_test (suite, "connection flood", test_connection_flood);
  CU_add_test (suite, "pipelined", test_pipelined);
  CU_add_test (suite, "gone while waiting", test_gone_while_waiting);
  CU_add_test (suite, "stream", test_stream);
  CU_add_test (suite, "abort", test_abort);
  CU_add_test (suite, "http 1 0", test_http_1_0);
  CU_add_test (suite, "no body", test_no_body);
  CU_add_test (suite, "back pressure", test_back_pressure);
  CU_add_test (suite, "idle timeout", test_idle_timeout);
  CU_add_test (suite, "gone in stream", test_gone_in_stream);
  CU_add_test (suite, "gone after answer", test_gone_after_answer);
  CU_add_test (suite, "stop", test_stop);
  CU_add_test (suite, "stop stream", test_stop_stream);
  CU_add_test (suite, "slow request", test_slow_request);
  CU_add_test (suite, "stop idle", test_stop_idle);
  CU_add_test (suite, "free at work", test_free_at_work);
  CU_add_test (suite, "address taken", test_address_taken);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  return CU_get_number_of_failures () != 0;
}
