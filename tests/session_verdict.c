/**
 * DOC: session_verdict
 *
 * Lost connections between router and sidecar, and sidecars that are killed, restarted or frozen. A
 * request that was answered with the verdict not_run must never run.
 */
#include "driver.h"

#include <signal.h>

#define BOOKING_PATH "POST /portal/bookings"

static drv_call_t *
send_booking (drv_t *drv, const char *name)
{
  drv_ask_t request = { .name = name, .kind = DRV_BOOKING, .deadline_ms = 3000 };
  return drv_ask (drv, &request);
}

static void
run_booking (drv_t *drv, const char *name)
{
  drv_call_t *call = send_booking (drv, name);
  drv_answered (call);
  drv_tell (call);
}

static bool
has_run (void *context)
{
  return drv_runs (context) > 0;
}

static void
wait_until_run (drv_call_t *call)
{
  drv_until (call->drv, DRV_WAIT_MS, "the booking to run", has_run, call);
}

static bool
has_hits (void *context)
{
  return drv_forward_hits (context) > 0;
}

/* The connection between router and sidecar is closed during the request, after the request and
 * before the response, or while the request runs; last, nobody listens. In the first case the
 * router tells the sidecar to revoke the attempt and learns that it never arrived. In the next two
 * cases it learns that the request ran or is running, which must never be answered with not_run. */
static void
test_connection_lost (void)
{
  drv_t *drv = drv_new ("verdict_hop");
  drv_fleet_t fleet = { .model_hosts = 1,
                        .plain_hosts = 1,
                        .routers = 1,
                        .use_proxies = true,
                        .engine_flags = "--service-us=300000" };
  drv_start (drv, &fleet);
  drv_forward_t *hop = drv->hosts[1].hop;
  run_booking (drv, "hop as it should be");
  drv_forward_set (hop, DRV_CUT_DURING, BOOKING_PATH, 0);
  run_booking (drv, "cut during the request");
  drv_forward_set (hop, DRV_CUT_AFTER, BOOKING_PATH, 0);
  run_booking (drv, "cut after the request");
  drv_forward_set (hop, DRV_PASS, NULL, 0);
  drv_call_t *call = send_booking (drv, "cut while it runs");
  wait_until_run (call);
  drv_forward_cut (hop);
  drv_answered (call);
  drv_tell (call);
  drv_forward_set (hop, DRV_CLOSED, NULL, 0);
  run_booking (drv, "nobody listens");
  drv_finish (drv);
}

/* The sidecar is killed while its engine runs a booking, and no other process knows the state of
 * the booking. The caller must be told that it may have run, and the router must not retry it on
 * another host. */
static void
test_sidecar_killed (void)
{
  drv_t *drv = drv_new ("verdict_killed");
  drv_fleet_t fleet = {
    .model_hosts = 1, .plain_hosts = 2, .routers = 1, .engine_flags = "--service-us=1000000"
  };
  drv_start (drv, &fleet);
  drv_call_t *call = send_booking (drv, "sidecar killed while it runs");
  wait_until_run (call);
  drv_kill (drv->hosts[drv_runs_on (drv->hosts[1].engine) > 0 ? 1 : 2].sidecar);
  drv_answered (call);
  drv_tell (call);
  drv_finish (drv);
}

/* The sidecar is killed while its engine runs a booking and restarted before the router sees the
 * lost connection. The new process never saw the attempt and would revoke it, from which the router
 * would conclude that it never ran. The changed incarnation tells the router that this conclusion
 * does not hold. */
static void
test_sidecar_restarted (void)
{
  drv_t *drv = drv_new ("verdict_restarted");
  drv_fleet_t fleet = { .model_hosts = 1,
                        .plain_hosts = 1,
                        .routers = 1,
                        .use_proxies = true,
                        .engine_flags = "--service-us=1000000" };
  drv_start (drv, &fleet);
  drv_host_t *host = &drv->hosts[1];
  drv_forward_set (host->hop, DRV_HOLD, BOOKING_PATH, 0);
  drv_ask_t request = { .name = "sidecar restarted while it runs",
                        .kind = DRV_BOOKING,
                        .deadline_ms = 20000 };
  drv_call_t *call = drv_ask (drv, &request);
  wait_until_run (call);
  drv_kill (host->sidecar);
  drv_process_start (host->sidecar);
  drv_ready (host->sidecar);
  drv_forward_set (host->hop, DRV_PASS, NULL, 0);
  drv_answered (call);
  drv_tell (call);
  drv_finish (drv);
}

/* The sidecar is stopped by SIGSTOP when a booking is sent to it. The router gives up at the
 * deadline and can only answer that the booking may have run. When the sidecar continues, it finds
 * the booking in its socket; as the deadline has passed and the caller is gone, it must not run. */
static void
test_sidecar_paused (void)
{
  drv_t *drv = drv_new ("verdict_frozen");
  drv_fleet_t fleet = { .model_hosts = 1, .plain_hosts = 1, .routers = 1, .use_proxies = true };
  drv_start (drv, &fleet);
  drv_host_t *host = &drv->hosts[1];
  drv_forward_set (host->hop, DRV_HOLD, BOOKING_PATH, 1);
  drv_signal (host->sidecar, SIGSTOP);
  drv_call_t *call = send_booking (drv, "sidecar frozen");
  drv_until (drv, DRV_WAIT_MS, "the booking on the hop", has_hits, host->hop);
  drv_answered (call);
  drv_signal (host->sidecar, SIGCONT);
  drv_ready (host->sidecar);
  drv_tell (call);
  run_booking (drv, "after it woke");
  drv_finish (drv);
}

int
main (void)
{
  static const drv_test_t tests[] = { { "the connection to the sidecar is lost",
                                        test_connection_lost },
                                      { "the sidecar is killed", test_sidecar_killed },
                                      { "the sidecar is restarted", test_sidecar_restarted },
                                      { "the sidecar is paused", test_sidecar_paused } };
  return drv_main ("verdict", tests, G_N_ELEMENTS (tests));
}
