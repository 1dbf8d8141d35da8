/**
 * DOC: latency
 *
 * Latency histograms in the Prometheus format: cumulative buckets with fixed upper bounds, the sum
 * of all times, and their count.
 */
#ifndef BASE_LATENCY_H
#define BASE_LATENCY_H

#include "base/counters.h"

#define LATENCY_BUCKETS 13 /* including the last one, which has no upper bound */

typedef struct latency latency_t;

/**
 * latency_new() - create a histogram and register its counters
 * @registry: the registry; it must outlive the histogram
 * @base: metric name with the unit of its bounds but without suffix, e.g. "medlarplank_answer_ms"
 * @labels: comma-separated 'name="value"' pairs, or ""; values must already be escaped
 * @help: one line of description
 */
latency_t *
latency_new (counter_registry_t *registry, const char *base, const char *labels, const char *help);
/** latency_free() - free the histogram; its counters stay in the registry */
void latency_free (latency_t *latency);
/** latency_add() - record one time; safe from any thread */
void latency_add (latency_t *latency, uint64_t took_us);

#endif
