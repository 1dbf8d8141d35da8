#include "options.h"

#include <getopt.h>
#include <string.h>

/* getopt_long() hands back the index into this table plus one, so that '?' is never one of them. */
#define FLAG_BASE 1000

static const struct
{
  const char *name;
  int argument;
  uint32_t bit;
} TABLE[] = {
  { "platform", required_argument, OPT_PLATFORM },
  { "timeout-ms", required_argument, OPT_TIMEOUT },
  { "json", no_argument, OPT_JSON },
  { "patch", no_argument, OPT_PATCH },
  { "base", required_argument, OPT_BASE },
  { "by", required_argument, OPT_BY },
  { "hosts-check", required_argument, OPT_HOSTS_CHECK },
  { "allow-missing-engines", no_argument, OPT_ALLOW_MISSING },
  { "daemon", required_argument, OPT_DAEMON },
  { "version", no_argument, OPT_VERSION },
  { "help", no_argument, OPT_HELP },
  { "logs", required_argument, OPT_LOGS },
};

#define OPTION_COUNT G_N_ELEMENTS (TABLE)

static bool
fail (GError **error, const char *name, const char *value, const char *allowed)
{
  g_set_error (error, OPT_ERROR, 0, "--%s: \"%s\" is not %s", name, value, allowed);
  return false;
}

static bool
read_number (const char *name, const char *text, uint64_t max, uint64_t *number, GError **error)
{
  guint64 value;

  if (!g_ascii_string_to_unsigned (text, 10, 0, max, &value, NULL))
    return fail (error, name, text, "a whole number in its range");
  *number = value;
  return true;
}

static bool
read_address (const char *name, const char *text, set_address_t *address, GError **error)
{
  if (!set_parse_address (text, address, NULL))
    return fail (error, name, text, "IP:PORT");
  return true;
}

static bool
read_timeout (opt_t *opt, const char *text, GError **error)
{
  uint64_t value = 0;

  if (!read_number ("timeout-ms", text, OPT_TIMEOUT_MAX_MS, &value, error))
    return false;
  opt->timeout_ms = (uint32_t)value;
  return true;
}

static bool
read_hosts_check (opt_t *opt, const char *text, GError **error)
{
  opt->hosts_check = strcmp (text, "yes") == 0;
  if (opt->hosts_check || strcmp (text, "no") == 0)
    return true;
  return fail (error, "hosts-check", text, "yes or no");
}

/* What is written into a record must be read back by every daemon. */
static bool
read_by (opt_t *opt, const char *text, GError **error)
{
  size_t length = strlen (text);

  for (size_t at = 0; at < length; at++)
    if (!g_ascii_isprint (text[at]))
      return fail (error, "by", text, "printable ASCII");
  if (length == 0 || length >= LIM_NAME_BYTES)
    return fail (error, "by", text, "1..63 bytes long");
  opt->by = text;
  return true;
}

static bool
take (opt_t *opt, uint32_t bit, const char *value, GError **error)
{
  opt->given |= bit;
  switch (bit)
    {
    case OPT_PLATFORM:
      return read_address ("platform", value, &opt->platform, error);
    case OPT_DAEMON:
      return read_address ("daemon", value, &opt->daemon, error);
    case OPT_TIMEOUT:
      return read_timeout (opt, value, error);
    case OPT_BASE:
      return read_number ("base", value, G_MAXINT64, &opt->base, error);
    case OPT_LOGS:
      opt->logs = value;
      return true;
    case OPT_BY:
      return read_by (opt, value, error);
    case OPT_HOSTS_CHECK:
      return read_hosts_check (opt, value, error);
    default:
      return true;
    }
}

static bool
read_environment (opt_t *opt, const char *(*environ_get) (const char *name), GError **error)
{
  const char *platform = environ_get ("MEDLARPLANK_PLATFORM");

  opt->fleet_key = environ_get ("MEDLARPLANK_FLEET_KEY");
  if (platform == NULL)
    return true;
  opt->given |= OPT_PLATFORM;
  if (set_parse_address (platform, &opt->platform, NULL))
    return true;
  g_set_error (error, OPT_ERROR, 0, "MEDLARPLANK_PLATFORM: \"%s\" is not IP:PORT", platform);
  return false;
}

static void
fill_table (struct option options[OPTION_COUNT + 1])
{
  for (size_t at = 0; at < OPTION_COUNT; at++)
    options[at] = (struct option){ .name = TABLE[at].name,
                                   .has_arg = TABLE[at].argument,
                                   .val = (int)at + FLAG_BASE };
  options[OPTION_COUNT] = (struct option){ 0 };
}

static bool
read_flags (opt_t *opt, int argc, char **argv, GError **error)
{
  struct option options[OPTION_COUNT + 1];
  int flag;

  fill_table (options);
  optind = 0;
  opterr = 0;
  while ((flag = getopt_long (argc, argv, "", options, NULL)) != -1)
    {
      if (flag < FLAG_BASE)
        {
          g_set_error (error, OPT_ERROR, 0,
                       "%s: is not an option, or its value is missing or not wanted",
                       argv[optind - 1]);
          return false;
        }
      if (!take (opt, TABLE[flag - FLAG_BASE].bit, optarg, error))
        return false;
    }
  return true;
}

bool
opt_read (opt_t *opt,
          int argc,
          char **argv,
          const char *(*environ_get) (const char *name),
          GError **error)
{
  *opt = (opt_t){ .timeout_ms = OPT_TIMEOUT_MS, .hosts_check = true };
  if (!read_environment (opt, environ_get, error) || !read_flags (opt, argc, argv, error))
    return false;
  if (opt->by == NULL && !read_by (opt, g_get_user_name (), error))
    return false;
  if (argc - optind > OPT_WORDS_MAX)
    {
      g_set_error (error, OPT_ERROR, 0, "%s: too many words", argv[optind + OPT_WORDS_MAX]);
      return false;
    }
  for (; optind < argc; optind++)
    opt->words[opt->word_count++] = argv[optind];
  return true;
}

const char *
opt_name (uint32_t bit)
{
  for (size_t at = 0; at < OPTION_COUNT; at++)
    if (TABLE[at].bit == bit)
      return TABLE[at].name;
  return "";
}
