/**
 * DOC: health
 *
 * Which sidecars a router finds unreachable, from failures of its own requests alone and never from
 * reports of others. A host that failed %HLT_FAILURES times in a row is down: it is skipped, but
 * for a single probe after a back-off that doubles with each failed probe. When more than half of
 * the hosts of a service seem to be down, the router is more likely cut off itself, and
 * keeps trying them all.
 */
#ifndef REQUEST_POLICY_HEALTH_H
#define REQUEST_POLICY_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

/* Failures in a row after which a host is down. */
#define HLT_FAILURES 2
/* Time from the failure that takes a host down to the first probe. */
#define HLT_BACKOFF_MIN_US (500 * 1000)
#define HLT_BACKOFF_MAX_US (30 * 1000 * 1000)

typedef struct hlt hlt_t;

hlt_t *hlt_new (void);
void hlt_free (hlt_t *hlt);
/** hlt_success() - a request to the host succeeded: it is up */
void hlt_success (hlt_t *hlt, uint64_t host_hash);
/** hlt_failure() - a request to the host failed */
void hlt_failure (hlt_t *hlt, uint64_t now_us, uint64_t host_hash);
/** hlt_usable() - begins a request to the host. Return: false when the host is down and no probe is
 * due; true for a host that is down makes this request its probe */
bool hlt_usable (hlt_t *hlt, uint64_t now_us, uint64_t host_hash);
/** hlt_skipped() - whether hlt_usable() would return false; begins no probe */
bool hlt_skipped (const hlt_t *hlt, uint64_t now_us, uint64_t host_hash);
/** hlt_distrust() - whether more than half of the @count hosts of a service are down: then all of
 * them are to be tried */
bool hlt_distrust (const hlt_t *hlt, const uint64_t *host_hashes, uint32_t count);
/** hlt_forget() - forgets the host's failures, as a new incarnation of it was reported */
void hlt_forget (hlt_t *hlt, uint64_t host_hash);

#endif
