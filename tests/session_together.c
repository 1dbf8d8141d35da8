/**
 * DOC: session_together
 *
 * Two faults at once, and one right after the other.
 */
#include "driver.h"

#include <signal.h>
#include <string.h>

#define CLAIMS "claims/claims-portal/0"

static drv_call_t *
tell (drv_call_t *call)
{
  drv_answered (call);
  drv_tell (call);
  return call;
}

static bool
is_running (void *context)
{
  return drv_runs (context) > 0;
}

/* The log goes out and a sidecar dies. Chats go on with the engine that is left; keyed bookings are
 * refused as not run, and run once when the log is back. */
static void
log_and_sidecar (drv_t *drv)
{
  drv_fault (drv, "{'log': 'down'}");
  drv_kill (drv->hosts[0].sidecar);
  for (uint32_t i = 0; i < 4; i++)
    {
      g_autofree char *name = g_strdup_printf ("chat %u", i);
      tell (drv_ask (drv, &(drv_ask_t){ .name = name, .chat = name, .router = i % 2 }));
    }
  drv_ask_t booking = { .name = "booking", .same_body_as = "k", .kind = DRV_BOOKING, .key = "k" };
  tell (drv_ask (drv, &booking));
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

/* The log and the list are out for a while, and a sidecar is restarted meanwhile. It comes back
 * with what its peers tell it, and takes chats again; a router that starts then serves, too. */
static void
log_and_restarts (drv_t *drv)
{
  drv_fault (drv, "{'log': 'down'}");
  drv_process_start (drv->hosts[0].sidecar);
  drv_process_start (drv->routers[0]);
  drv_ready (drv->hosts[0].sidecar);
  drv_ready (drv->routers[0]);
  for (uint32_t i = 0; i < 4; i++)
    {
      g_autofree char *name = g_strdup_printf ("chat %u while the log is out", i);
      tell (drv_ask (drv, &(drv_ask_t){ .name = name, .chat = name, .router = i % 2 }));
    }
  drv_fault (drv, "{'log': 'up'}");
}

/* The answer of a claim is lost and the router dies while the booking runs. The resend through the
 * other router must not run it again. */
static void
lost_answer_and_router (drv_t *drv)
{
  drv_fault (drv, "{'log': 'lose_answers', 'count': 1}");
  drv_ask_t booking = {
    .name = "its router killed", .same_body_as = "l", .kind = DRV_BOOKING, .key = "l"
  };
  drv_call_t *first = drv_ask (drv, &booking);
  drv_until (drv, DRV_WAIT_MS, "the booking to run", is_running, first);
  drv_kill (drv->routers[0]);
  tell (first);
  drv_in_log (drv, CLAIMS, "\"d\"");
  booking.name = "resend";
  booking.router = 1;
  drv_call_t *resend = drv_ask (drv, &booking);
  drv_answered (resend);
  drv_say (drv, "resend: %d", resend->status);
}

/* A host that leaves answers no more calls; its log tells. */
static bool
has_version_2 (void *context)
{
  return drv_logged (context, "version_in_force", "version=2 ") > 0;
}

/* A sidecar is frozen, and while it sleeps a version is published and its host put on the list as
 * leaving. When it wakes it must not take work on what it knew before. */
static void
frozen_and_published (drv_t *drv)
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
      drv_ask_t ask = { .name = name, .kind = DRV_BOOKING, .router = 1 };
      drv_call_t *call = drv_ask (drv, &ask);
      drv_answered (call);
      if (!drv_own_answer (call))
        drv_tell (call);
    }
  drv_until (drv, DRV_WAIT_MS, "version 2 on the host that woke", has_version_2, host->sidecar);
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
  log_and_sidecar (drv);
  lost_answer_and_router (drv);
  log_and_restarts (drv);
  frozen_and_published (drv);
  drv_finish (drv);
}

int
main (void)
{
  static const drv_test_t tests[] = { { "two faults at once", test_together } };
  return drv_main ("together", tests, G_N_ELEMENTS (tests));
}
