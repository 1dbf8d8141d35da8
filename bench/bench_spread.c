/**
 * DOC: bench_spread
 *
 * How fast news spread through a fleet of the size to design for, and how good the estimates of
 * mean loads are: see spread/fleet.h. Prints tab-separated lines. See docs/measurements/control.md.
 */
#include "figures.h"
#include "process/log.h"
#include "spread/fleet.h"

#include <getopt.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define SETTLE_US (5 * (uint64_t)CLK_US_PER_S)
#define HORIZON_US (60 * (uint64_t)CLK_US_PER_S)
#define WINDOW_US (10 * (uint64_t)CLK_US_PER_S)
#define ROUNDS 3
#define LEAVER 5 /* a sidecar, of service 0 */
#define TELLS 20
#define FINGERPRINT 4711
#define BOUND 0.25 /* load beyond the mean that the default bound allows */

/** struct size - of a fleet */
typedef struct
{
  uint32_t engines;
  uint32_t routers;
} fleet_size_t;

static const fleet_size_t sizes[] = { { 36, 14 }, { 360, 140 }, { 3702, 878 } };
static const uint32_t losses[] = { 0, 5, 30 };

/** struct run - one fleet, and how its lines begin */
typedef struct
{
  flt_options_t options;
  const char *only;
  flt_t *flt;
} run_t;

static void
print_row (const run_t *run, const char *what, const char *unit, double value)
{
  const flt_options_t *options = &run->options;
  printf ("%u\t%u\t%s\t%s\t%.3f\n", options->engines + options->routers, options->lost_percent,
          what, unit, value);
  fflush (stdout);
}

static void
begin (run_t *run, uint32_t watched)
{
  run->options.watched = watched;
  run->flt = flt_new (&run->options);
  flt_run (run->flt, SETTLE_US, false);
}

static void
end (run_t *run)
{
  g_clear_pointer (&run->flt, flt_free);
}

static bool
wanted (const run_t *run, const char *name)
{
  return run->only == NULL || strcmp (run->only, name) == 0;
}

/* Times since @start_us at which the nodes that @counts heard, as rows. */
static void
print_heard (const run_t *run,
             const char *what,
             uint64_t start_us,
             bool (*counts) (const flt_node_t *node, void *context),
             void *context)
{
  fig_list_t list = { 0 };
  uint32_t total = 0;
  uint32_t within_2s = 0;
  for (uint32_t i = 0; i < run->flt->count; i++)
    {
      const flt_node_t *node = &run->flt->nodes[i];
      if (node->stopped || (counts != NULL && !counts (node, context)))
        continue;
      total++;
      if (node->heard_us == 0)
        continue;
      uint64_t after_us = node->heard_us > start_us ? node->heard_us - start_us : 0;
      within_2s += after_us <= 2 * CLK_US_PER_S;
      fig_add (&list, (double)after_us / CLK_US_PER_S);
    }
  char row[96];
  snprintf (row, sizeof row, "%s: half", what);
  print_row (run, row, "s", fig_quantile (&list, 0.5));
  snprintf (row, sizeof row, "%s: 99%%", what);
  print_row (run, row, "s", fig_quantile (&list, 0.99));
  snprintf (row, sizeof row, "%s: last", what);
  print_row (run, row, "s", fig_quantile (&list, 1));
  snprintf (row, sizeof row, "%s: within 2 s", what);
  print_row (run, row, "%", total > 0 ? 100.0 * within_2s / total : 0);
  snprintf (row, sizeof row, "%s: never", what);
  print_row (run, row, "daemons", total - list.count);
  g_free (list.values);
}

static bool
has_version (const flt_node_t *node, void *context)
{
  (void)context;
  return node->ctrl->manifest.sent_version >= node->flt->man->version;
}

static bool
has_list (const flt_node_t *node, void *context)
{
  (void)context;
  return node->ctrl->list.revision >= node->flt->list_revision;
}

static bool
is_router (const flt_node_t *node, void *context)
{
  (void)context;
  return node->dmn.set.role == SET_ROLE_ROUTER;
}

static bool
is_of_service (const flt_node_t *node, void *context)
{
  return !is_router (node, NULL) && node->service == *(const uint32_t *)context;
}

