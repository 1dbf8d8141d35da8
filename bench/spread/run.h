/**
 * DOC: run
 *
 * One fleet that the bench runs, and how its lines are printed.
 */
#ifndef BENCH_SPREAD_RUN_H
#define BENCH_SPREAD_RUN_H

#include "fleet.h"

#define RUN_WINDOW_US (10 * (uint64_t)CLK_US_PER_S)

/** struct run - one fleet, and how its lines begin */
typedef struct
{
  flt_options_t options;
  const char *only;
  flt_t *flt;
} run_t;

/** run_begin() - a fleet in which each daemon keeps the words of @watched sidecars */
void run_begin (run_t *run, uint32_t watched);
void run_end (run_t *run);
void run_print (const run_t *run, const char *what, const char *unit, double value);
/** run_print_heard() - when those that @counts heard, from @start_us on; NULL for all */
void run_print_heard (const run_t *run,
                      const char *what,
                      uint64_t start_us,
                      bool (*counts) (const flt_node_t *node, void *context),
                      void *context);
/** run_print_traffic() - of all daemons in the last @span_us, since @before */
void run_print_traffic (const run_t *run,
                        const char *what,
                        const flt_counts_t *before,
                        uint64_t span_us);
bool run_is_router (const flt_node_t *node, void *context);
bool run_is_sidecar (const flt_node_t *node, void *context);

/* means.c */
/** run_means() - how good the estimates of mean loads are over %RUN_WINDOW_US */
void run_means (run_t *run, const char *what);

/* costs.c */
/** run_restarts() - one daemon with a whole table hears from each host of a data centre that it has
 * restarted, within two seconds */
void run_restarts (run_t *run);
/** run_data() - what one snapshot of the members costs a data task */
void run_data (run_t *run);

#endif
