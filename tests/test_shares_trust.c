/* Tests of what gateways may resume while the store is out for all of them, or for some. */
#include "request/policy/streams/shares_trust.h"
#include "request/policy/streams/version_shares.h"
#include "suite.h"

#define S_US (UINT64_C (1000) * 1000)
#define TICK_US (S_US / 10)

static const uint32_t fleets[] = { 1, 2, 6, 22, 385 };

/* Return: whether the tables are trusted after @seconds of @view */
static bool
play (shares_trust_t *trust, shares_trust_view_t view, uint64_t *now_us, uint32_t seconds)
{
  bool trusted = false;

  for (uint64_t until_us = *now_us + seconds * S_US; *now_us < until_us; *now_us += TICK_US)
    trusted = shares_trust_update (trust, &view, *now_us);
  return trusted;
}

/* The store is out for all: each gateway begins streams by the table that it has, and must be able
 * to resume them, however long that lasts, and afterwards. */
static void
test_out_for_all (void)
{
  for (size_t i = 0; i < sizeof fleets / sizeof fleets[0]; i++)
    {
      uint64_t now_us = 100 * S_US;
      shares_trust_t trust = { 0 };
      shares_trust_view_t view = { .is_current = true,
                                   .known = fleets[i] - 1,
                                   .heard = fleets[i] - 1 };

      CU_ASSERT_TRUE (play (&trust, view, &now_us, 5));
      view.is_current = false;
      CU_ASSERT_TRUE (play (&trust, view, &now_us, 60));
      view.heard = view.known / 2 + 1;
      CU_ASSERT_TRUE (play (&trust, view, &now_us, 60));
      view.is_current = true;
      CU_ASSERT_TRUE (play (&trust, view, &now_us, 5));
    }
}

/* A gateway that is cut off from the store and from most others knows no table that those put in
 * force, so it must not resume by its own for longer than one is announced. */
static void
test_cut_off (void)
{
  for (size_t i = 1; i < sizeof fleets / sizeof fleets[0]; i++)
    {
      uint64_t now_us = 100 * S_US;
      shares_trust_t trust = { 0 };
      shares_trust_view_t view = { .is_current = true, .known = fleets[i] - 1 };

      CU_ASSERT_TRUE (play (&trust, view, &now_us, 5));
      view.is_current = false;
      view.heard = (fleets[i] - 1) / 2;
      CU_ASSERT_FALSE (play (&trust, view, &now_us, 4));
    }
}

/* A gateway that started meanwhile, and is in no registry that the others can read, still reaches
 * the store: it may write a table, so nobody else may resume by the old one. */
static void
test_writer_that_is_not_known (void)
{
  for (size_t i = 0; i < sizeof fleets / sizeof fleets[0]; i++)
    {
      uint64_t now_us = 100 * S_US;
      shares_trust_t trust = { 0 };
      shares_trust_view_t view = { .is_current = true,
                                   .known = fleets[i] - 1,
                                   .heard = fleets[i] - 1,
                                   .stranger_store_us = 90 * S_US };

      CU_ASSERT_TRUE (play (&trust, view, &now_us, 5));
      view.is_current = false;
      CU_ASSERT_TRUE (play (&trust, view, &now_us, 5));
      view.stranger_store_us = now_us;
      CU_ASSERT_FALSE (play (&trust, view, &now_us, VERSION_SHARES_ANNOUNCED_US / S_US + 1));
      view.is_current = true;
      CU_ASSERT_TRUE (play (&trust, view, &now_us, 1));
      view.is_current = false;
      CU_ASSERT_TRUE (play (&trust, view, &now_us, 5));
    }
}

/* A gateway that has never been current knows no tables, also when it knows no others. */
static void
test_start_in_an_outage (void)
{
  uint64_t now_us = 100 * S_US;
  shares_trust_t trust = { 0 };

  CU_ASSERT_FALSE (play (&trust, (shares_trust_view_t){ .known = 0 }, &now_us, 10));
}

int
main (void)
{
  CU_TestInfo tests[] = {
    SUITE_TEST (test_out_for_all),
    SUITE_TEST (test_cut_off),
    SUITE_TEST (test_writer_that_is_not_known),
    SUITE_TEST (test_start_in_an_outage),
    CU_TEST_INFO_NULL,
  };

  return suite_run ("shares_trust", tests);
}
