/* Unit tests of the orders in which a gateway gets messages and copies of its peers and responses
 * of the store, some of them incomplete or from peers that are killed. No sockets; the clock is
 * paused. */
#include "base/log.h"
#include "connection/exchange.h"
#include "process/gateway_fetch.h"
#include "process/gateway_peers.h"
#include "process/gateway_process.h"
#include "process/gateway_store.h"
#include "reference_store.h"
#include "request/policy/engines/lapses.h"
#include "request/policy/store/read_policy.h"
#include "suite.h"
#include "version/view_share.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define START_US (UINT64_C (100) * CLOCK_US_PER_S)
#define RANDOM_SEEDS 200u

/* The fakes of connection/exchange.h and process/gateway_fetch.h take the place of the library's.
 */

#define PEERS 21
#define KILLED 15 /* of them, from the first on */
#define SURVIVOR (PEERS - 1)
#define PEER_PORT 1000 /* of the first peer */
#define OWN_PORT 999

struct exchange
{
  exchange_options_t options;
};

/** struct gateway_fetch - @peer: who is being asked; its port is 0 for nobody */
struct gateway_fetch
{
  gateway_fetch_options_t options;
  address_t peer;
  uint64_t from[GATEWAY_FETCH_STREAMS_MAX];
};

static exchange_t *own_exchange;
static gateway_fetch_t *own_fetch;

exchange_t *
exchange_new (const exchange_options_t *options, GError **error)
{
  (void)error;
  own_exchange = g_new0 (exchange_t, 1);
  own_exchange->options = *options;
  return own_exchange;
}

void
exchange_free (exchange_t *exchange)
{
  g_free (exchange);
}

void
exchange_send_now (exchange_t *exchange, const address_t *peer)
{
  (void)exchange;
  (void)peer;
}

void
exchange_discard_pending (exchange_t *exchange)
{
  (void)exchange;
}

void
exchange_poll (exchange_t *exchange)
{
  (void)exchange;
}

uint64_t
exchange_waited_us (const exchange_t *exchange)
{
  (void)exchange;
  return 0;
}

void
exchange_charge_budget (exchange_t *exchange, uint32_t bytes)
{
  (void)exchange;
  (void)bytes;
}

bool
exchange_send_origins (exchange_t *exchange,
                       const address_t *peer,
                       bool is_urgent,
                       xch_origins_message *message)
{
  (void)exchange;
  (void)peer;
  (void)is_urgent;
  (void)message;
  return true;
}

bool
exchange_send_parts (exchange_t *exchange, const address_t *peer, xch_parts_message *message)
{
  (void)exchange;
  (void)peer;
  (void)message;
  return true;
}

bool
exchange_has_spare_budget (exchange_t *exchange)
{
  (void)exchange;
  return true;
}

address_t
exchange_address (const exchange_t *exchange)
{
  return exchange->options.listen;
}

gateway_fetch_t *
gateway_fetch_new (const gateway_fetch_options_t *options)
{
  own_fetch = g_new0 (gateway_fetch_t, 1);
  own_fetch->options = *options;
  return own_fetch;
}

void
gateway_fetch_free (gateway_fetch_t *fetch)
{
  g_free (fetch);
}

bool
gateway_fetch_is_busy (const gateway_fetch_t *fetch)
{
  return fetch->peer.port != 0;
}

void
gateway_fetch_newer (gateway_fetch_t *fetch,
                     const address_t *peer,
                     const view_share_stream_t *streams,
                     uint32_t count,
                     bool any_size)
{
  (void)any_size;
  fetch->peer = *peer;
  for (uint32_t i = 0; i < count; i++)
    fetch->from[i] = streams[i].next.offset;
}

void
gateway_fetch_all (gateway_fetch_t *fetch,
                   const address_t *peer,
                   const view_share_stream_t *streams,
                   uint32_t count,
                   bool any_size)
{
  (void)any_size;
  gateway_fetch_newer (fetch, peer, streams, count, true);
}

bool
gateway_fetch_handle_request (gateway_fetch_t *fetch,
                              http_server_call_t *call,
                              const view_share_stream_t *streams,
                              uint32_t count,
                              const gateway_fetch_responder_t *state)
{
  (void)fetch;
  (void)call;
  (void)streams;
  (void)count;
  (void)state;
  return false;
}

enum
{
  ROUTING,
  ENGINES,
  ROUTERS,
  STREAMS
};

