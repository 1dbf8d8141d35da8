#include "request/policy/queueing/wait_queue.h"

#define MILLI 1000
/* At most this part (a quarter) of a request's time is kept for a retry elsewhere, so that a
 * request with little time may still wait. */
#define RETRY_RESERVE_DIVISOR 4
/* Mean age of the late starts counted: the half-life divided by the natural logarithm of two. */
#define LATE_MEAN_US (WAIT_QUEUE_LATE_HALF_LIFE_US * 1443 / MILLI)

/**
 * struct wait_queue - the queues of one service
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
 * @scarce: this gateway's share is less than %WAIT_QUEUE_SCARCE_SLOTS
 * @held: requests that must not be rejected, wait_queue_item_t, the oldest first
 */
struct wait_queue
{
  fair_queue_t *in_time;
  fair_queue_t *late;
  GQueue held;
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

wait_queue_t *
wait_queue_new (void)
{
  wait_queue_t *wait_queue = g_new0 (wait_queue_t, 1);

  wait_queue->in_time = fair_queue_new (WAIT_QUEUE_LIMIT);
  wait_queue->late = fair_queue_new (WAIT_QUEUE_LIMIT);
  g_queue_init (&wait_queue->held);
  wait_queue->run_us = WAIT_QUEUE_DEFAULT_RUN_US;
  wait_queue->head_us = WAIT_QUEUE_DEFAULT_RUN_US;
  return wait_queue;
}

void
wait_queue_free (wait_queue_t *wait_queue)
{
  fair_queue_free (wait_queue->in_time);
  fair_queue_free (wait_queue->late);
  g_queue_clear (&wait_queue->held);
  g_free (wait_queue);
}

static uint64_t
smooth (uint64_t before_us, uint64_t sample_us)
{
  return (before_us * (WAIT_QUEUE_SMOOTHING - 1) + sample_us) / WAIT_QUEUE_SMOOTHING;
}

void
wait_queue_note_head (wait_queue_t *wait_queue, uint64_t head_us)
{
  wait_queue->head_us = smooth (wait_queue->head_us, head_us);
}

/* The cast is valid since @fair_entry is the first member. */
static wait_queue_item_t *
item_of (fair_queue_item_t *fair)
{
  return (wait_queue_item_t *)fair;
}

static fair_queue_t *
queue_of (const wait_queue_t *wait_queue, const wait_queue_item_t *item)
{
  return item->is_late ? wait_queue->late : wait_queue->in_time;
}

/* The account is charged for what exceeds the estimate; otherwise accounts with longer requests
 * would get a larger part of the slots. */
void
wait_queue_note_run (wait_queue_t *wait_queue, const wait_queue_item_t *item, uint64_t run_us)
{
  wait_queue->run_us = smooth (wait_queue->run_us, run_us);
  fair_queue_charge_excess (queue_of (wait_queue, item), &item->fair_entry,
                            run_us / CLOCK_US_PER_MS);
}

uint64_t
wait_queue_run_us (const wait_queue_t *wait_queue)
{
  return wait_queue->run_us;
}

uint64_t
wait_queue_head_us (const wait_queue_t *wait_queue)
{
  return wait_queue->head_us;
}

uint32_t
wait_queue_count (const wait_queue_t *wait_queue)
{
  return fair_queue_count (wait_queue->in_time) + fair_queue_count (wait_queue->late);
}

uint32_t
wait_queue_count_in_time (const wait_queue_t *wait_queue)
{
  return fair_queue_count (wait_queue->in_time);
}

/* The share of a gateway is less than one slot if few engines serve many gateways. */
uint64_t
wait_queue_share_us (const wait_queue_capacity_t *room, uint64_t work_us)
{
  return work_us * MAX (room->gateways, 1U) / MAX (room->slots, 1U);
}

uint64_t
wait_queue_wait_us (const wait_queue_t *wait_queue,
                    const wait_queue_capacity_t *room,
                    const wait_queue_item_t *item)
{
  uint64_t ahead_us =
      fair_queue_ahead (wait_queue->in_time, &item->fair_entry).cost * CLOCK_US_PER_MS;

  return wait_queue_share_us (room, ahead_us + wait_queue->run_us);
}

bool
wait_queue_is_overloaded (const wait_queue_t *wait_queue, uint64_t now_us)
{
  bool waits =
      wait_queue_count (wait_queue) > 0 || now_us < wait_queue->emptied_us + WAIT_QUEUE_CALM_US;

  return waits && now_us >= wait_queue->busy_since_us + WAIT_QUEUE_OVERLOAD_US;
}

uint32_t
wait_queue_in_time_milli (const wait_queue_t *wait_queue)
{
  return priority_fairness_started_milli (&wait_queue->odds);
}

/*
 * The remaining duration of an overload is unknown; it is assumed to be as long as the overload has
 * lasted. Clients that retry sooner would find the same queue and lengthen it by a second burst.
 */
uint64_t
wait_queue_retry_us (const wait_queue_t *wait_queue, uint64_t now_us, uint64_t wait_us)
{
  return wait_queue_is_overloaded (wait_queue, now_us)
             ? MAX (wait_us, now_us - wait_queue->busy_since_us)
             : wait_us;
}

/* Return: the latest start for which the response begins before its client is gone */
static uint64_t
last_start_us (const wait_queue_t *wait_queue, const wait_queue_item_t *item)
{
  uint64_t end_us = item->deadline_us;
  uint64_t reserve_us;

  if (item->client_gives_up_us != 0)
    end_us = MIN (end_us, item->client_gives_up_us);
  reserve_us = MIN (wait_queue->head_us + WAIT_QUEUE_CLIENT_RETRY_US,
                    (end_us - MIN (item->arrived_us, end_us)) / RETRY_RESERVE_DIVISOR);
  return end_us - reserve_us;
}

/* Return: the latest start for which the response begins in time */
static uint64_t
in_time_start_us (const wait_queue_t *wait_queue, const wait_queue_item_t *item)
{
  uint64_t last_us = last_start_us (wait_queue, item);
  uint64_t target_us = item->target_us - MIN (item->arrived_us, item->target_us);
  uint64_t start_us = item->target_us - MIN (wait_queue->head_us, item->target_us);

  if (item->target_us == 0)
    return last_us;
  if (!item->is_retry)
    start_us = MAX (start_us, item->arrived_us + target_us / WAIT_QUEUE_MIN_WAIT_DIVISOR);
  return MIN (start_us, last_us);
}

static void
decay_late_starts (wait_queue_t *wait_queue, uint64_t now_us)
{
  uint64_t halvings = (now_us - wait_queue->decayed_us) / WAIT_QUEUE_LATE_HALF_LIFE_US;

  if (halvings == 0)
    return;
  wait_queue->late_starts_milli = halvings < 32 ? wait_queue->late_starts_milli >> halvings : 0;
  wait_queue->decayed_us += halvings * WAIT_QUEUE_LATE_HALF_LIFE_US;
}

/* Return: expected time until a late request with @ahead others before it starts */
static uint64_t
late_wait_us (wait_queue_t *wait_queue, uint64_t now_us, uint64_t ahead)
{
  uint64_t wait_us = UINT64_MAX / 2;

  if (!wait_queue_is_overloaded (wait_queue, now_us))
    return 0;
  decay_late_starts (wait_queue, now_us);
  if (wait_queue->late_starts_milli > 0)
    wait_us = (ahead + 1) * LATE_MEAN_US * MILLI / wait_queue->late_starts_milli;
  if (priority_fairness_started_milli (&wait_queue->odds) >= WAIT_QUEUE_MILD_OVERLOAD_MILLI)
    wait_us = MIN (wait_us, now_us - wait_queue->busy_since_us);
  return wait_us;
}

/* Return: whether accounts without credit, which were served more than others, send a large part of
 * the requests */
static bool
is_surge (const wait_queue_t *wait_queue)
{
  return priority_fairness_count_milli (&wait_queue->quiet_odds) * MILLI <
         priority_fairness_count_milli (&wait_queue->odds) * WAIT_QUEUE_NO_SURGE_MILLI;
}

/*
 * If slots are scarce, a gateway has moments in which none of its own requests in time waits, while
 * some wait at other gateways. A late request that started then would take a slot from those: with
 * 22 gateways at six slots, a third of the responses in an overload were late.
 */
static bool
leaves_slots_to_others (const wait_queue_t *wait_queue, uint64_t now_us)
{
  return wait_queue->scarce && !is_surge (wait_queue) &&
         wait_queue_is_overloaded (wait_queue, now_us) &&
         priority_fairness_started_milli (&wait_queue->odds) < WAIT_QUEUE_MILD_OVERLOAD_MILLI;
}

/* Return: whether a late request that arrives now is expected to start by @last_us */
static bool
late_may_start (wait_queue_t *wait_queue, uint64_t now_us, uint64_t last_us)
{
  if (leaves_slots_to_others (wait_queue, now_us))
    return false;
  return now_us + late_wait_us (wait_queue, now_us, fair_queue_count (wait_queue->late)) < last_us;
}

static void
note_odds (wait_queue_t *wait_queue, uint64_t now_us, const wait_queue_item_t *item, bool started)
{
  if (item->is_retry)
    return;
  priority_fairness_record (&wait_queue->odds, now_us, item->priority, started);
  if (fair_queue_has_credit (wait_queue->in_time, &item->fair_entry))
    priority_fairness_record (&wait_queue->quiet_odds, now_us, item->priority, started);
}

static void
note_wait_begins (wait_queue_t *wait_queue, uint64_t now_us)
{
  if (wait_queue_count (wait_queue) == 0 && now_us >= wait_queue->emptied_us + WAIT_QUEUE_CALM_US)
    wait_queue->busy_since_us = now_us;
}

static void
set_fair_queue_fields (const wait_queue_t *wait_queue, wait_queue_item_t *item)
{
  item->fair_entry.weight = FAIR_QUEUE_WEIGHT_ONE;
  item->fair_entry.priority = item->priority;
  item->fair_entry.cost =
      (uint32_t)((item->run_us ? item->run_us : wait_queue->run_us) / CLOCK_US_PER_MS) + 1;
  item->fair_entry.queue_limit = WAIT_QUEUE_LIMIT;
}

/* @until_us: when the item expires from this queue */
static wait_queue_outcome_t
push_into (wait_queue_t *wait_queue,
           uint64_t now_us,
           wait_queue_item_t *item,
           bool late,
           uint64_t until_us)
{
  item->is_late = late;
  item->fair_entry.queued_us = now_us;
  item->fair_entry.deadline_us = until_us;
  note_wait_begins (wait_queue, now_us);
  if (fair_queue_push (queue_of (wait_queue, item), &item->fair_entry) != FAIR_QUEUE_QUEUED)
    return WAIT_QUEUE_FULL;
  item->waiting = true;
  return WAIT_QUEUE_QUEUED;
}

/* A request of an account with credit is never rejected in favour of other priorities: such an
 * account starts before others, so the counted shares don't apply to it. */
static priority_fairness_decision_t
turn_of (const wait_queue_t *wait_queue, uint64_t now_us, const wait_queue_item_t *item)
{
  priority_fairness_decision_t turn =
      wait_queue_is_overloaded (wait_queue, now_us)
          ? priority_fairness_decide (&wait_queue->odds, item->priority)
          : PRIORITY_FAIRNESS_IN_ORDER;

  if (turn == PRIORITY_FAIRNESS_YIELD &&
      fair_queue_has_credit (wait_queue->in_time, &item->fair_entry))
    return PRIORITY_FAIRNESS_IN_ORDER;
  return turn;
}

/* A late request of an account with credit stays in the first queue: behind it, the requests in
 * time of a surging account would take all slots. This isn't done if accounts with credit rarely
 * start in time, or if slots are scarce without a surge: then it would make all requests late. */
static bool
stays_in_first_queue (const wait_queue_t *wait_queue, const wait_queue_item_t *item)
{
  return (!wait_queue->scarce || is_surge (wait_queue)) &&
         priority_fairness_started_milli (&wait_queue->quiet_odds) >=
             WAIT_QUEUE_CREDIT_IN_TIME_MILLI &&
         fair_queue_has_credit (wait_queue->in_time, &item->fair_entry);
}

static wait_queue_outcome_t
push_late (wait_queue_t *wait_queue, uint64_t now_us, wait_queue_item_t *item)
{
  uint64_t last_us = last_start_us (wait_queue, item);

  if (now_us >= last_us)
    return WAIT_QUEUE_TOO_LATE;
  if (stays_in_first_queue (wait_queue, item))
    return push_into (wait_queue, now_us, item, false, last_us);
  if (!late_may_start (wait_queue, now_us, last_us))
    return WAIT_QUEUE_TOO_LATE;
  return push_into (wait_queue, now_us, item, true, last_us);
}

wait_queue_outcome_t
wait_queue_push (wait_queue_t *wait_queue,
                 uint64_t now_us,
                 const wait_queue_capacity_t *room,
                 wait_queue_item_t *item,
                 uint64_t *wait_us)
{
  uint64_t in_time_us = in_time_start_us (wait_queue, item);
  uint64_t last_us = last_start_us (wait_queue, item);
  priority_fairness_decision_t turn;
  bool late;

  g_assert (!item->waiting);
  wait_queue->scarce = room->slots < (uint64_t)room->gateways * WAIT_QUEUE_SCARCE_SLOTS;
  set_fair_queue_fields (wait_queue, item);
  turn = turn_of (wait_queue, now_us, item);
  if (turn == PRIORITY_FAIRNESS_FIRST)
    item->fair_entry.priority = 0;
  fair_queue_set_credit (wait_queue->in_time,
                         WAIT_QUEUE_CREDIT_MS * room->slots / MAX (room->gateways, 1U));
  item->is_late = false;
  *wait_us = wait_queue_wait_us (wait_queue, room, item);
  if (now_us + *wait_us >= last_us)
    return WAIT_QUEUE_TOO_LATE;
  late = now_us >= in_time_us || turn == PRIORITY_FAIRNESS_YIELD ||
         (wait_queue_is_overloaded (wait_queue, now_us) && now_us + *wait_us >= in_time_us);
  if (late)
    note_odds (wait_queue, now_us, item, false);
  return late ? push_late (wait_queue, now_us, item)
              : push_into (wait_queue, now_us, item, false, in_time_us);
}

bool
wait_queue_push_delayed (wait_queue_t *wait_queue,
                         uint64_t now_us,
                         wait_queue_item_t *item,
                         uint64_t wait_us)
{
  uint64_t until_us = last_start_us (wait_queue, item);

  g_assert (!item->waiting);
  set_fair_queue_fields (wait_queue, item);
  if (wait_us >= until_us - MIN (now_us, until_us) ||
      !late_may_start (wait_queue, now_us, until_us))
    return false;
  return push_into (wait_queue, now_us, item, true, until_us) == WAIT_QUEUE_QUEUED;
}

bool
wait_queue_push_held (wait_queue_t *wait_queue, uint64_t now_us, wait_queue_item_t *item)
{
  g_assert (!item->waiting);
  if (g_queue_get_length (&wait_queue->held) >= WAIT_QUEUE_LIMIT)
    return false;
  set_fair_queue_fields (wait_queue, item);
  item->is_late = true;
  item->is_held = true;
  item->waiting = true;
  item->fair_entry.queued_us = now_us;
  g_queue_push_tail (&wait_queue->held, item);
  return true;
}

static void
note_wait_ends (wait_queue_t *wait_queue, uint64_t now_us, wait_queue_item_t *item)
{
  item->waiting = false;
  if (wait_queue_count (wait_queue) == 0)
    wait_queue->emptied_us = now_us;
}

static void
remove_held (wait_queue_t *wait_queue, wait_queue_item_t *item)
{
  g_queue_remove (&wait_queue->held, item);
  item->is_held = false;
  item->waiting = false;
}

void
wait_queue_remove (wait_queue_t *wait_queue, uint64_t now_us, wait_queue_item_t *item)
{
  if (!item->waiting)
    return;
  if (item->is_held)
    {
      remove_held (wait_queue, item);
      return;
    }
  fair_queue_remove (queue_of (wait_queue, item), &item->fair_entry);
  note_wait_ends (wait_queue, now_us, item);
}

/* Queues @item, which can no longer be answered in time, with the late ones. Return: false if it
 * has to be rejected */
static bool
requeue_late (wait_queue_t *wait_queue, uint64_t now_us, wait_queue_item_t *item)
{
  item->waiting = false;
  note_odds (wait_queue, now_us, item, false);
  return push_late (wait_queue, now_us, item) == WAIT_QUEUE_QUEUED;
}

static void *
remove_rejected (wait_queue_t *wait_queue, uint64_t now_us, fair_queue_item_t *fair)
{
  note_wait_ends (wait_queue, now_us, item_of (fair));
  return fair->owner;
}

void *
wait_queue_pop_expired (wait_queue_t *wait_queue, uint64_t now_us)
{
  fair_queue_item_t *fair;

  while ((fair = fair_queue_pop_expired (wait_queue->in_time, now_us)))
    if (!requeue_late (wait_queue, now_us, item_of (fair)))
      return remove_rejected (wait_queue, now_us, fair);
  fair = fair_queue_pop_expired (wait_queue->late, now_us + late_wait_us (wait_queue, now_us, 0));
  return fair ? remove_rejected (wait_queue, now_us, fair) : NULL;
}

static bool
is_same_item (const fair_queue_item_t *item, void *context)
{
  return item == context;
}

static void
note_late_start (wait_queue_t *wait_queue, uint64_t now_us)
{
  decay_late_starts (wait_queue, now_us);
  wait_queue->late_starts_milli += MILLI;
}

/* A request that starts without waiting is charged too: otherwise an account that used all slots
 * until now would count as one that was served little as soon as others wait. */
void
wait_queue_start (wait_queue_t *wait_queue, uint64_t now_us, wait_queue_item_t *item)
{
  if (item->waiting && item->is_held)
    remove_held (wait_queue, item);
  if (item->waiting)
    {
      fair_queue_item_t *first =
          fair_queue_pop_allowed (queue_of (wait_queue, item), is_same_item, &item->fair_entry);

      g_assert (first == &item->fair_entry);
      if (item->is_late)
        note_late_start (wait_queue, now_us);
      else
        note_odds (wait_queue, now_us, item, true);
      note_wait_ends (wait_queue, now_us, item);
      return;
    }
  note_odds (wait_queue, now_us, item, true);
  set_fair_queue_fields (wait_queue, item);
  fair_queue_charge (wait_queue->in_time, &item->fair_entry);
}

/** struct start_check - the owner's callback that decides whether a request may start */
typedef struct
{
  wait_queue_may_start_t may;
  void *context;
} start_check_t;

static bool
may_start (const fair_queue_item_t *item, void *context)
{
  const start_check_t *check = context;

  return check->may (item->owner, check->context);
}

void *
wait_queue_first (const wait_queue_t *wait_queue, wait_queue_may_start_t may, void *context)
{
  start_check_t check = { may, context };
  fair_queue_item_t *item;

  for (const GList *link = wait_queue->held.head; link; link = link->next)
    {
      const wait_queue_item_t *held = link->data;

      if (may_start (&held->fair_entry, &check))
        return held->fair_entry.owner;
    }
  item = fair_queue_peek_allowed (wait_queue->in_time, may_start, &check);

  if (!item)
    item = fair_queue_peek_allowed (wait_queue->late, may_start, &check);
  return item ? item->owner : NULL;
}
