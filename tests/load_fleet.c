#include "load_fleet.h"

#include "request/policy/load/load_reports.h"
#include "request/policy/placement/engine_choice.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>

#define S_US (UINT64_C (1000) * 1000)
#define TICK_MS 5
#define TICK_US (UINT64_C (1000) * TICK_MS)
#define TICKS_PER_S (1000 / TICK_MS)
#define BEGIN_US (UINT64_C (1000) * S_US)
#define WAVE_S 11.0
#define CLUMP 3 /* requests that arrive together */
#define HEAD_MS 35
#define READ_MS 20 /* an engine without the part takes this much longer */
#define SLOTS 128
#define CHATS_DEFAULT 448
#define CHAT_SKEW 0.3
#define CHAT_TOKENS 2041
#define HOT_CHAT 0
#define STRIDES_MAX 120.0
#define STRIDE_TOKENS 8
#define TOKEN_US 3410.0
#define TOKEN_US_PER_RUN 97.0
#define MESSAGE_LOADS 4
#define MESSAGE_COUNTS 3  /* beside that of the sender */
#define MESSAGE_BYTES 220 /* without reports */
#define REPORT_BYTES 32
#define KEPT_PARTS_S 60 /* for which an engine keeps a part */
#define SERVICE g_intern_static_string ("pool")

/** struct run - A request at an engine; @strides: that are left. */
typedef struct
{
  uint32_t gateway;
  uint32_t chat;
  uint64_t head_us;
  double strides;
  bool has_head;
} run_t;

typedef struct
{
  GArray *runs;      /* run_t */
  uint64_t *kept_us; /* by chat */
  double pace;       /* of the usual */
  bool ran_hot;
} sim_engine_t;

typedef struct
{
  engines_t *known;
  engine_t **engines;
  load_reports_t reports;
  uint64_t exchange_us;
  uint32_t own_requests;
} sim_gateway_t;

/** struct fleet - @chat_ends: running sum of the chats' popularity; @sent, @over: by tick. */
typedef struct
{
  load_fleet_options_t options;
  sim_gateway_t *gateways;
  sim_engine_t *engines;
  GRand *rand;
  uint64_t now_us;
  uint32_t tick;
  uint32_t total;
  double due;
  double *chat_ends;
  uint32_t *sent;
  uint32_t *over;
  uint64_t bytes;
  uint64_t homes;
  uint64_t cool;
  uint64_t reads;
  int64_t load_missed;
  int64_t mean_missed;
} fleet_t;

static void
add_engines (fleet_t *fleet, sim_gateway_t *gateway)
{
  gateway->known = engines_new ();
  gateway->engines = g_new0 (engine_t *, fleet->options.engines);
  for (uint32_t i = 0; i < fleet->options.engines; i++)
    {
      engine_entry_t entry = { .service = SERVICE, .slots = SLOTS, .state = ENGINE_READY };

      g_snprintf (entry.id, sizeof entry.id, "e%u", i);
      g_strlcpy (entry.data_center, "hall", sizeof entry.data_center);
      gateway->engines[i] = engines_put (gateway->known, BEGIN_US, &entry);
    }
  engines_set_complete (gateway->known);
}

static fleet_t *
fleet_new (const load_fleet_options_t *options)
{
  fleet_t *fleet = g_new0 (fleet_t, 1);
  uint32_t ticks = options->seconds * TICKS_PER_S;

  fleet->options = *options;
  fleet->rand = g_rand_new_with_seed (options->seed);
  fleet->gateways = g_new0 (sim_gateway_t, options->gateways);
  fleet->engines = g_new0 (sim_engine_t, options->engines);
  fleet->sent = g_new0 (uint32_t, ticks);
  fleet->over = g_new0 (uint32_t, ticks);
  fleet->options.chats = options->chats > 0 ? options->chats : CHATS_DEFAULT;
  fleet->chat_ends = g_new0 (double, fleet->options.chats);
  for (uint32_t i = 0; i < fleet->options.chats; i++)
    fleet->chat_ends[i] = (i > 0 ? fleet->chat_ends[i - 1] : 0) + pow (i + 1, -CHAT_SKEW);
  for (uint32_t i = 0; i < options->gateways; i++)
    {
      add_engines (fleet, &fleet->gateways[i]);
      fleet->gateways[i].exchange_us =
          BEGIN_US +
          (uint64_t)g_rand_int_range (fleet->rand, 0, (gint32)options->exchange_ms) * 1000;
    }
  for (uint32_t i = 0; i < options->engines; i++)
    {
      fleet->engines[i].runs = g_array_new (FALSE, FALSE, sizeof (run_t));
      fleet->engines[i].kept_us = g_new0 (uint64_t, fleet->options.chats);
      fleet->engines[i].pace = options->slow_milli && i % 4 == 0 ? options->slow_milli / 1000.0 : 1;
    }
  return fleet;
}

