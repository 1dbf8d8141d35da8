/**
 * DOC: claim
 *
 * Guarantees that a request with an idempotency key runs at most once although it is resent. A
 * non-idempotent request with a key is claimed in the log before it runs, and the order of the log
 * decides which claim of a key is granted: there are no leases, and no owner is trusted. One
 * claim_stream_t follows one claims stream ("claims/SERVICE/SHARD"). A pure state machine: the
 * control task does its appends and reads.
 *
 * A record is a JSON array of entries, so that one append carries many:
 *   {"c":CLAIM-ID,"k":KEY-HASH,"b":BODY-HASH,"t":WALL-MS}            a claim; with "g":true, one
 *                                                                   that was granted before
 *   {"r":CLAIM-ID,"k":KEY-HASH}                                     released: it did not run
 *   {"d":CLAIM-ID,"k":KEY-HASH,"s":STATUS}                          done: it ran, with that status
 *
 * The first claim of a free key holds the key; later claims have lost for good. A release frees the
 * key and voids its claim wherever that is in the log: an append whose answer was lost may reach
 * the log after the release, and must not take the key again when nobody would release it. A claim
 * that is given up before it is granted is released here without a call of claim_release(). A key
 * is forgotten a horizon after it was last claimed, by the earlier of the log's time and the
 * reader's clock, so that one host with a wrong clock can't make the others forget keys.
 *
 * When the log comes back from a copy it has lost the newest entries, and begins a new era. Readers
 * keep what they know, claims without a result are given up, and each daemon appends its own recent
 * outcomes again. Until all have, no daemon may request a claim: one that starts meanwhile would be
 * granted a key whose claim the log lost, and the request would run twice.
 */
#ifndef REQUEST_POLICY_CLAIMS_CLAIM_H
#define REQUEST_POLICY_CLAIMS_CLAIM_H

#include "base/position.h"
#include "request/policy/retries/verdict.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct claim_stream claim_stream_t;

/**
 * struct claim_key - what is claimed
 * @key_hash: hash of client account and idempotency key
 * @body_hash: hash of method, path and body
 */
typedef struct
{
  uint64_t key_hash[2];
  uint64_t body_hash;
} claim_key_t;

/** enum claim_verdict - what became of a claim */
typedef enum
{
  CLAIM_PENDING,    /* not known yet */
  CLAIM_GRANTED,    /* it was the first in the log: the request may run until the claim's expiry */
  CLAIM_HELD,       /* another claim of the key was first, and its request may have run */
  CLAIM_DONE,       /* the request of another claim of the key ran */
  CLAIM_KEY_REUSED, /* the key was claimed with another body */
  CLAIM_EXPIRED,    /* it was granted after its expiry: the request must not run */
  CLAIM_LOG_DOWN    /* the log gave no answer in time, or can't: the request must not run */
} claim_verdict_t;

/**
 * struct claim_result - the result of one claim
 * @status: HTTP status of the request that ran, for %CLAIM_DONE
 * @owner: as passed to claim_request()
 */
typedef struct
{
  uint64_t claim_id[2];
  claim_verdict_t verdict;
  uint32_t status;
  void *owner;
} claim_result_t;

/* How long a daemon refuses claims after it has learned of a new era, or has started in one: the
 * others learn of it from each other in this time and append their outcomes. */
#define CLAIM_ERA_PAUSE_US (UINT64_C (6000) * 1000)
/* The outcomes of this time are appended again. A copy is some seconds old. */
#define CLAIM_RECENT_US (UINT64_C (60) * 1000 * 1000)

/** claim_new() - Return: a reader of one stream; @horizon_us: how long keys are remembered */
claim_stream_t *claim_new (uint64_t horizon_us);
void claim_free (claim_stream_t *claim_stream);

/**
 * claim_request() - queues a claim; claim_take_result() gives its result
 * @claim_id: id of the attempt to run the request
 * @expiry_us: the claim is not granted later than this
 * @owner: returned with the result
 */
void claim_request (claim_stream_t *claim_stream,
                    uint64_t now_us,
                    const uint64_t claim_id[2],
                    const claim_key_t *key,
                    uint64_t expiry_us,
                    void *owner);
