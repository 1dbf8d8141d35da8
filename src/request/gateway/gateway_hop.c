/* A hop: one send of a request to an engine, and its response. */
#include "request/gateway/gateway_private.h"

#include "base/log.h"

#include <event2/http.h>
#include <string.h>
#include <xxhash.h>

#define STATUS_SERVER_ERROR 500
#define EVENT_STREAM "text/event-stream"

static bool
is_event_stream (const struct evkeyvalq *headers)
{
  const char *type = evhttp_find_header (headers, "Content-Type");

  return type && g_ascii_strncasecmp (type, EVENT_STREAM, strlen (EVENT_STREAM)) == 0;
}

static void
release_engine (gwy_call_t *call)
{
  engine_t *engine = call->engine;

  call->upstream = NULL;
  call->engine = NULL;
  if (!engine)
    return;
  engine_end_request (engine);
  call->service->in_flight--;
}

void
gwy_hop_drop (gwy_call_t *call)
{
  if (!call->upstream)
    return;
  hcl_cancel (call->upstream);
  call->rly.from = NULL; /* the relay must not pause a call that is freed */
  release_engine (call);
}

/* Whether the response continues a stream of events that was resumed. */
static bool
can_forward_stream (const gwy_call_t *call, int status, const struct evkeyvalq *headers)
{
  return status == 200 && is_event_stream (headers) && !call->response.not_run;
}

static uint64_t
cache_warm_key (const gwy_call_t *call, const engine_t *engine)
{
  return call->shared_parts ^ engine->hash;
}

static void
announce_high_load (const gwy_call_t *call, uint64_t now_us)
{
  const gwy_t *gwy = call->gwy;
  load_report_t item = { .engine_hash = call->engine->hash,
                         .load = call->response.load.running + call->response.load.waiting,
                         .told_us = now_us };

  if (load_reports_is_high (item.load, call->service->mean_milli, ENGINE_CHOICE_OVERLOAD_FACTOR,
                            ENGINE_CHOICE_OVERLOAD_EXTRA_MILLI))
    gwy->options.high_load (&item, gwy->options.context);
}

static void
record_load (gwy_call_t *call, uint64_t now_us)
{
  const engine_load_t *load = &call->response.load;

  engine_note_load (call->engine, now_us, load);
  load_gauge_add (&call->service->load_gauge, now_us, load->running + load->waiting,
                  engine_slots (call->engine, 0), call->service->in_flight);
  announce_high_load (call, now_us);
}

/* An engine repeats in each response that it leaves; the first notice is logged at a level that is
 * always written. */
static void
record_engine_notice (const gwy_call_t *call, uint64_t now_us)
{
  const fmt_answer_t *response = &call->response;
  bool is_news =
      response->leaving && engines_note_leaving (call->gwy->options.engines, now_us, call->engine);

  if (!response->leaving && response->rest_ms == 0)
    return;
  if (response->rest_ms > 0)
    engines_note_backoff (call->gwy->options.engines, now_us, call->engine,
                          (uint64_t)response->rest_ms * CLK_US_PER_MS);
  log_event (is_news ? LOG_LEVEL_NOTICE : LOG_LEVEL_INFO, "engine_says", "id", call->id, "engine",
             call->engine->entry.id, "leaving", response->leaving ? "yes" : "no", "rest_ms",
             LOG_U64 (response->rest_ms), NULL);
}

static void
record_head (gwy_call_t *call, int status)
{
  uint64_t now_us = gwy_now_us (call->gwy);

  call->head_us = now_us;
  call->last_byte_us = now_us;
  call->events_before_head = call->evs.count;
  call->engine->heard_us = now_us;
  if (!call->response.not_run)
    wait_queue_note_head (call->service->queue, now_us - call->sent_us);
  if (status == 200)
    recent_answers_add (call->gwy->cache_warm, now_us, cache_warm_key (call, call->engine));
  lat_add (call->service->head_histogram, now_us - call->sent_us);
  if (call->response.idle_ms > 0)
    call->engine->idle_ms = call->response.idle_ms;
  record_engine_notice (call, now_us);
  if (call->response.has_load)
    record_load (call, now_us);
  engine_note_answer (call->engine, now_us,
                      status >= STATUS_SERVER_ERROR && !call->response.not_run);
}

