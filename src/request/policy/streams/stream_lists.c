#include "request/policy/streams/stream_lists.h"

#include "base/digits.h"

#include <jansson.h>
#include <string.h>

#define HEX_BYTES (DIGITS_HEX_BYTES + 1)

/** struct stream_lists - @records: name of a gateway -> array of stream_list_t */
struct stream_lists
{
  GHashTable *records;
};

stream_list_t *
stream_list_new (const char *service, uint64_t epoch, uint64_t floor)
{
  stream_list_t *list = g_new0 (stream_list_t, 1);

  list->service = g_strdup (service);
  list->epoch = epoch;
  list->floor = floor;
  list->streams = g_array_new (FALSE, FALSE, sizeof (listed_stream_t));
  return list;
}

/** struct listing - a list that is being made */
typedef struct
{
  const stream_list_source_t *source;
  stream_list_t *list;
} listing_t;

/* Of what other gateways told, only the version shows the service. */
static bool
is_of_service (const stream_list_source_t *source, const stream_origin_t *origin)
{
  return origin->service ? origin->service == source->service
                         : version_history_has (source->history, origin->version);
}

static void
add_stream (const stream_origin_t *origin, void *context)
{
  listing_t *listing = context;
  listed_stream_t listed = { .stream = origin->stream, .version = origin->version };

  if (is_of_service (listing->source, origin) &&
      version_history_find (listing->source->history, 0, origin->stream) != origin->version)
    g_array_append_val (listing->list->streams, listed);
}

/* Keeps what the process before has listed as long as such streams may be open. */
static void
add_last (stream_list_t *list, const stream_list_t *last)
{
  g_autoptr (GHashTable) present = g_hash_table_new (g_int64_hash, g_int64_equal);
  guint own = list->streams->len;

  list->floor = last ? last->floor : 0;
  if (!last)
    return;
  g_array_append_vals (list->streams, last->streams->data, last->streams->len);
  for (guint i = 0; i < own; i++)
    g_hash_table_add (present, &g_array_index (list->streams, listed_stream_t, i).stream);
  for (guint i = list->streams->len; i > own; i--)
    if (g_hash_table_contains (present,
                               &g_array_index (list->streams, listed_stream_t, i - 1).stream))
      g_array_remove_index_fast (list->streams, i - 1);
}

stream_list_t *
stream_list_make (const stream_list_source_t *source, uint64_t now_us)
{
  stream_list_t *list;

  if (!source->knows_all_streams && !source->is_last_read)
    return NULL;
  list = stream_list_new (source->service, source->epoch, source->epoch);
  stream_origins_visit_open (source->origins, now_us, add_stream,
                             &(listing_t){ .source = source, .list = list });
  if (!source->knows_all_streams)
    add_last (list, source->last);
  if (list->streams->len > STREAM_LIST_MAX || stream_origins_has_dropped (source->origins, now_us))
    list->floor = 0;
  g_array_set_size (list->streams, MIN (list->streams->len, STREAM_LIST_MAX));
  return list;
}

void
stream_list_free (stream_list_t *list)
{
  g_free (list->service);
  g_array_free (list->streams, TRUE);
  g_free (list);
}

/* Return: the ids of the streams of one version, one after the other */
static char *
join_streams (const GArray *streams, uint64_t version)
{
  g_autofree char *text = g_malloc (streams->len * DIGITS_HEX_BYTES + 1);
  char *end = text;

  for (guint i = 0; i < streams->len; i++)
    {
      const listed_stream_t *listed = &g_array_index (streams, listed_stream_t, i);

      if (listed->version == version)
        end = digits_write_hex (end, listed->stream);
    }
  *end = '\0';
  return g_strdup (text);
}

static json_t *
make_streams_json (const GArray *streams)
{
  json_t *json = json_object ();

  for (guint i = 0; i < streams->len; i++)
    {
      uint64_t version = g_array_index (streams, listed_stream_t, i).version;
      char key[HEX_BYTES];

      *digits_write_hex (key, version) = '\0';
      if (!json_object_get (json, key))
        {
          g_autofree char *text = join_streams (streams, version);

          json_object_set_new (json, key, json_string (text));
        }
    }
  return json;
}

char *
stream_list_record_format (const GPtrArray *lists)
{
  json_t *root = json_object ();
  char *text;

  for (guint i = 0; i < lists->len; i++)
    {
      const stream_list_t *list = g_ptr_array_index (lists, i);

      json_object_set_new (root, list->service,
                           json_pack ("{s:I, s:I, s:o}", "epoch", (json_int_t)list->epoch, "floor",
                                      (json_int_t)list->floor, "streams",
                                      make_streams_json (list->streams)));
    }
  text = json_dumps (root, JSON_COMPACT | JSON_SORT_KEYS);
  json_decref (root);
  return text;
}

