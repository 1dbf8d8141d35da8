#include "process/gateway_store_private.h"

#include "base/log.h"

#include <string.h>

const char *const gateway_store_stream_names[STREAM_COUNT] = { PLATFORM_STREAM_ROUTING,
                                                               PLATFORM_STREAM_ENGINES,
                                                               PLATFORM_STREAM_ROUTERS };

uint64_t
gateway_store_now_us (const gateway_store_t *store)
{
  return clock_now_us (store->options.clock);
}

static void
on_routing (
    const char *key, const char *value, size_t value_bytes, position_t position, void *context)
{
  gateway_store_t *store = context;

  if (g_str_has_prefix (key, PLATFORM_KEY_DRAIN_PREFIX))
    store->options.on_drain (key + strlen (PLATFORM_KEY_DRAIN_PREFIX), value != NULL, position,
                             store->options.context);
  else if (value)
    store->options.on_routing (value, value_bytes, position, store->options.context);
}

static uint64_t
min_outage_us (const gateway_store_t *store)
{
  return store_outage_min_us (store->options.settings->renewal_ms);
}

/* Each stream has its own connection; a good answer on any of them shows that the store is up. */
static void
record_store_contact (gateway_store_t *store)
{
  for (uint32_t i = 0; i < STREAM_COUNT; i++)
    store_outage_record_contact (&store->outage,
                                 stream_follower_last_answer_us (store->followers[i]),
                                 min_outage_us (store));
}

/*
 * Entries that were removed while this gateway could not read the store may have expired by mistake
 * only if the store had an outage. If this gateway alone was disconnected, engines could renew
 * their entries, so a removed entry means that its engine has left and must get no more requests.
 */
static bool
may_have_lapsed (const gateway_store_t *store)
{
  bool unsure;

  if (store->dropping_missing)
    return false;
  unsure = store->applying_copy ? store->copy_unsettled
                                : stream_follower_is_catching_up (store->followers[STREAM_ENGINES]);

  uint64_t outage_end_us =
      store_outage_end_us (&store->outage, gateway_store_now_us (store), min_outage_us (store));

  return read_policy_may_have_lapsed (outage_end_us, unsure, gateway_store_now_us (store));
}

static void
on_engine (
    const char *key, const char *value, size_t value_bytes, position_t position, void *context)
{
  gateway_store_t *store = context;

  record_store_contact (store);
  store->options.on_engine (key, value, value_bytes, position, may_have_lapsed (store),
                            store->options.context);
}

static void
on_router (
    const char *key, const char *value, size_t value_bytes, position_t position, void *context)
{
  gateway_store_t *store = context;

  if (!g_str_has_prefix (key, PLATFORM_KEY_SHARES_PREFIX))
    gateway_peers_put (store->peers, key, value);
  else if (value)
    store->options.on_shares (key + strlen (PLATFORM_KEY_SHARES_PREFIX), value, value_bytes,
                              position, store->options.context);
}

/* Until this gateway sees its own entry, entries of other gateways may be missing as well. Without
 * this check, all gateways of a fleet that starts at once would follow the store until then. */
static bool
has_own_entry (const gateway_store_t *store)
{
  size_t bytes;
  position_t position;

  return keyed_view_get (store->views[STREAM_ROUTERS], store->options.settings->name, &bytes,
                         &position) != NULL;
}

read_policy_view_t
gateway_store_policy_view (const gateway_store_t *store, uint32_t stream)
{
  const stream_follower_t *follower = store->followers[stream];
  uint32_t gateways_before = gateway_peers_count_ranked_before (store->peers);

  return (read_policy_view_t){
    .is_follower = gateways_before < GATEWAY_PEERS_FOLLOWERS && has_own_entry (store),
    .has_copy = stream_follower_has_listed (follower),
    .store_call_failed = store->store_lost || stream_follower_is_failing (follower),
    .has_no_peers = gateway_peers_is_isolated (store->peers),
    .earlier_readers = gateways_before,
    .reader_count = gateway_peers_count_running (store->peers),
    .answered_us = stream_follower_current_as_of_us (follower),
    .read_started_us = stream_follower_last_call_us (follower)
  };
}

