/* The processes of the soak: how they are started, looked after and ended. */
#include "soak.h"

#include "connection/platform_call.h"
#include "standin/keyed_store.h"

#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#define PORT 8080
#define READY_PORT 8081
#define CONTROL_PORT 8082
#define EXCHANGE_PORT 8083
#define STORE_HOST 1 /* last number of the address */
#define GATEWAY_HOST 10
#define UPSTREAM_HOST 30
#define STORE_PROXY_HOST 50
#define UPSTREAM_PROXY_HOST 70
#define START_LIMIT_US (UINT64_C (15) * 1000 * 1000)

set_address_t
sok_address (const sok_t *sok, uint32_t last, uint16_t port)
{
  set_address_t address = { .port = port };

  g_snprintf (address.ip, sizeof address.ip, "%s.%u", sok->net, last);
  return address;
}

static sok_process_t *
process_new (sok_t *sok, const char *program, const char *name)
{
  sok_process_t *process = g_new0 (sok_process_t, 1);

  process->sok = sok;
  process->name = g_strdup (name);
  process->log_path = g_strdup_printf ("%s/%s.log", sok->dir, name);
  process->argv = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (process->argv, g_build_filename (sok->build, program, NULL));
  return process;
}

static void flag (sok_process_t *process, const char *format, ...) G_GNUC_PRINTF (2, 3);

static void
flag (sok_process_t *process, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  g_ptr_array_add (process->argv, g_strdup_vprintf (format, args));
  va_end (args);
}

static void
start (sok_process_t *process)
{
  int log_fd = open (process->log_path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);

  g_assert (log_fd >= 0);
  g_ptr_array_add (process->argv, NULL);
  process->start_us = 0;
  process->stopping = false;
  process->killed = false;
  process->disturbed = false;
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
  for (uint32_t i = 0; i < SOK_GATEWAYS; i++)
    if (process->sok->gateways[i] == process)
      process->sok->starts[i]++;
}

static void
process_free (sok_process_t *process)
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
sok_process_signal (sok_process_t *process, int number)
{
  if (process->pid <= 0)
    return;
  kill (process->pid, number);
  if (number == SIGTERM && !process->stopping)
    {
      process->stopping = true;
      process->stop_us = sok_now_us ();
    }
  process->killed = process->killed || number == SIGKILL;
  process->disturbed = process->disturbed || number == SIGSTOP;
}

static bool
has_logged (const sok_process_t *process, pid_t pid)
{
  g_autofree char *mark = g_strdup_printf ("[%d]: ", (int)pid);
  g_autofree char *log = NULL;

  return g_file_get_contents (process->log_path, &log, NULL, NULL) && strstr (log, mark) != NULL;
}

/*
 * Between exec and main nothing can handle a signal, and SIGTERM ends the process as it would any.
 * It has no socket open then, so nothing is lost. A gateway logs that it has started before it
 * listens; the stand-ins log nothing, and their end is no promise.
 */
static bool
was_told_before_it_ran (const sok_process_t *process, pid_t pid, int status)
{
  return WIFSIGNALED (status) && WTERMSIG (status) == SIGTERM && !has_logged (process, pid);
}

/* A process that was neither killed nor told to stop must not end; one that was told must end well,
 * and in its time. */
static void
judge_end (sok_process_t *process, pid_t pid, int status)
{
  uint64_t took_ms = (sok_now_us () - process->stop_us) / 1000;

  if (process->killed)
    return;
  if (!process->stopping)
    sok_fail (process->sok, "%s ended by itself: status %x", process->name, (unsigned)status);
  else if (was_told_before_it_ran (process, pid, status))
    return;
  else if (!WIFEXITED (status) || WEXITSTATUS (status) != 0)
    sok_fail (process->sok, "%s was told to stop and ended with status %x", process->name,
              (unsigned)status);
  else if (!process->disturbed && took_ms > SOK_GRACE_MS + 500)
    sok_fail (process->sok, "%s took %u ms to stop", process->name, (unsigned)took_ms);
}

static void
look (sok_process_t *process)
{
  uint64_t now_us = sok_now_us ();
  int status;

  if (process->paused_until_us != 0 && now_us >= process->paused_until_us)
    {
      process->paused_until_us = 0;
      sok_process_signal (process, SIGCONT);
    }
  if (process->pid > 0 && waitpid (process->pid, &status, WNOHANG) == process->pid)
    {
      judge_end (process, process->pid, status);
      process->pid = 0;
      process->paused_until_us = 0;
      process->start_us = now_us + 50 * 1000 + sok_random (process->sok, 1000) * 1000;
    }
  if (process->pid == 0 && process->start_us != 0 && now_us >= process->start_us)
    start (process);
}

