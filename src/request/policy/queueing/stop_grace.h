/**
 * DOC: stop_grace
 *
 * What a process that is being stopped may still do before it is killed: for how long it takes new
 * requests, which requests may still be sent to an engine, and when those in progress are ended. A
 * request that would outlast the process is refused while it has certainly not run; once it is
 * sent, its client could only be told that it may have run. Pure functions.
 */
#ifndef REQUEST_POLICY_QUEUEING_STOP_GRACE_H
#define REQUEST_POLICY_QUEUEING_STOP_GRACE_H

#include "base/clock.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * How long new requests are taken after a stop signal: the load balancer checks readiness once a
 * second and removes the process after two failed checks. A request that arrives later than 3 s may
 * not be finished when the process is killed.
 */
#define STOP_GRACE_ACCEPT_US (UINT64_C (2500) * CLOCK_US_PER_MS)
/* What is in progress is ended this long before the process would be killed, so that its callers
 * get an answer: they could not tell a closed connection from a request that is lost. */
#define STOP_GRACE_END_MARGIN_US (UINT64_C (600) * CLOCK_US_PER_MS)
/* the process exits this long before it would be killed */
#define STOP_GRACE_EXIT_MARGIN_US (UINT64_C (250) * CLOCK_US_PER_MS)

/**
 * struct stop_grace - the times of a stop; zeroed while there is none
 * @accept_until_us: until then new requests are taken
 * @end_us: when all that is in progress is ended
 * @exit_us: when the process exits even if answers are still being written
 */
typedef struct
{
  uint64_t accept_until_us;
  uint64_t end_us;
  uint64_t exit_us;
} stop_grace_t;

/** stop_grace_begin() - the times of a stop that begins now; the process is killed after @grace_us
 */
stop_grace_t stop_grace_begin (uint64_t now_us, uint64_t grace_us);
/** stop_grace_is_stopping() - whether a stop has begun */
bool stop_grace_is_stopping (const stop_grace_t *stop_grace);
/**
 * stop_grace_may_begin() - whether a request may be sent to an engine now
 *
 * @usual_us: for how long such a request usually runs
 * @deadline_us: when it ends in any case
 */
bool stop_grace_may_begin (const stop_grace_t *stop_grace,
                           uint64_t now_us,
                           uint64_t usual_us,
                           uint64_t deadline_us);

#endif
