/* soak --seed N [--seconds S] [--gateways N] [--restorations] [--crashes]
 * [--versions] [--herds] [--losses] [--floods] [--silences] [--odd] [--garble] [--build DIR]
 * [--keep] */
#include "soak.h"

#include <event2/util.h>
#include <getopt.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define REQUEST_INTERVAL_MS 20
#define POLL_INTERVAL_MS 10
/* Time for processes to start, entries to lapse, and versions and engines to reach all gateways. */
#define RECOVERY_MS 4500
#define FAULT_INTERVAL_MIN_MS 100
#define FAULT_INTERVAL_SPREAD_MS 900 /* added at random to the minimum */

uint64_t
soak_now_us (void)
{
  return (uint64_t)g_get_monotonic_time ();
}

static void
print_line (const soak_t *soak, const char *label, const char *format, va_list args)
{
  g_autofree char *text = g_strdup_vprintf (format, args);

  printf ("%8.3f %s %s\n", (double)(soak_now_us () - soak->started_us) / 1e6, label, text);
  fflush (stdout);
}

void
soak_fail (soak_t *soak, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  print_line (soak, "BROKEN", format, args);
  va_end (args);
  soak->failures++;
}

void
soak_log (soak_t *soak, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  print_line (soak, "      ", format, args);
  va_end (args);
}

uint32_t
soak_random (soak_t *soak, uint32_t below)
{
  return (uint32_t)g_rand_int_range (soak->rand, 0, (gint32)below);
}

void
soak_run_loop (soak_t *soak, uint32_t ms)
{
  uint64_t until_us = soak_now_us () + (uint64_t)ms * 1000;
  struct timeval interval = { 0, POLL_INTERVAL_MS * 1000 };

  while (soak_now_us () < until_us)
    {
      event_base_loopexit (soak->base, &interval);
      event_base_dispatch (soak->base);
      soak_poll_processes (soak);
      soak_poll_store_fault (soak);
      soak_poll_restoration (soak);
      soak_poll_crashers (soak);
      soak_poll_herd (soak);
      soak_poll_floods (soak);
      soak_poll_garble (soak);
      soak_poll_odd (soak);
      soak_poll_losses (soak);
      soak_poll_silences (soak);
      soak_poll_streams (soak);
    }
}

static void
run_faults (soak_t *soak, uint32_t seconds)
{
  uint64_t until_us = soak_now_us () + (uint64_t)seconds * 1000 * 1000;
  uint64_t next_fault_us = soak_now_us ();

  while (soak_now_us () < until_us)
    {
      soak_send_random_request (soak);
      soak_run_loop (soak, REQUEST_INTERVAL_MS);
      if (soak->silences.enabled || soak_now_us () < next_fault_us)
        continue;
      soak_inject_fault (soak);
      next_fault_us =
          soak_now_us () +
          (FAULT_INTERVAL_MIN_MS + soak_random (soak, FAULT_INTERVAL_SPREAD_MS)) * UINT64_C (1000);
    }
}

static uint32_t
count_answered (const soak_t *soak)
{
  uint32_t count = 0;

  for (guint i = 0; i < soak->calls->len; i++)
    {
      const soak_request_t *call = g_ptr_array_index (soak->calls, i);

      count += call->status == 200 && call->complete ? 1 : 0;
    }
  return count;
}

static void
init_soak (soak_t *soak, const char *build)
{
  unsigned pid = (unsigned)getpid ();

  signal (SIGPIPE, SIG_IGN);
  setenv ("MEDLARPLANK_FLEET_KEY", "a fleet key of the soak", 1);
  soak->build = build;
  soak->started_us = soak_now_us ();
  soak->rand = g_rand_new_with_seed ((guint32)soak->seed);
  soak->restoration_rand = g_rand_new_with_seed ((guint32)soak->seed);
  soak->crash_rand = g_rand_new_with_seed ((guint32)soak->seed);
  soak->part_rand = g_rand_new_with_seed ((guint32)soak->seed + 1);
  soak->herd.rand = g_rand_new_with_seed ((guint32)soak->seed);
  soak->floods.rand = g_rand_new_with_seed ((guint32)soak->seed);
  soak->garble.rand = g_rand_new_with_seed ((guint32)soak->seed);
  soak->losses.rand = g_rand_new_with_seed ((guint32)soak->seed);
  soak->resume_rand = g_rand_new_with_seed ((guint32)soak->seed);
  soak->open_streams = g_ptr_array_new ();
  soak->base = event_base_new ();
  soak->http_client = http_client_new (soak->base, 8, 10000);
  soak->dir = g_dir_make_tmp ("medlarplank-soak-XXXXXX", NULL);
  soak->ip_prefix = g_strdup_printf ("127.%u.%u", (pid >> 8 & 0x7f) + 1, pid & 0xff);
  soak->calls = g_ptr_array_new_with_free_func (soak_request_free);
  soak->acked_us = g_array_new (FALSE, TRUE, sizeof (uint64_t));
  soak->disturbances = g_array_new (FALSE, FALSE, sizeof (soak_period_t));
  soak->configs = g_array_new (FALSE, TRUE, sizeof (soak_config_t));
  soak->upstream_count = soak->silences.enabled ? SOAK_UPSTREAMS_MAX : SOAK_UPSTREAMS;
  soak_config_init (&soak->config);
  soak_silences_init (soak);
}

