/**
 * DOC: budget
 *
 * Token bucket of bytes that holds control traffic under its rate. A pure state machine. It holds
 * one second's worth, but room for a whole datagram, or a small rate could never send one.
 */
#ifndef CONNECTION_BUDGET_H
#define CONNECTION_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#define BDG_HEADER_BYTES 28 /* of IPv4 and UDP: on the wire, so in the budget */

/** struct bdg - a budget of @rate_bytes a second */
typedef struct
{
  uint32_t rate_bytes;
  int64_t tokens_bytes;
  uint64_t filled_us;
} bdg_t;

/** bdg_init() - full */
void bdg_init (bdg_t *bdg, uint32_t rate_bytes, uint64_t now_us);
/** bdg_take() - Return: false when there is not enough; then nothing is taken */
bool bdg_take (bdg_t *bdg, uint64_t now_us, uint32_t bytes);
/** bdg_charge() - traffic that cannot be held back; its debt is one second's worth at most, as it
 * must not silence the rest */
void bdg_charge (bdg_t *bdg, uint64_t now_us, uint32_t bytes);
/** bdg_has() - whether bdg_take() would take */
bool bdg_has (bdg_t *bdg, uint64_t now_us, uint32_t bytes);

#endif
