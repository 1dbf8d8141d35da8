/**
 * DOC: room_share
 *
 * The share of its requests that one of many gateways sends to a plain service with few slots, and
 * which accounts bear the rest. A state machine without I/O; the caller passes the time.
 *
 * No gateway's own queue can order the requests of all: with 24 slots behind 385 gateways, a
 * gateway has a request of its own every third of a second. So requests wait in the engines'
 * queues, which all gateways share, and each gateway reduces the share that it sends while the
 * queues that engines report are longer than a target, and raises it while they are shorter. All
 * gateways see reports of the same queues, so their shares agree without messages between them. A
 * request that is not sent waits at its gateway until it can't be on time any more.
 *
 * What is not sent is taken from the accounts with most requests: each gateway counts the requests
 * of the accounts and lets none send more than a common level.
 */
#ifndef REQUEST_POLICY_ROOM_ROOM_SHARE_H
#define REQUEST_POLICY_ROOM_ROOM_SHARE_H

#include <stdbool.h>
#include <stdint.h>

/* Queue of an engine, in thousandths of its slots, at which the share stays as it is. */
#define ROOM_SHARE_TARGET_MILLI 1500
/* Time in which the share doubles while queues are empty. */
#define ROOM_SHARE_TIME_US (UINT64_C (400) * 1000)
/* A report counts for the time since the last one, at most for this. */
#define ROOM_SHARE_STEP_MAX_US (UINT64_C (100) * 1000)
/* The share is above 1 while queues are short, so that one longer queue holds nothing back. */
#define ROOM_SHARE_MAX_MILLI 1500
#define ROOM_SHARE_MIN_MILLI 20
/* Half-life of the number of requests of an account. */
#define ROOM_SHARE_ACCOUNT_HALF_LIFE_US (UINT64_C (2000) * 1000)
/* Part of all requests, in thousandths, from which on an account crowds out the others. */
#define ROOM_SHARE_CROWD_MILLI 300
#define ROOM_SHARE_CROWD_MIN_REQUESTS 16 /* requests that must have been counted for that */
#define ROOM_SHARE_ACCOUNTS 64           /* accounts with most requests that are counted */

/** struct room_share - the share of one service at one gateway */
typedef struct room_share room_share_t;

room_share_t *room_share_new (void);
void room_share_free (room_share_t *share);
/** room_share_note_report() - an engine with @slots reported @waiting requests in its queue */
void
room_share_note_report (room_share_t *share, uint64_t now_us, uint32_t waiting, uint32_t slots);
/** room_share_note_full() - an engine refused a request as its queue was full */
void room_share_note_full (room_share_t *share, uint64_t now_us);
/** room_share_note_request() - a new request of @account arrived */
void room_share_note_request (room_share_t *share, uint64_t now_us, uint64_t account);
/** room_share_milli() - Return: share of the requests to send, in thousandths */
uint32_t room_share_milli (const room_share_t *share);
/**
 * room_share_allows() - whether a request of @account is among those to send
 *
 * @draw_milli: a number below 1000 that is random, but the same whenever the request is asked for
 */
bool room_share_allows (const room_share_t *share, uint64_t account, uint32_t draw_milli);

/**
 * room_share_is_crowded_out() - whether another account sends so large a part of the requests that
 * those of @account wait because of it; they are then served even if they are late
 */
bool room_share_is_crowded_out (const room_share_t *share, uint64_t account);

#endif
