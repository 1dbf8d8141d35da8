#include "request/policy/line.h"

#define MILLI 1000
#define LATE_MEAN_US (LIN_LATE_HALF_US * 1443 / MILLI) /* a half-life over the logarithm of two */

/**
 * struct lin - the line of a service
 * @in_time, @late: the two queues
 * @run_us, @head_us: usual times, smoothed
 * @pressed_us: since when requests wait without a break
 * @emptied_us: when the last one ceased to wait
 * @late_starts_milli: starts of late requests, in thousandths, what is older counting less, as of
 *   @late_at_us
 * @scarce: this gateway's share is a few slots or less
 * @odds, @quiet_odds: of first tries, and of those of accounts that have credit
 */
struct lin
{
  fq_t *in_time;
  fq_t *late;
  uint64_t run_us;
  uint64_t head_us;
  uint64_t pressed_us;
  uint64_t emptied_us;
  uint64_t late_starts_milli;
  uint64_t late_at_us;
  odd_t odds;
  odd_t quiet_odds;
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

/* @fair is the first member. */
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

/* An account whose requests run longer than others' is charged for it, or it would have more of the
 * slots by as much. */
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

/* A gateway gets its share of the slots that come free, which is less than one slot where few
 * engines serve many gateways. */
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

  return waits && now_us >= lin->pressed_us + LIN_PRESSED_US;
}

uint32_t
lin_odds_milli (const lin_t *lin)
{
  return odd_share_milli (&lin->odds);
}

/*
 * How long an overload still lasts nobody knows; the best guess is as long again as it has lasted.
 * Who comes back sooner finds the same line, and as a second burst makes it longer.
 */
uint64_t
lin_retry_us (const lin_t *lin, uint64_t now_us, uint64_t wait_us)
{
  return lin_is_overloaded (lin, now_us) ? MAX (wait_us, now_us - lin->pressed_us) : wait_us;
}

/* Return: the latest start after which an answer still begins before its caller is gone */
static uint64_t
last_start_us (const lin_t *lin, const lin_item_t *item)
{
  uint64_t end_us = item->deadline_us;
  uint64_t least_us;

  if (item->leaves_us != 0)
    end_us = MIN (end_us, item->leaves_us);
  least_us = MIN (lin->head_us + LIN_AGAIN_US, (end_us - MIN (item->arrived_us, end_us)) / 4);
  return end_us - least_us;
}

/* Return: the latest start after which an answer still begins in time */
static uint64_t
in_time_start_us (const lin_t *lin, const lin_item_t *item)
{
  uint64_t last_us = last_start_us (lin, item);
  uint64_t aim_us = item->in_time_us - MIN (item->arrived_us, item->in_time_us);
  uint64_t start_us = item->in_time_us - MIN (lin->head_us, item->in_time_us);

  if (item->in_time_us == 0)
    return last_us;
  if (!item->returns)
    start_us = MAX (start_us, item->arrived_us + aim_us / LIN_LEAST_PART);
  return MIN (start_us, last_us);
}

static void
fade_late (lin_t *lin, uint64_t now_us)
{
  uint64_t halvings = (now_us - lin->late_at_us) / LIN_LATE_HALF_US;

  if (halvings == 0)
    return;
  lin->late_starts_milli = halvings < 32 ? lin->late_starts_milli >> halvings : 0;
  lin->late_at_us += halvings * LIN_LATE_HALF_US;
}

/* Return: expected until late requests start of which @ahead come first */
static uint64_t
late_wait_us (lin_t *lin, uint64_t now_us, uint64_t ahead)
{
  uint64_t wait_us = UINT64_MAX / 2;

  if (!lin_is_overloaded (lin, now_us))
    return 0;
  fade_late (lin, now_us);
  if (lin->late_starts_milli > 0)
    wait_us = (ahead + 1) * LATE_MEAN_US * MILLI / lin->late_starts_milli;
  if (odd_share_milli (&lin->odds) >= LIN_MILD_MILLI)
    wait_us = MIN (wait_us, now_us - lin->pressed_us);
  return wait_us;
}

/* Return: whether some accounts have had so much that most of what comes is theirs */
static bool
is_surge_of_few (const lin_t *lin)
{
  return odd_asked_milli (&lin->quiet_odds) * MILLI <
         odd_asked_milli (&lin->odds) * LIN_QUIET_MOST_MILLI;
}

/*
 * Where a gateway's share is a few slots or less, it has moments without requests in time while
 * they wait at others; a late one that took the slot then would take it from them. 22 gateways at
 * six slots gave late ones a third of the answers of an overload so.
 */
static bool
is_for_others (const lin_t *lin, uint64_t now_us)
{
  return lin->scarce && !is_surge_of_few (lin) && lin_is_overloaded (lin, now_us) &&
         odd_share_milli (&lin->odds) < LIN_MILD_MILLI;
}

/* Whether a late request that comes now may hope to start by @last_us. */
static bool
late_may_start (lin_t *lin, uint64_t now_us, uint64_t last_us)
{
  if (is_for_others (lin, now_us))
    return false;
  return now_us + late_wait_us (lin, now_us, fq_count (lin->late)) < last_us;
}

static void
note_odds (lin_t *lin, uint64_t now_us, const lin_item_t *item, bool started)
{
  if (item->returns)
    return;
  odd_note (&lin->odds, now_us, item->priority, started);
  if (fq_has_credit (lin->in_time, &item->fair))
    odd_note (&lin->quiet_odds, now_us, item->priority, started);
}

static void
note_waits (lin_t *lin, uint64_t now_us)
{
  if (lin_count (lin) == 0 && now_us >= lin->emptied_us + LIN_CALM_US)
    lin->pressed_us = now_us;
}

