#include "request/policy/suspects/answered_parts.h"

void
answered_parts_add (answered_parts_t *answered, const crash_subject_t *subjects, uint32_t count)
{
  answered_parts_answer_t answer = { 0 };

  for (uint32_t i = 0; i < count; i++)
    {
      if (subjects[i].kind != CRASH_SUBJECT_PART)
        continue;
      if (answer.count == ANSWERED_PARTS_PER_ANSWER)
        return;
      answer.parts[answer.count++] = subjects[i].fingerprint;
    }
  answered->answers[answered->count++ % ANSWERED_PARTS_ANSWERS] = answer;
}

static bool
has_part (const answered_parts_answer_t *answer, uint64_t fingerprint)
{
  for (uint32_t i = 0; i < answer->count; i++)
    if (answer->parts[i] == fingerprint)
      return true;
  return false;
}

bool
answered_parts_lack (const answered_parts_t *answered, uint64_t fingerprint)
{
  for (uint32_t i = 0; i < ANSWERED_PARTS_ANSWERS && i < answered->count; i++)
    if (!has_part (&answered->answers[i], fingerprint))
      return true;
  return false;
}
