#include "control_rig.h"
#include "suite.h"

#define STREAM "claims/pool/0"

static msg_claim_t *
claim (const rig_t *rig, uint64_t id, uint64_t key)
{
  msg_claim_t *message = msg_new (MSG_CLAIM);
  g_strlcpy (message->stream, STREAM, sizeof message->stream);
  message->claim_id[0] = 1;
  message->claim_id[1] = id;
  message->key.key_hash[0] = key;
  message->key.body_hash = 5;
  message->expiry_us = clk_now_us (&rig->dmn.clk) + 10 * CLK_US_PER_S;
  return message;
}

/* A claim is handed in; its result is the one with number @results, and @verdict. */
static void
judged (rig_t *rig, uint64_t id, uint64_t key, uint32_t results, clm_verdict_t verdict)
{
  rig_deliver (rig, claim (rig, id, key));
  TURN_UNTIL (rig, rig->told.results == results);
  CU_ASSERT_EQUAL (rig->told.result.verdict, verdict);
}

static void
test_claim_is_granted_and_ended (void)
{
  g_auto (rig_t) rig = { 0 };
  rig_begin (&rig);
  judged (&rig, 1, 100, 1, CLM_GRANTED);
  CU_ASSERT_EQUAL (fkp_length (&rig.platform, STREAM), 1);
  judged (&rig, 2, 100, 2, CLM_HELD);
  msg_claim_end_t *end = msg_new (MSG_CLAIM_END);
  g_strlcpy (end->stream, STREAM, sizeof end->stream);
  end->claim_id[0] = 1;
  end->claim_id[1] = 1;
  end->key.key_hash[0] = 100;
  end->key.body_hash = 5;
  end->ran = true;
  end->status = 201;
  rig_deliver (&rig, end);
  TURN_UNTIL (&rig, ctrl_claims_idle (rig.ctrl));
  judged (&rig, 3, 100, 3, CLM_DONE);
  CU_ASSERT_EQUAL (rig.told.result.status, 201);
}

/* A claim of the key already stands in a stream that this daemon has not opened yet: granting
 * before it has read that far would run the request twice. */
static void
test_claim_of_another_daemon_is_first (void)
{
  struct event_base *base = event_base_new ();
  rig_t other;
  rig_t rig;
  rig_start_fresh (&other, base);
  rig_deliver (&other, claim (&other, 1, 100));
  TURN_UNTIL (&other, other.told.results == 1);
  rig_set_up (&rig, base, "peer", RIG_PORT + 1);
  rig_list_hosts (&rig.platform);
  rig_put_version (&rig.platform, 0);
  fkp_put (&rig.platform, STREAM, fkp_record (&other.platform, STREAM, 0));
  rig_start (&rig);
  judged (&rig, 2, 100, 1, CLM_HELD);
  rig_tear_down (&rig);
  rig_tear_down (&other);
  event_base_free (base);
}

/* The log goes out. A keyed request must be refused at once as not run, not held until its
 * deadline. The first one finds it out; those after it do not wait at all, and none of them is
 * needed to find that the log is back. */
static void
test_claims_while_log_is_out (void)
{
  g_auto (rig_t) rig = { 0 };
  rig_begin (&rig);
  rig.platform.read_down = true;
  rig.platform.append_down = true;
  judged (&rig, 1, 100, 1, CLM_LOG_DOWN);
  for (uint32_t id = 2; id < 20; id++)
    {
      rig_deliver (&rig, claim (&rig, id, 100 + id));
      CU_ASSERT_EQUAL (rig.told.results, id);
      CU_ASSERT_EQUAL (rig.told.result.verdict, CLM_LOG_DOWN);
    }
  rig.platform.read_down = false;
  rig.platform.append_down = false;
  rig_turns (&rig, 15);
  judged (&rig, 50, 500, 20, CLM_GRANTED);
}

/* Idle daemons hear of the outage by the manifest stream: then not even the first claim waits. It
 * is refused without an append, and sets off the look-out for the log's return. */
static void
test_first_claim_while_log_is_known_down (void)
{
  g_auto (rig_t) rig = { 0 };
  rig_begin (&rig);
  rig.platform.read_down = true;
  rig_turns (&rig, 2);
  rig_deliver (&rig, claim (&rig, 1, 100));
  CU_ASSERT_EQUAL (rig.told.results, 1);
  CU_ASSERT_EQUAL (rig.told.result.verdict, CLM_LOG_DOWN);
  CU_ASSERT_EQUAL (rig.platform.appends, 0);
  rig.ctrl->manifest.source.due_us = UINT64_MAX; /* which would find out too */
  rig.platform.read_down = false;
  rig_turns (&rig, 15);
  judged (&rig, 2, 100, 2, CLM_GRANTED);
}

