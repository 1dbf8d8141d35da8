#include "request/router/router_private.h"

#include "request/policy/digests/call_seal.h"

#include <event2/http.h>
#include <inttypes.h>

#define TARGET_BYTES 160

static http_client_call_t *
post_order (router_t *router,
            const membership_host_t *host,
            const address_t *address,
            const char *target,
            const http_client_options_t *handlers)
{
  char seal[CALL_SEAL_BYTES];
  http_client_header_t header = { .name = CALL_SEAL_HEADER, .value = seal };
  http_client_options_t options = *handlers;

  call_seal_compute (&(sealed_call_t){ .host = host->name, .method = "POST", .target = target },
                     router->daemon->settings.fleet_key, seal);
  options.address = address;
  options.method = "POST";
  options.target = target;
  options.headers = &header;
  options.header_count = 1;
  data_task_count_control_bytes (router->data_task, DATA_TASK_CALL_OVERHEAD_BYTES);
  return http_client_start_call (router->http_client, &options);
}

static void
discard_data (struct evbuffer *data, void *context)
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
ignore_end (const http_client_result_t *end, void *context)
{
  (void)end;
  (void)context;
}

static const http_client_options_t IGNORE_ANSWER = { .timeout_us = ROUTER_NOTIFY_TIMEOUT_US,
                                                     .on_head = ignore_head,
                                                     .on_data = discard_data,
                                                     .on_end = ignore_end };

static bool
on_revoke_head (int status, struct evkeyvalq *headers, void *context)
{
  router_call_t *call = context;
  const char *incarnation = evhttp_find_header (headers, HOP_INCARNATION_HEADER);
  uint64_t answered = incarnation != NULL ? g_ascii_strtoull (incarnation, NULL, 10) : 0;

  /* A sidecar that restarted does not know which attempts its predecessor passed to the engine, so
   * its "not run" must be ignored. */
  if (status == 200 && answered != 0 && answered == call->sent_incarnation)
    call->revoke_verdict = verdict_from_string (evhttp_find_header (headers, VERDICT_HEADER));
  return true;
}

static void
on_revoke_end (const http_client_result_t *end, void *context)
{
  router_call_t *call = context;
  router_t *router = call->router;
  verdict_t verdict = end->complete ? call->revoke_verdict : VERDICT_MAY_HAVE_RUN;
  uint32_t retries = call->attempts.retries;
  forwarding_step_t step;

  call->revoke_request = NULL;
  step = forwarding_revoked (&call->attempts, data_task_now_us (router->data_task),
                             &router->retry_budget, verdict);
  counter_add (router->retries, call->attempts.retries - retries);
  router_call_take_step (call, step);
}

/* revoke_target() - formats the request target of a revoke
 *
 * A revoke is sent to the address that the hop was sent to. A host that is replaced keeps its name,
 * and the router may learn the successor's incarnation before the member list has its address. The
 * hop would then go to the predecessor and the revoke to the successor, whose "not run" would be
 * accepted because its incarnation matches, and the request could run twice. At the old address, a
 * predecessor that still listens answers with another incarnation, which is not accepted. */
static void
revoke_target (const router_call_t *call, char out[TARGET_BYTES])
{
  uint64_t age_us = data_task_now_us (call->router->data_task) - call->sent_us;

  g_snprintf (out, TARGET_BYTES, "%s?attempt=%s&age_ms=%" PRIu64, HOP_REVOKE_PATH,
              call->attempt_text, age_us / CLOCK_US_PER_MS + 1);
}

void
router_revoke (router_call_t *call, const membership_host_t *host)
{
  http_client_options_t handlers = { .timeout_us = ROUTER_REVOKE_TIMEOUT_US,
                                     .on_head = on_revoke_head,
                                     .on_data = discard_data,
                                     .on_end = on_revoke_end,
                                     .context = call };
  char target[TARGET_BYTES];

  revoke_target (call, target);
  call->revoke_verdict = VERDICT_MAY_HAVE_RUN;
  counter_add (call->router->revokes, 1);
  call->revoke_request = post_order (call->router, host, &call->sent_address, target, &handlers);
}

void
router_revoke_and_forget (router_call_t *call)
{
  const membership_host_t *host = membership_find_by_hash (
      data_task_members (call->router->data_task), call->attempts.last_engine);
  char target[TARGET_BYTES];

  if (host == NULL)
    return;
  revoke_target (call, target);
  counter_add (call->router->revokes, 1);
  post_order (call->router, host, &call->sent_address, target, &IGNORE_ANSWER);
}

void
router_send_served_hint (router_call_t *call, uint64_t engine_hash)
{
  router_t *router = call->router;
  uint64_t chat_hash = call->hop.chat_hash;
  uint64_t now_us = data_task_now_us (router->data_task);
  router_hint_t *hint = &router->served_hints[chat_hash % ROUTER_HINT_ENTRIES];
  const membership_host_t *home = router_find_host (router, call->hop.home_hash);
  bool already_sent = hint->chat_hash == chat_hash && hint->engine_hash == engine_hash &&
                      now_us < hint->sent_us + ROUTER_HINT_TTL_US;
  char target[TARGET_BYTES];

  if (!call->hop.has_chat)
    return;
  if (engine_hash == call->hop.home_hash)
    {
      /* The home served the chat itself, so the earlier hint no longer holds. */
      if (hint->chat_hash == chat_hash)
        hint->sent_us = 0;
      return;
    }
  /* In a surge most chats are served by engines other than their homes, and hints were 10,000 of
   * the 21,000 bytes a second that a router sent. Without a hint the home does not refer the chat
   * to the engine that has it cached; that costs less than exceeding the control budget. */
  if (already_sent || home == NULL ||
      !byte_budget_take (&router->control_budget, now_us, DATA_TASK_CALL_OVERHEAD_BYTES))
    return;
  *hint = (router_hint_t){ .chat_hash = chat_hash, .engine_hash = engine_hash, .sent_us = now_us };
  g_snprintf (target, sizeof target, "%s?chat=%016" PRIx64 "&engine=%016" PRIx64, HOP_SERVED_PATH,
              chat_hash, engine_hash);
  counter_add (router->served_hints_sent, 1);
  post_order (router, home, &home->http, target, &IGNORE_ANSWER);
}
