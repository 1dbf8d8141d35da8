#include "site_file.h"

#include "base/clock.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

/** struct parser - @invalid: name of the first member that is missing or invalid, or NULL */
typedef struct
{
  const char *invalid;
} parser_t;

static const char *
parse_text (parser_t *parser, const json_t *object, const char *name)
{
  const char *text = json_string_value (json_object_get (object, name));

  if (!text && !parser->invalid)
    parser->invalid = name;
  return text ? g_intern_string (text) : "";
}

/* A missing number counts as 0, unless it is required. */
static double
parse_number (parser_t *parser, const json_t *object, const char *name, bool required)
{
  const json_t *value = json_object_get (object, name);
  bool valid = value ? json_is_number (value) && json_number_value (value) >= 0 : !required;

  if (!valid && !parser->invalid)
    parser->invalid = name;
  return valid && value ? json_number_value (value) : 0;
}

static uint32_t
parse_count (parser_t *parser, const json_t *object, const char *name)
{
  return (uint32_t)parse_number (parser, object, name, true);
}

static uint64_t
parse_ms_as_us (parser_t *parser, const json_t *object, const char *name, bool required)
{
  return (uint64_t)(parse_number (parser, object, name, required) * CLOCK_US_PER_MS);
}

static routing_kind_t
parse_request_kind (parser_t *parser, const json_t *object)
{
  const char *text = parse_text (parser, object, "kind");

  if (strcmp (text, "stream") == 0)
    return ROUTING_STREAM;
  if (strcmp (text, "idempotent") == 0)
    return ROUTING_IDEMPOTENT;
  if (strcmp (text, "non_idempotent") != 0 && !parser->invalid)
    parser->invalid = "kind";
  return ROUTING_NON_IDEMPOTENT;
}

static site_kind_t
parse_kind (parser_t *parser, const json_t *json)
{
  return (site_kind_t){
    .name = parse_text (parser, json, "name"),
    .service = parse_count (parser, json, "service") % SITE_SERVICES,
    .kind = parse_request_kind (parser, json),
    .resumable = json_is_true (json_object_get (json, "resumable")),
    .attempts = parse_count (parser, json, "attempts"),
    .priority = parse_count (parser, json, "priority"),
    .rate_s = parse_number (parser, json, "rate_s", true),
    .prefixes = (uint32_t)parse_number (parser, json, "parts", false),
    .prefix_tokens = (uint32_t)parse_number (parser, json, "shared_tokens", false),
    .own_tokens = (uint32_t)parse_number (parser, json, "own_tokens", false),
    .events = (uint32_t)parse_number (parser, json, "events", false),
    .work_us = parse_ms_as_us (parser, json, "work_ms", false),
    .aim_us = parse_ms_as_us (parser, json, "aim_ms", true),
    .deadline_us = parse_ms_as_us (parser, json, "deadline_ms", true),
  };
}

static site_service_t
parse_service (parser_t *parser, const json_t *json)
{
  return (site_service_t){ .name = parse_text (parser, json, "name"),
                           .engines = parse_count (parser, json, "engines"),
                           .slots = parse_count (parser, json, "slots"),
                           .queue_limit = parse_count (parser, json, "queue") };
}

static void
parse_site (parser_t *parser, const json_t *json, site_t *site)
{
  const json_t *retries = json_object_get (json, "retries");
  const json_t *services = json_object_get (json, "services");
  const json_t *kinds = json_object_get (json, "kinds");

  site->name = parse_text (parser, json, "name");
  site->gateways = parse_count (parser, json, "gateways");
  site->data_centers = parse_count (parser, json, "data_centers");
  site->accounts = parse_count (parser, json, "accounts");
  site->cache_tokens = (uint64_t)parse_number (parser, json, "cache_tokens", true);
  for (uint32_t i = 0; i < SITE_SERVICES; i++)
    site->services[i] = parse_service (parser, json_array_get (services, i));
  for (uint32_t i = 0; i < SITE_KINDS; i++)
    site->kinds[i] = parse_kind (parser, json_array_get (kinds, i));
  site->retries.ratio_milli = parse_count (parser, retries, "ratio_milli");
  site->retries.slack = parse_count (parser, retries, "slack");
  site->retries.window_us = parse_ms_as_us (parser, retries, "window_ms", true);
}

const site_t *
site_file_read (const char *path)
{
  json_error_t error;
  json_t *json = json_load_file (path, JSON_REJECT_DUPLICATES, &error);
  parser_t parser = { 0 };
  site_t *site;

  if (!json)
    {
      fprintf (stderr, "%s:%d: %s\n", path, error.line, error.text);
      return NULL;
    }
  site = g_new0 (site_t, 1);
  parse_site (&parser, json, site);
  json_decref (json);
  if (!parser.invalid)
    return site;
  fprintf (stderr, "%s: \"%s\" is missing or unsound\n", path, parser.invalid);
  g_free (site);
  return NULL;
}
