#include "process/control_private.h"

#include "base/log.h"

#include <event2/event.h>

#define CALLS_AT_ONCE 6
#define CALLS_LATER 10 /* one per tick */
/* Limit of the wait for pending claim appends after the drain. Without the wait, repeated requests
 * with these keys would be told that the request may have run. */
#define CLAIMS_WAIT_MAX_US (2 * CLOCK_US_PER_S)

static void
drain_data_task (control_t *ctrl)
{
  message_flag_t *drain = message_new (MESSAGE_DRAIN);
  drain->on = true;
  control_send_to_data (ctrl, drain);
}

static void
exit_loop (control_t *ctrl)
{
  ctrl->stop.done = true;
  log_event (LOG_LEVEL_NOTICE, "drained", "claims",
             control_claims_is_idle (ctrl) ? "complete" : "cut off", NULL);
  event_base_loopexit (ctrl->base, NULL);
}

static void
exit_loop_if_drained (control_t *ctrl)
{
  control_stop_t *stop = &ctrl->stop;
  if (stop->done || !stop->by_signal || !stop->drained)
    return;
  bool waited = control_now_us (ctrl) - stop->drained_us >= CLAIMS_WAIT_MAX_US;
  if (waited || control_claims_is_idle (ctrl))
    exit_loop (ctrl);
}

void
control_stop_start_leaving (control_t *ctrl, const char *why)
{
  control_stop_t *stop = &ctrl->stop;
  if (stop->leaving)
    return;
  stop->leaving = true;
  log_event (LOG_LEVEL_NOTICE, "leaving", "why", why, NULL);
  control_set_gauge (ctrl, "medlarplank_leaving", "Whether this daemon is leaving", 1);
  drain_data_task (ctrl);
  control_exchange_apply_own_report (ctrl);
  control_exchange_call_random (ctrl, CALLS_AT_ONCE);
  stop->calls_left = CALLS_LATER;
}

void
control_stop_on_signal (control_t *ctrl)
{
  ctrl->stop.by_signal = true;
  control_stop_start_leaving (ctrl, "signal");
  exit_loop_if_drained (ctrl);
}

void
control_stop_note_drained (control_t *ctrl)
{
  ctrl->stop.drained = true;
  ctrl->stop.drained_us = control_now_us (ctrl);
  exit_loop_if_drained (ctrl);
}

void
control_stop_tick (control_t *ctrl)
{
  if (ctrl->stop.calls_left > 0)
    {
      ctrl->stop.calls_left--;
      control_exchange_call_random (ctrl, 1);
    }
  exit_loop_if_drained (ctrl);
}
