#include "version/keyed_view.h"

#include <glib.h>
#include <string.h>

/**
 * struct record - a record of a key
 * @value: of a deleted key, the last value before, NULL when it is unknown
 */
typedef struct
{
  position_t position;
  char *value;
  size_t value_bytes;
  bool deleted;
} record_t;

/**
 * struct entry - what is known of a key
 * @known: the record that holds; a tombstone when the key was deleted, so that an older record that
 *   arrives late does not restore the key
 * @held: the newest record that is held back; NULL for none
 * @held_until_applied: keyed_view_apply_held() applies @held
 * @held_age: age of the view when a record was first held back
 * @list_number: number of the listing during which the key was last seen
 * @unconfirmed: the listing in progress has the key, but the last one did not; holds if the one in
 *   progress is newer
 */
typedef struct
{
  record_t known;
  record_t *held;
  bool held_until_applied;
  uint64_t held_age;
  uint64_t list_number;
  bool unconfirmed;
} entry_t;

struct view
{
  keyed_view_visit_t changed;
  void *context;
  keyed_view_compare_t compare;
  void *compare_context;
  GHashTable *entries; /* key -> entry_t */
  bool listing;
  uint64_t list_number;
  position_t listed;
  uint64_t revision;
  uint64_t age;
};

static void
record_free (record_t *record)
{
  g_free (record->value);
  g_free (record);
}

static void
entry_free (gpointer data)
{
  entry_t *entry = data;

  g_clear_pointer (&entry->held, record_free);
  g_free (entry->known.value);
  g_free (entry);
}

