/*
 * Gateways that share a request which ends every engine that runs it, in virtual time: how many of
 * its copies reach engines. Decisions are those of the product; the exchange between gateways, the
 * registry and the engines are simulated.
 */
#include "request/policy/crash_record.h"
#include "suite.h"

#include <glib.h>
#include <stdio.h>

#define MS_US UINT64_C (1000)
#define S_US UINT64_C (1000000)
#define START_US (UINT64_C (1000) * S_US)
#define PLAY_US (20 * S_US)
#define CULPRIT 77
/* The users' rule: later than this after the third crash, three sends may reach engines. */
#define CRASHES_MAX 3
#define LATE_US (3 * S_US)
#define LATE_SENDS_MAX 3
#define LEASE_US S_US /* an engine that ended is in the registry for this time */
#define RUN_MIN_MS 40
#define RUN_MAX_MS 120
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
#define ATTEMPTS 2

typedef enum
{
  EVENT_COPY,    /* a caller sends a copy */
  EVENT_CRASH,   /* the engine of a copy ends */
  EVENT_MESSAGE, /* a message arrives */
  EVENT_REGULAR, /* a gateway sends its regular message */
  EVENT_REVIEW   /* a gateway reviews its crashes */
} event_kind_t;

/** struct event - @attempt: number of the send that led to the crash; @is_call: the message is to
 * be answered */
typedef struct
{
  uint64_t at_us;
  event_kind_t kind;
  uint32_t gateway;
  uint64_t engine;
  uint64_t sent_us;
  uint32_t attempt;
  crash_mark_t marks[MESSAGE_PARTS];
  uint32_t mark_count;
  uint32_t from;
  bool is_call;
} event_t;

typedef struct
{
  crash_record_t *record;
  uint32_t running; /* copies at engines */
  double budget;
  uint64_t budget_us;
} gateway_t;

/**
 * struct play - one play
 * @copies_per_s: that callers send, whatever became of the others; 0 for a single caller that sends
 *   again when it has its answer
 * @is_repeated: gateways send the request again, to another engine
 */
typedef struct
{
  uint32_t gateway_count;
  uint32_t copies_per_s;
  bool is_repeated;
  gateway_t *gateways;
  GSequence *events;
  GRand *rand;
  uint64_t now_us;
  GArray *crashed_us; /* by engine; engines are numbered from 1 on */
  uint64_t next_engine;
  uint32_t sends;
  uint32_t late_sends;
  uint64_t third_crash_us;
  uint32_t crashes;
} play_t;

static gint
compare_events (gconstpointer a, gconstpointer b, gpointer context)
{
  const event_t *left = a;
  const event_t *right = b;

  (void)context;
  return left->at_us < right->at_us ? -1 : left->at_us > right->at_us;
}

static void
schedule (play_t *play, const event_t *event)
{
  g_sequence_insert_sorted (play->events, g_memdup2 (event, sizeof *event), compare_events, NULL);
}

static uint32_t
draw (play_t *play, uint32_t from, uint32_t to)
{
  return (uint32_t)g_rand_int_range (play->rand, (gint32)from, (gint32)to);
}

static crash_record_engine_t
get_engine (uint64_t engine_hash, void *context)
{
  const play_t *play = context;
  uint64_t crashed_us = g_array_index (play->crashed_us, uint64_t, engine_hash);
  bool has_ended = crashed_us != 0 && play->now_us > crashed_us + LEASE_US;

  return (crash_record_engine_t){ .state = has_ended ? CRASH_RECORD_ENGINE_ENDED
                                                     : CRASH_RECORD_ENGINE_LISTED };
}

static bool
take_budget (play_t *play, gateway_t *gateway)
{
  gateway->budget += (double)(play->now_us - gateway->budget_us) / S_US * BUDGET_MESSAGES;
  gateway->budget = MIN (gateway->budget, BUDGET_MESSAGES);
  gateway->budget_us = play->now_us;
  if (gateway->budget < 1)
    return false;
  gateway->budget--;
  return true;
}

static void
send_message (
    play_t *play, uint32_t from, uint32_t to, const crash_mark_t *owner_mark, bool is_call)
{
  event_t event = { .kind = EVENT_MESSAGE, .gateway = to, .from = from, .is_call = is_call };
  uint32_t room = MESSAGE_PARTS;

  if (!take_budget (play, &play->gateways[from]))
    return;
  if (owner_mark)
    {
      event.marks[event.mark_count++] = *owner_mark;
      room -= crash_mark_parts (owner_mark);
    }
  event.mark_count += crash_record_take_marks (play->gateways[from].record, play->now_us,
                                               &event.marks[event.mark_count], room);
  event.at_us = play->now_us + draw (play, DELAY_MIN_US, DELAY_MAX_US);
  if (draw (play, 0, 100) >= LOST_MESSAGES_PERCENT)
    schedule (play, &event);
}

