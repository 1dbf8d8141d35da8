#include "request/router/router_private.h"

#include "base/log.h"

#include <event2/http.h>
#include <string.h>

static void
set_timer (router_call_t *call, uint64_t delay_us)
{
  struct timeval delay = { .tv_sec = (time_t)(delay_us / CLOCK_US_PER_S),
                           .tv_usec = (suseconds_t)(delay_us % CLOCK_US_PER_S) };

  event_add (call->timer, &delay);
}

/* set_hop_timer() - sets the timer to the deadline, or to an earlier check for a frozen host */
static void
set_hop_timer (router_call_t *call)
{
  uint64_t now_us = data_task_now_us (call->router->data_task);
  uint64_t give_up_us = call->deadline_us + ROUTER_DEADLINE_GRACE_US;

  set_timer (call, now_us < give_up_us ? MIN (give_up_us - now_us, ROUTER_HOST_PROBE_DELAY_US) : 0);
}

static uint32_t
parse_u32 (const char *text)
{
  guint64 value;

  if (text == NULL || !g_ascii_string_to_unsigned (text, 10, 0, UINT32_MAX, &value, NULL))
    return 0;
  return (uint32_t)value;
}

static uint64_t
parse_u64 (const char *text)
{
  guint64 value;

  if (text == NULL || !g_ascii_string_to_unsigned (text, 10, 0, UINT64_MAX, &value, NULL))
    return 0;
  return value;
}

/* read_referrals() - stores the referrals to hosts that are live and not skipped by this router */
static void
read_referrals (router_call_t *call, const char *names)
{
  router_answer_t *answer = &call->answer;
  const router_t *router = call->router;
  g_auto (GStrv) parts = names != NULL ? g_strsplit (names, ",", LIMIT_REFERRALS + 1) : NULL;

  for (uint32_t i = 0; parts != NULL && parts[i] != NULL && i < LIMIT_REFERRALS; i++)
    {
      uint64_t hash = rendezvous_hash_name (g_strstrip (parts[i]));

      if (router_find_host (router, hash) == NULL ||
          health_is_skipped (router->health, data_task_now_us (router->data_task), hash))
        continue;
      answer->referrals[answer->referral_count++] = hash;
    }
}

/* is_capacity_refusal() - whether the engine had no capacity for the request */
static bool
is_capacity_refusal (verdict_reason_t reason)
{
  return reason == VERDICT_REASON_OVER_BOUND || reason == VERDICT_REASON_DEADLINE ||
         reason == VERDICT_REASON_QUEUE_FULL || reason == VERDICT_REASON_ACCOUNT_SHARE;
}

/* record_load() - stores the load of the engine that answered, to be sent with later hops */
static void
record_load (router_call_t *call, const char *text)
{
  router_t *router = call->router;
  router_loads_t *loads = g_hash_table_lookup (router->loads, &call->service->hash);
  uint64_t now_us = data_task_now_us (router->data_task);
  hop_sample_t load;

  if (loads == NULL)
    return;
  if (is_capacity_refusal (call->answer.reason))
    loads->capacity_refused_us = now_us;
  if (!hop_parse_load (text, &load))
    {
      load_samples_forget (&loads->table,
                           call->attempts.last_engine); /* it accepts no requests now */
      return;
    }
  load_samples_add (&loads->table, &(load_sample_t){ .engine_hash = call->attempts.last_engine,
                                                     .service_hash = call->service->hash,
                                                     .load = load.load,
                                                     .waiting = load.waiting,
                                                     .cost = load.cost,
                                                     .taken_us = now_us });
}

static void
read_answer (router_call_t *call, int status, struct evkeyvalq *headers)
{
  const char *reason = evhttp_find_header (headers, HOP_REASON_HEADER);
  router_answer_t *answer = &call->answer;

  answer->received = true;
  router_host_probe_record_answer (call->router, call->attempts.last_engine);
  answer->status = status;
  answer->verdict = verdict_from_string (evhttp_find_header (headers, VERDICT_HEADER));
  answer->from_engine = answer->verdict == VERDICT_RAN && reason == NULL;
  answer->reason = reason != NULL ? verdict_reason_from_string (reason) : VERDICT_REASON_NONE;
  answer->retry_after_ms = parse_u32 (evhttp_find_header (headers, HOP_RETRY_AFTER_HEADER));
  record_load (call, evhttp_find_header (headers, HOP_LOAD_HEADER));
  read_referrals (call, evhttp_find_header (headers, HOP_ALTERNATIVES_HEADER));
  router_record_incarnation (call->router, call->attempts.last_engine,
                             parse_u64 (evhttp_find_header (headers, HOP_INCARNATION_HEADER)));
}

