#include "request/policy/streams/origin_batches.h"

#include <glib.h>

/** struct batch - for one gateway; @streams: the oldest first */
typedef struct
{
  uint64_t gateway;
  GArray *streams;
} batch_t;

struct origin_batches
{
  uint32_t limit;
  GPtrArray *list;
};

static void
batch_free (gpointer data)
{
  batch_t *batch = data;

  g_array_free (batch->streams, TRUE);
  g_free (batch);
}

origin_batches_t *
origin_batches_new (uint32_t limit)
{
  origin_batches_t *batches = g_new0 (origin_batches_t, 1);

  batches->limit = limit;
  batches->list = g_ptr_array_new_with_free_func (batch_free);
  return batches;
}

void
origin_batches_free (origin_batches_t *batches)
{
  g_ptr_array_free (batches->list, TRUE);
  g_free (batches);
}

static batch_t *
find_or_add (origin_batches_t *batches, uint64_t gateway)
{
  batch_t *batch;

  for (guint i = 0; i < batches->list->len; i++)
    {
      batch = g_ptr_array_index (batches->list, i);
      if (batch->gateway == gateway)
        return batch;
    }
  batch = g_new0 (batch_t, 1);
  batch->gateway = gateway;
  batch->streams = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  g_ptr_array_add (batches->list, batch);
  return batch;
}

void
origin_batches_add (origin_batches_t *batches, uint64_t gateway, uint64_t stream)
{
  batch_t *batch = find_or_add (batches, gateway);

  if (batch->streams->len >= batches->limit)
    g_array_remove_index (batch->streams, 0);
  g_array_append_val (batch->streams, stream);
}

static batch_t *
find_fullest (const origin_batches_t *batches)
{
  batch_t *fullest = NULL;

  for (guint i = 0; i < batches->list->len; i++)
    {
      batch_t *batch = g_ptr_array_index (batches->list, i);

      if (batch->streams->len > (fullest ? fullest->streams->len : 0))
        fullest = batch;
    }
  return fullest;
}

uint32_t
origin_batches_take (origin_batches_t *batches, uint64_t *gateway, uint64_t *streams, uint32_t most)
{
  batch_t *batch = find_fullest (batches);
  uint32_t count;
  guint first;

  if (!batch)
    return 0;
  count = MIN (batch->streams->len, most);
  first = batch->streams->len - count;
  *gateway = batch->gateway;
  for (uint32_t i = 0; i < count; i++)
    streams[i] = g_array_index (batch->streams, uint64_t, first + i);
  g_array_set_size (batch->streams, first);
  return count;
}

void
origin_batches_drop (origin_batches_t *batches, uint64_t gateway)
{
  for (guint i = batches->list->len; i > 0; i--)
    if (((const batch_t *)g_ptr_array_index (batches->list, i - 1))->gateway == gateway)
      g_ptr_array_remove_index_fast (batches->list, i - 1);
}
