/**
 * DOC: fairq
 *
 * Start-time fair queueing by client account within strict priority bands that cannot starve one
 * another: waiting requests of one sidecar, short classes first, a surging account behind itself.
 */
#ifndef REQUEST_FAIRQ_H
#define REQUEST_FAIRQ_H

#include "process/limits.h"

#include <stdbool.h>
#include <stdint.h>

/** struct fq_item - embedded in what waits */
typedef struct fq_item fq_item_t;
struct fq_item
{
  uint64_t account_hash;
  uint32_t weight;      /* thousandths */
  uint32_t priority;    /* 0 first */
  uint32_t cost;        /* tokens */
  uint32_t queue_limit; /* of the account here */
  uint64_t queued_us;
  uint64_t deadline_us;
  void *owner;
  /* owned by the queue */
  uint64_t start_tag;
  uint64_t finish_tag;
  uint64_t order;
};

typedef enum
{
  FQ_QUEUED,
  FQ_ACCOUNT_FULL,
  FQ_FULL
} fq_outcome_t;

typedef struct fq fq_t;

fq_t *fq_new (uint32_t total_limit);
void fq_free (fq_t *fq);
fq_outcome_t fq_push (fq_t *fq, fq_item_t *item);
/** fq_pop() - the next to serve, or NULL */
fq_item_t *fq_pop (fq_t *fq);
/** fq_expired() - takes out one whose deadline passed, or NULL; call until NULL */
fq_item_t *fq_expired (fq_t *fq, uint64_t now_us);
void fq_remove (fq_t *fq, fq_item_t *item);
uint32_t fq_count (const fq_t *fq);
/** fq_cost_ahead() - cost of what would be served before @item if it were pushed now */
uint64_t fq_cost_ahead (const fq_t *fq, const fq_item_t *item);
/** fq_served() - charge an account for a request that was dispatched without waiting */
void fq_served (fq_t *fq, const fq_item_t *item);

#endif