read_policy_stream_t
gateway_store_policy_stream (const gateway_store_t *store, uint32_t stream)
{
  const settings_t *settings = store->options.settings;
  bool routing = stream == STREAM_ROUTING;
  uint32_t percent =
      routing ? GATEWAY_STORE_ROUTING_LAG_PERCENT : GATEWAY_STORE_ENGINES_LAG_PERCENT;
  uint64_t bound_us =
      (uint64_t)(routing ? settings->version_ms : settings->drain_ms) * CLOCK_US_PER_MS;

  return (read_policy_stream_t){ .patience_us = bound_us * percent / 100, .bound_us = bound_us };
}

static void
update_reading (gateway_store_t *store, uint32_t stream)
{
  read_policy_stream_t limits = gateway_store_policy_stream (store, stream);
  read_policy_view_t view = gateway_store_policy_view (store, stream);
  read_policy_action_t action;

  read_policy_update (&store->policies[stream], &view,
                      stream_follower_next (store->followers[stream]));
  action =
      read_policy_decide (&store->policies[stream], &limits, &view, gateway_store_now_us (store));

  stream_follower_set_on_demand (store->followers[stream], action != READ_POLICY_FOLLOW);
  if (action == READ_POLICY_READ_ONCE)
    stream_follower_read_soon (store->followers[stream]);
}

/* Once another stream has failed at the start, it waits until the routing rules can be read, so
 * that each attempt costs an unreachable store one call instead of three. */
static void
hold_until_routing_listed (gateway_store_t *store, uint32_t stream, stream_follower_state_t state)
{
  if (state == STREAM_FOLLOWER_LOST && !stream_follower_has_listed (store->followers[stream]) &&
      !stream_follower_has_listed (store->followers[STREAM_ROUTING]))
    stream_follower_suspend (store->followers[stream]);
}

void
gateway_store_begin_reading_all (gateway_store_t *store)
{
  for (uint32_t i = 0; i < STREAM_COUNT; i++)
    stream_follower_resume (store->followers[i]);
}

static void
on_routing_state (stream_follower_state_t state, void *context)
{
  gateway_store_t *store = context;

  if (state == STREAM_FOLLOWER_LOST &&
      !stream_follower_has_listed (store->followers[STREAM_ENGINES]))
    store->store_lost = true;
  else
    gateway_store_begin_reading_all (store);
  if (state != STREAM_FOLLOWER_LISTED)
    return;
  gateway_store_advance_restorations (store);
  update_reading (store, STREAM_ROUTING);
  store->options.on_status (store->options.context);
}

static void
on_engines_state (stream_follower_state_t state, void *context)
{
  gateway_store_t *store = context;

  store->store_lost = state == STREAM_FOLLOWER_LOST;
  hold_until_routing_listed (store, STREAM_ENGINES, state);
  if (state == STREAM_FOLLOWER_LISTED)
    {
      gateway_store_advance_restorations (store);
      update_reading (store, STREAM_ENGINES);
    }
  store->options.on_status (store->options.context);
}

static void
on_routers_state (stream_follower_state_t state, void *context)
{
  hold_until_routing_listed (context, STREAM_ROUTERS, state);
  if (state == STREAM_FOLLOWER_LISTED)
    gateway_store_advance_restorations (context);
}

static uint64_t
stream_current_us (const gateway_store_t *store, uint32_t stream)
{
  read_policy_view_t view = gateway_store_policy_view (store, stream);

  return read_policy_current_as_of_us (&store->policies[stream], &view);
}

uint64_t
gateway_store_current_as_of_us (const gateway_store_t *store)
{
  return MIN (stream_current_us (store, STREAM_ROUTING), stream_current_us (store, STREAM_ENGINES));
}

uint64_t
gateway_store_routers_as_of_us (const gateway_store_t *store)
{
  return stream_current_us (store, STREAM_ROUTERS);
}

uint64_t
gateway_store_peers_current_us (const gateway_store_t *store)
{
  return store->peers_current_us;
}

uint32_t
gateway_store_contact_age_ms (const gateway_store_t *store)
{
  uint64_t at_us = gateway_store_current_as_of_us (store);
  uint64_t age_ms = at_us ? (gateway_store_now_us (store) - at_us) / CLOCK_US_PER_MS : UINT32_MAX;

  return (uint32_t)MIN (age_ms, UINT32_MAX);
}

static gateway_peers_progress_t
get_progress (void *context)
{
  gateway_store_t *store = context;

  return (gateway_peers_progress_t){
    .routing_next = stream_follower_next (store->followers[STREAM_ROUTING]),
    .engines_next = stream_follower_next (store->followers[STREAM_ENGINES]),
    .routers_next = stream_follower_next (store->followers[STREAM_ROUTERS]),
    .store_age_ms = gateway_store_contact_age_ms (store)
  };
}

