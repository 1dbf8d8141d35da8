#include "site_file.h"

#include "base/clock.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

/** struct reading - @fault: the first member that is missing or of another type, NULL while all is
 * well */
typedef struct
{
  const char *fault;
} reading_t;

static const char *
text_of (reading_t *reading, const json_t *object, const char *name)
{
  const char *text = json_string_value (json_object_get (object, name));

  if (!text && !reading->fault)
    reading->fault = name;
  return text ? g_intern_string (text) : "";
}

/* One that is missing is 0, unless it is @needed. */
static double
number_of (reading_t *reading, const json_t *object, const char *name, bool needed)
{
  const json_t *value = json_object_get (object, name);
  bool sound = value ? json_is_number (value) && json_number_value (value) >= 0 : !needed;

  if (!sound && !reading->fault)
    reading->fault = name;
  return sound && value ? json_number_value (value) : 0;
}

static uint32_t
count_of (reading_t *reading, const json_t *object, const char *name)
{
  return (uint32_t)number_of (reading, object, name, true);
}

static uint64_t
us_of (reading_t *reading, const json_t *object, const char *name, bool needed)
{
  return (uint64_t)(number_of (reading, object, name, needed) * CLK_US_PER_MS);
}

static rte_kind_t
kind_of (reading_t *reading, const json_t *object)
{
  const char *text = text_of (reading, object, "kind");

  if (strcmp (text, "stream") == 0)
    return RTE_STREAM;
  if (strcmp (text, "idempotent") == 0)
    return RTE_IDEMPOTENT;
  if (strcmp (text, "non_idempotent") != 0 && !reading->fault)
    reading->fault = "kind";
  return RTE_NON_IDEMPOTENT;
}

static sit_kind_t
read_kind (reading_t *reading, const json_t *json)
{
  return (sit_kind_t){
    .name = text_of (reading, json, "name"),
    .service = count_of (reading, json, "service") % SIT_SERVICES,
    .kind = kind_of (reading, json),
    .resumable = json_is_true (json_object_get (json, "resumable")),
    .attempts = count_of (reading, json, "attempts"),
    .priority = count_of (reading, json, "priority"),
    .rate_s = number_of (reading, json, "rate_s", true),
    .parts = (uint32_t)number_of (reading, json, "parts", false),
    .shared_tokens = (uint32_t)number_of (reading, json, "shared_tokens", false),
    .own_tokens = (uint32_t)number_of (reading, json, "own_tokens", false),
    .events = (uint32_t)number_of (reading, json, "events", false),
    .work_us = us_of (reading, json, "work_ms", false),
    .aim_us = us_of (reading, json, "aim_ms", true),
    .deadline_us = us_of (reading, json, "deadline_ms", true),
  };
}

static sit_service_t
read_service (reading_t *reading, const json_t *json)
{
  return (sit_service_t){ .name = text_of (reading, json, "name"),
                          .engines = count_of (reading, json, "engines"),
                          .slots = count_of (reading, json, "slots"),
                          .queue = count_of (reading, json, "queue") };
}

static void
read_site (reading_t *reading, const json_t *json, sit_t *site)
{
  const json_t *retries = json_object_get (json, "retries");
  const json_t *services = json_object_get (json, "services");
  const json_t *kinds = json_object_get (json, "kinds");

  site->name = text_of (reading, json, "name");
  site->gateways = count_of (reading, json, "gateways");
  site->data_centers = count_of (reading, json, "data_centers");
  site->accounts = count_of (reading, json, "accounts");
  site->cache_tokens = (uint64_t)number_of (reading, json, "cache_tokens", true);
  for (uint32_t i = 0; i < SIT_SERVICES; i++)
    site->services[i] = read_service (reading, json_array_get (services, i));
  for (uint32_t i = 0; i < SIT_KINDS; i++)
    site->kinds[i] = read_kind (reading, json_array_get (kinds, i));
  site->retries.ratio_milli = count_of (reading, retries, "ratio_milli");
  site->retries.slack = count_of (reading, retries, "slack");
  site->retries.window_us = us_of (reading, retries, "window_ms", true);
}

const sit_t *
sif_read (const char *path)
{
  json_error_t error;
  json_t *json = json_load_file (path, JSON_REJECT_DUPLICATES, &error);
  reading_t reading = { 0 };
  sit_t *site;

  if (!json)
    {
      fprintf (stderr, "%s:%d: %s\n", path, error.line, error.text);
      return NULL;
    }
  site = g_new0 (sit_t, 1);
  read_site (&reading, json, site);
  json_decref (json);
  if (!reading.fault)
    return site;
  fprintf (stderr, "%s: \"%s\" is missing or unsound\n", path, reading.fault);
  g_free (site);
  return NULL;
}
