/**
 * DOC: bench_load
 *
 * Load of returning chats over real HTTP, against routers, or engines, or both in one run. One
 * thread, bounded in requests and time. Exit status 1 when any answer was not the caller's own.
 */
#include "load_answer.h"
#include "load_chats.h"
#include "load_client.h"
#include "load_idle.h"
#include "load_options.h"
#include "load_stats.h"

#include <event2/event.h>
#include <math.h>
#include <signal.h>
#include <string.h>
#include <xxhash.h>

#define CHAT_PATH "/v1/chat/completions"
#define CHAT_HEADER "X-Chat-Id"
#define CLASS_HEADER "X-Class"
#define TOKEN_BYTES 4      /* of the stand-in engine */
#define RETRY_TAKE_US 1000 /* all chats pause: look again after this */
#define DRAIN_S 30         /* after the last request, wait for answers that long */

/** struct load - a run */
typedef struct
{
  const lop_t *options;
  struct event_base *base;
  GRand *rand;
  lch_t *chats;
  lcl_t *client;
  lst_t *stats;
  struct event *arrival_timer; /* open loop */
  struct event *end_timer;
  uint64_t started_us;
  uint64_t next_arrival_us;
  uint64_t sent;
  uint64_t skipped;
  uint32_t in_flight;
  bool ending;
} load_t;

/** struct turn - one request in flight */
typedef struct
{
  load_t *load;
  lch_chat_t *chat; /* NULL for a plain call */
  lan_kind_t kind;
  lop_side_t side;
  uint64_t start_us;
  uint64_t body_hash;
  uint32_t account;
  const lop_class_t *class;
} turn_t;

/** struct worker - a caller of the closed loop that waits for a chat whose pause is over */
typedef struct
{
  load_t *load;
  struct event *timer;
} worker_t;

static void start_turn (load_t *load, uint64_t start_us);

static uint64_t
now_us (void)
{
  return (uint64_t)g_get_monotonic_time ();
}

static struct timeval
time_of (uint64_t us)
{
  struct timeval time = { (time_t)(us / G_USEC_PER_SEC), (suseconds_t)(us % G_USEC_PER_SEC) };
  return time;
}

static const lop_class_t *
draw_class (const load_t *load)
{
  const lop_t *options = load->options;
  double sum = 0;
  for (uint32_t i = 0; i < options->class_count; i++)
    sum += options->classes[i].weight;
  double value = g_rand_double (load->rand) * sum;
  for (uint32_t i = 0; i < options->class_count; i++)
    {
      value -= options->classes[i].weight;
      if (value < 0)
        return &options->classes[i];
    }
  return &options->classes[0];
}

static bool
may_send (load_t *load)
{
  uint64_t limit_us = load->options->time_s * G_USEC_PER_SEC;
  return load->sent < load->options->requests && now_us () - load->started_us < limit_us;
}

static void
end_if_drained (load_t *load)
{
  if (may_send (load))
    return;
  if (!load->ending)
    {
      struct timeval drain = { DRAIN_S, 0 };
      load->ending = true;
      event_add (load->end_timer, &drain);
    }
  if (load->in_flight == 0)
    event_base_loopbreak (load->base);
}

static char *
failure_of (const lcl_answer_t *answer, const lan_t *read)
{
  if (answer->failure != NULL)
    return g_strdup (answer->failure);
  if (answer->status == 200)
    return read->verdict == LAN_BROKEN ? g_strdup ("broken") : NULL;
  g_autofree char *code = lan_error_code (answer->body);
  return g_strdup_printf ("%d %s %s", answer->status,
                          answer->verdict == NULL ? "-" : answer->verdict,
                          code == NULL ? "-" : code);
}

static void
give_back (const turn_t *turn, const lan_t *read, bool good)
{
  uint64_t answer_bytes = strlen (read->text) + strlen ("assistant\n\n");
  uint64_t reusable = read->prompt_tokens + answer_bytes / TOKEN_BYTES;
  if (turn->chat != NULL)
    lch_give (turn->load->chats, turn->chat, now_us (), good ? read->text : NULL,
              (uint32_t)reusable);
}

