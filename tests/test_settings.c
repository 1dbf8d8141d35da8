/* Unit tests of the settings, and a comparison of docs/settings.md with their table. */
#include "base/settings.h"
#include "base/settings_table.h"
#include "suite.h"

#include <glib/gstdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define KEY "0123456789abcdef"
#define ROUTER_FLAGS                                                                               \
  "--role=router", "--name=hall-1", "--data-center=hall-khan-uul", "--region", "ulaanbaatar",      \
      "--listen=127.0.0.1:8080", "--exchange", "[::1]:7000", "--platform=10.0.0.9:9000"

/* Environment variables of the current test: name, value, ..., NULL. */
static const char *const *environment;

static const char *
environment_get (const char *name)
{
  for (const char *const *at = environment; *at != NULL; at += 2)
    if (strcmp (at[0], name) == 0)
      return at[1];
  return NULL;
}

static const char *const key_only[] = { "MEDLARPLANK_FLEET_KEY", KEY, NULL };

/* Loads the settings from ROUTER_FLAGS and @flags, and expects them to be valid. */
static void
load_router (const char *const *env, const char *const *flags, settings_t *settings)
{
  const char *argv[40] = { "medlarplankd", ROUTER_FLAGS };
  GError *error = NULL;
  int argc = 0;

  while (argv[argc] != NULL)
    argc++;
  while (*flags != NULL)
    argv[argc++] = *flags++;
  environment = env;
  CU_ASSERT_EQUAL (settings_load (settings, argc, (char **)argv, environment_get, &error),
                   SETTINGS_RUN);
  CU_ASSERT_PTR_NULL (error);
  g_clear_error (&error);
}

/* As load_router(), but expects the error @message. */
static void
refuse_router (const char *const *env, const char *const *flags, const char *message)
{
  const char *argv[40] = { "medlarplankd", ROUTER_FLAGS };
  GError *error = NULL;
  settings_t settings;
  int argc = 0;

  while (argv[argc] != NULL)
    argc++;
  while (*flags != NULL)
    argv[argc++] = *flags++;
  environment = env;
  CU_ASSERT_EQUAL (settings_load (&settings, argc, (char **)argv, environment_get, &error),
                   SETTINGS_EXIT_USAGE);
  CU_ASSERT_PTR_NOT_NULL_FATAL (error);
  if (strcmp (error->message, message) != 0)
    printf ("\n  got:      %s\n  expected: %s\n", error->message, message);
  CU_ASSERT_STRING_EQUAL (error->message, message);
  g_error_free (error);
}

#define FLAGS(...)                                                                                 \
  (const char *const[])                                                                            \
  {                                                                                                \
    __VA_ARGS__, NULL                                                                              \
  }
#define NO_FLAGS ((const char *const[]){ NULL })

static void
test_defaults (void)
{
  settings_t settings;

  load_router (key_only, NO_FLAGS, &settings);
  CU_ASSERT_EQUAL (settings.role, SETTINGS_ROLE_ROUTER);
  CU_ASSERT_STRING_EQUAL (settings.name, "hall-1");
  CU_ASSERT_STRING_EQUAL (settings.data_center, "hall-khan-uul");
  CU_ASSERT_STRING_EQUAL (settings.region, "ulaanbaatar");
  CU_ASSERT_STRING_EQUAL (settings.listen.ip, "127.0.0.1");
  CU_ASSERT_EQUAL (settings.listen.port, 8080);
  CU_ASSERT_STRING_EQUAL (settings.exchange.ip, "::1");
  CU_ASSERT_EQUAL (settings.exchange.port, 7000);
  CU_ASSERT_EQUAL (settings.platform.port, 9000);
  CU_ASSERT_EQUAL (settings.engine.port, 0);
  CU_ASSERT_STRING_EQUAL (settings.fleet_key, KEY);
  CU_ASSERT_EQUAL (settings.log_level, LOG_LEVEL_INFO);
  CU_ASSERT_EQUAL (settings.body_limit_bytes, 4 * 1024 * 1024);
  CU_ASSERT_EQUAL (settings.header_limit_bytes, 32 * 1024);
  CU_ASSERT_EQUAL (settings.header_limit_count, 100);
  CU_ASSERT_EQUAL (settings.connection_limit, 10000);
  CU_ASSERT_EQUAL (settings.idle_timeout_ms, 60000);
  CU_ASSERT_EQUAL (settings.exchange_interval_ms, 500);
  CU_ASSERT_EQUAL (settings.list_interval_ms, 1000);
  CU_ASSERT_EQUAL (settings.control_budget_bytes, 2000);
  CU_ASSERT_EQUAL (settings.claim_horizon_s, 86400);
  CU_ASSERT_EQUAL (settings.log_retention_s, 7 * 86400);
}

