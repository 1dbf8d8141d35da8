/**
 * DOC: datagram
 *
 * Encodes and decodes the datagrams of the exchange: ONC RPC call and reply headers, XDR bodies,
 * and an HMAC-SHA256 under the fleet key in the RPC verifier. Uses no sockets.
 *
 * Besides the message that two daemons exchange there is a call that gateways tell each other the
 * software versions of streams by. It gets no reply.
 *
 * The verifier (a call's cb_verf, an accepted reply's ar_verf) has the flavor
 * %DATAGRAM_VERIFIER_FLAVOR and the HMAC as its body. The HMAC covers the whole datagram with the
 * body of the verifier zeroed. That includes xid, direction, program and procedure, so a call
 * cannot be reflected as a reply.
 *
 * Replay protection. The HMAC does not distinguish a replayed datagram from a new one. A reply is
 * accepted only for an xid that is still outstanding and from the address that was called. A call
 * is accepted only if its sender is in the host list and its (incarnation, sequence) is higher than
 * the last one received from that host. Other calls are not answered, except those of an earlier
 * incarnation: a process whose clock went back between two starts must learn why its messages are
 * ignored.
 *
 * A call about streams needs no protection: what it tells stays true, and its questions are
 * answered to the address in the registry only.
 *
 * Remaining exposure: after a restart a daemon has no sequence numbers, so it accepts one replayed
 * call of each listed host until a current message of that host arrives, directly or through other
 * hosts. Such a call can show a live host as leaving, which costs extra hops, or a leaving host as
 * live, which that host itself rejects. It can bring outdated load samples, which expire after
 * %LIMIT_LOAD_SAMPLE_AGE_US, and suspicions that had expired. It cannot bring back an old version,
 * since a version never decreases. Send times in messages would prevent this, but hosts' clocks
 * differ, and a host with a wrong clock would be cut off.
 */
#ifndef CONNECTION_DATAGRAM_H
#define CONNECTION_DATAGRAM_H

#include "proto/exchange.h"

/* libtirpc defines these as macros, which would replace the functions of
 * request/policy/engines/membership.h.
 */
#undef mem_alloc
#undef membership_free

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* auth flavor of the verifier; equal to the RPC program number */
#define DATAGRAM_VERIFIER_FLAVOR 0x20004d50
#define DATAGRAM_HMAC_BYTES 32

typedef enum
{
  DATAGRAM_OK,
  DATAGRAM_MALFORMED, /* malformed, truncated, or of another RPC program or version */
  DATAGRAM_BAD_AUTH,  /* the HMAC does not match */
  DATAGRAM_TOO_LARGE  /* longer than %LIMIT_DATAGRAM_BYTES */
} datagram_outcome_t;

/**
 * datagram_encode() - encode and authenticate a call, or a reply when @is_reply is true
 * @key: the fleet key, NUL-terminated
 * @xid: RPC transaction id; a reply has that of its call
 *
 * Return: the number of bytes written to @out, 0 when the message does not fit
 */
size_t datagram_encode (char *out,
                        size_t out_bytes,
                        const char *key,
                        uint32_t xid,
                        bool is_reply,
                        xch_message *message);
/** datagram_decode() - verify and decode a datagram. After %DATAGRAM_OK @message must be freed by
 * datagram_free_message(); after any other outcome it holds nothing */
datagram_outcome_t datagram_decode (const char *in,
                                    size_t in_bytes,
                                    const char *key,
                                    uint32_t *xid,
                                    bool *is_reply,
                                    xch_message *message);
/** datagram_encode_origins() - likewise, a call that tells of streams, or asks for them */
size_t datagram_encode_origins (
    char *out, size_t out_bytes, const char *key, uint32_t xid, xch_origins_message *message);
/** datagram_is_origins() - whether a datagram, which is not verified yet, says that it is such a
 * call */
bool datagram_is_origins (const char *in, size_t in_bytes);
/** datagram_decode_origins() - verify and decode such a call, as datagram_decode() does; freed by
 * datagram_free_origins() */
datagram_outcome_t datagram_decode_origins (const char *in,
                                            size_t in_bytes,
                                            const char *key,
                                            xch_origins_message *message);
void datagram_free_origins (xch_origins_message *message);
/** datagram_encode_parts() - as datagram_encode(), a call that tells of engines that hold parts */
size_t datagram_encode_parts (
    char *out, size_t out_bytes, const char *key, uint32_t xid, xch_parts_message *message);
/** datagram_is_parts() - whether a datagram, which is not verified yet, says that it is such a call
 */
bool datagram_is_parts (const char *in, size_t in_bytes);
/** datagram_decode_parts() - verify and decode such a call, as datagram_decode() does; freed by
 * datagram_free_parts() */
datagram_outcome_t datagram_decode_parts (const char *in,
                                          size_t in_bytes,
                                          const char *key,
                                          xch_parts_message *message);
void datagram_free_parts (xch_parts_message *message);
/** datagram_free_message() - free the arrays of a decoded message and zero it */
void datagram_free_message (xch_message *message);

#endif
