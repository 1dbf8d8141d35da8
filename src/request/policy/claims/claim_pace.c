#include "request/policy/claims/claim_pace.h"

#include "base/clock.h"
#include "base/limits.h"

#include <glib.h>
#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

/* Wait after a failure; it doubles with each further failure in a row. */
#define BACKOFF_MIN_US (100 * CLOCK_US_PER_MS)
/* How much one successful append raises the rate, in appends per second. */
#define RATE_GAIN_PER_S 0.05
/* The last round trip has a weight of one in this many in the average. */
#define ROUND_TRIP_SMOOTHING 8

/* Return: @wait_us times 3/4 to 5/4, so that daemons refused together don't retry together */
static uint64_t
add_jitter (claim_pace_t *pace, uint64_t wait_us)
{
  pace->jitter_seed = XXH3_64bits (&pace->jitter_seed, sizeof pace->jitter_seed);
  return wait_us * 3 / 4 + wait_us / 2 * (pace->jitter_seed >> 48) / (1 << 16);
}

static uint64_t
backoff_us (const claim_pace_t *pace)
{
  g_assert (pace->failures > 0);
  const uint32_t doublings = MIN (pace->failures - 1, 16);
  return MIN ((uint64_t)BACKOFF_MIN_US << doublings, LIMIT_CLAIM_BACKOFF_US);
}

static void
back_off (claim_pace_t *pace, uint64_t now_us)
{
  pace->failures++;
  pace->due_us = now_us + add_jitter (pace, MAX (backoff_us (pace), pace->interval_us));
}

void
claim_pace_init (claim_pace_t *pace)
{
  memset (pace, 0, sizeof *pace);
  pace->interval_us = LIMIT_CLAIM_INTERVAL_MIN_US;
}

void
claim_pace_add_entropy (claim_pace_t *pace, uint64_t entropy)
{
  pace->jitter_seed += entropy;
}

void
claim_pace_append_started (claim_pace_t *pace, uint64_t now_us)
{
  pace->started_us = now_us;
}

void
claim_pace_append_succeeded (claim_pace_t *pace, uint64_t now_us)
{
  uint64_t round_trip_us = now_us - pace->started_us;
  pace->round_trip_us = pace->round_trip_us == 0
                            ? round_trip_us
                            : (pace->round_trip_us * (ROUND_TRIP_SMOOTHING - 1) + round_trip_us) /
                                  ROUND_TRIP_SMOOTHING;
  pace->failures = 0;
  pace->refusals = 0;
  double rate_per_s = CLOCK_US_PER_S / (double)pace->interval_us + RATE_GAIN_PER_S;
  pace->interval_us = MAX ((uint64_t)(CLOCK_US_PER_S / rate_per_s), LIMIT_CLAIM_INTERVAL_MIN_US);
  pace->due_us = pace->started_us + add_jitter (pace, pace->interval_us);
}

void
claim_pace_append_refused (claim_pace_t *pace, uint64_t now_us)
{
  pace->refusals++;
  pace->interval_us =
      CLAMP (pace->interval_us * 2, BACKOFF_MIN_US, (uint64_t)LIMIT_CLAIM_INTERVAL_MAX_US);
  back_off (pace, now_us);
}

void
claim_pace_append_lost (claim_pace_t *pace, uint64_t now_us)
{
  pace->refusals = 0;
  back_off (pace, now_us);
}

uint64_t
claim_pace_expected_answer_us (const claim_pace_t *pace, uint64_t now_us, uint32_t batches)
{
  return MAX (pace->due_us, now_us) + batches * pace->interval_us + pace->round_trip_us;
}
