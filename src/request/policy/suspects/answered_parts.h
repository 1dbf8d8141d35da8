/**
 * DOC: answered_parts
 *
 * The shared parts of the prompts that a service answered last. A part is to blame for the ends of
 * engines only where requests without it are answered: one that all requests of a service have
 * can't be told from the service itself.
 */
#ifndef REQUEST_POLICY_SUSPECTS_ANSWERED_PARTS_H
#define REQUEST_POLICY_SUSPECTS_ANSWERED_PARTS_H

#include "request/policy/suspects/crash_record.h"

#define ANSWERED_PARTS_ANSWERS 8 /* answers that are remembered */
#define ANSWERED_PARTS_BITS 4096 /* of the set of parts of each */

/** struct answered_parts_answer - the parts of one prompt, each as a bit that others may share */
typedef struct
{
  uint64_t bits[ANSWERED_PARTS_BITS / 64];
} answered_parts_answer_t;

/** struct answered_parts - the last answers of a service; zeroed at first; @count: of all answers
 * so far
 */
typedef struct
{
  answered_parts_answer_t answers[ANSWERED_PARTS_ANSWERS];
  uint32_t count;
} answered_parts_t;

/** answered_parts_add() - a request with these subjects was answered */
void
answered_parts_add (answered_parts_t *answered, const crash_subject_t *subjects, uint32_t count);
/** answered_parts_lack() - whether one of the answers was certainly to a request without the part
 */
bool answered_parts_lack (const answered_parts_t *answered, uint64_t fingerprint);

#endif
