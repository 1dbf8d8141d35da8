/**
 * DOC: bench_load
 *
 * HTTP load generator with multi-turn chats, against routers, engines, or both in one run. Single
 * threaded; the number of requests and the time are limited. Exit status 1 if any answer
 * belonged to another request.
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
#define TOKEN_BYTES 4      /* bytes that the stand-in engine counts as a token */
#define CHAT_RETRY_US 1000 /* before the next search for a chat, when all are paused */
#define DRAIN_S 30         /* limit of the wait for answers after the last request was sent */

/**
 * struct load - a run
 * @arrival_timer, @next_arrival_us: the next request of an open loop
 * @skipped: requests of an open loop that were due but not sent
 * @in_flight: requests without an answer yet, and workers that wait for a chat
 * @ending: no more requests are sent
 */
typedef struct
{
  const load_options_t *options;
  struct event_base *base;
  GRand *rand;
  load_chats_t *chats;
  load_client_t *client;
  load_stats_t *stats;
  struct event *arrival_timer;
  struct event *end_timer;
  uint64_t started_us;
  uint64_t next_arrival_us;
  uint64_t sent;
  uint64_t skipped;
  uint32_t in_flight;
  bool ending;
} load_t;

/**
 * struct turn - one request in flight
 * @chat: NULL for a request without a chat
 */
typedef struct
{
  load_t *load;
  load_chats_chat_t *chat;
  load_answer_kind_t kind;
  load_side_t side;
  uint64_t start_us;
  uint64_t body_hash;
  uint32_t account;
  const load_class_t *class;
} turn_t;

/** struct worker - a worker of the closed loop that waits for a chat whose pause has ended */
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
timeval_from_us (uint64_t us)
{
  struct timeval time = { (time_t)(us / G_USEC_PER_SEC), (suseconds_t)(us % G_USEC_PER_SEC) };
  return time;
}

