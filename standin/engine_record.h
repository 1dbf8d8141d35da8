/**
 * DOC: engine_record
 *
 * What truly ran on the stand-in engine, in the order of its beginning. Tests hold the promises
 * against it. A ring in memory answers GET /record; a file, when given, gets a line at once for
 * each change, as a crashed engine loses its memory.
 */
#ifndef STANDIN_ENGINE_RECORD_H
#define STANDIN_ENGINE_RECORD_H

#include <jansson.h>
#include <stdint.h>

#define ERC_LIMIT_RUNS 100000

typedef struct erc erc_t;

typedef enum
{
  ERC_BEGUN,
  ERC_DONE,
  ERC_CANCELLED
} erc_state_t;

/** struct erc_run - one run; @id, @account and @key may be NULL and are copied */
typedef struct
{
  const char *id;
  const char *account;
  const char *key;
  uint64_t body_hash;
} erc_run_t;

/** erc_new() - @file_fd is -1 for none */
erc_t *erc_new (int file_fd);
void erc_free (erc_t *erc);
/** erc_begin() - Return: the serial of the run, for erc_end() */
uint64_t erc_begin (erc_t *erc, const erc_run_t *run);
void erc_end (erc_t *erc, uint64_t serial, erc_state_t state);
/** erc_list() - a new JSON array of the runs still held */
json_t *erc_list (const erc_t *erc);

#endif
