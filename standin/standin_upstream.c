/**
 * DOC: standin_upstream
 *
 * Simulates an upstream on the users' platform. It registers in the keyed topic of engines, renews
 * its entry, and marks it as draining for a while before it exits. It answers requests with a plain
 * answer or a stream of events. The record file gets a line for each start and end of a request:
 * "begin|end TIME_MS ID INSTANCE ACCOUNT FROM OUTCOME". A line "leaving" in the same format follows
 * each confirmed update of the entry during the exit. With --advertise the entry names another
 * address, for example of a proxy in front of it. With --crash-on, a request whose path contains
 * the given text ends the process once it has run for --work-ms; its outcome in the record is
 * "crash"; with --crash-on-part, which may be given several times, likewise one whose prompt has
 * that part, unless it is the last. With --software-version the entry and each event of a stream
 * state that version; it does not check at which version a stream that it continues began. With
 * --token-us, an event holds %TOKENS_PER_EVENT tokens, each of which takes that time and
 * --token-us-per-run for each request that runs, and the second figure of X-Token-Count is the
 * number of a request's tokens. With --backlog, that many connections may wait until it accepts
 * them; while the process is stopped, others are not established.
 */
#include "connection/platform_client.h"
#include "http_call.h"
#include "run_copies.h"

#include <errno.h>
#include <getopt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HEARTBEAT_MS 400
#define EXIT_DELAY_MS 300 /* between the removal of the entry and the exit */
#define ENGINES_TOPIC "keyed.servers"
#define CRASH_PARTS_MAX 4
#define TOKENS_PER_EVENT 8

typedef struct
{
  const char *listen;
  const char *advertise;
  const char *store;
  const char *service;
  const char *data_center;
  const char *record;
  const char *crash_on;
  const char *crash_parts[CRASH_PARTS_MAX];
  uint32_t crash_part_count;
  const char *software_version;
  uint32_t slots;
  uint32_t work_ms;
  uint32_t events;
  uint32_t token_us;
  uint32_t token_us_per_run;
  uint32_t drain_ms;
  uint32_t fail_percent;
  uint32_t lose_percent;
  uint32_t backlog;
} options_t;

/**
 * struct upstream - the process
 * @store: client of the store
 * @record: record file
 * @copies: copies of the caches of runs, here and at others
 * @instance: name of the instance, unique to each start; the key of its entry
 * @running: requests that run
 * @renewals: how often its entry was written
 * @leaving_since_us: when it began to leave, on the monotonic clock; 0 before
 * @is_entry_removed: whether the removal of the entry has been sent
 */
typedef struct
{
  options_t options;
  struct event_base *base;
  platform_client_t *store;
  GRand *rand;
  FILE *record;
  run_copies_t *copies;
  char instance[48];
  uint32_t running;
  uint64_t renewals;
  uint64_t leaving_since_us;
  bool is_entry_removed;
  struct event *heartbeat;
} upstream_t;

/**
 * struct run - a running request
 * @call: NULL once its caller has disconnected
 * @backup: IP:PORT of the upstream that gets a copy of its cache, or NULL
 * @ends_upstream: it crashes the process
 * @next_event: number of the next event to send; 0 for a plain answer
 * @events: number of its events
 */
typedef struct
{
  upstream_t *upstream;
  http_call_t *call;
  char *id;
  char *account;
  char *backup;
  uint64_t next_event;
  uint64_t events;
  bool ends_upstream;
  struct event *timer;
} run_t;

static uint64_t
now_us (void)
{
  return (uint64_t)g_get_monotonic_time ();
}

static void
write_record (const upstream_t *upstream, const char *what, const run_t *run, const char *outcome)
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
  g_free (run->backup);
  g_free (run);
}

static void
on_caller_disconnect (void *context)
{
  run_t *run = context;

  write_record (run->upstream, "end", run, "gone");
  run->call = NULL;
  run_free (run);
}

