#include "request/spread.h"

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
  uint32_t error_limit_milli;
  bool distrust;
} world_t;

static egn_t *
engine_at (const world_t *world, guint index)
{
  return g_ptr_array_index (world->engines, index);
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
 * When most engines look lost, it is more likely that this router is cut off or that one kind of
 * request fails everywhere: then all are asked, as they would be without the evidence.
 */
static void
survey (world_t *world)
{
  uint64_t load = 0;
  uint32_t skipped = 0;

  for (guint i = 0; i < world->engines->len; i++)
    {
      const egn_t *egn = engine_at (world, i);

      if (!egn_is_open (egn))
        continue;
      world->open++;
      load += egn_load_now (egn, world->now_us);
      skipped += egn->failures >= EGN_FAILURES ? 1 : 0;
    }
  world->mean_milli = world->open > 0 ? load * MILLI / world->open : 0;
  world->distrust = skipped * 2 > world->open;
  world->error_limit_milli = error_limit (world);
}

static bool
may_ask (const world_t *world, const egn_t *egn)
{
  if (!egn_is_open (egn) || was_tried (world, egn))
    return false;
  return world->distrust || !egn_is_skipped (egn, world->now_us);
}

static bool
is_doubtful (const world_t *world, const egn_t *egn)
{
  return egn_errors_now (egn, world->now_us) > world->error_limit_milli ||
         world->now_us < egn->cold_until_us;
}

static bool
has_room (const world_t *world, const egn_t *egn)
{
  uint32_t slots = egn_slots (egn, world->request->default_slots);

  return slots == 0 || egn_load_now (egn, world->now_us) < slots;
}

static bool
within_bound (const world_t *world, const egn_t *egn)
{
  uint64_t after = (uint64_t)egn_load_now (egn, world->now_us) + 1;

  return after * MILLI <=
         world->mean_milli * SPR_BOUND_MILLI / MILLI + (uint64_t)SPR_BOUND_MORE * MILLI;
}

static uint64_t
rank_of (const world_t *world, const egn_t *egn)
{
  return XXH64 (&egn->hash, sizeof egn->hash, world->request->affinity);
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

/* Return: the best rank among those that meet the wish, NULL when none does */
static egn_t *
first_in_rank (const world_t *world, wish_t wish)
{
  egn_t *best = NULL;

  for (guint i = 0; i < world->engines->len; i++)
    {
      egn_t *egn = engine_at (world, i);

      if (meets (world, egn, wish) && (!best || rank_of (world, egn) > rank_of (world, best)))
        best = egn;
    }
  return best;
}

static uint32_t
distance (const world_t *world, const egn_t *egn)
{
  uint32_t load = egn_load_now (egn, world->now_us);
  bool near = strcmp (egn->entry.data_center, world->request->data_center) == 0;

  return load * 2 + (near ? 0 : SPR_NEAR_MORE * 2 + 1);
}

static egn_t *
least_loaded (const world_t *world, wish_t wish)
{
  egn_t *best = NULL;

  for (guint i = 0; i < world->engines->len; i++)
    {
      egn_t *egn = engine_at (world, i);

      if (meets (world, egn, wish) && (!best || distance (world, egn) < distance (world, best)))
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
  egn_t *egn = NULL;

  if (world->request->affinity != 0)
    egn = first_in_rank (world, wishes[0]);
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

static bool
is_new (const world_t *world, const egn_t *egn)
{
  return egn->since_us != 0 && world->now_us - egn->since_us < SPR_NEW_US;
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

      if (egn == chosen || is_new (world, egn) || egn->failures > 0 || egn->entry.state == EGN_GONE)
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

spr_choice_t
spr_choose (const GPtrArray *engines, uint64_t now_us, const spr_request_t *request)
{
  world_t world = { .engines = engines, .now_us = now_us, .request = request };
  spr_choice_t choice = { 0 };

  survey (&world);
  choice.candidates = askable (&world);
  choice.mean_milli = (uint32_t)world.mean_milli;
  choice.engine = choose_engine (&world);
  if (!choice.engine)
    {
      choice.action = choice.candidates > 0 ? SPR_WAIT : SPR_NONE;
      return choice;
    }
  choice.action = SPR_SEND;
  choice.load = egn_load_now (choice.engine, now_us);
  choice.source = source_for (&world, choice.engine);
  choice.rank = rank_count (&world, choice.engine);
  return choice;
}
