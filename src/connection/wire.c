#include "connection/wire.h"

#include "base/limits.h"

#include <glib.h>
#include <string.h>

#define WORDS(bytes) ((bytes) / sizeof (uint32_t))

/* After the verifier's body a reply still has its accept status. */
#define REPLY_TAIL_BYTES sizeof (uint32_t)

/** struct header - an RPC header with room for what its opaque parts point to */
typedef struct
{
  struct rpc_msg rpc;
  char credential[MAX_AUTH_BYTES];
  char verifier[MAX_AUTH_BYTES];
} header_t;

/* The results are coded apart, once the HMAC was checked. */
static bool_t
code_no_results (XDR *xdr, void *results)
{
  (void)xdr;
  (void)results;
  return TRUE;
}

static void
sign (const char *key, const void *datagram, size_t bytes, uint8_t out[WIR_HMAC_BYTES])
{
  gsize out_bytes = WIR_HMAC_BYTES;
  GHmac *hmac = g_hmac_new (G_CHECKSUM_SHA256, (const guchar *)key, strlen (key));
  g_hmac_update (hmac, datagram, (gssize)bytes);
  g_hmac_get_digest (hmac, out, &out_bytes);
  g_hmac_unref (hmac);
}

/* Takes the same time wherever the first difference is: else the time of an answer would tell an
 * attacker how much of a guessed HMAC fits. */
static bool
equal_in_constant_time (const uint8_t *a, const uint8_t *b, size_t bytes)
{
  uint8_t difference = 0;
  for (size_t i = 0; i < bytes; i++)
    difference |= a[i] ^ b[i];
  return difference == 0;
}

static void
header_init_call (header_t *header, uint32_t xid)
{
  memset (header, 0, sizeof *header);
  header->rpc.rm_xid = xid;
  header->rpc.rm_direction = CALL;
  struct call_body *call = &header->rpc.rm_call;
  call->cb_rpcvers = RPC_MSG_VERSION;
  call->cb_prog = MEDLARPLANK_EXCHANGE;
  call->cb_vers = MEDLARPLANK_EXCHANGE_V1;
  call->cb_proc = XCH_SWAP;
  call->cb_cred.oa_flavor = AUTH_NONE;
  call->cb_cred.oa_base = header->credential;
  call->cb_verf.oa_flavor = WIR_FLAVOR;
  call->cb_verf.oa_base = header->verifier;
  call->cb_verf.oa_length = WIR_HMAC_BYTES;
}

static void
header_init_reply (header_t *header, uint32_t xid)
{
  memset (header, 0, sizeof *header);
  header->rpc.rm_xid = xid;
  header->rpc.rm_direction = REPLY;
  header->rpc.rm_reply.rp_stat = MSG_ACCEPTED;
  struct accepted_reply *reply = &header->rpc.acpted_rply;
  reply->ar_verf.oa_flavor = WIR_FLAVOR;
  reply->ar_verf.oa_base = header->verifier;
  reply->ar_verf.oa_length = WIR_HMAC_BYTES;
  reply->ar_stat = SUCCESS;
  reply->ar_results.proc = (xdrproc_t)code_no_results;
}

/* Codes the header. Return: where the verifier's body starts, 0 when it cannot be coded. */
static size_t
code_header (XDR *xdr, header_t *header, bool is_reply)
{
  bool coded = is_reply ? xdr_replymsg (xdr, &header->rpc) : xdr_callmsg (xdr, &header->rpc);
  if (!coded)
    return 0;
  return XDR_GETPOS (xdr) - WIR_HMAC_BYTES - (is_reply ? REPLY_TAIL_BYTES : 0);
}

static bool
is_our_verifier (const struct opaque_auth *verifier)
{
  return verifier->oa_flavor == WIR_FLAVOR && verifier->oa_length == WIR_HMAC_BYTES;
}

static bool
is_our_call (const struct call_body *call)
{
  return call->cb_rpcvers == RPC_MSG_VERSION && call->cb_prog == MEDLARPLANK_EXCHANGE &&
         call->cb_vers == MEDLARPLANK_EXCHANGE_V1 && call->cb_proc == XCH_SWAP &&
         call->cb_cred.oa_flavor == AUTH_NONE && call->cb_cred.oa_length == 0 &&
         is_our_verifier (&call->cb_verf);
}

