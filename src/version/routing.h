/**
 * DOC: routing
 *
 * One version of the routing configuration: routes by host and longest path prefix, their services,
 * client accounts with their API keys, and limits on client requests. A table is immutable once it
 * is built, and reference counted, so that each request keeps the version that it started with.
 */
#ifndef VERSION_ROUTING_H
#define VERSION_ROUTING_H

#include "base/limits.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  ROUTING_IDEMPOTENT,     /* may be executed more than once */
  ROUTING_NON_IDEMPOTENT, /* must be executed at most once */
  ROUTING_STREAM          /* an event stream; a retry must be able to resume it */
} routing_kind_t;

/** struct routing_route_choose_service - one service of a route; its share of the requests is
 * @weight divided by the sum of the weights of all targets */
typedef struct
{
  const char *service; /* interned */
  uint32_t weight;
} routing_target_t;

/**
 * struct routing_route - a route
 * @host: in lower case
 * @path_prefix: begins and ends with a slash
 * @timeout_ms: longest time that a client waits for a response
 * @target_response_ms: target response time; a later response is worth less to the client
 * @attempts: maximum number of engines that may be tried for one request
 * @priority: 0 is the highest priority
 * @event_gap_target_ms: target for the longest pause between two events of a stream; 0 when unknown
 * @client_silence_limit_ms: clients of a stream disconnect after this time without data; 0 when
 *   unknown
 * @is_public: requests need no API key
 * @sticky: requests with common prompt parts should go to the same engine
 * @resumable: a stream can be continued by another engine
 * @regions: regions whose engines may serve the route, terminated by NULL; NULL allows all
 * @source_hash: hash of the JSON text of the route, for routing_reuse_route(); 0 when there is none
 * @refs: reference count; each table that contains the route holds one reference
 * @lookup_key: @host followed by @path_prefix
 */
typedef struct
{
  char *name;
  char *host;
  char *path_prefix;
  routing_kind_t kind;
  uint32_t timeout_ms;
  uint32_t target_response_ms;
  uint32_t attempts;
  uint32_t priority;
  uint32_t event_gap_target_ms;
  uint32_t client_silence_limit_ms;
  bool is_public;
  bool sticky;
  bool resumable;
  GArray *targets; /* routing_target_t, at least one */
  char **regions;
  uint64_t source_hash;
  gint refs;
  char *lookup_key;
} routing_route_t;

/**
 * struct routing_find_account - a client account
 * @hash: hash of @name, set by routing_add_account()
 * @priority: overrides the priority of the route when @has_priority is set
 * @regions: regions whose engines may serve the account, terminated by NULL; NULL allows all
 */
typedef struct
{
  char *name;
  uint64_t hash;
  uint32_t priority;
  bool has_priority;
  char **regions;
} routing_account_t;

/**
 * struct routing_engine_traits - what the engines of a service can do with their caches; all zero
 * when the configuration doesn't state it
 * @cache_token_bytes: memory of one cached token
 * @cache_tokens: capacity of an engine's cache
 * @link_mbps: bandwidth between two engines, in megabits per second
 * @cache_listeners: waiting calls for cache events that an engine accepts
 * @copy_lifetime_us: time after which an engine drops the copy of a run that is not used
 * @has_backups: an engine can send the cache of a run to another engine while the run grows
 * @has_moves: an engine can move a run to another engine
 */
typedef struct
{
  uint64_t copy_lifetime_us;
  uint32_t cache_token_bytes;
  uint32_t cache_tokens;
  uint32_t link_mbps;
  uint32_t cache_listeners;
  bool has_backups;
  bool has_moves;
} routing_engine_traits_t;

/**
 * struct routing_find_service - configuration of a service
 * @name: interned string
 * @cold_requests_per_s: requests per second that a cold engine can handle; 0 when unknown
 * @cold_start_us: time after its start during which an engine counts as cold; 0 when it never does
 * @engine: what its engines can do with their caches
 */
typedef struct
{
  const char *name; /* interned */
  uint32_t cold_requests_per_s;
  uint64_t cold_start_us;
  routing_engine_traits_t engine;
} routing_service_t;

