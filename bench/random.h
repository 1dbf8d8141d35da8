/**
 * DOC: random
 *
 * Seeded draws, each stream with a state of its own, so that one run can be repeated and two
 * policies see the same callers.
 */
#ifndef BENCH_RANDOM_H
#define BENCH_RANDOM_H

#include <stdint.h>

uint64_t rnd_next (uint64_t *state);
/** rnd_unit() - in (0, 1) */
double rnd_unit (uint64_t *state);
/** rnd_below() - 0 .. @limit - 1 */
uint32_t rnd_below (uint64_t *state, uint32_t limit);
double rnd_exponential (uint64_t *state, double mean);
/** rnd_lognormal() - with a spread of @sigma in the logarithm */
double rnd_lognormal (uint64_t *state, double median, double sigma);

#endif
