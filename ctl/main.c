#include "ctl.h"

#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define COMMON_OPTIONS                                                                             \
  (CTL_OPTION_PLATFORM | CTL_OPTION_TIMEOUT | CTL_OPTION_JSON | CTL_OPTION_HELP)

/*
 * struct command - one command
 * @first: first word of the command
 * @second: second word, NULL when the command is one word
 * @argument: placeholder of the argument in the help, NULL when there is none
 * @summary: description in the help
 * @accepted_options: bits of the options that the command accepts
 * @needs_platform: whether the command fails without a platform address
 */
typedef struct
{
  const char *first;
  const char *second;
  const char *argument;
  const char *summary;
  uint32_t accepted_options;
  bool needs_platform;
  ctl_exit_t (*run) (ctl_t *ctl, const char *argument);
} command_t;

static const command_t COMMANDS[] = {
  { "manifest", "check", "FILE", "check a manifest; asks nobody", COMMON_OPTIONS, false,
    cmd_manifest_check },
  { "manifest", "publish", "FILE", "publish a manifest, or with --patch a JSON merge patch",
    COMMON_OPTIONS | CTL_OPTION_PATCH | CTL_OPTION_BASE | CTL_OPTION_BY | CTL_OPTION_HOSTS_CHECK |
        CTL_OPTION_ALLOW_MISSING | CTL_OPTION_DAEMON,
    true, cmd_manifest_publish },
  { "manifest", "show", NULL, "print the manifest in force, or with --version its version",
    COMMON_OPTIONS | CTL_OPTION_VERSION | CTL_OPTION_DAEMON, true, cmd_manifest_show },
  { "manifest", "watch", NULL, "print what becomes of each record from now on",
    COMMON_OPTIONS | CTL_OPTION_DAEMON, true, cmd_manifest_watch },
  { "status", NULL, NULL, "ask the daemons on the platform's list, or one, how they are",
    COMMON_OPTIONS | CTL_OPTION_DAEMON, false, cmd_status },
  { "drain", NULL, "HOST", "order a host to leave: no new work, finish what runs",
    COMMON_OPTIONS | CTL_OPTION_DAEMON, false, cmd_drain },
  { "explain", NULL, "REQUEST-ID", "print why a request went where it went",
    COMMON_OPTIONS | CTL_OPTION_DAEMON | CTL_OPTION_LOGS, false, cmd_explain },
};

static void
print_help (void)
{
  puts ("usage: medlarplankctl COMMAND [OPTION]...\n");
  for (size_t i = 0; i < G_N_ELEMENTS (COMMANDS); i++)
    {
      const command_t *command = &COMMANDS[i];
      g_autofree char *words = g_strjoin (
          " ", command->first, command->second != NULL ? command->second : command->argument,
          command->second != NULL ? command->argument : NULL, NULL);

      printf ("  %-24s %s\n", words, command->summary);
    }
  puts ("\n"
        "  --platform IP:PORT       the platform's log and list (MEDLARPLANK_PLATFORM)\n"
        "  --daemon IP:PORT         one daemon, in place of those on the list\n"
        "  --logs PATH              explain: a file or folder of collected logs, in place of a "
        "daemon\n"
        "  --timeout-ms N           for the whole command; 10000\n"
        "  --json                   print JSON\n"
        "  --patch                  publish: FILE is a JSON merge patch (RFC 7386)\n"
        "  --base N                 publish: the version that the change was made on\n"
        "  --by WHO                 publish: who publishes; the user's name\n"
        "  --hosts-check yes|no     publish: compare engines with the platform's list; yes\n"
        "  --allow-missing-engines  publish: go on when the list lacks some\n"
        "  --version                print the version of the tool, or of the manifest\n"
        "  --help                   print this\n\n"
        "The key for drain is read from MEDLARPLANK_FLEET_KEY.\n"
        "Exit status: 0 done, 1 failed, 2 wrong usage or input, 3 lost a race to another\n"
        "publish, 4 the platform does not answer.");
}

static const command_t *
find_command (const ctl_options_t *options)
{
  for (size_t i = 0; i < G_N_ELEMENTS (COMMANDS); i++)
    {
      const command_t *command = &COMMANDS[i];
      uint32_t words = command->second != NULL ? 2 : 1;

      if (options->word_count < words || strcmp (options->words[0], command->first) != 0)
        continue;
      if (command->second == NULL || strcmp (options->words[1], command->second) == 0)
        return command;
    }
  return NULL;
}

static const char *
argument_of (const command_t *command, const ctl_options_t *options)
{
  uint32_t words = command->second != NULL ? 2 : 1;

  return command->argument != NULL ? options->words[words] : "";
}

static ctl_exit_t
check_usage (const command_t *command, const ctl_options_t *options)
{
  uint32_t words = (command->second != NULL ? 2 : 1) + (command->argument != NULL ? 1 : 0);
  uint32_t unsupported = options->given & ~command->accepted_options;

  if (options->word_count < words)
    return ctl_report (CTL_USAGE, "%s is missing; see --help", command->argument);
  if (options->word_count > words)
    return ctl_report (CTL_USAGE, "\"%s\" is not expected; see --help", options->words[words]);
  if (unsupported != 0)
    return ctl_report (CTL_USAGE, "--%s is not for this command; see --help",
                       ctl_option_name (unsupported & -unsupported));
  if (command->needs_platform && (options->given & CTL_OPTION_PLATFORM) == 0)
    return ctl_report (CTL_USAGE, "--platform or MEDLARPLANK_PLATFORM is required");
  return CTL_OK;
}

static ctl_exit_t
run_command (const command_t *command, const ctl_options_t *options)
{
  ctl_t ctl = { .options = *options };
  ctl_exit_t code;

  clock_init_running (&ctl.clock);
  ctl.deadline_us = clock_now_us (&ctl.clock) + (uint64_t)options->timeout_ms * CLOCK_US_PER_MS;
  ctl.base = event_base_new ();
  ctl.http_client = http_client_new (ctl.base, 1, 1000);
  if ((options->given & CTL_OPTION_PLATFORM) != 0)
    ctl.platform = platform_http_new (ctl.base, &options->platform, NULL);
  code = command->run (&ctl, argument_of (command, options));
  if (ctl.platform != NULL)
    ctl.platform->free (ctl.platform);
  http_client_free (ctl.http_client);
  event_base_free (ctl.base);
  return code;
}

static const char *
get_environment (const char *name)
{
  return getenv (name);
}

int
main (int argc, char **argv)
{
  g_autoptr (GError) error = NULL;
  ctl_options_t options;
  const command_t *command;
  ctl_exit_t code;

  if (!ctl_options_parse (&options, argc, argv, get_environment, &error))
    return ctl_report (CTL_USAGE, "%s", error->message);
  if ((options.given & CTL_OPTION_HELP) != 0)
    {
      print_help ();
      return CTL_OK;
    }
  if ((options.given & CTL_OPTION_VERSION) != 0 && options.word_count == 0)
    {
      puts ("medlarplankctl " PROGRAM_VERSION);
      return CTL_OK;
    }
  command = find_command (&options);
  if (command == NULL)
    return ctl_report (CTL_USAGE, "that is not a command; see --help");
  code = check_usage (command, &options);
  return code == CTL_OK ? run_command (command, &options) : code;
}