/* The answer to an append is lost, but it took effect. The claim is found in the log by its id and
 * granted; it is not appended again. */
static void
test_claim_whose_append_was_lost (void)
{
  g_auto (rig_t) rig = { 0 };
  rig_begin (&rig);
  rig.platform.append_lost = true;
  judged (&rig, 1, 100, 1, CLM_GRANTED);
  rig_turns (&rig, 10);
  CU_ASSERT_EQUAL (fkp_length (&rig.platform, STREAM), 1);
}

/* The platform refuses appends above its rate, for certain. The callers' claims must not be given
 * up for that, as they would be for a lost one: they go with a later append, and only once. */
static void
test_claim_whose_append_was_refused (void)
{
  g_auto (rig_t) rig = { 0 };
  rig_begin (&rig);
  rig.platform.append_refused = true;
  rig_deliver (&rig, claim (&rig, 1, 100));
  rig_turns (&rig, 4);
  CU_ASSERT_TRUE (rig.platform.appends >= 2);
  rig_deliver (&rig, claim (&rig, 2, 200));
  CU_ASSERT_EQUAL (rig.told.results, 0);
  rig.platform.append_refused = false;
  TURN_UNTIL (&rig, rig.told.results == 2);
  CU_ASSERT_EQUAL (rig.told.result.verdict, CLM_GRANTED);
  rig_turns (&rig, 10);
  CU_ASSERT_EQUAL (fkp_length (&rig.platform, STREAM), 1);
}

/* A stream that nobody asks of for long is closed to free its keys. A claim that comes later opens
 * it again and must find what was claimed before: else the request would run twice. */
static void
test_closed_stream_is_read_again (void)
{
  g_auto (rig_t) rig = { 0 };
  rig_begin (&rig);
  rig_deliver (&rig, claim (&rig, 1, 100));
  TURN_UNTIL (&rig, rig.told.results == 1);
  CU_ASSERT_EQUAL (g_hash_table_size (rig.ctrl->claims.streams), 1);
  for (uint32_t i = 0; i < 100; i++)
    {
      clk_advance (&rig.dmn.clk, 10 * CLK_US_PER_S);
      rig_turn (&rig);
    }
  CU_ASSERT_EQUAL (g_hash_table_size (rig.ctrl->claims.streams), 0);
  judged (&rig, 2, 100, 2, CLM_HELD);
}

/* A signal comes while a claim's end is still to be appended. If the process ended now the key
 * would be held for nobody, so it waits for the append, but not for ever. */
static void
test_stop_waits_for_claims (void)
{
  g_auto (rig_t) rig = { 0 };
  rig_begin (&rig);
  rig_deliver (&rig, claim (&rig, 1, 100));
  TURN_UNTIL (&rig, rig.told.results == 1);
  msg_claim_end_t *end = msg_new (MSG_CLAIM_END);
  g_strlcpy (end->stream, STREAM, sizeof end->stream);
  end->claim_id[0] = 1;
  end->claim_id[1] = 1;
  end->key.key_hash[0] = 100;
  rig.platform.append_down = true;
  rig_deliver (&rig, end);
  rig_send_flag (&rig, MSG_DRAIN);
  rig_send_flag (&rig, MSG_DRAINED);
  rig_turns (&rig, 10);
  CU_ASSERT_FALSE (rig.ctrl->stop.done);
  rig.platform.append_down = false;
  rig_turns (&rig, 15);
  CU_ASSERT_TRUE (rig.ctrl->stop.done);
  CU_ASSERT_TRUE (ctrl_claims_idle (rig.ctrl));
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    SUITE_TEST (test_claim_is_granted_and_ended),
    SUITE_TEST (test_claim_of_another_daemon_is_first),
    SUITE_TEST (test_claims_while_log_is_out),
    SUITE_TEST (test_first_claim_while_log_is_known_down),
    SUITE_TEST (test_claim_whose_append_was_lost),
    SUITE_TEST (test_claim_whose_append_was_refused),
    SUITE_TEST (test_closed_stream_is_read_again),
    SUITE_TEST (test_stop_waits_for_claims),
    CU_TEST_INFO_NULL,
  };
  return suite_run ("control_claims", tests);
}
