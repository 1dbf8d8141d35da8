#include "process/gateway_fetch.h"

#include "connection/http_client.h"
#include "base/clock.h"

#include <event2/http.h>
#include <string.h>

#define SEAL_PURPOSE "medlarplank view answer"
#define IDLE_CONNECTIONS_MAX 2
#define IDLE_TIMEOUT_MS 10000
#define STATUS_OK 200
#define STATUS_REFUSED 503
/* Query parameters: the requester's control address, sent by gateway_fetch_all(); present when
 * records of any size are wanted. */
#define CONTROL_QUERY "control"
#define ANY_SIZE_QUERY "any_size"
/* Headers of an answer to gateway_fetch_all(). */
#define STORE_AGE_HEADER "X-Medlarplank-Store-Age-Ms"
#define REFUSAL_HEADER "X-Medlarplank-Refusal"
#define REFERRAL_HEADER "X-Medlarplank-Elsewhere"
#define AGE_BYTES 12 /* a uint32_t in decimal with its terminator */

/**
 * struct answer_cache - the last encoded answer; many requesters lack the same records
 * @from: for each stream, the requester's next position
 * @next: for each stream, the next position here; all zero where the requester lacked nothing
 * @revision: likewise, the revision of the view
 * @max_value_bytes: likewise, the size limit that applied
 * @settled: as in the answer
 * @body: the encoded answer; NULL before the first one
 */
typedef struct
{
  position_t from[GATEWAY_FETCH_STREAMS_MAX];
  position_t next[GATEWAY_FETCH_STREAMS_MAX];
  uint64_t revision[GATEWAY_FETCH_STREAMS_MAX];
  size_t max_value_bytes[GATEWAY_FETCH_STREAMS_MAX];
  bool settled;
  char *body;
} answer_cache_t;

/**
 * struct gateway_fetch - requests to other gateways, and answers to theirs
 * @call: the fetch in progress, NULL for none; the fields from @peer to @referral belong to it
 * @seal: authentication code of the answer
 * @age: age header of the answer, empty without one
 * @fetching_all: it is one of gateway_fetch_all()
 * @server: limits how many starting gateways are served at once
 * @cached: the last answer to another gateway
 */
struct gateway_fetch
{
  gateway_fetch_options_t options;
  http_client_t *http_client;
  http_client_call_t *call;
  address_t peer;
  struct evbuffer *body;
  char nonce[ANSWER_SEAL_NONCE_BYTES];
  char seal[ANSWER_SEAL_BYTES];
  char age[AGE_BYTES];
  bool fetching_all;
  bootstrap_refusal_t refusal;
  address_t referral;
  bootstrap_server_t server;
  answer_cache_t cached;
};

static const char *const refusal_names[] = {
  [BOOTSTRAP_BUSY] = "busy", [BOOTSTRAP_EMPTY] = "cold", [BOOTSTRAP_TOO_LARGE] = "large"
};

/* The authentication code also covers the age header; @age is empty where there is none. */
static void
make_seal (const gateway_fetch_t *fetch,
           const char *nonce,
           const char *age,
           const char *body,
           size_t body_bytes,
           char out[ANSWER_SEAL_BYTES])
{
  g_autofree char *nonce_and_age = g_strconcat (nonce, age, NULL);

  answer_seal_compute (fetch->options.fleet_key, SEAL_PURPOSE, nonce_and_age, body, body_bytes,
                       out);
}

/* Refusals are not authenticated: a forged one can only make this gateway ask another one, or read
 * the store. */
static void
read_refusal (gateway_fetch_t *fetch, struct evkeyvalq *headers)
{
  const char *refusal = evhttp_find_header (headers, REFUSAL_HEADER);
  const char *referral = evhttp_find_header (headers, REFERRAL_HEADER);

  for (uint32_t i = 0; refusal && i < G_N_ELEMENTS (refusal_names); i++)
    if (strcmp (refusal, refusal_names[i]) == 0)
      fetch->refusal = (bootstrap_refusal_t)i;
  if (referral && !address_parse (referral, &fetch->referral, NULL))
    fetch->referral.port = 0;
}

static bool
on_head (int status, struct evkeyvalq *headers, void *context)
{
  gateway_fetch_t *fetch = context;
  const char *seal = evhttp_find_header (headers, ANSWER_SEAL_HEADER);
  const char *age = evhttp_find_header (headers, STORE_AGE_HEADER);

  if (fetch->fetching_all && status == STATUS_REFUSED)
    read_refusal (fetch, headers);
  if (status != STATUS_OK || !seal)
    return false;
  if (fetch->fetching_all && age)
    g_strlcpy (fetch->age, age, sizeof fetch->age);
  g_strlcpy (fetch->seal, seal, sizeof fetch->seal);
  return true;
}

static void
on_data (struct evbuffer *data, void *context)
{
  gateway_fetch_t *fetch = context;

  http_client_keep_data (fetch->body, data);
}

