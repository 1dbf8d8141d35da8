#include "version/keyed_view.h"

#include <glib.h>
#include <string.h>

/**
 * struct entry - the newest record of a key
 * @value: NULL when the key was deleted; the entry stays as a tombstone, so that an older record
 *   that arrives late does not restore the key
 * @list_number: number of the listing during which the key was last seen
 * @unconfirmed: the listing in progress has the key, but the last one did not; holds if the one in
 *   progress is newer
 */
typedef struct
{
  uint64_t offset;
  char *value;
  size_t value_bytes;
  uint64_t list_number;
  bool unconfirmed;
} entry_t;

struct view
{
  keyed_view_visit_t changed;
  void *context;
  GHashTable *entries; /* key -> entry_t */
  bool listing;
  uint64_t list_number;
  uint64_t listed_offset;
  uint64_t revision;
};

static void
entry_free (gpointer data)
{
  entry_t *entry = data;

  g_free (entry->value);
  g_free (entry);
}

keyed_view_t *
keyed_view_new (keyed_view_visit_t changed, void *context)
{
  keyed_view_t *view = g_new0 (keyed_view_t, 1);

  view->changed = changed;
  view->context = context;
  view->entries = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, entry_free);
  return view;
}

void
keyed_view_free (keyed_view_t *view)
{
  g_hash_table_destroy (view->entries);
  g_free (view);
}

static char *
copy_value (const char *value, size_t value_bytes)
{
  char *copy = g_malloc (value_bytes + 1);

  memcpy (copy, value, value_bytes);
  copy[value_bytes] = '\0';
  return copy;
}

static void
entry_set (entry_t *entry, uint64_t offset, const char *value, size_t value_bytes)
{
  g_free (entry->value);
  entry->offset = offset;
  entry->value = value ? copy_value (value, value_bytes) : NULL;
  entry->value_bytes = value ? value_bytes : 0;
}

bool
keyed_view_apply (
    keyed_view_t *view, uint64_t offset, const char *key, const char *value, size_t value_bytes)
{
  entry_t *entry = g_hash_table_lookup (view->entries, key);
  bool exists = entry != NULL;

  /* The last listing had no such key, so the record was deleted before that listing. */
  if (!exists && offset < view->listed_offset && !view->listing)
    return false;
  if (!exists)
    {
      entry = g_new0 (entry_t, 1);
      entry->unconfirmed = offset < view->listed_offset;
      g_hash_table_insert (view->entries, g_strdup (key), entry);
    }
  entry->list_number = view->list_number;
  if (exists && entry->offset >= offset)
    return false;
  entry_set (entry, offset, value, value_bytes);
  if (entry->unconfirmed && offset < view->listed_offset)
    return false;
  entry->unconfirmed = false;
  view->revision++;
  view->changed (key, entry->value, entry->value_bytes, offset, view->context);
  return true;
}

void
keyed_view_list_begin (keyed_view_t *view)
{
  view->list_number++;
  view->listing = true;
}

static gboolean
remove_unconfirmed (gpointer key, gpointer value, gpointer context)
{
  (void)key;
  (void)context;
  return ((const entry_t *)value)->unconfirmed;
}

static void
confirm (keyed_view_t *view, const char *key, entry_t *entry)
{
  entry->unconfirmed = false;
  if (entry->value)
    view->changed (key, entry->value, entry->value_bytes, entry->offset, view->context);
}

/* Also discards the tombstones from before the listing: keyed_view_apply() rejects the older
 * records of keys that it does not know. */
void
keyed_view_list_end (keyed_view_t *view, uint64_t end_offset)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  view->listing = false;
  if (end_offset <= view->listed_offset)
    {
      g_hash_table_foreach_remove (view->entries, remove_unconfirmed, NULL);
      return;
    }
  view->listed_offset = end_offset;
  view->revision++;
  g_hash_table_iter_init (&iter, view->entries);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      entry_t *entry = value;

      if (entry->unconfirmed)
        confirm (view, key, entry);
      if (entry->list_number == view->list_number || entry->offset >= end_offset)
        continue;
      if (entry->value)
        view->changed (key, NULL, 0, end_offset, view->context);
      g_hash_table_iter_remove (&iter);
    }
}

const char *
keyed_view_get (const keyed_view_t *view, const char *key, size_t *value_bytes, uint64_t *offset)
{
  const entry_t *entry = g_hash_table_lookup (view->entries, key);

  if (!entry || !entry->value)
    return NULL;
  *value_bytes = entry->value_bytes;
  *offset = entry->offset;
  return entry->value;
}

uint64_t
keyed_view_listed_offset (const keyed_view_t *view)
{
  return view->listed_offset;
}

uint64_t
keyed_view_revision (const keyed_view_t *view)
{
  return view->revision;
}

void
keyed_view_visit_since (const keyed_view_t *view,
                        uint64_t from_offset,
                        keyed_view_visit_t visit,
                        void *context)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, view->entries);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const entry_t *entry = value;

      if (entry->offset >= from_offset)
        visit (key, entry->value, entry->value_bytes, entry->offset, context);
    }
}

static void
add_bytes (const char *key, const char *value, size_t value_bytes, uint64_t offset, void *context)
{
  size_t *bytes = context;

  (void)key;
  (void)value;
  (void)offset;
  *bytes += value_bytes;
}

size_t
keyed_view_bytes_since (const keyed_view_t *view, uint64_t from_offset)
{
  size_t bytes = 0;

  keyed_view_visit_since (view, from_offset, add_bytes, &bytes);
  return bytes;
}
