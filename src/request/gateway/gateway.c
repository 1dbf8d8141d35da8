#include "request/gateway/gateway_private.h"

#include "base/log.h"
#include "connection/socket.h"

#include <string.h>
#include <xxhash.h>

uint64_t
gateway_now_us (const gateway_task_t *gateway)
{
  return clock_now_us (gateway->options.clock);
}

static void
service_free (gpointer data)
{
  gateway_service_t *service = data;

  wait_queue_free (service->queue);
  g_clear_pointer (&service->losses, loss_rate_free);
  latency_free (service->wait_histogram);
  latency_free (service->head_histogram);
  latency_free (service->answer_histogram);
  latency_free (service->failure_histogram);
  g_free (service);
}

/* The name becomes a label value in the text of the metrics, so characters that would end it there
 * are replaced. */
static void
make_histograms (gateway_task_t *gateway, gateway_service_t *service)
{
  counter_registry_t *registry = gateway->options.counters;
  bool own = g_hash_table_size (gateway->services) < GATEWAY_HISTOGRAM_SERVICES_MAX;
  g_autofree char *name = g_strdup (own ? service->name : "other");
  g_autofree char *labels =
      g_strdup_printf ("service=\"%s\"", g_strdelimit (name, "\"\\\n{},", '_'));

  service->wait_histogram = latency_new (registry, "medlarplank_gateway_wait_ms", labels,
                                         "From a request's arrival until it was first sent");
  service->head_histogram = latency_new (registry, "medlarplank_gateway_head_ms", labels,
                                         "From a send until the head of its answer");
  service->answer_histogram = latency_new (registry, "medlarplank_gateway_answer_ms", labels,
                                           "From a request's arrival until its answer was whole");
  service->failure_histogram =
      latency_new (registry, "medlarplank_gateway_failure_ms", labels,
                   "From a request's arrival until it was refused or had failed");
}

gateway_service_t *
gateway_service (gateway_task_t *gateway, const char *name)
{
  gateway_service_t *service = g_hash_table_lookup (gateway->services, name);

  if (service)
    return service;
  service = g_new0 (gateway_service_t, 1);
  service->gateway = gateway;
  service->name = name;
  service->queue = wait_queue_new ();
  retry_budget_init (&service->retries, gateway->started_us);
  make_histograms (gateway, service);
  g_hash_table_insert (gateway->services, (gpointer)name, service);
  return service;
}

gateway_route_stats_t *
gateway_route_stats (gateway_task_t *gateway, const routing_route_t *route)
{
  uint64_t hash = XXH64 (route->name, strlen (route->name), 0);
  gateway_route_stats_t *usual = &gateway->route_stats[hash % GATEWAY_ROUTE_STATS_SLOTS];

  if (usual->route_hash != hash)
    *usual = (gateway_route_stats_t){ .route_hash = hash };
  return usual;
}

static void
dispatch_all (gateway_task_t *gateway)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, gateway->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gateway_queue_dispatch (value);
      gateway_queue_expire (value);
    }
}

static void
check_silent_hops (gateway_task_t *gateway)
{
  g_autoptr (GList) calls = g_hash_table_get_keys (gateway->calls);

  for (GList *link = calls; link; link = link->next)
    if (g_hash_table_contains (gateway->calls, link->data))
      gateway_hop_check_silence (link->data);
}

/* A request that waits until the end of the stop could be served elsewhere in that time. */
static void
refuse_late_calls (gateway_task_t *gateway)
{
  g_autoptr (GList) calls = NULL;

  if (!stop_grace_is_stopping (&gateway->stop_grace))
    return;
  calls = g_hash_table_get_keys (gateway->calls);
  for (GList *link = calls; link; link = link->next)
    {
      gateway_call_t *call = link->data;

      if (g_hash_table_contains (gateway->calls, call) && call->queue_item.waiting &&
          !gateway_call_may_begin (call))
        gateway_call_refuse_late (call);
    }
}

