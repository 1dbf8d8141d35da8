#include "request/policy/queueing/accept_gate.h"
#include "request/policy/retries/verdict.h"
#include "server_fixture.h"
#include "suite.h"

#include <event2/keyvalq_struct.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>

/*
 * The client closes, resets or half-closes its connection while its request is pending, with or
 * without a pipelined request behind it. The call must be notified exactly once, so that the engine
 * does not go on working for nobody.
 */
static void
test_disconnect_while_pending (void)
{
  for (int kind = 0; kind < 6; kind++)
    {
      g_autoptr (server_fixture_t) fixture = server_fixture_new ();
      raw_peer_t *raw = server_fixture_connect_waiting (fixture, "GET /1 HTTP/1.1\r\n\r\n");

      if (kind >= 3)
        {
          raw_peer_send (raw, "GET /2 HTTP/1.1\r\n\r\n");
          raw_peer_run_ms (fixture->base, 5);
        }
      if (kind % 3 == 2)
        shutdown (raw->fd, SHUT_WR);
      else
        raw_peer_close (raw, kind % 3 == 1);
      CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, server_fixture_one_disconnected, fixture));
      CU_ASSERT_EQUAL (http_server_busy_count (fixture->http_server), 0);
      raw_peer_run_ms (fixture->base, 5);
      CU_ASSERT_EQUAL (fixture->disconnects, 1);
      CU_ASSERT_EQUAL (fixture->calls, 1);
      CU_ASSERT_EQUAL (server_fixture_counter_value (fixture, "medlarplank_http_connections"), 0);
    }
}

/* Guards against requests that are passed on for nobody: their client had closed before they were
 * read. */
static void
test_client_that_left_before_it_was_read (void)
{
  for (int kind = 0; kind < 6; kind++)
    {
      g_autoptr (server_fixture_t) fixture = server_fixture_new ();
      raw_peer_t *raw = server_fixture_connect (fixture, kind < 3 ? "" : "GET /1 HTTP/1.1\r\n\r\n");

      fixture->reply_at_once = true;
      if (kind >= 3)
        server_fixture_run_until_received (fixture, raw, "\r\n\r\n/1");
      fixture->calls = 0;
      raw_peer_send (raw, "GET /2 HTTP/1.1\r\n\r\n");
      if (kind % 3 == 2)
        shutdown (raw->fd, SHUT_WR);
      else
        raw_peer_close (raw, kind % 3 == 1);
      CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, server_fixture_is_idle, fixture));
      raw_peer_run_ms (fixture->base, 20);
      CU_ASSERT_EQUAL (fixture->calls, 0);
      CU_ASSERT_EQUAL (server_fixture_counter_value (fixture, "medlarplank_http_connections"), 0);
    }
}

/* Guards against a whole request that ends without a word, since its client has ended its own side
 * of the connection. */
static void
test_half_closed_client_is_refused (void)
{
  for (int kind = 0; kind < 3; kind++)
    {
      g_autoptr (server_fixture_t) fixture = server_fixture_new ();
      bool is_pending = kind == 2;
      raw_peer_t *raw =
          is_pending ? server_fixture_connect_waiting (fixture, "GET /1 HTTP/1.1\r\n\r\n")
                     : server_fixture_connect (fixture, kind == 0 ? "" : "GET /1 HTTP/1.1\r\n\r\n");

      fixture->reply_at_once = true;
      if (kind == 1)
        server_fixture_run_until_received (fixture, raw, "\r\n\r\n/1");
      if (!is_pending)
        raw_peer_send (raw, "GET /2 HTTP/1.1\r\n\r\n");
      shutdown (raw->fd, SHUT_WR);
      CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, server_fixture_connection_closed, raw));
      CU_ASSERT_PTR_NOT_NULL (
          strstr (raw->received->str, is_pending ? "HTTP/1.1 502 " : "HTTP/1.1 503 "));
      CU_ASSERT_PTR_NOT_NULL (strstr (raw->received->str, is_pending
                                                              ? VERDICT_HEADER ": may_have_run\r\n"
                                                              : VERDICT_HEADER ": not_run\r\n"));
      CU_ASSERT_PTR_NOT_NULL (strstr (raw->received->str, "closed_by_client"));
      CU_ASSERT_EQUAL (server_fixture_counter_value (fixture, "medlarplank_http_connections"), 0);
    }
}

