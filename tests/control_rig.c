#include "control_rig.h"

#include "request/policy/placement/rendezvous.h"

#include <string.h>
#include <unistd.h>

#define KEY_DIGEST "08a6bd4bf2a6c5b8e6b2a0a8f7a4a7b7fb0ee6d29a4a7fcc1c6e0b7b1a2f3c4d"
#define TICK_US (PAUSE_CHECK_INTERVAL_MS * CLOCK_US_PER_MS)

static void
record_members (rig_received_t *received, const membership_snapshot_t *members)
{
  received->snapshot_count++;
  received->host_count = members->host_count;
  const membership_host_t *peer = membership_find (members, "peer");
  received->peer_state = peer != NULL ? peer->state : MEMBERSHIP_GONE;
}

static void
record_freshness (rig_received_t *received, const message_flag_t *flag)
{
  received->fresh = flag->on;
  received->fresh_at_us = flag->at_us;
  received->fresh_count += flag->on;
  received->stale_count += !flag->on;
}

static void
on_message (mailbox_message_t *message, void *context)
{
  rig_received_t *received = &((rig_t *)context)->received;
  switch (message->kind)
    {
    case MESSAGE_VERSION:
      received->version = ((message_version_t *)message)->manifest->version;
      received->version_count++;
      break;
    case MESSAGE_MEMBERS:
      record_members (received, ((message_members_t *)message)->members);
      break;
    case MESSAGE_FRESHNESS:
      record_freshness (received, (message_flag_t *)message);
      break;
    case MESSAGE_DRAIN:
      received->drain_count++;
      break;
    case MESSAGE_LOAD_SAMPLES:
      received->sample_count += ((message_load_samples_t *)message)->count;
      received->sample = ((message_load_samples_t *)message)->samples[0];
      break;
    case MESSAGE_CRASH_MARKS:
      received->mark_count += ((message_crash_marks_t *)message)->count;
      break;
    case MESSAGE_CLAIM_RESULT:
      received->claim_result_count++;
      received->claim_result = ((message_claim_result_t *)message)->result;
      break;
    default:
      CU_FAIL ("a message that is not for the data task");
    }
}

static void
ignore (mailbox_message_t *message, void *context)
{
  (void)message;
  (void)context;
}

static char *
publish (const char *id, uint64_t base, int slots)
{
  json_t *manifest = json_pack (
      "{s{s{ss}} s{s{}} s{s{ss s[sss] si}} s[{ss ss ss}]}", "client_accounts", "east", "key_sha256",
      KEY_DIGEST, "classes", "short", "services", "pool", "kind", "model", "engines", "own", "peer",
      "third", "slots", slots, "routes", "path", "/a", "service", "pool", "class", "short");
  char *record = replay_format_publish (id, base, "ann", manifest, NULL);
  json_decref (manifest);
  return record;
}

void
rig_publish_version (fake_platform_t *platform, uint64_t base)
{
  char id[16];
  g_snprintf (id, sizeof id, "id-%u", (unsigned)base);
  char *record = publish (id, base, (int)base + 1);
  fake_platform_append (platform, REPLAY_STREAM, record);
  g_free (record);
}

const char *
rig_loopback_ip (void)
{
  static char ip[46];
  unsigned pid = (unsigned)getpid ();
  g_snprintf (ip, sizeof ip, "127.%u.%u.1", ((pid >> 8) & 0x7f) + 1, pid & 0xff);
  return ip;
}

