/* Fault injection. Faults follow each other and may overlap; each ends by itself. */
#include "soak.h"

#include <signal.h>

#define KILL_DISTURBANCE_MS 1200 /* a killed process starts again within 1050 ms */

/** struct proxy_recovery - timer that ends the fault of a proxy */
typedef struct
{
  soak_proxy_t *proxy;
  struct event *timer;
} proxy_recovery_t;

void
soak_record_disturbance (soak_t *soak, uint32_t ms)
{
  soak_period_t span = { soak_now_us (), soak_now_us () + (uint64_t)ms * 1000 };

  g_array_append_val (soak->disturbances, span);
}

static void
on_recovery (evutil_socket_t fd, short what, void *context)
{
  proxy_recovery_t *recovery = context;

  (void)fd;
  (void)what;
  soak_proxy_set_mode (recovery->proxy, SOAK_PROXY_PASS);
  event_free (recovery->timer);
  g_free (recovery);
}

static void
schedule_recovery (soak_t *soak, soak_proxy_t *proxy, uint32_t ms)
{
  proxy_recovery_t *recovery = g_new0 (proxy_recovery_t, 1);
  struct timeval wait = { ms / 1000, ms % 1000 * 1000 };

  recovery->proxy = proxy;
  recovery->timer = evtimer_new (soak->base, on_recovery, recovery);
  event_add (recovery->timer, &wait);
  soak_record_disturbance (soak, ms);
}

static void
fault_process (soak_t *soak, soak_process_t *process)
{
  uint32_t ms = 200 + soak_random (soak, 1800);

  switch (soak_random (soak, 3))
    {
    case 0:
      soak_log (soak, "%s: stop", process->name);
      soak_process_signal (process, SIGTERM);
      soak_record_disturbance (soak, SOAK_GRACE_MS);
      return;
    case 1:
      soak_log (soak, "%s: kill", process->name);
      soak_process_signal (process, SIGKILL);
      soak_record_disturbance (soak, KILL_DISTURBANCE_MS);
      return;
    default:
      if (process->pid <= 0 || process->resume_at_us != 0)
        return;
      soak_log (soak, "%s: pause %u ms", process->name, ms);
      soak_process_signal (process, SIGSTOP);
      process->resume_at_us = soak_now_us () + (uint64_t)ms * 1000;
      soak_record_disturbance (soak, ms);
    }
}

void
soak_fault_link (soak_t *soak, soak_proxy_t *proxy, soak_proxy_mode_t mode, uint32_t ms)
{
  soak_proxy_set_mode (proxy, mode);
  schedule_recovery (soak, proxy, ms);
}

static void
fault_proxy (soak_t *soak, soak_proxy_t *proxy, const char *name, uint32_t index)
{
  static const char *const names[] = { "pass", "delay", "reset", "one way", "silent" };
  soak_proxy_mode_t mode = (soak_proxy_mode_t)(1 + soak_random (soak, SOAK_PROXY_MODES - 1));
  uint32_t ms = 200 + soak_random (soak, 2300);

  soak_log (soak, "%s of %u: %s for %u ms", name, index, names[mode], ms);
  soak_fault_link (soak, proxy, mode, ms);
}

static void
set_store_fault (soak_t *soak, const char *state, uint32_t ms)
{
  soak_call_store_admin (soak, "/admin/fault", state);
  soak->store_heals_us = soak_now_us () + (uint64_t)ms * 1000;
  soak_record_disturbance (soak, ms);
}

void
soak_poll_store_fault (soak_t *soak)
{
  if (soak->store_heals_us == 0 || soak_now_us () < soak->store_heals_us)
    return;
  soak->store_heals_us = 0;
  soak_call_store_admin (soak, "/admin/fault", "{\"log\":\"up\"}");
}

static void
fault_store (soak_t *soak)
{
  uint32_t ms = 300 + soak_random (soak, 2700);

  switch (soak_random (soak, 3))
    {
    case 0:
      soak_log (soak, "store: down for %u ms", ms);
      set_store_fault (soak, "{\"log\":\"down\"}", ms);
      return;
    case 1:
      soak_log (soak, "store: refuses for %u ms", ms);
      set_store_fault (soak, "{\"log\":\"refuse\"}", ms);
      return;
    default:
      soak_log (soak, "store: forgets its history");
      soak_call_store_admin (soak, "/admin/forget?topic=keyed.servers", "");
      soak_call_store_admin (soak, "/admin/forget?topic=keyed.op", "");
    }
}

