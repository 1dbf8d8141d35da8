/* Requests that wait for room at the engines of their service. */
#include "request/gateway/gateway_private.h"

#include "base/log.h"

static lin_room_t
room_of (gwy_t *gwy, const gwy_service_t *service)
{
  return (lin_room_t){ .slots =
                           egs_open_slots (gwy->options.engines, service->name, gwy_now_us (gwy)),
                       .gateways = gwy->routers };
}

static uint32_t
retry_ms (const gwy_call_t *call, uint64_t wait_us)
{
  uint64_t retry_us = lin_retry_us (call->service->line, gwy_now_us (call->gwy), wait_us);

  return (uint32_t)MIN (retry_us / CLK_US_PER_MS, UINT32_MAX);
}

void
gwy_wait_push (gwy_call_t *call)
{
  lin_room_t room = room_of (call->gwy, call->service);
  uint64_t wait_us;

  switch (lin_push (call->service->line, gwy_now_us (call->gwy), &room, &call->line, &wait_us))
    {
    case LIN_WAITS:
      cnt_add (call->gwy->waited, 1);
      gwy_call_log (call, "wait", "queued", VRD_REASON_OVER_BOUND);
      return;
    case LIN_TOO_LATE:
      gwy_call_give_up (call, VRD_REASON_DEADLINE, retry_ms (call, wait_us));
      return;
    case LIN_FULL:
      gwy_call_give_up (call, VRD_REASON_QUEUE_FULL, retry_ms (call, wait_us));
      return;
    }
}

void
gwy_wait_for_retry (gwy_call_t *call)
{
  uint64_t wait_us = gwy_call_retry_wait_us (call);

  if (!lin_push_behind (call->service->line, gwy_now_us (call->gwy), &call->line, wait_us))
    {
      gwy_call_give_up (call, VRD_REASON_OVER_BOUND, retry_ms (call, wait_us));
      return;
    }
  cnt_add (call->gwy->waited, 1);
  gwy_call_log (call, "wait", "retry_due", VRD_REASON_OVER_BOUND);
}

void
gwy_wait_for_rest (gwy_call_t *call, uint64_t rest_us)
{
  if (!lin_push_behind (call->service->line, gwy_now_us (call->gwy), &call->line, rest_us))
    {
      gwy_call_give_up (call, VRD_REASON_OVER_BOUND, (uint32_t)(rest_us / CLK_US_PER_MS));
      return;
    }
  cnt_add (call->gwy->waited, 1);
  gwy_call_log (call, "wait", "engines_rest", VRD_REASON_OVER_BOUND);
}

void
gwy_wait_remove (gwy_call_t *call)
{
  lin_remove (call->service->line, gwy_now_us (call->gwy), &call->line);
}

void
gwy_wait_expire (gwy_service_t *service)
{
  gwy_call_t *call;

  while ((call = lin_expired (service->line, gwy_now_us (service->gwy))))
    {
      lin_room_t room = room_of (call->gwy, service);
      uint64_t wait_us = lin_wait_us (service->line, &room, &call->line);

      gwy_call_give_up (call, VRD_REASON_DEADLINE, retry_ms (call, wait_us));
    }
}

/* It is sent, or refused as nobody is left to ask; @context is where the choice goes. */
static bool
may_start (void *owner, void *context)
{
  const gwy_call_t *call = owner;
  spr_choice_t *choice = context;

  if (call->crs.retry_due && gwy_call_retry_wait_us (call) > 0)
    return false;
  *choice = gwy_call_choose (call);
  return choice->action != SPR_WAIT && choice->rest_us == 0;
}

void
gwy_wait_pump (gwy_service_t *service)
{
  spr_choice_t choice = { 0 };
  gwy_call_t *call;

  while ((call = lin_first (service->line, may_start, &choice)))
    {
      if (choice.action == SPR_SEND)
        {
          gwy_hop_send (call, &choice);
          continue;
        }
      gwy_wait_remove (call);
      gwy_call_no_engine (call, &choice);
    }
}
