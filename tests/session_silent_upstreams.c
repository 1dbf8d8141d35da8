/**
 * DOC: session_silent_upstreams
 *
 * Upstreams that are sound fall silent for two seconds at most and go on, with real processes. No
 * upstream ends and the load is light, so every request can be answered within its time, and each
 * must be. What callers got is checked request by request, and what ran by the upstreams' records.
 */
#include "silence_rig.h"

#include <CUnit/Basic.h>
#include <signal.h>
#include <string.h>

#define DEADLINE_MS 8000
#define FIRST_REQUESTS 30 /* of each kind, at the start */
#define BATCH_REQUESTS 2  /* of each kind, after that */
#define BATCH_MS 100      /* between two batches */
#define CHANGE_MS 200     /* between two versions of the configuration */
#define AFTER_MS 300      /* of load after the last silence */
#define LISTED_MAX 30     /* lost answers that are printed */
#define CONNECTIONS 24    /* that callers keep */
#define SHORT_IDLE_MS 800 /* the other idle timeout of kept connections */
#define KEPT_PLAY_MS 7000
#define KEPT_CHANGE_MS 1500

/** enum kind - Kinds of requests, in the order of @kinds. */
typedef enum
{
  STREAM,
  LOOKUP,
  BOOKING,
  KINDS
} kind_t;

static const struct
{
  const char *name;
  const char *method;
  const char *path;
} kinds[KINDS] = { { "streams", "POST", "/talk/" },
                   { "lookups", "GET", "/look/" },
                   { "bookings", "POST", "/book/" } };

/**
 * enum ending - What became of a request, from the view of its caller.
 * @WHOLE: A complete and correct answer.
 * @REFUSED: 503.
 * @OVER_TIME: None of these, after the time of its route.
 * @TIMED_OUT: 504.
 * @FAILED: 502.
 * @CUT: The connection was closed inside the answer.
 * @UNANSWERED: The connection was closed before the answer, and the request was passed on.
 * @CROSSED: Likewise, but it was sent on a kept connection and was not passed on.
 * @WRONG: A complete answer that is not the right one.
 */
typedef enum
{
  WHOLE,
  REFUSED,
  OVER_TIME,
  TIMED_OUT,
  FAILED,
  CUT,
  UNANSWERED,
  CROSSED,
  WRONG,
  ENDINGS
} ending_t;

static const char *const ending_names[ENDINGS] = { "whole",      "refused", "over time",
                                                   "504",        "502",     "cut",
                                                   "unanswered", "crossed", "wrong" };

/** struct request - A request that was sent. */
typedef struct
{
  char id[24];
  kind_t kind;
  uint32_t gateway;
  driver_call_t *call;
  uint64_t sent_ms; /* after the start of the play */
  bool is_reused;   /* sent on a kept connection after another request */
} request_t;

/** struct silence - Upstreams that are silent; times after the start of the play. */
typedef struct
{
  uint32_t at_ms;
  uint32_t length_ms;
  uint32_t set;
} silence_t;

/** struct connection - A caller that keeps its connection. */
typedef struct
{
  request_t *request;
  uint64_t due_us;
} connection_t;

/**
 * struct play - A play of silences.
 * @changes: Whether configurations are published all the while.
 * @keeps: Whether callers keep their connections.
 * @idle_ms: Idle timeout of the newest configuration.
 * @begun: Silences that have begun, in their order.
 * @ended: Likewise, as bit set.
 */
typedef struct
{
  silence_rig_t rig;
  const silence_t *silences;
  uint32_t silence_count;
  bool changes;
  bool keeps;
  uint32_t idle_ms;
  GPtrArray *requests;
  connection_t connections[CONNECTIONS];
  uint64_t start_us;
  uint64_t next_batch_us;
  uint64_t next_change_us;
  uint32_t changes_made;
  uint32_t begun;
  uint32_t ended;
  uint32_t counts[KINDS][ENDINGS];
  uint32_t lost;
  uint32_t ran_twice;
  uint32_t refused_but_ran;
} play_t;

