/* The processes of the test: starts, supervises and ends them, and publishes configurations. */
#include "soak.h"

#include "connection/platform_client.h"
#include "standin/keyed_store.h"

#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#define HTTP_PORT 8080
#define READY_PORT 8081
#define CONTROL_PORT 8082
#define EXCHANGE_PORT 8083
/* Last number of the IP addresses; those with an index add it. */
#define STORE_IP_OCTET 1
#define GATEWAY_IP_OCTET 10
#define UPSTREAM_IP_OCTET 70
#define STORE_PROXY_IP_OCTET 100
#define UPSTREAM_PROXY_IP_OCTET 160
#define RESTART_DELAY_MIN_MS 50
#define RESTART_DELAY_SPREAD_MS 1000 /* added at random to the minimum */
#define STOP_SLACK_MS 500            /* on top of the grace period, for the check of the exit */
#define SILENT_BACKLOG 16
#define START_TIMEOUT_US (UINT64_C (15) * 1000 * 1000)

address_t
soak_address (const soak_t *soak, uint32_t last, uint16_t port)
{
  address_t address = { .port = port };

  g_snprintf (address.ip, sizeof address.ip, "%s.%u", soak->ip_prefix, last);
  return address;
}

static soak_process_t *
process_new (soak_t *soak, const char *program, const char *name)
{
  soak_process_t *process = g_new0 (soak_process_t, 1);

  process->soak = soak;
  process->name = g_strdup (name);
  process->log_path = g_strdup_printf ("%s/%s.log", soak->dir, name);
  process->argv = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (process->argv, g_build_filename (soak->build, program, NULL));
  return process;
}

static void add_argument (soak_process_t *process, const char *format, ...) G_GNUC_PRINTF (2, 3);

static void
add_argument (soak_process_t *process, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  g_ptr_array_add (process->argv, g_strdup_vprintf (format, args));
  va_end (args);
}

static void
start_process (soak_process_t *process)
{
  int log_fd = open (process->log_path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);

  g_assert (log_fd >= 0);
  g_ptr_array_add (process->argv, NULL);
  process->start_at_us = 0;
  process->stopping = false;
  process->killed = false;
  process->was_paused = false;
  process->pid = fork ();
  g_assert (process->pid >= 0);
  if (process->pid == 0)
    {
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      dup2 (log_fd, STDOUT_FILENO);
      dup2 (log_fd, STDERR_FILENO);
      execv (process->argv->pdata[0], (char **)process->argv->pdata);
      _exit (127);
    }
  close (log_fd);
  g_ptr_array_set_size (process->argv, (gint)process->argv->len - 1);
  for (uint32_t i = 0; i < process->soak->gateway_count; i++)
    if (process->soak->gateways[i] == process)
      process->soak->start_counts[i]++;
}

static void
process_free (soak_process_t *process)
{
  if (process->pid > 0)
    {
      kill (process->pid, SIGKILL);
      waitpid (process->pid, NULL, 0);
    }
  g_ptr_array_free (process->argv, TRUE);
  g_free (process->log_path);
  g_free (process->name);
  g_free (process);
}

void
soak_process_signal (soak_process_t *process, int number)
{
  if (process->pid <= 0)
    return;
  kill (process->pid, number);
  soak_note_stop (process->soak, process, number);
  if (number == SIGTERM && !process->stopping)
    {
      process->stopping = true;
      process->stop_sent_us = soak_now_us ();
    }
  process->killed = process->killed || number == SIGKILL;
  process->was_paused = process->was_paused || number == SIGSTOP;
}

static bool
has_logged (const soak_process_t *process, pid_t pid)
{
  g_autofree char *prefix = g_strdup_printf ("[%d]: ", (int)pid);
  g_autofree char *log = NULL;

  return g_file_get_contents (process->log_path, &log, NULL, NULL) && strstr (log, prefix) != NULL;
}

bool
soak_has_logged (const soak_process_t *process)
{
  return has_logged (process, process->pid);
}

uint32_t
soak_grace_ms (const soak_t *soak)
{
  return soak->silences.enabled ? SOAK_LONG_GRACE_MS : SOAK_GRACE_MS;
}

/*
 * Between exec and main no signal handler is installed, so SIGTERM terminates the process. It has
 * no open socket then, so no request is lost. Recognized by the missing log line: a gateway logs
 * its start before it listens. The stand-ins log nothing, so this excuses every SIGTERM of theirs,
 * which is acceptable as no guarantee covers how they end.
 */
