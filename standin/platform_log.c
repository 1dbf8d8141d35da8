#include "platform_log.h"

#include <glib.h>

#define COMPACT_RECORDS 1024 /* dropped records whose places are given back at once */

typedef struct
{
  GPtrArray *records; /* GBytes; the first @dropped places are NULL */
  guint dropped;
  uint64_t base_offset; /* of place 0 */
  uint64_t held_bytes;
} plg_stream_t;

struct plg
{
  uint64_t retain_records;
  uint64_t retain_bytes;
  uint64_t total_bytes;
  GHashTable *streams; /* name -> plg_stream_t */
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
  plg_stream_t *stream = data;
  g_ptr_array_free (stream->records, TRUE);
  g_free (stream);
}

static uint64_t
first_of (const plg_stream_t *stream)
{
  return stream->base_offset + stream->dropped;
}

static uint64_t
end_of (const plg_stream_t *stream)
{
  return stream->base_offset + stream->records->len;
}

static void
drop_first (plg_t *plg, plg_stream_t *stream)
{
  GBytes *record = g_ptr_array_index (stream->records, stream->dropped);
  gsize record_bytes = g_bytes_get_size (record);
  stream->held_bytes -= record_bytes;
  plg->total_bytes -= record_bytes;
  g_bytes_unref (record);
  g_ptr_array_index (stream->records, stream->dropped) = NULL;
  stream->dropped++;
  if (stream->dropped < COMPACT_RECORDS)
    return;
  g_ptr_array_remove_range (stream->records, 0, stream->dropped);
  stream->base_offset += stream->dropped;
  stream->dropped = 0;
}

static void
retain (plg_t *plg, plg_stream_t *stream)
{
  while (end_of (stream) - first_of (stream) > 1 &&
         (end_of (stream) - first_of (stream) > plg->retain_records ||
          stream->held_bytes > plg->retain_bytes))
    drop_first (plg, stream);
}

static plg_stream_t *
stream_named (plg_t *plg, const char *name)
{
  plg_stream_t *stream = g_hash_table_lookup (plg->streams, name);
  if (stream != NULL)
    return stream;
  if (g_hash_table_size (plg->streams) >= PLG_LIMIT_STREAMS)
    return NULL;
  stream = g_new0 (plg_stream_t, 1);
  stream->records = g_ptr_array_new_with_free_func (record_free);
  g_hash_table_insert (plg->streams, g_strdup (name), stream);
  return stream;
}

static json_t *
record_json (const plg_stream_t *stream, uint64_t offset, gsize *record_bytes)
{
  GBytes *record = g_ptr_array_index (stream->records, offset - stream->base_offset);
  const char *data = g_bytes_get_data (record, record_bytes);
  return json_pack ("{s:I, s:s%}", "offset", (json_int_t)offset, "data", data == NULL ? "" : data,
                    *record_bytes);
}

plg_t *
plg_new (uint64_t retain_records, uint64_t retain_bytes)
{
  plg_t *plg = g_new0 (plg_t, 1);
  plg->retain_records = retain_records;
  plg->retain_bytes = retain_bytes;
  plg->streams = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, stream_free);
  return plg;
}

void
plg_free (plg_t *plg)
{
  if (plg == NULL)
    return;
  g_hash_table_destroy (plg->streams);
  g_free (plg);
}

bool
plg_append (plg_t *plg, const char *stream, const char *data, size_t data_bytes, uint64_t *offset)
{
  plg_stream_t *own = stream_named (plg, stream);
  if (own == NULL || plg->total_bytes + data_bytes > PLG_LIMIT_TOTAL_BYTES)
    return false;
  *offset = end_of (own);
  g_ptr_array_add (own->records, g_bytes_new (data, data_bytes));
  own->held_bytes += data_bytes;
  plg->total_bytes += data_bytes;
  retain (plg, own);
  return true;
}

uint64_t
plg_end (const plg_t *plg, const char *stream)
{
  const plg_stream_t *own = g_hash_table_lookup (plg->streams, stream);
  return own == NULL ? 0 : end_of (own);
}

json_t *
plg_read (const plg_t *plg, const char *stream, uint64_t from, uint32_t max_records)
{
  const plg_stream_t *own = g_hash_table_lookup (plg->streams, stream);
  uint64_t first = own == NULL ? 0 : first_of (own);
  uint64_t end = own == NULL ? 0 : end_of (own);
  uint64_t next = MAX (from, first);
  json_t *records = json_array ();
  gsize answer_bytes = 0;
  for (; next < end && json_array_size (records) < max_records; next++)
    {
      gsize record_bytes;
      json_t *record = record_json (own, next, &record_bytes);
      answer_bytes += record_bytes;
      if (answer_bytes > PLG_LIMIT_ANSWER_BYTES && json_array_size (records) > 0)
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
plg_truncate (plg_t *plg, const char *stream, uint64_t before)
{
  plg_stream_t *own = g_hash_table_lookup (plg->streams, stream);
  while (own != NULL && first_of (own) < before && first_of (own) < end_of (own))
    drop_first (plg, own);
}

json_t *
plg_streams (const plg_t *plg)
{
  json_t *list = json_object ();
  GHashTableIter iter;
  gpointer name;
  gpointer value;
  g_hash_table_iter_init (&iter, plg->streams);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      const plg_stream_t *stream = value;
      json_object_set_new (list, name,
                           json_pack ("{s:I, s:I, s:I}", "first", (json_int_t)first_of (stream),
                                      "end", (json_int_t)end_of (stream), "bytes",
                                      (json_int_t)stream->held_bytes));
    }
  return list;
}