/** claim_release() - the request of the claim did not run and will not */
void
claim_release (claim_stream_t *claim_stream, const uint64_t claim_id[2], const claim_key_t *key);
/** claim_finish() - the request of the claim ran and ended with the HTTP status @status */
void claim_finish (claim_stream_t *claim_stream,
                   const uint64_t claim_id[2],
                   const claim_key_t *key,
                   uint32_t status);

/**
 * claim_next_batch() - Return: the record to append now, to be freed by g_free(), or NULL
 *
 * At most one append is in flight, and one of the next three functions tells its end. After
 * claim_append_lost() the entries that aren't found up to the end of the log are appended again,
 * with the same ids. Appends keep an interval (claim_pace.h). A done entry alone is deferred for up
 * to %LIMIT_CLAIM_BATCH_DELAY_US, to share an append with the next claim or release.
 */
char *claim_next_batch (claim_stream_t *claim_stream, uint64_t now_us, uint64_t wall_ms);
/** claim_append_succeeded() - the append succeeded; its claims are granted once they are read back
 */
void claim_append_succeeded (claim_stream_t *claim_stream, uint64_t now_us);
/**
 * claim_append_lost() - the append failed or got no answer: it may be in the log or reach it later
 *
 * Unless its entries were read back already, new claims are refused at once as %CLAIM_LOG_DOWN
 * until an append succeeds. claim_next_batch() still returns the entries that are to be appended.
 */
void claim_append_lost (claim_stream_t *claim_stream, uint64_t now_us);

/**
 * claim_append_refused() - the log refused the append as it takes no more now: it had no effect
 *
 * Its entries go with a later append, after a longer interval. Claims that can't be appended in
 * time are refused at once as %CLAIM_LOG_DOWN; after several refusals in a row all new claims are,
 * until an append succeeds.
 */
void claim_append_refused (claim_stream_t *claim_stream, uint64_t now_us);
/** claim_read_failed() - a read failed: claims that aren't appended yet get %CLAIM_LOG_DOWN at once
 */
void claim_read_failed (claim_stream_t *claim_stream, uint64_t now_us);

/** claim_begin_era() - the log came back from a copy: gives up the claims without a result, queues
 * the own recent outcomes, and reads from the beginning of @era */
void claim_begin_era (claim_stream_t *claim_stream, uint64_t now_us, uint64_t era);
/** claim_set_first() - sets the first position that the stream still has, before the first record
 * and after a gap; a position of another era than the reader's is ignored here and below */
void claim_set_first (claim_stream_t *claim_stream, position_t first);
/** claim_apply_record() - applies one record; records come in the order of the log, repeated ones
 * are ignored
 */
void claim_apply_record (claim_stream_t *claim_stream,
                         uint64_t now_us,
                         uint64_t wall_ms,
                         position_t position,
                         const char *data,
                         size_t data_bytes);
/** claim_read_to_end() - a read has applied all records before @end, the end of the log at that
 * time */
void claim_read_to_end (claim_stream_t *claim_stream, uint64_t now_us, position_t end);
/** claim_next() - Return: position of the record to read next */
position_t claim_next (const claim_stream_t *claim_stream);
/** claim_has_work() - whether a claim is pending, or an entry is to be appended or looked up */
bool claim_has_work (const claim_stream_t *claim_stream);
/** claim_needs_read() - whether a claim is pending, or a lost append is to be looked up */
bool claim_needs_read (const claim_stream_t *claim_stream);
/** claim_append_due_us() - Return: when claim_next_batch() may give the next record; UINT64_MAX
 * when nothing is queued or an append is in flight */
uint64_t claim_append_due_us (const claim_stream_t *claim_stream);
/** claim_take_result() - takes the next result. Return: false when there is none */
bool claim_take_result (claim_stream_t *claim_stream, uint64_t now_us, claim_result_t *result);
/** claim_key_count() - Return: number of keys and released claims that are remembered */
uint32_t claim_key_count (const claim_stream_t *claim_stream);
/** claim_memory_bytes() - Return: size of the table of keys */
uint64_t claim_memory_bytes (const claim_stream_t *claim_stream);
/** claim_malformed_count() - Return: number of malformed entries and records, which were skipped */
uint64_t claim_malformed_count (const claim_stream_t *claim_stream);

#endif
