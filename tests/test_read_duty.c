/* Unit tests of who reads a stream of the store, and who takes its news from a peer. */
#include "base/clock.h"
#include "request/policy/read_duty.h"
#include "suite.h"

#include <glib.h>

#define START_US (UINT64_C (100) * CLK_US_PER_S)
#define ASK_US (UINT64_C (800) * CLK_US_PER_MS)

static const rdu_stream_t engines = { .patience_us = ASK_US };
static const rdu_view_t few = { .close = true, .listed = true };
static const rdu_view_t rest = { .listed = true };
static const rdu_view_t rest_alone = { .listed = true, .alone = true };
static const rdu_view_t few_lost = { .close = true, .listed = true, .lost = true };

/* A peer that knows as much heard the store at @store_us. */
static rdu_t
vouched (uint64_t store_us)
{
  rdu_t rdu = { 0 };

  rdu_heard (&rdu, store_us, 7, 7, store_us);
  return rdu;
}

static void
test_few_follow_the_rest_does_not (void)
{
  rdu_t rdu = vouched (START_US);

  CU_ASSERT_EQUAL (rdu_read (&rdu, &engines, &few, START_US), RDU_FOLLOW);
  CU_ASSERT_EQUAL (rdu_read (&rdu, &engines, &rest, START_US), RDU_REST);
  CU_ASSERT (!rdu_asks_peer (&rdu, &engines, &rest, START_US));
}

/*
 * All that follow the store are lost at once, or this gateway is cut off from its peers. Nobody
 * tells it of engines that leave: it reads itself, from the end of what was last vouched for.
 */
static void
test_who_is_not_vouched_for_reads (void)
{
  rdu_t rdu = vouched (START_US);

  CU_ASSERT_EQUAL (rdu_read (&rdu, &engines, &rest, START_US + RDU_VOUCHED_US - 1), RDU_REST);
  CU_ASSERT_EQUAL (rdu_read (&rdu, &engines, &rest_alone, START_US + RDU_VOUCHED_US - 1), RDU_REST);
  CU_ASSERT_EQUAL (rdu_read (&rdu, &engines, &rest, START_US + RDU_VOUCHED_US), RDU_READ);
  CU_ASSERT_EQUAL (rdu_read (&rdu, &engines, &rest_alone, START_US + RDU_VOUCHED_US), RDU_FOLLOW);
  CU_ASSERT_EQUAL (rdu_read (&(rdu_t){ 0 }, &engines, &rest, START_US), RDU_READ);
  CU_ASSERT_EQUAL (rdu_read (&(rdu_t){ 0 }, &engines, &rest_alone, START_US), RDU_FOLLOW);
  CU_ASSERT_EQUAL (rdu_read (&rdu, &engines, &(rdu_view_t){ 0 }, START_US), RDU_FOLLOW);
}

/* Guards against an engine that leaves, or a version, that is known later than it must be where
 * those that follow are lost: the next one reads early enough for it. */
static void
test_next_one_reads_within_the_bound (void)
{
  static const uint32_t bounds_s[] = { 2, 3, 4, 8 };

  for (uint32_t i = 0; i < G_N_ELEMENTS (bounds_s); i++)
    {
      rdu_t rdu = vouched (START_US);
      uint64_t bound_us = (uint64_t)bounds_s[i] * CLK_US_PER_S;
      rdu_stream_t stream = { .patience_us = ASK_US, .bound_us = bound_us };
      rdu_view_t next = { .listed = true, .before = 4, .count = 5 };

      CU_ASSERT_EQUAL (rdu_read (&rdu, &stream, &next, START_US + bound_us * 85 / 100), RDU_READ);
    }
}

/* Guards against the only gateway that reaches the store reading it once in two seconds. */
static void
test_one_that_had_to_read_follows_until_another_vouches (void)
{
  static const rdu_stream_t stream = { .patience_us = ASK_US, .bound_us = 2 * CLK_US_PER_S };
  rdu_t rdu = vouched (START_US);
  uint64_t now_us = START_US + 2 * CLK_US_PER_S;
  rdu_view_t view = rest;

  CU_ASSERT_EQUAL (rdu_read (&rdu, &stream, &view, now_us), RDU_READ);
  view.own_us = view.tried_us = now_us;
  CU_ASSERT_EQUAL (rdu_read (&rdu, &stream, &view, now_us + 1), RDU_FOLLOW);
  view.lost = true;
  CU_ASSERT_EQUAL (rdu_read (&rdu, &stream, &view, now_us + 2), RDU_REST);
  view.lost = false;
  rdu_heard (&rdu, now_us, 7, 7, now_us - 1);
  CU_ASSERT_EQUAL (rdu_read (&rdu, &stream, &view, now_us + 3), RDU_FOLLOW);
  rdu_heard (&rdu, now_us + 4, 7, 7, now_us + 4);
  CU_ASSERT_EQUAL (rdu_read (&rdu, &stream, &view, now_us + 5), RDU_REST);
  view.own_us = now_us + 6;
  CU_ASSERT_EQUAL (rdu_read (&rdu, &stream, &view, now_us + 7), RDU_REST);
}

