#include "process/control_private.h"

#include "base/log.h"

#include <event2/event.h>

#define TELLS_AT_ONCE 6
#define TELLS_LATER 10 /* one each tick */
/* What claims still have to say after the drain may take this long; without it, resends of those
 * requests hear that they may have run. */
#define CLAIMS_WAIT_US (2 * CLK_US_PER_S)

static void
tell_data (ctrl_t *ctrl)
{
  msg_flag_t *drain = msg_new (MSG_DRAIN);
  drain->on = true;
  ctrl_send (ctrl, drain);
}

static void
end_process (ctrl_t *ctrl)
{
  ctrl->stop.done = true;
  log_event (LOG_LEVEL_NOTICE, "drained", "claims",
             ctrl_claims_idle (ctrl) ? "complete" : "cut off", NULL);
  event_base_loopexit (ctrl->base, NULL);
}

static void
end_when_drained (ctrl_t *ctrl)
{
  ctrl_stop_t *stop = &ctrl->stop;
  if (stop->done || !stop->by_signal || !stop->drained)
    return;
  bool waited = ctrl_now_us (ctrl) - stop->drained_us >= CLAIMS_WAIT_US;
  if (waited || ctrl_claims_idle (ctrl))
    end_process (ctrl);
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
  tell_data (ctrl);
  ctrl_talk_own_word (ctrl);
  ctrl_talk_tell (ctrl, TELLS_AT_ONCE);
  stop->tells_left = TELLS_LATER;
}

void
ctrl_stop_signal (ctrl_t *ctrl)
{
  ctrl->stop.by_signal = true;
  ctrl_stop_leave (ctrl, "signal");
  end_when_drained (ctrl);
}

void
ctrl_stop_drained (ctrl_t *ctrl)
{
  ctrl->stop.drained = true;
  ctrl->stop.drained_us = ctrl_now_us (ctrl);
  end_when_drained (ctrl);
}

void
ctrl_stop_turn (ctrl_t *ctrl)
{
  if (ctrl->stop.tells_left > 0)
    {
      ctrl->stop.tells_left--;
      ctrl_talk_tell (ctrl, 1);
    }
  end_when_drained (ctrl);
}