static bool
on_head (int status, struct evkeyvalq *headers, void *context)
{
  gwy_call_t *call = context;

  call->gwy->options.format->answer (&call->response, status, headers,
                                     call->id[0] != '\0' ? call->id : NULL);
  if (call->response.crossed)
    return false;
  call->has_head = true;
  record_head (call, status);
  call->rly.from = call->upstream;
  if (call->resuming)
    return can_forward_stream (call, status, headers) || call->response.not_run;
  if (call->response.not_run)
    return true;
  call->status = status;
  call->streaming = is_event_stream (headers) && status == 200;
  call->failure_buffered = false;
  rly_head (&call->rly, call->upstream, status, headers);
  call->rly.events = false; /* no error event may be added to an engine's events */
  /* An error is buffered, as another engine may serve the request; and so is a response without a
   * length, as only its end shows that it is complete. */
  if (!call->streaming &&
      (status >= STATUS_SERVER_ERROR || !evhttp_find_header (headers, "Content-Length")))
    call->rly.holding = true;
  return true;
}

static void
forward_events (gwy_call_t *call, struct evbuffer *data)
{
  struct evbuffer *whole = evbuffer_new ();

  evs_feed (&call->evs, data, whole);
  if (evbuffer_get_length (whole) > 0)
    rly_data (&call->rly, whole);
  evbuffer_free (whole);
}

static void
on_data (struct evbuffer *data, void *context)
{
  gwy_call_t *call = context;

  call->last_byte_us = gwy_now_us (call->gwy);
  if (call->engine)
    call->engine->heard_us = call->last_byte_us;
  if (!call->client || call->response.not_run)
    evbuffer_drain (data, evbuffer_get_length (data));
  else if (call->streaming)
    forward_events (call, data);
  else
    rly_data (&call->rly, data);
}

/* Each route has its own: a time that is usual on one is slow on another of the same service. */
static median_latency_t *
select_pace (const gwy_call_t *call)
{
  gwy_usual_t *stats = gwy_usual (call->gwy, call->route);

  return call->streaming ? &stats->event_pace : &stats->answer_pace;
}

static void
record_run_time (gwy_call_t *call, uint64_t run_us)
{
  gwy_usual_t *stats = gwy_usual (call->gwy, call->route);

  if (stats->run_us == 0)
    stats->run_us = run_us;
  stats->run_us = (stats->run_us * (GWY_RUN_GAIN - 1) + run_us) / GWY_RUN_GAIN;
  wait_queue_note_run (call->service->queue, &call->queue_item, run_us);
}

/* A response that its client reads slowly tells nothing about the engine, and the time of an event
 * can be measured only from the event before it. */
static void
record_pace (gwy_call_t *call, uint64_t now_us)
{
  uint64_t events = call->evs.count - call->events_before_head;
  uint64_t took_us;

  if (rly_held_up (&call->rly) || call->client_was_slow || (call->streaming && events < 2))
    return;
  took_us = call->streaming ? (now_us - call->head_us) / (events - 1) : now_us - call->sent_us;
  engine_note_latency (call->engine, now_us, median_latency_add (select_pace (call), took_us));
}

/* Refusals are left out. They take a millisecond, so a service whose engines refuse many requests
 * would seem to free its slots at once, and requests would be queued for them in vain. */
static void
record_times (gwy_call_t *call)
{
  uint64_t now_us = gwy_now_us (call->gwy);

  if (call->response.not_run)
    return;
  record_run_time (call, now_us - call->sent_us);
  if (call->status < STATUS_SERVER_ERROR)
    record_pace (call, now_us);
}

/*
 * Engines that crashed are back under other ids before their old entries expire. If the old ids
 * were still asked, each refusal would cost a retry, and a request that met three of them would be
 * refused while other engines were free.
 */
static void
record_refusal (gwy_call_t *call, engine_t *engine)
{
  if (call->response.is_other)
    engine_note_displaced (engine);
  if (call->response.is_other || call->tried_count == 0)
    return;
  /* A full engine stays a candidate: if it were excluded, a request whose service has only this
   * engine would be refused though it had to wait for mere milliseconds. */
  engine_note_full (engine, gwy_now_us (call->gwy));
  call->tried_count--;
}

static void
finish_refused (gwy_call_t *call)
{
  if (call->response.is_other)
    gwy_call_outcome (call, RETRY_PLAN_OUTCOME_NOT_RUN, VERDICT_REASON_NO_ENGINE);
  else
    gwy_call_outcome (call, RETRY_PLAN_OUTCOME_FULL, VERDICT_REASON_OVER_BOUND);
}

static bool
is_unsent (const hcl_end_t *end)
{
  return end->verdict == VERDICT_NOT_RUN && end->reason == VERDICT_REASON_CONNECT;
}

static void
finish_complete (gwy_call_t *call)
{
  if (call->response.not_run)
    finish_refused (call);
  else if (call->streaming && !evs_is_between (&call->evs))
    gwy_call_outcome (call,
                      call->rly.begun ? RETRY_PLAN_OUTCOME_BROKE_OFF : RETRY_PLAN_OUTCOME_UNKNOWN,
                      VERDICT_REASON_CUT);
  else if (call->status >= STATUS_SERVER_ERROR && call->client)
    gwy_call_outcome (call, RETRY_PLAN_OUTCOME_FAILED, VERDICT_REASON_NONE);
  else
    gwy_call_whole (call);
}

