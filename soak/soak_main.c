/* soak --seed N [--seconds S] [--build DIR] [--keep] */
#include "soak.h"

#include <event2/util.h>
#include <getopt.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define ASK_MS 20 /* between two requests */
#define LOOK_MS 10
#define HEAL_MS 4500 /* entries lapse, versions and engines are learned, processes start */
#define FAULT_MIN_MS 100
#define FAULT_MORE_MS 900

uint64_t
sok_now_us (void)
{
  return (uint64_t)g_get_monotonic_time ();
}

static void
say (const sok_t *sok, const char *kind, const char *format, va_list args)
{
  g_autofree char *text = g_strdup_vprintf (format, args);

  printf ("%8.3f %s %s\n", (double)(sok_now_us () - sok->started_us) / 1e6, kind, text);
  fflush (stdout);
}

void
sok_fail (sok_t *sok, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  say (sok, "BROKEN", format, args);
  va_end (args);
  sok->failures++;
}

void
sok_log (sok_t *sok, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  say (sok, "      ", format, args);
  va_end (args);
}

uint32_t
sok_random (sok_t *sok, uint32_t below)
{
  return (uint32_t)g_rand_int_range (sok->rand, 0, (gint32)below);
}

void
sok_turn (sok_t *sok, uint32_t ms)
{
  uint64_t until_us = sok_now_us () + (uint64_t)ms * 1000;
  struct timeval tick = { 0, LOOK_MS * 1000 };

  while (sok_now_us () < until_us)
    {
      event_base_loopexit (sok->base, &tick);
      event_base_dispatch (sok->base);
      sok_processes_look (sok);
      sok_faults_look (sok);
    }
}

static void
run_faults (sok_t *sok, uint32_t seconds)
{
  uint64_t until_us = sok_now_us () + (uint64_t)seconds * 1000 * 1000;
  uint64_t next_us = sok_now_us ();

  while (sok_now_us () < until_us)
    {
      sok_ask_some (sok);
      sok_turn (sok, ASK_MS);
      if (sok_now_us () < next_us)
        continue;
      sok_fault (sok);
      next_us = sok_now_us () + (FAULT_MIN_MS + sok_random (sok, FAULT_MORE_MS)) * UINT64_C (1000);
    }
}

static uint32_t
answered (const sok_t *sok)
{
  uint32_t count = 0;

  for (guint i = 0; i < sok->calls->len; i++)
    {
      const sok_call_t *call = g_ptr_array_index (sok->calls, i);

      count += call->status == 200 && call->whole ? 1 : 0;
    }
  return count;
}

static void
open_soak (sok_t *sok, const char *build)
{
  unsigned pid = (unsigned)getpid ();

  signal (SIGPIPE, SIG_IGN);
  setenv ("MEDLARPLANK_FLEET_KEY", "a fleet key of the soak", 1);
  sok->build = build;
  sok->started_us = sok_now_us ();
  sok->rand = g_rand_new_with_seed ((guint32)sok->seed);
  sok->base = event_base_new ();
  sok->hcl = hcl_new (sok->base, 8, 10000);
  sok->dir = g_dir_make_tmp ("medlarplank-soak-XXXXXX", NULL);
  sok->net = g_strdup_printf ("127.%u.%u", (pid >> 8 & 0x7f) + 1, pid & 0xff);
  sok->calls = g_ptr_array_new_with_free_func (sok_call_free);
  sok->disturbances = g_array_new (FALSE, FALSE, sizeof (sok_span_t));
}

static void
close_soak (sok_t *sok, bool keep)
{
  hcl_free (sok->hcl);
  sok_fleet_stop (sok);
  if (sok->failures > 0 || keep)
    printf ("logs and records are in %s\n", sok->dir);
  else
    {
      g_autoptr (GDir) dir = g_dir_open (sok->dir, 0, NULL);
      const char *name;

      while ((name = g_dir_read_name (dir)))
        {
          g_autofree char *path = g_build_filename (sok->dir, name, NULL);

          unlink (path);
        }
      rmdir (sok->dir);
    }
}

static const struct option flags[] = { { "seed", required_argument, NULL, 's' },
                                       { "seconds", required_argument, NULL, 't' },
                                       { "build", required_argument, NULL, 'b' },
                                       { "keep", no_argument, NULL, 'k' },
                                       { NULL, 0, NULL, 0 } };

int
main (int argc, char **argv)
{
  static sok_t sok;
  const char *build = "build";
  guint64 seconds = 12;
  bool keep = false;
  int flag;

  while ((flag = getopt_long (argc, argv, "", flags, NULL)) != -1)
    {
      if (flag == 'b')
        build = optarg;
      else if (flag == 'k')
        keep = true;
      else if (flag == '?' ||
               !g_ascii_string_to_unsigned (optarg, 10, 0, flag == 's' ? G_MAXUINT32 : 3600,
                                            flag == 's' ? &sok.seed : &seconds, NULL))
        {
          fprintf (stderr, "soak --seed N [--seconds S] [--build DIR] [--keep]\n");
          return 2;
        }
    }
  open_soak (&sok, build);
  sok_fleet_start (&sok);
  if (sok.failures == 0)
    {
      run_faults (&sok, (uint32_t)seconds);
      sok_heal (&sok);
      sok_turn (&sok, HEAL_MS);
      sok_check (&sok);
    }
  printf ("seed %u: %u requests, %u answered, %u promises broken\n", (unsigned)sok.seed,
          sok.calls->len, answered (&sok), sok.failures);
  close_soak (&sok, keep);
  return sok.failures > 0;
}
