/**
 * DOC: part_shares
 *
 * Share of each prompt part in the requests that this gateway sends to a service. A state machine
 * without I/O; the caller passes the time.
 *
 * The engine that caches a popular part gets requests for it from all gateways, and none of them
 * knows what the others send. Callers are spread over the gateways, so each can tell from its own
 * requests how popular a part is. A share holds when the traffic grows or falls, unlike a rate.
 *
 * Counts fade with time. The table is bounded: where too many parts share a set of it, the one with
 * the lowest count is forgotten.
 */
#ifndef REQUEST_POLICY_PLACEMENT_PART_SHARES_H
#define REQUEST_POLICY_PLACEMENT_PART_SHARES_H

#include <stdint.h>

/* In this time a count halves. */
#define PART_SHARES_HALF_LIFE_US (UINT64_C (5500) * 1000)
/* Requests with other parts that are added to those counted, as a few requests say little. */
#define PART_SHARES_ASSUMED_REQUESTS UINT64_C (12)
/* A part that has just become popular has a small part of the requests that are counted above for
 * seconds, in which its home is overloaded. So the share of the last second counts if it is larger.
 */
#define PART_SHARES_RECENT_HALF_LIFE_US (UINT64_C (1000) * 1000)
#define PART_SHARES_RECENT_ASSUMED_REQUESTS UINT64_C (4)

/** struct part_shares - the counts of one service */
typedef struct part_shares part_shares_t;

part_shares_t *part_shares_new (void);
void part_shares_free (part_shares_t *shares);
/** part_shares_add() - counts a request with @part, a hash */
void part_shares_add (part_shares_t *shares, uint64_t now_us, uint64_t part);
/** part_shares_get_milli() - share of the requests with @part, in thousandths; 0 when it is not in
 * the table */
uint32_t part_shares_get_milli (const part_shares_t *shares, uint64_t now_us, uint64_t part);
/** part_shares_age_us() - time since the first request; 0 before it */
uint64_t part_shares_age_us (const part_shares_t *shares, uint64_t now_us);

#endif
