/**
 * DOC: cold_start_limit
 *
 * Rate limit of a gateway for an engine in its cold start. An engine that has just started sustains
 * few requests per second and crashes well above that, and gateways do not learn in time what the
 * others send. So each gateway may send one request per interval, beginning at an offset that
 * differs between gateways. A pure function.
 *
 * Alternatives: equal shares of each second leave each of 22 gateways one request of the 29 that an
 * engine sustains, and each of a hundred gateways none or too many; shares by traffic have to be
 * agreed on; answers show a crash too late. Intervals need neither messages nor a common clock, and
 * a gateway that was suspended may send one request when it resumes.
 */
#ifndef REQUEST_POLICY_ENGINES_COLD_START_LIMIT_H
#define REQUEST_POLICY_ENGINES_COLD_START_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Percentage of the rate that a cold engine sustains that all gateways together send on average.
 * With many gateways, sends coincide by chance. At half of 16 requests per second, the calculated
 * probability of a second with more than 29 is 1.4e-10 with 103 gateways and 1.6e-9 with 880.
 */
#define COLD_START_LIMIT_PERCENT 50

/**
 * struct cold_start_limit - one gateway at one engine
 * @per_s: requests per second that the engine sustains in its cold start; 0 when unknown, and then
 *   there is no limit
 * @gateways: number that may send there, with those not heard recently, as a gateway that is cut
 *   off from the others sends too; 0 when unknown, and then nothing may be sent
 * @gateway_hash: with @engine_hash determines the offset of the first interval
 * @engine_hash: of the engine's id and start time
 * @since_us: when the cold start was noticed
 * @sent_us: when this gateway last sent a request there; 0 for never
 */
typedef struct
{
  uint32_t per_s;
  uint32_t gateways;
  uint64_t gateway_hash;
  uint64_t engine_hash;
  uint64_t since_us;
  uint64_t sent_us;
} cold_start_limit_t;

/** cold_start_limit_interval_us() - minimum time between two requests of a gateway; 0 when @per_s
 * is unknown */
uint64_t cold_start_limit_interval_us (uint32_t per_s, uint32_t gateways);
/** cold_start_limit_allows() - whether the gateway may send a request to the engine now */
bool cold_start_limit_allows (const cold_start_limit_t *share, uint64_t now_us);

#endif
