#include "fleet_sim_private.h"

/** struct change - a change of the platform's list that a view has not received yet */
typedef struct
{
  membership_list_entry_t listed;
} change_t;

static membership_list_entry_t
make_list_entry (const fleet_sim_engine_t *engine, membership_state_t state)
{
  membership_list_entry_t listed = { .state = state };
  g_strlcpy (listed.name, engine->name, sizeof listed.name);
  return listed;
}

static membership_report_t
make_own_report (const fleet_sim_engine_t *engine)
{
  return (membership_report_t){ .host_hash = engine->hash,
                                .incarnation = engine->incarnation,
                                .sequence = engine->sequence,
                                .state = engine->leaving ? MEMBERSHIP_LEAVING : MEMBERSHIP_LIVE };
}

static void
remember_report (fleet_sim_t *sim, fleet_sim_daemon_t *daemon, const membership_report_t *report)
{
  daemon->reports[daemon->next_report] = *report;
  daemon->reports_heard_us[daemon->next_report] = sim->now_us;
  daemon->next_report = (daemon->next_report + 1) % FLEET_SIM_REPORTS;
}

static void
send_reports (fleet_sim_t *sim, const fleet_sim_daemon_t *from, fleet_sim_daemon_t *to)
{
  if (from->engine != NULL)
    {
      const membership_report_t report = make_own_report (from->engine);
      fleet_sim_receive_report (sim, to, &report);
    }
  for (uint32_t i = 0; i < FLEET_SIM_REPORTS; i++)
    if (from->reports[i].host_hash != 0 &&
        from->reports_heard_us[i] + FLEET_SIM_REPORT_MAX_AGE_US > sim->now_us)
      fleet_sim_receive_report (sim, to, &from->reports[i]);
}

static void
send_samples (fleet_sim_t *sim, fleet_sim_daemon_t *from, fleet_sim_daemon_t *to)
{
  load_sample_t samples[LIMIT_LOAD_SAMPLES_PER_MESSAGE];
  uint32_t count = 0;
  if (from->engine != NULL && !from->engine->leaving)
    samples[count++] = admission_sample (from->engine->admission, sim->now_us);
  count += load_samples_pick (from->mean, sim->now_us, samples + count,
                              LIMIT_LOAD_SAMPLES_PER_MESSAGE - count);
  for (uint32_t i = 0; i < count; i++)
    {
      const bool own = to->engine != NULL && to->engine->hash == samples[i].engine_hash;
      if (!own && fleet_sim_view_has_engine (samples[i].engine_hash, to->view))
        load_samples_add (to->mean, &samples[i]);
    }
}

static bool
is_reachable (const fleet_sim_daemon_t *daemon)
{
  return daemon->engine == NULL || (daemon->engine->present && daemon->engine->reachable);
}

bool
fleet_sim_view_has_engine (uint64_t engine_hash, void *context)
{
  const fleet_sim_view_t *view = context;
  return g_hash_table_contains (view->live_hashes, &engine_hash);
}

/* The number of live engines is one of the options of admission. */
static void
configure_engines (fleet_sim_t *sim, const fleet_sim_view_t *view)
{
  for (uint32_t i = 0; i < sim->engine_count; i++)
    if (sim->engines[i].daemon.view == view && sim->engines[i].admission != NULL)
      fleet_sim_engine_configure (sim, &sim->engines[i]);
}

void
fleet_sim_view_rebuild (fleet_sim_t *sim, fleet_sim_view_t *view)
{
  if (!membership_has_changed (view->members))
    return;
  membership_snapshot_t *snapshot = membership_take_snapshot (view->members);
  view->engines = g_renew (rendezvous_engine_t, view->engines, snapshot->host_count);
  view->details = g_renew (candidates_engine_t, view->details, snapshot->host_count);
  view->count = 0;
  g_hash_table_remove_all (view->live_hashes);
  for (uint32_t i = 0; i < snapshot->host_count; i++)
    {
      const membership_host_t *host = &snapshot->hosts[i];
      if (host->state != MEMBERSHIP_LIVE)
        continue;
      fleet_sim_engine_t *engine = g_hash_table_lookup (sim->engines_by_hash, &host->hash);
      view->details[view->count] =
          (candidates_engine_t){ .joined_us = host->joined_us, .settled_us = host->settled_us };
      view->engines[view->count] =
          (rendezvous_engine_t){ .hash = host->hash, .index = view->count, .weight = 1.0f };
      view->count++;
      g_hash_table_add (view->live_hashes, &engine->hash);
    }
  membership_snapshot_unref (snapshot);
  configure_engines (sim, view);
}

