#include "connection/http_server.h"
#include "control_rig.h"
#include "suite.h"
#include "request/policy/digests/call_seal.h"
#include "request/policy/placement/rendezvous.h"

#include <string.h>

#define POOL_HASH rendezvous_hash_name ("pool")

static void
put_sample (rig_message_t *incoming, const char *engine, uint32_t load, uint32_t age_ms)
{
  xch_sample *sample = &incoming->samples[incoming->message.samples.samples_len++];
  sample->engine_hash = rendezvous_hash_name (engine);
  sample->service_hash = POOL_HASH;
  sample->load = load;
  sample->age_ms = age_ms;
}

static void
test_samples_and_marks_are_forwarded (void)
{
  g_auto (rig_t) rig = { 0 };
  rig_init (&rig);
  rig_message_t incoming;
  rig_compose (&incoming, "peer", 1);
  put_sample (&incoming, "third", 5, 400);
  put_sample (&incoming, "peer", 5, 1 + LIMIT_LOAD_SAMPLE_AGE_US / CLOCK_US_PER_MS);
  put_sample (&incoming, "own", 5, 0);
  put_sample (&incoming, "no such host", 5, 0);
  incoming.marks[0] = (xch_mark){ 99, { 3, 0 }, 1000 };
  incoming.message.marks.marks_len = 1;
  CU_ASSERT_TRUE (control_exchange_receive (&incoming.message, false, rig.ctrl));
  rig_run_pending (&rig);
  CU_ASSERT_EQUAL (rig.received.sample_count, 1);
  CU_ASSERT_EQUAL (rig.received.sample.load, 5);
  CU_ASSERT_EQUAL (rig.received.sample.taken_us,
                   clock_now_us (&rig.daemon.clock) - 400 * CLOCK_US_PER_MS);
  CU_ASSERT_EQUAL (rig.received.mark_count, 1);
  message_load_samples_t *own = message_new (MESSAGE_OWN_LOAD_SAMPLE);
  own->count = 1;
  own->samples[0] =
      (load_sample_t){ rig.ctrl->own_hash, POOL_HASH, 3, 0, 0, clock_now_us (&rig.daemon.clock) };
  rig_deliver (&rig, own);
  clock_advance (&rig.daemon.clock, CLOCK_US_PER_S);
  rig_message_t out;
  control_exchange_compose (rig_compose (&out, "x", 1), NULL, rig.ctrl);
  CU_ASSERT_EQUAL (out.message.samples.samples_len, 2);
  CU_ASSERT_EQUAL (out.samples[0].load, 3);
  CU_ASSERT_EQUAL (out.samples[0].age_ms, 1000);
  CU_ASSERT_EQUAL (out.samples[1].load, 5);
  CU_ASSERT_EQUAL (out.samples[1].age_ms, 1400);
  CU_ASSERT_EQUAL (out.message.marks.marks_len, 1);
  CU_ASSERT_EQUAL (out.marks[0].age_ms, 2000);
}

static void
publish_two_services (fake_platform_t *platform)
{
  json_t *patch = json_pack ("{s{s{s[ss]} s{ss s[s]}}}", "services", "pool", "engines", "own",
                             "third", "desk", "kind", "model", "engines", "peer");
  char *record = replay_format_publish ("two", 1, "ann", NULL, patch);
  json_decref (patch);
  fake_platform_append (platform, REPLAY_STREAM, record);
  g_free (record);
}

/* A sidecar uses samples of its own service only. Samples of other services would waste its
 * messages and make its estimate of the mean load less accurate. */
