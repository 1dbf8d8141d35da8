/**
 * DOC: decision
 *
 * A record of the latest routing and placement decisions: one log line for each, and a ring buffer
 * that /medlarplank/explain reads to tell why a request went where it did. It holds neither keys
 * nor request bodies.
 */
#ifndef REQUEST_DECISION_H
#define REQUEST_DECISION_H

#include "base/limits.h"
#include "request/policy/retries/verdict.h"

#include <jansson.h>
#include <stdint.h>

#define DECISION_RING_CAPACITY 4096
#define DECISION_CANDIDATES_BYTES 256

/**
 * struct decision - one routing or placement decision
 * @request: attempt id of the request; its lowest byte counts the hops and is ignored in searches
 * @wall_ms: wall clock time of the decision, in ms since the epoch
 * @action: "send", "wait", "refuse", "answer" and so on
 * @candidates: names that a router considered, comma-separated, best first; cut when too long
 * @hop: number of the send to a host that this decision belongs to
 * @wait_us: time since the request arrived at this daemon
 * @has_engine_load: the decision is a sidecar's, and @load, @waiting and @bound_milli are valid
 * @load: requests that the engine ran at that time
 * @waiting: requests that waited for the engine at that time
 * @bound_milli: load limit of the engine at that time, in thousandths of a request
 */
typedef struct
{
  uint64_t request[2];
  uint64_t wall_ms;
  uint64_t chat_hash;
  char account[LIMIT_NAME_BYTES];
  char service[LIMIT_NAME_BYTES];
  char class_name[LIMIT_NAME_BYTES];
  char chosen[LIMIT_NAME_BYTES];
  char candidates[DECISION_CANDIDATES_BYTES];
  const char *action; /* a static string; not freed */
  verdict_t verdict;
  verdict_reason_t reason;
  uint32_t hop;
  uint64_t wait_us;
  bool has_engine_load;
  uint32_t load;
  uint32_t waiting;
  uint64_t bound_milli;
} decision_t;

typedef struct decision_ring decision_ring_t;

/** decision_ring_new() - an empty ring that keeps the latest @limit decisions */
decision_ring_t *decision_ring_new (uint32_t limit);
void decision_ring_free (decision_ring_t *ring);
/** decision_ring_record() - logs a decision as the event @event and adds it to the ring */
void decision_ring_record (decision_ring_t *ring, const char *event, const decision_t *decision);
/** decision_ring_find() - the recorded decisions on a request, oldest first, as a new JSON array */
json_t *decision_ring_find (const decision_ring_t *ring, const uint64_t request[2]);

#endif
