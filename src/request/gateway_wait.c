/* Requests that wait for room at the engines of their service. */
#include "request/gateway_private.h"

#include "process/log.h"

/* Slots of the engines that may be asked. */
static uint64_t
slots_of (gwy_t *gwy, const gwy_service_t *service)
{
  const GPtrArray *engines = egs_list (gwy->options.engines, service->name);
  uint64_t slots = 0;

  for (guint i = 0; i < engines->len; i++)
    {
      const egn_t *egn = g_ptr_array_index (engines, i);

      if (egn_is_open (egn) && !egn_is_skipped (egn, gwy_now_us (gwy)))
        slots += egn_slots (egn, 1);
    }
  return slots;
}

uint32_t
gwy_wait_ms (gwy_t *gwy, const gwy_service_t *service, const fq_item_t *item)
{
  spr_line_t line = { .ahead = fq_ahead (service->queue, item).count,
                      .run_us = service->run_us,
                      .slots = slots_of (gwy, service),
                      .gateways = gwy->routers };
  uint64_t wait_us = spr_wait_us (&line);

  return (uint32_t)MIN (wait_us / CLK_US_PER_MS, UINT32_MAX);
}

static void
fill_item (gwy_call_t *call)
{
  const rte_account_t *account = call->account;
  uint32_t priority = account && account->has_priority ? account->priority : call->route->priority;

  call->item = (fq_item_t){ .account_hash = account ? account->hash : 0,
                            .weight = FQ_WEIGHT_ONE,
                            .priority = priority,
                            .cost = (uint32_t)(call->service->run_us / CLK_US_PER_MS) + 1,
                            .queue_limit = GWY_WAIT_LIMIT,
                            .queued_us = gwy_now_us (call->gwy),
                            .deadline_us = call->deadline_us,
                            .owner = call };
}

/*
 * The wait is a guess: engines leave while requests wait. One that is refused at its deadline has
 * lost the time in which its caller could have sent it again, and one that starts a moment before
 * can't be answered in time. So waiting ends while there is still time for an answer to begin, or
 * in the last quarter of a short time.
 */
static uint64_t
least_us (const gwy_call_t *call)
{
  uint64_t quarter_us = (call->deadline_us - call->arrived_us) / 4;

  return MIN (call->service->head_us + GWY_WATCH_US, quarter_us);
}

void
gwy_wait_push (gwy_call_t *call)
{
  gwy_t *gwy = call->gwy;
  gwy_service_t *service = call->service;
  uint64_t now_us = gwy_now_us (gwy);
  uint32_t wait_ms;

  fill_item (call);
  wait_ms = gwy_wait_ms (gwy, service, &call->item);
  if (now_us + (uint64_t)wait_ms * CLK_US_PER_MS + least_us (call) >= call->deadline_us)
    {
      gwy_call_give_up (call, VRD_REASON_DEADLINE, wait_ms);
      return;
    }
  if (fq_push (service->queue, &call->item) != FQ_QUEUED)
    {
      gwy_call_give_up (call, VRD_REASON_QUEUE_FULL, wait_ms);
      return;
    }
  call->waiting = true;
  cnt_add (gwy->waited, 1);
  gwy_call_log (call, "wait", "queued", VRD_REASON_OVER_BOUND);
}

void
gwy_wait_remove (gwy_call_t *call)
{
  if (!call->waiting)
    return;
  call->waiting = false;
  fq_remove (call->service->queue, &call->item);
}

void
gwy_wait_watch (gwy_call_t *call)
{
  if (!call->waiting || gwy_now_us (call->gwy) + least_us (call) < call->deadline_us)
    return;
  gwy_wait_remove (call);
  gwy_call_give_up (call, VRD_REASON_DEADLINE, gwy_wait_ms (call->gwy, call->service, &call->item));
}

static bool
any (const fq_item_t *item, void *context)
{
  (void)item;
  (void)context;
  return true;
}

void
gwy_wait_pump (gwy_service_t *service, gwy_t *gwy)
{
  fq_item_t *item;

  while ((item = fq_peek_allowed (service->queue, any, gwy)))
    {
      gwy_call_t *call = item->owner;
      spr_choice_t choice = gwy_call_choose (call);

      if (choice.action == SPR_WAIT)
        return;
      gwy_wait_remove (call);
      if (choice.action == SPR_SEND)
        gwy_hop_send (call, &choice);
      else
        gwy_call_give_up (call, VRD_REASON_NO_ENGINE, GWY_RETRY_MIN_MS);
    }
}
