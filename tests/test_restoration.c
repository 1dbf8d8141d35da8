/* Unit tests of how long a stream keeps what was known before the store came back from a copy, and
 * of the order of engine entries. */
#include "request/policy/store/restoration.h"
#include "suite.h"

#define START_US (UINT64_C (100) * 1000 * 1000)
#define RENEWAL_MS 1200

/* Guards against a state that is kept for good, or let go before engines wrote their entries. */
static void
test_each_limit_is_due_once (void)
{
  restoration_limits_t limits = restoration_engine_limits (RENEWAL_MS);
  restoration_t restoration = { 0 };

  CU_ASSERT (!restoration_note_listing (&restoration, START_US, 0, &limits));
  CU_ASSERT (!restoration_take_drop_due (&restoration, UINT64_MAX));
  CU_ASSERT (restoration_note_listing (&restoration, START_US, 1, &limits));
  CU_ASSERT (!restoration_note_listing (&restoration, START_US + 1, 1, &limits));
  CU_ASSERT (!restoration_take_drop_due (&restoration, START_US + limits.missing_us - 1));
  CU_ASSERT (restoration_take_drop_due (&restoration, START_US + limits.missing_us));
  CU_ASSERT (!restoration_take_drop_due (&restoration, START_US + limits.missing_us));
  CU_ASSERT (!restoration_take_apply_due (&restoration, START_US + limits.held_us - 1));
  CU_ASSERT (restoration_take_apply_due (&restoration, START_US + limits.held_us));
  CU_ASSERT (!restoration_take_apply_due (&restoration, UINT64_MAX));
}

/* Guards against a state that is let go too soon, when the store comes back from a copy twice. */
static void
test_second_restoration_begins_anew (void)
{
  restoration_limits_t limits = restoration_other_limits ();
  restoration_t restoration = { 0 };

  CU_ASSERT (!restoration_note_listing (&restoration, START_US, 3, &limits));
  CU_ASSERT (restoration_note_listing (&restoration, START_US + 1000, 4, &limits));
  CU_ASSERT (!restoration_take_drop_due (&restoration, START_US + limits.missing_us));
  CU_ASSERT (restoration_take_drop_due (&restoration, START_US + 1000 + limits.missing_us));
}

/* Guards against an order to drain a data centre that is held for longer than it may take. */
static void
test_orders_to_drain_are_held_for_less_than_their_bound (void)
{
  static const uint32_t bounds_ms[] = { 500, 5000, 600 * 1000 };

  for (uint32_t i = 0; i < G_N_ELEMENTS (bounds_ms); i++)
    {
      restoration_limits_t limits = restoration_routing_limits (bounds_ms[i]);
      restoration_t restoration = { 0 };
      uint64_t half_us = (uint64_t)bounds_ms[i] * 1000 / 2;

      restoration_note_listing (&restoration, START_US, 0, &limits);
      restoration_note_listing (&restoration, START_US, 1, &limits);
      CU_ASSERT (!restoration_take_drains_due (&restoration, START_US + limits.held_drain_us - 1));
      CU_ASSERT (restoration_take_drains_due (&restoration, START_US + half_us));
      CU_ASSERT (!restoration_take_drains_due (&restoration, UINT64_MAX));
      CU_ASSERT (restoration_is_pending (&restoration));
    }
}

/* An entry that no engine renews must be gone from the store before what was known is given up for
 * it. */
static void
test_deleted_engines_stay_so_until_the_platform_removes_the_entry (void)
{
  restoration_limits_t limits = restoration_engine_limits (RENEWAL_MS);

  CU_ASSERT (limits.held_us > UINT64_C (3) * RENEWAL_MS * 1000);
  CU_ASSERT (limits.missing_us > UINT64_C (2000) * 1000);
}

static engine_entry_t
entry (uint64_t born_ms, uint64_t renewal, engine_state_t state)
{
  return (engine_entry_t){ .born_ms = born_ms, .renewal = renewal, .state = state };
}

static int
compare (engine_entry_t known, engine_entry_t other)
{
  return restoration_compare_entries (&known, &other);
}

/* Guards against a leaving engine that counts as ready again by the entry of the copy. */
static void
test_entries_of_an_engine_are_ordered (void)
{
  CU_ASSERT (compare (entry (0, 7, ENGINE_LEAVING), entry (0, 3, ENGINE_READY)) < 0);
  CU_ASSERT (compare (entry (0, 7, ENGINE_LEAVING), entry (0, 9, ENGINE_READY)) > 0);
  CU_ASSERT (compare (entry (0, 7, ENGINE_READY), entry (0, 7, ENGINE_READY)) == 0);
  CU_ASSERT (compare (entry (0, 0, ENGINE_LEAVING), entry (0, 0, ENGINE_READY)) < 0);
  CU_ASSERT (compare (entry (0, 0, ENGINE_READY), entry (0, 4, ENGINE_LEAVING)) > 0);
  CU_ASSERT (compare (entry (5, 1, ENGINE_READY), entry (4, 9, ENGINE_LEAVING)) < 0);
  CU_ASSERT (compare (entry (4, 9, ENGINE_LEAVING), entry (5, 1, ENGINE_READY)) > 0);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    SUITE_TEST (test_each_limit_is_due_once),
    SUITE_TEST (test_second_restoration_begins_anew),
    SUITE_TEST (test_orders_to_drain_are_held_for_less_than_their_bound),
    SUITE_TEST (test_deleted_engines_stay_so_until_the_platform_removes_the_entry),
    SUITE_TEST (test_entries_of_an_engine_are_ordered),
    CU_TEST_INFO_NULL
  };

  return suite_run ("restoration", tests);
}
