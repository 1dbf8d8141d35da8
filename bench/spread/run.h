/**
 * DOC: run
 *
 * Runs a measurement on a simulated fleet and prints its results: lines with the number of daemons,
 * the datagram loss in percent, what was measured, the unit and the value, separated by tabs.
 */
#ifndef BENCH_SPREAD_RUN_H
#define BENCH_SPREAD_RUN_H

#include "fleet.h"

#define RUN_WINDOW_US (10 * (uint64_t)CLOCK_US_PER_S) /* length of one measurement */

/**
 * struct run - a measurement
 * @options: of the fleet
 * @only: name of the only part of the benchmark to run, or NULL for all
 * @flt: the fleet, or NULL between run_end() and run_begin()
 */
typedef struct
{
  fleet_options_t options;
  const char *only;
  flt_t *flt;
} run_t;

/** run_begin() - starts a fleet and lets it run for the warm-up time; see @watched of fleet_options
 */
void run_begin (run_t *run, uint32_t watched);
/** run_end() - frees the fleet */
void run_end (run_t *run);
/** run_print() - prints one line: @what was measured, its @unit and @value */
void run_print (const run_t *run, const char *what, const char *unit, double value);
/** run_print_delays() - prints how long after @start_us the daemons received the information that
 * fleet_wait_for() names: only running daemons for which @counts holds, or all when it is NULL */
void run_print_delays (const run_t *run,
                       const char *what,
                       uint64_t start_us,
                       bool (*counts) (const fleet_node_t *node, void *context),
                       void *context);
/** run_print_traffic() - prints the average traffic of the last @span_us; @before: the totals at
 * the start of that time */
void run_print_traffic (const run_t *run,
                        const char *what,
                        const fleet_counts_t *before,
                        uint64_t span_us);
/** run_is_router() - whether @node is a router; @context is not used */
bool run_is_router (const fleet_node_t *node, void *context);
/** run_is_sidecar() - whether @node is a sidecar; @context is not used */
bool run_is_sidecar (const fleet_node_t *node, void *context);

/* means.c */
/** run_mean_errors() - measures, once a second for %RUN_WINDOW_US, how far the mean loads that
 * daemons estimate are from the true mean loads */
void run_mean_errors (run_t *run, const char *what);

/* costs.c */
/** run_restart_cost() - measures the cost for one daemon, which has all hosts in its member table,
 * when every host of a data centre restarts within two seconds */
void run_restart_cost (run_t *run);
/** run_data() - measures the processor time that the data task of a router and of a sidecar needs
 * for a snapshot of the members */
void run_data (run_t *run);

#endif
