#include "connection/admin_seal.h"

#include <glib.h>
#include <string.h>

#define SEAL_CHARS 64 /* SHA-256 in hex */

char *
seal_make (const char *fleet_key, const char *order, const char *host, uint64_t time_s)
{
  g_autofree char *text =
      g_strdup_printf ("%s\n%s\n%" G_GUINT64_FORMAT, order, host, (guint64)time_s);

  return g_compute_hmac_for_string (G_CHECKSUM_SHA256, (const guchar *)fleet_key,
                                    strlen (fleet_key), text, -1);
}

static bool
same_text (const char *one, const char *other, size_t chars)
{
  volatile unsigned char differ = 0;

  for (size_t at = 0; at < chars; at++)
    differ |= (unsigned char)one[at] ^ (unsigned char)other[at];
  return differ == 0;
}

bool
seal_check (const char *fleet_key,
            const char *order,
            const char *host,
            uint64_t time_s,
            uint64_t now_s,
            const char *seal)
{
  g_autofree char *wanted = seal_make (fleet_key, order, host, time_s);
  uint64_t apart_s = time_s > now_s ? time_s - now_s : now_s - time_s;

  if (seal == NULL || strlen (seal) != SEAL_CHARS)
    return false;
  return same_text (seal, wanted, SEAL_CHARS) && apart_s <= SEAL_WINDOW_S;
}
