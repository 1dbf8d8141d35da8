/* Unit tests of which gateway reads a stream of the store and which one asks a peer for its new
 * records.
 */
#include "base/clock.h"
#include "request/policy/store/read_policy.h"
#include "suite.h"

#include <glib.h>

#define START_US (UINT64_C (100) * CLOCK_US_PER_S)
#define PATIENCE_US (UINT64_C (800) * CLOCK_US_PER_MS)

static const read_policy_stream_t engines_stream = { .patience_us = PATIENCE_US };
static const read_policy_view_t follower = { .is_follower = true, .has_copy = true };
static const read_policy_view_t other = { .has_copy = true };
static const read_policy_view_t other_alone = { .has_copy = true, .has_no_peers = true };
static const read_policy_view_t follower_lost = { .is_follower = true,
                                                  .has_copy = true,
                                                  .store_call_failed = true };

/* A position in a stream that never came back from a copy. */
static position_t
at (uint64_t offset)
{
  return (position_t){ .offset = offset };
}

/* Return: the state after a peer with the same offset had an answer of the store at @store_us */
static read_policy_t
confirmed_at (uint64_t store_us)
{
  read_policy_t read_policy = { 0 };

  read_policy_apply_peer (&read_policy, store_us, at (7), at (7), store_us);
  return read_policy;
}

static void
test_only_followers_read (void)
{
  read_policy_t read_policy = confirmed_at (START_US);

  CU_ASSERT_EQUAL (read_policy_decide (&read_policy, &engines_stream, &follower, START_US),
                   READ_POLICY_FOLLOW);
  CU_ASSERT_EQUAL (read_policy_decide (&read_policy, &engines_stream, &other, START_US),
                   READ_POLICY_WAIT);
  CU_ASSERT (!read_policy_should_ask_peer (&read_policy, &engines_stream, &other, START_US));
}

/*
 * Guards against a gateway that doesn't learn which engines leave, because all followers are lost
 * at once or it is cut off from its peers. It reads the store itself when its copy ceases to be
 * current.
 */
static void
test_gateway_reads_when_no_peer_confirms_its_copy (void)
{
  read_policy_t read_policy = confirmed_at (START_US);

  CU_ASSERT_EQUAL (read_policy_decide (&read_policy, &engines_stream, &other,
                                       START_US + READ_POLICY_FRESH_US - 1),
                   READ_POLICY_WAIT);
  CU_ASSERT_EQUAL (read_policy_decide (&read_policy, &engines_stream, &other_alone,
                                       START_US + READ_POLICY_FRESH_US - 1),
                   READ_POLICY_WAIT);
  CU_ASSERT_EQUAL (
      read_policy_decide (&read_policy, &engines_stream, &other, START_US + READ_POLICY_FRESH_US),
      READ_POLICY_READ_ONCE);
  CU_ASSERT_EQUAL (read_policy_decide (&read_policy, &engines_stream, &other_alone,
                                       START_US + READ_POLICY_FRESH_US),
                   READ_POLICY_FOLLOW);
  CU_ASSERT_EQUAL (read_policy_decide (&(read_policy_t){ 0 }, &engines_stream, &other, START_US),
                   READ_POLICY_READ_ONCE);
  CU_ASSERT_EQUAL (
      read_policy_decide (&(read_policy_t){ 0 }, &engines_stream, &other_alone, START_US),
      READ_POLICY_FOLLOW);
  CU_ASSERT_EQUAL (
      read_policy_decide (&read_policy, &engines_stream, &(read_policy_view_t){ 0 }, START_US),
      READ_POLICY_FOLLOW);
}

/* Guards against an engine's leaving, or a new version, that is known later than its bound after
 * the loss of the followers. */
static void
test_next_reader_meets_the_bound (void)
{
  static const uint32_t bounds_s[] = { 2, 3, 4, 8 };

  for (uint32_t i = 0; i < G_N_ELEMENTS (bounds_s); i++)
    {
      read_policy_t read_policy = confirmed_at (START_US);
      uint64_t bound_us = (uint64_t)bounds_s[i] * CLOCK_US_PER_S;
      read_policy_stream_t stream = { .patience_us = PATIENCE_US, .bound_us = bound_us };
      read_policy_view_t next = { .has_copy = true, .earlier_readers = 4, .reader_count = 5 };

      CU_ASSERT_EQUAL (
          read_policy_decide (&read_policy, &stream, &next, START_US + bound_us * 85 / 100),
          READ_POLICY_READ_ONCE);
    }
}

