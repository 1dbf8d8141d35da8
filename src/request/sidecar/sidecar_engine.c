#include "request/sidecar/sidecar_private.h"

#include "base/log.h"

#include <event2/http.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define ADDED_HEADERS 3

static void
set_timer (sidecar_call_t *call, uint64_t delay_us)
{
  struct timeval delay = { .tv_sec = (time_t)(delay_us / CLOCK_US_PER_S),
                           .tv_usec = (suseconds_t)(delay_us % CLOCK_US_PER_S) };

  event_add (call->timer, &delay);
}

static void
add_load_header (sidecar_call_t *call)
{
  char load[48];

  if (sidecar_format_load (call->sidecar, load))
    relay_add_header (&call->relay, HOP_LOAD_HEADER, load);
}

static bool
on_head (int status, struct evkeyvalq *headers, void *context)
{
  sidecar_call_t *call = context;
  const char *echoed = evhttp_find_header (headers, HOP_REQUEST_HEADER);

  /* An engine that mixes up its answers would send one caller the answer to another's request. */
  if (echoed != NULL && strcmp (echoed, call->attempt_text) != 0)
    {
      call->answer_mismatch = true;
      return false;
    }
  call->head_received = true;
  relay_start (&call->relay, call->outbound, status, headers);
  call->is_event_stream = call->relay.is_event_stream;
  /* If the stream breaks off, the router sends the error event; the caller must not get two. */
  call->relay.is_event_stream = false;
  relay_add_header (&call->relay, HOP_ATTEMPT_HEADER, call->attempt_text);
  relay_add_header (&call->relay, HOP_ENGINE_HEADER, call->sidecar->daemon->settings.name);
  relay_add_header (&call->relay, HOP_INCARNATION_HEADER, call->sidecar->incarnation_text);
  if (!call->relay.is_buffering)
    add_load_header (call);
  relay_add_header (&call->relay, VERDICT_HEADER, verdict_to_string (VERDICT_RAN));
  set_timer (call, SIDECAR_STALL_TIMEOUT_US);
  return true;
}

/* Where bytes come that are no event of the answer, the engine has broken off. */
static void
forward_events (sidecar_call_t *call, struct evbuffer *data)
{
  struct evbuffer *whole = evbuffer_new ();

  event_splitter_feed (&call->splitter, data, whole);
  if (evbuffer_get_length (whole) > 0)
    relay_forward (&call->relay, whole);
  evbuffer_free (whole);
  if (call->splitter.fault != EVENT_FAULT_NONE)
    http_client_cut_call (call->outbound);
}

static void
on_data (struct evbuffer *data, void *context)
{
  sidecar_call_t *call = context;

  if (call->is_event_stream)
    forward_events (call, data);
  else
    relay_forward (&call->relay, data);
  set_timer (call, SIDECAR_STALL_TIMEOUT_US);
}

static void
on_answer_complete (sidecar_call_t *call, int status)
{
  sidecar_t *sidecar = call->sidecar;
  bool fills_cache =
      sidecar->service != NULL && sidecar->service->kind == MANIFEST_KIND_MODEL && status == 200;

  admission_finish (sidecar->admission, data_task_now_us (sidecar->data_task), &call->request,
                    fills_cache);
  sidecar_claim_end (call, true, (uint32_t)status);
  if (!call->relay.has_started)
    add_load_header (call); /* the load without this request, which has ended */
  sidecar_call_complete (call);
}

/* on_engine_unreachable() - no connection to the engine, so no byte of the request was sent */
static void
on_engine_unreachable (sidecar_call_t *call)
{
  sidecar_t *sidecar = call->sidecar;

  sidecar_claim_end (call, false, 0);
  sidecar_call_refuse_admitted (call, VERDICT_REASON_NO_ENGINE, VERDICT_NOT_RUN);
  sidecar_probe_start (sidecar);
}

/* on_answer_interrupted() - the engine closed the connection before the end of its answer
 *
 * A health check finds out whether the engine crashed; this decides the reason that the router gets
 * and whether the request is marked as suspect. An answer that was already being relayed is broken
 * off at once, and only the mark waits for the health check. */
static void
on_answer_interrupted (sidecar_call_t *call)
{
  sidecar_t *sidecar = call->sidecar;

  call->state = SIDECAR_CALL_INTERRUPTED;
  call->interrupted_us = data_task_now_us (sidecar->data_task);
  if (call->relay.has_started)
    {
      relay_abort (&call->relay, &(error_reply_t){ .verdict = VERDICT_RAN,
                                                   .reason = VERDICT_REASON_CUT,
                                                   .request = call->attempt_text });
      call->inbound = NULL;
    }
  sidecar_probe_start (sidecar);
}