static const load_class_t *
draw_class (const load_t *load)
{
  const load_options_t *options = load->options;
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
describe_failure (const load_client_answer_t *answer, const load_answer_t *parsed)
{
  if (answer->failure != NULL)
    return g_strdup (answer->failure);
  if (answer->status == 200)
    return parsed->verdict == LOAD_ANSWER_MALFORMED ? g_strdup ("broken") : NULL;
  g_autofree char *code = load_answer_error_code (answer->body);
  return g_strdup_printf ("%d %s %s", answer->status,
                          answer->verdict == NULL ? "-" : answer->verdict,
                          code == NULL ? "-" : code);
}

static void
end_chat_turn (const turn_t *turn, const load_answer_t *parsed, bool succeeded)
{
  uint64_t answer_bytes = strlen (parsed->text) + strlen ("assistant\n\n");
  uint64_t reusable = parsed->prompt_tokens + answer_bytes / TOKEN_BYTES;
  if (turn->chat != NULL)
    load_chats_end_turn (turn->load->chats, turn->chat, now_us (), succeeded ? parsed->text : NULL,
                         (uint32_t)reusable);
}

static void
on_answer (const load_client_answer_t *answer, void *context)
{
  turn_t *turn = context;
  load_t *load = turn->load;
  load_answer_t parsed = load_answer_parse (turn->kind, answer->body, turn->body_hash);
  g_autofree char *failure = describe_failure (answer, &parsed);
  load_stats_sample_t sample = { .side = turn->side,
                                 .latency_us = answer->end_us - turn->start_us,
                                 .first_token_us = answer->first_us - turn->start_us,
                                 .failure = failure,
                                 .engine = answer->engine,
                                 .class_name =
                                     turn->kind == LOAD_ANSWER_PLAIN ? "plain" : turn->class->name,
                                 .account = load->options->accounts[turn->account].name,
                                 .reusable_tokens =
                                     turn->chat == NULL ? 0 : turn->chat->reusable_tokens,
                                 .answer = &parsed };
  load_stats_add (load->stats, &sample);
  end_chat_turn (turn, &parsed, failure == NULL && parsed.verdict == LOAD_ANSWER_MATCHES);
  g_free (parsed.text);
  g_free (turn);
  load->in_flight--;
  if (load->options->rate_s <= 0 && may_send (load))
    start_turn (load, now_us ());
  end_if_drained (load);
}

static const address_t *
choose_target (const load_t *load, const turn_t *turn)
{
  uint32_t count = load->options->target_count[turn->side];
  uint32_t index = turn->side == LOAD_SIDE_ENGINES && turn->chat != NULL
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
  g_autofree char *chat_id = turn->chat == NULL ? NULL : load_chats_format_id (turn->chat);
  g_autofree char *request_id =
      g_strdup_printf ("load-%u-%" G_GUINT64_FORMAT, load->options->seed, (guint64)load->sent);
  bool fleet = turn->side == LOAD_SIDE_ROUTERS;
  bool needs_key = turn->kind == LOAD_ANSWER_PLAIN && strcmp (method, "POST") == 0;
  const char *class_name = load->options->has_classes ? turn->class->name : NULL;
  load_client_header_t headers[] = { { "Content-Type", "application/json" },
                                     { "Authorization", fleet ? authorization : NULL },
                                     { CHAT_HEADER, fleet ? chat_id : NULL },
                                     { CLASS_HEADER, fleet ? class_name : NULL },
                                     { "Idempotency-Key", needs_key ? request_id : NULL },
                                     { "X-Request-Id", fleet ? NULL : request_id },
                                     { NULL, NULL } };
  load_client_request_t request = { .address = choose_target (load, turn),
                                    .method = method,
                                    .target = target,
                                    .headers = headers,
                                    .body = body,
                                    .timeout_ms = load->options->timeout_ms,
                                    .done = on_answer,
                                    .context = turn };
  turn->body_hash = XXH64 (body->str, body->len, 0);
  load->sent++;
  load->in_flight++;
  load_client_send (load->client, &request);
}

static void
start_plain (load_t *load, turn_t *turn)
{
  const load_options_t *options = load->options;
  GString *body = g_string_new (NULL);
  turn->kind = LOAD_ANSWER_PLAIN;
  turn->account = (uint32_t)g_rand_int_range (load->rand, 0, (gint32)options->account_count);
  turn->side =
      g_rand_double (load->rand) < options->direct_share ? LOAD_SIDE_ENGINES : LOAD_SIDE_ROUTERS;
  if (strcmp (options->plain_method, "POST") == 0)
    g_string_printf (body, "{\"call\":%" G_GUINT64_FORMAT "}", (guint64)load->sent);
  send_turn (turn, options->plain_method, options->plain_path, body);
  g_string_free (body, TRUE);
}

static void
start_chat (load_t *load, turn_t *turn, load_chats_chat_t *chat)
{
  const load_options_t *options = load->options;
  uint32_t max_tokens =
      turn->class->max_tokens == 0 ? options->max_tokens : turn->class->max_tokens;
  bool stream = g_rand_double (load->rand) < options->stream_share;
  GString *body = load_chats_format_body (load->chats, chat, max_tokens, stream);
  turn->kind = stream ? LOAD_ANSWER_STREAM : LOAD_ANSWER_CHAT;
  turn->chat = chat;
  turn->side = chat->side;
  turn->account = chat->account;
  send_turn (turn, "POST", CHAT_PATH, body);
  g_string_free (body, TRUE);
}

static void
on_worker_timer (evutil_socket_t fd, short what, void *arg)
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

/* A waiting worker counts as in flight, so that the run doesn't end before its next search. */
static void
wait_for_chat (load_t *load)
{
  struct timeval wait = timeval_from_us (CHAT_RETRY_US);
  worker_t *worker = g_new0 (worker_t, 1);
  worker->load = load;
  worker->timer = evtimer_new (load->base, on_worker_timer, worker);
  load->in_flight++;
  event_add (worker->timer, &wait);
}

static void
start_turn (load_t *load, uint64_t start_us)
{
  bool plain = g_rand_double (load->rand) < load->options->plain_share;
  load_chats_chat_t *chat = plain ? NULL : load_chats_take (load->chats, now_us ());
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

/* Latency is measured from the planned arrival, so that a delay of this tool is part of it (no
 * coordinated omission). */
static void
on_arrival_timer (evutil_socket_t fd, short what, void *arg)
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
  struct timeval wait =
      timeval_from_us (load->next_arrival_us > now ? load->next_arrival_us - now : 0);
  if (may_send (load))
    event_add (load->arrival_timer, &wait);
  end_if_drained (load);
}

static void
stop_loop (evutil_socket_t fd, short what, void *arg)
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
      on_arrival_timer (-1, 0, load);
      return;
    }
  for (uint32_t i = 0; i < load->options->concurrency && may_send (load); i++)
    start_turn (load, load->started_us);
}

static bool
run_load (const load_options_t *options, struct event_base *base)
{
  load_t load = { .options = options, .base = base };
  load.rand = g_rand_new_with_seed (options->seed);
  load.chats = load_chats_new (options, load.rand);
  load.client = load_client_new (base);
  load.stats = load_stats_new ();
  load.arrival_timer = evtimer_new (base, on_arrival_timer, &load);
  load.end_timer = evtimer_new (base, stop_loop, base);
  start (&load);
  event_base_dispatch (base);
  uint64_t elapsed_us = now_us () - load.started_us;
  bool has_mismatch = load_stats_print (load.stats, options, elapsed_us, load.skipped);
  event_free (load.arrival_timer);
  event_free (load.end_timer);
  load_stats_free (load.stats);
  load_client_free (load.client);
  load_chats_free (load.chats);
  g_rand_free (load.rand);
  return has_mismatch;
}

/* libevent's default coarse clock has a resolution of 4 ms at 250 ticks a second, too coarse for
 * arrivals. */
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
  load_options_t *options = load_options_parse (argc, argv);
  struct event_base *base = precise_base_new ();
  struct event *interrupted = evsignal_new (base, SIGINT, stop_loop, base);
  struct event *terminated = evsignal_new (base, SIGTERM, stop_loop, base);
  bool has_mismatch = false;
  signal (SIGPIPE, SIG_IGN);
  event_add (interrupted, NULL);
  event_add (terminated, NULL);
  if (options->idle == 0)
    has_mismatch = run_load (options, base);
  else
    load_idle_run (options, base);
  event_free (interrupted);
  event_free (terminated);
  event_base_free (base);
  g_free (options);
  return has_mismatch ? 1 : 0;
}
