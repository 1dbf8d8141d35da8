/**
 * DOC: session_gateway_crash
 *
 * Requests that end every upstream that runs them, with real processes: upstreams that start again
 * after a moment, and gateways through which callers send the request again and again. How many
 * upstreams end is read from the records of the upstreams.
 */
#include "crash_rig.h"

#include <CUnit/Basic.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define GATEWAYS CRASH_RIG_GATEWAYS
#define UPSTREAMS CRASH_RIG_UPSTREAMS
#define RESTART_MS 1000     /* a crashed upstream starts again after this time */
#define RESEND_MS 60        /* least time between two sends of one caller */
#define CRASHES_MAX 3       /* upstreams that one request may end */
#define LATE_MS 3000        /* time after the last of these in which all gateways learn of it */
#define LATE_SENDS_MAX 3    /* sends to upstreams that are allowed later than that */
#define LATE_PLAY_MS 2000   /* time after that for which callers go on */
#define PLAY_LIMIT_MS 12000 /* for the first crashes to come */
#define CALLERS_MAX 12
#define BACKGROUND_CALLS 6
#define BATCH_REQUESTS 20
#define CRASH_TEXT "ends-upstreams"

/** struct kind - A kind of requests; @name is also the first part of its path. */
typedef struct
{
  const char *name;
  const char *method;
} kind_t;

static const kind_t kinds[] = { { "look", "GET" }, { "book", "POST" }, { "talk", "POST" } };

/**
 * struct fleet - The processes of the session, and other callers.
 * @background: Requests of other callers in flight.
 * @refused_others: Number of them that were refused as requests that end upstreams.
 */
typedef struct
{
  crash_rig_t rig;
  driver_call_t *background[BACKGROUND_CALLS];
  uint32_t refused_others;
  uint32_t next_id;
} fleet_t;

/**
 * struct play - Callers that send one request again and again.
 * @prefix: Of the ids of its requests.
 * @last_status: Answer of each gateway to it, 0 before the first.
 */
typedef struct
{
  fleet_t *fleet;
  const kind_t *kind;
  uint32_t callers;
  bool beside_traffic;
  char prefix[32];
  driver_call_t *calls[CALLERS_MAX];
  uint32_t gateway_of[CALLERS_MAX];
  int last_status[GATEWAYS];
  uint32_t sent;
} play_t;

/** struct toll - What the upstreams recorded of one play. */
typedef struct
{
  uint32_t crashes;
  gint64 third_crash_ms;
  uint32_t late_sends;
  uint32_t sends;
} toll_t;

static driver_call_t *
send_request (
    fleet_t *fleet, uint32_t gateway, const char *prefix, const char *method, const char *path)
{
  g_autofree char *headers = g_strdup_printf ("X-Request-Id: %s%u\r\nX-Key: key-1\r\n"
                                              "X-Deadline-Ms: 4000\r\n",
                                              prefix, ++fleet->next_id);

  return driver_send_http (fleet->rig.driver, fleet->rig.gateways[gateway]->ip, method, path,
                           headers, "");
}

static void
start_fleet (fleet_t *fleet, const char *name)
{
  crash_rig_start (&fleet->rig, driver_new (name),
                   &(crash_rig_options_t){ .crash_on = CRASH_TEXT, .restart_ms = RESTART_MS });
}

static void
poll_background (fleet_t *fleet)
{
  for (uint32_t i = 0; i < BACKGROUND_CALLS; i++)
    {
      const kind_t *kind = &kinds[i % G_N_ELEMENTS (kinds)];
      g_autofree char *path = g_strdup_printf ("/%s/other-%u", kind->name, fleet->next_id);
      const driver_call_t *call = fleet->background[i];

      if (call && call->outcome == DRIVER_OUTCOME_PENDING)
        continue;
      fleet->refused_others += call && call->status == 422 ? 1 : 0;
      fleet->background[i] = send_request (fleet, i % GATEWAYS, "other-", kind->method, path);
    }
}

