/* A hop: one send of a request to an engine, and its response. */
#include "request/gateway/gateway_private.h"

#include "base/log.h"
#include "connection/http_framing.h"

#include <event2/http.h>
#include <string.h>
#include <xxhash.h>

#define STATUS_REDIRECTION 300
#define STATUS_SERVER_ERROR 500
#define MILLI 1000
#define EVENT_STREAM "text/event-stream"

static bool
is_event_stream (const struct evkeyvalq *headers)
{
  const char *type = evhttp_find_header (headers, "Content-Type");

  return type && g_ascii_strncasecmp (type, EVENT_STREAM, strlen (EVENT_STREAM)) == 0;
}

void
gateway_hop_release (gateway_call_t *call, engine_t *engine)
{
  call->service->engines_in_use -= engine->own_requests == 1 ? 1 : 0;
  engine_end_request_at (engine, gateway_now_us (call->gateway));
  call->service->in_flight--;
}

static void
release_engine (gateway_call_t *call)
{
  engine_t *engine = call->engine;

  call->upstream = NULL;
  call->engine = NULL;
  if (engine)
    gateway_hop_release (call, engine);
}

void
gateway_hop_cancel_current (gateway_call_t *call)
{
  if (!call->upstream)
    return;
  http_client_cancel_call (call->upstream);
  call->relay.from = NULL; /* the relay must not pause a call that is freed */
  release_engine (call);
}

void
gateway_hop_cancel (gateway_call_t *call)
{
  gateway_hop_cancel_current (call);
  gateway_fallback_cancel (call);
}

/* The response of a run on a route of streams is one; no event of another could be checked. */
static bool
is_no_stream (const gateway_call_t *call, int status, const struct evkeyvalq *headers)
{
  return call->route->kind == ROUTING_STREAM && status < STATUS_REDIRECTION &&
         (status != 200 || !is_event_stream (headers));
}

/* Whether the response continues a stream of events that was resumed. */
static bool
can_forward_stream (const gateway_call_t *call, int status, const struct evkeyvalq *headers)
{
  return status == 200 && is_event_stream (headers) && !call->response.not_run;
}

static uint64_t
cache_warm_key (const gateway_call_t *call, const engine_t *engine)
{
  return call->shared_parts ^ engine->hash;
}

/* Return: the time since the engine stated the load that was known of it, in ms; NULL for never */
#define BELIEF_AGE_MS(belief, at_us)                                                               \
  ((belief)->told_us ? LOG_U64 (((at_us)-MIN ((belief)->told_us, (at_us))) / CLOCK_US_PER_MS)      \
                     : NULL)

static const char *
belief_source (const gateway_belief_t *belief)
{
  if (belief->told_us == 0)
    return NULL;
  return belief->is_told_by_peer ? "peer" : "engine";
}

static void
log_overloaded (const gateway_call_t *call, uint64_t now_us, uint32_t load)
{
  const gateway_belief_t *belief = &call->belief;

  if (call->service->overloaded_logged_us != 0 &&
      now_us < call->service->overloaded_logged_us + GATEWAY_OVERLOADED_LOG_US)
    return;
  call->service->overloaded_logged_us = now_us;
  log_event (LOG_LEVEL_NOTICE, "overloaded", "id", call->id, "service", call->service->name,
             "engine", call->engine->entry.id, "load", LOG_U64 (load), "rank",
             LOG_U64 (belief->rank), "believed", LOG_U64 (belief->load), "own",
             LOG_U64 (belief->own_requests), "load_age_ms", BELIEF_AGE_MS (belief, call->sent_us),
             "load_from", belief_source (belief), "bound_milli", LOG_U64 (belief->bound_milli),
             "mean_milli", LOG_U64 (belief->mean_milli), "mean_age_ms",
             LOG_U64 (belief->mean_age_us / CLOCK_US_PER_MS), "sent_ms_ago",
             LOG_U64 ((now_us - call->sent_us) / CLOCK_US_PER_MS), NULL);
}

static bool
note_overload (const gateway_call_t *call, uint64_t now_us, uint32_t load)
{
  if (!load_reports_is_high (load, call->service->mean_milli, ENGINE_CHOICE_OVERLOAD_FACTOR,
                             ENGINE_CHOICE_OVERLOAD_EXTRA_MILLI))
    return false;
  counter_add (call->gateway->overloaded, 1);
  log_overloaded (call, now_us, load);
  return true;
}

