#include "request/router/router_private.h"

#include <string.h>

/** struct health_query - context of is_usable(), which candidates_choose() calls for each host */
typedef struct
{
  const router_t *router;
  uint64_t now_us;
} health_query_t;

static bool
is_candidate (const membership_host_t *host)
{
  return !host->is_router && host->state == MEMBERSHIP_LIVE;
}

static void
engines_init (router_engines_t *engines, uint32_t max_count)
{
  engines->engines = g_new0 (rendezvous_engine_t, max_count);
  engines->details = g_new0 (candidates_engine_t, max_count);
}

static void
engines_clear (router_engines_t *engines)
{
  g_free (engines->engines);
  g_free (engines->details);
}

static void
engines_add (router_engines_t *engines, const membership_host_t *host)
{
  uint32_t index = engines->count++;

  engines->engines[index] =
      (rendezvous_engine_t){ .hash = host->hash, .index = index, .weight = 1.0F };
  engines->details[index] =
      (candidates_engine_t){ .joined_us = host->joined_us, .settled_us = host->settled_us };
}

static void
init_pools (router_t *router, const manifest_t *manifest, uint32_t host_count)
{
  router->pool_count = manifest->service_count;
  router->pools = g_new0 (router_pool_t, manifest->service_count);
  for (uint32_t i = 0; i < manifest->service_count; i++)
    {
      uint32_t max_count = MIN (manifest->services[i].engine_count, host_count);

      engines_init (&router->pools[i].own_region, max_count);
      engines_init (&router->pools[i].other_regions, max_count);
      router->pools[i].hashes = g_new0 (uint64_t, max_count);
    }
}

static bool
is_usable (uint64_t engine_hash, void *context)
{
  const health_query_t *health_query = context;

  return !health_is_skipped (health_query->router->health, health_query->now_us, engine_hash);
}

/* pool_of() - the pool of a request's service, or NULL when the service is no longer in force
 *
 * A request keeps the version that it arrived under, but pools belong to the version in force. */
static const router_pool_t *
pool_of (const router_t *router, const manifest_t *manifest, const manifest_service_t *service)
{
  const manifest_t *in_force = data_task_manifest (router->data_task);

  if (router->pools == NULL)
    return NULL;
  if (manifest != in_force)
    service = manifest_find_service (in_force, service->name);
  return service != NULL ? &router->pools[service - in_force->services] : NULL;
}

/* append_candidates() - adds engines of other regions after those of the own region */
static void
append_candidates (candidates_t *placement, const candidates_t *other_regions)
{
  for (uint32_t i = 0;
       i < other_regions->candidate_count && placement->candidate_count < FORWARDING_CANDIDATES_MAX;
       i++)
    placement->candidates[placement->candidate_count++] = other_regions->candidates[i];
}

static candidates_t
choose (candidates_query_t *query, const router_pool_t *pool)
{
  candidates_t placement;
  candidates_t other_regions;

  query->engines = pool->own_region.engines;
  query->details = pool->own_region.details;
  query->engine_count = pool->own_region.count;
  placement = candidates_choose (query);
  if (placement.candidate_count == FORWARDING_CANDIDATES_MAX || pool->other_regions.count == 0)
    return placement;
  query->engines = pool->other_regions.engines;
  query->details = pool->other_regions.details;
  query->engine_count = pool->other_regions.count;
  other_regions = candidates_choose (query);
  if (placement.candidate_count == 0)
    return other_regions;
  append_candidates (&placement, &other_regions);
  return placement;
}

void
router_pools_clear (router_t *router)
{
  for (uint32_t i = 0; i < router->pool_count; i++)
    {
      engines_clear (&router->pools[i].own_region);
      engines_clear (&router->pools[i].other_regions);
      g_free (router->pools[i].hashes);
    }
  g_free (router->pools);
  router->pools = NULL;
  router->pool_count = 0;
}

void
router_pools_rebuild (router_t *router)
{
  const manifest_t *manifest = data_task_manifest (router->data_task);
  const membership_snapshot_t *members = data_task_members (router->data_task);

  router_pools_clear (router);
  if (manifest == NULL || members == NULL)
    return;
  init_pools (router, manifest, members->host_count);
  for (uint32_t i = 0; i < members->host_count; i++)
    {
      const membership_host_t *host = &members->hosts[i];
      const manifest_service_t *service = manifest_service_of_engine (manifest, host->name);
      router_pool_t *pool;
      bool in_own_region = strcmp (host->region, router->daemon->settings.region) == 0;

      if (service == NULL || !is_candidate (host))
        continue;
      pool = &router->pools[service - manifest->services];
      pool->hashes[pool->own_region.count + pool->other_regions.count] = host->hash;
      engines_add (in_own_region ? &pool->own_region : &pool->other_regions, host);
    }
}

const membership_host_t *
router_find_host (const router_t *router, uint64_t engine_hash)
{
  const membership_snapshot_t *members = data_task_members (router->data_task);
  const membership_host_t *host =
      members != NULL ? membership_find_by_hash (members, engine_hash) : NULL;

  return host != NULL && is_candidate (host) ? host : NULL;
}

void
router_merge_samples (router_t *router, const message_load_samples_t *message)
{
  for (uint32_t i = 0; i < message->count; i++)
    {
      const load_sample_t *sample = &message->samples[i];
      router_loads_t *loads = g_hash_table_lookup (router->loads, &sample->service_hash);

      /* Services that are not in force here have no table. */
      if (loads != NULL)
        load_samples_add (&loads->table, sample);
    }
}

void
router_find_candidates (router_call_t *call, bool first_turn)
{
  router_t *router = call->router;
  const manifest_service_t *service = call->service;
  const router_pool_t *pool = pool_of (router, call->manifest, service);
  const router_loads_t *loads = g_hash_table_lookup (router->loads, &service->hash);
  health_query_t health_query = { .router = router,
                                  .now_us = data_task_now_us (router->data_task) };
  candidates_query_t query = {
    .now_us = health_query.now_us,
    .service_hash = service->hash,
    .chat_hash = call->placement_hash,
    .has_chat = call->hop.has_chat && call->hop.key_hash[1] == 0,
    .first_turn = first_turn || !call->hop.has_chat,
    .cache_lifetime_us = (uint64_t)service->cache_lifetime_ms * CLOCK_US_PER_MS,
    .tie = call->hop.key_hash[1], /* spreads the keys of one claims stream */
    .samples = loads != NULL ? &loads->table : NULL,
    .under_way = router->requests_in_flight,
    .is_usable = is_usable,
    .context = &health_query
  };

  memset (&call->placement, 0, sizeof call->placement);
  if (pool == NULL)
    return;
  if (health_most_are_down (router->health, pool->hashes,
                            pool->own_region.count + pool->other_regions.count))
    query.is_usable = NULL;
  call->placement = choose (&query, pool);
  if (call->placement.candidate_count > 0 || query.is_usable == NULL)
    return;
  query.is_usable = NULL;
  call->placement = choose (&query, pool);
}
