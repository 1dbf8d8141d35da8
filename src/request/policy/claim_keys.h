/**
 * DOC: claim_keys
 *
 * Which claim holds which key, computed from the entries of a claims stream in the order of the
 * log. All readers that have read the same records have the same holder for each key.
 */
#ifndef REQUEST_POLICY_CLAIM_KEYS_H
#define REQUEST_POLICY_CLAIM_KEYS_H

#include "request/policy/claim_record.h"

typedef struct cky cky_t;

/** struct cky_verdict - result of a claim; @status: HTTP status of the holder's request, for
 * %CLM_DONE */
typedef struct
{
  clm_verdict_t verdict;
  uint32_t status;
} cky_verdict_t;

/** cky_new() - Return: an empty set; @horizon_s: how long a key is remembered after its last claim
 */
cky_t *cky_new (uint32_t horizon_s);
void cky_free (cky_t *keys);
/** cky_set_wall() - sets the reader's wall clock; to be called before the entries of a record */
void cky_set_wall (cky_t *keys, uint64_t wall_ms);
/** cky_claim() - applies a claim entry. Return: %CLM_GRANTED when the claim got the key, else why
 * it never will */
cky_verdict_t cky_claim (cky_t *keys, const clr_t *claim);
/** cky_release() - applies a release entry: frees the key if that claim holds it, and voids the
 * claim */
void cky_release (cky_t *keys, const clr_t *release);
/** cky_done() - applies a done entry, if that claim holds the key */
void cky_done (cky_t *keys, const clr_t *done);
/** cky_known() - Return: %CLM_DONE or %CLM_KEY_REUSED when a new claim of the key would certainly
 * end so, else %CLM_PENDING */
cky_verdict_t cky_known (cky_t *keys, const clm_key_t *key);
/** cky_count() - Return: number of keys and released claims that are remembered */
uint32_t cky_count (const cky_t *keys);
uint64_t cky_bytes (const cky_t *keys);

#endif
