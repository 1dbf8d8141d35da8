/* Streams and their software versions. Engines continue any stream that they are asked to, but what
 * two versions write doesn't fit together: so a stream begins at the version that its id has by the
 * table of shares, and is bound to it. Its client may resume it at any gateway. */
#include "request/gateway/gateway_private.h"

#include "base/log.h"

#include <string.h>
#include <xxhash.h>

static bool
is_resumable_stream (const gateway_call_t *call)
{
  return call->route->kind == ROUTING_STREAM && call->route->resumable;
}

/* The account is part of the hash, so that no client names the stream of another account. */
static uint64_t
hash_stream (const gateway_call_t *call, const char *id)
{
  uint64_t account = call->account ? call->account->hash : 0;

  return id && *id != '\0' ? XXH64 (id, strlen (id), account) : 0;
}

void
gateway_resume_init (gateway_call_t *call)
{
  if (!is_resumable_stream (call))
    return;
  call->service->has_streams = true;
  call->stream = hash_stream (call, call->request.resumes ? call->request.resumed_id : call->id);
}

static const software_versions_t *
versions_of (const gateway_task_t *gateway, const char *service)
{
  return engines_versions (gateway->options.engines, service);
}

static resumption_view_t
make_view (const gateway_call_t *call)
{
  const gateway_task_t *gateway = call->gateway;
  const gateway_options_t *options = &gateway->options;
  uint64_t now_us = gateway_now_us (gateway);
  resumption_view_t view = { .sole = software_versions_sole (
                                 versions_of (gateway, call->service->name), now_us),
                             .is_current = gateway->config_current,
                             .is_trusted = gateway->shares_trusted,
                             .is_named = call->stream != 0,
                             .is_alone = gateway->known_routers == 1,
                             .started_us = call->arrived_us,
                             .asked_us = call->resumption.asked_us };

  if (call->stream != 0)
    view.known = stream_origins_find (options->origins, now_us, call->stream);
  if (view.known == 0)
    view.search = options->find_version (call->service->name, call->stream, call->arrived_us,
                                         options->context);
  return view;
}

/* A route may be divided between services; the stream goes on at the one whose version began it. */
static void
select_service (gateway_call_t *call)
{
  gateway_task_t *gateway = call->gateway;

  for (guint i = 0; i < call->route->targets->len; i++)
    {
      const char *name = g_array_index (call->route->targets, routing_target_t, i).service;

      if (name == call->service->name ||
          !software_versions_has (versions_of (gateway, name), call->version))
        continue;
      call->service = gateway_service (gateway, name);
      retry_budget_count_request (&call->service->retries, &gateway->options.retries,
                                  call->arrived_us);
      return;
    }
}

static void
add_origin (const gateway_call_t *call, uint64_t version)
{
  if (call->stream != 0)
    stream_origins_add (call->gateway->options.origins, gateway_now_us (call->gateway),
                        &(stream_origin_t){ .stream = call->stream,
                                            .version = version,
                                            .service = call->service->name,
                                            .expires_us = gateway_now_us (call->gateway) +
                                                          SOFTWARE_VERSIONS_LIFETIME_US });
}

/* Others can't find out by the tables alone. */
static void
tell_if_uncertain (gateway_call_t *call, bool at_once)
{
  const gateway_options_t *options = &call->gateway->options;

  if (call->stream == 0 || call->version == 0 ||
      options->is_certain (call->service->name, call->stream, call->version, options->context))
    return;
  stream_origins_tell (options->origins, call->stream);
  options->on_origins (at_once, options->context);
}

static void
go_on (gateway_call_t *call, const resumption_view_t *view, const resumption_t *decision)
{
  call->version = decision->version;
  if (!software_versions_has (versions_of (call->gateway, call->service->name), call->version))
    select_service (call);
  add_origin (call, call->version);
  tell_if_uncertain (call, false);
  gateway_resume_log_decision (call, view, decision);
  gateway_call_start (call);
}

