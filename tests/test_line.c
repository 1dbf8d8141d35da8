/* Unit tests of the queues in which requests wait at a gateway for a free slot. */
#include "request/policy/line.h"
#include "suite.h"

G_DEFINE_AUTOPTR_CLEANUP_FUNC (lin_t, lin_free)

#define NOW_US (UINT64_C (100) * CLK_US_PER_S)
#define MANY 40
#define OVERLOADED_US (NOW_US + LIN_PRESSED_US)

static const lin_room_t ROOM = { .slots = 8, .gateways = 1 };

/** struct request - a waiting request */
typedef struct
{
  lin_item_t line;
  uint64_t account;
} request_t;

static lin_outcome_t
push_by (lin_t *lin, request_t *request, uint64_t account, uint32_t priority, uint64_t deadline_us)
{
  uint64_t wait_us;

  *request = (request_t){ .account = account,
                          .line = { .arrived_us = NOW_US,
                                    .priority = priority,
                                    .deadline_us = deadline_us,
                                    .fair = { .account_hash = account } } };
  request->line.fair.owner = request;
  return lin_push (lin, NOW_US, &ROOM, &request->line, &wait_us);
}

static void
push (lin_t *lin, request_t *request, uint64_t account, uint32_t priority)
{
  CU_ASSERT_EQUAL (push_by (lin, request, account, priority, NOW_US + 60 * CLK_US_PER_S),
                   LIN_WAITS);
}

static bool
may_always_start (void *owner, void *context)
{
  (void)owner;
  (void)context;
  return true;
}

static request_t *
start_first (lin_t *lin)
{
  request_t *request = lin_first (lin, may_always_start, NULL);

  if (request)
    lin_start (lin, NOW_US, &request->line);
  return request;
}

static void
remove_all (lin_t *lin)
{
  for (request_t *request = lin_first (lin, may_always_start, NULL); request;
       request = lin_first (lin, may_always_start, NULL))
    lin_remove (lin, NOW_US, &request->line);
}

/* Guards against three requests of one account that wait behind forty of another one. */
static void
test_accounts_are_served_in_turn (void)
{
  g_autoptr (lin_t) lin = lin_new ();
  request_t busy[MANY];
  request_t quiet[3];
  uint32_t served = 0;

  for (uint32_t i = 0; i < MANY; i++)
    push (lin, &busy[i], 1, 1);
  for (uint32_t i = 0; i < 10; i++)
    start_first (lin);
  for (uint32_t i = 0; i < 3; i++)
    push (lin, &quiet[i], 2, 1);
  for (uint32_t i = 0; i < 7; i++)
    served += start_first (lin)->account == 2 ? 1 : 0;
  CU_ASSERT_EQUAL (served, 3);
  remove_all (lin);
}

/* Slots were free until now, and one account used nearly all. Guards against it getting an equal
 * part of the starts as soon as requests of both accounts wait. */
static void
test_starts_without_waiting_are_charged (void)
{
  g_autoptr (lin_t) lin = lin_new ();
  request_t busy[MANY];
  request_t quiet[MANY];
  request_t before = { .line = { .priority = 1, .fair = { .account_hash = 1 } } };
  uint32_t served = 0;

  for (uint32_t i = 0; i < 200; i++)
    lin_start (lin, NOW_US, &before.line);
  for (uint32_t i = 0; i < MANY; i++)
    push (lin, &busy[i], 1, 1);
  for (uint32_t i = 0; i < MANY; i++)
    push (lin, &quiet[i], 2, 1);
  for (uint32_t i = 0; i < 20; i++)
    served += start_first (lin)->account == 2 ? 1 : 0;
  CU_ASSERT (served >= 15);
  remove_all (lin);
}

/* Two accounts send equally many requests, but those of one take four times as long. Each has to
 * get half of the time of the slots, so the first one gets about a fifth of the starts. */
static void
test_requests_are_charged_by_duration (void)
{
  g_autoptr (lin_t) lin = lin_new ();
  request_t of_long[200];
  request_t of_short[200];
  uint32_t starts_of_long = 0;

  for (uint32_t i = 0; i < 200; i++)
    {
      push (lin, &of_long[i], 1, 1);
      push (lin, &of_short[i], 2, 1);
    }
  for (uint32_t i = 0; i < 200; i++)
    {
      request_t *request = start_first (lin);
      bool is_long = request->account == 1;

      starts_of_long += is_long ? 1 : 0;
      lin_note_run (lin, &request->line, (is_long ? 80 : 20) * CLK_US_PER_MS);
    }
  CU_ASSERT (starts_of_long >= 30 && starts_of_long <= 80);
  remove_all (lin);
}

