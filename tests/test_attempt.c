#include "request/policy/attempt.h"
#include "suite.h"

#include <glib.h>

#define DEADLINE_US 1000000

static const uint64_t CANDIDATES[] = { 10, 11, 12, 13, 14, 15 };

/** struct rig - one request, and the budget of its router */
typedef struct
{
  att_t att;
  att_budget_t budget;
} rig_t;

static rig_t
with_budget (void)
{
  rig_t rig = { 0 };

  att_budget_init (&rig.budget);
  return rig;
}

static att_step_t
begin (rig_t *rig, bool idempotent, uint32_t count)
{
  att_options_t options = { .idempotent = idempotent,
                            .deadline_us = DEADLINE_US,
                            .candidates = CANDIDATES,
                            .candidate_count = count };

  return att_begin (&rig->att, 0, &options);
}

static att_outcome_t
refusal (vrd_reason_t reason)
{
  return (att_outcome_t){ .verdict = VRD_NOT_RUN, .reason = reason };
}

static att_outcome_t
lost (void)
{
  return (att_outcome_t){ .verdict = VRD_MAY_HAVE_RUN, .reason = VRD_REASON_CUT, .lost = true };
}

static att_step_t
ended (rig_t *rig, uint64_t now_us, const att_outcome_t *outcome)
{
  return att_ended (&rig->att, now_us, &rig->budget, outcome);
}

static att_step_t
revoked (rig_t *rig, uint64_t now_us, vrd_t verdict)
{
  return att_revoked (&rig->att, now_us, &rig->budget, verdict);
}

static void
check_sent (const att_step_t *step, uint64_t engine_hash)
{
  CU_ASSERT_EQUAL (step->action, ATT_SEND);
  CU_ASSERT_EQUAL (step->engine_hash, engine_hash);
}

static void
check_given_up (const att_step_t *step, vrd_t verdict)
{
  CU_ASSERT_EQUAL (step->action, ATT_GIVE_UP);
  CU_ASSERT_EQUAL (step->verdict, verdict);
}

static void
answers (void)
{
  rig_t rig = { 0 };
  att_outcome_t answered = { .answered = true, .verdict = VRD_RAN };
  att_step_t step = begin (&rig, true, 3);

  check_sent (&step, 10);
  CU_ASSERT_FALSE (step.may_wait);
  CU_ASSERT_FALSE (step.referred);
  CU_ASSERT_EQUAL (ended (&rig, 1, &answered).action, ATT_DONE);
  CU_ASSERT_EQUAL (rig.budget.tokens_milli, ATT_BUDGET_GAIN_MILLI);
}

static void
nobody_to_ask (void)
{
  rig_t rig = { 0 };
  att_step_t step = begin (&rig, true, 0);

  check_given_up (&step, VRD_NOT_RUN);
  CU_ASSERT_EQUAL (step.reason, VRD_REASON_NO_ENGINE);
  CU_ASSERT_NOT_EQUAL (step.retry_after_ms, 0);
}

static void
only_candidate_may_queue (void)
{
  rig_t rig = { 0 };
  att_outcome_t full = refusal (VRD_REASON_OVER_BOUND);

  CU_ASSERT_TRUE (begin (&rig, true, 1).may_wait);
  CU_ASSERT_EQUAL (ended (&rig, 1, &full).action, ATT_GIVE_UP);
}

static void
referrals_go_first (void)
{
  rig_t rig = { 0 };
  uint64_t referrals[] = { 20, 10, 21 };
  att_outcome_t full = refusal (VRD_REASON_OVER_BOUND);

  begin (&rig, false, 3);
  full.referrals = referrals;
  full.referral_count = 3;
  att_step_t step = ended (&rig, 1, &full);
  CU_ASSERT_EQUAL (step.engine_hash, 20);
  CU_ASSERT_TRUE (step.referred);
  full.referral_count = 0;
  /* 10 was asked already and is passed over */
  step = ended (&rig, 2, &full);
  CU_ASSERT_EQUAL (step.engine_hash, 21);
}

