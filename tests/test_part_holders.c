/* Unit tests of the table of engines that hold shared parts of prompts. */
#include "request/policy/directory/part_holders.h"
#include "request/policy/directory/part_news.h"
#include "suite.h"

#include <glib.h>

G_DEFINE_AUTOPTR_CLEANUP_FUNC (part_holders_t, part_holders_free)

#define NOW_US (UINT64_C (100) * 1000 * 1000)
#define PARTS 4096

static uint32_t
count (const part_holders_t *holders, uint64_t now_us, uint64_t part)
{
  part_holder_t found[PART_HOLDERS_PER_PART];

  return part_holders_get (holders, now_us, part, found);
}

/* Guards against an engine counting as a holder after it may have evicted the part, and against a
 * late report making an entry older. */
static void
test_entries_expire (void)
{
  g_autoptr (part_holders_t) holders = part_holders_new (PARTS);

  CU_ASSERT (part_holders_note_report (holders, NOW_US, 7, 1, NOW_US));
  CU_ASSERT (!part_holders_note_report (holders, NOW_US, 7, 1, NOW_US - 1000));
  CU_ASSERT (!part_holders_note_report (holders, NOW_US, 7, 2, NOW_US - PART_HOLDERS_LIFETIME_US));
  CU_ASSERT_EQUAL (count (holders, NOW_US + PART_HOLDERS_LIFETIME_US - 1, 7), 1);
  CU_ASSERT_EQUAL (count (holders, NOW_US + PART_HOLDERS_LIFETIME_US, 7), 0);
  CU_ASSERT (part_holders_note_report (holders, NOW_US + PART_HOLDERS_LIFETIME_US, 7, 1,
                                       NOW_US + PART_HOLDERS_LIFETIME_US));
}

/* Guards against entries that never expire, or that are mistaken for empty places, because a peer
 * states a time to come or hashes of 0. */
static void
test_hostile_entries_are_bounded (void)
{
  g_autoptr (part_holders_t) holders = part_holders_new (PARTS);

  CU_ASSERT (!part_holders_note_report (holders, NOW_US, 0, 1, NOW_US));
  CU_ASSERT (!part_holders_note_report (holders, NOW_US, 7, 0, NOW_US));
  CU_ASSERT (part_holders_note_report (holders, NOW_US, 7, 1, UINT64_MAX));
  CU_ASSERT_EQUAL (count (holders, NOW_US + PART_HOLDERS_LIFETIME_US, 7), 0);
  CU_ASSERT_EQUAL (count (holders, NOW_US, 0), 0);
}

/* Guards against a flood of parts or engines growing the table, or keeping new ones out. */
static void
test_full_table_keeps_the_latest (void)
{
  g_autoptr (part_holders_t) holders = part_holders_new (PARTS);
  part_holder_t found[PART_HOLDERS_PER_PART];
  uint32_t kept = 0;

  for (uint64_t part = 1; part <= 20 * PARTS; part++)
    part_holders_note_report (holders, NOW_US + part, part, 1, NOW_US + part);
  for (uint64_t part = 19 * PARTS + 1; part <= 20 * PARTS; part++)
    kept += count (holders, NOW_US + 20 * PARTS, part);
  CU_ASSERT_EQUAL (kept, PARTS);
  for (uint64_t engine = 1; engine <= 100; engine++)
    part_holders_note_report (holders, NOW_US + 30 * PARTS, 5, engine, NOW_US + engine);
  CU_ASSERT_EQUAL (part_holders_get (holders, NOW_US + 30 * PARTS, 5, found),
                   PART_HOLDERS_PER_PART);
  for (uint32_t i = 0; i < PART_HOLDERS_PER_PART; i++)
    CU_ASSERT (found[i].engine > 100 - PART_HOLDERS_PER_PART);
  CU_ASSERT (!part_holders_note_report (holders, NOW_US + 30 * PARTS, 5, 500, NOW_US));
}

/* Guards against the byte budget being spent on parts that one request has, on telling the same
 * again and again, and on reports that go round for ever. */
