#include "testbed_burst.h"
#include "suite.h"

#include <string.h>

static const testbed_request_t BOOK = { .path = "/book",
                                        .body = "lot 7",
                                        .idempotency_key = "key 1" };
static const testbed_request_t LOOK = { .path = "/look" };

static bool
claim_held (void *context)
{
  const testbed_t *testbed = context;

  return testbed->held_claim_node != NULL;
}

static uint32_t
sidecar_index (const testbed_t *testbed, const testbed_node_t *node)
{
  return (uint32_t)(node - testbed->sidecars);
}

#define GRACE_SLACK_US (100 * 1000) /* the sidecar's grace period starts a little later */

/** struct run_until - context of time_reached(); @until_us: how long to run the daemons */
typedef struct
{
  const testbed_t *testbed;
  uint64_t until_us;
} run_until_t;

static bool
time_reached (void *context)
{
  const run_until_t *run_until = context;

  return clock_now_us (&run_until->testbed->router.daemon.clock) >= run_until->until_us;
}

/* A planned stop begins while a non-idempotent request waits for its claim. If the claim is granted
 * soon after, the request must run here. If it were refused, the release of its claim could reach
 * the log after the next sidecar's claim, and the caller would be told "may have run" although
 * nothing failed. */
static void
a_claim_granted_at_the_start_of_a_stop_runs (void)
{
  g_autoptr (testbed_t) testbed = testbed_new ();
  g_auto (testbed_answer_t) answer = { 0 };

  testbed->hold_claims = true;
  testbed_send (testbed, &BOOK, &answer);
  CU_ASSERT_TRUE_FATAL (testbed_wait_until (testbed, claim_held, testbed));
  uint32_t leaving = sidecar_index (testbed, testbed->held_claim_node);
  testbed_send_flag (&testbed->sidecars[leaving], MESSAGE_DRAIN, true);
  testbed_decide_claim (testbed);
  CU_ASSERT_TRUE (testbed_wait_until (testbed, testbed_is_done, &answer));
  CU_ASSERT_EQUAL (answer.status, 200);
  CU_ASSERT_EQUAL (testbed->engines[leaving].request_count, 1);
  CU_ASSERT_EQUAL (testbed_count_received (testbed), 1);
}

/* The host begins to leave while an admitted non-idempotent request waits for its claim, and a slow
 * log grants the claim after the grace period. The request must not start on the leaving engine.
 * The claim is released as not run, and another engine runs the request once. */
static void
a_claim_granted_late_does_not_run_on_a_leaving_host (void)
{
  g_autoptr (testbed_t) testbed = testbed_new ();
  g_auto (testbed_answer_t) answer = { 0 };
  run_until_t run_until;

  testbed->hold_claims = true;
  testbed_send (testbed, &BOOK, &answer);
  CU_ASSERT_TRUE_FATAL (testbed_wait_until (testbed, claim_held, testbed));
  uint32_t leaving = sidecar_index (testbed, testbed->held_claim_node);
  testbed_send_flag (&testbed->sidecars[leaving], MESSAGE_DRAIN, true);
  run_until = (run_until_t){ testbed, clock_now_us (&testbed->router.daemon.clock) +
                                          LIMIT_LEAVING_GRACE_US + GRACE_SLACK_US };
  CU_ASSERT_TRUE (testbed_wait_until (testbed, time_reached, &run_until));
  testbed_decide_claim (testbed);
  CU_ASSERT_TRUE (testbed_wait_until (testbed, testbed_is_done, &answer));
  CU_ASSERT_EQUAL (answer.status, 200);
  CU_ASSERT_EQUAL (testbed->engines[leaving].request_count, 0);
  CU_ASSERT_EQUAL (testbed_count_received (testbed), 1);
}

#define MOVED_ENGINES_PATCH                                                                        \
  "{\"services\":{\"pool\":{\"engines\":[\"e9\"]},"                                                \
  "\"desk\":{\"kind\":\"plain\",\"engines\":[\"e0\",\"e1\",\"e2\"]}}}"

static manifest_t *
moved_manifest (const testbed_t *testbed)
{
  json_t *patch = json_loads (MOVED_ENGINES_PATCH, 0, NULL);
  manifest_t *manifest = manifest_patch (testbed->manifest, patch, NULL);

  g_assert (manifest != NULL);
  manifest->version = testbed->manifest->version + 1;
  json_decref (patch);
  return manifest;
}

static bool
queued_requests_refused (void *context)
{
  const testbed_burst_t *burst = context;

  return testbed_burst_count_open (burst) == testbed_count_received (burst->testbed);
}

/* Requests are queued at the sidecars when a new version moves their engines to another service.
 * The engines may serve another model from then on, so queued requests must be refused as not run;
 * running ones continue. */
static void
an_engine_moved_to_another_service_refuses_queued_requests (void)
{
  g_autoptr (testbed_t) testbed = testbed_new ();
  testbed_burst_t burst = { .testbed = testbed };

  CU_ASSERT_TRUE (testbed_burst_start (&burst, &LOOK));
  uint32_t runs = testbed_count_received (testbed);
  testbed_set_manifest (testbed, moved_manifest (testbed));
  CU_ASSERT_TRUE (testbed_wait_until (testbed, queued_requests_refused, &burst));
  CU_ASSERT_EQUAL (testbed_count_received (testbed), runs);
  for (uint32_t i = 0; i < TESTBED_BURST_REQUESTS; i++)
    {
      if (burst.answers[i].done)
        CU_ASSERT_STRING_EQUAL (burst.answers[i].verdict, "not_run");
      testbed_answer_clear (&burst.answers[i]);
    }
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "a claim granted at the start of a stop runs", a_claim_granted_at_the_start_of_a_stop_runs },
    { "a claim granted late does not run on a leaving host",
      a_claim_granted_late_does_not_run_on_a_leaving_host },
    { "an engine moved to another service refuses queued requests",
      an_engine_moved_to_another_service_refuses_queued_requests },
    CU_TEST_INFO_NULL,
  };

  log_init ("test-path-closed", "test", LOG_LEVEL_DEBUG);
  return suite_run ("path closed", tests);
}