static void
review_crashes (gateway_task_t *gateway)
{
  crash_record_t *crashes = gateway->options.crashes;

  if (crash_record_is_empty (crashes))
    return;
  crash_record_review (crashes, gateway_now_us (gateway), gateway->config_current);
  gateway->options.on_crashes (gateway->options.context);
}

/* The line is written once in a while, as the connections may go on coming for long. */
static void
shed_connections (gateway_task_t *gateway)
{
  uint64_t now_us = gateway_now_us (gateway);

  if (!http_server_shed (gateway->listener, now_us))
    return;
  counter_add (gateway->sheds, 1);
  if (gateway->shed_logged_us != 0 && now_us < gateway->shed_logged_us + GATEWAY_SHED_LOG_US)
    return;
  gateway->shed_logged_us = now_us;
  log_event (LOG_LEVEL_WARNING, "connections_refused", "calls",
             LOG_U64 (g_hash_table_size (gateway->calls)), NULL);
}

static void
review_room (gateway_task_t *gateway)
{
  if (!http_server_review_room (gateway->listener, gateway_now_us (gateway)))
    return;
  log_event (LOG_LEVEL_WARNING, "connections_full", "full",
             gateway_is_full (gateway) ? "yes" : "no", "calls",
             LOG_U64 (g_hash_table_size (gateway->calls)), NULL);
}

static void
on_tick (evutil_socket_t fd, short what, void *context)
{
  gateway_task_t *gateway = context;

  (void)fd;
  (void)what;
  shed_connections (gateway);
  review_room (gateway);
  refuse_late_calls (gateway);
  dispatch_all (gateway);
  gateway_resume_poll (gateway);
  if (++gateway->ticks % GATEWAY_WATCH_TICKS != 0)
    return;
  gateway_resume_review (gateway);
  gateway_copies_review (gateway);
  check_silent_hops (gateway);
  review_crashes (gateway);
}

void
gateway_handle_peer_load (gateway_task_t *gateway, const load_report_t *item)
{
  engine_t *engine = engines_find_by_hash (gateway->options.engines, item->engine_hash);

  if (engine)
    engine_note_peer_load (engine, item->reported_us, item->load);
}

static void
register_counters (gateway_task_t *gateway)
{
  counter_registry_t *registry = gateway->options.counters;

  gateway->answered =
      counter_get (registry, "medlarplank_gateway_answered_total", "Requests answered");
  gateway->refused =
      counter_get (registry, "medlarplank_gateway_refused_total", "Requests refused, not run");
  gateway->failed = counter_get (registry, "medlarplank_gateway_failed_total",
                                 "Requests that failed or were cut");
  gateway->retried =
      counter_get (registry, "medlarplank_gateway_retried_total", "Sends to another engine");
  gateway->resumed =
      counter_get (registry, "medlarplank_gateway_resumed_total", "Streams that went on elsewhere");
  gateway->gone =
      counter_get (registry, "medlarplank_gateway_gone_total", "Requests whose caller left");
  gateway->room_waited = counter_get (registry, "medlarplank_gateway_room_waited_total",
                                      "Times that requests waited by the shared-room setting");
  gateway->waited = counter_get (registry, "medlarplank_gateway_waited_total",
                                 "Times that requests waited for room");
  gateway->losses =
      counter_get (registry, "medlarplank_gateway_losses_total", "Requests whose engine broke off");
  gateway->bad_events = counter_get (registry, "medlarplank_gateway_bad_events_total",
                                     "Streams in which an engine sent what is no next event");
  gateway->suspect_refused = counter_get (registry, "medlarplank_gateway_suspect_refused_total",
                                          "Requests refused because engines had ended under them");
  gateway->part_refused = counter_get (registry, "medlarplank_gateway_part_refused_total",
                                       "Of these, refused because of a part of their prompts");
  gateway->part_retrials =
      counter_get (registry, "medlarplank_gateway_part_retrials_total",
                   "Requests sent once more to see whether a refused part still ends engines");
  gateway->sheds = counter_get (registry, "medlarplank_gateway_sheds_total",
                                "Times that the new connections that waited were refused unread");
  gateway->overloaded =
      counter_get (registry, "medlarplank_gateway_overloaded_total",
                   "Answers of engines that had more requests than the overload limit");
  gateway->resumptions = counter_get (registry, "medlarplank_gateway_resumptions_total",
                                      "Requests by which clients resume streams");
  gateway->versions_gauge =
      counter_get (registry, "medlarplank_software_versions",
                   "Software versions that have served within a minute, most of any service");
  gateway->resumptions_refused =
      counter_get (registry, "medlarplank_gateway_resumptions_refused_total",
                   "Of these, refused as nobody knew at which software version the stream began");
  gateway_resume_register_counters (gateway);
  gateway_copies_register_counters (gateway);
}

