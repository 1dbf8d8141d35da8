#include "request/policy/placement/rendezvous.h"

#include <math.h>
#include <stdbool.h>
#include <string.h>

#include <xxhash.h>

#define HASH_UNIT                                                                                  \
  (1.0 / 9007199254740992.0) /* 2^-53 turns the top 53 bits of a hash into a fraction */
/* differs from BODY_SEED: a chat id equal to a body has another hash */
#define CHAT_SEED 0x63686174ULL
#define BODY_SEED 0x626f6479ULL

/* An engine in the ranking: ordered by score, key and engine hash, so that all routers agree on a
 * tie. */
typedef struct
{
  double score;
  uint64_t key;
  uint64_t engine_hash;
  uint32_t index;
} ranked_t;

/* The finalizer of MurmurHash3, which is bijective. It makes the order of chats at an engine
 * independent of that at every other engine. */
static uint64_t
mix (uint64_t x)
{
  x ^= x >> 33;
  x *= 0xff51afd7ed558ccdULL;
  x ^= x >> 33;
  x *= 0xc4ceb9fe1a85ec53ULL;
  x ^= x >> 33;
  return x;
}

static uint64_t
chat_key (uint64_t service_hash, uint64_t chat_hash)
{
  const uint64_t words[2] = { service_hash, chat_hash };
  return XXH64 (words, sizeof words, 0);
}

static uint64_t
engine_key (uint64_t key, uint64_t engine_hash)
{
  return mix (key ^ mix (engine_hash));
}

static double
score_of_key (uint64_t key, float weight)
{
  if (weight <= 0.0f)
    return 0.0;
  const double unit = ((double)(key >> 11) + 0.5) * HASH_UNIT;
  return -(double)weight / log (unit);
}

static bool
weights_equal (const rendezvous_engine_t *engines, uint32_t engine_count)
{
  float weight = 0.0f;
  for (uint32_t i = 0; i < engine_count; i++)
    {
      if (engines[i].weight <= 0.0f)
        continue;
      if (weight != 0.0f && engines[i].weight != weight)
        return false;
      weight = engines[i].weight;
    }
  return true;
}

static bool
ranks_before (const ranked_t *a, const ranked_t *b)
{
  if (a->score != b->score)
    return a->score > b->score;
  if (a->key != b->key)
    return a->key > b->key;
  return a->engine_hash > b->engine_hash;
}

/* The heap has its lowest entry on top, so a new entry is compared with that one only. */
static void
sift_down (ranked_t *heap, uint32_t count, uint32_t at)
{
  for (;;)
    {
      uint32_t lowest = at;
      for (uint32_t child = 2 * at + 1; child <= 2 * at + 2 && child < count; child++)
        if (ranks_before (&heap[lowest], &heap[child]))
          lowest = child;
      if (lowest == at)
        return;
      const ranked_t swap = heap[at];
      heap[at] = heap[lowest];
      heap[lowest] = swap;
      at = lowest;
    }
}

static void
sift_up (ranked_t *heap, uint32_t at)
{
  while (at > 0)
    {
      const uint32_t parent = (at - 1) / 2;
      if (!ranks_before (&heap[parent], &heap[at]))
        return;
      const ranked_t swap = heap[at];
      heap[at] = heap[parent];
      heap[parent] = swap;
      at = parent;
    }
}

static void
heap_add (ranked_t *heap, uint32_t *count, uint32_t want, const ranked_t *entry)
{
  if (*count < want)
    {
      heap[*count] = *entry;
      sift_up (heap, (*count)++);
      return;
    }
  if (!ranks_before (entry, &heap[0]))
    return;
  heap[0] = *entry;
  sift_down (heap, *count, 0);
}

static uint32_t
heap_extract_all (ranked_t *heap, uint32_t count, uint32_t *out)
{
  const uint32_t found = count;
  while (count > 0)
    {
      out[--count] = heap[0].index;
      heap[0] = heap[count];
      sift_down (heap, count, 0);
    }
  return found;
}

uint64_t
rendezvous_hash_name (const char *name)
{
  return XXH64 (name, strlen (name), 0);
}

uint64_t
rendezvous_hash_chat (const char *account, const char *chat_id)
{
  return XXH64 (chat_id, strlen (chat_id), XXH64 (account, strlen (account), CHAT_SEED));
}

uint64_t
rendezvous_hash_body (const char *account, const char *text, uint32_t text_bytes)
{
  return XXH64 (text, text_bytes, XXH64 (account, strlen (account), BODY_SEED));
}

double
rendezvous_score (uint64_t service_hash, uint64_t chat_hash, uint64_t engine_hash, float weight)
{
  return score_of_key (engine_key (chat_key (service_hash, chat_hash), engine_hash), weight);
}

uint32_t
rendezvous_rank (const rendezvous_engine_t *engines,
                 uint32_t engine_count,
                 uint64_t service_hash,
                 uint64_t chat_hash,
                 uint32_t *out,
                 uint32_t want)
{
  ranked_t heap[RENDEZVOUS_RANK_MAX];
  const uint64_t key = chat_key (service_hash, chat_hash);
  /* With equal weights the score grows with the hash, so no logarithm is computed. */
  const bool equal = weights_equal (engines, engine_count);
  uint32_t count = 0;
  if (want > RENDEZVOUS_RANK_MAX)
    want = RENDEZVOUS_RANK_MAX;
  if (want == 0)
    return 0;
  for (uint32_t i = 0; i < engine_count; i++)
    {
      if (engines[i].weight <= 0.0f)
        continue;
      const uint64_t candidate_key = engine_key (key, engines[i].hash);
      if (equal && count == want && candidate_key < heap[0].key)
        continue;
      ranked_t entry = { .key = candidate_key,
                         .engine_hash = engines[i].hash,
                         .index = engines[i].index };
      if (!equal)
        entry.score = score_of_key (entry.key, engines[i].weight);
      heap_add (heap, &count, want, &entry);
    }
  return heap_extract_all (heap, count, out);
}