void
fleet_sim_view_init (fleet_sim_t *sim, fleet_sim_view_t *view)
{
  g_autofree membership_list_entry_t *listed =
      g_new0 (membership_list_entry_t, sim->options.engine_count);
  for (uint32_t i = 0; i < sim->options.engine_count; i++)
    listed[i] = make_list_entry (&sim->engines[i], MEMBERSHIP_LIVE);
  view->sim = sim;
  view->members = membership_new ();
  view->live_hashes = g_hash_table_new (g_int64_hash, g_int64_equal);
  membership_apply_list (view->members, sim->now_us, listed, sim->options.engine_count, 1);
  fleet_sim_view_rebuild (sim, view);
}

void
fleet_sim_view_clear (fleet_sim_view_t *view)
{
  membership_free (view->members);
  g_hash_table_destroy (view->live_hashes);
  g_free (view->engines);
  g_free (view->details);
}

void
fleet_sim_change_list (fleet_sim_t *sim, const fleet_sim_engine_t *engine, membership_state_t state)
{
  for (uint32_t i = 0; i < sim->view_count; i++)
    {
      change_t *change = g_new0 (change_t, 1);
      change->listed = make_list_entry (engine, state);
      event_queue_add (&sim->events, sim->now_us + sim->views[i].lag_us,
                       FLEET_SIM_EVENT_LIST_CHANGE, i, change);
    }
}

void
fleet_sim_view_apply_change (fleet_sim_t *sim, fleet_sim_view_t *view, void *data)
{
  change_t *change = data;
  membership_apply_list_changes (view->members, sim->now_us, &change->listed, 1, 0);
  g_free (change);
  fleet_sim_view_rebuild (sim, view);
}

void
fleet_sim_receive_report (fleet_sim_t *sim,
                          fleet_sim_daemon_t *daemon,
                          const membership_report_t *report)
{
  if (!membership_apply_report (daemon->view->members, sim->now_us, report))
    return;
  remember_report (sim, daemon, report);
  if (report->state != MEMBERSHIP_LIVE)
    load_samples_forget (daemon->mean, report->host_hash);
  fleet_sim_view_rebuild (sim, daemon->view);
}

uint32_t
fleet_sim_daemon_count (const fleet_sim_t *sim)
{
  return sim->engine_count + sim->options.router_count;
}

fleet_sim_daemon_t *
fleet_sim_daemon_at (fleet_sim_t *sim, uint32_t number)
{
  if (number < sim->engine_count)
    return &sim->engines[number].daemon;
  return &sim->routers[number - sim->engine_count].daemon;
}

void
fleet_sim_send_gossip (fleet_sim_t *sim, fleet_sim_daemon_t *from, fleet_sim_daemon_t *to)
{
  if (from == to || !is_reachable (from) || !is_reachable (to))
    return;
  send_reports (sim, from, to);
  send_samples (sim, from, to);
}

void
fleet_sim_exchange_gossip (fleet_sim_t *sim, uint32_t number)
{
  fleet_sim_daemon_t *from = fleet_sim_daemon_at (sim, number);
  fleet_sim_daemon_t *to =
      fleet_sim_daemon_at (sim, random_below (&sim->random_events, fleet_sim_daemon_count (sim)));
  fleet_sim_send_gossip (sim, from, to);
  fleet_sim_send_gossip (sim, to, from);
  if (from->engine != NULL && from->engine->present)
    fleet_sim_engine_run_queue (sim, from->engine);
}
