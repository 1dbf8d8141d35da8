/* Sessions with the daemon as a process: settings, start, signals and exit status. */
#include "driver.h"
#include "suite.h"

#include <arpa/inet.h>
#include <glib.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define KEY "a-fleet-key-of-some-length"
#define HTTP_PORT 8080
#define EXCHANGE_PORT 7000
#define DEADLINE_S 60
#define STREAM_TOKENS 200 /* of 5 ms each */

/** struct run - a daemon that was started; its output is read to the end by run_end() */
typedef struct
{
  GPid pid;
  int out_fd;
  int err_fd;
  GString *out;
  GString *err;
  int status;
} run_t;

/* A loopback number of this process alone, so that parallel runs never meet. */
static const char *
own_ip (void)
{
  static char ip[INET_ADDRSTRLEN];

  g_snprintf (ip, sizeof ip, "127.%d.%d.3", (getpid () >> 8 & 0x7f) + 1, getpid () & 0xff);
  return ip;
}

static char **
daemon_argv (const char *role, const char *const *flags)
{
  GPtrArray *argv = g_ptr_array_new ();
  const char *ip = own_ip ();

  g_ptr_array_add (argv, g_build_filename (getenv ("MEDLARPLANK_BUILD"), "medlarplankd", NULL));
  g_ptr_array_add (argv, g_strconcat ("--role=", role, NULL));
  g_ptr_array_add (argv, g_strdup ("--name=host-1"));
  g_ptr_array_add (argv, g_strdup ("--data-center=busan-hall"));
  g_ptr_array_add (argv, g_strdup ("--region=kr-south"));
  g_ptr_array_add (argv, g_strdup_printf ("--listen=%s:%d", ip, HTTP_PORT));
  g_ptr_array_add (argv, g_strdup_printf ("--exchange=%s:%d", ip, EXCHANGE_PORT));
  g_ptr_array_add (argv, g_strdup_printf ("--platform=%s:9", ip));
  if (strcmp (role, "sidecar") == 0)
    g_ptr_array_add (argv, g_strdup_printf ("--engine=%s:10", ip));
  for (; *flags != NULL; flags++)
    g_ptr_array_add (argv, g_strdup (*flags));
  g_ptr_array_add (argv, NULL);
  return (char **)g_ptr_array_free (argv, FALSE);
}

/* A daemon must not outlive a test that its deadline has ended. */
static void
die_with_parent (gpointer data)
{
  (void)data;
  prctl (PR_SET_PDEATHSIG, SIGKILL);
}

static void
run_begin (run_t *run, const char *role, const char *const *flags)
{
  char *envp[] = { "MEDLARPLANK_FLEET_KEY=" KEY, NULL };
  char **argv = daemon_argv (role, flags);
  bool started;

  memset (run, 0, sizeof *run);
  run->out = g_string_new (NULL);
  run->err = g_string_new (NULL);
  started = g_spawn_async_with_pipes (NULL, argv, envp, G_SPAWN_DO_NOT_REAP_CHILD, die_with_parent,
                                      NULL, &run->pid, NULL, &run->out_fd, &run->err_fd, NULL);
  CU_ASSERT_FATAL (started);
  g_strfreev (argv);
}

static bool
read_some (int fd, GString *text)
{
  char part[4096];
  ssize_t bytes = read (fd, part, sizeof part);

  if (bytes > 0)
    g_string_append_len (text, part, bytes);
  return bytes > 0;
}

/* Reads the log until @event was logged. Return: false when the daemon ended before. */
static bool
run_await (run_t *run, const char *event)
{
  while (strstr (run->out->str, event) == NULL)
    if (!read_some (run->out_fd, run->out))
      return false;
  return true;
}

static void
run_end (run_t *run)
{
  while (read_some (run->err_fd, run->err))
    continue;
  while (read_some (run->out_fd, run->out))
    continue;
  CU_ASSERT_EQUAL (waitpid (run->pid, &run->status, 0), run->pid);
  close (run->out_fd);
  close (run->err_fd);
}

