#include "fleet_sim_private.h"

#include <math.h>

#define SURGE_FACTOR 100.0
#define SURGE_DURATION_US (60 * CLOCK_US_PER_S)
#define REPLACEMENT_DELAY_US (40 * (uint64_t)CLOCK_US_PER_S)
#define FLAP_PERIOD_US (30 * (uint64_t)CLOCK_US_PER_S)
#define FLAP_OUTAGE_US (5 * CLOCK_US_PER_S)
#define DRAIN_POLL_US CLOCK_US_PER_S
#define DATA_CENTER_OUTAGE_US (60 * (uint64_t)CLOCK_US_PER_S)

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
schedule_action (fleet_sim_t *sim, uint64_t after_us, action_t action, fleet_sim_engine_t *engine)
{
  event_queue_add (&sim->events, sim->options.warm_up_us + after_us, FLEET_SIM_EVENT_FAULT, action,
                   engine);
}

static void
plan_rolling (fleet_sim_t *sim)
{
  const uint64_t step_us = (uint64_t)sim->options.workload->cache_lifetime_s * CLOCK_US_PER_S;
  for (uint32_t i = 0; i < sim->options.engine_count; i++)
    {
      schedule_action (sim, i * step_us, ACTION_LEAVE, &sim->engines[i]);
      schedule_action (sim, i * step_us + REPLACEMENT_DELAY_US, ACTION_JOIN, &sim->engines[i]);
    }
}

static void
plan_flap (fleet_sim_t *sim)
{
  for (uint64_t from_us = 0; from_us < sim->options.window_us; from_us += FLAP_PERIOD_US)
    {
      schedule_action (sim, from_us, ACTION_DISCONNECT, &sim->engines[0]);
      schedule_action (sim, from_us + FLAP_OUTAGE_US, ACTION_RECONNECT, &sim->engines[0]);
    }
}

static void
plan_data_center_outage (fleet_sim_t *sim)
{
  for (uint32_t i = 0; i < sim->options.engine_count; i += FLEET_SIM_DATA_CENTERS)
    {
      schedule_action (sim, 0, ACTION_CRASH, &sim->engines[i]);
      schedule_action (sim, DATA_CENTER_OUTAGE_US, ACTION_JOIN, &sim->engines[i]);
    }
}

static double
session_rate (const fleet_sim_t *sim)
{
  return sim->options.workload->sessions_s * sim->options.engine_count;
}

static uint64_t
next_session_us (fleet_sim_t *sim, bool of_surge)
{
  const workload_t *workload = sim->options.workload;
  const double surge = workload->account_shares[workload->surging_account] * SURGE_FACTOR;
  const double rate = session_rate (sim) * (of_surge ? surge : 1.0);
  uint64_t *random = of_surge ? &sim->random_surge : &sim->random_sessions;
  return sim->now_us + (uint64_t)(random_exponential (random, 1e6 / rate)) + 1;
}

void
fleet_sim_start_session (fleet_sim_t *sim, bool of_surge)
{
  if (sim->now_us >= sim->end_us || (of_surge && !sim->surging))
    return;
  uint64_t *random = of_surge ? &sim->random_surge : &sim->random_sessions;
  const int32_t account = of_surge ? (int32_t)sim->options.workload->surging_account : -1;
  workload_session_t *session =
      workload_session_new (sim->options.workload, random_next (random), account);
  fleet_sim_router_t *router = &sim->routers[random_below (random, sim->options.router_count)];
  event_queue_add (&sim->events, next_session_us (sim, of_surge),
                   of_surge ? FLEET_SIM_EVENT_SURGE_SESSION : FLEET_SIM_EVENT_SESSION, 0, NULL);
  fleet_sim_router_send (sim, router, session);
}

void
fleet_sim_schedule_fault (fleet_sim_t *sim)
{
  if (sim->options.without_fault)
    return;
  const uint64_t lifetime_us = (uint64_t)sim->options.workload->cache_lifetime_s * CLOCK_US_PER_S;
  switch (sim->options.fault)
    {
    case FLEET_SIM_FAULT_SURGE:
      schedule_action (sim, 0, ACTION_SURGE_ON, NULL);
      schedule_action (sim, SURGE_DURATION_US, ACTION_SURGE_OFF, NULL);
      break;
    case FLEET_SIM_FAULT_JOIN:
      schedule_action (sim, 0, ACTION_JOIN, &sim->engines[sim->options.engine_count]);
      schedule_action (sim, lifetime_us, ACTION_JOIN, &sim->engines[sim->options.engine_count + 1]);
      break;
    case FLEET_SIM_FAULT_ROLLING:
    case FLEET_SIM_FAULT_LATE_LISTS:
      plan_rolling (sim);
      break;
    case FLEET_SIM_FAULT_FLAP:
      plan_flap (sim);
      break;
    case FLEET_SIM_FAULT_ROUTERS_BLOCKED:
      schedule_action (sim, 0, ACTION_BLOCK_ROUTERS, &sim->engines[0]);
      break;
    case FLEET_SIM_FAULT_DATA_CENTER:
      plan_data_center_outage (sim);
      break;
    default:
      break;
    }
}

/* An engine that is still draining can't be replaced yet. */
static void
join_engine (fleet_sim_t *sim, fleet_sim_engine_t *engine)
{
  if (engine->present)
    {
      event_queue_add (&sim->events, sim->now_us + DRAIN_POLL_US, FLEET_SIM_EVENT_FAULT,
                       ACTION_JOIN, engine);
      return;
    }
  fleet_sim_engine_start (sim, engine, true);
  fleet_sim_change_list (sim, engine, MEMBERSHIP_LIVE);
}

void
fleet_sim_run_fault_action (fleet_sim_t *sim, uint32_t action, fleet_sim_engine_t *engine)
{
  switch ((action_t)action)
    {
    case ACTION_SURGE_ON:
      sim->surging = true;
      fleet_sim_start_session (sim, true);
      break;
    case ACTION_SURGE_OFF:
      sim->surging = false;
      break;
    case ACTION_JOIN:
      join_engine (sim, engine);
      break;
    case ACTION_LEAVE:
      fleet_sim_engine_drain (sim, engine);
      break;
    case ACTION_CRASH:
      fleet_sim_engine_crash (sim, engine);
      fleet_sim_change_list (sim, engine, MEMBERSHIP_GONE);
      break;
    case ACTION_DISCONNECT:
      engine->reachable = false;
      fleet_sim_engine_set_counted (sim, engine, false);
      fleet_sim_change_list (sim, engine, MEMBERSHIP_GONE);
      break;
    case ACTION_BLOCK_ROUTERS:
      engine->blocked_for_routers = true;
      fleet_sim_engine_set_counted (sim, engine, false);
      break;
    case ACTION_RECONNECT:
      engine->reachable = true;
      fleet_sim_engine_set_counted (sim, engine, true);
      fleet_sim_change_list (sim, engine, MEMBERSHIP_LIVE);
      break;
    }
}

uint64_t
fleet_sim_window_us (const workload_t *workload, fleet_sim_fault_t fault, uint32_t engine_count)
{
  const uint64_t lifetime_us = (uint64_t)workload->cache_lifetime_s * CLOCK_US_PER_S;
  switch (fault)
    {
    case FLEET_SIM_FAULT_SURGE:
      return SURGE_DURATION_US;
    case FLEET_SIM_FAULT_ROLLING:
    case FLEET_SIM_FAULT_LATE_LISTS:
      return lifetime_us * engine_count;
    case FLEET_SIM_FAULT_NONE:
      return 4 * lifetime_us;
    default:
      return 2 * lifetime_us;
    }
}
