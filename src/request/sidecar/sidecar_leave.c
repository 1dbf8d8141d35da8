#include "request/sidecar/sidecar_private.h"

#include "base/log.h"
#include "request/policy/order.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define HAND_OVER_TIMEOUT_US (2000 * 1000)

/** struct hand_over - batches by the index of the host in the members */
typedef struct
{
  sdc_t *sdc;
  json_t **by_host;
  uint32_t batch_count;
} hand_over_t;

/** struct sent - a batch on its way */
typedef struct
{
  char *body;
} sent_t;

static void
on_end (const hcl_end_t *end, void *context)
{
  sent_t *sent = context;

  (void)end;
  g_free (sent->body);
  g_free (sent);
}

static void
send_batch (sdc_t *sdc, const mem_host_t *host, const json_t *entries)
{
  sent_t *sent = g_new0 (sent_t, 1);
  char *text = json_dumps (entries, JSON_COMPACT);
  char seal[ORD_SEAL_BYTES];
  hcl_header_t header = { .name = ORD_SEAL_HEADER, .value = seal };
  hcl_options_t options = { .address = &host->http,
                            .method = "POST",
                            .target = HOP_DIRECTORY_PATH,
                            .headers = &header,
                            .header_count = 1,
                            .timeout_us = HAND_OVER_TIMEOUT_US,
                            .on_end = on_end,
                            .context = sent };

  sent->body = g_strdup (text);
  free (text);
  options.body = sent->body;
  options.body_bytes = strlen (sent->body);
  ord_seal (&(ord_t){ .host = host->name,
                      .method = "POST",
                      .target = HOP_DIRECTORY_PATH,
                      .body = sent->body,
                      .body_bytes = options.body_bytes },
            sdc->dmn->set.fleet_key, seal);
  ops_count_control (sdc->ops, OPS_CALL_BYTES + (uint32_t)options.body_bytes);
  hcl_start (sdc->hcl, &options);
}

static void
flush (hand_over_t *hand_over, uint32_t index)
{
  json_t *entries = hand_over->by_host[index];

  if (entries == NULL)
    return;
  if (hand_over->batch_count++ < SDC_BATCHES)
    send_batch (hand_over->sdc, &ops_members (hand_over->sdc->ops)->hosts[index], entries);
  json_decref (entries);
  hand_over->by_host[index] = NULL;
}

/* visit() - the next home of a chat is the best of the engines that stay, by the routers' own
 * ranking */
static void
visit (const dir_entry_t *entry, void *context)
{
  hand_over_t *hand_over = context;
  sdc_t *sdc = hand_over->sdc;
  uint32_t index;
  char chat[17];
  char engine[17];

  if (entry->engine_hash == sdc->own_hash ||
      plc_rank (sdc->others, sdc->other_count, sdc->service->hash, entry->chat_hash, &index, 1) ==
          0)
    return;
  if (hand_over->by_host[index] == NULL)
    hand_over->by_host[index] = json_array ();
  g_snprintf (chat, sizeof chat, "%016" PRIx64, entry->chat_hash);
  g_snprintf (engine, sizeof engine, "%016" PRIx64, entry->engine_hash);
  json_array_append_new (hand_over->by_host[index], json_pack ("[ss]", chat, engine));
  if (json_array_size (hand_over->by_host[index]) == SDC_BATCH_ENTRIES)
    flush (hand_over, index);
}

void
sdc_leave (sdc_t *sdc)
{
  const mem_snapshot_t *members = ops_members (sdc->ops);
  hand_over_t hand_over = { .sdc = sdc };

  if (sdc->handed_over || sdc->service == NULL || members == NULL || sdc->other_count == 0)
    return;
  sdc->handed_over = true;
  hand_over.by_host = g_new0 (json_t *, members->host_count);
  dir_each (adm_directory (sdc->adm), visit, &hand_over);
  for (uint32_t i = 0; i < members->host_count; i++)
    flush (&hand_over, i);
  g_free (hand_over.by_host);
  log_event (LOG_LEVEL_NOTICE, "directory_handed_over", "entries",
             LOG_U64 (dir_count (adm_directory (sdc->adm))), NULL);
}
