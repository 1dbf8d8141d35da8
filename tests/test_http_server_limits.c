#include "connection/http_server_internal.h"
#include "server_fixture.h"
#include "suite.h"

#include <signal.h>
#include <string.h>

#define IDLE_MS 300
#define LONGER_IDLE_MS 3000
#define LONG_HEAD_LIMIT_BYTES (100 * 1000)
#define HEAD_MS 100
#define HERD 60 /* more connections than libevent's first epoll_wait() reports */

static bool
is_closed (const raw_peer_t *raw)
{
  return raw->eof;
}

static void
request (server_fixture_t *fixture, raw_peer_t *raw, const char *target)
{
  g_autofree char *text = g_strdup_printf ("GET %s HTTP/1.1\r\n\r\n", target);
  g_autofree char *body = g_strconcat ("\r\n\r\n", target, NULL);

  raw_peer_send (raw, text);
  server_fixture_run_until_received (fixture, raw, body);
}

static raw_peer_t *
connect_kept (server_fixture_t *fixture)
{
  raw_peer_t *raw = server_fixture_connect (fixture, "");

  fixture->reply_at_once = true;
  request (fixture, raw, "/kept");
  return raw;
}

static char *
post (const char *target, uint32_t body_bytes)
{
  g_autofree char *body = g_strnfill (body_bytes, 'b');

  return g_strdup_printf ("POST %s HTTP/1.1\r\nContent-Length: %u\r\n\r\n%s", target, body_bytes,
                          body);
}

static void
test_raised_body_limit (void)
{
  g_autoptr (server_fixture_t) fixture = server_fixture_new ();
  g_autofree char *text = post ("/long", 5 * SERVER_FIXTURE_BODY_LIMIT_BYTES);
  raw_peer_t *raw = connect_kept (fixture);

  http_server_configure (fixture->http_server, 5 * SERVER_FIXTURE_BODY_LIMIT_BYTES, 0, 0, 0);
  raw_peer_send (raw, text);
  server_fixture_run_until_received (fixture, raw, "\r\n\r\n/long");
}

static void
test_raised_header_limit (void)
{
  g_autoptr (server_fixture_t) fixture = server_fixture_new ();
  g_autofree char *filler = g_strnfill (2 * SERVER_FIXTURE_HEADER_LIMIT_BYTES, 'h');
  g_autofree char *text = g_strdup_printf ("GET /long HTTP/1.1\r\nX-Fill: %s\r\n\r\n", filler);
  raw_peer_t *raw = connect_kept (fixture);

  http_server_configure (fixture->http_server, 0, 4 * SERVER_FIXTURE_HEADER_LIMIT_BYTES, 0, 0);
  raw_peer_send (raw, text);
  server_fixture_run_until_received (fixture, raw, "\r\n\r\n/long");
}

/* Raised between the head of a request and its body */
static void
test_raised_limits_in_request (void)
{
  g_autoptr (server_fixture_t) fixture = server_fixture_new ();
  raw_peer_t *raw = connect_kept (fixture);

  raw_peer_send (raw, "POST /long HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nb\r\n");
  raw_peer_run_ms (fixture->base, 10);
  http_server_configure (fixture->http_server, 4 * SERVER_FIXTURE_BODY_LIMIT_BYTES, 0, 0, 0);
  for (int i = 0; i < 3; i++)
    {
      g_autofree char *data = g_strnfill (SERVER_FIXTURE_BODY_LIMIT_BYTES, 'b');
      g_autofree char *chunk =
          g_strdup_printf ("%x\r\n%s\r\n", SERVER_FIXTURE_BODY_LIMIT_BYTES, data);

      raw_peer_send (raw, chunk);
    }
  raw_peer_send (raw, "0\r\n\r\n");
  server_fixture_run_until_received (fixture, raw, "\r\n\r\n/long");
}

