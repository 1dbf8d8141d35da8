#include "request/sidecar/sidecar_private.h"

#include "base/log.h"
#include "request/messages.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/* A load that changed by this many requests since the last report is reported at once. */
#define REPORT_LOAD_CHANGE 2

static bool
is_ready (void *context)
{
  const sidecar_t *sidecar = context;

  return sidecar->engine_up && sidecar->service != NULL;
}

static uint32_t
count_in_flight (void *context)
{
  const sidecar_t *sidecar = context;

  return g_hash_table_size (sidecar->calls);
}

static void
add_status (json_t *out, void *context)
{
  const sidecar_t *sidecar = context;
  uint64_t now_us = data_task_now_us (sidecar->data_task);
  load_sample_t own = admission_sample (sidecar->admission, now_us);
  load_samples_estimate_t mean = load_samples_estimate_mean (
      admission_mean (sidecar->admission), now_us, &own, sidecar->other_engine_count + 1);

  json_object_set_new (out, "service",
                       json_string (sidecar->service != NULL ? sidecar->service->name : ""));
  json_object_set_new (out, "engine_up", json_boolean (sidecar->engine_up));
  json_object_set_new (out, "load", json_integer (admission_load (sidecar->admission)));
  json_object_set_new (out, "waiting", json_integer (admission_waiting (sidecar->admission)));
  json_object_set_new (out, "mean_milli", json_integer ((json_int_t)mean.mean_milli));
  json_object_set_new (
      out, "bound_milli",
      json_integer ((json_int_t)admission_bound_milli (sidecar->admission, now_us)));
  json_object_set_new (
      out, "directory",
      json_integer (chat_directory_count (admission_directory (sidecar->admission))));
}

static bool
is_live (uint64_t engine_hash, void *context)
{
  const sidecar_t *sidecar = context;
  const membership_snapshot_t *members = data_task_members (sidecar->data_task);
  const membership_host_t *host =
      members != NULL ? membership_find_by_hash (members, engine_hash) : NULL;

  return host != NULL && !host->is_router && host->state == MEMBERSHIP_LIVE;
}

static void
list_other_engines (sidecar_t *sidecar)
{
  const manifest_t *manifest = data_task_manifest (sidecar->data_task);
  const membership_snapshot_t *members = data_task_members (sidecar->data_task);

  g_clear_pointer (&sidecar->other_engines, g_free);
  sidecar->other_engine_count = 0;
  if (sidecar->service == NULL || members == NULL)
    return;
  sidecar->other_engines = g_new0 (rendezvous_engine_t, members->host_count);
  for (uint32_t i = 0; i < members->host_count; i++)
    {
      const membership_host_t *host = &members->hosts[i];

      if (host->hash == sidecar->own_hash || host->is_router || host->state != MEMBERSHIP_LIVE ||
          manifest_service_of_engine (manifest, host->name) != sidecar->service)
        continue;
      sidecar->other_engines[sidecar->other_engine_count++] =
          (rendezvous_engine_t){ .hash = host->hash, .index = i, .weight = 1.0F };
    }
}

static admission_options_t
admission_options (sidecar_t *sidecar)
{
  admission_options_t options = { .engine_hash = sidecar->own_hash,
                                  .seed = sidecar->own_hash ^ sidecar->daemon->incarnation,
                                  .slots = 1,
                                  .bound_percent = 100,
                                  .engine_count = sidecar->other_engine_count + 1,
                                  .is_live = is_live,
                                  .context = sidecar };

  if (sidecar->service == NULL)
    return options;
  options.service_hash = sidecar->service->hash;
  options.slots = sidecar->service->slots;
  options.bound_percent = sidecar->service->bound_percent;
  options.prefill_tokens_s = sidecar->service->prefill_tokens_s;
  options.cache_lifetime_us = (uint64_t)sidecar->service->cache_lifetime_ms * CLOCK_US_PER_MS;
  return options;
}

static bool
is_leaving (const sidecar_t *sidecar)
{
  const membership_snapshot_t *members = data_task_members (sidecar->data_task);
  const membership_host_t *own =
      members != NULL ? membership_find_by_hash (members, sidecar->own_hash) : NULL;

  return data_task_is_draining (sidecar->data_task) ||
         (own != NULL && own->state != MEMBERSHIP_LIVE);
}

bool
sidecar_accepts_requests (const sidecar_t *sidecar)
{
  return sidecar->service != NULL && sidecar->engine_up && !is_leaving (sidecar) &&
         !data_task_is_stale (sidecar->data_task);
}