static uint32_t
other_gateway (play_t *play, uint32_t gateway)
{
  return (gateway + draw (play, 1, play->gateway_count)) % play->gateway_count;
}

static void
tell_owners (play_t *play, uint32_t from, const crash_mark_t *mark)
{
  uint32_t owners[OWNERS] = { 0 };
  uint64_t ranks[OWNERS] = { 0 };

  for (uint32_t i = 0; i < play->gateway_count; i++)
    {
      uint64_t rank = crash_record_rank_owner (mark->fingerprint, i + 1);
      uint32_t least = ranks[0] < ranks[1] ? 0 : 1;

      if (rank <= ranks[least])
        continue;
      ranks[least] = rank;
      owners[least] = i;
    }
  for (uint32_t i = 0; i < OWNERS; i++)
    if (ranks[i] != 0 && owners[i] != from)
      send_message (play, from, owners[i], mark, true);
}

static void
tell_crashes (play_t *play, uint32_t from)
{
  crash_mark_t mark;

  if (play->gateway_count < 2)
    return;
  if (crash_record_take_news (play->gateways[from].record))
    for (uint32_t i = 0; i < FANOUT; i++)
      send_message (play, from, other_gateway (play, from), NULL, true);
  while (crash_record_take_owner_mark (play->gateways[from].record, play->now_us, &mark))
    tell_owners (play, from, &mark);
}

static void
send_to_engine (play_t *play, uint32_t gateway, uint32_t attempt)
{
  uint64_t none = 0;

  play->gateways[gateway].running++;
  play->sends++;
  if (play->third_crash_us != 0 && play->now_us > play->third_crash_us + LATE_US)
    play->late_sends++;
  g_array_append_val (play->crashed_us, none);
  schedule (play, &(event_t){ .at_us = play->now_us + draw (play, RUN_MIN_MS, RUN_MAX_MS) * MS_US,
                              .kind = EVENT_CRASH,
                              .gateway = gateway,
                              .engine = play->next_engine++,
                              .sent_us = play->now_us,
                              .attempt = attempt });
}

static void
schedule_copy (play_t *play, uint64_t at_us)
{
  schedule (play, &(event_t){ .at_us = at_us,
                              .kind = EVENT_COPY,
                              .gateway = draw (play, 0, play->gateway_count) });
}

/* The caller has its answer, and sends again. */
static void
end_copy (play_t *play)
{
  if (play->copies_per_s == 0)
    schedule_copy (play, play->now_us + 60 * MS_US);
}

static void
on_copy (play_t *play, const event_t *event)
{
  gateway_t *gateway = &play->gateways[event->gateway];
  crash_record_verdict_t verdict = crash_record_check (gateway->record, play->now_us, CULPRIT);

  if (play->copies_per_s > 0)
    schedule_copy (play, play->now_us + draw (play, 1, 2 * (uint32_t)S_US / play->copies_per_s));
  if (verdict == CRASH_RECORD_ALLOWED ||
      (verdict == CRASH_RECORD_ON_TRIAL && gateway->running == 0))
    send_to_engine (play, event->gateway, 1);
  else
    end_copy (play);
}

static void
on_crash (play_t *play, const event_t *event)
{
  gateway_t *gateway = &play->gateways[event->gateway];

  gateway->running--;
  g_array_index (play->crashed_us, uint64_t, event->engine) = play->now_us;
  if (++play->crashes == CRASHES_MAX)
    play->third_crash_us = play->now_us;
  crash_record_add_loss (gateway->record, play->now_us,
                         &(crash_record_loss_t){ .fingerprint = CULPRIT,
                                                 .engine_hash = event->engine,
                                                 .sent_us = event->sent_us });
  tell_crashes (play, event->gateway);
  if (play->is_repeated && event->attempt < ATTEMPTS &&
      crash_record_check (gateway->record, play->now_us, CULPRIT) == CRASH_RECORD_ALLOWED)
    send_to_engine (play, event->gateway, event->attempt + 1);
  else
    end_copy (play);
}

static void
on_message (play_t *play, const event_t *event)
{
  for (uint32_t i = 0; i < event->mark_count; i++)
    crash_record_merge (play->gateways[event->gateway].record, play->now_us, &event->marks[i]);
  tell_crashes (play, event->gateway);
  if (event->is_call)
    send_message (play, event->gateway, event->from, NULL, false);
}

