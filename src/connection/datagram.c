#include "connection/datagram.h"

#include "base/limits.h"

#include <glib.h>
#include <string.h>

#define XDR_UNITS(bytes) ((bytes) / sizeof (uint32_t))
/* Offsets in an RPC header. */
#define DIRECTION_UNIT 1
#define PROCEDURE_UNIT 5 /* of a call */

/* The accept status, which follows the verifier in the header of a reply. */
#define REPLY_TAIL_BYTES sizeof (uint32_t)

/** rpc_header_t - an RPC header with storage for its credential and verifier */
typedef struct
{
  struct rpc_msg rpc;
  char credential[MAX_AUTH_BYTES];
  char verifier[MAX_AUTH_BYTES];
} rpc_header_t;

/* The message body is encoded and decoded separately: decoding waits for the HMAC check. */
static bool_t
xdr_no_results (XDR *xdr, void *results)
{
  (void)xdr;
  (void)results;
  return TRUE;
}

static void
compute_hmac (const char *key, const void *datagram, size_t bytes, uint8_t out[DATAGRAM_HMAC_BYTES])
{
  gsize out_bytes = DATAGRAM_HMAC_BYTES;
  GHmac *hmac = g_hmac_new (G_CHECKSUM_SHA256, (const guchar *)key, strlen (key));
  g_hmac_update (hmac, datagram, (gssize)bytes);
  g_hmac_get_digest (hmac, out, &out_bytes);
  g_hmac_unref (hmac);
}

/* Takes the same time wherever the first difference is: otherwise the response time would reveal
 * how much of a guessed HMAC is correct. */
static bool
equal_in_constant_time (const uint8_t *a, const uint8_t *b, size_t bytes)
{
  uint8_t difference = 0;
  for (size_t i = 0; i < bytes; i++)
    difference |= a[i] ^ b[i];
  return difference == 0;
}

static void
header_init_call (rpc_header_t *header, uint32_t xid, uint32_t procedure)
{
  memset (header, 0, sizeof *header);
  header->rpc.rm_xid = xid;
  header->rpc.rm_direction = CALL;
  struct call_body *call = &header->rpc.rm_call;
  call->cb_rpcvers = RPC_MSG_VERSION;
  call->cb_prog = MEDLARPLANK_EXCHANGE;
  call->cb_vers = MEDLARPLANK_EXCHANGE_V1;
  call->cb_proc = procedure;
  call->cb_cred.oa_flavor = AUTH_NONE;
  call->cb_cred.oa_base = header->credential;
  call->cb_verf.oa_flavor = DATAGRAM_VERIFIER_FLAVOR;
  call->cb_verf.oa_base = header->verifier;
  call->cb_verf.oa_length = DATAGRAM_HMAC_BYTES;
}

static void
header_init_reply (rpc_header_t *header, uint32_t xid)
{
  memset (header, 0, sizeof *header);
  header->rpc.rm_xid = xid;
  header->rpc.rm_direction = REPLY;
  header->rpc.rm_reply.rp_stat = MSG_ACCEPTED;
  struct accepted_reply *reply = &header->rpc.acpted_rply;
  reply->ar_verf.oa_flavor = DATAGRAM_VERIFIER_FLAVOR;
  reply->ar_verf.oa_base = header->verifier;
  reply->ar_verf.oa_length = DATAGRAM_HMAC_BYTES;
  reply->ar_stat = SUCCESS;
  reply->ar_results.proc = (xdrproc_t)xdr_no_results;
}

/* Encodes or decodes the header. Return: the offset of the verifier's body, 0 on failure. */
static size_t
xdr_header (XDR *xdr, rpc_header_t *header, bool is_reply)
{
  bool done = is_reply ? xdr_replymsg (xdr, &header->rpc) : xdr_callmsg (xdr, &header->rpc);
  if (!done)
    return 0;
  return XDR_GETPOS (xdr) - DATAGRAM_HMAC_BYTES - (is_reply ? REPLY_TAIL_BYTES : 0);
}

static bool
is_exchange_verifier (const struct opaque_auth *verifier)
{
  return verifier->oa_flavor == DATAGRAM_VERIFIER_FLAVOR &&
         verifier->oa_length == DATAGRAM_HMAC_BYTES;
}

static bool
is_exchange_call (const struct call_body *call, uint32_t procedure)
{
  return call->cb_rpcvers == RPC_MSG_VERSION && call->cb_prog == MEDLARPLANK_EXCHANGE &&
         call->cb_vers == MEDLARPLANK_EXCHANGE_V1 && call->cb_proc == procedure &&
         call->cb_cred.oa_flavor == AUTH_NONE && call->cb_cred.oa_length == 0 &&
         is_exchange_verifier (&call->cb_verf);
}