verdict_reason_t
sidecar_unavailable_reason (const sidecar_call_t *call)
{
  const sidecar_t *sidecar = call->sidecar;

  if (data_task_is_stale (sidecar->data_task))
    return VERDICT_REASON_STALE;
  if (is_leaving (sidecar))
    return VERDICT_REASON_LEAVING;
  if (sidecar->service == NULL || strcmp (sidecar->service->name, call->hop.service) != 0)
    return VERDICT_REASON_WRONG_SERVICE;
  return VERDICT_REASON_NONE;
}

bool
sidecar_in_leaving_grace (const sidecar_t *sidecar)
{
  return sidecar->leaving_since_us != 0 &&
         data_task_now_us (sidecar->data_task) - sidecar->leaving_since_us < LIMIT_LEAVING_GRACE_US;
}

static void
update_leaving_since (sidecar_t *sidecar)
{
  if (!is_leaving (sidecar))
    sidecar->leaving_since_us = 0;
  else if (sidecar->leaving_since_us == 0)
    sidecar->leaving_since_us = data_task_now_us (sidecar->data_task);
}

static void
on_configuration_changed (void *context)
{
  sidecar_t *sidecar = context;
  const manifest_t *manifest = data_task_manifest (sidecar->data_task);
  admission_options_t options;

  sidecar->service = manifest != NULL
                         ? manifest_service_of_engine (manifest, sidecar->daemon->settings.name)
                         : NULL;
  list_other_engines (sidecar);
  options = admission_options (sidecar);
  admission_configure (sidecar->admission, &options);
  update_leaving_since (sidecar);
  admission_set_leaving (sidecar->admission, is_leaving (sidecar));
  if (is_leaving (sidecar))
    sidecar_hand_over_directory (sidecar);
  else
    sidecar->directory_handed_over = false;
  sidecar_process_queue (sidecar);
}

static void
on_stopping (void *context)
{
  sidecar_t *sidecar = context;

  log_event (LOG_LEVEL_NOTICE, "stopping", "in_flight",
             LOG_U64 (g_hash_table_size (sidecar->calls)), NULL);
  on_configuration_changed (sidecar);
}

static void
report_load (sidecar_t *sidecar)
{
  message_load_samples_t *message;

  if (!sidecar_accepts_requests (sidecar))
    return;
  message = message_new (MESSAGE_OWN_LOAD_SAMPLE);
  message->count = 1;
  message->samples[0] =
      admission_sample (sidecar->admission, data_task_now_us (sidecar->data_task));
  sidecar->reported_sample = message->samples[0];
  mailbox_send (sidecar->daemon->to_control, &message->head);
}

static void
on_report (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  report_load (context);
}

static void
on_tick (evutil_socket_t fd, short what, void *context)
{
  sidecar_t *sidecar = context;
  int64_t load_change =
      (int64_t)admission_load (sidecar->admission) - (int64_t)sidecar->reported_sample.load;

  (void)fd;
  (void)what;
  sidecar_process_queue (sidecar);
  counter_set (sidecar->bound_milli,
               admission_bound_milli (sidecar->admission, data_task_now_us (sidecar->data_task)));
  if (load_change >= REPORT_LOAD_CHANGE || load_change <= -REPORT_LOAD_CHANGE)
    report_load (sidecar);
}

static void
merge_samples (sidecar_t *sidecar, const message_load_samples_t *message)
{
  for (uint32_t i = 0; i < message->count; i++)
    {
      const load_sample_t *sample = &message->samples[i];

      if (sidecar->service != NULL && sample->service_hash == sidecar->service->hash &&
          sample->engine_hash != sidecar->own_hash)
        load_samples_add (admission_mean (sidecar->admission), sample);
    }
  sidecar_process_queue (sidecar);
}

static void
merge_crash_marks (sidecar_t *sidecar, const message_crash_marks_t *message)
{
  for (uint32_t i = 0; i < message->count; i++)
    suspect_merge_mark (admission_suspects (sidecar->admission),
                        data_task_now_us (sidecar->data_task), &message->marks[i]);
}

static void
make_counters (sidecar_t *sidecar)
{
  counter_registry_t *registry = sidecar->daemon->counters;
  char name[128];

  sidecar->dispatched =
      counter_get (registry, "medlarplank_dispatched_total", "Requests passed to the engine.");
  sidecar->waited =
      counter_get (registry, "medlarplank_queued_total", "Requests that had to wait here.");
  sidecar->crashes =
      counter_get (registry, "medlarplank_engine_crashes_total", "Crashes of the engine.");
  sidecar->directory_notes = counter_get (registry, SIDECAR_DIRECTORY_NOTES_COUNTER,
                                          "Chats told to be warm on another engine.");
  sidecar->load = counter_get (registry, "medlarplank_load", "Requests that the engine runs now.");
  sidecar->waiting = counter_get (registry, "medlarplank_waiting", "Requests that wait here now.");
  sidecar->bound_milli =
      counter_get (registry, "medlarplank_bound_milli", "Load bound, in thousandths of a request.");
  for (uint32_t i = 0; i < VERDICT_REASON_COUNT; i++)
    {
      snprintf (name, sizeof name, "medlarplank_refusals_total{reason=\"%s\"}",
                verdict_reason_to_string (i));
      sidecar->refusals[i] =
          counter_get (registry, name, "Requests refused or failed here, by reason.");
    }
}

