#include "request/policy/claims/claim_record.h"

#include "base/digits.h"

#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#define HEX_128_BYTES 33 /* 32 digits and the final NUL */
#define HEX_64_BYTES 17

static void
set_hex_128 (json_t *object, const char *name, const uint64_t value[2])
{
  char text[HEX_128_BYTES];
  g_snprintf (text, sizeof text, "%016" PRIx64 "%016" PRIx64, value[0], value[1]);
  json_object_set_new (object, name, json_string (text));
}

static json_t *
make_entry_json (const claim_entry_t *entry)
{
  static const char *const names[] = { "c", "r", "d" };
  json_t *object = json_object ();
  set_hex_128 (object, names[entry->kind], entry->claim_id);
  set_hex_128 (object, "k", entry->key.key_hash);
  if (entry->kind == CLAIM_ENTRY_CLAIM)
    {
      char body[HEX_64_BYTES];
      g_snprintf (body, sizeof body, "%016" PRIx64, entry->key.body_hash);
      json_object_set_new (object, "b", json_string (body));
      json_object_set_new (object, "t", json_integer ((json_int_t)entry->wall_ms));
      if (entry->granted)
        json_object_set_new (object, "g", json_true ());
    }
  if (entry->kind == CLAIM_ENTRY_DONE)
    json_object_set_new (object, "s", json_integer (entry->status));
  return object;
}

static bool
get_hex (const json_t *object, const char *name, uint64_t *out, uint32_t count)
{
  const char *text = json_string_value (json_object_get (object, name));
  if (text == NULL || strlen (text) != DIGITS_HEX_BYTES * count)
    return false;
  for (uint32_t i = 0; i < count; i++)
    if (!digits_parse_hex (text + DIGITS_HEX_BYTES * i, &out[i]))
      return false;
  return true;
}

static bool
get_integer (const json_t *object, const char *name, json_int_t max, json_int_t *out)
{
  const json_t *value = json_object_get (object, name);
  *out = json_integer_value (value);
  return json_is_integer (value) && *out >= 0 && *out <= max;
}

static bool
parse_entry (const json_t *object, claim_entry_t *entry)
{
  json_int_t integer = 0;
  memset (entry, 0, sizeof *entry);
  if (!get_hex (object, "k", entry->key.key_hash, 2))
    return false;
  if (get_hex (object, "c", entry->claim_id, 2))
    {
      entry->kind = CLAIM_ENTRY_CLAIM;
      bool complete = get_hex (object, "b", &entry->key.body_hash, 1) &&
                      get_integer (object, "t", (json_int_t)1000 * UINT32_MAX, &integer);
      entry->wall_ms = (uint64_t)integer;
      entry->granted = json_is_true (json_object_get (object, "g"));
      return complete;
    }
  if (get_hex (object, "r", entry->claim_id, 2))
    {
      entry->kind = CLAIM_ENTRY_RELEASE;
      return true;
    }
  entry->kind = CLAIM_ENTRY_DONE;
  bool complete =
      get_hex (object, "d", entry->claim_id, 2) && get_integer (object, "s", UINT16_MAX, &integer);
  entry->status = (uint32_t)integer;
  return complete;
}

char *
claim_record_format (const claim_entry_t *entries, uint32_t count)
{
  json_t *array = json_array ();
  for (uint32_t i = 0; i < count; i++)
    json_array_append_new (array, make_entry_json (&entries[i]));
  char *dumped = json_dumps (array, JSON_COMPACT);
  char *text = g_strdup (dumped);
  free (dumped);
  json_decref (array);
  return text;
}

GArray *
claim_record_parse (const char *data, size_t data_bytes, uint64_t *malformed)
{
  GArray *entries = g_array_new (FALSE, FALSE, sizeof (claim_entry_t));
  json_t *array = json_loadb (data, data_bytes, JSON_REJECT_DUPLICATES, NULL);
  if (!json_is_array (array))
    ++*malformed;
  size_t index;
  json_t *object;
  json_array_foreach (array, index, object)
    {
      claim_entry_t entry;
      if (parse_entry (object, &entry))
        g_array_append_val (entries, entry);
      else
        ++*malformed;
    }
  json_decref (array);
  return entries;
}
