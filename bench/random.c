#include "random.h"

#include <math.h>

/* splitmix64, which has no weak seeds. */
uint64_t
random_next (uint64_t *state)
{
  uint64_t x = *state += UINT64_C (0x9e3779b97f4a7c15);
  x = (x ^ (x >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  x = (x ^ (x >> 27)) * UINT64_C (0x94d049bb133111eb);
  return x ^ (x >> 31);
}

double
random_unit (uint64_t *state)
{
  return ((double)(random_next (state) >> 11) + 0.5) / 9007199254740992.0;
}

uint32_t
random_below (uint64_t *state, uint32_t limit)
{
  return (uint32_t)(random_next (state) % limit);
}

double
random_exponential (uint64_t *state, double mean)
{
  return -mean * log (random_unit (state));
}

double
random_lognormal (uint64_t *state, double median, double sigma)
{
  const double radius = sqrt (-2.0 * log (random_unit (state)));
  const double normal = radius * cos (2.0 * M_PI * random_unit (state));
  return median * exp (sigma * normal);
}
