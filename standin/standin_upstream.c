/**
 * DOC: standin_upstream
 *
 * A stand-in for an upstream on the users' platform: it registers in the store's keyed topic of
 * engines, renews its entry, says that it is leaving before it ends, and answers requests plainly
 * or as a stream of events. What it begins and ends goes to a record, a line each: "begin|end
 * TIME_MS ID INSTANCE ACCOUNT FROM OUTCOME".
 * With --advertise its entry names another address, as of a proxy before it.
 */
#include "connection/platform_call.h"
#include "http.h"

#include <getopt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define HEARTBEAT_MS 400
#define LINGER_MS 300 /* after the last request of one that leaves */
#define TOPIC "keyed.servers"

typedef struct
{
  const char *listen;
  const char *advertise;
  const char *store;
  const char *service;
  const char *data_center;
  const char *record;
  uint32_t slots;
  uint32_t work_ms;
  uint32_t events;
  uint32_t drain_ms;
  uint32_t fail_percent;
  uint32_t lose_percent;
} options_t;

/** struct upstream - @instance is new with each start */
typedef struct
{
  options_t options;
  struct event_base *base;
  pcl_t *store;
  GRand *rand;
  FILE *record;
  char instance[48];
  uint32_t running;
  uint64_t leaving_us;
  bool gone;
  struct event *heartbeat;
} upstream_t;

/** struct run - a request that runs */
typedef struct
{
  upstream_t *upstream;
  sht_call_t *call; /* NULL once its caller has gone */
  char *id;
  char *account;
  uint64_t next_event; /* 0 for a plain answer */
  struct event *timer;
} run_t;

static uint64_t
now_us (void)
{
  return (uint64_t)g_get_monotonic_time ();
}

static void
note (const upstream_t *upstream, const char *what, const run_t *run, const char *outcome)
{
  fprintf (upstream->record, "%s %" G_GINT64_FORMAT " %s %s %s %" G_GUINT64_FORMAT " %s\n", what,
           g_get_real_time () / 1000, run->id, upstream->instance, run->account, run->next_event,
           outcome);
  fflush (upstream->record);
}

static void
run_free (run_t *run)
{
  run->upstream->running--;
  event_free (run->timer);
  g_free (run->id);
  g_free (run->account);
  g_free (run);
}

static void
run_gone (void *context)
{
  run_t *run = context;

  note (run->upstream, "end", run, "gone");
  run->call = NULL;
  run_free (run);
}

static void
add_event (run_t *run)
{
  g_autofree char *text =
      g_strdup_printf ("id: %" G_GUINT64_FORMAT "\ndata: %s %" G_GUINT64_FORMAT "\n\n",
                       run->next_event, run->id, run->next_event);

  sht_stream (run->call, text);
}

static void
answer_plain (run_t *run)
{
  upstream_t *upstream = run->upstream;
  uint32_t dice = (uint32_t)g_rand_int_range (upstream->rand, 0, 100);
  bool fails = dice < upstream->options.fail_percent;
  bool lost = !fails && dice < upstream->options.fail_percent + upstream->options.lose_percent;
  g_autofree char *text = g_strdup_printf ("answer to %s by %s\n", run->id, upstream->instance);

  note (upstream, "end", run, fails ? "failed" : lost ? "lost" : "ok");
  if (lost)
    sht_cut (run->call);
  else
    sht_reply_bytes (run->call, fails ? 500 : 200, text, strlen (text));
  run_free (run);
}

static void
run_due (evutil_socket_t fd, short what, void *context)
{
  run_t *run = context;
  struct timeval wait = { 0, (suseconds_t)run->upstream->options.work_ms * 1000 };

  (void)fd;
  (void)what;
  if (run->next_event == 0)
    {
      answer_plain (run);
      return;
    }
  add_event (run);
  if (run->next_event++ < run->upstream->options.events)
    {
      event_add (run->timer, &wait);
      return;
    }
  note (run->upstream, "end", run, "ok");
  sht_end_stream (run->call);
  run_free (run);
}

static void
add_headers (const upstream_t *upstream, sht_call_t *call, const char *id)
{
  g_autofree char *load = g_strdup_printf ("%u,0,%u", upstream->running, upstream->options.slots);

  sht_add_header (call, "X-Request-Id", id);
  sht_add_header (call, "X-Response-Stamp", upstream->instance);
  sht_add_header (call, "X-Engine-Load", load);
}

