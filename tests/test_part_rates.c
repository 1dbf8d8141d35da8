/* Unit tests of how often a gateway sends requests with each prompt part. */
#include "base/clock.h"
#include "request/policy/part_rates.h"
#include "suite.h"

#include <glib.h>

G_DEFINE_AUTOPTR_CLEANUP_FUNC (part_rates_t, part_rates_free)

#define START_US (UINT64_C (100) * CLOCK_US_PER_S)

/* Return: the time after the last of @count requests with @part, @interval_us apart */
static uint64_t
add_regularly (part_rates_t *rates, uint64_t part, uint32_t count, uint64_t interval_us)
{
  uint64_t now_us = START_US;

  for (uint32_t i = 0; i < count; i++, now_us += interval_us)
    part_rates_add (rates, now_us, part);
  return now_us;
}

static void
test_constant_rate_is_found (void)
{
  static const uint32_t per_s[] = { 1, 5, 40 };

  for (uint32_t i = 0; i < G_N_ELEMENTS (per_s); i++)
    {
      g_autoptr (part_rates_t) rates = part_rates_new ();
      uint64_t now_us = add_regularly (rates, 7, 30 * per_s[i], CLOCK_US_PER_S / per_s[i]);
      uint64_t milli = part_rates_per_s_milli (rates, now_us, 7);

      CU_ASSERT (milli >= per_s[i] * 900 && milli <= per_s[i] * 1100);
      CU_ASSERT_EQUAL (part_rates_per_s_milli (rates, now_us, 8), 0);
    }
}

/* Guards against a part that stays popular after its requests have ended. */
static void
test_rate_fades (void)
{
  g_autoptr (part_rates_t) rates = part_rates_new ();
  uint64_t now_us = add_regularly (rates, 7, 300, CLOCK_US_PER_S / 10);
  uint64_t before = part_rates_per_s_milli (rates, now_us, 7);
  uint64_t after = part_rates_per_s_milli (rates, now_us + PART_RATES_HALF_LIFE_US, 7);

  CU_ASSERT (after >= before * 45 / 100 && after <= before * 55 / 100);
  CU_ASSERT_EQUAL (part_rates_per_s_milli (rates, now_us + 40 * PART_RATES_HALF_LIFE_US, 7), 0);
}

/* Guards against the first request of a gateway that makes its part look popular. */
static void
test_first_request_is_no_high_rate (void)
{
  g_autoptr (part_rates_t) rates = part_rates_new ();

  CU_ASSERT_EQUAL (part_rates_age_us (rates, START_US), 0);
  part_rates_add (rates, START_US, 7);
  CU_ASSERT (part_rates_per_s_milli (rates, START_US, 7) <= 2000);
  CU_ASSERT_EQUAL (part_rates_age_us (rates, START_US + 5), 5);
}

/* Guards against a table that forgets popular parts among many that are asked for once. */
static void
test_popular_part_stays_among_many (void)
{
  g_autoptr (part_rates_t) rates = part_rates_new ();
  uint64_t now_us = START_US;

  for (uint64_t i = 1; i <= 20000; i++, now_us += CLOCK_US_PER_S / 100)
    {
      part_rates_add (rates, now_us, i % 10 == 0 ? 7 : i * 1000003);
    }
  CU_ASSERT (part_rates_per_s_milli (rates, now_us, 7) >= 9000);
}

int
main (void)
{
  static const CU_TestInfo tests[] = { SUITE_TEST (test_constant_rate_is_found),
                                       SUITE_TEST (test_rate_fades),
                                       SUITE_TEST (test_first_request_is_no_high_rate),
                                       SUITE_TEST (test_popular_part_stays_among_many),
                                       CU_TEST_INFO_NULL };

  return suite_run ("part_rates", tests);
}
