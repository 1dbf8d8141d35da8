/**
 * DOC: self_reports
 *
 * What engines stated about themselves in their answers to this gateway: that they are leaving, or
 * want no requests for a time. A state machine without I/O; the caller passes the time.
 *
 * The registry learns of it late or never, and not at all while the platform's store is
 * unreachable. It may also drop an engine's entry and list it again. So a statement of an engine
 * process holds until the process ends, whatever its registry entry says.
 */
#ifndef REQUEST_POLICY_ENGINES_SELF_REPORTS_H
#define REQUEST_POLICY_ENGINES_SELF_REPORTS_H

#include <stdbool.h>
#include <stdint.h>

/* Time that a statement is kept: an engine that is leaving has ended by then. */
#define SELF_REPORTS_KEPT_US (UINT64_C (600) * 1000 * 1000)
#define SELF_REPORTS_MAX 4096 /* engines; when full, the oldest statement is dropped */

/**
 * struct self_report - statements of one engine process
 * @stated_us: time of the latest one
 * @backoff_until_us: it wants no requests until then; 0 when it never stated that
 * @leaving: it is shutting down
 */
typedef struct
{
  uint64_t stated_us;
  uint64_t backoff_until_us;
  bool leaving;
} self_report_t;

/** struct self_reports - statements of all engines, by the hash of an engine's id and start time */
typedef struct self_reports self_reports_t;

self_reports_t *self_reports_new (void);
void self_reports_free (self_reports_t *reports);
/** self_reports_set_leaving() - records that an engine is leaving. Return: whether it states so for
 * the first time */
bool self_reports_set_leaving (self_reports_t *reports, uint64_t now_us, uint64_t engine_hash);
/** self_reports_set_backoff() - records that an engine refused a request and wants none for
 * @backoff_us. Return: until when; a shorter backoff doesn't end a longer one */
uint64_t self_reports_set_backoff (self_reports_t *reports,
                                   uint64_t now_us,
                                   uint64_t engine_hash,
                                   uint64_t backoff_us);
/** self_reports_get() - statements of an engine; all zero when there are none */
self_report_t self_reports_get (const self_reports_t *reports, uint64_t engine_hash);

#endif
