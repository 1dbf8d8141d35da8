#include "request/policy/engines/health.h"

#include <glib.h>

/**
 * struct entry - a host that has failed since its last success
 * @failures: in a row
 * @backoff_us: time from a failed probe to the next one
 * @next_probe_us: when the next request may be sent, once the host is down
 * @probing: a probe is on its way
 */
typedef struct
{
  uint32_t failures;
  uint64_t backoff_us;
  uint64_t next_probe_us;
  bool probing;
} entry_t;

struct health
{
  GHashTable *entries; /* host hash -> entry_t */
};

static entry_t *
find (const health_t *health, uint64_t host_hash)
{
  return g_hash_table_lookup (health->entries, &host_hash);
}

static entry_t *
find_or_add (health_t *health, uint64_t host_hash)
{
  entry_t *entry = find (health, host_hash);
  if (entry != NULL)
    return entry;
  uint64_t *key = g_new (uint64_t, 1);
  *key = host_hash;
  entry = g_new0 (entry_t, 1);
  g_hash_table_insert (health->entries, key, entry);
  return entry;
}

static bool
is_down (const entry_t *entry)
{
  return entry != NULL && entry->failures >= HEALTH_FAILURES_MAX;
}

health_t *
health_new (void)
{
  health_t *health = g_new0 (health_t, 1);
  health->entries = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  return health;
}

void
health_free (health_t *health)
{
  if (health == NULL)
    return;
  g_hash_table_destroy (health->entries);
  g_free (health);
}

void
health_record_success (health_t *health, uint64_t host_hash)
{
  g_hash_table_remove (health->entries, &host_hash);
}

void
health_record_failure (health_t *health, uint64_t now_us, uint64_t host_hash)
{
  entry_t *entry = find_or_add (health, host_hash);
  entry->failures++;
  if (entry->failures < HEALTH_FAILURES_MAX)
    return;
  /* Requests that were in flight together fail together, so only a failed probe doubles the
   * back-off. */
  if (entry->failures > HEALTH_FAILURES_MAX && !entry->probing)
    return;
  entry->probing = false;
  entry->backoff_us = entry->backoff_us == 0 ? HEALTH_BACKOFF_MIN_US : entry->backoff_us * 2;
  entry->backoff_us = MIN (entry->backoff_us, HEALTH_BACKOFF_MAX_US);
  entry->next_probe_us = now_us + entry->backoff_us;
}

bool
health_begin_attempt (health_t *health, uint64_t now_us, uint64_t host_hash)
{
  entry_t *entry = find (health, host_hash);
  if (!is_down (entry))
    return true;
  if (now_us < entry->next_probe_us)
    return false;
  /* The caller's request is the probe. Another one is due if this one has no outcome by then. */
  entry->next_probe_us = now_us + entry->backoff_us;
  entry->probing = true;
  return true;
}

bool
health_is_skipped (const health_t *health, uint64_t now_us, uint64_t host_hash)
{
  const entry_t *entry = find (health, host_hash);
  return is_down (entry) && now_us < entry->next_probe_us;
}

bool
health_most_are_down (const health_t *health, const uint64_t *host_hashes, uint32_t count)
{
  uint32_t down_count = 0;
  for (uint32_t i = 0; i < count; i++)
    down_count += is_down (find (health, host_hashes[i]));
  return down_count * 2 > count;
}

void
health_forget (health_t *health, uint64_t host_hash)
{
  g_hash_table_remove (health->entries, &host_hash);
}
