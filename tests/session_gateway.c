/**
 * DOC: session_gateway
 *
 * The gateway role with real processes: the store of the platform, upstreams that register in it,
 * and two gateways. Covers normal operation, a new configuration, a drained data centre, an
 * upstream that leaves, one that crashes, an outage of the store, and a gateway that stops.
 */
#include "driver.h"

#include <CUnit/Basic.h>
#include <signal.h>
#include <string.h>

#define GATEWAYS 2
#define UPSTREAMS 5
#define STREAM_UPSTREAMS 3          /* the first upstreams, which answer with event streams */
#define BATCH_REQUESTS 20           /* requests per batch */
#define FIRST_REQUESTS 12           /* to a new gateway at once */
#define DATA_CENTER "hall-bayangol" /* of all upstreams */

/** struct fleet - The processes of the session. */
typedef struct
{
  driver_t *driver;
  driver_process_t *gateways[GATEWAYS];
  driver_process_t *upstreams[UPSTREAMS];
  uint32_t next_id;
} fleet_t;

#define ROUTE(name, kind, service, more)                                                           \
  "{\"name\":\"" name "\",\"host\":\"fleet\",\"path_prefix\":\"/" name "/\",\"kind\":\"" kind      \
  "\",\"timeout_ms\":5000,\"attempts\":2,\"service\":\"" service "\"" more "}"
#define CONFIG(version, routes)                                                                    \
  "{\"version\":" version ",\"routes\":[" ROUTE ("look", "idempotent", "ledger", "") "," ROUTE (   \
      "book", "non_idempotent", "ledger", "") "," ROUTE ("talk", "stream", "pool",                 \
                                                         ",\"resumable\":true") routes             \
      "],\"tenants\":[{\"name\":\"alpha\",\"api_keys\":[\"key-1\"]}]}"

static driver_call_t *
send_request (fleet_t *fleet, uint32_t gateway, const char *method, const char *path)
{
  g_autofree char *headers = g_strdup_printf ("X-Request-Id: q%u\r\nX-Key: key-1\r\n"
                                              "X-Deadline-Ms: 4000\r\n",
                                              ++fleet->next_id);

  return driver_send_http (fleet->driver, fleet->gateways[gateway]->ip, method, path, headers, "");
}

static bool
is_complete_ok (const driver_call_t *call)
{
  return call->status == 200 && call->outcome == DRIVER_OUTCOME_COMPLETE;
}

/* Return: The number of requests that were answered completely with status 200. */
static uint32_t
run_batch (fleet_t *fleet, const char *method, const char *path)
{
  uint32_t first_id = fleet->next_id + 1;
  driver_call_t *calls[BATCH_REQUESTS];
  uint32_t answered = 0;

  for (uint32_t i = 0; i < BATCH_REQUESTS; i++)
    calls[i] = send_request (fleet, i % GATEWAYS, method, path);
  for (uint32_t i = 0; i < BATCH_REQUESTS; i++)
    {
      g_autofree char *id = g_strdup_printf ("q%u", first_id + i);

      driver_call_wait (calls[i]);
      answered += is_complete_ok (calls[i]) ? 1 : 0;
      if (!is_complete_ok (calls[i]))
        driver_call_print (calls[i], id);
    }
  return answered;
}

static int
request_status (fleet_t *fleet, uint32_t gateway, const char *path)
{
  driver_call_t *call = send_request (fleet, gateway, "GET", path);

  driver_call_wait (call);
  return call->status;
}

static void
start_upstream (fleet_t *fleet, uint32_t index)
{
  g_autofree char *name = g_strdup_printf ("upstream%u", index);
  bool streams = index < STREAM_UPSTREAMS;

  fleet->upstreams[index] = driver_start_upstream (
      fleet->driver,
      &(driver_upstream_t){ .name = name, .streams = streams, .work_ms = streams ? 10 : 3 });
}

