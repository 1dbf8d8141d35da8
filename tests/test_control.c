#include "control_rig.h"
#include "suite.h"
#include "request/policy/placement/rendezvous.h"

static void
test_start (void)
{
  struct event_base *base = event_base_new ();
  rig_t rig;
  rig_set_up (&rig, base, "own", RIG_PORT);
  rig_add_hosts (&rig.platform);
  rig_publish_version (&rig.platform, 0);
  rig_publish_version (&rig.platform, 1);
  rig_start (&rig);
  CU_ASSERT_EQUAL (rig.received.fresh_count, 0);
  TICK_UNTIL (&rig, rig.received.fresh);
  CU_ASSERT_EQUAL (rig.received.version, 2);
  CU_ASSERT_EQUAL (rig.received.host_count, 3);
  rig_publish_version (&rig.platform, 2);
  TICK_UNTIL (&rig, rig.received.version == 3);
  rig_publish_version (&rig.platform, 1);
  rig_ticks (&rig, 5);
  CU_ASSERT_EQUAL (rig.received.version, 3);
  CU_ASSERT_EQUAL (rig.received.version_count, 2);
  rig_tear_down (&rig);
  event_base_free (base);
}

/* While the log is down, the version in force must stay and reads must be retried with growing
 * delays, not at every tick, until the log is back. */
static void
test_log_outage (void)
{
  g_auto (rig_t) rig = { 0 };
  rig_init (&rig);
  rig.platform.read_down = true;
  rig_ticks (&rig, 2);
  uint32_t reads = rig.platform.reads;
  rig_ticks (&rig, 300);
  CU_ASSERT_TRUE (rig.platform.reads - reads >= 3);
  CU_ASSERT_TRUE (rig.platform.reads - reads <= 12);
  CU_ASSERT_EQUAL (rig.received.version, 1);
  CU_ASSERT_EQUAL (rig.received.stale_count, 0);
  rig_publish_version (&rig.platform, 1);
  rig.platform.read_down = false;
  TICK_UNTIL (&rig, rig.received.version == 2);
}

/*
 * The process is paused for half a minute, in which its host began to leave and the version was
 * replaced; answers that the platform gave before the pause arrive first. A request accepted then
 * would run on a leaving host or under an old version. The data task must be told at once that it
 * is stale, and that it is fresh only after answers to calls made after the pause.
 */
static void
test_pause (void)
{
  g_auto (rig_t) rig = { 0 };
  rig_init (&rig);
  clock_advance (&rig.daemon.clock, 2 * CLOCK_US_PER_S);
  control_tick (rig.ctrl); /* reads the host list */
  clock_advance (&rig.daemon.clock, RIG_PAUSE_US);
  rig_publish_version (&rig.platform, 1); /* completes the long-polling read of the log */
  CU_ASSERT_EQUAL (fake_platform_answer_calls (&rig.platform), 2);
  event_base_loop (rig.base, EVLOOP_NONBLOCK);
  CU_ASSERT_FALSE (rig.received.fresh);
  CU_ASSERT_EQUAL (rig.received.stale_count, 1);
  CU_ASSERT_EQUAL (rig.received.fresh_at_us, clock_now_us (&rig.daemon.clock));
  uint64_t woke_us = rig.received.fresh_at_us;
  TICK_UNTIL (&rig, rig.received.fresh);
  CU_ASSERT_EQUAL (rig.received.version, 2);
  CU_ASSERT_EQUAL (rig.received.fresh_at_us, woke_us);
}

/* Only the data task detects the pause. */
static void
test_pause_detected_by_data_task (void)
{
  g_auto (rig_t) rig = { 0 };
  rig_init (&rig);
  rig_tick (&rig);
  message_flag_t *woke = message_new (MESSAGE_PAUSE_DETECTED);
  woke->at_us = clock_now_us (&rig.daemon.clock) + 1;
  uint64_t woke_us = woke->at_us;
  rig_deliver (&rig, woke);
  CU_ASSERT_FALSE (rig.received.fresh);
  TICK_UNTIL (&rig, rig.received.fresh);
  CU_ASSERT_EQUAL (rig.received.fresh_at_us, woke_us);
}