static void
on_peer_origins (const xch_origins_message *message, void *context)
{
  gateway_store_t *store = context;

  if (store->options.on_origins)
    store->options.on_origins (message, store->options.context);
}

static void
on_peer_parts (const xch_parts_message *message, void *context)
{
  gateway_store_t *store = context;

  if (store->options.on_parts)
    store->options.on_parts (message, store->options.context);
}

static void
on_peer_load (const load_report_t *item, void *context)
{
  gateway_store_t *store = context;

  store->options.on_load (item, store->options.context);
}

static uint32_t
list_requests (uint64_t own_hash, fleet_requests_told_t *out, uint32_t want, void *context)
{
  const gateway_store_t *store = context;

  if (!store->options.list_requests)
    return 0;
  return store->options.list_requests (own_hash, out, want, store->options.context);
}

static void
on_peer_requests (const fleet_requests_told_t *told, void *context)
{
  gateway_store_t *store = context;

  if (store->options.on_requests)
    store->options.on_requests (told, store->options.context);
}

static void
update_streams (gateway_store_t *store)
{
  for (uint32_t i = 0; i < STREAM_COUNT; i++)
    update_reading (store, i);
  gateway_store_fetch_if_due (store);
}

static void
on_peer_progress (const gateway_peers_progress_t *theirs, const address_t *control, void *context)
{
  gateway_store_t *store = context;
  gateway_peers_progress_t ours = get_progress (store);
  uint64_t at_us = gateway_store_now_us (store);
  uint64_t age_us = (uint64_t)theirs->store_age_ms * CLOCK_US_PER_MS;
  uint64_t store_us = age_us < at_us ? at_us - age_us : 0;

  store->peers_current_us = MAX (store->peers_current_us, store_us);
  store_outage_record_contact (&store->outage, store_us, min_outage_us (store));
  read_policy_apply_peer (&store->policies[STREAM_ROUTING], at_us, theirs->routing_next,
                          ours.routing_next, store_us);
  read_policy_apply_peer (&store->policies[STREAM_ENGINES], at_us, theirs->engines_next,
                          ours.engines_next, store_us);
  read_policy_apply_peer (&store->policies[STREAM_ROUTERS], at_us, theirs->routers_next,
                          ours.routers_next, store_us);
  if (position_is_before (ours.routing_next, theirs->routing_next) ||
      position_is_before (ours.engines_next, theirs->engines_next) ||
      position_is_before (ours.routers_next, theirs->routers_next))
    store->ahead_control = *control;
  update_streams (store);
}

void
gateway_store_tick (gateway_store_t *store)
{
  gateway_peers_poll (store->peers);
  record_store_contact (store);
  gateway_store_advance_restorations (store);
  gateway_start_advance (store->start);
  update_streams (store);
  own_entry_write_if_due (store->own_entry);
}

static uint32_t
read_interval_ms (const gateway_store_t *store, uint32_t stream)
{
  const settings_t *settings = store->options.settings;

  if (stream == STREAM_ROUTING)
    return settings->version_ms * GATEWAY_STORE_ROUTING_INTERVAL_PERCENT / 100;
  if (stream == STREAM_ENGINES)
    return settings->drain_ms * GATEWAY_STORE_ENGINES_INTERVAL_PERCENT / 100;
  return GATEWAY_STORE_ROUTERS_INTERVAL_MS;
}

static void
follow_stream (gateway_store_t *store,
               uint32_t stream,
               uint32_t wait_ms,
               keyed_view_visit_t changed,
               keyed_view_compare_t compare,
               void (*on_state) (stream_follower_state_t state, void *context))
{
  store->views[stream] = keyed_view_new (changed, store, compare, &store->options.order);
  store->followers[stream] = stream_follower_new (&(stream_follower_options_t){
      .base = store->options.base,
      .clock = store->options.clock,
      .counters = store->options.counters,
      .platform = store->options.platform,
      .stream = gateway_store_stream_names[stream],
      .view = store->views[stream],
      .wait_ms = wait_ms,
      .pace_ms = read_interval_ms (store, stream),
      .latest_only = stream == STREAM_ROUTING,
      .value_bytes_max = stream == STREAM_ROUTING ? 0 : GATEWAY_STORE_ENTRY_MAX_BYTES,
      .start_suspended = true,
      .seed = store->options.incarnation + stream,
      .on_event = on_state,
      .context = store });
}

