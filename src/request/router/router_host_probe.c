#include "request/router/router_private.h"

#include "base/log.h"

#define PROBE_TARGET "/livez"

static const forwarding_outcome_t HOST_FROZEN = { .verdict = VERDICT_MAY_HAVE_RUN,
                                                  .reason = VERDICT_REASON_TIMEOUT };

static void start_probe (router_host_probe_t *host_probe, const membership_host_t *host);

/**
 * struct router_host_probe - whether the host of a sidecar is frozen
 * @last_heard_us: when the host last answered a request or a health check
 * @probe_started_us: when the latest health check was sent
 * @is_silent: the latest health check was not answered, and nothing was heard since
 * @request: the health check under way, or NULL
 */
struct router_host_probe
{
  router_t *router;
  uint64_t host_hash;
  uint64_t last_heard_us;
  uint64_t probe_started_us;
  bool is_silent;
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

bool
router_host_probe_is_silent (const router_t *router, uint64_t host_hash)
{
  const router_host_probe_t *host_probe = g_hash_table_lookup (router->host_probes, &host_hash);

  return host_probe != NULL && host_probe->is_silent;
}

static void
ask (router_t *router, const membership_host_t *host)
{
  router_host_probe_t *host_probe = find_or_add (router, host->hash);

  if (host_probe->request == NULL)
    start_probe (host_probe, host);
}

/* find_successor() - Return: the host that would get the request if it left its host now, NULL when
 * it would end */
static const membership_host_t *
find_successor (const router_call_t *call)
{
  router_t *router = call->router;
  forwarding_t attempts = call->attempts;
  forwarding_budget_t budget = router->retry_budget;
  uint64_t now_us = data_task_now_us (router->data_task);
  forwarding_step_t step = forwarding_attempt_ended (&attempts, now_us, &budget, &HOST_FROZEN);

  while (step.action == FORWARDING_SEND)
    {
      const membership_host_t *host = router_find_host (router, step.engine_hash);

      if (host != NULL && !router_host_probe_is_silent (router, step.engine_hash))
        return host;
      if (host != NULL)
        ask (router, host); /* its answer moves the request */
      step = forwarding_attempt_ended (&attempts, now_us, &budget, &ROUTER_UNKNOWN_HOST);
    }
  return NULL;
}

/* may_leave() - whether another host is certain to read the request
 *
 * A host that was not heard of lately is asked first; its answer moves the request. */
static bool
may_leave (const router_call_t *call)
{
  router_t *router = call->router;
  const membership_host_t *host = find_successor (call);
  router_host_probe_t *successor;

  if (host == NULL)
    return false;
  successor = find_or_add (router, host->hash);
  if (data_task_now_us (router->data_task) < successor->last_heard_us + ROUTER_HOST_HEARD_US)
    return true;
  ask (router, host);
  return false;
}

static void
leave_host (router_call_t *call)
{
  router_revoke_and_forget (call);
  router_hop_cancel (call);
  call->avoids_silent_hosts = true;
  router_call_handle_outcome (call, &HOST_FROZEN);
}

/* move_waiting_calls() - moves the requests that may leave a silent host. Return: how many */
static uint32_t
move_waiting_calls (router_host_probe_t *host_probe)
{
  GQueue waiting_calls = G_QUEUE_INIT;
  uint32_t moved = 0;
  router_call_t *call;

  for (GList *link = host_probe->router->calls.head; link != NULL; link = link->next)
    if (waits_for_host (host_probe, link->data))
      g_queue_push_tail (&waiting_calls, link->data);
  while ((call = g_queue_pop_head (&waiting_calls)) != NULL)
    if (may_leave (call))
      {
        leave_host (call);
        moved++;
      }
  return moved;
}

static void
note_silence (router_host_probe_t *host_probe)
{
  bool is_news = !host_probe->is_silent;
  uint32_t moved;

  host_probe->is_silent = true;
  moved = move_waiting_calls (host_probe);
  if (is_news || moved > 0)
    log_event (LOG_LEVEL_WARNING, "host_frozen", "host", LOG_HEX (host_probe->host_hash),
               "requests", LOG_U64 (moved), NULL);
}

static void
note_heard (router_host_probe_t *host_probe)
{
  host_probe->last_heard_us = data_task_now_us (host_probe->router->data_task);
  host_probe->is_silent = false;
}

static void
move_from_silent_hosts (router_t *router)
{
  g_autoptr (GList) host_probes = g_hash_table_get_values (router->host_probes);

  for (GList *link = host_probes; link != NULL; link = link->next)
    if (((router_host_probe_t *)link->data)->is_silent)
      move_waiting_calls (link->data);
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
      note_heard (host_probe);
      move_from_silent_hosts (router);
      return;
    }
  /* Only a timeout shows that the host is frozen. A host that stops gracefully refuses connections
   * while it finishes its requests, and a process that ended has closed its connections already. */
  if (end->reason != VERDICT_REASON_TIMEOUT)
    return;
  health_record_failure (router->health, data_task_now_us (router->data_task),
                         host_probe->host_hash);
  note_silence (host_probe);
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
  note_heard (find_or_add (router, host_hash));
}

static void
start_probe (router_host_probe_t *host_probe, const membership_host_t *host)
{
  router_t *router = host_probe->router;
  http_client_options_t options = { .address = &host->http,
                                    .method = "GET",
                                    .target = PROBE_TARGET,
                                    .timeout_us = ROUTER_HOST_PROBE_TIMEOUT_US,
                                    .on_head = on_head,
                                    .on_end = on_end,
                                    .context = host_probe };

  host_probe->probe_started_us = data_task_now_us (router->data_task);
  counter_add (router->probes, 1);
  data_task_count_control_bytes (router->data_task, DATA_TASK_CALL_OVERHEAD_BYTES);
  host_probe->request = http_client_start_call (router->http_client, &options);
}

void
router_host_probe_check (router_call_t *call)
{
  router_t *router = call->router;
  uint64_t now_us = data_task_now_us (router->data_task);
  router_host_probe_t *host_probe = find_or_add (router, call->attempts.last_engine);
  const membership_host_t *host =
      membership_find_by_hash (data_task_members (router->data_task), call->attempts.last_engine);

  if (host == NULL || host_probe->request != NULL ||
      now_us < host_probe->last_heard_us + ROUTER_HOST_PROBE_DELAY_US)
    return;
  start_probe (host_probe, host);
}