static void
test_samples_match_receiver_service (void)
{
  g_auto (rig_t) rig = { 0 };
  rig_message_t out;
  rig_init (&rig);
  publish_two_services (&rig.platform);
  TICK_UNTIL (&rig, rig.received.version == 2);
  const uint64_t hashes[] = { POOL_HASH, rendezvous_hash_name ("desk") };
  uint64_t now_us = clock_now_us (&rig.daemon.clock);
  for (uint32_t i = 0; i < 40; i++)
    {
      load_sample_t sample = { 100 + i, hashes[i % 2], 1, 0, 0, now_us };
      load_samples_add (control_exchange_find_samples (rig.ctrl, hashes[i % 2]), &sample);
    }
  rig.ctrl->talk.has_own_sample = true;
  rig.ctrl->talk.own_sample = (load_sample_t){ rig.ctrl->own_hash, POOL_HASH, 3, 0, 0, now_us };
  const char *peers[] = { "third", "peer" };
  for (uint32_t i = 0; i < 2; i++)
    {
      xch_word to = { .host_hash = rendezvous_hash_name (peers[i]) };
      control_exchange_compose (rig_compose (&out, "x", 1), &to, rig.ctrl);
      CU_ASSERT_EQUAL (out.message.samples.samples_len, XCH_SAMPLES);
      CU_ASSERT_EQUAL (out.samples[0].engine_hash, rig.ctrl->own_hash);
      for (uint32_t j = 1; j < out.message.samples.samples_len; j++)
        CU_ASSERT_EQUAL (out.samples[j].service_hash, hashes[i]);
    }
}

/* A daemon that starts in a large fleet learns of thousands of incarnations within minutes. They
 * must be sent to the data task in batches, but a leaving host at once. */
static void
test_incarnations_are_batched (void)
{
  g_auto (rig_t) rig = { 0 };
  rig_message_t incoming;
  rig_init (&rig);
  rig_ticks (&rig, 20);
  uint32_t before = rig.received.snapshot_count;
  for (uint32_t sequence = 1; sequence <= 2; sequence++)
    {
      rig_compose (&incoming, sequence == 1 ? "peer" : "third", sequence);
      control_exchange_receive (&incoming.message, false, rig.ctrl);
    }
  rig_run_pending (&rig);
  CU_ASSERT_EQUAL (rig.received.snapshot_count, before + 1);
  rig_ticks (&rig, 11);
  CU_ASSERT_EQUAL (rig.received.snapshot_count, before + 2);
  rig_compose (&incoming, "peer", 3)->sender.state = MEMBERSHIP_LEAVING;
  control_exchange_receive (&incoming.message, false, rig.ctrl);
  rig_run_pending (&rig);
  CU_ASSERT_EQUAL (rig.received.peer_state, MEMBERSHIP_LEAVING);
}

/*
 * When a data centre of a large fleet restarts, hundreds of hosts report it within a second. A
 * snapshot for each would take the control task's core and delay messages in the socket. The first
 * change must be sent at once and the others together within the limit; after a pause, all must be
 * sent before the data task is told that it is fresh.
 */
static void
test_many_changes_are_batched (void)
{
  struct event_base *base = event_base_new ();
  rig_t rig;
  rig_message_t incoming;
  rig_set_up (&rig, base, "own", RIG_PORT);
  rig_add_hosts (&rig.platform);
  for (uint32_t i = 3; i < FAKE_PLATFORM_HOSTS_MAX; i++)
    {
      char name[16];
      g_snprintf (name, sizeof name, "h%u", i);
      fake_platform_set_host (&rig.platform, name, false, rig_loopback_ip (),
                              (uint16_t)(RIG_PORT + i), MEMBERSHIP_LIVE);
    }
  rig_publish_version (&rig.platform, 0);
  rig_start (&rig);
  TICK_UNTIL (&rig, rig.received.fresh);
  rig_ticks (&rig, 10);
  uint32_t before = rig.received.snapshot_count;
  for (uint32_t i = 3; i < 303; i++)
    {
      char name[16];
      g_snprintf (name, sizeof name, "h%u", i);
      rig_compose (&incoming, name, 1)->sender.state = MEMBERSHIP_LEAVING;
      control_exchange_receive (&incoming.message, false, rig.ctrl);
    }
  rig_run_pending (&rig);
  CU_ASSERT_EQUAL (rig.received.snapshot_count, before + 1);
  rig_compose (&incoming, "peer", 1)->sender.state = MEMBERSHIP_LEAVING;
  control_exchange_receive (&incoming.message, false, rig.ctrl);
  rig_ticks (&rig, 3);
  CU_ASSERT_EQUAL (rig.received.snapshot_count, before + 2);
  CU_ASSERT_EQUAL (rig.received.peer_state, MEMBERSHIP_LEAVING);
  rig.platform.read_stuck = true;
  clock_advance (&rig.daemon.clock, RIG_PAUSE_US);
  fake_platform_set_host (&rig.platform, "h303", false, rig_loopback_ip (), RIG_PORT + 303,
                          MEMBERSHIP_LEAVING);
  control_tick (rig.ctrl);
  rig_run_pending (&rig);
  CU_ASSERT_EQUAL (rig.received.snapshot_count, before + 3);
  rig_compose (&incoming, "third", 1)->sender.state = MEMBERSHIP_LEAVING;
  control_exchange_receive (&incoming.message, false, rig.ctrl);
  rig.platform.read_stuck = false;
  rig_run_pending (&rig);
  CU_ASSERT_TRUE (rig.received.fresh);
  CU_ASSERT_EQUAL (rig.received.snapshot_count, before + 4);
  rig_tear_down (&rig);
  event_base_free (base);
}

