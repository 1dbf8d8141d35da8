#include "request/policy/retries/retry_plan.h"

void
retry_plan_init (retry_plan_t *retry_plan, const retry_plan_rules_t *rules)
{
  *retry_plan = (retry_plan_t){ .rules = *rules };
}

/* Return: whether the request may be sent again after @ran engines may have executed it */
static bool
may_rerun (const retry_plan_rules_t *rules, uint32_t ran, bool begun)
{
  if (ran >= rules->max_runs)
    return false;
  return rules->resumable || (rules->idempotent && !begun);
}

bool
retry_plan_may_continue (const retry_plan_t *retry_plan)
{
  return retry_plan->has_copy && retry_plan->continued < RETRY_PLAN_COPIES_MAX;
}

bool
retry_plan_may_move (const retry_plan_t *retry_plan, bool begun)
{
  return retry_plan_may_continue (retry_plan) ||
         may_rerun (&retry_plan->rules, retry_plan->ran + 1, begun);
}

bool
retry_plan_may_rerun (const retry_plan_t *retry_plan, bool begun)
{
  return may_rerun (&retry_plan->rules, retry_plan->ran + 1, begun);
}

void
retry_plan_set_copy (retry_plan_t *retry_plan, bool has_copy)
{
  retry_plan->has_copy = has_copy;
}

void
retry_plan_note_given_up (retry_plan_t *retry_plan)
{
  retry_plan->was_given_up = true;
}

void
retry_plan_forbid_rerun (retry_plan_t *retry_plan)
{
  retry_plan->has_copy = false;
  if (retry_plan->rules.max_runs > retry_plan->ran + 1)
    retry_plan->rules.max_runs = retry_plan->ran + 1;
}

static bool
may_repeat (const retry_plan_t *retry_plan, retry_plan_outcome_t outcome)
{
  bool runs_left = retry_plan->ran < retry_plan->rules.max_runs;

  switch (outcome)
    {
    case RETRY_PLAN_OUTCOME_NOT_RUN:
      return retry_plan->rejected < RETRY_PLAN_REJECTIONS_MAX && runs_left;
    case RETRY_PLAN_OUTCOME_FULL:
      return retry_plan->rejected_full < RETRY_PLAN_FULL_MAX && runs_left;
    case RETRY_PLAN_OUTCOME_UNSENT:
      return retry_plan->unsent < RETRY_PLAN_UNSENT_MAX && runs_left;
    case RETRY_PLAN_OUTCOME_UNKNOWN:
    case RETRY_PLAN_OUTCOME_FAILED:
    case RETRY_PLAN_OUTCOME_BROKE_OFF:
      break;
    }
  return may_rerun (&retry_plan->rules, retry_plan->ran, outcome == RETRY_PLAN_OUTCOME_BROKE_OFF);
}

static retry_plan_step_t
final_step (const retry_plan_t *retry_plan, retry_plan_outcome_t outcome)
{
  switch (outcome)
    {
    case RETRY_PLAN_OUTCOME_FAILED:
      return RETRY_PLAN_STEP_PASS_ON;
    case RETRY_PLAN_OUTCOME_BROKE_OFF:
      return RETRY_PLAN_STEP_CUT_OFF;
    case RETRY_PLAN_OUTCOME_NOT_RUN:
    case RETRY_PLAN_OUTCOME_FULL:
    case RETRY_PLAN_OUTCOME_UNSENT:
      return retry_plan->ran == 0 ? RETRY_PLAN_STEP_REJECT : RETRY_PLAN_STEP_FAIL;
    case RETRY_PLAN_OUTCOME_UNKNOWN:
      break;
    }
  return RETRY_PLAN_STEP_FAIL;
}

static void
count_outcome (retry_plan_t *retry_plan, retry_plan_outcome_t outcome)
{
  switch (outcome)
    {
    case RETRY_PLAN_OUTCOME_NOT_RUN:
      retry_plan->rejected++;
      return;
    case RETRY_PLAN_OUTCOME_FULL:
      retry_plan->rejected_full++;
      return;
    case RETRY_PLAN_OUTCOME_UNSENT:
      retry_plan->unsent++;
      return;
    case RETRY_PLAN_OUTCOME_UNKNOWN:
    case RETRY_PLAN_OUTCOME_FAILED:
    case RETRY_PLAN_OUTCOME_BROKE_OFF:
      retry_plan->ran++;
      return;
    }
}

