#include "request/policy/proven.h"

#include <glib.h>

typedef struct
{
  uint64_t fingerprint;
  uint64_t answered_us; /* 0: empty */
} entry_t;

struct prv
{
  entry_t *entries;
  uint32_t count;
  uint64_t lifetime_us;
};

static entry_t *
entry_of (const prv_t *prv, uint64_t fingerprint)
{
  return &prv->entries[fingerprint % prv->count];
}

prv_t *
prv_new (uint32_t entries, uint64_t lifetime_us)
{
  prv_t *prv = g_new0 (prv_t, 1);

  prv->entries = g_new0 (entry_t, entries);
  prv->count = entries;
  prv->lifetime_us = lifetime_us;
  return prv;
}

void
prv_free (prv_t *prv)
{
  if (prv == NULL)
    return;
  g_free (prv->entries);
  g_free (prv);
}

void
prv_answered (prv_t *prv, uint64_t now_us, uint64_t fingerprint)
{
  *entry_of (prv, fingerprint) = (entry_t){ .fingerprint = fingerprint, .answered_us = now_us };
}

void
prv_forget (prv_t *prv, uint64_t fingerprint)
{
  entry_t *entry = entry_of (prv, fingerprint);

  if (entry->fingerprint == fingerprint)
    entry->answered_us = 0;
}

bool
prv_has (const prv_t *prv, uint64_t now_us, uint64_t fingerprint)
{
  const entry_t *entry = entry_of (prv, fingerprint);

  return entry->answered_us != 0 && entry->fingerprint == fingerprint &&
         now_us < entry->answered_us + prv->lifetime_us;
}
