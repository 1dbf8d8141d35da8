#include "base/clock.h"
#include "request/policy/load/load_samples.h"
#include "suite.h"

#include <string.h>

#define S CLOCK_US_PER_S

static load_sample_t
sample (uint64_t engine_hash, uint32_t load, uint64_t taken_us)
{
  load_sample_t made = { .engine_hash = engine_hash, .load = load, .taken_us = taken_us };
  return made;
}

static void
add (load_samples_t *table, uint64_t engine_hash, uint32_t load, uint64_t taken_us)
{
  load_sample_t made = sample (engine_hash, load, taken_us);
  load_samples_add (table, &made);
}

static void
test_newest_sample_counts (void)
{
  load_samples_t table;
  load_samples_init (&table, 1);
  add (&table, 1, 10, 2 * S);
  add (&table, 1, 99, S);
  CU_ASSERT_EQUAL (table.count, 1);
  CU_ASSERT_EQUAL (load_samples_estimate_mean (&table, 2 * S, NULL, 1).mean_milli, 10000);
  add (&table, 1, 20, 3 * S);
  CU_ASSERT_EQUAL (load_samples_estimate_mean (&table, 3 * S, NULL, 1).mean_milli, 20000);
  CU_ASSERT_EQUAL (
      load_samples_estimate_mean (&table, 3 * S + LIMIT_LOAD_SAMPLE_AGE_US + 1, NULL, 1).count, 0);
  load_samples_forget (&table, 1);
  CU_ASSERT_EQUAL (table.count, 0);
}

static void
test_full_table_drops_oldest (void)
{
  load_samples_t table;
  load_samples_init (&table, 1);
  for (uint32_t i = 0; i < LIMIT_LOAD_SAMPLES; i++)
    add (&table, i + 1, 1, S + LIMIT_LOAD_SAMPLES - i);
  add (&table, 1000, 1, S);
  CU_ASSERT_EQUAL (table.count, LIMIT_LOAD_SAMPLES);
  for (uint32_t i = 0; i < LIMIT_LOAD_SAMPLES; i++)
    CU_ASSERT_NOT_EQUAL (table.samples[i].engine_hash, 1000);
  add (&table, 1000, 1, 2 * S);
  for (uint32_t i = 0; i < LIMIT_LOAD_SAMPLES; i++)
    CU_ASSERT_NOT_EQUAL (table.samples[i].engine_hash, LIMIT_LOAD_SAMPLES);
}

static void
test_margin (void)
{
  load_samples_t table;
  load_samples_init (&table, 1);
  add (&table, 1, 4, S);
  add (&table, 2, 6, S);
  add (&table, 3, 8, S);
  /* variance 4, so with 12 engines the error is sqrt (4 / 3) x sqrt (9 / 11) */
  load_samples_estimate_t estimate = load_samples_estimate_mean (&table, S, NULL, 12);
  CU_ASSERT_EQUAL (estimate.mean_milli, 6000);
  CU_ASSERT_EQUAL (estimate.margin_milli, 1044);
  CU_ASSERT_EQUAL (load_samples_estimate_mean (&table, S, NULL, 3).margin_milli, 0);
  load_samples_forget (&table, 2);
  load_samples_forget (&table, 3);
  CU_ASSERT_EQUAL (load_samples_estimate_mean (&table, S, NULL, 12).margin_milli, 4000);
}

/* Guards against an engine with far more load than the others raising its own bound: its load has
 * the weight of one engine of the service, and not that of one sample. */
static void
test_own_load_counts_once (void)
{
  load_samples_t table;
  load_samples_init (&table, 1);
  add (&table, 1, 50, S);
  add (&table, 2, 2, S);
  add (&table, 3, 2, S);
  load_sample_t own = sample (1, 100, S);
  load_samples_estimate_t estimate = load_samples_estimate_mean (&table, S, &own, 10);
  CU_ASSERT_EQUAL (estimate.count, 3);
  CU_ASSERT_EQUAL (estimate.mean_milli, 9 * 200 + 10000);
  own.load = 3;
  CU_ASSERT_EQUAL (load_samples_estimate_mean (&table, S + 10 * S, &own, 1).mean_milli, 3000);
  CU_ASSERT_EQUAL (load_samples_estimate_mean (&table, S + 10 * S, &own, 1).margin_milli, 0);
  CU_ASSERT_EQUAL (load_samples_estimate_mean (&table, S + 10 * S, &own, 4).mean_milli, 3000);
  CU_ASSERT_NOT_EQUAL (load_samples_estimate_mean (&table, S + 10 * S, &own, 4).margin_milli, 0);
}

static void
test_picked_samples_are_recent_and_random (void)
{
  load_samples_t table;
  load_samples_init (&table, 7);
  for (uint32_t i = 0; i < 40; i++)
    add (&table, i + 1, 1, S + i);
  uint32_t picked[41] = { 0 };
  for (uint32_t round = 0; round < 100; round++)
    {
      load_sample_t out[8];
      CU_ASSERT_EQUAL (load_samples_pick (&table, S + 50, out, 8), 8);
      for (uint32_t i = 0; i < 8; i++)
        {
          CU_ASSERT_TRUE (out[i].engine_hash > 40 - 16);
          picked[out[i].engine_hash]++;
          for (uint32_t j = 0; j < i; j++)
            CU_ASSERT_NOT_EQUAL (out[i].engine_hash, out[j].engine_hash);
        }
    }
  for (uint32_t i = 25; i <= 40; i++)
    CU_ASSERT_TRUE (picked[i] > 20);
  load_sample_t none[8];
  CU_ASSERT_EQUAL (load_samples_pick (&table, 10 * S, none, 8), 0);
}

static void
test_named_engines_are_at_or_below_the_mean (void)
{
  load_samples_t table;
  load_samples_init (&table, 7);
  for (uint32_t i = 1; i <= 10; i++)
    add (&table, i, i, S);
  uint32_t named[11] = { 0 };
  for (uint32_t round = 0; round < 100; round++)
    {
      uint64_t out[3];
      uint32_t count = load_samples_below_mean (&table, S, 2, out, 3);
      CU_ASSERT_EQUAL (count, 3);
      for (uint32_t i = 0; i < count; i++)
        named[out[i]]++;
    }
  CU_ASSERT_EQUAL (named[2], 0);
  for (uint32_t i = 1; i <= 5; i++)
    CU_ASSERT_TRUE (i == 2 || named[i] > 20);
  for (uint32_t i = 6; i <= 10; i++)
    CU_ASSERT_EQUAL (named[i], 0);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    SUITE_TEST (test_newest_sample_counts),
    SUITE_TEST (test_full_table_drops_oldest),
    SUITE_TEST (test_margin),
    SUITE_TEST (test_own_load_counts_once),
    SUITE_TEST (test_picked_samples_are_recent_and_random),
    SUITE_TEST (test_named_engines_are_at_or_below_the_mean),
    CU_TEST_INFO_NULL,
  };
  return suite_run ("load_samples", tests);
}