static bool
was_terminated_before_main (const soak_process_t *process, pid_t pid, int status)
{
  return WIFSIGNALED (status) && WTERMSIG (status) == SIGTERM && !has_logged (process, pid);
}

/* A process must not exit unless it got SIGTERM or SIGKILL; after SIGTERM it must exit with status
 * 0 and in time. */
static void
check_exit (soak_process_t *process, pid_t pid, int status)
{
  uint64_t stop_duration_ms = (soak_now_us () - process->stop_sent_us) / 1000;

  if (process->killed ||
      (process->may_crash && WIFEXITED (status) && WEXITSTATUS (status) == EXIT_FAILURE))
    return;
  if (!process->stopping)
    soak_fail (process->soak, "%s ended by itself: status %x", process->name, (unsigned)status);
  else if (was_terminated_before_main (process, pid, status))
    return;
  else if (!WIFEXITED (status) || WEXITSTATUS (status) != 0)
    soak_fail (process->soak, "%s was told to stop and ended with status %x", process->name,
               (unsigned)status);
  else if (!process->was_paused && stop_duration_ms > soak_grace_ms (process->soak) + STOP_SLACK_MS)
    soak_fail (process->soak, "%s took %u ms to stop", process->name, (unsigned)stop_duration_ms);
}

static void
poll_process (soak_process_t *process)
{
  uint64_t now_us = soak_now_us ();
  int status;

  if (process->resume_at_us != 0 && now_us >= process->resume_at_us)
    {
      process->resume_at_us = 0;
      soak_process_signal (process, SIGCONT);
    }
  if (process->pid > 0 && waitpid (process->pid, &status, WNOHANG) == process->pid)
    {
      check_exit (process, process->pid, status);
      process->pid = 0;
      process->resume_at_us = 0;
      process->start_at_us = now_us + RESTART_DELAY_MIN_MS * 1000 +
                             soak_random (process->soak, RESTART_DELAY_SPREAD_MS) * 1000;
    }
  if (process->pid == 0 && process->start_at_us != 0 && now_us >= process->start_at_us)
    start_process (process);
}

void
soak_for_each_process (soak_t *soak, void (*visit) (soak_process_t *process))
{
  for (uint32_t i = 0; i < soak->gateway_count; i++)
    if (soak->gateways[i])
      visit (soak->gateways[i]);
  for (uint32_t i = 0; i < soak->upstream_count; i++)
    if (soak->upstreams[i])
      visit (soak->upstreams[i]);
}

void
soak_poll_processes (soak_t *soak)
{
  soak_for_each_process (soak, poll_process);
}

static void
start_store (soak_t *soak)
{
  address_t address = soak_address (soak, STORE_IP_OCTET, HTTP_PORT);

  soak->store = process_new (soak, "standin-platform", "store");
  add_argument (soak->store, "--listen=%s:%u", address.ip, address.port);
  start_process (soak->store);
}

/* Streams outlast several losses of gateways where there are such. */
static uint32_t
event_ms (const soak_t *soak)
{
  if (soak->losses.enabled)
    return 200;
  return soak->versions || soak->silences.enabled ? 40 : 12;
}

/** struct upstream_kind - upstreams from the index @first on, of one service */
typedef struct
{
  const char *service;
  uint32_t first;
  bool streams;
} upstream_kind_t;

static const upstream_kind_t *
upstream_kind (uint32_t index)
{
  static const upstream_kind_t kinds[] = { { "pool", 0, true },
                                           { "ledger", SOAK_STREAM_UPSTREAMS, false },
                                           { "stage", SOAK_UPSTREAMS, true },
                                           { "annex", SOAK_UPSTREAMS + 2, false } };
  uint32_t at = G_N_ELEMENTS (kinds) - 1;

  while (index < kinds[at].first)
    at--;
  return &kinds[at];
}

/* Sound ones fail and lose nothing. Every second one accepts few connections while it is silent. */
static void
add_upstream_faults (soak_process_t *process, const soak_t *soak, uint32_t index)
{
  bool sound = upstream_kind (index)->streams || soak->silences.enabled;

  add_argument (process, "--fail-percent=%u", sound ? 0 : 3);
  add_argument (process, "--lose-percent=%u", sound ? 0 : 2);
  if (soak->silences.enabled && index % 2 == 1)
    add_argument (process, "--backlog=%u", SILENT_BACKLOG);
}