/* Guards against a finished response that is dropped unsent, since its client ended its own side of
 * the connection just before. */
static void
test_half_closed_client_gets_the_finished_response (void)
{
  g_autoptr (server_fixture_t) fixture = server_fixture_new ();
  raw_peer_t *raw = server_fixture_connect_waiting (fixture, "GET /1 HTTP/1.1\r\n\r\n");

  shutdown (raw->fd, SHUT_WR);
  http_server_reply_text (server_fixture_call_at (fixture, 0), 200, "text/plain", "/1");
  CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, server_fixture_connection_closed, raw));
  CU_ASSERT_PTR_NOT_NULL (strstr (raw->received->str, "\r\n\r\n/1"));
  CU_ASSERT_EQUAL (server_fixture_counter_value (fixture, "medlarplank_http_connections"), 0);
}

/* Likewise of a response that has begun, of which nothing is sent yet. */
static void
test_half_closed_client_is_refused_at_the_beginning (void)
{
  for (int is_sent = 0; is_sent < 2; is_sent++)
    {
      g_autoptr (server_fixture_t) fixture = server_fixture_new ();
      raw_peer_t *raw = server_fixture_connect_waiting (fixture, "GET /1 HTTP/1.1\r\n\r\n");

      if (!is_sent)
        shutdown (raw->fd, SHUT_WR);
      http_server_begin_reply (server_fixture_call_at (fixture, 0), 200);
      CU_ASSERT_TRUE (server_fixture_send_part (server_fixture_call_at (fixture, 0), "part"));
      if (is_sent)
        {
          server_fixture_run_until_received (fixture, raw, "part");
          shutdown (raw->fd, SHUT_WR);
        }
      CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, server_fixture_connection_closed, raw));
      CU_ASSERT_TRUE (
          g_str_has_prefix (raw->received->str, is_sent ? "HTTP/1.1 200 " : "HTTP/1.1 502 "));
      if (is_sent)
        server_fixture_check_absent (raw, "closed_by_client");
      CU_ASSERT_EQUAL (fixture->disconnects, 1);
    }
}

/*
 * An engine fails in the middle of a streamed response. The client must be able to see that it is
 * truncated: by a missing last chunk, or with HTTP/1.0 by a reset, since an end of file would mean
 * a complete response.
 */
static void
test_abort (void)
{
  for (int minor = 0; minor < 2; minor++)
    {
      g_autoptr (server_fixture_t) fixture = server_fixture_new ();
      g_autofree char *request = g_strdup_printf ("GET /1 HTTP/1.%d\r\n\r\n", minor);

      raw_peer_t *raw = server_fixture_connect_waiting (fixture, request);
      http_server_begin_reply (server_fixture_call_at (fixture, 0), 200);
      server_fixture_send_part (server_fixture_call_at (fixture, 0), "part");
      server_fixture_run_until_received (fixture, raw, "part");
      http_server_abort (server_fixture_call_at (fixture, 0));
      CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, server_fixture_connection_closed, raw));
      server_fixture_check_absent (raw, "0\r\n\r\n");
      if (minor == 0)
        CU_ASSERT_TRUE (raw->reset);
      CU_ASSERT_EQUAL (fixture->disconnects, 0);
      CU_ASSERT_EQUAL (http_server_busy_count (fixture->http_server), 0);
    }
}

static bool
is_writable (void *context)
{
  return ((server_fixture_t *)context)->writable_count > 0;
}

/*
 * The client of a streamed response stops reading. The queue must stay bounded, and the stream must
 * continue when the client reads again.
 */
