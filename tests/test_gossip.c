#include "base/clock.h"
#include "process/gossip.h"
#include "suite.h"

#define NOW_US (UINT64_C (1000) * CLOCK_US_PER_S)

static membership_report_t
make_report (uint64_t host_hash, uint32_t sequence)
{
  membership_report_t result = { host_hash, 1, sequence, MEMBERSHIP_LEAVING };
  return result;
}

static suspect_mark_t
make_mark (uint64_t fingerprint, uint64_t first, uint64_t second)
{
  suspect_mark_t result = { fingerprint, { first, second }, 0 };
  return result;
}

/* With more reports than fit into a message, each one is sent in turn, GOSSIP_SENDS times and then
 * no more, so that messages do not carry old reports forever. */
static void
test_each_is_sent_a_bounded_number_of_times (void)
{
  gossip_t gossip;
  uint32_t sent[11] = { 0 };
  gossip_init (&gossip);
  for (uint64_t host = 1; host <= 10; host++)
    {
      membership_report_t report = make_report (host, 1);
      gossip_add_report (&gossip, &report);
    }
  for (uint32_t i = 0; i < 10 * GOSSIP_SENDS; i++)
    {
      membership_report_t out[4];
      uint32_t count = gossip_take_reports (&gossip, out, 4);
      for (uint32_t j = 0; j < count; j++)
        sent[out[j].host_hash]++;
      if (i == 2)
        for (uint64_t host = 1; host <= 10; host++)
          CU_ASSERT_TRUE (sent[host] >= 1);
    }
  for (uint64_t host = 1; host <= 10; host++)
    CU_ASSERT_EQUAL (sent[host], GOSSIP_SENDS);
}

static void
test_newer_report_replaces_older (void)
{
  gossip_t gossip;
  gossip_init (&gossip);
  membership_report_t report = make_report (1, 1);
  gossip_add_report (&gossip, &report);
  report.sequence = 2;
  gossip_add_report (&gossip, &report);
  membership_report_t out[4];
  CU_ASSERT_EQUAL (gossip_take_reports (&gossip, out, 4), 1);
  CU_ASSERT_EQUAL (out[0].sequence, 2);
}

static void
test_full_table_drops_most_sent_report (void)
{
  gossip_t gossip;
  membership_report_t out[1];
  gossip_init (&gossip);
  membership_report_t old = make_report (1000, 1);
  gossip_add_report (&gossip, &old);
  gossip_take_reports (&gossip, out, 1);
  for (uint64_t host = 1; host <= GOSSIP_SLOTS; host++)
    {
      membership_report_t report = make_report (host, 1);
      gossip_add_report (&gossip, &report);
    }
  membership_report_t all[GOSSIP_SLOTS];
  CU_ASSERT_EQUAL (gossip_take_reports (&gossip, all, GOSSIP_SLOTS), GOSSIP_SLOTS);
  for (uint32_t i = 0; i < GOSSIP_SLOTS; i++)
    CU_ASSERT_NOT_EQUAL (all[i].host_hash, 1000);
}

/* Marks of one request arrive from several peers, with their engines in any order. Each crash may
 * count as new only once; otherwise the daemons would send a mark to each other forever. */
static void
test_marks_are_merged (void)
{
  gossip_t gossip;
  gossip_init (&gossip);
  suspect_mark_t first = make_mark (9, 1, 0);
  suspect_mark_t second = make_mark (9, 2, 0);
  suspect_mark_t both = make_mark (9, 2, 1);
  CU_ASSERT_TRUE (gossip_add_mark (&gossip, NOW_US, &first));
  CU_ASSERT_FALSE (gossip_add_mark (&gossip, NOW_US, &first));
  CU_ASSERT_TRUE (gossip_add_mark (&gossip, NOW_US, &second));
  CU_ASSERT_FALSE (gossip_add_mark (&gossip, NOW_US, &both));
  suspect_mark_t out[2];
  CU_ASSERT_EQUAL (gossip_take_marks (&gossip, NOW_US + CLOCK_US_PER_S, out, 2), 1);
  CU_ASSERT_EQUAL (out[0].engines[0], 1);
  CU_ASSERT_EQUAL (out[0].engines[1], 2);
  CU_ASSERT_EQUAL (out[0].age_ms, 1000);
  CU_ASSERT_EQUAL (gossip_take_marks (&gossip, NOW_US + GOSSIP_MARK_MAX_AGE_US + 1, out, 2), 0);
  suspect_mark_t old = make_mark (10, 1, 0);
  old.age_ms = (uint32_t)(GOSSIP_MARK_MAX_AGE_US / CLOCK_US_PER_MS) + 1;
  CU_ASSERT_FALSE (gossip_add_mark (&gossip, NOW_US, &old));
}

