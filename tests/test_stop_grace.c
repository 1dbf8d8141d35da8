/* Unit tests of the times of a stop, and of which requests may still begin within it. */
#include "request/policy/queueing/stop_grace.h"
#include "suite.h"

#include <glib.h>

#define MS UINT64_C (1000)
#define NOW_US (UINT64_C (5000) * MS)
#define GRACE_US (8000 * MS)
#define LONG_US (60000 * MS)

/* Guards against processes that are killed before they have ended what is in progress. */
static void
test_all_is_ended_within_any_grace (void)
{
  for (uint64_t grace_ms = 1000; grace_ms <= 600000; grace_ms += 250)
    {
      stop_grace_t stop = stop_grace_begin (NOW_US, grace_ms * MS);

      CU_ASSERT (stop_grace_is_stopping (&stop));
      CU_ASSERT (stop.accept_until_us > NOW_US && stop.accept_until_us <= stop.end_us);
      CU_ASSERT (stop.accept_until_us <= NOW_US + STOP_GRACE_ACCEPT_US);
      CU_ASSERT (stop.end_us < stop.exit_us && stop.exit_us < NOW_US + grace_ms * MS);
    }
}

static void
test_times_of_a_long_grace (void)
{
  stop_grace_t stop = stop_grace_begin (NOW_US, GRACE_US);

  CU_ASSERT_EQUAL (stop.accept_until_us, NOW_US + 2500 * MS);
  CU_ASSERT_EQUAL (stop.end_us, NOW_US + 7400 * MS);
  CU_ASSERT_EQUAL (stop.exit_us, NOW_US + 7750 * MS);
}

/* Guards against requests that are sent to an engine only to be cut. */
static void
test_request_that_would_outlast_the_stop (void)
{
  stop_grace_t stop = stop_grace_begin (NOW_US, GRACE_US);
  uint64_t deadline_us = NOW_US + LONG_US;

  CU_ASSERT (stop_grace_may_begin (&stop, NOW_US, 7400 * MS, deadline_us));
  CU_ASSERT (!stop_grace_may_begin (&stop, NOW_US + 1, 7400 * MS, deadline_us));
  CU_ASSERT (stop_grace_may_begin (&stop, stop.end_us - 900 * MS, 900 * MS, deadline_us));
  CU_ASSERT (!stop_grace_may_begin (&stop, stop.end_us - 899 * MS, 900 * MS, deadline_us));
  CU_ASSERT (!stop_grace_may_begin (&stop, stop.end_us + 1, 0, deadline_us));
}

/* Guards against refusals of requests that end before the stop does, whatever happens. */
static void
test_request_whose_deadline_comes_first (void)
{
  stop_grace_t stop = stop_grace_begin (NOW_US, GRACE_US);

  CU_ASSERT (stop_grace_may_begin (&stop, NOW_US, LONG_US, stop.end_us));
  CU_ASSERT (!stop_grace_may_begin (&stop, NOW_US, LONG_US, stop.end_us + 1));
}

static void
test_any_request_may_begin_without_a_stop (void)
{
  stop_grace_t none = { 0 };

  CU_ASSERT (!stop_grace_is_stopping (&none));
  CU_ASSERT (stop_grace_may_begin (&none, NOW_US, LONG_US, NOW_US + LONG_US));
}

int
main (void)
{
  static const CU_TestInfo tests[] = { SUITE_TEST (test_all_is_ended_within_any_grace),
                                       SUITE_TEST (test_times_of_a_long_grace),
                                       SUITE_TEST (test_request_that_would_outlast_the_stop),
                                       SUITE_TEST (test_request_whose_deadline_comes_first),
                                       SUITE_TEST (test_any_request_may_begin_without_a_stop),
                                       CU_TEST_INFO_NULL };

  return suite_run ("stop_grace", tests);
}
