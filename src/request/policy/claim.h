/**
 * DOC: claim
 *
 * Guarantees that a request with an idempotency key runs at most once although it is resent. A
 * non-idempotent request with a key is claimed in the log before it runs, and the order of the log
 * decides which claim of a key is granted: there are no leases, and no owner is trusted. One clm_t
 * follows one claims stream ("claims/SERVICE/SHARD"). A pure state machine: the control task does
 * its appends and reads.
 *
 * A record is a JSON array of entries, so that one append carries many:
 *   {"c":CLAIM-ID,"k":KEY-HASH,"b":BODY-HASH,"t":WALL-MS}            a claim
 *   {"r":CLAIM-ID,"k":KEY-HASH}                                     released: it did not run
 *   {"d":CLAIM-ID,"k":KEY-HASH,"s":STATUS}                          done: it ran, with that status
 *
 * The first claim of a free key holds the key; later claims have lost for good. A release frees the
 * key and voids its claim wherever that is in the log: an append whose answer was lost may reach
 * the log after the release, and must not take the key again when nobody would release it. A claim
 * that is given up before it is granted is released here without a call of clm_release(). A key is
 * forgotten a horizon after it was last claimed, by the earlier of the log's time and the reader's
 * clock, so that one host with a wrong clock can't make the others forget keys.
 */
#ifndef REQUEST_POLICY_CLAIM_H
#define REQUEST_POLICY_CLAIM_H

#include "request/policy/verdict.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct clm clm_t;

/**
 * struct clm_key - what is claimed
 * @key_hash: hash of client account and idempotency key
 * @body_hash: hash of method, path and body
 */
typedef struct
{
  uint64_t key_hash[2];
  uint64_t body_hash;
} clm_key_t;

/** enum claim_verdict - what became of a claim */
typedef enum
{
  CLM_PENDING,    /* not known yet */
  CLM_GRANTED,    /* it was the first in the log: the request may run until the claim's expiry */
  CLM_HELD,       /* another claim of the key was first, and its request may have run */
  CLM_DONE,       /* the request of another claim of the key ran */
  CLM_KEY_REUSED, /* the key was claimed with another body */
  CLM_TOO_LATE,   /* it was granted after its expiry: the request must not run */
  CLM_LOG_DOWN    /* the log gave no answer in time, or can't: the request must not run */
} clm_verdict_t;

/**
 * struct claim_result - the result of one claim
 * @status: HTTP status of the request that ran, for %CLM_DONE
 * @owner: as passed to clm_request()
 */
typedef struct
{
  uint64_t claim_id[2];
  clm_verdict_t verdict;
  uint32_t status;
  void *owner;
} clm_result_t;

/** clm_new() - Return: a reader of one stream; @horizon_us: how long keys are remembered */
clm_t *clm_new (uint64_t horizon_us);
void clm_free (clm_t *clm);

/**
 * clm_request() - queues a claim; clm_result() gives its result
 * @claim_id: id of the attempt to run the request
 * @expiry_us: the claim is not granted later than this
 * @owner: returned with the result
 */
void clm_request (clm_t *clm,
                  uint64_t now_us,
                  const uint64_t claim_id[2],
                  const clm_key_t *key,
                  uint64_t expiry_us,
                  void *owner);
/** clm_release() - the request of the claim did not run and will not */
void clm_release (clm_t *clm, const uint64_t claim_id[2], const clm_key_t *key);
/** clm_done() - the request of the claim ran and ended with the HTTP status @status */
void clm_done (clm_t *clm, const uint64_t claim_id[2], const clm_key_t *key, uint32_t status);

/**
 * clm_batch() - Return: the record to append now, to be freed by g_free(), or NULL
 *
 * At most one append is in flight, and one of the next three functions tells its end. After
 * clm_append_lost() the entries that aren't found up to the end of the log are appended again, with
 * the same ids. Appends keep an interval (claim_pace.h). A done entry alone is deferred for up to
 * %LIM_CLAIM_HOLD_US, to share an append with the next claim or release.
 */
char *clm_batch (clm_t *clm, uint64_t now_us, uint64_t wall_ms);
/** clm_appended() - the append succeeded; its claims are granted once they are read back */
void clm_appended (clm_t *clm, uint64_t now_us, uint64_t offset);
/**
 * clm_append_lost() - the append failed or got no answer: it may be in the log or reach it later
 *
 * Unless its entries were read back already, new claims are refused at once as %CLM_LOG_DOWN until
 * an append succeeds. clm_batch() still returns the entries that are to be appended.
 */
void clm_append_lost (clm_t *clm, uint64_t now_us);

/**
 * clm_append_refused() - the log refused the append as it takes no more now: it had no effect
 *
 * Its entries go with a later append, after a longer interval. Claims that can't be appended in
 * time are refused at once as %CLM_LOG_DOWN; after several refusals in a row all new claims are,
 * until an append succeeds.
 */
void clm_append_refused (clm_t *clm, uint64_t now_us);
/** clm_log_down() - a read failed: claims that aren't appended yet get %CLM_LOG_DOWN at once */
void clm_log_down (clm_t *clm, uint64_t now_us);

/** clm_begin() - sets the first offset that the stream still has, before the first record and after
 * a gap */
void clm_begin (clm_t *clm, uint64_t first_offset);
/** clm_feed() - applies one record; records come in the order of the log, repeated ones are ignored
 */
void clm_feed (clm_t *clm,
               uint64_t now_us,
               uint64_t wall_ms,
               uint64_t offset,
               const char *data,
               size_t data_bytes);
/** clm_read_to() - a read has applied all records before @end_offset, the end of the log at that
 * time */
void clm_read_to (clm_t *clm, uint64_t now_us, uint64_t end_offset);
/** clm_next_offset() - Return: offset of the record to read next */
uint64_t clm_next_offset (const clm_t *clm);
/** clm_wants() - whether a claim is pending, or an entry is to be appended or looked up */
bool clm_wants (const clm_t *clm);
/** clm_wants_read() - whether a claim is pending, or a lost append is to be looked up */
bool clm_wants_read (const clm_t *clm);
/** clm_due_us() - Return: when clm_batch() may give the next record; UINT64_MAX when nothing is
 * queued or an append is in flight */
uint64_t clm_due_us (const clm_t *clm);
/** clm_result() - takes the next result. Return: false when there is none */
bool clm_result (clm_t *clm, uint64_t now_us, clm_result_t *result);
/** clm_key_count() - Return: number of keys and released claims that are remembered */
uint32_t clm_key_count (const clm_t *clm);
/** clm_memory_bytes() - Return: size of the table of keys */
uint64_t clm_memory_bytes (const clm_t *clm);
/** clm_broken_count() - Return: number of malformed entries and records, which were skipped */
uint64_t clm_broken_count (const clm_t *clm);

#endif
