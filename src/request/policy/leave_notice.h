/**
 * DOC: leave_notice
 *
 * Hosts that have to be told that the platform's list has them as leaving. Each host is called at
 * once, and again until it reports itself that it leaves or the list has it as live again. A call
 * may be lost, and a host that reads an old copy of the list learns of its leaving only from its
 * peers. A pure state machine.
 */
#ifndef REQUEST_POLICY_LEAVE_NOTICE_H
#define REQUEST_POLICY_LEAVE_NOTICE_H

#include <stdbool.h>
#include <stdint.h>

/* Time from the first call of a host to the second; it doubles with each call. */
#define LVN_FIRST_WAIT_US (UINT64_C (200) * 1000)
#define LVN_WAIT_MAX_US (UINT64_C (2000) * 1000)

typedef struct lvn lvn_t;

lvn_t *lvn_new (void);
void lvn_free (lvn_t *lvn);
/** lvn_add() - the list has the host as leaving; no change for one that was added before */
void lvn_add (lvn_t *lvn, uint64_t now_us, uint64_t host_hash);
/** lvn_remove() - the host has reported that it leaves, or doesn't have to leave any more */
void lvn_remove (lvn_t *lvn, uint64_t host_hash);
/**
 * lvn_next() - takes the host that is to be called now, the one that has been due longest
 *
 * Return: false when none is due
 */
bool lvn_next (lvn_t *lvn, uint64_t now_us, uint64_t *host_hash);
/** lvn_count() - Return: number of hosts that are still to be told */
uint32_t lvn_count (const lvn_t *lvn);

#endif