static void
test_back_pressure (void)
{
  g_autofree char *block = g_strnfill (64 * 1024, 'x');
  g_autoptr (server_fixture_t) fixture = server_fixture_new ();
  raw_peer_t *raw = server_fixture_connect_waiting (fixture, "GET /1 HTTP/1.1\r\n\r\n");

  event_del (raw->readable);
  http_server_begin_reply (server_fixture_call_at (fixture, 0), 200);
  do
    {
      while (server_fixture_send_part (server_fixture_call_at (fixture, 0), block))
        ;
      fixture->writable_count = 0;
      raw_peer_run_ms (fixture->base, 20);
    }
  while (fixture->writable_count > 0);
  CU_ASSERT_EQUAL (fixture->writable_count, 0);
  CU_ASSERT_FALSE (server_fixture_send_part (server_fixture_call_at (fixture, 0), block));
  event_add (raw->readable, NULL);
  CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, is_writable, fixture));
  CU_ASSERT_TRUE (server_fixture_send_part (server_fixture_call_at (fixture, 0), "last"));
  http_server_end_reply (server_fixture_call_at (fixture, 0));
  server_fixture_run_until_received (fixture, raw, "4\r\nlast\r\n0\r\n\r\n");
}

/*
 * During a long stream the client has no reason to send anything for longer than the idle timeout.
 * libevent also reads while it writes and would take this for an idle connection.
 */
static void
test_idle_timeout (void)
{
  g_autoptr (server_fixture_t) fixture =
      server_fixture_new_with_timeouts (40, SERVER_FIXTURE_NO_TIMEOUT_MS);
  raw_peer_t *idle = server_fixture_connect (fixture, "");

  raw_peer_t *raw = server_fixture_connect_waiting (fixture, "GET /1 HTTP/1.1\r\n\r\n");
  http_server_begin_reply (server_fixture_call_at (fixture, 0), 200);
  server_fixture_send_part (server_fixture_call_at (fixture, 0), "one");
  CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, server_fixture_connection_closed, idle));
  raw_peer_run_ms (fixture->base, 80);
  CU_ASSERT_FALSE (raw->eof);
  CU_ASSERT_EQUAL (fixture->disconnects, 0);
  server_fixture_send_part (server_fixture_call_at (fixture, 0), "two");
  http_server_end_reply (server_fixture_call_at (fixture, 0));
  server_fixture_run_until_received (fixture, raw, "0\r\n\r\n");
  CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, server_fixture_connection_closed, raw));
}

/* The client disconnects during a streamed response, which libevent notices itself while writing */
static void
test_disconnect_in_stream (void)
{
  for (int reset = 0; reset < 2; reset++)
    {
      g_autoptr (server_fixture_t) fixture = server_fixture_new ();
      raw_peer_t *raw = server_fixture_connect_waiting (fixture, "GET /1 HTTP/1.1\r\n\r\n");

      http_server_begin_reply (server_fixture_call_at (fixture, 0), 200);
      server_fixture_send_part (server_fixture_call_at (fixture, 0), "part");
      server_fixture_run_until_received (fixture, raw, "part");
      raw_peer_close (raw, reset);
      CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, server_fixture_one_disconnected, fixture));
      CU_ASSERT_EQUAL (http_server_busy_count (fixture->http_server), 0);
    }
}

/* The call is answered or aborted in the same iteration of the event loop in which the client
 * disconnects; the disconnect must not be reported then */
static void
test_disconnect_after_reply (void)
{
  for (int kind = 0; kind < 4; kind++)
    {
      g_autoptr (server_fixture_t) fixture = server_fixture_new ();
      raw_peer_t *raw = server_fixture_connect_waiting (fixture, "GET /1 HTTP/1.1\r\n\r\n");

      http_server_call_t *call = server_fixture_call_at (fixture, 0);
      raw_peer_close (raw, kind == 3);
      if (kind == 0)
        http_server_abort (call);
      else if (kind == 1)
        http_server_reply_text (call, 200, "text/plain", "late");
      else
        {
          http_server_begin_reply (call, 200);
          http_server_end_reply (call);
        }
      CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, server_fixture_is_idle, fixture));
      raw_peer_run_ms (fixture->base, 5);
      CU_ASSERT_EQUAL (fixture->disconnects, 0);
    }
}

/*
 * A planned stop with a pending request, an incomplete one, one that is on its way on a keep-alive
 * connection, and one on a connection in the kernel's queue. All must be answered, with
 * "Connection: close", and the connections that are idle must not delay the end of the stop.
 */
