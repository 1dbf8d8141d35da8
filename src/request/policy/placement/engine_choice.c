#include "request/policy/placement/engine_choice.h"

#include "request/policy/placement/service_view.h"
#include "request/policy/room/room_choice.h"

#include <string.h>
#include <xxhash.h>

#define MILLI 1000

/* Rendezvous hashing of the request's affinity: the engine with the highest value ranks first. */
static uint64_t
rank_value (const service_view_t *view, const engine_t *engine)
{
  return XXH64 (&engine->rank_hash, sizeof engine->rank_hash, view->request->affinity);
}

/* Return: requests of all gateways for the request's part that are at engines at a time, in
 * thousandths, if its share of all requests is the same everywhere */
static uint64_t
part_load_milli (const service_view_t *view, const part_shares_t *shares)
{
  uint64_t share_milli = part_shares_get_milli (shares, view->now_us, view->request->affinity);

  return view->mean_milli * view->open * share_milli / MILLI;
}

/*
 * Number of engines that cache the request's part. Where load reports are rare, no gateway sees
 * that the home of a popular part is over the bound before all of them have sent more there: with
 * 31 gateways, 100 of 1,000 requests reached engines over the limit when a fifth of the requests
 * shared one part. So a part has a home for each fraction of the limit that its requests take up. A
 * small part, which is read quickly, has two at least, and all parts have some while it is not
 * known how popular they are.
 */
static uint32_t
count_homes (const service_view_t *view, const engine_t *first)
{
  const engine_choice_request_t *request = view->request;
  uint64_t distance_milli = view->mean_milli + ENGINE_CHOICE_OVERLOAD_EXTRA_MILLI;
  uint64_t share_milli = part_load_milli (view, first->part_shares) * MILLI / distance_milli;
  uint64_t homes = 1;

  if (request->affinity_tokens == 0 ||
      !(service_view_reports_seldom (view, first) || service_view_unreported_may_overload (view)))
    return 1;
  if (share_milli > ENGINE_CHOICE_POPULAR_MILLI)
    homes = (share_milli - 1) / ENGINE_CHOICE_PART_SHARE_MILLI + 1;
  if (request->affinity_tokens <= ENGINE_CHOICE_SMALL_PART_TOKENS)
    homes = MAX (homes, ENGINE_CHOICE_SMALL_PART_HOMES);
  if (request->slot_time_us != 0 &&
      part_shares_age_us (first->part_shares, view->now_us) < ENGINE_CHOICE_START_US)
    homes = MAX (homes, ENGINE_CHOICE_START_HOMES);
  return (uint32_t)CLAMP (homes, 1, ENGINE_CHOICE_PART_HOMES_MAX);
}

/* Return: which of @homes this gateway uses for the request's part. As their number grows, few
 * gateways use another one than before. */
static uint32_t
home_index (const service_view_t *view, uint32_t homes)
{
  uint64_t gateway = view->request->gateway_hash;
  uint64_t hash = XXH64 (&gateway, sizeof gateway, view->request->affinity);

  return (uint32_t)((hash >> 32) * homes >> 32);
}

/* Return: the rank value of the last of the first ENGINE_CHOICE_HOMES_MAX candidates that are not
 * degraded; 0 when there are fewer, UINT64_MAX when there is none */
static uint64_t
last_home_rank (const service_view_t *view)
{
  uint64_t top[ENGINE_CHOICE_HOMES_MAX] = { 0 };

  for (guint i = 0; i < view->engines->len; i++)
    {
      const engine_t *engine = service_view_engine (view, i);
      uint64_t rank = rank_value (view, engine);
      uint32_t at = ENGINE_CHOICE_HOMES_MAX;

      if (!service_view_is_candidate (view, engine) || service_view_is_degraded (view, engine))
        continue;
      for (; at > 0 && top[at - 1] < rank; at--)
        if (at < ENGINE_CHOICE_HOMES_MAX)
          top[at] = top[at - 1];
      if (at < ENGINE_CHOICE_HOMES_MAX)
        top[at] = rank;
    }
  return top[0] == 0 ? UINT64_MAX : top[ENGINE_CHOICE_HOMES_MAX - 1];
}

