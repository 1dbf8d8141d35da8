/* The steps of one request: where it is sent next, and with which response it ends. */
#include "request/gateway/gateway_private.h"

#include "base/log.h"

#include <string.h>
#include <xxhash.h>

/*
 * The prompt part by which an engine is chosen: the longest of those that requests share, which
 * saves most work when it is cached. The last part belongs to the request alone, so it counts only
 * when there is no other.
 */
static const format_prompt_part_t *
find_affinity_part (const format_request_t *request)
{
  uint32_t shared = request->part_count > 1 ? request->part_count - 1 : request->part_count;
  const format_prompt_part_t *best = NULL;

  for (uint32_t i = 0; i < shared; i++)
    if (!best || request->parts[i].tokens >= best->tokens)
      best = &request->parts[i];
  return best;
}

static void
set_affinity (gateway_call_t *call)
{
  const format_prompt_part_t *part =
      call->route->sticky ? find_affinity_part (&call->request) : NULL;

  call->affinity = part ? part->hash : 0;
  call->affinity_tokens = part ? part->tokens : 0;
}

/* The hash covers all shared parts in their order, since a cached part can be used only after the
 * same parts before it. */
static uint64_t
hash_shared_parts (const format_request_t *request)
{
  uint64_t hash = 0;

  for (uint32_t i = 0; i + 1 < request->part_count; i++)
    hash = XXH64 (&request->parts[i].hash, sizeof request->parts[i].hash, hash);
  return hash;
}

static uint64_t
compute_deadline_us (const routing_route_t *route, const format_request_t *request, uint64_t now_us)
{
  uint32_t limit_ms = route->timeout_ms;

  if (request->deadline_ms > 0)
    limit_ms = MIN (limit_ms, request->deadline_ms);
  return now_us + (uint64_t)limit_ms * CLOCK_US_PER_MS;
}

static bool
is_repeatable (const gateway_call_t *call)
{
  return call->route->kind == ROUTING_IDEMPOTENT || call->course.rules.resumable;
}

static void
count_failure (const gateway_call_t *call)
{
  counter_add (call->gateway->failed, 1);
  latency_add (call->service->failure_histogram, gateway_now_us (call->gateway) - call->arrived_us);
}

/* Return: the reason that the client is told, which sets the status */
static verdict_reason_t
failure_reason (verdict_reason_t reason)
{
  switch (reason)
    {
    case VERDICT_REASON_TIMEOUT:
    case VERDICT_REASON_DEADLINE:
      return VERDICT_REASON_TIMEOUT;
    case VERDICT_REASON_FAILED:
      return VERDICT_REASON_FAILED;
    default:
      return VERDICT_REASON_CUT;
    }
}

static void
end_failed (gateway_call_t *call, verdict_reason_t reason)
{
  count_failure (call);
  gateway_call_log_failure (call, "end", "failed", reason);
  error_reply_send (call->client, &(error_reply_t){ .reason = failure_reason (reason),
                                                    .verdict = VERDICT_MAY_HAVE_RUN });
  gateway_call_free (call);
}

static void
end_cut (gateway_call_t *call, verdict_reason_t reason)
{
  count_failure (call);
  gateway_resume_note_end (call, false);
  gateway_call_log_failure (call, "end", "cut", reason);
  relay_abort (&call->relay, &(error_reply_t){ .reason = VERDICT_REASON_CUT });
  gateway_call_free (call);
}

/* A process that did not run for a while finds the deadline passed and a response that had come in
 * time. That is read first, in a time of its own. */
static bool
extend_late_deadline (gateway_call_t *call)
{
  static const struct timeval extension = { 0, LIMIT_HTTP_UNREAD_MS * 1000 };
  uint64_t late_us = call->deadline_us + LIMIT_HTTP_LATE_TIMER_MS * CLOCK_US_PER_MS;

  if (call->is_deadline_extended || !call->upstream || call->relay.client_blocked ||
      !http_client_has_unread (call->upstream))
    return false;
  if (gateway_now_us (call->gateway) < late_us && !http_client_has_ended (call->upstream))
    return false;
  call->is_deadline_extended = true;
  event_add (call->timer, &extension);
  return true;
}