static void
finish_broken (gwy_call_t *call, const hcl_end_t *end)
{
  bool refused = call->has_head && call->response.not_run;

  if (refused)
    finish_refused (call);
  else if (end->verdict == VERDICT_NOT_RUN)
    gwy_call_outcome (call,
                      is_unsent (end) ? RETRY_PLAN_OUTCOME_UNSENT : RETRY_PLAN_OUTCOME_NOT_RUN,
                      end->reason);
  else if (call->rly.begun)
    gwy_call_outcome (call, RETRY_PLAN_OUTCOME_BROKE_OFF, end->reason);
  else
    gwy_call_outcome (call, RETRY_PLAN_OUTCOME_UNKNOWN, end->reason);
}

/* A connection that broke may mean that the engine crashed; a refused connection shows that it is
 * down. */
static void
record_crash (gwy_call_t *call, const hcl_end_t *end)
{
  gwy_t *gwy = call->gwy;
  uint64_t now_us = gwy_now_us (gwy);

  if (is_unsent (end))
    crash_watch_note_down (&gwy->crashes, now_us, call->engine->hash);
  else if (end->reason == VERDICT_REASON_CUT && call->client && !call->response.crossed)
    crash_watch_note_loss (&gwy->crashes, now_us, call->engine->hash, gwy_call_fingerprint (call));
}

static void
record_engine_failure (gwy_call_t *call, const hcl_end_t *end)
{
  uint64_t now_us = gwy_now_us (call->gwy);

  if (is_unsent (end))
    engine_note_unreachable (call->engine, now_us);
  else
    engine_note_failure (call->engine, now_us);
}

static void
on_end (const hcl_end_t *end, void *context)
{
  gwy_call_t *call = context;
  gwy_service_t *service = call->service;

  call->rly.from = NULL;
  if (end->whole)
    record_times (call);
  else if (!call->has_head || !call->response.not_run)
    record_engine_failure (call, end);
  if (call->has_head && call->response.not_run)
    record_refusal (call, call->engine);
  if (!end->whole)
    record_crash (call, end);
  if (!end->whole)
    gwy_call_log (call, "hop_lost", verdict_to_string (end->verdict), end->reason);
  release_engine (call);
  if (end->whole)
    finish_complete (call);
  else
    finish_broken (call, end);
  gwy_wait_pump (service);
}

static void
give_up_hop (gwy_call_t *call, const char *why, verdict_reason_t reason)
{
  gwy_call_log (call, "hop_lost", why, reason);
  gwy_hop_drop (call);
  gwy_call_outcome (
      call, call->rly.begun ? RETRY_PLAN_OUTCOME_BROKE_OFF : RETRY_PLAN_OUTCOME_UNKNOWN, reason);
}

/*
 * When the host or network of an engine fails, its connections stay open and silent, and clients
 * would wait until their deadlines. The hop is closed before the request is sent elsewhere, so that
 * the engine stops working on it if it is still alive.
 */
void
gwy_hop_watch (gwy_call_t *call)
{
  uint64_t now_us = gwy_now_us (call->gwy);
  hop_timeout_t hop_timeout = {
    .sent_us = call->sent_us,
    .heard_us = call->last_byte_us,
    .engine_heard_us = call->engine ? call->engine->heard_us : 0,
    .prompt_tokens = call->request.prompt_tokens,
    .usual_us = wait_queue_head_us (call->service->queue),
    .time_us = call->deadline_us - MIN (call->sent_us, call->deadline_us),
    .gap_us = (uint64_t)call->route->gap_ms * CLK_US_PER_MS,
    .full = load_gauge_utilization_milli (&call->service->load_gauge, now_us) >= GWY_FULL_MILLI
  };

  if (!call->upstream || !call->client)
    return;
  if (rly_held_up (&call->rly))
    {
      call->client_was_slow = true;
      return;
    }
  if (!retry_plan_may_move (&call->course, call->rly.begun) ||
      !hop_timeout_has_expired (&hop_timeout, now_us))
    return;
  engine_note_failure (call->engine, now_us);
  give_up_hop (call, "silent", VERDICT_REASON_TIMEOUT);
}

void
gwy_hop_restarted (gwy_call_t *call, uint64_t hash)
{
  if (call->upstream && call->engine->hash == hash)
    give_up_hop (call, "restarted", VERDICT_REASON_CUT);
}

/* Return: how long a connection that is reused may have been idle, 0 for no limit */
static uint64_t
reuse_idle_limit_us (const gwy_call_t *call)
{
  uint64_t stated_us = (uint64_t)call->engine->idle_ms * CLK_US_PER_MS / GWY_FRESH_DIVISOR;

  if (call->route->kind == RTE_IDEMPOTENT || call->course.rules.resumable)
    return 0;
  return stated_us > 0 ? MIN (stated_us, GWY_FRESH_US) : GWY_FRESH_US;
}

