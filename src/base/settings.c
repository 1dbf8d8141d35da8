#include "base/settings.h"

#include "base/settings_table.h"

#include <getopt.h>
#include <stdio.h>
#include <string.h>

#define ROWS_MAX 48 /* capacity for settings; fill_options() checks it */
#define DEFAULT_ORIGIN "default"

/* Results of getopt_long() for flags that are not settings; for a setting it returns its row
 * number. */
enum
{
  FLAG_HELP = 1000,
  FLAG_VERSION,
  FLAG_CHECK_SETTINGS
};

/**
 * struct given - value of a setting before it is parsed
 * @text: the value, not owned; NULL if it was not given and has no default
 * @origin: the flag or environment variable that gave it, or DEFAULT_ORIGIN; owned
 */
typedef struct
{
  const char *text;
  char *origin;
} given_t;

/**
 * struct loader - state of settings_load()
 * @settings: filled in
 * @rows: declarations of all settings
 * @row_count: number of @rows and @given
 * @given: values in the order of @rows
 * @check_only: --check-settings was given
 */
typedef struct
{
  settings_t *settings;
  const setting_t *rows;
  uint32_t row_count;
  given_t given[ROWS_MAX];
  bool check_only;
} loader_t;

static void
set_given (loader_t *loader, uint32_t index, const char *text, char *origin)
{
  g_free (loader->given[index].origin);
  loader->given[index].text = text;
  loader->given[index].origin = origin;
}

static const given_t *
find_given (const loader_t *loader, const char *name)
{
  return &loader->given[setting_find (name) - loader->rows];
}

static void
fill_options (const loader_t *loader, struct option options[ROWS_MAX])
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < loader->row_count; i++)
    if (setting_is_flag (&loader->rows[i]))
      options[count++] = (struct option){ loader->rows[i].name, required_argument, NULL, (int)i };
  options[count++] = (struct option){ "help", no_argument, NULL, FLAG_HELP };
  options[count++] = (struct option){ "version", no_argument, NULL, FLAG_VERSION };
  options[count++] = (struct option){ "check-settings", no_argument, NULL, FLAG_CHECK_SETTINGS };
  options[count] = (struct option){ NULL, 0, NULL, 0 };
  g_assert (count < ROWS_MAX);
}

/*
 * getopt_long() accepts any unambiguous prefix of a flag. A script that uses one would break when a
 * setting with the same prefix is added, so only whole names are accepted.
 */
static bool
is_whole_name (const char *argument, const char *name)
{
  size_t bytes = strlen (name);

  if (!g_str_has_prefix (argument, "--") || strncmp (argument + 2, name, bytes) != 0)
    return false;
  return argument[2 + bytes] == '\0' || argument[2 + bytes] == '=';
}

static settings_outcome_t
refuse_flag (const char *argument, bool lacks_value, GError **error)
{
  /* Every user of the host can read command lines. The message omits the value, as it may be
   * logged. */
  if (is_whole_name (argument, "fleet-key"))
    g_set_error (error, SETTINGS_ERROR, SETTINGS_ERROR_FLAG,
                 "--fleet-key is not a flag: give MEDLARPLANK_FLEET_KEY or --fleet-key-file");
  else if (lacks_value)
    g_set_error (error, SETTINGS_ERROR, SETTINGS_ERROR_FLAG, "flag %s requires a value", argument);
  else
    g_set_error (error, SETTINGS_ERROR, SETTINGS_ERROR_FLAG, "unknown flag \"%s\"; see --help",
                 argument);
  return SETTINGS_EXIT_USAGE;
}

static void
print_help (const loader_t *loader)
{
  printf ("Usage: medlarplankd --SETTING VALUE ...\n\n"
          "Each setting is a flag or an environment variable (MEDLARPLANK_SETTING, upper case,\n"
          "'_' for '-'); a flag goes before the variable.\n\n");
  for (uint32_t i = 0; i < loader->row_count; i++)
    {
      const setting_t *setting = &loader->rows[i];
      char *allowed = setting_allowed_text (setting);
      char *env = setting_env_name (setting);
      printf ("  %s%s\n      %s.\n      Allowed: %s. %s%s\n", setting_is_flag (setting) ? "--" : "",
              setting_is_flag (setting) ? setting->name : env, setting->help, allowed,
              setting->default_text != NULL ? "Default: " : "Needed by: ",
              setting->default_text != NULL ? setting->default_text
                                            : setting_required_by (setting));
      g_free (allowed);
      g_free (env);
    }
  printf ("  --check-settings\n      Check all settings, print those in force and end.\n"
          "  --help, --version\n");
}

