#include "request/router/router_private.h"

#include "base/log.h"

#define PROBE_TARGET "/livez"

/**
 * struct router_host_probe - whether the host of a sidecar is frozen
 * @last_heard_us: when the host last answered a request or a health check
 * @probe_started_us: when the latest health check was sent
 * @request: the health check under way, or NULL
 */
struct router_host_probe
{
  router_t *router;
  uint64_t host_hash;
  uint64_t last_heard_us;
  uint64_t probe_started_us;
  http_client_call_t *request;
};

static router_host_probe_t *
find_or_add (router_t *router, uint64_t host_hash)
{
  router_host_probe_t *host_probe = g_hash_table_lookup (router->host_probes, &host_hash);

  if (host_probe != NULL)
    return host_probe;
  host_probe = g_new0 (router_host_probe_t, 1);
  host_probe->router = router;
  host_probe->host_hash = host_hash;
  g_hash_table_insert (router->host_probes, &host_probe->host_hash, host_probe);
  return host_probe;
}

/* waits_for_host() - whether a request waits for the host and may be sent to another one
 *
 * A non-idempotent request keeps waiting, since it must not run twice. If its host resumes before
 * the deadline, the sidecar refuses the request as not run. */
static bool
waits_for_host (const router_host_probe_t *host_probe, const router_call_t *call)
{
  return call->outbound != NULL && !call->answer.received && call->hop.idempotent &&
         call->attempts.last_engine == host_probe->host_hash &&
         call->sent_us <= host_probe->probe_started_us;
}

static void
fail_waiting_calls (router_host_probe_t *host_probe)
{
  static const forwarding_outcome_t HOST_FROZEN = { .verdict = VERDICT_MAY_HAVE_RUN,
                                                    .reason = VERDICT_REASON_TIMEOUT };
  GQueue waiting_calls = G_QUEUE_INIT;
  router_call_t *call;

  for (GList *link = host_probe->router->calls.head; link != NULL; link = link->next)
    if (waits_for_host (host_probe, link->data))
      g_queue_push_tail (&waiting_calls, link->data);
  log_event (LOG_LEVEL_WARNING, "host_frozen", "host", LOG_HEX (host_probe->host_hash), "requests",
             LOG_U64 (waiting_calls.length), NULL);
  while ((call = g_queue_pop_head (&waiting_calls)) != NULL)
    {
      router_revoke_and_forget (call);
      router_hop_cancel (call);
      router_call_handle_outcome (call, &HOST_FROZEN);
    }
}

static bool
on_head (int status, struct evkeyvalq *headers, void *context)
{
  (void)status;
  (void)headers;
  (void)context;
  return true;
}

static void
on_end (const http_client_result_t *end, void *context)
{
  router_host_probe_t *host_probe = context;
  router_t *router = host_probe->router;

  host_probe->request = NULL;
  if (end->complete)
    {
      host_probe->last_heard_us = data_task_now_us (router->data_task);
      return;
    }
  /* Only a timeout shows that the host is frozen. A host that stops gracefully refuses connections
   * while it finishes its requests, and a process that ended has closed its connections already. */
  if (end->reason != VERDICT_REASON_TIMEOUT)
    return;
  health_record_failure (router->health, data_task_now_us (router->data_task),
                         host_probe->host_hash);
  fail_waiting_calls (host_probe);
}

void
router_host_probe_free (router_host_probe_t *host_probe)
{
  if (host_probe->request != NULL)
    http_client_cancel_call (host_probe->request);
  g_free (host_probe);
}

/* Hosts that answer other requests need no health checks. In a surge, when requests wait for long
 * at all hosts, the health checks took 8,300 bytes a second of a router. */
void
router_host_probe_record_answer (router_t *router, uint64_t host_hash)
{
  find_or_add (router, host_hash)->last_heard_us = data_task_now_us (router->data_task);
}

void
router_host_probe_check (router_call_t *call)
{
  router_t *router = call->router;
  uint64_t now_us = data_task_now_us (router->data_task);
  router_host_probe_t *host_probe = find_or_add (router, call->attempts.last_engine);
  const membership_host_t *host =
      membership_find_by_hash (data_task_members (router->data_task), call->attempts.last_engine);
  http_client_options_t options = { .method = "GET",
                                    .target = PROBE_TARGET,
                                    .timeout_us = ROUTER_HOST_PROBE_TIMEOUT_US,
                                    .on_head = on_head,
                                    .on_end = on_end,
                                    .context = host_probe };

  if (host == NULL || host_probe->request != NULL ||
      now_us < host_probe->last_heard_us + ROUTER_HOST_PROBE_DELAY_US)
    return;
  options.address = &host->http;
  host_probe->probe_started_us = now_us;
  counter_add (router->probes, 1);
  data_task_count_control_bytes (router->data_task, DATA_TASK_CALL_OVERHEAD_BYTES);
  host_probe->request = http_client_start_call (router->http_client, &options);
}
