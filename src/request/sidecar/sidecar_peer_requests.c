#include "request/sidecar/sidecar_private.h"

#include "base/log.h"

#include <jansson.h>
#include <string.h>

static bool
parse_hash (const char *text, uint64_t *out)
{
  guint64 value;

  if (text == NULL || !g_ascii_string_to_unsigned (text, 16, 1, UINT64_MAX, &value, NULL))
    return false;
  *out = value;
  return true;
}

/* revoke_attempt() - Return: whether the attempt ran; after VERDICT_NOT_RUN it never runs here */
static verdict_t
revoke_attempt (sidecar_t *sidecar, const uint64_t attempt[2], uint64_t age_us)
{
  sidecar_call_t *call = g_hash_table_lookup (sidecar->calls, attempt);

  if (call == NULL)
    return history_revoke (sidecar->history, data_task_now_us (sidecar->data_task), attempt,
                           age_us);
  return sidecar_call_cancel (call);
}

static void
serve_revoke (sidecar_t *sidecar, http_server_call_t *inbound)
{
  const char *text = http_server_query_value (inbound, "attempt");
  const char *age = http_server_query_value (inbound, "age_ms");
  uint64_t attempt[2];
  guint64 age_ms;
  verdict_t verdict;

  if (text == NULL || !hop_parse_attempt (text, attempt) || age == NULL ||
      !g_ascii_string_to_unsigned (age, 10, 0, UINT32_MAX, &age_ms, NULL))
    {
      error_reply_reject (inbound, 400, "bad_request", "attempt or age_ms is missing or not valid");
      return;
    }
  verdict = revoke_attempt (sidecar, attempt, age_ms * CLOCK_US_PER_MS);
  sidecar_add_headers (sidecar, inbound, text);
  http_server_add_header (inbound, VERDICT_HEADER, verdict_to_string (verdict));
  http_server_reply_text (inbound, 200, "text/plain", verdict_to_string (verdict));
  sidecar_process_queue (sidecar);
}

static void
serve_served (sidecar_t *sidecar, http_server_call_t *inbound)
{
  uint64_t chat;
  uint64_t engine;

  if (!parse_hash (http_server_query_value (inbound, "chat"), &chat) ||
      !parse_hash (http_server_query_value (inbound, "engine"), &engine))
    {
      error_reply_reject (inbound, 400, "bad_request", "chat or engine is missing or not valid");
      return;
    }
  admission_note_served_elsewhere (sidecar->admission, data_task_now_us (sidecar->data_task), chat,
                                   engine);
  counter_add (sidecar->directory_notes, 1);
  http_server_reply_text (inbound, 200, "text/plain", "noted\n");
}

/* store_entries() - stores [[chat, engine], ...], both hashes in hex, in the directory. Return: how
 * many were stored */
static uint32_t
store_entries (sidecar_t *sidecar, const json_t *entries)
{
  uint32_t stored = 0;
  size_t index;
  json_t *entry;

  json_array_foreach (entries, index, entry)
    {
      uint64_t chat;
      uint64_t engine;

      if (index == SIDECAR_HANDOVER_BATCH_ENTRIES)
        break;
      if (!parse_hash (json_string_value (json_array_get (entry, 0)), &chat) ||
          !parse_hash (json_string_value (json_array_get (entry, 1)), &engine))
        continue;
      admission_note_served_elsewhere (sidecar->admission, data_task_now_us (sidecar->data_task),
                                       chat, engine);
      counter_add (sidecar->directory_notes, 1);
      stored++;
    }
  return stored;
}

static void
serve_directory (sidecar_t *sidecar, http_server_call_t *inbound)
{
  size_t body_bytes;
  const char *body = http_server_body (inbound, &body_bytes);
  json_t *entries = json_loadb (body, body_bytes, JSON_REJECT_DUPLICATES, NULL);
  uint32_t stored;

  if (!json_is_array (entries))
    {
      json_decref (entries);
      error_reply_reject (inbound, 400, "bad_body", "the body is not a JSON array");
      return;
    }
  stored = store_entries (sidecar, entries);
  json_decref (entries);
  log_event (LOG_LEVEL_INFO, "directory_taken", "entries", LOG_U64 (stored), NULL);
  http_server_reply_text (inbound, 200, "text/plain", "noted\n");
}

bool
sidecar_handle_peer_request (http_server_call_t *inbound, const char *path, void *context)
{
  sidecar_t *sidecar = context;

  if (strcmp (http_server_method (inbound), "POST") != 0)
    return false;
  data_task_count_control_bytes (sidecar->data_task, DATA_TASK_CALL_OVERHEAD_BYTES);
  if (strcmp (path, HOP_REVOKE_PATH) == 0)
    serve_revoke (sidecar, inbound);
  else if (strcmp (path, HOP_SERVED_PATH) == 0)
    serve_served (sidecar, inbound);
  else if (strcmp (path, HOP_DIRECTORY_PATH) == 0)
    serve_directory (sidecar, inbound);
  else
    return false;
  return true;
}
