#include "version/answer_seal.h"

#include <glib.h>
#include <stdint.h>
#include <string.h>
#include <sys/random.h>

#define NONCE_RANDOM_BYTES 16

void
answer_seal_make_nonce (char out[ANSWER_SEAL_NONCE_BYTES])
{
  uint8_t random[NONCE_RANDOM_BYTES];
  ssize_t random_bytes = getrandom (random, sizeof random, 0);
  /* getrandom() never returns fewer bytes than requested for up to 256 bytes. */
  g_assert (random_bytes == sizeof random);
  for (uint32_t i = 0; i < sizeof random; i++)
    g_snprintf (out + 2 * (size_t)i, 3, "%02x", random[i]);
}

void
answer_seal_compute (const char *fleet_key,
                     const char *kind,
                     const char *nonce,
                     const char *body,
                     size_t body_bytes,
                     char out[ANSWER_SEAL_BYTES])
{
  GHmac *hmac = g_hmac_new (G_CHECKSUM_SHA256, (const guchar *)fleet_key, strlen (fleet_key));
  /* The terminating NULs are included to separate the fields, which can't contain one. */
  g_hmac_update (hmac, (const guchar *)kind, (gssize)strlen (kind) + 1);
  g_hmac_update (hmac, (const guchar *)nonce, (gssize)strlen (nonce) + 1);
  g_hmac_update (hmac, (const guchar *)body, (gssize)body_bytes);
  g_strlcpy (out, g_hmac_get_string (hmac), ANSWER_SEAL_BYTES);
  g_hmac_unref (hmac);
}

bool
answer_seal_equal (const char *received, const char expected[ANSWER_SEAL_BYTES])
{
  if (strlen (received) != ANSWER_SEAL_BYTES - 1)
    return false;
  uint8_t difference = 0;
  for (uint32_t i = 0; i < ANSWER_SEAL_BYTES - 1; i++)
    difference |= (uint8_t)received[i] ^ (uint8_t)expected[i];
  return difference == 0;
}
