#include "options.h"

#include <getopt.h>
#include <string.h>

/* getopt_long() returns this plus the index into OPTION_TABLE, which can't collide with '?'. */
#define OPTION_VALUE_BASE 1000

static const struct
{
  const char *name;
  int has_argument;
  uint32_t bit;
} OPTION_TABLE[] = {
  { "platform", required_argument, CTL_OPTION_PLATFORM },
  { "timeout-ms", required_argument, CTL_OPTION_TIMEOUT },
  { "json", no_argument, CTL_OPTION_JSON },
  { "patch", no_argument, CTL_OPTION_PATCH },
  { "base", required_argument, CTL_OPTION_BASE },
  { "by", required_argument, CTL_OPTION_BY },
  { "hosts-check", required_argument, CTL_OPTION_HOSTS_CHECK },
  { "allow-missing-engines", no_argument, CTL_OPTION_ALLOW_MISSING },
  { "daemon", required_argument, CTL_OPTION_DAEMON },
  { "version", no_argument, CTL_OPTION_VERSION },
  { "help", no_argument, CTL_OPTION_HELP },
  { "logs", required_argument, CTL_OPTION_LOGS },
};

#define OPTION_COUNT G_N_ELEMENTS (OPTION_TABLE)

static bool
set_invalid_value (GError **error, const char *name, const char *value, const char *allowed)
{
  g_set_error (error, CTL_OPTIONS_ERROR, 0, "--%s: \"%s\" is not %s", name, value, allowed);
  return false;
}

static bool
parse_number (const char *name, const char *text, uint64_t max, uint64_t *number, GError **error)
{
  guint64 value;

  if (!g_ascii_string_to_unsigned (text, 10, 0, max, &value, NULL))
    return set_invalid_value (error, name, text, "a whole number in its range");
  *number = value;
  return true;
}

static bool
parse_address (const char *name, const char *text, address_t *address, GError **error)
{
  if (!address_parse (text, address, NULL))
    return set_invalid_value (error, name, text, "IP:PORT");
  return true;
}

static bool
parse_timeout (ctl_options_t *options, const char *text, GError **error)
{
  uint64_t value = 0;

  if (!parse_number ("timeout-ms", text, CTL_OPTIONS_TIMEOUT_MAX_MS, &value, error))
    return false;
  options->timeout_ms = (uint32_t)value;
  return true;
}

static bool
parse_hosts_check (ctl_options_t *options, const char *text, GError **error)
{
  options->hosts_check = strcmp (text, "yes") == 0;
  if (options->hosts_check || strcmp (text, "no") == 0)
    return true;
  return set_invalid_value (error, "hosts-check", text, "yes or no");
}

/* The name becomes part of the manifest record, which every daemon must be able to parse. */
static bool
parse_publisher (ctl_options_t *options, const char *text, GError **error)
{
  size_t length = strlen (text);

  for (size_t i = 0; i < length; i++)
    if (!g_ascii_isprint (text[i]))
      return set_invalid_value (error, "by", text, "printable ASCII");
  if (length == 0 || length >= LIMIT_NAME_BYTES)
    return set_invalid_value (error, "by", text, "1..63 bytes long");
  options->by = text;
  return true;
}

static bool
apply_option (ctl_options_t *options, uint32_t bit, const char *value, GError **error)
{
  options->given |= bit;
  switch (bit)
    {
    case CTL_OPTION_PLATFORM:
      return parse_address ("platform", value, &options->platform, error);
    case CTL_OPTION_DAEMON:
      return parse_address ("daemon", value, &options->daemon, error);
    case CTL_OPTION_TIMEOUT:
      return parse_timeout (options, value, error);
    case CTL_OPTION_BASE:
      return parse_number ("base", value, G_MAXINT64, &options->base, error);
    case CTL_OPTION_LOGS:
      options->logs = value;
      return true;
    case CTL_OPTION_BY:
      return parse_publisher (options, value, error);
    case CTL_OPTION_HOSTS_CHECK:
      return parse_hosts_check (options, value, error);
    default:
      return true;
    }
}

static bool
parse_environment (ctl_options_t *options,
                   const char *(*get_env) (const char *name),
                   GError **error)
{
  const char *platform = get_env ("MEDLARPLANK_PLATFORM");

  options->fleet_key = get_env ("MEDLARPLANK_FLEET_KEY");
  if (platform == NULL)
    return true;
  options->given |= CTL_OPTION_PLATFORM;
  if (address_parse (platform, &options->platform, NULL))
    return true;
  g_set_error (error, CTL_OPTIONS_ERROR, 0, "MEDLARPLANK_PLATFORM: \"%s\" is not IP:PORT",
               platform);
  return false;
}

static void
fill_getopt_table (struct option getopt_options[OPTION_COUNT + 1])
{
  for (size_t i = 0; i < OPTION_COUNT; i++)
    getopt_options[i] = (struct option){ .name = OPTION_TABLE[i].name,
                                         .has_arg = OPTION_TABLE[i].has_argument,
                                         .val = (int)i + OPTION_VALUE_BASE };
  getopt_options[OPTION_COUNT] = (struct option){ 0 };
}

static bool
parse_options (ctl_options_t *options, int argc, char **argv, GError **error)
{
  struct option getopt_options[OPTION_COUNT + 1];
  int code;

  fill_getopt_table (getopt_options);
  optind = 0;
  opterr = 0;
  while ((code = getopt_long (argc, argv, "", getopt_options, NULL)) != -1)
    {
      if (code < OPTION_VALUE_BASE)
        {
          g_set_error (error, CTL_OPTIONS_ERROR, 0,
                       "%s: is not an option, or its value is missing or not allowed",
                       argv[optind - 1]);
          return false;
        }
      if (!apply_option (options, OPTION_TABLE[code - OPTION_VALUE_BASE].bit, optarg, error))
        return false;
    }
  return true;
}

bool
ctl_options_parse (ctl_options_t *options,
                   int argc,
                   char **argv,
                   const char *(*get_env) (const char *name),
                   GError **error)
{
  *options = (ctl_options_t){ .timeout_ms = CTL_OPTIONS_TIMEOUT_DEFAULT_MS, .hosts_check = true };
  if (!parse_environment (options, get_env, error) || !parse_options (options, argc, argv, error))
    return false;
  if (options->by == NULL && !parse_publisher (options, g_get_user_name (), error))
    return false;
  if (argc - optind > CTL_OPTIONS_WORDS_MAX)
    {
      g_set_error (error, CTL_OPTIONS_ERROR, 0, "%s: too many arguments",
                   argv[optind + CTL_OPTIONS_WORDS_MAX]);
      return false;
    }
  for (; optind < argc; optind++)
    options->words[options->word_count++] = argv[optind];
  return true;
}

const char *
ctl_option_name (uint32_t bit)
{
  for (size_t i = 0; i < OPTION_COUNT; i++)
    if (OPTION_TABLE[i].bit == bit)
      return OPTION_TABLE[i].name;
  return "";
}
