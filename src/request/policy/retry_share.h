/**
 * DOC: retry_share
 *
 * This router's share of the retries that all routers may send to a service together: in any window
 * at most a ratio of the requests for it, and some slack. A pure state machine.
 *
 * Each router earns the ratio by its own requests and takes an equal part of the slack. It divides
 * by all that the registry names, heard or not: each half of a fleet that is cut in two would take
 * the part of the other. One that has not read the registry yet takes no slack.
 *
 * What a router spent before a restart is not known after it. So its first window earns only
 * %RSH_FIRST_MILLI, and of the slack as much as the time since its start is of the window: however
 * often it starts in a window, all its starts earn no more than that, and with %RSH_PART_MILLI of
 * the time before, no more than is allowed.
 */
#ifndef REQUEST_POLICY_RETRY_SHARE_H
#define REQUEST_POLICY_RETRY_SHARE_H

#include <stdbool.h>
#include <stdint.h>

#define RSH_BUCKETS 20
/* Of what is allowed, in thousandths: windows of different routers begin at different moments, and
 * connections that are balanced unevenly give one router more failures than its share. */
#define RSH_PART_MILLI 750
#define RSH_FIRST_MILLI (1000 - RSH_PART_MILLI) /* likewise, in the first window after a start */

/**
 * struct rsh_options - the operators' bound
 * @ratio_milli: retries for each thousand requests
 * @slack: retries besides, in a window, of all routers together
 */
typedef struct
{
  uint32_t ratio_milli;
  uint32_t slack;
  uint64_t window_us;
} rsh_options_t;

/**
 * struct rsh - of one service: counts in buckets that together cover the window and one bucket
 * @started_us: when this router started
 */
typedef struct
{
  uint32_t requests[RSH_BUCKETS + 1];
  uint32_t retries[RSH_BUCKETS + 1];
  uint64_t epoch;
  uint64_t started_us;
} rsh_t;

/** rsh_sharers() - routers that a share is a part of, this one too: the registry, once @listed,
 * names
 * @known others, of which @alive were heard lately; 0 before */
uint32_t rsh_sharers (bool listed, uint32_t known, uint32_t alive);

/** rsh_init() - of a router that started at @started_us */
void rsh_init (rsh_t *rsh, uint64_t started_us);

/** rsh_request() - a caller's request for the service came */
void rsh_request (rsh_t *rsh, const rsh_options_t *options, uint64_t now_us);
/** rsh_spend() - a retry is sent */
void rsh_spend (rsh_t *rsh, const rsh_options_t *options, uint64_t now_us);

/** rsh_wait_us() - until one more retry may be sent if no request comes meanwhile; 0 for now
 * @routers: by rsh_sharers() */
uint64_t rsh_wait_us (rsh_t *rsh, const rsh_options_t *options, uint64_t now_us, uint32_t routers);

/** rsh_spent() - retries counted now */
uint32_t rsh_spent (const rsh_t *rsh);
/** rsh_allowed_milli() - retries that this router may send in a window, in thousandths, by the
 * requests counted now */
uint64_t rsh_allowed_milli (const rsh_t *rsh,
                            const rsh_options_t *options,
                            uint64_t now_us,
                            uint32_t routers);

#endif