static bool
is_exchange_reply (const struct reply_body *reply)
{
  return reply->rp_stat == MSG_ACCEPTED && reply->rp_acpt.ar_stat == SUCCESS &&
         is_exchange_verifier (&reply->rp_acpt.ar_verf);
}

static bool
is_exchange_header (const rpc_header_t *header, bool is_reply, uint32_t procedure)
{
  if (is_reply)
    return header->rpc.rm_direction == REPLY && is_exchange_reply (&header->rpc.rm_reply);
  return header->rpc.rm_direction == CALL && is_exchange_call (&header->rpc.rm_call, procedure);
}

/* Whether the HMAC at @hmac_at matches. Zeroes it first, as it was when the sender computed it. */
static bool
check_hmac (uint8_t *datagram, size_t bytes, size_t hmac_at, const char *key)
{
  uint8_t claimed[DATAGRAM_HMAC_BYTES];
  uint8_t expected[DATAGRAM_HMAC_BYTES];
  memcpy (claimed, datagram + hmac_at, sizeof claimed);
  memset (datagram + hmac_at, 0, sizeof claimed);
  compute_hmac (key, datagram, bytes, expected);
  return equal_in_constant_time (claimed, expected, sizeof claimed);
}

/** body_t - the body of a datagram: its XDR filter, and the message of @bytes */
typedef struct
{
  xdrproc_t filter;
  void *message;
  size_t bytes;
} body_t;

static bool
decode_body (XDR *xdr, size_t in_bytes, const body_t *body)
{
  memset (body->message, 0, body->bytes);
  if (body->filter (xdr, body->message) && XDR_GETPOS (xdr) == in_bytes)
    return true;
  xdr_free (body->filter, body->message);
  memset (body->message, 0, body->bytes);
  return false;
}

static size_t
encode (char *out,
        size_t out_bytes,
        const char *key,
        rpc_header_t *header,
        bool is_reply,
        const body_t *body)
{
  uint32_t datagram[XDR_UNITS (LIMIT_DATAGRAM_BYTES)] = { 0 };
  XDR xdr;
  xdrmem_create (&xdr, (char *)datagram, sizeof datagram, XDR_ENCODE);
  size_t hmac_at = xdr_header (&xdr, header, is_reply);
  size_t bytes = 0;
  if (hmac_at != 0 && body->filter (&xdr, body->message))
    bytes = XDR_GETPOS (&xdr);
  XDR_DESTROY (&xdr);
  if (bytes == 0 || bytes > out_bytes)
    return 0;
  uint8_t hmac[DATAGRAM_HMAC_BYTES];
  compute_hmac (key, datagram, bytes, hmac);
  memcpy ((uint8_t *)datagram + hmac_at, hmac, sizeof hmac);
  memcpy (out, datagram, bytes);
  return bytes;
}

static datagram_outcome_t
decode (uint32_t *datagram,
        size_t bytes,
        const char *key,
        uint32_t procedure,
        rpc_header_t *header,
        const body_t *body)
{
  bool is_reply = g_ntohl (datagram[DIRECTION_UNIT]) == REPLY;
  /* Set the buffers of the header, so that the decoder uses them instead of allocating memory. */
  if (is_reply)
    header_init_reply (header, 0);
  else
    header_init_call (header, 0, procedure);
  XDR xdr;
  xdrmem_create (&xdr, (char *)datagram, (u_int)bytes, XDR_DECODE);
  datagram_outcome_t outcome = DATAGRAM_MALFORMED;
  size_t hmac_at = xdr_header (&xdr, header, is_reply);
  if (hmac_at != 0 && is_exchange_header (header, is_reply, procedure))
    {
      outcome = DATAGRAM_BAD_AUTH;
      if (check_hmac ((uint8_t *)datagram, bytes, hmac_at, key))
        outcome = decode_body (&xdr, bytes, body) ? DATAGRAM_OK : DATAGRAM_MALFORMED;
    }
  XDR_DESTROY (&xdr);
  return outcome;
}

static bool
has_valid_length (size_t bytes)
{
  return bytes >= 2 * sizeof (uint32_t) && bytes % sizeof (uint32_t) == 0;
}

size_t
datagram_encode (
    char *out, size_t out_bytes, const char *key, uint32_t xid, bool is_reply, xch_message *message)
{
  rpc_header_t header;
  body_t body = { (xdrproc_t)xdr_xch_message, message, sizeof *message };
  if (is_reply)
    header_init_reply (&header, xid);
  else
    header_init_call (&header, xid, XCH_SWAP);
  return encode (out, out_bytes, key, &header, is_reply, &body);
}

