#include "base/settings_table.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>

#define DAY_S (24 * 60 * 60)
#define PORT_MAX 65535
#define PORT_DIGITS 5

#define ROW(name, kind, need, minimum, maximum, field, default_text, help)                         \
  {                                                                                                \
    name, SETTING_KIND_##kind, SETTING_NEED_##need, minimum, maximum,                              \
        offsetof (settings_t, field), default_text, help                                           \
  }

/* clang-format off */
static const setting_t rows[] = {
  ROW ("role", ROLE, ALL, 0, 0, role, NULL, "What this daemon is"),
  ROW ("name", NAME, ALL, 0, 0, name, NULL,
       "Host name in the platform's list; a sidecar carries the name of its engine"),
  ROW ("data-center", NAME, ALL, 0, 0, data_center, NULL, "Data centre of the host"),
  ROW ("region", NAME, ALL, 0, 0, region, NULL, "Region of the data centre"),
  ROW ("regions", REGIONS, NONE, 0, 0, regions, NULL,
       "Gateway: the region of each data centre; where routes or accounts are bound to regions, "
       "engines elsewhere, and those whose region is not known, are not asked"),
  ROW ("listen", ADDRESS, ALL, 0, 0, listen, NULL,
       "HTTP, towards callers (router) or routers (sidecar)"),
  ROW ("exchange", ADDRESS, ALL, 0, 0, exchange, NULL, "UDP, towards the other daemons"),
  ROW ("platform", ADDRESS, ALL, 0, 0, platform, NULL, "The platform's log and host list"),
  ROW ("engine", ADDRESS, SIDECAR, 0, 0, engine, NULL, "The engine beside the sidecar"),
  ROW ("ready-listen", ADDRESS, GATEWAY, 0, 0, ready_listen, NULL,
       "HTTP, where the balancer asks whether the gateway is ready"),
  ROW ("control-listen", ADDRESS, GATEWAY, 0, 0, control_listen, NULL,
       "HTTP, counters and what other gateways ask"),
  ROW ("seeds", SEEDS, NONE, 0, 0, seeds, NULL,
       "Gateway: control addresses of gateways to ask at a start, and while the platform is out"),
  ROW ("first-start", BOOLEAN, NONE, 0, 0, first_start, "false",
       "Gateway: whether the whole fleet starts for the first time, so that peers are waited for "
       "before the platform is read"),
  ROW ("shared-room", BOOLEAN, NONE, 0, 0, shared_room, "true",
       "Gateway: whether plain requests wait in the queues of their engines, which all gateways "
       "share, where slots are fewer than four for each gateway"),
  ROW ("retry-ratio", MILLI, NONE, 0, 1000, retry_ratio_milli, "0.1",
       "Gateway: retries for each request of a service, of all gateways together"),
  ROW ("retry-slack", MILLI, NONE, 0, 1000000 * 1000, retry_slack_milli, "10",
       "Gateway: retries in a window beyond that, of all gateways together"),
  ROW ("retry-window", MILLI, NONE, 1000, 600 * 1000, retry_window_ms, "10",
       "Gateway: seconds over which retries are counted"),
  ROW ("version-ms", NUMBER, NONE, 500, 600 * 1000, version_ms, "2000",
       "Gateway: time in which a new version must be in force"),
  ROW ("renewal-ms", NUMBER, NONE, 100, 60 * 1000, renewal_ms, "1200",
       "Gateway: how often engines renew their entries in the registry; they lapse after three times"),
  ROW ("drain-ms", NUMBER, NONE, 500, 600 * 1000, drain_ms, "2000",
       "Gateway: time in which an engine that leaves must get nothing more"),
  ROW ("center-drain-ms", NUMBER, NONE, 500, 600 * 1000, center_drain_ms, "5000",
       "Gateway: time in which the engines of a data centre that is drained must get nothing more"),
  ROW ("stream-backups", BOOLEAN, NONE, 0, 0, stream_backups, "false",
       "Gateway: whether engines that can do so copy the cache of a stream to another engine while it "
       "runs, where engines were lost lately, so that it goes on when its engine ends"),
  ROW ("part-directory", BOOLEAN, NONE, 0, 0, part_directory, "true",
       "Gateway: whether engines are chosen by which of them are known to have a prompt's shared "
       "parts, for services whose configuration states the size of a cached token"),
  ROW ("local-part-homes", BOOLEAN, NONE, 0, 0, local_part_homes, "false",
       "Gateway: with the directory, whether small or popular parts have homes in each data centre: "
       "fewer bytes between data centres, more copies"),
  ROW ("grace", MILLI, NONE, 1000, 600 * 1000, grace_ms, "8",
       "Gateway: seconds from a stop signal until the process is killed"),
  ROW ("fleet-key", SECRET, NONE, 16, sizeof (((settings_t *)0)->fleet_key) - 1, fleet_key, NULL,
       "Secret that all daemons share; needed, here or in a file"),
  ROW ("fleet-key-file", SECRET_FILE, NONE, 0, 0, fleet_key, NULL,
       "File that holds the fleet key; a newline at its end does not count"),
  ROW ("log-level", LEVEL, NONE, 0, 0, log_level, "info", "Log lines finer than this are left out"),
  ROW ("body-limit-bytes", NUMBER, NONE, 1024, 1024 * 1024 * 1024, body_limit_bytes, "4194304",
       "Largest body of a request"),
  ROW ("header-limit-bytes", NUMBER, NONE, 1024, 1024 * 1024, header_limit_bytes, "32768",
       "Largest head of a request"),
  ROW ("header-limit-count", NUMBER, NONE, 8, 10000, header_limit_count, "100",
       "Most headers of a request"),
  ROW ("connection-limit", NUMBER, NONE, 1, 1000000, connection_limit, "10000",
       "Most connections at once to the HTTP listener"),
  ROW ("file-limit", NUMBER, NONE, 0, 1000000, file_limit, "0",
       "Most open files of the process, if fewer than the system allows; 0 for no other limit"),
  ROW ("memory-mb", NUMBER, NONE, 32, 1000000, memory_mb, "256",
       "Memory that the process may take, in MiB; half of it is for requests, a quarter for answers"),
  ROW ("idle-timeout-ms", NUMBER, NONE, 100, 3600 * 1000, idle_timeout_ms, "60000",
       "A connection without a request is closed after this"),
  ROW ("exchange-interval-ms", NUMBER, NONE, 100, 10000, exchange_interval_ms, "500",
       "Between two exchange messages that a daemon starts"),
  ROW ("list-interval-ms", NUMBER, NONE, 100, 60000, list_interval_ms, "1000",
       "Between two readings of the platform's list, by daemons that follow it closely"),
  ROW ("control-budget-bytes", NUMBER, NONE, 500, 7000, control_budget_bytes, "2000",
       "Bytes a second for control traffic, all that a daemon sends"),
  ROW ("claim-horizon-s", NUMBER, NONE, 1, 30 * DAY_S, claim_horizon_s, "86400",
       "How long an idempotency key is remembered; shorter than log-retention-s"),
  ROW ("log-retention-s", NUMBER, NONE, 2, 366 * DAY_S, log_retention_s, "604800",
       "How long the platform's log keeps a record"),
};
/* clang-format on */

