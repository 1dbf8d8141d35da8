#include "load_options.h"

#include <getopt.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define CLOSED_CONCURRENCY 16
#define OPEN_CONCURRENCY 1000

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

static void __attribute__ ((noreturn)) wrong (const char *message)
{
  g_printerr ("%s\n%s", message, usage_text);
  exit (2);
}

static uint64_t
number (const char *text, uint64_t limit)
{
  guint64 value;
  GError *error = NULL;
  if (!g_ascii_string_to_unsigned (text, 10, 0, limit, &value, &error))
    wrong (error->message);
  return value;
}

static double
real (const char *text, double limit)
{
  char *end;
  double value = g_ascii_strtod (text, &end);
  if (end == text || *end != '\0' || !(value >= 0 && value <= limit))
    wrong (text);
  return value;
}

static void
add_target (lop_t *lop, lop_side_t side, const char *text)
{
  GError *error = NULL;
  if (lop->target_count[side] == LOP_LIMIT_TARGETS)
    wrong ("too many targets");
  if (!set_parse_address (text, &lop->targets[side][lop->target_count[side]], &error))
    wrong (error->message);
  lop->target_count[side]++;
}

static void
add_account (lop_t *lop, const char *text)
{
  g_auto (GStrv) parts = g_strsplit (text, ":", 3);
  guint count = g_strv_length (parts);
  if (count < 2 || lop->account_count == LOP_LIMIT_ACCOUNTS)
    wrong ("an account is NAME:KEY[:WEIGHT]");
  lop_account_t *account = &lop->accounts[lop->account_count++];
  g_strlcpy (account->name, parts[0], sizeof account->name);
  g_strlcpy (account->key, parts[1], sizeof account->key);
  account->weight = count < 3 ? 1 : (uint32_t)number (parts[2], 1000000);
}

static void
add_accounts (lop_t *lop, const char *path)
{
  g_autofree char *text = NULL;
  GError *error = NULL;
  if (!g_file_get_contents (path, &text, NULL, &error))
    wrong (error->message);
  g_auto (GStrv) lines = g_strsplit (text, "\n", 0);
  for (char **line = lines; *line != NULL; line++)
    if (**line != '\0' && **line != '#')
      add_account (lop, *line);
}

static void
add_class (lop_t *lop, const char *text)
{
  g_auto (GStrv) parts = g_strsplit (text, ":", 3);
  guint count = g_strv_length (parts);
  if (count < 1 || lop->class_count == LOP_LIMIT_CLASSES)
    wrong ("a class is NAME[:WEIGHT[:MAX_TOKENS]]");
  lop_class_t *class = &lop->classes[lop->class_count++];
  g_strlcpy (class->name, parts[0], sizeof class->name);
  class->weight = count < 2 ? 1 : (uint32_t)number (parts[1], 1000000);
  class->max_tokens = count < 3 ? 0 : (uint32_t)number (parts[2], 65536);
}

static bool
take_load_flag (lop_t *lop, int flag, const char *value)
{
  switch (flag)
    {
    case FLAG_REQUESTS:
      lop->requests = number (value, LOP_LIMIT_REQUESTS);
      return true;
    case FLAG_TIME:
      lop->time_s = number (value, LOP_LIMIT_TIME_S);
      return true;
    case FLAG_RATE:
      lop->rate_s = real (value, 1e6);
      return true;
    case FLAG_CONCURRENCY:
      lop->concurrency = (uint32_t)MAX (1, number (value, LOP_LIMIT_CONCURRENCY));
      return true;
    case FLAG_CHATS:
      lop->chats = (uint32_t)MAX (1, number (value, LOP_LIMIT_CHATS));
      return true;
    case FLAG_ZIPF:
      lop->zipf = real (value, 10);
      return true;
    case FLAG_PAUSE:
      lop->pause_ms = number (value, 24 * 3600 * 1000);
      return true;
    case FLAG_FIRST:
      lop->first_bytes = (uint32_t)number (value, 4 * 1024 * 1024);
      return true;
    case FLAG_TURN:
      lop->turn_bytes = (uint32_t)number (value, 1024 * 1024);
      return true;
    case FLAG_HISTORY:
      lop->history_limit_bytes = (uint32_t)number (value, 8 * 1024 * 1024);
      return true;
    case FLAG_MAX_TOKENS:
      lop->max_tokens = (uint32_t)MAX (1, number (value, 65536));
      return true;
    default:
      return false;
    }
}

