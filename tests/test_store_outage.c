/* Unit tests of how an outage of the platform's store is told from the silence of one stream. */
#include "request/policy/store/store_outage.h"
#include "suite.h"

#include <stdbool.h>

#define US_PER_MS UINT64_C (1000)
#define US_PER_S (UINT64_C (1000) * US_PER_MS)
#define RENEWAL_MS 1200
#define CONTACTS 5

static uint64_t
min_us (void)
{
  return store_outage_min_us (RENEWAL_MS);
}

/* Return: the state after the contacts were reported in the order of @order */
static store_outage_t
apply_in_order (const uint64_t *contacts, const uint32_t *order)
{
  store_outage_t store_outage = { 0 };

  store_outage_record_contact (&store_outage, US_PER_S, min_us ());
  for (uint32_t i = 0; i < CONTACTS; i++)
    store_outage_record_contact (&store_outage, contacts[order[i]], min_us ());
  return store_outage;
}

/* The next permutation by Heap's algorithm. Return: false after the last one */
static bool
next_order (uint32_t *order, uint32_t *state)
{
  for (uint32_t i = 1; i < CONTACTS; state[i++] = 0)
    if (state[i] < i)
      {
        uint32_t with = i % 2 == 0 ? 0 : state[i];
        uint32_t swapped = order[with];

        order[with] = order[i];
        order[i] = swapped;
        state[i]++;
        return true;
      }
  return false;
}

static void
check_all_orders (const uint64_t *contacts, uint64_t end_us)
{
  uint32_t order[CONTACTS] = { 0, 1, 2, 3, 4 };
  uint32_t state[CONTACTS] = { 0 };
  uint32_t orders = 0;

  do
    {
      store_outage_t store_outage = apply_in_order (contacts, order);

      CU_ASSERT_EQUAL (store_outage.end_us, end_us);
      orders++;
    }
  while (next_order (order, state));
  CU_ASSERT_EQUAL (orders, 120);
}

/* The store is unavailable for 2.2 s, so that entries lapse because their engines can't renew them.
 * Two streams and two peers report its last and first answers at different moments. In any order of
 * the reports the outage is found, and it ends with the first answer after it. */
static void
test_an_outage_is_found_in_any_order (void)
{
  const uint64_t contacts[CONTACTS] = { 2 * US_PER_S, 2 * US_PER_S + 900 * US_PER_MS,
                                        5 * US_PER_S + 100 * US_PER_MS,
                                        5 * US_PER_S + 300 * US_PER_MS, 6 * US_PER_S };

  check_all_orders (contacts, 5 * US_PER_S + 100 * US_PER_MS);
}

/* One stream gets no answer for four seconds, while the other one and the peers get one each
 * second. The store was never out, so a missing entry belongs to an engine that has left. */
static void
test_silence_of_one_stream_is_no_outage (void)
{
  const uint64_t contacts[CONTACTS] = { 2 * US_PER_S, 3 * US_PER_S, 4 * US_PER_S, 5 * US_PER_S,
                                        6 * US_PER_S };

  check_all_orders (contacts, 0);
}

/* When engines renew each 400 ms instead of 1,200, their entries lapse in shorter outages. */
static void
test_shortest_outage_depends_on_the_renewals (void)
{
  store_outage_t store_outage = { 0 };

  CU_ASSERT_EQUAL (store_outage_min_us (1200), 2100 * US_PER_MS);
  CU_ASSERT_EQUAL (store_outage_min_us (400), 700 * US_PER_MS);
  store_outage_record_contact (&store_outage, US_PER_S, store_outage_min_us (400));
  store_outage_record_contact (&store_outage, US_PER_S + 699 * US_PER_MS,
                               store_outage_min_us (400));
  CU_ASSERT_EQUAL (store_outage.end_us, 0);
  store_outage_record_contact (&store_outage, US_PER_S + 1399 * US_PER_MS,
                               store_outage_min_us (400));
  CU_ASSERT_EQUAL (store_outage.end_us, US_PER_S + 1399 * US_PER_MS);
}

/* What looked like one outage were two shorter silences with an answer between them. Of two outages
 * the later one counts. */
static void
test_late_report_shortens_an_outage (void)
{
  store_outage_t store_outage = { 0 };

  store_outage_record_contact (&store_outage, 1 * US_PER_S, min_us ());
  store_outage_record_contact (&store_outage, 7 * US_PER_S, min_us ());
  store_outage_record_contact (&store_outage, 3 * US_PER_S, min_us ());
  CU_ASSERT_EQUAL (store_outage.begin_us, 3 * US_PER_S);
  CU_ASSERT_EQUAL (store_outage.end_us, 7 * US_PER_S);
  store_outage_record_contact (&store_outage, 6 * US_PER_S, min_us ());
  CU_ASSERT_EQUAL (store_outage.end_us, 6 * US_PER_S);
  store_outage_record_contact (&store_outage, 4 * US_PER_S + 500 * US_PER_MS, min_us ());
  CU_ASSERT_EQUAL (store_outage.end_us, 0);
  store_outage_record_contact (&store_outage, 12 * US_PER_S, min_us ());
  CU_ASSERT_EQUAL (store_outage.end_us, 12 * US_PER_S);
}

/* Guards against half a second without any engine. A peer that can read the store again reports
 * that entries are missing, before anyone has reported here that the store is back. They may have
 * lapsed and must not be dropped. */
static void
test_outage_counts_while_it_lasts (void)
{
  store_outage_t store_outage = { 0 };

  CU_ASSERT_EQUAL (store_outage_end_us (&store_outage, 9 * US_PER_S, min_us ()), 0);
  store_outage_record_contact (&store_outage, US_PER_S, min_us ());
  CU_ASSERT_EQUAL (store_outage_end_us (&store_outage, US_PER_S + min_us () - 1, min_us ()), 0);
  CU_ASSERT_EQUAL (store_outage_end_us (&store_outage, US_PER_S + min_us (), min_us ()),
                   US_PER_S + min_us ());
  store_outage_record_contact (&store_outage, 9 * US_PER_S, min_us ());
  CU_ASSERT_EQUAL (store_outage_end_us (&store_outage, 10 * US_PER_S, min_us ()), 9 * US_PER_S);
}

int
main (void)
{
  static const CU_TestInfo tests[] = { SUITE_TEST (test_an_outage_is_found_in_any_order),
                                       SUITE_TEST (test_silence_of_one_stream_is_no_outage),
                                       SUITE_TEST (test_shortest_outage_depends_on_the_renewals),
                                       SUITE_TEST (test_late_report_shortens_an_outage),
                                       SUITE_TEST (test_outage_counts_while_it_lasts),
                                       CU_TEST_INFO_NULL };

  return suite_run ("outage", tests);
}
