#include "process/control_private.h"

#include "process/log.h"

#include <string.h>

#define SOURCE "list"

/*
 * A list that said leaving before this process had heard anything else may mean its predecessor
 * on the host, as the list lags. The daemon then takes no work until the list says live; but when
 * the list turns to leaving later, it is this process that has to leave.
 */
static void
take_own_state (ctrl_t *ctrl, mem_state_t state)
{
  ctrl_list_t *list = &ctrl->list;
  bool turned = state != list->own_state;
  list->own_state = state;
  if (state != MEM_LEAVING)
    {
      list->own_held = false;
      return;
    }
  if (!list->read_once)
    {
      list->own_held = true;
      log_event (LOG_LEVEL_WARNING, "listed_as_leaving_at_start", NULL);
    }
  else if (turned)
    {
      ctrl_stop_leave (ctrl, "list");
    }
}

static const mem_listed_t *
find_own (const ctrl_t *ctrl, const plt_hosts_t *hosts)
{
  for (uint32_t i = 0; i < hosts->host_count; i++)
    {
      if (strcmp (hosts->hosts[i].name, ctrl->dmn->set.name) == 0)
        return &hosts->hosts[i];
    }
  return NULL;
}

static void
take_hosts (ctrl_t *ctrl, const plt_hosts_t *hosts)
{
  ctrl_list_t *list = &ctrl->list;
  uint64_t now_us = ctrl_now_us (ctrl);
  if (hosts->full)
    mem_list_full (ctrl->mem, now_us, hosts->hosts, hosts->host_count, hosts->revision);
  else
    mem_list_delta (ctrl->mem, now_us, hosts->hosts, hosts->host_count, hosts->revision);
  const mem_listed_t *own = find_own (ctrl, hosts);
  if (own != NULL)
    take_own_state (ctrl, own->state);
  else if (hosts->full)
    take_own_state (ctrl, MEM_GONE);
  list->revision = hosts->revision;
  list->read_once = true;
  ctrl_talk_own_word (ctrl);
}

/* A list store that was emptied or has just come up tells of no host. Believing it would stop the
 * whole fleet at once, or let a daemon that starts call itself fresh while it knows nobody. */
static bool
is_credible (const plt_hosts_t *hosts)
{
  return !hosts->full || hosts->host_count > 0;
}

static void
take_answer (ctrl_t *ctrl, const plt_hosts_t *hosts, uint64_t started_us)
{
  uint64_t interval_us = (uint64_t)ctrl->dmn->set.list_interval_ms * CLK_US_PER_MS;
  ctrl_source_worked (ctrl, &ctrl->list.source, SOURCE, ctrl_jitter (ctrl, interval_us));
  if (!is_credible (hosts))
    {
      if (!ctrl->list.empty)
        log_event (LOG_LEVEL_WARNING, "empty_list_ignored", NULL);
      ctrl->list.empty = true;
      return;
    }
  ctrl->list.empty = false;
  take_hosts (ctrl, hosts);
  ctrl_fresh_heard_list (ctrl, started_us, true);
}

static void
on_hosts (const plt_hosts_t *hosts, void *context)
{
  ctrl_op_t *op = context;
  ctrl_t *ctrl = op->ctrl;
  uint64_t started_us = op->started_us;
  if (!ctrl_op_end (op))
    return;
  bool worked = hosts->outcome == PLT_OK;
  ctrl_gauge (ctrl, "medlarplank_list_up", "Whether the last reading of the platform's list worked",
              worked);
  if (worked)
    {
      take_answer (ctrl, hosts, started_us);
      return;
    }
  uint64_t interval_us = (uint64_t)ctrl->dmn->set.list_interval_ms * CLK_US_PER_MS;
  ctrl_source_failed (ctrl, &ctrl->list.source, SOURCE, interval_us);
  ctrl_fresh_heard_list (ctrl, started_us, false);
}

void
ctrl_list_turn (ctrl_t *ctrl)
{
  ctrl_source_t *source = &ctrl->list.source;
  if (source->op != NULL || ctrl_now_us (ctrl) < source->due_us)
    return;
  source->op = ctrl_op_new (ctrl);
  exc_charge (ctrl->exc, CTRL_REQUEST_BYTES);
  ctrl->plt->hosts (ctrl->plt, ctrl->list.revision, on_hosts, source->op);
}
