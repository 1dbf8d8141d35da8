/* What is done to the fleet from outside. Faults come in series and overlap; each heals by itself.
 */
#include "soak.h"

#include <signal.h>

/** struct healing - the end of a proxy's fault */
typedef struct
{
  sok_proxy_t *proxy;
  struct event *timer;
} healing_t;

static void
disturb (sok_t *sok, uint32_t ms)
{
  sok_span_t span = { sok_now_us (), sok_now_us () + (uint64_t)ms * 1000 };

  g_array_append_val (sok->disturbances, span);
}

static void
on_heal (evutil_socket_t fd, short what, void *context)
{
  healing_t *healing = context;

  (void)fd;
  (void)what;
  sok_proxy_set (healing->proxy, SOK_PASS);
  event_free (healing->timer);
  g_free (healing);
}

static void
heal_later (sok_t *sok, sok_proxy_t *proxy, uint32_t ms)
{
  healing_t *healing = g_new0 (healing_t, 1);
  struct timeval wait = { ms / 1000, ms % 1000 * 1000 };

  healing->proxy = proxy;
  healing->timer = evtimer_new (sok->base, on_heal, healing);
  event_add (healing->timer, &wait);
  disturb (sok, ms);
}

static void
hit_process (sok_t *sok, sok_process_t *process)
{
  uint32_t ms = 200 + sok_random (sok, 1800);

  switch (sok_random (sok, 3))
    {
    case 0:
      sok_log (sok, "%s: stop", process->name);
      sok_process_signal (process, SIGTERM);
      disturb (sok, SOK_GRACE_MS);
      return;
    case 1:
      sok_log (sok, "%s: kill", process->name);
      sok_process_signal (process, SIGKILL);
      disturb (sok, 1200);
      return;
    default:
      if (process->pid <= 0 || process->paused_until_us != 0)
        return;
      sok_log (sok, "%s: pause %u ms", process->name, ms);
      sok_process_signal (process, SIGSTOP);
      process->paused_until_us = sok_now_us () + (uint64_t)ms * 1000;
      disturb (sok, ms);
    }
}

static void
hit_proxy (sok_t *sok, sok_proxy_t *proxy, const char *name, uint32_t index)
{
  static const char *const names[] = { "pass", "delay", "reset", "one way", "silent" };
  sok_mode_t mode = (sok_mode_t)(1 + sok_random (sok, SOK_MODES - 1));
  uint32_t ms = 200 + sok_random (sok, 2300);

  sok_log (sok, "%s of %u: %s for %u ms", name, index, names[mode], ms);
  sok_proxy_set (proxy, mode);
  heal_later (sok, proxy, ms);
}

static void
fail_store (sok_t *sok, const char *state, uint32_t ms)
{
  sok_store_admin (sok, "/admin/fault", state);
  sok->store_heals_us = sok_now_us () + (uint64_t)ms * 1000;
  disturb (sok, ms);
}

void
sok_faults_look (sok_t *sok)
{
  if (sok->store_heals_us == 0 || sok_now_us () < sok->store_heals_us)
    return;
  sok->store_heals_us = 0;
  sok_store_admin (sok, "/admin/fault", "{\"log\":\"up\"}");
}

static void
hit_store (sok_t *sok)
{
  uint32_t ms = 300 + sok_random (sok, 2700);

  switch (sok_random (sok, 3))
    {
    case 0:
      sok_log (sok, "store: down for %u ms", ms);
      fail_store (sok, "{\"log\":\"down\"}", ms);
      return;
    case 1:
      sok_log (sok, "store: refuses for %u ms", ms);
      fail_store (sok, "{\"log\":\"refuse\"}", ms);
      return;
    default:
      sok_log (sok, "store: forgets its history");
      sok_store_admin (sok, "/admin/forget?topic=keyed.servers", "");
      sok_store_admin (sok, "/admin/forget?topic=keyed.op", "");
    }
}

void
sok_fault (sok_t *sok)
{
  uint32_t gateway = sok_random (sok, SOK_GATEWAYS);
  uint32_t upstream = sok_random (sok, SOK_UPSTREAMS);

  switch (sok_random (sok, 8))
    {
    case 0:
    case 1:
      hit_process (sok, sok->gateways[gateway]);
      return;
    case 2:
    case 3:
      hit_process (sok, sok->upstreams[upstream]);
      return;
    case 4:
      hit_proxy (sok, sok->store_proxies[gateway], "store link", gateway);
      return;
    case 5:
      hit_proxy (sok, sok->upstream_proxies[upstream], "upstream link", upstream);
      return;
    case 6:
      hit_store (sok);
      return;
    default:
      sok_publish (sok);
    }
}

static void
wake (sok_process_t *process)
{
  if (process->paused_until_us != 0)
    process->paused_until_us = 1;
}

void
sok_heal (sok_t *sok)
{
  for (uint32_t i = 0; i < SOK_GATEWAYS; i++)
    sok_proxy_set (sok->store_proxies[i], SOK_PASS);
  for (uint32_t i = 0; i < SOK_UPSTREAMS; i++)
    sok_proxy_set (sok->upstream_proxies[i], SOK_PASS);
  sok_store_admin (sok, "/admin/fault", "{\"log\":\"up\"}");
  sok_each (sok, wake);
  sok_log (sok, "healed");
}