static void
on_deadline (evutil_socket_t fd, short what, void *context)
{
  gateway_call_t *call = context;

  (void)fd;
  (void)what;
  if (extend_late_deadline (call))
    return;
  if (call->queue_item.waiting || call->is_version_pending)
    {
      gateway_queue_remove (call);
      gateway_call_fail (call, VERDICT_REASON_DEADLINE, GATEWAY_RETRY_MIN_MS);
      return;
    }
  gateway_hop_cancel (call);
  if (call->client && call->failure_buffered)
    {
      gateway_call_complete (call);
      return;
    }
  gateway_call_log_failure (call, "end", "timeout", VERDICT_REASON_TIMEOUT);
  count_failure (call);
  gateway_resume_count_failure (call, VERDICT_REASON_TIMEOUT, true);
  if (!call->client)
    gateway_call_free (call);
  else if (call->relay.has_started)
    {
      gateway_resume_note_end (call, false);
      relay_abort (&call->relay, &(error_reply_t){ .reason = VERDICT_REASON_TIMEOUT });
      gateway_call_free (call);
    }
  else
    {
      error_reply_send (call->client, &(error_reply_t){ .reason = VERDICT_REASON_TIMEOUT,
                                                        .verdict = VERDICT_MAY_HAVE_RUN });
      gateway_call_free (call);
    }
}

/* A non-idempotent request that was sent continues to its end, as its engine must not be
 * interrupted in the middle of it. Any other is cancelled, as nobody waits for its response. */
static void
on_client_gone (void *context)
{
  gateway_call_t *call = context;

  counter_add (call->gateway->gone, 1);
  gateway_resume_note_end (call, false);
  call->client = NULL;
  relay_client_gone (&call->relay);
  gateway_call_log (call, "gone", call->queue_item.waiting ? "waiting" : "sent",
                    VERDICT_REASON_NONE);
  if (call->upstream && call->route->kind == ROUTING_NON_IDEMPOTENT)
    return;
  gateway_queue_remove (call);
  gateway_hop_cancel (call);
  gateway_call_free (call);
}

static void
start_deadline_timer (gateway_call_t *call)
{
  uint64_t left_us = call->deadline_us - call->arrived_us;
  struct timeval wait = { (time_t)(left_us / CLOCK_US_PER_S),
                          (suseconds_t)(left_us % CLOCK_US_PER_S) };

  call->timer = evtimer_new (call->gateway->options.base, on_deadline, call);
  event_add (call->timer, &wait);
}

static wait_queue_item_t
make_queue_item (gateway_call_t *call)
{
  gateway_route_stats_t *stats = gateway_route_stats (call->gateway, call->route);
  uint64_t age_us =
      first_attempt_age_us (&stats->first_ask, call->arrived_us, call->request.deadline_ms);
  uint64_t aim_us = (uint64_t)call->route->target_response_ms * CLOCK_US_PER_MS;
  uint64_t silence_us = (uint64_t)call->route->client_silence_limit_ms * CLOCK_US_PER_MS;

  return (wait_queue_item_t){ .priority = call->route->priority,
                              .arrived_us = call->arrived_us,
                              .deadline_us = call->deadline_us,
                              .client_gives_up_us = silence_us ? call->arrived_us + silence_us : 0,
                              .target_us = call->arrived_us + aim_us - MIN (age_us, aim_us),
                              .run_us = stats->run_us,
                              .is_retry = age_us > 0,
                              .fair_entry = {
                                  .account_hash = call->account ? call->account->hash : 0,
                                  .has_precedence = call->account && call->account->has_priority,
                                  .precedence = call->account ? call->account->priority : 0,
                                  .owner = call } };
}

