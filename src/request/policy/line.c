#include "request/policy/line.h"

#define MILLI 1000
/* At most this part (a quarter) of a request's time is kept for a retry elsewhere, so that a
 * request with little time may still wait. */
#define RETRY_RESERVE_DIVISOR 4
/* Mean age of the late starts counted: the half-life divided by the natural logarithm of two. */
#define LATE_MEAN_US (LIN_LATE_HALF_US * 1443 / MILLI)

/**
 * struct lin - the queues of one service
 * @in_time: requests that can still be answered in time
 * @late: requests that can't
 * @run_us: smoothed duration of a request at an engine
 * @head_us: smoothed time from sending a request to its response header
 * @busy_since_us: since when requests have waited without a break
 * @emptied_us: when the last waiting request left the queues
 * @late_starts_milli: starts of late requests, in thousandths, exponentially decayed
 * @decayed_us: the time to which @late_starts_milli is decayed
 * @odds: share of first attempts that started in time
 * @quiet_odds: the same for accounts with credit
 * @scarce: this gateway's share is less than %LIN_SCARCE_SLOTS
 */
struct lin
{
  fq_t *in_time;
  fq_t *late;
  uint64_t run_us;
  uint64_t head_us;
  uint64_t busy_since_us;
  uint64_t emptied_us;
  uint64_t late_starts_milli;
  uint64_t decayed_us;
  priority_fairness_t odds;
  priority_fairness_t quiet_odds;
  bool scarce;
};

lin_t *
lin_new (void)
{
  lin_t *lin = g_new0 (lin_t, 1);

  lin->in_time = fq_new (LIN_LIMIT);
  lin->late = fq_new (LIN_LIMIT);
  lin->run_us = LIN_RUN_US;
  lin->head_us = LIN_RUN_US;
  return lin;
}

void
lin_free (lin_t *lin)
{
  fq_free (lin->in_time);
  fq_free (lin->late);
  g_free (lin);
}

static uint64_t
smooth (uint64_t before_us, uint64_t sample_us)
{
  return (before_us * (LIN_GAIN - 1) + sample_us) / LIN_GAIN;
}

void
lin_note_head (lin_t *lin, uint64_t head_us)
{
  lin->head_us = smooth (lin->head_us, head_us);
}

/* The cast is valid since @fair is the first member. */
static lin_item_t *
item_of (fq_item_t *fair)
{
  return (lin_item_t *)fair;
}

static fq_t *
queue_of (const lin_t *lin, const lin_item_t *item)
{
  return item->late ? lin->late : lin->in_time;
}

/* The account is charged for what exceeds the estimate; otherwise accounts with longer requests
 * would get a larger part of the slots. */
void
lin_note_run (lin_t *lin, const lin_item_t *item, uint64_t run_us)
{
  lin->run_us = smooth (lin->run_us, run_us);
  fq_took (queue_of (lin, item), &item->fair, run_us / CLK_US_PER_MS);
}

uint64_t
lin_run_us (const lin_t *lin)
{
  return lin->run_us;
}

uint64_t
lin_head_us (const lin_t *lin)
{
  return lin->head_us;
}

uint32_t
lin_count (const lin_t *lin)
{
  return fq_count (lin->in_time) + fq_count (lin->late);
}

uint32_t
lin_count_in_time (const lin_t *lin)
{
  return fq_count (lin->in_time);
}

/* The share of a gateway is less than one slot if few engines serve many gateways. */
uint64_t
lin_share_us (const lin_room_t *room, uint64_t work_us)
{
  return work_us * MAX (room->gateways, 1U) / MAX (room->slots, 1U);
}

uint64_t
lin_wait_us (const lin_t *lin, const lin_room_t *room, const lin_item_t *item)
{
  uint64_t ahead_us = fq_ahead (lin->in_time, &item->fair).cost * CLK_US_PER_MS;

  return lin_share_us (room, ahead_us + lin->run_us);
}

