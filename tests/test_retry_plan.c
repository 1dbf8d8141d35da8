/* Unit tests of how a gateway retries requests, limits retries, splits event streams, times
 * attempts out and attributes crashes. */
#include "request/policy/retries/retry_plan.h"
#include "request/event_splitter.h"
#include "request/policy/retries/hop_timeout.h"
#include "request/policy/retries/retry_budget.h"
#include "suite.h"

#include <glib.h>
#include <string.h>

#define PLENTY_US (1000 * 1000)
#define S_US (UINT64_C (1000) * 1000)

static bool
allow (void *context)
{
  uint32_t *asked = context;

  (*asked)++;
  return true;
}

static bool
forbid (void *context)
{
  (void)context;
  return false;
}

static retry_plan_step_t
next (retry_plan_t *retry_plan, retry_plan_outcome_t outcome)
{
  uint32_t asked = 0;

  return retry_plan_next (retry_plan, outcome, PLENTY_US, allow, &asked);
}

static retry_plan_t
make (bool idempotent, bool resumable, uint32_t attempts)
{
  retry_plan_t retry_plan;

  retry_plan_init (&retry_plan, &(retry_plan_rules_t){ idempotent, resumable, attempts });
  return retry_plan;
}

/* Guards against a request that is not idempotent being executed twice, or reported as not
 * executed, after its connection broke without a response. */
static void
test_non_idempotent_is_resent_only_if_not_run (void)
{
  retry_plan_t retry_plan = make (false, false, 2);

  CU_ASSERT_EQUAL (next (&retry_plan, RETRY_PLAN_OUTCOME_NOT_RUN), RETRY_PLAN_STEP_RESEND);
  CU_ASSERT_EQUAL (next (&retry_plan, RETRY_PLAN_OUTCOME_UNKNOWN), RETRY_PLAN_STEP_FAIL);
  retry_plan = make (false, false, 2);
  CU_ASSERT_EQUAL (next (&retry_plan, RETRY_PLAN_OUTCOME_FAILED), RETRY_PLAN_STEP_PASS_ON);
  retry_plan = make (false, false, 2);
  CU_ASSERT_EQUAL (next (&retry_plan, RETRY_PLAN_OUTCOME_BROKE_OFF), RETRY_PLAN_STEP_CUT_OFF);
}

static retry_plan_t
make_with_copy (bool resumable, uint32_t attempts)
{
  retry_plan_t retry_plan = make (false, resumable, attempts);

  retry_plan_set_copy (&retry_plan, true);
  return retry_plan;
}

/* Guards against a run that ends with its engine although another one has its copy, and against
 * copies that never end. */
static void
test_run_goes_on_from_a_copy (void)
{
  static const retry_plan_outcome_t lost[] = { RETRY_PLAN_OUTCOME_UNKNOWN,
                                               RETRY_PLAN_OUTCOME_FAILED,
                                               RETRY_PLAN_OUTCOME_BROKE_OFF };

  for (uint32_t i = 0; i < G_N_ELEMENTS (lost); i++)
    {
      retry_plan_t retry_plan = make_with_copy (false, 1);

      CU_ASSERT_TRUE (retry_plan_may_move (&retry_plan, true));
      for (uint32_t copies = 0; copies < RETRY_PLAN_COPIES_MAX; copies++)
        {
          CU_ASSERT_EQUAL (next (&retry_plan, lost[i]), RETRY_PLAN_STEP_CONTINUE);
          CU_ASSERT_TRUE (retry_plan_note_send (&retry_plan));
          retry_plan_set_copy (&retry_plan, true);
        }
      CU_ASSERT_EQUAL (next (&retry_plan, RETRY_PLAN_OUTCOME_BROKE_OFF), RETRY_PLAN_STEP_CUT_OFF);
    }
}

/* Guards against a second run, or a caller that is told that nothing ran, after an engine that has
 * no copy. */
