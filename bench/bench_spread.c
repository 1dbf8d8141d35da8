/**
 * DOC: bench_spread
 *
 * Simulates gossip in fleets up to the size to design for (see spread/fleet.h): how fast
 * information reaches all daemons, and how accurate the estimates of the mean load are. Prints
 * tab-separated lines. See docs/measurements/control.md.
 */
#include "base/log.h"
#include "spread/run.h"

#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HORIZON_US (60 * (uint64_t)CLOCK_US_PER_S)
#define ROUNDS 3
/* Index of the sidecar, of service 0, that leaves or reports a crash mark. */
#define TEST_SIDECAR 5
#define FINGERPRINT 4711 /* of the request in the crash mark */

/** struct fleet_size - number of engines (with their sidecars) and of routers */
typedef struct
{
  uint32_t engines;
  uint32_t routers;
} fleet_size_t;

static const fleet_size_t sizes[] = { { 36, 14 }, { 360, 140 }, { 3702, 878 } };
static const uint32_t lost_percents[] = { 0, 5, 30 }; /* of datagrams */

static bool
is_selected (const run_t *run, const char *name)
{
  return run->only == NULL || strcmp (run->only, name) == 0;
}

static bool
has_version (const fleet_node_t *node, void *context)
{
  (void)context;
  return node->ctrl->manifest.sent_version >= node->flt->manifest->version;
}

static bool
has_list (const fleet_node_t *node, void *context)
{
  (void)context;
  return node->ctrl->list.revision >= node->flt->list_revision;
}

static bool
is_of_service (const fleet_node_t *node, void *context)
{
  return !run_is_router (node, NULL) && node->service == *(const uint32_t *)context;
}

static bool
has_leaving (const fleet_node_t *node, void *context)
{
  const uint64_t *hash = context;
  membership_report_t word;
  return membership_last_report (node->ctrl->membership, *hash, &word) &&
         word.state == MEMBERSHIP_LEAVING;
}

static bool
has_mark (const fleet_node_t *node, void *context)
{
  const gossip_t *gossip = &node->ctrl->talk.gossip;
  (void)context;
  for (uint32_t i = 0; i < GOSSIP_SLOTS; i++)
    {
      if (gossip->marks[i].mark.fingerprint == FINGERPRINT)
        return true;
    }
  return false;
}

/* Prints the traffic of one role. Routers and sidecars differ in what they send and receive. */
static void
print_role (const run_t *run,
            bool (*is_role) (const fleet_node_t *node, void *context),
            const char *role)
{
  uint64_t sent = 0;
  uint64_t bytes = 0;
  uint32_t count = 0;
  char row[96];
  for (uint32_t i = 0; i < run->flt->count; i++)
    {
      const fleet_node_t *node = &run->flt->nodes[i];
      if (!is_role (node, NULL))
        continue;
      sent += node->sent;
      bytes += node->sent_bytes;
      count++;
    }
  double node_s = (double)count * 3 * RUN_WINDOW_US / CLOCK_US_PER_S;
  snprintf (row, sizeof row, "quiet, %s: exchange", role);
  run_print (run, row, "bytes/s/daemon", (double)bytes / node_s);
  snprintf (row, sizeof row, "quiet, %s: datagrams", role);
  run_print (run, row, "1/s/daemon", (double)sent / node_s);
}

static void
bench_quiet (run_t *run)
{
  run_begin (run, 0);
  fleet_counts_t before = run->flt->counts;
  for (uint32_t i = 0; i < run->flt->count; i++)
    {
      run->flt->nodes[i].sent = 0;
      run->flt->nodes[i].sent_bytes = 0;
    }
  fleet_run (run->flt, 3 * RUN_WINDOW_US, false);
  run_print_traffic (run, "quiet", &before, 3 * RUN_WINDOW_US);
  print_role (run, run_is_router, "routers");
  print_role (run, run_is_sidecar, "sidecars");
  run_end (run);
}

static void
bench_version (run_t *run)
{
  run_begin (run, 0);
  for (uint32_t round = 0; round < ROUNDS; round++)
    {
      fleet_counts_t before = run->flt->counts;
      fleet_publish_version (run->flt);
      uint64_t start_us = run->flt->now_us;
      fleet_wait_for (run->flt, has_version, NULL);
      fleet_run (run->flt, HORIZON_US, true);
      run_print_delays (run, "version", start_us, NULL, NULL);
      uint64_t span_us = run->flt->now_us - start_us;
      run_print_traffic (run, "version", &before, span_us);
      fleet_run (run->flt, RUN_WINDOW_US, false);
    }
  run_end (run);
}

