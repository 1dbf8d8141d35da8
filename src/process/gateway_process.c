#include "process/gateway_process.h"

#include "connection/http_server.h"
#include "process/gateway_directory.h"
#include "process/gateway_origins.h"
#include "process/gateway_shares.h"
#include "process/gateway_store.h"
#include "base/log.h"
#include "request/gateway/gateway.h"
#include "request/policy/engines/lapses.h"
#include "request/policy/engines/restart_claims.h"
#include "request/policy/queueing/stop_grace.h"
#include "request/policy/streams/shares_trust.h"
#include "version/version_order.h"

#include <string.h>

#define ADMIN_BODY_LIMIT_BYTES 4096
#define ADMIN_HEADER_LIMIT_BYTES 8192
#define ADMIN_HEADER_LIMIT_COUNT 32
#define ADMIN_CONNECTION_LIMIT 64
#define ADMIN_IDLE_TIMEOUT_MS 15000
#define STALL_MS 150 /* a tick that is later is logged: streamed events were delayed as long */

/**
 * struct gateway_process - a gateway
 * @ready_listener: listener of readiness checks
 * @control_listener: listener of peers and of metrics requests
 * @table: routing rules in force, NULL for none
 * @versions: their version
 * @lapsed: engines whose entries were removed while the store could not be read, and may have
 *   expired only because of an outage
 * @origins: at which software versions streams began
 * @gateway_origins: tells other gateways of them
 * @directory: tells other gateways which engines hold parts of prompts
 * @shares: tells that of streams of all gateways
 * @shares_trust: whether the known tables of shares count
 * @accept_by_us: latest time at which client connections are accepted, even if the gateway is not
 *   ready; 0 once they are
 * @stop: the times of the stop, once its signal has come
 * @has_ended_calls: gateway_end_calls() has been called
 * @was_ready: readiness that was logged last
 * @ticked_us: time of the last tick, 0 for none
 */
struct gateway_process
{
  gateway_process_options_t options;
  engines_t *engines;
  gateway_task_t *gateway;
  gateway_store_t *store;
  http_server_t *ready_listener;
  http_server_t *control_listener;
  routing_t *table;
  version_order_t versions;
  lapses_t *lapsed;
  restart_claims_t *restart_claims;
  crash_record_t *crashes;
  stream_origins_t *origins;
  gateway_origins_t *gateway_origins;
  gateway_directory_t *directory;
  gateway_shares_t *shares;
  shares_trust_t shares_trust;
  struct event *tick;
  uint64_t accept_by_us;
  stop_grace_t stop;
  bool has_ended_calls;
  bool was_ready;
  uint64_t ticked_us;
  counter_t *stall_count;
  counter_t *version_gauge;
  counter_t *engine_count;
  counter_t *lapsed_count;
  counter_t *drained_count;
  counter_t *gateway_count;
};

static uint64_t
now_us (const gateway_process_t *process)
{
  return clock_now_us (process->options.clock);
}

bool
gateway_process_is_ready (const gateway_process_t *process)
{
  return process->table && process->store && gateway_store_has_routing (process->store) &&
         gateway_store_has_engines (process->store) && !stop_grace_is_stopping (&process->stop) &&
         !gateway_is_full (process->gateway);
}

static void
accept_when_ready (gateway_process_t *process)
{
  if (process->accept_by_us == 0 ||
      (!gateway_process_is_ready (process) && now_us (process) < process->accept_by_us))
    return;
  process->accept_by_us = 0;
  gateway_resume_accept (process->gateway);
}

static void
log_readiness (gateway_process_t *process)
{
  bool ready = gateway_process_is_ready (process);

  accept_when_ready (process);

  if (ready == process->was_ready)
    return;
  process->was_ready = ready;
  log_event (LOG_LEVEL_NOTICE, ready ? "ready" : "not_ready", "version",
             LOG_U64 (process->table ? routing_version (process->table) : 0), "engines",
             LOG_U64 (engines_count (process->engines)), NULL);
}

