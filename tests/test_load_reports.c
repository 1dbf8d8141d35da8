/* Unit tests of the reports of high engine loads that gateways pass on to each other. */
#include "request/policy/engines/engines.h"
#include "request/policy/load/load_reports.h"
#include "tests/suite.h"

#include <glib.h>

#define S_US (UINT64_C (1000) * 1000)
#define NOW_US (UINT64_C (1000) * S_US)

static void
test_loads_over_the_limit_are_passed_on (void)
{
  CU_ASSERT_FALSE (load_reports_is_high (8, 3000, 2, 3000));
  CU_ASSERT_TRUE (load_reports_is_high (9, 3000, 2, 3000));
  CU_ASSERT_FALSE (load_reports_is_high (0, 0, 2, 3000));
}

static void
test_latest_report_of_an_engine_counts (void)
{
  load_reports_t reports = { 0 };
  load_report_t out[LOAD_REPORTS_MAX];

  CU_ASSERT_TRUE (load_reports_add (&reports, NOW_US, &(load_report_t){ 1, 12, NOW_US - S_US }));
  CU_ASSERT_FALSE (
      load_reports_add (&reports, NOW_US, &(load_report_t){ 1, 30, NOW_US - 2 * S_US }));
  CU_ASSERT_TRUE (load_reports_add (&reports, NOW_US, &(load_report_t){ 1, 10, NOW_US }));
  CU_ASSERT_TRUE (load_reports_add (&reports, NOW_US, &(load_report_t){ 2, 20, NOW_US - S_US }));
  CU_ASSERT_FALSE (load_reports_add (&reports, NOW_US,
                                     &(load_report_t){ 3, 9, NOW_US - LOAD_REPORTS_AGE_MAX_US }));
  CU_ASSERT_EQUAL (load_reports_latest (&reports, NOW_US, out, LOAD_REPORTS_MAX), 2);
  CU_ASSERT (out[0].engine_hash == 1 && out[0].load == 10);
  CU_ASSERT (out[1].engine_hash == 2 && out[1].load == 20);
  CU_ASSERT_EQUAL (
      load_reports_latest (&reports, NOW_US + LOAD_REPORTS_AGE_MAX_US, out, LOAD_REPORTS_MAX), 0);
}

static void
test_number_of_reports_is_limited (void)
{
  load_reports_t reports = { 0 };
  load_report_t out[LOAD_REPORTS_MAX];

  for (uint64_t i = 1; i <= 3 * LOAD_REPORTS_MAX; i++)
    CU_ASSERT_TRUE (
        load_reports_add (&reports, NOW_US, &(load_report_t){ i, 12, NOW_US - 100 + i }));
  CU_ASSERT_EQUAL (load_reports_latest (&reports, NOW_US, out, 4), 4);
  CU_ASSERT_EQUAL (out[0].engine_hash, 3 * LOAD_REPORTS_MAX);
}

/* Guards against an engine that looks empty to a gateway that calls it seldom, although others have
 * reports of its load. */
static void
test_peer_report_counts_until_the_engine_reports (void)
{
  engines_t *engines = engines_new ();
  engine_entry_t entry = { .id = "e0", .service = g_intern_static_string ("pool"), .slots = 64 };
  engine_t *engine = engines_put (engines, NOW_US, &entry);

  engine_note_load (engine, NOW_US, &(engine_load_t){ .running = 2, .slots = 64 });
  engine_note_peer_load (engine, NOW_US - 1, 40);
  CU_ASSERT_EQUAL (engine_estimate_load (engine, NOW_US, 2000), 2);
  engine_note_peer_load (engine, NOW_US + 1, 40);
  CU_ASSERT (engine_estimate_load (engine, NOW_US + 1, 2000) >= 39);
  engine_note_load (engine, NOW_US + 2, &(engine_load_t){ .running = 3, .slots = 64 });
  CU_ASSERT_EQUAL (engine_estimate_load (engine, NOW_US + 2, 2000), 3);
  CU_ASSERT_PTR_EQUAL (engines_find_by_hash (engines, engine->hash), engine);
  CU_ASSERT_PTR_NULL (engines_find_by_hash (engines, engine->hash + 1));
  engines_free (engines);
}

/* Guards against subtracting requests from a peer's report that were not in it: they were sent
 * after it, or had ended. The engine then looks emptier or fuller than it is. */
static void
test_peer_report_is_reduced_by_own_requests_of_its_time (void)
{
  engines_t *engines = engines_new ();
  engine_entry_t entry = { .id = "e0", .service = g_intern_static_string ("pool"), .slots = 64 };
  engine_t *sent_after = engines_put (engines, NOW_US, &entry);
  engine_t *ended;

  g_strlcpy (entry.id, "e1", sizeof entry.id);
  ended = engines_put (engines, NOW_US, &entry);
  for (uint32_t i = 0; i < 4; i++)
    {
      engine_begin_request (sent_after, NOW_US + 1);
      engine_begin_request (ended, NOW_US - S_US);
    }
  for (uint32_t i = 0; i < 4; i++)
    engine_end_request (ended);
  engine_note_peer_load (sent_after, NOW_US, 12);
  engine_note_peer_load (ended, NOW_US, 12);
  CU_ASSERT_EQUAL (engine_estimate_load (sent_after, NOW_US, 0), 12 + 4);
  CU_ASSERT_EQUAL (engine_estimate_load (ended, NOW_US, 0), 12 - 4);
  for (uint32_t i = 0; i < 4; i++)
    engine_end_request (sent_after);
  engines_free (engines);
}

