#include "request/place.h"
#include "request/verdict.h"

#include <CUnit/Basic.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ENGINES 12
#define CHATS 24000

static void
make_engines (plc_engine_t *engines, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      char name[32];
      snprintf (name, sizeof name, "engine-%u", i);
      engines[i] = (plc_engine_t){ .hash = plc_hash_name (name), .index = i, .weight = 1.0f };
    }
}

static uint64_t
chat_number (uint32_t number)
{
  char id[32];
  snprintf (id, sizeof id, "chat-%u", number);
  return plc_hash_chat ("hanbit", id);
}

static void
test_rank_matches_scores (void)
{
  plc_engine_t engines[40];
  make_engines (engines, 40);
  for (uint32_t uneven = 0; uneven < 2; uneven++)
    {
      for (uint32_t i = 0; uneven && i < 40; i++)
        engines[i].weight = 0.5f + (float)(i % 4);
      for (uint32_t chat = 0; chat < 500; chat++)
        {
          uint32_t out[40];
          CU_ASSERT_EQUAL_FATAL (plc_rank (engines, 40, 7, chat_number (chat), out, 40), 40);
          for (uint32_t i = 1; i < 40; i++)
            {
              const plc_engine_t *a = &engines[out[i - 1]];
              const plc_engine_t *b = &engines[out[i]];
              CU_ASSERT (plc_score (7, chat_number (chat), a->hash, a->weight) >=
                         plc_score (7, chat_number (chat), b->hash, b->weight));
            }
          uint32_t first[3];
          CU_ASSERT_EQUAL (plc_rank (engines, 40, 7, chat_number (chat), first, 3), 3);
          CU_ASSERT (memcmp (first, out, sizeof first) == 0);
        }
    }
}

static void
test_rank_spreads_by_weight (void)
{
  plc_engine_t engines[ENGINES];
  uint32_t homes[ENGINES] = { 0 };
  make_engines (engines, ENGINES);
  engines[3].weight = 2.0f;
  engines[5].weight = 0.0f;
  for (uint32_t chat = 0; chat < CHATS; chat++)
    {
      uint32_t out;
      CU_ASSERT_EQUAL_FATAL (plc_rank (engines, ENGINES, 7, chat_number (chat), &out, 1), 1);
      homes[out]++;
    }
  CU_ASSERT_EQUAL (homes[5], 0);
  for (uint32_t i = 0; i < ENGINES; i++)
    {
      const double expected = (double)CHATS / ENGINES * (double)engines[i].weight;
      CU_ASSERT (fabs (homes[i] - expected) <= 5.0 * sqrt (expected));
    }
}

/* An engine is taken out of the list. Chats that were at home there move; the caller of any other
 * chat must still reach the engine that holds its prefix, or every leave would empty the caches. */
static void
test_leave_moves_only_its_own_chats (void)
{
  plc_engine_t engines[ENGINES];
  make_engines (engines, ENGINES);
  for (uint32_t chat = 0; chat < 2000; chat++)
    {
      uint32_t before[2], after;
      plc_rank (engines, ENGINES, 7, chat_number (chat), before, 2);
      plc_rank (engines, ENGINES - 1, 7, chat_number (chat), &after, 1);
      CU_ASSERT_EQUAL (after, before[0] == ENGINES - 1 ? before[1] : before[0]);
    }
}

static void
test_rank_ignores_list_order (void)
{
  plc_engine_t engines[ENGINES], turned[ENGINES];
  make_engines (engines, ENGINES);
  for (uint32_t i = 0; i < ENGINES; i++)
    turned[i] = engines[ENGINES - 1 - i];
  for (uint32_t chat = 0; chat < 500; chat++)
    {
      uint32_t a[4], b[4];
      plc_rank (engines, ENGINES, 7, chat_number (chat), a, 4);
      plc_rank (turned, ENGINES, 7, chat_number (chat), b, 4);
      CU_ASSERT (memcmp (a, b, sizeof a) == 0);
    }
}

static void
test_rank_edges (void)
{
  plc_engine_t engine = { .hash = 5, .index = 9, .weight = 1.0f };
  uint32_t out[4];
  CU_ASSERT_EQUAL (plc_rank (&engine, 0, 7, 8, out, 4), 0);
  CU_ASSERT_EQUAL (plc_rank (&engine, 1, 7, 8, out, 0), 0);
  CU_ASSERT_EQUAL (plc_rank (&engine, 1, 7, 8, out, 4), 1);
  CU_ASSERT_EQUAL (out[0], 9);
  engine.weight = 0.0f;
  CU_ASSERT_EQUAL (plc_rank (&engine, 1, 7, 8, out, 4), 0);
}

static void
test_chats_of_accounts_differ (void)
{
  CU_ASSERT_NOT_EQUAL (plc_hash_chat ("hanbit", "1"), plc_hash_chat ("daeyang", "1"));
  CU_ASSERT_NOT_EQUAL (plc_hash_chat ("hanbit", "1"), plc_hash_chat ("hanbi", "t1"));
  CU_ASSERT_NOT_EQUAL (plc_hash_chat ("hanbit", "abc"), plc_hash_body ("hanbit", "abc", 3));
  CU_ASSERT_NOT_EQUAL (plc_hash_body ("a", "abc", 3), plc_hash_body ("b", "abc", 3));
}

static void
test_verdict_words (void)
{
  for (vrd_t verdict = VRD_NOT_RUN; verdict <= VRD_RAN; verdict++)
    CU_ASSERT_EQUAL (vrd_parse (vrd_name (verdict)), verdict);
  CU_ASSERT_EQUAL (vrd_parse (NULL), VRD_MAY_HAVE_RUN);
  CU_ASSERT_EQUAL (vrd_parse ("NOT_RUN"), VRD_MAY_HAVE_RUN);
  for (vrd_reason_t reason = VRD_REASON_NONE; reason < VRD_REASON_COUNT; reason++)
    CU_ASSERT_EQUAL (vrd_reason_parse (vrd_reason_name (reason)), reason);
  CU_ASSERT_EQUAL (vrd_reason_parse ("other"), VRD_REASON_NONE);
}

int
main (void)
{
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite ("place", NULL, NULL);
  CU_add_test (suite, "rank matches the scores", test_rank_matches_scores);
  CU_add_test (suite, "rank spreads by weight", test_rank_spreads_by_weight);
  CU_add_test (suite, "a leave moves only its own chats", test_leave_moves_only_its_own_chats);
  CU_add_test (suite, "rank ignores the order of the list", test_rank_ignores_list_order);
  CU_add_test (suite, "rank of nothing and of one", test_rank_edges);
  CU_add_test (suite, "chats of two accounts differ", test_chats_of_accounts_differ);
  CU_add_test (suite, "words of verdicts and reasons", test_verdict_words);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  const unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures != 0;
}
