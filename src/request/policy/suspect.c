#include "request/policy/suspect.h"

#include <glib.h>
#include <string.h>

typedef struct
{
  uint64_t fingerprint;
  uint64_t engines[LIM_SUSPECT_CRASHES];
  uint64_t crashed_us; /* of the last crash */
  GList link;          /* in sus.newest_first */
} sus_entry_t;

struct sus
{
  GHashTable *entries; /* fingerprint -> sus_entry_t */
  GQueue newest_first;
  uint32_t limit;
  uint64_t lifetime_us;
};

static bool
expired (const sus_t *sus, uint64_t now_us, const sus_entry_t *entry)
{
  return now_us > entry->crashed_us + sus->lifetime_us;
}

static void
drop (sus_t *sus, sus_entry_t *entry)
{
  g_queue_unlink (&sus->newest_first, &entry->link);
  g_hash_table_remove (sus->entries, &entry->fingerprint);
}

static void
drop_expired (sus_t *sus, uint64_t now_us)
{
  for (;;)
    {
      sus_entry_t *oldest = g_queue_peek_tail (&sus->newest_first);
      if (oldest == NULL || !expired (sus, now_us, oldest))
        return;
      drop (sus, oldest);
    }
}

static sus_entry_t *
find (const sus_t *sus, uint64_t now_us, uint64_t fingerprint)
{
  sus_entry_t *entry = g_hash_table_lookup (sus->entries, &fingerprint);
  return entry != NULL && !expired (sus, now_us, entry) ? entry : NULL;
}

/* Kept in the order of the last crash: marks from peers come late, so the place is searched from
 * the newest on. */
static void
link_by_time (sus_t *sus, sus_entry_t *entry)
{
  GList *at = sus->newest_first.head;
  while (at != NULL && ((sus_entry_t *)at->data)->crashed_us > entry->crashed_us)
    at = at->next;
  g_queue_insert_before_link (&sus->newest_first, at, &entry->link);
}

static sus_entry_t *
make (sus_t *sus, uint64_t fingerprint, uint64_t crashed_us)
{
  while (g_hash_table_size (sus->entries) >= sus->limit)
    drop (sus, g_queue_peek_tail (&sus->newest_first));
  sus_entry_t *entry = g_new0 (sus_entry_t, 1);
  entry->fingerprint = fingerprint;
  entry->crashed_us = crashed_us;
  entry->link.data = entry;
  g_hash_table_insert (sus->entries, &entry->fingerprint, entry);
  link_by_time (sus, entry);
  return entry;
}

static bool
holds (const uint64_t *engines, uint64_t engine_hash)
{
  for (uint32_t i = 0; i < LIM_SUSPECT_CRASHES; i++)
    if (engines[i] == engine_hash)
      return true;
  return false;
}

static bool
add_engine (sus_entry_t *entry, uint64_t engine_hash)
{
  if (engine_hash == 0 || holds (entry->engines, engine_hash))
    return false;
  for (uint32_t i = 0; i < LIM_SUSPECT_CRASHES; i++)
    if (entry->engines[i] == 0)
      {
        entry->engines[i] = engine_hash;
        return true;
      }
  return false;
}

static bool
note_time (sus_t *sus, sus_entry_t *entry, uint64_t crashed_us)
{
  if (crashed_us <= entry->crashed_us)
    return false;
  entry->crashed_us = crashed_us;
  g_queue_unlink (&sus->newest_first, &entry->link);
  link_by_time (sus, entry);
  return true;
}

static bool
is_final (const sus_entry_t *entry)
{
  return !holds (entry->engines, 0);
}

static sus_mark_t
mark_of (const sus_entry_t *entry, uint64_t now_us)
{
  const uint64_t age_us = now_us > entry->crashed_us ? now_us - entry->crashed_us : 0;
  sus_mark_t mark = { .fingerprint = entry->fingerprint, .age_ms = (uint32_t)(age_us / 1000) };
  memcpy (mark.engines, entry->engines, sizeof mark.engines);
  return mark;
}

sus_t *
sus_new (uint32_t limit, uint64_t lifetime_us)
{
  g_assert (limit > 0);
  sus_t *sus = g_new0 (sus_t, 1);
  sus->entries = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  g_queue_init (&sus->newest_first);
  sus->limit = limit;
  sus->lifetime_us = lifetime_us;
  return sus;
}

void
sus_free (sus_t *sus)
{
  if (sus == NULL)
    return;
  g_hash_table_destroy (sus->entries);
  g_free (sus);
}

sus_verdict_t
sus_check (sus_t *sus, uint64_t now_us, uint64_t fingerprint, uint64_t engine_hash)
{
  const sus_entry_t *entry = find (sus, now_us, fingerprint);
  if (entry == NULL)
    return SUS_CLEAR;
  if (is_final (entry))
    return SUS_FINAL;
  return holds (entry->engines, engine_hash) ? SUS_NOT_HERE : SUS_CLEAR;
}

bool
sus_add (sus_t *sus, uint64_t now_us, uint64_t fingerprint, uint64_t engine_hash)
{
  drop_expired (sus, now_us);
  sus_entry_t *entry = find (sus, now_us, fingerprint);
  if (entry == NULL)
    entry = make (sus, fingerprint, now_us);
  note_time (sus, entry, now_us);
  return add_engine (entry, engine_hash);
}

bool
sus_merge (sus_t *sus, uint64_t now_us, const sus_mark_t *mark)
{
  const uint64_t age_us = (uint64_t)mark->age_ms * 1000;
  if (age_us > sus->lifetime_us)
    return false;
  if (sus_is_cleared (mark))
    return sus_clear (sus, mark->fingerprint);
  drop_expired (sus, now_us);
  const uint64_t crashed_us = now_us > age_us ? now_us - age_us : 0;
  sus_entry_t *entry = find (sus, now_us, mark->fingerprint);
  if (entry == NULL)
    entry = make (sus, mark->fingerprint, crashed_us);
  bool told_new = false;
  for (uint32_t i = 0; i < LIM_SUSPECT_CRASHES; i++)
    told_new |= add_engine (entry, mark->engines[i]);
  /* A time alone is no news: it is passed on with a rounded age, and each pass would renew it. */
  if (told_new)
    note_time (sus, entry, crashed_us);
  return told_new;
}

bool
sus_get (const sus_t *sus, uint64_t now_us, uint64_t fingerprint, sus_mark_t *out)
{
  const sus_entry_t *entry = find (sus, now_us, fingerprint);
  if (entry == NULL)
    return false;
  *out = mark_of (entry, now_us);
  return true;
}

uint32_t
sus_recent (const sus_t *sus, uint64_t now_us, sus_mark_t *out, uint32_t want)
{
  uint32_t found = 0;
  for (const GList *at = sus->newest_first.head; at != NULL && found < want; at = at->next)
    {
      const sus_entry_t *entry = at->data;
      if (expired (sus, now_us, entry))
        break;
      out[found++] = mark_of (entry, now_us);
    }
  return found;
}

bool
sus_clear (sus_t *sus, uint64_t fingerprint)
{
  sus_entry_t *entry = g_hash_table_lookup (sus->entries, &fingerprint);

  if (entry)
    drop (sus, entry);
  return entry != NULL;
}

bool
sus_is_cleared (const sus_mark_t *mark)
{
  for (uint32_t i = 0; i < LIM_SUSPECT_CRASHES; i++)
    if (mark->engines[i] != 0)
      return false;
  return true;
}

uint32_t
sus_count (const sus_t *sus)
{
  return g_hash_table_size (sus->entries);
}
