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
  REP_CHECKPOINT_SEEN /* a checkpoint that told nothing new */
} rep_verdict_t;

/**
 * struct rep_judgement - what became of one record
 * @id: publish id, or "" ; valid until the next record
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

/** rep_feed() - one record, in log order */
rep_judgement_t rep_feed (rep_t *rep, uint64_t offset, const char *data, size_t data_bytes);

/** rep_adopt() - a state told by a peer: @man was in force after all records before @next_offset */
bool rep_adopt (rep_t *rep, man_t *man, uint64_t next_offset);

/** rep_ready() - whether a version in force is known and current */
bool rep_ready (const rep_t *rep);
/** rep_manifest() - the version in force, borrowed, or NULL */
man_t *rep_manifest (const rep_t *rep);
uint64_t rep_next_offset (const rep_t *rep);

/**
 * rep_checkpoint_due() - whether the newest checkpoint is so old that one should be appended
 * @records_between: checkpoint after this many records
 */
bool rep_checkpoint_due (const rep_t *rep, uint64_t records_between);
/** rep_checkpoint_record() - the record to append, as text to be freed by g_free() */
char *rep_checkpoint_record (const rep_t *rep);
/** rep_publish_record() - a publish record; one of @manifest and @patch is NULL */
char *rep_publish_record (
    const char *id, uint64_t base, const char *by, const json_t *manifest, const json_t *patch);

#endif
