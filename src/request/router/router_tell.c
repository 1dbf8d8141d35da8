#include "request/router/router_private.h"

#include "request/policy/order.h"

#include <event2/http.h>
#include <inttypes.h>

#define TARGET_BYTES 160

static hcl_call_t *
post_order (rtr_t *rtr,
            const mem_host_t *host,
            const set_address_t *address,
            const char *target,
            const hcl_options_t *handlers)
{
  char seal[ORD_SEAL_BYTES];
  hcl_header_t header = { .name = ORD_SEAL_HEADER, .value = seal };
  hcl_options_t options = *handlers;

  ord_seal (&(ord_t){ .host = host->name, .method = "POST", .target = target },
            rtr->dmn->set.fleet_key, seal);
  options.address = address;
  options.method = "POST";
  options.target = target;
  options.headers = &header;
  options.header_count = 1;
  ops_count_control (rtr->ops, OPS_CALL_BYTES);
  return hcl_start (rtr->hcl, &options);
}

static void
drain (struct evbuffer *data, void *context)
{
  (void)context;
  evbuffer_drain (data, evbuffer_get_length (data));
}

static bool
ignore_head (int status, struct evkeyvalq *headers, void *context)
{
  (void)status;
  (void)headers;
  (void)context;
  return true;
}

static void
ignore_end (const hcl_end_t *end, void *context)
{
  (void)end;
  (void)context;
}

static const hcl_options_t UNHEARD = {
  .timeout_us = RTR_TELL_TIMEOUT_US, .on_head = ignore_head, .on_data = drain, .on_end = ignore_end
};

static bool
on_revoke_head (int status, struct evkeyvalq *headers, void *context)
{
  rtr_call_t *call = context;
  const char *incarnation = evhttp_find_header (headers, HOP_INCARNATION_HEADER);
  uint64_t answered = incarnation != NULL ? g_ascii_strtoull (incarnation, NULL, 10) : 0;

  /* A sidecar that restarted knows nothing of what its predecessor passed on: its "never seen" must
   * not be taken for "not run". */
  if (status == 200 && answered != 0 && answered == call->sent_incarnation)
    call->revoke_verdict = vrd_parse (evhttp_find_header (headers, VRD_HEADER));
  return true;
}

static void
on_revoke_end (const hcl_end_t *end, void *context)
{
  rtr_call_t *call = context;
  rtr_t *rtr = call->rtr;
  vrd_t verdict = end->whole ? call->revoke_verdict : VRD_MAY_HAVE_RUN;
  uint32_t retries = call->att.retries;
  att_step_t step;

  call->aside = NULL;
  step = att_revoked (&call->att, ops_now_us (rtr->ops), &rtr->budget, verdict);
  cnt_add (rtr->retries, call->att.retries - retries);
  rtr_call_step (call, step);
}

/* A revoke goes where the hop went. A host that is replaced keeps its name: the router may hear of
 * the successor before the list tells its address, send to the predecessor and ask the successor,
 * whose "never seen" would be believed, as the incarnation is the one that was known. A predecessor
 * that still listens there answers with another incarnation. */
static void
revoke_target (const rtr_call_t *call, char out[TARGET_BYTES])
{
  uint64_t age_us = ops_now_us (call->rtr->ops) - call->sent_us;

  g_snprintf (out, TARGET_BYTES, "%s?attempt=%s&age_ms=%" PRIu64, HOP_REVOKE_PATH,
              call->attempt_text, age_us / CLK_US_PER_MS + 1);
}

void
rtr_revoke (rtr_call_t *call, const mem_host_t *host)
{
  hcl_options_t handlers = { .timeout_us = RTR_REVOKE_TIMEOUT_US,
                             .on_head = on_revoke_head,
                             .on_data = drain,
                             .on_end = on_revoke_end,
                             .context = call };
  char target[TARGET_BYTES];

  revoke_target (call, target);
  call->revoke_verdict = VRD_MAY_HAVE_RUN;
  cnt_add (call->rtr->revokes, 1);
  call->aside = post_order (call->rtr, host, &call->sent_to, target, &handlers);
}

void
rtr_revoke_unheard (rtr_call_t *call)
{
  const mem_host_t *host = mem_find_hash (ops_members (call->rtr->ops), call->att.last_engine);
  char target[TARGET_BYTES];

  if (host == NULL)
    return;
  revoke_target (call, target);
  cnt_add (call->rtr->revokes, 1);
  post_order (call->rtr, host, &call->sent_to, target, &UNHEARD);
}

void
rtr_tell_served (rtr_call_t *call, uint64_t engine_hash)
{
  rtr_t *rtr = call->rtr;
  uint64_t chat_hash = call->hop.chat_hash;
  uint64_t now_us = ops_now_us (rtr->ops);
  rtr_told_t *told = &rtr->told[chat_hash % RTR_TOLD_ENTRIES];
  const mem_host_t *home = rtr_host (rtr, call->hop.home_hash);
  bool known = told->chat_hash == chat_hash && told->engine_hash == engine_hash &&
               now_us < told->told_us + RTR_TOLD_US;
  char target[TARGET_BYTES];

  if (!call->hop.has_chat)
    return;
  if (engine_hash == call->hop.home_hash)
    {
      /* It saw for itself; what it was told before no longer stands. */
      if (told->chat_hash == chat_hash)
        told->told_us = 0;
      return;
    }
  /* In a surge most chats are served away from their homes. A home that was not told refers the
   * chat nowhere, and it is cold there; that is worth less than the control traffic's limit:
   * hints were 10,000 of the 21,000 bytes a second that a router sent. */
  if (known || home == NULL || !bdg_take (&rtr->news_budget, now_us, OPS_CALL_BYTES))
    return;
  *told = (rtr_told_t){ .chat_hash = chat_hash, .engine_hash = engine_hash, .told_us = now_us };
  g_snprintf (target, sizeof target, "%s?chat=%016" PRIx64 "&engine=%016" PRIx64, HOP_SERVED_PATH,
              chat_hash, engine_hash);
  cnt_add (rtr->told_count, 1);
  post_order (rtr, home, &home->http, target, &UNHEARD);
}