static void
fleet_free (fleet_t *fleet)
{
  for (uint32_t i = 0; i < fleet->options.engines; i++)
    {
      GArray *runs = fleet->engines[i].runs;

      for (guint k = 0; k < runs->len; k++)
        engine_end_request (fleet->gateways[g_array_index (runs, run_t, k).gateway].engines[i]);
      g_array_free (runs, TRUE);
      g_free (fleet->engines[i].kept_us);
    }
  for (uint32_t i = 0; i < fleet->options.gateways; i++)
    {
      engines_free (fleet->gateways[i].known);
      g_free (fleet->gateways[i].engines);
    }
  g_rand_free (fleet->rand);
  g_free (fleet->chat_ends);
  g_free (fleet->gateways);
  g_free (fleet->engines);
  g_free (fleet->sent);
  g_free (fleet->over);
  g_free (fleet);
}

static uint32_t
now_ms (const fleet_t *fleet)
{
  return fleet->tick * TICK_MS;
}

static bool
is_hot (const fleet_t *fleet)
{
  return now_ms (fleet) >= fleet->options.hot_from_ms && now_ms (fleet) < fleet->options.hot_to_ms;
}

static uint32_t
draw_chat (fleet_t *fleet)
{
  uint32_t first = 0;
  uint32_t last = fleet->options.chats - 1;
  double at;

  if (is_hot (fleet) &&
      (uint32_t)g_rand_int_range (fleet->rand, 0, 1000) < fleet->options.hot_milli)
    return HOT_CHAT;
  at = g_rand_double (fleet->rand) * fleet->chat_ends[last];
  while (first < last)
    {
      uint32_t middle = (first + last) / 2;

      if (fleet->chat_ends[middle] < at)
        first = middle + 1;
      else
        last = middle;
    }
  return first;
}

static uint32_t
draw_gateway (fleet_t *fleet)
{
  uint32_t gateways = fleet->options.gateways;
  uint32_t gateway = (uint32_t)g_rand_int_range (fleet->rand, 0, (gint32)gateways);

  if (fleet->options.uneven && gateway >= gateways / 2 && g_rand_boolean (fleet->rand))
    gateway -= gateways / 2;
  return gateway;
}

static double
draw_strides (fleet_t *fleet)
{
  double u = g_rand_double_range (fleet->rand, 1e-9, 1);
  double v = g_rand_double (fleet->rand);
  double normal = sqrt (-2 * log (u)) * cos (2 * G_PI * v);

  return MIN (exp (3.2 + 0.7 * normal), STRIDES_MAX);
}

static bool
is_overloaded (const fleet_t *fleet, uint32_t engine)
{
  return fleet->engines[engine].runs->len * fleet->options.engines >
         fleet->total * ENGINE_CHOICE_OVERLOAD_FACTOR +
             fleet->options.engines * ENGINE_CHOICE_OVERLOAD_EXTRA_MILLI / 1000;
}

static void
count (fleet_t *fleet, uint32_t engine, uint32_t chat, const engine_choice_t *choice)
{
  uint32_t load = fleet->engines[engine].runs->len;

  fleet->sent[fleet->tick]++;
  if (is_overloaded (fleet, engine))
    {
      fleet->over[fleet->tick]++;
      fleet->load_missed += ((int64_t)load - choice->load) * 1000;
      fleet->mean_missed +=
          (int64_t)choice->mean_milli - (int64_t)fleet->total * 1000 / fleet->options.engines;
    }
  if (chat == HOT_CHAT)
    {
      fleet->engines[engine].ran_hot = fleet->engines[engine].ran_hot || is_hot (fleet);
      return;
    }
  fleet->cool++;
  fleet->homes += choice->rank == 0 ? 1 : 0;
}

