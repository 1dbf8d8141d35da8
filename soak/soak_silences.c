/* Sound upstreams that are silent for some time and go on, beside changes of every part of the
 * configuration and, in some rounds, planned stops of gateways. */
#include "soak.h"

#include <signal.h>
#include <string.h>

#define SILENCE_MIN_MS 600
#define SILENCE_SPREAD_MS 1400
#define ROUND_MIN_MS 1500
#define ROUND_SPREAD_MS 2500
#define IN_TURN_MS 400 /* from the begin of one silence to that of the next, at most */
#define CHANGES_MAX 5  /* of the configuration in a round */
#define NEAR_MS 500    /* changes come so long before or after a silence begins */
#define SIGNALS_MAX 6  /* to gateways, in a round that has some */
#define SIGNALS_WITHIN_MS 1500
#define SEND_INTERVAL_US (UINT64_C (10) * 1000) /* beside all other requests */
#define GRACE_SLACK_US (UINT64_C (500) * 1000)  /* a gateway ends a little before its grace does */
#define STOPPED_PART 3 /* at most one of so many gateways is stopped at a time */

/** What happens in a round. */
typedef enum
{
  STEP_SILENCE,
  STEP_CHANGE,
  STEP_SIGNAL
} step_kind_t;

/** struct step - one of these; @index: of the upstream or gateway; @number: duration in ms, or the
 * signal */
typedef struct
{
  uint64_t at_us;
  step_kind_t kind;
  uint32_t index;
  uint32_t number;
} step_t;

/** struct stop - a signal that ended a gateway, or will */
typedef struct
{
  uint64_t at_us;
  uint32_t gateway;
  uint32_t incarnation;
  int number;
} stop_t;

static uint32_t
draw (soak_t *soak, uint32_t below)
{
  return (uint32_t)g_rand_int_range (soak->silences.rand, 0, (gint32)below);
}

static void
add_step (soak_t *soak, step_kind_t kind, uint32_t after_ms, uint32_t index, uint32_t number)
{
  step_t step = { soak_now_us () + (uint64_t)after_ms * 1000, kind, index, number };

  g_array_append_val (soak->silences.plan, step);
}

static void
add_silence (soak_t *soak, uint32_t after_ms, uint32_t upstream)
{
  add_step (soak, STEP_SILENCE, after_ms, upstream % soak->upstream_count,
            SILENCE_MIN_MS + draw (soak, SILENCE_SPREAD_MS));
}

/* One upstream, some or all at once, all in turn, or series that overlap. */
static void
plan_silences (soak_t *soak)
{
  static const char *const names[] = { "one", "some", "all", "in turn", "overlapping" };
  uint32_t pattern = draw (soak, G_N_ELEMENTS (names));
  uint32_t first = draw (soak, soak->upstream_count);
  uint32_t step_ms = 1 + draw (soak, IN_TURN_MS);
  uint32_t count = soak->upstream_count;

  if (pattern == 0)
    count = 1;
  if (pattern == 1)
    count = 2 + draw (soak, soak->upstream_count - 2);
  if (pattern == 4)
    count *= 2;
  for (uint32_t i = 0; i < count; i++)
    {
      if (pattern == 4)
        add_silence (soak, NEAR_MS + draw (soak, ROUND_MIN_MS), draw (soak, soak->upstream_count));
      else
        add_silence (soak, NEAR_MS + (pattern == 3 ? i * step_ms : 0), first + i);
    }
  soak_log (soak, "silent upstreams: %s, %u silences", names[pattern], count);
}

static void
plan_changes (soak_t *soak)
{
  uint32_t count = 1 + draw (soak, CHANGES_MAX);

  for (uint32_t i = 0; i < count; i++)
    add_step (soak, STEP_CHANGE, draw (soak, 2 * NEAR_MS), 0, 0);
}

static void
plan_signals (soak_t *soak)
{
  uint32_t count = draw (soak, 2) == 0 ? 0 : 1 + draw (soak, SIGNALS_MAX);
  uint32_t begin_ms = draw (soak, ROUND_MIN_MS);

  for (uint32_t i = 0; i < count; i++)
    add_step (soak, STEP_SIGNAL, begin_ms + draw (soak, SIGNALS_WITHIN_MS),
              draw (soak, soak->gateway_count), draw (soak, 2) == 0 ? SIGHUP : SIGTERM);
}

static void
plan_round (soak_t *soak)
{
  plan_silences (soak);
  plan_changes (soak);
  plan_signals (soak);
  soak->silences.next_us =
      soak_now_us () + (uint64_t)(ROUND_MIN_MS + draw (soak, ROUND_SPREAD_MS)) * 1000;
}

/* One that is silent already stays so no longer, as silences take two seconds at most. */
static void
silence (soak_t *soak, uint32_t index, uint32_t ms)
{
  soak_process_t *process = soak->upstreams[index];

  if (process->pid <= 0 || process->resume_at_us != 0)
    return;
  soak_log (soak, "%s: silent for %u ms", process->name, ms);
  soak_process_signal (process, SIGSTOP);
  process->resume_at_us = soak_now_us () + (uint64_t)ms * 1000;
}

