/* Unit tests of how an outage of the platform's store is told from silence of one stream. */
#include "request/policy/outage.h"
#include "suite.h"

#include <stdbool.h>

#define MS UINT64_C (1000)
#define SECOND (UINT64_C (1000) * MS)
#define RENEWAL_MS 1200
#define MOMENTS 5

static uint64_t
least_us (void)
{
  return otg_least_us (RENEWAL_MS);
}

/* Word of these moments comes in the order of @order. */
static otg_t
play (const uint64_t *moments, const uint32_t *order)
{
  otg_t otg = { 0 };

  otg_heard (&otg, SECOND, least_us ());
  for (uint32_t i = 0; i < MOMENTS; i++)
    otg_heard (&otg, moments[order[i]], least_us ());
  return otg;
}

/* Return: whether there was a next order; by swapping, each once */
static bool
next_order (uint32_t *order, uint32_t *state)
{
  for (uint32_t i = 1; i < MOMENTS; state[i++] = 0)
    if (state[i] < i)
      {
        uint32_t with = i % 2 == 0 ? 0 : state[i];
        uint32_t kept = order[with];

        order[with] = order[i];
        order[i] = kept;
        state[i]++;
        return true;
      }
  return false;
}

static void
check_all_orders (const uint64_t *moments, uint64_t until_us)
{
  uint32_t order[MOMENTS] = { 0, 1, 2, 3, 4 };
  uint32_t state[MOMENTS] = { 0 };
  uint32_t orders = 0;

  do
    {
      otg_t otg = play (moments, order);

      CU_ASSERT_EQUAL (otg.until_us, until_us);
      orders++;
    }
  while (next_order (order, state));
  CU_ASSERT_EQUAL (orders, 120);
}

/* The store is out for 2.2 s, in which entries that were renewed just before lapse, as their owners
 * can't renew them. Two streams and two peers hear it last and first at different moments: whatever
 * comes first, the outage is found, and it ended at the first moment after it. */
static void
test_an_outage_is_found_in_any_order (void)
{
  const uint64_t moments[MOMENTS] = { 2 * SECOND, 2 * SECOND + 900 * MS, 5 * SECOND + 100 * MS,
                                      5 * SECOND + 300 * MS, 6 * SECOND };

  check_all_orders (moments, 5 * SECOND + 100 * MS);
}

/* One stream is silent for four seconds, the other one and the peers hear the store once a second.
 * It was never out, and an entry that is dropped has gone. */
static void
test_one_silent_stream_is_no_outage (void)
{
  const uint64_t moments[MOMENTS] = { 2 * SECOND, 3 * SECOND, 4 * SECOND, 5 * SECOND, 6 * SECOND };

  check_all_orders (moments, 0);
}

/* Engines renew every 400 ms in place of 1,200: entries lapse in outages that are shorter. */
static void
test_the_span_goes_with_the_renewals (void)
{
  otg_t otg = { 0 };

  CU_ASSERT_EQUAL (otg_least_us (1200), 2100 * MS);
  CU_ASSERT_EQUAL (otg_least_us (400), 700 * MS);
  otg_heard (&otg, SECOND, otg_least_us (400));
  otg_heard (&otg, SECOND + 699 * MS, otg_least_us (400));
  CU_ASSERT_EQUAL (otg.until_us, 0);
  otg_heard (&otg, SECOND + 1399 * MS, otg_least_us (400));
  CU_ASSERT_EQUAL (otg.until_us, SECOND + 1399 * MS);
}

/* What looked like one outage were two moments of silence with the store heard between them; and a
 * later outage goes before an earlier one. */
static void
test_late_word_makes_an_outage_shorter (void)
{
  otg_t otg = { 0 };

  otg_heard (&otg, 1 * SECOND, least_us ());
  otg_heard (&otg, 7 * SECOND, least_us ());
  otg_heard (&otg, 3 * SECOND, least_us ());
  CU_ASSERT_EQUAL (otg.from_us, 3 * SECOND);
  CU_ASSERT_EQUAL (otg.until_us, 7 * SECOND);
  otg_heard (&otg, 6 * SECOND, least_us ());
  CU_ASSERT_EQUAL (otg.until_us, 6 * SECOND);
  otg_heard (&otg, 4 * SECOND + 500 * MS, least_us ());
  CU_ASSERT_EQUAL (otg.until_us, 0);
  otg_heard (&otg, 12 * SECOND, least_us ());
  CU_ASSERT_EQUAL (otg.until_us, 12 * SECOND);
}

/* The store is out, and a peer that reads it again passes on that entries were dropped, before
 * anybody has said here that it is back. They may have lapsed: had they been taken for gone, no
 * engine would be left for the half second until they are back. */
static void
test_an_outage_that_lasts_counts (void)
{
  otg_t otg = { 0 };

  CU_ASSERT_EQUAL (otg_until_us (&otg, 9 * SECOND, least_us ()), 0);
  otg_heard (&otg, SECOND, least_us ());
  CU_ASSERT_EQUAL (otg_until_us (&otg, SECOND + least_us () - 1, least_us ()), 0);
  CU_ASSERT_EQUAL (otg_until_us (&otg, SECOND + least_us (), least_us ()), SECOND + least_us ());
  otg_heard (&otg, 9 * SECOND, least_us ());
  CU_ASSERT_EQUAL (otg_until_us (&otg, 10 * SECOND, least_us ()), 9 * SECOND);
}

int
main (void)
{
  static const CU_TestInfo tests[] = { SUITE_TEST (test_an_outage_is_found_in_any_order),
                                       SUITE_TEST (test_one_silent_stream_is_no_outage),
                                       SUITE_TEST (test_the_span_goes_with_the_renewals),
                                       SUITE_TEST (test_late_word_makes_an_outage_shorter),
                                       SUITE_TEST (test_an_outage_that_lasts_counts),
                                       CU_TEST_INFO_NULL };

  return suite_run ("outage", tests);
}
