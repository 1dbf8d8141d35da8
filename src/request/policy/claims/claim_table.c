#include "request/policy/claims/claim_table.h"

#include <glib.h>
#include <stdbool.h>

#define SLOTS_MIN 64
/* The table is rebuilt when 7/8 of its slots are used, with a size at which 3/4 are: so a key takes
 * 27 to 32 bytes. With a size that doubles it would take up to 64. */
#define FULL_NUMERATOR 7
#define FULL_DENOMINATOR 8

G_STATIC_ASSERT (sizeof (claim_table_entry_t) == 24);

struct claim_table
{
  claim_table_entry_t *slots;
  uint32_t slot_count;
  uint32_t used;
  uint32_t horizon_s;
};

static bool
is_expired (const claim_table_t *claim_table, uint32_t now_s, const claim_table_entry_t *entry)
{
  return (uint64_t)entry->claimed_s + claim_table->horizon_s < now_s;
}

static claim_table_entry_t *
find_slot (const claim_table_t *claim_table, uint64_t fingerprint)
{
  uint32_t slot = (uint32_t)((fingerprint >> 32) * claim_table->slot_count >> 32);
  while (claim_table->slots[slot].fingerprint != 0 &&
         claim_table->slots[slot].fingerprint != fingerprint)
    slot = slot + 1 < claim_table->slot_count ? slot + 1 : 0;
  return &claim_table->slots[slot];
}

static bool
is_kept (const claim_table_t *claim_table, uint32_t now_s, const claim_table_entry_t *entry)
{
  return entry->fingerprint != 0 && entry->state != CLAIM_TABLE_FREE &&
         !is_expired (claim_table, now_s, entry);
}

static uint32_t
count_kept (const claim_table_t *claim_table, uint32_t now_s)
{
  uint32_t kept = 0;
  for (uint32_t i = 0; i < claim_table->slot_count; i++)
    if (is_kept (claim_table, now_s, &claim_table->slots[i]))
      kept++;
  return kept;
}

static void
rebuild (claim_table_t *claim_table, uint32_t now_s)
{
  uint32_t kept = count_kept (claim_table, now_s);
  uint32_t slot_count = SLOTS_MIN + kept + kept / 3;
  claim_table_t rebuilt = { g_new0 (claim_table_entry_t, slot_count), slot_count, kept,
                            claim_table->horizon_s };
  for (uint32_t i = 0; i < claim_table->slot_count; i++)
    if (is_kept (claim_table, now_s, &claim_table->slots[i]))
      *find_slot (&rebuilt, claim_table->slots[i].fingerprint) = claim_table->slots[i];
  g_free (claim_table->slots);
  *claim_table = rebuilt;
}

claim_table_t *
claim_table_new (uint32_t horizon_s)
{
  claim_table_t *claim_table = g_new0 (claim_table_t, 1);
  claim_table->horizon_s = horizon_s;
  claim_table->slot_count = SLOTS_MIN;
  claim_table->slots = g_new0 (claim_table_entry_t, SLOTS_MIN);
  return claim_table;
}

void
claim_table_free (claim_table_t *claim_table)
{
  if (claim_table == NULL)
    return;
  g_free (claim_table->slots);
  g_free (claim_table);
}

claim_table_entry_t *
claim_table_find (claim_table_t *claim_table, uint32_t now_s, uint64_t fingerprint)
{
  claim_table_entry_t *entry = find_slot (claim_table, fingerprint);
  if (entry->fingerprint == 0 || entry->state == CLAIM_TABLE_FREE ||
      is_expired (claim_table, now_s, entry))
    return NULL;
  return entry;
}

claim_table_entry_t *
claim_table_put (claim_table_t *claim_table, uint32_t now_s, uint64_t fingerprint)
{
  g_assert (fingerprint != 0);
  claim_table_entry_t *entry = find_slot (claim_table, fingerprint);
  if (entry->fingerprint != 0)
    return entry;
  if ((uint64_t)claim_table->used * FULL_DENOMINATOR >=
      (uint64_t)claim_table->slot_count * FULL_NUMERATOR)
    {
      rebuild (claim_table, now_s);
      entry = find_slot (claim_table, fingerprint);
    }
  entry->fingerprint = fingerprint;
  claim_table->used++;
  return entry;
}

uint32_t
claim_table_count (const claim_table_t *claim_table)
{
  return claim_table->used;
}

uint64_t
claim_table_memory_bytes (const claim_table_t *claim_table)
{
  return (uint64_t)claim_table->slot_count * sizeof (claim_table_entry_t);
}
