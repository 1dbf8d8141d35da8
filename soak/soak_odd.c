/* Another writer that leaves odd records in the store: under keys of its own, and under those of
 * upstreams and gateways. */
#include "soak.h"

#include "connection/platform_client.h"

#include <jansson.h>
#include <string.h>

#define INTERVAL_MIN_MS 200
#define INTERVAL_SPREAD_MS 600
#define TIMEOUT_MS 1000
#define ANSWER_BYTES_MAX (16 * 1024 * 1024)
#define RECORD_BYTES_MAX 262144
#define KEYS 40 /* of the writer itself */
#define ENGINES_TOPIC "keyed.servers"
#define FIELDS "\"service\":\"ledger\",\"zone\":\"hall-1\",\"state\":\"ready\",\"cold_left_ms\":0"
#define ENTRY(more) "{" FIELDS ",\"version\":\"v1\",\"seq\":1," more "}"
#define ADDRESS ",\"addr\":\"127.0.0.1:1\",\"slots\":8"

static const char *const odd_values[] = {
  " ",
  "null",
  "{\"service\":",
  "\xff\xfe",
  ENTRY ("\"addr\":\"127.0.0.1:65536\",\"slots\":8"),
  ENTRY ("\"addr\":\"127.0.0.1:0\",\"slots\":8"),
  ENTRY ("\"addr\":\"127.0.0.1:1\",\"slots\":123456789012345678901234567890"),
  ENTRY ("\"addr\":\"127.0.0.1:1\",\"slots\":1e999"),
  ENTRY ("\"addr\":\"127.0.0.1:1\",\"slots\":-1"),
  ENTRY ("\"addr\":[[[[]]]],\"slots\":{}"),
  "{" FIELDS ADDRESS ",\"version\":\"v1\",\"seq\":\"17\"}",
  "{" FIELDS ADDRESS ",\"version\":\"v1\"}",
  "{" FIELDS ADDRESS ",\"seq\":1}",
};

static uint32_t
draw (soak_t *soak, uint32_t below)
{
  return (uint32_t)g_rand_int_range (soak->odd.rand, 0, (gint32)below);
}

/* Nested, as large as a record may be, or one of the above. */
static char *
make_value (soak_t *soak)
{
  uint32_t kind = draw (soak, 3);
  char *value;

  if (kind == 2)
    return g_strdup (odd_values[draw (soak, G_N_ELEMENTS (odd_values))]);
  value = g_strnfill (kind == 0 ? 1 + draw (soak, 100000) : RECORD_BYTES_MAX - 64, '[');
  if (draw (soak, 2) == 0)
    memset (value + strlen (value) / 2, ']', strlen (value) - strlen (value) / 2);
  return value;
}

static void
ignore_answer (const platform_client_answer_t *answer, void *context)
{
  (void)answer;
  (void)context;
}

static void
ignore_drop (void *context)
{
  (void)context;
}

static void
put (soak_t *soak, const char *topic, const char *key)
{
  g_autofree char *value = make_value (soak);
  g_autofree char *target = g_strdup_printf ("/log-append?topic=%s&part=0", topic);
  GString *body = g_string_new (NULL);
  size_t length = 1 + strlen (key) + strlen (value);

  for (int shift = 24; shift >= 0; shift -= 8)
    g_string_append_c (body, (char)(length >> shift));
  g_string_append_c (body, (char)strlen (key));
  g_string_append (body, key);
  g_string_append (body, value);
  soak_log (soak, "odd record of %zu bytes: %s in %s", length, key, topic);
  platform_client_start (soak->odd.client,
                         &(platform_client_request_t){ .method = "POST",
                                                       .target = target,
                                                       .body = body->str,
                                                       .body_bytes = body->len,
                                                       .timeout_ms = TIMEOUT_MS,
                                                       .answer_limit_bytes = ANSWER_BYTES_MAX,
                                                       .done = ignore_answer,
                                                       .on_dropped = ignore_drop });
  g_string_free (body, TRUE);
}

/* Writes under the key of one of the upstreams, or of an odd record before. */
static void
on_upstreams (const platform_client_answer_t *answer, void *context)
{
  soak_t *soak = context;
  json_t *page =
      answer->status == 200 ? json_loadb (answer->body, answer->body_bytes, 0, NULL) : NULL;
  const json_t *items = json_object_get (page, "items");
  const char *key = NULL;

  if (json_array_size (items) > 0)
    key = json_string_value (json_object_get (
        json_array_get (items, draw (soak, (uint32_t)json_array_size (items))), "key"));
  if (key)
    put (soak, ENGINES_TOPIC, key);
  json_decref (page);
}

static void
write_odd_record (soak_t *soak)
{
  uint32_t kind = draw (soak, 4);
  g_autofree char *own = g_strdup_printf ("odd \"%u\\", draw (soak, KEYS));
  g_autofree char *gateway = g_strdup_printf ("gateway-%u", draw (soak, soak->gateway_count));

  if (kind == 0)
    put (soak, ENGINES_TOPIC, own);
  else if (kind == 1)
    put (soak, SOAK_ROUTERS_TOPIC, draw (soak, 2) == 0 ? own : gateway);
  else if (kind == 2)
    put (soak, "keyed.op", own);
  else
    platform_client_start (
        soak->odd.client,
        &(platform_client_request_t){ .method = "GET",
                                      .target = "/log-newest?topic=" ENGINES_TOPIC "&part=0",
                                      .timeout_ms = TIMEOUT_MS,
                                      .answer_limit_bytes = ANSWER_BYTES_MAX,
                                      .done = on_upstreams,
                                      .on_dropped = ignore_drop,
                                      .context = soak });
}

void
soak_poll_odd (soak_t *soak)
{
  if (soak->odd.next_us == 0 || soak_now_us () < soak->odd.next_us)
    return;
  write_odd_record (soak);
  soak->odd.next_us =
      soak_now_us () + (uint64_t)(INTERVAL_MIN_MS + draw (soak, INTERVAL_SPREAD_MS)) * 1000;
}

void
soak_begin_odd (soak_t *soak)
{
  address_t store = soak_store_address (soak);

  soak->odd.rand = g_rand_new_with_seed ((guint32)soak->seed);
  soak->odd.client = platform_client_new (soak->base, &store, NULL);
  soak->odd.next_us = soak_now_us ();
}

void
soak_end_odd (soak_t *soak)
{
  g_clear_pointer (&soak->odd.client, platform_client_free);
  soak->odd.next_us = 0;
}
