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
static const fmt_part_t *
find_affinity_part (const fmt_request_t *request)
{
  uint32_t shared = request->part_count > 1 ? request->part_count - 1 : request->part_count;
  const fmt_part_t *best = NULL;

  for (uint32_t i = 0; i < shared; i++)
    if (!best || request->parts[i].tokens >= best->tokens)
      best = &request->parts[i];
  return best;
}

static void
set_affinity (gwy_call_t *call)
{
  const fmt_part_t *part = call->route->sticky ? find_affinity_part (&call->request) : NULL;

  call->affinity = part ? part->hash : 0;
  call->affinity_tokens = part ? part->tokens : 0;
}

/* The hash covers all shared parts in their order, since a cached part can be used only after the
 * same parts before it. */
static uint64_t
hash_shared_parts (const fmt_request_t *request)
{
  uint64_t hash = 0;

  for (uint32_t i = 0; i + 1 < request->part_count; i++)
    hash = XXH64 (&request->parts[i].hash, sizeof request->parts[i].hash, hash);
  return hash;
}

static uint64_t
compute_deadline_us (const rte_route_t *route, const fmt_request_t *request, uint64_t now_us)
{
  uint32_t limit_ms = route->timeout_ms;

  if (request->deadline_ms > 0)
    limit_ms = MIN (limit_ms, request->deadline_ms);
  return now_us + (uint64_t)limit_ms * CLK_US_PER_MS;
}

static bool
is_repeatable (const gwy_call_t *call)
{
  return call->route->kind == RTE_IDEMPOTENT || call->course.rules.resumable;
}

static void
count_failure (const gwy_call_t *call)
{
  cnt_add (call->gwy->failed, 1);
  lat_add (call->service->failure_histogram, gwy_now_us (call->gwy) - call->arrived_us);
}

static void
end_failed (gwy_call_t *call, verdict_reason_t reason)
{
  bool in_time = reason != VERDICT_REASON_TIMEOUT && reason != VERDICT_REASON_DEADLINE;

  count_failure (call);
  gwy_call_log_failure (call, "end", "failed", reason);
  flt_reply (call->client,
             &(flt_t){ .reason = in_time ? VERDICT_REASON_CUT : VERDICT_REASON_TIMEOUT,
                       .verdict = VERDICT_MAY_HAVE_RUN });
  gwy_call_free (call);
}

static void
end_cut (gwy_call_t *call, verdict_reason_t reason)
{
  count_failure (call);
  gwy_call_log_failure (call, "end", "cut", reason);
  rly_cut (&call->rly, &(flt_t){ .reason = VERDICT_REASON_CUT });
  gwy_call_free (call);
}

static void
on_deadline (evutil_socket_t fd, short what, void *context)
{
  gwy_call_t *call = context;

  (void)fd;
  (void)what;
  if (call->queue_item.waiting)
    {
      gwy_wait_remove (call);
      gwy_call_give_up (call, VERDICT_REASON_DEADLINE, GWY_RETRY_MIN_MS);
      return;
    }
  gwy_hop_drop (call);
  if (call->client && call->failure_buffered)
    {
      gwy_call_whole (call);
      return;
    }
  gwy_call_log_failure (call, "end", "timeout", VERDICT_REASON_TIMEOUT);
  count_failure (call);
  if (!call->client)
    gwy_call_free (call);
  else if (call->rly.begun)
    {
      rly_cut (&call->rly, &(flt_t){ .reason = VERDICT_REASON_TIMEOUT });
      gwy_call_free (call);
    }
  else
    {
      flt_reply (call->client,
                 &(flt_t){ .reason = VERDICT_REASON_TIMEOUT, .verdict = VERDICT_MAY_HAVE_RUN });
      gwy_call_free (call);
    }
}

/* A non-idempotent request that was sent continues to its end, as its engine must not be
 * interrupted in the middle of it. Any other is cancelled, as nobody waits for its response. */
