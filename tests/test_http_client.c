#include "connection/http_client.h"
#include "raw_peer.h"
#include "suite.h"

#include <event2/http.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>

#define SECOND_US (1000 * 1000)
#define IDLE_TIMEOUT_MS (10 * 1000)
#define OK_ANSWER "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

static const char *const OK_ONLY[] = { OK_ANSWER };
static const char *const SILENT[] = { NULL };

/* Results of a call, and what its callbacks are to do */
typedef struct
{
  http_client_call_t *call;
  GString *body;
  http_client_result_t end;
  int head_status;
  uint32_t ends;
  bool refuse_head;
  bool cancel_in_head;
  bool cancel_in_data;
  bool pause_in_data;
} call_state_t;

typedef struct
{
  struct event_base *base;
  http_client_t *http_client;
  raw_server_t *server;
  http_client_options_t options;
  call_state_t state;
} fixture_t;

static bool
on_head (int status, struct evkeyvalq *headers, void *context)
{
  call_state_t *state = context;

  (void)headers;
  state->head_status = status;
  if (state->cancel_in_head)
    http_client_cancel_call (state->call);
  return !state->refuse_head;
}

static void
on_data (struct evbuffer *data, void *context)
{
  call_state_t *state = context;
  size_t bytes = evbuffer_get_length (data);

  g_string_append_len (state->body, (char *)evbuffer_pullup (data, -1), (gssize)bytes);
  evbuffer_drain (data, bytes);
  if (state->cancel_in_data)
    http_client_cancel_call (state->call);
  else if (state->pause_in_data)
    http_client_set_paused (state->call, true);
}

static void
on_end (const http_client_result_t *end, void *context)
{
  call_state_t *state = context;

  state->end = *end;
  state->ends++;
}

static bool
has_ended (void *context)
{
  return ((call_state_t *)context)->ends > 0;
}

static bool
has_head (void *context)
{
  return ((call_state_t *)context)->head_status == 200;
}

static bool
has_body (void *context)
{
  return ((call_state_t *)context)->body->len > 0;
}

/* Returns a client and a server that sends the responses @scripts */
static fixture_t *
fixture_new (const char *const *scripts, uint32_t script_count)
{
  fixture_t *fixture = g_new0 (fixture_t, 1);

  fixture->base = event_base_new ();
  fixture->http_client = http_client_new (fixture->base, 2, IDLE_TIMEOUT_MS);
  fixture->state.body = g_string_new (NULL);
  fixture->server = raw_server_new (fixture->base, scripts, script_count);
  fixture->options = (http_client_options_t){ .address = &fixture->server->address,
                                              .method = "GET",
                                              .target = "/x",
                                              .timeout_us = 3 * SECOND_US,
                                              .answer_limit_bytes = 1024 * 1024,
                                              .on_head = on_head,
                                              .on_data = on_data,
                                              .on_end = on_end,
                                              .context = &fixture->state };
  return fixture;
}

static void
fixture_free (fixture_t *fixture)
{
  g_clear_pointer (&fixture->http_client, http_client_free);
  raw_server_free (fixture->server);
  g_string_free (fixture->state.body, TRUE);
  event_base_free (fixture->base);
  g_free (fixture);
}

G_DEFINE_AUTOPTR_CLEANUP_FUNC (fixture_t, fixture_free)

static void
reset_state (call_state_t *state)
{
  GString *body = g_string_truncate (state->body, 0);

  memset (state, 0, sizeof *state);
  state->body = body;
}

/* Starts a call and runs the event loop until it has ended */
static void
run_call (fixture_t *fixture)
{
  reset_state (&fixture->state);
  fixture->state.call = http_client_start_call (fixture->http_client, &fixture->options);
  CU_ASSERT_EQUAL (fixture->state.ends, 0);
  CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, has_ended, &fixture->state));
  CU_ASSERT_EQUAL (fixture->state.ends, 1);
}

