/* Copies of the caches of runs at other engines: which runs get one, and how a run goes on from it
 * when its engine ends. */
#include "request/gateway/gateway_private.h"

#include "base/log.h"
#include "request/policy/copies/backup_choice.h"

#include <string.h>
#include <xxhash.h>

void
gateway_copies_register_counters (gateway_task_t *gateway)
{
  counter_registry_t *registry = gateway->options.counters;

  gateway->backups = counter_get (registry, "medlarplank_gateway_backups_total",
                                  "Runs whose cache was to be copied to another engine");
  gateway->backup_tokens =
      counter_get (registry, "medlarplank_gateway_backup_tokens_total", "Tokens of these, at most");
  gateway->continued = counter_get (registry, "medlarplank_gateway_continued_total",
                                    "Requests sent to the engine with the copy of their run");
  gateway->copies_missing = counter_get (registry, "medlarplank_gateway_copies_missing_total",
                                         "Of these, refused, as a rule because there was no copy");
  gateway->continued_whole =
      counter_get (registry, "medlarplank_gateway_continued_answered_total",
                   "Requests answered whole after their run went on from a copy");
}

/* Return: what the engines of the service can do; NULL where runs get no copies */
static const routing_engine_traits_t *
find_traits (const gateway_task_t *gateway, const char *service)
{
  const routing_service_t *rules =
      gateway->table ? routing_find_service (gateway->table, service) : NULL;

  return gateway->options.settings->stream_backups && rules && rules->engine.has_backups
             ? &rules->engine
             : NULL;
}

static void
review (gateway_service_t *service)
{
  gateway_task_t *gateway = service->gateway;

  loss_rate_review (service->losses, gateway_now_us (gateway),
                    engines_of_service (gateway->options.engines, service->name));
}

/* Return: the losses of the service; NULL where runs get no copies */
static loss_rate_t *
get_losses (gateway_service_t *service)
{
  if (!find_traits (service->gateway, service->name))
    {
      g_clear_pointer (&service->losses, loss_rate_free);
      return NULL;
    }
  if (!service->losses)
    {
      service->losses = loss_rate_new ();
      review (service);
    }
  return service->losses;
}

void
gateway_copies_review (gateway_task_t *gateway)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, gateway->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      loss_rate_t *losses = get_losses (value);

      if (losses && loss_rate_is_review_due (losses, gateway_now_us (gateway)))
        review (value);
    }
}

void
gateway_copies_note_break (const gateway_call_t *call, const engine_t *engine)
{
  loss_rate_t *losses = get_losses (call->service);

  if (losses)
    loss_rate_note_break (losses, gateway_now_us (call->gateway), engine);
}

/* A run is known to engines by the id of its request, and goes on after the id of an event. */
static bool
may_have_copy (const gateway_call_t *call)
{
  return call->client && get_losses (call->service) && call->route->kind == ROUTING_STREAM &&
         call->id[0] != '\0' && !gateway_suspect_is_on_trial (call);
}

static engine_choice_request_t
make_placement (const gateway_call_t *call, uint64_t version)
{
  engine_choice_request_t placement = gateway_call_placement (call);

  placement.version = version;
  placement.tried = call->tried;
  placement.tried_count = call->tried_count;
  return placement;
}

static uint32_t
count_tokens (const gateway_call_t *call)
{
  uint64_t tokens = (uint64_t)call->request.prompt_tokens + call->request.output_tokens;

  return (uint32_t)MIN (tokens, UINT32_MAX);
}

static backup_choice_t
choose (const gateway_call_t *call,
        const routing_engine_traits_t *traits,
        const loss_rate_estimate_t *loss)
{
  const gateway_task_t *gateway = call->gateway;
  engine_choice_request_t placement = make_placement (call, call->engine->version);

  return backup_choice_make (
      engines_of_service (gateway->options.engines, call->service->name), gateway_now_us (gateway),
      &(backup_choice_request_t){ .placement = &placement,
                                  .engine = call->engine,
                                  .loss = loss,
                                  .id_hash = XXH64 (call->id, strlen (call->id), 0),
                                  .run_us = gateway_call_usual_run_us (call),
                                  .tokens = count_tokens (call),
                                  .prompt_tokens = call->request.prompt_tokens,
                                  .token_bytes = traits->cache_token_bytes,
                                  .link_mbps = traits->link_mbps,
                                  .is_resumable = call->course.rules.resumable });
}

