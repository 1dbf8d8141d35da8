/**
 * DOC: gateway
 *
 * The data task of a gateway, which is a router that sends requests directly to engines, without
 * sidecars. It accepts requests from clients, finds their route, queues them while all engines are
 * full, sends them to engines and forwards the responses.
 */
#ifndef REQUEST_GATEWAY_GATEWAY_H
#define REQUEST_GATEWAY_GATEWAY_H

#include "base/clock.h"
#include "base/counters.h"
#include "base/settings.h"
#include "request/policy/engines/engines.h"
#include "request/policy/queueing/stop_grace.h"
#include "request/gateway/format.h"
#include "request/policy/retries/retry_budget.h"
#include "request/policy/load/load_reports.h"
#include "request/policy/suspects/crash_record.h"
#include "request/policy/streams/stream_origins.h"
#include "request/policy/streams/version_search.h"
#include "version/routing.h"

#include <event2/event.h>

typedef struct gateway gateway_task_t;

/* An engine keeps the shared parts of a prompt in its cache for longer than this, unless the cache
 * is overfull. */
#define GATEWAY_CACHE_WARM_US (UINT64_C (10) * CLOCK_US_PER_S)

/**
 * struct gateway_options - options of gateway_new(); the pointers are borrowed
 * @settings: settings of the process
 * @engines: engines of all services; the owner reports changes by gateway_engines_changed()
 * @format: adapter for the headers of clients and engines
 * @retries: limit of the retries that all gateways may send
 * @crashes: requests and parts of prompts during which engines ended
 * @on_crashes: @crashes may have marks for the other gateways; called a few times a second too
 * @on_load: called with a load that an engine reported, for the other gateways
 * @origins: at which software versions streams began here, and those that others told of
 * @on_origins: some of @origins are to be told to the other gateways; @at_once: one of them was
 *   broken off
 * @ask_origin: asks the other gateways at which version a stream of a service began
 * @on_part: other gateways are to be told that the engine @engine holds the shared part @part, both
 *   hashes
 * @has_shares: whether the software versions of a service have a table of shares
 * @last_epoch: number of the last table, 0 for none
 * @is_certain: whether the tables alone tell that a stream began at a version
 * @choose_version: the version at which a stream begins, 0 for any
 * @update_current: calls gateway_set_config_current() and gateway_set_shares_known(): a process
 * that stood still handles requests before the timer that does so regularly
 * @find_version: looks for the version at which a stream of any gateway began, see
 *   gateway_shares_find()
 * @context: passed to the callbacks
 */
typedef struct
{
  struct event_base *base;
  const clock_source_t *clock;
  counter_registry_t *counters;
  const settings_t *settings;
  engines_t *engines;
  const format_t *format;
  retry_budget_options_t retries;
  crash_record_t *crashes;
  void (*on_crashes) (void *context);
  void (*on_load) (const load_report_t *item, void *context);
  stream_origins_t *origins;
  void (*on_origins) (bool at_once, void *context);
  void (*ask_origin) (uint64_t stream, uint64_t service_hash, void *context);
  void (*on_part) (uint64_t part, uint64_t engine, void *context);
  bool (*has_shares) (const char *service, void *context);
  uint64_t (*last_epoch) (const char *service, void *context);
  bool (*is_certain) (const char *service, uint64_t stream, uint64_t version, void *context);
  uint64_t (*choose_version) (const char *service, uint64_t stream, void *context);
  void (*update_current) (void *context);
  version_search_t (*find_version) (const char *service,
                                    uint64_t stream,
                                    uint64_t since_us,
                                    void *context);
  void *context;
} gateway_options_t;

gateway_task_t *gateway_new (const gateway_options_t *options, GError **error);
/** gateway_free() - cancels the requests in flight, as if their clients had disconnected */
void gateway_free (gateway_task_t *gateway);
/** gateway_set_routing_table() - puts a version of the routing table in force; takes a reference */
void gateway_set_routing_table (gateway_task_t *gateway, routing_t *table);
/** gateway_set_config_current() - sets whether the version in force is known to be the newest one.
 * While it is not, unknown routes and keys get 503, as a newer version may have them */
void gateway_set_config_current (gateway_task_t *gateway, bool certain);
/** gateway_set_shares_known() - sets whether a service without a table of shares never had one
 * (@no_shares_before), and whether the tables that are known count (@trusted) */
void gateway_set_shares_known (gateway_task_t *gateway, bool no_shares_before, bool trusted);
/** gateway_search_again() - more may be known of the versions of streams */
void gateway_search_again (gateway_task_t *gateway);
/** gateway_note_origin_asked() - a question of @ask_origin was sent to @sent of the @keepers
 * gateways that may know the stream */
void gateway_note_origin_asked (gateway_task_t *gateway,
                                uint64_t stream,
                                uint32_t keepers,
                                uint32_t sent);
/** gateway_note_unknown_origin() - the gateway @peer doesn't know a stream that it was asked for */
void gateway_note_unknown_origin (gateway_task_t *gateway, uint64_t stream, uint64_t peer);
/**
 * gateway_set_routers() - sets how many gateways share the engines
 * @routers: gateways that work now
 * @known: gateways that share the retry budget and may send to the engines, including those that
 *   were not heard from lately; 0 while their number is not known
 */
void gateway_set_routers (gateway_task_t *gateway, uint32_t routers, uint32_t known);
/** gateway_handle_peer_load() - takes over a load that an engine reported to another gateway
 */
void gateway_handle_peer_load (gateway_task_t *gateway, const load_report_t *item);
/** gateway_note_peer_part() - another gateway knew the engine @engine to hold the shared part @part
 * at @known_us. Return: whether to pass it on */
bool
gateway_note_peer_part (gateway_task_t *gateway, uint64_t part, uint64_t engine, uint64_t known_us);
/** gateway_engine_restarted() - the engine at @address is said to have been replaced by a new
 * process with its id: idle connections to it are closed */
void gateway_engine_restarted (gateway_task_t *gateway, const address_t *address);
/** gateway_give_up_engine() - the process @hash of an engine was replaced before @replaced_us: the
 * requests that ran there, and got no byte since, are lost */
void gateway_give_up_engine (gateway_task_t *gateway, uint64_t hash, uint64_t replaced_us);
/** gateway_engines_changed() - the set of engines changed; sends queued requests for which there is
 * room now */
void gateway_engines_changed (gateway_task_t *gateway);
/** gateway_pause_accept() - accepts no connections until gateway_resume_accept(); clients that
 * connect have to wait */
void gateway_pause_accept (gateway_task_t *gateway);
void gateway_resume_accept (gateway_task_t *gateway);
/** gateway_is_full() - whether it can take no new connection, as all are in use */
bool gateway_is_full (const gateway_task_t *gateway);
/** gateway_announce_stop() - begins a stop: from now on responses carry "Connection: close", and
 * requests that have not run and can't be answered before the end of it are refused */
void gateway_announce_stop (gateway_task_t *gateway, const stop_grace_t *stop_grace);
/** gateway_stop() - accepts no further connections and requests */
void gateway_stop (gateway_task_t *gateway);
/** gateway_end_calls() - ends all requests in progress with a refusal or a failure, shortly before
 * the process exits, also those that are still arriving; to be called until the exit */
void gateway_end_calls (gateway_task_t *gateway);
/** gateway_busy_count() - number of connections and requests that are not finished; 0 when a stop
 * is complete
 */
uint32_t gateway_busy_count (const gateway_task_t *gateway);
/** gateway_port() - port of the listener for clients */
uint16_t gateway_port (const gateway_task_t *gateway);

#endif
