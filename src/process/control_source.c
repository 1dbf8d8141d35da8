#include "process/control_private.h"

#include "base/log.h"

ctrl_op_t *
ctrl_op_new (ctrl_t *ctrl)
{
  ctrl_op_t *op = g_new0 (ctrl_op_t, 1);
  op->ctrl = ctrl;
  op->started_us = ctrl_now_us (ctrl);
  g_ptr_array_add (ctrl->ops, op);
  return op;
}

bool
ctrl_op_end (ctrl_op_t *op)
{
  ctrl_t *ctrl = op->ctrl;
  if (!ctrl->closing)
    ctrl_fresh_check (ctrl);
  bool wanted = !op->abandoned && !ctrl->closing;
  g_ptr_array_remove_fast (ctrl->ops, op);
  return wanted;
}

void
ctrl_source_worked (ctrl_t *ctrl, ctrl_source_t *source, const char *name, uint64_t wait_us)
{
  if (source->down)
    log_event (LOG_LEVEL_NOTICE, "platform_back", "source", name, NULL);
  source->op = NULL;
  source->down = false;
  source->backoff_us = 0;
  source->due_us = ctrl_now_us (ctrl) + wait_us;
}

void
ctrl_source_failed (ctrl_t *ctrl, ctrl_source_t *source, const char *name, uint64_t first_us)
{
  if (!source->down)
    log_event (LOG_LEVEL_WARNING, "platform_out", "source", name, NULL);
  source->op = NULL;
  source->down = true;
  source->backoff_us = source->backoff_us == 0 ? first_us : source->backoff_us * 2;
  source->backoff_us = MIN (source->backoff_us, CTRL_BACKOFF_MAX_US);
  source->due_us = ctrl_now_us (ctrl) + ctrl_jitter (ctrl, source->backoff_us);
}

void
ctrl_source_restart (ctrl_t *ctrl, ctrl_source_t *source)
{
  if (source->op != NULL)
    source->op->abandoned = true;
  source->op = NULL;
  source->backoff_us = 0;
  source->due_us = ctrl_now_us (ctrl);
}
