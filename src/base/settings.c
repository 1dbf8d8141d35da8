#include "base/settings.h"

#include "base/settings_table.h"

#include <getopt.h>
#include <stdio.h>
#include <string.h>

#define ROWS_MAX 48
#define DEFAULT_ORIGIN "default"

/* What getopt_long() returns for a flag: the number of a row, or one of these. */
enum
{
  FLAG_HELP = 1000,
  FLAG_VERSION,
  FLAG_CHECK_SETTINGS
};

/**
 * struct given - the value that a setting was given
 * @text: borrowed, or NULL when it was not given and has no default
 * @origin: the flag or variable, or DEFAULT_ORIGIN
 */
typedef struct
{
  const char *text;
  char *origin;
} given_t;

/** struct load - settings while they are read; @given in the order of @rows */
typedef struct
{
  set_t *set;
  const set_row_t *rows;
  uint32_t row_count;
  given_t given[ROWS_MAX];
  bool check_only;
} load_t;

static void
give (load_t *load, uint32_t index, const char *text, char *origin)
{
  g_free (load->given[index].origin);
  load->given[index].text = text;
  load->given[index].origin = origin;
}

static const given_t *
given_named (const load_t *load, const char *name)
{
  return &load->given[set_row_find (name) - load->rows];
}

static void
fill_options (const load_t *load, struct option options[ROWS_MAX])
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < load->row_count; i++)
    if (set_row_is_flag (&load->rows[i]))
      options[count++] = (struct option){ load->rows[i].name, required_argument, NULL, (int)i };
  options[count++] = (struct option){ "help", no_argument, NULL, FLAG_HELP };
  options[count++] = (struct option){ "version", no_argument, NULL, FLAG_VERSION };
  options[count++] = (struct option){ "check-settings", no_argument, NULL, FLAG_CHECK_SETTINGS };
  options[count] = (struct option){ NULL, 0, NULL, 0 };
  g_assert (count < ROWS_MAX);
}

/*
 * getopt_long() takes any beginning of a flag that fits only one. A script that leans on it breaks
 * on the day another setting begins the same way, so only whole names are taken.
 */
static bool
is_whole_name (const char *argument, const char *name)
{
  size_t bytes = strlen (name);

  if (!g_str_has_prefix (argument, "--") || strncmp (argument + 2, name, bytes) != 0)
    return false;
  return argument[2 + bytes] == '\0' || argument[2 + bytes] == '=';
}

static set_outcome_t
refuse_flag (const char *argument, bool lacks_value, GError **error)
{
  /* Command lines can be seen by every user of the host; the value must not go to a log either. */
  if (is_whole_name (argument, "fleet-key"))
    g_set_error (error, SET_ERROR, SET_ERROR_FLAG,
                 "--fleet-key is not a flag: give MEDLARPLANK_FLEET_KEY or --fleet-key-file");
  else if (lacks_value)
    g_set_error (error, SET_ERROR, SET_ERROR_FLAG, "flag %s needs a value", argument);
  else
    g_set_error (error, SET_ERROR, SET_ERROR_FLAG, "flag \"%s\" is not known; see --help",
                 argument);
  return SET_EXIT_2;
}

static void
print_help (const load_t *load)
{
  printf ("Usage: medlarplankd --SETTING VALUE ...\n\n"
          "Each setting is a flag or an environment variable (MEDLARPLANK_SETTING, upper case,\n"
          "'_' for '-'); a flag goes before the variable.\n\n");
  for (uint32_t i = 0; i < load->row_count; i++)
    {
      const set_row_t *row = &load->rows[i];
      char *allowed = set_row_allowed (row);
      char *env = set_row_env (row);
      printf ("  %s%s\n      %s.\n      Allowed: %s. %s%s\n", set_row_is_flag (row) ? "--" : "",
              set_row_is_flag (row) ? row->name : env, row->help, allowed,
              row->fallback != NULL ? "Default: " : "Needed by: ",
              row->fallback != NULL ? row->fallback : set_row_needed (row));
      g_free (allowed);
      g_free (env);
    }
  printf ("  --check-settings\n      Check all settings, print those in force and end.\n"
          "  --help, --version\n");
}

/* Return: SET_RUN when the flags are read and none of them ends the program. */
static set_outcome_t
read_flags (load_t *load, int argc, char **argv, GError **error)
{
  struct option options[ROWS_MAX];
  const char *argument;
  int found;

  fill_options (load, options);
  opterr = 0;
  optind = 0; /* starts getopt anew */
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
        print_help (load);
      if (found == FLAG_VERSION)
        printf ("medlarplankd %s\n", SET_PROGRAM_VERSION);
      if (found == FLAG_HELP || found == FLAG_VERSION)
        return SET_EXIT_0;
      if (found == FLAG_CHECK_SETTINGS)
        load->check_only = true;
      else
        give (load, (uint32_t)found, optarg, g_strconcat ("--", options[index].name, NULL));
    }
  if (optind >= argc)
    return SET_RUN;
  g_set_error (error, SET_ERROR, SET_ERROR_FLAG, "argument \"%s\" belongs to no flag; see --help",
               argv[optind]);
  return SET_EXIT_2;
}

/* An empty variable is one that is not given: a unit file cannot always leave one out. */
static void
read_environment (load_t *load, const char *(*environ_get) (const char *name))
{
  for (uint32_t i = 0; i < load->row_count; i++)
    {
      char *name = set_row_env (&load->rows[i]);
      const char *text = environ_get (name);
      if (load->given[i].text == NULL && text != NULL && *text != '\0')
        give (load, i, text, name);
      else
        g_free (name);
    }
}

