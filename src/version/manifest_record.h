/**
 * DOC: manifest_record
 *
 * Parses and formats the JSON records of the manifest stream. Parsing is strict: duplicate or
 * unknown keys make a record invalid.
 */
#ifndef VERSION_MANIFEST_RECORD_H
#define VERSION_MANIFEST_RECORD_H

#include "base/limits.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef enum
{
  MANIFEST_RECORD_INVALID, /* could not be parsed */
  MANIFEST_RECORD_PUBLISH,
  MANIFEST_RECORD_CHECKPOINT,
  MANIFEST_RECORD_RESTORE
} manifest_record_kind_t;

/**
 * struct record - one parsed record; each kind uses only some of the fields
 * @id: id of a publish
 * @publisher: who published this version; "" when unknown
 * @version: of a publish, its base: the version that it was made from; of a checkpoint and of a
 *   restore, its version
 * @as_of: offset of the last record that a checkpoint includes
 * @json: the whole record
 * @manifest: borrowed from @json; NULL when a publish has a patch
 * @patch: borrowed from @json; NULL when there is a manifest
 * @error: why a record is invalid
 */
typedef struct
{
  manifest_record_kind_t kind;
  char id[LIMIT_NAME_BYTES];
  char publisher[LIMIT_NAME_BYTES];
  uint64_t version;
  uint64_t as_of;
  json_t *json;
  json_t *manifest;
  json_t *patch;
  char error[160];
} manifest_record_t;

/** manifest_record_parse() - parse a record; manifest_record_clear() must follow, even when the
 * record is invalid */
void manifest_record_parse (manifest_record_t *record, const char *data, size_t data_bytes);
void manifest_record_clear (manifest_record_t *record);

/** manifest_record_format_publish() - format a publish; exactly one of @manifest and @patch is
 * NULL. Free the text with g_free() */
char *manifest_record_format_publish (const char *id,
                                      uint64_t base,
                                      const char *publisher,
                                      const json_t *manifest,
                                      const json_t *patch);
/** manifest_record_format_checkpoint() - format a checkpoint. Free the text with g_free() */
char *manifest_record_format_checkpoint (uint64_t version,
                                         uint64_t as_of,
                                         const char *publisher,
                                         const json_t *manifest);
/** manifest_record_format_restore() - format a restore; free the text with g_free() */
char *
manifest_record_format_restore (uint64_t version, const char *publisher, const json_t *manifest);

#endif