static void
test_stop (void)
{
  g_autoptr (server_fixture_t) fixture = server_fixture_new ();

  fixture->reply_at_once = true;
  raw_peer_t *keep_alive = server_fixture_connect (fixture, "GET /kept HTTP/1.1\r\n\r\n");
  server_fixture_run_until_received (fixture, keep_alive, "\r\n\r\n/kept");
  fixture->reply_at_once = false;
  raw_peer_t *incomplete = server_fixture_connect (fixture, "GET /half HT");
  raw_peer_t *pending = server_fixture_connect_waiting (fixture, "GET /waits HTTP/1.1\r\n\r\n");
  fixture->reply_at_once = true;
  raw_peer_t *queued = server_fixture_connect (fixture, "GET /queued HTTP/1.1\r\n\r\n");
  raw_peer_send (keep_alive, "GET /more HTTP/1.1\r\n\r\n");
  http_server_stop (fixture->http_server);
  server_fixture_run_until_received (fixture, keep_alive, "\r\n\r\n/more");
  server_fixture_run_until_received (fixture, queued,
                                     "503"); /* as the fourth connection, it is over the limit */
  raw_peer_run_ms (fixture->base, LIMIT_HTTP_STOP_LINGER_MS + 50);
  raw_peer_send (incomplete, "TP/1.1\r\n\r\n");
  server_fixture_run_until_received (fixture, incomplete, "\r\n\r\n/half");
  CU_ASSERT_PTR_NOT_NULL (strstr (incomplete->received->str, "Connection: close\r\n"));
  CU_ASSERT_EQUAL (http_server_busy_count (fixture->http_server), 1);
  http_server_reply_text (server_fixture_call_at (fixture, 0), 200, "text/plain", "/waits");
  server_fixture_run_until_received (fixture, pending, "\r\n\r\n/waits");
  CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, server_fixture_is_idle, fixture));
  CU_ASSERT_EQUAL (http_server_port (fixture->http_server), 0);
}

/*
 * The head of a streamed response was sent before the stop, without "Connection: close", and the
 * stream ends long after it. Its connection must not delay the end of the stop by the idle timeout.
 */
static void
test_stop_stream (void)
{
  g_autoptr (server_fixture_t) fixture = server_fixture_new ();
  raw_peer_t *raw = server_fixture_connect_waiting (fixture, "GET /1 HTTP/1.1\r\n\r\n");

  http_server_begin_reply (server_fixture_call_at (fixture, 0), 200);
  http_server_stop (fixture->http_server);
  raw_peer_run_ms (fixture->base, LIMIT_HTTP_STOP_LINGER_MS + 50);
  CU_ASSERT_EQUAL (http_server_busy_count (fixture->http_server), 1);
  server_fixture_send_part (server_fixture_call_at (fixture, 0), "whole");
  http_server_end_reply (server_fixture_call_at (fixture, 0));
  CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, server_fixture_is_idle, fixture));
  CU_ASSERT_PTR_NOT_NULL (strstr (raw->received->str, "0\r\n\r\n"));
}

static bool
has_one_timeout (void *context)
{
  return server_fixture_refused_count (context, "slow") == 1;
}

static void
send_one_byte (evutil_socket_t fd, short what, void *context)
{
  raw_peer_t *raw = context;

  (void)fd;
  (void)what;
  if (!raw->eof)
    (void)!send (raw->fd, "x", 1, MSG_NOSIGNAL);
}

/* A client that sends a byte now and then is never idle, so the idle timeout does not apply; the
 * limit on the time to receive a request must close its connection */
static void
test_slow_request (void)
{
  struct timeval pause = { 0, 10 * 1000 };
  g_autoptr (server_fixture_t) fixture =
      server_fixture_new_with_timeouts (SERVER_FIXTURE_NO_TIMEOUT_MS, 50);
  struct event *send_timer;

  raw_peer_t *raw = server_fixture_connect (fixture, "GET /");
  send_timer = event_new (fixture->base, -1, EV_PERSIST, send_one_byte, raw);
  event_add (send_timer, &pause);
  CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, has_one_timeout, fixture));
  CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, server_fixture_connection_closed, raw));
  event_free (send_timer);
}

static bool
has_ended (void *context)
{
  return ((server_fixture_t *)context)->ends == 1;
}

