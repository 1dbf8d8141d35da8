/* Unit tests of the table of engines that hold shared parts of prompts. */
#include "request/policy/directory/part_holders.h"
#include "suite.h"

#include <glib.h>

G_DEFINE_AUTOPTR_CLEANUP_FUNC (part_holders_t, part_holders_free)

#define NOW_US (UINT64_C (100) * 1000 * 1000)
#define PARTS 4096

static uint32_t
count (const part_holders_t *holders, uint64_t now_us, uint64_t part)
{
  part_holder_t found[PART_HOLDERS_PER_PART];

  return part_holders_get (holders, now_us, part, found);
}

/* Guards against an engine counting as a holder after it may have evicted the part, and against a
 * late report making an entry older. */
static void
test_entries_expire (void)
{
  g_autoptr (part_holders_t) holders = part_holders_new (PARTS);

  CU_ASSERT (part_holders_add (holders, NOW_US, 7, 1, NOW_US));
  CU_ASSERT (!part_holders_add (holders, NOW_US, 7, 1, NOW_US - 1000));
  CU_ASSERT (!part_holders_add (holders, NOW_US, 7, 2, NOW_US - PART_HOLDERS_LIFETIME_US));
  CU_ASSERT_EQUAL (count (holders, NOW_US + PART_HOLDERS_LIFETIME_US - 1, 7), 1);
  CU_ASSERT_EQUAL (count (holders, NOW_US + PART_HOLDERS_LIFETIME_US, 7), 0);
  CU_ASSERT (part_holders_add (holders, NOW_US + PART_HOLDERS_LIFETIME_US, 7, 1,
                               NOW_US + PART_HOLDERS_LIFETIME_US));
}

/* Guards against entries that never expire, or that are mistaken for empty places, because a peer
 * states a time to come or hashes of 0. */
static void
test_hostile_entries_are_bounded (void)
{
  g_autoptr (part_holders_t) holders = part_holders_new (PARTS);

  CU_ASSERT (!part_holders_add (holders, NOW_US, 0, 1, NOW_US));
  CU_ASSERT (!part_holders_add (holders, NOW_US, 7, 0, NOW_US));
  CU_ASSERT (part_holders_add (holders, NOW_US, 7, 1, UINT64_MAX));
  CU_ASSERT_EQUAL (count (holders, NOW_US + PART_HOLDERS_LIFETIME_US, 7), 0);
  CU_ASSERT_EQUAL (count (holders, NOW_US, 0), 0);
}

/* Guards against a flood of parts or engines growing the table, or keeping new ones out. */
static void
test_full_table_keeps_the_latest (void)
{
  g_autoptr (part_holders_t) holders = part_holders_new (PARTS);
  part_holder_t found[PART_HOLDERS_PER_PART];
  uint32_t kept = 0;

  for (uint64_t part = 1; part <= 20 * PARTS; part++)
    part_holders_add (holders, NOW_US + part, part, 1, NOW_US + part);
  for (uint64_t part = 19 * PARTS + 1; part <= 20 * PARTS; part++)
    kept += count (holders, NOW_US + 20 * PARTS, part);
  CU_ASSERT_EQUAL (kept, PARTS);
  for (uint64_t engine = 1; engine <= 100; engine++)
    part_holders_add (holders, NOW_US + 30 * PARTS, 5, engine, NOW_US + engine);
  CU_ASSERT_EQUAL (part_holders_get (holders, NOW_US + 30 * PARTS, 5, found),
                   PART_HOLDERS_PER_PART);
  for (uint32_t i = 0; i < PART_HOLDERS_PER_PART; i++)
    CU_ASSERT (found[i].engine > 100 - PART_HOLDERS_PER_PART);
  CU_ASSERT (!part_holders_add (holders, NOW_US + 30 * PARTS, 5, 500, NOW_US));
}

int
main (void)
{
  static const CU_TestInfo tests[] = { SUITE_TEST (test_entries_expire),
                                       SUITE_TEST (test_hostile_entries_are_bounded),
                                       SUITE_TEST (test_full_table_keeps_the_latest),
                                       CU_TEST_INFO_NULL };

  return suite_run ("part_holders", tests);
}