static void
on_client_gone (void *context)
{
  gwy_call_t *call = context;

  cnt_add (call->gwy->gone, 1);
  call->client = NULL;
  rly_gone (&call->rly);
  gwy_call_log (call, "gone", call->queue_item.waiting ? "waiting" : "sent", VERDICT_REASON_NONE);
  if (call->upstream && call->route->kind == RTE_NON_IDEMPOTENT)
    return;
  gwy_wait_remove (call);
  gwy_hop_drop (call);
  gwy_call_free (call);
}

static void
start_deadline_timer (gwy_call_t *call)
{
  uint64_t left_us = call->deadline_us - call->arrived_us;
  struct timeval wait = { (time_t)(left_us / CLK_US_PER_S), (suseconds_t)(left_us % CLK_US_PER_S) };

  call->timer = evtimer_new (call->gwy->options.base, on_deadline, call);
  event_add (call->timer, &wait);
}

static wait_queue_item_t
make_queue_item (gwy_call_t *call)
{
  gwy_usual_t *stats = gwy_usual (call->gwy, call->route);
  uint64_t age_us =
      first_attempt_age_us (&stats->first_ask, call->arrived_us, call->request.deadline_ms);
  uint64_t aim_us = (uint64_t)call->route->aim_ms * CLK_US_PER_MS;
  uint64_t silence_us = (uint64_t)call->route->silence_ms * CLK_US_PER_MS;

  return (
      wait_queue_item_t){ .priority = call->route->priority,
                          .arrived_us = call->arrived_us,
                          .deadline_us = call->deadline_us,
                          .client_gives_up_us = silence_us ? call->arrived_us + silence_us : 0,
                          .in_time_us = call->arrived_us + aim_us - MIN (age_us, aim_us),
                          .run_us = stats->run_us,
                          .returns = age_us > 0,
                          .fair = { .account_hash = call->account ? call->account->hash : 0,
                                    .has_precedence = call->account && call->account->has_priority,
                                    .precedence = call->account ? call->account->priority : 0,
                                    .owner = call } };
}

gwy_call_t *
gwy_call_new (gwy_t *gwy,
              hsv_call_t *client,
              const rte_route_t *route,
              const rte_account_t *account,
              const fmt_request_t *request)
{
  gwy_call_t *call = g_new0 (gwy_call_t, 1);
  bool is_stream = route->kind == RTE_STREAM;
  uint64_t target_hash;

  call->gwy = gwy;
  call->client = client;
  call->table = rte_ref (gwy->table);
  call->route = route;
  call->account = account;
  call->request = *request;
  g_strlcpy (call->id, request->id ? request->id : "", sizeof call->id);
  call->arrived_us = gwy_now_us (gwy);
  call->deadline_us = compute_deadline_us (route, request, call->arrived_us);
  call->queue_item = make_queue_item (call);
  set_affinity (call);
  call->shared_parts = hash_shared_parts (request);
  target_hash = XXH64 (call->id, strlen (call->id), gwy->next_call_number++);
  call->service = gwy_service (gwy, rte_target (route, target_hash));
  call->body = hsv_take_body (client, &call->body_bytes);
  retry_plan_init (&call->course,
                   &(retry_plan_rules_t){ .idempotent = route->kind == RTE_IDEMPOTENT,
                                          .resumable = is_stream && route->resumable,
                                          .attempts = route->attempts });
  evs_init (&call->evs);
  rly_init (&call->rly, client);
  call->rly.passes_back = gwy->options.format->passes_back;
  if (request->resumes)
    {
      call->evs.has_id = true;
      call->evs.last_id = request->last_event;
    }
  g_hash_table_add (gwy->calls, call);
  retry_budget_count_request (&call->service->retries, &gwy->options.retries, call->arrived_us);
  hsv_on_gone (client, on_client_gone, call);
  start_deadline_timer (call);
  return call;
}

void
gwy_call_free (gwy_call_t *call)
{
  g_assert (!call->upstream && !call->queue_item.waiting);
  g_hash_table_remove (call->gwy->calls, call);
  event_free (call->timer);
  evs_clear (&call->evs);
  rly_clear (&call->rly);
  g_free (call->body);
  rte_unref (call->table);
  g_free (call);
}

