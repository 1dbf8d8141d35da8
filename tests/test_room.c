/* Unit tests of the decisions for plain services whose few slots many gateways share. */
#include "base/clock.h"
#include "request/policy/placement/engine_choice.h"
#include "request/policy/room/room_choice.h"
#include "suite.h"

#include <glib.h>

G_DEFINE_AUTOPTR_CLEANUP_FUNC (room_share_t, room_share_free)
G_DEFINE_AUTOPTR_CLEANUP_FUNC (engines_t, engines_free)

#define START_US (UINT64_C (100) * CLOCK_US_PER_S)
#define SLOTS 6
#define DRAWS 1000
#define MILLI 1000

static const char *
service (void)
{
  return g_intern_static_string ("slots");
}

static engines_t *
make_engines (uint32_t count)
{
  engines_t *engines = engines_new ();

  for (uint32_t i = 0; i < count; i++)
    {
      engine_entry_t entry = { .service = service (), .slots = SLOTS, .state = ENGINE_READY };

      g_snprintf (entry.id, sizeof entry.id, "engine-%u", i);
      g_snprintf (entry.data_center, sizeof entry.data_center, "hall-%u", i);
      engines_put (engines, START_US, &entry);
    }
  engines_set_complete (engines);
  return engines;
}

static engine_t *
engine_at (const engines_t *engines, guint index)
{
  return g_ptr_array_index (engines_of_service (engines, service ()), index);
}

static engine_choice_request_t
make_request (void)
{
  return (engine_choice_request_t){ .own_data_center = "hall-9",
                                    .gateways = 385,
                                    .slot_time_us = 15 * CLOCK_US_PER_MS,
                                    .usual_head_us = 15 * CLOCK_US_PER_MS,
                                    .shared_room = true };
}

/* Return: how many of DRAWS requests go to the engine @index */
static uint32_t
count_sent (const engines_t *engines, uint64_t now_us, guint index)
{
  uint32_t count = 0;

  for (uint32_t draw = 0; draw < DRAWS; draw++)
    {
      engine_choice_request_t request = make_request ();

      request.room_draw = draw;
      count +=
          engine_choice_make (engines_of_service (engines, service ()), now_us, &request).engine ==
                  engine_at (engines, index)
              ? 1
              : 0;
    }
  return count;
}

static void
report (engine_t *engine, uint64_t now_us, uint32_t running, uint32_t waiting)
{
  engine_note_load (engine, now_us,
                    &(engine_load_t){ .running = running, .waiting = waiting, .slots = SLOTS });
}

static void
unload (const engines_t *engines)
{
  const GPtrArray *list = engines_of_service (engines, service ());

  for (guint i = 0; i < list->len; i++)
    while (engine_at (engines, i)->own_requests > 0)
      engine_end_request (engine_at (engines, i));
}

/* Guards against an engine that gets all requests of all gateways because nothing is known of it.
 */
static void
test_an_unknown_engine_is_not_empty (void)
{
  g_autoptr (engines_t) engines = make_engines (4);

  for (guint i = 1; i < 4; i++)
    report (engine_at (engines, i), START_US, 3, 0);
  CU_ASSERT (count_sent (engines, START_US, 0) < DRAWS / 2);
  /* Old reports of the others don't make it better or worse than they are. */
  CU_ASSERT (count_sent (engines, START_US + 10 * CLOCK_US_PER_S, 0) < DRAWS / 2);
  CU_ASSERT (count_sent (engines, START_US + 10 * CLOCK_US_PER_S, 0) > DRAWS / 8);
}

/* Guards against a gateway that sends nothing after a burst, as it still expects the queues that
 * were reported last and gets no reports as it sends nothing. */
static void
test_an_old_queue_does_not_hold_requests (void)
{
  g_autoptr (engines_t) engines = make_engines (4);
  engine_choice_request_t request = make_request ();
  const GPtrArray *list = engines_of_service (engines, service ());

  request.target_us = START_US + 120 * CLOCK_US_PER_MS;
  for (guint i = 0; i < 4; i++)
    report (engine_at (engines, i), START_US, SLOTS, 10 * SLOTS);
  CU_ASSERT_EQUAL (engine_choice_make (list, START_US, &request).action, ENGINE_CHOICE_WAIT);
  request.target_us = START_US + 1120 * CLOCK_US_PER_MS;
  CU_ASSERT_EQUAL (engine_choice_make (list, START_US + CLOCK_US_PER_S, &request).action,
                   ENGINE_CHOICE_SEND);
}

