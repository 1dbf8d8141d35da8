#include "version/judged.h"

#include <glib.h>

/*
 * @entries: ring buffer of @limit entries
 * @next: index of the entry that is written next
 * @by_id: entry->id -> entry, into @entries
 */
struct jdg
{
  jdg_entry_t *entries;
  uint32_t limit;
  uint32_t next;
  GHashTable *by_id;
};

jdg_t *
jdg_new (uint32_t limit)
{
  jdg_t *jdg = g_new0 (jdg_t, 1);

  g_assert (limit > 0);
  jdg->entries = g_new0 (jdg_entry_t, limit);
  jdg->limit = limit;
  jdg->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  return jdg;
}

void
jdg_free (jdg_t *jdg)
{
  if (jdg == NULL)
    return;
  g_hash_table_unref (jdg->by_id);
  g_free (jdg->entries);
  g_free (jdg);
}

void
jdg_add (jdg_t *jdg, const char *id, bool accepted, uint64_t version)
{
  jdg_entry_t *entry = &jdg->entries[jdg->next];

  if (jdg_find (jdg, id) != NULL)
    return;
  if (entry->id[0] != '\0')
    g_hash_table_remove (jdg->by_id, entry->id);
  g_strlcpy (entry->id, id, sizeof entry->id);
  entry->accepted = accepted;
  entry->version = version;
  g_hash_table_insert (jdg->by_id, entry->id, entry);
  jdg->next = (jdg->next + 1) % jdg->limit;
}

const jdg_entry_t *
jdg_find (const jdg_t *jdg, const char *id)
{
  return g_hash_table_lookup (jdg->by_id, id);
}
