#include "request/policy/placement/service_view.h"

#include "request/policy/engines/cold_start_limit.h"
#include "request/policy/room/room_choice.h"

#include <stdlib.h>
#include <xxhash.h>

#define MILLI 1000

engine_t *
service_view_engine (const service_view_t *view, guint index)
{
  return g_ptr_array_index (view->engines, index);
}

static bool
is_cold (const service_view_t *view, const engine_t *engine)
{
  return engine_is_cold (engine, view->now_us, view->request->cold_start_us);
}

/* Whether the engine has joined or returned and has not yet reported a load. A cold engine gets few
 * requests, so it counts until it is warm. */
static bool
has_joined (const service_view_t *view, const engine_t *engine)
{
  if (!engine_is_open (engine) || engine->reported_us != 0 || engine->joined_us == 0)
    return false;
  return is_cold (view, engine) || view->now_us < engine->joined_us + ENGINE_CHOICE_IDLE_US;
}

/* Whether the engine has hardly any load and so lowers the mean of its service. */
static bool
is_idle (const service_view_t *view, const engine_t *engine)
{
  if (engine->drained_us != 0)
    return engine->entry.state == ENGINE_READY;
  return has_joined (view, engine);
}

/*
 * Other gateways know as little of an engine that has joined, so it has at most the usual number of
 * their requests. If more were assumed, no gateway would send there while the margin is narrow, and
 * the older engines would carry a burst alone.
 */
uint32_t
service_view_load_at (const service_view_t *view, const engine_t *engine)
{
  if (has_joined (view, engine))
    return engine->own_requests + (uint32_t)(view->others_mean_milli / MILLI);
  return engine_estimate_load (engine, view->now_us, view->others_mean_milli);
}

static bool
was_tried (const service_view_t *view, const engine_t *engine)
{
  for (uint32_t i = 0; i < view->request->tried_count; i++)
    if (view->request->tried[i] == engine->hash)
      return true;
  return false;
}

static int
compare_u32 (const void *a, const void *b)
{
  uint32_t left = *(const uint32_t *)a;
  uint32_t right = *(const uint32_t *)b;

  return left < right ? -1 : left > right;
}

static uint32_t
error_limit (const service_view_t *view)
{
  g_autofree uint32_t *values = g_new (uint32_t, view->engines->len + 1);
  uint32_t count = 0;

  for (guint i = 0; i < view->engines->len; i++)
    values[count++] = engine_error_rate_milli (service_view_engine (view, i), view->now_us);
  if (count == 0)
    return ENGINE_CHOICE_ERROR_RATE_MILLI;
  qsort (values, count, sizeof *values, compare_u32);
  return MAX (values[count / 2] * ENGINE_CHOICE_ERROR_RATE_FACTOR, ENGINE_CHOICE_ERROR_RATE_MILLI);
}

/* The mean load, where it is known what all gateways have at the open engines. What they have at
 * the engines of some regions is not. Engines that have joined count in the mean of the service
 * only, as where it is made of reports. */
static void
use_fleet_requests (service_view_t *view)
{
  fleet_requests_sum_t sum;
  uint32_t own = 0;
  uint32_t in_use = 0;

  for (guint i = 0; i < view->engines->len; i++)
    {
      const engine_t *engine = service_view_engine (view, i);

      own += engine_is_open (engine) ? engine->own_requests : 0;
      in_use += engine_is_open (engine) && !has_joined (view, engine) ? 1 : 0;
    }
  if (in_use == 0 || region_filter_is_active (&view->request->region_filter))
    return;
  sum = fleet_requests_sum (service_view_engine (view, 0)->fleet_requests, view->now_us, own,
                            view->request->gateways);
  if (!sum.is_known)
    return;
  view->mean_milli = sum.milli / in_use;
  view->others_mean_milli = (sum.milli - (uint64_t)own * MILLI) / in_use;
  view->mean_age_us = sum.age_us;
  view->is_mean_certain = sum.is_certain;
}

/*
 * Weights the reported loads by their age. After a burst, engines that were not called since still
 * look full: counted fully, they would raise the bound of all others.
 */
