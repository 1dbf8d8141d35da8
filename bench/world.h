/**
 * DOC: world
 *
 * Discrete-event simulation of engines, routers and their clients in virtual time. The decisions
 * are made by the product's own code: the choice of candidates, attempts, admission, mean load,
 * membership and engine health. The network is not modelled: requests and gossip messages arrive
 * without delay. An engine takes a fixed time for each uncached prompt token and for each output
 * token, independent of its load.
 */
#ifndef BENCH_WORLD_H
#define BENCH_WORLD_H

#include "cache.h"
#include "events.h"
#include "figures.h"
#include "workload.h"

#include "request/policy/admit.h"
#include "request/policy/attempt.h"
#include "request/policy/choose.h"
#include "request/policy/health.h"
#include "request/policy/member.h"

#include <glib.h>

/** enum wld_policy - how routers choose engines: the product's policy and its baselines */
typedef enum
{
  WLD_FULL,       /* the product's policy */
  WLD_BOUNDED,    /* rendezvous hashing with bounded loads, without directory and referrals */
  WLD_RENDEZVOUS, /* always the first candidate of rendezvous hashing */
  WLD_LEAST,      /* the least loaded engine by the load samples that the router has received */
  WLD_ORACLE,     /* the least loaded engine by the true loads */
  WLD_RANDOM,     /* a random engine */
  WLD_POLICIES    /* number of policies */
} wld_policy_t;

/** enum wld_fault - what goes wrong during the measurement */
typedef enum
{
  WLD_STEADY,  /* nothing */
  WLD_SURGE,   /* one small account sends 100 times its rate for a minute */
  WLD_JOIN,    /* two engines are added, one after the other */
  WLD_ROLLING, /* engines are replaced under their names, one per cache lifetime */
  WLD_FLAP,    /* an engine is unreachable for 5 s in every 30 s */
  WLD_CENTER,  /* a third of the engines crash at once and return empty after a minute */
  WLD_DARK,    /* routers can't reach an engine, while its gossip reaches all daemons */
  WLD_LATE,    /* as rolling, with host lists that are 3 to 7 s late */
  WLD_FAULTS   /* number of faults */
} wld_fault_t;

/**
 * struct wld_options - settings of one run
 * @bound_percent: load bound in percent of the mean load; 0 for the workload's own
 * @warm_up_us: virtual time before the measurement and the fault begin
 * @window_us: virtual time that is measured after the warm-up
 * @without_fault: run with the same sessions and window as @fault, but without the fault
 */
typedef struct
{
  const wkl_t *workload;
  wld_policy_t policy;
  wld_fault_t fault;
  uint32_t engine_count;
  uint32_t router_count;
  uint32_t bound_percent;
  uint64_t seed;
  uint64_t warm_up_us;
  uint64_t window_us;
  bool without_fault;
} wld_options_t;

extern const char *const wld_policy_names[WLD_POLICIES];
extern const char *const wld_fault_names[WLD_FAULTS];

/** wld_window_us() - how long a fault has to be measured */
uint64_t wld_window_us (const wkl_t *workload, wld_fault_t fault, uint32_t engine_count);
/** wld_run() - simulates one run; @figures are to be cleared by fig_clear() */
void wld_run (const wld_options_t *options, fig_t *figures);

#endif
