/**
 * DOC: priority_fairness
 *
 * Fairness between priorities in an overload: counts for each priority the share of requests that
 * start in time, and decides on the order where the shares are uneven. A state machine without I/O,
 * one for each service of a gateway.
 *
 * Strict priorities make the shares very uneven. Short requests of low priority wait behind long
 * ones of high priority, and nearly all are refused although they would take only a tenth of the
 * slots; and a low priority whose callers wait a little longer is served more often than a high
 * one. So the shares are kept within %PRIORITY_FAIRNESS_DIFFERENCE_MILLI of each other from one
 * priority to the next, with the higher priority ahead: a priority with a larger share than a
 * higher one yields to it, and one that is further behind goes first for a while.
 */
#ifndef REQUEST_POLICY_QUEUEING_PRIORITY_FAIRNESS_H
#define REQUEST_POLICY_QUEUEING_PRIORITY_FAIRNESS_H

#include <stdbool.h>
#include <stdint.h>

#define PRIORITY_FAIRNESS_LEVELS 4 /* priorities 0 (highest) to 3; a higher number counts as 3 */
/* Half-life of the counts: an overload of a few seconds must be handled while it lasts, and a
 * gateway with 40 requests a second must still have counted some of each priority. */
#define PRIORITY_FAIRNESS_HALF_LIFE_US (UINT64_C (1000) * 1000)
/* Allowed difference between the shares of a priority and the next higher one, in thousandths:
 * operators who rank requests expect a difference, callers none that looks like a failure. */
#define PRIORITY_FAIRNESS_DIFFERENCE_MILLI 50
/* A priority with a share below this, in thousandths, yields to none: a higher priority that gets
 * nothing for another reason must not hold back all others. */
#define PRIORITY_FAIRNESS_YIELD_MIN_MILLI 150
/* Minimum count of requests for a share to be used, in thousandths of a request. */
#define PRIORITY_FAIRNESS_COUNT_MIN_MILLI 4000

typedef enum
{
  PRIORITY_FAIRNESS_IN_ORDER, /* in the order of priorities */
  PRIORITY_FAIRNESS_FIRST,    /* before all others */
  PRIORITY_FAIRNESS_YIELD,    /* refused in favour of higher priorities */
} priority_fairness_decision_t;

/**
 * struct priority_fairness - counts of each priority, decaying by half per
 * %PRIORITY_FAIRNESS_HALF_LIFE_US; initialized with zeros
 * @asked_milli: requests, in thousandths
 * @started_milli: those of them that started in time, in thousandths
 * @counted_us: up to when the counts have decayed
 */
typedef struct
{
  uint64_t asked_milli[PRIORITY_FAIRNESS_LEVELS];
  uint64_t started_milli[PRIORITY_FAIRNESS_LEVELS];
  uint64_t counted_us;
} priority_fairness_t;

/** priority_fairness_record() - counts a request of @priority that @started in time or did not */
void priority_fairness_record (priority_fairness_t *fairness,
                               uint64_t now_us,
                               uint32_t priority,
                               bool started);
/** priority_fairness_decide() - how to order a request of @priority that arrives while others wait
 */
priority_fairness_decision_t priority_fairness_decide (const priority_fairness_t *fairness,
                                                       uint32_t priority);
/** priority_fairness_count_milli() - decayed count of all requests, in thousandths */
uint64_t priority_fairness_count_milli (const priority_fairness_t *fairness);
/** priority_fairness_started_milli() - share of all counted requests that started in time, in
 * thousandths; 1000 when too few were counted */
uint32_t priority_fairness_started_milli (const priority_fairness_t *fairness);

#endif