void
sok_each (sok_t *sok, void (*visit) (sok_process_t *process))
{
  for (uint32_t i = 0; i < SOK_GATEWAYS; i++)
    if (sok->gateways[i])
      visit (sok->gateways[i]);
  for (uint32_t i = 0; i < SOK_UPSTREAMS; i++)
    if (sok->upstreams[i])
      visit (sok->upstreams[i]);
}

void
sok_processes_look (sok_t *sok)
{
  sok_each (sok, look);
}

static void
start_store (sok_t *sok)
{
  set_address_t address = sok_address (sok, STORE_HOST, PORT);

  sok->store = process_new (sok, "standin-platform", "store");
  flag (sok->store, "--listen=%s:%u", address.ip, address.port);
  start (sok->store);
}

static void
start_upstream (sok_t *sok, uint32_t index)
{
  set_address_t own = sok_address (sok, UPSTREAM_HOST + index, PORT);
  set_address_t proxy = sok_address (sok, UPSTREAM_PROXY_HOST + index, PORT);
  set_address_t store = sok_address (sok, STORE_HOST, PORT);
  g_autofree char *name = g_strdup_printf ("upstream-%u", index);
  sok_process_t *process = process_new (sok, "standin-upstream", name);
  bool streams = index < SOK_STREAMS;

  flag (process, "--listen=%s:%u", own.ip, own.port);
  flag (process, "--advertise=%s:%u", proxy.ip, proxy.port);
  flag (process, "--store=%s:%u", store.ip, store.port);
  flag (process, "--service=%s", streams ? "pool" : "ledger");
  flag (process, "--events=%u", streams ? SOK_EVENTS : 0);
  flag (process, "--work-ms=%u", streams ? 12 : 6);
  flag (process, "--drain-ms=%u", SOK_DRAIN_MS + 300);
  flag (process, "--record=%s/%s.record", sok->dir, name);
  flag (process, "--fail-percent=%u", streams ? 0 : 3);
  flag (process, "--lose-percent=%u", streams ? 0 : 2);
  sok->upstream_proxies[index] = sok_proxy_new (sok->base, &proxy, &own);
  sok->upstreams[index] = process;
  start (process);
}

static void
start_gateway (sok_t *sok, uint32_t index)
{
  set_address_t own = sok_address (sok, GATEWAY_HOST + index, PORT);
  set_address_t proxy = sok_address (sok, STORE_PROXY_HOST + index, PORT);
  set_address_t store = sok_address (sok, STORE_HOST, PORT);
  g_autofree char *name = g_strdup_printf ("gateway-%u", index);
  sok_process_t *process = process_new (sok, "medlarplankd", name);

  sok->store_proxies[index] = sok_proxy_new (sok->base, &proxy, &store);
  flag (process, "--role=gateway");
  flag (process, "--renewal-ms=%u", KST_LAPSE_MS / 3);
  flag (process, "--name=%s", name);
  flag (process, "--data-center=hall-%u", index % 2);
  flag (process, "--region=soak");
  flag (process, "--listen=%s:%u", own.ip, PORT);
  flag (process, "--ready-listen=%s:%u", own.ip, READY_PORT);
  flag (process, "--control-listen=%s:%u", own.ip, CONTROL_PORT);
  flag (process, "--exchange=%s:%u", own.ip, EXCHANGE_PORT);
  flag (process, "--platform=%s:%u", proxy.ip, proxy.port);
  flag (process, "--seeds=%s.%u:%u", sok->net, GATEWAY_HOST, CONTROL_PORT);
  flag (process, "--exchange-interval-ms=200");
  flag (process, "--control-budget-bytes=7000");
  flag (process, "--retry-ratio=0.2");
  flag (process, "--retry-slack=60");
  flag (process, "--version-ms=%u", SOK_DRAIN_MS);
  flag (process, "--drain-ms=%u", SOK_DRAIN_MS);
  flag (process, "--grace=%u", SOK_GRACE_MS / 1000);
  sok->gateways[index] = process;
  start (process);
}

static void
on_admin_done (const pcl_answer_t *answer, void *context)
{
  *(int *)context = answer->status ? answer->status : -1;
}

static void
ignore (void *context)
{
  (void)context;
}

