/**
 * DOC: watch_sums
 *
 * What a watched fleet did: how its load was spread from moment to moment, and how its counters
 * grew. A counter that a restarted daemon began anew is added on, not subtracted.
 */
#ifndef BENCH_WATCH_SUMS_H
#define BENCH_WATCH_SUMS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct wsm_daemon - one daemon
 * @group: its service, or "router"
 * @load, @bound_milli: as it said in this round; only when @known
 */
typedef struct
{
  char *group;
  char *name;
  GHashTable *last;  /* counter -> its last value */
  GHashTable *grown; /* counter -> how much it grew */
  bool started;      /* its counters were read before */
  bool known;
  uint32_t load;
  uint32_t bound_milli;
  uint64_t load_sum;
  uint64_t load_count;
} wsm_daemon_t;

typedef struct wsm wsm_t;

wsm_t *wsm_new (void);
void wsm_free (wsm_t *wsm);
/** wsm_add() - Return: the daemon, which @wsm keeps */
wsm_daemon_t *wsm_add (wsm_t *wsm, const char *group, const char *name);
/** wsm_bound() - @percent of the mean is the service's bound */
void wsm_bound (wsm_t *wsm, const char *group, uint32_t percent);
/** wsm_metrics() - the text of /metrics of @daemon */
void wsm_metrics (wsm_daemon_t *daemon, const char *text);
/** wsm_round() - all daemons that answer have been asked once; counts and forgets @known */
void wsm_round (wsm_t *wsm);
/** wsm_print() - lines of NAME<TAB>VALUE */
void wsm_print (wsm_t *wsm, double seconds);

#endif
