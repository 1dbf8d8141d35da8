#include "request/router/router_private.h"

#include "base/log.h"

#include <stdio.h>

static bool
ready (void *context)
{
  const rtr_t *rtr = context;

  /* The platform's list may be read before it holds anything. */
  for (uint32_t i = 0; i < rtr->pool_count; i++)
    if (rtr->pools[i].near.count + rtr->pools[i].far.count > 0)
      return true;
  return false;
}

static uint32_t
in_flight (void *context)
{
  const rtr_t *rtr = context;

  return rtr->calls.length;
}

static void
status (json_t *out, void *context)
{
  const rtr_t *rtr = context;
  json_t *services = json_object ();
  const man_t *man = ops_man (rtr->ops);

  for (uint32_t i = 0; i < rtr->pool_count; i++)
    json_object_set_new (services, man->services[i].name,
                         json_integer (rtr->pools[i].near.count + rtr->pools[i].far.count));
  json_object_set_new (out, "engines", services);
  json_object_set_new (out, "load", json_integer (rtr->calls.length));
  json_object_set_new (out, "retry_budget_milli",
                       json_integer ((json_int_t)rtr->budget.tokens_milli));
}

static bool
on_sealed (hsv_call_t *call, const char *path, void *context)
{
  (void)call;
  (void)path;
  (void)context;
  return false;
}

static void
stopping (void *context)
{
  const rtr_t *rtr = context;

  log_event (LOG_LEVEL_NOTICE, "stopping", "in_flight", LOG_U64 (rtr->calls.length), NULL);
}

static gboolean
is_unlisted (gpointer key, gpointer value, gpointer context)
{
  const mem_snapshot_t *members = context;

  (void)value;
  return mem_find_hash (members, *(uint64_t *)key) == NULL;
}

/* learn_members() - a host that restarted is judged anew */
static void
learn_members (rtr_t *rtr)
{
  mem_snapshot_t *members = ops_members (rtr->ops);

  if (members == NULL)
    return;
  for (uint32_t i = 0; i < members->host_count; i++)
    rtr_learn_incarnation (rtr, members->hosts[i].hash, members->hosts[i].incarnation);
  g_hash_table_foreach_remove (rtr->incarnations, is_unlisted, members);
  g_hash_table_foreach_remove (rtr->watches, is_unlisted, members);
}

static gboolean
is_unserved (gpointer key, gpointer value, gpointer context)
{
  const man_t *man = context;

  (void)value;
  for (uint32_t i = 0; i < man->service_count; i++)
    if (man->services[i].hash == *(uint64_t *)key)
      return FALSE;
  return TRUE;
}

/* prepare_loads() - one table for each service in force, and no other */
static void
prepare_loads (rtr_t *rtr)
{
  man_t *man = ops_man (rtr->ops);

  if (man == NULL)
    return;
  g_hash_table_foreach_remove (rtr->loads, is_unserved, man);
  for (uint32_t i = 0; i < man->service_count; i++)
    {
      uint64_t hash = man->services[i].hash;
      rtr_loads_t *loads;

      if (g_hash_table_contains (rtr->loads, &hash))
        continue;
      loads = g_new0 (rtr_loads_t, 1);
      mean_init (&loads->table, rtr->id_high + i);
      g_hash_table_insert (rtr->loads, g_memdup2 (&hash, sizeof hash), loads);
    }
}

static void
changed (void *context)
{
  rtr_t *rtr = context;

  learn_members (rtr);
  prepare_loads (rtr);
  rtr_place_rebuild (rtr);
}

static void
make_counters (rtr_t *rtr)
{
  cnt_set_t *set = rtr->dmn->counters;
  char name[128];

  rtr->hops = cnt_get (set, "medlarplank_hops_total", "Requests sent to sidecars.");
  rtr->retries =
      cnt_get (set, "medlarplank_retries_total", "Requests sent again that may have run before.");
  rtr->revokes = cnt_get (set, "medlarplank_revokes_total", "Attempts given up at a sidecar.");
  rtr->probes = cnt_get (set, "medlarplank_probes_total", "Quiet hosts asked whether they run.");
  rtr->told_count =
      cnt_get (set, "medlarplank_served_hints_total", "Homes told where a chat was served.");
  for (uint32_t i = 0; i <= VRD_RAN; i++)
    {
      snprintf (name, sizeof name, "medlarplank_requests_total{verdict=\"%s\"}", vrd_name (i));
      rtr->ends[i] = cnt_get (set, name, "Requests of callers that ended, by verdict.");
    }
  for (uint32_t i = 0; i < VRD_REASON_COUNT; i++)
    {
      snprintf (name, sizeof name, "medlarplank_hop_failures_total{reason=\"%s\"}",
                vrd_reason_name (i));
      rtr->reasons[i] = cnt_get (set, name, "Hops that brought no answer, by reason.");
    }
}

