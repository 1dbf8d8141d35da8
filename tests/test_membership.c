#include "base/clock.h"
#include "base/pause.h"
#include "request/policy/engines/health.h"
#include "request/policy/engines/membership.h"
#include "request/policy/placement/rendezvous.h"
#include "suite.h"

#include <glib.h>
#include <string.h>

G_DEFINE_AUTOPTR_CLEANUP_FUNC (health_t, health_free)
G_DEFINE_AUTOPTR_CLEANUP_FUNC (membership_snapshot_t, membership_snapshot_unref)
G_DEFINE_AUTOPTR_CLEANUP_FUNC (membership_t, membership_free)

#define SECOND_US CLOCK_US_PER_S

static membership_list_entry_t
list_entry (const char *name, membership_state_t state)
{
  membership_list_entry_t host = { .state = state, .http = { "127.0.0.1", 80 } };
  g_strlcpy (host.name, name, sizeof host.name);
  return host;
}

static bool
apply_report (membership_t *membership,
              uint64_t now_us,
              uint64_t incarnation,
              uint32_t sequence,
              membership_state_t state)
{
  membership_report_t report = { rendezvous_hash_name ("a"), incarnation, sequence, state };
  return membership_apply_report (membership, now_us, &report);
}

static void
apply_list_state (membership_t *membership, uint64_t now_us, membership_state_t state)
{
  membership_list_entry_t host = list_entry ("a", state);
  membership_apply_list_changes (membership, now_us, &host, 1, 1);
}

/* Return: host "a" of a new snapshot; its state is MEMBERSHIP_GONE when the snapshot lacks it */
static membership_host_t
published_host (membership_t *membership)
{
  membership_snapshot_t *snapshot = membership_take_snapshot (membership);
  const membership_host_t *host = membership_find (snapshot, "a");
  membership_host_t copy = { .state = MEMBERSHIP_GONE };
  if (host != NULL)
    copy = *host;
  membership_snapshot_unref (snapshot);
  return copy;
}

static void
test_snapshot_lookup (void)
{
  g_autoptr (membership_t) membership = membership_new ();
  membership_list_entry_t hosts[3] = { list_entry ("c", MEMBERSHIP_LIVE),
                                       list_entry ("a", MEMBERSHIP_LIVE),
                                       list_entry ("b", MEMBERSHIP_LIVE) };
  membership_apply_list (membership, SECOND_US, hosts, 3, 7);
  CU_ASSERT_TRUE (membership_has_changed (membership));
  g_autoptr (membership_snapshot_t) first = membership_take_snapshot (membership);
  CU_ASSERT_FALSE (membership_has_changed (membership));
  CU_ASSERT_EQUAL (first->host_count, 3);
  CU_ASSERT_EQUAL (first->list_revision, 7);
  CU_ASSERT_STRING_EQUAL (first->hosts[0].name, "a");
  for (uint32_t i = 0; i < 3; i++)
    {
      const membership_host_t *host = &first->hosts[i];
      CU_ASSERT_PTR_EQUAL (membership_find (first, host->name), host);
      CU_ASSERT_PTR_EQUAL (membership_find_by_hash (first, rendezvous_hash_name (host->name)),
                           host);
      CU_ASSERT_EQUAL (host->settled_us, 0);
    }
  CU_ASSERT_PTR_NULL (membership_find (first, "d"));
  CU_ASSERT_PTR_NULL (membership_find_by_hash (first, 12345));
  membership_apply_list (membership, 2 * SECOND_US, hosts, 2, 8);
  g_autoptr (membership_snapshot_t) second = membership_take_snapshot (membership);
  CU_ASSERT_EQUAL (second->host_count, 2);
  CU_ASSERT_PTR_NULL (membership_find (second, "b"));
  CU_ASSERT_EQUAL (first->host_count, 3);
}

/* Guards against requests sent to a leaving host. The platform's list lags: it still says live
 * after the host has reported that it leaves, and a stale copy says live after a newer one said
 * leaving. The first "leaving" of either source holds for this incarnation. */