/* With periodic messages alone a report that a host leaves takes a second for each tenfold of the
 * fleet, and meanwhile routers lose requests to that host. Whoever receives it first must call
 * others at once, but old news or a used-up budget must cause no more traffic. */
static void
test_news_is_sent_at_once (void)
{
  g_auto (rig_t) rig = { 0 };
  rig_message_t incoming;
  rig_init (&rig);
  fake_platform_set_host (&rig.platform, "fourth", false, rig_loopback_ip (), RIG_PORT + 3,
                          MEMBERSHIP_LIVE);
  rig_ticks (&rig, 20);
  counter_t *sent =
      counter_get (rig.daemon.counters, "medlarplank_control_datagrams_sent_total", "");
  uint64_t before = counter_value (sent);
  control_exchange_receive (rig_compose (&incoming, "peer", 1), false, rig.ctrl);
  CU_ASSERT_EQUAL (counter_value (sent), before);
  rig_compose (&incoming, "peer", 2)->sender.state = MEMBERSHIP_LEAVING;
  control_exchange_receive (&incoming.message, false, rig.ctrl);
  CU_ASSERT_TRUE (counter_value (sent) > before);
  before = counter_value (sent);
  rig_compose (&incoming, "peer", 3)->sender.state = MEMBERSHIP_LEAVING;
  control_exchange_receive (&incoming.message, false, rig.ctrl);
  CU_ASSERT_EQUAL (counter_value (sent), before);
  exchange_charge_budget (rig.ctrl->exchange, rig.daemon.settings.control_budget_bytes / 2);
  rig_compose (&incoming, "third", 1)->sender.state = MEMBERSHIP_LEAVING;
  control_exchange_receive (&incoming.message, false, rig.ctrl);
  CU_ASSERT_EQUAL (counter_value (sent), before);
}

/* A process with this host's name and a higher incarnation exists: the clock went back, or two
 * processes run at once. Peers ignore this one, which must show in the log and the counters. */
static void
test_name_conflict_is_reported (void)
{
  g_auto (rig_t) rig = { 0 };
  rig_message_t incoming;
  rig_init (&rig);
  rig_compose (&incoming, "peer", 1);
  incoming.words[0] = (xch_word){ rig.ctrl->own_hash, 51, 1, MEMBERSHIP_LEAVING };
  incoming.message.words.words_len = 1;
  control_exchange_receive (&incoming.message, true, rig.ctrl);
  rig_run_pending (&rig);
  counter_t *conflicts =
      counter_get (rig.daemon.counters, "medlarplank_incarnation_conflicts_total", "");
  CU_ASSERT_EQUAL (counter_value (conflicts), 1);
  CU_ASSERT_EQUAL (rig.received.drain_count, 0);
}

