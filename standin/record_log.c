#include "record_log.h"

#include <glib.h>

#define COMPACT_MIN_DROPPED 1024 /* dropped records after which the array is compacted */

typedef struct
{
  GPtrArray *records; /* GBytes; the first @dropped_count elements are NULL */
  guint dropped_count;
  uint64_t array_offset; /* offset of element 0 of @records */
  uint64_t retained_bytes;
  uint64_t copy_end; /* end of the stream at the last copy */
} stream_t;

struct record_log
{
  uint64_t retain_records;
  uint64_t retain_bytes;
  uint64_t total_bytes;
  GHashTable *streams; /* name -> stream_t */
};

static void
record_free (gpointer data)
{
  if (data != NULL)
    g_bytes_unref (data);
}

static void
stream_free (gpointer data)
{
  stream_t *stream = data;
  g_ptr_array_free (stream->records, TRUE);
  g_free (stream);
}

static uint64_t
first_offset (const stream_t *stream)
{
  return stream->array_offset + stream->dropped_count;
}

static uint64_t
end_offset (const stream_t *stream)
{
  return stream->array_offset + stream->records->len;
}

static void
drop_oldest (record_log_t *log, stream_t *stream)
{
  GBytes *record = g_ptr_array_index (stream->records, stream->dropped_count);
  gsize record_bytes = g_bytes_get_size (record);
  stream->retained_bytes -= record_bytes;
  log->total_bytes -= record_bytes;
  g_bytes_unref (record);
  g_ptr_array_index (stream->records, stream->dropped_count) = NULL;
  stream->dropped_count++;
  if (stream->dropped_count < COMPACT_MIN_DROPPED)
    return;
  g_ptr_array_remove_range (stream->records, 0, stream->dropped_count);
  stream->array_offset += stream->dropped_count;
  stream->dropped_count = 0;
}

static void
enforce_retention (record_log_t *log, stream_t *stream)
{
  while (end_offset (stream) - first_offset (stream) > 1 &&
         (end_offset (stream) - first_offset (stream) > log->retain_records ||
          stream->retained_bytes > log->retain_bytes))
    drop_oldest (log, stream);
}

static stream_t *
get_or_create_stream (record_log_t *log, const char *name)
{
  stream_t *stream = g_hash_table_lookup (log->streams, name);
  if (stream != NULL)
    return stream;
  if (g_hash_table_size (log->streams) >= RECORD_LOG_MAX_STREAMS)
    return NULL;
  stream = g_new0 (stream_t, 1);
  stream->records = g_ptr_array_new_with_free_func (record_free);
  g_hash_table_insert (log->streams, g_strdup (name), stream);
  return stream;
}

static json_t *
record_json (const stream_t *stream, uint64_t offset, gsize *record_bytes)
{
  GBytes *record = g_ptr_array_index (stream->records, offset - stream->array_offset);
  const char *data = g_bytes_get_data (record, record_bytes);
  return json_pack ("{s:I, s:s%}", "offset", (json_int_t)offset, "data", data == NULL ? "" : data,
                    *record_bytes);
}

record_log_t *
record_log_new (uint64_t retain_records, uint64_t retain_bytes)
{
  record_log_t *log = g_new0 (record_log_t, 1);
  log->retain_records = retain_records;
  log->retain_bytes = retain_bytes;
  log->streams = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, stream_free);
  return log;
}

void
record_log_free (record_log_t *log)
{
  if (log == NULL)
    return;
  g_hash_table_destroy (log->streams);
  g_free (log);
}

bool
record_log_append (record_log_t *log,
                   const char *stream_name,
                   const char *data,
                   size_t data_bytes,
                   uint64_t *offset)
{
  stream_t *stream = get_or_create_stream (log, stream_name);
  if (stream == NULL || log->total_bytes + data_bytes > RECORD_LOG_MAX_TOTAL_BYTES)
    return false;
  *offset = end_offset (stream);
  g_ptr_array_add (stream->records, g_bytes_new (data, data_bytes));
  stream->retained_bytes += data_bytes;
  log->total_bytes += data_bytes;
  enforce_retention (log, stream);
  return true;
}

uint64_t
record_log_end_offset (const record_log_t *log, const char *stream_name)
{
  const stream_t *stream = g_hash_table_lookup (log->streams, stream_name);
  return stream == NULL ? 0 : end_offset (stream);
}

json_t *
record_log_read (const record_log_t *log,
                 const char *stream_name,
                 uint64_t from,
                 uint32_t max_records)
{
  const stream_t *stream = g_hash_table_lookup (log->streams, stream_name);
  uint64_t first = stream == NULL ? 0 : first_offset (stream);
  uint64_t end = stream == NULL ? 0 : end_offset (stream);
  uint64_t next = MAX (from, first);
  json_t *records = json_array ();
  gsize answer_bytes = 0;
  for (; next < end && json_array_size (records) < max_records; next++)
    {
      gsize record_bytes;
      json_t *record = record_json (stream, next, &record_bytes);
      answer_bytes += record_bytes;
      if (answer_bytes > RECORD_LOG_MAX_ANSWER_BYTES && json_array_size (records) > 0)
        {
          json_decref (record);
          break;
        }
      json_array_append_new (records, record);
    }
  return json_pack ("{s:I, s:I, s:I, s:o}", "first", (json_int_t)first, "next", (json_int_t)next,
                    "end", (json_int_t)end, "records", records);
}

void
record_log_truncate (record_log_t *log, const char *stream_name, uint64_t before)
{
  stream_t *stream = g_hash_table_lookup (log->streams, stream_name);
  while (stream != NULL && first_offset (stream) < before &&
         first_offset (stream) < end_offset (stream))
    drop_oldest (log, stream);
}

void
record_log_copy (record_log_t *log)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, log->streams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((stream_t *)value)->copy_end = end_offset (value);
}

/* Records that retention dropped after the copy do not return. */
static void
restore_stream (record_log_t *log, stream_t *stream)
{
  while (end_offset (stream) > stream->copy_end && first_offset (stream) < end_offset (stream))
    {
      GBytes *record = g_ptr_array_index (stream->records, stream->records->len - 1);
      gsize record_bytes = g_bytes_get_size (record);

      stream->retained_bytes -= record_bytes;
      log->total_bytes -= record_bytes;
      g_ptr_array_set_size (stream->records, (gint)stream->records->len - 1);
    }
  if (end_offset (stream) <= stream->copy_end)
    return;
  g_ptr_array_set_size (stream->records, 0);
  stream->dropped_count = 0;
  stream->array_offset = stream->copy_end;
}

void
record_log_restore (record_log_t *log)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, log->streams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    restore_stream (log, value);
}

json_t *
record_log_streams_json (const record_log_t *log)
{
  json_t *list = json_object ();
  GHashTableIter iter;
  gpointer name;
  gpointer value;
  g_hash_table_iter_init (&iter, log->streams);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      const stream_t *stream = value;
      json_object_set_new (list, name,
                           json_pack ("{s:I, s:I, s:I}", "first", (json_int_t)first_offset (stream),
                                      "end", (json_int_t)end_offset (stream), "bytes",
                                      (json_int_t)stream->retained_bytes));
    }
  return list;
}
