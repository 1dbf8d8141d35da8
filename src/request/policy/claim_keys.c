#include "request/policy/claim_keys.h"

#include "request/policy/claim_table.h"

#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

/* Clocks of hosts are trusted to be no further apart. */
#define SKEW_MS (60 * 1000)

struct cky
{
  clt_t *table;
  uint64_t wall_ms;
  uint64_t log_ms; /* latest time of a claim in the log */
};

static uint64_t
key_name (const clm_key_t *key)
{
  uint64_t name = XXH3_64bits (key->key_hash, sizeof key->key_hash);
  return name != 0 ? name : 1;
}

static uint64_t
dead_name (const clr_t *record)
{
  uint64_t words[4] = { record->key.key_hash[0], record->key.key_hash[1], record->claim_id[0],
                        record->claim_id[1] };
  uint64_t name = XXH3_64bits (words, sizeof words);
  return name != 0 ? name : 1;
}

static uint32_t
claim_print (const uint64_t claim_id[2])
{
  return (uint32_t)XXH3_64bits (claim_id, 2 * sizeof (uint64_t));
}

static uint32_t
body_print (const clm_key_t *key)
{
  return (uint32_t)XXH3_64bits (&key->body_hash, sizeof key->body_hash);
}

/* Keys are forgotten by the earlier of both clocks: with the log's alone, one writer whose clock
 * is ahead would make all forget at once, and a key could run twice; so for the reader's alone. */
static uint32_t
forget_s (const cky_t *keys)
{
  return (uint32_t)(MIN (keys->wall_ms, keys->log_ms) / 1000);
}

/* A record that claims to be much older than those before it would be forgotten too early, one
 * from the future would be kept too long. */
static uint64_t
trusted_ms (const cky_t *keys, uint64_t wall_ms)
{
  uint64_t earliest_ms = keys->log_ms > SKEW_MS ? keys->log_ms - SKEW_MS : 0;
  uint64_t latest_ms = MAX (earliest_ms, keys->wall_ms + SKEW_MS);
  return CLAMP (wall_ms, earliest_ms, latest_ms);
}

static cky_verdict_t
lost_to (const clt_entry_t *holder, const clm_key_t *key)
{
  cky_verdict_t verdict = { CLM_HELD, holder->status };
  if (holder->body != body_print (key))
    verdict.verdict = CLM_KEY_REUSED;
  else if (holder->state == CLT_DONE)
    verdict.verdict = CLM_DONE;
  return verdict;
}

cky_t *
cky_new (uint32_t horizon_s)
{
  cky_t *keys = g_new0 (cky_t, 1);
  keys->table = clt_new (horizon_s);
  return keys;
}

void
cky_free (cky_t *keys)
{
  if (keys == NULL)
    return;
  clt_free (keys->table);
  g_free (keys);
}

void
cky_set_wall (cky_t *keys, uint64_t wall_ms)
{
  keys->wall_ms = wall_ms;
}

cky_verdict_t
cky_claim (cky_t *keys, const clr_t *record)
{
  uint64_t at_ms = trusted_ms (keys, record->wall_ms);
  keys->log_ms = MAX (keys->log_ms, at_ms);
  uint32_t now_s = forget_s (keys);
  if (clt_find (keys->table, now_s, dead_name (record)) != NULL)
    return (cky_verdict_t){ CLM_HELD, 0 };
  clt_entry_t *entry = clt_find (keys->table, now_s, key_name (&record->key));
  if (entry != NULL)
    {
      /* Near the horizon one reader still sees the holder where another has forgotten it and lets
       * this claim have the key. The two would then grant two claims; holding the key from this
       * claim on as well, each at worst says that it may have run. */
      entry->at_s = MAX (entry->at_s, (uint32_t)(at_ms / 1000));
      return lost_to (entry, &record->key);
    }
  entry = clt_put (keys->table, now_s, key_name (&record->key));
  entry->state = CLT_HELD;
  entry->claim = claim_print (record->claim_id);
  entry->body = body_print (&record->key);
  entry->at_s = (uint32_t)(at_ms / 1000);
  entry->status = 0;
  return (cky_verdict_t){ CLM_GRANTED, 0 };
}

void
cky_release (cky_t *keys, const clr_t *record)
{
  uint32_t now_s = forget_s (keys);
  clt_entry_t *entry = clt_find (keys->table, now_s, key_name (&record->key));
  if (entry != NULL && entry->claim == claim_print (record->claim_id))
    {
      if (entry->state == CLT_DONE)
        return;
      entry->state = CLT_FREE;
    }
  entry = clt_put (keys->table, now_s, dead_name (record));
  entry->state = CLT_DEAD;
  entry->at_s = (uint32_t)((keys->log_ms != 0 ? keys->log_ms : keys->wall_ms) / 1000);
}

void
cky_done (cky_t *keys, const clr_t *record)
{
  clt_entry_t *entry = clt_find (keys->table, forget_s (keys), key_name (&record->key));
  if (entry == NULL || entry->claim != claim_print (record->claim_id))
    return;
  entry->state = CLT_DONE;
  entry->status = (uint16_t)record->status;
}

cky_verdict_t
cky_known (cky_t *keys, const clm_key_t *key)
{
  const clt_entry_t *entry = clt_find (keys->table, forget_s (keys), key_name (key));
  if (entry == NULL || entry->state != CLT_DONE)
    return (cky_verdict_t){ CLM_PENDING, 0 };
  return lost_to (entry, key);
}

uint32_t
cky_count (const cky_t *keys)
{
  return clt_count (keys->table);
}

uint64_t
cky_bytes (const cky_t *keys)
{
  return clt_bytes (keys->table);
}
