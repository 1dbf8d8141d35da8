/* Unit tests of the queues in which requests wait at a gateway for a free slot. */
#include "request/policy/queueing/wait_queue.h"
#include "suite.h"

G_DEFINE_AUTOPTR_CLEANUP_FUNC (wait_queue_t, wait_queue_free)

#define NOW_US (UINT64_C (100) * CLOCK_US_PER_S)
#define MANY 40
#define OVERLOADED_US (NOW_US + WAIT_QUEUE_OVERLOAD_US)

static const wait_queue_capacity_t ROOM = { .slots = 8, .gateways = 1 };

/** struct request - a waiting request */
typedef struct
{
  wait_queue_item_t line;
  uint64_t account;
} request_t;

static wait_queue_outcome_t
push_by (wait_queue_t *wait_queue,
         request_t *request,
         uint64_t account,
         uint32_t priority,
         uint64_t deadline_us)
{
  uint64_t wait_us;

  *request = (request_t){ .account = account,
                          .line = { .arrived_us = NOW_US,
                                    .priority = priority,
                                    .deadline_us = deadline_us,
                                    .fair_entry = { .account_hash = account } } };
  request->line.fair_entry.owner = request;
  return wait_queue_push (wait_queue, NOW_US, &ROOM, &request->line, &wait_us);
}

static void
push (wait_queue_t *wait_queue, request_t *request, uint64_t account, uint32_t priority)
{
  CU_ASSERT_EQUAL (push_by (wait_queue, request, account, priority, NOW_US + 60 * CLOCK_US_PER_S),
                   WAIT_QUEUE_QUEUED);
}

static bool
may_always_start (void *owner, void *context)
{
  (void)owner;
  (void)context;
  return true;
}

static request_t *
start_first (wait_queue_t *wait_queue)
{
  request_t *request = wait_queue_first (wait_queue, may_always_start, NULL);

  if (request)
    wait_queue_start (wait_queue, NOW_US, &request->line);
  return request;
}

static void
remove_all (wait_queue_t *wait_queue)
{
  for (request_t *request = wait_queue_first (wait_queue, may_always_start, NULL); request;
       request = wait_queue_first (wait_queue, may_always_start, NULL))
    wait_queue_remove (wait_queue, NOW_US, &request->line);
}

/* Guards against three requests of one account that wait behind forty of another one. */
static void
test_accounts_are_served_in_turn (void)
{
  g_autoptr (wait_queue_t) wait_queue = wait_queue_new ();
  request_t busy[MANY];
  request_t quiet[3];
  uint32_t served = 0;

  for (uint32_t i = 0; i < MANY; i++)
    push (wait_queue, &busy[i], 1, 1);
  for (uint32_t i = 0; i < 10; i++)
    start_first (wait_queue);
  for (uint32_t i = 0; i < 3; i++)
    push (wait_queue, &quiet[i], 2, 1);
  for (uint32_t i = 0; i < 7; i++)
    served += start_first (wait_queue)->account == 2 ? 1 : 0;
  CU_ASSERT_EQUAL (served, 3);
  remove_all (wait_queue);
}

/* Slots were free until now, and one account used nearly all. Guards against it getting an equal
 * part of the starts as soon as requests of both accounts wait. */
static void
test_starts_without_waiting_are_charged (void)
{
  g_autoptr (wait_queue_t) wait_queue = wait_queue_new ();
  request_t busy[MANY];
  request_t quiet[MANY];
  request_t before = { .line = { .priority = 1, .fair_entry = { .account_hash = 1 } } };
  uint32_t served = 0;

  for (uint32_t i = 0; i < 200; i++)
    wait_queue_start (wait_queue, NOW_US, &before.line);
  for (uint32_t i = 0; i < MANY; i++)
    push (wait_queue, &busy[i], 1, 1);
  for (uint32_t i = 0; i < MANY; i++)
    push (wait_queue, &quiet[i], 2, 1);
  for (uint32_t i = 0; i < 20; i++)
    served += start_first (wait_queue)->account == 2 ? 1 : 0;
  CU_ASSERT (served >= 15);
  remove_all (wait_queue);
}

/* Two accounts send equally many requests, but those of one take four times as long. Each has to
 * get half of the time of the slots, so the first one gets about a fifth of the starts. */