static void
send_event (run_t *run)
{
  const char *version = run->upstream->options.software_version;
  g_autofree char *text = g_strdup_printf (
      "id: %" G_GUINT64_FORMAT "\ndata: %s %" G_GUINT64_FORMAT "%s%s\n\n", run->next_event, run->id,
      run->next_event, version ? " " : "", version ? version : "");

  http_call_send_part (run->call, text);
}

static void
answer_plain (run_t *run)
{
  upstream_t *upstream = run->upstream;
  uint32_t draw = (uint32_t)g_rand_int_range (upstream->rand, 0, 100);
  bool is_failed = draw < upstream->options.fail_percent;
  bool is_lost =
      !is_failed && draw < upstream->options.fail_percent + upstream->options.lose_percent;
  g_autofree char *text = g_strdup_printf ("answer to %s by %s\n", run->id, upstream->instance);

  write_record (upstream, "end", run, is_failed ? "failed" : is_lost ? "lost" : "ok");
  if (is_lost)
    http_call_abort (run->call);
  else
    http_call_reply_bytes (run->call, is_failed ? 500 : 200, text, strlen (text));
  run_free (run);
}

/* Return: the time until the next event or the plain answer of a request */
static struct timeval
event_time (const upstream_t *upstream)
{
  const options_t *options = &upstream->options;
  uint64_t event_us = (uint64_t)options->work_ms * 1000;

  if (options->token_us > 0)
    event_us = (uint64_t)TOKENS_PER_EVENT *
               (options->token_us + (uint64_t)options->token_us_per_run * upstream->running);
  return (struct timeval){ (time_t)(event_us / G_USEC_PER_SEC),
                           (suseconds_t)(event_us % G_USEC_PER_SEC) };
}

static void
on_run_timer (evutil_socket_t fd, short what, void *context)
{
  run_t *run = context;
  struct timeval wait = event_time (run->upstream);

  (void)fd;
  (void)what;
  if (run->ends_upstream)
    {
      write_record (run->upstream, "end", run, "crash");
      _exit (EXIT_FAILURE);
    }
  if (run->next_event == 0)
    {
      answer_plain (run);
      return;
    }
  if (run->next_event <= run->events)
    send_event (run);
  if (run->next_event++ < run->events)
    {
      run_copies_send (run->upstream->copies, run->backup, run->id, false);
      event_add (run->timer, &wait);
      return;
    }
  run_copies_send (run->upstream->copies, run->backup, run->id, true);
  write_record (run->upstream, "end", run, "ok");
  http_call_end_stream (run->call);
  run_free (run);
}

static void
add_headers (const upstream_t *upstream, http_call_t *call, const char *id)
{
  g_autofree char *load = g_strdup_printf ("%u,0,%u", upstream->running, upstream->options.slots);

  http_call_add_header (call, "X-Request-Id", id);
  http_call_add_header (call, "X-Response-Stamp", upstream->instance);
  http_call_add_header (call, "X-Engine-Load", load);
}

/* Return: whether the request was refused without running it */
static bool
refuse_request (upstream_t *upstream, http_call_t *call, const char *id)
{
  const char *expected = http_call_header (call, "X-Expect-Instance");
  bool is_other = expected && strcmp (expected, upstream->instance) != 0;

  if (!is_other && id && upstream->running < upstream->options.slots &&
      run_copies_take (upstream->copies, now_us (), http_call_header (call, "Kv-From")))
    return false;
  if (id)
    http_call_add_header (call, "X-Request-Id", id);
  if (is_other)
    {
      http_call_add_header (call, "X-Instance-Id", upstream->instance);
      http_call_reply_json (call, 421, NULL);
      return true;
    }
  http_call_add_header (call, "X-Not-Run", "1");
  http_call_reply_json (call, id ? 503 : 400, NULL);
  return true;
}

