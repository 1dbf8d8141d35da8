#include "fleet_sim.h"

#include "fleet_sim_private.h"

#include <stdio.h>
#include <string.h>

#define MAX_VIEWS 32
#define JOINING_ENGINES 2 /* added by the fault "join" */
/* until the last requests have ended */
#define EXCHANGE_AFTER_END_US (120 * (uint64_t)CLOCK_US_PER_S)
#define LIST_LAG_MIN_US (CLOCK_US_PER_S / 5)
#define LIST_LAG_MAX_US (3 * CLOCK_US_PER_S / 2)
#define LATE_LIST_LAG_MIN_US (3 * CLOCK_US_PER_S)
#define LATE_LIST_LAG_MAX_US (7 * CLOCK_US_PER_S)

const char *const fleet_sim_policy_names[FLEET_SIM_POLICY_COUNT] = { "full",       "bounded",
                                                                     "rendezvous", "least",
                                                                     "oracle",     "random" };
const char *const fleet_sim_fault_names[FLEET_SIM_FAULT_COUNT] = { "steady",  "surge", "join",
                                                                   "rolling", "flap",  "center",
                                                                   "dark",    "late" };

static uint64_t
draw_list_lag_us (fleet_sim_t *sim)
{
  const bool late = sim->options.fault == FLEET_SIM_FAULT_LATE_LISTS;
  const uint64_t min_us = late ? LATE_LIST_LAG_MIN_US : LIST_LAG_MIN_US;
  const uint64_t max_us = late ? LATE_LIST_LAG_MAX_US : LIST_LAG_MAX_US;
  return min_us + random_next (&sim->random_events) % (max_us - min_us);
}

static void
init_engines (fleet_sim_t *sim)
{
  sim->engine_count = sim->options.engine_count + JOINING_ENGINES;
  sim->engines = g_new0 (fleet_sim_engine_t, sim->engine_count);
  for (uint32_t i = 0; i < sim->engine_count; i++)
    {
      fleet_sim_engine_t *engine = &sim->engines[i];
      snprintf (engine->name, sizeof engine->name, "engine-%u", i);
      engine->hash = rendezvous_hash_name (engine->name);
      engine->index = i;
      engine->daemon.engine = engine;
      g_queue_init (&engine->running);
      g_hash_table_insert (sim->engines_by_hash, &engine->hash, engine);
    }
}

static void
init_views (fleet_sim_t *sim)
{
  const uint32_t daemons = sim->engine_count + sim->options.router_count;
  sim->view_count = MIN (daemons, MAX_VIEWS);
  sim->views = g_new0 (fleet_sim_view_t, sim->view_count);
  for (uint32_t i = 0; i < sim->view_count; i++)
    {
      sim->views[i].lag_us = draw_list_lag_us (sim);
      fleet_sim_view_init (sim, &sim->views[i]);
    }
}

static void
schedule_exchanges (fleet_sim_t *sim)
{
  for (uint32_t i = 0; i < fleet_sim_daemon_count (sim); i++)
    event_queue_add (&sim->events, random_below (&sim->random_events, FLEET_SIM_GOSSIP_INTERVAL_US),
                     FLEET_SIM_EVENT_GOSSIP, i, NULL);
}

static void
init_world (fleet_sim_t *sim, const fleet_sim_options_t *options, figures_t *figures)
{
  sim->options = *options;
  sim->figures = figures;
  sim->end_us = options->warm_up_us + options->window_us;
  sim->service_hash = rendezvous_hash_name (options->workload->name);
  sim->random_sessions = options->seed;
  sim->random_surge = options->seed ^ 0x5u;
  sim->random_events = options->seed ^ 0xau;
  sim->engines_by_hash = g_hash_table_new (g_int64_hash, g_int64_equal);
  for (uint32_t i = 0; i < WORKLOAD_ACCOUNTS; i++)
    sim->account_hash[i] = rendezvous_hash_chat ("account", options->workload->name) + i;
  sim->loads.load_limit = options->workload->slots + 2;
  sim->loads.engines_with_load = g_new0 (uint32_t, sim->loads.load_limit);
  init_engines (sim);
  init_views (sim);
  for (uint32_t i = 0; i < sim->engine_count; i++)
    sim->engines[i].daemon.view = &sim->views[i % sim->view_count];
  for (uint32_t i = 0; i < options->engine_count; i++)
    fleet_sim_engine_start (sim, &sim->engines[i], false);
  sim->routers = g_new0 (fleet_sim_router_t, options->router_count);
  for (uint32_t i = 0; i < options->router_count; i++)
    fleet_sim_router_init (sim, &sim->routers[i], i);
}