/* Even with the smallest budget a message must contain the sample of the own engine, and messages
 * must not be so large that the budget holds back periodic ones. */
static void
test_samples_stay_within_budget (void)
{
  struct event_base *base = event_base_new ();
  const uint32_t budgets[] = { 500, 2000, 7000 };
  const uint32_t wanted[] = { 1, 5, 8 };
  for (uint32_t i = 0; i < G_N_ELEMENTS (budgets); i++)
    {
      rig_t rig;
      rig_start_fresh (&rig, base);
      rig.daemon.settings.control_budget_bytes = budgets[i];
      rig.daemon.settings.exchange_interval_ms = 500;
      load_samples_t *table =
          g_hash_table_lookup (rig.ctrl->talk.samples, &(uint64_t){ POOL_HASH });
      CU_ASSERT_PTR_NOT_NULL_FATAL (table);
      for (uint32_t engine = 1; engine <= 20; engine++)
        {
          load_sample_t sample = { engine, POOL_HASH, 1, 0, 0, clock_now_us (&rig.daemon.clock) };
          load_samples_add (table, &sample);
        }
      rig.ctrl->talk.has_own_sample = true;
      rig.ctrl->talk.own_sample = table->samples[0];
      rig_message_t out;
      control_exchange_compose (rig_compose (&out, "x", 1), NULL, rig.ctrl);
      CU_ASSERT_EQUAL (out.message.samples.samples_len, wanted[i]);
      rig_tear_down (&rig);
    }
  event_base_free (base);
}

/* A recorded datagram is sent again: its samples would look new, and its state report could undo a
 * later one. It must be ignored and not answered, like any message of a host that isn't listed. */
static void
test_replayed_message_is_ignored (void)
{
  g_auto (rig_t) rig = { 0 };
  rig_init (&rig);
  rig_message_t incoming;
  rig_compose (&incoming, "peer", 5);
  put_sample (&incoming, "peer", 5, 0);
  CU_ASSERT_TRUE (control_exchange_receive (&incoming.message, false, rig.ctrl));
  CU_ASSERT_FALSE (control_exchange_receive (&incoming.message, false, rig.ctrl));
  incoming.message.sender.sequence = 4;
  CU_ASSERT_FALSE (control_exchange_receive (&incoming.message, false, rig.ctrl));
  rig_compose (&incoming, "stranger", 1);
  CU_ASSERT_FALSE (control_exchange_receive (&incoming.message, false, rig.ctrl));
  rig_compose (&incoming, "peer", 6)->sender.state = 77;
  CU_ASSERT_FALSE (control_exchange_receive (&incoming.message, false, rig.ctrl));
  rig_run_pending (&rig);
  CU_ASSERT_EQUAL (rig.received.sample_count, 1);
}

static void
test_state_reports_spread (void)
{
  g_auto (rig_t) rig = { 0 };
  rig_init (&rig);
  rig_message_t incoming;
  rig_compose (&incoming, "third", 1);
  incoming.words[0] = (xch_word){ rendezvous_hash_name ("peer"), 7, 3, MEMBERSHIP_LEAVING };
  incoming.message.words.words_len = 1;
  counter_t *sent =
      counter_get (rig.daemon.counters, "medlarplank_control_datagrams_sent_total", "");
  uint64_t before = counter_value (sent);
  control_exchange_receive (&incoming.message, false, rig.ctrl);
  rig_run_pending (&rig);
  CU_ASSERT_EQUAL (rig.received.peer_state, MEMBERSHIP_LEAVING);
  /* The calls made at once count towards the number of sends. */
  uint64_t sent_count = counter_value (sent) - before;
  CU_ASSERT_TRUE (sent_count > 0);
  for (uint32_t i = 0; i < 3 * GOSSIP_SENDS; i++)
    {
      rig_message_t out;
      control_exchange_compose (rig_compose (&out, "x", 1), NULL, rig.ctrl);
      for (uint32_t j = 0; j < out.message.words.words_len; j++)
        sent_count += out.words[j].host_hash == rendezvous_hash_name ("peer");
    }
  CU_ASSERT_EQUAL (sent_count, GOSSIP_SENDS);
  /* That "third" is live is news to this daemon only; a restart of it is news to all. */
  rig_message_t out;
  control_exchange_compose (rig_compose (&out, "x", 1), NULL, rig.ctrl);
  CU_ASSERT_EQUAL (out.message.words.words_len, 0);
  rig_compose (&incoming, "third", 1)->sender.incarnation = 8;
  control_exchange_receive (&incoming.message, false, rig.ctrl);
  control_exchange_compose (rig_compose (&out, "x", 1), NULL, rig.ctrl);
  CU_ASSERT_EQUAL (out.message.words.words_len, 1);
}

