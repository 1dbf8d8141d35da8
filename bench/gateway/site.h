/**
 * DOC: site
 *
 * The deployments that the benchmark of the gateway's decisions plays: services, kinds of requests
 * and their rates, as users describe two of theirs.
 */
#ifndef BENCH_GATEWAY_SITE_H
#define BENCH_GATEWAY_SITE_H

#include "request/policy/retry_share.h"
#include "version/routing.h"

#include <stdint.h>

#define SIT_SERVICES 2
#define SIT_KINDS 5
#define SIT_MODEL 0 /* the service whose engines read prompts; the other one is plain */

/**
 * struct sit_service - the engines of a service
 * @slots: requests that each runs at once
 * @tells_begin: the load that its answers tell is that when they began to run
 * @queue: requests that wait at each for one of its slots; it refuses the rest
 */
typedef struct
{
  const char *name;
  uint32_t engines;
  uint32_t slots;
  uint32_t queue;
  bool tells_begin;
} sit_service_t;

/**
 * struct sit_kind - a kind of requests
 * @parts: different shared parts, of @shared_tokens each
 * @own_tokens: of its prompt, read anew each time
 * @events: of a stream; 0 for a plain answer, which takes @work_us
 * @aim_us: from arrival to the head of the answer; later counts as late
 */
typedef struct
{
  const char *name;
  uint32_t service;
  rte_kind_t kind;
  bool resumable;
  uint32_t attempts;
  uint32_t priority;
  double rate_s;
  uint32_t parts;
  uint32_t shared_tokens;
  uint32_t own_tokens;
  uint32_t events;
  uint64_t work_us;
  uint64_t aim_us;
  uint64_t deadline_us;
} sit_kind_t;

/**
 * struct sit - a deployment
 * @cache_tokens: of shared parts that a model engine holds
 */
typedef struct
{
  const char *name;
  uint32_t gateways;
  uint32_t data_centers;
  uint32_t accounts;
  uint64_t cache_tokens;
  sit_service_t services[SIT_SERVICES];
  sit_kind_t kinds[SIT_KINDS];
  rsh_options_t retries;
} sit_t;

/** sit_find() - by name, or NULL */
const sit_t *sit_find (const char *name);
/** sit_at() - NULL after the last */
const sit_t *sit_at (uint32_t index);
/** sit_rate_s() - requests a second of all kinds */
double sit_rate_s (const sit_t *site);

#endif
