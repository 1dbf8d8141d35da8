#include "request/policy/place.h"

#include <math.h>
#include <stdbool.h>
#include <string.h>

#include <xxhash.h>

#define PLC_UNIT (1.0 / 9007199254740992.0) /* 2^-53: the top 53 bits of a hash as a fraction */
#define PLC_CHAT_SEED 0x63686174ULL         /* keeps chat ids and body hashes in separate spaces */
#define PLC_BODY_SEED 0x626f6479ULL

/* Ordering of candidates: by score, then by engine hash so that all routers agree on a tie. */
typedef struct
{
  double score;
  uint64_t key;
  uint64_t engine_hash;
  uint32_t index;
} plc_slot_t;

/* Bijective mixing of the combined key (the finaliser of MurmurHash3): each engine's order over
 * chats must look independent of every other engine's. */
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
  const double unit = ((double)(key >> 11) + 0.5) * PLC_UNIT;
  return -(double)weight / log (unit);
}

static bool
weights_equal (const plc_engine_t *engines, uint32_t engine_count)
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
goes_before (const plc_slot_t *a, const plc_slot_t *b)
{
  if (a->score != b->score)
    return a->score > b->score;
  if (a->key != b->key)
    return a->key > b->key;
  return a->engine_hash > b->engine_hash;
}

/* The heap keeps its worst slot on top, so that a newcomer is compared with that one alone. */
static void
sift_down (plc_slot_t *heap, uint32_t count, uint32_t at)
{
  for (;;)
    {
      uint32_t worst = at;
      for (uint32_t child = 2 * at + 1; child <= 2 * at + 2 && child < count; child++)
        if (goes_before (&heap[worst], &heap[child]))
          worst = child;
      if (worst == at)
        return;
      const plc_slot_t held = heap[at];
      heap[at] = heap[worst];
      heap[worst] = held;
      at = worst;
    }
}

static void
sift_up (plc_slot_t *heap, uint32_t at)
{
  while (at > 0)
    {
      const uint32_t parent = (at - 1) / 2;
      if (!goes_before (&heap[parent], &heap[at]))
        return;
      const plc_slot_t held = heap[at];
      heap[at] = heap[parent];
      heap[parent] = held;
      at = parent;
    }
}

static void
heap_offer (plc_slot_t *heap, uint32_t *count, uint32_t want, const plc_slot_t *slot)
{
  if (*count < want)
    {
      heap[*count] = *slot;
      sift_up (heap, (*count)++);
      return;
    }
  if (!goes_before (slot, &heap[0]))
    return;
  heap[0] = *slot;
  sift_down (heap, *count, 0);
}

static uint32_t
heap_drain (plc_slot_t *heap, uint32_t count, uint32_t *out)
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
plc_hash_name (const char *name)
{
  return XXH64 (name, strlen (name), 0);
}

uint64_t
plc_hash_chat (const char *account, const char *chat_id)
{
  return XXH64 (chat_id, strlen (chat_id), XXH64 (account, strlen (account), PLC_CHAT_SEED));
}

uint64_t
plc_hash_body (const char *account, const char *text, uint32_t text_bytes)
{
  return XXH64 (text, text_bytes, XXH64 (account, strlen (account), PLC_BODY_SEED));
}

double
plc_score (uint64_t service_hash, uint64_t chat_hash, uint64_t engine_hash, float weight)
{
  return score_of_key (engine_key (chat_key (service_hash, chat_hash), engine_hash), weight);
}

uint32_t
plc_rank (const plc_engine_t *engines,
          uint32_t engine_count,
          uint64_t service_hash,
          uint64_t chat_hash,
          uint32_t *out,
          uint32_t want)
{
  plc_slot_t heap[PLC_WANT_MAX];
  const uint64_t key = chat_key (service_hash, chat_hash);
  /* With equal weights the score grows with the hash, so the logarithm is not needed. */
  const bool equal = weights_equal (engines, engine_count);
  uint32_t count = 0;
  if (want > PLC_WANT_MAX)
    want = PLC_WANT_MAX;
  if (want == 0)
    return 0;
  for (uint32_t i = 0; i < engine_count; i++)
    {
      if (engines[i].weight <= 0.0f)
        continue;
      const uint64_t engine = engine_key (key, engines[i].hash);
      if (equal && count == want && engine < heap[0].key)
        continue;
      plc_slot_t slot = { .key = engine,
                          .engine_hash = engines[i].hash,
                          .index = engines[i].index };
      if (!equal)
        slot.score = score_of_key (slot.key, engines[i].weight);
      heap_offer (heap, &count, want, &slot);
    }
  return heap_drain (heap, count, out);
}
