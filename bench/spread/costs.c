#include "request/router/router.h"
#include "request/sidecar/sidecar.h"
#include "run.h"

#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#define TELLS 20

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

void
run_restarts (run_t *run)
{
  if (run->options.lost_percent != 0)
    return;
  run_begin (run, 0);
  flt_t *flt = run->flt;
  flt_node_t *node = &flt->nodes[0];
  uint32_t restarted = flt->count / FLT_DATA_CENTERS;
  mem_list_full (node->ctrl->mem, flt->now_us, flt->listed, flt->count, 1);
  for (uint32_t i = 1; i < flt->count; i++)
    hear (node, &flt->nodes[i], 1);
  flt->now_us += RUN_WINDOW_US;
  hear (node, &flt->nodes[1], 2);
  flt->now_us += RUN_WINDOW_US;
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
  run_print (run, "data centre restarts: words", "count", restarted);
  run_print (run, "data centre restarts: snapshots told", "count",
             (double)(cnt_value (told) - told_before));
  run_print (run, "data centre restarts: processor time", "ms",
             (double)(cpu_us () - start_us) / 1000);
  run_end (run);
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

void
run_data (run_t *run)
{
  if (run->options.lost_percent != 0)
    return;
  run_begin (run, 0);
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
  run_print (run, "members told to a router's data task", "us",
             members_cost_us (flt, rtr_message, rtr));
  run_print (run, "members told to a sidecar's data task", "us",
             members_cost_us (flt, sdc_message, sdc));
  rtr_free (rtr);
  sdc_free (sdc);
  run_end (run);
}
