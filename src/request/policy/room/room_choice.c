#include "request/policy/room/room_choice.h"

#include <string.h>
#include <xxhash.h>

#define MILLI 1000

bool
room_choice_is_scarce (uint64_t slots, uint32_t engines, uint32_t gateways)
{
  return slots > 0 && engines <= ROOM_CHOICE_ENGINES_MAX &&
         slots < (uint64_t)MAX (gateways, 1U) * ROOM_CHOICE_SCARCE_SLOTS;
}

bool
room_choice_applies (const service_view_t *view)
{
  const engine_choice_request_t *request = view->request;

  return request->shared_room && request->affinity == 0 && request->version == 0 &&
         request->begin_version == 0 && view->open > 0 &&
         room_choice_is_scarce (view->slots, view->engines->len, request->gateways);
}

/* Return: 1 for a report at this moment, halved for each @half_life_us of its age, in thousandths
 */
static uint64_t
weight_milli (const service_view_t *view, uint64_t reported_us, uint64_t half_life_us)
{
  uint64_t age_us = view->now_us - MIN (reported_us, view->now_us);
  uint64_t halvings = age_us / half_life_us;
  uint64_t milli = reported_us != 0 && halvings < 32 ? (uint64_t)MILLI >> halvings : 0;

  return milli - milli / 2 * (age_us % half_life_us) / half_life_us;
}

static uint64_t
report_weight_milli (const service_view_t *view, const engine_t *engine)
{
  uint64_t half_life_us = MAX (view->request->slot_time_us, 1U) * ROOM_CHOICE_REPORT_DURATIONS;

  return weight_milli (view, MAX (engine->reported_us, engine->peer_report_us), half_life_us);
}

/* Return: usual number of other gateways' requests at an engine that has reported none: the mean of
 * the others. Unknown is not empty: where nothing is known, its slots count as taken. */
static uint64_t
unknown_others_milli (const service_view_t *view, const engine_t *engine)
{
  uint64_t sum_milli = 0;
  uint32_t known = 0;

  for (guint i = 0; i < view->engines->len; i++)
    {
      const engine_t *other = service_view_engine (view, i);

      if (!engine_is_open (other) || other->room.reports == 0)
        continue;
      sum_milli += other->room.others_milli;
      known++;
    }
  return known > 0 ? sum_milli / known
                   : (uint64_t)engine_slots (engine, view->request->default_slots) * MILLI;
}

/*
 * A queue that was reported long ago has probably ended: if it were still expected, requests would
 * be held back, and no response would tell that it has. But no more than the queue is taken to be
 * over, so the slots still count as taken.
 */
static uint64_t
usual_others_milli (const service_view_t *view, const engine_t *engine)
{
  uint64_t slots_milli = (uint64_t)engine_slots (engine, view->request->default_slots) * MILLI;
  uint64_t usual_milli =
      engine->room.reports > 0 ? engine->room.others_milli : unknown_others_milli (view, engine);
  uint64_t queue_milli = usual_milli - MIN (usual_milli, slots_milli);

  return usual_milli - queue_milli +
         queue_milli * weight_milli (view, engine->reported_us, ROOM_CHOICE_QUEUE_HALF_LIFE_US) /
             MILLI;
}

static uint64_t
load_milli (const service_view_t *view, const engine_t *engine)
{
  bool by_peer = engine->peer_report_us > engine->reported_us;
  uint64_t weight_milli = report_weight_milli (view, engine);
  uint64_t reported = by_peer ? engine->peer_report_others : engine->other_requests;
  uint64_t usual_milli = usual_others_milli (view, engine);

  return (uint64_t)engine->own_requests * MILLI + reported * weight_milli +
         usual_milli * (MILLI - weight_milli) / MILLI;
}

static uint64_t
mean_load_milli (const service_view_t *view)
{
  uint64_t sum_milli = 0;

  for (guint i = 0; i < view->engines->len; i++)
    if (engine_is_open (service_view_engine (view, i)))
      sum_milli += load_milli (view, service_view_engine (view, i));
  return sum_milli / MAX (view->open, 1U);
}

static bool
is_local (const service_view_t *view, const engine_t *engine)
{
  return strcmp (engine->entry.data_center, view->request->own_data_center) == 0;
}

static uint64_t
expected_milli (const service_view_t *view, const engine_t *engine)
{
  uint32_t slots = engine_slots (engine, view->request->default_slots);
  uint64_t milli = room_engine_expect_milli (&engine->room, load_milli (view, engine), slots);

  return milli * engine_slowdown_percent (engine, view->now_us) / ENGINE_SLOWDOWN_NONE_PERCENT +
         (is_local (view, engine) ? 0 : ROOM_CHOICE_REMOTE_MILLI);
}

/** struct search - what an engine must meet; @limit_milli: most load it may have with the request;
 * @own: requests of this gateway at the engines that meet it; @parts: sum of their parts */
typedef struct
{
  const service_view_t *view;
  uint64_t limit_milli;
  bool uses_failing;
  uint64_t own;
  uint64_t parts;
} search_t;

static bool
meets (const search_t *search, const engine_t *engine)
{
  return service_view_is_candidate (search->view, engine) &&
         service_view_has_room (search->view, engine) &&
         load_milli (search->view, engine) <= search->limit_milli &&
         (search->uses_failing || !service_view_is_failing (search->view, engine));
}