/* Levels: a request or an answer that was on hand is worth a line always, a mere idle connection
 * only where details are wanted. */
static void
on_connection_ended (const http_server_ended_t *ended, void *context)
{
  gateway_task_t *gateway = context;
  bool had_whole = ended->on_hand == HTTP_SERVER_HAND_REQUEST ||
                   ended->on_hand == HTTP_SERVER_HAND_ANSWER || ended->unread_bytes > 0;

  log_event (had_whole && ended->by_us ? LOG_LEVEL_NOTICE : LOG_LEVEL_INFO, "connection_ended",
             "by", ended->by_us ? "us" : "caller", "reason",
             http_server_end_reason_to_string (ended->reason), "on_hand",
             http_server_on_hand_to_string (ended->on_hand), "idle_ms", LOG_U64 (ended->idle_ms),
             "idle_limit_ms", LOG_U64 (ended->idle_limit_ms), "part_bytes",
             LOG_U64 (ended->part_bytes), "unread_bytes", LOG_U64 (ended->unread_bytes), "version",
             LOG_U64 (gateway->table ? routing_version (gateway->table) : 0), NULL);
}

gateway_task_t *
gateway_new (const gateway_options_t *options, GError **error)
{
  gateway_task_t *gateway = g_new0 (gateway_task_t, 1);
  const settings_t *settings = options->settings;
  struct timeval tick = { 0, GATEWAY_TICK_MS * 1000 };

  gateway->options = *options;
  gateway->name_hash = XXH64 (settings->name, strlen (settings->name), 0);
  gateway->started_us = gateway_now_us (gateway);
  gateway->routers = 1;
  gateway->cache_warm = recent_answers_new (GATEWAY_CACHE_WARM_MAX, GATEWAY_CACHE_WARM_US);
  gateway_parts_init (gateway);
  gateway->services = g_hash_table_new_full (NULL, NULL, NULL, service_free);
  gateway->calls = g_hash_table_new (NULL, NULL);
  register_counters (gateway);
  gateway->upstreams =
      http_client_new (options->base, GATEWAY_IDLE_CONNECTIONS_MAX, GATEWAY_IDLE_TIMEOUT_MS);
  http_client_set_connect_timeout (gateway->upstreams, GATEWAY_CONNECT_TIMEOUT_MS);
  gateway->tick_timer = event_new (options->base, -1, EV_PERSIST, on_tick, gateway);
  event_add (gateway->tick_timer, &tick);
  gateway->listener = http_server_new (
      &(http_server_options_t){ .base = options->base,
                                .counters = options->counters,
                                .listen = settings->listen,
                                .body_limit_bytes = settings->body_limit_bytes,
                                .header_limit_bytes = settings->header_limit_bytes,
                                .header_limit_count = settings->header_limit_count,
                                .connection_limit = settings->connection_limit,
                                .file_limit = socket_file_limit (settings->file_limit),
                                .idle_timeout_ms = settings->idle_timeout_ms,
                                .held_limit_bytes = settings_held_bytes (settings),
                                .answer_limit_bytes = settings_held_bytes (settings) / 2,
                                .takes_few = true,
                                .on_call = gateway_accept,
                                .on_ended = on_connection_ended,
                                .context = gateway },
      error);
  if (gateway->listener)
    return gateway;
  gateway_free (gateway);
  return NULL;
}

