#include "process/exchange_mark.h"

#include <glib.h>

#define SEND_WORD 16 /* state of a word that tells of a send; no stream has this number */
/* In the age of a mark of a part. A build that knows no parts takes the mark for outdated. */
#define PART_AGE_BIT (UINT32_C (1) << 31)
#define CONFIRMED_AGE_BIT (UINT32_C (1) << 30)
#define CLAIMED_AGE_BIT (UINT32_C (1) << 29)

/* Gateways of a build without them ignore words of this kind too. Where none is left, the mark goes
 * without what it tells of the send, and may count less or more. */
static void
write_send (xch_message *message, const crash_mark_t *mark)
{
  if (mark->sent_age_ms != UINT32_MAX && message->words.words_len < XCH_WORDS)
    message->words.words_val[message->words.words_len++] =
        (xch_word){ .host_hash = mark->fingerprint,
                    .incarnation = mark->sent_age_ms,
                    .sequence = mark->request,
                    .state = SEND_WORD };
}

static void
read_send (const xch_message *message, crash_mark_t *mark)
{
  for (uint32_t i = 0; i < message->words.words_len; i++)
    {
      const xch_word *word = &message->words.words_val[i];

      if (word->host_hash != mark->fingerprint || word->state != SEND_WORD)
        continue;
      mark->sent_age_ms = (uint32_t)MIN (word->incarnation, UINT32_MAX);
      mark->request = word->sequence;
      return;
    }
}

void
exchange_mark_write (xch_message *message, const crash_mark_t *mark)
{
  uint32_t bits = (mark->kind == CRASH_SUBJECT_PART ? PART_AGE_BIT : 0) |
                  (mark->confirmed ? CONFIRMED_AGE_BIT : 0) | (mark->claimed ? CLAIMED_AGE_BIT : 0);

  G_STATIC_ASSERT (G_N_ELEMENTS (message->marks.marks_val->engines) == CRASH_MARK_PART_ENGINES);
  for (uint32_t part = 0; part < crash_mark_parts (mark); part++)
    {
      xch_mark *out = &message->marks.marks_val[message->marks.marks_len++];

      *out = (xch_mark){ .fingerprint = mark->fingerprint, .age_ms = mark->age_ms | bits };
      for (uint32_t i = 0; i < CRASH_MARK_PART_ENGINES; i++)
        if (part * CRASH_MARK_PART_ENGINES + i < mark->engine_count)
          out->engines[i] = mark->engines[part * CRASH_MARK_PART_ENGINES + i];
    }
  write_send (message, mark);
}

uint32_t
exchange_mark_read (const xch_message *message, uint32_t first, crash_mark_t *mark)
{
  const xch_mark *received = &message->marks.marks_val[first];
  bool is_part = (received->age_ms & PART_AGE_BIT) != 0;
  uint32_t parts = 0;

  *mark = (crash_mark_t){ .fingerprint = received->fingerprint,
                          .kind = is_part ? CRASH_SUBJECT_PART : CRASH_SUBJECT_REQUEST,
                          .age_ms =
                              is_part ? received->age_ms & (CLAIMED_AGE_BIT - 1) : received->age_ms,
                          .confirmed = is_part && (received->age_ms & CONFIRMED_AGE_BIT) != 0,
                          .claimed = is_part && (received->age_ms & CLAIMED_AGE_BIT) != 0,
                          .sent_age_ms = UINT32_MAX };
  read_send (message, mark);
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
