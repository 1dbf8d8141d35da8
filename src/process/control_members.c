#include "process/control_private.h"

#include "base/log.h"

/*
 * Taking and sending a snapshot costs about a microsecond per known host. Waiting at least this
 * long per host after the last snapshot limits the cost to a hundredth of a core whatever is
 * received, and the delay to less than half a second for 4,580 hosts. Changes that are not urgent
 * wait longer.
 */
#define URGENT_WAIT_US_PER_HOST 100
#define WAIT_US_PER_HOST 1000
#define WAIT_MIN_US (1 * CLOCK_US_PER_S)
#define MAX_LOGGED_CHANGES 16       /* of further changes only the number is logged */
#define FOLLOWERS_PER_DATA_CENTER 3 /* they poll the log and the host list */
#define FOLLOWER_SEED UINT64_C (0x9e3779b97f4a7c15)

static const char *
state_name (membership_state_t state)
{
  switch (state)
    {
    case MEMBERSHIP_LIVE:
      return "live";
    case MEMBERSHIP_LEAVING:
      return "leaving";
    case MEMBERSHIP_GONE:
      break;
    }
  return "gone";
}

static void
log_change (const membership_host_t *host, membership_state_t state, uint64_t now_us)
{
  uint64_t settles_us = host->settled_us > now_us ? host->settled_us - now_us : 0;
  log_event (LOG_LEVEL_INFO, "member_changed", "name", host->name, "state", state_name (state),
             "incarnation", LOG_U64 (host->incarnation), "settles_in_ms",
             settles_us != 0 ? LOG_U64 (settles_us / CLOCK_US_PER_MS) : NULL, NULL);
}

static bool
is_same_for_log (const membership_host_t *a, const membership_host_t *b)
{
  return a->state == b->state && a->incarnation == b->incarnation && a->settled_us == b->settled_us;
}

/* Return: the number of hosts that differ; the first of them are logged. */
static uint32_t
log_differences (const membership_snapshot_t *before,
                 const membership_snapshot_t *after,
                 uint64_t now_us)
{
  uint32_t changes = 0;
  for (uint32_t i = 0; i < after->host_count; i++)
    {
      const membership_host_t *host = &after->hosts[i];
      const membership_host_t *old = membership_find_by_hash (before, host->hash);
      if (old != NULL && is_same_for_log (old, host))
        continue;
      if (changes++ < MAX_LOGGED_CHANGES)
        log_change (host, host->state, now_us);
    }
  for (uint32_t i = 0; i < before->host_count; i++)
    {
      const membership_host_t *old = &before->hosts[i];
      if (membership_find_by_hash (after, old->hash) != NULL)
        continue;
      if (changes++ < MAX_LOGGED_CHANGES)
        log_change (old, MEMBERSHIP_GONE, now_us);
    }
  return changes;
}

static void
log_members (const membership_snapshot_t *before,
             const membership_snapshot_t *after,
             uint64_t now_us)
{
  uint32_t changes = before != NULL ? log_differences (before, after, now_us) : after->host_count;
  if (changes == 0)
    return;
  log_event (LOG_LEVEL_INFO, "members", "hosts", LOG_U64 (after->host_count), "changes",
             LOG_U64 (changes), "revision", LOG_U64 (after->list_revision), NULL);
}

static void
update_gauges (control_t *ctrl, const membership_snapshot_t *members)
{
  uint64_t leaving = 0;
  for (uint32_t i = 0; i < members->host_count; i++)
    leaving += members->hosts[i].state == MEMBERSHIP_LEAVING;
  control_set_gauge (ctrl, "medlarplank_hosts", "Hosts known, routers and sidecars",
                     members->host_count);
  control_set_gauge (ctrl, "medlarplank_hosts_leaving", "Hosts known that are leaving", leaving);
}

static uint64_t
follower_score (uint64_t host_hash)
{
  uint64_t mixed = (host_hash ^ FOLLOWER_SEED) * UINT64_C (0xff51afd7ed558ccd);
  return mixed ^ (mixed >> 33);
}

/* Whether this daemon is a follower: one of the hosts of its data centre with the highest scores.
 * All daemons with the same list agree on them. A daemon that isn't listed yet is a follower too,
 * as no peer may know it and send it news. */
static bool
is_follower (const control_t *ctrl, const membership_snapshot_t *members)
{
  const membership_host_t *own = membership_find_by_hash (members, ctrl->own_hash);
  if (own == NULL)
    return true;
  uint32_t higher_scores = 0;
  for (uint32_t i = 0; i < members->host_count; i++)
    {
      const membership_host_t *host = &members->hosts[i];
      if (host->state != MEMBERSHIP_LIVE || g_strcmp0 (host->data_center, own->data_center) != 0)
        continue;
      higher_scores += follower_score (host->hash) > follower_score (own->hash);
    }
  return higher_scores < FOLLOWERS_PER_DATA_CENTER;
}

static const manifest_service_t *
find_service (const control_t *ctrl, const char *name)
{
  const manifest_t *manifest = replay_manifest (ctrl->manifest.replay);
  return manifest != NULL ? manifest_service_of_engine (manifest, name) : NULL;
}

