/**
 * DOC: gateway_peers
 *
 * The other gateways: their addresses from the gateway registry (the stream of routers), which of
 * them were heard lately on the exchange, how far they have read the store, and which of them
 * follow it.
 *
 * A few gateways, the followers, read the store continuously; the others learn from peers that
 * there are records which they lack. So the number of store calls does not grow with the fleet.
 * Followers are chosen by rendezvous hashing among the gateways heard lately, so no host is
 * dedicated to this and a lost follower is replaced without any configuration.
 */
#ifndef PROCESS_GATEWAY_PEERS_H
#define PROCESS_GATEWAY_PEERS_H

#include "base/clock.h"
#include "base/counters.h"
#include "base/position.h"
#include "base/settings.h"
#include "connection/datagram.h"
#include "request/policy/load/fleet_requests.h"
#include "request/policy/load/load_reports.h"
#include "request/policy/suspects/crash_record.h"

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define GATEWAY_PEERS_FOLLOWERS 3 /* followers of the store: two may be lost at once */
/* Gateways that contact the same gateway nearer to the store: 2 KB a second of replies. */
#define GATEWAY_PEERS_FANOUT 8
/* Minimum time after its last message for which a peer counts as alive. */
#define GATEWAY_PEERS_ALIVE_US (UINT64_C (5000) * 1000)
/* Every message gets a reply, and one is sent in each interval of the exchange: a gateway that
 * hears no peer for this long is disconnected from them. */
#define GATEWAY_PEERS_ISOLATED_US (UINT64_C (2000) * 1000)
/* A peer also counts as alive for this many exchange intervals per known peer. In that time it is
 * heard four times on average, by its messages and by its replies to ours, so by calculation one
 * peer in fifty is missed. */
#define GATEWAY_PEERS_ALIVE_INTERVALS 2
/* Reply timeout. A reply takes a few milliseconds, longer on a host short of processor time. */
#define GATEWAY_PEERS_REPLY_TIMEOUT_US (UINT64_C (1000) * 1000)
/* Number of peers that get a message at once when the store has news; each of them does the same.
 * By calculation two of 31 gateways are left, which learn of it from their next regular message. */
#define GATEWAY_PEERS_NEWS_FANOUT 3

/* Gateways that are told of the first crash of a request: one of them may be lost. */
#define GATEWAY_PEERS_OWNERS 2

/**
 * struct gateway_peers_progress - how far a gateway has read the store
 * @routing_next: next position to read of the stream of routing rules
 * @engines_next: next position to read of the engine registry
 * @routers_next: next position to read of the gateway registry
 * @store_age_ms: time since the last contact with the store, direct or through peers
 */
typedef struct
{
  position_t routing_next;
  position_t engines_next;
  position_t routers_next;
  uint32_t store_age_ms;
} gateway_peers_progress_t;

/**
 * struct gateway_peers_options - options of gateway_peers_new()
 * @incarnation: start time of this process, in milliseconds since 1970
 * @crashes: requests during which engines ended; marks of peers are added to it
 * @get_progress: returns how far this gateway has read the store
 * @on_progress: a peer reported its progress @theirs; @control is its control address
 * @list_requests: lists up to @want numbers of requests that gateways have at engines; this gateway
 *   is @own_hash
 * @on_load: a peer reported a load of an engine that is more recent than any report before
 * @on_requests: a peer told how many requests a gateway has at the engines of a service
 * @on_origins: a message about streams came
 * @on_parts: a message about engines that hold parts of prompts came
 */
typedef struct
{
  struct event_base *base;
  const clock_source_t *clock;
  counter_registry_t *counters;
  const settings_t *settings;
  uint64_t incarnation;
  crash_record_t *crashes;
  gateway_peers_progress_t (*get_progress) (void *context);
  void (*on_progress) (const gateway_peers_progress_t *theirs,
                       const address_t *control,
                       void *context);
  uint32_t (*list_requests) (uint64_t own_hash,
                             fleet_requests_told_t *out,
                             uint32_t want,
                             void *context);
  void (*on_load) (const load_report_t *item, void *context);
  void (*on_requests) (const fleet_requests_told_t *told, void *context);
  void (*on_origins) (const xch_origins_message *message, void *context);
  void (*on_parts) (const xch_parts_message *message, void *context);
  void *context;
} gateway_peers_options_t;