/* All engines asked are over their bound. The last of the four hops goes back to the first that
 * said so, with leave to queue there; when that refuses too, the caller hears at once, with the
 * shortest time after which any of them expects room. */
static void
last_hop_waits_at_the_first (void)
{
  rig_t rig = { 0 };
  att_outcome_t full = refusal (VRD_REASON_OVER_BOUND);
  att_step_t step = begin (&rig, true, 6);

  full.retry_after_ms = 700;
  for (uint32_t hop = 1; hop < LIM_HOPS; hop++)
    {
      CU_ASSERT_FALSE (step.may_wait);
      step = ended (&rig, 1, &full);
      CU_ASSERT_EQUAL (step.action, ATT_SEND);
      full.retry_after_ms = 400 + hop;
    }
  CU_ASSERT_EQUAL (step.engine_hash, 10);
  CU_ASSERT_TRUE (step.may_wait);
  CU_ASSERT_TRUE (step.referred);
  full = refusal (VRD_REASON_QUEUE_FULL);
  step = ended (&rig, 1, &full);
  check_given_up (&step, VRD_NOT_RUN);
  CU_ASSERT_EQUAL (step.retry_after_ms, 401);
  CU_ASSERT_EQUAL (rig.att.hops, LIM_HOPS);
}

/* A request waits at its home, the last of four hops, when the home is stopped as planned. All
 * others run, so its caller must not see a 503: they are asked again, though they were over their
 * bound a moment ago, and the last of them with leave to queue. Hosts that close one after the
 * other do not make it go round for ever. */
static void
begins_anew_when_a_host_closes (void)
{
  rig_t rig = { 0 };
  att_outcome_t full = refusal (VRD_REASON_OVER_BOUND);
  att_outcome_t leaving = refusal (VRD_REASON_LEAVING);
  att_step_t step = begin (&rig, true, 3);

  for (uint32_t hop = 1; hop < LIM_HOPS; hop++)
    step = ended (&rig, 1, &full);
  CU_ASSERT_EQUAL (step.engine_hash, 10);
  CU_ASSERT_TRUE (step.may_wait);
  step = ended (&rig, 1, &leaving);
  check_sent (&step, 11);
  CU_ASSERT_FALSE (step.may_wait);
  step = ended (&rig, 1, &full);
  CU_ASSERT_EQUAL (step.engine_hash, 12);
  step = ended (&rig, 1, &full);
  CU_ASSERT_EQUAL (step.engine_hash, 11);
  CU_ASSERT_TRUE (step.may_wait);
  step = ended (&rig, 1, &leaving);
  CU_ASSERT_EQUAL (step.action, ATT_SEND);
  CU_ASSERT_EQUAL (rig.att.hops, LIM_HOPS_MOST);
  CU_ASSERT_TRUE (step.may_wait);
  step = ended (&rig, 1, &leaving);
  check_given_up (&step, VRD_NOT_RUN);
}

static void
few_candidates_wait_sooner (void)
{
  rig_t rig = { 0 };
  att_outcome_t full = refusal (VRD_REASON_OVER_BOUND);

  begin (&rig, true, 2);
  att_step_t step = ended (&rig, 1, &full);
  CU_ASSERT_EQUAL (step.engine_hash, 11);
  CU_ASSERT_FALSE (step.may_wait);
  step = ended (&rig, 1, &full);
  CU_ASSERT_EQUAL (step.engine_hash, 10);
  CU_ASSERT_TRUE (step.may_wait);
  CU_ASSERT_EQUAL (ended (&rig, 1, &full).action, ATT_GIVE_UP);
}

/* The home sends a returning chat to the engine where it is warm, but that one is over its bound.
 * The home is then asked again and must not refer once more; only then come the hosts that the warm
 * engine named. Without the second call the chat would land on a stranger though its home is idle.
 */