/* Return: SETTINGS_RUN if all flags are valid and none of them ends the program */
static settings_outcome_t
read_flags (loader_t *loader, int argc, char **argv, GError **error)
{
  struct option options[ROWS_MAX];
  const char *argument;
  int found;

  fill_options (loader, options);
  opterr = 0;
  optind = 0; /* resets getopt_long() for another command line */
  while (true)
    {
      int index = -1;
      argument = argv[MAX (optind, 1)];
      found = getopt_long (argc, argv, "+:", options, &index);
      if (found == -1)
        break;
      if (found == '?' || found == ':' || !is_whole_name (argument, options[index].name))
        return refuse_flag (argument, found == ':', error);
      if (found == FLAG_HELP)
        print_help (loader);
      if (found == FLAG_VERSION)
        printf ("medlarplankd %s\n", PROGRAM_VERSION);
      if (found == FLAG_HELP || found == FLAG_VERSION)
        return SETTINGS_EXIT_SUCCESS;
      if (found == FLAG_CHECK_SETTINGS)
        loader->check_only = true;
      else
        set_given (loader, (uint32_t)found, optarg, g_strconcat ("--", options[index].name, NULL));
    }
  if (optind >= argc)
    return SETTINGS_RUN;
  g_set_error (error, SETTINGS_ERROR, SETTINGS_ERROR_FLAG, "unexpected argument \"%s\"; see --help",
               argv[optind]);
  return SETTINGS_EXIT_USAGE;
}

/* An empty variable counts as not given, since a unit file can't always omit a variable. */
static void
read_environment (loader_t *loader, const char *(*environ_get) (const char *name))
{
  for (uint32_t i = 0; i < loader->row_count; i++)
    {
      char *name = setting_env_name (&loader->rows[i]);
      const char *text = environ_get (name);
      if (loader->given[i].text == NULL && text != NULL && *text != '\0')
        set_given (loader, i, text, name);
      else
        g_free (name);
    }
}

static void
read_defaults (loader_t *loader)
{
  for (uint32_t i = 0; i < loader->row_count; i++)
    if (loader->given[i].text == NULL && loader->rows[i].default_text != NULL)
      set_given (loader, i, loader->rows[i].default_text, g_strdup (DEFAULT_ORIGIN));
}

static bool
apply_all (loader_t *loader, GError **error)
{
  for (uint32_t i = 0; i < loader->row_count; i++)
    {
      const given_t *given = &loader->given[i];
      if (given->text == NULL)
        continue;
      if (!setting_apply (&loader->rows[i], given->text, given->origin, loader->settings, error))
        return false;
    }
  return true;
}

static bool
is_required (const loader_t *loader, const setting_t *setting)
{
  if (setting->need == SETTING_NEED_SIDECAR)
    return loader->settings->role == SETTINGS_ROLE_SIDECAR;
  if (setting->need == SETTING_NEED_GATEWAY)
    return loader->settings->role == SETTINGS_ROLE_GATEWAY;
  return setting->need == SETTING_NEED_ALL;
}

static bool
check_required (const loader_t *loader, GError **error)
{
  for (uint32_t i = 0; i < loader->row_count; i++)
    {
      const setting_t *setting = &loader->rows[i];
      char *env;
      char *allowed;
      if (loader->given[i].text != NULL || !is_required (loader, setting))
        continue;
      env = setting_env_name (setting);
      allowed = setting_allowed_text (setting);
      g_set_error (error, SETTINGS_ERROR, SETTINGS_ERROR_MISSING,
                   "%s: missing; give --%s or %s: %s", setting->name, setting->name, env, allowed);
      g_free (env);
      g_free (allowed);
      return false;
    }
  return true;
}

static const char *
role_name (const loader_t *loader)
{
  return find_given (loader, "role")->text;
}

/* Refuses a setting that this role doesn't use. If it were ignored, an operator would not notice
 * the mistake. */
