#include "request/policy/placement/engine_choice.h"

#include "request/policy/placement/known_holders.h"
#include "request/policy/placement/service_view.h"
#include "request/policy/room/room_choice.h"

#include <stdlib.h>
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

/** struct criteria - conditions for an engine to be chosen; @own_data_center: that of the gateway
 */
typedef struct
{
  bool within_bound;
  bool not_degraded;
  bool own_data_center;
} criteria_t;

static bool
is_local (const service_view_t *view, const engine_t *engine)
{
  return strcmp (engine->entry.data_center, view->request->own_data_center) == 0;
}

static bool
meets (const service_view_t *view, const engine_t *engine, criteria_t criteria)
{
  if (!service_view_is_candidate (view, engine) || !service_view_has_room (view, engine))
    return false;
  if (criteria.own_data_center && !is_local (view, engine))
    return false;
  if (criteria.within_bound && !service_view_within_bound (view, engine))
    return false;
  return !criteria.not_degraded || !service_view_is_degraded (view, engine);
}

/* Return: the engine with the highest rank value that meets the criteria, or NULL */
static engine_t *
find_highest_rank (const service_view_t *view, criteria_t criteria)
{
  engine_t *best = NULL;

  for (guint i = 0; i < view->engines->len; i++)
    {
      engine_t *engine = service_view_engine (view, i);

      if ((best && rank_value (view, engine) <= rank_value (view, best)) ||
          !meets (view, engine, criteria))
        continue;
      best = engine;
    }
  return best;
}

/* Whether the engine takes new requests of the request's version. */
static bool
is_open (const service_view_t *view, const engine_t *engine)
{
  const engine_choice_request_t *request = view->request;
  uint64_t version = request->version != 0 ? request->version : request->begin_version;

  return engine_is_open (engine) && (version == 0 || engine->version == version);
}

/* Return: the engine with the highest rank value that takes new requests, whatever its load, or
 * NULL; of this gateway's data centre alone if @own_data_center */
static engine_t *
find_highest_open (const service_view_t *view, bool own_data_center)
{
  engine_t *best = NULL;

  for (guint i = 0; i < view->engines->len; i++)
    {
      engine_t *engine = service_view_engine (view, i);

      if (!is_open (view, engine) || (own_data_center && !is_local (view, engine)) ||
          (best && rank_value (view, engine) <= rank_value (view, best)))
        continue;
      best = engine;
    }
  return best;
}

/* Return: requests for the part at a time, in thousandths of those that an engine with the mean
 * load may get before it is over the overload limit */
static uint64_t
part_of_limit_milli (const service_view_t *view, const engine_t *engine)
{
  return part_load_milli (view, engine->part_shares) * MILLI /
         service_view_limit_distance_milli (view);
}

/* Whether more requests for the part are on their way than its home may get before this gateway is
 * told of them: between two answers to this gateway, each other one gets as many, in clumps. */
static bool
fills_home_unreported (const service_view_t *view)
{
  uint64_t others = MAX (view->request->gateways, 1U) - 1;

  return others * ENGINE_CHOICE_CLUMP * MILLI > service_view_limit_distance_milli (view);
}

/* Homes of a part that is small or, shortly after the start, of any part, which may turn out to be
 * popular. */
static uint32_t
count_homes_of_unknown (const service_view_t *view, const engine_t *first)
{
  const engine_choice_request_t *request = view->request;

  if (!(service_view_reports_seldom (view, first) || service_view_unreported_may_overload (view)))
    return 1;
  if (request->slot_time_us != 0 &&
      part_shares_age_us (first->part_shares, view->now_us) < ENGINE_CHOICE_START_US)
    return ENGINE_CHOICE_START_HOMES;
  return request->affinity_tokens <= ENGINE_CHOICE_SMALL_PART_TOKENS
             ? ENGINE_CHOICE_SMALL_PART_HOMES
             : 1;
}

/*
 * Number of engines that cache the request's part. Where load reports are rare, no gateway sees
 * that the home of a popular part is over the bound before all of them have sent more there: with
 * 31 gateways, 100 of 1,000 requests reached engines over the limit when a fifth of the requests
 * shared one part. So a part has a home for each fraction of the limit that its requests take up. A
 * small part, which is read quickly, has two at least, and all parts have some while it is not
 * known how popular they are.
 */