static void
compute_means (service_view_t *view)
{
  uint64_t weights = 0;
  uint64_t own = 0;
  uint64_t others = 0;
  uint64_t ages_us = 0;

  for (guint i = 0; i < view->engines->len; i++)
    {
      const engine_t *engine = service_view_engine (view, i);
      uint32_t weight =
          engine_is_open (engine) ? engine_load_weight_milli (engine, view->now_us) : 0;

      weights += weight;
      ages_us += weight * (view->now_us - MIN (engine->reported_us, view->now_us));
      own += (uint64_t)weight * engine->own_requests;
      others += (uint64_t)weight * engine->other_requests;
    }
  /* One idle engine is added: the first report says little about the other engines. */
  view->others_mean_milli = others * MILLI / (weights + MILLI);
  view->mean_milli = weights > 0 ? (own + others) * MILLI / weights : 0;
  view->mean_age_us = weights > 0 ? ages_us / weights : 0;
  use_fleet_requests (view);
}

bool
service_view_is_new (const service_view_t *view, const engine_t *engine)
{
  return engine->joined_us != 0 && view->now_us - engine->joined_us < ENGINE_CHOICE_NEW_US;
}

/* The mean of the whole service is below that of the engines in use while others of it are idle. */
static void
compute_service_mean (service_view_t *view)
{
  uint32_t idle = 0;
  uint32_t busy = 0;

  for (guint i = 0; i < view->engines->len; i++)
    {
      const engine_t *engine = service_view_engine (view, i);

      if (is_idle (view, engine))
        idle++;
      else if (engine_is_open (engine))
        busy++;
    }
  view->service_mean_milli = busy > 0 ? view->mean_milli * busy / (busy + idle) : 0;
}

/* Engines that have joined are left out of the load, but not of the slots, as they have room. */
static bool
is_crowded (const service_view_t *view)
{
  uint64_t load_milli = view->mean_milli * (view->open - view->joined);

  return view->slots > 0 && load_milli >= view->slots * ENGINE_CHOICE_CROWDED_MILLI;
}

/*
 * If most engines are ejected, it is more likely that this gateway has lost its network or that one
 * kind of request fails everywhere, so ejections are ignored then.
 */
static void
evaluate (service_view_t *view)
{
  uint64_t gateways = MAX (view->request->gateways, 1U);
  uint32_t ejected = 0;
  uint32_t expired = 0;

  compute_means (view);
  for (guint i = 0; i < view->engines->len; i++)
    {
      const engine_t *engine = service_view_engine (view, i);

      if (!engine_is_open (engine))
        continue;
      view->open++;
      view->own += engine->own_requests;
      view->slots += engine_slots (engine, view->request->default_slots);
      view->joined += has_joined (view, engine) ? 1 : 0;
      ejected += engine->failures >= ENGINE_EJECTION_FAILURES ? 1 : 0;
      expired += engine->entry_expired ? 1 : 0;
    }
  if (view->mean_milli == 0 && view->open > 0)
    view->mean_milli = view->own * MILLI / view->open;
  compute_service_mean (view);
  view->ignores_ejections = ejected * 2 > view->open;
  view->uses_expired = expired * ENGINE_CHOICE_EXPIRED_DIVISOR > view->open;
  view->crowded = is_crowded (view);
  view->full =
      view->request->surge || (view->request->utilization_milli >= ENGINE_CHOICE_FULL_MILLI &&
                               view->slots >= gateways * ENGINE_CHOICE_SHARE_MIN_SLOTS);
  view->is_below_share =
      !view->request->past_deadline && view->own * gateways < view->slots + gateways - 1;
  view->error_limit_milli = error_limit (view);
}

/* Return: the only version whose engines may get the request, 0 for any */
static uint64_t
bound_version (const service_view_t *view)
{
  return view->request->version != 0 ? view->request->version : view->request->begin_version;
}

/* Whether nothing is known of the engine that makes it doubtful that it answers. */
static bool
is_sound (const service_view_t *view, const engine_t *engine)
{
  return engine->failures < ENGINE_EJECTION_FAILURES &&
         engine_error_rate_milli (engine, view->now_us) <= view->error_limit_milli &&
         !engine_is_quiet (engine, view->now_us, view->request->usual_head_us);
}

