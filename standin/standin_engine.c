/**
 * DOC: standin_engine
 *
 * Simulates one engine for tests, the demo and benchmarks: a model engine with continuous batching
 * and a prefix cache, or a plain service. It runs no model; the answer identifies the request.
 */
#include "engine.h"

#include <fcntl.h>
#include <getopt.h>
#include <signal.h>
#include <string.h>

#define PLAIN_SERVICE_MAX_STEP_US 1000

static const char usage_text[] =
    "standin-engine --listen IP:PORT [--name NAME] [--kind model|plain] [--slots N]\n"
    "  [--prefill-tokens-s N] [--token-us N] [--service-us N] [--cache-tokens N]\n"
    "  [--report-lag-ms N] [--event-gap-percent N] [--crash-on TEXT] [--check-fence yes|no]\n"
    "  [--record FILE] [--record-fd N] [--seed N]\n";

enum
{
  FLAG_LISTEN = 1,
  FLAG_NAME,
  FLAG_KIND,
  FLAG_SLOTS,
  FLAG_PREFILL,
  FLAG_TOKEN_US,
  FLAG_SERVICE_US,
  FLAG_CACHE_TOKENS,
  FLAG_REPORT_LAG,
  FLAG_EVENT_GAP,
  FLAG_CRASH_ON,
  FLAG_CHECK_FENCE,
  FLAG_RECORD,
  FLAG_RECORD_FD,
  FLAG_SEED
};

static const struct option flags[] = {
  { "listen", required_argument, NULL, FLAG_LISTEN },
  { "name", required_argument, NULL, FLAG_NAME },
  { "kind", required_argument, NULL, FLAG_KIND },
  { "slots", required_argument, NULL, FLAG_SLOTS },
  { "prefill-tokens-s", required_argument, NULL, FLAG_PREFILL },
  { "token-us", required_argument, NULL, FLAG_TOKEN_US },
  { "service-us", required_argument, NULL, FLAG_SERVICE_US },
  { "cache-tokens", required_argument, NULL, FLAG_CACHE_TOKENS },
  { "report-lag-ms", required_argument, NULL, FLAG_REPORT_LAG },
  { "event-gap-percent", required_argument, NULL, FLAG_EVENT_GAP },
  { "crash-on", required_argument, NULL, FLAG_CRASH_ON },
  { "check-fence", required_argument, NULL, FLAG_CHECK_FENCE },
  { "record", required_argument, NULL, FLAG_RECORD },
  { "record-fd", required_argument, NULL, FLAG_RECORD_FD },
  { "seed", required_argument, NULL, FLAG_SEED },
  { NULL, 0, NULL, 0 },
};

static uint64_t
parse_number (const char *text)
{
  guint64 value;
  GError *error = NULL;
  if (g_ascii_string_to_unsigned (text, 10, 0, G_MAXUINT32, &value, &error))
    return value;
  g_printerr ("%s\n", error->message);
  exit (2);
}

