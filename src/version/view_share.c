#include "version/view_share.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

char *
view_share_format_target (const view_share_stream_t *streams, uint32_t count)
{
  GString *target = g_string_new (VIEW_SHARE_PATH);

  for (uint32_t i = 0; i < count; i++)
    g_string_append_printf (target, "%c%s=%" PRIu64, i == 0 ? '?' : '&', streams[i].name,
                            streams[i].next_offset);
  return g_string_free (target, FALSE);
}

static void
add_record (const char *key, const char *value, size_t value_bytes, uint64_t offset, void *context)
{
  json_t *records = context;
  json_t *text = value ? json_stringn (value, value_bytes) : NULL;

  /* A value that is not UTF-8 can't be represented in JSON, and no reader can parse it: it is sent
   * as deleted. If it were omitted, the requester would keep using the previous valid value. */
  json_array_append_new (
      records, json_pack ("[s, I, o]", key, (json_int_t)offset, text ? text : json_null ()));
}

/*
 * The view has no record of keys deleted before its last listing. A requester whose data is older
 * than that listing gets all records as a new listing, so that it deletes those keys too.
 */
static json_t *
format_stream (const view_share_stream_t *stream, uint64_t from)
{
  bool full_listing = from < keyed_view_listed_offset (stream->view);
  json_t *records;

  if (stream->max_value_bytes != 0 &&
      keyed_view_bytes_since (stream->view, full_listing ? 0 : from) > stream->max_value_bytes)
    return json_pack ("{s:b}", "large", 1);
  records = json_array ();
  keyed_view_visit_since (stream->view, full_listing ? 0 : from, add_record, records);
  return json_pack ("{s:b, s:I, s:o}", "whole", full_listing, "next",
                    (json_int_t)stream->next_offset, "records", records);
}

char *
view_share_format (const view_share_stream_t *streams,
                   const uint64_t *from,
                   uint32_t count,
                   bool settled)
{
  json_t *json = json_pack ("{s:b}", "settled", settled);
  char *text;
  char *body;

  for (uint32_t i = 0; i < count; i++)
    if (streams[i].next_offset > from[i])
      json_object_set_new (json, streams[i].name, format_stream (&streams[i], from[i]));
  text = json_dumps (json, JSON_COMPACT);
  body = g_strdup (text);
  free (text);
  json_decref (json);
  return body;
}

bool
view_share_parse (view_share_answer_t *answer, const char *body, size_t body_bytes)
{
  const json_t *settled;

  answer->json = json_loadb (body, body_bytes, JSON_REJECT_DUPLICATES | JSON_ALLOW_NUL, NULL);
  settled = json_object_get (answer->json, "settled");
  answer->deletions_confirmed = json_is_true (settled);
  return json_is_boolean (settled);
}

/**
 * struct record - a record of a peer's answer
 * @value: NULL when the key was deleted
 */
typedef struct
{
  const char *key;
  const char *value;
  size_t value_bytes;
  uint64_t offset;
} record_t;

/* Return: false when the record is malformed */
static bool
parse_record (json_t *json, record_t *record)
{
  json_int_t offset;
  json_t *value;
  size_t key_bytes;

  if (json_unpack (json, "[s%, I, o]", &record->key, &key_bytes, &offset, &value) != 0 ||
      offset < 0 || strlen (record->key) != key_bytes)
    return false;
  if (!json_is_string (value) && !json_is_null (value))
    return false;
  record->offset = (uint64_t)offset;
  record->value = json_string_value (value);
  record->value_bytes = json_string_length (value);
  return true;
}

/* Return: NULL when one of the records is malformed */
static GArray *
parse_records (const json_t *json)
{
  GArray *records = g_array_new (FALSE, FALSE, sizeof (record_t));
  record_t record;

  for (size_t i = 0; i < json_array_size (json); i++)
    {
      if (!parse_record (json_array_get (json, i), &record))
        {
          g_array_free (records, TRUE);
          return NULL;
        }
      g_array_append_val (records, record);
    }
  return records;
}

static void
apply_records (keyed_view_t *view, const GArray *records)
{
  for (guint i = 0; i < records->len; i++)
    {
      const record_t *record = &g_array_index (records, record_t, i);

      keyed_view_apply (view, record->offset, record->key, record->value, record->value_bytes);
    }
}

view_share_copy_t
view_share_describe (const view_share_answer_t *answer, const char *stream)
{
  const json_t *json = json_object_get (answer->json, stream);
  json_int_t next = json_integer_value (json_object_get (json, "next"));

  if (!json_is_array (json_object_get (json, "records")) || next <= 0)
    return (view_share_copy_t){ 0 };
  return (view_share_copy_t){ .next_offset = (uint64_t)next,
                              .whole = json_is_true (json_object_get (json, "whole")) };
}

uint64_t
view_share_apply (const view_share_answer_t *answer, const view_share_stream_t *stream)
{
  view_share_copy_t copy = view_share_describe (answer, stream->name);
  g_autoptr (GArray) records = NULL;

  if (copy.next_offset <= stream->next_offset)
    return 0;
  records =
      parse_records (json_object_get (json_object_get (answer->json, stream->name), "records"));
  if (!records)
    return 0;
  if (copy.whole)
    keyed_view_list_begin (stream->view);
  apply_records (stream->view, records);
  if (copy.whole)
    keyed_view_list_end (stream->view, copy.next_offset);
  return copy.next_offset;
}

bool
view_share_is_large (const view_share_answer_t *answer, const char *stream)
{
  return json_is_true (json_object_get (json_object_get (answer->json, stream), "large"));
}

void
view_share_clear (view_share_answer_t *answer)
{
  json_decref (answer->json);
}