static const char *const role_names[] = {
  [SETTINGS_ROLE_ROUTER] = "router",
  [SETTINGS_ROLE_SIDECAR] = "sidecar",
  [SETTINGS_ROLE_GATEWAY] = "gateway",
};

static const char *const level_names[] = { [LOG_LEVEL_ERROR] = "error",
                                           [LOG_LEVEL_WARNING] = "warning",
                                           [LOG_LEVEL_NOTICE] = "notice",
                                           [LOG_LEVEL_INFO] = "info",
                                           [LOG_LEVEL_DEBUG] = "debug" };

static const char *const boolean_names[] = { "false", "true" };

static bool
find_word (const char *const *words, uint32_t count, const char *text, uint32_t *index)
{
  for (uint32_t i = 0; i < count; i++)
    if (words[i] != NULL && strcmp (words[i], text) == 0)
      {
        *index = i;
        return true;
      }
  return false;
}

static bool
parse_role (const char *text, settings_role_t *role)
{
  uint32_t index;

  if (!find_word (role_names, G_N_ELEMENTS (role_names), text, &index))
    return false;
  *role = (settings_role_t)index;
  return true;
}

static bool
parse_level (const char *text, log_level_t *level)
{
  uint32_t index;

  if (!find_word (level_names, G_N_ELEMENTS (level_names), text, &index))
    return false;
  *level = (log_level_t)index;
  return true;
}