/** struct criteria - conditions for an engine to be chosen */
typedef struct
{
  bool within_bound;
  bool not_degraded;
} criteria_t;

static bool
meets (const service_view_t *view, const engine_t *engine, criteria_t criteria)
{
  if (!service_view_is_candidate (view, engine) || !service_view_has_room (view, engine))
    return false;
  if (criteria.within_bound && !service_view_within_bound (view, engine))
    return false;
  return !criteria.not_degraded || !service_view_is_degraded (view, engine);
}

/* Return: the engine with the highest rank value below @below that meets the criteria, or NULL */
static engine_t *
find_highest_rank (const service_view_t *view, criteria_t criteria, uint64_t below)
{
  engine_t *best = NULL;
  uint64_t best_rank = 0;

  for (guint i = 0; i < view->engines->len; i++)
    {
      engine_t *engine = service_view_engine (view, i);
      uint64_t rank = rank_value (view, engine);

      if (rank >= below || (best && rank <= best_rank) || !meets (view, engine, criteria))
        continue;
      best = engine;
      best_rank = rank;
    }
  return best;
}

/* Return: the engine that caches the request's prompt part for this gateway, or NULL when none
 * meets the criteria */
static engine_t *
find_home (const service_view_t *view, criteria_t criteria)
{
  engine_t *home = find_highest_rank (view, criteria, UINT64_MAX);
  uint32_t index = home ? home_index (view, count_homes (view, home)) : 0;

  for (; index > 0; index--)
    {
      engine_t *next = find_highest_rank (view, criteria, rank_value (view, home));

      if (!next)
        break;
      home = next;
    }
  return home;
}

/* Return: twice the load after this request, weighted by the slowdown of the host, in thousandths;
 * with a penalty for another data centre that is larger than ENGINE_CHOICE_LOCAL_EXTRA_REQUESTS
 * requests */
static uint64_t
weighted_load (const service_view_t *view, const engine_t *engine)
{
  uint64_t load_after = (uint64_t)service_view_load_at (view, engine) + 1;
  uint64_t slowdown_milli = (uint64_t)engine_slowdown_percent (engine, view->now_us) * MILLI /
                            ENGINE_SLOWDOWN_NONE_PERCENT;
  bool is_local = strcmp (engine->entry.data_center, view->request->own_data_center) == 0;

  return load_after * slowdown_milli * 2 +
         (is_local ? 0 : (ENGINE_CHOICE_LOCAL_EXTRA_REQUESTS * 2 + 1) * MILLI);
}

static engine_t *
find_least_loaded (const service_view_t *view, criteria_t criteria)
{
  engine_t *best = NULL;
  uint64_t best_load = 0;

  for (guint i = 0; i < view->engines->len; i++)
    {
      engine_t *engine = service_view_engine (view, i);
      uint64_t load = weighted_load (view, engine);

      if ((best && load >= best_load) || !meets (view, engine, criteria))
        continue;
      best = engine;
      best_load = load;
    }
  return best;
}

/*
 * When slots are scarce, a request that took any free slot would have its whole prompt read there,
 * and the engines would spend their time on prompts that another engine has cached. So the request
 * waits for the first ranks, which have its part cached; the free slot goes to a request that waits
 * for that engine.
 */
static engine_t *
find_least_loaded_home (const service_view_t *view, uint64_t last_rank)
{
  engine_t *best = NULL;

  for (guint i = 0; i < view->engines->len; i++)
    {
      engine_t *engine = service_view_engine (view, i);

      if (rank_value (view, engine) < last_rank ||
          !meets (view, engine, (criteria_t){ .not_degraded = true }))
        continue;
      if (!best || service_view_load_at (view, engine) < service_view_load_at (view, best))
        best = engine;
    }
  return best;
}

/* An engine over the bound delays all its requests and a degraded one fails or delays some, so a
 * degraded engine within the bound is preferred to one over it. */