/* Where a service has few engines each gateway hears each of them often, so the place in a message
 * is left to others, unless the load is high. */
static void
announce_load (const gateway_call_t *call, uint64_t now_us)
{
  const gateway_options_t *options = &call->gateway->options;
  load_report_t item = { .engine_hash = call->engine->hash,
                         .load = call->response.load.running + call->response.load.waiting,
                         .reported_us = now_us };
  bool is_high = note_overload (call, now_us, item.load);

  if (is_high || engines_of_service (options->engines, call->service->name)->len > ENGINES_FEW)
    options->on_load (&item, options->context);
}

static void
record_load (gateway_call_t *call, uint64_t now_us)
{
  const engine_load_t *load = &call->response.load;

  engine_note_load (call->engine, now_us, load);
  load_gauge_add (&call->service->load_gauge, now_us, load->running + load->waiting,
                  engine_slots (call->engine, 0), call->service->in_flight);
  announce_load (call, now_us);
}

/* An engine repeats in each response that it leaves; the first notice is logged at a level that is
 * always written. */
static void
record_engine_notice (const gateway_call_t *call, uint64_t now_us)
{
  const format_response_t *response = &call->response;
  bool is_news = response->leaving &&
                 engines_note_leaving (call->gateway->options.engines, now_us, call->engine);

  if (!response->leaving && response->backoff_ms == 0)
    return;
  if (response->backoff_ms > 0)
    engines_note_backoff (call->gateway->options.engines, now_us, call->engine,
                          (uint64_t)response->backoff_ms * CLOCK_US_PER_MS);
  log_event (is_news ? LOG_LEVEL_NOTICE : LOG_LEVEL_INFO, "engine_says", "id", call->id, "engine",
             call->engine->entry.id, "leaving", response->leaving ? "yes" : "no", "rest_ms",
             LOG_U64 (response->backoff_ms), NULL);
}

static void
record_head (gateway_call_t *call, int status)
{
  uint64_t now_us = gateway_now_us (call->gateway);

  call->head_us = now_us;
  call->last_byte_us = now_us;
  call->events_before_head = call->splitter.event_count;
  engine_note_byte (call->engine, now_us);
  if (!call->response.is_other_engine)
    call->engine->sound_us = MAX (call->engine->sound_us, call->sent_us);
  if (!call->response.not_run)
    wait_queue_note_head (call->service->queue, now_us - call->sent_us);
  if (status == 200)
    {
      recent_answers_add (call->gateway->cache_warm, now_us, cache_warm_key (call, call->engine));
      gateway_parts_note_answer (call);
    }
  latency_add (call->service->head_histogram, now_us - call->sent_us);
  if (call->response.idle_ms > 0)
    call->engine->idle_ms = call->response.idle_ms;
  record_engine_notice (call, now_us);
  if (call->response.has_load)
    record_load (call, now_us);
  engine_note_answer (call->engine, now_us,
                      status >= STATUS_SERVER_ERROR && !call->response.not_run);
}

/* Clients take such a status as the promise that the request has not run. Where an application
 * answered it on its own, the request would be sent again and run twice. */
static bool
is_unproven_refusal (const gateway_call_t *call, int status)
{
  return verdict_is_promised_by_status (status) && !call->response.not_run;
}

static void
log_unproven_refusal (const gateway_call_t *call, int status)
{
  log_event (LOG_LEVEL_NOTICE, "unproven_refusal", "id", call->id, "route", call->route->name,
             "engine", call->engine->entry.id, "status", LOG_U64 ((uint64_t)status), "hops",
             LOG_U64 (call->hops), NULL);
}

static bool
begin_resumed (gateway_call_t *call, int status, const struct evkeyvalq *headers)
{
  if (call->response.not_run)
    return true;
  if (!can_forward_stream (call, status, headers))
    return false;
  gateway_fallback_drop (call);
  return true;
}

