/**
 * DOC: fleet_requests
 *
 * Requests that all gateways together have at the engines of a service, from what gateways tell
 * each other of their own. A state machine without I/O; the caller passes the time.
 *
 * Divided by the number of engines this is the mean load. The loads that engines state in their
 * answers are no measure of it: engines with many requests are heard more often.
 */
#ifndef REQUEST_POLICY_LOAD_FLEET_REQUESTS_H
#define REQUEST_POLICY_LOAD_FLEET_REQUESTS_H

#include <stdbool.h>
#include <stdint.h>

#define FLEET_REQUESTS_MAX 64 /* gateways; when full, the oldest number is replaced */
/* Maximum age of a number. With 22 gateways most are younger than a second; of hundreds, those
 * heard in this time are a sample. */
#define FLEET_REQUESTS_AGE_MAX_US (UINT64_C (1500) * 1000)
/* Divisor: numbers of 1/3 of the other gateways make the sum certain. */
#define FLEET_REQUESTS_CERTAIN_DIVISOR 3

/**
 * struct fleet_request_count - what a gateway told
 * @gateway_hash: of its name
 * @requests: that it had at the engines of the service
 * @told_us: when, on the clock of this process; 0 for an empty entry
 */
typedef struct
{
  uint64_t gateway_hash;
  uint32_t requests;
  uint64_t told_us;
} fleet_request_count_t;

/** struct fleet_requests - the latest number of each gateway; initialized with zeros */
typedef struct
{
  fleet_request_count_t items[FLEET_REQUESTS_MAX];
} fleet_requests_t;

/** struct fleet_requests_told - a number that is told to another gateway; @service_hash: as
 * gateways name the service to each other */
typedef struct
{
  uint64_t service_hash;
  fleet_request_count_t count;
} fleet_requests_told_t;

/**
 * struct fleet_requests_sum - requests of all gateways
 * @is_known: some other gateway told its number; one that hears of none may be cut off
 * @is_certain: one in FLEET_REQUESTS_CERTAIN_DIVISOR of them did
 * @milli: in thousandths
 * @age_us: mean age of the numbers
 */
typedef struct
{
  bool is_known;
  bool is_certain;
  uint64_t milli;
  uint64_t age_us;
} fleet_requests_sum_t;

/** fleet_requests_note() - records the number of another gateway. Return: false when it is too old
 * or a later one is known */
bool
fleet_requests_note (fleet_requests_t *table, uint64_t now_us, const fleet_request_count_t *item);
/** fleet_requests_latest() - copies up to @want numbers to @out, the latest first. Return: how many
 */
uint32_t fleet_requests_latest (const fleet_requests_t *table,
                                uint64_t now_us,
                                fleet_request_count_t *out,
                                uint32_t want);
/** fleet_requests_sum() - estimates the requests of @gateways gateways, of which this one has @own;
 * those that told no number have as many as the others on average */
fleet_requests_sum_t fleet_requests_sum (const fleet_requests_t *table,
                                         uint64_t now_us,
                                         uint32_t own,
                                         uint32_t gateways);

#endif