static void
log_backup (const gateway_call_t *call,
            const backup_choice_t *choice,
            const loss_rate_estimate_t *loss)
{
  log_event (LOG_LEVEL_INFO, "backup", "id", call->id, "service", call->service->name, "engine",
             call->engine->entry.id, "backup", choice->engine ? choice->engine->entry.id : NULL,
             "outcome", choice->engine ? "copied" : "no_engine", "chance_ppm",
             LOG_U64 (loss->chance_ppm), "own_ppm", LOG_U64 (loss->own_ppm), "lost",
             LOG_U64 (loss->lost), "changing", LOG_U64 (loss->changing), "engines",
             LOG_U64 (loss->engines), "value_us", LOG_U64 (choice->value_us), "cost_us",
             LOG_U64 (choice->cost_us), NULL);
}

static const address_t *
take_engine (gateway_call_t *call, const engine_t *engine)
{
  counter_add (call->gateway->backups, 1);
  counter_add (call->gateway->backup_tokens, count_tokens (call));
  call->copy_engine = engine->hash;
  call->copy.address = engine->entry.address;
  g_strlcpy (call->copy.id, call->id, sizeof call->copy.id);
  retry_plan_set_copy (&call->course, true);
  return &call->copy.address;
}

const address_t *
gateway_copies_choose (gateway_call_t *call)
{
  const routing_engine_traits_t *traits = find_traits (call->gateway, call->service->name);
  loss_rate_estimate_t loss;
  backup_choice_t choice;

  call->copy_engine = 0;
  retry_plan_set_copy (&call->course, false);
  if (!traits || !may_have_copy (call))
    return NULL;
  loss = loss_rate_estimate (call->service->losses, gateway_now_us (call->gateway), call->engine,
                             gateway_call_usual_run_us (call));
  if (loss.chance_ppm == 0)
    return NULL;
  choice = choose (call, traits, &loss);
  if (choice.is_worth)
    log_backup (call, &choice, &loss);
  return choice.engine ? take_engine (call, choice.engine) : NULL;
}

static backup_obstacle_t
check_target (const gateway_call_t *call, const engine_t *target, bool only_sound)
{
  const gateway_task_t *gateway = call->gateway;
  engine_choice_request_t placement = make_placement (call, call->version);

  placement.begin_version = 0;
  placement.only_sound = only_sound;
  return backup_choice_check_target (
      engines_of_service (gateway->options.engines, call->service->name), gateway_now_us (gateway),
      &placement, target);
}

/* An engine that has started again since has another hash, and no copy. Before the first event
 * there is hardly a copy yet, and an engine that ended while it looked for one had begun a second
 * run. */
void
gateway_copies_check (gateway_call_t *call)
{
  const engine_t *target = engines_find_by_hash (call->gateway->options.engines, call->copy_engine);
  backup_obstacle_t obstacle;

  if (!call->course.has_copy)
    return;
  if (call->splitter.event_count == 0)
    {
      retry_plan_set_copy (&call->course, false);
      return;
    }
  obstacle = check_target (call, target, call->is_moving);
  if (obstacle != BACKUP_OBSTACLE_NONE)
    log_event (LOG_LEVEL_INFO, "copy_unused", "id", call->id, "service", call->service->name,
               "backup", target ? target->entry.id : NULL, "reason",
               backup_obstacle_to_string (obstacle), NULL);
  retry_plan_set_copy (&call->course, obstacle == BACKUP_OBSTACLE_NONE && may_have_copy (call));
}

bool
gateway_copies_may_continue (const gateway_call_t *call)
{
  const engine_t *target = engines_find_by_hash (call->gateway->options.engines, call->copy_engine);

  return retry_plan_may_continue (&call->course) && call->splitter.event_count > 0 &&
         may_have_copy (call) && check_target (call, target, true) == BACKUP_OBSTACLE_NONE;
}

void
gateway_copies_continue (gateway_call_t *call)
{
  engine_choice_t choice = { .action = ENGINE_CHOICE_SEND,
                             .engine = engines_find_by_hash (call->gateway->options.engines,
                                                             call->copy_engine),
                             .mean_milli = call->service->mean_milli };

  g_assert (choice.engine);
  counter_add (call->gateway->continued, 1);
  call->has_continued = true;
  gateway_hop_send (call, &choice);
}

void
gateway_copies_note_missing (const gateway_call_t *call)
{
  counter_add (call->gateway->copies_missing, 1);
  log_event (LOG_LEVEL_INFO, "copy_unused", "id", call->id, "service", call->service->name,
             "backup", call->engine->entry.id, "reason", "missing", NULL);
}

void
gateway_copies_note_complete (const gateway_call_t *call)
{
  counter_add (call->gateway->continued_whole, call->has_continued ? 1 : 0);
}