static void
test_flag_overrides_environment (void)
{
  static const char *const env[] = { "MEDLARPLANK_FLEET_KEY",
                                     KEY,
                                     "MEDLARPLANK_LOG_LEVEL",
                                     "error",
                                     "MEDLARPLANK_CONNECTION_LIMIT",
                                     "wrong",
                                     "MEDLARPLANK_IDLE_TIMEOUT_MS",
                                     "700",
                                     "MEDLARPLANK_ENGINE",
                                     "",
                                     NULL };
  settings_t settings;

  load_router (env, FLAGS ("--connection-limit=5", "--connection-limit=6"), &settings);
  CU_ASSERT_EQUAL (settings.log_level, LOG_LEVEL_ERROR);
  CU_ASSERT_EQUAL (settings.idle_timeout_ms, 700);
  CU_ASSERT_EQUAL (settings.connection_limit, 6);
}

static void
test_wrong_values (void)
{
  static const char *const env[] = { "MEDLARPLANK_FLEET_KEY", KEY, "MEDLARPLANK_BODY_LIMIT_BYTES",
                                     "12k", NULL };

  refuse_router (env, NO_FLAGS,
                 "body-limit-bytes: \"12k\" (MEDLARPLANK_BODY_LIMIT_BYTES): must be 1024 to "
                 "1073741824");
  refuse_router (key_only, FLAGS ("--control-budget-bytes=7001"),
                 "control-budget-bytes: \"7001\" (--control-budget-bytes): must be 500 to 7000");
  refuse_router (key_only, FLAGS ("--exchange-interval-ms", "-100"),
                 "exchange-interval-ms: \"-100\" (--exchange-interval-ms): must be 100 to 10000");
  refuse_router (key_only, FLAGS ("--role=proxy"),
                 "role: \"proxy\" (--role): must be router, sidecar or gateway");
  refuse_router (key_only, FLAGS ("--log-level=6"),
                 "log-level: \"6\" (--log-level): must be error, warning, notice, info or debug");
  refuse_router (key_only, FLAGS ("--name=Hall_1"),
                 "name: \"Hall_1\" (--name): must be 1 to 63 of a-z, 0-9, '.' and '-'");
  refuse_router (
      key_only, FLAGS ("--platform=log.example:80"),
      "platform: \"log.example:80\" (--platform): must be IP number and port 1 to 65535, "
      "as 10.0.0.1:8080 or [fd00::1]:8080; host names are not looked up");
}

static void
test_wrong_flags (void)
{
  refuse_router (key_only, FLAGS ("--colour=red"), "unknown flag \"--colour=red\"; see --help");
  refuse_router (key_only, FLAGS ("-v"), "unknown flag \"-v\"; see --help");
  refuse_router (key_only, FLAGS ("--plat=1.2.3.4:5"),
                 "unknown flag \"--plat=1.2.3.4:5\"; see --help");
  refuse_router (key_only, FLAGS ("--log-level"), "flag --log-level requires a value");
  refuse_router (key_only, FLAGS ("stray", "--role=router"),
                 "unexpected argument \"stray\"; see --help");
  refuse_router (key_only, FLAGS ("--fleet-key=" KEY),
                 "--fleet-key is not a flag: give MEDLARPLANK_FLEET_KEY or --fleet-key-file");
}