static bool
has_leaving (const flt_node_t *node, void *context)
{
  const uint64_t *hash = context;
  mem_word_t word;
  return mem_word (node->ctrl->mem, *hash, &word) && word.state == MEM_LEAVING;
}

static bool
has_mark (const flt_node_t *node, void *context)
{
  const rmr_t *rumours = &node->ctrl->talk.rumours;
  (void)context;
  for (uint32_t i = 0; i < RMR_SLOTS; i++)
    {
      if (rumours->marks[i].mark.fingerprint == FINGERPRINT)
        return true;
    }
  return false;
}

static void
print_traffic (const run_t *run, const char *what, const flt_counts_t *before, uint64_t span_us)
{
  const flt_counts_t *now = &run->flt->counts;
  double node_s = (double)run->flt->count * (double)span_us / CLK_US_PER_S;
  double span_s = (double)span_us / CLK_US_PER_S;
  char row[96];
  snprintf (row, sizeof row, "%s: exchange", what);
  print_row (run, row, "bytes/s/daemon",
             (double)(now->exchange_bytes - before->exchange_bytes) / node_s);
  snprintf (row, sizeof row, "%s: with the platform", what);
  print_row (run, row, "bytes/s/daemon",
             (double)(now->exchange_bytes + now->charged_bytes - before->exchange_bytes -
                      before->charged_bytes) /
                 node_s);
  snprintf (row, sizeof row, "%s: datagrams", what);
  print_row (run, row, "1/s/daemon", (double)(now->datagrams - before->datagrams) / node_s);
  snprintf (row, sizeof row, "%s: held back", what);
  print_row (run, row, "1/s/daemon", (double)(now->held_back - before->held_back) / node_s);
  snprintf (row, sizeof row, "%s: list reads", what);
  print_row (run, row, "1/s", (double)(now->list_reads - before->list_reads) / span_s);
  snprintf (row, sizeof row, "%s: log reads", what);
  print_row (run, row, "1/s", (double)(now->log_reads - before->log_reads) / span_s);
  snprintf (row, sizeof row, "%s: manifests from peers", what);
  print_row (run, row, "count", (double)(now->fetches - before->fetches));
}

static void
bench_quiet (run_t *run)
{
  begin (run, 0);
  flt_counts_t before = run->flt->counts;
  flt_run (run->flt, 3 * WINDOW_US, false);
  print_traffic (run, "quiet", &before, 3 * WINDOW_US);
  end (run);
}

static void
bench_version (run_t *run)
{
  begin (run, 0);
  for (uint32_t round = 0; round < ROUNDS; round++)
    {
      flt_counts_t before = run->flt->counts;
      flt_publish (run->flt);
      uint64_t start_us = run->flt->now_us;
      flt_wait_for (run->flt, has_version, NULL);
      flt_run (run->flt, HORIZON_US, true);
      print_heard (run, "version", start_us, NULL, NULL);
      uint64_t span_us = run->flt->now_us - start_us;
      print_traffic (run, "version", &before, span_us);
      flt_run (run->flt, WINDOW_US, false);
    }
  end (run);
}

static void
bench_list (run_t *run)
{
  begin (run, 0);
  for (uint32_t round = 0; round < ROUNDS; round++)
    {
      flt_list (run->flt, -1, MEM_LIVE);
      uint64_t start_us = run->flt->now_us;
      flt_wait_for (run->flt, has_list, NULL);
      flt_run (run->flt, HORIZON_US, true);
      print_heard (run, "list", start_us, NULL, NULL);
      flt_run (run->flt, WINDOW_US, false);
    }
  end (run);
}

static void
bench_leaving (run_t *run)
{
  for (uint32_t round = 0; round < ROUNDS; round++)
    {
      run->options.seed++;
      begin (run, LEAVER + 1);
      flt_node_t *leaver = &run->flt->nodes[LEAVER];
      uint64_t start_us = run->flt->now_us;
      flt_wait_for (run->flt, has_leaving, &leaver->ctrl->own_hash);
      flt_enter (leaver);
      ctrl_stop_leave (leaver->ctrl, "bench");
      flt_run (run->flt, HORIZON_US / 2, true);
      print_heard (run, "leaving, routers", start_us, is_router, NULL);
      end (run);
    }
}