static uint64_t
now_us (void)
{
  return (uint64_t)g_get_monotonic_time ();
}

static request_t *
send_request (play_t *play, kind_t kind, const request_t *before)
{
  request_t *request = g_new0 (request_t, 1);
  g_autofree char *path = g_strdup_printf ("%sq%u", kinds[kind].path, play->requests->len);
  g_autofree char *headers = NULL;

  g_snprintf (request->id, sizeof request->id, "q%u", play->requests->len);
  headers = g_strdup_printf ("X-Request-Id: %s\r\nX-Key: key-1\r\nX-Deadline-Ms: %u\r\n",
                             request->id, DEADLINE_MS);
  request->kind = kind;
  request->sent_ms = play->start_us ? (now_us () - play->start_us) / 1000 : 0;
  request->gateway = before ? before->gateway : play->requests->len / KINDS % SILENCE_RIG_GATEWAYS;
  request->is_reused = before && driver_call_is_connected (before->call);
  if (request->is_reused)
    request->call = driver_send_next (before->call, kinds[kind].method, path, headers);
  else
    request->call = driver_send_http (play->rig.driver, play->rig.gateways[request->gateway]->ip,
                                      kinds[kind].method, path, headers, "");
  request->call->is_kept = play->keeps;
  g_ptr_array_add (play->requests, request);
  return request;
}

static void
send_batch (play_t *play, uint32_t requests)
{
  for (uint32_t i = 0; i < requests; i++)
    for (kind_t kind = 0; kind < KINDS; kind++)
      send_request (play, kind, NULL);
}

static bool
have_begun (void *context)
{
  const play_t *play = context;

  for (guint i = 0; i < play->requests->len; i++)
    {
      const request_t *request = play->requests->pdata[i];

      if (request->kind == STREAM && request->call->body->len == 0 &&
          request->call->outcome == DRIVER_OUTCOME_PENDING)
        return false;
    }
  return true;
}

static uint32_t
elapsed_ms (const play_t *play)
{
  return (uint32_t)((now_us () - play->start_us) / 1000);
}

/* Return: The upstreams that are to be silent now. */
static uint32_t
silent_set (const play_t *play)
{
  uint32_t at_ms = elapsed_ms (play);
  uint32_t set = 0;

  for (uint32_t i = 0; i < play->silence_count; i++)
    if (at_ms >= play->silences[i].at_ms &&
        at_ms < play->silences[i].at_ms + play->silences[i].length_ms)
      set |= play->silences[i].set;
  return set;
}

static void
apply_silences (play_t *play)
{
  uint32_t set = silent_set (play);
  uint32_t paused = 0;

  for (uint32_t i = 0; i < SILENCE_RIG_UPSTREAMS; i++)
    paused |= play->rig.upstreams[i]->is_paused ? 1U << i : 0;
  silence_rig_signal (&play->rig, paused & ~set, SIGCONT);
  silence_rig_signal (&play->rig, set & ~paused, SIGSTOP);
}

static uint32_t
end_ms (const play_t *play)
{
  uint32_t last_ms = play->keeps ? KEPT_PLAY_MS : 0;

  for (uint32_t i = 0; i < play->silence_count; i++)
    last_ms = MAX (last_ms, play->silences[i].at_ms + play->silences[i].length_ms);
  return last_ms + AFTER_MS;
}

static void
publish_next (play_t *play)
{
  silence_rig_part_t part = ++play->changes_made % SILENCE_RIG_PARTS;

  if (now_us () < play->next_change_us)
    return;
  play->next_change_us = now_us () + (play->keeps ? KEPT_CHANGE_MS : CHANGE_MS) * 1000;
  if (play->keeps)
    play->idle_ms = play->idle_ms == SHORT_IDLE_MS ? SILENCE_RIG_IDLE_MS : SHORT_IDLE_MS;
  else
    play->idle_ms = part == SILENCE_RIG_IDLE_TIMEOUT ? SHORT_IDLE_MS : SILENCE_RIG_IDLE_MS;
  silence_rig_publish (&play->rig, part, play->idle_ms);
}

