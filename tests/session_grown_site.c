/**
 * DOC: session_grown_site
 *
 * 22 gateways before 40 upstreams of streams and 3 with few slots, with real processes; 16 gateways
 * have a tenth of a core, for which they are stopped and continued by turns. Callers keep their
 * connections, sound upstreams are silent in series that overlap, beside series of changes of every
 * part of the configuration, signals to gateways, and upstreams that leave and join. No upstream
 * breaks off, so every request that was read must end with a whole answer or a refusal, within the
 * time of its route, and no stream may be cut.
 */
#include "driver.h"
#include "grown_config.h"

#include <CUnit/Basic.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define GATEWAYS 22
#define FAST_GATEWAYS 6
#define POOL 40
#define PORTAL 3
#define OTHERS 3 /* of the services that routes move to */
#define UPSTREAMS (POOL + PORTAL + OTHERS)
#define JOINED 6 /* that join while others leave */
#define CALLERS 260
#define NEW_CONNECTION_CALLERS 120 /* of these open a connection for each request */
#define POOL_SLOTS 128
#define PORTAL_SLOTS 6
#define EVENTS 40
#define EVENT_MS 30
#define PORTAL_MS 15
#define DRAIN_MS 3000
#define ENTRY_TTL_MS 3600 /* longer than any silence */
#define EXCHANGE_MS 500
#define CONTROL_BYTES 4000
#define GRACE_MS 8000

#define PLAY_MS 24000
#define RUN_MS 10 /* slow gateways run for this time */
#define STOP_MS 90
#define LOOKUP_DEADLINE_MS 4000
#define ROUND_MS 2500 /* between two begins of patterns of silences */
#define SILENCE_MIN_MS 600
#define SILENCE_SPREAD_MS 1400
#define TURN_MS 300
#define CHANGE_MS 1200 /* longest pause between two series of changes */
#define SERIES_MAX 6
#define SERIES_MS 60 /* between two changes of a series */
#define SIGNAL_MS 1700
#define LEAVE_MS 3500
#define LOSS_SLACK_MS 200 /* after a request was sent, in which its connection may be closed */
#define PRINTED_MAX 40
#define RECORD_FIELDS 7

/** struct caller - A caller with a connection that it keeps. */
typedef struct
{
  driver_call_t *call;
  uint32_t gateway;
  uint64_t due_us;
} caller_t;

/** struct request - A request that was sent. */
typedef struct
{
  char id[24];
  grown_kind_t kind;
  uint32_t gateway;
  bool is_reused;
  driver_call_t *call;
} request_t;

typedef struct
{
  driver_process_t *process;
  uint64_t switch_us;
  uint64_t stopped_us; /* SIGTERM; 0 for none */
  uint32_t starts;
  GArray *stops; /* all of these, as uint64_t */
} gateway_t;

typedef struct
{
  driver_process_t *process;
  uint64_t resume_us; /* 0 when it is not silent */
  bool is_leaving;
} upstream_t;

/** struct silence - One that is to come. */
typedef struct
{
  uint64_t at_us;
  uint32_t upstream;
  uint32_t ms;
} silence_t;

/**
 * struct site - The processes and the traffic.
 * @series_left: Changes that follow soon.
 * @stops: Periods in which gateways were stopped by SIGTERM, by gateway.
 */
typedef struct
{
  driver_t *driver;
  GRand *rand;
  gateway_t gateways[GATEWAYS];
  upstream_t upstreams[UPSTREAMS + JOINED];
  uint32_t upstream_count;
  caller_t callers[CALLERS];
  GPtrArray *requests;
  GArray *silences;
  grown_config_t config;
  uint64_t start_us;
  uint64_t change_us;
  uint64_t signal_us;
  uint64_t leave_us;
  uint64_t round_us;
  uint32_t series_left;
  uint32_t odd_entries;
} site_t;

/** enum ending_t - What became of a request. */
typedef enum
{
  ENDING_WHOLE,
  ENDING_REFUSED,
  ENDING_OVER_TIME,
  ENDING_UNCONNECTED,
  ENDING_CROSSED,
  ENDING_STOPPED, /* not read by a gateway that was stopped */
  ENDING_TIMED_OUT,
  ENDING_FAILED,
  ENDING_CUT,
  ENDING_UNANSWERED,
  ENDING_UNREAD,
  ENDING_WRONG,
  ENDINGS
} ending_t;