/* Guards against limits of a former configuration that hold as a later one leaves them out */
static void
test_limits_that_are_left_out (void)
{
  g_autoptr (server_fixture_t) fixture =
      server_fixture_new_with_timeouts (IDLE_MS, SERVER_FIXTURE_NO_TIMEOUT_MS);
  g_autofree char *body = post ("/long", SERVER_FIXTURE_BODY_LIMIT_BYTES);
  g_autofree char *filler = g_strnfill (SERVER_FIXTURE_HEADER_LIMIT_BYTES / 2, 'h');
  g_autofree char *head = g_strdup_printf ("GET /filled HTTP/1.1\r\nX-Fill: %s\r\n\r\n", filler);
  raw_peer_t *raw;

  fixture->reply_at_once = true;
  http_server_configure (fixture->http_server, 10, 100, HEAD_MS, LONGER_IDLE_MS);
  http_server_configure (fixture->http_server, 0, 0, 0, 0);
  CU_ASSERT_EQUAL (fixture->http_server->options.idle_timeout_ms, IDLE_MS);
  server_fixture_run_until_received (fixture, server_fixture_connect (fixture, body),
                                     "\r\n\r\n/long");
  server_fixture_run_until_received (fixture, server_fixture_connect (fixture, head),
                                     "\r\n\r\n/filled");
  raw = server_fixture_connect (fixture, "GET /slow HTTP/1.1\r\n");
  raw_peer_run_ms (fixture->base, 3 * HEAD_MS);
  raw_peer_send (raw, "\r\n");
  server_fixture_run_until_received (fixture, raw, "\r\n\r\n/slow");
}

/* A request whose head was read under the longer limits is read to its end */
static void
test_lowered_limits_in_request (void)
{
  g_autoptr (server_fixture_t) fixture = server_fixture_new ();
  g_autofree char *text = post ("/long", SERVER_FIXTURE_BODY_LIMIT_BYTES);
  raw_peer_t *raw = connect_kept (fixture);
  g_autofree char *first = g_strndup (text, 500);

  raw_peer_send (raw, first);
  raw_peer_run_ms (fixture->base, 10);
  http_server_configure (fixture->http_server, 10, 100, 1000, 1000);
  raw_peer_send (raw, text + 500);
  server_fixture_run_until_received (fixture, raw, "\r\n\r\n/long");
}

/* Callers use a connection for up to four fifths of the newest limit */
static void
test_raised_idle_limit (void)
{
  for (int is_used = 0; is_used < 2; is_used++)
    {
      g_autoptr (server_fixture_t) fixture =
          server_fixture_new_with_timeouts (IDLE_MS, SERVER_FIXTURE_NO_TIMEOUT_MS);
      raw_peer_t *raw = is_used ? connect_kept (fixture) : server_fixture_connect (fixture, "");

      fixture->reply_at_once = true;
      raw_peer_run_ms (fixture->base, IDLE_MS / 2);
      http_server_configure (fixture->http_server, 0, 0, 0, LONGER_IDLE_MS);
      raw_peer_run_ms (fixture->base, IDLE_MS * 2);
      CU_ASSERT_FALSE_FATAL (is_closed (raw));
      request (fixture, raw, "/late");
      CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, server_fixture_connection_closed, raw));
    }
}

/* Callers hear of a shorter limit later than the server, so the longer one holds meanwhile */
static void
test_lowered_idle_limit (void)
{
  for (int is_used_before = 0; is_used_before < 2; is_used_before++)
    {
      g_autoptr (server_fixture_t) fixture =
          server_fixture_new_with_timeouts (LONGER_IDLE_MS, SERVER_FIXTURE_NO_TIMEOUT_MS);
      raw_peer_t *raw = connect_kept (fixture);

      http_server_configure (fixture->http_server, 0, 0, 0, IDLE_MS);
      if (!is_used_before)
        request (fixture, raw, "/after");
      raw_peer_run_ms (fixture->base, IDLE_MS * 2);
      CU_ASSERT_FALSE_FATAL (is_closed (raw));
      request (fixture, raw, "/late");
    }
}

