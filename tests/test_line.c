/* Unit tests of the requests that wait at a gateway for room. */
#include "request/policy/line.h"
#include "suite.h"

G_DEFINE_AUTOPTR_CLEANUP_FUNC (lin_t, lin_free)

#define NOW_US (UINT64_C (100) * CLK_US_PER_S)
#define MANY 40
#define PRESSED_US (NOW_US + LIN_PRESSED_US)

static const lin_room_t ROOM = { .slots = 8, .gateways = 1 };

/** struct asker - a request that waits */
typedef struct
{
  lin_item_t line;
  uint64_t account;
} asker_t;

static lin_outcome_t
push_by (lin_t *lin, asker_t *asker, uint64_t account, uint32_t priority, uint64_t deadline_us)
{
  uint64_t wait_us;

  *asker = (asker_t){ .account = account,
                      .line = { .arrived_us = NOW_US,
                                .priority = priority,
                                .deadline_us = deadline_us,
                                .fair = { .account_hash = account } } };
  asker->line.fair.owner = asker;
  return lin_push (lin, NOW_US, &ROOM, &asker->line, &wait_us);
}

static void
push (lin_t *lin, asker_t *asker, uint64_t account, uint32_t priority)
{
  CU_ASSERT_EQUAL (push_by (lin, asker, account, priority, NOW_US + 60 * CLK_US_PER_S), LIN_WAITS);
}

static bool
any (void *owner, void *context)
{
  (void)owner;
  (void)context;
  return true;
}

static asker_t *
start_first (lin_t *lin)
{
  asker_t *asker = lin_first (lin, any, NULL);

  if (asker)
    lin_start (lin, NOW_US, &asker->line);
  return asker;
}

static void
remove_all (lin_t *lin)
{
  for (asker_t *asker = lin_first (lin, any, NULL); asker; asker = lin_first (lin, any, NULL))
    lin_remove (lin, NOW_US, &asker->line);
}

/*
 * One account has forty requests in line when another one, which has had nothing, sends three. The
 * other's caller sees its requests served in turn with the first's, not after all forty.
 */
static void
test_an_account_waits_behind_itself (void)
{
  g_autoptr (lin_t) lin = lin_new ();
  asker_t loud[MANY];
  asker_t quiet[3];
  uint32_t served = 0;

  for (uint32_t i = 0; i < MANY; i++)
    push (lin, &loud[i], 1, 1);
  for (uint32_t i = 0; i < 10; i++)
    start_first (lin);
  for (uint32_t i = 0; i < 3; i++)
    push (lin, &quiet[i], 2, 1);
  for (uint32_t i = 0; i < 7; i++)
    served += start_first (lin)->account == 2 ? 1 : 0;
  CU_ASSERT_EQUAL (served, 3);
  remove_all (lin);
}

/*
 * There was room until now, so nothing waited, and one account had nearly all of it. Then all is
 * full and both send. The one that had little starts first for a while.
 */
static void
test_what_started_without_waiting_counts (void)
{
  g_autoptr (lin_t) lin = lin_new ();
  asker_t loud[MANY];
  asker_t quiet[MANY];
  asker_t before = { .line = { .priority = 1, .fair = { .account_hash = 1 } } };
  uint32_t served = 0;

  for (uint32_t i = 0; i < 200; i++)
    lin_start (lin, NOW_US, &before.line);
  for (uint32_t i = 0; i < MANY; i++)
    push (lin, &loud[i], 1, 1);
  for (uint32_t i = 0; i < MANY; i++)
    push (lin, &quiet[i], 2, 1);
  for (uint32_t i = 0; i < 20; i++)
    served += start_first (lin)->account == 2 ? 1 : 0;
  CU_ASSERT (served >= 15);
  remove_all (lin);
}

/* Two accounts send alike, but one's requests keep their slots four times as long. It gets about a
 * fifth of the starts, as each has half of the slots' time then. */
static void
test_long_requests_count_by_their_time (void)
{
  g_autoptr (lin_t) lin = lin_new ();
  asker_t of_long[200];
  asker_t of_short[200];
  uint32_t starts_of_long = 0;

  for (uint32_t i = 0; i < 200; i++)
    {
      push (lin, &of_long[i], 1, 1);
      push (lin, &of_short[i], 2, 1);
    }
  for (uint32_t i = 0; i < 200; i++)
    {
      asker_t *asker = start_first (lin);
      bool is_long = asker->account == 1;

      starts_of_long += is_long ? 1 : 0;
      lin_note_run (lin, &asker->line, (is_long ? 80 : 20) * CLK_US_PER_MS);
    }
  CU_ASSERT (starts_of_long >= 30 && starts_of_long <= 80);
  remove_all (lin);
}