static void
home_is_asked_again (void)
{
  rig_t rig = { 0 };
  uint64_t warm = 30;
  uint64_t room = 31;
  att_outcome_t elsewhere = refusal (VRD_REASON_ELSEWHERE);
  att_outcome_t full = refusal (VRD_REASON_OVER_BOUND);

  begin (&rig, true, 4);
  elsewhere.referrals = &warm;
  elsewhere.referral_count = 1;
  att_step_t step = ended (&rig, 1, &elsewhere);
  CU_ASSERT_EQUAL (step.engine_hash, 30);
  full.referrals = &room;
  full.referral_count = 1;
  step = ended (&rig, 1, &full);
  CU_ASSERT_EQUAL (step.engine_hash, 10);
  CU_ASSERT_TRUE (step.referred);
  step = ended (&rig, 1, &elsewhere);
  CU_ASSERT_EQUAL (step.engine_hash, 30);
  CU_ASSERT_TRUE (step.may_wait);
}

/* The first engine cannot start a request before its deadline and knows of no room elsewhere, as
 * just after its start. That says nothing of the other engines: they are asked too. */
static void
one_engine_without_time_is_not_all (void)
{
  rig_t rig = { 0 };
  att_outcome_t late = refusal (VRD_REASON_DEADLINE);

  begin (&rig, true, 2);
  att_step_t step = ended (&rig, 1, &late);
  CU_ASSERT_EQUAL (step.engine_hash, 11);
  CU_ASSERT_TRUE (step.may_wait);
  CU_ASSERT_EQUAL (ended (&rig, 1, &late).action, ATT_GIVE_UP);
}

static void
certain_refusals_need_no_budget (void)
{
  static const vrd_reason_t REASONS[] = { VRD_REASON_LEAVING,       VRD_REASON_STALE,
                                          VRD_REASON_SUSPECT_HERE,  VRD_REASON_NO_ENGINE,
                                          VRD_REASON_CONNECT,       VRD_REASON_REVOKED,
                                          VRD_REASON_WRONG_SERVICE, VRD_REASON_TIMEOUT };

  for (uint32_t i = 0; i < sizeof REASONS / sizeof REASONS[0]; i++)
    {
      rig_t rig = { 0 };
      att_outcome_t refused = refusal (REASONS[i]);

      begin (&rig, false, 6);
      att_step_t step = ended (&rig, 1, &refused);
      check_sent (&step, 11);
    }
}

/* hops_until_given_up() - when each host asked names another one */
static uint32_t
hops_until_given_up (vrd_reason_t reason)
{
  rig_t rig = with_budget ();
  uint64_t next = 100;
  att_outcome_t refused = refusal (reason);
  att_step_t step = begin (&rig, true, 6);
  uint32_t sent = 0;

  refused.referrals = &next;
  refused.referral_count = 1;
  for (; step.action == ATT_SEND; next++, sent++)
    step = ended (&rig, 1, &refused);
  check_given_up (&step, VRD_NOT_RUN);
  return sent;
}

static void
hops_are_bounded (void)
{
  CU_ASSERT_EQUAL (hops_until_given_up (VRD_REASON_OVER_BOUND), LIM_HOPS);
  CU_ASSERT_EQUAL (hops_until_given_up (VRD_REASON_COLD), LIM_HOPS);
  CU_ASSERT_EQUAL (hops_until_given_up (VRD_REASON_LEAVING), LIM_HOPS_MOST);
  CU_ASSERT_EQUAL (hops_until_given_up (VRD_REASON_STALE), LIM_HOPS_MOST);
}

/* A request that crashes engines has crashed as many as it may: told so for good, without an
 * invitation to come back. The same for what a resend cannot mend. */
static void
final_refusals_invite_nobody_back (void)
{
  static const vrd_reason_t REASONS[] = { VRD_REASON_SUSPECT, VRD_REASON_CLAIMED,
                                          VRD_REASON_KEY_REUSED, VRD_REASON_KEY_TOO_OLD };

  for (uint32_t i = 0; i < sizeof REASONS / sizeof REASONS[0]; i++)
    {
      rig_t rig = { 0 };
      att_outcome_t refused = refusal (REASONS[i]);

      begin (&rig, false, 6);
      refused.retry_after_ms = 5000;
      att_step_t step = ended (&rig, 1, &refused);
      CU_ASSERT_EQUAL (step.action, ATT_GIVE_UP);
      CU_ASSERT_EQUAL (step.reason, REASONS[i]);
      CU_ASSERT_EQUAL (step.retry_after_ms, 0);
    }
}