static void
check_ended (server_fixture_t *fixture,
             bool by_us,
             http_server_end_reason_t reason,
             http_server_on_hand_t on_hand)
{
  CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, has_ended, fixture));
  CU_ASSERT_EQUAL (fixture->ended.by_us, by_us);
  CU_ASSERT_EQUAL (fixture->ended.reason, reason);
  CU_ASSERT_EQUAL (fixture->ended.on_hand, on_hand);
  fixture->ends = 0;
}

/* Who ended a connection, why, and what was on hand; nothing for the usual ends */
static void
test_ends_are_told (void)
{
  g_autoptr (server_fixture_t) fixture = server_fixture_new_with_timeouts (150, 60);
  raw_peer_t *raw = server_fixture_connect (fixture, "GET /part HT");

  check_ended (fixture, true, HTTP_SERVER_END_REQUEST_TIMEOUT, HTTP_SERVER_HAND_PART_OF_REQUEST);
  raw = server_fixture_connect (fixture, "GET /part HT");
  raw_peer_run_ms (fixture->base, 5);
  raw_peer_close (raw, false);
  check_ended (fixture, false, HTTP_SERVER_END_CLOSED, HTTP_SERVER_HAND_PART_OF_REQUEST);
  raw = server_fixture_connect_waiting (fixture, "GET /1 HTTP/1.1\r\n\r\n");
  raw_peer_close (raw, true);
  check_ended (fixture, false, HTTP_SERVER_END_CLOSED, HTTP_SERVER_HAND_REQUEST);
  raw = server_fixture_connect (fixture, "GET /2 HTTP/1.1\r\n\r\n");
  CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, server_fixture_two_waiting, fixture));
  http_server_begin_reply (server_fixture_call_at (fixture, 1), 200);
  http_server_abort (server_fixture_call_at (fixture, 1));
  check_ended (fixture, true, HTTP_SERVER_END_ANSWER_CUT, HTTP_SERVER_HAND_ANSWER);
  server_fixture_connect (fixture, "");
  check_ended (fixture, true, HTTP_SERVER_END_IDLE_TIMEOUT, HTTP_SERVER_HAND_NONE);
  fixture->reply_at_once = true;
  raw = server_fixture_connect (fixture, "GET /3 HTTP/1.1\r\nConnection: close\r\n\r\n");
  CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, server_fixture_connection_closed, raw));
  raw = server_fixture_connect (fixture, "GET /4 HTTP/1.1\r\n\r\n");
  server_fixture_run_until_received (fixture, raw, "\r\n\r\n/4");
  raw_peer_close (raw, false);
  raw_peer_run_ms (fixture->base, 20);
  CU_ASSERT_EQUAL (fixture->ends, 0);
}

/* Idle connections do not delay a stop */
static void
test_stop_idle (void)
{
  g_autoptr (server_fixture_t) fixture = server_fixture_new ();

  fixture->reply_at_once = true;
  raw_peer_t *idle = server_fixture_connect (fixture, "");
  raw_peer_t *used = server_fixture_connect (fixture, "GET /used HTTP/1.1\r\n\r\n");
  server_fixture_run_until_received (fixture, used, "\r\n\r\n/used");
  http_server_stop (fixture->http_server);
  CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, server_fixture_connection_closed, idle));
  CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, server_fixture_connection_closed, used));
  CU_ASSERT_EQUAL (http_server_busy_count (fixture->http_server), 0);
}

/* The server is freed with connections in every state, including one that evhttp has just accepted
 */
static void
test_free_while_busy (void)
{
  g_autoptr (server_fixture_t) fixture = server_fixture_new ();

  server_fixture_connect (fixture, "");
  server_fixture_connect_waiting (fixture, "GET /1 HTTP/1.1\r\n\r\n");
  server_fixture_connect (fixture, "");
  event_base_loop (fixture->base, EVLOOP_ONCE);
  http_server_free (fixture->http_server);
  fixture->http_server = NULL;
  CU_ASSERT_EQUAL (fixture->disconnects, 1);
}

#define HERD (3 * ACCEPT_GATE_BATCH)

#define BUSY_ITERATIONS 50

