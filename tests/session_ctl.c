#include "connection/admin_seal.h"
#include "suite.h"

#include <arpa/inet.h>
#include <glib.h>
#include <jansson.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define PLATFORM_PORT 18190
#define CLOSED_PORT 18191
#define DAEMON_PORT 18192
#define EXCHANGE_PORT 18193
#define SHORT_LOG_PORT 18194
#define WAIT_US (10 * G_USEC_PER_SEC)
#define FLEET_KEY "a key of the whole fleet"
#define ANSWER_BYTES (64 * 1024)

/* struct tool_result - exit status and output of one run of the tool */
typedef struct
{
  int status;
  char *out;
  char *err;
} tool_result_t;

static char address[64];
static char closed_address[64];
static GPid platform_pid;

static char *
program_path (const char *name)
{
  const char *dir = g_getenv ("MEDLARPLANK_BUILD");

  return g_build_filename (dir != NULL ? dir : "build", name, NULL);
}

static char *
example_path (void)
{
  const char *top = g_getenv ("MEDLARPLANK_SOURCE");

  return g_build_filename (top != NULL ? top : ".", "examples", "jogak.json", NULL);
}

static void
loopback_ip_of_process (char out[32])
{
  int pid = getpid ();

  g_snprintf (out, 32, "127.%d.%d.1", ((pid >> 8) & 0x7f) + 1, pid & 0xff);
}

static GPid
spawn (char **argv)
{
  GPid pid = 0;

  if (!g_spawn_async (NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD, NULL, NULL, &pid, NULL))
    return 0;
  return pid;
}

static GPid
spawn_platform (const char *listen, const char *retain_records)
{
  g_autofree char *program = program_path ("standin-platform");
  char *argv[] = { program, "--listen", (char *)listen, "--retain-records", (char *)retain_records,
                   NULL };

  return spawn (argv);
}

static int
start_platform (void)
{
  char ip[32];

  loopback_ip_of_process (ip);
  g_snprintf (address, sizeof address, "%s:%d", ip, PLATFORM_PORT);
  g_snprintf (closed_address, sizeof closed_address, "%s:%d", ip, CLOSED_PORT);
  g_setenv ("MEDLARPLANK_PLATFORM", address, TRUE);
  g_unsetenv ("MEDLARPLANK_FLEET_KEY");
  platform_pid = spawn_platform (address, "1000");
  return platform_pid == 0;
}

static int
stop_platform (void)
{
  kill (platform_pid, SIGTERM);
  return waitpid (platform_pid, NULL, 0) != platform_pid;
}

/* Runs the tool. @arguments: words separated by single spaces */
static tool_result_t
run (const char *arguments)
{
  g_autofree char *program = program_path ("medlarplankctl");
  g_autofree char *line = g_strdup_printf ("%s %s", program, arguments);
  g_auto (GStrv) argv = g_strsplit (line, " ", -1);
  tool_result_t result = { .status = -1 };
  int wait_status = 0;

  CU_ASSERT_TRUE_FATAL (g_spawn_sync (NULL, argv, NULL, G_SPAWN_DEFAULT, NULL, NULL, &result.out,
                                      &result.err, &wait_status, NULL));
  if (WIFEXITED (wait_status))
    result.status = WEXITSTATUS (wait_status);
  return result;
}

static void
expect_run (const char *arguments, int status, const char *out, const char *err)
{
  tool_result_t result = run (arguments);
  bool good = result.status == status && strstr (result.out, out) != NULL &&
              strstr (result.err, err) != NULL;

  CU_ASSERT_TRUE (good);
  if (!good)
    printf ("\n  %s\n  status %d (want %d)\n  out: %s\n  err: %s\n", arguments, result.status,
            status, result.out, result.err);
  g_free (result.out);
  g_free (result.err);
}

/* Sends one HTTP request to the stand-in platform. Return: the body of its response */
static char *
call_platform (const char *method, const char *path, const char *body)
{
  g_autofree char *text = g_strdup_printf ("%s %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                                           "Content-Length: %zu\r\n\r\n%s",
                                           method, path, strlen (body), body);
  struct sockaddr_in peer = { .sin_family = AF_INET, .sin_port = htons (PLATFORM_PORT) };
  GString *answer = g_string_new (NULL);
  char ip[32];
  char chunk[4096];
  ssize_t length;
  const char *head_end;
  char *answer_body;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  loopback_ip_of_process (ip);
  inet_pton (AF_INET, ip, &peer.sin_addr);
  CU_ASSERT_EQUAL_FATAL (connect (fd, (struct sockaddr *)&peer, sizeof peer), 0);
  CU_ASSERT_EQUAL_FATAL (write (fd, text, strlen (text)), (ssize_t)strlen (text));
  while ((length = read (fd, chunk, sizeof chunk)) > 0 && answer->len < ANSWER_BYTES)
    g_string_append_len (answer, chunk, length);
  close (fd);
  head_end = strstr (answer->str, "\r\n\r\n");
  answer_body = g_strdup (head_end != NULL ? head_end + 4 : "");
  g_string_free (answer, TRUE);
  return answer_body;
}