/* An older version that is written late must not replace a newer one. */
static void
on_routing (const char *value, size_t value_bytes, position_t position, void *context)
{
  gateway_process_t *process = context;
  uint64_t version_in_force = process->table ? routing_version (process->table) : 0;
  GError *error = NULL;
  routing_t *table;

  table = process->options.readers.routing (value, value_bytes, process->table, &error);
  if (!table)
    {
      log_event (LOG_LEVEL_ERROR, "version_unreadable", "offset", LOG_U64 (position.offset),
                 "in_force", LOG_U64 (version_in_force), "error", error->message, NULL);
      g_error_free (error);
      return;
    }
  if (version_order_take (&process->versions, routing_version (table)))
    {
      log_event (LOG_LEVEL_NOTICE, "version", "version", LOG_U64 (routing_version (table)),
                 "before", LOG_U64 (version_in_force), "routes",
                 LOG_U64 (routing_route_count (table)), "offset", LOG_U64 (position.offset), "era",
                 LOG_U64 (position.era), NULL);
      if (process->table)
        routing_unref (process->table);
      process->table = routing_ref (table);
      gateway_set_routing_table (process->gateway, table);
      counter_set (process->version_gauge, routing_version (table));
      gateway_store_send_news (process->store);
    }
  routing_unref (table);
}

static void
on_drain (const char *data_center, bool drained, position_t position, void *context)
{
  gateway_process_t *process = context;

  if (!engines_set_drained (process->engines, now_us (process), data_center, drained))
    return;
  log_event (LOG_LEVEL_NOTICE, "data_center", "data_center", data_center, "state",
             drained ? "drained" : "taken_back", "offset", LOG_U64 (position.offset), "engines",
             LOG_U64 (engines_count_in_data_center (process->engines, data_center)), NULL);
  counter_set (process->drained_count, engines_count_drained_data_centers (process->engines));
  gateway_store_send_news (process->store);
  gateway_engines_changed (process->gateway);
}

static void
log_engine (const gateway_process_t *process,
            const char *id,
            const char *state,
            position_t position)
{
  const engine_t *engine = engines_find (process->engines, id);

  log_event (LOG_LEVEL_NOTICE, "engine", "engine", id, "state", state, "software",
             engine ? engine->entry.software_version : NULL, "offset", LOG_U64 (position.offset),
             "engines", LOG_U64 (engines_count (process->engines)), NULL);
}

static void
update_engine_counts (gateway_process_t *process)
{
  counter_set (process->engine_count, engines_count (process->engines));
  counter_set (process->lapsed_count, lapses_count (process->lapsed));
}

static void
remove_engine (gateway_process_t *process, const char *id, position_t position)
{
  if (!engines_find (process->engines, id))
    return;
  engines_remove (process->engines, now_us (process), id);
  update_engine_counts (process);
  log_engine (process, id, "gone", position);
  gateway_store_send_news (process->store);
  gateway_engines_changed (process->gateway);
}

/* The entry may come from another writer. The engine is removed, since the store no longer confirms
 * its previous entry. */
static void
reject_entry (gateway_process_t *process, const char *id, position_t position, GError *error)
{
  log_event (LOG_LEVEL_ERROR, "engine_unreadable", "engine", id, "offset",
             LOG_U64 (position.offset), "error", error->message, NULL);
  g_error_free (error);
  lapses_remove (process->lapsed, id);
  remove_engine (process, id, position);
}

/** struct previous_entry - what was known of an engine id before a new entry; @state is ENGINE_GONE
 * when nothing was */
typedef struct
{
  engine_state_t state;
  uint64_t hash;
  uint64_t born_ms;
  bool start_renewed;
  address_t address;
} previous_entry_t;

static previous_entry_t
get_previous_entry (const gateway_process_t *process, const char *id)
{
  const engine_t *engine = engines_find (process->engines, id);

  if (!engine)
    return (previous_entry_t){ .state = ENGINE_GONE };
  return (previous_entry_t){ engine->entry.state, engine->hash, engine->entry.born_ms,
                             engine->start_renewed, engine->entry.address };
}