static bool
parse_streams (const char *key, const json_t *value, GArray *out)
{
  const char *text = json_string_value (value);
  listed_stream_t listed;

  if (strlen (key) != DIGITS_HEX_BYTES || !digits_parse_hex (key, &listed.version) || !text ||
      strlen (text) % DIGITS_HEX_BYTES != 0)
    return false;
  if (out->len + strlen (text) / DIGITS_HEX_BYTES > STREAM_LIST_MAX)
    return false;
  for (; *text != '\0'; text += DIGITS_HEX_BYTES)
    {
      if (!digits_parse_hex (text, &listed.stream))
        return false;
      g_array_append_val (out, listed);
    }
  return true;
}

static bool
parse_list (const char *service, json_t *json, GPtrArray *out)
{
  json_int_t epoch = json_integer_value (json_object_get (json, "epoch"));
  const json_t *floor = json_object_get (json, "floor");
  json_t *streams = json_object_get (json, "streams");
  stream_list_t *list;
  const char *key;
  json_t *value;

  if (epoch <= 0 || !json_is_integer (floor) || json_integer_value (floor) < 0 ||
      !json_is_object (streams))
    return false;
  list = stream_list_new (service, (uint64_t)epoch, (uint64_t)json_integer_value (floor));
  g_ptr_array_add (out, list);
  json_object_foreach (streams, key, value)
    if (!parse_streams (key, value, list->streams))
      return false;
  return true;
}

GPtrArray *
stream_list_record_parse (const char *text, size_t bytes)
{
  GPtrArray *lists = g_ptr_array_new_with_free_func ((GDestroyNotify)stream_list_free);
  json_t *root = json_loadb (text, bytes, JSON_REJECT_DUPLICATES, NULL);
  bool valid = json_is_object (root);
  const char *service;
  json_t *value;

  json_object_foreach (root, service, value)
    valid = valid && parse_list (service, value, lists);
  json_decref (root);
  if (valid)
    return lists;
  g_ptr_array_unref (lists);
  return NULL;
}

stream_lists_t *
stream_lists_new (void)
{
  stream_lists_t *lists = g_new0 (stream_lists_t, 1);

  lists->records =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
  return lists;
}

void
stream_lists_free (stream_lists_t *lists)
{
  g_hash_table_destroy (lists->records);
  g_free (lists);
}

bool
stream_lists_put (stream_lists_t *lists, const char *gateway, const char *text, size_t bytes)
{
  GPtrArray *record = text ? stream_list_record_parse (text, bytes) : NULL;

  if (record)
    g_hash_table_replace (lists->records, g_strdup (gateway), record);
  else
    g_hash_table_remove (lists->records, gateway);
  return record || !text;
}

static const stream_list_t *
find_list (const GPtrArray *record, const char *service)
{
  for (guint i = 0; record && i < record->len; i++)
    {
      const stream_list_t *list = g_ptr_array_index (record, i);

      if (strcmp (list->service, service) == 0)
        return list;
    }
  return NULL;
}

const stream_list_t *
stream_lists_get (const stream_lists_t *lists, const char *gateway, const char *service)
{
  return find_list (g_hash_table_lookup (lists->records, gateway), service);
}

static uint64_t
find_in_list (const stream_list_t *list, uint64_t stream)
{
  for (guint i = 0; list && i < list->streams->len; i++)
    {
      const listed_stream_t *listed = &g_array_index (list->streams, listed_stream_t, i);

      if (listed->stream == stream)
        return listed->version;
    }
  return 0;
}

uint64_t
stream_lists_find (const stream_lists_t *lists, const char *service, uint64_t stream)
{
  GHashTableIter iter;
  gpointer record;
  uint64_t version = 0;

  g_hash_table_iter_init (&iter, lists->records);
  while (version == 0 && g_hash_table_iter_next (&iter, NULL, &record))
    version = find_in_list (find_list (record, service), stream);
  return version;
}

uint32_t
stream_lists_count (const stream_lists_t *lists, const char *service)
{
  GHashTableIter iter;
  gpointer record;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, lists->records);
  while (g_hash_table_iter_next (&iter, NULL, &record))
    count += find_list (record, service) ? 1 : 0;
  return count;
}

uint64_t
stream_lists_floor (const stream_lists_t *lists, const char *service, const GPtrArray *gateways)
{
  uint64_t floor = UINT64_MAX;

  for (guint i = 0; i < gateways->len; i++)
    {
      const stream_list_t *list =
          stream_lists_get (lists, g_ptr_array_index (gateways, i), service);

      floor = MIN (floor, list ? list->floor : 0);
    }
  return floor == UINT64_MAX ? 0 : floor;
}
