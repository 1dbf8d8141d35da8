/* Unit tests of how fast an engine answers against the others of its service. */
#include "request/policy/pace.h"
#include "suite.h"

#include <glib.h>

#define USUAL_US 24000
#define SLOW_US (6 * USUAL_US)

static void
settle (pac_t *pac, uint32_t samples, uint32_t one_slow_in)
{
  for (uint32_t i = 0; i < samples; i++)
    pac_sample (pac, one_slow_in > 0 && i % one_slow_in == 0 ? SLOW_US : USUAL_US);
}

static void
test_first_sample_is_usual (void)
{
  pac_t pac = { 0 };

  CU_ASSERT_EQUAL (pac_sample (&pac, SLOW_US), 1000);
  CU_ASSERT_EQUAL (pac.usual_us, SLOW_US);
}

/* A quarter of the engines becomes slower by six, and stays so. They stand out against the usual
 * all the time, not only until the usual has followed them. */
static void
test_slow_quarter_stands_out (void)
{
  pac_t pac = { 0 };

  settle (&pac, 200, 0);
  settle (&pac, 2000, 4);
  CU_ASSERT (pac_sample (&pac, SLOW_US) > 4000);
  CU_ASSERT (pac_sample (&pac, USUAL_US) < 1400);
}

/* All engines are slow alike, as in an overload: soon that is the usual, and none stands out. */
static void
test_all_slow_is_usual (void)
{
  pac_t pac = { 0 };

  settle (&pac, 200, 0);
  settle (&pac, 200, 1);
  CU_ASSERT (pac_sample (&pac, SLOW_US) < 1200);
}

static void
test_ratio_is_bounded (void)
{
  pac_t pac = { 0 };

  settle (&pac, 10, 0);
  CU_ASSERT_EQUAL (pac_sample (&pac, UINT64_C (1) << 50), 10000);
  for (uint32_t i = 0; i < 5000; i++)
    pac_sample (&pac, 0);
  CU_ASSERT (pac.usual_us >= 1);
  CU_ASSERT (pac_sample (&pac, USUAL_US) <= 10000);
}

int
main (void)
{
  static const CU_TestInfo tests[] = { SUITE_TEST (test_first_sample_is_usual),
                                       SUITE_TEST (test_slow_quarter_stands_out),
                                       SUITE_TEST (test_all_slow_is_usual),
                                       SUITE_TEST (test_ratio_is_bounded), CU_TEST_INFO_NULL };

  return suite_run ("pace", tests);
}