static bool
on_head (int status, struct evkeyvalq *headers, void *context)
{
  router_call_t *call = context;
  const char *engine = evhttp_find_header (headers, HOP_ENGINE_HEADER);

  read_answer (call, status, headers);
  health_record_success (call->router->health, call->attempts.last_engine);
  if (!call->answer.from_engine)
    return true;
  relay_start (&call->relay, call->outbound, status, headers);
  relay_add_header (&call->relay, ERROR_REPLY_REQUEST_HEADER, call->request_text);
  relay_add_header (&call->relay, VERDICT_HEADER, verdict_to_string (VERDICT_RAN));
  if (engine != NULL)
    relay_add_header (&call->relay, HOP_ENGINE_HEADER, engine);
  set_timer (call, ROUTER_STALL_TIMEOUT_US);
  return true;
}

static void
on_data (struct evbuffer *data, void *context)
{
  router_call_t *call = context;

  if (!call->answer.from_engine)
    {
      evbuffer_drain (data, evbuffer_get_length (data));
      return;
    }
  relay_forward (&call->relay, data);
  if (call->relay.has_started && !call->attempts.response_begun)
    forwarding_response_begun (&call->attempts);
  set_timer (call, ROUTER_STALL_TIMEOUT_US);
}

/* lost_outcome() - the outcome of a hop that broke off */
static forwarding_outcome_t
lost_outcome (router_call_t *call, verdict_t verdict, verdict_reason_t reason)
{
  const router_answer_t *answer = &call->answer;

  /* The engine's answer has begun, so the request ran and there is nothing to revoke. */
  if (answer->from_engine)
    return (forwarding_outcome_t){ .verdict = VERDICT_RAN, .reason = reason };
  health_record_failure (call->router->health, data_task_now_us (call->router->data_task),
                         call->attempts.last_engine);
  return (forwarding_outcome_t){ .verdict = verdict,
                                 .reason = reason,
                                 .connection_lost = verdict != VERDICT_NOT_RUN };
}

static forwarding_outcome_t
refusal_outcome (const router_call_t *call)
{
  const router_answer_t *answer = &call->answer;

  return (forwarding_outcome_t){ .verdict = answer->verdict,
                                 .reason = answer->reason,
                                 .retry_after_ms = answer->retry_after_ms,
                                 .referrals = answer->referrals,
                                 .referral_count = answer->referral_count };
}

static void
on_end (const http_client_result_t *end, void *context)
{
  router_call_t *call = context;
  forwarding_outcome_t outcome;

  in_flight_end (call->router->requests_in_flight, call->attempts.last_engine);
  call->outbound = NULL;
  call->relay.from = NULL;
  event_del (call->timer);
  if (call->answer.received && !call->answer.from_engine)
    outcome = refusal_outcome (call); /* a refusal is complete with its headers */
  else if (end->complete)
    outcome = (forwarding_outcome_t){ .answered = true, .verdict = VERDICT_RAN };
  else
    outcome = lost_outcome (call, end->verdict, end->reason);
  router_call_handle_outcome (call, &outcome);
}

void
router_hop_cancel (router_call_t *call)
{
  if (call->outbound != NULL)
    {
      http_client_cancel_call (call->outbound);
      in_flight_end (call->router->requests_in_flight, call->attempts.last_engine);
    }
  call->outbound = NULL;
  call->relay.from = NULL;
  if (call->timer != NULL)
    event_del (call->timer);
}

void
router_hop_on_timer (evutil_socket_t fd, short what, void *context)
{
  router_call_t *call = context;
  forwarding_outcome_t outcome;

  (void)fd;
  (void)what;
  if (call->outbound == NULL || http_client_has_ended (call->outbound))
    return; /* on_end() is called in a moment */
  if (!call->answer.received &&
      data_task_now_us (call->router->data_task) < call->deadline_us + ROUTER_DEADLINE_GRACE_US)
    {
      router_host_probe_check (call);
      set_hop_timer (call);
      return;
    }
  /* A slow caller is not a stalled answer; the listener has a timeout of its own for callers that
   * read nothing. */
  if (call->relay.has_started && relay_was_blocked (&call->relay))
    {
      set_timer (call, ROUTER_STALL_TIMEOUT_US);
      return;
    }
  /* The request may still be in the sidecar's queue, or in a socket buffer if the sidecar is
   * frozen. It is revoked, since its answer would come too late. */
  if (!call->answer.received)
    router_revoke_and_forget (call);
  if (call->answer.received && !call->answer.from_engine)
    outcome = refusal_outcome (call); /* a refusal is complete with its headers */
  else
    outcome = lost_outcome (call, VERDICT_MAY_HAVE_RUN, VERDICT_REASON_TIMEOUT);
  router_hop_cancel (call);
  router_call_handle_outcome (call, &outcome);
}

