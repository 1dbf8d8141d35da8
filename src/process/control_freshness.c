#include "process/control_private.h"

#include "base/log.h"

#define PEERS_CALLED 4 /* called at once after a pause */
#define MAX_REPLIES_NEEDED 2
#define SAME_PAUSE_US (1 * CLOCK_US_PER_S)

/* Discards all confirmations and requests new ones. */
static void
restart_confirmation (control_t *ctrl)
{
  control_freshness_t *fresh = &ctrl->freshness;
  fresh->since_us = control_now_us (ctrl);
  fresh->list_ok = false;
  fresh->list_failed = false;
  fresh->log_ok = false;
  fresh->log_failed = false;
  fresh->replies = 0;
  fresh->current_replies = 0;
  exchange_discard_pending (ctrl->exchange);
  control_poll_restart (ctrl, &ctrl->list.poll);
  control_poll_restart (ctrl, &ctrl->manifest.poll);
  control_exchange_call_random (ctrl, PEERS_CALLED);
}

static void
send_freshness (control_t *ctrl, bool on)
{
  message_flag_t *flag = message_new (MESSAGE_FRESHNESS);
  flag->on = on;
  flag->at_us = ctrl->freshness.pause.woke_us;
  control_send_to_data (ctrl, flag);
  counter_set (ctrl->freshness.stale, !on);
}

static void
handle_pause (control_t *ctrl, const char *task)
{
  counter_add (ctrl->freshness.pauses, 1);
  log_event (LOG_LEVEL_WARNING, "woke_from_pause", "task", task, NULL);
  send_freshness (ctrl, false);
  restart_confirmation (ctrl);
}

/* Without peers only the platform can confirm the state. */
static uint32_t
replies_needed (const control_t *ctrl)
{
  uint32_t peers = ctrl->peers.all->len;
  return CLAMP (peers, 1, MAX_REPLIES_NEEDED);
}

/* While the platform's list is unreachable no host can learn anything new from it. Any peer that
 * has read that this host leaves says so in its replies, so replies without it confirm that it
 * stays. */
static bool
own_state_known (const control_t *ctrl)
{
  const control_freshness_t *fresh = &ctrl->freshness;
  if (ctrl->list.own_unclear)
    return false;
  return fresh->list_ok || (fresh->list_failed && fresh->replies >= replies_needed (ctrl));
}

static bool
version_known (const control_t *ctrl)
{
  const control_freshness_t *fresh = &ctrl->freshness;
  if (!replay_is_ready (ctrl->manifest.replay))
    return false;
  return fresh->log_ok || (fresh->log_failed && fresh->current_replies >= replies_needed (ctrl));
}

void
control_freshness_init (control_t *ctrl)
{
  counter_registry_t *counters = ctrl->daemon->counters;
  ctrl->freshness.pauses = counter_get (counters, "medlarplank_pauses_total",
                                        "Times the daemon found that it had not run for a while");
  ctrl->freshness.stale =
      counter_get (counters, "medlarplank_stale",
                   "Whether the daemon has not heard all it needs since it started "
                   "or last woke");
  counter_set (ctrl->freshness.stale, 1);
  pause_init (&ctrl->freshness.pause, control_now_us (ctrl),
              ctrl->daemon->settings.exchange_interval_ms);
}

void
control_freshness_check_pause (control_t *ctrl)
{
  if (pause_check (&ctrl->freshness.pause, control_now_us (ctrl)))
    handle_pause (ctrl, "control");
}

/* Whether the control task detected the same pause a moment ago and has requested everything since.
 * Requesting it again would use up the byte budget and keep the daemon stale for longer. */
static bool
is_same_pause (const control_t *ctrl)
{
  uint64_t since_us = ctrl->freshness.since_us;
  return since_us != 0 && control_now_us (ctrl) - since_us < SAME_PAUSE_US;
}

void
control_freshness_note_pause (control_t *ctrl, uint64_t woke_us)
{
  if (!pause_mark_woken (&ctrl->freshness.pause, woke_us))
    return;
  if (is_same_pause (ctrl))
    control_freshness_send_if_fresh (ctrl);
  else
    handle_pause (ctrl, "data");
}

void
control_freshness_note_list_read (control_t *ctrl, uint64_t started_us, bool worked)
{
  if (started_us < ctrl->freshness.since_us)
    return;
  ctrl->freshness.list_ok = ctrl->freshness.list_ok || worked;
  ctrl->freshness.list_failed = ctrl->freshness.list_failed || !worked;
  control_freshness_send_if_fresh (ctrl);
}

void
control_freshness_note_log_read (control_t *ctrl, uint64_t started_us, bool worked)
{
  if (started_us < ctrl->freshness.since_us)
    return;
  ctrl->freshness.log_ok = ctrl->freshness.log_ok || worked;
  ctrl->freshness.log_failed = ctrl->freshness.log_failed || !worked;
  control_freshness_send_if_fresh (ctrl);
}

void
control_freshness_note_reply (control_t *ctrl, uint64_t version)
{
  ctrl->freshness.replies++;
  if (version <= control_manifest_version (ctrl))
    ctrl->freshness.current_replies++;
  else
    ctrl->freshness.current_replies = 0;
  control_freshness_send_if_fresh (ctrl);
}

void
control_freshness_send_if_fresh (control_t *ctrl)
{
  pause_detector_t *pause = &ctrl->freshness.pause;
  if (!pause_is_stale (pause) || !own_state_known (ctrl) || !version_known (ctrl))
    return;
  control_members_send_now (ctrl);
  control_manifest_send_if_changed (ctrl);
  pause_mark_fresh (pause, pause->woke_us);
  log_event (LOG_LEVEL_NOTICE, "fresh", "list", ctrl->freshness.list_ok ? "platform" : "peers",
             "version", LOG_U64 (control_manifest_version (ctrl)), "version_by",
             ctrl->freshness.log_ok ? "platform" : "peers", NULL);
  send_freshness (ctrl, true);
}