/* Where news may take four seconds word of the store may be older by as much as that allows: a
 * hundred gateways that had heard nothing for two seconds read all at once, though three of them
 * follow. */
static void
test_vouching_lasts_longer_where_news_may_take_longer (void)
{
  rdu_stream_t slow = { .patience_us = ASK_US, .bound_us = 4 * CLK_US_PER_S };
  uint64_t end_us = START_US + slow.bound_us * RDU_VOUCHED_PERCENT / 100;
  rdu_t rdu = vouched (START_US);

  CU_ASSERT (end_us > START_US + RDU_VOUCHED_US);
  CU_ASSERT_EQUAL (rdu_read (&rdu, &slow, &rest, end_us - 1), RDU_REST);
  CU_ASSERT_EQUAL (rdu_read (&rdu, &slow, &rest, end_us), RDU_READ);
  slow.bound_us = CLK_US_PER_S;
  end_us = START_US + slow.bound_us * RDU_VOUCHED_MOST_PERCENT / 100;
  rdu = vouched (START_US);
  CU_ASSERT_EQUAL (rdu_read (&rdu, &slow, &rest, end_us - 1), RDU_REST);
  CU_ASSERT_EQUAL (rdu_read (&rdu, &slow, &rest, end_us), RDU_READ);
}

/* A peer heard the store just now, but knows less than this gateway: it may have heard it before
 * the news that this gateway has, and so before news that it lacks. */
static void
test_one_that_knows_less_vouches_for_nothing (void)
{
  rdu_t rdu = { 0 };

  rdu_heard (&rdu, START_US, 6, 7, START_US);
  CU_ASSERT_EQUAL (rdu_known_us (&rdu, &rest), 0);
}

/* Guards against calls that grow with the gateways: news that each reads at the store for itself.
 */
static void
test_news_of_a_peer (void)
{
  rdu_t rdu = vouched (START_US);

  rdu_heard (&rdu, START_US, 8, 7, START_US);
  CU_ASSERT (rdu_asks_peer (&rdu, &engines, &rest, START_US));
  CU_ASSERT_EQUAL (rdu_read (&rdu, &engines, &rest, START_US), RDU_REST);
  CU_ASSERT_EQUAL (rdu_read (&rdu, &engines, &rest, START_US + ASK_US - 1), RDU_REST);
  CU_ASSERT (!rdu_asks_peer (&rdu, &engines, &few, START_US));
  CU_ASSERT_EQUAL (rdu_read (&rdu, &engines, &few, START_US), RDU_FOLLOW);
}

/* The way that should bring the news does not: the other one is tried too. */
static void
test_other_way_after_a_while (void)
{
  rdu_t rdu = vouched (START_US);

  rdu_heard (&rdu, START_US, 8, 7, START_US);
  CU_ASSERT_EQUAL (rdu_read (&rdu, &engines, &rest, START_US + ASK_US), RDU_READ);
  CU_ASSERT (!rdu_asks_peer (&rdu, &engines, &few, START_US + ASK_US - 1));
  CU_ASSERT (rdu_asks_peer (&rdu, &engines, &few, START_US + ASK_US));
}

/* One of the few has lost the store: what it lacks it takes from a peer long before its patience
 * with the store ends. */
static void
test_peer_is_asked_soon_while_the_store_is_lost (void)
{
  rdu_t rdu = vouched (START_US);

  rdu_heard (&rdu, START_US, 8, 7, START_US);
  CU_ASSERT (!rdu_asks_peer (&rdu, &engines, &few_lost, START_US + RDU_ASK_LOST_US - 1));
  CU_ASSERT (rdu_asks_peer (&rdu, &engines, &few_lost, START_US + RDU_ASK_LOST_US));
}

/*
 * Engines are replaced one after the other, so each message of a peer tells of more than is known
 * here, and none is ever level. Once the peer's copy has come, what the peer had heard counts; else
 * this gateway would follow the store all the while.
 */
static void
test_copy_of_a_peer_vouches (void)
{
  rdu_t rdu = vouched (START_US);
  uint64_t later_us = START_US + 2 * RDU_VOUCHED_US;

  rdu_heard (&rdu, later_us, 8, 7, later_us - 1);
  CU_ASSERT_EQUAL (rdu_read (&rdu, &engines, &rest, later_us), RDU_READ);
  rdu_caught_up (&rdu, true);
  CU_ASSERT_EQUAL (rdu_read (&rdu, &engines, &rest, later_us), RDU_REST);
  CU_ASSERT_EQUAL (rdu_known_us (&rdu, &rest), later_us - 1);
}

