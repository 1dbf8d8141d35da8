#include "base/clock.h"
#include "process/exchange_mark.h"
#include "request/policy/suspects/answered_parts.h"
#include "request/policy/suspects/crash_record.h"
#include "suite.h"

#include <glib.h>
#include <string.h>

G_DEFINE_AUTOPTR_CLEANUP_FUNC (crash_record_t, crash_record_free)

#define MS_US UINT64_C (1000)
#define S_US UINT64_C (1000000)
#define START_US (UINT64_C (1000) * S_US)
#define LIFETIME_US (600 * S_US)
#define LIMIT 64
#define ENGINES 16
#define CULPRIT 7
#define OTHER 8

/** struct rig - what the registry and answers show of the engines, by hash */
typedef struct
{
  crash_record_engine_t engines[ENGINES];
} rig_t;

static crash_record_engine_t
get_engine (uint64_t engine_hash, void *context)
{
  const rig_t *rig = context;

  return rig->engines[engine_hash];
}

static crash_record_t *
new_record (rig_t *rig)
{
  return crash_record_new (&(crash_record_options_t){
      .limit = LIMIT, .lifetime_us = LIFETIME_US, .get_engine = get_engine, .context = rig });
}

/* A request that was sent to the engine @ago_us before is lost there. */
static crash_record_outcome_t
lose (
    crash_record_t *record, uint64_t now_us, uint64_t fingerprint, uint64_t engine, uint64_t ago_us)
{
  return crash_record_add_loss (record, now_us,
                                &(crash_record_loss_t){ .fingerprint = fingerprint,
                                                        .engine_hash = engine,
                                                        .sent_us = now_us - ago_us });
}

static void
end_engine (rig_t *rig, uint64_t engine)
{
  rig->engines[engine].state = CRASH_RECORD_ENGINE_ENDED;
}

/* The request ends three engines, 100 ms apart, each time sent after the one before had ended. */
static void
end_three (rig_t *rig, crash_record_t *record, uint64_t first_us)
{
  for (uint64_t engine = 1; engine <= CRASH_MARK_ENGINES; engine++)
    {
      CU_ASSERT_EQUAL (
          lose (record, first_us + engine * 100 * MS_US, CULPRIT, engine, 100 * MS_US - 1),
          CRASH_RECORD_COUNTED);
      end_engine (rig, engine);
    }
}

static void
test_first_crash_refuses_nothing (void)
{
  rig_t rig = { 0 };
  g_autoptr (crash_record_t) record = new_record (&rig);
  crash_mark_t mark;

  CU_ASSERT_EQUAL (lose (record, START_US, CULPRIT, 1, S_US), CRASH_RECORD_COUNTED);
  end_engine (&rig, 1);
  crash_record_review (record, START_US + S_US, true);
  CU_ASSERT_EQUAL (crash_record_count_crashes (record, CULPRIT), 1);
  CU_ASSERT_EQUAL (crash_record_check (record, START_US + S_US, CULPRIT), CRASH_RECORD_ALLOWED);
  CU_ASSERT (!crash_record_take_news (record, START_US + 60 * S_US));
  CU_ASSERT (crash_record_take_owner_mark (record, START_US, &mark));
  CU_ASSERT_EQUAL (mark.fingerprint, CULPRIT);
  CU_ASSERT_EQUAL (mark.engine_count, 1);
  CU_ASSERT (!crash_record_take_owner_mark (record, START_US, &mark));
}

/* Guards against a request that ends engines so fast that each end excuses the one before. */
static void
test_fast_series_of_crashes_is_refused (void)
{
  rig_t rig = { 0 };
  g_autoptr (crash_record_t) record = new_record (&rig);
  uint64_t now_us = START_US + S_US;

  CU_ASSERT_EQUAL (lose (record, START_US, CULPRIT, 1, 40 * MS_US), CRASH_RECORD_COUNTED);
  CU_ASSERT_EQUAL (lose (record, START_US + 60 * MS_US, CULPRIT, 2, 59 * MS_US),
                   CRASH_RECORD_COUNTED);
  CU_ASSERT (crash_record_take_news (record, START_US + 60 * S_US));
  CU_ASSERT_EQUAL (crash_record_check (record, START_US + 60 * MS_US, CULPRIT),
                   CRASH_RECORD_ON_TRIAL);
  CU_ASSERT_EQUAL (lose (record, START_US + 120 * MS_US, CULPRIT, 3, 59 * MS_US),
                   CRASH_RECORD_COUNTED);
  CU_ASSERT_EQUAL (crash_record_check (record, START_US + 120 * MS_US, CULPRIT),
                   CRASH_RECORD_PENDING);
  for (uint64_t engine = 1; engine <= 3; engine++)
    end_engine (&rig, engine);
  CU_ASSERT_EQUAL (crash_record_check (record, now_us, CULPRIT), CRASH_RECORD_REFUSED);
  CU_ASSERT_EQUAL (crash_record_check (record, now_us, OTHER), CRASH_RECORD_ALLOWED);
}

static void
test_all_requests_of_a_crash_count (void)
{
  rig_t rig = { 0 };
  g_autoptr (crash_record_t) record = new_record (&rig);

  for (uint64_t request = 1; request <= 3; request++)
    CU_ASSERT_EQUAL (lose (record, START_US + request, request, 1, S_US), CRASH_RECORD_COUNTED);
  end_engine (&rig, 1);
  crash_record_review (record, START_US + S_US, true);
  for (uint64_t request = 1; request <= 3; request++)
    CU_ASSERT_EQUAL (crash_record_count_crashes (record, request), 1);
}

/* Guards against crashes that are counted after lost answers of an engine that is stopped regularly
 * half a minute later. */
static void
test_lost_answer_is_no_crash (void)
{
  rig_t rig = { 0 };
  g_autoptr (crash_record_t) record = new_record (&rig);

  lose (record, START_US, CULPRIT, 1, S_US);
  lose (record, START_US + S_US, CULPRIT, 2, MS_US);
  rig.engines[2].sound_us = START_US + S_US + 1;
  crash_record_review (record, START_US + 2 * S_US, true);
  CU_ASSERT_EQUAL (crash_record_count_crashes (record, CULPRIT), 1);
  end_engine (&rig, 1);
  crash_record_review (record, START_US + 30 * S_US, true);
  CU_ASSERT_EQUAL (crash_record_count_crashes (record, CULPRIT), 0);
  CU_ASSERT (crash_record_is_empty (record));
}

