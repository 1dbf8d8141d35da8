#include "world.h"

#include "world_parts.h"

#include <stdio.h>
#include <string.h>

#define MAX_VIEWS 32
#define JOINING_ENGINES 2 /* added by the fault "join" */
#define EXCHANGE_AFTER_END_US                                                                      \
  (120 * (uint64_t)CLK_US_PER_S) /* until the last requests have ended */
#define LIST_LAG_MIN_US (CLK_US_PER_S / 5)
#define LIST_LAG_MAX_US (3 * CLK_US_PER_S / 2)
#define LATE_LIST_LAG_MIN_US (3 * CLK_US_PER_S)
#define LATE_LIST_LAG_MAX_US (7 * CLK_US_PER_S)

const char *const wld_policy_names[WLD_POLICIES] = { "full",  "bounded", "rendezvous",
                                                     "least", "oracle",  "random" };
const char *const wld_fault_names[WLD_FAULTS] = { "steady", "surge",  "join", "rolling",
                                                  "flap",   "center", "dark", "late" };

static uint64_t
draw_list_lag_us (wld_t *world)
{
  const bool late = world->options.fault == WLD_LATE;
  const uint64_t min_us = late ? LATE_LIST_LAG_MIN_US : LIST_LAG_MIN_US;
  const uint64_t max_us = late ? LATE_LIST_LAG_MAX_US : LIST_LAG_MAX_US;
  return min_us + rnd_next (&world->random_events) % (max_us - min_us);
}

static void
init_engines (wld_t *world)
{
  world->engine_count = world->options.engine_count + JOINING_ENGINES;
  world->engines = g_new0 (wld_engine_t, world->engine_count);
  for (uint32_t i = 0; i < world->engine_count; i++)
    {
      wld_engine_t *engine = &world->engines[i];
      snprintf (engine->name, sizeof engine->name, "engine-%u", i);
      engine->hash = plc_hash_name (engine->name);
      engine->index = i;
      engine->daemon.engine = engine;
      g_queue_init (&engine->running);
      g_hash_table_insert (world->engines_by_hash, &engine->hash, engine);
    }
}

static void
init_views (wld_t *world)
{
  const uint32_t daemons = world->engine_count + world->options.router_count;
  world->view_count = MIN (daemons, MAX_VIEWS);
  world->views = g_new0 (wld_view_t, world->view_count);
  for (uint32_t i = 0; i < world->view_count; i++)
    {
      world->views[i].lag_us = draw_list_lag_us (world);
      lst_open (world, &world->views[i]);
    }
}

static void
schedule_exchanges (wld_t *world)
{
  for (uint32_t i = 0; i < lst_daemon_count (world); i++)
    evt_add (&world->events, rnd_below (&world->random_events, WLD_EXCHANGE_US), EVT_EXCHANGE, i,
             NULL);
}

static void
init_world (wld_t *world, const wld_options_t *options, fig_t *figures)
{
  world->options = *options;
  world->figures = figures;
  world->end_us = options->warm_up_us + options->window_us;
  world->service_hash = plc_hash_name (options->workload->name);
  world->random_sessions = options->seed;
  world->random_surge = options->seed ^ 0x5u;
  world->random_events = options->seed ^ 0xau;
  world->engines_by_hash = g_hash_table_new (g_int64_hash, g_int64_equal);
  for (uint32_t i = 0; i < WKL_ACCOUNTS; i++)
    world->account_hash[i] = plc_hash_chat ("account", options->workload->name) + i;
  world->loads.load_limit = options->workload->slots + 2;
  world->loads.engines_with_load = g_new0 (uint32_t, world->loads.load_limit);
  init_engines (world);
  init_views (world);
  for (uint32_t i = 0; i < world->engine_count; i++)
    world->engines[i].daemon.view = &world->views[i % world->view_count];
  for (uint32_t i = 0; i < options->engine_count; i++)
    eng_open (world, &world->engines[i], false);
  world->routers = g_new0 (wld_router_t, options->router_count);
  for (uint32_t i = 0; i < options->router_count; i++)
    rtr_open (world, &world->routers[i], i);
}

static void
clear_world (wld_t *world)
{
  for (uint32_t i = 0; i < world->engine_count; i++)
    if (world->engines[i].present)
      eng_close (world, &world->engines[i]);
  for (uint32_t i = 0; i < world->options.router_count; i++)
    rtr_close (&world->routers[i]);
  for (uint32_t i = 0; i < world->view_count; i++)
    lst_close (&world->views[i]);
  evt_clear (&world->events);
  g_hash_table_destroy (world->engines_by_hash);
  g_free (world->loads.engines_with_load);
  g_free (world->engines);
  g_free (world->routers);
  g_free (world->views);
}

static void
run_exchange (wld_t *world, uint32_t number)
{
  lst_exchange (world, number);
  if (world->now_us >= world->end_us + EXCHANGE_AFTER_END_US)
    return;
  const uint64_t jitter_us = rnd_below (&world->random_events, WLD_EXCHANGE_US / 5);
  evt_add (&world->events, world->now_us + WLD_EXCHANGE_US - WLD_EXCHANGE_US / 10 + jitter_us,
           EVT_EXCHANGE, number, NULL);
}

static void
resume_session (wld_t *world, wkl_session_t *session)
{
  if (world->now_us >= world->end_us)
    {
      g_free (session);
      return;
    }
  const uint32_t router =
      (uint32_t)((session->chat_hash >> 7) + session->turn) % world->options.router_count;
  rtr_begin (world, &world->routers[router], session);
}

static void
handle_event (wld_t *world, const evt_t *event)
{
  switch ((evt_kind_t)event->kind)
    {
    case EVT_SESSION:
      flt_session (world, false);
      break;
    case EVT_SURGE_SESSION:
      flt_session (world, true);
      break;
    case EVT_RETURN:
      resume_session (world, event->data);
      break;
    case EVT_FINISH:
      eng_finish (world, event->data);
      break;
    case EVT_EXCHANGE:
      run_exchange (world, event->number);
      break;
    case EVT_FAULT:
      if (world->now_us < world->end_us)
        flt_happen (world, event->number, event->data);
      break;
    case EVT_LIST:
      lst_arrive (world, &world->views[event->number], event->data);
      break;
    }
}

void
wld_run (const wld_options_t *options, fig_t *figures)
{
  wld_t world;
  evt_t event;
  memset (&world, 0, sizeof world);
  memset (figures, 0, sizeof *figures);
  init_world (&world, options, figures);
  schedule_exchanges (&world);
  flt_plan (&world);
  evt_add (&world.events, 1, EVT_SESSION, 0, NULL);
  while (evt_take (&world.events, &event))
    {
      world.now_us = event.at_us;
      handle_event (&world, &event);
    }
  clear_world (&world);
}
