/**
 * DOC: bench_gateway
 *
 * Simulates the gateway's decisions and those of baseline policies, under the load and the faults
 * of two built-in deployments or of one that a file describes. Prints a line for each deployment,
 * fault and policy, summed over the seeds. See docs/measurements/gateway.md.
 */
#include "gateway/sim.h"
#include "gateway/site_file.h"

#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_SEEDS 3

/**
 * struct selection - what to run
 * @file: a deployment to run instead of the built-in ones, or NULL
 * @gateways: number of gateways, 0 for the site's
 * @seconds: length of a run, 0 for the usual one
 * @site, @fault, @policy: run only the one of this name; NULL for all
 */
typedef struct
{
  const site_t *file;
  const char *site;
  const char *fault;
  const char *policy;
  uint32_t gateways;
  uint32_t seconds;
  uint32_t seeds;
} selection_t;

static bool
is_selected (const char *name, const char *only)
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
add_figures (sim_figures_t *to, const sim_figures_t *more)
{
  add_count (&to->during, &more->during);
  add_count (&to->quiet, &more->quiet);
  to->sends += more->sends;
  to->retries_over_budget = to->retries_over_budget > more->retries_over_budget
                                ? to->retries_over_budget
                                : more->retries_over_budget;
  to->read_tokens += more->read_tokens;
  to->prompt_tokens += more->prompt_tokens;
  to->copied_tokens += more->copied_tokens;
  to->repeated_tokens += more->repeated_tokens;
  to->told_parts += more->told_parts;
  to->remote_sends += more->remote_sends;
  to->remote_tokens += more->remote_tokens;
  to->overloaded_accepts += more->overloaded_accepts;
  to->relative_load_milli = to->relative_load_milli > more->relative_load_milli
                                ? to->relative_load_milli
                                : more->relative_load_milli;
}

static double
ratio (uint64_t part, uint64_t whole)
{
  return whole > 0 ? (double)part / (double)whole : 0;
}

static void
run (const sim_options_t *options, uint32_t seeds)
{
  sim_figures_t sum = { .retries_over_budget = INT64_MIN };
  const sim_count_t *during = &sum.during;

  for (uint32_t seed = 1; seed <= seeds; seed++)
    {
      sim_options_t one = *options;
      sim_figures_t figures;

      one.seed = seed;
      figures = sim_run (&one);
      add_figures (&sum, &figures);
    }
  printf ("%s\t%s\t%s\t%u\t%.4f\t%.4f\t%.4f\t%.4f\t%.4f\t%.4f\t%.3f\t%lld\t%llu\t%.3f\t%llu\t%"
          "llu\t%llu\t%llu\t%llu\n",
          options->site->name, sim_fault_name (options->fault), sim_policy_name (options->policy),
          during->requests, ratio (during->on_time, during->requests),
          ratio (during->late, during->requests), ratio (during->refused, during->requests),
          ratio (during->failed, during->requests), ratio (during->late_refusals, during->requests),
          ratio (sum.quiet.on_time + sum.quiet.late, sum.quiet.requests),
          ratio (sum.read_tokens, sum.prompt_tokens), (long long)sum.retries_over_budget,
          (unsigned long long)sum.overloaded_accepts, sum.relative_load_milli / 1000.0,
          (unsigned long long)sum.copied_tokens, (unsigned long long)sum.repeated_tokens,
          (unsigned long long)sum.remote_sends, (unsigned long long)sum.remote_tokens,
          (unsigned long long)sum.told_parts);
  fflush (stdout);
}

static void
run_site (const selection_t *selection, const site_t *site)
{
  for (int fault = 0; fault < SIM_FAULTS; fault++)
    for (int policy = 0; policy < SIM_POLICIES; policy++)
      if (is_selected (sim_fault_name ((sim_fault_t)fault), selection->fault) &&
          is_selected (sim_policy_name ((sim_policy_t)policy), selection->policy))
        run (&(sim_options_t){ .site = site,
                               .gateways = selection->gateways,
                               .seconds = selection->seconds,
                               .fault = (sim_fault_t)fault,
                               .policy = (sim_policy_t)policy },
             selection->seeds);
}

static void
run_all (const selection_t *selection)
{
  const site_t *site;

  printf (
      "site\tfault\tpolicy\trequests\ton_time\tlate\trefused\tfailed\trefused_late\tquiet_served\t"
      "read\tretries_beyond\tover_cap\tpeak\tcopied_tokens\trepeated_tokens\tremote_sends\t"
      "remote_tokens\ttold_parts\n");
  if (selection->file)
    run_site (selection, selection->file);
  for (uint32_t i = 0; !selection->file && (site = site_get (i)); i++)
    if (is_selected (site->name, selection->site))
      run_site (selection, site);
}

static void
usage (FILE *out)
{
  fputs ("usage: bench-gateway [--site NAME | --file PATH] [--fault NAME] [--policy NAME] [--seeds "
         "N] [--gateways N] [--seconds N]\n",
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
                                           { "gateways", required_argument, NULL, 'g' },
                                           { "seconds", required_argument, NULL, 't' },
                                           { "help", no_argument, NULL, 'h' },
                                           { 0 } };
  selection_t selection = { .seeds = DEFAULT_SEEDS };
  int option;

  while ((option = getopt_long (argc, argv, "", options, NULL)) != -1)
    switch (option)
      {
      case 's':
        selection.site = optarg;
        break;
      case 'F':
        selection.file = site_file_read (optarg);
        if (!selection.file)
          return 2;
        break;
      case 'f':
        selection.fault = optarg;
        break;
      case 'p':
        selection.policy = optarg;
        break;
      case 'g':
        selection.gateways = (uint32_t)strtoul (optarg, NULL, 10);
        break;
      case 't':
        selection.seconds = (uint32_t)strtoul (optarg, NULL, 10);
        break;
      case 'n':
        selection.seeds = (uint32_t)strtoul (optarg, NULL, 10);
        break;
      case 'h':
        usage (stdout);
        return 0;
      default:
        usage (stderr);
        return 2;
      }
  run_all (&selection);
  return 0;
}