static void
read_defaults (load_t *load)
{
  for (uint32_t i = 0; i < load->row_count; i++)
    if (load->given[i].text == NULL && load->rows[i].fallback != NULL)
      give (load, i, load->rows[i].fallback, g_strdup (DEFAULT_ORIGIN));
}

static bool
apply_all (load_t *load, GError **error)
{
  for (uint32_t i = 0; i < load->row_count; i++)
    {
      const given_t *given = &load->given[i];
      if (given->text == NULL)
        continue;
      if (!set_row_apply (&load->rows[i], given->text, given->origin, load->set, error))
        return false;
    }
  return true;
}

static bool
is_needed (const load_t *load, const set_row_t *row)
{
  if (row->need == SET_NEED_SIDECAR)
    return load->set->role == SET_ROLE_SIDECAR;
  if (row->need == SET_NEED_GATEWAY)
    return load->set->role == SET_ROLE_GATEWAY;
  return row->need == SET_NEED_ALL;
}

static bool
check_needed (const load_t *load, GError **error)
{
  for (uint32_t i = 0; i < load->row_count; i++)
    {
      const set_row_t *row = &load->rows[i];
      char *env;
      char *allowed;
      if (load->given[i].text != NULL || !is_needed (load, row))
        continue;
      env = set_row_env (row);
      allowed = set_row_allowed (row);
      g_set_error (error, SET_ERROR, SET_ERROR_MISSING, "%s: missing; give --%s or %s: %s",
                   row->name, row->name, env, allowed);
      g_free (env);
      g_free (allowed);
      return false;
    }
  return true;
}

static const char *
role_name (const load_t *load)
{
  return given_named (load, "role")->text;
}

/* What only one role uses would be ignored at another, and its giver would not know. */
static bool
check_role (const load_t *load, const char *name, set_role_t role, const char *why, GError **error)
{
  const given_t *given = given_named (load, name);

  if (load->set->role == role || given->text == NULL)
    return true;
  g_set_error (error, SET_ERROR, SET_ERROR_CONFLICT, "%s: \"%s\" (%s): %s, and role is %s", name,
               given->text, given->origin, why, role_name (load));
  return false;
}

static bool
check_roles (const load_t *load, GError **error)
{
  return check_role (load, "engine", SET_ROLE_SIDECAR, "only a sidecar has an engine", error) &&
         check_role (load, "ready-listen", SET_ROLE_GATEWAY, "only a gateway listens there",
                     error) &&
         check_role (load, "control-listen", SET_ROLE_GATEWAY, "only a gateway listens there",
                     error);
}

/*
 * With two keys it would hang on their order which one counts, and a daemon with the wrong one
 * hears nobody: its peers drop all that it says.
 */
static bool
check_fleet_key (const load_t *load, GError **error)
{
  const given_t *key = given_named (load, "fleet-key");
  const given_t *file = given_named (load, "fleet-key-file");

  if ((key->text != NULL) != (file->text != NULL))
    return true;
  if (key->text == NULL)
    g_set_error (error, SET_ERROR, SET_ERROR_MISSING,
                 "fleet-key: missing; give MEDLARPLANK_FLEET_KEY or --fleet-key-file");
  else
    g_set_error (error, SET_ERROR, SET_ERROR_CONFLICT,
                 "fleet-key (%s) and fleet-key-file \"%s\" (%s): give only one of them",
                 key->origin, file->text, file->origin);
  return false;
}

/*
 * A claim that the log no longer keeps cannot be read back. Were its key still within the horizon,
 * a resend would be granted and the request would run twice.
 */
static bool
check_horizon (const load_t *load, GError **error)
{
  if (load->set->claim_horizon_s < load->set->log_retention_s)
    return true;
  g_set_error (error, SET_ERROR, SET_ERROR_CONFLICT,
               "claim-horizon-s: %u (%s): must be less than log-retention-s, which is %u (%s)",
               load->set->claim_horizon_s, given_named (load, "claim-horizon-s")->origin,
               load->set->log_retention_s, given_named (load, "log-retention-s")->origin);
  return false;
}

static bool
check_all (const load_t *load, GError **error)
{
  return check_needed (load, error) && check_roles (load, error) && check_fleet_key (load, error) &&
         check_horizon (load, error);
}

static void
print_settings (const load_t *load)
{
  for (uint32_t i = 0; i < load->row_count; i++)
    {
      char *value;
      if (load->given[i].text == NULL)
        continue;
      value = set_row_value (&load->rows[i], load->set);
      printf ("%s=%s # %s\n", load->rows[i].name, value, load->given[i].origin);
      g_free (value);
    }
}

static set_outcome_t
load_all (load_t *load,
          int argc,
          char **argv,
          const char *(*environ_get) (const char *name),
          GError **error)
{
  set_outcome_t outcome = read_flags (load, argc, argv, error);

  if (outcome != SET_RUN)
    return outcome;
  read_environment (load, environ_get);
  read_defaults (load);
  if (!apply_all (load, error) || !check_all (load, error))
    return SET_EXIT_2;
  if (!load->check_only)
    return SET_RUN;
  print_settings (load);
  return SET_EXIT_0;
}

set_outcome_t
set_load (set_t *set,
          int argc,
          char **argv,
          const char *(*environ_get) (const char *name),
          GError **error)
{
  load_t load = { .set = set };
  set_outcome_t outcome;

  memset (set, 0, sizeof *set);
  load.rows = set_rows (&load.row_count);
  g_assert (load.row_count <= ROWS_MAX);
  outcome = load_all (&load, argc, argv, environ_get, error);
  for (uint32_t i = 0; i < load.row_count; i++)
    g_free (load.given[i].origin);
  return outcome;
}