bool
service_view_is_candidate (const service_view_t *view, const engine_t *engine)
{
  if (bound_version (view) != 0 && engine->version != bound_version (view))
    return false;
  if (!engine_is_open (engine) || engine_is_backing_off (engine, view->now_us) ||
      was_tried (view, engine))
    return false;
  if (view->request->only_sound && !is_sound (view, engine))
    return false;
  if (engine->entry_expired && !view->uses_expired)
    return false;
  return view->ignores_ejections ||
         !engine_is_ejected (engine, view->now_us, view->request->repeatable);
}

/* Whether the engine is warm, or this gateway may send to it in its cold start. */
static bool
may_send_cold (const service_view_t *view, const engine_t *engine)
{
  const engine_choice_request_t *request = view->request;
  cold_start_limit_t share = { .per_s = request->cold_per_s,
                               .gateways = request->known_gateways,
                               .gateway_hash = request->gateway_hash,
                               .engine_hash = engine->hash,
                               .since_us = engine_cold_since_us (engine),
                               .sent_us = engine->last_sent_us };

  return !is_cold (view, engine) || cold_start_limit_allows (&share, view->now_us);
}

bool
service_view_is_degraded (const service_view_t *view, const engine_t *engine)
{
  return service_view_is_failing (view, engine) ||
         (view->request->cold_per_s == 0 && is_cold (view, engine)) ||
         engine_latency_ratio_milli (engine, view->now_us) > ENGINE_CHOICE_LATENCY_RATIO_MILLI;
}

bool
service_view_is_failing (const service_view_t *view, const engine_t *engine)
{
  return engine_error_rate_milli (engine, view->now_us) > view->error_limit_milli ||
         engine_is_silent (engine, view->now_us, view->request->usual_head_us,
                           view->request->repeatable);
}

/*
 * An engine queues a few requests beyond those it runs. Where many gateways share few slots, all of
 * them learn of a free slot late, and it is idle meanwhile: with six slots shared by 22 gateways, a
 * third of the requests was refused at a load of 93%. So each gateway may have its share of the
 * slots plus one request there, whatever the others have, and the engine always has a next request.
 * In an overload this alone would keep the engine's queue full and make all requests late, also
 * those of accounts with few, so a gateway sends there at most twice as often as its share of the
 * slots comes free.
 */
static bool
may_queue (const service_view_t *view, const engine_t *engine, uint32_t slots)
{
  uint64_t gateways = MAX (view->request->gateways, 1U);
  uint64_t share_us = view->request->slot_time_us * gateways / slots;

  return view->is_below_share && !engine_is_full (engine, view->now_us) &&
         engine->own_requests * gateways < slots + gateways - 1 &&
         view->now_us >= engine->last_sent_us + share_us / ENGINE_CHOICE_SEND_RATE_FACTOR;
}

/* Time in which a slot of this gateway's share comes free, and in which it learns whether the
 * engine accepted its last request. */
static uint64_t
window_pause_us (const service_view_t *view, uint32_t slots)
{
  uint64_t gateways = MAX (view->request->gateways, 1U);
  uint64_t share_us = view->request->slot_time_us * gateways / MAX (slots, 1U);

  return MAX (share_us / ENGINE_CHOICE_SEND_RATE_FACTOR, view->request->usual_head_us);
}

static uint32_t
kept_slots (const service_view_t *view, uint32_t slots)
{
  if (!view->keeps_slots || slots < ENGINE_CHOICE_KEPT_SLOTS_FROM)
    return 0;
  return MAX (slots / ENGINE_CHOICE_KEPT_SLOTS_DIVISOR, 1U);
}

