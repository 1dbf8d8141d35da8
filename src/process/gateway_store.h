/**
 * DOC: gateway_store
 *
 * A gateway's copy of the platform's store: routing rules, the engine registry and the gateway
 * registry (the stream of routers). It is read from the store directly, or fetched from a peer when
 * the store cannot be read or a peer has newer records.
 */
#ifndef PROCESS_GATEWAY_STORE_H
#define PROCESS_GATEWAY_STORE_H

#include "connection/http_server.h"
#include "connection/platform.h"
#include "base/clock.h"
#include "base/counters.h"
#include "base/settings.h"
#include "process/gateway_peers.h"
#include "process/record_order.h"
#include "request/policy/load/fleet_requests.h"
#include "request/policy/load/load_reports.h"
#include "request/policy/suspects/crash_record.h"

#include <glib.h>

/*
 * How long a read of the routing rules or of the engine registry waits for a record. The few
 * gateways that follow the store notice a dead connection within this time, and their reports let
 * the other gateways conclude that there is nothing new. Reads of the gateway registry are no such
 * sign, so they wait almost as long as the store allows.
 */
#define GATEWAY_STORE_READ_WAIT_MS 1000
#define GATEWAY_STORE_ROUTERS_READ_WAIT_MS 25000
/* Minimum interval between two reads of the gateway registry that bring records. Every gateway that
 * starts writes into it, and no gateway needs these records urgently. */
#define GATEWAY_STORE_ROUTERS_INTERVAL_MS 1000
/*
 * Minimum interval between two reads that bring records, as a share of the time within which a
 * version (version-ms) or an engine entry (drain-ms) must take effect. Records that arrive in
 * between are read together. A version of 1,100 routes takes 0.1 s on a tenth of a core and 0.3 s
 * on a link of 10 Mbit/s; the rest of the time is left for a slow store.
 */
#define GATEWAY_STORE_ROUTING_INTERVAL_PERCENT 30
#define GATEWAY_STORE_ENGINES_INTERVAL_PERCENT 30
/* The copy counts as current while the store, or a peer that had contact with it, was heard within
 * this time: longer than a follower's read wait plus two messages between peers. */
#define GATEWAY_STORE_CURRENT_MS 2500
/* Followers read news from the store, the other gateways get it from peers. When news has not come
 * the usual way within this share of its time limit, the other way is tried too. */
#define GATEWAY_STORE_ROUTING_LAG_PERCENT 30 /* of the time in which a version must be in force */
#define GATEWAY_STORE_ENGINES_LAG_PERCENT 40 /* of the drain time */
/* Larger routing updates are sent only to peers that cannot read the store. The others read them
 * there: the store has the bandwidth, while sending this much to three peers takes a link of
 * 20 Mbit/s 0.15 s. */
#define GATEWAY_STORE_UPDATE_MAX_BYTES (128 * 1024)
/* Limit of a full copy for a starting gateway, unless that cannot read the store. It is higher,
 * since a registry of hundreds of engines exceeds the limit above and only a few starting gateways
 * are served at a time. */
#define GATEWAY_STORE_FULL_COPY_MAX_BYTES (384 * 1024)
/* Limit of an entry of an engine or a router. Larger ones come from other writers, and would fill
 * the memory and the copies for peers. */
#define GATEWAY_STORE_ENTRY_MAX_BYTES (16 * 1024)
#define GATEWAY_STORE_FETCH_INTERVAL_MS 300 /* minimum interval between two fetches from peers */

/**
 * struct gateway_store_options - options of gateway_store_new()
 * @platform: client of the store; owned by the new object
 * @incarnation: start time of this process, in milliseconds since 1970
 * @crashes: requests during which engines ended; marks of peers are added to it
 * @get_version: returns the version of the routing rules in force, 0 for none
 * @order: orders records by their values
 * @on_routing: a record of routing rules was read
 * @on_drain: operators drain a data centre, or cancel the drain
 * @on_engine: an entry of the engine registry was read; @text is NULL when the entry was removed.
 *   @may_have_lapsed: the entry was removed while this gateway could not read the store, so it may
 *   have expired only because the engine could not renew it during an outage
 * @on_status: the store became reachable or unreachable, or a stream was read completely or updated
 *   from a peer's copy
 * @list_requests: as in gateway_peers_options_t; NULL lists none
 * @on_load: a peer reported a load of an engine
 * @on_requests: a peer told how many requests a gateway has at the engines of a service; may be
 *   NULL
 * @on_origins: a peer sent a message about streams
 * @on_parts: a peer sent a message about engines that hold parts of prompts
 * @on_shares: the tables of shares of a service's software versions were read, at @position
 */