/* Guards against refusals by an engine to which one gateway sends more than its slots. */
static void
test_a_gateway_sends_no_more_than_the_slots (void)
{
  g_autoptr (engines_t) engines = make_engines (2);
  const GPtrArray *list = engines_of_service (engines, service ());
  engine_choice_request_t request = make_request ();
  engine_t *last;

  request.gateways = 4;
  for (uint32_t i = 0; i < 2 * SLOTS; i++)
    {
      engine_choice_t choice = engine_choice_make (list, START_US + i, &request);

      CU_ASSERT_EQUAL_FATAL (choice.action, ENGINE_CHOICE_SEND);
      engine_begin_request (choice.engine, START_US + i);
      report (choice.engine, START_US + i, choice.engine->own_requests, 0);
    }
  for (guint i = 0; i < 2; i++)
    CU_ASSERT_EQUAL (engine_at (engines, i)->own_requests, SLOTS);
  CU_ASSERT_EQUAL (engine_choice_make (list, START_US + CLOCK_US_PER_MS, &request).action,
                   ENGINE_CHOICE_WAIT);
  last = engine_at (engines, 1);
  engine_end_request (last);
  CU_ASSERT_PTR_EQUAL (engine_choice_make (list, START_US + CLOCK_US_PER_MS, &request).engine,
                       last);
  unload (engines);
}

/* Guards against late requests that wait for ever beside idle engines, which were full when this
 * gateway last sent there. */
static void
test_late_requests_ask_an_engine_again (void)
{
  g_autoptr (engines_t) engines = make_engines (4);
  const GPtrArray *list = engines_of_service (engines, service ());
  engine_choice_request_t request = make_request ();
  engine_choice_t choice;

  request.past_deadline = true;
  for (guint i = 0; i < 4; i++)
    report (engine_at (engines, i), START_US, SLOTS, 0);
  CU_ASSERT_EQUAL (engine_choice_make (list, START_US, &request).action, ENGINE_CHOICE_WAIT);
  choice = engine_choice_make (list, START_US + 4 * CLOCK_US_PER_S, &request);
  CU_ASSERT_EQUAL_FATAL (choice.action, ENGINE_CHOICE_SEND);
  for (guint i = 0; i < 4; i++)
    engine_begin_request (engine_at (engines, i), START_US + 4 * CLOCK_US_PER_S);
  CU_ASSERT_EQUAL (engine_choice_make (list, START_US + 8 * CLOCK_US_PER_S, &request).action,
                   ENGINE_CHOICE_WAIT);
  unload (engines);
}

/* Guards against a burst that one engine refuses in part, as most of it was drawn for that one. */
static void
test_a_burst_is_divided_by_slots (void)
{
  for (uint32_t burst = 0; burst < 100; burst++)
    {
      g_autoptr (engines_t) engines = make_engines (3);
      const GPtrArray *list = engines_of_service (engines, service ());
      engine_choice_request_t request = make_request ();

      for (uint32_t i = 0; i < 9; i++)
        {
          request.room_draw = burst * 9 + i;
          engine_begin_request (engine_choice_make (list, START_US, &request).engine, START_US);
        }
      for (guint i = 0; i < 3; i++)
        CU_ASSERT_EQUAL (engine_at (engines, i)->own_requests, 3);
      unload (engines);
    }
}

/* Guards against a load without measure that wraps around and seems small. */
static void
test_a_load_without_measure_is_not_small (void)
{
  static const uint32_t loads[] = { UINT32_MAX / MILLI, UINT32_MAX / MILLI + 1, UINT32_MAX - 1 };

  for (guint i = 0; i < G_N_ELEMENTS (loads); i++)
    {
      room_engine_t room = { 0 };

      room_engine_note_report (
          &room, &(room_engine_report_t){ .running = 1, .slots = SLOTS, .others = loads[i] });
      CU_ASSERT (room.others_milli > UINT32_MAX - 2 * MILLI);
    }
}

/* Guards against a slow engine that gets as many requests as the others. */
static void
test_a_slow_engine_gets_less (void)
{
  g_autoptr (engines_t) engines = make_engines (4);

  for (uint32_t i = 0; i < 50; i++)
    for (guint at = 0; at < 4; at++)
      {
        report (engine_at (engines, at), START_US, 3, 0);
        engine_note_latency (engine_at (engines, at), START_US, at == 0 ? 1600 : MILLI);
      }
  CU_ASSERT (count_sent (engines, START_US + CLOCK_US_PER_S, 0) < DRAWS / 6);
  CU_ASSERT (count_sent (engines, START_US + CLOCK_US_PER_S, 0) > DRAWS / 20);
}