/**
 * struct routing_limits - limits on client requests; 0 keeps the value of the daemon's own setting
 * @header_bytes: maximum size of all headers of a request
 * @body_bytes: maximum size of a request body
 * @header_timeout_ms: longest time until all headers have arrived
 * @idle_timeout_ms: time after which a connection without a request is closed
 */
typedef struct
{
  uint32_t header_bytes;
  uint32_t body_bytes;
  uint32_t header_timeout_ms;
  uint32_t idle_timeout_ms;
} routing_limits_t;

typedef struct routing routing_t;

/** routing_new() - an empty table of @version, with one reference. Routes, accounts and services
 * must be added before it is shared */
routing_t *routing_new (uint64_t version);
routing_t *routing_ref (routing_t *routing);
void routing_unref (routing_t *routing);

/** routing_route_new() - a route without targets, with copies of the three strings; @host becomes
 * lower case */
routing_route_t *routing_route_new (const char *name, const char *host, const char *path_prefix);
/** routing_route_add_target() - add a service to the targets of @route */
void routing_route_add_target (routing_route_t *route, const char *service, uint32_t weight);
/** routing_route_unref() - release a reference to a route */
void routing_route_unref (routing_route_t *route);
/** routing_add_route() - add @route and take over its reference. Return: false with @error set, and
 * the reference released, when the route is invalid (such as a prefix without its slashes, or no
 * target) or has the same host and prefix as another one */
bool routing_add_route (routing_t *routing, routing_route_t *route, GError **error);
/** routing_reuse_route() - add the route of the table @before that was read from the same text,
 * without parsing it again. Return: false when there is none, or the table already has its host and
 * prefix
 */
bool routing_reuse_route (routing_t *routing, const routing_t *before, uint64_t source_hash);
/** routing_add_account() - add a copy of @account with its API keys. Return: false with @error set
 * when the account exists, or one of the keys is already in use */
bool routing_add_account (routing_t *routing,
                          const routing_account_t *account,
                          const char *const *keys,
                          uint32_t key_count,
                          GError **error);
/** routing_add_service() - add a copy of @service, or replace the one of the same name */
void routing_add_service (routing_t *routing, const routing_service_t *service);
/** routing_find_service() - the service with the interned string @name; NULL when it is not
 * configured */
const routing_service_t *routing_find_service (const routing_t *routing, const char *name);
/** routing_set_limits() - set the limits on client requests */
void routing_set_limits (routing_t *routing, const routing_limits_t *limits);
/** routing_require_keys() - require an API key on all routes that are not public */
void routing_require_keys (routing_t *routing);

uint64_t routing_version (const routing_t *routing);
uint32_t routing_route_count (const routing_t *routing);
const routing_limits_t *routing_limits (const routing_t *routing);
/** routing_needs_key() - whether requests on @route must have a valid API key */
bool routing_needs_key (const routing_t *routing, const routing_route_t *route);
/**
 * routing_find_route() - the route with the longest path prefix that matches a request, or NULL
 * @host: value of the Host header, or NULL; port and letter case are ignored
 * @target: path and query
 */
const routing_route_t *
routing_find_route (const routing_t *routing, const char *host, const char *target);
/** routing_longest_stream_ms() - the longest timeout of a route whose streams may go to @service
 * and can be resumed; 0 when there is none */
uint32_t routing_longest_stream_ms (const routing_t *routing, const char *service);
/** routing_find_account() - the account that owns the API key @key, or NULL */
const routing_account_t *routing_find_account (const routing_t *routing, const char *key);
/** routing_route_choose_service() - choose a service by weight; deterministic in @selector, which
 * is a hash or a random number */
const char *routing_route_choose_service (const routing_route_t *route, uint64_t selector);

#define ROUTING_ERROR (routing_error_quark ())
GQuark routing_error_quark (void);
typedef enum
{
  ROUTING_ERROR_ROUTE,   /* an invalid or duplicate route */
  ROUTING_ERROR_ACCOUNT, /* an invalid or duplicate account, or a key in use */
  ROUTING_ERROR_FORMAT   /* text that is not a routing configuration */
} routing_error_t;

#endif
