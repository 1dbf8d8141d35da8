#include "process/control_private.h"

#include "base/log.h"
#include "request/policy/placement/rendezvous.h"

#include <string.h>

#define SOURCE "list"
/* Daemons that aren't followers read the list when a peer has a higher revision, and at this
 * interval. */
#define RECHECK_US (30 * CLOCK_US_PER_S)
/* A daemon that receives no message of a peer for this long reads the list itself. */
#define PEERS_SILENT_US (5 * CLOCK_US_PER_S)
/* A list that stays below the known revision for this long has been reset and no longer lags. */
#define RESET_AFTER_US (30 * CLOCK_US_PER_S)
#define LEAVING_CALLS_PER_TICK 4 /* calls per tick to hosts that are listed as leaving */

/* As the list lags, a first list that has this host as leaving may refer to the previous process on
 * it. The daemon then stays stale, and so takes no work, until the list has it as live. When the
 * list turns to leaving later, this process is meant and has to leave. */
static void
apply_own_state (control_t *ctrl, membership_state_t state)
{
  control_list_t *list = &ctrl->list;
  bool turned = state != list->own_state;
  list->own_state = state;
  if (state != MEMBERSHIP_LEAVING)
    {
      list->own_unclear = false;
      return;
    }
  if (!list->read_once)
    {
      list->own_unclear = true;
      log_event (LOG_LEVEL_WARNING, "listed_as_leaving_at_start", NULL);
    }
  else if (turned)
    {
      control_stop_start_leaving (ctrl, "list");
    }
}

static const membership_list_entry_t *
find_own_entry (const control_t *ctrl, const platform_hosts_t *hosts)
{
  for (uint32_t i = 0; i < hosts->host_count; i++)
    {
      if (strcmp (hosts->hosts[i].name, ctrl->daemon->settings.name) == 0)
        return &hosts->hosts[i];
    }
  return NULL;
}

/*
 * A host that is listed as leaving reads so itself only once a peer announces the higher revision,
 * which takes seconds in a large fleet, or never if it reads an outdated copy. So the followers of
 * its data centre call it; other daemons report it in their replies and in the calls they happen to
 * make.
 */
static void
note_leaving_hosts (control_t *ctrl, const platform_hosts_t *hosts)
{
  const char *data_center = ctrl->daemon->settings.data_center;
  if (!ctrl->peers.is_follower)
    return;
  for (uint32_t i = 0; i < hosts->host_count; i++)
    {
      const membership_list_entry_t *host = &hosts->hosts[i];
      uint64_t hash = rendezvous_hash_name (host->name);
      if (host->state == MEMBERSHIP_LEAVING && hash != ctrl->own_hash &&
          strcmp (host->data_center, data_center) == 0 &&
          membership_leave_unconfirmed (ctrl->membership, hash))
        leave_notice_add (ctrl->list.leaving, control_now_us (ctrl), hash);
    }
}

static void
apply_hosts (control_t *ctrl, const platform_hosts_t *hosts)
{
  control_list_t *list = &ctrl->list;
  uint64_t now_us = control_now_us (ctrl);
  if (hosts->full)
    membership_apply_list (ctrl->membership, now_us, hosts->hosts, hosts->host_count,
                           hosts->revision);
  else
    membership_apply_list_changes (ctrl->membership, now_us, hosts->hosts, hosts->host_count,
                                   hosts->revision);
  const membership_list_entry_t *own = find_own_entry (ctrl, hosts);
  if (own != NULL)
    apply_own_state (ctrl, own->state);
  else if (hosts->full)
    apply_own_state (ctrl, MEMBERSHIP_GONE);
  list->revision = hosts->revision;
  if (list->own_state == MEMBERSHIP_LIVE)
    list->own_live_revision = hosts->revision;
  list->read_once = true;
  note_leaving_hosts (ctrl, hosts);
  control_exchange_apply_own_report (ctrl);
  control_list_notify_leaving (ctrl);
}

/* A list store that was emptied or has just started returns no hosts. Applying that would stop the
 * whole fleet at once, or let a starting daemon become fresh without knowing any host. */
static bool
is_credible (const platform_hosts_t *hosts)
{
  return !hosts->full || hosts->host_count > 0;
}

static uint64_t
poll_interval_us (const control_t *ctrl)
{
  return (uint64_t)ctrl->daemon->settings.list_interval_ms * CLOCK_US_PER_MS;
}

/* A read may return a copy from before the announced revision, so a successful one alone changes
 * nothing. A list that was reset may never reach the revision, so it counts for a limited time. */
static bool
is_behind_peer (const control_t *ctrl)
{
  const control_list_t *list = &ctrl->list;
  return list->peer_revision > list->revision &&
         control_now_us (ctrl) - list->peer_revision_us < RECHECK_US;
}

/* The delay until the next read. A daemon that isn't a follower relies on peers to announce new
 * revisions, so it polls like a follower while it receives none of their messages, and while one
 * has announced a higher revision. */
static uint64_t
next_read_wait_us (const control_t *ctrl)
{
  bool silent = control_now_us (ctrl) - ctrl->talk.last_received_us >= PEERS_SILENT_US;
  if (ctrl->peers.is_follower || silent || is_behind_peer (ctrl))
    return poll_interval_us (ctrl);
  return MAX (poll_interval_us (ctrl), RECHECK_US);
}

