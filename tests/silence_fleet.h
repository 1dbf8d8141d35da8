/**
 * DOC: silence_fleet
 *
 * Simulates, in virtual time, many gateways with streams and lookups in hand at engines that are
 * silent for a while and go on, or never do. The decisions are the product's: when an attempt
 * counts as silent, whether it is left, at which engine the request goes on, and the retry budget.
 * Each gateway knows at most %SILENCE_FLEET_VIEW engines, and each engine serves several gateways.
 */
#ifndef TESTS_SILENCE_FLEET_H
#define TESTS_SILENCE_FLEET_H

#include <stdbool.h>
#include <stdint.h>

#define SILENCE_FLEET_VIEW 16
#define SILENCE_FLEET_ATTEMPTS_MAX 4

/**
 * enum silence_fleet_fault - which engines are silent
 * @SILENCE_FLEET_ONE: one in sixteen, one at least, for two seconds
 * @SILENCE_FLEET_SOME: every third one, for 0.6 to 2 s
 * @SILENCE_FLEET_ALL: all, for 0.6 to 2 s, at once
 * @SILENCE_FLEET_IN_TURN: each one in its turn, for 0.6 to 2 s, half a second after the one before
 * @SILENCE_FLEET_DEAD: as the first, for ever
 * @SILENCE_FLEET_FOLLOWS: as the first, and then each one that a request moves to, from that moment
 *   on, for 0.6 to 2 s; an engine speaks for half a second between two silences
 */
typedef enum
{
  SILENCE_FLEET_ONE,
  SILENCE_FLEET_SOME,
  SILENCE_FLEET_ALL,
  SILENCE_FLEET_IN_TURN,
  SILENCE_FLEET_DEAD,
  SILENCE_FLEET_FOLLOWS
} silence_fleet_fault_t;

/**
 * struct silence_fleet_options - options of silence_fleet_play()
 * @per_s: requests a second at each gateway, of which half are streams
 * @attempts: engines that may run a request, %SILENCE_FLEET_ATTEMPTS_MAX at most; 0 for two
 * @slack: retries of all gateways together in a window, beside a share of the requests
 * @leaves_at_once: for comparison: an attempt is left at the limit of silence, before it is known
 *   whether another one may follow
 */
typedef struct
{
  uint32_t gateways;
  uint32_t engines;
  uint32_t per_s;
  uint32_t attempts;
  uint32_t slack;
  silence_fleet_fault_t fault;
  bool leaves_at_once;
  uint32_t seed;
} silence_fleet_options_t;

/**
 * struct silence_fleet_result - result of a play
 * @lost: requests that ended without a whole answer after they had been sent
 * @lost_at_dead: those of @lost whose last attempt, by the route, is at an engine that is dead: no
 *   gateway could know of it, and another run is not allowed
 * @refused: requests that were never sent
 * @moved: times that a request left an engine
 * @moved_most: times that one request did, at most
 * @leave_ms: longest time from the last byte of an engine that is dead until a request left it
 * @over_budget: retries of all gateways beyond what the budget allows, in the worst ten seconds;
 *   below 0 it was kept
 */
typedef struct
{
  uint32_t requests;
  uint32_t lost;
  uint32_t lost_at_dead;
  uint32_t refused;
  uint32_t moved;
  uint32_t moved_most;
  uint32_t leave_ms;
  int64_t over_budget;
} silence_fleet_result_t;

/** silence_fleet_play() - plays from start to end. Return: what happened; the same for the same
 * options */
silence_fleet_result_t silence_fleet_play (const silence_fleet_options_t *options);

#endif
