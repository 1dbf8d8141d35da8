/**
 * DOC: event_queue
 *
 * Event queue of a discrete-event simulation: a binary heap ordered by virtual time.
 */
#ifndef BENCH_EVENT_QUEUE_H
#define BENCH_EVENT_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct event_queue_entry - one event
 * @at_us: virtual time at which it is due
 * @order: insertion number; events of the same time are taken in the order of insertion, so that a
 *   run can be repeated exactly
 * @kind, @number, @data: passed through for the caller
 */
typedef struct
{
  uint64_t at_us;
  uint64_t order;
  uint32_t kind;
  uint32_t number;
  void *data;
} event_queue_entry_t;

/**
 * struct event_queue - the pending events
 * @added: events added so far, the @order of the next one
 */
typedef struct
{
  event_queue_entry_t *heap;
  uint32_t count;
  uint32_t capacity;
  uint64_t added;
} event_queue_t;

void event_queue_init (event_queue_t *queue);
/** event_queue_clear() - frees the heap; the queue is empty and can be used again. @data is not
 * freed */
void event_queue_clear (event_queue_t *queue);
void
event_queue_add (event_queue_t *queue, uint64_t at_us, uint32_t kind, uint32_t number, void *data);
/** event_queue_pop() - removes the earliest event. Return: false when the queue is empty */
bool event_queue_pop (event_queue_t *queue, event_queue_entry_t *out);

#endif