/* A caller waits for up to four fifths of the newest idle timeout between two requests. */
static void
poll_connection (play_t *play, uint32_t index)
{
  connection_t *connection = &play->connections[index];
  uint32_t fifths = 1 + index % 4;

  if (connection->request && connection->request->call->outcome == DRIVER_OUTCOME_PENDING)
    return;
  if (connection->request)
    connection->due_us =
        connection->request->call->ended_us + (uint64_t)play->idle_ms * 1000 * fifths / 5;
  if (now_us () >= connection->due_us)
    connection->request = send_request (play, index % KINDS, connection->request);
}

static void
add_load (play_t *play)
{
  for (uint32_t i = 0; play->keeps && i < CONNECTIONS; i++)
    poll_connection (play, i);
  if (play->keeps || now_us () < play->next_batch_us)
    return;
  play->next_batch_us = now_us () + BATCH_MS * 1000;
  send_batch (play, BATCH_REQUESTS);
}

static bool
is_over (void *context)
{
  play_t *play = context;

  apply_silences (play);
  if (elapsed_ms (play) >= end_ms (play))
    return true;
  add_load (play);
  if (play->changes)
    publish_next (play);
  return false;
}

static bool
is_whole_stream (const request_t *request)
{
  GString *expected = g_string_new (NULL);
  bool whole;

  for (uint32_t i = 1; i <= SILENCE_RIG_EVENTS; i++)
    g_string_append_printf (expected, "id: %u\ndata: %s %u v1\n\n", i, request->id, i);
  whole = strcmp (request->call->body->str, expected->str) == 0;
  g_string_free (expected, TRUE);
  return whole;
}

static bool
is_whole_answer (const request_t *request)
{
  g_autofree char *start = g_strdup_printf ("answer to %s by ", request->id);

  return g_str_has_prefix (request->call->body->str, start);
}

static ending_t
ending_of (const request_t *request, uint32_t runs)
{
  const driver_call_t *call = request->call;
  bool is_late = call->ended_us - call->sent_us >= SILENCE_RIG_ROUTE_MS * 1000;
  bool whole = request->kind == STREAM ? is_whole_stream (request) : is_whole_answer (request);

  if (call->outcome == DRIVER_OUTCOME_COMPLETE && call->status == 200 && whole)
    return WHOLE;
  if (call->outcome == DRIVER_OUTCOME_COMPLETE && call->status == 503)
    return REFUSED;
  if (is_late)
    return OVER_TIME;
  if (call->outcome == DRIVER_OUTCOME_NO_RESPONSE)
    return request->is_reused && runs == 0 ? CROSSED : UNANSWERED;
  if (call->outcome != DRIVER_OUTCOME_COMPLETE)
    return CUT;
  return call->status == 504 ? TIMED_OUT : call->status == 502 ? FAILED : WRONG;
}

static void
list_loss (const request_t *request, ending_t ending, uint32_t runs)
{
  const driver_call_t *call = request->call;
  g_autofree char *body = g_strescape (call->body->str, NULL);
  size_t bytes = strlen (body);

  printf ("\n    %s of %s at gateway%u%s: %s, status %d, sent at %u ms, took %u ms, ran %u: ...%s",
          request->id, kinds[request->kind].name, request->gateway,
          request->is_reused ? " on a kept connection" : "", ending_names[ending], call->status,
          (uint32_t)request->sent_ms, (uint32_t)((call->ended_us - call->sent_us) / 1000), runs,
          body + (bytes > 100 ? bytes - 100 : 0));
}

static void
count_endings (play_t *play)
{
  g_autoptr (GHashTable) runs = silence_rig_count_runs (&play->rig);
  uint32_t listed = 0;

  for (guint i = 0; i < play->requests->len; i++)
    {
      const request_t *request = play->requests->pdata[i];
      uint32_t ran = GPOINTER_TO_UINT (g_hash_table_lookup (runs, request->id));
      ending_t ending = ending_of (request, ran);

      play->counts[request->kind][ending]++;
      if (ending > OVER_TIME && ending != CROSSED)
        play->lost++;
      if (request->kind == BOOKING && ran > 1)
        play->ran_twice++;
      if (request->kind == BOOKING && ending == REFUSED && ran > 0)
        play->refused_but_ran++;
      if (ending != WHOLE && listed++ < LISTED_MAX)
        list_loss (request, ending, ran);
    }
}