static void
on_regular (play_t *play, const event_t *event)
{
  event_t next = *event;

  if (play->gateway_count > 1)
    send_message (play, event->gateway, other_gateway (play, event->gateway), NULL, true);
  next.at_us += draw (play, INTERVAL_MS * 3 / 4, INTERVAL_MS * 5 / 4) * MS_US;
  schedule (play, &next);
}

static void
on_review (play_t *play, const event_t *event)
{
  event_t next = *event;

  crash_record_review (play->gateways[event->gateway].record, play->now_us, true);
  next.at_us += REVIEW_MS * MS_US;
  schedule (play, &next);
}

static void
run_events (play_t *play)
{
  static void (*const handlers[]) (play_t * play, const event_t *event) = {
    [EVENT_COPY] = on_copy,       [EVENT_CRASH] = on_crash,   [EVENT_MESSAGE] = on_message,
    [EVENT_REGULAR] = on_regular, [EVENT_REVIEW] = on_review,
  };

  while (play->now_us < START_US + PLAY_US)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (play->events);
      event_t event = *(event_t *)g_sequence_get (first);

      g_sequence_remove (first);
      play->now_us = event.at_us;
      handlers[event.kind](play, &event);
    }
}

static void
start_play (play_t *play, uint32_t seed)
{
  uint64_t none = 0;

  play->rand = g_rand_new_with_seed (seed);
  play->now_us = START_US;
  play->events = g_sequence_new (g_free);
  play->crashed_us = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  g_array_append_val (play->crashed_us, none);
  play->next_engine = 1;
  play->gateways = g_new0 (gateway_t, play->gateway_count);
  for (uint32_t i = 0; i < play->gateway_count; i++)
    {
      play->gateways[i] = (gateway_t){
        .record = crash_record_new (&(crash_record_options_t){
            .limit = 16, .lifetime_us = 600 * S_US, .get_engine = get_engine, .context = play }),
        .budget = BUDGET_MESSAGES,
        .budget_us = START_US,
      };
      schedule (play, &(event_t){ .at_us = START_US + draw (play, 0, INTERVAL_MS) * MS_US,
                                  .kind = EVENT_REGULAR,
                                  .gateway = i });
      schedule (play, &(event_t){ .at_us = START_US + draw (play, 0, REVIEW_MS) * MS_US,
                                  .kind = EVENT_REVIEW,
                                  .gateway = i });
    }
  schedule_copy (play, START_US);
}

static void
end_play (play_t *play)
{
  for (uint32_t i = 0; i < play->gateway_count; i++)
    crash_record_free (play->gateways[i].record);
  g_free (play->gateways);
  g_sequence_free (play->events);
  g_array_free (play->crashed_us, TRUE);
  g_rand_free (play->rand);
}

static void
check_play (uint32_t gateways, uint32_t copies_per_s, bool is_repeated, uint32_t seed)
{
  play_t play = { .gateway_count = gateways,
                  .copies_per_s = copies_per_s,
                  .is_repeated = is_repeated };

  start_play (&play, seed);
  run_events (&play);
  printf ("%u gateways, %u copies/s, %s: %u engines ended, %u sends late\n", gateways, copies_per_s,
          is_repeated ? "repeated" : "not repeated", play.crashes, play.late_sends);
  CU_ASSERT (play.late_sends <= LATE_SENDS_MAX);
  if (gateways == 1 && copies_per_s == 0)
    CU_ASSERT (play.crashes <= CRASHES_MAX);
  end_play (&play);
}

static void
check_fleet (uint32_t gateways)
{
  static const uint32_t rates[] = { 0, 1, 12, 100 };

  for (uint32_t i = 0; i < G_N_ELEMENTS (rates); i++)
    {
      check_play (gateways, rates[i], true, 1 + i);
      check_play (gateways, rates[i], false, 11 + i);
    }
}

static void
test_single_gateway (void)
{
  check_fleet (1);
}

/* Guards against crashes that no gateway hears of in time, as each of many has seen few. */
static void
test_15_gateways (void)
{
  check_fleet (15);
}

static void
test_385_gateways (void)
{
  check_fleet (385);
}

static void
test_880_gateways (void)
{
  check_fleet (880);
}

int
main (void)
{
  static const CU_TestInfo tests[] = { SUITE_TEST (test_single_gateway),
                                       SUITE_TEST (test_15_gateways),
                                       SUITE_TEST (test_385_gateways),
                                       SUITE_TEST (test_880_gateways), CU_TEST_INFO_NULL };

  return suite_run ("crash_fleet", tests);
}
