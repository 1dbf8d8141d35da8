/* Unit tests of decisions in an overload: the time since a caller's first attempt, the load gauge,
 * and the fairness between priorities. */
#include "request/policy/retries/first_attempt.h"
#include "request/policy/load/load_gauge.h"
#include "request/policy/queueing/priority_fairness.h"
#include "suite.h"

#define MS UINT64_C (1000)
#define NOW_US (UINT64_C (100) * 1000 * MS)
#define SLOTS 24

/* A caller with 12 s is told to retry after a third of them. Its second attempt states 8 s, and its
 * age counts from the first attempt; otherwise it would be served before requests that can still be
 * answered in time. */
static void
test_later_attempts_are_recognized_by_remaining_time (void)
{
  first_attempt_t route = { 0 };

  CU_ASSERT_EQUAL (first_attempt_age_us (&route, NOW_US, 12000), 0);
  CU_ASSERT_EQUAL (first_attempt_age_us (&route, NOW_US, 10300), 0);
  CU_ASSERT_EQUAL (first_attempt_age_us (&route, NOW_US, 8000), 4000 * MS);
  CU_ASSERT_EQUAL (first_attempt_age_us (&route, NOW_US, 0), 0);
}

/* Callers of a new release have 3 s instead of 12. They are taken for later attempts only for a
 * while. */
static void
test_shorter_time_replaces_the_longest (void)
{
  first_attempt_t route = { 0 };

  first_attempt_age_us (&route, NOW_US, 12000);
  CU_ASSERT (first_attempt_age_us (&route, NOW_US + FIRST_ATTEMPT_FORGET_US - 1, 3000) > 0);
  CU_ASSERT_EQUAL (first_attempt_age_us (&route, NOW_US + FIRST_ATTEMPT_FORGET_US, 3000), 0);
  CU_ASSERT_EQUAL (first_attempt_age_us (&route, NOW_US + FIRST_ATTEMPT_FORGET_US + MS, 2900), 0);
}

static void
add_reports (load_gauge_t *gauge, uint32_t times, uint32_t requests, uint64_t own)
{
  for (uint32_t i = 0; i < times; i++)
    load_gauge_add (gauge, NOW_US, requests, SLOTS, own);
}

/* Traffic triples. The last answers still report eight requests at an engine, but this gateway has
 * three times as many requests there, and so have the others: the engines are full. */
static void
test_own_growth_shows_a_surge_before_reports_do (void)
{
  load_gauge_t gauge = { 0 };

  add_reports (&gauge, 50, 8, 30);
  CU_ASSERT_EQUAL (load_gauge_utilization_milli (&gauge, NOW_US), 333);
  CU_ASSERT (!load_gauge_is_surge (&gauge, NOW_US, 30));
  CU_ASSERT (!load_gauge_is_surge (&gauge, NOW_US, 60));
  CU_ASSERT (load_gauge_is_surge (&gauge, NOW_US, 120));
}

/* Engines that are full and stay full are no surge, and each one's own load decides. Neither is one
 * request more at a gateway with one every few seconds. */
static void
test_full_engines_and_few_requests_are_no_surge (void)
{
  load_gauge_t gauge = { 0 };
  load_gauge_t few = { 0 };

  add_reports (&gauge, 50, 30, 40);
  CU_ASSERT (!load_gauge_is_surge (&gauge, NOW_US, 40));
  add_reports (&few, 50, 24, 0);
  CU_ASSERT (!load_gauge_is_surge (&few, NOW_US, 1));
}

/* Guards against a service that counts as full for hundreds of reports after one that is wrong. */
static void
test_one_report_does_not_outweigh_all_others (void)
{
  load_gauge_t gauge = { 0 };

  add_reports (&gauge, 50, SLOTS / 4, 10);
  add_reports (&gauge, 1, UINT32_MAX - 1, 10);
  CU_ASSERT (load_gauge_utilization_milli (&gauge, NOW_US) < 1000);
  add_reports (&gauge, 50, 3 * SLOTS, 10);
  CU_ASSERT (load_gauge_utilization_milli (&gauge, NOW_US) > 2900);
}

static void
test_old_reports_are_ignored (void)
{
  load_gauge_t gauge = { 0 };

  CU_ASSERT_EQUAL (load_gauge_utilization_milli (&gauge, NOW_US), 0);
  CU_ASSERT (!load_gauge_is_surge (&gauge, NOW_US, 1000));
  add_reports (&gauge, 5, 24, 10);
  CU_ASSERT_EQUAL (load_gauge_utilization_milli (&gauge, NOW_US + LOAD_GAUGE_AGE_MAX_US), 0);
  CU_ASSERT (!load_gauge_is_surge (&gauge, NOW_US + LOAD_GAUGE_AGE_MAX_US, 1000));
  load_gauge_add (&gauge, NOW_US + LOAD_GAUGE_AGE_MAX_US, 6, SLOTS, 10);
  CU_ASSERT_EQUAL (load_gauge_utilization_milli (&gauge, NOW_US + LOAD_GAUGE_AGE_MAX_US), 250);
  load_gauge_add (&gauge, NOW_US + LOAD_GAUGE_AGE_MAX_US, 6, 0, 10);
  CU_ASSERT_EQUAL (load_gauge_utilization_milli (&gauge, NOW_US + LOAD_GAUGE_AGE_MAX_US), 250);
}