/* A host that reads an outdated copy of the list accepts new work although it is listed as leaving.
 * It must be notified also when its peers receive its first message after the list has turned. */
static void
test_host_first_seen_after_list_is_notified (void)
{
  g_auto (rig_t) rig = { 0 };
  rig_message_t incoming, out;
  uint64_t hash = rendezvous_hash_name ("peer");
  rig_init (&rig);
  fake_platform_set_host (&rig.platform, "peer", false, rig_loopback_ip (), RIG_PORT + 1,
                          MEMBERSHIP_LEAVING);
  TICK_UNTIL (&rig, rig.received.peer_state == MEMBERSHIP_LEAVING);
  rig_compose (&incoming, "peer", 1);
  CU_ASSERT_TRUE (control_exchange_receive (&incoming.message, false, rig.ctrl));
  control_exchange_compose (rig_compose (&out, "x", 1), &incoming.message.sender, rig.ctrl);
  CU_ASSERT_EQUAL_FATAL (out.message.words.words_len, 1);
  CU_ASSERT_EQUAL (out.words[0].host_hash, hash);
  CU_ASSERT_EQUAL (out.words[0].state, MEMBERSHIP_LEAVING);
  CU_ASSERT_EQUAL (out.message.list_revision, rig.platform.revision);
  rig.ctrl->talk.callee_hash = hash;
  control_exchange_compose (rig_compose (&out, "x", 1), NULL, rig.ctrl);
  CU_ASSERT_EQUAL_FATAL (out.message.words.words_len, 1);
  CU_ASSERT_EQUAL (out.words[0].host_hash, hash);
}

/* A peer's list that is no newer than the own one may refer to the previous process on this host,
 * and must not stop a process that has just started. */
static void
test_own_leaving_needs_newer_list (void)
{
  g_auto (rig_t) rig = { 0 };
  rig_message_t incoming;
  rig_init (&rig);
  for (uint32_t newer = 0; newer < 2; newer++)
    {
      rig_compose (&incoming, "peer", 1 + newer)->list_revision = rig.platform.revision + newer;
      incoming.words[0] =
          (xch_word){ rig.ctrl->own_hash, CONTROL_ANY_INCARNATION, 0, MEMBERSHIP_LEAVING };
      incoming.message.words.words_len = 1;
      CU_ASSERT_TRUE (control_exchange_receive (&incoming.message, false, rig.ctrl));
      rig_run_pending (&rig);
      CU_ASSERT_EQUAL (rig.received.drain_count, newer);
    }
}

/** struct version_server - a peer's data task, which serves the manifest in force there */
typedef struct
{
  http_server_t *http_server;
  counter_registry_t *counters;
  manifest_t *manifest;
  const char *fleet_key;
  uint32_t served;
} version_server_t;

static void
on_version_call (http_server_call_t *call, void *context)
{
  version_server_t *server = context;
  sealed_call_t order = { "peer", http_server_method (call), http_server_target (call), NULL, 0 };
  CU_ASSERT_STRING_EQUAL (http_server_path (call), MANIFEST_SYNC_PATH);
  CU_ASSERT_TRUE (
      call_seal_verify (&order, RIG_KEY, http_server_request_header (call, CALL_SEAL_HEADER)));
  char seal[ANSWER_SEAL_BYTES];
  char *body = manifest_sync_format (server->fleet_key,
                                     http_server_request_header (call, ANSWER_SEAL_NONCE_HEADER),
                                     server->manifest, (position_t){ .offset = 9 }, seal);
  http_server_add_header (call, ANSWER_SEAL_HEADER, seal);
  http_server_reply (call, 200, body, strlen (body));
  g_free (body);
  server->served++;
}

