#include "request/policy/copies/backup_choice.h"

#include "request/policy/placement/service_view.h"

#include <string.h>
#include <xxhash.h>

#define PPM UINT64_C (1000000)
#define MILLI 1000
#define BITS_PER_BYTE UINT64_C (8)

/* A megabit per second is a bit per microsecond. */
static uint64_t
compute_cost_us (const backup_choice_request_t *request)
{
  uint64_t bits = (uint64_t)request->tokens * request->token_bytes * BITS_PER_BYTE;

  return bits / MAX (request->link_mbps, 1U) * BACKUP_CHOICE_COST_FACTOR;
}

/* Return: the work that is lost with the engine. Where the stream can be resumed, that is the
 * prefill, which also stalls the other streams of the engine that repeats it; otherwise the whole
 * request fails. */
static uint64_t
compute_loss_us (const backup_choice_request_t *request)
{
  uint64_t prefill_us = (uint64_t)request->prompt_tokens * BACKUP_CHOICE_PREFILL_TOKEN_US;

  return request->is_resumable ? prefill_us : prefill_us + request->run_us;
}

static bool
is_in_center (const engine_t *engine, const engine_t *other)
{
  return strcmp (engine->entry.data_center, other->entry.data_center) == 0;
}

static bool
is_on_host (const engine_t *engine, const engine_t *other)
{
  return strcmp (engine->entry.address.ip, other->entry.address.ip) == 0;
}

static bool
has_broken_off (const engine_t *engine, uint64_t now_us)
{
  return engine->broke_us != 0 && now_us < engine->broke_us + LOSS_RATE_WINDOW_US;
}

/* The load is left to the moment when the run goes on: it will be another one by then. */
static bool
may_keep (const service_view_t *view,
          const backup_choice_request_t *request,
          const engine_t *engine)
{
  const engine_choice_request_t *placement = request->placement;

  return engine != request->engine && !is_on_host (engine, request->engine) &&
         service_view_is_candidate (view, engine) && !service_view_is_degraded (view, engine) &&
         region_filter_allows (&placement->region_filter, engine) &&
         !engine_is_cold (engine, view->now_us, placement->cold_start_us) &&
         !has_broken_off (engine, view->now_us);
}

/* Return: the engine that ranks first for the run, or the second where that has much less load;
 * NULL when there is none. All runs of an engine go on at once when it ends, so their copies are
 * spread: the least loaded engine would get them all. */
static engine_t *
find_engine (const service_view_t *view, const backup_choice_request_t *request, bool is_near)
{
  engine_t *top[2] = { NULL, NULL };
  uint64_t ranks[2] = { 0, 0 };

  for (guint i = 0; i < view->engines->len; i++)
    {
      engine_t *engine = service_view_engine (view, i);
      uint64_t rank = XXH64 (&engine->hash, sizeof engine->hash, request->id_hash);
      uint32_t at = top[0] && rank <= ranks[0] ? 1 : 0;

      if (is_in_center (engine, request->engine) != is_near || !may_keep (view, request, engine) ||
          (top[at] && rank <= ranks[at]))
        continue;
      if (at == 0)
        {
          top[1] = top[0];
          ranks[1] = ranks[0];
        }
      top[at] = engine;
      ranks[at] = rank;
    }
  if (top[1] && service_view_load_at (view, top[1]) + BACKUP_CHOICE_LOAD_DIFFERENCE <=
                    service_view_load_at (view, top[0]))
    return top[1];
  return top[0];
}

static void
choose_engine (backup_choice_t *choice,
               const service_view_t *view,
               const backup_choice_request_t *request)
{
  bool is_near = !request->loss->is_center_in_doubt;
  uint64_t far_us = choice->cost_us * BACKUP_CHOICE_FAR_FACTOR;
  bool may_be_far = choice->value_us > far_us;

  if (is_near || may_be_far)
    choice->engine = find_engine (view, request, is_near);
  if (!choice->engine && (!is_near || may_be_far))
    choice->engine = find_engine (view, request, !is_near);
  if (choice->engine && !is_in_center (choice->engine, request->engine))
    choice->cost_us = far_us;
}

backup_choice_t
backup_choice_make (const GPtrArray *engines,
                    uint64_t now_us,
                    const backup_choice_request_t *request)
{
  backup_choice_t choice = { .cost_us = compute_cost_us (request) };
  service_view_t view;

  choice.value_us = compute_loss_us (request) * request->loss->chance_ppm / PPM;
  choice.is_worth = choice.value_us > choice.cost_us;
  if (!choice.is_worth || request->link_mbps == 0 || request->token_bytes == 0)
    return choice;
  service_view_init (&view, engines, now_us, request->placement);
  choose_engine (&choice, &view, request);
  return choice;
}

/* The run fails if its target may not have it, so it gets nearer to the overload limit than new
 * requests do. */
static bool
is_under_limit (const service_view_t *view, const engine_t *target)
{
  uint64_t distance_milli = view->service_mean_milli + ENGINE_CHOICE_OVERLOAD_EXTRA_MILLI;
  uint64_t load_after_milli = ((uint64_t)service_view_load_at (view, target) + 1) * MILLI;

  return load_after_milli <=
         view->service_mean_milli + distance_milli * BACKUP_CHOICE_LIMIT_MILLI / MILLI;
}

backup_obstacle_t
backup_choice_check_target (const GPtrArray *engines,
                            uint64_t now_us,
                            const engine_choice_request_t *placement,
                            const engine_t *target)
{
  service_view_t view;

  if (!target)
    return BACKUP_OBSTACLE_GONE;
  if (placement->version != 0 && placement->version != target->version)
    return BACKUP_OBSTACLE_VERSION;
  service_view_init (&view, engines, now_us, placement);
  if (!service_view_is_candidate (&view, target) ||
      !region_filter_allows (&placement->region_filter, target))
    return BACKUP_OBSTACLE_CLOSED;
  if (!service_view_has_room (&view, target) ||
      !(service_view_within_bound (&view, target) || is_under_limit (&view, target)))
    return BACKUP_OBSTACLE_LOAD;
  return BACKUP_OBSTACLE_NONE;
}

const char *
backup_obstacle_to_string (backup_obstacle_t obstacle)
{
  static const char *const words[] = { [BACKUP_OBSTACLE_NONE] = "none",
                                       [BACKUP_OBSTACLE_GONE] = "gone",
                                       [BACKUP_OBSTACLE_VERSION] = "version",
                                       [BACKUP_OBSTACLE_CLOSED] = "closed",
                                       [BACKUP_OBSTACLE_LOAD] = "load" };

  return words[obstacle];
}
