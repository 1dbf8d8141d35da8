/**
 * DOC: load_reports
 *
 * Reports of engine loads that gateways pass on to each other. A state machine without I/O;
 * the caller passes the time.
 *
 * One of many gateways calls each engine once every few seconds. In between, the load that the
 * engine reported becomes outdated, while all gateways send to the engine that caches a popular
 * prompt part, without knowing of each other. So the latest loads are passed on, with their age.
 * Low loads are too: when high ones alone were told, an engine seemed to have many requests until
 * this gateway called it again, and one that had got them between two reports to have few.
 */
#ifndef REQUEST_POLICY_LOAD_LOAD_REPORTS_H
#define REQUEST_POLICY_LOAD_LOAD_REPORTS_H

#include <stdbool.h>
#include <stdint.h>

#define LOAD_REPORTS_MAX 64 /* engines; when full, the oldest report is replaced */
/* Maximum age of a report: later the requests of then have ended and others have begun. */
#define LOAD_REPORTS_AGE_MAX_US (UINT64_C (3000) * 1000)

/**
 * struct load_report - load that an engine reported to some gateway
 * @engine_hash: of the engine's id and start time
 * @load: requests that ran or waited there
 * @reported_us: when it was reported, on the clock of this process
 */
typedef struct
{
  uint64_t engine_hash;
  uint32_t load;
  uint64_t reported_us;
} load_report_t;

/** struct load_reports - the latest report of each engine; initialized with zeros */
typedef struct
{
  load_report_t items[LOAD_REPORTS_MAX];
} load_reports_t;

/** load_reports_is_high() - whether @load is above the overload limit, where the mean load is
 * @mean_milli and the limit is @factor times the mean plus @more_milli, in thousandths of a request
 */
bool
load_reports_is_high (uint32_t load, uint64_t mean_milli, uint32_t factor, uint64_t more_milli);
/** load_reports_add() - adds a report. Return: false when it is too old or a later one of the
 * engine is known */
bool load_reports_add (load_reports_t *reports, uint64_t now_us, const load_report_t *item);
/** load_reports_latest() - copies up to @want reports to @out, the latest first. Return: their
 * number */
uint32_t load_reports_latest (const load_reports_t *reports,
                              uint64_t now_us,
                              load_report_t *out,
                              uint32_t want);

#endif
