/* Unit tests of what decides in an overload: how long ago a caller asked first, the load gauge, and
 * the odds of priorities. */
#include "request/policy/first_ask.h"
#include "request/policy/load_gauge.h"
#include "request/policy/odds.h"
#include "suite.h"

#define MS UINT64_C (1000)
#define NOW_US (UINT64_C (100) * 1000 * MS)
#define SLOTS 24

/* A caller is told to come back after a third of its 12 s. Its second try states 8 s, and counts
 * from when it asked first: else it would be served before those that can still be answered in
 * time. */
static void
test_returns_are_known_by_the_time_they_have_left (void)
{
  fas_t fas = { 0 };

  CU_ASSERT_EQUAL (fas_age_us (&fas, NOW_US, 12000), 0);
  CU_ASSERT_EQUAL (fas_age_us (&fas, NOW_US, 10300), 0);
  CU_ASSERT_EQUAL (fas_age_us (&fas, NOW_US, 8000), 4000 * MS);
  CU_ASSERT_EQUAL (fas_age_us (&fas, NOW_US, 0), 0);
}

/* Callers of a new release have 3 s in place of 12. They are no returns for long. */
static void
test_a_shorter_time_becomes_the_usual_one (void)
{
  fas_t fas = { 0 };

  fas_age_us (&fas, NOW_US, 12000);
  CU_ASSERT (fas_age_us (&fas, NOW_US + FAS_FORGET_US - 1, 3000) > 0);
  CU_ASSERT_EQUAL (fas_age_us (&fas, NOW_US + FAS_FORGET_US, 3000), 0);
  CU_ASSERT_EQUAL (fas_age_us (&fas, NOW_US + FAS_FORGET_US + MS, 2900), 0);
}

static void
tell (gau_t *gau, uint32_t times, uint32_t requests, uint64_t own)
{
  for (uint32_t i = 0; i < times; i++)
    gau_told (gau, NOW_US, requests, SLOTS, own);
}

/* Traffic triples. Answers tell of eight requests at an engine, as they are of before; but this
 * gateway has three times as many requests under way, and so have all: the engines are full. */
static void
test_own_growth_shows_a_surge_before_it_is_told (void)
{
  gau_t gau = { 0 };

  tell (&gau, 50, 8, 30);
  CU_ASSERT_EQUAL (gau_told_milli (&gau, NOW_US), 333);
  CU_ASSERT (!gau_is_surge (&gau, NOW_US, 30));
  CU_ASSERT (!gau_is_surge (&gau, NOW_US, 60));
  CU_ASSERT (gau_is_surge (&gau, NOW_US, 120));
}

/* Engines are full and stay so: that is no surge, and each one's own load decides. One request more
 * at a gateway that has one in seconds is none either. */
static void
test_full_engines_and_chance_are_no_surge (void)
{
  gau_t gau = { 0 };
  gau_t few = { 0 };

  tell (&gau, 50, 30, 40);
  CU_ASSERT (!gau_is_surge (&gau, NOW_US, 40));
  tell (&few, 50, 24, 0);
  CU_ASSERT (!gau_is_surge (&few, NOW_US, 1));
}

static void
test_what_was_told_long_ago_says_nothing (void)
{
  gau_t gau = { 0 };

  CU_ASSERT_EQUAL (gau_told_milli (&gau, NOW_US), 0);
  CU_ASSERT (!gau_is_surge (&gau, NOW_US, 1000));
  tell (&gau, 5, 24, 10);
  CU_ASSERT_EQUAL (gau_told_milli (&gau, NOW_US + GAU_FORGET_US), 0);
  CU_ASSERT (!gau_is_surge (&gau, NOW_US + GAU_FORGET_US, 1000));
  gau_told (&gau, NOW_US + GAU_FORGET_US, 6, SLOTS, 10);
  CU_ASSERT_EQUAL (gau_told_milli (&gau, NOW_US + GAU_FORGET_US), 250);
  gau_told (&gau, NOW_US + GAU_FORGET_US, 6, 0, 10);
  CU_ASSERT_EQUAL (gau_told_milli (&gau, NOW_US + GAU_FORGET_US), 250);
}