/** struct busy - keeps the event loop busy: the event is due in each iteration */
typedef struct
{
  struct event_base *base;
  struct event *event;
  uint32_t iterations;
} busy_t;

static void
on_busy (evutil_socket_t fd, short what, void *context)
{
  struct timeval at_once = { 0, 0 };
  busy_t *busy = context;

  (void)fd;
  (void)what;
  event_add (busy->event, &at_once);
  if (++busy->iterations == BUSY_ITERATIONS)
    event_base_loopbreak (busy->base);
}

static void
run_busy (server_fixture_t *fixture)
{
  busy_t busy = { .base = fixture->base };

  busy.event = event_new (fixture->base, -1, 0, on_busy, &busy);
  on_busy (-1, 0, &busy);
  event_base_dispatch (fixture->base);
  event_free (busy.event);
}

static bool
are_all_answered (void *context)
{
  return ((server_fixture_t *)context)->calls == HERD;
}

static void
connect_herd (server_fixture_t *fixture, raw_peer_t **clients)
{
  for (uint32_t i = 0; i < HERD; i++)
    clients[i] = server_fixture_connect (fixture, "GET /herd HTTP/1.1\r\n\r\n");
}

static void
test_takes_all_in_time (void)
{
  g_autoptr (server_fixture_t) fixture = server_fixture_new_taking_few ();
  raw_peer_t *clients[HERD];

  fixture->reply_at_once = true;
  connect_herd (fixture, clients);
  CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, are_all_answered, fixture));
}

/* Return: whether the connections that wait were refused when they had waited for long enough, and
 * not before. */
static bool
sheds_in_time (http_server_t *http_server)
{
  uint64_t now_us = 1;

  for (; now_us < 1 + ACCEPT_GATE_WAIT_US; now_us += ACCEPT_GATE_WAIT_US / 10)
    if (http_server_shed (http_server, now_us))
      return false;
  return http_server_shed (http_server, now_us);
}

/* Guards against a server that reads requests while it can't serve those it has read. */
static void
test_sheds_unread (void)
{
  g_autoptr (server_fixture_t) fixture = server_fixture_new_taking_few ();
  raw_peer_t *clients[HERD];
  raw_peer_t *later;

  fixture->reply_at_once = true;
  connect_herd (fixture, clients);
  run_busy (fixture);
  CU_ASSERT_EQUAL (fixture->calls, ACCEPT_GATE_BATCH);
  CU_ASSERT (sheds_in_time (fixture->http_server));
  CU_ASSERT_TRUE (
      raw_peer_run_until (fixture->base, server_fixture_connection_closed, clients[HERD - 1]));
  CU_ASSERT_TRUE (clients[HERD - 1]->reset);
  CU_ASSERT_EQUAL (fixture->calls, ACCEPT_GATE_BATCH);
  later = server_fixture_connect (fixture, "GET /later HTTP/1.1\r\n\r\n");
  server_fixture_run_until_received (fixture, later, "/later");
}

/* Guards against whole requests that are reset because the loop was held up while they came. */
static void
test_takes_what_came_in_a_hold_up (void)
{
  g_autoptr (server_fixture_t) fixture = server_fixture_new_taking_few ();
  raw_peer_t *clients[HERD];
  uint64_t now_us = 1;

  fixture->reply_at_once = true;
  connect_herd (fixture, clients);
  run_busy (fixture);
  for (uint32_t i = 0; i < 3; i++, now_us += 4 * ACCEPT_GATE_WAIT_US)
    CU_ASSERT (!http_server_shed (fixture->http_server, now_us));
  for (uint32_t i = 0; i < 30; i++, now_us += ACCEPT_GATE_WAIT_US / 10)
    {
      if (i % 5 == 0)
        http_server_note_held_up (fixture->http_server);
      CU_ASSERT (!http_server_shed (fixture->http_server, now_us));
    }
  CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, are_all_answered, fixture));
}

/* Guards against connections that are reset by a stop, as they wait behind others. */
static void
test_stop_takes_what_waits (void)
{
  g_autoptr (server_fixture_t) fixture = server_fixture_new_taking_few ();
  raw_peer_t *clients[HERD];

  fixture->reply_at_once = true;
  connect_herd (fixture, clients);
  run_busy (fixture);
  http_server_stop (fixture->http_server);
  CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, are_all_answered, fixture));
}

