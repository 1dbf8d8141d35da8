/* Unit tests of the reports of high engine loads that gateways pass on to each other. */
#include "request/policy/engines.h"
#include "request/policy/load_news.h"
#include "tests/suite.h"

#define S_US (UINT64_C (1000) * 1000)
#define NOW_US (UINT64_C (1000) * S_US)

static void
test_loads_over_the_limit_are_passed_on (void)
{
  CU_ASSERT_FALSE (lnw_is_news (8, 3000, 2, 3000));
  CU_ASSERT_TRUE (lnw_is_news (9, 3000, 2, 3000));
  CU_ASSERT_FALSE (lnw_is_news (0, 0, 2, 3000));
}

static void
test_latest_report_of_an_engine_counts (void)
{
  lnw_t reports = { 0 };
  lnw_item_t out[LNW_MOST];

  CU_ASSERT_TRUE (lnw_add (&reports, NOW_US, &(lnw_item_t){ 1, 12, NOW_US - S_US }));
  CU_ASSERT_FALSE (lnw_add (&reports, NOW_US, &(lnw_item_t){ 1, 30, NOW_US - 2 * S_US }));
  CU_ASSERT_TRUE (lnw_add (&reports, NOW_US, &(lnw_item_t){ 1, 10, NOW_US }));
  CU_ASSERT_TRUE (lnw_add (&reports, NOW_US, &(lnw_item_t){ 2, 20, NOW_US - S_US }));
  CU_ASSERT_FALSE (lnw_add (&reports, NOW_US, &(lnw_item_t){ 3, 9, NOW_US - LNW_AGE_US }));
  CU_ASSERT_EQUAL (lnw_take (&reports, NOW_US, out, LNW_MOST), 2);
  CU_ASSERT (out[0].engine_hash == 1 && out[0].load == 10);
  CU_ASSERT (out[1].engine_hash == 2 && out[1].load == 20);
  CU_ASSERT_EQUAL (lnw_take (&reports, NOW_US + LNW_AGE_US, out, LNW_MOST), 0);
}

static void
test_number_of_reports_is_limited (void)
{
  lnw_t reports = { 0 };
  lnw_item_t out[LNW_MOST];

  for (uint64_t i = 1; i <= 3 * LNW_MOST; i++)
    CU_ASSERT_TRUE (lnw_add (&reports, NOW_US, &(lnw_item_t){ i, 12, NOW_US - 100 + i }));
  CU_ASSERT_EQUAL (lnw_take (&reports, NOW_US, out, 4), 4);
  CU_ASSERT_EQUAL (out[0].engine_hash, 3 * LNW_MOST);
}

/* Guards against an engine that looks empty to a gateway that calls it seldom, although others have
 * reports of its load. */
static void
test_peer_report_counts_until_the_engine_reports (void)
{
  egs_t *engines = egs_new ();
  egn_entry_t entry = { .id = "e0", .service = g_intern_static_string ("pool"), .slots = 64 };
  egn_t *engine = egs_put (engines, NOW_US, &entry);

  egn_told (engine, NOW_US, &(egn_load_t){ .running = 2, .slots = 64 });
  egn_heard (engine, NOW_US - 1, 40);
  CU_ASSERT_EQUAL (egn_load_now (engine, NOW_US, 2000), 2);
  egn_heard (engine, NOW_US + 1, 40);
  CU_ASSERT (egn_load_now (engine, NOW_US + 1, 2000) >= 39);
  egn_told (engine, NOW_US + 2, &(egn_load_t){ .running = 3, .slots = 64 });
  CU_ASSERT_EQUAL (egn_load_now (engine, NOW_US + 2, 2000), 3);
  CU_ASSERT_PTR_EQUAL (egs_find_hash (engines, engine->hash), engine);
  CU_ASSERT_PTR_NULL (egs_find_hash (engines, engine->hash + 1));
  egs_free (engines);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    SUITE_TEST (test_loads_over_the_limit_are_passed_on),
    SUITE_TEST (test_latest_report_of_an_engine_counts),
    SUITE_TEST (test_number_of_reports_is_limited),
    SUITE_TEST (test_peer_report_counts_until_the_engine_reports),
    CU_TEST_INFO_NULL,
  };

  return suite_run ("load_reports", tests);
}
