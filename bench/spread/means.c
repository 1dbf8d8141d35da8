#include "run.h"

#include "../figures.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#define BOUND 0.25 /* load beyond the mean that the default bound allows */

/** struct error - of the estimates of one role, in hundredths of the true mean */
typedef struct
{
  fig_list_t size;
  double sum;
  double margin_sum;
  double samples_sum;
  uint32_t beyond;
} error_t;

static void
true_means (const flt_t *flt, double mean[FLT_SERVICES], uint32_t count[FLT_SERVICES])
{
  memset (mean, 0, FLT_SERVICES * sizeof *mean);
  memset (count, 0, FLT_SERVICES * sizeof *count);
  for (uint32_t i = 0; i < flt->options.engines; i++)
    {
      if (flt->nodes[i].stopped)
        continue;
      mean[flt->nodes[i].service] += flt_load (&flt->nodes[i]);
      count[flt->nodes[i].service]++;
    }
  for (uint32_t s = 0; s < FLT_SERVICES; s++)
    mean[s] /= count[s];
}

static void
add_estimate (error_t *error, const flt_node_t *node, uint32_t service, double mean, uint32_t count)
{
  const man_service_t *of = &rep_manifest (node->ctrl->manifest.rep)->services[service];
  const mean_table_t *table = ctrl_talk_table (node->ctrl, of->hash);
  const mean_sample_t *own = run_is_router (node, NULL) ? NULL : &node->ctrl->talk.own_sample;
  mean_estimate_t estimate = mean_estimate (table, node->flt->now_us, own, count);
  double off = 100 * ((double)estimate.mean_milli / 1000 - mean) / mean;
  fig_add (&error->size, fabs (off));
  error->sum += off;
  error->margin_sum += 100 * (double)estimate.margin_milli / 1000 / mean;
  error->samples_sum += estimate.count;
  error->beyond += fabs (off) > 100 * BOUND;
}

static void
print_error (const run_t *run, const char *what, const char *role, error_t *error)
{
  char row[96];
  uint32_t count = error->size.count;
  if (count == 0)
    return;
  snprintf (row, sizeof row, "%s, %s: error, median", what, role);
  run_print (run, row, "%", fig_quantile (&error->size, 0.5));
  snprintf (row, sizeof row, "%s, %s: error, 95%%", what, role);
  run_print (run, row, "%", fig_quantile (&error->size, 0.95));
  snprintf (row, sizeof row, "%s, %s: error, mean with its sign", what, role);
  run_print (run, row, "%", error->sum / count);
  snprintf (row, sizeof row, "%s, %s: margin", what, role);
  run_print (run, row, "%", error->margin_sum / count);
  snprintf (row, sizeof row, "%s, %s: samples", what, role);
  run_print (run, row, "count", error->samples_sum / count);
  snprintf (row, sizeof row, "%s, %s: error beyond the bound", what, role);
  run_print (run, row, "%", 100.0 * error->beyond / count);
  g_free (error->size.values);
}

void
run_means (run_t *run, const char *what)
{
  error_t sidecars = { 0 };
  error_t routers = { 0 };
  for (uint32_t i = 0; i < RUN_WINDOW_US / CLK_US_PER_S; i++)
    {
      double mean[FLT_SERVICES];
      uint32_t count[FLT_SERVICES];
      flt_run (run->flt, CLK_US_PER_S, false);
      true_means (run->flt, mean, count);
      for (uint32_t j = 0; j < run->flt->count; j++)
        {
          const flt_node_t *node = &run->flt->nodes[j];
          uint32_t service = run_is_router (node, NULL) ? i % FLT_SERVICES : node->service;
          error_t *error = run_is_router (node, NULL) ? &routers : &sidecars;
          if (!node->stopped)
            add_estimate (error, node, service, mean[service], count[service]);
        }
    }
  print_error (run, what, "sidecars", &sidecars);
  print_error (run, what, "routers", &routers);
}