static bool
on_head (int status, struct evkeyvalq *headers, void *context)
{
  gateway_hop_t *hop = context;
  gateway_call_t *call = hop->call;

  if (hop->is_fallback)
    return false;
  call->gateway->options.format->read_response (
      &call->response, status, headers,
      &(format_asked_t){ .id = call->id[0] != '\0' ? call->id : NULL,
                         .is_first = http_client_is_first_on_connection (call->upstream) });
  if (call->response.is_for_other_request)
    return false;
  call->has_head = true;
  call->dropped_bytes = 0;
  call->is_framed = http_framing_detect (headers) != HTTP_FRAMING_NONE;
  record_head (call, status);
  if (is_no_stream (call, status, headers))
    {
      event_splitter_reject (&call->splitter, evhttp_find_header (headers, "Content-Type"));
      return false;
    }
  call->relay.from = call->upstream;
  call->is_refusal_unproven = is_unproven_refusal (call, status);
  if (call->is_refusal_unproven)
    {
      log_unproven_refusal (call, status);
      return true;
    }
  if (call->resuming)
    return begin_resumed (call, status, headers);
  if (call->response.not_run)
    return true;
  call->status = status;
  call->streaming = call->route->kind == ROUTING_STREAM && status == 200;
  call->failure_buffered = false;
  relay_start (&call->relay, call->upstream, status, headers);
  call->relay.is_event_stream = false; /* no error event may be added to an engine's events */
  /* An error is buffered, as another engine may serve the request; and so is a response without a
   * length, as only its end shows that it is complete. */
  if (!call->streaming &&
      (status >= STATUS_SERVER_ERROR || !evhttp_find_header (headers, "Content-Length")))
    call->relay.is_buffering = true;
  return true;
}

static void
log_bad_event (const gateway_call_t *call)
{
  const event_splitter_t *splitter = &call->splitter;

  counter_add (call->gateway->bad_events, 1);
  log_event (LOG_LEVEL_NOTICE, "bad_event", "id", call->id, "route", call->route->name, "engine",
             call->engine->entry.id, "reason", event_fault_to_string (splitter->fault), "last_id",
             LOG_U64 (splitter->last_id), "got", splitter->sample, "events",
             LOG_U64 (splitter->event_count), "hops", LOG_U64 (call->hops), "ms",
             LOG_U64 ((gateway_now_us (call->gateway) - call->arrived_us) / CLOCK_US_PER_MS), NULL);
}

/* Where bytes come that are no next event, the engine has broken off. */
static void
forward_events (gateway_call_t *call, struct evbuffer *data)
{
  struct evbuffer *whole = evbuffer_new ();

  http_client_spend_lines (call->upstream, data);
  event_splitter_feed (&call->splitter, data, whole);
  gateway_resume_note_event (call);
  if (evbuffer_get_length (whole) > 0)
    relay_forward (&call->relay, whole);
  evbuffer_free (whole);
  if (call->splitter.fault != EVENT_FAULT_NONE)
    http_client_cut_call (call->upstream);
}

static bool
is_body_dropped (const gateway_call_t *call)
{
  return call->response.not_run || call->is_refusal_unproven;
}

/* Bodies without end, of refusals and errors */
static bool
is_over_limit (gateway_call_t *call, struct evbuffer *data)
{
  size_t bytes = evbuffer_get_length (data);

  if (is_body_dropped (call))
    {
      call->dropped_bytes += bytes;
      return call->dropped_bytes > RELAY_HELD_LIMIT_BYTES;
    }
  return call->client && call->status >= STATUS_SERVER_ERROR && call->relay.is_buffering &&
         evbuffer_get_length (call->relay.held_data) + bytes > relay_held_limit (&call->relay);
}

static void
on_data (struct evbuffer *data, void *context)
{
  gateway_hop_t *hop = context;
  gateway_call_t *call = hop->call;

  if (hop->is_fallback)
    {
      call->fallback.is_broken = true;
      evbuffer_drain (data, evbuffer_get_length (data));
      return;
    }
  call->last_byte_us = gateway_now_us (call->gateway);
  if (call->engine)
    engine_note_byte (call->engine, call->last_byte_us);
  gateway_suspect_note_data (call);
  if (is_over_limit (call, data))
    http_client_cut_call (call->upstream);
  else if (!call->client || is_body_dropped (call))
    evbuffer_drain (data, evbuffer_get_length (data));
  else if (call->streaming)
    forward_events (call, data);
  else
    relay_forward (&call->relay, data);
}

/* Each route has its own: a time that is usual on one is slow on another of the same service. */
static median_latency_t *
select_pace (const gateway_call_t *call)
{
  gateway_route_stats_t *stats = gateway_route_stats (call->gateway, call->route);

  return call->streaming ? &stats->event_pace : &stats->answer_pace;
}