/* A process that renewed its entry may still run, as another writer may have stated the restart. */
static void
note_restart (gateway_process_t *process, const previous_entry_t *previous, const engine_t *engine)
{
  uint64_t renewal_us = (uint64_t)process->options.settings->renewal_ms * CLOCK_US_PER_MS;

  gateway_engine_restarted (process->gateway, &previous->address);
  restart_claims_refute (process->restart_claims, engine->hash);
  if (engine->entry.born_ms < previous->born_ms)
    return;
  if (previous->start_renewed)
    restart_claims_add (process->restart_claims, now_us (process), previous->hash, renewal_us);
  else
    gateway_give_up_engine (process->gateway, previous->hash, now_us (process));
}

static void
put_engine (gateway_process_t *process,
            const char *id,
            const char *value,
            size_t value_bytes,
            position_t position)
{
  previous_entry_t previous = get_previous_entry (process, id);
  engine_entry_t entry;
  const engine_t *engine;
  GError *error = NULL;

  if (!process->options.readers.engine (&entry, id, value, value_bytes, &error))
    {
      reject_entry (process, id, position, error);
      return;
    }
  lapses_remove (process->lapsed, id);
  entry.region =
      g_intern_string (region_map_find (&process->options.settings->regions, entry.data_center));
  engine = engines_put (process->engines, now_us (process), &entry);
  if (previous.state != ENGINE_GONE && engine->hash != previous.hash)
    {
      log_engine (process, id, "restarted", position);
      note_restart (process, &previous, engine);
      previous.state = ENGINE_GONE;
    }
  if (engine->entry.state == previous.state)
    return;
  log_engine (process, id, engine->entry.state == ENGINE_READY ? "ready" : "leaving", position);
  gateway_store_send_news (process->store);
  gateway_engines_changed (process->gateway);
}

/*
 * During an outage of the store, entries of live engines expire, as they cannot be renewed. If
 * these engines were removed, their services would have no engines for the two seconds until the
 * entries are back; so they are kept for that time. An entry that is removed while the store can be
 * read takes effect at once: its engine must get no more requests.
 */
static void
on_engine (const char *id,
           const char *text,
           size_t text_bytes,
           position_t position,
           bool may_have_lapsed,
           void *context)
{
  gateway_process_t *process = context;
  uint64_t due_us =
      now_us (process) + (uint64_t)GATEWAY_PROCESS_EXPIRED_ENGINE_MS * CLOCK_US_PER_MS;

  if (text)
    put_engine (process, id, text, text_bytes, position);
  else if (may_have_lapsed && engines_find (process->engines, id))
    {
      log_engine (process, id, "perhaps_lapsed", position);
      lapses_add (process->lapsed, id, due_us);
      engines_note_expired (process->engines, id);
    }
  else
    remove_engine (process, id, position);
  update_engine_counts (process);
}

static bool
may_trust_shares (gateway_process_t *process)
{
  const gateway_store_t *store = process->store;

  return shares_trust_decide (
      &process->shares_trust,
      &(shares_trust_view_t){ .is_current = gateway_store_is_current (store),
                              .hears_most = gateway_store_hears_most (store),
                              .current_as_of_us = MIN (gateway_store_current_as_of_us (store),
                                                       gateway_store_routers_as_of_us (store)),
                              .peers_current_us = gateway_store_peers_current_us (store),
                              .current_us = GATEWAY_STORE_CURRENT_MS * CLOCK_US_PER_MS },
      now_us (process));
}

static void
update_current (gateway_process_t *process)
{
  gateway_set_config_current (process->gateway, gateway_store_is_current (process->store));
  gateway_set_shares_known (
      process->gateway,
      gateway_store_has_routers (process->store) && gateway_store_era (process->store) == 0,
      gateway_store_has_routers (process->store) && may_trust_shares (process));
}

static void
on_store_status (void *context)
{
  gateway_process_t *process = context;

  if (process->store && gateway_store_has_engines (process->store))
    engines_set_complete (process->engines);
  if (process->gateway)
    update_current (process);
  log_readiness (process);
}

static void
on_peer_load (const load_report_t *item, void *context)
{
  gateway_process_t *process = context;

  if (process->gateway)
    gateway_handle_peer_load (process->gateway, item);
}