static const membership_host_t *
pick_random (control_t *ctrl, const GArray *indices)
{
  if (indices->len == 0)
    return NULL;
  guint at = (guint)g_rand_int_range (ctrl->rand, 0, (gint32)indices->len);
  return &ctrl->peers.members->hosts[g_array_index (indices, uint32_t, at)];
}

void
control_members_init (control_t *ctrl)
{
  control_peers_t *peers = &ctrl->peers;
  peers->all = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  peers->sidecars = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  peers->same_service = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  peers->is_follower = true;
}

void
control_members_clear (control_t *ctrl)
{
  control_peers_t *peers = &ctrl->peers;
  if (peers->members != NULL)
    membership_snapshot_unref (peers->members);
  g_array_free (peers->all, TRUE);
  g_array_free (peers->sidecars, TRUE);
  g_array_free (peers->same_service, TRUE);
}

void
control_peers_rebuild (control_t *ctrl)
{
  control_peers_t *peers = &ctrl->peers;
  if (peers->members == NULL)
    return;
  g_array_set_size (peers->all, 0);
  g_array_set_size (peers->sidecars, 0);
  g_array_set_size (peers->same_service, 0);
  const settings_t *settings = &ctrl->daemon->settings;
  const manifest_service_t *own = find_service (ctrl, settings->name);
  for (uint32_t i = 0; i < peers->members->host_count; i++)
    {
      const membership_host_t *host = &peers->members->hosts[i];
      if (host->hash == ctrl->own_hash || host->state != MEMBERSHIP_LIVE ||
          host->exchange.port == 0)
        continue;
      g_array_append_val (peers->all, i);
      if (host->is_router)
        continue;
      g_array_append_val (peers->sidecars, i);
      if (own != NULL && g_strcmp0 (host->region, settings->region) == 0 &&
          find_service (ctrl, host->name) == own)
        g_array_append_val (peers->same_service, i);
    }
  peers->is_follower = is_follower (ctrl, peers->members);
}

/* A snapshot costs milliseconds with thousands of hosts. When a data centre drops out or returns,
 * hundreds of changes arrive one by one. A daemon that starts receives each host's first message;
 * their incarnations alone are not urgent. */
static bool
is_due (const control_t *ctrl)
{
  const membership_snapshot_t *members = ctrl->peers.members;
  if (!ctrl->list.read_once || !membership_has_changed (ctrl->membership))
    return false;
  if (members == NULL)
    return true;
  uint64_t waited_us = control_now_us (ctrl) - ctrl->peers.sent_us;
  uint64_t urgent_us = (uint64_t)members->host_count * URGENT_WAIT_US_PER_HOST;
  /* Delayed changes are checked on the tick, so a shorter delay has no use: in a small fleet urgent
   * changes are sent at once. */
  if (membership_has_urgent_change (ctrl->membership))
    return urgent_us < PAUSE_CHECK_INTERVAL_MS * CLOCK_US_PER_MS || waited_us >= urgent_us;
  return waited_us >= MAX (WAIT_MIN_US, (uint64_t)members->host_count * WAIT_US_PER_HOST);
}

static void
send_members (control_t *ctrl)
{
  ctrl->peers.sent_us = control_now_us (ctrl);
  membership_snapshot_t *after = membership_take_snapshot (ctrl->membership);
  log_members (ctrl->peers.members, after, control_now_us (ctrl));
  if (ctrl->peers.members != NULL)
    membership_snapshot_unref (ctrl->peers.members);
  ctrl->peers.members = after;
  update_gauges (ctrl, after);
  control_count_event (ctrl, "medlarplank_members_told_total",
                       "Times that the members were told to the data task");
  control_peers_rebuild (ctrl);
  message_members_t *message = message_new (MESSAGE_MEMBERS);
  message->members = membership_snapshot_ref (after);
  control_send_to_data (ctrl, message);
}

void
control_members_send_if_due (control_t *ctrl)
{
  if (is_due (ctrl))
    send_members (ctrl);
}

void
control_members_send_now (control_t *ctrl)
{
  if (ctrl->list.read_once && membership_has_changed (ctrl->membership))
    send_members (ctrl);
}

const membership_host_t *
control_pick_any_peer (control_t *ctrl)
{
  return pick_random (ctrl, ctrl->peers.all);
}

/* Routers call sidecars, which know loads. Sidecars call those of their own service to estimate its
 * mean load, and as often any peer, so that versions and state reports reach all hosts. */
const membership_host_t *
control_pick_useful_peer (control_t *ctrl)
{
  const membership_host_t *host = NULL;
  if (ctrl->daemon->settings.role == SETTINGS_ROLE_ROUTER)
    host = pick_random (ctrl, ctrl->peers.sidecars);
  else if (g_rand_boolean (ctrl->rand))
    host = pick_random (ctrl, ctrl->peers.same_service);
  return host != NULL ? host : control_pick_any_peer (ctrl);
}
