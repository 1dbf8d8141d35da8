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

/* what a call has brought */
typedef struct
{
  hcl_call_t *call;
  GString *body;
  hcl_end_t end;
  int head_status;
  uint32_t ends;
  bool refuse_head;
  bool cancel_in_head;
  bool cancel_in_data;
  bool pause_in_data;
} heard_t;

typedef struct
{
  struct event_base *base;
  hcl_t *hcl;
  raw_server_t *server;
  hcl_options_t options;
  heard_t heard;
} bench_t;

static bool
on_head (int status, struct evkeyvalq *headers, void *context)
{
  heard_t *heard = context;

  (void)headers;
  heard->head_status = status;
  if (heard->cancel_in_head)
    hcl_cancel (heard->call);
  return !heard->refuse_head;
}

static void
on_data (struct evbuffer *data, void *context)
{
  heard_t *heard = context;
  size_t bytes = evbuffer_get_length (data);

  g_string_append_len (heard->body, (char *)evbuffer_pullup (data, -1), (gssize)bytes);
  evbuffer_drain (data, bytes);
  if (heard->cancel_in_data)
    hcl_cancel (heard->call);
  else if (heard->pause_in_data)
    hcl_pause (heard->call, true);
}

static void
on_end (const hcl_end_t *end, void *context)
{
  heard_t *heard = context;

  heard->end = *end;
  heard->ends++;
}

static bool
has_ended (void *context)
{
  return ((heard_t *)context)->ends > 0;
}

static bool
has_head (void *context)
{
  return ((heard_t *)context)->head_status == 200;
}

static bool
has_body (void *context)
{
  return ((heard_t *)context)->body->len > 0;
}

/* a client, and a peer that answers by @scripts */
static bench_t *
bench_new (const char *const *scripts, uint32_t script_count)
{
  bench_t *bench = g_new0 (bench_t, 1);

  bench->base = event_base_new ();
  bench->hcl = hcl_new (bench->base, 2, IDLE_TIMEOUT_MS);
  bench->heard.body = g_string_new (NULL);
  bench->server = raw_server_new (bench->base, scripts, script_count);
  bench->options = (hcl_options_t){ .address = &bench->server->address,
                                    .method = "GET",
                                    .target = "/x",
                                    .timeout_us = 3 * SECOND_US,
                                    .answer_limit_bytes = 1024 * 1024,
                                    .on_head = on_head,
                                    .on_data = on_data,
                                    .on_end = on_end,
                                    .context = &bench->heard };
  return bench;
}

static void
bench_free (bench_t *bench)
{
  g_clear_pointer (&bench->hcl, hcl_free);
  raw_server_free (bench->server);
  g_string_free (bench->heard.body, TRUE);
  event_base_free (bench->base);
  g_free (bench);
}

G_DEFINE_AUTOPTR_CLEANUP_FUNC (bench_t, bench_free)

static void
forget (heard_t *heard)
{
  GString *body = g_string_truncate (heard->body, 0);

  memset (heard, 0, sizeof *heard);
  heard->body = body;
}

/* start, and run until the end */
static void
call (bench_t *bench)
{
  forget (&bench->heard);
  bench->heard.call = hcl_start (bench->hcl, &bench->options);
  CU_ASSERT_EQUAL (bench->heard.ends, 0);
  CU_ASSERT_TRUE (raw_run_until (bench->base, has_ended, &bench->heard));
  CU_ASSERT_EQUAL (bench->heard.ends, 1);
}

static void
check_failed (const heard_t *heard, vrd_t verdict, vrd_reason_t reason)
{
  CU_ASSERT_FALSE (heard->end.whole);
  CU_ASSERT_EQUAL (heard->end.verdict, verdict);
  CU_ASSERT_EQUAL (heard->end.reason, reason);
}

static void
call_fails (bench_t *bench, vrd_t verdict, vrd_reason_t reason)
{
  call (bench);
  check_failed (&bench->heard, verdict, reason);
}

static void
call_brings (bench_t *bench, int status, const char *body)
{
  call (bench);
  CU_ASSERT_TRUE (bench->heard.end.whole);
  CU_ASSERT_EQUAL (bench->heard.end.status, status);
  CU_ASSERT_STRING_EQUAL (bench->heard.body->str, body);
}