/* With a short renewal interval, entries expire in a short outage already; reads must wait less
 * than that, or such an outage would go unnoticed. */
static uint32_t
poll_wait_ms (const gateway_store_t *store)
{
  return (uint32_t)MIN (GATEWAY_STORE_READ_WAIT_MS, min_outage_us (store) / 2 / CLOCK_US_PER_MS);
}

gateway_store_t *
gateway_store_new (const gateway_store_options_t *options, GError **error)
{
  gateway_store_t *store = g_new0 (gateway_store_t, 1);
  g_autofree char *entry = NULL;

  store->options = *options;
  store->fetch_count = counter_get (options->counters, "medlarplank_views_from_peers_total",
                                    "Times that records of the store were taken from a peer");
  store->held_gauge = counter_get (options->counters, "medlarplank_store_kept_records",
                                   "Records kept from before the store came back from a copy");
  store->fetch = gateway_fetch_new (
      &(gateway_fetch_options_t){ .base = options->base,
                                  .clock = options->clock,
                                  .fleet_key = options->settings->fleet_key,
                                  .control_address = &options->settings->control_listen,
                                  .on_finished = gateway_store_on_fetched,
                                  .context = store });
  store->start = gateway_start_new (
      &(gateway_start_options_t){ .clock = options->clock,
                                  .settings = options->settings,
                                  .seed = options->incarnation,
                                  .has_all_streams = gateway_store_start_has_all_streams,
                                  .is_store_down = gateway_store_start_is_store_down,
                                  .is_fetching = gateway_store_start_is_fetching,
                                  .read_store = gateway_store_start_read_store,
                                  .pick_peer = gateway_store_start_pick_peer,
                                  .fetch_all = gateway_store_start_fetch_all,
                                  .context = store });
  follow_stream (store, STREAM_ROUTING, poll_wait_ms (store), on_routing,
                 record_order_compare_routing, on_routing_state);
  follow_stream (store, STREAM_ENGINES, poll_wait_ms (store), on_engine,
                 record_order_compare_engines, on_engines_state);
  follow_stream (store, STREAM_ROUTERS, GATEWAY_STORE_ROUTERS_READ_WAIT_MS, on_router, NULL,
                 on_routers_state);
  store->peers = gateway_peers_new (&(gateway_peers_options_t){ .base = options->base,
                                                                .clock = options->clock,
                                                                .counters = options->counters,
                                                                .settings = options->settings,
                                                                .incarnation = options->incarnation,
                                                                .crashes = options->crashes,
                                                                .get_progress = get_progress,
                                                                .on_progress = on_peer_progress,
                                                                .list_requests = list_requests,
                                                                .on_load = on_peer_load,
                                                                .on_requests = on_peer_requests,
                                                                .on_origins = on_peer_origins,
                                                                .on_parts = on_peer_parts,
                                                                .context = store },
                                    error);
  if (!store->peers)
    {
      gateway_store_free (store);
      return NULL;
    }
  entry = gateway_peers_format_own_entry (store->peers);
  store->own_entry = own_entry_new (&(own_entry_options_t){
      .clock = options->clock,
      .counters = options->counters,
      .platform = options->platform,
      .name = options->settings->name,
      .value = entry,
      .view = store->views[STREAM_ROUTERS],
      .follower = store->followers[STREAM_ROUTERS],
      .seed = options->incarnation ^ g_str_hash (options->settings->name) });
  gateway_start_advance (store->start);
  return store;
}

void
gateway_store_free (gateway_store_t *store)
{
  store->options.platform->free (store->options.platform);
  gateway_fetch_free (store->fetch);
  if (store->peers)
    gateway_peers_free (store->peers);
  for (uint32_t i = 0; i < STREAM_COUNT; i++)
    {
      stream_follower_free (store->followers[i]);
      keyed_view_free (store->views[i]);
    }
  gateway_start_free (store->start);
  own_entry_free (store->own_entry);
  g_free (store);
}

bool
gateway_store_has_routing (const gateway_store_t *store)
{
  return stream_follower_has_listed (store->followers[STREAM_ROUTING]);
}

uint32_t
gateway_store_count_registered (const gateway_store_t *store)
{
  return gateway_peers_count_registered (
      store->peers, stream_follower_has_listed (store->followers[STREAM_ROUTERS]));
}

