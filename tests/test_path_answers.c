#include "testbed.h"
#include "raw_peer.h"
#include "suite.h"
#include "request/router/router_private.h"
#include "request/sidecar/sidecar_private.h"

#include <string.h>

static bool
got_next_answer (void *context)
{
  const raw_peer_t *raw = context;

  return raw->eof || strstr (raw->received->str, "ran:next") != NULL;
}

/* The answer to HEAD has the Content-Length that a GET would have, and no body; the next bytes on
 * the connection are the next answer. The proxies must relay that length, not replace it by 0. */
static void
relays_the_length_of_a_head_answer (void)
{
  g_autoptr (testbed_t) testbed = testbed_new ();

  raw_peer_t *raw = raw_peer_connect (testbed->base, &testbed->hosts[TESTBED_SIDECARS].http);
  raw_peer_send (raw, "HEAD /look HTTP/1.1\r\nX-Api-Key: " TESTBED_API_KEY "\r\n\r\n"
                      "POST /look HTTP/1.1\r\nX-Api-Key: " TESTBED_API_KEY
                      "\r\nContent-Length: 4\r\n\r\nnext");
  CU_ASSERT_TRUE (testbed_wait_until (testbed, got_next_answer, raw));
  CU_ASSERT_TRUE (g_str_has_prefix (raw->received->str, "HTTP/1.1 200 "));
  CU_ASSERT_PTR_NOT_NULL (strstr (raw->received->str, "Content-Length: 4\r\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (raw->received->str, "\r\n\r\nHTTP/1.1 200 "));
  CU_ASSERT_PTR_NULL (strstr (raw->received->str, "Content-Length: 0\r\n"));
  raw_peer_free (raw);
}

static bool
caller_buffer_is_full (void *context)
{
  const testbed_t *testbed = context;
  const router_call_t *call = g_queue_peek_head (&testbed->router.router_task->calls);

  return call != NULL && call->relay.client_blocked;
}

static void
fire_stall_timers (testbed_t *testbed)
{
  gpointer call = g_queue_peek_head (&testbed->router.router_task->calls);
  GHashTableIter iter;

  if (call != NULL)
    router_hop_on_timer (-1, EV_TIMEOUT, call);
  for (uint32_t i = 0; i < TESTBED_SIDECARS; i++)
    {
      g_hash_table_iter_init (&iter, testbed->sidecars[i].sidecar_task->calls);
      if (g_hash_table_iter_next (&iter, NULL, &call) &&
          ((sidecar_call_t *)call)->relay.client_blocked)
        sidecar_engine_on_timer (-1, EV_TIMEOUT, call);
    }
}

/* A caller reads a long answer so slowly that nothing is written to it for a minute. Meanwhile the
 * answer is not read from the engine either. The stall timers must not take this for a stalled
 * engine, or the caller would get a partial answer. */
static void
waits_for_a_slow_caller (void)
{
  g_autoptr (testbed_t) testbed = testbed_new ();
  g_auto (testbed_answer_t) answer = { 0 };

  testbed_set_mode (testbed, TESTBED_LONG_ANSWER);
  testbed_send (testbed, &(testbed_request_t){ .path = "/look" }, &answer);
  answer.stop_reading = true;
  CU_ASSERT_TRUE (testbed_wait_until (testbed, caller_buffer_is_full, testbed));
  fire_stall_timers (testbed);
  answer.stop_reading = false;
  http_client_set_paused (answer.call, false);
  fire_stall_timers (testbed);
  CU_ASSERT_TRUE (testbed_wait_until (testbed, testbed_is_done, &answer));
  CU_ASSERT_TRUE (answer.end.complete);
  CU_ASSERT_EQUAL (answer.body->len, TESTBED_LONG_ANSWER_BYTES);
}

/* An engine's stream breaks off between two events. The caller must get exactly one error event
 * with the reason, and then a closed connection. The close must not discard the event. */
static void
an_interrupted_stream_ends_with_an_error_event (void)
{
  g_autoptr (testbed_t) testbed = testbed_new ();
  g_auto (testbed_answer_t) answer = { 0 };

  testbed_set_mode (testbed, TESTBED_DISCONNECT_MID_STREAM);
  testbed_ask (testbed, &(testbed_request_t){ .path = "/look" }, &answer);
  CU_ASSERT_TRUE (answer.done);
  CU_ASSERT_FALSE (answer.end.complete);
  CU_ASSERT_TRUE (g_str_has_prefix (answer.body->str, "data: one\n\nevent: error\ndata: {"));
  CU_ASSERT_TRUE (g_str_has_suffix (answer.body->str, "}\n\n"));
  CU_ASSERT_PTR_EQUAL (strstr (answer.body->str, "event: error"),
                       g_strrstr (answer.body->str, "event: error"));
}

static bool
has_unread_answer (void *context)
{
  const testbed_t *testbed = context;
  const router_call_t *call = g_queue_peek_head (&testbed->router.router_task->calls);

  return call != NULL && call->outbound != NULL && http_client_has_unread (call->outbound);
}

/* Guards against a refusal of a host that is taken for a lost request, since a timer of the router
 * is due when the refusal is read. */
static void
a_refusal_comes_before_a_timer_that_is_due (void)
{
  static const struct timeval now = { 0, 0 };
  g_autoptr (testbed_t) testbed = testbed_new ();
  g_auto (testbed_answer_t) answer = { 0 };
  uint64_t revokes = counter_value (testbed->router.router_task->revokes);
  router_call_t *call;

  testbed->log_down = true;
  testbed_send (testbed,
                &(testbed_request_t){ .path = "/book", .body = "x", .idempotency_key = "k" },
                &answer);
  CU_ASSERT_TRUE_FATAL (testbed_wait_until (testbed, has_unread_answer, testbed));
  call = g_queue_peek_head (&testbed->router.router_task->calls);
  event_add (call->timer, &now);
  CU_ASSERT_TRUE (testbed_wait_until (testbed, testbed_is_done, &answer));
  CU_ASSERT_EQUAL (answer.status, 503);
  CU_ASSERT_STRING_EQUAL (answer.verdict, "not_run");
  CU_ASSERT_EQUAL (counter_value (testbed->router.router_task->revokes), revokes);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "relays the length of a HEAD answer", relays_the_length_of_a_head_answer },
    { "waits for a slow caller", waits_for_a_slow_caller },
    { "an interrupted stream ends with an error event",
      an_interrupted_stream_ends_with_an_error_event },
    { "a refusal comes before a timer that is due", a_refusal_comes_before_a_timer_that_is_due },
    CU_TEST_INFO_NULL,
  };

  log_init ("test-path-answers", "test", LOG_LEVEL_DEBUG);
  return suite_run ("path answers", tests);
}
