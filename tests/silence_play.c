#include "silence_play.h"

#include <CUnit/CUnit.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define FIRST_REQUESTS 30 /* of each kind, at the start */
#define BATCH_REQUESTS 2  /* of each kind, after that */
#define BATCH_MS 100      /* between two batches */
#define CHANGE_MS 150     /* between two versions of the configuration */
#define AFTER_MS 300      /* of load after the last silence */
#define PROBES 12         /* streams of which some are of each version */
#define PRINTED_MAX 30    /* answers that are not whole */
/* plays of callers that keep their connections */
#define KEPT_PLAY_MS 5200
#define KEPT_CHANGE_MS 1200
#define SHORT_IDLE_MS 800 /* the other idle timeout */

static uint64_t
now_us (void)
{
  return (uint64_t)g_get_monotonic_time ();
}

static silence_request_t *
send_request (silence_play_t *play,
              silence_kind_t kind,
              uint32_t gateway,
              const silence_request_t *before)
{
  g_autofree char *id = g_strdup_printf ("p%u-%u", play->number, play->requests->len);
  silence_request_t *request = silence_request_send (play->rig, id, kind, gateway, before);

  request->call->is_kept = play->options.keeps;
  g_ptr_array_add (play->requests, request);
  return request;
}

static void
send_batch (silence_play_t *play, uint32_t requests)
{
  for (uint32_t i = 0; i < requests; i++)
    for (silence_kind_t kind = 0; kind < SILENCE_KINDS; kind++)
      send_request (play, kind, i % SILENCE_RIG_GATEWAYS, NULL);
}

static bool
have_begun (void *context)
{
  const silence_play_t *play = context;

  for (guint i = 0; i < play->requests->len; i++)
    {
      const silence_request_t *request = play->requests->pdata[i];

      if (request->kind == SILENCE_STREAM && request->call->body->len == 0 &&
          request->call->outcome == DRIVER_OUTCOME_PENDING)
        return false;
    }
  return true;
}

static uint32_t
elapsed_ms (const silence_play_t *play)
{
  return (uint32_t)((now_us () - play->start_us) / 1000);
}

/* Return: The upstreams that are to be silent now. */
static uint32_t
silent_set (const silence_play_t *play)
{
  uint32_t at_ms = elapsed_ms (play);
  uint32_t set = 0;

  for (uint32_t i = 0; i < play->options.silence_count; i++)
    {
      const silence_t *silence = &play->options.silences[i];

      if (at_ms >= silence->at_ms && at_ms < silence->at_ms + silence->length_ms)
        set |= silence->set;
    }
  return set;
}

static void
apply_silences (silence_play_t *play)
{
  uint32_t set = silent_set (play);
  uint32_t paused = 0;

  for (uint32_t i = 0; i < SILENCE_RIG_UPSTREAMS; i++)
    paused |= play->rig->upstreams[i]->is_paused ? 1U << i : 0;
  silence_rig_signal (play->rig, paused & ~set, SIGCONT);
  silence_rig_lighten (play->rig, paused & ~set);
  silence_rig_signal (play->rig, set & ~paused, SIGSTOP);
  if (play->options.is_dark)
    silence_rig_darken (play->rig, set & ~paused);
}

static uint32_t
end_ms (const silence_play_t *play)
{
  uint32_t last_ms = play->options.keeps ? KEPT_PLAY_MS : 0;

  for (uint32_t i = 0; i < play->options.silence_count; i++)
    last_ms = MAX (last_ms, play->options.silences[i].at_ms + play->options.silences[i].length_ms);
  return last_ms + AFTER_MS;
}

/* Changes each part of the configuration in turn; beside kept connections the idle timeout changes
 * each time as well. */
static void
publish_next (silence_play_t *play)
{
  silence_rig_part_t part;

  if (now_us () < play->next_change_us)
    return;
  part = ++play->published % SILENCE_RIG_PARTS;
  play->next_change_us = now_us () + (play->options.keeps ? KEPT_CHANGE_MS : CHANGE_MS) * 1000;
  if (play->options.keeps)
    play->idle_ms = play->idle_ms == SHORT_IDLE_MS ? SILENCE_RIG_IDLE_MS : SHORT_IDLE_MS;
  else
    play->idle_ms = part == SILENCE_RIG_IDLE_TIMEOUT ? SHORT_IDLE_MS : SILENCE_RIG_IDLE_MS;
  silence_rig_publish (play->rig, part, play->idle_ms);
}

/* A caller waits for up to four fifths of the newest idle timeout between two requests. */
static void
poll_connection (silence_play_t *play, uint32_t index)
{
  silence_connection_t *connection = &play->connections[index];
  const silence_request_t *before = connection->request;
  uint32_t fifths = 1 + index % 4;

  if (before && before->call->outcome == DRIVER_OUTCOME_PENDING)
    return;
  if (before)
    connection->due_us = before->call->ended_us + (uint64_t)play->idle_ms * 1000 * fifths / 5;
  if (now_us () < connection->due_us)
    return;
  play->closed_idle += before && !driver_call_is_connected (before->call) ? 1 : 0;
  connection->request = send_request (play, index % SILENCE_KINDS,
                                      index / SILENCE_KINDS % SILENCE_RIG_GATEWAYS, before);
}