/* Both tasks detect the same pause, the control task first. Requesting everything twice would
 * double the traffic and keep the daemon stale for longer; the later wake-up time of the data task
 * must still be taken over. */
static void
test_pause_detected_by_both_tasks (void)
{
  g_auto (rig_t) rig = { 0 };
  rig_init (&rig);
  clock_advance (&rig.daemon.clock, RIG_PAUSE_US);
  rig_tick (&rig);
  rig_tick (&rig);
  CU_ASSERT_TRUE (rig.received.fresh);
  uint32_t lists = rig.platform.lists;
  message_flag_t *woke = message_new (MESSAGE_PAUSE_DETECTED);
  woke->at_us = clock_now_us (&rig.daemon.clock);
  rig_deliver (&rig, woke);
  CU_ASSERT_TRUE (rig.received.fresh);
  CU_ASSERT_EQUAL (rig.received.fresh_at_us, clock_now_us (&rig.daemon.clock));
  CU_ASSERT_EQUAL (rig.received.stale_count, 1);
  rig_tick (&rig);
  CU_ASSERT_EQUAL (rig.platform.lists, lists);
}

/*
 * The process wakes while the platform is down, so it can't read whether its host began to leave,
 * but its peers can report it. One reply is not enough while there are more peers, replies from
 * before the pause do not count, and a peer with a higher version shows that the own version is
 * outdated.
 */
static void
test_pause_while_platform_is_down (void)
{
  g_auto (rig_t) rig = { 0 };
  rig_init (&rig);
  rig.platform.read_down = true;
  rig.platform.list_down = true;
  clock_advance (&rig.daemon.clock, RIG_PAUSE_US);
  rig_message_t incoming;
  rig_compose (&incoming, "peer", 1)->manifest_version = 1;
  CU_ASSERT_FALSE (control_exchange_receive (&incoming.message, true, rig.ctrl));
  rig_ticks (&rig, 30);
  CU_ASSERT_FALSE (rig.received.fresh);
  rig_compose (&incoming, "peer", 2)->manifest_version = 1;
  control_exchange_receive (&incoming.message, true, rig.ctrl);
  rig_compose (&incoming, "third", 1)->manifest_version = 2;
  control_exchange_receive (&incoming.message, true, rig.ctrl);
  rig_run_pending (&rig);
  CU_ASSERT_FALSE (rig.received.fresh);
  rig.ctrl->fetch.next_us = UINT64_MAX; /* no peer serves the version in this test */
  rig.ctrl->manifest.peer_version = 0;
  rig_compose (&incoming, "peer", 3)->manifest_version = 1;
  control_exchange_receive (&incoming.message, true, rig.ctrl);
  rig_compose (&incoming, "third", 2)->manifest_version = 1;
  control_exchange_receive (&incoming.message, true, rig.ctrl);
  rig_run_pending (&rig);
  CU_ASSERT_TRUE (rig.received.fresh);
}

/* While the process is paused the list turns to leaving, and then the platform goes down. The
 * daemon must leave when a peer reports this in a reply, and not accept work again. Both daemons
 * are real here. */
static void
test_peer_reports_leaving (void)
{
  struct event_base *base = event_base_new ();
  rig_t own;
  rig_t peer;
  rig_start_fresh (&own, base);
  rig_set_up (&peer, base, "peer", RIG_PORT + 1);
  rig_add_hosts (&peer.platform);
  rig_publish_version (&peer.platform, 0);
  rig_start (&peer);
  TICK_UNTIL (&peer, peer.received.fresh);
  exchange_send_now (own.ctrl->exchange, &peer.daemon.settings.exchange);
  membership_report_t word = { 0 };
  gint64 end_us = g_get_monotonic_time () + RIG_DEADLINE_S * G_USEC_PER_SEC;
  while (!membership_last_report (peer.ctrl->membership, own.ctrl->own_hash, &word) &&
         g_get_monotonic_time () < end_us)
    event_base_loop (base, EVLOOP_ONCE);
  CU_ASSERT_EQUAL (word.incarnation, 50);
  fake_platform_set_host (&peer.platform, "own", false, rig_loopback_ip (), RIG_PORT,
                          MEMBERSHIP_LEAVING);
  rig_ticks (&peer, 20);
  own.platform.read_down = true;
  own.platform.list_down = true;
  clock_advance (&own.daemon.clock, RIG_PAUSE_US);
  control_tick (own.ctrl);
  while (own.received.drain_count == 0 && g_get_monotonic_time () < end_us)
    event_base_loop (base, EVLOOP_ONCE);
  CU_ASSERT_EQUAL (own.received.drain_count, 1);
  rig_tear_down (&own);
  rig_tear_down (&peer);
  event_base_free (base);
}

