/**
 * DOC: health
 *
 * Which sidecars a router finds unreachable, from failures of its own requests alone and never from
 * reports of others. A host that failed %HEALTH_FAILURES_MAX times in a row is down: it is skipped,
 * but for a single probe after a back-off that doubles with each failed probe. When more than half
 * of the hosts of a service seem to be down, the router is more likely cut off itself, and keeps
 * trying them all.
 */
#ifndef REQUEST_POLICY_ENGINES_HEALTH_H
#define REQUEST_POLICY_ENGINES_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

/* Failures in a row after which a host is down. */
#define HEALTH_FAILURES_MAX 2
/* Time from the failure that takes a host down to the first probe. */
#define HEALTH_BACKOFF_MIN_US (500 * 1000)
#define HEALTH_BACKOFF_MAX_US (30 * 1000 * 1000)

typedef struct health health_t;

health_t *health_new (void);
void health_free (health_t *health);
/** health_record_success() - a request to the host succeeded: it is up */
void health_record_success (health_t *health, uint64_t host_hash);
/** health_record_failure() - a request to the host failed */
void health_record_failure (health_t *health, uint64_t now_us, uint64_t host_hash);
/** health_begin_attempt() - begins a request to the host. Return: false when the host is down and
 * no probe is due; true for a host that is down makes this request its probe */
bool health_begin_attempt (health_t *health, uint64_t now_us, uint64_t host_hash);
/** health_is_skipped() - whether health_begin_attempt() would return false; begins no probe */
bool health_is_skipped (const health_t *health, uint64_t now_us, uint64_t host_hash);
/** health_most_are_down() - whether more than half of the @count hosts of a service are down: then
 * all of them are to be tried */
bool health_most_are_down (const health_t *health, const uint64_t *host_hashes, uint32_t count);
/** health_forget() - forgets the host's failures, as a new incarnation of it was reported */
void health_forget (health_t *health, uint64_t host_hash);

#endif
