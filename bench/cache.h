/**
 * DOC: cache
 *
 * The prefix cache of one engine as the benchmark takes it: prompt tokens by chat, in limited
 * memory, the least recently used chat goes first.
 */
#ifndef BENCH_CACHE_H
#define BENCH_CACHE_H

#include <stdint.h>

typedef struct cch cch_t;

cch_t *cch_new (uint64_t token_limit);
void cch_free (cch_t *cache);
/** cch_get() - tokens held of a chat; it counts as used */
uint32_t cch_get (cch_t *cache, uint64_t chat_hash);
/** cch_peek() - as cch_get(), but it does not count as used */
uint32_t cch_peek (cch_t *cache, uint64_t chat_hash);
void cch_put (cch_t *cache, uint64_t chat_hash, uint32_t tokens);

#endif
