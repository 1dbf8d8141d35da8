/* What holds after the store came back from a copy. */
#include "process/gateway_store_private.h"

#include "base/log.h"

static restoration_limits_t
restoration_limits (const gateway_store_t *store, uint32_t stream)
{
  const settings_t *settings = store->options.settings;

  if (stream == STREAM_ENGINES)
    return restoration_engine_limits (settings->renewal_ms);
  return stream == STREAM_ROUTING ? restoration_routing_limits (settings->center_drain_ms)
                                  : restoration_other_limits ();
}

static void
log_restoration (const gateway_store_t *store, uint32_t stream, const char *step)
{
  log_event (LOG_LEVEL_NOTICE, "restoration", "stream", gateway_store_stream_names[stream], "step",
             step, "era", LOG_U64 (store->restorations[stream].era), "kept",
             LOG_U64 (keyed_view_held_count (store->views[stream])), "version",
             LOG_U64 (store->options.get_version (store->options.context)), NULL);
}

static void
note_listing (gateway_store_t *store, uint32_t stream)
{
  restoration_limits_t limits = restoration_limits (store, stream);
  uint64_t era = keyed_view_listed (store->views[stream]).era;

  if (!stream_follower_has_listed (store->followers[stream]) ||
      !restoration_note_listing (&store->restorations[stream], gateway_store_now_us (store), era,
                                 &limits))
    return;
  log_restoration (store, stream, "listed");
  if (stream == STREAM_ROUTERS)
    own_entry_check_again (store->own_entry);
}

uint64_t
gateway_store_era (const gateway_store_t *store)
{
  uint64_t era = 0;

  for (uint32_t i = 0; i < STREAM_COUNT; i++)
    era = MAX (era, stream_follower_era (store->followers[i]));
  return era;
}

static void
drop_missing (gateway_store_t *store, uint32_t stream)
{
  store->dropping_missing = true;
  keyed_view_drop_missing (store->views[stream]);
  store->dropping_missing = false;
  log_restoration (store, stream, "missing_dropped");
}

static void
advance_restoration (gateway_store_t *store, uint32_t stream)
{
  restoration_t *restoration = &store->restorations[stream];

  note_listing (store, stream);
  if (!restoration_is_pending (restoration) && store->kept_counts[stream] == 0)
    return;
  if (restoration_take_drop_due (restoration, gateway_store_now_us (store)))
    drop_missing (store, stream);
  if (restoration_take_drains_due (restoration, gateway_store_now_us (store)))
    {
      keyed_view_apply_held (store->views[stream], PLATFORM_KEY_DRAIN_PREFIX, 0);
      log_restoration (store, stream, "drains_applied");
    }
  if (restoration_take_apply_due (restoration, gateway_store_now_us (store)))
    {
      keyed_view_apply_held (store->views[stream], "",
                             stream == STREAM_ENGINES ? RESTORATION_HELD_ENGINE_RENEWALS - 1 : 0);
      log_restoration (store, stream, "held_applied");
    }
  store->kept_counts[stream] = keyed_view_held_count (store->views[stream]);
}

/* An engine that lives renews its entry, so one that is still held then is no delayed write. */
static void
apply_entries_of_live_engines (gateway_store_t *store)
{
  uint64_t now_us = gateway_store_now_us (store);

  if (now_us < store->next_age_us)
    return;
  store->next_age_us = now_us + (uint64_t)store->options.settings->renewal_ms * CLOCK_US_PER_MS;
  keyed_view_age (store->views[STREAM_ENGINES]);
  keyed_view_apply_held (store->views[STREAM_ENGINES], "", RESTORATION_HELD_ENGINE_RENEWALS);
  store->kept_counts[STREAM_ENGINES] = keyed_view_held_count (store->views[STREAM_ENGINES]);
}

/* The era is that of the whole store: what one stream has found holds for the others, whose reads
 * may wait for long. */
void
gateway_store_advance_restorations (gateway_store_t *store)
{
  uint64_t era = gateway_store_era (store);
  uint32_t kept = 0;

  apply_entries_of_live_engines (store);
  for (uint32_t i = 0; i < STREAM_COUNT; i++)
    {
      stream_follower_note_era (store->followers[i], era);
      advance_restoration (store, i);
      kept += store->kept_counts[i];
    }
  counter_set (store->held_gauge, kept);
}