static void
log_call (const gwy_call_t *call,
          log_level_t level,
          const char *event,
          const char *outcome,
          verdict_reason_t reason)
{
  uint64_t now_us = gwy_now_us (call->gwy);

  log_event (
      level, event, "id", call->id, "route", call->route->name, "version",
      LOG_U64 (rte_version (call->table)), "engine", call->engine ? call->engine->entry.id : NULL,
      "outcome", outcome, "reason",
      reason == VERDICT_REASON_NONE ? NULL : verdict_reason_to_string (reason), "hops",
      LOG_U64 (call->hops), "full", LOG_U64 (call->course.full), "unsent",
      LOG_U64 (call->course.unsent), "status", LOG_U64 ((uint64_t)call->status), "head_ms",
      call->has_head ? LOG_U64 ((call->head_us - call->sent_us) / CLK_US_PER_MS) : NULL, "ms",
      LOG_U64 ((now_us - call->arrived_us) / CLK_US_PER_MS), "left_ms",
      LOG_U64 (call->deadline_us > now_us ? (call->deadline_us - now_us) / CLK_US_PER_MS : 0),
      NULL);
}

void
gwy_call_log (const gwy_call_t *call,
              const char *event,
              const char *outcome,
              verdict_reason_t reason)
{
  log_call (call, LOG_LEVEL_INFO, event, outcome, reason);
}

/* The log is flushed before the response is sent, so that the line exists even if the process is
 * killed right after. */
void
gwy_call_log_failure (const gwy_call_t *call,
                      const char *event,
                      const char *outcome,
                      verdict_reason_t reason)
{
  log_call (call, LOG_LEVEL_NOTICE, event, outcome, reason);
  log_flush ();
}

static region_filter_t
bound_regions (const gwy_call_t *call)
{
  char **by_account = call->account ? call->account->regions : NULL;

  return (region_filter_t){ .route = (const char *const *)call->route->regions,
                            .account = (const char *const *)by_account };
}

engine_choice_t
gwy_call_choose (const gwy_call_t *call)
{
  const gwy_t *gwy = call->gwy;
  const gwy_service_t *service = call->service;
  const rte_service_t *rules = rte_service (gwy->table, service->name);
  uint64_t now_us = gwy_now_us (gwy);

  return engine_choice_make (
      engines_of_service (gwy->options.engines, service->name), now_us,
      &(engine_choice_request_t){
          .affinity = call->affinity,
          .affinity_tokens = call->affinity_tokens,
          .data_center = gwy->options.set->data_center,
          .repeatable = retry_plan_may_move (&call->course, call->rly.begun),
          .gateways = gwy->routers,
          .gateway_hash = gwy->name_hash,
          .run_us = wait_queue_run_us (service->queue),
          .head_us = wait_queue_head_us (service->queue),
          .utilization_milli = load_gauge_utilization_milli (&service->load_gauge, now_us),
          .surge = load_gauge_is_surge (&service->load_gauge, now_us, service->in_flight),
          .late = call->queue_item.waiting && call->queue_item.late,
          .cold_per_s = rules ? rules->cold_per_s : 0,
          .cold_start_us = rules ? rules->cold_start_us : 0,
          .known_gateways = gwy->known_routers,
          .homes = bound_regions (call),
          .drain_us = (uint64_t)gwy->options.set->center_drain_ms * CLK_US_PER_MS,
          .tried = call->tried,
          .tried_count = call->tried_count });
}

void
gwy_call_no_engine (gwy_call_t *call, const engine_choice_t *choice)
{
  gwy_call_give_up (call, choice->drained ? VERDICT_REASON_LEAVING : VERDICT_REASON_NO_ENGINE,
                    choice->drained ? GWY_RETRY_DRAINED_MS : GWY_RETRY_MIN_MS);
}

