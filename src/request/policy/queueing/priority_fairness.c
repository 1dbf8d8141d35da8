#include "request/policy/queueing/priority_fairness.h"

#define MILLI 1000
/* Counts decay in steps of 1/12, eight per half-life: (11/12)^8 is about 1/2. */
#define STEP_US (PRIORITY_FAIRNESS_HALF_LIFE_US / 8)
#define STEP_DIVISOR 12
#define CLEAR_US (PRIORITY_FAIRNESS_HALF_LIFE_US * 16)

static uint32_t
level_of (uint32_t priority)
{
  return priority < PRIORITY_FAIRNESS_LEVELS ? priority : PRIORITY_FAIRNESS_LEVELS - 1;
}

static void
decay_step (priority_fairness_t *fairness)
{
  for (uint32_t i = 0; i < PRIORITY_FAIRNESS_LEVELS; i++)
    {
      fairness->asked_milli[i] -= fairness->asked_milli[i] / STEP_DIVISOR;
      fairness->started_milli[i] -= fairness->started_milli[i] / STEP_DIVISOR;
    }
}

static void
decay (priority_fairness_t *fairness, uint64_t now_us)
{
  if (now_us >= fairness->counted_us + CLEAR_US)
    *fairness = (priority_fairness_t){ .counted_us = now_us };
  for (; now_us >= fairness->counted_us + STEP_US; fairness->counted_us += STEP_US)
    decay_step (fairness);
}

void
priority_fairness_record (priority_fairness_t *fairness,
                          uint64_t now_us,
                          uint32_t priority,
                          bool started)
{
  uint32_t level = level_of (priority);

  decay (fairness, now_us);
  fairness->asked_milli[level] += MILLI;
  if (started)
    fairness->started_milli[level] += MILLI;
}

static uint32_t
share_milli (uint64_t started_milli, uint64_t asked_milli)
{
  return asked_milli > 0 ? (uint32_t)(started_milli * MILLI / asked_milli) : MILLI;
}

priority_fairness_decision_t
priority_fairness_decide (const priority_fairness_t *fairness, uint32_t priority)
{
  uint32_t level = level_of (priority);
  uint32_t own_milli = share_milli (fairness->started_milli[level], fairness->asked_milli[level]);
  uint32_t compared = 0;
  uint32_t behind = 0;

  for (uint32_t i = 0; i < level; i++)
    {
      uint32_t other_milli = share_milli (fairness->started_milli[i], fairness->asked_milli[i]);

      if (fairness->asked_milli[i] < PRIORITY_FAIRNESS_COUNT_MIN_MILLI)
        continue;
      compared++;
      if (own_milli > other_milli && own_milli >= PRIORITY_FAIRNESS_YIELD_MIN_MILLI)
        return PRIORITY_FAIRNESS_YIELD;
      behind += own_milli + PRIORITY_FAIRNESS_DIFFERENCE_MILLI * (level - i) < other_milli ? 1 : 0;
    }
  return compared > 0 && behind == compared ? PRIORITY_FAIRNESS_FIRST : PRIORITY_FAIRNESS_IN_ORDER;
}

uint32_t
priority_fairness_started_milli (const priority_fairness_t *fairness)
{
  uint64_t asked_milli = 0;
  uint64_t started_milli = 0;

  for (uint32_t i = 0; i < PRIORITY_FAIRNESS_LEVELS; i++)
    {
      asked_milli += fairness->asked_milli[i];
      started_milli += fairness->started_milli[i];
    }
  return asked_milli >= PRIORITY_FAIRNESS_COUNT_MIN_MILLI ? share_milli (started_milli, asked_milli)
                                                          : MILLI;
}

uint64_t
priority_fairness_count_milli (const priority_fairness_t *fairness)
{
  uint64_t asked_milli = 0;

  for (uint32_t i = 0; i < PRIORITY_FAIRNESS_LEVELS; i++)
    asked_milli += fairness->asked_milli[i];
  return asked_milli;
}
