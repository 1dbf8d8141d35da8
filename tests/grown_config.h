/**
 * DOC: grown_config
 *
 * The configuration of a grown site, and changes of each of its parts. The routes that callers use
 * are there in every version, with at least the times of the first one.
 */
#ifndef TESTS_GROWN_CONFIG_H
#define TESTS_GROWN_CONFIG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define GROWN_CONFIG_FILLERS 1400 /* routes that no caller uses */

/** enum grown_kind - Kinds of requests; each has a route. */
typedef enum
{
  GROWN_SUMMARY, /* long streams that may be resumed */
  GROWN_DRAFT,   /* long streams that may not */
  GROWN_TAG,     /* short streams that may be resumed */
  GROWN_CHECK,   /* non-idempotent */
  GROWN_LOOKUP,  /* idempotent */
  GROWN_KINDS
} grown_kind_t;

/**
 * struct grown_config - What a version states.
 * @more_ms: Added to the timeout of all routes.
 * @moved_percent: Share of a route's requests that go to the other service.
 * @extra_keys, @extra_accounts: Keys that nobody uses.
 * @has_services: Whether the services are listed.
 */
typedef struct
{
  uint32_t version;
  uint32_t more_ms;
  uint32_t aim_ms;
  uint32_t moved_percent[GROWN_KINDS];
  uint32_t attempts;
  uint32_t idle_ms;
  uint32_t header_ms;
  uint32_t body_bytes;
  uint32_t fillers;
  uint32_t extra_keys;
  uint32_t extra_accounts;
  uint32_t account_priority;
  bool has_services;
} grown_config_t;

/** grown_config_init() - The first version. */
void grown_config_init (grown_config_t *config);
/** grown_config_change() - Change one part. Return: What it is. */
const char *grown_config_change (grown_config_t *config, GRand *rand);
/** grown_config_format() - Return: The configuration as JSON text, owned by the caller. */
char *grown_config_format (const grown_config_t *config);
/** grown_config_path() - Return: The path prefix of a kind of requests. */
const char *grown_config_path (grown_kind_t kind);
/** grown_config_timeout_ms() - Return: The least timeout of its route in all versions. */
uint32_t grown_config_timeout_ms (grown_kind_t kind);

#endif
