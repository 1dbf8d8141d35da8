#include "request/ops_private.h"

#include "base/log.h"
#include "request/hop.h"

#include <string.h>

#define DRAIN_POLL_MS 20

static const struct timeval TICK = { .tv_usec = PSE_TICK_MS * 1000 };
static const struct timeval POLL = { .tv_usec = DRAIN_POLL_MS * 1000 };

static void
on_tick (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  ops_stale (context);
}

static void
send_flag (ops_t *ops, msg_kind_t kind, uint64_t at_us)
{
  msg_flag_t *flag = msg_new (kind);

  flag->on = true;
  flag->at_us = at_us;
  mbx_send (ops->options.dmn->to_control, &flag->head);
}

static void
on_drain_poll (evutil_socket_t fd, short what, void *context)
{
  ops_t *ops = context;

  (void)fd;
  (void)what;
  if (ops_now_us (ops) < ops->linger_until_us)
    return;
  if (ops->listening)
    {
      hsv_stop (ops->hsv);
      ops->listening = false;
    }
  if (ops->drained || hsv_busy (ops->hsv) > 0 || ops->options.in_flight (ops->options.context) > 0)
    return;
  ops->drained = true;
  event_del (ops->drain_poll);
  send_flag (ops, MSG_DRAINED, ops_now_us (ops));
}

static void
start_drain (ops_t *ops)
{
  if (ops->draining)
    return;
  ops->draining = true;
  ops->linger_until_us = ops_now_us (ops) + OPS_LINGER_MS * CLK_US_PER_MS;
  ops->options.stopping (ops->options.context);
  event_add (ops->drain_poll, &POLL);
}

static void
take_version (ops_t *ops, msg_version_t *message)
{
  if (ops->man != NULL)
    man_unref (ops->man);
  ops->man = man_ref (message->man);
  ops->man_next_offset = message->next_offset;
}

static void
take_members (ops_t *ops, msg_members_t *message)
{
  if (ops->members != NULL)
    mem_snapshot_unref (ops->members);
  ops->members = mem_snapshot_ref (message->members);
}

static void
take_freshness (ops_t *ops, const msg_flag_t *flag)
{
  if (flag->on)
    pse_fresh (&ops->pse, flag->at_us);
  else
    pse_wake (&ops->pse, flag->at_us);
}

/* listener() - a sidecar's has room for the headers that a router adds to a caller's that are just
 * within the router's own limits */
static hsv_options_t
listener (ops_t *ops)
{
  const set_t *set = &ops->options.dmn->set;
  bool sidecar = set->role == SET_ROLE_SIDECAR;

  return (hsv_options_t){ .base = ops->options.base,
                          .counters = ops->options.dmn->counters,
                          .listen = set->listen,
                          .body_limit_bytes = set->body_limit_bytes,
                          .header_limit_bytes =
                              set->header_limit_bytes + (sidecar ? HOP_HEADERS_BYTES : 0),
                          .header_limit_count =
                              set->header_limit_count + (sidecar ? HOP_HEADERS : 0),
                          .connection_limit = set->connection_limit,
                          .idle_timeout_ms = set->idle_timeout_ms,
                          .on_call = ops_serve,
                          .context = ops };
}

ops_t *
ops_new (const ops_options_t *options, GError **error)
{
  ops_t *ops = g_new0 (ops_t, 1);
  hsv_options_t listen;

  ops->options = *options;
  ops->decisions = dcn_ring_new (DCN_KEPT);
  pse_init (&ops->pse, ops_now_us (ops), options->dmn->set.exchange_interval_ms);
  listen = listener (ops);
  ops->hsv = hsv_new (&listen, error);
  if (ops->hsv == NULL)
    {
      dcn_ring_free (ops->decisions);
      g_free (ops);
      return NULL;
    }
  ops->listening = true;
  ops->control_bytes = cnt_get (options->dmn->counters, "medlarplank_control_bytes_sent_total",
                                "Bytes of control traffic sent, with headers");
  ops->tick = event_new (options->base, -1, EV_PERSIST, on_tick, ops);
  ops->drain_poll = event_new (options->base, -1, EV_PERSIST, on_drain_poll, ops);
  event_add (ops->tick, &TICK);
  return ops;
}

void
ops_free (ops_t *ops)
{
  if (ops == NULL)
    return;
  event_free (ops->tick);
  event_free (ops->drain_poll);
  hsv_free (ops->hsv);
  if (ops->man != NULL)
    man_unref (ops->man);
  if (ops->members != NULL)
    mem_snapshot_unref (ops->members);
  dcn_ring_free (ops->decisions);
  g_free (ops);
}

bool
ops_message (ops_t *ops, mbx_message_t *message)
{
  switch ((msg_kind_t)message->kind)
    {
    case MSG_VERSION:
      take_version (ops, (msg_version_t *)message);
      break;
    case MSG_MEMBERS:
      take_members (ops, (msg_members_t *)message);
      break;
    case MSG_FRESHNESS:
      take_freshness (ops, (msg_flag_t *)message);
      break;
    case MSG_DRAIN:
      start_drain (ops);
      return true;
    default:
      return false;
    }
  ops->options.changed (ops->options.context);
  return true;
}

man_t *
ops_man (const ops_t *ops)
{
  return ops->man;
}

mem_snapshot_t *
ops_members (const ops_t *ops)
{
  return ops->members;
}

dcn_ring_t *
ops_decisions (ops_t *ops)
{
  return ops->decisions;
}

uint64_t
ops_now_us (const ops_t *ops)
{
  return clk_now_us (&ops->options.dmn->clk);
}

bool
ops_stale (ops_t *ops)
{
  if (pse_check (&ops->pse, ops_now_us (ops)))
    {
      log_event (LOG_LEVEL_WARNING, "woke", "task", "data", NULL);
      send_flag (ops, MSG_WOKE, ops->pse.woke_us);
      ops->options.changed (ops->options.context);
    }
  return pse_stale (&ops->pse) || pse_settling (&ops->pse, ops_now_us (ops));
}

bool
ops_draining (const ops_t *ops)
{
  return ops->draining;
}

void
ops_count_control (ops_t *ops, uint32_t bytes)
{
  cnt_add (ops->control_bytes, bytes);
}

const man_account_t *
ops_account (const ops_t *ops, hsv_call_t *call)
{
  static const char BEARER[] = "Bearer ";
  const char *authorization = hsv_header (call, "Authorization");
  const char *key = hsv_header (call, "X-Api-Key");

  if (authorization != NULL && g_ascii_strncasecmp (authorization, BEARER, strlen (BEARER)) == 0)
    key = authorization + strlen (BEARER);
  if (key == NULL || ops->man == NULL)
    return NULL;
  return man_account_for_key (ops->man, key);
}