/* The list turns to leaving, and then an outdated copy has the host as live. The data task must be
 * told to drain once, and messages must say from then on that the host leaves; the process ends
 * only after a signal. */
static void
test_leave_by_list (void)
{
  g_auto (rig_t) rig = { 0 };
  rig_init (&rig);
  fake_platform_set_host (&rig.platform, "own", false, rig_loopback_ip (), RIG_PORT,
                          MEMBERSHIP_LEAVING);
  TICK_UNTIL (&rig, rig.received.drain_count > 0);
  fake_platform_set_host (&rig.platform, "own", false, rig_loopback_ip (), RIG_PORT,
                          MEMBERSHIP_LIVE);
  rig_ticks (&rig, 30);
  CU_ASSERT_EQUAL (rig.received.drain_count, 1);
  rig_message_t out;
  control_exchange_compose (rig_compose (&out, "x", 1), NULL, rig.ctrl);
  CU_ASSERT_EQUAL (out.message.sender.state, MEMBERSHIP_LEAVING);
  rig_send_flag (&rig, MESSAGE_DRAINED);
  rig_ticks (&rig, 30);
  CU_ASSERT_FALSE (rig.ctrl->stop.done);
  rig_send_flag (&rig, MESSAGE_DRAIN);
  CU_ASSERT_TRUE (rig.ctrl->stop.done);
  CU_ASSERT_EQUAL (rig.received.drain_count, 1);
}

/* A host was replaced, and the list lags and has the previous process as leaving. The new one must
 * not drain, but must not become fresh until the list has it as live. */
static void
test_listed_leaving_at_start (void)
{
  struct event_base *base = event_base_new ();
  rig_t rig;
  rig_set_up (&rig, base, "own", RIG_PORT);
  rig_add_hosts (&rig.platform);
  fake_platform_set_host (&rig.platform, "own", false, rig_loopback_ip (), RIG_PORT,
                          MEMBERSHIP_LEAVING);
  rig_publish_version (&rig.platform, 0);
  rig_start (&rig);
  rig_ticks (&rig, 30);
  CU_ASSERT_EQUAL (rig.received.fresh_count, 0);
  CU_ASSERT_EQUAL (rig.received.drain_count, 0);
  fake_platform_set_host (&rig.platform, "own", false, rig_loopback_ip (), RIG_PORT,
                          MEMBERSHIP_LIVE);
  TICK_UNTIL (&rig, rig.received.fresh);
  fake_platform_set_host (&rig.platform, "own", false, rig_loopback_ip (), RIG_PORT,
                          MEMBERSHIP_LEAVING);
  TICK_UNTIL (&rig, rig.received.drain_count == 1);
  rig_tear_down (&rig);
  event_base_free (base);
}

/* The platform's list is empty after a restart of its store. If it were applied, routers would
 * refuse all requests, and a starting daemon would become fresh without knowing any host. */
static void
test_empty_list_is_ignored (void)
{
  struct event_base *base = event_base_new ();
  rig_t rig;
  rig_start_fresh (&rig, base);
  rig.platform.host_count = 0;
  rig_ticks (&rig, 50);
  CU_ASSERT_EQUAL (rig.received.host_count, 3);
  rig_tear_down (&rig);
  rig_set_up (&rig, base, "own", RIG_PORT);
  rig_publish_version (&rig.platform, 0);
  rig_start (&rig);
  rig_ticks (&rig, 50);
  CU_ASSERT_EQUAL (rig.received.fresh_count, 0);
  rig_add_hosts (&rig.platform);
  TICK_UNTIL (&rig, rig.received.fresh);
  rig_tear_down (&rig);
  event_base_free (base);
}

