#include "request/sidecar/sidecar_private.h"

#include "base/log.h"
#include "request/messages.h"

#define PROBE_TARGET "/health"

static void
schedule_probe (sidecar_t *sidecar)
{
  struct timeval delay = { .tv_usec = 0 };

  sidecar->probe_delay_ms =
      CLAMP (sidecar->probe_delay_ms * 2, SIDECAR_PROBE_MIN_MS, SIDECAR_PROBE_MAX_MS);
  delay.tv_sec = sidecar->probe_delay_ms / 1000;
  delay.tv_usec = (suseconds_t)(sidecar->probe_delay_ms % 1000) * 1000;
  event_add (sidecar->probe_timer, &delay);
}

static void
set_engine_up (sidecar_t *sidecar, bool up)
{
  if (up)
    sidecar->probe_delay_ms = 0;
  if (sidecar->engine_up == up)
    return;
  sidecar->engine_up = up;
  admission_set_engine_up (sidecar->admission, up);
  log_event (LOG_LEVEL_NOTICE, up ? "engine_up" : "engine_down", "engine",
             sidecar->daemon->settings.name, NULL);
}

/* publish_crash_mark() - has the control task distribute the mark of a request to other sidecars */
static void
publish_crash_mark (sidecar_t *sidecar, uint64_t fingerprint)
{
  message_crash_marks_t *message = message_new (MESSAGE_NEW_CRASH_MARK);

  message->count = 1;
  if (suspect_get_mark (admission_suspects (sidecar->admission),
                        data_task_now_us (sidecar->data_task), fingerprint, &message->marks[0]))
    mailbox_send (sidecar->daemon->to_control, &message->head);
  else
    message->head.free (&message->head);
}

/* end_interrupted_call() - ends a call whose answer broke off
 *
 * All requests that the engine ran when it crashed are marked, since nothing shows which one caused
 * the crash. If only the most likely one were marked, the cause could be another one that goes on
 * to crash a third engine. A mark only restricts which engine a request is sent to next. */
static void
end_interrupted_call (sidecar_call_t *call, bool crashed)
{
  sidecar_t *sidecar = call->sidecar;
  uint64_t now_us = data_task_now_us (sidecar->data_task);

  if (crashed)
    {
      admission_note_crash (sidecar->admission, now_us, &call->request);
      publish_crash_mark (sidecar, call->hop.fingerprint);
    }
  admission_finish (sidecar->admission, now_us, &call->request, false);
  sidecar_call_fail (call, crashed ? VERDICT_REASON_ENGINE_CRASHED : VERDICT_REASON_CUT);
}

/* end_interrupted_calls() - ends the calls that were interrupted before the health check began
 *
 * The result of the health check says nothing about calls that were interrupted later. Return:
 * whether there are such calls. */
static bool
end_interrupted_calls (sidecar_t *sidecar, bool crashed)
{
  g_autoptr (GList) calls = g_hash_table_get_values (sidecar->calls);
  uint32_t ended = 0;
  uint32_t remaining = 0;

  for (GList *link = calls; link != NULL; link = link->next)
    {
      sidecar_call_t *call = link->data;

      if (call->state != SIDECAR_CALL_INTERRUPTED)
        continue;
      if (call->interrupted_us > sidecar->probe_started_us)
        {
          remaining++;
          continue;
        }
      end_interrupted_call (call, crashed);
      ended++;
    }
  if (ended > 0 && crashed)
    {
      counter_add (sidecar->crashes, 1);
      log_event (LOG_LEVEL_WARNING, "engine_crashed", "engine", sidecar->daemon->settings.name,
                 "in_flight", LOG_U64 (ended), NULL);
    }
  return remaining > 0;
}

static bool
on_head (int status, struct evkeyvalq *headers, void *context)
{
  (void)status;
  (void)headers;
  (void)context;
  return true;
}

static void
on_data (struct evbuffer *data, void *context)
{
  (void)context;
  evbuffer_drain (data, evbuffer_get_length (data));
}

/* on_end() - judges the result of a health check
 *
 * A refused connection means that the engine crashed. A frozen or slow engine keeps its listening
 * socket, so the health check times out instead and no request is marked. A health check whose
 * connection was closed is inconclusive: it may have used a connection of the process that has just
 * died. */
static void
on_end (const http_client_result_t *end, void *context)
{
  sidecar_t *sidecar = context;
  bool disconnected = !end->complete &&
                      (end->reason == VERDICT_REASON_CUT || end->reason == VERDICT_REASON_CROSSED);
  bool crashed = !end->complete && end->reason == VERDICT_REASON_CONNECT;

  sidecar->probe = NULL;
  sidecar->probe_disconnects = disconnected ? sidecar->probe_disconnects + 1 : 0;
  if (disconnected && sidecar->probe_disconnects < SIDECAR_PROBE_MAX_DISCONNECTS)
    {
      schedule_probe (sidecar);
      return;
    }
  set_engine_up (sidecar, end->complete);
  if (end_interrupted_calls (sidecar, crashed || disconnected))
    sidecar_probe_start (sidecar);
  else if (!end->complete)
    schedule_probe (sidecar);
  sidecar_process_queue (sidecar);
}

void
sidecar_probe_start (sidecar_t *sidecar)
{
  http_client_options_t options = { .address = &sidecar->daemon->settings.engine,
                                    .method = "GET",
                                    .target = PROBE_TARGET,
                                    .timeout_us = SIDECAR_PROBE_TIMEOUT_US,
                                    .answer_limit_bytes = 64 * 1024,
                                    .on_head = on_head,
                                    .on_data = on_data,
                                    .on_end = on_end,
                                    .context = sidecar };

  if (sidecar->probe != NULL)
    return;
  event_del (sidecar->probe_timer);
  sidecar->probe_started_us = data_task_now_us (sidecar->data_task);
  sidecar->probe = http_client_start_call (sidecar->http_client, &options);
}

void
sidecar_probe_on_timer (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  sidecar_probe_start (context);
}