/* @prompt: ID:TOKENS of each part, separated by commas */
static bool
has_crash_part (const options_t *options, const char *prompt)
{
  g_auto (GStrv) parts = g_strsplit (prompt, ",", -1);

  for (char **part = parts; part[0] && part[1]; part++)
    for (uint32_t i = 0; i < options->crash_part_count; i++)
      {
        size_t length = strlen (options->crash_parts[i]);

        if (strncmp (*part, options->crash_parts[i], length) == 0 && (*part)[length] == ':')
          return true;
      }
  return false;
}

static bool
ends_upstream (const upstream_t *upstream, const http_call_t *call)
{
  const char *text = upstream->options.crash_on;
  const char *prompt = http_call_header (call, "X-Prompt-Prefix");

  return (text && strstr (http_call_path (call), text) != NULL) ||
         (prompt && has_crash_part (&upstream->options, prompt));
}

/* @token_count: tokens of the prompt and of the answer, separated by a comma */
static uint64_t
count_events (const options_t *options, const char *token_count)
{
  const char *comma = token_count ? strchr (token_count, ',') : NULL;
  uint64_t tokens = comma ? g_ascii_strtoull (comma + 1, NULL, 10) : 0;

  if (options->token_us == 0 || tokens == 0)
    return options->events;
  return (tokens + TOKENS_PER_EVENT - 1) / TOKENS_PER_EVENT;
}

static void
on_call (http_call_t *call, void *context)
{
  upstream_t *upstream = context;
  const char *id = http_call_header (call, "X-Request-Id");
  const char *account = http_call_header (call, "X-Tenant");
  const char *last_event_id = http_call_header (call, "Last-Event-Id");
  struct timeval wait;
  run_t *run;

  if (run_copies_receive (upstream->copies, now_us (), call) || refuse_request (upstream, call, id))
    return;
  run = g_new0 (run_t, 1);
  run->upstream = upstream;
  run->call = call;
  run->id = g_strdup (id);
  run->account = g_strdup (account ? account : "-");
  run->backup = g_strdup (http_call_header (call, "X-Kv-Backup"));
  run->ends_upstream = ends_upstream (upstream, call);
  if (upstream->options.events > 0)
    run->next_event = (last_event_id ? g_ascii_strtoull (last_event_id, NULL, 10) : 0) + 1;
  run->events = count_events (&upstream->options, http_call_header (call, "X-Token-Count"));
  run->timer = evtimer_new (upstream->base, on_run_timer, run);
  upstream->running++;
  wait = event_time (upstream);
  run_copies_send (upstream->copies, run->backup, run->id, false);
  write_record (upstream, "begin", run,
                http_call_header (call, "X-Key")     ? "key-shown"
                : http_call_header (call, "Kv-From") ? "from-copy"
                                                     : "-");
  add_headers (upstream, call, id);
  http_call_on_disconnect (call, on_caller_disconnect, run);
  if (run->next_event > 0)
    http_call_begin_stream (call);
  event_add (run->timer, &wait);
}

static void
on_entry_stored (const platform_client_answer_t *answer, void *context)
{
  upstream_t *upstream = context;
  run_t none = { .id = "-", .account = "-" };

  if (upstream->leaving_since_us != 0 && answer->status == 200)
    write_record (upstream, "leaving", &none, upstream->is_entry_removed ? "dropped" : "told");
}

static void
on_store_call_dropped (void *context)
{
  (void)context;
}

/* Writes the entry to the keyed topic; an empty value deletes it. */
static void
store_entry (upstream_t *upstream, const char *value)
{
  GString *body = g_string_new (NULL);
  size_t key_bytes = strlen (upstream->instance);
  size_t length = 1 + key_bytes + strlen (value);

  for (int shift = 24; shift >= 0; shift -= 8)
    g_string_append_c (body, (char)(length >> shift));
  g_string_append_c (body, (char)key_bytes);
  g_string_append (body, upstream->instance);
  g_string_append (body, value);
  platform_client_start (
      upstream->store,
      &(platform_client_request_t){ .method = "POST",
                                    .target = "/log-append?topic=" ENGINES_TOPIC "&part=0",
                                    .body = body->str,
                                    .body_bytes = body->len,
                                    .timeout_ms = HEARTBEAT_MS,
                                    .answer_limit_bytes = 4096,
                                    .done = on_entry_stored,
                                    .on_dropped = on_store_call_dropped,
                                    .context = upstream });
  g_string_free (body, TRUE);
}

