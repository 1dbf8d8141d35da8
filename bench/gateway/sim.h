/**
 * DOC: sim
 *
 * A simulation, in virtual time and without a network, of many gateways that send the requests of
 * one site to its engines. Each gateway has its own knowledge of the engines' load. The decisions
 * are made by the product's code (src/request/policy: spread, engines, line, course, retry_share,
 * patience) or by a simple baseline policy; clients, engines and faults are the same under each
 * policy.
 */
#ifndef BENCH_GATEWAY_SIM_H
#define BENCH_GATEWAY_SIM_H

#include "site.h"

#include <stdint.h>

/**
 * enum sim_policy - how gateways decide; all but SIM_FULL are baselines for comparison
 * @SIM_FULL: the product's decisions
 * @SIM_UNCHARGED: as SIM_FULL, but requests that start are not charged to their account, so the
 *   waiting queue is not fair between accounts
 * @SIM_PATIENT: as SIM_FULL, but every request may wait in one queue until its deadline, whatever
 *   its target time, and the gauge of the service's total load is not used
 * @SIM_COPIES: as SIM_FULL; engines copy shared parts from the engine that the decision names, and
 *   keep what each request alone has until their caches are full
 * @SIM_DIRECTORY: as SIM_COPIES, and gateways remember which engines hold parts
 * @SIM_HASH: the engine is chosen by rendezvous hashing of the shared prompt prefix, without a load
 *   bound, a waiting queue or a limit on retries
 * @SIM_LEAST: as SIM_HASH, but the engine with the fewest requests of this gateway is chosen
 * @SIM_RANDOM: as SIM_HASH, but a random engine is chosen
 * @SIM_UNSHARED: as SIM_FULL, with the setting shared-room off
 * @SIM_IDEAL: plain requests wait in one queue of all gateways, which knows the state of all
 *   engines at once; others as with SIM_LEAST
 * @SIM_POLICIES: the number of policies
 */
typedef enum
{
  SIM_FULL,
  SIM_UNCHARGED,
  SIM_PATIENT,
  SIM_COPIES,
  SIM_DIRECTORY,
  SIM_HASH,
  SIM_LEAST,
  SIM_RANDOM,
  SIM_UNSHARED,
  SIM_IDEAL,
  SIM_POLICIES
} sim_policy_t;

/**
 * enum sim_fault - what goes wrong from %SIM_FAULT_BEGIN_US to %SIM_FAULT_END_US
 * @SIM_STEADY: nothing
 * @SIM_BURST: three times the traffic
 * @SIM_HOT_PART: 40% of the requests of the first kind share one prompt prefix
 * @SIM_HOT_ACCOUNT: as SIM_FEW, and one account sends 60% of all requests
 * @SIM_GREY: a quarter of the engines fails half of its requests
 * @SIM_SLOW: a quarter of the engines takes six times as long
 * @SIM_MUTE: a quarter of the engines accepts requests and never answers
 * @SIM_CRASH: a quarter of the engines aborts its running requests and refuses connections
 * @SIM_OVERLOAD: seven times the traffic, of which one account sends 60%
 * @SIM_FEW: at least half of the engines of each service leave, and traffic doubles
 * @SIM_CROWDS: requests arrive in groups of %SIM_CROWD_SIZE, at the same average rate
 * @SIM_FAULTS: the number of faults
 */
typedef enum
{
  SIM_STEADY,
  SIM_BURST,
  SIM_HOT_PART,
  SIM_HOT_ACCOUNT,
  SIM_GREY,
  SIM_SLOW,
  SIM_MUTE,
  SIM_CRASH,
  SIM_OVERLOAD,
  SIM_FEW,
  SIM_CROWDS,
  SIM_FAULTS
} sim_fault_t;

#define SIM_ACCOUNTS_MAX 32 /* client accounts of a site */
#define SIM_CROWD_SIZE 20   /* requests that arrive at the same moment under SIM_CROWDS */

/* Requests that arrive earlier are not counted: caches are cold and durations are not known yet. */
#define SIM_MEASURED_FROM_US (UINT64_C (5) * 1000 * 1000)
#define SIM_FAULT_BEGIN_US (UINT64_C (10) * 1000 * 1000)
#define SIM_FAULT_END_US (UINT64_C (20) * 1000 * 1000)
/* Requests that arrive from here on must not be affected by the fault any more. */
#define SIM_RECOVERED_FROM_US (SIM_FAULT_END_US + UINT64_C (2) * 1000 * 1000)
#define SIM_ARRIVALS_END_US (UINT64_C (35) * 1000 * 1000) /* no request arrives later */

