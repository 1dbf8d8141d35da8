/* Unit tests of how a router forwards a request to engines through their sidecars. */
#include "request/policy/retries/forwarding.h"
#include "suite.h"

#include <glib.h>

#define DEADLINE_US 1000000

static const uint64_t CANDIDATES[] = { 10, 11, 12, 13, 14, 15 };

/** struct rig - one request, and the retry budget of its router */
typedef struct
{
  forwarding_t forwarding;
  forwarding_budget_t budget;
} rig_t;

static rig_t
rig_with_budget (void)
{
  rig_t rig = { 0 };

  forwarding_budget_init (&rig.budget);
  return rig;
}

static forwarding_step_t
begin (rig_t *rig, bool idempotent, uint32_t count)
{
  forwarding_options_t options = { .idempotent = idempotent,
                                   .deadline_us = DEADLINE_US,
                                   .candidates = CANDIDATES,
                                   .candidate_count = count };

  return forwarding_begin (&rig->forwarding, 0, &options);
}

static forwarding_outcome_t
refusal (verdict_reason_t reason)
{
  return (forwarding_outcome_t){ .verdict = VERDICT_NOT_RUN, .reason = reason };
}

static forwarding_outcome_t
broken_connection (void)
{
  return (forwarding_outcome_t){ .verdict = VERDICT_MAY_HAVE_RUN,
                                 .reason = VERDICT_REASON_CUT,
                                 .connection_lost = true };
}

static forwarding_step_t
ended (rig_t *rig, uint64_t now_us, const forwarding_outcome_t *outcome)
{
  return forwarding_attempt_ended (&rig->forwarding, now_us, &rig->budget, outcome);
}

static forwarding_step_t
revoked (rig_t *rig, uint64_t now_us, verdict_t verdict)
{
  return forwarding_revoked (&rig->forwarding, now_us, &rig->budget, verdict);
}

static void
check_sent (const forwarding_step_t *step, uint64_t engine_hash)
{
  CU_ASSERT_EQUAL (step->action, FORWARDING_SEND);
  CU_ASSERT_EQUAL (step->engine_hash, engine_hash);
}

static void
check_given_up (const forwarding_step_t *step, verdict_t verdict)
{
  CU_ASSERT_EQUAL (step->action, FORWARDING_GIVE_UP);
  CU_ASSERT_EQUAL (step->verdict, verdict);
}

static void
response_ends_the_request (void)
{
  rig_t rig = { 0 };
  forwarding_outcome_t answered = { .answered = true, .verdict = VERDICT_RAN };
  forwarding_step_t step = begin (&rig, true, 3);

  check_sent (&step, 10);
  CU_ASSERT_FALSE (step.may_wait);
  CU_ASSERT_FALSE (step.referred);
  CU_ASSERT_EQUAL (ended (&rig, 1, &answered).action, FORWARDING_DONE);
  CU_ASSERT_EQUAL (rig.budget.tokens_milli, FORWARDING_BUDGET_GAIN_MILLI);
}

static void
fails_without_candidates (void)
{
  rig_t rig = { 0 };
  forwarding_step_t step = begin (&rig, true, 0);

  check_given_up (&step, VERDICT_NOT_RUN);
  CU_ASSERT_EQUAL (step.reason, VERDICT_REASON_NO_ENGINE);
  CU_ASSERT_NOT_EQUAL (step.retry_after_ms, 0);
}

static void
only_candidate_may_queue (void)
{
  rig_t rig = { 0 };
  forwarding_outcome_t full = refusal (VERDICT_REASON_OVER_BOUND);

  CU_ASSERT_TRUE (begin (&rig, true, 1).may_wait);
  CU_ASSERT_EQUAL (ended (&rig, 1, &full).action, FORWARDING_GIVE_UP);
}

