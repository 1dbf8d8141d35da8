/**
 * DOC: wire
 *
 * Datagrams of the exchange: RPC call and reply headers, XDR bodies, and an HMAC-SHA256 under the
 * fleet key in the verifier. Encoding and decoding only; no sockets.
 *
 * The verifier (a call's cb_verf, an accepted reply's ar_verf) has the flavor %WIR_FLAVOR and the
 * HMAC as its body. The HMAC covers the whole datagram with the body of the verifier zeroed: xid,
 * direction, program and procedure too, so a call cannot be sent back as a reply.
 *
 * Replay. The HMAC does not tell an old datagram from a new one. A reply counts only for an xid
 * that is still open, from the address that was asked. A call counts only if its sender's
 * (incarnation, sequence) is higher than the last one heard of that host, and only if that host is
 * listed. Others are not answered, but for those of an earlier incarnation: a process whose clock
 * went back between two starts must hear why nobody believes it. What is left: after a restart a
 * daemon has heard nobody, and takes one old call of each listed host as new until that host's true
 * word reaches it, directly or by others. Such a call can show a host as leaving that is live,
 * which costs hops, or the reverse, which the host itself refuses; it can bring load samples that
 * are too old, which expire in %LIM_SAMPLE_AGE_US, and marks of suspects that had expired. It
 * cannot bring back an old version: a version only rises. Times of sending would close this, but
 * hosts' clocks differ, and a host with a wrong clock would be cut off.
 */
#ifndef CONNECTION_WIRE_H
#define CONNECTION_WIRE_H

#include "proto/exchange.h"

/* libtirpc defines these as macros; they would swallow the functions of request/policy/member.h. */
#undef mem_alloc
#undef mem_free

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define WIR_FLAVOR 0x20004d50 /* of the verifier; the number of the program */
#define WIR_HMAC_BYTES 32

typedef enum
{
  WIR_OK,
  WIR_BROKEN,   /* not a message of this program and version, or cut short */
  WIR_BAD_AUTH, /* the HMAC does not fit */
  WIR_TOO_LARGE
} wir_outcome_t;

/** wir_encode() - @is_reply tells call from reply. Return: bytes written, 0 when it does not fit */
size_t wir_encode (char *out,
                   size_t out_bytes,
                   const char *key,
                   uint32_t xid,
                   bool is_reply,
                   xch_message *message);
/** wir_decode() - on WIR_OK the message must be freed by wir_free() */
wir_outcome_t wir_decode (const char *in,
                          size_t in_bytes,
                          const char *key,
                          uint32_t *xid,
                          bool *is_reply,
                          xch_message *message);
void wir_free (xch_message *message);

#endif
