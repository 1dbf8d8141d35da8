#include "path_crowd.h"
#include "suite.h"

#include <string.h>

static const pfl_request_t BOOK = { .path = "/book", .body = "lot 7", .idempotency_key = "key 1" };
static const pfl_request_t LOOK = { .path = "/look" };

static bool
claim_held (void *context)
{
  const pfl_t *fleet = context;

  return fleet->held_by != NULL;
}

static uint32_t
sidecar_of (const pfl_t *fleet, const pfl_daemon_t *daemon)
{
  return (uint32_t)(daemon - fleet->sidecars);
}

#define GRACE_SLACK_US (100 * 1000) /* the host hears of its stop a little later */

/** struct later - until when to let the daemons run */
typedef struct
{
  const pfl_t *fleet;
  uint64_t until_us;
} later_t;

static bool
is_later (void *context)
{
  const later_t *later = context;

  return clk_now_us (&later->fleet->router.dmn.clk) >= later->until_us;
}

/* A booking waits for the log to judge its claim when a planned stop begins. Granted at once, it
 * runs here: given back instead, the release of its claim may reach the log after the next
 * sidecar's claim, and the caller hears "may have run" though nothing failed. */
static void
a_grant_at_the_start_of_a_stop_runs (void)
{
  g_autoptr (pfl_t) fleet = pfl_new ();
  g_auto (pfl_answer_t) answer = { 0 };

  fleet->log_slow = true;
  pfl_send (fleet, &BOOK, &answer);
  CU_ASSERT_TRUE_FATAL (pfl_until (fleet, claim_held, fleet));
  uint32_t leaving = sidecar_of (fleet, fleet->held_by);
  pfl_flag (&fleet->sidecars[leaving], MSG_DRAIN, true);
  pfl_judge (fleet);
  CU_ASSERT_TRUE (pfl_until (fleet, pfl_done, &answer));
  CU_ASSERT_EQUAL (answer.status, 200);
  CU_ASSERT_EQUAL (fleet->engines[leaving].run_count, 1);
  CU_ASSERT_EQUAL (pfl_runs (fleet), 1);
}

/* A booking was admitted and waits for a slow log to judge its claim when its host begins to leave.
 * Granted seconds later, it must not go to the engine that leaves: it is released there as not run,
 * and another engine runs it once. */
static void
a_late_grant_starts_nothing_on_a_leaving_host (void)
{
  g_autoptr (pfl_t) fleet = pfl_new ();
  g_auto (pfl_answer_t) answer = { 0 };
  later_t later;

  fleet->log_slow = true;
  pfl_send (fleet, &BOOK, &answer);
  CU_ASSERT_TRUE_FATAL (pfl_until (fleet, claim_held, fleet));
  uint32_t leaving = sidecar_of (fleet, fleet->held_by);
  pfl_flag (&fleet->sidecars[leaving], MSG_DRAIN, true);
  later = (later_t){ fleet,
                     clk_now_us (&fleet->router.dmn.clk) + LIM_LEAVING_GRACE_US + GRACE_SLACK_US };
  CU_ASSERT_TRUE (pfl_until (fleet, is_later, &later));
  pfl_judge (fleet);
  CU_ASSERT_TRUE (pfl_until (fleet, pfl_done, &answer));
  CU_ASSERT_EQUAL (answer.status, 200);
  CU_ASSERT_EQUAL (fleet->engines[leaving].run_count, 0);
  CU_ASSERT_EQUAL (pfl_runs (fleet), 1);
}

#define MOVED                                                                                      \
  "{\"services\":{\"pool\":{\"engines\":[\"e9\"]},"                                                \
  "\"desk\":{\"kind\":\"plain\",\"engines\":[\"e0\",\"e1\",\"e2\"]}}}"

static man_t *
moved_manifest (const pfl_t *fleet)
{
  json_t *patch = json_loads (MOVED, 0, NULL);
  man_t *man = man_patch (fleet->man, patch, NULL);

  g_assert (man != NULL);
  man->version = fleet->man->version + 1;
  json_decref (patch);
  return man;
}

static bool
rest_refused (void *context)
{
  const pfl_crowd_t *crowd = context;

  return pfl_open (crowd) == pfl_runs (crowd->fleet);
}

/* Lookups wait at the sidecars when a new version gives their engines to another service. Whatever
 * the engines load now, it is not what these callers asked for: those that wait are refused as not
 * run, those that run go on. */
static void
a_moved_engine_starts_nothing_that_waited (void)
{
  g_autoptr (pfl_t) fleet = pfl_new ();
  pfl_crowd_t crowd = { .fleet = fleet };

  CU_ASSERT_TRUE (pfl_start_crowd (&crowd, &LOOK));
  uint32_t runs = pfl_runs (fleet);
  pfl_set_man (fleet, moved_manifest (fleet));
  CU_ASSERT_TRUE (pfl_until (fleet, rest_refused, &crowd));
  CU_ASSERT_EQUAL (pfl_runs (fleet), runs);
  for (uint32_t i = 0; i < PFL_CROWD; i++)
    {
      if (crowd.answers[i].done)
        CU_ASSERT_STRING_EQUAL (crowd.answers[i].verdict, "not_run");
      pfl_answer_clear (&crowd.answers[i]);
    }
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "a grant at the start of a stop runs", a_grant_at_the_start_of_a_stop_runs },
    { "a late grant starts nothing on a leaving host",
      a_late_grant_starts_nothing_on_a_leaving_host },
    { "a moved engine starts nothing that waited", a_moved_engine_starts_nothing_that_waited },
    CU_TEST_INFO_NULL,
  };

  log_init ("test-path-closed", "test", LOG_LEVEL_DEBUG);
  return suite_run ("path closed", tests);
}