static void
test_leaving_does_not_revert (void)
{
  g_autoptr (membership_t) membership = membership_new ();
  apply_list_state (membership, SECOND_US, MEMBERSHIP_LIVE);
  CU_ASSERT_TRUE (apply_report (membership, SECOND_US, 5, 1, MEMBERSHIP_LIVE));
  CU_ASSERT_TRUE (apply_report (membership, SECOND_US, 5, 2, MEMBERSHIP_LEAVING));
  CU_ASSERT_EQUAL (published_host (membership).state, MEMBERSHIP_LEAVING);
  apply_list_state (membership, 2 * SECOND_US, MEMBERSHIP_LIVE);
  CU_ASSERT_EQUAL (published_host (membership).state, MEMBERSHIP_LEAVING);
  CU_ASSERT_FALSE (apply_report (membership, 2 * SECOND_US, 5, 1, MEMBERSHIP_LIVE));
  CU_ASSERT_FALSE (apply_report (membership, 2 * SECOND_US, 5, 9, MEMBERSHIP_LIVE));
  CU_ASSERT_EQUAL (published_host (membership).state, MEMBERSHIP_LEAVING);
  apply_list_state (membership, 3 * SECOND_US, MEMBERSHIP_GONE);
  CU_ASSERT_EQUAL (published_host (membership).state, MEMBERSHIP_GONE);
  apply_list_state (membership, 4 * SECOND_US, MEMBERSHIP_LIVE);
  CU_ASSERT_EQUAL (published_host (membership).state, MEMBERSHIP_LEAVING);
  CU_ASSERT_TRUE (apply_report (membership, 5 * SECOND_US, 6, 1, MEMBERSHIP_LIVE));
  CU_ASSERT_EQUAL (published_host (membership).state, MEMBERSHIP_LIVE);
}

/* Guards against a restarted host that gets no requests because the list still says leaving of its
 * former incarnation. When the list turns to leaving once more, that holds for the new incarnation,
 * and a stale copy that says live does not undo it. */
static void
test_list_leaving_is_of_one_incarnation (void)
{
  g_autoptr (membership_t) membership = membership_new ();
  apply_list_state (membership, SECOND_US, MEMBERSHIP_LIVE);
  apply_report (membership, SECOND_US, 5, 1, MEMBERSHIP_LIVE);
  apply_list_state (membership, 2 * SECOND_US, MEMBERSHIP_LEAVING);
  CU_ASSERT_EQUAL (published_host (membership).state, MEMBERSHIP_LEAVING);
  apply_report (membership, 3 * SECOND_US, 5, 2, MEMBERSHIP_LIVE);
  apply_list_state (membership, 3 * SECOND_US, MEMBERSHIP_LIVE);
  CU_ASSERT_EQUAL (published_host (membership).state, MEMBERSHIP_LEAVING);
  apply_list_state (membership, 3 * SECOND_US, MEMBERSHIP_LEAVING);
  apply_report (membership, 4 * SECOND_US, 6, 1, MEMBERSHIP_LIVE);
  CU_ASSERT_EQUAL (published_host (membership).state, MEMBERSHIP_LIVE);
  CU_ASSERT_EQUAL (published_host (membership).incarnation, 6);
  apply_list_state (membership, 5 * SECOND_US, MEMBERSHIP_LEAVING);
  CU_ASSERT_EQUAL (published_host (membership).state, MEMBERSHIP_LIVE);
  apply_list_state (membership, 6 * SECOND_US, MEMBERSHIP_LIVE);
  apply_list_state (membership, 7 * SECOND_US, MEMBERSHIP_LEAVING);
  CU_ASSERT_EQUAL (published_host (membership).state, MEMBERSHIP_LEAVING);
}

static void
test_report_of_unlisted_host_is_ignored (void)
{
  g_autoptr (membership_t) membership = membership_new ();
  CU_ASSERT_FALSE (apply_report (membership, SECOND_US, 5, 1, MEMBERSHIP_LIVE));
  CU_ASSERT_EQUAL (published_host (membership).state, MEMBERSHIP_GONE);
  membership_report_t report;
  CU_ASSERT_FALSE (membership_last_report (membership, rendezvous_hash_name ("a"), &report));
  apply_list_state (membership, SECOND_US, MEMBERSHIP_LIVE);
  apply_report (membership, SECOND_US, 5, 3, MEMBERSHIP_LIVE);
  CU_ASSERT_TRUE (membership_last_report (membership, rendezvous_hash_name ("a"), &report));
  CU_ASSERT_EQUAL (report.sequence, 3);
}

