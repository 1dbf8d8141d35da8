#include "process/control_private.h"

#include "base/log.h"
#include "request/policy/digests/call_seal.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <event2/http.h>

#define FETCH_INTERVAL_US (1 * CLOCK_US_PER_S)
#define FETCH_TIMEOUT_US (5 * CLOCK_US_PER_S)
#define HTTP_STATUS_OK 200
#define ENVELOPE_BYTES 1024 /* of the answer, besides the manifest */

static bool
on_head (int status, struct evkeyvalq *headers, void *context)
{
  control_t *ctrl = context;
  const char *seal = evhttp_find_header (headers, ANSWER_SEAL_HEADER);
  if (status != HTTP_STATUS_OK || seal == NULL)
    return false;
  g_strlcpy (ctrl->fetch.seal, seal, sizeof ctrl->fetch.seal);
  return true;
}

static void
on_data (struct evbuffer *data, void *context)
{
  control_t *ctrl = context;
  http_client_keep_data (ctrl->fetch.body, data);
}

static void
log_fetch_outcome (const control_t *ctrl, const char *outcome, uint64_t version, const char *reason)
{
  log_event (LOG_LEVEL_NOTICE, "manifest_from_peer", "host", ctrl->fetch.host, "outcome", outcome,
             "version", LOG_U64 (version), "reason", reason, NULL);
}

static void
adopt_manifest (control_t *ctrl)
{
  control_fetch_t *fetch = &ctrl->fetch;
  GError *error = NULL;
  position_t next = { 0 };
  size_t bytes = evbuffer_get_length (fetch->body);
  const char *body = (const char *)evbuffer_pullup (fetch->body, -1);
  manifest_t *manifest = manifest_sync_parse (ctrl->daemon->settings.fleet_key, fetch->nonce,
                                              fetch->seal, body, bytes, &next, &error);
  if (manifest == NULL)
    {
      log_fetch_outcome (ctrl, "refused", 0, error->message);
      g_error_free (error);
      return;
    }
  bool adopted = replay_adopt (ctrl->manifest.replay, manifest, next);
  log_fetch_outcome (ctrl, adopted ? "adopted" : "no_news", manifest->version, NULL);
  manifest_unref (manifest);
  if (!adopted)
    return;
  control_count_event (ctrl, "medlarplank_manifest_from_peer_total",
                       "Versions of the manifest taken from a peer");
  control_manifest_send_if_changed (ctrl);
  control_freshness_send_if_fresh (ctrl);
}

static void
on_end (const http_client_result_t *end, void *context)
{
  control_t *ctrl = context;
  ctrl->fetch.call = NULL;
  ctrl->manifest.source_tried = true;
  control_freshness_check_pause (ctrl);
  if (end->complete)
    adopt_manifest (ctrl);
  else
    log_fetch_outcome (ctrl, "failed", 0, verdict_reason_to_string (end->reason));
  evbuffer_free (ctrl->fetch.body);
  ctrl->fetch.body = NULL;
}

void
control_fetch_start (control_t *ctrl, const membership_host_t *host)
{
  control_fetch_t *fetch = &ctrl->fetch;
  uint64_t now_us = control_now_us (ctrl);
  if (fetch->call != NULL || now_us < fetch->next_us)
    return;
  fetch->next_us = now_us + control_add_jitter (ctrl, FETCH_INTERVAL_US);
  fetch->body = evbuffer_new ();
  fetch->seal[0] = '\0';
  g_strlcpy (fetch->host, host->name, sizeof fetch->host);
  answer_seal_make_nonce (fetch->nonce);
  sealed_call_t order = { .host = host->name, .method = "GET", .target = MANIFEST_SYNC_PATH };
  char seal[CALL_SEAL_BYTES];
  call_seal_compute (&order, ctrl->daemon->settings.fleet_key, seal);
  http_client_header_t headers[] = { { ANSWER_SEAL_NONCE_HEADER, fetch->nonce },
                                     { CALL_SEAL_HEADER, seal } };
  http_client_options_t options = {
    .address = &host->http,
    .method = "GET",
    .target = MANIFEST_SYNC_PATH,
    .headers = headers,
    .header_count = G_N_ELEMENTS (headers),
    .timeout_us = FETCH_TIMEOUT_US,
    .answer_limit_bytes = LIMIT_MANIFEST_BYTES + ENVELOPE_BYTES,
    .on_head = on_head,
    .on_data = on_data,
    .on_end = on_end,
    .context = ctrl,
  };
  exchange_charge_budget (ctrl->exchange, CONTROL_REQUEST_BYTES);
  fetch->call = http_client_start_call (ctrl->http_client, &options);
}

void
control_fetch_clear (control_t *ctrl)
{
  if (ctrl->fetch.call != NULL)
    http_client_cancel_call (ctrl->fetch.call);
  if (ctrl->fetch.body != NULL)
    evbuffer_free (ctrl->fetch.body);
}
