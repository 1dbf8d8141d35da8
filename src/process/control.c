/**
 * DOC: control
 *
 * The control task: the platform's host list and log, the exchange with other daemons, claims,
 * pauses and shutdown. It makes no decision about requests; it keeps the data task informed.
 */
#include "process/control_private.h"

#include "base/log.h"
#include "request/policy/placement/rendezvous.h"

#define HTTP_IDLE_CONNECTIONS 1
#define HTTP_IDLE_TIMEOUT_MS 10000

static const struct timeval tick_interval = { 0, PAUSE_CHECK_INTERVAL_MS * 1000 };

static void
on_tick (evutil_socket_t socket, short what, void *context)
{
  (void)socket;
  (void)what;
  control_tick (context);
}

static exchange_t *
open_exchange (control_t *ctrl, GError **error)
{
  const settings_t *settings = &ctrl->daemon->settings;
  exchange_options_t options = {
    .base = ctrl->base,
    .clock = &ctrl->daemon->clock,
    .counters = ctrl->daemon->counters,
    .listen = settings->exchange,
    .fleet_key = settings->fleet_key,
    .interval_ms = settings->exchange_interval_ms,
    .budget_bytes = settings->control_budget_bytes,
    .seed = ctrl->own_hash ^ ctrl->daemon->incarnation,
    .fill_message = control_exchange_compose,
    .on_message = control_exchange_receive,
    .choose_peer = control_exchange_pick_peer,
    .context = ctrl,
  };
  return exchange_new (&options, error);
}

control_t *
control_new_with_platform (daemon_t *daemon,
                           struct event_base *base,
                           platform_t *platform,
                           GError **error)
{
  control_t *ctrl = g_new0 (control_t, 1);
  ctrl->daemon = daemon;
  ctrl->base = base;
  ctrl->platform = platform;
  ctrl->own_hash = rendezvous_hash_name (daemon->settings.name);
  ctrl->rand = g_rand_new_with_seed ((guint32)(ctrl->own_hash ^ daemon->incarnation));
  ctrl->calls = g_ptr_array_new_with_free_func (g_free);
  ctrl->membership = membership_new ();
  ctrl->list.own_state = MEMBERSHIP_GONE;
  ctrl->list.leaving = leave_notice_new ();
  ctrl->http_client = http_client_new (base, HTTP_IDLE_CONNECTIONS, HTTP_IDLE_TIMEOUT_MS);
  control_members_init (ctrl);
  control_manifest_init (ctrl);
  control_exchange_init (ctrl);
  control_freshness_init (ctrl);
  control_claims_init (ctrl);
  ctrl->exchange = open_exchange (ctrl, error);
  if (ctrl->exchange == NULL)
    {
      control_free (ctrl);
      return NULL;
    }
  ctrl->tick = event_new (base, -1, EV_PERSIST, on_tick, ctrl);
  event_add (ctrl->tick, &tick_interval);
  control_tick (ctrl);
  return ctrl;
}

control_t *
control_new (daemon_t *daemon, struct event_base *base, GError **error)
{
  platform_t *platform =
      platform_http_new (base, &daemon->settings.platform, daemon->settings.name);
  return control_new_with_platform (daemon, base, platform, error);
}

void
control_free (control_t *ctrl)
{
  if (ctrl == NULL)
    return;
  ctrl->closing = true;
  if (ctrl->tick != NULL)
    event_free (ctrl->tick);
  control_fetch_clear (ctrl);
  control_claims_clear (ctrl);
  ctrl->platform->free (ctrl->platform);
  g_ptr_array_free (ctrl->calls, TRUE);
  exchange_free (ctrl->exchange);
  http_client_free (ctrl->http_client);
  control_exchange_clear (ctrl);
  control_manifest_clear (ctrl);
  control_members_clear (ctrl);
  membership_free (ctrl->membership);
  leave_notice_free (ctrl->list.leaving);
  g_rand_free (ctrl->rand);
  g_free (ctrl);
}

void
control_tick (control_t *ctrl)
{
  log_flush ();
  control_freshness_check_pause (ctrl);
  control_list_tick (ctrl);
  control_list_notify_leaving (ctrl);
  control_members_send_if_due (ctrl);
  control_manifest_tick (ctrl);
  control_claims_tick (ctrl);
  control_stop_tick (ctrl);
}

void
control_handle_message (mailbox_message_t *message, void *context)
{
  control_t *ctrl = context;
  control_freshness_check_pause (ctrl);
  switch (message->kind)
    {
    case MESSAGE_CLAIM:
      control_claims_request (ctrl, (const message_claim_t *)message);
      break;
    case MESSAGE_CLAIM_END:
      control_claims_finish (ctrl, (const message_claim_end_t *)message);
      break;
    case MESSAGE_OWN_LOAD_SAMPLE:
      control_exchange_set_own_sample (ctrl, (const message_load_samples_t *)message);
      break;
    case MESSAGE_NEW_CRASH_MARK:
      control_exchange_add_own_marks (ctrl, (const message_crash_marks_t *)message);
      break;
    case MESSAGE_LEAVE_ORDERED:
      control_stop_start_leaving (ctrl, "order");
      break;
    case MESSAGE_DRAIN:
      control_stop_on_signal (ctrl);
      break;
    case MESSAGE_DRAINED:
      control_stop_note_drained (ctrl);
      break;
    case MESSAGE_PAUSE_DETECTED:
      control_freshness_note_pause (ctrl, ((const message_flag_t *)message)->at_us);
      break;
    default:
      g_assert_not_reached ();
    }
}

uint64_t
control_now_us (const control_t *ctrl)
{
  return clock_now_us (&ctrl->daemon->clock);
}

void
control_send_to_data (control_t *ctrl, void *message)
{
  mailbox_send (ctrl->daemon->to_data, message);
}

void
control_count_event (control_t *ctrl, const char *name, const char *help)
{
  counter_add (counter_get (ctrl->daemon->counters, name, help), 1);
}

void
control_set_gauge (control_t *ctrl, const char *name, const char *help, uint64_t value)
{
  counter_set (counter_get (ctrl->daemon->counters, name, help), value);
}

uint64_t
control_add_jitter (control_t *ctrl, uint64_t wait_us)
{
  return (uint64_t)((double)wait_us * g_rand_double_range (ctrl->rand, 0.75, 1.25));
}
