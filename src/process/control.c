/**
 * DOC: control
 *
 * The control task: the platform's host list and log, the exchange with other daemons, claims,
 * pauses and shutdown. It makes no decision about requests; it keeps the data task informed.
 */
#include "process/control_private.h"

#include "base/log.h"
#include "request/policy/place.h"

#define HTTP_IDLE_CONNECTIONS 1
#define HTTP_IDLE_TIMEOUT_MS 10000

static const struct timeval tick_interval = { 0, PSE_TICK_MS * 1000 };

static void
on_tick (evutil_socket_t socket, short what, void *context)
{
  (void)socket;
  (void)what;
  ctrl_turn (context);
}

static exc_t *
open_exchange (ctrl_t *ctrl, GError **error)
{
  const set_t *set = &ctrl->dmn->set;
  exc_options_t options = {
    .base = ctrl->base,
    .clk = &ctrl->dmn->clk,
    .counters = ctrl->dmn->counters,
    .listen = set->exchange,
    .fleet_key = set->fleet_key,
    .interval_ms = set->exchange_interval_ms,
    .budget_bytes = set->control_budget_bytes,
    .seed = ctrl->own_hash ^ ctrl->dmn->incarnation,
    .fill = ctrl_talk_fill,
    .heard = ctrl_talk_heard,
    .pick = ctrl_talk_pick,
    .context = ctrl,
  };
  return exc_new (&options, error);
}

ctrl_t *
ctrl_new_on (dmn_t *dmn, struct event_base *base, plt_t *plt, GError **error)
{
  ctrl_t *ctrl = g_new0 (ctrl_t, 1);
  ctrl->dmn = dmn;
  ctrl->base = base;
  ctrl->plt = plt;
  ctrl->own_hash = rendezvous_hash_name (dmn->set.name);
  ctrl->rand = g_rand_new_with_seed ((guint32)(ctrl->own_hash ^ dmn->incarnation));
  ctrl->calls = g_ptr_array_new_with_free_func (g_free);
  ctrl->membership = membership_new ();
  ctrl->list.own_state = MEMBERSHIP_GONE;
  ctrl->list.leaving = leave_notice_new ();
  ctrl->hcl = hcl_new (base, HTTP_IDLE_CONNECTIONS, HTTP_IDLE_TIMEOUT_MS);
  ctrl_members_init (ctrl);
  ctrl_manifest_init (ctrl);
  ctrl_talk_init (ctrl);
  ctrl_fresh_init (ctrl);
  ctrl_claims_init (ctrl);
  ctrl->exc = open_exchange (ctrl, error);
  if (ctrl->exc == NULL)
    {
      ctrl_free (ctrl);
      return NULL;
    }
  ctrl->tick = event_new (base, -1, EV_PERSIST, on_tick, ctrl);
  event_add (ctrl->tick, &tick_interval);
  ctrl_turn (ctrl);
  return ctrl;
}

ctrl_t *
ctrl_new (dmn_t *dmn, struct event_base *base, GError **error)
{
  plt_t *plt = plt_http_new (base, &dmn->set.platform, dmn->set.name);
  return ctrl_new_on (dmn, base, plt, error);
}

void
ctrl_free (ctrl_t *ctrl)
{
  if (ctrl == NULL)
    return;
  ctrl->closing = true;
  if (ctrl->tick != NULL)
    event_free (ctrl->tick);
  ctrl_fetch_clear (ctrl);
  ctrl_claims_clear (ctrl);
  ctrl->plt->free (ctrl->plt);
  g_ptr_array_free (ctrl->calls, TRUE);
  exc_free (ctrl->exc);
  hcl_free (ctrl->hcl);
  ctrl_talk_clear (ctrl);
  ctrl_manifest_clear (ctrl);
  ctrl_members_clear (ctrl);
  membership_free (ctrl->membership);
  leave_notice_free (ctrl->list.leaving);
  g_rand_free (ctrl->rand);
  g_free (ctrl);
}

void
ctrl_turn (ctrl_t *ctrl)
{
  log_flush ();
  ctrl_fresh_check (ctrl);
  ctrl_list_turn (ctrl);
  ctrl_list_tell (ctrl);
  ctrl_members_flush (ctrl);
  ctrl_manifest_turn (ctrl);
  ctrl_claims_turn (ctrl);
  ctrl_stop_turn (ctrl);
}

void
ctrl_message (mbx_message_t *message, void *context)
{
  ctrl_t *ctrl = context;
  ctrl_fresh_check (ctrl);
  switch (message->kind)
    {
    case MESSAGE_CLAIM:
      ctrl_claims_ask (ctrl, (const message_claim_t *)message);
      break;
    case MESSAGE_CLAIM_END:
      ctrl_claims_end (ctrl, (const message_claim_end_t *)message);
      break;
    case MESSAGE_OWN_LOAD_SAMPLE:
      ctrl_talk_own_sample (ctrl, (const message_load_samples_t *)message);
      break;
    case MESSAGE_NEW_CRASH_MARK:
      ctrl_talk_own_marks (ctrl, (const message_crash_marks_t *)message);
      break;
    case MESSAGE_LEAVE_ORDERED:
      ctrl_stop_leave (ctrl, "order");
      break;
    case MESSAGE_DRAIN:
      ctrl_stop_signal (ctrl);
      break;
    case MESSAGE_DRAINED:
      ctrl_stop_drained (ctrl);
      break;
    case MESSAGE_PAUSE_DETECTED:
      ctrl_fresh_woke (ctrl, ((const message_flag_t *)message)->at_us);
      break;
    default:
      g_assert_not_reached ();
    }
}

uint64_t
ctrl_now_us (const ctrl_t *ctrl)
{
  return clk_now_us (&ctrl->dmn->clk);
}

void
ctrl_send (ctrl_t *ctrl, void *message)
{
  mbx_send (ctrl->dmn->to_data, message);
}

void
ctrl_count (ctrl_t *ctrl, const char *name, const char *help)
{
  cnt_add (cnt_get (ctrl->dmn->counters, name, help), 1);
}

void
ctrl_gauge (ctrl_t *ctrl, const char *name, const char *help, uint64_t value)
{
  cnt_set_value (cnt_get (ctrl->dmn->counters, name, help), value);
}

uint64_t
ctrl_jitter (ctrl_t *ctrl, uint64_t wait_us)
{
  return (uint64_t)((double)wait_us * g_rand_double_range (ctrl->rand, 0.75, 1.25));
}
