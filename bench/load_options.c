#include "load_options.h"

#include <getopt.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_WORKERS 16
#define DEFAULT_OPEN_LOOP_IN_FLIGHT 1000

static const char usage_text[] =
    "bench-load --target IP:PORT... [--direct IP:PORT...] (--account NAME:KEY[:WEIGHT]... |\n"
    "  --keys FILE) [--requests N] [--time-s N] [--rate R | --concurrency N] [--chats N]\n"
    "  [--zipf S] [--pause-ms N] [--first-bytes N] [--turn-bytes N] [--history-limit-bytes N]\n"
    "  [--max-tokens N] [--model NAME] [--class NAME[:WEIGHT[:MAX_TOKENS]]...]\n"
    "  [--stream SHARE] [--plain-share SHARE --plain-path PATH [--plain-method METHOD]]\n"
    "  [--direct-share SHARE] [--timeout-ms N] [--idle N] [--seed N] [--json | --tsv]\n";

enum
{
  FLAG_TARGET = 1,
  FLAG_DIRECT,
  FLAG_ACCOUNT,
  FLAG_KEYS,
  FLAG_REQUESTS,
  FLAG_TIME,
  FLAG_RATE,
  FLAG_CONCURRENCY,
  FLAG_CHATS,
  FLAG_ZIPF,
  FLAG_PAUSE,
  FLAG_FIRST,
  FLAG_TURN,
  FLAG_HISTORY,
  FLAG_MAX_TOKENS,
  FLAG_MODEL,
  FLAG_CLASS,
  FLAG_STREAM,
  FLAG_PLAIN_SHARE,
  FLAG_PLAIN_PATH,
  FLAG_PLAIN_METHOD,
  FLAG_DIRECT_SHARE,
  FLAG_TIMEOUT,
  FLAG_IDLE,
  FLAG_SEED,
  FLAG_JSON,
  FLAG_TSV
};

static const struct option flags[] = {
  { "target", required_argument, NULL, FLAG_TARGET },
  { "direct", required_argument, NULL, FLAG_DIRECT },
  { "account", required_argument, NULL, FLAG_ACCOUNT },
  { "keys", required_argument, NULL, FLAG_KEYS },
  { "requests", required_argument, NULL, FLAG_REQUESTS },
  { "time-s", required_argument, NULL, FLAG_TIME },
  { "rate", required_argument, NULL, FLAG_RATE },
  { "concurrency", required_argument, NULL, FLAG_CONCURRENCY },
  { "chats", required_argument, NULL, FLAG_CHATS },
  { "zipf", required_argument, NULL, FLAG_ZIPF },
  { "pause-ms", required_argument, NULL, FLAG_PAUSE },
  { "first-bytes", required_argument, NULL, FLAG_FIRST },
  { "turn-bytes", required_argument, NULL, FLAG_TURN },
  { "history-limit-bytes", required_argument, NULL, FLAG_HISTORY },
  { "max-tokens", required_argument, NULL, FLAG_MAX_TOKENS },
  { "model", required_argument, NULL, FLAG_MODEL },
  { "class", required_argument, NULL, FLAG_CLASS },
  { "stream", required_argument, NULL, FLAG_STREAM },
  { "plain-share", required_argument, NULL, FLAG_PLAIN_SHARE },
  { "plain-path", required_argument, NULL, FLAG_PLAIN_PATH },
  { "plain-method", required_argument, NULL, FLAG_PLAIN_METHOD },
  { "direct-share", required_argument, NULL, FLAG_DIRECT_SHARE },
  { "timeout-ms", required_argument, NULL, FLAG_TIMEOUT },
  { "idle", required_argument, NULL, FLAG_IDLE },
  { "seed", required_argument, NULL, FLAG_SEED },
  { "json", no_argument, NULL, FLAG_JSON },
  { "tsv", no_argument, NULL, FLAG_TSV },
  { NULL, 0, NULL, 0 },
};

static void __attribute__ ((noreturn)) exit_usage (const char *message)
{
  g_printerr ("%s\n%s", message, usage_text);
  exit (2);
}

