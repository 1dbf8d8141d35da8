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
 * When requests have waited without a break for %LIN_PRESSED_US, the service is overloaded. A late
 * request is then queued only if the rate at which late requests start lets it start before its
 * client leaves, or if the overload is mild and may end before. All others are rejected at once,
 * with a retry time by which the overload may be over.
 *
 * A request never waits until its deadline: a client that is rejected then has no time left to
 * retry, and a request that starts just before its deadline can't be answered in time.
 */
#ifndef REQUEST_POLICY_LINE_H
#define REQUEST_POLICY_LINE_H

#include "base/clock.h"
#include "request/policy/fairq.h"
#include "request/policy/odds.h"

#include <stdbool.h>
#include <stdint.h>

#define LIN_LIMIT 1024         /* limit of each queue, for one service at one gateway */
#define LIN_RUN_US (50 * 1000) /* duration of a request until one has been measured */
#define LIN_GAIN 16            /* smoothing of times: about the last 16 responses count */
/* Credit of an account that was served less than others, as a time of this gateway's whole share of
 * the slots. A burst of such an account then starts before the requests of one that used the slots
 * until now. */
#define LIN_CREDIT_MS 2000
/* Time that a rejected client has left to retry elsewhere, in addition to that of a response. */
#define LIN_AGAIN_US (100 * CLK_US_PER_MS)
/* Longer than requests wait after a few slow requests or the loss of an engine: rejecting any in
 * such a moment would reject requests that could be served. */
#define LIN_PRESSED_US (500 * CLK_US_PER_MS)
/* An overload ends only when no request has waited for this time, since a gateway with 40 requests
 * per second has shorter moments without waiting requests also during an overload. */
#define LIN_CALM_US (250 * CLK_US_PER_MS)
/* Half-life of the count of late starts, so that it follows a change of load within a second. */
#define LIN_LATE_HALF_US (500 * CLK_US_PER_MS)
/* An overload is mild while at least this share of first attempts starts in time, in thousandths.
 * Late requests may then wait for as long as the overload is likely to last. */
#define LIN_MILD_MILLI 700
/* Slots are scarce if this gateway's share is less than this. It then has moments without waiting
 * requests in time also during an overload. */
#define LIN_SCARCE_SLOTS 4
/* Late requests of accounts with credit stay in the first queue while at least this share of the
 * first attempts of such accounts starts in time, in thousandths. With half of the engines lost and
 * one account sending 60% of all requests, bench-gateway has 0.2% of the other accounts' requests
 * rejected; with 700, 4%. */
#define LIN_QUIET_MILLI 500
/* Accounts without credit count as surging unless accounts with credit send more than this share of
 * the first attempts, in thousandths. An account at eight times its usual traffic sends six in ten
 * of all requests; four in ten already count as a surge. */
#define LIN_QUIET_MOST_MILLI 600
/* A first attempt may always wait for this fraction (a quarter) of the target time, even if engines
 * alone take longer than the target. */
#define LIN_LEAST_PART 4

/** enum lin_outcome - result of adding a request */
typedef enum
{
  LIN_WAITS,    /* queued */
  LIN_TOO_LATE, /* rejected: it couldn't be answered in time */
  LIN_FULL      /* rejected: the queue has reached its limit */
} lin_outcome_t;

/**
 * struct lin_room - capacity that requests wait for
 * @slots: slots of all engines that may serve the request
 * @gateways: gateways that share them, with equal queues
 */
typedef struct
{
  uint64_t slots;
  uint32_t gateways;
} lin_room_t;

/**
 * struct lin_item - embedded in a waiting request; its owner sets all but @waiting and @late
 * @fair: entry in the fair queue, with the account and the owner
 * @priority: 0 is the highest
 * @arrived_us: when the request arrived
 * @deadline_us: deadline of its client
 * @leaves_us: when its client gives up unless a response has begun; 0 if it doesn't
 * @in_time_us: target for the begin of the response; 0 if there is none
 * @run_us: usual duration of this kind of request at an engine; 0 if unknown
 * @returns: the client retries after a rejection
 * @late: it is in the second queue
 * @waiting: it is in one of the queues
 */
