#include "request/sidecar/sidecar_private.h"

#include "base/log.h"
#include "request/policy/digests/call_seal.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define HANDOVER_TIMEOUT_US (2000 * 1000)

/**
 * struct handover - a hand-over of the directory
 * @batch_by_host: JSON array of entries for each host, by the host's index in the members; NULL
 *   when there are none
 * @batch_count: batches that were complete so far; those beyond SIDECAR_HANDOVER_MAX_BATCHES are
 *   not sent
 */
typedef struct
{
  sidecar_t *sidecar;
  json_t **batch_by_host;
  uint32_t batch_count;
} handover_t;

/** struct batch_request - @body: the body of a request in flight, freed at its end */
typedef struct
{
  char *body;
} batch_request_t;

static void
on_end (const http_client_result_t *end, void *context)
{
  batch_request_t *request = context;

  (void)end;
  g_free (request->body);
  g_free (request);
}

static void
send_batch (sidecar_t *sidecar, const membership_host_t *host, const json_t *entries)
{
  batch_request_t *request = g_new0 (batch_request_t, 1);
  char *text = json_dumps (entries, JSON_COMPACT);
  char seal[CALL_SEAL_BYTES];
  http_client_header_t header = { .name = CALL_SEAL_HEADER, .value = seal };
  http_client_options_t options = { .address = &host->http,
                                    .method = "POST",
                                    .target = HOP_DIRECTORY_PATH,
                                    .headers = &header,
                                    .header_count = 1,
                                    .timeout_us = HANDOVER_TIMEOUT_US,
                                    .on_end = on_end,
                                    .context = request };

  request->body = g_strdup (text);
  free (text);
  options.body = request->body;
  options.body_bytes = strlen (request->body);
  call_seal_compute (&(sealed_call_t){ .host = host->name,
                                       .method = "POST",
                                       .target = HOP_DIRECTORY_PATH,
                                       .body = request->body,
                                       .body_bytes = options.body_bytes },
                     sidecar->daemon->settings.fleet_key, seal);
  data_task_count_control_bytes (sidecar->data_task,
                                 DATA_TASK_CALL_OVERHEAD_BYTES + (uint32_t)options.body_bytes);
  http_client_start_call (sidecar->http_client, &options);
}

static void
flush_batch (handover_t *handover, uint32_t index)
{
  json_t *entries = handover->batch_by_host[index];

  if (entries == NULL)
    return;
  if (handover->batch_count++ < SIDECAR_HANDOVER_MAX_BATCHES)
    send_batch (handover->sidecar, &data_task_members (handover->sidecar->data_task)->hosts[index],
                entries);
  json_decref (entries);
  handover->batch_by_host[index] = NULL;
}

/* add_entry() - adds a directory entry to the batch of the chat's next home
 *
 * That is the highest-ranked of the remaining engines, by the ranking that routers use. */
static void
add_entry (const chat_directory_entry_t *entry, void *context)
{
  handover_t *handover = context;
  sidecar_t *sidecar = handover->sidecar;
  uint32_t index;
  char chat[17];
  char engine[17];

  if (entry->engine_hash == sidecar->own_hash ||
      rendezvous_rank (sidecar->other_engines, sidecar->other_engine_count, sidecar->service->hash,
                       entry->chat_hash, &index, 1) == 0)
    return;
  if (handover->batch_by_host[index] == NULL)
    handover->batch_by_host[index] = json_array ();
  g_snprintf (chat, sizeof chat, "%016" PRIx64, entry->chat_hash);
  g_snprintf (engine, sizeof engine, "%016" PRIx64, entry->engine_hash);
  json_array_append_new (handover->batch_by_host[index], json_pack ("[ss]", chat, engine));
  if (json_array_size (handover->batch_by_host[index]) == SIDECAR_HANDOVER_BATCH_ENTRIES)
    flush_batch (handover, index);
}

void
sidecar_hand_over_directory (sidecar_t *sidecar)
{
  const membership_snapshot_t *members = data_task_members (sidecar->data_task);
  handover_t handover = { .sidecar = sidecar };

  if (sidecar->directory_handed_over || sidecar->service == NULL || members == NULL ||
      sidecar->other_engine_count == 0)
    return;
  sidecar->directory_handed_over = true;
  handover.batch_by_host = g_new0 (json_t *, members->host_count);
  chat_directory_for_each (admission_directory (sidecar->admission), add_entry, &handover);
  for (uint32_t i = 0; i < members->host_count; i++)
    flush_batch (&handover, i);
  g_free (handover.batch_by_host);
  log_event (LOG_LEVEL_NOTICE, "directory_handed_over", "entries",
             LOG_U64 (chat_directory_count (admission_directory (sidecar->admission))), NULL);
}
