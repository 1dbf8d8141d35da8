#include "request/sidecar/history.h"

#include "request/hop.h"

#include <glib.h>

/** struct entry - one attempt; @recorded_us: when it ended or was revoked */
typedef struct
{
  uint64_t attempt[2];
  uint64_t recorded_us;
  verdict_t verdict;
} entry_t;

/**
 * struct ring - a ring buffer of entries, sorted by @recorded_us
 * @by_attempt: attempt id -> entry_t in @entries
 * @oldest: index of the entry that was recorded first
 */
typedef struct
{
  entry_t *entries;
  GHashTable *by_attempt;
  uint32_t limit;
  uint32_t oldest;
  uint32_t count;
} ring_t;

struct history
{
  ring_t ended;
  ring_t revoked;
  uint64_t latest_evicted_us; /* end of the attempt that was evicted from @ended last */
  bool has_evicted;
};

static void
ring_init (ring_t *ring, uint32_t limit)
{
  ring->entries = g_new0 (entry_t, limit);
  ring->by_attempt = g_hash_table_new (hop_hash_attempt, hop_equal_attempt);
  ring->limit = limit;
}

static void
ring_clear (ring_t *ring)
{
  g_hash_table_destroy (ring->by_attempt);
  g_free (ring->entries);
}

static const entry_t *
ring_find (const ring_t *ring, const uint64_t attempt[2])
{
  return g_hash_table_lookup (ring->by_attempt, attempt);
}

static void
ring_remove_oldest (ring_t *ring)
{
  entry_t *entry = &ring->entries[ring->oldest];

  g_hash_table_remove (ring->by_attempt, entry->attempt);
  ring->oldest = (ring->oldest + 1) % ring->limit;
  ring->count--;
}

static void
ring_add (ring_t *ring, uint64_t now_us, const uint64_t attempt[2], verdict_t verdict)
{
  entry_t *entry = &ring->entries[(ring->oldest + ring->count) % ring->limit];

  g_assert (ring->count < ring->limit);
  *entry =
      (entry_t){ .attempt = { attempt[0], attempt[1] }, .recorded_us = now_us, .verdict = verdict };
  ring->count++;
  g_hash_table_replace (ring->by_attempt, entry->attempt, entry);
}

static void
expire_revoked (history_t *history, uint64_t now_us)
{
  ring_t *ring = &history->revoked;

  while (ring->count > 0 &&
         ring->entries[ring->oldest].recorded_us + HISTORY_REVOKED_TTL_US <= now_us)
    ring_remove_oldest (ring);
}

history_t *
history_new (uint32_t limit)
{
  history_t *history = g_new0 (history_t, 1);

  ring_init (&history->ended, limit);
  ring_init (&history->revoked, limit);
  return history;
}

void
history_free (history_t *history)
{
  if (history == NULL)
    return;
  ring_clear (&history->ended);
  ring_clear (&history->revoked);
  g_free (history);
}

void
history_record (history_t *history, uint64_t now_us, const uint64_t attempt[2], verdict_t verdict)
{
  ring_t *ring = &history->ended;

  if (ring_find (ring, attempt) != NULL)
    return;
  if (ring->count == ring->limit)
    {
      history->latest_evicted_us = ring->entries[ring->oldest].recorded_us;
      history->has_evicted = true;
      ring_remove_oldest (ring);
    }
  ring_add (ring, now_us, attempt, verdict);
}

history_state_t
history_find (const history_t *history,
              uint64_t now_us,
              const uint64_t attempt[2],
              verdict_t *verdict)
{
  const entry_t *entry = ring_find (&history->ended, attempt);

  if (entry != NULL)
    {
      *verdict = entry->verdict;
      return HISTORY_ENDED;
    }
  entry = ring_find (&history->revoked, attempt);
  return entry != NULL && now_us < entry->recorded_us + HISTORY_REVOKED_TTL_US ? HISTORY_REVOKED
                                                                               : HISTORY_UNKNOWN;
}

verdict_t
history_revoke (history_t *history, uint64_t now_us, const uint64_t attempt[2], uint64_t age_us)
{
  verdict_t verdict;

  expire_revoked (history, now_us);
  switch (history_find (history, now_us, attempt, &verdict))
    {
    case HISTORY_ENDED:
      return verdict;
    case HISTORY_REVOKED:
      return VERDICT_NOT_RUN;
    case HISTORY_UNKNOWN:
      break;
    }
  /* An attempt that ended and was evicted looks like one that never arrived; a verdict of "not run"
   * would make the router run it a second time. An attempt sent after the last evicted one ended
   * cannot have been evicted itself, since an attempt ends after it is sent. */
  if (history->has_evicted && history->latest_evicted_us + age_us + HISTORY_AGE_MARGIN_US >= now_us)
    return VERDICT_MAY_HAVE_RUN;
  if (history->revoked.count == history->revoked.limit)
    return VERDICT_MAY_HAVE_RUN;
  ring_add (&history->revoked, now_us, attempt, VERDICT_NOT_RUN);
  return VERDICT_NOT_RUN;
}