static void
renew_entry (upstream_t *upstream)
{
  const options_t *options = &upstream->options;
  g_autofree char *value = g_strdup_printf (
      "{\"service\":\"%s\",\"addr\":\"%s\",\"zone\":\"%s\",\"version\":\"%s\",\"slots\":%u,"
      "\"state\":\"%s\",\"cold_left_ms\":0,\"seq\":%" G_GUINT64_FORMAT "}",
      options->service, options->advertise, options->data_center,
      options->software_version ? options->software_version : "", options->slots,
      upstream->leaving_since_us ? "draining" : "ready", ++upstream->renewals);

  store_entry (upstream, value);
}

/* Exits once the entry has been draining for long enough and all requests have ended. */
static void
on_heartbeat (evutil_socket_t fd, short what, void *context)
{
  upstream_t *upstream = context;
  uint64_t leaving_for_us = upstream->leaving_since_us ? now_us () - upstream->leaving_since_us : 0;
  struct timeval exit_delay = { 0, EXIT_DELAY_MS * 1000 };

  (void)fd;
  (void)what;
  if (leaving_for_us < (uint64_t)upstream->options.drain_ms * 1000 || upstream->running > 0)
    {
      if (!upstream->is_entry_removed)
        renew_entry (upstream);
      return;
    }
  if (upstream->is_entry_removed)
    return;
  upstream->is_entry_removed = true;
  store_entry (upstream, "");
  event_base_loopexit (upstream->base, &exit_delay);
}

static void
on_stop (evutil_socket_t fd, short what, void *context)
{
  upstream_t *upstream = context;

  (void)fd;
  (void)what;
  if (upstream->leaving_since_us == 0)
    upstream->leaving_since_us = now_us ();
  renew_entry (upstream);
}

static const struct option flags[] = {
  { "advertise", required_argument, NULL, 'a' },
  { "listen", required_argument, NULL, 'l' },
  { "store", required_argument, NULL, 's' },
  { "service", required_argument, NULL, 'v' },
  { "data-center", required_argument, NULL, 'z' },
  { "record", required_argument, NULL, 'r' },
  { "crash-on", required_argument, NULL, 'c' },
  { "crash-on-part", required_argument, NULL, 'p' },
  { "software-version", required_argument, NULL, 'b' },
  { "slots", required_argument, NULL, 'n' },
  { "work-ms", required_argument, NULL, 'w' },
  { "token-us", required_argument, NULL, 't' },
  { "token-us-per-run", required_argument, NULL, 'u' },
  { "events", required_argument, NULL, 'e' },
  { "drain-ms", required_argument, NULL, 'd' },
  { "fail-percent", required_argument, NULL, 'f' },
  { "lose-percent", required_argument, NULL, 'o' },
  { "backlog", required_argument, NULL, 'k' },
  { NULL, 0, NULL, 0 },
};

static uint32_t
parse_number (const char *text)
{
  guint64 value;

  if (g_ascii_string_to_unsigned (text, 10, 0, 1000000, &value, NULL))
    return (uint32_t)value;
  g_printerr ("\"%s\" is not a number up to 1000000\n", text);
  exit (2);
}

