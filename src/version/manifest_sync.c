#include "version/manifest_sync.h"

#include <stdlib.h>
#include <string.h>

#define SEAL_KIND "medlarplank manifest answer"

static manifest_t *
read_fields (json_t *json, position_t *next, GError **error)
{
  json_int_t version = 0;
  json_int_t offset = 0;
  json_int_t era = 0;
  json_t *document = NULL;
  int unpacked = json_unpack (json, "{s:I,s:I,s?I,s:o}", "version", &version, "next_offset",
                              &offset, "era", &era, "manifest", &document);
  if (unpacked != 0 || version <= 0 || offset <= 0 || era < 0)
    {
      g_set_error (error, MANIFEST_ERROR, MANIFEST_ERROR_MISSING,
                   "version, next_offset or manifest is missing or invalid");
      return NULL;
    }
  manifest_t *manifest = manifest_from_json (document, error);
  if (manifest == NULL)
    return NULL;
  manifest->version = (uint64_t)version;
  *next = (position_t){ (uint64_t)era, (uint64_t)offset };
  return manifest;
}

char *
manifest_sync_format (const char *fleet_key,
                      const char *nonce,
                      const manifest_t *manifest,
                      position_t next,
                      char seal[ANSWER_SEAL_BYTES])
{
  json_t *json = json_pack ("{s:I,s:I,s:O}", "version", (json_int_t)manifest->version,
                            "next_offset", (json_int_t)next.offset, "manifest", manifest->json);
  if (next.era != 0)
    json_object_set_new (json, "era", json_integer ((json_int_t)next.era));
  char *text = json_dumps (json, JSON_COMPACT);
  char *body = g_strdup (text);
  free (text);
  json_decref (json);
  seal[0] = '\0';
  if (nonce != NULL)
    answer_seal_compute (fleet_key, SEAL_KIND, nonce, body, strlen (body), seal);
  return body;
}

manifest_t *
manifest_sync_parse (const char *fleet_key,
                     const char *nonce,
                     const char *seal,
                     const char *body,
                     size_t body_bytes,
                     position_t *next,
                     GError **error)
{
  char expected[ANSWER_SEAL_BYTES];
  answer_seal_compute (fleet_key, SEAL_KIND, nonce, body, body_bytes, expected);
  if (seal == NULL || !answer_seal_equal (seal, expected))
    {
      g_set_error (error, MANIFEST_ERROR, MANIFEST_ERROR_REFERENCE,
                   "the seal does not match the response");
      return NULL;
    }
  json_t *json = json_loadb (body, body_bytes, JSON_REJECT_DUPLICATES, NULL);
  if (json == NULL)
    {
      g_set_error (error, MANIFEST_ERROR, MANIFEST_ERROR_SYNTAX, "the response is not JSON");
      return NULL;
    }
  manifest_t *manifest = read_fields (json, next, error);
  json_decref (json);
  return manifest;
}