static void
log_down_asks_to_come_back (void)
{
  rig_t rig = { 0 };
  att_outcome_t refused = refusal (VRD_REASON_LOG_DOWN);

  begin (&rig, false, 6);
  att_step_t step = ended (&rig, 1, &refused);
  check_given_up (&step, VRD_NOT_RUN);
  CU_ASSERT_NOT_EQUAL (step.retry_after_ms, 0);
}

static void
past_deadline_gives_up_at_once (void)
{
  rig_t rig = { 0 };
  att_outcome_t refused = refusal (VRD_REASON_LEAVING);

  begin (&rig, true, 6);
  att_step_t step = ended (&rig, DEADLINE_US, &refused);
  check_given_up (&step, VRD_NOT_RUN);
  CU_ASSERT_EQUAL (step.reason, VRD_REASON_DEADLINE);
  CU_ASSERT_NOT_EQUAL (step.retry_after_ms, 0);
}

/* The connection to the sidecar breaks before any answer. A booking must not be sent elsewhere on
 * that: only after the sidecar says that it never passed it on, and never will, may another engine
 * have it. When it cannot say so, the caller hears that the booking may have run. */
static void
non_idempotent_moves_only_after_not_run (void)
{
  rig_t rig = with_budget ();
  att_outcome_t cut = lost ();

  begin (&rig, false, 6);
  att_step_t step = ended (&rig, 1, &cut);
  CU_ASSERT_EQUAL (step.action, ATT_REVOKE);
  CU_ASSERT_EQUAL (step.engine_hash, 10);
  step = revoked (&rig, 2, VRD_NOT_RUN);
  check_sent (&step, 11);
  ended (&rig, 3, &cut);
  step = revoked (&rig, 4, VRD_MAY_HAVE_RUN);
  check_given_up (&step, VRD_MAY_HAVE_RUN);
  CU_ASSERT_EQUAL (step.retry_after_ms, 0);
  CU_ASSERT_EQUAL (rig.budget.tokens_milli, ATT_BUDGET_MAX_MILLI);
}

static void
sidecar_that_says_it_ran_needs_no_revoke (void)
{
  rig_t rig = with_budget ();
  att_outcome_t crashed = { .verdict = VRD_MAY_HAVE_RUN, .reason = VRD_REASON_ENGINE_CRASHED };

  begin (&rig, false, 6);
  CU_ASSERT_EQUAL (ended (&rig, 1, &crashed).action, ATT_GIVE_UP);
  begin (&rig, true, 6);
  CU_ASSERT_EQUAL (ended (&rig, 1, &crashed).action, ATT_SEND);
}

/* Many hops are lost at once. Idempotent requests go on elsewhere only while the budget lasts, so
 * that retries cannot multiply an overload; then callers hear at once. */
static void
budget_bounds_retries (void)
{
  rig_t rig = with_budget ();
  att_outcome_t cut = lost ();
  att_step_t step;
  uint32_t retried = 0;

  for (uint32_t i = 0; i < 50; i++)
    {
      begin (&rig, true, 6);
      ended (&rig, 1, &cut);
      step = revoked (&rig, 1, VRD_MAY_HAVE_RUN);
      retried += step.action == ATT_SEND;
    }
  CU_ASSERT_EQUAL (retried, ATT_BUDGET_MAX_MILLI / 1000);
  check_given_up (&step, VRD_MAY_HAVE_RUN);
}

/* A request takes the sidecar down with the engine, so that nobody is left to mark it. The router
 * tries it on one more engine, and after the second loss gives up: it would go through as many as
 * it may ask. A sidecar that was there and says that it did not run is no such loss. */