static void
record_run_time (gateway_call_t *call, uint64_t run_us)
{
  gateway_route_stats_t *stats = gateway_route_stats (call->gateway, call->route);

  if (stats->run_us == 0)
    stats->run_us = run_us;
  stats->run_us = (stats->run_us * (GATEWAY_RUN_SMOOTHING - 1) + run_us) / GATEWAY_RUN_SMOOTHING;
  wait_queue_note_run (call->service->queue, &call->queue_item, run_us);
}

/* A response that its client reads slowly tells nothing about the engine, and the time of an event
 * can be measured only from the event before it. */
static void
record_pace (gateway_call_t *call, uint64_t now_us)
{
  uint64_t events = call->splitter.event_count - call->events_before_head;
  uint64_t took_us;

  if (relay_was_blocked (&call->relay) || call->client_was_slow || (call->streaming && events < 2))
    return;
  took_us = call->streaming ? (now_us - call->head_us) / (events - 1) : now_us - call->sent_us;
  engine_note_latency (call->engine, now_us, median_latency_add (select_pace (call), took_us));
}

/* Refusals are left out. They take a millisecond, so a service whose engines refuse many requests
 * would seem to free its slots at once, and requests would be queued for them in vain. */
static void
record_times (gateway_call_t *call)
{
  uint64_t now_us = gateway_now_us (call->gateway);

  if (call->response.not_run)
    return;
  record_run_time (call, now_us - call->sent_us);
  if (call->status < STATUS_SERVER_ERROR && !call->is_refusal_unproven)
    record_pace (call, now_us);
}

/*
 * Engines that crashed are back under other ids before their old entries expire. If the old ids
 * were still asked, each refusal would cost a retry, and a request that met three of them would be
 * refused while other engines were free.
 */
static void
record_refusal (gateway_call_t *call, engine_t *engine)
{
  if (call->response.is_other_engine)
    engine_note_displaced (engine);
  if (call->course.is_continuing)
    {
      gateway_copies_note_missing (call);
      return; /* an engine that has no copy may have free slots */
    }
  if (call->response.is_other_engine || call->tried_count == 0)
    return;
  /* A full engine stays a candidate: if it were excluded, a request whose service has only this
   * engine would be refused though it had to wait for mere milliseconds. */
  engine_note_full (engine, gateway_now_us (call->gateway));
  call->tried_count--;
}

static void
finish_refused (gateway_call_t *call)
{
  if (call->response.is_other_engine)
    gateway_call_hop_ended (call, RETRY_PLAN_OUTCOME_NOT_RUN, VERDICT_REASON_NO_ENGINE);
  else
    gateway_call_hop_ended (call, RETRY_PLAN_OUTCOME_FULL, VERDICT_REASON_OVER_BOUND);
}

static bool
is_unsent (const http_client_result_t *end)
{
  return end->verdict == VERDICT_NOT_RUN && end->reason == VERDICT_REASON_CONNECT;
}

/* A stream without a length ends with its connection, so one that ends inside an event, or before
 * its first one, was broken off. One that is resumed may have no more events. */
static bool
is_cut_stream (const gateway_call_t *call)
{
  if (!call->streaming || is_body_dropped (call))
    return false;
  if (call->splitter.fault != EVENT_FAULT_NONE)
    return true;
  if (call->is_framed)
    return false;
  return !event_splitter_is_between (&call->splitter) ||
         (call->splitter.event_count == 0 && !call->request.resumes);
}

static verdict_reason_t
lost_reason (const gateway_call_t *call, const http_client_result_t *end)
{
  if (call->splitter.fault != EVENT_FAULT_NONE)
    return VERDICT_REASON_BAD_EVENT;
  if (call->is_refusal_unproven)
    return VERDICT_REASON_FAILED;
  return end->complete ? VERDICT_REASON_CUT : end->reason;
}

static void
finish_lost (gateway_call_t *call, const http_client_result_t *end)
{
  gateway_call_hop_ended (
      call, call->relay.has_started ? RETRY_PLAN_OUTCOME_BROKE_OFF : RETRY_PLAN_OUTCOME_UNKNOWN,
      lost_reason (call, end));
}

static void
finish_complete (gateway_call_t *call, const http_client_result_t *end)
{
  if (call->response.not_run)
    finish_refused (call);
  else if (call->is_refusal_unproven || is_cut_stream (call))
    finish_lost (call, end);
  else if (call->status >= STATUS_SERVER_ERROR && call->client)
    gateway_call_hop_ended (call, RETRY_PLAN_OUTCOME_FAILED, VERDICT_REASON_NONE);
  else
    gateway_call_complete (call);
}