static void
send_one (fleet_t *fleet)
{
  uint32_t chat = draw_chat (fleet);
  uint32_t index = draw_gateway (fleet);
  sim_gateway_t *gateway = &fleet->gateways[index];
  engine_choice_request_t request = { .affinity = chat + 1,
                                      .affinity_tokens = CHAT_TOKENS,
                                      .own_data_center = "hall",
                                      .repeatable = true,
                                      .gateways = fleet->options.gateways,
                                      .gateway_hash = index * UINT64_C (7919) + 13,
                                      .slot_time_us = S_US,
                                      .usual_head_us = HEAD_MS * 1000 };
  engine_choice_t choice =
      engine_choice_make (engines_of_service (gateway->known, SERVICE), fleet->now_us, &request);
  uint32_t engine = (uint32_t)atoi (choice.engine->entry.id + 1);
  sim_engine_t *at = &fleet->engines[engine];
  bool has_part = at->kept_us[chat] != 0 && fleet->now_us < at->kept_us[chat] + KEPT_PARTS_S * S_US;
  run_t run = { .gateway = index,
                .chat = chat,
                .head_us = fleet->now_us + (HEAD_MS + (has_part ? 0 : READ_MS)) * UINT64_C (1000),
                .strides = draw_strides (fleet) };

  g_assert (choice.action == ENGINE_CHOICE_SEND);
  count (fleet, engine, chat, &choice);
  fleet->reads += has_part ? 0 : 1;
  at->kept_us[chat] = fleet->now_us;
  g_array_append_val (at->runs, run);
  fleet->total++;
  engine_begin_request (choice.engine, fleet->now_us);
  gateway->own_requests++;
}

static void
receive_head (fleet_t *fleet, uint32_t engine, run_t *run)
{
  sim_gateway_t *gateway = &fleet->gateways[run->gateway];
  engine_t *known = gateway->engines[engine];
  uint32_t load = fleet->engines[engine].runs->len;
  load_report_t item = { .engine_hash = known->hash, .load = load, .reported_us = fleet->now_us };

  run->has_head = true;
  engine_note_load (known, fleet->now_us, &(engine_load_t){ .running = load, .slots = SLOTS });
  engine_note_answer (known, fleet->now_us, false);
  load_reports_add (&gateway->reports, fleet->now_us, &item);
}

static void
run_engine (fleet_t *fleet, uint32_t index)
{
  sim_engine_t *engine = &fleet->engines[index];
  double stride_us =
      STRIDE_TOKENS * (TOKEN_US + TOKEN_US_PER_RUN * engine->runs->len) * engine->pace;

  for (guint i = 0; i < engine->runs->len;)
    {
      run_t *run = &g_array_index (engine->runs, run_t, i);

      if (fleet->now_us >= run->head_us)
        {
          if (!run->has_head)
            receive_head (fleet, index, run);
          fleet->gateways[run->gateway].engines[index]->last_byte_us = fleet->now_us;
          run->strides -= TICK_US / stride_us;
        }
      if (run->strides > 0)
        {
          i++;
          continue;
        }
      engine_end_request_at (fleet->gateways[run->gateway].engines[index], fleet->now_us);
      fleet->gateways[run->gateway].own_requests--;
      g_array_remove_index_fast (engine->runs, i);
      fleet->total--;
    }
}

static fleet_requests_t *
requests_of (const sim_gateway_t *gateway)
{
  return gateway->engines[0]->fleet_requests;
}

static void
send_counts (fleet_t *fleet, const sim_gateway_t *from, sim_gateway_t *to)
{
  fleet_request_count_t items[MESSAGE_COUNTS + 1];
  uint32_t items_count =
      fleet_requests_latest (requests_of (from), fleet->now_us, items + 1, MESSAGE_COUNTS) + 1;

  items[0] = (fleet_request_count_t){ (uint64_t)(from - fleet->gateways), from->own_requests,
                                      fleet->now_us };
  fleet->bytes += items_count * REPORT_BYTES;
  for (uint32_t i = 0; i < items_count; i++)
    if (items[i].gateway_hash != (uint64_t)(to - fleet->gateways))
      fleet_requests_note (requests_of (to), fleet->now_us, &items[i]);
}

static void
send_loads (fleet_t *fleet, const sim_gateway_t *from, sim_gateway_t *to)
{
  load_report_t items[MESSAGE_LOADS];
  uint32_t items_count = load_reports_latest (&from->reports, fleet->now_us, items, MESSAGE_LOADS);

  fleet->bytes += items_count * REPORT_BYTES;
  for (uint32_t i = 0; i < items_count; i++)
    if (load_reports_add (&to->reports, fleet->now_us, &items[i]))
      engine_note_peer_load (engines_find_by_hash (to->known, items[i].engine_hash),
                             items[i].reported_us, items[i].load);
}

