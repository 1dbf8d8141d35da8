/**
 * DOC: session_two
 *
 * Two failures at once, under traffic: what a caller may conclude doesn't change.
 */
#include "driver.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define SURGE 200
#define CHATS 24
#define BOOKINGS 6
#define TICK_MS 20
#define GRACE_MS 2000

typedef struct
{
  drv_t *drv;
  GPtrArray *calls; /* drv_call_t: of the traffic */
  uint32_t asked;
} traffic_t;

static drv_call_t *
ask (drv_t *drv, const char *account, const char *name, drv_kind_t kind, uint32_t router)
{
  drv_ask_t asked = {
    .name = name, .account = account, .chat = name, .kind = kind, .router = router
  };
  return drv_ask (drv, &asked);
}

static drv_call_t *
book (drv_t *drv, uint32_t number, const char *when)
{
  g_autofree char *key = g_strdup_printf ("booking %u", number);
  g_autofree char *name = g_strdup_printf ("booking %u, %s", number, when);
  drv_ask_t asked = {
    .name = name, .same_body_as = key, .key = key, .kind = DRV_BOOKING, .router = number % 2
  };
  return drv_ask (drv, &asked);
}

static uint32_t
count_own (drv_call_t *const *calls, uint32_t count)
{
  uint32_t own = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      drv_answered (calls[i]);
      own += drv_own_answer (calls[i]) ? 1 : 0;
    }
  return own;
}

static bool
is_refused (const drv_call_t *call, const char *reason)
{
  g_autofree char *told = drv_reason (call);
  return strcmp (drv_verdict (call), "not_run") == 0 && strcmp (told, reason) == 0 &&
         drv_header (call, "retry-after") != NULL;
}

static void
start_surge (drv_t *drv, drv_call_t **surge)
{
  for (uint32_t i = 0; i < SURGE; i++)
    {
      g_autofree char *name = g_strdup_printf ("surge %u", i);
      drv_ask_t asked = {
        .name = name, .account = "beta", .chat = name, .router = i % 2, .stream = true, .tokens = 60
      };
      surge[i] = drv_ask (drv, &asked);
    }
}

/* Streams that an engine had begun break off when it is killed; each other one of the surge is
 * answered, or its caller is told whether it may send it again. */
static bool
all_told (drv_call_t *const *surge)
{
  uint32_t own = 0;
  uint32_t told = 0;
  uint32_t cut = 0;
  for (uint32_t i = 0; i < SURGE; i++)
    {
      const drv_call_t *call = surge[i];
      drv_answered (surge[i]);
      own += drv_own_answer (call) ? 1 : 0;
      told +=
          call->outcome == DRV_WHOLE && call->status != 200 && *drv_verdict (call) != '\0' ? 1 : 0;
      cut += call->outcome == DRV_CUT ? 1 : 0;
    }
  printf ("surge: %u answered, %u told, %u cut\n", own, told, cut);
  return own > 0 && own + told + cut == SURGE && cut < SURGE / 2;
}

/* The log is out, an account surges, and two of three engines are killed one after the other, the
 * first back before the second goes. The chats of the other account are all answered, as nothing of
 * them needs the log; its keyed bookings are refused as not run. When the log is back, the same
 * bookings run, once. */
static void
test_log_kills_surge (void)
{
  drv_t *drv = drv_new ("two_log_surge");
  drv_fleet_t fleet = { .model_hosts = 3, .plain_hosts = 2, .routers = 2 };
  drv_call_t *surge[SURGE];
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
        bookings[i] = book (drv, i, "log down");
      chats[i] = ask (drv, "alpha", name, DRV_CHAT, i % 2);
      drv_answered (chats[i]);
    }
  uint32_t refused = 0;
  for (uint32_t i = 0; i < BOOKINGS; i++)
    {
      drv_answered (bookings[i]);
      refused += is_refused (bookings[i], "log_down") ? 1 : 0;
    }
  drv_say (drv, "chats of the other account: %u of %d answered", count_own (chats, CHATS), CHATS);
  drv_say (drv, "its keyed bookings: %u of %d refused as not run", refused, BOOKINGS);
  drv_say (drv, "the surge: each answered, told, or broken off: %s",
           all_told (surge) ? "yes" : "no");
  drv_fault (drv, "{'log': 'up'}");
  drv_process_start (drv->hosts[1].engine);
  for (uint32_t i = 0; i < BOOKINGS; i++)
    {
      do
        {
          bookings[i] = book (drv, i, "log up");
          drv_answered (bookings[i]);
          drv_for (drv, TICK_MS);
        }
      while (!drv->failed && strcmp (drv_verdict (bookings[i]), "not_run") == 0);
      drv_tell (bookings[i]);
    }
  drv_finish (drv);
}