static void
start_upstream (soak_t *soak, uint32_t index)
{
  address_t own = soak_address (soak, UPSTREAM_IP_OCTET + index, HTTP_PORT);
  address_t proxy = soak_address (soak, UPSTREAM_PROXY_IP_OCTET + index, HTTP_PORT);
  address_t store = soak_address (soak, STORE_IP_OCTET, HTTP_PORT);
  g_autofree char *name = g_strdup_printf ("upstream-%u", index);
  soak_process_t *process = process_new (soak, "standin-upstream", name);
  bool streams = upstream_kind (index)->streams;
  const address_t *advertised = soak->silences.enabled ? &own : &proxy;

  add_argument (process, "--listen=%s:%u", own.ip, own.port);
  add_argument (process, "--advertise=%s:%u", advertised->ip, advertised->port);
  add_argument (process, "--store=%s:%u", store.ip, store.port);
  add_argument (process, "--service=%s", upstream_kind (index)->service);
  add_argument (process, "--events=%u", streams ? SOAK_EVENTS : 0);
  add_argument (process, "--work-ms=%u", streams ? event_ms (soak) : 6);
  if (soak->losses.enabled || soak->silences.enabled)
    add_argument (process, "--slots=48");
  if (streams && soak->versions)
    add_argument (process, "--software-version=v%u", 1 + index % 2);
  add_argument (process, "--drain-ms=%u", SOAK_DRAIN_MS + 300);
  add_argument (process, "--record=%s/%s.record", soak->dir, name);
  add_upstream_faults (process, soak, index);
  if (soak->crashes)
    {
      add_argument (process, "--crash-on=" SOAK_CRASH_TEXT);
      for (uint32_t part = 0; part < SOAK_CRASH_PARTS; part++)
        add_argument (process, "--crash-on-part=%s", soak_crash_parts[part]);
    }
  process->may_crash = soak->crashes;
  soak->upstream_proxies[index] = soak_proxy_new (soak->base, &proxy, &own);
  soak->upstreams[index] = process;
  start_process (process);
}

static void
start_gateway (soak_t *soak, uint32_t index)
{
  address_t own = soak_address (soak, GATEWAY_IP_OCTET + index, HTTP_PORT);
  address_t proxy = soak_address (soak, STORE_PROXY_IP_OCTET + index, HTTP_PORT);
  address_t store = soak_address (soak, STORE_IP_OCTET, HTTP_PORT);
  g_autofree char *name = g_strdup_printf ("gateway-%u", index);
  soak_process_t *process = process_new (soak, "medlarplankd", name);

  soak->store_proxies[index] = soak_proxy_new (soak->base, &proxy, &store);
  add_argument (process, "--role=gateway");
  add_argument (process, "--renewal-ms=%u", KEYED_STORE_ENTRY_TTL_MS / 3);
  add_argument (process, "--name=%s", name);
  add_argument (process, "--data-center=hall-%u", index % 2);
  add_argument (process, "--region=soak");
  add_argument (process, "--listen=%s:%u", own.ip, HTTP_PORT);
  add_argument (process, "--ready-listen=%s:%u", own.ip, READY_PORT);
  add_argument (process, "--control-listen=%s:%u", own.ip, CONTROL_PORT);
  add_argument (process, "--exchange=%s:%u", own.ip, EXCHANGE_PORT);
  add_argument (process, "--platform=%s:%u", proxy.ip, proxy.port);
  add_argument (process, "--seeds=%s.%u:%u", soak->ip_prefix, GATEWAY_IP_OCTET, CONTROL_PORT);
  add_argument (process, "--exchange-interval-ms=200");
  add_argument (process, "--control-budget-bytes=7000");
  add_argument (process, "--retry-ratio=0.2");
  add_argument (process, "--retry-slack=60");
  add_argument (process, "--version-ms=%u", SOAK_DRAIN_MS);
  add_argument (process, "--drain-ms=%u", SOAK_DRAIN_MS);
  add_argument (process, "--grace=%u", soak_grace_ms (soak) / 1000);
  soak->gateways[index] = process;
  start_process (process);
}

static void
on_store_reply (const platform_client_answer_t *answer, void *context)
{
  *(int *)context = answer->status ? answer->status : -1;
}

static void
on_dropped (void *context)
{
  (void)context;
}

address_t
soak_store_address (const soak_t *soak)
{
  return soak_address (soak, STORE_IP_OCTET, HTTP_PORT);
}

/* Waits for the response, since faults do not affect the administrative interface of the stand-in.
 * Return: the HTTP status, -1 when there was no response */
