#include "fleet.h"

#include "../random.h"

#include <string.h>

/* The platform answers after the minimum plus a random time below the jitter. */
#define ANSWER_MIN_US (10 * CLOCK_US_PER_MS)
#define ANSWER_JITTER_US (20 * CLOCK_US_PER_MS)
#define TIMEOUT_US (2 * CLOCK_US_PER_S) /* until a request of a partitioned node fails */
#define POLL_US (10 * CLOCK_US_PER_MS)  /* between two checks of a read that waits */
#define FETCH_US (50 * CLOCK_US_PER_MS) /* duration of a download from a peer */
/* between two downloads of a node, before jitter */
#define FETCH_INTERVAL_US (1 * CLOCK_US_PER_S)

/**
 * struct request - a request to the platform
 * @read: callback of a read of the log, or NULL
 * @hosts: callback of a request for the list of hosts, or NULL
 * @op: argument of the callback
 * @from_offset: first offset to read, or the revision of the list that the node has
 * @until_us: until when a read waits for a new record
 * @partitioned: the node could not reach the platform when it sent the request, which fails
 */
typedef struct
{
  platform_read_done_t read;
  platform_hosts_done_t hosts;
  control_call_t *op;
  uint64_t from_offset;
  uint64_t until_us;
  bool partitioned;
} request_t;

static fleet_node_t *
node_of (const control_call_t *op)
{
  return (fleet_node_t *)op->ctrl->daemon;
}

static bool
is_partitioned (const fleet_node_t *node)
{
  return (int32_t)(node->data_center % FLEET_REGIONS) == node->flt->cut_region;
}

static void
schedule_answer (flt_t *fleet, fleet_event_t kind, request_t *request)
{
  const fleet_node_t *node = node_of (request->op);
  request->partitioned = is_partitioned (node);
  uint64_t wait_us = ANSWER_MIN_US + random_below (&fleet->random, ANSWER_JITTER_US);
  if (request->partitioned)
    wait_us = TIMEOUT_US;
  event_queue_add (&fleet->events, fleet->now_us + wait_us, kind, node->index, request);
}

static void
fake_append (platform_t *platform,
             const char *stream,
             const char *data,
             size_t data_bytes,
             platform_append_done_t done,
             void *context)
{
  (void)platform;
  (void)stream;
  (void)data;
  (void)data_bytes;
  (void)done;
  (void)context; /* only checkpoints are appended; these appends are never answered */
}

static void
fake_read (platform_t *platform,
           const char *stream,
           uint64_t from_offset,
           uint32_t max_records,
           uint32_t wait_ms,
           platform_read_done_t done,
           void *context)
{
  flt_t *fleet = (flt_t *)platform;
  (void)stream;
  (void)max_records;
  request_t *request = g_new0 (request_t, 1);
  request->read = done;
  request->op = context;
  request->from_offset = from_offset;
  request->until_us = fleet->now_us + (uint64_t)wait_ms * CLOCK_US_PER_MS;
  fleet->counts.log_reads++;
  schedule_answer (fleet, FLEET_EVENT_LOG_READ, request);
}

static void
fake_hosts (platform_t *platform, uint64_t revision, platform_hosts_done_t done, void *context)
{
  flt_t *fleet = (flt_t *)platform;
  request_t *request = g_new0 (request_t, 1);
  request->hosts = done;
  request->op = context;
  request->from_offset = revision;
  fleet->counts.list_reads++;
  schedule_answer (fleet, FLEET_EVENT_HOST_LIST, request);
}

static void
fake_free (platform_t *platform)
{
  (void)platform;
}

/* Hands the manifest to the node directly: the fake log has no records. */
static void
update_manifest (fleet_node_t *node)
{
  replay_t *replay = node->ctrl->manifest.replay;
  replay_set_first (replay, (position_t){ 0 });
  replay_adopt (replay, node->flt->manifest, (position_t){ .offset = node->flt->log_end });
}

void
fleet_platform_init (flt_t *fleet)
{
  fleet->platform.append = fake_append;
  fleet->platform.read = fake_read;
  fleet->platform.hosts = fake_hosts;
  fleet->platform.free = fake_free;
}

void
fleet_platform_answer_read (fleet_node_t *node, void *data)
{
  flt_t *fleet = node->flt;
  request_t *request = data;
  if (!request->partitioned && request->from_offset >= fleet->log_end &&
      fleet->now_us < request->until_us)
    {
      event_queue_add (&fleet->events, fleet->now_us + POLL_US, FLEET_EVENT_LOG_READ, node->index,
                       request);
      return;
    }
  platform_read_t read = { .outcome = PLATFORM_UNKNOWN };
  if (!request->partitioned)
    {
      update_manifest (node);
      read.outcome = PLATFORM_OK;
      read.next.offset = fleet->log_end;
      read.end.offset = fleet->log_end;
    }
  request->read (&read, request->op);
  g_free (request);
}

/* Gives the node the snapshot of the members that all nodes share. The list read itself brings an
 * empty change, to the table empty_members. */
static void
update_members (fleet_node_t *node)
{
  control_peers_t *peers = &node->ctrl->peers;
  if (peers->members == node->flt->members)
    return;
  if (peers->members != NULL)
    membership_snapshot_unref (peers->members);
  peers->members = membership_snapshot_ref (node->flt->members);
  control_peers_rebuild (node->ctrl);
}

void
fleet_platform_answer_hosts (fleet_node_t *node, void *data)
{
  flt_t *fleet = node->flt;
  request_t *request = data;
  platform_hosts_t hosts = { .outcome = PLATFORM_UNKNOWN };
  if (!request->partitioned)
    {
      hosts.outcome = PLATFORM_OK;
      hosts.revision = fleet->list_revision;
      update_members (node);
    }
  membership_t *own_members = node->ctrl->membership;
  node->ctrl->membership = fleet->empty_members;
  request->hosts (&hosts, request->op);
  node->ctrl->membership = own_members;
  node->ctrl->list.read_once = false;
  g_free (request);
}

void
control_fetch_start (control_t *ctrl, const membership_host_t *host)
{
  fleet_node_t *node = (fleet_node_t *)ctrl->daemon;
  flt_t *fleet = node->flt;
  if (ctrl->fetch.call != NULL || fleet->now_us < ctrl->fetch.next_us)
    return;
  ctrl->fetch.next_us = fleet->now_us + control_add_jitter (ctrl, FETCH_INTERVAL_US);
  exchange_charge_budget (ctrl->exchange, CONTROL_REQUEST_BYTES);
  fleet->counts.fetches++;
  uint64_t *peer = g_new (uint64_t, 1);
  *peer = (uint64_t)(host->exchange.port - fleet->nodes[0].daemon.settings.exchange.port);
  event_queue_add (&fleet->events, fleet->now_us + FETCH_US, FLEET_EVENT_FETCH, node->index, peer);
}

void
control_fetch_clear (control_t *ctrl)
{
  (void)ctrl;
}

void
fleet_end_fetch (fleet_node_t *node, void *data)
{
  const fleet_node_t *peer = &node->flt->nodes[*(uint64_t *)data];
  replay_t *source = peer->ctrl->manifest.replay;
  bool reached = !peer->stopped && is_partitioned (peer) == is_partitioned (node);
  if (reached && replay_is_ready (source) &&
      replay_adopt (node->ctrl->manifest.replay, replay_manifest (source), replay_next (source)))
    {
      control_manifest_send_if_changed (node->ctrl);
      control_freshness_send_if_fresh (node->ctrl);
    }
  g_free (data);
}
