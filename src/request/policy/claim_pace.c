#include "request/policy/claim_pace.h"

#include "base/clock.h"
#include "base/limits.h"

#include <glib.h>
#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#define FIRST_BACKOFF_US (100 * CLK_US_PER_MS)
/* What one append that was taken adds to the rate, in appends a second. */
#define GAIN_PER_S 0.05
#define TRIP_SHARE 8

/* @wait_us times 3/4 to 5/4: those that were refused together must not come back together. */
static uint64_t
jitter (cpc_t *pace, uint64_t wait_us)
{
  pace->seed = XXH3_64bits (&pace->seed, sizeof pace->seed);
  return wait_us * 3 / 4 + wait_us / 2 * (pace->seed >> 48) / (1 << 16);
}

static uint64_t
backoff_us (const cpc_t *pace)
{
  g_assert (pace->failures > 0);
  const uint32_t doublings = MIN (pace->failures - 1, 16);
  return MIN ((uint64_t)FIRST_BACKOFF_US << doublings, LIM_CLAIM_BACKOFF_US);
}

static void
back_off (cpc_t *pace, uint64_t now_us)
{
  pace->failures++;
  pace->due_us = now_us + jitter (pace, MAX (backoff_us (pace), pace->interval_us));
}

void
cpc_init (cpc_t *pace)
{
  memset (pace, 0, sizeof *pace);
  pace->interval_us = LIM_CLAIM_INTERVAL_MIN_US;
}

void
cpc_stir (cpc_t *pace, uint64_t value)
{
  pace->seed += value;
}

void
cpc_started (cpc_t *pace, uint64_t now_us)
{
  pace->started_us = now_us;
}

void
cpc_taken (cpc_t *pace, uint64_t now_us)
{
  uint64_t trip_us = now_us - pace->started_us;
  pace->trip_us =
      pace->trip_us == 0 ? trip_us : (pace->trip_us * (TRIP_SHARE - 1) + trip_us) / TRIP_SHARE;
  pace->failures = 0;
  pace->refusals = 0;
  double rate_s = CLK_US_PER_S / (double)pace->interval_us + GAIN_PER_S;
  pace->interval_us = MAX ((uint64_t)(CLK_US_PER_S / rate_s), LIM_CLAIM_INTERVAL_MIN_US);
  pace->due_us = pace->started_us + jitter (pace, pace->interval_us);
}

void
cpc_refused (cpc_t *pace, uint64_t now_us)
{
  pace->refusals++;
  pace->interval_us =
      CLAMP (pace->interval_us * 2, FIRST_BACKOFF_US, (uint64_t)LIM_CLAIM_INTERVAL_MAX_US);
  back_off (pace, now_us);
}

void
cpc_lost (cpc_t *pace, uint64_t now_us)
{
  pace->refusals = 0;
  back_off (pace, now_us);
}

uint64_t
cpc_expected_us (const cpc_t *pace, uint64_t now_us, uint32_t batches)
{
  return MAX (pace->due_us, now_us) + batches * pace->interval_us + pace->trip_us;
}
