/* Unit tests of what a request at a silent engine needs before it leaves it, and of what follows.
 */
#include "request/policy/retries/hop_move.h"
#include "request/policy/retries/retry_plan.h"
#include "suite.h"

#include <glib.h>

#define MS UINT64_C (1000)

/** struct successor - the answer to the question for another engine, and how often it was asked */
typedef struct
{
  bool is_there;
  uint32_t asked;
} successor_t;

static bool
has_successor (void *context)
{
  successor_t *successor = context;

  successor->asked++;
  return successor->is_there;
}

static hop_move_state_t
make_state (successor_t *successor)
{
  return (hop_move_state_t){ .may_move = true,
                             .left_us = 4000 * MS,
                             .usual_us = 60 * MS,
                             .has_successor = has_successor,
                             .context = successor };
}

/* Guards against requests that are kept at an engine that is lost though another could run them. */
static void
test_moves_when_all_is_there (void)
{
  successor_t successor = { .is_there = true };
  hop_move_state_t state = make_state (&successor);

  CU_ASSERT_EQUAL (hop_move_decide (&state), HOP_MOVE_NOW);
}

/* Guards against answers that are given up before it is certain that there will be another. */
static void
test_stays_while_anything_is_missing (void)
{
  successor_t successor = { .is_there = true };
  successor_t nobody = { .is_there = false };
  hop_move_state_t state = make_state (&nobody);

  CU_ASSERT_EQUAL (hop_move_decide (&state), HOP_MOVE_NO_ENGINE);
  state = make_state (&successor);
  state.may_move = false;
  CU_ASSERT_EQUAL (hop_move_decide (&state), HOP_MOVE_NO_ATTEMPT);
  state = make_state (&successor);
  state.on_trial = true;
  CU_ASSERT_EQUAL (hop_move_decide (&state), HOP_MOVE_ON_TRIAL);
  state = make_state (&successor);
  state.budget_wait_us = 1;
  CU_ASSERT_EQUAL (hop_move_decide (&state), HOP_MOVE_NO_BUDGET);
  state = make_state (&successor);
  state.left_us = state.usual_us;
  CU_ASSERT_EQUAL (hop_move_decide (&state), HOP_MOVE_NO_TIME);
  CU_ASSERT_EQUAL (successor.asked, 0);
}

/** struct plan_case - a request that was given up once, and how engines refuse it then */
typedef struct
{
  retry_plan_outcome_t refusal;
  uint32_t times;
} plan_case_t;

static bool
deny (void *context)
{
  (void)context;
  return false;
}

static bool
allow (void *context)
{
  (void)context;
  return true;
}

static retry_plan_t
make_plan (retry_plan_outcome_t outcome, bool given_up)
{
  retry_plan_t plan;

  retry_plan_init (&plan, &(retry_plan_rules_t){ .resumable = true, .max_runs = 2 });
  if (given_up)
    retry_plan_note_given_up (&plan);
  CU_ASSERT_NOT_EQUAL (retry_plan_next (&plan, outcome, 4000 * MS, allow, NULL),
                       RETRY_PLAN_STEP_FAIL);
  return plan;
}

/* Guards against requests that end as the engine after a silent one refuses them. */
static void
test_given_up_request_waits_after_refusals (void)
{
  static const plan_case_t cases[] = { { RETRY_PLAN_OUTCOME_NOT_RUN, RETRY_PLAN_REJECTIONS_MAX },
                                       { RETRY_PLAN_OUTCOME_FULL, RETRY_PLAN_FULL_MAX },
                                       { RETRY_PLAN_OUTCOME_UNSENT, RETRY_PLAN_UNSENT_MAX } };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      retry_plan_t plan = make_plan (RETRY_PLAN_OUTCOME_BROKE_OFF, true);
      retry_plan_step_t step = RETRY_PLAN_STEP_RESEND;

      for (uint32_t time = 0; time < cases[i].times; time++)
        step = retry_plan_next (&plan, cases[i].refusal, 3000 * MS, allow, NULL);
      CU_ASSERT_EQUAL (step, RETRY_PLAN_STEP_WAIT);
      CU_ASSERT_EQUAL (plan.ran, 1);
      CU_ASSERT_TRUE (retry_plan_note_send (&plan));
    }
}

/* Guards against requests that end as the budget is spent when the next engine refuses them. */
static void
test_given_up_request_waits_for_the_budget (void)
{
  retry_plan_t plan = make_plan (RETRY_PLAN_OUTCOME_UNKNOWN, true);

  CU_ASSERT_EQUAL (retry_plan_next (&plan, RETRY_PLAN_OUTCOME_NOT_RUN, 3000 * MS, deny, NULL),
                   RETRY_PLAN_STEP_WAIT);
}

/* Guards against more runs than the route allows. */
static void
test_given_up_request_has_no_more_runs (void)
{
  retry_plan_t plan = make_plan (RETRY_PLAN_OUTCOME_BROKE_OFF, true);

  CU_ASSERT_EQUAL (retry_plan_next (&plan, RETRY_PLAN_OUTCOME_BROKE_OFF, 3000 * MS, allow, NULL),
                   RETRY_PLAN_STEP_CUT_OFF);
  CU_ASSERT_EQUAL (retry_plan_next (&plan, RETRY_PLAN_OUTCOME_NOT_RUN, 3000 * MS, allow, NULL),
                   RETRY_PLAN_STEP_FAIL);
}

/* Guards against waits of requests whose engine has ended, which can't be answered in time. */
static void
test_others_end_after_refusals (void)
{
  retry_plan_t plan = make_plan (RETRY_PLAN_OUTCOME_UNKNOWN, false);

  CU_ASSERT_EQUAL (retry_plan_next (&plan, RETRY_PLAN_OUTCOME_NOT_RUN, 3000 * MS, deny, NULL),
                   RETRY_PLAN_STEP_FAIL);
}

/* Guards against a request that waits without time for another engine. */
static void
test_no_wait_without_time (void)
{
  retry_plan_t plan = make_plan (RETRY_PLAN_OUTCOME_UNKNOWN, true);

  CU_ASSERT_EQUAL (retry_plan_next (&plan, RETRY_PLAN_OUTCOME_NOT_RUN, 0, allow, NULL),
                   RETRY_PLAN_STEP_FAIL);
}

int
main (void)
{
  static const CU_TestInfo tests[] = { SUITE_TEST (test_moves_when_all_is_there),
                                       SUITE_TEST (test_stays_while_anything_is_missing),
                                       SUITE_TEST (test_given_up_request_waits_after_refusals),
                                       SUITE_TEST (test_given_up_request_waits_for_the_budget),
                                       SUITE_TEST (test_given_up_request_has_no_more_runs),
                                       SUITE_TEST (test_others_end_after_refusals),
                                       SUITE_TEST (test_no_wait_without_time),
                                       CU_TEST_INFO_NULL };

  return suite_run ("hop_move", tests);
}
