#include "base/clock.h"
#include "process/rumour.h"
#include "suite.h"

#define NOW_US (UINT64_C (1000) * CLK_US_PER_S)

static mem_word_t
word (uint64_t host_hash, uint32_t sequence)
{
  mem_word_t made = { host_hash, 1, sequence, MEM_LEAVING };
  return made;
}

static sus_mark_t
mark (uint64_t fingerprint, uint64_t first, uint64_t second)
{
  sus_mark_t made = { fingerprint, { first, second }, 0 };
  return made;
}

/* More news than a message holds: all of it goes out in turn, each the same number of times, and
 * then no more, however long the fleet runs. */
static void
test_each_is_sent_a_bounded_number_of_times (void)
{
  rmr_t rmr;
  uint32_t sent[11] = { 0 };
  rmr_init (&rmr);
  for (uint64_t host = 1; host <= 10; host++)
    {
      mem_word_t news = word (host, 1);
      rmr_add_word (&rmr, &news);
    }
  for (uint32_t i = 0; i < 10 * RMR_SENDS; i++)
    {
      mem_word_t out[4];
      uint32_t count = rmr_take_words (&rmr, out, 4);
      for (uint32_t j = 0; j < count; j++)
        sent[out[j].host_hash]++;
      if (i == 2)
        for (uint64_t host = 1; host <= 10; host++)
          CU_ASSERT_TRUE (sent[host] >= 1);
    }
  for (uint64_t host = 1; host <= 10; host++)
    CU_ASSERT_EQUAL (sent[host], RMR_SENDS);
}

static void
test_newer_word_replaces (void)
{
  rmr_t rmr;
  rmr_init (&rmr);
  mem_word_t news = word (1, 1);
  rmr_add_word (&rmr, &news);
  news.sequence = 2;
  rmr_add_word (&rmr, &news);
  mem_word_t out[4];
  CU_ASSERT_EQUAL (rmr_take_words (&rmr, out, 4), 1);
  CU_ASSERT_EQUAL (out[0].sequence, 2);
}

static void
test_full_table_drops_what_was_sent_most (void)
{
  rmr_t rmr;
  mem_word_t out[1];
  rmr_init (&rmr);
  mem_word_t old = word (1000, 1);
  rmr_add_word (&rmr, &old);
  rmr_take_words (&rmr, out, 1);
  for (uint64_t host = 1; host <= RMR_SLOTS; host++)
    {
      mem_word_t news = word (host, 1);
      rmr_add_word (&rmr, &news);
    }
  mem_word_t all[RMR_SLOTS];
  CU_ASSERT_EQUAL (rmr_take_words (&rmr, all, RMR_SLOTS), RMR_SLOTS);
  for (uint32_t i = 0; i < RMR_SLOTS; i++)
    CU_ASSERT_NOT_EQUAL (all[i].host_hash, 1000);
}

/* Marks of one request come by several ways, and with either engine first. Each crash is news
 * once: else a mark would go round for ever. */
static void
test_marks_are_merged (void)
{
  rmr_t rmr;
  rmr_init (&rmr);
  sus_mark_t first = mark (9, 1, 0);
  sus_mark_t second = mark (9, 2, 0);
  sus_mark_t both = mark (9, 2, 1);
  CU_ASSERT_TRUE (rmr_add_mark (&rmr, NOW_US, &first));
  CU_ASSERT_FALSE (rmr_add_mark (&rmr, NOW_US, &first));
  CU_ASSERT_TRUE (rmr_add_mark (&rmr, NOW_US, &second));
  CU_ASSERT_FALSE (rmr_add_mark (&rmr, NOW_US, &both));
  sus_mark_t out[2];
  CU_ASSERT_EQUAL (rmr_take_marks (&rmr, NOW_US + CLK_US_PER_S, out, 2), 1);
  CU_ASSERT_EQUAL (out[0].engines[0], 1);
  CU_ASSERT_EQUAL (out[0].engines[1], 2);
  CU_ASSERT_EQUAL (out[0].age_ms, 1000);
  CU_ASSERT_EQUAL (rmr_take_marks (&rmr, NOW_US + RMR_MARK_AGE_US + 1, out, 2), 0);
  sus_mark_t old = mark (10, 1, 0);
  old.age_ms = (uint32_t)(RMR_MARK_AGE_US / CLK_US_PER_MS) + 1;
  CU_ASSERT_FALSE (rmr_add_mark (&rmr, NOW_US, &old));
}

/* Marks go on being told by those who have not heard yet that the request was served. Such a mark
 * is older than that news and does not undo it; a crash after it does. */
static void
test_cleared_mark_stays_cleared (void)
{
  rmr_t rmr;
  sus_mark_t crash = mark (9, 1, 0);
  sus_mark_t served = mark (9, 0, 0);
  sus_mark_t out[2];

  rmr_init (&rmr);
  CU_ASSERT_TRUE (rmr_add_mark (&rmr, NOW_US, &crash));
  CU_ASSERT_TRUE (rmr_add_mark (&rmr, NOW_US + CLK_US_PER_S, &served));
  CU_ASSERT_FALSE (rmr_add_mark (&rmr, NOW_US + CLK_US_PER_S, &served));
  crash.age_ms = 2000;
  CU_ASSERT_FALSE (rmr_add_mark (&rmr, NOW_US + 2 * CLK_US_PER_S, &crash));
  CU_ASSERT_EQUAL (rmr_take_marks (&rmr, NOW_US + 2 * CLK_US_PER_S, out, 2), 1);
  CU_ASSERT (sus_is_cleared (&out[0]));
  crash.age_ms = 0;
  CU_ASSERT_TRUE (rmr_add_mark (&rmr, NOW_US + 3 * CLK_US_PER_S, &crash));
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    SUITE_TEST (test_each_is_sent_a_bounded_number_of_times),
    SUITE_TEST (test_newer_word_replaces),
    SUITE_TEST (test_full_table_drops_what_was_sent_most),
    SUITE_TEST (test_marks_are_merged),
    SUITE_TEST (test_cleared_mark_stays_cleared),
    CU_TEST_INFO_NULL,
  };
  return suite_run ("rumour", tests);
}