static void
finish_broken (gateway_call_t *call, const http_client_result_t *end)
{
  bool refused = call->has_head && call->response.not_run;

  if (refused)
    finish_refused (call);
  else if (end->verdict == VERDICT_NOT_RUN)
    gateway_call_hop_ended (
        call, is_unsent (end) ? RETRY_PLAN_OUTCOME_UNSENT : RETRY_PLAN_OUTCOME_NOT_RUN,
        end->reason);
  else
    finish_lost (call, end);
}

static void
record_engine_failure (gateway_call_t *call, const http_client_result_t *end)
{
  uint64_t now_us = gateway_now_us (call->gateway);

  gateway_copies_note_break (call, call->engine);
  if (is_unsent (end))
    {
      engine_note_break (call->engine, now_us);
      engine_note_unreachable (call->engine, now_us);
    }
  else
    engine_note_failure (call->engine, now_us);
}

static void
finish (gateway_call_t *call, const http_client_result_t *end)
{
  if (end->complete)
    finish_complete (call, end);
  else
    finish_broken (call, end);
}

/* The engine with the copy has ended the current hop while the one before is still open. */
static void
finish_with_fallback (gateway_call_t *call, const http_client_result_t *end)
{
  bool is_refused = call->has_head && call->response.not_run;

  if (!is_refused && end->verdict != VERDICT_NOT_RUN)
    gateway_fallback_drop (call);
  else if (gateway_fallback_use (call, !is_refused))
    return;
  finish (call, end);
}

/* A response that declares where it ends must not do so within an event. */
static void
check_events (gateway_call_t *call, const http_client_result_t *end)
{
  if (end->complete && call->is_framed && call->client && call->streaming &&
      !is_body_dropped (call))
    event_splitter_finish (&call->splitter);
  if (call->splitter.fault != EVENT_FAULT_NONE)
    log_bad_event (call);
}

static void
on_end (const http_client_result_t *end, void *context)
{
  gateway_hop_t *hop = context;
  gateway_call_t *call = hop->call;
  gateway_service_t *service = call->service;
  bool is_whole;

  if (hop->is_fallback)
    {
      gateway_fallback_note_end (call);
      return;
    }
  call->relay.from = NULL;
  check_events (call, end);
  is_whole = end->complete && !is_cut_stream (call);
  if (is_whole)
    record_times (call);
  else if (!call->has_head || !call->response.not_run)
    record_engine_failure (call, end);
  if (call->has_head && call->response.not_run)
    record_refusal (call, call->engine);
  if ((end->complete || end->reason == VERDICT_REASON_CUT) && !is_whole &&
      !call->response.not_run && !call->response.is_for_other_request &&
      call->splitter.fault == EVENT_FAULT_NONE)
    gateway_suspect_record_loss (call);
  if (!is_whole)
    gateway_call_log (call, "hop_lost", verdict_to_string (end->verdict), lost_reason (call, end));
  release_engine (call);
  if (call->fallback.engine)
    finish_with_fallback (call, end);
  else
    finish (call, end);
  gateway_queue_dispatch (service);
}

static void
give_up_hop (gateway_call_t *call, const char *why, verdict_reason_t reason)
{
  gateway_call_log (call, "hop_lost", why, reason);
  gateway_hop_cancel (call);
  gateway_call_hop_ended (
      call, call->relay.has_started ? RETRY_PLAN_OUTCOME_BROKE_OFF : RETRY_PLAN_OUTCOME_UNKNOWN,
      reason);
}

/* Requests that tried nothing else and may go anywhere find the same engines. */
static bool
is_like_others (const gateway_call_t *call)
{
  return call->tried_count <= 1 && !call->route->regions &&
         !(call->account && call->account->regions);
}

/* The choice among thousands of engines is made once in a check for all requests that are alike. */
static bool
is_known_unmovable (const gateway_call_t *call)
{
  const gateway_service_t *service = call->service;

  return is_like_others (call) && service->unmovable_ticks == call->gateway->ticks &&
         service->unmovable_version == call->version;
}

static bool
finds_successor (gateway_call_t *call)
{
  bool is_found = gateway_call_has_successor (call);

  if (!is_found && is_like_others (call))
    {
      call->service->unmovable_ticks = call->gateway->ticks;
      call->service->unmovable_version = call->version;
    }
  return is_found;
}