static void
test_checkpoint_is_appended_once (void)
{
  g_auto (rig_t) rig = { 0 };
  rig_init (&rig);
  for (uint32_t i = 1; i < 70; i++)
    rig_publish_version (&rig.platform, i);
  TICK_UNTIL (&rig, rig.received.version == 70);
  CU_ASSERT_EQUAL (rig.platform.appends, 0);
  TICK_UNTIL (&rig, rig.platform.appends == 1);
  rig_ticks (&rig, 300);
  CU_ASSERT_EQUAL (rig.platform.appends, 1);
  CU_ASSERT_EQUAL (fake_platform_record_count (&rig.platform, REPLAY_STREAM), 71);
  /* Another daemon appends the next checkpoint first, so this one appends none. */
  for (uint32_t i = 70; i < 140; i++)
    rig_publish_version (&rig.platform, i);
  rig_tick (&rig);
  char *record = replay_format_checkpoint (rig.ctrl->manifest.replay);
  fake_platform_append (&rig.platform, REPLAY_STREAM, record);
  rig_ticks (&rig, 300);
  CU_ASSERT_EQUAL (rig.platform.appends, 1);
  g_free (record);
}

/* Lists hosts in other data centres, so that "own" stays a follower. */
static void
add_remote_hosts (rig_t *rig, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      char name[16];
      g_snprintf (name, sizeof name, "other-%u", i);
      fake_platform_set_host (&rig->platform, name, false, rig_loopback_ip (),
                              (uint16_t)(RIG_PORT + 10 + i), MEMBERSHIP_LIVE);
      g_strlcpy (rig->platform.hosts[rig->platform.host_count - 1].data_center, "other",
                 LIMIT_NAME_BYTES);
    }
  rig_ticks (rig, 20);
  CU_ASSERT_TRUE (rig->ctrl->peers.is_follower);
}

/* Lists so many hosts of the own data centre that "own" isn't a follower. */
static void
add_local_hosts (rig_t *rig)
{
  for (uint32_t i = 0; i < 40; i++)
    {
      char name[16];
      g_snprintf (name, sizeof name, "crowd-%u", i);
      fake_platform_set_host (&rig->platform, name, false, rig_loopback_ip (),
                              (uint16_t)(RIG_PORT + 10 + i), MEMBERSHIP_LIVE);
    }
  rig_ticks (rig, 20);
  CU_ASSERT_FALSE (rig->ctrl->peers.is_follower);
}

/* In a large fleet the list would be read thousands of times a second if every daemon polled it.
 * Daemons that aren't followers must read it at once when a peer announces a new revision, but no
 * more often than the interval while it keeps changing. */
static void
test_list_is_read_when_peer_announces_revision (void)
{
  g_auto (rig_t) rig = { 0 };
  rig_message_t incoming;
  uint32_t sequence = 1;
  rig_init (&rig);
  add_local_hosts (&rig);
  uint64_t revision = rig.platform.revision;
  rig_compose (&incoming, "peer", sequence++)->list_revision = revision;
  control_exchange_receive (&incoming.message, false, rig.ctrl);
  rig_ticks (&rig, 20);
  uint32_t lists = rig.platform.lists;
  rig_ticks (&rig, 25);
  CU_ASSERT_EQUAL (rig.platform.lists, lists);
  fake_platform_set_host (&rig.platform, "third", false, rig_loopback_ip (), RIG_PORT + 2,
                          MEMBERSHIP_LEAVING);
  rig_compose (&incoming, "peer", sequence++)->list_revision = revision + 1;
  control_exchange_receive (&incoming.message, false, rig.ctrl);
  rig_tick (&rig);
  CU_ASSERT_EQUAL (rig.platform.lists, lists + 1);
  CU_ASSERT_EQUAL (membership_find (rig.ctrl->peers.members, "third")->state, MEMBERSHIP_LEAVING);
  for (uint32_t i = 0; i < 20; i++)
    {
      rig_compose (&incoming, "peer", sequence++)->list_revision = revision + 100;
      control_exchange_receive (&incoming.message, false, rig.ctrl);
      rig_tick (&rig);
    }
  CU_ASSERT_TRUE (rig.platform.lists - lists >= 2);
  CU_ASSERT_TRUE (rig.platform.lists - lists <= 4);
}

