/*
 * Gateways that share a request which ends every engine that runs it, in virtual time: how many of
 * its copies reach engines. Decisions are those of the product; the exchange between gateways, the
 * registry and the engines are simulated.
 */
#include "crash_sim.h"
#include "suite.h"

#include <stdio.h>

#define MS_US UINT64_C (1000)
#define S_US UINT64_C (1000000)
#define PLAY_US (20 * S_US)
#define CULPRIT 77
/* The users' rule: later than this after the third crash, three sends may reach engines. */
#define CRASHES_MAX 3
#define LATE_US (3 * S_US)
#define LATE_SENDS_MAX 3
#define LEASE_US S_US /* an engine that ended is in the registry for this time */
#define RUN_MIN_MS 40
#define RUN_MAX_MS 120
#define RESEND_MS 60 /* from the answer of a single caller to its next send */
#define RECORD_LIMIT 16
#define ATTEMPTS 2

/** struct copy - a copy at an engine; @attempt: number of the send that led there */
typedef struct
{
  uint32_t gateway;
  uint64_t engine;
  uint64_t sent_us;
  uint32_t attempt;
} copy_t;

/**
 * struct play - one play
 * @copies_per_s: that callers send, whatever became of the others; 0 for a single caller that sends
 *   again when it has its answer
 * @is_repeated: gateways send the request again, to another engine
 * @running: copies at engines, by gateway
 */
typedef struct
{
  crash_sim_t *sim;
  uint32_t copies_per_s;
  bool is_repeated;
  uint32_t *running;
  GArray *crashed_us; /* by engine; engines are numbered from 1 on */
  uint64_t next_engine;
  uint32_t sends;
  uint32_t late_sends;
  uint64_t third_crash_us;
  uint32_t crashes;
} play_t;

static crash_record_engine_t
get_engine (uint64_t engine_hash, void *context)
{
  const play_t *play = context;
  uint64_t crashed_us = g_array_index (play->crashed_us, uint64_t, engine_hash);
  bool has_ended = crashed_us != 0 && crash_sim_now_us (play->sim) > crashed_us + LEASE_US;

  return (crash_record_engine_t){ .state = has_ended ? CRASH_RECORD_ENGINE_ENDED
                                                     : CRASH_RECORD_ENGINE_LISTED };
}

static void on_crash (crash_sim_t *sim, void *data);
static void on_copy (crash_sim_t *sim, void *data);

static void
send_to_engine (play_t *play, uint32_t gateway, uint32_t attempt)
{
  uint64_t now_us = crash_sim_now_us (play->sim);
  uint64_t none = 0;
  copy_t copy = { gateway, play->next_engine++, now_us, attempt };

  play->running[gateway]++;
  play->sends++;
  if (play->third_crash_us != 0 && now_us > play->third_crash_us + LATE_US)
    play->late_sends++;
  g_array_append_val (play->crashed_us, none);
  crash_sim_schedule (play->sim, crash_sim_draw (play->sim, RUN_MIN_MS, RUN_MAX_MS) * MS_US,
                      on_crash, g_memdup2 (&copy, sizeof copy));
}

/* The caller has its answer, and sends again. */
static void
end_copy (play_t *play)
{
  if (play->copies_per_s == 0)
    crash_sim_schedule (play->sim, RESEND_MS * MS_US, on_copy, NULL);
}

static void
on_copy (crash_sim_t *sim, void *data)
{
  play_t *play = crash_sim_context (sim);
  uint32_t gateway = crash_sim_draw (sim, 0, crash_sim_gateways (sim));
  crash_record_verdict_t verdict =
      crash_record_check (crash_sim_record (sim, gateway), crash_sim_now_us (sim), CULPRIT);

  (void)data;
  if (play->copies_per_s > 0)
    crash_sim_schedule (sim, crash_sim_draw (sim, 1, 2 * (uint32_t)S_US / play->copies_per_s),
                        on_copy, NULL);
  if (verdict == CRASH_RECORD_ALLOWED ||
      (verdict == CRASH_RECORD_ON_TRIAL && play->running[gateway] == 0))
    send_to_engine (play, gateway, 1);
  else
    end_copy (play);
}

static void
on_crash (crash_sim_t *sim, void *data)
{
  play_t *play = crash_sim_context (sim);
  const copy_t *copy = data;
  crash_record_t *record = crash_sim_record (sim, copy->gateway);
  uint64_t now_us = crash_sim_now_us (sim);

  play->running[copy->gateway]--;
  g_array_index (play->crashed_us, uint64_t, copy->engine) = now_us;
  if (++play->crashes == CRASHES_MAX)
    play->third_crash_us = now_us;
  crash_record_add_loss (record, now_us,
                         &(crash_record_loss_t){ .fingerprint = CULPRIT,
                                                 .engine_hash = copy->engine,
                                                 .sent_us = copy->sent_us });
  crash_sim_tell (sim, copy->gateway);
  if (play->is_repeated && copy->attempt < ATTEMPTS &&
      crash_record_check (record, now_us, CULPRIT) == CRASH_RECORD_ALLOWED)
    send_to_engine (play, copy->gateway, copy->attempt + 1);
  else
    end_copy (play);
}

static void
check_play (uint32_t gateways, uint32_t copies_per_s, bool is_repeated, uint32_t seed)
{
  play_t play = { .copies_per_s = copies_per_s, .is_repeated = is_repeated, .next_engine = 1 };
  uint64_t none = 0;

  play.crashed_us = g_array_new (FALSE, FALSE, sizeof none);
  g_array_append_val (play.crashed_us, none);
  play.running = g_new0 (uint32_t, gateways);
  play.sim = crash_sim_new (&(crash_sim_options_t){ .gateways = gateways,
                                                    .seed = seed,
                                                    .record_limit = RECORD_LIMIT,
                                                    .get_engine = get_engine,
                                                    .context = &play });
  crash_sim_schedule (play.sim, 0, on_copy, NULL);
  crash_sim_run (play.sim, PLAY_US);
  printf ("%u gateways, %u copies/s, %s: %u engines ended, %u sends late\n", gateways, copies_per_s,
          is_repeated ? "repeated" : "not repeated", play.crashes, play.late_sends);
  CU_ASSERT (play.late_sends <= LATE_SENDS_MAX);
  if (gateways == 1 && copies_per_s == 0)
    CU_ASSERT (play.crashes <= CRASHES_MAX);
  crash_sim_free (play.sim);
  g_free (play.running);
  g_array_free (play.crashed_us, TRUE);
}

static void
check_fleet (uint32_t gateways)
{
  static const uint32_t rates[] = { 0, 1, 12, 100 };

  for (uint32_t i = 0; i < G_N_ELEMENTS (rates); i++)
    {
      check_play (gateways, rates[i], true, 1 + i);
      check_play (gateways, rates[i], false, 11 + i);
    }
}

static void
test_single_gateway (void)
{
  check_fleet (1);
}

/* Guards against crashes that no gateway hears of in time, as each of many has seen few. */
static void
test_15_gateways (void)
{
  check_fleet (15);
}

static void
test_385_gateways (void)
{
  check_fleet (385);
}

static void
test_880_gateways (void)
{
  check_fleet (880);
}

int
main (void)
{
  static const CU_TestInfo tests[] = { SUITE_TEST (test_single_gateway),
                                       SUITE_TEST (test_15_gateways),
                                       SUITE_TEST (test_385_gateways),
                                       SUITE_TEST (test_880_gateways), CU_TEST_INFO_NULL };

  return suite_run ("crash_fleet", tests);
}
