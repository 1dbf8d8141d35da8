/**
 * DOC: fleet_sim
 *
 * Discrete-event simulation of engines, routers and their clients in virtual time. The decisions
 * are made by the product's own code: the choice of candidates, attempts, admission, mean load,
 * membership and engine health. The network is not modelled: requests and gossip messages arrive
 * without delay. An engine takes a fixed time for each uncached prompt token and for each output
 * token, independent of its load.
 */
#ifndef BENCH_FLEET_SIM_H
#define BENCH_FLEET_SIM_H

#include "cache_model.h"
#include "event_queue.h"
#include "figures.h"
#include "workload.h"

#include "request/policy/queueing/admission.h"
#include "request/policy/retries/forwarding.h"
#include "request/policy/placement/candidates.h"
#include "request/policy/engines/health.h"
#include "request/policy/engines/membership.h"

#include <glib.h>

/** enum fleet_sim_policy - how routers choose engines: the product's policy and its baselines */
typedef enum
{
  FLEET_SIM_POLICY_FULL,         /* the product's policy */
  FLEET_SIM_POLICY_BOUNDED,      /* rendezvous hashing with bounded loads, without directory and
                                    referrals */
  FLEET_SIM_POLICY_RENDEZVOUS,   /* always the first candidate of rendezvous hashing */
  FLEET_SIM_POLICY_LEAST_LOADED, /* the least loaded engine by the load samples that the router has
                                    received */
  FLEET_SIM_POLICY_ORACLE,       /* the least loaded engine by the true loads */
  FLEET_SIM_POLICY_RANDOM,       /* a random engine */
  FLEET_SIM_POLICY_COUNT         /* number of policies */
} fleet_sim_policy_t;

/** enum fleet_sim_fault - what goes wrong during the measurement */
typedef enum
{
  FLEET_SIM_FAULT_NONE,        /* nothing */
  FLEET_SIM_FAULT_SURGE,       /* one small account sends 100 times its rate for a minute */
  FLEET_SIM_FAULT_JOIN,        /* two engines are added, one after the other */
  FLEET_SIM_FAULT_ROLLING,     /* engines are replaced under their names, one per cache lifetime */
  FLEET_SIM_FAULT_FLAP,        /* an engine is unreachable for 5 s in every 30 s */
  FLEET_SIM_FAULT_DATA_CENTER, /* a third of the engines crash at once and return empty after a
                                  minute */
  FLEET_SIM_FAULT_ROUTERS_BLOCKED, /* routers can't reach an engine, while its gossip reaches all
                                      daemons */
  FLEET_SIM_FAULT_LATE_LISTS,      /* as rolling, with host lists that are 3 to 7 s late */
  FLEET_SIM_FAULT_COUNT            /* number of faults */
} fleet_sim_fault_t;

/**
 * struct fleet_sim_options - settings of one run
 * @bound_percent: load bound in percent of the mean load; 0 for the workload's own
 * @warm_up_us: virtual time before the measurement and the fault begin
 * @window_us: virtual time that is measured after the warm-up
 * @without_fault: run with the same sessions and window as @fault, but without the fault
 */
typedef struct
{
  const workload_t *workload;
  fleet_sim_policy_t policy;
  fleet_sim_fault_t fault;
  uint32_t engine_count;
  uint32_t router_count;
  uint32_t bound_percent;
  uint64_t seed;
  uint64_t warm_up_us;
  uint64_t window_us;
  bool without_fault;
} fleet_sim_options_t;

extern const char *const fleet_sim_policy_names[FLEET_SIM_POLICY_COUNT];
extern const char *const fleet_sim_fault_names[FLEET_SIM_FAULT_COUNT];

/** fleet_sim_window_us() - how long a fault has to be measured */
uint64_t
fleet_sim_window_us (const workload_t *workload, fleet_sim_fault_t fault, uint32_t engine_count);
/** fleet_sim_run() - simulates one run; @figures are to be cleared by figures_clear() */
void fleet_sim_run (const fleet_sim_options_t *options, figures_t *figures);

#endif