static void
test_missing_copy_leaves_the_outcome_before (void)
{
  retry_plan_t retry_plan = make_with_copy (false, 3);

  CU_ASSERT_EQUAL (next (&retry_plan, RETRY_PLAN_OUTCOME_UNKNOWN), RETRY_PLAN_STEP_CONTINUE);
  CU_ASSERT_EQUAL (next (&retry_plan, RETRY_PLAN_OUTCOME_FULL), RETRY_PLAN_STEP_FAIL);
  retry_plan = make_with_copy (false, 3);
  CU_ASSERT_EQUAL (next (&retry_plan, RETRY_PLAN_OUTCOME_BROKE_OFF), RETRY_PLAN_STEP_CONTINUE);
  CU_ASSERT_EQUAL (next (&retry_plan, RETRY_PLAN_OUTCOME_UNSENT), RETRY_PLAN_STEP_CUT_OFF);
  retry_plan = make_with_copy (true, 2);
  CU_ASSERT_EQUAL (next (&retry_plan, RETRY_PLAN_OUTCOME_BROKE_OFF), RETRY_PLAN_STEP_CONTINUE);
  CU_ASSERT_EQUAL (next (&retry_plan, RETRY_PLAN_OUTCOME_NOT_RUN), RETRY_PLAN_STEP_RESUME);
  CU_ASSERT_EQUAL (next (&retry_plan, RETRY_PLAN_OUTCOME_BROKE_OFF), RETRY_PLAN_STEP_CUT_OFF);
}

/* Guards against an attempt beside a silent one that counts as no retry, or leaves another outcome
 * than the attempt before when the copy is missing. */
static void
test_attempt_beside_a_silent_one (void)
{
  retry_plan_t retry_plan = make_with_copy (false, 1);

  CU_ASSERT_TRUE (retry_plan_may_continue (&retry_plan));
  for (uint32_t copies = 0; copies < RETRY_PLAN_COPIES_MAX; copies++)
    {
      retry_plan_continue (&retry_plan, RETRY_PLAN_OUTCOME_BROKE_OFF);
      CU_ASSERT_TRUE (retry_plan_note_send (&retry_plan));
      retry_plan_set_copy (&retry_plan, true);
    }
  CU_ASSERT_FALSE (retry_plan_may_continue (&retry_plan));
  CU_ASSERT_EQUAL (retry_plan.ran, RETRY_PLAN_COPIES_MAX);
  CU_ASSERT_EQUAL (next (&retry_plan, RETRY_PLAN_OUTCOME_FULL), RETRY_PLAN_STEP_CUT_OFF);
}

/* Guards against copies that exceed the retry budget or the deadline, or that carry a request on
 * trial to a further engine. */
static void
test_copy_keeps_to_the_limits (void)
{
  retry_plan_t retry_plan = make_with_copy (false, 1);
  uint32_t asked = 0;

  CU_ASSERT_EQUAL (
      retry_plan_next (&retry_plan, RETRY_PLAN_OUTCOME_BROKE_OFF, PLENTY_US, forbid, NULL),
      RETRY_PLAN_STEP_CUT_OFF);
  retry_plan = make_with_copy (false, 1);
  CU_ASSERT_EQUAL (retry_plan_next (&retry_plan, RETRY_PLAN_OUTCOME_BROKE_OFF,
                                    RETRY_PLAN_MIN_TIME_US - 1, allow, &asked),
                   RETRY_PLAN_STEP_CUT_OFF);
  retry_plan = make_with_copy (false, 1);
  retry_plan_forbid_rerun (&retry_plan);
  CU_ASSERT_EQUAL (next (&retry_plan, RETRY_PLAN_OUTCOME_BROKE_OFF), RETRY_PLAN_STEP_CUT_OFF);
}

/* Guards against 503 for a request that one engine may have executed before all others rejected
 * it. */
static void
test_may_have_run_is_not_reported_as_not_run (void)
{
  retry_plan_t retry_plan = make (true, false, 3);

  CU_ASSERT_EQUAL (next (&retry_plan, RETRY_PLAN_OUTCOME_UNKNOWN), RETRY_PLAN_STEP_RESEND);
  CU_ASSERT_EQUAL (next (&retry_plan, RETRY_PLAN_OUTCOME_NOT_RUN), RETRY_PLAN_STEP_RESEND);
  CU_ASSERT_EQUAL (next (&retry_plan, RETRY_PLAN_OUTCOME_NOT_RUN), RETRY_PLAN_STEP_RESEND);
  CU_ASSERT_EQUAL (next (&retry_plan, RETRY_PLAN_OUTCOME_NOT_RUN), RETRY_PLAN_STEP_FAIL);
  retry_plan = make (true, false, 3);
  for (uint32_t i = 1; i < RETRY_PLAN_REJECTIONS_MAX; i++)
    CU_ASSERT_EQUAL (next (&retry_plan, RETRY_PLAN_OUTCOME_NOT_RUN), RETRY_PLAN_STEP_RESEND);
  CU_ASSERT_EQUAL (next (&retry_plan, RETRY_PLAN_OUTCOME_NOT_RUN), RETRY_PLAN_STEP_REJECT);
}

