/**
 * DOC: known_holders
 *
 * What is known of the engines that hold the shared parts of one request, for engine_choice.c. Pure
 * functions.
 */
#ifndef REQUEST_POLICY_PLACEMENT_KNOWN_HOLDERS_H
#define REQUEST_POLICY_PLACEMENT_KNOWN_HOLDERS_H

#include "request/policy/placement/engine_choice.h"

/** What an engine is known to hold, in the order of preference. */
typedef enum
{
  KNOWN_HOLDERS_UNKNOWN,
  KNOWN_HOLDERS_LONGEST,    /* the longest shared part, perhaps not those before it */
  KNOWN_HOLDERS_ALL,        /* all shared parts, unless it has evicted them */
  KNOWN_HOLDERS_ALL_CERTAIN /* all shared parts, since it used them a short time ago */
} known_holders_state_t;

/**
 * struct known_holders - the holders of a request's parts
 * @all: engines that hold all shared parts
 * @longest: engines that hold the longest
 * @count: of both together
 */
typedef struct
{
  uint64_t now_us;
  part_holder_t all[PART_HOLDERS_PER_PART];
  part_holder_t longest[PART_HOLDERS_PER_PART];
  uint32_t all_count;
  uint32_t longest_count;
  uint32_t count;
} known_holders_t;

/** known_holders_init() - looks up the parts of @request; there are none without a table */
void known_holders_init (known_holders_t *known,
                         uint64_t now_us,
                         const engine_choice_request_t *request);
/** known_holders_state() - what @engine is known to hold. What was known before its data centre's
 * drain ended, or before it was reached again, doesn't count */
known_holders_state_t known_holders_state (const known_holders_t *known, const engine_t *engine);

#endif
