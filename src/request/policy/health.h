/**
 * DOC: health
 *
 * A router's direct evidence about each sidecar: failures of its own requests, never hearsay.
 * After %HLT_FAILURES in a row a host is skipped, with a single probe after a back-off that
 * doubles. When more than half of a service looks dead the router distrusts its own view and
 * keeps trying all: it is more likely cut off itself.
 */
#ifndef REQUEST_POLICY_HEALTH_H
#define REQUEST_POLICY_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

#define HLT_FAILURES 2
#define HLT_BACKOFF_MIN_US (500 * 1000)
#define HLT_BACKOFF_MAX_US (30 * 1000 * 1000)

typedef struct hlt hlt_t;

hlt_t *hlt_new (void);
void hlt_free (hlt_t *hlt);
void hlt_success (hlt_t *hlt, uint64_t host_hash);
void hlt_failure (hlt_t *hlt, uint64_t now_us, uint64_t host_hash);
/** hlt_usable() - whether to send; a true answer for a skipped host is its one probe */
bool hlt_usable (hlt_t *hlt, uint64_t now_us, uint64_t host_hash);
/** hlt_skipped() - whether hlt_usable() would say no; takes no probe */
bool hlt_skipped (const hlt_t *hlt, uint64_t now_us, uint64_t host_hash);
/** hlt_distrust() - whether more than half of a service's hosts look dead: then try all of them */
bool hlt_distrust (const hlt_t *hlt, const uint64_t *host_hashes, uint32_t count);
/** hlt_forget() - a new incarnation of the host was heard */
void hlt_forget (hlt_t *hlt, uint64_t host_hash);

#endif
