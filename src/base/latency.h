/**
 * DOC: latency
 *
 * Histograms of times in the Prometheus form: cumulative buckets with fixed bounds, sum and count.
 */
#ifndef BASE_LATENCY_H
#define BASE_LATENCY_H

#include "base/counters.h"

#define LAT_BUCKETS 13 /* the last one has no bound */

typedef struct lat lat_t;

/**
 * lat_new() - a histogram
 * @base: name without suffix, with its unit: "medlarplank_answer_ms"
 * @labels: 'name="value"' pairs with commas between, or ""; values must be sound as they are
 */
lat_t *lat_new (cnt_set_t *set, const char *base, const char *labels, const char *help);
void lat_free (lat_t *lat);
void lat_add (lat_t *lat, uint64_t took_us);

#endif
