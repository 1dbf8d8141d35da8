#include "odd_store.h"

#include "platform/records.h"
#include "platform/store.h"
#include "process/record_order.h"
#include "raw_peer.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <string.h>

#define PORT 18095
#define PACE_MS 1
#define ANSWER_BYTES_MAX (1024 * 1024)

/** struct record - @key is NULL when the content is no key and value */
typedef struct
{
  GBytes *content;
  GBytes *key;
  GBytes *value;
} record_t;

/** struct odd_store - @records: of record_t, by offset; @copied: number of them in the copy */
struct odd_store
{
  struct event_base *base;
  struct evhttp *http;
  address_t address;
  GPtrArray *records;
  uint32_t page_items;
  uint32_t copied;
  uint64_t era;
};

static const record_order_t order = { .parse_version = records_read_version,
                                      .parse_engine = records_read_engine };

static void
record_free (gpointer data)
{
  record_t *record = data;

  g_bytes_unref (record->content);
  g_clear_pointer (&record->key, g_bytes_unref);
  g_clear_pointer (&record->value, g_bytes_unref);
  g_free (record);
}

static uint64_t
query_number (const char *uri, const char *name)
{
  const char *found = strstr (uri, name);

  return found ? g_ascii_strtoull (found + strlen (name), NULL, 10) : 0;
}

static void
add_number (struct evbuffer *body, uint64_t number, int bytes)
{
  for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8)
    evbuffer_add (body, &(uint8_t){ (uint8_t)(number >> shift) }, 1);
}

static void
answer_read (const odd_store_t *store, struct evbuffer *body, const char *uri)
{
  add_number (body, store->records->len, 8);
  add_number (body, 0, 8);
  for (uint64_t i = query_number (uri, "from=");
       i < store->records->len && evbuffer_get_length (body) < ANSWER_BYTES_MAX; i++)
    {
      const record_t *record = g_ptr_array_index (store->records, i);
      gsize count;
      const char *bytes = g_bytes_get_data (record->content, &count);

      add_number (body, count, 4);
      evbuffer_add (body, bytes, count);
    }
}

/* Bytes that are not ASCII go as they are, valid UTF-8 or not. */
static void
add_string (struct evbuffer *body, GBytes *text)
{
  gsize count;
  const char *bytes = g_bytes_get_data (text, &count);

  evbuffer_add_printf (body, "\"");
  for (gsize i = 0; i < count; i++)
    if ((uint8_t)bytes[i] < ' ' || bytes[i] == '"' || bytes[i] == '\\')
      evbuffer_add_printf (body, "\\u%04x", (unsigned)(uint8_t)bytes[i]);
    else
      evbuffer_add (body, bytes + i, 1);
  evbuffer_add_printf (body, "\"");
}

static int
compare_keys (gconstpointer a, gconstpointer b)
{
  const record_t *left = *(record_t *const *)a;
  const record_t *right = *(record_t *const *)b;

  return g_bytes_compare (left->key, right->key);
}

/* Return: the newest record of each key that has a value, by key */
static GPtrArray *
list_newest (const odd_store_t *store)
{
  GPtrArray *newest = g_ptr_array_new ();
  g_autoptr (GHashTable) seen = g_hash_table_new (g_bytes_hash, g_bytes_equal);

  for (guint i = store->records->len; i > 0; i--)
    {
      record_t *record = g_ptr_array_index (store->records, i - 1);

      if (record->key && g_hash_table_add (seen, record->key) && record->value)
        g_ptr_array_add (newest, record);
    }
  g_ptr_array_sort (newest, compare_keys);
  return newest;
}

/* Return: the key that the page comes after; NULL for the first page */
static GBytes *
get_after (const char *uri)
{
  const char *after = strstr (uri, "after=");
  size_t bytes;
  char *decoded;

  if (!after)
    return NULL;
  decoded = evhttp_uridecode (after + strlen ("after="), 0, &bytes);
  return g_bytes_new_with_free_func (decoded, bytes, free, decoded);
}

static uint64_t
offset_of (const odd_store_t *store, const record_t *record)
{
  guint offset = 0;

  g_assert (g_ptr_array_find (store->records, record, &offset));
  return offset;
}

static void
add_item (const odd_store_t *store, struct evbuffer *body, const record_t *record)
{
  gsize bytes;
  const guchar *value = g_bytes_get_data (record->value, &bytes);
  g_autofree char *text = g_base64_encode (value, bytes);

  evbuffer_add_printf (body, "{\"key\":");
  add_string (body, record->key);
  evbuffer_add_printf (body, ",\"value\":\"%s\",\"offset\":%" G_GUINT64_FORMAT "}", text,
                       offset_of (store, record));
}

static void
answer_newest (const odd_store_t *store, struct evbuffer *body, const char *uri)
{
  g_autoptr (GPtrArray) newest = list_newest (store);
  GBytes *after = get_after (uri);
  uint32_t count = 0;
  guint i = 0;

  while (after && i < newest->len &&
         g_bytes_compare (((record_t *)g_ptr_array_index (newest, i))->key, after) <= 0)
    i++;
  g_clear_pointer (&after, g_bytes_unref);
  evbuffer_add_printf (body, "{\"items\":[");
  for (; i < newest->len && count < store->page_items &&
         evbuffer_get_length (body) < ANSWER_BYTES_MAX;
       i++, count++)
    {
      if (count > 0)
        evbuffer_add_printf (body, ",");
      add_item (store, body, g_ptr_array_index (newest, i));
    }
  evbuffer_add_printf (body, "],\"more\":%s,\"end\":%u}", i < newest->len ? "true" : "false",
                       store->records->len);
}

