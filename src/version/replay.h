/**
 * DOC: replay
 *
 * Replays the records of the manifest stream, in log order, to derive the version in force. This is
 * a deterministic state machine without I/O: all readers of the same records reach the same verdict
 * on each of them, so daemons need no further agreement. The version in force never decreases.
 *
 * Records are JSON:
 *   {"kind":"publish","id":ID,"base":N,"by":WHO,"manifest":{...}}   or "patch":{...}
 *   {"kind":"checkpoint","version":N,"as_of":K,"manifest":{...}}
 * A publish is accepted iff its base is the version in force at its position in the log and its
 * manifest is valid. A checkpoint states the version in force after the record at offset K; a new
 * reader uses it only if it can also read the record at K+1 and all later ones.
 */
#ifndef VERSION_REPLAY_H
#define VERSION_REPLAY_H

#include "version/manifest.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define REPLAY_STREAM "manifest" /* name of the stream on the platform */

typedef struct replay replay_t;

typedef enum
{
  REPLAY_ACCEPTED,        /* a publish that is now in force */
  REPLAY_STALE_BASE,      /* a publish whose base is not the version in force */
  REPLAY_INVALID,         /* a publish with an invalid manifest, or an invalid record */
  REPLAY_REPEATED,        /* a rejected publish whose id was processed before */
  REPLAY_CHECKPOINT_USED, /* replay continues from this checkpoint */
  REPLAY_CHECKPOINT_SEEN, /* a checkpoint that was not needed or can't be used */
  REPLAY_SKIPPED          /* not the next record, or a publish read before the state is known */
} replay_verdict_t;

/**
 * struct replay_result - the outcome of one record
 * @id: publish id; "" when the record is no publish
 * @version: the version in force after the record; 0 when there is none
 * @reason: why the record was not accepted, for the operator who published it
 */
typedef struct
{
  replay_verdict_t verdict;
  char id[LIMIT_NAME_BYTES];
  uint64_t version;
  char reason[256];
} replay_result_t;

replay_t *replay_new (void);
void replay_free (replay_t *replay);

/**
 * replay_set_first_offset() - set the first offset that the log still retains
 *
 * Must be called before the first record, and before the records of each further read.
 *
 * A new reader whose @first_offset is 0 can read the whole log; any other becomes ready only after
 * a usable checkpoint. When records before @first_offset were lost unread (@first_offset is greater
 * than replay_next_offset()), the reader keeps its version but is not ready until such a
 * checkpoint.
 */
void replay_set_first_offset (replay_t *replay, uint64_t first_offset);

/**
 * replay_set_end_offset() - set the end of the log that a read returned, before its records are
 * replayed
 *
 * A reader that is not ready becomes ready only after it has processed all records before
 * @end_offset: a daemon that just started must not serve with a version that was replaced long
 *   ago. A reader that is ready stays ready when the log grows.
 */
void replay_set_end_offset (replay_t *replay, uint64_t end_offset);

/**
 * replay_apply() - process one record, in log order
 *
 * Offsets increase by one. A record other than the one at replay_next_offset() is skipped. A
 * checkpoint may move replay_next_offset() back to the first record that it does not include, so
 * each read has to start at replay_next_offset().
 */
replay_result_t
replay_apply (replay_t *replay, uint64_t offset, const char *data, size_t data_bytes);

/**
 * replay_adopt() - take over the state of a peer
 * @manifest: in force after all records before @next_offset
 *
 * Return: true when the state was taken over; then replay_next_offset() is @next_offset, and the
 * replay holds a reference to @manifest. A state is rejected when it is older than the own one, or
 * when the log no longer retains the records that follow it.
 */
bool replay_adopt (replay_t *replay, manifest_t *manifest, uint64_t next_offset);

/** replay_is_ready() - whether the version in force is known and up to date; a daemon that has no
 * version yet must not use replay_manifest() before */
bool replay_is_ready (const replay_t *replay);
/** replay_manifest() - the version in force, borrowed, or NULL */
manifest_t *replay_manifest (const replay_t *replay);
/** replay_next_offset() - offset of the next record to process */
uint64_t replay_next_offset (const replay_t *replay);
/** replay_is_unpublished() - whether the whole log was read and no version was ever in force */
bool replay_is_unpublished (const replay_t *replay);
/** replay_publisher() - who published the version in force; "" when unknown */
const char *replay_publisher (const replay_t *replay);

/**
 * replay_checkpoint_due() - whether a new checkpoint should be appended to the log
 * @publishes_between: number of publishes after which a checkpoint is due
 *
 * A checkpoint is also due when the log no longer retains all records after the newest one, because
 * a new reader can't use it then.
 */
bool replay_checkpoint_due (const replay_t *replay, uint64_t publishes_between);
/** replay_format_checkpoint() - format a checkpoint of the current state; free with g_free().
 * Return: NULL when the replay is not ready */
char *replay_format_checkpoint (const replay_t *replay);
/** replay_format_publish() - format a publish; exactly one of @manifest and @patch is NULL. Free
 * the text with g_free() */
char *replay_format_publish (const char *id,
                             uint64_t base,
                             const char *publisher,
                             const json_t *manifest,
                             const json_t *patch);

#endif
