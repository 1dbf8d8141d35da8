#include "process/gateway_process.h"

#include "connection/http_server.h"
#include "process/gateway_store.h"
#include "base/log.h"
#include "request/gateway/gateway.h"
#include "request/policy/lapses.h"

#include <string.h>

#define ADMIN_BODY_LIMIT_BYTES 4096
#define ADMIN_HEADER_LIMIT_BYTES 8192
#define ADMIN_HEADER_LIMIT_COUNT 32
#define ADMIN_CONNECTION_LIMIT 64
#define ADMIN_IDLE_TIMEOUT_MS 15000
#define STALL_MS 150 /* a tick so late is told: events of streams have stood as long */

/**
 * struct gwp - a gateway
 * @lapsed: engines whose entry went while the store could not be read, perhaps since it was out
 * @held_until_us: callers are taken no later, though it is not ready; 0 when they are taken
 * @stop_us: when a stop signal came, 0 before
 */
struct gwp
{
  gwp_options_t options;
  egs_t *engines;
  gwy_t *gwy;
  gst_t *store;
  hsv_t *ready;
  hsv_t *control;
  rte_t *table;
  lapses_t *lapsed;
  struct event *tick;
  uint64_t held_until_us;
  uint64_t stop_us;
  bool was_ready;
  uint64_t ticked_us;
  cnt_t *stalls;
  cnt_t *version;
  cnt_t *engine_count;
  cnt_t *lapsed_count;
  cnt_t *drained_count;
  cnt_t *gateway_count;
};

static uint64_t
now_us (const gwp_t *gwp)
{
  return clk_now_us (gwp->options.clk);
}

bool
gwp_is_ready (const gwp_t *gwp)
{
  return gwp->table && gwp->store && gst_has_routing (gwp->store) && gst_has_engines (gwp->store) &&
         gwp->stop_us == 0;
}

static void
turn_hold (gwp_t *gwp)
{
  if (gwp->held_until_us == 0 || (!gwp_is_ready (gwp) && now_us (gwp) < gwp->held_until_us))
    return;
  gwp->held_until_us = 0;
  gwy_release (gwp->gwy);
}

static void
note_ready (gwp_t *gwp)
{
  bool ready = gwp_is_ready (gwp);

  turn_hold (gwp);

  if (ready == gwp->was_ready)
    return;
  gwp->was_ready = ready;
  log_event (LOG_LEVEL_NOTICE, ready ? "ready" : "not_ready", "version",
             LOG_U64 (gwp->table ? rte_version (gwp->table) : 0), "engines",
             LOG_U64 (egs_count (gwp->engines)), NULL);
}

/* A version only rises: an older one that the store tells late is not put in force again. */
static void
on_routing (const char *value, size_t value_bytes, uint64_t offset, void *context)
{
  gwp_t *gwp = context;
  uint64_t held = gwp->table ? rte_version (gwp->table) : 0;
  GError *error = NULL;
  rte_t *table;

  table = gwp->options.readers.routing (value, value_bytes, gwp->table, &error);
  if (!table)
    {
      log_event (LOG_LEVEL_ERROR, "version_unreadable", "offset", LOG_U64 (offset), "in_force",
                 LOG_U64 (held), "error", error->message, NULL);
      g_error_free (error);
      return;
    }
  if (rte_version (table) > held)
    {
      log_event (LOG_LEVEL_NOTICE, "version", "version", LOG_U64 (rte_version (table)), "before",
                 LOG_U64 (held), "routes", LOG_U64 (rte_route_count (table)), "offset",
                 LOG_U64 (offset), NULL);
      if (gwp->table)
        rte_unref (gwp->table);
      gwp->table = rte_ref (table);
      gwy_set_table (gwp->gwy, table);
      cnt_set_value (gwp->version, rte_version (table));
      gst_tell_news (gwp->store);
    }
  rte_unref (table);
}

static void
on_drain (const char *data_center, bool drained, uint64_t offset, void *context)
{
  gwp_t *gwp = context;

  if (!egs_set_drained (gwp->engines, now_us (gwp), data_center, drained))
    return;
  log_event (LOG_LEVEL_NOTICE, "data_center", "data_center", data_center, "state",
             drained ? "drained" : "taken_back", "offset", LOG_U64 (offset), "engines",
             LOG_U64 (egs_count_in (gwp->engines, data_center)), NULL);
  cnt_set_value (gwp->drained_count, egs_drained_count (gwp->engines));
  gst_tell_news (gwp->store);
  gwy_engines_changed (gwp->gwy);
}

