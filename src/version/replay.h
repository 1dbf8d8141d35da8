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
 *   {"kind":"restore","version":N,"manifest":{...}}
 * When the log comes back from a copy it may lack the newest publishes, and begins a new era. A
 * reader that had a later version keeps it in force and appends a restore; that version is in force
 * for all readers then, if it is higher than what the log has. Publishes are decided by the log
 * alone.
 */
#ifndef VERSION_REPLAY_H
#define VERSION_REPLAY_H

#include "base/position.h"
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
  REPLAY_RESTORED,        /* a restore of a version that the log had lost */
  REPLAY_RESTORE_SEEN,    /* a restore of a version that is not higher than the log's */
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
 * replay_set_first() - set the first position that the log still retains
 *
 * Must be called before the first record, and before the records of each further read.
 *
 * A new reader whose @first is at offset 0 can read the whole log; any other becomes ready only
 * after a usable checkpoint. When records before @first were lost unread (@first is after
 * replay_next()), the reader keeps its version but is not ready until such a checkpoint. When
 * @first is of a later era, the reader begins anew there; it keeps its version, and stays ready
 * with it. A @first of an era before is ignored.
 */
void replay_set_first (replay_t *replay, position_t first);

/**
 * replay_set_end() - set the end of the log that a read returned, before its records are replayed
 *
 * A reader that is not ready becomes ready only after it has processed all records before @end: a
 * daemon that just started must not serve with a version that was replaced long ago. A reader that
 * is ready stays ready when the log grows.
 */
void replay_set_end (replay_t *replay, position_t end);

/**
 * replay_apply() - process one record, in log order
 *
 * Offsets increase by one. A record other than the one at replay_next() is skipped. A checkpoint
 * may move replay_next() back to the first record that it does not include, so each read has to
 * start at replay_next().
 */
replay_result_t
replay_apply (replay_t *replay, position_t position, const char *data, size_t data_bytes);

/**
 * replay_adopt() - take over the state of a peer
 * @manifest: in force after all records before @next
 *
 * Return: true when the state was taken over; then replay_next() is @next, and the replay holds a
 * reference to @manifest. A state is rejected when it is older than the own one, or when the log no
 * longer retains the records that follow it.
 */
bool replay_adopt (replay_t *replay, manifest_t *manifest, position_t next);

/** replay_is_ready() - whether the version in force is known and up to date; a daemon that has no
 * version yet must not use replay_manifest() before */
bool replay_is_ready (const replay_t *replay);
/** replay_manifest() - the version in force, borrowed, or NULL */
manifest_t *replay_manifest (const replay_t *replay);
/** replay_next() - position of the next record to process */
position_t replay_next (const replay_t *replay);
/** replay_is_confirmed() - whether the log has the version in force, so that a reader which adopts
 * it can continue at replay_next() */
bool replay_is_confirmed (const replay_t *replay);
/** replay_restore_due() - whether the log has been read to its end and lacks the version in force
 */
bool replay_restore_due (const replay_t *replay);
/** replay_format_restore() - format a restore of the version in force; free with g_free() */
char *replay_format_restore (const replay_t *replay);
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
