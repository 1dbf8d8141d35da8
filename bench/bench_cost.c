/**
 * DOC: bench_cost
 *
 * Processor time of single decisions by the number of engines, with the slope, and the memory that
 * a sidecar's decisions take. See docs/measurements/.
 */
#include "random.h"

#include "request/policy/admit.h"
#include "request/policy/choose.h"
#include "request/policy/spread.h"

#include <glib.h>
#include <malloc.h>
#include <stdio.h>
#include <time.h>

#define SIZES 4
#define SLOTS 32
#define SERVICE 7
#define ROUNDS 7    /* of which the median counts */
#define ROUND_MS 60 /* at least, for each round */
#define ACCOUNTS 1700
#define CHATS 10000

static const uint32_t sizes[SIZES] = { 15, 150, 1200, 3700 };

/** struct subject - what the measured calls work on */
typedef struct
{
  uint32_t engine_count;
  plc_engine_t *engines;
  chs_engine_t *details;
  mean_table_t samples;
  adm_t *adm;
  egs_t *egs; /* as a gateway knows them */
  uint64_t random;
  uint64_t now_us;
  uint64_t sink; /* keeps the compiler from leaving calls out */
} subject_t;

typedef void (*measured_t) (subject_t *subject);

static double
seconds (void)
{
  struct timespec now;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

static void
hear_all (const subject_t *subject, mean_table_t *table)
{
  for (uint32_t i = 1; i < subject->engine_count; i++)
    {
      const mean_sample_t sample = { .engine_hash = subject->engines[i].hash,
                                     .service_hash = SERVICE,
                                     .load = 10 + i % 5,
                                     .taken_us = subject->now_us + i };
      mean_add (table, &sample);
    }
}

static void
tell_gateway (subject_t *subject)
{
  egn_entry_t entry = { .service = g_intern_static_string ("pool"), .slots = SLOTS };

  subject->egs = egs_new ();
  for (uint32_t i = 0; i < subject->engine_count; i++)
    {
      g_snprintf (entry.id, sizeof entry.id, "engine-%u", i);
      egn_told (egs_put (subject->egs, subject->now_us, &entry), subject->now_us,
                &(egn_load_t){ .running = 10 + i % 5, .slots = SLOTS });
    }
}

static void
make_subject (subject_t *subject, uint32_t engine_count)
{
  *subject = (subject_t){ .engine_count = engine_count, .random = 1, .now_us = CLK_US_PER_S };
  subject->engines = g_new0 (plc_engine_t, engine_count);
  subject->details = g_new0 (chs_engine_t, engine_count);
  for (uint32_t i = 0; i < engine_count; i++)
    subject->engines[i] =
        (plc_engine_t){ .hash = rnd_next (&subject->random), .index = i, .weight = 1.0f };
  const adm_options_t options = { .engine_hash = subject->engines[0].hash,
                                  .service_hash = SERVICE,
                                  .slots = SLOTS,
                                  .bound_percent = 125,
                                  .engine_count = engine_count,
                                  .prefill_tokens_s = 10000,
                                  .cache_lifetime_us = 240 * (uint64_t)CLK_US_PER_S,
                                  .seed = 1 };
  subject->adm = adm_new (&options);
  mean_init (&subject->samples, 1);
  hear_all (subject, &subject->samples);
  hear_all (subject, adm_mean (subject->adm));
  tell_gateway (subject);
}

static void
free_subject (subject_t *subject)
{
  adm_free (subject->adm);
  egs_free (subject->egs);
  g_free (subject->engines);
  g_free (subject->details);
}

static void
run_rank (subject_t *subject)
{
  uint32_t out[8];
  plc_rank (subject->engines, subject->engine_count, SERVICE, rnd_next (&subject->random), out, 8);
  subject->sink += out[0];
}

static void
run_choose (subject_t *subject)
{
  const chs_query_t query = { .now_us = subject->now_us,
                              .engines = subject->engines,
                              .details = subject->details,
                              .engine_count = subject->engine_count,
                              .service_hash = SERVICE,
                              .chat_hash = rnd_next (&subject->random),
                              .samples = &subject->samples };
  subject->sink += chs_choose (&query).home_hash;
}

static void
run_spread (subject_t *subject)
{
  const GPtrArray *engines = egs_list (subject->egs, g_intern_static_string ("pool"));
  const spr_request_t request = { .affinity = rnd_next (&subject->random),
                                  .data_center = "hall",
                                  .gateways = 22 };

  subject->sink += spr_choose (engines, subject->now_us, &request).load;
}

static void
run_estimate (subject_t *subject)
{
  const mean_sample_t own = { .engine_hash = subject->engines[0].hash, .load = 12 };
  subject->sink +=
      mean_estimate (&subject->samples, subject->now_us, &own, subject->engine_count).mean_milli;
}

static adm_request_t
make_request (subject_t *subject, uint64_t chat_hash)
{
  return (adm_request_t){ .item = { .account_hash = 1 + rnd_below (&subject->random, ACCOUNTS),
                                    .weight = FQ_WEIGHT_ONE,
                                    .priority = 1,
                                    .queue_limit = LIM_QUEUE_PER_ACCOUNT,
                                    .deadline_us = subject->now_us + 10 * CLK_US_PER_S },
                          .chat_hash = chat_hash,
                          .home_hash = subject->engines[0].hash,
                          .prompt_tokens = 3000,
                          .output_tokens = 200,
                          .has_chat = chat_hash != 0 };
}

/* A chat that is admitted, and ends. */
static void
run_admit (subject_t *subject)
{
  adm_request_t request = make_request (subject, 1 + rnd_below (&subject->random, CHATS));
  const adm_decision_t decision = adm_offer (subject->adm, subject->now_us, &request);
  subject->sink += decision.action;
  if (decision.action == ADM_DISPATCH)
    adm_finish (subject->adm, subject->now_us, &request, true);
}

/* One that is over the bound and refused with the names of others. */
static void
run_refuse (subject_t *subject)
{
  adm_request_t request = make_request (subject, 0);
  subject->sink += adm_offer (subject->adm, subject->now_us, &request).referral_count;
}

static int
compare (const void *a, const void *b)
{
  const double one = *(const double *)a;
  const double two = *(const double *)b;
  return (one > two) - (one < two);
}

static double
measure_ns (measured_t call, subject_t *subject)
{
  double rounds[ROUNDS];
  for (uint32_t round = 0; round < ROUNDS; round++)
    {
      uint64_t calls = 0;
      const double from = seconds ();
      double spent;
      do
        {
          for (uint32_t i = 0; i < 64; i++)
            call (subject);
          calls += 64;
          spent = seconds () - from;
        }
      while (spent < ROUND_MS / 1000.0);
      rounds[round] = spent * 1e9 / (double)calls;
    }
  qsort (rounds, ROUNDS, sizeof rounds[0], compare);
  return rounds[ROUNDS / 2];
}

static double
slope (const double *ns)
{
  double mean_x = 0, mean_y = 0, above = 0, below = 0;
  for (uint32_t i = 0; i < SIZES; i++)
    {
      mean_x += sizes[i] / (double)SIZES;
      mean_y += ns[i] / SIZES;
    }
  for (uint32_t i = 0; i < SIZES; i++)
    {
      above += (sizes[i] - mean_x) * (ns[i] - mean_y);
      below += (sizes[i] - mean_x) * (sizes[i] - mean_x);
    }
  return above / below;
}

static void
fill_to_bound (subject_t *subject)
{
  adm_request_t *held = g_new0 (adm_request_t, SLOTS);
  for (uint32_t i = 0; i < SLOTS; i++)
    {
      held[i] = make_request (subject, 0);
      if (adm_offer (subject->adm, subject->now_us, &held[i]).action != ADM_DISPATCH)
        break;
    }
}

static void
print_line (const char *name, measured_t call, bool full)
{
  double ns[SIZES];
  printf ("%s", name);
  for (uint32_t i = 0; i < SIZES; i++)
    {
      subject_t subject;
      make_subject (&subject, sizes[i]);
      if (full)
        fill_to_bound (&subject);
      ns[i] = measure_ns (call, &subject);
      free_subject (&subject);
      printf ("\t%.0f", ns[i]);
    }
  printf ("\t%.3f\n", slope (ns));
}

static double
held_bytes (void)
{
  const struct mallinfo2 info = mallinfo2 ();
  return (double)(info.uordblks + info.hblkhd);
}

static void
print_memory (void)
{
  subject_t subject;
  make_subject (&subject, 15);
  const double before = held_bytes ();
  const adm_options_t options = { .engine_hash = 1, .slots = SLOTS, .engine_count = 15 };
  adm_t *adm = adm_new (&options);
  printf ("sidecar\t%.0f\n", held_bytes () - before);
  printf ("chat (directory entry)\t%zu\n", sizeof (dir_entry_t));
  printf ("engine (candidate at a router)\t%zu\n", sizeof (plc_engine_t) + sizeof (chs_engine_t));
  printf ("load sample\t%zu\n", sizeof (mean_sample_t));
  printf ("request (admission state)\t%zu\n", sizeof (adm_request_t));
  adm_free (adm);
  const double idle = held_bytes ();
  fq_t *queue = fq_new (ACCOUNTS);
  fq_set_credit (queue, UINT32_MAX);
  for (uint32_t i = 0; i < ACCOUNTS; i++)
    {
      fq_item_t item = { .account_hash = i + 1, .weight = FQ_WEIGHT_ONE, .cost = 100 };
      fq_served (queue, &item);
    }
  printf ("account (fair queue)\t%.0f\n", (held_bytes () - idle) / ACCOUNTS);
  fq_free (queue);
  free_subject (&subject);
}

int
main (void)
{
  printf ("ns of processor time, median of %d rounds; slope in ns for each engine\n", ROUNDS);
  printf ("engines");
  for (uint32_t i = 0; i < SIZES; i++)
    printf ("\t%u", sizes[i]);
  printf ("\tslope\n");
  print_line ("plc_rank", run_rank, false);
  print_line ("chs_choose", run_choose, false);
  print_line ("spr_choose", run_spread, false);
  print_line ("mean_estimate", run_estimate, false);
  print_line ("adm_offer+finish", run_admit, false);
  print_line ("adm_offer refused", run_refuse, true);
  printf ("\nbytes of memory\n");
  print_memory ();
  return 0;
}