static void
refuse (gateway_call_t *call, const resumption_view_t *view, const resumption_t *decision)
{
  counter_add (call->gateway->resumptions_refused, 1);
  gateway_resume_log_decision (call, view, decision);
  gateway_call_fail (call, VERDICT_REASON_VERSION_UNKNOWN, GATEWAY_RETRY_VERSION_MS);
}

static void
ask (gateway_call_t *call)
{
  const gateway_options_t *options = &call->gateway->options;

  call->resumption.asked_us = gateway_now_us (call->gateway);
  call->resumption.rounds++;
  options->ask_origin (call->stream, engines_hash_service (call->service->name), options->context);
}

static void
step_resumption (gateway_call_t *call)
{
  const gateway_options_t *options = &call->gateway->options;
  resumption_view_t view;
  resumption_t decision;

  options->update_current (options->context);
  view = make_view (call);
  decision = resumption_decide (&view, gateway_now_us (call->gateway));
  switch (decision.step)
    {
    case RESUMPTION_GO:
      gateway_resume_leave (call);
      go_on (call, &view, &decision);
      return;
    case RESUMPTION_REFUSE:
      gateway_resume_leave (call);
      refuse (call, &view, &decision);
      return;
    case RESUMPTION_ASK:
      ask (call);
      return;
    case RESUMPTION_WAIT:
      return;
    }
}

/* Without a table of shares a stream may begin only while there is one version: nobody else could
 * tell at which it did. */
static bool
may_begin (const gateway_call_t *call)
{
  const gateway_task_t *gateway = call->gateway;

  return call->stream == 0 ||
         gateway->options.has_shares (call->service->name, gateway->options.context) ||
         (gateway->no_shares_before &&
          software_versions_count (versions_of (gateway, call->service->name),
                                   gateway_now_us (gateway)) <= 1);
}

static void
step_begin (gateway_call_t *call)
{
  if (may_begin (call))
    {
      gateway_resume_leave (call);
      gateway_call_start (call);
    }
  else if (gateway_now_us (call->gateway) >= call->arrived_us + GATEWAY_SHARES_WAIT_US)
    {
      gateway_resume_leave (call);
      gateway_call_fail (call, VERDICT_REASON_VERSION_UNKNOWN, GATEWAY_RETRY_VERSION_MS);
    }
}

static void
step (gateway_call_t *call)
{
  if (call->request.resumes)
    step_resumption (call);
  else
    step_begin (call);
}

void
gateway_resume_start (gateway_call_t *call)
{
  if (!is_resumable_stream (call))
    {
      gateway_call_start (call);
      return;
    }
  call->is_version_pending = true;
  call->gateway->resuming_count++;
  step (call);
}

void
gateway_resume_leave (gateway_call_t *call)
{
  if (!call->is_version_pending)
    return;
  call->is_version_pending = false;
  call->gateway->resuming_count--;
}

void
gateway_resume_poll (gateway_task_t *gateway)
{
  g_autoptr (GList) calls = NULL;

  if (gateway->resuming_count == 0)
    return;
  calls = g_hash_table_get_keys (gateway->calls);
  for (GList *link = calls; link; link = link->next)
    if (g_hash_table_contains (gateway->calls, link->data) &&
        ((gateway_call_t *)link->data)->is_version_pending)
      step (link->data);
}

uint64_t
gateway_resume_begin_version (const gateway_call_t *call)
{
  const gateway_options_t *options = &call->gateway->options;

  if (call->stream == 0 || call->version != 0)
    return 0;
  if (call->begin_version != 0)
    return call->begin_version;
  return options->choose_version (call->service->name, call->stream, options->context);
}

/* The table may be replaced before the first event, so the stream counts as begun from now on. */
void
gateway_resume_note_send (gateway_call_t *call)
{
  if (call->stream == 0 || call->version != 0 || call->begin_version != 0)
    return;
  call->begin_version = call->engine->version;
  add_origin (call, call->begin_version);
}

