#include "process/control_private.h"

#include "base/log.h"

control_call_t *
control_call_new (control_t *ctrl)
{
  control_call_t *call = g_new0 (control_call_t, 1);
  call->ctrl = ctrl;
  call->started_us = control_now_us (ctrl);
  g_ptr_array_add (ctrl->calls, call);
  return call;
}

bool
control_call_end (control_call_t *call)
{
  control_t *ctrl = call->ctrl;
  if (!ctrl->closing)
    control_freshness_check_pause (ctrl);
  bool wanted = !call->abandoned && !ctrl->closing;
  g_ptr_array_remove_fast (ctrl->calls, call);
  return wanted;
}

void
control_poll_succeeded (control_t *ctrl, control_poll_t *poll, const char *name, uint64_t wait_us)
{
  if (poll->down)
    log_event (LOG_LEVEL_NOTICE, "platform_back", "source", name, NULL);
  poll->call = NULL;
  poll->down = false;
  poll->backoff_us = 0;
  poll->due_us = control_now_us (ctrl) + wait_us;
}

void
control_poll_failed (control_t *ctrl, control_poll_t *poll, const char *name, uint64_t first_us)
{
  if (!poll->down)
    log_event (LOG_LEVEL_WARNING, "platform_out", "source", name, NULL);
  poll->call = NULL;
  poll->down = true;
  poll->backoff_us = poll->backoff_us == 0 ? first_us : poll->backoff_us * 2;
  poll->backoff_us = MIN (poll->backoff_us, CONTROL_BACKOFF_MAX_US);
  poll->due_us = control_now_us (ctrl) + control_add_jitter (ctrl, poll->backoff_us);
}

void
control_poll_restart (control_t *ctrl, control_poll_t *poll)
{
  if (poll->call != NULL)
    poll->call->abandoned = true;
  poll->call = NULL;
  poll->backoff_us = 0;
  poll->due_us = control_now_us (ctrl);
}
