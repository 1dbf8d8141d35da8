#include "request/sidecar/sidecar_private.h"

#include "base/log.h"

#include <jansson.h>
#include <string.h>

static bool
read_hash (const char *text, uint64_t *out)
{
  guint64 value;

  if (text == NULL || !g_ascii_string_to_unsigned (text, 16, 1, UINT64_MAX, &value, NULL))
    return false;
  *out = value;
  return true;
}

/* revoke() - Return: what became of the attempt; after VRD_NOT_RUN it never runs here */
static vrd_t
revoke (sdc_t *sdc, const uint64_t attempt[2], uint64_t age_us)
{
  sdc_call_t *call = g_hash_table_lookup (sdc->calls, attempt);

  if (call == NULL)
    return hst_revoke (sdc->hst, ops_now_us (sdc->ops), attempt, age_us);
  return sdc_call_drop (call);
}

static void
serve_revoke (sdc_t *sdc, hsv_call_t *in)
{
  const char *text = hsv_query (in, "attempt");
  const char *age = hsv_query (in, "age_ms");
  uint64_t attempt[2];
  guint64 age_ms;
  vrd_t verdict;

  if (text == NULL || !hop_attempt_parse (text, attempt) || age == NULL ||
      !g_ascii_string_to_unsigned (age, 10, 0, UINT32_MAX, &age_ms, NULL))
    {
      flt_bad_request (in, 400, "bad_request", "attempt or age_ms is missing or not valid");
      return;
    }
  verdict = revoke (sdc, attempt, age_ms * CLK_US_PER_MS);
  sdc_identify (sdc, in, text);
  hsv_add_header (in, VRD_HEADER, vrd_name (verdict));
  hsv_reply_text (in, 200, "text/plain", vrd_name (verdict));
  sdc_pump (sdc);
}

static void
serve_served (sdc_t *sdc, hsv_call_t *in)
{
  uint64_t chat;
  uint64_t engine;

  if (!read_hash (hsv_query (in, "chat"), &chat) || !read_hash (hsv_query (in, "engine"), &engine))
    {
      flt_bad_request (in, 400, "bad_request", "chat or engine is missing or not valid");
      return;
    }
  adm_served_elsewhere (sdc->adm, ops_now_us (sdc->ops), chat, engine);
  cnt_add (sdc->notes, 1);
  hsv_reply_text (in, 200, "text/plain", "noted\n");
}

/* take_entries() - [[chat, engine], ...] as hashes in hex. Return: how many were taken */
static uint32_t
take_entries (sdc_t *sdc, const json_t *entries)
{
  uint32_t taken = 0;
  size_t index;
  json_t *entry;

  json_array_foreach (entries, index, entry)
    {
      uint64_t chat;
      uint64_t engine;

      if (index == SDC_BATCH_ENTRIES)
        break;
      if (!read_hash (json_string_value (json_array_get (entry, 0)), &chat) ||
          !read_hash (json_string_value (json_array_get (entry, 1)), &engine))
        continue;
      adm_served_elsewhere (sdc->adm, ops_now_us (sdc->ops), chat, engine);
      cnt_add (sdc->notes, 1);
      taken++;
    }
  return taken;
}

static void
serve_directory (sdc_t *sdc, hsv_call_t *in)
{
  size_t body_bytes;
  const char *body = hsv_body (in, &body_bytes);
  json_t *entries = json_loadb (body, body_bytes, JSON_REJECT_DUPLICATES, NULL);
  uint32_t taken;

  if (!json_is_array (entries))
    {
      json_decref (entries);
      flt_bad_request (in, 400, "bad_body", "the body is not a JSON array");
      return;
    }
  taken = take_entries (sdc, entries);
  json_decref (entries);
  log_event (LOG_LEVEL_INFO, "directory_taken", "entries", LOG_U64 (taken), NULL);
  hsv_reply_text (in, 200, "text/plain", "noted\n");
}

bool
sdc_order (hsv_call_t *in, const char *path, void *context)
{
  sdc_t *sdc = context;

  if (strcmp (hsv_method (in), "POST") != 0)
    return false;
  ops_count_control (sdc->ops, OPS_CALL_BYTES);
  if (strcmp (path, HOP_REVOKE_PATH) == 0)
    serve_revoke (sdc, in);
  else if (strcmp (path, HOP_SERVED_PATH) == 0)
    serve_served (sdc, in);
  else if (strcmp (path, HOP_DIRECTORY_PATH) == 0)
    serve_directory (sdc, in);
  else
    return false;
  return true;
}
