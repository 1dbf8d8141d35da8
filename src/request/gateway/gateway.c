#include "request/gateway/gateway_private.h"

#include "base/log.h"

#include <string.h>
#include <xxhash.h>

uint64_t
gwy_now_us (const gwy_t *gwy)
{
  return clk_now_us (gwy->options.clk);
}

static void
service_free (gpointer data)
{
  gwy_service_t *service = data;

  wait_queue_free (service->queue);
  lat_free (service->wait_histogram);
  lat_free (service->head_histogram);
  lat_free (service->answer_histogram);
  lat_free (service->failure_histogram);
  g_free (service);
}

/* The name becomes a label value in the text of the metrics, so characters that would end it there
 * are replaced. */
static void
make_histograms (gwy_t *gwy, gwy_service_t *service)
{
  cnt_set_t *set = gwy->options.counters;
  bool own = g_hash_table_size (gwy->services) < GWY_HISTOGRAMS;
  g_autofree char *name = g_strdup (own ? service->name : "other");
  g_autofree char *labels =
      g_strdup_printf ("service=\"%s\"", g_strdelimit (name, "\"\\\n{},", '_'));

  service->wait_histogram = lat_new (set, "medlarplank_gateway_wait_ms", labels,
                                     "From a request's arrival until it was first sent");
  service->head_histogram = lat_new (set, "medlarplank_gateway_head_ms", labels,
                                     "From a send until the head of its answer");
  service->answer_histogram = lat_new (set, "medlarplank_gateway_answer_ms", labels,
                                       "From a request's arrival until its answer was whole");
  service->failure_histogram =
      lat_new (set, "medlarplank_gateway_failure_ms", labels,
               "From a request's arrival until it was refused or had failed");
}

gwy_service_t *
gwy_service (gwy_t *gwy, const char *name)
{
  gwy_service_t *service = g_hash_table_lookup (gwy->services, name);

  if (service)
    return service;
  service = g_new0 (gwy_service_t, 1);
  service->gwy = gwy;
  service->name = name;
  service->queue = wait_queue_new ();
  retry_budget_init (&service->retries, gwy->started_us);
  make_histograms (gwy, service);
  g_hash_table_insert (gwy->services, (gpointer)name, service);
  return service;
}

gwy_usual_t *
gwy_usual (gwy_t *gwy, const rte_route_t *route)
{
  uint64_t hash = XXH64 (route->name, strlen (route->name), 0);
  gwy_usual_t *usual = &gwy->route_stats[hash % GWY_ROUTES];

  if (usual->route_hash != hash)
    *usual = (gwy_usual_t){ .route_hash = hash };
  return usual;
}

static void
dispatch_all (gwy_t *gwy)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, gwy->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gwy_wait_pump (value);
      gwy_wait_expire (value);
    }
}

static void
check_silent_hops (gwy_t *gwy)
{
  g_autoptr (GList) calls = g_hash_table_get_keys (gwy->calls);

  for (GList *link = calls; link; link = link->next)
    if (g_hash_table_contains (gwy->calls, link->data))
      gwy_hop_watch (link->data);
}

static void
mark_suspects (gwy_t *gwy)
{
  uint64_t now_us = gwy_now_us (gwy);
  crash_watch_loss_t loss;
  suspect_mark_t mark;

  while (crash_watch_take (&gwy->crashes, now_us, &loss))
    {
      if (recent_answers_contain (gwy->served, now_us, loss.fingerprint) ||
          !suspect_add_crash (gwy->suspects, now_us, loss.fingerprint, loss.engine_hash) ||
          !suspect_get_mark (gwy->suspects, now_us, loss.fingerprint, &mark))
        continue;
      log_event (LOG_LEVEL_WARNING, "suspect", "fingerprint", LOG_HEX (loss.fingerprint), "engine",
                 LOG_HEX (loss.engine_hash), "age_ms",
                 LOG_U64 ((now_us - loss.lost_us) / CLK_US_PER_MS), NULL);
      gwy->options.suspected (&mark, gwy->options.context);
    }
}