/* should_send_samples() - whether a hop carries load samples
 *
 * Usually the first hop of a request carries none: most requests need no second hop, and the bytes
 * would be wasted. After a refusal over the load bound the mean load may have risen, and the next
 * sidecar should know. Refusals for other reasons, such as an account's share, say nothing about
 * the mean load. */
static bool
should_send_samples (const router_call_t *call, const router_loads_t *loads, uint64_t now_us)
{
  return (call->attempts.hops > 1 && call->attempts.last_reason == VERDICT_REASON_OVER_BOUND) ||
         now_us < loads->capacity_refused_us + ROUTER_BURST_US;
}

static void
fill_samples (router_call_t *call, uint64_t now_us)
{
  router_loads_t *loads = g_hash_table_lookup (call->router->loads, &call->service->hash);
  load_sample_t picked[HOP_SAMPLES_MAX] = { 0 };
  hop_t *hop = &call->hop;

  hop->sample_count = 0;
  if (loads != NULL && should_send_samples (call, loads, now_us))
    hop->sample_count = load_samples_pick (&loads->table, now_us, picked, HOP_SAMPLES_MAX);
  /* In an overload every request takes four hops; without a limit, their load samples would be a
   * hundred times all other control traffic. The exchange carries the loads too, only later. */
  if (!byte_budget_take (&call->router->control_budget, now_us,
                         hop->sample_count * HOP_SAMPLE_TYPICAL_BYTES))
    hop->sample_count = 0;
  data_task_count_control_bytes (call->router->data_task,
                                 hop->sample_count * HOP_SAMPLE_TYPICAL_BYTES);
  for (uint32_t i = 0; i < hop->sample_count; i++)
    hop->samples[i] =
        (hop_sample_t){ .engine_hash = picked[i].engine_hash,
                        .load = picked[i].load,
                        .waiting = picked[i].waiting,
                        .cost = picked[i].cost,
                        .age_ms = (uint32_t)((now_us - picked[i].taken_us) / CLOCK_US_PER_MS) };
}

static void
fill_attempt (router_call_t *call, uint64_t now_us)
{
  hop_t *hop = &call->hop;
  uint64_t left_us = call->deadline_us > now_us ? call->deadline_us - now_us : 0;

  hop->attempt[0] = call->request_id[0];
  hop->attempt[1] = call->request_id[1] | call->attempts.hops;
  hop_format_attempt (hop->attempt, call->attempt_text);
  hop->deadline_ms = (uint32_t)MAX (left_us / CLOCK_US_PER_MS, 1);
  memcpy (hop->crashed, call->attempts.crashed, sizeof hop->crashed);
  fill_samples (call, now_us);
}

void
router_hop_send (router_call_t *call, const membership_host_t *host)
{
  router_t *router = call->router;
  uint64_t now_us = data_task_now_us (router->data_task);
  g_autofree http_client_header_t *headers =
      g_new (http_client_header_t, call->header_count + HOP_HEADER_COUNT);
  hop_header_t hop_headers[HOP_HEADER_COUNT];
  http_client_options_t options = { .address = &host->http,
                                    .method = call->method,
                                    .target = call->target,
                                    .headers = headers,
                                    .body = call->body,
                                    .body_bytes = call->body_bytes,
                                    .check_name = HOP_ATTEMPT_HEADER,
                                    .check_value = call->attempt_text,
                                    .on_head = on_head,
                                    .on_data = on_data,
                                    .on_end = on_end,
                                    .context = call };
  uint32_t hop_count;

  fill_attempt (call, now_us);
  hop_count = hop_write (&call->hop, router->daemon->settings.fleet_key, hop_headers);
  memcpy (headers, call->headers, call->header_count * sizeof headers[0]);
  for (uint32_t i = 0; i < hop_count; i++)
    headers[call->header_count + i] =
        (http_client_header_t){ .name = hop_headers[i].name, .value = hop_headers[i].value };
  options.header_count = call->header_count + hop_count;
  memset (&call->answer, 0, sizeof call->answer);
  call->sent_us = now_us;
  call->sent_address = host->http;
  call->sent_incarnation = router_known_incarnation (router, host->hash);
  health_begin_attempt (router->health, now_us,
                        host->hash); /* uses up the one trial of a skipped host */
  counter_add (router->hops, 1);
  set_hop_timer (call);
  in_flight_begin (router->requests_in_flight, host->hash);
  call->outbound = http_client_start_call (router->http_client, &options);
}
