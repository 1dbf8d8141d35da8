/**
 * DOC: wait_queue
 *
 * Queues the requests that wait at a gateway for a free slot at the engines of their service:
 * decides which one starts next, estimates its wait, and decides which ones to reject. A state
 * machine without I/O.
 *
 * There are two queues, each fair between client accounts. The first has the requests whose
 * response can still begin within the target time of their route. The second has the late ones,
 * for which this is no longer possible; they start only when the first queue has none. A late
 * response still has some value, but in an overload it would take the slot of a response in time:
 * with a single queue, each free slot went to a request that had waited for seconds, so all
 * requests were served and nearly all of them late.
 *
 * When requests have waited without a break for %WAIT_QUEUE_OVERLOAD_US, the service is overloaded.
 * A late request is then queued only if the rate at which late requests start lets it start before
 * its client leaves, or if the overload is mild and may end before. All others are rejected at
 * once, with a retry time by which the overload may be over.
 *
 * A request never waits until its deadline: a client that is rejected then has no time left to
 * retry, and a request that starts just before its deadline can't be answered in time.
 */
#ifndef REQUEST_POLICY_QUEUEING_WAIT_QUEUE_H
#define REQUEST_POLICY_QUEUEING_WAIT_QUEUE_H

#include "base/clock.h"
#include "request/policy/queueing/fair_queue.h"
#include "request/policy/queueing/priority_fairness.h"

#include <stdbool.h>
#include <stdint.h>

#define WAIT_QUEUE_LIMIT 1024 /* limit of each queue, for one service at one gateway */
/* duration of a request until one has been measured */
#define WAIT_QUEUE_DEFAULT_RUN_US (50 * 1000)
#define WAIT_QUEUE_SMOOTHING 16 /* smoothing of times: about the last 16 responses count */
/* Credit of an account that was served less than others, as a time of this gateway's whole share of
 * the slots. A burst of such an account then starts before the requests of one that used the slots
 * until now. */
#define WAIT_QUEUE_CREDIT_MS 2000
/* Time that a rejected client has left to retry elsewhere, in addition to that of a response. */
#define WAIT_QUEUE_CLIENT_RETRY_US (100 * CLOCK_US_PER_MS)
/* Longer than requests wait after a few slow requests or the loss of an engine: rejecting any in
 * such a moment would reject requests that could be served. */
#define WAIT_QUEUE_OVERLOAD_US (500 * CLOCK_US_PER_MS)
/* An overload ends only when no request has waited for this time, since a gateway with 40 requests
 * per second has shorter moments without waiting requests also during an overload. */
#define WAIT_QUEUE_CALM_US (250 * CLOCK_US_PER_MS)
/* Half-life of the count of late starts, so that it follows a change of load within a second. */
#define WAIT_QUEUE_LATE_HALF_LIFE_US (500 * CLOCK_US_PER_MS)
/* An overload is mild while at least this share of first attempts starts in time, in thousandths.
 * Late requests may then wait for as long as the overload is likely to last. */
#define WAIT_QUEUE_MILD_OVERLOAD_MILLI 700
/* Slots are scarce if this gateway's share is less than this. It then has moments without waiting
 * requests in time also during an overload. */
#define WAIT_QUEUE_SCARCE_SLOTS 4
/* Late requests of accounts with credit stay in the first queue while at least this share of the
 * first attempts of such accounts starts in time, in thousandths. With half of the engines lost and
 * one account sending 60% of all requests, bench-gateway has 0.2% of the other accounts' requests
 * rejected; with 700, 4%. */
#define WAIT_QUEUE_CREDIT_IN_TIME_MILLI 500
/* Accounts without credit count as surging unless accounts with credit send more than this share of
 * the first attempts, in thousandths. An account at eight times its usual traffic sends six in ten
 * of all requests; four in ten already count as a surge. */
#define WAIT_QUEUE_NO_SURGE_MILLI 600
/* A first attempt may always wait for this fraction (a quarter) of the target time, even if engines
 * alone take longer than the target. */
#define WAIT_QUEUE_MIN_WAIT_DIVISOR 4

/** enum wait_queue_outcome - result of adding a request */
typedef enum
{
  WAIT_QUEUE_QUEUED,   /* queued */
  WAIT_QUEUE_TOO_LATE, /* rejected: it couldn't be answered in time */
  WAIT_QUEUE_FULL      /* rejected: the queue has reached its limit */
} wait_queue_outcome_t;

/**
 * struct wait_queue_capacity - capacity that requests wait for
 * @slots: slots of all engines that may serve the request
 * @gateways: gateways that share them, with equal queues
 */
typedef struct
{
  uint64_t slots;
  uint32_t gateways;
} wait_queue_capacity_t;

/**
 * struct wait_queue_item - embedded in a waiting request; its owner sets all but @waiting,
 * @is_late and @is_held
 * @fair_entry: entry in the fair queue, with the account and the owner
 * @priority: 0 is the highest
 * @arrived_us: when the request arrived
 * @deadline_us: deadline of its client
 * @client_gives_up_us: when its client gives up unless a response has begun; 0 if it doesn't
 * @target_us: target for the begin of the response; 0 if there is none
 * @run_us: usual duration of this kind of request at an engine; 0 if unknown
 * @is_retry: the client retries after a rejection
 * @is_late: it is in the second queue
 * @is_held: it is one of the held ones
 * @waiting: it is in one of the queues
 */
