/**
 * DOC: median_latency
 *
 * Compares the latency of an engine with the median of all engines of its service. A pure state
 * machine.
 *
 * A sample is the time of one event of a stream, or of a complete plain response. The median of all
 * samples is approximated by small steps towards each sample. If a quarter of the engines become
 * six times slower, the median rises by less than a third, so that they remain visible as slow; a
 * mean would double.
 */
#ifndef REQUEST_POLICY_LOAD_MEDIAN_LATENCY_H
#define REQUEST_POLICY_LOAD_MEDIAN_LATENCY_H

#include <stdint.h>

#define MEDIAN_LATENCY_STEP_DIVISOR 32 /* each sample moves the median by 1/32 of its value */

/**
 * struct median_latency - median latency of one kind of responses of a service; initialized with
 * zeros
 * @median_us: the median, 0 before the first sample
 */
typedef struct
{
  uint64_t median_us;
} median_latency_t;

/**
 * median_latency_add() - adds a latency sample to the median
 *
 * Return: the sample divided by the median before it, in thousandths, at most 10,000
 */
uint32_t median_latency_add (median_latency_t *median_latency, uint64_t sample_us);

#endif