/* Guards against the only gateway that reaches the store reading it just once in 2 s. */
static void
test_acting_follower_reads_until_a_peer_confirms (void)
{
  static const read_policy_stream_t stream = { .patience_us = PATIENCE_US,
                                               .bound_us = 2 * CLOCK_US_PER_S };
  read_policy_t read_policy = confirmed_at (START_US);
  uint64_t now_us = START_US + 2 * CLOCK_US_PER_S;
  read_policy_view_t view = other;

  CU_ASSERT_EQUAL (read_policy_decide (&read_policy, &stream, &view, now_us),
                   READ_POLICY_READ_ONCE);
  view.answered_us = view.read_started_us = now_us;
  CU_ASSERT_EQUAL (read_policy_decide (&read_policy, &stream, &view, now_us + 1),
                   READ_POLICY_FOLLOW);
  view.store_call_failed = true;
  CU_ASSERT_EQUAL (read_policy_decide (&read_policy, &stream, &view, now_us + 2), READ_POLICY_WAIT);
  view.store_call_failed = false;
  read_policy_apply_peer (&read_policy, now_us, at (7), at (7), now_us - 1);
  CU_ASSERT_EQUAL (read_policy_decide (&read_policy, &stream, &view, now_us + 3),
                   READ_POLICY_FOLLOW);
  read_policy_apply_peer (&read_policy, now_us + 4, at (7), at (7), now_us + 4);
  CU_ASSERT_EQUAL (read_policy_decide (&read_policy, &stream, &view, now_us + 5), READ_POLICY_WAIT);
  view.answered_us = now_us + 6;
  CU_ASSERT_EQUAL (read_policy_decide (&read_policy, &stream, &view, now_us + 7), READ_POLICY_WAIT);
}

/* Guards against a hundred gateways that read at once although three of them follow the store,
 * because it took longer than 2 s until all knew of it. A bound of 4 s allows for more. */
static void
test_copy_stays_current_longer_with_a_longer_bound (void)
{
  read_policy_stream_t slow = { .patience_us = PATIENCE_US, .bound_us = 4 * CLOCK_US_PER_S };
  uint64_t end_us = START_US + slow.bound_us * READ_POLICY_FRESH_PERCENT / 100;
  read_policy_t read_policy = confirmed_at (START_US);

  CU_ASSERT (end_us > START_US + READ_POLICY_FRESH_US);
  CU_ASSERT_EQUAL (read_policy_decide (&read_policy, &slow, &other, end_us - 1), READ_POLICY_WAIT);
  CU_ASSERT_EQUAL (read_policy_decide (&read_policy, &slow, &other, end_us), READ_POLICY_READ_ONCE);
  slow.bound_us = CLOCK_US_PER_S;
  end_us = START_US + slow.bound_us * READ_POLICY_FRESH_MAX_PERCENT / 100;
  read_policy = confirmed_at (START_US);
  CU_ASSERT_EQUAL (read_policy_decide (&read_policy, &slow, &other, end_us - 1), READ_POLICY_WAIT);
  CU_ASSERT_EQUAL (read_policy_decide (&read_policy, &slow, &other, end_us), READ_POLICY_READ_ONCE);
}

/* The store has just answered a peer that has a lower offset than this gateway. That answer may be
 * older than the new records that this gateway has, so it may also be older than new records that
 * it lacks. */
static void
test_peer_with_lower_offset_confirms_nothing (void)
{
  read_policy_t read_policy = { 0 };

  read_policy_apply_peer (&read_policy, START_US, at (6), at (7), START_US);
  CU_ASSERT_EQUAL (read_policy_current_as_of_us (&read_policy, &other), 0);
}

/* Guards against calls to the store that grow with the gateways, when each reads the new records
 * itself.
 */
static void
test_new_records_are_fetched_from_a_peer (void)
{
  read_policy_t read_policy = confirmed_at (START_US);

  read_policy_apply_peer (&read_policy, START_US, at (8), at (7), START_US);
  CU_ASSERT (read_policy_should_ask_peer (&read_policy, &engines_stream, &other, START_US));
  CU_ASSERT_EQUAL (read_policy_decide (&read_policy, &engines_stream, &other, START_US),
                   READ_POLICY_WAIT);
  CU_ASSERT_EQUAL (
      read_policy_decide (&read_policy, &engines_stream, &other, START_US + PATIENCE_US - 1),
      READ_POLICY_WAIT);
  CU_ASSERT (!read_policy_should_ask_peer (&read_policy, &engines_stream, &follower, START_US));
  CU_ASSERT_EQUAL (read_policy_decide (&read_policy, &engines_stream, &follower, START_US),
                   READ_POLICY_FOLLOW);
}

