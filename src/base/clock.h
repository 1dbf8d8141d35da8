/**
 * DOC: clock
 *
 * The time source of a process, which can be paused for tests. Only the event-driven code reads it;
 * decision code takes the time as an argument (@now_us), so that tests can set it.
 */
#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <stdbool.h>
#include <stdint.h>

#define CLK_US_PER_MS 1000
#define CLK_US_PER_S (1000 * 1000)

/**
 * struct clk_source - a running or paused clock
 * @paused: when set, the time stays at @now_us until clk_advance()
 * @now_us: the time of a paused clock, in microseconds; unused while the clock runs
 */
typedef struct
{
  bool paused;
  uint64_t now_us;
} clk_t;

/**
 * clk_init_running() - initialize a clock that follows CLOCK_BOOTTIME
 *
 * CLOCK_MONOTONIC does not advance while a host is suspended. With it, a daemon would treat stale
 * state as current after a resume, and its deadlines as not yet passed. CLOCK_BOOTTIME includes the
 * suspended time.
 */
void clk_init_running (clk_t *clk);
/** clk_init_paused() - initialize a clock that stays at @now_us until clk_advance() */
void clk_init_paused (clk_t *clk, uint64_t now_us);
/** clk_advance() - advance a paused clock by @delta_us; a running clock aborts the process */
void clk_advance (clk_t *clk, uint64_t delta_us);
/** clk_now_us() - monotonic time in microseconds since an arbitrary start */
uint64_t clk_now_us (const clk_t *clk);
/**
 * clk_wall_ms() - wall-clock time in milliseconds since 1970
 *
 * Hosts' wall clocks differ and may be set back, so this time is for records and logs only. A
 * paused clock returns its own time.
 */
uint64_t clk_wall_ms (const clk_t *clk);

#endif
