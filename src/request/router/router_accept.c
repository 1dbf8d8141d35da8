#include "request/router/router_private.h"

#include "request/router/chat_body.h"
#include "request/policy/digest.h"
#include "request/fault.h"
#include "request/headers.h"
#include "request/router/target.h"

#include <inttypes.h>
#include <string.h>

#define CLASS_HEADER "X-Class"
#define CHAT_HEADER "X-Chat-Id"
#define KEY_HEADER "Idempotency-Key"
#define DEADLINE_HEADER "X-Deadline-Ms"
#define BYTES_PER_TOKEN 4
#define STALE_RETRY_MS 1000

/** struct objection - why a request is refused before it is placed */
typedef struct
{
  int status;
  const char *code;
  const char *message;
} objection_t;

static bool
object (objection_t *objection, int status, const char *code, const char *message)
{
  *objection = (objection_t){ .status = status, .code = code, .message = message };
  return false;
}

static bool
read_body (rtr_call_t *call, cbd_t *chat, objection_t *objection)
{
  const char *fault;

  call->body = hsv_take_body (call->in, &call->body_bytes);
  if (strcmp (call->method, "POST") != 0 || strcmp (hsv_path (call->in), CBD_PATH) != 0)
    return true;
  fault = cbd_parse (chat, call->body, call->body_bytes);
  return fault == NULL || object (objection, 400, "bad_body", fault);
}

/* The engine must see the path that the route was chosen by: "/look/%2e%2e/book" would be sent
 * twice as a lookup and run twice as a booking, or reach a path that no route opens. */
static bool
check_target (const rtr_call_t *call, objection_t *objection)
{
  return tgt_is_plain (call->target) ||
         object (objection, 400, "bad_target", "the path can be read in more than one way");
}

static bool
find_route (rtr_call_t *call, const cbd_t *chat, objection_t *objection)
{
  const char *model = chat->model[0] != '\0' ? chat->model : NULL;
  const char *class_name = hsv_header (call->in, CLASS_HEADER);
  const man_route_t *route = man_route_for (call->man, call->method, hsv_path (call->in), model);

  if (route == NULL)
    return object (objection, 404, "no_route", "no service is set up for this path and model");
  call->service = &call->man->services[route->service_index];
  call->klass = &call->man->classes[route->class_index];
  call->hop.idempotent = route->idempotent;
  if (class_name == NULL)
    return true;
  call->klass = man_class_named (call->man, class_name);
  return call->klass != NULL ||
         object (objection, 400, "unknown_class", CLASS_HEADER " names no class");
}

static bool
read_deadline (rtr_call_t *call, objection_t *objection)
{
  const char *text = hsv_header (call->in, DEADLINE_HEADER);
  guint64 deadline_ms = call->klass->deadline_ms;
  guint64 given_ms;

  if (text != NULL)
    {
      if (!g_ascii_string_to_unsigned (text, 10, 1, UINT32_MAX, &given_ms, NULL))
        return object (objection, 400, "bad_deadline", DEADLINE_HEADER " is not a number above 0");
      deadline_ms = MIN (deadline_ms, given_ms);
    }
  call->deadline_us = call->arrived_us + deadline_ms * CLK_US_PER_MS;
  return true;
}

static bool
read_chat (rtr_call_t *call, const cbd_t *chat, objection_t *objection)
{
  const char *id = hsv_header (call->in, CHAT_HEADER);

  if (id != NULL)
    {
      if (id[0] == '\0' || strlen (id) >= LIM_CHAT_ID_BYTES)
        return object (objection, 400, "bad_chat_id", CHAT_HEADER " is empty or too long");
      call->hop.chat_hash = plc_hash_chat (call->account->name, id);
      call->hop.has_chat = true;
    }
  else if (chat->opening != NULL)
    {
      call->hop.chat_hash = plc_hash_body (call->account->name, chat->opening, chat->opening_bytes);
      call->hop.has_chat = true;
    }
  return true;
}

static bool
read_key (rtr_call_t *call, objection_t *objection)
{
  const char *key = hsv_header (call->in, KEY_HEADER);

  if (key == NULL || call->hop.idempotent)
    return true;
  if (key[0] == '\0' || strlen (key) >= LIM_KEY_BYTES)
    return object (objection, 400, "bad_key", KEY_HEADER " is empty or too long");
  dgs_key (call->account->name, key, call->hop.key_hash);
  return true;
}

static void
estimate_tokens (rtr_call_t *call, const cbd_t *chat)
{
  uint32_t expected = call->klass->expected_tokens;

  call->hop.prompt_tokens = (uint32_t)(call->body_bytes / BYTES_PER_TOKEN) + 1;
  call->hop.output_tokens = chat->max_tokens != 0 ? MIN (chat->max_tokens, expected) : expected;
}

