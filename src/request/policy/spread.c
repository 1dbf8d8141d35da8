#include "request/policy/spread.h"

#include "request/policy/cold_share.h"

#include <string.h>
#include <xxhash.h>

#define MILLI 1000

/** struct world - what the choice sees of the service */
typedef struct
{
  const GPtrArray *engines;
  uint64_t now_us;
  const spr_request_t *request;
  uint32_t open;
  uint64_t mean_milli;
  uint64_t all_mean_milli;
  uint64_t usual_milli;
  uint64_t own;
  uint64_t slots;
  uint32_t joined;
  uint32_t error_limit_milli;
  bool distrust;
  bool keeps_lapsed;
  bool crowded;
  bool full;
  bool has_share;
} world_t;

static egn_t *
engine_at (const world_t *world, guint index)
{
  return g_ptr_array_index (world->engines, index);
}

static bool
is_cold (const world_t *world, const egn_t *egn)
{
  return egn_is_cold (egn, world->now_us, world->request->cold_start_us);
}

/* It takes requests, and has joined or come back and told nothing yet. One that is cold gets little
 * until it is warm. */
static bool
has_joined (const world_t *world, const egn_t *egn)
{
  if (!egn_is_open (egn) || egn->told_us != 0 || egn->since_us == 0)
    return false;
  return is_cold (world, egn) || world->now_us < egn->since_us + SPR_IDLE_US;
}

/* It has hardly any load, and lowers the mean of its service. */
static bool
is_idle (const world_t *world, const egn_t *egn)
{
  if (egn->drained_us != 0)
    return egn->entry.state == EGN_READY;
  return has_joined (world, egn);
}

/*
 * Of an engine that has joined others know as little: it has at most what is usual. Were it taken
 * for one that others fill, nobody would send there while the margin is narrow, and the engines
 * that were there before would carry a burst alone.
 */
static uint32_t
load_of (const world_t *world, const egn_t *egn)
{
  if (has_joined (world, egn))
    return egn->own + (uint32_t)(world->usual_milli / MILLI);
  return egn_load_now (egn, world->now_us, world->usual_milli);
}

