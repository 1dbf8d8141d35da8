/**
 * DOC: load_gauge
 *
 * How full the engines of a service are, of all of them together, by what their latest answers told
 * here. A pure state machine.
 *
 * A gateway of many hears of each single engine once in seconds, but of some engine many times a
 * second. When traffic triples at once, engines fill within a second, while what is known of each
 * one still says that it has room; so all gateways go on sending, and requests queue at the engines
 * for seconds, where nobody can refuse them any more. Then this gateway's own requests grow as all
 * others' do, and those it knows without delay: the load is taken to have grown with them since the
 * answers that told it. Where only this gateway's callers have become more, it holds back for the
 * fraction of a second until further answers have come.
 */
#ifndef REQUEST_POLICY_LOAD_GAUGE_H
#define REQUEST_POLICY_LOAD_GAUGE_H

#include <stdbool.h>
#include <stdint.h>

#define GAU_GAIN 12 /* of the smoothing: about the last twelve answers count */
/* What was told before this says nothing: streams of a second or two have ended since. */
#define GAU_FORGET_US (UINT64_C (1000) * 1000)

#define GAU_OWN_LEAST 8 /* requests that come and go by chance */
/* Growth within the last answers that is no chance, in thousandths. */
#define GAU_SURGE_MILLI 1250

/**
 * struct gau - zeroed to begin with
 * @told_milli: requests there, in thousandths of the slots
 * @own_milli: requests of this gateway there meanwhile, in thousandths
 */
typedef struct
{
  uint64_t told_milli;
  uint64_t own_milli;
  uint64_t told_us;
} gau_t;

/** gau_told() - an engine of @slots told that @requests run or wait there, while @own of this
 * gateway were at the engines of the service */
void gau_told (gau_t *gau, uint64_t now_us, uint32_t requests, uint32_t slots, uint64_t own);
/** gau_told_milli() - requests at the engines as told, in thousandths of their slots; 0 when not
 * known */
uint32_t gau_told_milli (const gau_t *gau, uint64_t now_us);
/** gau_is_surge() - whether engines that told of room are full by now, as this gateway's requests,
 * of which @own are there, have grown so much */
bool gau_is_surge (const gau_t *gau, uint64_t now_us, uint64_t own);

#endif
