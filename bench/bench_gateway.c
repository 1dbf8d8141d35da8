/**
 * DOC: bench_gateway
 *
 * The gateway's decisions under the load and the faults of two deployments, or of one that a file
 * describes, beside baselines: a line for each policy, fault and deployment, summed over seeds. See
 * docs/measurements/gateway.md.
 */
#include "gateway/sim.h"
#include "gateway/site_file.h"

#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SEEDS 3

/** struct pick - what to run; NULL or negative for all; @file: in place of the two deployments */
typedef struct
{
  const sit_t *file;
  const char *site;
  const char *fault;
  const char *policy;
  uint32_t seeds;
} pick_t;

static bool
wanted (const char *name, const char *only)
{
  return !only || strcmp (name, only) == 0;
}

static void
add_count (sim_count_t *to, const sim_count_t *more)
{
  to->requests += more->requests;
  to->on_time += more->on_time;
  to->late += more->late;
  to->refused += more->refused;
  to->failed += more->failed;
  to->late_refusals += more->late_refusals;
}

static void
add (sim_figures_t *to, const sim_figures_t *more)
{
  add_count (&to->during, &more->during);
  add_count (&to->quiet, &more->quiet);
  to->sends += more->sends;
  to->retries_most = to->retries_most > more->retries_most ? to->retries_most : more->retries_most;
  to->read_tokens += more->read_tokens;
  to->prompt_tokens += more->prompt_tokens;
  to->over_cap += more->over_cap;
  to->peak_milli = to->peak_milli > more->peak_milli ? to->peak_milli : more->peak_milli;
}

static double
share (uint64_t part, uint64_t of)
{
  return of > 0 ? (double)part / (double)of : 0;
}

static void
run (const sim_options_t *options, uint32_t seeds)
{
  sim_figures_t sum = { .retries_most = INT64_MIN };
  const sim_count_t *during = &sum.during;

  for (uint32_t seed = 1; seed <= seeds; seed++)
    {
      sim_options_t one = *options;
      sim_figures_t figures;

      one.seed = seed;
      figures = sim_run (&one);
      add (&sum, &figures);
    }
  printf ("%s\t%s\t%s\t%u\t%.4f\t%.4f\t%.4f\t%.4f\t%.4f\t%.4f\t%.3f\t%lld\t%llu\t%.3f\n",
          options->site->name, sim_fault_name (options->fault), sim_policy_name (options->policy),
          during->requests, share (during->on_time, during->requests),
          share (during->late, during->requests), share (during->refused, during->requests),
          share (during->failed, during->requests), share (during->late_refusals, during->requests),
          share (sum.quiet.on_time + sum.quiet.late, sum.quiet.requests),
          share (sum.read_tokens, sum.prompt_tokens), (long long)sum.retries_most,
          (unsigned long long)sum.over_cap, sum.peak_milli / 1000.0);
  fflush (stdout);
}

static void
run_site (const pick_t *pick, const sit_t *site)
{
  for (int fault = 0; fault < SIM_FAULTS; fault++)
    for (int policy = 0; policy < SIM_POLICIES; policy++)
      if (wanted (sim_fault_name ((sim_fault_t)fault), pick->fault) &&
          wanted (sim_policy_name ((sim_policy_t)policy), pick->policy))
        run (&(sim_options_t){ .site = site,
                               .fault = (sim_fault_t)fault,
                               .policy = (sim_policy_t)policy },
             pick->seeds);
}

static void
run_all (const pick_t *pick)
{
  const sit_t *site;

  printf (
      "site\tfault\tpolicy\trequests\ton_time\tlate\trefused\tfailed\trefused_late\tquiet_served\t"
      "read\tretries_beyond\tover_cap\tpeak\n");
  if (pick->file)
    run_site (pick, pick->file);
  for (uint32_t i = 0; !pick->file && (site = sit_at (i)); i++)
    if (wanted (site->name, pick->site))
      run_site (pick, site);
}

static void
usage (FILE *out)
{
  fputs ("usage: bench-gateway [--site NAME | --file PATH] [--fault NAME] [--policy NAME] [--seeds "
         "N]\n",
         out);
}

int
main (int argc, char **argv)
{
  static const struct option options[] = { { "site", required_argument, NULL, 's' },
                                           { "fault", required_argument, NULL, 'f' },
                                           { "file", required_argument, NULL, 'F' },
                                           { "policy", required_argument, NULL, 'p' },
                                           { "seeds", required_argument, NULL, 'n' },
                                           { "help", no_argument, NULL, 'h' },
                                           { 0 } };
  pick_t pick = { .seeds = SEEDS };
  int option;

  while ((option = getopt_long (argc, argv, "", options, NULL)) != -1)
    switch (option)
      {
      case 's':
        pick.site = optarg;
        break;
      case 'F':
        pick.file = sif_read (optarg);
        if (!pick.file)
          return 2;
        break;
      case 'f':
        pick.fault = optarg;
        break;
      case 'p':
        pick.policy = optarg;
        break;
      case 'n':
        pick.seeds = (uint32_t)strtoul (optarg, NULL, 10);
        break;
      case 'h':
        usage (stdout);
        return 0;
      default:
        usage (stderr);
        return 2;
      }
  run_all (&pick);
  return 0;
}
