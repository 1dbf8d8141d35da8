/*
 * Engines that are killed at one moment under streams that share a part, in virtual time: gateways
 * hear of it one engine after the other, and send on what they have lost to engines that have ended
 * as well. Decisions are those of the product; engines and callers are simulated.
 */
#include "crash_sim.h"
#include "suite.h"

#include <stdio.h>

#define MS_US UINT64_C (1000)
#define S_US UINT64_C (1000000)
#define GATEWAYS 3
#define ENGINES 5 /* hashes 1 to 4 */
#define STREAMS 6 /* of a gateway at each engine */
#define SEEDS 200
#define RECORD_LIMIT 1024
#define STREAM_AGE_MS 300 /* streams were sent up to this time before */
#define ATTEMPTS 2
#define KILL_US (400 * MS_US)
#define HEAR_US (3 * MS_US)   /* at most, from the end of an engine until a gateway knows */
#define RESET_US (2 * MS_US)  /* at most, until a connection breaks that nobody accepts */
#define BEGIN_US (20 * MS_US) /* from a send until the answer begins */
#define NEW_US (500)          /* between new requests at a gateway */
#define NEW_REQUESTS 60
#define PLAY_US (3 * S_US)
#define LEASE_US (2 * S_US)
#define SHARED UINT64_C (0xf1f1)

/** struct play - @spread_us: time in which the engines are killed */
typedef struct
{
  crash_sim_t *sim;
  uint64_t spread_us;
  uint64_t killed_us[ENGINES];
  crash_record_engine_t seen[GATEWAYS][ENGINES];
  GPtrArray *runs; /* run_t */
} play_t;

/** struct run - a request at an engine; @engine: 0 when it has none */
typedef struct
{
  uint32_t gateway;
  uint64_t fingerprint;
  uint64_t engine;
  uint64_t sent_us;
  uint32_t attempts;
} run_t;

/** struct break_event - connections of a gateway to an engine break; @run: just this one's, or
 * NULL for all that were sent before the engine was killed */
typedef struct
{
  uint32_t gateway;
  uint64_t engine;
  run_t *run;
} break_event_t;

static crash_record_engine_t
get_engine (uint64_t engine_hash, void *context)
{
  const play_t *play = context;
  uint64_t ended_us = play->killed_us[engine_hash] + LEASE_US;

  return (crash_record_engine_t){ .state = crash_sim_now_us (play->sim) >= ended_us
                                               ? CRASH_RECORD_ENGINE_ENDED
                                               : CRASH_RECORD_ENGINE_LISTED };
}

/* Return: an engine of which the gateway does not know that it has ended; 0 if there is none */
static uint64_t
choose_engine (const play_t *play, uint32_t gateway)
{
  uint64_t first = crash_sim_draw (play->sim, 0, ENGINES - 1);

  for (uint64_t i = 0; i < ENGINES - 1; i++)
    {
      uint64_t engine = 1 + (first + i) % (ENGINES - 1);

      if (play->seen[gateway][engine].broke_us == 0)
        return engine;
    }
  return 0;
}

static void on_break (crash_sim_t *sim, void *data);

static void
send_run (play_t *play, run_t *run)
{
  uint64_t now_us = crash_sim_now_us (play->sim);

  run->engine = choose_engine (play, run->gateway);
  if (run->engine == 0)
    return;
  run->attempts++;
  run->sent_us = now_us;
  if (now_us < play->killed_us[run->engine])
    return;
  crash_sim_schedule (
      play->sim, crash_sim_draw (play->sim, 100, RESET_US), on_break,
      g_memdup2 (&(break_event_t){ run->gateway, run->engine, run }, sizeof (break_event_t)));
}

static void
lose (play_t *play, const run_t *run)
{
  crash_record_t *record = crash_sim_record (play->sim, run->gateway);
  uint64_t now_us = crash_sim_now_us (play->sim);
  bool has_begun = play->killed_us[run->engine] > run->sent_us + BEGIN_US;
  crash_record_loss_t loss = { .fingerprint = run->fingerprint,
                               .request = run->fingerprint,
                               .engine_hash = run->engine,
                               .sent_us = run->sent_us,
                               .service_hash = 1,
                               .engines_in_use = 2 * (ENGINES - 1),
                               .ran_us = has_begun ? now_us - run->sent_us - BEGIN_US : 0 };

  crash_record_add_loss (record, now_us, &loss);
  loss.fingerprint = SHARED;
  loss.kind = CRASH_SUBJECT_PART;
  crash_record_add_loss (record, now_us, &loss);
}

