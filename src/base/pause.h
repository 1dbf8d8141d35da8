/**
 * DOC: pause
 *
 * Tells a task that it did not run for a while (SIGSTOP, a frozen virtual machine, a starved
 * host): CLOCK_MONOTONIC goes on meanwhile. What the task knew may be out of date then: its host
 * may be leaving, the version in force replaced.
 *
 * Each task keeps one pse_t and calls pse_check() first in every event, and on a timer of
 * %PSE_TICK_MS so that an idle task is not taken for a paused one. A task that woke is stale until
 * a MSG_FRESHNESS came that was checked after it woke: one sent before the pause may still lie in
 * the mailbox and must not count. The data task tells the control task by MSG_WOKE, which may not
 * have noticed.
 *
 * What lay in its sockets when it woke is as old as the pause and doesn't say so: a request that
 * came in before has an age that nobody knows, and its caller was told long ago that it may have
 * run. The task reads all of that within %PSE_SETTLE_US and takes no work until then, however fast
 * it hears that it is fresh.
 */
#ifndef BASE_PAUSE_H
#define BASE_PAUSE_H

#include <stdbool.h>
#include <stdint.h>

#define PSE_TICK_MS 100
#define PSE_INTERVALS 3
#define PSE_GAP_MIN_US (1500 * 1000)
#define PSE_SETTLE_US (250 * 1000)

/**
 * struct pse - of one task
 * @gap_us: a task that did not run for longer than this was paused
 * @woke_us: when it last woke; what was checked before that does not count
 * @settled_us: when it has read all that came in while it was paused itself
 */
typedef struct
{
  uint64_t last_us;
  uint64_t gap_us;
  uint64_t woke_us;
  uint64_t settled_us;
  bool stale;
} pse_t;

/** pse_init() - stale at first: nothing was heard yet */
void pse_init (pse_t *pse, uint64_t now_us, uint32_t exchange_interval_ms);
/** pse_check() - call first in every event. Return: whether the task has just woken */
bool pse_check (pse_t *pse, uint64_t now_us);
/** pse_wake() - another task noticed the pause at @woke_us. Return: whether that is news */
bool pse_wake (pse_t *pse, uint64_t woke_us);
/** pse_fresh() - all was heard again after @checked_us. Return: whether the task is fresh now */
bool pse_fresh (pse_t *pse, uint64_t checked_us);
bool pse_stale (const pse_t *pse);
/** pse_settling() - whether what lay in the sockets during a pause may still be read */
bool pse_settling (const pse_t *pse, uint64_t now_us);

#endif
