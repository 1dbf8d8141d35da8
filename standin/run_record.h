/**
 * DOC: run_record
 *
 * Record of the requests that ran on the stand-in engine, in order of start. Tests verify the
 * delivery guarantees against it. A ring buffer in memory answers GET /record. The optional file
 * gets one line per state change at once, so that the record survives a crash of the engine.
 */
#ifndef STANDIN_RUN_RECORD_H
#define STANDIN_RUN_RECORD_H

#include <jansson.h>
#include <stdint.h>

#define RUN_RECORD_CAPACITY 100000 /* older runs are overwritten in memory */

typedef struct run_record run_record_t;

typedef enum
{
  RUN_RECORD_BEGUN,
  RUN_RECORD_DONE,
  RUN_RECORD_CANCELLED
} run_record_state_t;

/**
 * struct run_record_run - one run, as passed to run_record_begin(); the strings are copied and may
 * be NULL
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
} run_record_run_t;

/** run_record_new() - @file_fd is the file to append to, or -1 for none; the caller keeps it open
 */
run_record_t *run_record_new (int file_fd);
/** run_record_free() - accepts NULL */
void run_record_free (run_record_t *run_record);
/** run_record_begin() - adds a run. Return: its serial number, for run_record_end() */
uint64_t run_record_begin (run_record_t *run_record, const run_record_run_t *run);
/** run_record_end() - sets the final state of a run; ignored when the run was overwritten */
void run_record_end (run_record_t *run_record, uint64_t serial, run_record_state_t state);
/** run_record_to_json() - a new JSON array of the runs in memory, oldest first */
json_t *run_record_to_json (const run_record_t *run_record);

#endif