static void
change_config (soak_t *soak)
{
  g_autofree char *what = soak_config_change (&soak->config, soak->silences.rand);

  soak_log (soak, "configuration: %s", what);
  soak_publish (soak);
}

/* One that is being stopped gets further signals, too. */
static void
signal_gateway (soak_t *soak, uint32_t index, int number)
{
  soak_process_t *process = soak->gateways[index];
  uint32_t stopped = 0;

  for (uint32_t i = 0; i < soak->gateway_count; i++)
    stopped += i != index && (soak->gateways[i]->pid <= 0 || soak->gateways[i]->stopping) ? 1 : 0;
  if (process->pid <= 0 || (number == SIGTERM && stopped * STOPPED_PART >= soak->gateway_count))
    return;
  soak_log (soak, "%s: %s", process->name, number == SIGTERM ? "stop" : "SIGHUP");
  soak_process_signal (process, number);
  if (number == SIGTERM)
    soak_record_disturbance (soak, SOAK_LONG_GRACE_MS);
}

static void
do_step (soak_t *soak, const step_t *step)
{
  if (step->kind == STEP_SILENCE)
    silence (soak, step->index, step->number);
  else if (step->kind == STEP_CHANGE)
    change_config (soak);
  else if (soak_has_logged (soak->gateways[step->index])) /* before that SIGHUP ends it */
    signal_gateway (soak, step->index, (int)step->number);
}

static void
send_requests (soak_t *soak)
{
  soak_silences_t *silences = &soak->silences;

  for (; silences->send_us <= soak_now_us (); silences->send_us += SEND_INTERVAL_US)
    soak_send_request (soak, draw (soak, soak->gateway_count), draw (soak, SOAK_KINDS), 0, true);
}

void
soak_poll_silences (soak_t *soak)
{
  soak_silences_t *silences = &soak->silences;

  if (silences->next_us == 0)
    return;
  send_requests (soak);
  if (soak_now_us () >= silences->next_us)
    plan_round (soak);
  for (guint i = silences->plan->len; i > 0; i--)
    {
      step_t step = g_array_index (silences->plan, step_t, i - 1);

      if (soak_now_us () < step.at_us)
        continue;
      g_array_remove_index (silences->plan, i - 1);
      do_step (soak, &step);
    }
}

void
soak_silences_init (soak_t *soak)
{
  soak_silences_t *silences = &soak->silences;

  silences->rand = g_rand_new_with_seed ((guint32)soak->seed);
  silences->client_rand = g_rand_new_with_seed ((guint32)soak->seed + 1);
  silences->plan = g_array_new (FALSE, FALSE, sizeof (step_t));
  silences->stops = g_array_new (FALSE, FALSE, sizeof (stop_t));
  silences->connections = g_ptr_array_new ();
}

void
soak_begin_silences (soak_t *soak)
{
  soak->silences.began_us = soak_now_us ();
  soak->silences.send_us = soak_now_us ();
  soak->silences.next_us = soak_now_us ();
}

void
soak_end_silences (soak_t *soak)
{
  soak->silences.next_us = 0;
  g_array_set_size (soak->silences.plan, 0);
}

void
soak_note_stop (soak_t *soak, const soak_process_t *process, int number)
{
  stop_t stop = { .at_us = soak_now_us (), .number = number };

  if (number != SIGTERM && number != SIGKILL)
    return;
  for (uint32_t i = 0; i < soak->gateway_count; i++)
    if (soak->gateways[i] == process)
      {
        stop.gateway = i;
        stop.incarnation = soak->start_counts[i];
        g_array_append_val (soak->silences.stops, stop);
      }
}

/* Return: when the gateway first got the signal before the request ended; 0 for never */
static uint64_t
stopped_us (const soak_request_t *call, int number)
{
  const GArray *stops = call->soak->silences.stops;

  for (guint i = 0; i < stops->len; i++)
    {
      const stop_t *stop = &g_array_index (stops, stop_t, i);

      if (stop->number == number && stop->gateway == call->gateway &&
          stop->incarnation == call->incarnation && stop->at_us <= call->ended_us)
        return stop->at_us;
    }
  return 0;
}

static uint64_t
timeout_us (const soak_config_t *config, uint32_t kind)
{
  return (uint64_t)config->timeout_ms[kind] * 1000;
}

/* Return: the time that the gateway had for it at least, by its route and its deadline. It may have
 * come to the gateway a little later than its last part was sent. */
static uint64_t
least_time_us (const soak_request_t *call)
{
  uint64_t arrived_us = MAX (call->sent_us, call->written_us) + SOAK_ARRIVAL_US;
  uint64_t by_route_us =
      soak_config_least (call->soak, call->sent_us, arrived_us, timeout_us, call->kind);

  return MIN (by_route_us, SOAK_DEADLINE_MS * UINT64_C (1000));
}