static void
send_message (fleet_t *fleet, sim_gateway_t *from, sim_gateway_t *to)
{
  fleet->bytes += MESSAGE_BYTES;
  if ((uint32_t)g_rand_int_range (fleet->rand, 0, 1000) < fleet->options.lost_milli)
    return;
  send_counts (fleet, from, to);
  send_loads (fleet, from, to);
}

static void
exchange (fleet_t *fleet, uint32_t index)
{
  sim_gateway_t *gateway = &fleet->gateways[index];
  uint32_t interval_ms = fleet->options.exchange_ms;
  uint32_t peer = (uint32_t)g_rand_int_range (fleet->rand, 0, (gint32)fleet->options.gateways);

  if (fleet->now_us < gateway->exchange_us)
    return;
  gateway->exchange_us +=
      (interval_ms * 3 / 4 + (uint32_t)g_rand_int_range (fleet->rand, 0, (gint32)interval_ms / 2)) *
      UINT64_C (1000);
  if (peer == index)
    return;
  send_message (fleet, gateway, &fleet->gateways[peer]);
  send_message (fleet, &fleet->gateways[peer], gateway);
}

static void
send_due (fleet_t *fleet)
{
  const load_fleet_options_t *options = &fleet->options;
  double wave =
      1 + options->wave_milli / 1000.0 * sin (2 * G_PI * now_ms (fleet) / 1000.0 / WAVE_S);
  double burst = is_hot (fleet) && options->burst_milli ? options->burst_milli / 1000.0 : 1;

  fleet->due += options->per_s * wave * burst / TICKS_PER_S;
  while (fleet->due >= CLUMP)
    {
      fleet->due -= CLUMP;
      for (uint32_t i = 0; i < CLUMP; i++)
        send_one (fleet);
    }
}

static void
find_worst (const fleet_t *fleet, load_fleet_result_t *result)
{
  uint32_t ticks = fleet->options.seconds * TICKS_PER_S;
  uint32_t window = LOAD_FLEET_WINDOW_MS / TICK_MS;
  uint32_t sent = 0;
  uint32_t over = 0;

  for (uint32_t i = 0; i < ticks; i++)
    {
      sent += fleet->sent[i] - (i >= window ? fleet->sent[i - window] : 0);
      over += fleet->over[i] - (i >= window ? fleet->over[i - window] : 0);
      result->all_sent += fleet->sent[i];
      result->all_over += fleet->over[i];
      if (i + 1 >= window &&
          (uint64_t)over * MAX (result->sent, 1) >= (uint64_t)result->over * sent)
        {
          result->over = over;
          result->sent = sent;
          result->worst_ms = (i + 1 - window) * TICK_MS;
        }
    }
}

load_fleet_result_t
load_fleet_play (const load_fleet_options_t *options)
{
  fleet_t *fleet = fleet_new (options);
  load_fleet_result_t result = { 0 };
  uint32_t ticks = options->seconds * TICKS_PER_S;

  for (fleet->tick = 0; fleet->tick < ticks; fleet->tick++)
    {
      fleet->now_us = BEGIN_US + fleet->tick * TICK_US;
      for (uint32_t i = 0; i < options->engines; i++)
        run_engine (fleet, i);
      for (uint32_t i = 0; i < options->gateways; i++)
        exchange (fleet, i);
      send_due (fleet);
    }
  find_worst (fleet, &result);
  result.at_home = (uint32_t)(fleet->homes * 1000 / MAX (fleet->cool, 1));
  result.read = (uint32_t)(fleet->reads * 1000 / MAX (result.all_sent, 1));
  for (uint32_t i = 0; i < options->engines; i++)
    result.hot_engines += fleet->engines[i].ran_hot ? 1 : 0;
  result.load_missed = (int32_t)(fleet->load_missed / MAX (result.all_over, 1));
  result.mean_missed = (int32_t)(fleet->mean_missed / MAX ((int64_t)result.all_over, 1));
  result.bytes_per_s = (uint32_t)(fleet->bytes / options->seconds / options->gateways);
  fleet_free (fleet);
  return result;
}
