/**
 * DOC: pause
 *
 * Detects that a task (thread) did not run for a while: the process was stopped by SIGSTOP, its
 * virtual machine was suspended, or its host was overloaded. The clock advances meanwhile. The
 * task's state may be out of date afterwards: its host may have started to leave, or a newer
 * version may be in force.
 *
 * Each task has one pause_detector_t. It calls pause_check() first in every event handler, and on a
 * timer of %PAUSE_CHECK_INTERVAL_MS so that an idle task is not taken for a paused one. A task that
 * was paused is stale until it receives a MESSAGE_FRESHNESS whose check took place after the task
 * resumed. One from before the pause may still be in the mailbox, and does not count. The data task
 * reports its pause to the control task by MESSAGE_PAUSE_DETECTED, since the control task may not
 * have been paused itself.
 *
 * Requests that were in the task's sockets when it resumed may have arrived at any time during the
 * pause. Their callers may long since have been told that the request may have run, so that running
 * it now could run it twice. The task reads all of them within %PAUSE_SETTLE_US, and accepts no
 * request until then, even if it is no longer stale.
 */
#ifndef BASE_PAUSE_H
#define BASE_PAUSE_H

#include <stdbool.h>
#include <stdint.h>

#define PAUSE_CHECK_INTERVAL_MS 100 /* interval of the timer that calls pause_check() */
#define PAUSE_GAP_INTERVALS 3       /* exchange intervals without running that count as a pause */
#define PAUSE_GAP_MIN_US (1500 * 1000) /* a shorter time without running is never a pause */
#define PAUSE_SETTLE_US (250 * 1000)   /* time to read the requests that arrived during a pause */

/**
 * struct pause_detector - pause detection of one task
 * @last_us: time of the last pause_check()
 * @gap_us: a task that did not run for longer than this was paused
 * @woke_us: time at which the task last resumed; freshness checked before it does not count
 * @settled_us: time by which the task has read all requests that arrived during its own pause
 * @stale: the task's state may be out of date
 */
typedef struct
{
  uint64_t last_us;
  uint64_t gap_us;
  uint64_t woke_us;
  uint64_t settled_us;
  bool stale;
} pause_detector_t;

/** pause_init() - initialize as stale, since nothing was received yet */
void pause_init (pause_detector_t *pause, uint64_t now_us, uint32_t exchange_interval_ms);
/** pause_check() - call first in every event handler. Return: whether the task has just resumed
 * after a pause; it is stale then */
bool pause_check (pause_detector_t *pause, uint64_t now_us);
/** pause_mark_woken() - record that another task resumed after a pause at @woke_us. Return: false
 * if this or a later pause is known already */
bool pause_mark_woken (pause_detector_t *pause, uint64_t woke_us);
/** pause_mark_fresh() - record that all state was found up to date at @checked_us. Return: whether
 * the task is no longer stale; it remains stale if it resumed after @checked_us */
bool pause_mark_fresh (pause_detector_t *pause, uint64_t checked_us);
/** pause_is_stale() - whether the task's state may be out of date */
bool pause_is_stale (const pause_detector_t *pause);
/** pause_is_settling() - whether requests that are read now may have arrived during a pause */
bool pause_is_settling (const pause_detector_t *pause, uint64_t now_us);

#endif
