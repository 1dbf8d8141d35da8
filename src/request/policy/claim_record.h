/**
 * DOC: claim_record
 *
 * The records of a claims stream as text: JSON arrays of the entries that claim.h describes.
 */
#ifndef REQUEST_POLICY_CLAIM_RECORD_H
#define REQUEST_POLICY_CLAIM_RECORD_H

#include "request/policy/claim.h"

#include <glib.h>
#include <stdbool.h>

typedef enum
{
  CLR_CLAIM,
  CLR_RELEASE,
  CLR_DONE
} clr_kind_t;

/** struct clr - one entry; @wall_ms only in claims, @status only in done ones */
typedef struct
{
  uint64_t claim_id[2];
  clm_key_t key;
  uint64_t wall_ms;
  uint32_t status;
  clr_kind_t kind;
} clr_t;

/** clr_write() - one record of all @entries. Return: text to be freed by g_free() */
char *clr_write (const clr_t *entries, uint32_t count);
/**
 * clr_read() - the entries of a record that can be understood, as a new array of clr_t
 * @broken: counts up for each entry that can't; a record that is no JSON array counts as one
 */
GArray *clr_read (const char *data, size_t data_bytes, uint64_t *broken);

#endif