static void
test_requests_are_charged_by_duration (void)
{
  g_autoptr (wait_queue_t) wait_queue = wait_queue_new ();
  request_t of_long[200];
  request_t of_short[200];
  uint32_t starts_of_long = 0;

  for (uint32_t i = 0; i < 200; i++)
    {
      push (wait_queue, &of_long[i], 1, 1);
      push (wait_queue, &of_short[i], 2, 1);
    }
  for (uint32_t i = 0; i < 200; i++)
    {
      request_t *request = start_first (wait_queue);
      bool is_long = request->account == 1;

      starts_of_long += is_long ? 1 : 0;
      wait_queue_note_run (wait_queue, &request->line, (is_long ? 80 : 20) * CLOCK_US_PER_MS);
    }
  CU_ASSERT (starts_of_long >= 30 && starts_of_long <= 80);
  remove_all (wait_queue);
}

/* Guards against a request that never starts while requests of a higher priority keep arriving. */
static void
test_no_priority_starves (void)
{
  g_autoptr (wait_queue_t) wait_queue = wait_queue_new ();
  request_t last;
  g_autofree request_t *first = g_new0 (request_t, 600);
  bool started = false;

  push (wait_queue, &last, 1, 2);
  for (uint32_t i = 0; i < 600 && !started; i++)
    {
      push (wait_queue, &first[i], 1, 1);
      started = start_first (wait_queue) == &last;
    }
  CU_ASSERT (started);
  remove_all (wait_queue);
}

/* 22 gateways share the six slots of one engine. Guards against a gateway that expects a whole slot
 * for itself and queues requests until their deadline instead of rejecting them at once. */
static void
test_expected_wait_is_for_a_share_of_the_slots (void)
{
  const wait_queue_capacity_t few = { .slots = 6, .gateways = 22 };
  const wait_queue_capacity_t more = { .slots = 66, .gateways = 22 };
  const wait_queue_capacity_t unknown = { 0 };

  CU_ASSERT_EQUAL (wait_queue_share_us (&few, 10 * 30000), 1100000);
  CU_ASSERT_EQUAL (wait_queue_share_us (&more, 10 * 30000), 100000);
  CU_ASSERT_EQUAL (wait_queue_share_us (&unknown, 30000), 30000);
}

/* Guards against queueing a request that can't start before its deadline. */
static void
test_too_late_is_rejected_at_once (void)
{
  g_autoptr (wait_queue_t) wait_queue = wait_queue_new ();
  request_t requests[MANY];
  request_t short_of_time;

  for (uint32_t i = 0; i < MANY; i++)
    push (wait_queue, &requests[i], 1, 1);
  CU_ASSERT_EQUAL (push_by (wait_queue, &short_of_time, 1, 1, NOW_US + 300 * CLOCK_US_PER_MS),
                   WAIT_QUEUE_TOO_LATE);
  CU_ASSERT (!short_of_time.line.waiting);
  CU_ASSERT_EQUAL (push_by (wait_queue, &short_of_time, 1, 1, NOW_US + 500 * CLOCK_US_PER_MS),
                   WAIT_QUEUE_QUEUED);
  remove_all (wait_queue);
}

/* All engines are lost while a request with a second in all waits. Guards against rejecting it only
 * when its client has no time left to retry elsewhere: the last quarter is kept for that. */
static void
test_waiting_ends_before_the_deadline (void)
{
  g_autoptr (wait_queue_t) wait_queue = wait_queue_new ();
  request_t request;

  for (uint32_t i = 0; i < 100; i++)
    wait_queue_note_head (wait_queue, CLOCK_US_PER_S);
  CU_ASSERT_EQUAL (push_by (wait_queue, &request, 1, 1, NOW_US + CLOCK_US_PER_S),
                   WAIT_QUEUE_QUEUED);
  CU_ASSERT_PTR_NULL (wait_queue_pop_expired (wait_queue, NOW_US + 749 * CLOCK_US_PER_MS));
  CU_ASSERT_PTR_EQUAL (wait_queue_pop_expired (wait_queue, NOW_US + 750 * CLOCK_US_PER_MS),
                       &request);
  CU_ASSERT_PTR_NULL (wait_queue_pop_expired (wait_queue, NOW_US + 750 * CLOCK_US_PER_MS));
}