static uint32_t
sum_of (const play_t *play, ending_t ending)
{
  uint32_t sum = 0;

  for (kind_t kind = 0; kind < KINDS; kind++)
    sum += play->counts[kind][ending];
  return sum;
}

static void
print_counts (const play_t *play, const char *name)
{
  printf ("\n  %s, %s", name, play->changes ? "beside changes" : "no changes");
  for (kind_t kind = 0; kind < KINDS; kind++)
    {
      printf ("\n    %s:", kinds[kind].name);
      for (ending_t ending = 0; ending < ENDINGS; ending++)
        if (play->counts[kind][ending] > 0)
          printf (" %u %s", play->counts[kind][ending], ending_names[ending]);
    }
  printf ("\n    lost: %u, refused: %u, over time: %u, bookings that ran twice: %u, refused but "
          "ran: %u\n",
          play->lost, sum_of (play, REFUSED), sum_of (play, OVER_TIME), play->ran_twice,
          play->refused_but_ran);
}

static void
check_counts (const play_t *play)
{
  CU_ASSERT (sum_of (play, WHOLE) > 0);
  CU_ASSERT_EQUAL (play->lost, 0);
  CU_ASSERT_EQUAL (sum_of (play, REFUSED), 0);
  CU_ASSERT_EQUAL (sum_of (play, OVER_TIME), 0);
  CU_ASSERT_EQUAL (play->ran_twice, 0);
  CU_ASSERT_EQUAL (play->refused_but_ran, 0);
  driver_transcript_add (play->rig.driver,
                         "lost: %u, refused: %u, over time: %u, bookings that ran twice: %u, "
                         "refused but ran: %u",
                         play->lost, sum_of (play, REFUSED), sum_of (play, OVER_TIME),
                         play->ran_twice, play->refused_but_ran);
}

static void
run_play (const char *name, play_t *play)
{
  silence_rig_start (&play->rig, driver_new ("silent_upstreams"));
  play->requests = g_ptr_array_new_with_free_func (g_free);
  play->idle_ms = SILENCE_RIG_IDLE_MS;
  if (!play->keeps)
    send_batch (play, FIRST_REQUESTS);
  driver_wait_until (play->rig.driver, DRIVER_WAIT_LIMIT_MS, "the first events", have_begun, play);
  play->start_us = now_us ();
  driver_wait_until (play->rig.driver, 2 * DRIVER_WAIT_LIMIT_MS, "the end of the play", is_over,
                     play);
  driver_wait_all_calls (play->rig.driver);
  silence_rig_stop_upstreams (&play->rig);
  count_endings (play);
  print_counts (play, name);
  check_counts (play);
  driver_finish (play->rig.driver);
  g_ptr_array_free (play->requests, TRUE);
}

static void
run_silences (const char *name, const silence_t *silences, uint32_t count, bool changes)
{
  play_t play = { .silences = silences, .silence_count = count, .changes = changes };

  run_play (name, &play);
}

static void
play_awake (bool changes)
{
  static const silence_t silences[] = { { 0, 2500, 0 } };

  run_silences ("all awake", silences, G_N_ELEMENTS (silences), changes);
}

static void
play_one (bool changes)
{
  static const silence_t silences[] = { { 0, 600, 0x01 }, { 1400, 2000, 0x01 } };

  run_silences ("one is silent", silences, G_N_ELEMENTS (silences), changes);
}

static void
play_some (bool changes)
{
  static const silence_t silences[] = { { 0, 1200, 0x09 }, { 2600, 2000, 0x0a } };

  run_silences ("some are silent", silences, G_N_ELEMENTS (silences), changes);
}

static void
play_streams (bool changes)
{
  static const silence_t silences[] = { { 0, 700, SILENCE_RIG_STREAMS },
                                        { 2200, 2000, SILENCE_RIG_STREAMS } };

  run_silences ("all of streams are silent", silences, G_N_ELEMENTS (silences), changes);
}

