/**
 * DOC: completion_rate
 *
 * Estimates how often an engine completes a request and so frees a slot. All wait estimates of a
 * sidecar are derived from it. By Little's law an engine with L requests of mean duration S
 * completes one every S / L, so the estimate follows the load at once, without a time window.
 */
#ifndef REQUEST_POLICY_LOAD_COMPLETION_RATE_H
#define REQUEST_POLICY_LOAD_COMPLETION_RATE_H

#include <stdint.h>

/**
 * struct completion_rate - completion rate of one engine
 * @length_us: mean duration of a request, 0 before the first request
 * @last_us: when a request last completed, or when the engine last became busy
 */
typedef struct
{
  uint64_t length_us;
  uint64_t last_us;
} completion_rate_t;

/**
 * completion_rate_note_start() - a request starts while @load_before others run
 *
 * @guess_us: the duration to assume until one has been measured
 */
void completion_rate_note_start (completion_rate_t *completion_rate,
                                 uint64_t now_us,
                                 uint32_t load_before,
                                 uint64_t guess_us);
/** completion_rate_note_end() - a request completes after @length_us */
void
completion_rate_note_end (completion_rate_t *completion_rate, uint64_t now_us, uint64_t length_us);
/** completion_rate_interval_us() - Return: expected time between two completions with @load
 * requests running */
uint64_t completion_rate_interval_us (const completion_rate_t *completion_rate,
                                      uint64_t now_us,
                                      uint32_t load);

#endif