static void
test_shared_parts_are_told_once_in_a_while (void)
{
  g_autoptr (part_holders_t) holders = part_holders_new (PARTS);
  uint64_t later_us = NOW_US + PART_HOLDERS_RETELL_US;

  CU_ASSERT (!part_holders_note_answer (holders, NOW_US, 7, 1));
  CU_ASSERT (part_holders_note_answer (holders, NOW_US + 1, 7, 1));
  CU_ASSERT (!part_holders_note_answer (holders, later_us, 7, 1));
  CU_ASSERT (part_holders_note_answer (holders, later_us + 1, 7, 1));
  CU_ASSERT (part_holders_note_answer (holders, later_us, 7, 2));
  CU_ASSERT (!part_holders_note_report (holders, later_us + 1, 7, 2, later_us));
  CU_ASSERT (part_holders_note_report (holders, later_us + 1, 7, 3, later_us));
  CU_ASSERT (!part_holders_note_report (holders, later_us + 1, 7, 3, later_us));
  CU_ASSERT (!part_holders_note_answer (holders, later_us + 2, 7, 3));
}

#define GATEWAYS 26

typedef struct
{
  part_holders_t *holders;
  part_news_t *news;
} gateway_t;

/* Return: messages that were sent until none had more to tell */
static uint32_t
spread (gateway_t *gateways, GRand *rand, double lost)
{
  uint32_t messages = 0;
  bool has_more = true;

  while (has_more)
    {
      has_more = false;
      for (uint32_t i = 0; i < GATEWAYS; i++)
        {
          part_news_item_t items[32];
          uint32_t count = part_news_take (gateways[i].news, items, G_N_ELEMENTS (items));
          gateway_t *to = &gateways[g_rand_int_range (rand, 0, GATEWAYS)];

          has_more = has_more || count > 0;
          messages += count > 0 ? 1 : 0;
          for (uint32_t j = 0; j < count && g_rand_double (rand) >= lost; j++)
            if (part_holders_note_report (to->holders, NOW_US, items[j].part, items[j].engine,
                                          items[j].known_us))
              part_news_add (to->news, items[j].part, items[j].engine, items[j].known_us);
        }
    }
  return messages;
}

/* Guards against reports that don't reach the gateways, with a fifth of the messages lost, and
 * against more messages than each gateway's two for each report. */
static void
test_reports_spread_despite_losses (void)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (5);
  gateway_t gateways[GATEWAYS];
  uint32_t reached = 0;
  uint32_t messages = 0;

  for (uint32_t i = 0; i < GATEWAYS; i++)
    gateways[i] = (gateway_t){ part_holders_new (PARTS), part_news_new (512) };
  for (uint64_t part = 1; part <= 100; part++)
    {
      part_news_add (gateways[part % GATEWAYS].news, part, 1, NOW_US);
      messages += spread (gateways, rand, 0.2);
    }
  for (uint32_t i = 0; i < GATEWAYS; i++)
    {
      for (uint64_t part = 1; part <= 100; part++)
        reached += count (gateways[i].holders, NOW_US, part);
      part_holders_free (gateways[i].holders);
      part_news_free (gateways[i].news);
    }
  CU_ASSERT (reached > 100 * GATEWAYS / 2);
  CU_ASSERT (messages <= 100 * GATEWAYS * PART_NEWS_TIMES);
}

/* Guards against a flood of news growing the queue, or keeping the latest back. */
static void
test_news_are_bounded_and_the_latest_go_first (void)
{
  part_news_t *news = part_news_new (512);
  part_news_item_t items[32];

  for (uint64_t part = 1; part <= 5000; part++)
    part_news_add (news, part, 1, NOW_US);
  CU_ASSERT_EQUAL (part_news_count (news), 512);
  CU_ASSERT_EQUAL (part_news_take (news, items, 32), 32);
  CU_ASSERT_EQUAL (items[0].part, 5000);
  CU_ASSERT_EQUAL (part_news_take (news, items, 32), 32);
  CU_ASSERT_EQUAL (items[0].part, 5000);
  CU_ASSERT_EQUAL (part_news_take (news, items, 32), 32);
  CU_ASSERT_EQUAL (items[0].part, 5000 - 32);
  part_news_free (news);
}

int
main (void)
{
  static const CU_TestInfo tests[] = { SUITE_TEST (test_entries_expire),
                                       SUITE_TEST (test_hostile_entries_are_bounded),
                                       SUITE_TEST (test_full_table_keeps_the_latest),
                                       SUITE_TEST (test_shared_parts_are_told_once_in_a_while),
                                       SUITE_TEST (test_reports_spread_despite_losses),
                                       SUITE_TEST (test_news_are_bounded_and_the_latest_go_first),
                                       CU_TEST_INFO_NULL };

  return suite_run ("part_holders", tests);
}