static void
start_gateway (fleet_t *fleet, uint32_t index)
{
  g_autofree char *name = g_strdup_printf ("gateway%u", index);

  fleet->gateways[index] = driver_start_gateway (fleet->driver, name, 100, 7000);
}

static bool
all_registered (void *context)
{
  const fleet_t *fleet = context;

  for (uint32_t i = 0; i < GATEWAYS; i++)
    if (driver_process_count_log_lines (fleet->gateways[i], ": engine ", "state=ready") <
            UPSTREAMS ||
        driver_process_count_log_lines (fleet->gateways[i], ": ready ", NULL) == 0)
      return false;
  return true;
}

static void
start_fleet (fleet_t *fleet)
{
  driver_t *driver = fleet->driver;

  driver_start_platform (driver);
  driver_write_record (driver, "config", CONFIG ("1", ""));
  for (uint32_t i = 0; i < UPSTREAMS; i++)
    start_upstream (fleet, i);
  for (uint32_t i = 0; i < GATEWAYS; i++)
    start_gateway (fleet, i);
  driver_wait_until (driver, DRIVER_WAIT_LIMIT_MS, "all upstreams at all gateways", all_registered,
                     fleet);
}

static void
test_normal_operation (fleet_t *fleet)
{
  driver_transcript_add (
      fleet->driver, "calm: %u of %u lookups, %u of %u bookings, %u of %u streams",
      run_batch (fleet, "GET", "/look/"), BATCH_REQUESTS, run_batch (fleet, "POST", "/book/"),
      BATCH_REQUESTS, run_batch (fleet, "POST", "/talk/"), BATCH_REQUESTS);
  driver_transcript_add (fleet->driver, "an unknown route: %d", request_status (fleet, 0, "/new/"));
}

static bool
new_route_is_served (void *context)
{
  fleet_t *fleet = context;

  return request_status (fleet, 0, "/new/") == 200 && request_status (fleet, 1, "/new/") == 200;
}

static void
test_new_route (fleet_t *fleet)
{
  driver_write_record (fleet->driver, "config",
                       CONFIG ("5", "," ROUTE ("new", "idempotent", "ledger", "")));
  driver_wait_until (fleet->driver, DRIVER_WAIT_LIMIT_MS, "the new route", new_route_is_served,
                     fleet);
  driver_transcript_add (fleet->driver, "version 5: the new route is served by both");
}

static bool
all_drained (void *context)
{
  const fleet_t *fleet = context;

  for (uint32_t i = 0; i < GATEWAYS; i++)
    if (driver_process_count_log_lines (fleet->gateways[i], ": data_center ", "state=drained") == 0)
      return false;
  return true;
}

static bool
is_second_gateway_ready (void *context)
{
  return driver_process_count_log_lines (((const fleet_t *)context)->gateways[1], ": ready ",
                                         NULL) >= 2;
}

static bool
all_serve_lookups (void *context)
{
  fleet_t *fleet = context;

  for (uint32_t i = 0; i < GATEWAYS; i++)
    if (request_status (fleet, i, "/look/") != 200)
      return false;
  return true;
}

/* All upstreams are in one data centre. While operators drain it, no request runs and all are
 * refused at once, also by a gateway that starts meanwhile. */
static void
test_drained_data_center (fleet_t *fleet)
{
  driver_write_record (fleet->driver, "evacuate/" DATA_CENTER, "{}");
  driver_wait_until (fleet->driver, DRIVER_WAIT_LIMIT_MS, "a drained data centre at all gateways",
                     all_drained, fleet);
  driver_transcript_add (
      fleet->driver, "its data centre is drained: %u of %u lookups, each is refused with %d",
      run_batch (fleet, "GET", "/look/"), BATCH_REQUESTS, request_status (fleet, 0, "/look/"));
  driver_process_kill (fleet->gateways[1]);
  driver_process_start (fleet->gateways[1]);
  driver_wait_until (fleet->driver, DRIVER_WAIT_LIMIT_MS, "a restarted gateway",
                     is_second_gateway_ready, fleet);
  driver_transcript_add (fleet->driver, "a gateway starts meanwhile: %d",
                         request_status (fleet, 1, "/look/"));
  driver_write_record (fleet->driver, "evacuate/" DATA_CENTER, "");
  driver_wait_until (fleet->driver, DRIVER_WAIT_LIMIT_MS, "a data centre that is taken back",
                     all_serve_lookups, fleet);
  driver_transcript_add (fleet->driver, "it is taken back: %u of %u lookups",
                         run_batch (fleet, "GET", "/look/"), BATCH_REQUESTS);
}

