#include "request/router/router.h"
#include "request/sidecar/sidecar.h"
#include "run.h"

#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#define REPEATS 20 /* snapshots whose average cost is measured */

static uint64_t
thread_cpu_us (void)
{
  struct timespec ts;
  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &ts);
  return (uint64_t)ts.tv_sec * CLOCK_US_PER_S + (uint64_t)ts.tv_nsec / 1000;
}

static void
receive_message (fleet_node_t *node, const fleet_node_t *from, uint64_t incarnation)
{
  xch_message message = { 0 };
  message.sender.host_hash = from->ctrl->own_hash;
  message.sender.incarnation = incarnation;
  message.sender.sequence = 1;
  message.manifest_version = node->flt->manifest->version;
  fleet_set_clock (node);
  node->ctrl->list.read_once = true;
  control_exchange_receive (&message, true, node->ctrl);
}

void
run_restart_cost (run_t *run)
{
  if (run->options.lost_percent != 0)
    return;
  run_begin (run, 0);
  flt_t *fleet = run->flt;
  fleet_node_t *node = &fleet->nodes[0];
  uint32_t restarted = fleet->count / FLEET_DATA_CENTERS;
  membership_apply_list (node->ctrl->membership, fleet->now_us, fleet->listed, fleet->count, 1);
  for (uint32_t i = 1; i < fleet->count; i++)
    receive_message (node, &fleet->nodes[i], 1);
  fleet->now_us += RUN_WINDOW_US;
  receive_message (node, &fleet->nodes[1], 2);
  fleet->now_us += RUN_WINDOW_US;
  counter_t *snapshots = counter_get (fleet->counters, "medlarplank_members_told_total", "");
  uint64_t snapshots_before = counter_value (snapshots);
  uint64_t start_us = thread_cpu_us ();
  for (uint32_t i = 0; i < restarted; i++)
    {
      fleet->now_us += 2 * CLOCK_US_PER_S / restarted;
      receive_message (node, &fleet->nodes[3 + i * FLEET_DATA_CENTERS % (fleet->count - 3)], 3);
    }
  fleet->now_us += CLOCK_US_PER_S;
  receive_message (node, &fleet->nodes[2], 4);
  run_print (run, "data centre restarts: words", "count", restarted);
  run_print (run, "data centre restarts: snapshots told", "count",
             (double)(counter_value (snapshots) - snapshots_before));
  run_print (run, "data centre restarts: processor time", "ms",
             (double)(thread_cpu_us () - start_us) / 1000);
  run_end (run);
}

static void
deliver (void *message, void (*handler) (mailbox_message_t *message, void *context), void *task)
{
  mailbox_message_t *head = message;
  handler (head, task);
  head->free (head);
}

/* Returns the average processor time that a data task needs for a snapshot of the members. The
 * first snapshot is not measured. */
static double
members_cost_us (flt_t *fleet,
                 void (*handler) (mailbox_message_t *message, void *context),
                 void *task)
{
  message_version_t *version = message_new (MESSAGE_VERSION);
  version->manifest = manifest_ref (fleet->manifest);
  deliver (version, handler, task);
  uint64_t start_us = 0;
  for (uint32_t i = 0; i <= REPEATS; i++)
    {
      message_members_t *members = message_new (MESSAGE_MEMBERS);
      members->members = membership_snapshot_ref (fleet->members);
      deliver (members, handler, task);
      if (i == 0)
        start_us = thread_cpu_us ();
    }
  return (double)(thread_cpu_us () - start_us) / REPEATS;
}

void
run_data (run_t *run)
{
  if (run->options.lost_percent != 0)
    return;
  run_begin (run, 0);
  flt_t *fleet = run->flt;
  daemon_t *router = &fleet->nodes[fleet->count - 1].daemon;
  daemon_t *sidecar = &fleet->nodes[0].daemon;
  router->to_control = fleet->mailbox;
  sidecar->to_control = fleet->mailbox;
  g_strlcpy (router->settings.listen.ip, "127.0.0.1", sizeof router->settings.listen.ip);
  sidecar->settings.listen = router->settings.listen;
  sidecar->settings.engine = router->settings.listen;
  router_t *rtr = router_new (router, fleet->base, NULL);
  sidecar_t *sdc = sidecar_new (sidecar, fleet->base, NULL);
  if (rtr == NULL || sdc == NULL)
    {
      fprintf (stderr, "bench_spread: no port\n");
      exit (1);
    }
  run_print (run, "members told to a router's data task", "us",
             members_cost_us (fleet, router_handle_message, rtr));
  run_print (run, "members told to a sidecar's data task", "us",
             members_cost_us (fleet, sidecar_handle_message, sdc));
  router_free (rtr);
  sidecar_free (sdc);
  run_end (run);
}
