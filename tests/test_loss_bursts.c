#include "request/policy/suspects/crash_record.h"
#include "request/policy/suspects/loss_bursts.h"
#include "suite.h"

#include <glib.h>

#define MS_US UINT64_C (1000)
#define START_US (UINT64_C (1000) * 1000 * MS_US)
#define SERVICE 5
#define IN_USE 10

/* Engines 1 to @count break off, a millisecond apart. */
static void
break_engines (loss_bursts_t *bursts, uint64_t first_us, uint64_t count)
{
  for (uint64_t engine = 1; engine <= count; engine++)
    loss_bursts_add (bursts, first_us + (engine - 1) * MS_US, SERVICE, engine, IN_USE);
}

/* Guards against parts that are blamed as all engines were killed at once. */
static void
test_most_engines_excuse (void)
{
  loss_bursts_t bursts = { 0 };

  break_engines (&bursts, START_US, IN_USE / 2);
  CU_ASSERT (!loss_bursts_excuse (&bursts, START_US, SERVICE, 1));
  break_engines (&bursts, START_US + MS_US, IN_USE);
  CU_ASSERT (loss_bursts_excuse (&bursts, START_US, SERVICE, 1));
  CU_ASSERT (loss_bursts_excuse (&bursts, START_US, SERVICE, IN_USE / 2));
}

/* Guards against a part that ends all engines, which then excuse it. */
static void
test_what_was_at_all_of_them_is_not_excused (void)
{
  loss_bursts_t bursts = { 0 };

  break_engines (&bursts, START_US, IN_USE);
  CU_ASSERT (!loss_bursts_excuse (&bursts, START_US, SERVICE, IN_USE));
  CU_ASSERT (!loss_bursts_excuse (&bursts, START_US, SERVICE, IN_USE / 2 + 1));
}

/* Guards against a part that is excused as another one ends a few engines at the same time. */
static void
test_few_engines_excuse_nothing (void)
{
  loss_bursts_t bursts = { 0 };

  for (uint64_t engine = 1; engine <= LOSS_BURSTS_ENGINES_MIN; engine++)
    loss_bursts_add (&bursts, START_US, SERVICE, engine, LOSS_BURSTS_ENGINES_MIN);
  CU_ASSERT (!loss_bursts_excuse (&bursts, START_US, SERVICE, 1));
  CU_ASSERT (loss_bursts_excuse (&bursts, START_US, SERVICE, 0));
}

static void
test_excuse_ends_with_its_time_and_service (void)
{
  loss_bursts_t bursts = { 0 };

  break_engines (&bursts, START_US, IN_USE);
  CU_ASSERT (!loss_bursts_excuse (&bursts, START_US - 1, SERVICE, 1));
  CU_ASSERT (!loss_bursts_excuse (&bursts, START_US + LOSS_BURSTS_SPAN_US, SERVICE, 1));
  CU_ASSERT (!loss_bursts_excuse (&bursts, START_US, SERVICE + 1, 1));
  loss_bursts_add (&bursts, START_US + LOSS_BURSTS_SPAN_US, SERVICE, 1, IN_USE);
  CU_ASSERT (!loss_bursts_excuse (&bursts, START_US + LOSS_BURSTS_SPAN_US, SERVICE, 0));
}

static void
test_services_do_not_displace_each_other (void)
{
  loss_bursts_t bursts = { 0 };

  break_engines (&bursts, START_US, IN_USE);
  for (uint64_t service = 100; service < 100 + LOSS_BURSTS_SERVICES - 1; service++)
    loss_bursts_add (&bursts, START_US + service, service, 1, IN_USE);
  CU_ASSERT (loss_bursts_excuse (&bursts, START_US, SERVICE, 1));
}

static crash_record_engine_t
get_ended_engine (uint64_t engine_hash, void *context)
{
  (void)engine_hash;
  (void)context;
  return (crash_record_engine_t){ .state = CRASH_RECORD_ENGINE_LISTED };
}

/* Guards against crashes that are told to other gateways before it shows that all engines were
 * killed. */
static void
test_crash_is_held_until_it_may_be_excused (void)
{
  crash_record_t *record = crash_record_new (&(crash_record_options_t){
      .limit = 64, .lifetime_us = START_US, .get_engine = get_ended_engine });
  crash_record_loss_t loss = { .fingerprint = 1,
                               .kind = CRASH_SUBJECT_PART,
                               .sent_us = START_US - MS_US,
                               .service_hash = SERVICE,
                               .engines_in_use = IN_USE };
  crash_mark_t mark;

  for (uint64_t engine = 1; engine <= IN_USE; engine++)
    {
      loss.fingerprint = loss.engine_hash = engine;
      crash_record_add_loss (record, START_US + engine * MS_US, &loss);
    }
  CU_ASSERT (!crash_record_take_owner_mark (record, START_US + IN_USE * MS_US, &mark));
  crash_record_review (record, START_US + 2 * IN_USE * MS_US, true);
  CU_ASSERT (crash_record_is_empty (record));
  loss.engine_hash = 100;
  loss.sent_us = START_US + 2 * LOSS_BURSTS_SPAN_US;
  CU_ASSERT_EQUAL (crash_record_add_loss (record, loss.sent_us + MS_US, &loss),
                   CRASH_RECORD_COUNTED);
  CU_ASSERT (
      crash_record_take_owner_mark (record, loss.sent_us + MS_US + CRASH_RECORD_HOLD_US, &mark));
  crash_record_free (record);
}

int
main (void)
{
  static const CU_TestInfo tests[] = { SUITE_TEST (test_most_engines_excuse),
                                       SUITE_TEST (test_what_was_at_all_of_them_is_not_excused),
                                       SUITE_TEST (test_few_engines_excuse_nothing),
                                       SUITE_TEST (test_excuse_ends_with_its_time_and_service),
                                       SUITE_TEST (test_services_do_not_displace_each_other),
                                       SUITE_TEST (test_crash_is_held_until_it_may_be_excused),
                                       CU_TEST_INFO_NULL };

  return suite_run ("loss_bursts", tests);
}
