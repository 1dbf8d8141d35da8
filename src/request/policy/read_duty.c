#include "request/policy/read_duty.h"

#include <glib.h>

/* A peer with a lower offset confirms nothing: the store may have answered it before the new
 * records.
 */
void
rdu_heard (rdu_t *rdu, uint64_t now_us, uint64_t theirs, uint64_t ours, uint64_t store_us)
{
  if (theirs == ours)
    rdu->current_as_of_us = MAX (rdu->current_as_of_us, store_us);
  if (theirs <= ours)
    return;
  rdu->ahead_as_of_us = MAX (rdu->ahead_as_of_us, store_us);
  if (rdu->behind_since_us == 0)
    rdu->behind_since_us = now_us;
}

/* While new records come quickly, peers always have a higher offset and never the same one. So what
 * the peer confirms counts once its copy has been applied. */
void
rdu_caught_up (rdu_t *rdu, bool of_peer)
{
  if (of_peer)
    rdu->current_as_of_us = MAX (rdu->current_as_of_us, rdu->ahead_as_of_us);
  rdu_give_up (rdu);
}

void
rdu_give_up (rdu_t *rdu)
{
  rdu->behind_since_us = 0;
  rdu->ahead_as_of_us = 0;
  rdu->large = false;
}

void
rdu_is_large (rdu_t *rdu)
{
  rdu->large = true;
}

uint64_t
rdu_known_us (const rdu_t *rdu, const rdu_view_t *view)
{
  return MAX (rdu->current_as_of_us, view->own_us);
}

/* Return: until when the copy counts as current; 0 when it never did */
static uint64_t
current_until_us (const rdu_t *rdu, const rdu_stream_t *stream, const rdu_view_t *view)
{
  uint64_t known_us = rdu_known_us (rdu, view);
  uint64_t max_us = RDU_VOUCHED_US;

  if (stream->bound_us > 0)
    max_us = MIN (max_us, stream->bound_us * RDU_VOUCHED_MOST_PERCENT / 100);
  max_us = MAX (max_us, stream->bound_us * RDU_VOUCHED_PERCENT / 100);

  return known_us != 0 ? known_us + max_us : 0;
}

/* Whether it is this gateway's turn to read, when no peer has confirmed its copy since @since_us.
 */
static bool
has_turn (const rdu_view_t *view, uint64_t since_us, uint64_t now_us)
{
  uint64_t first_turn_us = since_us + view->before * RDU_TURN_US;
  uint64_t round_us = MAX (view->count * RDU_TURN_US, RDU_ROUND_MIN_US);

  if (view->tried_us < since_us)
    return now_us >= first_turn_us;
  return now_us >= view->tried_us + round_us;
}

static bool
has_been_behind_for (const rdu_t *rdu, uint64_t now_us, uint64_t limit_us)
{
  return rdu->behind_since_us != 0 && now_us >= rdu->behind_since_us + limit_us;
}

/* Whether the store answered this gateway in its turn, and no peer confirms its copy yet. */
static bool
is_acting_follower (const rdu_t *rdu, const rdu_view_t *view)
{
  return rdu->reading_since_us != 0 && view->own_us >= rdu->reading_since_us && !view->lost;
}

/*
 * The followers may be lost for a long time, and a gateway that reads in its turn may be the only
 * one that reaches the store. If it stopped until its copy is out of date again, new records would
 * exceed their bound. So it acts as a follower until a peer has a later answer of the store than
 * its own.
 */
rdu_read_t
rdu_read (rdu_t *rdu, const rdu_stream_t *stream, const rdu_view_t *view, uint64_t now_us)
{
  uint64_t until_us = current_until_us (rdu, stream, view);

  if (view->close || !view->listed)
    return RDU_FOLLOW;
  if (rdu->current_as_of_us > MAX (view->own_us, rdu->reading_since_us))
    rdu->reading_since_us = 0;
  if (is_acting_follower (rdu, view))
    return RDU_FOLLOW;
  if (now_us >= until_us && view->alone)
    return RDU_FOLLOW;
  if (now_us >= until_us && !has_turn (view, until_us, now_us))
    return RDU_REST;
  if (now_us >= until_us)
    {
      rdu->reading_since_us = rdu->reading_since_us != 0 ? rdu->reading_since_us : now_us;
      return RDU_READ;
    }
  return has_been_behind_for (rdu, now_us, rdu->large ? 0 : stream->patience_us) ? RDU_READ
                                                                                 : RDU_REST;
}

bool
rdu_asks_peer (const rdu_t *rdu,
               const rdu_stream_t *stream,
               const rdu_view_t *view,
               uint64_t now_us)
{
  uint64_t patience_us = view->close ? stream->patience_us : 0;

  if (rdu->large)
    patience_us = stream->patience_us;
  if (view->lost)
    patience_us = MIN (patience_us, RDU_ASK_LOST_US);
  return has_been_behind_for (rdu, now_us, patience_us);
}

bool
rdu_may_have_lapsed (uint64_t out_until_us, bool unsure, uint64_t now_us)
{
  return unsure && out_until_us != 0 && now_us < out_until_us + RDU_LAPSE_US;
}