/* Only one restoration at a time; other faults come meanwhile. */
#define LOST_VERSIONS 4             /* versions published after the copy, at least */
#define COPY_AGE_MAX_MS 3000        /* what was written in this time is lost */
#define RESTORATION_AWAY_MAX_MS 800 /* time without the store before it comes back */
#define REWRITE_DELAY_MAX_MS 1000
#define RESTORATION_PAUSE_MAX_MS 3000

static void
schedule_restoration (soak_t *soak, soak_restoration_step_t step, uint32_t max_ms)
{
  uint32_t ms = (uint32_t)g_rand_int_range (soak->restoration_rand, 1, (gint32)max_ms);

  soak->restoration_step = step;
  soak->restoration_us = soak_now_us () + (uint64_t)ms * 1000;
}

/* The time until the operator's records are back counts as disturbed. */
static void
restore_store (soak_t *soak)
{
  soak_log (soak, "store: back from a copy");
  soak_call_store_admin (soak, "/admin/restore", "");
  soak_call_store_admin (soak, "/admin/fault", "{\"log\":\"up\"}");
  soak_record_disturbance (soak, REWRITE_DELAY_MAX_MS);
  schedule_restoration (soak, SOAK_RESTORATION_REWRITE, REWRITE_DELAY_MAX_MS);
}

static void
advance_restoration (soak_t *soak)
{
  switch (soak->restoration_step)
    {
    case SOAK_RESTORATION_COPY:
      soak_call_store_admin (soak, "/admin/copy", "");
      for (uint32_t i = 0; i < LOST_VERSIONS; i++)
        soak_publish (soak);
      schedule_restoration (soak, SOAK_RESTORATION_LEAVE, COPY_AGE_MAX_MS);
      return;
    case SOAK_RESTORATION_LEAVE:
      soak_call_store_admin (soak, "/admin/fault", "{\"log\":\"down\"}");
      soak_record_disturbance (soak, RESTORATION_AWAY_MAX_MS);
      schedule_restoration (soak, SOAK_RESTORATION_RETURN, RESTORATION_AWAY_MAX_MS);
      return;
    case SOAK_RESTORATION_RETURN:
      restore_store (soak);
      return;
    case SOAK_RESTORATION_REWRITE:
      if (soak_publish_again (soak))
        schedule_restoration (soak, SOAK_RESTORATION_COPY, RESTORATION_PAUSE_MAX_MS);
      else
        {
          soak_record_disturbance (soak, REWRITE_DELAY_MAX_MS);
          schedule_restoration (soak, SOAK_RESTORATION_REWRITE, REWRITE_DELAY_MAX_MS);
        }
    }
}

void
soak_poll_restoration (soak_t *soak)
{
  if (soak->restorations && soak_now_us () >= soak->restoration_us)
    advance_restoration (soak);
}

void
soak_inject_fault (soak_t *soak)
{
  uint32_t gateway = soak_random (soak, soak->gateway_count);
  uint32_t upstream = soak_random (soak, SOAK_UPSTREAMS);

  uint32_t fault = soak_random (soak, 8);

  /* The promise on streams after losses is about versions that have upstreams. */
  if (soak->losses.enabled && upstream < SOAK_STREAM_UPSTREAMS &&
      (fault == 2 || fault == 3 || fault == 5))
    return;
  switch (fault)
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
      soak_publish (soak);
    }
}

static void
resume_now (soak_process_t *process)
{
  if (process->resume_at_us != 0)
    process->resume_at_us = 1;
}

void
soak_end_faults (soak_t *soak)
{
  for (uint32_t i = 0; i < soak->gateway_count; i++)
    soak_proxy_set_mode (soak->store_proxies[i], SOAK_PROXY_PASS);
  for (uint32_t i = 0; i < soak->upstream_count; i++)
    soak_proxy_set_mode (soak->upstream_proxies[i], SOAK_PROXY_PASS);
  soak_call_store_admin (soak, "/admin/fault", "{\"log\":\"up\"}");
  if (soak->restorations && soak->restoration_step == SOAK_RESTORATION_RETURN)
    restore_store (soak);
  if (soak->restorations && !soak_publish_again (soak))
    soak_fail (soak, "the store does not take the newest configuration");
  if (soak->restorations)
    soak_publish (soak);
  soak->restorations = false;
  soak_for_each_process (soak, resume_now);
  soak_log (soak, "healed");
}