static uint64_t
parse_number (const char *text, uint64_t limit)
{
  guint64 value;
  GError *error = NULL;
  if (!g_ascii_string_to_unsigned (text, 10, 0, limit, &value, &error))
    exit_usage (error->message);
  return value;
}

static double
parse_real (const char *text, double limit)
{
  char *end;
  double value = g_ascii_strtod (text, &end);
  if (end == text || *end != '\0' || !(value >= 0 && value <= limit))
    exit_usage (text);
  return value;
}

static void
add_target (load_options_t *options, load_side_t side, const char *text)
{
  GError *error = NULL;
  if (options->target_count[side] == LOAD_MAX_TARGETS)
    exit_usage ("too many targets");
  if (!address_parse (text, &options->targets[side][options->target_count[side]], &error))
    exit_usage (error->message);
  options->target_count[side]++;
}

static void
add_account (load_options_t *options, const char *text)
{
  g_auto (GStrv) parts = g_strsplit (text, ":", 3);
  guint count = g_strv_length (parts);
  if (count < 2 || options->account_count == LOAD_MAX_ACCOUNTS)
    exit_usage ("an account is NAME:KEY[:WEIGHT]");
  load_account_t *account = &options->accounts[options->account_count++];
  g_strlcpy (account->name, parts[0], sizeof account->name);
  g_strlcpy (account->key, parts[1], sizeof account->key);
  account->weight = count < 3 ? 1 : (uint32_t)parse_number (parts[2], 1000000);
}

static void
add_accounts_from_file (load_options_t *options, const char *path)
{
  g_autofree char *text = NULL;
  GError *error = NULL;
  if (!g_file_get_contents (path, &text, NULL, &error))
    exit_usage (error->message);
  g_auto (GStrv) lines = g_strsplit (text, "\n", 0);
  for (char **line = lines; *line != NULL; line++)
    if (**line != '\0' && **line != '#')
      add_account (options, *line);
}

static void
add_class (load_options_t *options, const char *text)
{
  g_auto (GStrv) parts = g_strsplit (text, ":", 3);
  guint count = g_strv_length (parts);
  if (count < 1 || options->class_count == LOAD_MAX_CLASSES)
    exit_usage ("a class is NAME[:WEIGHT[:MAX_TOKENS]]");
  load_class_t *class = &options->classes[options->class_count++];
  g_strlcpy (class->name, parts[0], sizeof class->name);
  class->weight = count < 2 ? 1 : (uint32_t)parse_number (parts[1], 1000000);
  class->max_tokens = count < 3 ? 0 : (uint32_t)parse_number (parts[2], 65536);
}

static bool
apply_load_flag (load_options_t *options, int flag, const char *value)
{
  switch (flag)
    {
    case FLAG_REQUESTS:
      options->requests = parse_number (value, LOAD_MAX_REQUESTS);
      return true;
    case FLAG_TIME:
      options->time_s = parse_number (value, LOAD_MAX_TIME_S);
      return true;
    case FLAG_RATE:
      options->rate_s = parse_real (value, 1e6);
      return true;
    case FLAG_CONCURRENCY:
      options->concurrency = (uint32_t)MAX (1, parse_number (value, LOAD_MAX_CONCURRENCY));
      return true;
    case FLAG_CHATS:
      options->chats = (uint32_t)MAX (1, parse_number (value, LOAD_MAX_CHATS));
      return true;
    case FLAG_ZIPF:
      options->zipf = parse_real (value, 10);
      return true;
    case FLAG_PAUSE:
      options->pause_ms = parse_number (value, 24 * 3600 * 1000);
      return true;
    case FLAG_FIRST:
      options->first_bytes = (uint32_t)parse_number (value, 4 * 1024 * 1024);
      return true;
    case FLAG_TURN:
      options->turn_bytes = (uint32_t)parse_number (value, 1024 * 1024);
      return true;
    case FLAG_HISTORY:
      options->history_limit_bytes = (uint32_t)parse_number (value, 8 * 1024 * 1024);
      return true;
    case FLAG_MAX_TOKENS:
      options->max_tokens = (uint32_t)MAX (1, parse_number (value, 65536));
      return true;
    default:
      return false;
    }
}