/* Guards against requests that are refused after a rack has lost power under them. */
static void
test_rack_without_power_refuses_nothing (void)
{
  rig_t rig = { 0 };
  g_autoptr (crash_record_t) record = new_record (&rig);

  for (uint64_t request = 1; request <= 40; request++)
    lose (record, START_US + request, request, request % 8, S_US);
  /* those that were sent on, to an engine of the same rack */
  for (uint64_t request = 1; request <= 40; request++)
    lose (record, START_US + 30 * MS_US + request, request, (request + 1) % 8, 10 * MS_US);
  for (uint64_t engine = 0; engine < 8; engine++)
    end_engine (&rig, engine);
  crash_record_review (record, START_US + 2 * S_US, true);
  for (uint64_t request = 1; request <= 40; request++)
    {
      crash_record_verdict_t verdict = crash_record_check (record, START_US + 2 * S_US, request);

      CU_ASSERT (verdict == CRASH_RECORD_ALLOWED || verdict == CRASH_RECORD_ON_TRIAL);
      CU_ASSERT (crash_record_note_served (record, START_US + 2 * S_US, request));
      CU_ASSERT_EQUAL (crash_record_check (record, START_US + 2 * S_US, request),
                       CRASH_RECORD_ALLOWED);
    }
}

/* Guards against a request that many callers send alike, and that so runs at all engines when they
 * are killed at once. */
static void
test_kill_of_all_counts_once (void)
{
  rig_t rig = { 0 };
  g_autoptr (crash_record_t) record = new_record (&rig);

  for (uint64_t engine = 0; engine < ENGINES; engine++)
    {
      lose (record, START_US + engine * 10 * MS_US, CULPRIT, engine, S_US);
      end_engine (&rig, engine);
    }
  CU_ASSERT_EQUAL (crash_record_count_crashes (record, CULPRIT), 1);
  CU_ASSERT_EQUAL (crash_record_check (record, START_US + S_US, CULPRIT), CRASH_RECORD_ALLOWED);
}

/* Guards against a request that many callers send alike, which runs wherever an engine ends. */
static void
test_served_request_is_not_blamed (void)
{
  rig_t rig = { 0 };
  g_autoptr (crash_record_t) record = new_record (&rig);
  uint64_t now_us = START_US;

  for (uint64_t engine = 1; engine <= 6; engine++)
    {
      crash_record_note_served (record, now_us, CULPRIT);
      now_us += S_US;
      CU_ASSERT_EQUAL (lose (record, now_us, CULPRIT, engine, MS_US), CRASH_RECORD_SERVED);
      end_engine (&rig, engine);
    }
  CU_ASSERT_EQUAL (crash_record_check (record, now_us, CULPRIT), CRASH_RECORD_ALLOWED);
}

/* Guards against requests that are refused as their engines were replaced by a release. */
static void
test_leaving_engine_is_no_crash (void)
{
  rig_t rig = { 0 };
  g_autoptr (crash_record_t) record = new_record (&rig);

  for (uint64_t engine = 1; engine <= 6; engine++)
    {
      rig.engines[engine].state = CRASH_RECORD_ENGINE_LEAVING;
      CU_ASSERT_EQUAL (lose (record, START_US + engine * S_US, CULPRIT, engine, MS_US),
                       CRASH_RECORD_PLANNED);
      end_engine (&rig, engine);
    }
  CU_ASSERT_EQUAL (crash_record_check (record, START_US + 9 * S_US, CULPRIT), CRASH_RECORD_ALLOWED);
}

/* Guards against requests that stay refused after a cut that reset all connections to engines. */
static void
test_cut_refuses_nothing_for_good (void)
{
  rig_t rig = { 0 };
  g_autoptr (crash_record_t) record = new_record (&rig);

  for (uint64_t engine = 1; engine <= 4; engine++)
    lose (record, START_US + engine * S_US, CULPRIT, engine, MS_US);
  CU_ASSERT_EQUAL (crash_record_check (record, START_US + 4 * S_US, CULPRIT), CRASH_RECORD_PENDING);
  rig.engines[2].sound_us = START_US + 5 * S_US;
  CU_ASSERT_EQUAL (crash_record_check (record, START_US + 5 * S_US, CULPRIT),
                   CRASH_RECORD_ON_TRIAL);
  crash_record_review (record, START_US + 14 * S_US, true);
  CU_ASSERT_EQUAL (crash_record_check (record, START_US + 14 * S_US, CULPRIT),
                   CRASH_RECORD_ALLOWED);
}

/* Guards against crashes that are forgotten while the store is out and can't show that the engines
 * ended. */
static void
test_crashes_stay_while_the_store_is_out (void)
{
  rig_t rig = { 0 };
  g_autoptr (crash_record_t) record = new_record (&rig);
  uint64_t now_us = START_US;

  for (uint64_t engine = 1; engine <= 3; engine++)
    lose (record, START_US + engine * S_US, CULPRIT, engine, MS_US);
  for (; now_us < START_US + 60 * S_US; now_us += S_US)
    crash_record_review (record, now_us, false);
  CU_ASSERT_EQUAL (crash_record_check (record, now_us, CULPRIT), CRASH_RECORD_PENDING);
  for (uint64_t engine = 1; engine <= 3; engine++)
    end_engine (&rig, engine);
  crash_record_review (record, now_us + S_US, true);
  CU_ASSERT_EQUAL (crash_record_check (record, now_us + S_US, CULPRIT), CRASH_RECORD_REFUSED);
}

/* Guards against requests being refused as they ran beside one that ends engines, and against that
 * one being excused as they ended the same engines. */
