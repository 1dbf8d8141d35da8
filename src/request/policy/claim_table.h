/**
 * DOC: claim_table
 *
 * The keys that a reader of a claims stream remembers for the horizon: a hash table with open
 * addressing and 24 bytes per key, which are stored as fingerprints. Expired entries are dropped
 * when the table is rebuilt.
 */
#ifndef REQUEST_POLICY_CLAIM_TABLE_H
#define REQUEST_POLICY_CLAIM_TABLE_H

#include <stdint.h>

typedef struct clt clt_t;

/** enum claim_table_state - state of an entry */
typedef enum
{
  CLT_FREE, /* no claim holds the key */
  CLT_HELD, /* a claim holds the key, and its request may have run */
  CLT_DONE, /* the request of the claim that holds the key ran */
  CLT_DEAD  /* not a key but a released claim, which can't get its key any more */
} clt_state_t;

/**
 * struct clt_entry - one key, or one released claim
 * @fingerprint: of the key, or of key and claim for %CLT_DEAD; never 0 in a used entry
 * @holder_claim: fingerprint of the claim that holds the key
 * @holder_body: fingerprint of that claim's body
 * @claimed_s: wall time of the last claim of the key, in seconds; for %CLT_DEAD of the release
 * @status: HTTP status, for %CLT_DONE
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
} clt_entry_t;

/** clt_new() - Return: an empty table; @horizon_s: entries expire this long after claimed_s */
clt_t *clt_new (uint32_t horizon_s);
void clt_free (clt_t *clt);
/** clt_find() - Return: the entry of @fingerprint, valid until the next clt_put(); NULL when there
 * is none or it is free or expired */
clt_entry_t *clt_find (clt_t *clt, uint32_t now_s, uint64_t fingerprint);
/** clt_put() - Return: the entry of @fingerprint, made when there is none; valid until the next
 * call */
clt_entry_t *clt_put (clt_t *clt, uint32_t now_s, uint64_t fingerprint);
/** clt_count() - Return: number of entries, with those that expired since the last rebuild */
uint32_t clt_count (const clt_t *clt);
/** clt_bytes() - Return: size of the table in bytes */
uint64_t clt_bytes (const clt_t *clt);

#endif
