/**
 * DOC: session_two
 *
 * Two failures at the same time, under load: the responses still tell callers correctly whether
 * their requests ran or may have run.
 */
#include "driver.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define SURGE_REQUESTS 200
#define CHATS 24
#define BOOKINGS 6
#define TICK_MS 20
#define GRACE_MS 2000

typedef struct
{
  driver_t *driver;
  GPtrArray *calls; /* driver_call_t */
  uint32_t sent_count;
} traffic_t;

static driver_call_t *
send_request (driver_t *driver,
              const char *account,
              const char *name,
              driver_request_kind_t kind,
              uint32_t router)
{
  driver_request_t request = {
    .name = name, .account = account, .chat = name, .kind = kind, .router = router
  };
  return driver_send_request (driver, &request);
}

static driver_call_t *
send_booking (driver_t *driver, uint32_t number, const char *when)
{
  g_autofree char *key = g_strdup_printf ("booking %u", number);
  g_autofree char *name = g_strdup_printf ("booking %u, %s", number, when);
  driver_request_t request = {
    .name = name, .same_body_as = key, .key = key, .kind = DRIVER_BOOKING, .router = number % 2
  };
  return driver_send_request (driver, &request);
}

static uint32_t
wait_and_count_answered (driver_call_t *const *calls, uint32_t count)
{
  uint32_t answered = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      driver_call_wait (calls[i]);
      answered += driver_call_is_correct (calls[i]) ? 1 : 0;
    }
  return answered;
}

static bool
is_refused (const driver_call_t *call, const char *reason)
{
  g_autofree char *error_code = driver_call_error_code (call);
  return strcmp (driver_call_verdict (call), "not_run") == 0 && strcmp (error_code, reason) == 0 &&
         driver_call_header (call, "retry-after") != NULL;
}

static void
start_surge (driver_t *driver, driver_call_t **surge)
{
  for (uint32_t i = 0; i < SURGE_REQUESTS; i++)
    {
      g_autofree char *name = g_strdup_printf ("surge %u", i);
      driver_request_t request = {
        .name = name, .account = "beta", .chat = name, .router = i % 2, .stream = true, .tokens = 60
      };
      surge[i] = driver_send_request (driver, &request);
    }
}

/* Return: Whether each request of the surge was answered, refused with a verdict, or a stream that
 * was cut off because its engine was killed; and whether at least one was answered and fewer than
 * half were cut off. */
static bool
all_accounted_for (driver_call_t *const *surge)
{
  uint32_t answered = 0;
  uint32_t refused = 0;
  uint32_t cut_off = 0;
  for (uint32_t i = 0; i < SURGE_REQUESTS; i++)
    {
      const driver_call_t *call = surge[i];
      driver_call_wait (surge[i]);
      answered += driver_call_is_correct (call) ? 1 : 0;
      refused += call->outcome == DRIVER_OUTCOME_COMPLETE && call->status != 200 &&
                         *driver_call_verdict (call) != '\0'
                     ? 1
                     : 0;
      cut_off += call->outcome == DRIVER_OUTCOME_TRUNCATED ? 1 : 0;
    }
  printf ("surge: %u answered, %u refused, %u cut off\n", answered, refused, cut_off);
  return answered > 0 && answered + refused + cut_off == SURGE_REQUESTS &&
         cut_off < SURGE_REQUESTS / 2;
}

/* The log is down, one account sends a surge, and two of three engines are killed one after the
 * other; the first is restarted before the second is killed. All chats of the other account are
 * answered, as chats do not need the log; its bookings with a key are refused with not_run. When
 * the log is up again, the same bookings run once. */
static void
test_log_down_with_surge (void)
{
  driver_t *driver = driver_new ("two_log_surge");
  driver_fleet_t fleet = { .model_hosts = 3, .plain_hosts = 2, .routers = 2 };
  driver_call_t *surge[SURGE_REQUESTS];
  driver_call_t *chats[CHATS];
  driver_call_t *bookings[BOOKINGS];
  driver_start (driver, &fleet);
  driver_set_fault (driver, "{'log': 'down'}");
  start_surge (driver, surge);
  for (uint32_t i = 0; i < CHATS; i++)
    {
      g_autofree char *name = g_strdup_printf ("chat %u", i);
      if (i == CHATS / 4)
        driver_process_kill (driver->hosts[0].engine);
      if (i == CHATS / 2)
        driver_process_start (driver->hosts[0].engine);
      if (i == CHATS * 3 / 4)
        driver_process_kill (driver->hosts[1].engine);
      if (i < BOOKINGS)
        bookings[i] = send_booking (driver, i, "log down");
      chats[i] = send_request (driver, "alpha", name, DRIVER_CHAT, i % 2);
      driver_call_wait (chats[i]);
    }
  uint32_t refused = 0;
  for (uint32_t i = 0; i < BOOKINGS; i++)
    {
      driver_call_wait (bookings[i]);
      refused += is_refused (bookings[i], "log_down") ? 1 : 0;
    }
  driver_transcript_add (driver, "chats of the other account: %u of %d answered",
                         wait_and_count_answered (chats, CHATS), CHATS);
  driver_transcript_add (driver, "its keyed bookings: %u of %d refused as not run", refused,
                         BOOKINGS);
  driver_transcript_add (driver, "the surge: each answered, told, or broken off: %s",
                         all_accounted_for (surge) ? "yes" : "no");
  driver_set_fault (driver, "{'log': 'up'}");
  driver_process_start (driver->hosts[1].engine);
  for (uint32_t i = 0; i < BOOKINGS; i++)
    {
      do
        {
          bookings[i] = send_booking (driver, i, "log up");
          driver_call_wait (bookings[i]);
          driver_run_loop (driver, TICK_MS);
        }
      while (!driver->failed && strcmp (driver_call_verdict (bookings[i]), "not_run") == 0);
      driver_transcript_add_call (bookings[i]);
    }
  driver_finish (driver);
}