static bool
parse_boolean (const char *text, bool *value)
{
  uint32_t index;

  if (!find_word (boolean_names, G_N_ELEMENTS (boolean_names), text, &index))
    return false;
  *value = index != 0;
  return true;
}

static bool
parse_name (const char *text, char out[LIMIT_NAME_BYTES])
{
  size_t bytes = strspn (text, "abcdefghijklmnopqrstuvwxyz0123456789.-");

  if (bytes == 0 || text[bytes] != '\0' || bytes >= LIMIT_NAME_BYTES)
    return false;
  memcpy (out, text, bytes + 1);
  return true;
}

static bool
parse_number (const setting_t *setting, const char *text, uint32_t *number)
{
  guint64 value;

  if (!g_ascii_string_to_unsigned (text, 10, setting->minimum, setting->maximum, &value, NULL))
    return false;
  *number = (uint32_t)value;
  return true;
}

/* Parses a decimal number without sign or exponent into thousandths, rounded to the nearest. */
static bool
parse_milli (const setting_t *setting, const char *text, uint32_t *number)
{
  size_t whole = strspn (text, "0123456789");
  size_t places = text[whole] == '.' ? strspn (text + whole + 1, "0123456789") : 0;
  double value;

  if (whole == 0 || text[whole + (text[whole] == '.') + places] != '\0')
    return false;
  value = g_ascii_strtod (text, NULL) * 1000;
  if (value < setting->minimum || value > setting->maximum)
    return false;
  *number = (uint32_t)(value + 0.5);
  return true;
}

static bool
parse_secret (const setting_t *setting, const char *text, char *out)
{
  size_t bytes = strlen (text);

  if (bytes < setting->minimum || bytes > setting->maximum)
    return false;
  for (size_t i = 0; i < bytes; i++)
    if (g_ascii_iscntrl (text[i]))
      return false;
  memcpy (out, text, bytes + 1);
  return true;
}

/* Reads the secret from a file. At most the longest secret and a newline are read, so that a path
 * such as /dev/zero can't exhaust the memory. */
static bool
read_secret (const char *path, char *out)
{
  const setting_t *secret = setting_find ("fleet-key");
  char text[sizeof (((settings_t *)0)->fleet_key) + 2];
  FILE *file = fopen (path, "re");
  size_t bytes;

  if (file == NULL)
    return false;
  bytes = fread (text, 1, sizeof text - 1, file);
  fclose (file);
  text[bytes] = '\0';
  if (strlen (text) != bytes)
    return false;
  if (g_str_has_suffix (text, "\n"))
    text[--bytes] = '\0';
  return parse_secret (secret, text, out);
}

static bool
parse_port (const char *text, uint16_t *port)
{
  guint64 value;

  if (strlen (text) > PORT_DIGITS)
    return false;
  if (!g_ascii_string_to_unsigned (text, 10, 1, PORT_MAX, &value, NULL))
    return false;
  *port = (uint16_t)value;
  return true;
}

/* Converts the address to the form of inet_ntop(), so that equal addresses compare equal. */
static bool
parse_ip (const char *text, size_t bytes, bool bracketed, char out[46])
{
  int family = bracketed ? AF_INET6 : AF_INET;
  unsigned char number[sizeof (struct in6_addr)];
  char copy[46];

  if (bytes >= sizeof copy)
    return false;
  memcpy (copy, text, bytes);
  copy[bytes] = '\0';
  if (inet_pton (family, copy, number) != 1)
    return false;
  return inet_ntop (family, number, out, 46) != NULL;
}