static void
on_tick (evutil_socket_t fd, short what, void *context)
{
  gwy_t *gwy = context;

  (void)fd;
  (void)what;
  dispatch_all (gwy);
  if (++gwy->ticks % GWY_WATCH_TICKS != 0)
    return;
  check_silent_hops (gwy);
  mark_suspects (gwy);
}

static void
announce_cleared (gwy_t *gwy, uint64_t fingerprint)
{
  suspect_mark_t cleared = { .fingerprint = fingerprint };

  log_event (LOG_LEVEL_INFO, "cleared", "fingerprint", LOG_HEX (fingerprint), NULL);
  gwy->options.suspected (&cleared, gwy->options.context);
}

void
gwy_heard_load (gwy_t *gwy, const load_report_t *item)
{
  engine_t *engine = engines_find_by_hash (gwy->options.engines, item->engine_hash);

  if (engine)
    engine_note_peer_load (engine, item->told_us, item->load);
}

void
gwy_heard_suspect (gwy_t *gwy, const suspect_mark_t *mark)
{
  uint64_t now_us = gwy_now_us (gwy);

  if (suspect_mark_is_cleared (mark) ||
      !recent_answers_contain (gwy->served, now_us, mark->fingerprint))
    suspect_merge_mark (gwy->suspects, now_us, mark);
  else
    announce_cleared (gwy, mark->fingerprint);
}

/* The gateway that marked the request has perhaps not served it, and would refuse it until its mark
 * expires; so the others are told that it is cleared. */
void
gwy_served (gwy_t *gwy, uint64_t fingerprint)
{
  recent_answers_add (gwy->served, gwy_now_us (gwy), fingerprint);
  if (suspect_clear (gwy->suspects, fingerprint))
    announce_cleared (gwy, fingerprint);
}

static void
register_counters (gwy_t *gwy)
{
  cnt_set_t *set = gwy->options.counters;

  gwy->answered = cnt_get (set, "medlarplank_gateway_answered_total", "Requests answered");
  gwy->refused = cnt_get (set, "medlarplank_gateway_refused_total", "Requests refused, not run");
  gwy->failed =
      cnt_get (set, "medlarplank_gateway_failed_total", "Requests that failed or were cut");
  gwy->retried = cnt_get (set, "medlarplank_gateway_retried_total", "Sends to another engine");
  gwy->resumed =
      cnt_get (set, "medlarplank_gateway_resumed_total", "Streams that went on elsewhere");
  gwy->gone = cnt_get (set, "medlarplank_gateway_gone_total", "Requests whose caller left");
  gwy->waited =
      cnt_get (set, "medlarplank_gateway_waited_total", "Times that requests waited for room");
}

gwy_t *
gwy_new (const gwy_options_t *options, GError **error)
{
  gwy_t *gwy = g_new0 (gwy_t, 1);
  const set_t *set = options->set;
  struct timeval tick = { 0, GWY_WAIT_TICK_MS * 1000 };

  gwy->options = *options;
  gwy->name_hash = XXH64 (set->name, strlen (set->name), 0);
  gwy->started_us = gwy_now_us (gwy);
  gwy->routers = 1;
  gwy->suspects = suspect_new (GWY_SUSPECTS, GWY_SUSPECT_US);
  gwy->served = recent_answers_new (GWY_PROVEN, GWY_PROVEN_US);
  gwy->cache_warm = recent_answers_new (GWY_WARM, GWY_WARM_US);
  gwy->services = g_hash_table_new_full (NULL, NULL, NULL, service_free);
  gwy->calls = g_hash_table_new (NULL, NULL);
  register_counters (gwy);
  gwy->upstreams = hcl_new (options->base, GWY_IDLE_CONNECTIONS, GWY_IDLE_TIMEOUT_MS);
  hcl_set_connect_limit (gwy->upstreams, GWY_CONNECT_MS);
  gwy->tick_timer = event_new (options->base, -1, EV_PERSIST, on_tick, gwy);
  event_add (gwy->tick_timer, &tick);
  gwy->listener = hsv_new (&(hsv_options_t){ .base = options->base,
                                             .counters = options->counters,
                                             .listen = set->listen,
                                             .body_limit_bytes = set->body_limit_bytes,
                                             .header_limit_bytes = set->header_limit_bytes,
                                             .header_limit_count = set->header_limit_count,
                                             .connection_limit = set->connection_limit,
                                             .idle_timeout_ms = set->idle_timeout_ms,
                                             .on_call = gwy_accept,
                                             .context = gwy },
                           error);
  if (gwy->listener)
    return gwy;
  gwy_free (gwy);
  return NULL;
}

