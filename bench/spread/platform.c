#include "fleet.h"

#include "../random.h"

#include <string.h>

#define ANSWER_MIN_US (10 * CLK_US_PER_MS)
#define ANSWER_SPREAD_US (20 * CLK_US_PER_MS)
#define FAIL_US (2 * CLK_US_PER_S)
#define LOOK_US (10 * CLK_US_PER_MS) /* how often a read that waits is looked at */
#define FETCH_US (50 * CLK_US_PER_MS)
#define FETCH_BETWEEN_US (1 * CLK_US_PER_S)

/** struct request - to the platform; fails when @cut */
typedef struct
{
  plt_read_done_t read;
  plt_hosts_done_t hosts;
  ctrl_op_t *op;
  uint64_t from_offset;
  uint64_t until_us;
  bool cut;
} request_t;

static flt_node_t *
node_of (const ctrl_op_t *op)
{
  return (flt_node_t *)op->ctrl->dmn;
}

static bool
is_cut (const flt_node_t *node)
{
  return (int32_t)(node->data_center % FLT_REGIONS) == node->flt->cut_region;
}

static void
ask (flt_t *flt, flt_event_t kind, request_t *request)
{
  const flt_node_t *node = node_of (request->op);
  request->cut = is_cut (node);
  uint64_t wait_us = ANSWER_MIN_US + rnd_below (&flt->random, ANSWER_SPREAD_US);
  if (request->cut)
    wait_us = FAIL_US;
  evt_add (&flt->events, flt->now_us + wait_us, kind, node->index, request);
}

static void
fake_append (plt_t *plt,
             const char *stream,
             const char *data,
             size_t data_bytes,
             plt_appended_t done,
             void *context)
{
  (void)plt;
  (void)stream;
  (void)data;
  (void)data_bytes;
  (void)done;
  (void)context; /* checkpoints: never answered here */
}

static void
fake_read (plt_t *plt,
           const char *stream,
           uint64_t from_offset,
           uint32_t max_records,
           uint32_t wait_ms,
           plt_read_done_t done,
           void *context)
{
  flt_t *flt = (flt_t *)plt;
  (void)stream;
  (void)max_records;
  request_t *request = g_new0 (request_t, 1);
  request->read = done;
  request->op = context;
  request->from_offset = from_offset;
  request->until_us = flt->now_us + (uint64_t)wait_ms * CLK_US_PER_MS;
  flt->counts.log_reads++;
  ask (flt, FLT_READ, request);
}

static void
fake_hosts (plt_t *plt, uint64_t revision, plt_hosts_done_t done, void *context)
{
  flt_t *flt = (flt_t *)plt;
  request_t *request = g_new0 (request_t, 1);
  request->hosts = done;
  request->op = context;
  request->from_offset = revision;
  flt->counts.list_reads++;
  ask (flt, FLT_HOSTS, request);
}

static void
fake_free (plt_t *plt)
{
  (void)plt;
}

/* The records themselves are left out: the version that they make is handed over. */
static void
bring_version (flt_node_t *node)
{
  rep_t *rep = node->ctrl->manifest.rep;
  rep_begin (rep, 0);
  rep_adopt (rep, node->flt->man, node->flt->log_end);
}

void
flt_platform_init (flt_t *flt)
{
  flt->plt.append = fake_append;
  flt->plt.read = fake_read;
  flt->plt.hosts = fake_hosts;
  flt->plt.free = fake_free;
}

void
flt_platform_read (flt_node_t *node, void *data)
{
  flt_t *flt = node->flt;
  request_t *request = data;
  if (!request->cut && request->from_offset >= flt->log_end && flt->now_us < request->until_us)
    {
      evt_add (&flt->events, flt->now_us + LOOK_US, FLT_READ, node->index, request);
      return;
    }
  plt_read_t read = { .outcome = PLT_UNKNOWN };
  if (!request->cut)
    {
      bring_version (node);
      read.outcome = PLT_OK;
      read.next_offset = flt->log_end;
      read.end_offset = flt->log_end;
    }
  request->read (&read, request->op);
  g_free (request);
}

/* The members go to the daemon as one snapshot for all; its own table hears an empty change. */
static void
bring_members (flt_node_t *node)
{
  ctrl_peers_t *peers = &node->ctrl->peers;
  if (peers->members == node->flt->members)
    return;
  if (peers->members != NULL)
    mem_snapshot_unref (peers->members);
  peers->members = mem_snapshot_ref (node->flt->members);
  ctrl_peers_rebuild (node->ctrl);
}

void
flt_platform_hosts (flt_node_t *node, void *data)
{
  flt_t *flt = node->flt;
  request_t *request = data;
  plt_hosts_t hosts = { .outcome = PLT_UNKNOWN };
  if (!request->cut)
    {
      hosts.outcome = PLT_OK;
      hosts.revision = flt->list_revision;
      bring_members (node);
    }
  mem_t *own = node->ctrl->mem;
  node->ctrl->mem = flt->dummy;
  request->hosts (&hosts, request->op);
  node->ctrl->mem = own;
  node->ctrl->list.read_once = false;
  g_free (request);
}

void
ctrl_fetch_start (ctrl_t *ctrl, const mem_host_t *host)
{
  flt_node_t *node = (flt_node_t *)ctrl->dmn;
  flt_t *flt = node->flt;
  if (ctrl->fetch.call != NULL || flt->now_us < ctrl->fetch.next_us)
    return;
  ctrl->fetch.next_us = flt->now_us + ctrl_jitter (ctrl, FETCH_BETWEEN_US);
  exc_charge (ctrl->exc, CTRL_REQUEST_BYTES);
  flt->counts.fetches++;
  uint64_t *peer = g_new (uint64_t, 1);
  *peer = (uint64_t)(host->exchange.port - flt->nodes[0].dmn.set.exchange.port);
  evt_add (&flt->events, flt->now_us + FETCH_US, FLT_FETCH, node->index, peer);
}

void
ctrl_fetch_clear (ctrl_t *ctrl)
{
  (void)ctrl;
}

void
flt_fetch_end (flt_node_t *node, void *data)
{
  const flt_node_t *peer = &node->flt->nodes[*(uint64_t *)data];
  rep_t *from = peer->ctrl->manifest.rep;
  bool reached = !peer->stopped && is_cut (peer) == is_cut (node);
  if (reached && rep_ready (from) &&
      rep_adopt (node->ctrl->manifest.rep, rep_manifest (from), rep_next_offset (from)))
    {
      ctrl_manifest_flush (node->ctrl);
      ctrl_fresh_flush (node->ctrl);
    }
  g_free (data);
}
