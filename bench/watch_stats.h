/**
 * DOC: watch_stats
 *
 * Statistics of a fleet that is polled: how evenly the load is distributed at each moment, and by
 * how much the counters grew. When a counter is smaller than before, its daemon was restarted, and
 * the new value counts as growth.
 */
#ifndef BENCH_WATCH_STATS_H
#define BENCH_WATCH_STATS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct watch_stats_daemon - one daemon
 * @group: its service, or "router"
 * @last_values: metric -> the value of a counter in the last poll
 * @growth: metric -> how much a counter has grown since the first poll
 * @has_baseline: whether its counters have been read before
 * @known: whether it reported @load and @bound_milli in this round
 * @load: requests that it runs
 * @bound_milli: its own load bound, in thousandths of a request
 * @load_sum, @load_count: sum and number of all reported loads
 */
typedef struct
{
  char *group;
  char *name;
  GHashTable *last_values;
  GHashTable *growth;
  bool has_baseline;
  bool known;
  uint32_t load;
  uint32_t bound_milli;
  uint64_t load_sum;
  uint64_t load_count;
} watch_stats_daemon_t;

typedef struct watch_stats watch_stats_t;

watch_stats_t *watch_stats_new (void);
void watch_stats_free (watch_stats_t *stats);
/** watch_stats_add_daemon() - adds a daemon. Return: the daemon, owned by @stats */
watch_stats_daemon_t *
watch_stats_add_daemon (watch_stats_t *stats, const char *group, const char *name);
/** watch_stats_set_bound() - sets the load bound of a service, in percent of its mean load; 125 if
 * not set */
void watch_stats_set_bound (watch_stats_t *stats, const char *group, uint32_t percent);
/** watch_stats_read_metrics() - reads the counters in the text of the /metrics page of @daemon */
void watch_stats_read_metrics (watch_stats_daemon_t *daemon, const char *text);
/** watch_stats_end_round() - ends a round of polls: adds the reported loads, and resets @known */
void watch_stats_end_round (watch_stats_t *stats);
/** watch_stats_print() - prints lines NAME<TAB>VALUE; @seconds is the time watched */
void watch_stats_print (watch_stats_t *stats, double seconds);

#endif
