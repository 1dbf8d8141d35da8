/**
 * DOC: session_together
 *
 * Combinations of two faults, at the same time or in quick succession.
 */
#include "driver.h"

#include <signal.h>
#include <string.h>

#define CLAIM_STREAM "claims/claims-portal/0"

static driver_call_t *
finish_call (driver_call_t *call)
{
  driver_call_wait (call);
  driver_transcript_add_call (call);
  return call;
}

static bool
has_run (void *context)
{
  return driver_call_run_count (context) > 0;
}

/* The log is down and a sidecar is killed. Chats are answered by the remaining engine. Bookings
 * with a key are refused with not_run, and run once when the log is up again. */
static void
test_log_and_sidecar (driver_t *driver)
{
  driver_set_fault (driver, "{'log': 'down'}");
  driver_process_kill (driver->hosts[0].sidecar);
  for (uint32_t i = 0; i < 4; i++)
    {
      g_autofree char *name = g_strdup_printf ("chat %u", i);
      finish_call (driver_send_request (
          driver, &(driver_request_t){ .name = name, .chat = name, .router = i % 2 }));
    }
  driver_request_t booking = {
    .name = "booking", .same_body_as = "k", .kind = DRIVER_BOOKING, .key = "k"
  };
  finish_call (driver_send_request (driver, &booking));
  driver_set_fault (driver, "{'log': 'up'}");
  driver_call_t *call;
  do
    {
      booking.name = "resend when the log is back";
      booking.router = 1;
      call = driver_send_request (driver, &booking);
      driver_call_wait (call);
      driver_run_loop (driver, 100);
    }
  while (!driver->failed && strcmp (driver_call_verdict (call), "not_run") == 0);
  driver_transcript_add_call (call);
}

/* A sidecar and a router are started while the log is down. They get their state from their peers
 * and serve chats. */
static void
test_log_and_restarts (driver_t *driver)
{
  driver_set_fault (driver, "{'log': 'down'}");
  driver_process_start (driver->hosts[0].sidecar);
  driver_process_start (driver->routers[0]);
  driver_process_wait_ready (driver->hosts[0].sidecar);
  driver_process_wait_ready (driver->routers[0]);
  for (uint32_t i = 0; i < 4; i++)
    {
      g_autofree char *name = g_strdup_printf ("chat %u while the log is out", i);
      finish_call (driver_send_request (
          driver, &(driver_request_t){ .name = name, .chat = name, .router = i % 2 }));
    }
  driver_set_fault (driver, "{'log': 'up'}");
}

/* The response to the append of a claim is lost, and the router is killed while the booking runs. A
 * resend through the other router must not run the booking again. */
static void
test_lost_response_and_router (driver_t *driver)
{
  driver_set_fault (driver, "{'log': 'lose_answers', 'count': 1}");
  driver_request_t booking = {
    .name = "its router killed", .same_body_as = "l", .kind = DRIVER_BOOKING, .key = "l"
  };
  driver_call_t *first = driver_send_request (driver, &booking);
  driver_wait_until (driver, DRIVER_WAIT_LIMIT_MS, "the booking to run", has_run, first);
  driver_process_kill (driver->routers[0]);
  finish_call (first);
  driver_wait_log_record (driver, CLAIM_STREAM, "\"d\"");
  booking.name = "resend";
  booking.router = 1;
  driver_call_t *resend = driver_send_request (driver, &booking);
  driver_call_wait (resend);
  driver_transcript_add (driver, "resend: %d", resend->status);
}

/* Reads the log, as a leaving host does not answer status requests. */
static bool
has_version_2 (void *context)
{
  return driver_process_count_log_lines (context, "version_in_force", "version=2 ") > 0;
}

/* While a sidecar is stopped by SIGSTOP, a manifest version is published and its host is listed as
 * leaving. When the sidecar continues, it must not accept requests based on its outdated state. */
static void
test_paused_during_publish (driver_t *driver)
{
  driver_host_t *host = &driver->hosts[2];
  driver_process_signal (host->sidecar, SIGSTOP);
  driver_publish_manifest (driver, "second", 1, "{'classes': {'call': {'priority': 3}}}");
  driver_wait_version (driver, 2);
  host->state = "leaving";
  driver_update_host_list (driver);
  driver_run_loop (driver, 2000);
  driver_process_signal (host->sidecar, SIGCONT);
  driver_host_forbid_new_runs (host);
  for (uint32_t i = 0; i < 10; i++)
    {
      g_autofree char *name = g_strdup_printf ("booking %u after it woke", i);
      driver_request_t request = { .name = name, .kind = DRIVER_BOOKING, .router = 1 };
      driver_call_t *call = driver_send_request (driver, &request);
      driver_call_wait (call);
      if (!driver_call_is_correct (call))
        driver_transcript_add_call (call);
    }
  driver_wait_until (driver, DRIVER_WAIT_LIMIT_MS, "version 2 at the sidecar that continued",
                     has_version_2, host->sidecar);
  driver_transcript_add (driver, "all later bookings answered by the other host");
}

static void
test_together (void)
{
  driver_t *driver = driver_new ("together");
  driver_fleet_t fleet = {
    .model_hosts = 2, .plain_hosts = 2, .routers = 2, .engine_flags = "--service-us=300000"
  };
  driver_start (driver, &fleet);
  test_log_and_sidecar (driver);
  test_lost_response_and_router (driver);
  test_log_and_restarts (driver);
  test_paused_during_publish (driver);
  driver_finish (driver);
}

int
main (void)
{
  static const driver_test_t tests[] = { { "two faults at once", test_together } };
  return driver_main ("together", tests, G_N_ELEMENTS (tests));
}