typedef struct
{
  fq_item_t fair;
  uint32_t priority;
  uint64_t arrived_us;
  uint64_t deadline_us;
  uint64_t leaves_us;
  uint64_t in_time_us;
  uint64_t run_us;
  bool returns;
  bool late;
  bool waiting;
} lin_item_t;

/** struct lin - the queues of one service */
typedef struct lin lin_t;

/** lin_new() - Return: empty queues, to be freed by lin_free() */
lin_t *lin_new (void);
void lin_free (lin_t *lin);
/**
 * lin_push() - queues a request, or rejects it
 *
 * @wait_us: set to the expected time until it starts, also if it is rejected
 */
lin_outcome_t
lin_push (lin_t *lin, uint64_t now_us, const lin_room_t *room, lin_item_t *item, uint64_t *wait_us);
/**
 * lin_push_behind() - queues a request that may not start for @wait_us, even if slots are free,
 * with the late ones
 *
 * Return: false if that is too late; it isn't queued then
 */
bool lin_push_behind (lin_t *lin, uint64_t now_us, lin_item_t *item, uint64_t wait_us);
/** lin_remove() - removes @item if it is waiting */
void lin_remove (lin_t *lin, uint64_t now_us, lin_item_t *item);
/**
 * lin_expired() - removes one request that has to be rejected now
 *
 * To be called until NULL, every few milliseconds, since target times are short.
 *
 * Return: its owner, or NULL if there is none
 */
void *lin_expired (lin_t *lin, uint64_t now_us);
/** lin_may_t - Return: whether the request of @owner may start now */
typedef bool (*lin_may_t) (void *owner, void *context);
/**
 * lin_first() - the request to start next; a request that may not start blocks only others of its
 * own account
 *
 * Return: its owner, or NULL if none may start
 */
void *lin_first (const lin_t *lin, lin_may_t may, void *context);
/**
 * lin_start() - records that @item is sent to an engine, and charges its account
 *
 * @item: of lin_first(), or one that was never queued
 */
void lin_start (lin_t *lin, uint64_t now_us, lin_item_t *item);
/** lin_wait_us() - Return: expected time until @item starts if it is queued now */
uint64_t lin_wait_us (const lin_t *lin, const lin_room_t *room, const lin_item_t *item);
/**
 * lin_retry_us() - time after which a client that is rejected now should retry
 *
 * @wait_us: as set by lin_push()
 */
uint64_t lin_retry_us (const lin_t *lin, uint64_t now_us, uint64_t wait_us);
/** lin_is_overloaded() - Return: whether requests have waited without a break for too long */
bool lin_is_overloaded (const lin_t *lin, uint64_t now_us);
/** lin_odds_milli() - Return: share of recent first attempts that started in time, in thousandths
 */
uint32_t lin_odds_milli (const lin_t *lin);
/** lin_count() - Return: waiting requests */
uint32_t lin_count (const lin_t *lin);
/** lin_count_in_time() - Return: waiting requests that can still be answered in time */
uint32_t lin_count_in_time (const lin_t *lin);

/** lin_note_head() - adds the time from sending an executed request to its response header */
void lin_note_head (lin_t *lin, uint64_t head_us);
/** lin_note_run() - adds the time from sending an executed request to the end of its response */
void lin_note_run (lin_t *lin, const lin_item_t *item, uint64_t run_us);
/** lin_run_us() - Return: usual time for which a request occupies its slot */
uint64_t lin_run_us (const lin_t *lin);
/** lin_head_us() - Return: usual time from sending a request to its response header */
uint64_t lin_head_us (const lin_t *lin);

/** lin_share_us() - Return: time in which this gateway's share of the slots does @work_us of work
 */
uint64_t lin_share_us (const lin_room_t *room, uint64_t work_us);

#endif
