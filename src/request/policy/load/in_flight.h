/**
 * DOC: in_flight
 *
 * How many of a router's own requests each engine is serving: the only part of an engine's load
 * that the router knows without delay.
 */
#ifndef REQUEST_POLICY_LOAD_IN_FLIGHT_H
#define REQUEST_POLICY_LOAD_IN_FLIGHT_H

#include <stdint.h>

typedef struct in_flight_counts in_flight_counts_t;

in_flight_counts_t *in_flight_new (void);
void in_flight_free (in_flight_counts_t *in_flight_counts);
/** in_flight_begin() - a request is sent to the engine */
void in_flight_begin (in_flight_counts_t *in_flight_counts, uint64_t engine_hash);
/** in_flight_end() - a request that was sent to the engine has ended; one call for each
 * in_flight_begin() */
void in_flight_end (in_flight_counts_t *in_flight_counts, uint64_t engine_hash);
/** in_flight_count() - Return: number of requests at the engine */
uint32_t in_flight_count (const in_flight_counts_t *in_flight_counts, uint64_t engine_hash);

#endif
