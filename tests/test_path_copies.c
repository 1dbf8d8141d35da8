#include "path_crowd.h"
#include "suite.h"

#include "request/policy/digest.h"

#include <string.h>

static const pfl_request_t LOOK = { .path = "/look" };

static bool
all_done (void *context)
{
  return pfl_open (context) == 0;
}

static uint32_t
count_answers (const pfl_crowd_t *crowd, int status, const char *verdict)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < PFL_CROWD; i++)
    count += crowd->answers[i].status == status && strcmp (crowd->answers[i].verdict, verdict) == 0;
  return count;
}

/* A caller sends one request many times over; some copies run, some wait. Then the sidecars hear
 * that it has crashed two engines elsewhere. The copies that wait were judged before that, but must
 * not go on to crash a third one: when there is room they are refused for good, as not run. */
static void
a_copy_that_waited_is_judged_again (void)
{
  uint64_t fingerprint = dgs_fingerprint ("first", dgs_body ("GET", LOOK.path, NULL, 0));
  g_autoptr (pfl_t) fleet = pfl_new ();
  pfl_crowd_t crowd = { .fleet = fleet };

  CU_ASSERT_TRUE (pfl_start_crowd (&crowd, &LOOK));
  uint32_t runs = pfl_runs (fleet);
  for (uint32_t i = 0; i < PFL_SIDECARS; i++)
    {
      msg_marks_t *marks = msg_new (MSG_MARKS);

      marks->count = 1;
      marks->marks[0] = (sus_mark_t){ .fingerprint = fingerprint, .engines = { 71, 72 } };
      mbx_send (fleet->sidecars[i].dmn.to_data, &marks->head);
    }
  CU_ASSERT_TRUE (pfl_until (fleet, pfl_rest_waits, &crowd));
  for (uint32_t i = 0; i < PFL_SIDECARS; i++)
    pfl_release (&fleet->engines[i]);
  CU_ASSERT_TRUE (pfl_until (fleet, all_done, &crowd));
  CU_ASSERT_EQUAL (pfl_runs (fleet), runs);
  CU_ASSERT_EQUAL (count_answers (&crowd, 200, "ran"), runs);
  CU_ASSERT_TRUE (count_answers (&crowd, 422, "not_run") > 0);
  for (uint32_t i = 0; i < PFL_CROWD; i++)
    pfl_answer_clear (&crowd.answers[i]);
}

static uint64_t
refusals (pfl_daemon_t *sidecar, const char *reason)
{
  g_autofree char *name = g_strdup_printf ("medlarplank_refusals_total{reason=\"%s\"}", reason);

  return cnt_value (cnt_get (sidecar->dmn.counters, name, ""));
}

static bool
none_waits (void *context)
{
  return pfl_waiting (context) == 0;
}

/* Copies of one request run on an engine when it crashes, and others wait for it. Those must not go
 * on as if the engine were just away: their routers hear that it crashed on them, tell the next
 * sidecar, and count towards the two engines that one request may cost. */
static void
a_copy_that_waited_carries_the_crash (void)
{
  g_autoptr (pfl_t) fleet = pfl_new ();
  pfl_crowd_t crowd = { .fleet = fleet };
  uint32_t crashed = 0;

  CU_ASSERT_TRUE (pfl_start_crowd (&crowd, &LOOK));
  while (pfl_waiting (&fleet->sidecars[crashed]) == 0)
    crashed++;
  uint64_t waited = pfl_waiting (&fleet->sidecars[crashed]);
  pfl_crash (&fleet->engines[crashed]);
  CU_ASSERT_TRUE (pfl_until (fleet, none_waits, &fleet->sidecars[crashed]));
  CU_ASSERT_TRUE (refusals (&fleet->sidecars[crashed], "suspect_here") >= waited);
  CU_ASSERT_EQUAL (refusals (&fleet->sidecars[crashed], "no_engine"), 0);
  for (uint32_t i = 0; i < PFL_CROWD; i++)
    pfl_answer_clear (&crowd.answers[i]);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "a copy that waited is judged again", a_copy_that_waited_is_judged_again },
    { "a copy that waited carries the crash", a_copy_that_waited_carries_the_crash },
    CU_TEST_INFO_NULL,
  };

  log_init ("test-path-copies", "test", LOG_LEVEL_DEBUG);
  return suite_run ("path copies", tests);
}
