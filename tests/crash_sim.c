#include "crash_sim.h"

#define MS_US UINT64_C (1000)
#define S_US UINT64_C (1000000)
#define LIFETIME_US (600 * S_US)
#define DELAY_MIN_US 500
#define DELAY_MAX_US 5000
#define LOST_MESSAGES_PERCENT 2
#define INTERVAL_MS 500 /* of the regular messages of a gateway */
#define REVIEW_MS 100
#define FANOUT 3
#define OWNERS 2
#define MESSAGE_PARTS 2
/* messages a second that the byte budget of a gateway allows */
#define BUDGET_MESSAGES 10
/* First crashes are told while this much of the budget is left. */
#define SPARE_MESSAGES (BUDGET_MESSAGES * 3 / 4)

typedef struct
{
  crash_record_t *record;
  double budget;
  uint64_t budget_us;
} gateway_t;

typedef struct
{
  uint64_t at_us;
  crash_sim_handler_t handler;
  void *data;
} event_t;

/** struct message - @is_call: it is to be answered */
typedef struct
{
  uint32_t from;
  uint32_t to;
  crash_mark_t marks[MESSAGE_PARTS];
  uint32_t mark_count;
  bool is_call;
} message_t;

struct crash_sim
{
  crash_sim_options_t options;
  gateway_t *gateways;
  GSequence *events;
  GRand *rand;
  uint64_t now_us;
};

static gint
compare_events (gconstpointer a, gconstpointer b, gpointer context)
{
  const event_t *left = a;
  const event_t *right = b;

  (void)context;
  return left->at_us < right->at_us ? -1 : left->at_us > right->at_us;
}

static void
free_event (gpointer data)
{
  event_t *event = data;

  g_free (event->data);
  g_free (event);
}

void
crash_sim_schedule (crash_sim_t *sim, uint64_t wait_us, crash_sim_handler_t handler, void *data)
{
  event_t event = { sim->now_us + wait_us, handler, data };

  g_sequence_insert_sorted (sim->events, g_memdup2 (&event, sizeof event), compare_events, NULL);
}

void *
crash_sim_context (const crash_sim_t *sim)
{
  return sim->options.context;
}

uint64_t
crash_sim_now_us (const crash_sim_t *sim)
{
  return sim->now_us;
}

uint32_t
crash_sim_gateways (const crash_sim_t *sim)
{
  return sim->options.gateways;
}

uint32_t
crash_sim_draw (crash_sim_t *sim, uint32_t from, uint32_t to)
{
  return (uint32_t)g_rand_int_range (sim->rand, (gint32)from, (gint32)to);
}

crash_record_t *
crash_sim_record (const crash_sim_t *sim, uint32_t gateway)
{
  return sim->gateways[gateway].record;
}

static void
refill_budget (const crash_sim_t *sim, gateway_t *gateway)
{
  gateway->budget += (double)(sim->now_us - gateway->budget_us) / S_US * BUDGET_MESSAGES;
  gateway->budget = MIN (gateway->budget, BUDGET_MESSAGES);
  gateway->budget_us = sim->now_us;
}

static bool
take_budget (const crash_sim_t *sim, gateway_t *gateway)
{
  refill_budget (sim, gateway);
  if (gateway->budget < 1)
    return false;
  gateway->budget--;
  return true;
}

static bool
has_spare_budget (const crash_sim_t *sim, gateway_t *gateway)
{
  refill_budget (sim, gateway);
  return gateway->budget >= SPARE_MESSAGES;
}

static void on_message (crash_sim_t *sim, void *data);

static void
send_message (
    crash_sim_t *sim, uint32_t from, uint32_t to, const crash_mark_t *owner_mark, bool is_call)
{
  message_t message = { .from = from, .to = to, .is_call = is_call };
  uint32_t room = MESSAGE_PARTS;

  if (!take_budget (sim, &sim->gateways[from]))
    return;
  if (owner_mark)
    {
      message.marks[message.mark_count++] = *owner_mark;
      room -= crash_mark_parts (owner_mark);
    }
  message.mark_count += crash_record_take_marks (sim->gateways[from].record, sim->now_us,
                                                 &message.marks[message.mark_count], room);
  if (crash_sim_draw (sim, 0, 100) >= LOST_MESSAGES_PERCENT)
    crash_sim_schedule (sim, crash_sim_draw (sim, DELAY_MIN_US, DELAY_MAX_US), on_message,
                        g_memdup2 (&message, sizeof message));
}

static uint32_t
draw_peer (crash_sim_t *sim, uint32_t gateway)
{
  return (gateway + crash_sim_draw (sim, 1, sim->options.gateways)) % sim->options.gateways;
}

