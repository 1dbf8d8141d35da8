#include "request/policy/digests/call_seal.h"

#include "request/policy/digests/digest.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

void
call_seal_compute (const sealed_call_t *call, const char *fleet_key, char out[CALL_SEAL_BYTES])
{
  uint64_t body_hash = digest_request (call->method, call->target, call->body, call->body_bytes);
  g_autofree char *text = g_strdup_printf ("call\n%s\n%016" PRIx64, call->host, body_hash);
  g_autofree char *seal = g_compute_hmac_for_string (G_CHECKSUM_SHA256, (const guchar *)fleet_key,
                                                     strlen (fleet_key), text, -1);

  g_strlcpy (out, seal, CALL_SEAL_BYTES);
}

bool
call_seal_verify (const sealed_call_t *call, const char *fleet_key, const char *seal)
{
  char expected[CALL_SEAL_BYTES];
  unsigned char difference = 0;

  if (seal == NULL || strlen (seal) != CALL_SEAL_BYTES - 1)
    return false;
  call_seal_compute (call, fleet_key, expected);
  for (size_t i = 0; i < CALL_SEAL_BYTES - 1; i++)
    difference |= (unsigned char)(seal[i] ^ expected[i]);
  return difference == 0;
}
