/**
 * DOC: sim
 *
 * The gateway's decisions at work without a network: many gateways, each with its own view, place
 * the requests of a deployment at engines in virtual time. The decisions are the product's (spread,
 * engines, line, course, retry share, patience) or those of plain baselines; callers, engines and
 * faults are the same under each.
 */
#ifndef BENCH_GATEWAY_SIM_H
#define BENCH_GATEWAY_SIM_H

#include "site.h"

#include <stdint.h>

/** enum sim_policy - all but the first are baselines */
typedef enum
{
  SIM_FULL,
  SIM_UNCHARGED, /* the waiting line does not charge accounts */
  SIM_PATIENT,   /* all wait to their deadlines in one queue, whatever their aims; no load gauge */
  SIM_HASH,      /* rendezvous by the shared part, no bound, no line, no limit on retries */
  SIM_LEAST,     /* fewest own requests, else as SIM_HASH */
  SIM_RANDOM,    /* any engine, else as SIM_HASH */
  SIM_POLICIES
} sim_policy_t;

/** enum sim_fault - what goes wrong from SIM_FROM_US to SIM_TO_US */
typedef enum
{
  SIM_STEADY,
  SIM_BURST,       /* three times the traffic */
  SIM_HOT_PART,    /* one shared part takes 40% of the first kind's requests */
  SIM_HOT_ACCOUNT, /* as SIM_FEW, and one account sends 60% of all */
  SIM_GREY,        /* a quarter of the engines fails half of its requests */
  SIM_SLOW,        /* a quarter is slower by six */
  SIM_MUTE,        /* a quarter takes requests and never answers */
  SIM_CRASH,       /* a quarter breaks off what it runs and refuses connections */
  SIM_OVERLOAD,    /* seven times the traffic, of which one account sends 60% */
  SIM_FEW,         /* half of the engines or more leave, and traffic doubles */
  SIM_CROWDS,      /* requests come %SIM_CROWD at a time, seldomer by as much */
  SIM_FAULTS
} sim_fault_t;

#define SIM_CROWD 20

#define SIM_MEASURED_FROM_US (UINT64_C (5) * 1000 * 1000) /* caches and times have settled */
#define SIM_FROM_US (UINT64_C (10) * 1000 * 1000)
#define SIM_TO_US (UINT64_C (20) * 1000 * 1000)
#define SIM_SETTLED_US (SIM_TO_US + UINT64_C (2) * 1000 * 1000)
#define SIM_END_US (UINT64_C (35) * 1000 * 1000) /* the last request comes */

/** struct sim_options - @part: one in so many of the gateways, of the model engines and of the
 * requests; 0 counts as 1 */
typedef struct
{
  const sit_t *site;
  uint32_t part;
  sim_policy_t policy;
  sim_fault_t fault;
  uint64_t seed;
} sim_options_t;

/**
 * struct sim_count - what callers got
 * @on_time: whole, and begun within the kind's aim
 * @late: whole, but begun later
 * @refused: told that it has not run
 * @failed: an error, a cut or no answer in time
 * @late_refusals: refused when its last try had waited for over half of its time
 */
typedef struct
{
  uint32_t requests;
  uint32_t on_time;
  uint32_t late;
  uint32_t refused;
  uint32_t failed;
  uint32_t late_refusals;
} sim_count_t;

/**
 * struct sim_figures - of one run, after SIM_MEASURED_FROM_US
 * @quiet: of accounts that don't surge, and kinds of the plain service
 * @during: all requests that came while the fault lasted; @kinds: of each kind
 * @after: those that came later than %SIM_SETTLED_US
 * @sends: to engines
 * @early_refusals: refusals of requests that had been sent and had over half of their time left
 * @retries_most: arrivals at engines after a request's first, of all gateways, in any window, less
 * what the operators allow; above 0 is too many
 * @read_tokens, @prompt_tokens: that model engines read, and were asked
 * @peak_milli: highest load of a model engine at a dispatch against the mean of that moment,
 *   median over the dispatches, in thousandths
 * @over_cap: dispatches beyond twice the mean and three
 */
typedef struct
{
  sim_count_t all;
  sim_count_t during;
  sim_count_t quiet;
  sim_count_t after;
  sim_count_t kinds[SIT_KINDS];
  uint64_t sends;
  uint64_t early_refusals;
  int64_t retries_most;
  uint64_t read_tokens;
  uint64_t prompt_tokens;
  uint32_t peak_milli;
  uint64_t over_cap;
} sim_figures_t;

const char *sim_policy_name (sim_policy_t policy);
const char *sim_fault_name (sim_fault_t fault);
sim_figures_t sim_run (const sim_options_t *options);

#endif