/* Sends chats, lookups and bookings with a key in turn through both routers, one in each tick. */
static void
send_traffic (traffic_t *traffic, uint32_t wait_ms)
{
  static const driver_request_kind_t kinds[] = { DRIVER_CHAT, DRIVER_LOOKUP, DRIVER_BOOKING };
  for (uint32_t passed_ms = 0; passed_ms < wait_ms; passed_ms += TICK_MS)
    {
      uint32_t number = traffic->sent_count++;
      g_autofree char *name = g_strdup_printf ("traffic %u", number);
      driver_request_t request = { .name = name,
                                   .chat = name,
                                   .key = kinds[number % 3] == DRIVER_BOOKING ? name : NULL,
                                   .kind = kinds[number % 3],
                                   .router = number / 3 % 2 };
      g_ptr_array_add (traffic->calls, driver_send_request (traffic->driver, &request));
      driver_run_loop (traffic->driver, TICK_MS);
    }
}

static bool
has_ended (void *context)
{
  return driver_process_reap (context);
}

/* Makes a host leave, stops its sidecar and restarts it; one router's list shows it as live all the
 * time. */
static void
restart_host (traffic_t *traffic, driver_host_t *host)
{
  driver_t *driver = traffic->driver;
  host->state = "leaving";
  driver_update_host_list (driver);
  send_traffic (traffic, GRACE_MS / 4);
  driver_process_signal (host->sidecar, SIGTERM);
  send_traffic (traffic, GRACE_MS);
  driver_wait_until (driver, DRIVER_WAIT_LIMIT_MS, "the exit of a sidecar", has_ended,
                     host->sidecar);
  if (host->sidecar->status != 0)
    driver_fail (driver, "%s ended with status %d", host->sidecar->name, host->sidecar->status);
  host->state = "live";
  driver_process_start (host->sidecar);
  driver_update_host_list (driver);
  driver_process_wait_ready (host->sidecar);
  send_traffic (traffic, GRACE_MS / 4);
}

/* All sidecars are restarted one after the other while the list of one router is not updated. Each
 * request is answered, although that router sends some to hosts that have stopped. */
static void
test_rolling_restart_outdated_list (void)
{
  traffic_t traffic = { .driver = driver_new ("two_split_stop"), .calls = g_ptr_array_new () };
  driver_t *driver = traffic.driver;
  driver_fleet_t fleet = { .model_hosts = 3, .plain_hosts = 2, .routers = 2 };
  driver_start (driver, &fleet);
  driver_set_fault (driver, "{'view': {'r1': 'stale'}}");
  for (uint32_t i = 0; i < driver->host_count; i++)
    restart_host (&traffic, &driver->hosts[i]);
  driver_wait_all_calls (driver);
  uint32_t answered = 0;
  for (guint i = 0; i < traffic.calls->len; i++)
    {
      driver_call_t *call = traffic.calls->pdata[i];
      if (driver_call_is_correct (call))
        answered++;
      else
        driver_transcript_add_call (call);
    }
  printf ("%u of %u answered\n", answered, traffic.calls->len);
  driver_transcript_add (driver, "all requests answered meanwhile: %s",
                         answered == traffic.calls->len ? "yes" : "no");
  driver_set_fault (driver, "{'view': {'r1': 'up'}}");
  driver_finish (driver);
  g_ptr_array_free (traffic.calls, TRUE);
}

int
main (void)
{
  static const driver_test_t tests[] = {
    { "log down, engines killed, one account surges", test_log_down_with_surge },
    { "outdated list, all sidecars restarted", test_rolling_restart_outdated_list }
  };
  return driver_main ("two", tests, G_N_ELEMENTS (tests));
}
