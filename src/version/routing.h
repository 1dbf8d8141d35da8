/**
 * DOC: routing
 *
 * One version of the operators' routing rules: routes by host and longest path prefix, the services
 * behind them, client accounts with their keys, and limits towards callers. Immutable once built
 * and counted by references, so that a request keeps the version that it started under.
 */
#ifndef VERSION_ROUTING_H
#define VERSION_ROUTING_H

#include "base/limits.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  RTE_IDEMPOTENT,     /* may run more than once */
  RTE_NON_IDEMPOTENT, /* runs at most once */
  RTE_STREAM          /* a series of events; may be repeated only where it can be resumed */
} rte_kind_t;

/** struct rte_target - one service of a route, chosen by @weight against the others' sum */
typedef struct
{
  const char *service; /* interned */
  uint32_t weight;
} rte_target_t;

/**
 * struct rte_route - a route
 * @path_prefix: begins and ends with a slash
 * @timeout_ms: longest time that a caller is kept waiting
 * @aim_ms: time within which an answer is worth most
 * @attempts: engines that may run one request
 * @priority: 0 is first
 * @gap_ms: of a stream: longest pause between events that is still on time; 0 is unknown
 * @silence_ms: a stream's callers leave when nothing has come for so long; 0 is unknown
 * @is_public: needs no key
 * @sticky: requests share parts of their prompts
 * @resumable: a stream may go on at another engine
 * @regions: whose engines may get its requests; NULL is all
 * @source_hash: of the text that it was read from, for rte_reuse_route(); 0 when there is none
 */
typedef struct
{
  char *name;
  char *host;
  char *path_prefix;
  rte_kind_t kind;
  uint32_t timeout_ms;
  uint32_t aim_ms;
  uint32_t attempts;
  uint32_t priority;
  uint32_t gap_ms;
  uint32_t silence_ms;
  bool is_public;
  bool sticky;
  bool resumable;
  GArray *targets; /* rte_target_t, at least one */
  char **regions;
  uint64_t source_hash;
  gint refs;   /* tables that hold it */
  char *place; /* host and prefix */
} rte_route_t;

/**
 * struct rte_account - a client account
 * @priority: goes before the route's when @has_priority
 * @regions: whose engines may get its requests; NULL is all
 */
typedef struct
{
  char *name;
  uint64_t hash;
  uint32_t priority;
  bool has_priority;
  char **regions;
} rte_account_t;

/**
 * struct rte_service - what operators say of a service
 * @cold_per_s: requests a second that an engine bears while it is cold; 0 is unknown
 * @cold_start_us: how long an engine is cold after its start; 0 is not at all
 */
typedef struct
{
  const char *name; /* interned */
  uint32_t cold_per_s;
  uint64_t cold_start_us;
} rte_service_t;

/**
 * struct rte_limits - what a caller may send, and how long it may take; 0 keeps the setting
 */
typedef struct
{
  uint32_t header_bytes;
  uint32_t body_bytes;
  uint32_t header_timeout_ms;
  uint32_t idle_timeout_ms;
} rte_limits_t;

typedef struct rte rte_t;

/** rte_new() - an empty table of @version, with one reference; filled by the rte_add_*() functions
 * before anybody else holds it */
rte_t *rte_new (uint64_t version);
rte_t *rte_ref (rte_t *rte);
void rte_unref (rte_t *rte);

/** rte_route_new() - for rte_add_route(), with a private copy of the three texts */
rte_route_t *rte_route_new (const char *name, const char *host, const char *path_prefix);
void rte_route_target (rte_route_t *route, const char *service, uint32_t weight);
void rte_route_unref (rte_route_t *route);
/** rte_add_route() - takes @route over. Return: false, with @route freed, when it is not sound: a
 * prefix without its slashes, no target, or the host and prefix of another route */
bool rte_add_route (rte_t *rte, rte_route_t *route, GError **error);
/** rte_reuse_route() - add the route of @before that was read from the same text. Return: false
 * when there is none, or its place is taken */
bool rte_reuse_route (rte_t *rte, const rte_t *before, uint64_t source_hash);
/** rte_add_account() - with private copies. Return: false when a key is held by another account
 * already */
bool rte_add_account (rte_t *rte,
                      const rte_account_t *account,
                      const char *const *keys,
                      uint32_t key_count,
                      GError **error);
void rte_add_service (rte_t *rte, const rte_service_t *service);
/** rte_service() - by its interned name; NULL when operators say nothing of it */
const rte_service_t *rte_service (const rte_t *rte, const char *name);
/** rte_set_limits() - what callers may send */
void rte_set_limits (rte_t *rte, const rte_limits_t *limits);
/** rte_require_keys() - callers must show a key, on routes that are not public */
void rte_require_keys (rte_t *rte);

uint64_t rte_version (const rte_t *rte);
uint32_t rte_route_count (const rte_t *rte);
const rte_limits_t *rte_limits (const rte_t *rte);
bool rte_needs_key (const rte_t *rte, const rte_route_t *route);
/**
 * rte_find() - the route of the longest prefix that begins @target's path
 * @host: as in the header Host: a port is left out, letter case does not count
 * @target: path and query
 */
const rte_route_t *rte_find (const rte_t *rte, const char *host, const char *target);
/** rte_account() - the account that holds @key, or NULL */
const rte_account_t *rte_account (const rte_t *rte, const char *key);
/** rte_target() - the service that @dice chooses by weight; equal dice choose alike */
const char *rte_target (const rte_route_t *route, uint64_t dice);

#define RTE_ERROR (rte_error_quark ())
GQuark rte_error_quark (void);
typedef enum
{
  RTE_ERROR_ROUTE,
  RTE_ERROR_ACCOUNT,
  RTE_ERROR_FORM
} rte_error_t;

#endif
