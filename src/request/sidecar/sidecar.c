#include "request/sidecar/sidecar_private.h"

#include "base/log.h"
#include "request/messages.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/* A load that moved by this much since the last report is told before the next interval. */
#define REPORT_STEP 2

static bool
ready (void *context)
{
  const sdc_t *sdc = context;

  return sdc->engine_up && sdc->service != NULL;
}

static uint32_t
in_flight (void *context)
{
  const sdc_t *sdc = context;

  return g_hash_table_size (sdc->calls);
}

static void
status (json_t *out, void *context)
{
  const sdc_t *sdc = context;
  uint64_t now_us = ops_now_us (sdc->ops);
  mean_sample_t own = adm_sample (sdc->adm, now_us);
  mean_estimate_t mean = mean_estimate (adm_mean (sdc->adm), now_us, &own, sdc->other_count + 1);

  json_object_set_new (out, "service",
                       json_string (sdc->service != NULL ? sdc->service->name : ""));
  json_object_set_new (out, "engine_up", json_boolean (sdc->engine_up));
  json_object_set_new (out, "load", json_integer (adm_load (sdc->adm)));
  json_object_set_new (out, "waiting", json_integer (adm_waiting (sdc->adm)));
  json_object_set_new (out, "mean_milli", json_integer ((json_int_t)mean.mean_milli));
  json_object_set_new (out, "bound_milli",
                       json_integer ((json_int_t)adm_bound_milli (sdc->adm, now_us)));
  json_object_set_new (out, "directory", json_integer (dir_count (adm_directory (sdc->adm))));
}

static bool
is_live (uint64_t engine_hash, void *context)
{
  const sdc_t *sdc = context;
  const mem_snapshot_t *members = ops_members (sdc->ops);
  const mem_host_t *host = members != NULL ? mem_find_hash (members, engine_hash) : NULL;

  return host != NULL && !host->router && host->state == MEM_LIVE;
}

static void
find_others (sdc_t *sdc)
{
  const man_t *man = ops_man (sdc->ops);
  const mem_snapshot_t *members = ops_members (sdc->ops);

  g_clear_pointer (&sdc->others, g_free);
  sdc->other_count = 0;
  if (sdc->service == NULL || members == NULL)
    return;
  sdc->others = g_new0 (plc_engine_t, members->host_count);
  for (uint32_t i = 0; i < members->host_count; i++)
    {
      const mem_host_t *host = &members->hosts[i];

      if (host->hash == sdc->own_hash || host->router || host->state != MEM_LIVE ||
          man_service_of_engine (man, host->name) != sdc->service)
        continue;
      sdc->others[sdc->other_count++] =
          (plc_engine_t){ .hash = host->hash, .index = i, .weight = 1.0F };
    }
}

static adm_options_t
admission (sdc_t *sdc)
{
  adm_options_t options = { .engine_hash = sdc->own_hash,
                            .seed = sdc->own_hash ^ sdc->dmn->incarnation,
                            .slots = 1,
                            .bound_percent = 100,
                            .engine_count = sdc->other_count + 1,
                            .is_live = is_live,
                            .context = sdc };

  if (sdc->service == NULL)
    return options;
  options.service_hash = sdc->service->hash;
  options.slots = sdc->service->slots;
  options.bound_percent = sdc->service->bound_percent;
  options.prefill_tokens_s = sdc->service->prefill_tokens_s;
  options.cache_lifetime_us = (uint64_t)sdc->service->cache_lifetime_ms * CLK_US_PER_MS;
  return options;
}

static bool
is_leaving (const sdc_t *sdc)
{
  const mem_snapshot_t *members = ops_members (sdc->ops);
  const mem_host_t *own = members != NULL ? mem_find_hash (members, sdc->own_hash) : NULL;

  return ops_draining (sdc->ops) || (own != NULL && own->state != MEM_LIVE);
}

bool
sdc_takes_work (const sdc_t *sdc)
{
  return sdc->service != NULL && sdc->engine_up && !is_leaving (sdc) && !ops_stale (sdc->ops);
}

