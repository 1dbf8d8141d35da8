#include "version/manifest_sync.h"

#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#define NONCE_RANDOM_BYTES 16
#define CONTEXT "medlarplank manifest answer"

static void
seal_of (const char *fleet_key,
         const char *nonce,
         const char *body,
         size_t body_bytes,
         char out[MSY_SEAL_BYTES])
{
  GHmac *hmac = g_hmac_new (G_CHECKSUM_SHA256, (const guchar *)fleet_key, strlen (fleet_key));
  /* With their final NULs, which part the fields; a nonce holds none. */
  g_hmac_update (hmac, (const guchar *)CONTEXT, sizeof CONTEXT);
  g_hmac_update (hmac, (const guchar *)nonce, (gssize)strlen (nonce) + 1);
  g_hmac_update (hmac, (const guchar *)body, (gssize)body_bytes);
  g_strlcpy (out, g_hmac_get_string (hmac), MSY_SEAL_BYTES);
  g_hmac_unref (hmac);
}

/* Takes as long for a seal that is almost right. */
static bool
same_seal (const char *given, const char right[MSY_SEAL_BYTES])
{
  if (strlen (given) != MSY_SEAL_BYTES - 1)
    return false;
  uint8_t difference = 0;
  for (uint32_t i = 0; i < MSY_SEAL_BYTES - 1; i++)
    difference |= (uint8_t)given[i] ^ (uint8_t)right[i];
  return difference == 0;
}

static man_t *
read_fields (json_t *json, uint64_t *next_offset, GError **error)
{
  json_int_t version = 0;
  json_int_t next = 0;
  json_t *manifest = NULL;
  int read = json_unpack (json, "{s:I,s:I,s:o}", "version", &version, "next_offset", &next,
                          "manifest", &manifest);
  if (read != 0 || version <= 0 || next <= 0)
    {
      g_set_error (error, MAN_ERROR, MAN_ERROR_MISSING, "version, next_offset or manifest");
      return NULL;
    }
  man_t *man = man_from_json (manifest, error);
  if (man == NULL)
    return NULL;
  man->version = (uint64_t)version;
  *next_offset = (uint64_t)next;
  return man;
}

void
msy_nonce (char out[MSY_NONCE_BYTES])
{
  uint8_t random[NONCE_RANDOM_BYTES];
  ssize_t got = getrandom (random, sizeof random, 0);
  g_assert (got == sizeof random); /* of so few bytes it never gives only a part */
  for (uint32_t i = 0; i < sizeof random; i++)
    g_snprintf (out + 2 * (size_t)i, 3, "%02x", random[i]);
}

char *
msy_write (const char *fleet_key,
           const char *nonce,
           const man_t *man,
           uint64_t next_offset,
           char seal[MSY_SEAL_BYTES])
{
  json_t *json = json_pack ("{s:I,s:I,s:O}", "version", (json_int_t)man->version, "next_offset",
                            (json_int_t)next_offset, "manifest", man->json);
  char *text = json_dumps (json, JSON_COMPACT);
  char *body = g_strdup (text);
  free (text);
  json_decref (json);
  seal[0] = '\0';
  if (nonce != NULL)
    seal_of (fleet_key, nonce, body, strlen (body), seal);
  return body;
}

man_t *
msy_read (const char *fleet_key,
          const char *nonce,
          const char *seal,
          const char *body,
          size_t body_bytes,
          uint64_t *next_offset,
          GError **error)
{
  char right[MSY_SEAL_BYTES];
  seal_of (fleet_key, nonce, body, body_bytes, right);
  if (seal == NULL || !same_seal (seal, right))
    {
      g_set_error (error, MAN_ERROR, MAN_ERROR_REFERENCE, "the seal does not fit the answer");
      return NULL;
    }
  json_t *json = json_loadb (body, body_bytes, JSON_REJECT_DUPLICATES, NULL);
  if (json == NULL)
    {
      g_set_error (error, MAN_ERROR, MAN_ERROR_SYNTAX, "the answer is not JSON");
      return NULL;
    }
  man_t *man = read_fields (json, next_offset, error);
  json_decref (json);
  return man;
}