static void
fill (const lin_t *lin, lin_item_t *item)
{
  item->fair.weight = FQ_WEIGHT_ONE;
  item->fair.priority = item->priority;
  item->fair.cost = (uint32_t)((item->run_us ? item->run_us : lin->run_us) / CLK_US_PER_MS) + 1;
  item->fair.queue_limit = LIN_LIMIT;
}

/* @until_us: when it is looked at again */
static lin_outcome_t
push_into (lin_t *lin, uint64_t now_us, lin_item_t *item, bool late, uint64_t until_us)
{
  item->late = late;
  item->fair.queued_us = now_us;
  item->fair.deadline_us = until_us;
  note_waits (lin, now_us);
  if (fq_push (queue_of (lin, item), &item->fair) != FQ_QUEUED)
    return LIN_FULL;
  item->waiting = true;
  return LIN_WAITS;
}

/* An account that had less than others gives way to none: its odds are not those of the rest. */
static odd_turn_t
turn_of (const lin_t *lin, uint64_t now_us, const lin_item_t *item)
{
  odd_turn_t turn =
      lin_is_overloaded (lin, now_us) ? odd_turn (&lin->odds, item->priority) : ODD_IN_TURN;

  if (turn == ODD_GIVES_WAY && fq_has_credit (lin->in_time, &item->fair))
    return ODD_IN_TURN;
  return turn;
}

/* One of an account that had less than others keeps its place: those of an account that surges, in
 * time as they are, would take all slots from it. Where many accounts surge together, or all have
 * little, that would make all of them late. */
static bool
keeps_place (const lin_t *lin, const lin_item_t *item)
{
  return (!lin->scarce || is_surge_of_few (lin)) &&
         odd_share_milli (&lin->quiet_odds) >= LIN_QUIET_MILLI &&
         fq_has_credit (lin->in_time, &item->fair);
}

static lin_outcome_t
push_late (lin_t *lin, uint64_t now_us, lin_item_t *item)
{
  uint64_t last_us = last_start_us (lin, item);

  if (now_us >= last_us)
    return LIN_TOO_LATE;
  if (keeps_place (lin, item))
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
  odd_turn_t turn;
  bool late;

  g_assert (!item->waiting);
  lin->scarce = room->slots < (uint64_t)room->gateways * LIN_SCARCE_SLOTS;
  fill (lin, item);
  turn = turn_of (lin, now_us, item);
  if (turn == ODD_FIRST)
    item->fair.priority = 0;
  fq_set_credit (lin->in_time, LIN_CREDIT_MS * room->slots / MAX (room->gateways, 1U));
  item->late = false;
  *wait_us = lin_wait_us (lin, room, item);
  if (now_us + *wait_us >= last_us)
    return LIN_TOO_LATE;
  late = now_us >= in_time_us || turn == ODD_GIVES_WAY ||
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
  fill (lin, item);
  if (wait_us >= until_us - MIN (now_us, until_us) || !late_may_start (lin, now_us, until_us))
    return false;
  return push_into (lin, now_us, item, true, until_us) == LIN_WAITS;
}

static void
note_left (lin_t *lin, uint64_t now_us, lin_item_t *item)
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
  note_left (lin, now_us, item);
}

/* Return: whether @item, which can't be answered in time any more, waits on */
static bool
wait_on (lin_t *lin, uint64_t now_us, lin_item_t *item)
{
  item->waiting = false;
  note_odds (lin, now_us, item, false);
  return push_late (lin, now_us, item) == LIN_WAITS;
}

static void *
refuse (lin_t *lin, uint64_t now_us, fq_item_t *fair)
{
  note_left (lin, now_us, item_of (fair));
  return fair->owner;
}

void *
lin_expired (lin_t *lin, uint64_t now_us)
{
  fq_item_t *fair;

  while ((fair = fq_expired (lin->in_time, now_us)))
    if (!wait_on (lin, now_us, item_of (fair)))
      return refuse (lin, now_us, fair);
  fair = fq_expired (lin->late, now_us + late_wait_us (lin, now_us, 0));
  return fair ? refuse (lin, now_us, fair) : NULL;
}

static bool
is_item (const fq_item_t *item, void *context)
{
  return item == context;
}

static void
note_late_start (lin_t *lin, uint64_t now_us)
{
  fade_late (lin, now_us);
  lin->late_starts_milli += MILLI;
}

/* Also one that found room at once is charged: else an account that had all of the slots would have
 * as much of them again as soon as others wait. */
void
lin_start (lin_t *lin, uint64_t now_us, lin_item_t *item)
{
  if (item->waiting)
    {
      fq_item_t *first = fq_pop_allowed (queue_of (lin, item), is_item, &item->fair);

      g_assert (first == &item->fair);
      if (item->late)
        note_late_start (lin, now_us);
      else
        note_odds (lin, now_us, item, true);
      note_left (lin, now_us, item);
      return;
    }
  note_odds (lin, now_us, item, true);
  fill (lin, item);
  fq_served (lin->in_time, &item->fair);
}

/** struct ask - the owner's answer to whether a request may start */
typedef struct
{
  lin_may_t may;
  void *context;
} ask_t;

static bool
may_start (const fq_item_t *item, void *context)
{
  const ask_t *ask = context;

  return ask->may (item->owner, ask->context);
}

void *
lin_first (const lin_t *lin, lin_may_t may, void *context)
{
  ask_t ask = { may, context };
  fq_item_t *item = fq_peek_allowed (lin->in_time, may_start, &ask);

  if (!item)
    item = fq_peek_allowed (lin->late, may_start, &ask);
  return item ? item->owner : NULL;
}
