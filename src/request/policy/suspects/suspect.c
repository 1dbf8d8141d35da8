#include "request/policy/suspects/suspect.h"

#include <glib.h>
#include <string.h>

typedef struct
{
  uint64_t fingerprint;
  uint64_t engines[LIMIT_SUSPECT_CRASHES];
  uint64_t crashed_us; /* time of the last crash */
  GList link;          /* in suspects.by_crash_time */
} entry_t;

struct suspects
{
  GHashTable *entries;  /* fingerprint -> entry_t */
  GQueue by_crash_time; /* newest first */
  uint32_t limit;
  uint64_t lifetime_us;
};

static bool
is_expired (const suspects_t *suspects, uint64_t now_us, const entry_t *entry)
{
  return now_us > entry->crashed_us + suspects->lifetime_us;
}

static void
remove_entry (suspects_t *suspects, entry_t *entry)
{
  g_queue_unlink (&suspects->by_crash_time, &entry->link);
  g_hash_table_remove (suspects->entries, &entry->fingerprint);
}

static void
remove_expired (suspects_t *suspects, uint64_t now_us)
{
  for (;;)
    {
      entry_t *oldest = g_queue_peek_tail (&suspects->by_crash_time);
      if (oldest == NULL || !is_expired (suspects, now_us, oldest))
        return;
      remove_entry (suspects, oldest);
    }
}

static entry_t *
find (const suspects_t *suspects, uint64_t now_us, uint64_t fingerprint)
{
  entry_t *entry = g_hash_table_lookup (suspects->entries, &fingerprint);
  return entry != NULL && !is_expired (suspects, now_us, entry) ? entry : NULL;
}

/* Marks of peers may come late, so the place in the order is searched for, from the newest on. */
static void
link_by_time (suspects_t *suspects, entry_t *entry)
{
  GList *at = suspects->by_crash_time.head;
  while (at != NULL && ((entry_t *)at->data)->crashed_us > entry->crashed_us)
    at = at->next;
  g_queue_insert_before_link (&suspects->by_crash_time, at, &entry->link);
}

static entry_t *
add_entry (suspects_t *suspects, uint64_t fingerprint, uint64_t crashed_us)
{
  while (g_hash_table_size (suspects->entries) >= suspects->limit)
    remove_entry (suspects, g_queue_peek_tail (&suspects->by_crash_time));
  entry_t *entry = g_new0 (entry_t, 1);
  entry->fingerprint = fingerprint;
  entry->crashed_us = crashed_us;
  entry->link.data = entry;
  g_hash_table_insert (suspects->entries, &entry->fingerprint, entry);
  link_by_time (suspects, entry);
  return entry;
}

static bool
has_engine (const uint64_t *engines, uint64_t engine_hash)
{
  for (uint32_t i = 0; i < LIMIT_SUSPECT_CRASHES; i++)
    if (engines[i] == engine_hash)
      return true;
  return false;
}

static bool
add_engine (entry_t *entry, uint64_t engine_hash)
{
  if (engine_hash == 0 || has_engine (entry->engines, engine_hash))
    return false;
  for (uint32_t i = 0; i < LIMIT_SUSPECT_CRASHES; i++)
    if (entry->engines[i] == 0)
      {
        entry->engines[i] = engine_hash;
        return true;
      }
  return false;
}

static bool
update_crash_time (suspects_t *suspects, entry_t *entry, uint64_t crashed_us)
{
  if (crashed_us <= entry->crashed_us)
    return false;
  entry->crashed_us = crashed_us;
  g_queue_unlink (&suspects->by_crash_time, &entry->link);
  link_by_time (suspects, entry);
  return true;
}

static bool
is_final (const entry_t *entry)
{
  return !has_engine (entry->engines, 0);
}

static suspect_mark_t
make_mark (const entry_t *entry, uint64_t now_us)
{
  const uint64_t age_us = now_us > entry->crashed_us ? now_us - entry->crashed_us : 0;
  suspect_mark_t mark = { .fingerprint = entry->fingerprint, .age_ms = (uint32_t)(age_us / 1000) };
  memcpy (mark.engines, entry->engines, sizeof mark.engines);
  return mark;
}

