#include "request/sidecar/sidecar_private.h"

#include "base/log.h"
#include "request/messages.h"

#define PROBE_TARGET "/health"

static void
schedule (sdc_t *sdc)
{
  struct timeval delay = { .tv_usec = 0 };

  sdc->probe_delay_ms = CLAMP (sdc->probe_delay_ms * 2, SDC_PROBE_MIN_MS, SDC_PROBE_MAX_MS);
  delay.tv_sec = sdc->probe_delay_ms / 1000;
  delay.tv_usec = (suseconds_t)(sdc->probe_delay_ms % 1000) * 1000;
  event_add (sdc->probe_timer, &delay);
}

static void
set_up (sdc_t *sdc, bool up)
{
  if (up)
    sdc->probe_delay_ms = 0;
  if (sdc->engine_up == up)
    return;
  sdc->engine_up = up;
  adm_set_engine_up (sdc->adm, up);
  log_event (LOG_LEVEL_NOTICE, up ? "engine_up" : "engine_down", "engine", sdc->dmn->set.name,
             NULL);
}

/* tell_mark() - to the other sidecars; the control task spreads it */
static void
tell_mark (sdc_t *sdc, uint64_t fingerprint)
{
  msg_marks_t *message = msg_new (MSG_NEW_MARK);

  message->count = 1;
  if (sus_get (adm_suspects (sdc->adm), ops_now_us (sdc->ops), fingerprint, &message->marks[0]))
    mbx_send (sdc->dmn->to_control, &message->head);
  else
    message->head.free (&message->head);
}

/* end_cut() - All that the engine ran when it crashed are marked: nothing tells which of them did
 * it, and were only the likeliest marked, the guilty one could go on to crash a third engine. A
 * mark costs an innocent request no more than the choice of its next engine. */
static void
end_cut (sdc_call_t *call, bool crashed)
{
  sdc_t *sdc = call->sdc;
  uint64_t now_us = ops_now_us (sdc->ops);

  if (crashed)
    {
      adm_crashed (sdc->adm, now_us, &call->request);
      tell_mark (sdc, call->hop.fingerprint);
    }
  adm_finish (sdc->adm, now_us, &call->request, false);
  sdc_call_fail (call, crashed ? VRD_REASON_ENGINE_CRASHED : VRD_REASON_CUT);
}

/* end_cuts() - those that were cut before the probe began: it says nothing of later ones. Return:
 * whether any are left */
static bool
end_cuts (sdc_t *sdc, bool crashed)
{
  g_autoptr (GList) calls = g_hash_table_get_values (sdc->calls);
  uint32_t ended = 0;
  uint32_t left = 0;

  for (GList *link = calls; link != NULL; link = link->next)
    {
      sdc_call_t *call = link->data;

      if (call->state != SDC_CUT)
        continue;
      if (call->cut_us > sdc->probe_us)
        {
          left++;
          continue;
        }
      end_cut (call, crashed);
      ended++;
    }
  if (ended > 0 && crashed)
    {
      cnt_add (sdc->crashes, 1);
      log_event (LOG_LEVEL_WARNING, "engine_crashed", "engine", sdc->dmn->set.name, "in_flight",
                 LOG_U64 (ended), NULL);
    }
  return left > 0;
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

/* on_end() - A refused connection is a crash. An engine that is frozen or slow keeps its socket and
 * runs out the time instead; its requests are not blamed. A probe that was itself cut tells
 * nothing: it may have gone out on a connection of the process that has just died. */
static void
on_end (const hcl_end_t *end, void *context)
{
  sdc_t *sdc = context;
  bool cut = !end->whole && (end->reason == VRD_REASON_CUT || end->reason == VRD_REASON_CROSSED);
  bool crashed = !end->whole && end->reason == VRD_REASON_CONNECT;

  sdc->probe = NULL;
  sdc->probe_cuts = cut ? sdc->probe_cuts + 1 : 0;
  if (cut && sdc->probe_cuts < SDC_PROBE_CUTS)
    {
      schedule (sdc);
      return;
    }
  set_up (sdc, end->whole);
  if (end_cuts (sdc, crashed || cut))
    sdc_probe_now (sdc);
  else if (!end->whole)
    schedule (sdc);
  sdc_pump (sdc);
}

void
sdc_probe_now (sdc_t *sdc)
{
  hcl_options_t options = { .address = &sdc->dmn->set.engine,
                            .method = "GET",
                            .target = PROBE_TARGET,
                            .timeout_us = SDC_PROBE_TIMEOUT_US,
                            .answer_limit_bytes = 64 * 1024,
                            .on_head = on_head,
                            .on_data = on_data,
                            .on_end = on_end,
                            .context = sdc };

  if (sdc->probe != NULL)
    return;
  event_del (sdc->probe_timer);
  sdc->probe_us = ops_now_us (sdc->ops);
  sdc->probe = hcl_start (sdc->hcl, &options);
}

void
sdc_probe_timer (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  sdc_probe_now (context);
}