uint64_t
rtr_incarnation (const rtr_t *rtr, uint64_t engine_hash)
{
  const uint64_t *known = g_hash_table_lookup (rtr->incarnations, &engine_hash);

  return known != NULL ? *known : 0;
}

void
rtr_learn_incarnation (rtr_t *rtr, uint64_t engine_hash, uint64_t incarnation)
{
  uint64_t known = rtr_incarnation (rtr, engine_hash);

  if (incarnation <= known)
    return;
  if (known != 0)
    hlt_forget (rtr->hlt, engine_hash);
  g_hash_table_replace (rtr->incarnations, g_memdup2 (&engine_hash, sizeof engine_hash),
                        g_memdup2 (&incarnation, sizeof incarnation));
}

rtr_t *
rtr_new (dmn_t *dmn, struct event_base *base, GError **error)
{
  rtr_t *rtr = g_new0 (rtr_t, 1);
  ops_options_t options = { .dmn = dmn,
                            .base = base,
                            .on_call = rtr_accept,
                            .on_sealed = on_sealed,
                            .ready = ready,
                            .in_flight = in_flight,
                            .status = status,
                            .changed = changed,
                            .stopping = stopping,
                            .context = rtr };

  rtr->dmn = dmn;
  rtr->base = base;
  rtr->ops = ops_new (&options, error);
  if (rtr->ops == NULL)
    {
      g_free (rtr);
      return NULL;
    }
  rtr->hcl = hcl_new (base, RTR_IDLE_CONNECTIONS, RTR_IDLE_TIMEOUT_MS);
  rtr->hlt = hlt_new ();
  att_budget_init (&rtr->budget);
  rtr->incarnations = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  rtr->loads = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  rtr->watches =
      g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, (GDestroyNotify)rtr_watch_free);
  rtr->told = g_new0 (rtr_told_t, RTR_TOLD_ENTRIES);
  rtr->prv = prv_new (RTR_PROVEN_ENTRIES, RTR_PROVEN_US);
  rtr->uwy = uwy_new ();
  bdg_init (&rtr->news_budget, dmn->set.control_budget_bytes, clk_now_us (&dmn->clk));
  rtr->suspects = sus_new (LIM_SUSPECTS, RTR_SUSPECT_US);
  g_queue_init (&rtr->calls);
  /* Two routers that start in the same millisecond must not share attempt ids. */
  rtr->id_high = plc_hash_name (dmn->set.name) + dmn->incarnation;
  make_counters (rtr);
  return rtr;
}

void
rtr_free (rtr_t *rtr)
{
  if (rtr == NULL)
    return;
  while (rtr->calls.head != NULL)
    {
      rtr_call_t *call = rtr->calls.head->data;

      if (call->in != NULL)
        hsv_abort (call->in);
      rtr_call_free (call);
    }
  g_hash_table_destroy (rtr->watches);
  ops_free (rtr->ops);
  hcl_free (rtr->hcl);
  hlt_free (rtr->hlt);
  rtr_place_clear (rtr);
  g_hash_table_destroy (rtr->incarnations);
  g_hash_table_destroy (rtr->loads);
  g_free (rtr->told);
  prv_free (rtr->prv);
  uwy_free (rtr->uwy);
  sus_free (rtr->suspects);
  g_free (rtr);
}

void
rtr_message (mbx_message_t *message, void *context)
{
  rtr_t *rtr = context;

  if (!ops_message (rtr->ops, message) && message->kind == MSG_SAMPLES)
    rtr_place_samples (rtr, (msg_samples_t *)message);
}
