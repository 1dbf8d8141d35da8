/**
 * DOC: events
 *
 * What happens in virtual time, in order; a binary heap.
 */
#ifndef BENCH_EVENTS_H
#define BENCH_EVENTS_H

#include <stdbool.h>
#include <stdint.h>

/** struct evt - @order: of making, so that events of one time come in a fixed order */
typedef struct
{
  uint64_t at_us;
  uint64_t order;
  uint32_t kind;
  uint32_t number;
  void *data;
} evt_t;

typedef struct
{
  evt_t *heap;
  uint32_t count;
  uint32_t room;
  uint64_t made;
} evt_queue_t;

void evt_init (evt_queue_t *queue);
void evt_clear (evt_queue_t *queue);
void evt_add (evt_queue_t *queue, uint64_t at_us, uint32_t kind, uint32_t number, void *data);
bool evt_take (evt_queue_t *queue, evt_t *out);

#endif
