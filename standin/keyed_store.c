#include "keyed_store.h"

#include <string.h>

#define MAX_WAIT_MS (30 * 1000)
#define LENGTH_PREFIX_BYTES 4
#define ENGINES_TOPIC "keyed.servers"
#define EXPIRY_CHECK_MS 100
#define ERA_HEADER "Store-Era"

/** struct record - a record of a topic; @value is NULL if the record deletes the key */
typedef struct
{
  char *key;
  GBytes *value;
} record_t;

/**
 * struct latest - the latest record of a key
 * @offset: offset of the record
 * @value: its value
 * @renewed_us: when the value was last written, unchanged or not, on the monotonic clock
 */
typedef struct
{
  uint64_t offset;
  GBytes *value;
  uint64_t renewed_us;
} latest_t;

/**
 * struct topic - a topic with one partition
 * @records: the retained records, from offset @first_offset on
 * @latest: key -> latest_t, for each key that has a value
 * @copy_end: end of the topic at the last copy
 * @copy: @latest at the last copy
 */
typedef struct
{
  char *name;
  GPtrArray *records;
  uint64_t first_offset;
  GHashTable *latest;
  uint64_t copy_end;
  GHashTable *copy;
} topic_t;

struct keyed_store
{
  standin_platform_t *platform;
  GHashTable *topics;
  GQueue waiters; /* waiter_t */
  struct event *expiry_timer;
};

typedef struct
{
  keyed_store_t *store;
  http_call_t *call;
  topic_t *topic;
  uint64_t from;
  struct event *timer;
} waiter_t;

static void
record_free (gpointer data)
{
  record_t *record = data;

  g_free (record->key);
  if (record->value)
    g_bytes_unref (record->value);
  g_free (record);
}

static void
latest_free (gpointer data)
{
  latest_t *latest = data;

  g_bytes_unref (latest->value);
  g_free (latest);
}

static GHashTable *
new_latest (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, latest_free);
}

static topic_t *
get_or_create_topic (keyed_store_t *store, const char *name)
{
  topic_t *topic = g_hash_table_lookup (store->topics, name);

  if (topic)
    return topic;
  topic = g_new0 (topic_t, 1);
  topic->name = g_strdup (name);
  topic->records = g_ptr_array_new_with_free_func (record_free);
  topic->latest = new_latest ();
  topic->copy = new_latest ();
  g_hash_table_insert (store->topics, topic->name, topic);
  return topic;
}

static uint64_t
end_offset (const topic_t *topic)
{
  return topic->first_offset + topic->records->len;
}

static void
append_big_endian (GString *out, uint64_t number, int bytes)
{
  for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8)
    g_string_append_c (out, (char)(number >> shift));
}

static void
append_record (GString *out, const record_t *record)
{
  size_t key_bytes = strlen (record->key);
  gsize value_bytes = 0;
  const char *value = record->value ? g_bytes_get_data (record->value, &value_bytes) : NULL;

  append_big_endian (out, 1 + key_bytes + value_bytes, LENGTH_PREFIX_BYTES);
  g_string_append_c (out, (char)key_bytes);
  g_string_append_len (out, record->key, (gssize)key_bytes);
  if (value)
    g_string_append_len (out, value, (gssize)value_bytes);
}

/* All responses of the store state its era. */
static void
add_era (const keyed_store_t *store, http_call_t *call)
{
  g_autofree char *era = g_strdup_printf ("%" G_GUINT64_FORMAT, store->platform->era);

  http_call_add_header (call, ERA_HEADER, era);
}

/* Format of the users' store: end offset, first retained offset, then records up to the limit, but
 * at least one. */
