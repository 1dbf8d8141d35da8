#include "request/data_task_private.h"

#include "connection/admin_seal.h"
#include "base/log.h"
#include "request/error_reply.h"
#include "request/hop.h"
#include "request/policy/digests/call_seal.h"
#include "version/manifest_sync.h"

#include <stdlib.h>
#include <string.h>

static bool
is_ready (data_task_t *data_task)
{
  return data_task->manifest != NULL && data_task->members != NULL && !data_task->draining &&
         !data_task_is_stale (data_task) && data_task->options.ready (data_task->options.context);
}

static void
reply_json (http_server_call_t *call, json_t *json)
{
  char *text = json_dumps (json, JSON_COMPACT);

  http_server_reply_text (call, 200, "application/json", text);
  free (text);
  json_decref (json);
}

static void
serve_metrics (data_task_t *data_task, http_server_call_t *call)
{
  GString *out = g_string_new (NULL);

  counter_registry_write (data_task->options.daemon->counters, out);
  http_server_reply_text (call, 200, "text/plain; version=0.0.4", out->str);
  g_string_free (out, TRUE);
}

static void
serve_status (data_task_t *data_task, http_server_call_t *call)
{
  const daemon_t *daemon = data_task->options.daemon;
  uint64_t version = data_task->manifest != NULL ? data_task->manifest->version : 0;
  uint32_t hosts = data_task->members != NULL ? data_task->members->host_count : 0;
  json_t *json =
      json_pack ("{s:s,s:s,s:I,s:I,s:i,s:b,s:b,s:b}", "name", daemon->settings.name, "role",
                 daemon->settings.role == SETTINGS_ROLE_ROUTER ? "router" : "sidecar",
                 "incarnation", (json_int_t)daemon->incarnation, "version", (json_int_t)version,
                 "hosts", (int)hosts, "ready", (int)is_ready (data_task), "draining",
                 (int)data_task->draining, "stale", (int)data_task_is_stale (data_task));

  data_task->options.status (json, data_task->options.context);
  reply_json (call, json);
}

static void
serve_manifest (data_task_t *data_task, http_server_call_t *call)
{
  if (data_task->manifest == NULL)
    {
      error_reply_reject (call, 503, "no_version", "no version of the manifest is known here");
      return;
    }
  char seal[ANSWER_SEAL_BYTES];
  g_autofree char *body =
      manifest_sync_format (data_task->options.daemon->settings.fleet_key,
                            http_server_request_header (call, ANSWER_SEAL_NONCE_HEADER),
                            data_task->manifest, data_task->man_next, seal);

  if (seal[0] != '\0')
    http_server_add_header (call, ANSWER_SEAL_HEADER, seal);
  http_server_reply_text (call, 200, "application/json", body);
}

/* A client account may see only its own requests. */
static json_t *
filter_by_account (json_t *decisions, const manifest_account_t *account)
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
serve_explain (data_task_t *data_task, http_server_call_t *call, bool sealed)
{
  const char *text = http_server_query_value (call, "request");
  const manifest_account_t *account = data_task_find_account (data_task, call);
  uint64_t request[2];
  json_t *decisions;

  if (!sealed && account == NULL)
    {
      error_reply_reject (call, 401, "unauthorized", "the key of a client account is needed");
      return;
    }
  if (text == NULL || !hop_parse_attempt (text, request))
    {
      error_reply_reject (call, 400, "bad_request", "request=ID is missing or not an id");
      return;
    }
  decisions = decision_ring_find (data_task->decisions, request);
  if (!sealed)
    decisions = filter_by_account (decisions, account);
  if (json_array_size (decisions) == 0)
    {
      json_decref (decisions);
      error_reply_reject (call, 404, "not_found", "the request is not known here, or not any more");
      return;
    }
  reply_json (call, json_pack ("{s:s,s:o}", "request", text, "decisions", decisions));
}

static void
serve_drain (data_task_t *data_task, http_server_call_t *call)
{
  message_flag_t *leave = message_new (MESSAGE_LEAVE_ORDERED);

  leave->on = true;
  mailbox_send (data_task->options.daemon->to_control, &leave->head);
  log_event (LOG_LEVEL_NOTICE, "drain_ordered", "name", data_task->options.daemon->settings.name,
             NULL);
  http_server_reply_text (call, 202, "text/plain", "leaving\n");
}

static bool
serve_unsealed (data_task_t *data_task, http_server_call_t *call, const char *path)
{
  if (strcmp (path, "/livez") == 0)
    http_server_reply_text (call, 200, "text/plain", "ok\n");
  else if (strcmp (path, "/readyz") == 0)
    http_server_reply_text (call, is_ready (data_task) ? 200 : 503, "text/plain",
                            is_ready (data_task) ? "ready\n" : "not ready\n");
  else if (strcmp (path, "/metrics") == 0)
    serve_metrics (data_task, call);
  else if (strcmp (path, DATA_TASK_ADMIN_PREFIX "status") == 0)
    serve_status (data_task, call);
  else
    return false;
  return true;
}

/* Whether the call was sealed with the fleet key, by another daemon or by the command-line tool. */
static bool
has_valid_seal (data_task_t *data_task, http_server_call_t *call)
{
  const settings_t *settings = &data_task->options.daemon->settings;
  sealed_call_t order = { .host = settings->name,
                          .method = http_server_method (call),
                          .target = http_server_target (call) };

  order.body = http_server_body (call, &order.body_bytes);
  return call_seal_verify (&order, settings->fleet_key,
                           http_server_request_header (call, CALL_SEAL_HEADER));
}

static bool
has_valid_drain_seal (data_task_t *data_task, http_server_call_t *call)
{
  const daemon_t *daemon = data_task->options.daemon;
  const char *text = http_server_query_value (call, "time");
  guint64 time_s;

  if (text == NULL || !g_ascii_string_to_unsigned (text, 10, 0, UINT64_MAX, &time_s, NULL))
    return false;
  return admin_seal_check (daemon->settings.fleet_key, ADMIN_SEAL_DRAIN, daemon->settings.name,
                           time_s, clock_wall_ms (&daemon->clock) / 1000,
                           http_server_request_header (call, ADMIN_SEAL_HEADER));
}

static void
serve_sealed (data_task_t *data_task, http_server_call_t *call, const char *path)
{
  bool drain = strcmp (path, DATA_TASK_ADMIN_PREFIX "drain") == 0 &&
               strcmp (http_server_method (call), "POST") == 0;
  bool sealed = drain ? has_valid_drain_seal (data_task, call) : has_valid_seal (data_task, call);

  if (strcmp (path, DATA_TASK_ADMIN_PREFIX "explain") == 0)
    serve_explain (data_task, call, sealed);
  else if (!sealed)
    error_reply_reject (call, 403, "forbidden",
                        "this path is for the fleet's own daemons and tool");
  else if (strcmp (path, DATA_TASK_ADMIN_PREFIX "manifest") == 0)
    serve_manifest (data_task, call);
  else if (drain)
    serve_drain (data_task, call);
  else if (!data_task->options.on_sealed (call, path, data_task->options.context))
    error_reply_reject (call, 404, "not_found", "no such path");
}

void
data_task_serve (http_server_call_t *call, void *context)
{
  data_task_t *data_task = context;
  const char *path = http_server_path (call);

  if (serve_unsealed (data_task, call, path))
    return;
  if (g_str_has_prefix (path, DATA_TASK_ADMIN_PREFIX))
    serve_sealed (data_task, call, path);
  else
    data_task->options.on_call (call, data_task->options.context);
}