static void
run_free (run_t *run)
{
  g_string_free (run->out, TRUE);
  g_string_free (run->err, TRUE);
}

static bool
ended_with (const run_t *run, int status)
{
  bool fits = WIFEXITED (run->status) && WEXITSTATUS (run->status) == status;

  if (!fits)
    printf ("\n  wait status %#x, standard error:\n%s", (unsigned)run->status, run->err->str);
  return fits;
}

#define FLAGS(...)                                                                                 \
  (const char *const[])                                                                            \
  {                                                                                                \
    __VA_ARGS__, NULL                                                                              \
  }
#define NO_FLAGS ((const char *const[]){ NULL })

static void
test_check_settings (void)
{
  run_t run;

  run_begin (&run, "sidecar", FLAGS ("--check-settings"));
  run_end (&run);
  CU_ASSERT (ended_with (&run, 0));
  CU_ASSERT_PTR_NOT_NULL (strstr (run.out->str, "name=host-1 # --name\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (run.out->str, "fleet-key=(not shown)"));
  CU_ASSERT_PTR_NOT_NULL (strstr (run.out->str, "claim-horizon-s=86400 # default\n"));
  CU_ASSERT_PTR_NULL (strstr (run.out->str, KEY));
  CU_ASSERT_EQUAL (run.err->len, 0);
  run_free (&run);
}

static void
test_wrong_setting (void)
{
  run_t run;

  run_begin (&run, "router", FLAGS ("--idle-timeout-ms=soon"));
  run_end (&run);
  CU_ASSERT (ended_with (&run, 2));
  CU_ASSERT_STRING_EQUAL (run.err->str,
                          "medlarplankd: idle-timeout-ms: \"soon\" (--idle-timeout-ms): must be "
                          "100 to 3600000\n");
  run_free (&run);
}

/* Takes the address away from the daemon. */
static int
occupy (int type, uint16_t port)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (port) };
  int fd = socket (AF_INET, type | SOCK_CLOEXEC, 0);

  inet_pton (AF_INET, own_ip (), &address.sin_addr);
  CU_ASSERT_EQUAL_FATAL (bind (fd, (struct sockaddr *)&address, sizeof address), 0);
  if (type == SOCK_STREAM)
    CU_ASSERT_EQUAL (listen (fd, 1), 0);
  return fd;
}

static void
refuse_occupied (const char *role, int type, const char *setting, uint16_t port)
{
  char *value = g_strdup_printf ("%s:%d", own_ip (), port);
  int fd = occupy (type, port);
  run_t run;

  run_begin (&run, role, NO_FLAGS);
  run_end (&run);
  CU_ASSERT (ended_with (&run, 1));
  CU_ASSERT_PTR_NOT_NULL (strstr (run.err->str, "medlarplankd: cannot start: "));
  CU_ASSERT_PTR_NOT_NULL (strstr (run.err->str, setting));
  CU_ASSERT_PTR_NOT_NULL (strstr (run.err->str, value));
  run_free (&run);
  close (fd);
  g_free (value);
}

static void
test_address_in_use (void)
{
  refuse_occupied ("router", SOCK_STREAM, "listen", HTTP_PORT);
  refuse_occupied ("sidecar", SOCK_STREAM, "listen", HTTP_PORT);
  refuse_occupied ("router", SOCK_DGRAM, "exchange", EXCHANGE_PORT);
}

/*
 * The platform is out and nobody else is there. An idle daemon that is asked to stop has nothing
 * to wait for: it ends with status 0, whatever it may still want to tell the platform.
 */