static void
referrals_go_first (void)
{
  rig_t rig = { 0 };
  uint64_t referrals[] = { 20, 10, 21 };
  forwarding_outcome_t full = refusal (VERDICT_REASON_OVER_BOUND);

  begin (&rig, false, 3);
  full.referrals = referrals;
  full.referral_count = 3;
  forwarding_step_t step = ended (&rig, 1, &full);
  CU_ASSERT_EQUAL (step.engine_hash, 20);
  CU_ASSERT_TRUE (step.referred);
  full.referral_count = 0;
  /* Engine 10 was tried already and is skipped. */
  step = ended (&rig, 2, &full);
  CU_ASSERT_EQUAL (step.engine_hash, 21);
}

/* All engines are above their bound. The last of the four hops goes to the first of them again,
 * which may queue the request; if that rejects it too, the client gets an error at once, with the
 * smallest retry time of all rejections. */
static void
last_hop_may_queue_at_the_first (void)
{
  rig_t rig = { 0 };
  forwarding_outcome_t full = refusal (VERDICT_REASON_OVER_BOUND);
  forwarding_step_t step = begin (&rig, true, 6);

  full.retry_after_ms = 700;
  for (uint32_t hop = 1; hop < LIMIT_HOPS; hop++)
    {
      CU_ASSERT_FALSE (step.may_wait);
      step = ended (&rig, 1, &full);
      CU_ASSERT_EQUAL (step.action, FORWARDING_SEND);
      full.retry_after_ms = 400 + hop;
    }
  CU_ASSERT_EQUAL (step.engine_hash, 10);
  CU_ASSERT_TRUE (step.may_wait);
  CU_ASSERT_TRUE (step.referred);
  full = refusal (VERDICT_REASON_QUEUE_FULL);
  step = ended (&rig, 1, &full);
  check_given_up (&step, VERDICT_NOT_RUN);
  CU_ASSERT_EQUAL (step.retry_after_ms, 401);
  CU_ASSERT_EQUAL (rig.forwarding.hops, LIMIT_HOPS);
}

/* A request is queued at its last hop when that host is stopped as planned. Guards against a 503
 * while all other engines work: they are tried again, though they were above their bound, and the
 * last one may queue the request. Also against an endless loop if hosts stop one after the other.
 */
static void
other_engines_are_tried_when_a_host_stops (void)
{
  rig_t rig = { 0 };
  forwarding_outcome_t full = refusal (VERDICT_REASON_OVER_BOUND);
  forwarding_outcome_t leaving = refusal (VERDICT_REASON_LEAVING);
  forwarding_step_t step = begin (&rig, true, 3);

  for (uint32_t hop = 1; hop < LIMIT_HOPS; hop++)
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
  CU_ASSERT_EQUAL (step.action, FORWARDING_SEND);
  CU_ASSERT_EQUAL (rig.forwarding.hops, LIMIT_HOPS_EXTENDED);
  CU_ASSERT_TRUE (step.may_wait);
  step = ended (&rig, 1, &leaving);
  check_given_up (&step, VERDICT_NOT_RUN);
}

static void
few_candidates_queue_sooner (void)
{
  rig_t rig = { 0 };
  forwarding_outcome_t full = refusal (VERDICT_REASON_OVER_BOUND);

  begin (&rig, true, 2);
  forwarding_step_t step = ended (&rig, 1, &full);
  CU_ASSERT_EQUAL (step.engine_hash, 11);
  CU_ASSERT_FALSE (step.may_wait);
  step = ended (&rig, 1, &full);
  CU_ASSERT_EQUAL (step.engine_hash, 10);
  CU_ASSERT_TRUE (step.may_wait);
  CU_ASSERT_EQUAL (ended (&rig, 1, &full).action, FORWARDING_GIVE_UP);
}

/* The home engine refers a chat to the engine that has its context, but that one is above its
 * bound. The home is then tried again, before the referrals of the other one. Guards against a chat
 * that is served by some third engine while its home is idle. */