bool
gateway_store_has_engines (const gateway_store_t *store)
{
  return stream_follower_has_listed (store->followers[STREAM_ENGINES]);
}

bool
gateway_store_is_current (const gateway_store_t *store)
{
  uint64_t at_us = gateway_store_current_as_of_us (store);

  return at_us != 0 && gateway_store_now_us (store) - at_us <
                           (uint64_t)GATEWAY_STORE_CURRENT_MS * CLOCK_US_PER_MS;
}

gateway_peers_t *
gateway_store_peers (const gateway_store_t *store)
{
  return store->peers;
}

uint32_t
gateway_store_count_running (const gateway_store_t *store)
{
  return gateway_peers_count_running (store->peers);
}

bool
gateway_store_is_new (const gateway_store_t *store)
{
  return own_entry_is_new (store->own_entry);
}

bool
gateway_store_may_decide (const gateway_store_t *store)
{
  return gateway_store_is_current (store) && has_own_entry (store);
}

uint32_t
gateway_store_rank (const gateway_store_t *store)
{
  return gateway_peers_count_ranked_before (store->peers);
}

bool
gateway_store_has_routers (const gateway_store_t *store)
{
  return stream_follower_has_listed (store->followers[STREAM_ROUTERS]);
}

bool
gateway_store_hears_most (const gateway_store_t *store)
{
  return gateway_peers_hears_most (store->peers);
}

/** struct listing - gateways that are being listed */
typedef struct
{
  const gateway_store_t *store;
  uint64_t within_us;
  GPtrArray *names;
} listing_t;

static void
add_gateway (
    const char *key, const char *value, size_t value_bytes, position_t position, void *context)
{
  listing_t *listing = context;

  (void)value_bytes;
  (void)position;
  if (value && !g_str_has_prefix (key, PLATFORM_KEY_SHARES_PREFIX) &&
      gateway_peers_may_have_served (listing->store->peers, key, listing->within_us))
    g_ptr_array_add (listing->names, g_strdup (key));
}

GPtrArray *
gateway_store_list_gateways (const gateway_store_t *store, uint64_t within_us)
{
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);

  keyed_view_visit_since (store->views[STREAM_ROUTERS], (position_t){ 0 }, add_gateway,
                          &(listing_t){ .store = store, .within_us = within_us, .names = names });
  return names;
}

bool
gateway_store_has_listed_gateways (const gateway_store_t *store)
{
  return keyed_view_listed (store->views[STREAM_ROUTERS]).era == gateway_store_era (store);
}

/** struct entry_count - counts entries of gateways that are not of @era */
typedef struct
{
  uint64_t era;
  uint32_t count;
} entry_count_t;

static void
count_entry (
    const char *key, const char *value, size_t value_bytes, position_t position, void *context)
{
  entry_count_t *entries = context;

  (void)value_bytes;
  if (value && position.era < entries->era && !g_str_has_prefix (key, PLATFORM_KEY_SHARES_PREFIX))
    entries->count++;
}

bool
gateway_store_lacks_gateways (const gateway_store_t *store)
{
  const keyed_view_t *view = store->views[STREAM_ROUTERS];
  entry_count_t entries = { .era = keyed_view_listed (view).era };

  keyed_view_visit_since (view, (position_t){ 0 }, count_entry, &entries);
  return entries.count > 0;
}

const char *
gateway_store_get_shares (const gateway_store_t *store,
                          const char *service,
                          size_t *bytes,
                          position_t *position)
{
  g_autofree char *key = g_strconcat (PLATFORM_KEY_SHARES_PREFIX, service, NULL);

  return keyed_view_get (store->views[STREAM_ROUTERS], key, bytes, position);
}

bool
gateway_store_has_shares (const gateway_store_t *store, const char *service, const char *text)
{
  g_autofree char *key = g_strconcat (PLATFORM_KEY_SHARES_PREFIX, service, NULL);

  return keyed_view_has_in_era (store->views[STREAM_ROUTERS], key, text, strlen (text));
}

void
gateway_store_send_news (gateway_store_t *store)
{
  gateway_peers_send_news (store->peers);
}

void
gateway_store_tell_crashes (gateway_store_t *store)
{
  gateway_peers_tell_crashes (store->peers);
}

void
gateway_store_add_load (gateway_store_t *store, const load_report_t *item)
{
  gateway_peers_add_load (store->peers, item);
}