static void
bench_mark (run_t *run)
{
  for (uint32_t round = 0; round < ROUNDS; round++)
    {
      run->options.seed++;
      begin (run, 0);
      flt_node_t *node = &run->flt->nodes[LEAVER];
      msg_marks_t marks = { .count = 1 };
      marks.marks[0] = (sus_mark_t){ FINGERPRINT, { node->ctrl->own_hash, 0 }, 0 };
      uint64_t start_us = run->flt->now_us;
      flt_wait_for (run->flt, has_mark, NULL);
      flt_enter (node);
      ctrl_talk_own_marks (node->ctrl, &marks);
      flt_run (run->flt, HORIZON_US / 2, true);
      print_heard (run, "mark, sidecars of the service", start_us, is_of_service, &node->service);
      end (run);
    }
}

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
  const mean_sample_t *own = is_router (node, NULL) ? NULL : &node->ctrl->talk.own_sample;
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
  print_row (run, row, "%", fig_quantile (&error->size, 0.5));
  snprintf (row, sizeof row, "%s, %s: error, 95%%", what, role);
  print_row (run, row, "%", fig_quantile (&error->size, 0.95));
  snprintf (row, sizeof row, "%s, %s: error, mean with its sign", what, role);
  print_row (run, row, "%", error->sum / count);
  snprintf (row, sizeof row, "%s, %s: margin", what, role);
  print_row (run, row, "%", error->margin_sum / count);
  snprintf (row, sizeof row, "%s, %s: samples", what, role);
  print_row (run, row, "count", error->samples_sum / count);
  snprintf (row, sizeof row, "%s, %s: error beyond the bound", what, role);
  print_row (run, row, "%", 100.0 * error->beyond / count);
  g_free (error->size.values);
}

static void
measure_means (run_t *run, const char *what)
{
  error_t sidecars = { 0 };
  error_t routers = { 0 };
  for (uint32_t i = 0; i < WINDOW_US / CLK_US_PER_S; i++)
    {
      double mean[FLT_SERVICES];
      uint32_t count[FLT_SERVICES];
      flt_run (run->flt, CLK_US_PER_S, false);
      true_means (run->flt, mean, count);
      for (uint32_t j = 0; j < run->flt->count; j++)
        {
          const flt_node_t *node = &run->flt->nodes[j];
          uint32_t service = is_router (node, NULL) ? i % FLT_SERVICES : node->service;
          error_t *error = is_router (node, NULL) ? &routers : &sidecars;
          if (!node->stopped)
            add_estimate (error, node, service, mean[service], count[service]);
        }
    }
  print_error (run, what, "sidecars", &sidecars);
  print_error (run, what, "routers", &routers);
}

static void
bench_means (run_t *run)
{
  begin (run, 0);
  measure_means (run, "mean, steady load");
  run->flt->ramp_us = run->flt->now_us;
  measure_means (run, "mean, load doubles in 10 s");
  end (run);
}

/** struct crowd - hosts of one data centre, of which words are awaited */
typedef struct
{
  uint32_t data_center;
  uint32_t watched;
  uint64_t heard;
  uint64_t expected;
} crowd_t;

static void
count_crowd (const run_t *run, crowd_t *crowd)
{
  const flt_t *flt = run->flt;
  crowd->heard = 0;
  crowd->expected = 0;
  for (uint32_t i = 0; i < flt->count; i++)
    {
      if (flt->nodes[i].stopped || !is_router (&flt->nodes[i], NULL))
        continue;
      for (uint32_t j = crowd->data_center; j < crowd->watched; j += FLT_DATA_CENTERS)
        {
          uint64_t hash = flt->nodes[j].ctrl->own_hash;
          crowd->expected++;
          crowd->heard += has_leaving (&flt->nodes[i], &hash);
        }
    }
}