static engine_t *
choose_engine (const service_view_t *view)
{
  static const criteria_t preferences[] = { { true, true }, { true, false }, { false, false } };
  bool first_ranks_only = view->crowded && view->request->affinity != 0;
  uint64_t last_rank = first_ranks_only ? last_home_rank (view) : UINT64_MAX;
  engine_t *engine = NULL;

  if (view->request->affinity != 0)
    engine = find_home (view, preferences[0]);
  if (last_rank != UINT64_MAX)
    return engine && rank_value (view, engine) >= last_rank
               ? engine
               : find_least_loaded_home (view, last_rank);
  for (size_t i = 0; !engine && i < G_N_ELEMENTS (preferences); i++)
    engine = find_least_loaded (view, preferences[i]);
  return engine;
}

static uint32_t
rank_position (const service_view_t *view, const engine_t *chosen)
{
  uint32_t before = 0;

  if (view->request->affinity == 0)
    return 0;
  for (guint i = 0; i < view->engines->len; i++)
    before += rank_value (view, service_view_engine (view, i)) > rank_value (view, chosen) ? 1 : 0;
  return before;
}

/* Whether the drain of the data centre is so far that its caches must not be read for copies. */
static bool
is_drain_copy_over (const service_view_t *view, const engine_t *engine)
{
  return engine->drained_us != 0 &&
         view->now_us >=
             engine->drained_us + view->request->drain_us / ENGINE_CHOICE_DRAIN_COPY_DIVISOR;
}

/*
 * All gateways rank alike, so the highest-ranked engine that is not new has served the part, even
 * if it takes no new requests now. If that engine is the chosen one, the next has served it while
 * the first was full. Copying the part from its cache takes a few milliseconds; reading 10,000
 * tokens again takes 94 ms, in which every other request on that engine waits for its tokens.
 */
static engine_t *
find_copy_source (const service_view_t *view, const engine_t *chosen)
{
  engine_t *best = NULL;

  if (view->request->affinity == 0)
    return NULL;
  for (guint i = 0; i < view->engines->len; i++)
    {
      engine_t *engine = service_view_engine (view, i);

      if (engine == chosen || service_view_is_new (view, engine) || engine->failures > 0 ||
          engine->entry.state == ENGINE_GONE || is_drain_copy_over (view, engine))
        continue;
      if (!best || rank_value (view, engine) > rank_value (view, best))
        best = engine;
    }
  return best;
}
static engine_choice_t
choose_among (const GPtrArray *engines, uint64_t now_us, const engine_choice_request_t *request)
{
  service_view_t view;
  engine_choice_t choice = { 0 };

  service_view_init (&view, engines, now_us, request);
  choice.candidates = service_view_count_candidates (&view);
  choice.mean_milli = (uint32_t)view.mean_milli;
  if (view.shared_room)
    choice.engine = room_choice_make (&view);
  else
    choice.engine =
        view.full && !view.is_below_share && request->version == 0 ? NULL : choose_engine (&view);
  if (!choice.engine)
    {
      choice.action = choice.candidates > 0 ? ENGINE_CHOICE_WAIT : ENGINE_CHOICE_NONE;
      choice.drained = choice.action == ENGINE_CHOICE_NONE && service_view_is_all_drained (&view);
      choice.backoff_us =
          choice.action == ENGINE_CHOICE_NONE ? service_view_min_backoff_us (&view) : 0;
      return choice;
    }
  choice.action = ENGINE_CHOICE_SEND;
  if (request->affinity != 0)
    part_shares_add (choice.engine->part_shares, now_us, request->affinity);
  choice.load = service_view_load_at (&view, choice.engine);
  choice.source = find_copy_source (&view, choice.engine);
  choice.rank = rank_position (&view, choice.engine);
  return choice;
}

/* A request that is restricted to regions must not reach others in any way, not even by a copy from
 * their caches, so engines elsewhere are left out of the whole choice. */
engine_choice_t
engine_choice_make (const GPtrArray *engines,
                    uint64_t now_us,
                    const engine_choice_request_t *request)
{
  g_autoptr (GPtrArray) allowed = NULL;

  if (region_filter_is_active (&request->region_filter))
    allowed = region_filter_apply (&request->region_filter, engines);
  return choose_among (allowed ? allowed : engines, now_us, request);
}
