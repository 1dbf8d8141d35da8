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

#define CLOCK_US_PER_MS 1000
#define CLOCK_US_PER_S (1000 * 1000)

/**
 * struct clock_source - a running or paused clock
 * @paused: when set, the time stays at @now_us until clock_advance()
 * @now_us: the time of a paused clock, in microseconds; unused while the clock runs
 */
typedef struct
{
  bool paused;
  uint64_t now_us;
} clock_source_t;

/**
 * clock_init_running() - initialize a clock that follows CLOCK_BOOTTIME
 *
 * CLOCK_MONOTONIC does not advance while a host is suspended. With it, a daemon would treat stale
 * state as current after a resume, and its deadlines as not yet passed. CLOCK_BOOTTIME includes the
 * suspended time.
 */
void clock_init_running (clock_source_t *clock);
/** clock_init_paused() - initialize a clock that stays at @now_us until clock_advance() */
void clock_init_paused (clock_source_t *clock, uint64_t now_us);
/** clock_advance() - advance a paused clock by @delta_us; a running clock aborts the process */
void clock_advance (clock_source_t *clock, uint64_t delta_us);
/** clock_now_us() - monotonic time in microseconds since an arbitrary start */
uint64_t clock_now_us (const clock_source_t *clock);
/**
 * clock_wall_ms() - wall-clock time in milliseconds since 1970
 *
 * Hosts' wall clocks differ and may be set back, so this time is for records and logs only. A
 * paused clock returns its own time.
 */
uint64_t clock_wall_ms (const clock_source_t *clock);

#endif