static void
test_queue_is_limited (void)
{
  g_autoptr (wait_queue_t) wait_queue = wait_queue_new ();
  g_autofree request_t *requests = g_new0 (request_t, WAIT_QUEUE_LIMIT + 1);

  for (uint32_t i = 0; i < WAIT_QUEUE_LIMIT; i++)
    push (wait_queue, &requests[i], i % 7, 1);
  CU_ASSERT_EQUAL (push_by (wait_queue, &requests[WAIT_QUEUE_LIMIT], 9, 1,
                            NOW_US + UINT64_C (60) * CLOCK_US_PER_S),
                   WAIT_QUEUE_FULL);
  CU_ASSERT_EQUAL (wait_queue_count (wait_queue), WAIT_QUEUE_LIMIT);
  remove_all (wait_queue);
  CU_ASSERT_EQUAL (wait_queue_count (wait_queue), 0);
}

static bool
is_not (void *owner, void *context)
{
  return owner != context;
}

/* The first request of an account may not start since its engines are full. Guards against it
 * blocking the requests of other accounts, or losing its place to them. */
static void
test_blocked_request_blocks_its_account_only (void)
{
  wait_queue_t *wait_queue = wait_queue_new ();
  request_t blocked = { 0 };
  request_t behind = { 0 };
  request_t other = { 0 };

  push (wait_queue, &blocked, 1, 0);
  push (wait_queue, &behind, 1, 0);
  push (wait_queue, &other, 2, 0);
  CU_ASSERT_PTR_EQUAL (wait_queue_first (wait_queue, may_always_start, NULL), &blocked);
  CU_ASSERT_PTR_EQUAL (wait_queue_first (wait_queue, is_not, &blocked), &other);
  wait_queue_start (wait_queue, NOW_US, &other.line);
  CU_ASSERT_PTR_NULL (wait_queue_first (wait_queue, is_not, &blocked));
  CU_ASSERT_EQUAL (wait_queue_count (wait_queue), 2);
  CU_ASSERT_PTR_EQUAL (start_first (wait_queue), &blocked);
  CU_ASSERT_PTR_EQUAL (start_first (wait_queue), &behind);
  wait_queue_free (wait_queue);
}

/* Queues requests that then wait without a break. */
static void
push_many (wait_queue_t *wait_queue, request_t *requests, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    push (wait_queue, &requests[i], 1, 0);
}

/* Counts a request that can't start in time, as most in an overload. */
static void
push_and_remove_late (wait_queue_t *wait_queue, const request_t *like)
{
  request_t late = *like;
  uint64_t wait_us;

  late.line.waiting = false;
  late.line.target_us = NOW_US + 1;
  late.line.deadline_us = NOW_US + 10 * CLOCK_US_PER_S;
  if (wait_queue_push (wait_queue, OVERLOADED_US, &ROOM, &late.line, &wait_us) == WAIT_QUEUE_QUEUED)
    wait_queue_remove (wait_queue, OVERLOADED_US, &late.line);
}

static wait_queue_outcome_t
push_with_target (wait_queue_t *wait_queue,
                  request_t *request,
                  uint64_t at_us,
                  uint64_t account,
                  uint64_t in_time_us)
{
  uint64_t wait_us;

  *request = (request_t){ .account = account,
                          .line = { .arrived_us = at_us,
                                    .target_us = in_time_us,
                                    .deadline_us = at_us + 10 * CLOCK_US_PER_S,
                                    .fair_entry = { .account_hash = account } } };
  request->line.fair_entry.owner = request;
  return wait_queue_push (wait_queue, at_us, &ROOM, &request->line, &wait_us);
}

/* Requests have waited for half a second. Guards against late requests that wait for seconds, only
 * to be rejected or answered late, and against retry times shorter than the overload has lasted. */
