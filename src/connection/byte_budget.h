/**
 * DOC: byte_budget
 *
 * Token bucket, counted in bytes, that limits the rate of control traffic. Does no I/O. Its
 * capacity is one second's worth, but at least one datagram of maximum size: with a smaller
 * capacity a low rate could never send one.
 */
#ifndef CONNECTION_BYTE_BUDGET_H
#define CONNECTION_BYTE_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#define BYTE_BUDGET_UDP_HEADER_BYTES 28 /* IPv4 and UDP headers, which count towards the budget */

/**
 * byte_budget_t - token bucket
 * @rate_bytes: bytes added per second
 * @tokens_bytes: bytes that may be sent now; negative after byte_budget_charge() beyond the budget
 * @filled_us: time up to which tokens have been added
 */
typedef struct
{
  uint32_t rate_bytes;
  int64_t tokens_bytes;
  uint64_t filled_us;
} byte_budget_t;

/** byte_budget_init() - initialize a full bucket */
void byte_budget_init (byte_budget_t *byte_budget, uint32_t rate_bytes, uint64_t now_us);
/** byte_budget_take() - take @bytes. Return: false, with nothing taken, when fewer are left */
bool byte_budget_take (byte_budget_t *byte_budget, uint64_t now_us, uint32_t bytes);
/** byte_budget_overdraw() - take @bytes, also of the next second's budget. Return: false, with
 * nothing taken, when that is used up too */
bool byte_budget_overdraw (byte_budget_t *byte_budget, uint64_t now_us, uint32_t bytes);
/** byte_budget_charge() - take @bytes for traffic that is sent in any case. The bucket goes
 * negative by at most one second's worth, so that such traffic can't block the rest for long */
void byte_budget_charge (byte_budget_t *byte_budget, uint64_t now_us, uint32_t bytes);
/** byte_budget_has() - whether byte_budget_take() of @bytes would succeed */
bool byte_budget_has (byte_budget_t *byte_budget, uint64_t now_us, uint32_t bytes);

#endif