static void
test_neighbours_excuse_nothing_and_are_cleared (void)
{
  rig_t rig = { 0 };
  g_autoptr (crash_record_t) record = new_record (&rig);

  for (uint64_t engine = 1; engine <= 2; engine++)
    {
      lose (record, START_US + engine * S_US - 1, OTHER, engine, MS_US);
      lose (record, START_US + engine * S_US, CULPRIT, engine, MS_US);
      end_engine (&rig, engine);
    }
  CU_ASSERT_EQUAL (crash_record_check (record, START_US + 2 * S_US, OTHER), CRASH_RECORD_ON_TRIAL);
  lose (record, START_US + 3 * S_US - 1, OTHER, 3, MS_US);
  CU_ASSERT_EQUAL (lose (record, START_US + 3 * S_US, CULPRIT, 3, MS_US), CRASH_RECORD_COUNTED);
  end_engine (&rig, 3);
  CU_ASSERT_EQUAL (crash_record_check (record, START_US + 3 * S_US, CULPRIT), CRASH_RECORD_REFUSED);
  CU_ASSERT (crash_record_note_served (record, START_US + 4 * S_US, OTHER));
  CU_ASSERT_EQUAL (crash_record_check (record, START_US + 4 * S_US, OTHER), CRASH_RECORD_ALLOWED);
  CU_ASSERT_EQUAL (crash_record_check (record, START_US + 4 * S_US, CULPRIT), CRASH_RECORD_REFUSED);
}

/* Guards against crashes that no gateway adds up, as each of them sees one. */
static void
test_owner_adds_up_crashes_of_all (void)
{
  rig_t rig = { 0 };
  g_autoptr (crash_record_t) owner = new_record (&rig);
  crash_mark_t mark;

  for (uint64_t engine = 1; engine <= 3; engine++)
    {
      uint64_t now_us = START_US + engine * 100 * MS_US;
      g_autoptr (crash_record_t) gateway = new_record (&rig);

      lose (gateway, now_us, CULPRIT, engine, 50 * MS_US);
      end_engine (&rig, engine);
      CU_ASSERT_FATAL (crash_record_take_owner_mark (gateway, now_us, &mark));
      CU_ASSERT (crash_record_merge (owner, now_us + MS_US, &mark));
      CU_ASSERT (!crash_record_merge (owner, now_us + 2 * MS_US, &mark));
    }
  CU_ASSERT (crash_record_take_news (owner, START_US + 60 * S_US));
  CU_ASSERT_EQUAL (crash_record_check (owner, START_US + S_US, CULPRIT), CRASH_RECORD_REFUSED);
}

/* Guards against a rack without power that counts as often as gateways have lost a request there
 * that many callers send alike. */
static void
test_crashes_of_one_cause_are_not_added_up (void)
{
  rig_t rig = { 0 };
  g_autoptr (crash_record_t) owner = new_record (&rig);
  crash_mark_t mark;

  for (uint64_t engine = 1; engine <= 5; engine++)
    {
      uint64_t now_us = START_US + engine * 20 * MS_US;
      g_autoptr (crash_record_t) gateway = new_record (&rig);

      lose (gateway, now_us, CULPRIT, engine, S_US);
      end_engine (&rig, engine);
      CU_ASSERT_FATAL (crash_record_take_owner_mark (gateway, now_us, &mark));
      crash_record_merge (owner, now_us + MS_US, &mark);
    }
  CU_ASSERT_EQUAL (crash_record_count_crashes (owner, CULPRIT), 1);
}

/* Guards against a harmless request that one gateway refuses to everyone, because it was told of
 * crashes and never serves it itself. */
static void
test_served_request_is_cleared_at_peers (void)
{
  rig_t rig = { 0 };
  g_autoptr (crash_record_t) one = new_record (&rig);
  g_autoptr (crash_record_t) two = new_record (&rig);
  crash_mark_t mark;

  end_three (&rig, one, START_US);
  CU_ASSERT_EQUAL (crash_record_take_marks (one, START_US + S_US, &mark, 2), 1);
  CU_ASSERT (crash_record_merge (two, START_US + S_US, &mark));
  CU_ASSERT_EQUAL (crash_record_check (two, START_US + S_US, CULPRIT), CRASH_RECORD_REFUSED);
  CU_ASSERT (crash_record_note_served (one, START_US + 2 * S_US, CULPRIT));
  CU_ASSERT_EQUAL (crash_record_take_marks (one, START_US + 2 * S_US, &mark, 2), 1);
  CU_ASSERT_EQUAL (mark.engine_count, 0);
  CU_ASSERT (crash_record_merge (two, START_US + 2 * S_US, &mark));
  CU_ASSERT_EQUAL (crash_record_check (two, START_US + 2 * S_US, CULPRIT), CRASH_RECORD_ALLOWED);
}

/* Guards against crashes that are forgotten because an earlier message, that the request was
 * served, arrives after them; and the other way round. */
static void
test_marks_count_in_the_order_of_their_times (void)
{
  rig_t rig = { 0 };
  g_autoptr (crash_record_t) record = new_record (&rig);
  crash_mark_t crashes = { CULPRIT, CRASH_SUBJECT_REQUEST, { 1, 2 }, 2, 0, 0, 0, false, false };
  crash_mark_t served = { .fingerprint = CULPRIT, .age_ms = 20 };

  CU_ASSERT (crash_record_merge (record, START_US, &crashes));
  CU_ASSERT (!crash_record_merge (record, START_US, &served));
  CU_ASSERT_EQUAL (crash_record_count_crashes (record, CULPRIT), 2);
  served.age_ms = 0;
  CU_ASSERT (crash_record_merge (record, START_US + MS_US, &served));
  crashes.age_ms = 10;
  CU_ASSERT (!crash_record_merge (record, START_US + 2 * MS_US, &crashes));
  CU_ASSERT_EQUAL (crash_record_count_crashes (record, CULPRIT), 0);
}

/* Guards against a gateway that is told of crashes by one that has just started, and knows that the
 * request is served. */