static void
test_late_requests_are_rejected_in_an_overload (void)
{
  g_autoptr (wait_queue_t) wait_queue = wait_queue_new ();
  g_autofree request_t *before = g_new0 (request_t, MANY);
  request_t late;

  push_many (wait_queue, before, MANY);
  for (uint32_t i = 0; i < 100; i++)
    push_and_remove_late (wait_queue, &before[0]);
  CU_ASSERT_EQUAL (push_with_target (wait_queue, &late, OVERLOADED_US - 1, 1, NOW_US),
                   WAIT_QUEUE_QUEUED);
  wait_queue_remove (wait_queue, OVERLOADED_US, &late.line);
  CU_ASSERT_EQUAL (push_with_target (wait_queue, &late, OVERLOADED_US, 1, NOW_US),
                   WAIT_QUEUE_TOO_LATE);
  CU_ASSERT (wait_queue_retry_us (wait_queue, OVERLOADED_US + CLOCK_US_PER_S, 0) >= CLOCK_US_PER_S);
  remove_all (wait_queue);
}

/* The target time of a waiting request passes. Guards against it starting before requests that can
 * still be answered in time. */
static void
test_late_requests_start_after_all_others (void)
{
  g_autoptr (wait_queue_t) wait_queue = wait_queue_new ();
  request_t soon;
  request_t other;

  CU_ASSERT_EQUAL (push_with_target (wait_queue, &soon, NOW_US, 1, NOW_US + 100 * CLOCK_US_PER_MS),
                   WAIT_QUEUE_QUEUED);
  push (wait_queue, &other, 1, 0);
  CU_ASSERT_PTR_EQUAL (wait_queue_first (wait_queue, may_always_start, NULL), &soon);
  CU_ASSERT_PTR_NULL (wait_queue_pop_expired (wait_queue, NOW_US + 100 * CLOCK_US_PER_MS));
  CU_ASSERT (soon.line.is_late);
  CU_ASSERT_EQUAL (wait_queue_count (wait_queue), 2);
  CU_ASSERT_EQUAL (wait_queue_count_in_time (wait_queue), 1);
  CU_ASSERT_PTR_EQUAL (start_first (wait_queue), &other);
  CU_ASSERT_PTR_EQUAL (start_first (wait_queue), &soon);
  CU_ASSERT_EQUAL (wait_queue_count (wait_queue), 0);
}

/* Guards against late requests being rejected after an overload, when nothing waits any more. */
static void
test_late_requests_wait_again_after_an_overload (void)
{
  g_autoptr (wait_queue_t) wait_queue = wait_queue_new ();
  g_autofree request_t *before = g_new0 (request_t, MANY);
  uint64_t after_us = OVERLOADED_US + CLOCK_US_PER_S;
  request_t late;

  push_many (wait_queue, before, MANY);
  for (uint32_t i = 0; i < 100; i++)
    push_and_remove_late (wait_queue, &before[0]);
  while (start_first (wait_queue))
    ;
  CU_ASSERT_EQUAL (push_with_target (wait_queue, &late, after_us, 1, NOW_US), WAIT_QUEUE_QUEUED);
  wait_queue_remove (wait_queue, after_us, &late.line);
}

/* One account surges, and the target time of a request of another account passes. Guards against
 * that request never starting, behind all requests in time of the surging account. */
static void
test_late_requests_of_an_account_with_credit_stay_first (void)
{
  g_autoptr (wait_queue_t) wait_queue = wait_queue_new ();
  g_autofree request_t *busy = g_new0 (request_t, MANY);
  request_t quiet;

  for (uint32_t i = 0; i < 100; i++)
    wait_queue_note_run (wait_queue, &busy[0].line, 2 * CLOCK_US_PER_S);
  push_many (wait_queue, busy, MANY);
  for (uint32_t i = 0; i < MANY; i++)
    start_first (wait_queue);
  for (uint32_t i = 0; i < MANY; i++)
    push (wait_queue, &busy[i], 1, 0);
  start_first (wait_queue);
  CU_ASSERT_EQUAL (push_with_target (wait_queue, &quiet, NOW_US, 2, NOW_US + 1), WAIT_QUEUE_QUEUED);
  CU_ASSERT_PTR_NULL (wait_queue_pop_expired (wait_queue, NOW_US + CLOCK_US_PER_S));
  CU_ASSERT (!quiet.line.is_late);
  CU_ASSERT_PTR_EQUAL (start_first (wait_queue), &quiet);
  remove_all (wait_queue);
}

static const wait_queue_capacity_t SCARCE = { .slots = 6, .gateways = 22 };

#define BUSY_ACCOUNT 7 /* one that was served more than the others */
#define QUIET_STARTED 9
#define QUIET_LATE 8
#define ARRIVALS_MAX 64