static bool
has_successor (void *context)
{
  gateway_call_t *call = context;

  call->move_checked_us = gateway_now_us (call->gateway);
  if (gateway_copies_may_continue (call))
    return true;
  return retry_plan_may_rerun (&call->course, call->relay.has_started) &&
         !is_known_unmovable (call) && finds_successor (call);
}

static hop_move_t
decide_move (gateway_call_t *call, uint64_t now_us)
{
  uint64_t end_us = gateway_call_may_begin (call) ? call->deadline_us : now_us;

  return hop_move_decide (
      &(hop_move_state_t){ .may_move = retry_plan_may_move (&call->course, call->relay.has_started),
                           .on_trial = gateway_suspect_is_on_trial (call),
                           .left_us = end_us - MIN (now_us, end_us),
                           .usual_us = wait_queue_head_us (call->service->queue),
                           .budget_wait_us = gateway_call_retry_wait_us (call),
                           .has_successor = has_successor,
                           .context = call });
}

/* One line when the hop is first found silent, and one for each other thing that is missing. */
static void
log_silence (const gateway_call_t *call, hop_move_t move, uint64_t now_us)
{
  const engine_t *engine = call->engine;
  uint64_t heard_us = MAX (call->sent_us, call->last_byte_us);
  uint64_t engine_heard_us = MAX (call->sent_us, engine->last_byte_us);

  log_event (LOG_LEVEL_INFO, "hop_silent", "id", call->id, "service", call->service->name, "engine",
             engine->entry.id, "outcome", hop_move_to_string (move), "quiet_ms",
             LOG_U64 ((now_us - heard_us) / CLOCK_US_PER_MS), "engine_quiet_ms",
             LOG_U64 ((now_us - engine_heard_us) / CLOCK_US_PER_MS), "own",
             LOG_U64 (engine->own_requests), "events", LOG_U64 (call->splitter.event_count), "ran",
             LOG_U64 (call->course.ran), "left_ms",
             LOG_U64 ((call->deadline_us - MIN (now_us, call->deadline_us)) / CLOCK_US_PER_MS),
             "version", LOG_U64 (routing_version (call->table)), "in_force",
             LOG_U64 (routing_version (call->gateway->table)), NULL);
}

void
gateway_hop_note_left (gateway_call_t *call, const engine_t *engine, uint64_t now_us)
{
  call->left[call->left_count % GATEWAY_LEFT_MAX] =
      (gateway_left_t){ .hash = engine->hash, .at_us = now_us };
  call->left_count = MIN (call->left_count + 1, GATEWAY_LEFT_MAX);
}

/* The hop is closed before the request is sent elsewhere, so that the engine stops working on it if
 * it is still alive. Whether an engine has the copy of a run shows only there, so the hop stays
 * open until that engine has answered. */
static void
leave_silent_engine (gateway_call_t *call, uint64_t now_us)
{
  if (gateway_copies_may_continue (call))
    {
      if (gateway_fallback_keep (call))
        gateway_call_continue (call);
      return;
    }
  gateway_copies_note_break (call, call->engine);
  engine_note_silence (call->engine, now_us);
  gateway_hop_note_left (call, call->engine, now_us);
  call->is_moving = true;
  retry_plan_note_given_up (&call->course);
  give_up_hop (call, "silent", VERDICT_REASON_TIMEOUT);
}

/*
 * When the host or network of an engine fails, its connections stay open and silent, and clients
 * would wait until their deadlines. An engine that is only slow to go on keeps the request unless
 * another one is certain to take it: what it has begun is lost once the hop is closed.
 */
void
gateway_hop_check_silence (gateway_call_t *call)
{
  uint64_t now_us = gateway_now_us (call->gateway);
  hop_move_t move;
  hop_timeout_t hop_timeout = {
    .sent_us = call->sent_us,
    .last_byte_us = call->last_byte_us,
    .engine_last_byte_us = call->engine ? call->engine->last_byte_us : 0,
    .prompt_tokens = call->request.prompt_tokens,
    .usual_us = wait_queue_head_us (call->service->queue),
    .time_limit_us = call->deadline_us - MIN (call->sent_us, call->deadline_us),
    .gap_us = (uint64_t)call->route->event_gap_target_ms * CLOCK_US_PER_MS,
    .engines_full = load_gauge_utilization_milli (&call->service->load_gauge, now_us) >=
                    GATEWAY_NEARLY_FULL_MILLI
  };

  if (!call->upstream || !call->client)
    return;
  if (call->fallback.engine)
    {
      gateway_fallback_check (call, now_us); /* may end the call */
      return;
    }
  if (relay_was_blocked (&call->relay))
    {
      call->client_was_slow = true;
      return;
    }
  if (!hop_timeout_has_expired (&hop_timeout, now_us) ||
      now_us < call->move_checked_us + GATEWAY_MOVE_RETRY_US)
    return;
  http_client_close_older_idle (call->upstream);
  move = decide_move (call, now_us);
  if (move == HOP_MOVE_NOW || move != call->move)
    log_silence (call, move, now_us);
  call->move = move;
  if (move == HOP_MOVE_NOW)
    leave_silent_engine (call, now_us);
}