static void
apply_flag (options_t *options, int flag, const char *value)
{
  uint32_t *const numbers[] = {
    ['n'] = &options->slots,    ['w'] = &options->work_ms,          ['e'] = &options->events,
    ['d'] = &options->drain_ms, ['f'] = &options->fail_percent,     ['o'] = &options->lose_percent,
    ['t'] = &options->token_us, ['u'] = &options->token_us_per_run, ['k'] = &options->backlog,
  };
  const char **const texts[] = {
    ['a'] = &options->advertise, ['l'] = &options->listen,          ['s'] = &options->store,
    ['v'] = &options->service,   ['z'] = &options->data_center,     ['r'] = &options->record,
    ['c'] = &options->crash_on,  ['b'] = &options->software_version
  };

  if (flag > 0 && (size_t)flag < G_N_ELEMENTS (numbers) && numbers[flag])
    *numbers[flag] = parse_number (value);
  else if (flag > 0 && (size_t)flag < G_N_ELEMENTS (texts) && texts[flag])
    *texts[flag] = value;
  else if (flag == 'p' && options->crash_part_count < CRASH_PARTS_MAX)
    options->crash_parts[options->crash_part_count++] = value;
  else
    {
      g_printerr (
          "standin-upstream --listen IP:PORT --store IP:PORT --service NAME --record FILE\n"
          "  [--advertise IP:PORT] [--data-center NAME] [--slots N] [--work-ms N] "
          "[--events N] [--drain-ms N]\n"
          "  [--fail-percent N] [--lose-percent N] [--crash-on TEXT] [--crash-on-part ID]...\n"
          "  [--software-version TEXT] [--token-us N --token-us-per-run N] [--backlog N]\n");
      exit (2);
    }
}

static options_t
parse_flags (int argc, char **argv)
{
  options_t options = {
    .data_center = "hall-bayangol", .slots = 16, .work_ms = 5, .drain_ms = 600
  };
  int flag;

  while ((flag = getopt_long (argc, argv, "", flags, NULL)) != -1)
    apply_flag (&options, flag, optarg);
  if (!options.listen || !options.store || !options.service || !options.record || optind != argc)
    apply_flag (&options, '?', NULL);
  if (!options.advertise)
    options.advertise = options.listen;
  return options;
}

static void
upstream_init (upstream_t *upstream)
{
  address_t store;
  struct timeval interval = { 0, HEARTBEAT_MS * 1000 };

  if (!address_parse (upstream->options.store, &store, NULL))
    apply_flag (&upstream->options, '?', NULL);
  upstream->record = fopen (upstream->options.record, "ae");
  if (!upstream->record)
    {
      g_printerr ("cannot open %s for writing\n", upstream->options.record);
      exit (2);
    }
  upstream->base = http_call_base_new ();
  upstream->store = platform_client_new (upstream->base, &store, NULL);
  upstream->copies = run_copies_new (upstream->base, upstream->options.advertise);
  upstream->rand = g_rand_new ();
  g_snprintf (upstream->instance, sizeof upstream->instance, "i-%" G_GINT64_MODIFIER "x-%d",
              g_get_real_time (), (int)getpid ());
  upstream->heartbeat = event_new (upstream->base, -1, EV_PERSIST, on_heartbeat, upstream);
  event_add (upstream->heartbeat, &interval);
}

/* A second listen() of a socket sets its backlog anew. */
static void
set_backlog (struct evhttp_bound_socket *bound, void *context)
{
  const upstream_t *upstream = context;

  if (listen (evhttp_bound_socket_get_fd (bound), (int)upstream->options.backlog) < 0)
    g_printerr ("cannot set the backlog: %s\n", g_strerror (errno));
}

int
main (int argc, char **argv)
{
  static upstream_t upstream; /* static, so that leak checkers treat its memory as reachable */
  struct evhttp *http;

  upstream.options = parse_flags (argc, argv);
  signal (SIGPIPE, SIG_IGN);
  upstream_init (&upstream);
  http = http_call_listen (upstream.base, upstream.options.listen, on_call, &upstream);
  if (!http)
    return 1;
  if (upstream.options.backlog > 0)
    evhttp_foreach_bound_socket (http, set_backlog, &upstream);
  event_add (evsignal_new (upstream.base, SIGTERM, on_stop, &upstream), NULL);
  renew_entry (&upstream);
  event_base_dispatch (upstream.base);
  return 0;
}
