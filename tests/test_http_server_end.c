#include "http_bench.h"
#include "suite.h"

#include <event2/keyvalq_struct.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>

/*
 * The caller closes, resets or half-closes its connection while its request waits, be it with a
 * pipelined one behind it. The engine's work is then for nobody: the call must hear of it, once.
 */
static void
test_gone_while_waiting (void)
{
  for (int kind = 0; kind < 6; kind++)
    {
      g_autoptr (hbn_t) bench = hbn_new ();
      raw_t *raw = hbn_ask_waiting (bench, "GET /1 HTTP/1.1\r\n\r\n");

      if (kind >= 3)
        {
          raw_send (raw, "GET /2 HTTP/1.1\r\n\r\n");
          raw_run_ms (bench->base, 5);
        }
      if (kind % 3 == 2)
        shutdown (raw->fd, SHUT_WR);
      else
        raw_close (raw, kind % 3 == 1);
      CU_ASSERT_TRUE (raw_run_until (bench->base, hbn_one_gone, bench));
      CU_ASSERT_EQUAL (hsv_busy (bench->hsv), 0);
      raw_run_ms (bench->base, 5);
      CU_ASSERT_EQUAL (bench->gone, 1);
      CU_ASSERT_EQUAL (bench->calls, 1);
      CU_ASSERT_EQUAL (hbn_counted (bench, "medlarplank_http_connections"), 0);
    }
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
      g_autoptr (hbn_t) bench = hbn_new ();
      g_autofree char *request = g_strdup_printf ("GET /1 HTTP/1.%d\r\n\r\n", minor);

      raw_t *raw = hbn_ask_waiting (bench, request);
      hsv_begin (hbn_call_at (bench, 0), 200);
      hbn_part (hbn_call_at (bench, 0), "part");
      hbn_run_until_sees (bench, raw, "part");
      hsv_abort (hbn_call_at (bench, 0));
      CU_ASSERT_TRUE (raw_run_until (bench->base, hbn_ended, raw));
      hbn_check_absent (raw, "0\r\n\r\n");
      if (minor == 0)
        CU_ASSERT_TRUE (raw->reset);
      CU_ASSERT_EQUAL (bench->gone, 0);
      CU_ASSERT_EQUAL (hsv_busy (bench->hsv), 0);
    }
}

static bool
has_room (void *context)
{
  return ((hbn_t *)context)->rooms > 0;
}

/*
 * The caller of a stream stops reading. What is queued for it must stay bounded, and the stream go
 * on when it reads again.
 */
static void
test_back_pressure (void)
{
  g_autofree char *block = g_strnfill (64 * 1024, 'x');
  g_autoptr (hbn_t) bench = hbn_new ();
  raw_t *raw = hbn_ask_waiting (bench, "GET /1 HTTP/1.1\r\n\r\n");

  event_del (raw->readable);
  hsv_begin (hbn_call_at (bench, 0), 200);
  do
    {
      while (hbn_part (hbn_call_at (bench, 0), block))
        ;
      bench->rooms = 0;
      raw_run_ms (bench->base, 20);
    }
  while (bench->rooms > 0);
  CU_ASSERT_EQUAL (bench->rooms, 0);
  CU_ASSERT_FALSE (hbn_part (hbn_call_at (bench, 0), block));
  event_add (raw->readable, NULL);
  CU_ASSERT_TRUE (raw_run_until (bench->base, has_room, bench));
  CU_ASSERT_TRUE (hbn_part (hbn_call_at (bench, 0), "last"));
  hsv_end (hbn_call_at (bench, 0));
  hbn_run_until_sees (bench, raw, "4\r\nlast\r\n0\r\n\r\n");
}

/*
 * A long stream: the caller rightly sends nothing for longer than the idle timeout. The library
 * reads while it writes and would take the silence for an idle connection.
 */