size_t
datagram_encode_origins (
    char *out, size_t out_bytes, const char *key, uint32_t xid, xch_origins_message *message)
{
  rpc_header_t header;
  body_t body = { (xdrproc_t)xdr_xch_origins_message, message, sizeof *message };
  header_init_call (&header, xid, XCH_TELL_ORIGINS);
  return encode (out, out_bytes, key, &header, false, &body);
}

datagram_outcome_t
datagram_decode (const char *in,
                 size_t in_bytes,
                 const char *key,
                 uint32_t *xid,
                 bool *is_reply,
                 xch_message *message)
{
  uint32_t datagram[XDR_UNITS (LIMIT_DATAGRAM_BYTES)];
  rpc_header_t header;
  memset (message, 0, sizeof *message);
  body_t body = { (xdrproc_t)xdr_xch_message, message, sizeof *message };
  if (in_bytes > sizeof datagram)
    return DATAGRAM_TOO_LARGE;
  if (!has_valid_length (in_bytes))
    return DATAGRAM_MALFORMED;
  memcpy (datagram, in, in_bytes);
  *is_reply = g_ntohl (datagram[DIRECTION_UNIT]) == REPLY;
  datagram_outcome_t outcome = decode (datagram, in_bytes, key, XCH_SWAP, &header, &body);
  *xid = header.rpc.rm_xid;
  return outcome;
}

static bool
is_call_of (const char *in, size_t in_bytes, uint32_t procedure)
{
  uint32_t units[PROCEDURE_UNIT + 1];
  if (in_bytes < sizeof units)
    return false;
  memcpy (units, in, sizeof units);
  return g_ntohl (units[DIRECTION_UNIT]) == CALL && g_ntohl (units[PROCEDURE_UNIT]) == procedure;
}

static datagram_outcome_t
decode_call (
    const char *in, size_t in_bytes, const char *key, uint32_t procedure, const body_t *body)
{
  uint32_t datagram[XDR_UNITS (LIMIT_DATAGRAM_BYTES)];
  rpc_header_t header;
  if (in_bytes > sizeof datagram)
    return DATAGRAM_TOO_LARGE;
  if (!has_valid_length (in_bytes))
    return DATAGRAM_MALFORMED;
  memcpy (datagram, in, in_bytes);
  return decode (datagram, in_bytes, key, procedure, &header, body);
}

bool
datagram_is_origins (const char *in, size_t in_bytes)
{
  return is_call_of (in, in_bytes, XCH_TELL_ORIGINS);
}

datagram_outcome_t
datagram_decode_origins (const char *in,
                         size_t in_bytes,
                         const char *key,
                         xch_origins_message *message)
{
  memset (message, 0, sizeof *message);
  body_t body = { (xdrproc_t)xdr_xch_origins_message, message, sizeof *message };
  return decode_call (in, in_bytes, key, XCH_TELL_ORIGINS, &body);
}

size_t
datagram_encode_parts (
    char *out, size_t out_bytes, const char *key, uint32_t xid, xch_parts_message *message)
{
  rpc_header_t header;
  body_t body = { (xdrproc_t)xdr_xch_parts_message, message, sizeof *message };
  header_init_call (&header, xid, XCH_TELL_PARTS);
  return encode (out, out_bytes, key, &header, false, &body);
}

bool
datagram_is_parts (const char *in, size_t in_bytes)
{
  return is_call_of (in, in_bytes, XCH_TELL_PARTS);
}

datagram_outcome_t
datagram_decode_parts (const char *in, size_t in_bytes, const char *key, xch_parts_message *message)
{
  memset (message, 0, sizeof *message);
  body_t body = { (xdrproc_t)xdr_xch_parts_message, message, sizeof *message };
  return decode_call (in, in_bytes, key, XCH_TELL_PARTS, &body);
}

void
datagram_free_parts (xch_parts_message *message)
{
  xdr_free ((xdrproc_t)xdr_xch_parts_message, (char *)message);
  memset (message, 0, sizeof *message);
}

void
datagram_free_message (xch_message *message)
{
  xdr_free ((xdrproc_t)xdr_xch_message, (char *)message);
  memset (message, 0, sizeof *message);
}

void
datagram_free_origins (xch_origins_message *message)
{
  xdr_free ((xdrproc_t)xdr_xch_origins_message, (char *)message);
  memset (message, 0, sizeof *message);
}
