/**
 * DOC: claim_table
 *
 * The keys that a reader of a claims stream remembers over the horizon: 24 bytes each in an
 * open-addressing table, as fingerprints. Expired entries are dropped when the table is rebuilt.
 */
#ifndef REQUEST_POLICY_CLAIM_TABLE_H
#define REQUEST_POLICY_CLAIM_TABLE_H

#include <stdint.h>

typedef struct clt clt_t;

typedef enum
{
  CLT_FREE, /* nobody holds the key */
  CLT_HELD, /* a claim of the key may have run */
  CLT_DONE, /* a claim of the key ran */
  CLT_DEAD  /* not a key but a claim that was released: it takes no key any more */
} clt_state_t;

/**
 * struct clt_entry - one key, or one dead claim
 * @name: fingerprint of the key, or of the key and the claim for CLT_DEAD; never 0
 * @claim, @body: fingerprints of the claim that holds the key and of its body
 * @at_s: wall time of the claim
 */
typedef struct
{
  uint64_t name;
  uint32_t claim;
  uint32_t body;
  uint32_t at_s;
  uint16_t status;
  uint8_t state;
} clt_entry_t;

clt_t *clt_new (uint32_t horizon_s);
void clt_free (clt_t *clt);
/** clt_find() - the entry of @name, or NULL; valid until the next clt_put() */
clt_entry_t *clt_find (clt_t *clt, uint32_t now_s, uint64_t name);
/** clt_put() - the entry of @name, made when there is none; valid until the next clt_put() */
clt_entry_t *clt_put (clt_t *clt, uint32_t now_s, uint64_t name);
/** clt_count() - entries kept, with those that expired since the last rebuild */
uint32_t clt_count (const clt_t *clt);
uint64_t clt_bytes (const clt_t *clt);

#endif
