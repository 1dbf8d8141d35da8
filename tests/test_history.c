#include "request/sidecar/history.h"
#include "suite.h"

#include <glib.h>

G_DEFINE_AUTOPTR_CLEANUP_FUNC (history_t, history_free)

#define NOW_US (UINT64_C (1000) * 1000 * 1000)

static void
records_the_outcome_of_attempts (void)
{
  g_autoptr (history_t) history = history_new (8);
  uint64_t ran[2] = { 1, 1 };
  uint64_t refused[2] = { 1, 2 };
  verdict_t verdict = VERDICT_MAY_HAVE_RUN;

  history_record (history, NOW_US, ran, VERDICT_RAN);
  history_record (history, NOW_US, refused, VERDICT_NOT_RUN);
  CU_ASSERT_EQUAL (history_find (history, NOW_US, refused, &verdict), HISTORY_ENDED);
  CU_ASSERT_EQUAL (verdict, VERDICT_NOT_RUN);
  CU_ASSERT_EQUAL (history_revoke (history, NOW_US, ran, 0), VERDICT_RAN);
  CU_ASSERT_EQUAL (history_revoke (history, NOW_US, refused, 0), VERDICT_NOT_RUN);
}

/* A router loses its connection while the request is in transit, and revokes the attempt. The
 * sidecar answers "not run" and the router tries another engine. If the request then arrives after
 * all, it must be refused, or it would run on both engines. */
static void
refuses_an_attempt_that_arrives_after_its_revoke (void)
{
  g_autoptr (history_t) history = history_new (8);
  uint64_t attempt[2] = { 1, 1 };
  verdict_t verdict;

  CU_ASSERT_EQUAL (history_find (history, NOW_US, attempt, &verdict), HISTORY_UNKNOWN);
  CU_ASSERT_EQUAL (history_revoke (history, NOW_US, attempt, 0), VERDICT_NOT_RUN);
  CU_ASSERT_EQUAL (history_find (history, NOW_US + 1, attempt, &verdict), HISTORY_REVOKED);
  CU_ASSERT_EQUAL (history_find (history, NOW_US + HISTORY_REVOKED_TTL_US, attempt, &verdict),
                   HISTORY_UNKNOWN);
}

/* A non-idempotent request ran, its answer was lost, and its entry was evicted by the attempts that
 * ended since. If the sidecar answered "not run", the router would run the request again. */
static void
answers_may_have_run_for_an_evicted_attempt (void)
{
  g_autoptr (history_t) history = history_new (4);
  uint64_t ran[2] = { 1, 0 };
  uint64_t younger[2] = { 2, 0 };
  uint64_t sent_us = NOW_US - 1;

  history_record (history, NOW_US, ran, VERDICT_RAN);
  for (uint64_t i = 1; i <= 4; i++)
    history_record (history, NOW_US + i, (uint64_t[2]){ 1, i }, VERDICT_RAN);

  uint64_t now_us = NOW_US + HISTORY_AGE_MARGIN_US + 10;

  CU_ASSERT_EQUAL (history_revoke (history, now_us, ran, now_us - sent_us), VERDICT_MAY_HAVE_RUN);
  CU_ASSERT_EQUAL (history_revoke (history, now_us, younger, 5), VERDICT_NOT_RUN);
}

/* More attempts are revoked than the table holds. An entry that has not expired must not be evicted
 * to make room; the router of the newest attempt is told that it may have run. */
static void
keeps_revoked_attempts_when_full (void)
{
  g_autoptr (history_t) history = history_new (4);
  verdict_t verdict;

  for (uint64_t i = 0; i < 4; i++)
    CU_ASSERT_EQUAL (history_revoke (history, NOW_US, (uint64_t[2]){ 1, i }, 0), VERDICT_NOT_RUN);
  CU_ASSERT_EQUAL (history_revoke (history, NOW_US, (uint64_t[2]){ 1, 4 }, 0),
                   VERDICT_MAY_HAVE_RUN);
  CU_ASSERT_EQUAL (history_find (history, NOW_US, (uint64_t[2]){ 1, 0 }, &verdict),
                   HISTORY_REVOKED);
  CU_ASSERT_EQUAL (
      history_revoke (history, NOW_US + HISTORY_REVOKED_TTL_US, (uint64_t[2]){ 1, 4 }, 0),
      VERDICT_NOT_RUN);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "records the outcome of attempts", records_the_outcome_of_attempts },
    { "refuses an attempt that arrives after its revoke",
      refuses_an_attempt_that_arrives_after_its_revoke },
    { "answers may_have_run for an evicted attempt", answers_may_have_run_for_an_evicted_attempt },
    { "keeps revoked attempts when full", keeps_revoked_attempts_when_full },
    CU_TEST_INFO_NULL,
  };
  return suite_run ("history", tests);
}
