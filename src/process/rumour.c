#include "process/rumour.h"

#include "base/clock.h"

#include <glib.h>
#include <string.h>

static rmr_word_t *
word_slot (rmr_t *rmr, uint64_t host_hash)
{
  rmr_word_t *spent = &rmr->words[0];
  for (uint32_t i = 0; i < RMR_SLOTS; i++)
    {
      rmr_word_t *slot = &rmr->words[i];
      if (slot->word.host_hash == host_hash)
        return slot;
      if (slot->sends_left < spent->sends_left)
        spent = slot;
    }
  return spent;
}

static rmr_mark_t *
mark_slot (rmr_t *rmr, uint64_t fingerprint)
{
  rmr_mark_t *spent = &rmr->marks[0];
  for (uint32_t i = 0; i < RMR_SLOTS; i++)
    {
      rmr_mark_t *slot = &rmr->marks[i];
      if (slot->mark.fingerprint == fingerprint)
        return slot;
      if (slot->sends_left < spent->sends_left)
        spent = slot;
    }
  return spent;
}

static bool
names_engine (const sus_mark_t *mark, uint64_t engine_hash)
{
  for (uint32_t i = 0; i < LIM_SUSPECT_CRASHES; i++)
    {
      if (mark->engines[i] == engine_hash)
        return true;
    }
  return false;
}

/* Adds the engines of @more to @mark. Return: whether one was new. */
static bool
merge_engines (sus_mark_t *mark, const sus_mark_t *more)
{
  bool added = false;
  for (uint32_t i = 0; i < LIM_SUSPECT_CRASHES; i++)
    {
      if (more->engines[i] == 0 || names_engine (mark, more->engines[i]))
        continue;
      for (uint32_t j = 0; j < LIM_SUSPECT_CRASHES; j++)
        {
          if (mark->engines[j] != 0)
            continue;
          mark->engines[j] = more->engines[i];
          added = true;
          break;
        }
    }
  return added;
}

static rmr_word_t *
least_sent_word (rmr_t *rmr, const bool *taken)
{
  rmr_word_t *best = NULL;
  for (uint32_t i = 0; i < RMR_SLOTS; i++)
    {
      rmr_word_t *slot = &rmr->words[i];
      if (taken[i] || slot->sends_left == 0)
        continue;
      if (best == NULL || slot->sends_left > best->sends_left)
        best = slot;
    }
  return best;
}

static rmr_mark_t *
least_sent_mark (rmr_t *rmr, uint64_t now_us, const bool *taken)
{
  rmr_mark_t *best = NULL;
  for (uint32_t i = 0; i < RMR_SLOTS; i++)
    {
      rmr_mark_t *slot = &rmr->marks[i];
      if (taken[i] || slot->sends_left == 0 || now_us - slot->made_us > RMR_MARK_AGE_US)
        continue;
      if (best == NULL || slot->sends_left > best->sends_left)
        best = slot;
    }
  return best;
}

void
rmr_init (rmr_t *rmr)
{
  memset (rmr, 0, sizeof *rmr);
}

void
rmr_add_word (rmr_t *rmr, const mem_word_t *word)
{
  rmr_word_t *slot = word_slot (rmr, word->host_hash);
  slot->word = *word;
  slot->sends_left = RMR_SENDS;
}

/* Return: whether it is news, which a mark is not that the slot holds as cleared since */
static bool
note_mark (rmr_mark_t *slot, const sus_mark_t *mark, uint64_t made_us)
{
  bool known = slot->mark.fingerprint == mark->fingerprint;
  bool cleared = known && sus_is_cleared (&slot->mark);

  if (sus_is_cleared (mark))
    {
      if (cleared)
        return false;
      slot->mark = *mark;
      return true;
    }
  if (cleared && made_us <= slot->made_us)
    return false;
  if (!known)
    memset (slot, 0, sizeof *slot);
  slot->mark.fingerprint = mark->fingerprint;
  return merge_engines (&slot->mark, mark);
}

bool
rmr_add_mark (rmr_t *rmr, uint64_t now_us, const sus_mark_t *mark)
{
  uint64_t age_us = (uint64_t)mark->age_ms * CLK_US_PER_MS;
  if (age_us > RMR_MARK_AGE_US)
    return false;
  rmr_mark_t *slot = mark_slot (rmr, mark->fingerprint);
  uint64_t made_us = now_us - MIN (age_us, now_us);
  if (!note_mark (slot, mark, made_us))
    return false;
  slot->made_us = made_us;
  slot->sends_left = RMR_SENDS;
  return true;
}

uint32_t
rmr_take_words (rmr_t *rmr, mem_word_t *out, uint32_t want)
{
  bool taken[RMR_SLOTS] = { false };
  uint32_t count = 0;
  while (count < want)
    {
      rmr_word_t *slot = least_sent_word (rmr, taken);
      if (slot == NULL)
        break;
      taken[slot - rmr->words] = true;
      slot->sends_left--;
      out[count++] = slot->word;
    }
  return count;
}

uint32_t
rmr_take_marks (rmr_t *rmr, uint64_t now_us, sus_mark_t *out, uint32_t want)
{
  bool taken[RMR_SLOTS] = { false };
  uint32_t count = 0;
  while (count < want)
    {
      rmr_mark_t *slot = least_sent_mark (rmr, now_us, taken);
      if (slot == NULL)
        break;
      taken[slot - rmr->marks] = true;
      slot->sends_left--;
      out[count] = slot->mark;
      out[count++].age_ms = (uint32_t)((now_us - slot->made_us) / CLK_US_PER_MS);
    }
  return count;
}
