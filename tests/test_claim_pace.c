/**
 * DOC: test_claim_pace
 *
 * Many that append to one log with a limit, each knowing only its own answers.
 */
#include "base/clock.h"
#include "base/limits.h"
#include "request/policy/claim_pace.h"
#include "suite.h"

#include <glib.h>

#define APPENDERS 100
#define LIMIT_S 100.0

typedef struct
{
  cpc_t paces[APPENDERS];
  uint32_t taken[APPENDERS];
  uint64_t refused;
  uint64_t now_us;
  double credit;
} crowd_t;

static void
crowd_init (crowd_t *crowd)
{
  memset (crowd, 0, sizeof *crowd);
  for (uint32_t i = 0; i < APPENDERS; i++)
    {
      cpc_init (&crowd->paces[i]);
      cpc_stir (&crowd->paces[i], i);
    }
}

/* All always have something to append. */
static void
crowd_run (crowd_t *crowd, uint32_t seconds)
{
  memset (crowd->taken, 0, sizeof crowd->taken);
  crowd->refused = 0;
  uint64_t end_us = crowd->now_us + seconds * (uint64_t)CLK_US_PER_S;
  for (; crowd->now_us < end_us; crowd->now_us += CLK_US_PER_MS)
    {
      crowd->credit = MIN (crowd->credit + LIMIT_S / 1000, LIMIT_S);
      for (uint32_t i = 0; i < APPENDERS; i++)
        {
          cpc_t *pace = &crowd->paces[i];
          if (crowd->now_us < pace->due_us)
            continue;
          cpc_started (pace, crowd->now_us);
          if (crowd->credit < 1)
            {
              cpc_refused (pace, crowd->now_us);
              crowd->refused++;
              continue;
            }
          crowd->credit -= 1;
          crowd->taken[i]++;
          cpc_taken (pace, crowd->now_us);
        }
    }
}

static uint32_t
sum_of (const crowd_t *crowd)
{
  uint32_t sum = 0;
  for (uint32_t i = 0; i < APPENDERS; i++)
    sum += crowd->taken[i];
  return sum;
}

/* A hundred daemons have more to append than the log takes. They must use what it takes, hardly
 * ask beyond it, and none must be starved by others that came first. */
static void
test_crowd_settles (void)
{
  crowd_t crowd;
  crowd_init (&crowd);
  crowd_run (&crowd, 60);
  crowd_run (&crowd, 60);
  uint32_t least = UINT32_MAX;
  for (uint32_t i = 0; i < APPENDERS; i++)
    least = MIN (least, crowd.taken[i]);
  CU_ASSERT_TRUE (sum_of (&crowd) > 0.9 * 60 * LIMIT_S);
  CU_ASSERT_TRUE (crowd.refused < 0.15 * 60 * LIMIT_S);
  CU_ASSERT_TRUE (least > 60 * LIMIT_S / APPENDERS / 3);
}

/* One alone is never slower than the shortest interval and its jitter, and comes back to that
 * after refusals: else a surge would slow claims for good. */
static void
test_one_comes_back (void)
{
  cpc_t pace;
  cpc_init (&pace);
  uint64_t now_us = 0;
  for (uint32_t i = 0; i < 10; i++)
    cpc_refused (&pace, now_us = pace.due_us);
  CU_ASSERT_EQUAL (pace.interval_us, LIM_CLAIM_INTERVAL_MAX_US);
  CU_ASSERT_TRUE (pace.due_us - now_us <= LIM_CLAIM_BACKOFF_US * 5 / 4);
  for (now_us = pace.due_us; now_us < 300 * (uint64_t)CLK_US_PER_S; now_us = pace.due_us)
    {
      cpc_started (&pace, now_us);
      cpc_taken (&pace, now_us);
    }
  CU_ASSERT_EQUAL (pace.interval_us, LIM_CLAIM_INTERVAL_MIN_US);
}

/* The log is out for a while, which tells nothing of its rate: the tries grow rarer, but the first
 * that is taken brings back the old interval. */
static void
test_outage_keeps_interval (void)
{
  cpc_t pace;
  cpc_init (&pace);
  uint64_t now_us = 0;
  for (uint32_t i = 0; i < 10; i++)
    cpc_lost (&pace, now_us = pace.due_us);
  CU_ASSERT_TRUE (pace.due_us - now_us >= LIM_CLAIM_BACKOFF_US * 3 / 4);
  cpc_started (&pace, pace.due_us);
  cpc_taken (&pace, pace.due_us);
  CU_ASSERT_TRUE (pace.due_us - pace.started_us <= LIM_CLAIM_INTERVAL_MIN_US * 5 / 4);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "a crowd settles at the limit", test_crowd_settles },
    { "one alone comes back to its pace", test_one_comes_back },
    { "an outage keeps the interval", test_outage_keeps_interval },
    CU_TEST_INFO_NULL,
  };
  return suite_run ("claim_pace", tests);
}
