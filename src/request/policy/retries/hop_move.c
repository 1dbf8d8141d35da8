#include "request/policy/retries/hop_move.h"

#include "request/policy/retries/retry_plan.h"

#include <glib.h>

#define MILLI 1000

hop_move_t
hop_move_decide (const hop_move_state_t *state)
{
  uint64_t needed_us = state->usual_us * HOP_MOVE_TIME_MILLI / MILLI;

  if (!state->may_move)
    return HOP_MOVE_NO_ATTEMPT;
  if (state->on_trial)
    return HOP_MOVE_ON_TRIAL;
  if (state->left_us < MAX (needed_us, RETRY_PLAN_MIN_TIME_US))
    return HOP_MOVE_NO_TIME;
  if (state->budget_wait_us > 0)
    return HOP_MOVE_NO_BUDGET;
  return state->has_successor (state->context) ? HOP_MOVE_NOW : HOP_MOVE_NO_ENGINE;
}

const char *
hop_move_to_string (hop_move_t hop_move)
{
  static const char *const words[] = {
    [HOP_MOVE_NOW] = "moved",           [HOP_MOVE_NO_ATTEMPT] = "no_attempt",
    [HOP_MOVE_ON_TRIAL] = "on_trial",   [HOP_MOVE_NO_TIME] = "no_time",
    [HOP_MOVE_NO_BUDGET] = "no_budget", [HOP_MOVE_NO_ENGINE] = "no_engine"
  };

  return words[hop_move];
}
