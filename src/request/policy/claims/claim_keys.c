#include "request/policy/claims/claim_keys.h"

#include "request/policy/claims/claim_table.h"

#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

/* Clocks of hosts are assumed to differ by no more than this. */
#define CLOCK_SKEW_MAX_MS (60 * 1000)

struct claim_keys
{
  claim_table_t *table;
  uint64_t wall_ms;
  uint64_t log_ms; /* the latest time of a claim in the log */
};

static uint64_t
key_fingerprint (const claim_key_t *key)
{
  uint64_t fingerprint = XXH3_64bits (key->key_hash, sizeof key->key_hash);
  return fingerprint != 0 ? fingerprint : 1;
}

static uint64_t
released_fingerprint (const claim_entry_t *claim)
{
  uint64_t ids[4] = { claim->key.key_hash[0], claim->key.key_hash[1], claim->claim_id[0],
                      claim->claim_id[1] };
  uint64_t fingerprint = XXH3_64bits (ids, sizeof ids);
  return fingerprint != 0 ? fingerprint : 1;
}

static uint32_t
claim_fingerprint (const uint64_t claim_id[2])
{
  return (uint32_t)XXH3_64bits (claim_id, 2 * sizeof (uint64_t));
}

static uint32_t
body_fingerprint (const claim_key_t *key)
{
  return (uint32_t)XXH3_64bits (&key->body_hash, sizeof key->body_hash);
}

/* Keys expire by the earlier of both clocks. With the log's time alone, one writer whose clock is
 * ahead would make all readers forget keys too early, and a key could run twice; with the reader's
 * clock alone, a reader whose clock is ahead would. */
static uint32_t
expiry_clock_s (const claim_keys_t *keys)
{
  return (uint32_t)(MIN (keys->wall_ms, keys->log_ms) / 1000);
}

/* A claim with a time much before the earlier ones would expire too early, and one from the future
 * would be kept too long. */
static uint64_t
clamp_to_trusted_ms (const claim_keys_t *keys, uint64_t wall_ms)
{
  uint64_t earliest_ms = keys->log_ms > CLOCK_SKEW_MAX_MS ? keys->log_ms - CLOCK_SKEW_MAX_MS : 0;
  uint64_t latest_ms = MAX (earliest_ms, keys->wall_ms + CLOCK_SKEW_MAX_MS);
  return CLAMP (wall_ms, earliest_ms, latest_ms);
}

static claim_keys_verdict_t
verdict_of_loser (const claim_table_entry_t *holder, const claim_key_t *key)
{
  claim_keys_verdict_t verdict = { CLAIM_HELD, holder->status };
  if (holder->holder_body != body_fingerprint (key))
    verdict.verdict = CLAIM_KEY_REUSED;
  else if (holder->state == CLAIM_TABLE_DONE)
    verdict.verdict = CLAIM_DONE;
  return verdict;
}

claim_keys_t *
claim_keys_new (uint32_t horizon_s)
{
  claim_keys_t *keys = g_new0 (claim_keys_t, 1);
  keys->table = claim_table_new (horizon_s);
  return keys;
}

void
claim_keys_free (claim_keys_t *keys)
{
  if (keys == NULL)
    return;
  claim_table_free (keys->table);
  g_free (keys);
}

void
claim_keys_set_wall_clock (claim_keys_t *keys, uint64_t wall_ms)
{
  keys->wall_ms = wall_ms;
}

claim_keys_verdict_t
claim_keys_claim (claim_keys_t *keys, const claim_entry_t *claim)
{
  uint64_t at_ms = clamp_to_trusted_ms (keys, claim->wall_ms);
  keys->log_ms = MAX (keys->log_ms, at_ms);
  uint32_t now_s = expiry_clock_s (keys);
  if (claim_table_find (keys->table, now_s, released_fingerprint (claim)) != NULL)
    return (claim_keys_verdict_t){ CLAIM_HELD, 0 };
  claim_table_entry_t *entry = claim_table_find (keys->table, now_s, key_fingerprint (&claim->key));
  if (entry != NULL)
    {
      /* Near the horizon one reader still has the holder while another one has forgotten it and
       * grants this claim the key. When the first one forgot the holder later, the two would grant
       * two claims. The key is therefore held for a horizon from this claim on: at worst a reader
       * says that the request may have run. */
      entry->claimed_s = MAX (entry->claimed_s, (uint32_t)(at_ms / 1000));
      if (!claim->granted || entry->state != CLAIM_TABLE_HELD)
        return verdict_of_loser (entry, &claim->key);
    }
  entry = claim_table_put (keys->table, now_s, key_fingerprint (&claim->key));
  entry->state = CLAIM_TABLE_HELD;
  entry->holder_claim = claim_fingerprint (claim->claim_id);
  entry->holder_body = body_fingerprint (&claim->key);
  entry->claimed_s = (uint32_t)(at_ms / 1000);
  entry->status = 0;
  return (claim_keys_verdict_t){ CLAIM_GRANTED, 0 };
}

void
claim_keys_release (claim_keys_t *keys, const claim_entry_t *release)
{
  uint32_t now_s = expiry_clock_s (keys);
  claim_table_entry_t *entry =
      claim_table_find (keys->table, now_s, key_fingerprint (&release->key));
  if (entry != NULL && entry->holder_claim == claim_fingerprint (release->claim_id))
    {
      if (entry->state == CLAIM_TABLE_DONE)
        return;
      entry->state = CLAIM_TABLE_FREE;
    }
  entry = claim_table_put (keys->table, now_s, released_fingerprint (release));
  entry->state = CLAIM_TABLE_RELEASED;
  entry->claimed_s = (uint32_t)((keys->log_ms != 0 ? keys->log_ms : keys->wall_ms) / 1000);
}

void
claim_keys_finish (claim_keys_t *keys, const claim_entry_t *done)
{
  claim_table_entry_t *entry =
      claim_table_find (keys->table, expiry_clock_s (keys), key_fingerprint (&done->key));
  if (entry == NULL || entry->holder_claim != claim_fingerprint (done->claim_id))
    return;
  entry->state = CLAIM_TABLE_DONE;
  entry->status = (uint16_t)done->status;
}

claim_keys_verdict_t
claim_keys_check_finished (claim_keys_t *keys, const claim_key_t *key)
{
  const claim_table_entry_t *entry =
      claim_table_find (keys->table, expiry_clock_s (keys), key_fingerprint (key));
  if (entry == NULL || entry->state != CLAIM_TABLE_DONE)
    return (claim_keys_verdict_t){ CLAIM_PENDING, 0 };
  return verdict_of_loser (entry, key);
}

uint32_t
claim_keys_count (const claim_keys_t *keys)
{
  return claim_table_count (keys->table);
}

uint64_t
claim_keys_memory_bytes (const claim_keys_t *keys)
{
  return claim_table_memory_bytes (keys->table);
}