/* Guards against a request that never starts while requests of a higher priority keep arriving. */
static void
test_no_priority_starves (void)
{
  g_autoptr (lin_t) lin = lin_new ();
  request_t last;
  g_autofree request_t *first = g_new0 (request_t, 600);
  bool started = false;

  push (lin, &last, 1, 2);
  for (uint32_t i = 0; i < 600 && !started; i++)
    {
      push (lin, &first[i], 1, 1);
      started = start_first (lin) == &last;
    }
  CU_ASSERT (started);
  remove_all (lin);
}

/* 22 gateways share the six slots of one engine. Guards against a gateway that expects a whole slot
 * for itself and queues requests until their deadline instead of rejecting them at once. */
static void
test_expected_wait_is_for_a_share_of_the_slots (void)
{
  const lin_room_t few = { .slots = 6, .gateways = 22 };
  const lin_room_t more = { .slots = 66, .gateways = 22 };
  const lin_room_t unknown = { 0 };

  CU_ASSERT_EQUAL (lin_share_us (&few, 10 * 30000), 1100000);
  CU_ASSERT_EQUAL (lin_share_us (&more, 10 * 30000), 100000);
  CU_ASSERT_EQUAL (lin_share_us (&unknown, 30000), 30000);
}

/* Guards against queueing a request that can't start before its deadline. */
static void
test_too_late_is_rejected_at_once (void)
{
  g_autoptr (lin_t) lin = lin_new ();
  request_t requests[MANY];
  request_t short_of_time;

  for (uint32_t i = 0; i < MANY; i++)
    push (lin, &requests[i], 1, 1);
  CU_ASSERT_EQUAL (push_by (lin, &short_of_time, 1, 1, NOW_US + 300 * CLK_US_PER_MS), LIN_TOO_LATE);
  CU_ASSERT (!short_of_time.line.waiting);
  CU_ASSERT_EQUAL (push_by (lin, &short_of_time, 1, 1, NOW_US + 500 * CLK_US_PER_MS), LIN_WAITS);
  remove_all (lin);
}

/* All engines are lost while a request with a second in all waits. Guards against rejecting it only
 * when its client has no time left to retry elsewhere: the last quarter is kept for that. */
static void
test_waiting_ends_before_the_deadline (void)
{
  g_autoptr (lin_t) lin = lin_new ();
  request_t request;

  for (uint32_t i = 0; i < 100; i++)
    lin_note_head (lin, CLK_US_PER_S);
  CU_ASSERT_EQUAL (push_by (lin, &request, 1, 1, NOW_US + CLK_US_PER_S), LIN_WAITS);
  CU_ASSERT_PTR_NULL (lin_expired (lin, NOW_US + 749 * CLK_US_PER_MS));
  CU_ASSERT_PTR_EQUAL (lin_expired (lin, NOW_US + 750 * CLK_US_PER_MS), &request);
  CU_ASSERT_PTR_NULL (lin_expired (lin, NOW_US + 750 * CLK_US_PER_MS));
}

static void
test_queue_is_limited (void)
{
  g_autoptr (lin_t) lin = lin_new ();
  g_autofree request_t *requests = g_new0 (request_t, LIN_LIMIT + 1);

  for (uint32_t i = 0; i < LIN_LIMIT; i++)
    push (lin, &requests[i], i % 7, 1);
  CU_ASSERT_EQUAL (push_by (lin, &requests[LIN_LIMIT], 9, 1, NOW_US + UINT64_C (60) * CLK_US_PER_S),
                   LIN_FULL);
  CU_ASSERT_EQUAL (lin_count (lin), LIN_LIMIT);
  remove_all (lin);
  CU_ASSERT_EQUAL (lin_count (lin), 0);
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
  lin_t *lin = lin_new ();
  request_t blocked = { 0 };
  request_t behind = { 0 };
  request_t other = { 0 };

  push (lin, &blocked, 1, 0);
  push (lin, &behind, 1, 0);
  push (lin, &other, 2, 0);
  CU_ASSERT_PTR_EQUAL (lin_first (lin, may_always_start, NULL), &blocked);
  CU_ASSERT_PTR_EQUAL (lin_first (lin, is_not, &blocked), &other);
  lin_start (lin, NOW_US, &other.line);
  CU_ASSERT_PTR_NULL (lin_first (lin, is_not, &blocked));
  CU_ASSERT_EQUAL (lin_count (lin), 2);
  CU_ASSERT_PTR_EQUAL (start_first (lin), &blocked);
  CU_ASSERT_PTR_EQUAL (start_first (lin), &behind);
  lin_free (lin);
}

