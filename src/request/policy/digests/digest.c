#include "request/policy/digests/digest.h"

#include <glib.h>
#include <string.h>

#define SHA256_BYTES 32

/* Adds the final NUL too: without it two different lists of strings could give the same bytes. */
static void
add_string (GChecksum *sum, const char *text)
{
  g_checksum_update (sum, (const guchar *)text, (gssize)strlen (text) + 1);
}

static void
finish (GChecksum *sum, uint64_t out[2])
{
  guint8 digest[SHA256_BYTES];
  gsize digest_bytes = sizeof digest;

  g_checksum_get_digest (sum, digest, &digest_bytes);
  memcpy (out, digest, 2 * sizeof out[0]);
  out[0] = GUINT64_FROM_BE (out[0]);
  out[1] = GUINT64_FROM_BE (out[1]);
  g_checksum_free (sum);
}

uint64_t
digest_request (const char *method, const char *target, const void *body, size_t body_bytes)
{
  GChecksum *sum = g_checksum_new (G_CHECKSUM_SHA256);
  uint64_t out[2];

  add_string (sum, method);
  add_string (sum, target);
  if (body_bytes > 0)
    g_checksum_update (sum, body, (gssize)body_bytes);
  finish (sum, out);
  return out[0];
}

uint64_t
digest_fingerprint (const char *account, uint64_t body_hash)
{
  GChecksum *sum = g_checksum_new (G_CHECKSUM_SHA256);
  uint64_t big_endian = GUINT64_TO_BE (body_hash);
  uint64_t out[2];

  add_string (sum, account);
  g_checksum_update (sum, (const guchar *)&big_endian, sizeof big_endian);
  finish (sum, out);
  return out[0];
}

void
digest_idempotency_key (const char *account, const char *key, uint64_t out[2])
{
  GChecksum *sum = g_checksum_new (G_CHECKSUM_SHA256);

  add_string (sum, account);
  add_string (sum, key);
  finish (sum, out);
  out[1] |= 1; /* all zero stands for no key */
}
