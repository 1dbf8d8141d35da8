#include "cache_model.h"

#include <glib.h>

typedef struct
{
  uint64_t chat_hash;
  uint32_t tokens;
  GList link;
} cache_model_entry_t;

struct cache_model
{
  GHashTable *entries;
  GQueue newest_first; /* of cache_model_entry_t, by last use */
  uint64_t tokens;     /* sum over all entries */
  uint64_t token_limit;
};

static cache_model_entry_t *
find_entry (cache_model_t *cache, uint64_t chat_hash)
{
  return g_hash_table_lookup (cache->entries, &chat_hash);
}

static void
evict_to_limit (cache_model_t *cache)
{
  while (cache->tokens > cache->token_limit && cache->newest_first.length > 0)
    {
      cache_model_entry_t *oldest = g_queue_peek_tail (&cache->newest_first);
      cache->tokens -= oldest->tokens;
      g_queue_unlink (&cache->newest_first, &oldest->link);
      g_hash_table_remove (cache->entries, &oldest->chat_hash);
    }
}

cache_model_t *
cache_model_new (uint64_t token_limit)
{
  cache_model_t *cache = g_new0 (cache_model_t, 1);
  cache->entries = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  g_queue_init (&cache->newest_first);
  cache->token_limit = token_limit;
  return cache;
}

void
cache_model_free (cache_model_t *cache)
{
  if (cache == NULL)
    return;
  g_hash_table_destroy (cache->entries);
  g_free (cache);
}

uint32_t
cache_model_use (cache_model_t *cache, uint64_t chat_hash)
{
  cache_model_entry_t *entry = find_entry (cache, chat_hash);
  if (entry == NULL)
    return 0;
  g_queue_unlink (&cache->newest_first, &entry->link);
  g_queue_push_head_link (&cache->newest_first, &entry->link);
  return entry->tokens;
}

uint32_t
cache_model_peek (cache_model_t *cache, uint64_t chat_hash)
{
  const cache_model_entry_t *entry = find_entry (cache, chat_hash);
  return entry != NULL ? entry->tokens : 0;
}

void
cache_model_put (cache_model_t *cache, uint64_t chat_hash, uint32_t tokens)
{
  cache_model_entry_t *entry = find_entry (cache, chat_hash);
  if (entry == NULL)
    {
      entry = g_new0 (cache_model_entry_t, 1);
      entry->chat_hash = chat_hash;
      entry->link.data = entry;
      g_hash_table_insert (cache->entries, &entry->chat_hash, entry);
    }
  else
    g_queue_unlink (&cache->newest_first, &entry->link);
  g_queue_push_head_link (&cache->newest_first, &entry->link);
  cache->tokens += tokens;
  cache->tokens -= entry->tokens;
  entry->tokens = tokens;
  evict_to_limit (cache);
}
