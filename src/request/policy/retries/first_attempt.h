/**
 * DOC: first_attempt
 *
 * Age of a request whose caller sends it again with a new id after a refusal, estimated from the
 * time that the caller still has. A state machine without I/O, one for each route.
 *
 * The first attempt states all the time that the caller has, a later attempt the remaining time.
 * Callers of one route have about the same time, so a request that states much less than the
 * others is a later attempt.
 */
#ifndef REQUEST_POLICY_RETRIES_FIRST_ATTEMPT_H
#define REQUEST_POLICY_RETRIES_FIRST_ATTEMPT_H

#include <stdint.h>

/* Time after which the longest time stated is replaced by a shorter one: callers of a new release
 * may have less time. */
#define FIRST_ATTEMPT_FORGET_US (UINT64_C (10000) * 1000)
/* A request that states less than this share of the longest time, in thousandths, is a later
 * attempt. First attempts state 850 or more; one after a third of the caller's time, the longest
 * that callers are told to wait, states less than 700. */
#define FIRST_ATTEMPT_SHARE_MILLI 750

/**
 * struct first_attempt - times stated on one route; initialized with zeros
 * @longest_ms: longest time stated recently
 * @seen_us: when it was stated
 */
typedef struct
{
  uint32_t longest_ms;
  uint64_t seen_us;
} first_attempt_t;

/** first_attempt_age_us() - processes a request whose caller waits for @left_ms more; 0 when not
 * stated. Return: time since its first attempt, 0 when this is the first or that is unknown */
uint64_t first_attempt_age_us (first_attempt_t *route, uint64_t now_us, uint32_t left_ms);

#endif