/* The limit is on the head: callers may take longer for a long body */
static void
test_slow_body (void)
{
  g_autoptr (server_fixture_t) fixture =
      server_fixture_new_with_timeouts (SERVER_FIXTURE_NO_TIMEOUT_MS, HEAD_MS);
  raw_peer_t *raw = server_fixture_connect (fixture, "POST /slow HTTP/1.1\r\n"
                                                     "Content-Length: 4\r\n\r\n");

  fixture->reply_at_once = true;
  for (int i = 0; i < 4; i++)
    {
      raw_peer_run_ms (fixture->base, HEAD_MS * 2 / 3);
      CU_ASSERT_FALSE_FATAL (is_closed (raw));
      raw_peer_send (raw, "b");
    }
  server_fixture_run_until_received (fixture, raw, "\r\n\r\n/slow");
}

/* A pause inside a request is not an idle connection */
static void
test_pause_in_body (void)
{
  g_autoptr (server_fixture_t) fixture =
      server_fixture_new_with_timeouts (IDLE_MS, SERVER_FIXTURE_NO_TIMEOUT_MS);
  raw_peer_t *raw = server_fixture_connect (fixture, "POST /slow HTTP/1.1\r\n"
                                                     "Content-Length: 2\r\n\r\nb");

  fixture->reply_at_once = true;
  raw_peer_run_ms (fixture->base, IDLE_MS * 3 / 2);
  CU_ASSERT_FALSE_FATAL (is_closed (raw));
  raw_peer_send (raw, "b");
  server_fixture_run_until_received (fixture, raw, "\r\n\r\n/slow");
}

/* A caller whose request came too late is told that it was not run */
static void
test_late_request_is_refused (void)
{
  static const char *const parts[] = { "GET /late HT", "POST /late HTTP/1.1\r\nX-Half" };

  for (guint i = 0; i < G_N_ELEMENTS (parts); i++)
    {
      g_autoptr (server_fixture_t) fixture =
          server_fixture_new_with_timeouts (SERVER_FIXTURE_NO_TIMEOUT_MS, HEAD_MS);
      raw_peer_t *raw = server_fixture_connect (fixture, parts[i]);

      CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, server_fixture_connection_closed, raw));
      CU_ASSERT_PTR_NOT_NULL (strstr (raw->received->str, "HTTP/1.1 408 "));
      CU_ASSERT_PTR_NOT_NULL (strstr (raw->received->str, "X-Medlarplank-Verdict: not_run\r\n"));
      CU_ASSERT_EQUAL (server_fixture_refused_count (fixture, "slow"), 1);
    }
}

static bool
are_herd_answered (void *context)
{
  return ((server_fixture_t *)context)->calls == 2 * HERD;
}

/* Keeps the event loop from running until its timers of that time are due */
static void
block_loop (uint32_t ms)
{
  int64_t due_us = g_get_monotonic_time () + (int64_t)ms * 1000;

  while (g_get_monotonic_time () <= due_us)
    g_thread_yield ();
}

/* The server did not run while the idle limit passed; the requests came before it did */
static void
test_whole_requests_unread (void)
{
  g_autoptr (server_fixture_t) fixture = server_fixture_new_taking_few ();
  raw_peer_t *herd[HERD];

  http_server_configure (fixture->http_server, 0, 0, 0, IDLE_MS * 3);
  for (int i = 0; i < HERD; i++)
    herd[i] = connect_kept (fixture);
  for (int i = 0; i < HERD; i++)
    raw_peer_send (herd[i], "GET /whole HTTP/1.1\r\n\r\n");
  block_loop (IDLE_MS * 6);
  CU_ASSERT_TRUE_FATAL (raw_peer_run_until (fixture->base, are_herd_answered, fixture));
  for (int i = 0; i < HERD; i++)
    server_fixture_run_until_received (fixture, herd[i], "\r\n\r\n/whole");
}