typedef struct
{
  fair_queue_item_t fair_entry;
  uint32_t priority;
  uint64_t arrived_us;
  uint64_t deadline_us;
  uint64_t client_gives_up_us;
  uint64_t target_us;
  uint64_t run_us;
  bool is_retry;
  bool is_late;
  bool is_held;
  bool waiting;
} wait_queue_item_t;

/** struct wait_queue - the queues of one service */
typedef struct wait_queue wait_queue_t;

/** wait_queue_new() - Return: empty queues, to be freed by wait_queue_free() */
wait_queue_t *wait_queue_new (void);
void wait_queue_free (wait_queue_t *wait_queue);
/**
 * wait_queue_push() - queues a request, or rejects it
 *
 * @wait_us: set to the expected time until it starts, also if it is rejected
 */
wait_queue_outcome_t wait_queue_push (wait_queue_t *wait_queue,
                                      uint64_t now_us,
                                      const wait_queue_capacity_t *room,
                                      wait_queue_item_t *item,
                                      uint64_t *wait_us);
/**
 * wait_queue_push_delayed() - queues a request that may not start for @wait_us, even if slots are
 * free, with the late ones
 *
 * Return: false if that is too late; it isn't queued then
 */
bool wait_queue_push_delayed (wait_queue_t *wait_queue,
                              uint64_t now_us,
                              wait_queue_item_t *item,
                              uint64_t wait_us);
/**
 * wait_queue_push_held() - queues a request that must not be rejected, before all others; it never
 * expires, so its owner ends it at its deadline. It holds back no other request, and is no sign of
 * an overload
 *
 * Return: false if the queue has reached its limit
 */
bool wait_queue_push_held (wait_queue_t *wait_queue, uint64_t now_us, wait_queue_item_t *item);
/** wait_queue_remove() - removes @item if it is waiting */
void wait_queue_remove (wait_queue_t *wait_queue, uint64_t now_us, wait_queue_item_t *item);
/**
 * wait_queue_pop_expired() - removes one request that has to be rejected now
 *
 * To be called until NULL, every few milliseconds, since target times are short.
 *
 * Return: its owner, or NULL if there is none
 */
void *wait_queue_pop_expired (wait_queue_t *wait_queue, uint64_t now_us);
/** wait_queue_may_start_t - Return: whether the request of @owner may start now */
typedef bool (*wait_queue_may_start_t) (void *owner, void *context);
/**
 * wait_queue_first() - the request to start next; a request that may not start blocks only others
 * of its own account
 *
 * Return: its owner, or NULL if none may start
 */
void *wait_queue_first (const wait_queue_t *wait_queue, wait_queue_may_start_t may, void *context);
/**
 * wait_queue_start() - records that @item is sent to an engine, and charges its account
 *
 * @item: of wait_queue_first(), or one that was never queued
 */
void wait_queue_start (wait_queue_t *wait_queue, uint64_t now_us, wait_queue_item_t *item);
/** wait_queue_wait_us() - Return: expected time until @item starts if it is queued now */
uint64_t wait_queue_wait_us (const wait_queue_t *wait_queue,
                             const wait_queue_capacity_t *room,
                             const wait_queue_item_t *item);
/**
 * wait_queue_retry_us() - time after which a client that is rejected now should retry
 *
 * @wait_us: as set by wait_queue_push()
 */
uint64_t wait_queue_retry_us (const wait_queue_t *wait_queue, uint64_t now_us, uint64_t wait_us);
/** wait_queue_is_overloaded() - Return: whether requests have waited without a break for too long
 */
bool wait_queue_is_overloaded (const wait_queue_t *wait_queue, uint64_t now_us);
/** wait_queue_in_time_milli() - Return: share of recent first attempts that started in time, in
 * thousandths
 */
uint32_t wait_queue_in_time_milli (const wait_queue_t *wait_queue);
/** wait_queue_count() - Return: waiting requests */
uint32_t wait_queue_count (const wait_queue_t *wait_queue);
/** wait_queue_count_in_time() - Return: waiting requests that can still be answered in time */
uint32_t wait_queue_count_in_time (const wait_queue_t *wait_queue);

/** wait_queue_note_head() - adds the time from sending an executed request to its response header
 */
void wait_queue_note_head (wait_queue_t *wait_queue, uint64_t head_us);
/** wait_queue_note_run() - adds the time from sending an executed request to the end of its
 * response */
void wait_queue_note_run (wait_queue_t *wait_queue, const wait_queue_item_t *item, uint64_t run_us);
/** wait_queue_run_us() - Return: usual time for which a request occupies its slot */
uint64_t wait_queue_run_us (const wait_queue_t *wait_queue);
/** wait_queue_head_us() - Return: usual time from sending a request to its response header */
uint64_t wait_queue_head_us (const wait_queue_t *wait_queue);

/** wait_queue_share_us() - Return: time in which this gateway's share of the slots does @work_us of
 * work
 */
uint64_t wait_queue_share_us (const wait_queue_capacity_t *room, uint64_t work_us);

#endif