static void
log_engine (const gwp_t *gwp, const char *id, const char *state, uint64_t offset)
{
  log_event (LOG_LEVEL_NOTICE, "engine", "engine", id, "state", state, "offset", LOG_U64 (offset),
             "engines", LOG_U64 (egs_count (gwp->engines)), NULL);
}

static void
count_engines (gwp_t *gwp)
{
  cnt_set_value (gwp->engine_count, egs_count (gwp->engines));
  cnt_set_value (gwp->lapsed_count, lapses_count (gwp->lapsed));
}

static void
remove_engine (gwp_t *gwp, const char *id, uint64_t offset)
{
  if (!egs_find (gwp->engines, id))
    return;
  egs_gone (gwp->engines, id);
  count_engines (gwp);
  log_engine (gwp, id, "gone", offset);
  gst_tell_news (gwp->store);
  gwy_engines_changed (gwp->gwy);
}

/* Another writer may have left it; whatever the engine was before, the store no longer says so. */
static void
refuse_entry (gwp_t *gwp, const char *id, uint64_t offset, GError *error)
{
  log_event (LOG_LEVEL_ERROR, "engine_unreadable", "engine", id, "offset", LOG_U64 (offset),
             "error", error->message, NULL);
  g_error_free (error);
  lapses_remove (gwp->lapsed, id);
  remove_engine (gwp, id, offset);
}

/** struct former - what was known under an id before an entry came; @state EGN_GONE when nothing
 * was */
typedef struct
{
  egn_state_t state;
  uint64_t hash;
  set_address_t address;
} former_t;

static former_t
former_of (const gwp_t *gwp, const char *id)
{
  const egn_t *egn = egs_find (gwp->engines, id);

  if (!egn)
    return (former_t){ .state = EGN_GONE };
  return (former_t){ egn->entry.state, egn->hash, egn->entry.address };
}

static void
put_engine (gwp_t *gwp, const char *id, const char *value, size_t value_bytes, uint64_t offset)
{
  former_t former = former_of (gwp, id);
  egn_entry_t entry;
  const egn_t *engine;
  GError *error = NULL;

  if (!gwp->options.readers.engine (&entry, id, value, value_bytes, &error))
    {
      refuse_entry (gwp, id, offset, error);
      return;
    }
  lapses_remove (gwp->lapsed, id);
  entry.region = g_intern_string (rgn_of (&gwp->options.set->regions, entry.data_center));
  engine = egs_put (gwp->engines, now_us (gwp), &entry);
  if (former.state != EGN_GONE && engine->hash != former.hash)
    {
      log_engine (gwp, id, "restarted", offset);
      gwy_engine_restarted (gwp->gwy, former.hash, &former.address);
      former.state = EGN_GONE;
    }
  if (engine->entry.state == former.state)
    return;
  log_engine (gwp, id, engine->entry.state == EGN_READY ? "ready" : "leaving", offset);
  gst_tell_news (gwp->store);
  gwy_engines_changed (gwp->gwy);
}

/*
 * While the store is out, entries lapse of engines that live. Taken for gone, they would leave a
 * service without engines for the two seconds until they are back. An entry that goes while the
 * store is read is gone at once: its engine may take nothing more.
 */
static void
on_engine (const char *id,
           const char *text,
           size_t text_bytes,
           uint64_t offset,
           bool may_have_lapsed,
           void *context)
{
  gwp_t *gwp = context;
  uint64_t due_us = now_us (gwp) + (uint64_t)GWP_LAPSE_MS * CLK_US_PER_MS;

  if (text)
    put_engine (gwp, id, text, text_bytes, offset);
  else if (may_have_lapsed && egs_find (gwp->engines, id))
    {
      log_engine (gwp, id, "perhaps_lapsed", offset);
      lapses_add (gwp->lapsed, id, due_us);
      egs_lapsed (gwp->engines, id);
    }
  else
    remove_engine (gwp, id, offset);
  count_engines (gwp);
}

static void
on_told (void *context)
{
  gwp_t *gwp = context;

  if (gwp->store && gst_has_engines (gwp->store))
    egs_set_complete (gwp->engines);
  if (gwp->gwy)
    gwy_set_certain (gwp->gwy, gst_is_certain (gwp->store));
  note_ready (gwp);
}

