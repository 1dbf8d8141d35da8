#include "grown_config.h"

#define IDLE_MIN_MS 800
#define IDLE_SPREAD_MS 3200
#define HEADER_MIN_MS 500
#define HEADER_SPREAD_MS 4000
#define BODY_MIN_BYTES 65536
#define BODY_SPREAD_BYTES 4000000
#define MORE_SPREAD_MS 2000
#define AIM_SPREAD_MS 1000

static const struct
{
  const char *name;
  const char *kind;
  const char *service;
  uint32_t timeout_ms;
  uint32_t attempts;
  const char *members;
} routes[GROWN_KINDS] = {
  { "summary", "stream", "pool", 15000, 2, ",\"resumable\":true,\"gap_target_ms\":500" },
  { "draft", "stream", "pool", 12000, 1, ",\"gap_target_ms\":500" },
  { "tag", "stream", "pool", 6000, 2, ",\"resumable\":true,\"gap_target_ms\":500" },
  { "check", "non_idempotent", "portal", 4000, 1, "" },
  { "lookup", "idempotent", "portal", 4000, 2, "" },
};

void
grown_config_init (grown_config_t *config)
{
  *config = (grown_config_t){ .version = 1,
                              .aim_ms = 500,
                              .idle_ms = 3000,
                              .header_ms = 2000,
                              .body_bytes = BODY_MIN_BYTES,
                              .has_services = true };
}

const char *
grown_config_path (grown_kind_t kind)
{
  return routes[kind].name;
}

uint32_t
grown_config_timeout_ms (grown_kind_t kind)
{
  return routes[kind].timeout_ms;
}

static uint32_t
draw (GRand *rand, uint32_t from, uint32_t spread)
{
  return from + (uint32_t)g_rand_int_range (rand, 0, (gint32)spread);
}

const char *
grown_config_change (grown_config_t *config, GRand *rand)
{
  uint32_t kind = draw (rand, 0, GROWN_KINDS);

  config->version += draw (rand, 1, 3);
  switch (draw (rand, 0, 12))
    {
    case 0:
    case 1:
      config->idle_ms = draw (rand, IDLE_MIN_MS, IDLE_SPREAD_MS);
      return "idle timeout";
    case 2:
      config->header_ms = draw (rand, HEADER_MIN_MS, HEADER_SPREAD_MS);
      return "header timeout";
    case 3:
      config->more_ms = draw (rand, 0, MORE_SPREAD_MS);
      return "timeouts";
    case 4:
      config->moved_percent[kind] = config->moved_percent[kind] < 50 ? 100 : 0;
      return "a route moves";
    case 5:
      config->moved_percent[kind] = draw (rand, 1, 99);
      return "weights";
    case 6:
    case 7:
      config->fillers = config->fillers ? 0 : GROWN_CONFIG_FILLERS;
      return "unused routes by the hundred";
    case 8:
      config->extra_keys = draw (rand, 0, 20);
      config->extra_accounts = draw (rand, 0, 20);
      return "keys and accounts";
    case 9:
      config->account_priority = draw (rand, 0, 3);
      return "priority of the account";
    case 10:
      config->has_services = !config->has_services;
      return "services";
    default:
      config->attempts = draw (rand, 0, 2);
      config->aim_ms = draw (rand, 100, AIM_SPREAD_MS);
      config->body_bytes = draw (rand, BODY_MIN_BYTES, BODY_SPREAD_BYTES);
      return "attempts, aims, sizes";
    }
}

static void
append_route (GString *text, const grown_config_t *config, grown_kind_t kind)
{
  uint32_t percent = config->moved_percent[kind];
  const char *service = routes[kind].service;

  g_string_append_printf (text,
                          "{\"name\":\"%s\",\"host\":\"fleet\",\"path_prefix\":\"/%s/\","
                          "\"kind\":\"%s\",\"timeout_ms\":%u,\"aim_ms\":%u,\"attempts\":%u%s,",
                          routes[kind].name, routes[kind].name, routes[kind].kind,
                          routes[kind].timeout_ms + config->more_ms, config->aim_ms,
                          routes[kind].attempts + config->attempts, routes[kind].members);
  if (percent == 0 || percent == 100)
    g_string_append_printf (text, "\"service\":\"%s%s\"}", service, percent ? "2" : "");
  else
    g_string_append_printf (text,
                            "\"backends\":[{\"service\":\"%s\",\"weight\":%u},"
                            "{\"service\":\"%s2\",\"weight\":%u}]}",
                            service, 100 - percent, service, percent);
}

static void
append_accounts (GString *text, const grown_config_t *config)
{
  g_string_append_printf (
      text, "\"tenants\":[{\"name\":\"alpha\",\"priority\":%u,\"api_keys\":[\"key-1\"",
      config->account_priority);
  for (uint32_t i = 0; i < config->extra_keys; i++)
    g_string_append_printf (text, ",\"unused-%u\"", i);
  g_string_append (text, "]}");
  for (uint32_t i = 0; i < config->extra_accounts; i++)
    g_string_append_printf (text, ",{\"name\":\"beta-%u\",\"api_keys\":[\"beta-key-%u\"]}", i, i);
  g_string_append_c (text, ']');
}

char *
grown_config_format (const grown_config_t *config)
{
  GString *text = g_string_new (NULL);

  g_string_append_printf (text, "{\"version\":%u,\"routes\":[", config->version);
  for (uint32_t i = 0; i < config->fillers; i++)
    g_string_append_printf (text,
                            "{\"name\":\"f%u\",\"host\":\"fleet\",\"path_prefix\":\"/f%u/\","
                            "\"kind\":\"idempotent\",\"timeout_ms\":%u,\"service\":\"portal\"},",
                            i, i, routes[GROWN_LOOKUP].timeout_ms + config->more_ms);
  for (grown_kind_t kind = 0; kind < GROWN_KINDS; kind++)
    {
      append_route (text, config, kind);
      g_string_append_c (text, kind + 1 < GROWN_KINDS ? ',' : ']');
    }
  g_string_append_c (text, ',');
  if (config->has_services)
    g_string_append (text, "\"services\":[{\"name\":\"pool\"},{\"name\":\"portal\"}],");
  append_accounts (text, config);
  g_string_append_printf (text,
                          ",\"limits\":{\"max_body_bytes\":%u,\"max_header_bytes\":16384,"
                          "\"header_timeout_ms\":%u,\"idle_timeout_ms\":%u}}",
                          config->body_bytes, config->header_ms, config->idle_ms);
  return g_string_free (text, FALSE);
}