static const char *const ending_names[ENDINGS] = {
  "whole", "refused", "over time", "not connected",   "crossed", "not read at a stop",
  "504",   "502",     "cut",       "read, no answer", "unread",  "wrong"
};

static uint64_t
now_us (void)
{
  return (uint64_t)g_get_monotonic_time ();
}

static uint32_t
draw (site_t *site, uint32_t below)
{
  return (uint32_t)g_rand_int_range (site->rand, 0, (gint32)below);
}

static uint64_t
later_us (uint32_t ms)
{
  return now_us () + (uint64_t)ms * 1000;
}

static void
note (const site_t *site, const char *what, const char *which)
{
  printf ("\n  %6.3f %s %s", (double)(now_us () - site->start_us) / 1e6, what, which);
}

static void
start_upstream (site_t *site, const char *service, bool streams)
{
  g_autofree char *name = g_strdup_printf ("upstream%u", site->upstream_count);

  site->upstreams[site->upstream_count++].process = driver_start_upstream (
      site->driver, &(driver_upstream_t){ .name = name,
                                          .service = service,
                                          .streams = streams,
                                          .work_ms = streams ? EVENT_MS : PORTAL_MS,
                                          .events = EVENTS,
                                          .drain_ms = DRAIN_MS,
                                          .slots = streams ? POOL_SLOTS : PORTAL_SLOTS });
}

static void
publish (site_t *site)
{
  g_autofree char *text = grown_config_format (&site->config);

  driver_write_record (site->driver, "config", text);
}

static bool
all_know_upstreams (void *context)
{
  const site_t *site = context;

  for (uint32_t i = 0; i < GATEWAYS; i++)
    if (driver_process_count_log_lines (site->gateways[i].process, ": engine ", "state=ready") <
            UPSTREAMS ||
        driver_process_count_log_lines (site->gateways[i].process, ": ready ", NULL) == 0)
      return false;
  return true;
}

static void
start_site (site_t *site, uint32_t seed)
{
  g_autofree char *flags = g_strdup_printf ("--entry-ttl-ms=%u", ENTRY_TTL_MS);

  site->driver = driver_new ("grown_site");
  site->rand = g_rand_new_with_seed (seed);
  site->requests = g_ptr_array_new_with_free_func (g_free);
  site->silences = g_array_new (FALSE, FALSE, sizeof (silence_t));
  site->driver->fleet.platform_flags = flags;
  driver_start_platform (site->driver);
  site->driver->fleet.platform_flags = NULL;
  grown_config_init (&site->config);
  publish (site);
  for (uint32_t i = 0; i < POOL; i++)
    start_upstream (site, "pool", true);
  for (uint32_t i = 0; i < PORTAL; i++)
    start_upstream (site, "portal", false);
  start_upstream (site, "pool2", true);
  start_upstream (site, "pool2", true);
  start_upstream (site, "portal2", false);
  for (uint32_t i = 0; i < GATEWAYS; i++)
    {
      g_autofree char *name = g_strdup_printf ("gateway%u", i);

      site->gateways[i].stops = g_array_new (FALSE, FALSE, sizeof (uint64_t));
      site->gateways[i].starts = 1;
      site->gateways[i].process =
          driver_start_gateway (site->driver, name, EXCHANGE_MS, CONTROL_BYTES);
    }
  driver_wait_until (site->driver, 3 * DRIVER_WAIT_LIMIT_MS, "upstreams at all gateways",
                     all_know_upstreams, site);
}

/* The driver's own call waits until the process has stopped, which one that ends never does. */
static void
pause_gateway (gateway_t *gateway, bool pause)
{
  if (gateway->process->pid <= 0)
    return;
  kill (gateway->process->pid, pause ? SIGSTOP : SIGCONT);
  gateway->process->is_paused = pause;
}

static void
slow_gateways (site_t *site)
{
  for (uint32_t i = FAST_GATEWAYS; i < GATEWAYS; i++)
    {
      gateway_t *gateway = &site->gateways[i];

      if (now_us () < gateway->switch_us)
        continue;
      pause_gateway (gateway, !gateway->process->is_paused);
      gateway->switch_us = later_us (gateway->process->is_paused ? STOP_MS : RUN_MS);
    }
}