vrd_reason_t
sdc_closed (const sdc_call_t *call)
{
  const sdc_t *sdc = call->sdc;

  if (ops_stale (sdc->ops))
    return VRD_REASON_STALE;
  if (is_leaving (sdc))
    return VRD_REASON_LEAVING;
  if (sdc->service == NULL || strcmp (sdc->service->name, call->hop.service) != 0)
    return VRD_REASON_WRONG_SERVICE;
  return VRD_REASON_NONE;
}

bool
sdc_left_lately (const sdc_t *sdc)
{
  return sdc->left_us != 0 && ops_now_us (sdc->ops) - sdc->left_us < LIM_LEAVING_GRACE_US;
}

static void
note_leaving (sdc_t *sdc)
{
  if (!is_leaving (sdc))
    sdc->left_us = 0;
  else if (sdc->left_us == 0)
    sdc->left_us = ops_now_us (sdc->ops);
}

static void
changed (void *context)
{
  sdc_t *sdc = context;
  const man_t *man = ops_man (sdc->ops);
  adm_options_t options;

  sdc->service = man != NULL ? man_service_of_engine (man, sdc->dmn->set.name) : NULL;
  find_others (sdc);
  options = admission (sdc);
  adm_configure (sdc->adm, &options);
  note_leaving (sdc);
  adm_set_leaving (sdc->adm, is_leaving (sdc));
  if (is_leaving (sdc))
    sdc_leave (sdc);
  else
    sdc->handed_over = false;
  sdc_pump (sdc);
}

static void
stopping (void *context)
{
  sdc_t *sdc = context;

  log_event (LOG_LEVEL_NOTICE, "stopping", "in_flight", LOG_U64 (g_hash_table_size (sdc->calls)),
             NULL);
  changed (sdc);
}

static void
report (sdc_t *sdc)
{
  msg_samples_t *message;

  if (!sdc_takes_work (sdc))
    return;
  message = msg_new (MSG_OWN_SAMPLE);
  message->count = 1;
  message->samples[0] = adm_sample (sdc->adm, ops_now_us (sdc->ops));
  sdc->reported = message->samples[0];
  mbx_send (sdc->dmn->to_control, &message->head);
}

static void
on_report (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  report (context);
}

static void
on_tick (evutil_socket_t fd, short what, void *context)
{
  sdc_t *sdc = context;
  int64_t moved = (int64_t)adm_load (sdc->adm) - (int64_t)sdc->reported.load;

  (void)fd;
  (void)what;
  sdc_pump (sdc);
  cnt_set_value (sdc->bound_milli, adm_bound_milli (sdc->adm, ops_now_us (sdc->ops)));
  if (moved >= REPORT_STEP || moved <= -REPORT_STEP)
    report (sdc);
}

static void
take_samples (sdc_t *sdc, const msg_samples_t *message)
{
  for (uint32_t i = 0; i < message->count; i++)
    {
      const mean_sample_t *sample = &message->samples[i];

      if (sdc->service != NULL && sample->service_hash == sdc->service->hash &&
          sample->engine_hash != sdc->own_hash)
        mean_add (adm_mean (sdc->adm), sample);
    }
  sdc_pump (sdc);
}

static void
take_marks (sdc_t *sdc, const msg_marks_t *message)
{
  for (uint32_t i = 0; i < message->count; i++)
    sus_merge (adm_suspects (sdc->adm), ops_now_us (sdc->ops), &message->marks[i]);
}

static void
make_counters (sdc_t *sdc)
{
  cnt_set_t *set = sdc->dmn->counters;
  char name[128];

  sdc->dispatched = cnt_get (set, "medlarplank_dispatched_total", "Requests passed to the engine.");
  sdc->waited = cnt_get (set, "medlarplank_queued_total", "Requests that had to wait here.");
  sdc->crashes = cnt_get (set, "medlarplank_engine_crashes_total", "Crashes of the engine.");
  sdc->notes = cnt_get (set, SDC_NOTES_COUNTER, "Chats told to be warm on another engine.");
  sdc->load = cnt_get (set, "medlarplank_load", "Requests that the engine runs now.");
  sdc->waiting = cnt_get (set, "medlarplank_waiting", "Requests that wait here now.");
  sdc->bound_milli =
      cnt_get (set, "medlarplank_bound_milli", "Load bound, in thousandths of a request.");
  for (uint32_t i = 0; i < VRD_REASON_COUNT; i++)
    {
      snprintf (name, sizeof name, "medlarplank_refusals_total{reason=\"%s\"}",
                vrd_reason_name (i));
      sdc->refusals[i] = cnt_get (set, name, "Requests refused or failed here, by reason.");
    }
}

