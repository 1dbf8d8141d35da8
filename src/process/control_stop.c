#include "process/control_private.h"

#include "base/log.h"

#include <event2/event.h>

#define CALLS_AT_ONCE 6
#define CALLS_LATER 10 /* one per tick */
/* Limit of the wait for pending claim appends after the drain. Without the wait, repeated requests
 * with these keys would be told that the request may have run. */
#define CLAIMS_WAIT_MAX_US (2 * CLK_US_PER_S)

static void
drain_data_task (ctrl_t *ctrl)
{
  message_flag_t *drain = message_new (MESSAGE_DRAIN);
  drain->on = true;
  ctrl_send (ctrl, drain);
}

static void
exit_loop (ctrl_t *ctrl)
{
  ctrl->stop.done = true;
  log_event (LOG_LEVEL_NOTICE, "drained", "claims",
             ctrl_claims_idle (ctrl) ? "complete" : "cut off", NULL);
  event_base_loopexit (ctrl->base, NULL);
}

static void
exit_loop_if_drained (ctrl_t *ctrl)
{
  ctrl_stop_t *stop = &ctrl->stop;
  if (stop->done || !stop->by_signal || !stop->drained)
    return;
  bool waited = ctrl_now_us (ctrl) - stop->drained_us >= CLAIMS_WAIT_MAX_US;
  if (waited || ctrl_claims_idle (ctrl))
    exit_loop (ctrl);
}

void
ctrl_stop_leave (ctrl_t *ctrl, const char *why)
{
  ctrl_stop_t *stop = &ctrl->stop;
  if (stop->leaving)
    return;
  stop->leaving = true;
  log_event (LOG_LEVEL_NOTICE, "leaving", "why", why, NULL);
  ctrl_gauge (ctrl, "medlarplank_leaving", "Whether this daemon is leaving", 1);
  drain_data_task (ctrl);
  ctrl_talk_own_word (ctrl);
  ctrl_talk_tell (ctrl, CALLS_AT_ONCE);
  stop->calls_left = CALLS_LATER;
}

void
ctrl_stop_signal (ctrl_t *ctrl)
{
  ctrl->stop.by_signal = true;
  ctrl_stop_leave (ctrl, "signal");
  exit_loop_if_drained (ctrl);
}

void
ctrl_stop_drained (ctrl_t *ctrl)
{
  ctrl->stop.drained = true;
  ctrl->stop.drained_us = ctrl_now_us (ctrl);
  exit_loop_if_drained (ctrl);
}

void
ctrl_stop_turn (ctrl_t *ctrl)
{
  if (ctrl->stop.calls_left > 0)
    {
      ctrl->stop.calls_left--;
      ctrl_talk_tell (ctrl, 1);
    }
  exit_loop_if_drained (ctrl);
}
