/**
 * DOC: fairq
 *
 * Waiting requests of one sidecar, served by start-time fair queueing over client accounts, by
 * weight and cost: a surging account waits behind itself. An account that had less than the others
 * keeps a credit of up to fq_set_credit(), so that a burst of it goes first.
 *
 * Priorities are a bounded preference, not strict bands. The tag of an account is its virtual
 * start plus a cost of %FQ_HEAD_START for each priority of the request it would send next, so a
 * short class goes first until its account has had that much more than the others. Within an
 * account, requests of a lower priority are passed over for %FQ_HEAD_START a priority, then one of
 * them is served. So no class and no account can starve another.
 */
#ifndef REQUEST_POLICY_FAIRQ_H
#define REQUEST_POLICY_FAIRQ_H

#include "base/limits.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define FQ_BANDS 4         /* priorities 0..3; a higher number counts as the last */
#define FQ_HEAD_START 8192 /* cost, at the ordinary weight */
#define FQ_WEIGHT_ONE 1000 /* thousandths: the ordinary account */

/** struct fq_item - embedded in what waits */
typedef struct fq_item fq_item_t;
struct fq_item
{
  uint64_t account_hash;
  uint32_t weight;      /* thousandths */
  uint32_t priority;    /* 0 first */
  bool has_precedence;  /* else @priority counts against other accounts too */
  uint32_t precedence;  /* of its account against others; 0 first */
  uint32_t cost;        /* milliseconds of a slot */
  uint32_t queue_limit; /* of the account here */
  uint64_t queued_us;
  uint64_t deadline_us; /* to start by; 0 for none */
  void *owner;
  /* owned by the queue */
  GList link;
  GSequenceIter *expiry;
};

typedef enum
{
  FQ_QUEUED,
  FQ_ACCOUNT_FULL,
  FQ_FULL
} fq_outcome_t;

/** fq_may_t - whether requests of that account may be served now */
typedef bool (*fq_may_t) (const fq_item_t *item, void *context);

typedef struct fq fq_t;

fq_t *fq_new (uint32_t total_limit);
void fq_free (fq_t *fq);
/** fq_set_credit() - cost, at the ordinary weight; 0 to begin with */
void fq_set_credit (fq_t *fq, uint64_t credit);
fq_outcome_t fq_push (fq_t *fq, fq_item_t *item);
/** fq_pop() - the next to serve, or NULL */
fq_item_t *fq_pop (fq_t *fq);
/** fq_peek_allowed() - the first whose account @may be served, or NULL; stays in the queue */
fq_item_t *fq_peek_allowed (const fq_t *fq, fq_may_t may, void *context);
/** fq_pop_allowed() - as fq_peek_allowed(), and takes it out */
fq_item_t *fq_pop_allowed (fq_t *fq, fq_may_t may, void *context);
/** fq_goes_before() - whether @item, not in the queue, would be served before @waiting, which is */
bool fq_goes_before (const fq_t *fq, const fq_item_t *item, const fq_item_t *waiting);
/** fq_expired() - takes out one whose deadline passed, or NULL; call until NULL */
fq_item_t *fq_expired (fq_t *fq, uint64_t now_us);
/** fq_any() - takes out any one, or NULL: for a queue that is given up */
fq_item_t *fq_any (fq_t *fq);
void fq_remove (fq_t *fq, fq_item_t *item);
/** fq_is_behind() - whether the account had no more than those that were served lately */
bool fq_is_behind (const fq_t *fq, const fq_item_t *item);
/** fq_has_credit() - whether the account still has half of its credit: it asks for less than others
 * get */
bool fq_has_credit (const fq_t *fq, const fq_item_t *item);
uint32_t fq_count (const fq_t *fq);
/** fq_account_count() - accounts remembered, waiting or not */
uint32_t fq_account_count (const fq_t *fq);

/** struct fq_ahead - what would be served before a request; an estimate from averages */
typedef struct
{
  uint64_t cost;
  uint32_t count;
} fq_ahead_t;

/** fq_ahead() - for @item if it were pushed now. O(accounts that wait) */
fq_ahead_t fq_ahead (const fq_t *fq, const fq_item_t *item);
/** fq_cost_ahead() - the cost alone */
uint64_t fq_cost_ahead (const fq_t *fq, const fq_item_t *item);
/** fq_served() - charge an account for a request that was dispatched without waiting */
void fq_served (fq_t *fq, const fq_item_t *item);
/** fq_took() - an item that was served took @cost in the end: its account is charged what that is
 * above its estimate */
void fq_took (fq_t *fq, const fq_item_t *item, uint64_t cost);

#endif