typedef struct
{
  struct event_base *base;
  const clock_source_t *clock;
  counter_registry_t *counters;
  const settings_t *settings;
  platform_t *platform;
  uint64_t incarnation;
  crash_record_t *crashes;
  uint64_t (*get_version) (void *context);
  record_order_t order;
  void (*on_routing) (const char *text, size_t text_bytes, position_t position, void *context);
  void (*on_drain) (const char *data_center, bool drained, position_t position, void *context);
  void (*on_engine) (const char *id,
                     const char *text,
                     size_t text_bytes,
                     position_t position,
                     bool may_have_lapsed,
                     void *context);
  void (*on_status) (void *context);
  uint32_t (*list_requests) (uint64_t own_hash,
                             fleet_requests_told_t *out,
                             uint32_t want,
                             void *context);
  void (*on_load) (const load_report_t *item, void *context);
  void (*on_requests) (const fleet_requests_told_t *told, void *context);
  void (*on_origins) (const xch_origins_message *message, void *context);
  void (*on_parts) (const xch_parts_message *message, void *context);
  void (*on_shares) (
      const char *service, const char *text, size_t bytes, position_t position, void *context);
  void *context;
} gateway_store_options_t;

typedef struct gateway_store gateway_store_t;

/** gateway_store_new() - opens the exchange with peers and starts loading. Return: NULL with @error
 * when the exchange cannot be opened; @platform is freed then too */
gateway_store_t *gateway_store_new (const gateway_store_options_t *options, GError **error);
void gateway_store_free (gateway_store_t *store);
/** gateway_store_peers() - the other gateways; owned by @store */
gateway_peers_t *gateway_store_peers (const gateway_store_t *store);
/** gateway_store_tick() - periodic work; to be called about every 100 ms */
void gateway_store_tick (gateway_store_t *store);
/** gateway_store_has_routing() - whether the stream of routing rules has been loaded completely,
 * from the store or from a peer */
bool gateway_store_has_routing (const gateway_store_t *store);
/** gateway_store_has_engines() - whether the engine registry has been loaded completely, from the
 * store or from a peer */
bool gateway_store_has_engines (const gateway_store_t *store);
/** gateway_store_is_current() - whether routing rules and engines are current to within
 * %GATEWAY_STORE_CURRENT_MS */
bool gateway_store_is_current (const gateway_store_t *store);
/** gateway_store_current_as_of_us() - time up to which they are current; 0 for never */
uint64_t gateway_store_current_as_of_us (const gateway_store_t *store);
/** gateway_store_routers_as_of_us() - likewise the gateway registry, which has the tables of shares
 */
uint64_t gateway_store_routers_as_of_us (const gateway_store_t *store);
/** gateway_store_peers_current_us() - the latest time up to which a peer's are, as far as told */
uint64_t gateway_store_peers_current_us (const gateway_store_t *store);
/** gateway_store_count_running() - number of gateways that may be running, including this one */
uint32_t gateway_store_count_running (const gateway_store_t *store);
/** gateway_store_count_registered() - number of gateways in the gateway registry, running or not,
 * including this one; 0 until the registry has been read */
uint32_t gateway_store_count_registered (const gateway_store_t *store);
/** gateway_store_is_new() - whether the gateway registry had no entry of this gateway's name when
 * this process started; false until it has been read */
bool gateway_store_is_new (const gateway_store_t *store);
/** gateway_store_may_decide() - whether this gateway may write what one for all has to write: the
 * registries are current here, and it is in that of gateways */
bool gateway_store_may_decide (const gateway_store_t *store);
/** gateway_store_rank() - number of live gateways that rank before this one */
uint32_t gateway_store_rank (const gateway_store_t *store);
/** gateway_store_has_routers() - whether the gateway registry has been loaded completely */
bool gateway_store_has_routers (const gateway_store_t *store);
/** gateway_store_hears_most() - whether most of the other gateways in the registry count as alive
 */
bool gateway_store_hears_most (const gateway_store_t *store);
/** gateway_store_list_gateways() - the names of the gateways in the registry, this one too, that
 * may have served within @within_us, as an array to be freed */
GPtrArray *gateway_store_list_gateways (const gateway_store_t *store, uint64_t within_us);
/** gateway_store_era() - the highest era of the store that this gateway knows */
uint64_t gateway_store_era (const gateway_store_t *store);
/** gateway_store_has_listed_gateways() - whether the registry of gateways was listed in this era */
bool gateway_store_has_listed_gateways (const gateway_store_t *store);
/** gateway_store_lacks_gateways() - whether a gateway is known whose present entry the store has
 * forgotten, as it came back from a copy */
bool gateway_store_lacks_gateways (const gateway_store_t *store);
/** gateway_store_get_shares() - the tables of shares of @service in the registry, with their size
 * and position; NULL when it has none */
const char *gateway_store_get_shares (const gateway_store_t *store,
                                      const char *service,
                                      size_t *bytes,
                                      position_t *position);
/** gateway_store_has_shares() - whether the store, in its present era, has @text as the tables of
 * shares of @service */
bool gateway_store_has_shares (const gateway_store_t *store, const char *service, const char *text);
/** gateway_store_send_news() - sends some peers a message at once, since new records were read */
void gateway_store_send_news (gateway_store_t *store);
/** gateway_store_tell_crashes() - sends peers the marks of @crashes that are due */
void gateway_store_tell_crashes (gateway_store_t *store);
/** gateway_store_add_load() - reports a load of an engine to peers */
void gateway_store_add_load (gateway_store_t *store, const load_report_t *item);
/** gateway_store_handle_request() - answers a peer that fetches records. @settled: whether no
 * removed engine entry may still be restored. Return: false, without an answer, when the request
 * has another path */
bool gateway_store_handle_request (gateway_store_t *store, http_server_call_t *call, bool settled);

#endif
