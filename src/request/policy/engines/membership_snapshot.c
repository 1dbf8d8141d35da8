#include "request/policy/engines/membership.h"

#include <string.h>

membership_snapshot_t *
membership_snapshot_ref (membership_snapshot_t *snapshot)
{
  g_atomic_ref_count_inc (&snapshot->refs);
  return snapshot;
}

void
membership_snapshot_unref (membership_snapshot_t *snapshot)
{
  if (!g_atomic_ref_count_dec (&snapshot->refs))
    return;
  g_free (snapshot->hosts);
  g_free (snapshot->by_hash);
  g_free (snapshot);
}

const membership_host_t *
membership_find (const membership_snapshot_t *snapshot, const char *name)
{
  uint32_t low = 0;
  uint32_t high = snapshot->host_count;
  while (low < high)
    {
      uint32_t middle = low + (high - low) / 2;
      int order = strcmp (snapshot->hosts[middle].name, name);
      if (order == 0)
        return &snapshot->hosts[middle];
      if (order < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return NULL;
}

const membership_host_t *
membership_find_by_hash (const membership_snapshot_t *snapshot, uint64_t hash)
{
  uint32_t low = 0;
  uint32_t high = snapshot->host_count;
  while (low < high)
    {
      uint32_t middle = low + (high - low) / 2;
      const membership_host_t *host = &snapshot->hosts[snapshot->by_hash[middle]];
      if (host->hash == hash)
        return host;
      if (host->hash < hash)
        low = middle + 1;
      else
        high = middle;
    }
  return NULL;
}
