/**
 * DOC: options
 *
 * The command line and environment of the tool. Options may stand before, between and after the
 * words of a command.
 */
#ifndef CTL_OPTIONS_H
#define CTL_OPTIONS_H

#include "base/settings.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Bits of the options that were given, and of those that a command takes. */
enum
{
  OPT_PLATFORM = 1 << 0,
  OPT_TIMEOUT = 1 << 1,
  OPT_JSON = 1 << 2,
  OPT_PATCH = 1 << 3,
  OPT_BASE = 1 << 4,
  OPT_BY = 1 << 5,
  OPT_HOSTS_CHECK = 1 << 6,
  OPT_ALLOW_MISSING = 1 << 7,
  OPT_DAEMON = 1 << 8,
  OPT_VERSION = 1 << 9,
  OPT_HELP = 1 << 10,
  OPT_LOGS = 1 << 11
};

#define OPT_WORDS_MAX 8
#define OPT_TIMEOUT_MS 10000
#define OPT_TIMEOUT_MAX_MS (3600 * 1000)

/**
 * struct opt - what was asked
 * @given: the options on the command line; OPT_PLATFORM also when the environment names it
 * @fleet_key: NULL when the environment has none
 * @logs: file or folder of collected logs
 * @by: who publishes; the user's name when it is not given
 * @words: the command and its arguments
 */
typedef struct
{
  uint32_t given;
  set_address_t platform;
  set_address_t daemon;
  const char *fleet_key;
  uint32_t timeout_ms;
  bool hosts_check;
  uint64_t base;
  const char *logs;
  const char *by;
  const char *words[OPT_WORDS_MAX];
  uint32_t word_count;
} opt_t;

#define OPT_ERROR (g_quark_from_static_string ("opt-error"))

/** opt_read() - strings are borrowed from @argv and the environment */
bool opt_read (opt_t *opt,
               int argc,
               char **argv,
               const char *(*environ_get) (const char *name),
               GError **error);
/** opt_name() - the spelling of one option bit */
const char *opt_name (uint32_t bit);

#endif
