/**
 * DOC: manifest
 *
 * One version of the configuration that operators publish: client accounts, request classes,
 * services with their engines, and routes. A manifest is parsed and validated as a whole, is
 * immutable afterwards and is reference counted, so that each request keeps the version that it
 * started with.
 */
#ifndef VERSION_MANIFEST_H
#define VERSION_MANIFEST_H

#include "base/limits.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  MAN_KIND_MODEL, /* inference engines with chats, prefix caches and load reports */
  MAN_KIND_PLAIN  /* ordinary HTTP services, some of whose calls are not idempotent */
} man_kind_t;

/**
 * struct man_class - a class of requests
 * @priority: 0 is the highest priority, 9 the lowest; passed on to the engine
 * @deadline_ms: longest time from arrival at the router to the first byte of the response
 * @expected_tokens: expected length of the output; the cost estimate uses it until the response
 *   is known
 */
typedef struct
{
  char name[LIM_NAME_BYTES];
  uint32_t priority;
  uint32_t deadline_ms;
  uint32_t expected_tokens;
} man_class_t;

/**
 * struct man_account - a client account
 * @key_digest: SHA-256 of the account's API key, in lower-case hex
 * @weight: relative share under contention, in thousandths; 1000 is the default
 * @queue_limit: maximum number of its requests that may wait at one sidecar
 * @hash: hash of @name
 */
typedef struct
{
  char name[LIM_NAME_BYTES];
  char key_digest[65];
  uint32_t weight;
  uint32_t queue_limit;
  uint64_t hash;
} man_account_t;

/**
 * struct man_service - a service
 * @engines: names of its engines, in the order of the document
 * @bound_percent: factor c of bounded-load hashing, in percent: no engine takes more than c times
 *   the mean load (125 is 1.25 times the mean)
 * @slots: requests that one engine processes concurrently
 * @cache_lifetime_ms: expected time that a prompt prefix stays in an engine's cache
 * @prefill_tokens_s: prompt tokens that an engine processes per second; gives the cost of a
 *   request whose prefix is not cached
 * @claim_shards: number of log streams over which the idempotency-key claims of this service are
 *   partitioned
 * @hash: hash of @name
 */
typedef struct
{
  char name[LIM_NAME_BYTES];
  man_kind_t kind;
  char (*engines)[LIM_NAME_BYTES];
  uint32_t engine_count;
  uint32_t bound_percent;
  uint32_t slots;
  uint32_t cache_lifetime_ms;
  uint32_t prefill_tokens_s;
  uint32_t claim_shards;
  uint64_t hash;
} man_service_t;

/**
 * struct man_route - maps requests to a service; the first matching route wins
 * @method: HTTP method; "" matches any
 * @path: exact path, or a prefix when it ends in '*'
 * @model: value of "model" in the body of a chat completion; "" matches any
 * @service_index: index into the services of the manifest
 * @class_index: index of the default class; a client may name another one in a header
 * @idempotent: false when a request must not be executed more than once
 */
typedef struct
{
  char method[16];
  char path[128];
  char model[LIM_NAME_BYTES];
  uint32_t service_index;
  uint32_t class_index;
  bool idempotent;
} man_route_t;

typedef struct manifest man_t;
struct manifest
{
  gatomicrefcount refs;
  uint64_t version; /* 0 until the manifest is in force */
  char digest[65];  /* SHA-256 of the document in canonical form: compact, keys sorted */
  json_t *json;     /* the document that the tables below were read from */
  man_account_t *accounts;
  uint32_t account_count;
  man_service_t *services;
  uint32_t service_count;
  man_class_t *classes;
  uint32_t class_count;
  man_route_t *routes;
  uint32_t route_count;
  GHashTable *account_by_digest; /* key digest -> man_account_t */
  GHashTable *service_by_engine; /* engine name -> man_service_t */
};

#define MAN_ERROR (man_error_quark ())
GQuark man_error_quark (void);
typedef enum
{
  MAN_ERROR_SYNTAX,   /* not JSON, a duplicate key, nested too deeply or too large */
  MAN_ERROR_UNKNOWN,  /* an unknown key */
  MAN_ERROR_MISSING,  /* a required key is missing */
  MAN_ERROR_TYPE,     /* a value of the wrong type */
  MAN_ERROR_RANGE,    /* a value out of range */
  MAN_ERROR_REFERENCE /* a reference to an undefined name, or a name that is defined twice */
} man_error_t;

/**
 * man_parse() - parse and validate a manifest
 *
 * Return: a new reference, or NULL with @error set. The message starts with the path of the
 * invalid member, e.g. "services.medlar-pool.bound_percent: 90 is not in 100..1000".
 */
man_t *man_parse (const char *text, size_t text_bytes, GError **error);
/** man_from_json() - like man_parse(), from a parsed document, of which it takes a reference */
man_t *man_from_json (json_t *json, GError **error);
/** man_patch() - apply a JSON merge patch (RFC 7386) to @base. Return: a new manifest, or NULL
 * with @error set; @base is unchanged */
man_t *man_patch (const man_t *base, const json_t *patch, GError **error);

/**
 * man_may_follow() - whether @next may replace @manifest as the version in force
 *
 * The number of claim shards of a service can't change. With another number, an idempotency key
 * maps to another stream, which has no record of the first claim, and a retried request would be
 * executed twice.
 */
bool man_may_follow (const man_t *manifest, const man_t *next, GError **error);

man_t *man_ref (man_t *manifest);
void man_unref (man_t *manifest);

/** man_account_for_key() - the client account that owns the API key @key, or NULL */
const man_account_t *man_account_for_key (const man_t *manifest, const char *key);
/** man_account_named() - the client account called @name, or NULL */
const man_account_t *man_account_named (const man_t *manifest, const char *name);
/** man_service_named() - the service called @name, or NULL */
const man_service_t *man_service_named (const man_t *manifest, const char *name);
/** man_service_of_engine() - the service that lists the engine called @engine, or NULL */
const man_service_t *man_service_of_engine (const man_t *manifest, const char *engine);
/** man_class_named() - the request class called @name, or NULL */
const man_class_t *man_class_named (const man_t *manifest, const char *name);
/** man_route_for() - the first route that matches a request, or NULL; @model is NULL when the
 * request names no model */
const man_route_t *
man_route_for (const man_t *manifest, const char *method, const char *path, const char *model);

#endif