static void
check_failed (const call_state_t *state, verdict_t verdict, verdict_reason_t reason)
{
  CU_ASSERT_FALSE (state->end.complete);
  CU_ASSERT_EQUAL (state->end.verdict, verdict);
  CU_ASSERT_EQUAL (state->end.reason, reason);
}

static void
run_failing_call (fixture_t *fixture, verdict_t verdict, verdict_reason_t reason)
{
  run_call (fixture);
  check_failed (&fixture->state, verdict, reason);
}

static void
run_successful_call (fixture_t *fixture, int status, const char *body)
{
  run_call (fixture);
  CU_ASSERT_TRUE (fixture->state.end.complete);
  CU_ASSERT_EQUAL (fixture->state.end.status, status);
  CU_ASSERT_STRING_EQUAL (fixture->state.body->str, body);
}

static void
test_complete_responses (void)
{
  static const char *const scripts[] = {
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nsec\r\n3\r\nond\r\n0\r\n\r\n",
    "HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\nHTTP/1.1 201 Created\r\nContent-Length: "
    "5\r\n\r\nthird",
    "HTTP/1.1 204 No Content\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbusy",
  };
  g_autoptr (fixture_t) fixture = fixture_new (scripts, G_N_ELEMENTS (scripts));

  run_successful_call (fixture, 200, "first");
  run_successful_call (fixture, 200, "second");
  run_successful_call (fixture, 201, "third");
  run_successful_call (fixture, 204, "");
  run_successful_call (fixture, 200, "");
  run_successful_call (fixture, 503, "busy");
  CU_ASSERT_EQUAL (fixture->server->accepted, 1);
}

/*
 * The peer closes in the middle of the response, or declares its length not at all, twice or
 * contradictorily. libevent accepts some of these as complete. The caller must learn that the
 * response is truncated and that the request may have run; the connection must not be reused.
 */
static void
test_truncated_responses (void)
{
  static const char *const scripts[] = {
    "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\npart",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\npart\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\n\r\nundeclared",
    "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nundeclared",
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 2\r\n\r\ntwin",
    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nabc",
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length : 2\r\n\r\ntwin",
    "HTTP/1.1 200 OK\r\nContent-Length: +4\r\n\r\nplus",
    "HTTP/1.1 200 OK\r\nContent-",
    "HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n",
    "nonsense\r\n\r\n",
    "",
  };
  g_autoptr (fixture_t) fixture = fixture_new (scripts, G_N_ELEMENTS (scripts));

  fixture->server->close_after = true;
  for (uint32_t i = 0; i < G_N_ELEMENTS (scripts); i++)
    {
      run_failing_call (fixture, VERDICT_MAY_HAVE_RUN, VERDICT_REASON_CUT);
      CU_ASSERT_EQUAL (fixture->server->accepted, i + 1);
    }
}

/*
 * The connection delivers a late response to another client's request first, recognizable by a
 * different attempt id. No byte of it may be passed on, and the connection must not be reused.
 */
static void
test_response_to_another_request (void)
{
  static const char *const scripts[] = {
    "HTTP/1.1 200 OK\r\nX-Attempt: b\r\nContent-Length: 5\r\n\r\nother",
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother",
    "HTTP/1.1 200 OK\r\nX-Attempt: a\r\nContent-Length: 4\r\n\r\nours",
  };
  g_autoptr (fixture_t) fixture = fixture_new (scripts, G_N_ELEMENTS (scripts));

  fixture->options.check_name = "X-Attempt";
  fixture->options.check_value = "a";
  for (uint32_t i = 0; i < 2; i++)
    {
      run_failing_call (fixture, VERDICT_MAY_HAVE_RUN, VERDICT_REASON_CROSSED);
      CU_ASSERT_EQUAL (fixture->state.head_status, 0);
      CU_ASSERT_EQUAL (fixture->state.body->len, 0);
    }
  run_successful_call (fixture, 200, "ours");
  CU_ASSERT_EQUAL (fixture->server->accepted, 3);
}

/*
 * The peer sends more bytes than its response declares, or sends bytes while the connection is
 * idle. If the connection were reused, they would be taken for the response to the next request,
 * which may be of another client account.
 */