/* Return: whether the answer is complete, and no event of it is not */
static bool
is_whole (sidecar_call_t *call, const http_client_result_t *end)
{
  if (!call->is_event_stream)
    return end->complete;
  if (end->complete)
    event_splitter_finish (&call->splitter);
  if (call->splitter.fault == EVENT_FAULT_NONE)
    return end->complete;
  log_event (LOG_LEVEL_NOTICE, "bad_event", "id", call->attempt_text, "engine",
             call->sidecar->daemon->settings.name, "reason",
             event_fault_to_string (call->splitter.fault), "events",
             LOG_U64 (call->splitter.event_count), NULL);
  return false;
}

static void
on_end (const http_client_result_t *end, void *context)
{
  sidecar_call_t *call = context;
  sidecar_t *sidecar = call->sidecar;

  call->outbound = NULL;
  call->relay.from = NULL;
  event_del (call->timer);
  if (is_whole (call, end))
    on_answer_complete (call, end->status);
  else if (end->verdict == VERDICT_NOT_RUN)
    on_engine_unreachable (call);
  else if (call->answer_mismatch)
    {
      admission_finish (sidecar->admission, data_task_now_us (sidecar->data_task), &call->request,
                        false);
      sidecar_call_fail (call, VERDICT_REASON_CROSSED);
    }
  else
    on_answer_interrupted (call);
  sidecar_process_queue (sidecar);
}

void
sidecar_engine_on_timer (evutil_socket_t fd, short what, void *context)
{
  sidecar_call_t *call = context;
  sidecar_t *sidecar = call->sidecar;

  (void)fd;
  (void)what;
  if (call->outbound == NULL)
    return;
  if (call->relay.has_started && relay_was_blocked (&call->relay))
    {
      set_timer (call, SIDECAR_STALL_TIMEOUT_US);
      return;
    }
  if (!call->hop.idempotent && !call->head_received && !call->timeout_reported)
    {
      /* The caller is told now that the request may have run. The engine is not interrupted: after
       * a partial run the outcome would be unknown and the request could not be sent again. */
      call->timeout_reported = true;
      sidecar_call_log_decision (call, "late", VERDICT_MAY_HAVE_RUN, VERDICT_REASON_TIMEOUT);
      sidecar_call_answer_and_continue (call, VERDICT_REASON_TIMEOUT);
      set_timer (call, SIDECAR_STALL_TIMEOUT_US);
      return;
    }
  admission_finish (sidecar->admission, data_task_now_us (sidecar->data_task), &call->request,
                    false);
  sidecar_call_fail (call, VERDICT_REASON_TIMEOUT);
  sidecar_process_queue (sidecar);
}

void
sidecar_engine_send (sidecar_call_t *call)
{
  sidecar_t *sidecar = call->sidecar;
  uint64_t now_us = data_task_now_us (sidecar->data_task);
  uint64_t remaining_us = call->deadline_us > now_us ? call->deadline_us - now_us : 0;
  char priority[16];
  g_autofree http_client_header_t *headers =
      g_new (http_client_header_t, call->header_count + ADDED_HEADERS);
  http_client_header_t *added = headers + call->header_count;
  http_client_options_t options = { .address = &sidecar->daemon->settings.engine,
                                    .method = call->method,
                                    .target = call->target,
                                    .headers = headers,
                                    .header_count = call->header_count + ADDED_HEADERS,
                                    .body = call->body,
                                    .body_bytes = call->body_bytes,
                                    .on_head = on_head,
                                    .on_data = on_data,
                                    .on_end = on_end,
                                    .context = call };

  snprintf (priority, sizeof priority, "%" PRIu32, call->request.item.priority);
  memcpy (headers, call->headers, call->header_count * sizeof headers[0]);
  added[0] = (http_client_header_t){ .name = HOP_REQUEST_HEADER, .value = call->attempt_text };
  added[1] = (http_client_header_t){ .name = HOP_PRIORITY_HEADER, .value = priority };
  added[2] = (http_client_header_t){ .name = HOP_ACCOUNT_HEADER, .value = call->hop.account };
  call->state = SIDECAR_CALL_RUNNING;
  counter_add (sidecar->dispatched, 1);
  sidecar_call_log_decision (call, "dispatch", VERDICT_MAY_HAVE_RUN, VERDICT_REASON_NONE);
  set_timer (call, MAX (remaining_us, CLOCK_US_PER_MS));
  call->outbound = http_client_start_call (sidecar->http_client, &options);
}