static void
set_homes (service_view_t *view)
{
  const engine_t *first = find_highest_open (view, false);
  uint64_t homes;
  uint64_t part_milli;

  view->homes = 1;
  if (!first || view->request->affinity_tokens == 0)
    return;
  homes = count_homes_of_unknown (view, first);
  part_milli = part_of_limit_milli (view, first);
  view->is_popular = part_milli > ENGINE_CHOICE_POPULAR_MILLI;
  if (view->is_popular && fills_home_unreported (view))
    homes = MAX (homes, (part_milli - 1) / ENGINE_CHOICE_PART_SHARE_MILLI + 1);
  view->homes = (uint32_t)CLAMP (homes, 1, MAX (view->open, 1U));
}

/** struct open_engines - engines that take new requests; @local: in this gateway's data centre */
typedef struct
{
  uint32_t all;
  uint32_t local;
} open_engines_t;

static open_engines_t
count_open (const service_view_t *view)
{
  open_engines_t open = { 0 };

  for (guint i = 0; i < view->engines->len; i++)
    {
      const engine_t *engine = service_view_engine (view, i);

      if (!is_open (view, engine))
        continue;
      open.all++;
      open.local += is_local (view, engine) ? 1 : 0;
    }
  return open;
}

/* Whether copies of the part in each data centre cost less than the bytes of the requests for it
 * that would go to another one. */
static bool
has_local_homes (const service_view_t *view, const engine_t *first, open_engines_t open)
{
  const engine_choice_request_t *request = view->request;
  uint64_t uses;

  if (!request->has_local_homes)
    return false;
  if (request->affinity_tokens <= ENGINE_CHOICE_LOCAL_PART_TOKENS)
    return true;
  if (request->slot_time_us == 0)
    return false;
  uses = part_load_milli (view, first->part_shares) * ENGINE_CHOICE_LOCAL_PART_US /
         request->slot_time_us / MILLI;
  return uses * open.local / open.all >= ENGINE_CHOICE_LOCAL_PART_USES;
}

/* Order in which this gateway uses the homes of the request's part: each has another one, so that
 * together they use all of them. */
static uint64_t
spread_value (const service_view_t *view, const engine_t *engine)
{
  return XXH64 (&engine->rank_hash, sizeof engine->rank_hash,
                view->request->affinity ^ view->request->gateway_hash);
}

static int
compare_descending (const void *a, const void *b)
{
  uint64_t left = *(const uint64_t *)a;
  uint64_t right = *(const uint64_t *)b;

  return left > right ? -1 : left < right;
}

/* Return: the rank values of the engines that take new requests, the highest first, @count of them;
 * of this gateway's data centre alone if @own_data_center. To be freed */
static uint64_t *
sort_ranks (const service_view_t *view, bool own_data_center, uint32_t *count)
{
  uint64_t *ranks = g_new (uint64_t, view->engines->len + 1);

  *count = 0;
  for (guint i = 0; i < view->engines->len; i++)
    {
      const engine_t *engine = service_view_engine (view, i);

      if (is_open (view, engine) && (!own_data_center || is_local (view, engine)))
        ranks[(*count)++] = rank_value (view, engine);
    }
  qsort (ranks, *count, sizeof *ranks, compare_descending);
  return ranks;
}

/* Return: the home that this gateway uses first of the first @homes engines in rank that take new
 * requests, whatever its load; NULL when there is none */
static engine_t *
find_open_home (const service_view_t *view, bool own_data_center, uint32_t homes)
{
  engine_t *best = NULL;
  uint32_t count;
  g_autofree uint64_t *ranks = NULL;

  if (homes == 1)
    return find_highest_open (view, own_data_center);
  ranks = sort_ranks (view, own_data_center, &count);
  for (guint i = 0; count > 0 && i < view->engines->len; i++)
    {
      engine_t *engine = service_view_engine (view, i);

      if (!is_open (view, engine) || (own_data_center && !is_local (view, engine)) ||
          rank_value (view, engine) < ranks[MIN (homes, count) - 1])
        continue;
      if (!best || spread_value (view, engine) > spread_value (view, best))
        best = engine;
    }
  return best;
}