static void
test_stray_bytes (void)
{
  static const char *const scripts[] = {
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: "
    "5\r\n\r\nstray",
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nours",
  };
  g_autoptr (fixture_t) fixture = fixture_new (scripts, G_N_ELEMENTS (scripts));

  run_successful_call (fixture, 200, "ok");
  run_successful_call (fixture, 200, "ours");
  CU_ASSERT_EQUAL (fixture->server->accepted, 2);
  raw_peer_send (fixture->server->connections->pdata[1], scripts[0]);
  run_successful_call (fixture, 200, "ours");
  CU_ASSERT_EQUAL (fixture->server->accepted, 3);
}

/*
 * Nothing listens, or the peer never accepts the connection. No byte was sent, so the request has
 * certainly not run and may be retried elsewhere.
 */
static void
test_no_connection (void)
{
  g_autoptr (fixture_t) fixture = fixture_new (SILENT, 1);
  address_t nobody = raw_peer_loopback_address ();

  nobody.port = 1;
  fixture->options.address = &nobody;
  run_failing_call (fixture, VERDICT_NOT_RUN, VERDICT_REASON_CONNECT);
  CU_ASSERT_EQUAL (fixture->state.end.status, 0);
  fixture->options.address = &fixture->server->address;
  raw_server_fill (fixture->server);
  fixture->options.timeout_us = 20 * 1000;
  run_failing_call (fixture, VERDICT_NOT_RUN, VERDICT_REASON_TIMEOUT);
  fixture->options.timeout_us = 0;
  run_failing_call (fixture, VERDICT_NOT_RUN, VERDICT_REASON_CONNECT);
}

/*
 * The peer closes or resets a keep-alive connection while it is idle, and the event loop has not
 * noticed it when the next request starts. That request must use a new connection and succeed.
 */
static void
test_closed_while_idle (void)
{
  g_autoptr (fixture_t) fixture = fixture_new (OK_ONLY, 1);

  for (uint32_t i = 0; i < 4; i++)
    {
      run_successful_call (fixture, 200, "ok");
      CU_ASSERT_EQUAL (fixture->server->accepted, i + 1);
      raw_peer_close (fixture->server->connections->pdata[i], i % 2 == 1);
    }
}

/*
 * The peer resets a keep-alive connection after the next request was queued on it and before a byte
 * of it was written. The request has certainly not run.
 */
static void
test_reset_before_write (void)
{
  g_autoptr (fixture_t) fixture = fixture_new (OK_ONLY, 1);

  run_successful_call (fixture, 200, "ok");
  reset_state (&fixture->state);
  http_client_start_call (fixture->http_client, &fixture->options);
  raw_peer_close (fixture->server->connections->pdata[0], true);
  CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, has_ended, &fixture->state));
  check_failed (&fixture->state, VERDICT_NOT_RUN, VERDICT_REASON_CONNECT);
  CU_ASSERT_EQUAL (fixture->server->accepted, 1);
}

/*
 * A keep-alive connection ends after the next request was written, without a response. The request
 * may have run.
 */
static void
test_closed_after_write (void)
{
  static const char *const scripts[] = { OK_ANSWER, NULL };

  for (int reset = 0; reset < 2; reset++)
    {
      g_autoptr (fixture_t) fixture = fixture_new (scripts, G_N_ELEMENTS (scripts));
      run_successful_call (fixture, 200, "ok");
      fixture->server->close_after = true;
      fixture->server->reset_after = reset;
      run_failing_call (fixture, VERDICT_MAY_HAVE_RUN, VERDICT_REASON_CUT);
      CU_ASSERT_EQUAL (fixture->server->accepted, 1);
    }
}

/*
 * The peer never responds, or stalls in the middle of the response. The call ends at its timeout,
 * and its connection is closed, so that the rest can't be taken for the response to the next
 * request.
 */