/* The usual source of new records doesn't bring them: the other one is tried too. */
static void
test_other_source_is_tried_after_the_patience (void)
{
  read_policy_t read_policy = confirmed_at (START_US);

  read_policy_apply_peer (&read_policy, START_US, at (8), at (7), START_US);
  CU_ASSERT_EQUAL (
      read_policy_decide (&read_policy, &engines_stream, &other, START_US + PATIENCE_US),
      READ_POLICY_READ_ONCE);
  CU_ASSERT (!read_policy_should_ask_peer (&read_policy, &engines_stream, &follower,
                                           START_US + PATIENCE_US - 1));
  CU_ASSERT (read_policy_should_ask_peer (&read_policy, &engines_stream, &follower,
                                          START_US + PATIENCE_US));
}

/* A follower can't reach the store: it fetches the new records from a peer long before the end of
 * its patience with the store. */
static void
test_follower_without_store_asks_a_peer_soon (void)
{
  read_policy_t read_policy = confirmed_at (START_US);

  read_policy_apply_peer (&read_policy, START_US, at (8), at (7), START_US);
  CU_ASSERT (!read_policy_should_ask_peer (&read_policy, &engines_stream, &follower_lost,
                                           START_US + READ_POLICY_ASK_PEER_US - 1));
  CU_ASSERT (read_policy_should_ask_peer (&read_policy, &engines_stream, &follower_lost,
                                          START_US + READ_POLICY_ASK_PEER_US));
}

/*
 * Guards against a gateway that reads the store all the time while engines are replaced one after
 * the other: each message of a peer then has a higher offset, and none the same one. Once the
 * peer's copy has been applied, the store's answer to that peer counts here too.
 */
static void
test_fetched_copy_counts_as_confirmed (void)
{
  read_policy_t read_policy = confirmed_at (START_US);
  uint64_t later_us = START_US + 2 * READ_POLICY_FRESH_US;

  read_policy_apply_peer (&read_policy, later_us, at (8), at (7), later_us - 1);
  CU_ASSERT_EQUAL (read_policy_decide (&read_policy, &engines_stream, &other, later_us),
                   READ_POLICY_READ_ONCE);
  read_policy_caught_up (&read_policy, true);
  CU_ASSERT_EQUAL (read_policy_decide (&read_policy, &engines_stream, &other, later_us),
                   READ_POLICY_WAIT);
  CU_ASSERT_EQUAL (read_policy_current_as_of_us (&read_policy, &other), later_us - 1);
}

/* The fetch failed: it confirms nothing, and the peer's next message starts another fetch. */
static void
test_failed_fetch_confirms_nothing (void)
{
  read_policy_t read_policy = confirmed_at (START_US);

  read_policy_apply_peer (&read_policy, START_US + 1, at (8), at (7), START_US + 1);
  read_policy_fetch_failed (&read_policy);
  CU_ASSERT_EQUAL (read_policy_current_as_of_us (&read_policy, &other), START_US);
  CU_ASSERT (!read_policy_should_ask_peer (&read_policy, &engines_stream, &other, START_US + 1));
  read_policy_apply_peer (&read_policy, START_US + 2, at (8), at (7), START_US + 2);
  CU_ASSERT (read_policy_should_ask_peer (&read_policy, &engines_stream, &other, START_US + 2));
}

/* Guards against a version that comes too late because it is large and the store doesn't answer. */
static void
test_large_records_are_asked_of_a_peer_after_the_patience (void)
{
  read_policy_t read_policy = confirmed_at (START_US);

  read_policy_apply_peer (&read_policy, START_US, at (8), at (7), START_US);
  read_policy_fetch_too_large (&read_policy);
  CU_ASSERT_EQUAL (read_policy_decide (&read_policy, &engines_stream, &other, START_US),
                   READ_POLICY_READ_ONCE);
  CU_ASSERT (!read_policy_should_ask_peer (&read_policy, &engines_stream, &other,
                                           START_US + PATIENCE_US - 1));
  CU_ASSERT (
      read_policy_should_ask_peer (&read_policy, &engines_stream, &other, START_US + PATIENCE_US));
  read_policy_caught_up (&read_policy, false);
  CU_ASSERT (
      !read_policy_should_ask_peer (&read_policy, &engines_stream, &other, START_US + PATIENCE_US));
}

#define TICK_US (UINT64_C (100) * CLOCK_US_PER_MS)
#define OUTAGE_US (UINT64_C (9) * CLOCK_US_PER_S)

/* Return: reads of gateways that aren't followers during an outage of the store, with all peers up
 */