static void
clean_up_soak (soak_t *soak, bool keep)
{
  http_client_free (soak->http_client);
  soak_keeper_free (soak);
  soak_fleet_stop (soak);
  if (soak->failures > 0 || keep)
    printf ("logs and records are in %s\n", soak->dir);
  else
    {
      g_autoptr (GDir) dir = g_dir_open (soak->dir, 0, NULL);
      const char *name;

      while ((name = g_dir_read_name (dir)))
        {
          g_autofree char *path = g_build_filename (soak->dir, name, NULL);

          unlink (path);
        }
      rmdir (soak->dir);
    }
}

static const struct option option_table[] = { { "seed", required_argument, NULL, 's' },
                                              { "seconds", required_argument, NULL, 't' },
                                              { "build", required_argument, NULL, 'b' },
                                              { "gateways", required_argument, NULL, 'g' },
                                              { "keep", no_argument, NULL, 'k' },
                                              { "restorations", no_argument, NULL, 'r' },
                                              { "crashes", no_argument, NULL, 'c' },
                                              { "versions", no_argument, NULL, 'v' },
                                              { "herds", no_argument, NULL, 'h' },
                                              { "losses", no_argument, NULL, 'l' },
                                              { "floods", no_argument, NULL, 'f' },
                                              { "silences", no_argument, NULL, 'q' },
                                              { "odd", no_argument, NULL, 'o' },
                                              { "garble", no_argument, NULL, 'a' },
                                              { NULL, 0, NULL, 0 } };

static bool
parse_number (char option, guint64 *seed, guint64 *seconds, guint64 *gateways)
{
  if (option == 's')
    return g_ascii_string_to_unsigned (optarg, 10, 0, G_MAXUINT32, seed, NULL);
  if (option == 'g')
    return g_ascii_string_to_unsigned (optarg, 10, 1, SOAK_GATEWAYS_MAX, gateways, NULL);
  return option != '?' && g_ascii_string_to_unsigned (optarg, 10, 0, 3600, seconds, NULL);
}

int
main (int argc, char **argv)
{
  static soak_t soak;
  const char *build = "build";
  guint64 seconds = 12;
  guint64 gateways = SOAK_GATEWAYS;
  bool keep = false;
  bool restorations = false;
  bool herds = false;
  bool floods = false;
  bool garble = false;
  int option;

  while ((option = getopt_long (argc, argv, "", option_table, NULL)) != -1)
    {
      if (option == 'b')
        build = optarg;
      else if (option == 'k')
        keep = true;
      else if (option == 'r')
        restorations = true;
      else if (option == 'c')
        soak.crashes = true;
      else if (option == 'v')
        soak.versions = true;
      else if (option == 'h')
        herds = true;
      else if (option == 'f')
        floods = true;
      else if (option == 'l')
        soak.losses.enabled = true;
      else if (option == 'q')
        soak.silences.enabled = true;
      else if (option == 'o')
        soak.odd.enabled = true;
      else if (option == 'a')
        garble = true;
      else if (!parse_number ((char)option, &soak.seed, &seconds, &gateways))
        {
          fprintf (stderr, "soak --seed N [--seconds S] [--gateways N] [--restorations] "
                           "[--crashes] [--versions] [--herds] [--losses] [--floods] [--silences] "
                           "[--odd] [--garble] [--build DIR] "
                           "[--keep]\n"
                           "--silences goes with --gateways, --herds, --losses and --odd only\n");
          return 2;
        }
    }
  if (soak.silences.enabled && (restorations || floods || garble || soak.crashes || soak.versions))
    {
      fprintf (stderr, "--silences is for sound upstreams and stores, and for one version\n");
      return 2;
    }
  soak.gateway_count = (uint32_t)gateways;
  init_soak (&soak, build);
  soak_fleet_start (&soak);
  if (soak.failures == 0)
    {
      soak.restorations = restorations;
      soak.next_crasher_us = soak_now_us ();
      soak.herd.next_us = herds ? soak_now_us () : 0;
      soak.floods.next_us = floods ? soak_now_us () : 0;
      if (garble)
        soak_begin_garble (&soak);
      soak.clients_leave = !soak.losses.enabled;
      if (soak.losses.enabled)
        soak_begin_losses (&soak);
      if (soak.silences.enabled)
        soak_begin_silences (&soak);
      if (soak.odd.enabled)
        soak_begin_odd (&soak);
      run_faults (&soak, (uint32_t)seconds);
      soak_end_odd (&soak);
      soak_end_losses (&soak);
      soak_end_silences (&soak);
      soak.clients_leave = false;
      soak.herd.next_us = 0;
      soak.floods.next_us = 0;
      soak_end_garble (&soak);
      soak_end_faults (&soak);
      soak_run_loop (&soak, RECOVERY_MS + (soak.silences.enabled ? SOAK_LONG_GRACE_MS : 0));
      soak_check (&soak);
    }
  printf ("seed %u: %u requests, %u answered, %u promises broken\n", (unsigned)soak.seed,
          soak.calls->len, count_answered (&soak), soak.failures);
  clean_up_soak (&soak, keep);
  return soak.failures > 0;
}