/* Guards against work for a host that leaves: the list is eventually consistent, and a copy of it
 * from before the change answers after a newer one did. */
static void
test_older_list_restores_no_host (void)
{
  g_auto (rig_t) rig = { 0 };
  uint64_t revision;
  rig_init (&rig);
  rig_ticks (&rig, 20);
  revision = rig.platform.revision;
  fake_platform_set_host (&rig.platform, "peer", false, rig_loopback_ip (), RIG_PORT + 1,
                          MEMBERSHIP_LEAVING);
  TICK_UNTIL (&rig, rig.received.peer_state == MEMBERSHIP_LEAVING);
  fake_platform_set_host (&rig.platform, "peer", false, rig_loopback_ip (), RIG_PORT + 1,
                          MEMBERSHIP_LIVE);
  rig.platform.revision = revision;
  rig_ticks (&rig, 20);
  CU_ASSERT_EQUAL (rig.received.peer_state, MEMBERSHIP_LEAVING);
  CU_ASSERT_EQUAL (rig.ctrl->list.revision, revision + 1);
}

/* Guards against a daemon that takes its list for current, after a peer reported a newer one and
 * was killed, because a read of an older copy of the list succeeded. Other peers do not know of the
 * newer list either. */
static void
test_list_stays_behind_until_the_reported_revision (void)
{
  g_auto (rig_t) rig = { 0 };
  rig_message_t incoming;
  uint32_t sequence = 1;
  rig_init (&rig);
  add_local_hosts (&rig);
  uint64_t revision = rig.platform.revision;
  rig_compose (&incoming, "peer", 1)->list_revision = revision + 1;
  control_exchange_receive (&incoming.message, false, rig.ctrl);
  for (uint32_t i = 0; i < 30; i++)
    {
      rig_compose (&incoming, "third", sequence++)->list_revision = revision;
      control_exchange_receive (&incoming.message, false, rig.ctrl);
      rig_tick (&rig);
    }
  fake_platform_set_host (&rig.platform, "third", false, rig_loopback_ip (), RIG_PORT + 2,
                          MEMBERSHIP_LEAVING);
  for (uint32_t i = 0; i < 30; i++)
    {
      rig_compose (&incoming, "third", sequence++)->list_revision = revision;
      control_exchange_receive (&incoming.message, false, rig.ctrl);
      rig_tick (&rig);
    }
  CU_ASSERT_EQUAL (membership_find (rig.ctrl->peers.members, "third")->state, MEMBERSHIP_LEAVING);
}

/* Guards against a whole fleet that polls like followers from then on, after the list was reset: it
 * does not reach the revision that was announced before. */
static void
test_unreached_revision_is_given_up (void)
{
  g_auto (rig_t) rig = { 0 };
  rig_message_t incoming;
  uint32_t sequence = 1;
  uint32_t lists = 0;
  rig_init (&rig);
  add_local_hosts (&rig);
  uint64_t revision = rig.platform.revision;
  rig_compose (&incoming, "peer", 1)->list_revision = revision + 100;
  control_exchange_receive (&incoming.message, false, rig.ctrl);
  for (uint32_t i = 0; i < 450; i++)
    {
      if (i == 350)
        lists = rig.platform.lists;
      rig_compose (&incoming, "third", sequence++)->list_revision = revision;
      control_exchange_receive (&incoming.message, false, rig.ctrl);
      rig_tick (&rig);
    }
  CU_ASSERT_TRUE (lists >= 20);
  CU_ASSERT_TRUE (rig.platform.lists - lists <= 1);
}

/* The exchange is cut off by a wrong key or a firewall. A daemon that isn't a follower would use an
 * outdated list for half a minute; without messages of peers it must read the list itself. */
static void
test_list_is_read_without_peers (void)
{
  g_auto (rig_t) rig = { 0 };
  rig_message_t incoming;
  rig_init (&rig);
  add_local_hosts (&rig);
  control_exchange_receive (rig_compose (&incoming, "peer", 1), false, rig.ctrl);
  rig_ticks (&rig, 20);
  uint32_t lists = rig.platform.lists;
  rig_ticks (&rig, 100);
  CU_ASSERT_TRUE (rig.platform.lists - lists >= 4);
}

