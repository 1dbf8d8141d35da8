#include "process/exchange_mark.h"

#include <glib.h>

#define SENT_AGE_WORD 16 /* state of a word with the age of a send; no stream has this number */
/* In the age of a mark of a part. A build that knows no parts takes the mark for outdated. */
#define PART_AGE_BIT (UINT32_C (1) << 31)

/* Gateways of a build without them ignore words of this kind too. Where none is left, the mark goes
 * without the age of its send, and may count less. */
static void
write_sent_age (xch_message *message, const crash_mark_t *mark)
{
  if (mark->sent_age_ms != UINT32_MAX && message->words.words_len < XCH_WORDS)
    message->words.words_val[message->words.words_len++] = (xch_word){
      .host_hash = mark->fingerprint, .incarnation = mark->sent_age_ms, .state = SENT_AGE_WORD
    };
}

static uint32_t
read_sent_age (const xch_message *message, uint64_t fingerprint)
{
  for (uint32_t i = 0; i < message->words.words_len; i++)
    {
      const xch_word *word = &message->words.words_val[i];

      if (word->host_hash == fingerprint && word->state == SENT_AGE_WORD)
        return (uint32_t)MIN (word->incarnation, UINT32_MAX);
    }
  return UINT32_MAX;
}

void
exchange_mark_write (xch_message *message, const crash_mark_t *mark)
{
  uint32_t kind_bit = mark->kind == CRASH_SUBJECT_PART ? PART_AGE_BIT : 0;

  G_STATIC_ASSERT (G_N_ELEMENTS (message->marks.marks_val->engines) == CRASH_MARK_PART_ENGINES);
  for (uint32_t part = 0; part < crash_mark_parts (mark); part++)
    {
      xch_mark *out = &message->marks.marks_val[message->marks.marks_len++];

      *out = (xch_mark){ .fingerprint = mark->fingerprint, .age_ms = mark->age_ms | kind_bit };
      for (uint32_t i = 0; i < CRASH_MARK_PART_ENGINES; i++)
        if (part * CRASH_MARK_PART_ENGINES + i < mark->engine_count)
          out->engines[i] = mark->engines[part * CRASH_MARK_PART_ENGINES + i];
    }
  write_sent_age (message, mark);
}

uint32_t
exchange_mark_read (const xch_message *message, uint32_t first, crash_mark_t *mark)
{
  const xch_mark *received = &message->marks.marks_val[first];
  uint32_t parts = 0;

  *mark = (crash_mark_t){ .fingerprint = received->fingerprint,
                          .kind = received->age_ms & PART_AGE_BIT ? CRASH_SUBJECT_PART
                                                                  : CRASH_SUBJECT_REQUEST,
                          .age_ms = received->age_ms & ~PART_AGE_BIT,
                          .sent_age_ms = read_sent_age (message, received->fingerprint) };
  while (first + parts < message->marks.marks_len &&
         received[parts].fingerprint == mark->fingerprint)
    {
      for (uint32_t i = 0; i < CRASH_MARK_PART_ENGINES; i++)
        if (received[parts].engines[i] != 0 && mark->engine_count < CRASH_MARK_ENGINES)
          mark->engines[mark->engine_count++] = received[parts].engines[i];
      parts++;
    }
  return parts;
}
