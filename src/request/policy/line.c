#include "request/policy/line.h"

struct lin
{
  fq_t *queue;
  uint64_t run_us;
  uint64_t head_us;
  uint64_t pressed_us; /* since when requests wait without a break */
  uint64_t emptied_us; /* when the last one ceased to wait */
};

lin_t *
lin_new (void)
{
  lin_t *lin = g_new0 (lin_t, 1);

  lin->queue = fq_new (LIN_LIMIT);
  lin->run_us = LIN_RUN_US;
  lin->head_us = LIN_RUN_US;
  return lin;
}

void
lin_free (lin_t *lin)
{
  fq_free (lin->queue);
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

/* An account whose requests run longer than others' is charged for it, or it would have more of the
 * slots by as much. */
void
lin_note_run (lin_t *lin, const lin_item_t *item, uint64_t run_us)
{
  lin->run_us = smooth (lin->run_us, run_us);
  fq_took (lin->queue, &item->fair, run_us / CLK_US_PER_MS);
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
  return fq_count (lin->queue);
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
  uint64_t ahead_us = fq_ahead (lin->queue, &item->fair).cost * CLK_US_PER_MS;

  return lin_share_us (room, ahead_us + lin->run_us);
}

/* What an answer needs at least, and the time until the owner looks again. */
static uint64_t
least_us (const lin_t *lin, const lin_item_t *item)
{
  uint64_t quarter_us = (item->fair.deadline_us - item->arrived_us) / 4;

  return MIN (lin->head_us + LIN_WATCH_US, quarter_us);
}

static bool
is_pressed (const lin_t *lin, uint64_t now_us)
{
  bool waits = fq_count (lin->queue) > 0 || now_us < lin->emptied_us + LIN_CALM_US;

  return waits && now_us >= lin->pressed_us + LIN_PRESSED_US;
}

/* An answer of the usual delay begins in time when it starts by then. Where the engines alone take
 * longer than callers hope for, a first try may still wait a little. */
static uint64_t
in_time_start_us (const lin_t *lin, const lin_item_t *item)
{
  uint64_t start_us = item->in_time_us - MIN (lin->head_us, item->in_time_us);
  uint64_t aim_us = item->in_time_us - MIN (item->arrived_us, item->in_time_us);

  return item->returns ? start_us : MAX (start_us, item->arrived_us + aim_us / LIN_LEAST_PART);
}

/* Return: the latest start of @item that still gains its caller something */
static uint64_t
last_start_us (const lin_t *lin, uint64_t now_us, const lin_item_t *item)
{
  uint64_t last_us = item->fair.deadline_us - least_us (lin, item);

  if (item->in_time_us == 0 || !is_pressed (lin, now_us))
    return last_us;
  return MIN (last_us, in_time_start_us (lin, item));
}

bool
lin_is_late (const lin_t *lin, uint64_t now_us, const lin_item_t *item)
{
  return now_us >= last_start_us (lin, now_us, item);
}

uint64_t
lin_retry_us (const lin_t *lin, uint64_t now_us, uint64_t wait_us)
{
  return is_pressed (lin, now_us) ? MAX (wait_us, now_us - lin->pressed_us) : wait_us;
}

static void
fill (const lin_t *lin, lin_item_t *item)
{
  item->fair.weight = FQ_WEIGHT_ONE;
  item->fair.cost = (uint32_t)((item->run_us ? item->run_us : lin->run_us) / CLK_US_PER_MS) + 1;
  item->fair.queue_limit = LIN_LIMIT;
}

lin_outcome_t
lin_push (lin_t *lin, uint64_t now_us, const lin_room_t *room, lin_item_t *item, uint64_t *wait_us)
{
  g_assert (!item->waiting);
  fill (lin, item);
  fq_set_credit (lin->queue, LIN_CREDIT_MS * room->slots / MAX (room->gateways, 1U));
  item->fair.queued_us = now_us;
  *wait_us = lin_wait_us (lin, room, item);
  if (now_us + *wait_us >= last_start_us (lin, now_us, item))
    return LIN_TOO_LATE;
  if (fq_count (lin->queue) == 0 && now_us >= lin->emptied_us + LIN_CALM_US)
    lin->pressed_us = now_us;
  if (fq_push (lin->queue, &item->fair) != FQ_QUEUED)
    return LIN_FULL;
  item->waiting = true;
  return LIN_WAITS;
}

static void
note_left (lin_t *lin, uint64_t now_us, lin_item_t *item)
{
  item->waiting = false;
  if (fq_count (lin->queue) == 0)
    lin->emptied_us = now_us;
}

void
lin_remove (lin_t *lin, uint64_t now_us, lin_item_t *item)
{
  if (!item->waiting)
    return;
  fq_remove (lin->queue, &item->fair);
  note_left (lin, now_us, item);
}

static bool
is_item (const fq_item_t *item, void *context)
{
  return item == context;
}

/* Also one that found room at once is charged: else an account that had all of the slots would have
 * as much of them again as soon as others wait. */
void
lin_start (lin_t *lin, uint64_t now_us, lin_item_t *item)
{
  if (item->waiting)
    {
      fq_item_t *first = fq_pop_allowed (lin->queue, is_item, &item->fair);

      g_assert (first == &item->fair);
      note_left (lin, now_us, item);
      return;
    }
  fill (lin, item);
  fq_served (lin->queue, &item->fair);
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
  fq_item_t *item = fq_peek_allowed (lin->queue, may_start, &ask);

  return item ? item->owner : NULL;
}
