/**
 * DOC: standin_platform
 *
 * Simulates the platform for tests, the demo and benchmarks: its log service, keyed topics and host
 * list, with the interface described in src/connection/platform.h. POST /admin/fault injects
 * faults.
 */
#include "keyed_store.h"
#include "platform.h"

#include <getopt.h>
#include <signal.h>
#include <stdlib.h>

static void
on_call (http_call_t *call, void *context)
{
  standin_platform_handle_call (context, call);
}

static const struct option flags[] = {
  { "listen", required_argument, NULL, 'l' },
  { "retain-records", required_argument, NULL, 'r' },
  { "retain-bytes", required_argument, NULL, 'b' },
  { "list-lag-ms", required_argument, NULL, 'g' },
  { "appends-s", required_argument, NULL, 'a' },
  { "entry-ttl-ms", required_argument, NULL, 'e' },
  { NULL, 0, NULL, 0 },
};

static uint64_t
parse_number (const char *text)
{
  guint64 value;
  GError *error = NULL;
  if (g_ascii_string_to_unsigned (text, 10, 0, G_MAXINT64, &value, &error))
    return value;
  g_printerr ("%s\n", error->message);
  exit (2);
}

static void
apply_flag (standin_platform_options_t *options, int flag, const char *value)
{
  switch (flag)
    {
    case 'l':
      options->listen = value;
      break;
    case 'r':
      options->retain_records = MAX (1, parse_number (value));
      break;
    case 'b':
      options->retain_bytes = parse_number (value);
      break;
    case 'g':
      options->list_lag_us = parse_number (value) * 1000;
      break;
    case 'a':
      options->max_appends_s = parse_number (value);
      break;
    case 'e':
      options->entry_ttl_us = parse_number (value) * 1000;
      break;
    default:
      g_printerr ("standin-platform --listen IP:PORT [--retain-records N] [--retain-bytes N]\n"
                  "  [--list-lag-ms N] [--appends-s N] [--entry-ttl-ms N]\n");
      exit (2);
    }
}

static standin_platform_options_t
parse_flags (int argc, char **argv)
{
  standin_platform_options_t options = { .retain_records = 100000,
                                         .retain_bytes = 64 * 1024 * 1024,
                                         .entry_ttl_us = KEYED_STORE_ENTRY_TTL_MS * 1000 };
  int flag;
  while ((flag = getopt_long (argc, argv, "", flags, NULL)) != -1)
    apply_flag (&options, flag, optarg);
  if (options.listen == NULL || optind != argc)
    apply_flag (&options, '?', NULL);
  return options;
}

static void
on_stop_signal (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  event_base_loopbreak (arg);
}

int
main (int argc, char **argv)
{
  static standin_platform_t state; /* static, so that leak checkers treat its memory as reachable */
  standin_platform_t *platform = &state;
  platform->options = parse_flags (argc, argv);
  platform->base = http_call_base_new ();
  platform->log = record_log_new (platform->options.retain_records, platform->options.retain_bytes);
  platform->hosts = host_list_new (platform->options.list_lag_us);
  platform->keyed = keyed_store_new (platform);
  g_queue_init (&platform->waiters);
  signal (SIGPIPE, SIG_IGN);
  if (http_call_listen (platform->base, platform->options.listen, on_call, platform) == NULL)
    return 1;
  event_add (evsignal_new (platform->base, SIGTERM, on_stop_signal, platform->base), NULL);
  event_add (evsignal_new (platform->base, SIGINT, on_stop_signal, platform->base), NULL);
  g_print ("platform listens on %s\n", platform->options.listen);
  event_base_dispatch (platform->base);
  return 0;
}
