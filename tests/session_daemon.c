/**
 * DOC: session_daemon
 *
 * The daemon as a process: settings, start, signals and exit status.
 */
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
#define DEADLINE_S 60     /* of the whole test program, by alarm() */
#define STREAM_TOKENS 200 /* at 5 ms per token a stream lasts a second */

/** struct daemon_process - A daemon process and its output, which daemon_wait_exit() reads to the
 * end. */
typedef struct
{
  GPid pid;
  int out_fd;
  int err_fd;
  GString *out;
  GString *err;
  int status;
} daemon_process_t;

/* Return: A loopback address derived from the process id, so that parallel runs do not conflict. */
static const char *
loopback_ip (void)
{
  static char ip[INET_ADDRSTRLEN];

  g_snprintf (ip, sizeof ip, "127.%d.%d.3", (getpid () >> 8 & 0x7f) + 1, getpid () & 0xff);
  return ip;
}

static char **
daemon_argv (const char *role, const char *const *flags)
{
  GPtrArray *argv = g_ptr_array_new ();
  const char *ip = loopback_ip ();

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

/* Runs in the child: a daemon must not outlive a test program that was ended by its alarm. */
static void
die_with_parent (gpointer data)
{
  (void)data;
  prctl (PR_SET_PDEATHSIG, SIGKILL);
}

static void
daemon_start (daemon_process_t *daemon, const char *role, const char *const *flags)
{
  char *envp[] = { "MEDLARPLANK_FLEET_KEY=" KEY, NULL };
  char **argv = daemon_argv (role, flags);
  bool started;

  memset (daemon, 0, sizeof *daemon);
  daemon->out = g_string_new (NULL);
  daemon->err = g_string_new (NULL);
  started =
      g_spawn_async_with_pipes (NULL, argv, envp, G_SPAWN_DO_NOT_REAP_CHILD, die_with_parent, NULL,
                                &daemon->pid, NULL, &daemon->out_fd, &daemon->err_fd, NULL);
  CU_ASSERT_FATAL (started);
  g_strfreev (argv);
}

static bool
read_output (int fd, GString *text)
{
  char part[4096];
  ssize_t bytes = read (fd, part, sizeof part);

  if (bytes > 0)
    g_string_append_len (text, part, bytes);
  return bytes > 0;
}

/* Reads the log until it contains @event. Return: False if the daemon ended before. */
static bool
daemon_wait_for_event (daemon_process_t *daemon, const char *event)
{
  while (strstr (daemon->out->str, event) == NULL)
    if (!read_output (daemon->out_fd, daemon->out))
      return false;
  return true;
}

static void
daemon_wait_exit (daemon_process_t *daemon)
{
  while (read_output (daemon->err_fd, daemon->err))
    continue;
  while (read_output (daemon->out_fd, daemon->out))
    continue;
  CU_ASSERT_EQUAL (waitpid (daemon->pid, &daemon->status, 0), daemon->pid);
  close (daemon->out_fd);
  close (daemon->err_fd);
}

static void
daemon_free (daemon_process_t *daemon)
{
  g_string_free (daemon->out, TRUE);
  g_string_free (daemon->err, TRUE);
}

static bool
has_exit_status (const daemon_process_t *daemon, int status)
{
  bool is_equal = WIFEXITED (daemon->status) && WEXITSTATUS (daemon->status) == status;

  if (!is_equal)
    printf ("\n  wait status %#x, standard error:\n%s", (unsigned)daemon->status, daemon->err->str);
  return is_equal;
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
  daemon_process_t daemon;

  daemon_start (&daemon, "sidecar", FLAGS ("--check-settings"));
  daemon_wait_exit (&daemon);
  CU_ASSERT (has_exit_status (&daemon, 0));
  CU_ASSERT_PTR_NOT_NULL (strstr (daemon.out->str, "name=host-1 # --name\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (daemon.out->str, "fleet-key=(not shown)"));
  CU_ASSERT_PTR_NOT_NULL (strstr (daemon.out->str, "claim-horizon-s=86400 # default\n"));
  CU_ASSERT_PTR_NULL (strstr (daemon.out->str, KEY));
  CU_ASSERT_EQUAL (daemon.err->len, 0);
  daemon_free (&daemon);
}

static void
test_wrong_setting (void)
{
  daemon_process_t daemon;

  daemon_start (&daemon, "router", FLAGS ("--idle-timeout-ms=soon"));
  daemon_wait_exit (&daemon);
  CU_ASSERT (has_exit_status (&daemon, 2));
  CU_ASSERT_STRING_EQUAL (daemon.err->str,
                          "medlarplankd: idle-timeout-ms: \"soon\" (--idle-timeout-ms): must be "
                          "100 to 3600000\n");
  daemon_free (&daemon);
}

/* Binds the address that the daemon needs. Return: The socket. */
static int
bind_port (int type, uint16_t port)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (port) };
  int fd = socket (AF_INET, type | SOCK_CLOEXEC, 0);

  inet_pton (AF_INET, loopback_ip (), &address.sin_addr);
  CU_ASSERT_EQUAL_FATAL (bind (fd, (struct sockaddr *)&address, sizeof address), 0);
  if (type == SOCK_STREAM)
    CU_ASSERT_EQUAL (listen (fd, 1), 0);
  return fd;
}

static void
test_occupied_address (const char *role, int type, const char *setting, uint16_t port)
{
  char *value = g_strdup_printf ("%s:%d", loopback_ip (), port);
  int fd = bind_port (type, port);
  daemon_process_t daemon;

  daemon_start (&daemon, role, NO_FLAGS);
  daemon_wait_exit (&daemon);
  CU_ASSERT (has_exit_status (&daemon, 1));
  CU_ASSERT_PTR_NOT_NULL (strstr (daemon.err->str, "medlarplankd: cannot start: "));
  CU_ASSERT_PTR_NOT_NULL (strstr (daemon.err->str, setting));
  CU_ASSERT_PTR_NOT_NULL (strstr (daemon.err->str, value));
  daemon_free (&daemon);
  close (fd);
  g_free (value);
}

static void
test_address_in_use (void)
{
  test_occupied_address ("router", SOCK_STREAM, "listen", HTTP_PORT);
  test_occupied_address ("sidecar", SOCK_STREAM, "listen", HTTP_PORT);
  test_occupied_address ("router", SOCK_DGRAM, "exchange", EXCHANGE_PORT);
}

/* The platform is unreachable and there are no peers. An idle daemon that is told to stop must exit
 * with status 0 without waiting to deliver pending messages to the platform. */
static void
test_idle_stop (const char *role, int signal_number)
{
  daemon_process_t daemon;

  daemon_start (&daemon, role, NO_FLAGS);
  CU_ASSERT (daemon_wait_for_event (&daemon, ": started "));
  CU_ASSERT_EQUAL (kill (daemon.pid, signal_number), 0);
  daemon_wait_exit (&daemon);
  CU_ASSERT (has_exit_status (&daemon, 0));
  CU_ASSERT_PTR_NOT_NULL (strstr (daemon.out->str, ": stopped graceful=yes\n"));
  daemon_free (&daemon);
}

static void
test_stop_router (void)
{
  test_idle_stop ("router", SIGTERM);
}

static void
test_stop_sidecar (void)
{
  test_idle_stop ("sidecar", SIGINT);
}

/* A supervisor sends signals in quick succession while the daemon stops. If their default actions
 * were restored after the first, the second would kill the daemon during its responses. It must
 * exit with status 0. */
static void
test_repeated_signals (void)
{
  static const int signals[] = { SIGHUP, SIGPIPE, SIGTERM, SIGHUP, SIGTERM, SIGINT };
  daemon_process_t daemon;

  daemon_start (&daemon, "sidecar", NO_FLAGS);
  CU_ASSERT (daemon_wait_for_event (&daemon, ": started "));
  for (uint32_t i = 0; i < G_N_ELEMENTS (signals); i++)
    CU_ASSERT_EQUAL (kill (daemon.pid, signals[i]), 0);
  daemon_wait_exit (&daemon);
  CU_ASSERT (has_exit_status (&daemon, 0));
  CU_ASSERT_PTR_NOT_NULL (strstr (daemon.out->str, ": stopped graceful=yes\n"));
  daemon_free (&daemon);
}

static bool
has_second_signal (void *context)
{
  return driver_process_count_log_lines (context, "stop_signal", "first=no") > 0;
}

static void
signal_twice (driver_process_t *process)
{
  driver_process_signal (process, SIGTERM);
  driver_process_signal (process, SIGHUP);
  driver_process_signal (process, SIGINT);
  driver_wait_until (process->driver, DRIVER_WAIT_LIMIT_MS, "a second signal", has_second_signal,
                     process);
}

static driver_process_t *
sidecar_of (const driver_call_t *call)
{
  const char *engine = driver_call_header (call, "x-medlarplank-engine");

  for (uint32_t i = 0; i < call->driver->host_count; i++)
    if (g_strcmp0 (engine, call->driver->hosts[i].engine->name) == 0)
      return call->driver->hosts[i].sidecar;
  return NULL;
}

/* The router and the sidecar that a stream passes through get signals to stop, repeatedly, while
 * the stream runs. Both must wait for its end and exit with status 0; the caller gets the complete
 * stream. */
static void
test_signals_in_flight (void)
{
  driver_t *driver = driver_new ("daemon-signals");
  driver_fleet_t fleet = { .model_hosts = 2, .plain_hosts = 1, .routers = 1 };
  driver_request_t request = {
    .name = "stream", .chat = "c", .stream = true, .tokens = STREAM_TOKENS
  };
  driver_process_t *sidecar;
  driver_call_t *call;

  driver_start (driver, &fleet);
  call = driver_send_request (driver, &request);
  driver_call_wait_body (call);
  sidecar = sidecar_of (call);
  CU_ASSERT_PTR_NOT_NULL_FATAL (sidecar);
  signal_twice (sidecar);
  signal_twice (driver->routers[0]);
  CU_ASSERT_EQUAL (call->outcome, DRIVER_OUTCOME_PENDING);
  driver_call_wait (call);
  driver_transcript_add_call (call);
  driver_transcript_add (driver, "sidecar: status %d", driver_process_wait_exit (sidecar));
  driver_transcript_add (driver, "router: status %d",
                         driver_process_wait_exit (driver->routers[0]));
  driver_finish (driver);
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
    { "more signals change nothing", test_repeated_signals },
    { "more signals cut off nothing in flight", test_signals_in_flight },
    CU_TEST_INFO_NULL,
  };

  alarm (DEADLINE_S);
  return suite_run ("daemon", tests);
}