static const char *const stream_names[STREAMS] = { PLATFORM_STREAM_ROUTING, PLATFORM_STREAM_ENGINES,
                                                   PLATFORM_STREAM_ROUTERS };

/* A position in a stream that never came back from a copy. */
static position_t
at (uint64_t offset)
{
  return (position_t){ .offset = offset };
}

#define DRAIN_MS 3000
#define STEP_MS 50
#define INTERVAL_MS 500 /* of the exchange */

/**
 * struct gateway - a gateway that ranks after all its peers, so that it follows no stream;
 * @platform is first for the cast
 * @store: the records of the platform's streams
 * @calls: pending calls to the platform
 * @names: of the peers
 * @sequence: of the last message of any peer
 * @killed: peers that send nothing any more
 * @next: next offsets that the peers report
 * @store_us: when the store last answered each peer
 * @peers_listed: peers have listed the store, and send their whole copy
 * @store_waits: the store's responses are late
 * @lists_fail: the store does not answer lists
 * @reads_fail: the store does not answer reads
 * @removed_us: when e1 was removed at the store, before that the start of the test
 * @overstated: steps after which the gateway reported its copy as current at a time at which the
 *   store had a record that it lacks
 */
typedef struct
{
  platform_t platform;
  GPtrArray *store[STREAMS];
  reference_call_t calls[STREAMS];
  struct event_base *base;
  clock_source_t clock;
  counter_registry_t *counters;
  settings_t settings;
  gateway_store_t *gateway_store;
  engines_t *engines;
  lapses_t *lapses;
  crash_record_t *crashes;
  char names[PEERS][16];
  uint32_t sequence;
  bool killed[PEERS];
  uint64_t next[PEERS][STREAMS];
  uint64_t store_us[PEERS];
  bool peers_listed;
  bool store_waits;
  bool lists_fail;
  bool reads_fail;
  uint64_t removed_us;
  uint32_t overstated;
} gateway_t;

static void
gateway_put (gateway_t *gateway, uint32_t stream, const char *key, const char *value)
{
  GPtrArray *records = gateway->store[stream];

  reference_put (records, key, value);
  ((reference_item_t *)g_ptr_array_index (records, records->len - 1))->at_us =
      clock_now_us (&gateway->clock);
}

static uint32_t
stream_index (const char *name)
{
  for (uint32_t i = 0; i < STREAMS; i++)
    if (strcmp (stream_names[i], name) == 0)
      return i;
  g_assert_not_reached ();
}

static void
on_gateway_read (platform_t *platform,
                 const char *stream,
                 uint64_t from_offset,
                 uint32_t max_records,
                 uint32_t wait_ms,
                 platform_read_done_t done,
                 void *context)
{
  gateway_t *gateway = (gateway_t *)platform;

  (void)wait_ms;
  gateway->calls[stream_index (stream)] = (reference_call_t){
    .from = from_offset, .max = max_records, .read_done = done, .context = context
  };
}

static void
on_gateway_newest (platform_t *platform,
                   const char *stream,
                   const char *after_key,
                   platform_newest_done_t done,
                   void *context)
{
  gateway_t *gateway = (gateway_t *)platform;

  (void)after_key;
  gateway->calls[stream_index (stream)] =
      (reference_call_t){ .newest_done = done, .context = context };
}

static void
on_gateway_free (platform_t *platform)
{
  (void)platform;
}

static uint64_t
get_version (void *context)
{
  (void)context;
  return 1;
}

static void
ignore_routing (const char *text, size_t text_bytes, position_t position, void *context)
{
  (void)text;
  (void)text_bytes;
  (void)position;
  (void)context;
}

static void
ignore_drain (const char *data_center, bool drained, position_t position, void *context)
{
  (void)data_center;
  (void)drained;
  (void)position;
  (void)context;
}

/* As gateway_process.c does. */
static void
on_gateway_engine (const char *id,
                   const char *text,
                   size_t text_bytes,
                   position_t position,
                   bool may_have_lapsed,
                   void *context)
{
  gateway_t *gateway = context;
  uint64_t now_us = clock_now_us (&gateway->clock);

  (void)position;
  if (!text && may_have_lapsed)
    {
      lapses_add (gateway->lapses, id,
                  now_us + (uint64_t)GATEWAY_PROCESS_EXPIRED_ENGINE_MS * CLOCK_US_PER_MS);
      engines_note_expired (gateway->engines, id);
      return;
    }
  lapses_remove (gateway->lapses, id);
  reference_apply_entry (gateway->engines, now_us, id, text, text_bytes);
}

