#include "process/control_private.h"

#include "base/log.h"

ctrl_op_t *
ctrl_op_new (ctrl_t *ctrl)
{
  ctrl_op_t *call = g_new0 (ctrl_op_t, 1);
  call->ctrl = ctrl;
  call->started_us = ctrl_now_us (ctrl);
  g_ptr_array_add (ctrl->calls, call);
  return call;
}

bool
ctrl_op_end (ctrl_op_t *call)
{
  ctrl_t *ctrl = call->ctrl;
  if (!ctrl->closing)
    ctrl_fresh_check (ctrl);
  bool wanted = !call->abandoned && !ctrl->closing;
  g_ptr_array_remove_fast (ctrl->calls, call);
  return wanted;
}

void
ctrl_source_worked (ctrl_t *ctrl, ctrl_source_t *poll, const char *name, uint64_t wait_us)
{
  if (poll->down)
    log_event (LOG_LEVEL_NOTICE, "platform_back", "source", name, NULL);
  poll->call = NULL;
  poll->down = false;
  poll->backoff_us = 0;
  poll->due_us = ctrl_now_us (ctrl) + wait_us;
}

void
ctrl_source_failed (ctrl_t *ctrl, ctrl_source_t *poll, const char *name, uint64_t first_us)
{
  if (!poll->down)
    log_event (LOG_LEVEL_WARNING, "platform_out", "source", name, NULL);
  poll->call = NULL;
  poll->down = true;
  poll->backoff_us = poll->backoff_us == 0 ? first_us : poll->backoff_us * 2;
  poll->backoff_us = MIN (poll->backoff_us, CTRL_BACKOFF_MAX_US);
  poll->due_us = ctrl_now_us (ctrl) + ctrl_jitter (ctrl, poll->backoff_us);
}

void
ctrl_source_restart (ctrl_t *ctrl, ctrl_source_t *poll)
{
  if (poll->call != NULL)
    poll->call->abandoned = true;
  poll->call = NULL;
  poll->backoff_us = 0;
  poll->due_us = ctrl_now_us (ctrl);
}