static void
on_break (crash_sim_t *sim, void *data)
{
  const break_event_t *event = data;
  play_t *play = crash_sim_context (sim);
  g_autoptr (GPtrArray) lost = g_ptr_array_new ();

  for (guint i = 0; i < play->runs->len; i++)
    {
      run_t *run = g_ptr_array_index (play->runs, i);

      if (run->gateway == event->gateway && run->engine == event->engine &&
          (event->run ? run == event->run : run->sent_us < play->killed_us[run->engine]))
        g_ptr_array_add (lost, run);
    }
  for (guint i = 0; i < lost->len; i++)
    {
      run_t *run = g_ptr_array_index (lost, i);

      lose (play, run);
      crash_sim_tell (sim, run->gateway);
      play->seen[run->gateway][run->engine].broke_us = crash_sim_now_us (sim);
      run->engine = 0;
      if (run->attempts < ATTEMPTS)
        send_run (play, run);
    }
}

static void
add_run (play_t *play, uint32_t gateway)
{
  run_t run = { .gateway = gateway, .fingerprint = play->runs->len + 1 };
  run_t *added = g_memdup2 (&run, sizeof run);

  g_ptr_array_add (play->runs, added);
  send_run (play, added);
}

static void
on_new (crash_sim_t *sim, void *data)
{
  add_run (crash_sim_context (sim), *(uint32_t *)data);
}

static void
schedule_kills (play_t *play)
{
  for (uint64_t engine = 1; engine < ENGINES; engine++)
    {
      uint64_t wait_us = KILL_US + crash_sim_draw (play->sim, 0, (uint32_t)play->spread_us + 1);

      play->killed_us[engine] = CRASH_SIM_START_US + wait_us;
      for (uint32_t gateway = 0; gateway < GATEWAYS; gateway++)
        crash_sim_schedule (
            play->sim, wait_us + crash_sim_draw (play->sim, 0, HEAR_US), on_break,
            g_memdup2 (&(break_event_t){ gateway, engine, NULL }, sizeof (break_event_t)));
    }
}

static void
schedule_requests (play_t *play)
{
  for (uint32_t gateway = 0; gateway < GATEWAYS; gateway++)
    {
      for (uint32_t i = 0; i < STREAMS * (ENGINES - 1); i++)
        crash_sim_schedule (play->sim,
                            KILL_US - crash_sim_draw (play->sim, 1, STREAM_AGE_MS) * MS_US, on_new,
                            g_memdup2 (&gateway, sizeof gateway));
      for (uint32_t i = 0; i < NEW_REQUESTS; i++)
        crash_sim_schedule (play->sim, KILL_US + i * NEW_US, on_new,
                            g_memdup2 (&gateway, sizeof gateway));
    }
}

/* Return: crashes that most gateways blame the shared part for */
static uint32_t
play_kill (uint32_t seed, uint64_t spread_us)
{
  play_t play = { .spread_us = spread_us, .runs = g_ptr_array_new_with_free_func (g_free) };
  uint32_t most = 0;

  play.sim = crash_sim_new (&(crash_sim_options_t){ .gateways = GATEWAYS,
                                                    .seed = seed,
                                                    .record_limit = RECORD_LIMIT,
                                                    .get_engine = get_engine,
                                                    .context = &play });
  schedule_kills (&play);
  schedule_requests (&play);
  crash_sim_run (play.sim, PLAY_US);
  for (uint32_t gateway = 0; gateway < GATEWAYS; gateway++)
    most = MAX (most, crash_record_count_crashes (crash_sim_record (play.sim, gateway), SHARED));
  crash_sim_free (play.sim);
  g_ptr_array_free (play.runs, TRUE);
  return most;
}

static void
check_kills (uint64_t spread_us)
{
  uint32_t counts[CRASH_MARK_ENGINES + 1] = { 0 };

  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    counts[play_kill (seed, spread_us)]++;
  printf ("killed within %u ms: %u, %u, %u of %u plays with 1, 2, 3 crashes of the part\n",
          (uint32_t)(spread_us / MS_US), counts[1], counts[2], counts[3], (uint32_t)SEEDS);
  CU_ASSERT_EQUAL (counts[1], SEEDS);
}

/* Guards against a part that is blamed for engines that had ended before the requests came. */
static void
test_engines_killed_at_once (void)
{
  check_kills (0);
}

static void
test_engines_killed_within_moments (void)
{
  check_kills (2 * MS_US);
  check_kills (10 * MS_US);
}

int
main (void)
{
  static const CU_TestInfo tests[] = { SUITE_TEST (test_engines_killed_at_once),
                                       SUITE_TEST (test_engines_killed_within_moments),
                                       CU_TEST_INFO_NULL };

  return suite_run ("lost_at_once", tests);
}