static uint32_t
reads_in_outage (uint32_t gateways)
{
  g_autofree read_policy_t *policies = g_new0 (read_policy_t, gateways);
  g_autofree read_policy_view_t *views = g_new0 (read_policy_view_t, gateways);
  uint32_t reads = 0;

  for (uint32_t i = 0; i < gateways; i++)
    {
      policies[i] = confirmed_at (START_US);
      views[i] =
          (read_policy_view_t){ .has_copy = true, .earlier_readers = i, .reader_count = gateways };
    }
  for (uint64_t at_us = START_US; at_us < START_US + OUTAGE_US; at_us += TICK_US)
    for (uint32_t i = 0; i < gateways; i++)
      if (read_policy_decide (&policies[i], &engines_stream, &views[i], at_us) != READ_POLICY_WAIT)
        {
          views[i].read_started_us = at_us;
          reads++;
        }
  return reads;
}

/* Guards against calls that grow with the gateways while the store is unavailable, and against
 * gateways that wait for each other without end. */
static void
test_reads_in_an_outage_do_not_grow_with_the_gateways (void)
{
  uint32_t most = (uint32_t)((OUTAGE_US - READ_POLICY_FRESH_US) / READ_POLICY_TURN_US);

  for (uint32_t gateways = 5; gateways <= 5 * 352; gateways *= 4)
    CU_ASSERT (reads_in_outage (gateways) <= most + gateways / 100);
  CU_ASSERT (reads_in_outage (1760) >= most - 5);
  CU_ASSERT (reads_in_outage (4) >= 4 * 5);
}

/*
 * After an outage of the store, engines whose entries lapsed write them again within 2 s. An entry
 * that goes missing later belongs to an engine that leaves. It must not be kept, even if the peer
 * that reports it is not sure: requests would reach an engine that has left.
 */
static void
test_entries_lapse_only_around_an_outage (void)
{
  CU_ASSERT (read_policy_may_have_lapsed (START_US, true, START_US + READ_POLICY_LAPSE_US - 1));
  CU_ASSERT (!read_policy_may_have_lapsed (START_US, true, START_US + READ_POLICY_LAPSE_US));
  CU_ASSERT (!read_policy_may_have_lapsed (START_US, false, START_US));
  CU_ASSERT (!read_policy_may_have_lapsed (0, true, START_US));
  CU_ASSERT (!read_policy_may_have_lapsed (START_US, true, START_US + 4500 * CLOCK_US_PER_MS));
}

/* Guards against gateways of two eras that confirm each other by the same offset, one of a build
 * without eras among them, and against a gateway that does not ask the one that is ahead. */
static void
test_peer_of_another_era_confirms_nothing (void)
{
  read_policy_t read_policy = { 0 };

  read_policy_apply_peer (&read_policy, START_US, (position_t){ 1, 7 }, (position_t){ 2, 7 },
                          START_US);
  read_policy_apply_peer (&read_policy, START_US, at (7), (position_t){ 2, 7 }, START_US);
  read_policy_apply_peer (&read_policy, START_US, at (99), (position_t){ 2, 7 }, START_US);
  CU_ASSERT_EQUAL (read_policy.current_as_of_us, 0);
  CU_ASSERT_FALSE (read_policy.fetch_due);
  read_policy_apply_peer (&read_policy, START_US, (position_t){ 3, 1 }, (position_t){ 2, 7 },
                          START_US);
  CU_ASSERT_EQUAL (read_policy.current_as_of_us, 0);
  CU_ASSERT_TRUE (read_policy.fetch_due);
  CU_ASSERT_EQUAL (read_policy.behind_since_us, START_US);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    SUITE_TEST (test_only_followers_read),
    SUITE_TEST (test_gateway_reads_when_no_peer_confirms_its_copy),
    SUITE_TEST (test_next_reader_meets_the_bound),
    SUITE_TEST (test_acting_follower_reads_until_a_peer_confirms),
    SUITE_TEST (test_copy_stays_current_longer_with_a_longer_bound),
    SUITE_TEST (test_peer_with_lower_offset_confirms_nothing),
    SUITE_TEST (test_new_records_are_fetched_from_a_peer),
    SUITE_TEST (test_other_source_is_tried_after_the_patience),
    SUITE_TEST (test_follower_without_store_asks_a_peer_soon),
    SUITE_TEST (test_fetched_copy_counts_as_confirmed),
    SUITE_TEST (test_failed_fetch_confirms_nothing),
    SUITE_TEST (test_large_records_are_asked_of_a_peer_after_the_patience),
    SUITE_TEST (test_reads_in_an_outage_do_not_grow_with_the_gateways),
    SUITE_TEST (test_entries_lapse_only_around_an_outage),
    SUITE_TEST (test_peer_of_another_era_confirms_nothing),
    CU_TEST_INFO_NULL
  };

  return suite_run ("read_duty", tests);
}