/* Each caller sends again once it has its answer, at the next gateway. */
static void
poll_caller (play_t *play, uint32_t caller)
{
  const driver_call_t *call = play->calls[caller];
  g_autofree char *path = g_strdup_printf ("/%s/" CRASH_TEXT "-%s", play->kind->name, play->prefix);

  if (call && (call->outcome == DRIVER_OUTCOME_PENDING ||
               (gint64)call->sent_us + RESEND_MS * 1000 > g_get_monotonic_time ()))
    return;
  if (call)
    play->last_status[play->gateway_of[caller]] = call->status;
  play->gateway_of[caller] = play->sent++ % GATEWAYS;
  play->calls[caller] =
      send_request (play->fleet, play->gateway_of[caller], play->prefix, play->kind->method, path);
}

static void
poll_play (play_t *play)
{
  crash_rig_restart_upstreams (&play->fleet->rig);
  if (play->beside_traffic)
    poll_background (play->fleet);
  for (uint32_t i = 0; i < play->callers; i++)
    poll_caller (play, i);
}

static toll_t
count_toll (const play_t *play)
{
  g_autoptr (GArray) crashes = crash_rig_collect (&play->fleet->rig, "end", play->prefix, "crash");
  g_autoptr (GArray) sends = crash_rig_collect (&play->fleet->rig, "begin", play->prefix, NULL);
  toll_t toll = { .crashes = crashes->len, .sends = sends->len };

  if (crashes->len < CRASHES_MAX)
    return toll;
  toll.third_crash_ms = g_array_index (crashes, crash_rig_record_t, CRASHES_MAX - 1).time_ms;
  for (guint i = 0; i < sends->len; i++)
    toll.late_sends +=
        g_array_index (sends, crash_rig_record_t, i).time_ms > toll.third_crash_ms + LATE_MS ? 1
                                                                                             : 0;
  return toll;
}

static bool
is_refused_everywhere (const play_t *play)
{
  for (uint32_t i = 0; i < GATEWAYS; i++)
    if (play->last_status[i] != 422)
      return false;
  return true;
}

/* Callers go on until the time after the third crash is over, in which they may still reach
 * upstreams, and longer. */
static bool
has_ended (void *context)
{
  play_t *play = context;
  toll_t toll = count_toll (play);

  poll_play (play);
  if (play->callers == 1 && is_refused_everywhere (play))
    return true;
  return toll.third_crash_ms > 0 &&
         g_get_real_time () / 1000 > toll.third_crash_ms + LATE_MS + LATE_PLAY_MS;
}

static void
cancel_calls (play_t *play)
{
  for (uint32_t i = 0; i < play->callers; i++)
    if (play->calls[i])
      driver_call_wait (play->calls[i]);
  for (uint32_t i = 0; play->beside_traffic && i < BACKGROUND_CALLS; i++)
    if (play->fleet->background[i])
      driver_call_wait (play->fleet->background[i]);
  memset (play->fleet->background, 0, sizeof play->fleet->background);
}

static bool
all_kinds_served (void *context)
{
  fleet_t *fleet = context;

  if (!crash_rig_all_run (&fleet->rig))
    return false;
  for (uint32_t i = 0; i < BATCH_REQUESTS; i++)
    {
      const kind_t *kind = &kinds[i % G_N_ELEMENTS (kinds)];
      g_autofree char *path = g_strdup_printf ("/%s/%u", kind->name, fleet->next_id);
      driver_call_t *call = send_request (fleet, i % GATEWAYS, "q", kind->method, path);

      driver_call_wait (call);
      if (call->status != 200)
        return false;
    }
  return true;
}

