/**
 * DOC: order
 *
 * Seals of the calls that daemons make on each other besides requests: revokes, hints of where a
 * chat was served, hand-overs, the fetch of a manifest. HMAC-SHA256 under the fleet key over the
 * host that is called, method, target and body. Without a time, since hosts' clocks differ: all
 * these calls are idempotent, and one that is sent again by a listener on the network tells the
 * daemon nothing new.
 */
#ifndef REQUEST_POLICY_ORDER_H
#define REQUEST_POLICY_ORDER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define ORD_SEAL_HEADER "X-Medlarplank-Seal"
#define ORD_SEAL_BYTES 65

/**
 * struct ord - what is sealed
 * @host: name of the daemon that is called
 * @target: path and query
 */
typedef struct
{
  const char *host;
  const char *method;
  const char *target;
  const void *body;
  size_t body_bytes;
} ord_t;

void ord_seal (const ord_t *order, const char *fleet_key, char out[ORD_SEAL_BYTES]);
/** ord_check() - @seal may be NULL */
bool ord_check (const ord_t *order, const char *fleet_key, const char *seal);

#endif