static void
apply_flag (load_options_t *options, int flag, const char *value)
{
  switch (flag)
    {
    case FLAG_TARGET:
      add_target (options, LOAD_SIDE_ROUTERS, value);
      break;
    case FLAG_DIRECT:
      add_target (options, LOAD_SIDE_ENGINES, value);
      break;
    case FLAG_ACCOUNT:
      add_account (options, value);
      break;
    case FLAG_KEYS:
      add_accounts_from_file (options, value);
      break;
    case FLAG_MODEL:
      g_strlcpy (options->model, value, sizeof options->model);
      break;
    case FLAG_CLASS:
      add_class (options, value);
      break;
    case FLAG_STREAM:
      options->stream_share = parse_real (value, 1);
      break;
    case FLAG_PLAIN_SHARE:
      options->plain_share = parse_real (value, 1);
      break;
    case FLAG_PLAIN_PATH:
      g_strlcpy (options->plain_path, value, sizeof options->plain_path);
      break;
    case FLAG_PLAIN_METHOD:
      g_strlcpy (options->plain_method, value, sizeof options->plain_method);
      break;
    case FLAG_DIRECT_SHARE:
      options->direct_share = parse_real (value, 1);
      break;
    case FLAG_TIMEOUT:
      options->timeout_ms = MAX (1, parse_number (value, 3600 * 1000));
      break;
    case FLAG_IDLE:
      options->idle = (uint32_t)parse_number (value, 1000000);
      break;
    case FLAG_SEED:
      options->seed = (uint32_t)parse_number (value, G_MAXUINT32);
      break;
    case FLAG_JSON:
      options->json = true;
      break;
    case FLAG_TSV:
      options->tsv = true;
      break;
    default:
      exit_usage ("wrong flag");
    }
}

static void
check_options (load_options_t *options)
{
  uint32_t targets =
      options->target_count[LOAD_SIDE_ROUTERS] + options->target_count[LOAD_SIDE_ENGINES];
  if (targets == 0)
    exit_usage ("no --target and no --direct");
  if (options->account_count == 0)
    add_account (options, "none:none");
  options->has_classes = options->class_count > 0;
  if (!options->has_classes)
    add_class (options, "default");
  if (options->plain_share > 0 && options->plain_path[0] != '/')
    exit_usage ("--plain-share needs --plain-path");
  if (strcmp (options->plain_method, "GET") != 0 && strcmp (options->plain_method, "POST") != 0)
    exit_usage ("--plain-method is GET or POST");
  if (options->concurrency == 0)
    options->concurrency = options->rate_s > 0 ? DEFAULT_OPEN_LOOP_IN_FLIGHT : DEFAULT_WORKERS;
  if (options->target_count[LOAD_SIDE_ROUTERS] == 0)
    options->direct_share = 1;
  if (options->target_count[LOAD_SIDE_ENGINES] == 0)
    options->direct_share = 0;
}

load_options_t *
load_options_parse (int argc, char **argv)
{
  load_options_t *options = g_new0 (load_options_t, 1);
  options->requests = 1000;
  options->time_s = 60;
  options->chats = 200;
  options->first_bytes = 4000;
  options->turn_bytes = 400;
  options->history_limit_bytes = 256 * 1024;
  options->max_tokens = 16;
  options->direct_share = 0.5;
  options->timeout_ms = 60000;
  options->seed = 1;
  g_strlcpy (options->model, "model", sizeof options->model);
  g_strlcpy (options->plain_method, "POST", sizeof options->plain_method);
  int flag;
  while ((flag = getopt_long (argc, argv, "", flags, NULL)) != -1)
    if (!apply_load_flag (options, flag, optarg))
      apply_flag (options, flag, optarg);
  if (optind != argc)
    exit_usage (argv[optind]);
  check_options (options);
  return options;
}