static uint32_t
list_requests (uint64_t own_hash, fleet_requests_told_t *out, uint32_t want, void *context)
{
  const gateway_process_t *process = context;

  return engines_list_fleet_requests (process->engines, clock_now_us (process->options.clock),
                                      own_hash, out, want);
}

static void
on_peer_requests (const fleet_requests_told_t *told, void *context)
{
  gateway_process_t *process = context;

  engines_note_fleet_requests (process->engines, clock_now_us (process->options.clock), told);
}

static void
on_own_load (const load_report_t *item, void *context)
{
  gateway_process_t *process = context;

  gateway_store_add_load (process->store, item);
}

static void
on_crashes (void *context)
{
  gateway_process_t *process = context;

  gateway_store_tell_crashes (process->store);
}

static void
on_origins (bool at_once, void *context)
{
  gateway_process_t *process = context;

  if (process->gateway_origins)
    gateway_origins_tell (process->gateway_origins, at_once);
}

static void
ask_origin (uint64_t stream, uint64_t service_hash, void *context)
{
  gateway_process_t *process = context;

  if (process->gateway_origins)
    gateway_origins_ask (process->gateway_origins, stream, service_hash);
}

static void
on_peer_origins (const xch_origins_message *message, void *context)
{
  gateway_process_t *process = context;

  if (process->gateway_origins)
    gateway_origins_receive (process->gateway_origins, message);
}

static void
on_part (uint64_t part, uint64_t engine, void *context)
{
  gateway_process_t *process = context;

  if (process->directory)
    gateway_directory_tell (process->directory, part, engine);
}

static bool
note_peer_part (uint64_t part, uint64_t engine, uint64_t known_us, void *context)
{
  gateway_process_t *process = context;

  return gateway_note_peer_part (process->gateway, part, engine, known_us);
}

static void
on_peer_parts (const xch_parts_message *message, void *context)
{
  gateway_process_t *process = context;

  if (process->directory)
    gateway_directory_receive (process->directory, message);
}

static void
on_asked_origin (uint64_t stream, uint32_t keepers, uint32_t sent, void *context)
{
  gateway_process_t *process = context;

  gateway_note_origin_asked (process->gateway, stream, keepers, sent);
}

static void
on_unknown_origin (uint64_t stream, uint64_t peer, void *context)
{
  gateway_process_t *process = context;

  gateway_note_unknown_origin (process->gateway, stream, peer);
}

static void
on_shares (const char *service, const char *text, size_t bytes, position_t position, void *context)
{
  gateway_process_t *process = context;

  gateway_shares_put (process->shares, service, text, bytes, position);
  gateway_store_send_news (process->store);
}

static void
on_known_origins (void *context)
{
  gateway_process_t *process = context;

  if (process->gateway)
    gateway_search_again (process->gateway);
}

static bool
has_shares (const char *service, void *context)
{
  const gateway_process_t *process = context;

  return gateway_shares_has_table (process->shares, service);
}

static uint64_t
last_epoch (const char *service, void *context)
{
  const gateway_process_t *process = context;

  return gateway_shares_last_epoch (process->shares, service);
}

static bool
is_certain (const char *service, uint64_t stream, uint64_t version, void *context)
{
  const gateway_process_t *process = context;

  return gateway_shares_is_certain (process->shares, service, stream, version);
}

static uint64_t
choose_version (const char *service, uint64_t stream, void *context)
{
  const gateway_process_t *process = context;

  return gateway_shares_choose (process->shares, service, stream);
}

static void
on_update_current (void *context)
{
  gateway_process_t *process = context;

  if (process->gateway)
    update_current (process);
}

static version_search_t
find_version (const char *service, uint64_t stream, uint64_t since_us, void *context)
{
  gateway_process_t *process = context;

  return gateway_shares_find (process->shares, service, stream, since_us);
}

