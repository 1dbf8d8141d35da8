/**
 * DOC: prefix_cache
 *
 * The prefix cache of the stand-in engine: blocks of %PFX_BLOCK_TOKENS tokens, each named by a hash
 * chained over all blocks before it, with a limit and least-recently-used eviction.
 */
#ifndef STANDIN_PREFIX_CACHE_H
#define STANDIN_PREFIX_CACHE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define PFX_BLOCK_TOKENS 16
#define PFX_TOKEN_BYTES 4
#define PFX_BLOCK_BYTES (PFX_BLOCK_TOKENS * PFX_TOKEN_BYTES)

typedef struct pfx pfx_t;

/** pfx_changed_t - a block was stored, or evicted when not @stored */
typedef void (*pfx_changed_t) (uint64_t block, bool stored, void *context);

pfx_t *pfx_new (uint32_t limit_tokens, pfx_changed_t changed, void *context);
void pfx_free (pfx_t *pfx);
/** pfx_tokens_in() - tokens of a text of @text_bytes */
uint32_t pfx_tokens_in (size_t text_bytes);
/** pfx_lookup() - tokens of the longest cached prefix of @text, which becomes the newest */
uint32_t pfx_lookup (pfx_t *pfx, const char *text, size_t text_bytes);
/** pfx_store() - cache the whole blocks of @text */
void pfx_store (pfx_t *pfx, const char *text, size_t text_bytes);
/** pfx_cached_tokens() - tokens held now */
uint32_t pfx_cached_tokens (const pfx_t *pfx);

#endif