static bool
parse_address (const char *text, address_t *address)
{
  bool bracketed = text[0] == '[';
  const char *ip = bracketed ? text + 1 : text;
  const char *end = strchr (ip, bracketed ? ']' : ':');
  const char *colon = bracketed && end != NULL ? end + 1 : end;
  address_t parsed;

  if (colon == NULL || *colon != ':')
    return false;
  memset (&parsed, 0, sizeof parsed);
  if (!parse_ip (ip, (size_t)(end - ip), bracketed, parsed.ip))
    return false;
  if (!parse_port (colon + 1, &parsed.port))
    return false;
  *address = parsed;
  return true;
}

static bool
parse_seeds (const char *text, settings_t *settings)
{
  g_auto (GStrv) parts = g_strsplit (text, ",", SETTINGS_SEEDS_MAX + 1);
  uint32_t count = text[0] != '\0' ? g_strv_length (parts) : 0;

  if (count > SETTINGS_SEEDS_MAX)
    return false;
  for (uint32_t i = 0; i < count; i++)
    if (!parse_address (parts[i], &settings->seeds[i]))
      return false;
  settings->seed_count = count;
  return true;
}

static char *
seeds_text (const settings_t *settings)
{
  GString *text = g_string_new (NULL);

  for (uint32_t i = 0; i < settings->seed_count; i++)
    {
      g_autofree char *address = address_to_text (&settings->seeds[i]);

      g_string_append_printf (text, "%s%s", i > 0 ? "," : "", address);
    }
  return g_string_free (text, FALSE);
}

static bool
parse_value (const setting_t *setting, const char *text, settings_t *settings)
{
  void *field = (char *)settings + setting->offset;

  switch (setting->kind)
    {
    case SETTING_KIND_ROLE:
      return parse_role (text, field);
    case SETTING_KIND_NAME:
      return parse_name (text, field);
    case SETTING_KIND_ADDRESS:
      return parse_address (text, field);
    case SETTING_KIND_SEEDS:
      return parse_seeds (text, settings);
    case SETTING_KIND_REGIONS:
      return text[0] == '\0' || region_map_parse (field, text);
    case SETTING_KIND_NUMBER:
      return parse_number (setting, text, field);
    case SETTING_KIND_BOOLEAN:
      return parse_boolean (text, field);
    case SETTING_KIND_MILLI:
      return parse_milli (setting, text, field);
    case SETTING_KIND_LEVEL:
      return parse_level (text, field);
    case SETTING_KIND_SECRET:
      return parse_secret (setting, text, field);
    case SETTING_KIND_SECRET_FILE:
      return read_secret (text, field);
    }
  g_assert_not_reached ();
}

GQuark
settings_error_quark (void)
{
  return g_quark_from_static_string ("settings-error-quark");
}

const setting_t *
setting_table (uint32_t *count)
{
  *count = G_N_ELEMENTS (rows);
  return rows;
}

const setting_t *
setting_find (const char *name)
{
  for (uint32_t i = 0; i < G_N_ELEMENTS (rows); i++)
    if (strcmp (rows[i].name, name) == 0)
      return &rows[i];
  return NULL;
}

char *
setting_env_name (const setting_t *setting)
{
  char *upper = g_ascii_strup (setting->name, -1);
  char *name = g_strconcat ("MEDLARPLANK_", g_strdelimit (upper, "-", '_'), NULL);

  g_free (upper);
  return name;
}

bool
setting_is_flag (const setting_t *setting)
{
  return setting->kind != SETTING_KIND_SECRET;
}

char *
setting_allowed_text (const setting_t *setting)
{
  switch (setting->kind)
    {
    case SETTING_KIND_ROLE:
      return g_strdup ("router, sidecar or gateway");
    case SETTING_KIND_NAME:
      return g_strdup_printf ("1 to %d of a-z, 0-9, '.' and '-'", LIMIT_NAME_BYTES - 1);
    case SETTING_KIND_ADDRESS:
      return g_strdup ("IP number and port 1 to 65535, as 10.0.0.1:8080 or [fd00::1]:8080");
    case SETTING_KIND_SEEDS:
      return g_strdup_printf ("up to %d addresses with commas between", SETTINGS_SEEDS_MAX);
    case SETTING_KIND_REGIONS:
      return g_strdup_printf (
          "up to %d of DATA-CENTRE=REGION with commas between, each data centre "
          "once, names of 1 to %d bytes",
          REGION_MAP_DATA_CENTERS, LIMIT_NAME_BYTES - 1);
    case SETTING_KIND_NUMBER:
      return g_strdup_printf ("%u to %u", setting->minimum, setting->maximum);
    case SETTING_KIND_MILLI:
      return g_strdup_printf ("a decimal number, %u.%03u to %u.%03u", setting->minimum / 1000,
                              setting->minimum % 1000, setting->maximum / 1000,
                              setting->maximum % 1000);
    case SETTING_KIND_BOOLEAN:
      return g_strdup ("true or false");
    case SETTING_KIND_LEVEL:
      return g_strdup ("error, warning, notice, info or debug");
    case SETTING_KIND_SECRET:
      return g_strdup_printf ("%u to %u bytes, none of them a control character", setting->minimum,
                              setting->maximum);
    case SETTING_KIND_SECRET_FILE:
      return g_strdup ("path of a file that can be read and holds one line, the fleet key");
    }
  g_assert_not_reached ();
}

