/**
 * DOC: replay
 *
 * Turns the records of the manifest stream, in log order, into the version in force. A pure state
 * machine: every reader of the same records comes to the same verdict on each of them, so no
 * daemon has to agree with another. A version in force never goes back.
 *
 * Records are JSON:
 *   {"kind":"publish","id":ID,"base":N,"by":WHO,"manifest":{...}}   or "patch":{...}
 *   {"kind":"checkpoint","version":N,"as_of":K,"manifest":{...}}
 * A publish is accepted iff its base is the version in force when it is read and its manifest is
 * valid. A checkpoint tells what was in force after the record at offset K; a reader that starts
 * fresh trusts it only if it can also read K+1 and all that follows.
 */
#ifndef VERSION_REPLAY_H
#define VERSION_REPLAY_H

#include "version/manifest.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define REP_STREAM "manifest"

typedef struct rep rep_t;

typedef enum
{
  REP_ACCEPTED,   /* a publish that came into force */
  REP_STALE_BASE, /* a publish that lost a race */
  REP_INVALID,    /* a publish whose manifest does not check, or a broken record */
  REP_REPEATED,   /* a publish id that was judged before */
  REP_CHECKPOINT_USED,
  REP_CHECKPOINT_SEEN, /* a checkpoint that told nothing new */
  REP_SKIPPED          /* not the next record, or a publish that can't be judged yet */
} rep_verdict_t;

/**
 * struct rep_judgement - what became of one record
 * @id: publish id, or ""
 * @version: the version in force after it
 * @reason: for a refused publish, what to tell its operator
 */
typedef struct
{
  rep_verdict_t verdict;
  char id[LIM_NAME_BYTES];
  uint64_t version;
  char reason[256];
} rep_judgement_t;

rep_t *rep_new (void);
void rep_free (rep_t *rep);

/**
 * rep_begin() - the log's first retained offset, told before the first record and on a gap
 *
 * A fresh reader whose @first_offset is 0 has seen everything; otherwise it is not ready until a
 * checkpoint that it may trust. A reader that falls behind retention (@first_offset beyond
 * rep_next_offset()) keeps its version but is no longer current until such a checkpoint.
 */
void rep_begin (rep_t *rep, uint64_t first_offset);

/**
 * rep_note_end() - the end of the log as a read saw it, told before its records are fed
 *
 * A reader that is not ready does not become so before it has judged all records up to there: a
 * daemon that just started must not serve under a version that was replaced long ago. Later ends
 * do not make a ready reader unready.
 */
void rep_note_end (rep_t *rep, uint64_t end_offset);

/**
 * rep_feed() - one record, in log order
 *
 * Offsets go up by one. A record other than the one at rep_next_offset() is skipped. Using a
 * checkpoint may move rep_next_offset() back to the first record that it does not take in, so each
 * read starts from rep_next_offset().
 */
rep_judgement_t rep_feed (rep_t *rep, uint64_t offset, const char *data, size_t data_bytes);

/**
 * rep_adopt() - a state told by a peer: @man was in force after all records before @next_offset
 *
 * Return: whether it was of use; then rep_next_offset() is @next_offset, and @man has one more
 * reference. A state that is older than what is known, or that records after it can no longer be
 * read for, is not.
 */
bool rep_adopt (rep_t *rep, man_t *man, uint64_t next_offset);

/** rep_ready() - whether a version in force is known and current; until then it must not be used by
 * a daemon that has none yet */
bool rep_ready (const rep_t *rep);
/** rep_manifest() - the version in force, borrowed, or NULL */
man_t *rep_manifest (const rep_t *rep);
uint64_t rep_next_offset (const rep_t *rep);
/** rep_unpublished() - whether all records were seen and none brought a version into force */
bool rep_unpublished (const rep_t *rep);
/** rep_by() - who published the version in force, "" when that is not known */
const char *rep_by (const rep_t *rep);

/**
 * rep_checkpoint_due() - whether the newest checkpoint is so old that one should be appended
 * @records_between: checkpoint after this many publishes
 *
 * It is due as well when records after the newest one are no longer retained, for then no fresh
 * reader can trust it.
 */
bool rep_checkpoint_due (const rep_t *rep, uint64_t records_between);
/** rep_checkpoint_record() - the record to append, to be freed by g_free(); NULL when not ready */
char *rep_checkpoint_record (const rep_t *rep);
/** rep_publish_record() - a publish record; one of @manifest and @patch is NULL */
char *rep_publish_record (
    const char *id, uint64_t base, const char *by, const json_t *manifest, const json_t *patch);

#endif
