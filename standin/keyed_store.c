#include "keyed_store.h"

#include <string.h>

#define LIMIT_WAIT_MS (30 * 1000)
#define LENGTH_BYTES 4
#define TOPIC_ENGINES "keyed.servers"
#define LAPSE_TICK_MS 100

/** struct record - the value is NULL when it drops its key */
typedef struct
{
  char *key;
  GBytes *value;
} record_t;

/** struct newest - of a key; @renewed_us is when its writer was heard last */
typedef struct
{
  uint64_t offset;
  GBytes *value;
  uint64_t renewed_us;
} newest_t;

/**
 * struct topic - @records from offset @first on
 * @newest: key -> newest_t of keys that have a value
 */
typedef struct
{
  char *name;
  GPtrArray *records;
  uint64_t first;
  GHashTable *newest;
} topic_t;

struct kst
{
  spl_t *platform;
  GHashTable *topics;
  GQueue waiters; /* waiter_t */
  struct event *lapse;
};

typedef struct
{
  kst_t *kst;
  sht_call_t *call;
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
newest_free (gpointer data)
{
  newest_t *newest = data;

  g_bytes_unref (newest->value);
  g_free (newest);
}

static topic_t *
topic_of (kst_t *kst, const char *name)
{
  topic_t *topic = g_hash_table_lookup (kst->topics, name);

  if (topic)
    return topic;
  topic = g_new0 (topic_t, 1);
  topic->name = g_strdup (name);
  topic->records = g_ptr_array_new_with_free_func (record_free);
  topic->newest = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, newest_free);
  g_hash_table_insert (kst->topics, topic->name, topic);
  return topic;
}

static uint64_t
end_of (const topic_t *topic)
{
  return topic->first + topic->records->len;
}

static void
add_number (GString *out, uint64_t number, int bytes)
{
  for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8)
    g_string_append_c (out, (char)(number >> shift));
}

static void
add_record (GString *out, const record_t *record)
{
  size_t key_bytes = strlen (record->key);
  gsize value_bytes = 0;
  const char *value = record->value ? g_bytes_get_data (record->value, &value_bytes) : NULL;

  add_number (out, 1 + key_bytes + value_bytes, LENGTH_BYTES);
  g_string_append_c (out, (char)key_bytes);
  g_string_append_len (out, record->key, (gssize)key_bytes);
  if (value)
    g_string_append_len (out, value, (gssize)value_bytes);
}

/* As the users' store: the end, the first offset kept, then records up to the limit, at least one.
 */
static void
answer_read (sht_call_t *call, const topic_t *topic, uint64_t from)
{
  uint64_t limit = sht_query_u64 (call, "max_kb", 1024) * 1024;
  GString *body = g_string_new (NULL);

  if (from < topic->first)
    {
      sht_reply (call, 410, json_pack ("{s:I}", "first", (json_int_t)topic->first));
      g_string_free (body, TRUE);
      return;
    }
  add_number (body, end_of (topic), 8);
  add_number (body, topic->first, 8);
  for (uint64_t at = from; at < end_of (topic) && (at == from || body->len < limit); at++)
    add_record (body, g_ptr_array_index (topic->records, at - topic->first));
  sht_reply_bytes (call, 200, body->str, body->len);
  g_string_free (body, TRUE);
}

static void
waiter_free (waiter_t *waiter)
{
  g_queue_remove (&waiter->kst->waiters, waiter);
  event_free (waiter->timer);
  g_free (waiter);
}

static void
waiter_gone (void *context)
{
  waiter_free (context);
}

static void
waiter_answer (waiter_t *waiter)
{
  sht_call_t *call = waiter->call;
  const topic_t *topic = waiter->topic;
  uint64_t from = waiter->from;

  waiter_free (waiter);
  answer_read (call, topic, from);
}

static void
waiter_due (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  waiter_answer (context);
}

static void
wake (kst_t *kst, const topic_t *topic)
{
  GList *next;

  for (GList *link = kst->waiters.head; link; link = next)
    {
      waiter_t *waiter = link->data;

      next = link->next;
      if (waiter->topic == topic && waiter->from < end_of (topic))
        waiter_answer (waiter);
    }
}