/* Passes @item on as a message does: with its age in milliseconds, received @delay_us later. */
static load_report_t
pass_on (const load_report_t *item, uint64_t sent_us, uint64_t delay_us)
{
  uint64_t age_ms = (sent_us - item->reported_us) / 1000;
  load_report_t received = *item;

  received.reported_us = sent_us + delay_us - age_ms * 1000;
  return received;
}

/* Guards against a gateway's own report that comes back from a peer, some microseconds younger,
 * and replaces the original: requests sent in between are then no longer counted. */
static void
test_own_report_is_not_replaced_by_its_echo (void)
{
  engines_t *engines = engines_new ();
  engine_entry_t entry = { .id = "e0", .service = g_intern_static_string ("pool"), .slots = 64 };
  engine_t *engine = engines_put (engines, NOW_US, &entry);
  load_reports_t own = { 0 };
  load_reports_t peer = { 0 };
  load_report_t item = { .engine_hash = engine->hash, .load = 12, .reported_us = NOW_US };
  uint64_t peer_us = NOW_US + 100 * 1000 + 300;
  uint64_t back_us = NOW_US + 200 * 1000 + 700;

  engine_note_load (engine, NOW_US, &(engine_load_t){ .running = 12, .slots = 64 });
  CU_ASSERT_TRUE (load_reports_add (&own, NOW_US, &item));
  for (uint32_t i = 0; i < 4; i++)
    engine_begin_request (engine, NOW_US + 1);
  item = pass_on (&item, peer_us, 200);
  CU_ASSERT_TRUE (load_reports_add (&peer, peer_us + 200, &item));
  item = pass_on (&item, back_us, 200);
  if (load_reports_add (&own, back_us + 200, &item))
    engine_note_peer_load (engine, item.reported_us, item.load);
  CU_ASSERT_EQUAL (engine_estimate_load (engine, NOW_US, 0), 12 + 4);
  for (uint32_t i = 0; i < 4; i++)
    engine_end_request (engine);
  engines_free (engines);
}

#define COPIES 5
#define ENGINES 12 /* below LOAD_REPORTS_MAX, so that no copy has to drop a report */
#define MESSAGES 64
#define STEPS 20000
#define HIGH_LOAD 20 /* passed on */

/**
 * struct message - reports on the way to a copy
 * @count: 0 when the slot is free
 */
typedef struct
{
  load_report_t items[LOAD_REPORTS_MAX];
  uint32_t count;
  uint32_t to;
} message_t;

/**
 * struct copies - gateways that exchange reports
 * @passed_us: the reference: the newest report to pass on of each engine that has reached each copy
 *   in time
 * @newest_us: likewise with the loads that are not passed on
 * @wrong: deviations from the reference
 */
typedef struct
{
  load_reports_t reports[COPIES];
  engines_t *engines[COPIES];
  engine_t *engine[COPIES][ENGINES];
  uint64_t passed_us[COPIES][ENGINES];
  uint64_t newest_us[COPIES][ENGINES];
  uint32_t wrong;
  message_t messages[MESSAGES];
  GRand *rand;
} copies_t;

static uint32_t
draw (copies_t *copies, uint32_t below)
{
  return (uint32_t)g_rand_int_range (copies->rand, 0, (gint32)below);
}

/* The load that an engine reports at a time, so that any copy of a report can be checked. */
static uint32_t
load_of (uint32_t engine, uint64_t at_us)
{
  return (uint32_t)((at_us / 1000 * 31 + engine * 17) % 40);
}

static uint32_t
index_of (const copies_t *copies, uint64_t hash)
{
  for (uint32_t i = 0; i < ENGINES; i++)
    if (copies->engine[0][i]->hash == hash)
      return i;
  g_assert_not_reached ();
}

static void
report_by_engine (copies_t *copies, uint64_t now_us)
{
  uint32_t to = draw (copies, COPIES);
  uint32_t engine = draw (copies, ENGINES);
  load_report_t item = { .engine_hash = copies->engine[to][engine]->hash,
                         .load = load_of (engine, now_us),
                         .reported_us = now_us };

  engine_note_load (copies->engine[to][engine], now_us,
                    &(engine_load_t){ .running = item.load, .slots = 64 });
  copies->newest_us[to][engine] = now_us;
  if (item.load < HIGH_LOAD)
    return;
  copies->wrong += load_reports_add (&copies->reports[to], now_us, &item) ? 0 : 1;
  copies->passed_us[to][engine] = now_us;
}

