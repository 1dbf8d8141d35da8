#include "prefix_cache.h"

#include <glib.h>
#include <xxhash.h>

typedef struct
{
  uint64_t hash;
  GList link; /* in prefix_cache_t.lru; data points to this struct */
} block_t;

struct prefix_cache
{
  uint32_t max_blocks;
  prefix_cache_changed_t on_change;
  void *context;
  GHashTable *blocks_by_hash; /* &block->hash -> block; owns the blocks */
  GQueue lru;                 /* most recently used first */
};

static uint64_t
hash_block (uint64_t parent, const char *text)
{
  return XXH64 (text, PREFIX_CACHE_BLOCK_BYTES, parent);
}

static uint64_t *
compute_block_hashes (const char *text, size_t text_bytes, size_t *count)
{
  *count = text_bytes / PREFIX_CACHE_BLOCK_BYTES;
  uint64_t *hashes = g_new (uint64_t, *count + 1);
  uint64_t parent = 0;
  for (size_t i = 0; i < *count; i++)
    {
      parent = hash_block (parent, text + i * PREFIX_CACHE_BLOCK_BYTES);
      hashes[i] = parent;
    }
  return hashes;
}

static void
move_to_front (prefix_cache_t *cache, block_t *block)
{
  g_queue_unlink (&cache->lru, &block->link);
  g_queue_push_head_link (&cache->lru, &block->link);
}

/* Touches the last block first, so that a block is always more recently used than those that follow
 * it. A text then loses its last blocks first, and the remaining prefix can still be found. */
static void
touch_blocks (prefix_cache_t *cache, const uint64_t *hashes, size_t count)
{
  for (size_t i = count; i > 0; i--)
    {
      block_t *block = g_hash_table_lookup (cache->blocks_by_hash, &hashes[i - 1]);
      if (block != NULL)
        move_to_front (cache, block);
    }
}

static void
evict_oldest (prefix_cache_t *cache)
{
  block_t *block = g_queue_peek_tail (&cache->lru);
  uint64_t hash = block->hash;
  g_queue_unlink (&cache->lru, &block->link);
  g_hash_table_remove (cache->blocks_by_hash, &hash);
  if (cache->on_change != NULL)
    cache->on_change (hash, false, cache->context);
}

static void
store_block (prefix_cache_t *cache, uint64_t hash)
{
  if (g_hash_table_contains (cache->blocks_by_hash, &hash))
    return;
  while (g_queue_get_length (&cache->lru) >= cache->max_blocks)
    evict_oldest (cache);
  block_t *block = g_new0 (block_t, 1);
  block->hash = hash;
  block->link.data = block;
  g_queue_push_head_link (&cache->lru, &block->link);
  g_hash_table_insert (cache->blocks_by_hash, &block->hash, block);
  if (cache->on_change != NULL)
    cache->on_change (hash, true, cache->context);
}

prefix_cache_t *
prefix_cache_new (uint32_t limit_tokens, prefix_cache_changed_t on_change, void *context)
{
  prefix_cache_t *cache = g_new0 (prefix_cache_t, 1);
  cache->max_blocks = limit_tokens / PREFIX_CACHE_BLOCK_TOKENS;
  cache->on_change = on_change;
  cache->context = context;
  cache->blocks_by_hash = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  g_queue_init (&cache->lru);
  return cache;
}

void
prefix_cache_free (prefix_cache_t *cache)
{
  if (cache == NULL)
    return;
  g_hash_table_destroy (cache->blocks_by_hash);
  g_free (cache);
}

uint32_t
prefix_cache_count_tokens (size_t text_bytes)
{
  return (uint32_t)((text_bytes + PREFIX_CACHE_TOKEN_BYTES - 1) / PREFIX_CACHE_TOKEN_BYTES);
}

uint32_t
prefix_cache_lookup (prefix_cache_t *cache, const char *text, size_t text_bytes)
{
  size_t count;
  g_autofree uint64_t *hashes = compute_block_hashes (text, text_bytes, &count);
  size_t found = 0;
  while (found < count && g_hash_table_contains (cache->blocks_by_hash, &hashes[found]))
    found++;
  touch_blocks (cache, hashes, found);
  return (uint32_t)found * PREFIX_CACHE_BLOCK_TOKENS;
}

void
prefix_cache_store (prefix_cache_t *cache, const char *text, size_t text_bytes)
{
  size_t count;
  g_autofree uint64_t *hashes = compute_block_hashes (text, text_bytes, &count);
  count = MIN (count, cache->max_blocks);
  touch_blocks (cache, hashes, count);
  for (size_t i = 0; i < count; i++)
    store_block (cache, hashes[i]);
  touch_blocks (cache, hashes, count);
}

uint32_t
prefix_cache_cached_tokens (const prefix_cache_t *cache)
{
  return cache->lru.length * PREFIX_CACHE_BLOCK_TOKENS;
}
