#include "world_parts.h"

#include <math.h>

#define SURGE_FACTOR 100.0
#define SURGE_DURATION_US (60 * CLK_US_PER_S)
#define REPLACEMENT_DELAY_US (40 * (uint64_t)CLK_US_PER_S)
#define FLAP_PERIOD_US (30 * (uint64_t)CLK_US_PER_S)
#define FLAP_OUTAGE_US (5 * CLK_US_PER_S)
#define DRAIN_POLL_US CLK_US_PER_S
#define DATA_CENTER_OUTAGE_US (60 * (uint64_t)CLK_US_PER_S)

typedef enum
{
  ACTION_SURGE_ON,
  ACTION_SURGE_OFF,
  ACTION_JOIN,
  ACTION_LEAVE,
  ACTION_CRASH,
  ACTION_DISCONNECT,
  ACTION_BLOCK_ROUTERS,
  ACTION_RECONNECT
} action_t;

static void
schedule_action (wld_t *world, uint64_t after_us, action_t action, wld_engine_t *engine)
{
  evt_add (&world->events, world->options.warm_up_us + after_us, EVT_FAULT, action, engine);
}

static void
plan_rolling (wld_t *world)
{
  const uint64_t step_us = (uint64_t)world->options.workload->cache_lifetime_s * CLK_US_PER_S;
  for (uint32_t i = 0; i < world->options.engine_count; i++)
    {
      schedule_action (world, i * step_us, ACTION_LEAVE, &world->engines[i]);
      schedule_action (world, i * step_us + REPLACEMENT_DELAY_US, ACTION_JOIN, &world->engines[i]);
    }
}

static void
plan_flap (wld_t *world)
{
  for (uint64_t from_us = 0; from_us < world->options.window_us; from_us += FLAP_PERIOD_US)
    {
      schedule_action (world, from_us, ACTION_DISCONNECT, &world->engines[0]);
      schedule_action (world, from_us + FLAP_OUTAGE_US, ACTION_RECONNECT, &world->engines[0]);
    }
}

static void
plan_data_center_outage (wld_t *world)
{
  for (uint32_t i = 0; i < world->options.engine_count; i += WLD_CENTERS)
    {
      schedule_action (world, 0, ACTION_CRASH, &world->engines[i]);
      schedule_action (world, DATA_CENTER_OUTAGE_US, ACTION_JOIN, &world->engines[i]);
    }
}

static double
session_rate (const wld_t *world)
{
  return world->options.workload->sessions_s * world->options.engine_count;
}

static uint64_t
next_session_us (wld_t *world, bool of_surge)
{
  const wkl_t *workload = world->options.workload;
  const double surge = workload->account_shares[workload->surging_account] * SURGE_FACTOR;
  const double rate = session_rate (world) * (of_surge ? surge : 1.0);
  uint64_t *random = of_surge ? &world->random_surge : &world->random_sessions;
  return world->now_us + (uint64_t)(rnd_exponential (random, 1e6 / rate)) + 1;
}

void
flt_session (wld_t *world, bool of_surge)
{
  if (world->now_us >= world->end_us || (of_surge && !world->surging))
    return;
  uint64_t *random = of_surge ? &world->random_surge : &world->random_sessions;
  const int32_t account = of_surge ? (int32_t)world->options.workload->surging_account : -1;
  wkl_session_t *session = wkl_session_new (world->options.workload, rnd_next (random), account);
  wld_router_t *router = &world->routers[rnd_below (random, world->options.router_count)];
  evt_add (&world->events, next_session_us (world, of_surge),
           of_surge ? EVT_SURGE_SESSION : EVT_SESSION, 0, NULL);
  rtr_begin (world, router, session);
}

void
flt_plan (wld_t *world)
{
  if (world->options.without_fault)
    return;
  const uint64_t lifetime_us = (uint64_t)world->options.workload->cache_lifetime_s * CLK_US_PER_S;
  switch (world->options.fault)
    {
    case WLD_SURGE:
      schedule_action (world, 0, ACTION_SURGE_ON, NULL);
      schedule_action (world, SURGE_DURATION_US, ACTION_SURGE_OFF, NULL);
      break;
    case WLD_JOIN:
      schedule_action (world, 0, ACTION_JOIN, &world->engines[world->options.engine_count]);
      schedule_action (world, lifetime_us, ACTION_JOIN,
                       &world->engines[world->options.engine_count + 1]);
      break;
    case WLD_ROLLING:
    case WLD_LATE:
      plan_rolling (world);
      break;
    case WLD_FLAP:
      plan_flap (world);
      break;
    case WLD_DARK:
      schedule_action (world, 0, ACTION_BLOCK_ROUTERS, &world->engines[0]);
      break;
    case WLD_CENTER:
      plan_data_center_outage (world);
      break;
    default:
      break;
    }
}

/* An engine that is still draining can't be replaced yet. */
static void
join_engine (wld_t *world, wld_engine_t *engine)
{
  if (engine->present)
    {
      evt_add (&world->events, world->now_us + DRAIN_POLL_US, EVT_FAULT, ACTION_JOIN, engine);
      return;
    }
  eng_open (world, engine, true);
  lst_change (world, engine, MEM_LIVE);
}

void
flt_happen (wld_t *world, uint32_t action, wld_engine_t *engine)
{
  switch ((action_t)action)
    {
    case ACTION_SURGE_ON:
      world->surging = true;
      flt_session (world, true);
      break;
    case ACTION_SURGE_OFF:
      world->surging = false;
      break;
    case ACTION_JOIN:
      join_engine (world, engine);
      break;
    case ACTION_LEAVE:
      eng_leave (world, engine);
      break;
    case ACTION_CRASH:
      eng_crash (world, engine);
      lst_change (world, engine, MEM_GONE);
      break;
    case ACTION_DISCONNECT:
      engine->reachable = false;
      eng_count (world, engine, false);
      lst_change (world, engine, MEM_GONE);
      break;
    case ACTION_BLOCK_ROUTERS:
      engine->blocked_for_routers = true;
      eng_count (world, engine, false);
      break;
    case ACTION_RECONNECT:
      engine->reachable = true;
      eng_count (world, engine, true);
      lst_change (world, engine, MEM_LIVE);
      break;
    }
}

uint64_t
wld_window_us (const wkl_t *workload, wld_fault_t fault, uint32_t engine_count)
{
  const uint64_t lifetime_us = (uint64_t)workload->cache_lifetime_s * CLK_US_PER_S;
  switch (fault)
    {
    case WLD_SURGE:
      return SURGE_DURATION_US;
    case WLD_ROLLING:
    case WLD_LATE:
      return lifetime_us * engine_count;
    case WLD_STEADY:
      return 4 * lifetime_us;
    default:
      return 2 * lifetime_us;
    }
}