void
gateway_resume_note_not_run (gateway_call_t *call)
{
  if (call->begin_version == 0 || call->version != 0)
    return;
  call->begin_version = 0;
  stream_origins_forget (call->gateway->options.origins, call->stream);
}

void
gateway_resume_note_event (gateway_call_t *call)
{
  gateway_resume_count_event (call);
  if (call->version != 0 || !call->engine || call->splitter.event_count == 0)
    return;
  call->version = call->engine->version;
  add_origin (call, call->version);
  tell_if_uncertain (call, false);
}

/* A gateway that was told of the stream may have been restarted since, so one that breaks off is
 * told again. */
void
gateway_resume_note_end (gateway_call_t *call, bool complete)
{
  if (call->stream == 0 || call->version == 0)
    return;
  if (complete)
    stream_origins_end (call->gateway->options.origins, gateway_now_us (call->gateway),
                        call->stream);
  else
    tell_if_uncertain (call, true);
}

static void
tell_all_of (gateway_service_t *service)
{
  gateway_task_t *gateway = service->gateway;
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, gateway->calls);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (((gateway_call_t *)key)->service == service)
      tell_if_uncertain (key, false);
}

/* Another table makes more streams uncertain; as gateways join or leave, other ones keep them. */
static void
review_service (gateway_service_t *service, bool has_new_keepers)
{
  const gateway_options_t *options = &service->gateway->options;
  uint64_t epoch = options->last_epoch (service->name, options->context);

  if (has_new_keepers || epoch != service->told_epoch)
    tell_all_of (service);
  service->told_epoch = epoch;
}

void
gateway_resume_review (gateway_task_t *gateway)
{
  bool has_new_keepers = gateway->known_routers != gateway->told_routers;
  uint32_t most = 0;
  GHashTableIter iter;
  gpointer value;

  gateway->told_routers = gateway->known_routers;
  g_hash_table_iter_init (&iter, gateway->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gateway_service_t *service = value;

      most = MAX (most, software_versions_count (versions_of (gateway, service->name),
                                                 gateway_now_us (gateway)));
      review_service (service, has_new_keepers);
    }
  counter_set (gateway->versions_gauge, most);
}

void
gateway_set_shares_known (gateway_task_t *gateway, bool no_shares_before, bool trusted)
{
  gateway->no_shares_before = no_shares_before;
  gateway->shares_trusted = trusted;
}

void
gateway_search_again (gateway_task_t *gateway)
{
  gateway_resume_poll (gateway);
}

void
gateway_note_origin_asked (gateway_task_t *gateway,
                           uint64_t stream,
                           uint32_t keepers,
                           uint32_t sent)
{
  GHashTableIter iter;
  gpointer key;

  if (gateway->resuming_count == 0)
    return;
  g_hash_table_iter_init (&iter, gateway->calls);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      gateway_call_t *call = key;

      if (!call->is_version_pending || call->stream != stream)
        continue;
      call->resumption.keepers = keepers;
      call->resumption.sent += sent;
    }
}

/* A gateway that is asked several times answers several times. */
static void
note_answer (gateway_resumption_t *resumption, uint64_t peer)
{
  for (uint32_t i = 0; i < resumption->answer_count; i++)
    if (resumption->answers[i] == peer)
      return;
  if (resumption->answer_count < GATEWAY_ANSWERS_MAX)
    resumption->answers[resumption->answer_count++] = peer;
}

void
gateway_note_unknown_origin (gateway_task_t *gateway, uint64_t stream, uint64_t peer)
{
  GHashTableIter iter;
  gpointer key;

  if (gateway->resuming_count == 0)
    return;
  g_hash_table_iter_init (&iter, gateway->calls);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      gateway_call_t *call = key;

      if (call->is_version_pending && call->stream == stream)
        note_answer (&call->resumption, peer);
    }
}