static void
add_requests (priority_fairness_t *fairness, uint32_t priority, uint32_t started, uint32_t refused)
{
  for (uint32_t i = 0; i < started; i++)
    priority_fairness_record (fairness, NOW_US, priority, true);
  for (uint32_t i = 0; i < refused; i++)
    priority_fairness_record (fairness, NOW_US, priority, false);
}

/* Replies have the higher priority, but their callers wait for 400 ms, those of summaries for 800
 * ms. So 30% of the replies start and 70% of the summaries, which yield until they are no longer
 * ahead. */
static void
test_lower_priority_yields_while_it_is_ahead (void)
{
  priority_fairness_t fairness = { 0 };

  add_requests (&fairness, 0, 30, 70);
  add_requests (&fairness, 1, 70, 30);
  CU_ASSERT_EQUAL (priority_fairness_decide (&fairness, 0), PRIORITY_FAIRNESS_IN_ORDER);
  CU_ASSERT_EQUAL (priority_fairness_decide (&fairness, 1), PRIORITY_FAIRNESS_YIELD);
  add_requests (&fairness, 1, 0, 150);
  CU_ASSERT_EQUAL (priority_fairness_decide (&fairness, 1), PRIORITY_FAIRNESS_IN_ORDER);
}

/* Short requests of low priority wait behind all replies, and one in ten starts. They
 * occupy slots only briefly, so they go first until their share is near that of the replies. */
static void
test_lower_priority_is_not_left_far_behind (void)
{
  priority_fairness_t fairness = { 0 };

  add_requests (&fairness, 0, 50, 50);
  add_requests (&fairness, 2, 10, 90);
  CU_ASSERT_EQUAL (priority_fairness_decide (&fairness, 2), PRIORITY_FAIRNESS_FIRST);
  add_requests (&fairness, 2, 70, 0);
  CU_ASSERT_EQUAL (priority_fairness_decide (&fairness, 2), PRIORITY_FAIRNESS_IN_ORDER);
}

/* No reply starts because their engines are gone. Summaries must not be held back for them. */
static void
test_small_share_yields_to_none (void)
{
  priority_fairness_t fairness = { 0 };

  add_requests (&fairness, 0, 0, 100);
  add_requests (&fairness, 1, 10, 90);
  CU_ASSERT_EQUAL (priority_fairness_decide (&fairness, 1), PRIORITY_FAIRNESS_IN_ORDER);
  add_requests (&fairness, 1, 30, 0);
  CU_ASSERT_EQUAL (priority_fairness_decide (&fairness, 1), PRIORITY_FAIRNESS_YIELD);
}

static void
test_counts_decay (void)
{
  priority_fairness_t fairness = { 0 };

  CU_ASSERT_EQUAL (priority_fairness_started_milli (&fairness), 1000);
  add_requests (&fairness, 0, 0, 100);
  CU_ASSERT_EQUAL (priority_fairness_started_milli (&fairness), 0);
  priority_fairness_record (&fairness, NOW_US + 3 * PRIORITY_FAIRNESS_HALF_LIFE_US, 0, true);
  CU_ASSERT (fairness.asked_milli[0] < 16 * 1000);
  priority_fairness_record (&fairness, NOW_US + 40 * PRIORITY_FAIRNESS_HALF_LIFE_US, 9, true);
  CU_ASSERT_EQUAL (fairness.asked_milli[0], 0);
  CU_ASSERT_EQUAL (fairness.asked_milli[PRIORITY_FAIRNESS_LEVELS - 1], 1000);
  CU_ASSERT_EQUAL (priority_fairness_started_milli (&fairness), 1000);
}

int
main (void)
{
  static const CU_TestInfo tests[] = { SUITE_TEST (
                                           test_later_attempts_are_recognized_by_remaining_time),
                                       SUITE_TEST (test_shorter_time_replaces_the_longest),
                                       SUITE_TEST (test_own_growth_shows_a_surge_before_reports_do),
                                       SUITE_TEST (test_full_engines_and_few_requests_are_no_surge),
                                       SUITE_TEST (test_one_report_does_not_outweigh_all_others),
                                       SUITE_TEST (test_old_reports_are_ignored),
                                       SUITE_TEST (test_lower_priority_yields_while_it_is_ahead),
                                       SUITE_TEST (test_lower_priority_is_not_left_far_behind),
                                       SUITE_TEST (test_small_share_yields_to_none),
                                       SUITE_TEST (test_counts_decay),
                                       CU_TEST_INFO_NULL };

  return suite_run ("overload", tests);
}