gateway_call_t *
gateway_call_new (gateway_task_t *gateway,
                  http_server_call_t *client,
                  const routing_route_t *route,
                  const routing_account_t *account,
                  const format_request_t *request)
{
  gateway_call_t *call = g_new0 (gateway_call_t, 1);
  bool is_stream = route->kind == ROUTING_STREAM;
  uint64_t target_hash;

  call->gateway = gateway;
  call->client = client;
  call->table = routing_ref (gateway->table);
  call->route = route;
  call->account = account;
  call->request = *request;
  g_strlcpy (call->id, request->id ? request->id : "", sizeof call->id);
  call->arrived_us = gateway_now_us (gateway);
  call->deadline_us = compute_deadline_us (route, request, call->arrived_us);
  call->queue_item = make_queue_item (call);
  set_affinity (call);
  call->shared_parts = hash_shared_parts (request);
  target_hash = XXH64 (call->id, strlen (call->id), gateway->next_call_number++);
  call->service = gateway_service (gateway, routing_route_choose_service (route, target_hash));
  call->body = evbuffer_new ();
  http_server_move_body (client, call->body);
  call->body_bytes = evbuffer_get_length (call->body);
  gateway_suspect_init (call);
  retry_plan_init (&call->course,
                   &(retry_plan_rules_t){ .idempotent = route->kind == ROUTING_IDEMPOTENT,
                                          .resumable = is_stream && route->resumable,
                                          .max_runs = route->attempts });
  gateway_resume_init (call);
  event_splitter_init (&call->splitter, gateway->options.format->event_first_field,
                       request->resumes ? request->last_event : 0);
  relay_init (&call->relay, client);
  call->relay.is_returned = gateway->options.format->is_returned;
  g_hash_table_add (gateway->calls, call);
  retry_budget_count_request (&call->service->retries, &gateway->options.retries, call->arrived_us);
  http_server_on_disconnect (client, on_client_gone, call);
  start_deadline_timer (call);
  return call;
}

void
gateway_call_free (gateway_call_t *call)
{
  g_assert (!call->upstream && !call->fallback.engine && !call->queue_item.waiting);
  gateway_resume_leave (call);
  gateway_suspect_leave (call);
  g_hash_table_remove (call->gateway->calls, call);
  event_free (call->timer);
  event_splitter_clear (&call->splitter);
  relay_clear (&call->relay);
  evbuffer_free (call->body);
  g_free (call->subjects);
  g_free (call->request.parts);
  routing_unref (call->table);
  g_free (call);
}

static void
log_call (const gateway_call_t *call,
          log_level_t level,
          const char *event,
          const char *outcome,
          verdict_reason_t reason)
{
  uint64_t now_us = gateway_now_us (call->gateway);

  log_event (
      level, event, "id", call->id, "route", call->route->name, "version",
      LOG_U64 (routing_version (call->table)), "engine",
      call->engine ? call->engine->entry.id : NULL, "outcome", outcome, "reason",
      reason == VERDICT_REASON_NONE ? NULL : verdict_reason_to_string (reason), "hops",
      LOG_U64 (call->hops), "full", LOG_U64 (call->course.rejected_full), "unsent",
      LOG_U64 (call->course.unsent), "status", LOG_U64 ((uint64_t)call->status), "head_ms",
      call->has_head ? LOG_U64 ((call->head_us - call->sent_us) / CLOCK_US_PER_MS) : NULL, "ms",
      LOG_U64 ((now_us - call->arrived_us) / CLOCK_US_PER_MS), "left_ms",
      LOG_U64 (call->deadline_us > now_us ? (call->deadline_us - now_us) / CLOCK_US_PER_MS : 0),
      NULL);
}

void
gateway_call_log (const gateway_call_t *call,
                  const char *event,
                  const char *outcome,
                  verdict_reason_t reason)
{
  log_call (call, LOG_LEVEL_INFO, event, outcome, reason);
}

/* The log is flushed before the response is sent, so that the line exists even if the process is
 * killed right after. */
void
gateway_call_log_failure (const gateway_call_t *call,
                          const char *event,
                          const char *outcome,
                          verdict_reason_t reason)
{
  log_call (call, LOG_LEVEL_NOTICE, event, outcome, reason);
  log_flush ();
}

static region_filter_t
bound_regions (const gateway_call_t *call)
{
  char **by_account = call->account ? call->account->regions : NULL;

  return (region_filter_t){ .route = (const char *const *)call->route->regions,
                            .account = (const char *const *)by_account };
}

