/**
 * DOC: bench_decisions
 *
 * Simulates workloads and faults under the product's policy and its baselines. Prints a table for
 * each workload and fault, averaged over the seeds; with --tsv also a line for each run. See
 * docs/measurements/.
 */
#include "fleet_sim.h"

#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WARM_UP_LIFETIMES 2 /* cache lifetimes before the measurement */
#define DEFAULT_ROUTERS 6
#define DEFAULT_ENGINES 12

typedef struct
{
  const char *workload;
  int policy; /* -1 for all */
  int fault;  /* -1 for all */
  uint32_t engines;
  uint32_t routers;
  uint32_t bound_percent;
  uint32_t seeds;
  uint32_t window_s;  /* 0 for the fault's own */
  uint32_t warm_up_s; /* 0 for WARM_UP_LIFETIMES */
  FILE *tsv;
} options_t;

typedef enum
{
  COL_CACHED,
  COL_CACHED_RATIO,
  COL_GONE,
  COL_MOVED,
  COL_EVICTED,
  COL_SKEW_P50,
  COL_SKEW_P99,
  COL_SKEW_PEAK,
  COL_OVER,
  COL_SLACK,
  COL_EXCESS,
  COL_HOPS,
  COL_LOAD,
  COL_SHORT_WAIT,
  COL_SHORT_FIRST,
  COL_QUIET_WAIT,
  COL_QUIET_FIRST,
  COL_QUIET_RATIO,
  COL_SHORT_RATIO,
  COL_REFUSED,
  COL_QUIET_REFUSED,
  COL_MAY_HAVE_RUN,
  COL_REFUSED_BOUND,
  COL_REFUSED_ELSEWHERE,
  COL_REFUSED_DEADLINE,
  COL_REQUESTS,
  COLUMNS
} column_t;

static const char *const column_names[COLUMNS] = {
  "cached%", "calm%",   "gone%",   "moved%",  "evict%",  "skew50",   "skew99",
  "peak",    "over%",   "slack%",  "excess",  "hops",    "load",     "short_w",
  "short_f", "quiet_w", "quiet_f", "quiet_x", "short_x", "refused%", "q_refus%",
  "unsure",  "bound%",  "elsewh%", "late%",   "requests"
};
static const uint32_t column_digits[COLUMNS] = { 2, 2, 2, 2, 2, 3, 3, 2, 3, 3, 2, 3, 2,
                                                 0, 0, 0, 0, 2, 2, 3, 3, 0, 2, 2, 2, 0 };

static double
percent (uint64_t part, uint64_t whole)
{
  return whole > 0 ? 100.0 * (double)part / (double)whole : 0;
}

static void
fill_row (figures_t *figures, double row[COLUMNS])
{
  const double dispatches = (double)MAX (figures->dispatches, 1);
  row[COL_CACHED] = percent (figures->cached_tokens, figures->prefix_tokens);
  row[COL_GONE] = percent (figures->gone_tokens, figures->prefix_tokens);
  row[COL_MOVED] = percent (figures->moved_tokens, figures->prefix_tokens);
  row[COL_EVICTED] = percent (figures->evicted_tokens, figures->prefix_tokens);
  row[COL_SKEW_P50] = figures_quantile (&figures->skew, 0.5);
  row[COL_SKEW_P99] = figures_quantile (&figures->skew, 0.99);
  row[COL_SKEW_PEAK] = figures_quantile (&figures->skew, 1.0);
  row[COL_OVER] = percent (figures->over_bound, figures->dispatches);
  row[COL_SLACK] = percent (figures->over_slack, figures->dispatches);
  row[COL_EXCESS] = figures_quantile (&figures->excess, 1.0);
  row[COL_HOPS] = (double)figures->hops / (double)MAX (figures->requests, 1);
  row[COL_LOAD] = figures->load_sum / dispatches;
  row[COL_SHORT_WAIT] = figures_quantile (&figures->short_wait, 0.99);
  row[COL_SHORT_FIRST] = figures_quantile (&figures->short_first, 0.99);
  row[COL_QUIET_WAIT] = figures_quantile (&figures->quiet_wait, 0.99);
  row[COL_QUIET_FIRST] = figures_quantile (&figures->quiet_first, 0.99);
  row[COL_REFUSED] = percent (figures->refused, figures->requests);
  row[COL_QUIET_REFUSED] = percent (figures->quiet_refused, figures->quiet_requests);
  row[COL_MAY_HAVE_RUN] = (double)figures->may_have_run;
  row[COL_REFUSED_BOUND] =
      percent (figures->refusals[VERDICT_REASON_OVER_BOUND], figures->requests);
  row[COL_REFUSED_ELSEWHERE] =
      percent (figures->refusals[VERDICT_REASON_ELSEWHERE], figures->requests);
  row[COL_REFUSED_DEADLINE] =
      percent (figures->refusals[VERDICT_REASON_DEADLINE], figures->requests);
  row[COL_REQUESTS] = (double)figures->requests;
}