static bool
has_ended (void *context)
{
  return driver_process_reap (context);
}

/* An upstream that gets SIGTERM accepts no further requests and exits by itself. All lookups during
 * that time are answered. */
static void
test_upstream_leaves (fleet_t *fleet)
{
  driver_process_t *upstream = fleet->upstreams[UPSTREAMS - 1];
  uint32_t answered = 0;
  uint32_t sent = 0;

  driver_process_signal (upstream, SIGTERM);
  while (!has_ended (upstream) && sent < 1000 * BATCH_REQUESTS && !fleet->driver->failed)
    {
      answered += run_batch (fleet, "GET", "/look/");
      sent += BATCH_REQUESTS;
    }
  driver_transcript_add (fleet->driver, "an upstream leaves: %s lookups answered, it ended with %d",
                         answered == sent ? "all" : "not all", driver_process_wait_exit (upstream));
}

/* An upstream is killed while it sends streams: they are resumed on other upstreams and deliver
 * each event once. */
static void
test_upstream_crashes (fleet_t *fleet)
{
  driver_call_t *calls[BATCH_REQUESTS];
  uint32_t answered = 0;

  for (uint32_t i = 0; i < BATCH_REQUESTS; i++)
    calls[i] = send_request (fleet, i % GATEWAYS, "POST", "/talk/");
  driver_call_wait_body (calls[0]);
  driver_process_kill (fleet->upstreams[0]);
  for (uint32_t i = 0; i < BATCH_REQUESTS; i++)
    {
      driver_call_wait (calls[i]);
      answered += is_complete_ok (calls[i]) && strstr (calls[i]->body->str, "id: 5\n") ? 1 : 0;
    }
  driver_transcript_add (fleet->driver, "an upstream crashes: %u of %u streams whole", answered,
                         BATCH_REQUESTS);
}

static bool
is_unknown_route_unavailable (void *context)
{
  return request_status (context, 0, "/nowhere/") == 503;
}

static bool
is_unknown_route_not_found (void *context)
{
  return request_status (context, 0, "/nowhere/") == 404;
}

/* While the store is down, a gateway cannot know whether a route was added: it answers an unknown
 * route with 503 instead of 404. Known routes are still served. */
static void
test_store_down (fleet_t *fleet)
{
  driver_set_fault (fleet->driver, "{'log': 'down'}");
  driver_wait_until (fleet->driver, DRIVER_WAIT_LIMIT_MS, "a gateway that is not certain",
                     is_unknown_route_unavailable, fleet);
  driver_transcript_add (fleet->driver,
                         "the store is out: %u of %u lookups, an unknown route is not denied",
                         run_batch (fleet, "GET", "/look/"), BATCH_REQUESTS);
  driver_set_fault (fleet->driver, "{'log': 'up'}");
  driver_wait_until (fleet->driver, DRIVER_WAIT_LIMIT_MS, "a gateway that is certain",
                     is_unknown_route_not_found, fleet);
  driver_transcript_add (fleet->driver,
                         "the store is back: %u of %u lookups, an unknown route is denied",
                         run_batch (fleet, "GET", "/look/"), BATCH_REQUESTS);
}