/* Queues requests that then wait without a break. */
static void
push_many (lin_t *lin, request_t *requests, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    push (lin, &requests[i], 1, 0);
}

/* Counts a request that can't start in time, as most in an overload. */
static void
push_and_remove_late (lin_t *lin, const request_t *like)
{
  request_t late = *like;
  uint64_t wait_us;

  late.line.waiting = false;
  late.line.in_time_us = NOW_US + 1;
  late.line.deadline_us = NOW_US + 10 * CLK_US_PER_S;
  if (lin_push (lin, OVERLOADED_US, &ROOM, &late.line, &wait_us) == LIN_WAITS)
    lin_remove (lin, OVERLOADED_US, &late.line);
}

static lin_outcome_t
push_with_target (
    lin_t *lin, request_t *request, uint64_t at_us, uint64_t account, uint64_t in_time_us)
{
  uint64_t wait_us;

  *request = (request_t){ .account = account,
                          .line = { .arrived_us = at_us,
                                    .in_time_us = in_time_us,
                                    .deadline_us = at_us + 10 * CLK_US_PER_S,
                                    .fair = { .account_hash = account } } };
  request->line.fair.owner = request;
  return lin_push (lin, at_us, &ROOM, &request->line, &wait_us);
}

/* Requests have waited for half a second. Guards against late requests that wait for seconds, only
 * to be rejected or answered late, and against retry times shorter than the overload has lasted. */
static void
test_late_requests_are_rejected_in_an_overload (void)
{
  g_autoptr (lin_t) lin = lin_new ();
  g_autofree request_t *before = g_new0 (request_t, MANY);
  request_t late;

  push_many (lin, before, MANY);
  for (uint32_t i = 0; i < 100; i++)
    push_and_remove_late (lin, &before[0]);
  CU_ASSERT_EQUAL (push_with_target (lin, &late, OVERLOADED_US - 1, 1, NOW_US), LIN_WAITS);
  lin_remove (lin, OVERLOADED_US, &late.line);
  CU_ASSERT_EQUAL (push_with_target (lin, &late, OVERLOADED_US, 1, NOW_US), LIN_TOO_LATE);
  CU_ASSERT (lin_retry_us (lin, OVERLOADED_US + CLK_US_PER_S, 0) >= CLK_US_PER_S);
  remove_all (lin);
}

/* The target time of a waiting request passes. Guards against it starting before requests that can
 * still be answered in time. */
static void
test_late_requests_start_after_all_others (void)
{
  g_autoptr (lin_t) lin = lin_new ();
  request_t soon;
  request_t other;

  CU_ASSERT_EQUAL (push_with_target (lin, &soon, NOW_US, 1, NOW_US + 100 * CLK_US_PER_MS),
                   LIN_WAITS);
  push (lin, &other, 1, 0);
  CU_ASSERT_PTR_EQUAL (lin_first (lin, may_always_start, NULL), &soon);
  CU_ASSERT_PTR_NULL (lin_expired (lin, NOW_US + 100 * CLK_US_PER_MS));
  CU_ASSERT (soon.line.late);
  CU_ASSERT_EQUAL (lin_count (lin), 2);
  CU_ASSERT_EQUAL (lin_count_in_time (lin), 1);
  CU_ASSERT_PTR_EQUAL (start_first (lin), &other);
  CU_ASSERT_PTR_EQUAL (start_first (lin), &soon);
  CU_ASSERT_EQUAL (lin_count (lin), 0);
}

/* Guards against late requests being rejected after an overload, when nothing waits any more. */
static void
test_late_requests_wait_again_after_an_overload (void)
{
  g_autoptr (lin_t) lin = lin_new ();
  g_autofree request_t *before = g_new0 (request_t, MANY);
  uint64_t after_us = OVERLOADED_US + CLK_US_PER_S;
  request_t late;

  push_many (lin, before, MANY);
  for (uint32_t i = 0; i < 100; i++)
    push_and_remove_late (lin, &before[0]);
  while (start_first (lin))
    ;
  CU_ASSERT_EQUAL (push_with_target (lin, &late, after_us, 1, NOW_US), LIN_WAITS);
  lin_remove (lin, after_us, &late.line);
}

/* One account surges, and the target time of a request of another account passes. Guards against
 * that request never starting, behind all requests in time of the surging account. */
