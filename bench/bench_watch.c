/**
 * DOC: bench_watch
 *
 * Polls the daemons of a fleet that is under load: each sidecar for its load and load bound many
 * times a second, and each daemon for its counters less often. On SIGTERM or SIGINT it prints lines
 * NAME<TAB>VALUE and ends.
 */
#include "load_client.h"
#include "watch_stats.h"

#include <event2/event.h>
#include <getopt.h>
#include <jansson.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_INTERVAL_MS 20
#define METRICS_EVERY_ROUNDS 10
#define POLL_TIMEOUT_MS 500

static const char usage_text[] =
    "bench-watch --daemon GROUP,NAME,IP:PORT... [--bound GROUP,PERCENT]... [--interval-ms N]\n"
    "  a router's GROUP is \"router\"\n";

typedef struct watch watch_t;

/** struct target - a daemon that is polled */
typedef struct
{
  watch_t *watch;
  watch_stats_daemon_t *daemon;
  address_t address;
} target_t;

struct watch
{
  struct event_base *base;
  load_client_t *client;
  watch_stats_t *stats;
  GPtrArray *targets;
  struct event *timer;
  uint32_t interval_ms;
  uint32_t pending; /* polls of this round without an answer yet */
  uint64_t round;
};

static void __attribute__ ((noreturn)) exit_usage (const char *message)
{
  g_printerr ("%s\n%s", message, usage_text);
  exit (2);
}

static void
end_poll (watch_t *watch)
{
  watch->pending--;
  if (watch->pending == 0)
    watch_stats_end_round (watch->stats);
}

static void
on_status (const load_client_answer_t *answer, void *context)
{
  target_t *target = context;
  json_t *json = NULL;
  if (answer->failure == NULL && answer->status == 200)
    json = json_loadb (answer->body->str, answer->body->len, 0, NULL);
  if (json_is_false (json_object_get (json, "draining")))
    {
      target->daemon->load = (uint32_t)json_integer_value (json_object_get (json, "load"));
      target->daemon->bound_milli =
          (uint32_t)json_integer_value (json_object_get (json, "bound_milli"));
      target->daemon->known = true;
    }
  json_decref (json);
  end_poll (target->watch);
}

static void
on_metrics (const load_client_answer_t *answer, void *context)
{
  target_t *target = context;
  if (answer->failure == NULL && answer->status == 200)
    watch_stats_read_metrics (target->daemon, answer->body->str);
  end_poll (target->watch);
}

static void
poll_daemon (target_t *target, const char *path, load_client_done_t done)
{
  static const load_client_header_t none[] = { { NULL, NULL } };
  const load_client_request_t request = { .address = &target->address,
                                          .method = "GET",
                                          .target = path,
                                          .headers = none,
                                          .timeout_ms = POLL_TIMEOUT_MS,
                                          .done = done,
                                          .context = target };
  target->watch->pending++;
  load_client_send (target->watch->client, &request);
}

/* The next round waits until all polls of this one have ended, since loads are only comparable
 * within one moment. */
static void
on_timer (evutil_socket_t fd, short what, void *context)
{
  watch_t *watch = context;
  (void)fd;
  (void)what;
  if (watch->pending > 0)
    return;
  const bool metrics = watch->round++ % METRICS_EVERY_ROUNDS == 0;
  for (guint i = 0; i < watch->targets->len; i++)
    {
      target_t *target = g_ptr_array_index (watch->targets, i);
      if (strcmp (target->daemon->group, "router") != 0)
        poll_daemon (target, "/medlarplank/status", on_status);
      if (metrics)
        poll_daemon (target, "/metrics", on_metrics);
    }
}

static void
stop_loop (evutil_socket_t fd, short what, void *base)
{
  (void)fd;
  (void)what;
  event_base_loopbreak (base);
}

static void
add_daemon (watch_t *watch, const char *text)
{
  g_auto (GStrv) parts = g_strsplit (text, ",", 4);
  if (g_strv_length (parts) != 3)
    exit_usage ("a daemon is GROUP,NAME,IP:PORT");
  target_t *target = g_new0 (target_t, 1);
  GError *error = NULL;
  if (!address_parse (parts[2], &target->address, &error))
    exit_usage (error->message);
  target->watch = watch;
  target->daemon = watch_stats_add_daemon (watch->stats, parts[0], parts[1]);
  g_ptr_array_add (watch->targets, target);
}

static void
add_bound (watch_t *watch, const char *text)
{
  g_auto (GStrv) parts = g_strsplit (text, ",", 3);
  guint64 percent;
  if (g_strv_length (parts) != 2 ||
      !g_ascii_string_to_unsigned (parts[1], 10, 100, 100000, &percent, NULL))
    exit_usage ("a bound is GROUP,PERCENT");
  watch_stats_set_bound (watch->stats, parts[0], (uint32_t)percent);
}

static void
read_flags (watch_t *watch, int argc, char **argv)
{
  static const struct option flags[] = {
    { "daemon", required_argument, NULL, 'd' },
    { "bound", required_argument, NULL, 'b' },
    { "interval-ms", required_argument, NULL, 'i' },
    { NULL, 0, NULL, 0 },
  };
  int flag;
  while ((flag = getopt_long (argc, argv, "", flags, NULL)) != -1)
    if (flag == 'd')
      add_daemon (watch, optarg);
    else if (flag == 'b')
      add_bound (watch, optarg);
    else if (flag == 'i')
      watch->interval_ms = (uint32_t)MAX (1, atoi (optarg));
    else
      exit_usage ("wrong flag");
  if (optind != argc || watch->targets->len == 0)
    exit_usage ("no daemon to watch");
}

static struct event_base *
precise_base_new (void)
{
  struct event_config *config = event_config_new ();
  event_config_set_flag (config, EVENT_BASE_FLAG_PRECISE_TIMER);
  struct event_base *base = event_base_new_with_config (config);
  event_config_free (config);
  return base;
}

static void
run (watch_t *watch)
{
  struct event *interrupted = evsignal_new (watch->base, SIGINT, stop_loop, watch->base);
  struct event *terminated = evsignal_new (watch->base, SIGTERM, stop_loop, watch->base);
  struct timeval interval = { watch->interval_ms / 1000,
                              (suseconds_t)(watch->interval_ms % 1000) * 1000 };
  const gint64 started_us = g_get_monotonic_time ();
  event_add (interrupted, NULL);
  event_add (terminated, NULL);
  watch->timer = event_new (watch->base, -1, EV_PERSIST, on_timer, watch);
  event_add (watch->timer, &interval);
  event_base_dispatch (watch->base);
  watch_stats_print (watch->stats, (double)(g_get_monotonic_time () - started_us) / G_USEC_PER_SEC);
  event_free (watch->timer);
  event_free (interrupted);
  event_free (terminated);
}

int
main (int argc, char **argv)
{
  watch_t watch = { .interval_ms = DEFAULT_INTERVAL_MS };
  watch.base = precise_base_new ();
  watch.client = load_client_new (watch.base);
  watch.stats = watch_stats_new ();
  watch.targets = g_ptr_array_new_with_free_func (g_free);
  read_flags (&watch, argc, argv);
  signal (SIGPIPE, SIG_IGN);
  run (&watch);
  load_client_free (watch.client);
  watch_stats_free (watch.stats);
  g_ptr_array_free (watch.targets, TRUE);
  event_base_free (watch.base);
  return 0;
}