static void
call_platform_admin (const char *path, const char *body)
{
  g_free (call_platform ("POST", path, body));
}

static char *
write_file (const char *name, const char *text)
{
  g_autofree char *base = g_strdup_printf ("medlarplank-%d-%s", getpid (), name);
  char *path = g_build_filename (g_get_tmp_dir (), base, NULL);

  CU_ASSERT_TRUE_FATAL (g_file_set_contents (path, text, -1, NULL));
  return path;
}

static uint64_t
count_records (void)
{
  g_autofree char *body =
      call_platform ("GET", "/log/read?stream=manifest&from=0&max=1&wait_ms=0", "");
  json_t *json = json_loads (body, 0, NULL);
  uint64_t end = (uint64_t)json_integer_value (json_object_get (json, "end"));

  json_decref (json);
  return end;
}

static void
test_usage (void)
{
  expect_run ("--help", 0, "manifest publish FILE", "");
  expect_run ("--version", 0, "medlarplankctl 0", "");
  expect_run ("manifest", 2, "", "that is not a command");
  expect_run ("manifest show more", 2, "", "\"more\" is not expected");
  expect_run ("manifest check", 2, "", "FILE is missing");
  expect_run ("manifest show --patch", 2, "", "--patch is not for this command");
  expect_run ("manifest show --platform here", 2, "", "--platform: \"here\" is not IP:PORT");
  expect_run ("manifest publish x --base -1", 2, "", "--base: \"-1\" is not a whole number");
  expect_run ("status --bogus", 2, "", "--bogus: is not an option");
  expect_run ("drain host", 2, "", "MEDLARPLANK_FLEET_KEY");
}

static void
test_check (void)
{
  g_autofree char *file = example_path ();
  g_autofree char *good = g_strconcat ("manifest check ", file, NULL);
  g_autofree char *bad_file = write_file ("bad", "{\"routes\":[]}");
  g_autofree char *bad = g_strconcat ("manifest check ", bad_file, NULL);

  expect_run (good, 0, "10 client accounts, 2 services", "");
  expect_run (bad, 2, "", "client_accounts: is missing");
  expect_run ("manifest check /none", 2, "", "/none");
  unlink (bad_file);
}

/*
 * The first publish of a fleet names engines that the platform does not list yet: it is refused
 * without --allow-missing-engines and accepted with it.
 */
static void
test_first_publish (void)
{
  g_autofree char *file = example_path ();
  g_autofree char *plain = g_strconcat ("manifest publish ", file, NULL);
  g_autofree char *allowed =
      g_strconcat ("manifest publish --by ann --allow-missing-engines ", file, NULL);

  expect_run ("manifest show", 1, "", "no manifest was published yet");
  expect_run (plain, 2, "", "services.medlar-desk.engines[0]: the platform lists no engine host");
  CU_ASSERT_EQUAL (count_records (), 0);
  expect_run (allowed, 0, "version 1 is in force", "the platform lists no engine host");
  expect_run ("manifest show --version", 0, "version 1 digest", "");
  expect_run ("manifest show --version", 0, "by ann", "");
  expect_run ("manifest show", 0, "\"bale-ledger\"", "");
}

/*
 * Two operators prepare a change based on version 1. The one who publishes second gets the version
 * in force and its publisher in the error message, and no record is appended.
 */
static void
test_lost_race (void)
{
  g_autofree char *file =
      write_file ("patch", "{\"classes\":{\"booking\":{\"deadline_ms\":4000}}}");
  g_autofree char *first =
      g_strconcat ("manifest publish --patch --base 1 --by bob --hosts-check=no ", file, NULL);
  g_autofree char *ahead =
      g_strconcat ("manifest publish --patch --base 9 --hosts-check=no ", file, NULL);

  expect_run (first, 0, "version 2 is in force", "");
  expect_run (first, 3, "", "version 2 by bob is in force; rebase");
  expect_run (ahead, 2, "", "--base: 9 is not in force yet, 2 is");
  CU_ASSERT_EQUAL (count_records (), 2);
  unlink (file);
}

