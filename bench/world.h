/**
 * DOC: world
 *
 * Engines, routers and callers of the benchmark in virtual time. The decisions are those of the
 * product: chs_choose(), att_*, adm_*, mean_*, mem_*, hlt_*. There is no model of a network: a hop
 * takes no time, and an exchange arrives at once. Engines take a time for each prompt token that
 * is not cached and for each output token, whatever else they run.
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

typedef enum
{
  WLD_FULL,
  WLD_BOUNDED,    /* bounded load over rendezvous candidates: no directory, no referral */
  WLD_RENDEZVOUS, /* always the first candidate */
  WLD_LEAST,      /* least loaded by the samples that the router has heard */
  WLD_ORACLE,     /* least loaded by the true loads */
  WLD_RANDOM,
  WLD_POLICIES
} wld_policy_t;

typedef enum
{
  WLD_STEADY,
  WLD_SURGE,   /* one small account a hundredfold for a minute */
  WLD_JOIN,    /* two engines more, one after the other */
  WLD_ROLLING, /* every engine replaced under its name, one each cache lifetime */
  WLD_FLAP,    /* an engine unreachable for five seconds, again and again */
  WLD_CENTER,  /* a third of the engines lost at once, back after a minute, empty */
  WLD_DARK,    /* an engine that no router reaches, while all daemons hear it */
  WLD_LATE,    /* as rolling, with lists 3 to 7 seconds late, each view by its own time */
  WLD_FAULTS
} wld_fault_t;

/**
 * struct wld_options - one run
 * @window_us: measured, after the warm-up
 * @bound_percent: 0 for the workload's
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
  bool calm; /* the fault's run without the fault, over the same window */
} wld_options_t;

extern const char *const wld_policy_names[WLD_POLICIES];
extern const char *const wld_fault_names[WLD_FAULTS];

/** wld_window_us() - how long a fault is to be measured for */
uint64_t wld_window_us (const wkl_t *workload, wld_fault_t fault, uint32_t engine_count);
/** wld_run() - one run; @figures to be cleared by fig_clear() */
void wld_run (const wld_options_t *options, fig_t *figures);

#endif