static void
reply_records (const keyed_store_t *store, http_call_t *call, const topic_t *topic, uint64_t from)
{
  uint64_t limit_bytes = http_call_query_u64 (call, "max_kb", 1024) * 1024;
  GString *body = g_string_new (NULL);

  add_era (store, call);
  if (from < topic->first_offset || from > end_offset (topic))
    {
      http_call_reply_json (call, 410,
                            json_pack ("{s:I}", "first", (json_int_t)topic->first_offset));
      g_string_free (body, TRUE);
      return;
    }
  append_big_endian (body, end_offset (topic), 8);
  append_big_endian (body, topic->first_offset, 8);
  for (uint64_t offset = from;
       offset < end_offset (topic) && (offset == from || body->len < limit_bytes); offset++)
    append_record (body, g_ptr_array_index (topic->records, offset - topic->first_offset));
  http_call_reply_bytes (call, 200, body->str, body->len);
  g_string_free (body, TRUE);
}

static void
waiter_free (waiter_t *waiter)
{
  g_queue_remove (&waiter->store->waiters, waiter);
  event_free (waiter->timer);
  g_free (waiter);
}

static void
on_caller_disconnect (void *context)
{
  waiter_free (context);
}

static void
waiter_answer (waiter_t *waiter)
{
  const keyed_store_t *store = waiter->store;
  http_call_t *call = waiter->call;
  const topic_t *topic = waiter->topic;
  uint64_t from = waiter->from;

  waiter_free (waiter);
  reply_records (store, call, topic, from);
}

static void
on_wait_timeout (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  waiter_answer (context);
}

static void
wake_waiters (keyed_store_t *store, const topic_t *topic)
{
  GList *next;

  for (GList *link = store->waiters.head; link; link = next)
    {
      waiter_t *waiter = link->data;

      next = link->next;
      if (waiter->topic == topic && waiter->from < end_offset (topic))
        waiter_answer (waiter);
    }
}

static void
store_record (keyed_store_t *store, topic_t *topic, const char *key, GBytes *value)
{
  record_t *record = g_new0 (record_t, 1);

  record->key = g_strdup (key);
  record->value = value ? g_bytes_ref (value) : NULL;
  if (value)
    {
      latest_t *latest = g_new0 (latest_t, 1);

      latest->offset = end_offset (topic);
      latest->value = g_bytes_ref (value);
      latest->renewed_us = standin_platform_now_us ();
      g_hash_table_replace (topic->latest, g_strdup (key), latest);
    }
  else
    g_hash_table_remove (topic->latest, key);
  g_ptr_array_add (topic->records, record);
  store->platform->appends++;
  wake_waiters (store, topic);
}

static bool
renew_if_unchanged (topic_t *topic, const char *key, GBytes *value)
{
  latest_t *latest = g_hash_table_lookup (topic->latest, key);

  if (strcmp (topic->name, ENGINES_TOPIC) != 0 || !latest || !value ||
      !g_bytes_equal (latest->value, value))
    return false;
  latest->renewed_us = standin_platform_now_us ();
  return true;
}

/* Stores the record at the front of the body, or renews its entry. Return: false if there is no
 * complete record with a key */
static bool
consume_record (keyed_store_t *store,
                topic_t *topic,
                const uint8_t **cursor,
                size_t *remaining_bytes)
{
  const uint8_t *bytes = *cursor;
  size_t length;
  size_t key_bytes;
  g_autofree char *key = NULL;
  g_autoptr (GBytes) value = NULL;

  if (*remaining_bytes < LENGTH_PREFIX_BYTES + 1)
    return false;
  length = (size_t)bytes[0] << 24 | (size_t)bytes[1] << 16 | (size_t)bytes[2] << 8 | bytes[3];
  key_bytes = bytes[LENGTH_PREFIX_BYTES];
  if (length < 1 + key_bytes || length > *remaining_bytes - LENGTH_PREFIX_BYTES ||
      length > KEYED_STORE_MAX_RECORD_BYTES)
    return false;
  key = g_strndup ((const char *)bytes + LENGTH_PREFIX_BYTES + 1, key_bytes);
  if (length > 1 + key_bytes)
    value = g_bytes_new (bytes + LENGTH_PREFIX_BYTES + 1 + key_bytes, length - 1 - key_bytes);
  if (!renew_if_unchanged (topic, key, value))
    store_record (store, topic, key, value);
  *cursor += LENGTH_PREFIX_BYTES + length;
  *remaining_bytes -= LENGTH_PREFIX_BYTES + length;
  return true;
}