static void
cancel_calls (gateway_task_t *gateway)
{
  GList *calls = g_hash_table_get_keys (gateway->calls);

  for (GList *link = calls; link; link = link->next)
    {
      gateway_call_t *call = link->data;

      gateway_queue_remove (call);
      gateway_hop_cancel (call);
      gateway_call_free (call);
    }
  g_list_free (calls);
}

void
gateway_free (gateway_task_t *gateway)
{
  if (gateway->listener)
    http_server_free (gateway->listener);
  cancel_calls (gateway);
  http_client_free (gateway->upstreams);
  event_free (gateway->tick_timer);
  recent_answers_free (gateway->cache_warm);
  part_holders_free (gateway->holders);
  g_hash_table_destroy (gateway->services);
  g_hash_table_destroy (gateway->calls);
  if (gateway->table)
    routing_unref (gateway->table);
  g_free (gateway);
}

void
gateway_set_routing_table (gateway_task_t *gateway, routing_t *table)
{
  const routing_limits_t *limits = routing_limits (table);

  if (gateway->table)
    routing_unref (gateway->table);
  gateway->table = routing_ref (table);
  http_server_configure (gateway->listener, limits->body_bytes, limits->header_bytes,
                         limits->header_timeout_ms, limits->idle_timeout_ms);
  http_server_note_held_up (gateway->listener); /* by reading the table */
}

void
gateway_set_config_current (gateway_task_t *gateway, bool certain)
{
  gateway->config_current = certain;
}

void
gateway_set_routers (gateway_task_t *gateway, uint32_t routers, uint32_t known)
{
  gateway->routers = MAX (routers, 1U);
  gateway->known_routers = known;
}

void
gateway_engine_restarted (gateway_task_t *gateway, const address_t *address)
{
  http_client_close_idle (gateway->upstreams, address);
}

/*
 * When the network to an engine is cut while it crashes and restarts under the same id, its
 * connections show no error, and clients would wait until their deadlines for requests that are
 * lost. The registry shows the restart, so the requests are given up here.
 */
void
gateway_give_up_engine (gateway_task_t *gateway, uint64_t hash, uint64_t replaced_us)
{
  g_autoptr (GList) calls = g_hash_table_get_keys (gateway->calls);

  for (GList *link = calls; link; link = link->next)
    if (g_hash_table_contains (gateway->calls, link->data))
      gateway_hop_give_up_engine (link->data, hash, replaced_us);
}

void
gateway_engines_changed (gateway_task_t *gateway)
{
  dispatch_all (gateway);
}

void
gateway_pause_accept (gateway_task_t *gateway)
{
  http_server_pause_accepting (gateway->listener);
}

void
gateway_resume_accept (gateway_task_t *gateway)
{
  http_server_resume_accepting (gateway->listener);
}

bool
gateway_is_full (const gateway_task_t *gateway)
{
  return http_server_is_full (gateway->listener);
}

void
gateway_announce_stop (gateway_task_t *gateway, const stop_grace_t *stop_grace)
{
  gateway->stop_grace = *stop_grace;
  http_server_announce_close (gateway->listener);
}

void
gateway_stop (gateway_task_t *gateway)
{
  gateway->stopping = true;
  http_server_stop (gateway->listener);
}

void
gateway_end_calls (gateway_task_t *gateway)
{
  g_autoptr (GList) calls = g_hash_table_get_keys (gateway->calls);

  for (GList *link = calls; link; link = link->next)
    if (g_hash_table_contains (gateway->calls, link->data))
      gateway_call_end_by_stop (link->data);
  http_server_refuse_incomplete (gateway->listener);
}

uint32_t
gateway_busy_count (const gateway_task_t *gateway)
{
  return http_server_busy_count (gateway->listener) +
         http_server_lingering_count (gateway->listener) + g_hash_table_size (gateway->calls);
}

uint16_t
gateway_port (const gateway_task_t *gateway)
{
  return http_server_port (gateway->listener);
}
