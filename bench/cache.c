#include "cache.h"

#include <glib.h>

typedef struct
{
  uint64_t chat_hash;
  uint32_t tokens;
  GList link;
} cch_entry_t;

struct cch
{
  GHashTable *entries;
  GQueue newest_first; /* of cch_entry_t, by last use */
  uint64_t tokens;     /* sum over all entries */
  uint64_t token_limit;
};

static cch_entry_t *
find_entry (cch_t *cache, uint64_t chat_hash)
{
  return g_hash_table_lookup (cache->entries, &chat_hash);
}

static void
evict_to_limit (cch_t *cache)
{
  while (cache->tokens > cache->token_limit && cache->newest_first.length > 0)
    {
      cch_entry_t *oldest = g_queue_peek_tail (&cache->newest_first);
      cache->tokens -= oldest->tokens;
      g_queue_unlink (&cache->newest_first, &oldest->link);
      g_hash_table_remove (cache->entries, &oldest->chat_hash);
    }
}

cch_t *
cch_new (uint64_t token_limit)
{
  cch_t *cache = g_new0 (cch_t, 1);
  cache->entries = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  g_queue_init (&cache->newest_first);
  cache->token_limit = token_limit;
  return cache;
}

void
cch_free (cch_t *cache)
{
  if (cache == NULL)
    return;
  g_hash_table_destroy (cache->entries);
  g_free (cache);
}

uint32_t
cch_get (cch_t *cache, uint64_t chat_hash)
{
  cch_entry_t *entry = find_entry (cache, chat_hash);
  if (entry == NULL)
    return 0;
  g_queue_unlink (&cache->newest_first, &entry->link);
  g_queue_push_head_link (&cache->newest_first, &entry->link);
  return entry->tokens;
}

uint32_t
cch_peek (cch_t *cache, uint64_t chat_hash)
{
  const cch_entry_t *entry = find_entry (cache, chat_hash);
  return entry != NULL ? entry->tokens : 0;
}

void
cch_put (cch_t *cache, uint64_t chat_hash, uint32_t tokens)
{
  cch_entry_t *entry = find_entry (cache, chat_hash);
  if (entry == NULL)
    {
      entry = g_new0 (cch_entry_t, 1);
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