static int
call_store (soak_t *soak, const char *target, const char *body, size_t body_bytes)
{
  address_t store = soak_address (soak, STORE_IP_OCTET, HTTP_PORT);
  platform_client_t *platform_client = platform_client_new (soak->base, &store, NULL);
  int status = 0;

  platform_client_start (platform_client, &(platform_client_request_t){ .method = "POST",
                                                                        .target = target,
                                                                        .body = body,
                                                                        .body_bytes = body_bytes,
                                                                        .timeout_ms = 1000,
                                                                        .answer_limit_bytes = 65536,
                                                                        .done = on_store_reply,
                                                                        .on_dropped = on_dropped,
                                                                        .context = &status });
  while (status == 0)
    event_base_loop (soak->base, EVLOOP_ONCE);
  platform_client_free (platform_client);
  return status;
}

void
soak_call_store_admin (soak_t *soak, const char *target, const char *body)
{
  call_store (soak, target, body, strlen (body));
}

/* Return: whether the store acknowledged it */
static bool
write_config (soak_t *soak, uint32_t version)
{
  g_autofree char *config = soak_config_format (&soak->config, version);
  size_t length = 1 + strlen ("config") + strlen (config);
  GString *body = g_string_new (NULL);
  int status;

  for (int shift = 24; shift >= 0; shift -= 8)
    g_string_append_c (body, (char)(length >> shift));
  g_string_append_c (body, (char)strlen ("config"));
  g_string_append (body, "config");
  g_string_append (body, config);
  status = call_store (soak, "/log-append?topic=keyed.op&part=0", body->str, body->len);
  g_string_free (body, TRUE);
  return status == 200;
}

void
soak_publish (soak_t *soak)
{
  soak->config.written_us = soak_now_us ();
  g_array_set_size (soak->configs, soak->version + 1);
  g_array_append_val (soak->configs, soak->config);
  if (write_config (soak, soak->version + 1))
    {
      uint64_t at_us = soak_now_us ();

      soak->acked_version = ++soak->version;
      g_array_set_size (soak->acked_us, soak->version);
      g_array_append_val (soak->acked_us, at_us);
    }
  soak_log (soak, "version %u published", soak->version);
}

bool
soak_publish_again (soak_t *soak)
{
  return write_config (soak, soak->version);
}

bool
soak_has_entry (soak_t *soak, uint32_t gateway)
{
  g_autofree char *target =
      g_strdup_printf ("/admin/key?topic=%s&key=gateway-%u", SOAK_ROUTERS_TOPIC, gateway);

  return call_store (soak, target, "", 0) == 200;
}

static bool
gateways_serve (soak_t *soak, uint32_t begin, uint32_t end)
{
  uint32_t first = soak->calls->len;

  for (uint32_t i = begin; i < end; i++)
    for (uint32_t kind = 0; kind < SOAK_KINDS; kind++)
      soak_send_request (soak, i, kind, 0, true);
  soak_run_loop (
      soak,
      400 + (soak->losses.enabled || soak->silences.enabled ? SOAK_EVENTS * event_ms (soak) : 0));
  for (uint32_t i = first; i < soak->calls->len; i++)
    {
      const soak_request_t *call = g_ptr_array_index (soak->calls, i);

      if (call->kind != SOAK_IDEMPOTENT && call->kind != SOAK_NON_IDEMPOTENT &&
          (!call->complete || call->status != 200))
        return false;
    }
  return true;
}

/* A few at a time, as the upstreams have few slots. */
static bool
all_gateways_serve (soak_t *soak)
{
  for (uint32_t i = 0; i < soak->gateway_count; i += SOAK_GATEWAYS)
    if (!gateways_serve (soak, i, MIN (i + SOAK_GATEWAYS, soak->gateway_count)))
      return false;
  return true;
}

void
soak_fleet_start (soak_t *soak)
{
  uint64_t deadline_us = soak_now_us () + START_TIMEOUT_US;

  start_store (soak);
  while (soak->acked_version == 0 && soak_now_us () < deadline_us)
    {
      soak_run_loop (soak, 100);
      soak_publish (soak);
    }
  for (uint32_t i = 0; i < soak->upstream_count; i++)
    start_upstream (soak, i);
  for (uint32_t i = 0; i < soak->gateway_count; i++)
    start_gateway (soak, i);
  while (!all_gateways_serve (soak))
    if (soak_now_us () > deadline_us)
      {
        soak_fail (soak, "the fleet does not serve at its start");
        return;
      }
}

void
soak_fleet_stop (soak_t *soak)
{
  soak_for_each_process (soak, process_free);
  process_free (soak->store);
  for (uint32_t i = 0; i < soak->gateway_count; i++)
    soak_proxy_free (soak->store_proxies[i]);
  for (uint32_t i = 0; i < soak->upstream_count; i++)
    soak_proxy_free (soak->upstream_proxies[i]);
}
