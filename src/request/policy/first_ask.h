/**
 * DOC: first_ask
 *
 * How long ago a caller asked first, where it comes back after a refusal with a new id: told by the
 * time that it still has. A pure state machine, one for each route.
 *
 * The first try of a request states all the time that its caller has, a later one what is left.
 * Callers of one route have about as much time each, so one that states far less than others do has
 * asked before.
 */
#ifndef REQUEST_POLICY_FIRST_ASK_H
#define REQUEST_POLICY_FIRST_ASK_H

#include <stdint.h>

/* The longest time stated counts until none has been as long for so long: callers of a new release
 * may have less. */
#define FAS_FORGET_US (UINT64_C (10000) * 1000)
/* Of the longest time, in thousandths: first tries were seen to state 850 and more. One that comes
 * back after a third of its time, the most that callers wait when they are told to, states less
 * than 700. */
#define FAS_SPREAD_MILLI 750

/**
 * struct fas - zeroed to begin with
 * @longest_ms: time stated lately; @seen_us: when it was stated
 */
typedef struct
{
  uint32_t longest_ms;
  uint64_t seen_us;
} fas_t;

/** fas_age_us() - a request states that its caller waits for @left_ms (0: it doesn't say). Return:
 * how long ago it asked first, 0 when this is its first try or that is not known */
uint64_t fas_age_us (fas_t *fas, uint64_t now_us, uint32_t left_ms);

#endif