static void
test_mark_of_a_served_request_is_answered (void)
{
  rig_t rig = { 0 };
  g_autoptr (crash_record_t) record = new_record (&rig);
  crash_mark_t mark = { CULPRIT, CRASH_SUBJECT_REQUEST, { 1, 2, 3 }, 3, 0, 0, 0, false, false };

  crash_record_note_served (record, START_US, CULPRIT);
  CU_ASSERT (crash_record_merge (record, START_US + S_US, &mark));
  CU_ASSERT (crash_record_take_news (record, START_US + 60 * S_US));
  CU_ASSERT_EQUAL (crash_record_take_marks (record, START_US + S_US, &mark, 2), 1);
  CU_ASSERT_EQUAL (mark.engine_count, 0);
  CU_ASSERT_EQUAL (crash_record_check (record, START_US + S_US, CULPRIT), CRASH_RECORD_ALLOWED);
}

/* Guards against a gateway that has just started, and ends one engine after the other until it
 * knows what its peers have known for long. */
static void
test_mark_of_less_is_answered (void)
{
  rig_t rig = { 0 };
  g_autoptr (crash_record_t) record = new_record (&rig);
  crash_mark_t marks[2];
  crash_mark_t first = { CULPRIT, CRASH_SUBJECT_REQUEST, { 4 }, 1, 0, 100, 0, false, false };

  end_three (&rig, record, START_US);
  for (uint64_t engine = 1; engine <= 2; engine++)
    lose (record, START_US + engine * S_US, OTHER, engine + 8, MS_US);
  for (uint32_t i = 0; i < 2 * CRASH_RECORD_SENDS; i++)
    crash_record_take_marks (record, START_US + 3 * S_US, marks, 2);
  /* the other one is next in turn */
  do
    {
      CU_ASSERT_EQUAL_FATAL (crash_record_take_marks (record, START_US + 3 * S_US, marks, 2), 1);
    }
  while (marks[0].fingerprint != CULPRIT);
  crash_record_merge (record, START_US + 3 * S_US, &first);
  CU_ASSERT_EQUAL (crash_record_take_marks (record, START_US + 3 * S_US, marks, 2), 1);
  CU_ASSERT_EQUAL (marks[0].fingerprint, CULPRIT);
  CU_ASSERT_EQUAL (marks[0].engine_count, 3);
}

/* Guards against marks that crowd out each other: each change is sent a bounded number of times,
 * and what nobody changes is still told to gateways that start. */
static void
test_marks_are_sent_in_turn (void)
{
  rig_t rig = { 0 };
  g_autoptr (crash_record_t) record = new_record (&rig);
  uint32_t sent[4] = { 0 };
  crash_mark_t marks[2];

  for (uint64_t request = 0; request < 4; request++)
    for (uint64_t engine = 1; engine <= 3; engine++)
      lose (record, START_US + engine * S_US + request, request, engine + request * 3, MS_US);
  for (uint32_t i = 0; i < 4 * CRASH_RECORD_SENDS; i++)
    {
      CU_ASSERT_EQUAL (crash_record_take_marks (record, START_US + 4 * S_US, marks, 2), 1);
      CU_ASSERT_EQUAL (crash_mark_parts (&marks[0]), 2);
      sent[marks[0].fingerprint]++;
    }
  for (uint32_t request = 0; request < 4; request++)
    CU_ASSERT_EQUAL (sent[request], CRASH_RECORD_SENDS);
  CU_ASSERT_EQUAL (crash_record_take_marks (record, START_US + 4 * S_US, marks, 1), 0);
  for (uint32_t i = 0; i < 8; i++)
    {
      CU_ASSERT_EQUAL (crash_record_take_marks (record, START_US + 4 * S_US, marks, 2), 1);
      sent[marks[0].fingerprint]++;
    }
  for (uint32_t request = 0; request < 4; request++)
    CU_ASSERT_EQUAL (sent[request], CRASH_RECORD_SENDS + 2);
}

/* Guards against requests that had run for long being told before the one that has just begun. */
static void
test_owners_are_told_of_the_youngest_first (void)
{
  rig_t rig = { 0 };
  g_autoptr (crash_record_t) record = new_record (&rig);
  crash_mark_t mark;

  for (uint64_t request = 1; request <= 5; request++)
    crash_record_add_loss (record, START_US,
                           &(crash_record_loss_t){ .fingerprint = request,
                                                   .engine_hash = 1,
                                                   .sent_us = START_US - S_US,
                                                   .ran_us = (6 - request) * MS_US });
  CU_ASSERT (crash_record_take_owner_mark (record, START_US, &mark));
  CU_ASSERT_EQUAL (mark.fingerprint, 5);
  CU_ASSERT (crash_record_take_owner_mark (record, START_US, &mark));
  CU_ASSERT_EQUAL (mark.fingerprint, 4);
}

/* Guards against requests that are refused for good, or that fill the memory. */
static void
test_requests_are_forgotten (void)
{
  rig_t rig = { 0 };
  g_autoptr (crash_record_t) record = new_record (&rig);
  crash_mark_t old = {
    OTHER, CRASH_SUBJECT_REQUEST, { 1 }, 1, (uint32_t)(LIFETIME_US / MS_US) + 1, 0, 0, false, false
  };

  end_three (&rig, record, START_US);
  CU_ASSERT (!crash_record_merge (record, START_US + LIFETIME_US, &old));
  for (uint64_t request = 100; request < 100 + 2 * LIMIT; request++)
    lose (record, START_US + S_US + request, request, 4, MS_US);
  CU_ASSERT_EQUAL (crash_record_check (record, START_US + 2 * S_US, CULPRIT), CRASH_RECORD_REFUSED);
  CU_ASSERT_EQUAL (crash_record_count_crashes (record, 100), 0);
  CU_ASSERT_EQUAL (crash_record_count_crashes (record, 99 + 2 * LIMIT), 1);
  crash_record_review (record, START_US + LIFETIME_US + 2 * S_US, true);
  CU_ASSERT (crash_record_is_empty (record));
}

/* Guards against marks that never go, as two gateways renew each other's. */
static void
test_exchanged_marks_still_expire (void)
{
  rig_t rig = { 0 };
  g_autoptr (crash_record_t) one = new_record (&rig);
  g_autoptr (crash_record_t) two = new_record (&rig);
  uint64_t now_us = START_US + S_US;
  crash_mark_t mark;

  end_three (&rig, one, START_US);
  for (; now_us < START_US + 3 * LIFETIME_US; now_us += 7 * S_US + 777)
    {
      if (crash_record_take_marks (one, now_us, &mark, 2) == 1)
        crash_record_merge (two, now_us, &mark);
      if (crash_record_take_marks (two, now_us, &mark, 2) == 1)
        crash_record_merge (one, now_us, &mark);
      crash_record_review (one, now_us, true);
      crash_record_review (two, now_us, true);
    }
  CU_ASSERT (crash_record_is_empty (one));
  CU_ASSERT (crash_record_is_empty (two));
}

