/**
 * DOC: engine_record
 *
 * Record of the requests that ran on the stand-in engine, in order of start. Tests verify the
 * delivery guarantees against it. A ring buffer in memory answers GET /record. The optional file
 * gets one line per state change at once, so that the record survives a crash of the engine.
 */
#ifndef STANDIN_ENGINE_RECORD_H
#define STANDIN_ENGINE_RECORD_H

#include <jansson.h>
#include <stdint.h>

#define ERC_LIMIT_RUNS 100000 /* older runs are overwritten in memory */

typedef struct run_record erc_t;

typedef enum
{
  ERC_BEGUN,
  ERC_DONE,
  ERC_CANCELLED
} erc_state_t;

/**
 * struct erc_run - one run, as passed to erc_begin(); the strings are copied and may be NULL
 * @id: request id
 * @account: client account
 * @key: idempotency key, or its hash
 * @body_hash: XXH64 of the request body
 */
typedef struct
{
  const char *id;
  const char *account;
  const char *key;
  uint64_t body_hash;
} erc_run_t;

/** erc_new() - @file_fd is the file to append to, or -1 for none; the caller keeps it open */
erc_t *erc_new (int file_fd);
/** erc_free() - accepts NULL */
void erc_free (erc_t *run_record);
/** erc_begin() - adds a run. Return: its serial number, for erc_end() */
uint64_t erc_begin (erc_t *run_record, const erc_run_t *run);
/** erc_end() - sets the final state of a run; ignored when the run was overwritten */
void erc_end (erc_t *run_record, uint64_t serial, erc_state_t state);
/** erc_list() - a new JSON array of the runs in memory, oldest first */
json_t *erc_list (const erc_t *run_record);

#endif