/* A change that daemons would reject is refused by the tool, and no record is appended. */
static void
test_forbidden_transition (void)
{
  g_autofree char *file =
      write_file ("shards", "{\"services\":{\"bale-ledger\":{\"claim_shards\":9}}}");
  g_autofree char *publish = g_strconcat ("manifest publish --patch --hosts-check=no ", file, NULL);

  expect_run (publish, 2, "", "services.bale-ledger.claim_shards: is 4 and cannot become 9");
  CU_ASSERT_EQUAL (count_records (), 2);
  unlink (file);
}

/*
 * The append takes effect but its response is lost. The tool still reports the true outcome, and
 * the log holds the record once.
 */
static void
test_lost_append_response (void)
{
  g_autofree char *file =
      write_file ("again", "{\"classes\":{\"booking\":{\"deadline_ms\":5000}}}");
  g_autofree char *publish = g_strconcat ("manifest publish --patch --hosts-check=no ", file, NULL);

  call_platform_admin ("/admin/fault", "{\"log\":\"lose_answers\"}");
  expect_run (publish, 0, "version 3 is in force", "");
  call_platform_admin ("/admin/fault", "{\"log\":\"up\"}");
  CU_ASSERT_EQUAL (count_records (), 3);
  unlink (file);
}

/*
 * The append is lost before the platform applies it. The tool can't tell this from a delayed
 * append: it exits with status 4 and does not append again.
 */
static void
test_lost_append_request (void)
{
  g_autofree char *file = write_file ("lost", "{\"classes\":{\"booking\":{\"deadline_ms\":6000}}}");
  g_autofree char *publish =
      g_strconcat ("manifest publish --patch --hosts-check=no --timeout-ms 1500 ", file, NULL);

  call_platform_admin ("/admin/fault", "{\"log\":\"lose_appends\"}");
  expect_run (publish, 4, "", "it is not known whether publish");
  call_platform_admin ("/admin/fault", "{\"log\":\"up\"}");
  expect_run ("manifest show --version", 0, "version 3 ", "");
  CU_ASSERT_EQUAL (count_records (), 3);
  unlink (file);
}

static void
test_unreachable_platform (void)
{
  g_autofree char *show =
      g_strdup_printf ("manifest show --timeout-ms 300 --platform %s", closed_address);
  g_autofree char *status = g_strdup_printf ("status --platform %s", closed_address);
  g_autofree char *one = g_strdup_printf ("status --daemon %s", closed_address);

  expect_run (show, 4, "", "the platform does not answer");
  expect_run (status, 4, "", "the platform's list of hosts can't be had");
  expect_run (one, 0, "no answer", "");
}

static void
test_status_of_listed_hosts (void)
{
  g_autofree char *hosts = g_strdup_printf (
      "[{\"name\":\"h1\",\"role\":\"router\",\"data_center\":\"d\",\"region\":\"r\","
      "\"http\":\"%s\",\"exchange\":\"%s\",\"state\":\"live\"}]",
      closed_address, closed_address);

  call_platform_admin ("/admin/hosts", hosts);
  expect_run ("status", 0, "h1 ", "");
  expect_run ("status --json", 0, "\"no answer\"", "");
  g_setenv ("MEDLARPLANK_FLEET_KEY", FLEET_KEY, TRUE);
  expect_run ("drain h1", 1, "", "h1 does not answer");
  expect_run ("drain h2", 2, "", "the platform lists no host \"h2\"");
  g_unsetenv ("MEDLARPLANK_FLEET_KEY");
}

static void
test_watch (void)
{
  expect_run ("manifest watch --timeout-ms 300", 0, "version 3 digest", "");
}

static GPid
start_sidecar (const char *listen, const char *exchange)
{
  g_autofree char *program = program_path ("medlarplankd");
  char *argv[] = {
    program,          "--role",   "sidecar",      "--name",      "busan-m1",     "--data-center",
    "busan-hall",     "--region", "kr-south",     "--listen",    (char *)listen, "--exchange",
    (char *)exchange, "--engine", closed_address, "--log-level", "warning",      NULL
  };
  GPid pid = spawn (argv);

  CU_ASSERT_NOT_EQUAL_FATAL (pid, 0);
  return pid;
}