static void
two_lost_sidecars_are_enough (void)
{
  rig_t rig = with_budget ();
  att_outcome_t cut = lost ();

  begin (&rig, true, 6);
  ended (&rig, 1, &cut);
  CU_ASSERT_EQUAL (revoked (&rig, 1, VRD_NOT_RUN).action, ATT_SEND);
  ended (&rig, 2, &cut);
  CU_ASSERT_EQUAL (revoked (&rig, 2, VRD_MAY_HAVE_RUN).action, ATT_SEND);
  ended (&rig, 3, &cut);
  att_step_t step = revoked (&rig, 3, VRD_MAY_HAVE_RUN);
  check_given_up (&step, VRD_MAY_HAVE_RUN);
  CU_ASSERT_NOT_EQUAL (step.retry_after_ms, 0);
}

/* All engines are over their bound, and the request waits at the first, by its last hop, when that
 * host is killed. The others end work all the time: the request asks them again and waits there,
 * instead of an error for its caller. A host that says that it did not run it comes to the same. */
static void
lost_last_resort_is_not_the_end (void)
{
  static const vrd_t VERDICTS[] = { VRD_MAY_HAVE_RUN, VRD_NOT_RUN };

  for (uint32_t i = 0; i < G_N_ELEMENTS (VERDICTS); i++)
    {
      rig_t rig = with_budget ();
      att_outcome_t full = refusal (VRD_REASON_OVER_BOUND);
      att_outcome_t cut = lost ();
      att_step_t step = begin (&rig, true, 3);

      while (step.action == ATT_SEND && !step.may_wait)
        step = ended (&rig, 1, &full);
      CU_ASSERT_EQUAL (step.engine_hash, CANDIDATES[0]);
      CU_ASSERT_EQUAL (ended (&rig, 2, &cut).action, ATT_REVOKE);
      step = revoked (&rig, 3, VERDICTS[i]);
      CU_ASSERT_EQUAL (step.action, ATT_SEND);
      while (step.action == ATT_SEND && !step.may_wait)
        step = ended (&rig, 4, &full);
      check_sent (&step, CANDIDATES[1]);
    }
}

static bool
retries_lost_hop (att_budget_t *budget, uint64_t account_hash)
{
  att_options_t options = { .idempotent = true,
                            .account_hash = account_hash,
                            .deadline_us = DEADLINE_US,
                            .candidates = CANDIDATES,
                            .candidate_count = 6 };
  att_outcome_t cut = lost ();
  att_t att;

  att_begin (&att, 0, &options);
  att_ended (&att, 1, budget, &cut);
  return att_revoked (&att, 1, budget, VRD_MAY_HAVE_RUN).action == ATT_SEND;
}

/* A surging account has many requests at a host that is killed; all try again and use up the
 * budget. The single request of a quiet account, lost with them, must still go on elsewhere, as
 * its caller did nothing to deserve an error. Its reserve fills again as its requests succeed. */
static void
surge_leaves_others_their_retry (void)
{
  att_budget_t budget;
  uint32_t retried = 0;

  att_budget_init (&budget);
  for (uint32_t i = 0; i < 50; i++)
    retried += retries_lost_hop (&budget, 1);
  CU_ASSERT_EQUAL (retried, (ATT_BUDGET_MAX_MILLI + ATT_RESERVE_MAX_MILLI) / 1000);
  CU_ASSERT_TRUE (retries_lost_hop (&budget, 2));
  CU_ASSERT_FALSE (retries_lost_hop (&budget, 2));
  for (uint32_t i = 0; i < 2 * ATT_RESERVES; i++)
    retries_lost_hop (&budget, 100 + i);
  CU_ASSERT_EQUAL (budget.reserve_count, ATT_RESERVES);
  for (uint32_t i = 0; i < 10; i++)
    att_budget_success (&budget, 2);
  CU_ASSERT_EQUAL (budget.reserve_count, ATT_RESERVES - 1);
  budget.tokens_milli = 0;
  CU_ASSERT_TRUE (retries_lost_hop (&budget, 2));
}

/* A first attempt may have run; the second is refused as not run. The request as a whole may have
 * run, and the caller must not be told otherwise. */