bool
lin_is_overloaded (const lin_t *lin, uint64_t now_us)
{
  bool waits = lin_count (lin) > 0 || now_us < lin->emptied_us + LIN_CALM_US;

  return waits && now_us >= lin->busy_since_us + LIN_PRESSED_US;
}

uint32_t
lin_odds_milli (const lin_t *lin)
{
  return priority_fairness_started_milli (&lin->odds);
}

/*
 * The remaining duration of an overload is unknown; it is assumed to be as long as the overload has
 * lasted. Clients that retry sooner would find the same queue and lengthen it by a second burst.
 */
uint64_t
lin_retry_us (const lin_t *lin, uint64_t now_us, uint64_t wait_us)
{
  return lin_is_overloaded (lin, now_us) ? MAX (wait_us, now_us - lin->busy_since_us) : wait_us;
}

/* Return: the latest start for which the response begins before its client is gone */
static uint64_t
last_start_us (const lin_t *lin, const lin_item_t *item)
{
  uint64_t end_us = item->deadline_us;
  uint64_t reserve_us;

  if (item->leaves_us != 0)
    end_us = MIN (end_us, item->leaves_us);
  reserve_us = MIN (lin->head_us + LIN_AGAIN_US,
                    (end_us - MIN (item->arrived_us, end_us)) / RETRY_RESERVE_DIVISOR);
  return end_us - reserve_us;
}

/* Return: the latest start for which the response begins in time */
static uint64_t
in_time_start_us (const lin_t *lin, const lin_item_t *item)
{
  uint64_t last_us = last_start_us (lin, item);
  uint64_t target_us = item->in_time_us - MIN (item->arrived_us, item->in_time_us);
  uint64_t start_us = item->in_time_us - MIN (lin->head_us, item->in_time_us);

  if (item->in_time_us == 0)
    return last_us;
  if (!item->returns)
    start_us = MAX (start_us, item->arrived_us + target_us / LIN_LEAST_PART);
  return MIN (start_us, last_us);
}

static void
decay_late_starts (lin_t *lin, uint64_t now_us)
{
  uint64_t halvings = (now_us - lin->decayed_us) / LIN_LATE_HALF_US;

  if (halvings == 0)
    return;
  lin->late_starts_milli = halvings < 32 ? lin->late_starts_milli >> halvings : 0;
  lin->decayed_us += halvings * LIN_LATE_HALF_US;
}

/* Return: expected time until a late request with @ahead others before it starts */
static uint64_t
late_wait_us (lin_t *lin, uint64_t now_us, uint64_t ahead)
{
  uint64_t wait_us = UINT64_MAX / 2;

  if (!lin_is_overloaded (lin, now_us))
    return 0;
  decay_late_starts (lin, now_us);
  if (lin->late_starts_milli > 0)
    wait_us = (ahead + 1) * LATE_MEAN_US * MILLI / lin->late_starts_milli;
  if (priority_fairness_started_milli (&lin->odds) >= LIN_MILD_MILLI)
    wait_us = MIN (wait_us, now_us - lin->busy_since_us);
  return wait_us;
}

/* Return: whether accounts without credit, which were served more than others, send a large part of
 * the requests */
static bool
is_surge (const lin_t *lin)
{
  return priority_fairness_count_milli (&lin->quiet_odds) * MILLI <
         priority_fairness_count_milli (&lin->odds) * LIN_QUIET_MOST_MILLI;
}

/*
 * If slots are scarce, a gateway has moments in which none of its own requests in time waits, while
 * some wait at other gateways. A late request that started then would take a slot from those: with
 * 22 gateways at six slots, a third of the responses in an overload were late.
 */
static bool
leaves_slots_to_others (const lin_t *lin, uint64_t now_us)
{
  return lin->scarce && !is_surge (lin) && lin_is_overloaded (lin, now_us) &&
         priority_fairness_started_milli (&lin->odds) < LIN_MILD_MILLI;
}

/* Return: whether a late request that arrives now is expected to start by @last_us */
static bool
late_may_start (lin_t *lin, uint64_t now_us, uint64_t last_us)
{
  if (leaves_slots_to_others (lin, now_us))
    return false;
  return now_us + late_wait_us (lin, now_us, fq_count (lin->late)) < last_us;
}

