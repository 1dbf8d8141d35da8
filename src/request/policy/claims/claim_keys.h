/**
 * DOC: claim_keys
 *
 * Which claim holds which key, computed from the entries of a claims stream in the order of the
 * log. All readers that have read the same records have the same holder for each key.
 */
#ifndef REQUEST_POLICY_CLAIMS_CLAIM_KEYS_H
#define REQUEST_POLICY_CLAIMS_CLAIM_KEYS_H

#include "request/policy/claims/claim_record.h"

typedef struct claim_keys claim_keys_t;

/** struct claim_keys_verdict - result of a claim; @status: HTTP status of the holder's request, for
 * %CLAIM_DONE */
typedef struct
{
  claim_verdict_t verdict;
  uint32_t status;
} claim_keys_verdict_t;

/** claim_keys_new() - Return: an empty set; @horizon_s: how long a key is remembered after its last
 * claim
 */
claim_keys_t *claim_keys_new (uint32_t horizon_s);
void claim_keys_free (claim_keys_t *keys);
/** claim_keys_set_wall_clock() - sets the reader's wall clock; to be called before the entries of a
 * record */
void claim_keys_set_wall_clock (claim_keys_t *keys, uint64_t wall_ms);
/** claim_keys_claim() - applies a claim entry; one that was granted in an era before takes the key
 * from one that was not. Return: %CLAIM_GRANTED when the claim got the key,
 * else why it never will */
claim_keys_verdict_t claim_keys_claim (claim_keys_t *keys, const claim_entry_t *claim);
/** claim_keys_release() - applies a release entry: frees the key if that claim holds it, and voids
 * the claim */
void claim_keys_release (claim_keys_t *keys, const claim_entry_t *release);
/** claim_keys_finish() - applies a done entry, if that claim holds the key */
void claim_keys_finish (claim_keys_t *keys, const claim_entry_t *done);
/** claim_keys_check_finished() - Return: %CLAIM_DONE or %CLAIM_KEY_REUSED when a new claim of the
 * key would certainly end so, else %CLAIM_PENDING */
claim_keys_verdict_t claim_keys_check_finished (claim_keys_t *keys, const claim_key_t *key);
/** claim_keys_count() - Return: number of keys and released claims that are remembered */
uint32_t claim_keys_count (const claim_keys_t *keys);
uint64_t claim_keys_memory_bytes (const claim_keys_t *keys);

#endif
