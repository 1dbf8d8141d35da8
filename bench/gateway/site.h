/**
 * DOC: site
 *
 * A site is a deployment that the simulation runs: its data centres, services, kinds of requests
 * and their rates. Two sites that users described are built in; site_file.h reads others.
 */
#ifndef BENCH_GATEWAY_SITE_H
#define BENCH_GATEWAY_SITE_H

#include "request/policy/retries/retry_budget.h"
#include "version/routing.h"

#include <stdint.h>

#define SITE_SERVICES 2 /* services of a site */
#define SITE_KINDS 5    /* kinds of requests of a site */
/* Index of the service whose engines run a language model: they process prompts and cache their
 * prefixes. The other service is plain: a request occupies a slot for some time. */
#define SITE_MODEL_SERVICE 0

/**
 * struct site_service - a service and its engines
 * @engines: number of engines
 * @slots: requests that one engine runs at the same time
 * @queue_limit: requests that may wait at one engine for a slot; it refuses further ones
 * @reports_load_at_start: responses report the load of the engine at the start of their request,
 *   not at the moment when they are sent
 */
typedef struct
{
  const char *name;
  uint32_t engines;
  uint32_t slots;
  uint32_t queue_limit;
  bool reports_load_at_start;
} site_service_t;

/**
 * struct site_kind - a kind of requests
 * @service: index of the service
 * @kind: how often the route may run a request
 * @resumable: an interrupted stream may be continued by another engine
 * @attempts: engines that may run one request
 * @priority: 0 is the most urgent
 * @rate_s: requests per second
 * @prefixes: number of different prompt prefixes that requests share
 * @prefix_tokens: length of each of these prefixes
 * @own_tokens: prompt tokens that no other request has, so they are never cached
 * @events: events of a streamed response; 0 for a response that is not streamed
 * @work_us: median duration of a request with @events 0
 * @aim_us: target time from the arrival of a request to the head of its response
 * @deadline_us: time that the client waits for an answer, repeated tries included
 */
typedef struct
{
  const char *name;
  uint32_t service;
  routing_kind_t kind;
  bool resumable;
  uint32_t attempts;
  uint32_t priority;
  double rate_s;
  uint32_t prefixes;
  uint32_t prefix_tokens;
  uint32_t own_tokens;
  uint32_t events;
  uint64_t work_us;
  uint64_t aim_us;
  uint64_t deadline_us;
} site_kind_t;

/**
 * struct site_unevenness - how engines of the plain service, requests and gateways of a site differ
 * from each other; with zeros they do not
 * @slow_milli: duration of work at the second engine, in thousandths of the usual
 * @crowded_milli: duration of work that the third engine starts while it runs more than
 *   @crowded_above requests, in thousandths of the usual
 * @long_milli: plain requests, in thousandths, whose work takes @long_factor times as long
 * @gateways: the first gateways get several times the traffic of the last ones
 */
typedef struct
{
  uint32_t slow_milli;
  uint32_t crowded_milli;
  uint32_t crowded_above;
  uint32_t long_milli;
  uint32_t long_factor;
  bool gateways;
} site_unevenness_t;

/**
 * struct site - a site
 * @gateways: number of gateways, spread evenly over the data centres, as are the engines
 * @accounts: number of client accounts
 * @cache_tokens: prompt tokens that the prefix cache of one model engine holds
 * @retries: the retry budget of each service
 */
typedef struct
{
  const char *name;
  uint32_t gateways;
  uint32_t data_centers;
  uint32_t accounts;
  uint64_t cache_tokens;
  site_service_t services[SITE_SERVICES];
  site_kind_t kinds[SITE_KINDS];
  retry_budget_options_t retries;
  site_unevenness_t unevenness;
} site_t;

/** site_find() - Return: the built-in site @name, or NULL */
const site_t *site_find (const char *name);
/** site_get() - Return: the built-in site @index, or NULL after the last one */
const site_t *site_get (uint32_t index);
/** site_rate_s() - requests per second, of all kinds together */
double site_rate_s (const site_t *site);

#endif