static void
on_end (const http_client_result_t *end, void *context)
{
  gateway_fetch_t *fetch = context;
  struct evbuffer *all_data = fetch->body;
  size_t bytes = evbuffer_get_length (all_data);
  const char *body = bytes > 0 ? (const char *)evbuffer_pullup (all_data, -1) : "";
  gateway_fetch_result_t result = { .peer = &fetch->peer,
                                    .refusal = fetch->refusal,
                                    .referral = fetch->referral };
  uint64_t age_ms = UINT32_MAX;
  char expected_seal[ANSWER_SEAL_BYTES];

  fetch->call = NULL;
  fetch->body = NULL;
  make_seal (fetch, fetch->nonce, fetch->age, body, bytes, expected_seal);
  g_ascii_string_to_unsigned (fetch->age, 10, 0, UINT32_MAX, &age_ms, NULL);
  result.store_age_ms = (uint32_t)age_ms;
  if (fetch->fetching_all && fetch->refusal != BOOTSTRAP_NO_ANSWER)
    result.reason = refusal_names[fetch->refusal];
  else if (!end->complete)
    result.reason = verdict_reason_to_string (end->reason);
  else if (!answer_seal_equal (fetch->seal, expected_seal))
    result.reason = "seal";
  else
    {
      result.body = body;
      result.body_bytes = bytes;
    }
  fetch->options.on_finished (&result, fetch->options.context);
  evbuffer_free (all_data);
}

gateway_fetch_t *
gateway_fetch_new (const gateway_fetch_options_t *options)
{
  gateway_fetch_t *fetch = g_new0 (gateway_fetch_t, 1);

  fetch->options = *options;
  fetch->http_client = http_client_new (options->base, IDLE_CONNECTIONS_MAX, IDLE_TIMEOUT_MS);
  return fetch;
}

void
gateway_fetch_free (gateway_fetch_t *fetch)
{
  if (fetch->call)
    http_client_cancel_call (fetch->call);
  if (fetch->body)
    evbuffer_free (fetch->body);
  http_client_free (fetch->http_client);
  g_free (fetch->cached.body);
  g_free (fetch);
}

bool
gateway_fetch_is_busy (const gateway_fetch_t *fetch)
{
  return fetch->call != NULL;
}

static void
start_fetch (gateway_fetch_t *fetch, const address_t *peer, const char *target)
{
  http_client_header_t header = { ANSWER_SEAL_NONCE_HEADER, fetch->nonce };

  g_assert (!fetch->call);
  answer_seal_make_nonce (fetch->nonce);
  fetch->seal[0] = '\0';
  fetch->age[0] = '\0';
  fetch->refusal = BOOTSTRAP_NO_ANSWER;
  fetch->referral.port = 0;
  fetch->peer = *peer;
  fetch->body = evbuffer_new ();
  fetch->call = http_client_start_call (
      fetch->http_client,
      &(http_client_options_t){ .address = &fetch->peer,
                                .method = "GET",
                                .target = target,
                                .headers = &header,
                                .header_count = 1,
                                .timeout_us = GATEWAY_FETCH_TIMEOUT_MS * CLOCK_US_PER_MS,
                                .answer_limit_bytes = VIEW_SHARE_BYTES_MAX,
                                .on_head = on_head,
                                .on_data = on_data,
                                .on_end = on_end,
                                .context = fetch });
}

void
gateway_fetch_newer (gateway_fetch_t *fetch,
                     const address_t *peer,
                     const view_share_stream_t *streams,
                     uint32_t count,
                     bool any_size)
{
  g_autofree char *stream_target = view_share_format_target (streams, count);
  g_autofree char *target =
      g_strconcat (stream_target, any_size ? "&" ANY_SIZE_QUERY "=1" : NULL, NULL);

  fetch->fetching_all = false;
  start_fetch (fetch, peer, target);
}

void
gateway_fetch_all (gateway_fetch_t *fetch,
                   const address_t *peer,
                   const view_share_stream_t *streams,
                   uint32_t count,
                   bool any_size)
{
  g_autofree char *stream_target = view_share_format_target (streams, count);
  g_autofree char *control = address_to_text (fetch->options.control_address);
  g_autofree char *target = g_strconcat (stream_target, "&" CONTROL_QUERY "=", control,
                                         any_size ? "&" ANY_SIZE_QUERY "=1" : NULL, NULL);

  fetch->fetching_all = true;
  start_fetch (fetch, peer, target);
}

/* Return: false when the request lacks the position of a stream */
static bool
parse_positions (http_server_call_t *call,
                 const view_share_stream_t *streams,
                 uint32_t count,
                 position_t *from)
{
  for (uint32_t i = 0; i < count; i++)
    {
      const char *text = http_server_query_value (call, streams[i].name);

      if (!text || !position_parse (text, &from[i]))
        return false;
    }
  return true;
}