static void
cancel_calls (gwy_t *gwy)
{
  GList *calls = g_hash_table_get_keys (gwy->calls);

  for (GList *link = calls; link; link = link->next)
    {
      gwy_call_t *call = link->data;

      gwy_wait_remove (call);
      gwy_hop_drop (call);
      gwy_call_free (call);
    }
  g_list_free (calls);
}

void
gwy_free (gwy_t *gwy)
{
  if (gwy->listener)
    hsv_free (gwy->listener);
  cancel_calls (gwy);
  hcl_free (gwy->upstreams);
  event_free (gwy->tick_timer);
  recent_answers_free (gwy->served);
  recent_answers_free (gwy->cache_warm);
  suspect_free (gwy->suspects);
  g_hash_table_destroy (gwy->services);
  g_hash_table_destroy (gwy->calls);
  if (gwy->table)
    rte_unref (gwy->table);
  g_free (gwy);
}

void
gwy_set_table (gwy_t *gwy, rte_t *table)
{
  const rte_limits_t *limits = rte_limits (table);

  if (gwy->table)
    rte_unref (gwy->table);
  gwy->table = rte_ref (table);
  hsv_configure (gwy->listener, limits->body_bytes, limits->header_bytes, limits->header_timeout_ms,
                 limits->idle_timeout_ms);
}

void
gwy_set_certain (gwy_t *gwy, bool certain)
{
  gwy->config_current = certain;
}

void
gwy_set_routers (gwy_t *gwy, uint32_t routers, uint32_t known)
{
  gwy->routers = MAX (routers, 1U);
  gwy->known_routers = known;
}

/*
 * When the network to an engine is cut while it crashes and restarts under the same id, its
 * connections show no error, and clients would wait until their deadlines for requests that are
 * lost. The registry shows the restart, so the requests are given up here.
 */
void
gwy_engine_restarted (gwy_t *gwy, uint64_t hash, const set_address_t *address)
{
  g_autoptr (GList) calls = g_hash_table_get_keys (gwy->calls);

  crash_watch_note_down (&gwy->crashes, gwy_now_us (gwy), hash);
  hcl_forget (gwy->upstreams, address);
  for (GList *link = calls; link; link = link->next)
    if (g_hash_table_contains (gwy->calls, link->data))
      gwy_hop_restarted (link->data, hash);
}

void
gwy_engines_changed (gwy_t *gwy)
{
  dispatch_all (gwy);
}

void
gwy_hold (gwy_t *gwy)
{
  hsv_hold (gwy->listener);
}

void
gwy_release (gwy_t *gwy)
{
  hsv_release (gwy->listener);
}

void
gwy_say_close (gwy_t *gwy)
{
  hsv_say_close (gwy->listener);
}

void
gwy_stop (gwy_t *gwy)
{
  gwy->stopping = true;
  hsv_stop (gwy->listener);
}

uint32_t
gwy_busy (const gwy_t *gwy)
{
  return hsv_busy (gwy->listener) + g_hash_table_size (gwy->calls);
}

uint16_t
gwy_port (const gwy_t *gwy)
{
  return hsv_port (gwy->listener);
}
