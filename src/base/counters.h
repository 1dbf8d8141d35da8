/**
 * DOC: counters
 *
 * Named 64-bit counters and gauges of one process, exported in the Prometheus text format. A name
 * is registered by its first lookup, which takes a lock. Updates are atomic and lock-free, so any
 * thread may make them.
 */
#ifndef BASE_COUNTERS_H
#define BASE_COUNTERS_H

#include <glib.h>
#include <stdint.h>

typedef struct counter_registry counter_registry_t;
typedef struct counter counter_t;

counter_registry_t *counter_registry_new (void);
/** counter_registry_free() - free the registry with all its counters; NULL is allowed */
void counter_registry_free (counter_registry_t *registry);

/**
 * counter_get() - look up a counter or gauge by name, and register it if it is new
 * @registry: the registry
 * @name: Prometheus name, e.g. "medlarplank_requests_total"; may include labels, e.g.
 *   "x_total{reason=\"cold\"}"
 * @help: one line of description; only the first call for a name without its labels sets it
 *
 * Characters that Prometheus doesn't allow in a name are replaced by '_'. Labels that are not well
 * formed are treated as part of the name. Once %LIMIT_COUNTERS are registered, every new name
 * returns the shared counter medlarplank_counters_refused_total, so that labels taken from requests
 * can't exhaust the memory.
 *
 * Return: a pointer that is valid as long as @registry. A name whose part before the labels ends in
 * _total, _bucket, _sum_us or _count is exported as a counter, any other name as a gauge.
 */
counter_t *counter_get (counter_registry_t *registry, const char *name, const char *help);
/** counter_get_labelled() - as counter_get(), for the name @base with one label; @value may be any
 * text and is escaped */
counter_t *counter_get_labelled (counter_registry_t *registry,
                                 const char *base,
                                 const char *label,
                                 const char *value,
                                 const char *help);
/** counter_add() - add @delta; safe from any thread */
void counter_add (counter_t *counter, uint64_t delta);
/** counter_set() - replace the value of a gauge; safe from any thread */
void counter_set (counter_t *counter, uint64_t value);
/** counter_value() - the current value; safe from any thread */
uint64_t counter_value (const counter_t *counter);

/** counter_registry_write() - append all counters and gauges to @out in the Prometheus text format,
 * sorted by name and then by labels */
void counter_registry_write (counter_registry_t *registry, GString *out);

#endif
