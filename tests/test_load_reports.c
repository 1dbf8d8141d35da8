/* Unit tests of the reports of high engine loads that gateways pass on to each other. */
#include "request/policy/engines.h"
#include "request/policy/load_reports.h"
#include "tests/suite.h"

#define S_US (UINT64_C (1000) * 1000)
#define NOW_US (UINT64_C (1000) * S_US)

static void
test_loads_over_the_limit_are_passed_on (void)
{
  CU_ASSERT_FALSE (load_reports_is_high (8, 3000, 2, 3000));
  CU_ASSERT_TRUE (load_reports_is_high (9, 3000, 2, 3000));
  CU_ASSERT_FALSE (load_reports_is_high (0, 0, 2, 3000));
}

static void
test_latest_report_of_an_engine_counts (void)
{
  load_reports_t reports = { 0 };
  load_report_t out[LOAD_REPORTS_MAX];

  CU_ASSERT_TRUE (load_reports_add (&reports, NOW_US, &(load_report_t){ 1, 12, NOW_US - S_US }));
  CU_ASSERT_FALSE (
      load_reports_add (&reports, NOW_US, &(load_report_t){ 1, 30, NOW_US - 2 * S_US }));
  CU_ASSERT_TRUE (load_reports_add (&reports, NOW_US, &(load_report_t){ 1, 10, NOW_US }));
  CU_ASSERT_TRUE (load_reports_add (&reports, NOW_US, &(load_report_t){ 2, 20, NOW_US - S_US }));
  CU_ASSERT_FALSE (load_reports_add (&reports, NOW_US,
                                     &(load_report_t){ 3, 9, NOW_US - LOAD_REPORTS_AGE_MAX_US }));
  CU_ASSERT_EQUAL (load_reports_latest (&reports, NOW_US, out, LOAD_REPORTS_MAX), 2);
  CU_ASSERT (out[0].engine_hash == 1 && out[0].load == 10);
  CU_ASSERT (out[1].engine_hash == 2 && out[1].load == 20);
  CU_ASSERT_EQUAL (
      load_reports_latest (&reports, NOW_US + LOAD_REPORTS_AGE_MAX_US, out, LOAD_REPORTS_MAX), 0);
}

static void
test_number_of_reports_is_limited (void)
{
  load_reports_t reports = { 0 };
  load_report_t out[LOAD_REPORTS_MAX];

  for (uint64_t i = 1; i <= 3 * LOAD_REPORTS_MAX; i++)
    CU_ASSERT_TRUE (
        load_reports_add (&reports, NOW_US, &(load_report_t){ i, 12, NOW_US - 100 + i }));
  CU_ASSERT_EQUAL (load_reports_latest (&reports, NOW_US, out, 4), 4);
  CU_ASSERT_EQUAL (out[0].engine_hash, 3 * LOAD_REPORTS_MAX);
}

/* Guards against an engine that looks empty to a gateway that calls it seldom, although others have
 * reports of its load. */
static void
test_peer_report_counts_until_the_engine_reports (void)
{
  engines_t *engines = engines_new ();
  engine_entry_t entry = { .id = "e0", .service = g_intern_static_string ("pool"), .slots = 64 };
  engine_t *engine = engines_put (engines, NOW_US, &entry);

  engine_note_load (engine, NOW_US, &(engine_load_t){ .running = 2, .slots = 64 });
  engine_note_peer_load (engine, NOW_US - 1, 40);
  CU_ASSERT_EQUAL (engine_estimate_load (engine, NOW_US, 2000), 2);
  engine_note_peer_load (engine, NOW_US + 1, 40);
  CU_ASSERT (engine_estimate_load (engine, NOW_US + 1, 2000) >= 39);
  engine_note_load (engine, NOW_US + 2, &(engine_load_t){ .running = 3, .slots = 64 });
  CU_ASSERT_EQUAL (engine_estimate_load (engine, NOW_US + 2, 2000), 3);
  CU_ASSERT_PTR_EQUAL (engines_find_by_hash (engines, engine->hash), engine);
  CU_ASSERT_PTR_NULL (engines_find_by_hash (engines, engine->hash + 1));
  engines_free (engines);
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