static void
restart_gateways (site_t *site)
{
  for (uint32_t i = 0; i < GATEWAYS; i++)
    {
      gateway_t *gateway = &site->gateways[i];

      if (gateway->stopped_us == 0 || !driver_process_reap (gateway->process))
        continue;
      if (!WIFEXITED (gateway->process->status) || WEXITSTATUS (gateway->process->status) != 0)
        driver_fail (site->driver, "gateway%u ended with status %d", i, gateway->process->status);
      note (site, "ended:", gateway->process->name);
      driver_process_start (gateway->process);
      gateway->starts++;
      gateway->stopped_us = 0;
    }
}

static void
signal_gateways (site_t *site)
{
  gateway_t *gateway = &site->gateways[draw (site, GATEWAYS)];
  uint32_t stopped = 0;

  if (now_us () < site->signal_us)
    return;
  site->signal_us = later_us (draw (site, SIGNAL_MS));
  for (uint32_t i = 0; i < GATEWAYS; i++)
    stopped += site->gateways[i].stopped_us != 0 ? 1 : 0;
  /* a signal ends a process that has just started, whose log goes on from the one before it */
  if (gateway->process->pid <= 0 || gateway->stopped_us != 0 ||
      driver_process_count_log_lines (gateway->process, ": ready ", NULL) < gateway->starts)
    return;
  if (draw (site, 2) == 0 || stopped >= 3)
    {
      kill (gateway->process->pid, SIGHUP);
      note (site, "SIGHUP:", gateway->process->name);
      return;
    }
  kill (gateway->process->pid, SIGTERM);
  gateway->stopped_us = now_us ();
  g_array_append_val (gateway->stops, gateway->stopped_us);
  note (site, "SIGTERM:", gateway->process->name);
}

static void
plan_silence (site_t *site, uint32_t upstream, uint32_t after_ms)
{
  silence_t silence = { later_us (after_ms), upstream,
                        SILENCE_MIN_MS + draw (site, SILENCE_SPREAD_MS) };

  g_array_append_val (site->silences, silence);
}

static void
plan_round (site_t *site)
{
  static const char *const names[] = { "one", "some",    "all of streams", "all of lookups",
                                       "all", "in turn", "overlapping",    "all, then all" };
  uint32_t pattern = draw (site, G_N_ELEMENTS (names));

  if (now_us () < site->round_us)
    return;
  site->round_us = later_us (ROUND_MS);
  note (site, "silent:", names[pattern]);
  for (uint32_t i = 0; i < UPSTREAMS; i++)
    {
      bool streams = i < POOL;

      if ((pattern == 0 && i == 7) || (pattern == 1 && draw (site, 3) == 0) ||
          (pattern == 2 && streams) || (pattern == 3 && !streams) || pattern == 4 || pattern == 7)
        plan_silence (site, i, 0);
      if (pattern == 5)
        plan_silence (site, i, i % 10 * TURN_MS);
      if (pattern == 6)
        plan_silence (site, draw (site, UPSTREAMS), draw (site, ROUND_MS));
      if (pattern == 7)
        plan_silence (site, i, SILENCE_MIN_MS + SILENCE_SPREAD_MS);
    }
}

static void
play_silences (site_t *site)
{
  for (guint i = site->silences->len; i > 0; i--)
    {
      silence_t silence = g_array_index (site->silences, silence_t, i - 1);
      upstream_t *upstream = &site->upstreams[silence.upstream];

      if (now_us () < silence.at_us)
        continue;
      g_array_remove_index_fast (site->silences, i - 1);
      if (upstream->resume_us != 0 || upstream->is_leaving)
        continue;
      driver_process_signal (upstream->process, SIGSTOP);
      upstream->resume_us = later_us (silence.ms);
    }
  for (uint32_t i = 0; i < site->upstream_count; i++)
    if (site->upstreams[i].resume_us != 0 && now_us () >= site->upstreams[i].resume_us)
      {
        driver_process_signal (site->upstreams[i].process, SIGCONT);
        site->upstreams[i].resume_us = 0;
      }
}

static void
change_config (site_t *site)
{
  if (now_us () < site->change_us)
    return;
  if (site->series_left == 0)
    site->series_left = 1 + draw (site, SERIES_MAX);
  note (site, "changed:", grown_config_change (&site->config, site->rand));
  publish (site);
  site->series_left--;
  site->change_us = later_us (site->series_left > 0 ? SERIES_MS : draw (site, CHANGE_MS));
}