/* The copy did not come: nothing is vouched for, and the next message tells again. */
static void
test_lost_copy_vouches_for_nothing (void)
{
  rdu_t rdu = vouched (START_US);

  rdu_heard (&rdu, START_US + 1, 8, 7, START_US + 1);
  rdu_give_up (&rdu);
  CU_ASSERT_EQUAL (rdu_known_us (&rdu, &rest), START_US);
  CU_ASSERT (!rdu_asks_peer (&rdu, &engines, &rest, START_US + 1));
  rdu_heard (&rdu, START_US + 2, 8, 7, START_US + 2);
  CU_ASSERT (rdu_asks_peer (&rdu, &engines, &rest, START_US + 2));
}

/* Guards against a version that comes too late, as it is large and the store does not answer. */
static void
test_large_news_is_asked_for_after_a_while (void)
{
  rdu_t rdu = vouched (START_US);

  rdu_heard (&rdu, START_US, 8, 7, START_US);
  rdu_is_large (&rdu);
  CU_ASSERT_EQUAL (rdu_read (&rdu, &engines, &rest, START_US), RDU_READ);
  CU_ASSERT (!rdu_asks_peer (&rdu, &engines, &rest, START_US + ASK_US - 1));
  CU_ASSERT (rdu_asks_peer (&rdu, &engines, &rest, START_US + ASK_US));
  rdu_caught_up (&rdu, false);
  CU_ASSERT (!rdu_asks_peer (&rdu, &engines, &rest, START_US + ASK_US));
}

#define TICK_US (UINT64_C (100) * CLK_US_PER_MS)
#define OUTAGE_US (UINT64_C (9) * CLK_US_PER_S)

/* Return: reads of the gateways that rest, while the store is out and each hears its peers */
static uint32_t
reads_in_outage (uint32_t gateways)
{
  g_autofree rdu_t *duties = g_new0 (rdu_t, gateways);
  g_autofree rdu_view_t *views = g_new0 (rdu_view_t, gateways);
  uint32_t reads = 0;

  for (uint32_t i = 0; i < gateways; i++)
    {
      duties[i] = vouched (START_US);
      views[i] = (rdu_view_t){ .listed = true, .before = i, .count = gateways };
    }
  for (uint64_t at_us = START_US; at_us < START_US + OUTAGE_US; at_us += TICK_US)
    for (uint32_t i = 0; i < gateways; i++)
      if (rdu_read (&duties[i], &engines, &views[i], at_us) != RDU_REST)
        {
          views[i].tried_us = at_us;
          reads++;
        }
  return reads;
}

/* Guards against calls to a store that is out that grow with the gateways, and against gateways
 * that wait for each other for ever. */
static void
test_reads_of_an_outage_do_not_grow_with_the_gateways (void)
{
  uint32_t most = (uint32_t)((OUTAGE_US - RDU_VOUCHED_US) / RDU_TURN_US);

  for (uint32_t gateways = 5; gateways <= 5 * 352; gateways *= 4)
    CU_ASSERT (reads_in_outage (gateways) <= most + gateways / 100);
  CU_ASSERT (reads_in_outage (1760) >= most - 5);
  CU_ASSERT (reads_in_outage (4) >= 4 * 5);
}

/*
 * The store was out and is back; engines whose entries lapsed write them again within two seconds.
 * After that an entry goes as its engine leaves. It must not be kept, however unsure the peer is
 * that tells of it: callers' requests would reach an engine that has left.
 */
static void
test_entries_lapse_only_around_an_outage (void)
{
  CU_ASSERT (rdu_may_have_lapsed (START_US, true, START_US + RDU_LAPSE_US - 1));
  CU_ASSERT (!rdu_may_have_lapsed (START_US, true, START_US + RDU_LAPSE_US));
  CU_ASSERT (!rdu_may_have_lapsed (START_US, false, START_US));
  CU_ASSERT (!rdu_may_have_lapsed (0, true, START_US));
  CU_ASSERT (!rdu_may_have_lapsed (START_US, true, START_US + 4500 * CLK_US_PER_MS));
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    SUITE_TEST (test_few_follow_the_rest_does_not),
    SUITE_TEST (test_who_is_not_vouched_for_reads),
    SUITE_TEST (test_next_one_reads_within_the_bound),
    SUITE_TEST (test_one_that_had_to_read_follows_until_another_vouches),
    SUITE_TEST (test_vouching_lasts_longer_where_news_may_take_longer),
    SUITE_TEST (test_one_that_knows_less_vouches_for_nothing),
    SUITE_TEST (test_news_of_a_peer),
    SUITE_TEST (test_other_way_after_a_while),
    SUITE_TEST (test_peer_is_asked_soon_while_the_store_is_lost),
    SUITE_TEST (test_copy_of_a_peer_vouches),
    SUITE_TEST (test_lost_copy_vouches_for_nothing),
    SUITE_TEST (test_large_news_is_asked_for_after_a_while),
    SUITE_TEST (test_reads_of_an_outage_do_not_grow_with_the_gateways),
    SUITE_TEST (test_entries_lapse_only_around_an_outage),
    CU_TEST_INFO_NULL
  };

  return suite_run ("read_duty", tests);
}