/**
 * struct sim_options - options of sim_run()
 * @site: the site to simulate
 * @scale_divisor: divides the numbers of gateways and of model engines and the request rates; the
 *   number of plain engines stays; 0 counts as 1
 * @gateways: number of gateways, instead of the site's; 0 for the site's
 * @seconds: length of the run, of which the second half is measured; 0 for
 *   %SIM_ARRIVALS_END_US, measured from %SIM_MEASURED_FROM_US on
 * @policy: how gateways decide
 * @fault: what goes wrong
 * @seed: of the random numbers; runs with equal options are identical
 * @traffic_milli: traffic during the fault, in thousandths of the usual; 0: as @fault has it
 * @surge_factor: by which the first account's traffic grows during the fault; 0: it does not
 * @fault_us: duration of the fault; 0 for the usual one
 */
typedef struct
{
  const site_t *site;
  uint32_t scale_divisor;
  uint32_t gateways;
  uint32_t seconds;
  sim_policy_t policy;
  sim_fault_t fault;
  uint64_t seed;
  uint32_t traffic_milli;
  uint32_t surge_factor;
  uint64_t fault_us;
} sim_options_t;

/**
 * struct sim_count - results of a set of requests, as their clients see them
 * @requests: all requests of the set
 * @on_time: answered completely, and the answer began within the target time of the kind
 * @late: answered completely, but the answer began later
 * @refused: rejected with the assurance that no engine ran the request
 * @failed: an error, a truncated answer or no answer before the deadline
 * @waited_late: those of @late that would have been on time without waiting for a slot
 * @late_refusals: rejected when the client had waited for more than half of the deadline since it
 *   sent the request for the last time
 */
typedef struct
{
  uint32_t requests;
  uint32_t on_time;
  uint32_t late;
  uint32_t refused;
  uint32_t failed;
  uint32_t late_refusals;
  uint32_t waited_late;
} sim_count_t;

/**
 * struct sim_figures - results of a run
 * @all: requests that arrived from %SIM_MEASURED_FROM_US on
 * @during: requests that arrived while the fault lasted
 * @quiet: those of @during to the plain service, without the account that surges in some faults
 * @after: requests that arrived from %SIM_RECOVERED_FROM_US on
 * @kinds: those of @during, by kind of request
 * @accounts: those of @during, by client account
 * @plain_overloaded: as @overloaded_accepts, at plain engines
 * @sends: attempts, in the whole run: a request is sent to an engine once or several times
 * @early_refusals: rejections, in the whole run, of requests that had been sent to an engine and
 *   had more than half of their time left
 * @retries_over_budget: retries that all gateways together sent in any 10 s beyond what the
 *   operator's retry budget allows for the requests of these seconds, at the worst moment; above 0
 *   the budget was exceeded
 * @read_tokens: prompt tokens that model engines had to process, from %SIM_MEASURED_FROM_US on
 * @prompt_tokens: prompt tokens that model engines received, including those found in their caches
 * @copied_tokens: prompt tokens that model engines copied from each other, likewise
 * @repeated_tokens: of @read_tokens, those of shared parts that another engine had
 * @told_parts: engines that hold parts that gateways told each other of, in the whole run
 * @remote_sends: attempts at model engines of another data centre than the gateway's, likewise
 * @remote_tokens: prompt tokens of these
 * @relative_load_milli: load of a model engine after it accepted a request, relative to the mean
 *   load of all model engines that accept requests; median over all accepted requests, in
 *   thousandths
 * @overloaded_accepts: requests that a model engine accepted with which its load exceeded twice the
 *   mean plus three, which is the limit from which operators call an engine overloaded
 */
typedef struct
{
  sim_count_t all;
  sim_count_t during;
  sim_count_t quiet;
  sim_count_t after;
  sim_count_t kinds[SITE_KINDS];
  sim_count_t accounts[SIM_ACCOUNTS_MAX];
  uint64_t plain_overloaded;
  uint64_t sends;
  uint64_t early_refusals;
  int64_t retries_over_budget;
  uint64_t read_tokens;
  uint64_t prompt_tokens;
  uint64_t copied_tokens;
  uint64_t repeated_tokens;
  uint64_t told_parts;
  uint64_t remote_sends;
  uint64_t remote_tokens;
  uint32_t relative_load_milli;
  uint64_t overloaded_accepts;
} sim_figures_t;

/** sim_policy_name() - the name of @policy on the command line and in the output */
const char *sim_policy_name (sim_policy_t policy);
/** sim_fault_name() - the name of @fault on the command line and in the output */
const char *sim_fault_name (sim_fault_t fault);
/** sim_run() - simulates one run from start to end. Return: its results */
sim_figures_t sim_run (const sim_options_t *options);

#endif