static void
play_lookups (bool changes)
{
  static const silence_t silences[] = { { 0, 700, SILENCE_RIG_LOOKUPS },
                                        { 1500, 2000, SILENCE_RIG_LOOKUPS } };

  run_silences ("all of lookups are silent", silences, G_N_ELEMENTS (silences), changes);
}

static void
play_all (bool changes)
{
  static const silence_t silences[] = { { 0, 700, SILENCE_RIG_ALL },
                                        { 2200, 1200, SILENCE_RIG_ALL },
                                        { 4900, 2000, SILENCE_RIG_ALL } };

  run_silences ("all are silent", silences, G_N_ELEMENTS (silences), changes);
}

static void
play_in_turn (bool changes)
{
  static const silence_t silences[] = { { 0, 1200, 0x01 },
                                        { 600, 1200, 0x08 },
                                        { 1200, 1200, 0x02 },
                                        { 1800, 1200, 0x50 },
                                        { 2400, 1200, 0x24 } };

  run_silences ("silent in turn", silences, G_N_ELEMENTS (silences), changes);
}

static void
test_awake (void)
{
  play_awake (false);
}

static void
test_awake_beside_changes (void)
{
  play_awake (true);
}

static void
test_one (void)
{
  play_one (false);
}

static void
test_one_beside_changes (void)
{
  play_one (true);
}

static void
test_some (void)
{
  play_some (false);
}

static void
test_some_beside_changes (void)
{
  play_some (true);
}

static void
test_streams (void)
{
  play_streams (false);
}

static void
test_streams_beside_changes (void)
{
  play_streams (true);
}

static void
test_lookups (void)
{
  play_lookups (false);
}

static void
test_lookups_beside_changes (void)
{
  play_lookups (true);
}

static void
test_all (void)
{
  play_all (false);
}

static void
test_all_beside_changes (void)
{
  play_all (true);
}

static void
test_in_turn (void)
{
  play_in_turn (false);
}

static void
test_in_turn_beside_changes (void)
{
  play_in_turn (true);
}

static void
play_kept (bool changes)
{
  static const silence_t silences[] = { { 600, 1200, SILENCE_RIG_ALL },
                                        { 3200, 2000, SILENCE_RIG_ALL } };
  play_t play = { .silences = silences,
                  .silence_count = G_N_ELEMENTS (silences),
                  .changes = changes,
                  .keeps = true };

  run_play ("connections are kept", &play);
}

static void
test_kept (void)
{
  play_kept (false);
}

static void
test_kept_beside_changes (void)
{
  play_kept (true);
}

int
main (void)
{
  static const driver_test_t tests[] = {
    { "nothing is lost while all upstreams are awake", test_awake },
    { "nothing is lost beside changes while all upstreams are awake", test_awake_beside_changes },
    { "requests are lost to one silent upstream", test_one },
    { "requests are lost to one silent upstream beside changes", test_one_beside_changes },
    { "requests are lost to some silent upstreams", test_some },
    { "requests are lost to some silent upstreams beside changes", test_some_beside_changes },
    { "streams are lost while all their upstreams are silent", test_streams },
    { "streams are lost while all their upstreams are silent beside changes",
      test_streams_beside_changes },
    { "lookups and bookings are lost while all their upstreams are silent", test_lookups },
    { "lookups and bookings are lost while all their upstreams are silent beside changes",
      test_lookups_beside_changes },
    { "requests are lost while all upstreams are silent", test_all },
    { "requests are lost while all upstreams are silent beside changes", test_all_beside_changes },
    { "requests are lost while upstreams are silent in turn", test_in_turn },
    { "requests are lost while upstreams are silent in turn beside changes",
      test_in_turn_beside_changes },
    { "requests on kept connections are lost while upstreams are silent", test_kept },
    { "requests on kept connections are lost beside changes of the idle timeout",
      test_kept_beside_changes }
  };

  return driver_main ("silent_upstreams", tests, G_N_ELEMENTS (tests));
}