static void
run_once (const fleet_sim_options_t *run, double row[COLUMNS])
{
  figures_t figures;
  fleet_sim_run (run, &figures);
  fill_row (&figures, row);
  figures_clear (&figures);
}

/* Compares with a run of the same sessions and window without the fault. */
static void
add_fault_ratios (fleet_sim_options_t run, double row[COLUMNS])
{
  double fault_free[COLUMNS];
  row[COL_CACHED_RATIO] = 100;
  row[COL_QUIET_RATIO] = 1;
  row[COL_SHORT_RATIO] = 1;
  if (run.fault == FLEET_SIM_FAULT_NONE)
    return;
  run.without_fault = true;
  run_once (&run, fault_free);
  row[COL_CACHED_RATIO] = 100 * row[COL_CACHED] / MAX (fault_free[COL_CACHED], 1);
  row[COL_QUIET_RATIO] = row[COL_QUIET_FIRST] / MAX (fault_free[COL_QUIET_FIRST], 1);
  row[COL_SHORT_RATIO] = row[COL_SHORT_FIRST] / MAX (fault_free[COL_SHORT_FIRST], 1);
}

static void
print_row (FILE *out, const double row[COLUMNS], char separator, int width)
{
  for (uint32_t i = 0; i < COLUMNS; i++)
    fprintf (out, "%c%*.*f", separator, width, (int)column_digits[i], row[i]);
  fputc ('\n', out);
}

static void
write_tsv (const options_t *options, const fleet_sim_options_t *run, const double row[COLUMNS])
{
  if (options->tsv == NULL)
    return;
  fprintf (options->tsv, "%s\t%s\t%s\t%u\t%lu", run->workload->name,
           fleet_sim_fault_names[run->fault], fleet_sim_policy_names[run->policy],
           run->engine_count, (unsigned long)run->seed);
  print_row (options->tsv, row, '\t', 0);
}

static void
run_policy (const options_t *options, fleet_sim_options_t run)
{
  double sum[COLUMNS] = { 0 };
  for (uint32_t seed = 1; seed <= options->seeds; seed++)
    {
      double row[COLUMNS];
      run.seed = seed;
      run_once (&run, row);
      add_fault_ratios (run, row);
      write_tsv (options, &run, row);
      for (uint32_t i = 0; i < COLUMNS; i++)
        sum[i] = i == COL_SKEW_PEAK || i == COL_EXCESS ? MAX (sum[i], row[i])
                                                       : sum[i] + row[i] / options->seeds;
    }
  printf ("%-10s", fleet_sim_policy_names[run.policy]);
  print_row (stdout, sum, ' ', 8);
  fflush (stdout);
}

