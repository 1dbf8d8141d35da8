/**
 * DOC: call_seal
 *
 * Seals, which authenticate the calls between daemons that are not client requests: revokes, hints
 * of where a chat was served, hand-overs of directory entries, and fetches of a manifest. A seal is
 * an HMAC-SHA256 under the fleet key over the called host, method, target and body.
 *
 * It doesn't include a time because the hosts' clocks differ, so a listener on the network can
 * replay a call. That is harmless: all these calls are idempotent, and a replay tells the daemon
 * nothing new.
 */
#ifndef REQUEST_POLICY_DIGESTS_CALL_SEAL_H
#define REQUEST_POLICY_DIGESTS_CALL_SEAL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define CALL_SEAL_HEADER "X-Medlarplank-Seal"
/* 64 hexadecimal digits and the final NUL */
#define CALL_SEAL_BYTES 65

/**
 * struct sealed_call - the call that a seal is for
 * @host: name of the called daemon
 * @method: HTTP method
 * @target: path and query
 */
typedef struct
{
  const char *host;
  const char *method;
  const char *target;
  const void *body;
  size_t body_bytes;
} sealed_call_t;

/** call_seal_compute() - computes the seal of a call */
void
call_seal_compute (const sealed_call_t *call, const char *fleet_key, char out[CALL_SEAL_BYTES]);
/** call_seal_verify() - whether @seal is the seal of the call; false for NULL. Takes the same time
 * wherever a wrong seal differs */
bool call_seal_verify (const sealed_call_t *call, const char *fleet_key, const char *seal);

#endif
