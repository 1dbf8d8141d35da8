/**
 * DOC: follow
 *
 * Reads the manifest stream into a replay, as a daemon does it, so that the tool comes to the same
 * verdicts.
 */
#ifndef CTL_FOLLOW_H
#define CTL_FOLLOW_H

#include "ctl.h"
#include "version/replay.h"

/**
 * struct fol - a reading of the manifest stream
 * @judged: called for each record, or NULL
 * @at_end: whether the last read came to the end of the log
 * @outcome: of the last read
 */
typedef struct
{
  ctl_t *ctl;
  rep_t *rep;
  void (*judged) (const rep_judgement_t *judgement, uint64_t offset, void *context);
  void *context;
  bool at_end;
  plt_outcome_t outcome;
} fol_t;

void fol_start (fol_t *fol, ctl_t *ctl);
void fol_end (fol_t *fol);
/** fol_read() - one read, which waits up to @wait_ms for news. Return: its outcome */
plt_outcome_t fol_read (fol_t *fol, uint32_t wait_ms);
/**
 * fol_catch_up() - read to the end of the log, trying again until the deadline
 *
 * Return: CTL_OK when it is known what is in force or that nothing was ever published; else the
 * tool has complained. When the log alone does not tell, the daemon of --daemon is asked.
 */
ctl_exit_t fol_catch_up (fol_t *fol);

#endif