engine_choice_request_t
gateway_call_placement (const gateway_call_t *call)
{
  const gateway_task_t *gateway = call->gateway;
  const gateway_service_t *service = call->service;
  const routing_service_t *rules = routing_find_service (gateway->table, service->name);
  uint64_t now_us = gateway_now_us (gateway);

  return (engine_choice_request_t){
    .holders = gateway_parts_holders (call),
    .has_local_homes = gateway->options.settings->local_part_homes,
    .shared_parts = call->shared_parts,
    .affinity = call->affinity,
    .affinity_tokens = call->affinity_tokens,
    .own_data_center = gateway->options.settings->data_center,
    .repeatable = retry_plan_may_move (&call->course, call->relay.has_started),
    .gateways = gateway->routers,
    .gateway_hash = gateway->name_hash,
    .slot_time_us = wait_queue_run_us (service->queue),
    .usual_head_us = wait_queue_head_us (service->queue),
    .utilization_milli = load_gauge_utilization_milli (&service->load_gauge, now_us),
    .surge = load_gauge_is_surge (&service->load_gauge, now_us, service->in_flight),
    .past_deadline = call->queue_item.waiting && call->queue_item.is_late,
    .cold_per_s = rules ? rules->cold_requests_per_s : 0,
    .cold_start_us = rules ? rules->cold_start_us : 0,
    .known_gateways = gateway->known_routers,
    .region_filter = bound_regions (call),
    .shared_room = gateway->options.settings->shared_room && !service->has_streams,
    .room_account = call->queue_item.fair_entry.account_hash,
    .room_draw = gateway_queue_room_draw (call),
    .target_us = call->route->target_response_ms > 0 ? call->queue_item.target_us : 0,
    .drain_us = (uint64_t)gateway->options.settings->center_drain_ms * CLOCK_US_PER_MS,
    .version = call->version,
    .begin_version = gateway_resume_begin_version (call),
    .has_streams = service->has_streams
  };
}

static engine_choice_t
choose_engine (const gateway_call_t *call, const uint64_t *excluded, uint32_t excluded_count)
{
  const gateway_task_t *gateway = call->gateway;
  engine_choice_request_t request = gateway_call_placement (call);

  request.tried = excluded;
  request.tried_count = excluded_count;
  request.only_sound = call->is_moving;
  return engine_choice_make (engines_of_service (gateway->options.engines, call->service->name),
                             gateway_now_us (gateway), &request);
}

/* A version that has lost its engines is taken out of the table of shares within a second or two.
 */
static engine_choice_t
wait_for_version (const gateway_call_t *call, engine_choice_t choice)
{
  uint64_t waited_us = gateway_now_us (call->gateway) - call->arrived_us;

  if (choice.action == ENGINE_CHOICE_NONE && !choice.drained && call->course.ran == 0 &&
      waited_us < GATEWAY_VERSION_WAIT_US && gateway_resume_begin_version (call) != 0)
    choice.action = ENGINE_CHOICE_WAIT;
  return choice;
}

bool
gateway_call_has_successor (const gateway_call_t *call)
{
  engine_choice_request_t request = gateway_call_placement (call);

  request.tried = call->tried;
  request.tried_count = call->tried_count;
  request.only_sound = true;
  return engine_choice_make (
             engines_of_service (call->gateway->options.engines, call->service->name),
             gateway_now_us (call->gateway), &request)
             .action == ENGINE_CHOICE_SEND;
}

/* Adds the engines that the request left as silent, and that have sent nothing since, to the @count
 * in @excluded. Return: the number there */
static uint32_t
exclude_left (const gateway_call_t *call, uint64_t *excluded, uint32_t count)
{
  for (uint32_t i = 0; i < call->left_count; i++)
    {
      const engine_t *engine =
          engines_find_by_hash (call->gateway->options.engines, call->left[i].hash);

      if (engine && engine->last_byte_us <= call->left[i].at_us)
        excluded[count++] = call->left[i].hash;
    }
  return count;
}

static uint64_t
last_left_us (const gateway_call_t *call)
{
  uint64_t at_us = 0;

  for (uint32_t i = 0; i < call->left_count; i++)
    at_us = MAX (at_us, call->left[i].at_us);
  return at_us;
}

/* A dead engine must not get the last attempt of a request that left it as silent, unless there is
 * no other one, and a sound one would not be silent any more. */
static engine_choice_t
choose_other_engine (const gateway_call_t *call, uint64_t *excluded, uint32_t count)
{
  uint32_t with_left = exclude_left (call, excluded, count);
  engine_choice_t choice = choose_engine (call, excluded, with_left);

  if (with_left > count && choice.action == ENGINE_CHOICE_NONE && choice.backoff_us == 0 &&
      gateway_now_us (call->gateway) >= last_left_us (call) + GATEWAY_SOUND_SILENCE_US)
    return choose_engine (call, excluded, count);
  return choice;
}

/* Two requests on trial that run at one engine can't be told apart when it ends, so each gets one
 * of its own. */
