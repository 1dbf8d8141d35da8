/**
 * DOC: room_choice
 *
 * Chooses the engine for a request without a prompt part where many gateways share few slots. A
 * pure function; see docs/design/shared-room.md.
 *
 * An engine is chosen by the time in which the request is expected to end there: from the load that
 * the engine last reported, the age of that report, its usual load, and its speed. Where reports
 * are old, all gateways would compute the same best engine and flood it, so each also draws an
 * engine at random by capacity, and only engines with a fresh report, or in the gateway's own data
 * centre, are preferred to that one.
 */
#ifndef REQUEST_POLICY_ROOM_ROOM_CHOICE_H
#define REQUEST_POLICY_ROOM_ROOM_CHOICE_H

#include "request/policy/placement/service_view.h"

/* Slots per gateway below which they are too few to be divided between gateways. */
#define ROOM_CHOICE_SCARCE_SLOTS 4
#define ROOM_CHOICE_ENGINES_MAX 16
/* Half-life of a reported load, in usual durations of a request. */
#define ROOM_CHOICE_REPORT_DURATIONS 6
/* Half-life of the queue that an engine usually has, once it reports no more. */
#define ROOM_CHOICE_QUEUE_HALF_LIFE_US (UINT64_C (150) * 1000)
/* Times in which a slot of this gateway's share comes free, after which an engine without a report
 * gets a late request though it may be full. */
#define ROOM_CHOICE_ASK_AGAIN_SHARES 4
/* Expected time at an engine of another data centre that is added, in thousandths of the usual
 * duration, as bytes between data centres are expensive. */
#define ROOM_CHOICE_REMOTE_MILLI 100

/** room_choice_is_scarce() - whether @gateways share too few @slots of few @engines to divide them
 */
bool room_choice_is_scarce (uint64_t slots, uint32_t engines, uint32_t gateways);
/** room_choice_applies() - whether the request and its service are those of this module */
bool room_choice_applies (const service_view_t *view);
/** room_choice_make() - Return: the engine to send to, or NULL when the request has to wait */
engine_t *room_choice_make (const service_view_t *view);

#endif
