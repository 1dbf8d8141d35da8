/**
 * DOC: rumour
 *
 * News that is passed on with the exchange: words of daemons that changed state, and marks of
 * suspect requests. Each is sent with a bounded number of messages by everyone who hears it for
 * the first time, so it reaches all in a few intervals and then dies out, and no message grows.
 */
#ifndef PROCESS_RUMOUR_H
#define PROCESS_RUMOUR_H

#include "request/policy/member.h"
#include "request/policy/suspect.h"

#include <stdbool.h>
#include <stdint.h>

#define RMR_SLOTS 32
/* Messages that carry one piece of news; more than log2 of the daemons of a large fleet. */
#define RMR_SENDS 16
#define RMR_MARK_AGE_US (UINT64_C (600) * 1000 * 1000)

typedef struct
{
  mem_word_t word;
  uint32_t sends_left;
} rmr_word_t;

typedef struct
{
  sus_mark_t mark;
  uint64_t made_us; /* when it was made, by the clock of this process */
  uint32_t sends_left;
} rmr_mark_t;

/** struct rmr - the latest news; a new piece takes the place of the one sent most often */
typedef struct
{
  rmr_word_t words[RMR_SLOTS];
  rmr_mark_t marks[RMR_SLOTS];
} rmr_t;

void rmr_init (rmr_t *rmr);
/** rmr_add_word() - news of a host; goes before an older word of it */
void rmr_add_word (rmr_t *rmr, const mem_word_t *word);
/** rmr_add_mark() - a mark, or that one is cleared, which goes before marks of crashes before it.
 *  Return: whether it is news */
bool rmr_add_mark (rmr_t *rmr, uint64_t now_us, const sus_mark_t *mark);
/** rmr_take_words() - up to @want to send now, those sent least first. Return: how many */
uint32_t rmr_take_words (rmr_t *rmr, mem_word_t *out, uint32_t want);
/** rmr_take_marks() - as rmr_take_words(), with the age of each as of now */
uint32_t rmr_take_marks (rmr_t *rmr, uint64_t now_us, sus_mark_t *out, uint32_t want);

#endif