/* Guards against an engine that is held in its slow state, as its last slot is always taken. */
static void
test_the_last_slot_of_a_crowded_engine_is_avoided (void)
{
  room_engine_t room = { 0 };

  for (uint32_t i = 0; i < 100; i++)
    {
      bool full = i % 2 == 0;

      room_engine_note_report (
          &room, &(room_engine_report_t){ .running = full ? SLOTS : SLOTS - 1, .slots = SLOTS });
      room_engine_note_duration (&room, full ? 2 * MILLI : MILLI);
    }
  CU_ASSERT (room_engine_expect_milli (&room, 4 * MILLI, SLOTS) < 1100);
  CU_ASSERT (room_engine_expect_milli (&room, 5 * MILLI, SLOTS) > 3 * MILLI);
}

/* Guards against another path for requests that are not of this module. */
static void
test_it_applies_to_few_slots_only (void)
{
  g_autoptr (engines_t) engines = make_engines (4);
  engine_choice_request_t requests[] = { make_request (), make_request (), make_request (),
                                         make_request () };
  service_view_t view;

  requests[1].shared_room = false;
  requests[2].affinity = 7;
  requests[3].gateways = 4 * SLOTS / ROOM_CHOICE_SCARCE_SLOTS;
  for (guint i = 0; i < G_N_ELEMENTS (requests); i++)
    {
      service_view_init (&view, engines_of_service (engines, service ()), START_US, &requests[i]);
      CU_ASSERT_EQUAL (view.shared_room, i == 0);
    }
}

/* Guards against queues that grow in an overload, and against requests held back after it. */
static void
test_the_share_follows_the_queues (void)
{
  g_autoptr (room_share_t) share = room_share_new ();
  uint64_t now_us = START_US;

  room_share_note_report (share, now_us, 4 * SLOTS, 0);
  CU_ASSERT_EQUAL (room_share_milli (share), MILLI);
  for (uint32_t i = 0; i < 40; i++)
    room_share_note_report (share, now_us += 50 * CLOCK_US_PER_MS, 4 * SLOTS, SLOTS);
  CU_ASSERT (room_share_milli (share) < 100);
  for (uint32_t i = 0; i < 100; i++)
    room_share_note_report (share, now_us += 50 * CLOCK_US_PER_MS, 0, SLOTS);
  CU_ASSERT_EQUAL (room_share_milli (share), MILLI);
}

/* Guards against an account with few requests that is cut as one with many is. */
static void
test_the_account_with_most_requests_is_cut (void)
{
  g_autoptr (room_share_t) share = room_share_new ();
  uint64_t now_us = START_US;

  for (uint32_t i = 0; i < 300; i++)
    {
      room_share_note_request (share, now_us, 1);
      if (i % 10 == 0)
        room_share_note_request (share, now_us, 2);
    }
  while (room_share_milli (share) > 500)
    room_share_note_report (share, now_us += 10 * CLOCK_US_PER_MS, 4 * SLOTS, SLOTS);
  CU_ASSERT (room_share_allows (share, 2, MILLI - 1));
  CU_ASSERT (room_share_allows (share, 1, 0));
  CU_ASSERT_FALSE (room_share_allows (share, 1, MILLI - 1));
  CU_ASSERT (room_share_is_crowded_out (share, 2));
  CU_ASSERT_FALSE (room_share_is_crowded_out (share, 1));
}

int
main (void)
{
  static const CU_TestInfo tests[] = { SUITE_TEST (test_an_unknown_engine_is_not_empty),
                                       SUITE_TEST (test_an_old_queue_does_not_hold_requests),
                                       SUITE_TEST (test_a_gateway_sends_no_more_than_the_slots),
                                       SUITE_TEST (test_late_requests_ask_an_engine_again),
                                       SUITE_TEST (test_a_burst_is_divided_by_slots),
                                       SUITE_TEST (test_a_load_without_measure_is_not_small),
                                       SUITE_TEST (test_a_slow_engine_gets_less),
                                       SUITE_TEST (
                                           test_the_last_slot_of_a_crowded_engine_is_avoided),
                                       SUITE_TEST (test_it_applies_to_few_slots_only),
                                       SUITE_TEST (test_the_share_follows_the_queues),
                                       SUITE_TEST (test_the_account_with_most_requests_is_cut),
                                       CU_TEST_INFO_NULL };

  return suite_run ("room", tests);
}
