/**
 * DOC: bench_cost
 *
 * Processor time of single decisions for several numbers of engines, with the slope, and the memory
 * of a sidecar's state for decisions. See docs/measurements/.
 */
#include "random.h"

#include "request/policy/queueing/admission.h"
#include "request/policy/placement/candidates.h"
#include "request/policy/placement/engine_choice.h"

#include <glib.h>
#include <malloc.h>
#include <stdio.h>
#include <time.h>

#define SIZES 4 /* numbers of engines */
#define SLOTS 32
#define SERVICE_HASH 7
#define ROUNDS 7    /* the result is their median */
#define ROUND_MS 60 /* minimum time of a round */
#define CALLS_PER_CLOCK_READ 64
#define ACCOUNTS 1700
#define CHATS 10000

static const uint32_t engine_counts[SIZES] = { 15, 150, 1200, 3700 };

/**
 * struct fixture - state that the measured calls use
 * @engines, @details, @samples: engines and load samples, as a router has them
 * @admission: admission state of the first engine's sidecar
 * @egs: the engines as a gateway has them
 * @random: state of the random stream
 * @sink: sum of results, so that the compiler can't remove the calls
 */
typedef struct
{
  uint32_t engine_count;
  rendezvous_engine_t *engines;
  candidates_engine_t *details;
  load_samples_t samples;
  admission_t *admission;
  engines_t *egs;
  uint64_t random;
  uint64_t now_us;
  uint64_t sink;
} fixture_t;

typedef void (*measured_call_t) (fixture_t *fixture);