static void
test_late_requests_of_an_account_with_credit_stay_first (void)
{
  g_autoptr (lin_t) lin = lin_new ();
  g_autofree request_t *busy = g_new0 (request_t, MANY);
  request_t quiet;

  for (uint32_t i = 0; i < 100; i++)
    lin_note_run (lin, &busy[0].line, 2 * CLK_US_PER_S);
  push_many (lin, busy, MANY);
  for (uint32_t i = 0; i < MANY; i++)
    start_first (lin);
  for (uint32_t i = 0; i < MANY; i++)
    push (lin, &busy[i], 1, 0);
  start_first (lin);
  CU_ASSERT_EQUAL (push_with_target (lin, &quiet, NOW_US, 2, NOW_US + 1), LIN_WAITS);
  CU_ASSERT_PTR_NULL (lin_expired (lin, NOW_US + CLK_US_PER_S));
  CU_ASSERT (!quiet.line.late);
  CU_ASSERT_PTR_EQUAL (start_first (lin), &quiet);
  remove_all (lin);
}

static const lin_room_t SCARCE = { .slots = 6, .gateways = 22 };

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
  lin_t *line;
  request_t waits;
  request_t requests[ARRIVALS_MAX];
  uint32_t count;
} overload_t;

static lin_outcome_t
add_arrival (overload_t *overload, uint64_t account, bool late)
{
  request_t *request = &overload->requests[overload->count++];
  lin_outcome_t outcome;
  uint64_t wait_us;

  request->line = (lin_item_t){ .arrived_us = OVERLOADED_US,
                                .deadline_us = OVERLOADED_US + 60 * CLK_US_PER_S,
                                .in_time_us = late ? 1 : 0,
                                .run_us = 60 * CLK_US_PER_MS,
                                .fair = { .account_hash = account, .owner = request } };
  outcome = lin_push (overload->line, OVERLOADED_US, &SCARCE, &request->line, &wait_us);
  if (!late)
    lin_start (overload->line, OVERLOADED_US, &request->line);
  return outcome;
}

/* After @busy requests of one account and half of those of seventeen other accounts have started,
 * adds a late request of an account without any. Return: its outcome */
static lin_outcome_t
push_late_with_scarce_slots (uint32_t busy)
{
  overload_t overload = { .line = lin_new () };
  lin_outcome_t outcome;

  push (overload.line, &overload.waits, 1, 0);
  for (uint32_t i = 0; i < busy; i++)
    add_arrival (&overload, BUSY_ACCOUNT, false);
  for (uint32_t i = 0; i < QUIET_STARTED + QUIET_LATE; i++)
    add_arrival (&overload, 100 + i, i >= QUIET_STARTED);
  outcome = add_arrival (&overload, 99, true);
  remove_all (overload.line);
  lin_free (overload.line);
  return outcome;
}

/* 22 gateways share six slots in an overload, and the busiest account sends a third of the
 * requests. Guards against slots going to late requests of the other accounts, which have credit,
 * while requests in time wait at other gateways: a third of the responses were late so. */
static void
test_scarce_slots_are_for_requests_in_time (void)
{
  CU_ASSERT_EQUAL (push_late_with_scarce_slots (8), LIN_TOO_LATE);
}

/* One account sends two thirds of the requests. Guards against late requests of the others being
 * rejected in favour of it. */
static void
test_scarce_slots_in_a_surge_of_one (void)
{
  CU_ASSERT_EQUAL (push_late_with_scarce_slots (34), LIN_WAITS);
}

/* A retry may be sent only after some time. Guards against it blocking requests in time, and
 * against queueing it if that time is too late for it. */
static void
test_delayed_retry_waits_with_late_requests (void)
{
  g_autoptr (lin_t) lin = lin_new ();
  request_t first = { .line = { .arrived_us = NOW_US, .deadline_us = NOW_US + CLK_US_PER_S } };
  request_t second;

  first.line.fair.owner = &first;
  CU_ASSERT_FALSE (lin_push_behind (lin, NOW_US, &first.line, CLK_US_PER_S));
  CU_ASSERT_FALSE (first.line.waiting);
  CU_ASSERT_TRUE (lin_push_behind (lin, NOW_US, &first.line, CLK_US_PER_S / 2));
  push (lin, &second, 1, 0);
  CU_ASSERT_PTR_EQUAL (start_first (lin), &second);
  CU_ASSERT_PTR_EQUAL (start_first (lin), &first);
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
                                       CU_TEST_INFO_NULL };

  return suite_run ("wait_queue", tests);
}
