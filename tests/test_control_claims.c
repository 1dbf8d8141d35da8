#include "control_rig.h"
#include "suite.h"

#define STREAM "claims/pool/0"

static message_claim_t *
new_claim (const rig_t *rig, uint64_t id, uint64_t key)
{
  message_claim_t *message = message_new (MESSAGE_CLAIM);
  g_strlcpy (message->stream, STREAM, sizeof message->stream);
  message->claim_id[0] = 1;
  message->claim_id[1] = id;
  message->key.key_hash[0] = key;
  message->key.body_hash = 5;
  message->expiry_us = clock_now_us (&rig->daemon.clock) + 10 * CLOCK_US_PER_S;
  return message;
}

/* Requests a claim and checks its verdict, which must be the result number @results. */
static void
expect_verdict (rig_t *rig, uint64_t id, uint64_t key, uint32_t results, claim_verdict_t verdict)
{
  rig_deliver (rig, new_claim (rig, id, key));
  TICK_UNTIL (rig, rig->received.claim_result_count == results);
  CU_ASSERT_EQUAL (rig->received.claim_result.verdict, verdict);
}

static void
test_claim_is_granted_and_ended (void)
{
  g_auto (rig_t) rig = { 0 };
  rig_init (&rig);
  expect_verdict (&rig, 1, 100, 1, CLAIM_GRANTED);
  CU_ASSERT_EQUAL (fake_platform_record_count (&rig.platform, STREAM), 1);
  expect_verdict (&rig, 2, 100, 2, CLAIM_HELD);
  message_claim_end_t *end = message_new (MESSAGE_CLAIM_END);
  g_strlcpy (end->stream, STREAM, sizeof end->stream);
  end->claim_id[0] = 1;
  end->claim_id[1] = 1;
  end->key.key_hash[0] = 100;
  end->key.body_hash = 5;
  end->ran = true;
  end->status = 201;
  rig_deliver (&rig, end);
  TICK_UNTIL (&rig, control_claims_is_idle (rig.ctrl));
  expect_verdict (&rig, 3, 100, 3, CLAIM_DONE);
  CU_ASSERT_EQUAL (rig.received.claim_result.status, 201);
}

/* Another daemon has claimed the key in a stream that this daemon has not opened yet. Granting the
 * claim before reading that record would run the request twice. */
static void
test_claim_of_other_daemon_wins (void)
{
  struct event_base *base = event_base_new ();
  rig_t other;
  rig_t rig;
  rig_start_fresh (&other, base);
  rig_deliver (&other, new_claim (&other, 1, 100));
  TICK_UNTIL (&other, other.received.claim_result_count == 1);
  rig_set_up (&rig, base, "peer", RIG_PORT + 1);
  rig_add_hosts (&rig.platform);
  rig_publish_version (&rig.platform, 0);
  fake_platform_append (&rig.platform, STREAM, fake_platform_record (&other.platform, STREAM, 0));
  rig_start (&rig);
  expect_verdict (&rig, 2, 100, 1, CLAIM_HELD);
  rig_tear_down (&rig);
  rig_tear_down (&other);
  event_base_free (base);
}

/* While the log is down a request with an idempotency key must be refused at once as not run,
 * instead of waiting until its deadline. The first claim detects the outage, later ones are refused
 * without delay, and the recovery is detected without any claim. */
static void
test_claims_while_log_is_down (void)
{
  g_auto (rig_t) rig = { 0 };
  rig_init (&rig);
  rig.platform.read_down = true;
  rig.platform.append_down = true;
  expect_verdict (&rig, 1, 100, 1, CLAIM_LOG_DOWN);
  for (uint32_t id = 2; id < 20; id++)
    {
      rig_deliver (&rig, new_claim (&rig, id, 100 + id));
      CU_ASSERT_EQUAL (rig.received.claim_result_count, id);
      CU_ASSERT_EQUAL (rig.received.claim_result.verdict, CLAIM_LOG_DOWN);
    }
  rig.platform.read_down = false;
  rig.platform.append_down = false;
  rig_ticks (&rig, 15);
  expect_verdict (&rig, 50, 500, 20, CLAIM_GRANTED);
}

/* An idle daemon detects the outage by its read of the manifest stream. Then the first claim must
 * be refused without an append, and must start the probes that detect the recovery. */
static void
test_first_claim_while_log_is_known_down (void)
{
  g_auto (rig_t) rig = { 0 };
  rig_init (&rig);
  rig.platform.read_down = true;
  rig_ticks (&rig, 2);
  rig_deliver (&rig, new_claim (&rig, 1, 100));
  CU_ASSERT_EQUAL (rig.received.claim_result_count, 1);
  CU_ASSERT_EQUAL (rig.received.claim_result.verdict, CLAIM_LOG_DOWN);
  CU_ASSERT_EQUAL (rig.platform.appends, 0);
  rig.ctrl->manifest.poll.due_us = UINT64_MAX; /* this read would detect the recovery, too */
  rig.platform.read_down = false;
  rig_ticks (&rig, 15);
  expect_verdict (&rig, 2, 100, 2, CLAIM_GRANTED);
}