/* Guards against a mark of three engines that a message splits into two of fewer. */
static void
test_marks_pass_through_messages (void)
{
  xch_mark marks[XCH_MARKS] = { 0 };
  xch_word words[XCH_WORDS] = { 0 };

  for (uint32_t engines = 0; engines <= CRASH_MARK_ENGINES; engines++)
    {
      crash_mark_t sent = { .fingerprint = CULPRIT,
                            .engines = { 1, 2, 3 },
                            .engine_count = engines,
                            .age_ms = 20,
                            .sent_age_ms = engines > 0 ? 30 : UINT32_MAX };
      xch_message message = { .marks = { 0, marks }, .words = { 0, words } };
      crash_mark_t received;

      for (uint32_t i = engines; i < CRASH_MARK_ENGINES; i++)
        sent.engines[i] = 0;
      exchange_mark_write (&message, &sent);
      CU_ASSERT_EQUAL (message.marks.marks_len, crash_mark_parts (&sent));
      CU_ASSERT_EQUAL (exchange_mark_read (&message, 0, &received), message.marks.marks_len);
      CU_ASSERT_EQUAL (received.engine_count, engines);
      CU_ASSERT_EQUAL (memcmp (received.engines, sent.engines, sizeof sent.engines), 0);
      CU_ASSERT_EQUAL (received.fingerprint, CULPRIT);
      CU_ASSERT_EQUAL (received.age_ms, 20);
      CU_ASSERT_EQUAL (received.sent_age_ms, sent.sent_age_ms);
    }
}

/* A request with the part is lost at the engine; it was sent there @ago_us before. */
static crash_record_outcome_t
lose_part (crash_record_t *record, uint64_t now_us, uint64_t engine, uint64_t ago_us)
{
  return crash_record_add_loss (record, now_us,
                                &(crash_record_loss_t){ .fingerprint = CULPRIT,
                                                        .kind = CRASH_SUBJECT_PART,
                                                        .engine_hash = engine,
                                                        .sent_us = now_us - ago_us });
}

/* Return: the time of the last crash */
static uint64_t
end_three_with_part (rig_t *rig, crash_record_t *record)
{
  uint64_t now_us = START_US;

  for (uint64_t engine = 1; engine <= CRASH_MARK_ENGINES; engine++)
    {
      now_us = START_US + engine * 100 * MS_US;
      CU_ASSERT_EQUAL (lose_part (record, now_us, engine, 100 * MS_US - 1), CRASH_RECORD_COUNTED);
      end_engine (rig, engine);
    }
  CU_ASSERT_EQUAL (crash_record_check (record, now_us, CULPRIT), CRASH_RECORD_ON_TRIAL);
  CU_ASSERT (crash_record_needs_confirmation (record, CULPRIT));
  crash_record_confirm (record, CULPRIT);
  CU_ASSERT (!crash_record_needs_confirmation (record, CULPRIT));
  CU_ASSERT_EQUAL (crash_record_check (record, now_us, CULPRIT), CRASH_RECORD_REFUSED);
  return now_us;
}

/* Guards against a part that begins to end engines and passes as served for long. */
static void
test_part_is_blamed_sooner_than_a_request (void)
{
  rig_t rig = { 0 };
  g_autoptr (crash_record_t) record = new_record (&rig);

  crash_record_note_served (record, START_US, CULPRIT);
  CU_ASSERT_EQUAL (lose_part (record, START_US + S_US, 1, MS_US), CRASH_RECORD_SERVED);
  CU_ASSERT_EQUAL (lose (record, START_US + 3 * S_US, CULPRIT, 1, MS_US), CRASH_RECORD_SERVED);
  CU_ASSERT_EQUAL (lose_part (record, START_US + 3 * S_US, 1, MS_US), CRASH_RECORD_COUNTED);
}

/* Guards against a part that is refused for good, as nobody may show that it ends no engine. */
static void
test_refused_part_is_tried_again_ever_later (void)
{
  static const uint64_t waits_s[] = { 4, 20, 120, 300, 300 };
  rig_t rig = { 0 };
  g_autoptr (crash_record_t) record = new_record (&rig);
  uint64_t last_us = end_three_with_part (&rig, record);

  for (uint32_t i = 0; i < G_N_ELEMENTS (waits_s); i++)
    {
      uint64_t due_us = last_us + waits_s[i] * S_US;

      CU_ASSERT (!crash_record_is_retrial_due (record, due_us - 1, CULPRIT));
      CU_ASSERT (crash_record_is_retrial_due (record, due_us, CULPRIT));
      crash_record_review (record, due_us, true);
      CU_ASSERT_EQUAL (lose_part (record, due_us, 4 + i, MS_US), CRASH_RECORD_KNOWN);
      end_engine (&rig, 4 + i);
      CU_ASSERT_EQUAL (crash_record_check (record, due_us, CULPRIT), CRASH_RECORD_REFUSED);
      last_us = due_us;
    }
  CU_ASSERT (crash_record_note_served (record, last_us + S_US, CULPRIT));
  CU_ASSERT_EQUAL (crash_record_check (record, last_us + S_US, CULPRIT), CRASH_RECORD_ALLOWED);
  CU_ASSERT (crash_record_take_news (record, last_us + S_US));
}

/* Guards against a part that stays refused as its retrial met a reset connection of an engine that
 * lives. */
static void
test_retrial_at_a_living_engine_is_repeated (void)
{
  rig_t rig = { 0 };
  g_autoptr (crash_record_t) record = new_record (&rig);
  uint64_t due_us = end_three_with_part (&rig, record) + CRASH_RECORD_RETRIAL_MIN_US;

  lose_part (record, due_us, 4, MS_US);
  CU_ASSERT (!crash_record_is_retrial_due (record, due_us + S_US, CULPRIT));
  rig.engines[4].sound_us = due_us + S_US;
  crash_record_review (record, due_us + S_US, true);
  CU_ASSERT (crash_record_is_retrial_due (record, due_us + S_US, CULPRIT));
}

