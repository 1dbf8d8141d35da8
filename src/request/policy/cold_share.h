/**
 * DOC: cold_share
 *
 * When a gateway may send a request to an engine that is cold. One that has just started bears few
 * requests a second and crashes well above that, and no gateway hears in time what the others send.
 * So each has turns of its own, an interval apart, from a moment that differs between gateways. A
 * pure function.
 *
 * Weighed: equal shares of each second give 22 gateways one request each of the 29 that an engine
 * bears, and a hundred of them nothing or too much; a share by traffic has to be agreed on; answers
 * tell of a crash when it is too late. Turns need no message and no common clock, and one that was
 * paused has one turn when it wakes.
 */
#ifndef REQUEST_POLICY_COLD_SHARE_H
#define REQUEST_POLICY_COLD_SHARE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Of what a cold engine bears in a second, what all gateways together send there on average. With
 * many gateways turns fall together by chance: at half of 16 a second, by calculation, a second has
 * over 29 with a chance of 1.4e-10 where there are 103 gateways, and of 1.6e-9 where there are 880.
 */
#define COLD_SHARE_PERCENT 50

/**
 * struct cold_share - of one gateway at one engine
 * @per_s: requests that the engine bears in a second while it is cold; 0 is unknown, and no limit
 * @gateways: that may send there, also those that were not heard lately: a gateway that is cut off
 *   sends as well. 0 is unknown: nothing may be sent
 * @gateway_hash, @engine_hash: the two together choose when the first turn is
 * @since_us: when it was seen to be cold
 * @sent_us: when this gateway sent a request there last; 0 for never
 */
typedef struct
{
  uint32_t per_s;
  uint32_t gateways;
  uint64_t gateway_hash;
  uint64_t engine_hash;
  uint64_t since_us;
  uint64_t sent_us;
} cold_share_t;

/** cold_share_interval_us() - between two turns of a gateway */
uint64_t cold_share_interval_us (uint32_t per_s, uint32_t gateways);
/** cold_share_has_turn() - whether the gateway may send a request there now */
bool cold_share_has_turn (const cold_share_t *share, uint64_t now_us);

#endif
