/**
 * DOC: load_gauge
 *
 * How full the engines of a service are, of all of them together, by what their latest answers told
 * here. A pure state machine.
 *
 * A gateway of many hears of each single engine once in seconds, but of some engine many times a
 * second. When traffic jumps, engines fill within a second, while what is known of each one still
 * says that it has room; so all gateways go on sending, and requests queue at the engines for
 * seconds, where nobody can refuse them any more. The mean of the latest few answers shows it
 * within a fraction of a second.
 */
#ifndef REQUEST_POLICY_LOAD_GAUGE_H
#define REQUEST_POLICY_LOAD_GAUGE_H

#include <stdint.h>

#define GAU_GAIN 12 /* of the smoothing: about the last twelve answers count */
/* What was told before this says nothing: streams of a second or two have ended since. */
#define GAU_FORGET_US (UINT64_C (1000) * 1000)

/** struct gau - zeroed to begin with; @told_milli: requests there, in thousandths of the slots */
typedef struct
{
  uint64_t told_milli;
  uint64_t told_us;
} gau_t;

/** gau_told() - an engine of @slots told that @requests run or wait there */
void gau_told (gau_t *gau, uint64_t now_us, uint32_t requests, uint32_t slots);
/** gau_now_milli() - requests at the engines, in thousandths of their slots; 0 when not known */
uint32_t gau_now_milli (const gau_t *gau, uint64_t now_us);

#endif