static void
test_timeout (void)
{
  static const char *const scripts[] = { NULL, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
                                         OK_ANSWER };
  g_autoptr (fixture_t) fixture = fixture_new (scripts, G_N_ELEMENTS (scripts));

  fixture->options.timeout_us = 50 * 1000;
  for (uint32_t i = 0; i < 2; i++)
    {
      run_failing_call (fixture, VERDICT_MAY_HAVE_RUN, VERDICT_REASON_TIMEOUT);
    }
  fixture->options.timeout_us = 3 * SECOND_US;
  run_successful_call (fixture, 200, "ok");
  CU_ASSERT_EQUAL (fixture->server->accepted, 3);
}

#define LONG_BODY_BYTES (100 * 1000) /* more than is read at once */
#define SHORT_TIMEOUT_MS 100

static bool
server_has_request (void *context)
{
  return ((const raw_server_t *)context)->request_count > 0;
}

/* Guards against a response that came in time and is given up, as the process did not run until
 * its time was over. */
static void
test_unread_response_comes_before_the_timeout (void)
{
  g_autoptr (fixture_t) fixture = fixture_new (SILENT, 1);
  g_autofree char *body = g_strnfill (LONG_BODY_BYTES, 'b');
  g_autofree char *answer =
      g_strdup_printf ("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", LONG_BODY_BYTES, body);
  int64_t due_us;

  fixture->options.timeout_us = SHORT_TIMEOUT_MS * 1000;
  fixture->state.call = http_client_start_call (fixture->http_client, &fixture->options);
  CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, server_has_request, fixture->server));
  raw_peer_send (g_ptr_array_index (fixture->server->connections, 0), answer);
  due_us = g_get_monotonic_time () + 2 * SHORT_TIMEOUT_MS * 1000;
  while (g_get_monotonic_time () < due_us)
    g_thread_yield ();
  CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, has_ended, &fixture->state));
  CU_ASSERT_TRUE (fixture->state.end.complete);
  CU_ASSERT_EQUAL (fixture->state.body->len, LONG_BODY_BYTES);
}

static void
test_bad_options (void)
{
  static const http_client_header_t bad[] = { { "X-A", "b\r\nX-Evil: 1" },
                                              { "X A", "b" },
                                              { "X\n", "b" } };
  g_autoptr (fixture_t) fixture = fixture_new (SILENT, 1);

  for (size_t i = 0; i < G_N_ELEMENTS (bad) + 3; i++)
    {
      fixture->options.header_count = 0;
      fixture->options.target = "/x";
      if (i < G_N_ELEMENTS (bad))
        {
          fixture->options.headers = &bad[i];
          fixture->options.header_count = 1;
        }
      else if (i == G_N_ELEMENTS (bad))
        fixture->options.target = "/x HTTP/1.1\r\nX-Evil: 1";
      else if (i == G_N_ELEMENTS (bad) + 1)
        fixture->options.target = "x";
      else
        fixture->options.method = "BREW";
      run_failing_call (fixture, VERDICT_NOT_RUN, VERDICT_REASON_CONNECT);
    }
  CU_ASSERT_EQUAL (fixture->server->accepted, 0);
}

static bool
has_request (void *context)
{
  raw_server_t *server = context;

  return server->connections->len > 0 &&
         strstr (((raw_peer_t *)server->connections->pdata[0])->received->str, "body");
}

/* The request has one Host, one Content-Length, and none of the caller's framing headers */
static void
test_request_bytes (void)
{
  static const http_client_header_t headers[] = { { "X-One", "1" },
                                                  { "Content-Length", "99" },
                                                  { "Transfer-Encoding", "chunked" },
                                                  { "Expect", "100-continue" } };
  g_autoptr (fixture_t) fixture = fixture_new (SILENT, 1);

  fixture->server->keep_head = true;
  fixture->options.method = "POST";
  fixture->options.headers = headers;
  fixture->options.header_count = G_N_ELEMENTS (headers);
  fixture->options.body = "body";
  fixture->options.body_bytes = 4;
  fixture->state.call = http_client_start_call (fixture->http_client, &fixture->options);
  CU_ASSERT_FALSE (http_client_may_have_sent (fixture->state.call));
  CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, has_request, fixture->server));
  CU_ASSERT_TRUE (http_client_may_have_sent (fixture->state.call));
  g_autofree char *expected = g_strdup_printf (
      "POST /x HTTP/1.1\r\nX-One: 1\r\nHost: %s:%u\r\nContent-Length: 4\r\n\r\nbody",
      fixture->server->address.ip, fixture->server->address.port);
  CU_ASSERT_STRING_EQUAL (((raw_peer_t *)fixture->server->connections->pdata[0])->received->str,
                          expected);
}