/* Return: likewise, the first one that meets the criteria; NULL when none does */
static engine_t *
find_home_above (const service_view_t *view, criteria_t criteria, uint64_t last_rank)
{
  engine_t *best = NULL;

  for (guint i = 0; i < view->engines->len; i++)
    {
      engine_t *engine = service_view_engine (view, i);

      if (rank_value (view, engine) < last_rank ||
          (best && spread_value (view, engine) <= spread_value (view, best)) ||
          !meets (view, engine, criteria))
        continue;
      best = engine;
    }
  return best;
}

/* Return: the engine that caches the request's prompt part for this gateway, or the next in rank;
 * NULL when none meets the criteria */
static engine_t *
find_home (const service_view_t *view, criteria_t criteria)
{
  engine_t *home = NULL;
  uint32_t count;
  g_autofree uint64_t *ranks = NULL;

  if (view->homes > 1)
    {
      ranks = sort_ranks (view, false, &count);
      home = find_home_above (view, criteria, ranks[MIN (view->homes, count) - 1]);
    }
  return home ? home : find_highest_rank (view, criteria);
}

/** struct homes - homes of the request's part; @count: how many the part needs; @own: that of this
 * gateway, which may have no room, or NULL */
typedef struct
{
  uint32_t count;
  engine_t *own;
} homes_t;

/* The homes that all gateways agree on. */
static homes_t
find_common_homes (const service_view_t *view)
{
  homes_t homes = { .count = view->homes };

  homes.own = find_open_home (view, false, homes.count);
  return homes;
}

/* Likewise of the gateways of this data centre; there are none where the part has no home in each
 * data centre. The homes are divided among the data centres in proportion to their engines. */
static homes_t
find_local_homes (const service_view_t *view)
{
  engine_t *first = view->request->holders ? find_highest_open (view, true) : NULL;
  open_engines_t open = count_open (view);
  homes_t homes = { 0 };

  if (!first || !has_local_homes (view, first, open))
    return homes;
  homes.count =
      (uint32_t)(((uint64_t)view->homes * open.local + open.all - 1) / MAX (open.all, 1U));
  homes.own = find_open_home (view, true, homes.count);
  return homes;
}

/** struct found - known holders that meet criteria; @first: the highest in rank; @own: the one for
 * this gateway when requests are spread over all of them */
typedef struct
{
  uint32_t count;
  engine_t *first;
  engine_t *own;
} found_t;

static found_t
find_holders (const service_view_t *view, const known_holders_t *known, criteria_t criteria)
{
  found_t found = { 0 };

  for (guint i = 0; known->count > 0 && i < view->engines->len; i++)
    {
      engine_t *engine = service_view_engine (view, i);

      if (known_holders_state (known, engine) == KNOWN_HOLDERS_UNKNOWN ||
          !meets (view, engine, criteria))
        continue;
      found.count++;
      if (!found.first || rank_value (view, engine) > rank_value (view, found.first))
        found.first = engine;
      if (!found.own || spread_value (view, engine) > spread_value (view, found.own))
        found.own = engine;
    }
  return found;
}

/*
 * Return: the home of this gateway, or NULL when it doesn't meet the criteria. A popular part has
 * several homes, and each gateway estimates their number from a few requests, so it varies. While
 * enough engines are known to have the part, one of these serves instead of a home that would copy
 * it. In bench-gateway most copies of 10,000 tokens were made for such homes.
 */
static engine_t *
select_home (const service_view_t *view,
             const known_holders_t *known,
             const homes_t *homes,
             criteria_t criteria)
{
  found_t found;

  if (!homes->own)
    return NULL;
  if (homes->count > 1 && known_holders_state (known, homes->own) == KNOWN_HOLDERS_UNKNOWN)
    {
      found = find_holders (view, known, criteria);
      if (found.count * ENGINE_CHOICE_HOLDERS_DIVISOR >= homes->count)
        return found.own;
    }
  return meets (view, homes->own, criteria) ? homes->own : NULL;
}

/* Return: the engine in this gateway's data centre that has the request's part, or is to have it;
 * NULL when there is none. While nobody is known to have the part, a home of the data centre would
 * read it again though another one may have it, so the common home comes first. */
static engine_t *
find_local (const service_view_t *view, const known_holders_t *known, criteria_t criteria)
{
  homes_t homes;
  engine_t *home;

  if (known->count == 0)
    return NULL;
  homes = find_local_homes (view);
  criteria.own_data_center = true;
  home = select_home (view, known, &homes, criteria);
  return home ? home : find_holders (view, known, criteria).first;
}