keyed_view_t *
keyed_view_new (keyed_view_visit_t changed,
                void *changed_context,
                keyed_view_compare_t compare,
                void *compare_context)
{
  keyed_view_t *view = g_new0 (keyed_view_t, 1);

  view->changed = changed;
  view->context = changed_context;
  view->compare = compare;
  view->compare_context = compare_context;
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

/* A deleted key keeps its last value: a later era may bring that one back. */
static void
record_set (record_t *record, position_t position, const char *value, size_t value_bytes)
{
  record->position = position;
  record->deleted = value == NULL;
  if (!value)
    return;
  g_free (record->value);
  record->value = copy_value (value, value_bytes);
  record->value_bytes = value_bytes;
}

static void
visit_record (const char *key, const record_t *record, keyed_view_visit_t visit, void *context)
{
  visit (key, record->deleted ? NULL : record->value, record->deleted ? 0 : record->value_bytes,
         record->position, context);
}

static bool
has_value (const record_t *record, const char *value, size_t value_bytes)
{
  return !record->deleted && value && record->value_bytes == value_bytes &&
         memcmp (record->value, value, value_bytes) == 0;
}

static keyed_view_order_t
compare_values (const keyed_view_t *view,
                const char *key,
                const record_t *known,
                const char *value,
                size_t value_bytes)
{
  if (!view->compare || !known->value)
    return KEYED_VIEW_UNORDERED;
  return view->compare (key, known->value, known->value_bytes, value, value_bytes,
                        view->compare_context);
}

/** enum decision - what happens to a record that is later than the known one */
typedef enum
{
  TAKE,
  HOLD,              /* until a newer record comes */
  HOLD_UNTIL_APPLIED /* likewise, or until keyed_view_apply_held() */
} decision_t;

/*
 * A copy has the first records of the stream, each at the offset that it had. So one that is not
 * before the known record was written after it, and so was one after the first listing of the era.
 */
static bool
was_written_later (const keyed_view_t *view, position_t known, position_t position)
{
  return position.offset >= known.offset ||
         (position.era == view->listed.era && !position_is_before (position, view->listed));
}

/*
 * A record of a new era may be from the copy, and so older than the known one. A record that
 * deletes its key never comes from a listing, and reads begin at the end of one.
 */
static decision_t
decide (const keyed_view_t *view,
        const char *key,
        const entry_t *entry,
        position_t position,
        const char *value,
        size_t value_bytes)
{
  const record_t *known = &entry->known;
  keyed_view_order_t order;

  if (!value || has_value (known, value, value_bytes))
    return TAKE;
  order = compare_values (view, key, known, value, value_bytes);
  if (order == KEYED_VIEW_NEWER || (order == KEYED_VIEW_SAME_AGE && !known->deleted))
    return TAKE;
  if (order == KEYED_VIEW_OLDER && !known->deleted)
    return HOLD;
  if (order == KEYED_VIEW_UNORDERED && was_written_later (view, known->position, position))
    return TAKE;
  return HOLD_UNTIL_APPLIED;
}

/* A write that the stream does late brings a deleted key back for as long as the stream keeps the
 * record. */
static decision_t
decide_in_era (const keyed_view_t *view,
               const char *key,
               const entry_t *entry,
               const char *value,
               size_t value_bytes)
{
  if (!value || !entry->known.deleted)
    return TAKE;
  return compare_values (view, key, &entry->known, value, value_bytes) == KEYED_VIEW_PERHAPS_OLDER
             ? HOLD_UNTIL_APPLIED
             : TAKE;
}

static void
hold (keyed_view_t *view,
      entry_t *entry,
      decision_t decision,
      position_t position,
      const char *value,
      size_t value_bytes)
{
  if (!entry->held)
    {
      entry->held = g_new0 (record_t, 1);
      entry->held_age = view->age;
    }
  record_set (entry->held, position, value, value_bytes);
  entry->held_until_applied = decision == HOLD_UNTIL_APPLIED;
  view->revision++;
}

static void
take (keyed_view_t *view, const char *key, entry_t *entry, const record_t *record)
{
  record_set (&entry->known, record->position, record->deleted ? NULL : record->value,
              record->value_bytes);
  view->revision++;
  visit_record (key, &entry->known, view->changed, view->context);
}

static entry_t *
add_entry (keyed_view_t *view, const char *key, position_t position)
{
  entry_t *entry = g_new0 (entry_t, 1);

  entry->unconfirmed = position_is_before (position, view->listed);
  g_hash_table_insert (view->entries, g_strdup (key), entry);
  return entry;
}

bool
keyed_view_apply (
    keyed_view_t *view, position_t position, const char *key, const char *value, size_t value_bytes)
{
  entry_t *entry = g_hash_table_lookup (view->entries, key);
  bool exists = entry != NULL;
  decision_t decision = TAKE;

  /* The last listing had no such key, so the record was deleted before that listing. */
  if (!exists && position_is_before (position, view->listed) && !view->listing)
    return false;
  if (!exists)
    entry = add_entry (view, key, position);
  entry->list_number = view->list_number;
  if (exists && !position_is_before (entry->known.position, position))
    return false;
  if (entry->held && !position_is_before (entry->held->position, position))
    return false;
  if (exists && !entry->unconfirmed)
    decision = entry->known.position.era < position.era
                   ? decide (view, key, entry, position, value, value_bytes)
                   : decide_in_era (view, key, entry, value, value_bytes);
  if (decision != TAKE)
    {
      hold (view, entry, decision, position, value, value_bytes);
      return false;
    }
  if (entry->unconfirmed && position_is_before (position, view->listed))
    {
      record_set (&entry->known, position, value, value_bytes);
      return false;
    }
  entry->unconfirmed = false;
  g_clear_pointer (&entry->held, record_free);
  take (view, key, entry,
        &(record_t){ position, (char *)value, value ? value_bytes : 0, value == NULL });
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
  if (!entry->known.deleted)
    visit_record (key, &entry->known, view->changed, view->context);
}

/* The key was deleted before @end. Its last value shows which record of it is older. */
static void
set_deleted_before (keyed_view_t *view, const char *key, entry_t *entry, position_t end)
{
  record_set (&entry->known, (position_t){ end.era, end.offset - 1 }, NULL, 0);
  view->changed (key, NULL, 0, end, view->context);
}

/* Return: whether to forget the key, of which the listing up to @end had no record */
static bool
is_unlisted (keyed_view_t *view, const char *key, entry_t *entry, position_t end)
{
  if (entry->held && position_is_before (entry->held->position, end))
    g_clear_pointer (&entry->held, record_free);
  if (entry->held || !position_is_before (entry->known.position, end))
    return false;
  if (entry->known.deleted)
    return true;
  if (entry->known.position.era == end.era)
    set_deleted_before (view, key, entry, end);
  return false;
}

/* Also discards the tombstones from before the last listing: keyed_view_apply() rejects the older
 * records of keys that it does not know. */
void
keyed_view_list_end (keyed_view_t *view, position_t end)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  view->listing = false;
  if (!position_is_before (view->listed, end))
    {
      g_hash_table_foreach_remove (view->entries, remove_unconfirmed, NULL);
      return;
    }
  view->listed = end;
  view->revision++;
  g_hash_table_iter_init (&iter, view->entries);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      entry_t *entry = value;

      if (entry->unconfirmed)
        confirm (view, key, entry);
      if (entry->list_number != view->list_number && is_unlisted (view, key, entry, end))
        g_hash_table_iter_remove (&iter);
    }
}

