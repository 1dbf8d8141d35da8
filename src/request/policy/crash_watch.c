#include "request/policy/crash_watch.h"

#include <string.h>

static uint64_t
time_between (uint64_t a_us, uint64_t b_us)
{
  return a_us > b_us ? a_us - b_us : b_us - a_us;
}

static const cwt_down_t *
find_down (const cwt_t *cwt, uint64_t engine_hash)
{
  for (uint32_t i = 0; i < CWT_DOWNS; i++)
    if (cwt->downs[i].engine_hash == engine_hash)
      return &cwt->downs[i];
  return NULL;
}

/* Two connections to an engine that break together also show a crash: a response lost in the
 * network breaks only one. */
static bool
broke_together (const cwt_t *cwt, const cwt_loss_t *loss)
{
  for (uint32_t i = 0; i < CWT_LOSSES; i++)
    {
      const cwt_loss_t *other = &cwt->losses[i];

      if (other != loss && other->engine_hash == loss->engine_hash &&
          time_between (other->lost_us, loss->lost_us) <= CWT_TOGETHER_US)
        return true;
    }
  return false;
}

void
cwt_lost (cwt_t *cwt, uint64_t now_us, uint64_t engine_hash, uint64_t fingerprint)
{
  cwt_loss_t *loss = &cwt->losses[cwt->next_loss++ % CWT_LOSSES];

  *loss = (cwt_loss_t){ engine_hash, fingerprint, now_us };
  if (broke_together (cwt, loss))
    cwt_down (cwt, now_us, engine_hash);
}

void
cwt_down (cwt_t *cwt, uint64_t now_us, uint64_t engine_hash)
{
  if (find_down (cwt, engine_hash))
    return;
  cwt->downs[cwt->next_down++ % CWT_DOWNS] = (cwt_down_t){ engine_hash, now_us };
}

/* Return: when connections to the engine broke, or if none did, when it was found down */
static uint64_t
crash_time_us (const cwt_t *cwt, const cwt_down_t *down)
{
  for (uint32_t i = 0; i < CWT_LOSSES; i++)
    if (cwt->losses[i].engine_hash == down->engine_hash)
      return cwt->losses[i].lost_us;
  return down->down_us;
}

static bool
others_failed_too (const cwt_t *cwt, const cwt_loss_t *loss)
{
  for (uint32_t i = 0; i < CWT_DOWNS; i++)
    {
      const cwt_down_t *down = &cwt->downs[i];

      if (down->engine_hash != 0 && down->engine_hash != loss->engine_hash &&
          time_between (crash_time_us (cwt, down), loss->lost_us) <= CWT_EVENT_US)
        return true;
    }
  return false;
}

static bool
is_suspected (const cwt_t *cwt, uint64_t now_us, const cwt_loss_t *loss)
{
  const cwt_down_t *down;

  if (loss->engine_hash == 0 || now_us < loss->lost_us + CWT_EVENT_US)
    return false;
  down = find_down (cwt, loss->engine_hash);
  return down && down->down_us + CWT_TOGETHER_US >= loss->lost_us &&
         down->down_us <= loss->lost_us + CWT_DOWN_US && !others_failed_too (cwt, loss);
}

bool
cwt_take (cwt_t *cwt, uint64_t now_us, cwt_loss_t *out)
{
  for (uint32_t i = 0; i < CWT_LOSSES; i++)
    {
      cwt_loss_t *loss = &cwt->losses[i];

      if (!is_suspected (cwt, now_us, loss))
        continue;
      *out = *loss;
      loss->fingerprint = 0;
      loss->engine_hash = 0;
      return true;
    }
  return false;
}