/* A request of the second priority waits while those of the first go on coming. It starts all the
 * same before long: priorities are a preference. */
static void
test_no_priority_starves (void)
{
  g_autoptr (lin_t) lin = lin_new ();
  asker_t last;
  g_autofree asker_t *first = g_new0 (asker_t, 600);
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

/* One engine is left of a service, and 22 gateways queue for its six slots. Who expects a whole
 * slot for itself queues requests that then wait to their deadline, instead of telling callers at
 * once. */
static void
test_wait_is_for_a_share_of_the_slots (void)
{
  const lin_room_t few = { .slots = 6, .gateways = 22 };
  const lin_room_t more = { .slots = 66, .gateways = 22 };
  const lin_room_t unknown = { 0 };

  CU_ASSERT_EQUAL (lin_share_us (&few, 10 * 30000), 1100000);
  CU_ASSERT_EQUAL (lin_share_us (&more, 10 * 30000), 100000);
  CU_ASSERT_EQUAL (lin_share_us (&unknown, 30000), 30000);
}

/* What can't start in time is refused at once, with the wait that the caller is told. */
static void
test_hopeless_is_refused_at_once (void)
{
  g_autoptr (lin_t) lin = lin_new ();
  asker_t askers[MANY];
  asker_t hasty;

  for (uint32_t i = 0; i < MANY; i++)
    push (lin, &askers[i], 1, 1);
  CU_ASSERT_EQUAL (push_by (lin, &hasty, 1, 1, NOW_US + 300 * CLK_US_PER_MS), LIN_TOO_LATE);
  CU_ASSERT (!hasty.line.waiting);
  CU_ASSERT_EQUAL (push_by (lin, &hasty, 1, 1, NOW_US + 500 * CLK_US_PER_MS), LIN_WAITS);
  remove_all (lin);
}

/* All engines leave while a request waits that has a second in all. It hears so in its last
 * quarter, while its caller can still send it elsewhere. */
static void
test_waiting_ends_before_the_deadline (void)
{
  g_autoptr (lin_t) lin = lin_new ();
  asker_t asker;

  for (uint32_t i = 0; i < 100; i++)
    lin_note_head (lin, CLK_US_PER_S);
  CU_ASSERT_EQUAL (push_by (lin, &asker, 1, 1, NOW_US + CLK_US_PER_S), LIN_WAITS);
  CU_ASSERT_PTR_NULL (lin_expired (lin, NOW_US + 749 * CLK_US_PER_MS));
  CU_ASSERT_PTR_EQUAL (lin_expired (lin, NOW_US + 750 * CLK_US_PER_MS), &asker);
  CU_ASSERT_PTR_NULL (lin_expired (lin, NOW_US + 750 * CLK_US_PER_MS));
}

static void
test_line_is_bounded (void)
{
  g_autoptr (lin_t) lin = lin_new ();
  g_autofree asker_t *askers = g_new0 (asker_t, LIN_LIMIT + 1);

  for (uint32_t i = 0; i < LIN_LIMIT; i++)
    push (lin, &askers[i], i % 7, 1);
  CU_ASSERT_EQUAL (push_by (lin, &askers[LIN_LIMIT], 9, 1, NOW_US + UINT64_C (60) * CLK_US_PER_S),
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

/* The request at the head of an account waits for engines that are full. The account behind it has
 * one whose engine has room: it starts, and is charged, while the first one keeps its place. */
static void
test_one_that_may_not_start_holds_up_its_account_only (void)
{
  lin_t *lin = lin_new ();
  asker_t blocked = { 0 };
  asker_t behind = { 0 };
  asker_t other = { 0 };

  push (lin, &blocked, 1, 0);
  push (lin, &behind, 1, 0);
  push (lin, &other, 2, 0);
  CU_ASSERT_PTR_EQUAL (lin_first (lin, any, NULL), &blocked);
  CU_ASSERT_PTR_EQUAL (lin_first (lin, is_not, &blocked), &other);
  lin_start (lin, NOW_US, &other.line);
  CU_ASSERT_PTR_NULL (lin_first (lin, is_not, &blocked));
  CU_ASSERT_EQUAL (lin_count (lin), 2);
  CU_ASSERT_PTR_EQUAL (start_first (lin), &blocked);
  CU_ASSERT_PTR_EQUAL (start_first (lin), &behind);
  lin_free (lin);
}

/* Requests have waited for longer than a moment, at one slot a second. */
static void
press (lin_t *lin, asker_t *askers, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    push (lin, &askers[i], 1, 0);
}

/* One that can't start in time comes and is refused, as most are in an overload. */
static void
odd_asked (lin_t *lin, const asker_t *like)
{
  asker_t hopeless = *like;
  uint64_t wait_us;

  hopeless.line.waiting = false;
  hopeless.line.in_time_us = NOW_US + 1;
  hopeless.line.deadline_us = NOW_US + 10 * CLK_US_PER_S;
  if (lin_push (lin, PRESSED_US, &ROOM, &hopeless.line, &wait_us) == LIN_WAITS)
    lin_remove (lin, PRESSED_US, &hopeless.line);
}

static lin_outcome_t
push_with_aim (lin_t *lin, asker_t *asker, uint64_t at_us, uint64_t account, uint64_t in_time_us)
{
  uint64_t wait_us;

  *asker = (asker_t){ .account = account,
                      .line = { .arrived_us = at_us,
                                .in_time_us = in_time_us,
                                .deadline_us = at_us + 10 * CLK_US_PER_S,
                                .fair = { .account_hash = account } } };
  asker->line.fair.owner = asker;
  return lin_push (lin, at_us, &ROOM, &asker->line, &wait_us);
}

/*
 * Traffic is more than the engines can do, and requests have waited for half a second. One comes
 * back whose aim has passed. Its caller hears so at once, and is told to come back no sooner than
 * after as long again; before, it waited for seconds and was refused or answered late.
 */
static void
test_late_ones_are_refused_at_once_in_an_overload (void)
{
  g_autoptr (lin_t) lin = lin_new ();
  g_autofree asker_t *before = g_new0 (asker_t, MANY);
  asker_t late;

  press (lin, before, MANY);
  for (uint32_t i = 0; i < 100; i++)
    odd_asked (lin, &before[0]);
  CU_ASSERT_EQUAL (push_with_aim (lin, &late, PRESSED_US - 1, 1, NOW_US), LIN_WAITS);
  lin_remove (lin, PRESSED_US, &late.line);
  CU_ASSERT_EQUAL (push_with_aim (lin, &late, PRESSED_US, 1, NOW_US), LIN_TOO_LATE);
  CU_ASSERT (lin_retry_us (lin, PRESSED_US + CLK_US_PER_S, 0) >= CLK_US_PER_S);
  remove_all (lin);
}

/* As before, and one waits whose aim passes meanwhile. It goes behind all that can still be
 * answered in time, and starts when none of them waits. */
static void
test_late_ones_start_after_all_others (void)
{
  g_autoptr (lin_t) lin = lin_new ();
  asker_t soon;
  asker_t other;

  CU_ASSERT_EQUAL (push_with_aim (lin, &soon, NOW_US, 1, NOW_US + 100 * CLK_US_PER_MS), LIN_WAITS);
  push (lin, &other, 1, 0);
  CU_ASSERT_PTR_EQUAL (lin_first (lin, any, NULL), &soon);
  CU_ASSERT_PTR_NULL (lin_expired (lin, NOW_US + 100 * CLK_US_PER_MS));
  CU_ASSERT (soon.line.late);
  CU_ASSERT_EQUAL (lin_count (lin), 2);
  CU_ASSERT_EQUAL (lin_count_in_time (lin), 1);
  CU_ASSERT_PTR_EQUAL (start_first (lin), &other);
  CU_ASSERT_PTR_EQUAL (start_first (lin), &soon);
  CU_ASSERT_EQUAL (lin_count (lin), 0);
}

/* The overload is over: nothing waits any more. A late one may wait again for a moment. */
static void
test_late_ones_wait_again_after_an_overload (void)
{
  g_autoptr (lin_t) lin = lin_new ();
  g_autofree asker_t *before = g_new0 (asker_t, MANY);
  uint64_t after_us = PRESSED_US + CLK_US_PER_S;
  asker_t late;

  press (lin, before, MANY);
  for (uint32_t i = 0; i < 100; i++)
    odd_asked (lin, &before[0]);
  while (start_first (lin))
    ;
  CU_ASSERT_EQUAL (push_with_aim (lin, &late, after_us, 1, NOW_US), LIN_WAITS);
  lin_remove (lin, after_us, &late.line);
}

/*
 * One account surges, and the aim of a request of another one passes, which has had nothing. It
 * keeps its place and starts next: behind all requests of the surging account, which are in time,
 * it would never start.
 */
static void
test_an_account_with_credit_keeps_its_place (void)
{
  g_autoptr (lin_t) lin = lin_new ();
  g_autofree asker_t *loud = g_new0 (asker_t, MANY);
  asker_t quiet;

  for (uint32_t i = 0; i < 100; i++)
    lin_note_run (lin, &loud[0].line, 2 * CLK_US_PER_S);
  press (lin, loud, MANY);
  for (uint32_t i = 0; i < MANY; i++)
    start_first (lin);
  for (uint32_t i = 0; i < MANY; i++)
    push (lin, &loud[i], 1, 0);
  start_first (lin);
  CU_ASSERT_EQUAL (push_with_aim (lin, &quiet, NOW_US, 2, NOW_US + 1), LIN_WAITS);
  CU_ASSERT_PTR_NULL (lin_expired (lin, NOW_US + CLK_US_PER_S));
  CU_ASSERT (!quiet.line.late);
  CU_ASSERT_PTR_EQUAL (start_first (lin), &quiet);
  remove_all (lin);
}

static const lin_room_t SCARCE = { .slots = 6, .gateways = 22 };

#define BUSY 7 /* an account that has had more than the others */
#define QUIET_STARTED 9
#define QUIET_LATE 8
#define COME_MOST 64

/** struct pressed - a line in which a request has waited for long; @count: requests that came since
 */
typedef struct
{
  lin_t *line;
  asker_t waits;
  asker_t askers[COME_MOST];
  uint32_t count;
} pressed_t;

static lin_outcome_t
come (pressed_t *pressed, uint64_t account, bool late)
{
  asker_t *asker = &pressed->askers[pressed->count++];
  lin_outcome_t outcome;
  uint64_t wait_us;

  asker->line = (lin_item_t){ .arrived_us = PRESSED_US,
                              .deadline_us = PRESSED_US + 60 * CLK_US_PER_S,
                              .in_time_us = late ? 1 : 0,
                              .run_us = 60 * CLK_US_PER_MS,
                              .fair = { .account_hash = account, .owner = asker } };
  outcome = lin_push (pressed->line, PRESSED_US, &SCARCE, &asker->line, &wait_us);
  if (!late)
    lin_start (pressed->line, PRESSED_US, &asker->line);
  return outcome;
}

/* @busy requests of one account start, then half of those of seventeen others; what becomes of one
 * more that is late, of an account that had nothing yet? */
static lin_outcome_t
late_where_slots_are_scarce (uint32_t busy)
{
  pressed_t pressed = { .line = lin_new () };
  lin_outcome_t outcome;

  push (pressed.line, &pressed.waits, 1, 0);
  for (uint32_t i = 0; i < busy; i++)
    come (&pressed, BUSY, false);
  for (uint32_t i = 0; i < QUIET_STARTED + QUIET_LATE; i++)
    come (&pressed, 100 + i, i >= QUIET_STARTED);
  outcome = come (&pressed, 99, true);
  remove_all (pressed.line);
  lin_free (pressed.line);
  return outcome;
}

/*
 * 22 gateways share six slots in an overload, and a third of the requests is of the busiest
 * account. Late requests of all others kept their place, as those accounts had less, and slots went
 * to them while requests in time waited at other gateways: a third of the answers came late. Who
 * can't be answered in time is told so at once.
 */
static void
test_scarce_slots_are_for_those_in_time (void)
{
  CU_ASSERT_EQUAL (late_where_slots_are_scarce (8), LIN_TOO_LATE);
}

/* Where one account sends two thirds, a late one of another account keeps its place before it. */
static void
test_scarce_slots_in_a_surge_of_one (void)
{
  CU_ASSERT_EQUAL (late_where_slots_are_scarce (34), LIN_WAITS);
}

/* Who may not be sent yet does not hold up those in time, and does not wait for what comes too late
 * for it. */
static void
test_one_that_needs_a_retry_waits_behind (void)
{
  g_autoptr (lin_t) lin = lin_new ();
  asker_t first = { .line = { .arrived_us = NOW_US, .deadline_us = NOW_US + CLK_US_PER_S } };
  asker_t second;

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
  static const CU_TestInfo tests[] = {
    SUITE_TEST (test_an_account_waits_behind_itself),
    SUITE_TEST (test_what_started_without_waiting_counts),
    SUITE_TEST (test_long_requests_count_by_their_time),
    SUITE_TEST (test_no_priority_starves),
    SUITE_TEST (test_wait_is_for_a_share_of_the_slots),
    SUITE_TEST (test_hopeless_is_refused_at_once),
    SUITE_TEST (test_waiting_ends_before_the_deadline),
    SUITE_TEST (test_line_is_bounded),
    SUITE_TEST (test_one_that_may_not_start_holds_up_its_account_only),
    SUITE_TEST (test_late_ones_are_refused_at_once_in_an_overload),
    SUITE_TEST (test_late_ones_start_after_all_others),
    SUITE_TEST (test_late_ones_wait_again_after_an_overload),
    SUITE_TEST (test_an_account_with_credit_keeps_its_place),
    SUITE_TEST (test_scarce_slots_are_for_those_in_time),
    SUITE_TEST (test_scarce_slots_in_a_surge_of_one),
    SUITE_TEST (test_one_that_needs_a_retry_waits_behind),
    CU_TEST_INFO_NULL
  };

  return suite_run ("line", tests);
}
