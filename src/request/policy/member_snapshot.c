#include "request/policy/member.h"

#include <string.h>

mem_snapshot_t *
mem_snapshot_ref (mem_snapshot_t *snapshot)
{
  g_atomic_ref_count_inc (&snapshot->refs);
  return snapshot;
}

void
mem_snapshot_unref (mem_snapshot_t *snapshot)
{
  if (!g_atomic_ref_count_dec (&snapshot->refs))
    return;
  g_free (snapshot->hosts);
  g_free (snapshot->by_hash);
  g_free (snapshot);
}

const mem_host_t *
mem_find (const mem_snapshot_t *snapshot, const char *name)
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

const mem_host_t *
mem_find_hash (const mem_snapshot_t *snapshot, uint64_t hash)
{
  uint32_t low = 0;
  uint32_t high = snapshot->host_count;
  while (low < high)
    {
      uint32_t middle = low + (high - low) / 2;
      const mem_host_t *host = &snapshot->hosts[snapshot->by_hash[middle]];
      if (host->hash == hash)
        return host;
      if (host->hash < hash)
        low = middle + 1;
      else
        high = middle;
    }
  return NULL;
}
