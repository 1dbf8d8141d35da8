/**
 * DOC: watch_sums
 *
 * Statistics of a fleet that is polled: how evenly the load is distributed at each moment, and by
 * how much the counters grew. When a counter is smaller than before, its daemon was restarted, and
 * the new value counts as growth.
 */
#ifndef BENCH_WATCH_SUMS_H
#define BENCH_WATCH_SUMS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct wsm_daemon - one daemon
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
} wsm_daemon_t;

typedef struct wsm wsm_t;

wsm_t *wsm_new (void);
void wsm_free (wsm_t *stats);
/** wsm_add() - adds a daemon. Return: the daemon, owned by @stats */
wsm_daemon_t *wsm_add (wsm_t *stats, const char *group, const char *name);
/** wsm_bound() - sets the load bound of a service, in percent of its mean load; 125 if not set */
void wsm_bound (wsm_t *stats, const char *group, uint32_t percent);
/** wsm_metrics() - reads the counters in the text of the /metrics page of @daemon */
void wsm_metrics (wsm_daemon_t *daemon, const char *text);
/** wsm_round() - ends a round of polls: adds the reported loads, and resets @known */
void wsm_round (wsm_t *stats);
/** wsm_print() - prints lines NAME<TAB>VALUE; @seconds is the time watched */
void wsm_print (wsm_t *stats, double seconds);

#endif
