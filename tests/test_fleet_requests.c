/* Drives the estimate of the requests of all gateways with a paused clock. */
#include "request/policy/engines/engines.h"
#include "request/policy/load/fleet_requests.h"
#include "suite.h"

#include <glib.h>

#define S_US (UINT64_C (1000) * 1000)
#define NOW_US (100 * S_US)
#define SERVICE g_intern_static_string ("pool")
#define OTHER_SERVICE g_intern_static_string ("portal")
#define OWN_HASH 99

static bool
note (fleet_requests_t *table, uint64_t gateway, uint32_t requests, uint64_t told_us)
{
  return fleet_requests_note (table, NOW_US,
                              &(fleet_request_count_t){ gateway, requests, told_us });
}

static void
test_only_later_numbers_are_taken (void)
{
  fleet_requests_t table = { 0 };
  fleet_request_count_t out[4];

  CU_ASSERT_TRUE (note (&table, 1, 10, NOW_US - S_US));
  CU_ASSERT_FALSE (note (&table, 1, 20, NOW_US - S_US));
  CU_ASSERT_FALSE (note (&table, 1, 20, NOW_US - S_US - 1));
  CU_ASSERT_TRUE (note (&table, 1, 12, NOW_US));
  CU_ASSERT_FALSE (note (&table, 2, 5, NOW_US - FLEET_REQUESTS_AGE_MAX_US));
  CU_ASSERT_EQUAL (fleet_requests_latest (&table, NOW_US, out, 4), 1);
  CU_ASSERT_EQUAL (out[0].requests, 12);
}

static void
test_latest_are_passed_on_first (void)
{
  fleet_requests_t table = { 0 };
  fleet_request_count_t out[2];

  for (uint32_t i = 1; i <= FLEET_REQUESTS_MAX + 10; i++)
    CU_ASSERT_TRUE (note (&table, i, i, NOW_US - S_US + i));
  CU_ASSERT_EQUAL (fleet_requests_latest (&table, NOW_US, out, 2), 2);
  CU_ASSERT_EQUAL (out[0].gateway_hash, FLEET_REQUESTS_MAX + 10);
  CU_ASSERT_EQUAL (out[1].gateway_hash, FLEET_REQUESTS_MAX + 9);
}

/* Guards against a gateway with most of the requests counting as the mean of all. */
static void
test_own_requests_count_once (void)
{
  fleet_requests_t table = { 0 };
  fleet_requests_sum_t sum;

  CU_ASSERT_FALSE (fleet_requests_sum (&table, NOW_US, 300, 22).is_known);
  note (&table, 1, 10, NOW_US);
  note (&table, 2, 20, NOW_US - S_US);
  sum = fleet_requests_sum (&table, NOW_US, 300, 22);
  CU_ASSERT_TRUE (sum.is_known);
  CU_ASSERT_EQUAL (sum.milli, 300000 + 21 * 15000);
  CU_ASSERT_EQUAL (sum.age_us, S_US / 2);
}

static void
test_more_gateways_than_known_are_counted (void)
{
  fleet_requests_t table = { 0 };

  note (&table, 1, 10, NOW_US);
  note (&table, 2, 20, NOW_US);
  CU_ASSERT_EQUAL (fleet_requests_sum (&table, NOW_US, 5, 1).milli, 35000);
}

/* Guards against a wide margin over a mean that is made of a few gateways' numbers. */
static void
test_sum_is_certain_when_a_third_have_told (void)
{
  fleet_requests_t table = { 0 };

  for (uint64_t i = 1; i <= 7; i++)
    {
      CU_ASSERT_FALSE (fleet_requests_sum (&table, NOW_US, 5, 22).is_certain);
      note (&table, i, 10, NOW_US);
    }
  CU_ASSERT_TRUE (fleet_requests_sum (&table, NOW_US, 5, 22).is_certain);
}

/* Guards against the numbers of a lost exchange holding on. */
static void
test_old_numbers_do_not_count (void)
{
  fleet_requests_t table = { 0 };

  note (&table, 1, 10, NOW_US);
  CU_ASSERT_TRUE (
      fleet_requests_sum (&table, NOW_US + FLEET_REQUESTS_AGE_MAX_US - 1, 5, 2).is_known);
  CU_ASSERT_FALSE (fleet_requests_sum (&table, NOW_US + FLEET_REQUESTS_AGE_MAX_US, 5, 2).is_known);
}

static void
add_engines (engines_t *engines, const char *service, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      engine_entry_t entry = { .service = service, .slots = 64, .state = ENGINE_READY };

      g_snprintf (entry.id, sizeof entry.id, "%s-%u", service, i);
      engines_put (engines, NOW_US, &entry);
    }
}

static void
test_message_tells_own_number_first (void)
{
  engines_t *engines = engines_new ();
  fleet_requests_told_t out[4];
  uint64_t service = engines_hash_service (SERVICE);

  add_engines (engines, SERVICE, ENGINES_FEW + 1);
  add_engines (engines, OTHER_SERVICE, ENGINES_FEW);
  engine_begin_request (engines_find (engines, "pool-3"), NOW_US);
  for (uint64_t i = 1; i <= 5; i++)
    engines_note_fleet_requests (
        engines, NOW_US,
        &(fleet_requests_told_t){ service, { i, (uint32_t)i * 10, NOW_US - 6 + i } });
  engines_note_fleet_requests (engines, NOW_US,
                               &(fleet_requests_told_t){ service + 1, { 7, 70, NOW_US } });
  CU_ASSERT_EQUAL (engines_list_fleet_requests (engines, NOW_US, OWN_HASH, out, 4), 4);
  CU_ASSERT_EQUAL (out[0].service_hash, service);
  CU_ASSERT_EQUAL (out[0].count.gateway_hash, OWN_HASH);
  CU_ASSERT_EQUAL (out[0].count.requests, 1);
  CU_ASSERT_EQUAL (out[1].count.requests, 50);
  CU_ASSERT_EQUAL (out[3].count.requests, 30);
  CU_ASSERT_EQUAL (engines_list_fleet_requests (engines, NOW_US, OWN_HASH, out, 0), 0);
  engine_end_request (engines_find (engines, "pool-3"));
  engines_free (engines);
}

int
main (void)
{
  static const CU_TestInfo tests[] = { SUITE_TEST (test_only_later_numbers_are_taken),
                                       SUITE_TEST (test_latest_are_passed_on_first),
                                       SUITE_TEST (test_own_requests_count_once),
                                       SUITE_TEST (test_more_gateways_than_known_are_counted),
                                       SUITE_TEST (test_sum_is_certain_when_a_third_have_told),
                                       SUITE_TEST (test_old_numbers_do_not_count),
                                       SUITE_TEST (test_message_tells_own_number_first),
                                       CU_TEST_INFO_NULL };

  return suite_run ("fleet_requests", tests);
}
