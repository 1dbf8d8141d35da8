/**
 * DOC: cache_model
 *
 * Model of one engine's prefix cache: the number of cached tokens of each chat. The total is
 * limited and the least recently used chats are evicted first.
 */
#ifndef BENCH_CACHE_MODEL_H
#define BENCH_CACHE_MODEL_H

#include <stdint.h>

typedef struct cache_model cache_model_t;

/** cache_model_new() - an empty cache of at most @token_limit tokens over all chats */
cache_model_t *cache_model_new (uint64_t token_limit);
void cache_model_free (cache_model_t *cache);
/** cache_model_use() - cached tokens of a chat, 0 if none; marks the chat as most recently used */
uint32_t cache_model_use (cache_model_t *cache, uint64_t chat_hash);
/** cache_model_peek() - cached tokens of a chat, 0 if none; leaves the eviction order unchanged */
uint32_t cache_model_peek (cache_model_t *cache, uint64_t chat_hash);
/** cache_model_put() - sets the cached tokens of a chat and evicts the least recently used over the
 * limit
 */
void cache_model_put (cache_model_t *cache, uint64_t chat_hash, uint32_t tokens);

#endif