static void
append (kst_t *kst, topic_t *topic, const char *key, GBytes *value)
{
  record_t *record = g_new0 (record_t, 1);

  record->key = g_strdup (key);
  record->value = value ? g_bytes_ref (value) : NULL;
  if (value)
    {
      newest_t *newest = g_new0 (newest_t, 1);

      newest->offset = end_of (topic);
      newest->value = g_bytes_ref (value);
      newest->renewed_us = spl_now_us ();
      g_hash_table_replace (topic->newest, g_strdup (key), newest);
    }
  else
    g_hash_table_remove (topic->newest, key);
  g_ptr_array_add (topic->records, record);
  kst->platform->appends++;
  wake (kst, topic);
}

static bool
renews (topic_t *topic, const char *key, GBytes *value)
{
  newest_t *newest = g_hash_table_lookup (topic->newest, key);

  if (strcmp (topic->name, TOPIC_ENGINES) != 0 || !newest || !value ||
      !g_bytes_equal (newest->value, value))
    return false;
  newest->renewed_us = spl_now_us ();
  return true;
}

/* Return: false when the body is no whole record with a key */
static bool
take_record (kst_t *kst, topic_t *topic, const uint8_t **at, size_t *left)
{
  const uint8_t *bytes = *at;
  size_t length;
  size_t key_bytes;
  g_autofree char *key = NULL;
  g_autoptr (GBytes) value = NULL;

  if (*left < LENGTH_BYTES + 1)
    return false;
  length = (size_t)bytes[0] << 24 | (size_t)bytes[1] << 16 | (size_t)bytes[2] << 8 | bytes[3];
  key_bytes = bytes[LENGTH_BYTES];
  if (length < 1 + key_bytes || length > *left - LENGTH_BYTES || length > KST_LIMIT_RECORD_BYTES)
    return false;
  key = g_strndup ((const char *)bytes + LENGTH_BYTES + 1, key_bytes);
  if (length > 1 + key_bytes)
    value = g_bytes_new (bytes + LENGTH_BYTES + 1 + key_bytes, length - 1 - key_bytes);
  if (!renews (topic, key, value))
    append (kst, topic, key, value);
  *at += LENGTH_BYTES + length;
  *left -= LENGTH_BYTES + length;
  return true;
}

static void
call_append (kst_t *kst, sht_call_t *call, topic_t *topic)
{
  size_t left;
  const uint8_t *at = (const uint8_t *)sht_body (call, &left);
  uint64_t offset = end_of (topic);

  while (left > 0)
    if (!take_record (kst, topic, &at, &left))
      {
        spl_answer_error (call, 400, "no whole record with a key");
        return;
      }
  sht_reply (
      call, 200,
      json_pack ("{s:I,s:I}", "offset", (json_int_t)offset, "end", (json_int_t)end_of (topic)));
}

static void
call_read (kst_t *kst, sht_call_t *call, topic_t *topic)
{
  uint64_t from = sht_query_u64 (call, "from", 0);
  uint64_t wait_ms = MIN (sht_query_u64 (call, "wait_ms", 0), LIMIT_WAIT_MS);
  struct timeval wait = { (time_t)(wait_ms / 1000), (suseconds_t)(wait_ms % 1000 * 1000) };
  waiter_t *waiter;

  if (wait_ms == 0 || from < end_of (topic))
    {
      answer_read (call, topic, from);
      return;
    }
  waiter = g_new0 (waiter_t, 1);
  waiter->kst = kst;
  waiter->call = call;
  waiter->topic = topic;
  waiter->from = from;
  waiter->timer = evtimer_new (kst->platform->base, waiter_due, waiter);
  event_add (waiter->timer, &wait);
  g_queue_push_tail (&kst->waiters, waiter);
  sht_on_gone (call, waiter_gone, waiter);
}

static int
by_name (gconstpointer a, gconstpointer b)
{
  return strcmp (a, b);
}

static json_t *
item_of (const char *key, const newest_t *newest)
{
  gsize bytes;
  const guchar *data = g_bytes_get_data (newest->value, &bytes);
  g_autofree char *text = g_base64_encode (data, bytes);

  return json_pack ("{s:s,s:s,s:I}", "key", key, "value", text, "offset",
                    (json_int_t)newest->offset);
}

