/**
 * DOC: rumour
 *
 * Gossip on the exchange: state reports of daemons and marks of requests that crash engines. Every
 * daemon that receives an item for the first time sends it with a limited number of messages. So an
 * item reaches the whole fleet within a few exchange intervals, then stops being sent, and messages
 * do not grow with the fleet.
 */
#ifndef PROCESS_RUMOUR_H
#define PROCESS_RUMOUR_H

#include "request/policy/member.h"
#include "request/policy/suspect.h"

#include <stdbool.h>
#include <stdint.h>

#define RMR_SLOTS 32 /* items of each kind that are kept */
/* Messages that carry an item; more than log2 of the number of daemons of a large fleet. */
#define RMR_SENDS 16
#define RMR_MARK_AGE_US                                                                            \
  (UINT64_C (600) * 1000 * 1000) /* older marks are neither added nor sent                         \
                                  */

/** struct rmr_word - a report and how many more messages are to carry it */
typedef struct
{
  membership_report_t report;
  uint32_t sends_left;
} rmr_word_t;

/** struct rmr_mark - a mark, when it was created by the clock of this process, and how many more
 * messages are to carry it */
typedef struct
{
  suspect_mark_t mark;
  uint64_t created_us;
  uint32_t sends_left;
} rmr_mark_t;

/** struct rmr - the latest items; a new one replaces the one that was sent most often */
typedef struct
{
  rmr_word_t reports[RMR_SLOTS];
  rmr_mark_t marks[RMR_SLOTS];
} rmr_t;

void rmr_init (rmr_t *gossip);
/** rmr_add_word() - adds a report, in place of an earlier one of the same host */
void rmr_add_word (rmr_t *gossip, const membership_report_t *report);
/**
 * rmr_add_mark() - adds a mark; a request's marks are merged. One that tells that the request was
 * served (suspect_mark_is_cleared()) replaces marks of crashes, and earlier crashes are ignored
 * from then on
 *
 * Return: whether the mark was new
 */
bool rmr_add_mark (rmr_t *gossip, uint64_t now_us, const suspect_mark_t *mark);
/** rmr_take_words() - gets up to @want reports for a message, those sent least often first, and
 * counts them as sent. Return: how many */
uint32_t rmr_take_words (rmr_t *gossip, membership_report_t *out, uint32_t want);
/** rmr_take_marks() - likewise for marks, each with its age at @now_us */
uint32_t rmr_take_marks (rmr_t *gossip, uint64_t now_us, suspect_mark_t *out, uint32_t want);

#endif