static void
on_peers_suspect (const sus_mark_t *mark, void *context)
{
  gwp_t *gwp = context;

  if (gwp->gwy)
    gwy_heard_suspect (gwp->gwy, mark);
}

static void
on_peers_load (const lnw_item_t *item, void *context)
{
  gwp_t *gwp = context;

  if (gwp->gwy)
    gwy_heard_load (gwp->gwy, item);
}

static void
on_own_load (const lnw_item_t *item, void *context)
{
  gwp_t *gwp = context;

  gst_add_load (gwp->store, item);
}

static void
on_own_suspect (const sus_mark_t *mark, void *context)
{
  gwp_t *gwp = context;

  gst_add_suspect (gwp->store, mark);
}

static uint64_t
version (void *context)
{
  const gwp_t *gwp = context;

  return gwp->table ? rte_version (gwp->table) : 0;
}

static void
end_lapsed (gwp_t *gwp)
{
  char *id;

  while ((id = lapses_take_due (gwp->lapsed, now_us (gwp))))
    {
      remove_engine (gwp, id, 0);
      g_free (id);
    }
}

static void
turn_stop (gwp_t *gwp)
{
  uint64_t since_ms;

  if (gwp->stop_us == 0)
    return;
  since_ms = (now_us (gwp) - gwp->stop_us) / CLK_US_PER_MS;
  if (since_ms < GWP_LISTEN_ON_MS)
    return;
  gwy_stop (gwp->gwy);
  if (gwy_busy (gwp->gwy) > 0 && since_ms + GWP_EXIT_MARGIN_MS < gwp->options.set->grace_ms)
    return;
  event_base_loopexit (gwp->options.base, NULL);
}

/* A host that is slow, frozen or out of processor time shows here first, before requests are late.
 */
static void
note_stall (gwp_t *gwp)
{
  uint64_t at_us = now_us (gwp);
  uint64_t late_ms = gwp->ticked_us ? (at_us - gwp->ticked_us) / CLK_US_PER_MS : 0;

  gwp->ticked_us = at_us;
  if (late_ms < GWP_TICK_MS + STALL_MS)
    return;
  cnt_add (gwp->stalls, 1);
  log_event (LOG_LEVEL_WARNING, "stalled", "ms", LOG_U64 (late_ms - GWP_TICK_MS), NULL);
}

static void
on_tick (evutil_socket_t fd, short what, void *context)
{
  gwp_t *gwp = context;

  (void)fd;
  (void)what;
  note_stall (gwp);
  end_lapsed (gwp);
  turn_hold (gwp);
  gst_turn (gwp->store);
  gwy_set_certain (gwp->gwy, gst_is_certain (gwp->store));
  cnt_set_value (gwp->gateway_count, gst_known_routers (gwp->store));
  gwy_set_routers (gwp->gwy, gst_routers (gwp->store), gst_known_routers (gwp->store));
  turn_stop (gwp);
  log_flush ();
}

static void
on_ready_call (hsv_call_t *call, void *context)
{
  const gwp_t *gwp = context;

  if (strcmp (hsv_path (call), "/readyz") == 0)
    hsv_reply_text (call, gwp_is_ready (gwp) ? 200 : 503, "text/plain",
                    gwp_is_ready (gwp) ? "ready\n" : "not ready\n");
  else
    hsv_reply_text (call, 404, "text/plain", "no such path\n");
}

static void
on_control_call (hsv_call_t *call, void *context)
{
  gwp_t *gwp = context;
  GString *text;

  if (gst_answer (gwp->store, call, lapses_count (gwp->lapsed) == 0))
    return;
  if (strcmp (hsv_path (call), "/metrics") != 0)
    {
      on_ready_call (call, context);
      return;
    }
  text = g_string_new (NULL);
  cnt_write (gwp->options.counters, text);
  hsv_reply_text (call, 200, "text/plain; version=0.0.4", text->str);
  g_string_free (text, TRUE);
}

static hsv_t *
listen_admin (gwp_t *gwp,
              const set_address_t *address,
              void (*on_call) (hsv_call_t *, void *),
              GError **error)
{
  return hsv_new (&(hsv_options_t){ .base = gwp->options.base,
                                    .counters = gwp->options.counters,
                                    .listen = *address,
                                    .body_limit_bytes = ADMIN_BODY_LIMIT_BYTES,
                                    .header_limit_bytes = ADMIN_HEADER_LIMIT_BYTES,
                                    .header_limit_count = ADMIN_HEADER_LIMIT_COUNT,
                                    .connection_limit = ADMIN_CONNECTION_LIMIT,
                                    .idle_timeout_ms = ADMIN_IDLE_TIMEOUT_MS,
                                    .on_call = on_call,
                                    .context = gwp },
                  error);
}

