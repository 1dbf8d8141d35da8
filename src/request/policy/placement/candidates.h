/**
 * DOC: candidates
 *
 * The engines that a router tries for a request, in their order, with the chat's home engine and
 * the one that was its home before. The sidecars make the final decision; a wrong order costs a
 * hop.
 *
 * A request with a chat is placed by rendezvous hashing alone. No engine has anything cached for a
 * request without one, so of its first two engines the less loaded one goes first, which balances
 * the load without a hop. The router's own requests there are compared as well as the load samples,
 * which are older.
 *
 * An engine that has returned too recently (flap damping) is no chat's home, and goes last.
 */
#ifndef REQUEST_POLICY_PLACEMENT_CANDIDATES_H
#define REQUEST_POLICY_PLACEMENT_CANDIDATES_H

#include "request/policy/retries/forwarding.h"
#include "request/policy/load/load_samples.h"
#include "request/policy/placement/rendezvous.h"
#include "request/policy/load/in_flight.h"

#include <stdbool.h>
#include <stdint.h>

/**
 * struct candidates_engine - times of an engine, as in membership_host_t
 * @joined_us: when it joined
 * @settled_us: from when on it can be the home of chats
 */
typedef struct
{
  uint64_t joined_us;
  uint64_t settled_us;
} candidates_engine_t;

/**
 * struct candidates_query - one request
 * @now_us: current time
 * @engines: of the service in the router's region, with weight 0 for those that are leaving. The
 *   index of each is its position, here and in @details
 * @details: times of each of @engines
 * @engine_count: of @engines and @details
 * @service_hash: of the service's name
 * @chat_hash: of the chat, or the fingerprint of a request without one
 * @has_chat: whether the request belongs to a chat
 * @first_turn: it is the first message of its chat, of which no engine has anything cached
 * @cache_lifetime_us: how long an engine keeps the prompt of a chat cached
 * @tie: its lowest bit decides which of two equally loaded engines goes first
 * @samples: load samples that this router received, or NULL
 * @under_way: this router's requests at engines, or NULL
 * @is_usable: returns false for an engine to be left out after failures; NULL to use all
 * @context: passed to @is_usable
 */
typedef struct
{
  uint64_t now_us;
  const rendezvous_engine_t *engines;
  const candidates_engine_t *details;
  uint32_t engine_count;
  uint64_t service_hash;
  uint64_t chat_hash;
  bool has_chat;
  bool first_turn;
  uint64_t cache_lifetime_us;
  uint64_t tie;
  const load_samples_t *samples;
  const in_flight_counts_t *under_way;
  bool (*is_usable) (uint64_t engine_hash, void *context);
  void *context;
} candidates_query_t;

/**
 * struct candidates - engines for a request
 * @candidates: hashes in the order in which they are tried
 * @candidate_count: number of @candidates
 * @home_hash: home engine of the chat, as in admission_request_t; 0 for none
 * @former_home_hash: its home before, as in admission_request_t; 0 for none
 */
typedef struct
{
  uint64_t candidates[FORWARDING_CANDIDATES_MAX];
  uint32_t candidate_count;
  uint64_t home_hash;
  uint64_t former_home_hash;
} candidates_t;

/** candidates_choose() - finds the engines for a request; takes O(engines) time and allocates no
 * memory */
candidates_t candidates_choose (const candidates_query_t *query);

#endif