static void
on_request (struct evhttp_request *request, void *context)
{
  const odd_store_t *store = context;
  const char *uri = evhttp_request_get_uri (request);
  struct evbuffer *body = evbuffer_new ();
  g_autofree char *era = g_strdup_printf ("%" G_GUINT64_FORMAT, store->era);

  evhttp_add_header (evhttp_request_get_output_headers (request), "Store-Era", era);
  if (strstr (uri, "read"))
    answer_read (store, body, uri);
  else
    answer_newest (store, body, uri);
  evhttp_send_reply (request, 200, NULL, body);
  evbuffer_free (body);
}

odd_store_t *
odd_store_new (uint32_t page_items)
{
  odd_store_t *store = g_new0 (odd_store_t, 1);

  store->base = event_base_new ();
  store->http = evhttp_new (store->base);
  store->records = g_ptr_array_new_with_free_func (record_free);
  store->page_items = page_items;
  store->era = 1;
  store->address = raw_peer_loopback_address ();
  store->address.port = PORT;
  evhttp_set_gencb (store->http, on_request, store);
  g_assert (evhttp_bind_socket (store->http, store->address.ip, store->address.port) == 0);
  return store;
}

void
odd_store_free (odd_store_t *store)
{
  evhttp_free (store->http);
  event_base_free (store->base);
  g_ptr_array_unref (store->records);
  g_free (store);
}

struct event_base *
odd_store_base (const odd_store_t *store)
{
  return store->base;
}

void
odd_store_put (
    odd_store_t *store, const char *key, size_t key_bytes, const char *value, size_t value_bytes)
{
  record_t *record = g_new0 (record_t, 1);
  GByteArray *content = g_byte_array_new ();

  g_assert (key_bytes <= UINT8_MAX);
  g_byte_array_append (content, &(uint8_t){ (uint8_t)key_bytes }, 1);
  g_byte_array_append (content, (const guint8 *)key, (guint)key_bytes);
  if (value_bytes > 0)
    g_byte_array_append (content, (const guint8 *)value, (guint)value_bytes);
  record->content = g_byte_array_free_to_bytes (content);
  record->key = g_bytes_new (key, key_bytes);
  record->value = value_bytes > 0 ? g_bytes_new (value, value_bytes) : NULL;
  g_ptr_array_add (store->records, record);
}

void
odd_store_put_text (odd_store_t *store, const char *key, const char *value)
{
  odd_store_put (store, key, strlen (key), value, value ? strlen (value) : 0);
}

void
odd_store_put_raw (odd_store_t *store, const char *bytes, size_t count)
{
  record_t *record = g_new0 (record_t, 1);

  record->content = g_bytes_new (bytes, count);
  g_ptr_array_add (store->records, record);
}

void
odd_store_copy (odd_store_t *store)
{
  store->copied = store->records->len;
}

void
odd_store_restore (odd_store_t *store)
{
  store->era++;
  g_ptr_array_set_size (store->records, (gint)store->copied);
}

static void
ignore_state (stream_follower_state_t state, void *context)
{
  (void)state;
  (void)context;
}

odd_reader_t *
odd_reader_new (odd_store_t *store, const char *stream, keyed_view_visit_t changed, void *context)
{
  odd_reader_t *reader = g_new0 (odd_reader_t, 1);
  keyed_view_compare_t compare =
      strcmp (stream, PLATFORM_STREAM_ENGINES) == 0   ? record_order_compare_engines
      : strcmp (stream, PLATFORM_STREAM_ROUTING) == 0 ? record_order_compare_routing
                                                      : NULL;

  reader->store = store;
  reader->stream = stream;
  clock_init_running (&reader->clock);
  reader->counters = counter_registry_new ();
  reader->platform = store_new (store->base, &store->address);
  reader->view = keyed_view_new (changed, context, compare, (void *)&order);
  reader->follower =
      stream_follower_new (&(stream_follower_options_t){ .base = store->base,
                                                         .clock = &reader->clock,
                                                         .counters = reader->counters,
                                                         .platform = reader->platform,
                                                         .stream = stream,
                                                         .view = reader->view,
                                                         .pace_ms = PACE_MS,
                                                         .on_event = ignore_state });
  return reader;
}

void
odd_reader_free (odd_reader_t *reader)
{
  reader->platform->free (reader->platform);
  stream_follower_free (reader->follower);
  keyed_view_free (reader->view);
  counter_registry_free (reader->counters);
  g_free (reader);
}

static bool
has_all (void *context)
{
  const odd_reader_t *reader = context;

  return stream_follower_has_listed (reader->follower) &&
         position_equal (stream_follower_next (reader->follower),
                         (position_t){ reader->store->era, reader->store->records->len });
}

bool
odd_reader_run (odd_reader_t *reader)
{
  return raw_peer_run_until (reader->store->base, has_all, reader);
}

const char *
odd_reader_value (const odd_reader_t *reader, const char *key)
{
  position_t position;
  size_t bytes;
  const char *value = keyed_view_get (reader->view, key, &bytes, &position);

  return value ? value : "none";
}

uint64_t
odd_reader_failures (const odd_reader_t *reader)
{
  return counter_value (counter_get_labelled (reader->counters, "medlarplank_store_failures_total",
                                              "stream", reader->stream, ""));
}
