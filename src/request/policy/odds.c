#include "request/policy/odds.h"

#define MILLI 1000
/* A count fades in steps: eight in a half-life, of a twelfth each. */
#define STEP_US (ODD_HALF_US / 8)
#define STEP_PART 12
#define FORGET_US (ODD_HALF_US * 16)

static uint32_t
level_of (uint32_t priority)
{
  return priority < ODD_LEVELS ? priority : ODD_LEVELS - 1;
}

static void
step (odd_t *odd)
{
  for (uint32_t i = 0; i < ODD_LEVELS; i++)
    {
      odd->asked_milli[i] -= odd->asked_milli[i] / STEP_PART;
      odd->started_milli[i] -= odd->started_milli[i] / STEP_PART;
    }
}

static void
fade (odd_t *odd, uint64_t now_us)
{
  if (now_us >= odd->counted_us + FORGET_US)
    *odd = (odd_t){ .counted_us = now_us };
  for (; now_us >= odd->counted_us + STEP_US; odd->counted_us += STEP_US)
    step (odd);
}

void
odd_note (odd_t *odd, uint64_t now_us, uint32_t priority, bool started)
{
  uint32_t level = level_of (priority);

  fade (odd, now_us);
  odd->asked_milli[level] += MILLI;
  if (started)
    odd->started_milli[level] += MILLI;
}

static uint32_t
share_of (uint64_t started_milli, uint64_t asked_milli)
{
  return asked_milli > 0 ? (uint32_t)(started_milli * MILLI / asked_milli) : MILLI;
}

odd_turn_t
odd_turn (const odd_t *odd, uint32_t priority)
{
  uint32_t level = level_of (priority);
  uint32_t own_milli = share_of (odd->started_milli[level], odd->asked_milli[level]);
  uint32_t counted = 0;
  uint32_t behind = 0;

  for (uint32_t i = 0; i < level; i++)
    {
      uint32_t other_milli = share_of (odd->started_milli[i], odd->asked_milli[i]);

      if (odd->asked_milli[i] < ODD_ENOUGH_MILLI)
        continue;
      counted++;
      if (own_milli > other_milli && own_milli >= ODD_LEAST_MILLI)
        return ODD_GIVES_WAY;
      behind += own_milli + ODD_EDGE_MILLI * (level - i) < other_milli ? 1 : 0;
    }
  return counted > 0 && behind == counted ? ODD_FIRST : ODD_IN_TURN;
}

uint32_t
odd_share_milli (const odd_t *odd)
{
  uint64_t asked_milli = 0;
  uint64_t started_milli = 0;

  for (uint32_t i = 0; i < ODD_LEVELS; i++)
    {
      asked_milli += odd->asked_milli[i];
      started_milli += odd->started_milli[i];
    }
  return asked_milli >= ODD_ENOUGH_MILLI ? share_of (started_milli, asked_milli) : MILLI;
}

uint64_t
odd_asked_milli (const odd_t *odd)
{
  uint64_t asked_milli = 0;

  for (uint32_t i = 0; i < ODD_LEVELS; i++)
    asked_milli += odd->asked_milli[i];
  return asked_milli;
}
