/**
 * DOC: prefix_cache
 *
 * The prefix cache of the stand-in engine. It holds blocks of %PFX_BLOCK_TOKENS tokens; the hash of
 * a block covers all blocks before it. A full cache evicts the least recently used block.
 */
#ifndef STANDIN_PREFIX_CACHE_H
#define STANDIN_PREFIX_CACHE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define PFX_BLOCK_TOKENS 16
#define PFX_TOKEN_BYTES 4 /* bytes of text counted as one token */
#define PFX_BLOCK_BYTES (PFX_BLOCK_TOKENS * PFX_TOKEN_BYTES)

typedef struct prefix_cache pfx_t;

/** pfx_changed_t - called after block @block was stored, or evicted if @stored is false */
typedef void (*pfx_changed_t) (uint64_t block, bool stored, void *context);

/** pfx_new() - an empty cache of at most @limit_tokens tokens; @on_change may be NULL */
pfx_t *pfx_new (uint32_t limit_tokens, pfx_changed_t on_change, void *context);
/** pfx_free() - accepts NULL */
void pfx_free (pfx_t *cache);
/** pfx_tokens_in() - number of tokens in a text of @text_bytes, rounded up */
uint32_t pfx_tokens_in (size_t text_bytes);
/**
 * pfx_lookup() - finds the longest cached prefix of @text and marks it as most recently used
 *
 * Return: the number of tokens in that prefix
 */
uint32_t pfx_lookup (pfx_t *cache, const char *text, size_t text_bytes);
/** pfx_store() - caches the complete blocks of @text; a partial last block is ignored */
void pfx_store (pfx_t *cache, const char *text, size_t text_bytes);
/** pfx_cached_tokens() - number of tokens in the cache */
uint32_t pfx_cached_tokens (const pfx_t *cache);

#endif
