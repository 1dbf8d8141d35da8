#include "events.h"

#include <glib.h>
#include <string.h>

static bool
is_before (const evt_t *a, const evt_t *b)
{
  return a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order;
}

static void
swap (evt_t *a, evt_t *b)
{
  const evt_t saved = *a;
  *a = *b;
  *b = saved;
}

void
evt_init (evt_queue_t *queue)
{
  memset (queue, 0, sizeof *queue);
}

void
evt_clear (evt_queue_t *queue)
{
  g_free (queue->heap);
  evt_init (queue);
}

void
evt_add (evt_queue_t *queue, uint64_t at_us, uint32_t kind, uint32_t number, void *data)
{
  if (queue->count == queue->capacity)
    {
      queue->capacity = queue->capacity * 2 + 1024;
      queue->heap = g_renew (evt_t, queue->heap, queue->capacity);
    }
  uint32_t at = queue->count++;
  queue->heap[at] = (evt_t){
    .at_us = at_us, .order = queue->added++, .kind = kind, .number = number, .data = data
  };
  while (at > 0 && is_before (&queue->heap[at], &queue->heap[(at - 1) / 2]))
    {
      swap (&queue->heap[at], &queue->heap[(at - 1) / 2]);
      at = (at - 1) / 2;
    }
}

bool
evt_take (evt_queue_t *queue, evt_t *out)
{
  if (queue->count == 0)
    return false;
  *out = queue->heap[0];
  queue->heap[0] = queue->heap[--queue->count];
  uint32_t at = 0;
  for (;;)
    {
      uint32_t first = at;
      for (uint32_t child = 2 * at + 1; child <= 2 * at + 2 && child < queue->count; child++)
        if (is_before (&queue->heap[child], &queue->heap[first]))
          first = child;
      if (first == at)
        return true;
      swap (&queue->heap[at], &queue->heap[first]);
      at = first;
    }
}
