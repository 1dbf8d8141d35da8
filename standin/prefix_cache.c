#include "prefix_cache.h"

#include <glib.h>
#include <xxhash.h>

typedef struct
{
  uint64_t hash;
  GList link; /* in pfx.by_use; data points back here */
} pfx_block_t;

struct pfx
{
  uint32_t limit_blocks;
  pfx_changed_t changed;
  void *context;
  GHashTable *by_hash; /* &block->hash -> block, owned */
  GQueue by_use;       /* newest first */
};

static uint64_t
block_hash (uint64_t parent, const char *text)
{
  return XXH64 (text, PFX_BLOCK_BYTES, parent);
}

static uint64_t *
chain_of (const char *text, size_t text_bytes, size_t *count)
{
  *count = text_bytes / PFX_BLOCK_BYTES;
  uint64_t *chain = g_new (uint64_t, *count + 1);
  uint64_t parent = 0;
  for (size_t i = 0; i < *count; i++)
    {
      parent = block_hash (parent, text + i * PFX_BLOCK_BYTES);
      chain[i] = parent;
    }
  return chain;
}

static void
make_newest (pfx_t *pfx, pfx_block_t *block)
{
  g_queue_unlink (&pfx->by_use, &block->link);
  g_queue_push_head_link (&pfx->by_use, &block->link);
}

/* From the tail to the root, so that a parent is always newer than its children: a chain loses its
 * end first and what is left of it can still be found. */
static void
touch_chain (pfx_t *pfx, const uint64_t *chain, size_t count)
{
  for (size_t i = count; i > 0; i--)
    {
      pfx_block_t *block = g_hash_table_lookup (pfx->by_hash, &chain[i - 1]);
      if (block != NULL)
        make_newest (pfx, block);
    }
}

static void
evict_oldest (pfx_t *pfx)
{
  pfx_block_t *block = g_queue_peek_tail (&pfx->by_use);
  uint64_t hash = block->hash;
  g_queue_unlink (&pfx->by_use, &block->link);
  g_hash_table_remove (pfx->by_hash, &hash);
  if (pfx->changed != NULL)
    pfx->changed (hash, false, pfx->context);
}

static void
store_block (pfx_t *pfx, uint64_t hash)
{
  if (g_hash_table_contains (pfx->by_hash, &hash))
    return;
  while (g_queue_get_length (&pfx->by_use) >= pfx->limit_blocks)
    evict_oldest (pfx);
  pfx_block_t *block = g_new0 (pfx_block_t, 1);
  block->hash = hash;
  block->link.data = block;
  g_queue_push_head_link (&pfx->by_use, &block->link);
  g_hash_table_insert (pfx->by_hash, &block->hash, block);
  if (pfx->changed != NULL)
    pfx->changed (hash, true, pfx->context);
}

pfx_t *
pfx_new (uint32_t limit_tokens, pfx_changed_t changed, void *context)
{
  pfx_t *pfx = g_new0 (pfx_t, 1);
  pfx->limit_blocks = limit_tokens / PFX_BLOCK_TOKENS;
  pfx->changed = changed;
  pfx->context = context;
  pfx->by_hash = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  g_queue_init (&pfx->by_use);
  return pfx;
}

void
pfx_free (pfx_t *pfx)
{
  if (pfx == NULL)
    return;
  g_hash_table_destroy (pfx->by_hash);
  g_free (pfx);
}

uint32_t
pfx_tokens_in (size_t text_bytes)
{
  return (uint32_t)((text_bytes + PFX_TOKEN_BYTES - 1) / PFX_TOKEN_BYTES);
}

uint32_t
pfx_lookup (pfx_t *pfx, const char *text, size_t text_bytes)
{
  size_t count;
  g_autofree uint64_t *chain = chain_of (text, text_bytes, &count);
  size_t found = 0;
  while (found < count && g_hash_table_contains (pfx->by_hash, &chain[found]))
    found++;
  touch_chain (pfx, chain, found);
  return (uint32_t)found * PFX_BLOCK_TOKENS;
}

void
pfx_store (pfx_t *pfx, const char *text, size_t text_bytes)
{
  size_t count;
  g_autofree uint64_t *chain = chain_of (text, text_bytes, &count);
  count = MIN (count, pfx->limit_blocks);
  touch_chain (pfx, chain, count);
  for (size_t i = 0; i < count; i++)
    store_block (pfx, chain[i]);
  touch_chain (pfx, chain, count);
}

uint32_t
pfx_cached_tokens (const pfx_t *pfx)
{
  return pfx->by_use.length * PFX_BLOCK_TOKENS;
}
