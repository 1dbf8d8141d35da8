#include "request/router/router_private.h"

#include "request/router/chat_body.h"
#include "request/policy/digests/digest.h"
#include "request/error_reply.h"
#include "request/header_filter.h"
#include "request/router/request_target.h"

#include <inttypes.h>
#include <string.h>

#define CLASS_HEADER "X-Class"
#define CHAT_HEADER "X-Chat-Id"
#define KEY_HEADER "Idempotency-Key"
#define DEADLINE_HEADER "X-Deadline-Ms"
#define BYTES_PER_TOKEN 4
#define STALE_RETRY_AFTER_MS 1000
#define LEAVING_RETRY_AFTER_MS 100 /* at another router */

/** struct rejection - the error answer to a request that is not valid */
typedef struct
{
  int status;
  const char *code;
  const char *message;
} rejection_t;

static bool
reject (rejection_t *rejection, int status, const char *code, const char *message)
{
  *rejection = (rejection_t){ .status = status, .code = code, .message = message };
  return false;
}

static bool
read_body (router_call_t *call, chat_body_t *chat, rejection_t *rejection)
{
  const char *fault;

  call->body = http_server_take_body (call->inbound, &call->body_bytes);
  if (strcmp (call->method, "POST") != 0 ||
      strcmp (http_server_path (call->inbound), CHAT_BODY_PATH) != 0)
    return true;
  fault = chat_body_parse (chat, call->body, call->body_bytes);
  return fault == NULL || reject (rejection, 400, "bad_body", fault);
}

/* check_target() - refuses a path that the engine may read differently than the router
 *
 * With "/look/%2e%2e/book", the router would match the idempotent route "/look*" and repeat the
 * request, while the engine ran the non-idempotent "/book" twice, or served a path that has no
 * route. */
static bool
check_target (const router_call_t *call, rejection_t *rejection)
{
  return request_target_is_unambiguous (call->target) ||
         reject (rejection, 400, "bad_target", "the path can be read in more than one way");
}

static bool
find_route (router_call_t *call, const chat_body_t *chat, rejection_t *rejection)
{
  const char *model = chat->model[0] != '\0' ? chat->model : NULL;
  const char *class_name = http_server_request_header (call->inbound, CLASS_HEADER);
  const manifest_route_t *route =
      manifest_find_route (call->manifest, call->method, http_server_path (call->inbound), model);

  if (route == NULL)
    return reject (rejection, 404, "no_route", "no service is set up for this path and model");
  call->service = &call->manifest->services[route->service_index];
  call->request_class = &call->manifest->classes[route->class_index];
  call->hop.idempotent = route->idempotent;
  if (class_name == NULL)
    return true;
  call->request_class = manifest_find_class (call->manifest, class_name);
  return call->request_class != NULL ||
         reject (rejection, 400, "unknown_class", CLASS_HEADER " names no class");
}

static bool
read_deadline (router_call_t *call, rejection_t *rejection)
{
  const char *text = http_server_request_header (call->inbound, DEADLINE_HEADER);
  guint64 deadline_ms = call->request_class->deadline_ms;
  guint64 given_ms;

  if (text != NULL)
    {
      if (!g_ascii_string_to_unsigned (text, 10, 1, UINT32_MAX, &given_ms, NULL))
        return reject (rejection, 400, "bad_deadline", DEADLINE_HEADER " is not a number above 0");
      deadline_ms = MIN (deadline_ms, given_ms);
    }
  call->deadline_us = call->arrived_us + deadline_ms * CLOCK_US_PER_MS;
  return true;
}

static bool
read_chat (router_call_t *call, const chat_body_t *chat, rejection_t *rejection)
{
  const char *id = http_server_request_header (call->inbound, CHAT_HEADER);

  if (id != NULL)
    {
      if (id[0] == '\0' || strlen (id) >= LIMIT_CHAT_ID_BYTES)
        return reject (rejection, 400, "bad_chat_id", CHAT_HEADER " is empty or too long");
      call->hop.chat_hash = rendezvous_hash_chat (call->account->name, id);
      call->hop.has_chat = true;
    }
  else if (chat->opening != NULL)
    {
      call->hop.chat_hash =
          rendezvous_hash_body (call->account->name, chat->opening, chat->opening_bytes);
      call->hop.has_chat = true;
    }
  return true;
}

static bool
read_key (router_call_t *call, rejection_t *rejection)
{
  const char *key = http_server_request_header (call->inbound, KEY_HEADER);

  if (key == NULL || call->hop.idempotent)
    return true;
  if (key[0] == '\0' || strlen (key) >= LIMIT_IDEMPOTENCY_KEY_BYTES)
    return reject (rejection, 400, "bad_key", KEY_HEADER " is empty or too long");
  digest_idempotency_key (call->account->name, key, call->hop.key_hash);
  return true;
}

static void
estimate_tokens (router_call_t *call, const chat_body_t *chat)
{
  uint32_t expected = call->request_class->expected_tokens;

  call->hop.prompt_tokens = (uint32_t)(call->body_bytes / BYTES_PER_TOKEN) + 1;
  call->hop.output_tokens = chat->max_tokens != 0 ? MIN (chat->max_tokens, expected) : expected;
}