static void
write_odd_entry (site_t *site)
{
  static const char *const values[] = {
    "{\"service\":\"pool\",\"addr\":\"127.0.0.1:99999\",\"zone\":\"hall-bayangol\",\"slots\":1,"
    "\"version\":\"\",\"cold_left_ms\":0,\"seq\":1,\"state\":\"ready\"}",
    "{\"service\":\"pool\",\"addr\":\"127.0.0.1:9\",\"zone\":\"hall-bayangol\","
    "\"version\":\"\",\"cold_left_ms\":0,\"seq\":1,\"slots\":1e400,\"state\":\"ready\"}",
    "{\"service\":\"pool\",\"slots\":18446744073709551617}",
    "[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[["
  };
  g_autofree char *key = g_strdup_printf ("odd-%u", site->odd_entries);
  const char *value = values[site->odd_entries++ % G_N_ELEMENTS (values)];
  size_t length = 1 + strlen (key) + strlen (value);
  GString *body = g_string_new (NULL);

  for (int shift = 24; shift >= 0; shift -= 8)
    g_string_append_c (body, (char)(length >> shift));
  g_string_append_c (body, (char)strlen (key));
  g_string_append_printf (body, "%s%s", key, value);
  driver_send_http_bytes (site->driver, site->driver->platform->ip, "POST",
                          "/log-append?topic=keyed.servers&part=0", "", body->str, body->len);
  g_string_free (body, TRUE);
}

static void
replace_upstream (site_t *site)
{
  upstream_t *upstream;

  if (now_us () < site->leave_us || site->upstream_count == UPSTREAMS + JOINED)
    return;
  site->leave_us = later_us (LEAVE_MS);
  upstream = &site->upstreams[draw (site, POOL)];
  start_upstream (site, "pool", true);
  write_odd_entry (site);
  if (upstream->is_leaving || upstream->resume_us != 0)
    return;
  upstream->is_leaving = true;
  note (site, "leaves:", upstream->process->name);
  driver_process_signal (upstream->process, SIGTERM);
}

static grown_kind_t
draw_kind (site_t *site)
{
  static const uint32_t percents[GROWN_KINDS] = { 17, 25, 32, 18, 8 };
  uint32_t at = draw (site, 100);

  for (grown_kind_t kind = 0; kind < GROWN_KINDS; kind++)
    {
      if (at < percents[kind])
        return kind;
      at -= percents[kind];
    }
  g_assert_not_reached ();
}

static uint32_t
deadline_ms (grown_kind_t kind)
{
  return grown_config_timeout_ms (kind);
}

static void
choose_gateway (site_t *site, caller_t *caller)
{
  for (uint32_t i = 0; i < GATEWAYS && site->gateways[caller->gateway].stopped_us != 0; i++)
    caller->gateway = (caller->gateway + 1) % GATEWAYS;
}

static void
send_request (site_t *site, caller_t *caller)
{
  request_t *request = g_new0 (request_t, 1);
  grown_kind_t kind = draw_kind (site);
  bool is_reused = caller->call && driver_call_is_connected (caller->call);
  const char *method = kind == GROWN_LOOKUP ? "GET" : "POST";
  g_autofree char *path = NULL;
  g_autofree char *headers = NULL;

  g_snprintf (request->id, sizeof request->id, "g%u", site->requests->len);
  path = g_strdup_printf ("/%s/%s", grown_config_path (kind), request->id);
  headers = g_strdup_printf ("X-Request-Id: %s\r\nX-Key: key-1\r\nX-Deadline-Ms: %u\r\n",
                             request->id, deadline_ms (kind));
  if (!is_reused)
    choose_gateway (site, caller);
  request->kind = kind;
  request->gateway = caller->gateway;
  request->is_reused = is_reused;
  request->call =
      is_reused ? driver_send_next (caller->call, method, path, headers)
                : driver_send_http (site->driver, site->gateways[caller->gateway].process->ip,
                                    method, path, headers, kind == GROWN_LOOKUP ? "" : "{\"a\":1}");
  request->call->is_kept = caller - site->callers >= NEW_CONNECTION_CALLERS;
  caller->call = request->call;
  caller->due_us = 0;
  g_ptr_array_add (site->requests, request);
}

/* A caller rests for up to four fifths of the newest idle timeout between two requests. */
static void
poll_caller (site_t *site, caller_t *caller)
{
  uint32_t rest_ms = draw (site, 2) == 0 ? 300 : site->config.idle_ms * 4 / 5;

  if (caller->call && caller->call->outcome == DRIVER_OUTCOME_PENDING)
    return;
  if (caller->due_us == 0)
    caller->due_us =
        (caller->call ? caller->call->ended_us : now_us ()) + (uint64_t)draw (site, rest_ms) * 1000;
  if (now_us () >= caller->due_us)
    send_request (site, caller);
}