/* A stream that is bound to the engine's version may have any slot. */
bool
service_view_has_room (const service_view_t *view, const engine_t *engine)
{
  uint32_t slots = engine_slots (engine, view->request->default_slots);
  uint32_t usable = slots - kept_slots (view, slots);
  bool may_fill = !view->full || view->request->version != 0;

  if (!may_send_cold (view, engine) ||
      !engine_has_window (engine, view->now_us, window_pause_us (view, slots)))
    return false;
  /* room_choice.c limits the requests at an engine and in its queue by the load it expects. That is
   * relative to the others, so a single engine would get all that a gateway has. */
  if (view->shared_room)
    return !engine_is_full (engine, view->now_us) && (slots == 0 || engine->own_requests < slots);
  if (slots == 0 || (may_fill && service_view_load_at (view, engine) < usable))
    return true;
  return may_queue (view, engine, usable);
}

static uint64_t
overload_limit_milli (uint64_t mean_milli)
{
  return mean_milli * ENGINE_CHOICE_OVERLOAD_FACTOR + ENGINE_CHOICE_OVERLOAD_EXTRA_MILLI;
}

/*
 * The overload limit depends on the mean of the whole service. While a data centre is drained, or
 * many engines join, the limit is nearer to the mean of the engines that have the load, so the
 * margin is reduced in proportion to the distance between them. Without this, with 13 of 40 engines
 * drained, one request in 25 met an overloaded engine. One request more is always allowed.
 */
static uint64_t
narrow_margin_milli (const service_view_t *view, uint64_t margin_milli)
{
  uint64_t full_distance_milli = view->mean_milli + ENGINE_CHOICE_OVERLOAD_EXTRA_MILLI;
  uint64_t limit_milli = overload_limit_milli (view->service_mean_milli);
  uint64_t distance_milli = limit_milli - MIN (limit_milli, view->mean_milli);

  g_assert (full_distance_milli >= ENGINE_CHOICE_OVERLOAD_EXTRA_MILLI);
  return MAX (margin_milli * MIN (distance_milli, full_distance_milli) / full_distance_milli,
              MILLI);
}

/* Return: the number of gateways up to which the margin that is in proportion to the mean is
 * granted in full */
static uint64_t
few_gateways (const service_view_t *view)
{
  uint64_t one_home = service_view_limit_distance_milli (view) *
                      ENGINE_CHOICE_FEW_GATEWAYS_ONE_HOME_MILLI / MILLI / MILLI;

  if (view->homes > 1 || view->is_popular || !view->is_mean_certain)
    return ENGINE_CHOICE_FEW_GATEWAYS;
  return MAX (one_home, ENGINE_CHOICE_FEW_GATEWAYS);
}

/* Return: the part of @milli that is granted to this many gateways, where @few get all of it */
static uint64_t
grant_milli (const service_view_t *view, uint64_t milli, uint64_t few)
{
  return milli * few / MAX (view->request->gateways, few);
}

/*
 * Load above the mean that an engine may have. The number of requests that other gateways send
 * before they learn of each other's is in proportion to the number of gateways, and is largest for
 * a popular part. Other parts with a single home are read or copied elsewhere when that has no
 * room, so the margin is wider for these, the more requests fit to an engine. Nearly full engines
 * are slow, and a full one makes its requests wait, so the margin falls with the free slots; half
 * of it remains, or no prompt would reach the engine that caches it when there is no time to read
 * it again.
 */
static uint64_t
bound_margin_milli (const service_view_t *view, const engine_t *engine)
{
  uint64_t any_gateways_milli =
      view->mean_milli * ENGINE_CHOICE_MARGIN_MILLI / MILLI + ENGINE_CHOICE_MARGIN_EXTRA_MILLI;
  uint64_t few_gateways_milli =
      grant_milli (view, view->mean_milli * ENGINE_CHOICE_FEW_MARGIN_MILLI / MILLI,
                   few_gateways (view)) +
      grant_milli (view, ENGINE_CHOICE_FEW_MARGIN_EXTRA_MILLI, ENGINE_CHOICE_FEW_GATEWAYS);
  uint64_t margin_milli = narrow_margin_milli (view, any_gateways_milli + few_gateways_milli);
  uint64_t slots_milli = (uint64_t)engine_slots (engine, view->request->default_slots) * MILLI;
  uint64_t free_milli = slots_milli - MIN (slots_milli, view->mean_milli);

  if (slots_milli == 0)
    return margin_milli;
  return margin_milli * MAX (free_milli, slots_milli / ENGINE_CHOICE_MARGIN_MIN_DIVISOR) /
         slots_milli;
}

