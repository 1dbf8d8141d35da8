#include "world.h"

#include "world_parts.h"

#include <stdio.h>
#include <string.h>

#define MAX_VIEWS 32
#define JOINING_ENGINES 2 /* added by the fault "join" */
#define EXCHANGE_AFTER_END_US                                                                      \
  (120 * (uint64_t)CLOCK_US_PER_S) /* until the last requests have ended */
#define LIST_LAG_MIN_US (CLOCK_US_PER_S / 5)
#define LIST_LAG_MAX_US (3 * CLOCK_US_PER_S / 2)
#define LATE_LIST_LAG_MIN_US (3 * CLOCK_US_PER_S)
#define LATE_LIST_LAG_MAX_US (7 * CLOCK_US_PER_S)

const char *const wld_policy_names[WLD_POLICIES] = { "full",  "bounded", "rendezvous",
                                                     "least", "oracle",  "random" };
const char *const wld_fault_names[WLD_FAULTS] = { "steady", "surge",  "join", "rolling",
                                                  "flap",   "center", "dark", "late" };

static uint64_t
draw_list_lag_us (wld_t *sim)
{
  const bool late = sim->options.fault == WLD_LATE;
  const uint64_t min_us = late ? LATE_LIST_LAG_MIN_US : LIST_LAG_MIN_US;
  const uint64_t max_us = late ? LATE_LIST_LAG_MAX_US : LIST_LAG_MAX_US;
  return min_us + rnd_next (&sim->random_events) % (max_us - min_us);
}

static void
init_engines (wld_t *sim)
{
  sim->engine_count = sim->options.engine_count + JOINING_ENGINES;
  sim->engines = g_new0 (wld_engine_t, sim->engine_count);
  for (uint32_t i = 0; i < sim->engine_count; i++)
    {
      wld_engine_t *engine = &sim->engines[i];
      snprintf (engine->name, sizeof engine->name, "engine-%u", i);
      engine->hash = rendezvous_hash_name (engine->name);
      engine->index = i;
      engine->daemon.engine = engine;
      g_queue_init (&engine->running);
      g_hash_table_insert (sim->engines_by_hash, &engine->hash, engine);
    }
}

static void
init_views (wld_t *sim)
{
  const uint32_t daemons = sim->engine_count + sim->options.router_count;
  sim->view_count = MIN (daemons, MAX_VIEWS);
  sim->views = g_new0 (wld_view_t, sim->view_count);
  for (uint32_t i = 0; i < sim->view_count; i++)
    {
      sim->views[i].lag_us = draw_list_lag_us (sim);
      lst_open (sim, &sim->views[i]);
    }
}

static void
schedule_exchanges (wld_t *sim)
{
  for (uint32_t i = 0; i < lst_daemon_count (sim); i++)
    evt_add (&sim->events, rnd_below (&sim->random_events, WLD_EXCHANGE_US), EVT_EXCHANGE, i, NULL);
}

static void
init_world (wld_t *sim, const wld_options_t *options, fig_t *figures)
{
  sim->options = *options;
  sim->figures = figures;
  sim->end_us = options->warm_up_us + options->window_us;
  sim->service_hash = rendezvous_hash_name (options->workload->name);
  sim->random_sessions = options->seed;
  sim->random_surge = options->seed ^ 0x5u;
  sim->random_events = options->seed ^ 0xau;
  sim->engines_by_hash = g_hash_table_new (g_int64_hash, g_int64_equal);
  for (uint32_t i = 0; i < WKL_ACCOUNTS; i++)
    sim->account_hash[i] = rendezvous_hash_chat ("account", options->workload->name) + i;
  sim->loads.load_limit = options->workload->slots + 2;
  sim->loads.engines_with_load = g_new0 (uint32_t, sim->loads.load_limit);
  init_engines (sim);
  init_views (sim);
  for (uint32_t i = 0; i < sim->engine_count; i++)
    sim->engines[i].daemon.view = &sim->views[i % sim->view_count];
  for (uint32_t i = 0; i < options->engine_count; i++)
    eng_open (sim, &sim->engines[i], false);
  sim->routers = g_new0 (wld_router_t, options->router_count);
  for (uint32_t i = 0; i < options->router_count; i++)
    rtr_open (sim, &sim->routers[i], i);
}

static void
clear_world (wld_t *sim)
{
  for (uint32_t i = 0; i < sim->engine_count; i++)
    if (sim->engines[i].present)
      eng_close (sim, &sim->engines[i]);
  for (uint32_t i = 0; i < sim->options.router_count; i++)
    rtr_close (&sim->routers[i]);
  for (uint32_t i = 0; i < sim->view_count; i++)
    lst_close (&sim->views[i]);
  evt_clear (&sim->events);
  g_hash_table_destroy (sim->engines_by_hash);
  g_free (sim->loads.engines_with_load);
  g_free (sim->engines);
  g_free (sim->routers);
  g_free (sim->views);
}

static void
run_exchange (wld_t *sim, uint32_t number)
{
  lst_exchange (sim, number);
  if (sim->now_us >= sim->end_us + EXCHANGE_AFTER_END_US)
    return;
  const uint64_t jitter_us = rnd_below (&sim->random_events, WLD_EXCHANGE_US / 5);
  evt_add (&sim->events, sim->now_us + WLD_EXCHANGE_US - WLD_EXCHANGE_US / 10 + jitter_us,
           EVT_EXCHANGE, number, NULL);
}

static void
resume_session (wld_t *sim, wkl_session_t *session)
{
  if (sim->now_us >= sim->end_us)
    {
      g_free (session);
      return;
    }
  const uint32_t router =
      (uint32_t)((session->chat_hash >> 7) + session->turn) % sim->options.router_count;
  rtr_begin (sim, &sim->routers[router], session);
}

static void
handle_event (wld_t *sim, const evt_t *event)
{
  switch ((evt_kind_t)event->kind)
    {
    case EVT_SESSION:
      flt_session (sim, false);
      break;
    case EVT_SURGE_SESSION:
      flt_session (sim, true);
      break;
    case EVT_RETURN:
      resume_session (sim, event->data);
      break;
    case EVT_FINISH:
      eng_finish (sim, event->data);
      break;
    case EVT_EXCHANGE:
      run_exchange (sim, event->number);
      break;
    case EVT_FAULT:
      if (sim->now_us < sim->end_us)
        flt_happen (sim, event->number, event->data);
      break;
    case EVT_LIST:
      lst_arrive (sim, &sim->views[event->number], event->data);
      break;
    }
}

void
wld_run (const wld_options_t *options, fig_t *figures)
{
  wld_t sim;
  evt_t event;
  memset (&sim, 0, sizeof sim);
  memset (figures, 0, sizeof *figures);
  init_world (&sim, options, figures);
  schedule_exchanges (&sim);
  flt_plan (&sim);
  evt_add (&sim.events, 1, EVT_SESSION, 0, NULL);
  while (evt_take (&sim.events, &event))
    {
      sim.now_us = event.at_us;
      handle_event (&sim, &event);
    }
  clear_world (&sim);
}