static struct event *
start_timer (sdc_t *sdc, uint32_t interval_ms, event_callback_fn callback)
{
  struct event *event = event_new (sdc->base, -1, EV_PERSIST, callback, sdc);
  struct timeval interval = { .tv_sec = interval_ms / 1000,
                              .tv_usec = (suseconds_t)(interval_ms % 1000) * 1000 };

  event_add (event, &interval);
  return event;
}

sdc_t *
sdc_new (dmn_t *dmn, struct event_base *base, GError **error)
{
  sdc_t *sdc = g_new0 (sdc_t, 1);
  ops_options_t options = { .dmn = dmn,
                            .base = base,
                            .on_call = sdc_accept,
                            .on_sealed = sdc_order,
                            .ready = ready,
                            .in_flight = in_flight,
                            .status = status,
                            .changed = changed,
                            .stopping = stopping,
                            .context = sdc };
  adm_options_t first;

  sdc->dmn = dmn;
  sdc->base = base;
  sdc->own_hash = plc_hash_name (dmn->set.name);
  sdc->ops = ops_new (&options, error);
  if (sdc->ops == NULL)
    {
      g_free (sdc);
      return NULL;
    }
  first = admission (sdc);
  sdc->adm = adm_new (&first);
  adm_set_engine_up (sdc->adm, false);
  adm_set_joined (sdc->adm, ops_now_us (sdc->ops));
  sdc->hst = hst_new (LIM_REVOKED);
  sdc->hcl = hcl_new (base, SDC_IDLE_CONNECTIONS, SDC_IDLE_TIMEOUT_MS);
  sdc->calls = g_hash_table_new (hop_attempt_hash, hop_attempt_equal);
  snprintf (sdc->incarnation_text, sizeof sdc->incarnation_text, "%" PRIu64, dmn->incarnation);
  make_counters (sdc);
  sdc->probe_timer = evtimer_new (base, sdc_probe_timer, sdc);
  sdc->tick = start_timer (sdc, SDC_TICK_MS, on_tick);
  sdc->report = start_timer (sdc, dmn->set.exchange_interval_ms, on_report);
  sdc_probe_now (sdc);
  return sdc;
}

void
sdc_free (sdc_t *sdc)
{
  GList *calls;

  if (sdc == NULL)
    return;
  calls = g_hash_table_get_values (sdc->calls);
  for (GList *link = calls; link != NULL; link = link->next)
    {
      sdc_call_t *call = link->data;

      if (call->in != NULL)
        hsv_abort (call->in);
      sdc_call_free (call);
    }
  g_list_free (calls);
  event_free (sdc->probe_timer);
  event_free (sdc->tick);
  event_free (sdc->report);
  ops_free (sdc->ops);
  hcl_free (sdc->hcl);
  adm_free (sdc->adm);
  hst_free (sdc->hst);
  g_hash_table_destroy (sdc->calls);
  g_free (sdc->others);
  g_free (sdc);
}

void
sdc_message (mbx_message_t *message, void *context)
{
  sdc_t *sdc = context;

  if (ops_message (sdc->ops, message))
    return;
  switch ((msg_kind_t)message->kind)
    {
    case MSG_SAMPLES:
      take_samples (sdc, (msg_samples_t *)message);
      break;
    case MSG_MARKS:
      take_marks (sdc, (msg_marks_t *)message);
      break;
    case MSG_CLAIM_RESULT:
      sdc_claim_result (sdc, &((msg_claim_result_t *)message)->result);
      break;
    default:
      break;
    }
}