const char *
setting_required_by (const setting_t *setting)
{
  switch (setting->need)
    {
    case SETTING_NEED_ALL:
      return "all";
    case SETTING_NEED_SIDECAR:
      return "sidecar; refused for the others";
    case SETTING_NEED_GATEWAY:
      return "gateway; refused for the others";
    case SETTING_NEED_NONE:
      return "-";
    }
  g_assert_not_reached ();
}

bool
setting_apply (const setting_t *setting,
               const char *text,
               const char *origin,
               settings_t *settings,
               GError **error)
{
  char *allowed;

  if (parse_value (setting, text, settings))
    return true;
  allowed = setting_allowed_text (setting);
  /* The value of a secret must not be logged, as an invalid one may differ from the key by one
   * byte. */
  if (setting->kind == SETTING_KIND_SECRET)
    g_set_error (error, SETTINGS_ERROR, SETTINGS_ERROR_VALUE,
                 "%s: a value of %zu bytes (%s): must be %s", setting->name, strlen (text), origin,
                 allowed);
  else
    g_set_error (error, SETTINGS_ERROR, SETTINGS_ERROR_VALUE, "%s: \"%s\" (%s): must be %s%s",
                 setting->name, text, origin, allowed,
                 setting->kind == SETTING_KIND_ADDRESS ? "; host names are not looked up" : "");
  g_free (allowed);
  return false;
}

char *
setting_value_text (const setting_t *setting, const settings_t *settings)
{
  const void *field = (const char *)settings + setting->offset;

  switch (setting->kind)
    {
    case SETTING_KIND_ROLE:
      return g_strdup (role_names[*(const settings_role_t *)field]);
    case SETTING_KIND_NAME:
      return g_strdup (field);
    case SETTING_KIND_ADDRESS:
      return address_to_text (field);
    case SETTING_KIND_SEEDS:
      return seeds_text (settings);
    case SETTING_KIND_REGIONS:
      return region_map_to_text (field);
    case SETTING_KIND_NUMBER:
      return g_strdup_printf ("%u", *(const uint32_t *)field);
    case SETTING_KIND_MILLI:
      return g_strdup_printf ("%u.%03u", *(const uint32_t *)field / 1000,
                              *(const uint32_t *)field % 1000);
    case SETTING_KIND_BOOLEAN:
      return g_strdup (boolean_names[*(const bool *)field]);
    case SETTING_KIND_LEVEL:
      return g_strdup (level_names[*(const log_level_t *)field]);
    case SETTING_KIND_SECRET:
    case SETTING_KIND_SECRET_FILE:
      return g_strdup ("(not shown)");
    }
  g_assert_not_reached ();
}

bool
address_parse (const char *text, address_t *address, GError **error)
{
  if (parse_address (text, address))
    return true;
  g_set_error (error, SETTINGS_ERROR, SETTINGS_ERROR_VALUE,
               "\"%s\" is not an IP number and a port; host names are not looked up", text);
  return false;
}

char *
address_to_text (const address_t *address)
{
  if (address->port == 0)
    return g_strdup ("");
  if (strchr (address->ip, ':') != NULL)
    return g_strdup_printf ("[%s]:%u", address->ip, address->port);
  return g_strdup_printf ("%s:%u", address->ip, address->port);
}
