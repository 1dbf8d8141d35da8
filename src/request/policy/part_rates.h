/**
 * DOC: part_rates
 *
 * How often this gateway sends requests with each prompt part of a service. A state machine without
 * I/O; the caller passes the time.
 *
 * The engine that caches a popular part gets requests for it from all gateways, and none of them
 * knows what the others send. Callers are spread over the gateways, so each can tell from its own
 * requests how popular a part is.
 *
 * Counts fade with time. The table is bounded: where too many parts share a set of it, the one with
 * the lowest count is forgotten.
 */
#ifndef REQUEST_POLICY_PART_RATES_H
#define REQUEST_POLICY_PART_RATES_H

#include <stdint.h>

/* In this time a count halves. */
#define PART_RATES_HALF_LIFE_US (UINT64_C (5500) * 1000)
/* Time that a gateway is assumed to have been sending before its first request, so that a single
 * request at the start does not look like a popular part. */
#define PART_RATES_START_US (UINT64_C (500) * 1000)

/** struct part_rates - the counts of one service */
typedef struct part_rates part_rates_t;

part_rates_t *part_rates_new (void);
void part_rates_free (part_rates_t *rates);
/** part_rates_add() - counts a request with @part, a hash */
void part_rates_add (part_rates_t *rates, uint64_t now_us, uint64_t part);
/** part_rates_per_s_milli() - requests per second with @part, in thousandths; 0 when it is not in
 * the table */
uint64_t part_rates_per_s_milli (const part_rates_t *rates, uint64_t now_us, uint64_t part);
/** part_rates_age_us() - time since the first request; 0 before it */
uint64_t part_rates_age_us (const part_rates_t *rates, uint64_t now_us);

#endif
