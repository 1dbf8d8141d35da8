#include "request/ops.h"

#include "connection/admin_seal.h"
#include "process/log.h"
#include "process/pause.h"
#include "request/fault.h"
#include "request/hop.h"
#include "request/order.h"
#include "version/manifest_sync.h"

#include <event2/event.h>
#include <stdlib.h>
#include <string.h>

#define DRAIN_POLL_MS 20

struct ops
{
  ops_options_t options;
  hsv_t *hsv;
  man_t *man;
  uint64_t man_next_offset;
  mem_snapshot_t *members;
  dcn_ring_t *decisions;
  pse_t pse;
  bool draining;
  bool listening;
  bool drained;
  uint64_t linger_until_us;
  struct event *tick;
  struct event *drain_poll;
};

static const struct timeval TICK = { .tv_usec = PSE_TICK_MS * 1000 };
static const struct timeval POLL = { .tv_usec = DRAIN_POLL_MS * 1000 };

static bool
is_ready (ops_t *ops)
{
  return ops->man != NULL && ops->members != NULL && !ops->draining && !ops_stale (ops) &&
         ops->options.ready (ops->options.context);
}

static void
reply_json (hsv_call_t *call, json_t *json)
{
  char *text = json_dumps (json, JSON_COMPACT);

  hsv_reply_text (call, 200, "application/json", text);
  free (text);
  json_decref (json);
}

static void
serve_metrics (ops_t *ops, hsv_call_t *call)
{
  GString *out = g_string_new (NULL);

  cnt_write (ops->options.dmn->counters, out);
  hsv_reply_text (call, 200, "text/plain; version=0.0.4", out->str);
  g_string_free (out, TRUE);
}

static void
serve_status (ops_t *ops, hsv_call_t *call)
{
  const dmn_t *dmn = ops->options.dmn;
  uint64_t version = ops->man != NULL ? ops->man->version : 0;
  uint32_t hosts = ops->members != NULL ? ops->members->host_count : 0;
  json_t *json = json_pack ("{s:s,s:s,s:I,s:I,s:i,s:b,s:b,s:b}", "name", dmn->set.name, "role",
                            dmn->set.role == SET_ROLE_ROUTER ? "router" : "sidecar", "incarnation",
                            (json_int_t)dmn->incarnation, "version", (json_int_t)version, "hosts",
                            (int)hosts, "ready", (int)is_ready (ops), "draining",
                            (int)ops->draining, "stale", (int)ops_stale (ops));

  ops->options.status (json, ops->options.context);
  reply_json (call, json);
}

static void
serve_manifest (ops_t *ops, hsv_call_t *call)
{
  if (ops->man == NULL)
    {
      flt_bad_request (call, 503, "no_version", "no version of the manifest is known here");
      return;
    }
  char seal[MSY_SEAL_BYTES];
  g_autofree char *body =
      msy_write (ops->options.dmn->set.fleet_key, hsv_header (call, MSY_NONCE_HEADER), ops->man,
                 ops->man_next_offset, seal);

  if (seal[0] != '\0')
    hsv_add_header (call, MSY_SEAL_HEADER, seal);
  hsv_reply_text (call, 200, "application/json", body);
}

/* keep_own() - an account may ask only for its own requests */
static json_t *
keep_own (json_t *decisions, const man_account_t *account)
{
  for (size_t i = json_array_size (decisions); i-- > 0;)
    {
      const json_t *name = json_object_get (json_array_get (decisions, i), "account");

      if (strcmp (json_string_value (name), account->name) != 0)
        json_array_remove (decisions, i);
    }
  return decisions;
}