/* Guards against gateways that each wait for an answer without the part before they refuse it. */
static void
test_peers_adopt_a_confirmation (void)
{
  rig_t rig = { 0 };
  g_autoptr (crash_record_t) record = new_record (&rig);
  g_autoptr (crash_record_t) other = new_record (&rig);
  uint64_t now_us = end_three_with_part (&rig, record);
  crash_mark_t mark;

  CU_ASSERT_EQUAL (crash_record_take_marks (record, now_us, &mark, 2), 1);
  mark.confirmed = false;
  CU_ASSERT (crash_record_merge (other, now_us, &mark));
  CU_ASSERT_EQUAL (crash_record_check (other, now_us, CULPRIT), CRASH_RECORD_ON_TRIAL);
  mark.confirmed = true;
  CU_ASSERT (crash_record_merge (other, now_us, &mark));
  CU_ASSERT (!crash_record_merge (other, now_us, &mark));
  CU_ASSERT_EQUAL (crash_record_check (other, now_us, CULPRIT), CRASH_RECORD_REFUSED);
  crash_record_note_served (other, now_us + S_US, CULPRIT);
  CU_ASSERT_EQUAL (crash_record_check (other, now_us + S_US, CULPRIT), CRASH_RECORD_ALLOWED);
}

/* Guards against requests that are blamed for an engine that had ended before they came. */
static void
test_engine_that_is_down_ends_no_more (void)
{
  rig_t rig = { 0 };
  g_autoptr (crash_record_t) record = new_record (&rig);

  rig.engines[1].broke_us = START_US;
  CU_ASSERT_EQUAL (lose (record, START_US + S_US, CULPRIT, 1, S_US / 2), CRASH_RECORD_DOWN);
  CU_ASSERT_EQUAL (lose (record, START_US + S_US, CULPRIT, 1, 2 * S_US), CRASH_RECORD_COUNTED);
  rig.engines[2].broke_us = START_US;
  rig.engines[2].sound_us = START_US + 1;
  CU_ASSERT_EQUAL (lose (record, START_US + 3 * S_US, CULPRIT, 2, S_US / 2), CRASH_RECORD_COUNTED);
}

/* Guards against the first part of all requests being refused, when engines end for another reason.
 */
static void
test_part_of_all_answers_is_not_to_blame (void)
{
  answered_parts_t answered = { 0 };
  crash_subject_t subjects[] = { { OTHER, CRASH_SUBJECT_REQUEST },
                                 { CULPRIT, CRASH_SUBJECT_PART },
                                 { 100, CRASH_SUBJECT_PART } };

  CU_ASSERT (!answered_parts_lack (&answered, CULPRIT));
  for (uint32_t i = 0; i < 2 * ANSWERED_PARTS_ANSWERS; i++)
    {
      subjects[2].fingerprint++;
      answered_parts_add (&answered, subjects, G_N_ELEMENTS (subjects));
    }
  CU_ASSERT (!answered_parts_lack (&answered, CULPRIT));
  CU_ASSERT (answered_parts_lack (&answered, 101));
  answered_parts_add (&answered, subjects, 1);
  CU_ASSERT (answered_parts_lack (&answered, CULPRIT));
}

/* Guards against a part that stays on trial for ever, as all prompts of its service are long. */
static void
test_answers_to_long_prompts_count (void)
{
  answered_parts_t answered = { 0 };
  crash_subject_t subjects[400] = { { OTHER, CRASH_SUBJECT_REQUEST } };

  for (uint32_t i = 1; i < G_N_ELEMENTS (subjects); i++)
    subjects[i] = (crash_subject_t){ 100 + i, CRASH_SUBJECT_PART };
  answered_parts_add (&answered, subjects, G_N_ELEMENTS (subjects));
  CU_ASSERT (answered_parts_lack (&answered, 99));
  CU_ASSERT (!answered_parts_lack (&answered, 101) && !answered_parts_lack (&answered, 499));
}

/* Guards against a part that is forgotten among those of the long prompts that its engine took with
 * it. */
static void
test_part_that_has_just_begun_is_kept (void)
{
  rig_t rig = { 0 };
  g_autoptr (crash_record_t) record = new_record (&rig);
  crash_record_loss_t loss = { .fingerprint = CULPRIT,
                               .kind = CRASH_SUBJECT_PART,
                               .engine_hash = 1,
                               .sent_us = START_US - 1,
                               .request = 7 };

  crash_record_add_loss (record, START_US, &loss);
  loss.request = 8;
  loss.ran_us = S_US;
  for (uint32_t i = 0; i < 10 * LIMIT; i++)
    {
      loss.fingerprint = CULPRIT + 1 + i;
      crash_record_add_loss (record, START_US + 1, &loss);
    }
  CU_ASSERT_EQUAL (crash_record_count_crashes (record, CULPRIT), 1);
}

/* Guards against a request that is sent again because parts are. */
static void
test_refused_request_is_not_tried_again (void)
{
  rig_t rig = { 0 };
  g_autoptr (crash_record_t) record = new_record (&rig);

  end_three (&rig, record, START_US);
  CU_ASSERT (!crash_record_is_retrial_due (record, START_US + LIFETIME_US / 2, CULPRIT));
}

/* Guards against a second try by a gateway that takes the place of the one that made the first. */
static void
test_peers_learn_of_a_failed_retrial (void)
{
  rig_t rig = { 0 };
  g_autoptr (crash_record_t) owner = new_record (&rig);
  g_autoptr (crash_record_t) other = new_record (&rig);
  uint64_t due_us = end_three_with_part (&rig, owner) + CRASH_RECORD_RETRIAL_MIN_US;
  crash_mark_t mark;

  CU_ASSERT_EQUAL (crash_record_take_marks (owner, START_US + S_US, &mark, 2), 1);
  crash_record_merge (other, START_US + S_US, &mark);
  lose_part (owner, due_us, 4, MS_US);
  end_engine (&rig, 4);
  crash_record_review (owner, due_us + MS_US, true);
  CU_ASSERT (crash_record_is_retrial_due (other, due_us + S_US, CULPRIT));
  CU_ASSERT_EQUAL (crash_record_take_marks (owner, due_us + S_US, &mark, 2), 1);
  crash_record_merge (other, due_us + S_US, &mark);
  CU_ASSERT (!crash_record_is_retrial_due (other, due_us + S_US, CULPRIT));
}