/* Return: whether the request was turned away without running */
static bool
turned_away (upstream_t *upstream, sht_call_t *call, const char *id)
{
  const char *expected = sht_header (call, "X-Expect-Instance");

  if (expected && strcmp (expected, upstream->instance) != 0)
    {
      sht_add_header (call, "X-Instance-Id", upstream->instance);
      sht_reply (call, 421, NULL);
      return true;
    }
  if (id && upstream->running < upstream->options.slots)
    return false;
  sht_add_header (call, "X-Not-Run", "1");
  sht_reply (call, id ? 503 : 400, NULL);
  return true;
}

static void
call_came (sht_call_t *call, void *context)
{
  upstream_t *upstream = context;
  const char *id = sht_header (call, "X-Request-Id");
  const char *account = sht_header (call, "X-Tenant");
  const char *last = sht_header (call, "Last-Event-Id");
  struct timeval wait = { 0, (suseconds_t)upstream->options.work_ms * 1000 };
  run_t *run;

  if (turned_away (upstream, call, id))
    return;
  run = g_new0 (run_t, 1);
  run->upstream = upstream;
  run->call = call;
  run->id = g_strdup (id);
  run->account = g_strdup (account ? account : "-");
  if (upstream->options.events > 0)
    run->next_event = (last ? g_ascii_strtoull (last, NULL, 10) : 0) + 1;
  run->timer = evtimer_new (upstream->base, run_due, run);
  upstream->running++;
  note (upstream, "begin", run, sht_header (call, "X-Key") ? "key-shown" : "-");
  add_headers (upstream, call, id);
  sht_on_gone (call, run_gone, run);
  if (run->next_event > 0)
    sht_begin_stream (call);
  event_add (run->timer, &wait);
}

static void
put_done (const pcl_answer_t *answer, void *context)
{
  upstream_t *upstream = context;
  run_t none = { .id = "-", .account = "-" };

  if (upstream->leaving_us != 0 && answer->status == 200)
    note (upstream, "leaving", &none, upstream->gone ? "dropped" : "told");
}

static void
ignore (void *context)
{
  (void)context;
}

/* a record of the keyed topic, without a value when the entry goes */
static void
put_entry (upstream_t *upstream, const char *value)
{
  GString *body = g_string_new (NULL);
  size_t key_bytes = strlen (upstream->instance);
  size_t length = 1 + key_bytes + strlen (value);

  for (int shift = 24; shift >= 0; shift -= 8)
    g_string_append_c (body, (char)(length >> shift));
  g_string_append_c (body, (char)key_bytes);
  g_string_append (body, upstream->instance);
  g_string_append (body, value);
  pcl_start (upstream->store, &(pcl_request_t){ .method = "POST",
                                                .target = "/log-append?topic=" TOPIC "&part=0",
                                                .body = body->str,
                                                .body_bytes = body->len,
                                                .timeout_ms = HEARTBEAT_MS,
                                                .answer_limit_bytes = 4096,
                                                .done = put_done,
                                                .dropped = ignore,
                                                .context = upstream });
  g_string_free (body, TRUE);
}

static void
renew (upstream_t *upstream)
{
  const options_t *options = &upstream->options;
  g_autofree char *value =
      g_strdup_printf ("{\"service\":\"%s\",\"addr\":\"%s\",\"zone\":\"%s\",\"slots\":%u,"
                       "\"state\":\"%s\"}",
                       options->service, options->advertise, options->data_center, options->slots,
                       upstream->leaving_us ? "draining" : "ready");

  put_entry (upstream, value);
}

/* It ends once it has told long enough that it leaves, and all that ran has ended. */
static void
on_heartbeat (evutil_socket_t fd, short what, void *context)
{
  upstream_t *upstream = context;
  uint64_t told_us = upstream->leaving_us ? now_us () - upstream->leaving_us : 0;
  struct timeval linger = { 0, LINGER_MS * 1000 };

  (void)fd;
  (void)what;
  if (told_us < (uint64_t)upstream->options.drain_ms * 1000 || upstream->running > 0)
    {
      if (!upstream->gone)
        renew (upstream);
      return;
    }
  if (upstream->gone)
    return;
  upstream->gone = true;
  put_entry (upstream, "");
  event_base_loopexit (upstream->base, &linger);
}

static void
on_stop (evutil_socket_t fd, short what, void *context)
{
  upstream_t *upstream = context;

  (void)fd;
  (void)what;
  if (upstream->leaving_us == 0)
    upstream->leaving_us = now_us ();
  renew (upstream);
}

