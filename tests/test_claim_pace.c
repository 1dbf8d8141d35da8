/**
 * DOC: test_claim_pace
 *
 * Many daemons that append to one log with a limit, where each knows only the answers it gets.
 */
#include "base/clock.h"
#include "base/limits.h"
#include "request/policy/claims/claim_pace.h"
#include "suite.h"

#include <glib.h>

#define DAEMONS 100
#define APPENDS_PER_S 100.0

typedef struct
{
  claim_pace_t paces[DAEMONS];
  uint32_t succeeded[DAEMONS];
  uint64_t refused;
  uint64_t now_us;
  double allowance;
} fleet_t;

static void
fleet_init (fleet_t *fleet)
{
  memset (fleet, 0, sizeof *fleet);
  for (uint32_t i = 0; i < DAEMONS; i++)
    {
      claim_pace_init (&fleet->paces[i]);
      claim_pace_add_entropy (&fleet->paces[i], i);
    }
}

/* Every daemon always has something to append. */
static void
fleet_run (fleet_t *fleet, uint32_t seconds)
{
  memset (fleet->succeeded, 0, sizeof fleet->succeeded);
  fleet->refused = 0;
  uint64_t end_us = fleet->now_us + seconds * (uint64_t)CLOCK_US_PER_S;
  for (; fleet->now_us < end_us; fleet->now_us += CLOCK_US_PER_MS)
    {
      fleet->allowance = MIN (fleet->allowance + APPENDS_PER_S / 1000, APPENDS_PER_S);
      for (uint32_t i = 0; i < DAEMONS; i++)
        {
          claim_pace_t *pace = &fleet->paces[i];
          if (fleet->now_us < pace->due_us)
            continue;
          claim_pace_append_started (pace, fleet->now_us);
          if (fleet->allowance < 1)
            {
              claim_pace_append_refused (pace, fleet->now_us);
              fleet->refused++;
              continue;
            }
          fleet->allowance -= 1;
          fleet->succeeded[i]++;
          claim_pace_append_succeeded (pace, fleet->now_us);
        }
    }
}

static uint32_t
total (const fleet_t *fleet)
{
  uint32_t sum = 0;
  for (uint32_t i = 0; i < DAEMONS; i++)
    sum += fleet->succeeded[i];
  return sum;
}

/* A hundred daemons have more to append than the log takes. They must use its limit, be refused
 * little beyond it, and none of them must starve. */
static void
test_rates_converge_at_the_limit (void)
{
  fleet_t fleet;
  fleet_init (&fleet);
  fleet_run (&fleet, 60);
  fleet_run (&fleet, 60);
  uint32_t min = UINT32_MAX;
  for (uint32_t i = 0; i < DAEMONS; i++)
    min = MIN (min, fleet.succeeded[i]);
  CU_ASSERT_TRUE (total (&fleet) > 0.9 * 60 * APPENDS_PER_S);
  CU_ASSERT_TRUE (fleet.refused < 0.15 * 60 * APPENDS_PER_S);
  CU_ASSERT_TRUE (min > 60 * APPENDS_PER_S / DAEMONS / 3);
}

/* Guards against claims that stay slow after a peak of load. A single daemon returns to the
 * shortest interval after refusals, with no more than its jitter. */
static void
test_interval_recovers_after_refusals (void)
{
  claim_pace_t pace;
  claim_pace_init (&pace);
  uint64_t now_us = 0;
  for (uint32_t i = 0; i < 10; i++)
    claim_pace_append_refused (&pace, now_us = pace.due_us);
  CU_ASSERT_EQUAL (pace.interval_us, LIMIT_CLAIM_INTERVAL_MAX_US);
  CU_ASSERT_TRUE (pace.due_us - now_us <= LIMIT_CLAIM_BACKOFF_US * 5 / 4);
  for (now_us = pace.due_us; now_us < 300 * (uint64_t)CLOCK_US_PER_S; now_us = pace.due_us)
    {
      claim_pace_append_started (&pace, now_us);
      claim_pace_append_succeeded (&pace, now_us);
    }
  CU_ASSERT_EQUAL (pace.interval_us, LIMIT_CLAIM_INTERVAL_MIN_US);
}

/* An outage of the log says nothing about its rate. The attempts become rarer, but the first one
 * that succeeds restores the interval from before. */
static void
test_outage_keeps_interval (void)
{
  claim_pace_t pace;
  claim_pace_init (&pace);
  uint64_t now_us = 0;
  for (uint32_t i = 0; i < 10; i++)
    claim_pace_append_lost (&pace, now_us = pace.due_us);
  CU_ASSERT_TRUE (pace.due_us - now_us >= LIMIT_CLAIM_BACKOFF_US * 3 / 4);
  claim_pace_append_started (&pace, pace.due_us);
  claim_pace_append_succeeded (&pace, pace.due_us);
  CU_ASSERT_TRUE (pace.due_us - pace.started_us <= LIMIT_CLAIM_INTERVAL_MIN_US * 5 / 4);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "rates converge at the limit", test_rates_converge_at_the_limit },
    { "the interval recovers after refusals", test_interval_recovers_after_refusals },
    { "an outage keeps the interval", test_outage_keeps_interval },
    CU_TEST_INFO_NULL,
  };
  return suite_run ("claim_pace", tests);
}