#define SETTLED_US CRASH_RECORD_CLAIM_SETTLE_US

static crash_record_claim_t
claim (crash_record_t *record, uint64_t now_us, uint64_t request)
{
  return crash_record_claim_retrial (
      record, now_us,
      &(crash_record_candidate_t){
          .fingerprint = CULPRIT, .request = request, .gateway_hash = 1, .gateways = 1 });
}

static void
tell (crash_record_t *from, crash_record_t *to, uint64_t now_us)
{
  crash_mark_t mark;

  CU_ASSERT_EQUAL (crash_record_take_marks (from, now_us, &mark, 2), 1);
  crash_record_merge (to, now_us, &mark);
}

/* Guards against a retrial at each gateway that gets a request with the part at the same time. */
static void
test_one_of_two_claims_counts (void)
{
  rig_t rig = { 0 };
  g_autoptr (crash_record_t) record = new_record (&rig);
  g_autoptr (crash_record_t) other = new_record (&rig);
  uint64_t due_us = end_three_with_part (&rig, record) + CRASH_RECORD_RETRIAL_MIN_US;

  tell (record, other, due_us - S_US);
  CU_ASSERT_EQUAL (claim (record, due_us - 1, 7), CRASH_RECORD_CLAIM_NONE);
  CU_ASSERT_EQUAL (claim (record, due_us, 7), CRASH_RECORD_CLAIM_WAIT);
  CU_ASSERT_EQUAL (claim (other, due_us + S_US / 2, 5), CRASH_RECORD_CLAIM_WAIT);
  tell (record, other, due_us + S_US / 2);
  CU_ASSERT_EQUAL (claim (other, due_us + S_US / 2 + SETTLED_US, 5), CRASH_RECORD_CLAIM_SEND);
  CU_ASSERT_EQUAL (claim (record, due_us + SETTLED_US - 1, 7), CRASH_RECORD_CLAIM_WAIT);
  tell (other, record, due_us + SETTLED_US - 1);
  CU_ASSERT_EQUAL (claim (record, due_us + SETTLED_US, 7), CRASH_RECORD_CLAIM_WAIT);
  CU_ASSERT_EQUAL (claim (record, due_us + SETTLED_US, 9), CRASH_RECORD_CLAIM_WAIT);
}

/* Guards against requests that wait for a retrial which has ended an engine already. */
static void
test_claim_ends_with_a_crash (void)
{
  rig_t rig = { 0 };
  g_autoptr (crash_record_t) record = new_record (&rig);
  uint64_t due_us = end_three_with_part (&rig, record) + CRASH_RECORD_RETRIAL_MIN_US;

  claim (record, due_us, 7);
  CU_ASSERT_EQUAL (claim (record, due_us + SETTLED_US, 7), CRASH_RECORD_CLAIM_SEND);
  lose_part (record, due_us + SETTLED_US, 4, MS_US);
  CU_ASSERT_EQUAL (claim (record, due_us + SETTLED_US, 8), CRASH_RECORD_CLAIM_NONE);
}

/* Guards against a sound part that is tried together with the one to blame. */
static void
test_request_with_several_refused_parts_comes_later (void)
{
  rig_t rig = { 0 };
  g_autoptr (crash_record_t) record = new_record (&rig);
  uint64_t due_us = end_three_with_part (&rig, record) + CRASH_RECORD_RETRIAL_MIN_US;
  crash_record_candidate_t candidate = {
    .fingerprint = CULPRIT, .request = 7, .others = 1, .gateway_hash = 1, .gateways = 1
  };

  CU_ASSERT_EQUAL (crash_record_claim_retrial (record, due_us, &candidate),
                   CRASH_RECORD_CLAIM_NONE);
  candidate.others = 0;
  CU_ASSERT_EQUAL (crash_record_claim_retrial (record, due_us, &candidate),
                   CRASH_RECORD_CLAIM_WAIT);
}

/* Guards against the claims of all gateways exceeding the budget of their messages. */
static void
test_few_gateways_may_claim_at_first (void)
{
  rig_t rig = { 0 };
  uint32_t counts[] = { 0, 0, 0 };

  for (uint64_t gateway = 1; gateway <= 1024; gateway++)
    for (uint32_t i = 0; i < G_N_ELEMENTS (counts); i++)
      {
        g_autoptr (crash_record_t) record = new_record (&rig);
        uint64_t due_us = end_three_with_part (&rig, record) + CRASH_RECORD_RETRIAL_MIN_US;
        crash_record_candidate_t candidate = {
          .fingerprint = CULPRIT, .request = 7, .gateway_hash = gateway, .gateways = 1024
        };

        if (crash_record_claim_retrial (record, due_us + i * 5 * CRASH_RECORD_CLAIM_STEP_US,
                                        &candidate) == CRASH_RECORD_CLAIM_WAIT)
          counts[i]++;
      }
  CU_ASSERT (counts[0] <= 8);
  CU_ASSERT (counts[1] >= 16 && counts[1] <= 64);
  CU_ASSERT_EQUAL (counts[2], 1024);
}

/* Guards against the part to blame waiting behind its many neighbours. */
static void
test_refused_goes_before_trials (void)
{
  rig_t rig = { 0 };
  g_autoptr (crash_record_t) record = new_record (&rig);
  crash_mark_t mark;

  for (uint64_t request = 100; request < 120; request++)
    for (uint64_t engine = 1; engine <= 2; engine++)
      lose (record, START_US + engine * S_US, request, engine, MS_US);
  for (uint64_t engine = 1; engine <= 3; engine++)
    lose_part (record, START_US + engine * S_US, engine, MS_US);
  CU_ASSERT_EQUAL (crash_record_take_marks (record, START_US + 4 * S_US, &mark, 2), 1);
  CU_ASSERT_EQUAL (mark.fingerprint, CULPRIT);
  CU_ASSERT_EQUAL (mark.kind, CRASH_SUBJECT_PART);
}

