/* Log and counters of streams that clients resume: what was known of each, and which engines could
 * have served it. */
#include "request/gateway/gateway_private.h"

#include "base/log.h"

#include <string.h>

#define VERSIONS_LOGGED_MAX 4 /* further versions of a service are counted only */

static const char *const outcome_names[GATEWAY_RESUMPTION_OUTCOMES] = {
  [GATEWAY_RESUMPTION_PENDING] = "pending",     [GATEWAY_RESUMPTION_GONE_ON] = "gone_on",
  [GATEWAY_RESUMPTION_UNKNOWN] = "unknown",     [GATEWAY_RESUMPTION_VERSION_GONE] = "version_gone",
  [GATEWAY_RESUMPTION_NO_ENGINE] = "no_engine", [GATEWAY_RESUMPTION_FAILED] = "failed",
};

/** struct version_engines - engines of one version; @usable: those that may be asked now */
typedef struct
{
  const engine_t *first;
  uint32_t usable;
  uint32_t registered;
} version_engines_t;

/** struct service_engines - engines of a service by version; @more: versions for which no room is
 * left */
typedef struct
{
  version_engines_t versions[VERSIONS_LOGGED_MAX];
  uint32_t count;
  uint32_t more;
} service_engines_t;

void
gateway_resume_register_counters (gateway_task_t *gateway)
{
  for (uint32_t i = GATEWAY_RESUMPTION_GONE_ON; i < GATEWAY_RESUMPTION_OUTCOMES; i++)
    gateway->resumption_outcomes[i] = counter_get_labelled (
        gateway->options.counters, "medlarplank_gateway_resumption_ends_total", "outcome",
        outcome_names[i], "Resumptions by what became of them");
}

static bool
is_usable (const engine_t *engine, uint64_t now_us)
{
  return engine_is_open (engine) && !engine->entry_expired &&
         !engine_is_backing_off (engine, now_us) && !engine_is_ejected (engine, now_us, true);
}

/* Return: the engines of the version, NULL when there is no room for a further one */
static version_engines_t *
engines_of_version (service_engines_t *all, const engine_t *engine)
{
  for (uint32_t i = 0; i < all->count; i++)
    if (all->versions[i].first->version == engine->version)
      return &all->versions[i];
  if (all->count == VERSIONS_LOGGED_MAX)
    return NULL;
  all->versions[all->count].first = engine;
  return &all->versions[all->count++];
}

static service_engines_t
count_engines (const gateway_call_t *call)
{
  const gateway_task_t *gateway = call->gateway;
  const GPtrArray *engines = engines_of_service (gateway->options.engines, call->service->name);
  uint64_t now_us = gateway_now_us (gateway);
  service_engines_t all = { .count = 0 };

  for (guint i = 0; engines && i < engines->len; i++)
    {
      const engine_t *engine = g_ptr_array_index (engines, i);
      version_engines_t *of_version = engines_of_version (&all, engine);

      if (!of_version)
        {
          all.more++;
          continue;
        }
      of_version->registered++;
      of_version->usable += is_usable (engine, now_us) ? 1 : 0;
    }
  return all;
}

/* Return: "SOFTWARE:USABLE/REGISTERED,...", to be freed */
static char *
format_engines (const service_engines_t *all)
{
  GString *text = g_string_new (all->count > 0 ? NULL : "none");

  for (uint32_t i = 0; i < all->count; i++)
    g_string_append_printf (text, "%s%s:%u/%u", i > 0 ? "," : "",
                            all->versions[i].first->entry.software_version, all->versions[i].usable,
                            all->versions[i].registered);
  if (all->more > 0)
    g_string_append_printf (text, ",+%u", all->more);
  return g_string_free (text, FALSE);
}

static const version_engines_t *
find_version (const service_engines_t *all, uint64_t version)
{
  for (uint32_t i = 0; i < all->count; i++)
    if (all->versions[i].first->version == version)
      return &all->versions[i];
  return NULL;
}

/* Return: why nobody knows the stream */
static const char *
why_unknown (const gateway_call_t *call)
{
  const gateway_resumption_t *resumption = &call->resumption;

  if (call->stream == 0)
    return "unnamed";
  if (call->gateway->known_routers <= 1)
    return "alone";
  if (resumption->sent == 0)
    return "not_sent";
  if (resumption->answer_count == 0)
    return "no_answer";
  return resumption->answer_count < MIN (resumption->keepers, (uint32_t)GATEWAY_ANSWERS_MAX)
             ? "some_answers"
             : "none_knows";
}

static const char *
yes_no (bool value)
{
  return value ? "yes" : "no";
}

