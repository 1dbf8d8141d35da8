#include "path_fleet.h"
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

#define MANY 60
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

/** struct crowd - requests of a service whose engines are given to another one meanwhile */
typedef struct
{
  pfl_t *fleet;
  pfl_answer_t answers[MANY];
} crowd_t;

static uint32_t
open_count (const crowd_t *crowd)
{
  uint32_t open = 0;

  for (uint32_t i = 0; i < MANY; i++)
    open += !crowd->answers[i].done;
  return open;
}

static bool
rest_refused (void *context)
{
  const crowd_t *crowd = context;

  return open_count (crowd) == pfl_runs (crowd->fleet);
}

/* rest_waits() - all that were neither passed to an engine nor refused wait at a sidecar */
static bool
rest_waits (void *context)
{
  const crowd_t *crowd = context;
  uint64_t waiting = 0;

  for (uint32_t i = 0; i < PFL_SIDECARS; i++)
    waiting +=
        cnt_value (cnt_get (crowd->fleet->sidecars[i].dmn.counters, "medlarplank_waiting", ""));
  return waiting > 0 && open_count (crowd) == pfl_runs (crowd->fleet) + waiting;
}

/* Lookups wait at the sidecars when a new version gives their engines to another service. Whatever
 * the engines load now, it is not what these callers asked for: those that wait are refused as not
 * run, those that run go on. */
static void
a_moved_engine_starts_nothing_that_waited (void)
{
  g_autoptr (pfl_t) fleet = pfl_new ();
  crowd_t crowd = { .fleet = fleet };

  pfl_set_all (fleet, PFL_HANG);
  for (uint32_t i = 0; i < MANY; i++)
    pfl_send (fleet, &LOOK, &crowd.answers[i]);
  CU_ASSERT_TRUE (pfl_until (fleet, rest_waits, &crowd));
  uint32_t runs = pfl_runs (fleet);
  pfl_set_man (fleet, moved_manifest (fleet));
  CU_ASSERT_TRUE (pfl_until (fleet, rest_refused, &crowd));
  CU_ASSERT_EQUAL (pfl_runs (fleet), runs);
  for (uint32_t i = 0; i < MANY; i++)
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
