#include "version/view_share.h"

#include <stdlib.h>
#include <string.h>

/* A record is [key, offset, value]; one of another era than the copy has a fourth element. */
#define RECORD_ERA_INDEX 3

char *
view_share_format_target (const view_share_stream_t *streams, uint32_t count)
{
  GString *target = g_string_new (VIEW_SHARE_PATH);

  for (uint32_t i = 0; i < count; i++)
    {
      char next[POSITION_TEXT_BYTES];

      position_format (streams[i].next, next);
      g_string_append_printf (target, "%c%s=%s", i == 0 ? '?' : '&', streams[i].name, next);
    }
  return g_string_free (target, FALSE);
}

/** struct record_list - records in JSON, of a stream whose next position is in @era */
typedef struct
{
  json_t *records;
  uint64_t era;
} record_list_t;

static void
add_record (
    const char *key, const char *value, size_t value_bytes, position_t position, void *context)
{
  const record_list_t *list = context;
  json_t *text = value ? json_stringn (value, value_bytes) : NULL;
  json_t *record;

  /* A value that is not UTF-8 can't be represented in JSON, and no reader can parse it: it is sent
   * as deleted. If it were omitted, the requester would keep using the previous valid value. */
  record = json_pack ("[s, I, o]", key, (json_int_t)position.offset, text ? text : json_null ());
  if (position.era != list->era)
    json_array_append_new (record, json_integer ((json_int_t)position.era));
  json_array_append_new (list->records, record);
}

/*
 * The view has no record of keys deleted before its last listing. A requester whose data is older
 * than that listing gets all records as a new listing, so that it deletes those keys too. That
 * includes records of eras before, which the stream may not have in this one.
 */
static json_t *
format_stream (const view_share_stream_t *stream, position_t from)
{
  bool full_listing = position_is_before (from, keyed_view_listed (stream->view));
  const position_t beginning = { 0 };
  position_t first = full_listing ? beginning : from;
  record_list_t list = { .era = stream->next.era };
  json_t *json;

  if (stream->max_value_bytes != 0 &&
      keyed_view_bytes_since (stream->view, first) > stream->max_value_bytes)
    return json_pack ("{s:b}", "large", 1);
  list.records = json_array ();
  keyed_view_visit_since (stream->view, first, add_record, &list);
  json = json_pack ("{s:b, s:I, s:o}", "whole", full_listing, "next",
                    (json_int_t)stream->next.offset, "records", list.records);
  if (stream->next.era != 0)
    json_object_set_new (json, "era", json_integer ((json_int_t)stream->next.era));
  return json;
}

char *
view_share_format (const view_share_stream_t *streams,
                   const position_t *from,
                   uint32_t count,
                   bool settled)
{
  json_t *json = json_pack ("{s:b}", "settled", settled);
  char *text;
  char *body;

  for (uint32_t i = 0; i < count; i++)
    if (position_is_before (from[i], streams[i].next))
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
  position_t position;
} record_t;

/* @era: of a record that states none. Return: false when the record is malformed */
static bool
parse_record (json_t *json, uint64_t era, record_t *record)
{
  const json_t *own_era = json_array_get (json, RECORD_ERA_INDEX);
  json_int_t offset;
  json_t *value;
  size_t key_bytes;

  if (json_unpack (json, "[s%, I, o]", &record->key, &key_bytes, &offset, &value) != 0 ||
      offset < 0 || strlen (record->key) != key_bytes)
    return false;
  if (!json_is_string (value) && !json_is_null (value))
    return false;
  if (own_era && (!json_is_integer (own_era) || json_integer_value (own_era) < 0))
    return false;
  record->position.era = own_era ? (uint64_t)json_integer_value (own_era) : era;
  record->position.offset = (uint64_t)offset;
  record->value = json_string_value (value);
  record->value_bytes = json_string_length (value);
  return record->position.era <= era;
}

/* Return: NULL when one of the records is malformed */
static GArray *
parse_records (const json_t *json, uint64_t era)
{
  GArray *records = g_array_new (FALSE, FALSE, sizeof (record_t));
  record_t record;

  for (size_t i = 0; i < json_array_size (json); i++)
    {
      if (!parse_record (json_array_get (json, i), era, &record))
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

      keyed_view_apply (view, record->position, record->key, record->value, record->value_bytes);
    }
}

view_share_copy_t
view_share_describe (const view_share_answer_t *answer, const char *stream)
{
  const json_t *json = json_object_get (answer->json, stream);
  json_int_t next = json_integer_value (json_object_get (json, "next"));
  json_int_t era = json_integer_value (json_object_get (json, "era"));

  if (!json_is_array (json_object_get (json, "records")) || next < 0 || era < 0)
    return (view_share_copy_t){ 0 };
  return (view_share_copy_t){ .next = { (uint64_t)era, (uint64_t)next },
                              .whole = json_is_true (json_object_get (json, "whole")) };
}

/* Whether the copy has newer records than the view, and follows on it. */
static bool
is_usable (const view_share_copy_t *copy, position_t next)
{
  return position_is_before (next, copy->next) && (copy->whole || copy->next.era == next.era);
}

position_t
view_share_apply (const view_share_answer_t *answer, const view_share_stream_t *stream)
{
  view_share_copy_t copy = view_share_describe (answer, stream->name);
  g_autoptr (GArray) records = NULL;

  if (!is_usable (&copy, stream->next))
    return (position_t){ 0 };
  records = parse_records (
      json_object_get (json_object_get (answer->json, stream->name), "records"), copy.next.era);
  if (!records)
    return (position_t){ 0 };
  if (copy.whole)
    keyed_view_list_begin (stream->view);
  apply_records (stream->view, records);
  if (copy.whole)
    keyed_view_list_end (stream->view, copy.next);
  return copy.next;
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