/* All sidecars of a data centre are told to leave at once. What the list brings is left out. */
static void
bench_evacuation (run_t *run)
{
  crowd_t crowd = { .data_center = 3, .watched = run->options.engines };
  const uint32_t after_s[] = { 2, 3, 5, 10 };
  uint32_t at_s = 0;
  begin (run, crowd.watched);
  flt_counts_t before = run->flt->counts;
  for (uint32_t i = crowd.data_center; i < crowd.watched; i += FLT_DATA_CENTERS)
    {
      flt_enter (&run->flt->nodes[i]);
      ctrl_stop_leave (run->flt->nodes[i].ctrl, "bench");
    }
  for (uint32_t i = 0; i < G_N_ELEMENTS (after_s); i++)
    {
      char row[96];
      flt_run (run->flt, (uint64_t)(after_s[i] - at_s) * CLK_US_PER_S, false);
      at_s = after_s[i];
      count_crowd (run, &crowd);
      snprintf (row, sizeof row, "data centre leaves: words heard by routers after %u s", at_s);
      print_row (run, row, "%", 100.0 * (double)crowd.heard / (double)crowd.expected);
    }
  print_traffic (run, "data centre leaves", &before, (uint64_t)at_s * CLK_US_PER_S);
  end (run);
}

/* A data centre stops without a word; the list tells of it three seconds later. */
static void
bench_drop (run_t *run)
{
  begin (run, 0);
  flt_counts_t before = run->flt->counts;
  flt_stop (run->flt, 3);
  flt_run (run->flt, 3 * CLK_US_PER_S, false);
  flt_list (run->flt, 3, MEM_GONE);
  flt_publish (run->flt);
  uint64_t start_us = run->flt->now_us;
  flt_wait_for (run->flt, has_version, NULL);
  flt_run (run->flt, HORIZON_US, true);
  print_heard (run, "version as a data centre drops", start_us, NULL, NULL);
  flt_run (run->flt, start_us + WINDOW_US - MIN (run->flt->now_us, start_us + WINDOW_US), false);
  print_traffic (run, "data centre drops", &before, WINDOW_US + 3 * CLK_US_PER_S);
  measure_means (run, "mean after a data centre dropped");
  end (run);
}

static bool
is_in_cut (const flt_node_t *node, void *context)
{
  return node->data_center % FLT_REGIONS == *(const uint32_t *)context;
}

static bool
is_not_in_cut (const flt_node_t *node, void *context)
{
  return !is_in_cut (node, context);
}

/* A region is cut off from the others and from the platform for two minutes; meanwhile a version is
 * published. */
static void
bench_cut (run_t *run)
{
  uint32_t region = 1;
  begin (run, 0);
  run->flt->cut_region = (int32_t)region;
  flt_run (run->flt, 3 * CLK_US_PER_S, false);
  flt_publish (run->flt);
  uint64_t start_us = run->flt->now_us;
  flt_wait_for (run->flt, has_version, NULL);
  flt_run (run->flt, 2 * HORIZON_US, false);
  print_heard (run, "version while a region is cut, the others", start_us, is_not_in_cut, &region);
  flt_counts_t before = run->flt->counts;
  run->flt->cut_region = -1;
  start_us = run->flt->now_us;
  flt_run (run->flt, HORIZON_US, true);
  print_heard (run, "version once the cut heals, the region", start_us, is_in_cut, &region);
  print_traffic (run, "cut heals", &before, run->flt->now_us - start_us);
  end (run);
}

static uint64_t
cpu_us (void)
{
  struct timespec ts;
  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &ts);
  return (uint64_t)ts.tv_sec * CLK_US_PER_S + (uint64_t)ts.tv_nsec / 1000;
}

static void
hear (flt_node_t *node, const flt_node_t *from, uint64_t incarnation)
{
  xch_message message = { 0 };
  message.sender.host_hash = from->ctrl->own_hash;
  message.sender.incarnation = incarnation;
  message.sender.sequence = 1;
  message.manifest_version = node->flt->man->version;
  flt_enter (node);
  node->ctrl->list.read_once = true;
  ctrl_talk_heard (&message, true, node->ctrl);
}

/* One daemon with a whole table of hosts hears from each of a data centre that it has restarted,
 * within two seconds. */
