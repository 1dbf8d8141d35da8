/* The configuration that the test publishes, and changes of each of its parts. */
#include "soak.h"

#define TIMEOUT_MIN_MS 1800 /* of routes */
#define TIMEOUT_SPREAD_MS 2400
#define AIM_MIN_MS 100
#define AIM_SPREAD_MS 900
#define ATTEMPTS_MAX 2
#define FILLERS_MAX 400
#define KEYS_MAX 6
#define IDLE_TIMEOUT_MIN_MS 600
#define IDLE_TIMEOUT_SPREAD_MS 3400
/* Clients send a request within 450 ms, with less than these bytes. */
#define HEADER_TIMEOUT_MIN_MS 900
#define HEADER_TIMEOUT_SPREAD_MS 9000
#define BODY_MIN_BYTES 8192
#define BODY_SPREAD_BYTES (1024 * 1024)
#define HEADER_MIN_BYTES 4096
#define HEADER_SPREAD_BYTES 60000

/** struct route - what is stated of a kind of requests and never changes; @other_service: to which
 * it is moved */
typedef struct
{
  const char *name;
  const char *kind;
  const char *service;
  const char *other_service;
  const char *members;
} route_t;

static const route_t routes[SOAK_KINDS] = {
  [SOAK_IDEMPOTENT] = { "look", "idempotent", "ledger", "annex", "" },
  [SOAK_NON_IDEMPOTENT] = { "book", "non_idempotent", "ledger", "annex", "" },
  [SOAK_RESUMABLE_STREAM] = { "talk", "stream", "pool", "stage", ",\"resumable\":true" },
  [SOAK_STREAM] = { "tell", "stream", "pool", "stage", "" }
};

void
soak_config_init (soak_config_t *config)
{
  *config = (soak_config_t){ .attempts = { 2, 1, 2, 1 } };
  for (uint32_t kind = 0; kind < SOAK_KINDS; kind++)
    {
      config->timeout_ms[kind] = 2500;
      config->aim_ms[kind] = 300;
    }
}

static void
append_service (GString *text, const soak_config_t *config, uint32_t kind)
{
  const route_t *route = &routes[kind];
  uint32_t percent = config->moved_percent[kind];

  if (percent == 0 || percent == 100)
    g_string_append_printf (text, "\"service\":\"%s\"",
                            percent == 0 ? route->service : route->other_service);
  else
    g_string_append_printf (text,
                            "\"backends\":[{\"service\":\"%s\",\"weight\":%u},"
                            "{\"service\":\"%s\",\"weight\":%u}]",
                            route->service, 100 - percent, route->other_service, percent);
}

static void
append_route (GString *text, const soak_config_t *config, uint32_t kind)
{
  const route_t *route = &routes[kind];

  g_string_append_printf (text,
                          "{\"name\":\"%s\",\"host\":\"h.example\",\"path_prefix\":\"/%s/\","
                          "\"kind\":\"%s\",\"timeout_ms\":%u,\"aim_ms\":%u,",
                          route->name, route->name, route->kind, config->timeout_ms[kind],
                          config->aim_ms[kind]);
  append_service (text, config, kind);
  if (config->attempts[kind] > 1)
    g_string_append_printf (text, ",\"attempts\":%u", config->attempts[kind]);
  g_string_append_printf (text, "%s}", route->members);
}

/* The routes of each version since the second, and those that no client uses. */
static void
append_version_routes (GString *text, const soak_config_t *config, uint32_t version)
{
  for (uint32_t route = 2; route <= version; route++)
    {
      g_string_append_printf (text,
                              "{\"name\":\"v%u\",\"host\":\"h.example\",\"path_prefix\":\"/v%u/\","
                              "\"kind\":\"idempotent\",\"timeout_ms\":%u,\"attempts\":%u,",
                              route, route, config->timeout_ms[SOAK_IDEMPOTENT],
                              config->attempts[SOAK_IDEMPOTENT]);
      append_service (text, config, SOAK_IDEMPOTENT);
      g_string_append (text, "},");
    }
  for (uint32_t filler = 0; filler < config->fillers; filler++)
    g_string_append_printf (text,
                            "{\"name\":\"f%u\",\"host\":\"h.example\",\"path_prefix\":\"/f%u/\","
                            "\"kind\":\"idempotent\",\"timeout_ms\":%u,\"service\":\"ledger\"},",
                            filler, filler, config->timeout_ms[SOAK_IDEMPOTENT]);
}

static void
append_accounts (GString *text, const soak_config_t *config)
{
  g_string_append (text, "\"tenants\":[{\"name\":\"alpha\",\"api_keys\":[\"key-1\"");
  for (uint32_t key = 0; key < KEYS_MAX; key += 2)
    if (config->keys & 1U << key)
      g_string_append_printf (text, ",\"unused-%u\"", key);
  g_string_append (text, "]}");
  for (uint32_t key = 1; key < KEYS_MAX; key += 2)
    if (config->keys & 1U << key)
      g_string_append_printf (text, ",{\"name\":\"beta-%u\",\"api_keys\":[\"unused-%u\"]}", key,
                              key);
  g_string_append_c (text, ']');
}