static void
test_whole_answers (void)
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
  g_autoptr (bench_t) bench = bench_new (scripts, G_N_ELEMENTS (scripts));

  call_brings (bench, 200, "first");
  call_brings (bench, 200, "second");
  call_brings (bench, 201, "third");
  call_brings (bench, 204, "");
  call_brings (bench, 200, "");
  call_brings (bench, 503, "busy");
  CU_ASSERT_EQUAL (bench->server->accepted, 1);
}

/*
 * The peer sends a part of the answer and closes, or declares its length not at all, twice or
 * contradictorily. The library takes some of these for whole answers. The caller must hear that
 * the answer is cut, and that the request may have run; the connection is not used again.
 */
static void
test_cut_answers (void)
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
  g_autoptr (bench_t) bench = bench_new (scripts, G_N_ELEMENTS (scripts));

  bench->server->close_after = true;
  for (uint32_t i = 0; i < G_N_ELEMENTS (scripts); i++)
    {
      call_fails (bench, VRD_MAY_HAVE_RUN, VRD_REASON_CUT);
      CU_ASSERT_EQUAL (bench->server->accepted, i + 1);
    }
}

/*
 * Another caller's late answer is the first thing that comes on the connection. Its attempt id is
 * not ours: not a byte of it may be passed on, nor may the connection be used again.
 */
static void
test_crossed_answer (void)
{
  static const char *const scripts[] = {
    "HTTP/1.1 200 OK\r\nX-Attempt: b\r\nContent-Length: 5\r\n\r\nother",
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother",
    "HTTP/1.1 200 OK\r\nX-Attempt: a\r\nContent-Length: 4\r\n\r\nours",
  };
  g_autoptr (bench_t) bench = bench_new (scripts, G_N_ELEMENTS (scripts));

  bench->options.check_name = "X-Attempt";
  bench->options.check_value = "a";
  for (uint32_t i = 0; i < 2; i++)
    {
      call_fails (bench, VRD_MAY_HAVE_RUN, VRD_REASON_CROSSED);
      CU_ASSERT_EQUAL (bench->heard.head_status, 0);
      CU_ASSERT_EQUAL (bench->heard.body->len, 0);
    }
  call_brings (bench, 200, "ours");
  CU_ASSERT_EQUAL (bench->server->accepted, 3);
}

/*
 * The peer sends more bytes than its answer declares, or sends bytes while the connection is idle.
 * Kept, they would be read as the answer to the next request, of another client account.
 */
static void
test_stray_bytes (void)
{
  static const char *const scripts[] = {
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: "
    "5\r\n\r\nstray",
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nours",
  };
  g_autoptr (bench_t) bench = bench_new (scripts, G_N_ELEMENTS (scripts));

  call_brings (bench, 200, "ok");
  call_brings (bench, 200, "ours");
  CU_ASSERT_EQUAL (bench->server->accepted, 2);
  raw_send (bench->server->conns->pdata[1], scripts[0]);
  call_brings (bench, 200, "ours");
  CU_ASSERT_EQUAL (bench->server->accepted, 3);
}

/*
 * Nothing listens, or the peer never takes the connection. No byte has left, so the request is
 * certain not to have run and may be tried elsewhere.
 */
static void
test_no_connection (void)
{
  g_autoptr (bench_t) bench = bench_new (SILENT, 1);
  set_address_t nobody = raw_address ();

  nobody.port = 1;
  bench->options.address = &nobody;
  call_fails (bench, VRD_NOT_RUN, VRD_REASON_CONNECT);
  CU_ASSERT_EQUAL (bench->heard.end.status, 0);
  bench->options.address = &bench->server->address;
  raw_server_fill (bench->server);
  bench->options.timeout_us = 20 * 1000;
  call_fails (bench, VRD_NOT_RUN, VRD_REASON_TIMEOUT);
  bench->options.timeout_us = 0;
  call_fails (bench, VRD_NOT_RUN, VRD_REASON_CONNECT);
}

/*
 * The peer closes, or resets, a kept-alive connection while it is idle; the loop has not seen it
 * when the next request starts. That request must go over a new connection, unharmed.
 */
static void
test_closed_while_idle (void)
{
  g_autoptr (bench_t) bench = bench_new (OK_ONLY, 1);

  for (uint32_t i = 0; i < 4; i++)
    {
      call_brings (bench, 200, "ok");
      CU_ASSERT_EQUAL (bench->server->accepted, i + 1);
      raw_close (bench->server->conns->pdata[i], i % 2 == 1);
    }
}

/*
 * The peer resets a kept-alive connection after the next request was queued for it and before a
 * byte of it was written. The request is certain not to have run.
 */