static bool
is_missing (const keyed_view_t *view, const entry_t *entry)
{
  return !entry->held && entry->known.position.era < view->listed.era;
}

void
keyed_view_drop_missing (keyed_view_t *view)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, view->entries);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      entry_t *entry = value;

      if (!is_missing (view, entry))
        continue;
      view->revision++;
      if (!entry->known.deleted && view->listed.offset > 0)
        {
          set_deleted_before (view, key, entry, view->listed);
          continue;
        }
      if (!entry->known.deleted)
        view->changed (key, NULL, 0, view->listed, view->context);
      g_hash_table_iter_remove (&iter);
    }
}

void
keyed_view_age (keyed_view_t *view)
{
  view->age++;
}

void
keyed_view_apply_held (keyed_view_t *view, const char *prefix, uint32_t min_age)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, view->entries);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      entry_t *entry = value;

      if (!entry->held || !entry->held_until_applied || !g_str_has_prefix (key, prefix) ||
          view->age - entry->held_age < min_age)
        continue;
      take (view, key, entry, entry->held);
      g_clear_pointer (&entry->held, record_free);
    }
}

const char *
keyed_view_get (const keyed_view_t *view,
                const char *key,
                size_t *value_bytes,
                position_t *position)
{
  const entry_t *entry = g_hash_table_lookup (view->entries, key);

  if (!entry || entry->known.deleted)
    return NULL;
  *value_bytes = entry->known.value_bytes;
  *position = entry->known.position;
  return entry->known.value;
}

bool
keyed_view_has_in_era (const keyed_view_t *view,
                       const char *key,
                       const char *value,
                       size_t value_bytes)
{
  const entry_t *entry = g_hash_table_lookup (view->entries, key);
  const record_t *newest = entry && entry->held ? entry->held : entry ? &entry->known : NULL;

  return newest && newest->position.era == view->listed.era &&
         has_value (newest, value, value_bytes);
}

position_t
keyed_view_listed (const keyed_view_t *view)
{
  return view->listed;
}

uint64_t
keyed_view_revision (const keyed_view_t *view)
{
  return view->revision;
}

uint32_t
keyed_view_held_count (const keyed_view_t *view)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, view->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const entry_t *entry = value;

      count += entry->held || (is_missing (view, entry) && !entry->known.deleted) ? 1 : 0;
    }
  return count;
}

/* A reader of the deletion has no value to compare with. */
static bool
is_held_for_readers (const entry_t *entry)
{
  return entry->held && entry->held->position.era != entry->known.position.era;
}

void
keyed_view_visit_since (const keyed_view_t *view,
                        position_t from,
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

      if (!position_is_before (entry->known.position, from))
        visit_record (key, &entry->known, visit, context);
      if (is_held_for_readers (entry) && !position_is_before (entry->held->position, from))
        visit_record (key, entry->held, visit, context);
    }
}

static void
add_bytes (
    const char *key, const char *value, size_t value_bytes, position_t position, void *context)
{
  size_t *bytes = context;

  (void)key;
  (void)value;
  (void)position;
  *bytes += value_bytes;
}

size_t
keyed_view_bytes_since (const keyed_view_t *view, position_t from)
{
  size_t bytes = 0;

  keyed_view_visit_since (view, from, add_bytes, &bytes);
  return bytes;
}