static void
test_route_limits_engines_that_may_run (void)
{
  retry_plan_t retry_plan = make (true, false, 2);

  CU_ASSERT_EQUAL (next (&retry_plan, RETRY_PLAN_OUTCOME_FAILED), RETRY_PLAN_STEP_RESEND);
  CU_ASSERT_EQUAL (next (&retry_plan, RETRY_PLAN_OUTCOME_FAILED), RETRY_PLAN_STEP_PASS_ON);
  retry_plan = make (false, true, 2);
  CU_ASSERT_EQUAL (next (&retry_plan, RETRY_PLAN_OUTCOME_BROKE_OFF), RETRY_PLAN_STEP_RESUME);
  CU_ASSERT_EQUAL (next (&retry_plan, RETRY_PLAN_OUTCOME_BROKE_OFF), RETRY_PLAN_STEP_CUT_OFF);
  retry_plan = make (false, true, 1);
  CU_ASSERT_EQUAL (next (&retry_plan, RETRY_PLAN_OUTCOME_BROKE_OFF), RETRY_PLAN_STEP_CUT_OFF);
}

/* Only requests that may be sent again can probe a failed engine or be moved from a silent one. */
static void
test_which_requests_may_move (void)
{
  retry_plan_t payment;
  retry_plan_t lookup;
  retry_plan_t stream;

  retry_plan_init (&payment, &(retry_plan_rules_t){ .max_runs = 3 });
  retry_plan_init (&lookup, &(retry_plan_rules_t){ .idempotent = true, .max_runs = 2 });
  retry_plan_init (&stream, &(retry_plan_rules_t){ .resumable = true, .max_runs = 2 });
  CU_ASSERT_FALSE (retry_plan_may_move (&payment, false));
  CU_ASSERT_TRUE (retry_plan_may_move (&lookup, false));
  CU_ASSERT_FALSE (retry_plan_may_move (&lookup, true));
  CU_ASSERT_TRUE (retry_plan_may_move (&stream, true));
  lookup.ran = 1;
  CU_ASSERT_FALSE (retry_plan_may_move (&lookup, false));
}

static void
test_no_retry_without_budget_or_time (void)
{
  retry_plan_t retry_plan = make (true, false, 2);
  uint32_t asked = 0;

  CU_ASSERT_EQUAL (
      retry_plan_next (&retry_plan, RETRY_PLAN_OUTCOME_FAILED, PLENTY_US, forbid, NULL),
      RETRY_PLAN_STEP_PASS_ON);
  retry_plan = make (true, false, 2);
  CU_ASSERT_EQUAL (retry_plan_next (&retry_plan, RETRY_PLAN_OUTCOME_UNKNOWN,
                                    RETRY_PLAN_MIN_TIME_US - 1, allow, &asked),
                   RETRY_PLAN_STEP_FAIL);
  CU_ASSERT_EQUAL (asked, 0);
}

/* Guards against 503 for requests with time left after a few attempts at engines that are full only
 * for a moment. */
static void
test_full_engines_are_retried (void)
{
  retry_plan_t retry_plan = make (true, false, 2);

  CU_ASSERT_EQUAL (next (&retry_plan, RETRY_PLAN_OUTCOME_NOT_RUN), RETRY_PLAN_STEP_RESEND);
  for (uint32_t i = 1; i < RETRY_PLAN_FULL_MAX; i++)
    CU_ASSERT_EQUAL (next (&retry_plan, RETRY_PLAN_OUTCOME_FULL), RETRY_PLAN_STEP_RESEND);
  CU_ASSERT_EQUAL (next (&retry_plan, RETRY_PLAN_OUTCOME_NOT_RUN), RETRY_PLAN_STEP_RESEND);
  CU_ASSERT_EQUAL (next (&retry_plan, RETRY_PLAN_OUTCOME_FULL), RETRY_PLAN_STEP_REJECT);
  retry_plan = make (true, false, 2);
  CU_ASSERT_EQUAL (retry_plan_next (&retry_plan, RETRY_PLAN_OUTCOME_FULL, PLENTY_US, forbid, NULL),
                   RETRY_PLAN_STEP_WAIT);
  CU_ASSERT_EQUAL (
      retry_plan_next (&retry_plan, RETRY_PLAN_OUTCOME_NOT_RUN, PLENTY_US, forbid, NULL),
      RETRY_PLAN_STEP_REJECT);
}