void
gwy_call_place (gwy_call_t *call)
{
  engine_choice_t choice;

  /* A new request must not overtake those in the queue. */
  if (wait_queue_count_in_time (call->service->queue) > 0 && call->hops == 0)
    {
      gwy_wait_push (call);
      return;
    }
  choice = gwy_call_choose (call);
  if (choice.action == ENGINE_CHOICE_SEND)
    gwy_hop_send (call, &choice);
  else if (choice.action == ENGINE_CHOICE_WAIT)
    gwy_wait_push (call);
  else if (choice.rest_us > 0)
    gwy_wait_for_rest (call, choice.rest_us);
  else
    gwy_call_no_engine (call, &choice);
}

uint64_t
gwy_call_retry_wait_us (const gwy_call_t *call)
{
  gwy_t *gwy = call->gwy;

  return retry_budget_wait_us (&call->service->retries, &gwy->options.retries, gwy_now_us (gwy),
                               gwy->known_routers);
}

static bool
may_retry (void *context)
{
  return gwy_call_retry_wait_us (context) == 0;
}

/* The log line tells the state of this gateway's share of the retry budget. */
static void
log_retry (const gwy_call_t *call, const char *outcome, verdict_reason_t reason)
{
  const gwy_t *gwy = call->gwy;
  const retry_budget_t *retries = &call->service->retries;
  uint64_t now_us = gwy_now_us (gwy);
  uint64_t allowed_milli =
      retry_budget_allowed_milli (retries, &gwy->options.retries, now_us, gwy->known_routers);

  log_event (LOG_LEVEL_INFO, "retry", "id", call->id, "service", call->service->name, "outcome",
             outcome, "reason", verdict_reason_to_string (reason), "hops", LOG_U64 (call->hops),
             "spent", LOG_U64 (retry_budget_retries (retries)), "allowed_milli",
             LOG_U64 (allowed_milli), "gateways", LOG_U64 (gwy->known_routers), "started_ms_ago",
             LOG_U64 ((now_us - gwy->started_us) / CLK_US_PER_MS), "ms",
             LOG_U64 ((now_us - call->arrived_us) / CLK_US_PER_MS), NULL);
}

static void
prepare_retry (gwy_call_t *call, bool resume, verdict_reason_t reason)
{
  log_retry (call, resume ? "resume" : "again", reason);
  cnt_add (resume ? call->gwy->resumed : call->gwy->retried, 1);
  call->resuming = resume;
  if (resume)
    evs_resume (&call->evs);
  else
    evs_restart (&call->evs);
}

static void
retry (gwy_call_t *call, bool resume, verdict_reason_t reason)
{
  prepare_retry (call, resume, reason);
  gwy_call_place (call);
}

void
gwy_call_outcome (gwy_call_t *call, retry_plan_outcome_t outcome, verdict_reason_t reason)
{
  uint64_t now_us = gwy_now_us (call->gwy);
  uint64_t left_us = call->deadline_us > now_us ? call->deadline_us - now_us : 0;

  if (!call->client)
    {
      gwy_call_free (call);
      return;
    }
  call->failure_buffered = call->failure_buffered || outcome == RETRY_PLAN_OUTCOME_FAILED;
  switch (retry_plan_next (&call->course, outcome, left_us, may_retry, call))
    {
    case RETRY_PLAN_STEP_RESEND:
      retry (call, call->rly.begun, reason);
      return;
    case RETRY_PLAN_STEP_RESUME:
      retry (call, true, reason);
      return;
    case RETRY_PLAN_STEP_WAIT:
      prepare_retry (call, call->rly.begun, reason);
      gwy_wait_for_retry (call);
      return;
    case RETRY_PLAN_STEP_PASS_ON:
      gwy_call_whole (call);
      return;
    case RETRY_PLAN_STEP_REJECT:
      gwy_call_give_up (call, reason, GWY_RETRY_MIN_MS);
      return;
    case RETRY_PLAN_STEP_FAIL:
      gwy_call_give_up (call, reason, GWY_RETRY_MIN_MS);
      return;
    case RETRY_PLAN_STEP_CUT_OFF:
      end_cut (call, reason);
      return;
    }
}