static bool
is_over (void *context)
{
  site_t *site = context;

  slow_gateways (site);
  restart_gateways (site);
  play_silences (site);
  if (now_us () >= site->start_us + (uint64_t)PLAY_MS * 1000)
    return true;
  plan_round (site);
  signal_gateways (site);
  change_config (site);
  replace_upstream (site);
  for (uint32_t i = 0; i < CALLERS; i++)
    poll_caller (site, &site->callers[i]);
  return false;
}

static bool
have_ended (void *context)
{
  site_t *site = context;

  slow_gateways (site);
  play_silences (site);
  for (uint32_t i = 0; i < CALLERS; i++)
    if (site->callers[i].call && site->callers[i].call->outcome == DRIVER_OUTCOME_PENDING)
      return false;
  return true;
}

static void
read_ids (GHashTable *ids, const char *path, const char *mark, uint32_t skip)
{
  g_autofree char *text = NULL;

  if (!g_file_get_contents (path, &text, NULL, NULL))
    return;
  for (const char *at = strstr (text, mark); at; at = strstr (at, mark))
    {
      at += strlen (mark);
      for (uint32_t i = 0; i < skip; i++)
        at += strcspn (at, " ") + 1;
      g_hash_table_add (ids, g_strndup (at, strcspn (at, " \n")));
    }
}

/* Return: The ids of requests that some gateway's log or some upstream's record names. */
static GHashTable *
read_requests (const site_t *site)
{
  GHashTable *ids = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (uint32_t i = 0; i < GATEWAYS; i++)
    read_ids (ids, site->gateways[i].process->log_path, " id=", 0);
  for (uint32_t i = 0; i < site->upstream_count; i++)
    read_ids (ids, site->upstreams[i].process->record_path, "begin ", 1);
  return ids;
}

static bool
is_whole_stream (const request_t *request)
{
  const char *body = request->call->body->str;
  GString *expected = g_string_new (NULL);
  bool is_whole;

  for (uint32_t i = 1; i <= EVENTS; i++)
    g_string_append_printf (expected, "id: %u\ndata: %s %u\n\n", i, request->id, i);
  is_whole = strcmp (body, expected->str) == 0;
  g_string_free (expected, TRUE);
  return is_whole;
}

static bool
is_whole (const request_t *request)
{
  g_autofree char *start = g_strdup_printf ("answer to %s by ", request->id);

  if (request->kind < GROWN_CHECK)
    return is_whole_stream (request);
  return g_str_has_prefix (request->call->body->str, start);
}

/* Whether the gateway was stopped so shortly before the request ended that it was still stopping.
 */
static bool
was_stopping (const site_t *site, const request_t *request)
{
  const GArray *stops = site->gateways[request->gateway].stops;

  for (guint i = 0; i < stops->len; i++)
    {
      uint64_t at_us = g_array_index (stops, uint64_t, i);

      if (at_us <= request->call->ended_us &&
          request->call->ended_us < at_us + (uint64_t)GRACE_MS * 1000)
        return true;
    }
  return false;
}

static ending_t
unanswered (const site_t *site, const request_t *request, GHashTable *read)
{
  const driver_call_t *call = request->call;
  bool is_read = g_hash_table_contains (read, request->id);

  if (is_read)
    return ENDING_UNANSWERED;
  if (!call->is_connected)
    return ENDING_UNCONNECTED;
  if (call->ended_us < call->sent_us + LOSS_SLACK_MS * 1000 && request->is_reused)
    return ENDING_CROSSED;
  return was_stopping (site, request) ? ENDING_STOPPED : ENDING_UNREAD;
}

static ending_t
ending_of (const site_t *site, const request_t *request, GHashTable *read)
{
  const driver_call_t *call = request->call;
  bool complete = call->outcome == DRIVER_OUTCOME_COMPLETE;

  if (complete && call->status == 200 && is_whole (request))
    return ENDING_WHOLE;
  if (complete && call->status == 503)
    return ENDING_REFUSED;
  if (call->ended_us - call->sent_us >= (uint64_t)deadline_ms (request->kind) * 1000)
    return ENDING_OVER_TIME;
  if (call->outcome == DRIVER_OUTCOME_NO_RESPONSE)
    return unanswered (site, request, read);
  if (!complete)
    return ENDING_CUT;
  return call->status == 504   ? ENDING_TIMED_OUT
         : call->status == 502 ? ENDING_FAILED
                               : ENDING_WRONG;
}