static void
bench_list (run_t *run)
{
  run_begin (run, 0);
  for (uint32_t round = 0; round < ROUNDS; round++)
    {
      fleet_list_hosts (run->flt, -1, MEMBERSHIP_LIVE);
      uint64_t start_us = run->flt->now_us;
      fleet_wait_for (run->flt, has_list, NULL);
      fleet_run (run->flt, HORIZON_US, true);
      run_print_delays (run, "list", start_us, NULL, NULL);
      fleet_run (run->flt, RUN_WINDOW_US, false);
    }
  run_end (run);
}

static void
bench_leaving (run_t *run)
{
  for (uint32_t round = 0; round < ROUNDS; round++)
    {
      run->options.seed++;
      run_begin (run, TEST_SIDECAR + 1);
      fleet_node_t *leaving_node = &run->flt->nodes[TEST_SIDECAR];
      uint64_t start_us = run->flt->now_us;
      fleet_wait_for (run->flt, has_leaving, &leaving_node->ctrl->own_hash);
      fleet_set_clock (leaving_node);
      control_stop_start_leaving (leaving_node->ctrl, "bench");
      fleet_run (run->flt, HORIZON_US / 2, true);
      run_print_delays (run, "leaving, routers", start_us, run_is_router, NULL);
      run_end (run);
    }
}

static void
bench_mark (run_t *run)
{
  for (uint32_t round = 0; round < ROUNDS; round++)
    {
      run->options.seed++;
      run_begin (run, 0);
      fleet_node_t *node = &run->flt->nodes[TEST_SIDECAR];
      message_crash_marks_t marks = { .count = 1 };
      marks.marks[0] = (suspect_mark_t){ FINGERPRINT, { node->ctrl->own_hash, 0 }, 0 };
      uint64_t start_us = run->flt->now_us;
      fleet_wait_for (run->flt, has_mark, NULL);
      fleet_set_clock (node);
      control_exchange_add_own_marks (node->ctrl, &marks);
      fleet_run (run->flt, HORIZON_US / 2, true);
      run_print_delays (run, "mark, sidecars of the service", start_us, is_of_service,
                        &node->service);
      run_end (run);
    }
}

static void
bench_means (run_t *run)
{
  run_begin (run, 0);
  run_mean_errors (run, "mean, steady load");
  run->flt->ramp_us = run->flt->now_us;
  run_mean_errors (run, "mean, load doubles in 10 s");
  run_end (run);
}

/**
 * struct evacuation - the hosts of a data centre that leave together
 * @watched: only the first @watched daemons, the sidecars, are counted
 * @heard: pairs of a router and a leaving host of which the router knows that it leaves
 * @expected: all such pairs
 */
typedef struct
{
  uint32_t data_center;
  uint32_t watched;
  uint64_t heard;
  uint64_t expected;
} evacuation_t;

static void
count_heard (const run_t *run, evacuation_t *evacuation)
{
  const flt_t *flt = run->flt;
  evacuation->heard = 0;
  evacuation->expected = 0;
  for (uint32_t i = 0; i < flt->count; i++)
    {
      if (flt->nodes[i].stopped || !run_is_router (&flt->nodes[i], NULL))
        continue;
      for (uint32_t j = evacuation->data_center; j < evacuation->watched; j += FLEET_DATA_CENTERS)
        {
          uint64_t hash = flt->nodes[j].ctrl->own_hash;
          evacuation->expected++;
          evacuation->heard += has_leaving (&flt->nodes[i], &hash);
        }
    }
}

/* All sidecars of a data centre leave at once. Only gossip is counted, not the host list. */
static void
bench_evacuation (run_t *run)
{
  evacuation_t evacuation = { .data_center = 3, .watched = run->options.engines };
  const uint32_t after_s[] = { 2, 3, 5, 10 };
  uint32_t at_s = 0;
  run_begin (run, evacuation.watched);
  fleet_counts_t before = run->flt->counts;
  for (uint32_t i = evacuation.data_center; i < evacuation.watched; i += FLEET_DATA_CENTERS)
    {
      fleet_set_clock (&run->flt->nodes[i]);
      control_stop_start_leaving (run->flt->nodes[i].ctrl, "bench");
    }
  for (uint32_t i = 0; i < G_N_ELEMENTS (after_s); i++)
    {
      char row[96];
      fleet_run (run->flt, (uint64_t)(after_s[i] - at_s) * CLOCK_US_PER_S, false);
      at_s = after_s[i];
      count_heard (run, &evacuation);
      snprintf (row, sizeof row, "data centre leaves: words heard by routers after %u s", at_s);
      run_print (run, row, "%", 100.0 * (double)evacuation.heard / (double)evacuation.expected);
    }
  run_print_traffic (run, "data centre leaves", &before, (uint64_t)at_s * CLOCK_US_PER_S);
  run_end (run);
}