static void
serve_explain (ops_t *ops, hsv_call_t *call, bool sealed)
{
  const char *text = hsv_query (call, "request");
  const man_account_t *account = ops_account (ops, call);
  uint64_t request[2];
  json_t *decisions;

  if (!sealed && account == NULL)
    {
      flt_bad_request (call, 401, "unauthorized", "the key of a client account is needed");
      return;
    }
  if (text == NULL || !hop_attempt_parse (text, request))
    {
      flt_bad_request (call, 400, "bad_request", "request=ID is missing or not an id");
      return;
    }
  decisions = dcn_explain (ops->decisions, request);
  if (!sealed)
    decisions = keep_own (decisions, account);
  if (json_array_size (decisions) == 0)
    {
      json_decref (decisions);
      flt_bad_request (call, 404, "not_found", "the request is not known here, or not any more");
      return;
    }
  reply_json (call, json_pack ("{s:s,s:o}", "request", text, "decisions", decisions));
}

static void
serve_drain (ops_t *ops, hsv_call_t *call)
{
  msg_flag_t *leave = msg_new (MSG_LEAVE);

  leave->on = true;
  mbx_send (ops->options.dmn->to_control, &leave->head);
  log_event (LOG_LEVEL_NOTICE, "drain_ordered", "name", ops->options.dmn->set.name, NULL);
  hsv_reply_text (call, 202, "text/plain", "leaving\n");
}

static bool
serve_open (ops_t *ops, hsv_call_t *call, const char *path)
{
  if (strcmp (path, "/livez") == 0)
    hsv_reply_text (call, 200, "text/plain", "ok\n");
  else if (strcmp (path, "/readyz") == 0)
    hsv_reply_text (call, is_ready (ops) ? 200 : 503, "text/plain",
                    is_ready (ops) ? "ready\n" : "not ready\n");
  else if (strcmp (path, "/metrics") == 0)
    serve_metrics (ops, call);
  else if (strcmp (path, OPS_PREFIX "status") == 0)
    serve_status (ops, call);
  else
    return false;
  return true;
}

/* is_sealed() - by another daemon, or by the tool */
static bool
is_sealed (ops_t *ops, hsv_call_t *call)
{
  const set_t *set = &ops->options.dmn->set;
  ord_t order = { .host = set->name, .method = hsv_method (call), .target = hsv_target (call) };

  order.body = hsv_body (call, &order.body_bytes);
  return ord_check (&order, set->fleet_key, hsv_header (call, ORD_SEAL_HEADER));
}

static bool
is_drain_order (ops_t *ops, hsv_call_t *call)
{
  const dmn_t *dmn = ops->options.dmn;
  const char *text = hsv_query (call, "time");
  guint64 time_s;

  if (text == NULL || !g_ascii_string_to_unsigned (text, 10, 0, UINT64_MAX, &time_s, NULL))
    return false;
  return seal_check (dmn->set.fleet_key, SEAL_DRAIN, dmn->set.name, time_s,
                     clk_wall_ms (&dmn->clk) / 1000, hsv_header (call, SEAL_HEADER));
}

static void
serve_sealed (ops_t *ops, hsv_call_t *call, const char *path)
{
  bool drain = strcmp (path, OPS_PREFIX "drain") == 0 && strcmp (hsv_method (call), "POST") == 0;
  bool sealed = drain ? is_drain_order (ops, call) : is_sealed (ops, call);

  if (strcmp (path, OPS_PREFIX "explain") == 0)
    serve_explain (ops, call, sealed);
  else if (!sealed)
    flt_bad_request (call, 403, "forbidden", "this path is for the fleet's own daemons and tool");
  else if (strcmp (path, OPS_PREFIX "manifest") == 0)
    serve_manifest (ops, call);
  else if (drain)
    serve_drain (ops, call);
  else if (!ops->options.on_sealed (call, path, ops->options.context))
    flt_bad_request (call, 404, "not_found", "no such path");
}

static void
on_call (hsv_call_t *call, void *context)
{
  ops_t *ops = context;
  const char *path = hsv_path (call);

  if (serve_open (ops, call, path))
    return;
  if (g_str_has_prefix (path, OPS_PREFIX))
    serve_sealed (ops, call, path);
  else
    ops->options.on_call (call, ops->options.context);
}

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
                          .on_call = on_call,
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
  return pse_stale (&ops->pse);
}

bool
ops_draining (const ops_t *ops)
{
  return ops->draining;
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
