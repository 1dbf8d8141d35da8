/* Unit tests of entries that went while the store could not be read. */
#include "request/policy/lapses.h"
#include "suite.h"

#include <glib.h>

#define NOW_US (UINT64_C (100) * 1000 * 1000)
#define KEPT_US (UINT64_C (2500) * 1000)
#define LATER_US (UINT64_C (1200) * 1000)

/* Return: how many are gone at @now_us */
static uint32_t
take_all (lapses_t *lapses, uint64_t now_us)
{
  uint32_t count = 0;

  for (char *id = lapses_take_due (lapses, now_us); id; id = lapses_take_due (lapses, now_us))
    {
      count++;
      g_free (id);
    }
  return count;
}

/*
 * A gateway that could not read the store finds that an engine's entry has gone, and 1.2 s later
 * that others' have. The first one had left: kept for as long as the others, it would get requests
 * later than it may.
 */
static void
test_a_later_lapse_keeps_no_earlier_one (void)
{
  lapses_t *lapses = lapses_new ();

  lapses_add (lapses, "e0", NOW_US + KEPT_US);
  lapses_add (lapses, "e1", NOW_US + LATER_US + KEPT_US);
  lapses_add (lapses, "e0", NOW_US + LATER_US + KEPT_US);
  CU_ASSERT_EQUAL (take_all (lapses, NOW_US + KEPT_US - 1), 0);
  CU_ASSERT_EQUAL (take_all (lapses, NOW_US + KEPT_US), 1);
  CU_ASSERT_EQUAL (lapses_count (lapses), 1);
  CU_ASSERT_EQUAL (take_all (lapses, NOW_US + LATER_US + KEPT_US), 1);
  lapses_free (lapses);
}

/* One whose entry is back is not taken for gone. */
static void
test_one_that_is_back_stays (void)
{
  lapses_t *lapses = lapses_new ();

  lapses_add (lapses, "e0", NOW_US);
  lapses_remove (lapses, "e0");
  CU_ASSERT_EQUAL (take_all (lapses, NOW_US + KEPT_US), 0);
  lapses_free (lapses);
}

int
main (void)
{
  static const CU_TestInfo tests[] = { SUITE_TEST (test_a_later_lapse_keeps_no_earlier_one),
                                       SUITE_TEST (test_one_that_is_back_stays),
                                       CU_TEST_INFO_NULL };

  return suite_run ("lapses", tests);
}