char *
soak_config_format (const soak_config_t *config, uint32_t version)
{
  GString *text = g_string_new (NULL);

  g_string_append_printf (text, "{\"version\":%u,\"routes\":[", version);
  for (uint32_t kind = 0; kind < SOAK_STREAM; kind++)
    {
      append_route (text, config, kind);
      g_string_append_c (text, ',');
    }
  append_version_routes (text, config, version);
  append_route (text, config, SOAK_STREAM);
  g_string_append (text, "],");
  append_accounts (text, config);
  if (config->idle_timeout_ms > 0)
    g_string_append_printf (text,
                            ",\"limits\":{\"idle_timeout_ms\":%u,\"header_timeout_ms\":%u,"
                            "\"max_body_bytes\":%u,\"max_header_bytes\":%u}",
                            config->idle_timeout_ms, config->header_timeout_ms,
                            config->max_body_bytes, config->max_header_bytes);
  g_string_append_c (text, '}');
  return g_string_free (text, FALSE);
}

static uint32_t
draw (GRand *rand, uint32_t from, uint32_t spread)
{
  return from + (uint32_t)g_rand_int_range (rand, 0, (gint32)spread);
}

static char *
change_limit (soak_config_t *config, GRand *rand)
{
  uint32_t limit = config->idle_timeout_ms == 0 ? 4 : draw (rand, 0, 5);

  if (limit == 0 || limit == 4)
    config->idle_timeout_ms = draw (rand, IDLE_TIMEOUT_MIN_MS, IDLE_TIMEOUT_SPREAD_MS);
  if (limit == 1 || limit == 4)
    config->header_timeout_ms = draw (rand, HEADER_TIMEOUT_MIN_MS, HEADER_TIMEOUT_SPREAD_MS);
  if (limit == 2 || limit == 4)
    config->max_body_bytes = draw (rand, BODY_MIN_BYTES, BODY_SPREAD_BYTES);
  if (limit == 3 || limit == 4)
    config->max_header_bytes = draw (rand, HEADER_MIN_BYTES, HEADER_SPREAD_BYTES);
  return g_strdup_printf ("idle timeout %u ms, header timeout %u ms, body %u bytes, head %u bytes",
                          config->idle_timeout_ms, config->header_timeout_ms,
                          config->max_body_bytes, config->max_header_bytes);
}

static char *
change_many (soak_config_t *config, GRand *rand)
{
  config->fillers = draw (rand, 0, FILLERS_MAX);
  for (uint32_t kind = 0; kind < SOAK_KINDS; kind++)
    {
      config->timeout_ms[kind] = draw (rand, TIMEOUT_MIN_MS, TIMEOUT_SPREAD_MS);
      config->moved_percent[kind] = draw (rand, 0, 3) * 50;
    }
  return g_strdup_printf ("all routes, and %u unused ones", config->fillers);
}

static char *
change_route (soak_config_t *config, GRand *rand)
{
  uint32_t kind = draw (rand, 0, SOAK_KINDS);
  const char *name = routes[kind].name;

  switch (draw (rand, 0, 5))
    {
    case 0:
      config->timeout_ms[kind] = draw (rand, TIMEOUT_MIN_MS, TIMEOUT_SPREAD_MS);
      return g_strdup_printf ("%s: timeout %u ms", name, config->timeout_ms[kind]);
    case 1:
      config->attempts[kind] = draw (rand, 1, ATTEMPTS_MAX);
      return g_strdup_printf ("%s: %u attempts", name, config->attempts[kind]);
    case 2:
      config->aim_ms[kind] = draw (rand, AIM_MIN_MS, AIM_SPREAD_MS);
      return g_strdup_printf ("%s: aim %u ms", name, config->aim_ms[kind]);
    case 3:
      config->moved_percent[kind] = draw (rand, 1, 99);
      break;
    default:
      config->moved_percent[kind] = config->moved_percent[kind] < 50 ? 100 : 0;
    }
  return g_strdup_printf ("%s: %u%% at %s", name, config->moved_percent[kind],
                          routes[kind].other_service);
}

char *
soak_config_change (soak_config_t *config, GRand *rand)
{
  switch (draw (rand, 0, 6))
    {
    case 0:
    case 1:
      return change_limit (config, rand);
    case 2:
      config->keys ^= 1U << draw (rand, 0, KEYS_MAX);
      return g_strdup_printf ("unused keys %x", config->keys);
    case 3:
      return change_many (config, rand);
    default:
      return change_route (config, rand);
    }
}

/* A version that was replaced may be in force for so long as another takes to reach all. */
uint64_t
soak_config_least (const soak_t *soak,
                   uint64_t from_us,
                   uint64_t to_us,
                   uint64_t (*get) (const soak_config_t *config, uint32_t kind),
                   uint32_t kind)
{
  uint64_t least = UINT64_MAX;

  for (uint32_t version = 1; version < soak->configs->len; version++)
    {
      const soak_config_t *config = &g_array_index (soak->configs, soak_config_t, version);
      bool is_replaced =
          version + 1 < soak->configs->len && version < soak->acked_version &&
          g_array_index (soak->acked_us, uint64_t, version + 1) + (uint64_t)SOAK_DRAIN_MS * 1000 <
              from_us;

      if (!is_replaced && config->written_us <= to_us)
        least = MIN (least, get (config, kind));
    }
  return least;
}
