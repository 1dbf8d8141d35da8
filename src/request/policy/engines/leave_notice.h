/**
 * DOC: leave_notice
 *
 * Hosts that have to be told that the platform's list has them as leaving. Each host is called at
 * once, and again until it reports itself that it leaves or the list has it as live again. A call
 * may be lost, and a host that reads an old copy of the list learns of its leaving only from its
 * peers. A pure state machine.
 */
#ifndef REQUEST_POLICY_ENGINES_LEAVE_NOTICE_H
#define REQUEST_POLICY_ENGINES_LEAVE_NOTICE_H

#include <stdbool.h>
#include <stdint.h>

/* Time from the first call of a host to the second; it doubles with each call. */
#define LEAVE_NOTICE_RETRY_MIN_US (UINT64_C (200) * 1000)
#define LEAVE_NOTICE_RETRY_MAX_US (UINT64_C (2000) * 1000)

typedef struct leave_notices leave_notices_t;

leave_notices_t *leave_notice_new (void);
void leave_notice_free (leave_notices_t *leave_notices);
/** leave_notice_add() - the list has the host as leaving; no change for one that was added before
 */
void leave_notice_add (leave_notices_t *leave_notices, uint64_t now_us, uint64_t host_hash);
/** leave_notice_remove() - the host has reported that it leaves, or doesn't have to leave any more
 */
void leave_notice_remove (leave_notices_t *leave_notices, uint64_t host_hash);
/**
 * leave_notice_next() - takes the host that is to be called now, the one that has been due longest
 *
 * Return: false when none is due
 */
bool leave_notice_next (leave_notices_t *leave_notices, uint64_t now_us, uint64_t *host_hash);
/** leave_notice_count() - Return: number of hosts that are still to be told */
uint32_t leave_notice_count (const leave_notices_t *leave_notices);

#endif
