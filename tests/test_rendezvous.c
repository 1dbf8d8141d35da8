#include "request/policy/placement/candidates.h"
#include "request/policy/placement/rendezvous.h"
#include "request/policy/suspects/recent_answers.h"
#include "request/policy/retries/verdict.h"
#include "suite.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ENGINES 12
#define CHATS 24000

static void
make_engines (rendezvous_engine_t *engines, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      char name[32];
      snprintf (name, sizeof name, "engine-%u", i);
      engines[i] =
          (rendezvous_engine_t){ .hash = rendezvous_hash_name (name), .index = i, .weight = 1.0f };
    }
}

static uint64_t
hash_chat_number (uint32_t number)
{
  char id[32];
  snprintf (id, sizeof id, "chat-%u", number);
  return rendezvous_hash_chat ("hanbit", id);
}

static void
test_rank_matches_scores (void)
{
  rendezvous_engine_t engines[40];
  make_engines (engines, 40);
  for (uint32_t uneven = 0; uneven < 2; uneven++)
    {
      for (uint32_t i = 0; uneven && i < 40; i++)
        engines[i].weight = 0.5f + (float)(i % 4);
      for (uint32_t chat = 0; chat < 500; chat++)
        {
          uint32_t out[40];
          CU_ASSERT_EQUAL_FATAL (rendezvous_rank (engines, 40, 7, hash_chat_number (chat), out, 40),
                                 40);
          for (uint32_t i = 1; i < 40; i++)
            {
              const rendezvous_engine_t *a = &engines[out[i - 1]];
              const rendezvous_engine_t *b = &engines[out[i]];
              CU_ASSERT (rendezvous_score (7, hash_chat_number (chat), a->hash, a->weight) >=
                         rendezvous_score (7, hash_chat_number (chat), b->hash, b->weight));
            }
          uint32_t first[3];
          CU_ASSERT_EQUAL (rendezvous_rank (engines, 40, 7, hash_chat_number (chat), first, 3), 3);
          CU_ASSERT (memcmp (first, out, sizeof first) == 0);
        }
    }
}

static void
test_rank_spreads_by_weight (void)
{
  rendezvous_engine_t engines[ENGINES];
  uint32_t homes[ENGINES] = { 0 };
  make_engines (engines, ENGINES);
  engines[3].weight = 2.0f;
  engines[5].weight = 0.0f;
  for (uint32_t chat = 0; chat < CHATS; chat++)
    {
      uint32_t out;
      CU_ASSERT_EQUAL_FATAL (
          rendezvous_rank (engines, ENGINES, 7, hash_chat_number (chat), &out, 1), 1);
      homes[out]++;
    }
  CU_ASSERT_EQUAL (homes[5], 0);
  for (uint32_t i = 0; i < ENGINES; i++)
    {
      const double expected = (double)CHATS / ENGINES * (double)engines[i].weight;
      CU_ASSERT (fabs (homes[i] - expected) <= 5.0 * sqrt (expected));
    }
}

/* Guards against every leaving engine emptying the caches of the others: only the chats whose home
 * it was may move, all others must reach the engine that has their prefix cached. */
static void
test_leaving_engine_moves_only_its_chats (void)
{
  rendezvous_engine_t engines[ENGINES];
  make_engines (engines, ENGINES);
  for (uint32_t chat = 0; chat < 2000; chat++)
    {
      uint32_t before[2], after;
      rendezvous_rank (engines, ENGINES, 7, hash_chat_number (chat), before, 2);
      rendezvous_rank (engines, ENGINES - 1, 7, hash_chat_number (chat), &after, 1);
      CU_ASSERT_EQUAL (after, before[0] == ENGINES - 1 ? before[1] : before[0]);
    }
}

static void
test_rank_ignores_list_order (void)
{
  rendezvous_engine_t engines[ENGINES], reversed[ENGINES];
  make_engines (engines, ENGINES);
  for (uint32_t i = 0; i < ENGINES; i++)
    reversed[i] = engines[ENGINES - 1 - i];
  for (uint32_t chat = 0; chat < 500; chat++)
    {
      uint32_t a[4], b[4];
      rendezvous_rank (engines, ENGINES, 7, hash_chat_number (chat), a, 4);
      rendezvous_rank (reversed, ENGINES, 7, hash_chat_number (chat), b, 4);
      CU_ASSERT (memcmp (a, b, sizeof a) == 0);
    }
}

