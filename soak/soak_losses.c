/* Losses of all gateways: they are killed one after the other, or two at a time, and in some rounds
 * once more while they start. Callers resume the streams that they lose by that. */
#include "soak.h"

#include <signal.h>
#include <string.h>

/* From one kill to the next. A gateway is back after a second or so, so some others are there most
 * of the time. */
#define STEP_MIN_MS 500
#define STEP_SPREAD_MS 2000
#define PAUSE_MIN_MS 1000
#define PAUSE_SPREAD_MS 2000
#define STARTING_MS 400 /* a gateway is killed again within this time of its start */
#define SEND_INTERVAL_US                                                                           \
  (UINT64_C (25) * 1000) /* between two streams beside all other requests                          \
                          */
#define OUT_OF_SERVICE_MS 1200
/* A version takes no streams for three seconds after its first engine has come back. */
#define UPSTREAMS_SETTLE_US (UINT64_C (4000) * 1000)
#define PERIOD_US                                                                                  \
  (UINT64_C (1000) * 1000) /* in which resumed streams are held against new ones                   \
                            */
#define RESUMED_MIN 12     /* resumed streams that tell enough */
/* The users' target: resumed streams go on at least so often as new ones begin, in percent. */
#define TARGET_PERCENT 75

/** struct period - streams that gateways answered within a period; those of a version without
 * upstreams are left out */
typedef struct
{
  uint32_t new;
  uint32_t begun;
  uint32_t resumed;
  uint32_t went_on;
} period_t;

static uint32_t
draw (soak_t *soak, uint32_t below)
{
  return (uint32_t)g_rand_int_range (soak->losses.rand, 0, (gint32)below);
}

static uint64_t
draw_us (soak_t *soak, uint32_t from_ms, uint32_t spread_ms)
{
  return (uint64_t)(from_ms + draw (soak, spread_ms)) * 1000;
}

static void
plan_round (soak_t *soak)
{
  soak_losses_t *losses = &soak->losses;
  uint32_t at_a_time = 1 + draw (soak, 2);
  bool repeats = draw (soak, 2) == 1;
  uint32_t first = draw (soak, soak->gateway_count);
  uint64_t at_us = losses->next_us;

  for (uint32_t i = 0; i < soak->gateway_count; i++)
    {
      soak_loss_t *loss = &losses->gateways[(first + i) % soak->gateway_count];

      if (i > 0 && i % at_a_time == 0)
        at_us += draw_us (soak, STEP_MIN_MS, STEP_SPREAD_MS);
      loss->kill_us = at_us;
      loss->repeats = repeats;
    }
  soak_log (soak, "all gateways: killed within %u ms, %s%s",
            (unsigned)((at_us - losses->next_us) / 1000),
            at_a_time == 1 ? "one after the other" : "two at a time",
            repeats ? ", and again as they start" : "");
  losses->next_us = at_us + draw_us (soak, PAUSE_MIN_MS, PAUSE_SPREAD_MS);
}

static void
poll_gateway (soak_t *soak, uint32_t index)
{
  soak_loss_t *loss = &soak->losses.gateways[index];
  uint64_t now_us = soak_now_us ();

  if (loss->awaited_start != 0 && soak->start_counts[index] >= loss->awaited_start)
    {
      loss->awaited_start = 0;
      loss->kill_us = now_us + draw_us (soak, 0, STARTING_MS);
    }
  if (loss->kill_us == 0 || now_us < loss->kill_us)
    return;
  loss->kill_us = 0;
  loss->awaited_start = loss->repeats ? soak->start_counts[index] + 1 : 0;
  loss->repeats = false;
  soak_log (soak, "%s: kill", soak->gateways[index]->name);
  soak_process_signal (soak->gateways[index], SIGKILL);
  soak_record_disturbance (soak, OUT_OF_SERVICE_MS);
}

