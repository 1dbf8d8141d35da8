#include "request/sidecar/history.h"
#include "suite.h"

#include <glib.h>

G_DEFINE_AUTOPTR_CLEANUP_FUNC (hst_t, hst_free)

#define NOW_US (UINT64_C (1000) * 1000 * 1000)

static void
remembers_how_attempts_ended (void)
{
  g_autoptr (hst_t) hst = hst_new (8);
  uint64_t ran[2] = { 1, 1 };
  uint64_t refused[2] = { 1, 2 };
  vrd_t verdict = VRD_MAY_HAVE_RUN;

  hst_ended (hst, NOW_US, ran, VRD_RAN);
  hst_ended (hst, NOW_US, refused, VRD_NOT_RUN);
  CU_ASSERT_EQUAL (hst_find (hst, NOW_US, refused, &verdict), HST_ENDED);
  CU_ASSERT_EQUAL (verdict, VRD_NOT_RUN);
  CU_ASSERT_EQUAL (hst_revoke (hst, NOW_US, ran, 0), VRD_RAN);
  CU_ASSERT_EQUAL (hst_revoke (hst, NOW_US, refused, 0), VRD_NOT_RUN);
}

/* A router loses its connection while the request is still on its way, and revokes it. The sidecar
 * answers "not run", the router goes to another engine, and then the request arrives after all:
 * it must be refused, or it would run on both. */
static void
bars_what_comes_late (void)
{
  g_autoptr (hst_t) hst = hst_new (8);
  uint64_t attempt[2] = { 1, 1 };
  vrd_t verdict;

  CU_ASSERT_EQUAL (hst_find (hst, NOW_US, attempt, &verdict), HST_UNKNOWN);
  CU_ASSERT_EQUAL (hst_revoke (hst, NOW_US, attempt, 0), VRD_NOT_RUN);
  CU_ASSERT_EQUAL (hst_find (hst, NOW_US + 1, attempt, &verdict), HST_BARRED);
  CU_ASSERT_EQUAL (hst_find (hst, NOW_US + HST_BAR_US, attempt, &verdict), HST_UNKNOWN);
}

/* A booking ran, its answer was lost, and so many others ended since that the sidecar has forgotten
 * it. "Never seen" would be a lie after which the router books a second time. */
static void
does_not_deny_what_it_forgot (void)
{
  g_autoptr (hst_t) hst = hst_new (4);
  uint64_t ran[2] = { 1, 0 };
  uint64_t younger[2] = { 2, 0 };
  uint64_t sent_us = NOW_US - 1;

  hst_ended (hst, NOW_US, ran, VRD_RAN);
  for (uint64_t i = 1; i <= 4; i++)
    hst_ended (hst, NOW_US + i, (uint64_t[2]){ 1, i }, VRD_RAN);

  uint64_t now_us = NOW_US + HST_AGE_MARGIN_US + 10;

  CU_ASSERT_EQUAL (hst_revoke (hst, now_us, ran, now_us - sent_us), VRD_MAY_HAVE_RUN);
  CU_ASSERT_EQUAL (hst_revoke (hst, now_us, younger, 5), VRD_NOT_RUN);
}

/* More attempts are revoked than the sidecar can bar. It must not drop a bar that still counts to
 * make room: the newest router hears that the request may have run. */
static void
keeps_bars_when_full (void)
{
  g_autoptr (hst_t) hst = hst_new (4);
  vrd_t verdict;

  for (uint64_t i = 0; i < 4; i++)
    CU_ASSERT_EQUAL (hst_revoke (hst, NOW_US, (uint64_t[2]){ 1, i }, 0), VRD_NOT_RUN);
  CU_ASSERT_EQUAL (hst_revoke (hst, NOW_US, (uint64_t[2]){ 1, 4 }, 0), VRD_MAY_HAVE_RUN);
  CU_ASSERT_EQUAL (hst_find (hst, NOW_US, (uint64_t[2]){ 1, 0 }, &verdict), HST_BARRED);
  CU_ASSERT_EQUAL (hst_revoke (hst, NOW_US + HST_BAR_US, (uint64_t[2]){ 1, 4 }, 0), VRD_NOT_RUN);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "remembers how attempts ended", remembers_how_attempts_ended },
    { "bars what comes late", bars_what_comes_late },
    { "does not deny what it forgot", does_not_deny_what_it_forgot },
    { "keeps bars when full", keeps_bars_when_full },
    CU_TEST_INFO_NULL,
  };
  return suite_run ("history", tests);
}
