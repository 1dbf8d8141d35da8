/**
 * DOC: load_fleet
 *
 * Simulates, in virtual time, many gateways that send the requests of chats to model engines, each
 * with its own knowledge of their loads, and counts the requests that reach an overloaded engine.
 * The decisions, and what gateways tell each other, are the product's.
 */
#ifndef TESTS_LOAD_FLEET_H
#define TESTS_LOAD_FLEET_H

#include <stdbool.h>
#include <stdint.h>

#define LOAD_FLEET_WINDOW_MS 5000

/**
 * struct load_fleet_options - Options of load_fleet_play().
 * @per_s: Requests that arrive in a second, at the mean of the wave.
 * @seconds: Length of the play.
 * @wave_milli: The rate rises and falls by this much, in thousandths, once in 11 s.
 * @hot_milli: Requests of one chat, in thousandths, from @hot_from_ms to @hot_to_ms.
 * @burst_milli: Requests that arrive in that time, in thousandths of the usual; 0 is the usual.
 * @chats: Of all requests; 0 is 448.
 * @exchange_ms: Between two messages that a gateway begins.
 * @lost_milli: Messages between gateways that are lost, in thousandths.
 * @slow_milli: Time that a quarter of the engines takes, in thousandths of the usual; 0 is the
 *   usual.
 * @uneven: The first gateways get three times the requests of the last ones.
 */
typedef struct
{
  uint32_t gateways;
  uint32_t engines;
  uint32_t per_s;
  uint32_t seconds;
  uint32_t wave_milli;
  uint32_t hot_milli;
  uint32_t hot_from_ms;
  uint32_t hot_to_ms;
  uint32_t burst_milli;
  uint32_t chats;
  uint32_t exchange_ms;
  uint32_t lost_milli;
  uint32_t slow_milli;
  bool uneven;
  uint32_t seed;
} load_fleet_options_t;

/**
 * struct load_fleet_result - Result of a play.
 * @sent: Requests in the worst five seconds.
 * @over: Those of them that reached an overloaded engine.
 * @all_sent: Requests of the whole play.
 * @all_over: Likewise, overloaded.
 * @at_home: Requests of parts that are not hot that went to the first engine in rank, in
 *   thousandths.
 * @read: Requests that met an engine without their part, in thousandths.
 * @hot_engines: Engines that ran requests of the hot chat.
 * @load_missed: Load that was believed too low at overloaded engines, mean, in thousandths.
 * @mean_missed: Mean that was believed too high at these choices, mean, in thousandths.
 * @bytes_per_s: Sent by a gateway to others, headers included.
 * @worst_ms: When these five seconds began.
 */
typedef struct
{
  uint32_t sent;
  uint32_t over;
  uint32_t all_sent;
  uint32_t all_over;
  uint32_t at_home;
  uint32_t read;
  uint32_t hot_engines;
  int32_t load_missed;
  int32_t mean_missed;
  uint32_t bytes_per_s;
  uint32_t worst_ms;
} load_fleet_result_t;

/** load_fleet_play() - Play from start to end. Return: What happened; the same for the same
 * options. */
load_fleet_result_t load_fleet_play (const load_fleet_options_t *options);

#endif