static void
test_reset_before_write (void)
{
  g_autoptr (bench_t) bench = bench_new (OK_ONLY, 1);

  call_brings (bench, 200, "ok");
  forget (&bench->heard);
  hcl_start (bench->hcl, &bench->options);
  raw_close (bench->server->conns->pdata[0], true);
  CU_ASSERT_TRUE (raw_run_until (bench->base, has_ended, &bench->heard));
  check_failed (&bench->heard, VRD_NOT_RUN, VRD_REASON_CONNECT);
  CU_ASSERT_EQUAL (bench->server->accepted, 1);
}

/*
 * A kept-alive connection ends after the next request was written, without an answer. Whether the
 * peer ran it, nobody can tell.
 */
static void
test_closed_after_write (void)
{
  static const char *const scripts[] = { OK_ANSWER, NULL };

  for (int reset = 0; reset < 2; reset++)
    {
      g_autoptr (bench_t) bench = bench_new (scripts, G_N_ELEMENTS (scripts));
      call_brings (bench, 200, "ok");
      bench->server->close_after = true;
      bench->server->reset_after = reset;
      call_fails (bench, VRD_MAY_HAVE_RUN, VRD_REASON_CUT);
      CU_ASSERT_EQUAL (bench->server->accepted, 1);
    }
}

/*
 * The peer never answers, or answers half and stalls. The call ends at its timeout, and the late
 * rest must not meet the next request: the connection is closed.
 */
static void
test_timeout (void)
{
  static const char *const scripts[] = { NULL, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
                                         OK_ANSWER };
  g_autoptr (bench_t) bench = bench_new (scripts, G_N_ELEMENTS (scripts));

  bench->options.timeout_us = 50 * 1000;
  for (uint32_t i = 0; i < 2; i++)
    {
      call_fails (bench, VRD_MAY_HAVE_RUN, VRD_REASON_TIMEOUT);
    }
  bench->options.timeout_us = 3 * SECOND_US;
  call_brings (bench, 200, "ok");
  CU_ASSERT_EQUAL (bench->server->accepted, 3);
}

static void
test_bad_options (void)
{
  static const hcl_header_t bad[] = { { "X-A", "b\r\nX-Evil: 1" }, { "X A", "b" }, { "X\n", "b" } };
  g_autoptr (bench_t) bench = bench_new (SILENT, 1);

  for (size_t i = 0; i < G_N_ELEMENTS (bad) + 3; i++)
    {
      bench->options.header_count = 0;
      bench->options.target = "/x";
      if (i < G_N_ELEMENTS (bad))
        {
          bench->options.headers = &bad[i];
          bench->options.header_count = 1;
        }
      else if (i == G_N_ELEMENTS (bad))
        bench->options.target = "/x HTTP/1.1\r\nX-Evil: 1";
      else if (i == G_N_ELEMENTS (bad) + 1)
        bench->options.target = "x";
      else
        bench->options.method = "BREW";
      call_fails (bench, VRD_NOT_RUN, VRD_REASON_CONNECT);
    }
  CU_ASSERT_EQUAL (bench->server->accepted, 0);
}

static bool
has_request (void *context)
{
  raw_server_t *server = context;

  return server->conns->len > 0 && strstr (((raw_t *)server->conns->pdata[0])->got->str, "body");
}

/* what the peer reads: one Host, one Content-Length, and none of the caller's framing */
static void
test_request_bytes (void)
{
  static const hcl_header_t headers[] = { { "X-One", "1" },
                                          { "Content-Length", "99" },
                                          { "Transfer-Encoding", "chunked" },
                                          { "Expect", "100-continue" } };
  g_autoptr (bench_t) bench = bench_new (SILENT, 1);

  bench->server->keep_head = true;
  bench->options.method = "POST";
  bench->options.headers = headers;
  bench->options.header_count = G_N_ELEMENTS (headers);
  bench->options.body = "body";
  bench->options.body_bytes = 4;
  bench->heard.call = hcl_start (bench->hcl, &bench->options);
  CU_ASSERT_FALSE (hcl_sent (bench->heard.call));
  CU_ASSERT_TRUE (raw_run_until (bench->base, has_request, bench->server));
  CU_ASSERT_TRUE (hcl_sent (bench->heard.call));
  g_autofree char *expected = g_strdup_printf (
      "POST /x HTTP/1.1\r\nX-One: 1\r\nHost: %s:%u\r\nContent-Length: 4\r\n\r\nbody",
      bench->server->address.ip, bench->server->address.port);
  CU_ASSERT_STRING_EQUAL (((raw_t *)bench->server->conns->pdata[0])->got->str, expected);
}