/* Guards against a build without parts that takes the mark of one for that of a request. */
static void
test_mark_of_a_part_looks_outdated_to_older_builds (void)
{
  xch_mark marks[XCH_MARKS] = { 0 };
  xch_word words[XCH_WORDS] = { 0 };
  crash_mark_t sent = { CULPRIT, CRASH_SUBJECT_PART, { 1, 2, 3 }, 3, 20, 30, 40, true, true };
  xch_message message = { .marks = { 0, marks }, .words = { 0, words } };
  crash_mark_t received;

  exchange_mark_write (&message, &sent);
  CU_ASSERT (marks[0].age_ms * MS_US > LIFETIME_US);
  CU_ASSERT_EQUAL (exchange_mark_read (&message, 0, &received), 2);
  CU_ASSERT_EQUAL (received.kind, CRASH_SUBJECT_PART);
  CU_ASSERT_EQUAL (received.age_ms, 20);
  CU_ASSERT_EQUAL (received.engine_count, 3);
  CU_ASSERT_EQUAL (received.request, 40);
  CU_ASSERT (received.confirmed);
  CU_ASSERT (received.claimed);
}

/* Guards against the parts of a request that ends engines again and again being refused for it. */
static void
test_part_is_not_refused_for_one_request (void)
{
  rig_t rig = { 0 };
  g_autoptr (crash_record_t) record = new_record (&rig);
  g_autoptr (crash_record_t) other = new_record (&rig);
  crash_record_loss_t loss = { .fingerprint = CULPRIT,
                               .kind = CRASH_SUBJECT_PART,
                               .request = OTHER };
  crash_mark_t mark = { CULPRIT, CRASH_SUBJECT_PART, { 9 }, 1, 0, 1, OTHER, false, false };

  for (uint64_t engine = 1; engine <= 4; engine++)
    {
      loss.engine_hash = engine;
      loss.sent_us = START_US + engine * S_US - MS_US;
      CU_ASSERT_EQUAL (crash_record_add_loss (record, START_US + engine * S_US, &loss),
                       engine <= 2 ? CRASH_RECORD_COUNTED : CRASH_RECORD_KNOWN);
    }
  CU_ASSERT (!crash_record_merge (record, START_US + 6 * S_US, &mark));
  crash_record_merge (other, START_US + 6 * S_US, &mark);
  CU_ASSERT_EQUAL (crash_record_take_marks (record, START_US + 7 * S_US, &mark, 2), 1);
  crash_record_merge (other, START_US + 7 * S_US, &mark);
  CU_ASSERT_EQUAL (crash_record_count_crashes (other, CULPRIT), 2);
  loss.request = OTHER + 1;
  loss.engine_hash = 5;
  loss.sent_us = START_US + 8 * S_US - MS_US;
  CU_ASSERT_EQUAL (crash_record_add_loss (record, START_US + 8 * S_US, &loss),
                   CRASH_RECORD_COUNTED);
  CU_ASSERT_EQUAL (crash_record_add_loss (other, START_US + 8 * S_US, &loss), CRASH_RECORD_COUNTED);
  CU_ASSERT_EQUAL (crash_record_count_crashes (other, CULPRIT), 3);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    SUITE_TEST (test_first_crash_refuses_nothing),
    SUITE_TEST (test_fast_series_of_crashes_is_refused),
    SUITE_TEST (test_all_requests_of_a_crash_count),
    SUITE_TEST (test_lost_answer_is_no_crash),
    SUITE_TEST (test_rack_without_power_refuses_nothing),
    SUITE_TEST (test_kill_of_all_counts_once),
    SUITE_TEST (test_served_request_is_not_blamed),
    SUITE_TEST (test_leaving_engine_is_no_crash),
    SUITE_TEST (test_cut_refuses_nothing_for_good),
    SUITE_TEST (test_crashes_stay_while_the_store_is_out),
    SUITE_TEST (test_neighbours_excuse_nothing_and_are_cleared),
    SUITE_TEST (test_owner_adds_up_crashes_of_all),
    SUITE_TEST (test_crashes_of_one_cause_are_not_added_up),
    SUITE_TEST (test_served_request_is_cleared_at_peers),
    SUITE_TEST (test_marks_count_in_the_order_of_their_times),
    SUITE_TEST (test_mark_of_a_served_request_is_answered),
    SUITE_TEST (test_mark_of_less_is_answered),
    SUITE_TEST (test_marks_are_sent_in_turn),
    SUITE_TEST (test_owners_are_told_of_the_youngest_first),
    SUITE_TEST (test_requests_are_forgotten),
    SUITE_TEST (test_exchanged_marks_still_expire),
    SUITE_TEST (test_marks_pass_through_messages),
    SUITE_TEST (test_part_is_blamed_sooner_than_a_request),
    SUITE_TEST (test_refused_part_is_tried_again_ever_later),
    SUITE_TEST (test_refused_request_is_not_tried_again),
    SUITE_TEST (test_retrial_at_a_living_engine_is_repeated),
    SUITE_TEST (test_peers_adopt_a_confirmation),
    SUITE_TEST (test_part_of_all_answers_is_not_to_blame),
    SUITE_TEST (test_answers_to_long_prompts_count),
    SUITE_TEST (test_part_that_has_just_begun_is_kept),
    SUITE_TEST (test_engine_that_is_down_ends_no_more),
    SUITE_TEST (test_peers_learn_of_a_failed_retrial),
    SUITE_TEST (test_one_of_two_claims_counts),
    SUITE_TEST (test_claim_ends_with_a_crash),
    SUITE_TEST (test_request_with_several_refused_parts_comes_later),
    SUITE_TEST (test_few_gateways_may_claim_at_first),
    SUITE_TEST (test_refused_goes_before_trials),
    SUITE_TEST (test_part_is_not_refused_for_one_request),
    SUITE_TEST (test_mark_of_a_part_looks_outdated_to_older_builds),
    CU_TEST_INFO_NULL
  };

  return suite_run ("crash_record", tests);
}
