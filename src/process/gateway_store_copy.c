/* Copies and updates of the store that a gateway takes from its peers. */
#include "process/gateway_store_private.h"

#include "base/log.h"

static void
fill_streams (const gateway_store_t *store, view_share_stream_t out[STREAM_COUNT])
{
  for (uint32_t i = 0; i < STREAM_COUNT; i++)
    out[i] = (view_share_stream_t){ .name = gateway_store_stream_names[i],
                                    .view = store->views[i],
                                    .next = stream_follower_next (store->followers[i]),
                                    .max_value_bytes =
                                        i == STREAM_ROUTING ? GATEWAY_STORE_UPDATE_MAX_BYTES : 0 };
}

static void
mark_too_large (gateway_store_t *store, const view_share_answer_t *answer)
{
  for (uint32_t i = 0; i < STREAM_COUNT; i++)
    if (view_share_is_large (answer, gateway_store_stream_names[i]))
      {
        read_policy_fetch_too_large (&store->policies[i]);
        store->fetching[i] = false;
      }
}

static void
apply_answer (gateway_store_t *store, const view_share_answer_t *answer)
{
  view_share_stream_t streams[STREAM_COUNT];

  fill_streams (store, streams);
  store->applying_copy = true;
  store->copy_unsettled = !answer->deletions_confirmed;
  store->copied_engines = view_share_describe (answer, PLATFORM_STREAM_ENGINES);
  for (uint32_t i = 0; i < STREAM_COUNT; i++)
    stream_follower_advance (store->followers[i], view_share_apply (answer, &streams[i]));
  store->applying_copy = false;
  gateway_store_advance_restorations (store);
  mark_too_large (store, answer);
  counter_add (store->fetch_count, 1);
  store->options.on_status (store->options.context);
}

/* Return: why the answer was not applied, NULL when it was */
static const char *
apply_result (gateway_store_t *store, const gateway_fetch_result_t *result)
{
  const char *reason = result->reason;
  view_share_answer_t answer;

  if (!result->body)
    return reason;
  if (view_share_parse (&answer, result->body, result->body_bytes))
    apply_answer (store, &answer);
  else
    reason = "unreadable";
  view_share_clear (&answer);
  return reason;
}

/* Streams that were not fetched are as far behind as before. */
static void
record_fetch_outcome (gateway_store_t *store, bool applied)
{
  for (uint32_t i = 0; i < STREAM_COUNT; i++)
    {
      read_policy_view_t view = gateway_store_policy_view (store, i);

      if (!store->fetching[i])
        continue;
      if (applied)
        read_policy_fetch_ended (&store->policies[i], &view,
                                 stream_follower_next (store->followers[i]));
      else
        read_policy_fetch_failed (&store->policies[i]);
    }
}

/* @engines_from: position up to which this gateway had the registry before */
static void
log_fetch (const gateway_store_t *store,
           const gateway_fetch_result_t *result,
           position_t engines_from,
           const char *reason)
{
  position_t engines_next = stream_follower_next (store->followers[STREAM_ENGINES]);
  g_autofree char *peer = address_to_text (result->peer);

  log_event (LOG_LEVEL_NOTICE, "view_from_peer", "peer", peer, "outcome",
             reason ? "not_taken" : "taken", "reason", reason, "version",
             LOG_U64 (store->options.get_version (store->options.context)), "engines_from",
             LOG_U64 (engines_from.offset), "engines_sent",
             LOG_U64 (reason ? 0 : store->copied_engines.next.offset), "engines_whole",
             !reason && store->copied_engines.whole ? "yes" : "no", "engines_next",
             LOG_U64 (engines_next.offset), "engines_era", LOG_U64 (engines_next.era), NULL);
}

static bool
has_listed_all (const gateway_store_t *store)
{
  for (uint32_t i = 0; i < STREAM_COUNT; i++)
    if (!stream_follower_has_listed (store->followers[i]))
      return false;
  return true;
}

/* After a full copy this gateway is exactly as current as the peer was: its last contact with the
 * store is that of the peer. */
static void
record_full_copy (gateway_store_t *store, uint32_t store_age_ms)
{
  uint64_t at_us = gateway_store_now_us (store);
  uint64_t age_us = (uint64_t)store_age_ms * CLOCK_US_PER_MS;

  for (uint32_t i = 0; i < STREAM_COUNT && age_us < at_us; i++)
    {
      position_t next = stream_follower_next (store->followers[i]);

      read_policy_apply_peer (&store->policies[i], at_us, next, next, at_us - age_us);
    }
}

static void
finish_start_fetch (gateway_store_t *store, const gateway_fetch_result_t *result, bool applied)
{
  if (!gateway_start_is_loading (store->start))
    return;
  if (applied && has_listed_all (store))
    {
      record_full_copy (store, result->store_age_ms);
      gateway_start_fetch_applied (store->start);
    }
  else
    gateway_start_fetch_failed (store->start, result->refusal, &result->referral);
  gateway_start_advance (store->start);
}