/*
 * The caller gives the call up from within its callbacks, or refuses the head. The library goes on
 * reading what it has; none of that may reach the caller any more, and nothing is freed twice.
 */
static void
test_cancel_in_callbacks (void)
{
  static const char *const scripts[] = {
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n1\r\nb\r\n0\r\n\r\n",
  };
  g_autoptr (bench_t) bench = bench_new (scripts, 1);

  for (int i = 0; i < 2; i++)
    {
      forget (&bench->heard);
      bench->heard.cancel_in_head = i == 0;
      bench->heard.cancel_in_data = i == 1;
      bench->heard.call = hcl_start (bench->hcl, &bench->options);
      CU_ASSERT_TRUE (raw_run_until (bench->base, i == 0 ? has_head : has_body, &bench->heard));
      raw_run_ms (bench->base, 5);
      CU_ASSERT_EQUAL (bench->heard.body->len, (gsize)i);
      CU_ASSERT_EQUAL (bench->heard.ends, 0);
    }
  forget (&bench->heard);
  bench->heard.refuse_head = true;
  hcl_start (bench->hcl, &bench->options);
  CU_ASSERT_TRUE (raw_run_until (bench->base, has_ended, &bench->heard));
  check_failed (&bench->heard, VRD_MAY_HAVE_RUN, VRD_REASON_CUT);
  CU_ASSERT_EQUAL (bench->heard.body->len, 0);
  CU_ASSERT_EQUAL (bench->server->accepted, 3);
}

/* cancelled before the connection stands, and by hcl_free() with calls in every state */
static void
test_cancel_early (void)
{
  static const char *const scripts[] = { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf" };
  g_autoptr (bench_t) bench = bench_new (scripts, 1);
  char *body = g_strdup ("body");

  bench->options.method = "POST";
  bench->options.body = body;
  bench->options.body_bytes = 4;
  hcl_cancel (hcl_start (bench->hcl, &bench->options));
  memset (body, 'x', 4);
  g_free (body);
  bench->options.body_bytes = 0;
  hcl_start (bench->hcl, &bench->options);
  CU_ASSERT_TRUE (raw_run_until (bench->base, has_body, &bench->heard));
  hcl_start (bench->hcl, &bench->options);
  bench->options.target = "bad";
  hcl_start (bench->hcl, &bench->options);
  g_clear_pointer (&bench->hcl, hcl_free);
  CU_ASSERT_EQUAL (bench->heard.ends, 0);
}

/* read what is in the socket of a deaf peer; Return: whether a byte of it is @odd */
static bool
drain_has (raw_t *raw, char odd)
{
  char bytes[64 * 1024];
  ssize_t count;
  bool found = false;

  while ((count = recv (raw->fd, bytes, sizeof bytes, MSG_DONTWAIT)) > 0)
    found |= memchr (bytes, odd, (size_t)count) != NULL;
  return found;
}

static void
cancel_and_reuse (evutil_socket_t fd, short what, void *context)
{
  bench_t *bench = context;

  (void)fd;
  (void)what;
  hcl_cancel (bench->heard.call);
  memset ((char *)bench->options.body, 'y', bench->options.body_bytes);
}

/*
 * A call is cancelled in the middle of sending, and its body's memory used for something else. The
 * socket is ready for more in the same turn of the loop: nothing of the new content may leave.
 */
static void
test_cancel_while_sending (void)
{
  enum
  {
    BODY_BYTES = 32 * 1024 * 1024
  };
  g_autoptr (bench_t) bench = bench_new (SILENT, 1);
  raw_t *raw;
  struct event *cancel;

  bench->server->deaf = true;
  bench->options.method = "POST";
  bench->options.body = g_strnfill (BODY_BYTES, 'x');
  bench->options.body_bytes = BODY_BYTES;
  bench->heard.call = hcl_start (bench->hcl, &bench->options);
  raw_run_ms (bench->base, 30);
  raw = bench->server->conns->pdata[0];
  CU_ASSERT_FALSE (drain_has (raw, 'y'));
  cancel = event_new (bench->base, -1, 0, cancel_and_reuse, bench);
  event_active (cancel, EV_TIMEOUT, 0);
  event_base_loop (bench->base, EVLOOP_ONCE);
  raw_run_ms (bench->base, 5);
  CU_ASSERT_FALSE (drain_has (raw, 'y'));
  event_free (cancel);
  g_free ((char *)bench->options.body);
}

/*
 * The reader behind the caller is slow, so reading is paused. The peer must feel it, instead of
 * the answer piling up here; and once reading goes on, the answer comes whole.
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
  g_autoptr (bench_t) bench = bench_new (scripts, 1);
  bench->heard.call = hcl_start (bench->hcl, &bench->options);
  hcl_pause (bench->heard.call, true); /* before the head has come, then while data comes */
  for (int i = 0; i < 2; i++)
    {
      g_string_append (received, bench->heard.body->str);
      g_string_truncate (bench->heard.body, 0);
      CU_ASSERT_TRUE (raw_run_until (bench->base, has_body, &bench->heard));
      while_paused = bench->heard.body->len;
      raw_run_ms (bench->base, 20);
      CU_ASSERT_EQUAL (bench->heard.body->len, while_paused);
      CU_ASSERT_TRUE (while_paused < 100000);
      bench->heard.pause_in_data = true;
      if (i == 0)
        hcl_pause (bench->heard.call, false);
    }
  bench->heard.pause_in_data = false;
  hcl_pause (bench->heard.call, false);
  CU_ASSERT_TRUE (raw_run_until (bench->base, has_ended, &bench->heard));
  g_string_append (received, bench->heard.body->str);
  CU_ASSERT_TRUE (bench->heard.end.whole);
  CU_ASSERT_STRING_EQUAL (received->str, strstr (script->str, "\r\n\r\n") + 4);
}