/* Return: the status; waits for it, as the stand-in's own interface is never out */
static int
call_store (sok_t *sok, const char *target, const char *body, size_t body_bytes)
{
  set_address_t store = sok_address (sok, STORE_HOST, PORT);
  pcl_t *pcl = pcl_new (sok->base, &store, NULL);
  int status = 0;

  pcl_start (pcl, &(pcl_request_t){ .method = "POST",
                                    .target = target,
                                    .body = body,
                                    .body_bytes = body_bytes,
                                    .timeout_ms = 1000,
                                    .answer_limit_bytes = 65536,
                                    .done = on_admin_done,
                                    .dropped = ignore,
                                    .context = &status });
  while (status == 0)
    event_base_loop (sok->base, EVLOOP_ONCE);
  pcl_free (pcl);
  return status;
}

void
sok_store_admin (sok_t *sok, const char *target, const char *body)
{
  call_store (sok, target, body, strlen (body));
}

#define ROUTE(name, kind, service, more)                                                           \
  "{\"name\":\"" name "\",\"host\":\"h.example\",\"path_prefix\":\"/" name "/\",\"kind\":\"" kind  \
  "\",\"timeout_ms\":2500,\"aim_ms\":300,\"service\":\"" service "\"" more "},"

static char *
config_of (uint32_t version)
{
  GString *text = g_string_new (NULL);

  g_string_append_printf (text, "{\"version\":%u,\"routes\":[", version);
  g_string_append (text, ROUTE ("look", "idempotent", "ledger", ",\"attempts\":2"));
  g_string_append (text, ROUTE ("book", "non_idempotent", "ledger", ""));
  g_string_append (text, ROUTE ("talk", "stream", "pool", ",\"attempts\":2,\"resumable\":true"));
  for (uint32_t route = 2; route <= version; route++)
    g_string_append_printf (text,
                            "{\"name\":\"v%u\",\"host\":\"h.example\",\"path_prefix\":\"/v%u/\","
                            "\"kind\":\"idempotent\",\"timeout_ms\":2500,\"attempts\":2,"
                            "\"service\":\"ledger\"},",
                            route, route);
  g_string_append (text, "{\"name\":\"tell\",\"host\":\"h.example\",\"path_prefix\":\"/tell/\","
                         "\"kind\":\"stream\",\"timeout_ms\":2500,\"service\":\"pool\"}],"
                         "\"tenants\":[{\"name\":\"alpha\",\"api_keys\":[\"key-1\"]}]}");
  return g_string_free (text, FALSE);
}

void
sok_publish (sok_t *sok)
{
  g_autofree char *config = config_of (sok->version + 1);
  size_t length = 1 + strlen ("config") + strlen (config);
  GString *body = g_string_new (NULL);

  for (int shift = 24; shift >= 0; shift -= 8)
    g_string_append_c (body, (char)(length >> shift));
  g_string_append_c (body, (char)strlen ("config"));
  g_string_append (body, "config");
  g_string_append (body, config);
  if (call_store (sok, "/log-append?topic=keyed.op&part=0", body->str, body->len) == 200)
    sok->acked_version = ++sok->version;
  sok_log (sok, "version %u published", sok->version);
  g_string_free (body, TRUE);
}

static bool
all_answer (sok_t *sok)
{
  uint32_t first = sok->calls->len;

  for (uint32_t i = 0; i < SOK_GATEWAYS; i++)
    for (uint32_t kind = 0; kind < SOK_KINDS; kind++)
      sok_ask (sok, i, kind, 0, true);
  sok_turn (sok, 400);
  for (uint32_t i = first; i < sok->calls->len; i++)
    {
      const sok_call_t *call = g_ptr_array_index (sok->calls, i);

      if (call->kind != SOK_LOOK && call->kind != SOK_BOOK && (!call->whole || call->status != 200))
        return false;
    }
  return true;
}

void
sok_fleet_start (sok_t *sok)
{
  uint64_t limit_us = sok_now_us () + START_LIMIT_US;

  start_store (sok);
  while (sok->acked_version == 0 && sok_now_us () < limit_us)
    {
      sok_turn (sok, 100);
      sok_publish (sok);
    }
  for (uint32_t i = 0; i < SOK_UPSTREAMS; i++)
    start_upstream (sok, i);
  for (uint32_t i = 0; i < SOK_GATEWAYS; i++)
    start_gateway (sok, i);
  while (!all_answer (sok))
    if (sok_now_us () > limit_us)
      {
        sok_fail (sok, "the fleet does not serve at its start");
        return;
      }
}

void
sok_fleet_stop (sok_t *sok)
{
  sok_each (sok, process_free);
  process_free (sok->store);
  for (uint32_t i = 0; i < SOK_GATEWAYS; i++)
    sok_proxy_free (sok->store_proxies[i]);
  for (uint32_t i = 0; i < SOK_UPSTREAMS; i++)
    sok_proxy_free (sok->upstream_proxies[i]);
}