/*
 * The caller cancels the call from within its callbacks, or rejects the head. libevent goes on
 * parsing what it has read; none of that may reach the caller, and nothing may be freed twice.
 */
static void
test_cancel_in_callbacks (void)
{
  static const char *const scripts[] = {
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n1\r\nb\r\n0\r\n\r\n",
  };
  g_autoptr (fixture_t) fixture = fixture_new (scripts, 1);

  for (int i = 0; i < 2; i++)
    {
      reset_state (&fixture->state);
      fixture->state.cancel_in_head = i == 0;
      fixture->state.cancel_in_data = i == 1;
      fixture->state.call = http_client_start_call (fixture->http_client, &fixture->options);
      CU_ASSERT_TRUE (
          raw_peer_run_until (fixture->base, i == 0 ? has_head : has_body, &fixture->state));
      raw_peer_run_ms (fixture->base, 5);
      CU_ASSERT_EQUAL (fixture->state.body->len, (gsize)i);
      CU_ASSERT_EQUAL (fixture->state.ends, 0);
    }
  reset_state (&fixture->state);
  fixture->state.refuse_head = true;
  http_client_start_call (fixture->http_client, &fixture->options);
  CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, has_ended, &fixture->state));
  check_failed (&fixture->state, VERDICT_MAY_HAVE_RUN, VERDICT_REASON_CUT);
  CU_ASSERT_EQUAL (fixture->state.body->len, 0);
  CU_ASSERT_EQUAL (fixture->server->accepted, 3);
}

/* Calls are cancelled before their connection is established, and by http_client_free() in every
 * state */
static void
test_cancel_early (void)
{
  static const char *const scripts[] = { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf" };
  g_autoptr (fixture_t) fixture = fixture_new (scripts, 1);
  char *body = g_strdup ("body");

  fixture->options.method = "POST";
  fixture->options.body = body;
  fixture->options.body_bytes = 4;
  http_client_cancel_call (http_client_start_call (fixture->http_client, &fixture->options));
  memset (body, 'x', 4);
  g_free (body);
  fixture->options.body_bytes = 0;
  http_client_start_call (fixture->http_client, &fixture->options);
  CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, has_body, &fixture->state));
  http_client_start_call (fixture->http_client, &fixture->options);
  fixture->options.target = "bad";
  http_client_start_call (fixture->http_client, &fixture->options);
  g_clear_pointer (&fixture->http_client, http_client_free);
  CU_ASSERT_EQUAL (fixture->state.ends, 0);
}

/* Reads what has arrived at a peer that is not read otherwise. Return: whether it contains @wanted
 */
static bool
received_contains (raw_peer_t *raw, char wanted)
{
  char bytes[64 * 1024];
  ssize_t count;
  bool found = false;

  while ((count = recv (raw->fd, bytes, sizeof bytes, MSG_DONTWAIT)) > 0)
    found |= memchr (bytes, wanted, (size_t)count) != NULL;
  return found;
}

static void
cancel_and_reuse (evutil_socket_t fd, short what, void *context)
{
  fixture_t *fixture = context;

  (void)fd;
  (void)what;
  http_client_cancel_call (fixture->state.call);
  memset ((char *)fixture->options.body, 'y', fixture->options.body_bytes);
}

/*
 * A call is cancelled while its body is being sent, and the memory of the body is overwritten. The
 * socket is writable in the same iteration of the event loop: none of the new content may be sent.
 */