/* Guards against 503 when many engines fail at once: failed connections must not use the retry
 * budget, and only several of them end a request. */
static void
test_failed_connections_use_no_retry (void)
{
  retry_plan_t retry_plan = make (false, false, 1);

  for (uint32_t i = 1; i < RETRY_PLAN_UNSENT_MAX; i++)
    CU_ASSERT_EQUAL (
        retry_plan_next (&retry_plan, RETRY_PLAN_OUTCOME_UNSENT, PLENTY_US, forbid, NULL),
        RETRY_PLAN_STEP_RESEND);
  CU_ASSERT_EQUAL (next (&retry_plan, RETRY_PLAN_OUTCOME_UNSENT), RETRY_PLAN_STEP_REJECT);
}

static const retry_budget_options_t options = { .ratio_milli = 200,
                                                .slack = 40,
                                                .window_us = 10 * S_US };

static uint32_t
use_all_retries (retry_budget_t *retry_budget, uint64_t now_us, uint32_t routers)
{
  uint32_t taken = 0;

  for (; taken < 1000 && retry_budget_wait_us (retry_budget, &options, now_us, routers) == 0;
       taken++)
    retry_budget_count_retry (retry_budget, &options, now_us);
  return taken;
}

static void
test_share_of_the_slack (void)
{
  retry_budget_t alone = { 0 };
  retry_budget_t one_of_four = { 0 };

  CU_ASSERT_EQUAL (use_all_retries (&alone, 50 * S_US, 1), 30);
  CU_ASSERT_EQUAL (use_all_retries (&one_of_four, 50 * S_US, 4), 7);
}

static void
test_wait_for_a_retry (void)
{
  retry_budget_t retry_budget = { 0 };
  uint64_t now_us = 50 * S_US + 7;
  uint64_t wait_us;

  CU_ASSERT_EQUAL (retry_budget_wait_us (&retry_budget, &options, now_us, 1), 0);
  use_all_retries (&retry_budget, now_us, 1);
  wait_us = retry_budget_wait_us (&retry_budget, &options, now_us, 1);
  CU_ASSERT (wait_us > options.window_us / 2);
  CU_ASSERT_NOT_EQUAL (retry_budget_wait_us (&retry_budget, &options, now_us + wait_us - 1, 1), 0);
  CU_ASSERT_EQUAL (retry_budget_wait_us (&retry_budget, &options, now_us + wait_us, 1), 0);
}

/* Four routers with uneven traffic send all retries that they may, for a minute. In no window of
 * ten seconds does their sum exceed the limit. */
static void
test_routers_together_keep_the_limit (void)
{
  retry_budget_t routers[4] = { 0 };
  uint32_t sent[600] = { 0 };
  uint32_t requests[600] = { 0 };

  for (uint32_t tick = 0; tick < 600; tick++)
    for (uint32_t i = 0; i < 4; i++)
      {
        uint64_t now_us = (1000 + tick) * S_US / 10 + i * 7919;
        uint32_t arrivals = tick % 97 < 40 ? i : 3 - i;

        for (uint32_t k = 0; k < arrivals; k++)
          retry_budget_count_request (&routers[i], &options, now_us);
        requests[tick] += arrivals;
        sent[tick] += use_all_retries (&routers[i], now_us, 4);
      }
  for (uint32_t from = 100; from < 500; from++)
    {
      uint32_t retries = 0;
      uint32_t in_window = 0;

      for (uint32_t tick = from; tick < from + 100; tick++)
        {
          retries += sent[tick];
          in_window += requests[tick];
        }
      CU_ASSERT (retries * 1000 <= in_window * options.ratio_milli + options.slack * 1000);
      CU_ASSERT (retries > 0);
    }
}

/** struct split - an event stream with its input, and its output so far */
typedef struct
{
  event_splitter_t splitter;
  struct evbuffer *in;
  GString *out;
} split_t;

static void
split_init (split_t *split)
{
  event_splitter_init (&split->splitter, NULL, 0);
  split->in = evbuffer_new ();
  split->out = g_string_new (NULL);
}

static void
split_clear (split_t *split)
{
  event_splitter_clear (&split->splitter);
  evbuffer_free (split->in);
  g_string_free (split->out, TRUE);
}

