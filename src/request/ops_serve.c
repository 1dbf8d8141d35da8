#include "request/ops_private.h"

#include "connection/admin_seal.h"
#include "base/log.h"
#include "request/fault.h"
#include "request/hop.h"
#include "request/policy/order.h"
#include "version/manifest_sync.h"

#include <stdlib.h>
#include <string.h>

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
  char seal[ASL_SEAL_BYTES];
  g_autofree char *body =
      msy_write (ops->options.dmn->set.fleet_key, hsv_header (call, ASL_NONCE_HEADER), ops->man,
                 ops->man_next_offset, seal);

  if (seal[0] != '\0')
    hsv_add_header (call, ASL_SEAL_HEADER, seal);
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

void
ops_serve (hsv_call_t *call, void *context)
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
