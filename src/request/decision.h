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
#include "request/policy/verdict.h"

#include <jansson.h>
#include <stdint.h>

#define DCN_KEPT 4096
#define DCN_CANDIDATES_BYTES 256

/**
 * struct dcn - one routing or placement decision
 * @request: attempt id of the request; its lowest byte counts the hops and is ignored in searches
 * @wall_ms: wall clock time of the decision, in ms since the epoch
 * @action: "send", "wait", "refuse", "answer" and so on
 * @candidates: names that a router considered, comma-separated, best first; cut when too long
 * @hop: number of the send to a host that this decision belongs to
 * @wait_us: time since the request arrived at this daemon
 * @at_engine: the decision is a sidecar's, and @load, @waiting and @bound_milli are valid
 * @load: requests that the engine ran at that time
 * @waiting: requests that waited for the engine at that time
 * @bound_milli: load limit of the engine at that time, in thousandths of a request
 */
typedef struct
{
  uint64_t request[2];
  uint64_t wall_ms;
  uint64_t chat_hash;
  char account[LIM_NAME_BYTES];
  char service[LIM_NAME_BYTES];
  char class_name[LIM_NAME_BYTES];
  char chosen[LIM_NAME_BYTES];
  char candidates[DCN_CANDIDATES_BYTES];
  const char *action; /* a static string; not freed */
  verdict_t verdict;
  verdict_reason_t reason;
  uint32_t hop;
  uint64_t wait_us;
  bool at_engine;
  uint32_t load;
  uint32_t waiting;
  uint64_t bound_milli;
} dcn_t;

typedef struct dcn_ring dcn_ring_t;

/** dcn_ring_new() - an empty ring that keeps the latest @limit decisions */
dcn_ring_t *dcn_ring_new (uint32_t limit);
void dcn_ring_free (dcn_ring_t *ring);
/** dcn_note() - logs a decision as the event @event and adds it to the ring */
void dcn_note (dcn_ring_t *ring, const char *event, const dcn_t *decision);
/** dcn_explain() - the recorded decisions on a request, oldest first, as a new JSON array */
json_t *dcn_explain (const dcn_ring_t *ring, const uint64_t request[2]);

#endif