static void
not_run_is_said_of_the_whole_request (void)
{
  rig_t rig = with_budget ();
  att_outcome_t cut = lost ();
  att_outcome_t full = refusal (VRD_REASON_LOG_DOWN);

  begin (&rig, true, 6);
  ended (&rig, 1, &cut);
  revoked (&rig, 1, VRD_MAY_HAVE_RUN);
  att_step_t step = ended (&rig, 2, &full);
  check_given_up (&step, VRD_MAY_HAVE_RUN);
}

/* The answer breaks off after its first byte went to the caller: a second engine's answer must
 * not be glued to it, however idempotent the request and full the budget. */
static void
begun_answer_is_never_tried_again (void)
{
  rig_t rig = with_budget ();
  att_outcome_t cut = lost ();

  begin (&rig, true, 6);
  att_answer_begun (&rig.att);
  att_step_t step = ended (&rig, 1, &cut);
  check_given_up (&step, VRD_MAY_HAVE_RUN);
  CU_ASSERT_EQUAL (step.reason, VRD_REASON_CUT);
}

/* A request crashes every engine that runs it. Its caller sends it again before the two sidecars
 * whose engines it crashed have heard of each other, so each only says "not here": the router must
 * not lead it to a third engine, and refuses it for good. */
static void
two_crashes_are_added_up (void)
{
  rig_t rig = with_budget ();
  att_outcome_t here = refusal (VRD_REASON_SUSPECT_HERE);
  att_outcome_t crashed = { .verdict = VRD_MAY_HAVE_RUN, .reason = VRD_REASON_ENGINE_CRASHED };

  begin (&rig, true, 6);
  att_step_t step = ended (&rig, 1, &here);
  CU_ASSERT_EQUAL (step.action, ATT_SEND);
  CU_ASSERT_EQUAL (rig.att.crashed[0], 10);
  step = ended (&rig, 1, &here);
  check_given_up (&step, VRD_NOT_RUN);
  CU_ASSERT_EQUAL (step.reason, VRD_REASON_SUSPECT);
  CU_ASSERT_EQUAL (step.retry_after_ms, 0);

  begin (&rig, true, 6);
  ended (&rig, 1, &crashed);
  step = ended (&rig, 1, &crashed);
  check_given_up (&step, VRD_MAY_HAVE_RUN);
  CU_ASSERT_EQUAL (step.reason, VRD_REASON_SUSPECT);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "answers", answers },
    { "nobody to ask", nobody_to_ask },
    { "only candidate may queue", only_candidate_may_queue },
    { "referrals go first", referrals_go_first },
    { "last hop waits at the first", last_hop_waits_at_the_first },
    { "begins anew when a host closes", begins_anew_when_a_host_closes },
    { "few candidates wait sooner", few_candidates_wait_sooner },
    { "home is asked again", home_is_asked_again },
    { "one engine without time is not all", one_engine_without_time_is_not_all },
    { "certain refusals need no budget", certain_refusals_need_no_budget },
    { "hops are bounded", hops_are_bounded },
    { "final refusals invite nobody back", final_refusals_invite_nobody_back },
    { "log down asks to come back", log_down_asks_to_come_back },
    { "past deadline gives up at once", past_deadline_gives_up_at_once },
    { "non-idempotent moves only after not run", non_idempotent_moves_only_after_not_run },
    { "sidecar that says it ran needs no revoke", sidecar_that_says_it_ran_needs_no_revoke },
    { "budget bounds retries", budget_bounds_retries },
    { "two lost sidecars are enough", two_lost_sidecars_are_enough },
    { "a lost last resort is not the end", lost_last_resort_is_not_the_end },
    { "a surge leaves others their retry", surge_leaves_others_their_retry },
    { "not run is said of the whole request", not_run_is_said_of_the_whole_request },
    { "begun answer is never tried again", begun_answer_is_never_tried_again },
    { "two crashes are added up", two_crashes_are_added_up },
    CU_TEST_INFO_NULL,
  };
  return suite_run ("attempt", tests);
}
