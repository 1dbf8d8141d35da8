/**
 * DOC: crash_watch
 *
 * Determines which requests may have crashed their engine, from the connections of this gateway. A
 * pure state machine.
 *
 * A request is suspected if its connection broke, the engine then refused connections, and no other
 * engine failed at about the same time: if several fail together, the cause is not a request. All
 * requests whose connections broke with the engine are suspected; the caller clears those that
 * succeed later.
 */
#ifndef REQUEST_POLICY_CRASH_WATCH_H
#define REQUEST_POLICY_CRASH_WATCH_H

#include <stdbool.h>
#include <stdint.h>

#define CRASH_WATCH_LOSSES 64 /* broken connections remembered */
#define CRASH_WATCH_DOWNS 16  /* failed engines remembered */
/* A crashed engine refuses connections for some seconds after its connections broke; one that
 * refuses them only later failed for another reason. */
#define CRASH_WATCH_DOWN_US (UINT64_C (3000) * 1000)
/* Maximum time between the breaks of an engine's connections in one crash, which closes them all at
 * once. */
#define CRASH_WATCH_TOGETHER_US (UINT64_C (50) * 1000)
/* Engines that fail within this time of each other have a common cause, which is not a request. */
#define CRASH_WATCH_COMMON_CAUSE_US (UINT64_C (500) * 1000)

/** struct crash_watch_loss - a request whose connection broke at @lost_us; @engine_hash is 0 if
 * unused */
typedef struct
{
  uint64_t engine_hash;
  uint64_t fingerprint;
  uint64_t lost_us;
} crash_watch_loss_t;

/** struct crash_watch_down - an engine that failed, as found at @down_us; @engine_hash is 0 if
 * unused */
typedef struct
{
  uint64_t engine_hash;
  uint64_t down_us;
} crash_watch_down_t;

/** struct crash_watch - state of one gateway, initialized with zeros; both arrays are ring buffers
 */
typedef struct
{
  crash_watch_loss_t losses[CRASH_WATCH_LOSSES];
  uint32_t next_loss;
  crash_watch_down_t downs[CRASH_WATCH_DOWNS];
  uint32_t next_down;
} crash_watch_t;

/** crash_watch_note_loss() - the connection to the engine broke after the request was sent */
void crash_watch_note_loss (crash_watch_t *crash_watch,
                            uint64_t now_us,
                            uint64_t engine_hash,
                            uint64_t fingerprint);
/** crash_watch_note_down() - the engine refuses connections */
void crash_watch_note_down (crash_watch_t *crash_watch, uint64_t now_us, uint64_t engine_hash);
/**
 * crash_watch_take() - removes the next request that is suspected of a crash
 *
 * @loss: the request
 *
 * Return: false if there is none; to be called until then
 */
bool crash_watch_take (crash_watch_t *crash_watch, uint64_t now_us, crash_watch_loss_t *loss);

#endif
