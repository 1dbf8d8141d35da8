/**
 * DOC: fair_queue
 *
 * Queues waiting requests and serves them by start-time fair queueing between client accounts, by
 * weight and cost, so that a surging account delays mainly its own requests. An account that was
 * served less than others keeps a credit, limited by fair_queue_set_credit(), so that a burst of it
 * is served first.
 *
 * Priorities are a limited preference, not strict. The sort key of an account is its virtual start
 * time plus a cost of %FAIR_QUEUE_PRIORITY_COST for each priority level below the highest, for the
 * request that it would serve next. So a high priority is served first until its account got that
 * much more than the others. Within an account, a request of a lower priority is served after
 * others before it got a cost of %FAIR_QUEUE_PRIORITY_COST for each level between them. So no
 * priority and no account can starve another.
 */
#ifndef REQUEST_POLICY_QUEUEING_FAIR_QUEUE_H
#define REQUEST_POLICY_QUEUEING_FAIR_QUEUE_H

#include "base/limits.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define FAIR_QUEUE_LEVELS 4 /* priority levels 0 to 3; a larger number counts as the last */
/* Cost that one level of priority is worth, in milliseconds of a slot at weight one. */
#define FAIR_QUEUE_PRIORITY_COST 8192
#define FAIR_QUEUE_WEIGHT_ONE 1000 /* weight of an ordinary account, in thousandths */

/**
 * struct fair_queue_item - entry of the queue, embedded in a waiting request
 * @account_hash: client account of the request
 * @weight: weight of the account, in thousandths
 * @priority: priority level, 0 is the highest
 * @has_precedence: whether @precedence is used against other accounts, instead of @priority
 * @precedence: level against requests of other accounts, 0 is the highest
 * @cost: estimated time that the request occupies a slot, in milliseconds
 * @queue_limit: maximum number of waiting requests of the account
 * @queued_us: when the request was queued
 * @deadline_us: when fair_queue_pop_expired() returns it, 0 for never
 * @owner: the request
 * @link: used by the queue
 * @expiry: used by the queue
 */
typedef struct fair_queue_item fair_queue_item_t;
struct fair_queue_item
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

/** enum fair_queue_outcome - result of fair_queue_push() */
typedef enum
{
  FAIR_QUEUE_QUEUED,       /* added */
  FAIR_QUEUE_ACCOUNT_FULL, /* not added: the account has reached its limit */
  FAIR_QUEUE_FULL          /* not added: the queue has reached its limit */
} fair_queue_outcome_t;

/** fair_queue_may_serve_t - Return: whether @item, the next one of its account, may be served now
 */
typedef bool (*fair_queue_may_serve_t) (const fair_queue_item_t *item, void *context);

/** struct fair_queue - the queue, with the accounts that wait or were served lately */
typedef struct fair_queue fair_queue_t;

/** fair_queue_new() - Return: an empty queue for @total_limit requests, to be freed by
 * fair_queue_free() */
fair_queue_t *fair_queue_new (uint32_t total_limit);
void fair_queue_free (fair_queue_t *fair_queue);
/** fair_queue_set_credit() - sets the maximum credit, a cost at weight one; initially 0 */
void fair_queue_set_credit (fair_queue_t *fair_queue, uint64_t credit);
/** fair_queue_push() - adds @item unless a limit is reached */
fair_queue_outcome_t fair_queue_push (fair_queue_t *fair_queue, fair_queue_item_t *item);
/** fair_queue_pop() - removes the next request, charging its account. Return: NULL if there is none
 */
fair_queue_item_t *fair_queue_pop (fair_queue_t *fair_queue);
/** fair_queue_peek_allowed() - Return: the next request for which @may is true, or NULL; it isn't
 * removed
 */
fair_queue_item_t *
fair_queue_peek_allowed (const fair_queue_t *fair_queue, fair_queue_may_serve_t may, void *context);
/** fair_queue_pop_allowed() - removes and returns the request of fair_queue_peek_allowed(),
 * charging its account */
fair_queue_item_t *
fair_queue_pop_allowed (fair_queue_t *fair_queue, fair_queue_may_serve_t may, void *context);
/** fair_queue_goes_before() - Return: whether @item, not queued, would be served before @waiting,
 * queued */
bool fair_queue_goes_before (const fair_queue_t *fair_queue,
                             const fair_queue_item_t *item,
                             const fair_queue_item_t *waiting);
/** fair_queue_pop_expired() - removes one request whose deadline has passed. Return: NULL if there
 * is none */
fair_queue_item_t *fair_queue_pop_expired (fair_queue_t *fair_queue, uint64_t now_us);
/** fair_queue_pop_any() - removes any request, to empty the queue. Return: NULL if there is none */
fair_queue_item_t *fair_queue_pop_any (fair_queue_t *fair_queue);
/** fair_queue_remove() - removes a queued request without charging its account */
void fair_queue_remove (fair_queue_t *fair_queue, fair_queue_item_t *item);
/** fair_queue_is_behind() - Return: whether the account was served no more than those served lately
 */
bool fair_queue_is_behind (const fair_queue_t *fair_queue, const fair_queue_item_t *item);
/** fair_queue_has_credit() - Return: whether the account has at least half of the maximum credit,
 * so that it asks for less than others get */
bool fair_queue_has_credit (const fair_queue_t *fair_queue, const fair_queue_item_t *item);
/** fair_queue_count() - Return: queued requests */
uint32_t fair_queue_count (const fair_queue_t *fair_queue);
/** fair_queue_account_count() - Return: accounts known, with or without queued requests */
uint32_t fair_queue_account_count (const fair_queue_t *fair_queue);

/**
 * struct fair_queue_ahead - estimate of what would be served before a request, from averages
 * @cost: sum of their cost, in milliseconds of a slot
 * @count: number of requests
 */
typedef struct
{
  uint64_t cost;
  uint32_t count;
} fair_queue_ahead_t;

/** fair_queue_ahead() - estimate for @item if it is added now; O(accounts with queued requests) */
fair_queue_ahead_t fair_queue_ahead (const fair_queue_t *fair_queue, const fair_queue_item_t *item);
/** fair_queue_cost_ahead() - Return: the cost of fair_queue_ahead() */
uint64_t fair_queue_cost_ahead (const fair_queue_t *fair_queue, const fair_queue_item_t *item);
/** fair_queue_charge() - charges an account for a request that is served without having been queued
 */
void fair_queue_charge (fair_queue_t *fair_queue, const fair_queue_item_t *item);
/** fair_queue_charge_excess() - charges an account for the part of a request's measured @cost above
 * its estimate */
void
fair_queue_charge_excess (fair_queue_t *fair_queue, const fair_queue_item_t *item, uint64_t cost);

#endif