static void
test_engine_by_role (void)
{
  settings_t settings;

  refuse_router (key_only, FLAGS ("--role=sidecar"),
                 "engine: missing; give --engine or MEDLARPLANK_ENGINE: IP number and port 1 to "
                 "65535, as 10.0.0.1:8080 or [fd00::1]:8080");
  refuse_router (key_only, FLAGS ("--engine=127.0.0.1:80"),
                 "engine: \"127.0.0.1:80\" (--engine): only a sidecar has an engine, and role is "
                 "router");
  load_router (key_only, FLAGS ("--role=sidecar", "--engine=127.0.0.1:80"), &settings);
  CU_ASSERT_EQUAL (settings.role, SETTINGS_ROLE_SIDECAR);
  CU_ASSERT_EQUAL (settings.engine.port, 80);
}

static void
test_missing (void)
{
  const char *argv[] = { "medlarplankd", NULL };
  GError *error = NULL;
  settings_t settings;

  environment = key_only;
  CU_ASSERT_EQUAL (settings_load (&settings, 1, (char **)argv, environment_get, &error),
                   SETTINGS_EXIT_USAGE);
  CU_ASSERT_PTR_NOT_NULL_FATAL (error);
  CU_ASSERT_STRING_EQUAL (
      error->message, "role: missing; give --role or MEDLARPLANK_ROLE: router, sidecar or gateway");
  g_error_free (error);
}

/*
 * Guards against a repeated request that runs twice. The log drops records after its retention
 * time. With a longer horizon, a daemon would no longer find the claim of a key that is still
 * within the horizon, and would grant the repeated request. So the two are compared before the
 * daemon starts.
 */
static void
test_horizon_within_retention (void)
{
  settings_t settings;

  refuse_router (key_only, FLAGS ("--claim-horizon-s=604800"),
                 "claim-horizon-s: 604800 (--claim-horizon-s): must be less than log-retention-s, "
                 "which is 604800 (default)");
  load_router (key_only, FLAGS ("--claim-horizon-s=604799"), &settings);
  CU_ASSERT_EQUAL (settings.claim_horizon_s, 604799);
}

static void
test_fleet_key (void)
{
  static const char *const none[] = { NULL };
  static const char *const short_key[] = { "MEDLARPLANK_FLEET_KEY", "0123456789abcde", NULL };
  static const char *const line_key[] = { "MEDLARPLANK_FLEET_KEY", "0123456789abcdef\n", NULL };

  refuse_router (none, NO_FLAGS,
                 "fleet-key: missing; give MEDLARPLANK_FLEET_KEY or --fleet-key-file");
  refuse_router (short_key, NO_FLAGS,
                 "fleet-key: a value of 15 bytes (MEDLARPLANK_FLEET_KEY): must be 16 to 127 bytes, "
                 "none of them a control character");
  refuse_router (line_key, NO_FLAGS,
                 "fleet-key: a value of 17 bytes (MEDLARPLANK_FLEET_KEY): must be 16 to 127 bytes, "
                 "none of them a control character");
  refuse_router (none, FLAGS ("--fleet-key-file=/dev/zero"),
                 "fleet-key-file: \"/dev/zero\" (--fleet-key-file): must be path of a file that "
                 "can be read and holds one line, the fleet key");
}

static void
test_fleet_key_file (void)
{
  static const char *const none[] = { NULL };
  g_autofree char *path = NULL;
  int fd = g_file_open_tmp ("medlarplank-key-XXXXXX", &path, NULL);
  settings_t settings;

  CU_ASSERT_FATAL (fd >= 0);
  CU_ASSERT_EQUAL (write (fd, KEY "\n", sizeof KEY), sizeof KEY);
  close (fd);
  g_autofree char *flag = g_strconcat ("--fleet-key-file=", path, NULL);
  load_router (none, FLAGS (flag), &settings);
  CU_ASSERT_STRING_EQUAL (settings.fleet_key, KEY);
  g_autofree char *message =
      g_strdup_printf ("fleet-key (MEDLARPLANK_FLEET_KEY) and fleet-key-file \"%s\" "
                       "(--fleet-key-file): give only one of them",
                       path);
  refuse_router (key_only, FLAGS (flag), message);
  g_unlink (path);
}

