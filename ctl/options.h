/**
 * DOC: options
 *
 * Parses the command line and environment of the tool. Options may stand before, between and after
 * the words of a command.
 */
#ifndef CTL_OPTIONS_H
#define CTL_OPTIONS_H

#include "base/settings.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** One bit per option, for the set of options given and the set that a command accepts. */
enum
{
  CTL_OPTION_PLATFORM = 1 << 0,
  CTL_OPTION_TIMEOUT = 1 << 1,
  CTL_OPTION_JSON = 1 << 2,
  CTL_OPTION_PATCH = 1 << 3,
  CTL_OPTION_BASE = 1 << 4,
  CTL_OPTION_BY = 1 << 5,
  CTL_OPTION_HOSTS_CHECK = 1 << 6,
  CTL_OPTION_ALLOW_MISSING = 1 << 7,
  CTL_OPTION_DAEMON = 1 << 8,
  CTL_OPTION_VERSION = 1 << 9,
  CTL_OPTION_HELP = 1 << 10,
  CTL_OPTION_LOGS = 1 << 11
};

#define CTL_OPTIONS_WORDS_MAX 8
#define CTL_OPTIONS_TIMEOUT_DEFAULT_MS 10000
#define CTL_OPTIONS_TIMEOUT_MAX_MS (3600 * 1000)

/**
 * struct ctl_options - the parsed command line and environment
 * @given: options on the command line; CTL_OPTION_PLATFORM is also set when the environment names
 *   one
 * @platform: address of the platform, valid when CTL_OPTION_PLATFORM is set
 * @daemon: address of a daemon, valid when CTL_OPTION_DAEMON is set
 * @fleet_key: key of the fleet from the environment, or NULL
 * @timeout_ms: time limit of the whole command
 * @hosts_check: whether publish checks that the platform lists all engines
 * @base: version that a published change is based on, valid when CTL_OPTION_BASE is set
 * @logs: path of a file or directory of collected logs
 * @by: name of the publisher, by default the user's login name
 * @words: the command and its arguments
 * @word_count: number of entries in @words
 */
typedef struct
{
  uint32_t given;
  address_t platform;
  address_t daemon;
  const char *fleet_key;
  uint32_t timeout_ms;
  bool hosts_check;
  uint64_t base;
  const char *logs;
  const char *by;
  const char *words[CTL_OPTIONS_WORDS_MAX];
  uint32_t word_count;
} ctl_options_t;

#define CTL_OPTIONS_ERROR (g_quark_from_static_string ("opt-error"))

/**
 * ctl_options_parse() - parse the command line and the environment
 * @get_env: returns the value of an environment variable, or NULL
 *
 * The strings in @options point into @argv and the environment.
 *
 * Return: false with @error set when an option or a value is invalid
 */
bool ctl_options_parse (ctl_options_t *options,
                        int argc,
                        char **argv,
                        const char *(*get_env) (const char *name),
                        GError **error);
/** ctl_option_name() - get the name of an option, without dashes. @bit: one of the option bits */
const char *ctl_option_name (uint32_t bit);

#endif
