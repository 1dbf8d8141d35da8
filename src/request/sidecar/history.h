/**
 * DOC: history
 *
 * The attempts that a sidecar has seen recently, so that it can answer a router that lost its
 * connection and asks for the outcome. Two bounded tables: the outcomes of attempts that ended, and
 * the ids of attempts that a router revoked before they arrived. A state machine without I/O: the
 * caller passes in the time.
 */
#ifndef REQUEST_SIDECAR_HISTORY_H
#define REQUEST_SIDECAR_HISTORY_H

#include "base/limits.h"
#include "request/policy/verdict.h"

#include <stdbool.h>
#include <stdint.h>

/* How long a revoked attempt id is refused. The attempt may still be in a socket buffer when it is
 * revoked; the event loop reads it within milliseconds, and after a pause of the process the
 * sidecar refuses every request that it finds there. */
#define HST_BAR_US (60 * 1000 * 1000)
/* How much older an attempt may be than its router reports: the transit time of the revoke request,
 * and clock drift. */
#define HST_AGE_MARGIN_US (2 * 1000 * 1000)

/**
 * enum hst_state - what is known of an attempt
 * @HST_UNKNOWN: neither ended nor revoked, as far as the tables reach
 * @HST_BARRED: revoked before it arrived; it must be refused
 * @HST_ENDED: it ended here, with a recorded verdict
 */
typedef enum
{
  HST_UNKNOWN,
  HST_BARRED,
  HST_ENDED
} hst_state_t;

typedef struct history hst_t;

/** hst_new() - @limit: the entries that each of the two tables can hold */
hst_t *hst_new (uint32_t limit);
void hst_free (hst_t *history);
/**
 * hst_ended() - records the outcome of an attempt
 *
 * A full table evicts the attempt that ended first. An attempt that is recorded already keeps its
 * first verdict.
 */
void hst_ended (hst_t *history, uint64_t now_us, const uint64_t attempt[2], verdict_t verdict);
/** hst_find() - looks an attempt up; @verdict is set only for HST_ENDED */
hst_state_t
hst_find (const hst_t *history, uint64_t now_us, const uint64_t attempt[2], verdict_t *verdict);
/**
 * hst_revoke() - revokes an attempt that is not in flight here
 * @age_us: time since the router sent the attempt
 *
 * Return: the recorded verdict of an attempt that ended. VERDICT_NOT_RUN when the attempt was not
 * passed to the engine and never will be. VERDICT_MAY_HAVE_RUN when an attempt of that age may have
 * been evicted, or the table of revoked attempts is full.
 */
verdict_t hst_revoke (hst_t *history, uint64_t now_us, const uint64_t attempt[2], uint64_t age_us);

#endif
