/* Fault injection. Faults follow each other and may overlap; each ends by itself. */
#include "soak.h"

#include <signal.h>

#define KILL_DISTURBANCE_MS 1200 /* a killed process starts again within 1050 ms */

/** struct proxy_recovery - timer that ends the fault of a proxy */
typedef struct
{
  sok_proxy_t *proxy;
  struct event *timer;
} proxy_recovery_t;

static void
record_disturbance (sok_t *soak, uint32_t ms)
{
  sok_span_t span = { sok_now_us (), sok_now_us () + (uint64_t)ms * 1000 };

  g_array_append_val (soak->disturbances, span);
}

static void
on_recovery (evutil_socket_t fd, short what, void *context)
{
  proxy_recovery_t *recovery = context;

  (void)fd;
  (void)what;
  sok_proxy_set (recovery->proxy, SOK_PASS);
  event_free (recovery->timer);
  g_free (recovery);
}

static void
schedule_recovery (sok_t *soak, sok_proxy_t *proxy, uint32_t ms)
{
  proxy_recovery_t *recovery = g_new0 (proxy_recovery_t, 1);
  struct timeval wait = { ms / 1000, ms % 1000 * 1000 };

  recovery->proxy = proxy;
  recovery->timer = evtimer_new (soak->base, on_recovery, recovery);
  event_add (recovery->timer, &wait);
  record_disturbance (soak, ms);
}

static void
fault_process (sok_t *soak, sok_process_t *process)
{
  uint32_t ms = 200 + sok_random (soak, 1800);

  switch (sok_random (soak, 3))
    {
    case 0:
      sok_log (soak, "%s: stop", process->name);
      sok_process_signal (process, SIGTERM);
      record_disturbance (soak, SOK_GRACE_MS);
      return;
    case 1:
      sok_log (soak, "%s: kill", process->name);
      sok_process_signal (process, SIGKILL);
      record_disturbance (soak, KILL_DISTURBANCE_MS);
      return;
    default:
      if (process->pid <= 0 || process->resume_at_us != 0)
        return;
      sok_log (soak, "%s: pause %u ms", process->name, ms);
      sok_process_signal (process, SIGSTOP);
      process->resume_at_us = sok_now_us () + (uint64_t)ms * 1000;
      record_disturbance (soak, ms);
    }
}

static void
fault_proxy (sok_t *soak, sok_proxy_t *proxy, const char *name, uint32_t index)
{
  static const char *const names[] = { "pass", "delay", "reset", "one way", "silent" };
  sok_mode_t mode = (sok_mode_t)(1 + sok_random (soak, SOK_MODES - 1));
  uint32_t ms = 200 + sok_random (soak, 2300);

  sok_log (soak, "%s of %u: %s for %u ms", name, index, names[mode], ms);
  sok_proxy_set (proxy, mode);
  schedule_recovery (soak, proxy, ms);
}

static void
set_store_fault (sok_t *soak, const char *state, uint32_t ms)
{
  sok_store_admin (soak, "/admin/fault", state);
  soak->store_heals_us = sok_now_us () + (uint64_t)ms * 1000;
  record_disturbance (soak, ms);
}

void
sok_faults_look (sok_t *soak)
{
  if (soak->store_heals_us == 0 || sok_now_us () < soak->store_heals_us)
    return;
  soak->store_heals_us = 0;
  sok_store_admin (soak, "/admin/fault", "{\"log\":\"up\"}");
}

static void
fault_store (sok_t *soak)
{
  uint32_t ms = 300 + sok_random (soak, 2700);

  switch (sok_random (soak, 3))
    {
    case 0:
      sok_log (soak, "store: down for %u ms", ms);
      set_store_fault (soak, "{\"log\":\"down\"}", ms);
      return;
    case 1:
      sok_log (soak, "store: refuses for %u ms", ms);
      set_store_fault (soak, "{\"log\":\"refuse\"}", ms);
      return;
    default:
      sok_log (soak, "store: forgets its history");
      sok_store_admin (soak, "/admin/forget?topic=keyed.servers", "");
      sok_store_admin (soak, "/admin/forget?topic=keyed.op", "");
    }
}

void
sok_fault (sok_t *soak)
{
  uint32_t gateway = sok_random (soak, SOK_GATEWAYS);
  uint32_t upstream = sok_random (soak, SOK_UPSTREAMS);

  switch (sok_random (soak, 8))
    {
    case 0:
    case 1:
      fault_process (soak, soak->gateways[gateway]);
      return;
    case 2:
    case 3:
      fault_process (soak, soak->upstreams[upstream]);
      return;
    case 4:
      fault_proxy (soak, soak->store_proxies[gateway], "store link", gateway);
      return;
    case 5:
      fault_proxy (soak, soak->upstream_proxies[upstream], "upstream link", upstream);
      return;
    case 6:
      fault_store (soak);
      return;
    default:
      sok_publish (soak);
    }
}

static void
resume_now (sok_process_t *process)
{
  if (process->resume_at_us != 0)
    process->resume_at_us = 1;
}

void
sok_heal (sok_t *soak)
{
  for (uint32_t i = 0; i < SOK_GATEWAYS; i++)
    sok_proxy_set (soak->store_proxies[i], SOK_PASS);
  for (uint32_t i = 0; i < SOK_UPSTREAMS; i++)
    sok_proxy_set (soak->upstream_proxies[i], SOK_PASS);
  sok_store_admin (soak, "/admin/fault", "{\"log\":\"up\"}");
  sok_each (soak, resume_now);
  sok_log (soak, "healed");
}
