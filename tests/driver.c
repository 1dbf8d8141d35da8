#include "driver.h"

#include <CUnit/Basic.h>
#include <event2/bufferevent.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define POLL_INTERVAL_US 2000
#define LOG_TAIL_LINES 40

drv_t *
drv_new (const char *name)
{
  drv_t *drv = g_new0 (drv_t, 1);
  uint32_t pid = (uint32_t)getpid ();
  signal (SIGPIPE, SIG_IGN);
  drv->name = g_strdup (name);
  drv->dir = g_dir_make_tmp ("medlarplank-XXXXXX", NULL);
  drv->network = g_strdup_printf ("127.%u.%u", (pid >> 8 & 0x7f) + 1, pid & 0xff);
  drv->base = event_base_new ();
  drv->processes = g_ptr_array_new ();
  drv->calls = g_ptr_array_new ();
  drv->proxies = g_ptr_array_new ();
  drv->transcript = g_ptr_array_new ();
  drv->run_counts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_assert (drv->dir != NULL);
  return drv;
}

void
drv_fail (drv_t *drv, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  g_autofree char *message = g_strdup_vprintf (format, args);
  va_end (args);
  printf ("\n%s: %s\n", drv->name, message);
  drv->failed = true;
  CU_FAIL ("the session failed; see above");
}

static void
run_loop_once (drv_t *drv)
{
  struct timeval tick = { 0, POLL_INTERVAL_US };
  event_base_loopexit (drv->base, &tick);
  event_base_dispatch (drv->base);
}

bool
drv_until (drv_t *drv, uint32_t limit_ms, const char *what, drv_met_t met, void *context)
{
  gint64 limit_us = g_get_monotonic_time () + (gint64)limit_ms * 1000;
  while (!drv->failed)
    {
      if (met (context))
        return true;
      if (g_get_monotonic_time () > limit_us)
        drv_fail (drv, "timed out waiting for %s", what);
      else
        run_loop_once (drv);
    }
  return false;
}

void
drv_for (drv_t *drv, uint32_t wait_ms)
{
  gint64 end_us = g_get_monotonic_time () + (gint64)wait_ms * 1000;
  while (!drv->failed && g_get_monotonic_time () < end_us)
    run_loop_once (drv);
}

static void
start_platform (drv_t *drv)
{
  drv->platform = drv_process_new (drv, DRV_PLATFORM, "platform", drv->fleet.platform_flags);
  drv_process_start (drv->platform);
}

static void
start_engine (drv_t *drv, drv_host_t *host, const char *name)
{
  host->engine = drv_process_new (drv, DRV_ENGINE, name, drv->fleet.engine_flags);
  host->engine->record_path = g_strdup_printf ("%s/%s.record", drv->dir, name);
  drv_process_flag (host->engine, "--name=%s", name);
  drv_process_flag (host->engine, "--kind=%s", host->is_plain ? "plain" : "model");
  drv_process_flag (host->engine, "--record=%s", host->engine->record_path);
  drv_process_start (host->engine);
}

static drv_process_t *
daemon_new (drv_t *drv, drv_role_t role, const char *name, const char *platform_ip)
{
  drv_process_t *process = drv_process_new (drv, role, name, drv->fleet.daemon_flags);
  drv_process_flag (process, "--role=%s", role == DRV_ROUTER ? "router" : "sidecar");
  drv_process_flag (process, "--name=%s", name);
  drv_process_flag (process, "--data-center=hall-bayangol");
  drv_process_flag (process, "--region=ulaanbaatar");
  drv_process_flag (process, "--exchange=%s:%d", process->ip, DRV_PORT);
  drv_process_flag (process, "--platform=%s:%d", platform_ip, DRV_PORT);
  drv_process_flag (process, "--exchange-interval-ms=100");
  drv_process_flag (process, "--list-interval-ms=100");
  drv_process_flag (process, "--control-budget-bytes=7000");
  return process;
}

static void
start_host (drv_t *drv, const char *name, bool plain)
{
  drv_host_t *host = &drv->hosts[drv->host_count++];
  host->is_plain = plain;
  host->state = "live";
  start_engine (drv, host, name);
  const char *engine_ip = host->engine->ip;
  const char *platform_ip = drv->platform->ip;
  if (drv->fleet.use_proxies)
    {
      host->upstream = drv_forward_new (drv, engine_ip);
      host->log = drv_forward_new (drv, platform_ip);
      engine_ip = drv_forward_ip (host->upstream);
      platform_ip = drv_forward_ip (host->log);
    }
  host->sidecar = daemon_new (drv, DRV_SIDECAR, name, platform_ip);
  drv_process_flag (host->sidecar, "--engine=%s:%d", engine_ip, DRV_PORT);
  if (drv->fleet.use_proxies)
    host->hop = drv_forward_new (drv, host->sidecar->ip);
  drv_process_start (host->sidecar);
}

static void
start_hosts (drv_t *drv)
{
  for (uint32_t i = 0; i < drv->fleet.model_hosts + drv->fleet.plain_hosts; i++)
    {
      bool plain = i >= drv->fleet.model_hosts;
      uint32_t number = plain ? i - drv->fleet.model_hosts : i;
      g_autofree char *name = g_strdup_printf ("%s%u", plain ? "p" : "m", number + 1);
      start_host (drv, name, plain);
    }
}

