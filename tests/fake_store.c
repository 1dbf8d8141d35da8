#include "fake_store.h"

#include <string.h>

typedef struct
{
  char *key;
  char *value;
} record_t;

struct fake_store
{
  struct event_base *base;
  GHashTable *streams; /* stream name -> GPtrArray of record_t, indexed by offset */
  GHashTable *copy;    /* stream name -> number of records in the last copy */
  GPtrArray *clients;
  uint64_t era;
};

typedef enum
{
  CALL_READ,
  CALL_NEWEST,
  CALL_PUT
} call_kind_t;

typedef struct
{
  fake_store_client_t *client;
  call_kind_t kind;
  char *stream;
  char *key;
  char *value;
  uint64_t from;
  uint32_t max;
  struct event *event;
  platform_read_done_t read;
  platform_newest_done_t newest;
  platform_append_done_t put;
  void *context;
} call_t;

static void
record_free (gpointer data)
{
  record_t *record = data;

  g_free (record->key);
  g_free (record->value);
  g_free (record);
}

static GPtrArray *
get_stream (const fake_store_t *store, const char *name)
{
  GPtrArray *stream = g_hash_table_lookup (store->streams, name);

  if (!stream)
    {
      stream = g_ptr_array_new_with_free_func (record_free);
      g_hash_table_insert (store->streams, g_strdup (name), stream);
    }
  return stream;
}

static void
call_free (call_t *call)
{
  g_queue_remove (&call->client->pending, call);
  event_free (call->event);
  g_free (call->stream);
  g_free (call->key);
  g_free (call->value);
  g_free (call);
}

static platform_record_t
to_record (const record_t *record, position_t position)
{
  return (platform_record_t){ .position = position,
                              .key = record->key,
                              .data = record->value,
                              .data_bytes = record->value ? strlen (record->value) : 0 };
}

static void
answer_read (call_t *call)
{
  const GPtrArray *stream = get_stream (call->client->store, call->stream);
  g_autoptr (GArray) records = g_array_new (FALSE, TRUE, sizeof (platform_record_t));
  uint64_t era = call->client->store->era;
  platform_read_t read = { .outcome = PLATFORM_OK,
                           .first.era = era,
                           .next = { era, call->from },
                           .end = { era, stream->len } };

  for (uint64_t offset = call->from; offset < stream->len && records->len < call->max; offset++)
    {
      platform_record_t record =
          to_record (g_ptr_array_index (stream, offset), (position_t){ era, offset });

      g_array_append_val (records, record);
    }
  if (call->client->down)
    read.outcome = PLATFORM_UNKNOWN;
  else if (call->client->expired || call->from > stream->len)
    read.outcome = PLATFORM_EXPIRED;
  call->client->expired = false;
  read.records = (const platform_record_t *)(const void *)records->data;
  read.record_count = read.outcome == PLATFORM_OK ? records->len : 0;
  read.next.offset += read.record_count;
  call->read (&read, call->context);
}

static void
answer_newest (call_t *call)
{
  const GPtrArray *stream = get_stream (call->client->store, call->stream);
  g_autoptr (GHashTable) seen_keys = g_hash_table_new (g_str_hash, g_str_equal);
  g_autoptr (GArray) records = g_array_new (FALSE, TRUE, sizeof (platform_record_t));
  uint64_t era = call->client->store->era;
  platform_newest_t answer = { .outcome = call->client->down ? PLATFORM_UNKNOWN : PLATFORM_OK,
                               .end = { era, stream->len } };

  for (guint offset = stream->len; offset > 0; offset--)
    {
      const record_t *record = g_ptr_array_index (stream, offset - 1);

      if (g_hash_table_add (seen_keys, record->key) && record->value)
        {
          platform_record_t out = to_record (record, (position_t){ era, offset - 1 });

          g_array_append_val (records, out);
        }
    }
  answer.records = (const platform_record_t *)(const void *)records->data;
  answer.record_count = records->len;
  call->newest (&answer, call->context);
}

static void
answer_put (call_t *call)
{
  fake_store_client_t *client = call->client;
  position_t position = { .era = client->store->era };

  if (client->down)
    {
      call->put (PLATFORM_UNKNOWN, (position_t){ 0 }, call->context);
      return;
    }
  fake_store_put (client->store, call->stream, call->key, call->value);
  position.offset = get_stream (client->store, call->stream)->len - 1;
  call->put (PLATFORM_OK, position, call->context);
}

static void
on_answer_due (evutil_socket_t fd, short what, void *context)
{
  call_t *call = context;

  (void)fd;
  (void)what;
  if (call->kind == CALL_READ)
    answer_read (call);
  else if (call->kind == CALL_NEWEST)
    answer_newest (call);
  else
    answer_put (call);
  call_free (call);
}

