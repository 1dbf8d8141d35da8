#include "testbed_burst.h"
#include "suite.h"

#include "request/policy/digests/digest.h"

#include <string.h>

static const testbed_request_t LOOK = { .path = "/look" };

static bool
all_done (void *context)
{
  return testbed_burst_count_open (context) == 0;
}

static uint32_t
count_answers (const testbed_burst_t *burst, int status, const char *verdict)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < TESTBED_BURST_REQUESTS; i++)
    count += burst->answers[i].status == status && strcmp (burst->answers[i].verdict, verdict) == 0;
  return count;
}

/* A caller sends many copies of one request; some run and some are queued. Then the sidecars
 * receive a mark that the request has crashed two other engines. The queued copies were checked
 * before that, and must not run and crash a third engine: they are checked again when it is their
 * turn, and refused permanently as not run. */
static void
a_queued_copy_is_checked_again_before_it_runs (void)
{
  uint64_t fingerprint = digest_fingerprint ("first", digest_request ("GET", LOOK.path, NULL, 0));
  g_autoptr (testbed_t) testbed = testbed_new ();
  testbed_burst_t burst = { .testbed = testbed };

  CU_ASSERT_TRUE (testbed_burst_start (&burst, &LOOK));
  uint32_t runs = testbed_count_received (testbed);
  for (uint32_t i = 0; i < TESTBED_SIDECARS; i++)
    {
      message_crash_marks_t *marks = message_new (MESSAGE_CRASH_MARKS);

      marks->count = 1;
      marks->marks[0] = (suspect_mark_t){ .fingerprint = fingerprint, .engines = { 71, 72 } };
      mailbox_send (testbed->sidecars[i].daemon.to_data, &marks->head);
    }
  CU_ASSERT_TRUE (testbed_wait_until (testbed, testbed_burst_is_queued, &burst));
  for (uint32_t i = 0; i < TESTBED_SIDECARS; i++)
    testbed_release (&testbed->engines[i]);
  CU_ASSERT_TRUE (testbed_wait_until (testbed, all_done, &burst));
  CU_ASSERT_EQUAL (testbed_count_received (testbed), runs);
  CU_ASSERT_EQUAL (count_answers (&burst, 200, "ran"), runs);
  CU_ASSERT_TRUE (count_answers (&burst, 422, "not_run") > 0);
  for (uint32_t i = 0; i < TESTBED_BURST_REQUESTS; i++)
    testbed_answer_clear (&burst.answers[i]);
}

static uint64_t
refusals (testbed_node_t *sidecar, const char *reason)
{
  g_autofree char *name = g_strdup_printf ("medlarplank_refusals_total{reason=\"%s\"}", reason);

  return counter_value (counter_get (sidecar->daemon.counters, name, ""));
}

static bool
queue_is_empty (void *context)
{
  return testbed_count_queued (context) == 0;
}

/* An engine crashes while copies of one request run on it and others are queued for it. The queued
 * ones must be refused for the crash, not as for an engine that is merely down: only then does the
 * router pass the crash on to the next sidecar, and count it towards the limit of two engines for
 * one request. */
static void
a_queued_copy_reports_the_crash_of_its_engine (void)
{
  g_autoptr (testbed_t) testbed = testbed_new ();
  testbed_burst_t burst = { .testbed = testbed };
  uint32_t crashed = 0;

  CU_ASSERT_TRUE (testbed_burst_start (&burst, &LOOK));
  while (testbed_count_queued (&testbed->sidecars[crashed]) == 0)
    crashed++;
  uint64_t waited = testbed_count_queued (&testbed->sidecars[crashed]);
  testbed_crash (&testbed->engines[crashed]);
  CU_ASSERT_TRUE (testbed_wait_until (testbed, queue_is_empty, &testbed->sidecars[crashed]));
  CU_ASSERT_TRUE (refusals (&testbed->sidecars[crashed], "suspect_here") >= waited);
  CU_ASSERT_EQUAL (refusals (&testbed->sidecars[crashed], "no_engine"), 0);
  for (uint32_t i = 0; i < TESTBED_BURST_REQUESTS; i++)
    testbed_answer_clear (&burst.answers[i]);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "a queued copy is checked again before it runs",
      a_queued_copy_is_checked_again_before_it_runs },
    { "a queued copy reports the crash of its engine",
      a_queued_copy_reports_the_crash_of_its_engine },
    CU_TEST_INFO_NULL,
  };

  log_init ("test-path-copies", "test", LOG_LEVEL_DEBUG);
  return suite_run ("path copies", tests);
}
