/**
 * DOC: manifest_reader
 *
 * Reads the manifest stream and applies it to a replay, the same code as in the daemons, so that
 * the tool accepts and rejects the same records as they do.
 */
#ifndef CTL_MANIFEST_READER_H
#define CTL_MANIFEST_READER_H

#include "ctl.h"
#include "version/replay.h"

/**
 * struct manifest_reader - reader of the manifest stream
 * @ctl: the run that the reader belongs to
 * @replay: state after the records read so far
 * @on_result: called with the result of each record, or NULL
 * @context: passed to @on_result
 * @at_end: whether the last read reached the end of the stream
 * @outcome: outcome of the last read
 */
typedef struct
{
  ctl_t *ctl;
  replay_t *replay;
  void (*on_result) (const replay_result_t *result, uint64_t offset, void *context);
  void *context;
  bool at_end;
  platform_outcome_t outcome;
} manifest_reader_t;

/** manifest_reader_init() - initialize a reader at the start of the stream */
void manifest_reader_init (manifest_reader_t *reader, ctl_t *ctl);
/** manifest_reader_clear() - free what the reader holds */
void manifest_reader_clear (manifest_reader_t *reader);
/** manifest_reader_read() - read once, waiting up to @wait_ms for new records. Return: its outcome
 */
platform_outcome_t manifest_reader_read (manifest_reader_t *reader, uint32_t wait_ms);
/**
 * manifest_reader_catch_up() - read to the end of the stream, with retries until the deadline
 *
 * If the stream no longer holds enough records to tell what is in force, asks the daemon that
 * --daemon names.
 *
 * Return: CTL_OK when the manifest in force is known, or it is known that none was published;
 * otherwise an error, which has been printed
 */
ctl_exit_t manifest_reader_catch_up (manifest_reader_t *reader);

#endif
