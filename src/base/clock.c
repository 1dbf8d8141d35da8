#include "base/clock.h"

#include <glib.h>
#include <time.h>

static uint64_t
read_clock_us (clockid_t id)
{
  struct timespec now;
  int result = clock_gettime (id, &now);

  g_assert (result == 0);
  return (uint64_t)now.tv_sec * CLOCK_US_PER_S + (uint64_t)now.tv_nsec / 1000;
}

void
clock_init_running (clock_source_t *clock)
{
  clock->paused = false;
  clock->now_us = 0;
}

void
clock_init_paused (clock_source_t *clock, uint64_t now_us)
{
  clock->paused = true;
  clock->now_us = now_us;
}

void
clock_advance (clock_source_t *clock, uint64_t delta_us)
{
  g_assert (clock->paused);
  clock->now_us += delta_us;
}

uint64_t
clock_now_us (const clock_source_t *clock)
{
  if (clock->paused)
    return clock->now_us;
  return read_clock_us (CLOCK_BOOTTIME);
}

uint64_t
clock_wall_ms (const clock_source_t *clock)
{
  if (clock->paused)
    return clock->now_us / CLOCK_US_PER_MS;
  return read_clock_us (CLOCK_REALTIME) / CLOCK_US_PER_MS;
}
