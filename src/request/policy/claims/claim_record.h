/**
 * DOC: claim_record
 *
 * Text form of the records of a claims stream: JSON arrays of the entries that claim.h describes.
 */
#ifndef REQUEST_POLICY_CLAIMS_CLAIM_RECORD_H
#define REQUEST_POLICY_CLAIMS_CLAIM_RECORD_H

#include "request/policy/claims/claim.h"

#include <glib.h>
#include <stdbool.h>

/** enum claim_entry_kind - claim.h says what each kind of entry means */
typedef enum
{
  CLAIM_ENTRY_CLAIM,
  CLAIM_ENTRY_RELEASE,
  CLAIM_ENTRY_DONE
} claim_entry_kind_t;

/**
 * struct claim_entry - one entry
 * @key: without its body_hash in release and done entries
 * @wall_ms: wall time of the append, in claims only
 * @status: HTTP status, in done entries only
 * @granted: of a claim: it was granted before, in an era whose end the log lost
 */
typedef struct
{
  uint64_t claim_id[2];
  claim_key_t key;
  uint64_t wall_ms;
  uint32_t status;
  claim_entry_kind_t kind;
  bool granted;
} claim_entry_t;

/** claim_record_format() - Return: one record of all @entries, as text to be freed by g_free() */
char *claim_record_format (const claim_entry_t *entries, uint32_t count);
/**
 * claim_record_parse() - parses a record
 * @malformed: incremented for each malformed entry, which is skipped; a record that is not a JSON
 *   array counts as one
 *
 * Return: the well-formed entries, as a new array of claim_entry_t
 */
GArray *claim_record_parse (const char *data, size_t data_bytes, uint64_t *malformed);

#endif