/* The list turns to leaving for a host that isn't a follower, which accepts new work until it
 * learns of that. The followers of its data centre must call it at once, and again with growing
 * delays until it reports itself as leaving, as a single call may be lost. */
static void
test_host_listed_as_leaving_is_notified (void)
{
  g_auto (rig_t) rig = { 0 };
  rig_init (&rig);
  CU_ASSERT_TRUE (rig.ctrl->peers.is_follower);
  counter_t *sent =
      counter_get (rig.daemon.counters, "medlarplank_control_datagrams_sent_total", "");
  rig_ticks (&rig, 20);
  uint64_t before = counter_value (sent);
  fake_platform_set_host (&rig.platform, "peer", false, rig_loopback_ip (), RIG_PORT + 1,
                          MEMBERSHIP_LEAVING);
  TICK_UNTIL (&rig, rig.received.peer_state == MEMBERSHIP_LEAVING);
  CU_ASSERT_EQUAL (counter_value (sent), before + 1);
  rig_ticks (&rig, 30);
  CU_ASSERT_EQUAL (counter_value (sent), before + 5);
  rig_message_t incoming;
  rig_compose (&incoming, "peer", 1)->sender.state = MEMBERSHIP_LEAVING;
  control_exchange_receive (&incoming.message, false, rig.ctrl);
  rig_ticks (&rig, 20);
  CU_ASSERT_EQUAL (leave_notice_count (rig.ctrl->list.leaving), 0);
  before = counter_value (sent);
  rig_ticks (&rig, 50);
  CU_ASSERT_EQUAL (counter_value (sent), before);
}

/* A large fleet learns of a new version from the few followers. With periodic messages alone only a
 * few dozen daemons would have it after the first seconds, so followers call peers at once. In a
 * small fleet, where most daemons are followers, this would only use up the byte budgets. */
static void
test_followers_announce_new_version (void)
{
  g_auto (rig_t) rig = { 0 };
  rig_init (&rig);
  counter_t *sent =
      counter_get (rig.daemon.counters, "medlarplank_control_datagrams_sent_total", "");
  CU_ASSERT_EQUAL (counter_value (sent), 0);
  rig_publish_version (&rig.platform, 1);
  TICK_UNTIL (&rig, rig.received.version == 2);
  CU_ASSERT_EQUAL (counter_value (sent), 0);
  add_remote_hosts (&rig, 300);
  uint64_t before = counter_value (sent);
  rig_publish_version (&rig.platform, 2);
  TICK_UNTIL (&rig, rig.received.version == 3);
  CU_ASSERT_EQUAL (counter_value (sent), before + 4);
  add_local_hosts (&rig);
  before = counter_value (sent);
  rig_publish_version (&rig.platform, 3);
  rig.ctrl->manifest.poll.due_us = 0;
  TICK_UNTIL (&rig, rig.received.version == 4);
  CU_ASSERT_EQUAL (counter_value (sent), before);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    SUITE_TEST (test_start),
    SUITE_TEST (test_log_outage),
    SUITE_TEST (test_pause),
    SUITE_TEST (test_pause_detected_by_data_task),
    SUITE_TEST (test_pause_detected_by_both_tasks),
    SUITE_TEST (test_pause_while_platform_is_down),
    SUITE_TEST (test_peer_reports_leaving),
    SUITE_TEST (test_leave_by_list),
    SUITE_TEST (test_listed_leaving_at_start),
    SUITE_TEST (test_list_is_read_when_peer_announces_revision),
    SUITE_TEST (test_list_is_read_without_peers),
    SUITE_TEST (test_older_list_restores_no_host),
    SUITE_TEST (test_list_stays_behind_until_the_reported_revision),
    SUITE_TEST (test_unreached_revision_is_given_up),
    SUITE_TEST (test_host_listed_as_leaving_is_notified),
    SUITE_TEST (test_empty_list_is_ignored),
    SUITE_TEST (test_followers_announce_new_version),
    SUITE_TEST (test_checkpoint_is_appended_once),
    CU_TEST_INFO_NULL,
  };
  return suite_run ("control", tests);
}