static void
stop_idle (const char *role, int number)
{
  run_t run;

  run_begin (&run, role, NO_FLAGS);
  CU_ASSERT (run_await (&run, ": started "));
  CU_ASSERT_EQUAL (kill (run.pid, number), 0);
  run_end (&run);
  CU_ASSERT (ended_with (&run, 0));
  CU_ASSERT_PTR_NOT_NULL (strstr (run.out->str, ": stopped graceful=yes\n"));
  run_free (&run);
}

static void
test_stop_router (void)
{
  stop_idle ("router", SIGTERM);
}

static void
test_stop_sidecar (void)
{
  stop_idle ("sidecar", SIGINT);
}

/*
 * A supervisor sends signals in quick succession while the daemon stops. With the default actions
 * the second one would kill it in the middle of its answers; here it still ends with status 0.
 */
static void
test_stop_twice (void)
{
  static const int numbers[] = { SIGHUP, SIGPIPE, SIGTERM, SIGHUP, SIGTERM, SIGINT };
  run_t run;

  run_begin (&run, "sidecar", NO_FLAGS);
  CU_ASSERT (run_await (&run, ": started "));
  for (uint32_t i = 0; i < G_N_ELEMENTS (numbers); i++)
    CU_ASSERT_EQUAL (kill (run.pid, numbers[i]), 0);
  run_end (&run);
  CU_ASSERT (ended_with (&run, 0));
  CU_ASSERT_PTR_NOT_NULL (strstr (run.out->str, ": stopped graceful=yes\n"));
  run_free (&run);
}

static bool
has_second_signal (void *context)
{
  return drv_logged (context, "stop_signal", "first=no") > 0;
}

static void
signal_twice (drv_process_t *process)
{
  drv_signal (process, SIGTERM);
  drv_signal (process, SIGHUP);
  drv_signal (process, SIGINT);
  drv_until (process->drv, DRV_WAIT_MS, "a second signal", has_second_signal, process);
}

static drv_process_t *
sidecar_of (const drv_call_t *call)
{
  const char *engine = drv_header (call, "x-medlarplank-engine");

  for (uint32_t i = 0; i < call->drv->host_count; i++)
    if (g_strcmp0 (engine, call->drv->hosts[i].engine->name) == 0)
      return call->drv->hosts[i].sidecar;
  return NULL;
}

/*
 * A caller reads a stream when the router and the sidecar that it passes through are told to stop,
 * and told again. The second signals come while the stream still runs. Both daemons wait for its
 * end: the caller gets it whole, and both end with status 0.
 */
static void
test_signals_in_flight (void)
{
  drv_t *drv = drv_new ("daemon-signals");
  drv_fleet_t fleet = { .model_hosts = 2, .plain_hosts = 1, .routers = 1 };
  drv_ask_t ask = { .name = "stream", .chat = "c", .stream = true, .tokens = STREAM_TOKENS };
  drv_process_t *sidecar;
  drv_call_t *call;

  drv_start (drv, &fleet);
  call = drv_ask (drv, &ask);
  drv_begun (call);
  sidecar = sidecar_of (call);
  CU_ASSERT_PTR_NOT_NULL_FATAL (sidecar);
  signal_twice (sidecar);
  signal_twice (drv->routers[0]);
  CU_ASSERT_EQUAL (call->outcome, DRV_WAITING);
  drv_answered (call);
  drv_tell (call);
  drv_say (drv, "sidecar: status %d", drv_ended (sidecar));
  drv_say (drv, "router: status %d", drv_ended (drv->routers[0]));
  drv_finish (drv);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "settings are shown without the key", test_check_settings },
    { "a wrong setting", test_wrong_setting },
    { "an address in use", test_address_in_use },
    { "an idle router stops", test_stop_router },
    { "an idle sidecar stops", test_stop_sidecar },
    { "more signals change nothing", test_stop_twice },
    { "more signals cut off nothing in flight", test_signals_in_flight },
    CU_TEST_INFO_NULL,
  };

  alarm (DEADLINE_S);
  return suite_run ("daemon", tests);
}
