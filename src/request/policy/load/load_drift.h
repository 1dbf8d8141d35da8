/**
 * DOC: load_drift
 *
 * Average change of a service's mean load between estimates. Load samples are some tenths of a
 * second old, so the mean has changed since they were taken. When all engines are sampled, this
 * change is the whole error of the estimate, and the sampling error alone, which is then 0, would
 * understate it.
 */
#ifndef REQUEST_POLICY_LOAD_LOAD_DRIFT_H
#define REQUEST_POLICY_LOAD_LOAD_DRIFT_H

#include <stdbool.h>
#include <stdint.h>

#define LOAD_DRIFT_STEP_US (500 * 1000) /* about the age of a sample */

/**
 * struct load_drift - change of one service's mean load; initialized with zeros
 * @noted_us: time of the last estimate that was used; 0 for none
 * @mean_milli: that estimate, in thousandths of a request
 * @drift_milli: smoothed absolute change over %LOAD_DRIFT_STEP_US, in thousandths of a request
 */
typedef struct
{
  uint64_t noted_us;
  uint64_t mean_milli;
  uint64_t drift_milli;
} load_drift_t;

/** load_drift_add() - adds an estimate of the mean; ignored within %LOAD_DRIFT_STEP_US of the last
 * one */
void load_drift_add (load_drift_t *drift, uint64_t now_us, uint64_t mean_milli);
/** load_drift_margin_milli() - by how much the mean may be below the estimate, in thousandths of a
 * request */
uint64_t load_drift_margin_milli (const load_drift_t *drift);

#endif
