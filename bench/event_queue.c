#include "event_queue.h"

#include <glib.h>
#include <string.h>

static bool
is_before (const event_queue_entry_t *a, const event_queue_entry_t *b)
{
  return a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order;
}

static void
swap (event_queue_entry_t *a, event_queue_entry_t *b)
{
  const event_queue_entry_t saved = *a;
  *a = *b;
  *b = saved;
}

void
event_queue_init (event_queue_t *queue)
{
  memset (queue, 0, sizeof *queue);
}

void
event_queue_clear (event_queue_t *queue)
{
  g_free (queue->heap);
  event_queue_init (queue);
}

void
event_queue_add (event_queue_t *queue, uint64_t at_us, uint32_t kind, uint32_t number, void *data)
{
  if (queue->count == queue->capacity)
    {
      queue->capacity = queue->capacity * 2 + 1024;
      queue->heap = g_renew (event_queue_entry_t, queue->heap, queue->capacity);
    }
  uint32_t at = queue->count++;
  queue->heap[at] = (event_queue_entry_t){
    .at_us = at_us, .order = queue->added++, .kind = kind, .number = number, .data = data
  };
  while (at > 0 && is_before (&queue->heap[at], &queue->heap[(at - 1) / 2]))
    {
      swap (&queue->heap[at], &queue->heap[(at - 1) / 2]);
      at = (at - 1) / 2;
    }
}

bool
event_queue_pop (event_queue_t *queue, event_queue_entry_t *out)
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
