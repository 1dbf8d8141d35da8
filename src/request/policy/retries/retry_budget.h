/**
 * DOC: retry_budget
 *
 * Limits the retries that this router sends to a service, as its share of a limit for all routers
 * together. In any time window the limit is a ratio of the requests for the service, plus a fixed
 * allowance (slack). A pure state machine.
 *
 * A router may use the ratio of its own requests and an equal part of the slack. The slack is
 * divided by all routers in the registry, reachable or not: otherwise, after a network partition,
 * each half of the fleet would also use the part of the other half. A router that hasn't read the
 * registry yet uses no slack.
 *
 * A router doesn't know after a restart how many retries it sent before. So in its first window it
 * may send only %RETRY_BUDGET_FIRST_MILLI of its share, with the slack reduced to the elapsed part
 * of the window. However often a router restarts within a window, its retries stay within that
 * part, and together with %RETRY_BUDGET_PART_MILLI from before the restart within the limit.
 */
#ifndef REQUEST_POLICY_RETRIES_RETRY_BUDGET_H
#define REQUEST_POLICY_RETRIES_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#define RETRY_BUDGET_BUCKETS 20 /* counters that a window is divided into */
/* Part of its share that a router may use, in thousandths. The rest is a margin, since the windows
 * of different routers begin at different times, and unevenly balanced connections give one router
 * more failures than its share. */
#define RETRY_BUDGET_PART_MILLI 750
/* the same in the first window after a start */
#define RETRY_BUDGET_FIRST_MILLI (1000 - RETRY_BUDGET_PART_MILLI)

/**
 * struct retry_budget_options - the configured limit of a service
 * @ratio_milli: retries per thousand requests
 * @slack: additional retries of all routers together in a window
 * @window_us: length of the window
 */
typedef struct
{
  uint32_t ratio_milli;
  uint32_t slack;
  uint64_t window_us;
} retry_budget_options_t;

/**
 * struct retry_budget - state of one service; the buckets cover the window and one bucket more
 * @requests: requests of clients in each bucket
 * @retries: retries in each bucket
 * @epoch: number of the current bucket since time zero; its index is the remainder by the buckets
 * @started_us: when this router started
 */
typedef struct
{
  uint32_t requests[RETRY_BUDGET_BUCKETS + 1];
  uint32_t retries[RETRY_BUDGET_BUCKETS + 1];
  uint64_t epoch;
  uint64_t started_us;
} retry_budget_t;

/**
 * retry_budget_sharers() - number of routers that share the slack, this one included
 *
 * @listed: whether this router has read the registry
 * @known: other routers in the registry
 * @alive: other routers that this one hears
 *
 * Return: 0 before the registry was read
 */
uint32_t retry_budget_sharers (bool listed, uint32_t known, uint32_t alive);

/** retry_budget_init() - initializes the state of a router that started at @started_us */
void retry_budget_init (retry_budget_t *retry_budget, uint64_t started_us);

/** retry_budget_count_request() - counts a client's request for the service */
void retry_budget_count_request (retry_budget_t *retry_budget,
                                 const retry_budget_options_t *options,
                                 uint64_t now_us);
/** retry_budget_count_retry() - counts a retry that is sent */
void retry_budget_count_retry (retry_budget_t *retry_budget,
                               const retry_budget_options_t *options,
                               uint64_t now_us);

/**
 * retry_budget_wait_us() - time until another retry may be sent if no further request arrives
 *
 * @routers: result of retry_budget_sharers()
 *
 * Return: 0 if a retry may be sent now
 */
uint64_t retry_budget_wait_us (retry_budget_t *retry_budget,
                               const retry_budget_options_t *options,
                               uint64_t now_us,
                               uint32_t routers);

/** retry_budget_retries() - Return: retries counted in the current window */
uint32_t retry_budget_retries (const retry_budget_t *retry_budget);
/**
 * retry_budget_allowed_milli() - retries that this router may send in the current window
 *
 * @routers: result of retry_budget_sharers()
 *
 * Return: thousandths of a retry, from the requests counted so far
 */
uint64_t retry_budget_allowed_milli (const retry_budget_t *retry_budget,
                                     const retry_budget_options_t *options,
                                     uint64_t now_us,
                                     uint32_t routers);

#endif
