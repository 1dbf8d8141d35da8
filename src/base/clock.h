/**
 * DOC: clock
 *
 * The one clock of a process. Decisions never read it: they take @now_us as an argument.
 * Tests hold a paused clock and advance it.
 */
#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <stdbool.h>
#include <stdint.h>

#define CLK_US_PER_MS 1000
#define CLK_US_PER_S (1000 * 1000)

/**
 * struct clk - a clock
 * @paused: when set, time stands at @now_us until clk_advance()
 * @now_us: the time of a paused clock, in microseconds
 */
typedef struct
{
  bool paused;
  uint64_t now_us;
} clk_t;

/**
 * clk_init_running() - a clock that follows CLOCK_BOOTTIME
 *
 * CLOCK_MONOTONIC stands still while a host is suspended: a daemon that woke would take what it
 * knows for fresh and its deadlines for not yet passed. CLOCK_BOOTTIME counts that time.
 */
void clk_init_running (clk_t *clk);
/** clk_init_paused() - a clock that stands at @now_us */
void clk_init_paused (clk_t *clk, uint64_t now_us);
/** clk_advance() - move a paused clock by @delta_us */
void clk_advance (clk_t *clk, uint64_t delta_us);
/** clk_now_us() - microseconds since an arbitrary start, never going back */
uint64_t clk_now_us (const clk_t *clk);
/**
 * clk_wall_ms() - milliseconds since 1970; differs between hosts, so only for records and logs
 *
 * A paused clock gives its own time.
 */
uint64_t clk_wall_ms (const clk_t *clk);

#endif