/* The answer to an append is lost, but the append took effect. The claim must be found in the log
 * by its id and granted, and must not be appended again. */
static void
test_claim_whose_append_was_lost (void)
{
  g_auto (rig_t) rig = { 0 };
  rig_init (&rig);
  rig.platform.append_lost = true;
  expect_verdict (&rig, 1, 100, 1, CLAIM_GRANTED);
  rig_ticks (&rig, 10);
  CU_ASSERT_EQUAL (fake_platform_record_count (&rig.platform, STREAM), 1);
}

/* The platform refuses appends above its rate limit, which certainly had no effect. Their claims
 * must not be given up like those of a lost append, but go with a later append, and only once. */
static void
test_claim_whose_append_was_refused (void)
{
  g_auto (rig_t) rig = { 0 };
  rig_init (&rig);
  rig.platform.append_refused = true;
  rig_deliver (&rig, new_claim (&rig, 1, 100));
  rig_ticks (&rig, 4);
  CU_ASSERT_TRUE (rig.platform.appends >= 2);
  rig_deliver (&rig, new_claim (&rig, 2, 200));
  CU_ASSERT_EQUAL (rig.received.claim_result_count, 0);
  rig.platform.append_refused = false;
  TICK_UNTIL (&rig, rig.received.claim_result_count == 2);
  CU_ASSERT_EQUAL (rig.received.claim_result.verdict, CLAIM_GRANTED);
  rig_ticks (&rig, 10);
  CU_ASSERT_EQUAL (fake_platform_record_count (&rig.platform, STREAM), 1);
}

/* An idle stream is closed to free its keys. A later claim opens it again and must find the earlier
 * claims, as the request would run twice otherwise. */
static void
test_closed_stream_is_read_again (void)
{
  g_auto (rig_t) rig = { 0 };
  rig_init (&rig);
  rig_deliver (&rig, new_claim (&rig, 1, 100));
  TICK_UNTIL (&rig, rig.received.claim_result_count == 1);
  CU_ASSERT_EQUAL (g_hash_table_size (rig.ctrl->claims.streams), 1);
  for (uint32_t i = 0; i < 100; i++)
    {
      clock_advance (&rig.daemon.clock, 10 * CLOCK_US_PER_S);
      rig_tick (&rig);
    }
  CU_ASSERT_EQUAL (g_hash_table_size (rig.ctrl->claims.streams), 0);
  expect_verdict (&rig, 2, 100, 2, CLAIM_HELD);
}

/* A signal arrives while the end of a claim is still to be appended. If the process ended now the
 * key would stay claimed without an owner, so it must wait for the append, within a limit. */
static void
test_stop_waits_for_claims (void)
{
  g_auto (rig_t) rig = { 0 };
  rig_init (&rig);
  rig_deliver (&rig, new_claim (&rig, 1, 100));
  TICK_UNTIL (&rig, rig.received.claim_result_count == 1);
  message_claim_end_t *end = message_new (MESSAGE_CLAIM_END);
  g_strlcpy (end->stream, STREAM, sizeof end->stream);
  end->claim_id[0] = 1;
  end->claim_id[1] = 1;
  end->key.key_hash[0] = 100;
  rig.platform.append_down = true;
  rig_deliver (&rig, end);
  rig_send_flag (&rig, MESSAGE_DRAIN);
  rig_send_flag (&rig, MESSAGE_DRAINED);
  rig_ticks (&rig, 10);
  CU_ASSERT_FALSE (rig.ctrl->stop.done);
  rig.platform.append_down = false;
  rig_ticks (&rig, 15);
  CU_ASSERT_TRUE (rig.ctrl->stop.done);
  CU_ASSERT_TRUE (control_claims_is_idle (rig.ctrl));
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    SUITE_TEST (test_claim_is_granted_and_ended),
    SUITE_TEST (test_claim_of_other_daemon_wins),
    SUITE_TEST (test_claims_while_log_is_down),
    SUITE_TEST (test_first_claim_while_log_is_known_down),
    SUITE_TEST (test_claim_whose_append_was_lost),
    SUITE_TEST (test_claim_whose_append_was_refused),
    SUITE_TEST (test_closed_stream_is_read_again),
    SUITE_TEST (test_stop_waits_for_claims),
    CU_TEST_INFO_NULL,
  };
  return suite_run ("control_claims", tests);
}
