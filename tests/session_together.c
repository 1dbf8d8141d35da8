/**
 * DOC: session_together
 *
 * Combinations of two faults, at the same time or in quick succession.
 */
#include "driver.h"

#include <signal.h>
#include <string.h>

#define CLAIM_STREAM "claims/claims-portal/0"

static drv_call_t *
finish_call (drv_call_t *call)
{
  drv_answered (call);
  drv_tell (call);
  return call;
}

static bool
has_run (void *context)
{
  return drv_runs (context) > 0;
}

/* The log is down and a sidecar is killed. Chats are answered by the remaining engine. Bookings
 * with a key are refused with not_run, and run once when the log is up again. */
static void
test_log_and_sidecar (drv_t *drv)
{
  drv_fault (drv, "{'log': 'down'}");
  drv_kill (drv->hosts[0].sidecar);
  for (uint32_t i = 0; i < 4; i++)
    {
      g_autofree char *name = g_strdup_printf ("chat %u", i);
      finish_call (drv_ask (drv, &(drv_ask_t){ .name = name, .chat = name, .router = i % 2 }));
    }
  drv_ask_t booking = { .name = "booking", .same_body_as = "k", .kind = DRV_BOOKING, .key = "k" };
  finish_call (drv_ask (drv, &booking));
  drv_fault (drv, "{'log': 'up'}");
  drv_call_t *call;
  do
    {
      booking.name = "resend when the log is back";
      booking.router = 1;
      call = drv_ask (drv, &booking);
      drv_answered (call);
      drv_for (drv, 100);
    }
  while (!drv->failed && strcmp (drv_verdict (call), "not_run") == 0);
  drv_tell (call);
}

/* A sidecar and a router are started while the log is down. They get their state from their peers
 * and serve chats. */
static void
test_log_and_restarts (drv_t *drv)
{
  drv_fault (drv, "{'log': 'down'}");
  drv_process_start (drv->hosts[0].sidecar);
  drv_process_start (drv->routers[0]);
  drv_ready (drv->hosts[0].sidecar);
  drv_ready (drv->routers[0]);
  for (uint32_t i = 0; i < 4; i++)
    {
      g_autofree char *name = g_strdup_printf ("chat %u while the log is out", i);
      finish_call (drv_ask (drv, &(drv_ask_t){ .name = name, .chat = name, .router = i % 2 }));
    }
  drv_fault (drv, "{'log': 'up'}");
}

/* The response to the append of a claim is lost, and the router is killed while the booking runs. A
 * resend through the other router must not run the booking again. */
static void
test_lost_response_and_router (drv_t *drv)
{
  drv_fault (drv, "{'log': 'lose_answers', 'count': 1}");
  drv_ask_t booking = {
    .name = "its router killed", .same_body_as = "l", .kind = DRV_BOOKING, .key = "l"
  };
  drv_call_t *first = drv_ask (drv, &booking);
  drv_until (drv, DRV_WAIT_MS, "the booking to run", has_run, first);
  drv_kill (drv->routers[0]);
  finish_call (first);
  drv_in_log (drv, CLAIM_STREAM, "\"d\"");
  booking.name = "resend";
  booking.router = 1;
  drv_call_t *resend = drv_ask (drv, &booking);
  drv_answered (resend);
  drv_say (drv, "resend: %d", resend->status);
}

/* Reads the log, as a leaving host does not answer status requests. */
static bool
has_version_2 (void *context)
{
  return drv_logged (context, "version_in_force", "version=2 ") > 0;
}

/* While a sidecar is stopped by SIGSTOP, a manifest version is published and its host is listed as
 * leaving. When the sidecar continues, it must not accept requests based on its outdated state. */
static void
test_paused_during_publish (drv_t *drv)
{
  drv_host_t *host = &drv->hosts[2];
  drv_signal (host->sidecar, SIGSTOP);
  drv_publish (drv, "second", 1, "{'classes': {'call': {'priority': 3}}}");
  drv_in_force (drv, 2);
  host->state = "leaving";
  drv_list (drv);
  drv_for (drv, 2000);
  drv_signal (host->sidecar, SIGCONT);
  drv_left (host);
  for (uint32_t i = 0; i < 10; i++)
    {
      g_autofree char *name = g_strdup_printf ("booking %u after it woke", i);
      drv_ask_t request = { .name = name, .kind = DRV_BOOKING, .router = 1 };
      drv_call_t *call = drv_ask (drv, &request);
      drv_answered (call);
      if (!drv_own_answer (call))
        drv_tell (call);
    }
  drv_until (drv, DRV_WAIT_MS, "version 2 at the sidecar that continued", has_version_2,
             host->sidecar);
  drv_say (drv, "all later bookings answered by the other host");
}

static void
test_together (void)
{
  drv_t *drv = drv_new ("together");
  drv_fleet_t fleet = {
    .model_hosts = 2, .plain_hosts = 2, .routers = 2, .engine_flags = "--service-us=300000"
  };
  drv_start (drv, &fleet);
  test_log_and_sidecar (drv);
  test_lost_response_and_router (drv);
  test_log_and_restarts (drv);
  test_paused_during_publish (drv);
  drv_finish (drv);
}

int
main (void)
{
  static const drv_test_t tests[] = { { "two faults at once", test_together } };
  return drv_main ("together", tests, G_N_ELEMENTS (tests));
}