static void
handle_append (keyed_store_t *store, http_call_t *call, topic_t *topic)
{
  size_t remaining_bytes;
  const uint8_t *cursor = (const uint8_t *)http_call_body (call, &remaining_bytes);
  uint64_t offset = end_offset (topic);

  add_era (store, call);
  while (remaining_bytes > 0)
    if (!consume_record (store, topic, &cursor, &remaining_bytes))
      {
        standin_platform_answer_error (call, 400, "no whole record with a key");
        return;
      }
  http_call_reply_json (
      call, 200,
      json_pack ("{s:I,s:I}", "offset", (json_int_t)offset, "end", (json_int_t)end_offset (topic)));
}

static void
handle_read (keyed_store_t *store, http_call_t *call, topic_t *topic)
{
  uint64_t from = http_call_query_u64 (call, "from", 0);
  uint64_t wait_ms = MIN (http_call_query_u64 (call, "wait_ms", 0), MAX_WAIT_MS);
  struct timeval wait = { (time_t)(wait_ms / 1000), (suseconds_t)(wait_ms % 1000 * 1000) };
  waiter_t *waiter;

  if (wait_ms == 0 || from != end_offset (topic))
    {
      reply_records (store, call, topic, from);
      return;
    }
  waiter = g_new0 (waiter_t, 1);
  waiter->store = store;
  waiter->call = call;
  waiter->topic = topic;
  waiter->from = from;
  waiter->timer = evtimer_new (store->platform->base, on_wait_timeout, waiter);
  event_add (waiter->timer, &wait);
  g_queue_push_tail (&store->waiters, waiter);
  http_call_on_disconnect (call, on_caller_disconnect, waiter);
}

static int
compare_names (gconstpointer a, gconstpointer b)
{
  return strcmp (a, b);
}

static json_t *
item_json (const char *key, const latest_t *latest)
{
  gsize bytes;
  const guchar *data = g_bytes_get_data (latest->value, &bytes);
  g_autofree char *text = g_base64_encode (data, bytes);

  return json_pack ("{s:s,s:s,s:I}", "key", key, "value", text, "offset",
                    (json_int_t)latest->offset);
}

static void
handle_newest (keyed_store_t *store, http_call_t *call, topic_t *topic)
{
  const char *after = http_call_query (call, "after");
  GList *keys = g_list_sort (g_hash_table_get_keys (topic->latest), compare_names);
  json_t *items = json_array ();
  GList *item = keys;

  add_era (store, call);
  while (item && after && strcmp (item->data, after) <= 0)
    item = item->next;
  for (; item && json_array_size (items) < KEYED_STORE_PAGE_ITEMS; item = item->next)
    json_array_append_new (items,
                           item_json (item->data, g_hash_table_lookup (topic->latest, item->data)));
  http_call_reply_json (call, 200,
                        json_pack ("{s:o,s:b,s:I}", "items", items, "more", item != NULL, "end",
                                   (json_int_t)end_offset (topic)));
  g_list_free (keys);
}

/* Drops all records; the latest value of each key is kept separately and remains. */
static void
handle_forget (keyed_store_t *store, http_call_t *call, topic_t *topic)
{
  (void)store;
  topic->first_offset = end_offset (topic);
  g_ptr_array_set_size (topic->records, 0);
  http_call_reply_json (call, 200, json_object ());
}

/* Whether a key has a value: 200 or 404, also during an injected fault. */
static void
handle_key (keyed_store_t *store, http_call_t *call, topic_t *topic)
{
  const char *key = http_call_query (call, "key");

  (void)store;
  http_call_reply_json (call, key && g_hash_table_contains (topic->latest, key) ? 200 : 404,
                        json_object ());
}

static const struct
{
  const char *method;
  const char *path;
  void (*answer) (keyed_store_t *store, http_call_t *call, topic_t *topic);
} calls[] = { { "POST", "/log-append", handle_append },
              { "GET", "/log-read", handle_read },
              { "GET", "/log-newest", handle_newest },
              { "POST", "/admin/forget", handle_forget },
              { "POST", "/admin/key", handle_key } };