/* placement_hash() - what the candidates of a request are chosen by
 *
 * A request with an idempotency key uses its claims stream, so that usually only two sidecars have
 * to read that stream. A chat uses the chat. Any other request uses its fingerprint, so that when
 * it is sent again it reaches the sidecars that know whether it crashed an engine. An idempotent
 * request that was answered recently is placed at random, so that repetitions use all engines. */
static uint64_t
placement_hash (const router_call_t *call)
{
  char shard[32];

  if (call->hop.key_hash[1] != 0 && call->service->claim_shards > 0)
    {
      g_snprintf (shard, sizeof shard, "shard/%" PRIu64,
                  call->hop.key_hash[0] % call->service->claim_shards);
      return rendezvous_hash_name (shard);
    }
  if (call->hop.has_chat)
    return call->hop.chat_hash;
  if (call->hop.idempotent && recent_answers_contain (call->router->answered_requests,
                                                      call->arrived_us, call->hop.fingerprint))
    return call->request_id[0] ^ call->request_id[1];
  return call->hop.fingerprint;
}

static void
fill_hop (router_call_t *call, const chat_body_t *chat)
{
  hop_t *hop = &call->hop;

  g_strlcpy (hop->service, call->service->name, sizeof hop->service);
  g_strlcpy (hop->account, call->account->name, sizeof hop->account);
  g_strlcpy (hop->class_name, call->request_class->name, sizeof hop->class_name);
  hop->version = call->manifest->version;
  hop->body_hash = digest_request (call->method, call->target, call->body, call->body_bytes);
  hop->fingerprint = digest_fingerprint (hop->account, hop->body_hash);
  call->placement_hash = placement_hash (call);
  router_find_candidates (call, chat->opening != NULL && !chat->returning);
  if (hop->key_hash[1] != 0)
    hop->has_chat = false;
  hop->home_hash = call->placement.home_hash;
  hop->former_home_hash = call->placement.former_home_hash;
  estimate_tokens (call, chat);
}

static void
copy_headers (router_call_t *call)
{
  uint32_t limit = call->router->daemon->settings.header_limit_count;

  call->headers = g_new0 (http_client_header_t, limit);
  call->header_count =
      header_collect_forwarded (http_server_request_headers (call->inbound), call->headers, limit);
  /* Copied, because a non-idempotent request continues after its caller disconnects. */
  for (uint32_t i = 0; i < call->header_count; i++)
    {
      call->headers[i].name = g_strdup (call->headers[i].name);
      call->headers[i].value = g_strdup (call->headers[i].value);
    }
}

static bool
validate (router_call_t *call, rejection_t *rejection)
{
  chat_body_t chat = { 0 };
  bool valid;

  call->account = data_task_find_account (call->router->data_task, call->inbound);
  if (call->account == NULL)
    return reject (rejection, 401, "unauthorized", "the key of a client account is needed");
  valid = check_target (call, rejection) && read_body (call, &chat, rejection) &&
          find_route (call, &chat, rejection) && read_deadline (call, rejection) &&
          read_chat (call, &chat, rejection) && read_key (call, rejection);
  if (valid)
    {
      fill_hop (call, &chat);
      copy_headers (call);
    }
  chat_body_clear (&chat);
  return valid;
}

static router_call_t *
call_new (router_t *router, http_server_call_t *inbound)
{
  router_call_t *call = g_new0 (router_call_t, 1);

  call->router = router;
  call->inbound = inbound;
  call->link.data = call;
  g_queue_push_tail_link (&router->calls, &call->link);
  call->manifest = manifest_ref (data_task_manifest (router->data_task));
  call->method = g_strdup (http_server_method (inbound));
  call->target = g_strdup (http_server_target (inbound));
  call->arrived_us = data_task_now_us (router->data_task);
  call->timer = evtimer_new (router->base, router_hop_on_timer, call);
  router->request_id_low += 0x100; /* the lowest byte is the number of the hop */
  call->request_id[0] = router->request_id_high;
  call->request_id[1] = router->request_id_low;
  hop_format_attempt (call->request_id, call->request_text);
  relay_init (&call->relay, inbound);
  return call;
}

void
router_accept (http_server_call_t *inbound, void *context)
{
  router_t *router = context;
  rejection_t rejection;
  router_call_t *call;

  /* It came on an open connection; the process may be killed before it has run. */
  if (!data_task_takes_requests (router->data_task))
    {
      error_reply_send (inbound, &(error_reply_t){ .verdict = VERDICT_NOT_RUN,
                                                   .reason = VERDICT_REASON_LEAVING,
                                                   .retry_after_ms = LEAVING_RETRY_AFTER_MS });
      return;
    }
  if (data_task_is_stale (router->data_task) || data_task_manifest (router->data_task) == NULL ||
      data_task_members (router->data_task) == NULL)
    {
      error_reply_send (inbound, &(error_reply_t){ .verdict = VERDICT_NOT_RUN,
                                                   .reason = VERDICT_REASON_STALE,
                                                   .retry_after_ms = STALE_RETRY_AFTER_MS });
      return;
    }
  call = call_new (router, inbound);
  if (validate (call, &rejection))
    {
      router_call_start (call);
      return;
    }
  error_reply_reject (inbound, rejection.status, rejection.code, rejection.message);
  router_call_free (call);
}
