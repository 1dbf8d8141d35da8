#include "version/manifest_sync.h"

#include <stdlib.h>
#include <string.h>

#define CONTEXT "medlarplank manifest answer"

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

char *
msy_write (const char *fleet_key,
           const char *nonce,
           const man_t *man,
           uint64_t next_offset,
           char seal[ASL_SEAL_BYTES])
{
  json_t *json = json_pack ("{s:I,s:I,s:O}", "version", (json_int_t)man->version, "next_offset",
                            (json_int_t)next_offset, "manifest", man->json);
  char *text = json_dumps (json, JSON_COMPACT);
  char *body = g_strdup (text);
  free (text);
  json_decref (json);
  seal[0] = '\0';
  if (nonce != NULL)
    asl_make (fleet_key, CONTEXT, nonce, body, strlen (body), seal);
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
  char right[ASL_SEAL_BYTES];
  asl_make (fleet_key, CONTEXT, nonce, body, body_bytes, right);
  if (seal == NULL || !asl_same (seal, right))
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