engine_choice_t
gateway_call_choose_engine (const gateway_call_t *call)
{
  uint64_t excluded[GATEWAY_EXCLUDED_MAX + GATEWAY_LEFT_MAX];
  uint32_t count = call->tried_count;

  memcpy (excluded, call->tried, count * sizeof excluded[0]);
  if (gateway_suspect_is_on_trial (call))
    count = gateway_suspect_exclude_trials (call, excluded, count);
  return wait_for_version (call, choose_other_engine (call, excluded, count));
}

void
gateway_call_fail_no_engine (gateway_call_t *call, const engine_choice_t *choice)
{
  if (call->version != 0)
    {
      gateway_call_fail (call, VERDICT_REASON_VERSION_GONE, GATEWAY_RETRY_VERSION_MS);
      return;
    }
  if (gateway_resume_begin_version (call) != 0 && !choice->drained)
    {
      gateway_call_fail (call, VERDICT_REASON_NO_ENGINE, GATEWAY_RETRY_VERSION_MS);
      return;
    }
  gateway_call_fail (call, choice->drained ? VERDICT_REASON_LEAVING : VERDICT_REASON_NO_ENGINE,
                     choice->drained ? GATEWAY_RETRY_DRAINED_MS : GATEWAY_RETRY_MIN_MS);
}

/* Whether the engine may just be silent: it has not failed for longer than a sound one is. */
static bool
may_be_sound (const engine_t *engine, uint64_t now_us)
{
  return engine->broke_us == 0 || engine->sound_us > engine->broke_us ||
         now_us < engine->broke_us + GATEWAY_SOUND_SILENCE_US;
}

/* Whether an engine to which no connection was made may take the request a moment later. */
static bool
may_connect_later (const gateway_call_t *call)
{
  const GPtrArray *engines =
      engines_of_service (call->gateway->options.engines, call->service->name);
  uint64_t version = call->version != 0 ? call->version : gateway_resume_begin_version (call);
  uint64_t now_us = gateway_now_us (call->gateway);

  for (guint i = 0; call->course.unsent > 0 && call->tried_count > 0 && i < engines->len; i++)
    {
      const engine_t *engine = g_ptr_array_index (engines, i);

      if (engine_is_open (engine) && (version == 0 || engine->version == version) &&
          may_be_sound (engine, now_us))
        return true;
    }
  return false;
}

void
gateway_call_end_unplaced (gateway_call_t *call, const engine_choice_t *choice)
{
  if (call->course.was_given_up)
    gateway_queue_given_up (call);
  else if (may_connect_later (call))
    gateway_queue_unsent (call);
  else
    gateway_call_fail_no_engine (call, choice);
}

void
gateway_call_place (gateway_call_t *call)
{
  engine_choice_t choice;

  /* A new request must not overtake those in the queue; a stream that is resumed may, as its client
   * has waited, and slots are kept for it. */
  if (!gateway_queue_note_shared_room (call) &&
      wait_queue_count_in_time (call->service->queue) > 0 && call->hops == 0 && call->version == 0)
    {
      gateway_queue_push (call);
      return;
    }
  choice = gateway_call_choose_engine (call);
  if (choice.action == ENGINE_CHOICE_SEND)
    gateway_hop_send (call, &choice);
  else if (choice.action == ENGINE_CHOICE_WAIT && may_connect_later (call))
    gateway_queue_unsent (call);
  else if (choice.action == ENGINE_CHOICE_WAIT)
    gateway_queue_push (call);
  else if (choice.backoff_us > 0)
    gateway_queue_for_backoff (call, choice.backoff_us);
  else
    gateway_call_end_unplaced (call, &choice);
}

uint64_t
gateway_call_usual_run_us (const gateway_call_t *call)
{
  uint64_t run_us = gateway_route_stats (call->gateway, call->route)->run_us;

  return run_us > 0 ? run_us : wait_queue_run_us (call->service->queue);
}

bool
gateway_call_may_begin (const gateway_call_t *call)
{
  const gateway_task_t *gateway = call->gateway;

  return call->relay.has_started ||
         stop_grace_may_begin (&gateway->stop_grace, gateway_now_us (gateway),
                               gateway_call_usual_run_us (call), call->deadline_us);
}

void
gateway_call_refuse_late (gateway_call_t *call)
{
  gateway_queue_remove (call);
  gateway_call_fail (call, VERDICT_REASON_LEAVING, GATEWAY_RETRY_MIN_MS);
}

void
gateway_call_start (gateway_call_t *call)
{
  if (!gateway_call_may_begin (call))
    gateway_call_refuse_late (call);
  else if (!gateway_suspect_stop (call))
    gateway_call_place (call);
}

