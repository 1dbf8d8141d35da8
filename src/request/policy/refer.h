/**
 * DOC: refer
 *
 * Refusals point to room: which engines a sidecar names when it refuses a request, chosen from the
 * load samples that it has heard.
 */
#ifndef REQUEST_POLICY_REFER_H
#define REQUEST_POLICY_REFER_H

#include "request/policy/mean.h"

#include <stdbool.h>
#include <stdint.h>

/**
 * struct ref_query - who may be named
 * @except_hash: the engine that refuses
 * @limit_milli: load that none may pass with one request more
 * @is_live: whether an engine is in use; NULL for all
 */
typedef struct
{
  uint64_t now_us;
  uint64_t except_hash;
  uint64_t limit_milli;
  bool (*is_live) (uint64_t engine_hash, void *context);
  void *context;
} ref_query_t;

/** ref_room() - up to %LIM_REFERRALS engines with room, best first. Return: how many */
uint32_t
ref_room (const mean_table_t *table, const ref_query_t *query, uint64_t *rng, uint64_t *out);
/** ref_find() - the sample of an engine if it is fresh, or NULL */
const mean_sample_t *ref_find (const mean_table_t *table, uint64_t now_us, uint64_t engine_hash);
/** ref_random() - xorshift64*: cheap, and seeded, so that runs repeat */
uint64_t ref_random (uint64_t *rng);

#endif
