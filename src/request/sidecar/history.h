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
#include "request/policy/retries/verdict.h"

#include <stdbool.h>
#include <stdint.h>

/* How long a revoked attempt id is refused. The attempt may still be in a socket buffer when it is
 * revoked; the event loop reads it within milliseconds, and after a pause of the process the
 * sidecar refuses every request that it finds there. */
#define HISTORY_REVOKED_TTL_US (60 * 1000 * 1000)
/* How much older an attempt may be than its router reports: the transit time of the revoke request,
 * and clock drift. */
#define HISTORY_AGE_MARGIN_US (2 * 1000 * 1000)

/**
 * enum history_state - what is known of an attempt
 * @HISTORY_UNKNOWN: neither ended nor revoked, as far as the tables reach
 * @HISTORY_REVOKED: revoked before it arrived; it must be refused
 * @HISTORY_ENDED: it ended here, with a recorded verdict
 */
typedef enum
{
  HISTORY_UNKNOWN,
  HISTORY_REVOKED,
  HISTORY_ENDED
} history_state_t;

typedef struct history history_t;

/** history_new() - @limit: the entries that each of the two tables can hold */
history_t *history_new (uint32_t limit);
void history_free (history_t *history);
/**
 * history_record() - records the outcome of an attempt
 *
 * A full table evicts the attempt that ended first. An attempt that is recorded already keeps its
 * first verdict.
 */
void
history_record (history_t *history, uint64_t now_us, const uint64_t attempt[2], verdict_t verdict);
/** history_find() - looks an attempt up; @verdict is set only for HISTORY_ENDED */
history_state_t history_find (const history_t *history,
                              uint64_t now_us,
                              const uint64_t attempt[2],
                              verdict_t *verdict);
/**
 * history_revoke() - revokes an attempt that is not in flight here
 * @age_us: time since the router sent the attempt
 *
 * Return: the recorded verdict of an attempt that ended. VERDICT_NOT_RUN when the attempt was not
 * passed to the engine and never will be. VERDICT_MAY_HAVE_RUN when an attempt of that age may have
 * been evicted, or the table of revoked attempts is full.
 */
verdict_t
history_revoke (history_t *history, uint64_t now_us, const uint64_t attempt[2], uint64_t age_us);

#endif