static void
test_cancel_while_sending (void)
{
  enum
  {
    BODY_BYTES = 32 * 1024 * 1024
  };
  g_autoptr (fixture_t) fixture = fixture_new (SILENT, 1);
  raw_peer_t *raw;
  struct event *cancel;

  fixture->server->never_read = true;
  fixture->options.method = "POST";
  fixture->options.body = g_strnfill (BODY_BYTES, 'x');
  fixture->options.body_bytes = BODY_BYTES;
  fixture->state.call = http_client_start_call (fixture->http_client, &fixture->options);
  raw_peer_run_ms (fixture->base, 30);
  raw = fixture->server->connections->pdata[0];
  CU_ASSERT_FALSE (received_contains (raw, 'y'));
  cancel = event_new (fixture->base, -1, 0, cancel_and_reuse, fixture);
  event_active (cancel, EV_TIMEOUT, 0);
  event_base_loop (fixture->base, EVLOOP_ONCE);
  raw_peer_run_ms (fixture->base, 5);
  CU_ASSERT_FALSE (received_contains (raw, 'y'));
  event_free (cancel);
  g_free ((char *)fixture->options.body);
}

/*
 * The caller passes the response on to a slow reader, so it pauses reading. The response must not
 * accumulate here, so that TCP slows down the peer; once reading resumes, it arrives completely.
 */
static void
test_pause (void)
{
  g_autoptr (GString) script = g_string_new ("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n");
  g_autoptr (GString) received = g_string_new (NULL);
  const char *scripts[1];
  gsize while_paused;

  for (int i = 0; i < 200000; i++)
    g_string_append_c (script, 'a' + i % 26);
  scripts[0] = script->str;
  g_autoptr (fixture_t) fixture = fixture_new (scripts, 1);
  fixture->state.call = http_client_start_call (fixture->http_client, &fixture->options);
  http_client_set_paused (
      fixture->state.call,
      true); /* before the head is received; in the second round, during the body */
  for (int i = 0; i < 2; i++)
    {
      g_string_append (received, fixture->state.body->str);
      g_string_truncate (fixture->state.body, 0);
      CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, has_body, &fixture->state));
      while_paused = fixture->state.body->len;
      raw_peer_run_ms (fixture->base, 20);
      CU_ASSERT_EQUAL (fixture->state.body->len, while_paused);
      CU_ASSERT_TRUE (while_paused < 100000);
      fixture->state.pause_in_data = true;
      if (i == 0)
        http_client_set_paused (fixture->state.call, false);
    }
  fixture->state.pause_in_data = false;
  http_client_set_paused (fixture->state.call, false);
  CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, has_ended, &fixture->state));
  g_string_append (received, fixture->state.body->str);
  CU_ASSERT_TRUE (fixture->state.end.complete);
  CU_ASSERT_STRING_EQUAL (received->str, strstr (script->str, "\r\n\r\n") + 4);
}

/* A response over the limit counts as truncated, however its length is declared */
static void
test_response_limit (void)
{
  static const char *const scripts[] = {
    "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n12345678901",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\n123456\r\n5\r\n78901\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n1234567890",
  };
  g_autoptr (fixture_t) fixture = fixture_new (scripts, G_N_ELEMENTS (scripts));

  fixture->options.answer_limit_bytes = 10;
  run_failing_call (fixture, VERDICT_MAY_HAVE_RUN, VERDICT_REASON_CUT);
  run_failing_call (fixture, VERDICT_MAY_HAVE_RUN, VERDICT_REASON_CUT);
  run_successful_call (fixture, 200, "1234567890");
}

static bool
three_ended (void *context)
{
  return ((call_state_t *)context)->ends == 3;
}

static uint32_t
closed_count (const raw_server_t *server)
{
  uint32_t closed = 0;

  for (guint i = 0; i < server->connections->len; i++)
    closed += ((raw_peer_t *)server->connections->pdata[i])->eof;
  return closed;
}

