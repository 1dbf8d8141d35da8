#include "request/policy/suspects/answered_parts.h"

#define WORD_BITS 64

static uint64_t
mask_of (uint64_t fingerprint)
{
  return UINT64_C (1) << fingerprint % WORD_BITS;
}

static uint32_t
word_of (uint64_t fingerprint)
{
  return (uint32_t)(fingerprint % ANSWERED_PARTS_BITS / WORD_BITS);
}

void
answered_parts_add (answered_parts_t *answered, const crash_subject_t *subjects, uint32_t count)
{
  answered_parts_answer_t answer = { 0 };

  for (uint32_t i = 0; i < count; i++)
    if (subjects[i].kind == CRASH_SUBJECT_PART)
      answer.bits[word_of (subjects[i].fingerprint)] |= mask_of (subjects[i].fingerprint);
  answered->answers[answered->count++ % ANSWERED_PARTS_ANSWERS] = answer;
}

static bool
may_have_part (const answered_parts_answer_t *answer, uint64_t fingerprint)
{
  return (answer->bits[word_of (fingerprint)] & mask_of (fingerprint)) != 0;
}

bool
answered_parts_lack (const answered_parts_t *answered, uint64_t fingerprint)
{
  for (uint32_t i = 0; i < ANSWERED_PARTS_ANSWERS && i < answered->count; i++)
    if (!may_have_part (&answered->answers[i], fingerprint))
      return true;
  return false;
}
