#include "request/router/router_private.h"

#include "base/log.h"

#define PROBE_TARGET "/livez"

/** struct rtr_watch - what is known of one sidecar's host while requests there are quiet */
struct rtr_watch
{
  rtr_t *rtr;
  uint64_t host_hash;
  uint64_t alive_us;
  uint64_t probe_us;
  hcl_call_t *probe;
};

static rtr_watch_t *
find_or_add (rtr_t *rtr, uint64_t host_hash)
{
  rtr_watch_t *watch = g_hash_table_lookup (rtr->watches, &host_hash);

  if (watch != NULL)
    return watch;
  watch = g_new0 (rtr_watch_t, 1);
  watch->rtr = rtr;
  watch->host_hash = host_hash;
  g_hash_table_insert (rtr->watches, &watch->host_hash, watch);
  return watch;
}

/* is_stuck() - a non-idempotent request may not go elsewhere, so it waits: its host may wake before
 * the deadline, and refuses it then as not run */
static bool
is_stuck (const rtr_watch_t *watch, const rtr_call_t *call)
{
  return call->out != NULL && !call->answer.came && call->hop.idempotent &&
         call->att.last_engine == watch->host_hash && call->sent_us <= watch->probe_us;
}

static void
lose_stuck (rtr_watch_t *watch)
{
  static const att_outcome_t FROZEN = { .verdict = VRD_MAY_HAVE_RUN, .reason = VRD_REASON_TIMEOUT };
  GQueue stuck = G_QUEUE_INIT;
  rtr_call_t *call;

  for (GList *link = watch->rtr->calls.head; link != NULL; link = link->next)
    if (is_stuck (watch, link->data))
      g_queue_push_tail (&stuck, link->data);
  log_event (LOG_LEVEL_WARNING, "host_frozen", "host", LOG_HEX (watch->host_hash), "requests",
             LOG_U64 (stuck.length), NULL);
  while ((call = g_queue_pop_head (&stuck)) != NULL)
    {
      rtr_revoke_unheard (call);
      rtr_hop_drop (call);
      rtr_call_ended (call, &FROZEN);
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
on_end (const hcl_end_t *end, void *context)
{
  rtr_watch_t *watch = context;
  rtr_t *rtr = watch->rtr;

  watch->probe = NULL;
  if (end->whole)
    {
      watch->alive_us = ops_now_us (rtr->ops);
      return;
    }
  /* A host that stops gracefully no longer listens, but serves what it has; and one whose process
   * is gone has cut its requests already. Only silence tells of a frozen one. */
  if (end->reason != VRD_REASON_TIMEOUT)
    return;
  hlt_failure (rtr->hlt, ops_now_us (rtr->ops), watch->host_hash);
  lose_stuck (watch);
}

void
rtr_watch_free (rtr_watch_t *watch)
{
  if (watch->probe != NULL)
    hcl_cancel (watch->probe);
  g_free (watch);
}

/* Hosts that answer other requests all the time need not be asked: in a surge, when requests wait
 * for long at all of them, that was 8,300 bytes a second of a router. */
void
rtr_watch_heard (rtr_t *rtr, uint64_t host_hash)
{
  find_or_add (rtr, host_hash)->alive_us = ops_now_us (rtr->ops);
}

void
rtr_watch_quiet (rtr_call_t *call)
{
  rtr_t *rtr = call->rtr;
  uint64_t now_us = ops_now_us (rtr->ops);
  rtr_watch_t *watch = find_or_add (rtr, call->att.last_engine);
  const mem_host_t *host = mem_find_hash (ops_members (rtr->ops), call->att.last_engine);
  hcl_options_t options = { .method = "GET",
                            .target = PROBE_TARGET,
                            .timeout_us = RTR_PROBE_TIMEOUT_US,
                            .on_head = on_head,
                            .on_end = on_end,
                            .context = watch };

  if (host == NULL || watch->probe != NULL || now_us < watch->alive_us + RTR_QUIET_US)
    return;
  options.address = &host->http;
  watch->probe_us = now_us;
  cnt_add (rtr->probes, 1);
  ops_count_control (rtr->ops, OPS_CALL_BYTES);
  watch->probe = hcl_start (rtr->hcl, &options);
}