static void
start_routers (drv_t *drv)
{
  for (uint32_t i = 0; i < drv->fleet.routers; i++)
    {
      g_autofree char *name = g_strdup_printf ("r%u", i + 1);
      drv_process_t *router = daemon_new (drv, DRV_ROUTER, name, drv->platform->ip);
      drv->routers[drv->router_count++] = router;
      drv_process_start (router);
    }
}

static bool
is_healthy (void *context)
{
  drv_process_t *process = context;
  drv_call_t *call = drv_send (process->drv, process->ip, "GET", "/health", NULL, NULL);
  while (call->outcome == DRV_WAITING)
    run_loop_once (process->drv);
  return call->status == 200;
}

void
drv_start_platform (drv_t *drv)
{
  g_setenv ("MEDLARPLANK_FLEET_KEY", DRV_FLEET_KEY, TRUE);
  start_platform (drv);
  drv_until (drv, DRV_WAIT_MS, "the platform", is_healthy, drv->platform);
}

void
drv_start (drv_t *drv, const drv_fleet_t *fleet)
{
  drv->fleet = *fleet;
  drv_start_platform (drv);
  start_hosts (drv);
  start_routers (drv);
  drv_list (drv);
  drv_publish (drv, "first", 0, NULL);
  for (uint32_t i = 0; i < drv->host_count; i++)
    drv_ready (drv->hosts[i].sidecar);
  for (uint32_t i = 0; i < drv->router_count; i++)
    drv_ready (drv->routers[i]);
  drv_in_force (drv, 1);
}

static void
print_log_tail (const drv_process_t *process)
{
  g_autofree char *text = NULL;
  if (!g_file_get_contents (process->log_path, &text, NULL, NULL))
    return;
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
  guint count = g_strv_length (lines);
  printf ("-- end of the log of %s, role %d --\n", process->name, (int)process->role);
  for (guint i = count > LOG_TAIL_LINES ? count - LOG_TAIL_LINES : 0; i < count; i++)
    printf ("%s\n", lines[i]);
}

static void
stop_role (drv_t *drv, drv_role_t role)
{
  for (guint i = 0; i < drv->processes->len; i++)
    {
      drv_process_t *process = drv->processes->pdata[i];
      if (process->role != role || process->pid == 0)
        continue;
      drv_signal (process, SIGCONT);
      drv_signal (process, SIGTERM);
    }
  for (guint i = 0; i < drv->processes->len; i++)
    {
      drv_process_t *process = drv->processes->pdata[i];
      if (process->role != role || process->pid == 0)
        continue;
      int status = drv_ended (process);
      if (status != 0 && !drv->failed)
        drv_fail (drv, "%s ended with status %d", process->name, status);
    }
}

static void
remove_dir (drv_t *drv)
{
  const char *file;
  if (drv->failed && g_getenv ("MEDLARPLANK_KEEP") != NULL)
    {
      printf ("session directory kept: %s\n", drv->dir);
      return;
    }
  GDir *dir = g_dir_open (drv->dir, 0, NULL);
  while ((file = g_dir_read_name (dir)) != NULL)
    {
      g_autofree char *path = g_build_filename (drv->dir, file, NULL);
      g_unlink (path);
    }
  g_dir_close (dir);
  g_rmdir (drv->dir);
}

static void
line_free (drv_line_t *line)
{
  g_free (line->text);
  g_free (line);
}

static void
free_session (drv_t *drv)
{
  g_ptr_array_foreach (drv->calls, (GFunc)(void (*) (void))drv_call_free, NULL);
  g_ptr_array_foreach (drv->proxies, (GFunc)(void (*) (void))drv_forward_free, NULL);
  g_ptr_array_foreach (drv->processes, (GFunc)(void (*) (void))drv_process_free, NULL);
  g_ptr_array_foreach (drv->transcript, (GFunc)(void (*) (void))line_free, NULL);
  g_ptr_array_free (drv->calls, TRUE);
  g_ptr_array_free (drv->proxies, TRUE);
  g_ptr_array_free (drv->processes, TRUE);
  g_ptr_array_free (drv->transcript, TRUE);
  g_hash_table_destroy (drv->run_counts);
  event_base_free (drv->base);
  g_free (drv->name);
  g_free (drv->dir);
  g_free (drv->network);
  g_free (drv);
}

void
drv_finish (drv_t *drv)
{
  stop_role (drv, DRV_ROUTER);
  stop_role (drv, DRV_SIDECAR);
  stop_role (drv, DRV_ENGINE);
  stop_role (drv, DRV_PLATFORM);
  drv_check_promises (drv);
  if (!drv->failed)
    drv_compare (drv);
  if (drv->failed)
    g_ptr_array_foreach (drv->processes, (GFunc)(void (*) (void))print_log_tail, NULL);
  for (guint i = 0; i < drv->processes->len; i++)
    drv_kill (drv->processes->pdata[i]);
  remove_dir (drv);
  free_session (drv);
}

int
drv_main (const char *suite, const drv_test_t *tests, uint32_t count)
{
  CU_initialize_registry ();
  CU_pSuite added = CU_add_suite (suite, NULL, NULL);
  for (uint32_t i = 0; i < count; i++)
    CU_add_test (added, tests[i].name, tests[i].run);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  unsigned int failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures != 0;
}