static void
turn_done (const lcl_answer_t *answer, void *context)
{
  turn_t *turn = context;
  load_t *load = turn->load;
  lan_t read = lan_read (turn->kind, answer->body, turn->body_hash);
  g_autofree char *failure = failure_of (answer, &read);
  lst_sample_t sample = { .side = turn->side,
                          .latency_us = answer->end_us - turn->start_us,
                          .first_token_us = answer->first_us - turn->start_us,
                          .failure = failure,
                          .engine = answer->engine,
                          .class_name = turn->kind == LAN_PLAIN ? "plain" : turn->class->name,
                          .account = load->options->accounts[turn->account].name,
                          .reusable_tokens = turn->chat == NULL ? 0 : turn->chat->reusable_tokens,
                          .answer = &read };
  lst_add (load->stats, &sample);
  give_back (turn, &read, failure == NULL && read.verdict == LAN_OWN);
  g_free (read.text);
  g_free (turn);
  load->in_flight--;
  if (load->options->rate_s <= 0 && may_send (load))
    start_turn (load, now_us ());
  end_if_drained (load);
}

static const set_address_t *
target_of (const load_t *load, const turn_t *turn)
{
  uint32_t count = load->options->target_count[turn->side];
  uint32_t index = turn->side == LOP_DIRECT && turn->chat != NULL
                       ? turn->chat->index % count
                       : (uint32_t)g_rand_int_range (load->rand, 0, (gint32)count);
  return &load->options->targets[turn->side][index];
}

static void
send_turn (turn_t *turn, const char *method, const char *target, const GString *body)
{
  load_t *load = turn->load;
  g_autofree char *authorization =
      g_strdup_printf ("Bearer %s", load->options->accounts[turn->account].key);
  g_autofree char *chat_id = turn->chat == NULL ? NULL : lch_id (turn->chat);
  g_autofree char *number =
      g_strdup_printf ("load-%u-%" G_GUINT64_FORMAT, load->options->seed, (guint64)load->sent);
  bool fleet = turn->side == LOP_FLEET;
  bool claims = turn->kind == LAN_PLAIN && strcmp (method, "POST") == 0;
  const char *class_name = load->options->has_classes ? turn->class->name : NULL;
  lcl_header_t headers[] = { { "Content-Type", "application/json" },
                             { "Authorization", fleet ? authorization : NULL },
                             { CHAT_HEADER, fleet ? chat_id : NULL },
                             { CLASS_HEADER, fleet ? class_name : NULL },
                             { "Idempotency-Key", claims ? number : NULL },
                             { "X-Request-Id", fleet ? NULL : number },
                             { NULL, NULL } };
  lcl_request_t request = { .address = target_of (load, turn),
                            .method = method,
                            .target = target,
                            .headers = headers,
                            .body = body,
                            .timeout_ms = load->options->timeout_ms,
                            .done = turn_done,
                            .context = turn };
  turn->body_hash = XXH64 (body->str, body->len, 0);
  load->sent++;
  load->in_flight++;
  lcl_send (load->client, &request);
}

static void
start_plain (load_t *load, turn_t *turn)
{
  const lop_t *options = load->options;
  GString *body = g_string_new (NULL);
  turn->kind = LAN_PLAIN;
  turn->account = (uint32_t)g_rand_int_range (load->rand, 0, (gint32)options->account_count);
  turn->side = g_rand_double (load->rand) < options->direct_share ? LOP_DIRECT : LOP_FLEET;
  if (strcmp (options->plain_method, "POST") == 0)
    g_string_printf (body, "{\"call\":%" G_GUINT64_FORMAT "}", (guint64)load->sent);
  send_turn (turn, options->plain_method, options->plain_path, body);
  g_string_free (body, TRUE);
}

static void
start_chat (load_t *load, turn_t *turn, lch_chat_t *chat)
{
  const lop_t *options = load->options;
  uint32_t max_tokens =
      turn->class->max_tokens == 0 ? options->max_tokens : turn->class->max_tokens;
  bool stream = g_rand_double (load->rand) < options->stream_share;
  GString *body = lch_body (load->chats, chat, max_tokens, stream);
  turn->kind = stream ? LAN_STREAM : LAN_CHAT;
  turn->chat = chat;
  turn->side = chat->side;
  turn->account = chat->account;
  send_turn (turn, "POST", CHAT_PATH, body);
  g_string_free (body, TRUE);
}

static void
worker_wakes (evutil_socket_t fd, short what, void *arg)
{
  worker_t *worker = arg;
  load_t *load = worker->load;
  (void)fd;
  (void)what;
  event_free (worker->timer);
  g_free (worker);
  load->in_flight--;
  if (may_send (load))
    start_turn (load, now_us ());
  end_if_drained (load);
}

