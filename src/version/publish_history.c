#include "version/publish_history.h"

#include <glib.h>

/*
 * @entries: ring buffer of @limit entries
 * @next: index of the entry that is written next
 * @by_id: entry->id -> entry, into @entries
 */
struct history
{
  publish_history_entry_t *entries;
  uint32_t limit;
  uint32_t next;
  GHashTable *by_id;
};

publish_history_t *
publish_history_new (uint32_t limit)
{
  publish_history_t *history = g_new0 (publish_history_t, 1);

  g_assert (limit > 0);
  history->entries = g_new0 (publish_history_entry_t, limit);
  history->limit = limit;
  history->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  return history;
}

void
publish_history_free (publish_history_t *history)
{
  if (history == NULL)
    return;
  g_hash_table_unref (history->by_id);
  g_free (history->entries);
  g_free (history);
}

void
publish_history_add (publish_history_t *history, const char *id, bool accepted, uint64_t version)
{
  publish_history_entry_t *entry = &history->entries[history->next];

  if (publish_history_find (history, id) != NULL)
    return;
  if (entry->id[0] != '\0')
    g_hash_table_remove (history->by_id, entry->id);
  g_strlcpy (entry->id, id, sizeof entry->id);
  entry->accepted = accepted;
  entry->version = version;
  g_hash_table_insert (history->by_id, entry->id, entry);
  history->next = (history->next + 1) % history->limit;
}

const publish_history_entry_t *
publish_history_find (const publish_history_t *history, const char *id)
{
  return g_hash_table_lookup (history->by_id, id);
}