void
gateway_resume_log_decision (const gateway_call_t *call,
                             const resumption_view_t *view,
                             const resumption_t *decision)
{
  const gateway_task_t *gateway = call->gateway;
  const gateway_resumption_t *resumption = &call->resumption;
  const version_search_t *search = &view->search;
  uint64_t now_us = gateway_now_us (gateway);
  service_engines_t all = count_engines (call);
  const version_engines_t *own = find_version (&all, call->version);
  g_autofree char *engines = format_engines (&all);
  bool goes_on = decision->step == RESUMPTION_GO;

  log_event (LOG_LEVEL_NOTICE, "resumption_decided", "id", call->id, "resumed_id",
             call->request.resumed_id, "outcome", goes_on ? "goes_on" : "refused", "basis",
             decision->basis, "version", LOG_HEX (call->version), "tables",
             LOG_U64 (search->tables), "lists", LOG_U64 (search->lists), "floor",
             LOG_U64 (search->floor), "why", goes_on ? NULL : why_unknown (call), "rounds",
             LOG_U64 (resumption->rounds), "keepers", LOG_U64 (resumption->keepers), "sent",
             LOG_U64 (resumption->sent), "answers", LOG_U64 (resumption->answer_count), "ms",
             LOG_U64 ((now_us - call->arrived_us) / CLOCK_US_PER_MS), "gateways",
             LOG_U64 (gateway->known_routers), "current", yes_no (view->is_current), "trusted",
             yes_no (view->is_trusted), "started_ms_ago",
             LOG_U64 ((now_us - gateway->started_us) / CLOCK_US_PER_MS), "service",
             call->service->name, "software", own ? own->first->entry.software_version : NULL,
             "usable", LOG_U64 (own ? own->usable : 0), "engines", engines, NULL);
}

static void
count_outcome (gateway_call_t *call, gateway_resumption_outcome_t outcome)
{
  call->resumption.outcome = outcome;
  counter_add (call->gateway->resumption_outcomes[outcome], 1);
}

static bool
is_pending (const gateway_call_t *call)
{
  return call->request.resumes && call->route->kind == ROUTING_STREAM && call->route->resumable &&
         call->resumption.outcome == GATEWAY_RESUMPTION_PENDING;
}

void
gateway_resume_count_event (gateway_call_t *call)
{
  if (is_pending (call) && call->splitter.event_count > 0)
    count_outcome (call, GATEWAY_RESUMPTION_GONE_ON);
}

void
gateway_resume_count_complete (gateway_call_t *call)
{
  if (is_pending (call))
    count_outcome (call, call->streaming ? GATEWAY_RESUMPTION_GONE_ON : GATEWAY_RESUMPTION_FAILED);
}

static gateway_resumption_outcome_t
outcome_of (const gateway_call_t *call, verdict_reason_t reason, bool ran)
{
  if (call->version == 0)
    return GATEWAY_RESUMPTION_UNKNOWN;
  if (reason == VERDICT_REASON_VERSION_GONE)
    return GATEWAY_RESUMPTION_VERSION_GONE;
  return ran ? GATEWAY_RESUMPTION_FAILED : GATEWAY_RESUMPTION_NO_ENGINE;
}

/* A stream whose version nobody knows has its line already. */
static void
log_refusal (const gateway_call_t *call, verdict_reason_t reason)
{
  service_engines_t all = count_engines (call);
  const version_engines_t *own = find_version (&all, call->version);
  g_autofree char *engines = format_engines (&all);

  log_event (LOG_LEVEL_NOTICE, "resumption_refused", "id", call->id, "resumed_id",
             call->request.resumed_id, "reason", verdict_reason_to_string (reason), "version",
             LOG_HEX (call->version), "tried", LOG_U64 (call->tried_count), "full",
             LOG_U64 (call->course.rejected_full), "unsent", LOG_U64 (call->course.unsent), "ms",
             LOG_U64 ((gateway_now_us (call->gateway) - call->arrived_us) / CLOCK_US_PER_MS),
             "service", call->service->name, "software",
             own ? own->first->entry.software_version : NULL, "usable",
             LOG_U64 (own ? own->usable : 0), "engines", engines, NULL);
}

/* A stream that began here may lose its version too. */
void
gateway_resume_count_failure (gateway_call_t *call, verdict_reason_t reason, bool ran)
{
  bool resumes = is_pending (call);

  if (resumes)
    count_outcome (call, outcome_of (call, reason, ran));
  if (reason == VERDICT_REASON_VERSION_GONE ||
      (resumes && !ran && reason != VERDICT_REASON_VERSION_UNKNOWN))
    log_refusal (call, reason);
}
