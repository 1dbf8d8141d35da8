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

driver_t *
driver_new (const char *name)
{
  driver_t *driver = g_new0 (driver_t, 1);
  uint32_t pid = (uint32_t)getpid ();
  signal (SIGPIPE, SIG_IGN);
  driver->name = g_strdup (name);
  driver->dir = g_dir_make_tmp ("medlarplank-XXXXXX", NULL);
  driver->network = g_strdup_printf ("127.%u.%u", (pid >> 8 & 0x7f) + 1, pid & 0xff);
  driver->base = event_base_new ();
  driver->processes = g_ptr_array_new ();
  driver->calls = g_ptr_array_new ();
  driver->proxies = g_ptr_array_new ();
  driver->transcript = g_ptr_array_new ();
  driver->run_counts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_assert (driver->dir != NULL);
  return driver;
}

void
driver_fail (driver_t *driver, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  g_autofree char *message = g_strdup_vprintf (format, args);
  va_end (args);
  printf ("\n%s: %s\n", driver->name, message);
  if (!driver->failed)
    driver->first_failure = g_strdup (message);
  driver->failed = true;
  CU_FAIL ("the session failed; see above");
}

static void
run_loop_once (driver_t *driver)
{
  struct timeval tick = { 0, POLL_INTERVAL_US };
  event_base_loopexit (driver->base, &tick);
  event_base_dispatch (driver->base);
}

bool
driver_wait_until (
    driver_t *driver, uint32_t limit_ms, const char *what, driver_condition_t met, void *context)
{
  gint64 limit_us = g_get_monotonic_time () + (gint64)limit_ms * 1000;
  while (!driver->failed)
    {
      if (met (context))
        return true;
      if (g_get_monotonic_time () > limit_us)
        driver_fail (driver, "timed out waiting for %s", what);
      else
        run_loop_once (driver);
    }
  return false;
}

void
driver_run_loop (driver_t *driver, uint32_t wait_ms)
{
  gint64 end_us = g_get_monotonic_time () + (gint64)wait_ms * 1000;
  while (!driver->failed && g_get_monotonic_time () < end_us)
    run_loop_once (driver);
}

static void
start_platform (driver_t *driver)
{
  driver->platform =
      driver_process_new (driver, DRIVER_PLATFORM, "platform", driver->fleet.platform_flags);
  driver_process_start (driver->platform);
}

static void
start_engine (driver_t *driver, driver_host_t *host, const char *name)
{
  host->engine = driver_process_new (driver, DRIVER_ENGINE, name, driver->fleet.engine_flags);
  host->engine->record_path = g_strdup_printf ("%s/%s.record", driver->dir, name);
  driver_process_add_flag (host->engine, "--name=%s", name);
  driver_process_add_flag (host->engine, "--kind=%s", host->is_plain ? "plain" : "model");
  driver_process_add_flag (host->engine, "--record=%s", host->engine->record_path);
  driver_process_start (host->engine);
}

static driver_process_t *
daemon_new (driver_t *driver, driver_role_t role, const char *name, const char *platform_ip)
{
  driver_process_t *process = driver_process_new (driver, role, name, driver->fleet.daemon_flags);
  driver_process_add_flag (process, "--role=%s", role == DRIVER_ROUTER ? "router" : "sidecar");
  driver_process_add_flag (process, "--name=%s", name);
  driver_process_add_flag (process, "--data-center=hall-bayangol");
  driver_process_add_flag (process, "--region=ulaanbaatar");
  driver_process_add_flag (process, "--exchange=%s:%d", process->ip, DRIVER_PORT);
  driver_process_add_flag (process, "--platform=%s:%d", platform_ip, DRIVER_PORT);
  driver_process_add_flag (process, "--exchange-interval-ms=100");
  driver_process_add_flag (process, "--list-interval-ms=100");
  driver_process_add_flag (process, "--control-budget-bytes=7000");
  return process;
}

static void
start_host (driver_t *driver, const char *name, bool plain)
{
  driver_host_t *host = &driver->hosts[driver->host_count++];
  host->is_plain = plain;
  host->state = "live";
  start_engine (driver, host, name);
  const char *engine_ip = host->engine->ip;
  const char *platform_ip = driver->platform->ip;
  if (driver->fleet.use_proxies)
    {
      host->upstream = driver_proxy_new (driver, engine_ip);
      host->log = driver_proxy_new (driver, platform_ip);
      engine_ip = driver_proxy_ip (host->upstream);
      platform_ip = driver_proxy_ip (host->log);
    }
  host->sidecar = daemon_new (driver, DRIVER_SIDECAR, name, platform_ip);
  driver_process_add_flag (host->sidecar, "--engine=%s:%d", engine_ip, DRIVER_PORT);
  if (driver->fleet.use_proxies)
    host->hop = driver_proxy_new (driver, host->sidecar->ip);
  driver_process_start (host->sidecar);
}

static void
start_hosts (driver_t *driver)
{
  for (uint32_t i = 0; i < driver->fleet.model_hosts + driver->fleet.plain_hosts; i++)
    {
      bool plain = i >= driver->fleet.model_hosts;
      uint32_t number = plain ? i - driver->fleet.model_hosts : i;
      g_autofree char *name = g_strdup_printf ("%s%u", plain ? "p" : "m", number + 1);
      start_host (driver, name, plain);
    }
}

