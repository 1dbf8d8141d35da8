/**
 * DOC: cache
 *
 * Model of one engine's prefix cache: the number of cached tokens of each chat. The total is
 * limited and the least recently used chats are evicted first.
 */
#ifndef BENCH_CACHE_H
#define BENCH_CACHE_H

#include <stdint.h>

typedef struct cch cch_t;

/** cch_new() - an empty cache of at most @token_limit tokens over all chats */
cch_t *cch_new (uint64_t token_limit);
void cch_free (cch_t *cache);
/** cch_get() - cached tokens of a chat, 0 if none; marks the chat as most recently used */
uint32_t cch_get (cch_t *cache, uint64_t chat_hash);
/** cch_peek() - cached tokens of a chat, 0 if none; leaves the eviction order unchanged */
uint32_t cch_peek (cch_t *cache, uint64_t chat_hash);
/** cch_put() - sets the cached tokens of a chat and evicts the least recently used over the limit
 */
void cch_put (cch_t *cache, uint64_t chat_hash, uint32_t tokens);

#endif
