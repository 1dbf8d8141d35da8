#include "run.h"

#include "../figures.h"

#include <stdio.h>

#define WARM_UP_US (5 * (uint64_t)CLOCK_US_PER_S) /* before a measurement */

void
run_print (const run_t *run, const char *what, const char *unit, double value)
{
  const fleet_options_t *options = &run->options;
  printf ("%u\t%u\t%s\t%s\t%.3f\n", options->engines + options->routers, options->lost_percent,
          what, unit, value);
  fflush (stdout);
}

void
run_begin (run_t *run, uint32_t watched)
{
  run->options.watched = watched;
  run->flt = fleet_sim_new (&run->options);
  fleet_run (run->flt, WARM_UP_US, false);
}

void
run_end (run_t *run)
{
  g_clear_pointer (&run->flt, fleet_sim_free);
}

/* Prints the distribution of received_us - start_us of the running nodes for which counts holds. */
void
run_print_delays (const run_t *run,
                  const char *what,
                  uint64_t start_us,
                  bool (*counts) (const fleet_node_t *node, void *context),
                  void *context)
{
  figures_samples_t list = { 0 };
  uint32_t total = 0;
  uint32_t within_2s = 0;
  for (uint32_t i = 0; i < run->flt->count; i++)
    {
      const fleet_node_t *node = &run->flt->nodes[i];
      if (node->stopped || (counts != NULL && !counts (node, context)))
        continue;
      total++;
      if (node->received_us == 0)
        continue;
      uint64_t delay_us = node->received_us > start_us ? node->received_us - start_us : 0;
      within_2s += delay_us <= 2 * CLOCK_US_PER_S;
      figures_add_sample (&list, (double)delay_us / CLOCK_US_PER_S);
    }
  char row[96];
  snprintf (row, sizeof row, "%s: half", what);
  run_print (run, row, "s", figures_quantile (&list, 0.5));
  snprintf (row, sizeof row, "%s: 99%%", what);
  run_print (run, row, "s", figures_quantile (&list, 0.99));
  snprintf (row, sizeof row, "%s: last", what);
  run_print (run, row, "s", figures_quantile (&list, 1));
  snprintf (row, sizeof row, "%s: within 2 s", what);
  run_print (run, row, "%", total > 0 ? 100.0 * within_2s / total : 0);
  snprintf (row, sizeof row, "%s: never", what);
  run_print (run, row, "daemons", total - list.count);
  g_free (list.values);
}

void
run_print_traffic (const run_t *run,
                   const char *what,
                   const fleet_counts_t *before,
                   uint64_t span_us)
{
  const fleet_counts_t *now = &run->flt->counts;
  double node_s = (double)run->flt->count * (double)span_us / CLOCK_US_PER_S;
  double span_s = (double)span_us / CLOCK_US_PER_S;
  char row[96];
  snprintf (row, sizeof row, "%s: exchange", what);
  run_print (run, row, "bytes/s/daemon",
             (double)(now->exchange_bytes - before->exchange_bytes) / node_s);
  snprintf (row, sizeof row, "%s: with the platform", what);
  run_print (run, row, "bytes/s/daemon",
             (double)(now->exchange_bytes + now->charged_bytes - before->exchange_bytes -
                      before->charged_bytes) /
                 node_s);
  snprintf (row, sizeof row, "%s: datagrams", what);
  run_print (run, row, "1/s/daemon", (double)(now->datagrams - before->datagrams) / node_s);
  snprintf (row, sizeof row, "%s: held back", what);
  run_print (run, row, "1/s/daemon", (double)(now->over_budget - before->over_budget) / node_s);
  snprintf (row, sizeof row, "%s: list reads", what);
  run_print (run, row, "1/s", (double)(now->list_reads - before->list_reads) / span_s);
  snprintf (row, sizeof row, "%s: log reads", what);
  run_print (run, row, "1/s", (double)(now->log_reads - before->log_reads) / span_s);
  snprintf (row, sizeof row, "%s: manifests from peers", what);
  run_print (run, row, "count", (double)(now->fetches - before->fetches));
}

bool
run_is_router (const fleet_node_t *node, void *context)
{
  (void)context;
  return node->daemon.settings.role == SETTINGS_ROLE_ROUTER;
}

bool
run_is_sidecar (const fleet_node_t *node, void *context)
{
  return !run_is_router (node, context);
}
