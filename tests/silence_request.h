/**
 * DOC: silence_request
 *
 * Requests of callers before the upstreams of a silence_rig, and what became of them. Each stream,
 * lookup or booking is sent under an id of its own; its answer is checked from the caller's side.
 */
#ifndef TESTS_SILENCE_REQUEST_H
#define TESTS_SILENCE_REQUEST_H

#include "silence_rig.h"

/** enum silence_kind - Kinds of requests. */
typedef enum
{
  SILENCE_STREAM,
  SILENCE_LOOKUP,
  SILENCE_BOOKING,
  SILENCE_KINDS
} silence_kind_t;

/**
 * enum silence_ending - What became of a request, from the view of its caller.
 * @SILENCE_WHOLE: A complete and correct answer.
 * @SILENCE_REFUSED: 503.
 * @SILENCE_OVER_TIME: None of these, after the time of its route.
 * @SILENCE_TIMED_OUT: 504 before that time; the following came before it, too.
 * @SILENCE_FAILED: 502.
 * @SILENCE_CUT: The connection was closed inside the answer.
 * @SILENCE_UNANSWERED: The connection was closed before the answer.
 * @SILENCE_CROSSED: Likewise, but it was sent on a kept connection and was not passed on.
 * @SILENCE_WRONG: A complete answer that is not the right one.
 */
typedef enum
{
  SILENCE_WHOLE,
  SILENCE_REFUSED,
  SILENCE_OVER_TIME,
  SILENCE_TIMED_OUT,
  SILENCE_FAILED,
  SILENCE_CUT,
  SILENCE_UNANSWERED,
  SILENCE_CROSSED,
  SILENCE_WRONG,
  SILENCE_ENDINGS
} silence_ending_t;

/**
 * struct silence_request - A request that was sent.
 * @is_reused: It was sent on a kept connection after another request.
 */
typedef struct
{
  char id[32];
  silence_kind_t kind;
  uint32_t gateway;
  driver_call_t *call;
  bool is_reused;
} silence_request_t;

/** struct silence_tally - What became of a number of requests. */
typedef struct
{
  uint32_t counts[SILENCE_KINDS][SILENCE_ENDINGS];
  uint32_t lost;
  uint32_t ran_twice;       /* bookings */
  uint32_t refused_but_ran; /* likewise */
} silence_tally_t;

/** silence_request_send() - Send a request, on the connection of @before if that is still open;
 * @before may be NULL. */
silence_request_t *silence_request_send (const silence_rig_t *rig,
                                         const char *id,
                                         silence_kind_t kind,
                                         uint32_t gateway,
                                         const silence_request_t *before);
/** silence_tally_add() - Count an ended request; @runs is how often it began at an upstream. */
silence_ending_t
silence_tally_add (silence_tally_t *tally, const silence_request_t *request, uint32_t runs);
/** silence_tally_sum() - Return: How many requests of all kinds had this ending. */
uint32_t silence_tally_sum (const silence_tally_t *tally, silence_ending_t ending);
void silence_tally_print (const silence_tally_t *tally);
/** silence_request_print() - Print a request and its ending; @start_us is the start of the play. */
void silence_request_print (const silence_request_t *request,
                            silence_ending_t ending,
                            uint64_t start_us,
                            uint32_t runs);

#endif