static void
test_addresses (void)
{
  static const char *const wrong[] = {
    "",          ":80",         "1.2.3.4",       "1.2.3.4:",
    "1.2.3.4:0", "1.2.3:80",    "1.2.3.4:65536", "1.2.3.4:+80",
    "::1:80",    "[::1]",       "[::1]80",       "[1.2.3.4]:80",
    "[::1:80",   "1.2.3.4:8 0", "localhost:80",  "1.2.3.4:000080"
  };
  address_t address;
  GError *error = NULL;

  for (uint32_t i = 0; i < G_N_ELEMENTS (wrong); i++)
    {
      CU_ASSERT_FALSE (address_parse (wrong[i], &address, &error));
      CU_ASSERT_PTR_NOT_NULL (error);
      g_clear_error (&error);
    }
  CU_ASSERT (address_parse ("[FD00:0:0::1]:65535", &address, &error));
  g_autofree char *text = address_to_text (&address);
  CU_ASSERT_STRING_EQUAL (text, "[fd00::1]:65535");
}

/* The table row for a setting that docs/settings.md must contain. */
static char *
docs_row (const setting_t *setting)
{
  char *env = setting_env_name (setting);
  char *allowed = setting_allowed_text (setting);
  char *flag =
      setting_is_flag (setting) ? g_strdup_printf ("`--%s`", setting->name) : g_strdup ("-");
  char *line = g_strdup_printf ("| %s | `%s` | %s | %s | %s | %s |\n", flag, env, allowed,
                                setting->default_text != NULL ? setting->default_text : "-",
                                setting_required_by (setting), setting->help);

  g_free (flag);
  g_free (allowed);
  g_free (env);
  return line;
}

static void
test_docs (void)
{
  const char *source = getenv ("MEDLARPLANK_SOURCE");
  g_autofree char *path =
      g_build_filename (source != NULL ? source : ".", "docs", "settings.md", NULL);
  g_autofree char *page = NULL;
  uint32_t count;
  uint32_t lines = 0;
  const setting_t *rows = setting_table (&count);

  CU_ASSERT_FATAL (g_file_get_contents (path, &page, NULL, NULL));
  for (uint32_t i = 0; i < count; i++)
    {
      g_autofree char *line = docs_row (&rows[i]);
      bool found = strstr (page, line) != NULL;
      if (!found)
        printf ("\n  not in the page: %s", line);
      CU_ASSERT (found);
    }
  for (const char *at = page; (at = strstr (at, "| `MEDLARPLANK_")) != NULL; at++)
    lines++;
  CU_ASSERT_EQUAL (lines, count);
}

/* Guards against a daemon that refuses to start because the retry budget of all gateways together,
 * as a deployment computes it, is not a whole number. */
static void
test_budget_may_be_a_fraction (void)
{
  settings_t settings;

  load_router (key_only, FLAGS ("--retry-slack=36.1764705882353"), &settings);
  CU_ASSERT_EQUAL (settings.retry_slack_milli, 36176);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "defaults", test_defaults },
    { "a budget may be a fraction", test_budget_may_be_a_fraction },
    { "a flag takes precedence over the environment", test_flag_overrides_environment },
    { "wrong values", test_wrong_values },
    { "wrong flags", test_wrong_flags },
    { "engine by role", test_engine_by_role },
    { "missing settings", test_missing },
    { "claim horizon within log retention", test_horizon_within_retention },
    { "fleet key", test_fleet_key },
    { "fleet key file", test_fleet_key_file },
    { "addresses", test_addresses },
    { "docs/settings.md", test_docs },
    CU_TEST_INFO_NULL,
  };
  return suite_run ("settings", tests);
}