static void
call_newest (kst_t *kst, sht_call_t *call, topic_t *topic)
{
  const char *after = sht_query (call, "after");
  GList *keys = g_list_sort (g_hash_table_get_keys (topic->newest), by_name);
  json_t *items = json_array ();
  GList *at = keys;

  (void)kst;
  while (at && after && strcmp (at->data, after) <= 0)
    at = at->next;
  for (; at && json_array_size (items) < KST_LIMIT_PAGE; at = at->next)
    json_array_append_new (items,
                           item_of (at->data, g_hash_table_lookup (topic->newest, at->data)));
  sht_reply (call, 200,
             json_pack ("{s:o,s:b,s:I}", "items", items, "more", at != NULL, "end",
                        (json_int_t)end_of (topic)));
  g_list_free (keys);
}

/* The history goes; the newest record of each key stays, as it is kept apart. */
static void
call_forget (kst_t *kst, sht_call_t *call, topic_t *topic)
{
  (void)kst;
  topic->first = end_of (topic);
  g_ptr_array_set_size (topic->records, 0);
  sht_reply (call, 200, json_object ());
}

static const struct
{
  const char *method;
  const char *path;
  void (*answer) (kst_t *kst, sht_call_t *call, topic_t *topic);
} calls[] = { { "POST", "/log-append", call_append },
              { "GET", "/log-read", call_read },
              { "GET", "/log-newest", call_newest },
              { "POST", "/admin/forget", call_forget } };

/* Return: whether the call was refused or cut, as the store's state says */
static bool
is_out (kst_t *kst, sht_call_t *call)
{
  spl_t *platform = kst->platform;

  platform->reads++;
  if (platform->log_state == SPL_DOWN)
    sht_cut (call);
  else if (platform->log_state == SPL_REFUSE)
    spl_answer_error (call, 503, "the store is out");
  else
    return false;
  return true;
}

bool
kst_call (kst_t *kst, sht_call_t *call)
{
  const char *name = sht_query (call, "topic");

  for (size_t i = 0; i < G_N_ELEMENTS (calls); i++)
    {
      if (!sht_is (call, calls[i].method, calls[i].path))
        continue;
      if (!name)
        spl_answer_error (call, 400, "no topic");
      else if (g_str_has_prefix (calls[i].path, "/admin/") || !is_out (kst, call))
        calls[i].answer (kst, call, topic_of (kst, name));
      return true;
    }
  return false;
}

void
kst_cut_waiters (kst_t *kst)
{
  while (!g_queue_is_empty (&kst->waiters))
    {
      waiter_t *waiter = g_queue_peek_head (&kst->waiters);
      sht_call_t *call = waiter->call;

      waiter_free (waiter);
      sht_cut (call);
    }
}

/* While the store is out nobody can renew, and entries lapse all the same. */
static void
on_lapse (evutil_socket_t fd, short what, void *context)
{
  kst_t *kst = context;
  topic_t *topic = topic_of (kst, TOPIC_ENGINES);
  g_autoptr (GList) keys = g_hash_table_get_keys (topic->newest);

  (void)fd;
  (void)what;
  for (GList *link = keys; link; link = link->next)
    {
      const newest_t *newest = g_hash_table_lookup (topic->newest, link->data);
      g_autofree char *key = g_strdup (link->data);

      if (newest && spl_now_us () - newest->renewed_us > (uint64_t)KST_LAPSE_MS * 1000)
        append (kst, topic, key, NULL);
    }
}

kst_t *
kst_new (spl_t *platform)
{
  kst_t *kst = g_new0 (kst_t, 1);
  struct timeval tick = { 0, LAPSE_TICK_MS * 1000 };

  kst->platform = platform;
  kst->topics = g_hash_table_new (g_str_hash, g_str_equal);
  g_queue_init (&kst->waiters);
  kst->lapse = event_new (platform->base, -1, EV_PERSIST, on_lapse, kst);
  event_add (kst->lapse, &tick);
  return kst;
}