/*
 * An engine that read the shared parts a short time ago still has them. Naming a source to copy
 * from would make the request wait if that source has become unreachable since.
 */
static void
drop_needless_source (const gwy_call_t *call, engine_choice_t *choice)
{
  if (recent_answers_contain (call->gwy->cache_warm, gwy_now_us (call->gwy),
                              cache_warm_key (call, choice->engine)))
    choice->source = NULL;
}

/* The priority of the account counts first; that of the route orders requests of accounts with
 * equal priority. */
static uint32_t
compute_priority (const gwy_call_t *call)
{
  uint32_t own = call->route->priority;
  uint32_t first = call->account && call->account->has_priority ? call->account->priority : own;

  return MIN (first, GWY_PRIORITIES - 1) * GWY_PRIORITIES + MIN (own, GWY_PRIORITIES - 1);
}

static void
begin_hop (gwy_call_t *call, const engine_choice_t *choice)
{
  uint64_t now_us = gwy_now_us (call->gwy);

  call->engine = choice->engine;
  call->tried[call->tried_count % GWY_TRIED] = choice->engine->hash;
  call->tried_count = MIN (call->tried_count + 1, GWY_TRIED);
  call->hops++;
  if (retry_plan_note_send (&call->course))
    retry_budget_count_retry (&call->service->retries, &call->gwy->options.retries, now_us);
  call->sent_us = now_us;
  call->has_head = false;
  call->client_was_slow = false;
  call->last_byte_us = 0;
  memset (&call->response, 0, sizeof call->response);
  wait_queue_start (call->service->queue, now_us, &call->queue_item);
  engine_begin_request (choice->engine, now_us);
  call->service->in_flight++;
  engine_note_probe (choice->engine, now_us);
}

static void
log_place (const gwy_call_t *call, const engine_choice_t *choice)
{
  const engine_t *engine = choice->engine;
  bool of_peer = engine->peer_report_us > engine->told_us;
  uint64_t told_us = MAX (engine->told_us, engine->peer_report_us);
  uint64_t age_ms = (call->sent_us - MIN (told_us, call->sent_us)) / CLK_US_PER_MS;

  log_event (LOG_LEVEL_INFO, "place", "id", call->id, "service", call->service->name, "engine",
             engine->entry.id, "rank", LOG_U64 (choice->rank), "cache_source",
             choice->source ? choice->source->entry.id : NULL, "load", LOG_U64 (choice->load),
             "mean_milli", LOG_U64 (choice->mean_milli), "load_age_ms",
             told_us ? LOG_U64 (age_ms) : NULL, "load_from",
             told_us ? (of_peer ? "peer" : "engine") : NULL, "candidates",
             LOG_U64 (choice->candidates), "waited_ms",
             LOG_U64 ((call->sent_us - call->arrived_us) / CLK_US_PER_MS), NULL);
}

void
gwy_hop_send (gwy_call_t *call, engine_choice_t *choice)
{
  g_autoptr (GArray) headers = g_array_new (FALSE, FALSE, sizeof (hcl_header_t));
  fmt_text_t text;
  fmt_hop_t hop;

  drop_needless_source (call, choice);
  call->service->mean_milli = choice->mean_milli;
  hop = (fmt_hop_t){ .engine_id = choice->engine->entry.id,
                     .account = call->account ? call->account->name : NULL,
                     .cache_source = choice->source ? &choice->source->entry.address : NULL,
                     .priority = compute_priority (call),
                     .resumes = call->resuming,
                     .last_event = call->evs.last_id };
  begin_hop (call, choice);
  if (call->hops == 1)
    lat_add (call->service->wait_histogram, call->sent_us - call->arrived_us);
  log_place (call, choice);
  hop.left_ms =
      (uint32_t)((call->deadline_us - MIN (call->sent_us, call->deadline_us)) / CLK_US_PER_MS);
  call->gwy->options.format->write (&hop, hsv_headers (call->client), headers, &text);
  call->upstream = hcl_start (call->gwy->upstreams,
                              &(hcl_options_t){ .address = &choice->engine->entry.address,
                                                .method = hsv_method (call->client),
                                                .target = hsv_target (call->client),
                                                .headers = (const hcl_header_t *)headers->data,
                                                .header_count = headers->len,
                                                .body = call->body,
                                                .body_bytes = call->body_bytes,
                                                .until_close = true,
                                                .idle_limit_us = reuse_idle_limit_us (call),
                                                .on_head = on_head,
                                                .on_data = on_data,
                                                .on_end = on_end,
                                                .context = call });
}