suspects_t *
suspect_new (uint32_t limit, uint64_t lifetime_us)
{
  g_assert (limit > 0);
  suspects_t *suspects = g_new0 (suspects_t, 1);
  suspects->entries = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  g_queue_init (&suspects->by_crash_time);
  suspects->limit = limit;
  suspects->lifetime_us = lifetime_us;
  return suspects;
}

void
suspect_free (suspects_t *suspects)
{
  if (suspects == NULL)
    return;
  g_hash_table_destroy (suspects->entries);
  g_free (suspects);
}

suspect_verdict_t
suspect_check (suspects_t *suspects, uint64_t now_us, uint64_t fingerprint, uint64_t engine_hash)
{
  const entry_t *entry = find (suspects, now_us, fingerprint);
  if (entry == NULL)
    return SUSPECT_ALLOWED;
  if (is_final (entry))
    return SUSPECT_REFUSED;
  return has_engine (entry->engines, engine_hash) ? SUSPECT_OTHER_ENGINE : SUSPECT_ALLOWED;
}

bool
suspect_add_crash (suspects_t *suspects,
                   uint64_t now_us,
                   uint64_t fingerprint,
                   uint64_t engine_hash)
{
  remove_expired (suspects, now_us);
  entry_t *entry = find (suspects, now_us, fingerprint);
  if (entry == NULL)
    entry = add_entry (suspects, fingerprint, now_us);
  update_crash_time (suspects, entry, now_us);
  return add_engine (entry, engine_hash);
}

bool
suspect_merge_mark (suspects_t *suspects, uint64_t now_us, const suspect_mark_t *mark)
{
  const uint64_t age_us = (uint64_t)mark->age_ms * 1000;
  if (age_us > suspects->lifetime_us)
    return false;
  remove_expired (suspects, now_us);
  const uint64_t created_us = now_us > age_us ? now_us - age_us : 0;
  entry_t *entry = find (suspects, now_us, mark->fingerprint);
  if (suspect_mark_is_cleared (mark))
    {
      if (entry == NULL || created_us < entry->crashed_us)
        return false;
      remove_entry (suspects, entry);
      return true;
    }
  if (entry == NULL)
    entry = add_entry (suspects, mark->fingerprint, created_us);
  bool changed = false;
  for (uint32_t i = 0; i < LIMIT_SUSPECT_CRASHES; i++)
    changed |= add_engine (entry, mark->engines[i]);
  /* A later time alone is not taken over: ages are rounded when marks are sent, so two daemons that
   * send each other the same mark would renew it without end. */
  if (changed)
    update_crash_time (suspects, entry, created_us);
  return changed;
}

bool
suspect_get_mark (const suspects_t *suspects,
                  uint64_t now_us,
                  uint64_t fingerprint,
                  suspect_mark_t *out)
{
  const entry_t *entry = find (suspects, now_us, fingerprint);
  if (entry == NULL)
    return false;
  *out = make_mark (entry, now_us);
  return true;
}

uint32_t
suspect_recent_marks (const suspects_t *suspects,
                      uint64_t now_us,
                      suspect_mark_t *out,
                      uint32_t want)
{
  uint32_t found = 0;
  for (const GList *at = suspects->by_crash_time.head; at != NULL && found < want; at = at->next)
    {
      const entry_t *entry = at->data;
      if (is_expired (suspects, now_us, entry))
        break;
      out[found++] = make_mark (entry, now_us);
    }
  return found;
}

bool
suspect_mark_is_cleared (const suspect_mark_t *mark)
{
  for (uint32_t i = 0; i < LIMIT_SUSPECT_CRASHES; i++)
    if (mark->engines[i] != 0)
      return false;
  return true;
}

uint32_t
suspect_count (const suspects_t *suspects)
{
  return g_hash_table_size (suspects->entries);
}