static void
test_gateway_stops (fleet_t *fleet)
{
  driver_call_t *stream = send_request (fleet, 0, "POST", "/talk/");
  int status;

  driver_call_wait_body (stream);
  driver_process_signal (fleet->gateways[0], SIGTERM);
  driver_call_wait (stream);
  status = driver_process_wait_exit (fleet->gateways[0]);
  driver_transcript_add (fleet->driver, "a gateway stops: its stream is %s, it ended with %d",
                         is_complete_ok (stream) ? "whole" : "cut", status);
}

static void
test_gateway (void)
{
  fleet_t fleet = { .driver = driver_new ("gateway") };

  start_fleet (&fleet);
  test_normal_operation (&fleet);
  test_new_route (&fleet);
  test_drained_data_center (&fleet);
  test_upstream_leaves (&fleet);
  test_upstream_crashes (&fleet);
  test_store_down (&fleet);
  test_gateway_stops (&fleet);
  driver_finish (fleet.driver);
}

/* Guards against lost log lines: a gateway that is killed must have logged each refusal that it
 * sent. Each gateway refuses half of the lookups. */
static void
test_killed_gateway_has_logged (void)
{
  fleet_t fleet = { .driver = driver_new ("gateway_killed") };
  uint32_t answered;

  start_fleet (&fleet);
  driver_write_record (fleet.driver, "evacuate/" DATA_CENTER, "{}");
  driver_wait_until (fleet.driver, DRIVER_WAIT_LIMIT_MS, "a drained data centre at all gateways",
                     all_drained, &fleet);
  answered = run_batch (&fleet, "GET", "/look/");
  driver_process_kill (fleet.gateways[1]);
  driver_transcript_add (
      fleet.driver, "%u of %u lookups, of the refused ones the killed gateway has logged %u",
      answered, BATCH_REQUESTS,
      driver_process_count_log_lines (fleet.gateways[1], ": refuse ", "reason=leaving"));
  driver_finish (fleet.driver);
}

static bool
has_one_slot (void *context)
{
  const fleet_t *fleet = context;

  return driver_process_count_log_lines (fleet->gateways[0], ": engine ", "state=ready") == 1 &&
         driver_process_count_log_lines (fleet->gateways[0], ": ready ", NULL) > 0;
}

/* Guards against requests that a new gateway sends to an upstream beyond its slots. */
static void
test_first_requests (void)
{
  fleet_t fleet = { .driver = driver_new ("gateway_first_requests") };
  driver_call_t *calls[FIRST_REQUESTS];
  uint32_t answered = 0;

  driver_start_platform (fleet.driver);
  driver_write_record (fleet.driver, "config", CONFIG ("1", ""));
  driver_start_upstream (fleet.driver,
                         &(driver_upstream_t){ .name = "upstream", .work_ms = 30, .slots = 1 });
  start_gateway (&fleet, 0);
  driver_wait_until (fleet.driver, DRIVER_WAIT_LIMIT_MS, "the upstream at the gateway",
                     has_one_slot, &fleet);
  for (uint32_t i = 0; i < FIRST_REQUESTS; i++)
    calls[i] = send_request (&fleet, 0, "POST", i % 2 ? "/look/" : "/book/");
  for (uint32_t i = 0; i < FIRST_REQUESTS; i++)
    {
      driver_call_wait (calls[i]);
      answered += is_complete_ok (calls[i]) ? 1 : 0;
    }
  CU_ASSERT_EQUAL (driver_process_count_log_lines (fleet.gateways[0], ": retry ", NULL), 0);
  driver_transcript_add (fleet.driver, "%u of %u first requests were answered", answered,
                         FIRST_REQUESTS);
  driver_finish (fleet.driver);
}

int
main (void)
{
  static const driver_test_t tests[] = {
    { "a new gateway sends more than an upstream's slots", test_first_requests },
    { "two gateways under normal operation and faults", test_gateway },
    { "a killed gateway has logged its refusals", test_killed_gateway_has_logged }
  };

  return driver_main ("gateway", tests, G_N_ELEMENTS (tests));
}
