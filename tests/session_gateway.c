/*
 * The whole path on the users' platform, with real processes: the store, upstreams that register in
 * it, and two gateways. A calm day, a configuration, an upstream that leaves, one that crashes, the
 * store out, a gateway that stops.
 */
#include "driver.h"
#include "standin/keyed_store.h"

#include <CUnit/Basic.h>
#include <signal.h>
#include <string.h>

#define GATEWAYS 2
#define UPSTREAMS 5
#define STREAMS 3 /* of the upstreams, the first ones */
#define MANY 20
#define DATA_CENTER "hall-bayangol" /* of all upstreams */

/** struct rig - the processes of the session */
typedef struct
{
  drv_t *drv;
  drv_process_t *gateways[GATEWAYS];
  drv_process_t *upstreams[UPSTREAMS];
  uint32_t next_id;
} rig_t;

#define ROUTE(name, kind, service, more)                                                           \
  "{\"name\":\"" name "\",\"host\":\"fleet\",\"path_prefix\":\"/" name "/\",\"kind\":\"" kind      \
  "\",\"timeout_ms\":5000,\"attempts\":2,\"service\":\"" service "\"" more "}"
#define CONFIG(version, routes)                                                                    \
  "{\"version\":" version ",\"routes\":[" ROUTE ("look", "idempotent", "ledger", "") "," ROUTE (   \
      "book", "non_idempotent", "ledger", "") "," ROUTE ("talk", "stream", "pool",                 \
                                                         ",\"resumable\":true") routes             \
      "],\"tenants\":[{\"name\":\"alpha\",\"api_keys\":[\"key-1\"]}]}"

/* @value empty: the key is dropped */
static void
write_record (rig_t *rig, const char *key, const char *value)
{
  size_t length = 1 + strlen (key) + strlen (value);
  GString *body = g_string_new (NULL);
  drv_call_t *call;

  /* a keyed record: its length, that of the key, key and value */
  for (int shift = 24; shift >= 0; shift -= 8)
    g_string_append_c (body, (char)(length >> shift));
  g_string_append_c (body, (char)strlen (key));
  g_string_append_printf (body, "%s%s", key, value);
  call = drv_send_bytes (rig->drv, rig->drv->platform->ip, "POST",
                         "/log-append?topic=keyed.op&part=0", "", body->str, body->len);
  drv_answered (call);
  CU_ASSERT_EQUAL (call->status, 200);
  g_string_free (body, TRUE);
}

static void
publish (rig_t *rig, const char *config)
{
  write_record (rig, "config", config);
}

static drv_call_t *
ask (rig_t *rig, uint32_t gateway, const char *method, const char *path)
{
  g_autofree char *headers = g_strdup_printf ("X-Request-Id: q%u\r\nX-Key: key-1\r\n"
                                              "X-Deadline-Ms: 4000\r\n",
                                              ++rig->next_id);

  return drv_send (rig->drv, rig->gateways[gateway]->ip, method, path, headers, "");
}

static bool
is_good (const drv_call_t *call)
{
  return call->status == 200 && call->outcome == DRV_WHOLE;
}

/* Return: how many of them were answered whole */
static uint32_t
ask_many (rig_t *rig, const char *method, const char *path)
{
  uint32_t first_id = rig->next_id + 1;
  drv_call_t *calls[MANY];
  uint32_t good = 0;

  for (uint32_t i = 0; i < MANY; i++)
    calls[i] = ask (rig, i % GATEWAYS, method, path);
  for (uint32_t i = 0; i < MANY; i++)
    {
      g_autofree char *id = g_strdup_printf ("q%u", first_id + i);

      drv_answered (calls[i]);
      good += is_good (calls[i]) ? 1 : 0;
      if (!is_good (calls[i]))
        drv_explain (calls[i], id);
    }
  return good;
}

static int
status_of (rig_t *rig, uint32_t gateway, const char *path)
{
  drv_call_t *call = ask (rig, gateway, "GET", path);

  drv_answered (call);
  return call->status;
}

static void
start_upstream (rig_t *rig, uint32_t index)
{
  g_autofree char *name = g_strdup_printf ("upstream%u", index);
  drv_process_t *process = drv_process_new (rig->drv, DRV_UPSTREAM, name, NULL);
  bool streams = index < STREAMS;

  process->record_path = g_strdup_printf ("%s/%s.record", rig->drv->dir, name);
  drv_process_flag (process, "--store=%s:%d", rig->drv->platform->ip, DRV_PORT);
  drv_process_flag (process, "--service=%s", streams ? "pool" : "ledger");
  drv_process_flag (process, "--events=%d", streams ? 5 : 0);
  drv_process_flag (process, "--work-ms=%d", streams ? 10 : 3);
  drv_process_flag (process, "--record=%s", process->record_path);
  rig->upstreams[index] = process;
  drv_process_start (process);
}

