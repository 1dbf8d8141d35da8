/**
 * DOC: claim_keys
 *
 * Who holds which key, as the entries of a claims stream tell it in log order. Every reader that
 * has read the same records comes to the same holder of each key.
 */
#ifndef REQUEST_POLICY_CLAIM_KEYS_H
#define REQUEST_POLICY_CLAIM_KEYS_H

#include "request/policy/claim_record.h"

typedef struct cky cky_t;

/** struct cky_verdict - what became of a claim; @status is that of a holder that is done */
typedef struct
{
  clm_verdict_t verdict;
  uint32_t status;
} cky_verdict_t;

cky_t *cky_new (uint32_t horizon_s);
void cky_free (cky_t *keys);
/** cky_set_wall() - the reader's wall clock, before the entries of a record */
void cky_set_wall (cky_t *keys, uint64_t wall_ms);
/** cky_claim() - Return: CLM_GRANTED when it took the key, else why it never will */
cky_verdict_t cky_claim (cky_t *keys, const clr_t *record);
void cky_release (cky_t *keys, const clr_t *record);
void cky_done (cky_t *keys, const clr_t *record);
/** cky_known() - Return: CLM_DONE or CLM_KEY_REUSED when that is final already, else CLM_PENDING */
cky_verdict_t cky_known (cky_t *keys, const clm_key_t *key);
uint32_t cky_count (const cky_t *keys);
uint64_t cky_bytes (const cky_t *keys);

#endif
