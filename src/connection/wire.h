/**
 * DOC: wire
 *
 * Datagrams of the exchange: RPC call and reply headers, XDR bodies, and an HMAC-SHA256 under the
 * fleet key in the verifier. Encoding and decoding only; no sockets.
 */
#ifndef CONNECTION_WIRE_H
#define CONNECTION_WIRE_H

#include "proto/exchange.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

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