/**
 * struct overload - queues of an overloaded service
 * @waits: the request that has waited since the begin
 * @requests: @count requests that arrived later
 */
typedef struct
{
  wait_queue_t *line;
  request_t waits;
  request_t requests[ARRIVALS_MAX];
  uint32_t count;
} overload_t;

static wait_queue_outcome_t
add_arrival (overload_t *overload, uint64_t account, bool late)
{
  request_t *request = &overload->requests[overload->count++];
  wait_queue_outcome_t outcome;
  uint64_t wait_us;

  request->line =
      (wait_queue_item_t){ .arrived_us = OVERLOADED_US,
                           .deadline_us = OVERLOADED_US + 60 * CLOCK_US_PER_S,
                           .target_us = late ? 1 : 0,
                           .run_us = 60 * CLOCK_US_PER_MS,
                           .fair_entry = { .account_hash = account, .owner = request } };
  outcome = wait_queue_push (overload->line, OVERLOADED_US, &SCARCE, &request->line, &wait_us);
  if (!late)
    wait_queue_start (overload->line, OVERLOADED_US, &request->line);
  return outcome;
}

/* After @busy requests of one account and half of those of seventeen other accounts have started,
 * adds a late request of an account without any. Return: its outcome */
static wait_queue_outcome_t
push_late_with_scarce_slots (uint32_t busy)
{
  overload_t overload = { .line = wait_queue_new () };
  wait_queue_outcome_t outcome;

  push (overload.line, &overload.waits, 1, 0);
  for (uint32_t i = 0; i < busy; i++)
    add_arrival (&overload, BUSY_ACCOUNT, false);
  for (uint32_t i = 0; i < QUIET_STARTED + QUIET_LATE; i++)
    add_arrival (&overload, 100 + i, i >= QUIET_STARTED);
  outcome = add_arrival (&overload, 99, true);
  remove_all (overload.line);
  wait_queue_free (overload.line);
  return outcome;
}

/* 22 gateways share six slots in an overload, and the busiest account sends a third of the
 * requests. Guards against slots going to late requests of the other accounts, which have credit,
 * while requests in time wait at other gateways: a third of the responses were late so. */
static void
test_scarce_slots_are_for_requests_in_time (void)
{
  CU_ASSERT_EQUAL (push_late_with_scarce_slots (8), WAIT_QUEUE_TOO_LATE);
}

/* One account sends two thirds of the requests. Guards against late requests of the others being
 * rejected in favour of it. */
static void
test_scarce_slots_in_a_surge_of_one (void)
{
  CU_ASSERT_EQUAL (push_late_with_scarce_slots (34), WAIT_QUEUE_QUEUED);
}

/* A retry may be sent only after some time. Guards against it blocking requests in time, and
 * against queueing it if that time is too late for it. */
static void
test_delayed_retry_waits_with_late_requests (void)
{
  g_autoptr (wait_queue_t) wait_queue = wait_queue_new ();
  request_t first = { .line = { .arrived_us = NOW_US, .deadline_us = NOW_US + CLOCK_US_PER_S } };
  request_t second;

  first.line.fair_entry.owner = &first;
  CU_ASSERT_FALSE (wait_queue_push_delayed (wait_queue, NOW_US, &first.line, CLOCK_US_PER_S));
  CU_ASSERT_FALSE (first.line.waiting);
  CU_ASSERT_TRUE (wait_queue_push_delayed (wait_queue, NOW_US, &first.line, CLOCK_US_PER_S / 2));
  push (wait_queue, &second, 1, 0);
  CU_ASSERT_PTR_EQUAL (start_first (wait_queue), &second);
  CU_ASSERT_PTR_EQUAL (start_first (wait_queue), &first);
}

static void
hold (wait_queue_t *wait_queue, request_t *request, uint64_t account)
{
  *request = (request_t){ .account = account,
                          .line = { .arrived_us = NOW_US,
                                    .deadline_us = NOW_US + 60 * CLOCK_US_PER_S,
                                    .fair_entry = { .account_hash = account } } };
  request->line.fair_entry.owner = request;
  CU_ASSERT_TRUE (wait_queue_push_held (wait_queue, NOW_US, &request->line));
}

static bool
is_not_held (void *owner, void *context)
{
  return owner != context;
}