uint64_t
gateway_call_retry_wait_us (const gateway_call_t *call)
{
  gateway_task_t *gateway = call->gateway;

  return retry_budget_wait_us (&call->service->retries, &gateway->options.retries,
                               gateway_now_us (gateway), gateway->known_routers);
}

static bool
may_retry (void *context)
{
  return gateway_call_retry_wait_us (context) == 0;
}

/* The log line tells the state of this gateway's share of the retry budget. */
static void
log_retry (const gateway_call_t *call, const char *outcome, verdict_reason_t reason)
{
  const gateway_task_t *gateway = call->gateway;
  const retry_budget_t *retries = &call->service->retries;
  uint64_t now_us = gateway_now_us (gateway);
  uint64_t allowed_milli = retry_budget_allowed_milli (retries, &gateway->options.retries, now_us,
                                                       gateway->known_routers);

  log_event (LOG_LEVEL_INFO, "retry", "id", call->id, "service", call->service->name, "outcome",
             outcome, "reason", verdict_reason_to_string (reason), "hops", LOG_U64 (call->hops),
             "spent", LOG_U64 (retry_budget_retries (retries)), "allowed_milli",
             LOG_U64 (allowed_milli), "gateways", LOG_U64 (gateway->known_routers),
             "started_ms_ago", LOG_U64 ((now_us - gateway->started_us) / CLOCK_US_PER_MS), "ms",
             LOG_U64 ((now_us - call->arrived_us) / CLOCK_US_PER_MS), NULL);
}

static void
prepare_retry (gateway_call_t *call, bool resume, const char *outcome, verdict_reason_t reason)
{
  log_retry (call, outcome, reason);
  counter_add (resume ? call->gateway->resumed : call->gateway->retried, 1);
  call->resuming = resume;
  if (call->course.ran == 0)
    gateway_resume_note_not_run (call);
  if (resume)
    event_splitter_resume (&call->splitter);
  else
    event_splitter_restart (&call->splitter);
}

static void
retry (gateway_call_t *call, bool resume, verdict_reason_t reason)
{
  prepare_retry (call, resume, resume ? "resume" : "again", reason);
  gateway_call_start (call);
}

/* A request on trial does not go on from a copy, so nothing can stop or queue this one. */
static void
continue_from_copy (gateway_call_t *call, verdict_reason_t reason)
{
  prepare_retry (call, call->relay.has_started, "from_copy", reason);
  gateway_copies_continue (call);
}

void
gateway_call_continue (gateway_call_t *call)
{
  retry_plan_continue (&call->course, call->relay.has_started ? RETRY_PLAN_OUTCOME_BROKE_OFF
                                                              : RETRY_PLAN_OUTCOME_UNKNOWN);
  continue_from_copy (call, VERDICT_REASON_TIMEOUT);
}

void
gateway_call_hop_ended (gateway_call_t *call, retry_plan_outcome_t outcome, verdict_reason_t reason)
{
  uint64_t now_us = gateway_now_us (call->gateway);
  uint64_t left_us = call->deadline_us > now_us ? call->deadline_us - now_us : 0;

  if (!call->client)
    {
      gateway_call_free (call);
      return;
    }
  call->failure_buffered = call->failure_buffered || outcome == RETRY_PLAN_OUTCOME_FAILED;
  if (gateway_suspect_is_on_trial (call))
    retry_plan_forbid_rerun (&call->course);
  gateway_copies_check (call);
  switch (retry_plan_next (&call->course, outcome, left_us, may_retry, call))
    {
    case RETRY_PLAN_STEP_RESEND:
      retry (call, call->relay.has_started, reason);
      return;
    case RETRY_PLAN_STEP_RESUME:
      retry (call, true, reason);
      return;
    case RETRY_PLAN_STEP_CONTINUE:
      continue_from_copy (call, reason);
      return;
    case RETRY_PLAN_STEP_WAIT:
      prepare_retry (call, call->relay.has_started, call->relay.has_started ? "resume" : "again",
                     reason);
      gateway_queue_for_retry (call);
      return;
    case RETRY_PLAN_STEP_PASS_ON:
      gateway_call_complete (call);
      return;
    case RETRY_PLAN_STEP_REJECT:
      gateway_call_fail (call, reason, GATEWAY_RETRY_MIN_MS);
      return;
    case RETRY_PLAN_STEP_FAIL:
      gateway_call_fail (call, reason, GATEWAY_RETRY_MIN_MS);
      return;
    case RETRY_PLAN_STEP_CUT_OFF:
      gateway_resume_count_failure (call, reason, true);
      end_cut (call, reason);
      return;
    }
}