static void
print_request (const site_t *site, const request_t *request, ending_t ending)
{
  const driver_call_t *call = request->call;

  printf ("\n    %s (%s) at gateway%u%s: %s%s, status %d, sent at %.3f, took %u ms, %zu bytes",
          request->id, grown_config_path (request->kind), request->gateway,
          request->is_reused ? " on a kept connection" : "", ending_names[ending],
          call->is_reset ? ", reset" : "", call->status,
          (double)(call->sent_us - site->start_us) / 1e6,
          (uint32_t)((call->ended_us - call->sent_us) / 1000), call->body->len);
}

/* What the gateways' logs tell of held-up loops and closed connections. */
static void
print_log_counts (const site_t *site)
{
  static const struct
  {
    const char *first;
    const char *second;
  } lines[] = { { " stalled ", NULL },
                { " connections_refused ", NULL },
                { " connection_ended ", "by=us" },
                { " connection_ended ", "on_hand=request" },
                { " connection_ended ", "on_hand=answer" },
                { " hop_lost ", "outcome=silent" },
                { " version_unreadable ", NULL },
                { " engine_unreadable ", NULL } };

  for (guint i = 0; i < G_N_ELEMENTS (lines); i++)
    {
      uint32_t count = 0;

      for (uint32_t j = 0; j < GATEWAYS; j++)
        count += driver_process_count_log_lines (site->gateways[j].process, lines[i].first,
                                                 lines[i].second);
      printf ("\n    lines%s%s: %u", lines[i].first, lines[i].second ? lines[i].second : "", count);
    }
}

static void
check (const site_t *site)
{
  g_autoptr (GHashTable) read = read_requests (site);
  uint32_t counts[ENDINGS] = { 0 };
  uint32_t printed = 0;
  uint32_t lost = 0;

  for (guint i = 0; i < site->requests->len; i++)
    {
      const request_t *request = site->requests->pdata[i];
      ending_t ending = ending_of (site, request, read);

      counts[ending]++;
      if (ending >= ENDING_TIMED_OUT && printed++ < PRINTED_MAX)
        print_request (site, request, ending);
    }
  printf ("\n  %u requests:", site->requests->len);
  for (ending_t ending = 0; ending < ENDINGS; ending++)
    {
      printf (" %u %s;", counts[ending], ending_names[ending]);
      lost += ending >= ENDING_TIMED_OUT ? counts[ending] : 0;
    }
  print_log_counts (site);
  printf ("\n");
  CU_ASSERT (counts[ENDING_WHOLE] > 0);
  if (lost > 0)
    driver_fail (site->driver, "%u requests were lost", lost);
}

static void
finish_site (site_t *site)
{
  for (uint32_t i = 0; i < GATEWAYS; i++)
    pause_gateway (&site->gateways[i], false);
  for (uint32_t i = 0; i < site->upstream_count; i++)
    if (site->upstreams[i].resume_us != 0)
      driver_process_signal (site->upstreams[i].process, SIGCONT);
  driver_transcript_add (site->driver, "no request was lost");
  driver_finish (site->driver);
  g_ptr_array_free (site->requests, TRUE);
  g_array_free (site->silences, TRUE);
  g_rand_free (site->rand);
  for (uint32_t i = 0; i < GATEWAYS; i++)
    g_array_free (site->gateways[i].stops, TRUE);
}

/* Guards against requests that are lost beside silences and series of changes at many gateways. */
static void
test_silences_and_changes (void)
{
  const char *seed = g_getenv ("MEDLARPLANK_SEED");
  site_t site = { 0 };

  start_site (&site, seed ? (uint32_t)g_ascii_strtoull (seed, NULL, 10) : 1);
  site.start_us = now_us ();
  for (uint32_t i = 0; i < CALLERS; i++)
    site.callers[i].gateway = draw (&site, GATEWAYS);
  driver_wait_until (site.driver, PLAY_MS + DRIVER_WAIT_LIMIT_MS, "the end of the play", is_over,
                     &site);
  driver_wait_until (site.driver, 2 * DRIVER_WAIT_LIMIT_MS, "the last answers", have_ended, &site);
  check (&site);
  finish_site (&site);
}

int
main (void)
{
  static const driver_test_t tests[] = {
    { "requests are lost beside silences and series of changes at many gateways",
      test_silences_and_changes },
  };

  return driver_main ("grown_site", tests, G_N_ELEMENTS (tests));
}