static void
feed (split_t *split, const char *text)
{
  struct evbuffer *whole = evbuffer_new ();

  evbuffer_add (split->in, text, strlen (text));
  event_splitter_feed (&split->splitter, split->in, whole);
  g_string_append_len (split->out, (const char *)evbuffer_pullup (whole, -1),
                       (gssize)evbuffer_get_length (whole));
  evbuffer_free (whole);
}

static void
test_events_are_forwarded_whole (void)
{
  static const char text[] =
      "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\nid:3\ndata: c\n\n";
  static const char events[] = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid:3\ndata: c\n\n";

  for (size_t step = 1; step < sizeof text; step++)
    {
      split_t split;

      split_init (&split);
      for (size_t at = 0; at < sizeof text - 1; at += step)
        {
          g_autofree char *part = g_strndup (text + at, step);

          feed (&split, part);
          CU_ASSERT (g_str_has_prefix (events, split.out->str));
        }
      CU_ASSERT_STRING_EQUAL (split.out->str, events);
      CU_ASSERT (event_splitter_is_between (&split.splitter));
      CU_ASSERT_EQUAL (split.splitter.last_id, 3);
      CU_ASSERT_EQUAL (split.splitter.event_count, 3);
      split_clear (&split);
    }
}

/* An engine crashes within event 2, and another one continues the stream but repeats event 1.
 * Guards against events that the client gets in part or twice. */