static void
start_version_server (version_server_t *server,
                      struct event_base *base,
                      const rig_t *rig,
                      uint64_t version)
{
  http_server_options_t options = {
    .base = base,
    .listen = { "", RIG_PORT + 1 },
    .body_limit_bytes = 1024,
    .header_limit_bytes = 8192,
    .header_limit_count = 50,
    .connection_limit = 10,
    .idle_timeout_ms = 10000,
    .on_call = on_version_call,
    .context = server,
  };
  g_strlcpy (options.listen.ip, rig_loopback_ip (), sizeof options.listen.ip);
  memset (server, 0, sizeof *server);
  server->fleet_key = RIG_KEY;
  server->counters = counter_registry_new ();
  options.counters = server->counters;
  server->manifest = manifest_from_json (replay_manifest (rig->ctrl->manifest.replay)->json, NULL);
  server->manifest->version = version;
  server->http_server = http_server_new (&options, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (server->http_server);
}

static void
stop_version_server (version_server_t *server)
{
  http_server_free (server->http_server);
  counter_registry_free (server->counters);
  manifest_unref (server->manifest);
}

/* The log goes down right after a version was published that one daemon has read and this one has
 * not. It must learn of it in the exchange and fetch it from that daemon. An answer that isn't
 * sealed with the fleet key must be refused, as it may come from anybody. */
static void
test_version_is_fetched_from_peer (void)
{
  g_auto (rig_t) rig = { 0 };
  version_server_t server;
  rig_init (&rig);
  start_version_server (&server, rig.base, &rig, 2);
  server.fleet_key = "another key of enough bytes";
  rig.platform.read_down = true;
  rig_ticks (&rig, 3);
  rig_message_t incoming;
  rig_compose (&incoming, "peer", 1)->manifest_version = 2;
  control_exchange_receive (&incoming.message, false, rig.ctrl);
  gint64 end_us = g_get_monotonic_time () + RIG_DEADLINE_S * G_USEC_PER_SEC;
  while (server.served == 0 && g_get_monotonic_time () < end_us)
    rig_tick (&rig);
  while (rig.ctrl->fetch.call != NULL && g_get_monotonic_time () < end_us)
    event_base_loop (rig.base, EVLOOP_ONCE);
  CU_ASSERT_EQUAL (server.served, 1);
  CU_ASSERT_EQUAL (rig.received.version, 1);
  server.fleet_key = RIG_KEY;
  while (rig.received.version != 2 && g_get_monotonic_time () < end_us)
    rig_tick (&rig);
  CU_ASSERT_EQUAL (rig.received.version, 2);
  CU_ASSERT (position_equal (replay_next (rig.ctrl->manifest.replay), (position_t){ .offset = 9 }));
  stop_version_server (&server);
}

/* Guards against a version that is not in force because one that is still newer was reported by a
 * peer that was then killed, while the log is down: other peers have the former one. */
static void
test_killed_peer_hides_no_version_of_others (void)
{
  g_auto (rig_t) rig = { 0 };
  version_server_t server;
  rig_message_t incoming;
  uint32_t sequence = 1;
  rig_init (&rig);
  start_version_server (&server, rig.base, &rig, 2);
  rig.platform.read_down = true;
  rig_ticks (&rig, 3);
  rig_compose (&incoming, "third", 1)->manifest_version = 3;
  control_exchange_receive (&incoming.message, false, rig.ctrl);
  gint64 end_us = g_get_monotonic_time () + RIG_DEADLINE_S * G_USEC_PER_SEC;
  while (rig.received.version != 2 && sequence < 2000 && g_get_monotonic_time () < end_us)
    {
      rig_compose (&incoming, "peer", sequence++)->manifest_version = 2;
      control_exchange_receive (&incoming.message, false, rig.ctrl);
      rig_tick (&rig);
      while (rig.ctrl->fetch.call != NULL && g_get_monotonic_time () < end_us)
        event_base_loop (rig.base, EVLOOP_ONCE);
    }
  CU_ASSERT_EQUAL (rig.received.version, 2);
  stop_version_server (&server);
}

/* A read of the log hangs and has not timed out yet when a peer announces a new version. The daemon
 * must fetch it without waiting for the read to fail. */
static void
test_stuck_log_does_not_delay_version (void)
{
  g_auto (rig_t) rig = { 0 };
  version_server_t server;
  rig_message_t incoming;
  rig_init (&rig);
  start_version_server (&server, rig.base, &rig, 2);
  rig.platform.read_stuck = true;
  rig_compose (&incoming, "peer", 1)->manifest_version = 2;
  control_exchange_receive (&incoming.message, false, rig.ctrl);
  rig_ticks (&rig, 14);
  CU_ASSERT_PTR_NULL (rig.ctrl->fetch.call);
  gint64 end_us = g_get_monotonic_time () + RIG_DEADLINE_S * G_USEC_PER_SEC;
  while (rig.received.version != 2 && g_get_monotonic_time () < end_us)
    rig_tick (&rig);
  CU_ASSERT_EQUAL (rig.received.version, 2);
  stop_version_server (&server);
}

/*
 * A region can reach the log again after an outage in which a version was published. Its daemons
 * learn of it from peers long before their back-off ends. Fetching the whole manifest from peers
 * would cost 258 KB for each daemon, while the log has a patch, so the log must be read once, not
 * at each message.
 */
static void
test_log_is_read_when_peer_is_ahead (void)
{
  g_auto (rig_t) rig = { 0 };
  rig_message_t incoming;
  rig_init (&rig);
  rig.platform.read_down = true;
  rig_ticks (&rig, 300);
  uint32_t reads = rig.platform.reads;
  rig.ctrl->manifest.poll.due_us = clock_now_us (&rig.daemon.clock) + CONTROL_BACKOFF_MAX_US;
  for (uint32_t i = 1; i <= 4; i++)
    {
      rig_compose (&incoming, "peer", i)->manifest_version = 2;
      control_exchange_receive (&incoming.message, false, rig.ctrl);
      rig_tick (&rig);
    }
  CU_ASSERT_EQUAL (rig.platform.reads, reads + 1);
  rig.ctrl->manifest.behind_since_us = 0;
  rig.platform.read_down = false;
  rig_publish_version (&rig.platform, 1);
  rig_compose (&incoming, "peer", 9)->manifest_version = 2;
  control_exchange_receive (&incoming.message, false, rig.ctrl);
  rig_tick (&rig);
  CU_ASSERT_EQUAL (rig.received.version, 2);
  CU_ASSERT_PTR_NULL (rig.ctrl->fetch.call);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    SUITE_TEST (test_samples_and_marks_are_forwarded),
    SUITE_TEST (test_samples_match_receiver_service),
    SUITE_TEST (test_incarnations_are_batched),
    SUITE_TEST (test_many_changes_are_batched),
    SUITE_TEST (test_news_is_sent_at_once),
    SUITE_TEST (test_name_conflict_is_reported),
    SUITE_TEST (test_samples_stay_within_budget),
    SUITE_TEST (test_replayed_message_is_ignored),
    SUITE_TEST (test_state_reports_spread),
    SUITE_TEST (test_host_first_seen_after_list_is_notified),
    SUITE_TEST (test_own_leaving_needs_newer_list),
    SUITE_TEST (test_version_is_fetched_from_peer),
    SUITE_TEST (test_killed_peer_hides_no_version_of_others),
    SUITE_TEST (test_stuck_log_does_not_delay_version),
    SUITE_TEST (test_log_is_read_when_peer_is_ahead),
    CU_TEST_INFO_NULL,
  };
  return suite_run ("control_exchange", tests);
}
