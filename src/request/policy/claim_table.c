#include "request/policy/claim_table.h"

#include <glib.h>
#include <stdbool.h>

#define SLOTS_MIN 64
/* A table is rebuilt when seven eighths are used, and is then three quarters full: 27 to 32 bytes
 * a key. Doubling instead would take up to 64. */
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
expired (const clt_t *clt, uint32_t now_s, const clt_entry_t *entry)
{
  return (uint64_t)entry->at_s + clt->horizon_s < now_s;
}

static clt_entry_t *
slot_of (const clt_t *clt, uint64_t name)
{
  uint32_t at = (uint32_t)((name >> 32) * clt->slot_count >> 32);
  while (clt->slots[at].name != 0 && clt->slots[at].name != name)
    at = at + 1 < clt->slot_count ? at + 1 : 0;
  return &clt->slots[at];
}

static bool
worth_keeping (const clt_t *clt, uint32_t now_s, const clt_entry_t *entry)
{
  return entry->name != 0 && entry->state != CLT_FREE && !expired (clt, now_s, entry);
}

static uint32_t
count_kept (const clt_t *clt, uint32_t now_s)
{
  uint32_t kept = 0;
  for (uint32_t i = 0; i < clt->slot_count; i++)
    if (worth_keeping (clt, now_s, &clt->slots[i]))
      kept++;
  return kept;
}

static void
rebuild (clt_t *clt, uint32_t now_s)
{
  uint32_t kept = count_kept (clt, now_s);
  uint32_t slot_count = SLOTS_MIN + kept + kept / 3;
  clt_t next = { g_new0 (clt_entry_t, slot_count), slot_count, kept, clt->horizon_s };
  for (uint32_t i = 0; i < clt->slot_count; i++)
    if (worth_keeping (clt, now_s, &clt->slots[i]))
      *slot_of (&next, clt->slots[i].name) = clt->slots[i];
  g_free (clt->slots);
  *clt = next;
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
clt_find (clt_t *clt, uint32_t now_s, uint64_t name)
{
  clt_entry_t *entry = slot_of (clt, name);
  if (entry->name == 0 || entry->state == CLT_FREE || expired (clt, now_s, entry))
    return NULL;
  return entry;
}

clt_entry_t *
clt_put (clt_t *clt, uint32_t now_s, uint64_t name)
{
  g_assert (name != 0);
  clt_entry_t *entry = slot_of (clt, name);
  if (entry->name != 0)
    return entry;
  if ((uint64_t)clt->used * FULL_DENOMINATOR >= (uint64_t)clt->slot_count * FULL_NUMERATOR)
    {
      rebuild (clt, now_s);
      entry = slot_of (clt, name);
    }
  entry->name = name;
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