static uint64_t
attraction_of (const search_t *search, const engine_t *engine)
{
  uint32_t slots = engine_slots (engine, search->view->request->default_slots);
  uint64_t usual_milli = usual_others_milli (search->view, engine);

  return meets (search, engine) ? room_engine_attraction (&engine->room, usual_milli, slots) : 0;
}

/* Return: relative number of requests at the engine when engines are drawn by their attraction */
static uint64_t
part_of (const search_t *search, const engine_t *engine)
{
  uint32_t slots = engine_slots (engine, search->view->request->default_slots);
  uint64_t usual_milli = usual_others_milli (search->view, engine);

  return attraction_of (search, engine) *
         room_engine_expect_milli (&engine->room, usual_milli, slots);
}

static void
count_own (search_t *search)
{
  search->own = 0;
  search->parts = 0;
  for (guint i = 0; i < search->view->engines->len; i++)
    {
      const engine_t *engine = service_view_engine (search->view, i);

      if (!meets (search, engine))
        continue;
      search->own += engine->own_requests;
      search->parts += part_of (search, engine);
    }
}

/* Reports are older than a burst: if each request were drawn alone, one engine could get most of
 * it, and refuse requests while the others have free slots. */
static bool
has_more_than_its_part (const search_t *search, const engine_t *engine)
{
  return engine->own_requests * search->parts > search->own * part_of (search, engine);
}

static uint64_t
chance_of (const search_t *search, const engine_t *engine)
{
  return has_more_than_its_part (search, engine) ? 0 : attraction_of (search, engine);
}

static engine_t *
draw_engine (const search_t *search)
{
  const service_view_t *view = search->view;
  uint64_t seed[] = { view->now_us, view->request->gateway_hash, view->request->room_draw };
  uint64_t sum = 0;
  uint64_t left;

  for (guint i = 0; i < view->engines->len; i++)
    sum += chance_of (search, service_view_engine (view, i));
  if (sum == 0)
    return NULL;
  left = XXH64 (seed, sizeof seed, 0) % sum;
  for (guint i = 0; i < view->engines->len; i++)
    {
      engine_t *engine = service_view_engine (view, i);
      uint64_t chance = chance_of (search, engine);

      if (left < chance)
        return engine;
      left -= chance;
    }
  g_assert_not_reached ();
}

static engine_t *
find_engine (search_t *search)
{
  engine_t *best;
  uint64_t best_milli;

  count_own (search);
  best = draw_engine (search);
  best_milli = best ? expected_milli (search->view, best) : 0;

  for (guint i = 0; best && i < search->view->engines->len; i++)
    {
      engine_t *engine = service_view_engine (search->view, i);
      uint64_t milli = expected_milli (search->view, engine);
      bool is_known = report_weight_milli (search->view, engine) >= MILLI / 2 ||
                      is_local (search->view, engine);

      if (!is_known || milli >= best_milli || !meets (search, engine))
        continue;
      best = engine;
      best_milli = milli;
    }
  return best;
}

static bool
is_late (const service_view_t *view, const engine_t *engine)
{
  const engine_choice_request_t *request = view->request;
  uint64_t expected_us = expected_milli (view, engine) * request->slot_time_us / MILLI;

  return request->past_deadline ||
         (request->target_us != 0 && view->now_us + expected_us > request->target_us);
}

/* Whether too long has passed without a report to go on expecting that all slots are taken: a
 * gateway that sends nothing would expect it for ever. All gateways together ask an engine in this
 * way for a part of its slots only. */
static bool
may_ask_again (const service_view_t *view, const engine_t *engine)
{
  uint64_t gateways = MAX (view->request->gateways, 1U);
  uint64_t slots = MAX (engine_slots (engine, view->request->default_slots), 1U);
  uint64_t share_us = view->request->slot_time_us * gateways / slots;

  return engine->own_requests == 0 &&
         view->now_us >=
             MAX (MAX (engine->reported_us, engine->peer_report_us), engine->last_sent_us) +
                 share_us * ROOM_CHOICE_ASK_AGAIN_SHARES;
}

/* A late response is worth little, so it only gets a slot that is probably free, unless it is late
 * because of another account. */
static bool
is_admitted (const service_view_t *view, const engine_t *engine)
{
  uint64_t slots = engine_slots (engine, view->request->default_slots);

  if (is_late (view, engine) &&
      !room_share_is_crowded_out (engine->room_share, view->request->room_account))
    return may_ask_again (view, engine) || (room_share_milli (engine->room_share) >= MILLI &&
                                            load_milli (view, engine) + MILLI < slots * MILLI);
  return room_share_allows (engine->room_share, view->request->room_account,
                            view->request->room_draw);
}

/* Return: load up to which an engine may get one more request: half of the distance from the mean
 * to the overload limit, as loads are known late */
static uint64_t
most_load_milli (const service_view_t *view)
{
  uint64_t mean_milli = mean_load_milli (view);
  uint64_t overload_milli =
      mean_milli * ENGINE_CHOICE_OVERLOAD_FACTOR + ENGINE_CHOICE_OVERLOAD_EXTRA_MILLI;

  return (mean_milli + overload_milli) / 2 - MILLI;
}

engine_t *
room_choice_make (const service_view_t *view)
{
  search_t search = { .view = view, .limit_milli = most_load_milli (view) };
  engine_t *engine;

  engine = find_engine (&search);
  search.uses_failing = true;
  if (!engine)
    engine = find_engine (&search);
  return engine && is_admitted (view, engine) ? engine : NULL;
}