/* Daemons that have not heard yet that a request was served keep sending its mark. Such a mark is
 * older than the clearing one and must not undo it; a later crash must. */
static void
test_cleared_mark_stays_cleared (void)
{
  gossip_t gossip;
  suspect_mark_t crash = make_mark (9, 1, 0);
  suspect_mark_t served = make_mark (9, 0, 0);
  suspect_mark_t out[2];

  gossip_init (&gossip);
  CU_ASSERT_TRUE (gossip_add_mark (&gossip, NOW_US, &crash));
  CU_ASSERT_TRUE (gossip_add_mark (&gossip, NOW_US + CLOCK_US_PER_S, &served));
  CU_ASSERT_FALSE (gossip_add_mark (&gossip, NOW_US + CLOCK_US_PER_S, &served));
  crash.age_ms = 2000;
  CU_ASSERT_FALSE (gossip_add_mark (&gossip, NOW_US + 2 * CLOCK_US_PER_S, &crash));
  CU_ASSERT_EQUAL (gossip_take_marks (&gossip, NOW_US + 2 * CLOCK_US_PER_S, out, 2), 1);
  CU_ASSERT (suspect_mark_is_cleared (&out[0]));
  crash.age_ms = 0;
  CU_ASSERT_TRUE (gossip_add_mark (&gossip, NOW_US + 3 * CLOCK_US_PER_S, &crash));
}

/* Guards against a crash that is forgotten because an earlier message, that the request was served,
 * arrives after its mark. */
static void
test_late_clearing_mark_hides_no_later_crash (void)
{
  gossip_t gossip;
  suspect_mark_t crash = make_mark (9, 1, 0);
  suspect_mark_t served = make_mark (9, 0, 0);
  suspect_mark_t out[2];

  gossip_init (&gossip);
  CU_ASSERT_TRUE (gossip_add_mark (&gossip, NOW_US, &crash));
  served.age_ms = 5000;
  CU_ASSERT_FALSE (gossip_add_mark (&gossip, NOW_US + CLOCK_US_PER_S, &served));
  CU_ASSERT_EQUAL (gossip_take_marks (&gossip, NOW_US + CLOCK_US_PER_S, out, 2), 1);
  CU_ASSERT (!suspect_mark_is_cleared (&out[0]));
}

/* Guards against the same when the mark of a still earlier crash arrives in between. */
static void
test_older_crash_makes_no_mark_older (void)
{
  gossip_t gossip;
  suspect_mark_t crash = make_mark (9, 1, 0);
  suspect_mark_t older = make_mark (9, 2, 0);
  suspect_mark_t served = make_mark (9, 0, 0);
  suspect_mark_t out[2];

  gossip_init (&gossip);
  CU_ASSERT_TRUE (gossip_add_mark (&gossip, NOW_US, &crash));
  older.age_ms = 9000;
  CU_ASSERT_TRUE (gossip_add_mark (&gossip, NOW_US, &older));
  served.age_ms = 5000;
  CU_ASSERT_FALSE (gossip_add_mark (&gossip, NOW_US, &served));
  CU_ASSERT_EQUAL (gossip_take_marks (&gossip, NOW_US, out, 2), 1);
  CU_ASSERT_EQUAL (out[0].age_ms, 0);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    SUITE_TEST (test_each_is_sent_a_bounded_number_of_times),
    SUITE_TEST (test_newer_report_replaces_older),
    SUITE_TEST (test_full_table_drops_most_sent_report),
    SUITE_TEST (test_marks_are_merged),
    SUITE_TEST (test_cleared_mark_stays_cleared),
    SUITE_TEST (test_late_clearing_mark_hides_no_later_crash),
    SUITE_TEST (test_older_crash_makes_no_mark_older),
    CU_TEST_INFO_NULL,
  };
  return suite_run ("rumour", tests);
}