static void
test_idle_timeout (void)
{
  g_autoptr (hbn_t) bench = hbn_new_timeouts (40, HBN_NO_TIMEOUT_MS);
  raw_t *idle = hbn_ask (bench, "");

  raw_t *raw = hbn_ask_waiting (bench, "GET /1 HTTP/1.1\r\n\r\n");
  hsv_begin (hbn_call_at (bench, 0), 200);
  hbn_part (hbn_call_at (bench, 0), "one");
  CU_ASSERT_TRUE (raw_run_until (bench->base, hbn_ended, idle));
  raw_run_ms (bench->base, 80);
  CU_ASSERT_FALSE (raw->eof);
  CU_ASSERT_EQUAL (bench->gone, 0);
  hbn_part (hbn_call_at (bench, 0), "two");
  hsv_end (hbn_call_at (bench, 0));
  hbn_run_until_sees (bench, raw, "0\r\n\r\n");
  CU_ASSERT_TRUE (raw_run_until (bench->base, hbn_ended, raw));
}

/* gone in the middle of a stream, seen by the library itself while it writes */
static void
test_gone_in_stream (void)
{
  for (int reset = 0; reset < 2; reset++)
    {
      g_autoptr (hbn_t) bench = hbn_new ();
      raw_t *raw = hbn_ask_waiting (bench, "GET /1 HTTP/1.1\r\n\r\n");

      hsv_begin (hbn_call_at (bench, 0), 200);
      hbn_part (hbn_call_at (bench, 0), "part");
      hbn_run_until_sees (bench, raw, "part");
      raw_close (raw, reset);
      CU_ASSERT_TRUE (raw_run_until (bench->base, hbn_one_gone, bench));
      CU_ASSERT_EQUAL (hsv_busy (bench->hsv), 0);
    }
}