/* Return: whether the request goes on at the engine that it has not left yet */
static bool
return_to_fallback (gateway_call_t *call)
{
  if (!call->fallback.engine)
    return false;
  gateway_call_log (call, "hop_lost", "restarted", VERDICT_REASON_CUT);
  gateway_hop_cancel_current (call);
  return gateway_fallback_use (call, false);
}

void
gateway_hop_give_up_engine (gateway_call_t *call, uint64_t hash, uint64_t replaced_us)
{
  if (call->fallback.engine && call->fallback.engine->hash == hash &&
      call->fallback.last_byte_us <= replaced_us)
    {
      retry_plan_note_given_up (&call->course);
      gateway_fallback_cancel (call);
    }
  if (!call->upstream || call->engine->hash != hash || call->last_byte_us > replaced_us)
    return;
  gateway_suspect_record_loss (call);
  if (return_to_fallback (call))
    return;
  retry_plan_note_given_up (&call->course);
  give_up_hop (call, "restarted", VERDICT_REASON_CUT);
}

/* Return: how long a connection that is reused may have been idle, 0 for no limit */
static uint64_t
reuse_idle_limit_us (const gateway_call_t *call)
{
  uint64_t idle_us = (uint64_t)call->engine->idle_ms * CLOCK_US_PER_MS;
  uint64_t stated_us = idle_us / GATEWAY_REUSE_IDLE_DIVISOR;

  if (call->route->kind == ROUTING_IDEMPOTENT || call->course.rules.resumable)
    return idle_us * GATEWAY_REUSE_IDLE_REPEATABLE_MILLI / MILLI;
  return stated_us > 0 ? MIN (stated_us, GATEWAY_REUSE_IDLE_MAX_US) : GATEWAY_REUSE_IDLE_MAX_US;
}

/*
 * An engine that read the shared parts a short time ago still has them. Naming a source to copy
 * from would make the request wait if that source has become unreachable since.
 */
static void
drop_needless_source (const gateway_call_t *call, engine_choice_t *choice)
{
  if (recent_answers_contain (call->gateway->cache_warm, gateway_now_us (call->gateway),
                              cache_warm_key (call, choice->engine)))
    choice->source = NULL;
}

/* The priority of the account counts first; that of the route orders requests of accounts with
 * equal priority. */
static uint32_t
compute_priority (const gateway_call_t *call)
{
  uint32_t own = call->route->priority;
  uint32_t first = call->account && call->account->has_priority ? call->account->priority : own;

  return MIN (first, GATEWAY_PRIORITIES - 1) * GATEWAY_PRIORITIES +
         MIN (own, GATEWAY_PRIORITIES - 1);
}

static void
begin_hop (gateway_call_t *call, const engine_choice_t *choice)
{
  uint64_t now_us = gateway_now_us (call->gateway);

  call->engine = choice->engine;
  call->tried[call->tried_count % GATEWAY_TRIED_MAX] = choice->engine->hash;
  call->tried_count = MIN (call->tried_count + 1, GATEWAY_TRIED_MAX);
  call->hops++;
  if (retry_plan_note_send (&call->course))
    retry_budget_count_retry (&call->service->retries, &call->gateway->options.retries, now_us);
  call->sent_us = now_us;
  call->has_head = false;
  call->first_data_us = 0;
  call->is_written_long = false;
  call->is_refusal_unproven = false;
  call->client_was_slow = false;
  call->last_byte_us = 0;
  call->move = HOP_MOVE_NOW;
  call->move_checked_us = 0;
  call->is_moving = false;
  memset (&call->response, 0, sizeof call->response);
  wait_queue_start (call->service->queue, now_us, &call->queue_item);
  call->service->engines_in_use += choice->engine->own_requests == 0 ? 1 : 0;
  engine_begin_request (choice->engine, now_us);
  call->service->in_flight++;
  engine_note_probe (choice->engine, now_us);
}

