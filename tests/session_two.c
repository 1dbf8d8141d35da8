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
  drv_t *drv;
  GPtrArray *calls; /* drv_call_t */
  uint32_t sent_count;
} traffic_t;

static drv_call_t *
send_request (drv_t *drv, const char *account, const char *name, drv_kind_t kind, uint32_t router)
{
  drv_ask_t request = {
    .name = name, .account = account, .chat = name, .kind = kind, .router = router
  };
  return drv_ask (drv, &request);
}

static drv_call_t *
send_booking (drv_t *drv, uint32_t number, const char *when)
{
  g_autofree char *key = g_strdup_printf ("booking %u", number);
  g_autofree char *name = g_strdup_printf ("booking %u, %s", number, when);
  drv_ask_t request = {
    .name = name, .same_body_as = key, .key = key, .kind = DRV_BOOKING, .router = number % 2
  };
  return drv_ask (drv, &request);
}

static uint32_t
wait_and_count_answered (drv_call_t *const *calls, uint32_t count)
{
  uint32_t answered = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      drv_answered (calls[i]);
      answered += drv_own_answer (calls[i]) ? 1 : 0;
    }
  return answered;
}

static bool
is_refused (const drv_call_t *call, const char *reason)
{
  g_autofree char *error_code = drv_reason (call);
  return strcmp (drv_verdict (call), "not_run") == 0 && strcmp (error_code, reason) == 0 &&
         drv_header (call, "retry-after") != NULL;
}

static void
start_surge (drv_t *drv, drv_call_t **surge)
{
  for (uint32_t i = 0; i < SURGE_REQUESTS; i++)
    {
      g_autofree char *name = g_strdup_printf ("surge %u", i);
      drv_ask_t request = {
        .name = name, .account = "beta", .chat = name, .router = i % 2, .stream = true, .tokens = 60
      };
      surge[i] = drv_ask (drv, &request);
    }
}

/* Return: Whether each request of the surge was answered, refused with a verdict, or a stream that
 * was cut off because its engine was killed; and whether at least one was answered and fewer than
 * half were cut off. */
