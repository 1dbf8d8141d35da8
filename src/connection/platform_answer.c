#include "connection/platform_answer.h"

#include <string.h>

static bool
get_u64 (const json_t *object, const char *key, uint64_t *value)
{
  const json_t *number = json_object_get (object, key);
  if (!json_is_integer (number) || json_integer_value (number) < 0)
    return false;
  *value = (uint64_t)json_integer_value (number);
  return true;
}

/* The era is optional: 0 stands for a platform that never came back from a copy. Return: false when
 * it is invalid */
static bool
get_era (const json_t *object, uint64_t *era)
{
  *era = 0;
  return !json_object_get (object, "era") || get_u64 (object, "era", era);
}

static bool
get_name (const json_t *object, const char *key, char out[LIMIT_NAME_BYTES])
{
  const json_t *text = json_object_get (object, key);
  size_t text_bytes = json_string_length (text);
  if (text_bytes == 0 || text_bytes >= LIMIT_NAME_BYTES)
    return false;
  memcpy (out, json_string_value (text), text_bytes + 1);
  return true;
}

static bool
get_address (const json_t *object, const char *key, address_t *address)
{
  const char *text = json_string_value (json_object_get (object, key));
  return text != NULL && address_parse (text, address, NULL);
}

static bool
get_state (const json_t *object, membership_state_t *state)
{
  const char *text = json_string_value (json_object_get (object, "state"));
  if (g_strcmp0 (text, "live") == 0)
    *state = MEMBERSHIP_LIVE;
  else if (g_strcmp0 (text, "leaving") == 0)
    *state = MEMBERSHIP_LEAVING;
  else if (g_strcmp0 (text, "gone") == 0)
    *state = MEMBERSHIP_GONE;
  else
    return false;
  return true;
}

static bool
get_role (const json_t *object, bool *router)
{
  const char *text = json_string_value (json_object_get (object, "role"));
  *router = g_strcmp0 (text, "router") == 0;
  return *router || g_strcmp0 (text, "sidecar") == 0;
}

static bool
get_host (const json_t *object, membership_list_entry_t *host)
{
  return get_name (object, "name", host->name) && get_role (object, &host->is_router) &&
         get_name (object, "data_center", host->data_center) &&
         get_name (object, "region", host->region) && get_address (object, "http", &host->http) &&
         get_address (object, "exchange", &host->exchange) && get_state (object, &host->state);
}

static json_t *
parse_json (const char *text, size_t text_bytes)
{
  return json_loadb (text, text_bytes, JSON_REJECT_DUPLICATES, NULL);
}

static bool
get_record (const json_t *object, position_t expected, platform_record_t *record)
{
  const json_t *data = json_object_get (object, "data");
  record->position.era = expected.era;
  if (!get_u64 (object, "offset", &record->position.offset) || !json_is_string (data))
    return false;
  record->data = json_string_value (data);
  record->data_bytes = json_string_length (data);
  return position_equal (record->position, expected);
}

static bool
get_records (platform_answer_read_t *out, uint64_t from, uint32_t max_records)
{
  const json_t *list = json_object_get (out->json, "records");
  position_t expected = { out->read.end.era, MAX (from, out->read.first.offset) };
  size_t count = json_array_size (list);
  if (!json_is_array (list) || count > MIN (max_records, PLATFORM_ANSWER_RECORDS_LIMIT))
    return false;
  out->records = g_new0 (platform_record_t, count + 1);
  for (size_t i = 0; i < count; i++, expected.offset++)
    if (!get_record (json_array_get (list, i), expected, &out->records[i]))
      return false;
  out->read.records = out->records;
  out->read.record_count = (uint32_t)count;
  return out->read.next.offset == expected.offset &&
         (count == 0 || expected.offset <= out->read.end.offset);
}

bool
platform_answer_parse_append (const char *text, size_t text_bytes, position_t *position)
{
  json_t *json = parse_json (text, text_bytes);
  bool valid = get_u64 (json, "offset", &position->offset) && get_era (json, &position->era);
  json_decref (json);
  return valid;
}

bool
platform_answer_parse_read (platform_answer_read_t *out,
                            const char *text,
                            size_t text_bytes,
                            uint64_t from,
                            uint32_t max_records)
{
  memset (out, 0, sizeof *out);
  /* A record may have a NUL, and must not hide the others. */
  out->json = json_loadb (text, text_bytes, JSON_REJECT_DUPLICATES | JSON_ALLOW_NUL, NULL);
  out->read.outcome = PLATFORM_OK;
  uint64_t era;
  bool valid = get_u64 (out->json, "first", &out->read.first.offset) &&
               get_u64 (out->json, "next", &out->read.next.offset) &&
               get_u64 (out->json, "end", &out->read.end.offset) && get_era (out->json, &era) &&
               out->read.first.offset <= out->read.end.offset;
  if (valid)
    out->read.first.era = out->read.next.era = out->read.end.era = era;
  valid = valid && get_records (out, from, max_records);
  if (!valid)
    platform_answer_read_clear (out);
  return valid;
}

void
platform_answer_read_clear (platform_answer_read_t *out)
{
  g_free (out->records);
  json_decref (out->json);
  memset (out, 0, sizeof *out);
}

bool
platform_answer_parse_hosts (platform_hosts_t *out, const char *text, size_t text_bytes)
{
  json_t *json = parse_json (text, text_bytes);
  const json_t *list = json_object_get (json, "hosts");
  const json_t *full = json_object_get (json, "full");
  size_t count = json_array_size (list);
  bool valid =
      json_is_array (list) && json_is_boolean (full) && count <= PLATFORM_ANSWER_HOSTS_LIMIT;
  memset (out, 0, sizeof *out);
  valid = valid && get_u64 (json, "revision", &out->revision);
  membership_list_entry_t *hosts = g_new0 (membership_list_entry_t, valid ? count + 1 : 1);
  for (size_t i = 0; valid && i < count; i++)
    valid = get_host (json_array_get (list, i), &hosts[i]);
  out->outcome = PLATFORM_OK;
  out->full = json_is_true (full);
  out->hosts = hosts;
  out->host_count = (uint32_t)count;
  json_decref (json);
  if (valid)
    return true;
  g_free (hosts);
  memset (out, 0, sizeof *out);
  return false;
}