static bool
was_tried (const world_t *world, const egn_t *egn)
{
  for (uint32_t i = 0; i < world->request->tried_count; i++)
    if (world->request->tried[i] == egn->hash)
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
error_limit (const world_t *world)
{
  g_autofree uint32_t *values = g_new (uint32_t, world->engines->len + 1);
  uint32_t count = 0;

  for (guint i = 0; i < world->engines->len; i++)
    values[count++] = egn_errors_now (engine_at (world, i), world->now_us);
  if (count == 0)
    return SPR_ERROR_MILLI;
  qsort (values, count, sizeof *values, compare_u32);
  return MAX (values[count / 2] * SPR_ERROR_FACTOR, SPR_ERROR_MILLI);
}

/*
 * Means are of what was heard lately, as far as anything was. After a burst the engines that were
 * not asked since still look full: with them in the mean, all others had room beyond their bound.
 */
static void
weigh (world_t *world)
{
  uint64_t weights = 0;
  uint64_t own = 0;
  uint64_t others = 0;

  for (guint i = 0; i < world->engines->len; i++)
    {
      const egn_t *egn = engine_at (world, i);
      uint32_t weight = egn_is_open (egn) ? egn_trust_milli (egn, world->now_us) : 0;

      weights += weight;
      own += (uint64_t)weight * egn->own;
      others += (uint64_t)weight * egn->others;
    }
  /* As if one idle engine more had told: the first one that tells says little of the others. */
  world->usual_milli = others * MILLI / (weights + MILLI);
  world->mean_milli = weights > 0 ? (own + others) * MILLI / weights : 0;
}

static bool
is_new (const world_t *world, const egn_t *egn)
{
  return egn->since_us != 0 && world->now_us - egn->since_us < SPR_NEW_US;
}

/* The mean is of the engines that may be asked and have told their load; that of the whole service
 * is less while others of it stand idle. */
static void
weigh_idle (world_t *world)
{
  uint32_t idle = 0;
  uint32_t busy = 0;

  for (guint i = 0; i < world->engines->len; i++)
    {
      const egn_t *egn = engine_at (world, i);

      if (is_idle (world, egn))
        idle++;
      else if (egn_is_open (egn))
        busy++;
    }
  world->all_mean_milli = busy > 0 ? world->mean_milli * busy / (busy + idle) : 0;
}

/* The mean is not that of engines that have joined, which have room for what the others have not.
 */
static bool
is_crowded (const world_t *world)
{
  uint64_t load_milli = world->mean_milli * (world->open - world->joined);

  return world->slots > 0 && load_milli >= world->slots * SPR_CROWDED_MILLI;
}

/*
 * When most engines look lost, it is more likely that this router is cut off or that one kind of
 * request fails everywhere: then all are asked, as they would be without the evidence.
 */
static void
survey (world_t *world)
{
  uint64_t gateways = MAX (world->request->gateways, 1U);
  uint32_t skipped = 0;
  uint32_t lapsed = 0;

  weigh (world);
  for (guint i = 0; i < world->engines->len; i++)
    {
      const egn_t *egn = engine_at (world, i);

      if (!egn_is_open (egn))
        continue;
      world->open++;
      world->own += egn->own;
      world->slots += egn_slots (egn, world->request->default_slots);
      world->joined += has_joined (world, egn) ? 1 : 0;
      skipped += egn->failures >= EGN_FAILURES ? 1 : 0;
      lapsed += egn->lapsed ? 1 : 0;
    }
  if (world->mean_milli == 0 && world->open > 0)
    world->mean_milli = world->own * MILLI / world->open;
  weigh_idle (world);
  world->distrust = skipped * 2 > world->open;
  world->keeps_lapsed = lapsed * SPR_LAPSED_PART > world->open;
  world->crowded = is_crowded (world);
  world->full = world->request->surge || (world->request->told_milli >= SPR_FULL_MILLI &&
                                          world->slots >= gateways * SPR_SHARE_SLOTS);
  world->has_share = !world->request->late && world->own * gateways < world->slots + gateways - 1;
  world->error_limit_milli = error_limit (world);
}

static bool
may_ask (const world_t *world, const egn_t *egn)
{
  if (!egn_is_open (egn) || egn_is_resting (egn, world->now_us) || was_tried (world, egn))
    return false;
  if (egn->lapsed && !world->keeps_lapsed)
    return false;
  return world->distrust || !egn_is_skipped (egn, world->now_us, world->request->repeatable);
}

/* One that is cold has room for this gateway at its turns, for what will be in its cache. */
static bool
has_turn (const world_t *world, const egn_t *egn)
{
  const spr_request_t *request = world->request;
  cold_share_t share = { .per_s = request->cold_per_s,
                         .gateways = request->known_gateways,
                         .gateway_hash = request->gateway_hash,
                         .engine_hash = egn->hash,
                         .since_us = egn_cold_since_us (egn),
                         .sent_us = egn->sent_us };

  return !is_cold (world, egn) || cold_share_has_turn (&share, world->now_us);
}

static bool
is_doubtful (const world_t *world, const egn_t *egn)
{
  return egn_errors_now (egn, world->now_us) > world->error_limit_milli ||
         (world->request->cold_per_s == 0 && is_cold (world, egn)) ||
         egn_pace_now (egn, world->now_us) > SPR_PACE_MILLI ||
         egn_is_silent (egn, world->now_us, world->request->head_us, world->request->repeatable);
}

/*
 * An engine queues a few requests more than it runs. Where many gateways share few slots, all of
 * them learn of a free slot late, and it stays free meanwhile: of six slots that 22 gateways
 * shared, a third of the requests was refused at 93% of load. So each may keep its share there and
 * one more, whatever the others have there, and the engine always has a next one. In an overload
 * the engine's queue would be full for good, and all late, also those whose account has little. So
 * a gateway sends there no more than twice as often as its share of the slots comes free.
 */
static bool
may_queue (const world_t *world, const egn_t *egn, uint32_t slots)
{
  uint64_t gateways = MAX (world->request->gateways, 1U);
  uint64_t share_us = world->request->run_us * gateways / slots;

  return world->has_share && !egn_is_full (egn, world->now_us) &&
         egn->own * gateways < slots + gateways - 1 &&
         world->now_us >= egn->sent_us + share_us / SPR_SHARE_PART;
}

/* The time in which this gateway's share of one slot comes free, and it hears whether the engine
 * took what it sent there. */
static uint64_t
window_pause_us (const world_t *world, uint32_t slots)
{
  uint64_t gateways = MAX (world->request->gateways, 1U);
  uint64_t share_us = world->request->run_us * gateways / MAX (slots, 1U);

  return MAX (share_us / SPR_SHARE_PART, world->request->head_us);
}

static bool
has_room (const world_t *world, const egn_t *egn)
{
  uint32_t slots = egn_slots (egn, world->request->default_slots);

  if (!has_turn (world, egn) ||
      !egn_has_window (egn, world->now_us, window_pause_us (world, slots)))
    return false;
  if (slots == 0 || (!world->full && load_of (world, egn) < slots))
    return true;
  return may_queue (world, egn, slots);
}

static uint64_t
overload_milli (uint64_t mean_milli)
{
  return mean_milli * SPR_OVERLOAD_FACTOR + SPR_OVERLOAD_MORE_MILLI;
}

/*
 * An engine is overloaded over twice the mean of its whole service and three more. While a data
 * centre is drained, or many engines join, that is nearer to the mean of those that have the load,
 * and the margin is a part of the distance as it always is. Else, of 40 engines of which 13 were
 * drained, one request in 25 met an engine over it. One request more is always allowed.
 */
static uint64_t
narrowed (const world_t *world, uint64_t margin_milli)
{
  uint64_t usual_milli = world->mean_milli + SPR_OVERLOAD_MORE_MILLI;
  uint64_t limit_milli = overload_milli (world->all_mean_milli);
  uint64_t left_milli = limit_milli - MIN (limit_milli, world->mean_milli);

  g_assert (usual_milli >= SPR_OVERLOAD_MORE_MILLI);
  return MAX (margin_milli * MIN (left_milli, usual_milli) / usual_milli, MILLI);
}

/*
 * How far beyond the mean an engine may be. What other gateways send before they hear of each other
 * is in proportion to their number. Engines that are nearly full are slow, and one that is full
 * makes its requests wait, so the margin goes with the slots that are free; but half of it stays,
 * or no prompt would meet its cache any more just when there is no time to read it.
 */
static uint64_t
margin_milli (const world_t *world, const egn_t *egn)
{
  uint64_t gateways = MAX (world->request->gateways, SPR_FEW_GATEWAYS);
  uint64_t any_milli = world->mean_milli * SPR_BOUND_MILLI / MILLI + SPR_BOUND_MORE_MILLI;
  uint64_t few_milli = world->mean_milli * SPR_FEW_MILLI / MILLI + SPR_FEW_MORE_MILLI;
  uint64_t margin_milli = narrowed (world, any_milli + few_milli * SPR_FEW_GATEWAYS / gateways);
  uint64_t slots_milli = (uint64_t)egn_slots (egn, world->request->default_slots) * MILLI;
  uint64_t free_milli = slots_milli - MIN (slots_milli, world->mean_milli);

  if (slots_milli == 0)
    return margin_milli;
  return margin_milli * MAX (free_milli, slots_milli / SPR_MARGIN_KEPT) / slots_milli;
}

/* Where a gateway's share of an engine is less than one slot it hears of each engine once in
 * seconds, however full engines are. */
static bool
is_seldom_heard (const world_t *world, const egn_t *egn)
{
  return egn_slots (egn, world->request->default_slots) < world->request->gateways;
}

/* An engine that holds a request of each other gateway, of which nobody knows, is overloaded. */
static bool
is_crowd (const world_t *world)
{
  uint64_t others = MAX (world->request->gateways, 1U) - 1;

  return others * MILLI > overload_milli (world->mean_milli);
}

/*
 * Where gateways hear of engines seldom, all of them would send what they have for the home of a
 * popular part before any of them hears of it: an engine that had joined got three times the mean
 * within a second. So half of the gateways begin, and the others follow when they hear of it.
 */
static bool
begins_at_joined (const world_t *world, const egn_t *egn)
{
  uint64_t hash = world->request->gateway_hash;

  return !is_seldom_heard (world, egn) || (XXH64 (&hash, sizeof hash, egn->hash) & 1) != 0;
}

static bool
within_bound (const world_t *world, const egn_t *egn)
{
  uint64_t after_milli = ((uint64_t)load_of (world, egn) + 1) * MILLI;

  if (has_joined (world, egn) && !begins_at_joined (world, egn))
    return false;
  return after_milli <= world->mean_milli + margin_milli (world, egn);
}

static uint64_t
rank_of (const world_t *world, const egn_t *egn)
{
  return XXH64 (&egn->rank_hash, sizeof egn->rank_hash, world->request->affinity);
}

/*
 * Where a gateway hears of each engine once in seconds, and least at its start, nobody sees that
 * the home of some popular parts is over the bound: with 103 gateways 3.3% of the requests of a
 * start went to engines over twice the mean. There a part has two homes, and half of the gateways
 * begin at the second one.
 */
static bool
begins_at_second (const world_t *world, const egn_t *egn)
{
  uint64_t seed = world->request->affinity;
  uint64_t hash = world->request->gateway_hash;

  uint32_t tokens = world->request->affinity_tokens;

  if (tokens == 0 || tokens > SPR_SMALL_TOKENS ||
      !(is_seldom_heard (world, egn) || is_crowd (world)))
    return false;
  return (XXH64 (&hash, sizeof hash, seed) & 1) != 0;
}

/* Return: the rank of the last of the first few, of those that may be asked and are trusted; 0 when
 * there are no more than that many, UINT64_MAX when there is none */
static uint64_t
few_rank (const world_t *world)
{
  uint64_t top[SPR_FEW_HOMES] = { 0 };

  for (guint i = 0; i < world->engines->len; i++)
    {
      const egn_t *egn = engine_at (world, i);
      uint64_t rank = rank_of (world, egn);
      uint32_t at = SPR_FEW_HOMES;

      if (!may_ask (world, egn) || is_doubtful (world, egn))
        continue;
      for (; at > 0 && top[at - 1] < rank; at--)
        if (at < SPR_FEW_HOMES)
          top[at] = top[at - 1];
      if (at < SPR_FEW_HOMES)
        top[at] = rank;
    }
  return top[0] == 0 ? UINT64_MAX : top[SPR_FEW_HOMES - 1];
}

/** struct wish - what an engine must be to be chosen */
typedef struct
{
  bool within_bound;
  bool trusted;
} wish_t;

static bool
meets (const world_t *world, const egn_t *egn, wish_t wish)
{
  if (!may_ask (world, egn) || !has_room (world, egn))
    return false;
  if (wish.within_bound && !within_bound (world, egn))
    return false;
  return !wish.trusted || !is_doubtful (world, egn);
}

/* Return: the best rank below @below among those that meet the wish, NULL when none does */
static egn_t *
first_in_rank (const world_t *world, wish_t wish, uint64_t below)
{
  egn_t *best = NULL;
  uint64_t best_rank = 0;

  for (guint i = 0; i < world->engines->len; i++)
    {
      egn_t *egn = engine_at (world, i);
      uint64_t rank = rank_of (world, egn);

      if (rank >= below || (best && rank <= best_rank) || !meets (world, egn, wish))
        continue;
      best = egn;
      best_rank = rank;
    }
  return best;
}

/* Return: the home of the request's part as this gateway sees it, NULL when none meets the wish */
static egn_t *
home (const world_t *world, wish_t wish)
{
  egn_t *first = first_in_rank (world, wish, UINT64_MAX);
  egn_t *second = NULL;

  if (first && begins_at_second (world, first))
    second = first_in_rank (world, wish, rank_of (world, first));
  return second ? second : first;
}

/* Time that a request would wait and run there, in thousandths of the time that one takes on a host
 * as usual, twice over; one in another data centre must be better by more than its way is worth. */
static uint64_t
distance (const world_t *world, const egn_t *egn)
{
  uint64_t after = (uint64_t)load_of (world, egn) + 1;
  uint64_t effort_milli = (uint64_t)egn_effort_now (egn, world->now_us) * MILLI / EGN_EFFORT_USUAL;
  bool near = strcmp (egn->entry.data_center, world->request->data_center) == 0;

  return after * effort_milli * 2 + (near ? 0 : (SPR_NEAR_MORE * 2 + 1) * MILLI);
}

static egn_t *
least_loaded (const world_t *world, wish_t wish)
{
  egn_t *best = NULL;
  uint64_t best_distance = 0;

  for (guint i = 0; i < world->engines->len; i++)
    {
      egn_t *egn = engine_at (world, i);
      uint64_t far = distance (world, egn);

      if ((best && far >= best_distance) || !meets (world, egn, wish))
        continue;
      best = egn;
      best_distance = far;
    }
  return best;
}

/*
 * Where slots are scarce, a request that took any free one would have its prompt read there anew,
 * and all engines would do nothing else than read: callers would wait for prompts that another
 * engine has in its cache. So it waits for the first few in rank, whose caches hold its part; the
 * slot goes to one that waits for just that engine.
 */
static egn_t *
first_of_few (const world_t *world, uint64_t last_rank)
{
  egn_t *best = NULL;

  for (guint i = 0; i < world->engines->len; i++)
    {
      egn_t *egn = engine_at (world, i);

      if (rank_of (world, egn) < last_rank || !meets (world, egn, (wish_t){ .trusted = true }))
        continue;
      if (!best || load_of (world, egn) < load_of (world, best))
        best = egn;
    }
  return best;
}

/* An engine over the bound makes all its requests wait, one that errs fails some: the bound goes
 * before the doubt. */
static egn_t *
choose_engine (const world_t *world)
{
  static const wish_t wishes[] = { { true, true }, { true, false }, { false, false } };
  bool few_only = world->crowded && world->request->affinity != 0;
  uint64_t last_rank = few_only ? few_rank (world) : UINT64_MAX;
  egn_t *egn = NULL;

  if (world->request->affinity != 0)
    egn = home (world, wishes[0]);
  if (last_rank != UINT64_MAX)
    return egn && rank_of (world, egn) >= last_rank ? egn : first_of_few (world, last_rank);
  for (size_t i = 0; !egn && i < G_N_ELEMENTS (wishes); i++)
    egn = least_loaded (world, wishes[i]);
  return egn;
}

static uint32_t
rank_count (const world_t *world, const egn_t *chosen)
{
  uint32_t before = 0;

  if (world->request->affinity == 0)
    return 0;
  for (guint i = 0; i < world->engines->len; i++)
    before += rank_of (world, engine_at (world, i)) > rank_of (world, chosen) ? 1 : 0;
  return before;
}

/* Its data centre must get nothing more soon, a copy's read neither. */
static bool
is_drained_dry (const world_t *world, const egn_t *egn)
{
  return egn->drained_us != 0 &&
         world->now_us >= egn->drained_us + world->request->drain_us / SPR_DRAIN_PART;
}

/*
 * All routers rank alike, so the engine that ranks first of those that have been there for a while
 * has served the part, also when it takes no new work any more; and where the first one itself is
 * chosen, the second one has, in a time when the first was full. To copy the part from its cache
 * takes a few milliseconds; to read 10,000 tokens again takes 94 ms, in which every other request
 * on that engine waits for its tokens.
 */
static egn_t *
source_for (const world_t *world, const egn_t *chosen)
{
  egn_t *best = NULL;

  if (world->request->affinity == 0)
    return NULL;
  for (guint i = 0; i < world->engines->len; i++)
    {
      egn_t *egn = engine_at (world, i);

      if (egn == chosen || is_new (world, egn) || egn->failures > 0 ||
          egn->entry.state == EGN_GONE || is_drained_dry (world, egn))
        continue;
      if (!best || rank_of (world, egn) > rank_of (world, best))
        best = egn;
    }
  return best;
}

static uint32_t
askable (const world_t *world)
{
  uint32_t count = 0;

  for (guint i = 0; i < world->engines->len; i++)
    count += may_ask (world, engine_at (world, i)) ? 1 : 0;
  return count;
}

static bool
is_all_drained (const world_t *world)
{
  bool any = false;

  for (guint i = 0; i < world->engines->len; i++)
    {
      const egn_t *egn = engine_at (world, i);

      if (egn_is_open (egn))
        return false;
      any = any || (egn->entry.state == EGN_READY && egn->drained_us != 0);
    }
  return any;
}

/* Return: until one that may be asked then has rested, 0 when none rests */
static uint64_t
least_rest_us (const world_t *world)
{
  uint64_t least_us = 0;

  for (guint i = 0; i < world->engines->len; i++)
    {
      const egn_t *egn = engine_at (world, i);
      uint64_t left_us = egn->rest_until_us - MIN (egn->rest_until_us, world->now_us);

      if (left_us == 0 || !egn_is_open (egn) || was_tried (world, egn))
        continue;
      least_us = least_us == 0 ? left_us : MIN (least_us, left_us);
    }
  return least_us;
}

static spr_choice_t
choose_of (const GPtrArray *engines, uint64_t now_us, const spr_request_t *request)
{
  world_t world = { .engines = engines, .now_us = now_us, .request = request };
  spr_choice_t choice = { 0 };

  survey (&world);
  choice.candidates = askable (&world);
  choice.mean_milli = (uint32_t)world.mean_milli;
  choice.engine = world.full && !world.has_share ? NULL : choose_engine (&world);
  if (!choice.engine)
    {
      choice.action = choice.candidates > 0 ? SPR_WAIT : SPR_NONE;
      choice.drained = choice.action == SPR_NONE && is_all_drained (&world);
      choice.rest_us = choice.action == SPR_NONE ? least_rest_us (&world) : 0;
      return choice;
    }
  choice.action = SPR_SEND;
  choice.load = load_of (&world, choice.engine);
  choice.source = source_for (&world, choice.engine);
  choice.rank = rank_count (&world, choice.engine);
  return choice;
}

/* What is bound to regions must not reach others by any way, a copy from their caches neither, so
 * the engines there are left out of the whole choice. */
spr_choice_t
spr_choose (const GPtrArray *engines, uint64_t now_us, const spr_request_t *request)
{
  g_autoptr (GPtrArray) allowed = NULL;

  if (home_regions_bind (&request->homes))
    allowed = home_regions_engines (&request->homes, engines);
  return choose_of (allowed ? allowed : engines, now_us, request);
}