static void
start_gateway (rig_t *rig, uint32_t index)
{
  g_autofree char *name = g_strdup_printf ("gateway%u", index);
  drv_process_t *process = drv_process_new (rig->drv, DRV_GATEWAY, name, NULL);

  drv_process_flag (process, "--role=gateway");
  drv_process_flag (process, "--renewal-ms=%u", KST_LAPSE_MS / 3);
  drv_process_flag (process, "--name=%s", name);
  drv_process_flag (process, "--data-center=hall-bayangol");
  drv_process_flag (process, "--region=ulaanbaatar");
  drv_process_flag (process, "--ready-listen=%s:%d", process->ip, DRV_PORT + 1);
  drv_process_flag (process, "--control-listen=%s:%d", process->ip, DRV_PORT + 2);
  drv_process_flag (process, "--exchange=%s:%d", process->ip, DRV_PORT + 3);
  drv_process_flag (process, "--platform=%s:%d", rig->drv->platform->ip, DRV_PORT);
  drv_process_flag (process, "--exchange-interval-ms=100");
  drv_process_flag (process, "--control-budget-bytes=7000");
  drv_process_flag (process, "--retry-slack=1000");
  rig->gateways[index] = process;
  drv_process_start (process);
}

static bool
all_registered (void *context)
{
  const rig_t *rig = context;

  for (uint32_t i = 0; i < GATEWAYS; i++)
    if (drv_logged (rig->gateways[i], ": engine ", "state=ready") < UPSTREAMS ||
        drv_logged (rig->gateways[i], ": ready ", NULL) == 0)
      return false;
  return true;
}

static void
start (rig_t *rig)
{
  drv_t *drv = rig->drv;

  drv_start_platform (drv);
  publish (rig, CONFIG ("1", ""));
  for (uint32_t i = 0; i < UPSTREAMS; i++)
    start_upstream (rig, i);
  for (uint32_t i = 0; i < GATEWAYS; i++)
    start_gateway (rig, i);
  drv_until (drv, DRV_WAIT_MS, "all upstreams at all gateways", all_registered, rig);
}

static void
calm (rig_t *rig)
{
  drv_say (rig->drv, "calm: %u of %u lookups, %u of %u bookings, %u of %u streams",
           ask_many (rig, "GET", "/look/"), MANY, ask_many (rig, "POST", "/book/"), MANY,
           ask_many (rig, "POST", "/talk/"), MANY);
  drv_say (rig->drv, "an unknown route: %d", status_of (rig, 0, "/new/"));
}

static bool
new_route_is_served (void *context)
{
  rig_t *rig = context;

  return status_of (rig, 0, "/new/") == 200 && status_of (rig, 1, "/new/") == 200;
}

static void
configuration (rig_t *rig)
{
  publish (rig, CONFIG ("5", "," ROUTE ("new", "idempotent", "ledger", "")));
  drv_until (rig->drv, DRV_WAIT_MS, "the new route", new_route_is_served, rig);
  drv_say (rig->drv, "version 5: the new route is served by both");
}

static bool
all_drained (void *context)
{
  const rig_t *rig = context;

  for (uint32_t i = 0; i < GATEWAYS; i++)
    if (drv_logged (rig->gateways[i], ": data_center ", "state=drained") == 0)
      return false;
  return true;
}

static bool
second_is_ready (void *context)
{
  return drv_logged (((const rig_t *)context)->gateways[1], ": ready ", NULL) >= 2;
}

static bool
all_taken_back (void *context)
{
  rig_t *rig = context;

  for (uint32_t i = 0; i < GATEWAYS; i++)
    if (status_of (rig, i, "/look/") != 200)
      return false;
  return true;
}

/* All upstreams stand in one data centre. While operators drain it nothing runs, and callers hear
 * so at once; a gateway that starts meanwhile sends nothing there either. */
static void
data_center_is_drained (rig_t *rig)
{
  write_record (rig, "evacuate/" DATA_CENTER, "{}");
  drv_until (rig->drv, DRV_WAIT_MS, "a drained data centre at all gateways", all_drained, rig);
  drv_say (rig->drv, "its data centre is drained: %u of %u lookups, each is refused with %d",
           ask_many (rig, "GET", "/look/"), MANY, status_of (rig, 0, "/look/"));
  drv_kill (rig->gateways[1]);
  drv_process_start (rig->gateways[1]);
  drv_until (rig->drv, DRV_WAIT_MS, "a restarted gateway", second_is_ready, rig);
  drv_say (rig->drv, "a gateway starts meanwhile: %d", status_of (rig, 1, "/look/"));
  write_record (rig, "evacuate/" DATA_CENTER, "");
  drv_until (rig->drv, DRV_WAIT_MS, "a data centre that is taken back", all_taken_back, rig);
  drv_say (rig->drv, "it is taken back: %u of %u lookups", ask_many (rig, "GET", "/look/"), MANY);
}