/* The list is eventually consistent: a copy of it may answer that lacks what was read before. */
static bool
is_older_copy (control_t *ctrl, const platform_hosts_t *hosts)
{
  control_list_t *list = &ctrl->list;
  uint64_t now_us = control_now_us (ctrl);

  if (hosts->revision >= list->revision)
    {
      list->older_since_us = 0;
      return false;
    }
  if (list->older_since_us == 0)
    {
      list->older_since_us = now_us;
      log_event (LOG_LEVEL_NOTICE, "older_list_ignored", "revision", LOG_U64 (hosts->revision),
                 "known", LOG_U64 (list->revision), NULL);
    }
  return now_us - list->older_since_us < RESET_AFTER_US;
}

static void
accept_answer (control_t *ctrl, const platform_hosts_t *hosts, uint64_t started_us)
{
  control_poll_succeeded (ctrl, &ctrl->list.poll, SOURCE,
                          control_add_jitter (ctrl, poll_interval_us (ctrl)));
  if (!is_credible (hosts))
    {
      if (!ctrl->list.empty)
        log_event (LOG_LEVEL_WARNING, "empty_list_ignored", NULL);
      ctrl->list.empty = true;
      return;
    }
  ctrl->list.empty = false;
  if (!is_older_copy (ctrl, hosts))
    apply_hosts (ctrl, hosts);
  ctrl->list.poll.due_us =
      control_now_us (ctrl) + control_add_jitter (ctrl, next_read_wait_us (ctrl));
  control_freshness_note_list_read (ctrl, started_us, true);
}

static void
on_hosts (const platform_hosts_t *hosts, void *context)
{
  control_call_t *call = context;
  control_t *ctrl = call->ctrl;
  uint64_t started_us = call->started_us;
  if (!control_call_end (call))
    return;
  bool worked = hosts->outcome == PLATFORM_OK;
  control_set_gauge (ctrl, "medlarplank_list_up",
                     "Whether the last reading of the platform's list worked", worked);
  if (worked)
    {
      accept_answer (ctrl, hosts, started_us);
      return;
    }
  control_poll_failed (ctrl, &ctrl->list.poll, SOURCE, poll_interval_us (ctrl));
  control_freshness_note_list_read (ctrl, started_us, false);
}

void
control_list_tick (control_t *ctrl)
{
  control_poll_t *poll = &ctrl->list.poll;
  uint64_t now_us = control_now_us (ctrl);
  bool silent = now_us - ctrl->talk.last_received_us >= PEERS_SILENT_US && !poll->down &&
                now_us - ctrl->list.last_read_us >= poll_interval_us (ctrl);
  if (poll->call != NULL || (now_us < poll->due_us && !silent))
    return;
  poll->call = control_call_new (ctrl);
  ctrl->list.last_read_us = now_us;
  exchange_charge_budget (ctrl->exchange, CONTROL_LIST_READ_BYTES);
  ctrl->platform->hosts (ctrl->platform, ctrl->list.revision, on_hosts, poll->call);
}

/* Not more often than the polling interval: while a data centre drops out, the list changes all the
 * time. */
void
control_list_note_revision (control_t *ctrl, uint64_t revision)
{
  control_list_t *list = &ctrl->list;
  if (revision <= list->revision)
    return;
  if (revision >= list->peer_revision || !is_behind_peer (ctrl))
    {
      list->peer_revision = revision;
      list->peer_revision_us = control_now_us (ctrl);
    }
  uint64_t soonest_us = list->last_read_us + poll_interval_us (ctrl);
  if (!list->poll.down)
    list->poll.due_us = MIN (list->poll.due_us, soonest_us);
}

/* A list that had this process as live was read here, and a later revision has it as leaving: that
 * counts as if it had been read here. Without a list that had this process as live, the previous
 * process on the host may be meant. */
void
control_list_note_own_leaving (control_t *ctrl, uint64_t revision)
{
  const control_list_t *list = &ctrl->list;
  if (list->own_live_revision != 0 && revision > list->own_live_revision)
    control_stop_start_leaving (ctrl, "list of a peer");
}

void
control_list_notify_leaving (control_t *ctrl)
{
  uint64_t hash;
  for (uint32_t i = 0; i < LEAVING_CALLS_PER_TICK &&
                       leave_notice_next (ctrl->list.leaving, control_now_us (ctrl), &hash);
       i++)
    {
      const membership_host_t *host =
          ctrl->peers.members != NULL ? membership_find_by_hash (ctrl->peers.members, hash) : NULL;
      if (host == NULL || !membership_leave_unconfirmed (ctrl->membership, hash))
        {
          leave_notice_remove (ctrl->list.leaving, hash);
          continue;
        }
      log_event (LOG_LEVEL_NOTICE, "leaving_host_told", "name", host->name, "incarnation",
                 LOG_U64 (host->incarnation), "revision", LOG_U64 (ctrl->list.revision), NULL);
      control_exchange_call (ctrl, host);
    }
}
