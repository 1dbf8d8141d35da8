#include "request/router/router_private.h"

#include <string.h>

/** struct skip - what chs_choose() asks about a host */
typedef struct
{
  const rtr_t *rtr;
  uint64_t now_us;
} skip_t;

static bool
is_candidate (const mem_host_t *host)
{
  return !host->router && host->state == MEM_LIVE;
}

static void
engines_init (rtr_engines_t *engines, uint32_t most)
{
  engines->engines = g_new0 (plc_engine_t, most);
  engines->details = g_new0 (chs_engine_t, most);
}

static void
engines_clear (rtr_engines_t *engines)
{
  g_free (engines->engines);
  g_free (engines->details);
}

static void
engines_add (rtr_engines_t *engines, const mem_host_t *host)
{
  uint32_t index = engines->count++;

  engines->engines[index] = (plc_engine_t){ .hash = host->hash, .index = index, .weight = 1.0F };
  engines->details[index] =
      (chs_engine_t){ .joined_us = host->joined_us, .settled_us = host->settled_us };
}

static void
init_pools (rtr_t *rtr, const man_t *man, uint32_t host_count)
{
  rtr->pool_count = man->service_count;
  rtr->pools = g_new0 (rtr_pool_t, man->service_count);
  for (uint32_t i = 0; i < man->service_count; i++)
    {
      uint32_t most = MIN (man->services[i].engine_count, host_count);

      engines_init (&rtr->pools[i].near, most);
      engines_init (&rtr->pools[i].far, most);
      rtr->pools[i].hashes = g_new0 (uint64_t, most);
    }
}

static bool
is_usable (uint64_t engine_hash, void *context)
{
  const skip_t *skip = context;

  return !hlt_skipped (skip->rtr->hlt, skip->now_us, engine_hash);
}

/* pool_of() - the request keeps its version, but pools are those of the version in force */
static const rtr_pool_t *
pool_of (const rtr_t *rtr, const man_t *man, const man_service_t *service)
{
  const man_t *in_force = ops_man (rtr->ops);

  if (rtr->pools == NULL)
    return NULL;
  if (man != in_force)
    service = man_service_named (in_force, service->name);
  return service != NULL ? &rtr->pools[service - in_force->services] : NULL;
}

/* add_far() - engines of other regions behind those of this one */
static void
add_far (chs_t *place, const chs_t *far)
{
  for (uint32_t i = 0; i < far->candidate_count && place->candidate_count < ATT_CANDIDATES; i++)
    place->candidates[place->candidate_count++] = far->candidates[i];
}

static chs_t
choose (chs_query_t *query, const rtr_pool_t *pool)
{
  chs_t place;
  chs_t far;

  query->engines = pool->near.engines;
  query->details = pool->near.details;
  query->engine_count = pool->near.count;
  place = chs_choose (query);
  if (place.candidate_count == ATT_CANDIDATES || pool->far.count == 0)
    return place;
  query->engines = pool->far.engines;
  query->details = pool->far.details;
  query->engine_count = pool->far.count;
  far = chs_choose (query);
  if (place.candidate_count == 0)
    return far;
  add_far (&place, &far);
  return place;
}

void
rtr_place_clear (rtr_t *rtr)
{
  for (uint32_t i = 0; i < rtr->pool_count; i++)
    {
      engines_clear (&rtr->pools[i].near);
      engines_clear (&rtr->pools[i].far);
      g_free (rtr->pools[i].hashes);
    }
  g_free (rtr->pools);
  rtr->pools = NULL;
  rtr->pool_count = 0;
}

void
rtr_place_rebuild (rtr_t *rtr)
{
  const man_t *man = ops_man (rtr->ops);
  const mem_snapshot_t *members = ops_members (rtr->ops);

  rtr_place_clear (rtr);
  if (man == NULL || members == NULL)
    return;
  init_pools (rtr, man, members->host_count);
  for (uint32_t i = 0; i < members->host_count; i++)
    {
      const mem_host_t *host = &members->hosts[i];
      const man_service_t *service = man_service_of_engine (man, host->name);
      rtr_pool_t *pool;
      bool near = strcmp (host->region, rtr->dmn->set.region) == 0;

      if (service == NULL || !is_candidate (host))
        continue;
      pool = &rtr->pools[service - man->services];
      pool->hashes[pool->near.count + pool->far.count] = host->hash;
      engines_add (near ? &pool->near : &pool->far, host);
    }
}

const mem_host_t *
rtr_host (const rtr_t *rtr, uint64_t engine_hash)
{
  const mem_snapshot_t *members = ops_members (rtr->ops);
  const mem_host_t *host = members != NULL ? mem_find_hash (members, engine_hash) : NULL;

  return host != NULL && is_candidate (host) ? host : NULL;
}

void
rtr_place_samples (rtr_t *rtr, const msg_samples_t *message)
{
  for (uint32_t i = 0; i < message->count; i++)
    {
      const mean_sample_t *sample = &message->samples[i];
      rtr_loads_t *loads = g_hash_table_lookup (rtr->loads, &sample->service_hash);

      /* Of services that are not in force here, no table is made. */
      if (loads != NULL)
        mean_add (&loads->table, sample);
    }
}

void
rtr_place_find (rtr_call_t *call, bool first_turn)
{
  rtr_t *rtr = call->rtr;
  const man_service_t *service = call->service;
  const rtr_pool_t *pool = pool_of (rtr, call->man, service);
  const rtr_loads_t *loads = g_hash_table_lookup (rtr->loads, &service->hash);
  skip_t skip = { .rtr = rtr, .now_us = ops_now_us (rtr->ops) };
  chs_query_t query = { .now_us = skip.now_us,
                        .service_hash = service->hash,
                        .chat_hash = call->place_hash,
                        .has_chat = call->hop.has_chat && call->hop.key_hash[1] == 0,
                        .first_turn = first_turn || !call->hop.has_chat,
                        .cache_lifetime_us = (uint64_t)service->cache_lifetime_ms * CLK_US_PER_MS,
                        .tie = call->hop.key_hash[1], /* keys of a claims stream take turns */
                        .samples = loads != NULL ? &loads->table : NULL,
                        .under_way = rtr->uwy,
                        .is_usable = is_usable,
                        .context = &skip };

  memset (&call->place, 0, sizeof call->place);
  if (pool == NULL)
    return;
  if (hlt_distrust (rtr->hlt, pool->hashes, pool->near.count + pool->far.count))
    query.is_usable = NULL;
  call->place = choose (&query, pool);
  if (call->place.candidate_count > 0 || query.is_usable == NULL)
    return;
  query.is_usable = NULL;
  call->place = choose (&query, pool);
}