/* place_hash() - what the request is placed by: a keyed one by its claims stream, so that two
 * sidecars usually have that stream read; a chat by the chat; any other by itself, so that one sent
 * again lands where it is known whether it crashed an engine, until it has been answered. */
static uint64_t
place_hash (const rtr_call_t *call)
{
  char shard[32];

  if (call->hop.key_hash[1] != 0 && call->service->claim_shards > 0)
    {
      g_snprintf (shard, sizeof shard, "shard/%" PRIu64,
                  call->hop.key_hash[0] % call->service->claim_shards);
      return plc_hash_name (shard);
    }
  if (call->hop.has_chat)
    return call->hop.chat_hash;
  if (call->hop.idempotent && prv_has (call->rtr->prv, call->arrived_us, call->hop.fingerprint))
    return call->request_id[0] ^ call->request_id[1];
  return call->hop.fingerprint;
}

static void
fill_hop (rtr_call_t *call, const cbd_t *chat)
{
  hop_t *hop = &call->hop;

  g_strlcpy (hop->service, call->service->name, sizeof hop->service);
  g_strlcpy (hop->account, call->account->name, sizeof hop->account);
  g_strlcpy (hop->class_name, call->klass->name, sizeof hop->class_name);
  hop->version = call->man->version;
  hop->body_hash = dgs_body (call->method, call->target, call->body, call->body_bytes);
  hop->fingerprint = dgs_fingerprint (hop->account, hop->body_hash);
  call->place_hash = place_hash (call);
  rtr_place_find (call, chat->opening != NULL && !chat->returning);
  if (hop->key_hash[1] != 0)
    hop->has_chat = false;
  hop->home_hash = call->place.home_hash;
  hop->former_hash = call->place.former_hash;
  estimate_tokens (call, chat);
}

static void
copy_headers (rtr_call_t *call)
{
  uint32_t limit = call->rtr->dmn->set.header_limit_count;

  call->headers = g_new0 (hcl_header_t, limit);
  call->header_count = hdr_collect (hsv_headers (call->in), call->headers, limit);
  /* The caller may go away while the request still has to be sent on. */
  for (uint32_t i = 0; i < call->header_count; i++)
    {
      call->headers[i].name = g_strdup (call->headers[i].name);
      call->headers[i].value = g_strdup (call->headers[i].value);
    }
}

static bool
judge (rtr_call_t *call, objection_t *objection)
{
  cbd_t chat = { 0 };
  bool fit;

  call->account = ops_account (call->rtr->ops, call->in);
  if (call->account == NULL)
    return object (objection, 401, "unauthorized", "the key of a client account is needed");
  fit = check_target (call, objection) && read_body (call, &chat, objection) &&
        find_route (call, &chat, objection) && read_deadline (call, objection) &&
        read_chat (call, &chat, objection) && read_key (call, objection);
  if (fit)
    {
      fill_hop (call, &chat);
      copy_headers (call);
    }
  cbd_clear (&chat);
  return fit;
}

static rtr_call_t *
call_new (rtr_t *rtr, hsv_call_t *in)
{
  rtr_call_t *call = g_new0 (rtr_call_t, 1);

  call->rtr = rtr;
  call->in = in;
  call->link.data = call;
  g_queue_push_tail_link (&rtr->calls, &call->link);
  call->man = man_ref (ops_man (rtr->ops));
  call->method = g_strdup (hsv_method (in));
  call->target = g_strdup (hsv_target (in));
  call->arrived_us = ops_now_us (rtr->ops);
  call->timer = evtimer_new (rtr->base, rtr_hop_timer, call);
  rtr->id_low += 0x100; /* the lowest byte counts the hops */
  call->request_id[0] = rtr->id_high;
  call->request_id[1] = rtr->id_low;
  hop_attempt_text (call->request_id, call->request_text);
  rly_init (&call->rly, in);
  return call;
}

void
rtr_accept (hsv_call_t *in, void *context)
{
  rtr_t *rtr = context;
  objection_t objection;
  rtr_call_t *call;

  if (ops_stale (rtr->ops) || ops_man (rtr->ops) == NULL || ops_members (rtr->ops) == NULL)
    {
      flt_reply (in, &(flt_t){ .verdict = VRD_NOT_RUN,
                               .reason = VRD_REASON_STALE,
                               .retry_after_ms = STALE_RETRY_MS });
      return;
    }
  call = call_new (rtr, in);
  if (judge (call, &objection))
    {
      rtr_call_start (call);
      return;
    }
  flt_bad_request (in, objection.status, objection.code, objection.message);
  rtr_call_free (call);
}