static void
start_routers (driver_t *driver)
{
  for (uint32_t i = 0; i < driver->fleet.routers; i++)
    {
      g_autofree char *name = g_strdup_printf ("r%u", i + 1);
      driver_process_t *router = daemon_new (driver, DRIVER_ROUTER, name, driver->platform->ip);
      driver->routers[driver->router_count++] = router;
      driver_process_start (router);
    }
}

static bool
is_healthy (void *context)
{
  driver_process_t *process = context;
  driver_call_t *call =
      driver_send_http (process->driver, process->ip, "GET", "/health", NULL, NULL);
  while (call->outcome == DRIVER_OUTCOME_PENDING)
    run_loop_once (process->driver);
  return call->status == 200;
}

void
driver_start_platform (driver_t *driver)
{
  g_setenv ("MEDLARPLANK_FLEET_KEY", DRIVER_FLEET_KEY, TRUE);
  start_platform (driver);
  driver_wait_until (driver, DRIVER_WAIT_LIMIT_MS, "the platform", is_healthy, driver->platform);
}

void
driver_start (driver_t *driver, const driver_fleet_t *fleet)
{
  driver->fleet = *fleet;
  driver_start_platform (driver);
  start_hosts (driver);
  start_routers (driver);
  driver_update_host_list (driver);
  driver_publish_manifest (driver, "first", 0, NULL);
  for (uint32_t i = 0; i < driver->host_count; i++)
    driver_process_wait_ready (driver->hosts[i].sidecar);
  for (uint32_t i = 0; i < driver->router_count; i++)
    driver_process_wait_ready (driver->routers[i]);
  driver_wait_version (driver, 1);
}

static void
print_log_tail (const driver_process_t *process)
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
stop_role (driver_t *driver, driver_role_t role)
{
  for (guint i = 0; i < driver->processes->len; i++)
    {
      driver_process_t *process = driver->processes->pdata[i];
      if (process->role != role || process->pid == 0)
        continue;
      driver_process_signal (process, SIGCONT);
      driver_process_signal (process, SIGTERM);
    }
  for (guint i = 0; i < driver->processes->len; i++)
    {
      driver_process_t *process = driver->processes->pdata[i];
      if (process->role != role || process->pid == 0)
        continue;
      int status = driver_process_wait_exit (process);
      if (status != 0 && !driver->failed)
        driver_fail (driver, "%s ended with status %d", process->name, status);
    }
}

static void
remove_dir (driver_t *driver)
{
  const char *file;
  if (driver->failed && g_getenv ("MEDLARPLANK_KEEP") != NULL)
    {
      printf ("session directory kept: %s\n", driver->dir);
      return;
    }
  GDir *dir = g_dir_open (driver->dir, 0, NULL);
  while ((file = g_dir_read_name (dir)) != NULL)
    {
      g_autofree char *path = g_build_filename (driver->dir, file, NULL);
      g_unlink (path);
    }
  g_dir_close (dir);
  g_rmdir (driver->dir);
}

static void
line_free (driver_transcript_line_t *line)
{
  g_free (line->text);
  g_free (line);
}

static void
free_session (driver_t *driver)
{
  g_ptr_array_foreach (driver->calls, (GFunc)(void (*) (void))driver_call_free, NULL);
  g_ptr_array_foreach (driver->proxies, (GFunc)(void (*) (void))driver_proxy_free, NULL);
  g_ptr_array_foreach (driver->processes, (GFunc)(void (*) (void))driver_process_free, NULL);
  g_ptr_array_foreach (driver->transcript, (GFunc)(void (*) (void))line_free, NULL);
  g_ptr_array_free (driver->calls, TRUE);
  g_ptr_array_free (driver->proxies, TRUE);
  g_ptr_array_free (driver->processes, TRUE);
  g_ptr_array_free (driver->transcript, TRUE);
  g_hash_table_destroy (driver->run_counts);
  event_base_free (driver->base);
  g_free (driver->first_failure);
  g_free (driver->name);
  g_free (driver->dir);
  g_free (driver->network);
  g_free (driver);
}

void
driver_finish (driver_t *driver)
{
  stop_role (driver, DRIVER_ROUTER);
  stop_role (driver, DRIVER_SIDECAR);
  stop_role (driver, DRIVER_ENGINE);
  stop_role (driver, DRIVER_PLATFORM);
  driver_check_invariants (driver);
  if (!driver->failed)
    driver_transcript_compare (driver);
  if (driver->failed)
    {
      g_ptr_array_foreach (driver->processes, (GFunc)(void (*) (void))print_log_tail, NULL);
      printf ("%s: %s\n", driver->name, driver->first_failure);
    }
  for (guint i = 0; i < driver->processes->len; i++)
    driver_process_kill (driver->processes->pdata[i]);
  remove_dir (driver);
  free_session (driver);
}

int
driver_main (const char *suite, const driver_test_t *tests, uint32_t count)
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
