#include "request/policy/claim_table.h"

#include <glib.h>
#include <stdbool.h>

#define SLOTS_MIN 64
/* The table is rebuilt when 7/8 of its slots are used, with a size at which 3/4 are: so a key takes
 * 27 to 32 bytes. With a size that doubles it would take up to 64. */
#define FULL_NUMERATOR 7
#define FULL_DENOMINATOR 8

G_STATIC_ASSERT (sizeof (clt_entry_t) == 24);

struct clt
{
  clt_entry_t *slots;
  uint32_t slot_count;
  uint32_t used;
  uint32_t horizon_s;
};

static bool
is_expired (const clt_t *clt, uint32_t now_s, const clt_entry_t *entry)
{
  return (uint64_t)entry->claimed_s + clt->horizon_s < now_s;
}

static clt_entry_t *
find_slot (const clt_t *clt, uint64_t fingerprint)
{
  uint32_t slot = (uint32_t)((fingerprint >> 32) * clt->slot_count >> 32);
  while (clt->slots[slot].fingerprint != 0 && clt->slots[slot].fingerprint != fingerprint)
    slot = slot + 1 < clt->slot_count ? slot + 1 : 0;
  return &clt->slots[slot];
}

static bool
is_kept (const clt_t *clt, uint32_t now_s, const clt_entry_t *entry)
{
  return entry->fingerprint != 0 && entry->state != CLT_FREE && !is_expired (clt, now_s, entry);
}

static uint32_t
count_kept (const clt_t *clt, uint32_t now_s)
{
  uint32_t kept = 0;
  for (uint32_t i = 0; i < clt->slot_count; i++)
    if (is_kept (clt, now_s, &clt->slots[i]))
      kept++;
  return kept;
}

static void
rebuild (clt_t *clt, uint32_t now_s)
{
  uint32_t kept = count_kept (clt, now_s);
  uint32_t slot_count = SLOTS_MIN + kept + kept / 3;
  clt_t rebuilt = { g_new0 (clt_entry_t, slot_count), slot_count, kept, clt->horizon_s };
  for (uint32_t i = 0; i < clt->slot_count; i++)
    if (is_kept (clt, now_s, &clt->slots[i]))
      *find_slot (&rebuilt, clt->slots[i].fingerprint) = clt->slots[i];
  g_free (clt->slots);
  *clt = rebuilt;
}

clt_t *
clt_new (uint32_t horizon_s)
{
  clt_t *clt = g_new0 (clt_t, 1);
  clt->horizon_s = horizon_s;
  clt->slot_count = SLOTS_MIN;
  clt->slots = g_new0 (clt_entry_t, SLOTS_MIN);
  return clt;
}

void
clt_free (clt_t *clt)
{
  if (clt == NULL)
    return;
  g_free (clt->slots);
  g_free (clt);
}

clt_entry_t *
clt_find (clt_t *clt, uint32_t now_s, uint64_t fingerprint)
{
  clt_entry_t *entry = find_slot (clt, fingerprint);
  if (entry->fingerprint == 0 || entry->state == CLT_FREE || is_expired (clt, now_s, entry))
    return NULL;
  return entry;
}

clt_entry_t *
clt_put (clt_t *clt, uint32_t now_s, uint64_t fingerprint)
{
  g_assert (fingerprint != 0);
  clt_entry_t *entry = find_slot (clt, fingerprint);
  if (entry->fingerprint != 0)
    return entry;
  if ((uint64_t)clt->used * FULL_DENOMINATOR >= (uint64_t)clt->slot_count * FULL_NUMERATOR)
    {
      rebuild (clt, now_s);
      entry = find_slot (clt, fingerprint);
    }
  entry->fingerprint = fingerprint;
  clt->used++;
  return entry;
}

uint32_t
clt_count (const clt_t *clt)
{
  return clt->used;
}

uint64_t
clt_bytes (const clt_t *clt)
{
  return (uint64_t)clt->slot_count * sizeof (clt_entry_t);
}