/* Finds the gateways that rank first for the fingerprint. Return: their number */
static uint32_t
find_owners (const crash_sim_t *sim, uint64_t fingerprint, uint32_t *owners)
{
  uint64_t ranks[OWNERS + 1] = { 0 };
  uint32_t count = 0;

  for (uint32_t i = 0; i < sim->options.gateways; i++)
    {
      uint64_t rank = crash_record_rank_owner (fingerprint, i + 1);
      uint32_t at = count;

      for (; at > 0 && ranks[at - 1] < rank; at--)
        if (at < OWNERS)
          {
            ranks[at] = ranks[at - 1];
            owners[at] = owners[at - 1];
          }
      if (at >= OWNERS)
        continue;
      ranks[at] = rank;
      owners[at] = i;
      count = MIN (count + 1, OWNERS);
    }
  return count;
}

static void
tell_owners (crash_sim_t *sim, uint32_t from, const crash_mark_t *mark)
{
  uint32_t owners[OWNERS] = { 0 };
  uint32_t count = find_owners (sim, mark->fingerprint, owners);

  for (uint32_t i = 0; i < count; i++)
    if (owners[i] != from)
      send_message (sim, from, owners[i], mark, true);
}

void
crash_sim_tell (crash_sim_t *sim, uint32_t gateway)
{
  gateway_t *from = &sim->gateways[gateway];
  crash_mark_t mark;

  if (sim->options.gateways < 2)
    return;
  if (crash_record_take_news (from->record, sim->now_us))
    for (uint32_t i = 0; i < FANOUT; i++)
      send_message (sim, gateway, draw_peer (sim, gateway), NULL, true);
  while (has_spare_budget (sim, from) &&
         crash_record_take_owner_mark (from->record, sim->now_us, &mark))
    tell_owners (sim, gateway, &mark);
}

static void
on_message (crash_sim_t *sim, void *data)
{
  const message_t *message = data;

  for (uint32_t i = 0; i < message->mark_count; i++)
    crash_record_merge (sim->gateways[message->to].record, sim->now_us, &message->marks[i]);
  crash_sim_tell (sim, message->to);
  if (message->is_call)
    send_message (sim, message->to, message->from, NULL, false);
}

static void
on_regular (crash_sim_t *sim, void *data)
{
  uint32_t gateway = *(uint32_t *)data;

  if (sim->options.gateways > 1)
    send_message (sim, gateway, draw_peer (sim, gateway), NULL, true);
  crash_sim_schedule (sim, crash_sim_draw (sim, INTERVAL_MS * 3 / 4, INTERVAL_MS * 5 / 4) * MS_US,
                      on_regular, g_memdup2 (data, sizeof gateway));
}

static void
on_review (crash_sim_t *sim, void *data)
{
  uint32_t gateway = *(uint32_t *)data;

  crash_record_review (sim->gateways[gateway].record, sim->now_us, true);
  crash_sim_tell (sim, gateway);
  crash_sim_schedule (sim, REVIEW_MS * MS_US, on_review, g_memdup2 (data, sizeof gateway));
}

void
crash_sim_run (crash_sim_t *sim, uint64_t span_us)
{
  uint64_t end_us = sim->now_us + span_us;

  while (true)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (sim->events);
      event_t event = *(event_t *)g_sequence_get (first);

      if (event.at_us > end_us)
        break;
      ((event_t *)g_sequence_get (first))->data = NULL;
      g_sequence_remove (first);
      sim->now_us = event.at_us;
      event.handler (sim, event.data);
      g_free (event.data);
    }
  sim->now_us = end_us;
}

static crash_record_t *
new_record (const crash_sim_t *sim)
{
  return crash_record_new (&(crash_record_options_t){ .limit = sim->options.record_limit,
                                                      .lifetime_us = LIFETIME_US,
                                                      .get_engine = sim->options.get_engine,
                                                      .context = sim->options.context });
}

void
crash_sim_restart (crash_sim_t *sim, uint32_t gateway)
{
  crash_record_free (sim->gateways[gateway].record);
  sim->gateways[gateway].record = new_record (sim);
}

crash_sim_t *
crash_sim_new (const crash_sim_options_t *options)
{
  crash_sim_t *sim = g_new0 (crash_sim_t, 1);

  sim->options = *options;
  sim->rand = g_rand_new_with_seed (options->seed);
  sim->now_us = CRASH_SIM_START_US;
  sim->events = g_sequence_new (free_event);
  sim->gateways = g_new0 (gateway_t, options->gateways);
  for (uint32_t i = 0; i < options->gateways; i++)
    {
      sim->gateways[i] = (gateway_t){ .record = new_record (sim),
                                      .budget = BUDGET_MESSAGES,
                                      .budget_us = CRASH_SIM_START_US };
      crash_sim_schedule (sim, crash_sim_draw (sim, 0, INTERVAL_MS) * MS_US, on_regular,
                          g_memdup2 (&i, sizeof i));
      crash_sim_schedule (sim, crash_sim_draw (sim, 0, REVIEW_MS) * MS_US, on_review,
                          g_memdup2 (&i, sizeof i));
    }
  return sim;
}

void
crash_sim_free (crash_sim_t *sim)
{
  for (uint32_t i = 0; i < sim->options.gateways; i++)
    crash_record_free (sim->gateways[i].record);
  g_free (sim->gateways);
  g_sequence_free (sim->events);
  g_rand_free (sim->rand);
  g_free (sim);
}