static void
note (odd_t *odd, uint32_t priority, uint32_t started, uint32_t refused)
{
  for (uint32_t i = 0; i < started; i++)
    odd_note (odd, NOW_US, priority, true);
  for (uint32_t i = 0; i < refused; i++)
    odd_note (odd, NOW_US, priority, false);
}

/* Replies are the more urgent, but their callers hope for them in 400 ms, summaries in 800 ms. So
 * 30% of the replies start and 70% of the summaries, which therefore give way until they no longer
 * are ahead. */
static void
test_the_less_urgent_gives_way_while_it_is_ahead (void)
{
  odd_t odd = { 0 };

  note (&odd, 0, 30, 70);
  note (&odd, 1, 70, 30);
  CU_ASSERT_EQUAL (odd_turn (&odd, 0), ODD_IN_TURN);
  CU_ASSERT_EQUAL (odd_turn (&odd, 1), ODD_GIVES_WAY);
  note (&odd, 1, 0, 150);
  CU_ASSERT_EQUAL (odd_turn (&odd, 1), ODD_IN_TURN);
}

/* Short tags wait behind all replies, and one in ten starts. They take little, so they go first
 * until their odds are near. */
static void
test_the_less_urgent_is_not_left_far_behind (void)
{
  odd_t odd = { 0 };

  note (&odd, 0, 50, 50);
  note (&odd, 2, 10, 90);
  CU_ASSERT_EQUAL (odd_turn (&odd, 2), ODD_FIRST);
  note (&odd, 2, 70, 0);
  CU_ASSERT_EQUAL (odd_turn (&odd, 2), ODD_IN_TURN);
}

/* No reply starts, as their engines are gone: summaries don't wait for them for good. */
static void
test_who_gets_little_gives_way_to_none (void)
{
  odd_t odd = { 0 };

  note (&odd, 0, 0, 100);
  note (&odd, 1, 10, 90);
  CU_ASSERT_EQUAL (odd_turn (&odd, 1), ODD_IN_TURN);
  note (&odd, 1, 30, 0);
  CU_ASSERT_EQUAL (odd_turn (&odd, 1), ODD_GIVES_WAY);
}

static void
test_odds_fade (void)
{
  odd_t odd = { 0 };

  CU_ASSERT_EQUAL (odd_share_milli (&odd), 1000);
  note (&odd, 0, 0, 100);
  CU_ASSERT_EQUAL (odd_share_milli (&odd), 0);
  odd_note (&odd, NOW_US + 3 * ODD_HALF_US, 0, true);
  CU_ASSERT (odd.asked_milli[0] < 16 * 1000);
  odd_note (&odd, NOW_US + 40 * ODD_HALF_US, 9, true);
  CU_ASSERT_EQUAL (odd.asked_milli[0], 0);
  CU_ASSERT_EQUAL (odd.asked_milli[ODD_LEVELS - 1], 1000);
  CU_ASSERT_EQUAL (odd_share_milli (&odd), 1000);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    SUITE_TEST (test_returns_are_known_by_the_time_they_have_left),
    SUITE_TEST (test_a_shorter_time_becomes_the_usual_one),
    SUITE_TEST (test_own_growth_shows_a_surge_before_it_is_told),
    SUITE_TEST (test_full_engines_and_chance_are_no_surge),
    SUITE_TEST (test_what_was_told_long_ago_says_nothing),
    SUITE_TEST (test_the_less_urgent_gives_way_while_it_is_ahead),
    SUITE_TEST (test_the_less_urgent_is_not_left_far_behind),
    SUITE_TEST (test_who_gets_little_gives_way_to_none),
    SUITE_TEST (test_odds_fade),
    CU_TEST_INFO_NULL
  };

  return suite_run ("overload", tests);
}
