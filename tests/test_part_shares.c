/* Unit tests of the share of each prompt part in a gateway's requests. */
#include "base/clock.h"
#include "request/policy/placement/part_shares.h"
#include "suite.h"

#include <glib.h>

G_DEFINE_AUTOPTR_CLEANUP_FUNC (part_shares_t, part_shares_free)

#define START_US (UINT64_C (100) * CLOCK_US_PER_S)
#define POPULAR 7

/* Sends @count requests, @interval_us apart: one in @one_in for the popular part, and each other
 * one for a part of its own. Return: the time after the last one */
static uint64_t
send_requests (part_shares_t *shares, uint32_t count, uint64_t interval_us, uint32_t one_in)
{
  uint64_t now_us = START_US;

  for (uint64_t i = 1; i <= count; i++, now_us += interval_us)
    part_shares_add (shares, now_us, i % one_in == 0 ? POPULAR : i * 1000003);
  return now_us;
}

/* Guards against a popular part that is forgotten among many parts, or taken for more popular where
 * there are more requests. */
static void
test_share_does_not_depend_on_the_traffic (void)
{
  static const uint32_t per_s[] = { 20, 100, 1000 };

  for (uint32_t i = 0; i < G_N_ELEMENTS (per_s); i++)
    {
      g_autoptr (part_shares_t) shares = part_shares_new ();
      uint64_t now_us = send_requests (shares, 30 * per_s[i], CLOCK_US_PER_S / per_s[i], 10);
      uint32_t milli = part_shares_get_milli (shares, now_us, POPULAR);

      CU_ASSERT (milli >= 85 && milli <= 105);
      CU_ASSERT_EQUAL (part_shares_get_milli (shares, now_us, POPULAR + 1), 0);
    }
}

/* Guards against a part that stays popular after its requests have ended. */
static void
test_share_fades (void)
{
  g_autoptr (part_shares_t) shares = part_shares_new ();
  uint64_t now_us = send_requests (shares, 3000, CLOCK_US_PER_S / 100, 10);

  for (uint64_t i = 1; i <= 3000; i++, now_us += CLOCK_US_PER_S / 100)
    part_shares_add (shares, now_us, i * 1000033);
  CU_ASSERT (part_shares_get_milli (shares, now_us, POPULAR) <= 5);
}

/* Guards against a part that has just become popular being counted as rare for seconds, and against
 * two requests for any part looking like that. */
static void
test_sudden_popularity_is_seen_within_a_second (void)
{
  g_autoptr (part_shares_t) shares = part_shares_new ();
  uint64_t step_us = CLOCK_US_PER_S / 13;
  uint64_t now_us = send_requests (shares, 390, step_us, 1000);

  part_shares_add (shares, now_us, POPULAR);
  CU_ASSERT (part_shares_get_milli (shares, now_us, POPULAR) <= 10);
  for (uint64_t i = 1; i <= 13; i++, now_us += step_us)
    part_shares_add (shares, now_us, i % 3 == 0 ? POPULAR : i * 1000033);
  CU_ASSERT (part_shares_get_milli (shares, now_us, POPULAR) >= 100);
  for (uint64_t i = 1; i <= 39; i++, now_us += step_us)
    part_shares_add (shares, now_us, i * 1000037);
  CU_ASSERT (part_shares_get_milli (shares, now_us, POPULAR) <= 40);
}

/* Guards against the first request of a gateway that makes its part look popular. */
static void
test_few_requests_show_no_share (void)
{
  g_autoptr (part_shares_t) shares = part_shares_new ();

  CU_ASSERT_EQUAL (part_shares_age_us (shares, START_US), 0);
  part_shares_add (shares, START_US, POPULAR);
  CU_ASSERT (part_shares_get_milli (shares, START_US, POPULAR) <= 100);
  CU_ASSERT_EQUAL (part_shares_age_us (shares, START_US + 5), 5);
}

int
main (void)
{
  static const CU_TestInfo tests[] = { SUITE_TEST (test_share_does_not_depend_on_the_traffic),
                                       SUITE_TEST (test_share_fades),
                                       SUITE_TEST (test_sudden_popularity_is_seen_within_a_second),
                                       SUITE_TEST (test_few_requests_show_no_share),
                                       CU_TEST_INFO_NULL };

  return suite_run ("part_shares", tests);
}