static void
run_play (fleet_t *fleet, const kind_t *kind, uint32_t callers, bool beside_traffic)
{
  play_t play = {
    .fleet = fleet, .kind = kind, .callers = callers, .beside_traffic = beside_traffic
  };
  toll_t toll;

  driver_wait_until (fleet->rig.driver, DRIVER_WAIT_LIMIT_MS, "a fleet that serves",
                     all_kinds_served, fleet);
  g_snprintf (play.prefix, sizeof play.prefix, "%s-%u-", kind->name, callers);
  driver_wait_until (fleet->rig.driver, PLAY_LIMIT_MS + LATE_MS + LATE_PLAY_MS,
                     "the end of the play", has_ended, &play);
  cancel_calls (&play);
  toll = count_toll (&play);
  printf ("%s, %u callers: %u upstreams ended, %u sends reached upstreams, %u of them late\n",
          kind->name, callers, toll.crashes, toll.sends, toll.late_sends);
  if (callers == 1)
    CU_ASSERT (toll.crashes <= CRASHES_MAX);
  CU_ASSERT (toll.late_sends <= LATE_SENDS_MAX);
  CU_ASSERT_EQUAL (fleet->refused_others, 0);
  driver_wait_until (fleet->rig.driver, DRIVER_WAIT_LIMIT_MS, "others to be served",
                     all_kinds_served, fleet);
}

static void
run_plays (const char *name, uint32_t callers, bool beside_traffic)
{
  fleet_t fleet = { 0 };

  start_fleet (&fleet, name);
  for (uint32_t i = 0; i < G_N_ELEMENTS (kinds); i++)
    run_play (&fleet, &kinds[i], callers, beside_traffic);
  driver_transcript_add (fleet.rig.driver, "others are served, the request is not sent any more");
  driver_finish (fleet.rig.driver);
}

/* Guards against a request that ends one upstream after the other on a quiet service, where nothing
 * else shows that they ended. */
static void
test_single_caller (void)
{
  run_plays ("gateway_crash_single", 1, false);
}

/* Guards against a request whose copies end several upstreams at a time, so that each end seems to
 * be excused by the others. */
static void
test_many_callers (void)
{
  run_plays ("gateway_crash_many", CALLERS_MAX, false);
}

/* Guards against a request that is not told from those that ran beside it. */
static void
test_beside_traffic (void)
{
  run_plays ("gateway_crash_traffic", 4, true);
}

/** struct gateway_log - A line that a gateway is to log, and how often it has before. */
typedef struct
{
  const driver_process_t *gateway;
  const char *line;
  uint32_t before;
} gateway_log_t;

static bool
has_logged_again (void *context)
{
  const gateway_log_t *log = context;

  return driver_process_count_log_lines (log->gateway, log->line, NULL) > log->before;
}

static void
restart_gateway (fleet_t *fleet, uint32_t index)
{
  driver_process_t *gateway = fleet->rig.gateways[index];
  gateway_log_t ready = { gateway, ": ready ",
                          driver_process_count_log_lines (gateway, ": ready ", NULL) };
  gateway_log_t told = { gateway, ": peer_mark ",
                         driver_process_count_log_lines (gateway, ": peer_mark ", NULL) };

  driver_process_kill (gateway);
  driver_process_start (gateway);
  driver_wait_until (fleet->rig.driver, DRIVER_WAIT_LIMIT_MS, "a gateway that is ready again",
                     has_logged_again, &ready);
  driver_wait_until (fleet->rig.driver, DRIVER_WAIT_LIMIT_MS,
                     "a gateway that was told of the request", has_logged_again, &told);
}

/* Guards against gateways that end engines anew after each of them was restarted. */
static void
test_gateways_restart (void)
{
  fleet_t fleet = { 0 };
  play_t play = { .fleet = &fleet, .kind = &kinds[0], .callers = 1 };

  start_fleet (&fleet, "gateway_crash_restart");
  run_play (&fleet, &kinds[0], 1, false);
  g_snprintf (play.prefix, sizeof play.prefix, "%s-1-", kinds[0].name);
  for (uint32_t i = 0; i < GATEWAYS; i++)
    restart_gateway (&fleet, i);
  for (uint32_t i = 0; i < GATEWAYS; i++)
    {
      g_autofree char *path = g_strdup_printf ("/look/" CRASH_TEXT "-%s", play.prefix);
      driver_call_t *call = send_request (&fleet, i, play.prefix, "GET", path);

      driver_call_wait (call);
      driver_transcript_add (fleet.rig.driver, "gateway %u was restarted: %d", i, call->status);
    }
  CU_ASSERT (count_toll (&play).crashes <= CRASHES_MAX);
  driver_finish (fleet.rig.driver);
}