/* Sends a part of the reports of a copy, the oldest first in half of the messages. */
static void
send_message (copies_t *copies, uint64_t now_us)
{
  message_t *message = &copies->messages[draw (copies, MESSAGES)];
  uint32_t from = draw (copies, COPIES);
  uint32_t want = 1 + draw (copies, LOAD_REPORTS_MAX);

  message->to = draw (copies, COPIES);
  message->count = load_reports_latest (&copies->reports[from], now_us, message->items, want);
  if (draw (copies, 2) == 0)
    for (uint32_t i = 0; i < message->count / 2; i++)
      {
        load_report_t swap = message->items[i];

        message->items[i] = message->items[message->count - 1 - i];
        message->items[message->count - 1 - i] = swap;
      }
}

/* Delivers a message, which may be late or already received. */
static void
deliver_message (copies_t *copies, uint64_t now_us)
{
  const message_t *message = &copies->messages[draw (copies, MESSAGES)];

  for (uint32_t i = 0; i < message->count; i++)
    {
      const load_report_t *item = &message->items[i];
      uint32_t engine = index_of (copies, item->engine_hash);
      uint64_t *passed_us = &copies->passed_us[message->to][engine];
      uint64_t *newest_us = &copies->newest_us[message->to][engine];
      bool is_news =
          item->reported_us > *passed_us && now_us < item->reported_us + LOAD_REPORTS_AGE_MAX_US;

      copies->wrong +=
          load_reports_add (&copies->reports[message->to], now_us, item) == is_news ? 0 : 1;
      if (!is_news)
        continue;
      *passed_us = item->reported_us;
      *newest_us = MAX (*newest_us, item->reported_us);
      engine_note_peer_load (copies->engine[message->to][engine], item->reported_us, item->load);
    }
}

static void
check_copy (copies_t *copies, uint32_t copy, uint64_t now_us)
{
  load_report_t items[LOAD_REPORTS_MAX];
  uint32_t count = load_reports_latest (&copies->reports[copy], now_us, items, LOAD_REPORTS_MAX);
  uint32_t fresh = 0;

  for (uint32_t i = 0; i < ENGINES; i++)
    {
      uint64_t passed_us = copies->passed_us[copy][i];
      uint64_t newest_us = copies->newest_us[copy][i];

      fresh += passed_us != 0 && now_us < passed_us + LOAD_REPORTS_AGE_MAX_US ? 1 : 0;
      if (newest_us != 0 &&
          engine_estimate_load (copies->engine[copy][i], newest_us, 0) != load_of (i, newest_us))
        copies->wrong++;
    }
  copies->wrong += count == fresh ? 0 : 1;
  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t engine = index_of (copies, items[i].engine_hash);

      if (items[i].reported_us != copies->passed_us[copy][engine] ||
          items[i].load != load_of (engine, items[i].reported_us))
        copies->wrong++;
    }
}

static void
put_engines (copies_t *copies, uint32_t copy)
{
  engine_entry_t entry = { .service = g_intern_static_string ("pool"), .slots = 64 };

  copies->engines[copy] = engines_new ();
  for (uint32_t i = 0; i < ENGINES; i++)
    {
      g_snprintf (entry.id, sizeof entry.id, "e%u", i);
      copies->engine[copy][i] = engines_put (copies->engines[copy], NOW_US, &entry);
    }
}

/* Guards against reports that replace newer ones or get lost when messages come late, twice, in
 * part or in any order. */
static void
test_newest_report_counts_in_any_order_of_messages (void)
{
  for (uint32_t seed = 1; seed <= 5; seed++)
    {
      copies_t copies = { .rand = g_rand_new_with_seed (seed) };
      uint64_t now_us = NOW_US;

      for (uint32_t i = 0; i < COPIES; i++)
        put_engines (&copies, i);
      for (uint32_t step = 0; step < STEPS; step++)
        {
          uint32_t action = draw (&copies, 8);

          now_us += 1000 * (1 + draw (&copies, 20));
          if (action == 0)
            report_by_engine (&copies, now_us);
          else if (action < 4)
            send_message (&copies, now_us);
          else
            deliver_message (&copies, now_us);
          check_copy (&copies, draw (&copies, COPIES), now_us);
        }
      CU_ASSERT_EQUAL (copies.wrong, 0);
      for (uint32_t i = 0; i < COPIES; i++)
        engines_free (copies.engines[i]);
      g_rand_free (copies.rand);
    }
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    SUITE_TEST (test_loads_over_the_limit_are_passed_on),
    SUITE_TEST (test_latest_report_of_an_engine_counts),
    SUITE_TEST (test_number_of_reports_is_limited),
    SUITE_TEST (test_peer_report_counts_until_the_engine_reports),
    SUITE_TEST (test_peer_report_is_reduced_by_own_requests_of_its_time),
    SUITE_TEST (test_own_report_is_not_replaced_by_its_echo),
    SUITE_TEST (test_newest_report_counts_in_any_order_of_messages),
    CU_TEST_INFO_NULL,
  };

  return suite_run ("load_reports", tests);
}
