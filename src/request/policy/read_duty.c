#include "request/policy/read_duty.h"

#include <glib.h>

/* A peer that knows less vouches for nothing: it may have heard the store before the news. */
void
rdu_heard (rdu_t *rdu, uint64_t now_us, uint64_t theirs, uint64_t ours, uint64_t store_us)
{
  if (theirs == ours)
    rdu->fresh_us = MAX (rdu->fresh_us, store_us);
  if (theirs <= ours)
    return;
  rdu->ahead_us = MAX (rdu->ahead_us, store_us);
  if (rdu->behind_us == 0)
    rdu->behind_us = now_us;
}

/* While news comes quickly, peers are always found ahead and never level: what they vouched for
 * counts once their copy has come. */
void
rdu_caught_up (rdu_t *rdu, bool of_peer)
{
  if (of_peer)
    rdu->fresh_us = MAX (rdu->fresh_us, rdu->ahead_us);
  rdu_give_up (rdu);
}

void
rdu_give_up (rdu_t *rdu)
{
  rdu->behind_us = 0;
  rdu->ahead_us = 0;
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
  return MAX (rdu->fresh_us, view->own_us);
}

/* Until when what is known counts; 0 for never. */
static uint64_t
vouched_until_us (const rdu_t *rdu, const rdu_stream_t *stream, const rdu_view_t *view)
{
  uint64_t known_us = rdu_known_us (rdu, view);
  uint64_t most_us = RDU_VOUCHED_US;

  if (stream->bound_us > 0)
    most_us = MIN (most_us, stream->bound_us * RDU_VOUCHED_MOST_PERCENT / 100);
  most_us = MAX (most_us, stream->bound_us * RDU_VOUCHED_PERCENT / 100);

  return known_us != 0 ? known_us + most_us : 0;
}

/* Nobody has vouched since @since_us. */
static bool
has_turn (const rdu_view_t *view, uint64_t since_us, uint64_t now_us)
{
  uint64_t first_us = since_us + view->before * RDU_TURN_US;
  uint64_t round_us = MAX (view->count * RDU_TURN_US, RDU_ROUND_MIN_US);

  if (view->tried_us < since_us)
    return now_us >= first_us;
  return now_us >= view->tried_us + round_us;
}

static bool
is_behind_for (const rdu_t *rdu, uint64_t now_us, uint64_t limit_us)
{
  return rdu->behind_us != 0 && now_us >= rdu->behind_us + limit_us;
}

/* It was answered in its turn, and no peer has heard the store since. */
static bool
has_taken_over (const rdu_t *rdu, const rdu_view_t *view)
{
  return rdu->took_us != 0 && view->own_us >= rdu->took_us && !view->lost;
}

/*
 * Those that follow may be lost for long, and the one that reads in its turn may be the only one
 * that reaches the store. Were it to rest again until nobody vouches any more, news would be known
 * later than it must be. So it follows, until a peer has heard the store later than it has itself.
 */
rdu_read_t
rdu_read (rdu_t *rdu, const rdu_stream_t *stream, const rdu_view_t *view, uint64_t now_us)
{
  uint64_t until_us = vouched_until_us (rdu, stream, view);

  if (view->close || !view->listed)
    return RDU_FOLLOW;
  if (rdu->fresh_us > MAX (view->own_us, rdu->took_us))
    rdu->took_us = 0;
  if (has_taken_over (rdu, view))
    return RDU_FOLLOW;
  if (now_us >= until_us && view->alone)
    return RDU_FOLLOW;
  if (now_us >= until_us && !has_turn (view, until_us, now_us))
    return RDU_REST;
  if (now_us >= until_us)
    {
      rdu->took_us = rdu->took_us != 0 ? rdu->took_us : now_us;
      return RDU_READ;
    }
  return is_behind_for (rdu, now_us, rdu->large ? 0 : stream->patience_us) ? RDU_READ : RDU_REST;
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
  return is_behind_for (rdu, now_us, patience_us);
}

bool
rdu_may_have_lapsed (uint64_t out_until_us, bool unsure, uint64_t now_us)
{
  return unsure && out_until_us != 0 && now_us < out_until_us + RDU_LAPSE_US;
}