/* Longer than what is read at once, so that the time limit passes between two reads */
static void
test_rest_of_request_unread (void)
{
  g_autoptr (server_fixture_t) fixture =
      server_fixture_new_with_incomplete_limit (LONG_HEAD_LIMIT_BYTES);
  g_autofree char *filler = g_strnfill (60 * 1000, 'h');
  g_autofree char *rest = g_strdup_printf ("X-Fill: %s\r\n\r\n", filler);
  raw_peer_t *raw;

  http_server_configure (fixture->http_server, 0, LONG_HEAD_LIMIT_BYTES, HEAD_MS, 0);
  raw = server_fixture_connect (fixture, "GET /whole HTTP/1.1\r\n");
  fixture->reply_at_once = true;
  raw_peer_run_ms (fixture->base, HEAD_MS / 2);
  raw_peer_send (raw, rest);
  block_loop (HEAD_MS * 2);
  server_fixture_run_until_received (fixture, raw, "\r\n\r\n/whole");
}

/* The upstream is silent for longer than the idle limit, before and within a stream */
static void
test_answer_waits_longer_than_idle_limit (void)
{
  g_autoptr (server_fixture_t) fixture =
      server_fixture_new_with_timeouts (IDLE_MS, SERVER_FIXTURE_NO_TIMEOUT_MS);
  raw_peer_t *raw =
      server_fixture_connect_waiting (fixture, "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");

  raw_peer_run_ms (fixture->base, IDLE_MS * 3);
  http_server_begin_reply (server_fixture_call_at (fixture, 0), 200);
  server_fixture_send_part (server_fixture_call_at (fixture, 0), "one");
  raw_peer_run_ms (fixture->base, IDLE_MS / 2);
  http_server_configure (fixture->http_server, 0, 0, 0, IDLE_MS / 2);
  raw_peer_run_ms (fixture->base, IDLE_MS * 3);
  server_fixture_send_part (server_fixture_call_at (fixture, 0), "two");
  fixture->reply_at_once = true;
  http_server_end_reply (server_fixture_call_at (fixture, 0));
  server_fixture_run_until_received (fixture, raw, "two");
  server_fixture_run_until_received (fixture, raw, "\r\n\r\n/2");
  CU_ASSERT_EQUAL (fixture->disconnects, 0);
}

/* A caller whose link stands still for longer than the idle limit gets the rest of its answer */
static void
test_answer_read_slowly (void)
{
  g_autofree char *block = g_strnfill (64 * 1024, 'x');
  g_autoptr (server_fixture_t) fixture =
      server_fixture_new_with_timeouts (IDLE_MS, SERVER_FIXTURE_NO_TIMEOUT_MS);
  raw_peer_t *raw = server_fixture_connect_waiting (fixture, "GET /1 HTTP/1.1\r\n\r\n");

  event_del (raw->readable);
  http_server_begin_reply (server_fixture_call_at (fixture, 0), 200);
  for (int i = 0; i < 200; i++)
    server_fixture_send_part (server_fixture_call_at (fixture, 0), block);
  raw_peer_run_ms (fixture->base, IDLE_MS * 3);
  CU_ASSERT_EQUAL_FATAL (fixture->disconnects, 0);
  event_add (raw->readable, NULL);
  server_fixture_send_part (server_fixture_call_at (fixture, 0), "last");
  http_server_end_reply (server_fixture_call_at (fixture, 0));
  server_fixture_run_until_received (fixture, raw, "4\r\nlast\r\n0\r\n\r\n");
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "raised body limit", test_raised_body_limit },
    { "raised header limit", test_raised_header_limit },
    { "raised limits in request", test_raised_limits_in_request },
    { "limits that are left out", test_limits_that_are_left_out },
    { "lowered limits in request", test_lowered_limits_in_request },
    { "raised idle limit", test_raised_idle_limit },
    { "lowered idle limit", test_lowered_idle_limit },
    { "slow body", test_slow_body },
    { "pause in body", test_pause_in_body },
    { "late request is refused", test_late_request_is_refused },
    { "whole requests unread", test_whole_requests_unread },
    { "rest of request unread", test_rest_of_request_unread },
    { "answer waits longer than idle limit", test_answer_waits_longer_than_idle_limit },
    { "answer read slowly", test_answer_read_slowly },
    CU_TEST_INFO_NULL,
  };

  signal (SIGPIPE, SIG_IGN);
  return suite_run ("http_server_limits", tests);
}