/* Return: which of the engines in the line were known to hold the shared parts, or NULL */
static const char *
known_caches (const engine_choice_t *choice)
{
  if (choice->engine_holds)
    return "engine";
  return choice->source && choice->source_holds ? "source" : NULL;
}

/* Must be called before the request is counted at the engine. */
static void
record_belief (gateway_call_t *call, const engine_choice_t *choice)
{
  const engine_t *engine = choice->engine;

  call->belief =
      (gateway_belief_t){ .load = choice->load,
                          .own_requests = engine->own_requests,
                          .mean_milli = choice->mean_milli,
                          .mean_age_us = choice->mean_age_us,
                          .bound_milli = choice->bound_milli,
                          .rank = choice->rank,
                          .told_us = MAX (engine->reported_us, engine->peer_report_us),
                          .is_told_by_peer = engine->peer_report_us > engine->reported_us };
}

static void
log_place (const gateway_call_t *call, const engine_choice_t *choice)
{
  const engine_t *engine = choice->engine;
  const gateway_belief_t *belief = &call->belief;

  log_event (
      LOG_LEVEL_INFO, "place", "id", call->id, "service", call->service->name, "engine",
      engine->entry.id, "software", engine->entry.software_version, "rank", LOG_U64 (choice->rank),
      "cache_source", choice->source ? choice->source->entry.id : NULL, "cache_known",
      known_caches (choice), "load", LOG_U64 (choice->load), "own", LOG_U64 (belief->own_requests),
      "load_age_ms", BELIEF_AGE_MS (belief, call->sent_us), "load_from", belief_source (belief),
      "bound_milli", LOG_U64 (choice->bound_milli), "mean_milli", LOG_U64 (choice->mean_milli),
      "mean_age_ms", LOG_U64 (choice->mean_age_us / CLOCK_US_PER_MS), "candidates",
      LOG_U64 (choice->candidates), "waited_ms",
      LOG_U64 ((call->sent_us - call->arrived_us) / CLOCK_US_PER_MS), NULL);
}

void
gateway_hop_send (gateway_call_t *call, engine_choice_t *choice)
{
  g_autoptr (GArray) headers = g_array_new (FALSE, FALSE, sizeof (http_client_header_t));
  format_buffers_t text;
  format_copy_t copy = call->copy; /* the run may get another one */
  format_upstream_request_t hop;
  gateway_hop_t *context = &call->hop_contexts[call->hop_index];

  drop_needless_source (call, choice);
  gateway_parts_note_choice (call, choice);
  call->service->mean_milli = choice->mean_milli;
  hop = (format_upstream_request_t){ .engine_id = choice->engine->entry.id,
                                     .account = call->account ? call->account->name : NULL,
                                     .cache_source =
                                         choice->source ? &choice->source->entry.address : NULL,
                                     .copy = call->course.is_continuing ? &copy : NULL,
                                     .priority = compute_priority (call),
                                     .resumes = call->resuming,
                                     .last_event = call->splitter.last_id };
  *context = (gateway_hop_t){ .call = call };
  record_belief (call, choice);
  begin_hop (call, choice);
  if (call->hops == 1)
    latency_add (call->service->wait_histogram, call->sent_us - call->arrived_us);
  log_place (call, choice);
  gateway_resume_note_send (call);
  hop.backup = gateway_copies_choose (call);
  hop.left_ms =
      (uint32_t)((call->deadline_us - MIN (call->sent_us, call->deadline_us)) / CLOCK_US_PER_MS);
  call->gateway->options.format->write_request (&hop, http_server_request_headers (call->client),
                                                headers, &text);
  call->upstream = http_client_start_call (
      call->gateway->upstreams,
      &(http_client_options_t){ .address = &choice->engine->entry.address,
                                .method = http_server_method (call->client),
                                .target = http_server_target (call->client),
                                .headers = (const http_client_header_t *)headers->data,
                                .header_count = headers->len,
                                .body_parts = call->body,
                                .body_bytes = call->body_bytes,
                                .until_close = true,
                                .idle_limit_us = reuse_idle_limit_us (call),
                                .new_connection = call->id[0] == '\0',
                                .sent_before = call->hops > 1,
                                .on_head = on_head,
                                .on_data = on_data,
                                .on_end = on_end,
                                .context = context });
}
