/**
 * DOC: claim_table
 *
 * The keys that a reader of a claims stream remembers for the horizon: a hash table with open
 * addressing and 24 bytes per key, which are stored as fingerprints. Expired entries are dropped
 * when the table is rebuilt.
 */
#ifndef REQUEST_POLICY_CLAIMS_CLAIM_TABLE_H
#define REQUEST_POLICY_CLAIMS_CLAIM_TABLE_H

#include <stdint.h>

typedef struct claim_table claim_table_t;

/** enum claim_table_state - state of an entry */
typedef enum
{
  CLAIM_TABLE_FREE,    /* no claim holds the key */
  CLAIM_TABLE_HELD,    /* a claim holds the key, and its request may have run */
  CLAIM_TABLE_DONE,    /* the request of the claim that holds the key ran */
  CLAIM_TABLE_RELEASED /* not a key but a released claim, which can't get its key any more */
} claim_table_state_t;

/**
 * struct claim_table_entry - one key, or one released claim
 * @fingerprint: of the key, or of key and claim for %CLAIM_TABLE_RELEASED; never 0 in a used entry
 * @holder_claim: fingerprint of the claim that holds the key
 * @holder_body: fingerprint of that claim's body
 * @claimed_s: wall time of the last claim of the key, in seconds; for %CLAIM_TABLE_RELEASED of the
 *   release
 * @status: HTTP status, for %CLAIM_TABLE_DONE
 * @state: one of enum claim_table_state
 */
typedef struct
{
  uint64_t fingerprint;
  uint32_t holder_claim;
  uint32_t holder_body;
  uint32_t claimed_s;
  uint16_t status;
  uint8_t state;
} claim_table_entry_t;

/** claim_table_new() - Return: an empty table; @horizon_s: entries expire this long after claimed_s
 */
claim_table_t *claim_table_new (uint32_t horizon_s);
void claim_table_free (claim_table_t *claim_table);
/** claim_table_find() - Return: the entry of @fingerprint, valid until the next claim_table_put();
 * NULL when there is none or it is free or expired */
claim_table_entry_t *
claim_table_find (claim_table_t *claim_table, uint32_t now_s, uint64_t fingerprint);
/** claim_table_put() - Return: the entry of @fingerprint, made when there is none; valid until the
 * next call */
claim_table_entry_t *
claim_table_put (claim_table_t *claim_table, uint32_t now_s, uint64_t fingerprint);
/** claim_table_count() - Return: number of entries, with those that expired since the last rebuild
 */
uint32_t claim_table_count (const claim_table_t *claim_table);
/** claim_table_memory_bytes() - Return: size of the table in bytes */
uint64_t claim_table_memory_bytes (const claim_table_t *claim_table);

#endif