static void
bench_restarts (run_t *run)
{
  if (run->options.lost_percent != 0)
    return;
  begin (run, 0);
  flt_t *flt = run->flt;
  flt_node_t *node = &flt->nodes[0];
  uint32_t restarted = flt->count / FLT_DATA_CENTERS;
  mem_list_full (node->ctrl->mem, flt->now_us, flt->listed, flt->count, 1);
  for (uint32_t i = 1; i < flt->count; i++)
    hear (node, &flt->nodes[i], 1);
  flt->now_us += WINDOW_US;
  hear (node, &flt->nodes[1], 2);
  flt->now_us += WINDOW_US;
  cnt_t *told = cnt_get (flt->counters, "medlarplank_members_told_total", "");
  uint64_t told_before = cnt_value (told);
  uint64_t start_us = cpu_us ();
  for (uint32_t i = 0; i < restarted; i++)
    {
      flt->now_us += 2 * CLK_US_PER_S / restarted;
      hear (node, &flt->nodes[3 + i * FLT_DATA_CENTERS % (flt->count - 3)], 3);
    }
  flt->now_us += CLK_US_PER_S;
  hear (node, &flt->nodes[2], 4);
  print_row (run, "data centre restarts: words", "count", restarted);
  print_row (run, "data centre restarts: snapshots told", "count",
             (double)(cnt_value (told) - told_before));
  print_row (run, "data centre restarts: processor time", "ms",
             (double)(cpu_us () - start_us) / 1000);
  end (run);
}

static void
tell (void *message, void (*handler) (mbx_message_t *message, void *context), void *task)
{
  mbx_message_t *head = message;
  handler (head, task);
  head->free (head);
}

/* What one snapshot costs a data task. */
static double
members_cost_us (flt_t *flt, void (*handler) (mbx_message_t *message, void *context), void *task)
{
  msg_version_t *version = msg_new (MSG_VERSION);
  version->man = man_ref (flt->man);
  tell (version, handler, task);
  uint64_t start_us = 0;
  for (uint32_t i = 0; i <= TELLS; i++)
    {
      msg_members_t *members = msg_new (MSG_MEMBERS);
      members->members = mem_snapshot_ref (flt->members);
      tell (members, handler, task);
      if (i == 0)
        start_us = cpu_us ();
    }
  return (double)(cpu_us () - start_us) / TELLS;
}

static void
bench_data (run_t *run)
{
  if (run->options.lost_percent != 0)
    return;
  begin (run, 0);
  flt_t *flt = run->flt;
  dmn_t *router = &flt->nodes[flt->count - 1].dmn;
  dmn_t *sidecar = &flt->nodes[0].dmn;
  router->to_control = flt->mailbox;
  sidecar->to_control = flt->mailbox;
  g_strlcpy (router->set.listen.ip, "127.0.0.1", sizeof router->set.listen.ip);
  sidecar->set.listen = router->set.listen;
  sidecar->set.engine = router->set.listen;
  rtr_t *rtr = rtr_new (router, flt->base, NULL);
  sdc_t *sdc = sdc_new (sidecar, flt->base, NULL);
  if (rtr == NULL || sdc == NULL)
    {
      fprintf (stderr, "bench_spread: no port\n");
      exit (1);
    }
  print_row (run, "members told to a router's data task", "us",
             members_cost_us (flt, rtr_message, rtr));
  print_row (run, "members told to a sidecar's data task", "us",
             members_cost_us (flt, sdc_message, sdc));
  rtr_free (rtr);
  sdc_free (sdc);
  end (run);
}

typedef struct
{
  const char *name;
  void (*run) (run_t *run);
} part_t;

static const part_t parts[] = {
  { "quiet", bench_quiet },           { "version", bench_version }, { "list", bench_list },
  { "leaving", bench_leaving },       { "mark", bench_mark },       { "means", bench_means },
  { "evacuation", bench_evacuation }, { "drop", bench_drop },       { "cut", bench_cut },
  { "restarts", bench_restarts },     { "data", bench_data },
};

static void
run_size (run_t *run, const fleet_size_t *size)
{
  run->options.engines = size->engines;
  run->options.routers = size->routers;
  for (uint32_t i = 0; i < G_N_ELEMENTS (losses); i++)
    {
      run->options.lost_percent = losses[i];
      for (uint32_t j = 0; j < G_N_ELEMENTS (parts); j++)
        {
          run->options.seed = 1;
          if (wanted (run, parts[j].name))
            parts[j].run (run);
        }
    }
}

static uint32_t
number (const char *text)
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
        run.options.interval_ms = number (optarg);
      else if (flag == 'b')
        run.options.budget_bytes = number (optarg);
      else if (flag == 'd')
        daemons = number (optarg);
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
