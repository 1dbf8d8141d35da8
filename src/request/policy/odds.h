/**
 * DOC: odds
 *
 * The odds that a request of each priority has in an overload to start in time, and what to do
 * where they are uneven. A pure state machine, one for each service of a gateway.
 *
 * Priorities alone make odds very uneven. Short requests that are less urgent wait behind long ones
 * that are more urgent, and nearly all of them are refused, though together they would take a tenth
 * of the slots; and a less urgent kind whose callers wait a little longer is served more often than
 * a more urgent one. So levels keep within %ODD_EDGE_MILLI of each other, the more urgent ahead:
 * one that is ahead of a more urgent one gives way, one that is further behind goes first for a
 * while.
 */
#ifndef REQUEST_POLICY_ODDS_H
#define REQUEST_POLICY_ODDS_H

#include <stdbool.h>
#include <stdint.h>

#define ODD_LEVELS 4 /* priorities 0..3; a higher number counts as the last */
/* What was counted halves in this time: an overload of a few seconds is to be answered in it, and a
 * gateway that gets 40 requests a second still has some of each level. */
#define ODD_HALF_US (UINT64_C (1000) * 1000)
/* How far a level may be behind the next more urgent one, in thousandths: operators that rank
 * requests expect a difference, callers none that looks like a failure. */
#define ODD_EDGE_MILLI 50
/* A level with less than this gives way to none. */
#define ODD_LEAST_MILLI 150
/* Fewer than so many, in thousandths, say nothing. */
#define ODD_ENOUGH_MILLI 4000

typedef enum
{
  ODD_IN_TURN,   /* by its priority */
  ODD_FIRST,     /* before all others */
  ODD_GIVES_WAY, /* it is refused in favour of more urgent ones */
} odd_turn_t;

/**
 * struct odd - zeroed to begin with
 * @asked_milli, @started_milli: requests of each level, in thousandths, what is older counting less
 * @counted_us: as of when
 */
typedef struct
{
  uint64_t asked_milli[ODD_LEVELS];
  uint64_t started_milli[ODD_LEVELS];
  uint64_t counted_us;
} odd_t;

/** odd_note() - a request of @priority started in time, or didn't */
void odd_note (odd_t *odd, uint64_t now_us, uint32_t priority, bool started);
/** odd_turn() - when one of @priority comes while others wait */
odd_turn_t odd_turn (const odd_t *odd, uint32_t priority);
/** odd_asked_milli() - requests counted, in thousandths, what is older counting less */
uint64_t odd_asked_milli (const odd_t *odd);
/** odd_share_milli() - of all requests counted that started in time; 1000 when there were few */
uint32_t odd_share_milli (const odd_t *odd);

#endif
