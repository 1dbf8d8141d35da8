/* Tests of answers at engines that are silent for a while, over fleets of 1 to 880 gateways. */
#include "silence_fleet.h"
#include "suite.h"

#include <glib.h>
#include <stdio.h>

#define SIZES 7
#define LARGE_SIZE 3 /* index from which on gateways have engines enough for a series of moves */

static const uint32_t gateways[SIZES] = { 1, 2, 6, 22, 100, 385, 880 };
static const char *const names[] = { "one", "some", "all", "in turn", "dead", "follows" };

/* The slack grows with the fleet as operators configure it. */
static silence_fleet_result_t
play_attempts (uint32_t size, silence_fleet_fault_t fault, bool leaves_at_once, uint32_t attempts)
{
  uint32_t count = gateways[size];
  silence_fleet_result_t result = silence_fleet_play (
      &(silence_fleet_options_t){ .gateways = count,
                                  .engines = count == 2 ? 3 : 3 + count * 42 / 10,
                                  .per_s = count <= 100 ? 40 : 8,
                                  .attempts = attempts,
                                  .slack = 44 + count * 26 / 10,
                                  .fault = fault,
                                  .leaves_at_once = leaves_at_once,
                                  .seed = 1 });

  printf ("gateways=%u fault=%s before=%s attempts=%u requests=%u lost=%u lost_at_dead=%u "
          "refused=%u moved=%u most=%u leave_ms=%u over_budget=%" G_GINT64_FORMAT "\n",
          count, names[fault], leaves_at_once ? "yes" : "no", attempts, result.requests,
          result.lost, result.lost_at_dead, result.refused, result.moved, result.moved_most,
          result.leave_ms, result.over_budget);
  return result;
}

static silence_fleet_result_t
play (uint32_t size, silence_fleet_fault_t fault, bool leaves_at_once)
{
  return play_attempts (size, fault, leaves_at_once, 2);
}

static void
check_nothing_lost (silence_fleet_fault_t fault)
{
  for (uint32_t size = 0; size < SIZES; size++)
    {
      silence_fleet_result_t result = play (size, fault, false);

      CU_ASSERT_EQUAL (result.lost, 0);
      CU_ASSERT_EQUAL (result.refused, 0);
      CU_ASSERT (result.over_budget <= 0);
    }
}

/* Guards against answers that end as one engine of a service is silent for two seconds. */
static void
test_one_silent_engine_costs_no_answer (void)
{
  check_nothing_lost (SILENCE_FLEET_ONE);
}

/* Guards against answers that end as the rest of the engines or the budget can't take them all. */
static void
test_some_silent_engines_cost_no_answer (void)
{
  check_nothing_lost (SILENCE_FLEET_SOME);
}

/* Guards against answers that end as no other engine answers either. */
static void
test_silence_of_all_engines_costs_no_answer (void)
{
  check_nothing_lost (SILENCE_FLEET_ALL);
}

/* Guards against requests that have no attempt left when the next engine is silent in its turn. */
static void
test_silences_in_turn_cost_no_answer (void)
{
  check_nothing_lost (SILENCE_FLEET_IN_TURN);
}

/* Guards against requests that are lost in a series of silences, as each engine that they move to
 * falls silent, until their routes allow no other. */
static void
test_silences_that_follow_cost_no_answer (void)
{
  for (uint32_t size = 0; size < SIZES; size++)
    for (uint32_t attempts = 2; attempts <= SILENCE_FLEET_ATTEMPTS_MAX; attempts++)
      {
        silence_fleet_result_t result =
            play_attempts (size, SILENCE_FLEET_FOLLOWS, false, attempts);

        CU_ASSERT_EQUAL (result.lost, 0);
        CU_ASSERT_EQUAL (result.refused, 0);
        CU_ASSERT (result.over_budget <= 0);
        CU_ASSERT (size < LARGE_SIZE || result.moved_most == attempts - 1);
      }
}

/* Guards against requests that stay longer at a dead host, as they wait for certainty. */
static void
test_dead_hosts_are_left_in_time (void)
{
  for (uint32_t size = 0; size < SIZES; size++)
    {
      silence_fleet_result_t before = play (size, SILENCE_FLEET_DEAD, true);
      silence_fleet_result_t result = play (size, SILENCE_FLEET_DEAD, false);

      CU_ASSERT_EQUAL (result.lost, result.lost_at_dead);
      CU_ASSERT_EQUAL (result.refused, 0);
      CU_ASSERT (result.over_budget <= 0);
      CU_ASSERT (result.leave_ms <= before.leave_ms);
    }
}

/* Guards against a play that would not show the failure: it must lose answers where attempts are
 * left at once. A gateway that is alone has retries enough for all that it has in hand. */
static void
test_leaving_at_once_loses_answers (void)
{
  for (uint32_t size = 1; size < SIZES; size++)
    {
      CU_ASSERT (play (size, SILENCE_FLEET_ALL, true).lost > 0);
      CU_ASSERT (size < LARGE_SIZE ||
                 play_attempts (size, SILENCE_FLEET_FOLLOWS, true, 2).lost > 0);
    }
}

int
main (void)
{
  static const CU_TestInfo tests[] = { SUITE_TEST (test_one_silent_engine_costs_no_answer),
                                       SUITE_TEST (test_some_silent_engines_cost_no_answer),
                                       SUITE_TEST (test_silence_of_all_engines_costs_no_answer),
                                       SUITE_TEST (test_silences_in_turn_cost_no_answer),
                                       SUITE_TEST (test_silences_that_follow_cost_no_answer),
                                       SUITE_TEST (test_dead_hosts_are_left_in_time),
                                       SUITE_TEST (test_leaving_at_once_loses_answers),
                                       CU_TEST_INFO_NULL };

  return suite_run ("silence fleet", tests);
}