/* Runs the tool repeatedly until its output contains @out. */
static void
wait_for_output (const char *arguments, const char *out)
{
  gint64 deadline_us = g_get_monotonic_time () + WAIT_US;
  bool found = false;

  while (!found && g_get_monotonic_time () < deadline_us)
    {
      tool_result_t result = run (arguments);

      found = strstr (result.out, out) != NULL;
      g_free (result.out);
      g_free (result.err);
    }
  CU_ASSERT_TRUE (found);
}

/*
 * The log has dropped the first publish and holds no checkpoint. The manifest that the remaining
 * patch was applied to is unknown, so the tool neither shows nor publishes and reports the reason.
 */
static void
test_truncated_log (void)
{
  g_autofree char *file = example_path ();
  g_autofree char *patch =
      write_file ("short", "{\"classes\":{\"booking\":{\"deadline_ms\":7000}}}");
  char ip[32];
  GPid pid;

  loopback_ip_of_process (ip);
  g_autofree char *listen = g_strdup_printf ("%s:%d", ip, SHORT_LOG_PORT);
  g_autofree char *show = g_strconcat ("manifest show --platform ", listen, NULL);
  g_autofree char *first =
      g_strdup_printf ("manifest publish --hosts-check=no --platform %s %s", listen, file);
  g_autofree char *next =
      g_strdup_printf ("manifest publish --patch --hosts-check=no --platform %s %s", listen, patch);

  pid = spawn_platform (listen, "1");
  expect_run (first, 0, "version 1 is in force", "");
  expect_run (next, 0, "version 2 is in force", "");
  expect_run (show, 1, "", "cannot be told from what the log still holds");
  expect_run (next, 1, "", "cannot be told from what the log still holds");
  kill (pid, SIGTERM);
  waitpid (pid, NULL, 0);
  unlink (patch);
}

/*
 * A daemon refuses a drain order sealed with another key or for another host and keeps running; a
 * valid order makes it leave. This keeps forged and misdirected orders from stopping a host.
 */
static void
test_drain_orders_to_a_daemon (void)
{
  char ip[32];
  int status = 0;
  GPid pid;

  loopback_ip_of_process (ip);
  g_autofree char *listen = g_strdup_printf ("%s:%d", ip, DAEMON_PORT);
  g_autofree char *exchange = g_strdup_printf ("%s:%d", ip, EXCHANGE_PORT);
  g_autofree char *ask = g_strconcat ("status --daemon ", listen, NULL);
  g_autofree char *drain = g_strconcat ("drain busan-m1 --daemon ", listen, NULL);
  g_autofree char *other = g_strconcat ("drain daegu-m1 --daemon ", listen, NULL);
  g_autofree char *explain = g_strdup_printf ("explain %032d --daemon %s", 1, listen);

  g_setenv ("MEDLARPLANK_FLEET_KEY", FLEET_KEY, TRUE);
  pid = start_sidecar (listen, exchange);
  wait_for_output (ask, "busan-m1                 sidecar  live");
  expect_run (explain, 1, "", "does not know this request");
  expect_run (other, 1, "", "daegu-m1 refused the order with status 403");
  g_setenv ("MEDLARPLANK_FLEET_KEY", "a key of another fleet", TRUE);
  expect_run (explain, 1, "", "the daemon answered with status 401");
  expect_run (drain, 1, "", "busan-m1 refused the order with status 403");
  expect_run (ask, 0, "sidecar  live", "");
  g_setenv ("MEDLARPLANK_FLEET_KEY", FLEET_KEY, TRUE);
  expect_run (drain, 0, "busan-m1 is leaving", "");
  wait_for_output (ask, "sidecar  leaving");
  kill (pid, SIGTERM);
  CU_ASSERT_EQUAL (waitpid (pid, &status, 0), pid);
  CU_ASSERT_TRUE (WIFEXITED (status) && WEXITSTATUS (status) == 0);
  g_unsetenv ("MEDLARPLANK_FLEET_KEY");
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    SUITE_TEST (test_usage),
    SUITE_TEST (test_check),
    SUITE_TEST (test_first_publish),
    SUITE_TEST (test_lost_race),
    SUITE_TEST (test_forbidden_transition),
    SUITE_TEST (test_lost_append_response),
    SUITE_TEST (test_lost_append_request),
    SUITE_TEST (test_unreachable_platform),
    SUITE_TEST (test_status_of_listed_hosts),
    SUITE_TEST (test_watch),
    SUITE_TEST (test_truncated_log),
    SUITE_TEST (test_drain_orders_to_a_daemon),
    CU_TEST_INFO_NULL,
  };

  if (start_platform () != 0)
    return 1;
  int status = suite_run ("ctl", tests);
  return stop_platform () != 0 ? 1 : status;
}
