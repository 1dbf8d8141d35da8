/* Unit tests of entries that went missing while the store could not be read. */
#include "request/policy/engines/lapses.h"
#include "suite.h"

#include <glib.h>

#define NOW_US (UINT64_C (100) * 1000 * 1000)
#define KEEP_US (UINT64_C (2500) * 1000)
#define DELAY_US (UINT64_C (1200) * 1000)

/* Takes all engines that are due at @now_us. Return: their number */
static uint32_t
count_due (lapses_t *lapses, uint64_t now_us)
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
 * Guards against requests to an engine that left too long ago. A gateway that could not read the
 * store finds one entry missing, and others 1.2 s later. If the first one were kept as long as
 * those, its engine would get requests later than allowed.
 */
static void
test_later_lapse_does_not_extend_an_earlier_one (void)
{
  lapses_t *lapses = lapses_new ();

  lapses_add (lapses, "e0", NOW_US + KEEP_US);
  lapses_add (lapses, "e1", NOW_US + DELAY_US + KEEP_US);
  lapses_add (lapses, "e0", NOW_US + DELAY_US + KEEP_US);
  CU_ASSERT_EQUAL (count_due (lapses, NOW_US + KEEP_US - 1), 0);
  CU_ASSERT_EQUAL (count_due (lapses, NOW_US + KEEP_US), 1);
  CU_ASSERT_EQUAL (lapses_count (lapses), 1);
  CU_ASSERT_EQUAL (count_due (lapses, NOW_US + DELAY_US + KEEP_US), 1);
  lapses_free (lapses);
}

static void
test_returned_entry_is_not_dropped (void)
{
  lapses_t *lapses = lapses_new ();

  lapses_add (lapses, "e0", NOW_US);
  lapses_remove (lapses, "e0");
  CU_ASSERT_EQUAL (count_due (lapses, NOW_US + KEEP_US), 0);
  lapses_free (lapses);
}

int
main (void)
{
  static const CU_TestInfo tests[] = { SUITE_TEST (test_later_lapse_does_not_extend_an_earlier_one),
                                       SUITE_TEST (test_returned_entry_is_not_dropped),
                                       CU_TEST_INFO_NULL };

  return suite_run ("lapses", tests);
}
