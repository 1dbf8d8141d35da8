/**
 * DOC: crash_watch
 *
 * Which request crashed its engine, as far as a gateway can tell from its own connections. A pure
 * state machine.
 *
 * A request is suspected when its connection broke, its engine was then found down, and no other
 * engine went down around that time: when several go at once, the cause is not a request. Requests
 * that ran beside it are suspected too; what is served later is cleared by its owner.
 */
#ifndef REQUEST_POLICY_CRASH_WATCH_H
#define REQUEST_POLICY_CRASH_WATCH_H

#include <stdbool.h>
#include <stdint.h>

#define CWT_LOSSES 64
#define CWT_DOWNS 16
/* An engine that crashed is down for some seconds; one that is found down later went for another
 * reason. */
#define CWT_DOWN_US (UINT64_C (3000) * 1000)
/* Connections of one engine that break together; a crash closes them in the same moment. */
#define CWT_TOGETHER_US (UINT64_C (50) * 1000)
/* Engines that go down this near to each other went for one reason, which is no request. */
#define CWT_EVENT_US (UINT64_C (500) * 1000)

/** struct cwt_loss - a request whose connection broke */
typedef struct
{
  uint64_t engine_hash;
  uint64_t fingerprint;
  uint64_t lost_us;
} cwt_loss_t;

typedef struct
{
  uint64_t engine_hash;
  uint64_t down_us;
} cwt_down_t;

/** struct cwt - of one gateway; zeroed to begin with. Rings: the oldest entry makes room */
typedef struct
{
  cwt_loss_t losses[CWT_LOSSES];
  uint32_t next_loss;
  cwt_down_t downs[CWT_DOWNS];
  uint32_t next_down;
} cwt_t;

/** cwt_lost() - the connection of a request to an engine broke after it was sent */
void cwt_lost (cwt_t *cwt, uint64_t now_us, uint64_t engine_hash, uint64_t fingerprint);
/** cwt_down() - an engine refuses connections */
void cwt_down (cwt_t *cwt, uint64_t now_us, uint64_t engine_hash);
/** cwt_take() - the next request that is suspected now, into @loss; call until false */
bool cwt_take (cwt_t *cwt, uint64_t now_us, cwt_loss_t *loss);

#endif