static void
test_rank_edges (void)
{
  rendezvous_engine_t engine = { .hash = 5, .index = 9, .weight = 1.0f };
  uint32_t out[4];
  CU_ASSERT_EQUAL (rendezvous_rank (&engine, 0, 7, 8, out, 4), 0);
  CU_ASSERT_EQUAL (rendezvous_rank (&engine, 1, 7, 8, out, 0), 0);
  CU_ASSERT_EQUAL (rendezvous_rank (&engine, 1, 7, 8, out, 4), 1);
  CU_ASSERT_EQUAL (out[0], 9);
  engine.weight = 0.0f;
  CU_ASSERT_EQUAL (rendezvous_rank (&engine, 1, 7, 8, out, 4), 0);
}

static void
test_chats_of_accounts_differ (void)
{
  CU_ASSERT_NOT_EQUAL (rendezvous_hash_chat ("hanbit", "1"), rendezvous_hash_chat ("daeyang", "1"));
  CU_ASSERT_NOT_EQUAL (rendezvous_hash_chat ("hanbit", "1"), rendezvous_hash_chat ("hanbi", "t1"));
  CU_ASSERT_NOT_EQUAL (rendezvous_hash_chat ("hanbit", "abc"),
                       rendezvous_hash_body ("hanbit", "abc", 3));
  CU_ASSERT_NOT_EQUAL (rendezvous_hash_body ("a", "abc", 3), rendezvous_hash_body ("b", "abc", 3));
}

static candidates_query_t
init_query (rendezvous_engine_t *engines, const candidates_engine_t *details)
{
  make_engines (engines, ENGINES);
  return (candidates_query_t){ .now_us = 1000,
                               .engines = engines,
                               .details = details,
                               .engine_count = ENGINES,
                               .service_hash = 7,
                               .chat_hash = hash_chat_number (1) };
}

static bool
is_not_dead (uint64_t engine_hash, void *context)
{
  return engine_hash != *(const uint64_t *)context;
}

static void
test_unusable_and_unsettled_engines_are_not_first (void)
{
  rendezvous_engine_t engines[ENGINES];
  candidates_engine_t details[ENGINES] = { 0 };
  candidates_query_t query = init_query (engines, details);
  query.has_chat = true;
  query.cache_lifetime_us = 500;
  const candidates_t all = candidates_choose (&query);
  CU_ASSERT_EQUAL_FATAL (all.candidate_count, FORWARDING_CANDIDATES_MAX);
  CU_ASSERT_EQUAL (all.home_hash, all.candidates[0]);
  CU_ASSERT_EQUAL (all.former_home_hash, 0);
  uint64_t dead = all.candidates[0];
  query.is_usable = is_not_dead;
  query.context = &dead;
  const candidates_t rest = candidates_choose (&query);
  CU_ASSERT_EQUAL (rest.home_hash, all.candidates[1]);
  query.is_usable = NULL;
  for (uint32_t i = 0; i < ENGINES; i++)
    if (engines[i].hash == dead)
      details[i] = (candidates_engine_t){ .joined_us = 900, .settled_us = 1001 };
  CU_ASSERT_EQUAL (candidates_choose (&query).home_hash, all.candidates[1]);
  query.now_us = 1001;
  CU_ASSERT_EQUAL (candidates_choose (&query).home_hash, dead);
  CU_ASSERT_EQUAL (candidates_choose (&query).former_home_hash, all.candidates[1]);
  query.first_turn = true;
  CU_ASSERT_EQUAL (candidates_choose (&query).former_home_hash, 0);
  query.first_turn = false;
  query.now_us = 1400;
  CU_ASSERT_EQUAL (candidates_choose (&query).former_home_hash, 0);
}

static void
test_less_loaded_engine_is_first_without_a_chat (void)
{
  rendezvous_engine_t engines[ENGINES];
  const candidates_engine_t details[ENGINES] = { 0 };
  load_samples_t samples;
  load_samples_init (&samples, 1);
  candidates_query_t query = init_query (engines, details);
  query.samples = &samples;
  const candidates_t plain = candidates_choose (&query);
  for (uint32_t i = 0; i < 2; i++)
    {
      const load_sample_t sample = { .engine_hash = plain.candidates[i],
                                     .load = i == 0 ? 9 : 3,
                                     .taken_us = 900 };
      load_samples_add (&samples, &sample);
    }
  const candidates_t balanced = candidates_choose (&query);
  CU_ASSERT_EQUAL (balanced.candidates[0], plain.candidates[1]);
  CU_ASSERT_EQUAL (balanced.candidates[1], plain.candidates[0]);
  query.has_chat = true;
  CU_ASSERT_EQUAL (candidates_choose (&query).candidates[0], plain.candidates[0]);
}

