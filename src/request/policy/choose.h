/**
 * DOC: choose
 *
 * Whom a router asks first, and whom then: the candidates of a request, with the home of its chat
 * and the one that was home before it. A guess, as the sidecars decide; a wrong one costs a hop.
 *
 * A request with a chat goes by rendezvous alone. One without has nothing warm anywhere: of its
 * first two candidates the emptier one goes first, which evens out the load without a hop. What the
 * router itself has under way there counts as much as samples, which are older.
 *
 * An engine that returned too lately (flap damping) is nobody's home, and goes last.
 */
#ifndef REQUEST_POLICY_CHOOSE_H
#define REQUEST_POLICY_CHOOSE_H

#include "request/policy/attempt.h"
#include "request/policy/mean.h"
#include "request/policy/place.h"
#include "request/policy/under_way.h"

#include <stdbool.h>
#include <stdint.h>

/** struct chs_engine - what the router knows of an engine besides its name; as in mem_host_t */
typedef struct
{
  uint64_t joined_us;
  uint64_t settled_us;
} chs_engine_t;

/**
 * struct chs_query - one request
 * @engines: of the service in the router's region; weight 0 for those that leave. Made once for
 *   each snapshot of the members; the index of each is its place, here and in @details
 * @chat_hash: of the chat, or of the fingerprint without one
 * @first_turn: the first message of its chat, which is warm nowhere
 * @tie: decides by its lowest bit which of two equally loaded candidates goes first
 * @samples: load samples heard by this router, or NULL
 * @under_way: what this router has under way at engines, or NULL
 * @is_usable: false for a host to be skipped after direct failures; NULL for none
 */
typedef struct
{
  uint64_t now_us;
  const plc_engine_t *engines;
  const chs_engine_t *details;
  uint32_t engine_count;
  uint64_t service_hash;
  uint64_t chat_hash;
  bool has_chat;
  bool first_turn;
  uint64_t cache_lifetime_us;
  uint64_t tie;
  const mean_table_t *samples;
  const uwy_t *under_way;
  bool (*is_usable) (uint64_t engine_hash, void *context);
  void *context;
} chs_query_t;

/** struct chs - @home_hash and @former_hash: as in adm_request_t; 0 for none */
typedef struct
{
  uint64_t candidates[ATT_CANDIDATES];
  uint32_t candidate_count;
  uint64_t home_hash;
  uint64_t former_hash;
} chs_t;

/** chs_choose() - O(engines), no memory taken */
chs_t chs_choose (const chs_query_t *query);

#endif
