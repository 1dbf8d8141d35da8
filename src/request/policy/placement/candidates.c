#include "request/policy/placement/candidates.h"

#include "request/policy/placement/referral.h"

#include <glib.h>
#include <stddef.h>

/* More than FORWARDING_CANDIDATES_MAX, as unusable engines are left out afterwards. */
#define RANKED_MAX (FORWARDING_CANDIDATES_MAX + 8)

/* Ranked engines; the first @settled_count can be the home of chats, the others joined recently. */
typedef struct
{
  uint64_t hash[RANKED_MAX];
  uint64_t joined_us[RANKED_MAX];
  uint32_t count;
  uint32_t settled_count;
} ranked_t;

static bool
usable (const candidates_query_t *query, uint64_t engine_hash)
{
  return query->is_usable == NULL || query->is_usable (engine_hash, query->context);
}

static void
append_usable (const candidates_query_t *query,
               const uint32_t *order,
               uint32_t found,
               bool settled,
               ranked_t *out)
{
  for (uint32_t i = 0; i < found; i++)
    {
      const rendezvous_engine_t *engine = &query->engines[order[i]];
      const candidates_engine_t *details = &query->details[order[i]];
      if ((details->settled_us <= query->now_us) != settled || !usable (query, engine->hash))
        continue;
      out->hash[out->count] = engine->hash;
      out->joined_us[out->count++] = details->joined_us;
    }
}

static void
rank_engines (const candidates_query_t *query, ranked_t *out)
{
  uint32_t order[RANKED_MAX];
  const uint32_t found = rendezvous_rank (query->engines, query->engine_count, query->service_hash,
                                          query->chat_hash, order, RANKED_MAX);
  out->count = 0;
  append_usable (query, order, found, true, out);
  out->settled_count = out->count;
  append_usable (query, order, found, false, out);
}

/* Return: the first engine that was there before the home joined, while it can still have the chat
 * cached; 0 when none */
static uint64_t
find_former (const candidates_query_t *query, const ranked_t *ranked)
{
  const uint64_t joined_us = ranked->joined_us[0];
  if (!query->has_chat || query->first_turn || joined_us == 0 ||
      query->now_us >= joined_us + query->cache_lifetime_us)
    return 0;
  for (uint32_t i = 1; i < ranked->settled_count; i++)
    if (ranked->joined_us[i] < joined_us)
      return ranked->hash[i];
  return 0;
}

/* The higher of two counts: a sample misses the requests sent since, and this router's own count
 * misses those of other routers. */
static uint32_t
estimated_load (const candidates_query_t *query, const load_sample_t *sample, uint64_t engine_hash)
{
  const uint32_t own =
      query->under_way != NULL ? in_flight_count (query->under_way, engine_hash) : 0;
  return sample == NULL ? own : MAX (own, sample->load + sample->waiting);
}

static bool
is_second_less_loaded (const candidates_query_t *query, const ranked_t *ranked)
{
  if (query->has_chat || query->samples == NULL || ranked->settled_count < 2)
    return false;
  const load_sample_t *first =
      referral_find_sample (query->samples, query->now_us, ranked->hash[0]);
  const load_sample_t *second =
      referral_find_sample (query->samples, query->now_us, ranked->hash[1]);
  /* An engine without a sample is not empty, so the samples are then not compared. */
  if (first == NULL || second == NULL)
    first = second = NULL;
  const uint32_t first_load = estimated_load (query, first, ranked->hash[0]);
  const uint32_t second_load = estimated_load (query, second, ranked->hash[1]);
  return second_load < first_load || (second_load == first_load && (query->tie & 1) != 0);
}

candidates_t
candidates_choose (const candidates_query_t *query)
{
  ranked_t ranked;
  candidates_t chosen = { 0 };
  rank_engines (query, &ranked);
  if (ranked.count == 0)
    return chosen;
  chosen.home_hash = ranked.hash[0];
  chosen.former_home_hash = find_former (query, &ranked);
  while (chosen.candidate_count < ranked.count &&
         chosen.candidate_count < FORWARDING_CANDIDATES_MAX)
    {
      chosen.candidates[chosen.candidate_count] = ranked.hash[chosen.candidate_count];
      chosen.candidate_count++;
    }
  if (is_second_less_loaded (query, &ranked))
    {
      chosen.candidates[0] = ranked.hash[1];
      chosen.candidates[1] = ranked.hash[0];
    }
  return chosen;
}
