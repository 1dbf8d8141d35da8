/**
 * DOC: latency
 *
 * Latency histograms in the Prometheus format: cumulative buckets with fixed upper bounds, the sum
 * of all times, and their count.
 */
#ifndef BASE_LATENCY_H
#define BASE_LATENCY_H

#include "base/counters.h"

#define LAT_BUCKETS 13 /* including the last one, which has no upper bound */

typedef struct lat lat_t;

/**
 * lat_new() - create a histogram and register its counters
 * @registry: the registry; it must outlive the histogram
 * @base: metric name with the unit of its bounds but without suffix, e.g. "medlarplank_answer_ms"
 * @labels: comma-separated 'name="value"' pairs, or ""; values must already be escaped
 * @help: one line of description
 */
lat_t *lat_new (cnt_set_t *registry, const char *base, const char *labels, const char *help);
/** lat_free() - free the histogram; its counters stay in the registry */
void lat_free (lat_t *lat);
/** lat_add() - record one time; safe from any thread */
void lat_add (lat_t *lat, uint64_t took_us);

#endif