static call_t *
call_new (
    platform_t *platform, call_kind_t kind, const char *stream, uint32_t wait_ms, void *context)
{
  fake_store_client_t *client = (fake_store_client_t *)platform;
  struct timeval wait = { wait_ms / 1000, wait_ms % 1000 * 1000 };
  call_t *call = g_new0 (call_t, 1);

  call->client = client;
  call->kind = kind;
  call->stream = g_strdup (stream);
  call->context = context;
  call->event = evtimer_new (client->store->base, on_answer_due, call);
  event_add (call->event, &wait);
  g_queue_push_tail (&client->pending, call);
  client->calls++;
  return call;
}

static void
client_read (platform_t *platform,
             const char *stream,
             uint64_t from_offset,
             uint32_t max_records,
             uint32_t wait_ms,
             platform_read_done_t done,
             void *context)
{
  fake_store_client_t *client = (fake_store_client_t *)platform;
  bool has_answer =
      client->down || client->expired || get_stream (client->store, stream)->len != from_offset;
  call_t *call = call_new (platform, CALL_READ, stream, has_answer ? 0 : wait_ms, context);

  call->from = from_offset;
  call->max = max_records;
  call->read = done;
}

static void
client_newest (platform_t *platform,
               const char *stream,
               const char *after_key,
               platform_newest_done_t done,
               void *context)
{
  g_assert (!after_key); /* the first page always has all keys */
  call_new (platform, CALL_NEWEST, stream, 0, context)->newest = done;
}

static void
client_put (platform_t *platform,
            const char *stream,
            const char *key,
            const char *data,
            size_t data_bytes,
            platform_append_done_t done,
            void *context)
{
  call_t *call = call_new (platform, CALL_PUT, stream, 0, context);

  call->key = g_strdup (key);
  call->value = g_strndup (data, data_bytes);
  call->put = done;
}

static void
client_free (platform_t *platform)
{
  fake_store_client_t *client = (fake_store_client_t *)platform;

  while (!g_queue_is_empty (&client->pending))
    call_free (g_queue_peek_head (&client->pending));
  g_ptr_array_remove (client->store->clients, client);
  g_free (client);
}

fake_store_t *
fake_store_new (struct event_base *base)
{
  fake_store_t *store = g_new0 (fake_store_t, 1);

  store->base = base;
  store->streams =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
  store->copy = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  store->clients = g_ptr_array_new ();
  return store;
}

void
fake_store_free (fake_store_t *store)
{
  g_assert (store->clients->len == 0);
  g_ptr_array_free (store->clients, TRUE);
  g_hash_table_destroy (store->streams);
  g_hash_table_destroy (store->copy);
  g_free (store);
}

fake_store_client_t *
fake_store_client (fake_store_t *store)
{
  fake_store_client_t *client = g_new0 (fake_store_client_t, 1);

  client->store = store;
  client->platform = (platform_t){
    .read = client_read, .newest = client_newest, .put = client_put, .free = client_free
  };
  g_queue_init (&client->pending);
  g_ptr_array_add (store->clients, client);
  return client;
}

static void
answer_waiting_reads (const fake_store_client_t *client, const char *stream)
{
  for (GList *link = client->pending.head; link; link = link->next)
    {
      call_t *call = link->data;

      if (call->kind == CALL_READ && strcmp (call->stream, stream) == 0)
        event_active (call->event, EV_TIMEOUT, 0);
    }
}

void
fake_store_put (fake_store_t *store, const char *stream, const char *key, const char *value)
{
  record_t *record = g_new0 (record_t, 1);

  record->key = g_strdup (key);
  record->value = g_strdup (value);
  g_ptr_array_add (get_stream (store, stream), record);
  for (guint i = 0; i < store->clients->len; i++)
    answer_waiting_reads (g_ptr_array_index (store->clients, i), stream);
}

void
fake_store_copy (fake_store_t *store)
{
  GHashTableIter iter;
  gpointer name;
  gpointer stream;

  g_hash_table_remove_all (store->copy);
  g_hash_table_iter_init (&iter, store->streams);
  while (g_hash_table_iter_next (&iter, &name, &stream))
    g_hash_table_insert (store->copy, g_strdup (name),
                         GUINT_TO_POINTER (((const GPtrArray *)stream)->len));
}

void
fake_store_restore (fake_store_t *store)
{
  GHashTableIter iter;
  gpointer name;
  gpointer stream;

  store->era++;
  g_hash_table_iter_init (&iter, store->streams);
  while (g_hash_table_iter_next (&iter, &name, &stream))
    {
      g_ptr_array_set_size (stream, GPOINTER_TO_INT (g_hash_table_lookup (store->copy, name)));
      for (guint i = 0; i < store->clients->len; i++)
        answer_waiting_reads (g_ptr_array_index (store->clients, i), name);
    }
}

uint32_t
fake_store_count (const fake_store_t *store, const char *stream)
{
  return get_stream (store, stream)->len;
}

const char *
fake_store_value (const fake_store_t *store, const char *stream, const char *key)
{
  const GPtrArray *records = get_stream (store, stream);

  for (guint offset = records->len; offset > 0; offset--)
    {
      const record_t *record = g_ptr_array_index (records, offset - 1);

      if (strcmp (record->key, key) == 0)
        return record->value;
    }
  return NULL;
}