/* Return: whether the call was refused or aborted because of the state of the store */
static bool
refuse_when_down (keyed_store_t *store, http_call_t *call)
{
  standin_platform_t *platform = store->platform;

  platform->reads++;
  if (platform->log_state == STANDIN_PLATFORM_LOG_DOWN)
    http_call_abort (call);
  else if (platform->log_state == STANDIN_PLATFORM_LOG_REFUSE)
    {
      add_era (store, call);
      standin_platform_answer_error (call, 503, "the store is out");
    }
  else
    return false;
  return true;
}

bool
keyed_store_handle_call (keyed_store_t *store, http_call_t *call)
{
  const char *name = http_call_query (call, "topic");

  for (size_t i = 0; i < G_N_ELEMENTS (calls); i++)
    {
      if (!http_call_matches (call, calls[i].method, calls[i].path))
        continue;
      if (!name)
        standin_platform_answer_error (call, 400, "no topic");
      else if (g_str_has_prefix (calls[i].path, "/admin/") || !refuse_when_down (store, call))
        calls[i].answer (store, call, get_or_create_topic (store, name));
      return true;
    }
  return false;
}

void
keyed_store_abort_waiters (keyed_store_t *store)
{
  while (!g_queue_is_empty (&store->waiters))
    {
      waiter_t *waiter = g_queue_peek_head (&store->waiters);
      http_call_t *call = waiter->call;

      waiter_free (waiter);
      http_call_abort (call);
    }
}

static void
copy_latest (const GHashTable *from, GHashTable *to, uint64_t renewed_us)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_remove_all (to);
  g_hash_table_iter_init (&iter, (GHashTable *)from);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      latest_t *latest = g_memdup2 (value, sizeof *latest);

      g_bytes_ref (latest->value);
      latest->renewed_us = renewed_us;
      g_hash_table_replace (to, g_strdup (key), latest);
    }
}

void
keyed_store_copy (keyed_store_t *store)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, store->topics);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      topic_t *topic = value;

      topic->copy_end = end_offset (topic);
      copy_latest (topic->latest, topic->copy, 0);
    }
}

/* Of a topic whose history was dropped after the copy, no record is left. */
static void
restore_topic (topic_t *topic)
{
  topic->first_offset = MIN (topic->first_offset, topic->copy_end);
  if (end_offset (topic) > topic->copy_end)
    g_ptr_array_set_size (topic->records, (gint)(topic->copy_end - topic->first_offset));
  copy_latest (topic->copy, topic->latest, standin_platform_now_us ());
}

void
keyed_store_restore (keyed_store_t *store)
{
  GHashTableIter iter;
  gpointer value;

  keyed_store_abort_waiters (store);
  g_hash_table_iter_init (&iter, store->topics);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    restore_topic (value);
}

/* Entries also expire during an outage of the store, when they can't be renewed. */
static void
expire_entries (evutil_socket_t fd, short what, void *context)
{
  keyed_store_t *store = context;
  topic_t *topic = get_or_create_topic (store, ENGINES_TOPIC);
  g_autoptr (GList) keys = g_hash_table_get_keys (topic->latest);

  (void)fd;
  (void)what;
  for (GList *link = keys; link; link = link->next)
    {
      const latest_t *latest = g_hash_table_lookup (topic->latest, link->data);
      g_autofree char *key = g_strdup (link->data);

      if (latest &&
          standin_platform_now_us () - latest->renewed_us > store->platform->options.entry_ttl_us)
        store_record (store, topic, key, NULL);
    }
}

keyed_store_t *
keyed_store_new (standin_platform_t *platform)
{
  keyed_store_t *store = g_new0 (keyed_store_t, 1);
  struct timeval tick = { 0, EXPIRY_CHECK_MS * 1000 };

  store->platform = platform;
  store->topics = g_hash_table_new (g_str_hash, g_str_equal);
  g_queue_init (&store->waiters);
  store->expiry_timer = event_new (platform->base, -1, EV_PERSIST, expire_entries, store);
  event_add (store->expiry_timer, &tick);
  return store;
}
