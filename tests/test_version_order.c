/* Unit tests of the order of versions of the configuration, beside numbers of another writer. */
#include "suite.h"
#include "version/version_order.h"

#include <glib.h>

#define RANDOM_SEEDS 200
#define STEPS 40

static void
test_lower_version_is_a_delayed_write (void)
{
  version_order_t order = { 0 };

  CU_ASSERT (version_order_take (&order, 7));
  CU_ASSERT (!version_order_take (&order, 7));
  CU_ASSERT (!version_order_take (&order, 5));
  CU_ASSERT (version_order_take (&order, 9));
  CU_ASSERT (!version_order_take (&order, 8));
  CU_ASSERT_EQUAL (order.in_force, 9);
}

/* Guards against operators' versions that never come in force after one too large a number. */
static void
test_next_version_replaces_one_that_leapt (void)
{
  static const uint64_t odd[] = { UINT64_C (1) << 40, (UINT64_C (1) << 53) - 1, INT64_MAX,
                                  UINT64_MAX };

  for (size_t i = 0; i < G_N_ELEMENTS (odd); i++)
    {
      version_order_t order = { 0 };

      CU_ASSERT (version_order_take (&order, 7));
      CU_ASSERT (version_order_take (&order, odd[i]));
      CU_ASSERT (!version_order_take (&order, 6));
      CU_ASSERT (!version_order_take (&order, 7));
      CU_ASSERT (version_order_take (&order, 9));
      CU_ASSERT (!version_order_take (&order, 8));
      CU_ASSERT (version_order_take (&order, 12));
      CU_ASSERT_EQUAL (order.in_force, 12);
    }
}

/* Likewise where it is all that a gateway has read since its start. */
static void
test_next_version_replaces_a_first_one_that_leapt (void)
{
  version_order_t order = { 0 };

  CU_ASSERT (version_order_take (&order, INT64_MAX));
  CU_ASSERT (version_order_take (&order, 9));
  CU_ASSERT (!version_order_take (&order, 8));
}

/* Versions may be times. */
static void
test_large_versions_in_small_steps_only_rise (void)
{
  const uint64_t start = UINT64_C (1791152480123);
  version_order_t order = { 0 };

  CU_ASSERT (version_order_take (&order, start));
  CU_ASSERT (version_order_take (&order, start + 60000));
  CU_ASSERT (!version_order_take (&order, start + 1));
  CU_ASSERT (!version_order_take (&order, 7));
  CU_ASSERT_EQUAL (order.in_force, start + 60000);
}

/* Whatever another writer states once between them, each version of the operators comes in force.
 */
static void
test_every_rising_version_comes_in_force (void)
{
  for (uint32_t seed = 0; seed < RANDOM_SEEDS; seed++)
    {
      g_autoptr (GRand) rand = g_rand_new_with_seed (seed);
      version_order_t order = { 0 };
      uint64_t version = 1;

      for (uint32_t step = 0; step < STEPS; step++)
        {
          version += (uint64_t)g_rand_int_range (rand, 1, 1000);
          version_order_take (&order, version);
          CU_ASSERT_EQUAL (order.in_force, version);
          if (g_rand_boolean (rand))
            version_order_take (&order, (uint64_t)g_rand_int (rand) << 31 |
                                            VERSION_ORDER_LEAP << g_rand_int_range (rand, 2, 30));
        }
    }
}

int
main (void)
{
  static const CU_TestInfo tests[] = { SUITE_TEST (test_lower_version_is_a_delayed_write),
                                       SUITE_TEST (test_next_version_replaces_one_that_leapt),
                                       SUITE_TEST (
                                           test_next_version_replaces_a_first_one_that_leapt),
                                       SUITE_TEST (test_large_versions_in_small_steps_only_rise),
                                       SUITE_TEST (test_every_rising_version_comes_in_force),
                                       CU_TEST_INFO_NULL };

  return suite_run ("version_order", tests);
}