static void
test_own_requests_count (void)
{
  rendezvous_engine_t engines[ENGINES];
  const candidates_engine_t details[ENGINES] = { 0 };
  load_samples_t samples;
  in_flight_counts_t *in_flight_counts = in_flight_new ();
  load_samples_init (&samples, 1);
  candidates_query_t query = init_query (engines, details);
  query.samples = &samples;
  query.under_way = in_flight_counts;
  const candidates_t plain = candidates_choose (&query);
  query.tie = 1;
  CU_ASSERT_EQUAL (candidates_choose (&query).candidates[0], plain.candidates[1]);
  query.tie = 0;
  in_flight_begin (in_flight_counts, plain.candidates[0]);
  in_flight_begin (in_flight_counts, plain.candidates[0]);
  CU_ASSERT_EQUAL (candidates_choose (&query).candidates[0], plain.candidates[1]);
  in_flight_end (in_flight_counts, plain.candidates[0]);
  in_flight_end (in_flight_counts, plain.candidates[0]);
  CU_ASSERT_EQUAL (in_flight_count (in_flight_counts, plain.candidates[0]), 0);
  CU_ASSERT_EQUAL (candidates_choose (&query).candidates[0], plain.candidates[0]);
  const load_sample_t busy = { .engine_hash = plain.candidates[1], .load = 5, .taken_us = 900 };
  load_samples_add (&samples, &busy);
  in_flight_begin (in_flight_counts, plain.candidates[0]);
  /* There is no sample of the first, so the two are compared by the router's own requests. */
  CU_ASSERT_EQUAL (candidates_choose (&query).candidates[0], plain.candidates[1]);
  const load_sample_t idle = { .engine_hash = plain.candidates[0], .taken_us = 900 };
  load_samples_add (&samples, &idle);
  CU_ASSERT_EQUAL (candidates_choose (&query).candidates[0], plain.candidates[0]);
  in_flight_free (in_flight_counts);
}

static void
test_recent_answers_last_until_removed (void)
{
  recent_answers_t *answers = recent_answers_new (4, 100);
  CU_ASSERT_FALSE (recent_answers_contain (answers, 50, 0));
  recent_answers_add (answers, 50, 8);
  CU_ASSERT_TRUE (recent_answers_contain (answers, 149, 8));
  CU_ASSERT_FALSE (recent_answers_contain (answers, 150, 8));
  CU_ASSERT_FALSE (recent_answers_contain (answers, 50, 4));
  recent_answers_remove (answers, 4);
  CU_ASSERT_TRUE (recent_answers_contain (answers, 50, 8));
  recent_answers_remove (answers, 8);
  CU_ASSERT_FALSE (recent_answers_contain (answers, 50, 8));
  recent_answers_add (answers, 50, 8);
  recent_answers_add (answers, 50, 4);
  CU_ASSERT_FALSE (recent_answers_contain (answers, 50, 8));
  recent_answers_free (answers);
}

static void
test_verdict_names (void)
{
  for (verdict_t verdict = VERDICT_NOT_RUN; verdict <= VERDICT_RAN; verdict++)
    CU_ASSERT_EQUAL (verdict_from_string (verdict_to_string (verdict)), verdict);
  CU_ASSERT_EQUAL (verdict_from_string (NULL), VERDICT_MAY_HAVE_RUN);
  CU_ASSERT_EQUAL (verdict_from_string ("NOT_RUN"), VERDICT_MAY_HAVE_RUN);
  for (verdict_reason_t reason = VERDICT_REASON_NONE; reason < VERDICT_REASON_COUNT; reason++)
    CU_ASSERT_EQUAL (verdict_reason_from_string (verdict_reason_to_string (reason)), reason);
  CU_ASSERT_EQUAL (verdict_reason_from_string ("other"), VERDICT_REASON_NONE);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "rank matches the scores", test_rank_matches_scores },
    { "rank spreads by weight", test_rank_spreads_by_weight },
    { "a leaving engine moves only its chats", test_leaving_engine_moves_only_its_chats },
    { "rank ignores the order of the list", test_rank_ignores_list_order },
    { "rank of nothing and of one", test_rank_edges },
    { "chats of two accounts differ", test_chats_of_accounts_differ },
    { "unusable and unsettled engines are not first",
      test_unusable_and_unsettled_engines_are_not_first },
    { "the less loaded engine is first without a chat",
      test_less_loaded_engine_is_first_without_a_chat },
    { "own requests count", test_own_requests_count },
    { "recent answers last until removed", test_recent_answers_last_until_removed },
    { "names of verdicts and reasons", test_verdict_names },
    CU_TEST_INFO_NULL,
  };
  return suite_run ("rendezvous", tests);
}