static void
ignore_status (void *context)
{
  (void)context;
}

static void
answer_store (gateway_t *gateway)
{
  for (uint32_t i = 0; i < STREAMS; i++)
    {
      reference_call_t call = gateway->calls[i];

      if (!call.read_done && !call.newest_done)
        continue;
      gateway->calls[i] = (reference_call_t){ 0 };
      if (call.newest_done && gateway->lists_fail)
        call.newest_done (&(platform_newest_t){ .outcome = PLATFORM_UNKNOWN }, call.context);
      else if (call.read_done && gateway->reads_fail)
        call.read_done (&(platform_read_t){ .outcome = PLATFORM_UNKNOWN }, call.context);
      else
        reference_answer (gateway->store[i], &call, gateway->store[i]->len,
                          call.newest_done ? UINT32_MAX : call.max);
    }
}

/* The response of a peer that holds all before its offsets. */
static void
answer_fetch (gateway_t *gateway)
{
  address_t address = own_fetch->peer;
  uint32_t peer = (uint32_t)address.port - PEER_PORT;
  json_t *json = json_pack ("{s:b}", "settled", 1);
  char *body;

  own_fetch->peer.port = 0;
  if (gateway->killed[peer])
    {
      own_fetch->options.on_finished (
          &(gateway_fetch_result_t){ .peer = &address, .reason = "lost" },
          own_fetch->options.context);
      json_decref (json);
      return;
    }
  for (uint32_t i = 0; i < STREAMS; i++)
    {
      uint64_t next = gateway->next[peer][i];
      json_t *records = json_array ();

      for (uint64_t offset = gateway->peers_listed ? 0 : own_fetch->from[i]; offset < next;
           offset++)
        {
          const reference_item_t *item = g_ptr_array_index (gateway->store[i], offset);
          bool newest = reference_newest (gateway->store[i], item->key, next) == (int64_t)offset;

          if (!gateway->peers_listed || (item->value && newest))
            json_array_append_new (
                records, json_pack ("[s, I, s?]", item->key, (json_int_t)offset, item->value));
        }
      if (next > own_fetch->from[i])
        json_object_set_new (json, stream_names[i],
                             json_pack ("{s:b, s:I, s:o}", "whole", (int)gateway->peers_listed,
                                        "next", (json_int_t)next, "records", records));
      else
        json_decref (records);
    }
  body = json_dumps (json, JSON_COMPACT);
  json_decref (json);
  own_fetch->options.on_finished (
      &(gateway_fetch_result_t){ .peer = &address, .body = body, .body_bytes = strlen (body) },
      own_fetch->options.context);
  free (body);
}

static uint64_t
hash_name (const char *name)
{
  return XXH64 (name, strlen (name), 0);
}

/* The rank that gateway_peers.c computes. */
static uint64_t
rank_name (const char *name)
{
  uint64_t hash = hash_name (name);

  return XXH64 (&hash, sizeof hash, GATEWAY_PEERS_FOLLOWERS);
}

static void
name_gateways (gateway_t *gateway)
{
  char last[16] = "gateway-0";
  uint32_t count = 0;

  for (uint32_t i = 1; i <= PEERS; i++)
    {
      char name[16];

      g_snprintf (name, sizeof name, "gateway-%u", i);
      if (rank_name (name) < rank_name (last))
        {
          g_strlcpy (gateway->names[count++], last, sizeof last);
          g_strlcpy (last, name, sizeof last);
        }
      else
        g_strlcpy (gateway->names[count++], name, sizeof name);
    }
  g_strlcpy (gateway->settings.name, last, sizeof gateway->settings.name);
}

static void
send_message (gateway_t *gateway, uint32_t peer)
{
  uint64_t now_us = clock_now_us (&gateway->clock);
  xch_message message = { .sender = { .host_hash = hash_name (gateway->names[peer]),
                                      .incarnation = 1,
                                      .sequence = ++gateway->sequence },
                          .manifest_offset = gateway->next[peer][ROUTING],
                          .list_revision = gateway->next[peer][ENGINES],
                          .routers_offset = gateway->next[peer][ROUTERS],
                          .store_age_ms =
                              (uint32_t)((now_us - gateway->store_us[peer]) / CLOCK_US_PER_MS) };

  if (!gateway->killed[peer])
    own_exchange->options.on_message (&message, false, own_exchange->options.context);
}

