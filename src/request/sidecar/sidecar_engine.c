#include "request/sidecar/sidecar_private.h"

#include <event2/http.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define OWN_HEADERS 3

static void
set_timer (sdc_call_t *call, uint64_t delay_us)
{
  struct timeval delay = { .tv_sec = (time_t)(delay_us / CLK_US_PER_S),
                           .tv_usec = (suseconds_t)(delay_us % CLK_US_PER_S) };

  event_add (call->timer, &delay);
}

static void
add_load (sdc_call_t *call)
{
  char load[48];

  if (sdc_load_text (call->sdc, load))
    rly_add_header (&call->rly, HOP_LOAD_HEADER, load);
}

static bool
on_head (int status, struct evkeyvalq *headers, void *context)
{
  sdc_call_t *call = context;
  const char *echoed = evhttp_find_header (headers, HOP_REQUEST_HEADER);

  /* An engine that mixes up its answers would hand one caller what another asked for. */
  if (echoed != NULL && strcmp (echoed, call->attempt_text) != 0)
    {
      call->crossed = true;
      return false;
    }
  call->head_came = true;
  rly_head (&call->rly, call->out, status, headers);
  call->rly.events = false; /* its router tells the caller why a stream breaks off, and only once */
  rly_add_header (&call->rly, HOP_ATTEMPT_HEADER, call->attempt_text);
  rly_add_header (&call->rly, HOP_ENGINE_HEADER, call->sdc->dmn->set.name);
  rly_add_header (&call->rly, HOP_INCARNATION_HEADER, call->sdc->incarnation_text);
  if (!call->rly.holding)
    add_load (call);
  rly_add_header (&call->rly, VRD_HEADER, vrd_name (VRD_RAN));
  set_timer (call, SDC_STALL_US);
  return true;
}

static void
on_data (struct evbuffer *data, void *context)
{
  sdc_call_t *call = context;

  rly_data (&call->rly, data);
  set_timer (call, SDC_STALL_US);
}

static void
whole (sdc_call_t *call, int status)
{
  sdc_t *sdc = call->sdc;
  bool warm = sdc->service != NULL && sdc->service->kind == MAN_KIND_MODEL && status == 200;

  adm_finish (sdc->adm, ops_now_us (sdc->ops), &call->request, warm);
  sdc_claim_end (call, true, (uint32_t)status);
  if (!call->rly.begun)
    add_load (call); /* without this request, which is over */
  sdc_call_answered (call);
}

/* unreached() - not a byte left for the engine */
static void
unreached (sdc_call_t *call)
{
  sdc_t *sdc = call->sdc;

  sdc_claim_end (call, false, 0);
  sdc_call_give_back (call, VRD_REASON_NO_ENGINE, VRD_NOT_RUN);
  sdc_probe_now (sdc);
}

/* cut() - whether the engine crashed decides what the router hears and whom a mark is put on. A
 * stream that has begun is broken off at once; only the mark waits for the probe. */
static void
cut (sdc_call_t *call)
{
  sdc_t *sdc = call->sdc;

  call->state = SDC_CUT;
  call->cut_us = ops_now_us (sdc->ops);
  if (call->rly.begun)
    {
      rly_cut (
          &call->rly,
          &(flt_t){ .verdict = VRD_RAN, .reason = VRD_REASON_CUT, .request = call->attempt_text });
      call->in = NULL;
    }
  sdc_probe_now (sdc);
}

static void
on_end (const hcl_end_t *end, void *context)
{
  sdc_call_t *call = context;
  sdc_t *sdc = call->sdc;

  call->out = NULL;
  call->rly.from = NULL;
  event_del (call->timer);
  if (end->whole)
    whole (call, end->status);
  else if (end->verdict == VRD_NOT_RUN)
    unreached (call);
  else if (call->crossed)
    {
      adm_finish (sdc->adm, ops_now_us (sdc->ops), &call->request, false);
      sdc_call_fail (call, VRD_REASON_CROSSED);
    }
  else
    cut (call);
  sdc_pump (sdc);
}

void
sdc_engine_timer (evutil_socket_t fd, short what, void *context)
{
  sdc_call_t *call = context;
  sdc_t *sdc = call->sdc;

  (void)fd;
  (void)what;
  if (call->out == NULL)
    return;
  if (call->rly.begun && rly_held_up (&call->rly))
    {
      set_timer (call, SDC_STALL_US);
      return;
    }
  if (!call->hop.idempotent && !call->head_came && !call->late)
    {
      /* Its caller hears now that it may have run. It is not taken from the engine: half done, it
       * could neither be known nor be sent again. */
      call->late = true;
      sdc_call_note (call, "late", VRD_MAY_HAVE_RUN, VRD_REASON_TIMEOUT);
      sdc_call_unheard (call, VRD_REASON_TIMEOUT);
      set_timer (call, SDC_STALL_US);
      return;
    }
  adm_finish (sdc->adm, ops_now_us (sdc->ops), &call->request, false);
  sdc_call_fail (call, VRD_REASON_TIMEOUT);
  sdc_pump (sdc);
}

void
sdc_engine_start (sdc_call_t *call)
{
  sdc_t *sdc = call->sdc;
  uint64_t now_us = ops_now_us (sdc->ops);
  uint64_t left_us = call->deadline_us > now_us ? call->deadline_us - now_us : 0;
  char priority[16];
  g_autofree hcl_header_t *headers = g_new (hcl_header_t, call->header_count + OWN_HEADERS);
  hcl_header_t *own = headers + call->header_count;
  hcl_options_t options = { .address = &sdc->dmn->set.engine,
                            .method = call->method,
                            .target = call->target,
                            .headers = headers,
                            .header_count = call->header_count + OWN_HEADERS,
                            .body = call->body,
                            .body_bytes = call->body_bytes,
                            .on_head = on_head,
                            .on_data = on_data,
                            .on_end = on_end,
                            .context = call };

  snprintf (priority, sizeof priority, "%" PRIu32, call->request.item.priority);
  memcpy (headers, call->headers, call->header_count * sizeof headers[0]);
  own[0] = (hcl_header_t){ .name = HOP_REQUEST_HEADER, .value = call->attempt_text };
  own[1] = (hcl_header_t){ .name = HOP_PRIORITY_HEADER, .value = priority };
  own[2] = (hcl_header_t){ .name = HOP_ACCOUNT_HEADER, .value = call->hop.account };
  call->state = SDC_RUNNING;
  cnt_add (sdc->dispatched, 1);
  sdc_call_note (call, "dispatch", VRD_MAY_HAVE_RUN, VRD_REASON_NONE);
  set_timer (call, MAX (left_us, CLK_US_PER_MS));
  call->out = hcl_start (sdc->hcl, &options);
}
