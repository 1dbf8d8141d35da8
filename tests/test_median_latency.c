/* Unit tests of the comparison of an engine's latency with the median of its service. */
#include "request/policy/load/median_latency.h"
#include "suite.h"

#include <glib.h>

#define USUAL_US 24000
#define SLOW_US (6 * USUAL_US)

static void
add_samples (median_latency_t *median_latency, uint32_t samples, uint32_t one_slow_in)
{
  for (uint32_t i = 0; i < samples; i++)
    median_latency_add (median_latency,
                        one_slow_in > 0 && i % one_slow_in == 0 ? SLOW_US : USUAL_US);
}

static void
test_first_sample_is_the_median (void)
{
  median_latency_t median_latency = { 0 };

  CU_ASSERT_EQUAL (median_latency_add (&median_latency, SLOW_US), 1000);
  CU_ASSERT_EQUAL (median_latency.median_us, SLOW_US);
}

/* A quarter of the engines becomes six times slower for good. Guards against a median that follows
 * them, so that they no longer count as slow. */
static void
test_slow_quarter_stays_visible (void)
{
  median_latency_t median_latency = { 0 };

  add_samples (&median_latency, 200, 0);
  add_samples (&median_latency, 2000, 4);
  CU_ASSERT (median_latency_add (&median_latency, SLOW_US) > 4000);
  CU_ASSERT (median_latency_add (&median_latency, USUAL_US) < 1400);
}

/* Guards against all engines counting as slow when all become slower, as in an overload. */
static void
test_slow_service_moves_the_median (void)
{
  median_latency_t median_latency = { 0 };

  add_samples (&median_latency, 200, 0);
  add_samples (&median_latency, 200, 1);
  CU_ASSERT (median_latency_add (&median_latency, SLOW_US) < 1200);
}

static void
test_ratio_is_bounded (void)
{
  median_latency_t median_latency = { 0 };

  add_samples (&median_latency, 10, 0);
  CU_ASSERT_EQUAL (median_latency_add (&median_latency, UINT64_C (1) << 50), 10000);
  for (uint32_t i = 0; i < 5000; i++)
    median_latency_add (&median_latency, 0);
  CU_ASSERT (median_latency.median_us >= 1);
  CU_ASSERT (median_latency_add (&median_latency, USUAL_US) <= 10000);
}

int
main (void)
{
  static const CU_TestInfo tests[] = { SUITE_TEST (test_first_sample_is_the_median),
                                       SUITE_TEST (test_slow_quarter_stays_visible),
                                       SUITE_TEST (test_slow_service_moves_the_median),
                                       SUITE_TEST (test_ratio_is_bounded), CU_TEST_INFO_NULL };

  return suite_run ("median_latency", tests);
}
