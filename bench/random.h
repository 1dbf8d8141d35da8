/**
 * DOC: random
 *
 * Seeded pseudo-random numbers. Each stream has its own state, so that a run can be repeated and
 * two policies are compared under the same requests.
 */
#ifndef BENCH_RANDOM_H
#define BENCH_RANDOM_H

#include <stdint.h>

/** random_next() - the next 64 random bits; the first value of @state is the seed */
uint64_t random_next (uint64_t *state);
/** random_unit() - uniform in (0, 1) */
double random_unit (uint64_t *state);
/** random_below() - uniform in 0 .. @limit - 1 */
uint32_t random_below (uint64_t *state, uint32_t limit);
double random_exponential (uint64_t *state, double mean);
/** random_lognormal() - log-normal; @sigma is the standard deviation of the logarithm */
double random_lognormal (uint64_t *state, double median, double sigma);

#endif