static int
open_record_file (const char *path)
{
  int fd = open (path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (fd >= 0)
    return fd;
  g_printerr ("%s: %s\n", path, g_strerror (errno));
  exit (2);
}

static void
apply_flag (standin_engine_options_t *options, int flag, const char *value)
{
  switch (flag)
    {
    case FLAG_LISTEN:
      options->listen = value;
      break;
    case FLAG_NAME:
      options->name = value;
      break;
    case FLAG_KIND:
      options->plain = strcmp (value, "plain") == 0;
      break;
    case FLAG_SLOTS:
      options->slots = (uint32_t)MAX (1, parse_number (value));
      break;
    case FLAG_PREFILL:
      options->prefill_tokens_s = parse_number (value);
      break;
    case FLAG_TOKEN_US:
      options->token_us = MAX (1, parse_number (value));
      break;
    case FLAG_SERVICE_US:
      options->service_us = MAX (1, parse_number (value));
      break;
    case FLAG_CACHE_TOKENS:
      options->cache_tokens = (uint32_t)parse_number (value);
      break;
    case FLAG_REPORT_LAG:
      options->report_lag_us = parse_number (value) * 1000;
      break;
    case FLAG_EVENT_GAP:
      options->event_loss_percent = (uint32_t)parse_number (value);
      break;
    case FLAG_CRASH_ON:
      options->crash_on = value;
      break;
    case FLAG_CHECK_FENCE:
      options->check_fence = strcmp (value, "yes") == 0;
      break;
    case FLAG_RECORD:
      options->record_fd = open_record_file (value);
      break;
    case FLAG_RECORD_FD:
      options->record_fd = (int)parse_number (value);
      break;
    case FLAG_SEED:
      options->seed = (uint32_t)parse_number (value);
      break;
    default:
      g_printerr ("%s", usage_text);
      exit (2);
    }
}

static standin_engine_options_t
parse_flags (int argc, char **argv)
{
  standin_engine_options_t options = { .name = "engine",
                                       .slots = 16,
                                       .prefill_tokens_s = 20000,
                                       .token_us = 5000,
                                       .service_us = 1000,
                                       .cache_tokens = 256 * 1024,
                                       .report_lag_us = 200 * 1000,
                                       .event_loss_percent = 5,
                                       .check_fence = true,
                                       .record_fd = -1,
                                       .seed = 1 };
  int flag;
  while ((flag = getopt_long (argc, argv, "", flags, NULL)) != -1)
    apply_flag (&options, flag, optarg);
  if (options.listen == NULL || optind != argc)
    apply_flag (&options, '?', NULL);
  return options;
}

static void
on_block_change (uint64_t block, bool stored, void *context)
{
  standin_engine_t *engine = context;
  cache_events_add (engine->events, (uint64_t)g_get_monotonic_time (), block, stored);
}

static void
on_call (http_call_t *call, void *context)
{
  standin_engine_t *engine = context;
  if (standin_engine_handle_admin (engine, call))
    return;
  if (engine->options.plain)
    standin_engine_run_plain (engine, call);
  else if (http_call_matches (call, "POST", "/v1/chat/completions"))
    standin_engine_run_chat (engine, call);
  else if (http_call_matches (call, "POST", "/resume"))
    standin_engine_resume_stream (engine, call);
  else
    standin_engine_answer_error (engine, call, 404, "no such path");
}

static void
start_load_reports (standin_engine_t *engine)
{
  struct timeval lag = { (time_t)(engine->options.report_lag_us / G_USEC_PER_SEC),
                         (suseconds_t)(engine->options.report_lag_us % G_USEC_PER_SEC) };
  engine->report_timer = event_new (engine->base, -1, EV_PERSIST, standin_engine_on_report, engine);
  standin_engine_on_report (-1, 0, engine);
  if (engine->options.report_lag_us > 0)
    event_add (engine->report_timer, &lag);
}

static void
engine_init (standin_engine_t *engine, const standin_engine_options_t *options)
{
  engine->options = *options;
  engine->base = http_call_base_new ();
  engine->step_us =
      options->plain ? MIN (options->service_us, PLAIN_SERVICE_MAX_STEP_US) : options->token_us;
  engine->batch = standin_engine_create_batch (engine);
  engine->step_timer = evtimer_new (engine->base, standin_engine_on_step, engine);
  engine->cache = prefix_cache_new (options->cache_tokens, on_block_change, engine);
  engine->events =
      cache_events_new (options->report_lag_us, options->event_loss_percent, options->seed);
  engine->record = run_record_new (options->record_fd);
  engine->active_runs = g_hash_table_new (g_str_hash, g_str_equal);
  g_queue_init (&engine->ended_streams);
  start_load_reports (engine);
}

static void
on_stop_signal (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  event_base_loopbreak (arg);
}

int
main (int argc, char **argv)
{
  standin_engine_options_t options = parse_flags (argc, argv);
  static standin_engine_t state; /* static, so that leak checkers treat its memory as reachable */
  standin_engine_t *engine = &state;
  signal (SIGPIPE, SIG_IGN);
  engine_init (engine, &options);
  if (http_call_listen (engine->base, options.listen, on_call, engine) == NULL)
    return 1;
  event_add (evsignal_new (engine->base, SIGTERM, on_stop_signal, engine->base), NULL);
  event_add (evsignal_new (engine->base, SIGINT, on_stop_signal, engine->base), NULL);
  g_print ("%s listens on %s\n", options.name, options.listen);
  event_base_dispatch (engine->base);
  return 0;
}