static void
test_stream_resumes_after_the_last_whole_event (void)
{
  split_t split;

  split_init (&split);
  feed (&split, "id: 1\ndata: a\n\nid: 2\nda");
  CU_ASSERT (!event_splitter_is_between (&split.splitter));
  event_splitter_resume (&split.splitter);
  CU_ASSERT_EQUAL (split.splitter.last_id, 1);
  feed (&split, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  CU_ASSERT_STRING_EQUAL (split.out->str, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  CU_ASSERT (event_splitter_is_between (&split.splitter));
  split_clear (&split);
}

static void
test_oversized_event_breaks_the_stream (void)
{
  split_t split;
  g_autofree char *text = g_strnfill (EVENT_SPLITTER_LIMIT_BYTES + 1, 'x');

  split_init (&split);
  feed (&split, text);
  CU_ASSERT_EQUAL (split.splitter.fault, EVENT_FAULT_OVERSIZED);
  split_clear (&split);
}

#define SENT_US (100 * S_US)

#define TIME_US (UINT64_C (12000) * 1000)

static bool
is_lost (const hop_timeout_t *hop_timeout, uint64_t after_ms)
{
  return hop_timeout_has_expired (hop_timeout, SENT_US + after_ms * 1000);
}

/* An engine stops responding to all requests while its connections stay open. Guards against a
 * timeout that is longer than the clients' deadlines, or one that hits an engine while it reads a
 * long prompt. */
static void
test_silent_engine_is_abandoned (void)
{
  hop_timeout_t hop_timeout = { .sent_us = SENT_US,
                                .engine_last_byte_us = SENT_US - 1000,
                                .usual_us = 50 * 1000,
                                .time_limit_us = TIME_US };

  CU_ASSERT (!is_lost (&hop_timeout, 490));
  CU_ASSERT (is_lost (&hop_timeout, 510));
  hop_timeout.prompt_tokens = 30000;
  CU_ASSERT (!is_lost (&hop_timeout, 1200));
  CU_ASSERT (is_lost (&hop_timeout, 1300));
}

/* The engine responds to other requests, so this one may only be queued: its timeout is longer. */
static void
test_late_request_is_abandoned_later (void)
{
  hop_timeout_t hop_timeout = { .sent_us = SENT_US,
                                .usual_us = 50 * 1000,
                                .time_limit_us = TIME_US };

  hop_timeout.engine_last_byte_us = SENT_US + 990 * 1000;
  CU_ASSERT (!is_lost (&hop_timeout, 995));
  CU_ASSERT (is_lost (&hop_timeout, 1000));
  hop_timeout.usual_us = 300 * 1000;
  hop_timeout.engine_last_byte_us = SENT_US + 2290 * 1000;
  CU_ASSERT (!is_lost (&hop_timeout, 2300));
}

/* The response of a request with a deadline of one second is lost. Guards against a timeout that
 * leaves no time for a second attempt, or one that hits a slow engine while it works. */
static void
test_lost_response_of_a_short_request (void)
{
  hop_timeout_t hop_timeout = { .sent_us = SENT_US,
                                .usual_us = 25 * 1000,
                                .time_limit_us = 1000 * 1000 };

  hop_timeout.engine_last_byte_us = SENT_US + 240 * 1000;
  CU_ASSERT (!is_lost (&hop_timeout, 245));
  CU_ASSERT (is_lost (&hop_timeout, 250));
  hop_timeout.usual_us = 60 * 1000;
  CU_ASSERT (!is_lost (&hop_timeout, 475));
  CU_ASSERT (is_lost (&hop_timeout, 480));
}

static void
test_silent_stream_is_abandoned (void)
{
  hop_timeout_t hop_timeout = { .sent_us = SENT_US,
                                .last_byte_us = SENT_US + 100 * 1000,
                                .usual_us = 50 * 1000,
                                .time_limit_us = TIME_US };

  CU_ASSERT (!is_lost (&hop_timeout, 60 * 1000));
  hop_timeout.gap_us = 300 * 1000;
  hop_timeout.engine_last_byte_us = SENT_US + 900 * 1000;
  CU_ASSERT (!is_lost (&hop_timeout, 1000));
  CU_ASSERT (is_lost (&hop_timeout, 1100));
  hop_timeout.engine_last_byte_us = hop_timeout.last_byte_us;
  CU_ASSERT (is_lost (&hop_timeout, 610));
}

/* Guards against a request of low priority being moved from one full engine to another, which only
 * adds load. */
static void
test_timeout_is_longer_if_engines_are_full (void)
{
  hop_timeout_t hop_timeout = { .sent_us = SENT_US,
                                .usual_us = 100 * 1000,
                                .time_limit_us = TIME_US };

  CU_ASSERT (is_lost (&hop_timeout, 1000));
  hop_timeout.engines_full = true;
  CU_ASSERT (!is_lost (&hop_timeout, 1000));
  CU_ASSERT (!is_lost (&hop_timeout, 1999));
  CU_ASSERT (is_lost (&hop_timeout, 2000));
}

/* Guards against a request that ends engines being sent to one more by the gateway itself. */
static void
test_rerun_is_forbidden (void)
{
  retry_plan_t retry_plan;
  uint32_t asked = 0;

  retry_plan_init (&retry_plan, &(retry_plan_rules_t){ .idempotent = true, .max_runs = 3 });
  retry_plan_forbid_rerun (&retry_plan);
  CU_ASSERT_EQUAL (
      retry_plan_next (&retry_plan, RETRY_PLAN_OUTCOME_NOT_RUN, PLENTY_US, allow, &asked),
      RETRY_PLAN_STEP_RESEND);
  CU_ASSERT_EQUAL (
      retry_plan_next (&retry_plan, RETRY_PLAN_OUTCOME_UNKNOWN, PLENTY_US, allow, &asked),
      RETRY_PLAN_STEP_FAIL);
}

int
main (void)
{
  static const CU_TestInfo tests[] = { SUITE_TEST (test_non_idempotent_is_resent_only_if_not_run),
                                       SUITE_TEST (test_run_goes_on_from_a_copy),
                                       SUITE_TEST (test_missing_copy_leaves_the_outcome_before),
                                       SUITE_TEST (test_attempt_beside_a_silent_one),
                                       SUITE_TEST (test_copy_keeps_to_the_limits),
                                       SUITE_TEST (test_may_have_run_is_not_reported_as_not_run),
                                       SUITE_TEST (test_route_limits_engines_that_may_run),
                                       SUITE_TEST (test_which_requests_may_move),
                                       SUITE_TEST (test_no_retry_without_budget_or_time),
                                       SUITE_TEST (test_full_engines_are_retried),
                                       SUITE_TEST (test_failed_connections_use_no_retry),
                                       SUITE_TEST (test_wait_for_a_retry),
                                       SUITE_TEST (test_share_of_the_slack),
                                       SUITE_TEST (test_routers_together_keep_the_limit),
                                       SUITE_TEST (test_events_are_forwarded_whole),
                                       SUITE_TEST (test_stream_resumes_after_the_last_whole_event),
                                       SUITE_TEST (test_oversized_event_breaks_the_stream),
                                       SUITE_TEST (test_silent_engine_is_abandoned),
                                       SUITE_TEST (test_late_request_is_abandoned_later),
                                       SUITE_TEST (test_lost_response_of_a_short_request),
                                       SUITE_TEST (test_silent_stream_is_abandoned),
                                       SUITE_TEST (test_timeout_is_longer_if_engines_are_full),
                                       SUITE_TEST (test_rerun_is_forbidden),
                                       CU_TEST_INFO_NULL };

  return suite_run ("retry_plan", tests);
}
