/**
 * DOC: hop_timeout
 *
 * Decides when to abandon a repeatable request at an engine that sends nothing, while there is
 * still time to send it to another engine. A pure function.
 *
 * One request without data may wait in a long queue, so it gets the longer timeout. An engine that
 * sends no data for any request has failed, since a working engine emits a token every few
 * milliseconds; then the shorter timeout applies.
 */
#ifndef REQUEST_POLICY_RETRIES_HOP_TIMEOUT_H
#define REQUEST_POLICY_RETRIES_HOP_TIMEOUT_H

#include <stdbool.h>
#include <stdint.h>

/* Minimum time without data for any request after which an engine counts as failed. */
#define HOP_TIMEOUT_SILENT_US (UINT64_C (500) * 1000)
/* Additional time per prompt token, during which an engine emits nothing. Engines usually read 112
 * tokens per millisecond (9 us each); the rest allows for another prompt that is read first. */
#define HOP_TIMEOUT_TOKEN_US 25
/* Timeout for the response header while the engine sends data for other requests: this multiple of
 * the usual time, and at least HOP_TIMEOUT_LATE_US. */
#define HOP_TIMEOUT_LATE_FACTOR 8
#define HOP_TIMEOUT_LATE_US (UINT64_C (1000) * 1000)
/* HOP_TIMEOUT_LATE_US is limited to the request's time divided by this, so that a short request
 * whose response is lost can be sent again in time, even if the second response is lost too. A
 * status check has a deadline of one second and takes 25 ms. */
#define HOP_TIMEOUT_LATE_DIVISOR 4
/* Timeout between events of a stream, as a multiple of the longest regular gap. */
#define HOP_TIMEOUT_GAP_FACTOR 3

/* Factor on the timeouts while all engines are full, since a request of low priority then waits in
 * the engine's queue behind others. Without it, at 3.5 times the usual traffic, 5,400 of 74,000
 * requests were abandoned and sent again, which added load to engines of the same full service. */
#define HOP_TIMEOUT_FULL_FACTOR 4

/**
 * struct hop_timeout - one attempt of a request at an engine; times in microseconds
 * @sent_us: when the request was sent
 * @last_byte_us: when the last byte of its response arrived, 0 if none has
 * @engine_last_byte_us: when the engine last sent a byte for any request, 0 if it never has
 * @prompt_tokens: prompt tokens that the engine may have to read
 * @usual_us: usual time from sending a request to the response header
 * @time_limit_us: time from sending the request to its deadline
 * @gap_us: longest regular gap between the events of a stream; 0 if unknown
 * @engines_full: all engines of the service are full
 */
typedef struct
{
  uint64_t sent_us;
  uint64_t last_byte_us;
  uint64_t engine_last_byte_us;
  uint64_t prompt_tokens;
  uint64_t usual_us;
  uint64_t time_limit_us;
  uint64_t gap_us;
  bool engines_full;
} hop_timeout_t;

/** hop_timeout_has_expired() - Return: whether to abandon the attempt */
bool hop_timeout_has_expired (const hop_timeout_t *hop_timeout, uint64_t now_us);

#endif