static void
register_gateway (gateway_t *gateway, const char *name, uint32_t port)
{
  g_autofree char *text = g_strdup_printf ("0 10.0.0.1:%u 10.0.0.1:%u", port, port);

  reference_put (gateway->store[ROUTERS], name, text);
}

static void
fill_store (gateway_t *gateway)
{
  g_autofree char *entry = reference_format_entry (8000);

  for (uint32_t i = 0; i < STREAMS; i++)
    gateway->store[i] = g_ptr_array_new_with_free_func (reference_item_free);
  reference_put (gateway->store[ROUTING], PLATFORM_KEY_CONFIG, "{}");
  reference_put (gateway->store[ENGINES], "e0", entry);
  reference_put (gateway->store[ENGINES], "e1", entry);
  register_gateway (gateway, gateway->settings.name, OWN_PORT);
  for (uint32_t i = 0; i < PEERS; i++)
    register_gateway (gateway, gateway->names[i], PEER_PORT + i);
}

/* The store answers @peer, which then has all records. */
static void
read_at_peer (gateway_t *gateway, uint32_t peer)
{
  gateway->store_us[peer] = clock_now_us (&gateway->clock);
  for (uint32_t i = 0; i < STREAMS; i++)
    gateway->next[peer][i] = gateway->store[i]->len;
}

static bool
gateway_uses (const gateway_t *gateway, const char *id)
{
  return reference_gets_requests (gateway->engines, clock_now_us (&gateway->clock), id);
}

