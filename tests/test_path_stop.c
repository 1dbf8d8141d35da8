/* Tests of requests that reach a router late in its planned stop. */
#include "raw_peer.h"
#include "suite.h"
#include "testbed.h"

#include <string.h>

#define HALF_REQUEST                                                                               \
  "POST /book HTTP/1.1\r\nHost: h\r\nX-Api-Key: " TESTBED_API_KEY "\r\nContent-Length: 8\r\n\r\n"  \
  "half"
#define REST "rest"

static bool
listener_is_closed (void *context)
{
  g_auto (testbed_answer_t) answer = { 0 };

  testbed_ask (context, &(testbed_request_t){ .path = "/livez" }, &answer);
  return !answer.end.complete && answer.end.reason == VERDICT_REASON_CONNECT;
}

static bool
has_answer (void *context)
{
  const raw_peer_t *raw = context;

  return raw->eof || strstr (raw->received->str, "\r\n\r\n");
}

/* Guards against requests that a router takes so late that it may be killed while they run. */
static void
test_request_that_is_whole_after_the_last_new_one (void)
{
  g_autoptr (testbed_t) testbed = testbed_new ();
  g_auto (testbed_answer_t) answer = { 0 };
  raw_peer_t *raw = raw_peer_connect (testbed->base, &testbed->router.daemon.settings.listen);

  raw_peer_send (raw, HALF_REQUEST);
  testbed_ask (testbed, &(testbed_request_t){ .path = "/livez" }, &answer);
  testbed_send_flag (&testbed->router, MESSAGE_DRAIN, true);
  CU_ASSERT_TRUE (testbed_wait_until (testbed, listener_is_closed, testbed));
  raw_peer_send (raw, REST);
  CU_ASSERT_TRUE (testbed_wait_until (testbed, has_answer, raw));
  CU_ASSERT_PTR_NOT_NULL (strstr (raw->received->str, "HTTP/1.1 503 "));
  CU_ASSERT_PTR_NOT_NULL (strstr (raw->received->str, "Retry-After: "));
  CU_ASSERT_PTR_NOT_NULL (strstr (raw->received->str, "not_run"));
  CU_ASSERT_EQUAL (testbed_count_received (testbed), 0);
  raw_peer_free (raw);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    SUITE_TEST (test_request_that_is_whole_after_the_last_new_one), CU_TEST_INFO_NULL
  };

  return suite_run ("path_stop", tests);
}