typedef struct gateway_peers gateway_peers_t;

/** gateway_peers_new() - opens the exchange. Return: NULL with @error when its address cannot be
 * used */
gateway_peers_t *gateway_peers_new (const gateway_peers_options_t *options, GError **error);
void gateway_peers_free (gateway_peers_t *peers);
/** gateway_peers_poll() - see exchange_poll() */
void gateway_peers_poll (gateway_peers_t *peers);
/** gateway_peers_format_own_entry() - this gateway's entry for the gateway registry, to be freed by
 * g_free() */
char *gateway_peers_format_own_entry (const gateway_peers_t *peers);
/** gateway_peers_put() - applies an entry of the gateway registry; @entry is NULL when it was
 * removed */
void gateway_peers_put (gateway_peers_t *peers, const char *name, const char *entry);
/** gateway_peers_tell_crashes() - sends the marks that are due, as far as the budget has room:
 * first crashes to the owners of their fingerprints, others to a few peers, who pass them on at
 * once */
void gateway_peers_tell_crashes (gateway_peers_t *peers);
/** gateway_peers_add_load() - adds a load that an engine reported here to the next messages to
 * peers */
void gateway_peers_add_load (gateway_peers_t *peers, const load_report_t *item);
/** gateway_peers_send_news() - sends %GATEWAY_PEERS_NEWS_FANOUT peers a message in the next turn of
 * the event loop, after all records of the current read have been applied */
void gateway_peers_send_news (gateway_peers_t *peers);
/** gateway_peers_own_hash() - the hash by which peers know this gateway */
uint64_t gateway_peers_own_hash (const gateway_peers_t *peers);
/** gateway_peers_get_hashes() - the hashes of all gateways in the registry, this one too, as an
 * array of uint64_t to be freed */
GArray *gateway_peers_get_hashes (const gateway_peers_t *peers);
/** gateway_peers_has_spare_budget() - see exchange_has_spare_budget() */
bool gateway_peers_has_spare_budget (gateway_peers_t *peers);
/** gateway_peers_is_alive() - whether the gateway with that hash counts as alive */
bool gateway_peers_is_alive (const gateway_peers_t *peers, uint64_t hash);
/** gateway_peers_send_origins() - sends a message about streams to the gateway with that hash, see
 * exchange_send_origins(). Return: whether it was sent */
bool gateway_peers_send_origins (gateway_peers_t *peers,
                                 uint64_t hash,
                                 bool is_urgent,
                                 xch_origins_message *message);
/** gateway_peers_send_parts() - sends a message about engines that hold parts of prompts to a
 * random gateway that counts as alive. Return: whether it was sent */
bool gateway_peers_send_parts (gateway_peers_t *peers, xch_parts_message *message);
/** gateway_peers_hears_most() - whether more than half of the other gateways in the registry count
 * as alive */
bool gateway_peers_hears_most (const gateway_peers_t *peers);
/** gateway_peers_may_have_served() - whether the gateway called @name may have served within
 * @within_us: it was heard, or was found in the registry, in that time */
bool
gateway_peers_may_have_served (const gateway_peers_t *peers, const char *name, uint64_t within_us);
/** gateway_peers_count_running() - number of gateways that may be running, including this one:
 * those that count as alive, but at least half of the known ones, so that a disconnected gateway
 * does not take over the share of all the others */
uint32_t gateway_peers_count_running (const gateway_peers_t *peers);
/** gateway_peers_count_registered() - number of gateways in the gateway registry, running or not,
 * including this one; 0 unless the registry has been @listed */
uint32_t gateway_peers_count_registered (const gateway_peers_t *peers, bool listed);
/** gateway_peers_count_ranked_before() - number of live gateways that rank before this one; the
 * first %GATEWAY_PEERS_FOLLOWERS follow the store */
uint32_t gateway_peers_count_ranked_before (const gateway_peers_t *peers);
/** gateway_peers_is_isolated() - whether no peer was heard within %GATEWAY_PEERS_ISOLATED_US */
bool gateway_peers_is_isolated (const gateway_peers_t *peers);
/** gateway_peers_pick_control() - gets the control address of a random peer, preferably a live one.
 * Return: false when no peer is known */
bool gateway_peers_pick_control (gateway_peers_t *peers, address_t *control);

#endif
