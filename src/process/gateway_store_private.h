/**
 * DOC: gateway_store_private
 *
 * Shared by the files of a gateway's copy of the store: gateway_store.c (the streams and who reads
 * them), gateway_store_copy.c (copies and updates from peers), gateway_store_restore.c (a store
 * that came back from a copy).
 */
#ifndef PROCESS_GATEWAY_STORE_PRIVATE_H
#define PROCESS_GATEWAY_STORE_PRIVATE_H

#include "process/gateway_store.h"
#include "connection/stream_follower.h"
#include "process/gateway_fetch.h"
#include "process/gateway_peers.h"
#include "process/gateway_start.h"
#include "process/own_entry.h"
#include "process/record_order.h"
#include "request/policy/store/store_outage.h"
#include "request/policy/store/read_policy.h"
#include "request/policy/store/restoration.h"

enum
{
  STREAM_ROUTING,
  STREAM_ENGINES,
  STREAM_ROUTERS,
  STREAM_COUNT
};

/* name of each stream in the store */
extern const char *const gateway_store_stream_names[STREAM_COUNT];

/**
 * struct gateway_store - a gateway's copy of the store
 * @policies: for each stream, whether to read it from the store or fetch it from peers
 * @start: decides how the copy is loaded at the start
 * @fetching_all: the fetch in progress is the full copy at the start
 * @fetching: streams that the fetch in progress asks for
 * @ahead_control: control address of the peer that last reported newer records than ours
 * @next_fetch_us: earliest time of the next fetch
 * @outage: last outage of the store, as observed here and by peers
 * @peers_current_us: latest time up to which a peer's registries are current, as far as told
 * @store_lost: the last read of the engine registry failed, or a read of the routing rules failed
 *   before the registry was read for the first time
 * @applying_copy: the records being applied come from a peer's copy
 * @copy_unsettled: that peer reported that removed keys may still be restored
 * @copied_engines: what the last copy had of the engine registry
 * @restorations: for each stream, what holds after the store came back from a copy
 * @kept_counts: for each stream, records kept from before the store came back from a copy
 * @next_age_us: when the entries of engines that are held back are looked at next
 * @dropping_missing: entries are being dropped that nobody wrote again in time
 * @own_entry: this gateway's entry in the gateway registry
 */
struct gateway_store
{
  gateway_store_options_t options;
  gateway_peers_t *peers;
  keyed_view_t *views[STREAM_COUNT];
  stream_follower_t *followers[STREAM_COUNT];
  gateway_fetch_t *fetch;
  read_policy_t policies[STREAM_COUNT];
  gateway_start_t *start;
  bool fetching_all;
  bool fetching[STREAM_COUNT];
  address_t ahead_control;
  uint64_t next_fetch_us;
  store_outage_t outage;
  uint64_t peers_current_us;
  bool store_lost;
  bool applying_copy;
  bool copy_unsettled;
  view_share_copy_t copied_engines;
  restoration_t restorations[STREAM_COUNT];
  uint32_t kept_counts[STREAM_COUNT];
  uint64_t next_age_us;
  bool dropping_missing;
  own_entry_t *own_entry;
  counter_t *fetch_count;
  counter_t *held_gauge;
};

/** gateway_store_now_us() - the time of the clock in the options */
uint64_t gateway_store_now_us (const gateway_store_t *store);
/** gateway_store_policy_view() - what is known of @stream, as the read policy needs it */
read_policy_view_t gateway_store_policy_view (const gateway_store_t *store, uint32_t stream);
/** gateway_store_policy_stream() - the limits of @stream, as the read policy needs them */
read_policy_stream_t gateway_store_policy_stream (const gateway_store_t *store, uint32_t stream);
/** gateway_store_begin_reading_all() - reads all streams from the store */
void gateway_store_begin_reading_all (gateway_store_t *store);
/** gateway_store_contact_age_ms() - time since the store, or a peer that had read it, was last
 * heard
 */
uint32_t gateway_store_contact_age_ms (const gateway_store_t *store);
/** gateway_store_advance_restorations() - periodic work after the store came back from a copy */
void gateway_store_advance_restorations (gateway_store_t *store);
/** gateway_store_on_fetched() - applies a fetch that has ended */
void gateway_store_on_fetched (const gateway_fetch_result_t *result, void *context);
/* callbacks of gateway_start */
bool gateway_store_start_has_all_streams (void *context);
bool gateway_store_start_is_store_down (void *context);
bool gateway_store_start_is_fetching (void *context);
void gateway_store_start_read_store (void *context);
bool gateway_store_start_pick_peer (address_t *control, void *context);
void gateway_store_start_fetch_all (const address_t *control, void *context);
/** gateway_store_fetch_if_due() - fetches from a peer what is behind */
void gateway_store_fetch_if_due (gateway_store_t *store);

#endif