static void
take_flag (lop_t *lop, int flag, const char *value)
{
  switch (flag)
    {
    case FLAG_TARGET:
      add_target (lop, LOP_FLEET, value);
      break;
    case FLAG_DIRECT:
      add_target (lop, LOP_DIRECT, value);
      break;
    case FLAG_ACCOUNT:
      add_account (lop, value);
      break;
    case FLAG_KEYS:
      add_accounts (lop, value);
      break;
    case FLAG_MODEL:
      g_strlcpy (lop->model, value, sizeof lop->model);
      break;
    case FLAG_CLASS:
      add_class (lop, value);
      break;
    case FLAG_STREAM:
      lop->stream_share = real (value, 1);
      break;
    case FLAG_PLAIN_SHARE:
      lop->plain_share = real (value, 1);
      break;
    case FLAG_PLAIN_PATH:
      g_strlcpy (lop->plain_path, value, sizeof lop->plain_path);
      break;
    case FLAG_PLAIN_METHOD:
      g_strlcpy (lop->plain_method, value, sizeof lop->plain_method);
      break;
    case FLAG_DIRECT_SHARE:
      lop->direct_share = real (value, 1);
      break;
    case FLAG_TIMEOUT:
      lop->timeout_ms = MAX (1, number (value, 3600 * 1000));
      break;
    case FLAG_IDLE:
      lop->idle = (uint32_t)number (value, 1000000);
      break;
    case FLAG_SEED:
      lop->seed = (uint32_t)number (value, G_MAXUINT32);
      break;
    case FLAG_JSON:
      lop->json = true;
      break;
    case FLAG_TSV:
      lop->tsv = true;
      break;
    default:
      wrong ("wrong flag");
    }
}

static void
check (lop_t *lop)
{
  uint32_t targets = lop->target_count[LOP_FLEET] + lop->target_count[LOP_DIRECT];
  if (targets == 0)
    wrong ("no --target and no --direct");
  if (lop->account_count == 0)
    add_account (lop, "none:none");
  lop->has_classes = lop->class_count > 0;
  if (!lop->has_classes)
    add_class (lop, "default");
  if (lop->plain_share > 0 && lop->plain_path[0] != '/')
    wrong ("--plain-share needs --plain-path");
  if (strcmp (lop->plain_method, "GET") != 0 && strcmp (lop->plain_method, "POST") != 0)
    wrong ("--plain-method is GET or POST");
  if (lop->concurrency == 0)
    lop->concurrency = lop->rate_s > 0 ? OPEN_CONCURRENCY : CLOSED_CONCURRENCY;
  if (lop->target_count[LOP_FLEET] == 0)
    lop->direct_share = 1;
  if (lop->target_count[LOP_DIRECT] == 0)
    lop->direct_share = 0;
}

lop_t *
lop_load (int argc, char **argv)
{
  lop_t *lop = g_new0 (lop_t, 1);
  lop->requests = 1000;
  lop->time_s = 60;
  lop->chats = 200;
  lop->first_bytes = 4000;
  lop->turn_bytes = 400;
  lop->history_limit_bytes = 256 * 1024;
  lop->max_tokens = 16;
  lop->direct_share = 0.5;
  lop->timeout_ms = 60000;
  lop->seed = 1;
  g_strlcpy (lop->model, "model", sizeof lop->model);
  g_strlcpy (lop->plain_method, "POST", sizeof lop->plain_method);
  int flag;
  while ((flag = getopt_long (argc, argv, "", flags, NULL)) != -1)
    if (!take_load_flag (lop, flag, optarg))
      take_flag (lop, flag, optarg);
  if (optind != argc)
    wrong (argv[optind]);
  check (lop);
  return lop;
}