static bool
one_closed (void *context)
{
  return closed_count (context) == 1;
}

/* Each connection carries one request at a time; idle ones are limited in number and time */
static void
test_pool (void)
{
  g_autoptr (fixture_t) fixture = fixture_new (OK_ONLY, 1);

  for (int i = 0; i < 3; i++)
    http_client_start_call (fixture->http_client, &fixture->options);
  CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, three_ended, &fixture->state));
  CU_ASSERT_EQUAL (fixture->server->accepted, 3);
  CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, one_closed, fixture->server));
  raw_peer_run_ms (fixture->base, 5);
  CU_ASSERT_EQUAL (closed_count (fixture->server), 1);

  g_autoptr (fixture_t) short_idle = fixture_new (OK_ONLY, 1);
  http_client_free (short_idle->http_client);
  short_idle->http_client = http_client_new (short_idle->base, 2, 20);
  run_call (short_idle);
  CU_ASSERT_TRUE (raw_peer_run_until (short_idle->base, one_closed, short_idle->server));
}

/* Guards against requests on a connection that its peer is about to close. */
static void
test_closed_after_responses_without_a_body (void)
{
  static const char *const scripts[] = {
    "HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n",
    "HTTP/1.1 304 Not Modified\r\nConnection: close\r\n\r\n",
    OK_ANSWER,
  };
  g_autoptr (fixture_t) fixture = fixture_new (scripts, G_N_ELEMENTS (scripts));

  run_successful_call (fixture, 204, "");
  run_successful_call (fixture, 304, "");
  run_successful_call (fixture, 200, "ok");
  CU_ASSERT_EQUAL (fixture->server->accepted, 3);
}

static bool
two_ended (void *context)
{
  return ((call_state_t *)context)->ends == 2;
}

/* Guards against requests on a connection that was cut off together with that of a silent one. */
static void
test_close_older_idle (void)
{
  g_autoptr (fixture_t) fixture = fixture_new (OK_ONLY, 1);
  http_client_call_t *silent;

  for (int i = 0; i < 2; i++)
    http_client_start_call (fixture->http_client, &fixture->options);
  CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, two_ended, &fixture->state));
  fixture->server->scripts = SILENT;
  silent = http_client_start_call (fixture->http_client, &fixture->options);
  raw_peer_run_ms (fixture->base, 5);
  CU_ASSERT_EQUAL (closed_count (fixture->server), 0);
  http_client_close_older_idle (silent);
  CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, one_closed, fixture->server));
  fixture->server->scripts = OK_ONLY;
  run_call (fixture);
  CU_ASSERT_EQUAL (fixture->server->accepted, 3);
  http_client_close_older_idle (silent);
  run_call (fixture);
  CU_ASSERT_EQUAL (fixture->server->accepted, 3);
  CU_ASSERT_EQUAL (closed_count (fixture->server), 1);
  http_client_cancel_call (silent);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "complete responses", test_complete_responses },
    { "truncated responses", test_truncated_responses },
    { "response to another request", test_response_to_another_request },
    { "stray bytes", test_stray_bytes },
    { "no connection", test_no_connection },
    { "closed while idle", test_closed_while_idle },
    { "reset before write", test_reset_before_write },
    { "closed after write", test_closed_after_write },
    { "closed after responses without a body", test_closed_after_responses_without_a_body },
    { "timeout", test_timeout },
    { "unread response comes before the timeout", test_unread_response_comes_before_the_timeout },
    { "bad options", test_bad_options },
    { "request bytes", test_request_bytes },
    { "cancel in callbacks", test_cancel_in_callbacks },
    { "cancel early", test_cancel_early },
    { "cancel while sending", test_cancel_while_sending },
    { "pause", test_pause },
    { "response limit", test_response_limit },
    { "pool", test_pool },
    { "older idle connections", test_close_older_idle },
    CU_TEST_INFO_NULL,
  };

  signal (SIGPIPE, SIG_IGN);
  return suite_run ("http_client", tests);
}