static double
cpu_seconds (void)
{
  struct timespec now;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

static void
add_samples (const fixture_t *fixture, load_samples_t *table)
{
  for (uint32_t i = 1; i < fixture->engine_count; i++)
    {
      const load_sample_t sample = { .engine_hash = fixture->engines[i].hash,
                                     .service_hash = SERVICE_HASH,
                                     .load = 10 + i % 5,
                                     .taken_us = fixture->now_us + i };
      load_samples_add (table, &sample);
    }
}

static void
add_gateway_engines (fixture_t *fixture)
{
  engine_entry_t entry = { .service = g_intern_static_string ("pool"), .slots = SLOTS };

  fixture->egs = engines_new ();
  for (uint32_t i = 0; i < fixture->engine_count; i++)
    {
      g_snprintf (entry.id, sizeof entry.id, "engine-%u", i);
      engine_note_load (engines_put (fixture->egs, fixture->now_us, &entry), fixture->now_us,
                        &(engine_load_t){ .running = 10 + i % 5, .slots = SLOTS });
    }
}

static void
init_fixture (fixture_t *fixture, uint32_t engine_count)
{
  *fixture = (fixture_t){ .engine_count = engine_count, .random = 1, .now_us = CLOCK_US_PER_S };
  fixture->engines = g_new0 (rendezvous_engine_t, engine_count);
  fixture->details = g_new0 (candidates_engine_t, engine_count);
  for (uint32_t i = 0; i < engine_count; i++)
    fixture->engines[i] =
        (rendezvous_engine_t){ .hash = random_next (&fixture->random), .index = i, .weight = 1.0f };
  const admission_options_t options = { .engine_hash = fixture->engines[0].hash,
                                        .service_hash = SERVICE_HASH,
                                        .slots = SLOTS,
                                        .bound_percent = 125,
                                        .engine_count = engine_count,
                                        .prefill_tokens_s = 10000,
                                        .cache_lifetime_us = 240 * (uint64_t)CLOCK_US_PER_S,
                                        .seed = 1 };
  fixture->admission = admission_new (&options);
  load_samples_init (&fixture->samples, 1);
  add_samples (fixture, &fixture->samples);
  add_samples (fixture, admission_mean (fixture->admission));
  add_gateway_engines (fixture);
}

static void
clear_fixture (fixture_t *fixture)
{
  admission_free (fixture->admission);
  engines_free (fixture->egs);
  g_free (fixture->engines);
  g_free (fixture->details);
}

static void
run_rank (fixture_t *fixture)
{
  uint32_t out[8];
  rendezvous_rank (fixture->engines, fixture->engine_count, SERVICE_HASH,
                   random_next (&fixture->random), out, 8);
  fixture->sink += out[0];
}

static void
run_choose_at_router (fixture_t *fixture)
{
  const candidates_query_t query = { .now_us = fixture->now_us,
                                     .engines = fixture->engines,
                                     .details = fixture->details,
                                     .engine_count = fixture->engine_count,
                                     .service_hash = SERVICE_HASH,
                                     .chat_hash = random_next (&fixture->random),
                                     .samples = &fixture->samples };
  fixture->sink += candidates_choose (&query).home_hash;
}

static void
run_choose_at_gateway (fixture_t *fixture)
{
  const GPtrArray *engines = engines_of_service (fixture->egs, g_intern_static_string ("pool"));
  const engine_choice_request_t request = { .affinity = random_next (&fixture->random),
                                            .own_data_center = "hall",
                                            .gateways = 22 };

  fixture->sink += engine_choice_make (engines, fixture->now_us, &request).load;
}

static void
run_estimate (fixture_t *fixture)
{
  const load_sample_t own = { .engine_hash = fixture->engines[0].hash, .load = 12 };
  fixture->sink +=
      load_samples_estimate_mean (&fixture->samples, fixture->now_us, &own, fixture->engine_count)
          .mean_milli;
}

static admission_request_t
make_request (fixture_t *fixture, uint64_t chat_hash)
{
  return (
      admission_request_t){ .item = { .account_hash = 1 + random_below (&fixture->random, ACCOUNTS),
                                      .weight = FAIR_QUEUE_WEIGHT_ONE,
                                      .priority = 1,
                                      .queue_limit = LIMIT_QUEUED_PER_ACCOUNT,
                                      .deadline_us = fixture->now_us + 10 * CLOCK_US_PER_S },
                            .chat_hash = chat_hash,
                            .home_hash = fixture->engines[0].hash,
                            .prompt_tokens = 3000,
                            .output_tokens = 200,
                            .has_chat = chat_hash != 0 };
}

/* A request of a chat, which is admitted and ends. */
static void
run_admit (fixture_t *fixture)
{
  admission_request_t request = make_request (fixture, 1 + random_below (&fixture->random, CHATS));
  const admission_decision_t decision =
      admission_offer (fixture->admission, fixture->now_us, &request);
  fixture->sink += decision.action;
  if (decision.action == ADMISSION_DISPATCH)
    admission_finish (fixture->admission, fixture->now_us, &request, true);
}

/* A request at an engine over its load bound, which is refused with referrals to other engines. */
static void
run_refuse (fixture_t *fixture)
{
  admission_request_t request = make_request (fixture, 0);
  fixture->sink += admission_offer (fixture->admission, fixture->now_us, &request).referral_count;
}

static int
compare_doubles (const void *a, const void *b)
{
  const double left = *(const double *)a;
  const double right = *(const double *)b;
  return (left > right) - (left < right);
}

static double
measure_ns (measured_call_t call, fixture_t *fixture)
{
  double rounds[ROUNDS];
  for (uint32_t round = 0; round < ROUNDS; round++)
    {
      uint64_t calls = 0;
      const double start_s = cpu_seconds ();
      double elapsed_s;
      do
        {
          for (uint32_t i = 0; i < CALLS_PER_CLOCK_READ; i++)
            call (fixture);
          calls += CALLS_PER_CLOCK_READ;
          elapsed_s = cpu_seconds () - start_s;
        }
      while (elapsed_s < ROUND_MS / 1000.0);
      rounds[round] = elapsed_s * 1e9 / (double)calls;
    }
  qsort (rounds, ROUNDS, sizeof rounds[0], compare_doubles);
  return rounds[ROUNDS / 2];
}

static double
slope (const double *ns)
{
  double mean_x = 0, mean_y = 0, covariance = 0, variance = 0;
  for (uint32_t i = 0; i < SIZES; i++)
    {
      mean_x += engine_counts[i] / (double)SIZES;
      mean_y += ns[i] / SIZES;
    }
  for (uint32_t i = 0; i < SIZES; i++)
    {
      covariance += (engine_counts[i] - mean_x) * (ns[i] - mean_y);
      variance += (engine_counts[i] - mean_x) * (engine_counts[i] - mean_x);
    }
  return covariance / variance;
}

static void
fill_to_bound (fixture_t *fixture)
{
  admission_request_t *requests = g_new0 (admission_request_t, SLOTS);
  for (uint32_t i = 0; i < SLOTS; i++)
    {
      requests[i] = make_request (fixture, 0);
      if (admission_offer (fixture->admission, fixture->now_us, &requests[i]).action !=
          ADMISSION_DISPATCH)
        break;
    }
}

static void
print_line (const char *name, measured_call_t call, bool full)
{
  double ns[SIZES];
  printf ("%s", name);
  for (uint32_t i = 0; i < SIZES; i++)
    {
      fixture_t fixture;
      init_fixture (&fixture, engine_counts[i]);
      if (full)
        fill_to_bound (&fixture);
      ns[i] = measure_ns (call, &fixture);
      clear_fixture (&fixture);
      printf ("\t%.0f", ns[i]);
    }
  printf ("\t%.3f\n", slope (ns));
}

static double
heap_bytes (void)
{
  const struct mallinfo2 info = mallinfo2 ();
  return (double)(info.uordblks + info.hblkhd);
}

static void
print_memory (void)
{
  fixture_t fixture;
  init_fixture (&fixture, 15);
  const double before = heap_bytes ();
  const admission_options_t options = { .engine_hash = 1, .slots = SLOTS, .engine_count = 15 };
  admission_t *admission = admission_new (&options);
  printf ("sidecar\t%.0f\n", heap_bytes () - before);
  printf ("chat (directory entry)\t%zu\n", sizeof (chat_directory_entry_t));
  printf ("engine (candidate at a router)\t%zu\n",
          sizeof (rendezvous_engine_t) + sizeof (candidates_engine_t));
  printf ("load sample\t%zu\n", sizeof (load_sample_t));
  printf ("request (admission state)\t%zu\n", sizeof (admission_request_t));
  admission_free (admission);
  const double idle = heap_bytes ();
  fair_queue_t *queue = fair_queue_new (ACCOUNTS);
  fair_queue_set_credit (queue, UINT32_MAX);
  for (uint32_t i = 0; i < ACCOUNTS; i++)
    {
      fair_queue_item_t item = { .account_hash = i + 1,
                                 .weight = FAIR_QUEUE_WEIGHT_ONE,
                                 .cost = 100 };
      fair_queue_charge (queue, &item);
    }
  printf ("account (fair queue)\t%.0f\n", (heap_bytes () - idle) / ACCOUNTS);
  fair_queue_free (queue);
  clear_fixture (&fixture);
}

int
main (void)
{
  printf ("ns of processor time, median of %d rounds; slope in ns for each engine\n", ROUNDS);
  printf ("engines");
  for (uint32_t i = 0; i < SIZES; i++)
    printf ("\t%u", engine_counts[i]);
  printf ("\tslope\n");
  print_line ("plc_rank", run_rank, false);
  print_line ("chs_choose", run_choose_at_router, false);
  print_line ("spr_choose", run_choose_at_gateway, false);
  print_line ("mean_estimate", run_estimate, false);
  print_line ("adm_offer+finish", run_admit, false);
  print_line ("adm_offer refused", run_refuse, true);
  printf ("\nbytes of memory\n");
  print_memory ();
  return 0;
}