static bool
is_our_reply (const struct reply_body *reply)
{
  return reply->rp_stat == MSG_ACCEPTED && reply->rp_acpt.ar_stat == SUCCESS &&
         is_our_verifier (&reply->rp_acpt.ar_verf);
}

static bool
is_our_header (const header_t *header, bool is_reply)
{
  if (is_reply)
    return header->rpc.rm_direction == REPLY && is_our_reply (&header->rpc.rm_reply);
  return header->rpc.rm_direction == CALL && is_our_call (&header->rpc.rm_call);
}

/* Whether the HMAC at @hmac_at fits. Zeroes it, as the signer had it. */
static bool
check_hmac (uint8_t *datagram, size_t bytes, size_t hmac_at, const char *key)
{
  uint8_t claimed[WIR_HMAC_BYTES];
  uint8_t expected[WIR_HMAC_BYTES];
  memcpy (claimed, datagram + hmac_at, sizeof claimed);
  memset (datagram + hmac_at, 0, sizeof claimed);
  sign (key, datagram, bytes, expected);
  return equal_in_constant_time (claimed, expected, sizeof claimed);
}

static bool
decode_message (XDR *xdr, size_t in_bytes, xch_message *message)
{
  memset (message, 0, sizeof *message);
  if (xdr_xch_message (xdr, message) && XDR_GETPOS (xdr) == in_bytes)
    return true;
  wir_free (message);
  return false;
}

size_t
wir_encode (
    char *out, size_t out_bytes, const char *key, uint32_t xid, bool is_reply, xch_message *message)
{
  uint32_t datagram[WORDS (LIM_DATAGRAM_BYTES)] = { 0 };
  header_t header;
  XDR xdr;
  if (is_reply)
    header_init_reply (&header, xid);
  else
    header_init_call (&header, xid);
  xdrmem_create (&xdr, (char *)datagram, sizeof datagram, XDR_ENCODE);
  size_t hmac_at = code_header (&xdr, &header, is_reply);
  size_t bytes = 0;
  if (hmac_at != 0 && xdr_xch_message (&xdr, message))
    bytes = XDR_GETPOS (&xdr);
  XDR_DESTROY (&xdr);
  if (bytes == 0 || bytes > out_bytes)
    return 0;
  uint8_t hmac[WIR_HMAC_BYTES];
  sign (key, datagram, bytes, hmac);
  memcpy ((uint8_t *)datagram + hmac_at, hmac, sizeof hmac);
  memcpy (out, datagram, bytes);
  return bytes;
}

wir_outcome_t
wir_decode (const char *in,
            size_t in_bytes,
            const char *key,
            uint32_t *xid,
            bool *is_reply,
            xch_message *message)
{
  uint32_t datagram[WORDS (LIM_DATAGRAM_BYTES)];
  memset (message, 0, sizeof *message);
  if (in_bytes > sizeof datagram)
    return WIR_TOO_LARGE;
  if (in_bytes < 2 * sizeof (uint32_t) || in_bytes % sizeof (uint32_t) != 0)
    return WIR_BROKEN;
  memcpy (datagram, in, in_bytes);
  *is_reply = g_ntohl (datagram[1]) == REPLY;
  header_t header;
  /* Filled in, so that the decoder writes into the header's own room and takes no memory. */
  if (*is_reply)
    header_init_reply (&header, 0);
  else
    header_init_call (&header, 0);
  XDR xdr;
  xdrmem_create (&xdr, (char *)datagram, (u_int)in_bytes, XDR_DECODE);
  wir_outcome_t outcome = WIR_BROKEN;
  size_t hmac_at = code_header (&xdr, &header, *is_reply);
  if (hmac_at != 0 && is_our_header (&header, *is_reply))
    {
      outcome = WIR_BAD_AUTH;
      if (check_hmac ((uint8_t *)datagram, in_bytes, hmac_at, key))
        outcome = decode_message (&xdr, in_bytes, message) ? WIR_OK : WIR_BROKEN;
    }
  *xid = header.rpc.rm_xid;
  XDR_DESTROY (&xdr);
  return outcome;
}

void
wir_free (xch_message *message)
{
  xdr_free ((xdrproc_t)xdr_xch_message, (char *)message);
  memset (message, 0, sizeof *message);
}
