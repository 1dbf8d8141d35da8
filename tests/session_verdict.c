/**
 * DOC: session_verdict
 *
 * A hop is lost in all the ways there are. "not_run" must be true: what was answered so never runs.
 */
#include "driver.h"

#include <signal.h>

#define BOOKING_PATH "POST /portal/bookings"

static drv_call_t *
book (drv_t *drv, const char *name)
{
  drv_ask_t ask = { .name = name, .kind = DRV_BOOKING, .deadline_ms = 3000 };
  return drv_ask (drv, &ask);
}

static void
book_and_tell (drv_t *drv, const char *name)
{
  drv_call_t *call = book (drv, name);
  drv_answered (call);
  drv_tell (call);
}

static bool
is_running (void *context)
{
  return drv_runs (context) > 0;
}

static void
wait_running (drv_call_t *call)
{
  drv_until (call->drv, DRV_WAIT_MS, "the booking to run", is_running, call);
}

static bool
is_hit (void *context)
{
  return drv_forward_hits (context) > 0;
}

/* The connection between router and sidecar breaks: the request is cut in its midst; it arrived and
 * its answer is cut; it runs; nobody listens. In the first case the router asks the sidecar to bar
 * the attempt and learns that it never came; in the next two it learns that it ran or that it runs,
 * which must never become "not run". */
static void
test_hop_cut (void)
{
  drv_t *drv = drv_new ("verdict_hop");
  drv_fleet_t fleet = { .model_hosts = 1,
                        .plain_hosts = 1,
                        .routers = 1,
                        .use_proxies = true,
                        .engine_flags = "--service-us=300000" };
  drv_start (drv, &fleet);
  drv_forward_t *hop = drv->hosts[1].hop;
  book_and_tell (drv, "hop as it should be");
  drv_forward_set (hop, DRV_CUT_DURING, BOOKING_PATH, 0);
  book_and_tell (drv, "cut during the request");
  drv_forward_set (hop, DRV_CUT_AFTER, BOOKING_PATH, 0);
  book_and_tell (drv, "cut after the request");
  drv_forward_set (hop, DRV_PASS, NULL, 0);
  drv_call_t *call = book (drv, "cut while it runs");
  wait_running (call);
  drv_forward_cut (hop);
  drv_answered (call);
  drv_tell (call);
  drv_forward_set (hop, DRV_CLOSED, NULL, 0);
  book_and_tell (drv, "nobody listens");
  drv_finish (drv);
}

/* The sidecar dies while the engine runs a booking. Nobody is left who knows: the caller must hear
 * that it may have run, and the router must not try elsewhere. */
static void
test_sidecar_killed (void)
{
  drv_t *drv = drv_new ("verdict_killed");
  drv_fleet_t fleet = {
    .model_hosts = 1, .plain_hosts = 2, .routers = 1, .engine_flags = "--service-us=1000000"
  };
  drv_start (drv, &fleet);
  drv_call_t *call = book (drv, "sidecar killed while it runs");
  wait_running (call);
  drv_kill (drv->hosts[drv_runs_on (drv->hosts[1].engine) > 0 ? 1 : 2].sidecar);
  drv_answered (call);
  drv_tell (call);
  drv_finish (drv);
}

/* The sidecar dies while the engine runs a booking and is started again before the router learns
 * that the hop is lost. The new one never saw the attempt and would bar it; from that alone the
 * router would conclude that it never ran. The other incarnation tells it better. */
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
  drv_ask_t ask = { .name = "sidecar restarted while it runs",
                    .kind = DRV_BOOKING,
                    .deadline_ms = 20000 };
  drv_call_t *call = drv_ask (drv, &ask);
  wait_running (call);
  drv_kill (host->sidecar);
  drv_process_start (host->sidecar);
  drv_ready (host->sidecar);
  drv_forward_set (host->hop, DRV_PASS, NULL, 0);
  drv_answered (call);
  drv_tell (call);
  drv_finish (drv);
}

/* The sidecar is frozen when the booking comes. The router gives up at the deadline and can't know
 * more than that it may have run. When the sidecar wakes it finds the booking in its socket: its
 * time is over and its caller gone, so it must not run. */
static void
test_sidecar_frozen (void)
{
  drv_t *drv = drv_new ("verdict_frozen");
  drv_fleet_t fleet = { .model_hosts = 1, .plain_hosts = 1, .routers = 1, .use_proxies = true };
  drv_start (drv, &fleet);
  drv_host_t *host = &drv->hosts[1];
  drv_forward_set (host->hop, DRV_HOLD, BOOKING_PATH, 1);
  drv_signal (host->sidecar, SIGSTOP);
  drv_call_t *call = book (drv, "sidecar frozen");
  drv_until (drv, DRV_WAIT_MS, "the booking on the hop", is_hit, host->hop);
  drv_answered (call);
  drv_signal (host->sidecar, SIGCONT);
  drv_ready (host->sidecar);
  drv_tell (call);
  book_and_tell (drv, "after it woke");
  drv_finish (drv);
}

int
main (void)
{
  static const drv_test_t tests[] = { { "the hop is cut", test_hop_cut },
                                      { "the sidecar is killed", test_sidecar_killed },
                                      { "the sidecar is restarted", test_sidecar_restarted },
                                      { "the sidecar is frozen", test_sidecar_frozen } };
  return drv_main ("verdict", tests, G_N_ELEMENTS (tests));
}
