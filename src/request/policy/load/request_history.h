/**
 * DOC: request_history
 *
 * How many requests a gateway had at an engine at some time in the last seconds. A load that a peer
 * passes on was reported some time ago: of this gateway's requests it contains those of then and
 * not those of now. A state machine without I/O.
 */
#ifndef REQUEST_POLICY_LOAD_REQUEST_HISTORY_H
#define REQUEST_POLICY_LOAD_REQUEST_HISTORY_H

#include <stdint.h>

/* Changes that are remembered; before the oldest one the number counts as constant. A gateway's
 * requests at one engine change a few times a second. */
#define REQUEST_HISTORY_MAX 32
/* Time of a change that is not known: later than all that is known so far */
#define REQUEST_HISTORY_UNKNOWN_US UINT64_MAX

/** struct request_history - initialized with zeros; @before: number before the change at @at_us, in
 * a ring; @count: changes so far */
typedef struct
{
  uint64_t at_us[REQUEST_HISTORY_MAX];
  uint32_t before[REQUEST_HISTORY_MAX];
  uint64_t count;
} request_history_t;

/** request_history_add() - the number is about to change; it is @before until @at_us */
void request_history_add (request_history_t *history, uint64_t at_us, uint32_t before);
/** request_history_at() - the number at @at_us, where it is @now_count now */
uint32_t request_history_at (const request_history_t *history, uint64_t at_us, uint32_t now_count);

#endif
