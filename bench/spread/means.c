#include "run.h"

#include "../figures.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

/* An engine may exceed the mean load by this share of the mean under the default load bound. */
#define LOAD_BOUND 0.25

/**
 * struct estimate_error - errors of the estimated mean loads of one role, in percent of the true
 * mean
 * @size: absolute values of the errors
 * @sum: sum of the errors with their sign
 * @margin_sum: sum of the margins of the estimates
 * @samples_sum: sum of the numbers of load samples that the estimates are made of
 * @beyond_bound: number of errors larger than %LOAD_BOUND
 */
typedef struct
{
  figures_samples_t size;
  double sum;
  double margin_sum;
  double samples_sum;
  uint32_t beyond_bound;
} estimate_error_t;

static void
true_means (const flt_t *fleet, double mean[FLEET_SERVICES], uint32_t count[FLEET_SERVICES])
{
  memset (mean, 0, FLEET_SERVICES * sizeof *mean);
  memset (count, 0, FLEET_SERVICES * sizeof *count);
  for (uint32_t i = 0; i < fleet->options.engines; i++)
    {
      if (fleet->nodes[i].stopped)
        continue;
      mean[fleet->nodes[i].service] += fleet_node_load (&fleet->nodes[i]);
      count[fleet->nodes[i].service]++;
    }
  for (uint32_t s = 0; s < FLEET_SERVICES; s++)
    mean[s] /= count[s];
}

static void
add_estimate (estimate_error_t *error,
              const fleet_node_t *node,
              uint32_t service,
              double mean,
              uint32_t count)
{
  const manifest_service_t *manifest_service =
      &replay_manifest (node->ctrl->manifest.replay)->services[service];
  const load_samples_t *table = control_exchange_find_samples (node->ctrl, manifest_service->hash);
  const load_sample_t *own = run_is_router (node, NULL) ? NULL : &node->ctrl->talk.own_sample;
  load_samples_estimate_t estimate =
      load_samples_estimate_mean (table, node->flt->now_us, own, count);
  double error_percent = 100 * ((double)estimate.mean_milli / 1000 - mean) / mean;
  figures_add_sample (&error->size, fabs (error_percent));
  error->sum += error_percent;
  error->margin_sum += 100 * (double)estimate.margin_milli / 1000 / mean;
  error->samples_sum += estimate.count;
  error->beyond_bound += fabs (error_percent) > 100 * LOAD_BOUND;
}

static void
print_error (const run_t *run, const char *what, const char *role, estimate_error_t *error)
{
  char row[96];
  uint32_t count = error->size.count;
  if (count == 0)
    return;
  snprintf (row, sizeof row, "%s, %s: error, median", what, role);
  run_print (run, row, "%", figures_quantile (&error->size, 0.5));
  snprintf (row, sizeof row, "%s, %s: error, 95%%", what, role);
  run_print (run, row, "%", figures_quantile (&error->size, 0.95));
  snprintf (row, sizeof row, "%s, %s: error, mean with its sign", what, role);
  run_print (run, row, "%", error->sum / count);
  snprintf (row, sizeof row, "%s, %s: margin", what, role);
  run_print (run, row, "%", error->margin_sum / count);
  snprintf (row, sizeof row, "%s, %s: samples", what, role);
  run_print (run, row, "count", error->samples_sum / count);
  snprintf (row, sizeof row, "%s, %s: error beyond the bound", what, role);
  run_print (run, row, "%", 100.0 * error->beyond_bound / count);
  g_free (error->size.values);
}

void
run_mean_errors (run_t *run, const char *what)
{
  estimate_error_t sidecars = { 0 };
  estimate_error_t routers = { 0 };
  for (uint32_t i = 0; i < RUN_WINDOW_US / CLOCK_US_PER_S; i++)
    {
      double mean[FLEET_SERVICES];
      uint32_t count[FLEET_SERVICES];
      fleet_run (run->flt, CLOCK_US_PER_S, false);
      true_means (run->flt, mean, count);
      for (uint32_t j = 0; j < run->flt->count; j++)
        {
          const fleet_node_t *node = &run->flt->nodes[j];
          uint32_t service = run_is_router (node, NULL) ? i % FLEET_SERVICES : node->service;
          estimate_error_t *error = run_is_router (node, NULL) ? &routers : &sidecars;
          if (!node->stopped)
            add_estimate (error, node, service, mean[service], count[service]);
        }
    }
  print_error (run, what, "sidecars", &sidecars);
  print_error (run, what, "routers", &routers);
}