static bool
all_accounted_for (drv_call_t *const *surge)
{
  uint32_t answered = 0;
  uint32_t refused = 0;
  uint32_t cut_off = 0;
  for (uint32_t i = 0; i < SURGE_REQUESTS; i++)
    {
      const drv_call_t *call = surge[i];
      drv_answered (surge[i]);
      answered += drv_own_answer (call) ? 1 : 0;
      refused +=
          call->outcome == DRV_WHOLE && call->status != 200 && *drv_verdict (call) != '\0' ? 1 : 0;
      cut_off += call->outcome == DRV_CUT ? 1 : 0;
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
  drv_t *drv = drv_new ("two_log_surge");
  drv_fleet_t fleet = { .model_hosts = 3, .plain_hosts = 2, .routers = 2 };
  drv_call_t *surge[SURGE_REQUESTS];
  drv_call_t *chats[CHATS];
  drv_call_t *bookings[BOOKINGS];
  drv_start (drv, &fleet);
  drv_fault (drv, "{'log': 'down'}");
  start_surge (drv, surge);
  for (uint32_t i = 0; i < CHATS; i++)
    {
      g_autofree char *name = g_strdup_printf ("chat %u", i);
      if (i == CHATS / 4)
        drv_kill (drv->hosts[0].engine);
      if (i == CHATS / 2)
        drv_process_start (drv->hosts[0].engine);
      if (i == CHATS * 3 / 4)
        drv_kill (drv->hosts[1].engine);
      if (i < BOOKINGS)
        bookings[i] = send_booking (drv, i, "log down");
      chats[i] = send_request (drv, "alpha", name, DRV_CHAT, i % 2);
      drv_answered (chats[i]);
    }
  uint32_t refused = 0;
  for (uint32_t i = 0; i < BOOKINGS; i++)
    {
      drv_answered (bookings[i]);
      refused += is_refused (bookings[i], "log_down") ? 1 : 0;
    }
  drv_say (drv, "chats of the other account: %u of %d answered",
           wait_and_count_answered (chats, CHATS), CHATS);
  drv_say (drv, "its keyed bookings: %u of %d refused as not run", refused, BOOKINGS);
  drv_say (drv, "the surge: each answered, told, or broken off: %s",
           all_accounted_for (surge) ? "yes" : "no");
  drv_fault (drv, "{'log': 'up'}");
  drv_process_start (drv->hosts[1].engine);
  for (uint32_t i = 0; i < BOOKINGS; i++)
    {
      do
        {
          bookings[i] = send_booking (drv, i, "log up");
          drv_answered (bookings[i]);
          drv_for (drv, TICK_MS);
        }
      while (!drv->failed && strcmp (drv_verdict (bookings[i]), "not_run") == 0);
      drv_tell (bookings[i]);
    }
  drv_finish (drv);
}

/* Sends chats, lookups and bookings with a key in turn through both routers, one in each tick. */
static void
send_traffic (traffic_t *traffic, uint32_t wait_ms)
{
  static const drv_kind_t kinds[] = { DRV_CHAT, DRV_LOOKUP, DRV_BOOKING };
  for (uint32_t passed_ms = 0; passed_ms < wait_ms; passed_ms += TICK_MS)
    {
      uint32_t number = traffic->sent_count++;
      g_autofree char *name = g_strdup_printf ("traffic %u", number);
      drv_ask_t request = { .name = name,
                            .chat = name,
                            .key = kinds[number % 3] == DRV_BOOKING ? name : NULL,
                            .kind = kinds[number % 3],
                            .router = number / 3 % 2 };
      g_ptr_array_add (traffic->calls, drv_ask (traffic->drv, &request));
      drv_for (traffic->drv, TICK_MS);
    }
}

static bool
has_ended (void *context)
{
  return drv_reap (context);
}

/* Makes a host leave, stops its sidecar and restarts it; one router's list shows it as live all the
 * time. */
static void
restart_host (traffic_t *traffic, drv_host_t *host)
{
  drv_t *drv = traffic->drv;
  host->state = "leaving";
  drv_list (drv);
  send_traffic (traffic, GRACE_MS / 4);
  drv_signal (host->sidecar, SIGTERM);
  send_traffic (traffic, GRACE_MS);
  drv_until (drv, DRV_WAIT_MS, "the exit of a sidecar", has_ended, host->sidecar);
  if (host->sidecar->status != 0)
    drv_fail (drv, "%s ended with status %d", host->sidecar->name, host->sidecar->status);
  host->state = "live";
  drv_process_start (host->sidecar);
  drv_list (drv);
  drv_ready (host->sidecar);
  send_traffic (traffic, GRACE_MS / 4);
}

/* All sidecars are restarted one after the other while the list of one router is not updated. Each
 * request is answered, although that router sends some to hosts that have stopped. */
static void
test_rolling_restart_outdated_list (void)
{
  traffic_t traffic = { .drv = drv_new ("two_split_stop"), .calls = g_ptr_array_new () };
  drv_t *drv = traffic.drv;
  drv_fleet_t fleet = { .model_hosts = 3, .plain_hosts = 2, .routers = 2 };
  drv_start (drv, &fleet);
  drv_fault (drv, "{'view': {'r1': 'stale'}}");
  for (uint32_t i = 0; i < drv->host_count; i++)
    restart_host (&traffic, &drv->hosts[i]);
  drv_all_answered (drv);
  uint32_t answered = 0;
  for (guint i = 0; i < traffic.calls->len; i++)
    {
      drv_call_t *call = traffic.calls->pdata[i];
      if (drv_own_answer (call))
        answered++;
      else
        drv_tell (call);
    }
  printf ("%u of %u answered\n", answered, traffic.calls->len);
  drv_say (drv, "all requests answered meanwhile: %s",
           answered == traffic.calls->len ? "yes" : "no");
  drv_fault (drv, "{'view': {'r1': 'up'}}");
  drv_finish (drv);
  g_ptr_array_free (traffic.calls, TRUE);
}

int
main (void)
{
  static const drv_test_t tests[] = {
    { "log down, engines killed, one account surges", test_log_down_with_surge },
    { "outdated list, all sidecars restarted", test_rolling_restart_outdated_list }
  };
  return drv_main ("two", tests, G_N_ELEMENTS (tests));
}
