#include "request/router/router_private.h"

#include "base/log.h"

#include <stdio.h>

static bool
is_ready (void *context)
{
  const router_t *router = context;

  /* The first member list read from the platform may be empty. */
  for (uint32_t i = 0; i < router->pool_count; i++)
    if (router->pools[i].own_region.count + router->pools[i].other_regions.count > 0)
      return true;
  return false;
}

static uint32_t
count_in_flight (void *context)
{
  const router_t *router = context;

  return router->calls.length;
}

static void
add_status (json_t *out, void *context)
{
  const router_t *router = context;
  json_t *services = json_object ();
  const manifest_t *manifest = data_task_manifest (router->data_task);

  for (uint32_t i = 0; i < router->pool_count; i++)
    json_object_set_new (
        services, manifest->services[i].name,
        json_integer (router->pools[i].own_region.count + router->pools[i].other_regions.count));
  json_object_set_new (out, "engines", services);
  json_object_set_new (out, "load", json_integer (router->calls.length));
  json_object_set_new (out, "retry_budget_milli",
                       json_integer ((json_int_t)router->retry_budget.tokens_milli));
}

static bool
on_sealed (http_server_call_t *call, const char *path, void *context)
{
  (void)call;
  (void)path;
  (void)context;
  return false;
}

static void
on_stopping (void *context)
{
  const router_t *router = context;

  log_event (LOG_LEVEL_NOTICE, "stopping", "in_flight", LOG_U64 (router->calls.length), NULL);
}

static gboolean
is_not_member (gpointer key, gpointer value, gpointer context)
{
  const membership_snapshot_t *members = context;

  (void)value;
  return membership_find_by_hash (members, *(uint64_t *)key) == NULL;
}

/* update_members() - drops what is known of hosts that are no longer members, and the health of
 * those that restarted */
static void
update_members (router_t *router)
{
  membership_snapshot_t *members = data_task_members (router->data_task);

  if (members == NULL)
    return;
  for (uint32_t i = 0; i < members->host_count; i++)
    router_record_incarnation (router, members->hosts[i].hash, members->hosts[i].incarnation);
  g_hash_table_foreach_remove (router->incarnations, is_not_member, members);
  g_hash_table_foreach_remove (router->host_probes, is_not_member, members);
}

static gboolean
is_unused_service (gpointer key, gpointer value, gpointer context)
{
  const manifest_t *manifest = context;

  (void)value;
  for (uint32_t i = 0; i < manifest->service_count; i++)
    if (manifest->services[i].hash == *(uint64_t *)key)
      return FALSE;
  return TRUE;
}

/* update_load_tables() - keeps one table for each service in force, and no others */
static void
update_load_tables (router_t *router)
{
  manifest_t *manifest = data_task_manifest (router->data_task);

  if (manifest == NULL)
    return;
  g_hash_table_foreach_remove (router->loads, is_unused_service, manifest);
  for (uint32_t i = 0; i < manifest->service_count; i++)
    {
      uint64_t hash = manifest->services[i].hash;
      router_loads_t *loads;

      if (g_hash_table_contains (router->loads, &hash))
        continue;
      loads = g_new0 (router_loads_t, 1);
      load_samples_init (&loads->table, router->request_id_high + i);
      g_hash_table_insert (router->loads, g_memdup2 (&hash, sizeof hash), loads);
    }
}

static void
on_configuration_changed (void *context)
{
  router_t *router = context;

  update_members (router);
  update_load_tables (router);
  router_pools_rebuild (router);
}

static void
make_counters (router_t *router)
{
  counter_registry_t *registry = router->daemon->counters;
  char name[128];

  router->hops = counter_get (registry, "medlarplank_hops_total", "Requests sent to sidecars.");
  router->retries = counter_get (registry, "medlarplank_retries_total",
                                 "Requests sent again that may have run before.");
  router->revokes =
      counter_get (registry, "medlarplank_revokes_total", "Attempts given up at a sidecar.");
  router->probes =
      counter_get (registry, "medlarplank_probes_total", "Quiet hosts asked whether they run.");
  router->served_hints_sent = counter_get (registry, "medlarplank_served_hints_total",
                                           "Homes told where a chat was served.");
  for (uint32_t i = 0; i <= VERDICT_RAN; i++)
    {
      snprintf (name, sizeof name, "medlarplank_requests_total{verdict=\"%s\"}",
                verdict_to_string (i));
      router->ended[i] =
          counter_get (registry, name, "Requests of callers that ended, by verdict.");
    }
  for (uint32_t i = 0; i < VERDICT_REASON_COUNT; i++)
    {
      snprintf (name, sizeof name, "medlarplank_hop_failures_total{reason=\"%s\"}",
                verdict_reason_to_string (i));
      router->hop_failures[i] =
          counter_get (registry, name, "Hops that brought no answer, by reason.");
    }
}

