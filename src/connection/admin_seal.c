#include "connection/admin_seal.h"

#include <glib.h>
#include <string.h>

#define HMAC_HEX_CHARS 64 /* SHA-256 in hex */

char *
admin_seal_make (const char *fleet_key, const char *order, const char *host, uint64_t time_s)
{
  g_autofree char *text =
      g_strdup_printf ("%s\n%s\n%" G_GUINT64_FORMAT, order, host, (guint64)time_s);

  return g_compute_hmac_for_string (G_CHECKSUM_SHA256, (const guchar *)fleet_key,
                                    strlen (fleet_key), text, -1);
}

static bool
equal_in_constant_time (const char *a, const char *b, size_t chars)
{
  volatile unsigned char difference = 0;

  for (size_t i = 0; i < chars; i++)
    difference |= (unsigned char)a[i] ^ (unsigned char)b[i];
  return difference == 0;
}

bool
admin_seal_check (const char *fleet_key,
                  const char *order,
                  const char *host,
                  uint64_t time_s,
                  uint64_t now_s,
                  const char *seal)
{
  g_autofree char *expected = admin_seal_make (fleet_key, order, host, time_s);
  uint64_t difference_s = time_s > now_s ? time_s - now_s : now_s - time_s;

  if (seal == NULL || strlen (seal) != HMAC_HEX_CHARS)
    return false;
  return equal_in_constant_time (seal, expected, HMAC_HEX_CHARS) &&
         difference_s <= ADMIN_SEAL_WINDOW_S;
}