static void
read_log (GHashTable *ids, const char *path)
{
  g_autofree char *text = NULL;

  if (!g_file_get_contents (path, &text, NULL, NULL))
    return;
  for (const char *at = strstr (text, " id="); at; at = strstr (at, " id="))
    {
      at += strlen (" id=");
      g_hash_table_add (ids, g_strndup (at, strcspn (at, " \n")));
    }
}

/* Whether a line of some gateway's log names it. */
static bool
is_logged (const soak_request_t *call)
{
  soak_t *soak = call->soak;

  if (!soak->silences.read_ids)
    {
      soak->silences.read_ids = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      for (uint32_t i = 0; i < soak->gateway_count; i++)
        read_log (soak->silences.read_ids, soak->gateways[i]->log_path);
    }
  return g_hash_table_contains (soak->silences.read_ids, call->id);
}

static soak_count_t
fail_call (const soak_request_t *call, const char *what)
{
  soak_t *soak = call->soak;
  uint64_t stop_us = stopped_us (call, SIGTERM);

  soak_fail (soak,
             "%s (%s) at gateway %u %s: status %d, sent at %.3f, ended after %u ms of %u, its "
             "connection idle for %u ms before%s",
             call->id, call->path, call->gateway, what, call->status,
             (double)(call->sent_us - soak->started_us) / 1e6,
             (unsigned)((call->ended_us - call->sent_us) / 1000),
             (unsigned)(least_time_us (call) / 1000), (unsigned)(call->idle_us / 1000),
             stop_us > 0 ? ", while the gateway was being stopped" : "");
  return SOAK_COUNT_BROKEN;
}

/* No byte of a response came. A gateway that is being stopped need not read what comes, but answers
 * what it has read. */
static soak_count_t
check_unanswered (const soak_request_t *call, uint32_t executions)
{
  bool is_read = call->end == SOAK_END_CLOSED || executions > 0 || is_logged (call);

  if (call->end == SOAK_END_TIMEOUT)
    return fail_call (call, "had no answer");
  if (is_read)
    return fail_call (call, "was read and had no answer");
  if (call->end == SOAK_END_RESET && stopped_us (call, SIGTERM) == 0)
    return fail_call (call, "was not read, on a connection that was open");
  return SOAK_COUNT_UNREAD;
}

/* Beyond its time an answer may be given up. */
static soak_count_t
check_failure (const soak_request_t *call, const char *what)
{
  if (call->ended_us - call->sent_us < least_time_us (call))
    return fail_call (call, what);
  return SOAK_COUNT_GIVEN_UP;
}

/* Whether it was cut off by the end of the grace time, which the request's time goes beyond. */
static bool
is_beyond_grace (const soak_request_t *call)
{
  uint64_t stop_us = stopped_us (call, SIGTERM);

  return stop_us > 0 &&
         call->ended_us + GRACE_SLACK_US > stop_us + SOAK_LONG_GRACE_MS * UINT64_C (1000) &&
         call->sent_us + least_time_us (call) > stop_us + SOAK_LONG_GRACE_MS * UINT64_C (1000);
}

static soak_count_t
check_call (const soak_request_t *call, uint32_t executions)
{
  if (call->end == SOAK_END_UNCONNECTED)
    return SOAK_COUNT_UNCONNECTED;
  if (stopped_us (call, SIGKILL) > 0 || is_beyond_grace (call))
    return SOAK_COUNT_KILLED;
  if (call->status == 0)
    return check_unanswered (call, executions);
  if (!call->complete)
    return check_failure (call, "was cut");
  if (call->status == 502 || call->status == 504)
    return check_failure (call, "was given up");
  if (call->status == 503 && call->retry_after_us == 0)
    return fail_call (call, "was refused without Retry-After");
  if (call->status == 503)
    return SOAK_COUNT_REFUSED;
  /* Keys of nobody, and routes of versions that come. */
  if (call->status != 200 && !(call->status == 401 && !call->valid_key) &&
      !(call->status == 404 && call->version > 1))
    return fail_call (call, "was answered by an error");
  return SOAK_COUNT_ANSWERED;
}

void
soak_check_end (const soak_request_t *call, uint32_t executions)
{
  soak_silences_t *silences = &call->soak->silences;

  if (!silences->enabled || call->sent_us < silences->began_us)
    return;
  silences->counts[check_call (call, executions)]++;
}

void
soak_log_ends (soak_t *soak)
{
  const uint32_t *counts = soak->silences.counts;

  if (!soak->silences.enabled)
    return;
  soak_log (soak,
            "silences: %u requests answered, %u refused, %u given up after their time, %u not read "
            "by a gateway that "
            "stopped, %u without one, %u lost with theirs",
            counts[SOAK_COUNT_ANSWERED], counts[SOAK_COUNT_REFUSED], counts[SOAK_COUNT_GIVEN_UP],
            counts[SOAK_COUNT_UNREAD], counts[SOAK_COUNT_UNCONNECTED], counts[SOAK_COUNT_KILLED]);
}
