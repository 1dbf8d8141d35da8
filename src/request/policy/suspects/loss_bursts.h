/**
 * DOC: loss_bursts
 *
 * Recognizes when most engines of a service that had requests of this gateway break off together:
 * all were killed, or the network of this gateway was cut. No request and no part of a prompt is to
 * blame for that, unless it was at these engines itself. A state machine without I/O.
 */
#ifndef REQUEST_POLICY_SUSPECTS_LOSS_BURSTS_H
#define REQUEST_POLICY_SUSPECTS_LOSS_BURSTS_H

#include <stdbool.h>
#include <stdint.h>

/* Engines that break off within this time do so together. */
#define LOSS_BURSTS_SPAN_US (UINT64_C (50) * 1000)
#define LOSS_BURSTS_SERVICES 8 /* services whose last burst is remembered */
#define LOSS_BURSTS_ENGINES 64 /* engines of a burst; it counts as of no more */
/* Fewer engines may end under two requests at the same time. */
#define LOSS_BURSTS_ENGINES_MIN 3

/** struct loss_burst - engines of a service that broke off from @began_us on; @in_use: number that
 * had requests of this gateway then */
typedef struct
{
  uint64_t service_hash;
  uint64_t began_us;
  uint32_t in_use;
  uint32_t count;
  uint64_t engines[LOSS_BURSTS_ENGINES];
} loss_burst_t;

/** struct loss_bursts - the last burst of each service; zeroed at first */
typedef struct
{
  loss_burst_t bursts[LOSS_BURSTS_SERVICES];
} loss_bursts_t;

/** loss_bursts_add() - an engine broke off; @in_use: engines of its service that had requests of
 * this gateway just before */
void loss_bursts_add (loss_bursts_t *bursts,
                      uint64_t now_us,
                      uint64_t service_hash,
                      uint64_t engine_hash,
                      uint32_t in_use);
/** loss_bursts_excuse() - whether a loss at @lost_us had a common cause with those of most engines;
 * @blamed: engines that broke off together with it under the same request or part */
bool loss_bursts_excuse (const loss_bursts_t *bursts,
                         uint64_t lost_us,
                         uint64_t service_hash,
                         uint32_t blamed);

#endif
