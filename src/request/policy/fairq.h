/**
 * DOC: fair_queue
 *
 * Queues waiting requests and serves them by start-time fair queueing between client accounts, by
 * weight and cost, so that a surging account delays mainly its own requests. An account that was
 * served less than others keeps a credit, limited by fq_set_credit(), so that a burst of it is
 * served first.
 *
 * Priorities are a limited preference, not strict. The sort key of an account is its virtual start
 * time plus a cost of %FQ_HEAD_START for each priority level below the highest, for the request
 * that it would serve next. So a high priority is served first until its account got that much more
 * than the others. Within an account, a request of a lower priority is served after others before
 * it got a cost of %FQ_HEAD_START for each level between them. So no priority and no account can
 * starve another.
 */
#ifndef REQUEST_POLICY_FAIRQ_H
#define REQUEST_POLICY_FAIRQ_H

#include "base/limits.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define FQ_BANDS 4 /* priority levels 0 to 3; a larger number counts as the last */
/* Cost that one level of priority is worth, in milliseconds of a slot at weight one. */
#define FQ_HEAD_START 8192
#define FQ_WEIGHT_ONE 1000 /* weight of an ordinary account, in thousandths */

/**
 * struct fq_item - entry of the queue, embedded in a waiting request
 * @account_hash: client account of the request
 * @weight: weight of the account, in thousandths
 * @priority: priority level, 0 is the highest
 * @has_precedence: whether @precedence is used against other accounts, instead of @priority
 * @precedence: level against requests of other accounts, 0 is the highest
 * @cost: estimated time that the request occupies a slot, in milliseconds
 * @queue_limit: maximum number of waiting requests of the account
 * @queued_us: when the request was queued
 * @deadline_us: when fq_expired() returns it, 0 for never
 * @owner: the request
 * @link: used by the queue
 * @expiry: used by the queue
 */
typedef struct fq_item fq_item_t;
struct fq_item
{
  uint64_t account_hash;
  uint32_t weight;
  uint32_t priority;
  bool has_precedence;
  uint32_t precedence;
  uint32_t cost;
  uint32_t queue_limit;
  uint64_t queued_us;
  uint64_t deadline_us;
  void *owner;
  GList link;
  GSequenceIter *expiry;
};

/** enum fq_outcome - result of fq_push() */
typedef enum
{
  FQ_QUEUED,       /* added */
  FQ_ACCOUNT_FULL, /* not added: the account has reached its limit */
  FQ_FULL          /* not added: the queue has reached its limit */
} fq_outcome_t;

/** fq_may_t - Return: whether @item, the next one of its account, may be served now */
typedef bool (*fq_may_t) (const fq_item_t *item, void *context);

/** struct fq - the queue, with the accounts that wait or were served lately */
typedef struct fq fq_t;

/** fq_new() - Return: an empty queue for @total_limit requests, to be freed by fq_free() */
fq_t *fq_new (uint32_t total_limit);
void fq_free (fq_t *fq);
/** fq_set_credit() - sets the maximum credit, a cost at weight one; initially 0 */
void fq_set_credit (fq_t *fq, uint64_t credit);
/** fq_push() - adds @item unless a limit is reached */
fq_outcome_t fq_push (fq_t *fq, fq_item_t *item);
/** fq_pop() - removes the next request, charging its account. Return: NULL if there is none */
fq_item_t *fq_pop (fq_t *fq);
/** fq_peek_allowed() - Return: the next request for which @may is true, or NULL; it isn't removed
 */
fq_item_t *fq_peek_allowed (const fq_t *fq, fq_may_t may, void *context);
/** fq_pop_allowed() - removes and returns the request of fq_peek_allowed(), charging its account */
fq_item_t *fq_pop_allowed (fq_t *fq, fq_may_t may, void *context);
/** fq_goes_before() - Return: whether @item, not queued, would be served before @waiting, queued */
bool fq_goes_before (const fq_t *fq, const fq_item_t *item, const fq_item_t *waiting);
/** fq_expired() - removes one request whose deadline has passed. Return: NULL if there is none */
fq_item_t *fq_expired (fq_t *fq, uint64_t now_us);
/** fq_any() - removes any request, to empty the queue. Return: NULL if there is none */
fq_item_t *fq_any (fq_t *fq);
/** fq_remove() - removes a queued request without charging its account */
void fq_remove (fq_t *fq, fq_item_t *item);
/** fq_is_behind() - Return: whether the account was served no more than those served lately */
bool fq_is_behind (const fq_t *fq, const fq_item_t *item);
/** fq_has_credit() - Return: whether the account has at least half of the maximum credit, so that
 * it asks for less than others get */
bool fq_has_credit (const fq_t *fq, const fq_item_t *item);
/** fq_count() - Return: queued requests */
uint32_t fq_count (const fq_t *fq);
/** fq_account_count() - Return: accounts known, with or without queued requests */
uint32_t fq_account_count (const fq_t *fq);

/**
 * struct fq_ahead - estimate of what would be served before a request, from averages
 * @cost: sum of their cost, in milliseconds of a slot
 * @count: number of requests
 */
typedef struct
{
  uint64_t cost;
  uint32_t count;
} fq_ahead_t;

/** fq_ahead() - estimate for @item if it is added now; O(accounts with queued requests) */
fq_ahead_t fq_ahead (const fq_t *fq, const fq_item_t *item);
/** fq_cost_ahead() - Return: the cost of fq_ahead() */
uint64_t fq_cost_ahead (const fq_t *fq, const fq_item_t *item);
/** fq_served() - charges an account for a request that is served without having been queued */
void fq_served (fq_t *fq, const fq_item_t *item);
/** fq_took() - charges an account for the part of a request's measured @cost above its estimate */
void fq_took (fq_t *fq, const fq_item_t *item, uint64_t cost);

#endif