/* A waiting worker counts as in flight, so that the run does not end before it has looked. */
static void
wait_for_chat (load_t *load)
{
  struct timeval wait = time_of (RETRY_TAKE_US);
  worker_t *worker = g_new0 (worker_t, 1);
  worker->load = load;
  worker->timer = evtimer_new (load->base, worker_wakes, worker);
  load->in_flight++;
  event_add (worker->timer, &wait);
}

static void
start_turn (load_t *load, uint64_t start_us)
{
  bool plain = g_rand_double (load->rand) < load->options->plain_share;
  lch_chat_t *chat = plain ? NULL : lch_take (load->chats, now_us ());
  if (!plain && chat == NULL)
    {
      load->skipped += load->options->rate_s > 0 ? 1 : 0;
      if (load->options->rate_s <= 0)
        wait_for_chat (load);
      return;
    }
  turn_t *turn = g_new0 (turn_t, 1);
  turn->load = load;
  turn->class = draw_class (load);
  turn->start_us = start_us;
  if (plain)
    start_plain (load, turn);
  else
    start_chat (load, turn, chat);
}

/* Latency counts from the planned arrival: a tool that is late itself must not hide it. */
static void
arrivals_due (evutil_socket_t fd, short what, void *arg)
{
  load_t *load = arg;
  uint64_t now = now_us ();
  (void)fd;
  (void)what;
  while (load->next_arrival_us <= now && may_send (load))
    {
      if (load->in_flight < load->options->concurrency)
        start_turn (load, load->next_arrival_us);
      else
        load->skipped++;
      double gap_us =
          -log (1 - g_rand_double (load->rand)) * G_USEC_PER_SEC / load->options->rate_s;
      load->next_arrival_us += (uint64_t)gap_us + 1;
    }
  struct timeval wait = time_of (load->next_arrival_us > now ? load->next_arrival_us - now : 0);
  if (may_send (load))
    event_add (load->arrival_timer, &wait);
  end_if_drained (load);
}

static void
stop (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  event_base_loopbreak (arg);
}

static void
start (load_t *load)
{
  load->started_us = now_us ();
  if (load->options->rate_s > 0)
    {
      load->next_arrival_us = load->started_us;
      arrivals_due (-1, 0, load);
      return;
    }
  for (uint32_t i = 0; i < load->options->concurrency && may_send (load); i++)
    start_turn (load, load->started_us);
}

static bool
run_load (const lop_t *options, struct event_base *base)
{
  load_t load = { .options = options, .base = base };
  load.rand = g_rand_new_with_seed (options->seed);
  load.chats = lch_new (options, load.rand);
  load.client = lcl_new (base);
  load.stats = lst_new ();
  load.arrival_timer = evtimer_new (base, arrivals_due, &load);
  load.end_timer = evtimer_new (base, stop, base);
  start (&load);
  event_base_dispatch (base);
  uint64_t elapsed_us = now_us () - load.started_us;
  bool others = lst_print (load.stats, options, elapsed_us, load.skipped);
  event_free (load.arrival_timer);
  event_free (load.end_timer);
  lst_free (load.stats);
  lcl_free (load.client);
  lch_free (load.chats);
  g_rand_free (load.rand);
  return others;
}

/* Arrivals must not wait for the coarse clock, which is 4 ms off at 250 ticks a second. */
static struct event_base *
precise_base_new (void)
{
  struct event_config *config = event_config_new ();
  event_config_set_flag (config, EVENT_BASE_FLAG_PRECISE_TIMER);
  struct event_base *base = event_base_new_with_config (config);
  event_config_free (config);
  return base;
}

int
main (int argc, char **argv)
{
  lop_t *options = lop_load (argc, argv);
  struct event_base *base = precise_base_new ();
  struct event *interrupted = evsignal_new (base, SIGINT, stop, base);
  struct event *terminated = evsignal_new (base, SIGTERM, stop, base);
  bool others = false;
  signal (SIGPIPE, SIG_IGN);
  event_add (interrupted, NULL);
  event_add (terminated, NULL);
  if (options->idle == 0)
    others = run_load (options, base);
  else
    lid_hold (options, base);
  event_free (interrupted);
  event_free (terminated);
  event_base_free (base);
  g_free (options);
  return others ? 1 : 0;
}
