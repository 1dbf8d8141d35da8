#include "request/policy/odds.h"

#define MILLI 1000
/* Counts decay in steps of 1/12, eight per half-life: (11/12)^8 is about 1/2. */
#define STEP_US (ODD_HALF_US / 8)
#define STEP_DIVISOR 12
#define CLEAR_US (ODD_HALF_US * 16)

static uint32_t
level_of (uint32_t priority)
{
  return priority < ODD_LEVELS ? priority : ODD_LEVELS - 1;
}

static void
decay_step (odd_t *fairness)
{
  for (uint32_t i = 0; i < ODD_LEVELS; i++)
    {
      fairness->asked_milli[i] -= fairness->asked_milli[i] / STEP_DIVISOR;
      fairness->started_milli[i] -= fairness->started_milli[i] / STEP_DIVISOR;
    }
}

static void
decay (odd_t *fairness, uint64_t now_us)
{
  if (now_us >= fairness->counted_us + CLEAR_US)
    *fairness = (odd_t){ .counted_us = now_us };
  for (; now_us >= fairness->counted_us + STEP_US; fairness->counted_us += STEP_US)
    decay_step (fairness);
}

void
odd_note (odd_t *fairness, uint64_t now_us, uint32_t priority, bool started)
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

odd_turn_t
odd_turn (const odd_t *fairness, uint32_t priority)
{
  uint32_t level = level_of (priority);
  uint32_t own_milli = share_milli (fairness->started_milli[level], fairness->asked_milli[level]);
  uint32_t compared = 0;
  uint32_t behind = 0;

  for (uint32_t i = 0; i < level; i++)
    {
      uint32_t other_milli = share_milli (fairness->started_milli[i], fairness->asked_milli[i]);

      if (fairness->asked_milli[i] < ODD_ENOUGH_MILLI)
        continue;
      compared++;
      if (own_milli > other_milli && own_milli >= ODD_LEAST_MILLI)
        return ODD_GIVES_WAY;
      behind += own_milli + ODD_EDGE_MILLI * (level - i) < other_milli ? 1 : 0;
    }
  return compared > 0 && behind == compared ? ODD_FIRST : ODD_IN_TURN;
}

uint32_t
odd_share_milli (const odd_t *fairness)
{
  uint64_t asked_milli = 0;
  uint64_t started_milli = 0;

  for (uint32_t i = 0; i < ODD_LEVELS; i++)
    {
      asked_milli += fairness->asked_milli[i];
      started_milli += fairness->started_milli[i];
    }
  return asked_milli >= ODD_ENOUGH_MILLI ? share_milli (started_milli, asked_milli) : MILLI;
}

uint64_t
odd_asked_milli (const odd_t *fairness)
{
  uint64_t asked_milli = 0;

  for (uint32_t i = 0; i < ODD_LEVELS; i++)
    asked_milli += fairness->asked_milli[i];
  return asked_milli;
}
