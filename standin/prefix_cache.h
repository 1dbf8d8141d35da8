/**
 * DOC: prefix_cache
 *
 * The prefix cache of the stand-in engine. It holds blocks of %PREFIX_CACHE_BLOCK_TOKENS tokens;
 * the hash of a block covers all blocks before it. A full cache evicts the least recently used
 * block.
 */
#ifndef STANDIN_PREFIX_CACHE_H
#define STANDIN_PREFIX_CACHE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define PREFIX_CACHE_BLOCK_TOKENS 16
#define PREFIX_CACHE_TOKEN_BYTES 4 /* bytes of text counted as one token */
#define PREFIX_CACHE_BLOCK_BYTES (PREFIX_CACHE_BLOCK_TOKENS * PREFIX_CACHE_TOKEN_BYTES)

typedef struct prefix_cache prefix_cache_t;

/** prefix_cache_changed_t - called after block @block was stored, or evicted if @stored is false */
typedef void (*prefix_cache_changed_t) (uint64_t block, bool stored, void *context);

/** prefix_cache_new() - an empty cache of at most @limit_tokens tokens; @on_change may be NULL */
prefix_cache_t *
prefix_cache_new (uint32_t limit_tokens, prefix_cache_changed_t on_change, void *context);
/** prefix_cache_free() - accepts NULL */
void prefix_cache_free (prefix_cache_t *cache);
/** prefix_cache_count_tokens() - number of tokens in a text of @text_bytes, rounded up */
uint32_t prefix_cache_count_tokens (size_t text_bytes);
/**
 * prefix_cache_lookup() - finds the longest cached prefix of @text and marks it as most recently
 * used
 *
 * Return: the number of tokens in that prefix
 */
uint32_t prefix_cache_lookup (prefix_cache_t *cache, const char *text, size_t text_bytes);
/** prefix_cache_store() - caches the complete blocks of @text; a partial last block is ignored */
void prefix_cache_store (prefix_cache_t *cache, const char *text, size_t text_bytes);
/** prefix_cache_cached_tokens() - number of tokens in the cache */
uint32_t prefix_cache_cached_tokens (const prefix_cache_t *cache);

#endif
