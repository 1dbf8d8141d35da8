/**
 * DOC: record
 *
 * The records of the manifest stream as JSON text: strict reading, and writing.
 */
#ifndef VERSION_RECORD_H
#define VERSION_RECORD_H

#include "base/limits.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef enum
{
  REC_BROKEN,
  REC_PUBLISH,
  REC_CHECKPOINT
} rec_kind_t;

/**
 * struct rec - one record
 * @id: of a publish
 * @by: who published it, or who published the version of a checkpoint; may be ""
 * @number: base of a publish, version of a checkpoint
 * @as_of: of a checkpoint: the offset of the last record that it takes in
 * @manifest: borrowed from @json; NULL when a publish has a patch
 * @patch: borrowed from @json; NULL when there is a manifest
 * @fault: of a broken record
 */
typedef struct
{
  rec_kind_t kind;
  char id[LIM_NAME_BYTES];
  char by[LIM_NAME_BYTES];
  uint64_t number;
  uint64_t as_of;
  json_t *json;
  json_t *manifest;
  json_t *patch;
  char fault[160];
} rec_t;

/** rec_read() - must be followed by rec_clear(), whatever the kind */
void rec_read (rec_t *rec, const char *data, size_t data_bytes);
void rec_clear (rec_t *rec);

/** rec_publish() - text of a publish; one of @manifest and @patch is NULL. Free by g_free() */
char *rec_publish (
    const char *id, uint64_t base, const char *by, const json_t *manifest, const json_t *patch);
/** rec_checkpoint() - text of a checkpoint. Free by g_free() */
char *rec_checkpoint (uint64_t version, uint64_t as_of, const char *by, const json_t *manifest);

#endif