static void
home_is_tried_again (void)
{
  rig_t rig = { 0 };
  uint64_t warm = 30;
  uint64_t room = 31;
  forwarding_outcome_t elsewhere = refusal (VERDICT_REASON_ELSEWHERE);
  forwarding_outcome_t full = refusal (VERDICT_REASON_OVER_BOUND);

  begin (&rig, true, 4);
  elsewhere.referrals = &warm;
  elsewhere.referral_count = 1;
  forwarding_step_t step = ended (&rig, 1, &elsewhere);
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

/* The first engine can't start a request before its deadline and has no referrals, as just after
 * its start. Guards against giving up before the other engines were tried. */
static void
deadline_at_one_engine_tries_others (void)
{
  rig_t rig = { 0 };
  forwarding_outcome_t late = refusal (VERDICT_REASON_DEADLINE);

  begin (&rig, true, 2);
  forwarding_step_t step = ended (&rig, 1, &late);
  CU_ASSERT_EQUAL (step.engine_hash, 11);
  CU_ASSERT_TRUE (step.may_wait);
  CU_ASSERT_EQUAL (ended (&rig, 1, &late).action, FORWARDING_GIVE_UP);
}

static void
rejections_use_no_budget (void)
{
  static const verdict_reason_t REASONS[] = {
    VERDICT_REASON_LEAVING,       VERDICT_REASON_STALE,   VERDICT_REASON_SUSPECT_HERE,
    VERDICT_REASON_NO_ENGINE,     VERDICT_REASON_CONNECT, VERDICT_REASON_REVOKED,
    VERDICT_REASON_WRONG_SERVICE, VERDICT_REASON_TIMEOUT
  };

  for (uint32_t i = 0; i < sizeof REASONS / sizeof REASONS[0]; i++)
    {
      rig_t rig = { 0 };
      forwarding_outcome_t refused = refusal (REASONS[i]);

      begin (&rig, false, 6);
      forwarding_step_t step = ended (&rig, 1, &refused);
      check_sent (&step, 11);
    }
}

/* hops_until_given_up() - Return: number of hops if each sidecar names another engine */
static uint32_t
hops_until_given_up (verdict_reason_t reason)
{
  rig_t rig = rig_with_budget ();
  uint64_t next = 100;
  forwarding_outcome_t refused = refusal (reason);
  forwarding_step_t step = begin (&rig, true, 6);
  uint32_t sent = 0;

  refused.referrals = &next;
  refused.referral_count = 1;
  for (; step.action == FORWARDING_SEND; next++, sent++)
    step = ended (&rig, 1, &refused);
  check_given_up (&step, VERDICT_NOT_RUN);
  return sent;
}

static void
hops_are_limited (void)
{
  CU_ASSERT_EQUAL (hops_until_given_up (VERDICT_REASON_OVER_BOUND), LIMIT_HOPS);
  CU_ASSERT_EQUAL (hops_until_given_up (VERDICT_REASON_COLD), LIMIT_HOPS);
  CU_ASSERT_EQUAL (hops_until_given_up (VERDICT_REASON_LEAVING), LIMIT_HOPS_EXTENDED);
  CU_ASSERT_EQUAL (hops_until_given_up (VERDICT_REASON_STALE), LIMIT_HOPS_EXTENDED);
}

/* Guards against a retry time for requests that crash engines, or that fail again if retried. */
static void
final_rejections_have_no_retry_time (void)
{
  static const verdict_reason_t REASONS[] = { VERDICT_REASON_SUSPECT, VERDICT_REASON_CLAIMED,
                                              VERDICT_REASON_KEY_REUSED,
                                              VERDICT_REASON_KEY_TOO_OLD };

  for (uint32_t i = 0; i < sizeof REASONS / sizeof REASONS[0]; i++)
    {
      rig_t rig = { 0 };
      forwarding_outcome_t refused = refusal (REASONS[i]);

      begin (&rig, false, 6);
      refused.retry_after_ms = 5000;
      forwarding_step_t step = ended (&rig, 1, &refused);
      CU_ASSERT_EQUAL (step.action, FORWARDING_GIVE_UP);
      CU_ASSERT_EQUAL (step.reason, REASONS[i]);
      CU_ASSERT_EQUAL (step.retry_after_ms, 0);
    }
}

static void
log_down_has_a_retry_time (void)
{
  rig_t rig = { 0 };
  forwarding_outcome_t refused = refusal (VERDICT_REASON_LOG_DOWN);

  begin (&rig, false, 6);
  forwarding_step_t step = ended (&rig, 1, &refused);
  check_given_up (&step, VERDICT_NOT_RUN);
  CU_ASSERT_NOT_EQUAL (step.retry_after_ms, 0);
}

static void
past_deadline_gives_up_at_once (void)
{
  rig_t rig = { 0 };
  forwarding_outcome_t refused = refusal (VERDICT_REASON_LEAVING);

  begin (&rig, true, 6);
  forwarding_step_t step = ended (&rig, DEADLINE_US, &refused);
  check_given_up (&step, VERDICT_NOT_RUN);
  CU_ASSERT_EQUAL (step.reason, VERDICT_REASON_DEADLINE);
  CU_ASSERT_NOT_EQUAL (step.retry_after_ms, 0);
}

/* The connection to the sidecar breaks before a response. Guards against executing a request twice
 * that isn't idempotent: another engine gets it only after the sidecar confirmed that it wasn't and
 * won't be executed; otherwise the client is told that it may have been. */
static void
non_idempotent_is_resent_only_if_not_run (void)
{
  rig_t rig = rig_with_budget ();
  forwarding_outcome_t cut = broken_connection ();

  begin (&rig, false, 6);
  forwarding_step_t step = ended (&rig, 1, &cut);
  CU_ASSERT_EQUAL (step.action, FORWARDING_REVOKE);
  CU_ASSERT_EQUAL (step.engine_hash, 10);
  step = revoked (&rig, 2, VERDICT_NOT_RUN);
  check_sent (&step, 11);
  ended (&rig, 3, &cut);
  step = revoked (&rig, 4, VERDICT_MAY_HAVE_RUN);
  check_given_up (&step, VERDICT_MAY_HAVE_RUN);
  CU_ASSERT_EQUAL (step.retry_after_ms, 0);
  CU_ASSERT_EQUAL (rig.budget.tokens_milli, FORWARDING_BUDGET_MAX_MILLI);
}

static void
crash_reported_by_sidecar_needs_no_revoke (void)
{
  rig_t rig = rig_with_budget ();
  forwarding_outcome_t crashed = { .verdict = VERDICT_MAY_HAVE_RUN,
                                   .reason = VERDICT_REASON_ENGINE_CRASHED };

  begin (&rig, false, 6);
  CU_ASSERT_EQUAL (ended (&rig, 1, &crashed).action, FORWARDING_GIVE_UP);
  begin (&rig, true, 6);
  CU_ASSERT_EQUAL (ended (&rig, 1, &crashed).action, FORWARDING_SEND);
}

/* Many connections break at once. Guards against retries that multiply an overload: idempotent
 * requests are retried only while the budget lasts. */
static void
budget_limits_retries (void)
{
  rig_t rig = rig_with_budget ();
  forwarding_outcome_t cut = broken_connection ();
  forwarding_step_t step;
  uint32_t retried = 0;

  for (uint32_t i = 0; i < 50; i++)
    {
      begin (&rig, true, 6);
      ended (&rig, 1, &cut);
      step = revoked (&rig, 1, VERDICT_MAY_HAVE_RUN);
      retried += step.action == FORWARDING_SEND;
    }
  CU_ASSERT_EQUAL (retried, FORWARDING_BUDGET_MAX_MILLI / 1000);
  check_given_up (&step, VERDICT_MAY_HAVE_RUN);
}

/* A request crashes the sidecar along with the engine, so that no sidecar reports the crash. Guards
 * against trying it on all candidates: the router gives up after the second broken connection. One
 * after which the sidecar confirms that the request wasn't executed doesn't count. */
static void
two_broken_connections_end_the_request (void)
{
  rig_t rig = rig_with_budget ();
  forwarding_outcome_t cut = broken_connection ();

  begin (&rig, true, 6);
  ended (&rig, 1, &cut);
  CU_ASSERT_EQUAL (revoked (&rig, 1, VERDICT_NOT_RUN).action, FORWARDING_SEND);
  ended (&rig, 2, &cut);
  CU_ASSERT_EQUAL (revoked (&rig, 2, VERDICT_MAY_HAVE_RUN).action, FORWARDING_SEND);
  ended (&rig, 3, &cut);
  forwarding_step_t step = revoked (&rig, 3, VERDICT_MAY_HAVE_RUN);
  check_given_up (&step, VERDICT_MAY_HAVE_RUN);
  CU_ASSERT_NOT_EQUAL (step.retry_after_ms, 0);
}

/* All engines are above their bound, and the request is queued at its last hop when that host is
 * killed. Guards against an error while the other engines work: they are tried again, whether or
 * not the sidecar confirmed that the request wasn't executed. */
static void
other_engines_are_tried_when_a_host_is_lost (void)
{
  static const verdict_t VERDICTS[] = { VERDICT_MAY_HAVE_RUN, VERDICT_NOT_RUN };

  for (uint32_t i = 0; i < G_N_ELEMENTS (VERDICTS); i++)
    {
      rig_t rig = rig_with_budget ();
      forwarding_outcome_t full = refusal (VERDICT_REASON_OVER_BOUND);
      forwarding_outcome_t cut = broken_connection ();
      forwarding_step_t step = begin (&rig, true, 3);

      while (step.action == FORWARDING_SEND && !step.may_wait)
        step = ended (&rig, 1, &full);
      CU_ASSERT_EQUAL (step.engine_hash, CANDIDATES[0]);
      CU_ASSERT_EQUAL (ended (&rig, 2, &cut).action, FORWARDING_REVOKE);
      step = revoked (&rig, 3, VERDICTS[i]);
      CU_ASSERT_EQUAL (step.action, FORWARDING_SEND);
      while (step.action == FORWARDING_SEND && !step.may_wait)
        step = ended (&rig, 4, &full);
      check_sent (&step, CANDIDATES[1]);
    }
}

static bool
retry_lost_hop (forwarding_budget_t *budget, uint64_t account_hash)
{
  forwarding_options_t options = { .idempotent = true,
                                   .account_hash = account_hash,
                                   .deadline_us = DEADLINE_US,
                                   .candidates = CANDIDATES,
                                   .candidate_count = 6 };
  forwarding_outcome_t cut = broken_connection ();
  forwarding_t forwarding;

  forwarding_begin (&forwarding, 0, &options);
  forwarding_attempt_ended (&forwarding, 1, budget, &cut);
  return forwarding_revoked (&forwarding, 1, budget, VERDICT_MAY_HAVE_RUN).action ==
         FORWARDING_SEND;
}

/* A surging account has many requests at a host that is killed, and their retries use up the
 * budget. Guards against an error for the single request of another account: it has a reserve,
 * which is refilled as its requests succeed. */
static void
surge_leaves_other_accounts_a_retry (void)
{
  forwarding_budget_t budget;
  uint32_t retried = 0;

  forwarding_budget_init (&budget);
  for (uint32_t i = 0; i < 50; i++)
    retried += retry_lost_hop (&budget, 1);
  CU_ASSERT_EQUAL (retried, (FORWARDING_BUDGET_MAX_MILLI + FORWARDING_RESERVE_MAX_MILLI) / 1000);
  CU_ASSERT_TRUE (retry_lost_hop (&budget, 2));
  CU_ASSERT_FALSE (retry_lost_hop (&budget, 2));
  for (uint32_t i = 0; i < 2 * FORWARDING_RESERVES_MAX; i++)
    retry_lost_hop (&budget, 100 + i);
  CU_ASSERT_EQUAL (budget.reserve_count, FORWARDING_RESERVES_MAX);
  for (uint32_t i = 0; i < 10; i++)
    forwarding_budget_refill (&budget, 2);
  CU_ASSERT_EQUAL (budget.reserve_count, FORWARDING_RESERVES_MAX - 1);
  budget.tokens_milli = 0;
  CU_ASSERT_TRUE (retry_lost_hop (&budget, 2));
}

/* A first attempt may have been executed, and the second is rejected. Guards against telling the
 * client that the request wasn't executed. */
static void
verdict_is_of_the_whole_request (void)
{
  rig_t rig = rig_with_budget ();
  forwarding_outcome_t cut = broken_connection ();
  forwarding_outcome_t full = refusal (VERDICT_REASON_LOG_DOWN);

  begin (&rig, true, 6);
  ended (&rig, 1, &cut);
  revoked (&rig, 1, VERDICT_MAY_HAVE_RUN);
  forwarding_step_t step = ended (&rig, 2, &full);
  check_given_up (&step, VERDICT_MAY_HAVE_RUN);
}

/* A response breaks off after its first byte went to the client. Guards against appending the
 * response of another engine. */
static void
no_retry_after_response_has_begun (void)
{
  rig_t rig = rig_with_budget ();
  forwarding_outcome_t cut = broken_connection ();

  begin (&rig, true, 6);
  forwarding_response_begun (&rig.forwarding);
  forwarding_step_t step = ended (&rig, 1, &cut);
  check_given_up (&step, VERDICT_MAY_HAVE_RUN);
  CU_ASSERT_EQUAL (step.reason, VERDICT_REASON_CUT);
}

/* A request has crashed two engines, but their sidecars don't know of each other's crash yet, so
 * each rejects it only for its own engine. Guards against the router sending it to a third one. */
static void
crashes_of_two_engines_are_added (void)
{
  rig_t rig = rig_with_budget ();
  forwarding_outcome_t here = refusal (VERDICT_REASON_SUSPECT_HERE);
  forwarding_outcome_t crashed = { .verdict = VERDICT_MAY_HAVE_RUN,
                                   .reason = VERDICT_REASON_ENGINE_CRASHED };

  begin (&rig, true, 6);
  forwarding_step_t step = ended (&rig, 1, &here);
  CU_ASSERT_EQUAL (step.action, FORWARDING_SEND);
  CU_ASSERT_EQUAL (rig.forwarding.crashed[0], 10);
  step = ended (&rig, 1, &here);
  check_given_up (&step, VERDICT_NOT_RUN);
  CU_ASSERT_EQUAL (step.reason, VERDICT_REASON_SUSPECT);
  CU_ASSERT_EQUAL (step.retry_after_ms, 0);

  begin (&rig, true, 6);
  ended (&rig, 1, &crashed);
  step = ended (&rig, 1, &crashed);
  check_given_up (&step, VERDICT_MAY_HAVE_RUN);
  CU_ASSERT_EQUAL (step.reason, VERDICT_REASON_SUSPECT);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "a response ends the request", response_ends_the_request },
    { "fails without candidates", fails_without_candidates },
    { "only candidate may queue", only_candidate_may_queue },
    { "referrals go first", referrals_go_first },
    { "last hop may queue at the first", last_hop_may_queue_at_the_first },
    { "other engines are tried when a host stops", other_engines_are_tried_when_a_host_stops },
    { "few candidates queue sooner", few_candidates_queue_sooner },
    { "home is tried again", home_is_tried_again },
    { "deadline at one engine tries others", deadline_at_one_engine_tries_others },
    { "rejections use no budget", rejections_use_no_budget },
    { "hops are limited", hops_are_limited },
    { "final rejections have no retry time", final_rejections_have_no_retry_time },
    { "log down has a retry time", log_down_has_a_retry_time },
    { "past deadline gives up at once", past_deadline_gives_up_at_once },
    { "non-idempotent is resent only if not run", non_idempotent_is_resent_only_if_not_run },
    { "crash reported by sidecar needs no revoke", crash_reported_by_sidecar_needs_no_revoke },
    { "budget limits retries", budget_limits_retries },
    { "two broken connections end the request", two_broken_connections_end_the_request },
    { "other engines are tried when a host is lost", other_engines_are_tried_when_a_host_is_lost },
    { "a surge leaves other accounts a retry", surge_leaves_other_accounts_a_retry },
    { "the verdict is of the whole request", verdict_is_of_the_whole_request },
    { "no retry after a response has begun", no_retry_after_response_has_begun },
    { "crashes of two engines are added", crashes_of_two_engines_are_added },
    CU_TEST_INFO_NULL,
  };
  return suite_run ("forwarding", tests);
}
