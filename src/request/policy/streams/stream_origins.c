#include "request/policy/streams/stream_origins.h"

#include <glib.h>

/** struct entry - a stream; @due: it is to be told, and so is in the queue of these; @ended: the
 * whole of it was sent to its client, at @ended_us */
typedef struct
{
  stream_origin_t origin;
  bool due;
  bool ended;
  uint64_t ended_us;
} entry_t;

/**
 * struct stream_origins - the streams
 * @by_stream: stream -> entry_t
 * @order: the entries, the one that was added first in front
 * @dropped_until_us: until when a client may resume a stream that was forgotten before its time
 * @due: streams that are to be told, which may have been forgotten or ended meanwhile
 */
struct stream_origins
{
  uint32_t limit;
  GHashTable *by_stream;
  GQueue order;
  uint64_t dropped_until_us;
  GArray *due;
  guint next_due;
};

stream_origins_t *
stream_origins_new (uint32_t limit)
{
  stream_origins_t *origins = g_new0 (stream_origins_t, 1);

  g_assert (limit > 0);
  origins->limit = limit;
  origins->by_stream = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  g_queue_init (&origins->order);
  origins->due = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  return origins;
}

void
stream_origins_free (stream_origins_t *origins)
{
  g_queue_clear (&origins->order);
  g_hash_table_destroy (origins->by_stream);
  g_array_free (origins->due, TRUE);
  g_free (origins);
}

static entry_t *
find (const stream_origins_t *origins, uint64_t stream)
{
  return g_hash_table_lookup (origins->by_stream, &stream);
}

/* One whose time was extended stays in its place, and holds up those behind it for as long. */
static void
forget_old (stream_origins_t *origins, uint64_t now_us)
{
  entry_t *first;

  while ((first = g_queue_peek_head (&origins->order)) &&
         (now_us >= first->origin.expires_us ||
          g_hash_table_size (origins->by_stream) >= origins->limit))
    {
      g_queue_pop_head (&origins->order);
      if (!first->ended)
        origins->dropped_until_us = MAX (origins->dropped_until_us, first->origin.expires_us);
      g_hash_table_remove (origins->by_stream, &first->origin.stream);
    }
}

void
stream_origins_add (stream_origins_t *origins, uint64_t now_us, const stream_origin_t *origin)
{
  entry_t *entry = find (origins, origin->stream);

  if (entry && now_us < entry->origin.expires_us)
    {
      entry->origin.expires_us = MAX (entry->origin.expires_us, origin->expires_us);
      entry->origin.service = entry->origin.service ? entry->origin.service : origin->service;
      return;
    }
  if (entry)
    {
      entry->origin = *origin;
      entry->ended = false;
      return;
    }
  forget_old (origins, now_us);
  entry = g_new0 (entry_t, 1);
  entry->origin = *origin;
  g_hash_table_insert (origins->by_stream, &entry->origin.stream, entry);
  g_queue_push_tail (&origins->order, entry);
}

bool
stream_origins_get (const stream_origins_t *origins,
                    uint64_t now_us,
                    uint64_t stream,
                    stream_origin_t *out)
{
  const entry_t *entry = find (origins, stream);

  if (!entry || now_us >= entry->origin.expires_us)
    return false;
  *out = entry->origin;
  return true;
}

uint64_t
stream_origins_find (const stream_origins_t *origins, uint64_t now_us, uint64_t stream)
{
  stream_origin_t origin;

  return stream_origins_get (origins, now_us, stream, &origin) ? origin.version : 0;
}

void
stream_origins_tell (stream_origins_t *origins, uint64_t stream)
{
  entry_t *entry = find (origins, stream);

  if (!entry || entry->due)
    return;
  entry->ended = false;
  entry->due = true;
  g_array_append_val (origins->due, stream);
}

void
stream_origins_forget (stream_origins_t *origins, uint64_t stream)
{
  entry_t *entry = find (origins, stream);

  if (!entry)
    return;
  entry->due = false;
  entry->ended = true;
  entry->origin.expires_us = 0;
}

void
stream_origins_end (stream_origins_t *origins, uint64_t now_us, uint64_t stream)
{
  entry_t *entry = find (origins, stream);

  if (!entry)
    return;
  entry->due = false;
  entry->ended = true;
  entry->ended_us = now_us;
}

bool
stream_origins_get_open (const stream_origins_t *origins,
                         uint64_t now_us,
                         uint64_t stream,
                         stream_origin_t *out)
{
  const entry_t *entry = find (origins, stream);

  return entry && !entry->ended && stream_origins_get (origins, now_us, stream, out);
}

bool
stream_origins_take (stream_origins_t *origins, uint64_t now_us, stream_origin_t *out)
{
  while (origins->next_due < origins->due->len)
    {
      entry_t *entry = find (origins, g_array_index (origins->due, uint64_t, origins->next_due++));

      if (!entry || !entry->due || now_us >= entry->origin.expires_us)
        continue;
      entry->due = false;
      *out = entry->origin;
      return true;
    }
  g_array_set_size (origins->due, 0);
  origins->next_due = 0;
  return false;
}

bool
stream_origins_has_due (const stream_origins_t *origins)
{
  return origins->next_due < origins->due->len;
}

void
stream_origins_visit_open (const stream_origins_t *origins,
                           uint64_t now_us,
                           void (*visit) (const stream_origin_t *origin, void *context),
                           void *context)
{
  for (const GList *link = origins->order.head; link; link = link->next)
    {
      const entry_t *entry = link->data;

      bool is_open = !entry->ended || now_us < entry->ended_us + STREAM_ORIGINS_TAIL_US;

      if (is_open && now_us < entry->origin.expires_us)
        visit (&entry->origin, context);
    }
}

bool
stream_origins_has_dropped (const stream_origins_t *origins, uint64_t now_us)
{
  return now_us < origins->dropped_until_us;
}

uint32_t
stream_origins_count (const stream_origins_t *origins)
{
  return g_hash_table_size (origins->by_stream);
}
