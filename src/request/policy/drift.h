/**
 * DOC: drift
 *
 * How fast the mean load of a service moves, measured on its own estimates. Samples are some
 * tenths of a second old, so the true mean has drifted since; with all engines sampled this is the
 * whole error, and the sampling error alone would claim that there is none.
 */
#ifndef REQUEST_POLICY_DRIFT_H
#define REQUEST_POLICY_DRIFT_H

#include <stdbool.h>
#include <stdint.h>

#define DFT_STEP_US (500 * 1000) /* about the age of a sample */

/** struct dft - @drift_milli: mean size of the change over one step, in thousandths of a request */
typedef struct
{
  uint64_t noted_us;
  uint64_t mean_milli;
  uint64_t drift_milli;
} dft_t;

/** dft_note() - an estimate of the mean; more than one for each step is ignored */
void dft_note (dft_t *drift, uint64_t now_us, uint64_t mean_milli);
/** dft_margin_milli() - by how much the true mean may be lower than the estimate */
uint64_t dft_margin_milli (const dft_t *drift);

#endif