static bool
all_stream_upstreams_run (const soak_t *soak)
{
  for (uint32_t i = 0; i < SOAK_STREAM_UPSTREAMS; i++)
    if (soak->upstreams[i]->pid <= 0 || soak->upstreams[i]->resume_at_us != 0)
      return false;
  return true;
}

static void
send_streams (soak_t *soak)
{
  soak_losses_t *losses = &soak->losses;

  for (; losses->send_us <= soak_now_us (); losses->send_us += SEND_INTERVAL_US)
    soak_send_request (soak, draw (soak, soak->gateway_count), SOAK_RESUMABLE_STREAM, 0, true);
}

void
soak_poll_losses (soak_t *soak)
{
  soak_losses_t *losses = &soak->losses;

  if (losses->began_us == 0)
    return;
  if (!all_stream_upstreams_run (soak))
    losses->upstream_lost_us = soak_now_us ();
  if (losses->next_us != 0)
    send_streams (soak);
  if (losses->next_us != 0 && soak_now_us () >= losses->next_us)
    plan_round (soak);
  for (uint32_t i = 0; i < soak->gateway_count; i++)
    poll_gateway (soak, i);
}

void
soak_begin_losses (soak_t *soak)
{
  soak->losses.began_us = soak_now_us ();
  soak->losses.send_us = soak_now_us ();
  soak->losses.next_us = soak_now_us ();
}

void
soak_end_losses (soak_t *soak)
{
  soak->losses.next_us = 0;
  soak->losses.ended_us = soak_now_us ();
  memset (soak->losses.gateways, 0, sizeof soak->losses.gateways);
}

bool
soak_versions_serve (const soak_t *soak)
{
  return soak_now_us () > soak->losses.upstream_lost_us + UPSTREAMS_SETTLE_US;
}

/* A refusal or lost attempt that the caller followed up doesn't count, but what came of that. */
static void
count_call (const soak_losses_t *losses, GArray *periods, const soak_request_t *call)
{
  bool has_events = soak_count_events (call) > 0;
  period_t *period;
  guint index;

  if (call->kind != SOAK_RESUMABLE_STREAM || !call->valid_key || call->status == 0 ||
      call->followed || !call->versions_serve || call->sent_us < losses->began_us ||
      call->sent_us >= losses->ended_us)
    return;
  index = (guint)((call->sent_us - losses->began_us) / PERIOD_US);
  if (index >= periods->len)
    g_array_set_size (periods, index + 1);
  period = &g_array_index (periods, period_t, index);
  *(call->resumed ? &period->resumed : &period->new) += 1;
  if (has_events)
    *(call->resumed ? &period->went_on : &period->begun) += 1;
}

/* Each resumed stream is held against the new ones of its period, as gateways that have just
 * started refuse those as well. */
void
soak_check_losses (soak_t *soak)
{
  g_autoptr (GArray) periods = g_array_new (FALSE, TRUE, sizeof (period_t));
  period_t sum = { 0 };
  double expected = 0;

  if (!soak->losses.enabled || !soak->versions)
    return;
  for (guint i = 0; i < soak->calls->len; i++)
    count_call (&soak->losses, periods, g_ptr_array_index (soak->calls, i));
  for (guint i = 0; i < periods->len; i++)
    {
      const period_t *period = &g_array_index (periods, period_t, i);

      if (period->new == 0)
        continue;
      sum.new += period->new;
      sum.begun += period->begun;
      sum.resumed += period->resumed;
      sum.went_on += period->went_on;
      expected += (double)period->resumed * period->begun / period->new;
    }
  soak_log (soak,
            "losses: %u of %u streams begun, %u of %u resumed ones went on; as often as new ones "
            "begin are %.1f",
            sum.begun, sum.new, sum.went_on, sum.resumed, expected);
  if (sum.resumed >= RESUMED_MIN && 100.0 * sum.went_on < TARGET_PERCENT * expected)
    soak_fail (soak, "%u of %u streams resumed after losses went on, %u%% of %.1f is the target",
               sum.went_on, sum.resumed, (unsigned)TARGET_PERCENT, expected);
}
