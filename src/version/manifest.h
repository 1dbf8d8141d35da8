/**
 * DOC: manifest
 *
 * One version of the operators' statement of intent: parsed, checked whole, immutable, counted.
 * A request keeps the version that it started under; the last reference frees it.
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
  MAN_KIND_MODEL, /* model engines: chats, prefix caches, load reports */
  MAN_KIND_PLAIN  /* plain services: paths, some of whose calls may not be repeated */
} man_kind_t;

/**
 * struct man_class - a class of requests
 * @priority: 0 is served first; passed to the engine
 * @deadline_ms: from arrival at the router to the first byte
 * @expected_tokens: output expected, for the cost before the answer is known
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
 * @key_digest: SHA-256 of its key, lower-case hex
 * @weight: share under contention, in thousandths (1000 is the ordinary account)
 * @queue_limit: requests of it that may wait at one sidecar
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
 * @bound_percent: c of the load bound, in hundredths (125 is 1.25 times the mean)
 * @slots: requests that one engine runs at once
 * @cache_lifetime_ms: how long a prefix is expected to stay cached
 * @prefill_tokens_s: prompt tokens that an engine reads in a second, for the cost of a cold start
 * @claim_shards: log streams over which the claims of this service are spread
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
 * struct man_route - which service a request goes to; the first that matches counts
 * @method: NULL for any
 * @path: exact, or a prefix when it ends in '*'
 * @model: for chat completions: the body's "model"; NULL for any
 * @idempotent: false for calls that may not be repeated
 * @class_index: default class; a caller may name another by header
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

typedef struct man man_t;
struct man
{
  gatomicrefcount refs;
  uint64_t version; /* 0 until it is in force */
  char digest[65];  /* SHA-256 of the canonical JSON */
  json_t *json;     /* the canonical document */
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
  MAN_ERROR_SYNTAX,   /* not JSON, a doubled key, too deep, too large */
  MAN_ERROR_UNKNOWN,  /* a key that is not known */
  MAN_ERROR_MISSING,  /* a key that must be there */
  MAN_ERROR_TYPE,     /* a value of the wrong type */
  MAN_ERROR_RANGE,    /* a value out of its range */
  MAN_ERROR_REFERENCE /* a name that nothing defines, or that is defined twice */
} man_error_t;

/**
 * man_parse() - read and check a manifest
 *
 * Return: a new reference, or NULL with an error whose message starts with the path of the fault,
 * e.g. "services.medlar-pool.bound_percent: 90 is not in 100..1000".
 */
man_t *man_parse (const char *text, size_t text_bytes, GError **error);
/** man_from_json() - as man_parse(), from a document; keeps its own reference to it */
man_t *man_from_json (json_t *json, GError **error);
/** man_patch() - the manifest that a JSON merge patch (RFC 7386) makes of @base */
man_t *man_patch (const man_t *base, const json_t *patch, GError **error);

/**
 * man_may_follow() - whether @next may come into force after @man
 *
 * A service keeps its number of claim shards: with another number a key that is resent would be
 * claimed in another stream, where nobody knows of its first claim, and would run twice.
 */
bool man_may_follow (const man_t *man, const man_t *next, GError **error);

man_t *man_ref (man_t *man);
void man_unref (man_t *man);

/** man_account_for_key() - the client account whose key this is, or NULL */
const man_account_t *man_account_for_key (const man_t *man, const char *key);
const man_account_t *man_account_named (const man_t *man, const char *name);
const man_service_t *man_service_named (const man_t *man, const char *name);
const man_service_t *man_service_of_engine (const man_t *man, const char *engine);
const man_class_t *man_class_named (const man_t *man, const char *name);
/** man_route_for() - the route of a request, or NULL; @model may be NULL */
const man_route_t *
man_route_for (const man_t *man, const char *method, const char *path, const char *model);

#endif
