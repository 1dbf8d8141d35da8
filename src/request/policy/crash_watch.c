#include "request/policy/crash_watch.h"

#include <string.h>

static uint64_t
time_between (uint64_t a_us, uint64_t b_us)
{
  return a_us > b_us ? a_us - b_us : b_us - a_us;
}

static const crash_watch_down_t *
find_down (const crash_watch_t *crash_watch, uint64_t engine_hash)
{
  for (uint32_t i = 0; i < CRASH_WATCH_DOWNS; i++)
    if (crash_watch->downs[i].engine_hash == engine_hash)
      return &crash_watch->downs[i];
  return NULL;
}

/* Two connections to an engine that break together also show a crash: a response lost in the
 * network breaks only one. */
static bool
broke_together (const crash_watch_t *crash_watch, const crash_watch_loss_t *loss)
{
  for (uint32_t i = 0; i < CRASH_WATCH_LOSSES; i++)
    {
      const crash_watch_loss_t *other = &crash_watch->losses[i];

      if (other != loss && other->engine_hash == loss->engine_hash &&
          time_between (other->lost_us, loss->lost_us) <= CRASH_WATCH_TOGETHER_US)
        return true;
    }
  return false;
}

void
crash_watch_note_loss (crash_watch_t *crash_watch,
                       uint64_t now_us,
                       uint64_t engine_hash,
                       uint64_t fingerprint)
{
  crash_watch_loss_t *loss = &crash_watch->losses[crash_watch->next_loss++ % CRASH_WATCH_LOSSES];

  *loss = (crash_watch_loss_t){ engine_hash, fingerprint, now_us };
  if (broke_together (crash_watch, loss))
    crash_watch_note_down (crash_watch, now_us, engine_hash);
}

void
crash_watch_note_down (crash_watch_t *crash_watch, uint64_t now_us, uint64_t engine_hash)
{
  if (find_down (crash_watch, engine_hash))
    return;
  crash_watch->downs[crash_watch->next_down++ % CRASH_WATCH_DOWNS] =
      (crash_watch_down_t){ engine_hash, now_us };
}

/* Return: when connections to the engine broke, or if none did, when it was found down */
static uint64_t
crash_time_us (const crash_watch_t *crash_watch, const crash_watch_down_t *down)
{
  for (uint32_t i = 0; i < CRASH_WATCH_LOSSES; i++)
    if (crash_watch->losses[i].engine_hash == down->engine_hash)
      return crash_watch->losses[i].lost_us;
  return down->down_us;
}

static bool
others_failed_too (const crash_watch_t *crash_watch, const crash_watch_loss_t *loss)
{
  for (uint32_t i = 0; i < CRASH_WATCH_DOWNS; i++)
    {
      const crash_watch_down_t *down = &crash_watch->downs[i];

      if (down->engine_hash != 0 && down->engine_hash != loss->engine_hash &&
          time_between (crash_time_us (crash_watch, down), loss->lost_us) <=
              CRASH_WATCH_COMMON_CAUSE_US)
        return true;
    }
  return false;
}

static bool
is_suspected (const crash_watch_t *crash_watch, uint64_t now_us, const crash_watch_loss_t *loss)
{
  const crash_watch_down_t *down;

  if (loss->engine_hash == 0 || now_us < loss->lost_us + CRASH_WATCH_COMMON_CAUSE_US)
    return false;
  down = find_down (crash_watch, loss->engine_hash);
  return down && down->down_us + CRASH_WATCH_TOGETHER_US >= loss->lost_us &&
         down->down_us <= loss->lost_us + CRASH_WATCH_DOWN_US &&
         !others_failed_too (crash_watch, loss);
}

bool
crash_watch_take (crash_watch_t *crash_watch, uint64_t now_us, crash_watch_loss_t *out)
{
  for (uint32_t i = 0; i < CRASH_WATCH_LOSSES; i++)
    {
      crash_watch_loss_t *loss = &crash_watch->losses[i];

      if (!is_suspected (crash_watch, now_us, loss))
        continue;
      *out = *loss;
      loss->fingerprint = 0;
      loss->engine_hash = 0;
      return true;
    }
  return false;
}
