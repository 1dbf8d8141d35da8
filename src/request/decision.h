/**
 * DOC: decision
 *
 * The record of routing and placement decisions: a log line for each, and a ring of the latest for
 * the question "why did this request go there". Holds no key and no body.
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
 * struct dcn - one decision
 * @request: attempt id whose lowest byte is left out when asked for: it counts the hops
 * @action: "send", "wait", "refuse", "answer" and so on
 * @candidates: of a router: names, comma-separated, best first; cut when too long
 * @at_engine: of a sidecar, with @load, @waiting and @bound_milli of its engine at that time
 * @wait_us: since the request arrived here
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
  const char *action; /* static */
  vrd_t verdict;
  vrd_reason_t reason;
  uint32_t hop;
  uint64_t wait_us;
  bool at_engine;
  uint32_t load;
  uint32_t waiting;
  uint64_t bound_milli;
} dcn_t;

typedef struct dcn_ring dcn_ring_t;

dcn_ring_t *dcn_ring_new (uint32_t limit);
void dcn_ring_free (dcn_ring_t *ring);
/** dcn_note() - log a decision as @event and keep it */
void dcn_note (dcn_ring_t *ring, const char *event, const dcn_t *decision);
/** dcn_explain() - the decisions of a request, oldest first, as a new JSON array */
json_t *dcn_explain (const dcn_ring_t *ring, const uint64_t request[2]);

#endif
