/**
 * DOC: pace
 *
 * How fast an engine answers against the others of its service. A pure state machine.
 *
 * What is compared is the time of an event of a stream, or of a whole plain answer. The usual time
 * is the median of all engines' samples, which follows by small steps: a quarter of the engines
 * that are slower by six move it by less than a third, while they would double a mean and look
 * ordinary against it.
 */
#ifndef REQUEST_POLICY_PACE_H
#define REQUEST_POLICY_PACE_H

#include <stdint.h>

#define PAC_STEP 32 /* a sample moves the median by one part in so many */

/** struct pac - of one kind of answers of a service; zeroed to begin with */
typedef struct
{
  uint64_t usual_us;
} pac_t;

/** pac_sample() - Return: the sample against the usual, in thousandths, at most ten times */
uint32_t pac_sample (pac_t *pac, uint64_t sample_us);

#endif
