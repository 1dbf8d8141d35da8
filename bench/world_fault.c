#include "world_parts.h"

#include <math.h>

#define FLT_SURGE_FACTOR 100.0
#define FLT_SURGE_US (60 * CLK_US_PER_S)
#define FLT_AWAY_US (40 * (uint64_t)CLK_US_PER_S)
#define FLT_FLAP_EVERY_US (30 * (uint64_t)CLK_US_PER_S)
#define FLT_FLAP_US (5 * CLK_US_PER_S)
#define FLT_DRAIN_CHECK_US CLK_US_PER_S
#define FLT_CENTER_US (60 * (uint64_t)CLK_US_PER_S)

typedef enum
{
  ACT_SURGE_ON,
  ACT_SURGE_OFF,
  ACT_JOIN,
  ACT_LEAVE,
  ACT_CRASH,
  ACT_CUT,
  ACT_DARK,
  ACT_MEND
} action_t;

static void
at (wld_t *world, uint64_t after_us, action_t action, wld_engine_t *engine)
{
  evt_add (&world->events, world->options.warm_up_us + after_us, EVT_FAULT, action, engine);
}

static void
plan_rolling (wld_t *world)
{
  const uint64_t step_us = (uint64_t)world->options.workload->cache_lifetime_s * CLK_US_PER_S;
  for (uint32_t i = 0; i < world->options.engine_count; i++)
    {
      at (world, i * step_us, ACT_LEAVE, &world->engines[i]);
      at (world, i * step_us + FLT_AWAY_US, ACT_JOIN, &world->engines[i]);
    }
}

static void
plan_flap (wld_t *world)
{
  for (uint64_t from_us = 0; from_us < world->options.window_us; from_us += FLT_FLAP_EVERY_US)
    {
      at (world, from_us, ACT_CUT, &world->engines[0]);
      at (world, from_us + FLT_FLAP_US, ACT_MEND, &world->engines[0]);
    }
}

static void
plan_center (wld_t *world)
{
  for (uint32_t i = 0; i < world->options.engine_count; i += WLD_CENTERS)
    {
      at (world, 0, ACT_CRASH, &world->engines[i]);
      at (world, FLT_CENTER_US, ACT_JOIN, &world->engines[i]);
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
  const double surge = workload->account_shares[workload->surging_account] * FLT_SURGE_FACTOR;
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
  if (world->options.calm)
    return;
  const uint64_t lifetime_us = (uint64_t)world->options.workload->cache_lifetime_s * CLK_US_PER_S;
  switch (world->options.fault)
    {
    case WLD_SURGE:
      at (world, 0, ACT_SURGE_ON, NULL);
      at (world, FLT_SURGE_US, ACT_SURGE_OFF, NULL);
      break;
    case WLD_JOIN:
      at (world, 0, ACT_JOIN, &world->engines[world->options.engine_count]);
      at (world, lifetime_us, ACT_JOIN, &world->engines[world->options.engine_count + 1]);
      break;
    case WLD_ROLLING:
    case WLD_LATE:
      plan_rolling (world);
      break;
    case WLD_FLAP:
      plan_flap (world);
      break;
    case WLD_DARK:
      at (world, 0, ACT_DARK, &world->engines[0]);
      break;
    case WLD_CENTER:
      plan_center (world);
      break;
    default:
      break;
    }
}

/* A host that still drains is not replaced yet. */
static void
join (wld_t *world, wld_engine_t *engine)
{
  if (engine->present)
    {
      evt_add (&world->events, world->now_us + FLT_DRAIN_CHECK_US, EVT_FAULT, ACT_JOIN, engine);
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
    case ACT_SURGE_ON:
      world->surging = true;
      flt_session (world, true);
      break;
    case ACT_SURGE_OFF:
      world->surging = false;
      break;
    case ACT_JOIN:
      join (world, engine);
      break;
    case ACT_LEAVE:
      eng_leave (world, engine);
      break;
    case ACT_CRASH:
      eng_crash (world, engine);
      lst_change (world, engine, MEM_GONE);
      break;
    case ACT_CUT:
      engine->reachable = false;
      eng_count (world, engine, false);
      lst_change (world, engine, MEM_GONE);
      break;
    case ACT_DARK:
      engine->dark = true;
      eng_count (world, engine, false);
      break;
    case ACT_MEND:
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
      return FLT_SURGE_US;
    case WLD_ROLLING:
    case WLD_LATE:
      return lifetime_us * engine_count;
    case WLD_STEADY:
      return 4 * lifetime_us;
    default:
      return 2 * lifetime_us;
    }
}