static void
clear_world (fleet_sim_t *sim)
{
  for (uint32_t i = 0; i < sim->engine_count; i++)
    if (sim->engines[i].present)
      fleet_sim_engine_stop (sim, &sim->engines[i]);
  for (uint32_t i = 0; i < sim->options.router_count; i++)
    fleet_sim_router_clear (&sim->routers[i]);
  for (uint32_t i = 0; i < sim->view_count; i++)
    fleet_sim_view_clear (&sim->views[i]);
  event_queue_clear (&sim->events);
  g_hash_table_destroy (sim->engines_by_hash);
  g_free (sim->loads.engines_with_load);
  g_free (sim->engines);
  g_free (sim->routers);
  g_free (sim->views);
}

static void
run_exchange (fleet_sim_t *sim, uint32_t number)
{
  fleet_sim_exchange_gossip (sim, number);
  if (sim->now_us >= sim->end_us + EXCHANGE_AFTER_END_US)
    return;
  const uint64_t jitter_us = random_below (&sim->random_events, FLEET_SIM_GOSSIP_INTERVAL_US / 5);
  event_queue_add (&sim->events,
                   sim->now_us + FLEET_SIM_GOSSIP_INTERVAL_US - FLEET_SIM_GOSSIP_INTERVAL_US / 10 +
                       jitter_us,
                   FLEET_SIM_EVENT_GOSSIP, number, NULL);
}

static void
resume_session (fleet_sim_t *sim, workload_session_t *session)
{
  if (sim->now_us >= sim->end_us)
    {
      g_free (session);
      return;
    }
  const uint32_t router =
      (uint32_t)((session->chat_hash >> 7) + session->turn) % sim->options.router_count;
  fleet_sim_router_send (sim, &sim->routers[router], session);
}

static void
handle_event (fleet_sim_t *sim, const event_queue_entry_t *event)
{
  switch ((fleet_sim_event_kind_t)event->kind)
    {
    case FLEET_SIM_EVENT_SESSION:
      fleet_sim_start_session (sim, false);
      break;
    case FLEET_SIM_EVENT_SURGE_SESSION:
      fleet_sim_start_session (sim, true);
      break;
    case FLEET_SIM_EVENT_NEXT_TURN:
      resume_session (sim, event->data);
      break;
    case FLEET_SIM_EVENT_COMPLETION:
      fleet_sim_engine_complete (sim, event->data);
      break;
    case FLEET_SIM_EVENT_GOSSIP:
      run_exchange (sim, event->number);
      break;
    case FLEET_SIM_EVENT_FAULT:
      if (sim->now_us < sim->end_us)
        fleet_sim_run_fault_action (sim, event->number, event->data);
      break;
    case FLEET_SIM_EVENT_LIST_CHANGE:
      fleet_sim_view_apply_change (sim, &sim->views[event->number], event->data);
      break;
    }
}

void
fleet_sim_run (const fleet_sim_options_t *options, figures_t *figures)
{
  fleet_sim_t sim;
  event_queue_entry_t event;
  memset (&sim, 0, sizeof sim);
  memset (figures, 0, sizeof *figures);
  init_world (&sim, options, figures);
  schedule_exchanges (&sim);
  fleet_sim_schedule_fault (&sim);
  event_queue_add (&sim.events, 1, FLEET_SIM_EVENT_SESSION, 0, NULL);
  while (event_queue_pop (&sim.events, &event))
    {
      sim.now_us = event.at_us;
      handle_event (&sim, &event);
    }
  clear_world (&sim);
}