void
gateway_store_on_fetched (const gateway_fetch_result_t *result, void *context)
{
  gateway_store_t *store = context;
  position_t engines_from = stream_follower_next (store->followers[STREAM_ENGINES]);
  const char *reason = apply_result (store, result);

  log_fetch (store, result, engines_from, reason);
  if (store->fetching_all)
    {
      store->fetching_all = false;
      finish_start_fetch (store, result, reason == NULL);
    }
  else
    record_fetch_outcome (store, reason == NULL);
}

bool
gateway_store_start_has_all_streams (void *context)
{
  return has_listed_all (context);
}

bool
gateway_store_start_is_store_down (void *context)
{
  return ((const gateway_store_t *)context)->store_lost;
}

bool
gateway_store_start_is_fetching (void *context)
{
  return gateway_fetch_is_busy (((const gateway_store_t *)context)->fetch);
}

void
gateway_store_start_read_store (void *context)
{
  gateway_store_begin_reading_all (context);
}

bool
gateway_store_start_pick_peer (address_t *control, void *context)
{
  return gateway_peers_pick_control (((gateway_store_t *)context)->peers, control);
}

void
gateway_store_start_fetch_all (const address_t *control, void *context)
{
  gateway_store_t *store = context;
  view_share_stream_t streams[STREAM_COUNT];

  fill_streams (store, streams);
  store->fetching_all = true;
  gateway_fetch_all (store->fetch, control, streams, STREAM_COUNT, store->store_lost);
}

static bool
lacks_routing_or_engines (const gateway_store_t *store)
{
  return store->options.get_version (store->options.context) == 0 ||
         !gateway_store_has_engines (store);
}

static bool
should_fetch (const gateway_store_t *store, uint32_t stream)
{
  read_policy_stream_t limits = gateway_store_policy_stream (store, stream);
  read_policy_view_t view = gateway_store_policy_view (store, stream);

  return read_policy_should_ask_peer (&store->policies[stream], &limits, &view,
                                      gateway_store_now_us (store));
}

/* The gateway registry is short, so every fetch includes it. */
static bool
choose_fetched_streams (gateway_store_t *store)
{
  store->fetching[STREAM_ROUTING] = should_fetch (store, STREAM_ROUTING);
  store->fetching[STREAM_ENGINES] = should_fetch (store, STREAM_ENGINES);
  store->fetching[STREAM_ROUTERS] = true;
  return store->fetching[STREAM_ROUTING] || store->fetching[STREAM_ENGINES] ||
         should_fetch (store, STREAM_ROUTERS);
}

/* Asks for records from here on; none is newer, so none is sent. */
static const position_t no_newer_record = { UINT64_MAX, UINT64_MAX };

void
gateway_store_fetch_if_due (gateway_store_t *store)
{
  view_share_stream_t streams[STREAM_COUNT];

  if (gateway_start_is_loading (store->start) || gateway_fetch_is_busy (store->fetch) ||
      gateway_store_now_us (store) < store->next_fetch_us || !choose_fetched_streams (store))
    return;
  fill_streams (store, streams);
  for (uint32_t i = 0; i < STREAM_COUNT; i++)
    if (store->fetching[i])
      read_policy_fetch_started (&store->policies[i], gateway_store_now_us (store));
    else
      streams[i].next = no_newer_record;
  store->next_fetch_us =
      gateway_store_now_us (store) + (uint64_t)GATEWAY_STORE_FETCH_INTERVAL_MS * CLOCK_US_PER_MS;
  gateway_fetch_newer (store->fetch, &store->ahead_control, streams, STREAM_COUNT,
                       store->policies[STREAM_ROUTING].new_records_too_large ||
                           gateway_store_policy_view (store, STREAM_ROUTING).store_call_failed);
}

bool
gateway_store_handle_request (gateway_store_t *store, http_server_call_t *call, bool settled)
{
  view_share_stream_t streams[STREAM_COUNT];
  size_t bytes = 0;
  gateway_fetch_responder_t state = {
    .settled = settled,
    .complete = has_listed_all (store) && !lacks_routing_or_engines (store) &&
                stream_follower_next (store->followers[STREAM_ROUTERS]).offset > 0,
    .store_age_ms = gateway_store_contact_age_ms (store)
  };

  gateway_peers_pick_control (store->peers, &state.referral);
  fill_streams (store, streams);
  for (uint32_t i = 0; i < STREAM_COUNT; i++)
    bytes += keyed_view_bytes_since (streams[i].view, (position_t){ 0 });
  state.too_large = bytes > GATEWAY_STORE_FULL_COPY_MAX_BYTES;
  return gateway_fetch_handle_request (store->fetch, call, streams, STREAM_COUNT, &state);
}
