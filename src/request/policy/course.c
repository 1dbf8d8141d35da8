#include "request/policy/course.h"

void
crs_init (crs_t *crs, const crs_rules_t *rules)
{
  *crs = (crs_t){ .rules = *rules };
}

/* Return: whether the request may be sent again after @ran engines may have executed it */
static bool
may_rerun (const crs_rules_t *rules, uint32_t ran, bool begun)
{
  if (ran >= rules->attempts)
    return false;
  return rules->resumable || (rules->idempotent && !begun);
}

bool
crs_may_leave (const crs_t *crs, bool begun)
{
  return may_rerun (&crs->rules, crs->ran + 1, begun);
}

static bool
may_repeat (const crs_t *crs, crs_outcome_t outcome)
{
  bool runs_left = crs->ran < crs->rules.attempts;

  switch (outcome)
    {
    case CRS_NOT_RUN:
      return crs->refused < CRS_REFUSALS && runs_left;
    case CRS_FULL:
      return crs->full < CRS_FULL_MOST && runs_left;
    case CRS_UNSENT:
      return crs->unsent < CRS_UNSENT_MOST && runs_left;
    case CRS_UNKNOWN:
    case CRS_FAILED:
    case CRS_BROKE:
      break;
    }
  return may_rerun (&crs->rules, crs->ran, outcome == CRS_BROKE);
}

static crs_step_t
final_step (const crs_t *crs, crs_outcome_t outcome)
{
  switch (outcome)
    {
    case CRS_FAILED:
      return CRS_PASS;
    case CRS_BROKE:
      return CRS_CUT;
    case CRS_NOT_RUN:
    case CRS_FULL:
    case CRS_UNSENT:
      return crs->ran == 0 ? CRS_REFUSE : CRS_FAIL;
    case CRS_UNKNOWN:
      break;
    }
  return CRS_FAIL;
}

static void
count_outcome (crs_t *crs, crs_outcome_t outcome)
{
  switch (outcome)
    {
    case CRS_NOT_RUN:
      crs->refused++;
      return;
    case CRS_FULL:
      crs->full++;
      return;
    case CRS_UNSENT:
      crs->unsent++;
      return;
    case CRS_UNKNOWN:
    case CRS_FAILED:
    case CRS_BROKE:
      crs->ran++;
      return;
    }
}

crs_step_t
crs_next (crs_t *crs,
          crs_outcome_t outcome,
          uint64_t left_us,
          bool (*may_retry) (void *context),
          void *context)
{
  count_outcome (crs, outcome);
  if (left_us < CRS_LEAST_US || !may_repeat (crs, outcome))
    return final_step (crs, outcome);
  if (outcome == CRS_UNSENT)
    return CRS_AGAIN;
  crs->retry_due = true;
  if (may_retry (context))
    return outcome == CRS_BROKE ? CRS_RESUME : CRS_AGAIN;
  return outcome == CRS_FULL ? CRS_WAIT : final_step (crs, outcome);
}

bool
crs_sends (crs_t *crs)
{
  bool is_retry = crs->retry_due;

  crs->retry_due = false;
  return is_retry;
}