static crash_record_engine_t
get_crashed_engine (uint64_t engine_hash, void *context)
{
  const gateway_process_t *process = context;
  const engine_t *engine = engines_find_by_hash (process->engines, engine_hash);
  bool is_known = engine || !engines_are_complete (process->engines);

  if (!is_known || (engine && engine->displaced))
    return (crash_record_engine_t){ .state = CRASH_RECORD_ENGINE_ENDED };
  if (!engine)
    return (crash_record_engine_t){ .state = CRASH_RECORD_ENGINE_LISTED };
  return (crash_record_engine_t){ .state = engine->entry.state == ENGINE_LEAVING ||
                                                   engine->reported_leaving
                                               ? CRASH_RECORD_ENGINE_LEAVING
                                               : CRASH_RECORD_ENGINE_LISTED,
                                  .sound_us = engine->sound_us,
                                  .broke_us = engine->broke_us };
}

static uint64_t
get_version (void *context)
{
  const gateway_process_t *process = context;

  return process->table ? routing_version (process->table) : 0;
}

static void
remove_expired (gateway_process_t *process)
{
  char *id;

  while ((id = lapses_take_due (process->lapsed, now_us (process))))
    {
      remove_engine (process, id, (position_t){ 0 });
      g_free (id);
    }
}

static void
give_up_replaced_engines (gateway_process_t *process)
{
  restart_claim_t claim;

  while (restart_claims_take_due (process->restart_claims, now_us (process), &claim))
    gateway_give_up_engine (process->gateway, claim.hash, claim.made_us);
}

static void
stop_when_due (gateway_process_t *process)
{
  uint64_t at_us = now_us (process);

  if (!stop_grace_is_stopping (&process->stop) || at_us < process->stop.accept_until_us)
    return;
  gateway_stop (process->gateway);
  if (at_us >= process->stop.end_us)
    {
      bool is_first = !process->has_ended_calls;

      process->has_ended_calls = true;
      gateway_end_calls (process->gateway);
      if (is_first && gateway_busy_count (process->gateway) > 0)
        return; /* the answers are written before the next tick */
    }
  if (gateway_busy_count (process->gateway) > 0 && at_us < process->stop.exit_us)
    return;
  event_base_loopexit (process->options.base, NULL);
}

/* A late tick is the first sign of a host that is slow, frozen or short of processor time; it shows
 * before requests are late. */
static void
check_stall (gateway_process_t *process)
{
  uint64_t at_us = now_us (process);
  uint64_t late_ms = process->ticked_us ? (at_us - process->ticked_us) / CLOCK_US_PER_MS : 0;

  process->ticked_us = at_us;
  if (late_ms < GATEWAY_PROCESS_TICK_MS + STALL_MS)
    return;
  counter_add (process->stall_count, 1);
  log_event (LOG_LEVEL_WARNING, "stalled", "ms", LOG_U64 (late_ms - GATEWAY_PROCESS_TICK_MS), NULL);
}

static void
on_tick (evutil_socket_t fd, short what, void *context)
{
  gateway_process_t *process = context;

  (void)fd;
  (void)what;
  check_stall (process);
  remove_expired (process);
  give_up_replaced_engines (process);
  accept_when_ready (process);
  gateway_store_tick (process->store);
  update_current (process);
  gateway_shares_tick (process->shares, process->table, may_trust_shares (process));
  counter_set (process->gateway_count, gateway_store_count_registered (process->store));
  gateway_set_routers (process->gateway, gateway_store_count_running (process->store),
                       gateway_store_count_registered (process->store));
  stop_when_due (process);
  log_flush ();
}

static void
on_ready_call (http_server_call_t *call, void *context)
{
  const gateway_process_t *process = context;

  if (strcmp (http_server_path (call), "/readyz") == 0)
    http_server_reply_text (call, gateway_process_is_ready (process) ? 200 : 503, "text/plain",
                            gateway_process_is_ready (process) ? "ready\n" : "not ready\n");
  else
    http_server_reply_text (call, 404, "text/plain", "no such path\n");
}