void
gateway_call_complete (gateway_call_t *call)
{
  gateway_suspect_note_complete (call);
  gateway_resume_note_end (call, call->streaming);
  gateway_resume_count_complete (call);
  gateway_copies_note_complete (call);
  counter_add (call->gateway->answered, 1);
  latency_add (call->service->answer_histogram, gateway_now_us (call->gateway) - call->arrived_us);
  gateway_call_log (call, "end", "answered", VERDICT_REASON_NONE);
  relay_finish (&call->relay);
  gateway_call_free (call);
}

/* The log line tells on what the refusal was based: the state of the queue and of the retry budget.
 */
static void
log_refusal (const gateway_call_t *call, verdict_reason_t reason, uint32_t retry_after_ms)
{
  const wait_queue_t *queue = call->service->queue;
  uint64_t now_us = gateway_now_us (call->gateway);
  uint64_t retry_wait_us = gateway_call_retry_wait_us (call);

  log_event (LOG_LEVEL_NOTICE, "refuse", "id", call->id, "route", call->route->name, "version",
             LOG_U64 (routing_version (call->table)), "outcome",
             is_repeatable (call) ? "repeatable" : "not_run", "reason",
             verdict_reason_to_string (reason), "hops", LOG_U64 (call->hops), "full",
             LOG_U64 (call->course.rejected_full), "unsent", LOG_U64 (call->course.unsent),
             "retry_wait_ms", LOG_U64 (retry_wait_us / CLOCK_US_PER_MS), "ms",
             LOG_U64 ((now_us - call->arrived_us) / CLOCK_US_PER_MS), "retry_after_ms",
             LOG_U64 (retry_after_ms), "overloaded",
             wait_queue_is_overloaded (queue, now_us) ? "yes" : "no", "waiting",
             LOG_U64 (wait_queue_count (queue)), "waiting_in_time",
             LOG_U64 (wait_queue_count_in_time (queue)), "odds_milli",
             LOG_U64 (wait_queue_in_time_milli (queue)), "returns",
             call->queue_item.is_retry ? "yes" : "no", NULL);
  log_flush ();
}

static void
refuse (gateway_call_t *call, verdict_reason_t reason, uint32_t retry_after_ms)
{
  uint32_t wait_ms = CLAMP (retry_after_ms, GATEWAY_RETRY_MIN_MS, GATEWAY_RETRY_MAX_MS);

  counter_add (call->gateway->refused, 1);
  latency_add (call->service->failure_histogram, gateway_now_us (call->gateway) - call->arrived_us);
  log_refusal (call, reason, wait_ms);
  error_reply_send (call->client, &(error_reply_t){ .status = 503,
                                                    .reason = reason,
                                                    .verdict = VERDICT_NOT_RUN,
                                                    .retry_after_ms = wait_ms,
                                                    .exact_retry = true });
  gateway_call_free (call);
}

/* 503 states that the request has not run and never will, so it must not be sent when an earlier
 * hop may have run. The error response of an engine, if there is one, tells the client more than
 * 502. */
void
gateway_call_fail (gateway_call_t *call, verdict_reason_t reason, uint32_t retry_after_ms)
{
  gateway_resume_count_failure (call, reason, call->course.ran > 0 || call->failure_buffered);
  if (call->relay.has_started)
    end_cut (call, reason);
  else if (call->failure_buffered)
    gateway_call_complete (call);
  else if (call->course.ran > 0)
    end_failed (call, reason);
  else
    refuse (call, reason, retry_after_ms);
}

void
gateway_call_end_by_stop (gateway_call_t *call)
{
  bool is_sent = call->upstream != NULL;

  gateway_queue_remove (call);
  gateway_hop_cancel (call);
  if (!call->client)
    gateway_call_free (call);
  else if (!is_sent || call->relay.has_started || call->failure_buffered)
    gateway_call_fail (call, VERDICT_REASON_LEAVING, GATEWAY_RETRY_MIN_MS);
  else
    {
      gateway_resume_count_failure (call, VERDICT_REASON_LEAVING, true);
      end_failed (call, VERDICT_REASON_LEAVING);
    }
}