static void
note_odds (lin_t *lin, uint64_t now_us, const lin_item_t *item, bool started)
{
  if (item->returns)
    return;
  priority_fairness_record (&lin->odds, now_us, item->priority, started);
  if (fq_has_credit (lin->in_time, &item->fair))
    priority_fairness_record (&lin->quiet_odds, now_us, item->priority, started);
}

static void
note_wait_begins (lin_t *lin, uint64_t now_us)
{
  if (lin_count (lin) == 0 && now_us >= lin->emptied_us + LIN_CALM_US)
    lin->busy_since_us = now_us;
}

static void
set_fair_queue_fields (const lin_t *lin, lin_item_t *item)
{
  item->fair.weight = FQ_WEIGHT_ONE;
  item->fair.priority = item->priority;
  item->fair.cost = (uint32_t)((item->run_us ? item->run_us : lin->run_us) / CLK_US_PER_MS) + 1;
  item->fair.queue_limit = LIN_LIMIT;
}

/* @until_us: when the item expires from this queue */
static lin_outcome_t
push_into (lin_t *lin, uint64_t now_us, lin_item_t *item, bool late, uint64_t until_us)
{
  item->late = late;
  item->fair.queued_us = now_us;
  item->fair.deadline_us = until_us;
  note_wait_begins (lin, now_us);
  if (fq_push (queue_of (lin, item), &item->fair) != FQ_QUEUED)
    return LIN_FULL;
  item->waiting = true;
  return LIN_WAITS;
}

/* A request of an account with credit is never rejected in favour of other priorities: such an
 * account starts before others, so the counted shares don't apply to it. */
static priority_fairness_decision_t
turn_of (const lin_t *lin, uint64_t now_us, const lin_item_t *item)
{
  priority_fairness_decision_t turn = lin_is_overloaded (lin, now_us)
                                          ? priority_fairness_decide (&lin->odds, item->priority)
                                          : PRIORITY_FAIRNESS_IN_ORDER;

  if (turn == PRIORITY_FAIRNESS_YIELD && fq_has_credit (lin->in_time, &item->fair))
    return PRIORITY_FAIRNESS_IN_ORDER;
  return turn;
}

/* A late request of an account with credit stays in the first queue: behind it, the requests in
 * time of a surging account would take all slots. This isn't done if accounts with credit rarely
 * start in time, or if slots are scarce without a surge: then it would make all requests late. */
static bool
stays_in_first_queue (const lin_t *lin, const lin_item_t *item)
{
  return (!lin->scarce || is_surge (lin)) &&
         priority_fairness_started_milli (&lin->quiet_odds) >= LIN_QUIET_MILLI &&
         fq_has_credit (lin->in_time, &item->fair);
}

static lin_outcome_t
push_late (lin_t *lin, uint64_t now_us, lin_item_t *item)
{
  uint64_t last_us = last_start_us (lin, item);

  if (now_us >= last_us)
    return LIN_TOO_LATE;
  if (stays_in_first_queue (lin, item))
    return push_into (lin, now_us, item, false, last_us);
  if (!late_may_start (lin, now_us, last_us))
    return LIN_TOO_LATE;
  return push_into (lin, now_us, item, true, last_us);
}

lin_outcome_t
lin_push (lin_t *lin, uint64_t now_us, const lin_room_t *room, lin_item_t *item, uint64_t *wait_us)
{
  uint64_t in_time_us = in_time_start_us (lin, item);
  uint64_t last_us = last_start_us (lin, item);
  priority_fairness_decision_t turn;
  bool late;

  g_assert (!item->waiting);
  lin->scarce = room->slots < (uint64_t)room->gateways * LIN_SCARCE_SLOTS;
  set_fair_queue_fields (lin, item);
  turn = turn_of (lin, now_us, item);
  if (turn == PRIORITY_FAIRNESS_FIRST)
    item->fair.priority = 0;
  fq_set_credit (lin->in_time, LIN_CREDIT_MS * room->slots / MAX (room->gateways, 1U));
  item->late = false;
  *wait_us = lin_wait_us (lin, room, item);
  if (now_us + *wait_us >= last_us)
    return LIN_TOO_LATE;
  late = now_us >= in_time_us || turn == PRIORITY_FAIRNESS_YIELD ||
         (lin_is_overloaded (lin, now_us) && now_us + *wait_us >= in_time_us);
  if (late)
    note_odds (lin, now_us, item, false);
  return late ? push_late (lin, now_us, item) : push_into (lin, now_us, item, false, in_time_us);
}

