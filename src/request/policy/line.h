/**
 * DOC: line
 *
 * Requests that wait at a gateway for room at the engines of their service: who starts next, how
 * long that is expected to take, and who is refused instead. A state machine without I/O.
 *
 * Two queues, each fair between accounts. In the first wait those whose answer can still begin
 * within the aim of their route; in the second, behind them, those for which it is too late: a late
 * answer is worth something, but in an overload it would take the slot of one that is in time. With
 * one queue for both, each slot that came free there went to a request that had waited for seconds,
 * so all were answered, and nearly all too late.
 *
 * Once requests have waited without a break for %LIN_PRESSED_US, the service is overloaded. Late
 * ones then wait only while others of them do start, at the pace at which they do, or while few are
 * late and the overload may end before they leave; else they are refused at once, and told to come
 * back when it may be over.
 *
 * No wait lasts to the deadline: who is refused there has lost the time in which it could have been
 * sent again, and who starts a moment before can't be answered in time.
 */
#ifndef REQUEST_POLICY_LINE_H
#define REQUEST_POLICY_LINE_H

#include "base/clock.h"
#include "request/policy/fairq.h"
#include "request/policy/odds.h"

#include <stdbool.h>
#include <stdint.h>

#define LIN_LIMIT 1024         /* requests of one service that wait at one gateway, in each queue */
#define LIN_RUN_US (50 * 1000) /* of a request, until it has been measured */
#define LIN_GAIN 16            /* of the smoothing: about the last sixteen answers count */
/* Of all slots of this gateway's share: what an account that had less may start first. A burst of a
 * quiet account, two seconds of everything, does not wait behind one that had the slots before. */
#define LIN_CREDIT_MS 2000
/* Left to a caller that is refused, besides the time of an answer, to ask again elsewhere. */
#define LIN_AGAIN_US (100 * CLK_US_PER_MS)
/* Longer than the time in which a few slow requests or a lost engine make others wait: what is
 * refused in such a moment could have been served. */
#define LIN_PRESSED_US (500 * CLK_US_PER_MS)
/* A gateway that gets 40 requests a second has moments in which none waits also in an overload. */
#define LIN_CALM_US (250 * CLK_US_PER_MS)
/* Starts of late requests count by half after this: a change of load is to show within a second. */
#define LIN_LATE_HALF_US (500 * CLK_US_PER_MS)
/* While at least this share of first tries starts in time, in thousandths, an overload is mild:
 * late ones wait as long as it is likely to last. */
#define LIN_MILD_MILLI 700
/* A gateway whose share is less has moments in which none of its own requests in time waits, also
 * in an overload. */
#define LIN_SCARCE_SLOTS 4
/* While at least this share of the first tries of accounts that have credit starts in time, in
 * thousandths, their late ones keep their place. With half of the engines gone and one account
 * sending 60% of all, bench-gateway has 0.2% of the others' requests refused so; with 700, 4%. */
#define LIN_QUIET_MILLI 500
/* Of the first tries, in thousandths: while accounts that have credit send more than this, nobody
 * surges from whom their late ones could take the place. Four in ten of others are a surge: an
 * account at eight times its share sends six in ten. */
#define LIN_QUIET_MOST_MILLI 600
/* Of the aim: what a first try may always wait, also where engines alone take longer than that. */
#define LIN_LEAST_PART 4

typedef enum
{
  LIN_WAITS,
  LIN_TOO_LATE, /* it could not be answered in time */
  LIN_FULL
} lin_outcome_t;

/**
 * struct lin_room - what a line waits for
 * @slots: of all engines that may be asked
 * @gateways: that share them, each with a line alike
 */
typedef struct
{
  uint64_t slots;
  uint32_t gateways;
} lin_room_t;

/**
 * struct lin_item - embedded in what waits; all but @waiting and @late is set by its owner
 * @fair: account and owner
 * @priority: 0 is first
 * @deadline_us: of its caller
 * @leaves_us: when its caller leaves if no answer has begun; 0 when it stays
 * @in_time_us: an answer that begins by then is in time; 0 when any is
 * @run_us: that one of its kind usually keeps its slot; 0 when it is not known
 * @returns: its caller was refused before
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

typedef struct lin lin_t;

lin_t *lin_new (void);
void lin_free (lin_t *lin);
/** lin_push() - @wait_us: expected until it starts; valid for refusals too */
lin_outcome_t
lin_push (lin_t *lin, uint64_t now_us, const lin_room_t *room, lin_item_t *item, uint64_t *wait_us);
/** lin_push_behind() - @item may start after @wait_us at the soonest, whatever room there is, and
 * waits behind those in time. Return: false when that is too late; it is not in the line then */
bool lin_push_behind (lin_t *lin, uint64_t now_us, lin_item_t *item, uint64_t wait_us);
void lin_remove (lin_t *lin, uint64_t now_us, lin_item_t *item);
/** lin_expired() - takes out one that is to be refused now. Return: its owner, or NULL; to be
 * called until then, every few milliseconds of those in which answers are to begin */
void *lin_expired (lin_t *lin, uint64_t now_us);
/** lin_may_t - whether the request of @owner may start now */
typedef bool (*lin_may_t) (void *owner, void *context);
/** lin_first() - owner of the request that starts next, or NULL. One that may not start holds up
 * its own account only */
void *lin_first (const lin_t *lin, lin_may_t may, void *context);
/** lin_start() - @item goes to an engine: lin_first(), or one that did not have to wait. Its
 * account is charged for it */
void lin_start (lin_t *lin, uint64_t now_us, lin_item_t *item);
/** lin_wait_us() - expected until @item would start if it were pushed now */
uint64_t lin_wait_us (const lin_t *lin, const lin_room_t *room, const lin_item_t *item);
/** lin_retry_us() - until one that is refused now may hope for room; @wait_us as of lin_push() */
uint64_t lin_retry_us (const lin_t *lin, uint64_t now_us, uint64_t wait_us);
/** lin_is_overloaded() - requests have waited without a break for too long */
bool lin_is_overloaded (const lin_t *lin, uint64_t now_us);
/** lin_odds_milli() - share of first tries that started in time lately, in thousandths */
uint32_t lin_odds_milli (const lin_t *lin);
uint32_t lin_count (const lin_t *lin);
/** lin_count_in_time() - of those that can still be answered in time */
uint32_t lin_count_in_time (const lin_t *lin);

/** lin_note_head() - time from a send to the head of its answer, of a request that an engine ran */
void lin_note_head (lin_t *lin, uint64_t head_us);
/** lin_note_run() - time from a send of @item to the end of its answer, likewise */
void lin_note_run (lin_t *lin, const lin_item_t *item, uint64_t run_us);
/** lin_run_us() - usual time that a request keeps its slot */
uint64_t lin_run_us (const lin_t *lin);
/** lin_head_us() - usual time from a send to the head of its answer */
uint64_t lin_head_us (const lin_t *lin);

/** lin_share_us() - expected until this gateway's share of the slots has done @work_us of work */
uint64_t lin_share_us (const lin_room_t *room, uint64_t work_us);

#endif