static void
on_control_call (http_server_call_t *call, void *context)
{
  gateway_process_t *process = context;
  GString *text;

  if (gateway_store_handle_request (process->store, call, lapses_count (process->lapsed) == 0))
    return;
  if (strcmp (http_server_path (call), "/metrics") != 0)
    {
      on_ready_call (call, context);
      return;
    }
  text = g_string_new (NULL);
  counter_registry_write (process->options.counters, text);
  http_server_reply_text (call, 200, "text/plain; version=0.0.4", text->str);
  g_string_free (text, TRUE);
}

static http_server_t *
listen_admin (gateway_process_t *process,
              const address_t *address,
              void (*on_call) (http_server_call_t *, void *),
              GError **error)
{
  return http_server_new (&(http_server_options_t){ .base = process->options.base,
                                                    .counters = process->options.counters,
                                                    .listen = *address,
                                                    .body_limit_bytes = ADMIN_BODY_LIMIT_BYTES,
                                                    .header_limit_bytes = ADMIN_HEADER_LIMIT_BYTES,
                                                    .header_limit_count = ADMIN_HEADER_LIMIT_COUNT,
                                                    .connection_limit = ADMIN_CONNECTION_LIMIT,
                                                    .idle_timeout_ms = ADMIN_IDLE_TIMEOUT_MS,
                                                    .on_call = on_call,
                                                    .context = process },
                          error);
}

static bool
listen_all (gateway_process_t *process, GError **error)
{
  const settings_t *settings = process->options.settings;

  process->gateway = gateway_new (
      &(gateway_options_t){
          .base = process->options.base,
          .clock = process->options.clock,
          .counters = process->options.counters,
          .settings = settings,
          .engines = process->engines,
          .format = process->options.format,
          .crashes = process->crashes,
          .on_crashes = on_crashes,
          .on_load = on_own_load,
          .origins = process->origins,
          .on_origins = on_origins,
          .ask_origin = ask_origin,
          .on_part = on_part,
          .has_shares = has_shares,
          .last_epoch = last_epoch,
          .is_certain = is_certain,
          .choose_version = choose_version,
          .update_current = on_update_current,
          .find_version = find_version,
          .context = process,
          .retries = { .ratio_milli = settings->retry_ratio_milli,
                       .slack = settings->retry_slack_milli / 1000,
                       .window_us = (uint64_t)settings->retry_window_ms * CLOCK_US_PER_MS } },
      error);
  if (process->gateway)
    {
      process->gateway_origins = gateway_origins_new (
          &(gateway_origins_options_t){ .base = process->options.base,
                                        .clock = process->options.clock,
                                        .counters = process->options.counters,
                                        .peers = gateway_store_peers (process->store),
                                        .table = process->origins,
                                        .on_known = on_known_origins,
                                        .on_asked = on_asked_origin,
                                        .on_unknown = on_unknown_origin,
                                        .context = process });
      process->directory = gateway_directory_new (
          &(gateway_directory_options_t){ .base = process->options.base,
                                          .clock = process->options.clock,
                                          .counters = process->options.counters,
                                          .peers = gateway_store_peers (process->store),
                                          .note_part = note_peer_part,
                                          .context = process });
      gateway_pause_accept (process->gateway);
      process->accept_by_us =
          now_us (process) + (uint64_t)GATEWAY_PROCESS_ACCEPT_DELAY_MAX_MS * CLOCK_US_PER_MS;
    }
  if (process->gateway)
    process->ready_listener = listen_admin (process, &settings->ready_listen, on_ready_call, error);
  if (process->ready_listener)
    process->control_listener =
        listen_admin (process, &settings->control_listen, on_control_call, error);
  return process->control_listener != NULL;
}