/* Chats, lookups and keyed bookings through both routers, one of each in every tick. */
static void
traffic_for (traffic_t *traffic, uint32_t wait_ms)
{
  static const drv_kind_t kinds[] = { DRV_CHAT, DRV_LOOKUP, DRV_BOOKING };
  for (uint32_t passed_ms = 0; passed_ms < wait_ms; passed_ms += TICK_MS)
    {
      uint32_t number = traffic->asked++;
      g_autofree char *name = g_strdup_printf ("traffic %u", number);
      drv_ask_t asked = { .name = name,
                          .chat = name,
                          .key = kinds[number % 3] == DRV_BOOKING ? name : NULL,
                          .kind = kinds[number % 3],
                          .router = number / 3 % 2 };
      g_ptr_array_add (traffic->calls, drv_ask (traffic->drv, &asked));
      drv_for (traffic->drv, TICK_MS);
    }
}

static bool
has_ended (void *context)
{
  return drv_reap (context);
}

/* One host leaves, is stopped, and comes back, while one router's list still shows it live. */
static void
replace_host (traffic_t *traffic, drv_host_t *host)
{
  drv_t *drv = traffic->drv;
  host->state = "leaving";
  drv_list (drv);
  traffic_for (traffic, GRACE_MS / 4);
  drv_signal (host->sidecar, SIGTERM);
  traffic_for (traffic, GRACE_MS);
  drv_until (drv, DRV_WAIT_MS, "the end of a sidecar", has_ended, host->sidecar);
  if (host->sidecar->status != 0)
    drv_fail (drv, "%s ended with status %d", host->sidecar->name, host->sidecar->status);
  host->state = "live";
  drv_process_start (host->sidecar);
  drv_list (drv);
  drv_ready (host->sidecar);
  traffic_for (traffic, GRACE_MS / 4);
}

/* All sidecars are replaced one after the other while the list of one router stands still. No
 * caller notices: each request is answered, though one router asks hosts that are gone. */
static void
test_split_rolling (void)
{
  traffic_t traffic = { .drv = drv_new ("two_split_stop"), .calls = g_ptr_array_new () };
  drv_t *drv = traffic.drv;
  drv_fleet_t fleet = { .model_hosts = 3, .plain_hosts = 2, .routers = 2 };
  drv_start (drv, &fleet);
  drv_fault (drv, "{'view': {'r1': 'stale'}}");
  for (uint32_t i = 0; i < drv->host_count; i++)
    replace_host (&traffic, &drv->hosts[i]);
  drv_all_answered (drv);
  uint32_t own = 0;
  for (guint i = 0; i < traffic.calls->len; i++)
    {
      drv_call_t *call = traffic.calls->pdata[i];
      if (drv_own_answer (call))
        own++;
      else
        drv_tell (call);
    }
  printf ("%u of %u answered\n", own, traffic.calls->len);
  drv_say (drv, "all requests answered meanwhile: %s", own == traffic.calls->len ? "yes" : "no");
  drv_fault (drv, "{'view': {'r1': 'up'}}");
  drv_finish (drv);
  g_ptr_array_free (traffic.calls, TRUE);
}

int
main (void)
{
  static const drv_test_t tests[] = { { "log out, engines killed, one account surges",
                                        test_log_kills_surge },
                                      { "list split, all sidecars replaced", test_split_rolling } };
  return drv_main ("two", tests, G_N_ELEMENTS (tests));
}
