/**
 * DOC: gossip
 *
 * Gossip on the exchange: state reports of daemons and marks of requests that crash engines. Every
 * daemon that receives an item for the first time sends it with a limited number of messages. So an
 * item reaches the whole fleet within a few exchange intervals, then stops being sent, and messages
 * do not grow with the fleet.
 */
#ifndef PROCESS_GOSSIP_H
#define PROCESS_GOSSIP_H

#include "request/policy/engines/membership.h"
#include "request/policy/suspects/suspect.h"

#include <stdbool.h>
#include <stdint.h>

#define GOSSIP_SLOTS 32 /* items of each kind that are kept */
/* Messages that carry an item; more than log2 of the number of daemons of a large fleet. */
#define GOSSIP_SENDS 16
/* older marks are neither added nor sent */
#define GOSSIP_MARK_MAX_AGE_US (UINT64_C (600) * 1000 * 1000)

/** struct gossip_report - a report and how many more messages are to carry it */
typedef struct
{
  membership_report_t report;
  uint32_t sends_left;
} gossip_report_t;

/** struct gossip_mark - a mark, when its last crash was by the clock of this process or when it was
 * cleared, and how many more messages are to carry it */
typedef struct
{
  suspect_mark_t mark;
  uint64_t created_us;
  uint32_t sends_left;
} gossip_mark_t;

/** struct gossip - the latest items; a new one replaces the one that was sent most often */
typedef struct
{
  gossip_report_t reports[GOSSIP_SLOTS];
  gossip_mark_t marks[GOSSIP_SLOTS];
} gossip_t;

void gossip_init (gossip_t *gossip);
/** gossip_add_report() - adds a report, in place of an earlier one of the same host */
void gossip_add_report (gossip_t *gossip, const membership_report_t *report);
/**
 * gossip_add_mark() - adds a mark; a request's marks are merged. One that tells that the request
 * was served (suspect_mark_is_cleared()) replaces marks of earlier crashes, which are ignored from
 * then on; it is ignored itself after a later crash
 *
 * Return: whether the mark was new
 */
bool gossip_add_mark (gossip_t *gossip, uint64_t now_us, const suspect_mark_t *mark);
/** gossip_take_reports() - gets up to @want reports for a message, those sent least often first,
 * and counts them as sent. Return: how many */
uint32_t gossip_take_reports (gossip_t *gossip, membership_report_t *out, uint32_t want);
/** gossip_take_marks() - likewise for marks, each with its age at @now_us */
uint32_t gossip_take_marks (gossip_t *gossip, uint64_t now_us, suspect_mark_t *out, uint32_t want);

#endif