static struct event *
start_timer (sidecar_t *sidecar, uint32_t interval_ms, event_callback_fn callback)
{
  struct event *event = event_new (sidecar->base, -1, EV_PERSIST, callback, sidecar);
  struct timeval interval = { .tv_sec = interval_ms / 1000,
                              .tv_usec = (suseconds_t)(interval_ms % 1000) * 1000 };

  event_add (event, &interval);
  return event;
}

sidecar_t *
sidecar_new (daemon_t *daemon, struct event_base *base, GError **error)
{
  sidecar_t *sidecar = g_new0 (sidecar_t, 1);
  data_task_options_t options = { .daemon = daemon,
                                  .base = base,
                                  .on_call = sidecar_accept,
                                  .on_sealed = sidecar_handle_peer_request,
                                  .ready = is_ready,
                                  .in_flight = count_in_flight,
                                  .status = add_status,
                                  .changed = on_configuration_changed,
                                  .stopping = on_stopping,
                                  .context = sidecar };
  admission_options_t first;

  sidecar->daemon = daemon;
  sidecar->base = base;
  sidecar->own_hash = rendezvous_hash_name (daemon->settings.name);
  sidecar->data_task = data_task_new (&options, error);
  if (sidecar->data_task == NULL)
    {
      g_free (sidecar);
      return NULL;
    }
  first = admission_options (sidecar);
  sidecar->admission = admission_new (&first);
  admission_set_engine_up (sidecar->admission, false);
  admission_set_joined (sidecar->admission, data_task_now_us (sidecar->data_task));
  sidecar->history = history_new (LIMIT_REVOKED_ATTEMPTS);
  sidecar->http_client = http_client_new (base, SIDECAR_IDLE_CONNECTIONS, SIDECAR_IDLE_TIMEOUT_MS);
  sidecar->calls = g_hash_table_new (hop_hash_attempt, hop_equal_attempt);
  snprintf (sidecar->incarnation_text, sizeof sidecar->incarnation_text, "%" PRIu64,
            daemon->incarnation);
  make_counters (sidecar);
  sidecar->probe_timer = evtimer_new (base, sidecar_probe_on_timer, sidecar);
  sidecar->tick_timer = start_timer (sidecar, SIDECAR_QUEUE_CHECK_MS, on_tick);
  sidecar->report_timer = start_timer (sidecar, daemon->settings.exchange_interval_ms, on_report);
  sidecar_probe_start (sidecar);
  return sidecar;
}

void
sidecar_free (sidecar_t *sidecar)
{
  GList *calls;

  if (sidecar == NULL)
    return;
  calls = g_hash_table_get_values (sidecar->calls);
  for (GList *link = calls; link != NULL; link = link->next)
    {
      sidecar_call_t *call = link->data;

      if (call->inbound != NULL)
        http_server_abort (call->inbound);
      sidecar_call_free (call);
    }
  g_list_free (calls);
  event_free (sidecar->probe_timer);
  event_free (sidecar->tick_timer);
  event_free (sidecar->report_timer);
  data_task_free (sidecar->data_task);
  http_client_free (sidecar->http_client);
  admission_free (sidecar->admission);
  history_free (sidecar->history);
  g_hash_table_destroy (sidecar->calls);
  g_free (sidecar->other_engines);
  g_free (sidecar);
}

void
sidecar_handle_message (mailbox_message_t *message, void *context)
{
  sidecar_t *sidecar = context;

  if (data_task_handle_message (sidecar->data_task, message))
    return;
  switch ((message_kind_t)message->kind)
    {
    case MESSAGE_LOAD_SAMPLES:
      merge_samples (sidecar, (message_load_samples_t *)message);
      break;
    case MESSAGE_CRASH_MARKS:
      merge_crash_marks (sidecar, (message_crash_marks_t *)message);
      break;
    case MESSAGE_CLAIM_RESULT:
      sidecar_claim_handle_result (sidecar, &((message_claim_result_t *)message)->result);
      break;
    default:
      break;
    }
}