/* an answer over the limit counts as cut, however its length is declared */
static void
test_answer_limit (void)
{
  static const char *const scripts[] = {
    "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n12345678901",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\n123456\r\n5\r\n78901\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n1234567890",
  };
  g_autoptr (bench_t) bench = bench_new (scripts, G_N_ELEMENTS (scripts));

  bench->options.answer_limit_bytes = 10;
  call_fails (bench, VRD_MAY_HAVE_RUN, VRD_REASON_CUT);
  call_fails (bench, VRD_MAY_HAVE_RUN, VRD_REASON_CUT);
  call_brings (bench, 200, "1234567890");
}

static bool
three_ended (void *context)
{
  return ((heard_t *)context)->ends == 3;
}

static uint32_t
closed_count (const raw_server_t *server)
{
  uint32_t closed = 0;

  for (guint i = 0; i < server->conns->len; i++)
    closed += ((raw_t *)server->conns->pdata[i])->eof;
  return closed;
}

static bool
one_closed (void *context)
{
  return closed_count (context) == 1;
}

/* one request at a time on each connection; at most the limit is kept idle, and not for ever */
static void
test_pool (void)
{
  g_autoptr (bench_t) bench = bench_new (OK_ONLY, 1);

  for (int i = 0; i < 3; i++)
    hcl_start (bench->hcl, &bench->options);
  CU_ASSERT_TRUE (raw_run_until (bench->base, three_ended, &bench->heard));
  CU_ASSERT_EQUAL (bench->server->accepted, 3);
  CU_ASSERT_TRUE (raw_run_until (bench->base, one_closed, bench->server));
  raw_run_ms (bench->base, 5);
  CU_ASSERT_EQUAL (closed_count (bench->server), 1);

  g_autoptr (bench_t) brief = bench_new (OK_ONLY, 1);
  hcl_free (brief->hcl);
  brief->hcl = hcl_new (brief->base, 2, 20);
  call (brief);
  CU_ASSERT_TRUE (raw_run_until (brief->base, one_closed, brief->server));
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "whole answers", test_whole_answers },
    { "cut answers", test_cut_answers },
    { "crossed answer", test_crossed_answer },
    { "stray bytes", test_stray_bytes },
    { "no connection", test_no_connection },
    { "closed while idle", test_closed_while_idle },
    { "reset before write", test_reset_before_write },
    { "closed after write", test_closed_after_write },
    { "timeout", test_timeout },
    { "bad options", test_bad_options },
    { "request bytes", test_request_bytes },
    { "cancel in callbacks", test_cancel_in_callbacks },
    { "cancel early", test_cancel_early },
    { "cancel while sending", test_cancel_while_sending },
    { "pause", test_pause },
    { "answer limit", test_answer_limit },
    { "pool", test_pool },
    CU_TEST_INFO_NULL,
  };

  signal (SIGPIPE, SIG_IGN);
  return suite_run ("http_client", tests);
}