/* Whether the engine stays far enough below the overload limit with the request. Less is left for
 * what other gateways send meanwhile than within the bound. */
static bool
is_below_limit (const service_view_t *view, const engine_t *engine)
{
  uint64_t limit_milli =
      view->service_mean_milli * ENGINE_CHOICE_OVERLOAD_FACTOR + ENGINE_CHOICE_OVERLOAD_EXTRA_MILLI;
  uint64_t distance_milli = limit_milli - MIN (limit_milli, view->mean_milli);
  uint64_t load_after_milli = ((uint64_t)service_view_load_at (view, engine) + 1) * MILLI;

  return load_after_milli <=
         view->mean_milli + distance_milli * ENGINE_CHOICE_HOLDER_SHARE_MILLI / MILLI;
}

/* Return: the least loaded engine that certainly has the request's part and would rather take the
 * request over its bound than have the part copied to another engine, or NULL. Nearly full engines
 * are slow, so there is none then. */
static engine_t *
find_busy_holder (const service_view_t *view, const known_holders_t *known)
{
  engine_t *best = NULL;

  if (view->request->affinity_tokens <= ENGINE_CHOICE_LOCAL_PART_TOKENS || view->crowded ||
      known->count == 0)
    return NULL;
  for (guint i = 0; i < view->engines->len; i++)
    {
      engine_t *engine = service_view_engine (view, i);

      if (known_holders_state (known, engine) != KNOWN_HOLDERS_ALL_CERTAIN ||
          !meets (view, engine, (criteria_t){ .not_degraded = true }) ||
          !is_below_limit (view, engine))
        continue;
      if (!best || service_view_load_at (view, engine) < service_view_load_at (view, best))
        best = engine;
    }
  return best;
}

/*
 * The home by rank comes first, so that gateways that know nothing of the part agree. When it can't
 * be used, an engine that has the part is better than the next in rank, which would copy it: 10,000
 * tokens are 1.6 GB. An engine of the own data centre that has the part is better than a home
 * elsewhere, as the request and its answer stay local.
 */