/* answered, or aborted, and closed by the caller in the same turn of the loop */
static void
test_gone_after_answer (void)
{
  for (int kind = 0; kind < 4; kind++)
    {
      g_autoptr (hbn_t) bench = hbn_new ();
      raw_t *raw = hbn_ask_waiting (bench, "GET /1 HTTP/1.1\r\n\r\n");

      hsv_call_t *call = hbn_call_at (bench, 0);
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
      CU_ASSERT_TRUE (raw_run_until (bench->base, hbn_not_busy, bench));
      raw_run_ms (bench->base, 5);
      CU_ASSERT_EQUAL (bench->gone, 0);
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
  g_autoptr (hbn_t) bench = hbn_new ();

  bench->now = true;
  raw_t *kept = hbn_ask (bench, "GET /kept HTTP/1.1\r\n\r\n");
  hbn_run_until_sees (bench, kept, "\r\n\r\n/kept");
  bench->now = false;
  raw_t *half = hbn_ask (bench, "GET /half HT");
  raw_t *waits = hbn_ask_waiting (bench, "GET /waits HTTP/1.1\r\n\r\n");
  bench->now = true;
  raw_t *queued = hbn_ask (bench, "GET /queued HTTP/1.1\r\n\r\n");
  raw_send (kept, "GET /more HTTP/1.1\r\n\r\n");
  hsv_stop (bench->hsv);
  hbn_run_until_sees (bench, kept, "\r\n\r\n/more");
  hbn_run_until_sees (bench, queued, "503"); /* the fourth connection */
  raw_run_ms (bench->base, LIM_HTTP_STOP_LINGER_MS + 50);
  raw_send (half, "TP/1.1\r\n\r\n");
  hbn_run_until_sees (bench, half, "\r\n\r\n/half");
  CU_ASSERT_PTR_NOT_NULL (strstr (half->got->str, "Connection: close\r\n"));
  CU_ASSERT_EQUAL (hsv_busy (bench->hsv), 1);
  hsv_reply_text (hbn_call_at (bench, 0), 200, "text/plain", "/waits");
  hbn_run_until_sees (bench, waits, "\r\n\r\n/waits");
  CU_ASSERT_TRUE (raw_run_until (bench->base, hbn_not_busy, bench));
  CU_ASSERT_EQUAL (hsv_port (bench->hsv), 0);
}

/*
 * A stream whose head left before the stop, so that it could not say that the connection closes,
 * ends long after. Its connection must not hold up the stop for the idle timeout.
 */
static void
test_stop_stream (void)
{
  g_autoptr (hbn_t) bench = hbn_new ();
  raw_t *raw = hbn_ask_waiting (bench, "GET /1 HTTP/1.1\r\n\r\n");

  hsv_begin (hbn_call_at (bench, 0), 200);
  hsv_stop (bench->hsv);
  raw_run_ms (bench->base, LIM_HTTP_STOP_LINGER_MS + 50);
  CU_ASSERT_EQUAL (hsv_busy (bench->hsv), 1);
  hbn_part (hbn_call_at (bench, 0), "whole");
  hsv_end (hbn_call_at (bench, 0));
  CU_ASSERT_TRUE (raw_run_until (bench->base, hbn_not_busy, bench));
  CU_ASSERT_PTR_NOT_NULL (strstr (raw->got->str, "0\r\n\r\n"));
}

static bool
one_slow (void *context)
{
  return hbn_refused (context, "slow") == 1;
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
  g_autoptr (hbn_t) bench = hbn_new_timeouts (HBN_NO_TIMEOUT_MS, 50);
  struct event *dripping;

  raw_t *raw = hbn_ask (bench, "GET /");
  dripping = event_new (bench->base, -1, EV_PERSIST, drip, raw);
  event_add (dripping, &pause);
  CU_ASSERT_TRUE (raw_run_until (bench->base, one_slow, bench));
  CU_ASSERT_TRUE (raw_run_until (bench->base, hbn_ended, raw));
  event_free (dripping);
}

/* idle connections do not hold up a stop */
static void
test_stop_idle (void)
{
  g_autoptr (hbn_t) bench = hbn_new ();

  bench->now = true;
  raw_t *idle = hbn_ask (bench, "");
  raw_t *used = hbn_ask (bench, "GET /used HTTP/1.1\r\n\r\n");
  hbn_run_until_sees (bench, used, "\r\n\r\n/used");
  hsv_stop (bench->hsv);
  CU_ASSERT_TRUE (raw_run_until (bench->base, hbn_ended, idle));
  CU_ASSERT_TRUE (raw_run_until (bench->base, hbn_ended, used));
  CU_ASSERT_EQUAL (hsv_busy (bench->hsv), 0);
}

/* freed with connections in every state, even one that evhttp has just taken */
static void
test_free_at_work (void)
{
  g_autoptr (hbn_t) bench = hbn_new ();

  hbn_ask (bench, "");
  hbn_ask_waiting (bench, "GET /1 HTTP/1.1\r\n\r\n");
  hbn_ask (bench, "");
  event_base_loop (bench->base, EVLOOP_ONCE);
  hsv_free (bench->hsv);
  bench->hsv = NULL;
  CU_ASSERT_EQUAL (bench->gone, 1);
}

static void
test_address_taken (void)
{
  g_autoptr (hbn_t) bench = hbn_new ();
  hsv_options_t options = { 0 };
  GError *error = NULL;

  options.base = bench->base;
  options.counters = bench->counters;
  options.listen = bench->address;
  CU_ASSERT_PTR_NULL (hsv_new (&options, &error));
  CU_ASSERT_PTR_NOT_NULL (strstr (error->message, "Address already in use"));
  g_clear_error (&error);
  g_strlcpy (options.listen.ip, "localhost", sizeof options.listen.ip);
  CU_ASSERT_PTR_NULL (hsv_new (&options, &error));
  CU_ASSERT_PTR_NOT_NULL (error);
  g_clear_error (&error);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "gone while waiting", test_gone_while_waiting },
    { "abort", test_abort },
    { "back pressure", test_back_pressure },
    { "idle timeout", test_idle_timeout },
    { "gone in stream", test_gone_in_stream },
    { "gone after answer", test_gone_after_answer },
    { "stop", test_stop },
    { "stop stream", test_stop_stream },
    { "slow request", test_slow_request },
    { "stop idle", test_stop_idle },
    { "free at work", test_free_at_work },
    { "address taken", test_address_taken },
    CU_TEST_INFO_NULL,
  };

  signal (SIGPIPE, SIG_IGN);
  return suite_run ("http_server_end", tests);
}