/* A gateway that has listed all streams, and whose peers have just confirmed its copy. */
static gateway_t *
gateway_new (void)
{
  gateway_t *gateway = g_new0 (gateway_t, 1);

  gateway->platform =
      (platform_t){ .read = on_gateway_read, .newest = on_gateway_newest, .free = on_gateway_free };
  gateway->base = event_base_new ();
  clock_init_paused (&gateway->clock, START_US);
  gateway->counters = counter_registry_new ();
  gateway->engines = engines_new ();
  gateway->lapses = lapses_new ();
  gateway->crashes = crash_record_new (&(crash_record_options_t){ .limit = 1 });
  gateway->settings.version_ms = DRAIN_MS;
  gateway->settings.drain_ms = DRAIN_MS;
  gateway->settings.renewal_ms = 1200;
  gateway->settings.exchange_interval_ms = INTERVAL_MS;
  g_assert (
      address_parse ("10.0.0.1:" G_STRINGIFY (OWN_PORT), &gateway->settings.control_listen, NULL));
  gateway->settings.exchange = gateway->settings.control_listen;
  name_gateways (gateway);
  fill_store (gateway);
  gateway->gateway_store =
      gateway_store_new (&(gateway_store_options_t){ .base = gateway->base,
                                                     .clock = &gateway->clock,
                                                     .counters = gateway->counters,
                                                     .settings = &gateway->settings,
                                                     .platform = &gateway->platform,
                                                     .incarnation = 1,
                                                     .crashes = gateway->crashes,
                                                     .get_version = get_version,
                                                     .on_routing = ignore_routing,
                                                     .on_drain = ignore_drain,
                                                     .on_engine = on_gateway_engine,
                                                     .on_status = ignore_status,
                                                     .context = gateway },
                         NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (gateway->gateway_store);
  reference_run_timers (gateway->base);
  answer_store (gateway);
  for (uint32_t i = 0; i < PEERS; i++)
    {
      read_at_peer (gateway, i);
      send_message (gateway, i);
    }
  gateway_store_tick (gateway->gateway_store);
  gateway->removed_us = clock_now_us (&gateway->clock);
  CU_ASSERT (gateway_uses (gateway, "e1"));
  return gateway;
}

static void
gateway_free (gateway_t *gateway)
{
  gateway_store_free (gateway->gateway_store);
  for (uint32_t i = 0; i < STREAMS; i++)
    g_ptr_array_free (gateway->store[i], TRUE);
  engines_free (gateway->engines);
  lapses_free (gateway->lapses);
  crash_record_free (gateway->crashes);
  counter_registry_free (gateway->counters);
  event_base_free (gateway->base);
  g_free (gateway);
}

static void
remove_engine (gateway_t *gateway, const char *id)
{
  gateway_put (gateway, ENGINES, id, NULL);
  gateway->removed_us = clock_now_us (&gateway->clock);
}

/* Whether the store had a record at @next or later @age_ms ago. */
static bool
lacks_record_of (const gateway_t *gateway, uint32_t stream, uint64_t next, uint32_t age_ms)
{
  uint64_t as_of_us =
      clock_now_us (&gateway->clock) - (uint64_t)age_ms * CLOCK_US_PER_MS - CLOCK_US_PER_MS;

  return next < gateway->store[stream]->len &&
         ((const reference_item_t *)g_ptr_array_index (gateway->store[stream], next))->at_us <
             as_of_us;
}

static void
check_report (gateway_t *gateway)
{
  xch_message message = { 0 };
  xch_mark marks[XCH_MARKS];
  xch_sample samples[XCH_SAMPLES];

  message.marks.marks_val = marks;
  message.samples.samples_val = samples;
  own_exchange->options.fill_message (&message, NULL, own_exchange->options.context);
  if (lacks_record_of (gateway, ROUTING, message.manifest_offset, message.store_age_ms) ||
      lacks_record_of (gateway, ENGINES, message.list_revision, message.store_age_ms))
    gateway->overstated++;
}

/* The gateway calls a peer, which replies, and is called by one of the last peers. */
static void
exchange_messages (gateway_t *gateway)
{
  address_t address;

  if (own_exchange->options.choose_peer (&address, own_exchange->options.context))
    send_message (gateway, address.port - PEER_PORT);
  send_message (gateway, KILLED + gateway->sequence % (PEERS - KILLED));
}

/* Runs until @at_ms after the removal of e1. */
static void
run_to (gateway_t *gateway, uint32_t at_ms)
{
  uint64_t end_us = gateway->removed_us + (uint64_t)at_ms * CLOCK_US_PER_MS;

  while (clock_now_us (&gateway->clock) < end_us)
    {
      char *id;

      clock_advance (&gateway->clock, (uint64_t)STEP_MS * CLOCK_US_PER_MS);
      if (clock_now_us (&gateway->clock) / CLOCK_US_PER_MS % INTERVAL_MS == 0)
        exchange_messages (gateway);
      gateway_store_tick (gateway->gateway_store);
      reference_run_timers (gateway->base);
      if (!gateway->store_waits)
        answer_store (gateway);
      if (gateway_fetch_is_busy (own_fetch))
        answer_fetch (gateway);
      while ((id = lapses_take_due (gateway->lapses, clock_now_us (&gateway->clock))))
        {
          engines_remove (gateway->engines, clock_now_us (&gateway->clock), id);
          g_free (id);
        }
      check_report (gateway);
    }
}

static void
kill_peers (gateway_t *gateway)
{
  for (uint32_t i = 0; i < KILLED; i++)
    gateway->killed[i] = true;
}

#define REPORTED_MS 950 /* when a peer first reports the removal */

/* A peer reports the removal, and is killed before it is asked for it. The gateway reads the store
 * in its turn. */
static void
test_peer_is_killed_before_it_is_asked (void)
{
  gateway_t *gateway = gateway_new ();

  remove_engine (gateway, "e1");
  run_to (gateway, REPORTED_MS);
  read_at_peer (gateway, 0);
  send_message (gateway, 0);
  kill_peers (gateway);
  run_to (gateway, DRAIN_MS);
  CU_ASSERT (!gateway_uses (gateway, "e1"));
  CU_ASSERT_EQUAL (gateway->overstated, 0);
  gateway_free (gateway);
}

#define PATIENCE_MS (DRAIN_MS * GATEWAY_STORE_ENGINES_LAG_PERCENT / 100)
#define REPORTED_EARLY_MS 300

/* Guards against a gateway that takes its copy for current, after a peer reported newer records and
 * the request for them failed: the store is to be read within the patience. */
static void
test_failed_request_leaves_the_copy_behind (void)
{
  gateway_t *gateway = gateway_new ();

  remove_engine (gateway, "e1");
  run_to (gateway, REPORTED_EARLY_MS);
  read_at_peer (gateway, 0);
  send_message (gateway, 0);
  kill_peers (gateway);
  run_to (gateway, REPORTED_EARLY_MS + PATIENCE_MS + STEP_MS);
  CU_ASSERT (!gateway_uses (gateway, "e1"));
  gateway_free (gateway);
}

/* Guards against a gateway that knows of newer records and waits longer for them when its copy no
 * longer counts as current than it would if the copy still did. */
static void
test_copy_behind_is_not_left_to_its_turn (void)
{
  const uint64_t reported_us = START_US + (uint64_t)REPORTED_MS * CLOCK_US_PER_MS;
  const uint64_t patience_us = (uint64_t)PATIENCE_MS * CLOCK_US_PER_MS;
  const read_policy_stream_t stream = { .patience_us = patience_us,
                                        .bound_us = (uint64_t)DRAIN_MS * CLOCK_US_PER_MS };
  const read_policy_view_t view = { .has_copy = true,
                                    .earlier_readers = PEERS,
                                    .reader_count = PEERS + 1 };
  read_policy_t policy = { 0 };

  read_policy_apply_peer (&policy, START_US, at (2), at (2), START_US);
  read_policy_apply_peer (&policy, reported_us, at (3), at (2), reported_us);
  CU_ASSERT_EQUAL (read_policy_decide (&policy, &stream, &view, reported_us), READ_POLICY_WAIT);
  CU_ASSERT_EQUAL (read_policy_decide (&policy, &stream, &view, reported_us + patience_us),
                   READ_POLICY_READ_ONCE);
}

/* Guards against requests to an engine later than allowed. One peer reports the removal, and
 * another that it has newer routing rules; the latter is asked for both and has only the rules. The
 * gateway must not count as having the removal. */
static void
test_copy_without_the_stream_confirms_nothing (void)
{
  gateway_t *gateway = gateway_new ();

  remove_engine (gateway, "e1");
  gateway_put (gateway, ROUTING, PLATFORM_KEY_CONFIG, "{\"version\":2}");
  gateway->next[SURVIVOR][ROUTING] = 1;
  run_to (gateway, 900);
  gateway_put (gateway, ROUTERS, "gateway-30", "0 10.0.0.1:90 10.0.0.1:90");
  gateway->next[SURVIVOR][ROUTERS]++;
  send_message (gateway, SURVIVOR);
  CU_ASSERT (gateway_fetch_is_busy (own_fetch));
  run_to (gateway, REPORTED_MS);
  read_at_peer (gateway, 0);
  send_message (gateway, 0);
  gateway->next[SURVIVOR][ROUTING]++;
  send_message (gateway, SURVIVOR);
  run_to (gateway, 1250);
  kill_peers (gateway);
  run_to (gateway, DRAIN_MS);
  CU_ASSERT (!gateway_uses (gateway, "e1"));
  CU_ASSERT_EQUAL (gateway->overstated, 0);
  gateway_free (gateway);
}

/* Likewise where the peer that is asked has new records of the registry, but not the removal. */
static void
test_copy_with_a_part_confirms_no_more (void)
{
  gateway_t *gateway = gateway_new ();
  g_autofree char *entry = reference_format_entry (8001);

  gateway_put (gateway, ENGINES, "e2", entry);
  remove_engine (gateway, "e1");
  gateway->next[SURVIVOR][ENGINES] = 2;
  run_to (gateway, REPORTED_MS);
  read_at_peer (gateway, 0);
  gateway_put (gateway, ROUTERS, "gateway-30", "0 10.0.0.1:90 10.0.0.1:90");
  gateway->next[SURVIVOR][ROUTERS]++;
  send_message (gateway, SURVIVOR);
  send_message (gateway, 0);
  gateway->next[SURVIVOR][ENGINES] = 3;
  send_message (gateway, SURVIVOR);
  run_to (gateway, 1350);
  CU_ASSERT (gateway_uses (gateway, "e2"));
  kill_peers (gateway);
  run_to (gateway, DRAIN_MS);
  CU_ASSERT (!gateway_uses (gateway, "e1"));
  CU_ASSERT_EQUAL (gateway->overstated, 0);
  gateway_free (gateway);
}

/* Guards against a report, to peers that rely on it, that the copy is current as of a read that
 * brought only the first of several new records, when the list of the others fails. */
static void
test_read_of_a_part_confirms_no_more (void)
{
  gateway_t *gateway = gateway_new ();

  remove_engine (gateway, "e1");
  gateway_put (gateway, ROUTING, PLATFORM_KEY_CONFIG, "{\"version\":2}");
  gateway_put (gateway, ROUTING, PLATFORM_KEY_DRAIN_PREFIX "hall", "x");
  gateway->lists_fail = true;
  run_to (gateway, DRAIN_MS + 1000);
  CU_ASSERT (!gateway_uses (gateway, "e1"));
  CU_ASSERT_EQUAL (gateway->overstated, 0);
  gateway_free (gateway);
}

/* Guards against requests to an engine that registered and left while a read was pending, when the
 * whole copy of a peer arrives before the response. */
static void
test_late_read_after_a_whole_copy (void)
{
  gateway_t *gateway = gateway_new ();
  g_autofree char *entry = reference_format_entry (8001);
  reference_call_t call;
  uint64_t end;

  gateway->store_waits = true;
  gateway->peers_listed = true;
  run_to (gateway, DRAIN_MS + INTERVAL_MS);
  call = gateway->calls[ENGINES];
  CU_ASSERT_TRUE_FATAL (call.read_done != NULL);
  gateway_put (gateway, ENGINES, "e2", entry);
  end = gateway->store[ENGINES]->len;
  gateway_put (gateway, ENGINES, "e2", NULL);
  read_at_peer (gateway, SURVIVOR);
  send_message (gateway, SURVIVOR);
  CU_ASSERT_TRUE_FATAL (gateway_fetch_is_busy (own_fetch));
  answer_fetch (gateway);
  reference_answer (gateway->store[ENGINES], &call, end, call.max);
  CU_ASSERT (!gateway_uses (gateway, "e2"));
  CU_ASSERT (gateway_uses (gateway, "e0"));
  gateway_free (gateway);
}

#define LATE_MS 900 /* less than the timeout of a call */

/* Guards against a report, to peers that rely on it, that the copy is current as of the arrival of
 * a response which the store made before a removal. */
static void
test_late_response_confirms_no_more (void)
{
  gateway_t *gateway = gateway_new ();
  xch_message message = { 0 };
  xch_mark marks[XCH_MARKS];
  xch_sample samples[XCH_SAMPLES];
  reference_call_t call;
  uint64_t end;

  message.marks.marks_val = marks;
  message.samples.samples_val = samples;
  kill_peers (gateway);
  gateway->store_waits = true;
  while (!gateway->calls[ENGINES].read_done || !gateway->calls[ROUTING].read_done)
    run_to (gateway,
            (uint32_t)((clock_now_us (&gateway->clock) - gateway->removed_us) / CLOCK_US_PER_MS) +
                STEP_MS);
  end = gateway->store[ENGINES]->len;
  remove_engine (gateway, "e1");
  run_to (gateway, LATE_MS);
  for (uint32_t i = 0; i < ROUTERS; i++)
    {
      call = gateway->calls[i];
      gateway->calls[i] = (reference_call_t){ 0 };
      reference_answer (gateway->store[i], &call, i == ENGINES ? end : gateway->store[i]->len,
                        call.max);
    }
  own_exchange->options.fill_message (&message, NULL, own_exchange->options.context);
  CU_ASSERT_EQUAL (message.list_revision, end);
  CU_ASSERT (message.store_age_ms >= LATE_MS);
  gateway_free (gateway);
}

/* Guards against a wait for the gateway's turn, as if no peer had reported new records, when the
 * request for them has failed and the copy no longer counts as current. */
static void
test_failed_request_before_the_copy_is_stale (void)
{
  gateway_t *gateway = gateway_new ();

  remove_engine (gateway, "e1");
  run_to (gateway, REPORTED_MS);
  read_at_peer (gateway, 0);
  send_message (gateway, 0);
  kill_peers (gateway);
  run_to (gateway, REPORTED_MS + PATIENCE_MS + STEP_MS);
  CU_ASSERT (!gateway_uses (gateway, "e1"));
  gateway_free (gateway);
}

#define BEFORE_REMOVAL_MS 1500 /* from the loss of the followers on */

/* Followers of the store are killed, so nobody reads it for two seconds, in which an engine leaves.
 * That is no outage of the store, and the removal takes effect when it is read. */
static void
test_lost_followers_are_no_outage (void)
{
  gateway_t *gateway = gateway_new ();

  kill_peers (gateway);
  run_to (gateway, BEFORE_REMOVAL_MS);
  remove_engine (gateway, "e1");
  run_to (gateway, DRAIN_MS);
  CU_ASSERT (!gateway_uses (gateway, "e1"));
  CU_ASSERT_EQUAL (lapses_count (gateway->lapses), 0);
  gateway_free (gateway);
}

/* Guards against requests to an engine later than allowed. Likewise where the first read after the
 * loss of the followers fails: the time in which nobody asked the store, before that read, must not
 * be taken for a part of an outage. */
static void
test_lost_followers_and_a_failed_read_are_no_outage (void)
{
  gateway_t *gateway = gateway_new ();

  kill_peers (gateway);
  run_to (gateway, BEFORE_REMOVAL_MS);
  remove_engine (gateway, "e1");
  gateway->reads_fail = true;
  run_to (gateway, 1600);
  gateway->reads_fail = false;
  run_to (gateway, DRAIN_MS);
  CU_ASSERT (!gateway_uses (gateway, "e1"));
  CU_ASSERT_EQUAL (lapses_count (gateway->lapses), 0);
  gateway_free (gateway);
}

#define RANDOM_MESSAGES 400

/* Random messages and copies of @senders peers, which read the store at random times. Return:
 * whether all reports of the gateway were true */
static bool
play_messages (uint32_t seed, int32_t senders)
{
  GRand *rand = g_rand_new_with_seed (seed);
  gateway_t *gateway = gateway_new ();
  uint32_t overstated;

  for (uint32_t step = 0; step < RANDOM_MESSAGES; step++)
    {
      uint32_t peer = (uint32_t)g_rand_int_range (rand, 0, senders);
      int32_t kind = g_rand_int_range (rand, 0, 100);

      clock_advance (&gateway->clock, (uint64_t)g_rand_int_range (rand, 0, 50) * CLOCK_US_PER_MS);
      if (kind < 5)
        gateway_put (gateway, ENGINES, "e1", NULL);
      else if (kind < 10)
        gateway_put (gateway, ROUTING, PLATFORM_KEY_CONFIG, "{}");
      else if (kind < 30)
        read_at_peer (gateway, peer);
      else if (kind < 75)
        send_message (gateway, peer);
      else if (gateway_fetch_is_busy (own_fetch))
        answer_fetch (gateway);
      gateway_store_tick (gateway->gateway_store);
      check_report (gateway);
    }
  overstated = gateway->overstated;
  gateway_free (gateway);
  g_rand_free (rand);
  return overstated == 0;
}

static void
play_messages_of (int32_t senders)
{
  uint32_t faulty = 0;

  for (uint32_t seed = 1; seed <= RANDOM_SEEDS; seed++)
    faulty += play_messages (seed, senders) ? 0 : 1;
  if (faulty > 0)
    printf ("    %u of %u seeds\n", faulty, RANDOM_SEEDS);
  CU_ASSERT_EQUAL (faulty, 0);
}

/* Guards against reports of a copy as more current than it is, for whichever order of messages. */
static void
test_random_messages (void)
{
  play_messages_of (PEERS);
}

/* Likewise for the messages of one peer. */
static void
test_random_messages_of_one_peer (void)
{
  play_messages_of (1);
}

int
main (void)
{
  static const CU_TestInfo tests[] = { SUITE_TEST (test_peer_is_killed_before_it_is_asked),
                                       SUITE_TEST (test_failed_request_leaves_the_copy_behind),
                                       SUITE_TEST (test_copy_behind_is_not_left_to_its_turn),
                                       SUITE_TEST (test_copy_without_the_stream_confirms_nothing),
                                       SUITE_TEST (test_copy_with_a_part_confirms_no_more),
                                       SUITE_TEST (test_read_of_a_part_confirms_no_more),
                                       SUITE_TEST (test_late_read_after_a_whole_copy),
                                       SUITE_TEST (test_late_response_confirms_no_more),
                                       SUITE_TEST (test_failed_request_before_the_copy_is_stale),
                                       SUITE_TEST (test_lost_followers_are_no_outage),
                                       SUITE_TEST (
                                           test_lost_followers_and_a_failed_read_are_no_outage),
                                       SUITE_TEST (test_random_messages),
                                       SUITE_TEST (test_random_messages_of_one_peer),
                                       CU_TEST_INFO_NULL };

  log_init ("test-store-orders", "test", LOG_LEVEL_ERROR);
  return suite_run ("store_orders", tests);
}
