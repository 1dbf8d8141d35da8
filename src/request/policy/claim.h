/**
 * DOC: claim
 *
 * At most once across resends: a keyed non-idempotent request is claimed in the log before it
 * runs. Log order decides; no lease and no owner is trusted. One clm_t follows one claims stream
 * ("claims/SERVICE/SHARD"). A pure state machine: the control task appends and reads for it.
 *
 * Records are JSON arrays of entries, so that one append carries many:
 *   {"c":CLAIM-ID,"k":KEY-HASH,"b":BODY-HASH,"t":WALL-MS}            a claim
 *   {"r":CLAIM-ID,"k":KEY-HASH}                                     released: it did not run
 *   {"d":CLAIM-ID,"k":KEY-HASH,"s":STATUS}                          done: it ran, with that status
 *
 * The first claim of a free key holds it; later ones have lost for good. A release frees the key
 * and makes its claim dead wherever that stands in the log: an append whose answer was lost may
 * still be on its way and land after the release, and must not take the key for nobody.
 * A claim that is given up without a grant is released here, without being asked. A key is
 * forgotten a horizon after it was last claimed, by the earlier of the log's time and the reader's
 * clock, so one host with a wrong clock can't make others forget.
 */
#ifndef REQUEST_POLICY_CLAIM_H
#define REQUEST_POLICY_CLAIM_H

#include "request/policy/verdict.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct clm clm_t;

/** struct clm_key - hashes of (account, key) and of (method, path, body) */
typedef struct
{
  uint64_t key_hash[2];
  uint64_t body_hash;
} clm_key_t;

typedef enum
{
  CLM_PENDING,    /* not yet known: read on */
  CLM_GRANTED,    /* first in log order: it may run until its expiry */
  CLM_HELD,       /* another claim of the key was first and may have run */
  CLM_DONE,       /* another claim of the key ran; @status says how it ended */
  CLM_KEY_REUSED, /* the key was claimed with another body */
  CLM_TOO_LATE,   /* granted, but its expiry has passed: it must not run */
  CLM_LOG_DOWN    /* neither granted nor refused by its deadline: it must not run */
} clm_verdict_t;

/** struct clm_result - the answer to one claim */
typedef struct
{
  uint64_t claim_id[2];
  clm_verdict_t verdict;
  uint32_t status; /* HTTP status of the holder that ran */
  void *owner;
} clm_result_t;

clm_t *clm_new (uint64_t horizon_us);
void clm_free (clm_t *clm);

/**
 * clm_request() - ask for a claim
 * @claim_id: the attempt id
 * @expiry_us: not granted after this
 */
void clm_request (clm_t *clm,
                  uint64_t now_us,
                  const uint64_t claim_id[2],
                  const clm_key_t *key,
                  uint64_t expiry_us,
                  void *owner);
/** clm_release() - the claim's attempt did not run and will not */
void clm_release (clm_t *clm, const uint64_t claim_id[2], const clm_key_t *key);
/** clm_done() - the claim's attempt ran */
void clm_done (clm_t *clm, const uint64_t claim_id[2], const clm_key_t *key, uint32_t status);

/**
 * clm_batch() - the record to append now, as text to be freed by g_free(), or NULL
 *
 * At most one append is in flight. Its entries stay in the batch until they are read back: after
 * clm_append_lost() those not found up to the log's end are appended again, under the same ids.
 * Appends keep an interval (claim_pace.h). A done entry alone is held back for up to
 * %LIM_CLAIM_HOLD_US, to go with the next claim or release.
 */
char *clm_batch (clm_t *clm, uint64_t now_us, uint64_t wall_ms);
/** clm_appended() - the append was answered; granted only once read back up to @offset */
void clm_appended (clm_t *clm, uint64_t now_us, uint64_t offset);
/**
 * clm_append_lost() - the append failed or its answer was lost: it may stand in the log
 *
 * Unless it was read back already, new claims are refused at once as CLM_LOG_DOWN until an append
 * works again. clm_batch() goes on to give what is still to be appended.
 */
void clm_append_lost (clm_t *clm, uint64_t now_us);

/**
 * clm_append_refused() - the append certainly took no effect: the log takes no more just now
 *
 * Its entries go with a later append, which is due after a longer interval. Claims that can't be
 * made in time by then are refused at once as CLM_LOG_DOWN; after refusals in a row all are, until
 * an append is taken again.
 */
void clm_append_refused (clm_t *clm, uint64_t now_us);
/** clm_log_down() - reading failed: what is not on its way is refused at once as CLM_LOG_DOWN */
void clm_log_down (clm_t *clm, uint64_t now_us);

/** clm_begin() - the stream's first retained offset, before the first record or after a gap */
void clm_begin (clm_t *clm, uint64_t first_offset);
/** clm_feed() - one record in log order */
void clm_feed (clm_t *clm,
               uint64_t now_us,
               uint64_t wall_ms,
               uint64_t offset,
               const char *data,
               size_t data_bytes);
/** clm_read_to() - everything before @end_offset has been fed, which was the end of the log then */
void clm_read_to (clm_t *clm, uint64_t now_us, uint64_t end_offset);
uint64_t clm_next_offset (const clm_t *clm);
/** clm_wants() - whether anything waits for a read or an append */
bool clm_wants (const clm_t *clm);
/** clm_wants_read() - whether a claim waits to be judged, or a lost append to be looked up */
bool clm_wants_read (const clm_t *clm);
/** clm_due_us() - when clm_batch() may give the next record; UINT64_MAX when none is waiting */
uint64_t clm_due_us (const clm_t *clm);
/** clm_result() - takes the next answer. Return: false when there is none */
bool clm_result (clm_t *clm, uint64_t now_us, clm_result_t *result);
/** clm_key_count() - keys remembered, and released claims */
uint32_t clm_key_count (const clm_t *clm);
uint64_t clm_memory_bytes (const clm_t *clm);
/** clm_broken_count() - entries of records that could not be understood and were skipped */
uint64_t clm_broken_count (const clm_t *clm);

#endif
