/**
 * DOC: session_herd
 *
 * Most new connections of a region go to one gateway, whose host gives it a small part of a core,
 * with real processes. In place of a slow host the gateway is stopped and continued by turns.
 */
#include "crash_rig.h"

#include <CUnit/Basic.h>
#include <signal.h>
#include <string.h>

#define RUN_MS 5   /* the gateway runs for this time */
#define STOP_MS 95 /* and is stopped for this time */
#define STEADY_MS 3000
#define STEADY_INTERVAL_US 40000 /* between two new connections to the gateway */
#define HERD_MS 9000
#define HERD_INTERVAL_US 1000
#define CONTACT_MS 3000  /* for which the herd may be served badly */
#define PATIENCE_MS 1000 /* a caller leaves a gateway that has not answered */

/** struct caller - A request on a connection of its own. */
typedef struct
{
  driver_call_t *call;
  gint64 sent_ms;
} caller_t;

/**
 * struct herd - The state of the session; times are in ms of the real-time clock.
 * @first: Index of the first caller that may still wait.
 */
typedef struct
{
  crash_rig_t rig;
  GArray *callers; /* caller_t */
  guint first;
  gint64 switch_at_ms;
  gint64 next_us;
  gint64 interval_us;
  gint64 until_ms;
} herd_t;

static gint64
now_ms (void)
{
  return g_get_real_time () / 1000;
}

static void
send_one (herd_t *herd)
{
  g_autofree char *headers = g_strdup_printf ("X-Request-Id: herd-%u\r\nX-Key: key-1\r\n"
                                              "X-Deadline-Ms: 3000\r\nConnection: close\r\n",
                                              herd->callers->len);
  caller_t caller = { .call = driver_send_http (herd->rig.driver, herd->rig.gateways[0]->ip, "GET",
                                                "/look/herd", headers, ""),
                      .sent_ms = now_ms () };

  g_array_append_val (herd->callers, caller);
}

static void
switch_gateway (herd_t *herd)
{
  driver_process_t *gateway = herd->rig.gateways[0];

  if (now_ms () < herd->switch_at_ms)
    return;
  driver_process_signal (gateway, gateway->is_paused ? SIGCONT : SIGSTOP);
  herd->switch_at_ms = now_ms () + (gateway->is_paused ? STOP_MS : RUN_MS);
}

static void
leave_silent_gateway (herd_t *herd)
{
  for (; herd->first < herd->callers->len; herd->first++)
    {
      const caller_t *caller = &g_array_index (herd->callers, caller_t, herd->first);

      if (caller->sent_ms + PATIENCE_MS > now_ms ())
        return;
      driver_call_cancel (caller->call);
    }
}

static bool
has_ended (void *context)
{
  herd_t *herd = context;

  switch_gateway (herd);
  leave_silent_gateway (herd);
  for (; herd->next_us <= g_get_monotonic_time (); herd->next_us += herd->interval_us)
    send_one (herd);
  return now_ms () >= herd->until_ms;
}

static void
resume_gateway (herd_t *herd)
{
  if (herd->rig.gateways[0]->is_paused)
    driver_process_signal (herd->rig.gateways[0], SIGCONT);
}

static uint64_t
read_counter (const char *metrics, const char *name)
{
  g_autofree char *line = g_strdup_printf ("\n%s ", name);
  const char *at = strstr (metrics, line);

  return at ? g_ascii_strtoull (at + strlen (line), NULL, 10) : 0;
}

/* Return: Requests that the gateway has read and that have ended. */
static uint64_t
count_read (herd_t *herd)
{
  g_autofree char *address = g_strdup_printf ("%s:%d", herd->rig.gateways[0]->ip, DRIVER_PORT + 2);
  driver_call_t *call;

  resume_gateway (herd);
  call = driver_send_http (herd->rig.driver, address, "GET", "/metrics", NULL, "");
  driver_call_wait (call);
  CU_ASSERT_EQUAL (call->status, 200);
  return read_counter (call->body->str, "medlarplank_gateway_answered_total") +
         read_counter (call->body->str, "medlarplank_gateway_refused_total") +
         read_counter (call->body->str, "medlarplank_gateway_failed_total") +
         read_counter (call->body->str, "medlarplank_gateway_gone_total");
}

static uint32_t
count_served (const herd_t *herd, gint64 from_ms)
{
  uint32_t count = 0;

  for (guint i = 0; i < herd->callers->len; i++)
    {
      const caller_t *caller = &g_array_index (herd->callers, caller_t, i);

      count += caller->sent_ms >= from_ms && caller->call->status == 200 ? 1 : 0;
    }
  return count;
}

/* Return: Share of the requests read that were served, in thousandths. */
static uint64_t
play (herd_t *herd, const char *name, gint64 interval_us, uint32_t length_ms)
{
  uint64_t before = count_read (herd);
  gint64 from_ms = now_ms ();
  uint64_t read;
  uint32_t served;

  herd->interval_us = interval_us;
  herd->next_us = g_get_monotonic_time ();
  herd->until_ms = from_ms + length_ms;
  driver_wait_until (herd->rig.driver, length_ms + DRIVER_WAIT_LIMIT_MS, name, has_ended, herd);
  read = count_read (herd) - before;
  served = count_served (herd, from_ms);
  printf ("%s: %u of %" G_GUINT64_FORMAT " requests read were served\n", name, served, read);
  fflush (stdout); /* or each child process writes it again */
  return (uint64_t)served * 1000 / MAX (read, 1);
}

/* Guards against a gateway that reads more than it can serve while others have nothing to do. */
static void
test_herd (void)
{
  herd_t herd = { .callers = g_array_new (FALSE, FALSE, sizeof (caller_t)) };
  uint64_t steady_milli;
  uint64_t herd_milli;

  crash_rig_start (&herd.rig, driver_new ("herd"), &(crash_rig_options_t){ .restart_ms = 1000 });
  steady_milli = play (&herd, "steady", STEADY_INTERVAL_US, STEADY_MS);
  play (&herd, "first seconds of the herd", HERD_INTERVAL_US, CONTACT_MS);
  herd_milli = play (&herd, "herd", HERD_INTERVAL_US, HERD_MS - CONTACT_MS);
  CU_ASSERT (steady_milli > 0);
  CU_ASSERT (herd_milli * 4 >= steady_milli * 3);
  resume_gateway (&herd);
  g_array_free (herd.callers, TRUE);
  driver_transcript_add (herd.rig.driver, "the gateway serves what it reads");
  driver_finish (herd.rig.driver);
}

int
main (void)
{
  static const driver_test_t tests[] = { { "most new connections go to one slow gateway",
                                           test_herd } };

  return driver_main ("herd", tests, G_N_ELEMENTS (tests));
}