static bool
listen_all (gwp_t *gwp, GError **error)
{
  const set_t *set = gwp->options.set;

  gwp->gwy = gwy_new (&(gwy_options_t){ .base = gwp->options.base,
                                        .clk = gwp->options.clk,
                                        .counters = gwp->options.counters,
                                        .set = set,
                                        .engines = gwp->engines,
                                        .format = gwp->options.format,
                                        .suspected = on_own_suspect,
                                        .high_load = on_own_load,
                                        .context = gwp,
                                        .retries = { .ratio_milli = set->retry_ratio_milli,
                                                     .slack = set->retry_slack_milli / 1000,
                                                     .window_us = (uint64_t)set->retry_window_ms *
                                                                  CLK_US_PER_MS } },
                      error);
  if (gwp->gwy)
    {
      gwy_hold (gwp->gwy);
      gwp->held_until_us = now_us (gwp) + (uint64_t)GWP_HOLD_MS * CLK_US_PER_MS;
    }
  if (gwp->gwy)
    gwp->ready = listen_admin (gwp, &set->ready_listen, on_ready_call, error);
  if (gwp->ready)
    gwp->control = listen_admin (gwp, &set->control_listen, on_control_call, error);
  return gwp->control != NULL;
}

static bool
open_store (gwp_t *gwp, GError **error)
{
  gwp->store = gst_new (&(gst_options_t){ .base = gwp->options.base,
                                          .clk = gwp->options.clk,
                                          .counters = gwp->options.counters,
                                          .set = gwp->options.set,
                                          .plt = gwp->options.plt,
                                          .incarnation = gwp->options.incarnation,
                                          .version = version,
                                          .routing = on_routing,
                                          .drain = on_drain,
                                          .engine = on_engine,
                                          .told = on_told,
                                          .suspect = on_peers_suspect,
                                          .load = on_peers_load,
                                          .context = gwp },
                        error);
  return gwp->store != NULL;
}

gwp_t *
gwp_new (const gwp_options_t *options, GError **error)
{
  gwp_t *gwp = g_new0 (gwp_t, 1);
  struct timeval tick = { 0, GWP_TICK_MS * 1000 };

  gwp->options = *options;
  gwp->engines = egs_new ();
  gwp->lapsed = lapses_new ();
  gwp->stalls = cnt_get (options->counters, "medlarplank_stalls_total",
                         "Times that the process stood still for long");
  gwp->version = cnt_get (options->counters, "medlarplank_version", "Version in force");
  gwp->engine_count = cnt_get (options->counters, "medlarplank_engines", "Engines registered");
  gwp->lapsed_count = cnt_get (options->counters, "medlarplank_lapsed_engines",
                               "Engines whose entries have gone, perhaps in an outage alone");
  gwp->drained_count = cnt_get (options->counters, "medlarplank_drained_data_centers",
                                "Data centres that operators drain");
  gwp->gateway_count =
      cnt_get (options->counters, "medlarplank_gateways",
               "Gateways that are written into the platform's store, this one too");
  gwp->tick = event_new (options->base, -1, EV_PERSIST, on_tick, gwp);
  event_add (gwp->tick, &tick);
  if (open_store (gwp, error) && listen_all (gwp, error))
    return gwp;
  gwp_free (gwp);
  return NULL;
}

void
gwp_free (gwp_t *gwp)
{
  if (gwp->store)
    gst_free (gwp->store);
  if (gwp->gwy)
    gwy_free (gwp->gwy);
  if (gwp->ready)
    hsv_free (gwp->ready);
  if (gwp->control)
    hsv_free (gwp->control);
  if (gwp->table)
    rte_unref (gwp->table);
  egs_free (gwp->engines);
  lapses_free (gwp->lapsed);
  event_free (gwp->tick);
  g_free (gwp);
}

void
gwp_stop (gwp_t *gwp)
{
  if (gwp->stop_us != 0)
    return;
  gwp->stop_us = now_us (gwp);
  gwy_say_close (gwp->gwy);
  note_ready (gwp);
}

uint16_t
gwp_port (const gwp_t *gwp)
{
  return gwy_port (gwp->gwy);
}