static uint64_t
hash_text (uint64_t hash, const char *text)
{
  return XXH64 (text, strlen (text) + 1, hash);
}

/* Computed for each response, so the hash has to be cheap. Its seed is the fleet key, a secret that
 * all gateways share, so that no client can craft a request with the hash of another one. */
uint64_t
gwy_call_fingerprint (const gwy_call_t *call)
{
  uint64_t hash = hash_text (0, call->gwy->options.set->fleet_key);

  hash = hash_text (hash, call->account ? call->account->name : "");
  hash = hash_text (hash, hsv_method (call->client));
  hash = hash_text (hash, hsv_target (call->client));
  return XXH64 (call->body, call->body_bytes, hash);
}

void
gwy_call_whole (gwy_call_t *call)
{
  if (call->client)
    gwy_served (call->gwy, gwy_call_fingerprint (call));
  cnt_add (call->gwy->answered, 1);
  lat_add (call->service->answer_histogram, gwy_now_us (call->gwy) - call->arrived_us);
  gwy_call_log (call, "end", "answered", VERDICT_REASON_NONE);
  rly_whole (&call->rly);
  gwy_call_free (call);
}

/* The log line tells on what the refusal was based: the state of the queue and of the retry budget.
 */
static void
log_refusal (const gwy_call_t *call, verdict_reason_t reason, uint32_t retry_after_ms)
{
  const wait_queue_t *queue = call->service->queue;
  uint64_t now_us = gwy_now_us (call->gwy);
  uint64_t retry_wait_us = gwy_call_retry_wait_us (call);

  log_event (LOG_LEVEL_NOTICE, "refuse", "id", call->id, "route", call->route->name, "version",
             LOG_U64 (rte_version (call->table)), "outcome",
             is_repeatable (call) ? "repeatable" : "not_run", "reason",
             verdict_reason_to_string (reason), "hops", LOG_U64 (call->hops), "full",
             LOG_U64 (call->course.full), "unsent", LOG_U64 (call->course.unsent), "retry_wait_ms",
             LOG_U64 (retry_wait_us / CLK_US_PER_MS), "ms",
             LOG_U64 ((now_us - call->arrived_us) / CLK_US_PER_MS), "retry_after_ms",
             LOG_U64 (retry_after_ms), "overloaded",
             wait_queue_is_overloaded (queue, now_us) ? "yes" : "no", "waiting",
             LOG_U64 (wait_queue_count (queue)), "waiting_in_time",
             LOG_U64 (wait_queue_count_in_time (queue)), "odds_milli",
             LOG_U64 (wait_queue_in_time_milli (queue)), "returns",
             call->queue_item.returns ? "yes" : "no", NULL);
  log_flush ();
}

static void
refuse (gwy_call_t *call, verdict_reason_t reason, uint32_t retry_after_ms)
{
  uint32_t wait_ms = CLAMP (retry_after_ms, GWY_RETRY_MIN_MS, GWY_RETRY_MAX_MS);

  cnt_add (call->gwy->refused, 1);
  lat_add (call->service->failure_histogram, gwy_now_us (call->gwy) - call->arrived_us);
  log_refusal (call, reason, wait_ms);
  flt_reply (call->client, &(flt_t){ .status = 503,
                                     .reason = reason,
                                     .verdict = VERDICT_NOT_RUN,
                                     .retry_after_ms = wait_ms,
                                     .exact_retry = true });
  gwy_call_free (call);
}

/* 503 states that the request has not run and never will, so it must not be sent when an earlier
 * hop may have run. The error response of an engine, if there is one, tells the client more than
 * 502. */
void
gwy_call_give_up (gwy_call_t *call, verdict_reason_t reason, uint32_t retry_after_ms)
{
  if (call->rly.begun)
    end_cut (call, reason);
  else if (call->failure_buffered)
    gwy_call_whole (call);
  else if (call->course.ran > 0)
    end_failed (call, reason);
  else
    refuse (call, reason, retry_after_ms);
}