uint64_t
router_known_incarnation (const router_t *router, uint64_t engine_hash)
{
  const uint64_t *known = g_hash_table_lookup (router->incarnations, &engine_hash);

  return known != NULL ? *known : 0;
}

void
router_record_incarnation (router_t *router, uint64_t engine_hash, uint64_t incarnation)
{
  uint64_t known = router_known_incarnation (router, engine_hash);

  if (incarnation <= known)
    return;
  if (known != 0)
    health_forget (router->health, engine_hash);
  g_hash_table_replace (router->incarnations, g_memdup2 (&engine_hash, sizeof engine_hash),
                        g_memdup2 (&incarnation, sizeof incarnation));
}

router_t *
router_new (daemon_t *daemon, struct event_base *base, GError **error)
{
  router_t *router = g_new0 (router_t, 1);
  data_task_options_t options = { .daemon = daemon,
                                  .base = base,
                                  .on_call = router_accept,
                                  .on_sealed = on_sealed,
                                  .ready = is_ready,
                                  .in_flight = count_in_flight,
                                  .status = add_status,
                                  .changed = on_configuration_changed,
                                  .stopping = on_stopping,
                                  .context = router };

  router->daemon = daemon;
  router->base = base;
  router->data_task = data_task_new (&options, error);
  if (router->data_task == NULL)
    {
      g_free (router);
      return NULL;
    }
  router->http_client = http_client_new (base, ROUTER_IDLE_CONNECTIONS, ROUTER_IDLE_TIMEOUT_MS);
  router->health = health_new ();
  forwarding_budget_init (&router->retry_budget);
  router->incarnations = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  router->loads = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  router->host_probes = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                               (GDestroyNotify)router_host_probe_free);
  router->served_hints = g_new0 (router_hint_t, ROUTER_HINT_ENTRIES);
  router->answered_requests = recent_answers_new (ROUTER_ANSWERED_ENTRIES, ROUTER_ANSWERED_TTL_US);
  router->requests_in_flight = in_flight_new ();
  byte_budget_init (&router->control_budget, daemon->settings.control_budget_bytes,
                    clock_now_us (&daemon->clock));
  router->suspects = suspect_new (LIMIT_SUSPECTS, ROUTER_SUSPECT_TTL_US);
  g_queue_init (&router->calls);
  /* The name is included because two routers may start in the same millisecond, and must not use
   * the same attempt ids. */
  router->request_id_high = rendezvous_hash_name (daemon->settings.name) + daemon->incarnation;
  make_counters (router);
  return router;
}

void
router_free (router_t *router)
{
  if (router == NULL)
    return;
  while (router->calls.head != NULL)
    {
      router_call_t *call = router->calls.head->data;

      if (call->inbound != NULL)
        http_server_abort (call->inbound);
      router_call_free (call);
    }
  g_hash_table_destroy (router->host_probes);
  data_task_free (router->data_task);
  http_client_free (router->http_client);
  health_free (router->health);
  router_pools_clear (router);
  g_hash_table_destroy (router->incarnations);
  g_hash_table_destroy (router->loads);
  g_free (router->served_hints);
  recent_answers_free (router->answered_requests);
  in_flight_free (router->requests_in_flight);
  suspect_free (router->suspects);
  g_free (router);
}

void
router_handle_message (mailbox_message_t *message, void *context)
{
  router_t *router = context;

  if (!data_task_handle_message (router->data_task, message) &&
      message->kind == MESSAGE_LOAD_SAMPLES)
    router_merge_samples (router, (message_load_samples_t *)message);
}