bool
lin_push_behind (lin_t *lin, uint64_t now_us, lin_item_t *item, uint64_t wait_us)
{
  uint64_t until_us = last_start_us (lin, item);

  g_assert (!item->waiting);
  set_fair_queue_fields (lin, item);
  if (wait_us >= until_us - MIN (now_us, until_us) || !late_may_start (lin, now_us, until_us))
    return false;
  return push_into (lin, now_us, item, true, until_us) == LIN_WAITS;
}

static void
note_wait_ends (lin_t *lin, uint64_t now_us, lin_item_t *item)
{
  item->waiting = false;
  if (lin_count (lin) == 0)
    lin->emptied_us = now_us;
}

void
lin_remove (lin_t *lin, uint64_t now_us, lin_item_t *item)
{
  if (!item->waiting)
    return;
  fq_remove (queue_of (lin, item), &item->fair);
  note_wait_ends (lin, now_us, item);
}

/* Queues @item, which can no longer be answered in time, with the late ones. Return: false if it
 * has to be rejected */
static bool
requeue_late (lin_t *lin, uint64_t now_us, lin_item_t *item)
{
  item->waiting = false;
  note_odds (lin, now_us, item, false);
  return push_late (lin, now_us, item) == LIN_WAITS;
}

static void *
remove_rejected (lin_t *lin, uint64_t now_us, fq_item_t *fair)
{
  note_wait_ends (lin, now_us, item_of (fair));
  return fair->owner;
}

void *
lin_expired (lin_t *lin, uint64_t now_us)
{
  fq_item_t *fair;

  while ((fair = fq_expired (lin->in_time, now_us)))
    if (!requeue_late (lin, now_us, item_of (fair)))
      return remove_rejected (lin, now_us, fair);
  fair = fq_expired (lin->late, now_us + late_wait_us (lin, now_us, 0));
  return fair ? remove_rejected (lin, now_us, fair) : NULL;
}

static bool
is_same_item (const fq_item_t *item, void *context)
{
  return item == context;
}

static void
note_late_start (lin_t *lin, uint64_t now_us)
{
  decay_late_starts (lin, now_us);
  lin->late_starts_milli += MILLI;
}

/* A request that starts without waiting is charged too: otherwise an account that used all slots
 * until now would count as one that was served little as soon as others wait. */
void
lin_start (lin_t *lin, uint64_t now_us, lin_item_t *item)
{
  if (item->waiting)
    {
      fq_item_t *first = fq_pop_allowed (queue_of (lin, item), is_same_item, &item->fair);

      g_assert (first == &item->fair);
      if (item->late)
        note_late_start (lin, now_us);
      else
        note_odds (lin, now_us, item, true);
      note_wait_ends (lin, now_us, item);
      return;
    }
  note_odds (lin, now_us, item, true);
  set_fair_queue_fields (lin, item);
  fq_served (lin->in_time, &item->fair);
}

/** struct start_check - the owner's callback that decides whether a request may start */
typedef struct
{
  lin_may_t may;
  void *context;
} start_check_t;

static bool
may_start (const fq_item_t *item, void *context)
{
  const start_check_t *check = context;

  return check->may (item->owner, check->context);
}

void *
lin_first (const lin_t *lin, lin_may_t may, void *context)
{
  start_check_t check = { may, context };
  fq_item_t *item = fq_peek_allowed (lin->in_time, may_start, &check);

  if (!item)
    item = fq_peek_allowed (lin->late, may_start, &check);
  return item ? item->owner : NULL;
}
