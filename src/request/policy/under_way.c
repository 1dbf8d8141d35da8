#include "request/policy/under_way.h"

#include <glib.h>

typedef struct
{
  uint64_t engine_hash;
  uint32_t count;
} entry_t;

struct uwy
{
  GHashTable *entries; /* engine hash -> entry_t; only engines with a count above 0 */
};

uwy_t *
uwy_new (void)
{
  uwy_t *uwy = g_new0 (uwy_t, 1);

  uwy->entries = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return uwy;
}

void
uwy_free (uwy_t *uwy)
{
  if (uwy == NULL)
    return;
  g_hash_table_destroy (uwy->entries);
  g_free (uwy);
}

void
uwy_begin (uwy_t *uwy, uint64_t engine_hash)
{
  entry_t *entry = g_hash_table_lookup (uwy->entries, &engine_hash);

  if (entry == NULL)
    {
      entry = g_new0 (entry_t, 1);
      entry->engine_hash = engine_hash;
      g_hash_table_insert (uwy->entries, &entry->engine_hash, entry);
    }
  entry->count++;
}

void
uwy_end (uwy_t *uwy, uint64_t engine_hash)
{
  entry_t *entry = g_hash_table_lookup (uwy->entries, &engine_hash);

  g_assert (entry != NULL);
  if (--entry->count == 0)
    g_hash_table_remove (uwy->entries, &engine_hash);
}

uint32_t
uwy_count (const uwy_t *uwy, uint64_t engine_hash)
{
  const entry_t *entry = g_hash_table_lookup (uwy->entries, &engine_hash);

  return entry != NULL ? entry->count : 0;
}
