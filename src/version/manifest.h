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
  MANIFEST_KIND_MODEL, /* inference engines with chats, prefix caches and load reports */
  MANIFEST_KIND_PLAIN  /* ordinary HTTP services, some of whose calls are not idempotent */
} manifest_kind_t;

/**
 * struct manifest_class - a class of requests
 * @priority: 0 is the highest priority, 9 the lowest; passed on to the engine
 * @deadline_ms: longest time from arrival at the router to the first byte of the response
 * @expected_tokens: expected length of the output; the cost estimate uses it until the response
 *   is known
 */
typedef struct
{
  char name[LIMIT_NAME_BYTES];
  uint32_t priority;
  uint32_t deadline_ms;
  uint32_t expected_tokens;
} manifest_class_t;

/**
 * struct manifest_account - a client account
 * @key_digest: SHA-256 of the account's API key, in lower-case hex
 * @weight: relative share under contention, in thousandths; 1000 is the default
 * @queue_limit: maximum number of its requests that may wait at one sidecar
 * @hash: hash of @name
 */
typedef struct
{
  char name[LIMIT_NAME_BYTES];
  char key_digest[65];
  uint32_t weight;
  uint32_t queue_limit;
  uint64_t hash;
} manifest_account_t;

/**
 * struct manifest_service - a service
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
  char name[LIMIT_NAME_BYTES];
  manifest_kind_t kind;
  char (*engines)[LIMIT_NAME_BYTES];
  uint32_t engine_count;
  uint32_t bound_percent;
  uint32_t slots;
  uint32_t cache_lifetime_ms;
  uint32_t prefill_tokens_s;
  uint32_t claim_shards;
  uint64_t hash;
} manifest_service_t;

/**
 * struct manifest_route - maps requests to a service; the first matching route wins
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
  char model[LIMIT_NAME_BYTES];
  uint32_t service_index;
  uint32_t class_index;
  bool idempotent;
} manifest_route_t;

typedef struct manifest manifest_t;
struct manifest
{
  gatomicrefcount refs;
  uint64_t version; /* 0 until the manifest is in force */
  char digest[65];  /* SHA-256 of the document in canonical form: compact, keys sorted */
  json_t *json;     /* the document that the tables below were read from */
  manifest_account_t *accounts;
  uint32_t account_count;
  manifest_service_t *services;
  uint32_t service_count;
  manifest_class_t *classes;
  uint32_t class_count;
  manifest_route_t *routes;
  uint32_t route_count;
  GHashTable *account_by_digest; /* key digest -> manifest_account_t */
  GHashTable *service_by_engine; /* engine name -> manifest_service_t */
};

#define MANIFEST_ERROR (manifest_error_quark ())
GQuark manifest_error_quark (void);
typedef enum
{
  MANIFEST_ERROR_SYNTAX,   /* not JSON, a duplicate key, nested too deeply or too large */
  MANIFEST_ERROR_UNKNOWN,  /* an unknown key */
  MANIFEST_ERROR_MISSING,  /* a required key is missing */
  MANIFEST_ERROR_TYPE,     /* a value of the wrong type */
  MANIFEST_ERROR_RANGE,    /* a value out of range */
  MANIFEST_ERROR_REFERENCE /* a reference to an undefined name, or a name that is defined twice */
} manifest_error_t;

/**
 * manifest_parse() - parse and validate a manifest
 *
 * Return: a new reference, or NULL with @error set. The message starts with the path of the
 * invalid member, e.g. "services.medlar-pool.bound_percent: 90 is not in 100..1000".
 */
manifest_t *manifest_parse (const char *text, size_t text_bytes, GError **error);
/** manifest_from_json() - like manifest_parse(), from a parsed document, of which it takes a
 * reference */
manifest_t *manifest_from_json (json_t *json, GError **error);
/** manifest_patch() - apply a JSON merge patch (RFC 7386) to @base. Return: a new manifest, or NULL
 * with @error set; @base is unchanged */
manifest_t *manifest_patch (const manifest_t *base, const json_t *patch, GError **error);

/**
 * manifest_may_follow() - whether @next may replace @manifest as the version in force
 *
 * The number of claim shards of a service can't change. With another number, an idempotency key
 * maps to another stream, which has no record of the first claim, and a retried request would be
 * executed twice.
 */
bool manifest_may_follow (const manifest_t *manifest, const manifest_t *next, GError **error);

manifest_t *manifest_ref (manifest_t *manifest);
void manifest_unref (manifest_t *manifest);

/** manifest_account_for_key() - the client account that owns the API key @key, or NULL */
const manifest_account_t *manifest_account_for_key (const manifest_t *manifest, const char *key);
/** manifest_find_account() - the client account called @name, or NULL */
const manifest_account_t *manifest_find_account (const manifest_t *manifest, const char *name);
/** manifest_find_service() - the service called @name, or NULL */
const manifest_service_t *manifest_find_service (const manifest_t *manifest, const char *name);
/** manifest_service_of_engine() - the service that lists the engine called @engine, or NULL */
const manifest_service_t *manifest_service_of_engine (const manifest_t *manifest,
                                                      const char *engine);
/** manifest_find_class() - the request class called @name, or NULL */
const manifest_class_t *manifest_find_class (const manifest_t *manifest, const char *name);
/** manifest_find_route() - the first route that matches a request, or NULL; @model is NULL when the
 * request names no model */
const manifest_route_t *manifest_find_route (const manifest_t *manifest,
                                             const char *method,
                                             const char *path,
                                             const char *model);

#endif
