/**
 * DOC: hop_move
 *
 * Decides whether a request leaves an engine that is silent. An engine may be silent for a second
 * or two and go on, and then its answer is still the one that the client waits for. So the attempt
 * is given up only when all that another one needs is there; until then it stays, and the question
 * is asked again. A pure function.
 */
#ifndef REQUEST_POLICY_RETRIES_HOP_MOVE_H
#define REQUEST_POLICY_RETRIES_HOP_MOVE_H

#include <stdbool.h>
#include <stdint.h>

/* Of the time that a response usually takes to begin, in thousandths, that must be left for another
 * attempt: with less the silent engine is as likely to answer first. */
#define HOP_MOVE_TIME_MILLI 1500

/** enum hop_move - whether the attempt is given up, or what is missing for another one */
typedef enum
{
  HOP_MOVE_NOW,
  HOP_MOVE_NO_ATTEMPT, /* the request may run at no other engine */
  HOP_MOVE_ON_TRIAL,   /* engines may have ended under it, so it must not be sent to another one */
  HOP_MOVE_NO_TIME,
  HOP_MOVE_NO_BUDGET, /* of retries */
  HOP_MOVE_NO_ENGINE  /* no engine that is surely sound has room for it */
} hop_move_t;

/**
 * struct hop_move_state - a request at a silent engine
 * @may_move: its plan allows another attempt
 * @on_trial: see %HOP_MOVE_ON_TRIAL
 * @left_us: time until its deadline
 * @usual_us: usual time from sending a request to the response header
 * @budget_wait_us: time until the retry budget allows a retry
 * @has_successor: Return: whether another engine can take it now; called only if that matters
 * @context: argument of @has_successor
 */
typedef struct
{
  bool may_move;
  bool on_trial;
  uint64_t left_us;
  uint64_t usual_us;
  uint64_t budget_wait_us;
  bool (*has_successor) (void *context);
  void *context;
} hop_move_state_t;

hop_move_t hop_move_decide (const hop_move_state_t *state);
/** hop_move_to_string() - the decision as a word for the log */
const char *hop_move_to_string (hop_move_t hop_move);

#endif