static bool
open_store (gateway_process_t *process, GError **error)
{
  process->store =
      gateway_store_new (&(gateway_store_options_t){ .base = process->options.base,
                                                     .clock = process->options.clock,
                                                     .counters = process->options.counters,
                                                     .settings = process->options.settings,
                                                     .platform = process->options.platform,
                                                     .incarnation = process->options.incarnation,
                                                     .crashes = process->crashes,
                                                     .get_version = get_version,
                                                     .order = { process->options.readers.version,
                                                                process->options.readers.engine },
                                                     .on_routing = on_routing,
                                                     .on_drain = on_drain,
                                                     .on_engine = on_engine,
                                                     .on_status = on_store_status,
                                                     .list_requests = list_requests,
                                                     .on_load = on_peer_load,
                                                     .on_requests = on_peer_requests,
                                                     .on_origins = on_peer_origins,
                                                     .on_parts = on_peer_parts,
                                                     .on_shares = on_shares,
                                                     .context = process },
                         error);
  if (!process->store)
    return false;
  process->shares =
      gateway_shares_new (&(gateway_shares_options_t){ .base = process->options.base,
                                                       .clock = process->options.clock,
                                                       .counters = process->options.counters,
                                                       .settings = process->options.settings,
                                                       .platform = process->options.platform,
                                                       .engines = process->engines,
                                                       .origins = process->origins,
                                                       .store = process->store,
                                                       .incarnation = process->options.incarnation,
                                                       .on_lists = on_known_origins,
                                                       .context = process });
  return true;
}

gateway_process_t *
gateway_process_new (const gateway_process_options_t *options, GError **error)
{
  gateway_process_t *process = g_new0 (gateway_process_t, 1);
  struct timeval tick = { 0, GATEWAY_PROCESS_TICK_MS * 1000 };

  process->options = *options;
  process->engines = engines_new ();
  process->lapsed = lapses_new ();
  process->restart_claims = restart_claims_new ();
  process->origins = stream_origins_new (GATEWAY_PROCESS_ORIGINS_MAX);
  process->crashes =
      crash_record_new (&(crash_record_options_t){ .limit = GATEWAY_PROCESS_CRASHES_MAX,
                                                   .lifetime_us = GATEWAY_PROCESS_CRASH_LIFETIME_US,
                                                   .get_engine = get_crashed_engine,
                                                   .context = process });
  process->stall_count = counter_get (options->counters, "medlarplank_stalls_total",
                                      "Times that the process stood still for long");
  process->version_gauge =
      counter_get (options->counters, "medlarplank_version", "Version in force");
  process->engine_count =
      counter_get (options->counters, "medlarplank_engines", "Engines registered");
  process->lapsed_count =
      counter_get (options->counters, "medlarplank_lapsed_engines",
                   "Engines whose entries have gone, perhaps in an outage alone");
  process->drained_count = counter_get (options->counters, "medlarplank_drained_data_centers",
                                        "Data centres that operators drain");
  process->gateway_count =
      counter_get (options->counters, "medlarplank_gateways",
                   "Gateways that are written into the platform's store, this one too");
  process->tick = event_new (options->base, -1, EV_PERSIST, on_tick, process);
  event_add (process->tick, &tick);
  if (open_store (process, error) && listen_all (process, error))
    return process;
  gateway_process_free (process);
  return NULL;
}

void
gateway_process_free (gateway_process_t *process)
{
  g_clear_pointer (&process->gateway_origins, gateway_origins_free);
  g_clear_pointer (&process->directory, gateway_directory_free);
  if (process->store)
    gateway_store_free (process->store);
  if (process->gateway)
    gateway_free (process->gateway);
  if (process->shares)
    gateway_shares_free (process->shares);
  if (process->ready_listener)
    http_server_free (process->ready_listener);
  if (process->control_listener)
    http_server_free (process->control_listener);
  if (process->table)
    routing_unref (process->table);
  engines_free (process->engines);
  lapses_free (process->lapsed);
  restart_claims_free (process->restart_claims);
  crash_record_free (process->crashes);
  stream_origins_free (process->origins);
  event_free (process->tick);
  g_free (process);
}

void
gateway_process_stop (gateway_process_t *process)
{
  uint64_t grace_us = (uint64_t)process->options.settings->grace_ms * CLOCK_US_PER_MS;

  if (stop_grace_is_stopping (&process->stop))
    return;
  process->stop = stop_grace_begin (now_us (process), grace_us);
  gateway_announce_stop (process->gateway, &process->stop);
  log_readiness (process);
}

uint16_t
gateway_process_port (const gateway_process_t *process)
{
  return gateway_port (process->gateway);
}
