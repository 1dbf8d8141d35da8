/**
 * DOC: history
 *
 * What became of the attempts that a sidecar saw lately, so that it can answer a router that lost
 * sight of one. Two bounded tables: attempts that ended, and attempt ids that are barred because a
 * router gave them up before they arrived. A pure state machine.
 */
#ifndef REQUEST_SIDECAR_HISTORY_H
#define REQUEST_SIDECAR_HISTORY_H

#include "base/limits.h"
#include "request/policy/verdict.h"

#include <stdbool.h>
#include <stdint.h>

/* A barred attempt may still sit in a socket's buffer; the event loop reads it within
 * milliseconds, and after a pause a sidecar refuses all that it finds there. */
#define HST_BAR_US (60 * 1000 * 1000)
/* What the age told by a router may lack: the way of its revoke, and the drift of clocks. */
#define HST_AGE_MARGIN_US (2 * 1000 * 1000)

typedef enum
{
  HST_UNKNOWN,
  HST_BARRED,
  HST_ENDED
} hst_state_t;

typedef struct hst hst_t;

hst_t *hst_new (uint32_t limit);
void hst_free (hst_t *hst);
/** hst_ended() - an attempt ended; when the table is full the one that ended first is forgotten */
void hst_ended (hst_t *hst, uint64_t now_us, const uint64_t attempt[2], vrd_t verdict);
/** hst_find() - @verdict is set for HST_ENDED */
hst_state_t hst_find (const hst_t *hst, uint64_t now_us, const uint64_t attempt[2], vrd_t *verdict);
/**
 * hst_revoke() - a router gives up an attempt that is not in flight here
 * @age_us: since the router sent it
 *
 * Return: VRD_NOT_RUN when it was not passed on and, from now on, never will be. VRD_MAY_HAVE_RUN
 * also when an attempt that old may have been forgotten, or no room is left to bar another.
 */
vrd_t hst_revoke (hst_t *hst, uint64_t now_us, const uint64_t attempt[2], uint64_t age_us);

#endif