static void
run_fault (const options_t *options, const workload_t *workload, fleet_sim_fault_t fault)
{
  fleet_sim_options_t run = { .workload = workload,
                              .fault = fault,
                              .engine_count = options->engines,
                              .router_count = options->routers,
                              .bound_percent = options->bound_percent };
  run.warm_up_us = (uint64_t)workload->cache_lifetime_s * WARM_UP_LIFETIMES * CLOCK_US_PER_S;
  if (options->warm_up_s != 0)
    run.warm_up_us = (uint64_t)options->warm_up_s * CLOCK_US_PER_S;
  run.window_us = options->window_s != 0 ? (uint64_t)options->window_s * CLOCK_US_PER_S
                                         : fleet_sim_window_us (workload, fault, options->engines);
  printf ("\n%s, %s, %u engines, %u routers, window %lu s\n%-10s", workload->name,
          fleet_sim_fault_names[fault], options->engines, options->routers,
          (unsigned long)(run.window_us / CLOCK_US_PER_S), "");
  for (uint32_t i = 0; i < COLUMNS; i++)
    printf (" %8s", column_names[i]);
  putchar ('\n');
  for (int policy = 0; policy < FLEET_SIM_POLICY_COUNT; policy++)
    {
      run.policy = (fleet_sim_policy_t)policy;
      if (options->policy < 0 || options->policy == policy)
        run_policy (options, run);
    }
}

static int
name_index (const char *name, const char *const *names, int count)
{
  for (int i = 0; i < count; i++)
    if (strcmp (name, names[i]) == 0)
      return i;
  fprintf (stderr, "unknown name: %s\n", name);
  exit (2);
}

static void
open_tsv (options_t *options, const char *path)
{
  options->tsv = fopen (path, "w");
  if (options->tsv == NULL)
    {
      perror (path);
      exit (2);
    }
  fprintf (options->tsv, "workload\tfault\tpolicy\tengines\tseed");
  for (uint32_t i = 0; i < COLUMNS; i++)
    fprintf (options->tsv, "\t%s", column_names[i]);
  fputc ('\n', options->tsv);
}

static void
read_options (int argc, char **argv, options_t *options)
{
  static const struct option known[] = { { "workload", required_argument, NULL, 'w' },
                                         { "policy", required_argument, NULL, 'p' },
                                         { "fault", required_argument, NULL, 'f' },
                                         { "engines", required_argument, NULL, 'e' },
                                         { "routers", required_argument, NULL, 'r' },
                                         { "bound", required_argument, NULL, 'b' },
                                         { "seeds", required_argument, NULL, 's' },
                                         { "window", required_argument, NULL, 't' },
                                         { "tsv", required_argument, NULL, 'o' },
                                         { "warm-up", required_argument, NULL, 'u' },
                                         { NULL, 0, NULL, 0 } };
  int option;
  while ((option = getopt_long (argc, argv, "", known, NULL)) != -1)
    switch (option)
      {
      case 'w':
        options->workload = optarg;
        break;
      case 'p':
        options->policy = name_index (optarg, fleet_sim_policy_names, FLEET_SIM_POLICY_COUNT);
        break;
      case 'f':
        options->fault = name_index (optarg, fleet_sim_fault_names, FLEET_SIM_FAULT_COUNT);
        break;
      case 'e':
        options->engines = (uint32_t)atoi (optarg);
        break;
      case 'r':
        options->routers = (uint32_t)atoi (optarg);
        break;
      case 'b':
        options->bound_percent = (uint32_t)atoi (optarg);
        break;
      case 's':
        options->seeds = (uint32_t)atoi (optarg);
        break;
      case 't':
        options->window_s = (uint32_t)atoi (optarg);
        break;
      case 'u':
        options->warm_up_s = (uint32_t)atoi (optarg);
        break;
      case 'o':
        open_tsv (options, optarg);
        break;
      default:
        exit (2);
      }
}

int
main (int argc, char **argv)
{
  static const char *const workloads[] = { "tuul", "jogak" };
  options_t options = {
    .policy = -1, .fault = -1, .engines = DEFAULT_ENGINES, .routers = DEFAULT_ROUTERS, .seeds = 3
  };
  read_options (argc, argv, &options);
  printf ("seeds 1..%u\n", options.seeds);
  for (uint32_t i = 0; i < G_N_ELEMENTS (workloads); i++)
    for (int fault = 0; fault < FLEET_SIM_FAULT_COUNT; fault++)
      {
        const bool workload_wanted =
            options.workload == NULL || strcmp (options.workload, workloads[i]) == 0;
        if (workload_wanted && (options.fault < 0 || options.fault == fault))
          run_fault (&options, workload_find (workloads[i]), (fleet_sim_fault_t)fault);
      }
  if (options.tsv != NULL)
    fclose (options.tsv);
  return 0;
}