static bool
has_ended (void *context)
{
  return drv_reap (context);
}

/* It takes nothing more, ends by itself, and nobody hears of it. */
static void
upstream_leaves (rig_t *rig)
{
  drv_process_t *upstream = rig->upstreams[UPSTREAMS - 1];
  uint32_t good = 0;
  uint32_t sent = 0;

  drv_signal (upstream, SIGTERM);
  while (!has_ended (upstream) && sent < 1000 * MANY && !rig->drv->failed)
    {
      good += ask_many (rig, "GET", "/look/");
      sent += MANY;
    }
  drv_say (rig->drv, "an upstream leaves: %s lookups answered, it ended with %d",
           good == sent ? "all" : "not all", drv_ended (upstream));
}

/* Streams run on it when it is killed: they go on at the others, each event once. */
static void
upstream_crashes (rig_t *rig)
{
  drv_call_t *calls[MANY];
  uint32_t good = 0;

  for (uint32_t i = 0; i < MANY; i++)
    calls[i] = ask (rig, i % GATEWAYS, "POST", "/talk/");
  drv_begun (calls[0]);
  drv_kill (rig->upstreams[0]);
  for (uint32_t i = 0; i < MANY; i++)
    {
      drv_answered (calls[i]);
      good += is_good (calls[i]) && strstr (calls[i]->body->str, "id: 5\n") ? 1 : 0;
    }
  drv_say (rig->drv, "an upstream crashes: %u of %u streams whole", good, MANY);
}

static bool
denies_nothing (void *context)
{
  return status_of (context, 0, "/nowhere/") == 503;
}

static bool
is_certain (void *context)
{
  return status_of (context, 0, "/nowhere/") == 404;
}

static void
store_out (rig_t *rig)
{
  drv_fault (rig->drv, "{'log': 'down'}");
  drv_until (rig->drv, DRV_WAIT_MS, "a gateway that is not certain", denies_nothing, rig);
  drv_say (rig->drv, "the store is out: %u of %u lookups, an unknown route is not denied",
           ask_many (rig, "GET", "/look/"), MANY);
  drv_fault (rig->drv, "{'log': 'up'}");
  drv_until (rig->drv, DRV_WAIT_MS, "a gateway that is certain", is_certain, rig);
  drv_say (rig->drv, "the store is back: %u of %u lookups, an unknown route is denied",
           ask_many (rig, "GET", "/look/"), MANY);
}

static void
gateway_stops (rig_t *rig)
{
  drv_call_t *stream = ask (rig, 0, "POST", "/talk/");
  int status;

  drv_begun (stream);
  drv_signal (rig->gateways[0], SIGTERM);
  drv_answered (stream);
  status = drv_ended (rig->gateways[0]);
  drv_say (rig->drv, "a gateway stops: its stream is %s, it ended with %d",
           is_good (stream) ? "whole" : "cut", status);
}

static void
test_gateway (void)
{
  rig_t rig = { .drv = drv_new ("gateway") };

  start (&rig);
  calm (&rig);
  configuration (&rig);
  data_center_is_drained (&rig);
  upstream_leaves (&rig);
  upstream_crashes (&rig);
  store_out (&rig);
  gateway_stops (&rig);
  drv_finish (rig.drv);
}

/* Guards against refusals that a killed gateway leaves no log line of. Each gateway refuses half of
 * the lookups. */
static void
test_killed_gateway_has_logged (void)
{
  rig_t rig = { .drv = drv_new ("gateway_killed") };
  uint32_t good;

  start (&rig);
  write_record (&rig, "evacuate/" DATA_CENTER, "{}");
  drv_until (rig.drv, DRV_WAIT_MS, "a drained data centre at all gateways", all_drained, &rig);
  good = ask_many (&rig, "GET", "/look/");
  drv_kill (rig.gateways[1]);
  drv_say (rig.drv, "%u of %u lookups, of the refused ones the killed gateway has logged %u", good,
           MANY, drv_logged (rig.gateways[1], ": refuse ", "reason=leaving"));
  drv_finish (rig.drv);
}

int
main (void)
{
  static const drv_test_t tests[] = { { "the path on the users' platform", test_gateway },
                                      { "a killed gateway has logged its refusals",
                                        test_killed_gateway_has_logged } };

  return drv_main ("gateway", tests, G_N_ELEMENTS (tests));
}