/* Guards against a server that reads requests only to say that it has too many connections. */
static void
test_takes_none_over_the_limit (void)
{
  g_autoptr (server_fixture_t) fixture = server_fixture_new_taking_few ();
  raw_peer_t *last = NULL;

  for (uint32_t i = 0; i <= SERVER_FIXTURE_HERD_LIMIT; i++)
    last = server_fixture_connect (fixture, "GET /herd HTTP/1.1\r\n\r\n");
  while (fixture->calls < SERVER_FIXTURE_HERD_LIMIT)
    raw_peer_run_ms (fixture->base, 1);
  CU_ASSERT (sheds_in_time (fixture->http_server));
  CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, server_fixture_connection_closed, last));
  CU_ASSERT_TRUE (last->reset);
  CU_ASSERT_EQUAL (server_fixture_refused_count (fixture, "connections"), 0);
  raw_peer_close (g_ptr_array_index (fixture->clients, 0), false);
  fixture->reply_at_once = true;
  last = server_fixture_connect (fixture, "GET /later HTTP/1.1\r\n\r\n");
  server_fixture_run_until_received (fixture, last, "/later");
}

static void
test_is_held_by_its_owner (void)
{
  g_autoptr (server_fixture_t) fixture = server_fixture_new_taking_few ();
  raw_peer_t *client;

  http_server_pause_accepting (fixture->http_server);
  client = server_fixture_connect (fixture, "GET /held HTTP/1.1\r\n\r\n");
  for (uint64_t i = 1; i < 5; i++)
    CU_ASSERT (!http_server_shed (fixture->http_server, i * ACCEPT_GATE_WAIT_US));
  raw_peer_run_ms (fixture->base, 20);
  CU_ASSERT_EQUAL (fixture->calls, 0);
  http_server_resume_accepting (fixture->http_server);
  fixture->reply_at_once = true;
  server_fixture_run_until_received (fixture, client, "/held");
}

static void
test_address_taken (void)
{
  g_autoptr (server_fixture_t) fixture = server_fixture_new ();
  http_server_options_t options = { 0 };
  GError *error = NULL;

  options.base = fixture->base;
  options.counters = fixture->counters;
  options.listen = fixture->address;
  CU_ASSERT_PTR_NULL (http_server_new (&options, &error));
  CU_ASSERT_PTR_NOT_NULL (strstr (error->message, "Address already in use"));
  g_clear_error (&error);
  g_strlcpy (options.listen.ip, "localhost", sizeof options.listen.ip);
  CU_ASSERT_PTR_NULL (http_server_new (&options, &error));
  CU_ASSERT_PTR_NOT_NULL (error);
  g_clear_error (&error);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "disconnect while pending", test_disconnect_while_pending },
    { "client that left before it was read", test_client_that_left_before_it_was_read },
    { "half-closed client is refused", test_half_closed_client_is_refused },
    { "half-closed client gets the finished response",
      test_half_closed_client_gets_the_finished_response },
    { "half-closed client is refused at the beginning",
      test_half_closed_client_is_refused_at_the_beginning },
    { "abort", test_abort },
    { "back pressure", test_back_pressure },
    { "idle timeout", test_idle_timeout },
    { "disconnect in stream", test_disconnect_in_stream },
    { "disconnect after reply", test_disconnect_after_reply },
    { "stop", test_stop },
    { "stop stream", test_stop_stream },
    { "slow request", test_slow_request },
    { "ends are told", test_ends_are_told },
    { "stop idle", test_stop_idle },
    { "free while busy", test_free_while_busy },
    { "takes all in time", test_takes_all_in_time },
    { "sheds unread", test_sheds_unread },
    { "takes what came in a hold-up", test_takes_what_came_in_a_hold_up },
    { "stop takes what waits", test_stop_takes_what_waits },
    { "takes none over the limit", test_takes_none_over_the_limit },
    { "is held by its owner", test_is_held_by_its_owner },
    { "address taken", test_address_taken },
    CU_TEST_INFO_NULL,
  };

  signal (SIGPIPE, SIG_IGN);
  return suite_run ("http_server_end", tests);
}
