#include "base/clock.h"

#include <glib.h>
#include <time.h>

static uint64_t
read_clock_us (clockid_t id)
{
  struct timespec now;
  int result = clock_gettime (id, &now);

  g_assert (result == 0);
  return (uint64_t)now.tv_sec * CLK_US_PER_S + (uint64_t)now.tv_nsec / 1000;
}

void
clk_init_running (clk_t *clk)
{
  clk->paused = false;
  clk->now_us = 0;
}

void
clk_init_paused (clk_t *clk, uint64_t now_us)
{
  clk->paused = true;
  clk->now_us = now_us;
}

void
clk_advance (clk_t *clk, uint64_t delta_us)
{
  g_assert (clk->paused);
  clk->now_us += delta_us;
}

uint64_t
clk_now_us (const clk_t *clk)
{
  if (clk->paused)
    return clk->now_us;
  return read_clock_us (CLOCK_BOOTTIME);
}

uint64_t
clk_wall_ms (const clk_t *clk)
{
  if (clk->paused)
    return clk->now_us / CLK_US_PER_MS;
  return read_clock_us (CLOCK_REALTIME) / CLK_US_PER_MS;
}