/* An engine flaps: it is listed, gone and listed again many times. If each return moved its chats
 * back at once, they would leave the engines that have their prefix cached and run uncached every
 * time. The engine is settled only after a time that doubles with each flap, up to a maximum. */
static void
test_flap_damping_doubles (void)
{
  g_autoptr (membership_t) membership = membership_new ();
  uint64_t now_us = SECOND_US;
  apply_list_state (membership, now_us, MEMBERSHIP_LIVE);
  CU_ASSERT_EQUAL (published_host (membership).settled_us, 0);
  uint64_t expected_us = MEMBERSHIP_DAMPING_MIN_US;
  for (uint32_t i = 0; i < 12; i++)
    {
      apply_list_state (membership, now_us += SECOND_US, MEMBERSHIP_GONE);
      apply_list_state (membership, now_us += SECOND_US, MEMBERSHIP_LIVE);
      CU_ASSERT_EQUAL (published_host (membership).settled_us, now_us + expected_us);
      CU_ASSERT_EQUAL (published_host (membership).joined_us, now_us);
      expected_us = MIN (expected_us * 2, MEMBERSHIP_DAMPING_MAX_US);
    }
}

static void
test_long_uptime_halves_damping (void)
{
  g_autoptr (membership_t) membership = membership_new ();
  uint64_t now_us = SECOND_US;
  apply_list_state (membership, now_us, MEMBERSHIP_LIVE);
  for (uint32_t i = 0; i < 4; i++)
    {
      apply_list_state (membership, now_us += SECOND_US, MEMBERSHIP_GONE);
      apply_list_state (membership, now_us += SECOND_US, MEMBERSHIP_LIVE);
    }
  CU_ASSERT_EQUAL (published_host (membership).settled_us, now_us + 8 * MEMBERSHIP_DAMPING_MIN_US);
  now_us += 2 * MEMBERSHIP_LONG_UPTIME_US;
  apply_list_state (membership, now_us, MEMBERSHIP_GONE);
  apply_list_state (membership, now_us += SECOND_US, MEMBERSHIP_LIVE);
  CU_ASSERT_EQUAL (published_host (membership).settled_us, now_us + 4 * MEMBERSHIP_DAMPING_MIN_US);
}

static void
test_restart_is_a_flap_after_a_short_life (void)
{
  g_autoptr (membership_t) membership = membership_new ();
  apply_list_state (membership, SECOND_US, MEMBERSHIP_LIVE);
  apply_report (membership, SECOND_US, 5, 1, MEMBERSHIP_LIVE);
  uint64_t late_us = SECOND_US + MEMBERSHIP_LONG_UPTIME_US;
  apply_report (membership, late_us, 6, 1, MEMBERSHIP_LIVE);
  CU_ASSERT_EQUAL (published_host (membership).settled_us, 0);
  apply_report (membership, late_us + SECOND_US, 7, 1, MEMBERSHIP_LIVE);
  CU_ASSERT_EQUAL (published_host (membership).settled_us,
                   late_us + SECOND_US + MEMBERSHIP_DAMPING_MIN_US);
}

/* A host restarts: the list has it again first, then its new incarnation is reported. That is one
 * flap, not two. */
static void
test_return_is_one_flap (void)
{
  g_autoptr (membership_t) membership = membership_new ();
  apply_list_state (membership, SECOND_US, MEMBERSHIP_LIVE);
  apply_report (membership, SECOND_US, 5, 1, MEMBERSHIP_LIVE);
  apply_list_state (membership, 2 * SECOND_US, MEMBERSHIP_GONE);
  apply_list_state (membership, 3 * SECOND_US, MEMBERSHIP_LIVE);
  apply_report (membership, 4 * SECOND_US, 6, 1, MEMBERSHIP_LIVE);
  CU_ASSERT_EQUAL (published_host (membership).settled_us,
                   3 * SECOND_US + MEMBERSHIP_DAMPING_MIN_US);
}