/* Guards against a request that left a silent engine, and may wait until its deadline, holding back
 * others of its account that could start. */
static void
test_held_request_holds_back_no_other (void)
{
  g_autoptr (wait_queue_t) wait_queue = wait_queue_new ();
  request_t held;
  request_t other = { .line = { .arrived_us = NOW_US,
                                .deadline_us = NOW_US + 60 * CLOCK_US_PER_S,
                                .fair_entry = { .account_hash = 1 } } };

  other.line.fair_entry.owner = &other;
  hold (wait_queue, &held, 1);
  CU_ASSERT_TRUE (wait_queue_push_delayed (wait_queue, NOW_US, &other.line, 0));
  CU_ASSERT_PTR_EQUAL (wait_queue_first (wait_queue, is_not_held, &held), &other);
  remove_all (wait_queue);
}

/* Guards against one request that waits as it left a silent engine making its whole service count
 * as overloaded, though no request waits for a slot. */
static void
test_held_request_is_no_overload (void)
{
  g_autoptr (wait_queue_t) wait_queue = wait_queue_new ();
  request_t held;

  hold (wait_queue, &held, 1);
  CU_ASSERT_FALSE (wait_queue_is_overloaded (wait_queue, OVERLOADED_US));
  remove_all (wait_queue);
}

/* Return: whether a request that has three seconds is rejected, as it has waited for 0.4 s, beside
 * one that has been held for five */
static bool
is_rejected (bool has_held)
{
  g_autoptr (wait_queue_t) wait_queue = wait_queue_new ();
  uint64_t now_us = NOW_US + 5 * CLOCK_US_PER_S;
  request_t held;
  request_t other = { .line = { .arrived_us = now_us,
                                .target_us = now_us + 300 * CLOCK_US_PER_MS,
                                .deadline_us = now_us + 3 * CLOCK_US_PER_S,
                                .fair_entry = { .account_hash = 2 } } };
  bool was_rejected;
  uint64_t wait_us;

  other.line.fair_entry.owner = &other;
  if (has_held)
    hold (wait_queue, &held, 1);
  CU_ASSERT_EQUAL (wait_queue_push (wait_queue, now_us, &ROOM, &other.line, &wait_us),
                   WAIT_QUEUE_QUEUED);
  was_rejected = wait_queue_pop_expired (wait_queue, now_us + 400 * CLOCK_US_PER_MS) != NULL;
  remove_all (wait_queue);
  return was_rejected;
}

/* Guards against a request with seconds left being refused, as another one has waited for longer
 * than that since it left a silent engine. */
static void
test_held_request_refuses_no_other (void)
{
  CU_ASSERT_FALSE (is_rejected (false));
  CU_ASSERT_FALSE (is_rejected (true));
}

int
main (void)
{
  static const CU_TestInfo tests[] = { SUITE_TEST (test_accounts_are_served_in_turn),
                                       SUITE_TEST (test_starts_without_waiting_are_charged),
                                       SUITE_TEST (test_requests_are_charged_by_duration),
                                       SUITE_TEST (test_no_priority_starves),
                                       SUITE_TEST (test_expected_wait_is_for_a_share_of_the_slots),
                                       SUITE_TEST (test_too_late_is_rejected_at_once),
                                       SUITE_TEST (test_waiting_ends_before_the_deadline),
                                       SUITE_TEST (test_queue_is_limited),
                                       SUITE_TEST (test_blocked_request_blocks_its_account_only),
                                       SUITE_TEST (test_late_requests_are_rejected_in_an_overload),
                                       SUITE_TEST (test_late_requests_start_after_all_others),
                                       SUITE_TEST (test_late_requests_wait_again_after_an_overload),
                                       SUITE_TEST (
                                           test_late_requests_of_an_account_with_credit_stay_first),
                                       SUITE_TEST (test_scarce_slots_are_for_requests_in_time),
                                       SUITE_TEST (test_scarce_slots_in_a_surge_of_one),
                                       SUITE_TEST (test_delayed_retry_waits_with_late_requests),
                                       SUITE_TEST (test_held_request_holds_back_no_other),
                                       SUITE_TEST (test_held_request_is_no_overload),
                                       SUITE_TEST (test_held_request_refuses_no_other),
                                       CU_TEST_INFO_NULL };

  return suite_run ("wait_queue", tests);
}
