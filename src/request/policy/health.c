#include "request/policy/health.h"

#include <glib.h>

/** struct entry - a host that failed lately */
typedef struct
{
  uint32_t failures;
  uint64_t backoff_us;
  uint64_t probe_us;
  bool probing;
} entry_t;

struct hlt
{
  GHashTable *entries; /* host hash -> entry_t; only hosts that failed since their last success */
};

static entry_t *
find (const hlt_t *hlt, uint64_t host_hash)
{
  return g_hash_table_lookup (hlt->entries, &host_hash);
}

static entry_t *
find_or_add (hlt_t *hlt, uint64_t host_hash)
{
  entry_t *entry = find (hlt, host_hash);
  if (entry != NULL)
    return entry;
  uint64_t *key = g_new (uint64_t, 1);
  *key = host_hash;
  entry = g_new0 (entry_t, 1);
  g_hash_table_insert (hlt->entries, key, entry);
  return entry;
}

static bool
dead (const entry_t *entry)
{
  return entry != NULL && entry->failures >= HLT_FAILURES;
}

hlt_t *
hlt_new (void)
{
  hlt_t *hlt = g_new0 (hlt_t, 1);
  hlt->entries = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  return hlt;
}

void
hlt_free (hlt_t *hlt)
{
  if (hlt == NULL)
    return;
  g_hash_table_destroy (hlt->entries);
  g_free (hlt);
}

void
hlt_success (hlt_t *hlt, uint64_t host_hash)
{
  g_hash_table_remove (hlt->entries, &host_hash);
}

void
hlt_failure (hlt_t *hlt, uint64_t now_us, uint64_t host_hash)
{
  entry_t *entry = find_or_add (hlt, host_hash);
  entry->failures++;
  if (entry->failures < HLT_FAILURES)
    return;
  /* Requests that were under way together fail together: only a probe doubles the back-off. */
  if (entry->failures > HLT_FAILURES && !entry->probing)
    return;
  entry->probing = false;
  entry->backoff_us = entry->backoff_us == 0 ? HLT_BACKOFF_MIN_US : entry->backoff_us * 2;
  entry->backoff_us = MIN (entry->backoff_us, HLT_BACKOFF_MAX_US);
  entry->probe_us = now_us + entry->backoff_us;
}

bool
hlt_usable (hlt_t *hlt, uint64_t now_us, uint64_t host_hash)
{
  entry_t *entry = find (hlt, host_hash);
  if (!dead (entry))
    return true;
  if (now_us < entry->probe_us)
    return false;
  /* This caller is the probe; the next one may go when its outcome stays out for a back-off. */
  entry->probe_us = now_us + entry->backoff_us;
  entry->probing = true;
  return true;
}

bool
hlt_skipped (const hlt_t *hlt, uint64_t now_us, uint64_t host_hash)
{
  const entry_t *entry = find (hlt, host_hash);
  return dead (entry) && now_us < entry->probe_us;
}

bool
hlt_distrust (const hlt_t *hlt, const uint64_t *host_hashes, uint32_t count)
{
  uint32_t dead_count = 0;
  for (uint32_t i = 0; i < count; i++)
    dead_count += dead (find (hlt, host_hashes[i]));
  return dead_count * 2 > count;
}

void
hlt_forget (hlt_t *hlt, uint64_t host_hash)
{
  g_hash_table_remove (hlt->entries, &host_hash);
}