static bool
check_role (
    const loader_t *loader, const char *name, settings_role_t role, const char *why, GError **error)
{
  const given_t *given = find_given (loader, name);

  if (loader->settings->role == role || given->text == NULL)
    return true;
  g_set_error (error, SETTINGS_ERROR, SETTINGS_ERROR_CONFLICT,
               "%s: \"%s\" (%s): %s, and role is %s", name, given->text, given->origin, why,
               role_name (loader));
  return false;
}

static bool
check_roles (const loader_t *loader, GError **error)
{
  return check_role (loader, "engine", SETTINGS_ROLE_SIDECAR, "only a sidecar has an engine",
                     error) &&
         check_role (loader, "ready-listen", SETTINGS_ROLE_GATEWAY, "only a gateway listens there",
                     error) &&
         check_role (loader, "control-listen", SETTINGS_ROLE_GATEWAY,
                     "only a gateway listens there", error);
}

/*
 * Exactly one source of the key is allowed. With two, the key in use would depend on their order,
 * and a daemon with the wrong key is isolated: it and its peers drop each other's messages.
 */
static bool
check_fleet_key (const loader_t *loader, GError **error)
{
  const given_t *key = find_given (loader, "fleet-key");
  const given_t *file = find_given (loader, "fleet-key-file");

  if ((key->text != NULL) != (file->text != NULL))
    return true;
  if (key->text == NULL)
    g_set_error (error, SETTINGS_ERROR, SETTINGS_ERROR_MISSING,
                 "fleet-key: missing; give MEDLARPLANK_FLEET_KEY or --fleet-key-file");
  else
    g_set_error (error, SETTINGS_ERROR, SETTINGS_ERROR_CONFLICT,
                 "fleet-key (%s) and fleet-key-file \"%s\" (%s): give only one of them",
                 key->origin, file->text, file->origin);
  return false;
}

/*
 * A claim that the log no longer keeps can't be read back. If its idempotency key were still within
 * the horizon, a repeated request would be granted and would run twice.
 */
static bool
check_horizon (const loader_t *loader, GError **error)
{
  if (loader->settings->claim_horizon_s < loader->settings->log_retention_s)
    return true;
  g_set_error (error, SETTINGS_ERROR, SETTINGS_ERROR_CONFLICT,
               "claim-horizon-s: %u (%s): must be less than log-retention-s, which is %u (%s)",
               loader->settings->claim_horizon_s, find_given (loader, "claim-horizon-s")->origin,
               loader->settings->log_retention_s, find_given (loader, "log-retention-s")->origin);
  return false;
}

static bool
check_all (const loader_t *loader, GError **error)
{
  return check_required (loader, error) && check_roles (loader, error) &&
         check_fleet_key (loader, error) && check_horizon (loader, error);
}

static void
print_settings (const loader_t *loader)
{
  for (uint32_t i = 0; i < loader->row_count; i++)
    {
      char *value;
      if (loader->given[i].text == NULL)
        continue;
      value = setting_value_text (&loader->rows[i], loader->settings);
      printf ("%s=%s # %s\n", loader->rows[i].name, value, loader->given[i].origin);
      g_free (value);
    }
}

static settings_outcome_t
load_all (loader_t *loader,
          int argc,
          char **argv,
          const char *(*environ_get) (const char *name),
          GError **error)
{
  settings_outcome_t outcome = read_flags (loader, argc, argv, error);

  if (outcome != SETTINGS_RUN)
    return outcome;
  read_environment (loader, environ_get);
  read_defaults (loader);
  if (!apply_all (loader, error) || !check_all (loader, error))
    return SETTINGS_EXIT_USAGE;
  if (!loader->check_only)
    return SETTINGS_RUN;
  print_settings (loader);
  return SETTINGS_EXIT_SUCCESS;
}

settings_outcome_t
settings_load (settings_t *settings,
               int argc,
               char **argv,
               const char *(*environ_get) (const char *name),
               GError **error)
{
  loader_t loader = { .settings = settings };
  settings_outcome_t outcome;

  memset (settings, 0, sizeof *settings);
  loader.rows = setting_table (&loader.row_count);
  g_assert (loader.row_count <= ROWS_MAX);
  outcome = load_all (&loader, argc, argv, environ_get, error);
  for (uint32_t i = 0; i < loader.row_count; i++)
    g_free (loader.given[i].origin);
  return outcome;
}

uint64_t
settings_held_bytes (const settings_t *settings)
{
  return (uint64_t)settings->memory_mb * (1024 * 1024 / 2);
}
