/**
 * DOC: counters
 *
 * Named 64-bit counters and gauges of one process, written out in the Prometheus text form.
 * Names are registered once; adding is atomic and lock-free, so any task may count.
 */
#ifndef BASE_COUNTERS_H
#define BASE_COUNTERS_H

#include <glib.h>
#include <stdint.h>

typedef struct cnt_set cnt_set_t;
typedef struct cnt cnt_t;

cnt_set_t *cnt_set_new (void);
void cnt_set_free (cnt_set_t *set);

/**
 * cnt_get() - the counter of that name, made when new
 * @set: the set
 * @name: Prometheus name, e.g. "medlarplank_requests_total"; may carry labels, e.g.
 * "x_total{reason=\"cold\"}"
 * @help: one line, kept from the first call of the base name
 *
 * Return: a pointer valid as long as @set. A name that ends in _total (before labels) is a
 * counter, every other a gauge.
 * What may not stand in a name becomes '_'; labels that are not well formed are taken as part of
 * the name. After %LIM_COUNTERS a new name gets a shared counter that tells of it.
 */
cnt_t *cnt_get (cnt_set_t *set, const char *name, const char *help);
/** cnt_get_labelled() - the counter of @base with one label, whose @value may be any text */
cnt_t *cnt_get_labelled (
    cnt_set_t *set, const char *base, const char *label, const char *value, const char *help);
void cnt_add (cnt_t *cnt, uint64_t delta);
void cnt_set_value (cnt_t *cnt, uint64_t value);
uint64_t cnt_value (const cnt_t *cnt);

/** cnt_write() - append the whole set to @out in the Prometheus text form, sorted by name */
void cnt_write (cnt_set_t *set, GString *out);

#endif