static const struct option flags[] = {
  { "advertise", required_argument, NULL, 'a' },
  { "listen", required_argument, NULL, 'l' },
  { "store", required_argument, NULL, 's' },
  { "service", required_argument, NULL, 'v' },
  { "data-center", required_argument, NULL, 'z' },
  { "record", required_argument, NULL, 'r' },
  { "slots", required_argument, NULL, 'n' },
  { "work-ms", required_argument, NULL, 'w' },
  { "events", required_argument, NULL, 'e' },
  { "drain-ms", required_argument, NULL, 'd' },
  { "fail-percent", required_argument, NULL, 'f' },
  { "lose-percent", required_argument, NULL, 'o' },
  { NULL, 0, NULL, 0 },
};

static uint32_t
number (const char *text)
{
  guint64 value;

  if (g_ascii_string_to_unsigned (text, 10, 0, 1000000, &value, NULL))
    return (uint32_t)value;
  g_printerr ("\"%s\" is not a number up to 1000000\n", text);
  exit (2);
}

static void
take_flag (options_t *options, int flag, const char *value)
{
  uint32_t *const numbers[] = {
    ['n'] = &options->slots,    ['w'] = &options->work_ms,      ['e'] = &options->events,
    ['d'] = &options->drain_ms, ['f'] = &options->fail_percent, ['o'] = &options->lose_percent,
  };
  const char **const texts[] = {
    ['a'] = &options->advertise, ['l'] = &options->listen,      ['s'] = &options->store,
    ['v'] = &options->service,   ['z'] = &options->data_center, ['r'] = &options->record
  };

  if (flag > 0 && (size_t)flag < G_N_ELEMENTS (numbers) && numbers[flag])
    *numbers[flag] = number (value);
  else if (flag > 0 && (size_t)flag < G_N_ELEMENTS (texts) && texts[flag])
    *texts[flag] = value;
  else
    {
      g_printerr ("standin-upstream --listen IP:PORT --store IP:PORT --service NAME --record FILE\n"
                  "  [--advertise IP:PORT] [--data-center NAME] [--slots N] [--work-ms N] "
                  "[--events N] [--drain-ms N]\n"
                  "  [--fail-percent N] [--lose-percent N]\n");
      exit (2);
    }
}

static options_t
read_flags (int argc, char **argv)
{
  options_t options = {
    .data_center = "hall-bayangol", .slots = 16, .work_ms = 5, .drain_ms = 600
  };
  int flag;

  while ((flag = getopt_long (argc, argv, "", flags, NULL)) != -1)
    take_flag (&options, flag, optarg);
  if (!options.listen || !options.store || !options.service || !options.record || optind != argc)
    take_flag (&options, '?', NULL);
  if (!options.advertise)
    options.advertise = options.listen;
  return options;
}

static void
open_upstream (upstream_t *upstream)
{
  set_address_t store;
  struct timeval beat = { 0, HEARTBEAT_MS * 1000 };

  if (!set_parse_address (upstream->options.store, &store, NULL))
    take_flag (&upstream->options, '?', NULL);
  upstream->record = fopen (upstream->options.record, "ae");
  if (!upstream->record)
    {
      g_printerr ("%s: can't be written\n", upstream->options.record);
      exit (2);
    }
  upstream->base = sht_base_new ();
  upstream->store = pcl_new (upstream->base, &store, NULL);
  upstream->rand = g_rand_new ();
  g_snprintf (upstream->instance, sizeof upstream->instance, "i-%" G_GINT64_MODIFIER "x-%d",
              g_get_real_time (), (int)getpid ());
  upstream->heartbeat = event_new (upstream->base, -1, EV_PERSIST, on_heartbeat, upstream);
  event_add (upstream->heartbeat, &beat);
}

int
main (int argc, char **argv)
{
  static upstream_t upstream; /* reachable to the end, so that a leak checker reports none of it */

  upstream.options = read_flags (argc, argv);
  signal (SIGPIPE, SIG_IGN);
  open_upstream (&upstream);
  if (!sht_listen (upstream.base, upstream.options.listen, call_came, &upstream))
    return 1;
  event_add (evsignal_new (upstream.base, SIGTERM, on_stop, &upstream), NULL);
  renew (&upstream);
  event_base_dispatch (upstream.base);
  return 0;
}