bool
service_view_reports_seldom (const service_view_t *view, const engine_t *engine)
{
  return engine_slots (engine, view->request->default_slots) < view->request->gateways;
}

uint64_t
service_view_limit_distance_milli (const service_view_t *view)
{
  return overload_limit_milli (view->mean_milli) - view->mean_milli;
}

bool
service_view_unreported_may_overload (const service_view_t *view)
{
  uint64_t others = MAX (view->request->gateways, 1U) - 1;

  return others * MILLI > overload_limit_milli (view->mean_milli);
}

/*
 * Where load reports are rare, all gateways would send their requests for a popular part to an
 * engine that has joined before any of them learns of its load: such an engine got three times the
 * mean within a second. So half of the gateways begin, and the others follow after a load report.
 */
static bool
uses_joined_engine (const service_view_t *view, const engine_t *engine)
{
  uint64_t hash = view->request->gateway_hash;

  return !service_view_reports_seldom (view, engine) ||
         (XXH64 (&hash, sizeof hash, engine->hash) & 1) != 0;
}

uint64_t
service_view_bound_milli (const service_view_t *view, const engine_t *engine)
{
  return view->mean_milli + bound_margin_milli (view, engine);
}

bool
service_view_within_bound (const service_view_t *view, const engine_t *engine)
{
  uint64_t load_after_milli = ((uint64_t)service_view_load_at (view, engine) + 1) * MILLI;

  if (has_joined (view, engine) && !uses_joined_engine (view, engine))
    return false;
  return load_after_milli <= service_view_bound_milli (view, engine);
}

uint32_t
service_view_count_candidates (const service_view_t *view)
{
  uint32_t count = 0;

  for (guint i = 0; i < view->engines->len; i++)
    count += service_view_is_candidate (view, service_view_engine (view, i)) ? 1 : 0;
  return count;
}

bool
service_view_is_all_drained (const service_view_t *view)
{
  bool any = false;

  for (guint i = 0; i < view->engines->len; i++)
    {
      const engine_t *engine = service_view_engine (view, i);

      if (engine_is_open (engine))
        return false;
      any = any || (engine->entry.state == ENGINE_READY && engine->drained_us != 0);
    }
  return any;
}

uint64_t
service_view_min_backoff_us (const service_view_t *view)
{
  uint64_t min_us = 0;

  for (guint i = 0; i < view->engines->len; i++)
    {
      const engine_t *engine = service_view_engine (view, i);
      uint64_t left_us = engine->backoff_until_us - MIN (engine->backoff_until_us, view->now_us);

      if (left_us == 0 || !engine_is_open (engine) || was_tried (view, engine))
        continue;
      min_us = min_us == 0 ? left_us : MIN (min_us, left_us);
    }
  return min_us;
}

static bool
has_several_versions (const GPtrArray *engines)
{
  for (guint i = 1; i < engines->len; i++)
    if (((const engine_t *)g_ptr_array_index (engines, i))->version !=
        ((const engine_t *)g_ptr_array_index (engines, 0))->version)
      return true;
  return false;
}

/* A stream that can go on or begin at one version only tries its engines, even if they failed
 * lately or their entries have expired, rather than none. */
static void
ignore_doubts (service_view_t *view)
{
  if (bound_version (view) == 0 || service_view_count_candidates (view) > 0)
    return;
  view->ignores_ejections = true;
  view->uses_expired = true;
}

void
service_view_init (service_view_t *view,
                   const GPtrArray *engines,
                   uint64_t now_us,
                   const engine_choice_request_t *request)
{
  *view = (service_view_t){ .engines = engines, .now_us = now_us, .request = request, .homes = 1 };
  evaluate (view);
  view->keeps_slots =
      request->has_streams && request->version == 0 && has_several_versions (engines);
  ignore_doubts (view);
  view->shared_room = room_choice_applies (view);
}