static void
test_health_backs_off (void)
{
  g_autoptr (health_t) health = health_new ();
  uint64_t now_us = SECOND_US;
  health_record_failure (health, now_us, 1);
  CU_ASSERT_TRUE (health_begin_attempt (health, now_us, 1));
  for (uint32_t i = 0; i < 5; i++)
    health_record_failure (health, now_us, 1);
  CU_ASSERT_FALSE (health_begin_attempt (health, now_us, 1));
  uint64_t backoff_us = HEALTH_BACKOFF_MIN_US;
  for (uint32_t i = 0; i < 10; i++)
    {
      CU_ASSERT_TRUE (health_is_skipped (health, now_us + backoff_us - 1, 1));
      now_us += backoff_us;
      CU_ASSERT_FALSE (health_is_skipped (health, now_us, 1));
      CU_ASSERT_TRUE (health_begin_attempt (health, now_us, 1));
      CU_ASSERT_FALSE (health_begin_attempt (health, now_us, 1));
      health_record_failure (health, now_us, 1);
      backoff_us = MIN (backoff_us * 2, HEALTH_BACKOFF_MAX_US);
    }
  health_record_success (health, 1);
  CU_ASSERT_TRUE (health_begin_attempt (health, now_us, 1));
}

/* A router whose own network fails finds every sidecar unreachable. If it skipped them all, it
 * would refuse requests long after the network has recovered. So its findings don't count while
 * more than half of a service seems to be down. */
static void
test_health_tells_when_most_hosts_are_down (void)
{
  g_autoptr (health_t) health = health_new ();
  const uint64_t hosts[4] = { 1, 2, 3, 4 };
  for (uint64_t host = 1; host <= 3; host++)
    {
      CU_ASSERT_FALSE (health_most_are_down (health, hosts, 4));
      health_record_failure (health, SECOND_US, host);
      health_record_failure (health, SECOND_US, host);
    }
  CU_ASSERT_TRUE (health_most_are_down (health, hosts, 4));
  health_forget (health, 2);
  CU_ASSERT_FALSE (health_most_are_down (health, hosts, 4));
}

/* A process is suspended and continues later. A message "fresh" that was sent before the suspension
 * is still in its mailbox and is read first: it must not make the daemon use outdated state. */
static void
test_pause (void)
{
  pause_detector_t pause;
  pause_init (&pause, SECOND_US, 250);
  CU_ASSERT_TRUE (pause_is_stale (&pause));
  CU_ASSERT_TRUE (pause_mark_fresh (&pause, SECOND_US));
  CU_ASSERT_FALSE (pause_is_settling (&pause, SECOND_US));
  CU_ASSERT_FALSE (pause_check (&pause, SECOND_US + PAUSE_GAP_MIN_US));
  CU_ASSERT_FALSE (pause_is_stale (&pause));
  uint64_t woke_us = SECOND_US + 2 * PAUSE_GAP_MIN_US + 1;
  CU_ASSERT_TRUE (pause_check (&pause, woke_us));
  CU_ASSERT_FALSE (pause_check (&pause, woke_us));
  CU_ASSERT_FALSE (pause_mark_fresh (&pause, woke_us - 1));
  CU_ASSERT_TRUE (pause_is_stale (&pause));
  CU_ASSERT_TRUE (pause_mark_fresh (&pause, woke_us));
  CU_ASSERT_TRUE (pause_is_settling (&pause, woke_us + PAUSE_SETTLE_US - 1));
  CU_ASSERT_FALSE (pause_is_settling (&pause, woke_us + PAUSE_SETTLE_US));
  CU_ASSERT_FALSE (pause_mark_woken (&pause, woke_us));
  CU_ASSERT_TRUE (pause_mark_woken (&pause, woke_us + 1));
  CU_ASSERT_TRUE (pause_is_stale (&pause));
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    SUITE_TEST (test_snapshot_lookup),
    SUITE_TEST (test_leaving_does_not_revert),
    SUITE_TEST (test_list_leaving_is_of_one_incarnation),
    SUITE_TEST (test_report_of_unlisted_host_is_ignored),
    SUITE_TEST (test_flap_damping_doubles),
    SUITE_TEST (test_long_uptime_halves_damping),
    SUITE_TEST (test_restart_is_a_flap_after_a_short_life),
    SUITE_TEST (test_return_is_one_flap),
    SUITE_TEST (test_health_backs_off),
    SUITE_TEST (test_health_tells_when_most_hosts_are_down),
    SUITE_TEST (test_pause),
    CU_TEST_INFO_NULL,
  };
  return suite_run ("member", tests);
}
