#include "request/sidecar/history.h"

#include "request/hop.h"

#include <glib.h>

/** struct entry - @at_us: when it ended or was barred */
typedef struct
{
  uint64_t attempt[2];
  uint64_t at_us;
  vrd_t verdict;
} entry_t;

/** struct ring - entries in the order of @at_us, found by attempt */
typedef struct
{
  entry_t *entries;
  GHashTable *by_attempt;
  uint32_t limit;
  uint32_t first;
  uint32_t count;
} ring_t;

struct hst
{
  ring_t ended;
  ring_t barred;
  uint64_t forgotten_us; /* the latest end of an attempt that is no longer in @ended */
  bool has_forgotten;
};

static void
ring_init (ring_t *ring, uint32_t limit)
{
  ring->entries = g_new0 (entry_t, limit);
  ring->by_attempt = g_hash_table_new (hop_attempt_hash, hop_attempt_equal);
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
ring_drop_first (ring_t *ring)
{
  entry_t *entry = &ring->entries[ring->first];

  g_hash_table_remove (ring->by_attempt, entry->attempt);
  ring->first = (ring->first + 1) % ring->limit;
  ring->count--;
}

static void
ring_add (ring_t *ring, uint64_t now_us, const uint64_t attempt[2], vrd_t verdict)
{
  entry_t *entry = &ring->entries[(ring->first + ring->count) % ring->limit];

  g_assert (ring->count < ring->limit);
  *entry = (entry_t){ .attempt = { attempt[0], attempt[1] }, .at_us = now_us, .verdict = verdict };
  ring->count++;
  g_hash_table_replace (ring->by_attempt, entry->attempt, entry);
}

static void
expire_barred (hst_t *hst, uint64_t now_us)
{
  ring_t *ring = &hst->barred;

  while (ring->count > 0 && ring->entries[ring->first].at_us + HST_BAR_US <= now_us)
    ring_drop_first (ring);
}

hst_t *
hst_new (uint32_t limit)
{
  hst_t *hst = g_new0 (hst_t, 1);

  ring_init (&hst->ended, limit);
  ring_init (&hst->barred, limit);
  return hst;
}

void
hst_free (hst_t *hst)
{
  if (hst == NULL)
    return;
  ring_clear (&hst->ended);
  ring_clear (&hst->barred);
  g_free (hst);
}

void
hst_ended (hst_t *hst, uint64_t now_us, const uint64_t attempt[2], vrd_t verdict)
{
  ring_t *ring = &hst->ended;

  if (ring_find (ring, attempt) != NULL)
    return;
  if (ring->count == ring->limit)
    {
      hst->forgotten_us = ring->entries[ring->first].at_us;
      hst->has_forgotten = true;
      ring_drop_first (ring);
    }
  ring_add (ring, now_us, attempt, verdict);
}

hst_state_t
hst_find (const hst_t *hst, uint64_t now_us, const uint64_t attempt[2], vrd_t *verdict)
{
  const entry_t *entry = ring_find (&hst->ended, attempt);

  if (entry != NULL)
    {
      *verdict = entry->verdict;
      return HST_ENDED;
    }
  entry = ring_find (&hst->barred, attempt);
  return entry != NULL && now_us < entry->at_us + HST_BAR_US ? HST_BARRED : HST_UNKNOWN;
}

vrd_t
hst_revoke (hst_t *hst, uint64_t now_us, const uint64_t attempt[2], uint64_t age_us)
{
  vrd_t verdict;

  expire_barred (hst, now_us);
  switch (hst_find (hst, now_us, attempt, &verdict))
    {
    case HST_ENDED:
      return verdict;
    case HST_BARRED:
      return VRD_NOT_RUN;
    case HST_UNKNOWN:
      break;
    }
  /* An attempt ends after it was sent. One that ended and was forgotten would look as if it had
   * never come, and be run twice; none that was sent after the last forgotten one ended was
   * forgotten. */
  if (hst->has_forgotten && hst->forgotten_us + age_us + HST_AGE_MARGIN_US >= now_us)
    return VRD_MAY_HAVE_RUN;
  if (hst->barred.count == hst->barred.limit)
    return VRD_MAY_HAVE_RUN;
  ring_add (&hst->barred, now_us, attempt, VRD_NOT_RUN);
  return VRD_NOT_RUN;
}