static void
add_load (silence_play_t *play)
{
  for (uint32_t i = 0; play->options.keeps && i < SILENCE_PLAY_CONNECTIONS; i++)
    poll_connection (play, i);
  if (play->options.keeps || now_us () < play->next_batch_us)
    return;
  play->next_batch_us = now_us () + BATCH_MS * 1000;
  send_batch (play, BATCH_REQUESTS);
}

static bool
is_over (void *context)
{
  silence_play_t *play = context;

  apply_silences (play);
  if (elapsed_ms (play) >= end_ms (play))
    return true;
  add_load (play);
  if (play->options.changes)
    publish_next (play);
  return false;
}

static bool
is_served (const silence_request_t *probe)
{
  driver_call_wait_body (probe->call);
  driver_call_cancel (probe->call);
  return probe->call->status == 200;
}

/* Whether each gateway serves all kinds of requests, and streams of both versions. */
static bool
are_served (void *context)
{
  const silence_rig_t *rig = context;
  silence_request_t *probes[SILENCE_RIG_GATEWAYS * (PROBES + SILENCE_KINDS)];
  bool served = true;

  for (uint32_t i = 0; i < G_N_ELEMENTS (probes); i++)
    {
      uint32_t number = i / SILENCE_RIG_GATEWAYS;
      g_autofree char *id = g_strdup_printf ("probe-%u", rig->driver->calls->len);

      probes[i] = silence_request_send (rig, id, number < PROBES ? SILENCE_STREAM : number - PROBES,
                                        i % SILENCE_RIG_GATEWAYS, NULL);
    }
  for (uint32_t i = 0; i < G_N_ELEMENTS (probes); i++)
    served = is_served (probes[i]) && served;
  for (uint32_t i = 0; i < SILENCE_RIG_GATEWAYS; i++)
    {
      uint32_t of_v2 = 0;

      for (uint32_t j = 0; j < PROBES; j++)
        of_v2 += strstr (probes[j * SILENCE_RIG_GATEWAYS + i]->call->body->str, " v2\n") ? 1 : 0;
      served = served && of_v2 > 0 && of_v2 < PROBES;
    }
  for (uint32_t i = 0; i < G_N_ELEMENTS (probes); i++)
    g_free (probes[i]);
  return served;
}

void
silence_play_run (silence_play_t *play)
{
  driver_t *driver = play->rig->driver;

  play->requests = g_ptr_array_new_with_free_func (g_free);
  play->idle_ms = SILENCE_RIG_IDLE_MS;
  silence_rig_publish (play->rig, SILENCE_RIG_NOTHING, SILENCE_RIG_IDLE_MS);
  driver_wait_until (driver, DRIVER_WAIT_LIMIT_MS, "a fleet that serves", are_served, play->rig);
  if (!play->options.keeps)
    send_batch (play, FIRST_REQUESTS);
  driver_wait_until (driver, DRIVER_WAIT_LIMIT_MS, "the first events", have_begun, play);
  play->start_us = now_us ();
  driver_wait_until (driver, 2 * DRIVER_WAIT_LIMIT_MS, "the end of the play", is_over, play);
  driver_wait_all_calls (driver);
}

static void
check_tally (const silence_play_t *play, const silence_tally_t *tally)
{
  uint32_t refused = silence_tally_sum (tally, SILENCE_REFUSED);
  uint32_t over_time = silence_tally_sum (tally, SILENCE_OVER_TIME);

  CU_ASSERT (silence_tally_sum (tally, SILENCE_WHOLE) > 0);
  CU_ASSERT_EQUAL (tally->lost, 0);
  if (!play->options.lapses)
    CU_ASSERT_EQUAL (refused, 0);
  CU_ASSERT_EQUAL (over_time, 0);
  CU_ASSERT_EQUAL (tally->ran_twice, 0);
  CU_ASSERT_EQUAL (tally->refused_but_ran, 0);
  driver_transcript_add (
      play->rig->driver,
      "%s%s: lost %u, refused %u, over time %u, ran twice %u, refused but ran %u",
      play->options.name, play->options.changes ? " beside changes" : "", tally->lost,
      play->options.lapses ? 0 : refused, over_time, tally->ran_twice, tally->refused_but_ran);
}

void
silence_play_check (silence_play_t *play, GHashTable *runs)
{
  silence_tally_t tally = { 0 };
  uint32_t printed = 0;

  printf ("\n  %s, %s", play->options.name,
          play->options.changes ? "beside changes" : "no changes");
  for (guint i = 0; i < play->requests->len; i++)
    {
      const silence_request_t *request = play->requests->pdata[i];
      uint32_t ran = GPOINTER_TO_UINT (g_hash_table_lookup (runs, request->id));
      silence_ending_t ending = silence_tally_add (&tally, request, ran);

      if (ending != SILENCE_WHOLE && printed++ < PRINTED_MAX)
        silence_request_print (request, ending, play->start_us, ran);
    }
  if (play->options.keeps)
    printf ("\n    kept connections closed while idle: %u", play->closed_idle);
  silence_tally_print (&tally);
  check_tally (play, &tally);
  g_ptr_array_free (play->requests, TRUE);
}