static bool
matches_cache (const answer_cache_t *cached, const answer_cache_t *wanted, uint32_t count)
{
  if (!cached->body || cached->settled != wanted->settled)
    return false;
  for (uint32_t i = 0; i < count; i++)
    if (!position_equal (cached->from[i], wanted->from[i]) ||
        !position_equal (cached->next[i], wanted->next[i]) ||
        cached->revision[i] != wanted->revision[i] ||
        cached->max_value_bytes[i] != wanted->max_value_bytes[i])
      return false;
  return true;
}

/* The last answer is reused if nothing in it changed: encoding a version of a thousand routes takes
 * milliseconds of a whole core. */
static const char *
encode_answer (gateway_fetch_t *fetch,
               const view_share_stream_t *streams,
               const position_t *from,
               uint32_t count,
               bool settled)
{
  answer_cache_t wanted = { .settled = settled };

  for (uint32_t i = 0; i < count; i++)
    {
      bool lacks = position_is_before (from[i], streams[i].next);

      wanted.from[i] = from[i];
      wanted.next[i] = lacks ? streams[i].next : (position_t){ 0 };
      wanted.revision[i] = lacks ? keyed_view_revision (streams[i].view) : 0;
      wanted.max_value_bytes[i] = lacks ? streams[i].max_value_bytes : 0;
    }
  if (matches_cache (&fetch->cached, &wanted, count))
    return fetch->cached.body;
  wanted.body = view_share_format (streams, from, count, settled);
  g_free (fetch->cached.body);
  fetch->cached = wanted;
  return wanted.body;
}

static void
refuse (gateway_fetch_t *fetch,
        http_server_call_t *call,
        bootstrap_refusal_t refusal,
        const address_t *peer)
{
  address_t referral = *peer;

  bootstrap_server_pick_referral (&fetch->server, g_random_int (), &referral);
  http_server_add_header (call, REFUSAL_HEADER, refusal_names[refusal]);
  if (refusal == BOOTSTRAP_BUSY && referral.port != 0)
    {
      g_autofree char *text = address_to_text (&referral);

      http_server_add_header (call, REFERRAL_HEADER, text);
    }
  http_server_reply_text (call, STATUS_REFUSED, "text/plain", "not now\n");
}

/* Return: whether the starting gateway may be served; if not, the refusal has been sent */
static bool
accept_starting (gateway_fetch_t *fetch,
                 http_server_call_t *call,
                 const address_t *requester,
                 bool any_size,
                 const gateway_fetch_responder_t *state)
{
  uint64_t now_us = clock_now_us (fetch->options.clock);

  if (!state->complete)
    {
      refuse (fetch, call, BOOTSTRAP_EMPTY, &state->referral);
      return false;
    }
  if (state->too_large && !any_size)
    {
      refuse (fetch, call, BOOTSTRAP_TOO_LARGE, &state->referral);
      return false;
    }
  if (!bootstrap_server_may_serve (&fetch->server, now_us))
    {
      refuse (fetch, call, BOOTSTRAP_BUSY, &state->referral);
      return false;
    }
  bootstrap_server_add_served (&fetch->server, now_us, requester);
  return true;
}

bool
gateway_fetch_handle_request (gateway_fetch_t *fetch,
                              http_server_call_t *call,
                              const view_share_stream_t *streams,
                              uint32_t count,
                              const gateway_fetch_responder_t *state)
{
  const char *nonce = http_server_request_header (call, ANSWER_SEAL_NONCE_HEADER);
  const char *control = http_server_query_value (call, CONTROL_QUERY);
  bool any_size = http_server_query_value (call, ANY_SIZE_QUERY);
  position_t from[GATEWAY_FETCH_STREAMS_MAX];
  view_share_stream_t sent[GATEWAY_FETCH_STREAMS_MAX];
  char age[AGE_BYTES] = "";
  address_t requester;
  const char *body;
  char seal[ANSWER_SEAL_BYTES];

  g_assert (count <= GATEWAY_FETCH_STREAMS_MAX);
  if (strcmp (http_server_path (call), VIEW_SHARE_PATH) != 0)
    return false;
  if (!nonce || !parse_positions (call, streams, count, from) ||
      (control && !address_parse (control, &requester, NULL)))
    {
      http_server_reply_text (call, 400, "text/plain",
                              "from where on, and a nonce, must be told\n");
      return true;
    }
  if (control && !accept_starting (fetch, call, &requester, any_size, state))
    return true;
  for (uint32_t i = 0; i < count; i++)
    {
      sent[i] = streams[i];
      sent[i].max_value_bytes = control || any_size ? 0 : streams[i].max_value_bytes;
    }
  body = encode_answer (fetch, sent, from, count, state->settled);
  if (control)
    {
      g_snprintf (age, sizeof age, "%" G_GUINT32_FORMAT, state->store_age_ms);
      http_server_add_header (call, STORE_AGE_HEADER, age);
    }
  make_seal (fetch, nonce, age, body, strlen (body), seal);
  http_server_add_header (call, ANSWER_SEAL_HEADER, seal);
  http_server_reply_text (call, STATUS_OK, "application/json", body);
  return true;
}