static bool
is_not_run (retry_plan_outcome_t outcome)
{
  return outcome == RETRY_PLAN_OUTCOME_NOT_RUN || outcome == RETRY_PLAN_OUTCOME_FULL ||
         outcome == RETRY_PLAN_OUTCOME_UNSENT;
}

/* Return: the outcome that decides what follows */
static retry_plan_outcome_t
take_outcome (retry_plan_t *retry_plan, retry_plan_outcome_t outcome)
{
  bool is_copy_missing = retry_plan->is_continuing && is_not_run (outcome);

  retry_plan->is_continuing = false;
  if (is_copy_missing)
    {
      retry_plan->has_copy = false;
      return retry_plan->lost;
    }
  count_outcome (retry_plan, outcome);
  return outcome;
}

static void
begin_continuing (retry_plan_t *retry_plan, retry_plan_outcome_t outcome)
{
  retry_plan->lost = outcome;
  retry_plan->is_continuing = true;
  retry_plan->has_copy = false;
  retry_plan->continued++;
}

void
retry_plan_continue (retry_plan_t *retry_plan, retry_plan_outcome_t outcome)
{
  outcome = take_outcome (retry_plan, outcome);
  retry_plan->retry_due = true;
  begin_continuing (retry_plan, outcome);
}

/* Engines that refuse, or take no connection, are asked again later: the attempt that was given up
 * can't be had back. */
static bool
must_wait (const retry_plan_t *retry_plan, retry_plan_outcome_t outcome)
{
  if (!retry_plan->was_given_up || outcome == RETRY_PLAN_OUTCOME_FAILED)
    return false;
  return is_not_run (outcome) ? retry_plan->ran < retry_plan->rules.max_runs
                              : may_rerun (&retry_plan->rules, retry_plan->ran,
                                           outcome == RETRY_PLAN_OUTCOME_BROKE_OFF);
}

static retry_plan_step_t
begin_waiting (retry_plan_t *retry_plan)
{
  retry_plan->rejected = 0;
  retry_plan->rejected_full = 0;
  retry_plan->unsent = 0;
  retry_plan->retry_due = true;
  return RETRY_PLAN_STEP_WAIT;
}

retry_plan_step_t
retry_plan_next (retry_plan_t *retry_plan,
                 retry_plan_outcome_t outcome,
                 uint64_t left_us,
                 bool (*may_retry) (void *context),
                 void *context)
{
  bool goes_on;

  outcome = take_outcome (retry_plan, outcome);
  goes_on = retry_plan_may_continue (retry_plan) && !is_not_run (outcome);
  if (left_us < RETRY_PLAN_MIN_TIME_US)
    return final_step (retry_plan, outcome);
  if (!goes_on && !may_repeat (retry_plan, outcome))
    return must_wait (retry_plan, outcome) ? begin_waiting (retry_plan)
                                           : final_step (retry_plan, outcome);
  if (outcome == RETRY_PLAN_OUTCOME_UNSENT)
    return RETRY_PLAN_STEP_RESEND;
  retry_plan->retry_due = true;
  if (!may_retry (context))
    return outcome == RETRY_PLAN_OUTCOME_FULL || must_wait (retry_plan, outcome)
               ? RETRY_PLAN_STEP_WAIT
               : final_step (retry_plan, outcome);
  if (goes_on)
    {
      begin_continuing (retry_plan, outcome);
      return RETRY_PLAN_STEP_CONTINUE;
    }
  return outcome == RETRY_PLAN_OUTCOME_BROKE_OFF ? RETRY_PLAN_STEP_RESUME : RETRY_PLAN_STEP_RESEND;
}

bool
retry_plan_note_send (retry_plan_t *retry_plan)
{
  bool is_retry = retry_plan->retry_due;

  retry_plan->retry_due = false;
  return is_retry;
}
