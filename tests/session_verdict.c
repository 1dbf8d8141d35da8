/**
 * DOC: session_verdict
 *
 * Lost connections between router and sidecar, and sidecars that are killed, restarted or frozen. A
 * request that was answered with the verdict not_run must never run.
 */
#include "driver.h"

#include <signal.h>

#define BOOKING_PATH "POST /portal/bookings"

static driver_call_t *
send_booking (driver_t *driver, const char *name)
{
  driver_request_t request = { .name = name, .kind = DRIVER_BOOKING, .deadline_ms = 3000 };
  return driver_send_request (driver, &request);
}

static void
run_booking (driver_t *driver, const char *name)
{
  driver_call_t *call = send_booking (driver, name);
  driver_call_wait (call);
  driver_transcript_add_call (call);
}

static bool
has_run (void *context)
{
  return driver_call_run_count (context) > 0;
}

static void
wait_until_run (driver_call_t *call)
{
  driver_wait_until (call->driver, DRIVER_WAIT_LIMIT_MS, "the booking to run", has_run, call);
}

static bool
has_hits (void *context)
{
  return driver_proxy_hits (context) > 0;
}

/* The connection between router and sidecar is closed during the request, after the request and
 * before the response, or while the request runs; last, nobody listens. In the first case the
 * router tells the sidecar to revoke the attempt and learns that it never arrived. In the next two
 * cases it learns that the request ran or is running, which must never be answered with not_run. */
static void
test_connection_lost (void)
{
  driver_t *driver = driver_new ("verdict_hop");
  driver_fleet_t fleet = { .model_hosts = 1,
                           .plain_hosts = 1,
                           .routers = 1,
                           .use_proxies = true,
                           .engine_flags = "--service-us=300000" };
  driver_start (driver, &fleet);
  driver_proxy_t *hop = driver->hosts[1].hop;
  run_booking (driver, "hop as it should be");
  driver_proxy_set_mode (hop, DRIVER_PROXY_CUT_REQUEST, BOOKING_PATH, 0);
  run_booking (driver, "cut during the request");
  driver_proxy_set_mode (hop, DRIVER_PROXY_DROP_RESPONSE, BOOKING_PATH, 0);
  run_booking (driver, "cut after the request");
  driver_proxy_set_mode (hop, DRIVER_PROXY_PASS, NULL, 0);
  driver_call_t *call = send_booking (driver, "cut while it runs");
  wait_until_run (call);
  driver_proxy_close_connections (hop);
  driver_call_wait (call);
  driver_transcript_add_call (call);
  driver_proxy_set_mode (hop, DRIVER_PROXY_CLOSED, NULL, 0);
  run_booking (driver, "nobody listens");
  driver_finish (driver);
}

/* The sidecar is killed while its engine runs a booking, and no other process knows the state of
 * the booking. The caller must be told that it may have run, and the router must not retry it on
 * another host. */
static void
test_sidecar_killed (void)
{
  driver_t *driver = driver_new ("verdict_killed");
  driver_fleet_t fleet = {
    .model_hosts = 1, .plain_hosts = 2, .routers = 1, .engine_flags = "--service-us=1000000"
  };
  driver_start (driver, &fleet);
  driver_call_t *call = send_booking (driver, "sidecar killed while it runs");
  wait_until_run (call);
  driver_process_kill (
      driver->hosts[driver_engine_run_count (driver->hosts[1].engine) > 0 ? 1 : 2].sidecar);
  driver_call_wait (call);
  driver_transcript_add_call (call);
  driver_finish (driver);
}

/* The sidecar is killed while its engine runs a booking and restarted before the router sees the
 * lost connection. The new process never saw the attempt and would revoke it, from which the router
 * would conclude that it never ran. The changed incarnation tells the router that this conclusion
 * does not hold. */
static void
test_sidecar_restarted (void)
{
  driver_t *driver = driver_new ("verdict_restarted");
  driver_fleet_t fleet = { .model_hosts = 1,
                           .plain_hosts = 1,
                           .routers = 1,
                           .use_proxies = true,
                           .engine_flags = "--service-us=1000000" };
  driver_start (driver, &fleet);
  driver_host_t *host = &driver->hosts[1];
  driver_proxy_set_mode (host->hop, DRIVER_PROXY_HOLD_RESPONSE, BOOKING_PATH, 0);
  driver_request_t request = { .name = "sidecar restarted while it runs",
                               .kind = DRIVER_BOOKING,
                               .deadline_ms = 20000 };
  driver_call_t *call = driver_send_request (driver, &request);
  wait_until_run (call);
  driver_process_kill (host->sidecar);
  driver_process_start (host->sidecar);
  driver_process_wait_ready (host->sidecar);
  driver_proxy_set_mode (host->hop, DRIVER_PROXY_PASS, NULL, 0);
  driver_call_wait (call);
  driver_transcript_add_call (call);
  driver_finish (driver);
}

/* The sidecar is stopped by SIGSTOP when a booking is sent to it. The router gives up at the
 * deadline and can only answer that the booking may have run. When the sidecar continues, it finds
 * the booking in its socket; as the deadline has passed and the caller is gone, it must not run. */
static void
test_sidecar_paused (void)
{
  driver_t *driver = driver_new ("verdict_frozen");
  driver_fleet_t fleet = { .model_hosts = 1, .plain_hosts = 1, .routers = 1, .use_proxies = true };
  driver_start (driver, &fleet);
  driver_host_t *host = &driver->hosts[1];
  driver_proxy_set_mode (host->hop, DRIVER_PROXY_HOLD_RESPONSE, BOOKING_PATH, 1);
  driver_process_signal (host->sidecar, SIGSTOP);
  driver_call_t *call = send_booking (driver, "sidecar frozen");
  driver_wait_until (driver, DRIVER_WAIT_LIMIT_MS, "the booking on the hop", has_hits, host->hop);
  driver_call_wait (call);
  driver_process_signal (host->sidecar, SIGCONT);
  driver_process_wait_ready (host->sidecar);
  driver_transcript_add_call (call);
  run_booking (driver, "after it woke");
  driver_finish (driver);
}

int
main (void)
{
  static const driver_test_t tests[] = { { "the connection to the sidecar is lost",
                                           test_connection_lost },
                                         { "the sidecar is killed", test_sidecar_killed },
                                         { "the sidecar is restarted", test_sidecar_restarted },
                                         { "the sidecar is paused", test_sidecar_paused } };
  return driver_main ("verdict", tests, G_N_ELEMENTS (tests));
}
