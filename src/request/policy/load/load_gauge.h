/**
 * DOC: load_gauge
 *
 * Utilization of all engines of a service together, from the loads in the latest answers to this
 * gateway. A state machine without I/O; the caller passes the time.
 *
 * One of many gateways gets a report of each single engine every few seconds, but of some engine
 * many times a second. When traffic triples suddenly, the engines fill within a second, while the
 * last reports still show free slots. All gateways then go on sending, and requests queue at the
 * engines for seconds, where no gateway can refuse them any more. A gateway knows the number of its
 * own requests without delay, and during such a surge they grow as those of all others do. So the
 * load is assumed to have grown since the last reports by the same factor as the gateway's own
 * requests. If only this gateway's traffic has grown, it holds requests back for the fraction of a
 * second until further reports have come.
 */
#ifndef REQUEST_POLICY_LOAD_LOAD_GAUGE_H
#define REQUEST_POLICY_LOAD_LOAD_GAUGE_H

#include <stdbool.h>
#include <stdint.h>

#define LOAD_GAUGE_SMOOTHING 12 /* reports over which the utilization is smoothed */
/* More in a report counts as this, as one that is wrong would outweigh hundreds of others. */
#define LOAD_GAUGE_REPORT_MAX_MILLI 4000
/* Age at which the utilization is unknown: streams of one to two seconds have ended since. */
#define LOAD_GAUGE_AGE_MAX_US (UINT64_C (1000) * 1000)

/* Added to the gateway's own requests, as a few more or fewer come by chance. */
#define LOAD_GAUGE_OWN_OFFSET 8
/* Growth of the gateway's own requests since the last reports that is a surge, in thousandths. */
#define LOAD_GAUGE_SURGE_MILLI 1250

/**
 * struct load_gauge - utilization of a service; initialized with zeros
 * @utilization_milli: requests at the engines, in thousandths of their slots, smoothed
 * @own_milli: requests of this gateway there at the same times, in thousandths of a request
 * @reported_us: time of the latest report; 0 for none
 */
typedef struct
{
  uint64_t utilization_milli;
  uint64_t own_milli;
  uint64_t reported_us;
} load_gauge_t;

/** load_gauge_add() - adds a report: @requests run or wait at an engine with @slots, while this
 * gateway has @own requests at the engines of the service */
void load_gauge_add (
    load_gauge_t *gauge, uint64_t now_us, uint32_t requests, uint32_t slots, uint64_t own);
/** load_gauge_utilization_milli() - reported requests at the engines, in thousandths of their
 * slots; 0 when unknown */
uint32_t load_gauge_utilization_milli (const load_gauge_t *gauge, uint64_t now_us);
/** load_gauge_is_surge() - whether the engines are probably full although they reported free slots,
 * as this gateway now has @own requests there */
bool load_gauge_is_surge (const load_gauge_t *gauge, uint64_t now_us, uint64_t own);

#endif