/* A data centre fails without notice, and the host list has it three seconds later. */
static void
bench_drop (run_t *run)
{
  run_begin (run, 0);
  fleet_counts_t before = run->flt->counts;
  fleet_stop_data_center (run->flt, 3);
  fleet_run (run->flt, 3 * CLOCK_US_PER_S, false);
  fleet_list_hosts (run->flt, 3, MEMBERSHIP_GONE);
  fleet_publish_version (run->flt);
  uint64_t start_us = run->flt->now_us;
  fleet_wait_for (run->flt, has_version, NULL);
  fleet_run (run->flt, HORIZON_US, true);
  run_print_delays (run, "version as a data centre drops", start_us, NULL, NULL);
  fleet_run (run->flt, start_us + RUN_WINDOW_US - MIN (run->flt->now_us, start_us + RUN_WINDOW_US),
             false);
  run_print_traffic (run, "data centre drops", &before, RUN_WINDOW_US + 3 * CLOCK_US_PER_S);
  run_mean_errors (run, "mean after a data centre dropped");
  run_end (run);
}

static bool
is_in_region (const fleet_node_t *node, void *context)
{
  return node->data_center % FLEET_REGIONS == *(const uint32_t *)context;
}

static bool
is_outside_region (const fleet_node_t *node, void *context)
{
  return !is_in_region (node, context);
}

/* A region is partitioned from the other regions and from the platform for two minutes, during
 * which a version is published. */
static void
bench_cut (run_t *run)
{
  uint32_t region = 1;
  run_begin (run, 0);
  run->flt->cut_region = (int32_t)region;
  fleet_run (run->flt, 3 * CLOCK_US_PER_S, false);
  fleet_publish_version (run->flt);
  uint64_t start_us = run->flt->now_us;
  fleet_wait_for (run->flt, has_version, NULL);
  fleet_run (run->flt, 2 * HORIZON_US, false);
  run_print_delays (run, "version while a region is cut, the others", start_us, is_outside_region,
                    &region);
  fleet_counts_t before = run->flt->counts;
  run->flt->cut_region = -1;
  start_us = run->flt->now_us;
  fleet_run (run->flt, HORIZON_US, true);
  run_print_delays (run, "version once the cut heals, the region", start_us, is_in_region, &region);
  run_print_traffic (run, "cut heals", &before, run->flt->now_us - start_us);
  run_end (run);
}

typedef struct
{
  const char *name;
  void (*run) (run_t *run);
} benchmark_t;

static const benchmark_t benchmarks[] = {
  { "quiet", bench_quiet },           { "version", bench_version }, { "list", bench_list },
  { "leaving", bench_leaving },       { "mark", bench_mark },       { "means", bench_means },
  { "evacuation", bench_evacuation }, { "drop", bench_drop },       { "cut", bench_cut },
  { "restarts", run_restart_cost },   { "data", run_data },
};

static void
run_size (run_t *run, const fleet_size_t *size)
{
  run->options.engines = size->engines;
  run->options.routers = size->routers;
  for (uint32_t i = 0; i < G_N_ELEMENTS (lost_percents); i++)
    {
      run->options.lost_percent = lost_percents[i];
      for (uint32_t j = 0; j < G_N_ELEMENTS (benchmarks); j++)
        {
          run->options.seed = 1;
          if (is_selected (run, benchmarks[j].name))
            benchmarks[j].run (run);
        }
    }
}

static uint32_t
parse_number (const char *text)
{
  guint64 value;
  if (g_ascii_string_to_unsigned (text, 10, 1, 100000, &value, NULL))
    return (uint32_t)value;
  fprintf (stderr, "bench_spread: %s is not a number\n", text);
  exit (2);
}

int
main (int argc, char **argv)
{
  static const struct option flags[] = {
    { "interval-ms", required_argument, NULL, 'i' },
    { "budget-bytes", required_argument, NULL, 'b' },
    { "daemons", required_argument, NULL, 'd' },
    { "part", required_argument, NULL, 'p' },
    { NULL, 0, NULL, 0 },
  };
  run_t run = { .options = { .interval_ms = 500, .budget_bytes = 2000 } };
  uint32_t daemons = 0;
  int flag;
  while ((flag = getopt_long (argc, argv, "", flags, NULL)) != -1)
    {
      if (flag == 'i')
        run.options.interval_ms = parse_number (optarg);
      else if (flag == 'b')
        run.options.budget_bytes = parse_number (optarg);
      else if (flag == 'd')
        daemons = parse_number (optarg);
      else if (flag == 'p')
        run.only = optarg;
      else
        return 2;
    }
  printf ("daemons\tlost_percent\twhat\tunit\tvalue\n");
  for (uint32_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      if (daemons == 0 || daemons == sizes[i].engines + sizes[i].routers)
        run_size (&run, &sizes[i]);
    }
  return 0;
}