/* Requests that many callers send alike, of all kinds. */
static void
send_alike (fleet_t *fleet)
{
  for (uint32_t i = 0; i < 2 * BATCH_REQUESTS; i++)
    {
      const kind_t *kind = &kinds[i % G_N_ELEMENTS (kinds)];
      g_autofree char *path = g_strdup_printf ("/%s/alike", kind->name);

      send_request (fleet, i % GATEWAYS, "alike-", kind->method, path);
    }
}

static uint32_t
count_refused_as_suspect (const fleet_t *fleet)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < GATEWAYS; i++)
    count += driver_process_count_log_lines (fleet->rig.gateways[i], ": refuse ", "reason=suspect");
  return count;
}

static uint32_t
count_begun (const fleet_t *fleet)
{
  g_autoptr (GArray) times = crash_rig_collect (&fleet->rig, "begin", "alike-", NULL);

  return times->len;
}

/** struct begun - Requests that are to begin at upstreams; @before have begun earlier. */
typedef struct
{
  const fleet_t *fleet;
  uint32_t before;
} begun_t;

static bool
have_begun (void *context)
{
  const begun_t *begun = context;

  return count_begun (begun->fleet) >= begun->before + BATCH_REQUESTS;
}

/* Ends some upstreams under requests: all whose number, divided by @divisor, leaves no rest. */
static void
end_upstreams (fleet_t *fleet, const char *what, uint32_t divisor, int number)
{
  for (uint32_t round = 0; round < 3; round++)
    {
      begun_t begun = { fleet, 0 };

      driver_wait_until (fleet->rig.driver, DRIVER_WAIT_LIMIT_MS, "a fleet that serves",
                         all_kinds_served, fleet);
      begun.before = count_begun (fleet);
      send_alike (fleet);
      poll_background (fleet);
      driver_wait_until (fleet->rig.driver, DRIVER_WAIT_LIMIT_MS, "requests at upstreams",
                         have_begun, &begun);
      for (uint32_t i = 0; i < UPSTREAMS; i += divisor)
        driver_process_signal (fleet->rig.upstreams[i], number);
      driver_wait_all_calls (fleet->rig.driver);
    }
  driver_wait_until (fleet->rig.driver, DRIVER_WAIT_LIMIT_MS, "a fleet that serves again",
                     all_kinds_served, fleet);
  driver_transcript_add (fleet->rig.driver, "%s: requests refused as ending upstreams: %u", what,
                         count_refused_as_suspect (fleet));
}

/* Guards against requests that are refused because their upstreams ended together, or as planned,
 * three times. */
static void
test_common_causes (void)
{
  fleet_t fleet = { 0 };

  start_fleet (&fleet, "gateway_crash_causes");
  end_upstreams (&fleet, "half of the upstreams lose power", 2, SIGKILL);
  end_upstreams (&fleet, "all upstreams are killed at once", 1, SIGKILL);
  end_upstreams (&fleet, "half of the upstreams are replaced", 2, SIGTERM);
  memset (fleet.background, 0, sizeof fleet.background);
  driver_finish (fleet.rig.driver);
}

int
main (void)
{
  static const driver_test_t tests[] = {
    { "a request that ends upstreams comes from a single caller", test_single_caller },
    { "a request that ends upstreams comes from many callers at several gateways",
      test_many_callers },
    { "a request that ends upstreams comes beside traffic", test_beside_traffic },
    { "a request that ends upstreams comes again after all gateways were restarted",
      test_gateways_restart },
    { "upstreams end together or as planned, three times", test_common_causes }
  };

  return driver_main ("gateway_crash", tests, G_N_ELEMENTS (tests));
}