void
rig_set_up (rig_t *rig, struct event_base *base, const char *name, uint16_t port)
{
  memset (rig, 0, sizeof *rig);
  rig->base = base;
  fake_platform_init (&rig->platform);
  settings_t *settings = &rig->daemon.settings;
  settings->role = SETTINGS_ROLE_SIDECAR;
  g_strlcpy (settings->name, name, sizeof settings->name);
  g_strlcpy (settings->data_center, "hall", sizeof settings->data_center);
  g_strlcpy (settings->region, "town", sizeof settings->region);
  g_strlcpy (settings->fleet_key, RIG_KEY, sizeof settings->fleet_key);
  g_strlcpy (settings->exchange.ip, rig_loopback_ip (), sizeof settings->exchange.ip);
  settings->exchange.port = port;
  settings->exchange_interval_ms = 10000;
  settings->list_interval_ms = 1000;
  settings->control_budget_bytes = 100000;
  settings->claim_horizon_s = 86400;
  settings->log_retention_s = 604800;
  clock_init_paused (&rig->daemon.clock, 100 * (uint64_t)CLOCK_US_PER_S);
  rig->daemon.incarnation = 50;
  rig->daemon.counters = counter_registry_new ();
  rig->daemon.to_data = mailbox_new (rig->base, on_message, rig);
  rig->daemon.to_control = mailbox_new (rig->base, ignore, NULL);
}

void
rig_start (rig_t *rig)
{
  rig->ctrl = control_new_with_platform (&rig->daemon, rig->base, &rig->platform.platform, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (rig->ctrl);
}

void
rig_tear_down (rig_t *rig)
{
  control_free (rig->ctrl);
  CU_ASSERT_TRUE (rig->platform.freed);
  mailbox_free (rig->daemon.to_data);
  mailbox_free (rig->daemon.to_control);
  counter_registry_free (rig->daemon.counters);
  fake_platform_clear (&rig->platform);
}

void
rig_run_pending (rig_t *rig)
{
  for (uint32_t i = 0; i < 20; i++)
    {
      uint32_t answered = fake_platform_answer_calls (&rig->platform);
      event_base_loop (rig->base, EVLOOP_NONBLOCK);
      if (answered == 0)
        break;
    }
}

void
rig_tick (rig_t *rig)
{
  clock_advance (&rig->daemon.clock, TICK_US);
  rig->platform.now_ms += PAUSE_CHECK_INTERVAL_MS;
  control_tick (rig->ctrl);
  rig_run_pending (rig);
}

void
rig_ticks (rig_t *rig, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    rig_tick (rig);
}

void
rig_add_hosts (fake_platform_t *platform)
{
  fake_platform_set_host (platform, "own", false, rig_loopback_ip (), RIG_PORT, MEMBERSHIP_LIVE);
  fake_platform_set_host (platform, "peer", false, rig_loopback_ip (), RIG_PORT + 1,
                          MEMBERSHIP_LIVE);
  fake_platform_set_host (platform, "third", false, rig_loopback_ip (), RIG_PORT + 2,
                          MEMBERSHIP_LIVE);
}

void
rig_start_fresh (rig_t *rig, struct event_base *base)
{
  rig_set_up (rig, base, "own", RIG_PORT);
  rig_add_hosts (&rig->platform);
  rig_publish_version (&rig->platform, 0);
  rig_start (rig);
  TICK_UNTIL (rig, rig->received.fresh);
}

void
rig_init (rig_t *rig)
{
  rig_start_fresh (rig, event_base_new ());
  rig->owns_base = true;
}

void
rig_clear (rig_t *rig)
{
  struct event_base *base = rig->owns_base ? rig->base : NULL;

  rig_tear_down (rig);
  if (base != NULL)
    event_base_free (base);
}

void
rig_deliver (rig_t *rig, void *message)
{
  mailbox_message_t *head = message;
  control_handle_message (head, rig->ctrl);
  head->free (head);
  rig_run_pending (rig);
}

void
rig_send_flag (rig_t *rig, message_kind_t kind)
{
  message_flag_t *flag = message_new (kind);
  flag->on = true;
  rig_deliver (rig, flag);
}

xch_message *
rig_compose (rig_message_t *incoming, const char *name, uint32_t sequence)
{
  memset (incoming, 0, sizeof *incoming);
  incoming->message.sender.host_hash = rendezvous_hash_name (name);
  incoming->message.sender.incarnation = 7;
  incoming->message.sender.sequence = sequence;
  incoming->message.samples.samples_val = incoming->samples;
  incoming->message.words.words_val = incoming->words;
  incoming->message.marks.marks_val = incoming->marks;
  return &incoming->message;
}