static engine_t *
find_home_or_holder (const service_view_t *view, const known_holders_t *known, criteria_t criteria)
{
  homes_t homes;
  engine_t *home;
  engine_t *engine;

  if (!view->request->holders)
    return find_home (view, criteria);
  homes = find_common_homes (view);
  home = select_home (view, known, &homes, criteria);
  if (home && is_local (view, home))
    return home;
  engine = find_local (view, known, criteria);
  if (!engine)
    engine = home;
  if (!engine)
    engine = find_holders (view, known, criteria).first;
  if (!engine)
    engine = find_busy_holder (view, known);
  return engine ? engine : find_home (view, criteria);
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

  return load_after * slowdown_milli * 2 +
         (is_local (view, engine) ? 0 : (ENGINE_CHOICE_LOCAL_EXTRA_REQUESTS * 2 + 1) * MILLI);
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

/* Whether the engine has the request's part or is to have it. */
static bool
may_use_when_crowded (const service_view_t *view,
                      const known_holders_t *known,
                      const engine_t *engine,
                      uint64_t last_rank)
{
  return rank_value (view, engine) >= last_rank ||
         known_holders_state (known, engine) != KNOWN_HOLDERS_UNKNOWN ||
         (known->count > 0 && engine == find_local_homes (view).own);
}

/* An engine over the bound delays all its requests and a degraded one fails or delays some, so a
 * degraded engine within the bound is preferred to one over it. */
static engine_t *
choose_engine (const service_view_t *view, const known_holders_t *known)
{
  static const criteria_t preferences[] = { { true, true, false },
                                            { true, false, false },
                                            { false, false, false } };
  bool first_ranks_only = view->crowded && view->request->affinity != 0;
  uint64_t last_rank = first_ranks_only ? last_home_rank (view) : UINT64_MAX;
  engine_t *engine = NULL;

  if (view->request->affinity != 0)
    engine = find_home_or_holder (view, known, preferences[0]);
  if (last_rank != UINT64_MAX)
    return engine && may_use_when_crowded (view, known, engine, last_rank)
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

static bool
may_copy_from (const service_view_t *view, const engine_t *engine)
{
  return engine->failures == 0 && engine->entry.state != ENGINE_GONE &&
         !is_drain_copy_over (view, engine);
}

/* Return: whether @engine is a better source than @best, which may be NULL: it holds more of the
 * parts, is nearer, or ranks higher */
static bool
is_better_holder (const service_view_t *view,
                  const known_holders_t *known,
                  const engine_t *engine,
                  const engine_t *best)
{
  known_holders_state_t state = known_holders_state (known, engine);
  known_holders_state_t best_state =
      best ? known_holders_state (known, best) : KNOWN_HOLDERS_UNKNOWN;

  if (state != best_state)
    return state > best_state;
  if (state == KNOWN_HOLDERS_UNKNOWN)
    return false;
  if (is_local (view, engine) != is_local (view, best))
    return is_local (view, engine);
  return rank_value (view, engine) > rank_value (view, best);
}

static engine_t *
find_known_source (const service_view_t *view, const known_holders_t *known, const engine_t *chosen)
{
  engine_t *best = NULL;

  for (guint i = 0; known->count > 0 && i < view->engines->len; i++)
    {
      engine_t *engine = service_view_engine (view, i);

      if (engine != chosen && !engine->displaced && may_copy_from (view, engine) &&
          !service_view_is_degraded (view, engine) && is_better_holder (view, known, engine, best))
        best = engine;
    }
  return best;
}

/*
 * All gateways rank alike, so the highest-ranked engine that is not new has served the part, even
 * if it takes no new requests now. If that engine is the chosen one, the next has served it while
 * the first was full. Copying the part from its cache takes a few milliseconds; reading 10,000
 * tokens again takes 94 ms, in which every other request on that engine waits for its tokens.
 */
static engine_t *
find_likely_source (const service_view_t *view, const engine_t *chosen)
{
  engine_t *best = NULL;

  for (guint i = 0; i < view->engines->len; i++)
    {
      engine_t *engine = service_view_engine (view, i);

      if (engine == chosen || service_view_is_new (view, engine) || !may_copy_from (view, engine))
        continue;
      if (!best || rank_value (view, engine) > rank_value (view, best))
        best = engine;
    }
  return best;
}

/* An engine that certainly has the part needs no source. One that held it some time ago gets one:
 * where the part is still there nothing is copied. */
static engine_t *
find_copy_source (const service_view_t *view, const known_holders_t *known, const engine_t *chosen)
{
  engine_t *source;

  if (view->request->affinity == 0 ||
      known_holders_state (known, chosen) == KNOWN_HOLDERS_ALL_CERTAIN)
    return NULL;
  source = find_known_source (view, known, chosen);
  return source ? source : find_likely_source (view, chosen);
}

static engine_choice_t
choose_among (const GPtrArray *engines, uint64_t now_us, const engine_choice_request_t *request)
{
  service_view_t view;
  known_holders_t known;
  engine_choice_t choice = { 0 };

  service_view_init (&view, engines, now_us, request);
  set_homes (&view);
  known_holders_init (&known, now_us, request);
  choice.candidates = service_view_count_candidates (&view);
  choice.mean_milli = (uint32_t)view.mean_milli;
  choice.mean_age_us = view.mean_age_us;
  if (view.shared_room)
    choice.engine = room_choice_make (&view);
  else
    choice.engine = view.full && !view.is_below_share && request->version == 0
                        ? NULL
                        : choose_engine (&view, &known);
  if (!choice.engine)
    {
      choice.action = choice.candidates > 0 ? ENGINE_CHOICE_WAIT : ENGINE_CHOICE_NONE;
      choice.drained = choice.action == ENGINE_CHOICE_NONE && service_view_is_all_drained (&view);
      choice.backoff_us =
          choice.action == ENGINE_CHOICE_NONE ? service_view_min_backoff_us (&view) : 0;
      return choice;
    }
  choice.action = ENGINE_CHOICE_SEND;
  if (request->affinity != 0 && !request->only_sound)
    part_shares_add (choice.engine->part_shares, now_us, request->affinity);
  choice.load = service_view_load_at (&view, choice.engine);
  choice.bound_milli = service_view_bound_milli (&view, choice.engine);
  choice.source = find_copy_source (&view, &known, choice.engine);
  choice.engine_holds = known_holders_state (&known, choice.engine) != KNOWN_HOLDERS_UNKNOWN;
  choice.source_holds =
      choice.source && known_holders_state (&known, choice.source) != KNOWN_HOLDERS_UNKNOWN;
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
